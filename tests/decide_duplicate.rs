//! Messages that are delivered more than once.

use std::time::Duration;

use poplarmux::decide::duplicate::Filter;
use poplarmux::decide::duplicate::RETENTION;

/// A repeated message is recognized for as long as promised, whenever the first one came, and one
/// that is kept does not make others unknown.
#[test]
fn repeated_message_is_recognized_within_the_retention() {
    let step = Duration::from_millis(50);
    let mut filter = Filter::default();
    for number in 0_u32..1_000 {
        let now = step * number;
        assert!(filter.insert(now, number), "{number} is new");
        let oldest = now.saturating_sub(RETENTION).as_millis() / step.as_millis();
        for earlier in oldest as u32..=number {
            assert!(!filter.insert(now, earlier), "{earlier} is known at {number}");
        }
    }
}

/// Messages are not kept for good.
#[test]
fn message_is_forgotten() {
    let mut filter = Filter::default();
    assert!(filter.insert(Duration::ZERO, 1));
    assert!(!filter.insert(RETENTION, 1));
    assert!(filter.insert(RETENTION * 3, 1));
    let mut filter = Filter::default();
    assert!(filter.insert(Duration::ZERO, 1));
    assert!(filter.insert(RETENTION + Duration::from_secs(1), 2));
    assert!(!filter.insert(RETENTION + Duration::from_secs(1), 1));
    assert!(filter.insert(RETENTION * 2 + Duration::from_secs(2), 1));
}
