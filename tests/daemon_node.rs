//! The membership table: which daemons are alive, and whether all others are cut off from the
//! store, so that the lease holder may go on placing models.

use std::time::Duration;

use poplarmux::daemon::node::Table;
use poplarmux::daemon::peer::Heartbeat;
use poplarmux::edge::dialect::Revision;
use poplarmux::table::instance::Node;

const LEASE: Duration = Duration::from_secs(3);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn revision(number: u64) -> Revision {
    Revision { era: 1, number }
}

fn node(name: &str) -> Node {
    let addr = "10.0.0.1:80".parse().expect("an address");
    Node {
        name: name.to_string(),
        front: addr,
        peer: addr,
        region: "r".to_string(),
        data_center: "z".to_string(),
        started_at: 1,
        millicores: 500,
        heartbeat: 1,
        ready: true,
    }
}

fn heartbeat(name: &str, store_unreachable: bool) -> Heartbeat {
    Heartbeat { name: name.to_string(), incarnation: 1, ready: true, store_unreachable, version: 0 }
}

fn table() -> Table {
    let mut table = Table::default();
    table.on_list(
        "me",
        vec![(revision(1), node("me")), (revision(2), node("a")), (revision(3), node("b"))],
        false,
    );
    table
}

/// During a partial outage the store serves only some daemons, and any of these may acquire the
/// lease. So the holder of an old lease must stop once any daemon reports that it reaches the
/// store, or stops sending heartbeats.
#[test]
fn an_outage_ends_once_one_daemon_may_reach_the_store() {
    let mut table = table();
    table.on_heartbeat(ms(100), &heartbeat("a", true));
    assert_eq!(table.outage_until(ms(110), LEASE), None, "b has sent no heartbeat");
    table.on_heartbeat(ms(150), &heartbeat("b", true));
    assert_eq!(table.outage_until(ms(160), LEASE), Some(ms(1_300)));
    assert_eq!(table.outage_until(ms(1_300), LEASE), None, "the report of a has expired");
    table.on_heartbeat(ms(1_400), &heartbeat("a", true));
    table.on_heartbeat(ms(1_400), &heartbeat("b", false));
    assert_eq!(table.outage_until(ms(1_410), LEASE), None, "b reaches the store");
}

/// A daemon that starts during an outage is not in the list, as no daemon can read it. The store
/// may serve only this daemon.
#[test]
fn a_heartbeat_from_an_unknown_daemon_rules_out_an_outage() {
    let mut table = table();
    table.on_heartbeat(ms(100), &heartbeat("new", true));
    table.on_heartbeat(ms(150), &heartbeat("a", true));
    table.on_heartbeat(ms(150), &heartbeat("b", true));
    assert_eq!(table.outage_until(ms(160), LEASE), None);
    table.on_heartbeat(ms(6_200), &heartbeat("a", true));
    table.on_heartbeat(ms(6_200), &heartbeat("b", true));
    assert!(table.outage_until(ms(6_210), LEASE).is_some());
}

/// The registration of a removed instance stays listed for a while. In a later outage of the store,
/// the dead daemon's missing heartbeats ended placement for the whole outage. As its heartbeat
/// number had not risen for several reads while the store answered, it could not acquire the lease
/// before the outage either, and is left out.
#[test]
fn a_daemon_dead_before_the_outage_is_ignored() {
    let mut table = table();
    table.on_heartbeat(ms(100), &heartbeat("b", false));
    for read in 1..=6 {
        let list = vec![
            (revision(1), node("me")),
            (revision(2 + read), node("a")),
            (revision(3), node("b")),
        ];
        table.on_list("me", list, false);
    }
    table.on_heartbeat(ms(20_000), &heartbeat("a", true));
    assert!(table.outage_until(ms(20_010), LEASE).is_some());
    // With a new direct heartbeat it counts again: the store may serve only this daemon.
    table.on_heartbeat(ms(20_015), &heartbeat("b", false));
    assert_eq!(table.outage_until(ms(20_016), LEASE), None);
    // So does a daemon that still wrote heartbeats one read ago, even without direct heartbeats.
    table.on_list(
        "me",
        vec![(revision(1), node("me")), (revision(9), node("a")), (revision(4), node("b"))],
        false,
    );
    table.on_heartbeat(ms(20_020), &heartbeat("a", true));
    assert_eq!(table.outage_until(ms(20_030), LEASE), None);
}

