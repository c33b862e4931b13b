//! What a daemon knows of requests that ran on crashed endpoints, and what it tells the others.
//!
//! Load pattern: a request is sent again through any of hundreds of daemons, and each crash that it
//! causes is seen by those whose requests were running there. Without this module each daemon would
//! have to see three crashes itself.
//!
//! Datagrams may be lost, so all messages are repeated. Crashes and complete answers are passed on
//! by each daemon that learns of them, for `ANNOUNCEMENT_PERIOD` after more became known of them.
//! Refusals are repeated for as long as they last, so that daemons that start or were cut off learn
//! of them, too. The same holds for parts of prompts (`part`).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3;

use crate::decide::part;
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
/// Time for which a crash is announced after more became known of it, in each round to some of the
/// other daemons.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(1_500);
/// Time for which a crash is kept, so that repeated announcements of it are known.
const CRASH_RETENTION: Duration = Duration::from_secs(15);
/// Fingerprints or parts in one message, which has to fit into a datagram.
const MAX_FINGERPRINTS: usize = 100;
/// Runs, and as many parts, in one message.
const MAX_RUNS: usize = 75;
/// Survivals in one message.
const MAX_SURVIVALS: usize = 50;
/// Messages with survivals in one round.
const MAX_SURVIVAL_MESSAGES: usize = 8;

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
}

/// Requests that ran on crashed endpoints.
#[derive(Debug)]
pub struct Suspects {
    table: Quarantine<Key>,
    crashes: BTreeMap<Key, Crash>,
    /// When answers to suspects were complete, and when this daemon learned of it.
    completed: BTreeMap<Fingerprint, (Duration, Duration)>,
    parts: part::Table,
}

impl Default for Suspects {
    fn default() -> Self {
        Suspects {
            table: Quarantine::new(MAX_CRASHES),
            crashes: BTreeMap::new(),
            completed: BTreeMap::new(),
            parts: part::Table::default(),
        }
    }
}

impl Suspects {
    /// Returns the time for which a request is still refused; none if it is not.
    pub fn remaining(&self, now: Duration, fingerprint: Fingerprint) -> Option<Duration> {
        self.table.remaining(now, fingerprint)
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
        });
        let is_explained = self.parts.is_explained(key);
        let mut news = News::default();
        for (fingerprint, sent_at) in &breakage.runs {
            news.has_new_runs |= crash.runs.insert(*fingerprint, *sent_at).is_none();
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

    /// Returns the messages about a crash.
    pub fn announcements(&self, now: Duration, key: &Key) -> Vec<Message> {
        let mut messages = self.run_announcements(now, key);
        if let Some(crash) = self.parts.crash(key) {
            messages.extend(part_announcements(now, key, crash));
        }
        messages
    }

    /// Returns the messages about the requests that ran on an endpoint when it crashed.
    fn run_announcements(&self, now: Duration, key: &Key) -> Vec<Message> {
        let Some(crash) = self.crashes.get(key) else {
            return Vec::new();
        };
        let age_ms = millis(now.saturating_sub(crash.at));
        let ran_ms = |sent_at: Duration| millis(crash.at.saturating_sub(sent_at));
        let runs: Vec<(Fingerprint, u32)> =
            crash.runs.iter().map(|(row, sent_at)| (*row, ran_ms(*sent_at))).collect();
        let chunks = runs.chunks(MAX_FINGERPRINTS);
        chunks
            .map(|runs| Message::Crashed { key: key.clone(), age_ms, runs: runs.to_vec() })
            .collect()
    }

    /// Removes what has expired, and returns the messages that are due in a round.
    pub fn round(&mut self, now: Duration) -> Vec<Message> {
        let is_recent = |changed_at: Duration| now < changed_at + ANNOUNCEMENT_PERIOD;
        self.table.tick(now);
        self.parts.tick(now);
        self.crashes.retain(|_, crash| now < crash.at + CRASH_RETENTION);
        self.completed.retain(|_, (_, changed_at)| is_recent(*changed_at));
        let crashes = self.crashes.iter().filter(|(_, crash)| is_recent(crash.changed_at));
        let mut messages: Vec<Message> =
            crashes.flat_map(|(key, _)| self.run_announcements(now, key)).collect();
        let completed = self.completed.iter();
        let completed: Vec<(Fingerprint, u32)> =
            completed.map(|(row, (at, _))| (*row, millis(now.saturating_sub(*at)))).collect();
        let chunks = completed.chunks(MAX_FINGERPRINTS);
        messages.extend(chunks.map(|rows| Message::Completed(rows.to_vec())));
        messages.extend(self.refusals(now));
        messages.extend(self.part_messages(now));
        messages
    }

    /// Returns the messages about parts that are due in a round.
    fn part_messages(&self, now: Duration) -> Vec<Message> {
        let since = now.saturating_sub(ANNOUNCEMENT_PERIOD);
        let crashes = self.parts.crashes_since(since);
        let mut messages: Vec<Message> =
            crashes.flat_map(|(key, crash)| part_announcements(now, key, crash)).collect();
        let age_ms = |at: Duration| millis(now.saturating_sub(at));
        let survivals = self.parts.survivals_learned_since(since);
        let survivals: Vec<(PartId, RunId, u32)> =
            survivals.map(|(part, row)| (part, row.run, age_ms(row.at))).collect();
        let chunks = survivals.chunks(MAX_SURVIVALS).take(MAX_SURVIVAL_MESSAGES);
        messages.extend(chunks.map(|rows| Message::Survived(rows.to_vec())));
        let cleared = self.parts.cleared_since(since);
        let cleared: Vec<(PartId, u32)> = cleared.map(|(part, at)| (part, age_ms(at))).collect();
        let chunks = cleared.chunks(MAX_FINGERPRINTS);
        messages.extend(chunks.map(|rows| Message::ClearedParts(rows.to_vec())));
        messages
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

/// Returns the messages about the runs that had just begun on a crashed endpoint.
fn part_announcements(now: Duration, key: &Key, crash: &part::Crash) -> Vec<Message> {
    let age_ms = millis(now.saturating_sub(crash.at));
    let runs: Vec<RunId> = crash.runs.iter().copied().collect();
    let parts: Vec<PartId> = crash.parts.iter().copied().collect();
    let count = runs.len().max(parts.len()).div_ceil(MAX_RUNS);
    let message = |index: usize| Message::CrashedParts {
        key: key.clone(),
        age_ms,
        runs: chunk(&runs, index),
        parts: chunk(&parts, index),
    };
    (0..count).map(message).collect()
}

/// Returns the rows for one of several messages; none if there are no more.
fn chunk<T: Clone>(rows: &[T], index: usize) -> Vec<T> {
    rows.chunks(MAX_RUNS).nth(index).unwrap_or_default().to_vec()
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
