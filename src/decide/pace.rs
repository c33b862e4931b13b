//! Bounds the requests at an endpoint that has just started, or is used again after failures, until
//! its answers show how many it takes.
//!
//! Load pattern: an endpoint is replaced while hundreds of requests per second arrive. To every
//! daemon it looks idle and has no record of delays, so that all of them send it what they have. If
//! its caches are cold or its machine is busy, all these requests are late before the first answer
//! shows it.
//!
//! The bound holds for all requests at the endpoint. It begins with a small part of the slots and
//! grows by one with each answer whose first byte comes as fast as at other endpoints, so that it
//! doubles in the time of one answer. It halves with a late answer or a failure, at most once per
//! bound that these requests were sent under, and ends when it reaches the number of requests that
//! the slots allow. An answer that is in time at a higher load than the bound, which a broker that
//! takes over sees in load reports, lifts the bound to that load. It also counts for the answers of
//! other daemons that are not seen here: the bound is then at least what it would be had it doubled
//! each second since it was last lowered.
//!
//! Requests that were sent while the endpoint was slow may fill the bound for long, so that one more
//! is sent each second to see whether it still is.
//!
//! The bound only selects between endpoints: one beyond its bound is used when no endpoint in the
//! region that has no bound and does not fail could begin at once, so no request waits for it.
//!
//! Where no broker grants the slots, each daemon has a part of the bound. Of more daemons than the
//! bound, each sends one request at a time, in turns: first at a random time, and then at an interval
//! that keeps all of them near the bound.
//!
//! The entries use the same bound (`decide::pool`), each as a daemon without a broker.

use std::time::Duration;

use crate::decide::brittle::Sharing;

/// Part of the slots with which the bound begins: three doublings reach the slots.
const INITIAL_RATIO: f64 = 0.125;
/// Least bound. The endpoint would not be tried again without requests.
const MIN_BOUND: f64 = 1.0;
/// An answer is in time up to this multiple of the time expected at other endpoints.
const MAX_DELAY_RATIO: f64 = 2.0;
/// Delay that does not make an answer late, as it is no larger than the noise of a busy daemon.
const DELAY_SLACK: Duration = Duration::from_millis(20);
/// Factor of the bound after a late answer or a failure.
const SHRINK_RATIO: f64 = 0.5;
/// Time after which there is no bound, so that none lasts without evidence. The costs of
/// `decide::endpoint` avoid endpoints that remain slow.
const MAX_AGE: Duration = Duration::from_secs(30);
/// Time for which an endpoint counts as new.
pub const NEW_PERIOD: Duration = Duration::from_secs(5);
/// Share of failed requests from which an endpoint is used as if it had just started: four failures
/// in a row.
pub const MAX_FAILURE_RATIO: f64 = 0.45;
/// Time in which the bound would double by the answers of other daemons, if all are in time: more
/// than most answers take.
const DOUBLING_TIME: Duration = Duration::from_secs(1);
/// Time after which a request may be sent although the bound is reached.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which as many daemons send one request as the bound allows: about that of an answer, so
/// that the requests at once are few beyond the bound.
const TURN: Duration = Duration::from_millis(250);
/// A failure of a request that was sent this long before the bound was lowered does not lower it
/// again.
const FAILURE_SPAN: Duration = Duration::from_millis(100);

/// Returns whether so many of a service's endpoints are new that they are no exception, as when all
/// of them start at once.
pub fn is_fleet_new(new: usize, all: usize) -> bool {
    new * 2 > all
}

/// The bound of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    bound: f64,
    started_at: Duration,
    /// When a request was last sent.
    sent_at: Duration,
    /// When the bound was last lowered.
    shrunk_at: Duration,
}

impl Pace {
    /// Returns the bound of an endpoint that is used from `now` on. One that states that it is cold
    /// starts with a single request.
    pub fn new(now: Duration, slots: u32, is_cold: bool) -> Self {
        let initial = f64::from(slots) * INITIAL_RATIO;
        let bound = if is_cold { MIN_BOUND } else { initial.max(MIN_BOUND) };
        Pace { bound, started_at: now, sent_at: now, shrunk_at: now }
    }

