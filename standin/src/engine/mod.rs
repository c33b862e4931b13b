//! A model engine: continuous batching, orders, reports, and the faults it can be told to show.

mod api;
mod batch;
pub mod cache;
mod fault;
pub mod memory;
pub mod text;
pub mod weights;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use http_types::Request;
use poplarmux::edge::endpoint::Action;
use poplarmux::edge::endpoint::Order;
use poplarmux::edge::endpoint::Report;
use poplarmux::edge::endpoint::Resident;
use poplarmux::edge::endpoint::Stage;
use poplarmux::edge::http::Link;
use poplarmux::table::AttemptId;
use poplarmux::table::Bytes;
use poplarmux::table::Incarnation;
use serde::Deserialize;
use serde::Serialize;
use smol::channel::Receiver;
use smol::channel::Sender;

use crate::engine::batch::Run;
use crate::engine::cache::Cache;
pub use crate::engine::fault::Command;
use crate::engine::fault::Faults;
pub use crate::engine::fault::Stop;
use crate::engine::memory::Memory;
use crate::engine::memory::Verdict;
use crate::engine::weights::Weights;
use crate::gate::Gate;
use crate::host::Host;

/// Bodies and attempts that are recorded one by one; beyond it only sums are kept.
const RECORDED_MAX: usize = 100_000;

/// What an engine is like.
#[derive(Debug, Clone)]
pub struct Settings {
    /// How many accelerators it has.
    pub accelerators: u32,
    /// Memory of each.
    pub capacity: Bytes,
    /// Time between tokens when one request runs.
    pub token: Duration,
    /// What each further running request adds to the time between tokens.
    pub slope: Duration,
    /// Time to take in a block of the prompt that is not cached.
    pub block: Duration,
    /// Requests that run at once; more wait.
    pub batch: usize,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: bool,
    /// How old its reports are.
    pub lag: Duration,
    /// Its first start; each restart adds one.
    pub incarnation: Incarnation,
    /// Prefix blocks that its cache holds.
    pub blocks: usize,
    /// Where it loads from.
    pub weights: Arc<Weights>,
}

impl Default for Settings {
    fn default() -> Self {
        let weights = Weights::new(Duration::from_millis(50), Duration::from_millis(7));
        Settings {
            accelerators: 1,
            capacity: 80 << 30,
            token: Duration::from_millis(2),
            slope: Duration::from_micros(20),
            block: Duration::from_micros(100),
            batch: 64,
            fencing: true,
            lag: Duration::ZERO,
            incarnation: 1,
            blocks: 4096,
            weights: Arc::new(weights),
        }
    }
}

/// What an engine did, over all its restarts.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Record {
    /// How often each request body began to run.
    pub runs: BTreeMap<String, u64>,
    /// How often each attempt came.
    pub attempts: BTreeMap<AttemptId, u64>,
    /// Requests that began to run.
    pub begun: u64,
    /// Requests that ran to their last token.
    pub finished: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Attempts cancelled by a call, in order.
    pub cancels: Vec<AttemptId>,
    /// Attempts whose reader went away.
    pub hangups: Vec<AttemptId>,
    /// Every order that came, ignored ones included.
    pub orders: Vec<Order>,
    /// Orders refused for their fencing number.
    pub fenced: u64,
    /// Models and adapters loaded and unloaded.
    pub moves: u64,
    /// The most memory ever asked of each accelerator.
    pub peak: Vec<Bytes>,
    /// The most memory ever asked beyond a capacity.
    pub overcommit: Bytes,
    /// Crashes.
    pub crashes: u64,
}

struct State {
    memory: Memory,
    running: Vec<Run>,
    waiting: Vec<Run>,
    arrivals: u64,
    cache: Cache,
    faults: Faults,
    record: Record,
    incarnation: Incarnation,
    sequence: u64,
    reports: VecDeque<(Instant, Report)>,
}

struct Shared {
    settings: Settings,
    gate: Gate,
    state: Mutex<State>,
    host: Mutex<Option<Host>>,
    bell: (Sender<()>, Receiver<()>),
}

