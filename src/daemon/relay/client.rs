//! Follows objects at a reader, and fetches the configuration from another daemon.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::compression;
use crate::daemon::journal::Event;
use crate::daemon::link;
use crate::daemon::link::Link;
use crate::daemon::relay;
use crate::daemon::relay::AGE_HEADER;
use crate::daemon::relay::LONG_POLL_TIMEOUT;
use crate::daemon::relay::PUBLISHED_PATH;
use crate::daemon::relay::Position;
use crate::daemon::relay::RETURNED_HEADER;
use crate::daemon::relay::Update;
use crate::daemon::relay::request_path;
use crate::daemon::store;
use crate::daemon::transfer;
use crate::edge::dialect::Change;
use crate::edge::dialect::Kind;
use crate::edge::dialect::Object;
use crate::edge::dialect::Revision;

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

/// Follows a kind at a reader until the reader fails or this daemon becomes a reader itself. `known`
/// is the highest revision received.
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
    while !relay::readers(daemon).is_empty() {
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
        daemon.store.record_applied(kind, *known);
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
