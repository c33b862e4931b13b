//! The weight store: how long a load takes while others are under way.

use std::sync::Mutex;
use std::time::Duration;

/// Models that load at full speed at once.
const MODELS: u32 = 7;

/// Adapters that load at full speed at once.
const ADAPTERS: u32 = 56;

/// The weight store that engines load from; shared by the engines of one process.
#[derive(Debug)]
pub struct Weights {
    /// How long a model takes at full speed.
    model: Duration,
    /// How long an adapter takes at full speed.
    adapter: Duration,
    /// Factor on all loads, for a slow store.
    slow: Mutex<u32>,
    flying: Mutex<Flying>,
}

/// Loads under way, and the most there ever were.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flying {
    /// Models.
    pub models: u32,
    /// Adapters.
    pub adapters: u32,
    /// The most models at once.
    pub models_peak: u32,
    /// The most adapters at once.
    pub adapters_peak: u32,
    /// Loads begun, of models and adapters.
    pub begun: u64,
}

impl Weights {
    /// A store with these times at full speed.
    pub fn new(model: Duration, adapter: Duration) -> Self {
        Weights { model, adapter, slow: Mutex::new(1), flying: Mutex::default() }
    }

    /// Makes every load take `factor` times as long.
    pub fn slow(&self, factor: u32) {
        *self.slow.lock().expect("weight store") = factor.max(1);
    }

    /// What is under way.
    pub fn flying(&self) -> Flying {
        *self.flying.lock().expect("weight store")
    }

    /// Begins a load; its time rises in proportion beyond what goes at full speed.
    pub fn begin(&self, adapter: bool) -> Duration {
        let slow = *self.slow.lock().expect("weight store");
        let mut flying = self.flying.lock().expect("weight store");
        flying.begun += 1;
        let (time, count, full) = if adapter {
            flying.adapters += 1;
            flying.adapters_peak = flying.adapters_peak.max(flying.adapters);
            (self.adapter, flying.adapters, ADAPTERS)
        } else {
            flying.models += 1;
            flying.models_peak = flying.models_peak.max(flying.models);
            (self.model, flying.models, MODELS)
        };
        time * slow * count.max(full) / full
    }

    /// Ends a load.
    pub fn end(&self, adapter: bool) {
        let mut flying = self.flying.lock().expect("weight store");
        let count = if adapter { &mut flying.adapters } else { &mut flying.models };
        *count = count.saturating_sub(1);
    }
}
