//! Order of waiting requests between daemons without a broker.

use std::net::SocketAddr;
use std::time::Duration;

use poplarmux::decide::exchange;
use poplarmux::decide::exchange::Exchange;
use poplarmux::decide::exchange::Stamp;
use poplarmux::decide::exchange::Summary;
use poplarmux::decide::share::Teams;
use poplarmux::decide::wait_queue::Place;
use poplarmux::decide::wait_queue::Queue;

/// One gossip round: no slot is kept free for longer.
const ROUND: Duration = Duration::from_millis(250);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn place(share: u8, arrived_at: u64) -> Place {
    let (late_from, arrived_at) = (ms(arrived_at + 5_000), ms(arrived_at));
    Place { priority: 1, route_priority: 0, share, late_from, arrived_at }
}

fn summaries(now: u64, places: impl Iterator<Item = Place>) -> Vec<Summary> {
    let mut queue = Queue::default();
    places.enumerate().for_each(|(id, place)| queue.push(ms(now), id as u64, (7, 9), place, ()));
    exchange::summary(ms(now), &queue, 9, 2.0, 3.0).into_iter().collect()
}

fn stamp(incarnation: u64, number: u32) -> Stamp {
    Stamp { incarnation, number }
}

/// Guards against slots that go to the daemon at which they become free although another request is
/// first, and against offers for a difference in arrival that costs less than the offer.
#[test]
fn slot_goes_to_the_first_request_of_all_daemons() {
    let mut exchange = Exchange::<&str, &str>::default();
    let rows = summaries(1_000, [place(0, 900), place(2, 100)].into_iter());
    exchange.on_summaries(ms(1_000), "b", stamp(1, 1), rows);
    let now = ms(1_010);
    assert_eq!(exchange.first(now, 7, Some(&place(1, 100))), Some(("b", 9)));
    assert_eq!(exchange.first(now, 7, Some(&place(0, 1_000))), None, "arrivals that hardly differ");
    assert_eq!(exchange.first(now, 8, None), None, "another model");
    assert_eq!((exchange.ahead(now, 9, &place(1, 0)), exchange.total(now, 9).count), (1, 2));
    let number = exchange.offer(now, "b", 9, "engine");
    assert_eq!(exchange.first(now, 7, Some(&place(1, 100))), None, "its first one has a slot");
    assert_eq!(exchange.first(now, 7, Some(&place(3, 100))), Some(("b", 9)));
    assert_eq!(exchange.on_declined(&"b", number), Some("engine"));
    assert_eq!(exchange.first(now, 7, None), None, "nothing waits there any more");
    assert_eq!(exchange.on_declined(&"b", number), None, "a repeated datagram");
    assert!(!exchange.has_waiting(ms(2_600)), "not heard for 1.6 s");
}

/// Guards against slots that are kept free, one after another, for a daemon that is gone or does not
/// hear this one.
#[test]
fn slot_is_not_kept_for_a_daemon_that_is_gone() {
    let mut exchange = Exchange::<&str, &str>::default();
    let mut kept = Duration::ZERO;
    for now in (0..4_000).step_by(50) {
        if now % 250 == 0 {
            let rows = summaries(now, [place(0, 0); 20].into_iter());
            exchange.on_summaries(ms(now), "b", stamp(1, now as u32 + 1), rows);
        }
        exchange.take_expired(ms(now));
        let mut offered_at = None;
        while exchange.first(ms(now), 7, Some(&place(9, 0))).is_some() {
            exchange.offer(ms(now), "b", 9, "engine");
            offered_at = Some(now);
        }
        if let Some(offered_at) = offered_at {
            assert!(exchange.take_expired(ms(offered_at) + ROUND - ms(50)).len() == 20);
            kept += ROUND - ms(50);
        }
    }
    assert!(kept <= ROUND * 3, "{kept:?} of 4 s");
}

/// Guards against datagrams that are repeated, late, or of an earlier process.
#[test]
fn repeated_offers_and_old_statements_change_nothing() {
    let mut exchange = Exchange::<&str, &str>::default();
    assert!(exchange.on_offer("b", stamp(5, 3)) && !exchange.on_offer("b", stamp(5, 3)));
    assert!(exchange.on_offer("b", stamp(5, 2)), "overtaken by another one");
    assert!(!exchange.on_offer("b", stamp(4, 9)), "of an earlier process");
    assert!(exchange.on_offer("b", stamp(6, 3)), "of the next process");
    let one = || summaries(0, [place(0, 0)].into_iter());
    exchange.on_summaries(ms(0), "b", stamp(6, 5), one());
    exchange.offer(ms(0), "b", 9, "engine");
    exchange.on_summaries(ms(0), "b", stamp(6, 5), one());
    exchange.on_summaries(ms(0), "b", stamp(6, 4), one());
    assert_eq!(exchange.first(ms(0), 7, None), None);
    assert!(exchange.on_used(&"b", &"engine") && !exchange.on_used(&"b", &"engine"));
}

/// Guards against work of a team that is counted twice as a datagram is repeated, or forgotten as
/// its daemon starts again.
#[test]
fn work_at_another_daemon_is_counted_once() {
    let (from, now) = (SocketAddr::from(([127, 0, 0, 1], 1)), ms(1_000));
    let team = |name: &str| Some(name.to_string());
    let state = |teams: &mut Teams, stamp, work| {
        teams.on_charged(now, from, stamp, "llm", vec![(team("large"), work)]);
    };
    let mut teams = Teams::default();
    for name in ["a", "b", "c"] {
        teams.charge(now, "llm", &team(name), 10.0);
    }
    state(&mut teams, stamp(1, 2), 10.0);
    for _ in 0..5 {
        state(&mut teams, stamp(1, 2), 10.0);
        state(&mut teams, stamp(1, 1), 90.0);
        state(&mut teams, stamp(1, 3), f64::NAN);
    }
    assert_eq!(teams.rank(now, "llm", &team("large")), 0, "as much as the others");
    state(&mut teams, stamp(2, 1), 90.0);
    let large = teams.rank(now, "llm", &team("large"));
    assert!(large > 0 && teams.rank(now, "llm", &team("a")) == 0, "{large}");
    assert_eq!(teams.charged(now, "llm", 9).len(), 3, "only what it has charged itself");
}

/// Guards against statements that grow with the queue, and against positions that are far off.
#[test]
fn statement_about_a_thousand_requests_is_small() {
    let places = || (0..1_000).map(|row| place((row / 100) as u8, row));
    let rows = summaries(2_000, places());
    assert!(postcard::to_stdvec(&rows).is_ok_and(|bytes| bytes.len() < 250));
    let mut exchange = Exchange::<&str, &str>::default();
    exchange.on_summaries(ms(2_000), "b", stamp(1, 1), rows);
    for exact in [0_usize, 1, 5, 30, 80] {
        let ahead = exchange.ahead(ms(2_000), 9, &place(0, exact as u64));
        assert!(ahead >= exact && ahead <= exact + exact / 3 + 1, "{ahead} for {exact}");
    }
    assert_eq!(exchange.ahead(ms(2_000), 9, &place(20, 0)), 1_000);
}
