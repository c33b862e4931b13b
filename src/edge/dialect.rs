//! What a platform speaks: the calls of callers, endpoints and the store, decoded into types and
//! encoded from them.
//!
//! An implementation translates and decides nothing. All bodies are whole: the daemon reads and
//! writes them.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
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
use crate::table::instance::Report;
use crate::table::routing::Config;
use crate::table::team::Key;

/// A message that could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Not JSON of the shape that the call has.
    Shape(String),
    /// A field whose value is not allowed.
    Value {
        /// The field.
        field: String,
        /// What is wrong with it.
        problem: String,
    },
    /// An answer with a status that the call does not have.
    Status(StatusCode),
    /// A request that could not be built, such as one with a name that no path can hold.
    Request(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Shape(problem) => write!(f, "unexpected shape: {problem}"),
            Error::Value { field, problem } => write!(f, "{field}: {problem}"),
            Error::Status(status) => write!(f, "unexpected status {status}"),
            Error::Request(problem) => write!(f, "cannot be sent: {problem}"),
        }
    }
}

impl std::error::Error for Error {}

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Names its text.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a request of a caller says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Caller {
    /// The id of this request; each retry of a caller has its own.
    pub id: String,
    /// The host that selects the routes.
    pub host: String,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The model that it names.
    pub model: Option<ModelId>,
    /// The adapter of that model.
    pub adapter: Option<AdapterId>,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// The most tokens that it wants back.
    pub output: u32,
    /// The parts of its prompt, in order.
    pub parts: Vec<Part>,
    /// The last event that it has of a stream that broke.
    pub last_event: Option<String>,
    /// Tokens of prompt and output together, where it names them.
    pub tokens: Option<u32>,
    /// Its key; none where it has none or more than one, or one that cannot be read.
    pub key: Option<Key>,
}

/// What one send to an endpoint adds to a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt<'a> {
    /// The endpoint that is meant; any other refuses.
    pub endpoint: &'a str,
    /// What is left of the time.
    pub left: Option<Duration>,
    /// 0 is the most urgent.
    pub priority: Option<u8>,
    /// The last event that came of a stream that goes on.
    pub last_event: Option<&'a str>,
    /// The team that asks.
    pub team: Option<&'a str>,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The id of the request that it belongs to.
    pub id: Option<String>,
    /// Whether it bears the endpoint's signature.
    pub sealed: bool,
    /// Whether it says that the request was not run.
    pub not_run: bool,
    /// The endpoint that answered, where it says so.
    pub endpoint: Option<String>,
    /// Its load, where it tells.
    pub load: Option<Load>,
    /// How long it keeps the connection idle, where it says so.
    pub keep: Option<Duration>,
    /// Whether it closes the connection.
    pub close: bool,
}

/// An endpoint's load by its own word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What an engine is told to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Action {
    /// Bring into memory.
    Load,
    /// Drop from memory.
    Unload,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// What to do.
    pub action: Action,
    /// The model.
    pub model: ModelId,
    /// An adapter of that model; none for the model itself.
    pub adapter: Option<AdapterId>,
    /// Orders that the engine has accepted so far; with any other number it refuses.
    pub expect: u64,
    /// Who orders.
    pub holder: String,
    /// The fencing token of the lease.
    pub token: u64,
    /// The endpoint that is meant.
    pub endpoint: String,
}

/// What an engine said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Ordered {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Already,
    /// Another is in progress, or the number of orders differs.
    Conflict,
    /// A newer holder was there.
    Fenced,
    /// Another endpoint answered, or the order cannot be carried out.
    Refused,
}

/// Objects of the store, by their use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::EnumString, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// What operators publish.
    Config,
    /// The endpoints' own entries.
    Instances,
    /// The daemons' registrations.
    Nodes,
    /// Leases.
    Leases,
}

/// A state of the store. It may come back from a copy that is some seconds old: what was written since is
/// gone then, and the same numbers are given out again.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Rises each time that the store comes back from a copy.
    pub era: u64,
    /// Rises with each change within an era.
    pub number: u64,
}

/// An object of the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Its name.
    pub name: String,
    /// The revision of its last change.
    pub revision: Revision,
    /// Its content.
    pub spec: Value,
}

/// A page of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// The objects that could be read.
    pub objects: Vec<Object>,
    /// How many could not.
    pub skipped: usize,
    /// Whether there are more.
    pub more: bool,
    /// The name after which to go on.
    pub last: Option<String>,
    /// The revision of the store.
    pub revision: Revision,
}

