//! Team quotas that all daemons enforce together.
//!
//! Load pattern: a team sends many times its usual amount through all daemons at once, each of
//! which sees a small part of it; or its limit is reduced far below what it sends. Even shares for
//! each daemon are smaller than one request where a team is small and daemons are many, so they
//! refuse requests that are within the limit.
//!
//! One daemon, the counter of the team, keeps a token bucket for all. While the bucket is well
//! filled, the other daemons accept requests and report afterwards what they spent. When it is not,
//! they request units before each caller's request, enough for the demand that they expect until
//! the next such request, so that what is granted never exceeds the bucket. Units that were spent
//! before all daemons switched are deducted from the bucket, whose level may become negative. A
//! daemon that receives no answer from a counter uses an even share of the limit.
//!
//! Daemons may be killed, all at once and again and again, and what a counter has granted is then
//! forgotten. So a bucket starts with no more than the limit has allowed since its daemon started.
//! They may also be cut off from each other, and each part then has a counter. So a counter grants
//! the part of the limit and of the burst that `reach` estimates for the daemons that it reaches.
//! A daemon that is asked although it considers another one the counter, a deputy, grants the shares
//! of the daemons that ask it.
//!
//! Bound: the units spent above the limit are those accepted from the first spending above it until
//! all daemons have been notified, about 0.3 s, less the burst, plus what the previous counter
//! grants to daemons that do not know the new one yet, plus what two counters grant until a cut is
//! noticed, about a second.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::decide::rendezvous;
use crate::decide::trend::Rate;
use crate::table::instance::Node;
use crate::table::team::Quota;

/// Fill levels, as ratios of the burst: at or below the first daemons must request units before
/// spending, and from the second on they need not.
const STRICT_MAX_RATIO: f64 = 0.5;
const RELAXED_MIN_RATIO: f64 = 0.8;
/// Maximum initial level of a bucket, as a ratio of the burst: another counter may have granted the
/// rest just before.
const INITIAL_RATIO: f64 = 0.5;
/// Time after taking over during which a counter grants only a part of the limit, as some daemons
/// still send to the previous one.
const HANDOVER_WINDOW: Duration = Duration::from_secs(1);
/// Maximum level, as a ratio of the burst, after no message for `IDLE_TIMEOUT`.
const IDLE_MAX_RATIO: f64 = 0.5;
/// Time without a message about a team after which another daemon may have been its counter.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Part of the limit granted by a daemon that has just become the counter, as another was before.
const HANDOVER_RATE_RATIO: f64 = 0.5;
/// Maximum of the unreported units of all daemons together, as a ratio of the burst.
const MAX_UNREPORTED_RATIO: f64 = 0.5;
/// Maximum time until spent units are reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time over which demand is smoothed.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Seconds of expected demand that a daemon requests units for.
const PREFETCH_SECONDS: f64 = 0.15;
/// Time after which granted units that were not spent are given back.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time until a daemon that was refused requests units again; up to half as much is added
/// at random.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(120);
/// Time within which a counter answers: twice the round trip between regions.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(130);
/// Time after which an answer is ignored: another counter may have granted units since.
const MAX_RESPONSE_AGE: Duration = Duration::from_millis(450);
/// Consecutive unanswered requests after which a counter counts as unresponsive: a single datagram
/// may be lost.
const MAX_TIMEOUTS: u32 = 2;
/// Bounds of the retry-after of a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Selects the counter of a team among the ready daemons that are not suspected.
pub fn pick<'a>(
    nodes: impl Iterator<Item = &'a Node>,
    team: &str,
    suspected: impl Fn(&Node) -> bool,
) -> Option<&'a Node> {
    let members = nodes.filter(|node| node.ready && !suspected(node));
    rendezvous::pick(
        &["quota", team],
        members.map(|node| (node, node.name.as_str(), node.weight())),
    )
}

/// Id of a message to a counter, which its answer names. Those of one daemon and team are numbered
/// from a random one, so that no two daemons or incarnations share one.
pub type Ticket = u64;