/// A daemon that knows no others can't distinguish an outage from its own disconnection.
#[test]
fn a_daemon_without_peers_assumes_no_outage() {
    assert_eq!(Table::default().outage_until(ms(100), LEASE), None);
}

/// After a power failure of all machines one does not return, but its registration is still listed.
/// The others, which had restarted and received no heartbeats yet, sent callers to it for twelve
/// seconds.
#[test]
fn a_daemon_without_direct_heartbeats_expires_early() {
    let mut table = table();
    assert_eq!(table.live(ms(0)).count(), 2);
    table.on_heartbeat(ms(100), &heartbeat("b", false));
    table.count_missed_checks();
    table.on_heartbeat(ms(2_100), &heartbeat("b", false));
    table.count_missed_checks();
    table.on_heartbeat(ms(4_100), &heartbeat("b", false));
    let live: Vec<&str> = table.live(ms(4_200)).map(|node| node.name.as_str()).collect();
    assert_eq!(live, ["b"]);
    assert_eq!(table.registered().count(), 2, "all daemons still choose the same brokers");
}

/// A daemon on a small machine that places for a whole fleet runs seconds late, so larger live
/// daemons take precedence; a larger daemon that is dead must not block placement.
#[test]
fn only_live_larger_daemons_take_precedence() {
    let mut table = Table::default();
    let large = Node { millicores: 1_000, ..node("a") };
    table.on_list("me", vec![(revision(1), node("me")), (revision(2), large.clone())], false);
    assert!(table.has_larger(ms(0), 500));
    assert!(!table.has_larger(ms(0), 1_000));
    for _ in 0..6 {
        table.on_list("me", vec![(revision(1), node("me")), (revision(2), large.clone())], false);
    }
    assert!(!table.has_larger(ms(9_000), 500), "its heartbeat number has not risen");
}

/// The store is restored from a backup that lacks a recent registration. The daemon is alive, but
/// was taken out of use until it had registered again.
#[test]
fn a_registration_lost_in_a_restore_is_kept_temporarily() {
    let mut table = table();
    table.on_heartbeat(ms(100), &heartbeat("b", false));
    let restored = |number| Revision { era: 2, number };
    table.on_list("me", vec![(restored(1), node("me")), (restored(2), node("a"))], true);
    assert_eq!(table.other_count(), 2);
    // Its new registration is used although its revision number is lower than the previous one.
    table.put(
        "me",
        restored(1),
        Node { front: "10.0.0.2:80".parse().expect("an address"), ..node("b") },
    );
    assert_eq!(table.get("b").map(|node| node.front.to_string()).as_deref(), Some("10.0.0.2:80"));
    // A daemon that does not register again is removed in the end.
    let mut table = self::table();
    table.on_list("me", vec![(restored(1), node("me")), (restored(2), node("a"))], true);
    for _ in 0..6 {
        table.count_missed_checks();
    }
    assert!(table.get("b").is_none());
}

/// Guards against daemons that choose different counters of a quota, as some of them take one that
/// only the store does not reach for dead.
#[test]
fn daemon_that_only_the_store_does_not_reach_stays_reachable() {
    let mut table = table();
    for second in 0..20 {
        table.count_missed_checks();
        table.on_heartbeat(ms(second * 1_000), &heartbeat("a", true));
    }
    let names: Vec<&str> = table.reachable(ms(20_000)).map(|node| node.name.as_str()).collect();
    assert_eq!(names, ["a"]);
    assert_eq!(table.reachable(ms(30_000)).count(), 0);
}
