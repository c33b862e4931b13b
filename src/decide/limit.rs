//! Keeps the calls of all daemons to an endpoint within the limit that the endpoint states.
//!
//! Load pattern: an endpoint in need states in its responses that it takes a few requests per
//! second from all daemons together, a fraction of what it got before. No daemon sees the others'
//! calls, and an even share of so few requests is less than one daemon needs while others leave
//! theirs unused.
//!
//! One daemon, the counter of the endpoint, issues permits from a token bucket. The others request
//! a permit before each call, reports and orders included, and do not choose the endpoint for a
//! while after a refusal. The counter is in the endpoint's region, as most callers' daemons are.
//!
//! Daemons learn a limit from responses, from each other and from the counter. As these disagree
//! while a limit changes, every statement carries its time, and a limit holds for `LIFT_DELAY`
//! after it was last stated.
//!
//! A counter issues the part of the limit that `reach` estimates for the daemons that it reaches:
//! the others may be cut off from it and have a counter of their own.
//!
//! Bound: while daemons disagree on the counter, each of the others issues `SECONDARY_RATIO` of the
//! limit. With two of them that is at most 5.85 permits in 4 s for each per second of the limit,
//! and three more. One and a half times the limit and five more are allowed, which leaves room for
//! permits that are used late.

use std::time::Duration;

use crate::decide::quota::Role;
use crate::decide::rendezvous;
use crate::decide::trend::Rate;
use crate::table::RegionId;
use crate::table::instance::Limit;
use crate::table::instance::Node;

/// Time for which a limit holds after it was last stated: responses overtake each other, and one
/// that states no limit may be older than one that does.
pub const LIFT_DELAY: Duration = Duration::from_secs(3);
/// Change of a limit, as a ratio of the previous one, from which it is announced.
const ANNOUNCED_CHANGE_RATIO: f64 = 0.1;
/// Lower bound of the rate of calls: without any, no response could show that the limit has ended.
const MIN_RATE_PER_SECOND: f64 = 0.25;
/// Permits that accumulate, in seconds of the limit, in addition to one.
const BURST_SECONDS: f64 = 0.25;
/// Part of the limit issued by a daemon that has just become the counter, or that is asked although
/// it considers another daemon the counter.
const SECONDARY_RATIO: f64 = 0.2;
/// Time after which no daemon asks the previous counter any more: a silent daemon is suspected for
/// less.
const HANDOVER_WINDOW: Duration = Duration::from_secs(3);
/// Expected time for which a request occupies a slot, in seconds.
const SLOT_TIME_SECONDS: f64 = 0.6;
/// Part of its slots below which the load that an engine's limit allows does not count.
const MIN_LOAD_RATIO: f64 = 0.125;
/// Time over which requests for permits are counted.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Bounds of the time for which a daemon that was refused does not ask again.
pub const MIN_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Upper bound of the time between two requests of one daemon to a limited endpoint.
const MAX_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which a counter answers: twice the round trip between regions.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(130);
/// Age from which a permit is not used: others have been issued since.
pub const MAX_PERMIT_AGE: Duration = Duration::from_millis(260);
/// Consecutive unanswered requests after which a counter is suspected.
pub const MAX_TIMEOUTS: u32 = 3;

/// Selects the counter of an endpoint among the ready daemons that are not suspected, if possible
/// in the endpoint's region.
pub fn pick<'a>(
    nodes: impl Iterator<Item = &'a Node>,
    endpoint: &str,
    region: &RegionId,
    suspected: impl Fn(&Node) -> bool,
) -> Option<&'a Node> {
    let candidates: Vec<&Node> = nodes.filter(|node| node.ready && !suspected(node)).collect();
    let has_local = candidates.iter().any(|node| node.region == *region);
    let members = candidates.into_iter().filter(|node| !has_local || node.region == *region);
    let members = members.map(|node| (node, node.name.as_str(), node.weight()));
    rendezvous::pick(&["limit", endpoint], members)
}

/// What an endpoint stated last.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Statement {
    /// The limit; none if it stated none.
    pub limit: Option<Limit>,
    /// When it was received.
    pub at: Duration,
}

