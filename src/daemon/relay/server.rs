//! Answers the requests of other daemons for objects of the store.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpListener;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::compression;
use crate::daemon::connection;
use crate::daemon::directory::response;
use crate::daemon::forward;
use crate::daemon::front::Payload;
use crate::daemon::journal::Event;
use crate::daemon::relay::AGE_HEADER;
use crate::daemon::relay::Delivery;
use crate::daemon::relay::LONG_POLL_TIMEOUT;
use crate::daemon::relay::PUBLISHED_PATH;
use crate::daemon::relay::RETURNED_HEADER;
use crate::daemon::relay::Topic;
use crate::daemon::relay::Update;
use crate::daemon::relay::parse_path;
use crate::decide::connection::Port;
use crate::decide::relay::Delta;
use crate::decide::relay::Feed;
use crate::decide::relay::MAX_AGE;
use crate::edge::dialect::Revision;

/// Answers the requests of other daemons for as long as this one runs: for objects, and to pass a
/// caller's request on.
pub async fn serve(daemon: Rc<Daemon>, listener: TcpListener) {
    connection::serve(daemon, Port::Daemons, listener, async |daemon, connection, req| {
        if forward::is_forwarded(req.headers()) {
            return forward::respond(&daemon, &connection, req).await;
        }
        let (head, _) = req.into_parts();
        Ok(respond(&daemon, &head).await.map(Payload::Complete))
    })
    .await;
}

async fn respond(daemon: &Daemon, head: &Parts) -> Response<Bytes> {
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

fn respond_published(daemon: &Daemon, compresses: bool) -> Response<Bytes> {
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

fn compressed_response(body: Bytes) -> Response<Bytes> {
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
) -> Option<Response<Bytes>> {
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
