//! The platform: an object store with versions, conditional updates and watches, and the instance
//! list.

pub mod http;

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::table::DataCenterId;
use crate::table::Incarnation;
use crate::table::RegionId;
use crate::table::ServiceId;

/// An object version; it increases with every change in the store.
pub type Version = u64;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A stored object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Name, unique within its kind.
    pub name: String,
    /// Version; above 0.
    pub version: Version,
    /// Value.
    pub value: serde_json::Value,
}

/// A change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Name of the object.
    pub name: String,
    /// Version of the change.
    pub version: Version,
    /// New value; `None` if the object was deleted.
    pub value: Option<serde_json::Value>,
}

/// The result of a conditional update.
#[must_use = "an update may have been applied without an answer"]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// Applied with this version.
    Applied(Version),
    /// Not applied: the object has this version, or does not exist.
    Conflict(Option<Version>),
    /// The response was lost, so the update may have been applied. Read it back before acting.
    Unknown,
}

/// The role of an instance.
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
pub enum Role {
    /// Runs processes of this system.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The availability of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Presence {
    /// Serving.
    Live,
    /// Shutting down: accepts no new requests.
    Leaving,
}

/// An item of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Address at which it serves requests.
    pub address: SocketAddr,
    /// Address for peers; entries only.
    #[serde(default)]
    pub peer: Option<SocketAddr>,
    /// Region.
    pub region: RegionId,
    /// Data center.
    pub data_center: DataCenterId,
    /// Role.
    pub role: Role,
    /// Plain service that it runs; role `service` only.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Availability.
    pub state: Presence,
    /// Incarnation; a higher one replaces a lower one at the same address.
    pub incarnation: Incarnation,
}

/// A failure of a call. No variant implies that an update was not applied; see `Update`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No response: refused connection, reset or timeout.
    Unreachable,
    /// The rate limit was exceeded; retry after this time.
    RateLimited(Duration),
    /// The circuit breaker is open and nothing was sent; retry after this time.
    BreakerOpen(Duration),
    /// The watched history was compacted; list again.
    Compacted,
    /// The value, of this many bytes, exceeds `MAX_VALUE_BYTES`.
    TooLarge(usize),
    /// The response violates the API; holds its status, or 0 if there is none.
    Protocol(u16),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unreachable => write!(f, "no response"),
            Error::RateLimited(after) => write!(f, "rate limit exceeded, retry after {after:?}"),
            Error::BreakerOpen(after) => write!(f, "circuit breaker open, retry after {after:?}"),
            Error::Compacted => write!(f, "watched history was compacted"),
            Error::TooLarge(len) => {
                write!(f, "value of {len} bytes exceeds {MAX_VALUE_BYTES} bytes")
            }
            Error::Protocol(status) => write!(f, "unexpected response status {status}"),
        }
    }
}

impl std::error::Error for Error {}

/// The interface of the platform.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads one object.
    fn get(
        &self,
        kind: &str,
        name: &str,
    ) -> impl Future<Output = Result<Option<Object>, Error>> + Send;

    /// Writes one object on condition that its version is `expect` (`None`: does not exist yet).
    ///
    /// Returns `Err` only if the update cannot have been applied.
    fn put(
        &self,
        kind: &str,
        name: &str,
        expect: Option<Version>,
        value: &serde_json::Value,
    ) -> impl Future<Output = Result<Update, Error>> + Send;

    /// Deletes one object on condition that its version is `expect`.
    fn delete(
        &self,
        kind: &str,
        name: &str,
        expect: Version,
    ) -> impl Future<Output = Result<Update, Error>> + Send;

    /// Returns the store's version and the objects of a kind whose names begin with `prefix`.
    fn list(
        &self,
        kind: &str,
        prefix: &str,
    ) -> impl Future<Output = Result<(Version, Vec<Object>), Error>> + Send;

    /// Waits up to `timeout` for changes of a kind after `since`; the list is empty if none came.
    fn watch(
        &self,
        kind: &str,
        since: Version,
        timeout: Duration,
    ) -> impl Future<Output = Result<Vec<Change>, Error>> + Send;

    /// Returns the instance list, which may be outdated.
    fn instances(&self) -> impl Future<Output = Result<Vec<Instance>, Error>> + Send;
}

/// Field of a value that identifies the write that made it: a new random text for each write.
pub const WRITER_FIELD: &str = "writer";

/// The result of a conditional update after reading back.
#[must_use = "an update may still be open"]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolution {
    /// Applied with this version.
    Applied(Version),
    /// Never applied: the object had this version, or did not exist.
    Conflict(Option<Version>),
    /// The object has another writer's value or does not exist; this write may have preceded it.
    Replaced(Option<Object>),
    /// Undetermined: it may have been applied, or may be applied later.
    Unknown,
}

/// Maximum number of times that an update with a lost response is read back and resent.
const MAX_RESOLVE_ATTEMPTS: usize = 3;

/// Writes one object on condition that its version is `expect`, and resolves a lost response by
/// reading back.
///
/// `value` must be an object whose `WRITER_FIELD` differs from that of any other write. A write
/// that is not visible may still be in transit, so it is resent under the same condition: at most
/// one of the two can be applied. An object that is created (`expect` is `None`) must not be
/// deleted while its writers may still be resolving a lost response. Returns `Err` only if the
/// write cannot have been applied.
pub async fn put_resolved<P: Platform>(
    platform: &P,
    kind: &str,
    name: &str,
    expect: Option<Version>,
    value: &serde_json::Value,
) -> Result<Resolution, Error> {
    match platform.put(kind, name, expect, value).await? {
        Update::Applied(version) => return Ok(Resolution::Applied(version)),
        Update::Conflict(version) => return Ok(Resolution::Conflict(version)),
        Update::Unknown => {}
    }
    for _ in 0..MAX_RESOLVE_ATTEMPTS {
        let Ok(object) = platform.get(kind, name).await else {
            continue;
        };
        if let Some(object) = &object
            && object
                .value
                .get(WRITER_FIELD)
                .is_some_and(|writer| value.get(WRITER_FIELD) == Some(writer))
        {
            return Ok(Resolution::Applied(object.version));
        }
        if object.as_ref().map(|object| object.version) != expect {
            return Ok(Resolution::Replaced(object));
        }
        if let Ok(Update::Applied(version)) = platform.put(kind, name, expect, value).await {
            return Ok(Resolution::Applied(version));
        }
    }
    Ok(Resolution::Unknown)
}
