//! The wire protocol of a platform: decodes and encodes the messages of callers, endpoints and the
//! object store.
//!
//! An implementation only translates and makes no decisions. All bodies are complete buffers; the
//! daemon does the I/O.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request;
use http::response;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::table::AdapterId;
use crate::table::ModelId;
use crate::table::RegionId;
use crate::table::instance::Instance;
use crate::table::instance::Limit;
use crate::table::instance::Report;
use crate::table::routing::Config;
use crate::table::team::Key;

/// A message that could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The body is not JSON of the expected shape.
    Shape(String),
    /// A field has a value that is not allowed.
    Value {
        /// Name of the field.
        field: String,
        /// Description of the error.
        problem: String,
    },
    /// The response has a status that is not defined for this call.
    Status(StatusCode),
    /// The request could not be built, for example because a name cannot be put into a path.
    Request(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Shape(problem) => write!(f, "unexpected message format: {problem}"),
            Error::Value { field, problem } => write!(f, "{field}: {problem}"),
            Error::Status(status) => write!(f, "unexpected status {status}"),
            Error::Request(problem) => write!(f, "cannot build the request: {problem}"),
        }
    }
}

impl std::error::Error for Error {}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Identifier of the part's text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Metadata that a caller's request states about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Caller {
    /// Request ID; each retry by the caller has a new one.
    pub id: String,
    /// Host name, which selects the routes.
    pub host: String,
    /// Time that the caller will wait.
    pub timeout: Option<Duration>,
    /// Requested model.
    pub model: Option<ModelId>,
    /// Requested adapter of that model.
    pub adapter: Option<AdapterId>,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// ID of the last event received from an interrupted stream.
    pub last_event: Option<String>,
    /// ID of the caller's attempt that received the first event of an interrupted stream.
    pub resumes: Option<String>,
    /// Prompt and output tokens together, if the request states the sum.
    pub total_tokens: Option<u32>,
    /// API key; `None` if it is absent, unreadable or given more than once.
    pub key: Option<Key>,
}

/// Headers that one attempt adds to a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt<'a> {
    /// Endpoint the attempt is addressed to; any other endpoint refuses it.
    pub endpoint: &'a str,
    /// Time left until the deadline.
    pub remaining: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: Option<u8>,
    /// ID of the last event received, when a stream is resumed.
    pub last_event: Option<&'a str>,
    /// Team that sent the request.
    pub team: Option<&'a str>,
}

/// The head of an endpoint's response.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// ID of the request that was answered.
    pub id: Option<String>,
    /// Whether the endpoint's signature is present.
    pub signed: bool,
    /// Whether the endpoint states that the request was not run.
    pub not_run: bool,
    /// Responding endpoint, if stated.
    pub endpoint: Option<String>,
    /// Load of the endpoint, if stated.
    pub load: Option<Load>,
    /// Time for which the endpoint keeps the connection open while idle, if stated.
    pub idle_timeout: Option<Duration>,
    /// Whether the endpoint closes the connection after this response.
    pub close: bool,
}

impl Answer {
    /// Returns whether another endpoint than the given one states that it has responded.
    pub fn is_from_other(&self, endpoint: &str) -> bool {
        self.endpoint.as_deref().is_some_and(|id| id != endpoint)
    }
}

/// Load reported by an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of slots, if stated.
    pub slots: Option<u32>,
    /// How long work takes there at the moment.
    pub work_time: WorkTime,
}

/// How long work takes at an endpoint at the moment, as it states.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkTime {
    /// No figure.
    #[default]
    Unstated,
    /// A figure that can't be used.
    Invalid,
    /// Percentage of the usual time.
    Percent(u32),
}

impl WorkTime {
    /// Returns the percentage, if it can be used.
    pub fn percent(self) -> Option<u32> {
        match self {
            WorkTime::Percent(percent) => Some(percent),
            WorkTime::Unstated | WorkTime::Invalid => None,
        }
    }
}

