//! Finds out which requests ran on endpoints that crashed, and tells the other daemons;
//! `decide::quarantine` and `decide::part` decide what is refused: a request that is sent again and
//! again, or all requests with a part that others have as well.
//!
//! A connection may break although its endpoint goes on, and may be closed as the end of an answer
//! although its endpoint has crashed. Therefore the daemon opens another one: an endpoint has
//! crashed if that is refused. As it may listen again by then, an engine is also asked when it
//! started, and of other endpoints it counts whether a connection from before has been closed. An
//! endpoint that can't be reached at all may have been cut off, and one that is leaving ends
//! without a crash, within its answers as well. No request is suspected for that.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event as Notifier;
use smol::Timer;
use smol::future::FutureExt;

use crate::daemon::Daemon;
use crate::daemon::admission::Refusal;
use crate::daemon::clock;
use crate::daemon::contact;
use crate::daemon::engine;
use crate::daemon::forward;
use crate::daemon::forward::Contact;
use crate::daemon::gate::Call;
use crate::daemon::journal::Event;
use crate::daemon::link;
use crate::daemon::liveness::Connection;
use crate::daemon::peer;
use crate::decide::suspects::Breakage;
use crate::decide::suspects::Content;
use crate::decide::suspects::Message;
use crate::decide::suspects::News;
use crate::decide::suspects::Suspects;
use crate::table::Fingerprint;
use crate::table::PartId;
use crate::table::instance::Key;
use crate::table::instance::State;

/// Time limit of the connection that shows whether an endpoint still runs.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);
/// Time within which a process that ends closes all of its sockets.
const END_PERIOD: Duration = Duration::from_millis(100);
/// Longest time for which a retry waits until it is known whether the last endpoint crashed.
const MAX_SETTLE_TIME: Duration = Duration::from_millis(300);

/// Time after the first byte of an answer from which the request did not cause a crash of its
/// endpoint: it would have crashed sooner.
pub const STARTING_PERIOD: Duration = Duration::from_millis(500);
/// Parts of prompts in one line of the log.
const MAX_LOGGED_PARTS: usize = 32;

/// A request at an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Run<'a> {
    /// What the request holds.
    pub content: &'a Content,
    /// When it was sent there.
    pub sent_at: Duration,
    /// When the head of the answer was received, if it was.
    pub answered_at: Option<Duration>,
}

impl Run<'_> {
    /// Returns whether the request may have crashed the endpoint now.
    fn is_starting(&self, now: Duration) -> bool {
        self.answered_at.is_none_or(|at| now < at + STARTING_PERIOD)
    }
}

/// Requests that ran on crashed endpoints, and endpoints that may have crashed.
#[derive(Default)]
pub struct Observer {
    suspects: Suspects,
    /// Endpoints that are being checked.
    checks: HashMap<Key, Check>,
    /// Notified when a check has ended and when a request is refused from now on.
    changed: Rc<Notifier>,
}

/// A check whether an endpoint has crashed.
struct Check {
    /// What broke there.
    breakage: Breakage,
    /// Its result; none while it goes on.
    crashed: Rc<Cell<Option<bool>>>,
}

impl Observer {
    /// Returns the number of suspects, and how many of them are refused.
    pub fn counts(&self, now: Duration) -> (usize, usize) {
        self.suspects.counts(now)
    }

    /// Returns the largest number of crashes that a request was part of which is not refused.
    pub fn max_crash_count(&self, now: Duration) -> usize {
        self.suspects.max_crash_count(now)
    }

    /// Returns the number of parts of prompts that crashes count for, and how many are refused.
    pub fn part_counts(&self, now: Duration) -> (usize, usize) {
        self.suspects.part_counts(now)
    }

    /// Returns whether checks that have not ended yet decide whether a request may run.
    fn is_undecided(&self, now: Duration, content: &Content) -> bool {
        let pending = self.pending_checks(content.fingerprint);
        let decides = || {
            self.suspects.is_undecided(now, content, pending)
                || self.suspects.is_on_trial(now, content.fingerprint)
        };
        pending > 0 && decides()
    }

