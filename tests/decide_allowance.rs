//! Tests of the retry allowance in virtual time: the retries of all daemons together stay within
//! the bound, whatever each of them believes or has forgotten.

use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::prop;
use proptest::prop_oneof;
use proptest::proptest;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use poplarmux::decide::allowance::Allowance;
use poplarmux::decide::allowance::Credit;
use poplarmux::decide::allowance::Retries;

const WINDOW: Duration = Duration::from_secs(10);
/// Length of a run.
const END: Duration = Duration::from_secs(50);
/// Time between two steps of a run.
const STEP: Duration = Duration::from_millis(10);
/// Retries that a daemon attempts at most for one request.
const MAX_RETRIES: usize = 3;
const SERVICE: &str = "s";

/// Something that happens to the daemons.
#[derive(Debug, Clone, Copy)]
enum Disturbance {
    /// All daemons start again at the same moment.
    RestartAll(Duration),
    /// Daemons start again one after the other, this far apart.
    RestartEach(Duration, Duration),
    /// This share of the daemons stands still until the second time; their requests wait.
    Stall(Duration, f64, Duration),
    /// The number of daemons changes by a factor; clients use those that exist.
    Resize(Duration, f64),
}

/// A run.
#[derive(Debug, Clone)]
struct Plan {
    daemons: usize,
    /// Requests per second to all daemons together, and the factor by which they change at some
    /// time.
    rate: f64,
    shift: (Duration, f64),
    /// Times between which the endpoints reject all requests.
    outages: Vec<(Duration, Duration)>,
    /// Longest time that a retry takes to arrive.
    delay: Duration,
    /// Times between which endpoints stand still, and requests that were given up are not read.
    stalls: Vec<(Duration, Duration)>,
    disturbances: Vec<Disturbance>,
    /// Additional retries that the bound allows, in seconds of the requests.
    slack_seconds: f64,
}

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn plan(daemons: usize) -> Plan {
    Plan {
        daemons,
        rate: 54.0 * (daemons as f64 / 8.0).max(1.0),
        shift: (END, 1.0),
        outages: vec![(seconds(15), seconds(40))],
        delay: Duration::from_millis(100),
        stalls: Vec::new(),
        disturbances: Vec::new(),
        slack_seconds: 1.0,
    }
}

impl Plan {
    fn retries(&self) -> Retries {
        Retries { ratio: 0.2, window: WINDOW, slack: self.rate * self.slack_seconds }
    }
}

struct Daemon {
    allowance: Allowance,
    stalled_until: Duration,
    /// Requests that wait in the socket buffers.
    waiting: Vec<Duration>,
    /// Credits of retries whose requests arrive when the endpoints go on.
    held: Vec<Credit>,
}

struct World {
    plan: Plan,
    rng: SmallRng,
    daemons: Vec<Daemon>,
    /// When clients sent requests, and when retries arrived at the endpoints.
    requests: Vec<Duration>,
    retries: Vec<Duration>,
}

impl World {
    fn new(plan: &Plan, seed: u64) -> Self {
        let mut world = World {
            plan: plan.clone(),
            rng: SmallRng::seed_from_u64(seed),
            daemons: Vec::new(),
            requests: Vec::new(),
            retries: Vec::new(),
        };
        world.resize(plan.daemons);
        world
    }

    fn start(&mut self) -> Daemon {
        let allowance = Allowance::new(self.plan.retries(), SmallRng::from_rng(&mut self.rng));
        Daemon { allowance, stalled_until: Duration::ZERO, waiting: Vec::new(), held: Vec::new() }
    }

    fn resize(&mut self, count: usize) {
        self.daemons.truncate(count);
        while self.daemons.len() < count {
            let daemon = self.start();
            self.daemons.push(daemon);
        }
    }

