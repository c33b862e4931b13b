//! The configuration that operators publish: routes, services and limits as one validated version.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::table::ModelId;
use crate::table::ServiceId;
use crate::table::instance::Copies;
use crate::table::team::Key;
use crate::table::team::Team;
use crate::table::team::Teams;

/// Whether requests may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once for each request of a caller.
    Unsafe,
    /// Answered by a stream of events; runs at most once unless the route is resumable.
    Streaming,
}

/// The target of requests with one path prefix, and their treatment.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that it serves.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub kind: Kind,
    /// Whether an interrupted stream may continue at another endpoint.
    pub resumable: bool,
    /// Maximum time until the final answer to a request.
    pub timeout: Duration,
    /// Target latency of an answer; for streams, of the first event.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream that is still on time.
    pub max_pause: Option<Duration>,
    /// Time without an event, from the request on, after which callers give a stream up; none if
    /// they wait until the deadline.
    pub patience: Option<Duration>,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights; never empty, weights above 0.
    pub targets: Vec<(ServiceId, f64)>,
    /// Maximum number of endpoints that one request may run on; at least 1.
    pub max_attempts: u32,
    /// Whether it accepts requests without a key.
    pub public: bool,
}

impl Route {
    /// Returns whether a request that may have run may be sent again.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// Returns the service for a random number from 0 to 1.
    pub fn service(&self, sample: f64) -> &ServiceId {
        let total: f64 = self.targets.iter().map(|(_, weight)| weight).sum();
        let mut remaining = sample * total;
        for (service, weight) in &self.targets {
            remaining -= weight;
            if remaining < 0.0 {
                return service;
            }
        }
        &self.targets[0].0
    }
}

/// A published model.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: ModelId,
    /// Size of its weights, in MB.
    pub weights_mb: f64,
    /// Size of each of its adapters, in MB.
    pub adapter_mb: f64,
    /// Load time from the weight store.
    pub store_load_time: Duration,
    /// Load time from the engine's disk.
    pub disk_load_time: Duration,
    /// Load time from the engine's host memory.
    pub memory_load_time: Duration,
}

impl Model {
    /// Returns the load time at an engine that has these copies of weights.
    pub fn load_time(&self, copies: &Copies) -> Duration {
        if copies.memory.contains(&self.name) {
            self.memory_load_time
        } else if copies.disk.contains(&self.name) {
            self.disk_load_time
        } else {
            self.store_load_time
        }
    }
}

/// Properties that all engines of a service share.
#[derive(Debug, Clone, PartialEq)]
pub struct Engines {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Size of the KV cache, in tokens.
    pub kv_tokens: u64,
    /// Memory for weights and adapters together, in MB.
    pub weights_mb: f64,
    /// Number of adapters that can be resident at once.
    pub adapter_slots: u32,
    /// Rate limit of loads from the weight store, per second over all engines.
    pub loads_per_second: f64,
    /// The models that requests may name.
    pub models: Vec<Model>,
}

impl Engines {
    /// Returns a model by its name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }
}

/// A service and the properties that its endpoints share.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Maximum number of connections to one endpoint from all callers together.
    pub max_connections: u32,
    /// Path of its endpoints' health checks, if they have one.
    pub health_path: Option<String>,
    /// Properties of its engines; none for a plain service.
    pub engines: Option<Engines>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time until a request's head is complete.
    pub head_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of all routes and services.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Version number; increases with each change.
    pub version: u64,
    /// Routes by host; the longest prefix first.
    routes: HashMap<String, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceId, Rc<Service>>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// The teams that may call; none if anybody may.
    pub teams: Option<Teams>,
}

/// Error: a request has no key that its route accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unauthorized;

impl Config {
    /// Creates a configuration from its parts, without teams.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut hosts: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        for host_routes in hosts.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|row| (row.name.clone(), Rc::new(row))).collect();
        Config { version, routes: hosts, services, limits, teams: None }
    }

    /// Returns the configuration with access restricted to the keys of these teams.
    pub fn with_teams(self, teams: Option<Teams>) -> Self {
        Config { teams, ..self }
    }

    /// Returns the team of a request with this key, or none if the route or the configuration
    /// requires no key.
    pub fn team(&self, route: &Route, key: Option<&Key>) -> Result<Option<Rc<Team>>, Unauthorized> {
        let Some(teams) = &self.teams else {
            return Ok(None);
        };
        match key.and_then(|key| teams.find(key)) {
            Some(team) => Ok(Some(team.clone())),
            None if route.public => Ok(None),
            None => Err(Unauthorized),
        }
    }

    /// Returns the route with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host_routes = self.routes.get(host)?;
        host_routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the number of routes.
    pub fn routes(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns the services whose endpoints are engines.
    pub fn engines(&self) -> impl Iterator<Item = (&Rc<Service>, &Engines)> {
        self.services.values().filter_map(|row| Some((row, row.engines.as_ref()?)))
    }
}
