//! Number of replicas that the demand of each region calls for, with hysteresis.
//!
//! Load pattern: offered tokens per second for a model in a region change tenfold within an hour,
//! with noise of a few tens of percent from minute to minute. A number that follows every sample
//! adds or drops a replica at each crossing of a threshold; one that rises early and falls late
//! adds and drops it once a day.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::table::ModelId;
use crate::table::RegionId;

/// Tokens per second that one replica serves in time: 900,000 over 600 engines.
pub const COPY_TOKENS_PER_S: f64 = 1500.0;

/// Utilization of the replicas above which more are added. A tenfold rise in an hour is 4% a
/// minute, which leaves five minutes until they are fully used.
pub const SCALE_UP_RATIO: f64 = 0.8;

/// Utilization that added replicas bring the load down to: a continuing rise adds replicas in steps
/// of a seventh instead of at every sample.
pub const TARGET_RATIO: f64 = 0.7;

/// Utilization that the remaining replicas must not exceed when some are dropped.
pub const SCALE_DOWN_RATIO: f64 = 0.6;

/// Utilization of a single replica from which a region gets its own. Below it another region
/// serves: a round trip of 30 ms and a few bytes per token cost less than the memory of a replica.
pub const FIRST_COPY_RATIO: f64 = 0.1;

/// Time constant of the moving average of samples: longer than a burst, shorter than the five
/// minutes that `SCALE_UP_RATIO` leaves.
pub const SMOOTHING_WINDOW: Duration = Duration::from_secs(60);

/// Time that demand must stay low before replicas are dropped: longer than a lunch-hour trough.
pub const SCALE_DOWN_DELAY: Duration = Duration::from_secs(1800);

/// Tokens per second offered for a model in a region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// The model.
    pub model: ModelId,
    /// The region of the callers.
    pub region: RegionId,
    /// Tokens per second.
    pub rate: f64,
}

/// State of one model in one region.
#[derive(Debug, Clone, Default)]
struct Cell {
    /// Moving average of tokens per second, and the time of its last sample.
    rate: f64,
    sampled_at: Option<Duration>,
    copies: u32,
    /// Since when fewer replicas would suffice, and the largest number needed since then.
    surplus: Option<(Duration, u32)>,
}

/// Number of replicas that demand calls for, by model and region.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    cells: BTreeMap<ModelId, BTreeMap<RegionId, Cell>>,
}

impl Demand {
    /// Records samples of offered rates; a pair of model and region without a sample keeps its
    /// state.
    pub fn record(&mut self, now: Duration, offers: &[Offer]) {
        for offer in offers {
            let regions = self.cells.entry(offer.model.clone()).or_default();
            let cell = regions.entry(offer.region.clone()).or_default();
            cell.add_sample(now, offer.rate);
        }
    }

    /// Returns the number of replicas that a region needs; 0 where no demand was recorded.
    pub fn copies(&self, model: &str, region: &str) -> u32 {
        self.cell(model, region).map_or(0, |cell| cell.copies)
    }

    /// Returns the regions by falling demand, regions of equal demand in the given order.
    pub fn by_demand(&self, model: &str, regions: &[RegionId]) -> Vec<RegionId> {
        let mut order = regions.to_vec();
        order.sort_by_key(|region| std::cmp::Reverse(self.copies(model, region)));
        order
    }

    /// Returns model, region, tokens per second and replicas of each pair, for a state dump.
    pub fn rows(&self) -> impl Iterator<Item = (&ModelId, &RegionId, f64, u32)> {
        self.cells.iter().flat_map(|(model, regions)| {
            regions.iter().map(move |(region, cell)| (model, region, cell.rate, cell.copies))
        })
    }

    fn cell(&self, model: &str, region: &str) -> Option<&Cell> {
        self.cells.get(model)?.get(region)
    }
}

impl Cell {
    fn add_sample(&mut self, now: Duration, rate: f64) {
        let weight = self.sampled_at.map_or(1.0, |sampled_at| {
            let elapsed_s = now.saturating_sub(sampled_at).as_secs_f64();
            1.0 - (-elapsed_s / SMOOTHING_WINDOW.as_secs_f64()).exp()
        });
        self.sampled_at = Some(now);
        self.rate += (rate - self.rate) * weight;
        if copies_needed(self.rate, SCALE_UP_RATIO, FIRST_COPY_RATIO) > self.copies {
            self.copies = copies_needed(self.rate, TARGET_RATIO, FIRST_COPY_RATIO);
        }
        let lower = copies_needed(self.rate, SCALE_DOWN_RATIO, FIRST_COPY_RATIO / 2.0);
        let (since, max_needed) = self.surplus.unwrap_or((now, 0));
        self.surplus = (lower < self.copies).then(|| (since, max_needed.max(lower)));
        if let Some((since, max_needed)) = self.surplus
            && now.saturating_sub(since) >= SCALE_DOWN_DELAY
        {
            self.copies = max_needed;
            self.surplus = None;
        }
    }
}

/// Returns the number of replicas that serve `rate` at utilization `ratio`, or 0 if `rate` is below
/// `first_ratio` of what one replica serves.
fn copies_needed(rate: f64, ratio: f64, first_ratio: f64) -> u32 {
    if rate < COPY_TOKENS_PER_S * first_ratio {
        0
    } else {
        (rate / (COPY_TOKENS_PER_S * ratio)).ceil() as u32
    }
}
