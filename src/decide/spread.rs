//! Plans which engine holds which model, from demand alone.
//!
//! Load pattern: a few models get most requests, and which ones changes within seconds, while every
//! model must stay reachable and the store allows few loads. A plan that follows every sample would
//! spend the store on swings; a fixed plan would leave hot models on one engine and others idle.
//!
//! The demand of a model is assumed to divide evenly among its replicas; the load of an engine is
//! the sum over the models it holds. The plan picks the step that lowers the sum of the squares of
//! these loads the most, which relieves the most loaded engines first and weighs an idle engine as
//! well as a model with too few replicas. A step adds a replica, in free memory or in the place of
//! one or two models that have other replicas. It must lower the sum by a minimum ratio, which is
//! higher for slower loads. The last replica of a model is evicted only if the model has not been
//! requested for a while and its weights stay in the engine's host memory or on its disk, from where
//! it returns in a fifth of the time of a load from the store, or if callers have requested in vain for
//! a while what takes its place. Where only other last replicas are in the way, one of them is first
//! loaded on another engine and may then be evicted. An engine carries out one step at a time.
//!
//! A model without a replica comes first if callers request it, on an engine where its weights are at
//! hand if there is one. One without requests comes last, and only goes into free memory: there are
//! more models than fit, so that models without a replica would otherwise evict serving replicas one
//! after another.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use strum::IntoEnumIterator;

use crate::table::ModelId;
use crate::table::RegionId;
use crate::table::instance::Key;

/// Part of the squared even load by which a step must lower the sum of squares: below that, noise
/// in the demand would move models back and forth.
const MIN_GAIN_RATIO: f64 = 0.25;
/// `MIN_GAIN_RATIO` for a load from the weight store: it takes seconds, in which demand may turn
/// again, and the store allows few loads. At 0.45 some demand is never settled, as two replicas
/// evict each other in turn (`any_demand_keeps_capacity_and_last_replicas`), and the busy day of
/// tests/decide_shift takes 324 loads instead of 291, for as many requests.
const MIN_COLD_GAIN_RATIO: f64 = 0.7;
/// Even load, in concurrent requests, below which no step is worth its load.
const MIN_EVEN_LOAD: f64 = 1.0;
/// Part of its slots below which an engine serves all its models in time: replicas that relieve it
/// have no value, and demand that small is mostly noise.
const MIN_PRESSURE_RATIO: f64 = 0.125;
/// Part of the engines that may load models without another replica at the same time: many models
/// with one request each would otherwise keep every engine from loading a replica of the model that
/// all callers request.
const MAX_RARE_LOADS_RATIO: f64 = 0.5;
/// Factor on the gain for each slow part of a step (a load from the store, an unload, a load of
/// another model elsewhere): each takes up to half of the time for which demand stays the same, and
/// keeps an engine from other steps. In tests/decide_shift a busy day of 112 engines needs 344 loads
/// from the store at 0.6, and 324 at 0.4, with 0.049 and 0.048 of its demand without a slot.
const SLOW_STEP_FACTOR: f64 = 0.4;
/// Part of the engines that may wait for a model to be loaded elsewhere before they evict it: each
/// takes two loads for one replica, and no other order for 10 s. Without the limit 36 to 44 of the
/// 112 engines of the day above were taken with no order in progress after a quarter was lost.
const MAX_WAITING_RATIO: f64 = 0.02;
/// Part of the even load that may be evicted where a model is loaded only to free its place
/// elsewhere.
const MAX_RELOCATION_EVICTED_RATIO: f64 = 0.1;
/// Part of the even load that the evicted replicas may carry when a missing model is loaded, unless
/// its own demand is higher: after a crash its engine returns empty, and evicting a busy replica for
/// a rare model costs more requests than the rare model gets. The limit ends after
/// `MISSING_TIMEOUT`, which is somewhat longer than engines take to restart.
const MAX_MISSING_EVICTED_RATIO: f64 = 0.5;
const MISSING_TIMEOUT: Duration = Duration::from_secs(5);
/// Factor on the gain of a load from the store at an engine that has another model cached which has
/// too few replicas: elsewhere that one would have to load from the store.
const CACHED_RIVAL_FACTOR: f64 = 0.5;
/// Cost of evicting the last replica of a model that is not requested, in concurrent requests on each
/// other replica of a model in its place: its next caller waits for a load.
const LAST_REPLICA_COST: f64 = 0.5;
/// Part of the even load on each replica from which a model has too few.
const SHORTAGE_RATIO: f64 = 0.4;
/// Most models considered for one step, those with the most demand per replica first: bounds the
/// work on large fleets.
const MAX_CANDIDATES: usize = 16;
/// Gain of the first replica in a region, as a part of the square of the model's load per replica:
/// its requests need not cross regions.
const REGION_GAIN_RATIO: f64 = 0.2;

