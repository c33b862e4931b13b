//! Limits of the weight store, divided among the regions.
//!
//! Load pattern: a data center that recovers requests all its models at once. Beyond seven model
//! loads, or 56 adapter loads, in flight over the whole system the store slows all of them in
//! proportion, so that the first model is loaded only when the last is.
//!
//! Each region has a fixed share, of at least one model and one adapter. This needs no messages
//! between regions, at the price of shares that stay idle while only one region loads. Loads in
//! flight are counted from the ledgers, so a new holder of the lease starts with the true count.

use crate::decide::ledger::Ledger;
use crate::decide::ledger::State;

/// Model loads in flight at full speed, for the whole system, as given by the platform.
pub const MAX_MODEL_LOADS: usize = 7;

/// Adapter loads in flight at full speed, for the whole system, as given by the platform.
pub const MAX_ADAPTER_LOADS: usize = 56;

/// Loads that one region may still start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Model loads.
    pub models: usize,
    /// Adapter loads.
    pub adapters: usize,
}

impl Share {
    /// Returns the share of the region at `index` among `regions`, in the order of their names.
    pub fn for_region(index: usize, regions: usize) -> Self {
        let regions = regions.max(1);
        let portion =
            |total: usize| (total / regions + usize::from(index < total % regions)).max(1);
        Share { models: portion(MAX_MODEL_LOADS), adapters: portion(MAX_ADAPTER_LOADS) }
    }

    /// Returns the share less the loads in flight in these ledgers.
    pub fn remaining<'a>(self, ledgers: impl Iterator<Item = &'a Ledger>) -> Self {
        let rows = ledgers.flat_map(|ledger| &ledger.rows);
        let loading = rows.filter(|row| row.state == State::Reserved);
        let (model_loads, adapter_loads): (Vec<_>, Vec<_>) =
            loading.partition(|row| row.item.is_model());
        Share {
            models: self.models.saturating_sub(model_loads.len()),
            adapters: self.adapters.saturating_sub(adapter_loads.len()),
        }
    }

    /// Takes a load of a model or of an adapter; returns false if none is left.
    pub fn take(&mut self, model: bool) -> bool {
        let available = if model { &mut self.models } else { &mut self.adapters };
        let Some(remaining_loads) = available.checked_sub(1) else {
            return false;
        };
        *available = remaining_loads;
        true
    }
}
