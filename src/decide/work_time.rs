//! Estimates how long work takes at an endpoint whose machine is shared with other workloads.
//!
//! Load pattern: the machines of engines slow down and recover many times a second. Engines state
//! in their responses how long work takes at the moment, but a figure reaches the daemon that
//! chooses an engine after a round trip and a message or two, and is outdated by then. Daemons that
//! believed it would all send to the engine that was fast a moment ago.
//!
//! A figure is therefore weighted by its age. The newest one decays towards the mean of some
//! seconds, within the time in which the figures of this endpoint have been seen to change, and
//! the mean decays towards the usual time. What is expected over a span, such as a prefill, is the
//! mean over that span.

use std::time::Duration;

/// The usual time that work takes, in the unit of the stated figures.
const USUAL_PERCENT: f64 = 100.0;
/// Time constant of the mean: long enough to average over changes many times a second, short enough
/// that another workload of a few seconds shows.
const MEAN_WINDOW: Duration = Duration::from_secs(2);
/// Time constant with which the mean decays towards the usual time without new figures.
const MEAN_RETENTION: Duration = Duration::from_secs(3);
/// Assumed time constant of the changes until the figures show it.
const INITIAL_PERSISTENCE: Duration = Duration::from_millis(100);
/// Bounds of that time constant: below the first a figure is outdated when it arrives, and above
/// the second the mean follows the changes.
const MIN_PERSISTENCE: Duration = Duration::from_millis(10);
const MAX_PERSISTENCE: Duration = Duration::from_secs(1);
/// Weight of one pair of figures in the estimate of the persistence.
const PAIR_SMOOTHING: f64 = 0.02;
/// Longest time between two figures that are compared.
const MAX_PAIR_GAP: Duration = Duration::from_millis(500);
/// Variance of the figures, relative to the usual time, at which the observed persistence weighs as
/// much as the assumed one: that of a change by a tenth.
const PRIOR_VARIANCE: f64 = 0.01;

/// The figures that an endpoint has stated.
#[derive(Debug, Clone, Default)]
pub struct WorkTime {
    /// The newest figure, and when it was stated.
    newest: Option<(f64, Duration)>,
    mean: f64,
    /// Number of figures, up to which the mean weighs all equally.
    count: u32,
    /// Moving averages over pairs of successive figures: the variance, the covariance and the time
    /// between the two.
    variance: f64,
    covariance: f64,
    gap: f64,
}

impl WorkTime {
    /// Records a figure that was stated at `stated_at`, where 100 is the usual time. One that was
    /// stated before the newest is skipped.
    pub fn record(&mut self, stated_at: Duration, percent: u32) {
        let value = f64::from(percent) / USUAL_PERCENT;
        let Some((previous, previous_at)) = self.newest else {
            (self.newest, self.mean, self.count) = (Some((value, stated_at)), value, 1);
            return;
        };
        let Some(gap) = stated_at.checked_sub(previous_at) else {
            return;
        };
        self.count = self.count.saturating_add(1);
        let weight = (1.0 - decay(gap, MEAN_WINDOW)).max(1.0 / f64::from(self.count));
        if gap <= MAX_PAIR_GAP {
            let (before, after) = (previous - self.mean, value - self.mean);
            let smoothing = PAIR_SMOOTHING.max(1.0 / f64::from(self.count));
            self.variance += (after * after - self.variance) * smoothing;
            self.covariance += (before * after - self.covariance) * smoothing;
            self.gap += (gap.as_secs_f64() - self.gap) * smoothing;
        }
        self.mean += (value - self.mean) * weight;
        self.newest = Some((value, stated_at));
    }

    /// Returns whether the endpoint states figures.
    pub fn is_stated(&self) -> bool {
        self.newest.is_some()
    }

    /// Returns the newest figure, and when it was stated.
    pub fn newest(&self) -> Option<(u32, Duration)> {
        self.newest.map(|(value, at)| ((value * USUAL_PERCENT).round() as u32, at))
    }

    /// Returns the mean time that work takes, relative to the usual time.
    pub fn mean(&self, now: Duration) -> f64 {
        self.newest.map_or(1.0, |(_, at)| {
            1.0 + (self.mean - 1.0) * decay(now.saturating_sub(at), MEAN_RETENTION)
        })
    }

    /// Returns how long work is expected to take on average over the next `span`, relative to the
    /// usual time.
    pub fn expected(&self, now: Duration, span: Duration) -> f64 {
        let Some((newest, stated_at)) = self.newest else {
            return 1.0;
        };
        let persistence = self.persistence();
        let spans = span.as_secs_f64() / persistence.as_secs_f64();
        let over_span = if spans > 0.0 { (1.0 - (-spans).exp()) / spans } else { 1.0 };
        let weight = decay(now.saturating_sub(stated_at), persistence) * over_span;
        self.mean(now) + (newest - self.mean) * weight
    }

    /// Returns the time within which a deviation from the mean decays.
    fn persistence(&self) -> Duration {
        if self.gap == 0.0 {
            return INITIAL_PERSISTENCE;
        }
        let prior = (-self.gap / INITIAL_PERSISTENCE.as_secs_f64()).exp();
        let correlation =
            (self.covariance + PRIOR_VARIANCE * prior) / (self.variance + PRIOR_VARIANCE);
        let (min, max) = (MIN_PERSISTENCE.as_secs_f64(), MAX_PERSISTENCE.as_secs_f64());
        let persistence = match correlation {
            correlation if correlation <= 0.0 => min,
            correlation if correlation >= 1.0 => max,
            correlation => self.gap / -correlation.ln(),
        };
        Duration::from_secs_f64(persistence.clamp(min, max))
    }
}

fn decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
