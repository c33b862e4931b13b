//! Writer of one shard: collects operations, forwards them to the shard's owner or commits them,
//! and hands out the results.
//!
//! While one update is in progress, further operations are queued for the next. An update whose
//! answer was lost is resolved by reading the head again: operations that are already applied are
//! recognized by their attempts, and only missing ones are written.

use std::collections::VecDeque;
use std::time::Duration;

use crate::decide::claim::Clock;
use crate::decide::claim::Op;
use crate::decide::claim::Record;
use crate::decide::claim::Shard;
use crate::decide::claim::Verdict;
use crate::decide::claim::coordinator::Coordinator;
use crate::decide::claim::coordinator::Phase;
use crate::decide::claim::coordinator::Purpose;
use crate::decide::claim::interface::Action;
use crate::decide::claim::interface::Admission;
use crate::decide::claim::interface::Cause;
use crate::decide::claim::interface::Io;
use crate::decide::claim::interface::Settings;
use crate::decide::claim::interface::Ticket;
use crate::decide::claim::page::Cache;
use crate::decide::claim::page::Page;
use crate::decide::claim::page::PageId;
use crate::decide::owner;
use crate::edge::platform::Version;
use crate::table::EntryId;

/// Origin of an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// This process.
    Local,
    /// A peer's call, and the operation's index in it.
    Peer(Ticket, usize),
}

/// Queued operation.
#[derive(Debug, Clone)]
pub(super) struct Item {
    pub(super) op: Op,
    pub(super) origin: Origin,
    pub(super) queued_at: Duration,
}

/// New version of a head that is still to be written.
#[derive(Debug)]
pub(super) struct Draft {
    pub(super) shard: Shard,
    pub(super) verdicts: Vec<Verdict>,
    /// New page, which the new head is the first to reference.
    pub(super) page: Option<(PageId, Page)>,
    /// Pages that were merged and that the new head no longer references.
    pub(super) merged: Vec<(PageId, Version)>,
}

impl Draft {
    /// Replaces several pages by one; `parts` are ordered from oldest to newest.
    pub(super) fn merge(
        &mut self,
        id: PageId,
        parts: &[PageId],
        available: &[(PageId, Version, Page)],
    ) {
        let find = |part: &PageId| available.iter().find(|(id, ..)| id == part);
        let parts = || parts.iter().filter_map(find);
        self.merged = parts().map(|(id, version, _)| (id.clone(), *version)).collect();
        let pages: Vec<(PageId, Page)> =
            parts().map(|(id, _, page)| (id.clone(), page.clone())).collect();
        let page = self.shard.merge(id.clone(), &pages);
        self.page = Some((id, page));
    }
}

/// Event that a writer waits for.
#[derive(Debug, Default)]
pub(super) enum Step {
    /// Waits for a batch.
    #[default]
    Idle,
    /// Waits until this time before it continues the batch.
    Paused(Duration),
    /// Reads the head.
    ReadingHead,
    /// Reads a page that may hold a key of the batch.
    ReadingPage(PageId),
    /// Reads a page that is to be merged.
    ReadingMergePage(PageId),
    /// Writes the page of a draft.
    WritingPage(Draft),
    /// Writes a draft's head; its page, if any, is stored at this version.
    WritingHead(Draft, Option<Version>),
    /// Waits for the answer of the shard's owner.
    Forwarding(EntryId),
}

/// State of one shard's updates.
#[derive(Debug, Default)]
pub(super) struct Writer {
    pub(super) queue: VecDeque<Item>,
    /// Time until which claims are refused because the platform did not answer.
    pub(super) unavailable_until: Duration,
    pub(super) batch: Vec<Item>,
    /// The head as last read or written; the version is `None` if the object does not exist.
    pub(super) head: Option<(Option<Version>, Shard)>,
    /// Whether the head was read for this batch.
    pub(super) fresh: bool,
    pub(super) cache: Cache,
    pub(super) read_pages: Vec<(PageId, Version, Page)>,
    pub(super) step: Step,
    /// Earliest start of the next batch.
    pub(super) earliest_start: Duration,
    /// Whether the batch was forwarded to the owner, which may have committed it.
    pub(super) forwarded: bool,
    /// An update whose answer was lost may still be applied while the head is at this version.
    pub(super) unconfirmed: Option<Option<Version>>,
    pub(super) tries: u32,
}

impl Writer {
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.step, Step::Idle)
    }

    /// Returns when the writer has work that no event triggers.
    pub(super) fn due(&self, settings: &Settings) -> Option<Duration> {
        match self.step {
            Step::Idle => {
                let first = self.queue.front()?;
                let urgent = |item: &Item| {
                    item.origin != Origin::Local || matches!(item.op, Op::Claim { .. })
                };
                let linger = match self.queue.iter().any(urgent) {
                    true => Duration::ZERO,
                    false => settings.linger,
                };
                Some(self.earliest_start.max(first.queued_at + linger))
            }
            Step::Paused(until) => Some(until),
            _ => None,
        }
    }
}

