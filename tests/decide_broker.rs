//! Selection of the broker of a service, and its bookkeeping of grants at engines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use poplarmux::decide::broker;
use poplarmux::decide::broker::Change;
use poplarmux::decide::broker::Grants;
use poplarmux::decide::broker::Suspects;
use poplarmux::decide::endpoint::Requirements;
use poplarmux::decide::fleet::Choice;
use poplarmux::decide::fleet::Fleet;
use poplarmux::edge::dialect::Load;
use poplarmux::table::instance::Copies;
use poplarmux::table::instance::Instance;
use poplarmux::table::instance::Key;
use poplarmux::table::instance::Node;
use poplarmux::table::instance::Resident;
use poplarmux::table::instance::State;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn addr(number: usize) -> SocketAddr {
    ([10, 0, (number / 200) as u8, (number % 200) as u8], 7_000).into()
}

fn key(id: &str) -> Key {
    Key { id: id.to_string(), born: 1 }
}

fn nodes(count: usize) -> Vec<Node> {
    let node = |number: usize| Node {
        name: format!("n{number}"),
        front: addr(number),
        peer: addr(number),
        region: format!("r{}", number % 3),
        data_center: format!("d{}", number % 6),
        started_at: 1,
        millicores: if number.is_multiple_of(10) { 500 } else { 120 },
        heartbeat: 1,
        ready: true,
    };
    (0..count).map(node).collect()
}

fn broker(nodes: &[Node], service: &str) -> Option<String> {
    let region = "r1".to_string();
    broker::pick(nodes.iter(), &region, service, |_| false).map(|node| node.name.clone())
}

fn brokers(nodes: &[Node]) -> Vec<String> {
    (0..260).map(|number| broker(nodes, &format!("s{number}")).expect("a broker")).collect()
}

/// When a daemon joins or leaves, only the services that move to it or away from it change their
/// broker; all others stay at the broker that has their grants.
#[test]
fn membership_change_moves_only_services_of_the_changed_daemon() {
    let all = nodes(195);
    let before = brokers(&all);
    let mut others = all.clone();
    others.retain(|node| node.name != before[0]);
    for (after, before_one) in brokers(&others).iter().zip(&before) {
        assert!(after == before_one || *before_one == before[0]);
    }
    let mut counts: HashMap<&String, usize> = HashMap::new();
    for name in &before {
        *counts.entry(name).or_default() += 1;
    }
    let brokers = || all.iter().filter(|node| counts.contains_key(&node.name));
    assert!(brokers().all(|node| node.region == "r1"));
    let large = brokers().filter(|node| node.millicores == 500);
    let large: usize = large.map(|node| counts[&node.name]).sum();
    assert!(large > 240, "small machines are the broker of {} of 260 services", 260 - large);
}

/// A daemon that is stopping takes no new callers and must not remain a broker.
#[test]
fn stopping_daemon_is_not_selected() {
    let mut all = nodes(9);
    let name = broker(&all, "s");
    all.iter_mut()
        .filter(|node| Some(&node.name) == name.as_ref())
        .for_each(|node| node.ready = false);
    assert_ne!(broker(&all, "s"), name);
    all.iter_mut().for_each(|node| node.ready = false);
    assert_eq!(broker(&all, "s"), None);
}

/// While a killed broker does not answer, the daemons of its region use the next one. Without it,
/// each selected engines by itself.
#[test]
fn suspected_broker_is_skipped() {
    let all = nodes(30);
    let region = "r1".to_string();
    let first = broker::pick(all.iter(), &region, "s", |_| false).expect("a broker");
    let next =
        broker::pick(all.iter(), &region, "s", |addr| addr == first.peer).expect("another broker");
    assert_ne!(first.name, next.name);
}

/// The end of a request is sent in one datagram. If it is lost, the slot must not stay occupied
/// forever.
#[test]
fn grant_missing_from_complete_list_is_released() {
    let mut grants = Grants::<()>::default();
    for ticket in 1..=2 {
        grants.issue(ms(0), addr(1), ticket, key("e"), 7, ());
    }
    let listed = [(2, 7, key("e"))];
    assert_eq!(
        grants.reconcile(ms(100), ms(100), addr(1), &listed, true),
        Change::default(),
        "the list may have been sent before the grant arrived"
    );
    let change = grants.reconcile(ms(600), ms(600), addr(1), &listed, true);
    assert_eq!(change.released, [key("e")]);
    assert_eq!(
        grants.reconcile(ms(700), ms(700), addr(2), &[], true),
        Change::default(),
        "the list of another daemon"
    );
    assert!(grants.get(addr(1), 2).is_some());
}

/// A broker that has stood still reads lists from before its grants arrived.
#[test]
fn list_that_is_read_late_releases_no_grant() {
    let mut grants = Grants::<()>::default();
    grants.issue(ms(0), addr(1), 1, key("e"), 7, ());
    assert_eq!(grants.reconcile(ms(2_000), ms(100), addr(1), &[], true), Change::default());
    assert_eq!(grants.reconcile(ms(2_010), ms(2_005), addr(1), &[], true).released, [key("e")]);
}

