//! Estimates how fast engines prefill prompts, from the answers that pass through the daemon.
//!
//! Load pattern: engines differ by a factor of eight in prefill speed, models on one engine by a
//! factor of three, and an engine may become slow at any moment. A fixed figure that suits one
//! fleet lets prompts of another arrive in bursts that delay its streams, or leaves its engines
//! half idle.
//!
//! For each model the latest first events are kept with their numbers of uncached prompt tokens,
//! and a line is fitted through them. A low quantile of the times of the longer prompts against
//! that of the shorter ones gives the time per token; the remainder is the time without a prompt.
//! Quantiles tolerate answers that were lost on the way and prompts that an engine had cached
//! without this daemon's knowledge. How much slower one engine is than the others follows from the
//! sign of its differences alone. A model without samples is assumed to be like all models
//! together, and no estimate leaves its bounds.
//!
//! A few first events that scatter are compatible with any slope. The slope of a model is therefore
//! weighted by its standard error against the spread between models, and the remaining weight goes
//! to the slope of all models together.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::table::ModelId;

/// Assumed milliseconds per token before the first sample, for engines that prefill 10 to 80 tokens
/// per millisecond. It is below the middle of that range: an estimate that is too long refuses
/// callers, while one that is too short only delays events a little.
const INITIAL_MS_PER_TOKEN: f64 = 0.035;
/// Bounds of the milliseconds per token: ten times beyond the range of those engines.
const MIN_MS_PER_TOKEN: f64 = 0.001;
const MAX_MS_PER_TOKEN: f64 = 1.0;
/// Assumed milliseconds to the first event of a request without a prompt, before the first sample:
/// the round trip and some steps of an engine.
const INITIAL_BASE_MS: f64 = 30.0;
/// Upper bound of that time, in milliseconds: a first event that takes longer was delayed by
/// something else.
const MAX_BASE_MS: f64 = 2_000.0;
/// First events kept for each model: enough for stable quantiles of a third of them, few enough
/// that a change of all engines shows within seconds.
const MAX_SAMPLES: usize = 64;
/// Standard deviation of the time per token before the first sample, relative to the assumed time,
/// for engines that prefill 10 to 80 tokens per millisecond.
const PRIOR_DEVIATION_RATIO: f64 = 1.0;
/// Lower quantile: its distance from `TARGET_QUANTILE` measures how far the times scatter.
const LOWER_QUANTILE: f64 = 0.1;
/// Standard error of the difference between the times of long and of short prompts for one event,
/// in distances between the two quantiles. In a normal distribution that is cut at these quantiles
/// four in five events lie between them, and a third of the events have long prompts.
const STANDARD_ERROR_FACTOR: f64 = 2.8;
/// Number of events with which the scatter is known to within a half. Fewer events may show little
/// scatter by chance.
const SMALL_SAMPLE_COUNT: f64 = 8.0;
/// Smallest difference in tokens between the short and the long third of the prompts from which a
/// time per token is derived.
const MIN_TOKEN_DIFFERENCE: f64 = 50.0;
/// Bounds of an engine's slowness against other engines with the same model.
const MIN_RATIO: f64 = 0.25;
const MAX_RATIO: f64 = 8.0;
/// An event is a sample only if the queued prefill before its own is at most this share of its own.
const MAX_QUEUED_RATIO: f64 = 0.5;
/// Quantile of the times that the fit follows. It is low because everything unknown, such as
/// prompts of other daemons and waits for a slot, only adds to the times.
const TARGET_QUANTILE: f64 = 0.4;
/// Relative change of an engine's ratio per event: an engine that becomes twice as slow is
/// recognized after some fifteen requests, and a steady one fluctuates by a few percent.
const RATIO_SMOOTHING: f64 = 0.1;

/// A line fitted through the latest first events.
#[derive(Debug, Clone)]
struct Fit {
    /// Uncached prompt tokens, and milliseconds to the first event.
    samples: VecDeque<(f64, f64)>,
    /// Milliseconds per token; between `MIN_MS_PER_TOKEN` and `MAX_MS_PER_TOKEN`.
    ms_per_token: f64,
    /// Milliseconds without a prompt; between 0 and `MAX_BASE_MS`.
    base_ms: f64,
}

