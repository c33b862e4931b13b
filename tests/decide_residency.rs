//! Models that callers request are loaded while an engine has room for them, whatever is lost
//! meanwhile: the lease changes hands, orders and reports are lost, and orders arrive late.
//!
//! The decisions are those of the placer (`demand`, `spread`, `orders`); the exchange of messages
//! around them repeats that of the daemon.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use poplarmux::decide::demand::Demand;
use poplarmux::decide::orders;
use poplarmux::decide::orders::Target;
use poplarmux::decide::orders::Task;
use poplarmux::decide::orders::Tracker;
use poplarmux::decide::spread;
use poplarmux::decide::spread::Host;
use poplarmux::decide::spread::Requirement;
use poplarmux::edge::dialect::Acknowledgement;
use poplarmux::edge::dialect::Action;
use poplarmux::table::ModelId;
use poplarmux::table::instance::Copies;
use poplarmux::table::instance::Key;
use poplarmux::table::instance::Report;
use poplarmux::table::instance::Resident;
use poplarmux::table::routing::Engines;
use poplarmux::table::routing::Model;

const ENGINES: usize = 4;
/// Two of them fit on each engine.
const MODELS: usize = 6;
const STEP: Duration = Duration::from_millis(100);
const DAY: Duration = Duration::from_secs(60);
const LOAD_TIME: Duration = Duration::from_secs(2);
/// Time without a holder of the lease when that is lost.
const LEASE_GAP: Duration = Duration::from_millis(3_100);
const ORDER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which a model is to be resident, in addition to the time of its load: a lost lease,
/// two lost orders with the reports after them, and the rounds of the placer between them.
const MAX_DELAY: Duration = Duration::from_secs(10);
/// Consecutive losses at one engine.
const MAX_LOSSES: u32 = 2;
const LOSS_RATIO: f64 = 0.2;
/// Loads from the store that may start at once.
const ALLOWED_LOADS: u32 = 8;

fn published() -> Engines {
    let model = |index: usize| Model {
        name: format!("m{index}"),
        weights_mb: 40.0,
        adapter_mb: 0.0,
        store_load_time: LOAD_TIME,
        disk_load_time: LOAD_TIME,
        memory_load_time: LOAD_TIME,
    };
    Engines {
        slots: 64,
        kv_tokens: 1_000,
        weights_mb: 100.0,
        adapter_slots: 2,
        loads_per_second: 2.0,
        models: (0..MODELS).map(model).collect(),
    }
}

struct Engine {
    orders: u64,
    resident: Vec<ModelId>,
    operation: Option<(Task, Duration)>,
    late_orders: Vec<(Duration, Task, u64)>,
    /// Reports lag behind by one of these.
    views: VecDeque<Report>,
    losses: u32,
}

impl Engine {
    fn report(&self) -> Report {
        let resident = self.resident.iter().cloned();
        let resident = resident.map(|model| Resident { model, adapters: Vec::new() });
        Report {
            started_at: None,
            busy: self.operation.is_some(),
            orders: self.orders,
            resident: resident.collect(),
            pending_adapters: 0,
            copies: Copies::default(),
        }
    }

    fn answer(&mut self, now: Duration, task: &Task, expect: u64) -> Acknowledgement {
        if self.operation.is_some() || expect != self.orders {
            return Acknowledgement::Conflict;
        }
        if self.resident.contains(&task.model) == (task.action == Action::Load) {
            return Acknowledgement::Already;
        }
        self.orders += 1;
        let duration = if task.action == Action::Load { LOAD_TIME } else { STEP };
        self.operation = Some((task.clone(), now + duration));
        Acknowledgement::Accepted
    }

    fn step(&mut self, now: Duration) {
        if let Some((task, _)) = self.operation.take_if(|(_, end)| *end <= now) {
            match task.action {
                Action::Load => self.resident.push(task.model),
                Action::Unload => self.resident.retain(|model| *model != task.model),
            }
            assert!(self.resident.len() <= 2, "more than fits: {:?}", self.resident);
        }
        let due = self.late_orders.extract_if(.., |(at, ..)| *at <= now);
        for (_, task, expect) in due.collect::<Vec<_>>() {
            self.answer(now, &task, expect);
        }
        self.views.push_back(self.report());
        if self.views.len() > 3 {
            self.views.pop_front();
        }
    }

    /// Returns whether a message is lost now; never more than `MAX_LOSSES` in a row.
    fn loses(&mut self, rng: &mut SmallRng) -> bool {
        let lost = self.losses < MAX_LOSSES && rng.random_bool(LOSS_RATIO);
        self.losses = if lost { self.losses + 1 } else { 0 };
        lost
    }
}

