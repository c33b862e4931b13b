//! The membership table: each daemon registers in the store and receives the others' heartbeats.
//!
//! Callers are sent to daemons that are ready and alive. A daemon whose heartbeats have arrived
//! directly counts as alive while they keep coming; any other, while its heartbeat number in the
//! store still rises. Load pattern: instances start, fail and are removed at any time, also while
//! the store is unreachable. Without the direct heartbeats callers would be sent to failed daemons
//! for several store reads. During an outage of the store no daemon is removed because its
//! registration doesn't change.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smol::Timer;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::contact;
use crate::daemon::journal::Event;
use crate::daemon::peer;
use crate::daemon::peer::Heartbeat;
use crate::daemon::store;
use crate::daemon::tally::Op;
use crate::decide::reach;
use crate::edge::dialect::Change;
use crate::edge::dialect::Kind;
use crate::edge::dialect::Object;
use crate::edge::dialect::Revision;
use crate::edge::dialect::WriteResult;
use crate::table::DataCenterId;
use crate::table::RegionId;
use crate::table::instance::Node;

/// Interval between two heartbeats in the store: each is a priced write, and daemons also send each
/// other heartbeats directly.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(7);
/// Interval at which a daemon checks whether its registration has changed: the others learn from it
/// which daemons are ready and may therefore become the placer.
const REGISTRATION_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two checks of which heartbeat numbers in the store have risen.
const HEARTBEAT_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// The list of registrations is current if the store has answered for it within this time.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);
/// Consecutive checks without a new heartbeat in the store after which a daemon counts as dead: two
/// heartbeat intervals and a stale read.
const MAX_MISSED_CHECKS: u32 = 6;
/// The same limit for a daemon that never sent this one a heartbeat: a live daemon would have sent
/// one earlier, and after a power failure the registrations of removed instances are still listed.
const MAX_MISSED_CHECKS_NO_CONTACT: u32 = 2;
/// A daemon counts as dead this long after its last direct heartbeat: several gossip rounds.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time within which a daemon is heard again that this one reaches, if it hears all. A cut in the
/// network is noticed after this time.
const REACH_WINDOW: Duration = Duration::from_secs(1);
/// Share of a lease's duration for which a daemon's report that it can't reach the store is valid.
/// A daemon that reaches the store again waits for a full lease; the remaining share covers the
/// transit of the report and of an order to an engine.
const OUTAGE_REPORT_RATIO: f64 = 0.4;
/// For this long after a heartbeat from an unknown daemon, the store is not assumed to be
/// unreachable for all: longer than a daemon needs to acquire the lease.
const UNKNOWN_DAEMON_WINDOW: Duration = Duration::from_secs(6);
/// Time within which all live daemons have registered again after the store was restored from a
/// backup.
const REREGISTRATION_WINDOW: Duration = Duration::from_secs(5);
/// Checks without a new heartbeat after which the placer removes a registration.
const REMOVAL_MISSED_CHECKS: u32 = 60;

/// Another daemon and the last signs of life received from it.
#[derive(Debug, Clone)]
struct Row {
    node: Node,
    revision: Revision,
    /// Checks since its heartbeat number in the store last rose.
    missed_checks: u32,
    /// When its last direct heartbeat was received.
    last_heartbeat: Option<Duration>,
    /// When it last reported that it can't reach the store; none if it reaches it.
    outage_reported_at: Option<Duration>,
    /// When it last reported that it has lost most endpoints; none if it has not.
    isolation_reported_at: Option<Duration>,
}

/// The other daemons.
#[derive(Debug, Default)]
pub struct Table {
    /// Registrations as last read from the store.
    listed: BTreeMap<String, (Revision, Node)>,
    rows: HashMap<String, Row>,
    /// When a heartbeat last came from an unknown daemon.
    unknown_heartbeat_at: Option<Duration>,
    /// When the receive buffer was last empty.
    buffer_empty_at: Option<Duration>,
    /// Whether the complete list has been read at least once.
    list_read: bool,
}

