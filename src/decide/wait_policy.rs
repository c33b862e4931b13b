//! Decides whether a request that can't be sent now waits or is refused.
//!
//! Load pattern: a burst fills all engines that have a model resident, or demand shifts to a model
//! that no engine has resident. Without a bound the requests queue here until their deadlines pass:
//! callers wait in vain, and the oldest requests delay those that could still be served on time.
//!
//! A request waits as long as it can be served by its deadline: an answer that is late is worth less
//! than one on time, and a refusal nothing. If the expected wait is a large part of the time that is
//! left, the request is refused at once with a retry-after time, as its caller can only come back
//! while there is time. What waits is checked again (`has_time`), as more urgent requests arrive.
//!
//! Callers of streams leave if no first event comes in time, which may be seconds before the
//! deadline: a request that is sent later runs for nobody. A request that will be late waits only
//! while the queue before it gets shorter. Otherwise it would be held until its caller leaves, or
//! take a slot from one that can still be on time.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;

use crate::decide::wait_queue::Class;
use crate::decide::wait_queue::Place;
use crate::decide::wait_queue::Queue;

/// Part of the target latency that may pass before a request is sent that is to be on time.
const ON_TIME_RATIO: f64 = 0.7;
/// Part of the time until a request has to be sent that its expected wait may take. The expectation
/// is uncertain, and a request that is held for longer and then refused is lost.
const MAX_WAIT_RATIO: f64 = 0.6;
/// Time that is kept for an answer, as a multiple of the expected slot time.
const ANSWER_MARGIN: f64 = 1.2;
/// Upper bound of that time, as a part of the time from arrival to deadline: the slot time is an
/// average over requests of all kinds.
const MAX_ANSWER_RATIO: f64 = 0.5;
/// Time for which a request waits for a load, as a multiple of the expected time, and in addition.
/// A load that takes longer may never have been ordered.
const LOAD_MARGIN: f64 = 1.4;
const LOAD_GRACE: Duration = Duration::from_millis(200);
/// Lower bound of the rate at which requests complete, per second.
const MIN_RATE: f64 = 0.5;
/// Upper bound of an expected wait.
const MAX_EXPECTED_WAIT: Duration = Duration::from_secs(60);
/// Upper bound of retry-after as a part of the caller's remaining time, since callers don't wait
/// longer than that.
const MAX_RETRY_AFTER_RATIO: f64 = 0.33;
/// Lower bound of retry-after: one round of load updates between peers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Reason why a request can't be sent now. Its `Debug` form is the `cause` of the `waits` log
/// event, so the names of its variants and fields are fixed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Cause {
    /// All engines that have the model and adapter resident are full.
    Full {
        /// Number of requests queued before it.
        ahead: usize,
        /// Number of requests queued before it once it is late.
        ahead_if_late: usize,
        /// Number of requests queued in all.
        queued: usize,
        /// Requests that end per second at these engines.
        rate: f64,
        /// Requests that arrive per second for these engines.
        arrivals: f64,
    },
    /// All engines that have the model and adapter resident have this much prefill time queued.
    Paced(Duration),
    /// All engines that have the model and adapter resident have reached the limits they state.
    Limited {
        /// Number of requests queued before it.
        ahead: usize,
        /// Time until the next request can be sent.
        wait: Duration,
    },
    /// All engines that have the model and adapter resident want no calls for this long.
    Backoff(Duration),
    /// A model or an adapter must be loaded first, which takes this long.
    Loading(Duration),
    /// No endpoint can serve it.
    Nothing,
}

/// What a request that isn't sent is short of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Shortage {
    /// A slot at an engine that has the model and adapter resident.
    Slot,
    /// Prefill time of such an engine.
    #[strum(serialize = "reading")]
    Prefill,
    /// A model or an adapter that isn't resident yet.
    Load,
    /// Any endpoint.
    Endpoint,
    /// A request per second under the limit that an endpoint states.
    Limit,
    /// An endpoint that wants calls again.
    Backoff,
}

impl Cause {
    /// Returns what the request is short of.
    pub fn shortage(self) -> Shortage {
        match self {
            Cause::Full { .. } => Shortage::Slot,
            Cause::Paced(_) => Shortage::Prefill,
            Cause::Limited { .. } => Shortage::Limit,
            Cause::Backoff(_) => Shortage::Backoff,
            Cause::Loading(_) => Shortage::Load,
            Cause::Nothing => Shortage::Endpoint,
        }
    }
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// It waits until this time at most.
    Wait(Duration),
    /// It is refused with this retry-after.
    Refuse(Duration),
}

/// A request that can't be sent now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Time of arrival.
    pub arrived_at: Duration,
    /// Time within which an answer counts as on time.
    pub target_latency: Duration,
    /// Time by which it must be answered.
    pub deadline: Duration,
    /// Time for which it is expected to occupy a slot.
    pub slot_time: Duration,
    /// Time by which its caller leaves without a first event, if it leaves before the deadline.
    pub first_event_by: Option<Duration>,
}

impl Request {
    /// Returns from when on its answer can't be on time if it has not been sent.
    pub fn late_from(&self) -> Duration {
        self.arrived_at + self.target_latency.mul_f64(ON_TIME_RATIO)
    }

