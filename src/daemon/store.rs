//! The platform's store: its client and the tasks that follow its objects.
//!
//! While the store is unavailable, the last known state stays in force. Once it answers again, all
//! objects are listed anew, and `decide::fleet` decides which endpoints have expired.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use event_listener::Event as Notifier;
use http::Request;
use http::Response;
use http::StatusCode;
use rand::Rng;
use smol::Timer;
use smol::future::FutureExt;

use crate::daemon::Daemon;
use crate::daemon::admission;
use crate::daemon::clock;
use crate::daemon::journal::Event;
use crate::daemon::link;
use crate::daemon::link::Executor;
use crate::daemon::link::Link;
use crate::daemon::relay;
use crate::daemon::tally::Op;
use crate::daemon::tally::Outcome;
use crate::daemon::tally::Tally;
use crate::daemon::transfer;
use crate::edge::dialect;
use crate::edge::dialect::Change;
use crate::edge::dialect::Consistency;
use crate::edge::dialect::Kind;
use crate::edge::dialect::Object;
use crate::edge::dialect::Revision;
use crate::edge::dialect::WatchResult;
use crate::table::instance::State;
use crate::table::team::Teams;

/// Timeout of one call, or until the head of a response with objects: the store answers in
/// milliseconds, or in a few hundred when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for opening a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time that a watch waits for a change. A broken connection is found after this time plus
/// `WATCH_TIMEOUT_MARGIN`; other daemons read from this one, and have to put a configuration in
/// force in time as well.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Time that a watch may take in addition to its wait.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Delay between two watches of endpoints, in which changes accumulate. Endpoints change
/// independently, and one watch per change would be most of the calls to the store (16 of 23 per
/// second with six daemons). The delay is short compared to the time within which an endpoint
/// that is leaving must get no more requests.
const INSTANCE_WATCH_DELAY: Duration = Duration::from_millis(450);
/// Delay between two watches of daemons' registrations, each of which is renewed every few seconds.
const NODE_WATCH_DELAY: Duration = Duration::from_millis(700);
/// Divisor of the time for which the store has failed: the quotient is the delay before the next
/// retry, plus up to half as much at random. The delay grows so that retries of hundreds of daemons
/// do not overload a store that is recovering.
const RETRY_DIVISOR: u32 = 3;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);
/// Delay before a kind whose history was compacted is listed again: the store may go on compacting
/// it for a while.
const RELIST_DELAY: Duration = Duration::from_millis(700);
/// Minimum time for which a daemon reads the store directly after its readers failed, plus up to as
/// much at random.
const MIN_DIRECT_TIME: Duration = Duration::from_millis(1_500);
/// Time without an answered call after which the store counts as unavailable. It is longer than one
/// slow call.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_000);
/// Maximum size of a response without a list of objects: one object of the largest size.
const MAX_RESPONSE_BYTES: usize = 2 << 20;
/// Maximum number of pages of a list, and of their bytes. A page has some 500 objects or a megabyte,
/// and a reader sends all of them in one response.
const MAX_LIST_PAGES: usize = 256;
const MAX_LIST_BYTES: usize = transfer::MAX_RESPONSE_BYTES;

/// The reason why a call failed.
#[derive(Debug, Clone, PartialEq)]
pub enum Error {
    /// No complete response was received.
    Link(link::Error),
    /// The response could not be decoded.
    Dialect(dialect::Error),
    /// The response is of an earlier era of the store.
    Outdated,
    /// A list has too many pages, or they are too large.
    TooLong,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Link(err) => write!(f, "{err}"),
            Error::Dialect(err) => write!(f, "{err}"),
            Error::Outdated => write!(f, "response of an earlier era of the store"),
            Error::TooLong => write!(f, "list without end"),
        }
    }
}

impl std::error::Error for Error {}

impl From<link::Error> for Error {
    fn from(err: link::Error) -> Self {
        Error::Link(err)
    }
}

impl From<dialect::Error> for Error {
    fn from(err: dialect::Error) -> Self {
        Error::Dialect(err)
    }
}

