//! Finds parts of prompts that crash the endpoints that begin to answer requests with them.
//!
//! Load pattern: requests that share one part of their prompts, no two alike, come at any daemon
//! several times a second, and crash each endpoint that begins to answer one. Each crash cuts off
//! up to dozens of requests, most of which share other parts with these. Without this module
//! endpoints crash for as long as such requests come, as none of them is seen twice.
//!
//! A crash counts for each part of the requests that had just begun there, or had not begun to be
//! answered. A run that goes on past that time, a survival, counts against it. A part is refused
//! for `REFUSAL_PERIOD` if at least `MIN_CRASHES` count for it, and if a sound part would hardly ever
//! be hit as often by chance: either if its runs were cut off like all runs of this daemon, or if it
//! was among the runs at crashed endpoints as it is among all requests. The first shows a part while
//! most runs survive, the second if it crashes all endpoints. It takes more crashes while others
//! happen that the part does not explain. The part with the fewest survivals is refused first, and
//! the crashes that it explains count for no other part: those were only near. Crashes at the same
//! moment count once, as racks and whole services lose power.
//!
//! A part that nearly all requests of a route have is not refused, nor is one that always crashed
//! together with it: every crash counts for it, whatever the cause, and while all endpoints crash
//! over and over nothing survives.
//!
//! All daemons tell each other of crashes, survivals and refusals (`suspects`), and each of them
//! decides. One that knows better than a refusal tells the others, which drop it. Of survivals they
//! tell only as many as decide, since popular parts have hundreds a second: those of parts that
//! several crashes count for and that the last one was within `DECISION_PERIOD`, and twice as many as
//! refute the part: with as many, some daemons hear of too few.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use xxhash_rust::xxh3;

use crate::decide::quarantine::REFUSAL_PERIOD;
use crate::table::PartId;
use crate::table::RunId;
use crate::table::instance::Key;

/// Number of crashes after which a part is refused if it explains all.
pub const MIN_CRASHES: usize = 4;
/// Crashes closer to each other than this count once. It covers the delays with which daemons see
/// endpoints crash at the same moment.
const MIN_CRASH_INTERVAL: Duration = Duration::from_millis(150);
/// Probability up to which it is no chance that the runs of a part ended with crashes.
const MAX_CHANCE: f64 = 0.00003;
/// Distinct crashes that are considered, the latest.
const MAX_CONSIDERED: usize = 32;
/// Number of crashes that a part does not explain for which it takes one more that it does: of many
/// parts that are seldom asked for, one is hit by several of many crashes by chance.
const OTHERS_PER_CRASH: usize = 3;
/// Time after which all daemons have told of the requests that a crash cut off.
const SETTLE_TIME: Duration = Duration::from_millis(250);
/// Time before the first crash of a part from which survivals count.
const SURVIVAL_WINDOW: Duration = Duration::from_secs(10);
/// Survivals kept of one part, the latest. A part with so many is not refused.
const MAX_SURVIVALS: usize = 16;
/// Number of crashes of a part from which its survivals are passed on. From one crash later on, some
/// daemons decide before they hear of survivals.
const MIN_SHARED_CRASHES: usize = MIN_CRASHES - 2;
/// Time for which what this daemon has learned waits to be passed on.
pub const ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(1_500);
/// Parts of which survivals are kept: those of a daemon's requests within `SURVIVAL_WINDOW`.
const MAX_PARTS: usize = 8_192;
/// Time for which a crash is kept.
const CRASH_RETENTION: Duration = Duration::from_secs(120);
/// Number of crashes that are kept, the latest.
const MAX_CRASHES: usize = 256;
/// Parts, and runs, that are kept of one crash.
const MAX_PARTS_PER_CRASH: usize = 512;
/// Time for which more crashes or survivals may change a decision.
const DECISION_PERIOD: Duration = Duration::from_secs(2);
/// Longest time that a message is on its way. Times that it states seem as much later, and it has to
/// be told from a new one.
const MAX_TRANSIT_TIME: Duration = Duration::from_secs(1);
/// Time for which a refusal is dropped if its evidence no longer suffices, and for which a daemon
/// does not refuse a part again of which another one knew better.
const REVISION_PERIOD: Duration = Duration::from_secs(5);
/// Requests of which the routes and parts are kept, the latest.
const MAX_ARRIVALS: usize = 256;
/// Requests of a route from which it is known whether nearly all have a part.
const MIN_ARRIVALS: usize = 16;
/// Share of a route's requests that counts as nearly all.
const DOMINANT_RATIO: f64 = 0.75;

