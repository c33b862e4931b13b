//! Entities in plain tables, keyed by the ids below.

pub mod instance;
pub mod routing;
pub mod team;

use std::net::SocketAddr;

/// An endpoint is named by the address on which it serves.
pub type EndpointId = SocketAddr;
/// An entry is named by the address on which it answers its peers.
pub type EntryId = SocketAddr;
/// A start of a process: a later start has a higher number.
pub type Incarnation = u64;
/// A region, as the platform's list spells it.
pub type RegionId = String;
/// A data center, as the platform's list spells it.
pub type DataCenterId = String;
/// A service, as its file names it.
pub type ServiceId = String;
/// A model; unique over all services.
pub type ModelId = String;
/// An adapter; unique within its model.
pub type AdapterId = String;
/// The version of a model or adapter.
pub type Release = u64;
/// A team, as the configuration names it.
pub type TeamId = String;
/// A caller, as its header names it.
pub type CallerId = String;
/// A request within one entry.
pub type RequestId = u64;
/// One try of a request at one endpoint; never used twice by any entry.
pub type AttemptId = String;
/// An order to an endpoint; never used twice.
pub type OrderId = u64;
/// The fencing number of a lease.
pub type Fence = u64;
/// Memory, in bytes.
pub type Bytes = u64;
