//! Enforces the quotas of teams over all daemons together; `decide::quota` makes the decisions.
//!
//! One daemon, the counter of a team, keeps the team's token bucket. All messages are datagrams.
//! The spending in a lost datagram is never counted: at most a few in a hundred, on links that lose
//! packets. That in a datagram that is delivered twice is counted once.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event as Notifier;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;
use smol::future::FutureExt;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::journal::Event;
use crate::daemon::node;
use crate::daemon::peer;
use crate::decide::broker::Suspects;
use crate::decide::duplicate::Filter;
use crate::decide::quota;
use crate::decide::quota::Bucket;
use crate::decide::quota::Decision;
use crate::decide::quota::Meter;
use crate::decide::quota::Request;
use crate::decide::quota::Response;
use crate::decide::quota::Role;
use crate::decide::quota::Ticket;
use crate::table::TeamId;
use crate::table::team::Quota;
use crate::table::team::Team;

/// Queries for one request before it is decided without a counter.
const MAX_QUERIES: usize = 4;
/// A counter that has not replied to a spending report for this long is taken as unresponsive.
const COUNTER_TIMEOUT: Duration = Duration::from_millis(700);
/// A counter that replied within this time may still reply to other daemons.
const COUNTER_CHANGE_WINDOW: Duration = Duration::from_secs(5);
/// Time for which a daemon that has asked for units counts as one that asks here.
const ASKER_WINDOW: Duration = Duration::from_secs(1);
/// Interval at which due spending reports are sent and unresponsive counters are detected.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which granted units are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A message between a daemon and the counter of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A daemon reports its spending and requests units.
    Report {
        /// The team.
        team: TeamId,
        /// Id of the message.
        ticket: Ticket,
        /// Units spent without a grant; negative if more was returned.
        spent: i64,
        /// Units that the first waiting request needs; 0 if none waits.
        min_units: u32,
        /// Units requested.
        requested: u32,
        /// Whether another counter replied to the sender shortly before.
        counter_changed: bool,
    },
    /// The counter's reply.
    Reply {
        /// The team.
        team: TeamId,
        /// The ticket of the message that this replies to.
        ticket: Ticket,
        /// Units that may be spent.
        granted: u32,
        /// Whether daemons need a grant before they spend.
        strict: bool,
        /// Delay in milliseconds after which a refused caller should retry.
        retry_after_ms: u32,
    },
    /// From now on daemons need a grant before they spend this team's units.
    Strict(TeamId),
}

/// One team's quota as this daemon knows it.
struct Usage {
    meter: Meter,
    /// Notified when the counter has replied.
    reply_event: Rc<Notifier>,
    /// Address of the counter that replied last, and when it did.
    last_reply: Option<(SocketAddr, Duration)>,
}

impl Usage {
    fn new(now: Duration, first_ticket: Ticket) -> Self {
        Usage { meter: Meter::new(now, first_ticket), reply_event: Rc::default(), last_reply: None }
    }
}

/// As what a daemon grants units of a team's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Grantor {
    /// As the team's counter.
    Counter,
    /// Asked by daemons that take it for the counter.
    Deputy,
    /// To its own callers, from its even share.
    Share,
}

impl From<Role> for Grantor {
    fn from(role: Role) -> Self {
        match role {
            Role::Counter => Grantor::Counter,
            Role::Deputy => Grantor::Deputy,
        }
    }
}

/// Units of a team's quota since they were last logged.
#[derive(Debug, Default, Clone, Copy)]
struct Flow {
    granted: u64,
    /// Units that were spent without a grant, less those given back.
    reported: i64,
    refused: u64,
    /// Level of the bucket.
    level: f64,
}

/// Quota state: usage of this daemon's callers, and the buckets of teams that it counts.
pub struct Quotas {
    /// When the daemon started, on the boot clock.
    started_at: Duration,
    usages: HashMap<TeamId, Usage>,
    buckets: HashMap<TeamId, Bucket>,
    suspects: Suspects,
    /// Reports received here.
    reports: Filter<(SocketAddr, TeamId, Ticket)>,
    /// When each daemon last asked for a team's units here.
    askers: HashMap<TeamId, HashMap<SocketAddr, Duration>>,
    flows: HashMap<(TeamId, Grantor), Flow>,
    /// Units granted since the start of the daemon.
    granted: HashMap<Grantor, u64>,
}