impl Table {
    /// Replaces the registrations by a complete list. Daemons missing from it are removed, unless
    /// the store was restored from a backup and may have lost the latest writes.
    pub fn on_list(&mut self, own_name: &str, list: Vec<(Revision, Node)>, restored: bool) {
        self.list_read = true;
        self.listed = list.into_iter().map(|row| (row.1.name.clone(), row)).collect();
        self.listed.remove(own_name);
        if !restored {
            self.rows.retain(|name, _| self.listed.contains_key(name));
        }
        self.count_missed_checks();
    }

    /// Counts one more missed check for each daemon whose heartbeat number has not risen in the
    /// list.
    pub fn count_missed_checks(&mut self) {
        for (revision, node) in self.listed.values() {
            // A stale read may return a registration older than the known one.
            match self.rows.get_mut(&node.name) {
                Some(row) if *revision <= row.revision => row.missed_checks += 1,
                _ => upsert(&mut self.rows, *revision, node),
            }
        }
        let listed = &self.listed;
        self.rows.retain(|name, row| {
            let unlisted = !listed.contains_key(name);
            row.missed_checks += u32::from(unlisted);
            !unlisted || row.missed_checks < MAX_MISSED_CHECKS
        });
    }

    /// Returns whether the list of daemons has been read at least once.
    pub fn is_loaded(&self) -> bool {
        self.list_read
    }

    /// Records a new or renewed registration.
    pub fn put(&mut self, own_name: &str, revision: Revision, node: Node) {
        if node.name == own_name {
            return;
        }
        if self.rows.get(&node.name).is_none_or(|row| revision > row.revision) {
            upsert(&mut self.rows, revision, &node);
        }
        self.listed.insert(node.name.clone(), (revision, node));
    }

    /// Removes a daemon whose registration was removed.
    pub fn remove(&mut self, name: &str) {
        self.listed.remove(name);
        self.rows.remove(name);
    }

    /// Records that the receive buffer is empty. Any datagram read later may have arrived right
    /// after this: an event loop that was stalled for seconds would otherwise take an old report
    /// for a new one.
    pub fn on_buffer_empty(&mut self, now: Duration) {
        self.buffer_empty_at = Some(now);
    }

    /// Returns the earliest time at which the datagram that is being handled can have arrived.
    pub fn received_after(&self, now: Duration) -> Duration {
        self.buffer_empty_at.unwrap_or(now)
    }

    /// Records a direct heartbeat.
    pub fn on_heartbeat(&mut self, now: Duration, heartbeat: &Heartbeat) {
        let received_after = self.received_after(now);
        match self.rows.get_mut(&heartbeat.name) {
            Some(row) if row.node.started_at == heartbeat.incarnation => {
                row.last_heartbeat = Some(now);
                row.node.ready = heartbeat.ready;
                row.outage_reported_at = heartbeat.store_unreachable.then_some(received_after);
            }
            _ => self.unknown_heartbeat_at = Some(now),
        }
    }

    /// Returns until when all other daemons are known to be cut off from the store, or `None` if
    /// any of them has not reported so recently. An unknown daemon may be the only one that reaches
    /// the store.
    pub fn outage_until(&self, now: Duration, lease: Duration) -> Option<Duration> {
        if self
            .unknown_heartbeat_at
            .is_some_and(|received_at| now < received_at + UNKNOWN_DAEMON_WINDOW)
        {
            return None;
        }
        let mut earliest: Option<Duration> = None;
        for row in self.rows.values().filter(|row| !row.was_cut_off(now)) {
            let until = row.outage_reported_at? + lease.mul_f64(OUTAGE_REPORT_RATIO);
            earliest = Some(earliest.map_or(until, |other| other.min(until)));
        }
        earliest.filter(|until| now < *until)
    }

