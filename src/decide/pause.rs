//! Predicts which streams pause for too long, and what a further request costs those that run.
//!
//! Load pattern: engines differ by a factor of four in the time of a decoding step, their machines
//! slow down and recover, and a step takes longer the more requests run. A stream is late if one of
//! its pauses exceeds the route's limit. Requests that are spread evenly make nearly all streams of
//! the slow engines late, while the fast ones could run more.
//!
//! The usual pause of an engine is measured from its streams, less the effect of the load and of
//! the machine's speed at that time. How much a full engine's steps take longer than those of an
//! idle one is learned from all engines together. The share of late streams follows from the pause
//! that is expected at a given load.

use std::time::Duration;

use crate::decide::speed::Interval;

/// Number of the fleet's pauses that count for an engine in addition to its own, so that a few
/// short ones don't attract all requests.
const PRIOR_COUNT: f64 = 12.0;
/// Relative growth of the pause from an idle to a full engine that is assumed at first, and its
/// upper bound: a step reads the weights once for all requests, so it takes less than twice as long.
const INITIAL_GROWTH: f64 = 0.5;
const MAX_GROWTH: f64 = 2.0;
/// Change of the growth per pause, at a load that differs from the mean by all slots.
const GROWTH_STEP: f64 = 0.01;
/// Weight of one pause in the mean load of an engine.
const LOAD_SMOOTHING: f64 = 0.02;
/// Ratio of the longest pause of a stream of a dozen events to the usual one: half of the streams
/// whose usual pause is the limit divided by this are late.
const LONGEST_PAUSE_RATIO: f64 = 2.0;
/// Steepness of the share of late streams: the longest pauses scatter by a factor of about 1.5.
const SCATTER_EXPONENT: i32 = 4;

/// What all engines have in common.
#[derive(Debug, Clone)]
pub struct Growth {
    growth: f64,
    /// Usual pause of all engines.
    pause: Interval,
}

impl Default for Growth {
    fn default() -> Self {
        Growth { growth: INITIAL_GROWTH, pause: Interval::default() }
    }
}

impl Growth {
    /// Returns the pause at a load, which is a share of the slots, relative to that of an idle
    /// engine.
    fn factor(&self, load: f64) -> f64 {
        1.0 + self.growth * load.min(1.0)
    }
}

/// The pauses of one engine's streams.
#[derive(Debug, Clone, Default)]
pub struct Pauses {
    /// Usual pause on an idle engine whose machine has its usual speed.
    pause: Interval,
    count: u32,
    mean_load: f64,
}

impl Pauses {
    /// Records a pause that came at a load, while work took `work_time` of the usual time.
    pub fn record(&mut self, common: &mut Growth, pause: Duration, load: f64, work_time: f64) {
        let load = load.min(1.0);
        let usual = pause.div_f64(common.factor(load) * work_time.max(f64::MIN_POSITIVE));
        let expected = self.pause.get();
        if !self.pause.record(usual) {
            return;
        }
        common.pause.record(usual);
        self.count = self.count.saturating_add(1);
        let weight = LOAD_SMOOTHING.max(1.0 / f64::from(self.count));
        self.mean_load += (load - self.mean_load) * weight;
        if !expected.is_zero() {
            let step = Interval::step(usual, expected);
            let growth = common.growth + GROWTH_STEP * step * (load - self.mean_load);
            common.growth = growth.clamp(0.0, MAX_GROWTH);
        }
    }

    /// Returns the expected pause at a load, while work takes `work_time` of the usual time; none
    /// before any engine's first pause.
    pub fn expected(&self, common: &Growth, load: f64, work_time: f64) -> Option<Duration> {
        Some(self.usual(common)?.mul_f64(common.factor(load) * work_time))
    }

    /// Returns the pause relative to that of all engines at usual speed, while work takes `work_time`
    /// of the usual time.
    pub fn relative(&self, common: &Growth, work_time: f64) -> f64 {
        let all = common.pause.get();
        self.usual(common).map_or(1.0, |usual| usual.div_duration_f64(all)) * work_time
    }

    /// Returns the pause on an idle engine whose machine has its usual speed.
    fn usual(&self, common: &Growth) -> Option<Duration> {
        let all = common.pause.get();
        let count = f64::from(self.count);
        let weight = count / (count + PRIOR_COUNT);
        let usual = self.pause.get().mul_f64(weight) + all.mul_f64(1.0 - weight);
        (!all.is_zero()).then_some(usual)
    }
}

/// Returns the share of streams with an expected pause that have one longer than `max_pause`.
pub fn late_ratio(expected: Duration, max_pause: Duration) -> f64 {
    let ratio = expected.as_secs_f64() * LONGEST_PAUSE_RATIO / max_pause.as_secs_f64();
    let odds = ratio.powi(SCATTER_EXPONENT);
    // Also for an infinite ratio, of a route that allows no pause.
    1.0 - 1.0 / (1.0 + odds)
}

/// Returns how many more streams are late if an engine with `load` running requests takes another:
/// that one, and those of the running ones that its steps delay. `late_ratio` is the share of late
/// streams by number of requests.
pub fn added_late(load: u32, late_ratio: impl Fn(u32) -> f64) -> f64 {
    let after = late_ratio(load.saturating_add(1));
    after + f64::from(load) * (after - late_ratio(load)).max(0.0)
}
