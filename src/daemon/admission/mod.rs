//! Finds an endpoint for a request, and queues the request while it has to wait for one.
//!
//! For a request to a model engine the broker of its region decides (`broker`), and queues it if
//! necessary. The daemon decides by itself if the broker does not answer, for plain services, and
//! while there are so few daemons that every send can be announced to each of them.

mod queue;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smol::Timer;
use smol::channel::Receiver;
use smol::future::FutureExt;
use xxhash_rust::xxh3::Xxh3;

pub use self::queue::Assignment;
pub use self::queue::Recipient;
use self::queue::WaitEnd;
pub use self::queue::Waiter;
pub use self::queue::Waits;
use self::queue::completion_rate;
pub use self::queue::dequeue;
pub use self::queue::dispatch;
pub use self::queue::dispatch_at;
use self::queue::dispatch_class_at;
pub use self::queue::dispatch_own_at;
pub use self::queue::enqueue;
use self::queue::expected_slots;
pub use self::queue::pool;
use self::queue::record_wait;
pub use self::queue::refuse_hopeless;
pub use self::queue::summaries;
use crate::daemon::Daemon;
use crate::daemon::broker;
use crate::daemon::broker::Failure;
use crate::daemon::broker::Terms;
use crate::daemon::clock;
use crate::daemon::exchange;
use crate::daemon::front::Job;
use crate::daemon::gate;
use crate::daemon::gate::Call;
use crate::daemon::gate::Closed;
use crate::daemon::journal::Event;
use crate::daemon::peer;
use crate::decide::broker::Ticket;
use crate::decide::endpoint::End;
use crate::decide::endpoint::Exclusion;
use crate::decide::endpoint::Requirements;
use crate::decide::fleet::Choice;
use crate::decide::memory::Holder;
use crate::decide::speed::Estimate;
use crate::decide::wait_policy;
use crate::decide::wait_policy::Cause;
use crate::decide::wait_policy::Request;
use crate::decide::wait_policy::Shortage;
use crate::decide::wait_policy::Verdict;
use crate::decide::wait_queue::Class;
use crate::decide::wait_queue::Place;
use crate::edge::dialect::Load;
use crate::edge::dialect::Part;
use crate::table::AdapterId;
use crate::table::ModelId;
use crate::table::RegionId;
use crate::table::RequestId;
use crate::table::ServiceId;
use crate::table::SoftwareVersion;
use crate::table::instance::Key;

/// Time that an order for a model takes in addition to the load: until the placer has received the
/// demand, and the order has reached the engine.
const ORDER_OVERHEAD: Duration = Duration::from_millis(600);

/// Brokers asked for one grant: the first one, the next one if that does not answer, and the one of
/// the region that the request is redirected to.
const MAX_BROKERS_ASKED: u32 = 3;

/// Endpoints chosen for one request that turn out to take no call now.
const MAX_CLOSED_TRIES: u32 = 4;

/// Retry-after of a request that has waited without success: a round of orders is complete by then.
const WAIT_TIMEOUT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Refusal code of a request that is larger than the memory of any engine of its service.
pub const TOO_LARGE: &str = "too_large";
/// Retry-after of such a request, which only another configuration could change.
pub const TOO_LARGE_RETRY_AFTER: Duration = Duration::from_secs(60);

/// What a request requires of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    /// The service chosen by the route's traffic split.
    pub service: ServiceId,
    /// The model, if the request names one.
    pub model: Option<ModelId>,
    /// The adapter of that model.
    pub adapter: Option<AdapterId>,
    /// Whether the service consists of model engines.
    pub engine_service: bool,
    /// Number of adapters that one engine of the service can have resident.
    pub adapter_slots: u32,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Leading parts of the prompt, for the reuse of cached prefixes.
    pub parts: Vec<Part>,
    /// Longest pause allowed between two events of the stream.
    pub max_pause: Option<Duration>,
    /// Time within which the answer, or its first byte, is on time.
    pub target_latency: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// What else decides on its place among those that wait, and on the memory that it needs.
    pub terms: Terms,
    /// Hash of service, model and adapter: equal for requests with equal requirements.
    pub class: Class,
}

