//! Demand that moves from model to model while engines crash: the plan places a fleet whose engines
//! take time to unload and to load, and the tests check how much of the demand is served in time.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use poplarmux::decide::demand::Demand;
use poplarmux::decide::orders;
use poplarmux::decide::orders::Target;
use poplarmux::decide::orders::Tracker;
use poplarmux::decide::spread;
use poplarmux::decide::spread::Requirement;
use poplarmux::edge::dialect::Action;
use poplarmux::table::instance::Copies;
use poplarmux::table::instance::Key;
use poplarmux::table::instance::Report;
use poplarmux::table::instance::Resident;
use poplarmux::table::routing::Engines;
use poplarmux::table::routing::Model;

const STEP_MS: u64 = 100;
/// Rounds of one plan.
const MAX_STEPS: usize = 8;
const DAY_MS: u64 = 40_000;
const ENGINES: usize = 9;
const MODELS: usize = 17;
/// Streams that an engine serves in time, and the most that it runs.
const IN_TIME_STREAMS: f64 = 40.0;
const MAX_STREAMS: f64 = 80.0;
/// Weight of a late stream.
const LATE_STREAM_WEIGHT: f64 = 0.3;
/// Longest duration of a stream, in milliseconds.
const MAX_STREAM_MS: u64 = 3_000;
/// Models that a host's memory and disk keep.
const MEMORY_MODELS: usize = 2;
const DISK_MODELS: usize = 6;

const BUSY_ENGINES: usize = 112;
const BUSY_MODELS: usize = 242;
/// Models with four fifths of the requests of the busy day, and those with the others. The rest is
/// not requested.
const POPULAR_MODELS: usize = 36;
const RARE_MODELS: usize = 170;
/// Duration of its streams, in milliseconds.
const BUSY_STREAM_MS: u64 = 550;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn name(model: usize) -> String {
    format!("m{model:02}")
}

/// The platform of the busy day.
fn busy_platform() -> Engines {
    let model = |i: usize| Model {
        name: name(i),
        weights_mb: 72.0,
        adapter_mb: 0.1,
        store_load_time: ms(4_000),
        disk_load_time: ms(800),
        memory_load_time: ms(400),
    };
    Engines {
        slots: 12,
        kv_tokens: 45_650,
        weights_mb: 220.0,
        adapter_slots: 8,
        loads_per_second: 18.0,
        models: (0..BUSY_MODELS).map(model).collect(),
    }
}

fn published() -> Engines {
    let model = |i: usize| Model {
        name: name(i),
        weights_mb: if i.is_multiple_of(5) { 65.0 } else { 72.0 },
        adapter_mb: 0.1,
        store_load_time: ms(6_000),
        disk_load_time: ms(1_200),
        memory_load_time: ms(600),
    };
    Engines {
        slots: 64,
        kv_tokens: 140_000,
        weights_mb: 230.0,
        adapter_slots: 5,
        loads_per_second: 1.2,
        models: (0..MODELS).map(model).collect(),
    }
}

struct Engine {
    tracker: Tracker,
    key: Key,
    /// The order in progress: action, model and end in milliseconds.
    order_in_progress: Option<(Action, String, u64)>,
    memory: VecDeque<String>,
    disk: VecDeque<String>,
    /// Last time of streams of each model, in milliseconds.
    last_used: BTreeMap<String, u64>,
    down_until: Option<u64>,
}

impl Engine {
    fn cache(&mut self, model: &str) {
        for (list, max_len) in [(&mut self.memory, MEMORY_MODELS), (&mut self.disk, DISK_MODELS)] {
            list.retain(|other| other != model);
            list.push_back(model.to_string());
            while list.len() > max_len {
                list.pop_front();
            }
        }
    }

    fn report(&self, busy: bool) -> Report {
        Report {
            started_at: None,
            busy,
            orders: self.tracker.accepted_orders.unwrap_or(0),
            resident: self.tracker.resident.clone(),
            pending_adapters: 0,
            copies: Copies {
                memory: self.memory.iter().cloned().collect(),
                disk: self.disk.iter().cloned().collect(),
            },
        }
    }
}

