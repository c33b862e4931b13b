//! Passes requests to endpoints through daemons that reach them.
//!
//! The daemon that serves the caller decides on everything: it chooses the endpoint, counts the
//! attempt and reads the response. The other daemon (`server`) only stands in for a connection: it
//! sends the request on and returns the response as it arrives. A request is passed on once.
//!
//! The other daemon states explicitly that no part of a request has reached the endpoint. If it
//! sends nothing, or if the connection to it breaks, the request may have run.

mod server;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use rand::seq::IteratorRandom;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::contact;
use crate::daemon::link;
use crate::daemon::link::Link;
use crate::decide::broker::Suspects;
use crate::decide::contact::Path;
use crate::table::DataCenterId;
use crate::table::Fingerprint;
use crate::table::instance::Key;
use crate::table::instance::Node;

pub use crate::daemon::forward::server::is_forwarded;
pub use crate::daemon::forward::server::respond;

/// Header of a request that is passed on: the endpoint's id, its incarnation and the request's
/// fingerprint.
const TARGET: HeaderName = HeaderName::from_static("forward-to");
/// Header of a response that says why no part of the request has reached the endpoint.
const UNDELIVERED: HeaderName = HeaderName::from_static("forward-undelivered");
/// Reason of a daemon that refuses the request, as it crashes endpoints.
const QUARANTINED: &str = "quarantined";
/// Reason of a daemon that passes on one copy of the request at a time.
const ON_TRIAL: &str = "on_trial";
/// Header of a request that goes on with a stream, and of a response that comes from the process that
/// the endpoint's record describes.
const CONFIRMED: HeaderName = HeaderName::from_static("forward-confirmed");
/// Time limit for opening a connection to another daemon: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Path of a question whether a daemon can connect to an endpoint. Callers' paths are passed on with
/// a request id, which a question does not have.
const CONTACT_PATH: &str = "/contact";
/// Time limit of such a question: the connection to the endpoint and a round trip.
const ASK_TIMEOUT: Duration = Duration::from_millis(900);
/// Upper bound of the answer.
const MAX_ANSWER_BYTES: usize = 64;
/// Daemons through which one attempt is made.
const MAX_DAEMONS_TRIED: usize = 2;

/// Daemons that could not be connected to.
pub type Failures = Suspects;

/// The endpoint of a request that is passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The endpoint.
    pub key: Key,
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// Whether the other daemon confirms that the endpoint has not started again.
    pub confirm: bool,
}

impl Target {
    /// Adds the target to a request.
    pub fn insert(&self, headers: &mut HeaderMap) -> Result<(), http::header::InvalidHeaderValue> {
        let Target { key, fingerprint, confirm } = self;
        if *confirm {
            headers.insert(CONFIRMED, HeaderValue::from_static("required"));
        }
        let value = format!("{fingerprint:x} {} {}", key.born, key.id);
        headers.insert(TARGET, HeaderValue::from_str(&value)?);
        Ok(())
    }

    /// Removes the target from a request and returns it; none if there is no valid one.
    fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(TARGET)?;
        let mut parts = value.to_str().ok()?.splitn(3, ' ');
        let fingerprint = Fingerprint::from_str_radix(parts.next()?, 16).ok()?;
        let born = parts.next()?.parse().ok()?;
        let key = Key { id: parts.next()?.to_string(), born };
        Some(Target { key, fingerprint, confirm: headers.remove(CONFIRMED).is_some() })
    }
}

/// Returns whether a response says that the other daemon refuses the request, as it crashes endpoints.
pub fn is_quarantined(headers: &HeaderMap) -> bool {
    headers.get(UNDELIVERED).is_some_and(|reason| reason == QUARANTINED)
}

/// Returns whether a response says that another copy of the request runs, which may crash endpoints.
pub fn is_on_trial(headers: &HeaderMap) -> bool {
    headers.get(UNDELIVERED).is_some_and(|reason| reason == ON_TRIAL)
}

/// Returns whether a response says that no part of the request has reached the endpoint.
pub fn is_undelivered(headers: &HeaderMap) -> bool {
    headers.contains_key(UNDELIVERED)
}

/// Removes the confirmation that an endpoint has not started again from a response, and returns
/// whether there was one.
pub fn take_confirmation(headers: &mut HeaderMap) -> bool {
    headers.remove(CONFIRMED).is_some()
}

