//! Validated description of a service.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::table::AdapterId;
use crate::table::Bytes;
use crate::table::ModelId;
use crate::table::RegionId;
use crate::table::Release;
use crate::table::ServiceId;

/// Kind of the endpoints behind a service.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Model engines that stream tokens.
    Engine,
    /// Plain HTTP services.
    Plain,
}

/// Priority class, most urgent first.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Class {
    /// Calls with a lasting effect, such as filings and bookings.
    Record,
    /// Calls that a person waits for, such as drafts and quotes.
    Interactive,
    /// Calls that a person waits for with less urgency, such as revisions, tags and screens.
    Revision,
    /// Calls that no person waits for, such as overnight rewrites.
    Batch,
}

/// Adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// Name, unique within the model.
    pub name: AdapterId,
    /// Release number, at least 1; it rises when the adapter is replaced.
    pub version: Release,
    /// Memory in bytes; above 0.
    pub memory: Bytes,
}

/// Model of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name, unique across all services; contains no `:`.
    pub name: ModelId,
    /// Release number, at least 1; it rises when the model is replaced.
    pub version: Release,
    /// Memory in bytes; above 0 and at most that of one accelerator.
    pub memory: Bytes,
    /// Wanted number of resident replicas across all regions; at least 1.
    pub copies: u32,
    /// Adapters; their names differ.
    pub adapters: Vec<Adapter>,
}

/// Service of the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique across the configuration.
    pub name: ServiceId,
    /// Kind of its endpoints.
    pub kind: Kind,
    /// Priority class of its requests.
    pub class: Class,
    /// Regions where it may run; never empty. Most of its callers are in the first.
    pub regions: Vec<RegionId>,
    /// Deadline of requests whose caller sets none; above 0.
    pub deadline: Duration,
    /// Weight under contention; 1 to 1000.
    pub share: u32,
    /// Whether a call may run more than once; always true for engines.
    pub repeatable: bool,
    /// Models; empty for plain services, never empty for engines.
    pub models: Vec<Model>,
}
