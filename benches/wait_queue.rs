//! Time to add a request to the wait queue, to find its position and to take the first one, by number
//! of waiting requests of 1,000 teams.

use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use poplarmux::decide::wait_queue::Place;
use poplarmux::decide::wait_queue::Queue;

/// Classes of the waiting requests: one, and as many as a fleet has models in great demand.
const CLASSES: [u64; 2] = [1, 50];

fn place(number: u64) -> Place {
    Place {
        priority: (number % 3) as u8,
        route_priority: 0,
        share: (number % 1_000 % 5) as u8,
        late_from: Duration::from_micros(number * 300 + 500_000),
        arrived_at: Duration::from_micros(number * 300),
    }
}

/// Returns a queue at the time at which most of its requests have just become late.
fn queue(waiting: u64, classes: u64) -> (Queue<u64>, Duration) {
    let mut queue = Queue::default();
    for number in 0..waiting {
        let class = number % classes;
        queue.push(Duration::ZERO, number, (class, class), place(number), number);
    }
    let now = place(waiting * 2 / 3).late_from;
    queue.advance(now);
    (queue, now)
}

fn run(c: &mut Criterion) {
    for classes in CLASSES {
        let mut group = c.benchmark_group(format!("{classes} classes"));
        for waiting in [1_000, 10_000, 40_000] {
            let (mut queue, now) = queue(waiting, classes);
            let mut number = waiting;
            let id = |name| BenchmarkId::new(name, waiting);
            group.bench_function(id("push and pop"), |b| {
                b.iter(|| {
                    number += 1;
                    let class = number % classes;
                    queue.push(now, number, (class, class), place(number), number);
                    let first = *queue.first(class).expect("just added").1;
                    queue.remove(first)
                });
            });
            group.bench_function(id("position"), |b| {
                b.iter(|| {
                    number += 7;
                    queue.ahead(now, number % classes, &place(number % waiting))
                });
            });
        }
        group.finish();
    }
}

criterion_group!(benches, run);
criterion_main!(benches);
