//! The entry: names the addresses that callers should use and forwards their requests to endpoints.

pub mod adopt;
pub mod chat;
pub mod claim;
pub mod gossip;
pub mod job;
pub mod offer;
pub mod pipe;
pub mod plain;
pub mod report;
pub mod rpc;
pub mod serve;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol::channel::Sender;

use crate::config::settings;
use crate::config::snapshot::Revision;
use crate::decide;
use crate::decide::adopt::Adopter;
use crate::decide::claim::Claimant;
use crate::decide::claim::interface;
use crate::decide::flow::Action;
use crate::decide::flow::Event;
use crate::decide::flow::Flow;
use crate::decide::flow::Location;
use crate::decide::flow::Refusal;
use crate::decide::load;
use crate::decide::member;
use crate::edge::caller::Code;
use crate::edge::caller::Refused;
use crate::edge::endpoint::call;
use crate::edge::http::Drain;
use crate::edge::http::Pool;
use crate::edge::peer;
use crate::edge::platform;
use crate::edge::platform::Presence;
use crate::metric::Counter;
use crate::metric::Metrics;
use crate::table::AttemptId;
use crate::table::EndpointId;
use crate::table::Incarnation;
use crate::table::RequestId;

/// The next step of one request, as `decide::flow` decided it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send the request to this endpoint.
    Send(EndpointId),
    /// Refuse the request with this final answer.
    Refuse(Refusal),
    /// Cancel the attempt at this endpoint.
    Cancel(EndpointId),
}

/// The state of one entry, shared by its tasks. No lock is held across an await.
pub struct Entry {
    /// Its settings.
    pub settings: settings::Entry,
    /// Start of the process in milliseconds since the Unix epoch; increases with each start.
    pub incarnation: Incarnation,
    /// Its counters.
    pub metrics: Arc<Metrics>,
    /// The drain state of the listener for callers.
    pub drain: Drain,
    /// The client for calls to endpoints.
    pub endpoints: call::Client,
    /// The client for calls to other entries.
    pub peers: peer::Client,
    /// The connection pool for peers and for reports of endpoints.
    pub pool: Pool,
    /// The client of the platform.
    pub platform: platform::http::Client,
    /// The claims of calls that must not run twice.
    pub claims: claim::Handle<platform::http::Client>,
    started_at: Instant,
    next_number: AtomicU64,
    flow: Mutex<Flow>,
    members: Mutex<member::Table>,
    loads: Mutex<load::Table>,
    offers: Mutex<decide::offer::Table>,
    /// The configuration in force; only `put_in_force` changes it.
    config: Mutex<Arc<Revision>>,
    adopter: Mutex<Adopter>,
    step_channels: Mutex<HashMap<RequestId, Sender<Step>>>,
    rng: Mutex<SmallRng>,
}

impl Entry {
    /// Creates an entry without a configuration, members or endpoints.
    pub fn new(settings: settings::Entry, incarnation: Incarnation) -> Self {
        let limits = &settings.limits;
        let pool = Pool::new(limits.connect(), limits.idle());
        let location = Location {
            region: settings.place.region.clone(),
            data_center: settings.place.data_center.clone(),
        };
        let seed = incarnation ^ u64::from(settings.peer.port());
        let own_row = member::Row {
            peer: settings.peer,
            address: settings.listen,
            region: location.region.clone(),
            data_center: location.data_center.clone(),
            incarnation,
            heartbeat: 0,
            state: Presence::Live,
        };
        let seeds = settings.place.peers.clone();
        let own_peer = decide::adopt::Peer { id: settings.peer, region: location.region.clone() };
        let metrics = Arc::new(Metrics::new(settings.place.statsd));
        let platform = platform::http::Client::new(
            settings.place.platform,
            pool.clone(),
            metrics.clone(),
            platform::http::Settings::default(),
        );
        let claimant = Claimant { entry: settings.peer, incarnation };
        let peers = peer::Client::new(pool.clone());
        let claims = claim::Handle::new(
            claimant,
            platform.clone(),
            peers.clone(),
            metrics.clone(),
            interface::Settings::default(),
        );
        Entry {
            incarnation,
            metrics,
            platform,
            claims,
            peers,
            drain: Drain::default(),
            endpoints: call::Client::new(pool.with_response_bound(limits.answers)),
            pool,
            started_at: Instant::now(),
            next_number: AtomicU64::new(1),
            flow: Mutex::new(Flow::new(location, seed)),
            members: Mutex::new(member::Table::new(own_row, seeds)),
            loads: Mutex::default(),
            offers: Mutex::default(),
            config: Mutex::default(),
            adopter: Mutex::new(Adopter::new(own_peer, Duration::ZERO)),
            step_channels: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            settings,
        }
    }

    /// Returns the time since the start of this process.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns a number that this process has not used yet.
    pub fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a new attempt id. It is unique over all entries and their restarts, so that a late
    /// part of one attempt is never taken for a part of another.
    pub fn new_attempt(&self) -> AttemptId {
        format!("{}-{:x}-{:x}", self.settings.peer, self.incarnation, self.next_number())
    }

