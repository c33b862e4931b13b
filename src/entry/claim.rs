//! Claims of calls that must not run twice: performs the I/O that the claim coordinator requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use jsonrpsee_types::Params;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;

use crate::decide::claim::Claimant;
use crate::decide::claim::Clock;
use crate::decide::claim::OBJECT_KIND;
use crate::decide::claim::Op;
use crate::decide::claim::Record;
use crate::decide::claim::Verdict;
use crate::decide::claim::coordinator;
use crate::decide::claim::interface::Action;
use crate::decide::claim::interface::Admission;
use crate::decide::claim::interface::Claim;
use crate::decide::claim::interface::Fate;
use crate::decide::claim::interface::Io;
use crate::decide::claim::interface::IoId;
use crate::decide::claim::interface::Reply;
use crate::decide::claim::interface::Settings;
use crate::decide::claim::interface::Ticket;
use crate::edge::peer;
use crate::edge::platform::Platform;
use crate::metric::Counter;
use crate::metric::Metrics;
use crate::table::AttemptId;
use crate::table::EntryId;
use crate::table::Incarnation;

/// RPC method that commits the operations of a peer.
pub const COMMIT: &str = "claim.commit";

/// RPC method that returns the state of a claim of this process.
pub const FATE: &str = "claim.fate";

/// Timeout of a commit by a peer: two platform calls and the round trip to the peer.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Timeout of a request for the state of a claim.
const FATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Operations that a peer has to commit.
#[derive(Debug, Serialize, Deserialize)]
struct Commit {
    release: u32,
    ops: Vec<Op>,
}

/// Requests the state of a claim from its claimant.
#[derive(Debug, Serialize, Deserialize)]
struct Query {
    release: u32,
    attempt: AttemptId,
}

/// The coordinator and the channels of the tasks that wait for its results.
struct State {
    coordinator: coordinator::Coordinator,
    admissions: HashMap<AttemptId, Sender<Admission>>,
    stored: HashMap<AttemptId, Sender<()>>,
    tickets: HashMap<Ticket, Sender<Vec<Verdict>>>,
    next_ticket: Ticket,
}

struct Shared<P> {
    platform: P,
    peers: peer::Client,
    metrics: Arc<Metrics>,
    started_at: Instant,
    state: Mutex<State>,
    /// Signals that the time of the next tick may have changed.
    wakeup: Sender<()>,
}

/// The claims of one process. Clones share the same state.
pub struct Handle<P> {
    shared: Arc<Shared<P>>,
}

impl<P> Clone for Handle<P> {
    fn clone(&self) -> Self {
        Handle { shared: self.shared.clone() }
    }
}

/// Permission to send one call once.
///
/// If it is dropped before `mark_sent`, its key may be claimed again. If it is dropped after
/// `mark_sent` and without a record, the outcome is recorded as unknown, since the call may have
/// run.
pub struct Grant<P: Platform> {
    handle: Handle<P>,
    attempt: AttemptId,
    sent: bool,
    settled: bool,
}

/// A record that is being stored. It is stored whether or not the caller waits.
pub struct Stored {
    rx: Receiver<()>,
}

impl<P: Platform> Handle<P> {
    /// Creates the claims of a process that commits to `platform` and calls other entries through
    /// `peers`.
    pub fn new(
        me: Claimant,
        platform: P,
        peers: peer::Client,
        metrics: Arc<Metrics>,
        settings: Settings,
    ) -> Self {
        let seed = me.incarnation ^ u64::from(me.entry.port());
        let state = State {
            coordinator: coordinator::Coordinator::new(me, settings, seed),
            admissions: HashMap::new(),
            stored: HashMap::new(),
            tickets: HashMap::new(),
            next_ticket: 1,
        };
        let (wakeup, wakeups) = smol::channel::bounded(1);
        let (started_at, state) = (Instant::now(), Mutex::new(state));
        let shared = Arc::new(Shared { platform, peers, metrics, started_at, state, wakeup });
        smol::spawn(run_ticks(Arc::downgrade(&shared), wakeups)).detach();
        Handle { shared }
    }

