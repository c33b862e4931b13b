//! Store reads that one daemon of a region makes on behalf of the others there.
//!
//! Load pattern: hundreds of daemons follow the same objects. If each followed them at the store, a
//! change would cost as many calls as there are daemons, and all would list at once when the store
//! compacts its history. So a few readers in each region follow the store; the other daemons poll a
//! reader, which answers as soon as something has changed.
//!
//! A daemon that receives nothing from its readers, or whose readers have lost the store, follows
//! the store itself. A change is therefore delayed by at most `MAX_AGE` plus the duration of a
//! poll, and revisions only increase, so a daemon never goes back to an older state. A store that
//! is restored from a backup begins a new era, in which everything is read again.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde_json::Value;

use crate::decide::rendezvous;
use crate::edge::dialect::Change;
use crate::edge::dialect::Object;
use crate::edge::dialect::Revision;
use crate::table::RegionId;
use crate::table::instance::Node;

/// Maximum age of the store's last answer to a reader: the duration of a watch that the store
/// answers in time, and a margin.
pub const MAX_AGE: Duration = Duration::from_millis(2_300);
/// Maximum number of change batches that a reader keeps: several seconds of them.
const MAX_BATCHES: usize = 64;
/// Memory that kept changes may use in any case, in bytes. Beyond it they use no more than all
/// objects, which are sent instead of them.
const MIN_LOG_BYTES: usize = 1 << 20;
/// Maximum number of readers in a region: two, so that the loss of one does not send the others to
/// the store.
const MAX_READERS: usize = 2;
/// Number of daemons in a region below which one reader is enough.
const TWO_READERS_MIN_DAEMONS: usize = 6;

/// Returns the readers of a region, the preferred one first.
pub fn readers<'a>(nodes: impl Iterator<Item = &'a Node>, region: &RegionId) -> Vec<&'a Node> {
    let mut candidates: Vec<&Node> = nodes.filter(|node| node.region == *region).collect();
    let count = if candidates.len() < TWO_READERS_MIN_DAEMONS { 1 } else { MAX_READERS };
    let mut selected: Vec<&Node> = Vec::new();
    while selected.len() < count {
        let members = candidates.iter().map(|node| (*node, node.name.as_str(), node.weight()));
        let Some(reader) = rendezvous::pick(&["reader"], members) else {
            return selected;
        };
        candidates.retain(|node| node.name != reader.name);
        selected.push(reader);
    }
    selected
}

/// A reader's answer to a daemon.
#[derive(Debug, Clone, PartialEq)]
pub enum Delta {
    /// All objects.
    Snapshot(Vec<Object>),
    /// Changes since the revision that the daemon has.
    Changes(Vec<Change>),
}

/// Changes that the store returned at once.
#[derive(Debug)]
struct Batch {
    /// The revision before them.
    from: Revision,
    changes: Vec<Change>,
    /// The memory that they use.
    bytes: usize,
}

/// Returns about how much memory a value uses, in bytes.
fn memory(value: &Value) -> usize {
    let own = size_of::<Value>();
    match value {
        Value::Null | Value::Bool(_) | Value::Number(_) => own,
        Value::String(text) => own + text.len(),
        Value::Array(items) => own + items.iter().map(memory).sum::<usize>(),
        Value::Object(fields) => {
            let field =
                |(name, value): (&String, _)| size_of::<String>() + name.len() + memory(value);
            own + fields.iter().map(field).sum::<usize>()
        }
    }
}

/// Returns about how much memory an object uses, in bytes.
fn object_memory(object: &Object) -> usize {
    size_of::<Object>() + object.name.len() + memory(&object.spec)
}

/// The objects of one kind as a reader has them.
#[derive(Debug, Default)]
pub struct Feed {
    /// Whether this daemon follows the store for this kind.
    following: bool,
    objects: BTreeMap<String, Object>,
    /// The memory that `objects` use.
    object_bytes: usize,
    /// The revision of the store that `objects` reflects.
    revision: Revision,
    /// Changes; the last batch ends at `revision`.
    log: VecDeque<Batch>,
    /// The memory that `log` uses.
    log_bytes: usize,
    /// When the store last answered.
    answered_at: Duration,
}

impl Feed {
    /// Replaces the contents after a full read.
    pub fn reset(&mut self, now: Duration, objects: &[Object], revision: Revision) {
        self.objects = objects.iter().map(|row| (row.name.clone(), row.clone())).collect();
        self.object_bytes = self.objects.values().map(object_memory).sum();
        self.log.clear();
        self.log_bytes = 0;
        (self.following, self.revision, self.answered_at) = (true, revision, now);
    }

    /// Applies the answer to a watch.
    pub fn push(&mut self, now: Duration, changes: &[Change], revision: Revision) {
        self.answered_at = now;
        if changes.is_empty() && revision <= self.revision {
            return;
        }
        for change in changes {
            let object = &change.object;
            let previous = if change.removed {
                self.objects.remove(&object.name)
            } else {
                self.object_bytes += object_memory(object);
                self.objects.insert(object.name.clone(), object.clone())
            };
            self.object_bytes -= previous.as_ref().map_or(0, object_memory);
        }
        let bytes = changes.iter().map(|change| object_memory(&change.object)).sum();
        self.log.push_back(Batch { from: self.revision, changes: changes.to_vec(), bytes });
        self.log_bytes += bytes;
        self.revision = self.revision.max(revision);
        let max_bytes = self.object_bytes.max(MIN_LOG_BYTES);
        while self.log.len() > MAX_BATCHES || self.log_bytes > max_bytes {
            let Some(oldest) = self.log.pop_front() else {
                break;
            };
            self.log_bytes -= oldest.bytes;
        }
    }

    /// Discards everything, as this daemon no longer follows the store.
    pub fn stop(&mut self) {
        *self = Feed::default();
    }

    /// Returns the revision of the store that is reflected here.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the time since the store last answered; none if this daemon does not follow it.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.following.then(|| now.saturating_sub(self.answered_at))
    }

    /// Returns the changes since a revision that was sent before, or all objects if the changes
    /// since then are not kept.
    pub fn since(&self, revision: Option<Revision>) -> Delta {
        let all = || Delta::Snapshot(self.objects.values().cloned().collect());
        let Some(revision) = revision else {
            return all();
        };
        if revision == self.revision {
            return Delta::Changes(Vec::new());
        }
        let Some(start) = self.log.iter().position(|batch| batch.from == revision) else {
            return all();
        };
        let batches = self.log.range(start..).flat_map(|batch| &batch.changes);
        Delta::Changes(batches.cloned().collect())
    }
}