/// The calls that share a connection. Nothing in a response names its call, so a late one is taken
/// for the response to the next call of its lane. To a watch that is harmless: what changed after an
/// earlier revision includes what changed after this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Lane {
    kind: Kind,
    /// Whether the calls are lists and watches of all objects.
    follows: bool,
}

impl Lane {
    fn new(kind: Kind, op: Op) -> Self {
        let follows = match op {
            Op::List | Op::ListStale | Op::Watch | Op::Changes => true,
            Op::Get | Op::GetStale | Op::Create | Op::Replace | Op::Remove => false,
        };
        Lane { kind, follows }
    }
}

/// Client of the store.
pub struct Client {
    ex: Executor,
    addr: SocketAddr,
    idle: RefCell<HashMap<Lane, Link>>,
    is_up: Cell<bool>,
    /// When calls last began to fail.
    failing_since: Cell<Duration>,
    /// When the store last answered again after failed calls.
    recovered_at: Cell<Option<Duration>>,
    /// When the last scheduled retry is due while calls fail.
    next_retry: Cell<Duration>,
    /// Notified when the store answers again.
    recovered: Notifier,
    /// When the store last answered a read of daemons' registrations, directly or through a reader.
    nodes_answered_at: Cell<Duration>,
    /// When the store last answered a read of endpoints' records, directly or through a reader.
    instances_answered_at: Cell<Duration>,
    /// Revision of the store that the fleet reflects.
    instances_revision: Cell<Revision>,
    /// Era of the store; `None` before its first answer.
    era: Cell<Option<u64>>,
    /// When this daemon found that the store had been restored from a backup.
    restored_at: Cell<Option<Duration>>,
    tally: Tally,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(ex: Executor, addr: SocketAddr) -> Self {
        Client {
            ex,
            addr,
            idle: RefCell::default(),
            is_up: Cell::new(true),
            failing_since: Cell::new(Duration::ZERO),
            recovered_at: Cell::new(None),
            next_retry: Cell::new(Duration::ZERO),
            recovered: Notifier::new(),
            nodes_answered_at: Cell::new(Duration::ZERO),
            instances_answered_at: Cell::new(Duration::ZERO),
            instances_revision: Cell::default(),
            era: Cell::new(None),
            restored_at: Cell::new(None),
            tally: Tally::default(),
        }
    }

    /// Returns whether the last call was answered.
    pub fn is_up(&self) -> bool {
        self.is_up.get()
    }

    /// Returns whether calls have failed for a while: a single lost response is no outage.
    pub fn is_unavailable(&self, now: Duration) -> bool {
        !self.is_up.get() && now >= self.failing_since.get() + OUTAGE_THRESHOLD
    }

    /// Returns when the store last answered again after failed calls.
    pub fn recovered_at(&self) -> Option<Duration> {
        self.recovered_at.get()
    }

    /// Records what a reader reported: when the store last answered for a kind, and how long ago it
    /// recovered.
    pub fn merge_activity(
        &self,
        kind: Kind,
        answered_at: Duration,
        recovered_ago: Option<Duration>,
    ) {
        let last_answer = match kind {
            Kind::Nodes => Some(&self.nodes_answered_at),
            Kind::Instances => Some(&self.instances_answered_at),
            Kind::Config | Kind::Leases | Kind::Refusals => None,
        };
        if let Some(last_answer) = last_answer {
            last_answer.set(last_answer.get().max(answered_at));
        }
        if kind == Kind::Instances
            && let Some(elapsed) = recovered_ago
        {
            let recovered_at = clock::now().saturating_sub(elapsed);
            self.recovered_at.set(self.recovered_at.get().max(Some(recovered_at)));
        }
    }

    /// Returns when the store last answered a read of daemons' registrations.
    pub fn nodes_answered_at(&self) -> Duration {
        self.nodes_answered_at.get()
    }

    /// Returns when the store last answered a read of endpoints' records.
    pub fn instances_answered_at(&self) -> Duration {
        self.instances_answered_at.get()
    }

    /// Returns the revision of the store up to which endpoints' records have been applied.
    pub fn instances_revision(&self) -> Revision {
        self.instances_revision.get()
    }

