//! Commits one batch to a shard's head: read the head, apply the operations, move rows to a page,
//! write, finish the batch.
//!
//! Each step starts one I/O, and its result selects the next step. A failed I/O or a lost answer
//! leads back to reading the head. A page is written before the head that references it and deleted
//! only after a head without the reference is written, so that no head ever references a missing
//! page.

use std::time::Duration;

use rand::Rng;

use crate::decide::claim::Clock;
use crate::decide::claim::Op;
use crate::decide::claim::Shard;
use crate::decide::claim::Verdict;
use crate::decide::claim::coordinator::Coordinator;
use crate::decide::claim::coordinator::Purpose;
use crate::decide::claim::interface::Action;
use crate::decide::claim::interface::Io;
use crate::decide::claim::interface::Reply;
use crate::decide::claim::page::Page;
use crate::decide::claim::page::PageId;
use crate::decide::claim::shard::Context;
use crate::decide::claim::writer::Draft;
use crate::decide::claim::writer::Step;
use crate::edge::platform;
use crate::edge::platform::Object;
use crate::edge::platform::Update;
use crate::edge::platform::Version;
use crate::table::EntryId;

/// Longest wait for the process's rate budget during which a batch is kept instead of failed.
const MAX_BUDGET_WAIT: Duration = Duration::from_millis(200);

/// Base of the random wait after a conflict; its upper bound doubles with each try.
const CONFLICT_BACKOFF: Duration = Duration::from_millis(5);

impl Coordinator {
    /// Continues a batch from the data that is available.
    pub(super) fn advance(&mut self, clock: Clock, index: usize, out: &mut Vec<Action>) {
        if self.writers[index].tries > self.settings.max_tries {
            let retry_after = self.jitter(self.settings.retry_interval);
            return self.fail_batch(clock, index, retry_after, out);
        }
        let Some(layout) = self.layout else {
            return;
        };
        let context = Context {
            wall_ms: clock.wall.as_millis() as u64,
            retention_ms: layout.retention_ms,
            limits: self.settings.limits,
        };
        let id = self.next_id();
        let writer = &mut self.writers[index];
        let Some((_, head)) = &writer.head else {
            return self.read_head(index, out);
        };
        let mut shard = head.clone();
        let ops: Vec<Op> = writer.batch.iter().map(|item| item.op.clone()).collect();
        let applied = match shard.apply(&context, &ops, &writer.cache) {
            Ok(applied) => applied,
            Err(page) => {
                writer.step = Step::ReadingPage(page.clone());
                return self.start(Purpose::Writer(index), Io::Get(page), out);
            }
        };
        // While an earlier update is unconfirmed, the head is written even if nothing changes. Only
        // a write changes the version and so keeps a delayed write from being applied after its
        // claims were given up.
        if !applied.changed && writer.unconfirmed.is_none() {
            if writer.fresh {
                return self.finish_batch(clock, index, applied.verdicts, out);
            }
            writer.head = None;
            return self.read_head(index, out);
        }
        let mut draft = Draft { shard, verdicts: applied.verdicts, page: None, merged: Vec::new() };
        if draft.shard.should_seal(&context) {
            let page = draft.shard.seal(&context, id.clone());
            draft.page = Some((id, page));
        } else {
            let parts = draft.shard.mergeable(&context);
            let is_missing = |part: &&PageId| !writer.read_pages.iter().any(|(id, ..)| id == *part);
            if let Some(part) = parts.iter().find(is_missing) {
                writer.step = Step::ReadingMergePage(part.clone());
                return self.start(Purpose::Writer(index), Io::Get(part.clone()), out);
            }
            if !parts.is_empty() {
                draft.merge(id, &parts, &writer.read_pages);
            }
        }
        self.write_draft(index, draft, out);
    }

    fn read_head(&mut self, index: usize, out: &mut Vec<Action>) {
        self.writers[index].step = Step::ReadingHead;
        self.start(Purpose::Writer(index), Io::Get(head_name(index)), out);
    }