    /// Returns the daemons that are believed to be alive.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &Node> {
        self.rows.values().filter(move |row| row.is_alive(now)).map(|row| &row.node)
    }

    /// Returns whether another daemon is believed to be alive.
    pub fn is_alive(&self, now: Duration, node: &Node) -> bool {
        self.rows.get(&node.name).is_some_and(|row| row.is_alive(now))
    }

    /// Returns the daemons that recently renewed their registration: about the same set on each
    /// daemon.
    pub fn registered(&self) -> impl Iterator<Item = &Node> {
        self.rows.values().filter(|row| row.missed_checks < MAX_MISSED_CHECKS).map(|row| &row.node)
    }

    /// Records whether the daemon with this datagram address has lost most endpoints.
    pub fn on_isolation(&mut self, now: Duration, from: SocketAddr, isolated: bool) {
        if let Some(row) = self.rows.values_mut().find(|row| row.node.peer == from) {
            row.isolation_reported_at = isolated.then_some(now);
        }
    }

    /// Returns whether a daemon has reported recently that it has lost most endpoints.
    fn is_isolated(&self, now: Duration, row: &Row) -> bool {
        let limit = self.silence_limit();
        row.isolation_reported_at.is_some_and(|reported_at| now < reported_at + limit)
    }

    /// Returns the ready daemons heard of recently that have not lost most endpoints.
    pub fn in_contact(&self, now: Duration) -> impl Iterator<Item = &Node> {
        let is_member = move |row: &&Row| {
            row.node.ready && row.has_heartbeat(now) && !self.is_isolated(now, row)
        };
        self.rows.values().filter(is_member).map(|row| &row.node)
    }

    /// Returns whether there is such a daemon.
    pub fn has_contact(&self, now: Duration) -> bool {
        self.in_contact(now).next().is_some()
    }

    /// Returns the time without a message after which a daemon counts as silent: in each round it
    /// sends to a choice of the others.
    fn silence_limit(&self) -> Duration {
        let rounds = reach::silence_rounds(self.known_count(), peer::HEARTBEAT_FANOUT);
        HEARTBEAT_TIMEOUT.max(peer::GOSSIP_INTERVAL * rounds)
    }

    /// Returns the daemons that recently renewed their registration or sent a heartbeat, without
    /// those whose heartbeats have ceased. A daemon that only the store does not reach still
    /// exchanges messages with the others; one that only the store reaches does not.
    pub fn reachable(&self, now: Duration) -> impl Iterator<Item = &Node> {
        let limit = self.silence_limit();
        let is_member = move |row: &&Row| match row.last_heartbeat {
            Some(received_at) => now < received_at + limit,
            None => row.missed_checks < MAX_MISSED_CHECKS,
        };
        self.rows.values().filter(is_member).map(|row| &row.node)
    }

    /// Returns the number of daemons that recently renewed their registration, this one included.
    /// Unlike `live_count` it does not shrink when this daemon is cut off from the others.
    pub fn registered_count(&self) -> usize {
        1 + self.registered().count()
    }

    /// Returns the ratio of all known daemons that this one reaches, itself included, by the
    /// heartbeats it has received; those in `excluded` count as not heard. A daemon that is cut off
    /// from the store does not renew its registration, but may serve callers with others that are;
    /// so it counts until its registration is removed.
    pub fn reached_ratio(&self, now: Duration, excluded: impl Fn(&Node) -> bool) -> f64 {
        let is_heard = |row: &&Row| {
            row.last_heartbeat.is_some_and(|at| now < at + REACH_WINDOW) && !excluded(&row.node)
        };
        let heard = self.rows.values().filter(is_heard).count();
        let rounds = REACH_WINDOW.div_duration_f64(peer::GOSSIP_INTERVAL) as i32;
        reach::ratio(self.known_count(), heard, peer::HEARTBEAT_FANOUT, rounds)
    }

    /// Returns the number of daemons whose registration has not been removed, this one included.
    pub fn known_count(&self) -> usize {
        1 + self.rows.len()
    }

    /// Returns whether another live daemon that has not lost most endpoints has more than `millicores`
    /// of processor.
    pub fn has_larger(&self, now: Duration, millicores: u32) -> bool {
        let rows = self.rows.values().filter(|row| row.is_alive(now));
        rows.filter(|row| !self.is_isolated(now, row)).any(|row| row.node.millicores > millicores)
    }

    /// Returns the addresses at which the other daemons receive datagrams.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.rows.values().map(|row| row.node.peer).collect()
    }

    /// Returns the number of other daemons, alive or not.
    pub fn other_count(&self) -> usize {
        self.rows.len()
    }

    /// Returns the region of the daemon with this datagram address.
    pub fn region_of(&self, peer: SocketAddr) -> Option<&RegionId> {
        self.rows.values().find(|row| row.node.peer == peer).map(|row| &row.node.region)
    }

    /// Returns the data center of the daemon with this datagram address.
    pub fn data_center_of(&self, peer: SocketAddr) -> Option<&DataCenterId> {
        self.rows.values().find(|row| row.node.peer == peer).map(|row| &row.node.data_center)
    }

    /// Returns a daemon by its name.
    pub fn get(&self, name: &str) -> Option<&Node> {
        self.rows.get(name).map(|row| &row.node)
    }

    /// Returns the number of live daemons, this one included.
    pub fn live_count(&self, now: Duration) -> usize {
        1 + self.live(now).count()
    }

    fn removable(&self) -> Vec<(String, Revision)> {
        let dead = self.rows.values().filter(|row| {
            row.missed_checks >= REMOVAL_MISSED_CHECKS && row.last_heartbeat.is_none()
        });
        dead.map(|row| (row.node.name.clone(), row.revision)).collect()
    }
}