/// Demand for a model.
#[derive(Debug, Clone, PartialEq)]
pub struct Requirement {
    /// The model.
    pub model: ModelId,
    /// Size of its weights, in MB.
    pub weights_mb: f64,
    /// Expected number of concurrent requests.
    pub demand: f64,
    /// Time for which callers have requested it while no engine held it; `None` without a request.
    pub requested_for: Option<Duration>,
    /// Whether callers have not requested it for a while.
    pub idle: bool,
    /// Number of its adapters that callers have requested for a while and no engine holds.
    pub missing_adapters: usize,
}

/// The planner's view of one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// Id and start of the engine.
    pub key: Key,
    /// Its region.
    pub region: RegionId,
    /// Number of requests that it runs concurrently.
    pub slots: f64,
    /// Memory for weights without that for adapters, in MB.
    pub weight_capacity_mb: f64,
    /// Models that are resident or loading, including those of unanswered orders.
    pub resident: Vec<ModelId>,
    /// Resident models that are being unloaded: they take memory but serve no requests.
    pub unloading: Vec<ModelId>,
    /// The model that is loading.
    pub loading: Option<ModelId>,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// Models whose weights are in the host's memory or on its disk.
    pub cached: Vec<ModelId>,
}

/// A step of the plan: loads a model on an engine after evicting others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The engine.
    pub key: Key,
    /// The model to load.
    pub model: ModelId,
    /// Models to unload first.
    pub evicted: Vec<ModelId>,
}

/// A model's state within one plan.
#[derive(Debug, Clone)]
struct Row<'a> {
    requirement: &'a Requirement,
    /// Indexes of the hosts where it is resident or loading.
    hosts: Vec<usize>,
    /// Whether it is loading on one of them.
    is_loading: bool,
}

impl Row<'_> {
    fn copies(&self) -> f64 {
        self.hosts.len() as f64
    }

    /// Returns why it may gain a replica.
    fn cause(&self) -> Cause {
        match (self.hosts.is_empty(), self.requirement.requested_for) {
            (false, _) => Cause::Short,
            (true, Some(_)) => Cause::Missing,
            (true, None) => Cause::Unasked,
        }
    }

    /// Returns the demand per replica.
    fn load_per_replica(&self) -> f64 {
        self.requirement.demand / self.copies().max(1.0)
    }
}

/// Why a model may gain a replica, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumIter)]
enum Cause {
    /// Callers request it and no engine holds it.
    Missing,
    /// Its replicas are heavily loaded.
    Short,
    /// No engine holds it, and no caller requests it.
    Unasked,
}

/// Why a model that is missing, or has too few replicas, is not loaded on an engine now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Obstacle {
    /// It holds or loads the model.
    Resident,
    /// It carries out an order.
    Busy,
    /// The engines with the model are hardly loaded, so that none may gain a replica of it.
    Pressure,
    /// A replica there would relieve the others too little.
    Gain,
    /// What may be evicted there leaves too little memory.
    Room,
    /// What would be evicted there is requested more.
    Demand,
    /// It alone can load adapters that callers request, and not while it loads a model.
    Adapters,
    /// No load from the weight store may begin, or a model would first have to be loaded elsewhere
    /// that can't be now.
    Load,
    /// None: enough other models without a replica are loading, or the step comes next.
    Turn,
}

/// The models of a host, as indexes. Models without a requirement are left out.
#[derive(Debug, Clone)]
struct Stock {
    resident: Vec<usize>,
    unloading: Vec<usize>,
    cached: Vec<usize>,
    /// Whether it carries out an order or is to do so by the plan.
    busy: bool,
    /// Memory that no model takes, in MB.
    free_mb: f64,
}

