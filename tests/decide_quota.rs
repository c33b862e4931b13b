//! Team quotas over many daemons, simulated in virtual time. The daemons exchange delayed messages
//! with the team's counter, and the units that they accept are compared with the limit.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use poplarmux::decide::quota;
use poplarmux::decide::quota::Bucket;
use poplarmux::decide::quota::Decision;
use poplarmux::decide::quota::Meter;
use poplarmux::decide::quota::Request;
use poplarmux::decide::quota::Response;
use poplarmux::decide::quota::Role;
use poplarmux::decide::quota::Ticket;
use poplarmux::table::instance::Node;
use poplarmux::table::team::Quota;
use poplarmux::table::team::Unit;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const WINDOW: Duration = Duration::from_secs(8);
/// Tolerance of the limit: the ratio and the units by which it may be exceeded in a window.
const TOLERANCE_RATIO: f64 = 0.1;
const TOLERANCE_UNITS: f64 = 7_400.0;
/// Units of a request.
const COST: u32 = 800;
const TICK_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Tick(usize),
    ToCounter(usize, Ticket, i64, u32, u32),
    FromCounter(usize, Ticket, u32, bool, Duration),
    Timeout(usize),
}

#[derive(Debug, Clone, Copy)]
struct Plan {
    daemons: usize,
    rate: f64,
    /// Seconds of the limit that accumulate.
    burst_seconds: f64,
    /// Demand as a ratio of the limit, before `START` and from then on.
    base_demand: f64,
    peak_demand: f64,
    /// Whether another counter takes over when demand jumps and again at `SECOND_MOVE`. Half of the
    /// daemons notice it `NOTICE_DELAY` later and keep sending to the previous counter until then.
    counter_moves: bool,
    /// Whether all daemons, the counter included, start again at each of `RESTARTS`.
    restarts: bool,
    /// Whether the daemons are cut in halves from `CUT_START` to `CUT_END`.
    cut: bool,
}

/// When all daemons start again, in some runs.
const RESTARTS: [Duration; 4] = [
    Duration::from_millis(12_000),
    Duration::from_millis(15_500),
    Duration::from_millis(19_000),
    Duration::from_millis(22_500),
];

/// When demand jumps, and when the run ends.
const START: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(30);
const SECOND_MOVE: Duration = Duration::from_millis(16_500);
/// When daemons are cut in halves, in some runs, when the second half has another counter, and when
/// each counter has noticed that it reaches only a half.
const CUT_START: Duration = Duration::from_millis(10_700);
const CUT_COUNTER_CHANGE: Duration = Duration::from_millis(10_960);
const CUT_NOTICE: Duration = Duration::from_millis(11_700);
const CUT_END: Duration = Duration::from_millis(22_000);
/// When callers begin, after the daemons have started.
const FIRST_ARRIVAL: Duration = Duration::from_secs(5);
const NOTICE_DELAY: Duration = Duration::from_millis(700);

#[derive(Debug, Default)]
struct Outcome {
    accepted: Vec<(Duration, u32)>,
    /// Requests before demand jumped, and how many of them were refused.
    before_jump: (u32, u32),
    /// Units accepted later than two seconds after the jump.
    late_units: f64,
    messages: u64,
}

impl Outcome {
    /// Returns the maximum of the units accepted in a window, as a ratio of the allowed units.
    fn max_usage(&self, quota: &Quota) -> f64 {
        let allowed = (quota.rate * WINDOW.as_secs_f64() + quota.burst) * (1.0 + TOLERANCE_RATIO)
            + TOLERANCE_UNITS;
        let (mut window, mut sum, mut max_usage) = (VecDeque::new(), 0.0, 0.0_f64);
        for (at, cost) in &self.accepted {
            window.push_back((*at, *cost));
            sum += f64::from(*cost);
            while window.front().is_some_and(|(first, _)| *at > *first + WINDOW) {
                sum -= window.pop_front().map_or(0.0, |(_, cost)| f64::from(cost));
            }
            max_usage = max_usage.max(sum / allowed);
        }
        max_usage
    }
}

struct World {
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    number: u64,
    rng: SmallRng,
}

impl World {
    fn push(&mut self, after: Duration, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((self.now + after, self.number, event)));
    }

    fn delay(&mut self) -> Duration {
        let millis = [2, 33, 33][self.rng.random_range(0..3)] + self.rng.random_range(0..20);
        Duration::from_millis(millis)
    }
}

