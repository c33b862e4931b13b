//! Follows the limits that endpoints state, and obtains permits for calls to limited endpoints;
//! `decide::limit` makes the decisions.
//!
//! All messages are datagrams. A lost answer costs a permit that nobody uses; a request that is
//! delivered twice takes one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;
use smol::channel::Sender;
use smol::future::FutureExt;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::journal::Event;
use crate::daemon::node;
use crate::daemon::peer;
use crate::daemon::statement;
use crate::daemon::statement::Source;
use crate::decide::broker::Suspects;
use crate::decide::duplicate::Filter;
use crate::decide::limit;
use crate::decide::limit::Bucket;
use crate::decide::limit::Statement;
use crate::decide::quota::Role;
use crate::table::instance::Key;
use crate::table::instance::Limit;
use crate::table::instance::Node;

/// Requests for one permit: those until a counter is suspected, and one to the next.
const MAX_REQUESTS: u32 = limit::MAX_TIMEOUTS + 1;
/// Time for which a limited endpoint is not used after no counter has answered, or while this
/// daemon does not know the others: it would issue the whole limit by itself.
const NO_COUNTER_PAUSE: Duration = Duration::from_millis(500);
/// Time for which a changed limit is announced, in each round to some of the other daemons.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_secs(3);
/// Time after which an unused bucket is removed; the next one starts with less.
const BUCKET_TIMEOUT: Duration = Duration::from_secs(30);

/// Id of a request for a permit, drawn at random.
type Ticket = u64;

/// A statement of a limit with its age, as clocks of daemons differ.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Aged {
    limit: Option<Limit>,
    age_ms: u32,
}

impl Aged {
    fn new(now: Duration, statement: Statement) -> Self {
        let age = now.saturating_sub(statement.at).as_millis();
        Aged { limit: statement.limit, age_ms: u32::try_from(age).unwrap_or(u32::MAX) }
    }

    fn statement(self, now: Duration) -> Statement {
        let at = now.saturating_sub(Duration::from_millis(self.age_ms.into()));
        Statement { limit: self.limit, at }
    }
}

/// The answer to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// One call may be sent.
    Granted,
    /// The endpoint states no limit any more.
    Unlimited,
    /// No permit is left; another one is expected after this time in milliseconds.
    Refused(u32),
}

/// A message between daemons about an endpoint's limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a permit from the endpoint's counter.
    Requested {
        /// The request's ticket.
        ticket: Ticket,
        /// The endpoint.
        key: Key,
        /// What the sender knows of its limit.
        statement: Aged,
    },
    /// The counter's answer.
    Answered {
        /// The request's ticket.
        ticket: Ticket,
        /// The endpoint.
        key: Key,
        /// What the counter knows of its limit.
        statement: Aged,
        /// Whether the call may be sent.
        verdict: Verdict,
    },
    /// Announces an endpoint's limit.
    Stated {
        /// The endpoint.
        key: Key,
        /// What the sender knows of its limit.
        statement: Aged,
    },
}

/// Outcomes of this daemon's requests for permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// A permit was issued.
    Granted,
    /// No permit was left.
    Refused,
    /// No counter answered.
    Unanswered,
}

/// Permits of limited endpoints: those that this daemon waits for, and those that it issues.
#[derive(Default)]
pub struct Limits {
    pending: HashMap<Ticket, Sender<Verdict>>,
    /// Requests for permits received here.
    requests: Filter<(SocketAddr, Ticket)>,
    buckets: HashMap<Key, Bucket>,
    /// Unanswered requests in a row, by counter.
    timeouts: HashMap<SocketAddr, u32>,
    suspects: Suspects,
    outcomes: HashMap<Outcome, u64>,
}

impl Limits {
    /// Returns the number of requests for permits by outcome.
    pub fn outcomes(&self) -> impl Iterator<Item = (Outcome, u64)> + '_ {
        self.outcomes.iter().map(|(outcome, count)| (*outcome, *count))
    }
}

/// Records the limit that an endpoint states in a response.
pub fn observe(daemon: &Rc<Daemon>, key: &Key, headers: &HeaderMap, source: Source) {
    let now = clock::now();
    match daemon.dialect.parse_limit(headers) {
        // Only responses to requests are known to state every limit.
        Ok(None) if source != Source::Request => {}
        Ok(limit) => {
            if apply(daemon, now, key, Statement { limit, at: now }, source) {
                announce_to(daemon, now, key, &peer::choose_peers(daemon));
            }
        }
        Err(err) => statement::skip(daemon, key, "limit", &err),
    }
}

