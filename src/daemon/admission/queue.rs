//! The wait queue of a daemon: requests of its callers, and of other daemons that it is the broker
//! for.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smol::Timer;
use smol::channel::Sender;

use super::Arrival;
use super::Refusal;
use super::Spec;
use super::WAIT_TIMEOUT_RETRY_AFTER;
use super::broker_region;
use super::choose;
use super::class_hasher;
use super::end_request;
use super::start_locally;
use crate::daemon::Daemon;
use crate::daemon::broker;
use crate::daemon::clock;
use crate::daemon::exchange;
use crate::daemon::journal::Event;
use crate::daemon::peer;
use crate::decide::broker::Ticket;
use crate::decide::exchange::Summary;
use crate::decide::exchange::Total;
use crate::decide::fleet::Choice;
use crate::decide::speed::Estimate;
use crate::decide::wait_policy;
use crate::decide::wait_policy::Request;
use crate::decide::wait_policy::Shortage;
use crate::decide::wait_queue::Class;
use crate::decide::wait_queue::Place;
use crate::decide::wait_queue::Pool;
use crate::table::RegionId;
use crate::table::instance::Key;

/// Interval between two dispatches of classes that are due at about the same time.
const MIN_DISPATCH_INTERVAL: Duration = Duration::from_millis(5);

/// Classes in the statement of one gossip round, more than fit into its datagrams.
const MAX_SUMMARIES: usize = 128;

/// Whose requests a free slot may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// Those of all daemons, in their order.
    All,
    /// Those of this daemon.
    Own,
}

/// Who receives the endpoint that a waiting request is assigned.
#[derive(Clone)]
pub enum Recipient {
    /// A request of this daemon.
    Local(Sender<Assignment>),
    /// A request of another daemon: the daemon's address, and the request's ticket.
    Remote(SocketAddr, Ticket),
}

/// What a waiting request is assigned.
pub enum Assignment {
    /// An endpoint, with the estimated prefill there.
    Endpoint(Key, Estimate),
    /// A region whose broker has capacity.
    OtherRegion(RegionId),
    /// None, as the request can't be served by its deadline any more.
    Refused(Refusal),
}

/// A request in the queue.
#[derive(Clone)]
pub struct Waiter {
    arrival: Rc<Arrival>,
    recipient: Recipient,
    request: Request,
    shortage: Shortage,
    /// Until when it waits at most.
    until: Duration,
}

/// How a request left the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum WaitEnd {
    /// Sent, and its answer can be on time.
    OnTime,
    /// Sent late.
    Late,
    /// Refused, as a request that was queued before it took the time that it had.
    Displaced,
    /// Refused, as fewer requests completed than expected.
    OutOfTime,
    /// Refused, as it has waited as long as it could.
    Expired,
}

/// Number of requests that have left the queue, and how long they waited in total.
#[derive(Debug, Default)]
pub struct Waits {
    rows: HashMap<WaitEnd, (u64, Duration)>,
}

impl Waits {
    /// Returns the counts.
    pub fn rows(&self) -> impl Iterator<Item = (&'static str, u64, Duration)> {
        self.rows.iter().map(|(end, (count, total))| (end.into(), *count, *total))
    }
}

/// Logs and counts how a request has left the queue.
pub(super) fn record_wait(daemon: &Daemon, now: Duration, arrival: &Arrival, end: WaitEnd) {
    let waited = now.saturating_sub(arrival.arrived_at);
    {
        let mut waits = daemon.waits.borrow_mut();
        let (count, total) = waits.rows.entry(end).or_default();
        (*count, *total) = (*count + 1, *total + waited);
    }
    let spec = &arrival.spec;
    daemon.note(&Event::Waited {
        model: spec.model.clone(),
        adapter: spec.adapter.clone(),
        team: spec.terms.team.clone(),
        priority: spec.priority,
        outcome: end.into(),
        waited: waited.as_millis() as u64,
        left: arrival.deadline.saturating_sub(now).as_millis() as u64,
    });
}

impl Waiter {
    /// Returns whether it is short of a slot once its model is resident. What is short of a load of
    /// its adapter or of prefill is so for a known time.
    fn waits_for_slot(&self) -> bool {
        match self.shortage {
            Shortage::Slot => true,
            Shortage::Load => self.arrival.spec.adapter.is_none(),
            _ => false,
        }
    }
}

