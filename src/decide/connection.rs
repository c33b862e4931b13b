//! Bounds the connections that a daemon accepts, and decides which one is closed to accept another.
//!
//! Load pattern: clients open more connections than there is memory or descriptors for, and finish no
//! request on them. Ordinary clients arrive meanwhile and send their requests at once.
//!
//! Each port may always have its reserved number of connections, so that a crowd at one of them
//! does not exclude the clients of another. Beyond these the ports share the rest. When a port has
//! no room left, the connection is closed that has waited longest for its client: for a request,
//! or for the rest of one. A byte now and then does not shorten that time. A connection whose
//! request is being answered is never closed for another one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of a connection; unique in its process.
pub type Number = u64;

/// Receive buffer of a connection. The kernel doubles it.
pub const RECEIVE_BUFFER_BYTES: usize = 8 << 10;
/// Memory of a connection whose client has sent part of a request: twice its receive buffer, the
/// buffers of the HTTP server of 8 KB each, and what the process keeps of it.
const CONNECTION_BYTES: usize = 2 * RECEIVE_BUFFER_BYTES + (24 << 10);
/// Share of the memory that connections may take, as a divisor.
const MEMORY_DIVISOR: usize = 4;
/// Memory of the process if the settings do not state it: half of that of the largest machines.
const DEFAULT_MEMORY_BYTES: usize = 256 << 20;
/// Descriptors of the process if the settings do not state them.
const DEFAULT_DESCRIPTORS: usize = 4_200;
/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// Share of the other descriptors that accepted connections may take: the rest is for connections to
/// endpoints, other daemons and the store.
const DESCRIPTORS_SHARE: (usize, usize) = (5, 8);

/// Who connects to a port.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Port {
    /// Callers with requests.
    Callers,
    /// Callers that look up addresses of daemons.
    Directory,
    /// The platform, which checks whether the daemon is ready.
    Readiness,
    /// Operators.
    Operators,
    /// Other daemons.
    Daemons,
}

impl Port {
    /// Share of all connections that are reserved for the port, as a divisor.
    fn reserved_divisor(self) -> usize {
        match self {
            Port::Callers | Port::Daemons => 4,
            Port::Directory => 16,
            Port::Readiness | Port::Operators => 32,
        }
    }
}

/// Returns how many connections a process may accept that may use this many bytes of memory and
/// this many descriptors, as far as they are known.
pub fn max_connections(memory: Option<usize>, descriptors: Option<usize>) -> usize {
    let by_memory = memory.unwrap_or(DEFAULT_MEMORY_BYTES) / MEMORY_DIVISOR / CONNECTION_BYTES;
    let (part, whole) = DESCRIPTORS_SHARE;
    let descriptors = descriptors.unwrap_or(DEFAULT_DESCRIPTORS).saturating_sub(FILE_DESCRIPTORS);
    by_memory.min(descriptors * part / whole).max(1)
}

/// What happens to a connection that was accepted while its port has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is kept.
    Keep,
    /// This one is closed first.
    Replace(Number),
    /// It is closed, as requests are being answered on all others.
    Close,
}

/// Connections of one port.
#[derive(Debug, Clone, Default)]
struct Row {
    open: usize,
    /// Those that wait for their clients, by the time since when.
    waiting: BTreeSet<(Duration, Number)>,
}

/// The open connections of a process.
#[derive(Debug, Clone)]
pub struct Table {
    max: usize,
    rows: BTreeMap<Port, Row>,
}

impl Table {
    /// Returns a table of at most `max` connections at these ports, and at least one at each.
    pub fn new(max: usize, ports: impl IntoIterator<Item = Port>) -> Self {
        Table { max, rows: ports.into_iter().map(|port| (port, Row::default())).collect() }
    }

    fn reserved(&self, port: Port) -> usize {
        (self.max / port.reserved_divisor()).max(1)
    }

    fn has_room(&self, port: Port) -> bool {
        let over = |port: &Port| self.open(*port).saturating_sub(self.reserved(*port));
        let reserved: usize = self.rows.keys().map(|port| self.reserved(*port)).sum();
        let shared = self.max.saturating_sub(reserved);
        self.open(port) < self.reserved(port) || self.rows.keys().map(over).sum::<usize>() < shared
    }

    /// Returns the number of open connections at a port.
    pub fn open(&self, port: Port) -> usize {
        self.rows.get(&port).map_or(0, |row| row.open)
    }

    /// Decides about a connection that was just accepted at a port.
    pub fn judge(&self, port: Port) -> Verdict {
        if self.has_room(port) {
            return Verdict::Keep;
        }
        let longest = self.rows.get(&port).and_then(|row| row.waiting.first());
        longest.map_or(Verdict::Close, |(_, number)| Verdict::Replace(*number))
    }

    /// Adds a connection that waits for its client since `now`.
    pub fn add(&mut self, port: Port, number: Number, now: Duration) {
        let row = self.rows.entry(port).or_default();
        row.open += 1;
        row.waiting.insert((now, number));
    }

    /// Records that a connection waits for its client, and since when, or that it does not any more.
    pub fn set_waiting(
        &mut self,
        port: Port,
        number: Number,
        before: Option<Duration>,
        since: Option<Duration>,
    ) {
        let waiting = &mut self.rows.entry(port).or_default().waiting;
        if let Some(before) = before {
            waiting.remove(&(before, number));
        }
        if let Some(since) = since {
            waiting.insert((since, number));
        }
    }

    /// Removes a connection that has waited since then, if it did.
    pub fn remove(&mut self, port: Port, number: Number, waiting_since: Option<Duration>) {
        self.set_waiting(port, number, waiting_since, None);
        if let Some(row) = self.rows.get_mut(&port) {
            row.open -= 1;
        }
    }
}
