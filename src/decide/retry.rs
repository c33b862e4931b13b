//! Retries: decides which failed attempts are repeated.
//!
//! Load pattern: endpoints fail by the dozen after an outage, or a caller resends what failed.
//! Without this module each entry multiplies the load when capacity is lowest, and endpoints that
//! would have recovered stay down.
//!
//! Attempts after the first are paid from a budget. Each first attempt adds `RETRY_RATIO`, so that
//! in the long run attempts are at most `1 + RETRY_RATIO` times the requests. `MAX_RESERVE` lets an
//! entry with little traffic resume the streams of one crashed endpoint. An attempt that was
//! refused or never connected used no endpoint time, but costs the same: otherwise a fleet that
//! refuses everything would receive `MAX_ATTEMPTS` attempts for each request. `MAX_ATTEMPTS` is
//! three, because the chance that three different endpoints fail independently is lower than that
//! of any other loss.

use crate::edge::endpoint::Error;
use crate::edge::endpoint::Outcome;

/// Maximum number of attempts of a request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;
/// Retries as a ratio of first attempts.
const RETRY_RATIO: f64 = 0.15;
/// Maximum number of retries saved up.
const MAX_RESERVE: f64 = 32.0;

/// Decision on a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Another attempt is made at another endpoint.
    Retry,
    /// The failure is the final answer.
    Final,
}

/// Budget for retries.
#[derive(Debug, Clone)]
pub struct Budget {
    remaining: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { remaining: MAX_RESERVE / 2.0 }
    }
}

impl Budget {
    /// Records a first attempt.
    pub fn on_first_attempt(&mut self) {
        self.remaining = (self.remaining + RETRY_RATIO).min(MAX_RESERVE);
    }

    /// Decides whether a failed attempt is retried, and pays for the retry.
    pub fn decide(&mut self, error: &Error, repeatable: bool, attempts: u32) -> Verdict {
        let safe = repeatable || error.outcome() == Outcome::NotRun;
        if !safe || attempts >= MAX_ATTEMPTS || self.remaining < 1.0 {
            return Verdict::Final;
        }
        self.remaining -= 1.0;
        Verdict::Retry
    }

    /// Returns the number of retries that the budget still covers.
    pub fn remaining(&self) -> f64 {
        self.remaining
    }
}
