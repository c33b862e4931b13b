//! Plans the placement of models on engines while this daemon holds the lease. `order` sends the
//! orders that follow from the plan.
//!
//! Only the holder sends orders, each within its lease: see `engine`. Each order names the number
//! of orders that the engine has accepted so far. An order without a response may take effect
//! seconds later, but not after another order was accepted, so a retry cannot be carried out twice.

mod order;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

use event_listener::Event as Notifier;
use rand::seq::IteratorRandom;
use smol::Timer;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::engine;
use crate::daemon::gate::Call;
use crate::daemon::journal::Event;
use crate::daemon::placer::order::send_next;
use crate::daemon::settings::Settings;
use crate::decide::demand::Demand;
use crate::decide::endpoint::Endpoint;
use crate::decide::handover::Handover;
use crate::decide::late_orders::LateOrders;
use crate::decide::lease::Elector;
use crate::decide::lease::Holder;
use crate::decide::limit;
use crate::decide::orders;
use crate::decide::orders::Target;
use crate::decide::orders::Task;
use crate::decide::orders::Tracker;
use crate::decide::spread;
use crate::decide::spread::Host;
use crate::decide::spread::Obstacle;
use crate::decide::spread::Placement;
use crate::decide::spread::Requirement;
use crate::decide::updates::Updates;
use crate::edge::dialect::Revision;
use crate::table::AdapterId;
use crate::table::ModelId;
use crate::table::ServiceId;
use crate::table::instance::Key;
use crate::table::instance::Residency;
use crate::table::instance::is_resident;
use crate::table::routing::Config;
use crate::table::routing::Engines;
use crate::table::routing::Model;
use crate::table::routing::Service;

/// Request rate, per second, for each replica of an adapter. Daemons that request an adapter at the
/// same time each name the engine that is best for them; without this limit the adapter would be
/// loaded on all of these engines and evict several others.
const REPLICA_REQUEST_RATE: f64 = 3.0;
/// Time after which a requested adapter that is on no engine replaces one that is in use: its
/// callers would otherwise be refused for as long as the other adapters are busier.
const STARVATION_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after its last request for which an adapter counts as wanted: longer than refused callers
/// take to retry.
const ADAPTER_WANTED_WINDOW: Duration = Duration::from_secs(3);
/// Interval at which demand and replicas are logged.
const PLAN_LOG_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two steps of the placer.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of placements planned for a service in one step: the event loop that plans also
/// renews the lease and forwards streams.
const MAX_STEP_PLACEMENTS: usize = 2;
/// Share of the loads allowed by the weight store that the placer uses.
const LOAD_BUDGET_RATIO: f64 = 1.0;
/// The same time for an engine that limits the calls it takes: reports would use up a large part.
const LIMITED_STATE_VALIDITY: Duration = Duration::from_secs(20);
/// Time after which a lease write without a response no longer takes effect. The platform documents
/// a delay of seconds; delayed orders take effect within 12 s.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(15);
/// Number of low bits of a fencing token below the store's era, so that tokens of a new era are
/// higher than all earlier ones.
const ERA_SHIFT: u32 = 32;
/// Token of the first holder ever.
const FIRST_TOKEN: u64 = 1;
/// Number of loads that a previous holder is assumed to have started: more than any weight store
/// allows within a window.
const ASSUMED_LOADS: usize = 8;

/// Resident models and adapters of engines.
pub type Stocks = Vec<(Key, Residency)>;

/// An adapter that is on no engine.
#[derive(Debug, Clone, Copy)]
struct Missing {
    /// When it was first requested, without a pause of `ADAPTER_WANTED_WINDOW` since.
    since: Duration,
    /// When it was last requested.
    requested_at: Duration,
}

impl Missing {
    /// Returns whether callers still request it.
    fn is_wanted(&self, now: Duration) -> bool {
        now < self.requested_at + ADAPTER_WANTED_WINDOW
    }

    /// Returns whether its callers have waited too long.
    fn is_starved(&self, now: Duration) -> bool {
        now > self.since + STARVATION_TIMEOUT
    }

    /// Records a request.
    fn record(&mut self, now: Duration) {
        if !self.is_wanted(now) {
            self.since = now;
        }
        self.requested_at = now;
    }
}

