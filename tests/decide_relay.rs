//! Answers of a reader of the store, and the selection of readers.

use std::time::Duration;

use serde_json::json;

use poplarmux::decide::relay;
use poplarmux::decide::relay::Delta;
use poplarmux::decide::relay::Feed;
use poplarmux::edge::dialect::Change;
use poplarmux::edge::dialect::Object;
use poplarmux::edge::dialect::Revision;
use poplarmux::table::instance::Node;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn revision_of(number: u64) -> Revision {
    Revision { era: 1, number }
}

fn object(name: &str, revision: u64) -> Object {
    Object {
        name: name.to_string(),
        revision: revision_of(revision),
        spec: json!({ "revision": revision }),
    }
}

fn change(name: &str, revision: u64) -> Change {
    Change { object: object(name, revision), removed: false }
}

fn feed() -> Feed {
    let mut feed = Feed::default();
    feed.reset(ms(0), &[object("a", 3), object("b", 7)], revision_of(10));
    feed.push(ms(100), &[change("a", 12)], revision_of(12));
    feed.push(ms(200), &[Change { object: object("b", 7), removed: true }], revision_of(15));
    feed
}

fn nodes(count: usize) -> Vec<Node> {
    let addr = "10.0.0.1:80".parse().expect("an address");
    let node = |index: usize| Node {
        name: format!("n{index}"),
        front: addr,
        peer: addr,
        region: format!("r{}", index % 3),
        data_center: format!("d{}", index % 6),
        started_at: 1,
        millicores: if index.is_multiple_of(10) { 500 } else { 120 },
        heartbeat: 1,
        ready: false,
    };
    (0..count).map(node).collect()
}

/// Guards against a reader whose memory is exhausted by changes of large objects.
#[test]
fn kept_changes_are_no_larger_than_all_objects() {
    let large = |revision: u64| {
        let filler = "a".repeat(1 << 20);
        Object { spec: json!({ "filler": filler }), ..object("a", revision) }
    };
    let mut feed = Feed::default();
    feed.reset(ms(0), &[large(1), object("b", 1)], revision_of(1));
    for number in 2..=20 {
        let changes = [Change { object: large(number), removed: false }];
        feed.push(ms(number * 100), &changes, revision_of(number));
        let sent = feed.since(Some(revision_of(number - 1)));
        assert!(matches!(sent, Delta::Changes(changes) if changes.len() == 1));
        // Two changes are larger than all objects.
        if number > 3 {
            assert!(matches!(feed.since(Some(revision_of(number - 2))), Delta::Snapshot(_)));
        }
    }
    // Small changes are kept again after that.
    for number in 21..=40 {
        feed.push(ms(number * 100), &[change("b", number)], revision_of(number));
    }
    assert!(
        matches!(feed.since(Some(revision_of(21))), Delta::Changes(changes) if changes.len() == 19)
    );
}

/// A daemon that is up to date receives the new changes; one with an unknown revision receives all
/// objects.
#[test]
fn changes_since_a_sent_revision_are_returned() {
    let feed = feed();
    let Delta::Changes(changes) = feed.since(Some(revision_of(10))) else {
        panic!("no changes since revision 10")
    };
    assert_eq!(changes.iter().map(|row| row.removed).collect::<Vec<_>>(), [false, true]);
    let Delta::Changes(changes) = feed.since(Some(revision_of(12))) else {
        panic!("no changes since revision 12")
    };
    assert_eq!(changes[0].object.name, "b");
    assert_eq!(feed.since(Some(revision_of(15))), Delta::Changes(Vec::new()));
    let snapshot = Delta::Snapshot(vec![object("a", 12)]);
    for unknown in [None, Some(revision_of(11)), Some(revision_of(9)), Some(revision_of(16))] {
        assert_eq!(feed.since(unknown), snapshot, "{unknown:?}");
    }
}

/// The store's revision also increases with changes of other kinds. When a reader stayed at the
/// revision of its own last change, daemons that had read the store since considered it outdated,
/// and all kept reading the store.
#[test]
fn watch_without_changes_raises_the_revision() {
    let mut feed = feed();
    feed.push(ms(300), &[], revision_of(40));
    assert_eq!(feed.revision(), revision_of(40));
    assert_eq!(feed.since(Some(revision_of(15))), Delta::Changes(Vec::new()));
    feed.push(ms(400), &[change("c", 41)], revision_of(41));
    assert_eq!(feed.since(Some(revision_of(15))), Delta::Changes(vec![change("c", 41)]));
    assert_eq!(feed.since(Some(revision_of(40))), Delta::Changes(vec![change("c", 41)]));
}

/// A daemon that lags by more batches than are kept must not miss the discarded ones.
#[test]
fn lagging_daemon_receives_all_objects() {
    let mut feed = feed();
    for revision in 16..200 {
        feed.push(ms(revision), &[change("c", revision)], revision_of(revision));
    }
    assert!(matches!(feed.since(Some(revision_of(15))), Delta::Snapshot(_)));
    assert_eq!(feed.since(Some(revision_of(198))), Delta::Changes(vec![change("c", 199)]));
}

/// A reader that lost the store would delay changes, such as leaving endpoints, for as long as
/// daemons poll it. They detect this by the age.
#[test]
fn age_is_time_since_the_last_store_answer() {
    let mut feed = feed();
    assert_eq!(feed.age(ms(700)), Some(ms(500)));
    feed.push(ms(800), &[], revision_of(15));
    assert_eq!(feed.age(ms(900)), Some(ms(100)));
    feed.stop();
    assert_eq!(feed.age(ms(900)), None);
}

/// With any number of daemons few call the store, and all daemons select the same readers.
#[test]
fn region_has_at_most_two_readers() {
    let region = "r1".to_string();
    let names = |nodes: &[Node]| -> Vec<String> {
        relay::readers(nodes.iter(), &region).iter().map(|node| node.name.clone()).collect()
    };
    let mut all = nodes(420);
    let readers = names(&all);
    assert_eq!(readers.len(), 2);
    all.reverse();
    assert_eq!(names(&all), readers);
    all.retain(|node| node.name != readers[0]);
    assert_eq!(names(&all)[0], readers[1], "the second reader becomes the first");
    assert_eq!(names(&nodes(7)).len(), 1);
    assert!(names(&nodes(1)).is_empty(), "the only daemon is in another region");
}

/// A store that was restored from a backup issues the same revisions again. Treating them as the
/// same state would hide changes.
#[test]
fn revision_of_another_era_returns_all_objects() {
    let mut feed = feed();
    feed.reset(ms(300), &[object("a", 11)], Revision { era: 2, number: 12 });
    assert_eq!(feed.since(Some(revision_of(12))), Delta::Snapshot(vec![object("a", 11)]));
    assert!(feed.revision() > revision_of(15));
}
