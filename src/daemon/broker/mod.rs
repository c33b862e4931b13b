//! Requests grants from the broker of a region and handles its answers. See `decide::broker`.
//!
//! All messages are datagrams, which may be lost: a request is resent until it is answered, and
//! periodic lists of the held grants make up for lost end messages. A daemon does without a broker
//! that does not answer.

mod message;
mod server;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;

pub use message::Message;
pub use message::Reason;
pub use message::Request;
pub use message::Terms;
pub use server::grant;
pub use server::redirect;
pub use server::refuse;
pub use server::send_loads;

use self::message::micros;
use self::message::millis;
use self::server::Details;
use self::server::Waiter;
use crate::daemon::Daemon;
use crate::daemon::admission;
use crate::daemon::admission::Arrival;
use crate::daemon::admission::Refusal;
use crate::daemon::admission::Spec;
use crate::daemon::clock;
use crate::daemon::journal::Event;
use crate::daemon::node;
use crate::daemon::peer;
use crate::decide::broker;
use crate::decide::broker::Grants;
use crate::decide::broker::Suspects;
use crate::decide::broker::Ticket;
use crate::decide::endpoint::End;
use crate::decide::endpoint::Exclusion;
use crate::decide::speed::Estimate;
use crate::decide::wait_queue::Class;
use crate::edge::dialect::Load;
use crate::table::RegionId;
use crate::table::instance::Key;

/// Interval after which an unanswered request is resent: several round trips within a region, and
/// the time that a small machine takes to process it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Interval after which an unanswered request to the broker of another region is resent: longer by
/// the round trip between regions.
const REMOTE_REPLY_TIMEOUT: Duration = Duration::from_millis(160);
/// Interval at which a request in the broker's wait queue is resent, so that both sides detect
/// when the other is gone. It grows with the wait: hundreds of requests may wait for a daemon's
/// broker, and each of these messages costs both as much as a new request.
const MIN_RESEND_INTERVAL: Duration = Duration::from_millis(250);
const MAX_RESEND_INTERVAL: Duration = Duration::from_millis(1_000);
const RESEND_GROWTH: f64 = 1.5;
/// Number of unanswered requests in a row after which the broker counts as unresponsive.
const MAX_UNANSWERED: u32 = 2;
/// Interval between lists of the held grants.
const LIST_INTERVAL: Duration = Duration::from_millis(400);
/// Largest number of grants per list, so that it fits in one datagram.
const MAX_GRANTS_PER_LIST: usize = 24;

/// An answer of a broker to one request message.
enum Reply {
    Queued,
    Granted(Key, Estimate),
    Redirected(RegionId),
    Refused(Refusal),
}

/// The final answer of a broker, unless it refused.
pub enum Answer {
    /// A grant: its ticket, the engine and the estimated prefill there.
    Granted(Ticket, Key, Estimate),
    /// The broker of this region has capacity.
    Redirected(RegionId),
}

/// The reason why there is no grant.
pub enum Failure {
    /// The broker refused.
    Refused(Refusal),
    /// The broker did not answer, or granted an endpoint that this daemon knows to be unusable.
    Unresponsive,
}

/// State of requests to brokers, and of the grants that this daemon gives as a broker.
#[derive(Default)]
pub struct Broker {
    suspects: Suspects,
    /// Brokers that have answered a request with terms since they last did not answer. Those of an
    /// earlier release can't decode such a request.
    current: HashSet<SocketAddr>,
    pending: HashMap<Ticket, Sender<Reply>>,
    /// Grants that this daemon holds: the broker, the request class and the engine.
    held: HashMap<Ticket, (SocketAddr, Class, Key)>,
    /// Grants that this daemon has given to others as a broker.
    grants: Grants<Details>,
    queued: HashMap<(SocketAddr, Ticket), Waiter>,
}

impl Broker {
    /// Returns the number of grants given to other daemons and of their requests in the wait queue.
    pub fn counts(&self) -> (usize, usize) {
        (self.grants.len(), self.queued.len())
    }
}

fn send(daemon: &Rc<Daemon>, to: SocketAddr, message: Message) {
    peer::spawn_send(daemon, vec![to], peer::Message::Broker(message));
}

/// Returns whether brokers are needed: there are too many daemons for each to inform all others of
/// every request that it sends.
pub fn is_needed(daemon: &Daemon) -> bool {
    daemon.nodes.borrow().other_count() > peer::MAX_BROADCAST_PEERS
}

