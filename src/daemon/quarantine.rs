//! Finds out which requests ran on endpoints that crashed, and tells the other daemons;
//! `decide::quarantine` decides which of them are refused.
//!
//! A connection may break although its endpoint goes on. Therefore the daemon opens another one: an
//! endpoint has crashed if that is refused. An endpoint that can't be reached at all may have been
//! cut off, and one that is leaving ends without a crash.
//!
//! All messages are datagrams. Crashes are repeated for `ANNOUNCEMENT_PERIOD` by each daemon that
//! learns of them; refusals are repeated for as long as they last, so that daemons that start or
//! were cut off learn of them, too.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event as Notifier;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;
use smol::future::FutureExt;

use crate::daemon::Daemon;
use crate::daemon::admission::Refusal;
use crate::daemon::clock;
use crate::daemon::journal::Event;
use crate::daemon::link;
use crate::daemon::peer;
use crate::decide::quarantine::Quarantine;
use crate::decide::quarantine::Run;
use crate::table::Fingerprint;
use crate::table::instance::Key;
use crate::table::instance::State;

/// Number of crashes after which a request is refused: suspects run beside each other.
const MAX_CRASHES: usize = 3;
/// Time limit of the connection that shows whether an endpoint still runs.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time for which a retry waits until it is known whether the last endpoint crashed.
const MAX_SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time for which a crash is announced after more became known of it, in each round to some of the
/// other daemons.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(1_500);
/// Time for which a crash is kept, so that repeated announcements of it are known.
const CRASH_RETENTION: Duration = Duration::from_secs(15);
/// Daemons that are sent all refusals in each round.
const REFUSAL_FANOUT: usize = 2;
/// Fingerprints in one datagram.
const MAX_FINGERPRINTS: usize = 100;

/// A message between daemons about requests that ran on crashed endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests ran on an endpoint when it crashed.
    Crashed {
        /// The endpoint.
        key: Key,
        /// Time since the crash, in milliseconds.
        age_ms: u32,
        /// The requests, each with the time for which it had run in milliseconds.
        runs: Vec<(Fingerprint, u32)>,
    },
    /// Requests that the sender refuses, each for how many more milliseconds.
    Refused(Vec<(Fingerprint, u32)>),
    /// Suspects whose answers were complete, each with the time since then in milliseconds.
    Completed(Vec<(Fingerprint, u32)>),
}

/// A crash of an endpoint.
#[derive(Debug)]
struct Crash {
    at: Duration,
    /// When a request was last added.
    changed_at: Duration,
    /// Requests that ran there, each with the time when it was last sent there.
    runs: BTreeMap<Fingerprint, Duration>,
}

/// An endpoint that is being checked.
#[derive(Debug)]
struct Check {
    /// When the first connection to it broke.
    broken_at: Duration,
    /// Requests whose connections broke, each with the time when it was sent.
    runs: Vec<(Fingerprint, Duration)>,
}

/// Requests that ran on crashed endpoints, as far as this daemon knows.
pub struct Suspects {
    table: Quarantine<Key>,
    crashes: HashMap<Key, Crash>,
    /// When answers to suspects were complete, and when this daemon learned of it.
    completed: HashMap<Fingerprint, (Duration, Duration)>,
    /// Endpoints that are being checked.
    checks: HashMap<Key, Check>,
    /// Notified when a check has ended and when a request is refused from now on.
    changed: Rc<Notifier>,
}

impl Default for Suspects {
    fn default() -> Self {
        Suspects {
            table: Quarantine::new(MAX_CRASHES),
            crashes: HashMap::new(),
            completed: HashMap::new(),
            checks: HashMap::new(),
            changed: Rc::default(),
        }
    }
}

impl Suspects {
    /// Returns the number of suspects, and how many of them are refused.
    pub fn counts(&self, now: Duration) -> (usize, usize) {
        (self.table.rows().count(), self.table.refused(now).count())
    }

    /// Returns whether checks that have not ended yet may lead to the refusal of a request.
    fn is_undecided(&self, fingerprint: Fingerprint) -> bool {
        let is_in = |check: &&Check| check.runs.iter().any(|(other, _)| *other == fingerprint);
        let pending = self.checks.values().filter(is_in).count();
        pending > 0 && self.table.crash_count(fingerprint) + pending >= MAX_CRASHES
    }
}

/// Returns the refusal of a request that crashes endpoints.
pub fn refusal(daemon: &Daemon, fingerprint: Fingerprint) -> Option<Refusal> {
    let remaining = daemon.suspects.borrow().table.remaining(clock::now(), fingerprint)?;
    Some(Refusal::new("quarantined", remaining))
}

