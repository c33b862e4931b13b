//! Tells other daemons where streams began, and finds out where a stream began that its caller takes
//! up; `decide::origin` selects the daemons.
//!
//! All messages are datagrams. If the answers are lost, the stream is not continued.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use postcard::ser_flavors::Size;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;
use xxhash_rust::xxh3::Xxh3;

use crate::daemon::Daemon;
use crate::daemon::admission::Refusal;
use crate::daemon::clock;
use crate::daemon::front::Job;
use crate::daemon::incarnation;
use crate::daemon::journal::Event;
use crate::daemon::peer;
use crate::daemon::versions;
use crate::decide::origin;
use crate::decide::origin::Origin;
use crate::decide::origin::Table;
use crate::decide::updates;
use crate::edge::dialect::Caller;
use crate::table::StreamId;
use crate::table::instance::Key;
use crate::table::routing::Kind;
use crate::table::routing::Route;

/// Time for which an answer is awaited: a round trip between regions, and the time that a small
/// machine takes to answer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(120);
/// Times that a daemon is asked which does not answer.
const MAX_ROUNDS: u32 = 3;
/// Time for which a caller may wait that does not state a limit.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(60);
/// Added to the time for which a caller waits, as it may begin its last attempt shortly before.
const RETENTION_SLACK: Duration = Duration::from_secs(2);
/// Age of the list of endpoints up to which it shows which versions serve.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);
/// Retry-after of a stream that can't go on here: another daemon may know where it began.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Id of a question, drawn at random.
type Ticket = u64;

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    id: StreamId,
    origin: Origin,
    /// Time for which it may be taken up, in milliseconds.
    remaining_ms: u32,
}

impl Row {
    fn new(id: StreamId, origin: &Origin, remaining: Duration) -> Self {
        let remaining_ms = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
        Row { id, origin: origin.clone(), remaining_ms }
    }
}

/// A message between daemons about the origins of streams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// States where streams began.
    Began(Vec<Row>),
    /// Asks where a stream began.
    Asked {
        /// The question's ticket.
        ticket: Ticket,
        /// The stream.
        id: StreamId,
    },
    /// The answer; no row if the sender does not know.
    Answered {
        /// The question's ticket.
        ticket: Ticket,
        /// Where the stream began.
        row: Option<Row>,
    },
}

/// How it was found out where a stream began that is taken up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// This daemon knew.
    Own,
    /// Another daemon answered.
    Peer,
    /// Its caller names no attempt, and only one version serves.
    Sole,
    /// No daemon that answered knew.
    Unknown,
    /// It is known, and its route no longer selects that service.
    Withdrawn,
}

type Answer = (SocketAddr, Option<Row>);

/// The origins that this daemon knows, and its questions to others.
#[derive(Default)]
pub struct Origins {
    table: Table,
    pending: HashMap<Ticket, Sender<Answer>>,
    outcomes: HashMap<Source, u64>,
}

impl Origins {
    /// Returns the number of streams whose origins are known.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether no origin is known.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the number of streams that were taken up here, by the way their origin was found.
    pub fn outcomes(&self) -> impl Iterator<Item = (Source, u64)> + '_ {
        self.outcomes.iter().map(|(source, count)| (*source, *count))
    }
}

