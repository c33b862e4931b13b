//! Coordinator of a process's claims: decides which I/O each claim, record and withdrawal needs.
//!
//! Each process has one coordinator. It receives events and results of I/O and returns the I/O to
//! start and the replies to send. Module `writer` holds the state of one shard's updates.
//!
//! An attempt is in the table from before its claim can reach the store until its outcome is stored
//! or it is given up. Only an attempt in the table is ever granted, and an attempt that has left
//! the table is never granted. An attempt that is not in the table will therefore never be sent,
//! which is what `claim.fate` reports.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;

use crate::decide::claim::Claimant;
use crate::decide::claim::Clock;
use crate::decide::claim::Key;
use crate::decide::claim::LAYOUT_OBJECT;
use crate::decide::claim::Layout;
use crate::decide::claim::Op;
use crate::decide::claim::Record;
use crate::decide::claim::Verdict;
use crate::decide::claim::interface::Action;
use crate::decide::claim::interface::Admission;
use crate::decide::claim::interface::Cause;
use crate::decide::claim::interface::Claim;
use crate::decide::claim::interface::Fate;
use crate::decide::claim::interface::Io;
use crate::decide::claim::interface::IoId;
use crate::decide::claim::interface::Reply;
use crate::decide::claim::interface::Settings;
use crate::decide::claim::interface::Ticket;
use crate::decide::claim::writer::Item;
use crate::decide::claim::writer::Origin;
use crate::decide::claim::writer::Writer;
use crate::edge::platform;
use crate::table::AttemptId;
use crate::table::EntryId;
use crate::table::Incarnation;

/// Maximum number of shards in a layout.
const MAX_SHARDS: u32 = 4096;

/// Progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its claim is queued or being committed.
    Pending,
    /// Its call may be sent.
    Granted,
    /// Its outcome is being written to the store.
    Recording,
}

/// Unfinished attempt.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) key: Key,
    pub(super) digest: String,
    pub(super) phase: Phase,
    /// Outcome of the call; set in phase `Recording`.
    pub(super) record: Option<Record>,
    pub(super) deadline: Duration,
}

/// Reason for which an I/O was started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Purpose {
    Layout,
    Writer(usize),
    /// Checks for `attempt` whether `holder` will still send the call of attempt `prior`.
    Fate {
        attempt: AttemptId,
        holder: Claimant,
        prior: AttemptId,
    },
    /// Deletes an unreferenced object; the result is ignored.
    Cleanup,
}

/// Results of a peer's operations, collected until all are there.
#[derive(Debug, Clone)]
pub(super) struct Response {
    pub(super) verdicts: Vec<Option<Verdict>>,
}

/// Claims of one process.
pub struct Coordinator {
    pub(super) me: Claimant,
    pub(super) settings: Settings,
    pub(super) rng: SmallRng,
    pub(super) layout: Option<Layout>,
    pub(super) writers: Vec<Writer>,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    /// Unfinished attempt of each key, by the name of the key's row.
    pub(super) keys: BTreeMap<String, AttemptId>,
    /// Live entries, this one included.
    pub(super) peers: BTreeMap<EntryId, Incarnation>,
    /// Peers that are skipped as owners until the given time because they did not answer.
    pub(super) unresponsive: BTreeMap<EntryId, Duration>,
    pub(super) tickets: BTreeMap<Ticket, Response>,
    pub(super) purposes: BTreeMap<IoId, Purpose>,
    /// Operations that wait until the layout is read.
    pub(super) waiting: Vec<Item>,
    /// Time until which claims are refused because the layout could not be read.
    pub(super) unavailable_until: Duration,
    next_attempt: u64,
    next_io: IoId,
}

impl Coordinator {
    /// Creates a coordinator that has not read the store yet.
    pub fn new(me: Claimant, settings: Settings, seed: u64) -> Self {
        Coordinator {
            me,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            layout: None,
            writers: Vec::new(),
            attempts: BTreeMap::new(),
            keys: BTreeMap::new(),
            peers: BTreeMap::from([(me.entry, me.incarnation)]),
            unresponsive: BTreeMap::new(),
            tickets: BTreeMap::new(),
            purposes: BTreeMap::new(),
            waiting: Vec::new(),
            unavailable_until: Duration::ZERO,
            next_attempt: 1,
            next_io: 1,
        }
    }

