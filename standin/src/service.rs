//! A plain service, such as records or bookings. It runs all requests and counts them.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use poplarmux::edge::caller;
use poplarmux::edge::endpoint;
use poplarmux::edge::endpoint::Report;
use poplarmux::edge::http::Link;
use poplarmux::table::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::gate::Gate;
use crate::host;
use crate::host::Host;

/// Maximum number of calls recorded individually; further ones are only counted.
const RECORDED_MAX: usize = 100_000;

/// Commands to a service; the same in a test and at `POST /control`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Command {
    /// Delay each call.
    Slow {
        /// The delay.
        ms: u64,
    },
    /// Stop responding; connections stay open.
    Freeze,
    /// Resume responding.
    Thaw,
    /// Break the connections of the next calls without running them.
    BreakBefore {
        /// Number of calls.
        calls: u64,
    },
    /// Run the next calls and break their connections instead of responding.
    BreakAfter {
        /// Number of calls.
        calls: u64,
    },
    /// Refuse all connections for a time, then restart as a new incarnation.
    Crash {
        /// Time until it listens again.
        restart_ms: u64,
    },
    /// Leave: state so in reports and responses at once, and reject new requests later.
    Leave {
        /// Time until new requests are rejected.
        refuse_after_ms: u64,
    },
    /// End all faults.
    Heal,
}

/// One call that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The call's method.
    pub method: String,
    /// Its path and query.
    pub path: String,
    /// Its key, if it had one.
    pub key: Option<String>,
    /// Its body.
    pub body: String,
    /// Number of runs with this key, including this one; without a key, number of all runs.
    pub ran: u64,
}

/// Record of a service's calls.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Record {
    /// The calls that ran, in order.
    pub calls: Vec<Call>,
    /// Number of runs by key.
    pub keys: BTreeMap<String, u64>,
    /// Number of calls that ran.
    pub ran: u64,
    /// Number of calls rejected as not run.
    pub refused: u64,
}

impl Record {
    /// Returns the largest number of runs with one key.
    pub fn most(&self) -> u64 {
        self.keys.values().copied().max().unwrap_or(0)
    }
}

#[derive(Default)]
struct State {
    slow: Duration,
    before: u64,
    after: u64,
    leaving: Option<(Instant, Duration)>,
    running: u32,
    incarnation: Incarnation,
    sequence: u64,
    record: Record,
}

#[derive(Default)]
struct Shared {
    gate: Gate,
    state: Mutex<State>,
    host: Mutex<Option<Host>>,
}

/// A running service.
#[derive(Clone)]
pub struct Service {
    shared: Arc<Shared>,
}

impl Service {
    /// Starts a service on `addr`; port 0 takes a free one.
    pub fn start(addr: SocketAddr, incarnation: Incarnation) -> io::Result<Service> {
        let service = Service { shared: Arc::default() };
        service.state().incarnation = incarnation;
        let inner = service.clone();
        let host = Host::start(addr, move |req: Request, link: Link| {
            let service = inner.clone();
            Box::pin(async move { service.handle(req, link).await })
        })?;
        *service.shared.host.lock().expect("service host") = Some(host);
        Ok(service)
    }

    /// Returns its address.
    pub fn addr(&self) -> SocketAddr {
        self.host().addr()
    }

    /// Returns the record of its calls.
    pub fn record(&self) -> Record {
        self.state().record.clone()
    }

    /// Executes a command.
    pub fn tell(&self, command: Command) {
        let mut state = self.state();
        match command {
            Command::Slow { ms } => state.slow = Duration::from_millis(ms),
            Command::Freeze => self.shared.gate.freeze(),
            Command::Thaw => self.shared.gate.thaw(),
            Command::BreakBefore { calls } => state.before = calls,
            Command::BreakAfter { calls } => state.after = calls,
            Command::Crash { restart_ms } => {
                state.incarnation += 1;
                let host = self.host();
                host.close();
                smol::spawn(async move {
                    smol::Timer::after(Duration::from_millis(restart_ms)).await;
                    host.open();
                })
                .detach();
            }
            Command::Leave { refuse_after_ms } => {
                state.leaving = Some((Instant::now(), Duration::from_millis(refuse_after_ms)));
            }
            Command::Heal => {
                (state.slow, state.before, state.after) = (Duration::ZERO, 0, 0);
                self.shared.gate.thaw();
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("service state")
    }

    fn host(&self) -> Host {
        let host = self.shared.host.lock().expect("service host").clone();
        host.expect("set before the service is handed out")
    }

    async fn handle(&self, mut req: Request, link: Link) -> Response {
        let path = req.url().path().to_string();
        if path == "/control" {
            if req.method() == Method::Post {
                match host::parse::<Command>(&mut req).await {
                    Ok(command) => self.tell(command),
                    Err(res) => return res,
                }
            }
            return host::ok(&self.record());
        }
        self.shared.gate.pass().await;
        let mut res = match path.as_str() {
            "/report" => host::ok(&self.state().report()),
            _ => {
                self.state().running += 1;
                let res = self.run(&mut req, &link).await;
                self.state().running -= 1;
                res
            }
        };
        let state = self.state();
        res.insert_header(endpoint::LOAD, format!("{}/0", state.running));
        if state.leaving.is_some() {
            res.insert_header(endpoint::PRESENCE, "leaving");
        }
        res
    }

    async fn run(&self, req: &mut Request, link: &Link) -> Response {
        let Ok(buf) = host::read(req).await else {
            return host::cut(link);
        };
        let (slow, before, after) = {
            let mut state = self.state();
            if state.leaving.is_some_and(|(since, after)| since.elapsed() >= after) {
                state.record.refused += 1;
                let unavailable = StatusCode::ServiceUnavailable;
                return host::refusal(unavailable, "leaving", "takes no new work");
            }
            let before = state.before > 0;
            state.before = state.before.saturating_sub(1);
            let after = !before && state.after > 0;
            state.after -= u64::from(after);
            (state.slow, before, after)
        };
        if before {
            return host::cut(link);
        }
        if !slow.is_zero() {
            smol::Timer::after(slow).await;
            self.shared.gate.pass().await;
        }
        let body = String::from_utf8_lossy(&buf).into_owned();
        let call = self.state().run(req, body);
        if after {
            return host::cut(link);
        }
        host::ok(&call)
    }
}

impl State {
    fn run(&mut self, req: &Request, body: String) -> Call {
        let record = &mut self.record;
        record.ran += 1;
        let key = host::header(req, caller::IDEMPOTENCY_KEY);
        let ran = match &key {
            None => record.ran,
            Some(key) => {
                let ran = record.keys.entry(key.clone()).or_default();
                *ran += 1;
                *ran
            }
        };
        let url = req.url();
        let query = url.query().map(|query| format!("?{query}")).unwrap_or_default();
        let path = format!("{}{query}", url.path());
        let call = Call { method: req.method().to_string(), path, key, body, ran };
        if record.calls.len() < RECORDED_MAX {
            record.calls.push(call.clone());
        }
        call
    }

    fn report(&mut self) -> Report {
        self.sequence += 1;
        Report {
            incarnation: self.incarnation,
            sequence: self.sequence,
            accelerators: Vec::new(),
            resident: Vec::new(),
            applied: Vec::new(),
            running: self.running,
            waiting: 0,
            draining: self.leaving.is_some(),
        }
    }
}
