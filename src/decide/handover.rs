//! What the next holder of the placement lease has to know about orders to engines, as a part of the
//! lease object.
//!
//! An order that was sent and not answered may reach an engine that has restarted under its id. The
//! sender may be gone by then, and with it all daemons that knew the earlier incarnation. The holder
//! therefore names each engine in the lease object before it orders it, with its incarnation and the
//! lowest number in its orders from then on. A holder that is killed has nothing left to tell.
//!
//! Load pattern: each renewal of the lease writes one row for each engine, and each other daemon
//! reads it once a second. An engine that is new or has restarted causes one more renewal.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde_json::Value;

use crate::table::instance::Key;

/// Maximum number of engines in a lease object, which has to fit into a value of the platform.
pub const MAX_ENGINES: usize = 4_000;

/// Orders to an engine that may be carried out late: those whose number is lower are not out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u64, Option<u64>)", into = "(u64, u64, Option<u64>)")]
pub struct Floor {
    /// Start of the incarnation that is ordered.
    pub born: u64,
    /// The lowest number in orders to it.
    pub current: u64,
    /// The lowest number in orders to earlier incarnations; none if no such order is out.
    pub earlier: Option<u64>,
}

impl From<(u64, u64, Option<u64>)> for Floor {
    fn from((born, current, earlier): (u64, u64, Option<u64>)) -> Self {
        Floor { born, current, earlier }
    }
}

impl From<Floor> for (u64, u64, Option<u64>) {
    fn from(floor: Floor) -> Self {
        (floor.born, floor.current, floor.earlier)
    }
}

impl Floor {
    /// Returns the lowest number in orders to other incarnations than the one that started at
    /// `born`; none if no such order is out.
    pub fn before(&self, born: u64) -> Option<u64> {
        if self.born == born { self.earlier } else { lowest(Some(self.current), self.earlier) }
    }

    /// Returns the floor once the incarnation that started at `born` may be ordered, too.
    fn including(&self, born: u64) -> Self {
        if self.born == born {
            *self
        } else {
            Floor { born, current: 0, earlier: self.before(born) }
        }
    }
}

/// What a holder of the lease tells the next one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Handover {
    /// Whether other orders may be out, to engines that are not listed.
    pub is_partial: bool,
    /// The engines that may have been ordered, by their ids.
    pub engines: BTreeMap<String, Floor>,
}

impl Handover {
    /// Returns the handover of a holder that has told nothing.
    pub fn unknown() -> Self {
        Handover { is_partial: true, engines: BTreeMap::new() }
    }

    /// Returns what a daemon writes as it acquires the lease from the holder that wrote this, to order
    /// the engines in `keys`.
    pub fn including(&self, keys: impl IntoIterator<Item = Key>) -> Self {
        let mut handover = self.clone();
        for key in keys {
            let new = Floor { born: key.born, current: 0, earlier: None };
            let floor = handover.engines.get(&key.id);
            let floor = floor.map_or(new, |floor| floor.including(key.born));
            handover.engines.insert(key.id, floor);
        }
        handover.bounded()
    }

    /// Returns whether the next holder takes orders to an engine into account.
    pub fn lists(&self, key: &Key) -> bool {
        let floor = self.engines.get(&key.id);
        self.is_partial || floor.is_some_and(|floor| floor.born == key.born)
    }

    /// Returns whether the next holder takes into account an order that follows `expect` others.
    pub fn covers(&self, key: &Key, expect: u64) -> bool {
        let floor = self.engines.get(&key.id);
        self.is_partial || self.lists(key) && floor.is_some_and(|floor| floor.current <= expect)
    }

    /// Keeps the object within its size. The next holder then knows that engines are missing.
    pub(crate) fn bounded(mut self) -> Self {
        if self.engines.len() > MAX_ENGINES {
            self.engines = self.engines.into_iter().take(MAX_ENGINES).collect();
            self.is_partial = true;
        }
        self
    }
}

/// Returns the lower of two numbers, if there are any.
pub(crate) fn lowest(first: Option<u64>, second: Option<u64>) -> Option<u64> {
    first.into_iter().chain(second).min()
}

/// Decodes the handover in a lease object. One of another form counts as none: the lease itself must
/// be readable in any case.
pub(crate) fn decode<'de, D: Deserializer<'de>>(source: D) -> Result<Option<Handover>, D::Error> {
    let value = Value::deserialize(source)?;
    Ok(Handover::deserialize(value).ok())
}
