//! The placer: its state and the rounds in which it updates ledgers and sends orders.
//!
//! A round renews the lease, reads configuration, ledgers and reports that are due, applies the
//! reports to the ledgers, plans, writes reservations and releases, and sends orders. The lease is
//! checked again before each write of a ledger and each order.

pub mod apply;
pub mod leadership;
pub mod object;
pub mod order;
pub mod read;
pub mod release;
pub mod rpc;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use crate::config::settings;
use crate::config::snapshot::Snapshot;
use crate::decide::lease::Elector;
use crate::decide::lease::Holder;
use crate::decide::ledger::Ledger;
use crate::decide::ledger::Row;
use crate::decide::ledger::State;
use crate::decide::ledger::copies::Copies;
use crate::decide::place::Host;
use crate::decide::place::Hosts;
use crate::decide::place::demand::Demand;
use crate::edge::endpoint::Report;
use crate::edge::endpoint::control::Control;
use crate::edge::platform::Instance;
use crate::edge::platform::Platform;
use crate::edge::platform::Presence;
use crate::edge::platform::Role;
use crate::edge::platform::Version;
use crate::metric::Metrics;
use crate::table::EndpointId;
use crate::table::Fence;
use crate::table::Incarnation;
use crate::table::ModelId;
use crate::table::OrderId;

/// Age of an endpoint's last report from which its replicas no longer count.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(15);

/// Source of the time since a placer's start; a parameter, so that tests can pause single placers.
pub type Clock = Box<dyn Fn() -> Duration + Send + Sync>;

/// A placer with its connections to the platform and to the endpoints.
pub struct Placer<P, C> {
    /// The settings of this process.
    pub settings: settings::Placer,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The counters of this process.
    pub metrics: Arc<Metrics>,
    platform: P,
    control: C,
    clock: Clock,
    inventory: Mutex<Inventory>,
}

/// The last known state of an engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The engine's entry in the platform's instance list.
    pub instance: Instance,
    /// The ledger as last read or written.
    pub ledger: Ledger,
    /// The version of the ledger object; `None` while there is no object.
    pub version: Option<Version>,
    /// The last report and the time of its receipt; only for engines of the home region.
    pub report: Option<(Report, Duration)>,
    /// Time of the last request for a report.
    pub requested_at: Option<Duration>,
}

/// The state of a placer.
#[derive(Debug)]
pub struct Inventory {
    /// The lease of the home region.
    pub lease: Elector,
    /// The term that was last counted and logged; `None` without the lease.
    pub logged_term: Option<Fence>,
    /// The term in which all ledgers were read anew; `None` before the first.
    pub loaded_term: Option<Fence>,
    /// The configuration in force.
    pub config: Snapshot,
    /// All engines, by address.
    pub engines: BTreeMap<EndpointId, Engine>,
    /// The copies objects with their versions, by model.
    pub copies: BTreeMap<ModelId, (Version, Copies)>,
    /// Demand reported by the entries, and the replicas that it requires.
    pub demand: Demand,
    /// Time at which a row was first seen in its present state.
    pub state_since: BTreeMap<(EndpointId, OrderId, State), Duration>,
    /// Time at which this process last sent an order.
    pub last_sent: BTreeMap<(EndpointId, OrderId, Incarnation), Duration>,
    /// Models with missing replicas that the last plan could place in none of their regions.
    pub unplaced: Vec<ModelId>,
    /// Time of the last read of configuration, instance list and ledgers.
    pub refreshed_at: Option<Duration>,
}

impl<P: Platform, C: Control> Placer<P, C> {
    /// Creates a placer that has not read anything yet.
    pub fn new(
        settings: settings::Placer,
        incarnation: Incarnation,
        metrics: Arc<Metrics>,
        platform: P,
        control: C,
        clock: Clock,
    ) -> Self {
        let me = Holder { address: settings.peer.to_string(), incarnation };
        let lease = Elector::new(me, Duration::from_millis(settings.lease_ms));
        let inventory = Mutex::new(Inventory::new(lease));
        Placer { settings, incarnation, metrics, platform, control, clock, inventory }
    }

    /// Returns the time since the start of this process.
    pub fn now(&self) -> Duration {
        (self.clock)()
    }