/// Adds an arrival to the queue, where it waits until then at most.
pub fn enqueue(
    daemon: &Rc<Daemon>,
    arrival: &Rc<Arrival>,
    recipient: Recipient,
    shortage: Shortage,
    until: Duration,
) {
    let request = arrival.request(daemon);
    let now = clock::now();
    let place = arrival.place(daemon, now, &request);
    let waiter = Waiter { arrival: arrival.clone(), recipient, request, shortage, until };
    let class = (pool(&arrival.spec.service, arrival.spec.model.as_deref()), arrival.class());
    let is_last = {
        let mut queue = daemon.queue.borrow_mut();
        queue.push(now, arrival.number, class, place, waiter);
        queue.position(arrival.number).is_none_or(|ahead| ahead + 1 == queue.count(class.1))
    };
    if !is_last {
        refuse_displaced(daemon, now, class.1, &arrival.spec);
    }
}

/// Removes an arrival from the queue, and returns whether it was still queued.
pub fn dequeue(daemon: &Daemon, arrival: &Arrival) -> bool {
    daemon.queue.borrow_mut().remove(arrival.number).is_some()
}

/// Refuses the waiting requests that can't be served by their deadlines any more, as more urgent ones
/// have arrived or fewer requests complete than expected, and those that have waited long enough.
pub fn refuse_hopeless(daemon: &Rc<Daemon>, now: Duration) {
    daemon.queue.borrow_mut().advance(now);
    let mut hopeless = Vec::new();
    {
        let queue = daemon.queue.borrow();
        for class in queue.classes() {
            let Some((_, first)) = queue.first(class) else {
                continue;
            };
            let spec = &first.arrival.spec;
            let total = exchange::total(daemon, now, spec, class);
            let slots = expected_slots(daemon, now, spec, &total);
            // Requests that wait for a load or an adapter have their own time limit.
            let rate = completion_rate(daemon, now, spec, slots, &total);
            let arrivals = daemon.completions.borrow().arrival_rate(now, class) + total.arrivals;
            let queued = queue.count(class) + total.count;
            let mut own_ahead = 0;
            for (_, place, waiter) in queue.places(class) {
                let ahead = own_ahead + exchange::ahead(daemon, now, spec, class, place);
                let wait = match waiter.request.late_from() <= now {
                    false => Some(wait_policy::expected_wait(ahead, rate)),
                    true => wait_policy::expected_late_wait(ahead, queued, rate, arrivals),
                };
                let waits_for_slot = slots > 0.0 && waiter.waits_for_slot();
                let has_time = wait.is_some_and(|wait| waiter.request.has_time(now, wait));
                let wait = wait.unwrap_or(wait_policy::expected_wait(ahead, rate));
                let end = if waits_for_slot && !has_time {
                    WaitEnd::OutOfTime
                } else if !waits_for_slot && now >= waiter.until {
                    WaitEnd::Expired
                } else {
                    own_ahead += 1;
                    continue;
                };
                let wait = if waits_for_slot { wait } else { WAIT_TIMEOUT_RETRY_AFTER };
                hopeless.push((waiter.clone(), wait, end));
            }
        }
    }
    for (waiter, wait, end) in hopeless {
        refuse_waiter(daemon, now, waiter, wait, end);
    }
}

/// Refuses the last requests of a class that can't be served by their deadlines any more, as another
/// one has been queued before them. They have not been sent.
fn refuse_displaced(daemon: &Rc<Daemon>, now: Duration, class: Class, spec: &Spec) {
    let total = exchange::total(daemon, now, spec, class);
    let slots = expected_slots(daemon, now, spec, &total);
    let rate = completion_rate(daemon, now, spec, slots, &total);
    // Requests that wait for a load or an adapter have their own time limit.
    if slots <= 0.0 {
        return;
    }
    let others = |place: &Place| exchange::ahead(daemon, now, spec, class, place);
    let request = |waiter: &Waiter| waiter.waits_for_slot().then_some(waiter.request);
    loop {
        let displaced = {
            let queue = daemon.queue.borrow();
            let last = wait_policy::displaced(now, &queue, class, rate, others, request);
            last.map(|(waiter, wait)| (waiter.clone(), wait))
        };
        let Some((waiter, wait)) = displaced else {
            return;
        };
        refuse_waiter(daemon, now, waiter, wait, WaitEnd::Displaced);
    }
}

