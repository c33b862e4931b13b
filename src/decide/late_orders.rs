//! Orders whose answers never came, which their engines may still carry out.
//!
//! An engine accepts an order only if it has accepted as many orders as the order expects. Within
//! one incarnation an order that is accepted late therefore excludes the one that was sent in its
//! place. An engine that restarts under its id counts from 0 again, so that several late orders to
//! its earlier incarnation may be accepted one after another.
//!
//! Load pattern: engines leave a part of all orders unanswered for seconds while others crash and
//! restart, and the lease changes hands. If the late orders were ignored, an engine could be filled
//! beyond its memory and crash; if an engine with late orders got no others, its models would be
//! away for as long.
//!
//! Bound: an order is sent only if the engine has room for it together with all late orders that
//! could follow it without a gap in their numbers, and for those that could follow one another from
//! the start of an empty engine. Of the orders of other holders only the lowest number is known, by
//! what they have told in the lease object: an engine that has restarted gets no order from which on
//! one of them could follow, until they can't be carried out any more. Where the lease object does
//! not tell, an engine that is known to have restarted gets none.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::decide::handover;
use crate::decide::handover::Floor;
use crate::decide::handover::Handover;
use crate::decide::orders;
use crate::decide::orders::Task;
use crate::decide::orders::Tracker;
use crate::edge::dialect::Action;
use crate::table::AdapterId;
use crate::table::ModelId;
use crate::table::instance::Key;
use crate::table::routing::Engines;

/// Time after which an order is not carried out any more. The platform documents a delay of
/// seconds.
pub const MAX_DELAY: Duration = Duration::from_secs(15);
/// Age of an incarnation from which no order to an earlier one is out, with an allowance for the
/// difference between the wall clocks of a daemon and an engine.
pub const MAX_EXPOSED_AGE: Duration = Duration::from_secs(25);

/// An order that was sent and not answered.
#[derive(Debug, Clone, PartialEq)]
struct Row {
    /// Distinguishes the orders of one process.
    number: u64,
    /// Start of the incarnation it was meant for.
    born: u64,
    task: Task,
    /// Number of orders that the engine must have accepted before.
    expect: u64,
    expires_at: Duration,
}

/// What an engine would hold.
#[derive(Debug, Default)]
struct Contents {
    models: BTreeSet<ModelId>,
    adapters: BTreeSet<(ModelId, AdapterId)>,
    /// Adapters on their way whose names are not known.
    other_adapters: usize,
}

impl Contents {
    fn new(tracker: &Tracker) -> Self {
        let mut contents =
            Contents { other_adapters: tracker.loading_adapters, ..Contents::default() };
        for row in &tracker.resident {
            contents.models.insert(row.model.clone());
            let adapters = row.adapters.iter().map(|name| (row.model.clone(), name.clone()));
            contents.adapters.extend(adapters);
        }
        contents
    }

    fn apply(&mut self, task: &Task) {
        match (task.action, &task.adapter) {
            // What an unload frees may be in use until its last stream ends.
            (Action::Unload, _) => {}
            (Action::Load, None) => drop(self.models.insert(task.model.clone())),
            (Action::Load, Some(adapter)) => {
                self.adapters.insert((task.model.clone(), adapter.clone()));
            }
        }
    }

    fn fits(&self, engines: &Engines) -> bool {
        let adapters = self.adapters.len() + self.other_adapters;
        let models_fit = match self.models.first() {
            None => true,
            Some(first) => orders::fits(engines, self.models.iter().skip(1), first),
        };
        models_fit && adapters <= engines.adapter_slots as usize
    }
}

/// The unanswered orders of one process, by engine id.
#[derive(Debug, Default)]
pub struct LateOrders {
    rows: HashMap<String, Vec<Row>>,
    last_number: u64,
    /// The fencing token under which this process last held the lease.
    last_token: Option<u64>,
    /// Until when the orders of other holders may be carried out.
    others_until: Duration,
    /// What the last other holder has told about them.
    inherited: Handover,
}

impl LateOrders {
    /// Records an order as it is sent, and returns its number.
    pub fn on_sent(&mut self, now: Duration, key: &Key, task: &Task, expect: u64) -> u64 {
        self.last_number += 1;
        let rows = self.rows.entry(key.id.clone()).or_default();
        rows.retain(|row| now < row.expires_at);
        rows.push(Row {
            number: self.last_number,
            born: key.born,
            task: task.clone(),
            expect,
            expires_at: now + MAX_DELAY,
        });
        self.last_number
    }

    /// Removes an order that was answered, or that was not written.
    pub fn on_settled(&mut self, key: &Key, number: u64) {
        if let Some(rows) = self.rows.get_mut(&key.id) {
            rows.retain(|row| row.number != number);
            if rows.is_empty() {
                self.rows.remove(&key.id);
            }
        }
    }

    /// Returns the number of orders that may still be carried out.
    pub fn count(&self, now: Duration) -> usize {
        self.rows.values().flatten().filter(|row| now < row.expires_at).count()
    }

    /// Records that this process has acquired the lease. `is_first` is whether nobody held it
    /// before, and `previous` is what the last holder has told.
    pub fn on_acquired(&mut self, now: Duration, token: u64, is_first: bool, previous: &Handover) {
        let is_successor = self.last_token.is_some_and(|last| last + 1 == token);
        if !is_first && !is_successor {
            self.others_until = now + MAX_DELAY;
            self.inherited = previous.clone();
        }
        self.last_token = Some(token);
    }