impl Spec {
    /// Returns whether a broker decides on the request.
    pub fn needs_broker(&self) -> bool {
        self.engine_service && self.model.is_some()
    }

    /// Returns the tokens that an engine has to hold.
    pub fn tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.terms.output_tokens)
    }

    /// Returns the requirements of an endpoint, excluding those in `tried`.
    pub fn requirements<'a>(&'a self, tried: &'a [Key]) -> Requirements<'a> {
        Requirements {
            service: &self.service,
            model: self.model.as_deref(),
            adapter: self.adapter.as_deref(),
            adapter_slots: self.adapter_slots,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.terms.output_tokens,
            parts: &self.parts,
            max_pause: self.max_pause,
            tried,
            excluded: None,
            required_region: None,
            software: None,
        }
    }
}

/// Returns the hasher of a request class; its digest identifies the class.
pub fn class_hasher(service: &str, model: Option<&str>, adapter: Option<&str>) -> Xxh3 {
    let mut hasher = Xxh3::new();
    hasher.update(service.as_bytes());
    for text in [model, adapter].into_iter().flatten() {
        hasher.update(&[0]);
        hasher.update(text.as_bytes());
    }
    hasher
}

/// A request that needs an endpoint.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Unique among the requests in this daemon's queue.
    pub number: RequestId,
    /// What it requires.
    pub spec: Rc<Spec>,
    /// When it arrived.
    pub arrived_at: Duration,
    /// When it has to be answered.
    pub deadline: Duration,
    /// Endpoints at which it failed.
    pub tried: Vec<Key>,
    /// Endpoints that its daemon does not call; none if that is this daemon, whose own view of the
    /// endpoints counts.
    pub excluded: Option<Vec<Exclusion>>,
    /// The region to which the broker of another region redirected it.
    pub required_region: Option<RegionId>,
    /// Version of the software that sent the events of the stream that it continues, if any.
    pub software: Option<SoftwareVersion>,
}

impl Arrival {
    /// Returns the hash of what it requires: requests with equal requirements wait for the same
    /// endpoints.
    pub fn class(&self) -> Class {
        let Some(software) = &self.software else {
            return self.spec.class;
        };
        let mut hasher = Xxh3::with_seed(self.spec.class);
        hasher.update(software.as_bytes());
        hasher.digest()
    }

    /// Returns what decides on how long it waits.
    fn request(&self, daemon: &Daemon) -> Request {
        let completions = daemon.completions.borrow();
        Request {
            arrived_at: self.arrived_at,
            target_latency: self.spec.target_latency,
            deadline: self.deadline,
            slot_time: completions.slot_time(&self.spec.service, self.spec.terms.output_tokens),
            first_event_by: self.first_event_by(),
        }
    }

    /// Returns when its caller leaves without a first event. A caller that has waited for longer has
    /// events of the stream already, and waits as long for the next one.
    fn first_event_by(&self) -> Option<Duration> {
        let (now, patience) = (clock::now(), self.spec.terms.patience?);
        // Another daemon may have stated any time.
        let by = self.arrived_at.saturating_add(patience);
        Some(if now < by { by } else { now.saturating_add(patience) })
    }

    /// Returns its place in the queue.
    fn place(&self, daemon: &Daemon, now: Duration, request: &Request) -> Place {
        let (service, terms) = (&self.spec.service, &self.spec.terms);
        Place {
            priority: self.spec.priority,
            route_priority: terms.route_priority,
            share: daemon.shares.borrow().rank(now, service, &terms.team),
            late_from: request.late_from(),
            arrived_at: self.arrived_at,
        }
    }

    /// Returns the requirements of an endpoint, excluding those in `tried`.
    fn requirements<'a>(&'a self, tried: &'a [Key]) -> Requirements<'a> {
        Requirements {
            excluded: self.excluded.as_deref(),
            required_region: self.required_region.as_ref(),
            software: self.software.as_deref(),
            ..self.spec.requirements(tried)
        }
    }
}

/// Decision on an arrival.
pub enum Decision {
    /// Send it to this endpoint.
    Send(Key),
    /// Ask the broker of this region, which has capacity.
    OtherRegion(RegionId),
    /// Queue it: until when at most, for which cause, and behind how many requests.
    Wait(Duration, Cause, usize),
    /// Refuse it.
    Refuse(Refusal),
}

