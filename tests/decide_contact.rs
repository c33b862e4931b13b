//! Tests of how a daemon finds out which endpoints it has lost, and reaches them through others.

use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use poplarmux::decide::contact;
use poplarmux::decide::contact::Evidence;
use poplarmux::decide::contact::Path;
use poplarmux::decide::endpoint::Requirements;
use poplarmux::decide::fleet::Choice;
use poplarmux::decide::fleet::Fleet;
use poplarmux::table::instance::Copies;
use poplarmux::table::instance::Instance;
use poplarmux::table::instance::Key;
use poplarmux::table::instance::State;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn key(index: usize) -> Key {
    Key { id: format!("i-{index}"), born: 1 }
}

/// Returns a fleet of so many endpoints of a plain service.
fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new("r".into(), "z".into(), [("z".into(), "r".into())].into());
    for index in 0..count {
        let instance = Instance {
            key: key(index),
            service: "plain".to_string(),
            software: "v1".to_string(),
            address: "10.0.0.1:80".parse().expect("an address"),
            data_center: "z".to_string(),
            slots: 6,
            state: State::Live,
            warmup: Duration::ZERO,
            remaining: None,
            resident: Vec::new(),
            copies: Copies::default(),
            heartbeat: 1,
        };
        assert!(fleet.put(Duration::ZERO, instance));
    }
    fleet
}

fn choose(fleet: &Fleet, now: Duration) -> Choice {
    let requirements = Requirements {
        service: "plain",
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
    fleet.choose(now, &requirements, false, &mut SmallRng::seed_from_u64(1))
}

fn path(fleet: &Fleet, index: usize) -> Path {
    fleet.get(&key(index)).expect("an endpoint").path()
}

/// Guards against refusing requests for endpoints that only this daemon has lost.
#[test]
fn lost_endpoint_is_used_if_there_is_no_other() {
    let mut fleet = fleet(2);
    fleet.lose_contact(ms(0), &key(0));
    assert_eq!(choose(&fleet, ms(1)), Choice::Send(key(1)));
    fleet.lose_contact(ms(1), &key(1));
    assert!(matches!(choose(&fleet, ms(2)), Choice::Send(_)));
}

/// Guards against sending requests to an endpoint that no daemon reaches.
#[test]
fn endpoint_that_others_do_not_reach_either_is_not_used() {
    let mut fleet = fleet(1);
    fleet.lose_contact(ms(0), &key(0));
    fleet.record_unreachable(ms(10), &key(0));
    assert_eq!(choose(&fleet, ms(20)), Choice::NoEndpoint);
    assert_eq!(path(&fleet, 0), Path::Direct);
    assert!(fleet.take_due_probes(ms(5_000), &mut SmallRng::seed_from_u64(1)).is_empty());
}

/// Guards against taking failed endpoints for lost ones, and handing duties over because of them.
#[test]
fn daemon_is_isolated_only_if_others_reach_what_it_has_lost() {
    let mut fleet = fleet(4);
    for index in 0..4 {
        fleet.lose_contact(ms(0), &key(index));
    }
    assert!(!fleet.is_isolated());
    fleet.record_forwarded(&key(0));
    fleet.record_forwarded(&key(1));
    assert!(fleet.is_isolated());
    for index in 2..4 {
        fleet.record_connect(ms(10), &key(index), ms(1));
    }
    assert!(!fleet.is_isolated());
}

/// Guards against taking all endpoints for lost while connections to some of them open.
#[test]
fn one_open_connection_contradicts_the_loss_of_all() {
    let mut fleet = fleet(4);
    fleet.lose_contact(ms(0), &key(0));
    fleet.lose_contact(ms(1), &key(1));
    assert!(fleet.evidence(ms(2)).is_suspicious());
    fleet.record_connect(ms(5), &key(2), ms(1));
    assert!(!fleet.evidence(ms(6)).is_suspicious());
    fleet.lose_all_contact(ms(7), ms(3));
    assert_eq!(path(&fleet, 3), Path::Direct);
    fleet.lose_all_contact(ms(20), ms(10));
    assert_eq!(path(&fleet, 3), Path::Unconfirmed);
}

/// Guards against a suspicion while requests are answered, and against none while nothing comes.
#[test]
fn silence_of_several_endpoints_is_suspicious() {
    let mut fleet = fleet(3);
    for index in 0..2 {
        fleet.start_request(ms(0), &key(index), &[], Duration::ZERO);
    }
    assert!(!fleet.evidence(contact::SILENCE_TIMEOUT - ms(1)).is_suspicious());
    assert!(fleet.evidence(contact::SILENCE_TIMEOUT).is_suspicious());
    fleet.record_received(ms(300));
    assert!(!fleet.evidence(contact::SILENCE_TIMEOUT).is_suspicious());
}

/// Guards against waiting long for the other endpoints when the first of them is reached again.
#[test]
fn endpoints_are_tried_at_once_when_another_one_is_reached_again() {
    let mut fleet = fleet(3);
    let mut rng = SmallRng::seed_from_u64(1);
    for index in 0..3 {
        fleet.lose_contact(ms(0), &key(index));
    }
    assert!(fleet.take_due_probes(ms(1), &mut rng).is_empty());
    assert_eq!(fleet.take_due_probes(ms(10_000), &mut rng).len(), 3);
    assert!(fleet.take_due_probes(ms(10_001), &mut rng).is_empty());
    fleet.record_connect(ms(10_002), &key(0), ms(1));
    assert_eq!(fleet.take_due_probes(ms(10_002), &mut rng).len(), 2);
}

proptest! {
    /// Guards against connections that are tried ever more often, or not within the time after
    /// which callers may notice.
    #[test]
    fn probes_become_rarer_but_do_not_end(probes in 1_u32..1_000) {
        let interval = contact::probe_interval(probes);
        prop_assert!(interval >= contact::probe_interval(probes - 1));
        prop_assert!(interval < Duration::from_secs(4));
    }

    /// Guards against a suspicion that a single endpoint raises while there are others.
    #[test]
    fn one_of_several_endpoints_is_not_suspicious(known in 2_usize..600, quiet_ms in 0_u64..60_000) {
        let evidence = Evidence { known, lost: 1, silent: 0, quiet_for: ms(quiet_ms) };
        prop_assert!(!evidence.is_suspicious());
    }
}
