//! One row of a ledger: its item, its state and how a report changes that state.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;

use crate::edge::endpoint::Action;
use crate::edge::endpoint::Order;
use crate::edge::endpoint::Report;
use crate::edge::endpoint::Resident;
use crate::edge::endpoint::Stage;
use crate::table::AdapterId;
use crate::table::Bytes;
use crate::table::Fence;
use crate::table::Incarnation;
use crate::table::ModelId;
use crate::table::OrderId;
use crate::table::Release;

/// An item that takes memory: a version of a model, or of an adapter loaded with its model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Item {
    /// The model.
    pub model: ModelId,
    /// The adapter; `None` for the model itself.
    #[serde(default)]
    pub adapter: Option<AdapterId>,
    /// The version of the model or of the adapter.
    pub version: Release,
}

impl Item {
    /// Returns whether the item is a model, not an adapter.
    pub fn is_model(&self) -> bool {
        self.adapter.is_none()
    }
}

/// The state of a row.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// The load may have been sent; no report has shown yet that it was applied.
    Reserved,
    /// A report showed the item resident.
    Confirmed,
    /// The unload may have been sent.
    Releasing,
    /// A report showed the memory free; the row is kept while a delayed load could still arrive.
    Freed,
}

/// Memory committed to one item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The item; no two rows of one accelerator have the same.
    pub item: Item,
    /// The index of the accelerator.
    pub accelerator: u32,
    /// Committed memory in bytes; above 0.
    pub memory: Bytes,
    /// The order that loads the item; it keeps its number in later incarnations.
    pub order: OrderId,
    /// The order that unloads the item, once one was issued.
    #[serde(default)]
    pub unload: Option<OrderId>,
    /// The fencing token under which the row was last changed.
    pub fence: Fence,
    /// The current state.
    pub state: State,
    /// The incarnation to which the order may be sent.
    pub incarnation: Incarnation,
}

impl Row {
    /// Returns whether an order of this row has an unknown outcome.
    pub fn is_pending(&self) -> bool {
        matches!(self.state, State::Reserved | State::Releasing)
    }

    pub(super) fn to_order(&self, fence: Fence) -> Order {
        let is_load = self.state == State::Reserved;
        let is_model = self.item.is_model();
        let action = match (is_load, is_model) {
            (true, true) => Action::Load,
            (true, false) => Action::LoadAdapter,
            (false, true) => Action::Unload,
            (false, false) => Action::UnloadAdapter,
        };
        let order = if is_load { self.order } else { self.unload.unwrap_or(self.order) };
        Order {
            order,
            fence,
            action,
            model: self.item.model.clone(),
            version: self.item.version,
            adapter: self.item.adapter.clone(),
            accelerator: self.accelerator,
            memory: self.memory,
        }
    }

    pub(super) fn find_in<'a>(&self, report: &'a Report) -> Option<&'a Resident> {
        report.resident.iter().find(|resident| {
            resident.accelerator == self.accelerator
                && resident.model == self.item.model
                && resident.adapter == self.item.adapter
                && resident.version == self.item.version
        })
    }

    pub(super) fn observe(&mut self, report: &Report) {
        let found = self.find_in(report);
        let is_resident = found.is_some_and(|resident| resident.stage == Stage::Resident);
        let was_applied = |order: OrderId| report.applied.contains(&order);
        let is_absent = found.is_none();
        self.state = match self.state {
            State::Reserved if is_resident => State::Confirmed,
            // Applied and absent: the load failed, and this incarnation will not apply it again.
            State::Reserved if is_absent && was_applied(self.order) => State::Freed,
            State::Confirmed if is_absent => State::Freed,
            State::Releasing if is_absent && self.unload.is_some_and(was_applied) => State::Freed,
            // A delayed load reached a restarted endpoint.
            State::Freed if is_resident => State::Confirmed,
            State::Freed if !is_absent => State::Reserved,
            state => state,
        };
    }
}
