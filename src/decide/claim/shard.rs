//! Head of a shard: the one object that every claim of the shard's keys changes.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::decide::claim::Key;
use crate::decide::claim::Layout;
use crate::decide::claim::MAX_CLOCK_SKEW;
use crate::decide::claim::Op;
use crate::decide::claim::Row;
use crate::decide::claim::State;
use crate::decide::claim::Verdict;
use crate::decide::claim::page::Cache;
use crate::decide::claim::page::Lookup;
use crate::decide::claim::page::Page;
use crate::decide::claim::page::PageId;
use crate::decide::claim::page::Reference;
use crate::decide::claim::row_issued_at;
use crate::table::AttemptId;

/// Limits on the sizes of heads, pages and batches.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Total size of final rows above which they are moved from the head to a page.
    pub seal_bytes: usize,
    /// Total size of rows from which on the head accepts no new key.
    pub max_head_bytes: usize,
    /// Number of pages smaller than half of `max_page_bytes` from which on they are merged.
    pub min_merge_pages: usize,
    /// Maximum total size of the pages that are merged into one.
    pub max_page_bytes: usize,
    /// Number of pages from which on a shard accepts no new key.
    pub max_pages: usize,
    /// Maximum number of operations in one update.
    pub max_batch: usize,
}

impl Default for Limits {
    /// A head stays below `max_head_bytes + seal_bytes + max_batch * (MAX_ANSWER_BYTES + 512)`,
    /// about 600 KB of the 1 MB that the platform allows. It is mostly below `seal_bytes`, which
    /// keeps each update small.
    fn default() -> Self {
        Limits {
            seal_bytes: 16 << 10,
            max_head_bytes: 256 << 10,
            min_merge_pages: 16,
            max_page_bytes: 512 << 10,
            max_pages: 1024,
            max_batch: 64,
        }
    }
}

/// Head of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Number of shards, repeated from the layout.
    pub shards: u32,
    /// Number of updates; makes every stored value of a shard unique.
    pub writes: u64,
    /// Time up to which keys are refused, in milliseconds since the epoch. Never decreases.
    pub floor: u64,
    /// Rows by name. A row here takes precedence over a row of the same name in a page.
    pub rows: BTreeMap<String, Row>,
    /// References to the shard's pages, oldest first.
    pub pages: Vec<Reference>,
}

/// Result of applying operations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// One verdict per operation, in order.
    pub verdicts: Vec<Verdict>,
    /// Whether the head must be written before the verdicts are valid.
    pub changed: bool,
}

/// Time and limits under which operations are applied.
#[derive(Debug, Clone, Copy)]
pub struct Context {
    /// Current time, in milliseconds since the epoch.
    pub wall_ms: u64,
    /// Retention of keys, in milliseconds.
    pub retention_ms: u64,
    /// Limits on the sizes of heads, pages and batches.
    pub limits: Limits,
}

impl Shard {
    /// Creates the head of a shard that was never written.
    pub fn new(layout: Layout) -> Self {
        Shard {
            shards: layout.shards,
            writes: 0,
            floor: 0,
            rows: BTreeMap::new(),
            pages: Vec::new(),
        }
    }

    /// Applies operations in order. `Err` names a page that must be read first.
    pub fn apply(
        &mut self,
        context: &Context,
        ops: &[Op],
        cache: &Cache,
    ) -> Result<Applied, PageId> {
        let mut verdicts = Vec::with_capacity(ops.len());
        // Dropped rows make a write necessary even if no operation changes anything: a record of a
        // dropped row is valid only because the new floor refuses its key from then on.
        let mut changed = self.expire(context);
        let mut bytes = json_len(&self.rows);
        for op in ops {
            let full = bytes >= context.limits.max_head_bytes
                || self.pages.len() >= context.limits.max_pages;
            let (verdict, change) = self.apply_one(context, op, cache, full)?;
            if let (Verdict::Granted, Some(row)) = (&verdict, self.rows.get(&op.key().row_name())) {
                bytes += json_len(row);
            }
            verdicts.push(verdict);
            changed |= change;
        }
        Ok(Applied { verdicts, changed })
    }