fn upsert(rows: &mut HashMap<String, Row>, revision: Revision, node: &Node) {
    let row = rows.entry(node.name.clone()).or_insert_with(|| Row {
        node: node.clone(),
        revision,
        missed_checks: 0,
        last_heartbeat: None,
        outage_reported_at: None,
        isolation_reported_at: None,
    });
    if row.node.started_at != node.started_at {
        (row.last_heartbeat, row.outage_reported_at) = (None, None);
        row.isolation_reported_at = None;
    }
    (row.revision, row.missed_checks) = (revision, 0);
    row.node.clone_from(node);
}

impl Row {
    /// Returns whether the daemon was cut off before the store's outage: it sends no heartbeats,
    /// and its heartbeat number did not rise while the store answered (checks are counted only
    /// then). The lease has changed since the daemon last read it, so its attempts to acquire it
    /// fail.
    fn was_cut_off(&self, now: Duration) -> bool {
        self.missed_checks >= MAX_MISSED_CHECKS
            && self
                .last_heartbeat
                .is_none_or(|received_at| now >= received_at + UNKNOWN_DAEMON_WINDOW)
    }

    /// Returns whether a direct heartbeat was received recently.
    fn has_heartbeat(&self, now: Duration) -> bool {
        self.last_heartbeat.is_some_and(|received_at| now < received_at + HEARTBEAT_TIMEOUT)
    }

    fn is_alive(&self, now: Duration) -> bool {
        match self.last_heartbeat {
            Some(_) => self.has_heartbeat(now),
            None => self.missed_checks < MAX_MISSED_CHECKS_NO_CONTACT,
        }
    }
}

/// Returns the addresses for a caller in `region`: ready live daemons of that region, or all ready
/// live daemons if the region has none. Daemons that have lost most endpoints are left out unless
/// all have.
pub fn addresses(daemon: &Daemon, region: Option<&RegionId>) -> Vec<SocketAddr> {
    let now = clock::now();
    let nodes = daemon.nodes.borrow();
    let others = nodes.rows.values().filter(|row| row.is_alive(now) && row.node.ready);
    let mut all: Vec<Candidate<'_>> = others
        .map(|row| Candidate {
            region: &row.node.region,
            front: row.node.front,
            isolated: nodes.is_isolated(now, row),
        })
        .collect();
    if daemon.ready() {
        all.push(Candidate {
            region: &daemon.settings.region,
            front: daemon.settings.front,
            isolated: contact::is_isolated(daemon),
        });
    }
    let found = prefer(all, |row| region == Some(row.region));
    let found = prefer(found, |row| !row.isolated);
    let mut found: Vec<SocketAddr> = found.into_iter().map(|row| row.front).collect();
    found.sort();
    found.truncate(64);
    found
}

/// A daemon that callers may use.
struct Candidate<'a> {
    region: &'a RegionId,
    front: SocketAddr,
    isolated: bool,
}

/// Returns the rows that meet a condition, or all if none does.
fn prefer<T>(rows: Vec<T>, condition: impl Fn(&T) -> bool) -> Vec<T> {
    let (preferred, others): (Vec<T>, Vec<T>) = rows.into_iter().partition(condition);
    if preferred.is_empty() { others } else { preferred }
}

