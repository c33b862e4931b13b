//! State of one engine as the placer tracks it, and the next order for it.
//!
//! Engines carry out one order for a model at a time, hold few adapters, and crash when they are
//! ordered to load more than fits. Their reports lag, so the tracked state is the last report plus
//! the orders accepted since. A model that is to replace others is a target that stays in force
//! until it is resident: planned anew between the steps, the replacement would be undone half way.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::decide::spread::Host;
use crate::edge::dialect::Acknowledgement;
use crate::edge::dialect::Action;
use crate::table::AdapterId;
use crate::table::ModelId;
use crate::table::RegionId;
use crate::table::ServiceId;
use crate::table::instance::Copies;
use crate::table::instance::Key;
use crate::table::instance::Report;
use crate::table::instance::Residency;
use crate::table::instance::Resident;
use crate::table::instance::is_resident;
use crate::table::routing::Engines;
use crate::table::routing::Model;

/// Decayed number of recent requests for an adapter, over the smoothing window of `Demand`, below
/// which no stream uses it any more.
const UNUSED_MAX_COUNT: f64 = 0.3;
/// Decayed number of recent requests above which an adapter replaces another one that is in use.
const REPLACING_MIN_COUNT: f64 = 2.0;
/// Time for which an adapter stays after its load: daemons are told of it, and the requests that
/// wait for it reach the engine, from another region too. Otherwise an engine with more requested
/// adapters than places would replace each of them before its callers come.
const MIN_ADAPTER_RESIDENCE: Duration = Duration::from_millis(500);
/// Interval at which an unchanged state is sent again, for daemons that missed it.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(6);
/// `ANNOUNCE_INTERVAL` while something is loading or unloading: the entry that the engine
/// registered, to which daemons fall back after 2.5 s, still names the model that is being
/// unloaded.
const BUSY_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time within which an update reaches all daemons.
const PROPAGATION_TIME: Duration = Duration::from_millis(40);
/// Interval between polls of an engine whose load takes longer than expected.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which the known state of an engine counts as valid without a new report: an order of an
/// earlier holder may have been carried out late. The fleet's records do not show that, as they
/// contain what this placer announced.
pub const STATE_VALIDITY: Duration = Duration::from_secs(3);
/// Maximum age of the state in a report.
pub const MAX_REPORT_LAG: Duration = Duration::from_millis(230);
/// Delay before an engine gets the next order after it did not accept one.
const RETRY_DELAY: Duration = Duration::from_millis(120);
/// Expected duration of an unload that waits for streams: half of the longest stream.
const UNLOAD_TIME: Duration = Duration::from_millis(1_500);

/// The placer's state of one engine.
#[derive(Debug, Clone)]
pub struct Tracker {
    /// The service that it belongs to: it runs requests of no other one.
    pub service: ServiceId,
    /// Number of orders that it has accepted; `None` before its first report.
    pub accepted_orders: Option<u64>,
    /// Models and adapters that are resident.
    pub resident: Vec<Resident>,
    /// Number of adapters that were loading at its last report.
    pub loading_adapters: usize,
    /// Weights in the host's memory and on its disk.
    pub copies: Copies,
    /// The model to be loaded, until it is resident.
    pub target: Option<Target>,
    /// Whether the evicted models of the target are served elsewhere too, so that daemons send no
    /// more requests for them here.
    pub draining: bool,
    /// Whether an order is waiting for its answer.
    pub order_pending: bool,
    /// When the engine is polled next, if it is loading or unloading.
    pub next_poll: Option<Duration>,
    /// When the current order for a model is expected to be done.
    pub busy_until: Duration,
    /// Earliest time of the next order.
    pub retry_at: Duration,
    /// Until when it gets no order, as late orders would not fit beside it.
    pub held_until: Duration,
    /// Adapters to load.
    pub wanted_adapters: VecDeque<(ModelId, AdapterId)>,
    /// When adapters became resident that were loaded a short while ago.
    pub adapters_loaded_at: HashMap<(ModelId, AdapterId), Duration>,
    /// Adapters that were ordered to unload while they were in use.
    pub unloading_adapters: Vec<(ModelId, AdapterId)>,
    /// When a report or an accepted order last changed this state.
    pub changed_at: Duration,
    /// The state last sent to daemons, and when it was sent to the last of them.
    pub last_sent: Option<(Residency, Duration)>,
    /// Number of requests at once that its limit allows, if that is only a small part of its slots.
    pub max_load: Option<f64>,
}

