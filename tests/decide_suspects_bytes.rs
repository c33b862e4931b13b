//! Bytes of the messages about crashed endpoints, in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use poplarmux::decide::part::MIN_CRASHES;
use poplarmux::decide::suspects::Breakage;
use poplarmux::decide::suspects::Content;
use poplarmux::decide::suspects::MAX_BYTES_PER_SECOND;
use poplarmux::decide::suspects::Message;
use poplarmux::decide::suspects::Suspects;
use poplarmux::table::PartId;
use poplarmux::table::instance::Key;

/// 1 % of a link of 10 Mbit/s.
const MAX_BYTES: u32 = 10_000_000 / 8 / 100;
/// Bytes of the headers of a datagram, and of the tag of its kind.
const HEADER_BYTES: usize = 29;
const LOSS: f64 = 0.05;
/// The part that all requests have in common.
const FIRST: PartId = 1;
/// The part that crashes endpoints from `TROUBLE` to its refusal.
const CULPRIT: PartId = 2;
const TROUBLE: u64 = 16_000;
const END: u64 = 26_000;
/// Longest time in milliseconds from the crash that shows a part to its refusal by all daemons: the
/// settle time of crashes, and four rounds in which it spreads.
const MAX_DELAY: u64 = 1_250;
/// Step of the simulation.
const STEP: u64 = 10;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A request at an endpoint.
struct Run {
    daemon: usize,
    content: Content,
    sent_at: u64,
}

struct Sim {
    daemons: Vec<Suspects>,
    endpoints: Vec<Vec<Run>>,
    in_flight: BTreeMap<u64, Vec<(usize, Message)>>,
    /// Bytes that each daemon sent, by the second.
    bytes: Vec<BTreeMap<u64, usize>>,
    rng: SmallRng,
    requests: u64,
    crashes: Vec<u64>,
    refused: BTreeSet<PartId>,
}

impl Sim {
    fn new(daemons: usize, endpoints: usize) -> Self {
        Sim {
            daemons: (0..daemons).map(|_| Suspects::default()).collect(),
            endpoints: (0..endpoints).map(|_| Vec::new()).collect(),
            in_flight: BTreeMap::new(),
            bytes: vec![BTreeMap::new(); daemons],
            rng: SmallRng::seed_from_u64(7),
            requests: 0,
            crashes: Vec::new(),
            refused: BTreeSet::new(),
        }
    }

    fn send(&mut self, now: u64, from: usize, messages: Vec<Message>) {
        for message in messages {
            let others = self.daemons.len() - 1;
            let size = postcard::to_stdvec(&message).expect("a message").len() + HEADER_BYTES;
            *self.bytes[from].entry(now / 1_000).or_default() += size * message.fanout();
            for index in rand::seq::index::sample(&mut self.rng, others, message.fanout()) {
                if !self.rng.random_bool(LOSS) {
                    let to = (from + 1 + index) % self.daemons.len();
                    let at = now + self.rng.random_range(1..=6) * STEP;
                    self.in_flight.entry(at).or_default().push((to, message.clone()));
                }
            }
        }
    }

    /// Sends a request with a part through a random daemon to a random endpoint.
    fn request(&mut self, now: u64, part: PartId) {
        let daemon = self.rng.random_range(0..self.daemons.len());
        let endpoint = self.rng.random_range(0..self.endpoints.len());
        self.requests += 1;
        // Hashes, as ids are, take more bytes than small numbers.
        let number = self.requests.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let id = self.requests.to_string();
        let content = Content::new(number, &id, [FIRST, part, number].into_iter());
        let suspects = &mut self.daemons[daemon];
        suspects.record_arrival("r", &content);
        if suspects.remaining_of_parts(ms(now), &content.parts).is_none() {
            self.endpoints[endpoint].push(Run { daemon, content, sent_at: now });
        }
    }