/// The plan in progress.
struct Planner<'a> {
    rows: Vec<Row<'a>>,
    hosts: &'a [Host],
    /// The models of each host, as indexes of `rows`: a plan compares them for each model and host.
    stocks: Vec<Stock>,
    /// Load of each engine if demand were divided evenly.
    even_load: f64,
    /// Load of each host, in concurrent requests.
    loads: Vec<f64>,
    /// Number of hosts that wait for a load elsewhere before they evict a model.
    waiting_hosts: usize,
}

/// A candidate step: loads `model` on `host` after evicting `evicted`. All are indexes.
#[derive(Debug, Clone)]
struct Step {
    model: usize,
    host: usize,
    evicted: Vec<usize>,
    /// Decrease of the sum of squares.
    gain: f64,
    /// Whether the model loads from the weight store.
    cold: bool,
    /// Evicted model without another replica, which must first be loaded on another engine.
    blocked: Option<usize>,
}

impl Step {
    /// Returns the gain, reduced for what has to happen first: until then the load stays unchanged.
    fn discounted_gain(&self) -> f64 {
        let mut discounted_gain = self.gain;
        for slow in [self.cold, !self.evicted.is_empty(), self.blocked.is_some()] {
            if slow && discounted_gain > 0.0 {
                discounted_gain *= SLOW_STEP_FACTOR;
            }
        }
        discounted_gain
    }
}

/// Returns the gain from which a step is made for a model that has replicas.
fn min_gain(step: &Step, even_load: f64) -> f64 {
    let slow = step.cold || step.blocked.is_some();
    let min_ratio = if slow { MIN_COLD_GAIN_RATIO } else { MIN_GAIN_RATIO };
    min_ratio * even_load * even_load
}

/// Returns the steps that are due: at most `max_steps` rounds, and at most one step for each engine
/// that is not busy. `cold_loads` is the number of loads from the weight store that may begin.
pub fn plan(
    requirements: &[Requirement],
    hosts: &[Host],
    mut cold_loads: u32,
    max_steps: usize,
) -> Vec<Placement> {
    let mut planner = Planner::new(requirements, hosts);
    let mut placements = Vec::new();
    for _ in 0..max_steps {
        let Some(step) = Cause::iter().find_map(|cause| planner.best_step(cause, cold_loads))
        else {
            return placements;
        };
        // Both steps are planned together: if the plan were made anew in between, the first step
        // could be undone.
        let relocation = step.blocked.and_then(|blocking| {
            let relocations = planner.relocations(blocking, cold_loads);
            relocations.into_iter().find(|candidate| candidate.host != step.host)
        });
        for step in relocation.iter().chain([&step]) {
            cold_loads = cold_loads.saturating_sub(u32::from(step.cold));
            placements.push(planner.placement(step));
            planner.apply(step);
        }
    }
    placements
}

/// Returns for each requested model without a replica, and for each with more demand per replica
/// than an even spread would give, on how many engines it is kept from being loaded, by obstacle.
pub fn obstacles(
    requirements: &[Requirement],
    hosts: &[Host],
    cold_loads: u32,
) -> BTreeMap<ModelId, BTreeMap<Obstacle, usize>> {
    let planner = Planner::new(requirements, hosts);
    let even_load = planner.even_load;
    let is_lacking = |model: &usize| {
        let row = &planner.rows[*model];
        match row.cause() {
            Cause::Missing => true,
            Cause::Short => row.load_per_replica() > even_load,
            Cause::Unasked => false,
        }
    };
    let count = |model: usize| {
        let mut counts = BTreeMap::new();
        for host in 0..hosts.len() {
            *counts.entry(planner.obstacle(model, host, cold_loads)).or_default() += 1;
        }
        (planner.rows[model].requirement.model.clone(), counts)
    };
    (0..planner.rows.len()).filter(is_lacking).map(count).collect()
}

