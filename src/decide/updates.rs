//! Updates about engines that are still to be sent to daemons.
//!
//! Load pattern: the holder of the lease receives a change of each of a hundred engines every
//! second and sends it to as many daemons, and it may be the smallest machine. With a datagram for
//! each change and daemon it has no time left to renew the lease. Therefore an engine is queued
//! once, however often it changes before the next send, many engines share a datagram, and the
//! answer to a request goes only to the daemon that sent it. A holder that lags sends the newest
//! state of each engine and skips the older ones.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::table::instance::Key;

/// Engines whose state is due to be sent.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Updates {
    /// Engines to send to all daemons.
    pub to_all: BTreeSet<Key>,
    /// Engines to send to single daemons, which requested an adapter that these engines have.
    pub to_daemon: BTreeMap<SocketAddr, BTreeSet<Key>>,
}

impl Updates {
    /// Queues an engine that has changed, for all daemons.
    pub fn queue_changed(&mut self, key: &Key) {
        self.to_all.insert(key.clone());
    }

    /// Queues engines for a daemon that lacks an update of them.
    pub fn queue_missed(&mut self, from: SocketAddr, keys: Vec<Key>) {
        if !keys.is_empty() {
            self.to_daemon.entry(from).or_default().extend(keys);
        }
    }

    /// Returns whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.to_all.is_empty() && self.to_daemon.is_empty()
    }

    /// Removes and returns everything that is queued.
    pub fn take(&mut self) -> Self {
        std::mem::take(self)
    }
}

/// Splits rows, in order, into datagrams with `capacity` bytes for rows. A row that is larger
/// than that gets a datagram of its own.
pub fn pack<T>(rows: Vec<T>, capacity: usize, size: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut datagrams: Vec<Vec<T>> = Vec::new();
    let mut remaining = 0;
    for row in rows {
        let len = size(&row);
        match datagrams.last_mut() {
            Some(last) if len <= remaining => {
                remaining -= len;
                last.push(row);
            }
            _ => {
                remaining = capacity.saturating_sub(len);
                datagrams.push(vec![row]);
            }
        }
    }
    datagrams
}
