//! Counts calls to the store by kind of object, operation and outcome.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use smol::Timer;

use crate::daemon::Daemon;
use crate::daemon::journal::Event;
use crate::edge::dialect::Consistency;
use crate::edge::dialect::Kind;

/// Interval between log lines of the counts.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// An operation on the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Op {
    /// Lists objects in their current state.
    List,
    /// Lists objects; the state may be stale.
    ListStale,
    /// Reads the current state of one object.
    Get,
    /// Reads one object; the state may be stale.
    GetStale,
    /// Waits for changes.
    Watch,
    /// Reads changes without waiting for any.
    Changes,
    /// Creates an object.
    Create,
    /// Replaces an object.
    Replace,
    /// Removes an object.
    Remove,
}

impl Op {
    /// Returns the list operation for a consistency of reads.
    pub fn list(read: Consistency) -> Self {
        match read {
            Consistency::Current => Op::List,
            Consistency::Stale => Op::ListStale,
        }
    }
}

/// The result of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The store answered.
    Answered,
    /// The store stated that it did not serve the call.
    Refused,
    /// No complete answer was received.
    Lost,
}

type Row = (&'static str, Op, Outcome);

/// Numbers of calls since the daemon started.
#[derive(Debug, Default)]
pub struct Tally {
    totals: RefCell<BTreeMap<Row, u64>>,
    /// The totals at the last log line.
    logged: RefCell<BTreeMap<Row, u64>>,
}

impl Tally {
    /// Counts a call that has ended.
    pub fn add(&self, kind: Kind, op: Op, outcome: Outcome) {
        *self.totals.borrow_mut().entry((kind.into(), op, outcome)).or_default() += 1;
    }

    /// Returns the total of each kind.
    pub fn rows(&self) -> Vec<(Row, u64)> {
        self.totals.borrow().iter().map(|(row, count)| (*row, *count)).collect()
    }

    /// Returns the numbers of calls since the last invocation, without zeros.
    fn since_last_log(&self) -> Vec<(Row, u64)> {
        let mut logged = self.logged.borrow_mut();
        let difference = |(row, count): (Row, u64)| {
            let previous = logged.insert(row, count).unwrap_or(0);
            (count > previous).then_some((row, count - previous))
        };
        self.rows().into_iter().filter_map(difference).collect()
    }
}

/// Logs new counts at each interval for as long as the daemon runs.
pub async fn log_counts(daemon: Rc<Daemon>) {
    loop {
        Timer::after(LOG_INTERVAL).await;
        for ((object, op, outcome), count) in daemon.store.tally().since_last_log() {
            daemon.note(&Event::Calls { object, op: op.into(), outcome: outcome.into(), count });
        }
    }
}
