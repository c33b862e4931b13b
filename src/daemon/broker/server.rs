//! The broker's side: gives grants to requests of other daemons.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smol::Timer;

use super::Message;
use super::Reason;
use super::Request;
use super::Terms;
use super::address;
use super::is_needed;
use super::message::micros;
use super::message::millis;
use super::send;
use crate::daemon::Daemon;
use crate::daemon::admission;
use crate::daemon::admission::Arrival;
use crate::daemon::admission::Decision;
use crate::daemon::admission::Recipient;
use crate::daemon::admission::Refusal;
use crate::daemon::admission::Spec;
use crate::daemon::clock;
use crate::daemon::peer;
use crate::decide::broker::Grant;
use crate::decide::broker::Ticket;
use crate::decide::endpoint::End;
use crate::decide::endpoint::Exclusion;
use crate::decide::memory::Holder;
use crate::decide::memory::Sum;
use crate::decide::speed::Estimate;
use crate::decide::wait_policy::Shortage;
use crate::decide::wait_queue::Class;
use crate::edge::dialect::Load;
use crate::edge::dialect::Part;
use crate::table::RegionId;
use crate::table::SoftwareVersion;
use crate::table::instance::Key;

/// Interval at which a broker sends the load of its engines to the brokers of other regions.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);
/// Additional wait for each service whose load this daemon does not send.
const SKIPPED_SERVICE_DELAY: Duration = Duration::from_millis(400);
/// Largest number of engines per load message, so that it fits in one datagram.
const MAX_LOADS_PER_MESSAGE: usize = 40;
/// Time after which a queued request that its daemon has not resent is removed: the longest interval
/// between two messages, and twice the time-out of a request to another region.
const RESEND_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Time for which the request of an adopted grant, whose deadline is not known, may be held after
/// its daemon was last heard: the deadline of most requests.
const LINGER_TIME: Duration = Duration::from_secs(10);

/// The data that a broker keeps for a grant.
pub(super) struct Details {
    need: Rc<Spec>,
    estimate: Estimate,
    /// Slot time that its team was charged with.
    charged: Duration,
    /// Until when the request may be held by the engine.
    deadline: Duration,
}

/// A request of another daemon in this daemon's wait queue.
pub(super) struct Waiter {
    arrival: Rc<Arrival>,
    /// When its daemon last sent it, on the boot clock.
    last_request_at: Duration,
}

/// Sends the load of this region's engines to the brokers of other regions, for as long as the
/// daemon runs.
pub async fn send_loads(daemon: Rc<Daemon>) {
    loop {
        Timer::after(LOAD_INTERVAL).await;
        let config = daemon.config.borrow().clone();
        for (service, _) in config.iter().flat_map(|config| config.engines()) {
            // Only the service's broker sends its load.
            let other_is_broker =
                address(&daemon, &service.name, &daemon.settings.region).is_some();
            if is_needed(&daemon) && !other_is_broker && daemon.ready() {
                send_service_loads(&daemon, &service.name);
            } else {
                Timer::after(SKIPPED_SERVICE_DELAY).await;
            }
        }
    }
}

fn send_service_loads(daemon: &Rc<Daemon>, service: &str) {
    let (now, own) = (clock::now(), &daemon.settings.region);
    let regions: BTreeSet<&RegionId> = daemon.settings.data_centers.values().collect();
    let others = regions.into_iter().filter(|region| *region != own);
    let to: Vec<SocketAddr> =
        others.filter_map(|region| address(daemon, service, region)).collect();
    let rows: Vec<(Key, u32)> = {
        let fleet = daemon.fleet.borrow();
        let local = fleet.rows().filter(|row| {
            row.instance.service == service && fleet.region_of(&row.instance.data_center) == *own
        });
        local.map(|row| (row.instance.key.clone(), row.load(now))).collect()
    };
    for rows in rows.chunks(MAX_LOADS_PER_MESSAGE) {
        let message = Message::Loads(rows.to_vec());
        peer::spawn_send(daemon, to.clone(), peer::Message::Broker(message));
    }
}

/// Releases the grants of daemons that are gone, and removes queued requests that are no longer
/// resent.
pub(super) fn remove_expired(daemon: &Rc<Daemon>) {
    let now = clock::now();
    // The requests of a daemon that is only cut off from this one go on.
    for grant in daemon.broker.borrow().grants.expiring(now) {
        let until = grant.payload.as_ref().map_or(now + LINGER_TIME, |row| row.deadline);
        daemon.fleet.borrow_mut().linger(&grant.key, tokens(grant), until);
    }
    let expired = daemon.broker.borrow_mut().grants.expire(now);
    for key in &expired {
        daemon.fleet.borrow_mut().release_grant(key);
    }
    if !expired.is_empty() {
        count_tokens(daemon);
    }
    daemon.broker.borrow_mut().queued.retain(|_, waiter| {
        let keep = now < waiter.last_request_at + RESEND_TIMEOUT;
        if !keep {
            admission::dequeue(daemon, &waiter.arrival);
        }
        keep
    });
    if !expired.is_empty() {
        admission::dispatch(daemon);
    }
}

