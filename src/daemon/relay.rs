//! Serves the objects that this daemon reads from the store to other daemons, and follows them at
//! such a reader instead of the store. See `decide::relay`.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use event_listener::Event as Signal;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use http_body_util::Full;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpListener;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::compression;
use crate::daemon::directory::response;
use crate::daemon::directory::serve_with;
use crate::daemon::journal::Event;
use crate::daemon::link;
use crate::daemon::link::Link;
use crate::daemon::node;
use crate::daemon::store;
use crate::daemon::transfer;
use crate::decide::relay;
use crate::decide::relay::Delta;
use crate::decide::relay::Feed;
use crate::decide::relay::MAX_AGE;
use crate::edge::dialect::Change;
use crate::edge::dialect::Kind;
use crate::edge::dialect::Object;
use crate::edge::dialect::Revision;

/// How long a reader holds a request when there is no change.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time allowed for the head of the response in addition to `LONG_POLL_TIMEOUT`.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// Time limit for opening a connection to a reader.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of responses older than the known revision after which a reader is no longer used. A
/// reader that has just started has read the store by then.
const MAX_OUTDATED_RESPONSES: u32 = 3;

/// Time after which a configuration that other daemons have in force is fetched from one of them,
/// if neither the store nor a reader has delivered it.
const FETCH_DELAY: Duration = Duration::from_millis(600);
/// Headers of a compressed response: how long ago the store last answered and became available
/// again, in milliseconds.
const AGE_HEADER: &str = "age-ms";
const RETURNED_HEADER: &str = "returned-ms";
/// Compressed responses kept of one topic: most daemons have the same revision.
const MAX_KEPT_RESPONSES: usize = 8;
/// Path at which a daemon serves the configuration that it has in force.
const PUBLISHED_PATH: &str = "/published";

/// The objects of one kind as this daemon reads them from the store.
#[derive(Default)]
struct Topic {
    feed: RefCell<Feed>,
    /// Notified after each change.
    changed: Signal,
    /// Compressed responses for the present revision, by the revision that a daemon has.
    compressed: RefCell<Vec<(Delivery, Bytes)>>,
}

/// The change between two revisions of a topic; from none, if all objects are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Delivery {
    from: Option<Revision>,
    to: Revision,
}

impl Topic {
    /// Returns a compressed response that was kept.
    fn compressed(&self, delivery: Delivery) -> Option<Bytes> {
        let kept = self.compressed.borrow();
        kept.iter().find(|(other, _)| *other == delivery).map(|(_, body)| body.clone())
    }

    /// Keeps a compressed response, and drops those for other revisions.
    fn keep_compressed(&self, delivery: Delivery, body: Bytes) {
        let mut kept = self.compressed.borrow_mut();
        kept.retain(|(other, _)| other.to == delivery.to);
        if kept.len() < MAX_KEPT_RESPONSES {
            kept.push((delivery, body));
        }
    }
}

/// The objects that this daemon serves to others.
#[derive(Default)]
pub struct Relay {
    config: Topic,
    instances: Topic,
    nodes: Topic,
    /// When another daemon first reported a newer configuration in force, or when that was last
    /// fetched, on the boot clock.
    newer_since: Cell<Option<Duration>>,
    /// Whether a configuration is being fetched from another daemon.
    is_fetching: Cell<bool>,
    /// The configuration in force, compressed, with its version.
    published: RefCell<Option<(u64, Bytes)>>,
}

impl Relay {
    fn topic(&self, kind: Kind) -> Option<&Topic> {
        match kind {
            Kind::Config => Some(&self.config),
            Kind::Instances => Some(&self.instances),
            Kind::Nodes => Some(&self.nodes),
            Kind::Leases => None,
        }
    }

    /// Records that this daemon has put a newer configuration in force.
    pub fn clear_newer_version(&self) {
        self.newer_since.set(None);
    }

    /// Replaces all objects of a kind by those listed from the store.
    pub fn reset(&self, kind: Kind, objects: &[Object], revision: Revision) {
        if let Some(topic) = self.topic(kind) {
            topic.feed.borrow_mut().reset(clock::now(), objects, revision);
            topic.changed.notify(usize::MAX);
        }
    }

    /// Adds the changes that the store returned for a watch of a kind; there may be none.
    pub fn push(&self, kind: Kind, changes: &[Change], revision: Revision) {
        if let Some(topic) = self.topic(kind) {
            topic.feed.borrow_mut().push(clock::now(), changes, revision);
            topic.changed.notify(usize::MAX);
        }
    }

