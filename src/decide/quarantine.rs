//! Quarantine: refuses requests that crash the endpoints on which they run.
//!
//! Load pattern: one request crashes each engine that runs it, and its caller resends it. Without
//! this module retries pass it from engine to engine until none is left.
//!
//! All requests that an endpoint ran when it crashed are suspects, because one crash doesn't show
//! which of them caused it. After a number of crashes at different endpoints its fingerprint is
//! refused for `REFUSAL_PERIOD`, at all processes that are notified. An answer that is complete
//! clears a suspect: another request caused the crashes before it. Runs that overlapped in time
//! count as one: identical requests run at several endpoints of a rack when that loses power, while
//! a request that causes a crash is sent again after it. `REFUSAL_PERIOD` is longer than
//! callers keep resending, and short enough that a wrongly refused request is admitted again within
//! the hour.
//!
//! How many crashes it takes depends on how suspects are placed:
//!
//! - `Flow` never runs a suspect beside another one of its entry, so that a second crash identifies
//!   it. Nor does a suspect run at the last replica of its model if there should be more: it waits
//!   for another one. Otherwise one such request would crash both replicas of a model, and every
//!   request for the model would be refused until one is loaded again.
//! - The daemons run suspects beside each other. A third crash makes it unlikely that a request was
//!   only near the one that caused them, and leaves most engines of a small deployment alive.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::table::EndpointId;
use crate::table::Fingerprint;

/// Time for which a fingerprint is refused and for which a suspect is kept.
pub const REFUSAL_PERIOD: Duration = Duration::from_secs(600);
/// Maximum number of fingerprints; beyond it, those that were part of the fewest crashes are
/// removed, the oldest first.
const MAX_SUSPECTS: usize = 1024;

/// Maximum number of runs kept of a suspect, several times what it takes to refuse one.
const MAX_RUNS: usize = 16;

/// A run that ended with a crash of its endpoint.
#[derive(Debug, Clone)]
pub struct Run<E = EndpointId> {
    /// The endpoint.
    pub endpoint: E,
    /// When the request was sent there.
    pub sent_at: Duration,
    /// When the endpoint crashed.
    pub crashed_at: Duration,
}

/// Crashes of a fingerprint.
#[derive(Debug, Clone)]
pub struct Suspect<E = EndpointId> {
    /// Its runs that ended with a crash since it was last cleared, by the time of the crash. Each
    /// is at another endpoint.
    pub runs: Vec<Run<E>>,
    /// Time until which it is refused; none while it is only a suspect.
    pub refused_until: Option<Duration>,
    /// Time of the last crash.
    pub last_crash: Duration,
    /// When an answer to it was last complete; crashes and refusals before that don't count.
    cleared_at: Option<Duration>,
}

impl<E> Suspect<E> {
    fn is_cleared(&self) -> bool {
        self.runs.is_empty() && self.refused_until.is_none()
    }

    /// Returns the largest number of runs of which no two overlapped.
    fn crash_count(&self) -> usize {
        let mut count = 0;
        let mut last_crash = Duration::ZERO;
        for run in &self.runs {
            if run.sent_at >= last_crash {
                count += 1;
                last_crash = run.crashed_at;
            }
        }
        count
    }

    fn add(&mut self, run: Run<E>)
    where
        E: PartialEq,
    {
        if let Some(row) = self.runs.iter_mut().find(|row| row.endpoint == run.endpoint) {
            // It ran there more than once; the last run says whether it was sent after others.
            row.sent_at = row.sent_at.max(run.sent_at);
            return;
        }
        let position = self.runs.partition_point(|row| row.crashed_at <= run.crashed_at);
        self.runs.insert(position, run);
        if self.runs.len() > MAX_RUNS {
            // A long run overlaps with more others, so it adds the least to the count.
            let lengths = self.runs.iter().map(|run| run.crashed_at.saturating_sub(run.sent_at));
            let longest = lengths.enumerate().max_by_key(|(_, length)| *length);
            if let Some((position, _)) = longest {
                self.runs.remove(position);
            }
        }
    }

    fn was_cleared_after(&self, at: Duration) -> bool {
        self.cleared_at.is_some_and(|cleared_at| at <= cleared_at)
    }

    /// Returns when nothing of it is of use any more.
    fn expires_at(&self) -> Duration {
        let last = self.last_crash.max(self.cleared_at.unwrap_or_default());
        (last + REFUSAL_PERIOD).max(self.refused_until.unwrap_or_default())
    }
}

/// Fingerprints of requests that ran during crashes.
#[derive(Debug, Clone)]
pub struct Quarantine<E = EndpointId> {
    rows: BTreeMap<Fingerprint, Suspect<E>>,
    /// Number of crashes after which a fingerprint is refused.
    max_crashes: usize,
}

