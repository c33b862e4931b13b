//! When a body that is passed on as it arrives is cut off.

use std::time::Duration;

use poplarmux::decide::body::Cutoff;

const DEADLINE: Duration = Duration::from_secs(10);

/// Guards against a stream that goes on beyond its deadline as its endpoint always has more to send.
#[test]
fn body_without_end_is_cut_off_after_its_deadline() {
    let step = Duration::from_millis(1);
    let mut cutoff = Cutoff::new(DEADLINE);
    let end = (0..12_000).map(|number| step * number).find(|&now| cutoff.is_due(now));
    let end = end.expect("an end");
    assert!(end > DEADLINE && end <= DEADLINE + Duration::from_millis(200), "{end:?}");
}

/// Guards against the loss of data that arrived in time, while the process did not run until long
/// after the deadline.
#[test]
fn data_that_waited_for_a_stalled_process_is_passed_on() {
    let mut cutoff = Cutoff::new(DEADLINE);
    assert!(!cutoff.is_due(Duration::from_secs(9)));
    let resumed_at = DEADLINE + Duration::from_secs(3);
    assert!(!cutoff.is_due(resumed_at));
    assert!(!cutoff.is_due(resumed_at + Duration::from_millis(20)));
}

/// Guards against an underflow if the clock that is passed in goes back.
#[test]
fn earlier_time_after_the_deadline_is_not_due() {
    let mut cutoff = Cutoff::new(DEADLINE);
    assert!(!cutoff.is_due(DEADLINE + Duration::from_secs(1)));
    assert!(!cutoff.is_due(DEADLINE));
}
