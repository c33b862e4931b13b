//! What daemons are yet to be told of engines.
//!
//! Load pattern: the holder of the lease learns something of each of a hundred engines every second and
//! tells it to as many daemons, and it may be the smallest machine. A datagram for each change and daemon
//! leaves it no time to renew the lease. So an engine is due once, however often it changes before it is
//! told, many share a datagram, and one that answers a question goes to who asked alone. A holder that is
//! late sends the newest state of each engine, not every state before.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::table::instance::Key;

/// Engines that are due to be told.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct News {
    /// To all daemons.
    pub all: BTreeSet<Key>,
    /// To one that asked for an adapter that they hold.
    pub asked: BTreeMap<SocketAddr, BTreeSet<Key>>,
}

impl News {
    /// Something has changed there.
    pub fn changed(&mut self, key: &Key) {
        self.all.insert(key.clone());
    }

    /// A daemon has missed what these hold.
    pub fn missed(&mut self, from: SocketAddr, keys: Vec<Key>) {
        if !keys.is_empty() {
            self.asked.entry(from).or_default().extend(keys);
        }
    }

    /// Whether nothing is due.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty() && self.asked.is_empty()
    }

    /// All that is due, which then is not any more.
    pub fn take(&mut self) -> Self {
        std::mem::take(self)
    }
}

/// Divides rows among datagrams with room for so many bytes of them, in their order. A row that is larger
/// than that has one for itself.
pub fn pack<T>(rows: Vec<T>, room: usize, size: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut out: Vec<Vec<T>> = Vec::new();
    let mut left = 0;
    for row in rows {
        let len = size(&row);
        match out.last_mut() {
            Some(last) if len <= left => {
                left -= len;
                last.push(row);
            }
            _ => {
                left = room.saturating_sub(len);
                out.push(vec![row]);
            }
        }
    }
    out
}