/// Applies a statement, and returns whether the limit has changed.
fn apply(daemon: &Daemon, now: Duration, key: &Key, statement: Statement, source: Source) -> bool {
    let changed = daemon.fleet.borrow_mut().on_statement(now, key, statement);
    if changed {
        daemon.note(&Event::Limit {
            endpoint: key.id.clone(),
            rate: statement.limit.map(Into::into),
            source: source.into(),
        });
    }
    changed
}

/// Obtains a permit for one call to an endpoint, if that is limited. If there is none, the endpoint
/// is not chosen for a while.
pub async fn acquire(daemon: &Rc<Daemon>, key: &Key) -> bool {
    for _ in 0..MAX_REQUESTS {
        let now = clock::now();
        let Some(statement) = limited(daemon, key) else {
            return true;
        };
        if !daemon.nodes.borrow().is_loaded() {
            break;
        }
        let verdict = match find_counter(daemon, now, key) {
            Counter::Local => Some(issue(daemon, now, key, statement).0),
            Counter::Remote(to) => request(daemon, now, to, key, statement).await,
        };
        match verdict {
            Some(Verdict::Granted) => {
                count(daemon, Outcome::Granted);
                return true;
            }
            Some(Verdict::Unlimited) => return true,
            Some(Verdict::Refused(wait_ms)) => {
                count(daemon, Outcome::Refused);
                pause(daemon, key, Duration::from_millis(wait_ms.into()));
                return false;
            }
            None => {}
        }
    }
    count(daemon, Outcome::Unanswered);
    pause(daemon, key, NO_COUNTER_PAUSE);
    false
}

/// Returns an endpoint's last statement if it is a limit.
fn limited(daemon: &Daemon, key: &Key) -> Option<Statement> {
    let statement = daemon.fleet.borrow().get(key)?.statement();
    statement.limit.is_some().then_some(statement)
}

fn count(daemon: &Daemon, outcome: Outcome) {
    *daemon.limits.borrow_mut().outcomes.entry(outcome).or_default() += 1;
}

/// Pauses the use of an endpoint. Jitter keeps daemons from asking at the same time.
fn pause(daemon: &Daemon, key: &Key, span: Duration) {
    let jitter = daemon.rng.borrow_mut().random_range(0.9..1.3);
    let until = clock::now() + span.mul_f64(jitter);
    daemon.fleet.borrow_mut().pause_until(key, until);
}

/// The daemon that issues an endpoint's permits.
enum Counter {
    Local,
    Remote(SocketAddr),
}

fn find_counter(daemon: &Daemon, now: Duration, key: &Key) -> Counter {
    let (fleet, nodes, limits) =
        (daemon.fleet.borrow(), daemon.nodes.borrow(), daemon.limits.borrow());
    let own = node::own_registration(daemon, 0);
    let region = fleet
        .get(key)
        .map_or_else(|| own.region.clone(), |row| fleet.region_of(&row.instance.data_center));
    let candidates = nodes.registered().chain(Some(&own));
    let hears_all = hears_all(&nodes);
    let is_silent = |node: &Node| hears_all && node.name != own.name && !nodes.is_alive(now, node);
    let suspected = |node: &Node| limits.suspects.has(now, node.peer) || is_silent(node);
    match limit::pick(candidates, &key.id, &region, suspected) {
        Some(node) if node.name != own.name => Counter::Remote(node.peer),
        _ => Counter::Local,
    }
}

/// Returns whether this daemon receives the heartbeats of all live daemons in each round.
fn hears_all(nodes: &node::Table) -> bool {
    nodes.other_count() <= peer::HEARTBEAT_FANOUT
}

/// Returns the part of each limit that this daemon issues: the part of all daemons that it
/// reaches. The others may be dead, or cut off from this one and issuing permits among themselves.
fn issued_part(daemon: &Daemon, now: Duration) -> f64 {
    let (nodes, limits) = (daemon.nodes.borrow(), daemon.limits.borrow());
    nodes.reached_ratio(now, |node| limits.suspects.has(now, node.peer))
}

/// Issues a permit of an endpoint, or refuses it; returns also what this daemon knows of the limit.
fn issue(daemon: &Daemon, now: Duration, key: &Key, statement: Statement) -> (Verdict, Statement) {
    apply(daemon, now, key, statement, Source::Peer);
    // A daemon that does not know the endpoint yet relies on the one that asks.
    let current = daemon.fleet.borrow().get(key).map_or(statement, |row| row.statement());
    let Some(limit) = current.limit else {
        return (Verdict::Unlimited, current);
    };
    let role = match find_counter(daemon, now, key) {
        Counter::Local => Role::Counter,
        Counter::Remote(_) => Role::Deputy,
    };
    let limit = limit.scaled(issued_part(daemon, now));
    let mut limits = daemon.limits.borrow_mut();
    let bucket = limits.buckets.entry(key.clone()).or_insert_with(|| Bucket::new(now));
    let verdict = match bucket.take(now, limit, role) {
        Ok(()) => Verdict::Granted,
        Err(wait) => Verdict::Refused(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)),
    };
    (verdict, current)
}

