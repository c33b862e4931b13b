//! The daemon: the complete system on one instance.
//!
//! It serves callers' requests at endpoints (`front`), gives callers the addresses of daemons
//! (`directory`), follows the store (`store`), exchanges messages with other daemons (`peer`), and
//! places models while it holds the lease (`placer`). One thread runs all tasks, so shared state
//! lives in cells, and no cell stays borrowed across an await.

pub mod admission;
pub mod broker;
pub mod clock;
pub mod collect;
pub mod compression;
pub mod connection;
pub mod contact;
pub mod directory;
pub mod engine;
pub mod exchange;
pub mod explain;
pub mod foreign;
pub mod forward;
pub mod front;
pub mod gate;
pub mod gauge;
pub mod incarnation;
pub mod intake;
pub mod journal;
pub mod lease;
pub mod limit;
pub mod link;
pub mod liveness;
pub mod node;
pub mod origin;
pub mod output;
pub mod peer;
pub mod placer;
pub mod quarantine;
pub mod quota;
pub mod read_ahead;
pub mod refusals;
pub mod relay;
pub mod reply;
pub mod retry;
pub mod segments;
pub mod send;
pub mod settings;
pub mod stall;
pub mod statement;
pub mod store;
pub mod stream;
pub mod tally;
pub mod transfer;
pub mod trial;
pub mod updates;
pub mod versions;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event as Notifier;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use smol::LocalExecutor;
use smol::Timer;

use crate::daemon::gauge::Gauges;
use crate::daemon::journal::Event;
use crate::daemon::journal::Journal;
use crate::daemon::link::Executor;
use crate::daemon::link::Pool;
use crate::daemon::settings::Settings;
use crate::decide::allowance::Allowance;
use crate::decide::brittle::Sharing;
use crate::decide::completions::Completions;
use crate::decide::fleet::Fleet;
use crate::decide::lag;
use crate::decide::lag::Monitor;
use crate::decide::share::Teams;
use crate::decide::wait_queue::Queue;
use crate::edge::dialect::Dialect;
use crate::table::Fingerprint;
use crate::table::instance::Key;
use crate::table::routing::Config;

/// Interval between two sweeps of idle connections.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two passes over the queue, as a multiple of what one takes: most requests are
/// sent when another ends, and a broker with half a core has other work.
const QUEUE_PASS_FACTOR: u32 = 20;
/// Upper bound of that interval.
const MAX_QUEUE_PASS_INTERVAL: Duration = Duration::from_millis(400);

