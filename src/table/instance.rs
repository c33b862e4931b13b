//! Endpoints as they report themselves, and the daemons of the system.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::table::AdapterId;
use crate::table::DataCenterId;
use crate::table::ModelId;
use crate::table::RegionId;
use crate::table::ServiceId;
use crate::table::SoftwareVersion;

/// One incarnation of an endpoint. Ids and addresses are reused; an id with its start time is not.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The endpoint's id.
    pub id: String,
    /// When it started, in milliseconds since the Unix epoch.
    pub born: u64,
}

impl Key {
    /// Returns whether this is a later incarnation of the same endpoint.
    pub fn is_successor_of(&self, other: &Key) -> bool {
        self.id == other.id && self.born > other.born
    }
}

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It takes new work.
    Live,
    /// It takes no new work.
    Leaving,
}

/// A model in an engine's memory, with its adapters that are in memory too.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The model.
    pub model: ModelId,
    /// Its adapters.
    pub adapters: Vec<AdapterId>,
}

/// The requests per second that an endpoint takes from all daemons together; finite, at least 0.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Limit(f64);

impl Limit {
    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns a part of the limit; `ratio` is at least 0 and at most 1.
    pub fn scaled(self, ratio: f64) -> Self {
        Limit(self.0 * ratio)
    }
}

impl TryFrom<f64> for Limit {
    type Error = InvalidLimit;

    fn try_from(per_second: f64) -> Result<Self, InvalidLimit> {
        let valid = per_second.is_finite() && per_second >= 0.0;
        valid.then_some(Limit(per_second)).ok_or(InvalidLimit)
    }
}

impl From<Limit> for f64 {
    fn from(limit: Limit) -> f64 {
        limit.per_second()
    }
}

/// Error: a limit that is negative or no finite number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidLimit;

impl fmt::Display for InvalidLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a limit must be a finite number and at least 0")
    }
}

impl std::error::Error for InvalidLimit {}

/// The placer's view of what is resident at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Residency {
    /// Number of orders that it had accepted.
    pub orders: u64,
    /// Models and adapters that are resident and stay so.
    pub resident: Vec<Resident>,
    /// Time for which it takes no order for an adapter, in milliseconds.
    pub busy: u32,
}

/// Returns whether a model, and the adapter if one is named, is among the resident ones.
pub fn is_resident(resident: &[Resident], model: &str, adapter: Option<&str>) -> bool {
    let row = resident.iter().find(|row| row.model == model);
    row.is_some_and(|row| adapter.is_none_or(|name| row.adapters.iter().any(|other| other == name)))
}

/// Copies of weights that load faster than from the weight store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Copies {
    /// Models in the engine's host memory.
    pub memory: Vec<ModelId>,
    /// Models on the engine's disk.
    pub disk: Vec<ModelId>,
}

impl Copies {
    /// Returns whether a model loads faster than from the weight store.
    pub fn has(&self, model: &ModelId) -> bool {
        self.memory.contains(model) || self.disk.contains(model)
    }
}

/// An endpoint in the platform's list.
#[derive(Debug, Clone, PartialEq)]
pub struct Instance {
    /// The endpoint's id and incarnation.
    pub key: Key,
    /// The service that it runs.
    pub service: ServiceId,
    /// Version of its software; not empty.
    pub software: SoftwareVersion,
    /// The address on which it serves.
    pub address: SocketAddr,
    /// Its data center.
    pub data_center: DataCenterId,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Remaining time of the slow phase after its start.
    pub warmup: Duration,
    /// Time until it shuts down, if it reports one.
    pub remaining: Option<Duration>,
    /// Models and adapters in its memory.
    pub resident: Vec<Resident>,
    /// Copies of weights in its host memory and on its disk.
    pub copies: Copies,
    /// Heartbeat counter.
    pub heartbeat: u64,
}

/// An engine's own report.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// When the engine that answered started, if it reports that: addresses are reused.
    pub started_at: Option<u64>,
    /// Whether it is still loading or unloading a model.
    pub busy: bool,
    /// Number of orders that it has accepted since its start.
    pub orders: u64,
    /// Models and adapters in its memory.
    pub resident: Vec<Resident>,
    /// Number of adapters that are being loaded; they already occupy adapter slots.
    pub pending_adapters: usize,
    /// Copies of weights in its host memory and on its disk.
    pub copies: Copies,
}

/// A daemon of the system as it registers itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Its machine's name.
    pub name: String,
    /// The address that callers connect to.
    pub front: SocketAddr,
    /// The address on which it receives from other daemons.
    pub peer: SocketAddr,
    /// Its region.
    pub region: RegionId,
    /// Its data center.
    pub data_center: DataCenterId,
    /// When it started, in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// Its share of processors, in thousandths of a core.
    #[serde(default)]
    pub millicores: u32,
    /// Heartbeat counter.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Whether it takes new callers.
    pub ready: bool,
}

impl Node {
    /// Exponent of the processor share in a machine's weight.
    const WEIGHT_EXPONENT: i32 = 4;

    /// Returns the weight of this daemon for work done on behalf of a whole region. A machine with
    /// a quarter of the processor share gets such work only where there is no larger one.
    pub fn weight(&self) -> f64 {
        f64::from(self.millicores.max(1)).powi(Self::WEIGHT_EXPONENT)
    }
}
