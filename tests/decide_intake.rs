//! Tests of the choice of the incomplete request that is refused to receive another one.

use std::time::Duration;

use poplarmux::decide::intake::Incoming;
use poplarmux::decide::intake::select_refused;

fn row(number: u64, bytes: usize, since_ms: u64) -> Incoming {
    Incoming { number, bytes, since: Duration::from_millis(since_ms) }
}

fn selected(now_ms: u64, rows: &[Incoming]) -> Option<u64> {
    let now = Duration::from_millis(now_ms);
    select_refused(now, rows.iter().copied()).map(|row| row.number)
}

/// Guards against bodies that never end and exclude small requests for as long as they may take.
#[test]
fn a_small_new_request_does_not_give_way_to_old_large_ones() {
    let mut rows: Vec<Incoming> = (1..=20).map(|number| row(number, 100_000, number)).collect();
    rows.push(row(21, 1_000, 4_990));
    assert_eq!(selected(5_000, &rows), Some(1));
}

/// Guards against a body that is kept because a few bytes arrive now and then.
#[test]
fn an_old_request_gives_way_before_a_new_one_of_its_size() {
    assert_eq!(selected(5_000, &[row(1, 50_000, 4_000), row(2, 50_000, 100)]), Some(2));
    assert_eq!(selected(5_000, &[row(1, 50_000, 100), row(2, 50_000, 100)]), Some(1));
}

/// Guards against refusals that free nothing.
#[test]
fn requests_without_bytes_are_not_refused() {
    assert_eq!(selected(5_000, &[row(1, 0, 0), row(2, 1, 4_999)]), Some(2));
    assert_eq!(selected(5_000, &[row(1, 0, 0)]), None);
}
