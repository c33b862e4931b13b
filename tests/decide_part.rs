//! Parts of prompts that crash endpoints, among requests that share others.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use poplarmux::decide::part::Changes;
use poplarmux::decide::part::MIN_CRASHES;
use poplarmux::decide::part::Survival;
use poplarmux::decide::part::Table;
use poplarmux::table::PartId;
use poplarmux::table::instance::Key;

/// The part that all requests have in common.
const FIRST: PartId = 1;
/// The part that crashes endpoints.
const CULPRIT: PartId = 2;
/// A part that some sound requests have.
const OTHER: PartId = 3;
/// Route of all requests.
const ROUTE: &str = "r";
/// Interval between two decisions of a daemon.
const ROUND: Duration = Duration::from_millis(250);
/// Longest time until a daemon has seen a crash, in milliseconds.
const MAX_DELAY_MS: u64 = 150;
/// Time after the start of an answer from which its request did not crash the endpoint.
const STARTING_PERIOD: Duration = Duration::from_millis(500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn key(number: u64) -> Key {
    Key { id: format!("i-{number}"), born: 1 }
}

/// A table of a daemon that has seen sound requests of one route.
fn table() -> Table {
    let mut table = Table::default();
    (0..50).for_each(|number| table.record_arrival(ROUTE, &[FIRST, 100 + number]));
    table
}

/// Lets endpoints crash under these parts, one each second from `start` on.
fn crash(table: &mut Table, start: Duration, count: u64, parts: &[PartId]) -> Vec<Changes> {
    let crash_one = |number| {
        let at = start + ms(1_000 * number);
        let endpoint = key(start.as_millis() as u64 + number);
        let runs = (0..3).map(|run| number as u32 * 3 + run);
        table.add_crash(at, &endpoint, at, runs, parts.iter().copied());
        table.record_cut(at, 3);
        table.decide(at + ms(300))
    };
    (0..count).map(crash_one).collect()
}

fn survive(table: &mut Table, from: Duration, count: u64, parts: &[PartId]) {
    for number in 0..count {
        let at = from + ms(number);
        table.record_survival(at, parts, at.as_micros() as u32);
    }
}

/// Guards against a culprit that is known later than after `MIN_CRASHES` crashes.
#[test]
fn part_without_survivals_is_refused_after_its_crashes() {
    let mut table = table();
    survive(&mut table, ms(0), 200, &[FIRST]);
    let changes = crash(&mut table, ms(5_000), 4, &[FIRST, CULPRIT]);
    assert_eq!(MIN_CRASHES, 4);
    assert!(changes[..3].iter().all(|row| row.refused.is_empty()));
    let refused: Vec<PartId> = changes[3].refused.iter().map(|row| row.0).collect();
    assert_eq!(refused, [CULPRIT]);
    assert_eq!(changes[3].explained.len(), 4);
    let now = ms(9_000);
    assert!(table.remaining(now, &[7, CULPRIT]).is_some_and(|left| left > ms(500_000)));
    assert_eq!(table.remaining(now, &[FIRST, 7]), None);
}

/// Guards against refusing parts of sound requests that ran beside the culprit at each crash.
#[test]
fn parts_beside_the_culprit_are_not_refused() {
    let mut table = table();
    survive(&mut table, ms(0), 200, &[FIRST]);
    survive(&mut table, ms(4_000), 1, &[OTHER]);
    crash(&mut table, ms(5_000), 8, &[FIRST, CULPRIT, OTHER]);
    let refused: Vec<PartId> = table.refused(ms(14_000)).map(|row| row.0).collect();
    assert_eq!(refused, [CULPRIT]);
}

/// Guards against refusing the part of others that a caller names in requests that crash endpoints.
#[test]
fn part_that_others_complete_is_not_refused_for_a_caller_that_names_it() {
    let mut table = table();
    survive(&mut table, ms(0), 200, &[FIRST]);
    for number in 0..8 {
        survive(&mut table, ms(4_500 + 1_000 * number), 1, &[OTHER]);
        crash(&mut table, ms(5_000 + 1_000 * number), 1, &[CULPRIT, OTHER]);
    }
    let refused: Vec<PartId> = table.refused(ms(14_000)).map(|row| row.0).collect();
    assert_eq!(refused, [CULPRIT]);
}

/// Guards against a second culprit that is taken for a bystander of the first.
#[test]
fn two_culprits_are_both_refused() {
    let mut table = table();
    survive(&mut table, ms(0), 200, &[FIRST]);
    for number in 0..5 {
        crash(&mut table, ms(5_000 + 800 * number), 1, &[FIRST, CULPRIT]);
        crash(&mut table, ms(5_400 + 800 * number), 1, &[FIRST, OTHER]);
    }
    let refused: BTreeSet<PartId> = table.refused(ms(10_000)).map(|row| row.0).collect();
    assert_eq!(refused, [CULPRIT, OTHER].into());
}

/// Guards against a culprit that stays unknown as one of its runs went on by chance.
#[test]
fn one_survival_does_not_clear_a_culprit() {
    let mut table = table();
    survive(&mut table, ms(0), 200, &[FIRST]);
    survive(&mut table, ms(4_000), 1, &[CULPRIT]);
    crash(&mut table, ms(5_000), 5, &[FIRST, CULPRIT]);
    assert!(table.remaining(ms(10_000), &[CULPRIT]).is_some());
}

/// Guards against a part that was sound for long, and is never refused for that.
#[test]
fn part_that_was_sound_before_is_refused_once_its_survivals_are_old() {
    let mut table = table();
    survive(&mut table, ms(0), 200, &[FIRST, CULPRIT]);
    crash(&mut table, ms(1_000), 16, &[FIRST, CULPRIT]);
    survive(&mut table, ms(16_500), 200, &[FIRST]);
    crash(&mut table, ms(17_000), 4, &[FIRST, CULPRIT]);
    assert!(table.remaining(ms(22_000), &[CULPRIT]).is_some());
    assert_eq!(table.remaining(ms(22_000), &[FIRST]), None);
}

/// Guards against refusing what all requests have in common while all endpoints crash over and over
/// for another reason.
#[test]
fn part_of_all_requests_is_never_refused() {
    let mut table = table();
    let rare = [FIRST, OTHER];
    for number in 0..40 {
        let parts = if number % 3 == 0 { &rare[..] } else { &rare[..1] };
        table.record_arrival(ROUTE, parts);
        crash(&mut table, ms(20_000 + 1_000 * number), 1, parts);
    }
    assert_eq!(table.refused(ms(61_000)).count(), 0);
}

/// Guards against counting a rack or a service that loses power as many crashes.
#[test]
fn crashes_at_the_same_moment_count_once() {
    let mut table = table();
    for number in 0..60 {
        let at = ms(1_000 + number * 3);
        table.add_crash(at, &key(number), at, [number as u32], [FIRST, OTHER]);
    }
    table.decide(ms(1_700));
    assert_eq!(table.refused(ms(1_700)).count(), 0);
}

/// Guards against a daemon that has just started and refuses what all requests have in common.
#[test]
fn daemon_without_requests_leaves_the_decision_to_others() {
    let mut table = Table::default();
    crash(&mut table, ms(1_000), 10, &[FIRST]);
    assert_eq!(table.refused(ms(12_000)).count(), 0);
    assert!(table.add_refusal(ms(12_000), CULPRIT, ms(600_000)));
    assert!(table.remaining(ms(12_000), &[CULPRIT]).is_some());
}

/// Guards against a wrong refusal of another daemon that spreads.
#[test]
fn refusal_by_another_daemon_is_void_if_runs_survive() {
    let mut table = table();
    survive(&mut table, ms(1_000), 10, &[OTHER]);
    assert!(!table.add_refusal(ms(2_000), OTHER, ms(600_000)));
    assert_eq!(table.remaining(ms(2_000), &[OTHER]), None);
    let cleared: Vec<PartId> = table.cleared_since(ms(1_500)).map(|row| row.0).collect();
    assert_eq!(cleared, [OTHER]);
    let mut peer = self::table();
    survive(&mut peer, ms(0), 200, &[FIRST]);
    crash(&mut peer, ms(0), 4, &[OTHER]);
    assert!(peer.remaining(ms(3_500), &[OTHER]).is_some());
    peer.clear(ms(4_000), OTHER, ms(4_000));
    assert_eq!(peer.remaining(ms(4_000), &[OTHER]), None);
}

/// Guards against a wrong refusal that stays although runs that had begun before go on.
#[test]
fn refusal_is_withdrawn_as_survivals_become_known() {
    let mut table = table();
    survive(&mut table, ms(500), 200, &[FIRST]);
    crash(&mut table, ms(1_000), 4, &[FIRST, OTHER]);
    assert!(table.remaining(ms(5_000), &[OTHER]).is_some());
    for run in 0..8 {
        let survival = Survival { run, at: ms(4_900), learned_at: ms(5_000) };
        table.add_survival(OTHER, survival);
    }
    assert_eq!(table.decide(ms(5_100)).released, [OTHER]);
    assert_eq!(table.remaining(ms(5_100), &[OTHER]), None);
}

/// Guards against a refusal that is dropped as another crash becomes known before the run with the
/// part that was at its endpoint.
#[test]
fn crash_that_is_not_explained_yet_does_not_end_a_refusal() {
    let mut table = table();
    survive(&mut table, ms(0), 200, &[FIRST]);
    crash(&mut table, ms(5_000), 4, &[FIRST, CULPRIT]);
    for number in 0..4 {
        let changes = crash(&mut table, ms(8_500 + 250 * number), 1, &[FIRST]);
        assert!(changes[0].released.is_empty());
    }
    assert!(table.remaining(ms(10_000), &[CULPRIT]).is_some());
}

/// Guards against a clearance that voids later refusals, as it seems newer each time that a daemon
/// passes it on.
#[test]
fn clearance_that_is_passed_on_does_not_become_newer() {
    let mut tables: Vec<Table> = (0..2).map(|_| table()).collect();
    tables[0].clear(ms(1_000), CULPRIT, ms(1_000));
    for hop in 1..200 {
        let sent_at = ms(1_000 + 50 * hop);
        let since = sent_at.saturating_sub(ms(1_500));
        let sender = &tables[(hop as usize + 1) % 2];
        let Some((part, at)) = sender.cleared_since(since).next() else {
            break;
        };
        // What is told is the time that has passed since.
        let received_at = sent_at + ms(40);
        tables[hop as usize % 2].clear(received_at, part, received_at - (sent_at - at));
    }
    // A refusal that began at the fifth second.
    assert!(tables[0].add_refusal(ms(12_000), CULPRIT, ms(593_000)));
}

/// Guards against memory that grows with the number of parts and of crashes.
#[test]
fn table_is_bounded() {
    let mut table = table();
    for number in 0..100_000 {
        survive(&mut table, ms(number), 1, &[1_000 + number]);
    }
    for number in 0..1_000 {
        let at = ms(100_000 + number);
        let parts = (0..5_000).map(|part| part + number);
        table.add_crash(at, &key(number), at, 0..5_000, parts);
    }
    let (suspects, _) = table.counts(ms(101_000));
    assert!(suspects <= 256 * 512, "{suspects}");
    assert!(table.crashes_since(Duration::ZERO).count() <= 256);
    table.tick(ms(400_000));
    assert_eq!(table.counts(ms(400_000)).0, 0);
}

/// A run at an endpoint.
struct Run {
    parts: Vec<PartId>,
    answered_at: Duration,
    ends_at: Duration,
}

/// Endpoints that run requests and crash, seen by one daemon.
struct Fleet {
    table: Table,
    rng: SmallRng,
    /// Runs at each endpoint; none while it is down.
    endpoints: Vec<Option<Vec<Run>>>,
    back_at: Vec<Duration>,
    incarnations: u64,
    refused: HashMap<PartId, Duration>,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        Fleet {
            table: Table::default(),
            rng: SmallRng::seed_from_u64(seed),
            endpoints: (0..size).map(|_| Some(Vec::new())).collect(),
            back_at: vec![Duration::ZERO; size],
            incarnations: 0,
            refused: HashMap::new(),
        }
    }

    fn crash(&mut self, now: Duration, index: usize) {
        let Some(runs) = self.endpoints[index].take() else {
            return;
        };
        self.back_at[index] = now + ms(3_000);
        self.incarnations += 1;
        let starting = runs.iter().filter(|run| now < run.answered_at + STARTING_PERIOD);
        let starting: Vec<&Run> = starting.collect();
        self.table.record_cut(now, starting.len() as u32);
        let parts: Vec<PartId> = starting.iter().flat_map(|run| run.parts.clone()).collect();
        let runs: Vec<u32> = starting.iter().map(|_| self.rng.random()).collect();
        // The first daemon that sees it is late, too.
        let at = now + ms(self.rng.random_range(0..MAX_DELAY_MS));
        self.table.add_crash(now, &key(self.incarnations), at, runs, parts);
    }

    /// Starts a request at a random endpoint that is up.
    fn start(&mut self, now: Duration, parts: Vec<PartId>) {
        self.table.record_arrival(ROUTE, &parts);
        let up: Vec<usize> =
            (0..self.endpoints.len()).filter(|index| self.endpoints[*index].is_some()).collect();
        if up.is_empty() || self.table.remaining(now, &parts).is_some() {
            return;
        }
        let index = up[self.rng.random_range(0..up.len())];
        let answered_at = now + ms(self.rng.random_range(50..400));
        let ends_at = answered_at + ms(self.rng.random_range(300..3_000));
        self.endpoints[index].as_mut().expect("up").push(Run { parts, answered_at, ends_at });
    }

    fn step(&mut self, now: Duration) {
        for index in 0..self.endpoints.len() {
            match &mut self.endpoints[index] {
                None if now >= self.back_at[index] => self.endpoints[index] = Some(Vec::new()),
                None => {}
                Some(runs) => {
                    let ended = runs.extract_if(.., |run| {
                        now >= run.ends_at.min(run.answered_at + STARTING_PERIOD)
                    });
                    for run in ended.collect::<Vec<_>>() {
                        self.table.record_survival(now, &run.parts, self.rng.random());
                    }
                }
            }
        }
        if now.as_millis().is_multiple_of(ROUND.as_millis()) {
            for (part, _) in self.table.decide(now).refused {
                self.refused.entry(part).or_insert(now);
            }
            self.table.tick(now);
        }
    }
}

