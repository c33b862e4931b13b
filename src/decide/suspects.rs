//! What a daemon knows of requests that ran on crashed endpoints, and what it tells the others.
//!
//! Load pattern: a request is sent again through any of hundreds of daemons, and each crash that it
//! causes is seen by those whose requests were running there. Without this module each daemon would
//! have to see three crashes itself.
//!
//! Each daemon that learns of a crash, a survival or a complete answer passes it on once, to
//! `FANOUT` of the others; the daemon that saw a crash itself does so twice. If each of n daemons
//! sends a row to f others and a share l of that is lost, it misses one of them with a probability
//! of exp(-f (1 - l)), which is 0.0033 for 6 and 5 %, whatever n is. That one learns the decision
//! from the others. Refusals are repeated for as long as they last, so that daemons that start or
//! were cut off learn of them, too. The same holds for parts of prompts (`part`).
//!
//! Bound: a daemon sends at most `MAX_BYTES_PER_SECOND` in any second, headers included. While more
//! is known than that allows, refusals come first, then survivals, then what may lead to a refusal
//! soon: runs at crashed endpoints, and parts and requests with several crashes. The newest crashes
//! come first, and what could not be sent within `ANNOUNCEMENT_PERIOD` is left out.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use postcard::ser_flavors::Size;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3;

use crate::decide::byte_budget::ByteBudget;
use crate::decide::part;
use crate::decide::part::ANNOUNCEMENT_PERIOD;
use crate::decide::part::Evidence;
use crate::decide::part::Survival;
use crate::decide::quarantine::Quarantine;
use crate::decide::quarantine::Run;
use crate::table::Fingerprint;
use crate::table::PartId;
use crate::table::RunId;
use crate::table::instance::Key;

/// Number of crashes after which a request is refused: suspects run beside each other.
pub const MAX_CRASHES: usize = 3;
/// Largest number of bytes that a daemon sends in any second: 1 % of a link of 10 Mbit/s, the
/// slowest of a daemon.
pub const MAX_BYTES_PER_SECOND: u32 = 12_500;
/// Bytes that may be sent at once: all of a crash with 16 runs, to `FANOUT` daemons.
const BURST_BYTES: u32 = 4_500;
/// Daemons that a message is sent to.
const FANOUT: usize = 6;
/// Daemons that refusals are sent to in each round.
const REFUSAL_FANOUT: usize = 2;
/// Refusals of each kind in one round, in turn.
const MAX_REFUSALS_PER_ROUND: usize = 16;
/// Time for which a crash is kept, so that repeated announcements of it are known.
const CRASH_RETENTION: Duration = Duration::from_secs(15);
/// Fingerprints or parts in one message, which has to fit into a datagram.
const MAX_FINGERPRINTS: usize = 100;
/// Runs, and as many parts, in one message.
const MAX_RUNS: usize = 75;
/// Survivals in one message.
const MAX_SURVIVALS: usize = 50;
/// Number of crashes from which a request is passed on before others.
const MIN_URGENT_CRASHES: usize = 2;
/// Largest size of an encoded hash.
const HASH_BYTES: usize = 10;
/// Largest size of an encoded id of a run.
const RUN_BYTES: usize = 5;
/// Largest size of an encoded time.
const TIME_BYTES: usize = 5;
/// Largest size of what a message about a crash holds besides its rows and the endpoint's id.
const CRASH_BYTES: usize = 20;

/// A message between daemons about requests that ran on crashed endpoints. Times are in
/// milliseconds, and relative, as clocks of daemons differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests ran on an endpoint when it crashed.
    Crashed {
        /// The endpoint.
        key: Key,
        /// Time since the crash.
        age_ms: u32,
        /// The requests, each with the time for which it had run.
        runs: Vec<(Fingerprint, u32)>,
    },
    /// Requests that the sender refuses, each for how much longer.
    Refused(Vec<(Fingerprint, u32)>),
    /// Suspects whose answers were complete, each with the time since then.
    Completed(Vec<(Fingerprint, u32)>),
    /// Requests that had just begun on an endpoint when it crashed.
    CrashedParts {
        /// The endpoint.
        key: Key,
        /// Time since the crash.
        age_ms: u32,
        /// Their ids.
        runs: Vec<RunId>,
        /// Parts of their prompts.
        parts: Vec<PartId>,
    },
    /// Runs that went on, with a part that several crashes count for, and the time since then.
    Survived(Vec<(PartId, RunId, u32)>),
    /// Parts that the sender refuses, each for how much longer.
    RefusedParts(Vec<(PartId, u32)>),
    /// Parts that crash nothing, each with the time since that was known.
    ClearedParts(Vec<(PartId, u32)>),
}