/// Requests a permit from a counter; returns `None` without an answer in time.
async fn request(
    daemon: &Rc<Daemon>,
    now: Duration,
    to: SocketAddr,
    key: &Key,
    statement: Statement,
) -> Option<Verdict> {
    let ticket: Ticket = daemon.rng.borrow_mut().random();
    let (sender, receiver) = smol::channel::bounded(1);
    daemon.limits.borrow_mut().pending.insert(ticket, sender);
    let pending = Pending { daemon, ticket };
    let message =
        Message::Requested { ticket, key: key.clone(), statement: Aged::new(now, statement) };
    peer::spawn_send(daemon, vec![to], peer::Message::Limit(message));
    let timeout = async {
        Timer::after(limit::RESPONSE_TIMEOUT).await;
        None
    };
    let verdict = async { receiver.recv().await.ok() }.or(timeout).await;
    drop(pending);
    // After a stall of this daemon the answer may be old.
    let verdict = verdict.filter(|_| clock::now() < now + limit::MAX_PERMIT_AGE);
    record_answer(daemon, to, verdict.is_some());
    verdict
}

/// A request for a permit, which is forgotten when dropped.
struct Pending<'a> {
    daemon: &'a Daemon,
    ticket: Ticket,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.daemon.limits.borrow_mut().pending.remove(&self.ticket);
    }
}

/// Records whether a counter has answered, and suspects it if it is unresponsive.
fn record_answer(daemon: &Daemon, counter: SocketAddr, answered: bool) {
    let mut limits = daemon.limits.borrow_mut();
    if answered {
        limits.timeouts.remove(&counter);
        return;
    }
    let timeouts = limits.timeouts.entry(counter).or_default();
    *timeouts += 1;
    if *timeouts >= limit::MAX_TIMEOUTS {
        limits.timeouts.remove(&counter);
        limits.suspects.add(clock::now(), counter);
        drop(limits);
        daemon.note(&Event::Counter { address: counter.to_string() });
    }
}

/// Handles a message of another daemon.
pub fn on_message(daemon: &Rc<Daemon>, message: Message, from: SocketAddr) {
    let now = clock::now();
    match message {
        Message::Requested { ticket, key, statement } => {
            if !daemon.limits.borrow_mut().requests.insert(now, (from, ticket)) {
                return;
            }
            let (verdict, current) = issue(daemon, now, &key, statement.statement(now));
            let statement = Aged::new(now, current);
            let answer = Message::Answered { ticket, key, statement, verdict };
            peer::spawn_send(daemon, vec![from], peer::Message::Limit(answer));
        }
        Message::Answered { ticket, key, statement, verdict } => {
            apply(daemon, now, &key, statement.statement(now), Source::Peer);
            let pending = daemon.limits.borrow_mut().pending.remove(&ticket);
            // A request that is no longer waiting leaves its permit unused.
            let _ = pending.map(|sender| sender.try_send(verdict));
        }
        Message::Stated { key, statement } => {
            apply(daemon, now, &key, statement.statement(now), Source::Peer);
        }
    }
}

/// Sends daemons what this daemon knows of an endpoint's limit.
fn announce_to(daemon: &Rc<Daemon>, now: Duration, key: &Key, to: &[SocketAddr]) {
    let Some(statement) = daemon.fleet.borrow().get(key).map(|row| row.statement()) else {
        return;
    };
    let message = Message::Stated { key: key.clone(), statement: Aged::new(now, statement) };
    peer::spawn_send(daemon, to.to_vec(), peer::Message::Limit(message));
}

/// Announces the limits that changed recently to some of the other daemons, and removes unused
/// buckets.
pub fn announce(daemon: &Rc<Daemon>) {
    let now = clock::now();
    daemon
        .limits
        .borrow_mut()
        .buckets
        .retain(|_, bucket| now < bucket.last_used() + BUCKET_TIMEOUT);
    let since = now.saturating_sub(ANNOUNCEMENT_PERIOD);
    let changed: Vec<Key> = {
        let fleet = daemon.fleet.borrow();
        let rows = fleet.rows().filter(|row| row.is_limit_changed_since(since));
        rows.map(|row| row.instance.key.clone()).collect()
    };
    for key in changed {
        announce_to(daemon, now, &key, &peer::choose_peers(daemon));
    }
}