    /// Returns the number of requests of all daemons that the endpoint is meant to have at most.
    pub fn bound(&self) -> u32 {
        self.bound.ceil() as u32
    }

    /// Returns whether the bound no longer applies to an endpoint that takes `max` requests.
    pub fn has_ended(&self, now: Duration, max: u32) -> bool {
        self.bound >= f64::from(max) || now >= self.started_at + MAX_AGE
    }

    /// Returns whether a daemon may send another request. `load` are the known requests of all
    /// daemons, `own` those of this one; `seat` differs between daemons.
    pub fn allows(&self, now: Duration, load: u32, own: u32, share: Share) -> bool {
        let has_room = load < self.bound();
        let idle = now.saturating_sub(self.sent_at);
        let Share::Part { daemons, seat } = share else {
            return has_room || idle >= PROBE_INTERVAL;
        };
        let daemons = daemons.max(1) as u64;
        if !has_room {
            return idle.as_millis() >= PROBE_INTERVAL.as_millis() * u128::from(daemons);
        }
        let bound = u64::from(self.bound());
        if daemons <= bound {
            return u64::from(own) < bound.div_ceil(daemons);
        }
        // Saturates for an unknown number of daemons.
        let cycle = TURN.as_secs_f64() * (daemons as f64 / bound as f64);
        let cycle = Duration::try_from_secs_f64(cycle).unwrap_or(MAX_AGE).min(MAX_AGE);
        let next = if self.sent_at > self.started_at {
            self.sent_at + cycle
        } else {
            self.started_at + cycle.mul_f64(seat as f64 / u64::MAX as f64)
        };
        own == 0 && now >= next
    }

    /// Records that a request is sent.
    pub fn on_sent(&mut self, now: Duration) {
        self.sent_at = now;
    }

    /// Records the first byte of an answer that came after `took` where `expected` is usual, if
    /// that is known, at this load. `own` are the requests of those daemons whose answers are known here.
    pub fn on_answer(
        &mut self,
        now: Duration,
        took: Duration,
        expected: Option<Duration>,
        load: u32,
        own: u32,
    ) {
        if expected.is_some_and(|usual| took > usual.mul_f64(MAX_DELAY_RATIO) + DELAY_SLACK) {
            self.shrink(now, now.saturating_sub(took));
            return;
        }
        // Each known answer stands for those that other daemons get.
        let answers = f64::from(load.max(1)) / f64::from(own.max(1));
        let doublings =
            now.saturating_sub(self.shrunk_at).as_secs_f64() / DOUBLING_TIME.as_secs_f64();
        let by_age = MIN_BOUND * doublings.exp2();
        self.bound = (self.bound.max(f64::from(load)) + answers.max(1.0)).max(by_age);
    }

    /// Records a request that failed, perhaps after its first byte.
    pub fn on_failure(&mut self, now: Duration) {
        self.bound = (self.bound - 1.0).max(MIN_BOUND);
        self.shrink(now, now.saturating_sub(FAILURE_SPAN));
    }

    /// Lowers the bound, unless the request was sent before it was last lowered.
    fn shrink(&mut self, now: Duration, sent_at: Duration) {
        if sent_at >= self.shrunk_at || self.shrunk_at == self.started_at {
            self.bound = (self.bound * SHRINK_RATIO).max(MIN_BOUND);
            self.shrunk_at = now;
        }
    }
}

/// Whose requests a bound is compared with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    /// A broker knows all of them.
    All,
    /// Each daemon has a part.
    Part {
        /// Number of daemons.
        daemons: usize,
        /// Number that differs between daemons.
        seat: u64,
    },
}

impl Share {
    /// Returns the share of a daemon that is one of those of `sharing`.
    pub fn new(is_engine: bool, sharing: Sharing, seat: u64) -> Self {
        if is_engine && sharing.has_brokers {
            return Share::All;
        }
        Share::Part { daemons: sharing.daemons, seat }
    }
}
