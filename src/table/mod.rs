//! Plain data tables of the system's entities, keyed by the ids below.

pub mod instance;
pub mod routing;
pub mod team;

use std::net::SocketAddr;

/// Id of an endpoint: the address on which it serves.
pub type EndpointId = SocketAddr;
/// Id of an entry: the address on which it answers its peers.
pub type EntryId = SocketAddr;
/// Version of an endpoint's software, as its record spells it; versions have no order.
pub type SoftwareVersion = String;
/// Number of a process's start; a later start has a higher number.
pub type Incarnation = u64;
/// Id of a region, as spelled in the platform's list.
pub type RegionId = String;
/// Id of a data center, as spelled in the platform's list.
pub type DataCenterId = String;
/// Name of a service, from its service file.
pub type ServiceId = String;
/// Name of a model; unique among all services.
pub type ModelId = String;
/// Name of an adapter; unique within its model.
pub type AdapterId = String;
/// Version of a model or adapter.
pub type Release = u64;
/// Name of a team, from the configuration.
pub type TeamId = String;
/// Name of a caller, from its header.
pub type CallerId = String;
/// Id of a request within one entry.
pub type RequestId = u64;
/// Hash of a request's content: equal if its caller sends it again.
pub type Fingerprint = u64;
/// Id of a part of prompts, as callers name it.
pub type PartId = u64;
/// Hash of an attempt's id; the same at all daemons that it passes.
pub type RunId = u32;
/// Hash of the attempt that brought the first event of a stream, and of who made it where.
pub type StreamId = u64;
/// Id of an attempt to run a request at one endpoint; no entry ever uses one twice.
pub type AttemptId = String;
/// Id of an order to an endpoint; never used twice.
pub type OrderId = u64;
/// Fencing token of a lease.
pub type Fence = u64;
/// Amount of memory in bytes.
pub type Bytes = u64;
