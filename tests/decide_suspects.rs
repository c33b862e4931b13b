//! Daemons that tell each other, in virtual time, which requests ran on crashed endpoints.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use poplarmux::daemon::peer::HEARTBEAT_FANOUT;
use poplarmux::decide::suspects::Breakage;
use poplarmux::decide::suspects::Content;
use poplarmux::decide::suspects::MAX_CRASHES;
use poplarmux::decide::suspects::Message;
use poplarmux::decide::suspects::Suspects;
use poplarmux::table::Fingerprint;
use poplarmux::table::PartId;
use poplarmux::table::instance::Key;

/// Time after the third crash from which only three more may follow, in the smallest deployments.
const MAX_DELAY: Duration = Duration::from_millis(4_000);
/// Further crashes allowed after that time.
const MAX_LATE_CRASHES: usize = 3;
/// Interval between two rounds of a daemon.
const ROUND: Duration = Duration::from_millis(250);
/// Daemons that are sent messages that are repeated all the time.
const REFUSAL_FANOUT: usize = 2;
/// Environment variable with the number of seeds of each deployment, for long runs. Without it the
/// largest ones are left out of tests that take long.
const SEEDS_VARIABLE: &str = "POPLARMUX_SUSPECTS_SEEDS";
/// The request that crashes each engine.
const POISON: Fingerprint = 1;
/// The largest datagram.
const MAX_DATAGRAM_BYTES: usize = 1_400;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn key(number: usize) -> Key {
    Key { id: format!("i-{number:010x}"), born: 1_783_586_675_073 }
}

/// Daemons with a network between them.
struct Network {
    daemons: Vec<Suspects>,
    /// Daemons that neither send nor receive until this time.
    cut_off_until: HashMap<usize, Duration>,
    /// Messages on their way, by the time of their arrival.
    in_flight: BinaryHeap<Reverse<(Duration, u64)>>,
    contents: HashMap<u64, (usize, Message)>,
    /// When each daemon's next round is due.
    rounds: BinaryHeap<Reverse<(Duration, usize)>>,
    loss: f64,
    rng: SmallRng,
    sent: u64,
    /// Parts that a daemon has decided to refuse.
    refused_parts: BTreeSet<PartId>,
}

impl Network {
    fn new(count: usize, loss: f64, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let phases = (0..count).map(|index| Reverse((ms(rng.random_range(0..250)), index)));
        Network {
            rounds: phases.collect(),
            daemons: (0..count).map(|_| Suspects::default()).collect(),
            cut_off_until: HashMap::new(),
            in_flight: BinaryHeap::new(),
            contents: HashMap::new(),
            loss,
            rng,
            sent: 0,
            refused_parts: BTreeSet::new(),
        }
    }

    fn is_cut_off(&self, now: Duration, daemon: usize) -> bool {
        self.cut_off_until.get(&daemon).is_some_and(|until| now < *until)
    }

    fn send(&mut self, now: Duration, from: usize, message: &Message) {
        let bytes = postcard::to_stdvec(message).expect("a message");
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        let fanout = if message.is_permanent() { REFUSAL_FANOUT } else { HEARTBEAT_FANOUT };
        let others = self.daemons.len() - 1;
        for index in rand::seq::index::sample(&mut self.rng, others, fanout.min(others)) {
            let to = (from + 1 + index) % self.daemons.len();
            if self.rng.random_bool(self.loss) || self.is_cut_off(now, from) {
                continue;
            }
            self.sent += 1;
            let arrives_at = now + ms(self.rng.random_range(0..60));
            self.in_flight.push(Reverse((arrives_at, self.sent)));
            self.contents.insert(self.sent, (to, message.clone()));
        }
    }

