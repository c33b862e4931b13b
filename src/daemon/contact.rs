//! Observes which endpoints this daemon can connect to, and tells the others if it has lost most of
//! them. `decide::contact` makes the decisions.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smol::Task;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::forward;
use crate::daemon::forward::Contact;
use crate::daemon::journal::Event;
use crate::daemon::link;
use crate::daemon::peer;
use crate::daemon::peer::Message;
use crate::daemon::retry;
use crate::decide::contact;
use crate::decide::contact::Path;
use crate::table::instance::Key;

/// What a daemon knows of its own contact with endpoints.
#[derive(Debug, Default)]
pub struct Observer {
    /// Since when this daemon has lost most endpoints; none if it has not.
    isolated_since: Cell<Option<Duration>>,
    /// When the endpoints were last looked at.
    last_tick: Cell<Duration>,
    /// When a sample of endpoints was last tried.
    last_sample: Cell<Duration>,
    /// Lost endpoints that are being tried.
    probes: Cell<usize>,
}

/// Returns how this daemon's requests reach an endpoint.
pub fn path(daemon: &Daemon, key: &Key) -> Path {
    daemon.fleet.borrow().get(key).map_or(Path::Direct, |row| row.path())
}

/// Returns whether this daemon has lost most endpoints.
pub fn is_isolated(daemon: &Daemon) -> bool {
    daemon.contact.isolated_since.get().is_some()
}

/// Returns whether another daemon should take over duties at endpoints: this one has lost most of
/// them for some time, and others have not.
pub fn should_hand_over(daemon: &Daemon, now: Duration) -> bool {
    let isolated_since = daemon.contact.isolated_since.get();
    isolated_since.is_some_and(|since| now >= since + contact::MIN_ISOLATION)
        && daemon.nodes.borrow().has_contact(now)
}

/// Records that a connection to an endpoint was opened, which took some time.
pub fn on_connected(daemon: &Daemon, key: &Key, took: Duration) {
    let was_reached = is_reached(daemon, key);
    daemon.fleet.borrow_mut().record_connect(clock::now(), key, took);
    if was_reached == Some(false) {
        log(daemon, key, None);
    }
}

/// Records that no connection to an endpoint could be opened.
pub fn on_failed(daemon: &Daemon, key: &Key, err: link::Error) {
    let (now, was_reached) = (clock::now(), is_reached(daemon, key));
    if daemon.nodes.borrow().has_contact(now) {
        daemon.fleet.borrow_mut().lose_contact(now, key);
    } else {
        daemon.fleet.borrow_mut().record_unreachable(now, key);
    }
    retry::release_unreached(daemon, key);
    if was_reached == Some(true) {
        log(daemon, key, Some(err));
    }
}

/// Records that bytes of an endpoint arrived on a connection to `addr`, which may be that of a daemon
/// that passes requests on.
pub fn on_received(daemon: &Daemon, key: &Key, addr: SocketAddr) {
    let mut fleet = daemon.fleet.borrow_mut();
    if fleet.get(key).is_some_and(|row| row.instance.address == addr) {
        fleet.record_received(clock::now());
    }
}

/// Records that other daemons can't reach an endpoint either.
pub fn on_undelivered(daemon: &Daemon, key: &Key) {
    daemon.fleet.borrow_mut().record_unreachable(clock::now(), key);
}

fn is_reached(daemon: &Daemon, key: &Key) -> Option<bool> {
    daemon.fleet.borrow().get(key).map(|row| row.is_reached())
}

fn log(daemon: &Daemon, key: &Key, err: Option<link::Error>) {
    let (unreached, known) = daemon.fleet.borrow().unreached_count();
    daemon.note(&Event::Contact {
        endpoint: key.id.clone(),
        reached: err.is_none(),
        error: err.map(Into::into),
        unreached,
        known,
    });
}