/// A model that is to replace others on an engine.
#[derive(Debug, Clone)]
pub struct Target {
    /// The model.
    pub model: ModelId,
    /// Models to unload first.
    pub evicted: Vec<ModelId>,
    /// When the target was set.
    pub set_at: Duration,
    /// Whether the engine accepted the load.
    pub load_accepted: bool,
    /// Number of orders that the engine had accepted, the load included.
    pub accepted_orders: u64,
}

/// An order to send.
#[derive(Debug, Clone, PartialEq)]
pub struct Task {
    /// Load or unload.
    pub action: Action,
    /// The model.
    pub model: ModelId,
    /// The adapter; `None` for the model itself.
    pub adapter: Option<AdapterId>,
}

impl Tracker {
    /// Creates the state of an engine that has only registered. No order is due before its first
    /// report.
    pub fn new(now: Duration, resident: Vec<Resident>, copies: Copies) -> Self {
        Tracker {
            service: ServiceId::default(),
            accepted_orders: None,
            resident,
            loading_adapters: 0,
            copies,
            target: None,
            draining: false,
            order_pending: false,
            next_poll: Some(now),
            busy_until: now,
            retry_at: now,
            held_until: Duration::ZERO,
            wanted_adapters: VecDeque::new(),
            adapters_loaded_at: HashMap::new(),
            unloading_adapters: Vec::new(),
            changed_at: now,
            last_sent: None,
            max_load: None,
        }
    }

    /// Returns the state to send to daemons.
    pub fn announcement(&self, now: Duration) -> Residency {
        Residency {
            orders: self.accepted_orders.unwrap_or(0),
            resident: self.serving(),
            busy: self.busy_for(now).as_millis() as u32,
        }
    }

    /// Returns the state to send to daemons, or `None` if the same was sent recently: with many
    /// engines and daemons most updates would repeat the last one, and the holder of the lease
    /// would send little else.
    pub fn update_due(&self, now: Duration) -> Option<Residency> {
        let announcement = self.announcement(now);
        let interval = if self.target.is_some() || self.next_poll.is_some() {
            BUSY_ANNOUNCE_INTERVAL
        } else {
            ANNOUNCE_INTERVAL
        };
        let is_unchanged = self.last_sent.as_ref().is_some_and(|(sent, sent_at)| {
            let same_busy_state = (sent.busy == 0) == (announcement.busy == 0);
            same_busy_state && sent.resident == announcement.resident && now < *sent_at + interval
        });
        (!is_unchanged).then_some(announcement)
    }

    /// Returns whether the update without the evicted models has reached all daemons: requests that
    /// they send for a model after its unload are refused.
    pub fn eviction_announced(&self, now: Duration) -> bool {
        let mut evicted = self.target.iter().flat_map(|target| &target.evicted);
        self.last_sent.as_ref().is_some_and(|(sent, sent_at)| {
            now >= *sent_at + PROPAGATION_TIME
                && !evicted.any(|evicted_model| is_resident(&sent.resident, evicted_model, None))
        })
    }

    /// Applies a report, and returns whether it has changed the state.
    pub fn on_report(&mut self, now: Duration, report: Report) -> bool {
        // Reports lag behind: an older one does not include the last order yet.
        let is_outdated = self.accepted_orders.is_some_and(|orders| report.orders < orders);
        if is_outdated && now < self.changed_at + STATE_VALIDITY {
            self.next_poll = Some(now + POLL_INTERVAL);
            return self.merge_models(&report);
        }
        self.merge_report(now, report);
        true
    }

    /// Applies only the models of a report that is older than the last order, if it is newer than
    /// the accepted order for the target: adapters are loaded and unloaded continually while a
    /// model loads. The next order still waits for a report of the last one. Returns whether the
    /// target is resident.
    pub fn merge_models(&mut self, report: &Report) -> bool {
        // Without an accepted order, the report may show the model from before its unload.
        let Some(target) = self.target.as_ref().filter(|target| target.load_accepted) else {
            return false;
        };
        let loaded = report.resident.iter().find(|row| row.model == target.model);
        let Some(loaded) =
            loaded.filter(|_| !report.busy && report.orders >= target.accepted_orders)
        else {
            return false;
        };
        if !is_resident(&self.resident, &loaded.model, None) {
            self.resident.push(loaded.clone());
        }
        self.target = None;
        true
    }

