//! Finds out whether the process at an endpoint is the one that the endpoint's record describes.
//!
//! Load pattern: an endpoint starts again under its id, perhaps with other software, and its record
//! says so seconds later. Requests that its id alone addresses are answered by the new process.

use std::rc::Rc;
use std::time::Duration;

use smol::Timer;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::engine;
use crate::daemon::gate::Call;
use crate::daemon::liveness;
use crate::table::instance::Key;

/// Time within which an engine has to be asked.
const TIME_LIMIT: Duration = Duration::from_secs(1);
/// Shortest time after which a permit is requested again.
const MIN_PERMIT_PAUSE: Duration = Duration::from_millis(50);

/// Returns whether the process at an endpoint is the one that its record describes, as far as that
/// can be known. An engine is asked for its start; of another endpoint a connection from before
/// tells whether it has ended.
pub async fn is_current(daemon: &Rc<Daemon>, key: &Key) -> bool {
    if !daemon.is_engine(key) {
        return !liveness::shows_end(daemon, key);
    }
    let began = clock::now();
    loop {
        // A stream depends on the answer, so it is worth a permit under the engine's limit.
        if let Some(report) = engine::report(daemon, key, Call::Request).await {
            let is_current = report.started_at.is_none_or(|born| born == key.born);
            if is_current {
                daemon.fleet.borrow_mut().confirm(began, key);
            }
            return is_current;
        }
        let now = clock::now();
        match permit_pause(daemon, now, key) {
            Some(pause) if now + pause < began + TIME_LIMIT => Timer::after(pause).await,
            _ => return false,
        };
    }
}

/// Returns the time until a permit for a call to an engine is expected; none if it states no limit,
/// so that a call was sent.
fn permit_pause(daemon: &Daemon, now: Duration, key: &Key) -> Option<Duration> {
    let fleet = daemon.fleet.borrow();
    let row = fleet.get(key).filter(|row| row.limit().is_some())?;
    Some(row.remaining_pause(now).max(MIN_PERMIT_PAUSE))
}