impl<'a> Planner<'a> {
    /// Returns what keeps a model from being loaded on a host.
    fn obstacle(&self, model: usize, host: usize, cold_loads: u32) -> Obstacle {
        let (even_load, missing) = (self.even_load, self.rows[model].cause() == Cause::Missing);
        if !missing && !self.is_pressed(model, even_load) {
            return Obstacle::Pressure;
        }
        let step = match self.best_host_step(model, host, missing) {
            Ok(step) => step,
            Err(obstacle) => return obstacle,
        };
        let relocations =
            step.blocked.map_or_else(Vec::new, |model| self.relocations(model, cold_loads));
        match self.with_relocation(step, &relocations, cold_loads) {
            Some(step) if missing || step.gain > min_gain(&step, even_load) => Obstacle::Turn,
            Some(_) => Obstacle::Gain,
            None => Obstacle::Load,
        }
    }

    /// Returns whether a model with replicas may gain another one: one of the engines that hold it
    /// is loaded.
    fn is_pressed(&self, model: usize, even_load: f64) -> bool {
        let is_loaded =
            |host: &usize| self.loads[*host] > self.hosts[*host].slots * MIN_PRESSURE_RATIO;
        even_load >= MIN_EVEN_LOAD && self.rows[model].hosts.iter().any(is_loaded)
    }

    fn new(requirements: &'a [Requirement], hosts: &'a [Host]) -> Self {
        let row = |requirement| Row { requirement, hosts: Vec::new(), is_loading: false };
        let mut rows: Vec<Row<'a>> = requirements.iter().map(row).collect();
        let names = requirements.iter().enumerate();
        let index: HashMap<&str, usize> =
            names.map(|(i, requirement)| (requirement.model.as_str(), i)).collect();
        let indexes = |models: &[ModelId]| -> Vec<usize> {
            models.iter().filter_map(|model| index.get(model.as_str()).copied()).collect()
        };
        let stock = |host: &Host| {
            let resident = indexes(&host.resident);
            let used: f64 = resident.iter().map(|row| requirements[*row].weights_mb).sum();
            Stock {
                resident,
                unloading: indexes(&host.unloading),
                cached: indexes(&host.cached),
                busy: host.busy,
                free_mb: host.weight_capacity_mb - used,
            }
        };
        let stocks: Vec<Stock> = hosts.iter().map(stock).collect();
        for (i, (host, stock)) in hosts.iter().zip(&stocks).enumerate() {
            for row in stock.resident.iter().filter(|row| !stock.unloading.contains(row)) {
                rows[*row].hosts.push(i);
            }
            if let Some(row) = host.loading.as_ref().and_then(|model| index.get(model.as_str())) {
                rows[*row].is_loading = true;
            }
        }
        let total: f64 = requirements.iter().map(|requirement| requirement.demand).sum();
        let mut planner = Planner {
            rows,
            hosts,
            stocks,
            even_load: total / hosts.len().max(1) as f64,
            loads: vec![0.0; hosts.len()],
            waiting_hosts: 0,
        };
        for row in &planner.rows {
            for host in &row.hosts {
                planner.loads[*host] += row.load_per_replica();
            }
        }
        planner.waiting_hosts = planner.count_waiting_hosts();
        planner
    }

    /// Returns the models that may gain a replica for this cause, by falling demand per replica.
    fn candidates(&self, cause: Cause, even_load: f64) -> Vec<usize> {
        let is_candidate = |i: &usize| {
            let row = &self.rows[*i];
            let due = match cause {
                Cause::Missing => {
                    self.rare_loads() < (self.hosts.len() as f64 * MAX_RARE_LOADS_RATIO).ceil()
                }
                Cause::Short => self.is_pressed(*i, even_load),
                Cause::Unasked => true,
            };
            row.cause() == cause && due
        };
        let mut rows: Vec<usize> = (0..self.rows.len()).filter(is_candidate).collect();
        rows.sort_by(|a, b| {
            self.rows[*b].load_per_replica().total_cmp(&self.rows[*a].load_per_replica())
        });
        rows.truncate(MAX_CANDIDATES);
        rows
    }