    /// Delivers messages and runs rounds up to a time.
    fn run_until(&mut self, end: Duration) {
        loop {
            let arrival = self.in_flight.peek().map_or(Duration::MAX, |row| row.0.0);
            let round = self.rounds.peek().map_or(Duration::MAX, |row| row.0.0);
            if arrival.min(round) > end {
                return;
            }
            if arrival <= round {
                let Some(Reverse((now, number))) = self.in_flight.pop() else {
                    return;
                };
                let (to, message) = self.contents.remove(&number).expect("a message");
                if !self.is_cut_off(now, to) {
                    self.daemons[to].on_message(now, message);
                }
            } else if let Some(Reverse((now, daemon))) = self.rounds.pop() {
                let news = self.daemons[daemon].decide(now);
                self.refused_parts.extend(news.refused_parts.iter().map(|row| row.0));
                for message in self.daemons[daemon].round(now) {
                    self.send(now, daemon, &message);
                }
                self.rounds.push(Reverse((now + ROUND, daemon)));
            }
        }
    }

    /// Lets an engine crash on which requests of several daemons ran, and `POISON` of one of them.
    fn crash(&mut self, now: Duration, engine: usize, poisoned: usize, sent_at: Duration) {
        let count = self.daemons.len();
        for other in 0..count.min(8) {
            let daemon = if other == 0 { poisoned } else { self.rng.random_range(0..count) };
            let innocent = |index: u64| 1_000 + engine as u64 * 1_000 + other as u64 * 10 + index;
            let mut runs: Vec<_> = (0..2).map(|index| (innocent(index), sent_at)).collect();
            if other == 0 {
                runs.push((POISON, sent_at));
            }
            let breakage = Breakage { at: now, runs, ..Breakage::default() };
            self.daemons[daemon].add_crash(now, &key(engine), &breakage);
            for message in self.daemons[daemon].announcements(now, &key(engine)) {
                self.send(now, daemon, &message);
            }
        }
    }

    fn refusing(&self, now: Duration) -> usize {
        let refuses = |daemon: &&Suspects| daemon.remaining(now, POISON).is_some();
        self.daemons.iter().filter(refuses).count()
    }
}

/// Guards against a request that goes on crashing engines as its caller uses another daemon each
/// time, in deployments of all sizes, with lost datagrams and daemons that are cut off.
#[test]
fn request_is_refused_everywhere_in_time_after_its_third_crash() {
    let asked = std::env::var(SEEDS_VARIABLE).ok().map(|text| text.parse().expect("a number"));
    for (count, gap_ms, seeds) in
        [(2, 5, 4), (8, 5, 4), (59, 5, 2), (59, 1_400, 1), (195, 100, 1), (420, 5, 1)]
    {
        for seed in 0..asked.unwrap_or(seeds) {
            let mut network = Network::new(count, 0.05, seed);
            let cut_off = count - 1;
            network.cut_off_until.insert(cut_off, ms(6_000));
            let mut now = ms(1_000);
            let mut crashes: Vec<Duration> = Vec::new();
            while now < ms(14_000) {
                let reachable = if now < ms(12_000) { count - 1 } else { count };
                let daemon = network.rng.random_range(0..reachable);
                if network.daemons[daemon].remaining(now, POISON).is_some() {
                    now += ms(gap_ms.max(20));
                    network.run_until(now);
                    continue;
                }
                let sent_at = now;
                now += ms(100);
                network.run_until(now);
                network.crash(now, crashes.len(), daemon, sent_at);
                crashes.push(now);
                now += ms(gap_ms);
                network.run_until(now);
            }
            let third = crashes[MAX_CRASHES - 1];
            let late = crashes.iter().filter(|at| **at > third + MAX_DELAY).count();
            assert!(late <= MAX_LATE_CRASHES, "{count} daemons, seed {seed}: {crashes:?}");
            assert_eq!(network.refusing(now), count, "seed {seed}");
            let (_, refused) = network.daemons[0].counts(now);
            assert_eq!(refused, 1, "only one request is refused");
        }
    }
}

/// Guards against suspects that stay after their answers were complete at one daemon, or that are
/// passed on in circles.
#[test]
fn complete_answer_becomes_known_everywhere_and_the_messages_end() {
    let mut network = Network::new(59, 0.05, 9);
    for engine in 0..MAX_CRASHES {
        let now = ms(1_000 + engine as u64 * 300);
        network.run_until(now);
        network.crash(now, engine, engine, now - ms(100));
    }
    network.run_until(ms(4_000));
    assert_eq!(network.refusing(ms(4_000)), 59);
    network.daemons[0].clear(ms(4_000), POISON, ms(4_000));
    network.run_until(ms(8_000));
    assert_eq!(network.refusing(ms(8_000)), 0);
    let sent = network.sent;
    network.run_until(ms(30_000));
    assert_eq!(network.sent, sent);
}