    /// Records that the objects of a kind have been applied up to a revision.
    pub fn record_applied(&self, kind: Kind, revision: Revision) {
        if kind == Kind::Instances {
            self.instances_revision.set(revision);
        }
    }

    /// Returns the last known era of the store.
    pub fn era(&self) -> u64 {
        self.era.get().unwrap_or(0)
    }

    /// Returns when the store was last found to have been restored from a backup.
    pub fn restored_at(&self) -> Option<Duration> {
        self.restored_at.get()
    }

    /// Returns for how long calls have failed.
    fn failing_for(&self, now: Duration) -> Duration {
        if self.is_up.get() { Duration::ZERO } else { now.saturating_sub(self.failing_since.get()) }
    }

    /// Returns the counts of calls made so far.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Returns a connection for a call. A list begins on a new one, as objects that it lacks count as
    /// removed, and so does a read of changes, as what it lacks counts as unchanged.
    async fn connect(&self, lane: Lane, op: Op) -> Result<Link, link::Error> {
        let idle_link = self.idle.borrow_mut().remove(&lane);
        let is_fresh = matches!(op, Op::List | Op::ListStale | Op::Changes);
        match idle_link.filter(|link| !is_fresh && link.is_ready()) {
            Some(link) => Ok(link),
            None => link::dial(&self.ex, self.addr, CONNECT_TIMEOUT).await,
        }
    }

    /// Keeps a connection whose last response is complete.
    fn keep(&self, lane: Lane, link: Link) {
        self.idle.borrow_mut().insert(lane, link);
    }
}

/// Makes one call. A connection on which a response was lost is not used again. `limit` applies to
/// the head of a response with objects, and to any other response as a whole.
async fn exchange(
    daemon: &Daemon,
    kind: Kind,
    op: Op,
    mut req: Request<Bytes>,
    limit: Duration,
) -> Result<Response<Bytes>, link::Error> {
    let client = &daemon.store;
    let lane = Lane::new(kind, op);
    let mut link = client.connect(lane, op).await?;
    if let Ok(host) = http::HeaderValue::from_str(&client.addr.to_string()) {
        req.headers_mut().insert(http::header::HOST, host);
    }
    let res = if lane.follows {
        transfer::receive(daemon, &mut link, client.addr, kind, req, limit).await?
    } else {
        link.call(req, MAX_RESPONSE_BYTES, limit).await?
    };
    client.keep(lane, link);
    Ok(res)
}

/// Returns whether a status means that the store did not serve the call.
fn is_rejection(status: StatusCode) -> bool {
    status == StatusCode::TOO_MANY_REQUESTS || status.is_server_error()
}

/// Makes a call and records whether the store answered.
pub async fn call(
    daemon: &Daemon,
    kind: Kind,
    op: Op,
    req: Request<Bytes>,
    limit: Duration,
) -> Result<Response<Bytes>, Error> {
    let client = &daemon.store;
    let res = exchange(daemon, kind, op, req, limit).await;
    let (outcome, problem) = match &res {
        Ok(res) if is_rejection(res.status()) => {
            (Outcome::Refused, Some(format!("status {}", res.status().as_u16())))
        }
        Ok(_) => (Outcome::Answered, None),
        Err(err) => (Outcome::Lost, Some(err.to_string())),
    };
    client.tally.add(kind, op, outcome);
    let up = problem.is_none();
    let now = clock::now();
    let was_unavailable = client.is_unavailable(now);
    if up != client.is_up.replace(up) {
        if up {
            client.recovered_at.set(Some(now));
            client.recovered.notify(usize::MAX);
        } else {
            client.failing_since.set(now);
        }
        if was_unavailable {
            daemon.placer.borrow_mut().watch.on_platform_return(now);
        }
        daemon.note(&Event::Store { kind: kind.into(), up, error: problem.unwrap_or_default() });
    }
    let res = res?;
    if is_rejection(res.status()) {
        return Err(dialect::Error::Status(res.status()).into());
    }
    let era = daemon.dialect.era(&res);
    if era < client.era() {
        return Err(Error::Outdated);
    }
    record_era(daemon, era);
    Ok(res)
}