    fn apply_one(
        &mut self,
        context: &Context,
        op: &Op,
        cache: &Cache,
        full: bool,
    ) -> Result<(Verdict, bool), PageId> {
        match op {
            Op::Claim { .. } => self.claim(context, op, cache, full),
            Op::Record { .. } => Ok((Verdict::Stored, self.record(context, op))),
            Op::Abandon { key, attempt } => {
                Ok((Verdict::Stored, self.abandon(context, key, attempt, cache)?))
            }
        }
    }

    fn claim(
        &mut self,
        context: &Context,
        op: &Op,
        cache: &Cache,
        full: bool,
    ) -> Result<(Verdict, bool), PageId> {
        let Op::Claim { key, digest, claimant, attempt, replaces } = op else {
            return Ok((Verdict::Stored, false));
        };
        if let Some(verdict) = self.time_refusal(context, key) {
            return Ok((verdict, false));
        }
        let row_name = key.row_name();
        let found = self.find(&row_name, key.issued_at(), cache)?;
        if let Some(row) = found.filter(|row| row.state != State::Abandoned) {
            let verdict = match row.state {
                // The claim was applied by an update whose answer was lost.
                State::Claimed(_) if row.attempt == *attempt => Verdict::Granted,
                State::Done(_) if row.digest != *digest => Verdict::Conflict,
                State::Done(record) => Verdict::Repeat(record),
                State::Claimed(holder) if replaces.as_ref() != Some(&row.attempt) => {
                    Verdict::Held(holder, row.attempt)
                }
                State::Claimed(_) | State::Abandoned => {
                    self.insert(context, row_name, digest, attempt, State::Claimed(*claimant));
                    return Ok((Verdict::Granted, true));
                }
            };
            return Ok((verdict, false));
        }
        // No room is made for new keys: deleting a row would let its key run again.
        if full {
            return Ok((Verdict::Full, false));
        }
        self.insert(context, row_name, digest, attempt, State::Claimed(*claimant));
        Ok((Verdict::Granted, true))
    }

    /// Returns the refusal of a key that has expired or whose time is in the future.
    fn time_refusal(&self, context: &Context, key: &Key) -> Option<Verdict> {
        let issued_at = key.issued_at()?;
        if issued_at <= self.floor {
            return Some(Verdict::Expired);
        }
        let latest = context.wall_ms.saturating_add(MAX_CLOCK_SKEW.as_millis() as u64);
        (issued_at > latest).then_some(Verdict::Early)
    }

    fn insert(
        &mut self,
        context: &Context,
        row_name: String,
        digest: &str,
        attempt: &str,
        state: State,
    ) {
        let (digest, attempt) = (digest.to_string(), attempt.to_string());
        self.rows.insert(row_name, Row { digest, claimed_at: context.wall_ms, attempt, state });
    }

    /// Returns the row of a key from the head, or else from the newest page that has it.
    fn find(
        &self,
        row_name: &str,
        issued_at: Option<u64>,
        cache: &Cache,
    ) -> Result<Option<Row>, PageId> {
        if let Some(row) = self.rows.get(row_name) {
            return Ok(Some(row.clone()));
        }
        for page in self.pages.iter().rev().filter(|page| page.may_contain(issued_at)) {
            match cache.lookup(&page.id, row_name) {
                Lookup::Found(row) => return Ok(Some(row)),
                Lookup::Absent => {}
                Lookup::Unread => return Err(page.id.clone()),
            }
        }
        Ok(None)
    }

    fn is_claimed_by(&self, row_name: &str, attempt: &str) -> bool {
        self.rows
            .get(row_name)
            .is_some_and(|row| row.attempt == attempt && matches!(row.state, State::Claimed(_)))
    }

    /// Removes a claim, or overrides it with an abandoned row if it was moved to a page.
    fn abandon(
        &mut self,
        context: &Context,
        key: &Key,
        attempt: &AttemptId,
        cache: &Cache,
    ) -> Result<bool, PageId> {
        let row_name = key.row_name();
        if self.is_claimed_by(&row_name, attempt) {
            self.rows.remove(&row_name);
            return Ok(true);
        }
        let row = self.find(&row_name, key.issued_at(), cache)?;
        let moved =
            row.filter(|row| row.attempt == *attempt && matches!(row.state, State::Claimed(_)));
        if let Some(row) = &moved {
            self.insert(context, row_name, &row.digest, attempt, State::Abandoned);
        }
        Ok(moved.is_some())
    }