/// A run that went on after the time within which a part crashes endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Survival {
    /// Identifies the run.
    pub run: RunId,
    /// When it had gone on for so long.
    pub at: Duration,
    /// When this daemon learned of it.
    pub learned_at: Duration,
}

/// What is known of a part.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evidence {
    /// Number of crashes that count for it.
    pub crashes: usize,
    /// Number of survivals that count against it.
    pub survivals: usize,
    /// Number of crashes in the same time that it does not explain.
    pub others: usize,
    /// Probability with which crashes hit a sound part as often.
    pub chance: f64,
}

impl Evidence {
    /// Returns whether the part is to be refused.
    fn suffices(self) -> bool {
        self.crashes >= MIN_CRASHES + self.others / OTHERS_PER_CRASH
            && self.survivals < MAX_SURVIVALS
            && self.survivals <= self.crashes
            && self.chance <= MAX_CHANCE
    }

    fn ratio(self) -> f64 {
        self.survivals as f64 / self.crashes as f64
    }
}

/// What a decision has changed.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Changes {
    /// Parts that are refused from now on.
    pub refused: Vec<(PartId, Evidence)>,
    /// Parts that are refused no more.
    pub released: Vec<PartId>,
    /// Endpoints whose crashes are now explained.
    pub explained: Vec<Key>,
}

/// A crash of an endpoint.
#[derive(Debug)]
pub struct Crash {
    /// When its first connection broke.
    pub at: Duration,
    /// When a run or a part was last added.
    changed_at: Duration,
    /// Runs that had just begun there.
    pub runs: BTreeSet<RunId>,
    /// Parts of the prompts of these.
    pub parts: BTreeSet<PartId>,
    /// Runs that have not been passed on yet.
    pub untold_runs: BTreeSet<RunId>,
    /// Parts that have not been passed on yet.
    pub untold_parts: BTreeSet<PartId>,
    /// Whether a refused part explains it.
    is_explained: bool,
}

/// A survival in the table.
#[derive(Debug, Clone, Copy)]
struct Known {
    survival: Survival,
    /// Whether this daemon has passed it on.
    is_told: bool,
}

/// How runs of this daemon went on in one second.
#[derive(Debug, Clone, Copy)]
struct Outcomes {
    second: u64,
    survived: u32,
    /// Number of those that a crash cut off at their start.
    cut: u32,
}

/// A part that is refused.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    until: Duration,
    /// Whether this daemon decided it.
    is_own: bool,
}

impl Refusal {
    fn issued_at(&self) -> Duration {
        self.until.saturating_sub(REFUSAL_PERIOD)
    }
}

/// A part that may be the cause of crashes.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    part: PartId,
    evidence: Evidence,
    /// Whether it is refused already.
    is_refused: bool,
    /// Whether nearly all requests of a route have it.
    is_dominant: bool,
}

impl Candidate {
    /// Orders the likelier one first.
    fn compare(&self, other: &Self) -> Ordering {
        let by_ratio = self.evidence.ratio().total_cmp(&other.evidence.ratio());
        let by_refusal = other.is_refused.cmp(&self.is_refused);
        by_ratio.then(by_refusal).then(other.evidence.crashes.cmp(&self.evidence.crashes))
    }
}