    /// Applies a report that is as new as the last order.
    pub fn merge_report(&mut self, now: Duration, report: Report) {
        self.accepted_orders = Some(report.orders);
        self.copies = report.copies;
        self.resident = report.resident;
        self.changed_at = now;
        self.loading_adapters = report.pending_adapters;
        let in_progress = report.busy || self.is_unloading();
        self.next_poll = in_progress.then_some(now + POLL_INTERVAL);
        self.busy_until = if report.busy { self.busy_until.max(now + POLL_INTERVAL) } else { now };
        if let Some(target) = &mut self.target
            && !report.busy
        {
            if is_resident(&self.resident, &target.model, None) {
                self.target = None;
            } else {
                // The load failed: it is ordered again.
                target.load_accepted = false;
            }
        }
    }

    /// Returns whether an adapter that was ordered to unload is still resident.
    pub fn is_unloading(&mut self) -> bool {
        let resident = &self.resident;
        self.unloading_adapters
            .retain(|(model, adapter)| is_resident(resident, model, Some(adapter)));
        !self.unloading_adapters.is_empty()
    }

    /// Returns the time for which the engine will refuse adapters: it carries out one order at a
    /// time, and one for a model takes seconds.
    pub fn busy_for(&self, now: Duration) -> Duration {
        self.busy_until.saturating_sub(now)
    }

    /// Returns whether it takes orders for adapters: it carries out no order for a model, and none
    /// is about to be sent.
    pub fn takes_adapters(&self, now: Duration) -> bool {
        self.target.is_none() && now >= self.busy_until.max(self.held_until)
    }

    /// Returns whether a model is resident and not draining.
    pub fn serves(&self, model: &str) -> bool {
        !self.is_draining(model) && is_resident(&self.resident, model, None)
    }

    /// Returns whether an adapter is resident and neither it nor its model is about to be unloaded.
    pub fn serves_adapter(&self, model: &str, adapter: &str) -> bool {
        let is_leaving = self
            .unloading_adapters
            .iter()
            .any(|(other_model, other)| other_model == model && other == adapter);
        self.serves(model) && !is_leaving && is_resident(&self.resident, model, Some(adapter))
    }

    /// Returns whether a model is about to be unloaded.
    pub fn is_draining(&self, model: &str) -> bool {
        let evicted = self.target.iter().flat_map(|target| &target.evicted);
        self.draining && evicted.into_iter().any(|row| row == model)
    }

    /// Returns the number of adapters that are resident.
    pub fn adapter_count(&self) -> usize {
        self.resident.iter().map(|row| row.adapters.len()).sum()
    }

    /// Returns the models and adapters for which the engine takes requests.
    pub fn serving(&self) -> Vec<Resident> {
        let rows = self.resident.iter().filter(|row| self.serves(&row.model));
        let stays = |row: &Resident, adapter: &AdapterId| {
            !self
                .unloading_adapters
                .iter()
                .any(|(model, other)| *model == row.model && other == adapter)
        };
        let kept = rows.map(|row| Resident {
            model: row.model.clone(),
            adapters: row.adapters.iter().filter(|name| stays(row, name)).cloned().collect(),
        });
        kept.collect()
    }

    /// Returns the next order for the target, or `None` while an evicted model is in `protected`,
    /// the models that no other engine serves.
    pub fn next_model_task(&self, protected: &[ModelId]) -> Option<Task> {
        let target = self.target.as_ref().filter(|target| !target.load_accepted)?;
        let is_resident =
            |evicted_model: &ModelId| is_resident(&self.resident, evicted_model, None);
        if target
            .evicted
            .iter()
            .any(|evicted_model| protected.contains(evicted_model) && is_resident(evicted_model))
        {
            return None;
        }
        let evicted_model = target.evicted.iter().find(|evicted_model| is_resident(evicted_model));
        let (action, model) = match evicted_model {
            Some(evicted_model) => (Action::Unload, evicted_model),
            None => (Action::Load, &target.model),
        };
        Some(Task { action, model: model.clone(), adapter: None })
    }
}