/// The part that all requests have in common.
const FIRST: PartId = 1;
/// The part that crashes engines.
const CULPRIT: PartId = 2;
/// Step of the simulation of requests.
const STEP: Duration = Duration::from_millis(20);
/// Time between the start of a request and the crash of its engine.
const TIME_TO_CRASH: Duration = Duration::from_millis(250);
/// Time between the start of a sound request and that from which it survived.
const TIME_TO_SURVIVE: Duration = Duration::from_millis(700);
/// Time for which an engine is down after a crash.
const DOWNTIME: Duration = Duration::from_secs(3);
/// When requests with the part begin to come.
const TROUBLE: Duration = Duration::from_secs(6);
/// When daemons start again or are connected again.
const RETURN: Duration = Duration::from_secs(17);

/// A request at an engine.
struct Run {
    daemon: usize,
    content: Content,
    sent_at: Duration,
}

/// An engine.
#[derive(Default)]
struct Engine {
    runs: Vec<Run>,
    incarnation: usize,
    back_at: Duration,
}

/// Daemons that send requests to engines.
struct Deployment {
    network: Network,
    engines: Vec<Engine>,
    /// Daemons that callers do not use.
    unused: BTreeSet<usize>,
    requests: u64,
    crashes: Vec<Duration>,
}

impl Deployment {
    fn new(daemons: usize, engines: usize, seed: u64) -> Self {
        Deployment {
            network: Network::new(daemons, 0.05, seed),
            engines: (0..engines).map(|_| Engine::default()).collect(),
            unused: BTreeSet::new(),
            requests: 0,
            crashes: Vec::new(),
        }
    }

    /// Sends a request through a random daemon to a random engine.
    fn send(&mut self, now: Duration, middle: PartId) {
        let count = self.network.daemons.len();
        let daemon = self.network.rng.random_range(0..count);
        let engine = self.network.rng.random_range(0..self.engines.len());
        if self.unused.contains(&daemon) {
            return;
        }
        self.requests += 1;
        let (number, id) = (self.requests, self.requests.to_string());
        let parts = [FIRST, middle, 1_000_000 + number];
        let content = Content::new(1_000 + number, &id, parts.into_iter());
        let suspects = &mut self.network.daemons[daemon];
        suspects.record_arrival("r", &content);
        let is_refused = suspects.remaining_of_parts(now, &content.parts).is_some();
        if !is_refused && now >= self.engines[engine].back_at {
            self.engines[engine].runs.push(Run { daemon, content, sent_at: now });
        }
    }

    /// Ends runs, and crashes the engines of those that have the part.
    fn step(&mut self, now: Duration) {
        for index in 0..self.engines.len() {
            let engine = &mut self.engines[index];
            let crashes = |run: &Run| {
                run.content.parts.contains(&CULPRIT) && now >= run.sent_at + TIME_TO_CRASH
            };
            if engine.runs.iter().any(crashes) {
                self.crash(now, index);
                continue;
            }
            let ended = engine.runs.extract_if(.., |run| now >= run.sent_at + TIME_TO_SURVIVE);
            for run in ended {
                self.network.daemons[run.daemon].record_survival(now, &run.content);
            }
        }
        self.network.run_until(now);
    }

    fn crash(&mut self, now: Duration, index: usize) {
        let engine = &mut self.engines[index];
        engine.back_at = now + DOWNTIME;
        engine.incarnation += 1;
        let key = key(engine.incarnation * 10_000 + index);
        let mut breakages: BTreeMap<usize, Breakage> = BTreeMap::new();
        for run in engine.runs.drain(..) {
            let breakage = breakages.entry(run.daemon).or_default();
            breakage.at = now;
            breakage.runs.push((run.content.fingerprint, run.sent_at));
            breakage.starting.insert(run.content.run);
            breakage.parts.extend(run.content.parts);
        }
        self.crashes.push(now);
        for (daemon, breakage) in breakages {
            self.network.daemons[daemon].add_crash(now, &key, &breakage);
            for message in self.network.daemons[daemon].announcements(now, &key) {
                self.network.send(now, daemon, &message);
            }
        }
    }

