//! Estimates when input that the daemon reads now may have arrived.
//!
//! Load pattern: all tasks share one thread. Under heavy load, or on a machine that is too small,
//! one iteration of the event loop takes seconds, and arriving input stays in the socket buffers. A
//! request that is read then may have used up its time. If its time counted only from the read, the
//! request would reach an endpoint after its caller has disconnected.

use std::time::Duration;

/// Interval between two ticks of the event loop.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay of a tick from which the loop counts as stalled: requests of callers were delayed as long.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(200);

/// Monitor of the event loop's ticks.
#[derive(Debug, Default, Clone, Copy)]
pub struct Monitor {
    /// When the next tick is due; none before the first.
    due: Option<Duration>,
    /// When the last late tick was due, and when it ran.
    last_stall: Option<(Duration, Duration)>,
}

impl Monitor {
    /// Records a tick and returns its delay.
    pub fn tick(&mut self, now: Duration) -> Duration {
        let due = self.due.replace(now + TICK_INTERVAL).unwrap_or(now);
        let delay = now.saturating_sub(due);
        if delay >= STALL_THRESHOLD {
            self.last_stall = Some((due, now));
        }
        delay
    }

    /// Returns the earliest time at which input read at `now` may have arrived. Input read first
    /// after a stall may have arrived during it.
    pub fn earliest_arrival(&self, now: Duration) -> Duration {
        match (self.due, self.last_stall) {
            (Some(due), _) if now >= due + STALL_THRESHOLD => due,
            (_, Some((due, ticked_at))) if now < ticked_at + TICK_INTERVAL => due,
            _ => now,
        }
    }
}
