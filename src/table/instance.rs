//! Endpoints as they tell of themselves, and the daemons of the system.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::table::AdapterId;
use crate::table::DataCenterId;
use crate::table::ModelId;
use crate::table::RegionId;
use crate::table::ServiceId;

/// One start of an endpoint. Ids and addresses come again; the two together do not.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The id that it goes by.
    pub id: String,
    /// Its start, in milliseconds since the Unix epoch.
    pub born: u64,
}

/// Whether an endpoint stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Live,
    /// Takes no new work.
    Leaving,
}

/// A model in an engine's memory, with those of its adapters that are there too.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The model.
    pub model: ModelId,
    /// Its adapters.
    pub adapters: Vec<AdapterId>,
}

/// What an engine holds, by the placer's knowledge.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stock {
    /// Orders that it had accepted.
    pub orders: u64,
    /// What it holds and goes on to hold.
    pub resident: Vec<Resident>,
    /// For so many milliseconds it takes no order for an adapter.
    pub busy: u32,
}

/// Whether a model is among what an engine holds, and with it the adapter where one is named.
pub fn holds(resident: &[Resident], model: &str, adapter: Option<&str>) -> bool {
    let row = resident.iter().find(|row| row.model == model);
    row.is_some_and(|row| adapter.is_none_or(|name| row.adapters.iter().any(|other| other == name)))
}

/// Copies of weights that load faster than from the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Copies {
    /// In the engine's host memory.
    pub memory: Vec<ModelId>,
    /// On the engine's disk.
    pub disk: Vec<ModelId>,
}

impl Copies {
    /// Whether a model loads faster than from the store.
    pub fn has(&self, model: &ModelId) -> bool {
        self.memory.contains(model) || self.disk.contains(model)
    }
}

/// An endpoint as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Instance {
    /// Which start of which endpoint.
    pub key: Key,
    /// The service that it runs.
    pub service: ServiceId,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its data center.
    pub data_center: DataCenterId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it stays.
    pub state: State,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// How long it will still be there, where it says so.
    pub remaining: Option<Duration>,
    /// What it holds.
    pub resident: Vec<Resident>,
    /// Copies of weights at hand.
    pub copies: Copies,
    /// Counts its heartbeats.
    pub beat: u64,
}

/// An engine's own report.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Which start of the engine answered, where it says so: addresses come again.
    pub born: Option<u64>,
    /// Whether it is still busy with a load or an unload of a model.
    pub busy: bool,
    /// Orders that it has accepted since its start.
    pub orders: u64,
    /// What it holds.
    pub resident: Vec<Resident>,
    /// Adapters on their way there, which take up places already.
    pub coming: usize,
    /// Copies of weights at hand.
    pub copies: Copies,
}

/// A daemon of the system, as it registers itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Its machine's name.
    pub name: String,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where it hears other daemons.
    pub peer: SocketAddr,
    /// Its region.
    pub region: RegionId,
    /// Its data center.
    pub data_center: DataCenterId,
    /// Its start, in milliseconds since the Unix epoch.
    pub born: u64,
    /// How much processor it has, in thousandths of a core.
    #[serde(default)]
    pub millicores: u32,
    /// Rises with each heartbeat.
    pub beat: u64,
    /// Whether it takes new callers.
    pub ready: bool,
}

impl Node {
    /// The power of a machine's processor by which it is preferred.
    const POWER: i32 = 4;

    /// How much it is preferred for work that is done for a whole region: a machine with a quarter of
    /// the processor takes it only where there is no larger one.
    pub fn weight(&self) -> f64 {
        f64::from(self.millicores.max(1)).powi(Self::POWER)
    }
}