    fn sound_part(&mut self) -> PartId {
        match self.network.rng.random_range(0..3) {
            0 => 100 + self.network.rng.random_range(0..5),
            1 => 1_000 + self.network.rng.random_range(0..500),
            _ => 10_000 + self.requests,
        }
    }

    fn refusing(&self, now: Duration, part: PartId) -> usize {
        let refuses = |daemon: &&Suspects| daemon.remaining_of_parts(now, &[part]).is_some();
        self.network.daemons.iter().filter(refuses).count()
    }
}

/// Guards against a part that goes on crashing engines in deployments of any size, with lost
/// datagrams, daemons that are cut off and daemons that start again, and against sound parts that
/// are refused with it.
#[test]
fn part_is_refused_everywhere_in_time_after_its_crashes() {
    let asked = std::env::var(SEEDS_VARIABLE).ok().map(|text| text.parse().expect("a number"));
    for (daemons, engines, gap_ms, seeds) in [
        (2, 8, 160, 4),
        (8, 9, 140, 4),
        (8, 9, 1_600, 2),
        (59, 60, 100, 2),
        (59, 60, 1_400, 1),
        (195, 300, 200, 1),
        (420, 600, 100, 0),
    ] {
        for seed in 0..asked.unwrap_or(seeds) {
            let mut deployment = Deployment::new(daemons, engines, seed);
            let (cut_off, restarted) = (daemons - 1, daemons / 2 - 1);
            if daemons > 2 {
                deployment.network.cut_off_until.insert(cut_off, RETURN);
                deployment.unused.insert(cut_off);
            }
            let mut now = Duration::ZERO;
            let end = RETURN + ms(4_000);
            while now < end {
                for _ in 0..(daemons / 5).max(1) {
                    let part = deployment.sound_part();
                    deployment.send(now, part);
                }
                let since = now.saturating_sub(TROUBLE).as_millis();
                if now > TROUBLE && since.is_multiple_of(gap_ms) {
                    deployment.send(now, CULPRIT);
                }
                if now == RETURN && daemons > 2 {
                    deployment.network.daemons[restarted] = Suspects::default();
                }
                deployment.step(now);
                now += STEP;
            }
            let name = format!("{daemons} daemons, seed {seed}");
            let crashes = &deployment.crashes;
            let known_at = crashes.get(4).or(crashes.last()).copied().expect("a crash");
            let late = crashes.iter().filter(|at| **at > known_at + MAX_DELAY).count();
            assert!(late <= MAX_LATE_CRASHES, "{name}: {crashes:?}");
            assert_eq!(deployment.network.refused_parts, [CULPRIT].into(), "{name}");
            assert_eq!(deployment.refusing(now, CULPRIT), daemons, "{name}");
            assert_eq!(deployment.refusing(now, FIRST), 0, "{name}");
        }
    }
}

/// Guards against refusing a request that was near a culprit, as its crashes are told again after
/// they have been explained.
#[test]
fn explained_crashes_do_not_count_for_requests_when_they_are_told_again() {
    let mut suspects = Suspects::default();
    for number in 0..200 {
        let content = Content::new(number, &number.to_string(), [FIRST, 9].into_iter());
        suspects.record_arrival("r", &content);
        suspects.record_survival(ms(number), &content);
    }
    let near = 77;
    let mut told = Vec::new();
    for engine in 0..5 {
        let at = ms(2_000 + 1_000 * engine as u64);
        let breakage = Breakage {
            at,
            runs: vec![(near, at - ms(300))],
            starting: [engine as u32 + 1].into(),
            parts: [FIRST, CULPRIT].into(),
        };
        suspects.add_crash(at, &key(engine), &breakage);
        told.extend(suspects.announcements(at, &key(engine)));
        suspects.decide(at + ms(300));
    }
    assert!(suspects.remaining_of_parts(ms(6_400), &[CULPRIT]).is_some());
    for message in told {
        suspects.on_message(ms(6_500), message);
    }
    assert_eq!(suspects.remaining(ms(6_500), near), None);
    assert_eq!(suspects.crash_count(near), 0);
}