    /// Returns whether this daemon follows a kind at the store.
    pub fn is_followed(&self, kind: Kind) -> bool {
        self.topic(kind).is_some_and(|topic| topic.feed.borrow().age(clock::now()).is_some())
    }

    /// Records that this daemon no longer follows a kind at the store.
    pub fn stop(&self, kind: Kind) {
        if let Some(topic) = self.topic(kind) {
            topic.feed.borrow_mut().stop();
        }
    }
}

/// A reader's response.
#[derive(Debug, Serialize, Deserialize)]
struct Update {
    /// The reader's incarnation: a revision from another incarnation is not known to it.
    #[serde(rename = "born")]
    incarnation: u64,
    revision: Revision,
    /// How long ago the store last answered, in milliseconds. In a response that is compressed, this
    /// and the next value are in the head.
    #[serde(rename = "age")]
    age_ms: u64,
    /// How long ago the store became available again after an outage, in milliseconds.
    #[serde(rename = "returned")]
    returned_ms: Option<u64>,
    /// All objects; none if `changes` suffices.
    #[serde(rename = "whole")]
    snapshot: Option<Vec<Object>>,
    /// Changes since the revision in the request.
    #[serde(default)]
    changes: Vec<Change>,
}

/// Returns the daemons to follow objects at, the preferred one first; none if this daemon is a
/// reader itself.
pub fn readers(daemon: &Daemon) -> Vec<SocketAddr> {
    let nodes = daemon.nodes.borrow();
    let own = node::own_registration(daemon, 0);
    let all = nodes.registered().chain(Some(&own));
    let readers = relay::readers(all, &daemon.settings.region);
    if readers.iter().any(|node| node.name == own.name) {
        return Vec::new();
    }
    readers.into_iter().map(|node| node.peer).collect()
}

/// Answers the requests of other daemons for as long as this one runs.
pub async fn serve(daemon: Rc<Daemon>, listener: TcpListener) {
    serve_with(daemon, listener, async |daemon, head| respond(daemon, &head).await).await;
}

/// The revision of a kind up to which a daemon has received objects.
#[derive(Debug, Clone, Copy)]
struct Position {
    /// The incarnation of the reader that sent it; 0 if it did not come from this reader.
    incarnation: u64,
    revision: Revision,
}

fn request_path(kind: Kind, known: Position) -> String {
    let kind: &'static str = kind.into();
    let Revision { era, number } = known.revision;
    format!("/{kind}/{}/{era}/{number}", known.incarnation)
}

fn parse_path(path: &str) -> Option<(Kind, Position)> {
    let mut parts = path.strip_prefix('/')?.split('/');
    let kind = parts.next()?.parse().ok()?;
    let incarnation = parts.next()?.parse().ok()?;
    let era = parts.next()?.parse().ok()?;
    let number = parts.next()?.parse().ok()?;
    Some((kind, Position { incarnation, revision: Revision { era, number } }))
}

async fn respond(daemon: &Daemon, head: &Parts) -> Response<Full<Bytes>> {
    let path = head.uri.path();
    let compresses = compression::is_accepted(&head.headers);
    if path == PUBLISHED_PATH {
        return respond_published(daemon, compresses);
    }
    let parsed = parse_path(path);
    let topic = parsed.and_then(|(kind, known)| Some((daemon.relay.topic(kind)?, known)));
    let Some((topic, known)) = topic else {
        return response(StatusCode::NOT_FOUND, Bytes::new());
    };
    let same_incarnation = known.incarnation == daemon.started_at;
    let age = topic.feed.borrow().age(clock::now()).unwrap_or(MAX_AGE);
    // Once this daemon's state exceeds the age limit the request is answered with an error, so that
    // the other daemon uses another reader or the store.
    let deadline = clock::now() + LONG_POLL_TIMEOUT.min(MAX_AGE.saturating_sub(age));
    loop {
        let changed = topic.changed.listen();
        let revision = topic.feed.borrow().revision();
        let time_left = deadline.saturating_sub(clock::now());
        // If the other daemon has read a later revision elsewhere, the response waits until this
        // daemon has it too.
        if time_left.is_zero()
            || revision > known.revision
            || (!same_incarnation && revision == known.revision)
        {
            break;
        }
        let timeout = async {
            Timer::after(time_left).await;
        };
        changed.or(timeout).await;
    }
    let known = same_incarnation.then_some(known.revision);
    respond_update(daemon, topic, known, compresses)
        .unwrap_or_else(|| response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()))
}