    /// Returns the step with the highest gain for a cause, if it reaches the minimum.
    fn best_step(&self, cause: Cause, cold_loads: u32) -> Option<Step> {
        let even_load = self.even_load;
        let missing = cause != Cause::Short;
        let mut best_step: Option<(f64, Step)> = None;
        // The same few models block many engines, so that their relocations are computed once.
        let mut relocations: HashMap<usize, Vec<Step>> = HashMap::new();
        for model in self.candidates(cause, even_load) {
            for host in 0..self.hosts.len() {
                let Ok(step) = self.best_host_step(model, host, missing) else {
                    continue;
                };
                if cause == Cause::Unasked && !step.evicted.is_empty() {
                    continue;
                }
                let relocations = step.blocked.map_or(&[] as &[Step], |blocking| {
                    relocations
                        .entry(blocking)
                        .or_insert_with(|| self.relocations(blocking, cold_loads))
                });
                let Some(step) = self.with_relocation(step, relocations, cold_loads) else {
                    continue;
                };
                let enough = missing || step.gain > min_gain(&step, even_load);
                let discounted_gain = step.discounted_gain()
                    * if self.displaces_cached(&step, even_load) {
                        CACHED_RIVAL_FACTOR
                    } else {
                        1.0
                    };
                if enough
                    && best_step.as_ref().is_none_or(|(highest, _)| discounted_gain > *highest)
                {
                    best_step = Some((discounted_gain, step));
                }
            }
            if missing && best_step.is_some() {
                break;
            }
        }
        best_step.map(|(_, step)| step)
    }

    /// Returns whether a load from the store takes a place where another model with too few
    /// replicas would load faster.
    fn displaces_cached(&self, step: &Step, even_load: f64) -> bool {
        let stock = &self.stocks[step.host];
        let others = stock.cached.iter().filter(|row| !stock.resident.contains(row));
        let mut others = others.filter(|row| **row != step.model);
        let is_short =
            |row: &usize| self.rows[*row].load_per_replica() > even_load * SHORTAGE_RATIO;
        step.cold && step.gain > 0.0 && others.any(is_short)
    }

    /// Returns the best step that loads a model on a host.
    fn best_host_step(&self, model: usize, host: usize, missing: bool) -> Result<Step, Obstacle> {
        let (row, stock) = (&self.rows[model], &self.stocks[host]);
        if stock.resident.contains(&model) {
            return Err(Obstacle::Resident);
        }
        if stock.busy {
            return Err(Obstacle::Busy);
        }
        let mut evicted = Vec::new();
        let mut blocked = None;
        let mut free_mb = stock.free_mb;
        while free_mb < row.requirement.weights_mb {
            let missing_mb = row.requirement.weights_mb - free_mb;
            let mut evicted_model = self.pick_evicted(model, host, &evicted, missing_mb, 2);
            if evicted_model.is_none() && blocked.is_none() {
                evicted_model = self.pick_evicted(model, host, &evicted, missing_mb, 1);
                blocked = evicted_model;
            }
            let evicted_model = evicted_model.ok_or(Obstacle::Room)?;
            free_mb += self.rows[evicted_model].requirement.weights_mb;
            evicted.push(evicted_model);
            if evicted.len() > 2 {
                return Err(Obstacle::Room);
            }
        }
        let is_waiting = self.is_waiting(model);
        if (!missing || is_waiting) && self.stops_adapters(model, host, &evicted) {
            return Err(Obstacle::Adapters);
        }
        let max_evicted = row.requirement.demand.max(MAX_MISSING_EVICTED_RATIO * self.even_load);
        if missing && is_waiting && self.evicted_load(&evicted) > max_evicted {
            return Err(Obstacle::Demand);
        }
        let cold = !stock.cached.contains(&model);
        let mut gain = self.gain(model, host, &evicted);
        let is_same_region = |other: &usize| self.hosts[*other].region == self.hosts[host].region;
        if !row.hosts.iter().any(is_same_region) {
            gain += REGION_GAIN_RATIO * row.load_per_replica() * row.load_per_replica();
        }
        if missing {
            // Any host will do; the one where the least load is displaced is preferred.
            gain -= self.loads[host] + evicted.len() as f64;
            // Its callers are refused until the load is done.
            let slow_parts =
                f64::from(u8::from(cold)) + 2.0 * f64::from(u8::from(blocked.is_some()));
            gain -= slow_parts * self.even_load.max(MIN_EVEN_LOAD);
        }
        Ok(Step { model, host, evicted, gain, cold, blocked })
    }

