//! Tests of the load that entries send to endpoints that have just started or failed, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use poplarmux::decide::flow::Action;
use poplarmux::decide::flow::Event;
use poplarmux::decide::flow::Flow;
use poplarmux::decide::flow::Job;
use poplarmux::decide::flow::Target;
use poplarmux::edge::endpoint::Error;
use poplarmux::edge::platform::Instance;
use poplarmux::edge::platform::Presence;
use poplarmux::edge::platform::Role;
use standin::scene;

const SLOTS: usize = 12;
const ENDPOINTS: usize = 10;
/// Interval of a stream's tokens with a free slot, and their number. Times are in ms.
const TOKEN: u64 = 100;
const TOKENS: u64 = 6;
/// Factor of the interval at an endpoint that is slow.
const SLOWNESS: u64 = 6;
/// First byte after which an answer is late, and the deadline.
const TARGET: u64 = 500;
const DEADLINE: u64 = 10_000;
/// When endpoints are replaced, and the end.
const REPLACED_AT: u64 = 5_000;
const END: u64 = 40_000;
/// Interval at which entries exchange their digests.
const DIGEST_INTERVAL: u64 = 250;

/// Interval at which loads are compared.
const LOAD_INTERVAL: u64 = 10;

/// What happens to the endpoints that are replaced.
#[derive(Debug, Clone, Copy)]
struct Case {
    replaced: usize,
    slow_for: u64,
    /// Number of requests that fail at first.
    failing: u64,
    /// Whether they restart every second.
    restarts: bool,
    /// For how long they can't be reached.
    down_for: u64,
    entries: usize,
    /// Part of the slots that callers use.
    demand: f64,
}

const CASE: Case = Case {
    replaced: 1,
    slow_for: 0,
    failing: 0,
    restarts: false,
    down_for: 0,
    entries: 1,
    demand: 0.6,
};

/// What callers saw from the replacement on.
#[derive(Debug, Default, PartialEq)]
struct Figures {
    /// Requests late or failed at a replaced endpoint in the first five seconds.
    early: usize,
    /// All requests late, failed or refused, and those refused.
    bad: usize,
    refused: usize,
    /// Time until a replaced endpoint has 0.8 of the load of the others.
    share_after: u64,
}

struct Running {
    entry: usize,
    index: usize,
    born: u64,
    arrived_at: u64,
    sent_at: u64,
    begins_at: u64,
    factor: u64,
    fails: bool,
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn instance(index: usize, born: u64, role: Role) -> Instance {
    Instance {
        address: scene::address(index),
        peer: None,
        region: scene::home(0).region,
        data_center: scene::home(0).data_center,
        role,
        service: (role == Role::Service).then(|| "s".to_string()),
        state: Presence::Live,
        incarnation: born,
    }
}

fn job(id: u64, now: u64) -> Job {
    Job {
        target: Target::Service("s".into()),
        deadline: ms(now + DEADLINE),
        prompt_tokens: 0,
        max_tokens: TOKENS as u32,
        ..scene::job(id, "s", "c")
    }
}

struct Play {
    case: Case,
    flows: Vec<Flow>,
    rng: SmallRng,
    born: [u64; ENDPOINTS],
    failed: [u64; ENDPOINTS],
    running: BTreeMap<u64, Running>,
    arrivals: BTreeMap<u64, u64>,
    figures: Figures,
}

impl Play {
    fn new(case: Case, seed: u64) -> Self {
        Play {
            case,
            flows: (0..case.entries as u64)
                .map(|entry| Flow::new(scene::home(0), seed * 100 + entry))
                .collect(),
            rng: SmallRng::seed_from_u64(seed),
            born: [1; ENDPOINTS],
            failed: [0; ENDPOINTS],
            running: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            figures: Figures::default(),
        }
    }

    fn list(&mut self, now: u64) {
        let services = (0..ENDPOINTS).map(|index| instance(index, self.born[index], Role::Service));
        let entries = (0..self.case.entries).map(|index| instance(1_000 + index, 1, Role::Entry));
        let instances: Vec<Instance> = services.chain(entries).collect();
        for entry in 0..self.flows.len() {
            self.handle(now, entry, Event::Listed(instances.clone()));
        }
    }

