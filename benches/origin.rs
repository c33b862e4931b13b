//! Time to record where a stream began and to select the daemons that are told, against the number
//! of daemons. A daemon does so for each stream that begins there.

use std::hint::black_box;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use poplarmux::decide::origin;
use poplarmux::decide::origin::Origin;
use poplarmux::decide::origin::REPLICAS;
use poplarmux::decide::origin::Table;
use poplarmux::table::instance::Node;

/// Time for which a stream may be taken up.
const RETENTION: Duration = Duration::from_secs(20);
/// Time between two streams.
const STREAM_INTERVAL: Duration = Duration::from_millis(40);

fn nodes(count: usize) -> Vec<Node> {
    let node = |index: usize| Node {
        name: format!("front-{index}"),
        front: "10.0.0.1:80".parse().expect("an address"),
        peer: "10.0.0.1:81".parse().expect("an address"),
        region: "r".to_string(),
        data_center: "z".to_string(),
        started_at: 1,
        millicores: 250,
        heartbeat: 1,
        ready: true,
    };
    (0..count).map(node).collect()
}

fn begin(c: &mut Criterion) {
    let mut group = c.benchmark_group("origin");
    let origin = Origin { service: "llm".to_string(), software: "v1".to_string() };
    for daemons in [52, 105, 210, 420] {
        let nodes = nodes(daemons);
        let (mut table, mut now, mut id) = (Table::default(), Duration::ZERO, 0_u64);
        group.bench_function(BenchmarkId::from_parameter(daemons), |bench| {
            bench.iter(|| {
                (now, id) = (now + STREAM_INTERVAL, id + 1);
                table.insert(now, id, &origin, RETENTION);
                black_box(origin::select(nodes.iter(), id, REPLICAS));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, begin);
criterion_main!(benches);
