//! Unloads of replaced and surplus replicas, and of adapters and models that are no longer
//! configured.
//!
//! Load pattern: demand falls in the evening and returns in the morning; versions are replaced
//! during the day. Without a delay before unloading, each trough costs an unload and a load.

use std::collections::BTreeSet;

use crate::config::service::Model;
use crate::decide::ledger::Item;
use crate::decide::ledger::State;
use crate::decide::place::Copy;
use crate::decide::place::MIN_RESIDENCE;
use crate::decide::place::Planner;
use crate::decide::place::Step;
use crate::decide::place::copies;
use crate::decide::place::engines;
use crate::decide::place::rows;
use crate::table::DataCenterId;
use crate::table::EndpointId;

impl Planner<'_> {
    /// Unloads adapters that were removed, and those whose configured version is resident too.
    pub(super) fn unload_stale_adapters(&mut self, model: &Model, endpoint: EndpointId) {
        let ledger = &self.view.hosts[&endpoint].ledger;
        let rows = ledger.rows.iter().filter(|row| row.item.model == model.name);
        for row in rows.filter(|row| row.state == State::Confirmed) {
            let Some(name) = &row.item.adapter else { continue };
            let configured = model.adapters.iter().find(|adapter| adapter.name == *name);
            let is_obsolete = match configured {
                None => true,
                Some(adapter) if adapter.version == row.item.version => false,
                Some(adapter) => {
                    let item = Item { version: adapter.version, ..row.item.clone() };
                    ledger.row(&item).is_some_and(|row| row.state == State::Confirmed)
                }
            };
            if is_obsolete {
                self.plan.steps.push(Step::Unload {
                    endpoint,
                    item: row.item.clone(),
                    configured: false,
                });
            }
        }
    }

    /// Unloads other versions once all replicas of the configured one are complete, then surplus
    /// replicas.
    pub(super) fn unload_surplus(&mut self, model: &Model) {
        let hosts = self.view.hosts;
        let copies = copies(hosts, &self.index, model);
        let ready = copies.iter().filter(|copy| copy.complete(model)).count();
        if ready < (model.copies as usize).max(1) {
            return;
        }
        let outdated: Vec<(EndpointId, Item)> = rows(hosts, &self.index, &model.name)
            .filter(|copy| copy.host.region == *self.view.home)
            .filter(|copy| copy.row.item.version != model.version)
            .filter(|copy| copy.row.state == State::Confirmed)
            .map(|copy| (copy.endpoint, copy.row.item.clone()))
            .collect();
        for (endpoint, item) in outdated {
            self.plan.steps.push(Step::Unload { endpoint, item, configured: true });
        }
        if ready > model.copies as usize {
            self.unload_one_surplus(model, &copies);
        }
    }

    /// Unloads one replica of the home region if configuration and demand call for fewer.
    fn unload_one_surplus(&mut self, model: &Model, copies: &[Copy<'_>]) {
        let (home, demand) = (self.view.home, self.view.demand);
        let local: Vec<&Copy<'_>> =
            copies.iter().filter(|copy| copy.host.region == *home).collect();
        if local.len() <= demand.copies(&model.name, home) as usize {
            return;
        }
        let is_removable = |copy: &&&Copy<'_>| {
            copy.row.state == State::Confirmed
                && (self.view.age)(copy.endpoint, copy.row) >= MIN_RESIDENCE
        };
        let replicas_in_center = |copy: &&&Copy<'_>| {
            let center = &copy.host.data_center;
            copies.iter().filter(|other| other.host.data_center == *center).count()
        };
        let Some(copy) = local.iter().filter(is_removable).max_by_key(replicas_in_center) else {
            return;
        };
        let remaining = copies.iter().filter(|other| other.endpoint != copy.endpoint);
        let remaining: BTreeSet<&DataCenterId> =
            remaining.map(|other| &other.host.data_center).collect();
        let centers: BTreeSet<&DataCenterId> =
            copies.iter().map(|copy| &copy.host.data_center).collect();
        if remaining.len() < centers.len().min(2) {
            return;
        }
        let (endpoint, item) = (copy.endpoint, copy.row.item.clone());
        self.plan.steps.push(Step::Unload { endpoint, item, configured: true });
    }

    /// Unloads models that the configuration no longer names.
    pub(super) fn unload_unconfigured(&mut self) {
        let names: BTreeSet<&str> =
            engines(self.view.config).map(|(_, model)| model.name.as_str()).collect();
        // A missing configuration must not unload every model.
        if self.view.config.version == 0 {
            return;
        }
        for (endpoint, host) in self.view.hosts {
            if host.region != *self.view.home {
                continue;
            }
            let rows = host.ledger.rows.iter().filter(|row| {
                row.item.is_model()
                    && row.state == State::Confirmed
                    && !names.contains(row.item.model.as_str())
            });
            for row in rows {
                let item = row.item.clone();
                self.plan.steps.push(Step::Unload { endpoint: *endpoint, item, configured: false });
            }
        }
    }
}