    /// Stores an outcome in the head, also if the claim's row was moved to a page.
    ///
    /// After this write the claimant removes the attempt from its table. A claim left in place
    /// would then be taken for one whose call was never sent.
    fn record(&mut self, context: &Context, op: &Op) -> bool {
        let Op::Record { key, digest, attempt, record } = op else {
            return false;
        };
        let row_name = key.row_name();
        let expired = key.issued_at().is_some_and(|issued_at| issued_at <= self.floor);
        let in_page = !self.rows.contains_key(&row_name) && !expired;
        if !in_page && !self.is_claimed_by(&row_name, attempt) {
            return false;
        }
        self.insert(context, row_name, digest, attempt, State::Done(record.clone()));
        true
    }

    /// Raises the floor to the retention limit and drops the rows and pages that it refuses.
    ///
    /// A row dropped without raising the floor would let its key run again, so both are written in
    /// one update.
    fn expire(&mut self, context: &Context) -> bool {
        let count = self.rows.len() + self.pages.len();
        self.floor = self.floor.max(context.wall_ms.saturating_sub(context.retention_ms));
        let floor = self.floor;
        self.rows.retain(|row_name, _| {
            row_issued_at(row_name).is_none_or(|issued_at| issued_at > floor)
        });
        self.pages.retain(|page| !page.is_expired(floor));
        self.rows.len() + self.pages.len() < count
    }

    /// Returns whether final rows must be moved out of the head.
    pub fn should_seal(&self, context: &Context) -> bool {
        let final_rows = self.rows.iter().filter(|(_, row)| is_final(row, context));
        final_rows.map(|(row_name, row)| row_name.len() + json_len(row)).sum::<usize>()
            > context.limits.seal_bytes
    }

    /// Returns the pages to merge into one, oldest first; empty if there are too few.
    ///
    /// Only adjacent pages are merged, because a newer row takes precedence over an older one of
    /// its key.
    pub fn mergeable(&self, context: &Context) -> Vec<PageId> {
        let small = |page: &&Reference| page.bytes < context.limits.max_page_bytes / 2;
        let small_count = self.pages.iter().rev().take_while(small).count();
        if small_count < context.limits.min_merge_pages {
            return Vec::new();
        }
        let mut remaining = context.limits.max_page_bytes;
        let mut parts = Vec::new();
        for page in &self.pages[self.pages.len() - small_count..] {
            let Some(next_remaining) = remaining.checked_sub(page.bytes) else {
                break;
            };
            remaining = next_remaining;
            parts.push(page.id.clone());
        }
        parts
    }

    /// Moves final rows to a new page.
    pub fn seal(&mut self, context: &Context, id: PageId) -> Page {
        let rows = std::mem::take(&mut self.rows);
        let (final_rows, kept) = rows.into_iter().partition(|(_, row)| is_final(row, context));
        self.rows = kept;
        let page = Page { rows: final_rows };
        self.pages.push(page.reference(id));
        page
    }

    /// Replaces adjacent pages by one.
    pub fn merge(&mut self, id: PageId, parts: &[(PageId, Page)]) -> Page {
        let mut page = Page::default();
        for (_, part) in parts {
            page.rows.extend(part.rows.clone());
        }
        let floor = self.floor;
        page.rows.retain(|row_name, _| {
            row_issued_at(row_name).is_none_or(|issued_at| issued_at > floor)
        });
        let is_part = |reference: &Reference| parts.iter().any(|(part, _)| *part == reference.id);
        let index = self.pages.iter().position(is_part).unwrap_or(self.pages.len());
        self.pages.retain(|reference| !is_part(reference));
        self.pages.insert(index, page.reference(id));
        page
    }
}

/// Returns whether a row will not change any more. An outcome is no longer expected for a claim
/// that is older than the retention.
fn is_final(row: &Row, context: &Context) -> bool {
    match row.state {
        State::Done(_) | State::Abandoned => true,
        State::Claimed(_) => row.claimed_at.saturating_add(context.retention_ms) < context.wall_ms,
    }
}

fn json_len(value: &impl Serialize) -> usize {
    serde_json::to_string(value).map_or(0, |text| text.len())
}