    /// Returns the number of checks in progress of endpoints that a request ran on.
    fn pending_checks(&self, fingerprint: Fingerprint) -> usize {
        let is_in = |check: &&Check| {
            let runs = &check.breakage.runs;
            runs.iter().any(|(other, _)| *other == fingerprint)
        };
        self.checks.values().filter(is_in).count()
    }

    /// Returns whether an endpoint is being checked that a request ran on.
    pub fn is_checked(&self, fingerprint: Fingerprint) -> bool {
        self.pending_checks(fingerprint) > 0
    }

    /// Returns whether a request may run one copy at a time only.
    pub fn is_on_trial(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        self.suspects.is_on_trial(now, fingerprint)
    }

    /// Returns the time for which a request is still refused; none if it is not.
    fn remaining(&self, now: Duration, content: &Content) -> Option<Duration> {
        let suspects = &self.suspects;
        let of_request = suspects.remaining(now, content.fingerprint);
        of_request.max(suspects.remaining_of_parts(now, &content.parts))
    }
}

/// Returns the refusal of a request that crashes endpoints.
pub fn refusal(daemon: &Daemon, content: &Content) -> Option<Refusal> {
    let remaining = daemon.quarantine.borrow().remaining(clock::now(), content)?;
    Some(Refusal::new("quarantined", remaining))
}

/// Waits until a request is refused.
pub async fn wait_for_refusal(daemon: &Daemon, content: &Content) -> Refusal {
    let changed = daemon.quarantine.borrow().changed.clone();
    loop {
        let next = changed.listen();
        if let Some(refusal) = refusal(daemon, content) {
            return refusal;
        }
        next.await;
    }
}

