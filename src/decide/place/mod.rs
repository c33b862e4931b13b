//! Plans which engines hold which models, versions and adapters, from tables alone.
//!
//! Load pattern: demand for a model changes tenfold within an hour and moves between regions over
//! the day; endpoints come and go. Without a plan a lost replica is never replaced; a plan that
//! follows every change of demand pays for each swing twice, in store capacity and in metered
//! links.
//!
//! The placer of every region computes the same plan from the same tables and carries out the steps
//! of its own region. Order of the steps: models without any replica, models with too few replicas,
//! adapters, replicas for demand, unloads.

pub mod demand;
mod eviction;
mod surplus;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::config::service::Adapter;
use crate::config::service::Kind;
use crate::config::service::Model;
use crate::config::service::Service;
use crate::config::snapshot::Snapshot;
use crate::decide::ledger::Item;
use crate::decide::ledger::Ledger;
use crate::decide::ledger::Row;
use crate::decide::ledger::State;
use crate::decide::place::demand::Demand;
use crate::table::Bytes;
use crate::table::DataCenterId;
use crate::table::EndpointId;
use crate::table::ModelId;
use crate::table::RegionId;

/// Shortest time that a replica stays resident before it may be unloaded. A load takes one second
/// of the store's capacity and, from another region, a paid transfer; half an hour keeps that below
/// one part in a thousand.
pub const MIN_RESIDENCE: Duration = Duration::from_secs(1800);

/// The planner's view of one engine.
#[derive(Debug, Clone)]
pub struct Host {
    /// Its region.
    pub region: RegionId,
    /// Its data center.
    pub data_center: DataCenterId,
    /// Whether it is live, not draining and reported recently, so that replicas may be placed there
    /// and its replicas count.
    pub usable: bool,
    /// Its memory as reserved.
    pub ledger: Ledger,
}

/// All engines, by address.
pub type Hosts = BTreeMap<EndpointId, Host>;

/// Engines with rows of a model, so that a lookup of one model need not visit every engine.
type Index = BTreeMap<ModelId, BTreeSet<EndpointId>>;

/// A step of the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Reserves memory and loads an item.
    Load {
        /// The engine.
        endpoint: EndpointId,
        /// Index of the accelerator at this engine.
        accelerator: u32,
        /// The model or adapter.
        item: Item,
        /// Memory that it takes.
        memory: Bytes,
    },
    /// Releases and unloads an item.
    Unload {
        /// The engine.
        endpoint: EndpointId,
        /// The model or adapter.
        item: Item,
        /// Whether the configuration still needs a replica of the model, so that the last one must
        /// stay.
        configured: bool,
    },
}

/// The steps that are due.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Steps in the home region, most urgent first.
    pub steps: Vec<Step>,
    /// Models with missing replicas that fit in none of their regions.
    pub unplaced: Vec<ModelId>,
}

/// Input of the planner.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// The configuration in force.
    pub config: &'a Snapshot,
    /// All engines of all regions.
    pub hosts: &'a Hosts,
    /// The region whose steps are planned.
    pub home: &'a RegionId,
    /// Number of replicas that demand calls for.
    pub demand: &'a Demand,
    /// Time since this placer first saw a row of an endpoint in its present state.
    pub age: &'a dyn Fn(EndpointId, &Row) -> Duration,
}

/// A replica of a model's configured version.
#[derive(Clone, Copy)]
struct Copy<'a> {
    endpoint: EndpointId,
    host: &'a Host,
    row: &'a Row,
}

impl Copy<'_> {
    /// Returns whether the model is resident with every adapter for which there is memory. Until
    /// then another replica may be the only one that serves some adapter.
    fn complete(&self, model: &Model) -> bool {
        let ledger = &self.host.ledger;
        let adapters_ready = model.adapters.iter().all(|adapter| {
            let item = adapter_item(model, adapter);
            match ledger.row(&item) {
                Some(row) => row.state == State::Confirmed,
                None => ledger.free(self.row.accelerator) < adapter.memory,
            }
        });
        self.row.state == State::Confirmed && adapters_ready
    }
}

/// Returns the steps that are due in the home region, most urgent first.
pub fn plan(view: &View<'_>) -> Plan {
    let (hosts, plan) = (view.hosts.clone(), Plan::default());
    let index = index(&hosts);
    let mut planner = Planner { view: *view, hosts, index, plan, evicting: false };
    let mut models: Vec<(&Service, &Model)> = engines(view.config).collect();
    // Fewest replicas first, then largest first, since the largest model is the hardest to fit.
    models.sort_by_cached_key(|(_, model)| {
        let copies = copies(view.hosts, &planner.index, model).len();
        (copies, std::cmp::Reverse(model.memory), model.name.clone())
    });
    for (service, model) in &models {
        planner.load_missing(service, model);
    }
    for (_, model) in &models {
        planner.load_adapters(model);
    }
    for (service, model) in &models {
        planner.scale_up(service, model);
    }
    for (_, model) in &models {
        planner.unload_surplus(model);
    }
    planner.unload_unconfigured();
    planner.plan
}

/// Returns the models of a configuration with their services.
pub fn engines(config: &Snapshot) -> impl Iterator<Item = (&Service, &Model)> {
    let services = config.services.iter().filter(|service| service.kind == Kind::Engine);
    services.flat_map(|service| service.models.iter().map(move |model| (service, model)))
}

