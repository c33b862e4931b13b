//! Grants and logs retries; `decide::allowance` makes the decisions.

use std::collections::HashMap;
use std::time::Duration;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::front::Job;
use crate::daemon::journal::Event;
use crate::decide::allowance::Credit;
use crate::table::ServiceId;
use crate::table::instance::Key;

/// Time after which a request that was given up is not read any more: its endpoint has been replaced
/// by then.
const MAX_UNREAD_TIME: Duration = Duration::from_secs(60);

/// Outcomes of this daemon's decisions on retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The request is sent again.
    Granted,
    /// The service has no credit.
    Denied,
}

/// An attempt that was given up and that its endpoint may not have read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unread {
    /// The endpoint.
    pub key: Key,
    /// When the request was sent there.
    pub sent_at: Duration,
}

/// A retry of a request whose attempt before may be read later.
#[derive(Debug)]
pub struct LateRepeat {
    unread: Unread,
    service: ServiceId,
    credit: Credit,
}

/// Number of decisions by outcome.
pub type Outcomes = HashMap<Outcome, u64>;

/// Returns whether a job could be sent again now, before an endpoint is searched for it.
pub fn is_possible(daemon: &Daemon, job: &Job) -> bool {
    let left = daemon.allowance.borrow().remaining(clock::now(), &job.spec.service);
    if left == 0 {
        record(daemon, job, Outcome::Denied, left);
    }
    left > 0
}

/// Spends a credit for a job that is about to be sent again; returns false if there is none.
pub fn spend(daemon: &Daemon, job: &Job) -> bool {
    let (now, service) = (clock::now(), &job.spec.service);
    let left = daemon.allowance.borrow().remaining(now, service);
    let credit = daemon.allowance.borrow_mut().spend(now, service);
    let outcome = if credit.is_some() { Outcome::Granted } else { Outcome::Denied };
    record(daemon, job, outcome, left);
    if let (Some(credit), Some(unread)) = (credit, job.unread.take())
        && !is_read(daemon, now, &unread)
    {
        daemon.allowance.borrow_mut().hold(service, credit);
        daemon.late_repeats.borrow_mut().push(LateRepeat {
            unread,
            service: service.clone(),
            credit,
        });
    }
    credit.is_some()
}

/// Returns whether an endpoint has read an attempt or never will.
fn is_read(daemon: &Daemon, now: Duration, unread: &Unread) -> bool {
    let fleet = daemon.fleet.borrow();
    let row = fleet.get(&unread.key);
    let has_answered = row.is_some_and(|row| row.has_answered_since(unread.sent_at));
    has_answered || now >= unread.sent_at + MAX_UNREAD_TIME
}

/// Releases the credits of retries whose attempts before have been read.
pub fn release_read(daemon: &Daemon, now: Duration) {
    release_if(daemon, now, |unread| is_read(daemon, now, unread));
}

/// Releases the credits for attempts at an endpoint that accepts no connections: a process that
/// stands still would.
pub fn release_unreached(daemon: &Daemon, key: &Key) {
    release_if(daemon, clock::now(), |unread| unread.key == *key);
}

fn release_if(daemon: &Daemon, now: Duration, is_released: impl Fn(&Unread) -> bool) {
    let mut repeats = daemon.late_repeats.borrow_mut();
    for repeat in repeats.extract_if(.., |repeat| is_released(&repeat.unread)) {
        daemon.allowance.borrow_mut().release(now, &repeat.service, repeat.credit);
    }
}

fn record(daemon: &Daemon, job: &Job, outcome: Outcome, left: usize) {
    *daemon.retries.borrow_mut().entry(outcome).or_default() += 1;
    daemon.note(&Event::Retry {
        request: job.caller.id.clone(),
        service: job.spec.service.clone(),
        outcome: outcome.into(),
        left,
    });
}