/// Returns the id of the stream whose first event an attempt brings. Attempts of other teams and on
/// other routes have other ids, so that nobody can take up their streams.
pub fn stream_id(team: Option<&str>, route: &Route, attempt: &str) -> StreamId {
    let mut hasher = Xxh3::new();
    for part in [team.unwrap_or_default(), &route.host, &route.name, attempt] {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.digest()
}

/// Returns where the stream began that a request takes up; none if it begins one or is for no
/// stream. Fails if the stream can't go on.
pub async fn resolve(
    daemon: &Rc<Daemon>,
    caller: &Caller,
    route: &Route,
    team: Option<&str>,
) -> Result<Option<Origin>, Refusal> {
    if route.kind != Kind::Streaming || (caller.last_event.is_none() && caller.resumes.is_none()) {
        return Ok(None);
    }
    let (mut source, origin) = match &caller.resumes {
        Some(attempt) => find(daemon, stream_id(team, route, attempt)).await,
        None => match sole(daemon, route) {
            Some(origin) if versions::is_sole(daemon, &origin).await => {
                (Source::Sole, Some(origin))
            }
            Some(_) | None => (Source::Unknown, None),
        },
    };
    let is_selected =
        |origin: &Origin| route.targets.iter().any(|(service, _)| *service == origin.service);
    if origin.as_ref().is_some_and(|origin| !is_selected(origin)) {
        source = Source::Withdrawn;
    }
    *daemon.origins.borrow_mut().outcomes.entry(source).or_default() += 1;
    daemon.note(&Event::TakenUp {
        request: caller.id.clone(),
        resumes: caller.resumes.clone(),
        after: caller.last_event.clone(),
        service: origin.as_ref().map(|origin| origin.service.clone()),
        software: origin.as_ref().map(|origin| origin.software.clone()),
        source: source.into(),
    });
    match source {
        Source::Own | Source::Peer | Source::Sole => Ok(origin),
        Source::Unknown => Err(Refusal::new("origin_unknown", UNKNOWN_RETRY_AFTER)),
        Source::Withdrawn => Err(Refusal::new("origin_withdrawn", UNKNOWN_RETRY_AFTER)),
    }
}

/// Returns where any stream of a route began, if that was at the same version for all of them.
fn sole(daemon: &Daemon, route: &Route) -> Option<Origin> {
    let [(service, _)] = &route.targets[..] else {
        return None;
    };
    let now = clock::now();
    // Versions may have come and gone while records could not be read.
    let recovered_at = daemon.store.recovered_at();
    let is_complete = recovered_at.is_none_or(|at| now >= at + origin::MAX_STREAM_AGE);
    let fleet = daemon.fleet.borrow();
    let software =
        fleet.sole_software(now, service).filter(|_| is_complete && is_list_current(daemon))?;
    Some(Origin { service: service.clone(), software: software.clone() })
}

/// Removes a question when it needs no answer any more.
struct Question<'a> {
    daemon: &'a Daemon,
    ticket: Ticket,
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.daemon.origins.borrow_mut().pending.remove(&self.ticket);
    }
}

/// Finds out where a stream began, from this daemon's own state or from other daemons.
async fn find(daemon: &Rc<Daemon>, id: StreamId) -> (Source, Option<Origin>) {
    let known = {
        let origins = daemon.origins.borrow();
        origins.table.get(clock::now(), id).map(|(origin, _)| origin.clone())
    };
    if known.is_some() {
        return (Source::Own, known);
    }
    let mut silent = candidates(daemon, id);
    if silent.is_empty() {
        return (Source::Unknown, None);
    }
    let ticket: Ticket = daemon.rng.borrow_mut().random();
    let (sender, answers) = smol::channel::bounded(silent.len() * MAX_ROUNDS as usize);
    daemon.origins.borrow_mut().pending.insert(ticket, sender);
    let _question = Question { daemon, ticket };
    for _ in 0..MAX_ROUNDS {
        send(daemon, silent.clone(), Message::Asked { ticket, id });
        let round_end = clock::now() + REPLY_TIMEOUT;
        while let Some((from, row)) = receive(&answers, round_end).await {
            if let Some(row) = row.filter(|row| row.id == id) {
                record(daemon, &row);
                return (Source::Peer, Some(row.origin));
            }
            silent.retain(|addr| *addr != from);
            if silent.is_empty() {
                return (Source::Unknown, None);
            }
        }
    }
    (Source::Unknown, None)
}

/// Returns the daemons that may know where a stream began.
fn candidates(daemon: &Daemon, id: StreamId) -> Vec<SocketAddr> {
    let nodes = daemon.nodes.borrow();
    let reachable = nodes.reachable(clock::now());
    if nodes.other_count() <= origin::MAX_ALL_ASKED {
        return reachable.map(|node| node.peer).collect();
    }
    let selected = origin::select(reachable, id, origin::CANDIDATES);
    selected.into_iter().map(|node| node.peer).collect()
}

async fn receive(answers: &Receiver<Answer>, until: Duration) -> Option<Answer> {
    let timeout = async {
        Timer::after(until.saturating_sub(clock::now())).await;
        None
    };
    async { answers.recv().await.ok() }.or(timeout).await
}

fn record(daemon: &Daemon, row: &Row) {
    let remaining = Duration::from_millis(row.remaining_ms.into());
    daemon.origins.borrow_mut().table.insert(clock::now(), row.id, &row.origin, remaining);
}

fn send(daemon: &Rc<Daemon>, to: Vec<SocketAddr>, message: Message) {
    peer::spawn_send(daemon, to, peer::Message::Origin(message));
}

/// Returns the other daemons that are told where a stream began.
fn replicas(daemon: &Daemon, id: StreamId) -> Vec<SocketAddr> {
    let nodes = daemon.nodes.borrow();
    let selected = origin::select(nodes.reachable(clock::now()), id, origin::REPLICAS);
    selected.into_iter().map(|node| node.peer).collect()
}