    fn sound_part(&mut self) -> PartId {
        let number = match self.rng.random_range(0..3) {
            0 => 100 + self.rng.random_range(0..5),
            1 => 1_000 + self.rng.random_range(0..500),
            _ => 10_000 + self.requests,
        };
        number.wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }

    fn crash(&mut self, now: u64, endpoint: usize) {
        let key = Key { id: format!("i-{endpoint:010x}"), born: 1_783_586_675_073 + now };
        let mut breakages: BTreeMap<usize, Breakage> = BTreeMap::new();
        for run in self.endpoints[endpoint].drain(..) {
            let breakage = breakages.entry(run.daemon).or_default();
            breakage.at = ms(now);
            breakage.runs.push((run.content.fingerprint, ms(run.sent_at)));
            breakage.starting.insert(run.content.run);
            breakage.parts.extend(run.content.parts);
        }
        for (daemon, breakage) in breakages {
            self.daemons[daemon].add_crash(ms(now), &key, &breakage);
            let messages = self.daemons[daemon].announcements(ms(now), &key);
            self.send(now, daemon, messages);
        }
    }

    fn step(&mut self, now: u64) {
        for index in 0..self.endpoints.len() {
            let is_crash = |run: &Run| run.content.parts.contains(&CULPRIT);
            if self.endpoints[index].iter().any(|run| is_crash(run) && now >= run.sent_at + 250) {
                self.crashes.push(now);
                self.crash(now, index);
            }
            let ended = self.endpoints[index].extract_if(.., |run| now >= run.sent_at + 700);
            for run in ended {
                self.daemons[run.daemon].record_survival(ms(now), &run.content);
                self.daemons[run.daemon].clear(ms(now), run.content.fingerprint, ms(now));
            }
        }
        for (to, message) in self.in_flight.remove(&now).unwrap_or_default() {
            self.daemons[to].on_message(ms(now), message);
        }
        for daemon in 0..self.daemons.len() {
            // Each daemon has its rounds at times of its own.
            if now % 250 == daemon as u64 * 7 % 25 * STEP {
                let news = self.daemons[daemon].decide(ms(now));
                self.refused.extend(news.refused_parts.iter().map(|row| row.0));
                let messages = self.daemons[daemon].round(ms(now));
                self.send(now, daemon, messages);
            }
        }
    }
}

/// Guards against messages about crashes that displace requests on slow links, and against limits
/// of them that delay the refusal of a part or let sound ones be refused.
#[test]
fn messages_take_few_bytes_while_endpoints_crash() {
    const { assert!(MAX_BYTES_PER_SECOND <= MAX_BYTES) };
    for (daemons, endpoints) in [(59, 60), (420, 600)] {
        let mut sim = Sim::new(daemons, endpoints);
        let mut known_at = None;
        for now in (0..END).step_by(STEP as usize) {
            if now % 20 == 0 {
                for _ in 0..daemons / 5 {
                    let part = sim.sound_part();
                    sim.request(now, part);
                }
            }
            if now > 2_000 && now % 500 == 0 {
                let endpoint = sim.rng.random_range(0..endpoints);
                sim.crash(now, endpoint);
            }
            if now > TROUBLE && now % 400 == 0 {
                sim.request(now, CULPRIT);
            }
            sim.step(now);
            let refuses = |row: &Suspects| row.remaining_of_parts(ms(now), &[CULPRIT]).is_some();
            if known_at.is_none() && sim.daemons.iter().all(refuses) {
                known_at = Some(now);
            }
        }
        let most = sim.bytes.iter().flat_map(|seconds| seconds.values()).max();
        let most = most.copied().unwrap_or(0);
        assert!(most > 0 && most <= MAX_BYTES as usize, "{daemons} daemons: {most} bytes");
        assert_eq!(sim.refused, [CULPRIT].into(), "{daemons} daemons");
        let decisive = sim.crashes[MIN_CRASHES - 1];
        let delay = known_at.expect("known everywhere") - decisive;
        assert!(delay <= MAX_DELAY, "{daemons} daemons: {delay} ms");
    }
}
