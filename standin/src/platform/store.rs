//! The object store: versions that rise over all kinds, conditional updates, a bounded history.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use poplarmux::edge::platform::Change;
use poplarmux::edge::platform::Object;
use poplarmux::edge::platform::Version;
use serde_json::Value;
use smol::channel::Receiver;
use smol::channel::Sender;

/// The condition of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object stands at this version.
    At(Version),
    /// The object does not exist.
    Absent,
}

/// All objects.
pub struct Store {
    version: Version,
    /// Changes up to this version are no longer in the history.
    compacted: Version,
    history_max: usize,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    history: VecDeque<(String, Change)>,
    bell: (Sender<()>, Receiver<()>),
}

impl Default for Store {
    fn default() -> Self {
        Store {
            version: 0,
            compacted: 0,
            history_max: 10_000,
            kinds: BTreeMap::new(),
            history: VecDeque::new(),
            bell: smol::channel::bounded(1),
        }
    }
}

impl Store {
    /// The version of the latest change.
    pub fn version(&self) -> Version {
        self.version
    }

    /// One object.
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.kinds.get(kind)?.get(name)
    }

    /// The objects of a kind whose names begin with `prefix`.
    pub fn list(&self, kind: &str, prefix: &str) -> Vec<Object> {
        let objects = self.kinds.get(kind).into_iter().flat_map(BTreeMap::values);
        objects.filter(|object| object.name.starts_with(prefix)).cloned().collect()
    }

    /// Writes or, without a value, deletes one object under a condition; `Err` is the version at
    /// which it stands.
    pub fn update(
        &mut self,
        kind: &str,
        name: &str,
        condition: Condition,
        value: Option<Value>,
    ) -> Result<Version, Option<Version>> {
        let present = self.get(kind, name).map(|object| object.version);
        let met = match condition {
            Condition::At(version) => present == Some(version),
            Condition::Absent => present.is_none(),
        };
        if !met {
            return Err(present);
        }
        self.version += 1;
        let version = self.version;
        let objects = self.kinds.entry(kind.to_string()).or_default();
        match value.clone() {
            Some(value) => {
                let object = Object { name: name.to_string(), version, value };
                objects.insert(name.to_string(), object);
            }
            None => {
                objects.remove(name);
            }
        }
        let change = Change { name: name.to_string(), version, value };
        self.history.push_back((kind.to_string(), change));
        self.compact(self.history_max);
        // Dropping the sender wakes every watch.
        self.bell = smol::channel::bounded(1);
        Ok(version)
    }

    /// Forgets the history but for the latest `keep` changes.
    pub fn compact(&mut self, keep: usize) {
        while self.history.len() > keep {
            if let Some((_, change)) = self.history.pop_front() {
                self.compacted = change.version;
            }
        }
    }

    /// The changes of a kind after `since`, or none when that history is gone.
    pub fn changes(&self, kind: &str, since: Version) -> Option<Vec<Change>> {
        if since < self.compacted {
            return None;
        }
        let after = self.history.iter().filter(|(of, change)| of == kind && change.version > since);
        Some(after.map(|(_, change)| change.clone()).collect())
    }

    /// Closed at the next change.
    pub fn bell(&self) -> Receiver<()> {
        self.bell.1.clone()
    }
}