/// State of one daemon.
pub struct Daemon {
    /// The platform's dialect.
    pub dialect: Box<dyn Dialect>,
    /// Settings given at the start.
    pub settings: Settings,
    /// When the daemon started, in milliseconds since the Unix epoch.
    pub started_at: u64,
    /// Executor that runs all tasks.
    pub ex: Executor,
    /// The configuration in force; none before the first was read.
    pub config: RefCell<Option<Rc<Config>>>,
    /// The configuration in force as it was published.
    pub published: RefCell<Option<Value>>,
    /// The endpoints.
    pub fleet: RefCell<Fleet>,
    /// Requests that wait for an endpoint.
    pub queue: RefCell<Queue<admission::Waiter>>,
    /// Completed requests, which tell how long others wait.
    pub completions: RefCell<Completions>,
    /// How requests have left the queue.
    pub waits: RefCell<admission::Waits>,
    /// Slot time that teams have received.
    pub shares: RefCell<Teams>,
    /// What waits at other daemons, where no broker decides.
    pub exchange: RefCell<exchange::State>,
    /// Requests to brokers, and the grants that this daemon has given to others.
    pub broker: RefCell<broker::Broker>,
    /// Quotas of teams.
    pub quotas: RefCell<quota::Quotas>,
    /// Permits under the limits of endpoints.
    pub limits: RefCell<limit::Limits>,
    /// Requests that ran on crashed endpoints.
    pub quarantine: RefCell<quarantine::Observer>,
    /// Requests on trial that run now.
    pub trials: RefCell<HashSet<Fingerprint>>,
    /// Where streams began.
    pub origins: RefCell<origin::Origins>,
    /// Reads of the versions that serve.
    pub version_reads: versions::Reads,
    /// Connections that show whether endpoints still run.
    pub liveness: RefCell<liveness::Connections>,
    /// Which endpoints this daemon reaches.
    pub contact: contact::Observer,
    /// Daemons that requests could not be passed to.
    pub forwarders: RefCell<forward::Failures>,
    /// Retry budget.
    pub allowance: RefCell<Allowance>,
    /// Decisions on retries.
    pub retries: RefCell<retry::Outcomes>,
    /// Retries whose requests may arrive once more later.
    pub late_repeats: RefCell<Vec<retry::LateRepeat>>,
    /// Other daemons.
    pub nodes: RefCell<node::Table>,
    /// Callers' demand for models, collected for the placer.
    pub demand: RefCell<peer::Demand>,
    /// Placement, active while the lease is held.
    pub placer: RefCell<placer::Placer>,
    /// Orders in flight to engines.
    pub orders: engine::Orders,
    /// Connections to endpoints.
    pub pool: RefCell<Pool>,
    /// Relays data read from the store to other daemons.
    pub relay: relay::Relay,
    /// Calls for objects that are in progress.
    pub transfers: transfer::Transfers,
    /// Client of the store.
    pub store: store::Client,
    /// Sender of datagrams to other daemons.
    pub peers: peer::Sender,
    /// The structured log.
    pub journal: RefCell<Journal>,
    /// Counters and histograms.
    pub gauges: Gauges,
    /// Random number generator.
    pub rng: RefCell<SmallRng>,
    /// Bounds the explanations that operators ask for.
    pub explanations: Cell<explain::Rate>,
    /// Accepted connections.
    pub connections: connection::Connections,
    /// What is held for callers that read slowly, and of other bodies.
    pub read_ahead: read_ahead::Table,
    /// Monitor of the event loop's ticks.
    pub lag: Cell<Monitor>,
    /// Whether the daemon has been asked to stop.
    pub shutting_down: Cell<bool>,
    /// When the shutdown began, and when the process ends; none before a shutdown.
    pub shutdown_period: Cell<Option<(Duration, Duration)>>,
    /// Whether the list of endpoints has been read once.
    pub endpoints_listed: Cell<bool>,
    /// Number of requests without a final answer.
    pub open_requests: Cell<usize>,
    /// Connections whose answers can't be written at the moment.
    pub blocked_outputs: output::Blocked,
    /// Notified when callers' idle connections have to be closed.
    pub close_idle: Notifier,
    /// Notified when the shutdown begins.
    pub stopping: Notifier,
    /// When waiting requests are dispatched next; none if nothing is scheduled.
    pub next_dispatch: Cell<Option<Duration>>,
    next_number: Cell<u64>,
}

impl Daemon {
    /// Returns a daemon that has read nothing from the store yet.
    pub fn new(
        settings: Settings,
        dialect: Box<dyn Dialect>,
        ex: Executor,
        peers: peer::Sender,
    ) -> Rc<Self> {
        let started_at = clock::unix_millis();
        let seed = started_at ^ xxhash_rust::xxh3::xxh3_64(settings.name.as_bytes());
        let mut rng = SmallRng::seed_from_u64(seed);
        let allowance = Allowance::new(settings.retries, SmallRng::from_rng(&mut rng));
        let mut fleet = Fleet::new(
            settings.region.clone(),
            settings.data_center.clone(),
            settings.data_centers.clone(),
        );
        fleet.seat = seed;
        Rc::new(Daemon {
            started_at,
            config: RefCell::default(),
            published: RefCell::default(),
            fleet: RefCell::new(fleet),
            queue: RefCell::default(),
            completions: RefCell::default(),
            waits: RefCell::default(),
            shares: RefCell::default(),
            exchange: RefCell::default(),
            broker: RefCell::default(),
            quotas: RefCell::new(quota::Quotas::new(clock::now())),
            limits: RefCell::default(),
            quarantine: RefCell::default(),
            trials: RefCell::default(),
            version_reads: versions::Reads::default(),
            origins: RefCell::default(),
            liveness: RefCell::default(),
            contact: contact::Observer::default(),
            forwarders: RefCell::default(),
            allowance: RefCell::new(allowance),
            retries: RefCell::default(),
            late_repeats: RefCell::default(),
            nodes: RefCell::default(),
            demand: RefCell::default(),
            placer: RefCell::new(placer::Placer::new(&settings, started_at)),
            orders: engine::Orders::default(),
            pool: RefCell::default(),
            store: store::Client::new(ex.clone(), settings.store),
            relay: relay::Relay::default(),
            transfers: transfer::Transfers::default(),
            peers,
            journal: RefCell::default(),
            gauges: Gauges::default(),
            rng: RefCell::new(rng),
            explanations: Cell::default(),
            connections: connection::Connections::new(&settings),
            read_ahead: read_ahead::Table::new(settings.memory),
            lag: Cell::default(),
            shutting_down: Cell::new(false),
            shutdown_period: Cell::new(None),
            endpoints_listed: Cell::new(false),
            open_requests: Cell::new(0),
            blocked_outputs: output::Blocked::default(),
            close_idle: Notifier::new(),
            stopping: Notifier::new(),
            next_dispatch: Cell::new(None),
            next_number: Cell::new(1),
            ex,
            dialect,
            settings,
        })
    }