impl Tracker {
    /// Records that the engine accepted an order that expected `expect` orders before it. A report
    /// that arrived before the answer may count the order already. If it were counted twice, an
    /// order that had timed out and is carried out late would make the count match again although
    /// its effect is not recorded here, and the next load would crash the engine.
    pub fn record_accepted(&mut self, now: Duration, expect: u64) {
        self.accepted_orders = self.accepted_orders.max(Some(expect + 1));
        self.changed_at = now;
    }

    /// Applies the answer to an order that expected `expect` orders before it, or that there was
    /// none. `duration` is the expected time of a load. Returns whether the engine has to be polled
    /// before its next order.
    pub fn record_answer(
        &mut self,
        now: Duration,
        task: &Task,
        expect: u64,
        answer: Option<Acknowledgement>,
        duration: Duration,
    ) -> bool {
        match (answer, task.action) {
            (Some(Acknowledgement::Accepted), Action::Load) => {
                self.record_accepted(now, expect);
                if task.adapter.is_none() {
                    self.next_poll = Some(now + duration);
                    self.busy_until = now + duration;
                }
                let orders = self.accepted_orders.unwrap_or(0);
                if let Some(target) = self.target.as_mut().filter(|_| task.adapter.is_none()) {
                    (target.load_accepted, target.accepted_orders) = (true, orders);
                }
                false
            }
            (Some(Acknowledgement::Accepted), Action::Unload) => {
                self.record_accepted(now, expect);
                // The adapter occupies its slot until the last request for it ends, which only a
                // report shows.
                if let Some(adapter) = &task.adapter {
                    self.unloading_adapters.push((task.model.clone(), adapter.clone()));
                }
                self.busy_until = now + UNLOAD_TIME;
                self.next_poll = Some(now + MAX_REPORT_LAG);
                false
            }
            // An adapter that no request uses is unloaded at once, which counts as an accepted
            // order. A model that is not resident does not count.
            (Some(Acknowledgement::Already), Action::Unload) if task.adapter.is_some() => {
                self.record_accepted(now, expect);
                self.record_unloaded(task);
                false
            }
            (Some(Acknowledgement::Already), _) => true,
            (Some(Acknowledgement::Conflict), _) => {
                self.retry_at = now + RETRY_DELAY;
                true
            }
            (Some(Acknowledgement::Fenced | Acknowledgement::Refused) | None, _) => {
                self.retry_at = now + RETRY_DELAY;
                self.wanted_adapters.clear();
                if self.target.as_ref().is_some_and(|target| !target.load_accepted) {
                    self.target = None;
                }
                true
            }
        }
    }

    /// Removes the wanted adapters that are resident, or whose models are not served here.
    fn prune_wanted_adapters(&mut self) {
        let mut wanted = std::mem::take(&mut self.wanted_adapters);
        wanted.retain(|(model, adapter)| {
            self.serves(model) && !is_resident(&self.resident, model, Some(adapter))
        });
        self.wanted_adapters = wanted;
    }

    /// Returns the adapters that may be replaced: callers had the time to use them.
    fn replaceable_adapters(&self, now: Duration) -> impl Iterator<Item = (ModelId, AdapterId)> {
        let adapters = self.resident.iter().flat_map(|row| {
            row.adapters.iter().map(move |adapter| (row.model.clone(), adapter.clone()))
        });
        adapters.filter(move |row| {
            let loaded_at = self.adapters_loaded_at.get(row);
            loaded_at.is_none_or(|loaded_at| now >= *loaded_at + MIN_ADAPTER_RESIDENCE)
        })
    }

    /// Records that an adapter is resident.
    pub fn record_adapter(&mut self, now: Duration, task: &Task) {
        let Some(adapter) = &task.adapter else {
            return;
        };
        self.adapters_loaded_at.retain(|_, at| now < *at + MIN_ADAPTER_RESIDENCE);
        self.adapters_loaded_at.insert((task.model.clone(), adapter.clone()), now);
        for row in self.resident.iter_mut().filter(|row| row.model == task.model) {
            if !row.adapters.contains(adapter) {
                row.adapters.push(adapter.clone());
            }
        }
    }

    /// Records that a model or an adapter is unloaded.
    pub fn record_unloaded(&mut self, task: &Task) {
        match &task.adapter {
            None => self.resident.retain(|row| row.model != task.model),
            Some(adapter) => {
                for row in self.resident.iter_mut().filter(|row| row.model == task.model) {
                    row.adapters.retain(|other| other != adapter);
                }
            }
        }
    }
}