/// An order whose answer, or the lack of one, the holder learns at a time.
struct Pending {
    task: Task,
    expect: u64,
    answer: Option<Acknowledgement>,
    known_at: Duration,
}

/// The holder of the lease.
struct Holder {
    trackers: BTreeMap<Key, Tracker>,
    pending: HashMap<Key, Pending>,
    demand: Demand,
    missing: HashMap<ModelId, Duration>,
}

struct World {
    rng: SmallRng,
    published: Engines,
    engines: BTreeMap<Key, Engine>,
    holder: Option<Holder>,
    next_holder_at: Duration,
    next_lease_loss: Duration,
    /// What daemons tell a new holder.
    history: Demand,
    /// When each model is requested next, and how often.
    requests: HashMap<ModelId, (Duration, Duration)>,
    /// Since when each requested model has not been resident.
    absent_since: HashMap<ModelId, Duration>,
    max_absence: Duration,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let engines = (0..ENGINES).map(|index| {
            let resident = if rng.random_bool(0.5) { vec![format!("m{index}")] } else { vec![] };
            let engine = Engine {
                orders: 0,
                resident,
                operation: None,
                late_orders: Vec::new(),
                views: VecDeque::new(),
                losses: 0,
            };
            (Key { id: format!("e{index}"), born: 1 }, engine)
        });
        let engines = engines.collect();
        let requests = (0..MODELS).map(|index| {
            let first = Duration::from_millis(rng.random_range(3_000..20_000));
            let interval = Duration::from_millis(rng.random_range(200..1_000));
            (format!("m{index}"), (first, interval))
        });
        let requests = requests.collect();
        World {
            published: published(),
            engines,
            holder: None,
            next_holder_at: Duration::ZERO,
            next_lease_loss: Duration::from_millis(rng.random_range(4_000..20_000)),
            history: Demand::default(),
            requests,
            absent_since: HashMap::new(),
            max_absence: Duration::ZERO,
            rng,
        }
    }

    fn play(mut self) -> Duration {
        let mut now = Duration::ZERO;
        while now < DAY {
            self.engines.values_mut().for_each(|engine| engine.step(now));
            self.request(now);
            self.change_holder(now);
            if let Some(mut holder) = self.holder.take() {
                self.poll(now, &mut holder);
                self.place(now, &mut holder);
                self.send_orders(now, &mut holder);
                self.holder = Some(holder);
            }
            self.measure(now);
            now += STEP;
        }
        self.max_absence
    }

    fn request(&mut self, now: Duration) {
        let mut counts = Vec::new();
        for (model, (next, interval)) in &mut self.requests {
            if *next <= now {
                *next = now + *interval;
                counts.push((model.clone(), 600));
                self.absent_since.entry(model.clone()).or_insert(now);
            }
        }
        self.history.add(now, counts.clone(), Vec::new());
        if let Some(holder) = &mut self.holder {
            holder.demand.add(now, counts, Vec::new());
        }
    }

    fn change_holder(&mut self, now: Duration) {
        if self.holder.is_some() && now >= self.next_lease_loss {
            self.holder = None;
            self.next_holder_at = now + LEASE_GAP;
            self.next_lease_loss =
                now + Duration::from_millis(self.rng.random_range(20_000..30_000));
        }
        if self.holder.is_some() || now < self.next_holder_at {
            return;
        }
        let mut demand = Demand::default();
        demand.merge(now, self.history.counts(now, MODELS));
        let trackers = self.engines.iter().map(|(key, engine)| {
            (key.clone(), Tracker::new(now, engine.report().resident, Copies::default()))
        });
        let trackers = trackers.collect();
        let (pending, missing) = (HashMap::new(), HashMap::new());
        self.holder = Some(Holder { trackers, pending, demand, missing });
    }

    fn poll(&mut self, now: Duration, holder: &mut Holder) {
        for (key, tracker) in &mut holder.trackers {
            let engine = self.engines.get_mut(key).expect("a known engine");
            let is_idle = tracker.next_poll.is_none() && tracker.target.is_none();
            if is_idle && now > tracker.changed_at + orders::STATE_VALIDITY {
                tracker.next_poll = Some(now);
            }
            if holder.pending.contains_key(key) || tracker.next_poll.is_none_or(|at| at > now) {
                continue;
            }
            if engine.loses(&mut self.rng) {
                tracker.next_poll = Some(now + orders::POLL_INTERVAL);
            } else if let Some(report) = engine.views.front() {
                tracker.on_report(now, report.clone());
            }
        }
    }

    fn place(&mut self, now: Duration, holder: &mut Holder) {
        let known =
            holder.trackers.values().filter(|tracker| tracker.accepted_orders.is_some()).count();
        let resident =
            holder.trackers.values().flat_map(|tracker| &tracker.resident).map(|row| &row.model);
        if !holder.demand.is_settled(now, known, resident) {
            return;
        }
        let requirements: Vec<Requirement> =
            self.published.models.iter().map(|model| holder.requirement(now, model)).collect();
        let host = |(key, tracker): (&Key, &Tracker)| {
            orders::host(now, tracker, key.clone(), "r".to_string(), &self.published)
        };
        let hosts: Vec<Host> = holder.trackers.iter().map(host).collect();
        for step in spread::plan(&requirements, &hosts, ALLOWED_LOADS, ENGINES) {
            let tracker = holder.trackers.get_mut(&step.key).expect("a known engine");
            tracker.target = Some(Target {
                model: step.model,
                evicted: step.evicted,
                set_at: now,
                load_accepted: false,
                accepted_orders: 0,
            });
        }
    }

    fn send_orders(&mut self, now: Duration, holder: &mut Holder) {
        let keys: Vec<Key> = holder.trackers.keys().cloned().collect();
        for key in keys {
            let sole_models = orders::sole_models(&holder.trackers, &key);
            let tracker = holder.trackers.get_mut(&key).expect("a known engine");
            let engine = self.engines.get_mut(&key).expect("a known engine");
            if let Some(pending) = holder.pending.get(&key) {
                if pending.known_at <= now {
                    let Pending { task, expect, answer, .. } =
                        holder.pending.remove(&key).expect("pending");
                    if tracker.record_answer(now, &task, expect, answer, LOAD_TIME) {
                        tracker.next_poll = Some(now + orders::MAX_REPORT_LAG);
                    }
                }
                continue;
            }
            let is_valid = tracker.target.as_ref().is_none_or(|target| {
                let kept = tracker.resident.iter().map(|row| &row.model);
                let kept = kept.filter(|model| !target.evicted.contains(model));
                target.load_accepted || orders::fits(&self.published, kept, &target.model)
            });
            if !is_valid {
                tracker.target = None;
            }
            let (Some(task), Some(expect)) =
                (tracker.next_model_task(&sole_models), tracker.accepted_orders)
            else {
                continue;
            };
            if tracker.next_poll.is_some() || now < tracker.retry_at {
                continue;
            }
            let is_lost = engine.loses(&mut self.rng);
            let answer = (!is_lost).then(|| engine.answer(now, &task, expect));
            if is_lost && self.rng.random_bool(0.5) {
                let delay = Duration::from_millis(self.rng.random_range(2_000..12_000));
                engine.late_orders.push((now + delay, task.clone(), expect));
            }
            let known_at = now + if is_lost { ORDER_TIMEOUT } else { STEP };
            holder.pending.insert(key, Pending { task, expect, answer, known_at });
        }
    }

    fn measure(&mut self, now: Duration) {
        for (model, since) in &mut self.absent_since {
            if self.engines.values().any(|engine| engine.resident.contains(model)) {
                *since = now;
            }
            self.max_absence = self.max_absence.max(now - *since);
        }
    }
}

