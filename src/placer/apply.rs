//! Updates of the ledgers from engines' reports and from the placement plan.

use std::collections::BTreeMap;

use crate::decide::ledger;
use crate::decide::ledger::Ledger;
use crate::decide::place;
use crate::decide::place::Step;
use crate::decide::place::View;
use crate::decide::weight_store::Share;
use crate::edge::endpoint::control::Control;
use crate::edge::platform::Platform;
use crate::edge::platform::Version;
use crate::metric::Counter;
use crate::placer::Placer;
use crate::placer::object;
use crate::placer::object::Outcome;
use crate::table::EndpointId;
use crate::table::Fence;

/// A ledger to be written, with the version of the object that it replaces.
pub(super) struct Draft {
    pub(super) expect: Option<Version>,
    pub(super) ledger: Ledger,
}

impl<P: Platform, C: Control> Placer<P, C> {
    /// Applies the latest reports to the ledgers of the home region.
    pub(super) async fn apply_reports(&self, term: Fence) {
        let now = self.now();
        self.inventory().record_row_times(now);
        for (endpoint, draft) in self.changed_ledgers() {
            if self.term() != Some(term) {
                return;
            }
            self.write_ledger(endpoint, draft).await;
        }
        let now = self.now();
        self.inventory().record_row_times(now);
    }

    /// Returns the ledgers that change through a report or through the removal of old freed rows.
    fn changed_ledgers(&self) -> Vec<(EndpointId, Draft)> {
        let home = &self.settings.place.region;
        let inventory = self.inventory();
        let mut changed = Vec::new();
        for (endpoint, engine) in &inventory.engines {
            let Some((report, received_at)) = engine.report.as_ref() else { continue };
            if engine.instance.region != *home {
                continue;
            }
            let mut ledger = engine.ledger.clone();
            let updated = ledger.observe(report);
            let swept = ledger.sweep(report, |row| inventory.row_age(*received_at, *endpoint, row));
            if updated || swept {
                changed.push((*endpoint, Draft { expect: engine.version, ledger }));
            }
        }
        changed
    }

    /// Returns a copy of an engine's last known ledger for modification.
    pub(super) fn draft(&self, endpoint: EndpointId) -> Option<Draft> {
        let inventory = self.inventory();
        let engine = inventory.engines.get(&endpoint)?;
        Some(Draft { expect: engine.version, ledger: engine.ledger.clone() })
    }

    /// Writes a ledger and returns whether the object now holds it. On a conflict, the ledger found
    /// there is kept instead.
    pub(super) async fn write_ledger(&self, endpoint: EndpointId, draft: Draft) -> bool {
        let Draft { expect, ledger } = draft;
        let name = endpoint.to_string();
        let key = (ledger::KIND, name.as_str());
        let outcome = object::write(&self.platform, &self.metrics, key, expect, &ledger).await;
        let mut inventory = self.inventory();
        let Some(engine) = inventory.engines.get_mut(&endpoint) else {
            return false;
        };
        match outcome {
            Ok(Outcome::Applied(version)) => {
                engine.record_ledger(version, ledger);
                true
            }
            Ok(Outcome::Conflict(found)) => {
                if let Some((version, ledger)) = found {
                    engine.record_ledger(version, ledger);
                }
                false
            }
            Err(_) => false,
        }
    }

    /// Writes the reservations and releases of the placement plan.
    pub(super) async fn apply_plan(&self, term: Fence) {
        let (loads, unloads) = self.plan_steps();
        for (endpoint, steps) in loads {
            if self.term() != Some(term) {
                return;
            }
            self.reserve(endpoint, &steps, term).await;
        }
        for step in unloads {
            if self.term() != Some(term) {
                return;
            }
            self.release(&step, term).await;
        }
        let now = self.now();
        self.inventory().record_row_times(now);
    }

    /// Plans the placement and returns the loads for which this region's share of the weight store
    /// is sufficient, by endpoint, and the unloads.
    fn plan_steps(&self) -> (BTreeMap<EndpointId, Vec<Step>>, Vec<Step>) {
        let now = self.now();
        let home = &self.settings.place.region;
        let mut inventory = self.inventory();
        let hosts = inventory.hosts(now, home);
        let age = |endpoint, row: &ledger::Row| inventory.row_age(now, endpoint, row);
        let view = View {
            config: &inventory.config,
            hosts: &hosts,
            home,
            demand: &inventory.demand,
            age: &age,
        };
        let plan = place::plan(&view);
        let mut regions: Vec<&String> = hosts.values().map(|host| &host.region).collect();
        regions.sort();
        regions.dedup();
        let region_index = regions.iter().position(|region| *region == home).unwrap_or(0);
        let home_hosts = hosts.values().filter(|host| host.region == *home);
        let mut budget = Share::for_region(region_index, regions.len())
            .remaining(home_hosts.map(|host| &host.ledger));
        let mut loads: BTreeMap<EndpointId, Vec<Step>> = BTreeMap::new();
        let mut unloads = Vec::new();
        for step in plan.steps {
            match &step {
                Step::Load { endpoint, item, .. } => {
                    if budget.take(item.is_model()) {
                        loads.entry(*endpoint).or_default().push(step);
                    }
                }
                Step::Unload { .. } => unloads.push(step),
            }
        }
        if !plan.unplaced.is_empty() {
            self.metrics.count(Counter::ShortRounds);
        }
        inventory.unplaced = plan.unplaced;
        (loads, unloads)
    }

    async fn reserve(&self, endpoint: EndpointId, steps: &[Step], term: Fence) {
        let Some(mut draft) = self.draft(endpoint) else {
            return;
        };
        let mut count = 0;
        for step in steps {
            if let Step::Load { accelerator, item, memory, .. } = step {
                let reserved = draft.ledger.reserve(item.clone(), *accelerator, *memory, term);
                count += u64::from(reserved.is_ok());
            }
        }
        if count > 0 && self.write_ledger(endpoint, draft).await {
            self.metrics.add(Counter::Reservations, count);
        }
    }
}