impl Quotas {
    /// Creates the state of a daemon that starts now.
    pub fn new(now: Duration) -> Self {
        Quotas {
            started_at: now,
            usages: HashMap::new(),
            buckets: HashMap::new(),
            suspects: Suspects::default(),
            reports: Filter::default(),
            askers: HashMap::new(),
            flows: HashMap::new(),
            granted: HashMap::new(),
        }
    }

    fn usage(&mut self, daemon: &Daemon, now: Duration, team: &str) -> &mut Usage {
        let first_ticket = || daemon.rng.borrow_mut().random();
        self.usages.entry(team.to_string()).or_insert_with(|| Usage::new(now, first_ticket()))
    }

    /// Returns the units granted since the start of the daemon.
    pub fn granted(&self) -> impl Iterator<Item = (Grantor, u64)> + '_ {
        self.granted.iter().map(|(grantor, units)| (*grantor, *units))
    }

    /// Records that a daemon asks for a team's units, and returns how many have done so recently.
    fn count_askers(&mut self, now: Duration, team: &str, from: SocketAddr) -> usize {
        let askers = self.askers.entry(team.to_string()).or_default();
        askers.insert(from, now);
        askers.retain(|_, asked_at| now < *asked_at + ASKER_WINDOW);
        askers.len()
    }

    fn record(
        &mut self,
        team: &str,
        grantor: Grantor,
        message: &Request,
        response: &Response,
        level: f64,
    ) {
        let flow = self.flows.entry((team.to_string(), grantor)).or_default();
        flow.granted += u64::from(response.granted);
        flow.reported += message.spent;
        flow.refused += u64::from(message.minimum > 0 && response.granted == 0);
        flow.level = level;
        *self.granted.entry(grantor).or_default() += u64::from(response.granted);
    }
}

/// Units charged to a team for one request, refunded on drop unless the request may have run.
pub struct Charge {
    daemon: Rc<Daemon>,
    team: Rc<Team>,
    cost: u32,
    /// Number of endpoints that may have run the request.
    attempts: Cell<u32>,
}

impl Charge {
    /// Records that the request is sent to an endpoint.
    pub fn record_sent(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// Records that an endpoint to which the request was sent did not run it.
    pub fn record_not_run(&self) {
        self.attempts.set(self.attempts.get().saturating_sub(1));
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.attempts.get() == 0 {
            refund(&self.daemon, &self.team, self.cost);
        }
    }
}

/// The daemon that keeps a team's bucket.
enum Counter {
    Local,
    Remote(SocketAddr),
}

/// Returns the counter of a team, chosen among the daemons that are not suspected.
fn find_counter(daemon: &Daemon, now: Duration, team: &str) -> Counter {
    let (nodes, quotas) = (daemon.nodes.borrow(), daemon.quotas.borrow());
    let own = node::own_registration(daemon, 0);
    let candidates = nodes.reachable(now).chain(Some(&own));
    match quota::pick(candidates, team, |node| quotas.suspects.has(now, node.peer)) {
        Some(node) if node.name != own.name => Counter::Remote(node.peer),
        _ => Counter::Local,
    }
}

/// Why a request is not admitted under its team's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The quota is used up; the caller should retry after this time.
    Exceeded(Duration),
    /// This daemon has just started and does not know the other daemons yet.
    Starting,
}