/// A daemon's state of the placement.
pub struct Placer {
    /// The lease.
    pub watch: Elector,
    /// The newest known revision of the lease object.
    pub revision: Revision,
    /// When this daemon last tried to acquire the lease and the outcome is unknown.
    pub unconfirmed_write: Option<Duration>,
    /// The token under which the lease is held, as last logged.
    pub logged_term: Option<u64>,
    trackers: BTreeMap<Key, Tracker>,
    /// Updates about engines that are to be sent to daemons.
    updates: Updates,
    /// Notified when there are updates to send.
    updates_ready: Notifier,
    /// Notified when an engine is known that the lease object does not list.
    unlisted: Notifier,
    /// Demand of the callers of all daemons.
    pub demand: Demand,
    /// Adapters that were requested and are on no engine of the service.
    missing_adapters: HashMap<(ServiceId, ModelId, AdapterId), Missing>,
    /// Models that are requested and resident on no engine of the service, and since when.
    missing_models: HashMap<(ServiceId, ModelId), Duration>,
    /// Orders without an answer, also those from before the lease was lost.
    pub late_orders: LateOrders,
    /// What was last written into the lease object for its next holder. The write may have had no
    /// effect.
    last_handover: Handover,
    /// What the lease object said when this daemon last tried to acquire the lease.
    previous_handover: Handover,
    /// Start times of the recent loads from the weight store.
    cold_loads: VecDeque<Duration>,
    plan_logged_at: Duration,
}

impl Placer {
    /// Creates the state of a daemon that does not hold the lease.
    pub fn new(settings: &Settings, born: u64) -> Self {
        let holder = Holder { address: settings.peer.to_string(), incarnation: born };
        Placer {
            watch: Elector::new(holder, settings.lease_duration),
            revision: Revision::default(),
            unconfirmed_write: None,
            trackers: BTreeMap::new(),
            updates: Updates::default(),
            updates_ready: Notifier::new(),
            unlisted: Notifier::new(),
            demand: Demand::default(),
            missing_adapters: HashMap::new(),
            missing_models: HashMap::new(),
            late_orders: LateOrders::default(),
            last_handover: Handover::default(),
            previous_handover: Handover::unknown(),
            cold_loads: VecDeque::new(),
            logged_term: None,
            plan_logged_at: Duration::ZERO,
        }
    }

    /// Discards the state when the lease was acquired under `token`, or lost if that is `None`.
    pub fn reset(&mut self, now: Duration, token: Option<u64>, lease: Duration) {
        self.trackers.clear();
        self.updates = Updates::default();
        self.missing_adapters.clear();
        self.missing_models.clear();
        self.demand = Demand::default();
        self.cold_loads.clear();
        if token.is_some_and(|token| token > FIRST_TOKEN) {
            // The loads that the previous holder started are not known: it is assumed to have
            // started as many as possible just before its lease expired.
            self.cold_loads.extend(std::iter::repeat_n(now.saturating_sub(lease), ASSUMED_LOADS));
        }
    }

    /// Records that the lease was acquired under `token`.
    pub fn on_acquired(&mut self, now: Duration, token: u64) {
        let is_first = token == FIRST_TOKEN;
        self.late_orders.on_acquired(now, token, is_first, &self.previous_handover);
    }

    /// Returns what a write of the lease under `token` tells its next holder. `engines` are those
    /// that may be ordered then.
    pub fn handover(&mut self, now: Duration, token: u64, engines: Vec<Key>) -> Handover {
        self.last_handover = if self.watch.term(now) == Some(token) {
            let accepted = |key: &Key| self.trackers.get(key)?.accepted_orders;
            let engines = engines.into_iter().map(|key| (key.clone(), accepted(&key)));
            self.late_orders.handover(now, engines)
        } else {
            let nothing = || match token {
                FIRST_TOKEN => Handover::default(),
                _ => Handover::unknown(),
            };
            let previous = self.watch.observed().and_then(|lease| lease.handover.clone());
            self.previous_handover = previous.unwrap_or_else(nothing);
            self.previous_handover.including(engines)
        };
        self.last_handover.clone()
    }