impl Statement {
    /// Applies another statement unless this one takes precedence, and returns whether the limit
    /// has changed so much that other daemons have to know.
    pub fn merge(&mut self, other: Statement) -> bool {
        let applies = match (self.limit, other.limit) {
            (Some(_), None) => other.at >= self.at + LIFT_DELAY,
            (None, Some(_)) => other.at + LIFT_DELAY > self.at,
            (Some(_), Some(_)) | (None, None) => other.at > self.at,
        };
        if !applies {
            return false;
        }
        let previous = std::mem::replace(self, other);
        match (previous.limit, other.limit) {
            (Some(old), Some(new)) => {
                let change = (new.per_second() - old.per_second()).abs();
                change > old.per_second() * ANNOUNCED_CHANGE_RATIO
            }
            (None, None) => false,
            (Some(_), None) | (None, Some(_)) => true,
        }
    }
}

/// Returns the calls per second under a limit.
fn rate(limit: Limit) -> f64 {
    limit.per_second().max(MIN_RATE_PER_SECOND)
}

/// Returns the time between two requests that one daemon sends to an endpoint with this limit.
pub fn interval(limit: Limit) -> Duration {
    Duration::from_secs_f64(1.0 / rate(limit)).min(MAX_INTERVAL)
}

/// Returns the number of requests at once that a limit allows, if that is so small a part of an
/// engine's slots that others have to take its requests.
pub fn max_load(limit: Limit, slots: u32) -> Option<f64> {
    let load = limit.per_second() * SLOT_TIME_SECONDS;
    (load < f64::from(slots) * MIN_LOAD_RATIO).then_some(load)
}

/// The permits of one endpoint, as its counter keeps them.
#[derive(Debug, Clone)]
pub struct Bucket {
    /// Permits; at most one and `BURST_SECONDS` of the limit.
    level: f64,
    refilled_at: Duration,
    /// Since when the daemon has been the counter, and when it last was.
    counter_period: Option<(Duration, Duration)>,
    /// Permits requested per second.
    demand: Rate,
}

impl Bucket {
    /// Creates the bucket of a daemon that has not issued permits before.
    pub fn new(now: Duration) -> Self {
        Bucket {
            level: 0.0,
            refilled_at: now,
            counter_period: None,
            demand: Rate::new(now, DEMAND_WINDOW),
        }
    }

    /// Issues one permit, or returns after which time to ask again.
    pub fn take(&mut self, now: Duration, limit: Limit, role: Role) -> Result<(), Duration> {
        self.record_role(now, role);
        let full_rate = rate(limit);
        let remaining = self.settles_in(now, role);
        let rate =
            if remaining == Some(Duration::ZERO) { full_rate } else { full_rate * SECONDARY_RATIO };
        self.refill(now, rate, role);
        self.demand.add(now, 1.0);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = self.wait(now, self.level, rate);
        let wait = remaining.map_or(wait, |remaining| {
            let level = (self.level + remaining.as_secs_f64() * rate).min(1.0);
            wait.min(remaining + self.wait(now, level, full_rate))
        });
        Err(wait.clamp(MIN_PAUSE, MAX_PAUSE))
    }

    /// Returns the time until another permit is expected for one of those that ask for them.
    fn wait(&self, now: Duration, level: f64, rate: f64) -> Duration {
        let contention = (self.demand.per_second(now) / rate).max(1.0);
        Duration::from_secs_f64((1.0 - level) / rate * contention)
    }

    /// Returns when a permit was last requested.
    pub fn last_used(&self) -> Duration {
        self.refilled_at
    }

    /// Records whether the daemon is the counter. After a time without requests, as after a stall
    /// of this daemon, another one may have been.
    fn record_role(&mut self, now: Duration, role: Role) {
        if role == Role::Counter {
            let since = match self.counter_period {
                Some((since, last)) if now < last + HANDOVER_WINDOW => since,
                _ => now,
            };
            self.counter_period = Some((since, now));
        }
    }

    /// Returns the time after which no other daemon issues permits, if this one stays the counter;
    /// `None` if another one is.
    fn settles_in(&self, now: Duration, role: Role) -> Option<Duration> {
        let (since, _) = self.counter_period.filter(|_| role == Role::Counter)?;
        Some((since + HANDOVER_WINDOW).saturating_sub(now))
    }

    fn refill(&mut self, now: Duration, rate: f64, role: Role) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let max_level = match role {
            Role::Counter => 1.0 + BURST_SECONDS * rate,
            Role::Deputy => 1.0,
        };
        self.level = (self.level + elapsed * rate).min(max_level);
        self.refilled_at = now;
    }
}
