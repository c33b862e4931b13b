//! The prefix cache of an engine, and the events that it publishes.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

/// Events that are kept for readers; older ones are a gap to them.
const EVENTS_MAX: usize = 4096;

/// A block was stored or dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Rises by one; a jump is a gap.
    pub sequence: u64,
    /// The block's hash.
    pub block: u64,
    /// Stored, or else dropped.
    pub stored: bool,
}

/// Cached blocks, the longest unused first.
#[derive(Debug, Default)]
pub struct Cache {
    max: usize,
    blocks: VecDeque<u64>,
    events: VecDeque<Event>,
    sequence: u64,
    /// Of how many events one is never published; 0 for none.
    gap: u64,
}

impl Cache {
    /// A cache of at most `max` blocks.
    pub fn new(max: usize) -> Self {
        Cache { max, ..Cache::default() }
    }

    /// Leaves out one in `every` events.
    pub fn set_gap(&mut self, every: u64) {
        self.gap = every;
    }

    /// Stores a prompt's blocks, and counts those that were there already from the first on.
    pub fn store(&mut self, prefix: &[u64]) -> usize {
        let hits = prefix.iter().take_while(|block| self.blocks.contains(block)).count();
        for block in prefix {
            match self.blocks.iter().position(|held| held == block) {
                Some(at) => {
                    self.blocks.remove(at);
                }
                None => self.publish(*block, true),
            }
            self.blocks.push_back(*block);
        }
        while self.blocks.len() > self.max {
            if let Some(block) = self.blocks.pop_front() {
                self.publish(block, false);
            }
        }
        hits
    }

    /// Empties the cache and its events, as a restart does.
    pub fn clear(&mut self) {
        *self = Cache { max: self.max, gap: self.gap, ..Cache::default() };
    }

    /// Which of these blocks are held.
    pub fn held(&self, prefix: &[u64]) -> Vec<u64> {
        prefix.iter().copied().filter(|block| self.blocks.contains(block)).collect()
    }

    /// Events after `since`.
    pub fn events(&self, since: u64) -> Vec<Event> {
        self.events.iter().copied().filter(|event| event.sequence > since).collect()
    }

    fn publish(&mut self, block: u64, stored: bool) {
        self.sequence += 1;
        if self.gap > 0 && self.sequence.is_multiple_of(self.gap) {
            return;
        }
        self.events.push_back(Event { sequence: self.sequence, block, stored });
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }
}
