//! Tests of the load on endpoints that have just started, in virtual time.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use poplarmux::decide::endpoint::Requirements;
use poplarmux::decide::fleet::Choice;
use poplarmux::decide::fleet::Fleet;
use poplarmux::decide::speed::Estimate;
use poplarmux::edge::dialect::Load;
use poplarmux::table::instance::Copies;
use poplarmux::table::instance::Instance;
use poplarmux::table::instance::Key;
use poplarmux::table::instance::State;

const SLOTS: u32 = 12;
const ENDPOINTS: usize = 10;
/// Times to the first byte and to the last with a free slot, in ms.
const FIRST_BYTE: u64 = 100;
const SERVICE: u64 = 600;
/// Factor of both at an endpoint that is slow.
const SLOWNESS: u64 = 6;
/// First byte after which an answer is late, in ms.
const TARGET: u64 = 500;
/// When endpoints are replaced, and the end, in ms.
const REPLACED_AT: u64 = 5_000;
const END: u64 = 40_000;
/// Difference between two plays of a case: endpoints of equal cost are found in any order.
const NOISE: usize = 6;

/// What happens to the endpoints that are replaced.
#[derive(Debug, Clone, Copy, Default)]
struct Case {
    replaced: usize,
    slow_for: u64,
    /// Number of requests that fail at first.
    failing: u64,
    /// Whether they restart every second.
    restarts: bool,
    /// Number of daemons without a broker; 0 for a broker.
    daemons: usize,
}

/// What callers saw from the replacement on.
#[derive(Debug, Default)]
struct Figures {
    /// Requests late or failed at a replaced endpoint in the first five seconds.
    early: usize,
    /// All requests late, failed or refused, and those refused.
    bad: usize,
    refused: usize,
    /// Time until a replaced endpoint has 0.8 of the load of the others, in ms.
    share_after: u64,
}

#[derive(Clone)]
struct Running {
    at: Key,
    index: usize,
    daemon: usize,
    sent_at: u64,
    first_at: u64,
    end_at: u64,
    fails: bool,
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn instance(index: usize, born: u64) -> Instance {
    Instance {
        key: Key { id: index.to_string(), born },
        service: "s".to_string(),
        software: "v1".to_string(),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_center: "z".to_string(),
        slots: SLOTS,
        state: State::Live,
        warmup: Duration::ZERO,
        remaining: None,
        resident: Vec::new(),
        copies: Copies::default(),
        heartbeat: 1,
    }
}

const REQUIREMENTS: Requirements<'static> = Requirements {
    service: "s",
    model: None,
    adapter: None,
    adapter_slots: 0,
    prompt_tokens: 0,
    output_tokens: 0,
    parts: &[],
    max_pause: None,
    tried: &[],
    excluded: None,
    required_region: None,
    software: None,
};

/// Returns a daemon's fleet of old endpoints. Without their complete list it bounds no new ones.
fn fleet(count: usize, is_listed: bool) -> Fleet {
    let mut fleet = Fleet::new("r".into(), "z".into(), [("z".into(), "r".into())].into());
    (0..count).for_each(|index| assert!(fleet.put(ms(0), instance(index, 1))));
    if is_listed {
        fleet.retain(ms(0), &(0..count).map(|index| index.to_string()).collect::<Vec<_>>(), None);
    }
    fleet.sharing.has_brokers = true;
    fleet
}

