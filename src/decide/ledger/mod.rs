//! The memory committed at one endpoint: one platform object, changed by conditional update.
//!
//! Load pattern: two writes for each load and two for each unload, whichever placer holds the
//! lease. Without it, two placers, or one placer and its own delayed order, could commit the same
//! free memory twice.
//!
//! A row is written before its order is sent, and its memory stays committed until no copy of that
//! order can allocate memory any more. An order is identified by its number, and an endpoint
//! applies a number once per incarnation. An order whose outcome is unknown is therefore resent
//! under the same number by the current lease holder. A row never leaves `Reserved` merely because
//! time has passed.
//!
//! - An order is sent only on a connection that showed the row's incarnation (`edge::endpoint`), so
//!   that a delayed order of a paused lease holder cannot reach a later incarnation.
//! - A copy delayed elsewhere may reach a restarted endpoint, which no longer recognizes the
//!   number, for at most `MAX_ORDER_DELAY` after it was sent. A freed row therefore keeps its
//!   memory for another `FREED_RETENTION`, and the rows of a restarted endpoint stay, to be ordered
//!   again under their own numbers.
//! - A row becomes `Confirmed` or `Freed` only through a report newer than all reports that changed
//!   the ledger before.

pub mod copies;
pub mod row;

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;

pub use crate::decide::ledger::row::Item;
pub use crate::decide::ledger::row::Row;
pub use crate::decide::ledger::row::State;
use crate::edge::endpoint::Order;
use crate::edge::endpoint::Report;
use crate::edge::endpoint::Resident;
use crate::table::Bytes;
use crate::table::Fence;
use crate::table::Incarnation;
use crate::table::OrderId;

/// The object kind of ledgers; each object is named after its endpoint.
pub const KIND: &str = "ledger";

/// Longest time after sending for which an order may still reach an endpoint that has restarted
/// since. The client closes the order's connection after two seconds; this is five times that.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(10);

/// Longest delay of a report.
pub const MAX_REPORT_DELAY: Duration = Duration::from_secs(20);

/// How long a freed row is kept: until no copy of its order can arrive, and until a report would
/// show the item if a copy had arrived.
pub const FREED_RETENTION: Duration = MAX_ORDER_DELAY.saturating_add(MAX_REPORT_DELAY);

/// Most orders with unknown outcome at one endpoint. A report lists the last 64 applied orders, so
/// with half of that none is dropped from the list before it was seen.
pub const MAX_PENDING_ORDERS: usize = 32;

/// Why memory was not reserved or released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The accelerator has too little free memory or does not exist.
    Full,
    /// The item has a row already.
    Present,
    /// The item has no row in a state that allows the change.
    Absent,
    /// The adapter's model is not resident on that accelerator.
    NoModel,
    /// An order for one of the model's adapters has an unknown outcome.
    Busy,
    /// Too many orders have an unknown outcome.
    Open,
}

/// All memory committed at one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The newest incarnation seen; never decreases.
    pub incarnation: Incarnation,
    /// The report that last changed the ledger; never decreases within an incarnation.
    pub sequence: u64,
    /// Memory of each accelerator in bytes.
    pub capacity: Vec<Bytes>,
    /// The last order number issued; never decreases, so no number is used twice.
    pub last: OrderId,
    /// The items for which memory is committed.
    pub rows: Vec<Row>,
}

impl Ledger {
    /// Returns the row of an item.
    pub fn row(&self, item: &Item) -> Option<&Row> {
        self.rows.iter().find(|row| row.item == *item)
    }

    /// Returns the memory committed on an accelerator.
    pub fn committed(&self, accelerator: u32) -> Bytes {
        let rows = self.rows.iter().filter(|row| row.accelerator == accelerator);
        rows.map(|row| row.memory).sum()
    }

    /// Returns the uncommitted memory of an accelerator.
    pub fn free(&self, accelerator: u32) -> Bytes {
        let capacity = self.capacity.get(accelerator as usize).copied().unwrap_or(0);
        capacity.saturating_sub(self.committed(accelerator))
    }

    /// Returns whether this order loads or unloads one of the rows.
    pub fn references(&self, order: OrderId) -> bool {
        self.rows.iter().any(|row| row.order == order || row.unload == Some(order))
    }

    /// Returns the number of rows whose order has an unknown outcome.
    pub fn pending_orders(&self) -> usize {
        self.rows.iter().filter(|row| row.is_pending()).count()
    }

    /// Commits memory to an item. The row must be written before the order is sent.
    pub fn reserve(
        &mut self,
        item: Item,
        accelerator: u32,
        memory: Bytes,
        fence: Fence,
    ) -> Result<(), Refusal> {
        if self.row(&item).is_some() {
            return Err(Refusal::Present);
        }
        if self.pending_orders() >= MAX_PENDING_ORDERS {
            return Err(Refusal::Open);
        }
        if !item.is_model() && !self.is_resident(&item.model, accelerator) {
            return Err(Refusal::NoModel);
        }
        if memory == 0 || self.free(accelerator) < memory {
            return Err(Refusal::Full);
        }
        let order = self.next_order_id();
        self.rows.push(Row {
            item,
            accelerator,
            memory,
            order,
            unload: None,
            fence,
            state: State::Reserved,
            incarnation: self.incarnation,
        });
        Ok(())
    }