/// Why no endpoint was found.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Refusal code.
    pub reason: &'static str,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
    /// What was short, if that is known.
    pub shortage: Option<Shortage>,
}

impl Refusal {
    /// Returns a refusal without a known shortage.
    pub fn new(reason: &'static str, retry_after: Duration) -> Self {
        Refusal { reason, retry_after, shortage: None }
    }
}

/// A request's permit to use an endpoint; released when dropped.
pub struct Permit {
    daemon: Rc<Daemon>,
    /// The endpoint.
    pub key: Key,
    /// Estimated prefill time of the prompt there.
    pub estimate: Estimate,
    /// Address of the broker that granted the permit, and the ticket; none without a broker.
    broker: Option<(SocketAddr, Ticket)>,
    spec: Rc<Spec>,
    issued_at: Duration,
    /// Slot time that its team was charged with.
    charged: Duration,
    /// Tokens that the endpoint holds for the request.
    tokens: u32,
    load: Cell<Option<Load>>,
    end: Cell<End>,
}

impl Permit {
    /// Records the load that the endpoint has reported.
    pub fn on_load_report(&self, load: Load) {
        self.load.set(Some(load));
    }

    /// Returns the percentage of its usual time that work takes, as the endpoint has reported.
    pub fn work_percent(&self) -> Option<u32> {
        self.load.get()?.work_time.percent()
    }

    /// Reports to the broker that the first byte of the answer arrived `took` after the send,
    /// without the round trip to the endpoint.
    pub fn record_first_byte(&self, took: Duration) {
        if let Some((broker, ticket)) = self.broker {
            broker::report_first_byte(&self.daemon, broker, ticket, took, self.load.get());
        }
    }

    /// Sets how the request ends; without a call it counts as completed.
    pub fn set_end(&self, end: End) {
        self.end.set(end);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        end_request(&self.daemon, &self.key, self.tokens);
        if let Some((broker, ticket)) = self.broker {
            broker::report_end(&self.daemon, broker, ticket, &self.key, self.end.get());
        }
        let (now, end) = (clock::now(), self.end.get());
        record_slot_time(&self.daemon, now, &self.spec, self.issued_at, self.charged, end);
        dispatch_at(&self.daemon, &self.key);
        exchange::offer_unused(&self.daemon, &self.key, &self.spec);
    }
}

/// Guard of a queued request: when dropped, removes the request from the queue and releases an
/// endpoint that was assigned meanwhile.
struct Guard {
    daemon: Rc<Daemon>,
    arrival: Rc<Arrival>,
    assignments: Receiver<Assignment>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        dequeue(&self.daemon, &self.arrival);
        if let Ok(Assignment::Endpoint(key, estimate)) = self.assignments.try_recv() {
            let permit = permit(&self.daemon, &self.arrival.spec, key, estimate, None);
            permit.set_end(End::Unused);
        }
    }
}

/// Charges the team of a request that is sent with its expected slot time, and returns that time.
pub fn charge(daemon: &Daemon, now: Duration, spec: &Spec) -> Duration {
    let slot_time = daemon.completions.borrow().slot_time(&spec.service, spec.terms.output_tokens);
    let mut shares = daemon.shares.borrow_mut();
    shares.charge(now, &spec.service, &spec.terms.team, slot_time.as_secs_f64());
    slot_time
}

/// Records for how long a request that was sent at `sent_at` has occupied a slot; `charged` is the
/// time that its team was charged with.
pub fn record_slot_time(
    daemon: &Daemon,
    now: Duration,
    spec: &Spec,
    sent_at: Duration,
    charged: Duration,
    end: End,
) {
    let slot_time = now.saturating_sub(sent_at);
    let work = (charged.as_secs_f64(), slot_time.as_secs_f64());
    daemon.shares.borrow_mut().settle(now, &spec.service, &spec.terms.team, sent_at, work);
    if end == End::Completed {
        let mut completions = daemon.completions.borrow_mut();
        completions.record_slot_time(&spec.service, spec.terms.output_tokens, slot_time);
    }
}

