//! Service files, parsed from YAML into one `Service` each.

use std::time::Duration;

use crate::config::Error;
use crate::config::Fault;
use crate::config::node;
use crate::config::node::Faults;
use crate::config::node::Fields;
use crate::config::node::Node;
use crate::config::service::Adapter;
use crate::config::service::Class;
use crate::config::service::Kind;
use crate::config::service::Model;
use crate::config::service::Service;
use crate::table::Bytes;

/// Allowed fields of a service file.
const SERVICE_FIELDS: [&str; 8] =
    ["name", "kind", "class", "regions", "deadline_ms", "share", "repeatable", "models"];
/// Allowed fields of a model.
const MODEL_FIELDS: [&str; 5] = ["name", "version", "memory_mib", "copies", "adapters"];
/// Allowed fields of an adapter.
const ADAPTER_FIELDS: [&str; 3] = ["name", "version", "memory_mib"];
/// Names of the `Kind` variants.
const KIND_NAMES: [&str; 2] = ["engine", "plain"];
/// Names of the `Class` variants.
const CLASS_NAMES: [&str; 4] = ["record", "interactive", "revision", "batch"];

/// Range of a deadline, at most one day: no caller waits longer for a response, and the longest
/// overnight rewrite finishes within it.
const DEADLINE_RANGE_MS: std::ops::RangeInclusive<u64> = 1..=86_400_000;
/// Range of a share, which is a weight: beyond a ratio of 1000 the smaller one gets almost nothing.
const SHARE_RANGE: std::ops::RangeInclusive<u64> = 1..=1000;
/// Range of a memory size, up to 16 TiB, which exceeds any accelerator.
const MEMORY_RANGE_MIB: std::ops::RangeInclusive<u64> = 1..=16 << 20;
/// Range of a replica count. More replicas than accelerators in the largest supported fleet are a
/// mistake.
const COPIES_RANGE: std::ops::RangeInclusive<u64> = 1..=2400;
/// Range of a release, which is a sequence number and not a date.
const RELEASE_RANGE: std::ops::RangeInclusive<u64> = 1..=u64::MAX >> 1;

/// Unparsed service file.
#[derive(Debug, Clone)]
pub struct Raw {
    /// File name as the operator gave it.
    pub file: String,
    /// Content.
    pub text: String,
}

/// Name and the line where it is declared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Declaration {
    /// Empty if the name is missing or invalid.
    pub name: String,
    /// Line number, from 1.
    pub line: u64,
}

/// Names declared in a file, including those of a file with faults.
#[derive(Debug, Clone)]
pub struct Outline {
    /// File name as the operator gave it.
    pub file: String,
    /// Name of the service.
    pub service: Declaration,
    /// Models of the service, in file order.
    pub models: Vec<Item>,
}

/// Names of a model and of its adapters.
#[derive(Debug, Clone)]
pub struct Item {
    /// Name of the model.
    pub model: Declaration,
    /// Names of its adapters, in file order.
    pub adapters: Vec<Declaration>,
}

/// Result of the checks of a single file.
#[derive(Debug, Clone)]
pub struct File {
    /// Declared names. If `service` is set, its models have the same number and order.
    pub outline: Outline,
    /// Service, or none if the file has a fault.
    pub service: Option<Service>,
    /// Faults; empty if `service` is set.
    pub faults: Vec<Fault>,
}

impl From<Raw> for File {
    fn from(raw: Raw) -> Self {
        let mut faults = Faults::new(&raw.file);
        let service = Declaration { name: String::new(), line: 1 };
        let mut outline = Outline { file: raw.file.clone(), service, models: Vec::new() };
        let parsed = match node::parse(&raw.file, &raw.text) {
            Ok(node) => parse_service(node, &mut outline, &mut faults),
            Err(err) => {
                faults.list = err.faults;
                None
            }
        };
        let faults = Error::from(faults).faults;
        let service = parsed.filter(|_| faults.is_empty());
        File { outline, service, faults }
    }
}

/// Reads a name and its line; the name is none if it is missing or invalid.
fn declaration(
    fields: &mut Fields,
    label: &str,
    faults: &mut Faults,
) -> (Declaration, Option<String>) {
    let node = fields.require("name", faults);
    let line = node.as_ref().map_or(fields.line, |node| node.line);
    let name = node.and_then(|node| node::name(node, label, faults));
    (Declaration { name: name.clone().unwrap_or_default(), line }, name)
}