/// The operation that an order requests from an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Action {
    /// Load into memory.
    Load,
    /// Unload from memory.
    Unload,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Requested operation.
    pub action: Action,
    /// Model to load or unload.
    pub model: ModelId,
    /// Adapter of that model; `None` for the model itself.
    pub adapter: Option<AdapterId>,
    /// Number of orders that the engine has accepted so far; it refuses the order on a mismatch.
    pub expect: u64,
    /// Holder of the lease.
    pub holder: String,
    /// Fencing token of the lease.
    pub token: u64,
    /// Endpoint the order is addressed to.
    pub endpoint: String,
}

/// An engine's response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Acknowledgement {
    /// The order is being carried out.
    Accepted,
    /// The requested state was already reached.
    Already,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// Another endpoint responded, or the order cannot be carried out.
    Refused,
}

/// Kinds of stored objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::EnumString, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Configuration published by operators.
    Config,
    /// Records of endpoints.
    Instances,
    /// Registrations of daemons.
    Nodes,
    /// Leases.
    Leases,
    /// What is refused as it crashes endpoints.
    Refusals,
}

/// A revision of the store.
///
/// The store may be restored from a backup that is some seconds old. Later writes are then lost
/// and their numbers are assigned again, so numbers are comparable only within an era.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Incremented each time the store is restored from a backup.
    pub era: u64,
    /// Incremented with each change within an era.
    pub number: u64,
}

/// A stored object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Object name.
    pub name: String,
    /// Revision of the last change.
    pub revision: Revision,
    /// Content.
    pub spec: Value,
}

/// A page of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// Objects that could be decoded.
    pub objects: Vec<Object>,
    /// Number of objects that could not be decoded.
    pub skipped: usize,
    /// Whether more pages follow.
    pub more: bool,
    /// Name after which the next page starts.
    pub last: Option<String>,
    /// Revision of the store.
    pub revision: Revision,
}

/// A change reported by a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Current object, or its last state if it was removed.
    pub object: Object,
    /// Whether the object was removed.
    pub removed: bool,
}

/// The result of a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchResult {
    /// Changes in order, and the revision from which to continue.
    Changes(Vec<Change>, Revision),
    /// The requested history was compacted; list again.
    Compacted,
}

/// The result of a write.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteResult {
    /// Applied; holds the object's new state.
    Done(Object),
    /// The condition failed; holds the current object if the store returned it.
    Conflict(Option<Object>),
    /// The object does not exist.
    Missing,
    /// The store refused the write without effect, because of its rate limit or overload.
    Refused,
}

/// The consistency of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Reads the current state.
    Current,
    /// Reads a recent state, at a tenth of the cost and exempt from the rate limit.
    Stale,
}

/// A caller's request for daemon addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lookup {
    /// Region of the caller.
    pub region: Option<RegionId>,
    /// Data center of the caller.
    pub data_center: Option<String>,
}