struct Daemon {
    meter: Meter,
    waiting: usize,
    /// Index of the counter that it last sent to.
    last_counter: Option<u32>,
}

fn quota(plan: &Plan) -> Quota {
    let burst = plan.rate * plan.burst_seconds;
    Quota { rate: plan.rate, burst, unit: Unit::Tokens { default_cost: 200 } }
}

/// Lets a daemon decide on a new request and on those that wait.
fn decide(world: &mut World, all: &mut [Daemon], at: usize, is_new: bool, outcome: &mut Outcome) {
    let now = world.now;
    let mut remaining = all[at].waiting + usize::from(is_new);
    all[at].waiting = 0;
    while remaining > 0 {
        let meter = &mut all[at].meter;
        let step = if is_new && remaining == 1 {
            meter.request(now, COST)
        } else {
            meter.retry(now, COST)
        };
        match step {
            Decision::Accept => outcome.accepted.push((now, COST)),
            Decision::Refuse(_) if now < START => outcome.before_jump.1 += 1,
            Decision::Refuse(_) => {}
            Decision::Wait => all[at].waiting += 1,
            Decision::AskCounter(count) => {
                all[at].waiting += 1;
                let delay = world.delay();
                world.push(
                    delay,
                    Event::ToCounter(at, count.ticket, count.spent, count.minimum, count.requested),
                );
                world.push(quota::RESPONSE_TIMEOUT, Event::Timeout(at));
            }
        }
        remaining -= 1;
    }
}

fn report(world: &mut World, daemon: &mut Daemon, at: usize, quota: &Quota, daemons: usize) {
    if let Some(count) = daemon.meter.due_report(world.now, quota, daemons) {
        let delay = world.delay();
        world.push(
            delay,
            Event::ToCounter(at, count.ticket, count.spent, count.minimum, count.requested),
        );
    }
}

