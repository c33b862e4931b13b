//! Grants and logs retries; `decide::allowance` makes the decisions.

use std::collections::HashMap;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::front::Job;
use crate::daemon::journal::Event;

/// Outcomes of this daemon's decisions on retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The request is sent again.
    Granted,
    /// The service has no credit.
    Denied,
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
    let granted = daemon.allowance.borrow_mut().spend(now, service);
    let outcome = if granted { Outcome::Granted } else { Outcome::Denied };
    record(daemon, job, outcome, left);
    granted
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
