//! Times that other processes state.
//!
//! They are cut where they are decoded, so that sums of them cannot overflow.

use std::time::Duration;

/// Longest time that is taken from another process; longer ones are cut to it.
pub const MAX: Duration = Duration::from_secs(24 * 60 * 60);

/// Returns a stated time, cut to `MAX`.
pub fn cut(time: Duration) -> Duration {
    time.min(MAX)
}

/// Returns a stated time in seconds, cut to `MAX`; none if it is negative or no number.
pub fn from_secs(seconds: f64) -> Option<Duration> {
    if seconds.is_nan() {
        return None;
    }
    Duration::try_from_secs_f64(seconds.min(MAX.as_secs_f64())).ok()
}

/// Returns a stated time in milliseconds, cut to `MAX`; none if it is negative or no number.
pub fn from_millis(millis: f64) -> Option<Duration> {
    from_secs(millis / 1000.0)
}