impl Fit {
    fn new(ms_per_token: f64, base_ms: f64) -> Self {
        Fit { samples: VecDeque::new(), ms_per_token, base_ms }
    }

    fn predict_ms(&self, tokens: f64) -> f64 {
        self.base_ms + self.ms_per_token * tokens
    }

    /// Adds a sample; `prior` is the time per token of all models, in milliseconds.
    fn add(&mut self, tokens: f64, took: f64, prior: f64) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((tokens, took));
        self.update(prior);
    }

    fn update(&mut self, prior: f64) {
        let mut rows: Vec<(f64, f64)> = self.samples.iter().copied().collect();
        rows.sort_by(|a, b| a.0.total_cmp(&b.0));
        let third = rows.len() / 3;
        let (short, long) = (&rows[..third], &rows[rows.len() - third..]);
        let tokens = |rows: &[(f64, f64)]| rows.get(rows.len() / 2).map_or(0.0, |row| row.0);
        let took = |rows: &[(f64, f64)]| quantile(rows.iter().map(|row| row.1), TARGET_QUANTILE);
        let token_difference = tokens(long) - tokens(short);
        if !short.is_empty() && token_difference > MIN_TOKEN_DIFFERENCE {
            let slope = ((took(long) - took(short)) / token_difference)
                .clamp(MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN);
            let residual = |row: &(f64, f64)| row.1 - slope * row.0;
            let scatter = quantile(rows.iter().map(residual), TARGET_QUANTILE)
                - quantile(rows.iter().map(residual), LOWER_QUANTILE);
            let count = rows.len() as f64;
            let error = STANDARD_ERROR_FACTOR * scatter * (1.0 + SMALL_SAMPLE_COUNT / count)
                / count.sqrt()
                / token_difference;
            let deviation = prior * PRIOR_DEVIATION_RATIO;
            let weight = deviation.powi(2) / (deviation.powi(2) + error.powi(2));
            self.ms_per_token = prior + (slope - prior) * weight;
        }
        let base_ms =
            quantile(rows.iter().map(|row| row.1 - self.ms_per_token * row.0), TARGET_QUANTILE);
        self.base_ms = base_ms.clamp(0.0, MAX_BASE_MS);
    }
}

/// Returns a quantile, or 0 if there are no values.
fn quantile(values: impl Iterator<Item = f64>, fraction: f64) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get((values.len() as f64 * fraction) as usize).copied().unwrap_or(0.0)
}

/// Expected prefill of a prompt at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    /// Prompt tokens that the engine has not cached.
    pub tokens: u32,
    /// Time that the engine needs for these tokens once it begins.
    pub own_prefill: Duration,
    /// Time that the engine needs for the prompts that it was sent before.
    pub queued_prefill: Duration,
}

impl Estimate {
    /// Returns the estimate for an engine whose work takes `factor` times as long.
    pub fn scaled(&self, factor: f64) -> Self {
        Estimate {
            tokens: self.tokens,
            own_prefill: self.own_prefill.mul_f64(factor),
            queued_prefill: self.queued_prefill.mul_f64(factor),
        }
    }
}

/// How much slower one engine is than others with the same model; 1 before the first sample.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ratio(f64);

impl Default for Ratio {
    fn default() -> Self {
        Ratio(1.0)
    }
}

impl Ratio {
    /// Returns the factor.
    pub fn get(&self) -> f64 {
        self.0
    }

    /// Returns the factor while the engine's work takes `work_time` of its usual time.
    pub fn scaled(&self, work_time: f64) -> Ratio {
        Ratio(self.0 * work_time)
    }
}

/// Prefill speeds of all models, over all engines.
#[derive(Debug, Clone)]
pub struct Speeds {
    models: HashMap<ModelId, Fit>,
    /// Fit over all models: the initial estimate for a model without samples.
    all_models: Fit,
}