fn play(case: Case, has_pace: bool) -> Figures {
    let mut rng = SmallRng::seed_from_u64(5);
    let has_broker = case.daemons == 0;
    let mut fleets: Vec<Fleet> =
        (0..case.daemons.max(1)).map(|_| fleet(ENDPOINTS, has_pace)).collect();
    for fleet in &mut fleets {
        (fleet.sharing.daemons, fleet.sharing.has_brokers) = (case.daemons, has_broker);
        fleet.seat = rng.random();
    }
    let (mut born, mut failed) = ([1; ENDPOINTS], [0; ENDPOINTS]);
    let (mut running, mut figures): (Vec<Running>, _) = (Vec::new(), Figures::default());
    let mut loads = [0.0; ENDPOINTS];
    for now in 0..END {
        let is_after = now >= REPLACED_AT;
        if now == REPLACED_AT || (case.restarts && is_after && now % 1_000 == 0) {
            for index in 0..case.replaced {
                (born[index], failed[index]) = (now, 0);
                fleets
                    .iter_mut()
                    .for_each(|fleet| assert!(fleet.put(ms(now), instance(index, now))));
            }
        }
        for row in &running {
            let (fleet, took) = (&mut fleets[row.daemon], now - row.sent_at);
            let is_lost = row.at.born != born[row.index];
            let is_failed = is_lost || (row.fails && now == row.first_at);
            if is_failed {
                fleet.record_failure(ms(now), &row.at);
            } else if now == row.first_at {
                let same = running.iter().filter(|other| other.index == row.index);
                let load = Load { running: same.count() as u32, ..Load::default() };
                if !has_broker {
                    fleet.on_load_report(ms(now), &row.at, load);
                }
                fleet.record_first_byte(ms(now), &row.at, ms(took), None, &Estimate::default());
            }
            if is_failed || now == row.end_at {
                fleet.end_request(&row.at);
            }
            let is_bad = is_failed || (now == row.first_at && took > TARGET);
            let is_early = row.index < case.replaced && row.sent_at < REPLACED_AT + 5_000;
            figures.bad += usize::from(is_after && is_bad);
            figures.early += usize::from(is_bad && is_early && row.sent_at >= REPLACED_AT);
        }
        running.retain(|row| {
            row.at.born == born[row.index]
                && now < row.end_at
                && !(row.fails && now == row.first_at)
        });
        if now % 50 == 0 {
            fleets.iter_mut().for_each(|fleet| assert!(!fleet.tick(ms(now))));
        }
        // The callers use 0.6 of the slots.
        let demand = 0.6 * f64::from(SLOTS) * ENDPOINTS as f64 / SERVICE as f64;
        if rng.random_bool(demand) {
            let daemon = rng.random_range(0..fleets.len());
            let choice = fleets[daemon].choose(ms(now), &REQUIREMENTS, has_broker, &mut rng);
            let Choice::Send(at) = choice else {
                figures.refused += usize::from(is_after);
                figures.bad += usize::from(is_after);
                continue;
            };
            fleets[daemon].start_request(ms(now), &at, &[], ms(0));
            let index: usize = at.id.parse().expect("a number");
            let is_slow = born[index] > 1 && now < born[index] + case.slow_for;
            let factor = if is_slow { SLOWNESS } else { 1 };
            let fails = born[index] > 1 && failed[index] < case.failing;
            failed[index] += u64::from(fails);
            // A request beyond the slots waits until one is free.
            let same = running.iter().filter(|row| row.index == index);
            let mut ends: Vec<u64> = same.map(|row| row.end_at).collect();
            ends.sort_unstable_by(|left, right| right.cmp(left));
            let begins = ends.get(SLOTS as usize - 1).map_or(now, |at| (*at).max(now));
            let first_at = begins + if fails { 5 } else { FIRST_BYTE * factor };
            let (sent_at, end_at) = (now, begins + SERVICE * factor);
            running.push(Running { at, index, daemon, sent_at, first_at, end_at, fails });
        }
        for (index, load) in loads.iter_mut().enumerate() {
            let current = running.iter().filter(|row| row.index == index).count();
            *load += (current as f64 - *load) / 500.0;
        }
        let others = &loads[case.replaced..];
        let share = loads[0] * others.len() as f64 / others.iter().sum::<f64>();
        let is_fast = now > born[0] + case.slow_for.max(500);
        if is_after && is_fast && share >= 0.8 && figures.share_after == 0 {
            figures.share_after = now - REPLACED_AT;
        }
    }
    figures
}

fn compare(case: Case) -> (Figures, Figures) {
    let (before, after) = (play(case, false), play(case, true));
    println!("{case:?}\n  before {before:?}\n  after  {after:?}");
    (before, after)
}

/// Guards against an endpoint that gets a full load while it is slow, or little for long after that,
/// or if it is fast at once.
#[test]
fn load_follows_the_speed_of_a_new_endpoint() {
    for secs in [0, 1, 5, 20] {
        let case = Case { replaced: 1, slow_for: secs * 1_000, ..Case::default() };
        let (before, after) = compare(case);
        assert!(after.early * 2 <= before.early && after.bad <= before.bad + NOISE, "{secs}");
        assert!(after.share_after < before.share_after + if secs == 0 { 500 } else { 5_000 });
    }
}

