//! The platform: object API, instance list and the faults it can be told to show.

mod api;
pub mod store;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http_types::Request;
use http_types::Response;
use poplarmux::edge::http::Link;
use poplarmux::edge::platform::Instance;
use poplarmux::edge::platform::Object;
use poplarmux::edge::platform::Presence;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::gate::Gate;
use crate::host;
use crate::host::Host;
use crate::platform::store::Condition;
use crate::platform::store::Store;

/// What is counted: every call, once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// An object was read.
    Get,
    /// An object was to be written.
    Put,
    /// An object was to be deleted.
    Delete,
    /// Objects were listed.
    List,
    /// Changes were waited for.
    Watch,
    /// The instance list was read.
    Instances,
}

/// What the platform can be told; the same in a test and at `POST /control`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Command {
    /// Refuse every connection.
    Down,
    /// Take connections and requests, and answer none; what came is done when it is up again.
    Hang,
    /// Be up a while, then break every connection a while, again and again.
    Flap {
        /// How long each time up.
        up_ms: u64,
        /// How long each time down.
        down_ms: u64,
    },
    /// End all of down, hung, flapping, slow and refused clients.
    Heal,
    /// Begin each call late.
    Slow {
        /// How late.
        ms: u64,
    },
    /// Apply the next writes and break the connection in place of an answer.
    LoseAnswers {
        /// How many writes.
        writes: u64,
    },
    /// Lose the answers of a share of all writes.
    LoseShare {
        /// Between 0 and 1.
        share: f64,
        /// Seeds the choice.
        seed: u64,
    },
    /// Show the instance list as it was.
    Lag {
        /// How long ago.
        ms: u64,
    },
    /// Answer 429 over this many calls a second.
    Rate {
        /// Writes a second; none for no limit.
        writes: Option<f64>,
        /// Other calls a second; none for no limit.
        reads: Option<f64>,
    },
    /// Break the connections of a client, named by `x-client` or its IP address.
    Refuse {
        /// The client.
        client: String,
    },
    /// Forget the history of changes but for the latest.
    Compact {
        /// How many stay.
        keep: usize,
    },
    /// Add an instance, or replace the one at its address.
    PutInstance {
        /// The instance.
        instance: Box<Instance>,
    },
    /// Take an instance off the list.
    RemoveInstance {
        /// Its address.
        address: SocketAddr,
    },
    /// Set an instance's state.
    SetPresence {
        /// Its address.
        address: SocketAddr,
        /// The state.
        state: Presence,
    },
    /// Write an object without any condition, as another operator might.
    PutObject {
        /// Its kind.
        kind: String,
        /// Its name.
        name: String,
        /// Its value; none deletes it.
        value: Option<Value>,
    },
}

/// What the platform has counted.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Record {
    /// Calls by kind; a waiting watch is one.
    pub calls: BTreeMap<Call, u64>,
    /// Calls answered with 429.
    pub limited: u64,
    /// Writes that took effect without an answer.
    pub lost: u64,
}

impl Record {
    /// Calls of all kinds.
    pub fn total(&self) -> u64 {
        self.calls.values().sum()
    }
}

/// Calls that may be made at a rate.
#[derive(Default)]
struct Bucket {
    rate: Option<f64>,
    tokens: f64,
    filled: Option<Instant>,
}

impl Bucket {
    fn set(&mut self, rate: Option<f64>) {
        *self = Bucket { rate, tokens: rate.unwrap_or(0.0).max(1.0), filled: None };
    }

    fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let Some(rate) = self.rate else {
            return Ok(());
        };
        let since = self.filled.replace(now).map_or(Duration::ZERO, |then| now - then);
        self.tokens = (self.tokens + since.as_secs_f64() * rate).min(rate.max(1.0));
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

#[derive(Default)]
struct Faults {
    slow: Duration,
    flap: Option<(Instant, Duration, Duration)>,
    lose: u64,
    share: Option<(f64, SmallRng)>,
    lag: Duration,
    refused: Vec<String>,
}

#[derive(Default)]
struct State {
    store: Store,
    faults: Faults,
    writes: Bucket,
    reads: Bucket,
    record: Record,
    /// Every state of the list, oldest first; never empty after the first instance.
    lists: Vec<(Instant, Vec<Instance>)>,
}

#[derive(Default)]
struct Shared {
    gate: Gate,
    state: Mutex<State>,
}

/// A running platform.
#[derive(Clone)]
pub struct Platform {
    shared: Arc<Shared>,
    host: Host,
}

impl Platform {
    /// Starts a platform on `addr`; port 0 takes a free one.
    pub fn start(addr: SocketAddr) -> io::Result<Platform> {
        let shared = Arc::new(Shared::default());
        let inner = shared.clone();
        // The handler commands the host it runs on; the host is known only once it listens.
        let own: Arc<Mutex<Option<Host>>> = Arc::default();
        let slot = own.clone();
        let host = Host::start(addr, move |req: Request, link: Link| {
            let (inner, slot) = (inner.clone(), slot.clone());
            Box::pin(async move {
                if req.url().path() != "/control" {
                    return api::handle(&inner, req, link).await;
                }
                let host = slot.lock().expect("host").clone();
                match host {
                    Some(host) => Platform { shared: inner, host }.control(req).await,
                    None => host::ok(&()),
                }
            })
        })?;
        *own.lock().expect("host") = Some(host.clone());
        Ok(Platform { shared, host })
    }

