//! Settings of a daemon, given at its start.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

pub use crate::decide::allowance::Retries;
use crate::table::DataCenterId;
use crate::table::RegionId;

/// Limit on loads from the weight store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ceiling {
    /// Window over which loads are counted.
    pub window: Duration,
}

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of its instance; unique.
    pub name: String,
    /// Its region.
    pub region: RegionId,
    /// Its data center.
    pub data_center: DataCenterId,
    /// Region of each data center.
    pub data_centers: BTreeMap<DataCenterId, RegionId>,
    /// Processor share of its instance, in thousandths of a core.
    pub millicores: u32,
    /// Memory that the process may use, in bytes; none if it is not stated.
    pub memory: Option<usize>,
    /// Descriptors that the process may have open; none if it is not stated.
    pub descriptors: Option<usize>,
    /// Address that serves callers' requests.
    pub front: SocketAddr,
    /// Address that serves readiness checks.
    pub readiness: SocketAddr,
    /// Address that serves callers' lookups of daemon addresses.
    pub directory: SocketAddr,
    /// Address for messages between daemons, by UDP and TCP.
    pub peer: SocketAddr,
    /// Address that serves counters and histograms.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Duration of the lease on placement.
    pub lease_duration: Duration,
    /// Time within which the process has to end after a stop was requested.
    pub grace_period: Duration,
    /// Longest time for which callers may cache an answer of the directory.
    pub max_directory_ttl: Duration,
    /// Limits of the retry budget.
    pub retries: Retries,
    /// Limit on loads from the weight store.
    pub ceiling: Ceiling,
}
