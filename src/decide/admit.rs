//! Admission: how many requests an endpoint can take now, how long a request will run, and whether
//! it can end before its deadline.
//!
//! Load pattern: arrivals exceed the capacity of the accelerators, in bursts or for a long time.
//! Without this module every request waits slightly too long, accelerators work on answers that
//! arrive late, and the share of answers on time falls towards zero while all accelerators are
//! busy.
//!
//! * `Limit` bounds the requests that this entry keeps at one endpoint. Load reports lag and
//!   several entries share an endpoint, so the limit follows what this entry observes: it grows
//!   while answers start without delay and shrinks when the endpoint reports waiting requests.
//!   An endpoint that is new or back from an ejection is bounded by `decide::pace` instead.
//!   Requests should wait in the entry, where they can still be reordered or refused. The
//!   endpoint's own queue should hold only about `MAX_WAITING_RATIO` of its running requests, which
//!   is enough to refill a free slot within the one round trip that the entry needs.
//! * `Timing` holds moving averages, over about `1 / SMOOTHING` requests, of the time to the first
//!   byte and between tokens. A shorter average follows single long prompts; a longer one lags
//!   behind a batch that fills in seconds.
//! * `Lengths` estimates how many of the requested tokens a service's requests use, since callers
//!   request a maximum and use less. It keeps a mean and a standard deviation for each service. The
//!   feasibility check adds `FEASIBILITY_DEVIATIONS` of them: none, because adding half a deviation
//!   refused requests that would have ended early.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::table::ServiceId;

/// Initial limit for an endpoint without observations, if none of its service's endpoints has any.
const INITIAL_LIMIT: f64 = 4.0;
/// A larger limit for one entry at one endpoint indicates a fault, not load.
const MAX_LIMIT: f64 = 256.0;
/// Factor of a decrease: four entries that decrease at the same time leave an endpoint of 32
/// requests with 27.
const DECREASE_FACTOR: f64 = 0.85;
/// Minimum time between two decreases, so that one queue at the endpoint counts once.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(500);
/// Ratio of waiting to running requests at an endpoint up to which it isn't congested.
const MAX_WAITING_RATIO: f64 = 0.2;
/// Multiple of the usual time to the first byte above which the endpoint is congested when it
/// reports no load.
const SLOW_FIRST_BYTE_RATIO: f64 = 2.5;
/// Weight of a new observation in a moving average.
const SMOOTHING: f64 = 0.1;
/// Prompt tokens that take as long as the fixed part of a call, for comparing first bytes over
/// prompts of different lengths.
const FIXED_PROMPT_TOKENS: f64 = 256.0;
/// Completed requests after which a service's own statistics are used.
const MIN_SAMPLES: u32 = 8;
/// Standard deviations added to the mean length for the feasibility check while other requests
/// wait.
pub const FEASIBILITY_DEVIATIONS: f64 = 0.0;
/// Standard deviations added to the mean length when no other request waits: with free slots an
/// attempt costs nobody anything, so only hopeless requests are refused.
pub const LOWER_BOUND_DEVIATIONS: f64 = -2.0;

/// Number of requests that this entry keeps at one endpoint.
#[derive(Debug, Clone)]
pub struct Limit {
    /// At least 1.
    value: f64,
    /// Whether the limit doubles each round instead of rising by one; until the first decrease.
    slow_start: bool,
    last_decrease: Option<Duration>,
}

impl Default for Limit {
    fn default() -> Self {
        Limit { value: INITIAL_LIMIT, slow_start: true, last_decrease: None }
    }
}

impl Limit {
    /// Returns the number of requests that may run there at the same time.
    pub fn slots(&self) -> u32 {
        self.value as u32
    }

    /// Records an answer that started without delay while `running` requests were there.
    pub fn increase(&mut self, running: u32) {
        // An unused limit says nothing about the endpoint; raising it would admit a later burst
        // unchecked.
        if f64::from(running) + 1.0 < self.value {
            return;
        }
        let step = if self.slow_start { 1.0 } else { 1.0 / self.value };
        self.value = (self.value + step).min(MAX_LIMIT);
    }

    /// Records that the endpoint has more requests than it can start.
    pub fn decrease(&mut self, now: Duration) {
        if self.last_decrease.is_some_and(|last| now < last + MIN_DECREASE_INTERVAL) {
            return;
        }
        self.last_decrease = Some(now);
        self.slow_start = false;
        self.value = (self.value * DECREASE_FACTOR).max(1.0);
    }
}