/// When it was known that a part crashes nothing; refusals from before that are void.
#[derive(Debug, Clone, Copy)]
struct Clearance {
    at: Duration,
    learned_at: Duration,
}

/// Parts of prompts, and what speaks for and against them.
#[derive(Debug, Default)]
pub struct Table {
    crashes: BTreeMap<Key, Crash>,
    /// Number of crashes of each part.
    counts: BTreeMap<PartId, usize>,
    /// When each of these parts was last added to a crash.
    hit_at: BTreeMap<PartId, Duration>,
    /// Survivals of each part, the latest last.
    survivals: BTreeMap<PartId, VecDeque<Known>>,
    /// Times of the survivals of each part with crashes that this daemon has passed on, the latest
    /// last. They are counted apart, as those above of a popular part are replaced within a second.
    told: BTreeMap<PartId, VecDeque<Duration>>,
    /// Hash of the route, and parts, of the latest requests.
    arrivals: VecDeque<(u64, Vec<PartId>)>,
    /// Outcomes of this daemon's runs, by the second.
    outcomes: VecDeque<Outcomes>,
    refusals: BTreeMap<PartId, Refusal>,
    clearances: BTreeMap<PartId, Clearance>,
    /// Time until which the evidence may change a decision.
    decides_until: Duration,
}

