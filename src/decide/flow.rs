//! Lifecycle of a request in an entry, from arrival to the final answer.
//!
//! `Flow` holds the tables and turns events into actions. The entry turns actions into I/O and
//! results into events. The decisions themselves are made by the modules beside this one.
//!
//! A request is in one of two states: it waits in the queue, or it runs at one endpoint. It ends
//! with a successful answer, with one `Refuse`, or because its caller disconnected. A request that
//! is dropped is refused in the same step. A refusal states that the request was not run only if
//! none of its attempts can have been executed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use xxhash_rust::xxh3::xxh3_64;

use crate::config::service::Class;
use crate::config::snapshot::Snapshot;
use crate::decide::admit::LOWER_BOUND_DEVIATIONS;
use crate::decide::admit::Lengths;
use crate::decide::backlog;
pub use crate::decide::event::Action;
pub use crate::decide::event::Event;
pub use crate::decide::event::Job;
pub use crate::decide::event::Location;
pub use crate::decide::event::Refusal;
pub use crate::decide::event::Target;
use crate::decide::pool::Pool;
use crate::decide::prefix::Index;
use crate::decide::quarantine::Quarantine;
use crate::decide::queue::Queue;
use crate::decide::retry::Budget;
use crate::decide::route;
use crate::decide::route::Choice;
use crate::decide::route::Requirements;
use crate::decide::share::Shares;
use crate::edge::endpoint::Outcome;
use crate::table::EndpointId;
use crate::table::ModelId;
use crate::table::RequestId;

/// Interval between two checks of a queue that isn't empty.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two checks of the tables.
const TABLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Multiple of the mean work above which a request is long.
const LONG_RATIO: f64 = 4.0;
/// Time after a short request within which long and batch requests leave slots free.
const YIELD_WINDOW: Duration = Duration::from_secs(5);
/// Number of crashes after which a request is refused. Suspects never run beside each other, so a
/// second crash identifies the one that causes them.
const MAX_CRASHES: usize = 2;
/// Lower and upper bound of retry-after, in seconds.
const RETRY_AFTER_RANGE_S: (f64, f64) = (0.2, 60.0);

/// Attempt of a request at an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent_at: Duration,
    /// Time of the last delivery; none before the first byte.
    pub(crate) last_delivery: Option<Duration>,
    /// Whether the request was a suspect when it was sent.
    pub(crate) suspect: bool,
}

/// Request between arrival and final answer.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) job: Job,
    /// Its present attempt; none while it waits.
    pub(crate) attempt: Option<Attempt>,
    pub(crate) attempts: u32,
    pub(crate) tried: Vec<EndpointId>,
    /// Tokens delivered over all attempts.
    pub(crate) delivered: u64,
    /// Slot-seconds charged to its caller.
    pub(crate) work: f64,
    /// Whether it is much longer than the mean.
    pub(crate) is_long: bool,
    /// Whether an attempt may have been executed.
    pub(crate) may_have_run: bool,
}

/// All requests and endpoints of one entry.
pub struct Flow {
    pub(crate) pool: Pool,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) queue: Queue,
    pub(crate) shares: Shares,
    pub(crate) lengths: Lengths,
    pub(crate) prefix: Index,
    pub(crate) quarantine: Quarantine,
    pub(crate) budget: Budget,
    /// Number of replicas of each model in the configuration.
    copies: BTreeMap<ModelId, u32>,
    /// Deadlines of all open requests.
    pub(crate) deadlines: BTreeSet<(Duration, RequestId)>,
    /// Moving average of the seconds for which a request occupies a slot.
    pub(crate) mean_work: f64,
    /// Arrival time of the last request that is neither long nor batch.
    last_short: Option<Duration>,
    tables_checked: Duration,
    queue_checked: Duration,
    pub(crate) now: Duration,
    pub(crate) rng: SmallRng,
}