impl Message {
    /// Returns whether a few daemons are enough, as the message is repeated all the time.
    pub fn is_permanent(&self) -> bool {
        matches!(self, Message::Refused(_) | Message::RefusedParts(_))
    }

    /// Returns the number of daemons that it is sent to.
    pub fn fanout(&self) -> usize {
        if self.is_permanent() { REFUSAL_FANOUT } else { FANOUT }
    }
}

/// What may crash endpoints of what a request holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Content {
    /// Hash of the whole request.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt that other requests may have as well, in ascending order.
    pub parts: Vec<PartId>,
    /// Identifies its runs.
    pub run: RunId,
}

impl Content {
    /// Returns the content of the request with an id, whose prompt has these parts. The last one
    /// belongs to the request itself or to its session.
    pub fn new(
        fingerprint: Fingerprint,
        id: &str,
        parts: impl DoubleEndedIterator<Item = PartId>,
    ) -> Self {
        let mut shared: Vec<PartId> = parts.rev().skip(1).collect();
        shared.sort_unstable();
        shared.dedup();
        let run = xxh3::xxh3_64(id.as_bytes()) as RunId;
        Content { fingerprint, parts: shared, run }
    }
}

/// Requests whose connections to an endpoint broke.
#[derive(Debug, Clone, Default)]
pub struct Breakage {
    /// When the first connection broke.
    pub at: Duration,
    /// The requests, each with the time when it was sent.
    pub runs: Vec<(Fingerprint, Duration)>,
    /// Those with shared parts that had not been running for long.
    pub starting: BTreeSet<RunId>,
    /// Parts of the prompts of these.
    pub parts: BTreeSet<PartId>,
}

/// What was new in a message or an observation.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct News {
    /// Whether a request was added to a crash.
    pub has_new_runs: bool,
    /// Requests that are refused from now on.
    pub refused: Vec<Fingerprint>,
    /// Parts of prompts that are refused from now on, each with what is known of it; none if that
    /// is another daemon's decision.
    pub refused_parts: Vec<(PartId, Option<Evidence>)>,
    /// Parts that are refused no more.
    pub released_parts: Vec<PartId>,
}

impl News {
    /// Returns whether anything is refused from now on.
    pub fn has_refusals(&self) -> bool {
        !self.refused.is_empty() || !self.refused_parts.is_empty()
    }
}

/// A crash of an endpoint.
#[derive(Debug)]
struct Crash {
    at: Duration,
    /// When a request was last added.
    changed_at: Duration,
    /// Requests that ran there, each with the time when it was last sent there.
    runs: BTreeMap<Fingerprint, Duration>,
    /// Requests that have not been passed on yet.
    untold: BTreeSet<Fingerprint>,
}

/// Requests that ran on crashed endpoints.
#[derive(Debug)]
pub struct Suspects {
    table: Quarantine<Key>,
    crashes: BTreeMap<Key, Crash>,
    /// When answers to suspects were complete, and when this daemon learned of it; until that has
    /// been passed on.
    completed: BTreeMap<Fingerprint, (Duration, Duration)>,
    parts: part::Table,
    budget: ByteBudget,
    /// The refused request and the refused part that were sent last.
    last_refusals: (Fingerprint, PartId),
}

impl Default for Suspects {
    fn default() -> Self {
        Suspects {
            table: Quarantine::new(MAX_CRASHES),
            crashes: BTreeMap::new(),
            completed: BTreeMap::new(),
            parts: part::Table::default(),
            budget: ByteBudget::new(MAX_BYTES_PER_SECOND - BURST_BYTES, BURST_BYTES),
            last_refusals: (0, 0),
        }
    }
}

