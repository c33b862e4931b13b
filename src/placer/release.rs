//! Release of replicas: recorded first in the model's copies object, then in the ledger.

use crate::decide::ledger;
use crate::decide::ledger::Item;
use crate::decide::ledger::Ledger;
use crate::decide::ledger::State;
use crate::decide::ledger::copies;
use crate::decide::ledger::copies::Copies;
use crate::decide::ledger::copies::Copy;
use crate::decide::place::Step;
use crate::edge::endpoint::Stage;
use crate::edge::endpoint::control::Control;
use crate::edge::platform::Platform;
use crate::edge::platform::Version;
use crate::metric::Counter;
use crate::placer::Engine;
use crate::placer::Placer;
use crate::placer::apply::Draft;
use crate::placer::object;
use crate::placer::object::Outcome;
use crate::table::EndpointId;
use crate::table::Fence;
use crate::table::ModelId;

impl<P: Platform, C: Control> Placer<P, C> {
    /// Releases the item of an unload step; a configured model only if another replica serves.
    pub(super) async fn release(&self, step: &Step, term: Fence) {
        let Step::Unload { endpoint, item, configured: is_configured } = step else {
            return;
        };
        // The ledger version that the release replaces is taken before the copies object is read: a
        // placer that removes the replica from `leaving` later also writes the ledger, so that this
        // release gets a conflict.
        let Some(mut draft) = self.draft(*endpoint) else {
            return;
        };
        if draft.ledger.release(item, term).is_err() {
            return;
        }
        if item.is_model() && *is_configured && !self.mark_leaving(*endpoint, item).await {
            return;
        }
        if self.term() == Some(term) && self.write_ledger(*endpoint, draft).await {
            self.metrics.count(Counter::Releases);
        }
    }

    /// Records a replica as leaving in the copies object, and returns whether it may be released.
    async fn mark_leaving(&self, endpoint: EndpointId, item: &Item) -> bool {
        let copy = Copy { endpoint, version: item.version };
        let (expect, mut copies) = self.copies(&item.model);
        self.clean_leaving(&item.model, &mut copies, Some(copy)).await;
        let other_copies = self.other_copies(item, copy);
        let mut resident = Vec::new();
        // The anchor stays if it still serves; otherwise the first replica that serves replaces it.
        let mut candidates: Vec<Copy> = copies.anchor.into_iter().chain(other_copies).collect();
        candidates.retain(|other| *other != copy && !copies.leaving.contains(other));
        for other in candidates {
            if self.is_serving(&item.model, other).await {
                copies.set_anchor(other);
                resident.push(other);
                break;
            }
        }
        if copies.mark_leaving(copy, &resident).is_err() {
            return false;
        }
        // Written even if unchanged, so that a concurrent placer that removes this replica from
        // `leaving` on the basis of the same version gets a conflict.
        self.write_copies(&item.model, expect, copies).await
    }

    /// Removes replicas from `leaving` in all copies objects if they are gone or their release was
    /// never written.
    pub(super) async fn clean_all_leaving(&self, term: Fence) {
        let models: Vec<ModelId> = {
            let inventory = self.inventory();
            let with_leaving =
                inventory.copies.iter().filter(|(_, (_, copies))| !copies.leaving.is_empty());
            with_leaving.map(|(model, _)| model.clone()).collect()
        };
        for model in models {
            let (expect, mut copies) = self.copies(&model);
            let changed = self.clean_leaving(&model, &mut copies, None).await;
            if changed && self.term() == Some(term) {
                self.write_copies(&model, expect, copies).await;
            }
        }
    }

    /// Removes those replicas of the home region from `leaving` for which no release can be
    /// pending, and returns whether there were any.
    ///
    /// A placer that was paused after it wrote `leaving` may write the release at any time. The
    /// ledger is therefore read after the copies object: if it has no row for the replica, that
    /// release fails; if the replica is still resident, the ledger is written again, so that the
    /// release gets a conflict.
    async fn clean_leaving(&self, model: &str, copies: &mut Copies, except: Option<Copy>) -> bool {
        let mut settled = Vec::new();
        for copy in copies.leaving.iter().filter(|copy| Some(**copy) != except) {
            if self.is_settled(model, *copy).await {
                settled.push(*copy);
            }
        }
        copies.remove_departed(|copy| settled.contains(copy))
    }

