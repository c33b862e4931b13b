//! The tokens of all requests at an engine stay within its memory.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use poplarmux::decide::broker::Grant;
use poplarmux::decide::broker::Grants;
use poplarmux::decide::endpoint::Requirements;
use poplarmux::decide::fleet::Choice;
use poplarmux::decide::fleet::Fleet;
use poplarmux::decide::memory::Holder;
use poplarmux::decide::memory::Sum;
use poplarmux::edge::dialect::Load;
use poplarmux::table::instance::Copies;
use poplarmux::table::instance::Instance;
use poplarmux::table::instance::Key;
use poplarmux::table::instance::Resident;
use poplarmux::table::instance::State;

const ENGINES: usize = 8;
const DAEMONS: usize = 24;
const SLOTS: u32 = 16;
/// Two thirds of what the slots would hold with requests of the mean size.
const CAPACITY: u64 = 22_000;
const REQUIREMENTS: Requirements<'_> = Requirements {
    service: "llm",
    model: Some("m"),
    adapter: None,
    adapter_slots: 8,
    prompt_tokens: 0,
    output_tokens: 100,
    parts: &[],
    max_pause: None,
    tried: &[],
    excluded: None,
    required_region: None,
    software: None,
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn key(number: usize) -> Key {
    Key { id: format!("e{number}"), born: 1 }
}

fn number(key: &Key) -> usize {
    key.id[1..].parse().expect("a number")
}

fn fleet(engines: usize) -> Fleet {
    let regions = BTreeMap::from([("a1".to_string(), "a".to_string())]);
    let mut fleet = Fleet::new("a".to_string(), "a1".to_string(), regions);
    for number in 0..engines {
        let instance = Instance {
            key: key(number),
            service: "llm".to_string(),
            software: "v1".to_string(),
            address: "10.0.0.1:80".parse().expect("an address"),
            data_center: "a1".to_string(),
            slots: SLOTS,
            state: State::Live,
            warmup: Duration::ZERO,
            remaining: None,
            resident: vec![Resident { model: "m".to_string(), adapters: Vec::new() }],
            copies: Copies::default(),
            heartbeat: 1,
        };
        assert!(fleet.put(ms(0), instance));
    }
    fleet.memory.set_capacities(HashMap::from([("llm".to_string(), CAPACITY)]));
    fleet.memory.set_daemons(DAEMONS, 1.0, true);
    fleet
}

fn choose(fleet: &Fleet, now: Duration, prompt_tokens: u32, rng: &mut SmallRng) -> Choice {
    fleet.choose(now, &Requirements { prompt_tokens, ..REQUIREMENTS }, true, rng)
}

/// A request at an engine.
struct Run {
    ticket: u64,
    daemon: usize,
    /// Whether a broker has granted it.
    granted: bool,
    engine: usize,
    tokens: u32,
    ends_at: u64,
}

/// What goes wrong.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Fault {
    None,
    /// Daemons are killed, and their requests end with them.
    Killed,
    /// Daemons are cut off from the broker for three seconds, their requests go on, and they choose
    /// engines themselves meanwhile.
    Cut,
    /// The broker is killed and another daemon becomes the broker.
    Replaced,
}

fn tokens(grant: &Grant<(u32, Duration)>) -> Option<u32> {
    grant.payload.map(|(tokens, _)| tokens)
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], daemon as u16))
}