/// Waits before a retry until it is known whether the request crashed its endpoint, if that decides
/// on its refusal.
pub async fn settle(daemon: &Daemon, content: &Content) {
    let changed = daemon.quarantine.borrow().changed.clone();
    let settled = async {
        loop {
            let next = changed.listen();
            if !daemon.quarantine.borrow().is_undecided(clock::now(), content) {
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
pub fn on_broken(daemon: &Rc<Daemon>, key: &Key, run: Run<'_>) {
    // The check goes on without its result being awaited.
    let _ = check(daemon, key, run, None);
}

/// Returns whether an endpoint has crashed that has just closed a request's connection, and if so
/// records the request as one that ran there, or whether it was leaving and has ended. `liveness` is a
/// connection from before that. Waits for the result for at most `limit`.
pub async fn has_crashed_after(
    daemon: &Rc<Daemon>,
    key: &Key,
    run: Run<'_>,
    liveness: Option<Connection>,
    limit: Duration,
) -> bool {
    let departing = daemon.fleet.borrow().departing(key);
    let result = async {
        if let Some(addr) = departing {
            return has_ended(daemon, addr, liveness).await;
        }
        loop {
            let is_joined = daemon.quarantine.borrow().checks.contains_key(key);
            let Some(crashed) = check(daemon, key, run, liveness.clone()) else {
                return false;
            };
            // A check that was in progress may have looked before the endpoint crashed.
            if wait_for(daemon, &crashed).await || !is_joined {
                return crashed.get() == Some(true);
            }
        }
    };
    let timeout = async {
        Timer::after(limit).await;
        false
    };
    result.or(timeout).await
}

/// Returns whether an endpoint that was leaving has ended.
async fn has_ended(daemon: &Daemon, addr: SocketAddr, liveness: Option<Connection>) -> bool {
    let Ok(link) = link::dial(&daemon.ex, addr, CHECK_TIMEOUT).await else {
        return true;
    };
    daemon.gauges.record_connection();
    // A process that ends may close its listener last.
    Timer::after(END_PERIOD).await;
    !link.is_open() || liveness.and_then(|row| row.shows_crash(clock::now())) == Some(true)
}

/// Waits for the result of a check, and returns it.
async fn wait_for(daemon: &Daemon, crashed: &Cell<Option<bool>>) -> bool {
    let changed = daemon.quarantine.borrow().changed.clone();
    loop {
        let next = changed.listen();
        if let Some(crashed) = crashed.get() {
            return crashed;
        }
        next.await;
    }
}

/// Starts a check of an endpoint, or joins the one in progress; returns where its result will be.
/// An endpoint that is leaving is not checked.
fn check(
    daemon: &Rc<Daemon>,
    key: &Key,
    run: Run<'_>,
    liveness: Option<Connection>,
) -> Option<Rc<Cell<Option<bool>>>> {
    let is_leaving = {
        let fleet = daemon.fleet.borrow();
        fleet.get(key).is_some_and(|row| row.instance.state == State::Leaving)
    };
    if is_leaving {
        return None;
    }
    let now = clock::now();
    let mut observer = daemon.quarantine.borrow_mut();
    let is_checked = observer.checks.contains_key(key);
    let check = observer.checks.entry(key.clone()).or_insert_with(|| Check {
        breakage: Breakage { at: now, ..Breakage::default() },
        crashed: Rc::default(),
    });
    check.breakage.runs.push((run.content.fingerprint, run.sent_at));
    if run.is_starting(now) {
        if !run.content.parts.is_empty() {
            check.breakage.starting.insert(run.content.run);
        }
        check.breakage.parts.extend(&run.content.parts);
    }
    if !is_checked {
        let (shared, key) = (daemon.clone(), key.clone());
        daemon.ex.spawn(async move { run_check(&shared, &key, liveness).await }).detach();
    }
    Some(check.crashed.clone())
}

async fn run_check(daemon: &Rc<Daemon>, key: &Key, liveness: Option<Connection>) {
    let crashed = has_crashed(daemon, key, liveness).await;
    let check = daemon.quarantine.borrow_mut().checks.remove(key);
    if let Some(check) = &check {
        check.crashed.set(Some(crashed));
    }
    if let Some(Check { breakage, .. }) = check.filter(|_| crashed) {
        let now = clock::now();
        daemon.note(&Event::Crash {
            endpoint: key.id.clone(),
            requests: breakage.runs.len(),
            starting: breakage.starting.len(),
            parts: breakage.parts.iter().take(MAX_LOGGED_PARTS).map(part_name).collect(),
        });
        let news = daemon.quarantine.borrow_mut().suspects.add_crash(now, key, &breakage);
        apply(daemon, &news, "connection");
        if news.has_new_runs {
            let messages = daemon.quarantine.borrow_mut().suspects.announcements(now, key);
            messages.into_iter().for_each(|message| send(daemon, message));
        }
    }
    daemon.quarantine.borrow().changed.notify(usize::MAX);
}

async fn has_crashed(daemon: &Rc<Daemon>, key: &Key, liveness: Option<Connection>) -> bool {
    let (addr, is_replaced) = {
        let fleet = daemon.fleet.borrow();
        let newer = || fleet.rows().find(|row| row.instance.key.is_successor_of(key));
        match (fleet.get(key), newer()) {
            (Some(row), _) => (row.instance.address, false),
            // It has started again meanwhile, perhaps before the request reached it.
            (None, Some(row)) => (row.instance.address, true),
            (None, None) => return false,
        }
    };
    let mut dialed = link::dial(&daemon.ex, addr, CHECK_TIMEOUT).await;
    if matches!(dialed, Err(link::Error::Refused)) {
        // This daemon may have lost contact, or the endpoint may listen again.
        match forward::ask(daemon, key).await {
            Contact::Open => dialed = link::dial(&daemon.ex, addr, CHECK_TIMEOUT).await,
            Contact::Refused => {
                contact::on_failed(daemon, key, link::Error::Refused);
                return true;
            }
            Contact::Unknown => {
                contact::on_failed(daemon, key, link::Error::Refused);
                return is_replaced || !contact::is_isolated(daemon);
            }
        }
    }
    match dialed {
        Ok(link) => {
            daemon.gauges.record_connection();
            daemon.pool.borrow_mut().put(link, None);
            match liveness.and_then(|liveness| liveness.shows_crash(clock::now())) {
                Some(shows_crash) => shows_crash,
                None => is_replaced || was_replaced(daemon, key).await,
            }
        }
        Err(err) => {
            contact::on_failed(daemon, key, err);
            is_replaced
        }
    }
}

/// Returns whether an engine states that it started at another time than the one that is known.
async fn was_replaced(daemon: &Rc<Daemon>, key: &Key) -> bool {
    if !daemon.is_engine(key) {
        return false;
    }
    let report = engine::report(daemon, key, Call::Report).await;
    report.and_then(|report| report.started_at).is_some_and(|born| born != key.born)
}

/// Returns how a part of prompts is spelled in the log.
pub fn part_name(part: &PartId) -> String {
    format!("{part:x}")
}

/// Logs requests that are refused from now on, and wakes those that wait.
fn apply(daemon: &Daemon, news: &News, source: &'static str) {
    for fingerprint in &news.refused {
        daemon.note(&Event::Quarantined { content: format!("{fingerprint:016x}"), source });
    }
    for (part, evidence) in &news.refused_parts {
        daemon.note(&Event::PartRefused {
            part: part_name(part),
            crashes: evidence.map(|evidence| evidence.crashes),
            survivals: evidence.map(|evidence| evidence.survivals),
            source,
        });
    }
    for part in &news.released_parts {
        daemon.note(&Event::PartReleased { part: part_name(part) });
    }
    if news.has_refusals() {
        daemon.quarantine.borrow().changed.notify(usize::MAX);
    }
}

/// Records a request of a route.
pub fn on_arrival(daemon: &Daemon, route: &str, content: &Content) {
    daemon.quarantine.borrow_mut().suspects.record_arrival(route, content);
}

/// Records that a run of a request has gone on for longer than one that crashes its endpoint.
pub fn on_survived(daemon: &Daemon, content: &Content) {
    let now = clock::now();
    daemon.quarantine.borrow_mut().suspects.record_survival(now, content);
}

/// Records that an endpoint has answered a request in full.
pub fn on_completed(daemon: &Daemon, content: &Content) {
    let now = clock::now();
    daemon.quarantine.borrow_mut().suspects.clear(now, content.fingerprint, now);
}

/// Returns whether this daemon has itself decided to refuse a part of prompts.
pub fn has_decided(daemon: &Daemon) -> bool {
    daemon.quarantine.borrow().suspects.has_decided(clock::now())
}

/// Returns what is refused now.
pub fn refusals(daemon: &Daemon) -> Vec<Message> {
    daemon.quarantine.borrow().suspects.refusals(clock::now())
}

/// Refuses what was refused before this daemon started.
pub fn on_stored(daemon: &Daemon, messages: [Message; 2]) {
    for message in messages {
        let news = daemon.quarantine.borrow_mut().suspects.on_message(clock::now(), message);
        apply(daemon, &news, "store");
    }
}

/// Handles a message of another daemon.
pub fn on_message(daemon: &Daemon, message: Message) {
    let news = daemon.quarantine.borrow_mut().suspects.on_message(clock::now(), message);
    apply(daemon, &news, "peer");
}

/// Decides on parts of prompts, and sends what is due in a round to some of the other daemons.
pub fn announce(daemon: &Rc<Daemon>) {
    let now = clock::now();
    let news = daemon.quarantine.borrow_mut().suspects.decide(now);
    apply(daemon, &news, "crashes");
    let messages = daemon.quarantine.borrow_mut().suspects.round(now);
    messages.into_iter().for_each(|message| send(daemon, message));
}

fn send(daemon: &Rc<Daemon>, message: Message) {
    let recipients = peer::choose(daemon, message.fanout());
    peer::spawn_send(daemon, recipients, peer::Message::Quarantine(message));
}