/// Records the store's era. A new era starts when the store is restored from a backup: writes of
/// the last seconds before it may be lost, leases and registrations among them, and their revisions
/// are assigned again.
pub fn record_era(daemon: &Daemon, era: u64) {
    let client = &daemon.store;
    let (now, previous) = (clock::now(), client.era.replace(Some(era)));
    if previous == Some(era) {
        return;
    }
    // A daemon that has just started does not know how long the era has lasted.
    if era > 0 {
        daemon.placer.borrow_mut().on_restored(now, era);
    }
    if previous.is_some() {
        client.restored_at.set(Some(now));
        // Registrations that are missing now are written again, as after an outage.
        client.recovered_at.set(Some(now));
        daemon.note(&Event::Restored { era });
    }
}

/// Makes a call with the default timeout.
pub async fn short_call(
    daemon: &Daemon,
    kind: Kind,
    op: Op,
    req: Request<Bytes>,
) -> Result<Response<Bytes>, Error> {
    call(daemon, kind, op, req, CALL_TIMEOUT).await
}

/// Lists all objects of a kind, and returns them with the store's revision at the first page.
pub async fn list(
    daemon: &Daemon,
    kind: Kind,
    read: Consistency,
) -> Result<(Vec<Object>, Revision), Error> {
    let mut objects = Vec::new();
    let mut after: Option<String> = None;
    let mut revision = None;
    let mut bytes = 0;
    for _ in 0..MAX_LIST_PAGES {
        let req = daemon.dialect.list(kind, after.as_deref(), read)?;
        let res = short_call(daemon, kind, Op::list(read), req).await?;
        bytes += res.body().len();
        if bytes > MAX_LIST_BYTES {
            break;
        }
        let page = daemon.dialect.parse_page(&res)?;
        let first = *revision.get_or_insert(page.revision);
        if page.revision.era != first.era {
            return Err(Error::Outdated);
        }
        if page.skipped > 0 {
            daemon.note(&Event::Skipped {
                what: "object",
                name: String::new(),
                problem: format!("{} unreadable", page.skipped),
                revision: page.revision.number,
            });
        }
        objects.extend(page.objects);
        if !page.more || page.last.is_none() {
            return Ok((objects, first));
        }
        after = page.last;
    }
    daemon.note(&Event::Skipped {
        what: "list",
        name: after.unwrap_or_default(),
        problem: Error::TooLong.to_string(),
        revision: revision.unwrap_or_default().number,
    });
    Err(Error::TooLong)
}

/// Waits until the next retry is due or the store answers again. While it fails, the tasks that
/// follow it retry one after the other.
pub async fn wait_for_retry(daemon: &Daemon) {
    let (client, now) = (&daemon.store, clock::now());
    let jitter = daemon.rng.borrow_mut().random_range(1.0..1.5);
    let delay = (client.failing_for(now) / RETRY_DIVISOR)
        .clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
        .mul_f64(jitter);
    let earliest = if client.is_up() { Duration::ZERO } else { client.next_retry.get() };
    let next_retry = earliest.max(now) + delay;
    client.next_retry.set(next_retry);
    let recovered = client.recovered.listen();
    let timer = async {
        Timer::after(next_retry - now).await;
    };
    recovered.or(timer).await;
}

/// Follows a kind for as long as the daemon runs, through a reader or, if this daemon is a reader
/// or no reader answers, directly at the store. A daemon that starts reads the store first: after a
/// power failure all daemons start together, and no reader has any state to send yet.
pub async fn follow(
    daemon: &Rc<Daemon>,
    kind: Kind,
    mut on_list: impl FnMut(Vec<Object>),
    mut on_change: impl FnMut(Change),
) {
    let mut known = Revision::default();
    loop {
        follow_store(daemon, kind, &mut known, &mut on_list, &mut on_change).await;
        let readers = relay::readers(daemon);
        // A daemon that only lists the kind again goes on relaying the state that it has.
        if !readers.is_empty() {
            daemon.relay.stop(kind);
        }
        for reader in readers {
            if relay::readers(daemon).is_empty() {
                break;
            }
            relay::follow(daemon, kind, reader, &mut known, &mut on_list, &mut on_change).await;
        }
    }
}