fn simulate(plan: &Plan, seed: u64) -> Outcome {
    let quota = quota(plan);
    let mut world = World {
        now: Duration::ZERO,
        queue: BinaryHeap::new(),
        number: 0,
        rng: SmallRng::seed_from_u64(seed),
    };
    let new = |_| Daemon { meter: Meter::new(Duration::ZERO, 0), waiting: 0, last_counter: None };
    let mut all: Vec<Daemon> = (0..plan.daemons).map(new).collect();
    let mut bucket = Bucket::new(Duration::ZERO, &quota, Role::Counter, Duration::ZERO);
    let mut previous = bucket.clone();
    let mut other_half = Bucket::new(CUT_COUNTER_CHANGE, &quota, Role::Counter, Duration::ZERO);
    let mut relaxed = false;
    let mut restarts: VecDeque<Duration> =
        if plan.restarts { RESTARTS.into() } else { VecDeque::new() };
    let mut changes: VecDeque<Duration> =
        if plan.counter_moves { [START, SECOND_MOVE].into() } else { VecDeque::new() };
    let (mut moved_at, mut counter_index) = (Duration::ZERO, 0);
    let mut outcome = Outcome::default();
    world.push(FIRST_ARRIVAL, Event::Arrival);
    for at in 0..plan.daemons {
        let first = TICK_INTERVAL.mul_f64(world.rng.random());
        world.push(first, Event::Tick(at));
    }
    while let Some(Reverse((at, _, event))) = world.queue.pop() {
        world.now = at;
        if at > END {
            break;
        }
        if changes.front().is_some_and(|change| at > *change) {
            moved_at = changes.pop_front().unwrap_or_default();
            counter_index += 1;
            let next = Bucket::new(at, &quota, Role::Counter, Duration::ZERO);
            previous = std::mem::replace(&mut bucket, next);
        }
        if restarts.front().is_some_and(|restart| at > *restart) {
            restarts.pop_front();
            all = (0..plan.daemons)
                .map(|_| Daemon { meter: Meter::new(at, at.as_nanos() as Ticket), ..new(0) })
                .collect();
            bucket = Bucket::new(at, &quota, Role::Counter, at);
            relaxed = false;
        }
        match event {
            Event::Arrival => {
                let demand = if at < START { plan.base_demand } else { plan.peak_demand };
                let rate = plan.rate * demand / f64::from(COST);
                let sample: f64 = world.rng.random();
                world.push(Duration::from_secs_f64(-(1.0 - sample).ln() / rate), Event::Arrival);
                let to = world.rng.random_range(0..plan.daemons);
                outcome.before_jump.0 += u32::from(at < START);
                decide(&mut world, &mut all, to, true, &mut outcome);
                report(&mut world, &mut all[to], to, &quota, plan.daemons);
            }
            Event::Tick(to) => {
                world.push(TICK_INTERVAL, Event::Tick(to));
                report(&mut world, &mut all[to], to, &quota, plan.daemons);
            }
            Event::ToCounter(from, ticket, spent, minimum, requested) => {
                outcome.messages += 2;
                let sent_to_previous =
                    counter_index > 0 && from % 2 == 1 && at < moved_at + NOTICE_DELAY;
                let is_cut = plan.cut && at >= CUT_START && at < CUT_END;
                if is_cut && from % 2 == 1 && at < CUT_COUNTER_CHANGE {
                    continue;
                }
                let (target, index) = if sent_to_previous {
                    (&mut previous, counter_index - 1)
                } else if is_cut && from % 2 == 1 {
                    (&mut other_half, counter_index + 1)
                } else {
                    (&mut bucket, counter_index)
                };
                let quota = quota.scaled(if is_cut && at >= CUT_NOTICE { 0.5 } else { 1.0 });
                let counter_changed =
                    all[from].last_counter.replace(index).is_some_and(|last| last != index);
                let count = Request { ticket, spent, minimum, requested, counter_changed };
                let response = target.handle(at, &quota, Role::Counter, &count);
                if relaxed && response.strict {
                    for to in 0..plan.daemons {
                        outcome.messages += 1;
                        let delay = world.delay();
                        world
                            .push(delay, Event::FromCounter(to, 0, u32::MAX, true, Duration::ZERO));
                    }
                }
                relaxed = !response.strict;
                let delay = world.delay();
                world.push(
                    delay,
                    Event::FromCounter(
                        from,
                        ticket,
                        response.granted,
                        response.strict,
                        response.retry_after,
                    ),
                );
            }
            Event::FromCounter(to, _, u32::MAX, ..) => all[to].meter.set_strict(at),
            Event::FromCounter(to, ticket, granted, strict, retry_after) => {
                let response = Response { granted, strict, retry_after };
                all[to].meter.on_response(at, ticket, &response, &mut world.rng);
                decide(&mut world, &mut all, to, false, &mut outcome);
            }
            Event::Timeout(to) => {
                if all[to].waiting > 0 {
                    all[to].meter.on_timeout(at);
                    decide(&mut world, &mut all, to, false, &mut outcome);
                }
            }
        }
    }
    let late = outcome.accepted.iter().filter(|(at, _)| *at > START + Duration::from_secs(2));
    outcome.late_units = late.map(|(_, cost)| f64::from(*cost)).sum();
    outcome
}

/// Large and small teams, for the deployed and planned numbers of daemons.
fn plans() -> Vec<Plan> {
    let mut plans = Vec::new();
    for daemons in [6, 59, 195, 420] {
        for rate in [225_000.0, 60_000.0, 9_000.0] {
            plans.push(Plan {
                daemons,
                rate,
                burst_seconds: 1.0,
                base_demand: 0.55,
                peak_demand: 4.2,
                counter_moves: false,
                restarts: false,
                cut: false,
            });
        }
    }
    plans
}

/// A team that sends many times its limit through all daemons at once used to be accepted.
#[test]
fn team_with_excess_demand_stays_within_its_limit() {
    for plan in plans() {
        let outcome = simulate(&plan, 7);
        let max_usage = outcome.max_usage(&quota(&plan));
        assert!(max_usage <= 1.0, "{max_usage:.2} of the allowed units, {plan:?}");
    }
}

/// The counter changes just as demand jumps, and again within the window. Each new counter granted
/// a part of the burst while some daemons still sent to the previous one.
#[test]
fn limit_holds_when_the_counter_changes() {
    for plan in plans() {
        let plan = Plan { counter_moves: true, ..plan };
        let outcome = simulate(&plan, 11);
        let max_usage = outcome.max_usage(&quota(&plan));
        assert!(max_usage <= 1.0, "{max_usage:.2} of the allowed units, {plan:?}");
    }
}