    fn handle(&mut self, now: u64, entry: usize, event: Event) {
        let actions = self.flows[entry].handle(ms(now), event);
        self.apply(now, entry, actions);
    }

    fn apply(&mut self, now: u64, entry: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch(id, at) => {
                    let index = (0..ENDPOINTS).find(|index| scene::address(*index) == at);
                    self.start(now, entry, id, index.expect("an endpoint"));
                }
                Action::Refuse(..) => {
                    self.figures.refused += usize::from(now >= REPLACED_AT);
                    self.figures.bad += usize::from(now >= REPLACED_AT);
                }
                Action::Cancel(id, _) => drop(self.running.remove(&id)),
                Action::Quarantine(..) => {}
            }
        }
    }

    fn is_replaced(&self, index: usize) -> bool {
        self.born[index] > 1
    }

    fn start(&mut self, now: u64, entry: usize, id: u64, index: usize) {
        let born = self.born[index];
        let is_slow = self.is_replaced(index) && now < born + self.case.slow_for;
        let factor = if is_slow { SLOWNESS } else { 1 };
        let is_down = self.is_replaced(index) && now < born + self.case.down_for;
        let fails = is_down || (self.is_replaced(index) && self.failed[index] < self.case.failing);
        self.failed[index] += u64::from(fails);
        // A request beyond the slots waits until one is free.
        let same = self.running.values().filter(|row| row.index == index && !row.fails);
        let mut ends: Vec<u64> =
            same.map(|row| row.begins_at + TOKENS * TOKEN * row.factor).collect();
        ends.sort_unstable_by(|left, right| right.cmp(left));
        let begins_at = ends.get(SLOTS - 1).map_or(now, |at| (*at).max(now));
        let arrived_at = self.arrivals[&id];
        let row =
            Running { entry, index, born, arrived_at, sent_at: now, begins_at, factor, fails };
        self.running.insert(id, row);
    }

    /// Returns the running and the waiting requests at an endpoint.
    fn load(&self, now: u64, index: usize) -> (u32, u32) {
        let same = || self.running.values().filter(|row| row.index == index);
        let waiting = same().filter(|row| row.begins_at > now).count();
        ((same().count() - waiting) as u32, waiting as u32)
    }

    /// Passes the answers of this millisecond on.
    fn answer(&mut self, now: u64) {
        let ids: Vec<u64> = self.running.keys().copied().collect();
        for id in ids {
            let Some(row) = self.running.get(&id) else {
                continue;
            };
            let (entry, index) = (row.entry, row.index);
            let age = now.saturating_sub(row.begins_at);
            let is_lost = row.born != self.born[index];
            let is_failed = is_lost || (row.fails && now >= row.sent_at + 5);
            let token = TOKEN * row.factor;
            let is_token = !row.fails && age > 0 && age % token == 0;
            let is_first = is_token && age == token;
            let is_bad = is_failed || (is_first && now - row.arrived_at > TARGET);
            let is_new = index < self.case.replaced && row.sent_at >= REPLACED_AT;
            self.figures.bad += usize::from(now >= REPLACED_AT && is_bad);
            let is_early = is_new && row.sent_at < REPLACED_AT + 5_000;
            self.figures.early += usize::from(is_bad && is_early);
            if is_failed {
                let is_down = now < self.born[index] + self.case.down_for;
                let error = match (is_lost, is_down) {
                    (true, _) => Error::Broken,
                    (false, true) => Error::Connect,
                    (false, false) => Error::Refused(503, None),
                };
                self.running.remove(&id);
                self.handle(now, entry, Event::Failed { request: id, error, delivered: 0 });
            } else if is_token {
                let at = scene::address(index);
                if is_first {
                    let (running, waiting) = self.load(now, index);
                    self.handle(now, entry, Event::Load(at, running, waiting));
                }
                self.handle(now, entry, Event::Progress(id, 1));
                if age == token * TOKENS {
                    self.running.remove(&id);
                    self.handle(now, entry, Event::Finished(id));
                }
            }
        }
    }

    fn exchange_digests(&mut self, now: u64) {
        let digests: Vec<_> = self.flows.iter().map(Flow::digest).collect();
        for entry in 0..self.flows.len() {
            for (other, digest) in digests.iter().enumerate().filter(|(other, _)| *other != entry) {
                let event = Event::Digest(scene::address(1_000 + other), digest.clone());
                self.handle(now, entry, event);
            }
        }
    }

    fn run(mut self) -> Figures {
        let mut loads = [0.0; ENDPOINTS];
        self.list(0);
        for now in 0..END {
            let restarts = self.case.restarts && now > REPLACED_AT && now % 1_000 == 0;
            if now == REPLACED_AT || restarts {
                for index in 0..self.case.replaced {
                    (self.born[index], self.failed[index]) = (now, 0);
                }
                // Connections break before the list shows the new incarnations.
                self.answer(now);
                self.list(now);
            } else {
                self.answer(now);
            }
            if now % DIGEST_INTERVAL == 0 {
                self.exchange_digests(now);
            }
            for entry in 0..self.flows.len() {
                if self.flows[entry].next_tick(ms(now)).is_some_and(|at| at <= ms(now)) {
                    let actions = self.flows[entry].tick(ms(now));
                    self.apply(now, entry, actions);
                }
            }
            let rate = self.case.demand * (SLOTS * ENDPOINTS) as f64 / (TOKEN * TOKENS) as f64;
            if self.rng.random_bool(rate) {
                let (entry, id) = (self.rng.random_range(0..self.flows.len()), now);
                self.arrivals.insert(id, now);
                self.handle(now, entry, Event::Arrived(job(id, now)));
            }
            if now % LOAD_INTERVAL > 0 {
                continue;
            }
            for (index, load) in loads.iter_mut().enumerate() {
                let (running, waiting) = self.load(now, index);
                *load += (f64::from(running + waiting) - *load) / 50.0;
            }
            let others = &loads[self.case.replaced..];
            let share = loads[0] * others.len() as f64 / others.iter().sum::<f64>();
            let slow_for = match self.case.slow_for {
                0 => 500,
                // The last slow requests have ended.
                slow_for => slow_for + TOKENS * TOKEN * SLOWNESS,
            };
            let is_fast = now > self.born[0] + slow_for.max(self.case.down_for);
            let share_after = &mut self.figures.share_after;
            if now >= REPLACED_AT && is_fast && share >= 0.8 && *share_after == 0 {
                *share_after = now - REPLACED_AT;
            }
        }
        self.figures
    }
}

