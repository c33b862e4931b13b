//! Bounds the memory of requests that are being received, and decides which one is refused to receive
//! another.
//!
//! Load pattern: many clients send large bodies or heads, or only their beginnings, and keep their
//! connections open. Ordinary callers with small requests arrive meanwhile. What an incomplete request
//! has sent so far is of no use before its last byte, which may never come.
//!
//! When a part does not fit, the incomplete request is refused that has the largest product of its
//! bytes and the time since it began: one that is small or new gives way last. It has not run, so that
//! the refusal can promise that, and another daemon may have room. A complete request is never
//! refused here.
//!
//! Responses of endpoints are given up in the same way. On the product's own face that holds for complete
//! ones as well, until their callers have received them.

use std::time::Duration;

/// A request that has not been received completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Incoming {
    /// Unique among the requests of its process.
    pub number: u64,
    /// What is held of it.
    pub bytes: usize,
    /// When it began.
    pub since: Duration,
}

/// Returns whether a part of a request may be kept, if that request keeps `own` bytes and all requests
/// together keep `all`, of at most `max`. A request that is alone may keep more.
pub fn fits(part: usize, own: usize, all: usize, max: usize) -> bool {
    own == all || all + part <= max
}

/// Returns the request that is refused first; of equal ones the older one.
pub fn select_refused(now: Duration, incoming: impl Iterator<Item = Incoming>) -> Option<Incoming> {
    let cost = |row: &Incoming| {
        let age = now.saturating_sub(row.since).as_millis().max(1);
        (row.bytes as u128 * age, std::cmp::Reverse(row.number))
    };
    incoming.filter(|row| row.bytes > 0).max_by_key(cost)
}
