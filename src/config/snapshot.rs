//! Configuration in force: all services, and the history of publishes that led to it.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::config::service::Model;
use crate::config::service::Service;
use crate::edge::platform::Version;

/// Kind of the platform object that stores the configuration in force.
pub const KIND: &str = "config";
/// Name of the platform object that stores the configuration in force.
pub const NAME: &str = "current";

/// Maximum number of publishes in a snapshot's history: two hours' worth at 570 a day. A publisher
/// whose response was lost can then still determine whether its publish was accepted before others
/// superseded it.
pub const MAX_HISTORY: usize = 48;

/// Maximum number of changes recorded per publish in the history.
pub const MAX_CHANGES: usize = 16;

/// Numbered configuration. The version rises by one with each publish.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version; 0 if nothing was published yet.
    pub version: u64,
    /// Id of the publish that created it, so that reading back resolves a lost response.
    pub publish: String,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Publishes up to this one, latest first; at most `MAX_HISTORY`.
    #[serde(default)]
    pub history: Vec<Publication>,
}

/// Accepted publish.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// Version it created.
    pub version: u64,
    /// Id of the publish.
    pub publish: String,
    /// Changes it made; at most `MAX_CHANGES`.
    pub changes: Vec<Change>,
    /// Number of further changes that are not recorded.
    #[serde(default)]
    pub more: usize,
}

/// Difference between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Name of the service.
    pub service: String,
    /// Path of the field, such as `deadline_ms` or `models.letters`; empty for the whole service.
    pub field: String,
    /// Earlier value; none if it was added.
    pub before: Option<String>,
    /// Later value; none if it was removed.
    pub after: Option<String>,
}

/// Outcome of a publish, as determined from a later snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fate {
    /// The publish created the snapshot.
    InForce,
    /// The publish was accepted as this version, and later ones have replaced it.
    Superseded(u64),
    /// The base version is still in force: the update was not applied, but may be in flight.
    Pending,
    /// Another publish was accepted on the same base, so this one never will be.
    Conflict,
    /// The snapshot's history doesn't reach back to the base version.
    Expired,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let dot = if self.field.is_empty() { "" } else { "." };
        write!(f, "{}{dot}{}: ", self.service, self.field)?;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "{before} -> {after}"),
            (None, Some(after)) => write!(f, "added {after}"),
            (Some(before), None) => write!(f, "removed {before}"),
            (None, None) => write!(f, "unchanged"),
        }
    }
}

impl Snapshot {
    /// Returns the service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the model of this name and its service.
    pub fn model(&self, name: &str) -> Option<(&Service, &Model)> {
        self.services.iter().find_map(|service| {
            let model = service.models.iter().find(|model| model.name == name)?;
            Some((service, model))
        })
    }

    /// Returns the services after a publish that adds or replaces those of `replace` and removes
    /// those named in `remove`.
    pub fn merge(&self, replace: &[Service], remove: &[String]) -> Vec<Service> {
        let stays = |service: &&Service| {
            !remove.contains(&service.name)
                && !replace.iter().any(|other| other.name == service.name)
        };
        let mut services: Vec<Service> = self.services.iter().filter(stays).cloned().collect();
        services.extend(replace.iter().cloned());
        services.sort_by(|a, b| a.name.cmp(&b.name));
        services
    }

    /// Returns the snapshot that a publish of `services` based on this one creates.
    pub fn next(&self, publish: &str, services: Vec<Service>) -> Self {
        let mut changes = diff(&self.services, &services);
        let more = changes.len().saturating_sub(MAX_CHANGES);
        changes.truncate(MAX_CHANGES);
        let version = self.version + 1;
        let publication = Publication { version, publish: publish.to_string(), changes, more };
        let mut history = vec![publication];
        history.extend(self.history.iter().take(MAX_HISTORY - 1).cloned());
        Snapshot { version, publish: publish.to_string(), services, history }
    }

    /// Returns the outcome of `publish`, which was based on version `base`.
    pub fn fate(&self, publish: &str, base: u64) -> Fate {
        if self.publish == publish {
            return Fate::InForce;
        }
        if let Some(publication) =
            self.history.iter().find(|publication| publication.publish == publish)
        {
            return Fate::Superseded(publication.version);
        }
        if self.version <= base {
            return Fate::Pending;
        }
        if self.covers(base) { Fate::Conflict } else { Fate::Expired }
    }

