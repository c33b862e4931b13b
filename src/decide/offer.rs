//! Offered load for the placer: the tokens per second that callers request of each model in a
//! region.
//!
//! Load pattern: requests for a model arrive at all entries of a region, and its demand changes
//! within minutes. Each entry counts its own requests; one entry of the region, chosen by
//! rendezvous hashing, adds up the counts and sends the sums to the placers. Without this
//! aggregation each placer would receive a message from each entry and would have to decide which
//! counts are too old to add.
//!
//! A window of 10 s covers some tens of requests of a busy model, so that a count is not mostly
//! noise. A count is dropped after three windows, so that the demand of a dead entry does not
//! persist.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::decide::load;
use crate::decide::member;
use crate::decide::place::demand::Offer;
use crate::table::EntryId;
use crate::table::ModelId;
use crate::table::RegionId;

/// Time over which an entry counts.
pub const COUNT_WINDOW: Duration = Duration::from_secs(10);
/// How long the last count of an entry is included in the sum.
const COUNT_RETENTION: Duration = Duration::from_secs(30);

/// The tokens per second that one entry counted.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Requested tokens per second of each model.
    pub rates: BTreeMap<ModelId, f64>,
}

/// The counts of this entry and of the entries for which it aggregates.
#[derive(Debug, Clone, Default)]
pub struct Table {
    tokens: BTreeMap<ModelId, u64>,
    window_start: Duration,
    counts: BTreeMap<EntryId, (Count, Duration)>,
}

impl Table {
    /// Counts tokens that a caller requested.
    pub fn add(&mut self, model: &str, tokens: u64) {
        match self.tokens.get_mut(model) {
            Some(sum) => *sum += tokens,
            None => {
                self.tokens.insert(model.to_string(), tokens);
            }
        }
    }

    /// Ends the window and returns its count. A model that is no longer requested is included once
    /// more, with 0, so that its last rate does not persist.
    pub fn end_window(&mut self, now: Duration) -> Count {
        let elapsed = now.saturating_sub(self.window_start).as_secs_f64().max(0.001);
        self.window_start = now;
        let rates = self.tokens.iter().map(|(model, sum)| (model.clone(), *sum as f64 / elapsed));
        let count = Count { rates: rates.collect() };
        self.tokens.retain(|_, sum| std::mem::take(sum) > 0);
        count
    }

    /// Records the count of an entry, which may be this one.
    pub fn merge(&mut self, now: Duration, from: EntryId, count: Count) {
        self.counts.insert(from, (count, now));
    }

    /// Returns the sum of the recent counts of all entries.
    pub fn sum(&mut self, now: Duration, region: &RegionId) -> Vec<Offer> {
        self.counts
            .retain(|_, (_, received_at)| now.saturating_sub(*received_at) < COUNT_RETENTION);
        let mut sums: BTreeMap<&ModelId, f64> = BTreeMap::new();
        for (model, rate) in self.counts.values().flat_map(|(count, _)| &count.rates) {
            *sums.entry(model).or_default() += rate;
        }
        let offers = sums.into_iter();
        offers
            .map(|(model, rate)| Offer { model: model.clone(), region: region.clone(), rate })
            .collect()
    }
}

/// Returns the entry that aggregates the counts of a region.
pub fn aggregator(region: &RegionId, live: &[member::Row]) -> Option<EntryId> {
    let local = live.iter().filter(|row| row.region == *region).map(|row| row.peer);
    local.max_by_key(|peer| (load::weight(region, *peer), *peer))
}