/// Returns the address of the broker of a service in a region; none if that is this daemon, if
/// there is none, or if no brokers are needed.
pub fn address(daemon: &Daemon, service: &str, region: &RegionId) -> Option<SocketAddr> {
    if !is_needed(daemon) {
        return None;
    }
    let (now, nodes, state) = (clock::now(), daemon.nodes.borrow(), daemon.broker.borrow());
    let own = node::own_registration(daemon, 0);
    let all = nodes.registered().chain(Some(&own));
    let to = broker::pick(all, region, service, |addr| state.suspects.has(now, addr))?.peer;
    (to != daemon.settings.peer).then_some(to)
}

/// Returns the address of the broker for a request; none if this daemon chooses the engine itself.
pub fn address_for(daemon: &Daemon, need: &Spec) -> Option<SocketAddr> {
    // Checked first: finding the regions where the model is resident scans every endpoint.
    let model = need.model.as_ref().filter(|_| need.needs_broker() && is_needed(daemon))?;
    let own = &daemon.settings.region;
    let held = daemon.fleet.borrow().resident_regions(clock::now(), &need.service, model);
    let largest = held.iter().max_by_key(|(_, copies)| **copies).map(|(region, _)| region);
    let region = if held.contains_key(own) { own } else { largest.unwrap_or(own) };
    address(daemon, &need.service, region)
}

/// A pending request; cancelled when dropped without a grant.
struct Pending<'a> {
    daemon: &'a Rc<Daemon>,
    to: SocketAddr,
    ticket: Ticket,
    granted: bool,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.daemon.broker.borrow_mut().pending.remove(&self.ticket);
        if !self.granted {
            let cancel =
                Message::Ended { ticket: self.ticket, end: End::Unused, event_interval_us: 0 };
            send(self.daemon, self.to, cancel);
        }
    }
}

/// Requests a grant from a broker, and waits for it as long as the request is in its wait queue.
pub async fn request_grant(
    daemon: &Rc<Daemon>,
    to: SocketAddr,
    arrival: &Arrival,
) -> Result<Answer, Failure> {
    let ticket: Ticket = daemon.rng.borrow_mut().random();
    let (sender, replies) = smol::channel::bounded(4);
    daemon.broker.borrow_mut().pending.insert(ticket, sender);
    let mut pending = Pending { daemon, to, ticket, granted: false };
    let (mut unanswered, mut resend_interval) = (0, MIN_RESEND_INTERVAL);
    let is_remote =
        daemon.nodes.borrow().region_of(to).is_some_and(|region| *region != daemon.settings.region);
    let limit = if is_remote { REMOTE_REPLY_TIMEOUT } else { REPLY_TIMEOUT };
    // Only the answer to the first message is certainly one to a request with terms.
    let mut is_first = true;
    let until_deadline = |span: Duration| span.min(arrival.deadline.saturating_sub(clock::now()));
    while unanswered < MAX_UNANSWERED {
        // The broker may be gone, or its refusal lost.
        if clock::now() >= arrival.deadline {
            return Err(Failure::Refused(admission::timeout_refusal(daemon, arrival, None)));
        }
        for message in request_messages(daemon, to, ticket, arrival, unanswered > 0) {
            send(daemon, to, message);
        }
        let reply = receive(&replies, until_deadline(limit)).await;
        if reply.is_some() && is_first {
            daemon.broker.borrow_mut().current.insert(to);
        }
        is_first = false;
        match reply {
            Some(Reply::Queued) => {
                // The next message is the final answer, but that may be lost: so the request is
                // resent after an interval.
                match receive(&replies, until_deadline(resend_interval)).await {
                    Some(Reply::Queued) | None => {}
                    Some(reply) => return resolve(daemon, &mut pending, arrival, reply),
                }
                unanswered = 0;
                resend_interval = resend_interval.mul_f64(RESEND_GROWTH).min(MAX_RESEND_INTERVAL);
            }
            Some(reply) => return resolve(daemon, &mut pending, arrival, reply),
            None => unanswered += 1,
        }
    }
    {
        let mut state = daemon.broker.borrow_mut();
        state.suspects.add(clock::now(), to);
        state.current.remove(&to);
    }
    daemon.note(&Event::Broker { address: to.to_string() });
    Err(Failure::Unresponsive)
}

async fn receive(replies: &Receiver<Reply>, limit: Duration) -> Option<Reply> {
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    async { replies.recv().await.ok() }.or(timeout).await
}