/// A daemon may have more streams than one datagram can list, and then sends partial lists. When
/// such a daemon sent no list, its grants were released while they ran, and the engines that it
/// filled counted as idle.
#[test]
fn partial_lists_release_no_grants() {
    let mut grants = Grants::<()>::default();
    for ticket in 1..=2 {
        grants.issue(ms(0), addr(1), ticket, key("e"), 7, ());
    }
    for ticket in 1..=2 {
        let change =
            grants.reconcile(ms(1_000), ms(1_000), addr(1), &[(ticket, 7, key("e"))], false);
        assert_eq!(change, Change::default());
    }
    assert!(grants.expire(ms(2_000)).is_empty());
    // A grant whose end was lost appears in no part.
    grants.reconcile(ms(2_000), ms(2_000), addr(1), &[(1, 7, key("e"))], false);
    assert_eq!(grants.expire(ms(3_000)), [key("e")]);
    assert_eq!(grants.len(), 1);
}

/// When a daemon is killed with requests at an engine, the engine's slots become free again.
#[test]
fn grants_of_unresponsive_daemon_expire() {
    let mut grants = Grants::<()>::default();
    grants.issue(ms(0), addr(1), 1, key("e"), 7, ());
    assert!(grants.expire(ms(1_000)).is_empty());
    grants.reconcile(ms(1_000), ms(1_000), addr(1), &[(1, 7, key("e"))], true);
    assert!(grants.expire(ms(2_000)).is_empty());
    assert_eq!(grants.expire(ms(3_000)), [key("e")]);
    assert!(grants.is_empty());
}

/// A new broker must not treat full engines as idle, so it adopts the grants that daemons list.
#[test]
fn new_broker_adopts_listed_grants() {
    let mut grants = Grants::<()>::default();
    let listed = [(1, 7, key("e")), (2, 7, key("f"))];
    assert_eq!(
        grants.reconcile(ms(0), ms(0), addr(1), &listed, true).adopted,
        [key("e"), key("f")]
    );
    assert!(grants.reconcile(ms(10), ms(10), addr(1), &listed, true).adopted.is_empty());
    let grant = grants.release(addr(1), 1).expect("an adopted grant");
    assert_eq!((grant.key, grant.payload), (key("e"), None));
}

/// Without a suspicion, callers waited for a killed broker one after the other.
#[test]
fn suspicion_of_a_broker_expires() {
    let mut suspects = Suspects::default();
    suspects.add(ms(0), addr(1));
    assert!(suspects.has(ms(1_900), addr(1)));
    assert!(!suspects.has(ms(1_900), addr(2)));
    assert!(!suspects.has(ms(2_100), addr(1)));
}

const SLOTS: u32 = 12;

/// Engines of one region at which the model is resident.
fn fleet(engines: usize) -> Fleet {
    let regions = [("a1".to_string(), "a".to_string())];
    let mut fleet = Fleet::new("a".to_string(), "a1".to_string(), regions.into());
    for number in 0..engines {
        let instance = Instance {
            key: key(&format!("e{number}")),
            service: "llm".to_string(),
            software: "v1".to_string(),
            address: addr(number),
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
    fleet
}

const REQUIREMENTS: Requirements<'static> = Requirements {
    service: "llm",
    model: Some("m"),
    adapter: None,
    adapter_slots: 8,
    prompt_tokens: 700,
    output_tokens: 0,
    parts: &[],
    max_pause: None,
    tried: &[],
    excluded: None,
    required_region: None,
    software: None,
};

/// Two hundred daemons send three requests each within a second. When each daemon decided by
/// itself, the engines that looked best to all of them got up to five times their slots, while
/// others had free slots.
#[test]
fn burst_is_spread_over_engines_with_the_model() {
    const ENGINES: usize = 33;
    let mut rng = SmallRng::seed_from_u64(7);
    let mut fleet = fleet(ENGINES);
    let mut loads: HashMap<String, u32> = HashMap::new();
    let mut refused = 0;
    for now_ms in 0..600 {
        match fleet.choose(ms(now_ms), &REQUIREMENTS, true, &mut rng) {
            Choice::Send(key) => {
                fleet.grant(ms(now_ms), &key, &[], ms(18));
                *loads.entry(key.id).or_default() += 1;
            }
            Choice::Full => refused += 1,
            other => panic!("{other:?}"),
        }
        if now_ms == 200 {
            let highest = loads.values().max().expect("a grant");
            let mean = 201.0 / ENGINES as f64;
            assert!(
                f64::from(*highest) < mean * 1.5,
                "the busiest has {highest}, the mean is {mean}"
            );
        }
    }
    assert!(loads.values().all(|load| *load <= SLOTS * 5 / 4), "{loads:?}");
    assert_eq!(loads.values().sum::<u32>() + refused, 600);
    // A released slot is granted to the next request.
    fleet.release_grant(&key("e3"));
    let next = fleet.choose(ms(700), &REQUIREMENTS, true, &mut rng);
    assert_eq!(next, Choice::Send(key("e3")));
}

/// The broker of another region reports that an engine there has a free slot. Until its next
/// report, only as many waiting requests may be sent there as fit.
#[test]
fn forwarded_requests_count_until_the_next_load_report() {
    let mut fleet = fleet(1);
    let key = key("e0");
    fleet.on_load_report(ms(0), &key, Load { running: SLOTS, waiting: 0, ..Load::default() });
    for _ in 0..3 {
        assert_eq!(
            fleet.choose(ms(10), &REQUIREMENTS, true, &mut SmallRng::seed_from_u64(7)),
            Choice::Send(key.clone())
        );
        fleet.expect_grant(&key);
    }
    assert_eq!(
        fleet.choose(ms(10), &REQUIREMENTS, true, &mut SmallRng::seed_from_u64(7)),
        Choice::Full
    );
}