/// Returns the planner's view of an engine.
pub fn host(
    now: Duration,
    tracker: &Tracker,
    key: Key,
    region: RegionId,
    engines: &Engines,
) -> Host {
    let mut resident: Vec<ModelId> = tracker.resident.iter().map(|row| row.model.clone()).collect();
    let mut unloading = Vec::new();
    if let Some(target) = &tracker.target {
        if !resident.contains(&target.model) {
            resident.push(target.model.clone());
        }
        unloading.clone_from(&target.evicted);
    }
    let mut cached = tracker.copies.memory.clone();
    cached.extend(tracker.copies.disk.iter().cloned());
    let busy = tracker.target.is_some()
        || tracker.accepted_orders.is_none()
        || tracker.next_poll.is_some()
        || now < tracker.held_until;
    let loading = tracker.target.as_ref().map(|target| target.model.clone());
    let (slots, weight_capacity_mb) = (f64::from(engines.slots), weight_capacity_mb(engines));
    Host { key, region, slots, weight_capacity_mb, resident, unloading, loading, busy, cached }
}

/// Returns the next adapter order for an engine. `use_count` returns the decayed number of recent
/// requests for an adapter of a model; `starved` returns whether its callers have waited too long.
pub fn next_adapter_task(
    now: Duration,
    tracker: &mut Tracker,
    engines: &Engines,
    use_count: impl Fn(&str, &str) -> f64,
    starved: impl Fn(&str, &str) -> bool,
) -> Option<Task> {
    tracker.prune_wanted_adapters();
    loop {
        let is_starved = |(model, adapter): &(ModelId, AdapterId)| starved(model, adapter);
        let position = tracker.wanted_adapters.iter().position(is_starved).unwrap_or(0);
        let (model, adapter) = tracker.wanted_adapters.get(position)?.clone();
        if fits_adapter(tracker, engines, engines.model(&model)?) {
            return Some(Task { action: Action::Load, model, adapter: Some(adapter) });
        }
        let is_starved = starved(&model, &adapter);
        let least_used = tracker
            .replaceable_adapters(now)
            .min_by(|a, b| use_count(&a.0, &a.1).total_cmp(&use_count(&b.0, &b.1)));
        // Unloading an adapter that is in use takes until its last stream ends, and blocks all
        // other orders to the engine meanwhile.
        let is_justified = is_starved || use_count(&model, &adapter) > REPLACING_MIN_COUNT;
        let is_unused = |row: &(ModelId, AdapterId)| use_count(&row.0, &row.1) < UNUSED_MAX_COUNT;
        if let Some((model, adapter)) = least_used.filter(|row| is_justified || is_unused(row)) {
            return Some(Task { action: Action::Unload, model, adapter: Some(adapter) });
        }
        if is_starved {
            return None;
        }
        tracker.wanted_adapters.remove(position);
    }
}

/// Returns whether another adapter of a model fits into an engine beside all that it holds and loads.
/// The platform may have filled it further than `weight_capacity_mb`. A model whose size is not
/// published counts as the largest one.
fn fits_adapter(tracker: &Tracker, engines: &Engines, model: &Model) -> bool {
    let adapter_count = tracker.adapter_count() + tracker.loading_adapters;
    let largest = |size: fn(&Model) -> f64| engines.models.iter().map(size).fold(0.0, f64::max);
    let held = tracker.resident.iter().map(|row| {
        let published = engines.model(&row.model);
        let weights = published.map_or_else(|| largest(|row| row.weights_mb), |row| row.weights_mb);
        let adapter = published.map_or_else(|| largest(|row| row.adapter_mb), |row| row.adapter_mb);
        weights + adapter * row.adapters.len() as f64
    });
    let loading = largest(|row| row.adapter_mb) * tracker.loading_adapters as f64;
    adapter_count < engines.adapter_slots as usize
        && held.sum::<f64>() + loading + model.adapter_mb <= engines.weights_mb
}

/// Returns the memory for weights at an engine that holds all its adapters, in MB.
pub fn weight_capacity_mb(engines: &Engines) -> f64 {
    let largest = engines.models.iter().map(|model| model.adapter_mb).fold(0.0, f64::max);
    engines.weights_mb - largest * f64::from(engines.adapter_slots)
}