    /// Writes the draft's page if it has one, else the head.
    fn write_draft(&mut self, index: usize, mut draft: Draft, out: &mut Vec<Action>) {
        draft.shard.writes += 1;
        let io = match &draft.page {
            Some((id, page)) => Io::Put(id.clone(), None, serde_json::json!(page)),
            None => self.head_put(index, &draft),
        };
        self.writers[index].step = match draft.page {
            Some(_) => Step::WritingPage(draft),
            None => Step::WritingHead(draft, None),
        };
        self.start(Purpose::Writer(index), io, out);
    }

    fn head_put(&self, index: usize, draft: &Draft) -> Io {
        let expect = self.writers[index].head.as_ref().and_then(|(version, _)| *version);
        Io::Put(head_name(index), expect, serde_json::json!(draft.shard))
    }

    /// Handles the result of an I/O that a writer started.
    pub(super) fn on_writer_reply(
        &mut self,
        clock: Clock,
        index: usize,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let step = std::mem::take(&mut self.writers[index].step);
        match (step, reply) {
            (Step::Forwarding(owner), Reply::Commit(verdicts)) => {
                self.on_forward_reply(clock, index, owner, verdicts, out);
            }
            (step, Reply::Object(Err(err)) | Reply::Update(Err(err))) => {
                self.on_error(clock, index, &step, &err, out);
            }
            (Step::ReadingHead, Reply::Object(Ok(object))) => {
                self.on_head_read(clock, index, object, out);
            }
            (Step::ReadingPage(id) | Step::ReadingMergePage(id), Reply::Object(Ok(object))) => {
                self.on_page_read(clock, index, id, object, out);
            }
            (Step::WritingPage(draft), Reply::Update(Ok(update))) => {
                self.on_page_written(clock, index, draft, &update, out);
            }
            (Step::WritingHead(draft, page), Reply::Update(Ok(update))) => {
                self.on_head_written(clock, index, draft, page, &update, out);
            }
            (step, _) => self.writers[index].step = step,
        }
    }

    fn on_forward_reply(
        &mut self,
        clock: Clock,
        index: usize,
        owner: EntryId,
        verdicts: Option<Vec<Verdict>>,
        out: &mut Vec<Action>,
    ) {
        let complete = verdicts.filter(|verdicts| {
            verdicts.len() == self.writers[index].batch.len()
                && !verdicts.iter().any(|verdict| matches!(verdict, Verdict::Unavailable { .. }))
        });
        match complete {
            Some(verdicts) => self.finish_batch(clock, index, verdicts, out),
            None => {
                // The owner may have committed the batch nevertheless. The operations keep their
                // attempts when they are committed here, so that whichever commit comes second
                // changes nothing.
                let until = clock.now + self.settings.owner_backoff;
                self.unresponsive.insert(owner, until);
                let writer = &mut self.writers[index];
                writer.forwarded = true;
                writer.head = None;
                self.advance(clock, index, out);
            }
        }
    }

    fn on_head_read(
        &mut self,
        clock: Clock,
        index: usize,
        object: Option<Object>,
        out: &mut Vec<Action>,
    ) {
        let Some(layout) = self.layout else {
            return;
        };
        let version = object.as_ref().map(|object| object.version);
        let shard = match object {
            None => Some(Shard::new(layout)),
            Some(object) => serde_json::from_value::<Shard>(object.value)
                .ok()
                .filter(|shard| shard.shards == layout.shards),
        };
        let Some(shard) = shard else {
            return self.fail_batch(clock, index, self.settings.retry_interval, out);
        };
        let writer = &mut self.writers[index];
        if writer.unconfirmed.is_some_and(|expect| expect != version) {
            writer.unconfirmed = None;
        }
        writer.cache.trim(&shard.pages);
        writer.head = Some((version, shard));
        writer.fresh = true;
        self.advance(clock, index, out);
    }

    fn on_page_read(
        &mut self,
        clock: Clock,
        index: usize,
        id: PageId,
        object: Option<Object>,
        out: &mut Vec<Action>,
    ) {
        let writer = &mut self.writers[index];
        let read = object.and_then(|object| {
            let page = serde_json::from_value::<Page>(object.value).ok()?;
            Some((object.version, page))
        });
        match read {
            Some((version, page)) => {
                let keys: Vec<String> =
                    writer.batch.iter().map(|item| item.op.key().row_name()).collect();
                writer.cache.insert(&id, &page, keys.iter().map(String::as_str));
                writer.read_pages.push((id, version, page));
            }
            // The page was merged into another one, so a newer head exists.
            None => {
                writer.tries += 1;
                writer.head = None;
            }
        }
        self.advance(clock, index, out);
    }