/// Guards against an endpoint that fails at first, or restarts all the time, looks idle, and takes
/// everything.
#[test]
fn failing_endpoint_gets_few_requests() {
    let (before, after) = compare(Case { replaced: 1, failing: 10, ..Case::default() });
    assert!(after.bad <= before.bad + NOISE && after.share_after < before.share_after + 5_000);
    let (before, after) =
        compare(Case { replaced: 1, restarts: true, slow_for: END, ..Case::default() });
    assert!(after.bad * 2 < before.bad);
}

/// Guards against a bound that costs answers where the other endpoints can't take the load.
#[test]
fn half_of_a_fleet_may_be_replaced() {
    for slow_for in [0, 5_000] {
        let (before, after) = compare(Case { replaced: 5, slow_for, ..Case::default() });
        assert!(after.bad <= before.bad + NOISE && after.refused <= before.refused);
    }
}

/// Guards against daemons without a broker that each send an endpoint as much as it may have.
#[test]
fn daemons_without_a_broker_share_the_bound() {
    for slow_for in [0, 5_000] {
        let (before, after) =
            compare(Case { replaced: 1, slow_for, daemons: 32, ..Case::default() });
        assert!(after.early * 2 < before.early);
        assert!(after.share_after < before.share_after + 5_000);
    }
}

fn bounds(fleet: &Fleet) -> [Option<u32>; 3] {
    let row = |index: usize| fleet.rows().find(|row| row.instance.key.id == index.to_string());
    [0, 1, 2].map(|index| row(index).and_then(|row| row.pace_bound()))
}

/// Guards against bounds on a fleet that starts at once or that was known when the daemon started,
/// against one on an endpoint for which its broker or its daemon has no evidence but load and age,
/// and against a full load on one that is used again after failures.
#[test]
fn bound_begins_and_ends() {
    let mut fleet = fleet(2, true);
    assert!(fleet.put(ms(9_000), Instance { warmup: ms(700), ..instance(2, 1) }));
    assert_eq!(bounds(&fleet), [None, None, Some(1)]);
    assert!(fleet.put(ms(9_000), instance(2, 2)));
    assert_eq!(bounds(&fleet), [None, None, Some(2)]);
    let answer = |fleet: &mut Fleet, now: u64, running: u32| {
        let at = instance(2, 2).key;
        fleet.on_load_report(ms(now), &at, Load { running, ..Load::default() });
        fleet.record_first_byte(ms(now), &at, ms(50), None, &Estimate::default());
    };
    answer(&mut fleet, 9_100, 7);
    assert_eq!(bounds(&fleet)[2], Some(14));
    answer(&mut fleet, 12_900, 1);
    assert_eq!(bounds(&fleet), [None; 3]);
    fleet.record_unreachable(ms(13_000), &instance(0, 1).key);
    (0..4).for_each(|_| fleet.record_failure(ms(13_000), &instance(1, 1).key));
    assert_eq!(bounds(&fleet), [Some(2), Some(2), None]);
    assert_eq!(fleet.take_pace_changes().len(), 2);
    assert!(!fleet.tick(ms(50_000)));
    assert_eq!((bounds(&fleet), fleet.take_pace_changes().len()), ([None; 3], 2));
    let mut fleet = self::fleet(0, true);
    (0..3).for_each(|index| assert!(fleet.put(ms(index as u64 * 400), instance(index, 1))));
    assert_eq!(bounds(&fleet), [None; 3]);
}

/// Guards against a request that waits, or that goes to an endpoint without a free slot, as a new one
/// has reached its bound.
#[test]
fn endpoint_beyond_its_bound_is_used_if_no_other_has_a_free_slot() {
    let (now, mut rng, mut fleet) = (ms(9_100), SmallRng::seed_from_u64(1), fleet(2, true));
    assert!(fleet.put(ms(9_000), instance(2, 1)));
    let mut sent = [0; 3];
    for count in 0..3 * SLOTS {
        let Choice::Send(at) = fleet.choose(now, &REQUIREMENTS, true, &mut rng) else {
            panic!("no endpoint has room");
        };
        fleet.start_request(now, &at, &[], ms(0));
        sent[at.id.parse::<usize>().expect("a number")] += 1;
        assert!(sent[2] <= 2 || count > 2 * SLOTS, "{sent:?}");
    }
    assert_eq!(sent, [SLOTS; 3]);
}
