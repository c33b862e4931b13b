//! Detects whether calls to engines are answered soon enough for orders to be sent.
//!
//! Load pattern: the network link of the lease holder is saturated, or its event loop runs late.
//! Orders that it sends in time reach their engines seconds later, when another daemon may hold the
//! lease and send orders too. Before that happens the answers to its other calls are late. After
//! several late calls in a row, to any engines, no order is sent until a call is answered in time
//! again. A holder for which this lasts releases the lease.

use std::time::Duration;

/// A call answered within this time was not delayed: several round trips between regions, and half
/// of the last part of a lease, which is reserved for orders in transit.
const MAX_DELAY: Duration = Duration::from_millis(250);
/// Number of late calls in a row that can't be explained by single engines.
const LATE_CALLS_THRESHOLD: u32 = 3;

/// Monitor of the delay of recent calls to engines.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Monitor {
    /// Late calls since the last one that was answered in time.
    late_calls: u32,
    /// When the late calls in a row reached `LATE_CALLS_THRESHOLD`.
    late_since: Option<Duration>,
}

impl Monitor {
    /// Records a call that was answered.
    pub fn record_answer(&mut self, started_at: Duration, now: Duration) {
        if now <= started_at + MAX_DELAY {
            *self = Monitor::default();
        } else {
            self.record_timeout(now);
        }
    }

    /// Records a call that timed out, after any time.
    pub fn record_timeout(&mut self, now: Duration) {
        self.late_calls = self.late_calls.saturating_add(1);
        if self.late_calls >= LATE_CALLS_THRESHOLD {
            self.late_since.get_or_insert(now);
        }
    }

    /// Returns whether orders would be late.
    pub fn is_late(self) -> bool {
        self.late_since.is_some()
    }

    /// Returns since when orders would be late.
    pub fn late_since(self) -> Option<Duration> {
        self.late_since
    }
}