/// Waits until a request is refused.
pub async fn wait_for_refusal(daemon: &Daemon, fingerprint: Fingerprint) -> Refusal {
    let changed = daemon.suspects.borrow().changed.clone();
    loop {
        let next = changed.listen();
        if let Some(refusal) = refusal(daemon, fingerprint) {
            return refusal;
        }
        next.await;
    }
}

/// Waits before a retry until it is known whether the request crashed its endpoint, if that decides
/// on its refusal.
pub async fn settle(daemon: &Daemon, fingerprint: Fingerprint) {
    let changed = daemon.suspects.borrow().changed.clone();
    let settled = async {
        loop {
            let next = changed.listen();
            if !daemon.suspects.borrow().is_undecided(fingerprint) {
                return;
            }
            next.await;
        }
    };
    let timeout = async {
        Timer::after(MAX_SETTLE_TIME).await;
    };
    settled.or(timeout).await;
}

/// Records that a request's connection to an endpoint broke before the answer was complete, and
/// checks whether the endpoint has crashed.
pub fn on_broken(daemon: &Rc<Daemon>, key: &Key, fingerprint: Fingerprint, sent_at: Duration) {
    let is_leaving = {
        let fleet = daemon.fleet.borrow();
        fleet.get(key).is_some_and(|row| row.instance.state == State::Leaving)
    };
    if is_leaving {
        return;
    }
    let mut suspects = daemon.suspects.borrow_mut();
    let is_checked = suspects.checks.contains_key(key);
    let check = suspects.checks.entry(key.clone());
    let check = check.or_insert_with(|| Check { broken_at: clock::now(), runs: Vec::new() });
    check.runs.push((fingerprint, sent_at));
    if !is_checked {
        let (shared, key) = (daemon.clone(), key.clone());
        daemon.ex.spawn(async move { run_check(&shared, &key).await }).detach();
    }
}

async fn run_check(daemon: &Rc<Daemon>, key: &Key) {
    let crashed = has_crashed(daemon, key).await;
    let check = daemon.suspects.borrow_mut().checks.remove(key);
    if let Some(check) = check.filter(|_| crashed) {
        let now = clock::now();
        daemon.note(&Event::Crash { endpoint: key.id.clone(), requests: check.runs.len() });
        if add_crash(daemon, now, key, &check, "connection") {
            announce_crash(daemon, now, key);
        }
    }
    daemon.suspects.borrow().changed.notify(usize::MAX);
}

async fn has_crashed(daemon: &Rc<Daemon>, key: &Key) -> bool {
    let addr = {
        let fleet = daemon.fleet.borrow();
        let mut rows = fleet.rows().map(|row| &row.instance);
        match fleet.get(key) {
            Some(row) => row.instance.address,
            // It has started again meanwhile, or its record was removed.
            None => return rows.any(|row| row.key.id == key.id && row.key.born > key.born),
        }
    };
    match link::dial(&daemon.ex, addr, CHECK_TIMEOUT).await {
        Ok(link) => {
            daemon.gauges.record_connection();
            daemon.pool.borrow_mut().put(addr, link, None);
            false
        }
        Err(err) => err == link::Error::Refused,
    }
}

/// Adds requests to a crash; returns whether any of them was new.
fn add_crash(
    daemon: &Daemon,
    now: Duration,
    key: &Key,
    check: &Check,
    source: &'static str,
) -> bool {
    let mut suspects = daemon.suspects.borrow_mut();
    let Suspects { table, crashes, .. } = &mut *suspects;
    let crash = crashes.entry(key.clone()).or_insert_with(|| Crash {
        at: check.broken_at,
        changed_at: now,
        runs: BTreeMap::new(),
    });
    let mut refused = Vec::new();
    let mut has_new = false;
    for (fingerprint, sent_at) in &check.runs {
        has_new |= crash.runs.insert(*fingerprint, *sent_at).is_none();
        let run = Run { endpoint: key.clone(), sent_at: *sent_at, crashed_at: crash.at };
        if table.on_crash(*fingerprint, run) {
            refused.push(*fingerprint);
        }
    }
    if has_new {
        crash.changed_at = now;
    }
    drop(suspects);
    note_refused(daemon, &refused, source);
    has_new
}