/// Returns whether so many requests wait at an endpoint that its limit must decrease.
pub fn congested(running: u32, waiting: u32) -> bool {
    f64::from(waiting) > (MAX_WAITING_RATIO * f64::from(running)).max(1.0)
}

/// Speed of an endpoint as observed by this entry.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Seconds between tokens.
    pub seconds_per_token: f64,
    /// Seconds to the first byte for each token of the prompt and of the fixed part.
    pub seconds_per_prompt_token: f64,
    /// Number of observations of either kind.
    pub samples: u32,
}

impl Default for Timing {
    fn default() -> Self {
        Timing { seconds_per_token: 0.03, seconds_per_prompt_token: 0.0004, samples: 0 }
    }
}

impl Timing {
    /// Records the first byte, `elapsed` after dispatch. Returns false if it was late compared to
    /// the endpoint's own average.
    pub fn on_first_byte(&mut self, prompt: u32, elapsed: Duration) -> bool {
        let sample = elapsed.as_secs_f64() / (f64::from(prompt) + FIXED_PROMPT_TOKENS);
        let previous = self.seconds_per_prompt_token;
        self.seconds_per_prompt_token = self.average(self.seconds_per_prompt_token, sample);
        self.samples < 8 || sample <= previous * SLOW_FIRST_BYTE_RATIO
    }

    /// Records `tokens` that arrived within `duration`.
    pub fn on_tokens(&mut self, tokens: u32, duration: Duration) {
        if tokens > 0 {
            let observed = duration.as_secs_f64() / f64::from(tokens);
            self.seconds_per_token = self.average(self.seconds_per_token, observed);
        }
    }

    fn average(&mut self, old: f64, new: f64) -> f64 {
        self.samples = self.samples.saturating_add(1);
        let weight = SMOOTHING.max(1.0 / f64::from(self.samples));
        old + weight * (new - old)
    }

    /// Returns the seconds to the first byte.
    pub fn first_byte_seconds(&self, prompt: f64) -> f64 {
        (prompt + FIXED_PROMPT_TOKENS) * self.seconds_per_prompt_token
    }

    /// Returns the seconds for which a request runs at the endpoint.
    pub fn run_seconds(&self, prompt: f64, tokens: f64) -> f64 {
        self.first_byte_seconds(prompt) + tokens * self.seconds_per_token
    }
}

/// Ratio of used to requested tokens for each service.
#[derive(Debug, Clone, Default)]
pub struct Lengths {
    services: BTreeMap<ServiceId, Length>,
    /// Statistics over all services; used for a service with too few observations.
    all: Length,
}

#[derive(Debug, Clone)]
struct Length {
    mean: f64,
    mean_square: f64,
    samples: u32,
}

impl Default for Length {
    /// Returns the initial estimate: half of the requested tokens, with a deviation of the same
    /// size.
    fn default() -> Self {
        Length { mean: 0.5, mean_square: 0.5, samples: 0 }
    }
}

impl Length {
    fn add(&mut self, ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (SMOOTHING / 2.0).max(1.0 / f64::from(self.samples));
        self.mean += weight * (ratio - self.mean);
        self.mean_square += weight * (ratio * ratio - self.mean_square);
    }

    fn estimate(&self, deviations: f64) -> f64 {
        let deviation = (self.mean_square - self.mean * self.mean).max(0.0).sqrt();
        (self.mean + deviations * deviation).clamp(0.05, 1.0)
    }
}

impl Lengths {
    /// Records that a request for `requested` tokens ended after `used_tokens`.
    pub fn record(&mut self, service: &ServiceId, requested: u32, used_tokens: u64) {
        if requested == 0 {
            return;
        }
        let ratio = (used_tokens as f64 / f64::from(requested)).min(1.0);
        self.all.add(ratio);
        match self.services.get_mut(service) {
            Some(length) => length.add(ratio),
            None => {
                let mut length = Length::default();
                length.add(ratio);
                self.services.insert(service.clone(), length);
            }
        }
    }

    /// Returns the expected number of tokens of a request, `deviations` standard deviations above
    /// the mean.
    pub fn tokens(&self, service: &ServiceId, requested: u32, deviations: f64) -> f64 {
        let known = self.services.get(service).filter(|length| length.samples >= MIN_SAMPLES);
        known.unwrap_or(&self.all).estimate(deviations) * f64::from(requested)
    }
}