/// A daemon's message to the counter of a team: units spent and units requested.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Request {
    /// Id of the message.
    pub ticket: Ticket,
    /// Units that were spent without a request; negative if more were given back.
    pub spent: i64,
    /// Units that the first waiting request needs; 0 if none are requested.
    pub minimum: u32,
    /// Units that are requested; at least `minimum`.
    pub requested: u32,
    /// Whether this daemon's previous answer came from another counter.
    pub counter_changed: bool,
}

/// The counter's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Response {
    /// Units that may be spent.
    pub granted: u32,
    /// Whether daemons must request units before they spend.
    pub strict: bool,
    /// Time after which a refused caller should retry.
    pub retry_after: Duration,
}

/// Whether a daemon considers itself the counter of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It is the counter.
    Counter,
    /// Another daemon is the counter; daemons that send here cannot reach it or see other members.
    Deputy,
}

/// The token bucket that a counter keeps for all daemons.
#[derive(Debug, Clone)]
pub struct Bucket {
    /// Units; at most the burst, and negative after more was spent than was available.
    level: f64,
    /// When the bucket was last refilled.
    refilled_at: Duration,
    strict: bool,
    role: Role,
    /// When the daemon took on `role`.
    role_since: Duration,
    /// Whether this daemon took over from another counter.
    took_over: bool,
    /// Units requested or spent per second.
    demand: Rate,
}

impl Bucket {
    /// Creates the bucket of a daemon that has not counted for the team since it started.
    pub fn new(now: Duration, quota: &Quota, role: Role, started_at: Duration) -> Self {
        let uptime = now.saturating_sub(started_at).as_secs_f64();
        let level = match role {
            Role::Counter => (quota.rate * uptime).min(quota.burst * INITIAL_RATIO),
            Role::Deputy => 0.0,
        };
        Bucket {
            level,
            refilled_at: now,
            strict: true,
            role,
            role_since: now,
            took_over: false,
            demand: Rate::new(now, DEMAND_WINDOW),
        }
    }

    /// Returns whether daemons must request units before they spend.
    pub fn is_strict(&self) -> bool {
        self.strict
    }

    /// Returns the units that are left; negative after more was spent than was available.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Handles a daemon's message and returns the answer.
    pub fn handle(
        &mut self,
        now: Duration,
        quota: &Quota,
        role: Role,
        message: &Request,
    ) -> Response {
        self.refill(now, quota, role);
        if message.counter_changed {
            self.take_over(now, quota);
        }
        self.level -= message.spent as f64;
        self.demand.add(now, message.spent.max(0) as f64 + f64::from(message.requested));
        // A request larger than the highest level of an idle bucket must not be refused forever.
        let enough = self.level >= f64::from(message.minimum).min(quota.burst * IDLE_MAX_RATIO);
        let granted = match message.minimum {
            0 => 0,
            minimum if enough => message.requested.min((self.level.max(0.0) as u32).max(minimum)),
            _ => 0,
        };
        self.level -= f64::from(granted);
        self.strict = if self.strict {
            self.level < quota.burst * RELAXED_MIN_RATIO || quota.burst == 0.0
        } else {
            self.level <= quota.burst * STRICT_MAX_RATIO
        };
        Response {
            granted,
            strict: self.strict,
            retry_after: self.retry_after(now, quota, message.minimum),
        }
    }

    /// Lowers the level, as the previous counter may have granted the burst and still grants units
    /// to daemons that send to it.
    fn take_over(&mut self, now: Duration, quota: &Quota) {
        if !self.took_over && now < self.role_since + HANDOVER_WINDOW {
            self.took_over = true;
            self.level = self.level.min((self.level - quota.burst * INITIAL_RATIO).max(0.0));
        }
    }

    fn refill(&mut self, now: Duration, quota: &Quota, role: Role) {
        if role != self.role {
            (self.role, self.role_since, self.took_over) = (role, now, false);
        }
        let elapsed = now.saturating_sub(self.refilled_at);
        let (ratio, max_ratio) = match role {
            Role::Counter if self.took_over && now < self.role_since + HANDOVER_WINDOW => {
                (HANDOVER_RATE_RATIO, 1.0)
            }
            Role::Counter if elapsed > IDLE_TIMEOUT => (1.0, IDLE_MAX_RATIO),
            Role::Counter => (1.0, 1.0),
            Role::Deputy => (1.0, IDLE_MAX_RATIO),
        };
        let level = self.level + elapsed.as_secs_f64() * quota.rate * ratio;
        self.level = level.min(quota.burst * max_ratio);
        self.refilled_at = now;
    }