impl Holder {
    fn requirement(&mut self, now: Duration, model: &Model) -> Requirement {
        let name = &model.name;
        let is_resident = self.trackers.values().any(|tracker| tracker.serves(name));
        let wanted = self.demand.wanted(now, name).filter(|_| !is_resident);
        match wanted {
            Some(_) => {
                self.missing.entry(name.clone()).or_insert(now);
            }
            None => {
                self.missing.remove(name);
            }
        }
        Requirement {
            model: name.clone(),
            weights_mb: model.weights_mb,
            demand: wanted.unwrap_or_else(|| self.demand.expected(now, name)),
            requested_for: self.missing.get(name).map(|since| now - *since),
            idle: false,
            missing_adapters: 0,
        }
    }
}

/// Guards against models that are requested and never loaded although there is room for them.
#[test]
fn requested_model_is_loaded_in_time_while_there_is_room() {
    let seeds =
        std::env::var("POPLARMUX_SEEDS").map_or(100, |text| text.parse().expect("a number"));
    let absence = |seed: u64| (World::new(seed).play(), seed);
    let longest = (0..seeds).map(absence).max().expect("a seed");
    println!("longest absence {longest:?}");
    assert!(longest.0 <= LOAD_TIME + MAX_DELAY, "{longest:?}");
}