    /// Returns whether a model has not been requested in vain for long.
    fn is_waiting(&self, model: usize) -> bool {
        self.rows[model].requirement.requested_for.is_none_or(|span| span < MISSING_TIMEOUT)
    }

    /// Returns whether a step keeps requested adapters of a model with more demand from being
    /// loaded: the host is the only one that can load them, or one of too few that hold the model.
    fn stops_adapters(&self, model: usize, host: usize, evicted: &[usize]) -> bool {
        let mut resident = self.stocks[host].resident.iter();
        let is_stopped = |other: &usize| {
            let row = &self.rows[*other];
            let is_free = |other: &&usize| **other != host && !self.stocks[**other].busy;
            let has_demand = row.requirement.demand > self.rows[model].requirement.demand;
            row.requirement.missing_adapters > 0
                && has_demand
                && (evicted.contains(other) || !row.hosts.iter().any(|host| is_free(&host)))
        };
        resident.any(is_stopped)
    }

    /// Returns the step with the gain of its relocation, if the loads from the store are allowed.
    fn with_relocation(&self, step: Step, relocations: &[Step], cold_loads: u32) -> Option<Step> {
        if step.blocked.is_none() {
            return (!step.cold || cold_loads > 0).then_some(step);
        }
        if self.waiting_hosts >= (self.hosts.len() as f64 * MAX_WAITING_RATIO).ceil() as usize {
            return None;
        }
        let relocation = relocations.iter().find(|candidate| candidate.host != step.host)?;
        // Either step may evict a model with two replicas; both together would evict the last one.
        if relocation.evicted.iter().any(|evicted_model| step.evicted.contains(evicted_model)) {
            return None;
        }
        let loads_needed = u32::from(relocation.cold) + u32::from(step.cold);
        (loads_needed <= cold_loads)
            .then(|| Step { gain: step.gain + relocation.gain.min(0.0), ..step })
    }

    fn placement(&self, step: &Step) -> Placement {
        let name = |row: &usize| self.rows[*row].requirement.model.clone();
        Placement {
            key: self.hosts[step.host].key.clone(),
            model: name(&step.model),
            evicted: step.evicted.iter().map(name).collect(),
        }
    }

    /// Returns the two cheapest steps that load a second replica of a model, so that its first may
    /// be evicted: at least one of them is not on the engine of the first.
    fn relocations(&self, model: usize, cold_loads: u32) -> Vec<Step> {
        let steps =
            (0..self.hosts.len()).filter_map(|host| self.best_host_step(model, host, false).ok());
        let steps = steps.filter(|step| step.blocked.is_none());
        let steps = steps.filter(|step| cold_loads > 0 || !step.cold);
        let max_evicted = self.even_load * MAX_RELOCATION_EVICTED_RATIO;
        // Models with demand are not evicted to make way for models without.
        let steps = steps.filter(|step| self.evicted_load(&step.evicted) <= max_evicted);
        let cost = |step: &Step| {
            self.loads[step.host]
                + self.evicted_load(&step.evicted)
                + if step.cold { MIN_EVEN_LOAD } else { 0.0 }
        };
        let mut steps: Vec<Step> = steps.collect();
        steps.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
        steps.truncate(2);
        steps
    }

    /// Counts the engines that wait for another replica of a model before they unload it.
    fn count_waiting_hosts(&self) -> usize {
        let waits = |stock: &&Stock| {
            let mut rows = stock.unloading.iter().map(|row| &self.rows[*row]);
            rows.any(|row| row.is_loading && row.hosts.len() == 1)
        };
        self.stocks.iter().filter(waits).count()
    }

    /// Counts the engines that load a model which no other engine holds.
    fn rare_loads(&self) -> f64 {
        self.rows.iter().filter(|row| row.is_loading && row.hosts.len() == 1).count() as f64
    }

    /// Returns the load on the replicas that would be evicted.
    fn evicted_load(&self, evicted: &[usize]) -> f64 {
        evicted.iter().map(|row| self.rows[*row].load_per_replica()).sum()
    }