/// What differs between the scenes.
#[derive(Clone, Copy)]
struct Scene {
    in_time_streams: f64,
    max_streams: f64,
    max_stream_ms: u64,
    max_loads: usize,
    max_steps: usize,
    is_busy_day: bool,
}

const SHIFTS: Scene = Scene {
    in_time_streams: IN_TIME_STREAMS,
    max_streams: MAX_STREAMS,
    max_stream_ms: MAX_STREAM_MS,
    max_loads: 7,
    max_steps: MAX_STEPS,
    is_busy_day: false,
};

const BUSY_DAY: Scene = Scene {
    in_time_streams: 12.0,
    max_streams: 12.0,
    max_stream_ms: 1_000,
    max_loads: 91,
    max_steps: 2,
    is_busy_day: true,
};

struct World {
    scene: Scene,
    /// Ends of the requests of each model that are running, in milliseconds.
    requests: Vec<VecDeque<u64>>,
    engines: Vec<Engine>,
    published: Engines,
    demand: Demand,
    loads: VecDeque<u64>,
    rng: SmallRng,
    total: f64,
    served_and_offered: (f64, f64),
    /// Since when models have no replica, in milliseconds.
    absent_since: BTreeMap<String, u64>,
    /// Longest time without a replica of any model, in milliseconds.
    max_absence: u64,
    /// Number of loads from the store.
    cold_loads: usize,
    /// Free and all slots, each by the number of requests refused then.
    free_at_refusal: (f64, f64),
}

impl World {
    fn new(seed: u64, total: f64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut resident_models: Vec<Vec<usize>> = vec![Vec::new(); ENGINES];
        // The busy model is on most engines, the next one on some, each other one on one.
        for (i, resident_models) in resident_models.iter_mut().enumerate() {
            resident_models.push(usize::from(i >= 6));
        }
        let mut others_shuffled: Vec<usize> = (2..MODELS).collect();
        others_shuffled.shuffle(&mut rng);
        for (i, model) in others_shuffled.into_iter().enumerate() {
            resident_models[i % ENGINES].push(model);
        }
        World::assemble(SHIFTS, published(), rng, &resident_models, total)
    }

    /// The day begins with the popular models on a third of all places.
    fn busy_day(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let further_copies = (0..3 * BUSY_ENGINES - BUSY_MODELS).map(|i| i % POPULAR_MODELS);
        let mut replicas: Vec<usize> = (0..BUSY_MODELS).chain(further_copies).collect();
        replicas.shuffle(&mut rng);
        let mut resident_models: Vec<Vec<usize>> = vec![Vec::new(); BUSY_ENGINES];
        for model in replicas {
            let mut free: Vec<_> = resident_models.iter_mut().filter(|row| row.len() < 3).collect();
            let has_no_copy = free.iter().position(|row| !row.contains(&model));
            free[has_no_copy.unwrap_or(0)].push(model);
        }
        let mut world = World::assemble(BUSY_DAY, busy_platform(), rng, &resident_models, 0.0);
        for engine in &mut world.engines {
            let report = engine.report(false);
            engine.tracker.merge_report(ms(0), report);
        }
        world
    }