/// Guards against a part of the burst that is granted again at each restart of all daemons.
#[test]
fn limit_holds_when_all_daemons_restart() {
    for plan in plans() {
        let plan = Plan { restarts: true, ..plan };
        for seed in 0..5 {
            let max_usage = simulate(&plan, seed).max_usage(&quota(&plan));
            assert!(max_usage <= 1.0, "{max_usage:.2} of the allowed units, seed {seed}, {plan:?}");
        }
    }
}

/// Guards against two counters that each grant the whole limit, as the daemons are cut in halves.
#[test]
fn limit_holds_when_daemons_are_cut_in_halves() {
    for plan in plans() {
        let plan = Plan { cut: true, ..plan };
        for seed in 0..3 {
            let outcome = simulate(&plan, seed);
            let quota = quota(&plan);
            let max_usage = outcome.max_usage(&quota);
            assert!(max_usage <= 1.0, "{max_usage:.2} of the allowed units, {plan:?}");
            let usable = quota.rate * (END - START - Duration::from_secs(2)).as_secs_f64();
            assert!(outcome.late_units >= usable * 0.5, "{:.0} of {usable}", outcome.late_units);
        }
    }
}

/// Guards against a part of a large burst that is granted again at each restart of all daemons.
#[test]
fn burst_is_not_granted_again_when_all_daemons_restart() {
    for plan in plans() {
        for burst_seconds in [0.1, 2.0, 4.0] {
            let plan = Plan { restarts: true, burst_seconds, ..plan };
            for seed in 0..3 {
                let max_usage = simulate(&plan, seed).max_usage(&quota(&plan));
                assert!(max_usage <= 1.0, "{max_usage:.2} of the allowed units, {plan:?}");
            }
        }
    }
}

/// With even shares, daemons refused requests of a team far below its limit.
#[test]
fn demand_below_the_limit_is_accepted() {
    for plan in plans() {
        let plan = Plan { peak_demand: plan.base_demand, ..plan };
        let (all, refused) = simulate(&plan, 3).before_jump;
        // A small team that sends several requests at once may exhaust its burst.
        let max_ratio = if plan.rate < 10_000.0 { 0.15 } else { 0.0 };
        assert!(f64::from(refused) <= f64::from(all) * max_ratio, "{refused} of {all}, {plan:?}");
    }
}

/// A team with excess demand gets its full limit, although most of its requests are refused.
#[test]
fn full_limit_is_granted() {
    for plan in plans() {
        let outcome = simulate(&plan, 5);
        let seconds = (END - START).as_secs_f64() - 2.0;
        let used = outcome.late_units / (plan.rate * seconds);
        assert!(used >= 0.95, "{used:.2} of the limit, {plan:?}");
    }
}

/// Small machines are the counter for many daemons: one message per request, 160 a second with six
/// daemons, would overload them.
#[test]
fn message_rate_is_bounded() {
    for plan in plans() {
        let outcome = simulate(&plan, 5);
        let rate = outcome.messages as f64 / plan.daemons as f64 / END.as_secs_f64();
        assert!(rate <= 30.0, "{rate:.1} messages per second and daemon, {plan:?}");
    }
}

/// A request that could not be sent gives its units back. Otherwise refusals for lack of capacity
/// would use up the limit.
#[test]
fn unused_units_return_to_the_bucket() {
    let plan = Plan {
        daemons: 1,
        rate: 8_000.0,
        burst_seconds: 1.0,
        base_demand: 0.0,
        peak_demand: 0.0,
        counter_moves: false,
        restarts: false,
        cut: false,
    };
    let (quota, now) = (quota(&plan), Duration::from_secs(1));
    let mut bucket = Bucket::new(now, &quota, Role::Counter, Duration::ZERO);
    let request = Request { minimum: 4_000, requested: 4_000, ..Request::default() };
    assert_eq!(bucket.handle(now, &quota, Role::Counter, &request).granted, 4_000);
    assert_eq!(bucket.handle(now, &quota, Role::Counter, &request).granted, 0);
    let unused = Request { spent: -4_000, ..Request::default() };
    bucket.handle(now, &quota, Role::Counter, &unused);
    assert_eq!(bucket.handle(now, &quota, Role::Counter, &request).granted, 4_000);
}

