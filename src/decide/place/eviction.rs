//! Evictions for a model that fits on no accelerator.
//!
//! Load pattern: memory is nearly full and a model's version is replaced, or its replicas were lost
//! with their endpoints. Without evictions the new version would wait for memory that its own old
//! replicas hold, and a model without a replica for memory that second replicas of others hold.
//!
//! Candidates: replicas above the configured number; replicas of other versions, as long as another
//! replica is resident; and, for a version without any replica, second replicas of other models,
//! since one replica of every model takes precedence over two of one model.

use crate::config::service::Model;
use crate::config::service::Service;
use crate::decide::ledger::Item;
use crate::decide::ledger::Ledger;
use crate::decide::ledger::Row;
use crate::decide::ledger::State;
use crate::decide::place::Host;
use crate::decide::place::Planner;
use crate::decide::place::Step;
use crate::decide::place::copies;
use crate::decide::place::item;
use crate::decide::place::rows;
use crate::table::Bytes;
use crate::table::EndpointId;
use crate::table::RegionId;

/// Replicas to unload from one accelerator.
struct Eviction {
    endpoint: EndpointId,
    items: Vec<Item>,
    memory: Bytes,
}

impl Planner<'_> {
    /// Plans the unloads after which `model` fits. Only one model per plan: what the next one lacks
    /// is certain only once these unloads are done.
    pub(super) fn make_room(&mut self, service: &Service, model: &Model) {
        if std::mem::replace(&mut self.evicting, true) {
            return;
        }
        let regions = self.view.demand.by_demand(&model.name, &service.regions);
        if regions.iter().any(|region| self.is_memory_pending(model, region)) {
            return;
        }
        let eviction = regions.iter().find_map(|region| {
            let eviction = self.cheapest_eviction(model, region)?;
            Some((region == self.view.home, eviction))
        });
        if let Some((true, eviction)) = eviction {
            for item in eviction.items {
                let endpoint = eviction.endpoint;
                self.plan.steps.push(Step::Unload { endpoint, item, configured: true });
            }
        }
    }

    /// Returns whether memory that is being released will suffice on some accelerator of the
    /// region.
    fn is_memory_pending(&self, model: &Model, region: &RegionId) -> bool {
        self.places(model, region).iter().any(|(_, host, accelerator)| {
            let rows = rows_on(&host.ledger, *accelerator);
            let releasing = rows.filter(|row| matches!(row.state, State::Releasing | State::Freed));
            let releasing: Bytes = releasing.map(|row| row.memory).sum();
            host.ledger.free(*accelerator) + releasing >= model.memory
        })
    }

    /// Returns the eviction of the fewest replicas in a region.
    fn cheapest_eviction(&self, model: &Model, region: &RegionId) -> Option<Eviction> {
        let places = self.places(model, region);
        let evictions = places.iter().filter_map(|(endpoint, host, accelerator)| {
            self.evict_from(model, *endpoint, &host.ledger, *accelerator)
        });
        evictions.min_by_key(|eviction| (eviction.items.len(), eviction.memory, eviction.endpoint))
    }

    /// Returns the replicas to unload from one accelerator, or `None` if the evictable ones do not
    /// free enough memory.
    fn evict_from(
        &self,
        model: &Model,
        endpoint: EndpointId,
        ledger: &Ledger,
        accelerator: u32,
    ) -> Option<Eviction> {
        let without_replica = copies(&self.hosts, &self.index, model).is_empty();
        let mut candidates: Vec<(Bytes, &Item)> = rows_on(ledger, accelerator)
            .filter(|row| self.is_evictable(row, without_replica))
            .map(|row| (total_memory(ledger, row), &row.item))
            .collect();
        candidates.sort_by_key(|(memory, item)| (std::cmp::Reverse(*memory), *item));
        let mut eviction = Eviction { endpoint, items: Vec::new(), memory: 0 };
        for (memory, item) in candidates {
            if ledger.free(accelerator) + eviction.memory >= model.memory {
                break;
            }
            eviction.items.push(item.clone());
            eviction.memory += memory;
        }
        let enough = ledger.free(accelerator) + eviction.memory >= model.memory;
        enough.then_some(eviction)
    }

    fn is_evictable(&self, row: &Row, without_replica: bool) -> bool {
        if row.state != State::Confirmed || !row.item.is_model() {
            return false;
        }
        let residents = self.resident_count(&row.item, false);
        let Some((_, configured)) = self.view.config.model(&row.item.model) else {
            return true;
        };
        let is_outdated = configured.version != row.item.version;
        let is_surplus =
            !is_outdated && self.resident_count(&row.item, true) > configured.copies as usize;
        residents >= 2 && (is_outdated || is_surplus || without_replica)
    }

    /// Counts the resident replicas of a model on usable hosts, optionally of the same version
    /// only.
    fn resident_count(&self, item: &Item, same_version: bool) -> usize {
        let rows = rows(self.view.hosts, &self.index, &item.model);
        let matching = rows.filter(|copy| {
            copy.row.state == State::Confirmed
                && (!same_version || copy.row.item.version == item.version)
        });
        matching.count()
    }

    /// Returns the accelerators of a region whose engine has no row of the model.
    fn places(&self, model: &Model, region: &RegionId) -> Vec<(EndpointId, &Host, u32)> {
        let hosts = self.hosts.iter().filter(|(_, host)| {
            let is_present = host.ledger.row(&item(model)).is_some();
            host.usable && host.region == *region && !is_present
        });
        let places = hosts.flat_map(|(addr, host)| {
            let accelerators = 0..host.ledger.capacity.len() as u32;
            accelerators.map(move |accelerator| (*addr, host, accelerator))
        });
        places.collect()
    }

    /// Returns the best accelerator in a region: in a data center with the fewest replicas of the
    /// model, then with memory for its adapters too, then with the least free memory, so that large
    /// gaps are left for large models.
    pub(super) fn best_fit(&self, model: &Model, region: &RegionId) -> Option<(EndpointId, u32)> {
        let adapters: Bytes = model.adapters.iter().map(|adapter| adapter.memory).sum();
        let existing = copies(&self.hosts, &self.index, model);
        let replicas_in_center = |host: &Host| {
            existing.iter().filter(|copy| copy.host.data_center == host.data_center).count()
        };
        let places = self.places(model, region).into_iter();
        places
            .filter(|(_, host, accelerator)| host.ledger.free(*accelerator) >= model.memory)
            .min_by_key(|(addr, host, accelerator)| {
                let free = host.ledger.free(*accelerator);
                (
                    replicas_in_center(host),
                    free < model.memory + adapters,
                    free,
                    *addr,
                    *accelerator,
                )
            })
            .map(|(addr, _, accelerator)| (addr, accelerator))
    }
}

/// Returns the rows of one accelerator.
fn rows_on(ledger: &Ledger, accelerator: u32) -> impl Iterator<Item = &Row> {
    ledger.rows.iter().filter(move |row| row.accelerator == accelerator)
}

/// Returns the memory of a replica and its adapters.
fn total_memory(ledger: &Ledger, row: &Row) -> Bytes {
    let related = rows_on(ledger, row.accelerator).filter(|other| {
        other.item == row.item || (!other.item.is_model() && other.item.model == row.item.model)
    });
    related.map(|other| other.memory).sum()
}
