//! Circuit breaker and token bucket that bound the calls of a process to the platform.
//!
//! Load pattern: the platform is down, slow or flapping for minutes while hundreds of processes
//! keep calling it, then recovers while all of them wait. Without the breaker each call blocks a
//! request for a whole timeout. Without jitter all processes probe at the same moment. Without
//! clearing the bucket each process sends its accumulated burst as soon as one probe succeeds.
//!
//! Five consecutive failures are not explained by lost packets alone. The initial wait of 250 ms is
//! short compared to the seconds within which a configuration must be in force. With the maximum
//! wait of 5 s, 420 processes together probe less than 100 times a second.

use std::time::Duration;

use rand::Rng;

/// Settings of a breaker.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Consecutive failures that open the breaker; at least 1.
    pub max_failures: u32,
    /// Initial wait before a probe.
    pub initial_wait: Duration,
    /// Maximum wait before a probe.
    pub max_wait: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            max_failures: 5,
            initial_wait: Duration::from_millis(250),
            max_wait: Duration::from_secs(5),
        }
    }
}

/// Permit for one call, returned to the breaker with the call's result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// A regular call while the breaker is closed.
    Call,
    /// The single call that checks whether the platform has recovered.
    Probe,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Calls are permitted; this many consecutive calls have failed.
    Closed(u32),
    /// No call is permitted until this time.
    Open(Duration),
    /// One probe is in flight.
    HalfOpen,
}

/// Circuit breaker.
#[derive(Debug, Clone)]
pub struct Breaker {
    settings: Settings,
    state: State,
    /// Next wait, before jitter; doubles with each failed probe.
    next_wait: Duration,
}

impl Breaker {
    /// Returns a closed breaker.
    pub fn new(settings: Settings) -> Self {
        Breaker { settings, state: State::Closed(0), next_wait: settings.initial_wait }
    }

    /// Returns whether calls are permitted without a probe.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed(_))
    }

    /// Returns a permit for one call, or the time after which to ask again.
    pub fn acquire(&mut self, now: Duration) -> Result<Permit, Duration> {
        match self.state {
            State::Closed(_) => Ok(Permit::Call),
            State::Open(until) if now < until => Err(until - now),
            State::Open(_) => {
                self.state = State::HalfOpen;
                Ok(Permit::Probe)
            }
            State::HalfOpen => Err(self.settings.initial_wait),
        }
    }

    /// Records a successful call. Returns true if this closed the breaker.
    pub fn on_success(&mut self, permit: Permit) -> bool {
        match (self.state, permit) {
            (State::Closed(_), _) => {
                self.state = State::Closed(0);
                false
            }
            (_, Permit::Probe) => {
                self.state = State::Closed(0);
                self.next_wait = self.settings.initial_wait;
                true
            }
            // A call from before the breaker opened says nothing about the platform's present
            // state.
            (_, Permit::Call) => false,
        }
    }

    /// Records a failed call. Returns true if this opened the breaker.
    pub fn on_failure(&mut self, permit: Permit, now: Duration, rng: &mut impl Rng) -> bool {
        match (self.state, permit) {
            (State::Closed(failed_calls), _) if failed_calls + 1 < self.settings.max_failures => {
                self.state = State::Closed(failed_calls + 1);
                false
            }
            (State::Closed(_), _) => {
                self.open(now, rng);
                true
            }
            (State::HalfOpen, Permit::Probe) => {
                self.open(now, rng);
                false
            }
            (State::HalfOpen | State::Open(_), _) => false,
        }
    }

    /// Records that the caller cancelled the call before an answer. Another probe is permitted at
    /// once.
    pub fn on_cancelled(&mut self, permit: Permit, now: Duration) {
        if permit == Permit::Probe && matches!(self.state, State::HalfOpen) {
            self.state = State::Open(now);
        }
    }

    fn open(&mut self, now: Duration, rng: &mut impl Rng) {
        let wait = self.next_wait.mul_f64(rng.random_range(0.5..1.5));
        self.state = State::Open(now + wait);
        self.next_wait = (self.next_wait * 2).min(self.settings.max_wait);
    }
}

/// Token bucket that bounds the calls of a process.
#[derive(Debug, Clone)]
pub struct Bucket {
    /// Tokens a second; above 0.
    rate: f64,
    /// Maximum number of tokens; at least 1.
    burst: f64,
    /// Number of tokens at `updated_at`; at most `burst`.
    tokens: f64,
    updated_at: Duration,
    /// No token is issued before this time.
    blocked_until: Duration,
}

impl Bucket {
    /// Returns a full bucket.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        let updated_at = Duration::ZERO;
        Bucket {
            rate: rate.max(0.001),
            burst,
            tokens: burst,
            updated_at,
            blocked_until: updated_at,
        }
    }

    /// Takes one token, or returns the time until one is available.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        let elapsed = now.saturating_sub(self.updated_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
        self.updated_at = now.max(self.updated_at);
        if now < self.blocked_until {
            return Err(self.blocked_until - now);
        }
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// Removes all tokens, so that calls after an outage follow the rate without a burst.
    pub fn clear(&mut self, now: Duration) {
        self.tokens = 0.0;
        self.updated_at = now.max(self.updated_at);
    }

    /// Issues no token for `wait`, after the platform answered that it is called too often.
    ///
    /// Jitter spreads the processes that were refused at the same time.
    pub fn block(&mut self, now: Duration, wait: Duration, rng: &mut impl Rng) {
        let until = now + wait.mul_f64(rng.random_range(1.0..1.5));
        self.blocked_until = self.blocked_until.max(until);
        self.clear(now);
    }
}