/// None of the daemons that were tried reaches the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Undeliverable;

/// Returns the daemon through which a request is sent to an endpoint; none if it is sent over this
/// daemon's own connections, also because no other daemon is left. `tried` are those that could not
/// deliver it.
pub fn route(
    daemon: &Daemon,
    key: &Key,
    tried: &[SocketAddr],
) -> Result<Option<SocketAddr>, Undeliverable> {
    if contact::path(daemon, key) == Path::Direct {
        return Ok(None);
    }
    let others =
        if tried.len() < MAX_DAEMONS_TRIED { pick(daemon, key, tried, None) } else { None };
    if others.is_none() && !tried.is_empty() { Err(Undeliverable) } else { Ok(others) }
}

/// What another daemon says of its own contact with an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumString, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Contact {
    /// A new connection was opened.
    Open,
    /// A new connection was refused.
    Refused,
    /// Nothing is known.
    Unknown,
}

/// Asks other daemons to connect to an endpoint, until one of them knows.
pub async fn ask(daemon: &Rc<Daemon>, key: &Key) -> Contact {
    let mut tried = Vec::new();
    let own = &daemon.settings.data_center;
    while let Some(addr) = pick(daemon, key, &tried, Some(own)) {
        match ask_daemon(daemon, addr, key).await {
            Some(contact @ (Contact::Open | Contact::Refused)) => return contact,
            Some(Contact::Unknown) | None if tried.len() + 1 == MAX_DAEMONS_TRIED => break,
            Some(Contact::Unknown) | None => tried.push(addr),
        }
    }
    Contact::Unknown
}

/// Asks a daemon, on a connection of its own: an answer does not name the endpoint.
async fn ask_daemon(daemon: &Rc<Daemon>, addr: SocketAddr, key: &Key) -> Option<Contact> {
    let mut link = connect(daemon, addr, ASK_TIMEOUT).await.ok()?;
    let req = Request::get(CONTACT_PATH).header(http::header::HOST, addr.to_string());
    let mut req = req.body(Bytes::new()).ok()?;
    Target { key: key.clone(), fingerprint: 0, confirm: false }.insert(req.headers_mut()).ok()?;
    let res = link.call(req, MAX_ANSWER_BYTES, ASK_TIMEOUT).await.ok()?;
    str::from_utf8(res.body()).ok()?.parse().ok()
}

/// Selects a daemon that passes a request on to an endpoint, close to the endpoint. Daemons in
/// `avoided` data centers are only taken if there are no others: all of a data center may have lost
/// the endpoint.
fn pick(
    daemon: &Daemon,
    key: &Key,
    tried: &[SocketAddr],
    avoided: Option<&DataCenterId>,
) -> Option<SocketAddr> {
    let now = clock::now();
    let data_center = daemon.fleet.borrow().get(key)?.instance.data_center.clone();
    let region = daemon.fleet.borrow().region_of(&data_center);
    let (nodes, failures) = (daemon.nodes.borrow(), daemon.forwarders.borrow());
    let avoided: Vec<&DataCenterId> =
        tried.iter().filter_map(|addr| nodes.data_center_of(*addr)).chain(avoided).collect();
    let is_usable = |addr: SocketAddr| !tried.contains(&addr) && !failures.has(now, addr);
    let candidates: Vec<&Node> =
        nodes.in_contact(now).filter(|node| is_usable(node.peer)).collect();
    let rank = |node: &Node| {
        let is_avoided = avoided.contains(&&node.data_center);
        (is_avoided, node.data_center != data_center, node.region != region)
    };
    let best = candidates.iter().map(|node| rank(node)).min()?;
    let equal = candidates.into_iter().filter(|node| rank(node) == best);
    equal.map(|node| node.peer).choose(&mut *daemon.rng.borrow_mut())
}

/// Opens a connection to a daemon within `limit`. One that can't be connected to is not used for
/// some time.
pub async fn connect(
    daemon: &Daemon,
    addr: SocketAddr,
    limit: Duration,
) -> Result<Link, link::Error> {
    let link = link::dial(&daemon.ex, addr, CONNECT_TIMEOUT.min(limit)).await;
    if link.is_err() {
        daemon.forwarders.borrow_mut().add(clock::now(), addr);
    }
    link
}