fn index(hosts: &Hosts) -> Index {
    let mut index = Index::new();
    for (addr, host) in hosts {
        for row in &host.ledger.rows {
            match index.get_mut(&row.item.model) {
                Some(endpoints) => {
                    endpoints.insert(*addr);
                }
                None => {
                    index.insert(row.item.model.clone(), BTreeSet::from([*addr]));
                }
            }
        }
    }
    index
}

/// Returns the rows of a model itself, of any version, on usable hosts.
fn rows<'a>(
    hosts: &'a Hosts,
    index: &Index,
    model: &'a str,
) -> impl Iterator<Item = Copy<'a>> + use<'a> {
    let endpoints: Vec<EndpointId> =
        index.get(model).map(|endpoints| endpoints.iter().copied().collect()).unwrap_or_default();
    let hosts = endpoints.into_iter().filter_map(|addr| Some((addr, hosts.get(&addr)?)));
    let usable = hosts.filter(|(_, host)| host.usable);
    usable.flat_map(move |(endpoint, host)| {
        let rows = host.ledger.rows.iter();
        let model_rows = rows.filter(move |row| row.item.model == model && row.item.is_model());
        model_rows.map(move |row| Copy { endpoint, host, row })
    })
}

/// Returns the replicas of a model's configured version that are loading or resident on usable
/// hosts.
fn copies<'a>(hosts: &'a Hosts, index: &Index, model: &'a Model) -> Vec<Copy<'a>> {
    let rows = rows(hosts, index, &model.name);
    let counted = rows.filter(|copy| {
        copy.row.item.version == model.version
            && matches!(copy.row.state, State::Reserved | State::Confirmed)
    });
    counted.collect()
}

/// The plan in progress.
struct Planner<'a> {
    view: View<'a>,
    /// The engines as they will be after the steps planned so far.
    hosts: Hosts,
    index: Index,
    plan: Plan,
    /// Whether evictions for one model are planned or pending already.
    evicting: bool,
}

impl Planner<'_> {
    /// Plans loads of missing replicas, in the region with the most demand first.
    fn load_missing(&mut self, service: &Service, model: &Model) {
        let existing = copies(&self.hosts, &self.index, model).len();
        for _ in existing..model.copies as usize {
            let regions = self.view.demand.by_demand(&model.name, &service.regions);
            let place = regions.iter().find_map(|region| self.best_fit(model, region));
            let Some((endpoint, accelerator)) = place else {
                self.plan.unplaced.push(model.name.clone());
                self.make_room(service, model);
                return;
            };
            self.add_load(endpoint, accelerator, item(model), model.memory);
        }
    }

    /// Plans one more replica if demand calls for it, or if all replicas are in one data center.
    fn scale_up(&mut self, service: &Service, model: &Model) {
        let home = self.view.home;
        if !service.regions.contains(home) {
            return;
        }
        let copies = copies(&self.hosts, &self.index, model);
        let local = copies.iter().filter(|copy| copy.host.region == *home).count();
        let centers: BTreeSet<&DataCenterId> =
            copies.iter().map(|copy| &copy.host.data_center).collect();
        let in_one_center = copies.len() >= 2 && centers.len() == 1;
        let needed = local < self.view.demand.copies(&model.name, home) as usize;
        if !needed && !in_one_center {
            return;
        }
        let Some((endpoint, accelerator)) = self.best_fit(model, home) else {
            return;
        };
        if needed || !centers.contains(&self.hosts[&endpoint].data_center) {
            self.add_load(endpoint, accelerator, item(model), model.memory);
        }
    }

    /// Plans adapters for each resident replica of the home region, and unloads of replaced ones.
    fn load_adapters(&mut self, model: &Model) {
        let local: Vec<(EndpointId, u32)> = copies(&self.hosts, &self.index, model)
            .iter()
            .filter(|copy| copy.host.region == *self.view.home)
            .filter(|copy| copy.row.state == State::Confirmed)
            .map(|copy| (copy.endpoint, copy.row.accelerator))
            .collect();
        for (endpoint, accelerator) in local {
            for adapter in &model.adapters {
                let item = adapter_item(model, adapter);
                let ledger = &self.hosts[&endpoint].ledger;
                if ledger.row(&item).is_none() && ledger.free(accelerator) >= adapter.memory {
                    self.add_load(endpoint, accelerator, item, adapter.memory);
                }
            }
            self.unload_stale_adapters(model, endpoint);
        }
    }

    /// Reserves memory for a load, and adds a step if it is in the home region.
    fn add_load(&mut self, endpoint: EndpointId, accelerator: u32, item: Item, memory: Bytes) {
        let Some(host) = self.hosts.get_mut(&endpoint) else {
            return;
        };
        if host.ledger.reserve(item.clone(), accelerator, memory, 0).is_err() {
            return;
        }
        self.index.entry(item.model.clone()).or_default().insert(endpoint);
        if host.region == *self.view.home {
            self.plan.steps.push(Step::Load { endpoint, accelerator, item, memory });
        }
    }
}

fn item(model: &Model) -> Item {
    Item { model: model.name.clone(), adapter: None, version: model.version }
}

fn adapter_item(model: &Model, adapter: &Adapter) -> Item {
    let name = Some(adapter.name.clone());
    Item { model: model.name.clone(), adapter: name, version: adapter.version }
}