/// Guards against refusing sound parts, popular ones and rare ones, new ones and known ones, as
/// racks, whole services and single endpoints crash in any order without a culprit.
#[test]
fn no_part_is_refused_for_crashes_without_a_culprit() {
    let seeds = std::env::var("POPLARMUX_PART_SEEDS").ok();
    let seeds: u64 = seeds.map_or(20, |text| text.parse().expect("a number"));
    for seed in 0..seeds {
        let mut fleet = Fleet::new(9, seed);
        let gap = fleet.rng.random_range(300..2_000);
        let all_gap = fleet.rng.random_range(2_000..9_000);
        for step in 0..6_000_u64 {
            let now = ms(10 * step);
            if step % 2 == 0 {
                // The first half is rarely asked for; its parts come and go.
                let middle = match fleet.rng.random_range(0..4) {
                    0 => 1_000 + fleet.rng.random_range(0..4),
                    1 => 2_000 + fleet.rng.random_range(0..200),
                    _ => 10_000 + step / 100 * 10 + fleet.rng.random_range(0..10),
                };
                fleet.start(now, vec![FIRST, middle]);
            }
            let since = (10 * step).saturating_sub(10_000);
            if step > 1_000 && since % (gap / 10 * 10) == 0 {
                let index = fleet.rng.random_range(0..9);
                fleet.crash(now, index);
            }
            if step > 1_000 && since % (all_gap / 10 * 10) == 0 {
                (0..9).for_each(|index| fleet.crash(now, index));
            }
            fleet.step(now);
        }
        assert!(fleet.refused.is_empty(), "seed {seed}: {:?}", fleet.refused);
    }
}

