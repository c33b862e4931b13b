//! Set of service files, collected from files and folders and checked against each other.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use crate::config::Error;
use crate::config::Fault;
use crate::config::file::Declaration;
use crate::config::file::File;
use crate::config::file::Outline;
use crate::config::file::Raw;
use crate::config::node;
use crate::config::node::Faults;
use crate::config::node::Fields;
use crate::config::service::Service;
use crate::table::Bytes;

/// Maximum number of service files in one publish. It allows 260 models with one service each and
/// bounds how much is read if the operator names the wrong folder.
pub const MAX_FILES: usize = 512;

/// Name of the optional file, in the folder of the service files, that describes the hardware.
pub const DEPLOYMENT_FILE: &str = "deployment.yaml";

/// Hardware that the services of a set run on, as far as it is known.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Deployment {
    /// Memory of the largest accelerator, in bytes.
    pub accelerator_memory: Option<Bytes>,
    /// Existing regions; if empty, any region is allowed.
    pub regions: Vec<String>,
}

/// Services whose files passed every check.
#[derive(Debug, Clone, Default)]
pub struct Set {
    /// Services, sorted by name without duplicates.
    pub services: Vec<Service>,
    /// Declared names of each service and their lines, in the order of `services`.
    pub outlines: Vec<Outline>,
    /// Whether every service was checked against the accelerators' memory.
    pub fit_checked: bool,
}

impl Set {
    /// Returns the services with their outlines.
    pub fn rows(&self) -> impl Iterator<Item = (&Service, &Outline)> {
        self.services.iter().zip(&self.outlines)
    }

    /// Reads and checks the given files and the `.yaml` files of the given folders.
    ///
    /// Each file is checked against the deployment file in its folder, if there is one;
    /// `accelerator` (bytes) overrides the accelerator memory given there.
    pub fn read(paths: &[PathBuf], accelerator: Option<Bytes>) -> Result<Self, Error> {
        let mut faults = Vec::new();
        let mut raws = Vec::new();
        let mut deployments = BTreeMap::new();
        for path in collect_files(paths, &mut faults) {
            let folder = path.parent().unwrap_or(Path::new("")).to_path_buf();
            if !deployments.contains_key(&folder) {
                let mut deployment = load_deployment(&folder, &mut faults);
                deployment.accelerator_memory = accelerator.or(deployment.accelerator_memory);
                deployments.insert(folder.clone(), deployment);
            }
            let Some(raw) = read_file(&path, &mut faults) else {
                continue;
            };
            raws.push((raw, deployments[&folder].clone()));
        }
        if raws.is_empty() && faults.is_empty() && !paths.is_empty() {
            let names: Vec<String> = paths.iter().map(|path| path.display().to_string()).collect();
            return Err(Error::single(&names.join(" "), None, "contains no service file"));
        }
        match Set::check(raws) {
            Ok(set) if faults.is_empty() => Ok(set),
            Ok(_) => Err(Error { faults }),
            Err(err) => {
                faults.extend(err.faults);
                Err(Error { faults })
            }
        }
    }

    /// Checks each file by itself, against its deployment and against the other files.
    pub fn check(raws: Vec<(Raw, Deployment)>) -> Result<Self, Error> {
        let mut faults = Vec::new();
        if raws.len() > MAX_FILES {
            let reason = format!("{} service files; at most {MAX_FILES} are allowed", raws.len());
            return Err(Error::single(&raws[MAX_FILES].0.file, Some(1), reason));
        }
        let mut files = Vec::with_capacity(raws.len());
        for (raw, deployment) in raws {
            let mut file = File::from(raw);
            faults.append(&mut file.faults);
            if let Some(service) = &file.service {
                check_fit(service, &file.outline, &deployment, &mut faults);
            }
            files.push((file, deployment));
        }
        report_duplicates(files.iter().map(|(file, _)| &file.outline), &mut faults);
        if !faults.is_empty() {
            return Err(Error { faults });
        }
        let fit_checked =
            files.iter().all(|(_, deployment)| deployment.accelerator_memory.is_some());
        let complete = |(file, _): (File, Deployment)| Some((file.service?, file.outline));
        let mut rows: Vec<(Service, Outline)> = files.into_iter().filter_map(complete).collect();
        rows.sort_by(|a, b| a.0.name.cmp(&b.0.name));
        let (services, outlines) = rows.into_iter().unzip();
        Ok(Set { services, outlines, fit_checked })
    }
}

/// Reads a folder's deployment file, or returns the default if there is none.
fn load_deployment(folder: &Path, faults: &mut Vec<Fault>) -> Deployment {
    let path = folder.join(DEPLOYMENT_FILE);
    if !path.exists() {
        return Deployment::default();
    }
    let Some(raw) = read_file(&path, faults) else {
        return Deployment::default();
    };
    read_deployment(&raw).unwrap_or_else(|err| {
        faults.extend(err.faults);
        Deployment::default()
    })
}