    fn disturb(&mut self, now: Duration, disturbance: Disturbance) {
        let count = self.daemons.len();
        let first = |share: f64| (count as f64 * share).ceil() as usize;
        match disturbance {
            Disturbance::RestartAll(at) if at == now => {
                for index in 0..count {
                    self.daemons[index] = self.start();
                }
            }
            Disturbance::RestartEach(at, gap) if now >= at && !gap.is_zero() => {
                let elapsed = (now - at).as_millis();
                let index = (elapsed / gap.as_millis()) as usize;
                if elapsed.is_multiple_of(gap.as_millis()) && index < count {
                    self.daemons[index] = self.start();
                }
            }
            Disturbance::Stall(at, share, until) if at == now => {
                for daemon in self.daemons.iter_mut().take(first(share)) {
                    daemon.stalled_until = until;
                }
            }
            Disturbance::Resize(at, factor) if at == now => {
                self.resize(first(factor).max(1));
            }
            Disturbance::RestartAll(_)
            | Disturbance::RestartEach(..)
            | Disturbance::Stall(..)
            | Disturbance::Resize(..) => {}
        }
    }

    fn run(&mut self) {
        let mut due = 0.0;
        let mut now = Duration::ZERO;
        while now < END {
            for disturbance in self.plan.disturbances.clone() {
                self.disturb(now, disturbance);
            }
            let (shifted_at, factor) = self.plan.shift;
            let rate = self.plan.rate * if now < shifted_at { 1.0 } else { factor };
            due += rate * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.requests.push(now);
                let index = self.rng.random_range(0..self.daemons.len());
                self.daemons[index].waiting.push(now);
            }
            for index in 0..self.daemons.len() {
                self.serve(now, index);
            }
            now += STEP;
        }
    }

    fn serve(&mut self, now: Duration, index: usize) {
        let daemon = &mut self.daemons[index];
        if now < daemon.stalled_until {
            return;
        }
        let is_stalled =
            self.plan.stalls.iter().any(|(from, until)| (*from..*until).contains(&now));
        if !is_stalled {
            for credit in daemon.held.drain(..) {
                daemon.allowance.release(now, SERVICE, credit);
                self.retries.push(now);
            }
        }
        let fails = self.plan.outages.iter().any(|(from, until)| (*from..*until).contains(&now));
        for _ in std::mem::take(&mut daemon.waiting) {
            daemon.allowance.record_request(now, SERVICE);
            let mut retries = 0;
            while fails && retries < MAX_RETRIES {
                let Some(credit) = daemon.allowance.spend(now, SERVICE) else {
                    break;
                };
                retries += 1;
                if is_stalled {
                    daemon.allowance.hold(SERVICE, credit);
                    daemon.held.push(credit);
                    continue;
                }
                let delay = self.plan.delay.mul_f64(self.rng.random());
                self.retries.push(now + delay);
            }
        }
    }

    /// Returns the retries of the worst window, and what the bound allows there.
    fn worst(&mut self) -> (usize, f64) {
        self.retries.sort();
        let count = |times: &[Duration], from: Duration, until: Duration| {
            times.partition_point(|at| *at < until) - times.partition_point(|at| *at < from)
        };
        let Retries { ratio, window, slack } = self.plan.retries();
        let mut worst = (0, slack);
        for start in &self.retries {
            let requests = [Duration::ZERO, window / 2, window].map(|shift| {
                let from = start.saturating_sub(shift);
                count(&self.requests, from, (*start + window).saturating_sub(shift))
            });
            let most = requests.into_iter().max().unwrap_or(0);
            let allowed = most as f64 * ratio + slack;
            let retries = count(&self.retries, *start, *start + window);
            if retries as f64 / allowed > worst.0 as f64 / worst.1 {
                worst = (retries, allowed);
            }
        }
        worst
    }
}

fn check(plan: &Plan, seed: u64) {
    let mut world = World::new(plan, seed);
    world.run();
    let (retries, allowed) = world.worst();
    assert!(
        retries as f64 <= allowed,
        "{retries} retries in a window, {allowed:.0} allowed, seed {seed}, {plan:?}"
    );
}

fn check_all(disturbances: &[Disturbance]) {
    for daemons in [1, 2, 8, 59, 420] {
        for seed in 0..4 {
            check(&Plan { disturbances: disturbances.to_vec(), ..plan(daemons) }, seed);
        }
    }
}

/// Guards against retries beyond the bound while all endpoints reject requests.
#[test]
fn retries_without_disturbance_stay_within_the_bound() {
    check_all(&[]);
}

/// Guards against daemons that have forgotten what they spent before they started again.
#[test]
fn retries_of_restarted_daemons_stay_within_the_bound() {
    check_all(&[Disturbance::RestartAll(seconds(20))]);
    check_all(&[Disturbance::RestartEach(seconds(16), Duration::from_millis(500))]);
    check_all(&[18, 22, 26, 30].map(|at| Disturbance::RestartAll(seconds(at))));
}

