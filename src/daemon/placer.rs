//! Places models on engines while this daemon holds the lease.
//!
//! Only the holder gives orders, and it looks at the boot clock right before each one leaves, so
//! that a machine that was suspended sends nothing under a lease that ran out. Each order names
//! the number of orders that the engine has accepted: one without an answer may act seconds later,
//! but not after another order was accepted in between, so sending again cannot double it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use smol::Timer;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::journal::Event;
use crate::daemon::link;
use crate::daemon::link::Link;
use crate::daemon::peer;
use crate::daemon::peer::Message;
use crate::daemon::seat;
use crate::daemon::settings::Settings;
use crate::daemon::store;
use crate::decide::lease;
use crate::decide::lease::Holder;
use crate::decide::lease::Lease;
use crate::decide::lease::Watch;
use crate::decide::spread;
use crate::decide::spread::Host;
use crate::decide::spread::Move;
use crate::decide::spread::Need;
use crate::edge::dialect::Action;
use crate::edge::dialect::Kind;
use crate::edge::dialect::Object;
use crate::edge::dialect::Order;
use crate::edge::dialect::Ordered;
use crate::edge::dialect::Read;
use crate::edge::dialect::Written;
use crate::table::AdapterId;
use crate::table::ModelId;
use crate::table::instance::Copies;
use crate::table::instance::Key;
use crate::table::instance::Report;
use crate::table::instance::Resident;
use crate::table::instance::State;
use crate::table::routing::Config;
use crate::table::routing::Engines;

/// The name of the lease object.
const LEASE: &str = "placer";
/// Time between two notes of demand and copies in the log.
const NOTE: Duration = Duration::from_secs(2);
/// Between two looks at an engine that still uses an adapter that it was told to drop.
const DROP: Duration = Duration::from_millis(100);
/// So often at most: then another adapter is dropped instead.
const DROPS: u32 = 8;
/// Time between two steps of the placer.
const STEP: Duration = Duration::from_millis(100);
/// Time between two looks of a daemon that does not hold the lease: stale reads, a tenth of the
/// price of a read.
const LOOK: Duration = Duration::from_millis(1_000);
/// How long an order for a model, or a report, may take to be answered.
const ORDER: Duration = Duration::from_millis(900);
/// The same for an adapter: callers wait for it, and the number of orders that each names makes
/// sending again safe. Several times the way there and back between regions.
const ADAPTER_ORDER: Duration = Duration::from_millis(300);
/// How long an adapter takes to be there once the order was accepted.
const ADAPTER: Duration = Duration::from_millis(15);
/// Between two looks at an engine whose load takes longer than expected.
const POLL: Duration = Duration::from_millis(250);
/// What a load takes longer than published, before the first look.
const LONGER: Duration = Duration::from_millis(60);
/// Over how long demand is smoothed: short enough to follow a shift within seconds, long enough
/// that a pause of one caller moves nothing.
const SMOOTH: Duration = Duration::from_secs(3);
/// Of the loads that the weight store allows, so many are begun.
const CEILING: f64 = 1.0;
/// After this long an engine's own entry is believed again where it differs.
const BELIEVE: Duration = Duration::from_secs(3);
/// The most bytes of a report.
const ANSWER_MAX: usize = 1 << 20;

/// What the placer knows of one engine.
#[derive(Debug, Clone)]
struct Desk {
    /// Orders that it has accepted; none before its first report.
    orders: Option<u64>,
    resident: Vec<Resident>,
    copies: Copies,
    /// A load or an unload of a model under way, and when to look.
    work: Option<Work>,
    /// An order is on its way.
    sending: bool,
    /// Adapters to bring.
    wants: VecDeque<(ModelId, AdapterId)>,
    changed: Duration,
}

#[derive(Debug, Clone)]
struct Work {
    action: Action,
    model: ModelId,
    look: Duration,
}

/// A decaying count of requests.
#[derive(Debug, Clone, Copy)]
struct Rate {
    count: f64,
    at: Duration,
}

