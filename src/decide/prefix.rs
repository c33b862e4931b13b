//! Prefix affinity: which endpoints have the beginning of a prompt in their cache.
//!
//! Load pattern: drafts that are revised again and again, and callers that share a long
//! instruction. Without this module each revision would be computed from its first token at an
//! endpoint that has none of it cached.
//!
//! The index is filled immediately from the entry's own dispatches, and from cache events, which
//! are delayed and may be lost. It is only a hint: a wrong row costs one prefill. It is bounded by
//! two generations of `MAX_GENERATION_BLOCKS`. When the recent generation is full the previous one
//! is dropped, which forgets blocks that were not stored again recently. After a gap in an
//! endpoint's events all its rows are discarded, because drops may have been missed.

use std::collections::HashMap;
use std::hash::BuildHasherDefault;
use std::hash::Hasher;

use crate::table::EndpointId;

/// Most blocks in one generation; with 8 bytes each for key and row, both take less than 1 MB.
const MAX_GENERATION_BLOCKS: usize = 16_384;
/// Number of tokens in a block.
pub const BLOCK_TOKENS: u32 = 16;

/// Hashes block keys, which are hashes already.
#[derive(Debug, Clone, Default)]
struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxhash_rust::xxh3::xxh3_64(bytes);
    }

    fn write_u64(&mut self, block: u64) {
        // Still mixed, so that an endpoint with sequential block keys cannot fill a single bucket.
        self.0 = block.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(26);
    }
}

/// Numbers of the last two endpoints that stored a block, latest first; 0 is none.
type Holders = [u32; 2];
type Blocks = HashMap<u64, Holders, BuildHasherDefault<KeyHasher>>;

/// An index of the endpoints that hold each block.
#[derive(Debug, Default)]
pub struct Index {
    recent: Blocks,
    previous: Blocks,
    /// The number that identifies an endpoint in `Holders`; after a gap it gets a new one.
    numbers: HashMap<EndpointId, u32>,
    /// Endpoints by number, from 1; `None` where the number is no longer valid.
    endpoints: Vec<Option<EndpointId>>,
}

impl Index {
    /// Records that the endpoint stored these blocks.
    pub fn on_stored(&mut self, endpoint: EndpointId, blocks: &[u64]) {
        let number = self.number(endpoint);
        for block in blocks {
            if self.recent.len() >= MAX_GENERATION_BLOCKS {
                self.previous = std::mem::take(&mut self.recent);
                self.recent.reserve(MAX_GENERATION_BLOCKS);
            }
            let previous = &self.previous;
            let known = || previous.get(block).copied().unwrap_or_default();
            let holders = self.recent.entry(*block).or_insert_with(known);
            if holders[0] != number {
                *holders = [number, holders[0]];
            }
        }
    }

    /// Records that the endpoint dropped these blocks.
    pub fn on_dropped(&mut self, endpoint: EndpointId, blocks: &[u64]) {
        let Some(number) = self.numbers.get(&endpoint).copied() else {
            return;
        };
        for block in blocks {
            for generation in [&mut self.recent, &mut self.previous] {
                if let Some(holders) = generation.get_mut(block) {
                    holders
                        .iter_mut()
                        .filter(|holder| **holder == number)
                        .for_each(|holder| *holder = 0);
                }
            }
        }
    }

    /// Discards the endpoint's blocks after missed events or a restart.
    pub fn on_gap(&mut self, endpoint: EndpointId) {
        if let Some(number) = self.numbers.remove(&endpoint) {
            self.endpoints[number as usize - 1] = None;
        }
    }

    /// Returns the number of blocks in the longest known prefix and the endpoints that hold it.
    pub fn longest_match(&self, blocks: &[u64]) -> (usize, Vec<EndpointId>) {
        for (index, block) in blocks.iter().enumerate().rev() {
            let Some(row) = self.recent.get(block).or_else(|| self.previous.get(block)) else {
                continue;
            };
            let holders = row.iter().filter_map(|number| self.endpoint(*number));
            let holders: Vec<EndpointId> = holders.collect();
            if !holders.is_empty() {
                return (index + 1, holders);
            }
        }
        (0, Vec::new())
    }

    /// Returns the number of known blocks.
    pub fn len(&self) -> usize {
        self.recent.len() + self.previous.len()
    }

    /// Returns whether no block is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn endpoint(&self, number: u32) -> Option<EndpointId> {
        let index = (number as usize).checked_sub(1)?;
        self.endpoints.get(index).copied().flatten()
    }

    fn number(&mut self, endpoint: EndpointId) -> u32 {
        if let Some(number) = self.numbers.get(&endpoint) {
            return *number;
        }
        self.endpoints.push(Some(endpoint));
        let number = self.endpoints.len() as u32;
        self.numbers.insert(endpoint, number);
        number
    }
}
