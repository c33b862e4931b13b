//! Slots of engines over time, and the free slots that existed when requests were refused.
//!
//! What an engine runs is counted from the lines of all daemons, which know more than the daemon that
//! refused. A slot that was kept free on purpose, for memory or after a start, counts as free.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use super::account::Line;

/// An engine, as far as the lines so far tell.
#[derive(Debug, Default)]
struct Engine {
    service: String,
    born: u64,
    /// None in the log of an earlier release.
    slots: Option<u32>,
    is_live: bool,
    /// Models that it holds.
    models: HashSet<String>,
}

/// Refused requests for one reason, and those of them for which a slot was free.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Refusals {
    /// Refused requests that name a model.
    pub requests: u64,
    /// Those for which an engine that held the model had a free slot.
    pub free_at_holder: u64,
    /// Those for which any engine of the service had a free slot.
    pub free_in_service: u64,
}

impl Refusals {
    pub(super) fn add(&mut self, other: Refusals) {
        self.requests += other.requests;
        self.free_at_holder += other.free_at_holder;
        self.free_in_service += other.free_in_service;
    }
}

/// Slots in use at the end of a second, and the refusals within it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Slots in use, without the requests that wait at an engine for one.
    pub used: u64,
    /// Slots of all live engines; none in the log of an earlier release.
    pub slots: Option<u64>,
    /// Requests refused within the second that name a model.
    pub refused: u64,
}

/// State of all engines, updated line by line.
#[derive(Debug, Default)]
pub(super) struct Engines {
    rows: HashMap<String, Engine>,
    /// Services whose endpoints are engines.
    services: HashSet<String>,
}

impl Engines {
    /// Finds the services whose endpoints run models.
    pub(super) fn new(lines: &[Line]) -> Self {
        let services: HashMap<&str, &str> = lines
            .iter()
            .filter(|line| line.event == "seen")
            .filter_map(|line| Some((line.endpoint.as_str(), line.service.as_deref()?)))
            .collect();
        let runs_model = |line: &&Line| {
            line.model.is_some() && matches!(line.event.as_str(), "sent" | "order" | "goal")
        };
        let of_models = lines.iter().filter(runs_model);
        let of_models = of_models.filter_map(|line| services.get(line.endpoint.as_str()));
        let services = of_models.map(|service| (*service).to_string()).collect();
        Engines { rows: HashMap::new(), services }
    }

    /// Applies a line on an engine's start, end or models.
    pub(super) fn apply(&mut self, line: &Line) {
        match line.event.as_str() {
            "seen" => self.apply_seen(line),
            "gone" if line.held != true => {
                if let Some(row) = self.rows.get_mut(&line.endpoint) {
                    row.is_live = false;
                }
            }
            _ => self.apply_models(line),
        }
    }

    /// Applies an engine's record. A daemon that lags behind the store logs an older one.
    fn apply_seen(&mut self, line: &Line) {
        let row = self.rows.entry(line.endpoint.clone()).or_default();
        if line.born < row.born {
            return;
        }
        if line.born > row.born {
            // It has restarted without models.
            row.models.clear();
        }
        row.born = line.born;
        row.service = line.service.clone().unwrap_or_default();
        row.slots = line.slots.or(row.slots);
        row.is_live = line.state != "leaving";
    }

    fn apply_models(&mut self, line: &Line) {
        let (Some(row), Some(model)) = (self.rows.get_mut(&line.endpoint), &line.model) else {
            return;
        };
        match line.event.as_str() {
            "sent" => {
                row.models.insert(model.clone());
            }
            "goal" => {
                row.models = line.holds.iter().cloned().collect();
                if line.outcome == "reached" {
                    row.models.insert(model.clone());
                    row.models.retain(|held| !line.victims.contains(held));
                }
            }
            "order" if line.adapter.is_none() => {
                row.models = line.holds.iter().cloned().collect();
                // The engine stops serving a model as soon as it accepts the order to unload it.
                if line.action == "unload" && line.outcome == "accepted" {
                    row.models.remove(model);
                }
            }
            _ => {}
        }
    }

    /// Records that an engine has refused a request, as it does not hold the model.
    pub(super) fn remove_model(&mut self, endpoint: &str, model: &str) {
        if let Some(row) = self.rows.get_mut(endpoint) {
            row.models.remove(model);
        }
    }

    fn live(&self) -> impl Iterator<Item = (&String, &Engine)> {
        self.rows.iter().filter(|(_, row)| row.is_live && self.services.contains(&row.service))
    }

    /// Returns the refusal of a request, with the slots that were free for it; none if the log does
    /// not state slots, or not the service of the request.
    pub(super) fn refusal(
        &self,
        running: &BTreeMap<String, usize>,
        line: &Line,
    ) -> Option<Refusals> {
        let (model, service) = (line.model.as_ref()?, line.service.as_ref()?);
        self.live().find(|(_, row)| row.slots.is_some())?;
        let used = |endpoint: &String| running.get(endpoint).copied().unwrap_or(0);
        let free = self.live().filter(|(endpoint, row)| {
            row.service == *service
                && row.slots.is_some_and(|slots| used(endpoint) < slots as usize)
        });
        let mut refusal = Refusals { requests: 1, ..Refusals::default() };
        for (_, row) in free {
            refusal.free_in_service = 1;
            refusal.free_at_holder |= u64::from(row.models.contains(model));
        }
        Some(refusal)
    }

    /// Returns the slots in use, and how many there are.
    pub(super) fn usage(&self, running: &BTreeMap<String, usize>) -> Usage {
        let slots = |endpoint: &String| self.rows.get(endpoint).and_then(|row| row.slots);
        let used = running.iter().map(|(endpoint, count)| {
            let count = *count as u64;
            slots(endpoint).map_or(count, |slots| count.min(slots.into()))
        });
        let known: Vec<u64> = self.live().filter_map(|(_, row)| row.slots).map(u64::from).collect();
        let total = (!known.is_empty()).then(|| known.iter().sum());
        Usage { used: used.sum(), slots: total, refused: 0 }
    }
}