/// Charges a request to its team; returns `None` if no quota applies.
pub async fn charge(
    daemon: &Rc<Daemon>,
    team: Option<&Rc<Team>>,
    tokens: Option<u32>,
) -> Result<Option<Charge>, Error> {
    let Some((team, quota)) = team.and_then(|team| Some((team, team.quota?))) else {
        return Ok(None);
    };
    // A daemon that knows no others would grant the whole quota by itself.
    if !daemon.nodes.borrow().is_loaded() {
        return Err(Error::Starting);
    }
    let cost = quota.unit.cost(tokens).max(1);
    admit(daemon, team, &quota, cost).await.map_err(Error::Exceeded)?;
    Ok(Some(Charge { daemon: daemon.clone(), team: team.clone(), cost, attempts: Cell::new(0) }))
}

async fn admit(daemon: &Rc<Daemon>, team: &Team, quota: &Quota, cost: u32) -> Result<(), Duration> {
    let mut queries = 0;
    let mut is_first = true;
    loop {
        let now = clock::now();
        let to = match find_counter(daemon, now, &team.name) {
            Counter::Remote(to) if queries < MAX_QUERIES => to,
            Counter::Local if !is_isolated(daemon, now) => {
                return decide_locally(daemon, now, team, quota, cost);
            }
            Counter::Remote(_) | Counter::Local => {
                return decide_without_counter(daemon, now, team, quota, cost);
            }
        };
        let (step, listener) = {
            let mut quotas = daemon.quotas.borrow_mut();
            let usage = quotas.usage(daemon, now, &team.name);
            let listener = usage.reply_event.listen();
            let step = if is_first {
                usage.meter.request(now, cost)
            } else {
                usage.meter.retry(now, cost)
            };
            (step, listener)
        };
        is_first = false;
        match step {
            Decision::Accept => {
                send_due_report(daemon, now, &team.name, quota, to);
                return Ok(());
            }
            Decision::Refuse(retry_after) => return Err(retry_after),
            Decision::AskCounter(count) => send_report(daemon, to, &team.name, now, &count),
            Decision::Wait => {}
        }
        let timeout = async {
            Timer::after(quota::RESPONSE_TIMEOUT).await;
            false
        };
        let replied = async {
            listener.await;
            true
        };
        if !replied.or(timeout).await {
            queries += 1;
            record_unanswered(daemon, &team.name, to);
        }
    }
}

/// Returns the part of each quota that this daemon grants as a counter: the part of all daemons
/// that it reaches.
fn granted_part(daemon: &Daemon, now: Duration) -> f64 {
    let (nodes, quotas) = (daemon.nodes.borrow(), daemon.quotas.borrow());
    nodes.reached_ratio(now, |node| quotas.suspects.has(now, node.peer))
}

/// Returns whether this daemon reaches none of the others, so that it counts for no daemon but
/// itself.
fn is_isolated(daemon: &Daemon, now: Duration) -> bool {
    let known = daemon.nodes.borrow().known_count();
    known > 1 && granted_part(daemon, now) <= 1.0 / known as f64
}

/// Decides on a request of a team whose counter is this daemon.
fn decide_locally(
    daemon: &Rc<Daemon>,
    now: Duration,
    team: &Team,
    quota: &Quota,
    cost: u32,
) -> Result<(), Duration> {
    let count = Request { minimum: cost, requested: cost, ..Request::default() };
    let reply = apply_report(daemon, now, &team.name, quota, &count, None);
    if reply.granted > 0 { Ok(()) } else { Err(reply.retry_after) }
}

/// Decides on a request whose counter cannot be reached, from this daemon's even share.
fn decide_without_counter(
    daemon: &Rc<Daemon>,
    now: Duration,
    team: &Team,
    quota: &Quota,
    cost: u32,
) -> Result<(), Duration> {
    let daemons = daemon.nodes.borrow().known_count();
    let mut quotas = daemon.quotas.borrow_mut();
    let started_at = quotas.started_at;
    let usage = quotas.usage(daemon, now, &team.name);
    let since = usage.last_reply.map_or(started_at, |(_, replied_at)| replied_at);
    let message = Request { minimum: cost, requested: cost, ..Request::default() };
    let (response, level) = usage.meter.charge_local_share(now, quota, daemons, since, &message);
    quotas.record(&team.name, Grantor::Share, &message, &response, level);
    if response.granted > 0 { Ok(()) } else { Err(response.retry_after) }
}

