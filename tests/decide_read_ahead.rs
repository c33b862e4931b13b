//! Tests of the decision whose stream is ended when slow callers hold too much.

use std::time::Duration;

use poplarmux::decide::read_ahead::Bounds;
use poplarmux::decide::read_ahead::Cause;
use poplarmux::decide::read_ahead::Holding;
use poplarmux::decide::read_ahead::MAX_FULL_TIME;
use poplarmux::decide::read_ahead::select_ended;

const NOW: Duration = Duration::from_secs(100);
const BOUNDS: Bounds = Bounds { stream: 400, total: 1_000 };

fn holding(number: u64, bytes: usize, behind_secs: u64) -> Holding {
    let behind_since = NOW - Duration::from_secs(behind_secs);
    Holding { number, bytes, behind_since, full_since: None }
}

fn ended(holdings: &[Holding], other_bytes: usize) -> Vec<(u64, Cause)> {
    select_ended(NOW, holdings, other_bytes, BOUNDS)
}

/// Guards against ending a stream that is short or has just fallen behind before one that holds much
/// for long, and against ending any that fits into the memory.
#[test]
fn streams_that_hold_the_most_for_the_longest_time_are_ended_first() {
    assert_eq!(ended(&[holding(1, 400, 90), holding(2, 400, 1)], 200), []);
    let rows = [holding(1, 300, 1), holding(2, 200, 10), holding(3, 350, 5), holding(4, 250, 7)];
    assert_eq!(ended(&rows, 0), [(2, Cause::TotalFull)]);
    let expected = [3, 4].map(|number| (number, Cause::TotalFull));
    assert_eq!(ended(&[rows[0], rows[2], rows[3]], 650), expected);
    let equal = [holding(8, 300, 2), holding(7, 600, 1), holding(9, 200, 3)];
    assert_eq!(ended(&equal, 0), [(7, Cause::TotalFull)]);
}

/// Guards against an engine that cuts off a stream as its caller never reads on, which counts as a
/// crash of the engine, and against ending a stream at once that is full for a moment.
#[test]
fn stream_that_stays_full_is_ended() {
    let full = |secs: f64| Holding {
        full_since: Some(NOW - MAX_FULL_TIME.mul_f64(secs)),
        ..holding(1, 400, 3)
    };
    assert_eq!(ended(&[full(0.9)], 0), []);
    assert_eq!(ended(&[full(1.0)], 0), [(1, Cause::StreamFull)]);
    // What it holds is free then.
    let rows = [full(1.0), holding(2, 400, 50), holding(3, 400, 50)];
    assert_eq!(ended(&rows, 200), [(1, Cause::StreamFull)]);
}

/// Guards against bounds that the smallest machines cannot hold.
#[test]
fn bounds_leave_most_of_the_memory_to_the_rest() {
    let bounds = Bounds::from_memory(Some(120_000_000));
    assert_eq!(bounds, Bounds { stream: 3_750_000, total: 30_000_000 });
}
