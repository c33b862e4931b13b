//! What one daemon of a region reads in the store, for the others there.
//!
//! Load pattern: hundreds of daemons follow the same objects. If each followed them at the store, a
//! change would cost as many calls as there are daemons, and all would list at once when the store
//! drops its history. A few readers in each region follow the store; the others ask a reader,
//! which answers as soon as something has changed.
//!
//! A daemon that hears nothing from its readers, or hears that they have not heard from the store,
//! follows the store by itself. So news is late by the bounds of `AGE` and of the question to the
//! reader at most, and never older than what was known: revisions only rise. A store that comes back from a copy begins a new era,
//! in which all is read anew.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::decide::rendezvous;
use crate::edge::dialect::Change;
use crate::edge::dialect::Object;
use crate::edge::dialect::Revision;
use crate::table::RegionId;
use crate::table::instance::Node;

/// What a reader last heard from the store may be this old: a watch that the store answers in time,
/// and what it may take longer.
pub const AGE: Duration = Duration::from_millis(2_300);
/// Batches of changes that a reader keeps: several seconds of them.
const BATCHES: usize = 64;
/// Readers of a region, so that one can be lost without the others going to the store.
const READERS: usize = 2;
/// Below so many daemons in a region one reader is enough.
const FEW: usize = 6;

/// The readers of a region, the one to ask first before the others.
pub fn readers<'a>(nodes: impl Iterator<Item = &'a Node>, region: &RegionId) -> Vec<&'a Node> {
    let mut here: Vec<&Node> = nodes.filter(|node| node.region == *region).collect();
    let most = if here.len() < FEW { 1 } else { READERS };
    let mut out: Vec<&Node> = Vec::new();
    while out.len() < most {
        let members = here.iter().map(|node| (*node, node.name.as_str(), node.weight()));
        let Some(reader) = rendezvous::pick(&["reader"], members) else {
            return out;
        };
        here.retain(|node| node.name != reader.name);
        out.push(reader);
    }
    out
}

/// What is handed on.
#[derive(Debug, Clone, PartialEq)]
pub enum News {
    /// All objects.
    Whole(Vec<Object>),
    /// What has changed.
    Changes(Vec<Change>),
}

/// The objects of one kind as a reader knows them.
#[derive(Debug, Default)]
pub struct Feed {
    /// Whether this daemon follows the store for them.
    live: bool,
    objects: BTreeMap<String, Object>,
    /// The store's revision that the objects stand at.
    revision: Revision,
    /// Changes, each batch with the revision before it; the last one ends at `revision`.
    log: VecDeque<(Revision, Vec<Change>)>,
    /// When the store last answered.
    heard: Duration,
}

impl Feed {
    /// All objects were read.
    pub fn reset(&mut self, now: Duration, objects: &[Object], revision: Revision) {
        self.objects = objects.iter().map(|row| (row.name.clone(), row.clone())).collect();
        self.log.clear();
        (self.live, self.revision, self.heard) = (true, revision, now);
    }

    /// The store has answered a watch.
    pub fn push(&mut self, now: Duration, changes: &[Change], revision: Revision) {
        self.heard = now;
        if changes.is_empty() && revision <= self.revision {
            return;
        }
        for change in changes {
            let object = &change.object;
            if change.removed {
                self.objects.remove(&object.name);
            } else {
                self.objects.insert(object.name.clone(), object.clone());
            }
        }
        self.log.push_back((self.revision, changes.to_vec()));
        self.revision = self.revision.max(revision);
        while self.log.len() > BATCHES {
            self.log.pop_front();
        }
    }

    /// This daemon follows the store no more.
    pub fn stop(&mut self) {
        *self = Feed::default();
    }

    /// The revision up to which all is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// How long ago the store last answered; none where this daemon does not follow it.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.live.then(|| now.saturating_sub(self.heard))
    }

    /// What has changed since a revision that was handed on before; all of it where that is not known.
    pub fn since(&self, revision: Option<Revision>) -> News {
        let all = || News::Whole(self.objects.values().cloned().collect());
        let Some(revision) = revision else {
            return all();
        };
        if revision == self.revision {
            return News::Changes(Vec::new());
        }
        let Some(at) = self.log.iter().position(|(before, _)| *before == revision) else {
            return all();
        };
        let batches = self.log.range(at..).flat_map(|(_, changes)| changes);
        News::Changes(batches.cloned().collect())
    }
}
