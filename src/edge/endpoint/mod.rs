//! The interface to endpoints: model engines and plain services.

pub mod call;
pub mod control;
mod exchange;

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use crate::table::AdapterId;
use crate::table::Bytes;
use crate::table::Fence;
use crate::table::Incarnation;
use crate::table::ModelId;
use crate::table::OrderId;
use crate::table::Release;

/// Header: attempt ID, or the name of another request to an endpoint. The response repeats it, as
/// does every part of a stream; a response that doesn't is no evidence of what became of the request.
pub const ATTEMPT: &str = "x-attempt";
/// Header: priority, 0 is the most urgent.
pub const PRIORITY: &str = "x-priority";
/// Header: time left until the caller's deadline, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";
/// Header: index of the first requested token, when a stream is resumed.
pub const RESUME_FROM: &str = "x-resume-from";
/// Response header: the endpoint's load as `running/waiting` requests.
pub const LOAD: &str = "x-load";
/// Response header: `leaving` if the endpoint accepts no new requests.
pub const PRESENCE: &str = "x-presence";

/// One event of a token stream. Only an event with `done` set ends a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Attempt that this part belongs to.
    pub attempt: String,
    /// Index of the token, counted from 0 over the complete response even if it was resumed.
    pub index: u64,
    /// Text of the token; empty on the last part.
    #[serde(default)]
    pub text: String,
    /// Whether this is the last part; its `index` is then the total number of tokens.
    #[serde(default)]
    pub done: bool,
}

/// The operation that an order requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Action {
    /// Load a model.
    Load,
    /// Unload a model and its adapters.
    Unload,
    /// Load an adapter of a resident model.
    LoadAdapter,
    /// Unload an adapter.
    UnloadAdapter,
    /// Change the engine's role.
    SetRole,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Unique ID; an engine applies an order once.
    pub order: OrderId,
    /// Fencing token of the lease; some engines refuse older tokens, others ignore them.
    pub fence: Fence,
    /// Requested operation.
    pub action: Action,
    /// Model to operate on.
    pub model: ModelId,
    /// Version of the adapter if one is given, else of the model.
    pub version: Release,
    /// Adapter to operate on.
    #[serde(default)]
    pub adapter: Option<AdapterId>,
    /// Index of the accelerator that holds or will hold the model or adapter.
    pub accelerator: u32,
    /// Memory that the load will occupy.
    pub memory: Bytes,
}

/// The loading state of a model or adapter on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// Occupies memory, cannot serve yet.
    Loading,
    /// Serves requests.
    Resident,
    /// Occupies memory, serves no new requests.
    Unloading,
}

/// A model or adapter on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// Model.
    pub model: ModelId,
    /// Version of the adapter if one is given, else of the model.
    pub version: Release,
    /// Adapter; `None` for the model itself.
    #[serde(default)]
    pub adapter: Option<AdapterId>,
    /// Index of the accelerator that holds it.
    pub accelerator: u32,
    /// Memory that it occupies.
    pub memory: Bytes,
    /// Loading state.
    pub stage: Stage,
}

/// An accelerator of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accelerator {
    /// Total memory.
    pub capacity: Bytes,
    /// Occupied memory, including what is loading or unloading; at most `capacity`.
    pub used: Bytes,
}

/// A status report of an endpoint, which may lag behind its actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the endpoint.
    pub incarnation: Incarnation,
    /// Incremented with each reported state within one incarnation.
    pub sequence: u64,
    /// Accelerators; empty for plain services.
    pub accelerators: Vec<Accelerator>,
    /// Models and adapters that occupy memory.
    pub resident: Vec<Resident>,
    /// IDs of the latest applied orders, oldest first, at most 64.
    pub applied: Vec<OrderId>,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests waiting at the endpoint.
    pub waiting: u32,
    /// Whether the endpoint accepts no new requests.
    pub draining: bool,
}

/// Whether a call ran, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The call cannot have had any effect.
    NotRun,
    /// The call ran.
    Ran,
    /// The call may have run.
    Unknown,
}

/// A failure of a call to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No connection was established: nothing was sent.
    Connect,
    /// The endpoint did not run the call; holds the status and the retry-after time, if stated.
    Refused(u16, Option<Duration>),
    /// The order had an outdated fencing token.
    Fenced,
    /// The connection broke after bytes were sent.
    Broken,
    /// No response, or no next part, arrived within the limit.
    Timeout,
    /// The stream ended without its last part, or parts were missing.
    Truncated,
    /// The response belongs to another attempt and was discarded.
    Foreign,
    /// The response violates the protocol.
    Protocol(String),
}

impl Error {
    /// Returns whether the call ran, as far as this failure shows.
    pub fn outcome(&self) -> Outcome {
        match self {
            Error::Connect | Error::Refused(..) | Error::Fenced => Outcome::NotRun,
            Error::Broken
            | Error::Timeout
            | Error::Truncated
            | Error::Foreign
            | Error::Protocol(_) => Outcome::Unknown,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect => write!(f, "could not connect"),
            Error::Refused(status, _) => write!(f, "refused with {status}"),
            Error::Fenced => write!(f, "outdated fencing token"),
            Error::Broken => write!(f, "connection broke"),
            Error::Timeout => write!(f, "timed out"),
            Error::Truncated => write!(f, "stream ended before its last part"),
            Error::Foreign => write!(f, "response belongs to another attempt"),
            Error::Protocol(what) => write!(f, "unexpected response: {what}"),
        }
    }
}

impl std::error::Error for Error {}
