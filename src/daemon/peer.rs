//! Messages between daemons: small datagrams, any of which may be lost.
//!
//! In each round a daemon sends a heartbeat to other daemons and its callers' demand to the placer.
//! Requests for an adapter are sent to the placer at once and repeated until the adapter is
//! resident. Datagrams are used rather than connections, as an unresponsive connection would need
//! timeouts of its own and a late message has no value.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use postcard::ser_flavors::Size;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;
use smol::future;
use smol::net::UdpSocket;

use crate::daemon::Daemon;
use crate::daemon::admission;
use crate::daemon::admission::Spec;
use crate::daemon::broker;
use crate::daemon::clock;
use crate::daemon::contact;
use crate::daemon::exchange;
use crate::daemon::journal::Event;
use crate::daemon::limit;
use crate::daemon::origin;
use crate::daemon::placer;
use crate::daemon::quarantine;
use crate::daemon::quota;
use crate::daemon::relay;
use crate::daemon::statement;
use crate::decide::demand;
use crate::decide::late_orders::MAX_EXPOSED_AGE;
use crate::decide::suspects;
use crate::decide::updates;
use crate::table::AdapterId;
use crate::table::ModelId;
use crate::table::instance::Key;
use crate::table::instance::Residency;

/// Interval between two gossip rounds.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// Daemons that a round's heartbeat is sent to. With more daemons, each receives the others'
/// heartbeats every few rounds, so that a daemon's traffic does not grow with their number.
pub const HEARTBEAT_FANOUT: usize = 24;
/// Up to this many other daemons, each prompt sent to an engine is announced to all of them, in a
/// datagram of 40 bytes for each request and daemon. With more daemons, brokers grant slots
/// instead.
pub const MAX_BROADCAST_PEERS: usize = 8;
/// Longest time for which datagrams are handled before other tasks get their turn: short beside the
/// shortest pause that a route allows, and long beside the handling of one datagram.
const MAX_RECEIVE_TURN: Duration = Duration::from_millis(5);
/// Interval after which an adapter is requested again: the round trip to the placer, the order and
/// the load of the adapter.
const ADAPTER_REQUEST_INTERVAL: Duration = Duration::from_millis(180);
/// Assumed time in milliseconds for which a request occupies a slot, until a request of its model
/// has ended.
const DEFAULT_SLOT_TIME_MS: f64 = 600.0;
/// Weight of one request in the moving average of these times.
const SLOT_TIME_SMOOTHING: f64 = 0.05;
/// Models in the demand history sent to a new lease holder, those with the most demand: as many as
/// fit into one datagram with names of 20 bytes.
const MAX_HISTORY_MODELS: usize = 35;
/// Restarts in one message: as many as fit into a datagram with ids of 20 bytes.
const MAX_RESTARTS_PER_MESSAGE: usize = 35;
/// The largest datagram, which fits into one packet.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Bytes of a datagram reserved for the message's kind and its number of rows.
pub const RESERVED_BYTES: usize = 8;

/// A daemon's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The daemon's name.
    pub name: String,
    /// Start of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Whether it accepts new callers.
    pub ready: bool,
    /// Whether it can't reach the store, and no attempt of its own to acquire the lease may still
    /// take effect.
    pub store_unreachable: bool,
    /// The version of its configuration in force; 0 for none.
    pub version: u64,
}

/// A message between daemons.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A daemon's heartbeat.
    Heartbeat(Heartbeat),
    /// Demand of a daemon's callers since its last message.
    Demand {
        /// For each model the time that its requests will occupy slots, in milliseconds.
        models: Vec<(ModelId, u32)>,
        /// Number of requests for each adapter.
        adapters: Vec<(ModelId, AdapterId, u32)>,
    },
    /// Earlier demand of a daemon's callers, for a new lease holder.
    History {
        /// For each model the demand counted over a short and a long time.
        models: Vec<(ModelId, f64, f64)>,
    },
    /// A request needs an adapter on an engine.
    AdapterRequest {
        /// The engine.
        key: Key,
        /// The model.
        model: ModelId,
        /// The adapter.
        adapter: AdapterId,
    },
    /// Prompts that the sender sent to an engine.
    PromptSent {
        /// The engine.
        key: Key,
        /// The engine's prefill time for them, in microseconds.
        prefill_us: u32,
    },
    /// A message between a daemon and the broker of a region.
    Broker(broker::Message),
    /// A message between a daemon and the counter of a team's quota.
    Quota(quota::Message),
    /// The models and adapters resident on engines, as the placer knows them.
    Resident(Vec<(Key, Residency)>),
    /// A message about the limit that an endpoint states.
    Limit(limit::Message),
    /// A message about requests that ran on crashed endpoints.
    Quarantine(suspects::Message),
    /// Whether the sender has lost most endpoints. Sent in each round while it has.
    Isolated(bool),
    /// A brittle endpoint has rejected a request of the sender.
    Rejected {
        /// The endpoint.
        key: Key,
        /// The number of rejections within a second beyond which it fails.
        max_rejections: u32,
    },
    /// Endpoints that have restarted under their ids, and how long ago the sender found out, in
    /// milliseconds. Repeated for as long as orders to their earlier incarnations may arrive, so
    /// that a daemon that has started since knows of them before it gives orders.
    Restarted(Vec<(Key, u32)>),
    /// A message about where streams began.
    Origin(origin::Message),
    /// A message about requests that wait where no broker decides.
    Exchange(exchange::Message),
}

