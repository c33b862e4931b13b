//! What operators publish: routes, services and limits, as one checked version.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::table::ModelId;
use crate::table::ServiceId;
use crate::table::instance::Copies;
use crate::table::team::Key;
use crate::table::team::Team;
use crate::table::team::Teams;

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once for each request of a caller.
    Unsafe,
    /// Answers with a series of events; runs at most once unless the route is resumable.
    Streaming,
}

/// Where requests of one path prefix go and how they are treated.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host it serves.
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Whether a stream that broke may go on at another endpoint.
    pub resumable: bool,
    /// The longest a request may go without its final answer.
    pub timeout: Duration,
    /// An answer within this time is on time; for streams their first event.
    pub aim: Duration,
    /// The longest pause between events that is still on time.
    pub gap: Option<Duration>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights; never empty, weights above 0.
    pub targets: Vec<(ServiceId, f64)>,
    /// Endpoints that one request may run on; at least 1.
    pub attempts: u32,
    /// Whether it takes requests without a key.
    pub public: bool,
}

impl Route {
    /// Whether a request that may have run may be sent again.
    pub fn idempotent(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// The service for a draw from 0 to 1.
    pub fn service(&self, draw: f64) -> &ServiceId {
        let total: f64 = self.targets.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * total;
        for (service, weight) in &self.targets {
            left -= weight;
            if left < 0.0 {
                return service;
            }
        }
        &self.targets[0].0
    }
}

/// A model as it is published.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: ModelId,
    /// The size of its weights, in MB.
    pub weights: f64,
    /// The size of one of its adapters, in MB.
    pub adapter: f64,
    /// How long a load from the weight store takes.
    pub cold: Duration,
    /// How long a load from the engine's disk takes.
    pub disk: Duration,
    /// How long a load from the engine's host memory takes.
    pub warm: Duration,
}

impl Model {
    /// How long a load takes at an engine with these copies at hand.
    pub fn load(&self, copies: &Copies) -> Duration {
        if copies.memory.contains(&self.name) {
            self.warm
        } else if copies.disk.contains(&self.name) {
            self.disk
        } else {
            self.cold
        }
    }
}

/// What all engines of a service have in common.
#[derive(Debug, Clone, PartialEq)]
pub struct Engines {
    /// Requests in one batch.
    pub slots: u32,
    /// KV cache, in tokens.
    pub tokens: u64,
    /// Room for weights and adapters together, in MB.
    pub weights: f64,
    /// Adapters held at once.
    pub adapters: u32,
    /// Loads from the weight store a second, over all engines.
    pub loads: f64,
    /// The models that requests may name.
    pub models: Vec<Model>,
}

impl Engines {
    /// A model by its name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }
}

/// A service and what its endpoints have in common.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Connections that one endpoint accepts from all callers together.
    pub connections: u32,
    /// None for a plain service.
    pub engines: Option<Engines>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// How long a head may take.
    pub head_time: Duration,
    /// How long a connection may stand idle.
    pub idle: Duration,
}

/// One version of all routes and services.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Rises with each change.
    pub version: u64,
    /// Routes by host; the longest prefix first.
    routes: HashMap<String, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceId, Rc<Service>>,
    /// What callers may send.
    pub limits: Limits,
    /// Who may call; none where anybody may.
    pub teams: Option<Teams>,
}

/// A request bears no key that its route takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unknown;

impl Config {
    /// A version from its parts.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut hosts: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|row| (row.name.clone(), Rc::new(row))).collect();
        Config { version, routes: hosts, services, limits, teams: None }
    }

    /// The same for callers with the keys of these teams alone.
    pub fn with_teams(self, teams: Option<Teams>) -> Self {
        Config { teams, ..self }
    }

    /// The team of a request with this key; none where the route or the configuration needs no key.
    pub fn team(&self, route: &Route, key: Option<&Key>) -> Result<Option<Rc<Team>>, Unknown> {
        let Some(teams) = &self.teams else {
            return Ok(None);
        };
        match key.and_then(|key| teams.find(key)) {
            Some(team) => Ok(Some(team.clone())),
            None if route.public => Ok(None),
            None => Err(Unknown),
        }
    }

    /// The route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let list = self.routes.get(host)?;
        list.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// How many routes there are.
    pub fn routes(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// The services whose endpoints are engines.
    pub fn engines(&self) -> impl Iterator<Item = (&Rc<Service>, &Engines)> {
        self.services.values().filter_map(|row| Some((row, row.engines.as_ref()?)))
    }
}