fn respond_published(daemon: &Daemon, compresses: bool) -> Response<Full<Bytes>> {
    let Some(spec) = &*daemon.published.borrow() else {
        return response(StatusCode::NOT_FOUND, Bytes::new());
    };
    if !compresses {
        return response(StatusCode::OK, Bytes::from(spec.to_string()));
    }
    let version = daemon.config_version();
    let mut kept = daemon.relay.published.borrow_mut();
    if let Some((_, body)) = kept.as_ref().filter(|(other, _)| *other == version) {
        return compressed_response(body.clone());
    }
    let body = Bytes::from(spec.to_string());
    match compression::compress(&body) {
        Some(compressed) => {
            *kept = Some((version, compressed.clone()));
            compressed_response(compressed)
        }
        None => response(StatusCode::OK, body),
    }
}

fn compressed_response(body: Bytes) -> Response<Full<Bytes>> {
    let mut res = response(StatusCode::OK, body);
    compression::mark(res.headers_mut());
    res
}

/// Returns the response with what changed since a revision; none if this daemon does not follow the
/// store, or is about to stop.
fn respond_update(
    daemon: &Daemon,
    topic: &Topic,
    known: Option<Revision>,
    compresses: bool,
) -> Option<Response<Full<Bytes>>> {
    let (now, feed) = (clock::now(), topic.feed.borrow());
    let age = feed.age(now).filter(|age| *age < MAX_AGE && !daemon.shutting_down.get())?;
    let returned = daemon.store.recovered_at().map(|at| now.saturating_sub(at));
    let delivery = Delivery { from: known, to: feed.revision() };
    let mut compressed = topic.compressed(delivery).filter(|_| compresses);
    if compressed.is_none() {
        let body = encode_update(daemon, &feed, known, age, returned)?;
        compressed = compression::compress(&body).filter(|_| compresses);
        match &compressed {
            Some(compressed) => topic.keep_compressed(delivery, compressed.clone()),
            None => return Some(response(StatusCode::OK, body)),
        }
    }
    let mut res = compressed_response(compressed?);
    res.headers_mut().insert(AGE_HEADER, HeaderValue::from(age.as_millis() as u64));
    if let Some(returned) = returned {
        let returned_ms = returned.as_millis() as u64;
        res.headers_mut().insert(RETURNED_HEADER, HeaderValue::from(returned_ms));
    }
    Some(res)
}

fn encode_update(
    daemon: &Daemon,
    feed: &Feed,
    known: Option<Revision>,
    age: Duration,
    returned: Option<Duration>,
) -> Option<Bytes> {
    let (snapshot, changes) = match feed.since(known) {
        Delta::Snapshot(objects) => (Some(objects), Vec::new()),
        Delta::Changes(changes) => (None, changes),
    };
    let update = Update {
        incarnation: daemon.started_at,
        revision: feed.revision(),
        age_ms: age.as_millis() as u64,
        returned_ms: returned.map(|returned| returned.as_millis() as u64),
        snapshot,
        changes,
    };
    match serde_json::to_vec(&update) {
        Ok(body) => Some(Bytes::from(body)),
        Err(err) => {
            daemon.note(&Event::Skipped {
                what: "update",
                name: String::new(),
                problem: err.to_string(),
                revision: feed.revision().number,
            });
            None
        }
    }
}

/// Follows a kind at a reader until the reader fails. `known` is the highest revision received.
pub async fn follow(
    daemon: &Rc<Daemon>,
    kind: Kind,
    reader: SocketAddr,
    known: &mut Revision,
    on_snapshot: &mut impl FnMut(Vec<Object>),
    on_change: &mut impl FnMut(Change),
) {
    let Ok(mut link) = link::dial(&daemon.ex, reader, CONNECT_TIMEOUT).await else {
        return;
    };
    let mut incarnation = 0;
    let mut outdated = 0;
    loop {
        let position = Position { incarnation, revision: *known };
        let Some(update) = request_update(daemon, &mut link, reader, kind, position).await else {
            return;
        };
        // Objects never go back to an older revision; a reader that is behind is given some time.
        if update.revision < *known {
            outdated += 1;
            if outdated == MAX_OUTDATED_RESPONSES {
                return;
            }
            continue;
        }
        if update.revision.era > daemon.store.era() {
            store::record_era(daemon, update.revision.era);
        }
        let now = clock::now();
        let confirmed_at = now.saturating_sub(Duration::from_millis(update.age_ms));
        daemon.store.merge_activity(
            kind,
            confirmed_at,
            update.returned_ms.map(Duration::from_millis),
        );
        *known = update.revision;
        incarnation = update.incarnation;
        match update.snapshot {
            Some(objects) => on_snapshot(objects),
            None => update.changes.into_iter().for_each(&mut *on_change),
        }
    }
}