impl Table {
    /// Returns the time for which a request with these parts is still refused; none if it is not.
    pub fn remaining(&self, now: Duration, parts: &[PartId]) -> Option<Duration> {
        if self.refusals.is_empty() {
            return None;
        }
        let until = parts.iter().filter_map(|part| self.refusals.get(part)).map(|row| row.until);
        until.max()?.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Returns whether this daemon has itself decided to refuse a part.
    pub fn has_decided(&self, now: Duration) -> bool {
        self.refusals.values().any(|row| row.is_own && now < row.until)
    }

    /// Returns the number of parts that crashes count for, and how many parts are refused.
    pub fn counts(&self, now: Duration) -> (usize, usize) {
        (self.counts.len(), self.refused(now).count())
    }

    /// Returns whether `more` crashes may lead to the refusal of one of these parts.
    pub fn is_undecided(&self, now: Duration, parts: &[PartId], more: usize) -> bool {
        let may_be_refused = |part: &PartId| {
            let crashes = self.counts.get(part).copied().unwrap_or(0) + more;
            let survivals = self.survivals_since(*part, now.saturating_sub(SURVIVAL_WINDOW));
            crashes >= MIN_CRASHES && survivals <= crashes
        };
        parts.iter().any(may_be_refused)
    }

    /// Records the parts of a request of a route.
    pub fn record_arrival(&mut self, route: &str, parts: &[PartId]) {
        if self.arrivals.len() >= MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back((xxh3::xxh3_64(route.as_bytes()), parts.to_vec()));
    }

    /// Adds runs that had just begun when an endpoint crashed, and the parts of their prompts.
    /// Returns whether any of them was unknown.
    pub fn add_crash(
        &mut self,
        now: Duration,
        key: &Key,
        at: Duration,
        runs: impl IntoIterator<Item = RunId>,
        parts: impl IntoIterator<Item = PartId>,
    ) -> bool {
        let crash = self.crashes.entry(key.clone()).or_insert_with(|| Crash {
            at,
            changed_at: now,
            runs: BTreeSet::new(),
            parts: BTreeSet::new(),
            untold_runs: BTreeSet::new(),
            untold_parts: BTreeSet::new(),
            is_explained: false,
        });
        crash.at = crash.at.min(at);
        let mut is_changed = false;
        for run in runs {
            if crash.runs.len() < MAX_PARTS_PER_CRASH && crash.runs.insert(run) {
                crash.untold_runs.insert(run);
                is_changed = true;
            }
        }
        for part in parts {
            if crash.parts.len() >= MAX_PARTS_PER_CRASH || !crash.parts.insert(part) {
                continue;
            }
            is_changed = true;
            crash.untold_parts.insert(part);
            *self.counts.entry(part).or_default() += 1;
            self.hit_at.insert(part, now);
        }
        if is_changed {
            crash.changed_at = now;
            self.decides_until = now + DECISION_PERIOD;
        }
        self.limit_crashes();
        is_changed
    }

    /// Records that a crash cut off as many runs of this daemon that had just begun.
    pub fn record_cut(&mut self, now: Duration, runs: u32) {
        self.outcomes(now).cut += runs;
    }

    /// Records that a run of this daemon survived whose request has these parts.
    pub fn record_survival(&mut self, now: Duration, parts: &[PartId], run: RunId) {
        self.outcomes(now).survived += 1;
        for part in parts {
            let survival = Survival { run, at: now, learned_at: now };
            self.add_survival(*part, survival);
        }
    }

    /// Returns the row for the outcomes of runs now.
    fn outcomes(&mut self, now: Duration) -> &mut Outcomes {
        let second = now.as_secs();
        if self.outcomes.back().is_none_or(|row| row.second != second) {
            self.outcomes.push_back(Outcomes { second, survived: 0, cut: 0 });
        }
        let last = self.outcomes.len() - 1;
        &mut self.outcomes[last]
    }

    /// Returns the part of this daemon's runs that crashes cut off at their start.
    fn cut_ratio(&self, since: Duration) -> f64 {
        let rows = self.outcomes.iter().filter(|row| row.second >= since.as_secs());
        let (cut, survived) = rows.fold((0, 0), |sum, row| (sum.0 + row.cut, sum.1 + row.survived));
        // Without any runs nothing is known.
        f64::from(cut + 1) / f64::from(cut + survived + 2)
    }

    /// Adds a survival of a part.
    pub fn add_survival(&mut self, part: PartId, survival: Survival) {
        let is_suspect = self.counts.contains_key(&part);
        if self.survivals.len() >= MAX_PARTS && !is_suspect && !self.survivals.contains_key(&part) {
            return;
        }
        let rows = self.survivals.entry(part).or_default();
        if rows.iter().any(|row| row.survival.run == survival.run) {
            return;
        }
        let position = rows.partition_point(|row| row.survival.at <= survival.at);
        rows.insert(position, Known { survival, is_told: false });
        if rows.len() > MAX_SURVIVALS {
            rows.pop_front();
        }
        if is_suspect {
            self.decides_until = self.decides_until.max(survival.learned_at + DECISION_PERIOD);
        }
    }

    /// Returns up to `count` survivals to be passed on, as many of each part as are of use, and
    /// records that they are told. Parts of which this daemon knows too few come first.
    pub fn take_untold_survivals(
        &mut self,
        now: Duration,
        count: usize,
    ) -> Vec<(PartId, Survival)> {
        // Of other parts nothing is decided now.
        let is_hit =
            |part: &PartId| self.hit_at.get(part).is_some_and(|at| now < *at + DECISION_PERIOD);
        let suspects = self
            .counts
            .iter()
            .filter(|(part, crashes)| **crashes >= MIN_SHARED_CRASHES && is_hit(part));
        let due = suspects.filter_map(|(part, crashes)| {
            let needed = (2 * (*crashes + 1)).min(MAX_SURVIVALS);
            let missing = self.untold_count(now, *part, needed);
            let known = self.survivals_since(*part, now.saturating_sub(SURVIVAL_WINDOW));
            (missing > 0).then(|| (needed.saturating_sub(known), *part, missing))
        });
        let mut due: Vec<(usize, PartId, usize)> = due.collect();
        due.sort_unstable_by(|one, other| other.cmp(one));
        let mut taken = Vec::new();
        for (_, part, missing) in due {
            let rows = self.survivals.get_mut(&part).into_iter().flatten().rev();
            let left = count - taken.len();
            for row in rows.filter(|row| !row.is_told).take(missing.min(left)) {
                row.is_told = true;
                taken.push((part, row.survival));
            }
        }
        for (part, survival) in &taken {
            let times = self.told.entry(*part).or_default();
            times.push_back(survival.at);
            if times.len() > MAX_SURVIVALS {
                times.pop_front();
            }
        }
        taken
    }

    /// Returns how many survivals of a part are still to be told of `needed`.
    fn untold_count(&self, now: Duration, part: PartId, needed: usize) -> usize {
        let is_done =
            self.survivals.get(&part).is_none_or(|rows| rows.iter().all(|row| row.is_told));
        let missing_since = |since: Duration| {
            let times = self.told.get(&part).into_iter().flatten();
            needed.saturating_sub(times.filter(|at| **at > since).count())
        };
        // These count whichever crashes are considered.
        if is_done || missing_since(now.saturating_sub(SURVIVAL_WINDOW)) == 0 {
            return 0;
        }
        let with_part = self.crashes.values().filter(|crash| crash.parts.contains(&part));
        let mut times: Vec<Duration> = with_part.map(|crash| crash.at).collect();
        times.sort_unstable();
        let first = times.get(times.len().saturating_sub(MIN_CRASHES));
        missing_since(first.map_or(now, |at| at.saturating_sub(SURVIVAL_WINDOW)))
    }

    /// Returns whether more must be known soon of a part: several crashes count for it, and no
    /// more survivals than these speak against it.
    pub fn is_suspected(&self, now: Duration, part: PartId) -> bool {
        let count = self.counts.get(&part).copied().unwrap_or(0);
        let survivals = self.survivals_since(part, now.saturating_sub(SURVIVAL_WINDOW));
        count > 1 && survivals <= count.min(MAX_SURVIVALS - 1)
    }

    /// Records that another daemon refuses a part for `remaining`. Returns whether it is refused
    /// here from now on.
    pub fn add_refusal(&mut self, now: Duration, part: PartId, remaining: Duration) -> bool {
        let until = now + remaining.min(REFUSAL_PERIOD);
        let refusal = Refusal { until, is_own: false };
        let cleared = self.clearances.get(&part);
        if cleared.is_some_and(|row| refusal.issued_at() <= row.at) {
            return false;
        }
        if self.is_refuted(now, part) {
            self.clear(now, part, now);
            return false;
        }
        let is_new = !self.is_refused(now, part);
        if is_new {
            self.refusals.insert(part, refusal);
            self.decides_until = now + DECISION_PERIOD;
        }
        is_new
    }

    /// Records that it was known at `at` that a part crashes nothing.
    pub fn clear(&mut self, now: Duration, part: PartId, at: Duration) {
        if self.clearances.get(&part).is_some_and(|row| at <= row.at + MAX_TRANSIT_TIME) {
            return;
        }
        self.clearances.insert(part, Clearance { at, learned_at: now });
        if self.refusals.get(&part).is_some_and(|row| row.issued_at() <= at) {
            self.refusals.remove(&part);
        }
    }

    /// Decides which parts are refused.
    pub fn decide(&mut self, now: Duration) -> Changes {
        let mut changes = Changes::default();
        if now >= self.decides_until {
            return changes;
        }
        let (culprits, explained) = self.find_culprits(now);
        for row in culprits.iter().filter(|row| row.evidence.suffices()) {
            let clearance = self.clearances.get(&row.part);
            let is_cleared = clearance.is_some_and(|clearance| is_recent(now, clearance.at));
            if !is_cleared && !row.is_refused {
                let refusal = Refusal { until: now + REFUSAL_PERIOD, is_own: true };
                self.refusals.insert(row.part, refusal);
                changes.refused.push((row.part, row.evidence));
            }
        }
        let is_culprit = |part: &PartId| {
            let row = culprits.iter().find(|row| row.part == *part);
            row.is_some_and(|row| row.evidence.survivals <= row.evidence.crashes)
        };
        let is_dropped = |part: &PartId, row: &Refusal| {
            row.is_own && is_recent(now, row.issued_at()) && !is_culprit(part)
        };
        let refusals = self.refusals.iter().filter(|(part, row)| is_dropped(part, row));
        changes.released = refusals.map(|(part, _)| *part).collect();
        for part in &changes.released {
            self.clear(now, *part, now);
        }
        for key in explained {
            if let Some(crash) = self.crashes.get_mut(&key)
                && !std::mem::replace(&mut crash.is_explained, true)
            {
                changes.explained.push(key);
            }
        }
        changes
    }

    /// Returns the parts that explain crashes and are to be refused, and the endpoints whose crashes
    /// are explained.
    fn find_culprits(&self, now: Duration) -> (Vec<Candidate>, Vec<Key>) {
        let mut culprits: Vec<Candidate> = Vec::new();
        let mut explained = Vec::new();
        let mut open: Vec<(&Key, &Crash)> =
            self.crashes.iter().filter(|(_, crash)| crash.at + SETTLE_TIME <= now).collect();
        open.sort_unstable_by_key(|(_, crash)| crash.at);
        let mut parts = self.candidate_parts(now);
        loop {
            let candidates = parts.iter().filter_map(|part| self.candidate(now, *part, &open));
            let candidates: Vec<Candidate> = candidates.collect();
            let Some(best) = candidates.iter().min_by(|one, other| one.compare(other)) else {
                return (culprits, explained);
            };
            let has = |crash: &Crash, part: PartId| crash.parts.contains(&part);
            // Parts that always came together are not told apart.
            let is_same = |row: &&Candidate| {
                let is_with_best =
                    |(_, crash): &(&Key, &Crash)| has(crash, row.part) == has(crash, best.part);
                row.evidence == best.evidence && open.iter().all(is_with_best)
            };
            let group: Vec<Candidate> = candidates.iter().filter(is_same).copied().collect();
            let covered = open.iter().filter(|(_, crash)| has(crash, best.part));
            explained.extend(covered.map(|(key, _)| (*key).clone()));
            open.retain(|(_, crash)| !has(crash, best.part));
            parts.retain(|part| !group.iter().any(|row| row.part == *part));
            if !group.iter().any(|row| row.is_dominant) {
                culprits.extend(group);
            }
        }
    }

    /// Returns the parts that may explain crashes, in ascending order.
    fn candidate_parts(&self, now: Duration) -> Vec<PartId> {
        let may_explain =
            |part: &PartId, count: usize| count >= MIN_CRASHES || self.is_refused(now, *part);
        let rows = self.counts.iter().filter(|(part, count)| may_explain(part, **count));
        rows.map(|(part, _)| *part).collect()
    }

    /// Returns what speaks for a part as the cause of these crashes; none if it does not suffice.
    fn candidate(
        &self,
        now: Duration,
        part: PartId,
        crashes: &[(&Key, &Crash)],
    ) -> Option<Candidate> {
        let is_refused = self.is_refused(now, part);
        let survivals = self.survivals_since(part, now.saturating_sub(SURVIVAL_WINDOW));
        if survivals >= MAX_SURVIVALS && !is_refused {
            return None;
        }
        let evidence = self.evidence(part, crashes)?;
        let is_dominant = self.is_dominant(part);
        let candidate = Candidate { part, evidence, is_refused, is_dominant };
        (is_refused || evidence.suffices()).then_some(candidate)
    }

    /// Returns what is known of a part by these crashes, which are in ascending order; none if it
    /// was in none of them. Of the latest crashes as many count as speak most clearly for it, since
    /// a part that was sound before may crash endpoints now.
    fn evidence(&self, part: PartId, crashes: &[(&Key, &Crash)]) -> Option<Evidence> {
        let moments = moments(part, self.share(part), crashes);
        let hits: Vec<usize> = (0..moments.len()).filter(|index| moments[*index].is_hit).collect();
        let latest = hits.len().saturating_sub(MIN_CRASHES);
        let evidence_from = |(count, first): (usize, &usize)| {
            let since = moments[*first].at.saturating_sub(SURVIVAL_WINDOW);
            let (crashes, all) = (hits.len() - count, &moments[*first..]);
            let survivals = self.survivals_since(part, since);
            let by_runs = tail(vec![self.cut_ratio(since); crashes + survivals], crashes);
            let by_crashes = tail(all.iter().map(|moment| moment.chance).collect(), crashes);
            let others = all.len() - crashes;
            Evidence { crashes, survivals, others, chance: by_runs.min(by_crashes) }
        };
        let all = hits.iter().enumerate().take(latest + 1).map(evidence_from);
        all.min_by(|one, other| {
            let by_verdict = other.suffices().cmp(&one.suffices());
            by_verdict.then(one.ratio().total_cmp(&other.ratio()))
        })
    }

    /// Returns the share of this daemon's requests that have a part.
    fn share(&self, part: PartId) -> f64 {
        let with = self.arrivals.iter().filter(|(_, parts)| parts.contains(&part)).count();
        (with + 1) as f64 / (self.arrivals.len() + 1) as f64
    }

    fn survivals_since(&self, part: PartId, since: Duration) -> usize {
        let rows = self.survivals.get(&part);
        rows.map_or(0, |rows| rows.iter().filter(|row| row.survival.at > since).count())
    }

    /// Returns whether nearly all requests of a route have a part.
    fn is_dominant(&self, part: PartId) -> bool {
        let mut routes: HashMap<u64, (usize, usize)> = HashMap::new();
        for (route, parts) in &self.arrivals {
            let (with, all) = routes.entry(*route).or_default();
            *with += usize::from(parts.contains(&part));
            *all += 1;
        }
        let is_dominant = |(with, all): &(usize, usize)| {
            *all >= MIN_ARRIVALS && *with as f64 > *all as f64 * DOMINANT_RATIO
        };
        routes.values().any(is_dominant)
    }

    /// Returns whether this daemon knows that a part crashes nothing.
    fn is_refuted(&self, now: Duration, part: PartId) -> bool {
        let survivals = self.survivals_since(part, now.saturating_sub(SURVIVAL_WINDOW));
        let crashes = self.counts.get(&part).copied().unwrap_or(0).max(MIN_CRASHES);
        self.is_dominant(part) || survivals > crashes
    }

    fn is_refused(&self, now: Duration, part: PartId) -> bool {
        self.refusals.get(&part).is_some_and(|row| now < row.until)
    }

    /// Returns the refused parts, each with the time for which it is still refused.
    pub fn refused(&self, now: Duration) -> impl Iterator<Item = (PartId, Duration)> {
        let rows = self.refusals.iter().filter(move |(_, row)| now < row.until);
        rows.map(move |(part, row)| (*part, row.until - now))
    }

    /// Returns the crashes to which runs or parts were added later than `since`.
    pub fn crashes_since(&self, since: Duration) -> impl Iterator<Item = (&Key, &Crash)> {
        self.crashes.iter().filter(move |(_, crash)| crash.changed_at > since)
    }

    /// Returns whether a refused part explains the crash of an endpoint.
    pub fn is_explained(&self, key: &Key) -> bool {
        self.crashes.get(key).is_some_and(|crash| crash.is_explained)
    }

    /// Returns a crash.
    pub fn crash(&self, key: &Key) -> Option<&Crash> {
        self.crashes.get(key)
    }

    /// Records that runs and parts of a crash have been passed on.
    pub fn on_told(&mut self, key: &Key, runs: &[RunId], parts: &[PartId]) {
        if let Some(crash) = self.crashes.get_mut(key) {
            crash.untold_runs.retain(|run| !runs.contains(run));
            crash.untold_parts.retain(|part| !parts.contains(part));
        }
    }

    /// Returns the parts that this daemon learned later than `since` to crash nothing, each with the
    /// time at which that was known.
    pub fn cleared_since(&self, since: Duration) -> impl Iterator<Item = (PartId, Duration)> {
        let rows = self.clearances.iter().filter(move |(_, row)| row.learned_at > since);
        rows.map(|(part, row)| (*part, row.at))
    }

    /// Removes what has expired.
    pub fn tick(&mut self, now: Duration) {
        let expired = |crash: &Crash| now >= crash.at + CRASH_RETENTION;
        let keys = self.crashes.iter().filter(|(_, crash)| expired(crash));
        let keys: Vec<Key> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove_crash(key));
        let counts = &self.counts;
        self.survivals.retain(|part, rows| {
            let last = rows.back();
            let is_recent = last.is_some_and(|row| now < row.survival.at + SURVIVAL_WINDOW);
            is_recent || counts.contains_key(part)
        });
        let is_untold = |crash: &&mut Crash| now >= crash.changed_at + ANNOUNCEMENT_PERIOD;
        for crash in self.crashes.values_mut().filter(is_untold) {
            crash.untold_runs.clear();
            crash.untold_parts.clear();
        }
        let oldest = now.saturating_sub(CRASH_RETENTION + SURVIVAL_WINDOW).as_secs();
        self.outcomes.retain(|row| row.second >= oldest);
        self.refusals.retain(|_, row| now < row.until);
        self.clearances.retain(|_, row| now < row.at + REFUSAL_PERIOD);
    }