fn refuse_waiter(daemon: &Rc<Daemon>, now: Duration, waiter: Waiter, wait: Duration, end: WaitEnd) {
    dequeue(daemon, &waiter.arrival);
    record_wait(daemon, now, &waiter.arrival, end);
    let left = waiter.request.deadline.saturating_sub(now);
    let retry_after = wait_policy::retry_after(left, wait, &mut daemon.rng.borrow_mut());
    let shortage = Some(waiter.shortage);
    let refusal = Refusal { reason: "waited", retry_after, shortage };
    match waiter.recipient {
        Recipient::Remote(from, ticket) => broker::refuse(daemon, from, ticket, &refusal),
        // A request that has left the queue meanwhile needs no refusal.
        Recipient::Local(sender) => drop(sender.try_send(Assignment::Refused(refusal))),
    }
}

/// Schedules a dispatch of the waiting requests of a class at `due`, when prompts have been
/// prefilled.
pub(super) fn dispatch_class_at(daemon: &Rc<Daemon>, class: Class, due: Duration) {
    daemon.queue.borrow_mut().schedule(class, due);
    start_timer(daemon);
}

/// Starts a timer for the class that is due first, unless one runs that ends earlier.
fn start_timer(daemon: &Rc<Daemon>) {
    let Some(due) = daemon.queue.borrow().next_due() else {
        return;
    };
    let now = clock::now();
    if daemon.next_dispatch.get().is_some_and(|scheduled| now < scheduled && scheduled <= due) {
        return;
    }
    let due = due.max(now + MIN_DISPATCH_INTERVAL);
    daemon.next_dispatch.set(Some(due));
    let shared = daemon.clone();
    let task = async move {
        Timer::after(due.saturating_sub(now)).await;
        if shared.next_dispatch.get() == Some(due) {
            shared.next_dispatch.set(None);
        }
        let classes = shared.queue.borrow_mut().take_due(clock::now());
        dispatch_classes(&shared, classes, Scope::All);
        start_timer(&shared);
    };
    daemon.ex.spawn(task).detach();
}

/// Returns the slots that requests like this one can expect of the endpoints that serve them. Without
/// a broker, they are divided between all daemons; those at which such requests wait, `total`, share
/// theirs.
pub(super) fn expected_slots(daemon: &Daemon, now: Duration, spec: &Spec, total: &Total) -> f64 {
    let fleet = daemon.fleet.borrow();
    let slots = fleet.expected_slots(now, &spec.service, spec.model.as_deref());
    let has_broker = spec.needs_broker() && fleet.sharing.has_brokers;
    let (daemons, sharing) = (fleet.sharing.daemons.max(1), 1 + total.daemons);
    if has_broker { slots } else { slots * (sharing as f64 / daemons as f64).min(1.0) }
}

/// Returns the rate at which requests like this one complete. Those of other adapters of the model
/// that wait share the slots.
pub(super) fn completion_rate(
    daemon: &Daemon,
    now: Duration,
    spec: &Spec,
    slots: f64,
    total: &Total,
) -> f64 {
    let pool = pool(&spec.service, spec.model.as_deref());
    let sharing = daemon.queue.borrow().classes_of(pool).count().max(1);
    let slots = slots / sharing as f64;
    daemon.completions.borrow().rate(now, spec.class, &spec.service, slots, total.completions)
}

/// Assigns endpoints to the waiting requests, in their order.
pub fn dispatch(daemon: &Rc<Daemon>) {
    let classes: Vec<Class> = daemon.queue.borrow().classes().collect();
    dispatch_classes(daemon, classes, Scope::All);
}

/// Assigns endpoints to the waiting requests that an endpoint can serve, at which a slot has become
/// free or whose residents have changed.
pub fn dispatch_at(daemon: &Rc<Daemon>, key: &Key) {
    dispatch_key(daemon, key, Scope::All);
}

/// Assigns endpoints to the waiting requests of this daemon that an endpoint can serve, at which it
/// may use a slot whatever waits at other daemons.
pub fn dispatch_own_at(daemon: &Rc<Daemon>, key: &Key) {
    dispatch_key(daemon, key, Scope::Own);
}