/// Reads a service and fills its outline; none if a required field is missing or invalid.
fn parse_service(node: Node, outline: &mut Outline, faults: &mut Faults) -> Option<Service> {
    let mut fields = Fields::from_node(node, "a service file", faults)?;
    let (declaration, name) = declaration(&mut fields, "name", faults);
    outline.service = declaration;
    let kind: Option<Kind> = fields
        .require("kind", faults)
        .and_then(|node| node::choice(node, "kind", &KIND_NAMES, faults));
    let class: Option<Class> = fields
        .require("class", faults)
        .and_then(|node| node::choice(node, "class", &CLASS_NAMES, faults));
    let regions = fields.require("regions", faults).map(|node| regions(node, faults));
    let deadline = fields
        .require("deadline_ms", faults)
        .and_then(|node| node::number(&node, "deadline_ms", &DEADLINE_RANGE_MS, faults));
    let share = match fields.take("share") {
        Some(node) => node::number(&node, "share", &SHARE_RANGE, faults),
        None => Some(1),
    };
    let repeatable = repeatable(&mut fields, kind, faults);
    let models = models(&mut fields, kind, outline, faults);
    fields.reject_unknown(&SERVICE_FIELDS, faults);
    Some(Service {
        name: name?,
        kind: kind?,
        class: class?,
        regions: regions?,
        deadline: Duration::from_millis(deadline?),
        share: u32::try_from(share?).unwrap_or(u32::MAX),
        repeatable: repeatable?,
        models,
    })
}

/// Returns whether calls may run more than once: always for engines, and as the file says for plain
/// services.
fn repeatable(fields: &mut Fields, kind: Option<Kind>, faults: &mut Faults) -> Option<bool> {
    let Some(node) = fields.take("repeatable") else {
        if kind == Some(Kind::Plain) {
            faults.add(fields.line, "field `repeatable` is missing; a plain service requires it");
        }
        return Some(true);
    };
    let value = node::boolean(&node, "repeatable", faults)?;
    if kind == Some(Kind::Engine) && !value {
        faults.add(node.line, "repeatable must be true for an engine service");
        return None;
    }
    Some(value)
}

fn regions(node: Node, faults: &mut Faults) -> Vec<String> {
    let line = node.line;
    let list = node::list(node, "regions", faults);
    if list.is_empty() {
        faults.add(line, "regions must name at least one region");
    }
    let mut names: Vec<String> = Vec::with_capacity(list.len());
    for node in list {
        let line = node.line;
        let Some(name) = node::name(node, "a region", faults) else {
            continue;
        };
        if names.contains(&name) {
            faults.add(line, format!("duplicate region `{name}`"));
        }
        names.push(name);
    }
    names
}

fn models(
    fields: &mut Fields,
    kind: Option<Kind>,
    outline: &mut Outline,
    faults: &mut Faults,
) -> Vec<Model> {
    let found = fields.take("models");
    let line = found.as_ref().map_or(fields.line, |node| node.line);
    let list = found.map(|node| node::list(node, "models", faults)).unwrap_or_default();
    match kind {
        Some(Kind::Engine) if list.is_empty() => {
            faults.add(line, "an engine service needs at least one model");
        }
        Some(Kind::Plain) if !list.is_empty() => {
            faults.add(line, "a plain service has no models");
        }
        _ => {}
    }
    list.into_iter().filter_map(|node| model(node, outline, faults)).collect()
}

fn model(node: Node, outline: &mut Outline, faults: &mut Faults) -> Option<Model> {
    let mut fields = Fields::from_node(node, "a model", faults)?;
    let (declaration, name) = declaration(&mut fields, "a model's name", faults);
    let mut item = Item { model: declaration, adapters: Vec::new() };
    let version = release(&mut fields, faults);
    let memory = memory(&mut fields, faults);
    let copies = match fields.take("copies") {
        Some(node) => node::number(&node, "copies", &COPIES_RANGE, faults),
        None => Some(1),
    };
    let list = fields.take("adapters").map(|node| node::list(node, "adapters", faults));
    let found = list.unwrap_or_default().into_iter();
    let adapters = found.filter_map(|node| adapter(node, &mut item, faults)).collect();
    fields.reject_unknown(&MODEL_FIELDS, faults);
    outline.models.push(item);
    Some(Model {
        name: name?,
        version: version?,
        memory: memory?,
        copies: u32::try_from(copies?).unwrap_or(u32::MAX),
        adapters,
    })
}

fn adapter(node: Node, item: &mut Item, faults: &mut Faults) -> Option<Adapter> {
    let mut fields = Fields::from_node(node, "an adapter", faults)?;
    let (declaration, name) = declaration(&mut fields, "an adapter's name", faults);
    item.adapters.push(declaration);
    let version = release(&mut fields, faults);
    let memory = memory(&mut fields, faults);
    fields.reject_unknown(&ADAPTER_FIELDS, faults);
    Some(Adapter { name: name?, version: version?, memory: memory? })
}

fn release(fields: &mut Fields, faults: &mut Faults) -> Option<u64> {
    let node = fields.require("version", faults)?;
    node::number(&node, "version", &RELEASE_RANGE, faults)
}

fn memory(fields: &mut Fields, faults: &mut Faults) -> Option<Bytes> {
    let node = fields.require("memory_mib", faults)?;
    node::number(&node, "memory_mib", &MEMORY_RANGE_MIB, faults).map(|mib| mib << 20)
}
