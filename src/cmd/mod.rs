//! The programs, one module each: the command line's arguments and `run`.

pub mod daemon;
pub mod dump;
pub mod entry;
pub mod explain;
pub mod losses;
pub mod model;
pub mod placer;
pub mod publish;
pub mod trace;

use std::time::SystemTime;

use crate::table::Incarnation;

/// Returns the incarnation of this process: its start in milliseconds since the Unix epoch, so a
/// restarted process has a higher one.
fn incarnation() -> Incarnation {
    SystemTime::UNIX_EPOCH.elapsed().map_or(0, |time| time.as_millis() as u64)
}