/// Follows a kind directly at the store: lists it, then watches it. Returns when the list failed or
/// the history was compacted, so that the kind is listed again, or when this daemon can read from
/// others.
async fn follow_store(
    daemon: &Rc<Daemon>,
    kind: Kind,
    known: &mut Revision,
    on_list: &mut impl FnMut(Vec<Object>),
    on_change: &mut impl FnMut(Change),
) {
    let initial = *known == Revision::default();
    let jitter = daemon.rng.borrow_mut().random_range(1.0..2.0);
    let direct_until = clock::now() + MIN_DIRECT_TIME.mul_f64(jitter);
    // The minimum time does not apply to a daemon that starts: it knows few others yet, and their
    // list is complete all the sooner.
    let keeps_reading =
        |now: Duration| (!initial && now < direct_until) || relay::readers(daemon).is_empty();
    let read =
        if initial && kind == Kind::Nodes { Consistency::Stale } else { Consistency::Current };
    let mut since = match list(daemon, kind, read).await {
        Ok((mut objects, revision)) => {
            objects.iter_mut().for_each(|object| keep_newest(daemon, kind, object));
            daemon.relay.reset(kind, &objects, revision);
            record_answer(daemon, kind);
            on_list(objects);
            daemon.store.record_applied(kind, revision);
            revision
        }
        Err(_) => return wait_for_retry(daemon).await,
    };
    while keeps_reading(clock::now()) {
        match watch(daemon, kind, since).await {
            Ok(WatchResult::Changes(mut changes, revision)) => {
                let objects = changes.iter_mut().map(|change| &mut change.object);
                objects.for_each(|object| keep_newest(daemon, kind, object));
                daemon.relay.push(kind, &changes, revision);
                record_answer(daemon, kind);
                let has_changes = !changes.is_empty();
                changes.into_iter().for_each(&mut *on_change);
                since = since.max(revision);
                daemon.store.record_applied(kind, since);
                if has_changes {
                    delay_watch(kind).await;
                }
            }
            Ok(WatchResult::Compacted) => {
                Timer::after(RELIST_DELAY).await;
                break;
            }
            Err(_) => wait_for_retry(daemon).await,
        }
    }
    *known = since;
}

/// Waits before the next watch, so that several changes share one response.
async fn delay_watch(kind: Kind) {
    match kind {
        Kind::Instances => Timer::after(INSTANCE_WATCH_DELAY).await,
        Kind::Nodes => Timer::after(NODE_WATCH_DELAY).await,
        Kind::Config | Kind::Leases | Kind::Refusals => return,
    };
}

fn record_answer(daemon: &Daemon, kind: Kind) {
    daemon.store.merge_activity(kind, clock::now(), None);
}

/// Replaces an older configuration by the one in force: after the store was restored from a backup,
/// its configuration may be some seconds old, and daemons that start must not begin with it.
fn keep_newest(daemon: &Daemon, kind: Kind, object: &mut Object) {
    if kind != Kind::Config || object.name != daemon.dialect.config_name() {
        return;
    }
    let is_older = daemon
        .dialect
        .parse_config(object)
        .is_ok_and(|config| config.version < daemon.config_version());
    if is_older && let Some(spec) = &*daemon.published.borrow() {
        object.spec.clone_from(spec);
    }
}

async fn watch(daemon: &Daemon, kind: Kind, since: Revision) -> Result<WatchResult, Error> {
    let req = daemon.dialect.watch(kind, since, WATCH_WAIT)?;
    let res = call(daemon, kind, Op::Watch, req, WATCH_WAIT + WATCH_TIMEOUT_MARGIN).await?;
    match daemon.dialect.parse_changes(&res)? {
        // In another era, the changes are relative to a state that this daemon does not have.
        WatchResult::Changes(_, revision) if revision.era != since.era => {
            Ok(WatchResult::Compacted)
        }
        watched => Ok(watched),
    }
}