    fn assemble(
        scene: Scene,
        published: Engines,
        mut rng: SmallRng,
        resident_models: &[Vec<usize>],
        total: f64,
    ) -> Self {
        let engines = resident_models.iter().enumerate().map(|(i, resident_models)| {
            let mut absent_models: Vec<usize> = (0..published.models.len())
                .filter(|model| !resident_models.contains(model))
                .collect();
            absent_models.shuffle(&mut rng);
            let disk =
                absent_models[..3].iter().chain(resident_models).copied().map(name).collect();
            let to_resident =
                |model: &usize| Resident { model: name(*model), adapters: Vec::new() };
            let resident: Vec<Resident> = resident_models.iter().map(to_resident).collect();
            let mut tracker = Tracker::new(ms(0), resident, Copies::default());
            tracker.accepted_orders = Some(0);
            tracker.next_poll = None;
            Engine {
                tracker,
                key: Key { id: format!("e{i}"), born: 1 },
                order_in_progress: None,
                memory: VecDeque::new(),
                disk,
                last_used: BTreeMap::new(),
                down_until: None,
            }
        });
        let engines = engines.collect();
        World {
            scene,
            requests: vec![VecDeque::new(); published.models.len()],
            engines,
            published,
            demand: Demand::default(),
            loads: VecDeque::new(),
            rng,
            total,
            served_and_offered: (0.0, 0.0),
            absent_since: BTreeMap::new(),
            max_absence: 0,
            cold_loads: 0,
            free_at_refusal: (0.0, 0.0),
        }
    }

    /// Returns the requests per second for a model of the busy day: every eight seconds six other
    /// models become popular, and together get a third of all requests.
    fn busy_rate(time: u64, model: usize) -> f64 {
        let popular = match model {
            _ if model >= POPULAR_MODELS + RARE_MODELS => return 0.0,
            _ if model >= POPULAR_MODELS => return 200.0 / RARE_MODELS as f64,
            _ => 500.0 / POPULAR_MODELS as f64,
        };
        let group = |time: u64| (time / 8_000) as usize;
        let rise = ((time % 8_000) as f64 / 8_000.0).min(1.0);
        let part = |at: usize| f64::from(u8::from(model / 6 == at % 6));
        let now = group(time);
        popular
            + 58.0 * (rise * part(now) + (1.0 - rise) * if now > 0 { part(now - 1) } else { 0.0 })
    }

    /// Returns the offered load of each model, in concurrent requests, and the slot time that its
    /// new requests take, in milliseconds.
    fn offered(&mut self, time: u64) -> Vec<(usize, f64, Option<u32>)> {
        if !self.scene.is_busy_day {
            let rows = self.shares(time).into_iter();
            return rows.map(|(model, share)| (model, share * self.total, None)).collect();
        }
        let mut rows = Vec::new();
        for model in 0..self.requests.len() {
            let expected = World::busy_rate(time, model) * STEP_MS as f64 / 1000.0;
            // Of ten possible requests for each expected one.
            let chances = (expected * 10.0).ceil().max(1.0);
            let arrived =
                (0..chances as u64).filter(|_| self.rng.random_bool(expected / chances)).count();
            let running = &mut self.requests[model];
            running.retain(|end| *end > time);
            running.extend(std::iter::repeat_n(time + BUSY_STREAM_MS, arrived));
            rows.push((model, running.len() as f64, Some(arrived as u32 * BUSY_STREAM_MS as u32)));
        }
        rows
    }

    /// Returns the shares of the demand: most of it is for two models, which change every ten
    /// seconds.
    fn shares(&self, time: u64) -> BTreeMap<usize, f64> {
        let mut shares = BTreeMap::new();
        let shifts = [(2_000, 6_000), (14_000, 6_000), (24_000, 6_000)];
        let shifts_done: f64 = shifts
            .iter()
            .map(|(from, span)| (time.saturating_sub(*from) as f64 / *span as f64).min(1.0))
            .sum();
        let (completed, fraction) = (shifts_done.floor() as usize, shifts_done.fract());
        for (first_model, weight) in [(completed, 1.0 - fraction), (completed + 1, fraction)] {
            *shares.entry(first_model).or_default() += 0.65 * weight;
            *shares.entry(first_model + 1).or_default() += 0.33 * weight;
        }
        for model in 0..MODELS {
            *shares.entry(model).or_default() += 0.02 / MODELS as f64;
        }
        shares
    }

