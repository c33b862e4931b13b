//! Queue of an entry: requests for which no slot is free.
//!
//! Load pattern: a burst of requests in which long ones precede short ones. Served in order of
//! arrival, one long rewrite delays twenty drafts past their deadlines.
//!
//! Order: class, then fairness rank, then weight divided by length, then deadline. Drafts and
//! revisions form one class here and differ by weight only, because a person waits for either. If
//! not all requests of the queue can be on time, the one with the least weight for its length ahead
//! of the first late request is dropped. This is the Moore-Hodgson rule, which leaves the most
//! requests on time, with a weight for each class. A request within its caller's fair share is
//! never dropped in favor of one above it, and a recording call is never dropped in favor of any
//! other.
//!
//! Batch requests yield to all others. While the batch class as a whole has received less than a
//! floor, its requests close to their deadlines go first and aren't dropped. Otherwise they would
//! yield until they are late, throughout the night.
//!
//! At most `MAX_WAITING` requests wait: with a few dozen slots and answers that take seconds, the
//! last of a longer queue would wait past any deadline. Promotion `PROMOTION_RUN_TIMES` run times
//! before the deadline leaves time for one wait behind a full batch. The weights reflect the cost
//! of lateness: a late draft may let a statutory deadline lapse, while an overnight rewrite can be
//! repeated.

use std::time::Duration;

use crate::config::service::Class;
use crate::table::RequestId;

/// Maximum number of waiting requests.
pub const MAX_WAITING: usize = 256;
/// Number of run times before its deadline at which a batch request is promoted.
const PROMOTION_RUN_TIMES: f64 = 3.0;
/// Minimum ratio of densities at which a request is dropped in favor of another.
const MIN_DENSITY_RATIO: f64 = 1.2;
/// Sort steps for each doubling of length divided by weight; within one step the deadline decides.
const STEPS_PER_DOUBLING: f64 = 3.0;

/// Returns the weight of an answer on time, relative to a draft's (`Interactive`).
fn weight(class: Class) -> f64 {
    match class {
        Class::Record => f64::INFINITY,
        Class::Interactive => 1.0,
        Class::Revision => 0.6,
        Class::Batch => 0.3,
    }
}

/// A waiting request.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The request.
    pub id: RequestId,
    /// Its class, raised when promoted.
    pub class: Class,
    /// How far its caller exceeds its fair share; 0 is within it.
    pub rank: u8,
    /// Time by which the complete answer must have arrived.
    pub deadline: Duration,
    /// Expected time for which it occupies a slot, in seconds.
    pub work: f64,
    /// Expected tokens, including prompt tokens at their relative cost. Unlike `work` it doesn't
    /// change with the endpoints' present speed, so that equal requests stay in the order of their
    /// deadlines.
    pub cost: f64,
    /// Seconds within which it will likely end once it runs.
    pub run_seconds: f64,
    /// Positions in the pool of the endpoints that it waits for.
    pub candidates: Vec<usize>,
    /// Whether it was promoted.
    pub promoted: bool,
}

impl Entry {
    fn key(&self) -> (Class, u8, u64, Duration, RequestId) {
        // A person waits for either: drafts and revisions are ordered by weight divided by length.
        let class = match self.class {
            Class::Revision => Class::Interactive,
            class => class,
        };
        let step = (STEPS_PER_DOUBLING * (1.0 / self.density()).max(1.0).log2()) as u64;
        // A promoted request is long and would otherwise follow every shorter draft.
        let step = if self.promoted { 0 } else { step };
        (class, self.rank, step, self.deadline, self.id)
    }

    fn density(&self) -> f64 {
        weight(self.class) / self.cost.max(1.0)
    }

    fn promote(&mut self, now: Duration) -> bool {
        let remaining = self.deadline.saturating_sub(now).as_secs_f64();
        if self.class != Class::Batch || remaining > PROMOTION_RUN_TIMES * self.run_seconds {
            return false;
        }
        self.class = Class::Interactive;
        self.promoted = true;
        true
    }
}

/// Waiting requests in order.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    rows: Vec<Entry>,
}