    /// Returns whether one of these engines is not listed in the lease object.
    pub fn has_unlisted(&self, engines: &[Key]) -> bool {
        let handover = self.watch.observed().and_then(|lease| lease.handover.as_ref());
        handover.is_some_and(|handover| engines.iter().any(|key| !handover.lists(key)))
    }

    /// Waits until an engine is known that the lease object does not list.
    pub fn engine_unlisted(&self) -> impl Future<Output = ()> + use<> {
        self.unlisted.listen()
    }

    /// Returns whether the next holder of the lease takes an order into account, whether or not the
    /// last write of the lease took effect.
    pub fn is_covered(&self, key: &Key, expect: u64) -> bool {
        let handover = self.watch.observed().and_then(|lease| lease.handover.as_ref());
        handover.is_some_and(|handover| handover.covers(key, expect))
            && self.last_handover.covers(key, expect)
    }

    /// Resets the lease when the store is in a new era, in which nobody holds it yet.
    pub fn on_restored(&mut self, now: Duration, era: u64) {
        self.revision = Revision { era, number: 0 };
        self.watch.on_platform_restore(now, era << ERA_SHIFT);
    }

    /// Returns whether this daemon holds the lease and may send orders.
    pub fn holds_lease(&self, now: Duration) -> bool {
        self.watch.term(now).is_some()
    }

    /// Returns whether a write without a known outcome may still acquire the lease.
    pub fn may_acquire(&self, now: Duration) -> bool {
        self.unconfirmed_write.is_some_and(|sent_at| now < sent_at + MAX_WRITE_DELAY)
    }

    /// Returns the peer address of the holder of the lease.
    pub fn leader(&self) -> Option<String> {
        let holder = self.watch.observed()?.holder.as_ref()?;
        Some(holder.address.clone())
    }

    /// Returns whether the set of known engines has been stable for a while.
    fn is_settled(&mut self, now: Duration) -> bool {
        let known =
            self.trackers.values().filter(|tracker| tracker.accepted_orders.is_some()).count();
        let resident =
            self.trackers.values().flat_map(|tracker| &tracker.resident).map(|row| &row.model);
        self.demand.is_settled(now, known, resident)
    }

    /// Returns the state of an engine.
    pub fn tracker(&self, key: &Key) -> Option<&Tracker> {
        self.trackers.get(key)
    }

    /// Queues an update of an engine that has changed, for all daemons.
    fn queue_update(&mut self, key: &Key) {
        self.updates.queue_changed(key);
        self.updates_ready.notify(1);
    }

    /// Queues updates of engines for a daemon that missed earlier ones.
    fn queue_response(&mut self, from: SocketAddr, keys: Vec<Key>) {
        self.updates.queue_missed(from, keys);
        if !self.updates.is_empty() {
            self.updates_ready.notify(1);
        }
    }

    /// Waits until updates are queued.
    pub fn updates_due(&self) -> impl Future<Output = ()> + use<> {
        let notified = self.updates_ready.listen();
        let is_empty = self.updates.is_empty();
        async move {
            if is_empty {
                notified.await;
            }
        }
    }

    /// Removes and returns the queued updates: those for all daemons, and those for single daemons
    /// that requested them.
    pub fn take_updates(&mut self, now: Duration) -> (Stocks, Vec<(SocketAddr, Stocks)>) {
        let Updates { to_all: all, to_daemon: asked } = self.updates.take();
        let update = |key: Key| {
            let stock = self.trackers.get(&key)?.update_due(now)?;
            Some((key, stock))
        };
        let rows = all.into_iter().filter_map(update).collect();
        let responses = asked.into_iter().map(|(from, keys)| (from, self.announcements(keys, now)));
        (rows, responses.collect())
    }

    /// Records the states that were sent to all daemons.
    pub fn mark_sent(&mut self, now: Duration, rows: Stocks) {
        for (key, stock) in rows {
            if let Some(tracker) = self.trackers.get_mut(&key) {
                tracker.last_sent = Some((stock, now));
            }
        }
    }

    /// Returns the states of engines as they are announced to daemons.
    fn announcements(&self, keys: impl IntoIterator<Item = Key>, now: Duration) -> Stocks {
        let known = keys.into_iter().filter_map(|key| Some((self.trackers.get(&key)?, key)));
        known.map(|(tracker, key)| (key, tracker.announcement(now))).collect()
    }