    fn on_page_written(
        &mut self,
        clock: Clock,
        index: usize,
        draft: Draft,
        update: &Update,
        out: &mut Vec<Action>,
    ) {
        let writer = &mut self.writers[index];
        match (update, &draft.page) {
            (Update::Applied(version), Some((id, page))) => {
                let keys: Vec<String> =
                    writer.batch.iter().map(|item| item.op.key().row_name()).collect();
                writer.cache.insert(id, page, keys.iter().map(String::as_str));
                let io = self.head_put(index, &draft);
                self.writers[index].step = Step::WritingHead(draft, Some(*version));
                self.start(Purpose::Writer(index), io, out);
            }
            // No head references the page yet, so that another one may be written in its place.
            _ => {
                writer.tries += 1;
                self.advance(clock, index, out);
            }
        }
    }

    fn on_head_written(
        &mut self,
        clock: Clock,
        index: usize,
        draft: Draft,
        page: Option<Version>,
        update: &Update,
        out: &mut Vec<Action>,
    ) {
        let writer = &mut self.writers[index];
        match update {
            Update::Applied(version) => {
                writer.unconfirmed = None;
                writer.cache.trim(&draft.shard.pages);
                writer.head = Some((Some(*version), draft.shard));
                for (id, version) in draft.merged {
                    self.start(Purpose::Cleanup, Io::Delete(id, version), out);
                }
                self.finish_batch(clock, index, draft.verdicts, out);
            }
            Update::Conflict(_) => {
                writer.head = None;
                writer.tries += 1;
                let max_wait = CONFLICT_BACKOFF * 2_u32.saturating_pow(writer.tries.min(6));
                let wait = max_wait.mul_f64(self.rng.random_range(0.0..1.0));
                self.writers[index].step = Step::Paused(clock.now + wait);
                self.delete_page(&draft, page, out);
            }
            // The page is kept because the head that references it may have been written.
            Update::Unknown => {
                writer.unconfirmed = Some(writer.head.as_ref().and_then(|(version, _)| *version));
                writer.head = None;
                writer.tries += 1;
                self.advance(clock, index, out);
            }
        }
    }

    /// Deletes the page of a draft whose head was not written.
    fn delete_page(&mut self, draft: &Draft, page: Option<Version>, out: &mut Vec<Action>) {
        if let (Some((id, _)), Some(version)) = (&draft.page, page) {
            self.start(Purpose::Cleanup, Io::Delete(id.clone(), version), out);
        }
    }

    fn on_error(
        &mut self,
        clock: Clock,
        index: usize,
        step: &Step,
        err: &platform::Error,
        out: &mut Vec<Action>,
    ) {
        let retry_after = self.retry_after(err);
        if let Step::WritingHead(draft, page) = step {
            self.delete_page(draft, *page, out);
        }
        let writer = &mut self.writers[index];
        let brief =
            matches!(err, platform::Error::RateLimited(_)) && retry_after <= MAX_BUDGET_WAIT;
        // This is not counted as a try: with the budget used up, all writers wait for the same next
        // token, and counting would refuse claims that a slightly later and larger update carries.
        if brief {
            writer.step = Step::Paused(clock.now + retry_after);
            return;
        }
        self.fail_batch(clock, index, retry_after, out);
    }

    /// Fails a batch: its claims are answered at once, its records and withdrawals are queued
    /// again.
    pub(super) fn fail_batch(
        &mut self,
        clock: Clock,
        index: usize,
        retry_after: Duration,
        out: &mut Vec<Action>,
    ) {
        let writer = &mut self.writers[index];
        let uncertain = writer.unconfirmed.is_some() || writer.forwarded;
        writer.head = None;
        writer.unavailable_until = clock.now + retry_after;
        writer.earliest_start = writer.unavailable_until;
        let verdicts = vec![Verdict::Unavailable { retry_after, uncertain }; writer.batch.len()];
        self.finish_batch(clock, index, verdicts, out);
    }
}

/// Returns the name of the object that holds a shard's head.
fn head_name(index: usize) -> String {
    format!("shard-{index}")
}