/// Records that a counter has not replied to a query, and suspects it if it is unresponsive.
fn record_unanswered(daemon: &Daemon, team: &str, counter: SocketAddr) {
    let (now, mut quotas) = (clock::now(), daemon.quotas.borrow_mut());
    let unresponsive = quotas.usages.get_mut(team).is_some_and(|usage| usage.meter.on_timeout(now));
    if unresponsive {
        quotas.suspects.add(now, counter);
    }
}

/// Suspects a counter that has not replied to reports, and stops using it.
fn abandon(daemon: &Daemon, team: &str, counter: SocketAddr) {
    let mut quotas = daemon.quotas.borrow_mut();
    quotas.suspects.add(clock::now(), counter);
    if let Some(usage) = quotas.usages.get_mut(team) {
        usage.meter.reset_counter();
    }
}

fn refund(daemon: &Rc<Daemon>, team: &Team, cost: u32) {
    let (Some(quota), now) = (&team.quota, clock::now()) else {
        return;
    };
    match find_counter(daemon, now, &team.name) {
        Counter::Local => {
            let count = Request { spent: -i64::from(cost), ..Request::default() };
            apply_report(daemon, now, &team.name, quota, &count, None);
        }
        Counter::Remote(to) => {
            if let Some(usage) = daemon.quotas.borrow_mut().usages.get_mut(&team.name) {
                usage.meter.give_back(now, cost);
            }
            send_due_report(daemon, now, &team.name, quota, to);
        }
    }
}

/// Sends a counter the spending report of a team if one is due.
fn send_due_report(daemon: &Rc<Daemon>, now: Duration, team: &str, quota: &Quota, to: SocketAddr) {
    let daemons = daemon.nodes.borrow().known_count();
    let due = {
        let mut quotas = daemon.quotas.borrow_mut();
        quotas.usages.get_mut(team).and_then(|usage| usage.meter.due_report(now, quota, daemons))
    };
    if let Some(count) = due {
        send_report(daemon, to, team, now, &count);
    }
}

fn send_report(daemon: &Rc<Daemon>, to: SocketAddr, team: &str, now: Duration, count: &Request) {
    let last_reply = daemon.quotas.borrow().usages.get(team).and_then(|usage| usage.last_reply);
    let message = Message::Report {
        team: team.to_string(),
        ticket: count.ticket,
        spent: count.spent,
        min_units: count.minimum,
        requested: count.requested,
        counter_changed: last_reply.is_some_and(|(from, replied_at)| {
            from != to && now < replied_at + COUNTER_CHANGE_WINDOW
        }),
    };
    peer::spawn_send(daemon, vec![to], peer::Message::Quota(message));
}

/// Applies the report of a daemon, this one if `from` is none, to the team's bucket, and broadcasts
/// `Strict` when the bucket becomes strict.
fn apply_report(
    daemon: &Rc<Daemon>,
    now: Duration,
    team: &str,
    quota: &Quota,
    count: &Request,
    from: Option<SocketAddr>,
) -> Response {
    let standing = match find_counter(daemon, now, team) {
        Counter::Local => Role::Counter,
        Counter::Remote(_) => Role::Deputy,
    };
    let askers = from.map_or(0, |from| daemon.quotas.borrow_mut().count_askers(now, team, from));
    let part = match standing {
        Role::Counter => granted_part(daemon, now),
        // The shares of those that ask here: the counter grants the rest.
        Role::Deputy => {
            let known = daemon.nodes.borrow().known_count();
            (askers.max(1) as f64 / known as f64).min(1.0)
        }
    };
    let quota = &quota.scaled(part);
    let (reply, became_strict) = {
        let mut quotas = daemon.quotas.borrow_mut();
        let started_at = quotas.started_at;
        let existed = quotas.buckets.contains_key(team);
        let bucket = quotas
            .buckets
            .entry(team.to_string())
            .or_insert_with(|| Bucket::new(now, quota, standing, started_at));
        let was_lenient = existed && !bucket.is_strict();
        let reply = bucket.handle(now, quota, standing, count);
        let level = bucket.level();
        quotas.record(team, standing.into(), count, &reply, level);
        (reply, was_lenient && reply.strict)
    };
    if became_strict {
        let peers = daemon.nodes.borrow().peers();
        let message = Message::Strict(team.to_string());
        peer::spawn_send(daemon, peers, peer::Message::Quota(message));
    }
    reply
}

