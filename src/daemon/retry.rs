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
    /// The request may be sent again.
    Granted,
    /// The allowance of its service is used up.
    Denied,
}

/// Number of decisions by outcome.
pub type Outcomes = HashMap<Outcome, u64>;

/// Spends one retry for a job that has reached an endpoint before; returns false if none is left.
pub fn spend(daemon: &Daemon, job: &Job) -> bool {
    let now = clock::now();
    let service = &job.spec.service;
    let mut allowance = daemon.allowance.borrow_mut();
    let left = allowance.remaining(now, service);
    let outcome = if allowance.spend(now, service) { Outcome::Granted } else { Outcome::Denied };
    *daemon.retries.borrow_mut().entry(outcome).or_default() += 1;
    daemon.note(&Event::Retry {
        request: job.caller.id.clone(),
        service: service.clone(),
        outcome: outcome.into(),
        left,
    });
    outcome == Outcome::Granted
}
