//! Reads what endpoints state about themselves in their responses: that they are leaving, that they
//! want no requests for some time, how many requests they take and how many they can reject.

use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use http::StatusCode;
use rand::Rng;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::journal::Event;
use crate::daemon::limit;
use crate::daemon::peer;
use crate::daemon::peer::Message;
use crate::decide::brittle;
use crate::edge::dialect::Error;
use crate::edge::dialect::Load;
use crate::table::instance::Key;

/// Upper bound of the factor by which pauses differ.
const MAX_JITTER: f64 = 1.3;

/// What an endpoint's response answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// A caller's request.
    Request,
    /// The daemon's request for a report.
    Report,
    /// An order.
    Order,
    /// No response: another daemon passed it on.
    Peer,
}

/// Records what an endpoint states in the head of a response.
pub fn observe(
    daemon: &Rc<Daemon>,
    key: &Key,
    status: StatusCode,
    headers: &HeaderMap,
    source: Source,
) {
    observe_leaving(daemon, key, headers, source);
    observe_backoff(daemon, key, status, headers, source);
    observe_brittle(daemon, key, status, headers, source);
    limit::observe(daemon, key, headers, source);
}

/// Records whether an endpoint states that it is leaving.
pub fn observe_leaving(daemon: &Daemon, key: &Key, headers: &HeaderMap, source: Source) {
    match daemon.dialect.parse_leaving(headers) {
        Ok(false) => {}
        Ok(true) => {
            if daemon.fleet.borrow_mut().mark_leaving(key) {
                let endpoint = key.id.clone();
                daemon.note(&Event::Leaving { endpoint, source: source.into() });
            }
        }
        Err(err) => skip(daemon, key, "leaving", &err),
    }
}

fn observe_backoff(
    daemon: &Daemon,
    key: &Key,
    status: StatusCode,
    headers: &HeaderMap,
    source: Source,
) {
    match daemon.dialect.parse_backoff(status, headers) {
        Ok(None) => {}
        Ok(Some(span)) => {
            daemon.fleet.borrow_mut().back_off(clock::now(), key, span);
            daemon.note(&Event::Backoff {
                endpoint: key.id.clone(),
                ms: span.as_millis() as u64,
                source: source.into(),
            });
        }
        Err(err) => skip(daemon, key, "backoff", &err),
    }
}

fn observe_brittle(
    daemon: &Rc<Daemon>,
    key: &Key,
    status: StatusCode,
    headers: &HeaderMap,
    source: Source,
) {
    let max_rejections = match daemon.dialect.parse_brittle(headers) {
        Ok(None) => return,
        Ok(Some(max_rejections)) => max_rejections,
        Err(err) => return skip(daemon, key, "brittle", &err),
    };
    let now = clock::now();
    if daemon.fleet.borrow_mut().on_brittle(now, key, max_rejections) {
        let endpoint = key.id.clone();
        daemon.note(&Event::Brittle { endpoint, max: max_rejections, source: source.into() });
    }
    let is_rejection =
        matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
    if is_rejection && source == Source::Request {
        pause(daemon, key, brittle::OWN_PAUSE);
        let message = Message::Rejected { key: key.clone(), max_rejections };
        peer::spawn_send(daemon, peer::choose_peers(daemon), message);
    }
}

/// Logs, once for each endpoint, that it does not state in a usable form how long work takes.
pub fn observe_work_time(daemon: &Daemon, key: &Key, load: Load) {
    let problem = daemon.fleet.borrow_mut().check_work_time(key, load);
    if let Some(problem) = problem {
        let (name, problem) = (key.id.clone(), problem.to_string());
        daemon.note(&Event::Skipped { what: "work_time", name, problem, revision: 0 });
    }
}

/// Handles the message that a brittle endpoint has rejected a request of another daemon.
pub fn on_rejected(daemon: &Daemon, key: &Key, max_rejections: u32) {
    daemon.fleet.borrow_mut().on_brittle(clock::now(), key, max_rejections);
    pause(daemon, key, brittle::PEER_PAUSE);
}

/// Leaves an endpoint alone for some time. Jitter keeps daemons from returning at the same time.
fn pause(daemon: &Daemon, key: &Key, span: Duration) {
    let jitter = daemon.rng.borrow_mut().random_range(1.0..MAX_JITTER);
    daemon.fleet.borrow_mut().back_off(clock::now(), key, span.mul_f64(jitter));
}

/// Logs a statement that can't be decoded.
pub(super) fn skip(daemon: &Daemon, key: &Key, what: &'static str, err: &Error) {
    daemon.note(&Event::Skipped {
        what,
        name: key.id.clone(),
        problem: err.to_string(),
        revision: 0,
    });
}
