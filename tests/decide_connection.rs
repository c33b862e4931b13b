//! Tests of the bound on accepted connections, and of the choice of the one that is closed.

use std::time::Duration;

use strum::IntoEnumIterator;

use poplarmux::decide::connection;
use poplarmux::decide::connection::Number;
use poplarmux::decide::connection::Port;
use poplarmux::decide::connection::RECEIVE_BUFFER_BYTES;
use poplarmux::decide::connection::Table;
use poplarmux::decide::connection::Verdict;

const MAX: usize = 64;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Opens connections at a port until it has no room; returns their number.
fn fill(table: &mut Table, port: Port, from: Number) -> usize {
    let mut number = from;
    while table.judge(port) == Verdict::Keep {
        table.add(port, number, at(number));
        number += 1;
    }
    (number - from) as usize
}

/// Guards against connections that take more memory or descriptors than the smallest machine has.
#[test]
fn connections_fit_into_memory_and_descriptors() {
    let memory = 120_000_000;
    let max = connection::max_connections(Some(memory), Some(3_075));
    assert!(max * (2 * RECEIVE_BUFFER_BYTES + 16_384) <= memory / 4, "{max}");
    assert!(max >= 500, "{max}");
    assert_eq!(connection::max_connections(Some(1 << 40), Some(1_000)), 500);
    assert_eq!(connection::max_connections(Some(0), Some(0)), 1);
}

/// Guards against a crowd at one port that excludes the clients of another.
#[test]
fn each_port_keeps_its_reserved_connections() {
    for crowded in Port::iter() {
        let mut table = Table::new(MAX, Port::iter());
        let mut open = fill(&mut table, crowded, 1);
        for (index, port) in Port::iter().enumerate().filter(|(_, port)| *port != crowded) {
            let more = fill(&mut table, port, 1_000 * (index as u64 + 1));
            assert!(more >= 2, "{more} at {port:?} beside {crowded:?}");
            open += more;
        }
        assert!(open <= MAX, "{open}");
    }
}

/// Guards against a crowd that keeps ordinary clients out by holding connections.
#[test]
fn the_connection_that_waits_longest_gives_way() {
    let mut table = Table::new(MAX, [Port::Callers]);
    assert_eq!(fill(&mut table, Port::Callers, 1), MAX);
    assert_eq!(table.judge(Port::Callers), Verdict::Replace(1));
    table.remove(Port::Callers, 1, Some(at(1)));
    assert_eq!(table.judge(Port::Callers), Verdict::Keep);
    table.add(Port::Callers, 100, at(100));
    // The next one has sent its request, and waits for the next one since.
    table.set_waiting(Port::Callers, 2, Some(at(2)), None);
    assert_eq!(table.judge(Port::Callers), Verdict::Replace(3));
    table.set_waiting(Port::Callers, 2, None, Some(at(150)));
    assert_eq!(table.judge(Port::Callers), Verdict::Replace(3));
}

/// Guards against requests that are cut off while they are answered, as others arrive.
#[test]
fn connections_with_answers_are_not_closed() {
    let mut table = Table::new(MAX, [Port::Callers]);
    let open = fill(&mut table, Port::Callers, 1) as u64;
    for number in 1..=open {
        table.set_waiting(Port::Callers, number, Some(at(number)), None);
    }
    assert_eq!(table.judge(Port::Callers), Verdict::Close);
}