impl Queue {
    /// Returns all waiting requests in order.
    pub fn rows(&self) -> &[Entry] {
        &self.rows
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the entry of a request.
    pub fn get(&self, id: RequestId) -> Option<&Entry> {
        self.rows.iter().find(|row| row.id == id)
    }

    /// Adds an entry. If the queue is full, removes and returns the last one, which may be the new
    /// one.
    pub fn push(&mut self, entry: Entry) -> Option<Entry> {
        let index = self.rows.partition_point(|row| row.key() < entry.key());
        self.rows.insert(index, entry);
        if self.rows.len() > MAX_WAITING { self.rows.pop() } else { None }
    }

    /// Removes and returns the entry of a request.
    pub fn remove(&mut self, id: RequestId) -> Option<Entry> {
        let index = self.rows.iter().position(|row| row.id == id)?;
        Some(self.rows.remove(index))
    }

    /// Updates the ranks, promotes one batch request if batch is `starved`, and sorts the queue.
    pub fn refresh(&mut self, now: Duration, starved: bool, mut rank: impl FnMut(&mut Entry)) {
        // One at a time, because the work that batch receives counts only once the request is sent.
        let mut starved = starved && !self.rows.iter().any(|row| row.promoted);
        for row in &mut self.rows {
            rank(row);
            if starved && row.promote(now) {
                starved = false;
            }
            if row.promoted {
                row.rank = 0;
            }
        }
        self.rows.sort_by_key(Entry::key);
    }

    /// Returns the seconds until all entries that are `ahead` have left the queue for `endpoints`,
    /// which have `capacity` slots in total.
    pub fn wait_seconds(
        &self,
        ahead: impl Fn(&Entry) -> bool,
        endpoints: &[usize],
        capacity: f64,
    ) -> f64 {
        let mut work = 0.0;
        for entry in self.rows.iter().filter(|row| ahead(row)) {
            let shared =
                entry.candidates.iter().filter(|candidate| endpoints.contains(candidate)).count();
            work += entry.work * shared as f64 / entry.candidates.len().max(1) as f64;
        }
        work / capacity.max(1.0)
    }

    /// Removes and returns entries that can't be on time; `slots` holds the slots of each endpoint.
    pub fn prune(&mut self, now: Duration, slots: &[f64]) -> Vec<Entry> {
        let mut queued_work = vec![0.0_f64; slots.len()];
        let mut dropped = Vec::new();
        let mut index = 0;
        while index < self.rows.len() {
            let row = &self.rows[index];
            let capacity: f64 = row.candidates.iter().map(|candidate| slots[*candidate]).sum();
            let work: f64 = row.candidates.iter().map(|candidate| queued_work[*candidate]).sum();
            let wait = work / capacity.max(1.0);
            let end_s = now.as_secs_f64() + wait + row.run_seconds;
            if end_s <= row.deadline.as_secs_f64() {
                add_work(&mut queued_work, row, 1.0);
                index += 1;
                continue;
            }
            let victim = self.victim(now, index);
            let removed = self.rows.remove(victim);
            if victim < index {
                add_work(&mut queued_work, &removed, -1.0);
                index -= 1;
            }
            dropped.push(removed);
        }
        dropped
    }

    /// Returns the position of the entry with the least density that shares endpoints with the late
    /// one. Returns the late one itself if none has less density or if it would be late even when
    /// sent now.
    fn victim(&self, now: Duration, late: usize) -> usize {
        let row = &self.rows[late];
        if now.as_secs_f64() + row.run_seconds > row.deadline.as_secs_f64() {
            return late;
        }
        let (mut victim, mut min_density) = (late, row.density() / MIN_DENSITY_RATIO);
        for (index, other) in self.rows[..late].iter().enumerate() {
            let density = other.density();
            if density < min_density
                && other.rank >= row.rank
                && !other.promoted
                && other.candidates.iter().any(|candidate| row.candidates.contains(candidate))
            {
                (victim, min_density) = (index, density);
            }
        }
        victim
    }
}

fn add_work(queued_work: &mut [f64], row: &Entry, sign: f64) {
    let share = sign * row.work / row.candidates.len().max(1) as f64;
    for candidate in &row.candidates {
        queued_work[*candidate] += share;
    }
}
