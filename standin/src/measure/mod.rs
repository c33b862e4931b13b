//! The measurements of `poplarmux-measure`, one file each.

pub mod baseline;
pub mod claims;
pub mod control;
pub mod drive;
pub mod entry;
pub mod faults;
pub mod load;
pub mod traffic;
pub mod trial;