/// Returns whether a model fits beside others. A model whose size is not published does not fit.
pub fn fits<'a>(
    engines: &Engines,
    kept: impl Iterator<Item = &'a ModelId>,
    model: &ModelId,
) -> bool {
    let weights =
        |model: &ModelId| engines.model(model).map_or(f64::INFINITY, |row| row.weights_mb);
    let kept: f64 = kept.filter(|other| *other != model).map(weights).sum();
    kept + weights(model) <= weight_capacity_mb(engines)
}

/// Returns the engine that is to load a requested adapter: the one that was asked for, unless it takes
/// no orders for adapters now or has no room for any, and another one of its service with the model does.
/// Of those, the one with the fewest adapters wanted is chosen.
pub fn engine_for_adapter<'a>(
    now: Duration,
    trackers: &'a BTreeMap<Key, Tracker>,
    requested: &'a Key,
    model: &str,
    engines: &Engines,
) -> &'a Key {
    let has_room = |tracker: &Tracker| {
        let published = engines.model(model);
        tracker.adapter_count() > 0
            || published.is_some_and(|row| fits_adapter(tracker, engines, row))
    };
    let is_candidate = |tracker: &Tracker| {
        let is_ready = tracker.max_load.is_none() && tracker.takes_adapters(now);
        is_ready && tracker.serves(model) && has_room(tracker)
    };
    let Some(asked) = trackers.get(requested).filter(|tracker| !is_candidate(tracker)) else {
        return requested;
    };
    let others = trackers
        .iter()
        .filter(|(_, tracker)| tracker.service == asked.service && is_candidate(tracker));
    let best = others.min_by_key(|(_, tracker)| tracker.wanted_adapters.len());
    best.map_or(requested, |(key, _)| key)
}

/// Returns the models at an engine that no other engine of its service serves. Another engine that is
/// also to unload the model counts as serving it until it is draining: if it did not count, of several
/// engines that are to unload a model without callers, each would wait for another replica to be
/// loaded.
pub fn sole_models(trackers: &BTreeMap<Key, Tracker>, key: &Key) -> Vec<ModelId> {
    let Some(tracker) = trackers.get(key) else {
        return Vec::new();
    };
    let service = &tracker.service;
    let models = tracker.resident.iter().map(|row| row.model.clone());
    let others = |model: &ModelId| {
        trackers.iter().any(|(other, tracker)| {
            let is_other = other != key && tracker.service == *service;
            is_other && tracker.max_load.is_none() && tracker.serves(model)
        })
    };
    models.filter(|model| !others(model)).collect()
}

/// Returns the models at an engine that must not be unloaded: no other engine of its service serves
/// them, and they are requested, or a load from the weight store would be needed to return them and the
/// target of the engine is served elsewhere. `idle` returns whether a model has not been requested for
/// a while.
pub fn protected_models(
    trackers: &BTreeMap<Key, Tracker>,
    key: &Key,
    idle: impl Fn(&str) -> bool,
) -> Vec<ModelId> {
    let mut models = sole_models(trackers, key);
    let Some(tracker) = trackers.get(key) else {
        return models;
    };
    let is_served = |target: &Target| {
        let mut others = trackers.values().filter(|other| other.service == tracker.service);
        others.any(|other| other.serves(&target.model))
    };
    let loads_missing = tracker.target.as_ref().is_some_and(|target| !is_served(target));
    models.retain(|model| !(idle(model) && (tracker.copies.has(model) || loads_missing)));
    models
}

/// Returns whether an engine's target waits for another replica of a protected model that no engine
/// loads: the model was idle when the target was set, or its load elsewhere was given up.
pub fn waits_in_vain(trackers: &BTreeMap<Key, Tracker>, key: &Key, protected: &[ModelId]) -> bool {
    let Some(tracker) = trackers.get(key) else {
        return false;
    };
    let loads = |other: &Tracker, model: &ModelId| {
        let loads = other.target.as_ref().is_some_and(|target| target.model == *model);
        other.service == tracker.service && loads
    };
    let blocks =
        |model: &&ModelId| protected.contains(model) && is_resident(&tracker.resident, model, None);
    // An unload that has begun ends with or without the target.
    let target = tracker.target.as_ref().filter(|_| tracker.next_poll.is_none());
    let evicted = target.filter(|target| !target.load_accepted).map(|target| &target.evicted);
    evicted
        .into_iter()
        .flatten()
        .filter(blocks)
        .any(|model| !trackers.iter().any(|(other, tracker)| other != key && loads(tracker, model)))
}