    /// Sets the live entries, among which the owners of shards are chosen.
    pub fn set_peers(&self, peers: impl IntoIterator<Item = (EntryId, Incarnation)>) {
        self.lock().coordinator.set_peers(peers);
    }

    /// Returns the numbers of unfinished attempts, of queued operations and of updates in progress.
    pub fn load(&self) -> (usize, usize, usize) {
        self.lock().coordinator.load()
    }

    /// Claims the key of a call; waits no longer than the timeout of the claim.
    pub async fn claim(&self, request: &Claim) -> Result<Grant<P>, Admission> {
        self.shared.metrics.count(Counter::Claims);
        let (tx, rx) = smol::channel::bounded(1);
        let (attempt, actions) = {
            let mut state = self.lock();
            let (attempt, actions) = state.coordinator.claim(self.clock(), request);
            state.admissions.insert(attempt.clone(), tx);
            (attempt, actions)
        };
        // Created before the admission arrives: if the caller disconnects meanwhile, dropping the
        // grant abandons the claim.
        let mut grant = Grant { handle: self.clone(), attempt, sent: false, settled: false };
        self.perform(actions);
        let admission = rx.recv().await.unwrap_or(Admission::Unknown);
        self.count(&admission);
        if admission == Admission::Granted {
            return Ok(grant);
        }
        grant.settled = true;
        Err(admission)
    }

    /// Commits the operations of a peer.
    async fn commit(&self, ops: Vec<Op>) -> Vec<Verdict> {
        let (tx, rx) = smol::channel::bounded(1);
        let actions = {
            let mut state = self.lock();
            let ticket = state.next_ticket;
            state.next_ticket += 1;
            state.tickets.insert(ticket, tx);
            state.coordinator.commit_forwarded(self.clock(), ticket, ops)
        };
        self.perform(actions);
        rx.recv().await.unwrap_or_default()
    }

    fn fate(&self, attempt: &AttemptId) -> Fate {
        self.lock().coordinator.fate(attempt)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("claims")
    }

    fn clock(&self) -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { now: self.shared.started_at.elapsed(), wall }
    }

    fn count(&self, admission: &Admission) {
        let counter = match admission {
            Admission::Granted => Counter::ClaimsGranted,
            Admission::Repeat(_) => Counter::ClaimsRepeated,
            Admission::Unknown | Admission::InFlight(_) => Counter::ClaimsUnknown,
            Admission::Conflict | Admission::Expired | Admission::Early | Admission::NotRun(..) => {
                Counter::ClaimsRefused
            }
        };
        self.shared.metrics.count(counter);
    }

    fn perform(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id, io) => {
                    let handle = self.clone();
                    smol::spawn(async move { handle.run(id, io).await }).detach();
                }
                Action::Admit(attempt, admission) => {
                    let tx = self.lock().admissions.remove(&attempt);
                    let _ = tx.map(|tx| tx.try_send(admission));
                }
                Action::Stored(attempt) => {
                    let tx = self.lock().stored.remove(&attempt);
                    let _ = tx.map(|tx| tx.try_send(()));
                }
                Action::Answer(ticket, verdicts) => {
                    let tx = self.lock().tickets.remove(&ticket);
                    let _ = tx.map(|tx| tx.try_send(verdicts));
                }
            }
        }
        let _ = self.shared.wakeup.try_send(());
    }

    async fn run(&self, id: IoId, io: Io) {
        let platform = &self.shared.platform;
        let reply = match io {
            Io::Get(name) => Reply::Object(platform.get(OBJECT_KIND, &name).await),
            Io::Put(name, expect, value) => {
                self.shared.metrics.count(Counter::ClaimUpdates);
                Reply::Update(platform.put(OBJECT_KIND, &name, expect, &value).await)
            }
            Io::Delete(name, version) => {
                Reply::Update(platform.delete(OBJECT_KIND, &name, version).await)
            }
            Io::Commit(peer, ops) => {
                let params = Commit { release: peer::RELEASE, ops };
                Reply::Commit(self.call(peer, COMMIT, &params, COMMIT_TIMEOUT).await)
            }
            Io::Fate(peer, attempt) => {
                let params = Query { release: peer::RELEASE, attempt };
                Reply::Fate(self.call(peer, FATE, &params, FATE_TIMEOUT).await)
            }
        };
        let actions = {
            let clock = self.clock();
            self.lock().coordinator.on_reply(clock, id, reply)
        };
        self.perform(actions);
    }

    async fn call<T: DeserializeOwned + Clone>(
        &self,
        peer: EntryId,
        method: &str,
        params: &impl Serialize,
        timeout: Duration,
    ) -> Option<T> {
        self.shared.peers.call(peer, method, params, timeout).await.ok()
    }
}

