//! Time of one look at the daemon's contact with its endpoints against their number. A daemon looks
//! at them five times a second.

use std::hint::black_box;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use poplarmux::decide::fleet::Fleet;
use poplarmux::table::instance::Copies;
use poplarmux::table::instance::Instance;
use poplarmux::table::instance::Key;
use poplarmux::table::instance::State;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn fleet(endpoints: usize) -> Fleet {
    let mut fleet = Fleet::new("r".into(), "z".into(), [("z".into(), "r".into())].into());
    for index in 0..endpoints {
        let instance = Instance {
            key: Key { id: format!("i-{index}"), born: 1 },
            service: "llm".to_string(),
            software: "v1".to_string(),
            address: "10.0.0.1:80".parse().expect("an address"),
            data_center: "z".to_string(),
            slots: 16,
            state: State::Live,
            warmup: Duration::ZERO,
            remaining: None,
            resident: Vec::new(),
            copies: Copies::default(),
            heartbeat: 1,
        };
        fleet.put(Duration::ZERO, instance);
    }
    fleet
}

fn look(c: &mut Criterion) {
    let mut group = c.benchmark_group("contact");
    for endpoints in [75, 150, 300, 600] {
        let mut fleet = fleet(endpoints);
        let mut rng = SmallRng::seed_from_u64(1);
        let now = Duration::from_secs(1);
        group.bench_function(BenchmarkId::from_parameter(endpoints), |bench| {
            bench.iter(|| {
                black_box(fleet.is_isolated());
                black_box(fleet.take_due_probes(now, &mut rng));
                black_box(fleet.evidence(now));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, look);
criterion_main!(benches);