impl Flow {
    /// Returns a flow without endpoints and requests.
    pub fn new(home: Location, seed: u64) -> Self {
        Flow {
            pool: Pool::new(home, xxh3_64(&seed.to_le_bytes())),
            requests: BTreeMap::new(),
            queue: Queue::default(),
            shares: Shares::default(),
            lengths: Lengths::default(),
            prefix: Index::default(),
            quarantine: Quarantine::new(MAX_CRASHES),
            budget: Budget::default(),
            copies: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            mean_work: 0.0,
            last_short: None,
            tables_checked: Duration::ZERO,
            queue_checked: Duration::ZERO,
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Applies a configuration.
    pub fn configure(&mut self, config: Snapshot) {
        self.copies.clear();
        for service in config.services {
            self.shares.set_weight(&service.name, service.class, service.share);
            let models = service.models.into_iter();
            self.copies.extend(models.map(|model| (model.name, model.copies)));
        }
    }

    /// Applies one event and returns the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = now;
        let mut actions = Vec::new();
        match event {
            Event::Arrived(job) => self.on_arrival(now, job, &mut actions),
            Event::Progress(id, tokens) => self.on_progress(now, id, tokens),
            Event::Finished(id) => self.on_finished(now, id, &mut actions),
            Event::Failed { request, error, delivered } => {
                self.on_failed(now, request, &error, delivered, &mut actions);
            }
            Event::HungUp(id) => self.on_hangup(now, id, &mut actions),
            Event::Reported(id, report) => {
                if self.pool.on_report(now, &id, report) {
                    self.refresh_queue(now, &mut actions);
                }
            }
            Event::Load(id, running, waiting) => self.pool.on_load(now, &id, running, waiting),
            Event::Leaving(id) => {
                self.pool.set_leaving(&id);
                self.refresh_queue(now, &mut actions);
            }
            Event::Listed(instances) => {
                self.pool.on_instances(now, instances);
                self.recount();
                self.refresh_queue(now, &mut actions);
            }
            Event::Quarantined(fingerprint, period) => {
                self.quarantine.add_from_peer(now, fingerprint, period);
            }
            Event::Digest(entry, digest) => self.pool.on_digest(entry, digest),
            Event::Cached { endpoint, stored, dropped, gap } => {
                if gap {
                    self.prefix.on_gap(endpoint);
                }
                self.prefix.on_dropped(endpoint, &dropped);
                self.prefix.on_stored(endpoint, &stored);
            }
        }
        actions
    }

    /// Performs the work that is due at `now` and returns the resulting actions.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.now = now;
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        if now >= self.tables_checked + TABLE_CHECK_INTERVAL {
            self.tables_checked = now;
            self.shares.tick(now);
            self.quarantine.tick(now);
            self.pool.eject_slow(now);
            self.pool.forget_speeds(now);
        }
        if !self.queue.is_empty() && now >= self.queue_checked + QUEUE_CHECK_INTERVAL {
            self.queue_checked = now;
            self.refresh_queue(now, &mut actions);
            self.prune(now, &mut actions);
        }
        actions
    }

    /// Returns the endpoints whose reports are needed.
    pub fn endpoints(&self) -> Vec<EndpointId> {
        self.pool.rows().iter().map(|row| row.instance.address).collect()
    }

    /// Returns the latest time for the next `tick`; none if only events can change anything.
    pub fn next_tick(&self, now: Duration) -> Option<Duration> {
        let deadline = self.deadlines.first().map(|(due, _)| *due);
        let next_check = if self.queue.is_empty() {
            self.tables_checked + TABLE_CHECK_INTERVAL
        } else {
            self.queue_checked + QUEUE_CHECK_INTERVAL
        };
        if self.requests.is_empty() {
            return None;
        }
        Some(deadline.map_or(next_check, |due| due.min(next_check)).max(now))
    }

    /// Returns the number of this entry's requests at each endpoint, for its peers.
    pub fn digest(&self) -> Vec<(EndpointId, u32)> {
        let busy = self.pool.rows().iter().filter(|row| row.running > 0);
        busy.map(|row| (row.instance.address, row.running)).collect()
    }