fn permit(
    daemon: &Rc<Daemon>,
    spec: &Rc<Spec>,
    key: Key,
    estimate: Estimate,
    broker: Option<(SocketAddr, Ticket)>,
) -> Permit {
    let now = clock::now();
    Permit {
        daemon: daemon.clone(),
        key,
        estimate,
        broker,
        spec: spec.clone(),
        issued_at: now,
        charged: charge(daemon, now, spec),
        tokens: spec.tokens(),
        load: Cell::default(),
        end: Cell::default(),
    }
}

/// Records the end of a request of this daemon.
fn end_request(daemon: &Daemon, key: &Key, tokens: u32) {
    let mut fleet = daemon.fleet.borrow_mut();
    fleet.end_request(key);
    fleet.unhold(key, Holder::Own, tokens);
}

fn select(
    daemon: &Daemon,
    now: Duration,
    requirements: &Requirements<'_>,
    is_engine: bool,
) -> Choice {
    daemon.fleet.borrow().choose(now, requirements, is_engine, &mut daemon.rng.borrow_mut())
}

fn choose(daemon: &Daemon, now: Duration, arrival: &Arrival) -> Choice {
    let is_engine = arrival.spec.engine_service;
    match select(daemon, now, &arrival.requirements(&arrival.tried), is_engine) {
        // All endpoints were tried: a second attempt at one of them is better than none, as only
        // requests that may run again get here.
        Choice::Full if !arrival.tried.is_empty() => {
            select(daemon, now, &arrival.requirements(&[]), is_engine)
        }
        choice => choice,
    }
}

/// Returns the region whose broker grants the use of an endpoint, if that is another region than
/// this daemon's and its broker is available.
pub fn broker_region(daemon: &Daemon, arrival: &Arrival, key: &Key) -> Option<RegionId> {
    if arrival.required_region.is_some() || !arrival.spec.needs_broker() {
        return None;
    }
    let region = {
        let fleet = daemon.fleet.borrow();
        fleet.region_of(&fleet.get(key)?.instance.data_center)
    };
    let in_other_region = region != daemon.settings.region;
    (in_other_region && broker::address(daemon, &arrival.spec.service, &region).is_some())
        .then_some(region)
}

/// Returns whether any endpoint other than `excluded` accepts a job now.
pub fn has_alternative(daemon: &Daemon, now: Duration, job: &Job, excluded: &Key) -> bool {
    let requirements = Requirements {
        software: job.software.get().map(String::as_str),
        ..job.spec.requirements(std::slice::from_ref(excluded))
    };
    matches!(select(daemon, now, &requirements, job.spec.engine_service), Choice::Send(_))
}

/// Records a local request as started at an endpoint, and announces it to other daemons.
fn start_locally(daemon: &Rc<Daemon>, now: Duration, spec: &Spec, key: &Key) -> Estimate {
    let estimate = {
        let mut fleet = daemon.fleet.borrow_mut();
        let estimate = fleet.estimate(now, key, &spec.requirements(&[]));
        fleet.start_request(now, key, &spec.parts, estimate.own_prefill);
        fleet.hold(key, Holder::Own, spec.tokens());
        estimate
    };
    if spec.engine_service {
        peer::announce_prompt(daemon, key, estimate.own_prefill);
    }
    estimate
}

/// What is to be done with an arrival, before anything is changed.
pub enum Evaluation {
    /// It can be sent to this endpoint now.
    Send(Key),
    /// It can't be sent now.
    Hold {
        /// What the endpoints allow.
        choice: Choice,
        /// How many requests wait before it.
        ahead: usize,
        /// Why it can't be sent.
        cause: Cause,
        /// Whether it waits.
        verdict: Verdict,
    },
}

/// Evaluates an arrival. Only the random number generator is changed.
pub fn evaluate(daemon: &Daemon, now: Duration, arrival: &Arrival) -> Evaluation {
    let request = arrival.request(daemon);
    let place = arrival.place(daemon, now, &request);
    let own_ahead = daemon.queue.borrow().ahead(now, arrival.class(), &place);
    let choice = match choose(daemon, now, arrival) {
        Choice::Send(key) if own_ahead == 0 => return Evaluation::Send(key),
        choice => choice,
    };
    let ahead = own_ahead + exchange::ahead(daemon, now, &arrival.spec, arrival.class(), &place);
    let cause = refusal_cause(daemon, now, arrival, &choice, ahead);
    let verdict = wait_policy::decide(now, &request, cause, &mut daemon.rng.borrow_mut());
    Evaluation::Hold { choice, ahead, cause, verdict }
}