/// Guards against repeats of a long time that arrive at once, as endpoints go on that have stood
/// still.
#[test]
fn retries_that_stalled_endpoints_read_at_once_stay_within_the_bound() {
    let millis = Duration::from_millis;
    let series = vec![(millis(16_000), millis(19_000)), (millis(21_500), millis(38_000))];
    for stalls in [vec![(seconds(16), seconds(24))], vec![(seconds(16), seconds(38))], series] {
        for daemons in [1, 8, 59, 420] {
            for seed in 0..4 {
                let slack_seconds = 0.3;
                check(&Plan { stalls: stalls.clone(), slack_seconds, ..plan(daemons) }, seed);
            }
        }
    }
}

/// Guards against a part of the bound for each daemon, however many there are.
#[test]
fn retries_of_added_and_removed_daemons_stay_within_the_bound() {
    check_all(&[Disturbance::Resize(seconds(18), 4.0)]);
    check_all(&[Disturbance::Resize(seconds(18), 0.3), Disturbance::Resize(seconds(24), 3.0)]);
}

/// Guards against two bursts of retries that are counted in different windows.
#[test]
fn retries_at_both_ends_of_a_window_stay_within_the_bound() {
    let millis = Duration::from_millis;
    for daemons in [1, 8, 59] {
        for gap in [8_800, 9_100, 9_500, 9_900] {
            let outage = |from: u64| (millis(from), millis(from + 600));
            let outages = vec![outage(20_400), outage(20_400 + gap)];
            check(&Plan { outages, ..plan(daemons) }, 1);
        }
    }
}

/// Guards against requests that were sent long before they are counted, and retries that arrive
/// long after.
#[test]
fn retries_of_late_daemons_stay_within_the_bound() {
    check_all(&[Disturbance::Stall(seconds(16), 1.0, seconds(20))]);
    check_all(&[Disturbance::Stall(seconds(16), 0.5, seconds(21))]);
    for daemons in [1, 8, 59] {
        check(&Plan { delay: seconds(3), ..plan(daemons) }, 1);
    }
}

/// Guards against a bound that is kept by hardly any retry.
#[test]
fn part_of_the_bound_can_be_used() {
    for daemons in [1, 8, 59, 420] {
        let mut world = World::new(&plan(daemons), 1);
        world.run();
        let (retries, allowed) = world.worst();
        assert!(retries as f64 >= allowed * 0.4, "{retries} of {allowed}, {daemons} daemons");
    }
}

/// Returns a strategy of times during the outage, in steps.
fn times() -> impl Strategy<Value = Duration> {
    (1_000_u32..4_500).prop_map(|steps| STEP * steps)
}

fn disturbances() -> impl Strategy<Value = Disturbance> {
    let share = || 0.05_f64..1.0;
    prop_oneof![
        times().prop_map(Disturbance::RestartAll),
        (times(), 1_u32..200).prop_map(|(at, gap)| Disturbance::RestartEach(at, STEP * gap)),
        (times(), share(), 1_u64..6).prop_map(|(at, share, span)| Disturbance::Stall(
            at,
            share,
            at + seconds(span)
        )),
        (times(), 0.2_f64..4.0).prop_map(|(at, factor)| Disturbance::Resize(at, factor)),
    ]
}

fn plans() -> impl Strategy<Value = Plan> {
    let daemons = prop_oneof![1_usize..10, 10_usize..100];
    let outages = prop::collection::vec((times(), 1_u32..2_500), 1..4);
    let changes = prop::collection::vec(disturbances(), 0..5);
    (daemons, outages, changes, 0_u64..3_000, (times(), 0.1_f64..5.0)).prop_map(
        |(daemons, outages, disturbances, delay, shift)| Plan {
            outages: outages.into_iter().map(|(at, span)| (at, at + STEP * span)).collect(),
            disturbances,
            delay: Duration::from_millis(delay),
            shift,
            ..plan(daemons)
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    /// Guards against any mix of disturbances, of outages and of demand that exceeds the bound.
    #[test]
    fn retries_in_any_run_stay_within_the_bound(plan in plans(), seed in 0_u64..1_000) {
        check(&plan, seed);
    }
}