impl Coordinator {
    /// Starts all work that is due.
    pub(super) fn start_due(&mut self, clock: Clock, out: &mut Vec<Action>) {
        if !self.waiting.is_empty() {
            self.read_layout(clock, out);
        }
        for index in 0..self.writers.len() {
            if self.writers[index].due(&self.settings).is_some_and(|due| due <= clock.now) {
                match self.writers[index].step {
                    Step::Idle => self.start_batch(clock, index, out),
                    _ => self.advance(clock, index, out),
                }
            }
        }
    }

    fn start_batch(&mut self, clock: Clock, index: usize, out: &mut Vec<Action>) {
        let writer = &mut self.writers[index];
        let len = writer.queue.len().min(self.settings.limits.max_batch);
        writer.batch = writer.queue.drain(..len).collect();
        writer.earliest_start = clock.now + self.settings.update_interval;
        writer.tries = 0;
        writer.fresh = false;
        writer.forwarded = false;
        writer.read_pages.clear();
        self.unresponsive.retain(|_, until| clock.now < *until);
        let live = self.peers.keys().filter(|entry| !self.unresponsive.contains_key(entry));
        let owner = owner::pick(index as u32, live);
        let writer = &mut self.writers[index];
        // Operations that a peer forwarded are always committed here: two entries that disagree on
        // the owner would otherwise forward them back and forth.
        let all_local = writer.batch.iter().all(|item| item.origin == Origin::Local);
        match owner {
            Some(owner) if all_local && owner != self.me.entry => {
                let ops = writer.batch.iter().map(|item| item.op.clone()).collect();
                writer.step = Step::Forwarding(owner);
                self.start(Purpose::Writer(index), Io::Commit(owner, ops), out);
            }
            _ => self.advance(clock, index, out),
        }
    }

    pub(super) fn finish_batch(
        &mut self,
        clock: Clock,
        index: usize,
        verdicts: Vec<Verdict>,
        out: &mut Vec<Action>,
    ) {
        let writer = &mut self.writers[index];
        writer.step = Step::Idle;
        let batch = std::mem::take(&mut writer.batch);
        for (item, verdict) in batch.into_iter().zip(verdicts) {
            match item.origin {
                Origin::Local => self.on_verdict(clock, index, item, verdict, out),
                Origin::Peer(ticket, position) => {
                    self.collect_verdict(ticket, position, verdict, out);
                }
            }
        }
    }

    pub(super) fn collect_verdict(
        &mut self,
        ticket: Ticket,
        position: usize,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        let Some(response) = self.tickets.get_mut(&ticket) else {
            return;
        };
        response.verdicts[position] = Some(verdict);
        if response.verdicts.iter().all(Option::is_some) {
            let response = self.tickets.remove(&ticket);
            let verdicts =
                response.into_iter().flat_map(|batch| batch.verdicts).flatten().collect();
            out.push(Action::Answer(ticket, verdicts));
        }
    }

    fn on_verdict(
        &mut self,
        clock: Clock,
        index: usize,
        item: Item,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        match (&item.op, verdict) {
            (Op::Claim { attempt, .. }, verdict) => {
                self.on_claim_verdict(clock, &attempt.clone(), verdict, out);
            }
            (Op::Record { attempt, .. }, Verdict::Stored) => {
                self.remove_attempt(attempt);
                out.push(Action::Stored(attempt.clone()));
            }
            (Op::Abandon { .. }, Verdict::Stored) => {}
            // An outcome that could not be stored is queued until it is.
            (Op::Record { .. } | Op::Abandon { .. }, _) => {
                self.writers[index].queue.push_back(item);
            }
        }
    }

    fn on_claim_verdict(
        &mut self,
        clock: Clock,
        attempt: &String,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        // The attempt was given up meanwhile: its caller was answered and its withdrawal is queued.
        let Some(open) = self.attempts.get_mut(attempt) else {
            return;
        };
        let admission = match verdict {
            Verdict::Granted => {
                open.phase = Phase::Granted;
                return out.push(Action::Admit(attempt.clone(), Admission::Granted));
            }
            Verdict::Held(holder, prior) => {
                return self.on_held(clock, attempt, holder, prior, out);
            }
            Verdict::Unavailable { retry_after, uncertain: true } => {
                self.give_up(clock, attempt);
                Admission::NotRun(Cause::Platform, retry_after)
            }
            Verdict::Unavailable { retry_after, .. } => {
                Admission::NotRun(Cause::Platform, retry_after)
            }
            Verdict::Repeat(Record::Unknown) => Admission::Unknown,
            Verdict::Repeat(record) => Admission::Repeat(record),
            Verdict::Conflict => Admission::Conflict,
            Verdict::Expired => Admission::Expired,
            Verdict::Early => Admission::Early,
            Verdict::Full | Verdict::Stored => {
                Admission::NotRun(Cause::Full, self.settings.retry_interval)
            }
        };
        self.remove_attempt(attempt);
        out.push(Action::Admit(attempt.clone(), admission));
    }
}