/// Returns the tokens of a granted request; none if the grant was adopted from a list.
fn tokens(grant: &Grant<Details>) -> Option<u32> {
    grant.payload.as_ref().map(|row| row.need.tokens())
}

/// Counts the tokens of all grants again.
fn count_tokens(daemon: &Daemon) {
    let mut sums: HashMap<Key, Sum> = HashMap::new();
    for grant in daemon.broker.borrow().grants.rows() {
        if let Some(tokens) = tokens(grant) {
            sums.entry(grant.key.clone()).or_default().add(tokens);
        }
    }
    daemon.fleet.borrow_mut().set_granted(&sums);
}

/// Handles a daemon's request for a grant. Daemons of earlier releases state no terms.
pub(super) fn on_request(
    daemon: &Rc<Daemon>,
    from: SocketAddr,
    request: Request,
    excluded: Vec<Exclusion>,
    software: Option<SoftwareVersion>,
    terms: Option<Terms>,
) {
    let now = clock::now();
    let ticket = request.ticket;
    let has_terms = terms.is_some();
    let terms = terms.unwrap_or_default();
    daemon.fleet.borrow_mut().memory.on_asked(now);
    {
        let mut state = daemon.broker.borrow_mut();
        if let Some(waiter) = state.queued.get_mut(&(from, ticket)) {
            waiter.last_request_at = now;
            drop(state);
            return send(daemon, from, Message::Queued(ticket));
        }
        let grant = state.grants.get(from, ticket);
        if let Some((key, details)) =
            grant.and_then(|row| Some((row.key.clone(), row.payload.as_ref()?)))
        {
            let message = grant_message(ticket, key, &details.estimate);
            drop(state);
            return send(daemon, from, message);
        }
    }
    let arrival = Rc::new(arrival(daemon, now, request, excluded, software, terms));
    match admission::decide(daemon, now, &arrival) {
        Decision::Send(key) => grant(daemon, now, from, ticket, &arrival, key),
        Decision::OtherRegion(region) => redirect(daemon, from, ticket, region),
        // A daemon of an earlier release can't decode the reason.
        Decision::Refuse(refusal) if !has_terms && refusal.reason == admission::TOO_LARGE => {
            refuse(daemon, from, ticket, &Refusal { reason: Reason::NoEndpoint.into(), ..refusal });
        }
        Decision::Refuse(refusal) => refuse(daemon, from, ticket, &refusal),
        Decision::Wait(until, cause, _) => {
            enqueue(daemon, from, ticket, &arrival, until, cause.shortage());
        }
    }
}

fn arrival(
    daemon: &Daemon,
    now: Duration,
    request: Request,
    excluded: Vec<Exclusion>,
    software: Option<SoftwareVersion>,
    terms: Terms,
) -> Arrival {
    let duration = |millis: u32| Duration::from_millis(millis.into());
    let model = Some(request.model);
    let class =
        admission::class_hasher(&request.service, model.as_deref(), request.adapter.as_deref())
            .digest();
    let parts = request.parts.into_iter().map(|(id, tokens)| Part { id, tokens });
    let need = Spec {
        service: request.service,
        model,
        adapter: request.adapter,
        engine_service: true,
        adapter_slots: request.adapter_slots,
        prompt_tokens: request.prompt_tokens,
        parts: parts.collect(),
        max_pause: request.max_pause_ms.map(duration),
        target_latency: duration(request.target_latency_ms),
        priority: request.priority,
        terms,
        class,
    };
    Arrival {
        number: daemon.next_request_number(),
        spec: Rc::new(need),
        arrived_at: now.saturating_sub(duration(request.waited_ms)),
        deadline: now + duration(request.time_left_ms),
        tried: request.tried,
        excluded: Some(excluded),
        required_region: request.required_region,
        software,
    }
}

/// Adds a request of another daemon to the wait queue, where it waits until then at most.
fn enqueue(
    daemon: &Rc<Daemon>,
    from: SocketAddr,
    ticket: Ticket,
    arrival: &Rc<Arrival>,
    until: Duration,
    shortage: Shortage,
) {
    let waiter = Waiter { arrival: arrival.clone(), last_request_at: clock::now() };
    daemon.broker.borrow_mut().queued.insert((from, ticket), waiter);
    send(daemon, from, Message::Queued(ticket));
    admission::enqueue(daemon, arrival, Recipient::Remote(from, ticket), shortage, until);
}

/// Refuses a request of another daemon.
pub fn refuse(daemon: &Rc<Daemon>, to: SocketAddr, ticket: Ticket, refusal: &Refusal) {
    daemon.broker.borrow_mut().queued.remove(&(to, ticket));
    // Every refusal reason of `admission` has a variant of `Reason`.
    let reason = refusal.reason.parse().unwrap_or(Reason::Full);
    let (retry_after_ms, shortage) = (millis(refusal.retry_after), refusal.shortage);
    send(daemon, to, Message::Refused { ticket, reason, retry_after_ms, shortage });
}

