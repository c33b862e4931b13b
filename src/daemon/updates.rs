//! Sends the other daemons which models are resident on each engine, as the lease holder knows it.
//!
//! A single task sends all updates, so that a holder that is late sends the newest state of each
//! engine once.

use std::rc::Rc;
use std::time::Duration;

use smol::Timer;

use crate::daemon::Daemon;
use crate::daemon::admission;
use crate::daemon::clock;
use crate::daemon::peer;

/// Least pause between two flushes; kept short because callers wait for the models in the updates.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// The pause after a flush as a multiple of the flush's duration. Without it, the smallest machine
/// would do nothing but send updates at the largest supported number of daemons.
const PAUSE_FACTOR: u32 = 3;
/// Longest pause between two flushes: a long flush may only have waited for other tasks.
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Sends updates for as long as the daemon runs.
pub async fn announce(daemon: Rc<Daemon>) {
    loop {
        let due = daemon.placer.borrow().updates_due();
        due.await;
        let started = clock::now();
        flush(&daemon).await;
        let took = clock::now().saturating_sub(started);
        Timer::after((took * PAUSE_FACTOR).clamp(MIN_PAUSE, MAX_PAUSE)).await;
    }
}

/// Sends all pending updates, without the models that are being evicted.
async fn flush(daemon: &Rc<Daemon>) {
    let now = clock::now();
    let (rows, answers) = daemon.placer.borrow_mut().take_updates(now);
    for (key, resident) in &rows {
        daemon.fleet.borrow_mut().set_resident(now, key, resident.clone());
    }
    for (key, _) in &rows {
        admission::dispatch_at(daemon, key);
    }
    for (from, rows) in answers {
        peer::send_resident(daemon, &[from], rows).await;
    }
    let peers = daemon.nodes.borrow().peers();
    peer::send_resident(daemon, &peers, rows.clone()).await;
    daemon.placer.borrow_mut().mark_sent(clock::now(), rows);
}
