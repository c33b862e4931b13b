//! The clock of leases, deadlines and ages.
//!
//! On a machine that resumes after a suspension, leases must have expired and deadlines must have
//! passed. The monotonic clock stops during a suspension and the wall clock jumps; the boot clock
//! does neither.

use std::time::Duration;
use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the machine booted, including suspensions.
pub fn now() -> Duration {
    read(ClockId::Boottime)
}

/// Returns the total time that the machine has been suspended since it booted.
pub fn suspended() -> Duration {
    let running = read(ClockId::Monotonic);
    now().saturating_sub(running)
}

/// Returns the time of day in milliseconds since the Unix epoch. It may jump.
pub fn unix_millis() -> u64 {
    SystemTime::UNIX_EPOCH.elapsed().map_or(0, |time| time.as_millis() as u64)
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.clamp(0, 999_999_999) as u32)
}