    /// Returns how long it takes until enough units for a request of this size are expected, given
    /// the demand of others.
    fn retry_after(&self, now: Duration, quota: &Quota, minimum: u32) -> Duration {
        let missing = f64::from(minimum).min(quota.burst * IDLE_MAX_RATIO) - self.level;
        let contention = (self.demand.per_second(now) / quota.rate).max(1.0);
        let seconds =
            (missing.max(0.0) / quota.rate * contention).min(MAX_RETRY_AFTER.as_secs_f64());
        Duration::from_secs_f64(seconds).max(MIN_RETRY_AFTER)
    }
}

/// The decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// Within the limit.
    Accept,
    /// Beyond the limit; the caller should retry after this time.
    Refuse(Duration),
    /// Units must be requested from the counter first.
    AskCounter(Request),
    /// Units have been requested; the request is decided again when the answer arrives.
    Wait,
}

/// One daemon's state of a team's quota.
#[derive(Debug, Clone)]
pub struct Meter {
    /// Whether units must be requested before spending; true until the counter says otherwise.
    strict: bool,
    /// When the counter last said so.
    strict_at: Duration,
    /// Units that were spent and not reported yet.
    unreported: i64,
    /// Since when there are unreported units.
    unreported_since: Option<Duration>,
    /// Units that were granted and not spent, and when they expire.
    balance: (u32, Duration),
    /// The time until which requests are refused, and the retry-after that they get.
    refusal: (Duration, Duration),
    /// Ticket of the next message.
    next_ticket: Ticket,
    /// When each message was sent that the counter has not answered.
    open: HashMap<Ticket, Duration>,
    /// The unanswered request for units, and when it was sent to the counter.
    requested: Option<(Ticket, Duration)>,
    /// Requests that timed out since the counter's last answer.
    timeouts: u32,
    /// When the first message after the counter's last answer was sent.
    unanswered_since: Option<Duration>,
    demand: Rate,
    /// This daemon's even share of the limit, used while no counter answers.
    local_bucket: Option<Bucket>,
}

impl Meter {
    /// Creates the state of a daemon that has received nothing from a counter.
    pub fn new(now: Duration, first_ticket: Ticket) -> Self {
        Meter {
            strict: true,
            strict_at: now,
            unreported: 0,
            unreported_since: None,
            balance: (0, Duration::ZERO),
            refusal: (Duration::ZERO, Duration::ZERO),
            next_ticket: first_ticket,
            open: HashMap::new(),
            requested: None,
            timeouts: 0,
            unanswered_since: None,
            demand: Rate::new(now, DEMAND_WINDOW),
            local_bucket: None,
        }
    }

    /// Decides on a new request that costs `cost` units.
    pub fn request(&mut self, now: Duration, cost: u32) -> Decision {
        self.demand.add(now, f64::from(cost));
        self.retry(now, cost)
    }

    /// Decides again on a request that has waited for the counter.
    pub fn retry(&mut self, now: Duration, cost: u32) -> Decision {
        self.expire(now);
        if !self.strict {
            self.spend(now, i64::from(cost));
            return Decision::Accept;
        }
        if let Some(remaining) = self.balance.0.checked_sub(cost) {
            self.balance.0 = remaining;
            return Decision::Accept;
        }
        if now < self.refusal.0 {
            return Decision::Refuse(self.refusal.1);
        }
        if self.requested.is_some() {
            return Decision::Wait;
        }
        let report = self.take_report(now);
        self.requested = Some((report.ticket, now));
        let prefetch = (self.demand.per_second(now) * PREFETCH_SECONDS) as u32;
        Decision::AskCounter(Request {
            minimum: cost,
            requested: cost.saturating_add(prefetch),
            ..report
        })
    }

    /// Gives back the units of an accepted request that has not run and will not run.
    pub fn give_back(&mut self, now: Duration, cost: u32) {
        self.spend(now, -i64::from(cost));
    }