    /// Returns whether a model may lose its last replica, which is on a host, to another one: no caller
    /// requests it, and a load there is fast, or callers have requested the other one in vain for long.
    fn is_dispensable(&self, model: usize, host: usize, replacement: usize) -> bool {
        let is_starved =
            self.rows[replacement].cause() == Cause::Missing && !self.is_waiting(replacement);
        let is_cached = self.stocks[host].cached.contains(&model);
        self.rows[model].requirement.idle && (is_cached || is_starved)
    }

    /// Returns the model whose eviction from a host for another one costs the least: it has at least
    /// `min_replicas` replicas, or may lose its last one, and little demand per replica. One that frees
    /// `missing_mb` alone is preferred.
    fn pick_evicted(
        &self,
        replacement: usize,
        host: usize,
        chosen: &[usize],
        missing_mb: f64,
        min_replicas: usize,
    ) -> Option<usize> {
        let stock = &self.stocks[host];
        let evictable = stock.resident.iter().filter(|row| !stock.unloading.contains(row)).copied();
        let evictable = evictable.filter(|row| !chosen.contains(row));
        let evictable = evictable.filter(|row| {
            self.rows[*row].hosts.len() >= min_replicas
                || self.is_dispensable(*row, host, replacement)
        });
        // A model that is loading elsewhere has too few replicas now: its serving replicas stay
        // until then.
        let evictable = evictable.filter(|row| !self.rows[*row].is_loading);
        let cost = |row: &usize| {
            let row = &self.rows[*row];
            let penalty = if row.requirement.weights_mb >= missing_mb { 0.0 } else { 1.0 };
            let last = if row.hosts.len() < 2 { LAST_REPLICA_COST } else { 0.0 };
            penalty + last + row.requirement.demand / (row.copies() - 1.0).max(1.0)
        };
        evictable.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Returns by how much the sum of squares falls when a model replaces others on a host.
    fn gain(&self, model: usize, host: usize, evicted: &[usize]) -> f64 {
        // A list, as it is short and this runs for each model and host of a plan.
        let mut change: Vec<(usize, f64)> = Vec::new();
        let mut add = |host: usize, delta: f64| match change.iter_mut().find(|row| row.0 == host) {
            Some(row) => row.1 += delta,
            None => change.push((host, delta)),
        };
        let row = &self.rows[model];
        let (demand, copies) = (row.requirement.demand, row.copies());
        if copies > 0.0 {
            for other in &row.hosts {
                add(*other, -demand / (copies * (copies + 1.0)));
            }
        }
        add(host, demand / (copies + 1.0));
        for evicted_model in evicted {
            let row = &self.rows[*evicted_model];
            let (demand, copies) = (row.requirement.demand, row.copies());
            add(host, -demand / copies);
            if row.hosts.len() < 2 {
                // Its load moves to its new engine, which has little load.
                continue;
            }
            for other in row.hosts.iter().filter(|other| **other != host) {
                add(*other, demand / (copies * (copies - 1.0)));
            }
        }
        let decrease = |(i, delta): &(usize, f64)| {
            let load = self.loads[*i];
            load * load - (load + delta) * (load + delta)
        };
        change.iter().map(decrease).sum()
    }

    /// Applies a step to the planned state.
    fn apply(&mut self, step: &Step) {
        for evicted_model in &step.evicted {
            self.add_load(*evicted_model, -1.0);
            self.rows[*evicted_model].hosts.retain(|other| *other != step.host);
            self.add_load(*evicted_model, 1.0);
        }
        self.add_load(step.model, -1.0);
        self.rows[step.model].hosts.push(step.host);
        self.rows[step.model].is_loading = true;
        self.add_load(step.model, 1.0);
        let stock = &mut self.stocks[step.host];
        stock.unloading.extend(&step.evicted);
        stock.busy = true;
        stock.resident.push(step.model);
        stock.free_mb -= self.rows[step.model].requirement.weights_mb;
        self.waiting_hosts = self.count_waiting_hosts();
    }

    fn add_load(&mut self, row: usize, sign: f64) {
        let row = &self.rows[row];
        for host in &row.hosts {
            self.loads[*host] += sign * row.load_per_replica();
        }
    }
}