    /// Returns whether the history contains every publish after version `base`.
    fn covers(&self, base: u64) -> bool {
        self.history.iter().any(|publication| publication.version <= base + 1)
    }

    /// Returns the publishes after version `base`, oldest first; none if the history is too short.
    pub fn since(&self, base: u64) -> Option<Vec<&Publication>> {
        if base >= self.version {
            return Some(Vec::new());
        }
        let mut later: Vec<&Publication> =
            self.history.iter().filter(|publication| publication.version > base).collect();
        later.reverse();
        self.covers(base).then_some(later)
    }
}

/// Returns the differences of services and fields. Both lists are sorted by name.
pub fn diff(before: &[Service], after: &[Service]) -> Vec<Change> {
    let mut changes = Vec::new();
    let find = |list: &[Service], name: &str| list.iter().position(|other| other.name == name);
    for old in before {
        match find(after, &old.name) {
            Some(index) => diff_fields(old, &after[index], &mut changes),
            None => changes.push(Change {
                service: old.name.clone(),
                field: String::new(),
                before: Some(summary(old)),
                after: None,
            }),
        }
    }
    for new in after.iter().filter(|new| find(before, &new.name).is_none()) {
        changes.push(Change {
            service: new.name.clone(),
            field: String::new(),
            before: None,
            after: Some(summary(new)),
        });
    }
    changes
}

/// Returns a one-line summary of a service.
fn summary(service: &Service) -> String {
    let adapters: usize = service.models.iter().map(|model| model.adapters.len()).sum();
    let models = service.models.len();
    format!("{} service, {models} models, {adapters} adapters", service.kind)
}

fn diff_fields(old: &Service, new: &Service, changes: &mut Vec<Change>) {
    let mut add = |field: &str, before: Option<String>, after: Option<String>| {
        if before != after {
            let (service, field) = (new.name.clone(), field.to_string());
            changes.push(Change { service, field, before, after });
        }
    };
    add("kind", Some(old.kind.to_string()), Some(new.kind.to_string()));
    add("class", Some(old.class.to_string()), Some(new.class.to_string()));
    add("regions", Some(old.regions.join(",")), Some(new.regions.join(",")));
    let millis = |service: &Service| Some(service.deadline.as_millis().to_string());
    add("deadline_ms", millis(old), millis(new));
    add("share", Some(old.share.to_string()), Some(new.share.to_string()));
    add("repeatable", Some(old.repeatable.to_string()), Some(new.repeatable.to_string()));
    for (path, value) in model_rows(old) {
        let after = model_rows(new).into_iter().find(|(other, _)| *other == path);
        add(&path, Some(value), after.map(|(_, value)| value));
    }
    for (path, value) in model_rows(new) {
        if !model_rows(old).iter().any(|(other, _)| *other == path) {
            add(&path, None, Some(value));
        }
    }
}

/// Returns the models and adapters of a service as field paths and values.
fn model_rows(service: &Service) -> Vec<(String, String)> {
    let mut rows = Vec::new();
    for model in &service.models {
        let path = format!("models.{}", model.name);
        let value = format!(
            "version {}, {} MiB, {} copies",
            model.version,
            model.memory >> 20,
            model.copies
        );
        rows.push((path.clone(), value));
        for adapter in &model.adapters {
            let value = format!("version {}, {} MiB", adapter.version, adapter.memory >> 20);
            rows.push((format!("{path}.adapters.{}", adapter.name), value));
        }
    }
    rows
}

/// Identity of the configuration that a process holds; the result of `config.highest`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Version; 0 if the process has no configuration.
    pub version: u64,
    /// Id of the publish that created it.
    pub publish: String,
    /// Whether the process serves with it.
    #[serde(default)]
    pub ready: bool,
}

impl Identity {
    /// Returns whether both identify the same publish.
    pub fn is_same_publish(&self, other: &Identity) -> bool {
        self.version == other.version && self.publish == other.publish
    }
}

impl From<&Snapshot> for Identity {
    fn from(snapshot: &Snapshot) -> Self {
        Identity { version: snapshot.version, publish: snapshot.publish.clone(), ready: false }
    }
}

/// Configuration as entries pass it on to each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// Configuration.
    pub snapshot: Snapshot,
    /// Version of the platform object that contained it, from which later changes can be requested
    /// without reading the whole object; 0 if there was no object.
    #[serde(rename = "at")]
    pub object_version: Version,
}