    /// Returns the configuration in force and its version in the platform.
    pub fn in_force(&self) -> Arc<Revision> {
        self.config.lock().expect("config").clone()
    }

    /// Returns the version of the configuration in force; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.in_force().snapshot.version
    }

    /// Returns whether requests may be served with the configuration in force.
    pub fn can_serve(&self) -> bool {
        self.with_adopter(|adopter, _| adopter.ready()) && self.version() > 0
    }

    /// Returns a refusal if no configuration may be used for requests yet.
    pub fn check_ready(&self) -> Result<(), Refused> {
        if self.can_serve() {
            return Ok(());
        }
        let retry_after = Duration::from_secs(1);
        Err(Refused::retryable(
            Code::NotReady,
            "no configuration is in force yet; retry later",
            retry_after,
        ))
    }

    /// Puts a configuration in force if it is newer than the current one.
    ///
    /// Answers of the platform and of peers can arrive out of order. The version may only increase,
    /// which is checked under the lock, so an older configuration never returns, whatever its
    /// source.
    fn put_in_force(&self, candidate: Revision) {
        let mut config = self.config.lock().expect("config");
        let version = candidate.snapshot.version;
        if version <= config.snapshot.version {
            return;
        }
        let snapshot = candidate.snapshot.clone();
        *config = Arc::new(candidate);
        // The flow is configured before the lock is released, so that it never returns to an older
        // configuration.
        self.flow.lock().expect("flow").configure(snapshot);
        drop(config);
        self.metrics.count(Counter::Adopted);
        tracing::info!(version, "configuration in force");
    }

    /// Runs `work` on the adopter.
    pub fn with_adopter<T>(&self, work: impl FnOnce(&mut Adopter, &mut SmallRng) -> T) -> T {
        let mut rng = self.rng.lock().expect("rng");
        work(&mut self.adopter.lock().expect("adopter"), &mut rng)
    }

    /// Runs `work` on the member table.
    pub fn with_members<T>(&self, work: impl FnOnce(&mut member::Table, &mut SmallRng) -> T) -> T {
        let mut rng = self.rng.lock().expect("rng");
        work(&mut self.members.lock().expect("members"), &mut rng)
    }

    /// Runs `work` on the load table.
    pub fn with_loads<T>(&self, work: impl FnOnce(&mut load::Table) -> T) -> T {
        work(&mut self.loads.lock().expect("loads"))
    }

    /// Runs `work` on the counts of callers' demand.
    pub fn with_offers<T>(&self, work: impl FnOnce(&mut decide::offer::Table) -> T) -> T {
        work(&mut self.offers.lock().expect("offers"))
    }

    /// Runs `work` on the flow.
    pub fn with_flow<T>(&self, work: impl FnOnce(&mut Flow) -> T) -> T {
        work(&mut self.flow.lock().expect("flow"))
    }

    /// Registers the channel by which the task of a request receives its steps.
    pub fn register(&self, id: RequestId, tx: Sender<Step>) {
        self.step_channels.lock().expect("step channels").insert(id, tx);
    }

    /// Removes the channel of a request's task.
    pub fn unregister(&self, id: RequestId) {
        self.step_channels.lock().expect("step channels").remove(&id);
    }

    /// Returns the number of requests between arrival and final answer.
    pub fn open_requests(&self) -> usize {
        self.step_channels.lock().expect("step channels").len()
    }

    /// Passes an event to the flow and performs the actions that it returns.
    pub fn on_event(&self, event: Event) {
        let now = self.now();
        let actions = self.flow.lock().expect("flow").handle(now, event);
        self.perform(actions);
    }

    /// Performs the actions that are due by time alone.
    pub fn tick(&self) {
        let now = self.now();
        let actions = self.flow.lock().expect("flow").tick(now);
        self.perform(actions);
    }

    fn perform(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch(id, target) => self.send_step(id, Step::Send(target)),
                Action::Refuse(id, refusal) => self.send_step(id, Step::Refuse(refusal)),
                Action::Cancel(id, target) => self.send_step(id, Step::Cancel(target)),
                Action::Quarantine(fingerprint, duration) => self.quarantine(fingerprint, duration),
            }
        }
    }

    fn send_step(&self, id: RequestId, step: Step) {
        if let Some(tx) = self.step_channels.lock().expect("step channels").get(&id) {
            let _ = tx.try_send(step);
        }
    }

    /// Sends the quarantine of a fingerprint to all live peers.
    fn quarantine(&self, fingerprint: u64, duration: Duration) {
        let now = self.now();
        let live = self.with_members(|members, _| members.peers(now));
        let params = rpc::Quarantine {
            release: peer::RELEASE,
            fingerprint,
            for_ms: duration.as_millis() as u64,
        };
        for peer in live {
            let (peers, params) = (self.peers.clone(), params.clone());
            smol::spawn(async move {
                let timeout = Duration::from_secs(2);
                let _ = peers.call::<bool>(peer, "quarantine.add", &params, timeout).await;
            })
            .detach();
        }
    }
}