    fn limit_crashes(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else {
                return;
            };
            self.remove_crash(&key);
        }
    }

    fn remove_crash(&mut self, key: &Key) {
        let Some(crash) = self.crashes.remove(key) else {
            return;
        };
        for part in crash.parts {
            if let Some(count) = self.counts.get_mut(&part) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&part);
                    self.hit_at.remove(&part);
                    self.told.remove(&part);
                }
            }
        }
    }
}

/// Endpoints that crashed at the same moment.
#[derive(Debug, Clone, Copy)]
struct Moment {
    at: Duration,
    /// Whether the part was in a run that had just begun at one of them.
    is_hit: bool,
    /// Probability of that for a sound part.
    chance: f64,
}

/// Returns the latest moments of crashes, which are in ascending order, for a part that this share of
/// requests has.
fn moments(part: PartId, share: f64, crashes: &[(&Key, &Crash)]) -> Vec<Moment> {
    let mut moments: Vec<Moment> = Vec::new();
    for (_, crash) in crashes {
        let is_hit = crash.parts.contains(&part);
        let miss = (1.0 - share).powi(crash.runs.len() as i32);
        match moments.last_mut() {
            Some(last) if crash.at < last.at + MIN_CRASH_INTERVAL => {
                last.is_hit |= is_hit;
                last.chance = 1.0 - (1.0 - last.chance) * miss;
            }
            _ => moments.push(Moment { at: crash.at, is_hit, chance: 1.0 - miss }),
        }
    }
    moments.split_off(moments.len().saturating_sub(MAX_CONSIDERED))
}

/// Returns the probability of at least `hits` among events with these probabilities.
fn tail(chances: Vec<f64>, hits: usize) -> f64 {
    // The probability of each number of hits; the last one stands for all above.
    let mut counts = vec![0.0; hits + 1];
    counts[0] = 1.0;
    for chance in chances {
        for count in (0..hits).rev() {
            let moved = counts[count] * chance;
            counts[count] -= moved;
            counts[count + 1] += moved;
        }
    }
    counts[hits]
}

/// Returns whether decisions made at `at` may still be changed.
fn is_recent(now: Duration, at: Duration) -> bool {
    now < at + REVISION_PERIOD
}
