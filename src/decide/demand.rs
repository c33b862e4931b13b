//! Demand for models and adapters over all daemons, kept by the holder of the placement lease.
//!
//! Load pattern: at start-up engines register one after another, and a holder may be lost while
//! demand moves. If models were placed by what the first engine holds, models that are resident on
//! the others would be loaded again; if they were placed only by requests since the take-over,
//! demand for every model would seem to rise from zero and serving replicas would be evicted. So
//! nothing is placed until the set of engines is stable, and each daemon sends a new holder its
//! past counts.

use std::collections::HashMap;
use std::time::Duration;

use crate::decide::trend::Rate;
use crate::decide::trend::Trend;
use crate::table::AdapterId;
use crate::table::ModelId;

/// Concurrent requests assumed for each replica that engines held before the first request.
const PRIOR_REQUESTS_PER_REPLICA: f64 = 10.0;
/// Time that the number of engines must be stable before models are placed: at start-up they
/// register one after another, up to a heartbeat apart, and a model that seems missing is on the
/// next one.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time after its last request for which a model counts as wanted: longer than its load takes and
/// longer than refused callers take to retry.
const WANTED_WINDOW: Duration = Duration::from_secs(15);
/// Time without a request after which a model may lose its last replica. Of the 200 models that were
/// requested on a heavy day, 180 were requested within any 5 s: of the others, each costs at most
/// one reload in that time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Lowest demand, in concurrent requests, assumed for a wanted model without a replica: its callers
/// are few, and each is refused.
const MIN_WANTED_DEMAND: f64 = 0.5;
/// Time constant of the moving count of adapter requests.
const ADAPTER_SMOOTHING_WINDOW: Duration = Duration::from_millis(1_500);

/// Demand for models and adapters.
#[derive(Debug, Default)]
pub struct Demand {
    models: HashMap<ModelId, Trend>,
    /// When counting began; models without an entry had no request since then.
    started_at: Option<Duration>,
    /// Time of the last request for each model.
    last_requested: HashMap<ModelId, Duration>,
    adapters: HashMap<(ModelId, AdapterId), Rate>,
    /// Number of engines that held each model when placement began.
    initial_replicas: HashMap<ModelId, usize>,
    /// Number of registered engines, and when it last changed.
    engine_count: (usize, Duration),
}

impl Demand {
    /// Records requests: for each model the slot time they will take, in milliseconds, and for each
    /// adapter their number.
    pub fn add(
        &mut self,
        now: Duration,
        models: Vec<(ModelId, u32)>,
        adapters: Vec<(ModelId, AdapterId, u32)>,
    ) {
        let started_at = *self.started_at.get_or_insert(now);
        for (model, millis) in models {
            let trend = self.models.entry(model.clone()).or_insert(Trend::new(started_at));
            trend.add(now, f64::from(millis) / 1000.0);
            self.last_requested.insert(model, now);
        }
        for (model, adapter, count) in adapters {
            let empty = Rate::new(now, ADAPTER_SMOOTHING_WINDOW);
            self.adapters.entry((model, adapter)).or_insert(empty).add(now, f64::from(count));
        }
    }

    /// Returns the short-term and long-term counts of the models with the most demand.
    pub fn counts(&self, now: Duration, max_models: usize) -> Vec<(ModelId, f64, f64)> {
        let counts = |(model, trend): (&ModelId, &Trend)| {
            let (short, long) = trend.counts(now);
            (model.clone(), short, long)
        };
        let mut models: Vec<_> = self.models.iter().map(counts).collect();
        models.sort_by(|a, b| b.2.total_cmp(&a.2));
        models.truncate(max_models);
        models
    }

    /// Adds the counts that a daemon kept for the previous holder.
    pub fn merge(&mut self, now: Duration, models: Vec<(ModelId, f64, f64)>) {
        for (model, short, long) in models {
            let trend = self.models.entry(model).or_insert(Trend::new(now));
            trend.merge(now, short, long);
        }
    }

    /// Returns the expected number of concurrent requests for a model.
    pub fn expected(&self, now: Duration, model: &str) -> f64 {
        match self.models.get(model) {
            Some(trend) => trend.forecast(now),
            None => self.prior(model),
        }
    }

    /// Returns the expected number of concurrent requests for a model that no engine holds, or
    /// `None` without a recent request.
    pub fn wanted(&self, now: Duration, model: &str) -> Option<f64> {
        let requested_at = self.last_requested.get(model)?;
        (now < *requested_at + WANTED_WINDOW)
            .then(|| self.expected(now, model).max(MIN_WANTED_DEMAND))
    }

    /// Returns whether a model has not been requested for a while. A new holder of the lease does not
    /// know that before it has counted for as long.
    pub fn is_idle(&self, now: Duration, model: &str) -> bool {
        let since = self.last_requested.get(model).copied().max(self.started_at);
        since.is_some_and(|since| now >= since + IDLE_TIMEOUT)
    }

    /// Returns the decayed number of recent requests for an adapter.
    pub fn adapter_count(&self, now: Duration, model: &str, adapter: &str) -> f64 {
        self.adapter_counter(model, adapter).map_or(0.0, |rate| rate.value(now))
    }

    /// Returns the requests per second for an adapter.
    pub fn adapter_rate(&self, now: Duration, model: &str, adapter: &str) -> f64 {
        self.adapter_counter(model, adapter).map_or(0.0, |rate| rate.per_second(now))
    }

    fn adapter_counter(&self, model: &str, adapter: &str) -> Option<&Rate> {
        self.adapters.get(&(model.to_string(), adapter.to_string()))
    }

    /// Returns whether any request was recorded.
    pub fn has_requests(&self) -> bool {
        !self.models.is_empty()
    }

    /// Returns whether the number of engines is stable. `resident` names the models of each engine.
    pub fn is_settled<'a>(
        &mut self,
        now: Duration,
        engines: usize,
        resident: impl Iterator<Item = &'a ModelId>,
    ) -> bool {
        if self.engine_count.0 != engines {
            self.engine_count = (engines, now);
            if !self.has_requests() {
                self.initial_replicas.clear();
            }
        }
        if engines == 0 || (now < self.engine_count.1 + SETTLE_TIME && !self.has_requests()) {
            return false;
        }
        if self.initial_replicas.is_empty() {
            for model in resident {
                *self.initial_replicas.entry(model.clone()).or_default() += 1;
            }
        }
        true
    }

    /// Returns the assumed demand before the first request: models that many engines hold are taken
    /// for the busy ones, and the others go where those leave memory, one on each engine.
    fn prior(&self, model: &str) -> f64 {
        if self.has_requests() {
            return 0.0;
        }
        PRIOR_REQUESTS_PER_REPLICA * self.initial_replicas.get(model).copied().unwrap_or(0) as f64
    }
}