/// Decides on an arrival, and requests the adapter load or the dispatch that it has to wait for.
pub fn decide(daemon: &Rc<Daemon>, now: Duration, arrival: &Arrival) -> Decision {
    daemon.completions.borrow_mut().record_arrival(now, arrival.spec.class);
    let place = arrival.place(daemon, now, &arrival.request(daemon));
    let (choice, ahead, cause, verdict) = loop {
        match evaluate(daemon, now, arrival) {
            Evaluation::Send(key) => {
                if exchange::offer_before(daemon, now, &arrival.spec, &place, &key) {
                    continue;
                }
                let Some(region) = broker_region(daemon, arrival, &key) else {
                    return Decision::Send(key);
                };
                daemon.fleet.borrow_mut().expect_grant(&key);
                return Decision::OtherRegion(region);
            }
            Evaluation::Hold { choice, ahead, cause, verdict } => {
                break (choice, ahead, cause, verdict);
            }
        }
    };
    if let Choice::Delay(span) | Choice::Limited(span) | Choice::Backoff(span) = choice {
        dispatch_class_at(daemon, arrival.class(), now + span);
    }
    match verdict {
        Verdict::Refuse(retry_after) => {
            let shortage = Some(cause.shortage());
            Decision::Refuse(Refusal { reason: refusal_reason(&choice), retry_after, shortage })
        }
        Verdict::Wait(until) => {
            if let Choice::LoadAdapter(key) = &choice {
                peer::send_adapter_request(daemon, key, &arrival.spec);
            }
            Decision::Wait(until.min(arrival.deadline), cause, ahead)
        }
    }
}

/// Returns the refusal of an arrival that has waited without success.
pub fn timeout_refusal(daemon: &Daemon, arrival: &Arrival, shortage: Option<Shortage>) -> Refusal {
    late_refusal(daemon, "waited", arrival.deadline, shortage)
}

/// Returns the refusal of a request that could not be sent for some time.
fn late_refusal(
    daemon: &Daemon,
    reason: &'static str,
    deadline: Duration,
    shortage: Option<Shortage>,
) -> Refusal {
    let left = deadline.saturating_sub(clock::now());
    let retry_after =
        wait_policy::retry_after(left, WAIT_TIMEOUT_RETRY_AFTER, &mut daemon.rng.borrow_mut());
    Refusal { reason, retry_after, shortage }
}

/// Finds an endpoint for a job, waiting as long as that can help.
pub async fn find(daemon: &Rc<Daemon>, job: &Rc<Job>, tried: &[Key]) -> Result<Permit, Refusal> {
    let requirements = job.spec.requirements(&[]);
    let is_engine = job.spec.engine_service;
    if is_engine
        && daemon.fleet.borrow().memory.is_too_large(&job.spec.service, requirements.tokens())
    {
        return Err(Refusal::new(TOO_LARGE, TOO_LARGE_RETRY_AFTER));
    }
    let mut excluded = tried.to_vec();
    let mut last_closed = Closed::Limited;
    for _ in 0..MAX_CLOSED_TRIES {
        let permit = find_candidate(daemon, job, &excluded).await?;
        let left = job.deadline.saturating_sub(clock::now());
        let timeout = async {
            Timer::after(left).await;
            Err(Closed::Limited)
        };
        match gate::acquire(daemon, &permit.key, Call::Request).or(timeout).await {
            Ok(()) => return Ok(permit),
            Err(closed) => last_closed = closed,
        }
        // A broker may not know what the endpoint has stated and choose it again.
        excluded.push(permit.key.clone());
        permit.set_end(End::Limited);
    }
    let shortage = match last_closed {
        Closed::Leaving => Shortage::Endpoint,
        Closed::Backoff => Shortage::Backoff,
        Closed::Limited => Shortage::Limit,
    };
    Err(late_refusal(daemon, last_closed.into(), job.deadline, Some(shortage)))
}