    fn serve(&mut self, time: u64) {
        let offered = self.offered(time);
        let mut free: Vec<f64> = vec![0.0; self.engines.len()];
        let mut load = free.clone();
        for (row, engine) in free.iter_mut().zip(&self.engines) {
            *row = if engine.down_until.is_some() { 0.0 } else { self.scene.max_streams };
        }
        let serving_engines = |world: &World, model: usize| -> Vec<usize> {
            let name = name(model);
            let serves =
                |engine: &Engine| engine.down_until.is_none() && engine.tracker.serves(&name);
            (0..world.engines.len()).filter(|i| serves(&world.engines[*i])).collect()
        };
        let mut by_replicas = offered;
        by_replicas.sort_by_key(|(model, ..)| serving_engines(self, *model).len());
        let mut requests = Vec::new();
        let mut refused = 0.0;
        for (model, offered, arrived) in by_replicas {
            let noise = if arrived.is_some() { 1.0 } else { self.rng.random_range(0.9..1.1) };
            let mut unserved = offered * noise;
            let slot_time = arrived.unwrap_or((unserved * STEP_MS as f64) as u32);
            if arrived != Some(0) {
                requests.push((name(model), slot_time));
            }
            self.served_and_offered.1 += unserved;
            let serving_engines = serving_engines(self, model);
            if serving_engines.is_empty() {
                self.max_absence = self.max_absence.max(self.absence_ms(&name(model), time));
            }
            while unserved > 0.01 {
                let Some(best) = serving_engines
                    .iter()
                    .copied()
                    .filter(|i| free[*i] > 0.0)
                    .min_by(|a, b| load[*a].total_cmp(&load[*b]))
                else {
                    break;
                };
                let served = unserved.min(1.0).min(free[best]);
                free[best] -= served;
                load[best] += served;
                unserved -= served;
                if served > 0.2 {
                    self.engines[best].last_used.insert(name(model), time);
                }
            }
            refused += unserved;
        }
        self.free_at_refusal.0 += refused * free.iter().sum::<f64>();
        self.free_at_refusal.1 += refused * self.scene.max_streams * self.engines.len() as f64;
        self.served_and_offered.0 += load
            .iter()
            .map(|load| {
                let in_time = self.scene.in_time_streams;
                load.min(in_time) + LATE_STREAM_WEIGHT * (load - in_time).max(0.0)
            })
            .sum::<f64>();
        // Daemons count requests by the slot time that they take, in milliseconds.
        self.demand.add(ms(time), requests, Vec::new());
    }

    /// Returns the time for which a model has had no replica, in milliseconds.
    fn absence_ms(&mut self, model: &str, time: u64) -> u64 {
        let is_resident =
            |engine: &Engine| engine.tracker.resident.iter().any(|row| row.model == model);
        if self.engines.iter().any(|engine| engine.down_until.is_none() && is_resident(engine)) {
            self.absent_since.remove(model);
            return 0;
        }
        time - *self.absent_since.entry(model.to_string()).or_insert(time)
    }