fn dispatch_key(daemon: &Rc<Daemon>, key: &Key, scope: Scope) {
    let classes: Vec<Class> = {
        let (fleet, queue) = (daemon.fleet.borrow(), daemon.queue.borrow());
        let Some(row) = fleet.get(key).filter(|_| !queue.is_empty()) else {
            return;
        };
        let service = &row.instance.service;
        let models = row.instance.resident.iter().map(|resident| Some(resident.model.as_str()));
        let pools = models.chain([None]).map(|model| pool(service, model));
        pools.flat_map(|pool| queue.classes_of(pool)).collect()
    };
    dispatch_classes(daemon, classes, scope);
}

/// Returns what other daemons are told of the requests that wait here, most of them first. Classes that
/// wait for prefill or an adapter have no use for a slot.
pub fn summaries(daemon: &Daemon, now: Duration) -> Vec<Summary> {
    let mut classes: Vec<(Class, Class)> = {
        let queue = daemon.queue.borrow();
        let row = |class| {
            let waiter = queue.first(class)?.1;
            let spec = &waiter.arrival.spec;
            (spec.needs_broker() && waiter.waits_for_slot()).then_some((class, spec.class))
        };
        let mut classes: Vec<_> = queue.classes().filter_map(row).collect();
        classes.sort_by_key(|(class, _)| (Reverse(queue.count(*class)), *class));
        classes
    };
    classes.truncate(MAX_SUMMARIES);
    exchange::summaries(daemon, now, &classes)
}

/// Returns the pool of the requests for a model, or for a service without models.
pub fn pool(service: &str, model: Option<&str>) -> Pool {
    class_hasher(service, model, None).digest()
}

fn dispatch_classes(daemon: &Rc<Daemon>, classes: Vec<Class>, scope: Scope) {
    let now = clock::now();
    daemon.queue.borrow_mut().advance(now);
    // The first request of each class; one that gets no endpoint holds up its class only.
    let mut candidates: BTreeSet<_> = {
        let queue = daemon.queue.borrow();
        let first = |class| queue.first(class).map(|(rank, _)| (rank, class));
        classes.into_iter().filter_map(first).collect()
    };
    while let Some((_, class)) = candidates.pop_first() {
        let Some(waiter) = daemon.queue.borrow().first(class).map(|(_, waiter)| waiter.clone())
        else {
            continue;
        };
        match choose(daemon, now, &waiter.arrival) {
            Choice::Send(key) => {
                let place = daemon.queue.borrow().place(class, 0).copied();
                let is_offered = scope == Scope::All
                    && place.is_some_and(|place| {
                        exchange::offer_before(daemon, now, &waiter.arrival.spec, &place, &key)
                    });
                if !is_offered {
                    assign(daemon, now, &waiter, key);
                }
                candidates
                    .extend(daemon.queue.borrow().first(class).map(|(rank, _)| (rank, class)));
            }
            Choice::LoadAdapter(key) => {
                peer::send_adapter_request(daemon, &key, &waiter.arrival.spec);
            }
            Choice::Delay(span) | Choice::Limited(span) | Choice::Backoff(span) => {
                dispatch_class_at(daemon, class, now + span);
            }
            Choice::Full | Choice::NoModel | Choice::NoEndpoint | Choice::TooLarge => {}
        }
    }
}

/// Assigns an endpoint to a waiting request.
fn assign(daemon: &Rc<Daemon>, now: Duration, waiter: &Waiter, key: Key) {
    let arrival = &waiter.arrival;
    if !dequeue(daemon, arrival) {
        return;
    }
    let is_late = now >= waiter.request.late_from();
    record_wait(daemon, now, arrival, if is_late { WaitEnd::Late } else { WaitEnd::OnTime });
    let region = broker_region(daemon, arrival, &key);
    if region.is_some() {
        daemon.fleet.borrow_mut().expect_grant(&key);
    }
    match (&waiter.recipient, region) {
        (Recipient::Remote(from, ticket), None) => {
            broker::grant(daemon, now, *from, *ticket, arrival, key);
        }
        (Recipient::Remote(from, ticket), Some(region)) => {
            broker::redirect(daemon, *from, *ticket, region);
        }
        (Recipient::Local(sender), None) => {
            let estimate = start_locally(daemon, now, &arrival.spec, &key);
            if sender.try_send(Assignment::Endpoint(key.clone(), estimate)).is_err() {
                end_request(daemon, &key, arrival.spec.tokens());
            }
        }
        // A request that has left the queue meanwhile no longer needs the region.
        (Recipient::Local(sender), Some(region)) => {
            drop(sender.try_send(Assignment::OtherRegion(region)));
        }
    }
}