async fn find_candidate(
    daemon: &Rc<Daemon>,
    job: &Rc<Job>,
    tried: &[Key],
) -> Result<Permit, Refusal> {
    let mut arrival = Arrival {
        number: daemon.next_request_number(),
        spec: job.spec.clone(),
        arrived_at: job.arrived_at,
        deadline: job.deadline,
        tried: tried.to_vec(),
        excluded: None,
        required_region: None,
        software: job.software.get().cloned(),
    };
    let mut next_broker = broker::address_for(daemon, &job.spec);
    for _ in 0..MAX_BROKERS_ASKED {
        let Some(addr) = next_broker else {
            break;
        };
        match broker::request_grant(daemon, addr, &arrival).await {
            Ok(broker::Answer::Granted(ticket, key, estimate)) => {
                return Ok(accept_grant(daemon, &job.spec, addr, ticket, key, estimate));
            }
            Ok(broker::Answer::Redirected(region)) => {
                next_broker = broker::address(daemon, &job.spec.service, &region);
                arrival.required_region = Some(region);
            }
            Err(Failure::Refused(refusal)) => return Err(refusal),
            Err(Failure::Unresponsive) => {
                next_broker = broker::address_for(daemon, &job.spec);
                arrival.required_region = None;
            }
        }
    }
    find_locally(daemon, job, arrival).await
}

/// Records the start of a request that a broker has granted, and returns its permit.
fn accept_grant(
    daemon: &Rc<Daemon>,
    spec: &Rc<Spec>,
    addr: SocketAddr,
    ticket: Ticket,
    key: Key,
    estimate: Estimate,
) -> Permit {
    {
        let mut fleet = daemon.fleet.borrow_mut();
        fleet.start_request(clock::now(), &key, &spec.parts, estimate.own_prefill);
        fleet.hold(&key, Holder::Own, spec.tokens());
    }
    permit(daemon, spec, key, estimate, Some((addr, ticket)))
}

/// Finds an endpoint by this daemon's own state.
async fn find_locally(daemon: &Rc<Daemon>, job: &Job, arrival: Arrival) -> Result<Permit, Refusal> {
    let now = clock::now();
    // The local decision considers all regions.
    let arrival = Rc::new(Arrival { required_region: None, ..arrival });
    match decide(daemon, now, &arrival) {
        Decision::Send(key) => {
            let estimate = start_locally(daemon, now, &arrival.spec, &key);
            Ok(permit(daemon, &arrival.spec, key, estimate, None))
        }
        Decision::Refuse(refusal) => Err(refusal),
        Decision::OtherRegion(region) => find_in_region(daemon, &arrival, region).await,
        Decision::Wait(until, cause, ahead) => {
            daemon.note(&Event::Waits {
                request: job.caller.id.clone(),
                cause: format!("{cause:?}"),
                until: until.saturating_sub(now).as_millis() as u64,
                ahead,
            });
            wait_in_queue(daemon, &arrival, until, cause.shortage()).await
        }
    }
}

/// Asks the broker of another region that has capacity; without its answer the request is refused.
async fn find_in_region(
    daemon: &Rc<Daemon>,
    arrival: &Arrival,
    region: RegionId,
) -> Result<Permit, Refusal> {
    let Some(addr) = broker::address(daemon, &arrival.spec.service, &region) else {
        return Err(timeout_refusal(daemon, arrival, None));
    };
    let arrival = Arrival { required_region: Some(region), ..arrival.clone() };
    match broker::request_grant(daemon, addr, &arrival).await {
        Ok(broker::Answer::Granted(ticket, key, estimate)) => {
            Ok(accept_grant(daemon, &arrival.spec, addr, ticket, key, estimate))
        }
        Err(Failure::Refused(refusal)) => Err(refusal),
        Ok(broker::Answer::Redirected(_)) | Err(Failure::Unresponsive) => {
            Err(timeout_refusal(daemon, &arrival, None))
        }
    }
}