/// Tries connections that are due, and records whether this daemon has lost most endpoints.
pub fn tick(daemon: &Rc<Daemon>, now: Duration) {
    if now < daemon.contact.last_tick.get() + contact::TICK_INTERVAL {
        return;
    }
    daemon.contact.last_tick.set(now);
    observe_isolation(daemon, now);
    if daemon.contact.probes.get() > 0 || !daemon.nodes.borrow().has_contact(now) {
        return;
    }
    let due = daemon.fleet.borrow_mut().take_due_probes(now, &mut daemon.rng.borrow_mut());
    for key in due {
        let shared = daemon.clone();
        let probe = async move {
            try_connect(&shared, &key).await;
            confirm(&shared, &key).await;
            shared.contact.probes.set(shared.contact.probes.get() - 1);
        };
        daemon.contact.probes.set(daemon.contact.probes.get() + 1);
        daemon.ex.spawn(probe).detach();
    }
    let evidence = daemon.fleet.borrow().evidence(now);
    if evidence.is_suspicious()
        && now >= daemon.contact.last_sample.get() + contact::SAMPLE_INTERVAL
    {
        daemon.contact.last_sample.set(now);
        let sample = daemon.fleet.borrow().sample(&mut daemon.rng.borrow_mut());
        if !sample.is_empty() {
            daemon.ex.spawn(try_sample(daemon.clone(), sample)).detach();
        }
    }
}

/// Tries endpoints that stand for all.
async fn try_sample(daemon: Rc<Daemon>, sample: Vec<Key>) {
    let started_at = clock::now();
    let attempts: Vec<Task<()>> = sample
        .iter()
        .map(|key| {
            let (shared, key) = (daemon.clone(), key.clone());
            daemon.ex.spawn(async move { try_connect(&shared, &key).await })
        })
        .collect();
    for attempt in attempts {
        attempt.await;
    }
    daemon.fleet.borrow_mut().lose_all_contact(clock::now(), started_at);
    for key in sample {
        confirm(&daemon, &key).await;
    }
}

/// Tries to connect to an endpoint; a connection that opens is kept for requests.
async fn try_connect(daemon: &Rc<Daemon>, key: &Key) {
    let Some(addr) = daemon.fleet.borrow().get(key).map(|row| row.instance.address) else {
        return;
    };
    let started_at = clock::now();
    match link::dial(&daemon.ex, addr, contact::PROBE_TIMEOUT).await {
        Ok(link) => {
            daemon.gauges.record_connection();
            // Earlier connections may be silent for good.
            daemon.pool.borrow_mut().clear(addr);
            on_connected(daemon, key, clock::now().saturating_sub(started_at));
            daemon.pool.borrow_mut().put(link, None);
        }
        Err(err) => on_failed(daemon, key, err),
    }
}

/// Finds out whether other daemons reach an endpoint that was lost just now. Later, requests that
/// are passed on show it.
async fn confirm(daemon: &Rc<Daemon>, key: &Key) {
    let is_new = daemon.fleet.borrow().get(key).is_some_and(|row| row.is_newly_lost());
    if !is_new {
        return;
    }
    match forward::ask(daemon, key).await {
        Contact::Open => daemon.fleet.borrow_mut().record_forwarded(key),
        Contact::Refused => on_undelivered(daemon, key),
        Contact::Unknown => {}
    }
}

/// Updates whether this daemon has lost most endpoints, and tells the others of a change.
fn observe_isolation(daemon: &Rc<Daemon>, now: Duration) {
    let isolated = daemon.fleet.borrow().is_isolated();
    let since = &daemon.contact.isolated_since;
    if isolated == since.get().is_some() {
        return;
    }
    since.set(isolated.then_some(now));
    daemon.note(&Event::Isolated { isolated });
    announce(daemon, peer::choose_peers(daemon));
}

/// Tells other daemons in each round that this one has lost most endpoints.
pub fn announce_round(daemon: &Rc<Daemon>) {
    if is_isolated(daemon) {
        announce(daemon, peer::choose_peers(daemon));
    }
}

fn announce(daemon: &Rc<Daemon>, to: Vec<SocketAddr>) {
    let isolated = is_isolated(daemon);
    peer::spawn_send(daemon, to, Message::Isolated(isolated));
}