/// Processes the final answer to a request.
fn resolve(
    daemon: &Daemon,
    pending: &mut Pending<'_>,
    arrival: &Arrival,
    reply: Reply,
) -> Result<Answer, Failure> {
    let (key, estimate) = match reply {
        Reply::Granted(key, estimate) => (key, estimate),
        Reply::Redirected(region) => return Ok(Answer::Redirected(region)),
        Reply::Refused(refusal) => return Err(Failure::Refused(refusal)),
        Reply::Queued => return Err(Failure::Unresponsive),
    };
    // An endpoint that this daemon knows to be unusable is not used, even if the broker does not
    // know so yet.
    let now = clock::now();
    let is_usable = {
        let fleet = daemon.fleet.borrow();
        let required = arrival.software.as_ref();
        fleet.get(&key).is_some_and(|row| row.is_usable(now))
            && required.is_none_or(|software| fleet.software(&key) == Some(software))
    };
    if !is_usable {
        return Err(Failure::Unresponsive);
    }
    pending.granted = true;
    let held = (pending.to, arrival.class(), key.clone());
    daemon.broker.borrow_mut().held.insert(pending.ticket, held);
    Ok(Answer::Granted(pending.ticket, key, estimate))
}

/// Returns the messages that ask for a grant. The broker is told the endpoints that this daemon
/// does not call, as it may not know what they have stated. A broker that has never answered may be
/// of an earlier release, which knows no terms, and is then asked in both forms. The form with the
/// terms comes first: a broker that receives only the other one counts the request without its output.
fn request_messages(
    daemon: &Daemon,
    to: SocketAddr,
    ticket: Ticket,
    arrival: &Arrival,
    is_repeat: bool,
) -> Vec<Message> {
    let request = Box::new(request(ticket, arrival));
    let now = clock::now();
    let excluded = daemon.fleet.borrow().exclusions(now, &request.service, &request.model);
    let remaining = |until: Duration| millis(until.saturating_sub(now));
    let excluded: Vec<_> =
        excluded.into_iter().map(|row| (row.key, row.until.map(remaining))).collect();
    let ask = Message::Ask {
        request: request.clone(),
        excluded: excluded.clone(),
        software: arrival.software.clone(),
        terms: arrival.spec.terms.clone(),
    };
    if !is_repeat || daemon.broker.borrow().current.contains(&to) {
        return vec![ask];
    }
    let earlier = match arrival.software.clone() {
        Some(software) => Message::RequestedAt { request, excluded, software },
        None if excluded.is_empty() => Message::Requested(request),
        None => Message::RequestedExcept { request, excluded },
    };
    vec![ask, earlier]
}

fn request(ticket: Ticket, arrival: &Arrival) -> Request {
    let (now, need) = (clock::now(), &arrival.spec);
    Request {
        ticket,
        service: need.service.clone(),
        model: need.model.clone().unwrap_or_default(),
        adapter: need.adapter.clone(),
        adapter_slots: need.adapter_slots,
        prompt_tokens: need.prompt_tokens,
        parts: need.parts.iter().map(|part| (part.id, part.tokens)).collect(),
        max_pause_ms: need.max_pause.map(millis),
        target_latency_ms: millis(need.target_latency),
        priority: need.priority,
        waited_ms: millis(now.saturating_sub(arrival.arrived_at)),
        time_left_ms: millis(arrival.deadline.saturating_sub(now)),
        tried: arrival.tried.clone(),
        required_region: arrival.required_region.clone(),
    }
}

/// Reports the time to the first byte of a response to the broker. `elapsed` excludes the round
/// trip to the engine, as the broker may be in another data center.
pub fn report_first_byte(
    daemon: &Rc<Daemon>,
    broker: SocketAddr,
    ticket: Ticket,
    elapsed: Duration,
    load: Option<Load>,
) {
    let elapsed_us = micros(elapsed);
    // An earlier release can't decode the form with all that the engine has reported.
    let message = if daemon.broker.borrow().current.contains(&broker) {
        Message::Responded { ticket, elapsed_us, load }
    } else {
        let load = load.map(|load| (load.running, load.waiting));
        Message::FirstByte { ticket, elapsed_us, load }
    };
    send(daemon, broker, message);
}

/// Reports to a broker that a request at an engine has ended.
pub fn report_end(daemon: &Rc<Daemon>, broker: SocketAddr, ticket: Ticket, key: &Key, end: End) {
    daemon.broker.borrow_mut().held.remove(&ticket);
    let interval =
        daemon.fleet.borrow().get(key).map_or(Duration::ZERO, |row| row.event_interval());
    send(daemon, broker, Message::Ended { ticket, end, event_interval_us: micros(interval) });
}