/// Demand of this daemon's callers.
#[derive(Debug, Default)]
pub struct Demand {
    /// Slot time of each model's requests since the last round, in milliseconds.
    models: HashMap<ModelId, u32>,
    /// Number of requests for each adapter since the last round.
    adapters: HashMap<(ModelId, AdapterId), u32>,
    /// Mean time that a request of each model occupies a slot, in milliseconds.
    slot_times_ms: HashMap<ModelId, f64>,
    /// When each adapter was last requested for an engine.
    adapter_requests: HashMap<(Key, AdapterId), Duration>,
    /// Demand since the start of the daemon.
    history: demand::Demand,
    /// Address of the lease holder that the history was last sent to.
    history_sent_to: Option<String>,
}

impl Demand {
    /// Records a request for a model.
    pub fn record_request(&mut self, model: &str, adapter: Option<&str>) {
        let slot_time_ms = self.slot_times_ms.get(model).copied().unwrap_or(DEFAULT_SLOT_TIME_MS);
        *self.models.entry(model.to_string()).or_default() += slot_time_ms as u32;
        if let Some(adapter) = adapter {
            *self.adapters.entry((model.to_string(), adapter.to_string())).or_default() += 1;
        }
    }

    /// Records for how long a request of a model occupied a slot.
    pub fn record_slot_time(&mut self, model: &str, slot_time: Duration) {
        let millis = slot_time.as_secs_f64() * 1000.0;
        match self.slot_times_ms.get_mut(model) {
            Some(mean) => *mean += (millis - *mean) * SLOT_TIME_SMOOTHING,
            None => {
                self.slot_times_ms.insert(model.to_string(), DEFAULT_SLOT_TIME_MS);
            }
        }
    }

    /// Returns the demand before this round if it was not yet sent to this lease holder.
    fn history_for(&mut self, now: Duration, leader: &str) -> Option<Message> {
        if self.history_sent_to.as_deref() == Some(leader) {
            return None;
        }
        self.history_sent_to = Some(leader.to_string());
        Some(Message::History { models: self.history.counts(now, MAX_HISTORY_MODELS) })
    }

    /// Takes the demand since the last round and adds it to the history.
    fn take_round(&mut self, now: Duration) -> Option<Message> {
        if self.models.is_empty() {
            return None;
        }
        let models: Vec<_> = self.models.drain().collect();
        self.history.add(now, models.clone(), Vec::new());
        let adapters = self.adapters.drain();
        let adapters = adapters.map(|((model, adapter), count)| (model, adapter, count)).collect();
        Some(Message::Demand { models, adapters })
    }
}

/// The socket for datagrams to and from other daemons.
#[derive(Debug, Clone)]
pub struct Sender {
    socket: UdpSocket,
}

impl Sender {
    /// Binds the socket to `addr`.
    pub async fn bind(addr: SocketAddr) -> io::Result<Self> {
        Ok(Sender { socket: UdpSocket::bind(addr).await? })
    }

    /// Sends a message to daemons; returns once it is handed to the kernel.
    pub async fn send(&self, to: &[SocketAddr], message: &Message) {
        // All messages are repeated in some form, so a lost or oversized one does no harm.
        if let Ok(bytes) = postcard::to_stdvec(message)
            && bytes.len() <= MAX_DATAGRAM_BYTES
        {
            for addr in to {
                let _ = self.socket.send_to(&bytes, *addr).await;
            }
        }
    }
}

/// Sends a message to daemons, in a task of its own.
pub fn spawn_send(daemon: &Rc<Daemon>, to: Vec<SocketAddr>, message: Message) {
    let shared = daemon.clone();
    daemon.ex.spawn(async move { shared.peers.send(&to, &message).await }).detach();
}

