//! Publishing of checked service files, with an outcome that is either certain or unknown.
//!
//! A publish is accepted only if its conditional update is confirmed. The update carries the
//! version that it is based on, so one of two concurrent publishers gets a conflict. If the
//! response to an update is lost, the object is read back: the outcome depends on whether the
//! object or its history contains the publish's id.

use std::time::Duration;

use serde::Serialize;

use crate::config::Fault;
use crate::config::service::Service;
use crate::config::set::Set;
use crate::config::snapshot;
use crate::config::snapshot::Change;
use crate::config::snapshot::Fate;
use crate::config::snapshot::Publication;
use crate::config::snapshot::Snapshot;
use crate::edge::platform;
use crate::edge::platform::MAX_VALUE_BYTES;
use crate::edge::platform::Platform;
use crate::edge::platform::Version;

/// Change of the configuration to publish.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Services to add or replace.
    pub set: Set,
    /// Names of the services to remove.
    pub remove: Vec<String>,
    /// Version that the operator's change is based on; any version if none.
    pub base: Option<u64>,
    /// Lower bound, exclusive, of the new version, even if the platform has lost its object.
    pub floor: u64,
    /// Unique id of the publish.
    pub publish: String,
}

/// Retry policy for reads from the platform.
#[derive(Debug, Clone, Copy)]
pub struct Retry {
    /// Maximum number of reads.
    pub max_attempts: u32,
    /// Delay between two reads.
    pub delay: Duration,
}

impl Default for Retry {
    /// Ten seconds in total, which is longer than the client's timeouts let an update take.
    fn default() -> Self {
        Retry { max_attempts: 20, delay: Duration::from_millis(500) }
    }
}

/// Outcome of a publish.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Verdict {
    /// The update succeeded and its version is in force.
    Accepted {
        /// Version created by the publish.
        version: u64,
        /// Id of the publish.
        publish: String,
        /// Changes made by the publish.
        changes: Vec<Change>,
    },
    /// The update succeeded, and later publishes have replaced its version.
    Superseded {
        /// Version created by the publish.
        version: u64,
        /// Id of the publish.
        publish: String,
        /// Version in force.
        #[serde(rename = "now")]
        current_version: u64,
        /// Later publishes, oldest first.
        later: Vec<Publication>,
    },
    /// The services in force are already those of the plan; nothing was written.
    Unchanged {
        /// Version in force.
        version: u64,
    },
    /// A concurrent publish was accepted first; nothing was written.
    #[serde(rename = "lost")]
    Conflict {
        /// Version that this publish was based on.
        base: u64,
        /// Version in force, if it could be read.
        #[serde(rename = "now")]
        current_version: Option<u64>,
        /// Changes made by others between the two versions.
        changes: Vec<Change>,
        /// Whether `changes` contains all of them.
        #[serde(rename = "whole")]
        complete: bool,
    },
    /// The plan conflicts with the configuration in force; nothing was written.
    Refused {
        /// Faults found; never empty.
        faults: Vec<Fault>,
    },
    /// The response to the update was lost and reading back did not determine the outcome.
    Unknown {
        /// Id of the publish, for the `status` command.
        publish: String,
        /// Version that this publish was based on.
        base: u64,
    },
}

/// Publishes a plan. Returns an error only if nothing was written.
pub async fn publish<P: Platform>(
    platform: &P,
    plan: &Plan,
    retry: Retry,
) -> Result<Verdict, platform::Error> {
    let (object_version, current) = read(platform, retry).await?;
    if let Some(base) = plan.base.filter(|base| *base != current.version) {
        return Ok(stale_base(base, &current));
    }
    let services = current.merge(&plan.set.services, &plan.remove);
    if services == current.services && object_version.is_some() {
        return Ok(Verdict::Unchanged { version: current.version });
    }
    let previous = Snapshot { version: current.version.max(plan.floor), ..current.clone() };
    let next = previous.next(&plan.publish, services);
    let faults = find_faults(plan, &current, &next);
    if !faults.is_empty() {
        return Ok(Verdict::Refused { faults });
    }
    let mut value = serde_json::to_value(&next).map_err(|_| platform::Error::Protocol(0))?;
    value[platform::WRITER_FIELD] = plan.publish.clone().into();
    match platform::put_resolved(platform, snapshot::KIND, snapshot::NAME, object_version, &value)
        .await?
    {
        platform::Resolution::Applied(_) => Ok(accepted(&next, &current)),
        platform::Resolution::Conflict(_) => Ok(read_conflict(platform, &current, retry).await),
        platform::Resolution::Replaced(_) | platform::Resolution::Unknown => {
            Ok(settle(platform, &next, &current, retry).await)
        }
    }
}

/// Returns the snapshot in force, and the changes and faults that a publish of the plan would have.
pub async fn preview<P: Platform>(
    platform: &P,
    plan: &Plan,
    retry: Retry,
) -> Result<(Snapshot, Vec<Change>, Vec<Fault>), platform::Error> {
    let (_, current) = read(platform, retry).await?;
    let services = current.merge(&plan.set.services, &plan.remove);
    let next = current.next(&plan.publish, services);
    let faults = find_faults(plan, &current, &next);
    let changes = snapshot::diff(&current.services, &next.services);
    Ok((current, changes, faults))
}

/// Returns the object's version and the configuration in force, which is empty if there is none.
pub async fn read<P: Platform>(
    platform: &P,
    retry: Retry,
) -> Result<(Option<Version>, Snapshot), platform::Error> {
    let mut attempts_left = retry.max_attempts.max(1);
    loop {
        attempts_left -= 1;
        let err = match platform.get(snapshot::KIND, snapshot::NAME).await {
            Ok(None) => return Ok((None, Snapshot::default())),
            Ok(Some(object)) => {
                let current = serde_json::from_value(object.value);
                let current = current.map_err(|_| platform::Error::Protocol(200))?;
                return Ok((Some(object.version), current));
            }
            Err(err) => err,
        };
        if attempts_left == 0 {
            return Err(err);
        }
        smol::Timer::after(retry_delay(&err, retry)).await;
    }
}

