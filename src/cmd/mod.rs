//! One file per program, all of one shape: its arguments, its settings, then `run`.

pub mod daemon;
pub mod dump;
pub mod entry;
pub mod losses;
pub mod placer;
pub mod publish;
pub mod trace;

use std::time::SystemTime;

use crate::table::Incarnation;

/// The start of this process, in milliseconds since the Unix epoch: higher for later ones.
fn incarnation() -> Incarnation {
    SystemTime::UNIX_EPOCH.elapsed().map_or(0, |time| time.as_millis() as u64)
}