    /// Handles the counter's answer to a message, and returns whether that was open.
    pub fn on_response(
        &mut self,
        now: Duration,
        ticket: Ticket,
        response: &Response,
        rng: &mut SmallRng,
    ) -> bool {
        let sent_at = self.open.remove(&ticket);
        let Some(sent_at) = sent_at.filter(|sent_at| now <= *sent_at + MAX_RESPONSE_AGE) else {
            return false;
        };
        let was_requested = self.requested.take_if(|(open, _)| *open == ticket).is_some();
        (self.unanswered_since, self.timeouts) = (None, 0);
        self.local_bucket = None;
        if response.strict {
            self.set_strict(now);
        } else if sent_at >= self.strict_at {
            // An answer to an earlier message may be older than the notice.
            self.strict = false;
        }
        self.balance = (self.balance.0.saturating_add(response.granted), now + GRANT_TIMEOUT);
        if !self.strict {
            self.return_balance(now);
        }
        if was_requested && response.granted == 0 && response.strict {
            let until = now + MIN_REQUEST_INTERVAL.mul_f64(rng.random_range(1.0..1.5));
            self.refusal = (until, response.retry_after.mul_f64(rng.random_range(0.9..1.3)));
        }
        true
    }

    /// Handles the notification that daemons must request units before they spend.
    pub fn set_strict(&mut self, now: Duration) {
        (self.strict, self.strict_at) = (true, now);
    }

    /// Handles a request that waited for the counter in vain, and returns whether the counter
    /// counts as unresponsive. The request may have waited for a message that was sent earlier.
    pub fn on_timeout(&mut self, now: Duration) -> bool {
        if self.requested.is_none_or(|(_, at)| now < at + RESPONSE_TIMEOUT) {
            return false;
        }
        self.requested = None;
        self.timeouts += 1;
        let unresponsive = self.timeouts >= MAX_TIMEOUTS;
        if unresponsive {
            self.reset_counter();
        }
        unresponsive
    }

    /// Discards the state of the counter when another one replaces it.
    pub fn reset_counter(&mut self) {
        (self.requested, self.unanswered_since, self.timeouts) = (None, None, 0);
        self.open.clear();
        self.strict = true;
    }

    /// Returns when the first message after the counter's last answer was sent.
    pub fn unanswered_since(&self) -> Option<Duration> {
        self.unanswered_since
    }

    /// Charges a request to this daemon's even share of the limit, which it has not used since
    /// `since`; returns the answer and what is left of the share.
    pub fn charge_local_share(
        &mut self,
        now: Duration,
        quota: &Quota,
        daemons: usize,
        since: Duration,
        message: &Request,
    ) -> (Response, f64) {
        let share = quota.scaled(1.0 / daemons.max(1) as f64);
        let bucket =
            self.local_bucket.get_or_insert_with(|| Bucket::new(now, &share, Role::Counter, since));
        let response = bucket.handle(now, &share, Role::Counter, message);
        (response, bucket.level())
    }

    /// Returns the report that is due even though no units are requested.
    pub fn due_report(&mut self, now: Duration, quota: &Quota, daemons: usize) -> Option<Request> {
        self.expire(now);
        let max_unreported = (quota.burst * MAX_UNREPORTED_RATIO / daemons.max(1) as f64) as i64;
        let overdue = self.unreported_since.is_some_and(|since| now >= since + REPORT_INTERVAL);
        (self.unreported != 0 && (self.unreported > max_unreported || overdue))
            .then(|| self.take_report(now))
    }

    fn spend(&mut self, now: Duration, units: i64) {
        self.unreported += units;
        self.unreported_since.get_or_insert(now);
    }

    fn take_report(&mut self, now: Duration) -> Request {
        self.unreported_since = None;
        self.unanswered_since.get_or_insert(now);
        self.open.retain(|_, sent_at| now <= *sent_at + MAX_RESPONSE_AGE);
        let ticket = self.next_ticket;
        self.next_ticket = ticket.wrapping_add(1);
        self.open.insert(ticket, now);
        Request { ticket, spent: std::mem::take(&mut self.unreported), ..Request::default() }
    }

    fn expire(&mut self, now: Duration) {
        if now >= self.balance.1 {
            self.return_balance(now);
        }
    }

    fn return_balance(&mut self, now: Duration) {
        let remaining = std::mem::take(&mut self.balance.0);
        if remaining > 0 {
            self.spend(now, -i64::from(remaining));
        }
    }
}
