//! Demand for a model, and its forecast.
//!
//! Load pattern: demand moves from one model to another within seconds, and loading a model takes
//! as long. A placement that follows past demand is always late by one load. Extrapolating the
//! slope of demand starts the load while the existing replicas still suffice.

use std::time::Duration;

/// Windows over which demand is smoothed; the difference of the two gives its slope. They are short
/// enough to show a shift in its first seconds, long enough that a pause of one caller changes
/// little.
const SHORT_WINDOW: Duration = Duration::from_millis(1_200);
const LONG_WINDOW: Duration = Duration::from_millis(3_600);
/// Forecast horizon: half of the time that it takes to unload a model and load another from the
/// store. Of the demand of a fleet that shifts (tests/decide_shift) 0.885 finds capacity at 3.5 s,
/// 0.892 at 5 s, 0.886 at 6 s.
const FORECAST_HORIZON: Duration = Duration::from_millis(5_000);
/// Time before the first count during which the counted requests arrived.
const COUNTING_INTERVAL: Duration = Duration::from_millis(250);
/// Largest growth factor that the forecast assumes.
const MAX_GROWTH_FACTOR: f64 = 3.0;

/// An exponentially decaying count.
#[derive(Debug, Clone, Copy)]
pub struct Rate {
    count: f64,
    updated_at: Duration,
    window: Duration,
}

impl Rate {
    /// Creates an empty count.
    pub fn new(updated_at: Duration, window: Duration) -> Self {
        Rate { count: 0.0, updated_at, window }
    }

    /// Returns the count, decayed until `now`.
    pub fn value(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.count * (-age / self.window.as_secs_f64()).exp()
    }

    /// Returns the count per second.
    pub fn per_second(&self, now: Duration) -> f64 {
        self.value(now) / self.window.as_secs_f64()
    }

    /// Adds to the count.
    pub fn add(&mut self, now: Duration, count: f64) {
        self.count = self.value(now) + count;
        self.updated_at = now;
    }
}

/// Demand for a model, smoothed over a short and a long window.
#[derive(Debug, Clone, Copy)]
pub struct Trend {
    short: Rate,
    long: Rate,
    /// When counting began.
    started_at: Duration,
}

impl Trend {
    /// Creates a trend without any demand.
    pub fn new(start: Duration) -> Self {
        Trend {
            short: Rate::new(start, SHORT_WINDOW),
            long: Rate::new(start, LONG_WINDOW),
            started_at: start,
        }
    }

    /// Adds demand.
    pub fn add(&mut self, now: Duration, count: f64) {
        self.short.add(now, count);
        self.long.add(now, count);
    }

    /// Returns the counts over the short and the long window.
    pub fn counts(&self, now: Duration) -> (f64, f64) {
        (self.short.value(now), self.long.value(now))
    }

    /// Adds counts of another daemon, which are taken to have run for both windows.
    pub fn merge(&mut self, now: Duration, short: f64, long: f64) {
        self.started_at = Duration::ZERO;
        self.short.add(now, short);
        self.long.add(now, long);
    }

    /// Returns the expected demand per second at the end of a load that begins now, if the slope of
    /// demand stays the same.
    pub fn forecast(&self, now: Duration) -> f64 {
        let age = (now.saturating_sub(self.started_at) + COUNTING_INTERVAL).as_secs_f64();
        // A count that has just begun covers less than its window. Without this correction all
        // demand would seem to rise in the first seconds and cause needless loads.
        let corrected =
            |rate: &Rate| rate.per_second(now) / (1.0 - (-age / rate.window.as_secs_f64()).exp());
        let (short, long) = (corrected(&self.short), corrected(&self.long));
        let slope = (short - long) / (LONG_WINDOW - SHORT_WINDOW).as_secs_f64();
        let expected = short + slope * FORECAST_HORIZON.as_secs_f64();
        expected.clamp(0.0, short * MAX_GROWTH_FACTOR + 1.0)
    }
}