/// Records the version of the configuration that another daemon has in force. If the store rejects
/// this daemon and all readers of its region, or has lost the newest version, the configuration is
/// fetched from that daemon. While a configuration is being received, a second copy would only slow
/// the first one down.
pub fn on_peer_version(daemon: &Rc<Daemon>, from: SocketAddr, version: u64) {
    let (now, newer_since) = (clock::now(), &daemon.relay.newer_since);
    if version <= daemon.config_version() {
        return;
    }
    match newer_since.get() {
        None => newer_since.set(Some(now)),
        Some(since) if now >= since + FETCH_DELAY => {
            let receiving = daemon.transfers.receiving(now, Kind::Config) > 0;
            if receiving || daemon.relay.is_fetching.replace(true) {
                return;
            }
            newer_since.set(Some(now));
            let shared = daemon.clone();
            let fetch = async move {
                fetch_config(&shared, from).await;
                shared.relay.is_fetching.set(false);
            };
            daemon.ex.spawn(fetch).detach();
        }
        Some(_) => {}
    }
}

async fn fetch_config(daemon: &Rc<Daemon>, from: SocketAddr) {
    let Ok(mut link) = link::dial(&daemon.ex, from, CONNECT_TIMEOUT).await else {
        return;
    };
    let Some(res) =
        get(daemon, &mut link, from, Kind::Config, PUBLISHED_PATH, LONG_POLL_TIMEOUT).await
    else {
        return;
    };
    let body = res.into_body();
    let name = daemon.dialect.config_name().to_string();
    match serde_json::from_slice(&body) {
        Ok(spec) => {
            store::adopt(daemon, &Object { name, revision: Revision::default(), spec });
        }
        Err(err) => log_problem(daemon, from, Kind::Config, err.to_string()),
    }
}

async fn request_update(
    daemon: &Daemon,
    link: &mut Link,
    reader: SocketAddr,
    kind: Kind,
    position: Position,
) -> Option<Update> {
    let (head, body) = get(
        daemon,
        link,
        reader,
        kind,
        &request_path(kind, position),
        LONG_POLL_TIMEOUT + RESPONSE_MARGIN,
    )
    .await?
    .into_parts();
    match serde_json::from_slice::<Update>(&body) {
        Ok(mut update) => {
            if let Some(age_ms) = millis(&head.headers, AGE_HEADER) {
                update.age_ms = age_ms;
                update.returned_ms = millis(&head.headers, RETURNED_HEADER);
            }
            Some(update)
        }
        Err(err) => {
            log_problem(daemon, reader, kind, err.to_string());
            None
        }
    }
}

fn millis(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Returns another daemon's response, decompressed; logs the problem and returns none if it fails.
async fn get(
    daemon: &Daemon,
    link: &mut Link,
    to: SocketAddr,
    kind: Kind,
    path: &str,
    limit: Duration,
) -> Option<Response<Bytes>> {
    let req = Request::get(path).header(http::header::HOST, to.to_string()).body(Bytes::new());
    let mut req = req.ok()?;
    compression::accept(req.headers_mut());
    let problem = match transfer::receive(daemon, link, to, kind, req, limit).await {
        Ok(res) if res.status() == StatusCode::OK => match compression::decompress(res) {
            Ok(res) => return Some(res),
            Err(err) => err.to_string(),
        },
        Ok(res) => format!("status {}", res.status().as_u16()),
        Err(err) => err.to_string(),
    };
    log_problem(daemon, to, kind, problem);
    None
}

fn log_problem(daemon: &Daemon, from: SocketAddr, kind: Kind, problem: String) {
    daemon.note(&Event::Reader { address: from.to_string(), kind: kind.into(), problem });
}