impl Rate {
    fn now(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.count * (-age / SMOOTH.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Duration, count: u32) {
        self.count = self.now(now) + f64::from(count);
        self.at = now;
    }
}

/// Placement as one daemon knows it.
pub struct Placer {
    watch: Watch,
    revision: u64,
    desks: BTreeMap<Key, Desk>,
    models: HashMap<ModelId, Rate>,
    adapters: HashMap<(ModelId, AdapterId), Rate>,
    /// When loads from the weight store began.
    loads: VecDeque<Duration>,
    led: bool,
    noted: Duration,
}

impl Placer {
    /// A daemon that does not hold the lease.
    pub fn new(settings: &Settings, born: u64) -> Self {
        let me = Holder { address: settings.peer.to_string(), incarnation: born };
        Placer {
            watch: Watch::new(me, settings.lease),
            revision: 0,
            desks: BTreeMap::new(),
            models: HashMap::new(),
            adapters: HashMap::new(),
            loads: VecDeque::new(),
            led: false,
            noted: Duration::ZERO,
        }
    }

    /// Whether this daemon may order at `now`.
    pub fn leads(&self, now: Duration) -> bool {
        self.watch.term(now).is_some()
    }

    /// Where the holder of the lease hears others.
    pub fn leader(&self) -> Option<String> {
        let holder = self.watch.seen()?.holder.as_ref()?;
        Some(holder.address.clone())
    }

    /// What callers of some daemon asked for.
    pub fn demand(
        &mut self,
        now: Duration,
        models: Vec<(ModelId, u32)>,
        adapters: Vec<(ModelId, AdapterId, u32)>,
    ) {
        let fresh = Rate { count: 0.0, at: now };
        for (model, count) in models {
            self.models.entry(model).or_insert(fresh).add(now, count);
        }
        for (model, adapter, count) in adapters {
            self.adapters.entry((model, adapter)).or_insert(fresh).add(now, count);
        }
    }

    fn rate(&self, now: Duration, model: &str) -> f64 {
        self.models.get(model).map_or(0.0, |rate| rate.now(now) / SMOOTH.as_secs_f64())
    }