    /// Returns the current term, or `None` if this placer does not hold the lease.
    pub fn term(&self) -> Option<Fence> {
        let now = self.now();
        self.inventory().lease.term(now)
    }

    /// Locks the state. The guard must not be held across an await.
    pub fn inventory(&self) -> MutexGuard<'_, Inventory> {
        self.inventory.lock().expect("placer state lock poisoned")
    }

    /// Runs one round, including the renewal of the lease.
    pub async fn run_round(&self) {
        self.renew_lease().await;
        self.reconcile().await;
    }

    /// Runs one round without the renewal of the lease, which runs concurrently: a hanging endpoint
    /// delays a round by seconds, and the lease must not expire meanwhile.
    pub async fn reconcile(&self) {
        self.refresh().await;
        let Some(term) = self.term() else {
            return;
        };
        if !self.load_term(term).await {
            return;
        }
        self.read_reports().await;
        self.apply_reports(term).await;
        self.apply_plan(term).await;
        self.send_orders(term).await;
    }
}

impl Inventory {
    fn new(lease: Elector) -> Self {
        Inventory {
            lease,
            logged_term: None,
            loaded_term: None,
            config: Snapshot::default(),
            engines: BTreeMap::new(),
            copies: BTreeMap::new(),
            demand: Demand::default(),
            state_since: BTreeMap::new(),
            last_sent: BTreeMap::new(),
            unplaced: Vec::new(),
            refreshed_at: None,
        }
    }

    /// Returns the engines as input of the planner.
    pub fn hosts(&self, now: Duration, home: &str) -> Hosts {
        let hosts = self.engines.iter().map(|(endpoint, engine)| {
            let host = Host {
                region: engine.instance.region.clone(),
                data_center: engine.instance.data_center.clone(),
                usable: engine.is_usable(now, home),
                ledger: engine.ledger.clone(),
            };
            (*endpoint, host)
        });
        hosts.collect()
    }

    /// Returns the time for which a row has been known in its present state.
    pub fn row_age(&self, now: Duration, endpoint: EndpointId, row: &Row) -> Duration {
        let entered_at = self.state_since.get(&(endpoint, row.order, row.state));
        entered_at.map_or(Duration::ZERO, |entered_at| now.saturating_sub(*entered_at))
    }

    /// Records the time at which rows entered their state, and drops the times of rows and orders
    /// that are gone.
    pub fn record_row_times(&mut self, now: Duration) {
        let mut entry_times = BTreeMap::new();
        for (endpoint, engine) in &self.engines {
            for row in &engine.ledger.rows {
                let key = (*endpoint, row.order, row.state);
                let entered_at = self.state_since.get(&key).copied().unwrap_or(now);
                entry_times.insert(key, entered_at);
            }
        }
        self.state_since = entry_times;
        let engines = &self.engines;
        self.last_sent.retain(|(endpoint, order, _), _| {
            engines.get(endpoint).is_some_and(|engine| engine.ledger.references(*order))
        });
    }

    /// Replaces the list of engines and keeps the state of those that remain.
    pub fn set_instances(&mut self, instances: Vec<Instance>) {
        let engines = instances.into_iter().filter(|instance| instance.role == Role::Engine);
        let mut known = std::mem::take(&mut self.engines);
        for instance in engines {
            let endpoint = instance.address;
            let engine = match known.remove(&endpoint) {
                Some(engine) => Engine { instance, ..engine },
                None => Engine::new(instance),
            };
            self.engines.insert(endpoint, engine);
        }
    }
}

impl Engine {
    fn new(instance: Instance) -> Self {
        Engine {
            instance,
            ledger: Ledger::default(),
            version: None,
            report: None,
            requested_at: None,
        }
    }

    /// Returns whether the engine's replicas count and new ones may be loaded there. For engines of
    /// other regions only the instance list is used, as their reports are not read.
    fn is_usable(&self, now: Duration, home: &str) -> bool {
        let live = self.instance.state == Presence::Live;
        let has_valid_report = self.report.as_ref().is_some_and(|(report, received_at)| {
            !report.draining
                && now.saturating_sub(*received_at) < REPORT_TIMEOUT
                && report.incarnation == self.ledger.incarnation
        });
        live && (has_valid_report || self.instance.region != home)
    }
}