    fn on_arrival(&mut self, now: Duration, job: Job, actions: &mut Vec<Action>) {
        let id = job.id;
        if let Some(refused_for) = self.quarantine.remaining(now, job.fingerprint) {
            actions.push(Action::Refuse(id, Refusal::Quarantined(refused_for)));
            return;
        }
        let (work, is_measured) = self.work(now, &job, 0.0);
        let is_long = is_measured && self.mean_work > 0.0 && work > LONG_RATIO * self.mean_work;
        if is_measured {
            self.mean_work += 0.05 * (work - self.mean_work);
        }
        if !is_long && job.class != Class::Batch {
            self.last_short = Some(now);
        }
        self.deadlines.insert((job.deadline, id));
        let open = Request {
            job,
            attempt: None,
            attempts: 0,
            tried: Vec::new(),
            delivered: 0,
            work,
            is_long,
            may_have_run: false,
        };
        self.requests.insert(id, open);
        self.send_or_wait(now, id, actions);
    }

    /// Sends a request that has no attempt in progress, or lets it wait for a slot.
    pub(crate) fn send_or_wait(&mut self, now: Duration, id: RequestId, actions: &mut Vec<Action>) {
        if !self.try_send(now, id, actions) {
            self.enqueue(now, id, actions);
        }
    }

    /// Sends a request to an endpoint, or refuses it. Returns false if it has to wait.
    pub(crate) fn try_send(
        &mut self,
        now: Duration,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(open) = self.requests.get(&id) else {
            return true;
        };
        let job = &open.job;
        let saw_short = self.last_short.is_some_and(|arrival| now < arrival + YIELD_WINDOW);
        let promoted = self.queue.get(id).is_some_and(|row| row.promoted);
        let (pool, queue) = (&self.pool, &self.queue);
        let suspect = self.quarantine.is_suspect(job.fingerprint);
        let requirements = Requirements {
            job,
            tokens: self.lengths.tokens(&job.service, job.max_tokens, 0.0),
            tried: &open.tried,
            avoids_suspects: suspect,
            // A model with one replica has no other one to wait for.
            avoids_last_replica: suspect && self.replicas(&job.target) > 1,
            leaves_headroom: saw_short && !promoted && (open.is_long || job.class == Class::Batch),
            wait_seconds: &|| backlog::expected_wait(now, pool, queue, job),
            cached: self.prefix.longest_match(&job.prefix_hashes),
        };
        let (choice, spilled) = route::choose(now, pool, &requirements, &mut self.rng);
        let choice = match choice {
            Choice::Send(position) if self.has_urgent_waiter(job.class, promoted, position) => {
                Choice::Wait
            }
            choice => choice,
        };
        let late = match choice {
            Choice::Send(position) => self.needed_if_late(now, id, &requirements, position),
            Choice::Wait | Choice::None => None,
        };
        if pool.group(&job.target).is_some_and(|group| group.spilled != spilled) {
            let target = job.target.clone();
            self.pool.set_spilled(&target, spilled);
        }
        match (choice, late) {
            (Choice::Wait, _) => return false,
            (Choice::Send(position), None) => self.dispatch(now, id, position, actions),
            (Choice::Send(_), Some(needed)) => {
                let delay = self.retry_after(needed);
                self.refuse(now, id, Refusal::Late(delay), actions);
            }
            (Choice::None, _) => {
                let delay = self.retry_after(1.0);
                self.refuse(now, id, Refusal::Unreachable(delay), actions);
            }
        }
        true
    }

    /// Returns the configured number of replicas of a target.
    fn replicas(&self, target: &Target) -> u32 {
        match target {
            Target::Model(model, _) => self.copies.get(model).copied().unwrap_or(1),
            Target::Service(_) => 1,
        }
    }

    /// Returns the seconds that a request needs at an endpoint if they exceed the time it has left.
    /// While no other request waits, an attempt costs nothing, so only a request that can't
    /// possibly end in time is refused.
    fn needed_if_late(
        &self,
        now: Duration,
        id: RequestId,
        requirements: &Requirements<'_>,
        position: usize,
    ) -> Option<f64> {
        let row = self.pool.row(position);
        let job = requirements.job;
        let only_waiting = self.queue.rows().iter().all(|row| row.id == id);
        let min_tokens = self.lengths.tokens(&job.service, job.max_tokens, LOWER_BOUND_DEVIATIONS);
        let needed = requirements
            .run_seconds_for(row, if only_waiting { min_tokens } else { requirements.tokens });
        let late = now + Duration::from_secs_f64(needed) > job.deadline;
        let late = now >= job.deadline || (row.timing.samples > 0 && late);
        late.then_some(needed)
    }