    /// Where it answers.
    pub fn addr(&self) -> SocketAddr {
        self.host.addr()
    }

    /// Does what a command says.
    pub fn tell(&self, command: Command) {
        match command {
            Command::Down => self.host.close(),
            Command::Hang => self.shared.gate.freeze(),
            Command::Heal => {
                let lag = self.state().faults.lag;
                self.state().faults = Faults { lag, ..Faults::default() };
                self.shared.gate.thaw();
                self.host.open();
            }
            other => self.state().tell(other),
        }
    }

    /// Adds an instance, or replaces the one at its address.
    pub fn put_instance(&self, instance: Instance) {
        self.tell(Command::PutInstance { instance: Box::new(instance) });
    }

    /// Takes an instance off the list.
    pub fn remove_instance(&self, address: SocketAddr) {
        self.tell(Command::RemoveInstance { address });
    }

    /// What was counted so far.
    pub fn record(&self) -> Record {
        self.state().record.clone()
    }

    /// One object as it stands.
    pub fn object(&self, kind: &str, name: &str) -> Option<Object> {
        self.state().store.get(kind, name).cloned()
    }

    /// The objects of a kind as they stand.
    pub fn objects(&self, kind: &str) -> Vec<Object> {
        self.state().store.list(kind, "")
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.shared.state.lock().expect("platform state")
    }

    /// Commands by HTTP pass every fault, so that faults can be ended.
    async fn control(&self, mut req: Request) -> Response {
        if req.method() == http_types::Method::Get {
            return host::ok(&self.record());
        }
        match host::parse::<Command>(&mut req).await {
            Ok(command) => {
                self.tell(command);
                host::ok(&self.record())
            }
            Err(res) => res,
        }
    }
}

impl State {
    fn tell(&mut self, command: Command) {
        let faults = &mut self.faults;
        match command {
            Command::Down | Command::Hang | Command::Heal => {}
            Command::Flap { up_ms, down_ms } => {
                let (up, down) = (Duration::from_millis(up_ms), Duration::from_millis(down_ms));
                faults.flap = Some((Instant::now(), up, down));
            }
            Command::Slow { ms } => faults.slow = Duration::from_millis(ms),
            Command::LoseAnswers { writes } => faults.lose = writes,
            Command::LoseShare { share, seed } => {
                faults.share = Some((share, SmallRng::seed_from_u64(seed)));
            }
            Command::Lag { ms } => faults.lag = Duration::from_millis(ms),
            Command::Rate { writes, reads } => {
                self.writes.set(writes);
                self.reads.set(reads);
            }
            Command::Refuse { client } => faults.refused.push(client),
            Command::Compact { keep } => self.store.compact(keep),
            Command::PutInstance { instance } => self.relist(|list| {
                list.retain(|old| old.address != instance.address);
                list.push(*instance);
            }),
            Command::RemoveInstance { address } => {
                self.relist(|list| list.retain(|old| old.address != address));
            }
            Command::SetPresence { address, state } => self.relist(|list| {
                for instance in list.iter_mut().filter(|instance| instance.address == address) {
                    instance.state = state;
                }
            }),
            Command::PutObject { kind, name, value } => {
                let present = self.store.get(&kind, &name).map(|object| object.version);
                let condition = present.map_or(Condition::Absent, Condition::At);
                let _ = self.store.update(&kind, &name, condition, value);
            }
        }
    }

    fn relist(&mut self, change: impl FnOnce(&mut Vec<Instance>)) {
        let mut list = self.lists.last().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut list);
        self.lists.push((Instant::now(), list));
    }

    /// The list as it was a lag ago.
    fn instances(&self) -> Vec<Instance> {
        let lag = self.faults.lag;
        let mut old = self.lists.iter().rev().filter(|(since, _)| since.elapsed() >= lag);
        old.next().map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Whether the answer of the write at hand is to be lost.
    fn loses(&mut self) -> bool {
        let faults = &mut self.faults;
        let lost = if faults.lose > 0 {
            faults.lose -= 1;
            true
        } else {
            faults.share.as_mut().is_some_and(|(share, rng)| rng.random_bool(*share))
        };
        self.record.lost += u64::from(lost);
        lost
    }

    /// Whether this client is to be cut off now.
    fn refuses(&self, client: Option<&str>, addr: SocketAddr) -> bool {
        let ip = addr.ip().to_string();
        let named = |name: &String| Some(name.as_str()) == client || *name == ip;
        let flapped = self.faults.flap.is_some_and(|(since, up, down)| {
            let cycle = (up + down).as_nanos().max(1);
            since.elapsed().as_nanos() % cycle >= up.as_nanos()
        });
        flapped || self.faults.refused.iter().any(named)
    }
}