    fn place(&mut self, time: u64) {
        let now = ms(time);
        for engine in &mut self.engines {
            let is_done =
                engine.order_in_progress.as_ref().is_some_and(|(_, _, until)| *until <= time);
            if !is_done {
                continue;
            }
            let (action, model, _) = engine.order_in_progress.take().expect("due");
            match action {
                Action::Load => {
                    engine.cache(&model);
                    engine.tracker.resident.push(Resident { model, adapters: Vec::new() });
                }
                Action::Unload => engine.tracker.resident.retain(|row| row.model != model),
            }
            let report = engine.report(false);
            engine.tracker.merge_report(now, report);
        }
        while self.loads.front().is_some_and(|begun| time > begun + 5_000) {
            self.loads.pop_front();
        }
        let max_cold_loads = self.scene.max_loads.saturating_sub(self.loads.len()) as u32;
        let published = self.published.models.clone();
        let requirements: Vec<Requirement> = (published.iter())
            .map(|model| {
                let absence = self.absence_ms(&model.name, time);
                let is_absent = self.absent_since.contains_key(&model.name);
                let wanted = self.demand.wanted(now, &model.name).filter(|_| is_absent);
                let expected = self.demand.expected(now, &model.name);
                let is_wanted = !self.scene.is_busy_day || wanted.is_some();
                Requirement {
                    model: model.name.clone(),
                    weights_mb: model.weights_mb,
                    demand: wanted.filter(|_| self.scene.is_busy_day).unwrap_or(expected),
                    requested_for: is_wanted.then_some(ms(absence)),
                    idle: self.scene.is_busy_day && self.demand.is_idle(now, &model.name),
                    missing_adapters: 0,
                }
            })
            .collect();
        let hosts: Vec<spread::Host> =
            (self.engines.iter().filter(|engine| engine.down_until.is_none()))
                .enumerate()
                .map(|(i, engine)| {
                    let region = if self.scene.is_busy_day { i % 3 } else { 0 };
                    let key = engine.key.clone();
                    let region = format!("r{region}");
                    orders::host(now, &engine.tracker, key, region, &self.published)
                })
                .collect();
        for step in spread::plan(&requirements, &hosts, max_cold_loads, self.scene.max_steps) {
            let engine =
                self.engines.iter_mut().find(|engine| engine.key == step.key).expect("known");
            engine.tracker.target = Some(Target {
                model: step.model,
                evicted: step.evicted,
                set_at: now,
                load_accepted: false,
                accepted_orders: 0,
            });
        }
        self.send_orders(time);
    }

    fn send_orders(&mut self, time: u64) {
        let now = ms(time);
        let trackers: BTreeMap<Key, Tracker> = self
            .engines
            .iter()
            .map(|engine| (engine.key.clone(), engine.tracker.clone()))
            .collect();
        for engine in &mut self.engines {
            if engine.down_until.is_some() || engine.order_in_progress.is_some() {
                continue;
            }
            if engine.tracker.target.is_none() {
                continue;
            }
            let idle = |model: &str| self.scene.is_busy_day && self.demand.is_idle(now, model);
            let protected = orders::protected_models(&trackers, &engine.key, idle);
            let waits_in_vain = orders::waits_in_vain(&trackers, &engine.key, &protected);
            let tracker = &mut engine.tracker;
            if waits_in_vain {
                tracker.target = None;
            }
            if tracker
                .target
                .as_ref()
                .is_some_and(|target| !target.load_accepted && now > target.set_at + ms(9_000))
            {
                tracker.target = None;
            }
            let task = tracker.next_model_task(&protected);
            tracker.draining = task.as_ref().is_some_and(|task| task.action == Action::Unload);
            let Some(task) = task else {
                continue;
            };
            let duration = match task.action {
                Action::Unload => {
                    let last_used = engine.last_used.get(&task.model).copied().unwrap_or(0);
                    (last_used + self.scene.max_stream_ms).saturating_sub(time) + 300
                }
                Action::Load => {
                    let model = self.published.model(&task.model).expect("published");
                    let copies = engine.report(true).copies;
                    if !copies.has(&task.model) {
                        self.loads.push_back(time);
                        self.cold_loads += 1;
                    }
                    if let Some(target) = &mut engine.tracker.target {
                        target.load_accepted = true;
                    }
                    (model.load_time(&copies)).as_millis() as u64 + 300
                }
            };
            let orders = engine.tracker.accepted_orders.unwrap_or(0);
            engine.tracker.record_accepted(now, orders);
            let report = engine.report(true);
            let loading = engine.tracker.target.as_ref().is_some_and(|target| target.load_accepted);
            engine.tracker.merge_report(now, report);
            if let Some(target) = &mut engine.tracker.target {
                target.load_accepted = loading;
            }
            engine.order_in_progress = Some((task.action, task.model, time + duration));
        }
    }