/// A running engine.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine on `addr`; port 0 takes a free one.
    pub fn start(addr: SocketAddr, settings: Settings) -> io::Result<Engine> {
        let state = State {
            memory: Memory::new(settings.accelerators, settings.capacity),
            running: Vec::new(),
            waiting: Vec::new(),
            arrivals: 0,
            cache: Cache::new(settings.blocks),
            faults: Faults { lag: settings.lag, ..Faults::default() },
            record: Record::default(),
            incarnation: settings.incarnation,
            sequence: 0,
            reports: VecDeque::new(),
        };
        let shared = Arc::new(Shared {
            settings,
            gate: Gate::default(),
            state: Mutex::new(state),
            host: Mutex::new(None),
            bell: smol::channel::bounded(1),
        });
        let inner = shared.clone();
        let host = Host::start(addr, move |req: Request, link: Link| {
            let engine = Engine { shared: inner.clone() };
            Box::pin(async move { api::handle(&engine, req, link).await })
        })?;
        *shared.host.lock().expect("engine host") = Some(host);
        let engine = Engine { shared };
        smol::spawn(batch::steps(engine.clone())).detach();
        smol::spawn(batch::samples(engine.clone())).detach();
        Ok(engine)
    }

    /// Where it answers.
    pub fn addr(&self) -> SocketAddr {
        self.host().addr()
    }

    /// Its present start.
    pub fn incarnation(&self) -> Incarnation {
        self.state().incarnation
    }

    /// What it did so far.
    pub fn record(&self) -> Record {
        let state = self.state();
        let mut record = state.record.clone();
        record.peak = state.memory.peak.clone();
        record.overcommit = state.memory.overcommit;
        record
    }

    /// Requests running and waiting.
    pub fn load(&self) -> (usize, usize) {
        let state = self.state();
        (state.running.len(), state.waiting.len())
    }

    /// Whether a model is resident.
    pub fn holds(&self, model: &str) -> bool {
        self.state().memory.serves(model, None)
    }

    /// What it would report now, without lag.
    pub fn report(&self) -> Report {
        self.state().report()
    }

    /// Makes a model or adapter resident without an order; false when it does not fit.
    pub fn preload(&self, resident: Resident) -> bool {
        let resident = Resident { stage: Stage::Resident, ..resident };
        self.state().memory.hold(resident)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("engine state")
    }

    fn host(&self) -> Host {
        let host = self.shared.host.lock().expect("engine host").clone();
        host.expect("set before the engine is handed out")
    }

    /// Wakes the batch loop.
    fn ring(&self) {
        let _ = self.shared.bell.0.try_send(());
    }

    /// Applies an order; the work that it starts ends later by itself.
    fn apply(&self, order: &Order) -> Verdict {
        let mut state = self.state();
        let check = self.shared.settings.fencing && !state.faults.ignore_fences;
        let verdict = state.memory.order(order, check);
        match &verdict {
            Verdict::Started(resident) => {
                state.record.moves += 1;
                let work = self.clone().work(order.action, resident.clone(), state.incarnation);
                smol::spawn(work).detach();
            }
            Verdict::Fenced => state.record.fenced += 1,
            Verdict::Done | Verdict::Full | Verdict::Absent => {}
        }
        verdict
    }

    /// Loads or unloads; what a restart overtook is not settled.
    async fn work(self, action: Action, resident: Resident, incarnation: Incarnation) {
        let adapter = resident.adapter.is_some();
        match action {
            Action::Load | Action::LoadAdapter => {
                let time = self.shared.settings.weights.begin(adapter);
                smol::Timer::after(time).await;
                self.shared.settings.weights.end(adapter);
            }
            Action::Unload | Action::UnloadAdapter => {
                while self.state().uses(&resident) {
                    smol::Timer::after(self.shared.settings.token).await;
                }
            }
            Action::SetRole => {}
        }
        self.shared.gate.pass().await;
        let mut state = self.state();
        if state.incarnation == incarnation {
            state.memory.settle(&resident);
        }
    }
}

impl State {
    /// The present report; each has the next sequence number.
    fn report(&mut self) -> Report {
        self.sequence += 1;
        Report {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            draining: self.faults.leaving.is_some(),
            ..self.memory.report(self.incarnation, self.sequence)
        }
    }

    /// The report as it stood a lag ago.
    fn late_report(&mut self) -> Report {
        let lag = self.faults.lag;
        if lag.is_zero() {
            return self.report();
        }
        while self.reports.len() > 1 && self.reports[1].0.elapsed() >= lag {
            self.reports.pop_front();
        }
        match self.reports.front() {
            Some((_, report)) => report.clone(),
            None => self.report(),
        }
    }

    /// Whether a request still runs on what is being unloaded.
    fn uses(&self, resident: &Resident) -> bool {
        self.running.iter().any(|run| {
            run.model == resident.model
                && (resident.adapter.is_none() || run.adapter == resident.adapter)
        }) && !self.memory.serves(&resident.model, resident.adapter.as_deref())
    }

    /// Records that a request begins to run.
    fn begin(&mut self, body: &str, attempt: &str) {
        let record = &mut self.record;
        record.begun += 1;
        if record.runs.len() < RECORDED_MAX {
            *record.runs.entry(body.to_string()).or_default() += 1;
        }
        if record.attempts.len() < RECORDED_MAX {
            *record.attempts.entry(attempt.to_string()).or_default() += 1;
        }
    }
}
