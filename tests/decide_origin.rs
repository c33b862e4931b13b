//! Where streams began: how long it is known, by whom, and where it may be asked.

use std::collections::HashSet;
use std::time::Duration;

use proptest::prelude::*;

use poplarmux::decide::origin;
use poplarmux::decide::origin::CANDIDATES;
use poplarmux::decide::origin::Origin;
use poplarmux::decide::origin::REPLICAS;
use poplarmux::decide::origin::Table;
use poplarmux::table::instance::Node;

/// Daemons of the largest fleet that is planned for.
const TARGET_DAEMONS: usize = 420;
/// Bound on the origins that a daemon keeps.
const MAX_ROWS: u64 = 65_536;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn origin(software: &str) -> Origin {
    Origin { service: "llm".to_string(), software: software.to_string() }
}

fn nodes(count: usize) -> Vec<Node> {
    let node = |index: usize| {
        let addr = ([10, 0, (index >> 8) as u8, index as u8], 7380).into();
        Node {
            name: format!("front-{index}"),
            front: addr,
            peer: addr,
            region: "r".to_string(),
            data_center: "z".to_string(),
            started_at: 1,
            millicores: 250,
            heartbeat: 1,
            ready: true,
        }
    };
    (0..count).map(node).collect()
}

fn names<'a>(nodes: impl Iterator<Item = &'a Node>, id: u64, count: usize) -> Vec<String> {
    origin::select(nodes, id, count).into_iter().map(|node| node.name.clone()).collect()
}

/// Guards against a stream that goes on after its caller has given up and its id may come again.
#[test]
fn origin_is_known_until_its_caller_has_given_up() {
    let mut table = Table::default();
    table.insert(ms(0), 7, &origin("v1"), ms(1_000));
    assert_eq!(table.get(ms(400), 7), Some((&origin("v1"), ms(600))));
    assert_eq!(table.get(ms(1_000), 7), None);
    table.insert(ms(2_000), 8, &origin("v1"), ms(1_000));
    assert_eq!(table.len(), 1);
}

/// Guards against a stream whose origin is forgotten although it goes on.
#[test]
fn origin_that_is_stated_again_is_kept_for_longer() {
    let mut table = Table::default();
    table.insert(ms(0), 7, &origin("v1"), ms(1_000));
    table.insert(ms(500), 7, &origin("v1"), ms(1_000));
    table.insert(ms(600), 7, &origin("v1"), ms(10));
    assert_eq!(table.get(ms(1_400), 7), Some((&origin("v1"), ms(100))));
}

/// Guards against a stream that goes on at one of two versions, as two attempts have the same id.
#[test]
fn stream_of_two_origins_has_none() {
    let mut table = Table::default();
    for software in ["v1", "v2", "v2"] {
        table.insert(ms(0), 7, &origin(software), ms(1_000));
    }
    assert_eq!(table.get(ms(10), 7), None);
    assert_eq!(table.iter(ms(10)).count(), 0);
}

/// Guards against a daemon that runs out of memory when callers state that they wait for days.
#[test]
fn number_of_origins_is_bounded() {
    let mut table = Table::default();
    for id in 0..=MAX_ROWS {
        table.insert(ms(id), id, &origin("v1"), Duration::MAX);
    }
    assert_eq!(table.len() as u64, MAX_ROWS);
    // The one that expires first is dropped.
    assert_eq!(table.get(ms(MAX_ROWS), 0), None);
    assert!(table.get(ms(MAX_ROWS), 1).is_some());
    assert_eq!(table.get(Duration::from_secs(3_600), 1), None);
}

/// Guards against streams whose origins most daemons can't find after a rack has failed at once, or
/// daemons have been added, as other daemons are asked than were told.
#[test]
fn origins_are_found_after_the_membership_has_changed() {
    let all = nodes(TARGET_DAEMONS);
    for (lost, added) in [(0, 0), (20, 0), (0, 20), (20, 20)] {
        let now = &all[lost..];
        let before = &all[..TARGET_DAEMONS - added];
        let alive: HashSet<&str> = now.iter().map(|node| node.name.as_str()).collect();
        let mut unknown = 0;
        let streams = 1_000;
        for id in 0..streams {
            let told = names(before.iter(), id, REPLICAS);
            let asked = names(now.iter(), id, CANDIDATES);
            let is_known =
                told.iter().any(|name| alive.contains(name.as_str()) && asked.contains(name));
            unknown += u64::from(!is_known);
        }
        assert!(unknown * 50 <= streams, "{lost} lost, {added} added: {unknown} of {streams}");
    }
}

proptest! {
    /// Guards against daemons that ask others than were told although their lists are equal.
    #[test]
    fn selection_depends_on_members_and_not_on_their_order(
        id: u64,
        count in 1_usize..60,
        shift in 0_usize..60,
    ) {
        let all = nodes(count);
        let mut rotated = all.clone();
        rotated.rotate_left(shift % count);
        let told = names(all.iter(), id, REPLICAS);
        let asked = names(rotated.iter(), id, CANDIDATES);
        prop_assert_eq!(told.len(), REPLICAS.min(count));
        prop_assert_eq!(&asked[..told.len()], &told[..]);
    }
}