/// Handles a quota message from another daemon.
pub fn on_message(daemon: &Rc<Daemon>, message: Message, from: SocketAddr) {
    let now = clock::now();
    match message {
        Message::Report { team, ticket, spent, min_units, requested, counter_changed } => {
            let Some(quota) = quota_of(daemon, &team) else {
                return;
            };
            if !daemon.quotas.borrow_mut().reports.insert(now, (from, team.clone(), ticket)) {
                return;
            }
            let count = Request {
                ticket,
                spent,
                minimum: min_units,
                requested: requested.max(min_units),
                counter_changed,
            };
            let reply = apply_report(daemon, now, &team, &quota, &count, Some(from));
            let retry_after_ms = u32::try_from(reply.retry_after.as_millis()).unwrap_or(u32::MAX);
            let (granted, strict) = (reply.granted, reply.strict);
            let message = Message::Reply { team, ticket, granted, strict, retry_after_ms };
            peer::spawn_send(daemon, vec![from], peer::Message::Quota(message));
        }
        Message::Reply { team, ticket, granted, strict, retry_after_ms } => {
            let reply = Response {
                granted,
                strict,
                retry_after: Duration::from_millis(retry_after_ms.into()),
            };
            if let Some(usage) = daemon.quotas.borrow_mut().usages.get_mut(&team)
                && usage.meter.on_response(now, ticket, &reply, &mut daemon.rng.borrow_mut())
            {
                usage.last_reply = Some((from, now));
                usage.reply_event.notify(usize::MAX);
            }
        }
        Message::Strict(team) => {
            if let Some(usage) = daemon.quotas.borrow_mut().usages.get_mut(&team) {
                usage.meter.set_strict(now);
            }
        }
    }
}

fn quota_of(daemon: &Daemon, team: &str) -> Option<Quota> {
    daemon.config.borrow().as_ref()?.teams.as_ref()?.get(team)?.quota
}

/// Logs the units granted since the last time.
fn log_flows(daemon: &Daemon) {
    let flows = std::mem::take(&mut daemon.quotas.borrow_mut().flows);
    let known = daemon.nodes.borrow().known_count();
    for ((team, grantor), flow) in flows {
        daemon.note(&Event::Quota {
            team,
            grantor: grantor.into(),
            granted: flow.granted,
            reported: flow.reported,
            refused: flow.refused,
            level: flow.level as i64,
            known,
            part: granted_part(daemon, clock::now()),
        });
    }
}

/// Sends due spending reports to the counters and abandons unresponsive ones, for as long as the
/// daemon runs.
pub async fn report_loop(daemon: Rc<Daemon>) {
    let mut next_log = clock::now() + LOG_INTERVAL;
    loop {
        Timer::after(REPORT_INTERVAL).await;
        let now = clock::now();
        if now >= next_log {
            log_flows(&daemon);
            next_log = now + LOG_INTERVAL;
        }
        let teams: Vec<TeamId> = daemon.quotas.borrow().usages.keys().cloned().collect();
        for team in teams {
            let Some(quota) = quota_of(&daemon, &team) else {
                daemon.quotas.borrow_mut().usages.remove(&team);
                continue;
            };
            let Counter::Remote(to) = find_counter(&daemon, now, &team) else {
                continue;
            };
            let unanswered_since = daemon
                .quotas
                .borrow()
                .usages
                .get(&team)
                .and_then(|usage| usage.meter.unanswered_since());
            if unanswered_since.is_some_and(|since| now >= since + COUNTER_TIMEOUT) {
                abandon(&daemon, &team, to);
            }
            send_due_report(&daemon, now, &team, &quota, to);
        }
    }
}