impl Suspects {
    /// Returns the time for which a request is still refused; none if it is not.
    pub fn remaining(&self, now: Duration, fingerprint: Fingerprint) -> Option<Duration> {
        self.table.remaining(now, fingerprint)
    }

    /// Returns whether copies of a request were part of enough crashes to refuse it, and ran at the
    /// same time.
    pub fn is_on_trial(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        self.table.is_on_trial(now, fingerprint)
    }

    /// Returns the time for which a request with these parts is still refused; none if it is not.
    pub fn remaining_of_parts(&self, now: Duration, parts: &[PartId]) -> Option<Duration> {
        self.parts.remaining(now, parts)
    }

    /// Returns whether `pending` crashes of a request may lead to its refusal.
    pub fn is_undecided(&self, now: Duration, content: &Content, pending: usize) -> bool {
        self.table.crash_count(content.fingerprint) + pending >= MAX_CRASHES
            || self.parts.is_undecided(now, &content.parts, pending)
    }

    /// Returns the number of crashes that a request was part of.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        self.table.crash_count(fingerprint)
    }

    /// Returns the number of suspects, and how many of them are refused.
    pub fn counts(&self, now: Duration) -> (usize, usize) {
        (self.table.rows().count(), self.table.refused(now).count())
    }

    /// Returns the largest number of crashes that a request was part of which is not refused.
    pub fn max_crash_count(&self, now: Duration) -> usize {
        let is_admitted = |row: &&Fingerprint| self.table.remaining(now, **row).is_none();
        let admitted = self.table.rows().map(|(row, _)| row).filter(is_admitted);
        admitted.map(|row| self.table.crash_count(*row)).max().unwrap_or(0)
    }

    /// Returns whether this daemon has itself decided to refuse a part.
    pub fn has_decided(&self, now: Duration) -> bool {
        self.parts.has_decided(now)
    }

    /// Returns the number of parts that crashes count for, and how many parts are refused.
    pub fn part_counts(&self, now: Duration) -> (usize, usize) {
        self.parts.counts(now)
    }

    /// Records a request of a route.
    pub fn record_arrival(&mut self, route: &str, content: &Content) {
        if !content.parts.is_empty() {
            self.parts.record_arrival(route, &content.parts);
        }
    }

    /// Records that a run of a request went on past the time within which it crashes endpoints.
    pub fn record_survival(&mut self, now: Duration, content: &Content) {
        self.parts.record_survival(now, &content.parts, content.run);
    }

    /// Decides which parts are refused. Requests are no longer suspects for crashes that such a part
    /// explains.
    pub fn decide(&mut self, now: Duration) -> News {
        let changes = self.parts.decide(now);
        if !changes.explained.is_empty() {
            for fingerprint in self.table.forget_crashes(&changes.explained) {
                self.clear(now, fingerprint, now);
            }
        }
        let refused = changes.refused.into_iter().map(|(part, evidence)| (part, Some(evidence)));
        News {
            refused_parts: refused.collect(),
            released_parts: changes.released,
            ..News::default()
        }
    }

    /// Adds requests to the crash of an endpoint.
    pub fn add_crash(&mut self, now: Duration, key: &Key, breakage: &Breakage) -> News {
        let crash = self.crashes.entry(key.clone()).or_insert_with(|| Crash {
            at: breakage.at,
            changed_at: now,
            runs: BTreeMap::new(),
            untold: BTreeSet::new(),
        });
        let is_explained = self.parts.is_explained(key);
        let mut news = News::default();
        for (fingerprint, sent_at) in &breakage.runs {
            if crash.runs.insert(*fingerprint, *sent_at).is_none() {
                news.has_new_runs = true;
                crash.untold.insert(*fingerprint);
            }
            let run = Run { endpoint: key.clone(), sent_at: *sent_at, crashed_at: crash.at };
            if !is_explained && self.table.on_crash(*fingerprint, run) {
                news.refused.push(*fingerprint);
            }
        }
        if news.has_new_runs {
            crash.changed_at = now;
        }
        self.parts.record_cut(now, breakage.starting.len() as u32);
        let (runs, parts) = (&breakage.starting, &breakage.parts);
        let (runs, parts) = (runs.iter().copied(), parts.iter().copied());
        news.has_new_runs |= self.parts.add_crash(now, key, breakage.at, runs, parts);
        news
    }

    /// Records that an answer to a request was complete at `at`.
    pub fn clear(&mut self, now: Duration, fingerprint: Fingerprint, at: Duration) {
        if self.table.clear(at, fingerprint) {
            self.completed.insert(fingerprint, (at, now));
        }
    }

    /// Applies a message of another daemon.
    pub fn on_message(&mut self, now: Duration, message: Message) -> News {
        let ago = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        match message {
            Message::Crashed { key, age_ms, runs } => {
                let at = ago(age_ms);
                let sent_at = |ran_ms: u32| at.saturating_sub(Duration::from_millis(ran_ms.into()));
                let runs = runs.into_iter().map(|(row, ran_ms)| (row, sent_at(ran_ms))).collect();
                self.add_crash(now, &key, &Breakage { at, runs, ..Breakage::default() })
            }
            Message::Refused(rows) => {
                let mut news = News::default();
                for (fingerprint, remaining_ms) in rows {
                    let remaining = Duration::from_millis(remaining_ms.into());
                    if self.table.add_from_peer(now, fingerprint, remaining) {
                        news.refused.push(fingerprint);
                    }
                }
                news
            }
            Message::Completed(rows) => {
                for (fingerprint, age_ms) in rows {
                    self.clear(now, fingerprint, ago(age_ms));
                }
                News::default()
            }
            Message::CrashedParts { key, age_ms, runs, parts } => {
                let has_new_runs = self.parts.add_crash(now, &key, ago(age_ms), runs, parts);
                News { has_new_runs, ..News::default() }
            }
            Message::Survived(rows) => {
                for (part, run, age_ms) in rows {
                    let survival = Survival { run, at: ago(age_ms), learned_at: now };
                    self.parts.add_survival(part, survival);
                }
                News::default()
            }
            Message::RefusedParts(rows) => {
                let mut news = News::default();
                for (part, remaining_ms) in rows {
                    let remaining = Duration::from_millis(remaining_ms.into());
                    if self.parts.add_refusal(now, part, remaining) {
                        news.refused_parts.push((part, None));
                    }
                }
                news
            }
            Message::ClearedParts(rows) => {
                for (part, age_ms) in rows {
                    self.parts.clear(now, part, ago(age_ms));
                }
                News::default()
            }
        }
    }

    /// Returns the messages about what is new of a crash. It is passed on once more in the next
    /// round, since this daemon may be the only one that knows.
    pub fn announcements(&mut self, now: Duration, key: &Key) -> Vec<Message> {
        self.budget.update(now);
        let parts = self.crashed_parts(now, key, false);
        let requests = self.crashed_requests(now, key, false);
        parts.into_iter().chain(requests).collect()
    }

    /// Removes what has expired, and returns the messages that are due in a round.
    pub fn round(&mut self, now: Duration) -> Vec<Message> {
        self.budget.update(now);
        self.table.tick(now);
        self.parts.tick(now);
        self.crashes.retain(|_, crash| now < crash.at + CRASH_RETENTION);
        self.completed.retain(|_, (_, learned_at)| now < *learned_at + ANNOUNCEMENT_PERIOD);
        let mut messages = self.due_refusals(now);
        messages.extend(self.cleared_parts(now));
        messages.extend(self.survivals(now));
        let keys = self.untold_crashes(now);
        for is_urgent in [true, false] {
            for key in &keys {
                if let Some(message) = self.crashed_parts(now, key, is_urgent) {
                    if let Message::CrashedParts { runs, parts, .. } = &message {
                        self.parts.on_told(key, runs, parts);
                    }
                    messages.push(message);
                }
                if let Some(message) = self.crashed_requests(now, key, is_urgent) {
                    if let (Message::Crashed { runs, .. }, Some(crash)) =
                        (&message, self.crashes.get_mut(key))
                    {
                        crash.untold.retain(|row| !runs.iter().any(|run| run.0 == *row));
                    }
                    messages.push(message);
                }
            }
            if is_urgent {
                messages.extend(self.completed_requests(now));
            }
        }
        messages
    }

    /// Returns the endpoints of whose crashes something is to be passed on, the last crash first.
    fn untold_crashes(&self, now: Duration) -> Vec<Key> {
        let since = now.saturating_sub(ANNOUNCEMENT_PERIOD);
        let is_untold = |crash: &&Crash| crash.changed_at > since && !crash.untold.is_empty();
        let requests = self.crashes.iter().filter(|(_, crash)| is_untold(crash));
        let mut rows: BTreeMap<&Key, Duration> =
            requests.map(|(key, crash)| (key, crash.at)).collect();
        let parts = self.parts.crashes_since(since);
        rows.extend(parts.map(|(key, crash)| (key, crash.at)));
        let mut keys: Vec<(Duration, &Key)> = rows.into_iter().map(|(key, at)| (at, key)).collect();
        keys.sort_unstable_by(|one, other| other.cmp(one));
        keys.into_iter().map(|(_, key)| key.clone()).collect()
    }

    /// Returns a message about the runs that had just begun on a crashed endpoint and the parts of
    /// their prompts, as far as they are new; none if there are none or no bytes left.
    fn crashed_parts(&mut self, now: Duration, key: &Key, is_urgent: bool) -> Option<Message> {
        let crash = self.parts.crash(key)?;
        let age_ms = millis(now.saturating_sub(crash.at));
        // The number of runs at a crash shows how likely it hits a sound part, so they come first.
        let fixed = CRASH_BYTES + key.id.len();
        let max_runs = self.budget.max_rows(FANOUT, fixed, RUN_BYTES).min(MAX_RUNS);
        let runs: Vec<RunId> = crash.untold_runs.iter().copied().take(max_runs).collect();
        let fixed = fixed + runs.len() * RUN_BYTES;
        let max_parts = self.budget.max_rows(FANOUT, fixed, HASH_BYTES).min(MAX_RUNS);
        let is_suspected = |part: &&PartId| self.parts.is_suspected(now, **part);
        let (suspected, others): (Vec<PartId>, Vec<PartId>) =
            crash.untold_parts.iter().partition(is_suspected);
        let others = others.into_iter().filter(|_| !is_urgent);
        let parts: Vec<PartId> = suspected.into_iter().chain(others).take(max_parts).collect();
        if runs.is_empty() && parts.is_empty() {
            return None;
        }
        Some(self.spend(Message::CrashedParts { key: key.clone(), age_ms, runs, parts }))
    }

    /// Returns a message about the requests that ran on a crashed endpoint, as far as they are new;
    /// none if there are none or no bytes left.
    fn crashed_requests(&mut self, now: Duration, key: &Key, is_urgent: bool) -> Option<Message> {
        let crash = self.crashes.get(key)?;
        let age_ms = millis(now.saturating_sub(crash.at));
        let row_bytes = HASH_BYTES + TIME_BYTES;
        let fixed = CRASH_BYTES + key.id.len();
        let max_rows = self.budget.max_rows(FANOUT, fixed, row_bytes).min(MAX_FINGERPRINTS);
        let is_suspected = |row: &&Fingerprint| self.crash_count(**row) >= MIN_URGENT_CRASHES;
        let (suspected, others): (Vec<Fingerprint>, Vec<Fingerprint>) =
            crash.untold.iter().partition(is_suspected);
        let others = others.into_iter().filter(|_| !is_urgent);
        let ran_ms = |row: Fingerprint| {
            let sent_at = crash.runs.get(&row).copied().unwrap_or(crash.at);
            (row, millis(crash.at.saturating_sub(sent_at)))
        };
        let rows = suspected.into_iter().chain(others).take(max_rows);
        let runs: Vec<(Fingerprint, u32)> = rows.map(ran_ms).collect();
        if runs.is_empty() {
            return None;
        }
        Some(self.spend(Message::Crashed { key: key.clone(), age_ms, runs }))
    }

    /// Returns the message about survivals that is due in a round.
    fn survivals(&mut self, now: Duration) -> Option<Message> {
        let row_bytes = HASH_BYTES + RUN_BYTES + TIME_BYTES;
        let max_rows = self.budget.max_rows(FANOUT, 2, row_bytes).min(MAX_SURVIVALS);
        // A quarter of the bytes is left for crashes.
        let max_rows = max_rows - max_rows / 4;
        let rows = self.parts.take_untold_survivals(now, max_rows).into_iter();
        let age_ms = |at: Duration| millis(now.saturating_sub(at));
        let rows: Vec<(PartId, RunId, u32)> =
            rows.map(|(part, row)| (part, row.run, age_ms(row.at))).collect();
        (!rows.is_empty()).then(|| self.spend(Message::Survived(rows)))
    }

    /// Returns the message about complete answers that is due in a round.
    fn completed_requests(&mut self, now: Duration) -> Option<Message> {
        // Half of the bytes are left for crashes.
        let row_bytes = HASH_BYTES + TIME_BYTES;
        let max_rows = self.budget.max_rows(2 * FANOUT, 2, row_bytes).min(MAX_FINGERPRINTS);
        let rows = self.completed.iter().take(max_rows);
        let rows: Vec<(Fingerprint, u32)> =
            rows.map(|(row, (at, _))| (*row, millis(now.saturating_sub(*at)))).collect();
        self.completed.retain(|row, _| !rows.iter().any(|told| told.0 == *row));
        (!rows.is_empty()).then(|| self.spend(Message::Completed(rows)))
    }

    /// Returns the message about parts that crash nothing that is due in a round.
    fn cleared_parts(&mut self, now: Duration) -> Option<Message> {
        let row_bytes = HASH_BYTES + TIME_BYTES;
        let max_rows = self.budget.max_rows(FANOUT, 2, row_bytes).min(MAX_FINGERPRINTS);
        let cleared = self.parts.cleared_since(now.saturating_sub(ANNOUNCEMENT_PERIOD));
        let rows: Vec<(PartId, u32)> = cleared
            .take(max_rows)
            .map(|(part, at)| (part, millis(now.saturating_sub(at))))
            .collect();
        (!rows.is_empty()).then(|| self.spend(Message::ClearedParts(rows)))
    }

    /// Returns the messages about refusals that are due in a round: all in turn.
    fn due_refusals(&mut self, now: Duration) -> Vec<Message> {
        let max_rows = self.budget.max_rows(2 * REFUSAL_FANOUT, 2, HASH_BYTES + TIME_BYTES);
        let max_rows = max_rows.min(MAX_REFUSALS_PER_ROUND);
        let requests = next_rows(self.table.refused(now), &mut self.last_refusals.0, max_rows);
        let parts = next_rows(self.parts.refused(now), &mut self.last_refusals.1, max_rows);
        let requests = (!requests.is_empty()).then_some(Message::Refused(requests));
        let parts = (!parts.is_empty()).then_some(Message::RefusedParts(parts));
        requests.into_iter().chain(parts).map(|message| self.spend(message)).collect()
    }

    /// Takes the bytes of a message out of the budget.
    fn spend(&mut self, message: Message) -> Message {
        let bytes = postcard::serialize_with_flavor(&message, Size::default()).unwrap_or_default();
        self.budget.spend(message.fanout(), bytes);
        message
    }

    /// Returns the messages about what is refused.
    pub fn refusals(&self, now: Duration) -> Vec<Message> {
        let requests = self.table.refused(now);
        let requests: Vec<(Fingerprint, u32)> =
            requests.map(|(row, remaining)| (row, millis(remaining))).collect();
        let parts = self.parts.refused(now);
        let parts: Vec<(PartId, u32)> =
            parts.map(|(part, remaining)| (part, millis(remaining))).collect();
        let requests = requests.chunks(MAX_FINGERPRINTS);
        let parts = parts.chunks(MAX_FINGERPRINTS);
        let requests = requests.map(|rows| Message::Refused(rows.to_vec()));
        requests.chain(parts.map(|rows| Message::RefusedParts(rows.to_vec()))).collect()
    }
}

/// Returns the next `count` rows after the last one, each with its remaining time, and moves on.
fn next_rows(
    rows: impl Iterator<Item = (u64, Duration)>,
    last: &mut u64,
    count: usize,
) -> Vec<(u64, u32)> {
    let rows: Vec<(u64, u32)> = rows.map(|(row, left)| (row, millis(left))).collect();
    let start = rows.partition_point(|row| row.0 <= *last);
    let next = rows[start..].iter().chain(&rows[..start]).take(count);
    let next: Vec<(u64, u32)> = next.copied().collect();
    *last = next.last().map_or(*last, |row| row.0);
    next
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