/// Registers this daemon and renews its heartbeat for as long as it runs.
pub async fn register(daemon: Rc<Daemon>) {
    let mut beat = 0;
    loop {
        beat += 1;
        let ready = daemon.ready();
        if write_registration(&daemon, beat).await.is_err() {
            store::wait_for_retry(&daemon).await;
            continue;
        }
        let until = clock::now() + HEARTBEAT_INTERVAL;
        let restored = daemon.store.restored_at();
        while daemon.ready() == ready
            && daemon.store.restored_at() == restored
            && clock::now() < until
        {
            Timer::after(REGISTRATION_CHECK_INTERVAL).await;
        }
    }
}

/// Returns this daemon's registration.
pub fn own_registration(daemon: &Daemon, beat: u64) -> Node {
    let settings = &daemon.settings;
    Node {
        name: settings.name.clone(),
        front: settings.front,
        peer: settings.peer,
        region: settings.region.clone(),
        data_center: settings.data_center.clone(),
        started_at: daemon.started_at,
        millicores: settings.millicores,
        heartbeat: beat,
        ready: daemon.ready(),
    }
}

/// Writes this daemon's registration.
pub async fn write_registration(daemon: &Daemon, beat: u64) -> Result<(), store::Error> {
    let node = own_registration(daemon, beat);
    let spec = serde_json::json!(node);
    let req = daemon.dialect.replace(Kind::Nodes, &node.name, None, &spec)?;
    let res = store::short_call(daemon, Kind::Nodes, Op::Replace, req).await?;
    if daemon.dialect.parse_write(&res)? == WriteResult::Missing {
        let req = daemon.dialect.create(Kind::Nodes, &node.name, &spec)?;
        daemon
            .dialect
            .parse_write(&store::short_call(daemon, Kind::Nodes, Op::Create, req).await?)?;
    }
    Ok(())
}

/// Watches the registrations of daemons in the store.
pub async fn follow(daemon: Rc<Daemon>) {
    let replace_all = |objects: Vec<Object>| {
        let list = objects.iter().filter_map(|object| parse(&daemon, object)).collect();
        let restored = daemon
            .store
            .restored_at()
            .is_some_and(|restored_at| clock::now() < restored_at + REREGISTRATION_WINDOW);
        daemon.nodes.borrow_mut().on_list(&daemon.settings.name, list, restored);
    };
    let apply = |change: Change| {
        let parsed = if change.removed { None } else { parse(&daemon, &change.object) };
        let mut nodes = daemon.nodes.borrow_mut();
        match parsed {
            Some((revision, node)) => nodes.put(&daemon.settings.name, revision, node),
            None if change.removed => nodes.remove(&change.object.name),
            None => {}
        }
    };
    store::follow(&daemon, Kind::Nodes, replace_all, apply).await;
}

fn parse(daemon: &Daemon, object: &Object) -> Option<(Revision, Node)> {
    match serde_json::from_value::<Node>(object.spec.clone()) {
        Ok(node) => Some((object.revision, node)),
        Err(err) => {
            daemon.note(&Event::Skipped {
                what: "node",
                name: object.name.clone(),
                problem: err.to_string(),
                revision: object.revision.number,
            });
            None
        }
    }
}

/// Checks periodically, while the store answers, whose heartbeat number has not risen.
pub async fn heartbeat_check_loop(daemon: Rc<Daemon>) {
    loop {
        Timer::after(HEARTBEAT_CHECK_INTERVAL).await;
        if clock::now() < daemon.store.nodes_answered_at() + MAX_LIST_AGE {
            daemon.nodes.borrow_mut().count_missed_checks();
            remove_dead(&daemon).await;
        }
    }
}

/// Removes the registrations of daemons that are long dead, if this daemon is the placer.
async fn remove_dead(daemon: &Daemon) {
    if !daemon.placer.borrow().holds_lease(clock::now()) {
        return;
    }
    let registrations = daemon.nodes.borrow().removable();
    for (name, revision) in registrations {
        if let Ok(req) = daemon.dialect.remove(Kind::Nodes, &name, revision) {
            // If this fails, the next check tries again.
            let _ = store::short_call(daemon, Kind::Nodes, Op::Remove, req).await;
        }
    }
}