/// Returns the means of three plays of a case.
fn play(case: Case) -> Figures {
    let plays = [1, 2, 3].map(|seed| Play::new(case, seed).run());
    let mean = |value: fn(&Figures) -> usize| plays.iter().map(value).sum::<usize>() / plays.len();
    let figures = Figures {
        early: mean(|row| row.early),
        bad: mean(|row| row.bad),
        refused: mean(|row| row.refused),
        share_after: mean(|row| row.share_after as usize) as u64,
    };
    println!("{case:?}\n  {figures:?}");
    figures
}

/// Guards against an endpoint that gets a full load while it is slow, or little for long after that,
/// or if it is fast at once. Each case has the figures of the entry without `decide::pace`: requests
/// late or failed at the new endpoint and in all, and when it had its share of the load.
#[test]
fn load_follows_the_speed_of_a_new_endpoint() {
    let cases = [(0, 0, 9, 650), (1_000, 5, 14, 11_950), (5_000, 7, 16, 15_760)];
    for (slow_for, early, bad, share_after) in cases {
        let after = play(Case { slow_for, ..CASE });
        assert!(after.early <= early && after.bad <= bad, "{slow_for}");
        assert!((1..share_after + 500).contains(&after.share_after), "{slow_for}");
    }
}

/// Guards against an endpoint that restarts all the time, looks idle, and takes everything.
#[test]
fn endpoint_that_restarts_gets_few_requests() {
    let after = play(Case { restarts: true, slow_for: END, ..CASE });
    // 48 and 476 without `decide::pace`.
    assert!(after.early * 2 <= 48 && after.bad * 2 <= 476);
}

