//! Time of one plan of models on engines, at rest and while demand moves: 260 models, three at each
//! engine, some of them nowhere.

use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use poplarmux::decide::spread::Host;
use poplarmux::decide::spread::Requirement;
use poplarmux::decide::spread::plan;
use poplarmux::table::instance::Key;

const MODELS: usize = 260;
/// Cold loads that may begin.
const LOADS: u32 = 14;
/// Steps of a plan.
const STEPS: usize = 2;

fn name(model: usize) -> String {
    format!("m{model}")
}

fn hosts(engines: usize) -> Vec<Host> {
    let host = |at: usize| Host {
        key: Key { id: format!("e{at}"), born: 1 },
        region: format!("r{}", at % 3),
        slots: 12.0,
        weight_capacity_mb: 199.0,
        resident: (0..3).map(|copy| name((at * 3 + copy) % MODELS)).collect(),
        unloading: Vec::new(),
        loading: None,
        busy: false,
        cached: Vec::new(),
    };
    (0..engines).map(host).collect()
}

fn needs(hot: usize) -> Vec<Requirement> {
    let need = |at: usize| Requirement {
        model: name(at),
        weights_mb: 60.0,
        demand: if at < hot { 40.0 } else { 0.4 },
        requested_for: at.is_multiple_of(7).then_some(Duration::from_secs(1)),
        idle: false,
        missing_adapters: 0,
    };
    (0..MODELS).map(need).collect()
}

fn plans(c: &mut Criterion) {
    let mut group = c.benchmark_group("spread");
    group.sample_size(10);
    for engines in [99, 112, 600] {
        let hosts = hosts(engines);
        for (case, hot) in [("rest", 0), ("moving", 8)] {
            let needs = needs(hot);
            group.bench_with_input(BenchmarkId::new(case, engines), &hosts, |b, hosts| {
                b.iter(|| plan(&needs, hosts, LOADS, STEPS));
            });
        }
    }
    group.finish();
}

criterion_group!(benches, plans);
criterion_main!(benches);