/// Ticks the coordinator whenever work is due, until the last handle to it is dropped.
async fn run_ticks<P: Platform>(shared: Weak<Shared<P>>, wakeups: Receiver<()>) {
    loop {
        let Some(handle) = shared.upgrade().map(|shared| Handle { shared }) else {
            return;
        };
        let next_tick =
            handle.lock().coordinator.next_due().map(|time| handle.shared.started_at + time);
        drop(handle);
        let due = async {
            match next_tick {
                Some(time) => smol::Timer::at(time).await,
                None => smol::future::pending().await,
            };
            Ok(true)
        };
        let changed = async { wakeups.recv().await.map(|()| false) };
        match due.or(changed).await {
            Err(_) => return,
            Ok(false) => {}
            Ok(true) => {
                let Some(handle) = shared.upgrade().map(|shared| Handle { shared }) else {
                    return;
                };
                let clock = handle.clock();
                let actions = handle.lock().coordinator.tick(clock);
                handle.perform(actions);
            }
        }
    }
}

impl<P: Platform> Grant<P> {
    /// Marks the call as sent. Must be called before its first byte may be sent.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Stores the outcome of a call that was sent.
    pub fn record(mut self, record: Record) -> Stored {
        self.store(record)
    }

    /// Abandons the claim. Only allowed if the call cannot have run and will not run.
    pub fn abandon(mut self) {
        self.sent = false;
    }

    fn store(&mut self, record: Record) -> Stored {
        self.settled = true;
        let (tx, rx) = smol::channel::bounded(1);
        let actions = {
            let mut state = self.handle.lock();
            state.stored.insert(self.attempt.clone(), tx);
            state.coordinator.record(self.handle.clock(), &self.attempt, record)
        };
        self.handle.perform(actions);
        Stored { rx }
    }
}

impl<P: Platform> Drop for Grant<P> {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        if self.sent {
            drop(self.store(Record::Unknown));
            return;
        }
        let actions = {
            let mut state = self.handle.lock();
            state.admissions.remove(&self.attempt);
            state.coordinator.abandon(self.handle.clock(), &self.attempt)
        };
        self.handle.perform(actions);
    }
}

impl Stored {
    /// Waits for at most `limit` until the record is stored. Returns whether it is.
    pub async fn wait(self, limit: Duration) -> bool {
        let stored = async { self.rx.recv().await.is_ok() };
        let late = async {
            smol::Timer::after(limit).await;
            false
        };
        stored.or(late).await
    }
}

/// Registers the RPC methods that other entries call. Returns whether all were added.
pub fn register<C, P>(module: &mut RpcModule<C>, handle: &Handle<P>) -> bool
where
    C: Send + Sync + 'static,
    P: Platform,
{
    let claims = handle.clone();
    let commit = module.register_async_method(COMMIT, move |params, _, _| {
        let (claims, commit) = (claims.clone(), parse::<Commit>(&params));
        async move {
            let commit = commit?;
            peer::check(commit.release)?;
            Ok::<_, ErrorObjectOwned>(claims.commit(commit.ops).await)
        }
    });
    let commit = commit.is_ok();
    let claims = handle.clone();
    let fate = module.register_method(FATE, move |params, _, _| {
        let query = parse::<Query>(&params)?;
        peer::check(query.release)?;
        Ok::<_, ErrorObjectOwned>(claims.fate(&query.attempt))
    });
    commit && fate.is_ok()
}

fn parse<T: DeserializeOwned>(params: &Params<'_>) -> Result<T, ErrorObjectOwned> {
    params.parse::<T>()
}