    /// Returns the engines of a service on which an adapter is resident or about to be loaded, without
    /// those that take few requests. An engine that loads a model takes no other order for seconds.
    fn engines_with_adapter(
        &self,
        now: Duration,
        service: &str,
        request: &(ModelId, AdapterId),
    ) -> Vec<Key> {
        let holds = |tracker: &Tracker| {
            let is_loaded = tracker.serves_adapter(&request.0, &request.1);
            let is_wanted =
                tracker.takes_adapters(now) && tracker.wanted_adapters.contains(request);
            let takes_requests = tracker.service == service && tracker.max_load.is_none();
            takes_requests && (is_loaded || is_wanted)
        };
        self.trackers
            .iter()
            .filter(|(_, tracker)| holds(tracker))
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Updates the models of a service that are requested but not resident on any of its engines, not
    /// counting engines that take few requests.
    fn track_missing_models(&mut self, now: Duration, service: &ServiceId, engines: &Engines) {
        let mut resident_models: HashSet<&ModelId> = HashSet::new();
        for tracker in self.trackers.values().filter(|tracker| tracker.service == *service) {
            // A limited engine goes on serving models with little demand.
            let serves = |model: &ModelId| {
                let share = 1.0 / tracker.resident.len() as f64;
                let max_load = tracker.max_load.map(|max_load| max_load * share);
                max_load.is_none_or(|max_load| self.demand.expected(now, model) <= max_load)
            };
            let models = tracker.resident.iter().map(|row| &row.model);
            resident_models.extend(models.filter(|model| serves(model)));
        }
        let wanted = |model: &ModelId| self.demand.wanted(now, model).is_some();
        let is_missing = |model: &ModelId| !resident_models.contains(model) && wanted(model);
        self.missing_models.retain(|(other, model), _| other != service || is_missing(model));
        let models = engines.models.iter().map(|model| &model.name);
        for model in models.filter(|model| is_missing(model)) {
            self.missing_models.entry((service.clone(), model.clone())).or_insert(now);
        }
    }

    /// Returns a model's requirement for the plan of a service.
    fn requirement(&self, now: Duration, service: &ServiceId, model: &Model) -> Requirement {
        let name = &model.name;
        let since = self.missing_models.get(&(service.clone(), name.clone()));
        let wanted = since.and_then(|_| self.demand.wanted(now, name));
        Requirement {
            model: name.clone(),
            weights_mb: model.weights_mb,
            demand: wanted.unwrap_or_else(|| self.demand.expected(now, name)),
            requested_for: since.map(|since| now.saturating_sub(*since)),
            idle: self.demand.is_idle(now, name),
            missing_adapters: self.starved_adapters_of(now, service, name),
        }
    }

    /// Returns the number of a model's adapters that are requested and have been on no engine of a
    /// service for longer than an order takes.
    fn starved_adapters_of(&self, now: Duration, service: &str, model: &str) -> usize {
        let is_starved = |request: &Missing| request.is_wanted(now) && request.is_starved(now);
        let rows = self.missing_adapters.iter();
        let rows = rows.filter(|((owner, name, _), _)| owner == service && name == model);
        rows.filter(|(_, request)| is_starved(request)).count()
    }

    /// Returns the number of loads from the weight store that may start now.
    fn allowed_loads(&mut self, now: Duration, loads_per_s: f64, window: Duration) -> u32 {
        while self.cold_loads.front().is_some_and(|started_at| now > *started_at + window) {
            self.cold_loads.pop_front();
        }
        let allowed = (loads_per_s * window.as_secs_f64() * LOAD_BUDGET_RATIO).floor() as usize + 1;
        allowed.saturating_sub(self.cold_loads.len()) as u32
    }
}

/// Runs the placer's steps for as long as the daemon runs.
pub async fn run(daemon: Rc<Daemon>) {
    loop {
        Timer::after(STEP_INTERVAL).await;
        let now = clock::now();
        if daemon.shutting_down.get() || !daemon.placer.borrow().holds_lease(now) {
            continue;
        }
        let Some(config) = daemon.config.borrow().clone() else {
            continue;
        };
        sync_trackers(&daemon, now, &config);
        if daemon.orders.is_late() {
            poll_any(&daemon);
        }
        poll_due(&daemon, now);
        if !daemon.placer.borrow_mut().is_settled(now) {
            continue;
        }
        for (service, engines) in config.engines() {
            place_models(&daemon, now, &service.name, engines);
        }
    }
}

/// Returns the engines that a holder of the lease may order.
pub fn engines(daemon: &Daemon) -> Vec<Key> {
    let config = daemon.config.borrow();
    let places_models = |service: &str| {
        let services = config.as_ref().map(|config| &config.services);
        let service = services.and_then(|services| services.get(service));
        service.is_some_and(|service| service.engines.is_some())
    };
    let fleet = daemon.fleet.borrow();
    let rows = fleet.rows().filter(|row| places_models(&row.instance.service));
    rows.map(|row| row.instance.key.clone()).collect()
}

/// Returns the service that an endpoint belongs to.
fn service_of(daemon: &Daemon, key: &Key) -> Option<Rc<Service>> {
    let fleet = daemon.fleet.borrow();
    let service = &fleet.get(key)?.instance.service;
    daemon.config.borrow().as_ref()?.services.get(service).cloned()
}

/// Adds trackers for newly registered engines, and removes those of engines that are gone.
fn sync_trackers(daemon: &Daemon, now: Duration, config: &Config) {
    let fleet = daemon.fleet.borrow();
    let mut placer = daemon.placer.borrow_mut();
    let wall_clock = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    let engines: Vec<_> = fleet
        .rows()
        .filter(|row| {
            let service = config.services.get(&row.instance.service);
            service.is_some_and(|service| service.engines.is_some())
        })
        .collect();
    placer.trackers.retain(|key, _| fleet.get(key).is_some());
    let mut held = Vec::new();
    let mut new = Vec::new();
    for row in engines {
        let instance = &row.instance;
        let age = wall_clock.saturating_sub(Duration::from_millis(instance.key.born));
        let held_until = placer.late_orders.held_until(now, age);
        let held_until = held_until.filter(|_| fleet.had_predecessor(&instance.key));
        let service = instance.service.clone();
        let tracker = placer.trackers.entry(instance.key.clone()).or_insert_with(|| {
            held.extend(held_until.map(|until| (instance.key.clone(), until - now)));
            new.push(instance.key.clone());
            let tracker = Tracker::new(now, instance.resident.clone(), instance.copies.clone());
            Tracker { service, held_until: held_until.unwrap_or_default(), ..tracker }
        });
        // Another daemon may have told of the restart meanwhile.
        tracker.held_until = tracker.held_until.max(held_until.unwrap_or_default());
        let is_idle =
            tracker.next_poll.is_none() && !tracker.order_pending && tracker.target.is_none();
        tracker.max_load = row.limit().and_then(|limit| limit::max_load(limit, instance.slots));
        let validity =
            if row.limit().is_some() { LIMITED_STATE_VALIDITY } else { orders::STATE_VALIDITY };
        if is_idle && now > tracker.changed_at + validity {
            tracker.next_poll = Some(now);
        }
    }
    if placer.has_unlisted(&new) {
        placer.unlisted.notify(1);
    }
    drop((fleet, placer));
    for (key, remaining) in held {
        log_held(daemon, &key, None, remaining);
    }
}

/// Logs that an engine gets no orders for a while, and which order was to be sent.
fn log_held(daemon: &Daemon, key: &Key, task: Option<&Task>, remaining: Duration) {
    daemon.note(&Event::Held {
        endpoint: key.id.clone(),
        born: key.born,
        model: task.map(|task| task.model.clone()),
        remaining: remaining.as_millis() as u64,
    });
}

/// Polls a random engine, to find out whether calls are answered in time again.
fn poll_any(daemon: &Rc<Daemon>) {
    let key = {
        let placer = daemon.placer.borrow();
        placer.trackers.keys().choose(&mut *daemon.rng.borrow_mut()).cloned()
    };
    if let Some(key) = key {
        let shared = daemon.clone();
        daemon.ex.spawn(async move { poll(&shared, &key).await }).detach();
    }
}

/// Polls the engines whose next poll is due.
fn poll_due(daemon: &Rc<Daemon>, now: Duration) {
    let mut due = Vec::new();
    for (key, tracker) in &mut daemon.placer.borrow_mut().trackers {
        if tracker.next_poll.is_some_and(|poll_at| poll_at <= now) {
            tracker.next_poll = Some(now + orders::POLL_INTERVAL + engine::ORDER_TIMEOUT);
            due.push(key.clone());
        }
    }
    for key in due {
        let shared = daemon.clone();
        daemon.ex.spawn(async move { poll(&shared, &key).await }).detach();
    }
}

/// Requests an engine's report, applies it to the engine's tracker and queues an update.
async fn poll(daemon: &Rc<Daemon>, key: &Key) {
    let report = engine::report(daemon, key, Call::Report).await;
    let now = clock::now();
    if report.as_ref().is_some_and(|report| report.started_at.is_some_and(|born| born != key.born))
    {
        // The record of a crashed engine expires after some heartbeats; until then, models would be
        // planned for an engine that does not load them.
        daemon.fleet.borrow_mut().mark_replaced(key);
        return;
    }
    let target =
        daemon.placer.borrow().trackers.get(key).and_then(|tracker| tracker.target.clone());
    {
        let mut placer = daemon.placer.borrow_mut();
        let Some(tracker) = placer.trackers.get_mut(key) else {
            return;
        };
        let Some(report) = report else {
            tracker.next_poll = Some(now + orders::POLL_INTERVAL);
            return;
        };
        if !tracker.on_report(now, report) {
            return;
        }
    }
    let has_target =
        daemon.placer.borrow().trackers.get(key).is_some_and(|tracker| tracker.target.is_some());
    if let Some(target) = target.filter(|_| !has_target) {
        log_target(daemon, key, &target, "reached");
    }
    daemon.placer.borrow_mut().queue_update(key);
}

/// Plans the placement of a service's models, and sends the orders that are due.
fn place_models(daemon: &Rc<Daemon>, now: Duration, service: &ServiceId, engines: &Engines) {
    let (requirements, keys, hosts, allowed_loads) = {
        let fleet = daemon.fleet.borrow();
        let mut placer = daemon.placer.borrow_mut();
        let allowed_loads =
            placer.allowed_loads(now, engines.loads_per_second, daemon.settings.ceiling.window);
        placer.track_missing_models(now, service, engines);
        let requirement = |model| placer.requirement(now, service, model);
        let requirements: Vec<Requirement> = engines.models.iter().map(requirement).collect();
        let is_own = |row: &&Endpoint| row.instance.service == *service;
        let rows = fleet.rows().filter(|row| is_own(row) && row.is_usable(now));
        let mut rows: Vec<&Endpoint> = rows.collect();
        rows.sort_by(|a, b| a.instance.key.cmp(&b.instance.key));
        let host = |row: &&Endpoint| {
            let tracker = placer.trackers.get(&row.instance.key)?;
            let region = fleet.region_of(&row.instance.data_center);
            tracker
                .max_load
                .is_none()
                .then(|| orders::host(now, tracker, row.instance.key.clone(), region, engines))
        };
        let hosts: Vec<Host> = rows.iter().filter_map(host).collect();
        let keys: Vec<Key> = rows.iter().map(|row| row.instance.key.clone()).collect();
        (requirements, keys, hosts, allowed_loads)
    };
    log_plan(daemon, now, &requirements, &hosts, allowed_loads);
    for placement in spread::plan(&requirements, &hosts, allowed_loads, MAX_STEP_PLACEMENTS) {
        set_target(daemon, now, placement);
    }
    for key in keys {
        send_next(daemon, now, &key);
    }
}

fn set_target(daemon: &Rc<Daemon>, now: Duration, placement: Placement) {
    let target = Target {
        model: placement.model,
        evicted: placement.evicted,
        set_at: now,
        load_accepted: false,
        accepted_orders: 0,
    };
    log_target(daemon, &placement.key, &target, "begun");
    if let Some(tracker) = daemon.placer.borrow_mut().trackers.get_mut(&placement.key) {
        tracker.target = Some(target);
    }
}

fn log_target(daemon: &Daemon, key: &Key, target: &Target, outcome: &'static str) {
    let holds = daemon
        .placer
        .borrow()
        .trackers
        .get(key)
        .map(|tracker| tracker.resident.iter().map(|row| row.model.clone()).collect());
    daemon.note(&Event::Goal {
        endpoint: key.id.clone(),
        model: target.model.clone(),
        victims: target.evicted.clone(),
        holds: holds.unwrap_or_default(),
        outcome,
        took: clock::now().saturating_sub(target.set_at).as_millis() as u64,
    });
}

fn log_plan(
    daemon: &Daemon,
    now: Duration,
    requirements: &[Requirement],
    hosts: &[Host],
    allowed_loads: u32,
) {
    if now < daemon.placer.borrow().plan_logged_at + PLAN_LOG_INTERVAL {
        return;
    }
    daemon.placer.borrow_mut().plan_logged_at = now;
    let obstacles = spread::obstacles(requirements, hosts, allowed_loads);
    let describe = |counts: &BTreeMap<Obstacle, usize>| {
        let rows = counts.iter().map(|(obstacle, count)| {
            let obstacle: &'static str = obstacle.into();
            format!("{obstacle} {count}")
        });
        rows.collect::<Vec<_>>().join(", ")
    };
    for requirement in requirements {
        let copies = hosts.iter().filter(|host| host.resident.contains(&requirement.model)).count();
        daemon.note(&Event::Plan {
            model: requirement.model.clone(),
            demand: (requirement.demand * 10.0).round() / 10.0,
            copies,
            missing: requirement.requested_for.map(|span| span.as_millis() as u64),
            obstacles: obstacles.get(&requirement.model).map(describe),
        });
    }
}

/// Requests an adapter for the daemon at `from`, which is `None` for this daemon. It is loaded on the
/// engine that was requested if that takes orders for adapters now.
pub fn request_adapter(
    daemon: &Rc<Daemon>,
    requested: &Key,
    model: &str,
    adapter: &str,
    from: Option<SocketAddr>,
) {
    let now = clock::now();
    let Some(service) = service_of(daemon, requested) else {
        return;
    };
    let Some(engines) = &service.engines else {
        return;
    };
    let key = &{
        let placer = daemon.placer.borrow();
        orders::engine_for_adapter(now, &placer.trackers, requested, model, engines).clone()
    };
    let is_satisfied = {
        let mut placer = daemon.placer.borrow_mut();
        if !placer.holds_lease(now) {
            return;
        }
        let Some(tracker) = placer.trackers.get(key) else {
            return;
        };
        if !is_resident(&tracker.resident, model, None) {
            return;
        }
        let has_adapter = tracker.serves_adapter(model, adapter);
        let request = (model.to_string(), adapter.to_string());
        let missing_key = (service.name.clone(), model.to_string(), adapter.to_string());
        let with_adapter = placer.engines_with_adapter(now, &service.name, &request);
        let serves = |key: &Key| {
            placer.tracker(key).is_some_and(|tracker| tracker.serves_adapter(model, adapter))
        };
        let announced: Vec<Key> = if has_adapter {
            vec![key.clone()]
        } else {
            with_adapter.iter().filter(|key| serves(key)).cloned().collect()
        };
        if announced.is_empty() {
            let missing = Missing { since: now, requested_at: now };
            let row = placer.missing_adapters.entry(missing_key).or_insert(missing);
            row.record(now);
        } else {
            placer.missing_adapters.remove(&missing_key);
        }
        let rate = placer.demand.adapter_rate(now, model, adapter);
        let has_enough = with_adapter.len() > (rate / REPLICA_REQUEST_RATE) as usize;
        match placer.trackers.get_mut(key) {
            Some(tracker) if !has_enough && !tracker.wanted_adapters.contains(&request) => {
                tracker.wanted_adapters.push_back(request);
            }
            _ => {}
        }
        let is_satisfied = has_adapter || with_adapter.contains(key);
        // The daemon that requested the adapter has missed the update with its engines.
        match from {
            Some(from) => placer.queue_response(from, announced),
            None => {
                for (key, stock) in placer.announcements(announced, now) {
                    daemon.fleet.borrow_mut().set_resident(now, &key, stock);
                }
            }
        }
        is_satisfied
    };
    if is_satisfied {
        return;
    }
    send_next(daemon, now, key);
}