    /// Logs and counts an event.
    pub fn note(&self, event: &Event) {
        self.journal.borrow_mut().record(event);
    }

    /// Records a tick of the event loop and returns its delay.
    fn tick(&self, now: Duration) -> Duration {
        let mut lag = self.lag.get();
        let late = lag.tick(now);
        self.lag.set(lag);
        late
    }

    /// Returns the version of the configuration in force; 0 before the first.
    pub fn config_version(&self) -> u64 {
        self.config.borrow().as_ref().map_or(0, |config| config.version)
    }

    /// Returns whether an endpoint is a model engine.
    pub fn is_engine(&self, key: &Key) -> bool {
        let (fleet, config) = (self.fleet.borrow(), self.config.borrow());
        let (Some(row), Some(config)) = (fleet.get(key), &*config) else {
            return false;
        };
        let service = config.services.get(&row.instance.service);
        service.is_some_and(|service| service.engines.is_some())
    }

    /// Returns whether the daemon accepts new callers.
    pub fn ready(&self) -> bool {
        !self.shutting_down.get() && self.endpoints_listed.get() && self.config.borrow().is_some()
    }

    /// Returns a number that is unique among this daemon's requests.
    pub fn next_request_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }
}

/// Runs the work that is driven by timers: stall detection, expiry of endpoints, dispatch of
/// waiting requests and the sweep of idle connections.
pub async fn run_timers(daemon: Rc<Daemon>) {
    let mut last_sweep = clock::now();
    let mut next_pass = Duration::ZERO;
    let mut total_suspended = clock::suspended();
    daemon.tick(last_sweep);
    loop {
        Timer::after(lag::TICK_INTERVAL).await;
        let now = clock::now();
        let late = daemon.tick(now);
        daemon.gauges.record_lateness(late);
        let previous = std::mem::replace(&mut total_suspended, clock::suspended());
        if late >= lag::STALL_THRESHOLD {
            let suspended = total_suspended.saturating_sub(previous);
            daemon.note(&Event::Late {
                by: late.as_millis() as u64,
                suspended: suspended.as_millis() as u64,
            });
        }
        daemon.fleet.borrow_mut().tick(now);
        let sharing = sharing(&daemon);
        let reached_ratio = daemon.nodes.borrow().reached_ratio(now, |_| false);
        daemon.fleet.borrow_mut().sharing = sharing;
        daemon.fleet.borrow_mut().memory.set_daemons(
            sharing.daemons,
            reached_ratio,
            sharing.has_brokers,
        );
        contact::tick(&daemon, now);
        read_ahead::tick(&daemon, now);
        let pace_changes = daemon.fleet.borrow_mut().take_pace_changes();
        for (key, bound) in pace_changes {
            daemon.note(&Event::Pace { endpoint: key.id, bound });
        }
        exchange::tick(&daemon, now);
        if !daemon.queue.borrow().is_empty() && now >= next_pass {
            admission::refuse_hopeless(&daemon, now);
            admission::dispatch(&daemon);
            let took = clock::now().saturating_sub(now);
            next_pass = now + (took * QUEUE_PASS_FACTOR).min(MAX_QUEUE_PASS_INTERVAL);
        }
        if now >= last_sweep + IDLE_SWEEP_INTERVAL {
            last_sweep = now;
            daemon.shares.borrow_mut().tick(now);
            retry::release_read(&daemon, now);
            connection::close_late_heads(&daemon, now);
            daemon.pool.borrow_mut().remove_expired();
            let fleet = daemon.fleet.borrow();
            daemon.liveness.borrow_mut().retain(|key| fleet.get(key).is_some());
        }
    }
}

/// Returns how daemons share the slots of endpoints. Those that this one takes for dead may go on,
/// and before it has read their list there may be any number.
fn sharing(daemon: &Daemon) -> Sharing {
    let nodes = daemon.nodes.borrow();
    Sharing {
        daemons: if nodes.is_loaded() { nodes.known_count() } else { usize::MAX },
        has_brokers: broker::is_needed(daemon),
    }
}

/// Runs a future to completion on an executor of its own.
pub fn block_on<T>(work: impl AsyncFnOnce(Executor) -> T) -> T {
    let ex: Executor = Rc::new(LocalExecutor::new());
    smol::block_on(ex.run(work(ex.clone())))
}