/// Returns the most tokens held at an engine at any time within 30 s, and the number of requests.
fn run(seed: u64, fault: Fault) -> (u64, usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut broker = fleet(ENGINES);
    let mut grants: Grants<(u32, Duration)> = Grants::default();
    let mut alone: Vec<Fleet> = (0..DAEMONS).map(|_| fleet(ENGINES)).collect();
    let mut cut_until = [0_u64; DAEMONS];
    let mut runs: Vec<Run> = Vec::new();
    let mut reports: Vec<(u64, Option<usize>, usize)> = Vec::new();
    let (mut highest, mut served, mut ticket) = (0, 0, 0_u64);
    for now_ms in (0..30_000_u64).step_by(10) {
        let now = ms(now_ms);
        broker.tick(now);
        // A broker misses the heartbeats of a daemon after half a second.
        let is_heard = |until: &&u64| **until <= now_ms || **until > now_ms + 2_500;
        let heard = cut_until.iter().filter(is_heard).count();
        broker.memory.set_daemons(DAEMONS, heard as f64 / DAEMONS as f64, true);
        for (due, daemon, engine) in reports.extract_if(.., |(due, ..)| *due <= now_ms) {
            debug_assert!(due <= now_ms);
            let running = runs.iter().filter(|run| run.engine == engine).count() as u32;
            let fleet = daemon.map_or(&mut broker, |daemon| &mut alone[daemon]);
            fleet.on_load_report(now, &key(engine), Load { running, ..Load::default() });
        }
        let is_faulty = now_ms > 2_000 && rng.random_bool(0.01);
        let victim = rng.random_range(0..DAEMONS);
        match fault {
            Fault::Killed if is_faulty => runs.retain(|run| run.daemon != victim),
            Fault::Cut if is_faulty => cut_until[victim] = now_ms + 3_000,
            Fault::Replaced if now_ms % 5_000 == 4_000 => {
                (broker, grants) = (fleet(ENGINES), Grants::default());
                // It knows the sizes of its own requests.
                let sizes = (0..30).map(|_| rng.random_range(300..4_100));
                sizes.for_each(|tokens| broker.memory.record_size("llm", tokens));
            }
            _ => {}
        }
        for run in runs.extract_if(.., |run| run.ends_at <= now_ms) {
            let key = key(run.engine);
            alone[run.daemon].end_request(&key);
            alone[run.daemon].unhold(&key, Holder::Own, run.tokens);
            if run.granted
                && cut_until[run.daemon] <= now_ms
                && let Some(grant) = grants.release(address(run.daemon), run.ticket)
            {
                broker.release_grant(&key);
                if tokens(&grant).is_some() {
                    broker.unhold(&key, Holder::Granted, run.tokens);
                }
            }
        }
        for daemon in (0..DAEMONS).filter(|daemon| (now_ms + 17 * *daemon as u64) % 400 < 10) {
            let held = runs.iter().filter(|run| run.daemon == daemon && run.granted);
            let rows: Vec<_> = held.map(|run| (run.ticket, 0, key(run.engine))).collect();
            if !rows.is_empty() && cut_until[daemon] <= now_ms {
                let change = grants.reconcile(now, now, address(daemon), &rows, true);
                change.adopted.iter().for_each(|key| broker.adopt_grant(key));
                change.released.iter().for_each(|key| broker.release_grant(key));
            }
        }
        for grant in grants.expiring(now) {
            let until = grant.payload.map_or(now + ms(10_000), |(_, deadline)| deadline);
            broker.linger(&grant.key, tokens(grant), until);
        }
        grants.expire(now).iter().for_each(|key| broker.release_grant(key));
        let mut sums: HashMap<Key, Sum> = HashMap::new();
        for (key, tokens) in grants.rows().filter_map(|row| Some((&row.key, tokens(row)?))) {
            sums.entry(key.clone()).or_default().add(tokens);
        }
        broker.set_granted(&sums);
        for _ in 0..rng.random_range(0..5) {
            let (daemon, prompt) = (rng.random_range(0..DAEMONS), rng.random_range(200..4_000));
            let granted = cut_until[daemon] <= now_ms;
            let fleet = if granted { &mut broker } else { &mut alone[daemon] };
            if granted {
                fleet.memory.on_asked(now);
            }
            let Choice::Send(key) = choose(fleet, now, prompt, &mut rng) else {
                continue;
            };
            (ticket, served) = (ticket + 1, served + 1);
            let (tokens, span) = (prompt + 100, rng.random_range(500..2_000));
            if granted {
                fleet.grant(now, &key, &[], ms(10));
                fleet.hold(&key, Holder::Granted, tokens);
                let payload = (tokens, now + ms(5_000));
                grants.issue(now, address(daemon), ticket, key.clone(), 0, payload);
            }
            alone[daemon].start_request(now, &key, &[], ms(10));
            alone[daemon].hold(&key, Holder::Own, tokens);
            let engine = number(&key);
            reports.push((now_ms + 100, (!granted).then_some(daemon), engine));
            runs.push(Run { ticket, daemon, granted, engine, tokens, ends_at: now_ms + span });
        }
        for engine in 0..ENGINES {
            let held = runs.iter().filter(|run| run.engine == engine);
            highest = highest.max(held.map(|run| u64::from(run.tokens)).sum());
        }
    }
    (highest, served)
}

/// An engine crashed when its requests together exceeded its memory, which no count of slots shows.
/// Sums of a process's own requests alone forget those of daemons that are cut off, and those that
/// an earlier broker has granted.
#[test]
fn engines_hold_no_more_than_their_memory_while_daemons_and_brokers_are_lost() {
    for fault in [Fault::None, Fault::Killed, Fault::Cut, Fault::Replaced] {
        for seed in 0..4 {
            let (highest, served) = run(seed, fault);
            println!("{fault:?} {seed}: {highest} of {CAPACITY}, {served} requests");
            assert!(highest <= CAPACITY, "{highest} tokens with {fault:?} and seed {seed}");
            assert!(served > 1_500, "{served} requests with {fault:?} and seed {seed}");
        }
    }
}

/// A request that no engine can hold would wait for room until its deadline, or crash one engine
/// after the other.
#[test]
fn request_larger_than_any_engine_is_refused_at_once() {
    let (fleet, rng) = (fleet(2), &mut SmallRng::seed_from_u64(1));
    assert_eq!(choose(&fleet, ms(0), CAPACITY as u32 - 99, rng), Choice::TooLarge);
    let requirements =
        Requirements { prompt_tokens: CAPACITY as u32, output_tokens: u32::MAX, ..REQUIREMENTS };
    assert_eq!(fleet.choose(ms(0), &requirements, true, rng), Choice::TooLarge);
}

/// Where all slots together never fill the memory, a daemon without a broker must not be held to a
/// twenty-fourth of it.
#[test]
fn ample_memory_restricts_nothing() {
    let (mut fleet, rng) = (fleet(1), &mut SmallRng::seed_from_u64(1));
    for _ in 0..SLOTS * 5 / 4 {
        let choice = choose(&fleet, ms(0), 500, rng);
        assert_eq!(choice, Choice::Send(key(0)));
        fleet.start_request(ms(0), &key(0), &[], ms(0));
        fleet.hold(&key(0), Holder::Own, 600);
    }
    assert_eq!(choose(&fleet, ms(0), 500, rng), Choice::Full);
}

/// Two daemons without a broker choose an idle engine within the same round trip. Guards against
/// requests of both that exceed its memory together.
#[test]
fn daemons_without_a_broker_stay_within_their_parts_of_an_idle_engine() {
    let rng = &mut SmallRng::seed_from_u64(1);
    let mut sum = 0;
    for _ in 0..2 {
        let mut fleet = fleet(1);
        fleet.memory.set_daemons(2, 1.0, false);
        if let Choice::Send(_) = choose(&fleet, ms(0), 15_000, rng) {
            sum += 15_100;
        }
    }
    assert!(sum <= CAPACITY, "{sum} tokens");
}