    fn crash(&mut self, time: u64, engines: &[usize]) {
        for index in engines {
            let engine = &mut self.engines[*index];
            engine.down_until = Some(time + 2_500);
            engine.order_in_progress = None;
            engine.memory.clear();
            engine.key.born += 1;
            engine.tracker = Tracker::new(ms(time), Vec::new(), Copies::default());
            let report = engine.report(false);
            engine.tracker.merge_report(ms(time), report);
        }
    }

    fn play(mut self, crash: Option<u64>) -> Self {
        let mut time = 0;
        while time < DAY_MS {
            for engine in &mut self.engines {
                if engine.down_until.is_some_and(|until| until <= time) {
                    engine.down_until = None;
                }
            }
            if crash == Some(time) {
                let first = self.rng.random_range(0..ENGINES);
                self.crash(time, &[first, (first + 4) % ENGINES]);
            }
            self.serve(time);
            self.place(time);
            time += STEP_MS;
        }
        self
    }
}

/// Returns means over several days: the ratio of the demand that is served in time; the longest
/// time without a replica of some model, in seconds; the number of loads from the store.
fn play(total: f64, crash: Option<u64>) -> (f64, f64, f64) {
    const DAYS: u64 = 16;
    let worlds: Vec<World> = (0..DAYS).map(|seed| World::new(seed, total).play(crash)).collect();
    let mean = |value: &dyn Fn(&World) -> f64| worlds.iter().map(value).sum::<f64>() / DAYS as f64;
    (
        mean(&|world| world.served_and_offered.0 / world.served_and_offered.1),
        mean(&|world| world.max_absence as f64 / 1000.0),
        mean(&|world| world.cold_loads as f64),
    )
}

/// Callers turn to other models every ten seconds. Each change takes a load of six seconds and,
/// before it, the end of the streams of the evicted model. A plan that follows past counts is late.
#[test]
fn shifting_demand_is_served_in_time() {
    let (calm, _, _) = play(150.0, None);
    let (busy, _, loads) = play(250.0, None);
    assert!(calm > 0.975, "{calm}");
    assert!(busy > 0.88, "{busy}");
    assert!(loads < 16.0, "{loads}");
}

/// Two engines crash while demand shifts, and return empty. If busy replicas were evicted for the
/// missing models, these would not return sooner: every unload takes seconds, and the empty engines
/// are back before.
#[test]
fn crash_does_not_evict_busy_replicas() {
    let (busy, missing, _) = play(250.0, Some(7_000));
    assert!(busy > 0.855, "{busy}");
    assert!(missing < 8.5, "{missing}");
}

/// Plays the busy day, and returns the part of its demand that finds no slot.
fn refused_on_the_busy_day(seed: u64) -> f64 {
    let mut world = World::busy_day(seed);
    for time in (0..36_000).step_by(STEP_MS as usize) {
        for engine in &mut world.engines {
            engine.down_until = engine.down_until.filter(|until| *until > time);
        }
        if time == 6_000 {
            let lost: Vec<usize> = (0..BUSY_ENGINES).step_by(4).collect();
            world.crash(time, &lost);
        }
        world.serve(time);
        world.place(time);
    }
    let ((served, offered), (free, all)) = (world.served_and_offered, world.free_at_refusal);
    let refused = 1.0 - served / offered;
    println!("{refused:.4} of the demand, {:.3} free, {} loads", free / all, world.cold_loads);
    refused
}

/// On the heaviest day of a deployment over a thousand requests per second were refused while half
/// of the slots were free: last replicas of idle models kept their places, and those of popular
/// models were swapped. Before this was changed, 0.072 to 0.095 of the demand found no slot.
#[test]
fn idle_models_make_way_on_the_busy_day() {
    let refused = refused_on_the_busy_day(0);
    assert!(refused < 0.07, "{refused}");
}

/// The aim for the busy day: a tenth of the refusals before, which were 0.083 of the demand.
#[test]
fn busy_day_is_served_by_the_free_slots() {
    let refused = refused_on_the_busy_day(1);
    assert!(refused < 0.0083, "{refused}");
}
