//! Keeps the rejections of an endpoint below the number at which it fails.
//!
//! Load pattern: the endpoints of a service state that they are brittle. Each lets fewer requests
//! wait than before, and one that rejects more than a few within a second, from all daemons
//! together, fails for some seconds. No daemon sees the others' requests, and what it believes of
//! an endpoint's load is as old as the last report.
//!
//! A brittle endpoint is therefore not sent requests that would have to wait there, and where no
//! broker grants its slots, each daemon has only its share of them. A daemon that has been rejected
//! leaves the endpoint alone for a second, so that one burst of each counts, and tells the others,
//! which leave it alone until its load is known again.
//!
//! Bound: with no more daemons than slots, nothing is rejected as long as the endpoint has room for
//! as many requests as it has slots. With more daemons each has one request at once, and only the
//! time between rejections bounds the sum.

use std::time::Duration;

/// Time for which a daemon does not call a brittle endpoint that has rejected its request: that in
/// which rejections are counted.
pub const OWN_PAUSE: Duration = Duration::from_secs(1);
/// Time for which the other daemons do not: longer than most requests take, so that load reports
/// have come by then.
pub const PEER_PAUSE: Duration = Duration::from_millis(250);
/// Time for which an endpoint counts as brittle after it last said so.
pub const STATEMENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Part of an engine's slots that its broker grants: daemons that do without the broker use others.
const MAX_GRANTED_RATIO: f64 = 0.9;

/// How daemons share the slots of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sharing {
    /// Number of daemons that may use them, this one included.
    pub daemons: usize,
    /// Whether brokers grant the slots of engines.
    pub has_brokers: bool,
}

impl Default for Sharing {
    fn default() -> Self {
        Sharing { daemons: 1, has_brokers: false }
    }
}

/// Returns whether a brittle endpoint is sent another request by a daemon that has `own` requests
/// there. `load` are all that the daemon knows of.
pub fn has_room(slots: u32, is_engine: bool, load: u32, own: u32, sharing: Sharing) -> bool {
    if is_engine && sharing.has_brokers {
        return load < ((f64::from(slots) * MAX_GRANTED_RATIO) as u32).max(1);
    }
    let daemons = u32::try_from(sharing.daemons).unwrap_or(u32::MAX);
    let share = slots / daemons.max(1);
    load < slots && own < share.max(1)
}