/// Sends daemons the models resident on engines; returns once all is sent.
pub async fn send_resident(daemon: &Daemon, to: &[SocketAddr], rows: Vec<(Key, Residency)>) {
    // A row that can't be encoded counts as larger than any datagram.
    let size = |row: &(Key, Residency)| {
        postcard::serialize_with_flavor(row, Size::default()).unwrap_or(MAX_DATAGRAM_BYTES)
    };
    for rows in updates::pack(rows, MAX_DATAGRAM_BYTES - RESERVED_BYTES, size) {
        daemon.peers.send(to, &Message::Resident(rows)).await;
        // Sending hardly ever waits; yielding lets the lease be renewed in between.
        smol::future::yield_now().await;
    }
}

/// Requests from the placer the adapter that `need` requires on an engine, unless this daemon did
/// so within the last `ADAPTER_REQUEST_INTERVAL`.
pub fn send_adapter_request(daemon: &Rc<Daemon>, key: &Key, need: &Spec) {
    let (Some(model), Some(adapter)) = (&need.model, &need.adapter) else {
        return;
    };
    let now = clock::now();
    let wanted_adapter = (key.clone(), adapter.clone());
    {
        let mut demand = daemon.demand.borrow_mut();
        if demand
            .adapter_requests
            .get(&wanted_adapter)
            .is_some_and(|requested_at| now < *requested_at + ADAPTER_REQUEST_INTERVAL)
        {
            return;
        }
        demand
            .adapter_requests
            .retain(|_, requested_at| now < *requested_at + ADAPTER_REQUEST_INTERVAL);
        demand.adapter_requests.insert(wanted_adapter, now);
    }
    daemon.fleet.borrow_mut().request_adapter(now, key, adapter);
    let message = Message::AdapterRequest {
        key: key.clone(),
        model: model.clone(),
        adapter: adapter.clone(),
    };
    send_to_placer(daemon, message);
}

/// Sends a message to the placer, which may be this daemon.
fn send_to_placer(daemon: &Rc<Daemon>, message: Message) {
    let now = clock::now();
    if daemon.placer.borrow().holds_lease(now) {
        on_message(daemon, message, None);
        return;
    }
    let leader = daemon.placer.borrow().leader();
    let addr = leader.and_then(|addr| addr.parse().ok());
    if let Some(addr) = addr {
        spawn_send(daemon, vec![addr], message);
    }
}

/// Sends heartbeats and demand in rounds for as long as the daemon runs.
pub async fn gossip_loop(daemon: Rc<Daemon>) {
    loop {
        Timer::after(GOSSIP_INTERVAL).await;
        send_heartbeat(&daemon);
        limit::announce(&daemon);
        quarantine::announce(&daemon);
        exchange::announce(&daemon);
        contact::announce_round(&daemon);
        announce_restarts(&daemon);
        let Some(leader) = daemon.placer.borrow().leader() else {
            continue;
        };
        let now = clock::now();
        // Taken before this round's demand is added to it, or the placer would count that twice.
        let history = daemon.demand.borrow_mut().history_for(now, &leader);
        let demand = daemon.demand.borrow_mut().take_round(now);
        for message in history.into_iter().chain(demand) {
            send_to_placer(&daemon, message);
        }
    }
}

/// Returns a random choice of the other daemons, to which a round's messages are sent.
pub fn choose_peers(daemon: &Daemon) -> Vec<SocketAddr> {
    choose(daemon, HEARTBEAT_FANOUT)
}

/// Returns a random choice of `fanout` of the other daemons.
pub fn choose(daemon: &Daemon, fanout: usize) -> Vec<SocketAddr> {
    let peers = daemon.nodes.borrow().peers();
    peers.into_iter().choose_multiple(&mut *daemon.rng.borrow_mut(), fanout)
}

/// Sends this daemon's heartbeat to a random choice of the others.
pub fn send_heartbeat(daemon: &Rc<Daemon>) {
    let recipients = choose_peers(daemon);
    let now = clock::now();
    let message = Message::Heartbeat(Heartbeat {
        name: daemon.settings.name.clone(),
        incarnation: daemon.started_at,
        ready: daemon.ready(),
        store_unreachable: daemon.store.is_unavailable(now)
            && !daemon.placer.borrow().may_acquire(now),
        version: daemon.config_version(),
    });
    spawn_send(daemon, recipients, message);
}

/// Tells some of the other daemons which endpoints have restarted lately.
fn announce_restarts(daemon: &Rc<Daemon>) {
    let restarts = daemon.fleet.borrow().recent_restarts(clock::now(), MAX_EXPOSED_AGE);
    let rows: Vec<(Key, u32)> = restarts
        .into_iter()
        .map(|(key, age)| (key, u32::try_from(age.as_millis()).unwrap_or(u32::MAX)))
        .collect();
    for rows in rows.chunks(MAX_RESTARTS_PER_MESSAGE) {
        spawn_send(daemon, choose_peers(daemon), Message::Restarted(rows.to_vec()));
    }
}

