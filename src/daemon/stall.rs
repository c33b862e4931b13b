//! Probes endpoints that accept requests and answer none; `decide::stall` finds them.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header;
use smol::Timer;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::contact;
use crate::daemon::gate;
use crate::daemon::gate::Call;
use crate::daemon::journal::Event;
use crate::daemon::link;
use crate::decide::stall::PROBE_INTERVAL;
use crate::decide::stall::PROBE_TIMEOUT;
use crate::table::instance::Key;

/// Time limit for opening the connection of a probe.
const CONNECT_TIMEOUT: Duration = crate::decide::contact::PROBE_TIMEOUT;
/// Maximum size of the answer to a probe.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Records that a request, which was sent at `sent_at`, was given up without an answer. An endpoint
/// that is stalled from now on is probed until it answers; one that can't be probed stays in use.
pub fn on_given_up(daemon: &Rc<Daemon>, key: &Key, sent_at: Duration) {
    let Some(path) = probe_path(daemon, key) else {
        return;
    };
    if daemon.fleet.borrow_mut().record_given_up(key, sent_at) {
        daemon.note(&Event::Stall { endpoint: key.id.clone(), stalled: true, ms: 0 });
        let (shared, key) = (daemon.clone(), key.clone());
        daemon.ex.spawn(async move { probe_until_answered(&shared, &key, &path).await }).detach();
    }
}

/// Returns the path of an endpoint's health checks, if it has one and is reached directly.
fn probe_path(daemon: &Daemon, key: &Key) -> Option<String> {
    let (fleet, config) = (daemon.fleet.borrow(), daemon.config.borrow());
    let row = fleet.get(key).filter(|row| row.is_reached())?;
    let service = config.as_ref()?.services.get(&row.instance.service)?;
    service.health_path.clone()
}

/// Probes an endpoint until it has sent a byte, can't be connected to, or is gone.
async fn probe_until_answered(daemon: &Rc<Daemon>, key: &Key, path: &str) {
    let started_at = clock::now();
    while daemon.fleet.borrow().is_stalled(key) {
        if probe(daemon, key, path).await.is_ok() {
            daemon.fleet.borrow_mut().record_activity(clock::now(), key);
        } else {
            Timer::after(PROBE_INTERVAL).await;
        }
    }
    let ms = clock::now().saturating_sub(started_at).as_millis() as u64;
    daemon.note(&Event::Stall { endpoint: key.id.clone(), stalled: false, ms });
}

/// Sends one probe; any byte of an answer shows that the endpoint goes on.
async fn probe(daemon: &Rc<Daemon>, key: &Key, path: &str) -> Result<(), link::Error> {
    let addr = daemon.fleet.borrow().get(key).map(|row| row.instance.address);
    let addr = addr.ok_or(link::Error::Unsent)?;
    gate::acquire(daemon, key, Call::Report).await.map_err(|_| link::Error::Unsent)?;
    let mut link = match link::dial(&daemon.ex, addr, CONNECT_TIMEOUT).await {
        Ok(link) => link,
        Err(err) => {
            daemon.fleet.borrow_mut().end_stall(key);
            contact::on_failed(daemon, key, err);
            return Err(err);
        }
    };
    daemon.gauges.record_connection();
    let req = Request::get(path).header(header::HOST, addr.to_string()).body(Bytes::new());
    let req = req.map_err(|_| link::Error::Unsent)?;
    let answer = link.call(req, MAX_ANSWER_BYTES, PROBE_TIMEOUT).await;
    if link.has_received() { Ok(()) } else { answer.map(drop) }
}
