//! Recognizes messages that are delivered more than once.
//!
//! Load pattern: the network delivers a datagram twice, most often within milliseconds. Thousands of
//! messages arrive each second, so they are kept in two generations, each of which is dropped as a
//! whole.
//!
//! Bound: a message that is delivered again within `RETENTION` is recognized. Later ones are not.

use std::collections::HashSet;
use std::hash::Hash;
use std::time::Duration;

/// Time for which a message is kept at least.
pub const RETENTION: Duration = Duration::from_secs(5);

/// Messages that were received recently, by what tells them apart.
#[derive(Debug)]
pub struct Filter<K> {
    recent: HashSet<K>,
    earlier: HashSet<K>,
    /// When the first message of `recent` was received.
    recent_since: Duration,
}

impl<K> Default for Filter<K> {
    fn default() -> Self {
        Filter { recent: HashSet::new(), earlier: HashSet::new(), recent_since: Duration::ZERO }
    }
}

impl<K: Eq + Hash> Filter<K> {
    /// Records a message, and returns whether it had not been received before.
    pub fn insert(&mut self, now: Duration, message: K) -> bool {
        if now > self.recent_since + RETENTION {
            self.earlier = std::mem::take(&mut self.recent);
            if now > self.recent_since + RETENTION * 2 {
                self.earlier.clear();
            }
            self.recent_since = now;
        }
        !self.earlier.contains(&message) && self.recent.insert(message)
    }
}