    /// Releases an item and, with the last version of a model, its adapters. The caller first
    /// checks with `copies` whether the item may be released.
    ///
    /// Only an item seen resident can be released: a load with unknown outcome could arrive after
    /// its unload.
    pub fn release(&mut self, item: &Item, fence: Fence) -> Result<(), Refusal> {
        let row = self.row(item).ok_or(Refusal::Absent)?;
        if row.state != State::Confirmed {
            return Err(Refusal::Absent);
        }
        if self.pending_orders() >= MAX_PENDING_ORDERS {
            return Err(Refusal::Open);
        }
        let accelerator = row.accelerator;
        let is_last_version = item.is_model() && self.version_count(&item.model, accelerator) == 1;
        let is_released = |row: &Row| {
            let same_model = row.item.model == item.model && row.accelerator == accelerator;
            row.item == *item || (is_last_version && same_model && row.state != State::Freed)
        };
        if self.rows.iter().any(|row| is_released(row) && row.is_pending()) {
            return Err(Refusal::Busy);
        }
        let order = self.next_order_id();
        for row in self.rows.iter_mut().filter(|row| is_released(row)) {
            row.unload = Some(order);
            row.fence = fence;
            row.state = State::Releasing;
        }
        Ok(())
    }

    /// Applies a report and returns whether a change has to be written.
    ///
    /// A report older than the last one that changed the ledger could show memory as free that has
    /// been committed since, so it is ignored.
    pub fn observe(&mut self, report: &Report) -> bool {
        let newer = (report.incarnation, report.sequence) > (self.incarnation, self.sequence);
        if !newer {
            return false;
        }
        let before = self.clone();
        self.capacity = report.accelerators.iter().map(|accel| accel.capacity).collect();
        if report.incarnation != self.incarnation {
            self.restart(report.incarnation);
        }
        for row in &mut self.rows {
            row.observe(report);
        }
        for resident in &report.resident {
            self.add_unrecorded(resident);
        }
        let changed = *self != before;
        if changed {
            self.sequence = report.sequence;
        }
        changed
    }

    /// Drops freed rows whose state had been known for `FREED_RETENTION`, according to `freed_for`,
    /// when `report` was read, and returns whether any row was dropped. Such a report would show a
    /// delayed load, since none arrives after `MAX_ORDER_DELAY`. An earlier report, as a placer has
    /// that received nothing from the endpoint since, might not show it.
    pub fn sweep(&mut self, report: &Report, freed_for: impl Fn(&Row) -> Duration) -> bool {
        let before = self.rows.len();
        if report.incarnation != self.incarnation {
            return false;
        }
        self.rows.retain(|row| {
            row.state != State::Freed
                || row.find_in(report).is_some()
                || freed_for(row) < FREED_RETENTION
        });
        self.rows.len() != before
    }

    /// Returns the orders with unknown outcome and the incarnation to which each may be sent.
    pub fn orders(&self, fence: Fence) -> Vec<(Incarnation, Order)> {
        let mut orders: Vec<(Incarnation, Order)> = Vec::new();
        // Models come first: adapters that are unloaded with their model share its order.
        let (model_rows, adapter_rows): (Vec<&Row>, Vec<&Row>) =
            self.rows.iter().filter(|row| row.is_pending()).partition(|row| row.item.is_model());
        for row in model_rows.into_iter().chain(adapter_rows) {
            let model_missing = row.state == State::Reserved
                && !row.item.is_model()
                && !self.is_resident(&row.item.model, row.accelerator);
            let order = row.to_order(fence);
            let is_duplicate = orders.iter().any(|(_, other)| other.order == order.order);
            if !model_missing && !is_duplicate {
                orders.push((row.incarnation, order));
            }
        }
        orders
    }

    /// Returns whether a model is resident on an accelerator and is not being unloaded.
    pub fn is_resident(&self, model: &str, accelerator: u32) -> bool {
        self.rows.iter().any(|row| {
            row.item.model == model
                && row.item.is_model()
                && row.accelerator == accelerator
                && row.state == State::Confirmed
        })
    }

    fn version_count(&self, model: &str, accelerator: u32) -> usize {
        let occupies = |row: &&Row| {
            row.item.model == model
                && row.item.is_model()
                && row.accelerator == accelerator
                && row.state != State::Freed
        };
        self.rows.iter().filter(occupies).count()
    }

    /// Handles an endpoint that restarted empty: its items are ordered again under the same
    /// numbers, so that the endpoint treats a delayed copy of the first order and the new order as
    /// one.
    fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.sequence = 0;
        for row in &mut self.rows {
            row.state = match row.state {
                State::Reserved | State::Confirmed => State::Reserved,
                State::Releasing | State::Freed => State::Freed,
            };
            row.incarnation = incarnation;
        }
    }

    /// Commits memory for a resident item that has no row.
    fn add_unrecorded(&mut self, resident: &Resident) {
        let item = Item {
            model: resident.model.clone(),
            adapter: resident.adapter.clone(),
            version: resident.version,
        };
        let is_recorded = |row: &Row| row.item == item && row.accelerator == resident.accelerator;
        if self.rows.iter().any(is_recorded) || resident.memory == 0 {
            return;
        }
        let order = self.next_order_id();
        self.rows.push(Row {
            item,
            accelerator: resident.accelerator,
            memory: resident.memory,
            order,
            unload: None,
            fence: 0,
            state: State::Confirmed,
            incarnation: self.incarnation,
        });
    }

    fn next_order_id(&mut self) -> OrderId {
        self.last += 1;
        self.last
    }
}