/// Binds the stream of a job to the version of the endpoint that sends its first events, before its
/// caller gets them. A daemon whose list of endpoints is old makes sure that the endpoint has not
/// started again; until then the stream has no origin.
pub fn bind(daemon: &Rc<Daemon>, job: &Rc<Job>, key: &Key) {
    if job.software.get().is_some() {
        // It has been taken up here. Those that knew its origin may be gone.
        return announce(daemon, job);
    }
    let Some(software) = daemon.fleet.borrow().software(key).cloned() else {
        return;
    };
    let is_confirmed =
        daemon.fleet.borrow().get(key).is_some_and(|row| row.is_confirmed(clock::now()));
    if is_confirmed || is_list_current(daemon) {
        job.software.get_or_init(|| software);
        return announce(daemon, job);
    }
    let (shared, job, key) = (daemon.clone(), job.clone(), key.clone());
    let confirm = async move {
        if incarnation::is_current(&shared, &key).await {
            job.software.get_or_init(|| software);
            announce(&shared, &job);
        }
    };
    daemon.ex.spawn(confirm).detach();
}

/// Returns whether the list of endpoints shows which versions serve.
fn is_list_current(daemon: &Daemon) -> bool {
    clock::now() < daemon.store.instances_answered_at() + MAX_LIST_AGE
}

/// Records where the stream of a job began, and tells other daemons.
fn announce(daemon: &Rc<Daemon>, job: &Job) {
    let Some(software) = job.software.get() else {
        return;
    };
    let origin = Origin { service: job.spec.service.clone(), software: software.clone() };
    let limit = job.caller.timeout.unwrap_or(DEFAULT_TIME_LIMIT) + RETENTION_SLACK;
    let remaining = (job.arrived_at + limit).saturating_sub(clock::now());
    let row = Row::new(job.stream, &origin, remaining);
    record(daemon, &row);
    send(daemon, replicas(daemon, job.stream), Message::Began(vec![row]));
}

/// Tells the daemons that remain all origins that this one knows; returns once all is sent.
pub async fn hand_over(daemon: &Daemon) {
    let mut rows: HashMap<SocketAddr, Vec<Row>> = HashMap::new();
    {
        let origins = daemon.origins.borrow();
        for (id, origin, remaining) in origins.table.iter(clock::now()) {
            for addr in replicas(daemon, id) {
                rows.entry(addr).or_default().push(Row::new(id, origin, remaining));
            }
        }
    }
    // A row that can't be encoded counts as larger than any datagram.
    let size = |row: &Row| {
        postcard::serialize_with_flavor(row, Size::default()).unwrap_or(peer::MAX_DATAGRAM_BYTES)
    };
    for (addr, rows) in rows {
        for rows in updates::pack(rows, peer::MAX_DATAGRAM_BYTES - peer::RESERVED_BYTES, size) {
            daemon.peers.send(&[addr], &peer::Message::Origin(Message::Began(rows))).await;
        }
    }
}

/// Handles a message of another daemon.
pub fn on_message(daemon: &Rc<Daemon>, message: Message, from: SocketAddr) {
    match message {
        Message::Began(rows) => rows.iter().for_each(|row| record(daemon, row)),
        Message::Asked { ticket, id } => {
            let row = {
                let origins = daemon.origins.borrow();
                let known = origins.table.get(clock::now(), id);
                known.map(|(origin, remaining)| Row::new(id, origin, remaining))
            };
            send(daemon, vec![from], Message::Answered { ticket, row });
        }
        Message::Answered { ticket, row } => {
            let pending = daemon.origins.borrow().pending.get(&ticket).cloned();
            // The question may have been answered by another daemon meanwhile.
            drop(pending.map(|pending| pending.try_send((from, row))));
        }
    }
}

/// Returns whether the endpoint that has begun to answer a job runs the version that the job's
/// stream is bound to: its record names it, and describes the process. `forwarded` is what the daemon
/// has found out of that process that has passed the request on, if one has.
pub async fn is_confirmed(
    daemon: &Rc<Daemon>,
    job: &Job,
    key: &Key,
    forwarded: Option<bool>,
) -> bool {
    let Some(software) = job.software.get() else {
        return true;
    };
    let is_same = match forwarded {
        Some(is_same) => is_same,
        None => incarnation::is_current(daemon, key).await,
    };
    is_same && daemon.fleet.borrow().software(key) == Some(software)
}