/// Returns the given files and the `.yaml` files of the given folders, in order.
fn collect_files(paths: &[PathBuf], faults: &mut Vec<Fault>) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for path in paths {
        if !path.is_dir() {
            found.push(path.clone());
            continue;
        }
        match list_folder(path) {
            Ok(list) => found.extend(list),
            Err(err) => faults.push(unreadable(path, &err)),
        }
    }
    found.dedup();
    found
}

fn list_folder(path: &Path) -> std::io::Result<Vec<PathBuf>> {
    let mut list = Vec::new();
    for entry in fs::read_dir(path)? {
        let path = entry?.path();
        let yaml = path.extension().is_some_and(|ext| ext == "yaml" || ext == "yml");
        if yaml && path.file_name().is_none_or(|name| name != DEPLOYMENT_FILE) {
            list.push(path);
        }
    }
    list.sort();
    Ok(list)
}

fn read_file(path: &Path, faults: &mut Vec<Fault>) -> Option<Raw> {
    match fs::read_to_string(path) {
        Ok(text) => Some(Raw { file: path.display().to_string(), text }),
        Err(err) => {
            faults.push(unreadable(path, &err));
            None
        }
    }
}

fn unreadable(path: &Path, err: &std::io::Error) -> Fault {
    let reason = format!("cannot be read: {err}");
    Fault { file: path.display().to_string(), line: None, reason }
}

/// Parses a deployment file.
pub fn read_deployment(raw: &Raw) -> Result<Deployment, Error> {
    let node = node::parse(&raw.file, &raw.text)?;
    let mut faults = Faults::new(&raw.file);
    let mut deployment = Deployment::default();
    if let Some(mut fields) = Fields::from_node(node, "a deployment file", &mut faults) {
        if let Some(node) = fields.take("accelerator_mib") {
            let mib = node::number(&node, "accelerator_mib", &(1..=16 << 20), &mut faults);
            deployment.accelerator_memory = mib.map(|mib| mib << 20);
        }
        if let Some(node) = fields.take("regions") {
            let list = node::list(node, "regions", &mut faults).into_iter();
            let names = list.filter_map(|node| node::name(node, "a region", &mut faults));
            deployment.regions = names.collect();
        }
        fields.reject_unknown(&["accelerator_mib", "regions"], &mut faults);
    }
    if faults.list.is_empty() { Ok(deployment) } else { Err(faults.into()) }
}

/// Reports duplicate names of services, of models across all services and of a model's adapters.
fn report_duplicates<'a>(outlines: impl Iterator<Item = &'a Outline>, faults: &mut Vec<Fault>) {
    let mut services = BTreeMap::new();
    let mut models = BTreeMap::new();
    for Outline { file, service, models: items } in outlines {
        let mut check = |seen: &mut BTreeMap<String, String>,
                         label: &str,
                         declaration: &Declaration| {
            let location = format!("{file}:{}", declaration.line);
            if declaration.name.is_empty() {
                return;
            }
            if let Some(first) = seen.get(&declaration.name) {
                let reason =
                    format!("duplicate {label} `{}`; first defined at {first}", declaration.name);
                faults.push(Fault { file: file.clone(), line: Some(declaration.line), reason });
                return;
            }
            seen.insert(declaration.name.clone(), location);
        };
        check(&mut services, "service", service);
        for item in items {
            check(&mut models, "model", &item.model);
            let mut adapters = BTreeMap::new();
            item.adapters
                .iter()
                .for_each(|declaration| check(&mut adapters, "adapter", declaration));
        }
    }
}

/// Reports regions that do not exist, and models and adapters that exceed an accelerator's memory
/// even when it is otherwise empty.
fn check_fit(
    service: &Service,
    outline: &Outline,
    deployment: &Deployment,
    faults: &mut Vec<Fault>,
) {
    let mut add = |line, reason| {
        faults.push(Fault { file: outline.file.clone(), line: Some(line), reason });
    };
    for region in &service.regions {
        if !deployment.regions.is_empty() && !deployment.regions.contains(region) {
            let known = deployment.regions.join(", ");
            add(outline.service.line, format!("region `{region}` is not one of {known}"));
        }
    }
    let Some(capacity) = deployment.accelerator_memory else {
        return;
    };
    let mib = |bytes: Bytes| bytes >> 20;
    for (model, item) in service.models.iter().zip(&outline.models) {
        if model.memory > capacity {
            let (name, need, have) = (&model.name, mib(model.memory), mib(capacity));
            let reason =
                format!("model `{name}` needs {need} MiB; the largest accelerator has {have} MiB");
            add(item.model.line, reason);
            continue;
        }
        for (adapter, declaration) in model.adapters.iter().zip(&item.adapters) {
            // An adapter must be on the same accelerator as its model.
            if model.memory.saturating_add(adapter.memory) > capacity {
                let (name, have) = (&adapter.name, mib(capacity));
                let need = mib(model.memory.saturating_add(adapter.memory));
                add(
                    declaration.line,
                    format!(
                        "adapter `{name}` and its model need {need} MiB; the largest accelerator has {have} MiB"
                    ),
                );
            }
        }
    }
}
