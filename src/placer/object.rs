//! Conditional writes of stored objects, with recovery from lost responses.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::edge::platform::Error;
use crate::edge::platform::Platform;
use crate::edge::platform::Update;
use crate::edge::platform::Version;
use crate::metric::Counter;
use crate::metric::Metrics;

/// The outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The object holds the value, at this version.
    Applied(Version),
    /// The object holds another value; `None` if there is no object.
    Conflict(Option<(Version, T)>),
}

/// Writes `value` if the object has version `expect`. After a conflict or a lost response, reads
/// the object to find out whether the write was applied.
///
/// After an `Err` the outcome is unknown, and no order may be sent that relies on the write. The
/// next write with the same expected version determines the outcome.
pub async fn write<P: Platform, T: Serialize + DeserializeOwned>(
    platform: &P,
    metrics: &Metrics,
    (kind, name): (&str, &str),
    expect: Option<Version>,
    value: &T,
) -> Result<Outcome<T>, Error> {
    let value = serde_json::to_value(value).map_err(|_| Error::Protocol(0))?;
    match platform.put(kind, name, expect, &value).await? {
        Update::Applied(version) => return Ok(Outcome::Applied(version)),
        Update::Conflict(_) => metrics.count(Counter::Conflicts),
        Update::Unknown => metrics.count(Counter::Settled),
    }
    match platform.get(kind, name).await? {
        // A lower layer may send a write twice: a conflict with an equal value counts as applied.
        Some(object) if object.value == value => Ok(Outcome::Applied(object.version)),
        Some(object) => Ok(Outcome::Conflict(Some((object.version, parse(object.value)?)))),
        None => Ok(Outcome::Conflict(None)),
    }
}

/// Returns the version and value of an object, or `None` if there is none.
pub async fn read<P: Platform, T: DeserializeOwned>(
    platform: &P,
    kind: &str,
    name: &str,
) -> Result<Option<(Version, T)>, Error> {
    match platform.get(kind, name).await? {
        Some(object) => Ok(Some((object.version, parse(object.value)?))),
        None => Ok(None),
    }
}

/// Returns name, version and value of all objects of a kind, without those that cannot be parsed.
pub async fn read_all<P: Platform, T: DeserializeOwned>(
    platform: &P,
    kind: &str,
) -> Result<Vec<(String, Version, T)>, Error> {
    let (_, objects) = platform.list(kind, "").await?;
    let parsed = objects.into_iter().filter_map(|object| {
        let value = parse(object.value).ok()?;
        Some((object.name, object.version, value))
    });
    Ok(parsed.collect())
}

fn parse<T: DeserializeOwned>(value: Value) -> Result<T, Error> {
    serde_json::from_value(value).map_err(|_| Error::Protocol(200))
}
