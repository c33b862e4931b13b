//! The clock that leases, deadlines and ages are judged by.
//!
//! A machine that is suspended and wakes must find its lease run out and its deadlines passed. The
//! steady clock stands still meanwhile, and the time of day jumps; the boot clock does neither.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Time since the machine started, suspension included.
pub fn now() -> Duration {
    read(ClockId::Boottime)
}

/// For how long the machine has been suspended since it started.
pub fn suspended() -> Duration {
    let running = read(ClockId::Monotonic);
    now().saturating_sub(running)
}

fn read(clock: ClockId) -> Duration {
    let at = clock_gettime(clock);
    Duration::new(at.tv_sec.max(0) as u64, at.tv_nsec.clamp(0, 999_999_999) as u32)
}