/// Sends brokers the lists of held grants, and releases the grants given to daemons that are gone,
/// for as long as the daemon runs.
pub async fn send_lists(daemon: Rc<Daemon>) {
    loop {
        Timer::after(LIST_INTERVAL).await;
        let mut lists: HashMap<SocketAddr, Vec<(Ticket, Class, Key)>> = HashMap::new();
        for (ticket, (to, class, key)) in &daemon.broker.borrow().held {
            lists.entry(*to).or_default().push((*ticket, *class, key.clone()));
        }
        for (to, rows) in lists {
            let complete = rows.len() <= MAX_GRANTS_PER_LIST;
            for rows in rows.chunks(MAX_GRANTS_PER_LIST) {
                send(&daemon, to, Message::Held { rows: rows.to_vec(), complete });
            }
        }
        server::remove_expired(&daemon);
    }
}

/// Returns the endpoints that a daemon does not call, as stated in its request.
fn exclusions(excluded: Vec<(Key, Option<u32>)>) -> Vec<Exclusion> {
    let now = clock::now();
    let until = |ms: u32| now + Duration::from_millis(ms.into());
    let excluded = excluded.into_iter().map(|(key, ms)| Exclusion { key, until: ms.map(until) });
    excluded.collect()
}

/// Processes a message from another daemon.
pub fn on_message(daemon: &Rc<Daemon>, message: Message, from: SocketAddr) {
    match message {
        // Daemons of earlier releases send these three.
        Message::Requested(request) => {
            server::on_request(daemon, from, *request, Vec::new(), None, None);
        }
        Message::RequestedExcept { request, excluded } => {
            let excluded = exclusions(excluded);
            server::on_request(daemon, from, *request, excluded, None, None);
        }
        Message::RequestedAt { request, excluded, software } => {
            let excluded = exclusions(excluded);
            server::on_request(daemon, from, *request, excluded, Some(software), None);
        }
        Message::Ask { request, excluded, software, terms } => {
            server::on_request(daemon, from, *request, exclusions(excluded), software, Some(terms));
        }
        Message::Queued(ticket) => on_reply(daemon, from, ticket, Reply::Queued),
        Message::Granted { ticket, key, tokens, own_prefill_us, queued_prefill_us } => {
            let duration = |micros: u32| Duration::from_micros(micros.into());
            let estimate = Estimate {
                tokens,
                own_prefill: duration(own_prefill_us),
                queued_prefill: duration(queued_prefill_us),
            };
            on_reply(daemon, from, ticket, Reply::Granted(key, estimate));
        }
        Message::Redirected { ticket, region } => {
            on_reply(daemon, from, ticket, Reply::Redirected(region));
        }
        Message::Loads(rows) => {
            let (now, mut fleet) = (clock::now(), daemon.fleet.borrow_mut());
            for (key, running) in rows {
                fleet.on_load_report(now, &key, Load { running, ..Load::default() });
            }
        }
        Message::Refused { ticket, reason, retry_after_ms, shortage } => {
            let retry_after = Duration::from_millis(retry_after_ms.into());
            let refusal = Refusal { reason: reason.into(), retry_after, shortage };
            on_reply(daemon, from, ticket, Reply::Refused(refusal));
        }
        Message::FirstByte { ticket, elapsed_us, load } => {
            let load = load.map(|(running, waiting)| Load { running, waiting, ..Load::default() });
            let elapsed = Duration::from_micros(elapsed_us.into());
            server::on_first_byte(daemon, from, ticket, elapsed, load);
        }
        Message::Responded { ticket, elapsed_us, load } => {
            let elapsed = Duration::from_micros(elapsed_us.into());
            server::on_first_byte(daemon, from, ticket, elapsed, load);
        }
        Message::Ended { ticket, end, event_interval_us } => {
            server::on_end(
                daemon,
                from,
                ticket,
                end,
                Duration::from_micros(event_interval_us.into()),
            );
        }
        Message::Held { rows, complete } => server::on_list(daemon, from, &rows, complete),
    }
}

/// Passes a broker's answer to the request that waits for it. A grant that no request waits for is
/// returned.
fn on_reply(daemon: &Rc<Daemon>, from: SocketAddr, ticket: Ticket, reply: Reply) {
    let granted = matches!(reply, Reply::Granted(..));
    let (pending, held) = {
        let state = daemon.broker.borrow();
        (state.pending.get(&ticket).cloned(), state.held.contains_key(&ticket))
    };
    let delivered = pending.is_some_and(|pending| pending.try_send(reply).is_ok());
    if granted && !delivered && !held {
        send(daemon, from, Message::Ended { ticket, end: End::Unused, event_interval_us: 0 });
    }
}