    /// Replaces the list of live peers; this entry itself is always among them.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = (EntryId, Incarnation)>) {
        self.peers = peers.into_iter().collect();
        self.peers.insert(self.me.entry, self.me.incarnation);
    }

    /// Returns the numbers of unfinished attempts, of queued operations and of updates in progress.
    pub fn load(&self) -> (usize, usize, usize) {
        let queued = self.writers.iter().map(|writer| writer.queue.len()).sum::<usize>();
        let busy = self.writers.iter().filter(|writer| !writer.is_idle()).count();
        (self.attempts.len(), queued + self.waiting.len(), busy)
    }

    /// Requests permission to send a call; `Action::Admit` carries the result.
    pub fn claim(&mut self, clock: Clock, claim: &Claim) -> (AttemptId, Vec<Action>) {
        let attempt = self.next_id();
        let row_name = claim.key.row_name();
        if let Some(admission) = self.decide_locally(clock, claim) {
            return (attempt.clone(), vec![Action::Admit(attempt, admission)]);
        }
        let deadline = clock.now + claim.timeout;
        let (key, digest) = (claim.key.clone(), claim.digest.clone());
        let open = Attempt { key, digest, phase: Phase::Pending, record: None, deadline };
        self.attempts.insert(attempt.clone(), open);
        self.keys.insert(row_name, attempt.clone());
        let op = self.claim_op(claim.key.clone(), claim.digest.clone(), &attempt, None);
        self.enqueue(clock, op, Origin::Local);
        let mut out = Vec::new();
        self.start_due(clock, &mut out);
        (attempt, out)
    }

    /// Returns the result of a claim that can be decided without reading the store.
    fn decide_locally(&self, clock: Clock, claim: &Claim) -> Option<Admission> {
        if let Some(other) = self.keys.get(&claim.key.row_name()) {
            let open = self.attempts.get(other)?;
            return Some(match &open.record {
                _ if open.digest != claim.digest => Admission::Conflict,
                Some(Record::Unknown) => Admission::Unknown,
                Some(record) => Admission::Repeat(record.clone()),
                None => Admission::InFlight(self.settings.retry_interval),
            });
        }
        let (unavailable_until, queued) = match self.layout {
            Some(layout) => {
                let writer = &self.writers[layout.shard(&claim.key) as usize];
                (writer.unavailable_until, writer.queue.len())
            }
            None => (self.unavailable_until, self.waiting.len()),
        };
        // Refused immediately, because waiting for a platform that is down only delays the caller.
        if clock.now < unavailable_until {
            return Some(Admission::NotRun(Cause::Platform, unavailable_until - clock.now));
        }
        (queued >= self.settings.max_queue)
            .then_some(Admission::NotRun(Cause::Busy, self.settings.retry_interval))
    }

    /// Stores the outcome of a granted attempt whose call was sent.
    pub fn record(&mut self, clock: Clock, attempt: &AttemptId, record: Record) -> Vec<Action> {
        let mut out = Vec::new();
        let Some(open) = self.attempts.get_mut(attempt) else {
            return out;
        };
        if open.phase != Phase::Granted {
            return out;
        }
        open.phase = Phase::Recording;
        open.record = Some(record.clone());
        let (key, digest) = (open.key.clone(), open.digest.clone());
        let op = Op::Record { key, digest, attempt: attempt.clone(), record };
        self.enqueue(clock, op, Origin::Local);
        self.start_due(clock, &mut out);
        out
    }

    /// Withdraws an attempt that did not run and never will; its key may be claimed again.
    pub fn abandon(&mut self, clock: Clock, attempt: &AttemptId) -> Vec<Action> {
        let mut out = Vec::new();
        if self.attempts.get(attempt).is_some_and(|open| open.phase != Phase::Recording) {
            self.give_up(clock, attempt);
        }
        self.start_due(clock, &mut out);
        out
    }

    /// Returns the answer to `claim.fate`.
    pub fn fate(&self, attempt: &AttemptId) -> Fate {
        Fate { incarnation: self.me.incarnation, open: self.attempts.contains_key(attempt) }
    }

    /// Commits a peer's operations; `Action::Answer` carries the results.
    pub fn commit_forwarded(&mut self, clock: Clock, ticket: Ticket, ops: Vec<Op>) -> Vec<Action> {
        let mut out = Vec::new();
        let refusal =
            Verdict::Unavailable { retry_after: self.settings.retry_interval, uncertain: false };
        let no_layout = self.layout.is_none() && clock.now < self.unavailable_until;
        if ops.is_empty() || no_layout || ops.len() > self.settings.max_queue {
            out.push(Action::Answer(ticket, vec![refusal; ops.len()]));
            return out;
        }
        self.tickets.insert(ticket, Response { verdicts: vec![None; ops.len()] });
        for (index, op) in ops.into_iter().enumerate() {
            self.enqueue(clock, op, Origin::Peer(ticket, index));
        }
        self.start_due(clock, &mut out);
        out
    }

    /// Handles the result of an I/O.
    pub fn on_reply(&mut self, clock: Clock, io: IoId, reply: Reply) -> Vec<Action> {
        let mut out = Vec::new();
        match self.purposes.remove(&io) {
            None | Some(Purpose::Cleanup) => {}
            Some(Purpose::Layout) => self.on_layout_reply(clock, reply, &mut out),
            Some(Purpose::Writer(index)) => self.on_writer_reply(clock, index, reply, &mut out),
            Some(Purpose::Fate { attempt, holder, prior }) => {
                if let Reply::Fate(fate) = reply {
                    self.on_fate(clock, &attempt, holder, prior, fate, &mut out);
                }
            }
        }
        self.start_due(clock, &mut out);
        out
    }

    /// Handles everything that has become due by time.
    pub fn tick(&mut self, clock: Clock) -> Vec<Action> {
        let mut out = Vec::new();
        let overdue: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, open)| open.phase == Phase::Pending && open.deadline <= clock.now)
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in overdue {
            self.give_up(clock, &attempt);
            let admission = Admission::NotRun(Cause::Late, self.settings.retry_interval);
            out.push(Action::Admit(attempt, admission));
        }
        self.start_due(clock, &mut out);
        out
    }

    /// Returns when `tick` has work next.
    pub fn next_due(&self) -> Option<Duration> {
        let pending = self.attempts.values().filter(|open| open.phase == Phase::Pending);
        let deadline = pending.map(|open| open.deadline).min();
        let writers = self.writers.iter().filter_map(|writer| writer.due(&self.settings)).min();
        let layout_needed =
            self.layout.is_none() && !self.waiting.is_empty() && !self.reading_layout();
        let layout = layout_needed.then_some(self.unavailable_until);
        [deadline, writers, layout].into_iter().flatten().min()
    }

    /// Removes an attempt that will never be sent and withdraws its claim from the queue or the
    /// store.
    ///
    /// Its claim may still reach the store after this; the table then reports that it will not be
    /// sent.
    pub(super) fn give_up(&mut self, clock: Clock, attempt: &AttemptId) {
        let Some(open) = self.remove_attempt(attempt) else {
            return;
        };
        let queues = self.writers.iter_mut().map(|writer| &mut writer.queue);
        for queue in queues {
            let len = queue.len();
            queue.retain(|item| item.origin != Origin::Local || item.op.attempt() != attempt);
            if queue.len() < len {
                return;
            }
        }
        let len_before = self.waiting.len();
        self.waiting.retain(|item| item.op.attempt() != attempt);
        if self.waiting.len() == len_before {
            let op = Op::Abandon { key: open.key, attempt: attempt.clone() };
            self.enqueue(clock, op, Origin::Local);
        }
    }

    /// Removes an attempt from the table.
    pub(super) fn remove_attempt(&mut self, attempt: &AttemptId) -> Option<Attempt> {
        let open = self.attempts.remove(attempt)?;
        let row_name = open.key.row_name();
        if self.keys.get(&row_name) == Some(attempt) {
            self.keys.remove(&row_name);
        }
        Some(open)
    }

    /// Handles a claim whose key is held by another attempt.
    pub(super) fn on_held(
        &mut self,
        clock: Clock,
        attempt: &AttemptId,
        holder: Claimant,
        prior: AttemptId,
        out: &mut Vec<Action>,
    ) {
        if holder == self.me {
            let fate = self.fate(&prior);
            self.on_fate(clock, attempt, holder, prior, Some(fate), out);
            return;
        }
        if holder.entry == self.me.entry {
            self.on_fate(clock, attempt, holder, prior, None, out);
            return;
        }
        let purpose = Purpose::Fate { attempt: attempt.clone(), holder, prior: prior.clone() };
        let io = Io::Fate(holder.entry, prior);
        self.start(purpose, io, out);
    }

    /// Handles the status of a claim as its holder reports it.
    ///
    /// Only the incarnation that made the claim can report that it will not send the call; a later
    /// one has no record of it. Without this check a repeat after a crash would run the call a
    /// second time.
    fn on_fate(
        &mut self,
        clock: Clock,
        attempt: &AttemptId,
        holder: Claimant,
        prior: AttemptId,
        fate: Option<Fate>,
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.attempts.get(attempt) else {
            return;
        };
        let confirmed = fate.filter(|fate| fate.incarnation == holder.incarnation);
        let live = self.peers.get(&holder.entry) == Some(&holder.incarnation);
        let admission = match confirmed {
            Some(Fate { open: false, .. }) => {
                let op = self.claim_op(open.key.clone(), open.digest.clone(), attempt, Some(prior));
                self.enqueue(clock, op, Origin::Local);
                return;
            }
            Some(_) => Admission::InFlight(self.settings.retry_interval),
            None if fate.is_none() && live => Admission::InFlight(self.settings.retry_interval),
            None => Admission::Unknown,
        };
        self.remove_attempt(attempt);
        out.push(Action::Admit(attempt.clone(), admission));
    }

    fn claim_op(
        &self,
        key: Key,
        digest: String,
        attempt: &AttemptId,
        replaces: Option<AttemptId>,
    ) -> Op {
        Op::Claim { key, digest, claimant: self.me, attempt: attempt.clone(), replaces }
    }

    pub(super) fn enqueue(&mut self, clock: Clock, op: Op, origin: Origin) {
        let item = Item { op, origin, queued_at: clock.now };
        match self.layout {
            Some(layout) => {
                let index = layout.shard(item.op.key()) as usize;
                self.writers[index].queue.push_back(item);
            }
            None => self.waiting.push(item),
        }
    }

    pub(super) fn start(&mut self, purpose: Purpose, io: Io, out: &mut Vec<Action>) {
        let id = self.next_io;
        self.next_io += 1;
        self.purposes.insert(id, purpose);
        out.push(Action::Start(id, io));
    }

    /// Returns `wait` with random jitter, so that processes do not retry at the same time.
    pub(super) fn jitter(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(self.rng.random_range(0.5..1.5))
    }

    /// Returns an identifier that no other attempt or page has.
    pub(super) fn next_id(&mut self) -> String {
        let number = self.next_attempt;
        self.next_attempt += 1;
        format!("{}-{}-{number}", self.me.entry, self.me.incarnation)
    }

    /// Returns whether the layout is being read.
    fn reading_layout(&self) -> bool {
        self.purposes.values().any(|purpose| *purpose == Purpose::Layout)
    }

    pub(super) fn read_layout(&mut self, clock: Clock, out: &mut Vec<Action>) {
        if self.layout.is_none() && !self.reading_layout() && clock.now >= self.unavailable_until {
            self.start(Purpose::Layout, Io::Get(LAYOUT_OBJECT.to_string()), out);
        }
    }

    fn on_layout_reply(&mut self, clock: Clock, reply: Reply, out: &mut Vec<Action>) {
        let read = |value: Value| serde_json::from_value::<Layout>(value).ok();
        match reply {
            Reply::Object(Ok(Some(object))) => match read(object.value) {
                Some(layout) if (1..=MAX_SHARDS).contains(&layout.shards) => {
                    self.set_layout(layout);
                }
                _ => self.on_layout_error(clock, Cause::Layout, self.settings.retry_interval, out),
            },
            Reply::Object(Ok(None)) => {
                let value = serde_json::json!(self.settings.layout);
                let io = Io::Put(LAYOUT_OBJECT.to_string(), None, value);
                self.start(Purpose::Layout, io, out);
            }
            // The layout is read back whoever wrote it: the stored one takes precedence over the
            // settings.
            Reply::Update(Ok(_)) => {
                self.start(Purpose::Layout, Io::Get(LAYOUT_OBJECT.to_string()), out);
            }
            Reply::Object(Err(err)) | Reply::Update(Err(err)) => {
                let retry_after = self.retry_after(&err);
                self.on_layout_error(clock, Cause::Platform, retry_after, out);
            }
            Reply::Commit(_) | Reply::Fate(_) => {}
        }
    }

    fn set_layout(&mut self, layout: Layout) {
        self.layout = Some(layout);
        self.writers = (0..layout.shards).map(|_| Writer::default()).collect();
        for item in std::mem::take(&mut self.waiting) {
            let index = layout.shard(item.op.key()) as usize;
            self.writers[index].queue.push_back(item);
        }
    }

    fn on_layout_error(
        &mut self,
        clock: Clock,
        cause: Cause,
        retry_after: Duration,
        out: &mut Vec<Action>,
    ) {
        self.unavailable_until = clock.now + retry_after;
        for item in std::mem::take(&mut self.waiting) {
            match item.origin {
                Origin::Peer(ticket, position) => {
                    let verdict = Verdict::Unavailable { retry_after, uncertain: false };
                    self.collect_verdict(ticket, position, verdict, out);
                }
                Origin::Local if !matches!(item.op, Op::Claim { .. }) => self.waiting.push(item),
                Origin::Local => {
                    let attempt = item.op.attempt();
                    if self.remove_attempt(attempt).is_some() {
                        let admission = Admission::NotRun(cause, retry_after);
                        out.push(Action::Admit(attempt.clone(), admission));
                    }
                }
            }
        }
    }

    /// Returns the wait before the next attempt after a failed platform call.
    pub(super) fn retry_after(&mut self, err: &platform::Error) -> Duration {
        match err {
            platform::Error::RateLimited(retry_after)
            | platform::Error::BreakerOpen(retry_after) => *retry_after,
            _ => self.jitter(self.settings.retry_interval),
        }
    }
}
