//! Outliers: ejects endpoints that fail or are much slower than the others.
//!
//! Load pattern: one endpoint refuses every request at once, or answers ten times more slowly than
//! the others. Without this module the first appears idle and attracts all load, and the second
//! delays its requests past their deadlines.
//!
//! After `MAX_CONSECUTIVE_FAILURES` consecutive failures, or one broken connection, an endpoint is
//! ejected for `MIN_EJECTION`, doubled each time up to `MAX_EJECTION`. An endpoint is also ejected
//! if its times between tokens or to the first byte exceed `SLOW_RATIO` times the median. After the
//! ejection an endpoint that failed receives one request, whose outcome decides whether it is used.
//! With more than one, the requests that wait for it would all fail if it is still down. One that
//! was slow is known to answer and is used at once. `decide::pace` then bounds the requests at
//! either until its answers are in time.
//! Slow and failing endpoints together are never more than `MAX_EJECTED_RATIO` of all: beyond that
//! the fault is a common one, and the others would collapse under the load of the ejected ones.
//! Unreachable endpoints can't be used and don't count towards the cap. If all endpoints that have
//! a model resident are ejected, they are used nevertheless, because a slow answer is better than
//! none.
//!
//! `MIN_EJECTION` is about the duration of a restart. `SLOW_RATIO` is above the ratio of a full
//! batch to an empty one, which is about two and a half.

use std::time::Duration;

/// Consecutive failures after which an endpoint is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Duration of the first ejection.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Multiple of the median above which an endpoint is slow.
const SLOW_RATIO: f64 = 4.0;
/// Maximum ratio of endpoints ejected as slow or failing.
const MAX_EJECTED_RATIO: f64 = 0.3;
/// Observations before an endpoint's speed is compared.
pub const MIN_SAMPLES: u32 = 8;

/// Why an endpoint is ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It can't be reached, or broke a connection.
    Unreachable,
    /// It failed requests.
    Failing,
    /// It is much slower than the others.
    Slow,
}

/// State of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It takes work.
    In,
    /// It is ejected and takes no work until this time.
    Out(Duration),
    /// It takes one request, whose outcome decides.
    Probe,
}

/// Health of one endpoint.
#[derive(Debug, Clone)]
pub struct Health {
    state: State,
    /// Whether one request decides after the ejection.
    is_probed: bool,
    consecutive_failures: u32,
    /// Ejections since the last hundred successful answers.
    ejections: u32,
    successes: u32,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            state: State::In,
            is_probed: false,
            consecutive_failures: 0,
            ejections: 0,
            successes: 0,
        }
    }
}

impl Health {
    /// Returns the state at `now`.
    pub fn state(&self, now: Duration) -> State {
        match self.state {
            State::Out(until) if until <= now && self.is_probed => State::Probe,
            State::Out(until) if until <= now => State::In,
            state => state,
        }
    }

    /// Records a successful answer. Returns true if it ends a probe.
    pub fn on_success(&mut self, now: Duration) -> bool {
        self.consecutive_failures = 0;
        self.successes += 1;
        if self.successes >= 100 {
            (self.successes, self.ejections) = (0, 0);
        }
        let probed = self.state(now) == State::Probe;
        if probed {
            self.state = State::In;
        }
        probed
    }

    /// Records a failed call. Returns true if the endpoint should be ejected, subject to the cap.
    pub fn on_failure(&mut self, now: Duration) -> bool {
        self.consecutive_failures += 1;
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES || self.state(now) == State::Probe
    }

    /// Returns whether more than one request in a row has failed.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures > 1
    }

    /// Ejects the endpoint. Returns the end of the ejection, or none if it is ejected already.
    pub fn eject(&mut self, now: Duration, cause: Cause) -> Option<Duration> {
        if matches!(self.state(now), State::Out(_)) {
            return None;
        }
        let duration = MIN_EJECTION.saturating_mul(1 << self.ejections.min(6)).min(MAX_EJECTION);
        self.state = State::Out(now + duration);
        self.is_probed = cause != Cause::Slow;
        self.ejections += 1;
        self.successes = 0;
        self.consecutive_failures = 0;
        Some(now + duration)
    }
}

/// Returns whether another of `total` endpoints may be ejected when `ejected` already are.
pub fn may_eject(ejected: usize, total: usize) -> bool {
    ejected < ((total as f64 * MAX_EJECTED_RATIO) as usize).max(usize::from(total > 1))
}

/// Returns whether a value is far above the median.
pub fn is_slow(value: f64, median: f64) -> bool {
    median > 0.0 && value > median * SLOW_RATIO
}

/// Returns the median, or 0 if there are no values.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