impl Default for Speeds {
    fn default() -> Self {
        Speeds {
            models: HashMap::new(),
            all_models: Fit::new(INITIAL_MS_PER_TOKEN, INITIAL_BASE_MS),
        }
    }
}

impl Speeds {
    fn fit_for(&self, model: Option<&str>) -> &Fit {
        model.and_then(|model| self.models.get(model)).unwrap_or(&self.all_models)
    }

    /// Returns how long an engine takes to prefill so many tokens.
    pub fn prefill_time(&self, model: Option<&str>, ratio: &Ratio, tokens: u32) -> Duration {
        let prefill_ms = self.fit_for(model).ms_per_token * ratio.get() * f64::from(tokens);
        Duration::from_secs_f64(prefill_ms / 1000.0)
    }

    /// Returns the milliseconds per token of each model, for the metrics.
    pub fn rows(&self) -> impl Iterator<Item = (&ModelId, f64)> {
        self.models.iter().map(|(model, model_fit)| (model, model_fit.ms_per_token))
    }

    /// Learns from a first event that came after `took`, less the round trip, where `estimate` was
    /// expected. An event that waited behind other prompts is skipped, as it depends mostly on what
    /// is unknown about those. Learning from it would make each busy engine seem slower than it is,
    /// so that requests would avoid it and overload the next.
    pub fn learn(&mut self, model: &str, ratio: &mut Ratio, estimate: &Estimate, took: Duration) {
        if estimate.queued_prefill > estimate.own_prefill.mul_f64(MAX_QUEUED_RATIO) {
            return;
        }
        let took = took.saturating_sub(estimate.queued_prefill).as_secs_f64() * 1000.0;
        let tokens = f64::from(estimate.tokens);
        let model_fit = self.fit_for(Some(model));
        let step = if took > model_fit.predict_ms(tokens) * ratio.get() {
            TARGET_QUANTILE
        } else {
            TARGET_QUANTILE - 1.0
        } * RATIO_SMOOTHING;
        ratio.0 = (ratio.0 * step.exp()).clamp(MIN_RATIO, MAX_RATIO);
        // Scaled to the time that an engine of average speed would have taken.
        let took = took / ratio.get();
        self.all_models.add(tokens, took, INITIAL_MS_PER_TOKEN);
        let (ms_per_token, base_ms) = (self.all_models.ms_per_token, self.all_models.base_ms);
        let model_fit =
            self.models.entry(model.to_string()).or_insert_with(|| Fit::new(ms_per_token, base_ms));
        model_fit.add(tokens, took, ms_per_token);
    }
}

/// Usual interval between two events of a stream at one engine without prefill: a low quantile of
/// the observed pauses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Interval(f64);

impl Default for Interval {
    /// Zero before the first pause, so that the budget is the whole pause.
    fn default() -> Self {
        Interval(0.0)
    }
}

impl Interval {
    /// Quantile: below the median, as many pauses include the prefill of other prompts.
    const QUANTILE: f64 = 0.3;
    /// Relative change per pause.
    const SMOOTHING: f64 = 0.08;
    /// Shortest pause that counts: events closer together arrived in one packet.
    const MIN_PAUSE: Duration = Duration::from_millis(1);

    /// Returns the interval.
    pub fn get(&self) -> Duration {
        Duration::from_secs_f64(self.0)
    }

    /// Records a pause between two events, and returns whether it counts.
    pub fn record(&mut self, pause: Duration) -> bool {
        if pause < Self::MIN_PAUSE {
            return false;
        }
        if self.0 == 0.0 {
            self.0 = pause.as_secs_f64();
        }
        self.0 *= (Self::step(pause, self.get()) * Self::SMOOTHING).exp();
        true
    }

    /// Returns the direction in which a pause moves an interval; zero on average if the interval is
    /// the quantile.
    pub fn step(pause: Duration, interval: Duration) -> f64 {
        if pause > interval { Self::QUANTILE } else { Self::QUANTILE - 1.0 }
    }
}