impl<E: PartialEq> Quarantine<E> {
    /// Creates a quarantine that refuses fingerprints after `max_crashes` crashes.
    pub fn new(max_crashes: usize) -> Self {
        Quarantine { rows: BTreeMap::new(), max_crashes }
    }

    /// Returns the time for which the fingerprint is still refused.
    pub fn remaining(&self, now: Duration, fingerprint: Fingerprint) -> Option<Duration> {
        let until = self.rows.get(&fingerprint)?.refused_until?;
        until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Returns whether the fingerprint was part of a crash since it was last cleared, or is refused.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.rows.get(&fingerprint).is_some_and(|row| !row.is_cleared())
    }

    /// Returns the number of crashes that the fingerprint was part of since it was last cleared.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        self.rows.get(&fingerprint).map_or(0, Suspect::crash_count)
    }

    /// Returns whether the fingerprint was part of as many crashes as it takes to refuse it, although
    /// too many of its runs overlapped: either it crashes endpoints, or what they share failed.
    pub fn is_on_trial(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let row = self.rows.get(&fingerprint);
        row.is_some_and(|row| row.runs.len() >= self.max_crashes)
            && self.remaining(now, fingerprint).is_none()
    }

    /// Records that the fingerprint ran when an endpoint crashed. Returns true if it is refused from
    /// now on.
    pub fn on_crash(&mut self, fingerprint: Fingerprint, run: Run<E>) -> bool {
        let (max_crashes, at) = (self.max_crashes, run.crashed_at);
        let row = self.row(at, fingerprint);
        if row.was_cleared_after(at) {
            return false;
        }
        row.last_crash = row.last_crash.max(at);
        row.add(run);
        let refused =
            row.crash_count() >= max_crashes && row.refused_until.is_none_or(|end| end <= at);
        if refused {
            row.refused_until = Some(at + REFUSAL_PERIOD);
        }
        refused
    }

    /// Clears a fingerprint whose answer completed, so that another request caused the crashes.
    /// Returns whether it was a suspect.
    pub fn clear(&mut self, at: Duration, fingerprint: Fingerprint) -> bool {
        let Some(row) = self.rows.get_mut(&fingerprint) else {
            return false;
        };
        let was_suspect = !row.is_cleared();
        row.cleared_at = row.cleared_at.max(Some(at));
        row.runs.clear();
        row.refused_until = None;
        was_suspect
    }

    /// Records that a peer refuses the fingerprint for `period`. Returns true if it is refused here
    /// from now on.
    pub fn add_from_peer(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        period: Duration,
    ) -> bool {
        let until = now + period.min(REFUSAL_PERIOD);
        let row = self.row(now, fingerprint);
        if row.was_cleared_after(until.saturating_sub(REFUSAL_PERIOD)) {
            return false;
        }
        let refused = row.refused_until.is_none_or(|end| end <= now) && until > now;
        row.refused_until = row.refused_until.max(Some(until));
        refused
    }

    /// Removes the crashes of endpoints that are known to have another cause. Returns the
    /// fingerprints that crashed too few others to be refused for those.
    pub fn forget_crashes(&mut self, endpoints: &[E]) -> Vec<Fingerprint> {
        let mut released = Vec::new();
        for (fingerprint, row) in &mut self.rows {
            let known = row.runs.len();
            row.runs.retain(|run| !endpoints.contains(&run.endpoint));
            let is_changed = row.runs.len() < known;
            if is_changed && row.refused_until.is_some() && row.crash_count() < self.max_crashes {
                released.push(*fingerprint);
            }
        }
        released
    }

    /// Removes expired fingerprints.
    pub fn tick(&mut self, now: Duration) {
        self.rows.retain(|_, row| row.expires_at() > now);
    }

    /// Returns all suspects.
    pub fn rows(&self) -> impl Iterator<Item = (&Fingerprint, &Suspect<E>)> {
        self.rows.iter().filter(|(_, row)| !row.is_cleared())
    }

    /// Returns the refused fingerprints, each with the time for which it is still refused.
    pub fn refused(&self, now: Duration) -> impl Iterator<Item = (Fingerprint, Duration)> {
        let remaining = move |fingerprint: &Fingerprint| {
            Some((*fingerprint, self.remaining(now, *fingerprint)?))
        };
        self.rows.keys().filter_map(remaining)
    }

    fn row(&mut self, now: Duration, fingerprint: Fingerprint) -> &mut Suspect<E> {
        if self.rows.len() >= MAX_SUSPECTS && !self.rows.contains_key(&fingerprint) {
            let worth =
                |row: &Suspect<E>| (row.refused_until.is_some(), row.crash_count(), row.last_crash);
            let least = self.rows.iter().min_by_key(|(_, row)| worth(row)).map(|(key, _)| *key);
            least.map(|key| self.rows.remove(&key));
        }
        let new_suspect =
            Suspect { runs: Vec::new(), refused_until: None, last_crash: now, cleared_at: None };
        self.rows.entry(fingerprint).or_insert(new_suspect)
    }
}