async fn wait_in_queue(
    daemon: &Rc<Daemon>,
    arrival: &Rc<Arrival>,
    until: Duration,
    shortage: Shortage,
) -> Result<Permit, Refusal> {
    let span = until.saturating_sub(clock::now());
    let (sender, receiver) = smol::channel::bounded(1);
    enqueue(daemon, arrival, Recipient::Local(sender), shortage, until);
    let guard = Guard { daemon: daemon.clone(), arrival: arrival.clone(), assignments: receiver };
    let assigned = async { guard.assignments.recv().await.ok() };
    let timeout = async {
        Timer::after(span).await;
        None
    };
    // A request that waits for the prefill of other prompts is refused here too. If it were sent,
    // it would soon be answered itself, but its prefill would pause every stream at the engine;
    // with one such request after another, the pauses would last as long as the burst.
    match assigned.or(timeout).await {
        Some(Assignment::Endpoint(key, estimate)) => {
            Ok(permit(daemon, &arrival.spec, key, estimate, None))
        }
        Some(Assignment::Refused(refusal)) => Err(refusal),
        Some(Assignment::OtherRegion(region)) => find_in_region(daemon, arrival, region).await,
        None => {
            record_wait(daemon, clock::now(), arrival, WaitEnd::Expired);
            Err(timeout_refusal(daemon, arrival, Some(shortage)))
        }
    }
}

/// Returns the code with which an arrival is refused.
pub fn refusal_reason(choice: &Choice) -> &'static str {
    match choice {
        Choice::Send(_) | Choice::Delay(_) | Choice::Full => "full",
        Choice::LoadAdapter(_) => "adapter_absent",
        Choice::Limited(_) => "limited",
        Choice::Backoff(_) => "backoff",
        Choice::NoModel => "model_absent",
        Choice::NoEndpoint => "no_endpoint",
        Choice::TooLarge => TOO_LARGE,
    }
}

fn refusal_cause(
    daemon: &Daemon,
    now: Duration,
    arrival: &Arrival,
    choice: &Choice,
    ahead: usize,
) -> Cause {
    let spec = &arrival.spec;
    match choice {
        Choice::Send(_) | Choice::Full => {
            let class = arrival.class();
            let total = exchange::total(daemon, now, spec, class);
            let slots = expected_slots(daemon, now, spec, &total);
            let queue = daemon.queue.borrow();
            let request = arrival.request(daemon);
            let place = Place { late_from: now, ..arrival.place(daemon, now, &request) };
            let others = exchange::ahead(daemon, now, spec, class, &place);
            let arrivals = daemon.completions.borrow().arrival_rate(now, spec.class);
            Cause::Full {
                ahead,
                ahead_if_late: queue.ahead(now, class, &place) + others,
                queued: queue.count(class) + total.count,
                rate: completion_rate(daemon, now, spec, slots, &total),
                arrivals: arrivals + total.arrivals,
            }
        }
        Choice::Delay(wait) => Cause::Paced(*wait),
        Choice::Limited(wait) => Cause::Limited { ahead, wait: *wait },
        Choice::Backoff(wait) => Cause::Backoff(*wait),
        Choice::LoadAdapter(key) => {
            Cause::Loading(daemon.fleet.borrow().busy_for(now, key) + ORDER_OVERHEAD / 4)
        }
        // Models are not loaded for the streams of one version.
        Choice::NoModel if arrival.software.is_some() => Cause::Nothing,
        // At first, one copy serves all that wait for the load.
        Choice::NoModel => match load_time(daemon, spec) {
            Some((time, slots)) => {
                let slot_time = daemon.completions.borrow().mean_slot_time(&spec.service);
                let served_before = slot_time.mul_f64(ahead as f64 / f64::from(slots.max(1)));
                Cause::Loading(time + ORDER_OVERHEAD + served_before)
            }
            None => Cause::Nothing,
        },
        Choice::NoEndpoint | Choice::TooLarge => Cause::Nothing,
    }
}

/// Returns the shortest load time of the model at any engine, and that engine's slots; none if the
/// model is not published.
fn load_time(daemon: &Daemon, spec: &Spec) -> Option<(Duration, u32)> {
    let config = daemon.config.borrow().clone()?;
    let name = spec.model.as_deref()?;
    let model = config.services.get(&spec.service)?.engines.as_ref()?.model(name)?.clone();
    let fleet = daemon.fleet.borrow();
    let rows = fleet.rows().filter(|row| row.instance.service == spec.service);
    rows.map(|row| (model.load_time(&row.instance.copies), row.instance.slots)).min()
}
