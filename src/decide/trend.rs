//! How much something is asked for, and where that goes.
//!
//! Load pattern: demand moves from one model to another within seconds, and a load takes as long.
//! Placement that follows what was asked for is always late by one load; looking ahead by the slope
//! of demand begins it while the old copies still suffice.

use std::time::Duration;

/// Over how long demand is smoothed: the difference of the two shows where it goes. Short enough to
/// see a shift in its first seconds, long enough that a pause of one caller moves nothing.
const SHORT: Duration = Duration::from_millis(1_200);
const LONG: Duration = Duration::from_millis(3_600);
/// How far ahead the plan looks: about what a load takes, with what has to go first.
const AHEAD: Duration = Duration::from_millis(3_500);
/// The most that demand is taken to grow meanwhile.
const AHEAD_MOST: f64 = 3.0;

/// A decaying count.
#[derive(Debug, Clone, Copy)]
pub struct Rate {
    count: f64,
    at: Duration,
    span: Duration,
}

impl Rate {
    /// Nothing counted yet.
    pub fn new(at: Duration, span: Duration) -> Self {
        Rate { count: 0.0, at, span }
    }

    /// The count as it has decayed by `now`.
    pub fn now(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.count * (-age / self.span.as_secs_f64()).exp()
    }

    /// By the second.
    pub fn rate(&self, now: Duration) -> f64 {
        self.now(now) / self.span.as_secs_f64()
    }

    /// Counts so many more.
    pub fn add(&mut self, now: Duration, count: f64) {
        self.count = self.now(now) + count;
        self.at = now;
    }
}

/// What a model is asked for, over a short and a long time.
#[derive(Debug, Clone, Copy)]
pub struct Trend {
    short: Rate,
    long: Rate,
}

impl Trend {
    /// Nothing asked for yet.
    pub fn new(at: Duration) -> Self {
        Trend { short: Rate::new(at, SHORT), long: Rate::new(at, LONG) }
    }

    /// So much more was asked for.
    pub fn add(&mut self, now: Duration, count: f64) {
        self.short.add(now, count);
        self.long.add(now, count);
    }

    /// What is counted now, over the short and the long time.
    pub fn counts(&self, now: Duration) -> (f64, f64) {
        (self.short.now(now), self.long.now(now))
    }

    /// Adds what was counted elsewhere.
    pub fn merge(&mut self, now: Duration, short: f64, long: f64) {
        self.short.add(now, short);
        self.long.add(now, long);
    }

    /// What will be asked for when a load that begins now is over, if demand goes on as it does.
    pub fn ahead(&self, now: Duration) -> f64 {
        let (short, long) = (self.short.rate(now), self.long.rate(now));
        let slope = (short - long) / (LONG - SHORT).as_secs_f64();
        let ahead = short + slope * AHEAD.as_secs_f64();
        ahead.clamp(0.0, short * AHEAD_MOST + 1.0)
    }
}