/// Reads back until the outcome of the publish is known or the attempts are used up.
///
/// An object that is still at the publish's base version doesn't mean that the publish failed,
/// because its update may be in flight. If it were reported as not accepted and then applied, a
/// configuration would come into force that its author believes refused.
async fn settle<P: Platform>(
    platform: &P,
    next: &Snapshot,
    current: &Snapshot,
    retry: Retry,
) -> Verdict {
    for _ in 0..retry.max_attempts.max(1) {
        let single = Retry { max_attempts: 1, ..retry };
        if let Ok((_, latest)) = read(platform, single).await {
            match latest.fate(&next.publish, current.version) {
                Fate::InForce => return accepted(next, current),
                Fate::Superseded(version) => return superseded(&next.publish, version, &latest),
                Fate::Conflict => return conflict(current, &latest),
                Fate::Expired => break,
                Fate::Pending => {}
            }
        }
        smol::Timer::after(retry.delay).await;
    }
    Verdict::Unknown { publish: next.publish.clone(), base: current.version }
}

/// Returns the delay before the next read after this failure.
fn retry_delay(err: &platform::Error, retry: Retry) -> Duration {
    match err {
        platform::Error::RateLimited(after) | platform::Error::BreakerOpen(after) => {
            (*after).max(retry.delay)
        }
        _ => retry.delay,
    }
}

fn accepted(next: &Snapshot, current: &Snapshot) -> Verdict {
    Verdict::Accepted {
        version: next.version,
        publish: next.publish.clone(),
        changes: snapshot::diff(&current.services, &next.services),
    }
}

/// Returns the verdict on a publish that is in the history of `latest`.
pub fn superseded(publish: &str, version: u64, latest: &Snapshot) -> Verdict {
    let later = latest.since(version).unwrap_or_default().into_iter().cloned().collect();
    Verdict::Superseded {
        version,
        publish: publish.to_string(),
        current_version: latest.version,
        later,
    }
}

/// Returns the verdict on a publish whose update was in conflict with a concurrent one.
async fn read_conflict<P: Platform>(platform: &P, current: &Snapshot, retry: Retry) -> Verdict {
    match read(platform, retry).await {
        Ok((_, latest)) => conflict(current, &latest),
        Err(_) => Verdict::Conflict {
            base: current.version,
            current_version: None,
            changes: Vec::new(),
            complete: false,
        },
    }
}

fn conflict(current: &Snapshot, latest: &Snapshot) -> Verdict {
    let changes = snapshot::diff(&current.services, &latest.services);
    Verdict::Conflict {
        base: current.version,
        current_version: Some(latest.version),
        changes,
        complete: true,
    }
}

/// Returns the verdict on a plan whose base version is no longer in force.
fn stale_base(base: u64, current: &Snapshot) -> Verdict {
    let later = current.since(base);
    let complete =
        later.as_ref().is_some_and(|list| list.iter().all(|publication| publication.more == 0));
    let changes =
        later.unwrap_or_default().into_iter().flat_map(|publication| publication.changes.clone());
    Verdict::Conflict {
        base,
        current_version: Some(current.version),
        changes: changes.collect(),
        complete,
    }
}

/// Returns the conflicts between the plan and the configuration in force.
fn find_faults(plan: &Plan, current: &Snapshot, next: &Snapshot) -> Vec<Fault> {
    let mut faults = Vec::new();
    let is_published = |name: &str| plan.set.services.iter().any(|service| service.name == name);
    for name in &plan.remove {
        let reason = if is_published(name) {
            "the service is also in the files to publish"
        } else if current.service(name).is_none() {
            "the configuration in force has no such service"
        } else {
            continue;
        };
        let file = format!("--remove {name}");
        faults.push(Fault { file, line: None, reason: reason.to_string() });
    }
    let remaining = || next.services.iter().filter(|service| !is_published(&service.name));
    for outline in &plan.set.outlines {
        for declaration in outline.models.iter().map(|item| &item.model) {
            let has_model = |service: &&Service| {
                service.models.iter().any(|model| model.name == declaration.name)
            };
            if let Some(owner) = remaining().find(has_model) {
                let (name, owner) = (&declaration.name, &owner.name);
                let reason =
                    format!("model `{name}` already belongs to service `{owner}` in force");
                let file = outline.file.clone();
                faults.push(Fault { file, line: Some(declaration.line), reason });
            }
        }
    }
    faults.extend(check_size(plan, next));
    faults
}

/// Returns a fault at the largest file if the configuration exceeds the platform's size limit.
fn check_size(plan: &Plan, next: &Snapshot) -> Option<Fault> {
    let len = encoded_len(next);
    if len <= MAX_VALUE_BYTES {
        return None;
    }
    let largest = plan.set.rows().max_by_key(|(service, _)| encoded_len(service));
    let (file, service_len, line) = match largest {
        Some((service, outline)) => {
            (outline.file.clone(), encoded_len(service), Some(outline.service.line))
        }
        None => ("the configuration in force".to_string(), len, None),
    };
    let reason = format!(
        "the configuration would be {len} bytes long; at most {MAX_VALUE_BYTES} are allowed; \
         the largest service has {service_len} bytes"
    );
    Some(Fault { file, line, reason })
}

/// Returns the encoded length in bytes, as stored by the platform.
fn encoded_len(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |buf| buf.len())
}