/// Translation between the system's types and a platform's HTTP messages.
pub trait Dialect: 'static {
    /// Decodes the head of a caller's request.
    fn parse_request(&self, head: &request::Parts) -> Result<Caller, Error>;

    /// Returns the caller's headers that are forwarded to an endpoint: without hop-by-hop headers,
    /// headers that the system sets itself and, if `keys` are checked by the system, the API key.
    fn forward_headers(&self, headers: &HeaderMap, keys: bool) -> HeaderMap;

    /// Adds the headers of one attempt.
    fn set_attempt_headers(
        &self,
        headers: &mut HeaderMap,
        attempt: &Attempt<'_>,
    ) -> Result<(), Error>;

    /// Returns the header that names a request, and that a response to it repeats.
    fn request_id(&self) -> HeaderName;

    /// Decodes the head of an endpoint's response.
    fn parse_response(&self, head: &response::Parts) -> Answer;

    /// Decodes the limit that an endpoint states in the headers of a response; `None` if it states
    /// none.
    fn parse_limit(&self, headers: &HeaderMap) -> Result<Option<Limit>, Error>;

    /// Decodes whether an endpoint states in the headers of a response that it is leaving.
    fn parse_leaving(&self, headers: &HeaderMap) -> Result<bool, Error>;

    /// Decodes the number of rejections within a second beyond which an endpoint fails; `None` if it
    /// is not brittle.
    fn parse_brittle(&self, headers: &HeaderMap) -> Result<Option<u32>, Error>;

    /// Decodes for how long an endpoint that has rejected a request asks the sender for no further
    /// ones; `None` if the response is no rejection or states no time.
    fn parse_backoff(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Option<Duration>, Error>;

    /// Returns the headers of an endpoint's response that are forwarded to the caller.
    fn forward_response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Builds the request for an engine's report.
    fn report(&self, endpoint: &str) -> Result<Request<Bytes>, Error>;

    /// Decodes an engine's report.
    fn parse_report(&self, answer: &Response<Bytes>) -> Result<Report, Error>;

    /// Builds the request that sends an order to an engine.
    fn order(&self, order: &Order) -> Result<Request<Bytes>, Error>;

    /// Decodes the engine's response to an order.
    fn parse_acknowledgement(&self, answer: &Response<Bytes>) -> Result<Acknowledgement, Error>;

    /// Returns the era stated in a response of the store, or 0 if there is none.
    fn era(&self, answer: &Response<Bytes>) -> u64;

    /// Builds the request that reads one object.
    fn get(&self, kind: Kind, name: &str, read: Consistency) -> Result<Request<Bytes>, Error>;

    /// Decodes the object that was read; `None` if it does not exist.
    fn parse_object(&self, answer: &Response<Bytes>) -> Result<Option<Object>, Error>;

    /// Builds the request that lists the objects of a kind whose names follow `after`.
    fn list(
        &self,
        kind: Kind,
        after: Option<&str>,
        read: Consistency,
    ) -> Result<Request<Bytes>, Error>;

    /// Decodes a page of a list.
    fn parse_page(&self, answer: &Response<Bytes>) -> Result<Page, Error>;

    /// Builds the request that waits for changes of a kind after a revision.
    fn watch(&self, kind: Kind, since: Revision, wait: Duration) -> Result<Request<Bytes>, Error>;

    /// Decodes the result of a watch.
    fn parse_changes(&self, answer: &Response<Bytes>) -> Result<WatchResult, Error>;

    /// Builds the request that creates an object.
    fn create(&self, kind: Kind, name: &str, spec: &Value) -> Result<Request<Bytes>, Error>;

    /// Builds the request that replaces an object, on condition of revision `expect` if given.
    fn replace(
        &self,
        kind: Kind,
        name: &str,
        expect: Option<Revision>,
        spec: &Value,
    ) -> Result<Request<Bytes>, Error>;

    /// Builds the request that removes an object on condition of revision `expect`.
    fn remove(&self, kind: Kind, name: &str, expect: Revision) -> Result<Request<Bytes>, Error>;

    /// Decodes the result of a write.
    fn parse_write(&self, answer: &Response<Bytes>) -> Result<WriteResult, Error>;

    /// Returns the name of the object that holds the configuration.
    fn config_name(&self) -> &'static str;

    /// Decodes the published configuration.
    fn parse_config(&self, object: &Object) -> Result<Config, Error>;

    /// Decodes an endpoint's record.
    fn parse_instance(&self, object: &Object) -> Result<Instance, Error>;

    /// Decodes a caller's request for daemon addresses; `None` for any other request.
    fn parse_lookup(&self, head: &request::Parts) -> Option<Lookup>;

    /// Builds the response body with daemon addresses, which may be cached for `ttl`.
    fn lookup_body(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Whether the request is a readiness check of this daemon.
    fn is_readiness_check(&self, head: &request::Parts) -> bool;
}