/// Announces a prompt sent to an engine to the other daemons, so that together they send it no more
/// than it can prefill within the longest pause its streams may have. Where a broker grants slots,
/// the broker accounts for this instead.
pub fn announce_prompt(daemon: &Rc<Daemon>, key: &Key, prefill: Duration) {
    let nodes = daemon.nodes.borrow();
    if nodes.other_count() <= MAX_BROADCAST_PEERS {
        let announcement =
            Message::PromptSent { key: key.clone(), prefill_us: prefill.as_micros() as u32 };
        spawn_send(daemon, nodes.peers(), announcement);
    }
}

/// Receives the datagrams of other daemons for as long as the daemon runs.
pub async fn receive_loop(daemon: Rc<Daemon>) {
    let mut buf = vec![0_u8; 2 * MAX_DATAGRAM_BYTES];
    let mut turn_ends_at = clock::now() + MAX_RECEIVE_TURN;
    loop {
        if clock::now() >= turn_ends_at {
            // The socket may always have a datagram ready, and then never waits.
            smol::future::yield_now().await;
            turn_ends_at = clock::now() + MAX_RECEIVE_TURN;
        }
        let received = {
            let mut received = std::pin::pin!(daemon.peers.socket.recv_from(&mut buf));
            match future::poll_once(received.as_mut()).await {
                Some(received) => received,
                None => {
                    daemon.nodes.borrow_mut().on_buffer_empty(clock::now());
                    let received = received.await;
                    turn_ends_at = clock::now() + MAX_RECEIVE_TURN;
                    received
                }
            }
        };
        match received {
            Ok((len, from)) => match postcard::from_bytes(&buf[..len]) {
                Ok(message) => on_message(&daemon, message, Some(from)),
                // Sent by another version of the program, or not by a daemon.
                Err(err) => daemon.note(&Event::Skipped {
                    what: "datagram",
                    name: String::new(),
                    problem: err.to_string(),
                    revision: 0,
                }),
            },
            Err(_) => {
                Timer::after(GOSSIP_INTERVAL).await;
            }
        }
    }
}

/// Handles a message; `from` is `None` if this daemon sent it to itself.
fn on_message(daemon: &Rc<Daemon>, message: Message, from: Option<SocketAddr>) {
    let now = clock::now();
    match message {
        Message::Heartbeat(heartbeat) => {
            daemon.nodes.borrow_mut().on_heartbeat(now, &heartbeat);
            if let Some(from) = from {
                relay::on_peer_version(daemon, from, heartbeat.version);
            }
        }
        Message::Demand { models, adapters } => {
            daemon.placer.borrow_mut().demand.add(now, models, adapters);
        }
        Message::History { models } => {
            daemon.placer.borrow_mut().demand.merge(now, models);
        }
        Message::PromptSent { key, prefill_us } => {
            let prefill = Duration::from_micros(prefill_us.into());
            daemon.fleet.borrow_mut().record_remote_prompt(now, &key, prefill);
            if let Some(from) = from {
                exchange::on_sent(daemon, from, &key);
            }
        }
        Message::Broker(message) => {
            if let Some(from) = from {
                broker::on_message(daemon, message, from);
            }
        }
        Message::Quota(message) => {
            if let Some(from) = from {
                quota::on_message(daemon, message, from);
            }
        }
        Message::Limit(message) => {
            if let Some(from) = from {
                limit::on_message(daemon, message, from);
            }
        }
        Message::Quarantine(message) => quarantine::on_message(daemon, message),
        Message::Origin(message) => {
            if let Some(from) = from {
                origin::on_message(daemon, message, from);
            }
        }
        Message::Exchange(message) => {
            if let Some(from) = from {
                exchange::on_message(daemon, message, from);
            }
        }
        Message::Isolated(isolated) => {
            if let Some(from) = from {
                daemon.nodes.borrow_mut().on_isolation(now, from, isolated);
            }
        }
        Message::Restarted(rows) => {
            let mut fleet = daemon.fleet.borrow_mut();
            for (key, age_ms) in rows {
                fleet.on_restart(now, &key, Duration::from_millis(age_ms.into()));
            }
        }
        Message::Rejected { key, max_rejections } => {
            statement::on_rejected(daemon, &key, max_rejections);
        }
        Message::AdapterRequest { key, model, adapter } => {
            placer::request_adapter(daemon, &key, &model, &adapter, from);
        }
        Message::Resident(rows) => {
            for (key, resident) in rows {
                daemon.fleet.borrow_mut().set_resident(now, &key, resident);
                admission::dispatch_at(daemon, &key);
            }
        }
    }
}
