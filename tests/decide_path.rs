//! When the holder of the lease gives no orders, as they would arrive late.

use std::time::Duration;

use poplarmux::decide::path::Path;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The holder's link is full: orders that leave now would reach their engines after its lease.
#[test]
fn late_answers_in_a_row_hold_orders_back() {
    let mut path = Path::default();
    for took in [60, 170, 300, 300] {
        path.ended(ms(took));
        assert!(!path.late());
    }
    path.ended(ms(900));
    assert!(path.late());
    path.ended(ms(120));
    assert!(!path.late());
}

/// One engine is dark. Orders to all others must go on.
#[test]
fn one_silent_engine_holds_nothing_back() {
    let mut path = Path::default();
    for _ in 0..20 {
        for took in [900, 60, 900, 900, 70] {
            path.ended(ms(took));
            assert!(!path.late());
        }
    }
}