/// Redirects a request of another daemon to the broker of another region.
pub fn redirect(daemon: &Rc<Daemon>, to: SocketAddr, ticket: Ticket, region: RegionId) {
    daemon.broker.borrow_mut().queued.remove(&(to, ticket));
    send(daemon, to, Message::Redirected { ticket, region });
}

fn grant_message(ticket: Ticket, key: Key, estimate: &Estimate) -> Message {
    let (own_prefill_us, queued_prefill_us) =
        (micros(estimate.own_prefill), micros(estimate.queued_prefill));
    Message::Granted { ticket, key, tokens: estimate.tokens, own_prefill_us, queued_prefill_us }
}

/// Grants an engine to a request of another daemon.
pub fn grant(
    daemon: &Rc<Daemon>,
    now: Duration,
    to: SocketAddr,
    ticket: Ticket,
    arrival: &Arrival,
    key: Key,
) {
    let need = arrival.spec.clone();
    let estimate = {
        let mut fleet = daemon.fleet.borrow_mut();
        let estimate = fleet.estimate(now, &key, &need.requirements(&[]));
        fleet.grant(now, &key, &need.parts, estimate.own_prefill);
        fleet.hold(&key, Holder::Granted, need.tokens());
        estimate
    };
    let message = grant_message(ticket, key.clone(), &estimate);
    let class = arrival.class();
    let charged = admission::charge(daemon, now, &need);
    let mut state = daemon.broker.borrow_mut();
    state.queued.remove(&(to, ticket));
    let deadline = arrival.deadline;
    let details = Details { need, estimate, charged, deadline };
    state.grants.issue(now, to, ticket, key, class, details);
    drop(state);
    send(daemon, to, message);
}

/// Records the time to the first byte of a granted request's response.
pub(super) fn on_first_byte(
    daemon: &Daemon,
    from: SocketAddr,
    ticket: Ticket,
    elapsed: Duration,
    load: Option<Load>,
) {
    let state = daemon.broker.borrow();
    let Some(grant) = state.grants.get(from, ticket) else {
        return;
    };
    let (now, mut fleet) = (clock::now(), daemon.fleet.borrow_mut());
    if let Some(load) = load {
        fleet.on_load_report(now, &grant.key, load);
    }
    if let Some(Details { need, estimate, .. }) = &grant.payload {
        fleet.record_first_byte(now, &grant.key, elapsed, need.model.as_deref(), estimate);
    }
}

/// Records that a granted request has ended, or that a queued one was cancelled.
pub(super) fn on_end(
    daemon: &Rc<Daemon>,
    from: SocketAddr,
    ticket: Ticket,
    end: End,
    event_interval: Duration,
) {
    let now = clock::now();
    let waiter = daemon.broker.borrow_mut().queued.remove(&(from, ticket));
    if let Some(waiter) = waiter {
        admission::dequeue(daemon, &waiter.arrival);
    }
    let Some(grant) = daemon.broker.borrow_mut().grants.release(from, ticket) else {
        return;
    };
    {
        let mut fleet = daemon.fleet.borrow_mut();
        fleet.release_grant(&grant.key);
        fleet.record_event(now, &grant.key, event_interval);
        if let Some(tokens) = tokens(&grant) {
            fleet.unhold(&grant.key, Holder::Granted, tokens);
        }
        if let Some(Details { need, .. }) = &grant.payload {
            fleet.record_end(now, &grant.key, end, &need.requirements(&[]));
        }
    }
    if let Some(Details { need, charged, .. }) = &grant.payload {
        admission::record_slot_time(daemon, now, need, grant.granted_at, *charged, end);
    }
    if end == End::Completed {
        daemon.completions.borrow_mut().record(now, grant.class);
    }
    admission::dispatch_at(daemon, &grant.key);
}

/// Reconciles the grants with a list of those that a daemon holds.
pub(super) fn on_list(
    daemon: &Rc<Daemon>,
    from: SocketAddr,
    rows: &[(Ticket, Class, Key)],
    complete: bool,
) {
    let now = clock::now();
    let received_after = daemon.nodes.borrow().received_after(now);
    let change =
        daemon.broker.borrow_mut().grants.reconcile(now, received_after, from, rows, complete);
    let mut fleet = daemon.fleet.borrow_mut();
    change.adopted.iter().for_each(|key| fleet.adopt_grant(key));
    change.released.iter().for_each(|key| fleet.release_grant(key));
    drop(fleet);
    if !change.released.is_empty() {
        count_tokens(daemon);
    }
    let released: BTreeSet<&Key> = change.released.iter().collect();
    for key in released {
        admission::dispatch_at(daemon, key);
    }
}