/// Logs requests that are refused from now on, and wakes those that wait.
fn note_refused(daemon: &Daemon, refused: &[Fingerprint], source: &'static str) {
    for fingerprint in refused {
        daemon.note(&Event::Quarantined { content: format!("{fingerprint:016x}"), source });
    }
    if !refused.is_empty() {
        daemon.suspects.borrow().changed.notify(usize::MAX);
    }
}

/// Records that an endpoint has answered a request in full.
pub fn on_completed(daemon: &Daemon, fingerprint: Fingerprint) {
    let now = clock::now();
    clear(&mut daemon.suspects.borrow_mut(), now, fingerprint, now);
}

fn clear(suspects: &mut Suspects, now: Duration, fingerprint: Fingerprint, at: Duration) {
    if suspects.table.clear(at, fingerprint) {
        suspects.completed.insert(fingerprint, (at, now));
    }
}

/// Handles a message of another daemon.
pub fn on_message(daemon: &Rc<Daemon>, message: Message) {
    let now = clock::now();
    let ago = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
    match message {
        Message::Crashed { key, age_ms, runs } => {
            let broken_at = ago(age_ms);
            let sent_at =
                |ran_ms: u32| broken_at.saturating_sub(Duration::from_millis(ran_ms.into()));
            let runs = runs.into_iter().map(|(row, ran_ms)| (row, sent_at(ran_ms))).collect();
            add_crash(daemon, now, &key, &Check { broken_at, runs }, "peer");
        }
        Message::Refused(rows) => {
            let mut refused = Vec::new();
            for (fingerprint, remaining_ms) in rows {
                let remaining = Duration::from_millis(remaining_ms.into());
                let table = &mut daemon.suspects.borrow_mut().table;
                if table.add_from_peer(now, fingerprint, remaining) {
                    refused.push(fingerprint);
                }
            }
            note_refused(daemon, &refused, "peer");
        }
        Message::Completed(rows) => {
            let mut suspects = daemon.suspects.borrow_mut();
            for (fingerprint, age_ms) in rows {
                clear(&mut suspects, now, fingerprint, ago(age_ms));
            }
        }
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn send(daemon: &Rc<Daemon>, fanout: usize, message: Message) {
    peer::spawn_send(daemon, peer::choose(daemon, fanout), peer::Message::Quarantine(message));
}

fn announce_crash(daemon: &Rc<Daemon>, now: Duration, key: &Key) {
    let suspects = daemon.suspects.borrow();
    let Some(crash) = suspects.crashes.get(key) else {
        return;
    };
    let age_ms = millis(now.saturating_sub(crash.at));
    let ran_ms = |sent_at: Duration| millis(crash.at.saturating_sub(sent_at));
    let runs: Vec<(Fingerprint, u32)> =
        crash.runs.iter().map(|(row, sent_at)| (*row, ran_ms(*sent_at))).collect();
    for chunk in runs.chunks(MAX_FINGERPRINTS) {
        let message = Message::Crashed { key: key.clone(), age_ms, runs: chunk.to_vec() };
        send(daemon, peer::HEARTBEAT_FANOUT, message);
    }
}

/// Announces recent crashes and all refusals to some of the other daemons, and removes what has
/// expired.
pub fn announce(daemon: &Rc<Daemon>) {
    let now = clock::now();
    let is_recent = |changed_at: Duration| now < changed_at + ANNOUNCEMENT_PERIOD;
    let mut suspects = daemon.suspects.borrow_mut();
    suspects.table.tick(now);
    suspects.crashes.retain(|_, crash| now < crash.at + CRASH_RETENTION);
    suspects.completed.retain(|_, (_, changed_at)| is_recent(*changed_at));
    let crashes = suspects.crashes.iter().filter(|(_, crash)| is_recent(crash.changed_at));
    let crashes: Vec<Key> = crashes.map(|(key, _)| key.clone()).collect();
    let completed = suspects.completed.iter();
    let completed: Vec<(Fingerprint, u32)> =
        completed.map(|(row, (at, _))| (*row, millis(now.saturating_sub(*at)))).collect();
    let refused: Vec<(Fingerprint, u32)> =
        suspects.table.refused(now).map(|(row, remaining)| (row, millis(remaining))).collect();
    drop(suspects);
    for key in &crashes {
        announce_crash(daemon, now, key);
    }
    for chunk in completed.chunks(MAX_FINGERPRINTS) {
        send(daemon, peer::HEARTBEAT_FANOUT, Message::Completed(chunk.to_vec()));
    }
    for chunk in refused.chunks(MAX_FINGERPRINTS) {
        send(daemon, REFUSAL_FANOUT, Message::Refused(chunk.to_vec()));
    }
}