/// Guards against entries that each send an endpoint as much as it may have.
#[test]
fn entries_share_the_bound() {
    // Late at the new endpoint and in all, 23 and 34 without `decide::pace`.
    let after = play(Case { entries: 8, slow_for: 5_000, ..CASE });
    assert!(after.early * 2 <= 23 && after.bad < 34);
    let after = play(Case { entries: 8, ..CASE });
    assert!(after.bad <= 10 && (1..5_000).contains(&after.share_after));
}

/// Guards against a bound that costs answers where the other endpoints can't take the load.
#[test]
fn half_of_a_fleet_may_be_replaced() {
    // Late or failed in all and refused, 63 and 1 without `decide::pace`.
    let after = play(Case { replaced: 5, ..CASE });
    assert!(after.bad <= 63 && after.refused <= 1);
}

/// Returns the endpoint that each of `count` requests goes to at once.
fn send(flow: &mut Flow, now: u64, first_id: u64, count: u64) -> Vec<usize> {
    let ids = first_id..first_id + count;
    let actions = ids.flat_map(|id| flow.handle(ms(now), Event::Arrived(job(id, now))));
    let sent = actions.filter_map(|action| match action {
        Action::Dispatch(_, at) => (0..ENDPOINTS).find(|index| scene::address(*index) == at),
        _ => None,
    });
    sent.collect()
}

fn list(flow: &mut Flow, now: u64, born: &[u64]) {
    let instances = born.iter().enumerate();
    let instances = instances.map(|(index, born)| instance(index, *born, Role::Service)).collect();
    flow.handle(ms(now), Event::Listed(instances));
}

fn paces(flow: &Flow) -> Vec<Option<u64>> {
    flow.dump()["endpoints"].iter().map(|row| row["pace"].as_u64()).collect()
}

fn finish(flow: &mut Flow, now: u64, ids: std::ops::Range<u64>) {
    for id in ids {
        flow.handle(ms(now), Event::Progress(id, 1));
        flow.handle(ms(now), Event::Finished(id));
    }
}

/// Guards against bounds on a fleet that starts at once, a new endpoint that gets more than its bound
/// while another has room, and a request that waits because of the bound while none has.
#[test]
fn bound_selects_only_between_endpoints() {
    let mut flow = Flow::new(scene::home(0), 1);
    list(&mut flow, 0, &[1, 1]);
    list(&mut flow, 1_000, &[1, 1, 1]);
    assert_eq!(paces(&flow), [None; 3]);
    list(&mut flow, 9_000, &[1, 1, 2]);
    assert_eq!(paces(&flow), [None, None, Some(1)]);
    let sent = send(&mut flow, 9_000, 1, 12);
    assert_eq!(sent.len(), 12, "none waits");
    let early = sent[..9].iter().filter(|index| **index == 2).count();
    assert!(early <= 1 && sent[9..] == [2, 2, 2], "{sent:?}");
    finish(&mut flow, 9_100, 1..13);
    assert_eq!(paces(&flow), [None; 3], "its answers came in time");
}

/// Guards against a full load on an endpoint that is back from an ejection, and against one that is
/// down and gets all requests that wait for it.
#[test]
fn endpoint_back_from_an_ejection_is_bounded() {
    let mut flow = Flow::new(scene::home(0), 1);
    list(&mut flow, 0, &[1, 1]);
    let mut id = 0;
    let mut fail_at_first = |flow: &mut Flow, now: u64| loop {
        id += 1;
        if send(flow, now, id, 1) == [0] {
            flow.handle(
                ms(now),
                Event::Failed { request: id, error: Error::Connect, delivered: 0 },
            );
            flow.handle(ms(now), Event::HungUp(id));
            return id;
        }
        flow.handle(ms(now), Event::HungUp(id));
    };
    let id = fail_at_first(&mut flow, 10);
    assert_eq!(send(&mut flow, 20, id + 1, 4), [1; 4]);
    let sent = send(&mut flow, 1_100, id + 5, 4);
    assert_eq!(sent, [0], "one request decides");
    finish(&mut flow, 1_200, id + 5..id + 6);
    assert_eq!(paces(&flow), [Some(1), None]);
}