    /// Returns the seconds for which a request occupies a slot, and whether this is based on
    /// observations.
    pub(crate) fn work(&self, now: Duration, job: &Job, deviations: f64) -> (f64, bool) {
        let tokens = self.lengths.tokens(&job.service, job.max_tokens, deviations);
        let rows = self.pool.nearest(now, &job.target);
        let most_observed = rows
            .iter()
            .map(|position| &self.pool.row(*position).timing)
            .max_by_key(|row_timing| row_timing.samples);
        most_observed.map_or((1.0, false), |row_timing| {
            (row_timing.run_seconds(f64::from(job.prompt_tokens), tokens), row_timing.samples > 0)
        })
    }

    /// Returns the retry-after of a refused caller, with jitter so that callers don't all return at
    /// the same time.
    pub(crate) fn retry_after(&mut self, seconds: f64) -> Duration {
        let jitter = self.rng.random_range(1.0..1.3);
        Duration::from_secs_f64(
            (seconds * jitter).clamp(RETRY_AFTER_RANGE_S.0, RETRY_AFTER_RANGE_S.1),
        )
    }

    fn dispatch(
        &mut self,
        now: Duration,
        id: RequestId,
        position: usize,
        actions: &mut Vec<Action>,
    ) {
        self.queue.remove(id);
        let endpoint = self.pool.row(position).instance.address;
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let suspect = self.quarantine.is_suspect(open.job.fingerprint);
        if open.attempts == 0 {
            self.budget.on_first_attempt();
            self.shares.charge(now, &open.job, open.work);
        }
        open.attempts += 1;
        open.attempt = Some(Attempt { endpoint, sent_at: now, last_delivery: None, suspect });
        self.prefix.on_stored(endpoint, &open.job.prefix_hashes);
        if let Some(row) = self.pool.get_mut(&endpoint) {
            row.on_sent(now);
            row.suspects += u32::from(suspect);
        }
        actions.push(Action::Dispatch(id, endpoint));
    }

    /// Refuses a request as its final answer.
    pub(crate) fn refuse(
        &mut self,
        now: Duration,
        id: RequestId,
        refusal: Refusal,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.close(now, id) else {
            return;
        };
        let refusal = match refusal {
            Refusal::Failed(..) => refusal,
            // An earlier attempt may have been executed, so the refusal can't state that it wasn't.
            Refusal::Overloaded(delay)
            | Refusal::Late(delay)
            | Refusal::Unreachable(delay)
            | Refusal::Quarantined(delay)
                if open.may_have_run =>
            {
                Refusal::Failed(Outcome::Unknown, Some(delay))
            }
            refusal => refusal,
        };
        actions.push(Action::Refuse(id, refusal));
    }

    /// Removes a request, whether it waits or runs, and corrects the work charged to its caller.
    pub(crate) fn close(&mut self, now: Duration, id: RequestId) -> Option<Request> {
        let mut open = self.requests.remove(&id)?;
        self.deadlines.remove(&(open.job.deadline, id));
        self.queue.remove(id);
        if let Some(attempt) = open.attempt.take() {
            self.release(&attempt);
            let occupied = (now - attempt.sent_at).as_secs_f64();
            let correction = occupied - open.work;
            self.shares.charge(now, &open.job, correction);
        }
        Some(open)
    }

    /// Removes an attempt from its endpoint's row.
    pub(crate) fn release(&mut self, attempt: &Attempt) {
        if let Some(row) = self.pool.get_mut(&attempt.endpoint) {
            row.running = row.running.saturating_sub(1);
            row.suspects = row.suspects.saturating_sub(u32::from(attempt.suspect));
        }
    }

    /// Sets the number of this entry's requests at each endpoint after the rows were rebuilt.
    fn recount(&mut self) {
        let in_flight: Vec<(EndpointId, bool)> = self
            .requests
            .values()
            .filter_map(|open| {
                open.attempt.as_ref().map(|attempt| (attempt.endpoint, attempt.suspect))
            })
            .collect();
        self.pool.recount(&in_flight);
    }
}
