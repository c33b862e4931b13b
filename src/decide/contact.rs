//! Decides how a daemon's requests reach an endpoint: over its own connections, or through another
//! daemon.
//!
//! Load pattern: a daemon loses its links to some or all endpoints for seconds, while callers, the
//! store and the other daemons reach it. Its connections hang or are reset, or go on while new ones
//! are refused. Without this module it would refuse or lose all that its callers send, and find out
//! endpoint by endpoint, at the cost of one caller each.
//!
//! An endpoint that this daemon can't connect to looks the same whether the endpoint or the link has
//! failed. So the request is passed to another daemon, whose result tells. If that one reaches the
//! endpoint, others follow the same way until a connection of the daemon's own opens again;
//! otherwise the endpoint counts as failed.
//!
//! Connections are tried in the background, so that no caller waits for them: to endpoints that
//! were lost, and to others as soon as the daemon has reason to suspect that it has lost all.

use std::time::Duration;

/// Time without a byte from any endpoint, with requests under way at several, after which the
/// daemon suspects that it has lost them all. Requests are answered or go on within that time.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit of a connection that is tried in the background: several round trips between regions.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Endpoints that show together whether all are lost.
pub const SAMPLE_SIZE: usize = 4;
/// Lost endpoints that are tried at the same time.
pub const MAX_PROBES: usize = 16;
/// Time between two looks at all endpoints.
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two samples while the suspicion lasts.
pub const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Endpoints whose silence or loss raises the suspicion that all are lost.
const MIN_SUSPECTS: usize = 2;
/// Shortest time after which a lost endpoint is tried again.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Upper bound of that time, as it doubles with each failure.
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(2_400);
/// Time for which a daemon has to be isolated until it leaves its duties at endpoints to others.
pub const MIN_ISOLATION: Duration = Duration::from_secs(1);

/// How requests reach an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Path {
    /// Over this daemon's own connections.
    #[default]
    Direct,
    /// Through other daemons, none of which has been asked yet.
    Unconfirmed,
    /// Through other daemons, one of which has reached it.
    Forwarded,
}

/// What a daemon has observed of its endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Endpoints in use.
    pub known: usize,
    /// Those whose last connection failed after the last one to any of them was opened.
    pub lost: usize,
    /// Those with requests from which nothing has arrived for `SILENCE_TIMEOUT`.
    pub silent: usize,
    /// Time since a byte arrived from any of them.
    pub quiet_for: Duration,
}

impl Evidence {
    /// Returns whether the daemon may have lost all endpoints.
    pub fn is_suspicious(&self) -> bool {
        let needed = MIN_SUSPECTS.min(self.known).max(1);
        let is_quiet = self.quiet_for >= SILENCE_TIMEOUT;
        self.lost >= needed || (is_quiet && self.lost + self.silent >= needed)
    }
}

/// Returns whether a daemon counts as isolated from its endpoints: it has lost most of them, and
/// other daemons have reached some of the lost ones.
pub fn is_isolated(known: usize, lost: usize, forwarded: usize) -> bool {
    lost * 2 > known && forwarded >= MIN_SUSPECTS.min(known).max(1)
}

/// Returns the time until a lost endpoint is tried again that has been tried that many times.
pub fn probe_interval(probes: u32) -> Duration {
    MIN_PROBE_INTERVAL.saturating_mul(1 << probes.min(8)).min(MAX_PROBE_INTERVAL)
}