    /// Returns what other holders have told, as long as their orders may be carried out.
    fn inherited(&self, now: Duration) -> Option<&Handover> {
        (now < self.others_until).then_some(&self.inherited)
    }

    /// Returns what the next holder has to know. `engines` are those that may be ordered, with the
    /// number of orders that each has accepted, if that is known.
    pub fn handover(
        &self,
        now: Duration,
        engines: impl IntoIterator<Item = (Key, Option<u64>)>,
    ) -> Handover {
        let is_partial = now < self.others_until && self.inherited.is_partial;
        let mut rows: BTreeMap<String, Floor> =
            self.inherited(now).map(|told| told.engines.clone()).unwrap_or_default();
        // An engine that is not known now may come back.
        for (id, orders) in &self.rows {
            let orders = orders.iter().filter(|row| now < row.expires_at);
            if let Some(born) = orders.map(|row| row.born).max() {
                let key = Key { id: id.clone(), born };
                rows.insert(id.clone(), self.floor(now, &key, None));
            }
        }
        for (key, accepted) in engines {
            let floor = self.floor(now, &key, accepted);
            rows.insert(key.id, floor);
        }
        Handover { is_partial, engines: rows }.bounded()
    }

    /// Returns the lowest numbers of the orders to an engine that are out, and of those that follow
    /// `accepted` orders.
    fn floor(&self, now: Duration, key: &Key, accepted: Option<u64>) -> Floor {
        let rows = self.rows.get(&key.id).into_iter().flatten().filter(|row| now < row.expires_at);
        let (current, earlier): (Vec<&Row>, Vec<&Row>) = rows.partition(|row| row.born == key.born);
        let expect = |rows: Vec<&Row>| rows.iter().map(|row| row.expect).min();
        let told = self.inherited(now).and_then(|told| told.engines.get(&key.id));
        let told_current = told.filter(|floor| floor.born == key.born).map(|floor| floor.current);
        let next = accepted.or(told_current).unwrap_or(0);
        let out = handover::lowest(expect(current), told_current);
        let told_earlier = told.and_then(|floor| floor.before(key.born));
        Floor {
            born: key.born,
            current: out.map_or(next, |out| out.min(next)),
            earlier: handover::lowest(expect(earlier), told_earlier),
        }
    }

    /// Returns until when an engine that had an earlier incarnation gets no orders, as those of other
    /// holders to that one may be carried out, and those have not told of them all; `None` if it may
    /// get orders now. `age` is the time since it started, by the wall clock.
    pub fn held_until(&self, now: Duration, age: Duration) -> Option<Duration> {
        let is_exposed = age < MAX_EXPOSED_AGE && now < self.others_until;
        (is_exposed && self.inherited.is_partial).then_some(self.others_until)
    }

    /// Returns until when an order that follows `expect` others must not be sent, as one of another
    /// holder to another incarnation could follow it.
    fn exposed_until(&self, now: Duration, key: &Key, expect: u64) -> Option<Duration> {
        let lowest = self.inherited(now)?.engines.get(&key.id)?.before(key.born)?;
        (lowest <= expect + 1).then_some(self.others_until)
    }

    /// Returns until when the next order to an engine must not be sent, or `None` if it may be sent
    /// now.
    pub fn blocked_until(
        &self,
        now: Duration,
        key: &Key,
        tracker: &Tracker,
        task: &Task,
        engines: &Engines,
    ) -> Option<Duration> {
        let expect = tracker.accepted_orders?;
        if let Some(until) = self.exposed_until(now, key, expect) {
            return Some(until);
        }
        let rows = self.rows.get(&key.id)?;
        let rows: Vec<&Row> = rows.iter().filter(|row| now < row.expires_at).collect();
        let earlier: Vec<&Row> = rows.iter().copied().filter(|row| row.born != key.born).collect();
        let mut contents = Contents::new(tracker);
        contents.apply(task);
        let blocked = overflow(contents, &earlier, expect + 1, engines);
        blocked.or_else(|| {
            // The engine may restart before it gets this order.
            let order = Row {
                number: 0,
                born: key.born,
                task: task.clone(),
                expect,
                expires_at: now + MAX_DELAY,
            };
            let all: Vec<&Row> = rows.iter().copied().chain([&order]).collect();
            overflow(Contents::default(), &all, 0, engines)
        })
    }
}

/// Returns when the first of the late orders expires that could be accepted one after another from
/// `accepted` orders on and would not fit into an engine with `contents`.
fn overflow(
    mut contents: Contents,
    rows: &[&Row],
    mut accepted: u64,
    engines: &Engines,
) -> Option<Duration> {
    let mut expires_at: Option<Duration> = None;
    loop {
        let mut next = rows.iter().filter(|row| row.expect == accepted).peekable();
        next.peek()?;
        for row in next {
            contents.apply(&row.task);
            expires_at = Some(expires_at.map_or(row.expires_at, |at| at.min(row.expires_at)));
        }
        if !contents.fits(engines) {
            return expires_at;
        }
        accepted += 1;
    }
}
