//! Serves the objects that this daemon reads from the store to other daemons (`server`), and
//! follows them at such a reader instead of the store (`client`). See `decide::relay`.

mod client;
mod server;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use event_listener::Event as Signal;
use serde::Deserialize;
use serde::Serialize;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::node;
pub use crate::daemon::relay::client::follow;
pub use crate::daemon::relay::client::on_peer_version;
pub use crate::daemon::relay::server::serve;
use crate::decide::relay;
use crate::decide::relay::Feed;
use crate::edge::dialect::Change;
use crate::edge::dialect::Kind;
use crate::edge::dialect::Object;
use crate::edge::dialect::Revision;

/// How long a reader holds a request when there is no change.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
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
            Kind::Leases | Kind::Refusals => None,
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