/// A request larger than the burst never found enough units, even in a full bucket.
#[test]
fn request_above_the_burst_is_eventually_granted() {
    let quota = Quota { rate: 100.0, burst: 100.0, unit: Unit::Tokens { default_cost: 1 } };
    let mut bucket = Bucket::new(Duration::ZERO, &quota, Role::Counter, Duration::ZERO);
    let request = Request { minimum: 300, requested: 300, ..Request::default() };
    let at = |ms| Duration::from_millis(ms);
    assert_eq!(bucket.handle(at(1_000), &quota, Role::Counter, &request).granted, 300);
    let response = bucket.handle(at(1_500), &quota, Role::Counter, &request);
    assert_eq!(response.granted, 0);
    assert!(response.retry_after >= at(1_500), "{response:?}");
    assert_eq!(bucket.handle(at(4_500), &quota, Role::Counter, &request).granted, 300);
}

/// Daemons that reach no counter accept their even shares of the limit.
#[test]
fn daemons_without_a_counter_share_the_limit() {
    let plan = Plan {
        daemons: 10,
        rate: 100_000.0,
        burst_seconds: 1.0,
        base_demand: 0.0,
        peak_demand: 0.0,
        counter_moves: false,
        restarts: false,
        cut: false,
    };
    let quota = quota(&plan);
    let ask = Request { minimum: COST, requested: COST, ..Request::default() };
    let mut accepted = 0;
    for _ in 0..plan.daemons {
        let mut meter = Meter::new(Duration::ZERO, 0);
        for ms in 0..8_000 {
            let now = Duration::from_millis(ms);
            accepted += u32::from(
                meter.charge_local_share(now, &quota, plan.daemons, Duration::ZERO, &ask).0.granted
                    > 0,
            );
        }
    }
    let units = f64::from(accepted * COST);
    assert!(units <= quota.rate * 8.0 + quota.burst, "{units}");
    assert!(units >= quota.rate * 7.0, "{units}");
}

/// When a single datagram was lost, the daemon changed to another counter, which granted a part of
/// the limit once more.
#[test]
fn one_lost_answer_keeps_the_counter() {
    let now = Duration::from_secs(1);
    let mut meter = Meter::new(now, 0);
    let response = Response { granted: 0, strict: true, retry_after: Duration::from_secs(1) };
    let mut rng = SmallRng::seed_from_u64(1);
    for at in 1..20 {
        let now = now * at;
        assert!(matches!(meter.request(now, COST), Decision::AskCounter(_)));
        // A request that arrived a little later waits for the same answer.
        let later = now + quota::RESPONSE_TIMEOUT;
        assert!(!meter.on_timeout(later), "after one timeout");
        let Decision::AskCounter(request) = meter.retry(later, COST) else {
            panic!("no request");
        };
        assert!(
            !meter.on_timeout(later + Duration::from_millis(10)),
            "the next message was just sent"
        );
        assert!(meter.on_response(later, request.ticket, &response, &mut rng));
    }
    let now = now * 20;
    assert!(matches!(meter.request(now, COST), Decision::AskCounter(_)));
    assert!(!meter.on_timeout(now + quota::RESPONSE_TIMEOUT));
    assert!(matches!(meter.retry(now + quota::RESPONSE_TIMEOUT, COST), Decision::AskCounter(_)));
    assert!(meter.on_timeout(now + quota::RESPONSE_TIMEOUT * 2), "after two consecutive timeouts");
}

/// All daemons with the same members select the same counter, and a suspected one is skipped.
#[test]
fn daemons_select_the_same_counter() {
    let node = |at: u8| Node {
        name: format!("n{at}"),
        front: SocketAddr::from(([10, 0, 0, at], 1)),
        peer: SocketAddr::from(([10, 0, 0, at], 2)),
        region: "r".to_string(),
        data_center: "z".to_string(),
        started_at: 1,
        millicores: 500,
        heartbeat: 1,
        ready: at != 3,
    };
    let nodes: Vec<Node> = (0..9).map(node).collect();
    let forward = quota::pick(nodes.iter(), "t", |_| false).expect("a counter");
    let backward = quota::pick(nodes.iter().rev(), "t", |_| false).expect("a counter");
    assert_eq!(forward, backward);
    assert_ne!(forward.name, "n3");
    let next = quota::pick(nodes.iter(), "t", |node| node.name == forward.name);
    assert_ne!(next.expect("a counter").name, forward.name);
}