/// Reads what has changed of a kind since a revision.
pub async fn changes(daemon: &Daemon, kind: Kind, since: Revision) -> Result<Vec<Change>, Error> {
    let req = daemon.dialect.watch(kind, since, Duration::ZERO)?;
    let res = short_call(daemon, kind, Op::Changes, req).await?;
    match daemon.dialect.parse_changes(&res)? {
        WatchResult::Changes(changes, revision) if revision.era == since.era => Ok(changes),
        WatchResult::Changes(..) | WatchResult::Compacted => Err(Error::Outdated),
    }
}

/// Follows the configuration and adopts newer versions.
pub async fn config(daemon: Rc<Daemon>) {
    let on_list = |objects: Vec<Object>| objects.iter().for_each(|object| adopt(&daemon, object));
    let on_change = |change: Change| {
        if !change.removed {
            adopt(&daemon, &change.object);
        }
    };
    follow(&daemon, Kind::Config, on_list, on_change).await;
}

/// Puts a configuration in force unless the current one is as new: a process never goes back to an
/// older version.
pub fn adopt(daemon: &Daemon, object: &Object) {
    if object.name != daemon.dialect.config_name() {
        return;
    }
    let config = match daemon.dialect.parse_config(object) {
        Ok(config) => config,
        Err(err) => {
            daemon.note(&Event::Skipped {
                what: "config",
                name: object.name.clone(),
                problem: err.to_string(),
                revision: object.revision.number,
            });
            return;
        }
    };
    if daemon.config.borrow().is_some() && config.version <= daemon.config_version() {
        return;
    }
    daemon.note(&Event::Config {
        version: config.version,
        routes: config.routes(),
        services: config.services.len(),
        keys: config.teams.as_ref().map_or(0, Teams::keys),
        revision: object.revision.number,
    });
    daemon.relay.clear_newer_version();
    *daemon.published.borrow_mut() = Some(object.spec.clone());
    let capacities = config.engines().map(|(service, row)| (service.name.clone(), row.kv_tokens));
    daemon.fleet.borrow_mut().memory.set_capacities(capacities.collect());
    *daemon.config.borrow_mut() = Some(Rc::new(config));
}

/// Follows the registrations of endpoints and updates the fleet.
pub async fn instances(daemon: Rc<Daemon>) {
    let on_list = |objects: Vec<Object>| {
        for object in &objects {
            adopt_instance(&daemon, object);
        }
        let ids: Vec<String> = objects.iter().map(|object| object.name.clone()).collect();
        let (now, recovered_at) = (clock::now(), daemon.store.recovered_at());
        daemon.fleet.borrow_mut().retain(now, &ids, recovered_at);
        daemon.endpoints_listed.set(true);
        admission::dispatch(&daemon);
    };
    let on_change = |change: Change| {
        if change.removed {
            let (now, recovered_at) = (clock::now(), daemon.store.recovered_at());
            daemon.fleet.borrow_mut().remove(now, &change.object.name, recovered_at);
            daemon.note(&Event::Gone {
                endpoint: change.object.name.clone(),
                revision: change.object.revision.number,
                held: daemon
                    .fleet
                    .borrow()
                    .rows()
                    .any(|row| row.instance.key.id == change.object.name),
            });
        } else {
            adopt_instance(&daemon, &change.object);
        }
        admission::dispatch(&daemon);
    };
    follow(&daemon, Kind::Instances, on_list, on_change).await;
}

fn adopt_instance(daemon: &Daemon, object: &Object) {
    match daemon.dialect.parse_instance(object) {
        Ok(instance) => {
            let event = Event::Seen {
                endpoint: instance.key.id.clone(),
                born: instance.key.born,
                service: instance.service.clone(),
                software: instance.software.clone(),
                state: match instance.state {
                    State::Live => "live",
                    State::Leaving => "leaving",
                },
                beat: instance.heartbeat,
                slots: instance.slots,
                models: instance.resident.len(),
                revision: object.revision.number,
            };
            if daemon.fleet.borrow_mut().put(clock::now(), instance) {
                daemon.note(&event);
            }
        }
        Err(err) => daemon.note(&Event::Skipped {
            what: "instance",
            name: object.name.clone(),
            problem: err.to_string(),
            revision: object.revision.number,
        }),
    }
}