    /// Loads from the weight store that may begin now.
    fn cold(&mut self, now: Duration, loads: f64, window: Duration) -> u32 {
        while self.loads.front().is_some_and(|at| now > *at + window) {
            self.loads.pop_front();
        }
        let allowed = (loads * window.as_secs_f64() * CEILING).floor() as usize + 1;
        allowed.saturating_sub(self.loads.len()) as u32
    }
}

fn object(object: &Object) -> Option<(u64, Lease)> {
    let lease = serde_json::from_value(object.spec.clone()).ok()?;
    Some((object.revision, lease))
}

/// Follows the lease, and takes or renews it when that is due.
pub async fn lease(daemon: Rc<Daemon>) {
    let mut looked = Duration::ZERO;
    loop {
        let now = clock::now();
        let leads = daemon.placer.borrow().leads(now);
        if !leads && now >= looked + LOOK {
            look(&daemon).await;
            looked = clock::now();
        }
        let may = daemon.ready() || leads;
        let write = if may { daemon.placer.borrow_mut().watch.write(clock::now()) } else { None };
        if let Some(write) = write {
            apply(&daemon, &write).await;
        }
        note_lead(&daemon);
        Timer::after(STEP * 2).await;
    }
}

async fn look(daemon: &Daemon) {
    let now = clock::now();
    let Ok(req) = daemon.dialect.get(Kind::Leases, LEASE, Read::Stale) else {
        return;
    };
    let Ok(res) = store::ask(daemon, Kind::Leases, req).await else {
        return;
    };
    let Ok(found) = daemon.dialect.got(&res) else {
        return;
    };
    let found = found.as_ref().and_then(object);
    let mut placer = daemon.placer.borrow_mut();
    let revision = found.as_ref().map_or(0, |(revision, _)| *revision);
    // Stale reads may be older than what is known.
    if revision >= placer.revision {
        placer.revision = revision;
        placer.watch.read(now, found);
    }
}

async fn apply(daemon: &Daemon, write: &lease::Write) {
    let spec = serde_json::json!(write.lease);
    let req = match write.expect {
        None => daemon.dialect.create(Kind::Leases, LEASE, &spec),
        Some(revision) => daemon.dialect.replace(Kind::Leases, LEASE, Some(revision), &spec),
    };
    let Ok(req) = req else {
        return;
    };
    let Ok(res) = store::ask(daemon, Kind::Leases, req).await else {
        return;
    };
    let now = clock::now();
    let mut placer = daemon.placer.borrow_mut();
    match daemon.dialect.written(&res) {
        Ok(Written::Done(done)) => {
            placer.revision = done.revision;
            placer.watch.applied(now, done.revision, write);
        }
        Ok(Written::Conflict(Some(stands))) => {
            placer.revision = stands.revision;
            let stands = object(&stands);
            placer.watch.refused(now, stands);
        }
        Ok(Written::Missing) => placer.watch.refused(now, None),
        Ok(Written::Conflict(None) | Written::Refused) | Err(_) => {}
    }
}

fn note_lead(daemon: &Daemon) {
    let now = clock::now();
    let mut placer = daemon.placer.borrow_mut();
    let leads = placer.leads(now);
    if leads == placer.led {
        return;
    }
    placer.led = leads;
    let lease = placer.watch.seen();
    let token = lease.map_or(0, |lease| lease.term);
    let holder = lease.and_then(|lease| lease.holder.as_ref());
    let holder = holder.map(|holder| holder.address.clone()).unwrap_or_default();
    placer.desks.clear();
    if leads {
        // The loads that the holder before began are not known: as if it had begun all it could
        // just before its lease ran out.
        let ago = now.saturating_sub(daemon.settings.lease);
        placer.loads = std::iter::repeat_n(ago, 8).collect();
        if lease_is_first(token) {
            placer.loads.clear();
        }
    }
    drop(placer);
    daemon.note(&Event::Lease { held: leads, token, holder });
}

/// Whether nobody held the lease before.
fn lease_is_first(token: u64) -> bool {
    token <= 1
}

/// Gives the lease back, so that another daemon takes it at once.
pub async fn resign(daemon: &Daemon) {
    let write = daemon.placer.borrow_mut().watch.resign(clock::now());
    if let Some(write) = write {
        apply(daemon, &write).await;
        note_lead(daemon);
    }
}

/// Places models for as long as the daemon runs.
pub async fn steps(daemon: Rc<Daemon>) {
    loop {
        Timer::after(STEP).await;
        let now = clock::now();
        if daemon.leaving.get() || !daemon.placer.borrow().leads(now) {
            continue;
        }
        let Some(config) = daemon.config.borrow().clone() else {
            continue;
        };
        sync(&daemon, now, &config);
        looks(&daemon, now);
        for (service, engines) in config.engines() {
            moves(&daemon, now, &service.name, engines);
            adapters(&daemon, engines);
        }
    }
}

/// Takes engines' own entries into the desks.
fn sync(daemon: &Daemon, now: Duration, config: &Config) {
    let fleet = daemon.fleet.borrow();
    let mut placer = daemon.placer.borrow_mut();
    let engines: Vec<_> = fleet
        .rows()
        .filter(|row| {
            let service = config.services.get(&row.instance.service);
            service.is_some_and(|service| service.engines.is_some())
        })
        .collect();
    placer.desks.retain(|key, _| fleet.get(key).is_some());
    for row in engines {
        let instance = &row.instance;
        let desk = placer.desks.entry(instance.key.clone()).or_insert_with(|| Desk {
            orders: None,
            resident: instance.resident.clone(),
            copies: instance.copies.clone(),
            // Nothing is ordered before its first report.
            work: Some(Work { action: Action::Load, model: String::new(), look: now }),
            sending: false,
            wants: VecDeque::new(),
            changed: now,
        });
        let idle = desk.work.is_none() && !desk.sending;
        if idle && now > desk.changed + BELIEVE {
            desk.resident.clone_from(&instance.resident);
            desk.copies.clone_from(&instance.copies);
        }
    }
}

/// Looks at engines whose loads should be over.
fn looks(daemon: &Rc<Daemon>, now: Duration) {
    let mut due = Vec::new();
    for (key, desk) in &mut daemon.placer.borrow_mut().desks {
        if let Some(work) = &mut desk.work
            && work.look <= now
        {
            work.look = now + POLL + ORDER;
            due.push(key.clone());
        }
    }
    for key in due {
        let shared = daemon.clone();
        daemon.ex.spawn(async move { refresh(&shared, &key).await }).detach();
    }
}

/// Reads an engine's report into its desk, and tells what it holds.
async fn refresh(daemon: &Rc<Daemon>, key: &Key) {
    let report = report(daemon, key).await;
    let now = clock::now();
    {
        let mut placer = daemon.placer.borrow_mut();
        let Some(desk) = placer.desks.get_mut(key) else {
            return;
        };
        let Some(report) = report else {
            if let Some(work) = &mut desk.work {
                work.look = now + POLL;
            }
            return;
        };
        desk.orders = Some(report.orders);
        desk.copies = report.copies;
        desk.changed = now;
        if report.busy {
            match &mut desk.work {
                Some(work) => work.look = now + POLL,
                // An order of an earlier holder.
                None => {
                    desk.work = Some(Work {
                        action: Action::Load,
                        model: String::new(),
                        look: now + POLL,
                    });
                }
            }
        } else {
            desk.work = None;
        }
        desk.resident = report.resident;
    }
    tell(daemon, key);
}

async fn report(daemon: &Rc<Daemon>, key: &Key) -> Option<Report> {
    let req = daemon.dialect.report(&key.id).ok()?;
    let res = exchange(daemon, key, req, ORDER, || true).await.ok()?;
    daemon.dialect.reported(&res).ok()
}

/// One call to an engine; `still` is asked right before it leaves.
async fn exchange(
    daemon: &Rc<Daemon>,
    key: &Key,
    req: Request<bytes::Bytes>,
    limit: Duration,
    still: impl Fn() -> bool,
) -> Result<http::Response<bytes::Bytes>, link::Error> {
    let addr = daemon.fleet.borrow().get(key).map(|row| row.instance.address);
    let addr = addr.ok_or(link::Error::Connect)?;
    let mut link = open(daemon, addr).await?;
    if !still() {
        return Err(link::Error::Unsent);
    }
    let res = link.call(req, ANSWER_MAX, limit).await?;
    daemon.pool.borrow_mut().give(addr, link, None);
    Ok(res)
}

async fn open(daemon: &Rc<Daemon>, addr: SocketAddr) -> Result<Link, link::Error> {
    let kept = daemon.pool.borrow_mut().take(addr);
    match kept {
        Some(link) => Ok(link),
        None => link::dial(&daemon.ex, addr, ORDER).await,
    }
}

/// Tells all daemons what an engine holds, leaving out what is being dropped.
fn tell(daemon: &Rc<Daemon>, key: &Key) {
    let message = {
        let placer = daemon.placer.borrow();
        let Some(desk) = placer.desks.get(key) else {
            return;
        };
        Message::Holding {
            key: key.clone(),
            orders: desk.orders.unwrap_or(0),
            resident: serving(desk),
        }
    };
    if let Message::Holding { key, orders, resident } = &message {
        daemon.fleet.borrow_mut().hold(clock::now(), key, *orders, resident.clone());
    }
    let peers = daemon.nodes.borrow().peers();
    peer::tell(daemon, peers, message);
    seat::pump(daemon);
}

/// What an engine can be sent requests for.
fn serving(desk: &Desk) -> Vec<Resident> {
    let dropped = desk.work.as_ref().filter(|work| work.action == Action::Unload);
    let rows = desk.resident.iter();
    rows.filter(|row| dropped.is_none_or(|work| work.model != row.model)).cloned().collect()
}

/// Plans and begins what is due for the models of a service.
fn moves(daemon: &Rc<Daemon>, now: Duration, service: &str, engines: &Engines) {
    let (needs, hosts, cold) = {
        let fleet = daemon.fleet.borrow();
        let mut placer = daemon.placer.borrow_mut();
        let cold = placer.cold(now, engines.loads, daemon.settings.ceiling.window);
        let needs: Vec<Need> = engines
            .models
            .iter()
            .map(|model| Need {
                model: model.name.clone(),
                weights: model.weights,
                demand: placer.rate(now, &model.name),
            })
            .collect();
        let largest = engines.models.iter().map(|model| model.adapter).fold(0.0, f64::max);
        let room = engines.weights - largest * f64::from(engines.adapters);
        let rows = fleet.rows().filter(|row| {
            row.instance.service == service
                && row.instance.state == State::Live
                && row.usable(now)
        });
        let mut hosts: Vec<Host> = rows
            .filter_map(|row| {
                let desk = placer.desks.get(&row.instance.key)?;
                Some(host(desk, row.instance.key.clone(), fleet.region_of(&row.instance.data_center), room))
            })
            .collect();
        hosts.sort_by(|a, b| a.key.cmp(&b.key));
        (needs, hosts, cold)
    };
    note_plan(daemon, now, &needs, &hosts);
    for step in spread::plan(&needs, &hosts, cold) {
        let (key, action, model) = match step {
            Move::Load(key, model) => (key, Action::Load, model),
            Move::Unload(key, model) => (key, Action::Unload, model),
        };
        begin(daemon, key, action, model, None, engines);
    }
}

fn note_plan(daemon: &Daemon, now: Duration, needs: &[Need], hosts: &[Host]) {
    if now < daemon.placer.borrow().noted + NOTE {
        return;
    }
    daemon.placer.borrow_mut().noted = now;
    let targets = spread::targets(needs, hosts);
    for need in needs {
        let copies = hosts.iter().filter(|host| host.resident.contains(&need.model)).count();
        daemon.note(&Event::Plan {
            model: need.model.clone(),
            demand: (need.demand * 10.0).round() / 10.0,
            copies,
            target: targets[&need.model],
        });
    }
}

fn host(desk: &Desk, key: Key, region: String, room: f64) -> Host {
    let mut resident: Vec<ModelId> = desk.resident.iter().map(|row| row.model.clone()).collect();
    let mut outgoing = Vec::new();
    if let Some(work) = &desk.work {
        match work.action {
            Action::Load if !resident.contains(&work.model) && !work.model.is_empty() => {
                resident.push(work.model.clone());
            }
            Action::Load => {}
            Action::Unload => outgoing.push(work.model.clone()),
        }
    }
    let mut at_hand = desk.copies.memory.clone();
    at_hand.extend(desk.copies.disk.iter().cloned());
    Host {
        key,
        region,
        room,
        resident,
        outgoing,
        busy: desk.work.is_some() || desk.sending,
        at_hand,
    }
}

/// A daemon wants an adapter at an engine.
pub fn want(daemon: &Rc<Daemon>, key: &Key, model: &str, adapter: &str) {
    let now = clock::now();
    let held = {
        let mut placer = daemon.placer.borrow_mut();
        if !placer.leads(now) {
            return;
        }
        let Some(desk) = placer.desks.get_mut(key) else {
            return;
        };
        let row = desk.resident.iter().find(|row| row.model == model);
        let Some(row) = row else {
            return;
        };
        let held = row.adapters.iter().any(|other| other == adapter);
        let want = (model.to_string(), adapter.to_string());
        if !held && !desk.wants.contains(&want) {
            desk.wants.push_back(want);
        }
        held
    };
    if held {
        // The one who asked missed the news.
        tell(daemon, key);
        return;
    }
    let Some(config) = daemon.config.borrow().clone() else {
        return;
    };
    for (_, engines) in config.engines() {
        adapters(daemon, engines);
    }
}

/// Begins the next adapter order at each engine that has one due.
fn adapters(daemon: &Rc<Daemon>, engines: &Engines) {
    let now = clock::now();
    let mut due = Vec::new();
    {
        let mut placer = daemon.placer.borrow_mut();
        let Placer { desks, adapters, .. } = &mut *placer;
        let free = |desk: &Desk| !desk.sending && desk.orders.is_some();
        for (key, desk) in desks.iter_mut().filter(|(_, desk)| free(desk)) {
            let Some((model, adapter)) = desk.wants.front().cloned() else {
                continue;
            };
            if !engines.models.iter().any(|row| row.name == model) {
                continue;
            }
            let row = desk.resident.iter().find(|row| row.model == model);
            if row.is_none_or(|row| row.adapters.contains(&adapter)) {
                desk.wants.pop_front();
                continue;
            }
            let held: usize = desk.resident.iter().map(|row| row.adapters.len()).sum();
            if held < engines.adapters as usize {
                desk.wants.pop_front();
                due.push((key.clone(), Action::Load, model, adapter));
                continue;
            }
            let rate = |model: &str, adapter: &str| {
                let key = (model.to_string(), adapter.to_string());
                adapters.get(&key).map_or(0.0, |rate| rate.now(now))
            };
            let all = desk.resident.iter().flat_map(|row| {
                row.adapters.iter().map(move |adapter| (row.model.clone(), adapter.clone()))
            });
            let least = all.min_by(|a, b| rate(&a.0, &a.1).total_cmp(&rate(&b.0, &b.1)));
            if let Some((model, adapter)) = least {
                due.push((key.clone(), Action::Unload, model, adapter));
            }
        }
    }
    for (key, action, model, adapter) in due {
        begin(daemon, key, action, model, Some(adapter), engines);
    }
}

/// Gives one order, in a task of its own.
fn begin(
    daemon: &Rc<Daemon>,
    key: Key,
    action: Action,
    model: ModelId,
    adapter: Option<AdapterId>,
    engines: &Engines,
) {
    let now = clock::now();
    let mut takes = ADAPTER;
    {
        let mut placer = daemon.placer.borrow_mut();
        let Some(desk) = placer.desks.get_mut(&key) else {
            return;
        };
        if desk.sending {
            return;
        }
        desk.sending = true;
        if adapter.is_none() {
            let published = engines.model(&model);
            let memory = desk.copies.memory.contains(&model);
            let disk = desk.copies.disk.contains(&model);
            takes = match (action, published) {
                (Action::Unload, _) | (Action::Load, None) => Duration::ZERO,
                (Action::Load, Some(row)) if memory => row.warm,
                (Action::Load, Some(row)) if disk => row.disk,
                (Action::Load, Some(row)) => row.cold,
            } + LONGER;
            desk.work = Some(Work {
                action,
                model: model.clone(),
                look: now + ORDER + takes + POLL,
            });
            if action == Action::Load && !memory && !disk {
                placer.loads.push_back(now);
            }
        }
    }
    if action == Action::Unload {
        if let Some(adapter) = &adapter {
            let mut placer = daemon.placer.borrow_mut();
            if let Some(desk) = placer.desks.get_mut(&key) {
                for row in desk.resident.iter_mut().filter(|row| row.model == model) {
                    row.adapters.retain(|other| other != adapter);
                }
            }
        }
        // Daemons stop sending before the order leaves.
        tell(daemon, &key);
    }
    let shared = daemon.clone();
    let work = async move { carry_out(&shared, key, action, model, adapter, takes).await };
    daemon.ex.spawn(work).detach();
}

async fn carry_out(
    daemon: &Rc<Daemon>,
    key: Key,
    action: Action,
    model: ModelId,
    adapter: Option<AdapterId>,
    takes: Duration,
) {
    let began = clock::now();
    let expect = daemon.placer.borrow().desks.get(&key).and_then(|desk| desk.orders);
    let token = daemon.placer.borrow().watch.term(began);
    let (Some(expect), Some(token)) = (expect, token) else {
        if let Some(desk) = daemon.placer.borrow_mut().desks.get_mut(&key) {
            desk.sending = false;
        }
        return;
    };
    let order = Order {
        action,
        model: model.clone(),
        adapter: adapter.clone(),
        expect,
        holder: daemon.settings.name.clone(),
        token,
        endpoint: key.id.clone(),
    };
    let outcome = match daemon.dialect.order(&order) {
        Err(_) => Err(link::Error::Malformed),
        Ok(req) => {
            let still = || daemon.placer.borrow().watch.term(clock::now()) == Some(token);
            let limit = if adapter.is_some() { ADAPTER_ORDER } else { ORDER };
            exchange(daemon, &key, req, limit, still).await
        }
    };
    let ordered = outcome.map(|res| daemon.dialect.ordered(&res));
    let now = clock::now();
    let text = match &ordered {
        Ok(Ok(ordered)) => {
            let text: &'static str = ordered.into();
            text.to_string()
        }
        Ok(Err(err)) => err.to_string(),
        Err(err) => err.to_string(),
    };
    daemon.note(&Event::Order {
        endpoint: key.id.clone(),
        action: action.into(),
        model: model.clone(),
        adapter: adapter.clone(),
        expect,
        token,
        outcome: text,
        took: now.saturating_sub(began).as_millis() as u64,
        why: if adapter.is_some() { "wanted" } else { "demand" },
    });
    let accepted = matches!(ordered, Ok(Ok(Ordered::Accepted)));
    if matches!(ordered, Err(link::Error::Connect)) {
        daemon.fleet.borrow_mut().unreachable(now, &key);
        if let Some(desk) = daemon.placer.borrow_mut().desks.get_mut(&key) {
            desk.wants.clear();
        }
    }
    if accepted && action == Action::Unload && adapter.is_some() {
        // It is still in use there and takes its place until the last run ends.
        dropped(daemon, &key, &model, adapter.as_ref()).await;
    } else if accepted {
        if adapter.is_some() {
            Timer::after(takes).await;
        }
        accept(daemon, &key, action, &model, adapter.as_ref(), clock::now() + takes);
    } else {
        // What the engine did or may yet do is read from its own report.
        refresh(daemon, &key).await;
    }
    if let Some(desk) = daemon.placer.borrow_mut().desks.get_mut(&key) {
        desk.sending = false;
    }
    if accepted {
        tell(daemon, &key);
    }
    if adapter.is_some() {
        let config = daemon.config.borrow().clone();
        for (_, engines) in config.iter().flat_map(|config| config.engines()) {
            adapters(daemon, engines);
        }
    }
}

/// Waits until an adapter is gone from an engine.
async fn dropped(daemon: &Rc<Daemon>, key: &Key, model: &str, adapter: Option<&AdapterId>) {
    for _ in 0..DROPS {
        Timer::after(DROP).await;
        refresh(daemon, key).await;
        let placer = daemon.placer.borrow();
        let held = placer.desks.get(key).is_some_and(|desk| {
            let rows = desk.resident.iter().filter(|row| row.model == model);
            rows.flat_map(|row| &row.adapters).any(|other| Some(other) == adapter)
        });
        if !held {
            return;
        }
    }
}

fn accept(
    daemon: &Daemon,
    key: &Key,
    action: Action,
    model: &str,
    adapter: Option<&AdapterId>,
    over: Duration,
) {
    let mut placer = daemon.placer.borrow_mut();
    let Some(desk) = placer.desks.get_mut(key) else {
        return;
    };
    desk.orders = desk.orders.map(|orders| orders + 1);
    desk.changed = clock::now();
    let Some(adapter) = adapter else {
        if let Some(work) = &mut desk.work {
            work.look = over;
        }
        return;
    };
    if let Some(row) = desk.resident.iter_mut().find(|row| row.model == model) {
        match action {
            Action::Load => row.adapters.push(adapter.clone()),
            Action::Unload => row.adapters.retain(|other| other != adapter),
        }
    }
}