/// Guards against a culprit that is not found among other parts, and against sound parts that are
/// refused with it.
#[test]
fn only_the_culprit_is_refused_among_many_parts() {
    let seeds = std::env::var("POPLARMUX_PART_SEEDS").ok();
    let seeds: u64 = seeds.map_or(20, |text| text.parse().expect("a number"));
    for seed in 0..seeds {
        let mut fleet = Fleet::new(9, seed);
        let period = fleet.rng.random_range(5..100);
        let mut crashes: Vec<Duration> = Vec::new();
        let mut due: Vec<(Duration, usize)> = Vec::new();
        for step in 0..4_000_u64 {
            let now = ms(10 * step);
            if step % 2 == 0 {
                let middle = match fleet.rng.random_range(0..3) {
                    0 => 1_000 + fleet.rng.random_range(0..4),
                    1 => 2_000 + fleet.rng.random_range(0..200),
                    _ => 10_000 + step,
                };
                fleet.start(now, vec![FIRST, middle]);
            }
            let sends = step > 1_000 && step % period == 0;
            if sends && fleet.table.remaining(now, &[CULPRIT]).is_none() {
                let up: Vec<usize> =
                    (0..9).filter(|index| fleet.endpoints[*index].is_some()).collect();
                if let Some(index) = up.get(fleet.rng.random_range(0..9) % up.len().max(1)) {
                    let run = Run {
                        parts: vec![FIRST, CULPRIT],
                        answered_at: now + ms(300),
                        ends_at: now + ms(60_000),
                    };
                    fleet.endpoints[*index].as_mut().expect("up").push(run);
                    due.push((now + ms(200), *index));
                }
            }
            for (_, index) in due.extract_if(.., |row| row.0 <= now).collect::<Vec<_>>() {
                if fleet.endpoints[index].is_some() {
                    crashes.push(now);
                    fleet.crash(now, index);
                }
            }
            fleet.step(now);
        }
        let refused: Vec<PartId> = fleet.refused.keys().copied().collect();
        assert_eq!(refused, [CULPRIT], "seed {seed}: {:?}", fleet.refused);
        let fifth = crashes.get(4).copied().unwrap_or(Duration::MAX);
        let late = crashes.iter().filter(|at| **at > fifth.saturating_add(ms(4_000))).count();
        assert!(late <= 3, "seed {seed}: {late} late crashes");
    }
}
