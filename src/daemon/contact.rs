//! Records whether this daemon can open connections to the endpoints.

use std::time::Duration;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::journal::Event;
use crate::daemon::link;
use crate::table::instance::Key;

/// Records that a connection to an endpoint was opened, which took some time.
pub fn on_connected(daemon: &Daemon, key: &Key, took: Duration) {
    let was_reached = is_reached(daemon, key);
    daemon.fleet.borrow_mut().record_connect(key, took);
    if was_reached == Some(false) {
        log(daemon, key, None);
    }
}

/// Records that no connection to an endpoint could be opened.
pub fn on_failed(daemon: &Daemon, key: &Key, err: link::Error) {
    let was_reached = is_reached(daemon, key);
    daemon.fleet.borrow_mut().record_unreachable(clock::now(), key);
    if was_reached == Some(true) {
        log(daemon, key, Some(err));
    }
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
