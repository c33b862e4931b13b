//! Requests that wait in a daemon for an endpoint: the most urgent first, then by arrival.
//!
//! Load pattern: a burst of less urgent work before urgent work. Served by arrival alone, urgent
//! requests would be late behind work that has time. Rows of one group (what they need of an
//! endpoint) stand in one order, so that a newcomer never passes one that waits for the same.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::table::RequestId;

/// What requests need of an endpoint: service, model and adapter, hashed.
pub type Group = u64;

/// The order of rows.
type Place = (u8, Duration, RequestId);

/// Rows in order, each with what its owner keeps there.
#[derive(Debug)]
pub struct Line<T> {
    rows: BTreeMap<Place, (Group, T)>,
}

impl<T> Default for Line<T> {
    fn default() -> Self {
        Line { rows: BTreeMap::new() }
    }
}

impl<T> Line<T> {
    /// Puts a request in its place.
    pub fn push(&mut self, id: RequestId, priority: u8, came: Duration, group: Group, row: T) {
        self.rows.insert((priority, came, id), (group, row));
    }

    /// Takes a request out.
    pub fn remove(&mut self, id: RequestId, priority: u8, came: Duration) -> Option<T> {
        self.rows.remove(&(priority, came, id)).map(|(_, row)| row)
    }

    /// How many of a group come before a request of this urgency that came then.
    pub fn ahead(&self, priority: u8, came: Duration, group: Group) -> usize {
        let before = self.rows.range(..(priority, came, 0));
        before.filter(|(_, (other, _))| *other == group).count()
    }

    /// All rows in order.
    pub fn rows(&self) -> impl Iterator<Item = (RequestId, Group, &T)> {
        self.rows.iter().map(|((_, _, id), (group, row))| (*id, *group, row))
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