    /// Returns when it has to be sent for its first event to find the caller, and for its answer to
    /// be complete by the deadline.
    pub fn latest_start(&self) -> Duration {
        let span = self.deadline.saturating_sub(self.arrived_at);
        let answer = self.slot_time.mul_f64(ANSWER_MARGIN).min(span.mul_f64(MAX_ANSWER_RATIO));
        let complete = self.deadline.saturating_sub(answer);
        let first_event = self.target_latency.mul_f64(1.0 - ON_TIME_RATIO);
        let begun = self.first_event_by.map(|by| by.saturating_sub(first_event));
        begun.map_or(complete, |begun| begun.min(complete))
    }

    /// Returns whether a request that already waits can still be sent in time after `wait`.
    pub fn has_time(&self, now: Duration, wait: Duration) -> bool {
        now + wait <= self.latest_start()
    }
}

/// Returns the expected wait of a request behind `ahead` others, of which `rate` complete per second.
pub fn expected_wait(ahead: usize, rate: f64) -> Duration {
    let seconds = (ahead as f64 + 1.0) / rate.max(MIN_RATE);
    Duration::from_secs_f64(seconds.min(MAX_EXPECTED_WAIT.as_secs_f64()))
}

/// Returns the expected wait of a late request behind `ahead` of `queued` others. Of those that arrive
/// from now on, as large a part is served before it. None if the queue before it does not get
/// shorter.
pub fn expected_late_wait(
    ahead: usize,
    queued: usize,
    rate: f64,
    arrivals: f64,
) -> Option<Duration> {
    let part = (ahead as f64 + 1.0) / (queued as f64 + 1.0);
    let drain = rate - arrivals * part.min(1.0);
    (drain > 0.0).then(|| expected_wait(ahead, drain))
}

/// Returns the last waiting request of a class and its expected wait, if it can't be served by its
/// deadline any more, as another one has been queued before it. `others` returns how many requests of
/// other daemons precede a place, `request` what a value of the queue states, if it waits for a slot.
pub fn displaced<T>(
    now: Duration,
    queue: &Queue<T>,
    class: Class,
    rate: f64,
    others: impl Fn(&Place) -> usize,
    request: impl Fn(&T) -> Option<Request>,
) -> Option<(&T, Duration)> {
    let last = queue.last(class)?;
    let own = queue.count(class).saturating_sub(1);
    let ahead = own + queue.place(class, own).map_or(0, others);
    let wait = expected_wait(ahead, rate);
    (!request(last)?.has_time(now, wait)).then_some((last, wait))
}

/// Decides at `now` whether a request waits.
pub fn decide(now: Duration, request: &Request, cause: Cause, rng: &mut SmallRng) -> Verdict {
    let latest_start = request.latest_start();
    let late_from = request.late_from().min(latest_start);
    let max_wait = latest_start.saturating_sub(now).mul_f64(MAX_WAIT_RATIO);
    let (wait, until) = match cause {
        Cause::Full { ahead, ahead_if_late, queued, rate, arrivals } => {
            let wait = expected_wait(ahead, rate);
            if now + wait <= late_from {
                // What becomes late nevertheless is decided on again then.
                return Verdict::Wait(latest_start);
            }
            let late_wait = expected_late_wait(ahead_if_late, queued, rate, arrivals);
            (late_wait.unwrap_or(wait.max(max_wait)), latest_start)
        }
        Cause::Limited { ahead, wait } => {
            let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
            let wait = wait.saturating_mul(ahead.saturating_add(1)).min(MAX_EXPECTED_WAIT);
            (wait, latest_start)
        }
        // A late prompt would take the prefill time of those that can be on time.
        Cause::Paced(wait) if now + wait <= late_from => return Verdict::Wait(late_from),
        Cause::Paced(wait) => (wait.max(max_wait), late_from),
        // Unlike with a limit, all that wait can be sent when the time is over.
        Cause::Backoff(wait) => (wait, latest_start),
        Cause::Loading(wait) => (wait, now + wait.mul_f64(LOAD_MARGIN) + LOAD_GRACE),
        Cause::Nothing => (MAX_EXPECTED_WAIT, now),
    };
    if wait < max_wait {
        return Verdict::Wait(until.min(latest_start));
    }
    let delay = match cause {
        Cause::Nothing => Duration::from_secs(1),
        _ => wait,
    };
    let remaining = request.deadline.saturating_sub(now);
    Verdict::Refuse(retry_after(remaining, delay, rng))
}

/// Returns the retry-after of a refused caller that could be served after `delay` and has
/// `remaining` time until its deadline. Jitter keeps callers from returning all at the same time.
pub fn retry_after(remaining: Duration, delay: Duration, rng: &mut SmallRng) -> Duration {
    let jitter = rng.random_range(0.9..1.2);
    let max_delay = remaining.mul_f64(MAX_RETRY_AFTER_RATIO).max(MIN_RETRY_AFTER);
    delay.mul_f64(jitter).clamp(MIN_RETRY_AFTER, max_delay)
}