/// A change that a watch saw.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The object, as it is or was.
    pub object: Object,
    /// Whether it was removed.
    pub removed: bool,
}

/// What a watch brought.
#[derive(Debug, Clone, PartialEq)]
pub enum Watched {
    /// Changes in order, and the revision to go on from.
    Changes(Vec<Change>, Revision),
    /// The history is gone: list again.
    Gone,
}

/// What became of a write.
#[derive(Debug, Clone, PartialEq)]
pub enum Written {
    /// Done; the object as it is now.
    Done(Object),
    /// The object stands otherwise: as given, where the store told.
    Conflict(Option<Object>),
    /// There is no such object.
    Missing,
    /// The store did nothing: over its rate or busy.
    Refused,
}

/// How to read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Read {
    /// As it stands now.
    Current,
    /// As it stood lately: a tenth of the price and outside the rate.
    Stale,
}

/// What a caller asks when it looks for a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lookup {
    /// The caller's region.
    pub region: Option<RegionId>,
    /// The caller's data center.
    pub data_center: Option<String>,
}

/// What a platform speaks.
pub trait Dialect: 'static {
    /// Reads the head of a caller's request.
    fn caller(&self, head: &request::Parts) -> Result<Caller, Error>;

    /// The headers of a caller that go on to an endpoint: none that concern one connection, none
    /// that are the system's own to set, and no key where the system checks `keys`.
    fn pass(&self, headers: &HeaderMap, keys: bool) -> HeaderMap;

    /// Adds what one attempt sets.
    fn attempt(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>) -> Result<(), Error>;

    /// Reads the head of an endpoint's answer.
    fn answer(&self, head: &response::Parts) -> Answer;

    /// The headers of an endpoint's answer that go on to the caller.
    fn give(&self, headers: &HeaderMap) -> HeaderMap;

    /// Asks an engine for its report.
    fn report(&self, endpoint: &str) -> Result<Request<Bytes>, Error>;

    /// Reads an engine's report.
    fn reported(&self, answer: &Response<Bytes>) -> Result<Report, Error>;

    /// Gives an engine an order.
    fn order(&self, order: &Order) -> Result<Request<Bytes>, Error>;

    /// Reads what the engine said to it.
    fn ordered(&self, answer: &Response<Bytes>) -> Result<Ordered, Error>;

    /// The era of the store that gave an answer; 0 where it tells none.
    fn era(&self, answer: &Response<Bytes>) -> u64;

    /// Reads one object.
    fn get(&self, kind: Kind, name: &str, read: Read) -> Result<Request<Bytes>, Error>;

    /// The object that was read, if it exists.
    fn got(&self, answer: &Response<Bytes>) -> Result<Option<Object>, Error>;

    /// Reads the objects of a kind after a name.
    fn list(&self, kind: Kind, after: Option<&str>, read: Read) -> Result<Request<Bytes>, Error>;

    /// The page that was read.
    fn listed(&self, answer: &Response<Bytes>) -> Result<Page, Error>;

    /// Waits for changes of a kind after a revision.
    fn watch(&self, kind: Kind, since: Revision, wait: Duration) -> Result<Request<Bytes>, Error>;

    /// What the watch brought.
    fn watched(&self, answer: &Response<Bytes>) -> Result<Watched, Error>;

    /// Creates an object.
    fn create(&self, kind: Kind, name: &str, spec: &Value) -> Result<Request<Bytes>, Error>;

    /// Replaces an object, if it stands at `expect` where that is given.
    fn replace(
        &self,
        kind: Kind,
        name: &str,
        expect: Option<Revision>,
        spec: &Value,
    ) -> Result<Request<Bytes>, Error>;

    /// Removes an object that stands at `expect`.
    fn remove(&self, kind: Kind, name: &str, expect: Revision) -> Result<Request<Bytes>, Error>;

    /// What became of a write.
    fn written(&self, answer: &Response<Bytes>) -> Result<Written, Error>;

    /// The name of the object that holds the configuration.
    fn config_name(&self) -> &'static str;

    /// Reads what operators published.
    fn config(&self, object: &Object) -> Result<Config, Error>;

    /// Reads an endpoint's entry.
    fn instance(&self, object: &Object) -> Result<Instance, Error>;

    /// Reads a caller's question for addresses.
    fn lookup(&self, head: &request::Parts) -> Option<Lookup>;

    /// The answer to it: addresses, and for how long they may be kept.
    fn found(&self, addresses: &[SocketAddr], keep: Duration) -> Bytes;

    /// Whether a request asks whether this daemon is ready.
    fn asks_ready(&self, head: &request::Parts) -> bool;
}