    /// Returns whether no release of a replica is pending, and none can be written on the basis of
    /// a ledger version that any placer has read before.
    async fn is_settled(&self, model: &str, copy: Copy) -> bool {
        let item = Item { model: model.to_string(), adapter: None, version: copy.version };
        let state = |engine: &Engine| engine.ledger.row(&item).map(|row| row.state);
        let home = &self.settings.place.region;
        let known = {
            let inventory = self.inventory();
            let engine = inventory.engines.get(&copy.endpoint);
            engine.filter(|engine| engine.instance.region == *home).map(state)
        };
        if !matches!(known, Some(None | Some(State::Confirmed))) {
            return false;
        }
        let name = copy.endpoint.to_string();
        let read = object::read::<P, Ledger>(&self.platform, ledger::KIND, &name).await;
        let Ok(Some((version, ledger))) = read else {
            return false;
        };
        let Some(draft) = self.updated_draft(copy.endpoint, version, ledger) else {
            return false;
        };
        match draft.ledger.row(&item).map(|row| row.state) {
            None => true,
            Some(State::Confirmed) => self.write_ledger(copy.endpoint, draft).await,
            Some(_) => false,
        }
    }

    fn updated_draft(
        &self,
        endpoint: EndpointId,
        version: Version,
        ledger: Ledger,
    ) -> Option<Draft> {
        self.inventory().engines.get_mut(&endpoint)?.record_ledger(version, ledger);
        self.draft(endpoint)
    }

    fn copies(&self, model: &str) -> (Option<Version>, Copies) {
        match self.inventory().copies.get(model) {
            Some((version, copies)) => (Some(*version), copies.clone()),
            None => (None, Copies::default()),
        }
    }

    /// Returns the other resident replicas of the ledgers, those of the configured version first.
    fn other_copies(&self, item: &Item, copy: Copy) -> Vec<Copy> {
        let inventory = self.inventory();
        let configured_version =
            inventory.config.model(&item.model).map(|(_, model)| model.version);
        let mut other_copies = Vec::new();
        for (endpoint, engine) in &inventory.engines {
            for row in &engine.ledger.rows {
                let other = Copy { endpoint: *endpoint, version: row.item.version };
                let is_resident = row.item.model == item.model
                    && row.item.is_model()
                    && row.state == State::Confirmed;
                if is_resident && other != copy {
                    other_copies.push(other);
                }
            }
        }
        other_copies.sort_by_key(|other| (Some(other.version) != configured_version, *other));
        other_copies
    }

    /// Returns whether both a fresh report of the endpoint and its ledger show a replica as
    /// resident.
    async fn is_serving(&self, model: &str, copy: Copy) -> bool {
        let Ok((report, _)) = self.control.bind(copy.endpoint).await else {
            return false;
        };
        let is_reported = report.resident.iter().any(|resident| {
            resident.model == model
                && resident.adapter.is_none()
                && resident.version == copy.version
                && resident.stage == Stage::Resident
        });
        let inventory = self.inventory();
        let Some(engine) = inventory.engines.get(&copy.endpoint) else {
            return false;
        };
        let item = Item { model: model.to_string(), adapter: None, version: copy.version };
        let row = engine.ledger.row(&item);
        let is_resident = row.is_some_and(|row| {
            row.state == State::Confirmed && row.incarnation == report.incarnation
        });
        is_reported && is_resident && !report.draining
    }

    async fn write_copies(&self, model: &str, expect: Option<Version>, copies: Copies) -> bool {
        let key = (copies::KIND, model);
        let outcome = object::write(&self.platform, &self.metrics, key, expect, &copies).await;
        let mut inventory = self.inventory();
        match outcome {
            Ok(Outcome::Applied(version)) => {
                inventory.copies.insert(model.to_string(), (version, copies));
                true
            }
            Ok(Outcome::Conflict(Some(found))) => {
                inventory.copies.insert(model.to_string(), found);
                false
            }
            Ok(Outcome::Conflict(None)) | Err(_) => false,
        }
    }
}
