//! Seeded traffic at the users' sizes, and the bound that full knowledge sets.

use std::time::Duration;

use clap::ValueEnum;
use poplarmux::config::service::Class;
use poplarmux::decide::flow::Job;
use poplarmux::decide::flow::Target;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use strum::Display;
use strum::EnumIter;

use crate::scene::Arrival;
use crate::scene::CHUNK;
use crate::scene::Fault;
use crate::scene::Spec;
use crate::scene::capacity;
use crate::scene::job;

/// Engines, regions, entries and callers of one user; copies of each model.
pub const ENGINES: usize = 9;
/// Regions.
pub const REGIONS: usize = 3;
/// Entries.
pub const ENTRIES: usize = 8;
const CALLERS: usize = 40;
const COPIES: usize = 3;
const ADAPTERS: usize = 60;

/// What the traffic is like.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
#[value(rename_all = "snake_case")]
pub enum Pattern {
    /// Even arrivals of drafts, revisions and batch requests.
    Steady,
    /// Five times the rate for five seconds in every thirty.
    Burst,
    /// One caller sends half of all.
    HotCaller,
    /// Half of all prompts begin with the same blocks.
    HotKey,
    /// One model gets four in ten requests.
    HotModel,
    /// One engine runs at a tenth of its speed from the first third on.
    SlowEndpoint,
    /// One request in five is eight times as long.
    LongShort,
    /// A third of the engines is down for ten seconds.
    Outage,
}

/// A load to offer.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// What it is like.
    pub pattern: Pattern,
    /// Multiple of what the engines can do.
    pub multiple: f64,
    /// For how long requests arrive.
    pub seconds: f64,
    /// Models, over which requests are spread.
    pub models: usize,
    /// Seed.
    pub seed: u64,
}

/// The engines, with `COPIES` of each model in different regions.
pub fn engines(models: usize) -> Vec<Spec> {
    let spec = |at: usize| Spec { region: at % REGIONS, holds: Vec::new(), speed: 1.0 };
    let mut specs: Vec<Spec> = (0..ENGINES).map(spec).collect();
    for model in 0..models {
        let adapters = (0..ADAPTERS).filter(|adapter| adapter % models == model);
        let adapters: Vec<String> = adapters.map(|adapter| format!("a{adapter}")).collect();
        for copy in 0..COPIES {
            let at = (model * COPIES + copy) % ENGINES;
            specs[at].holds.push((format!("m{model}"), adapters.clone()));
        }
    }
    specs
}

/// Steps an engine spends on a request.
pub fn steps(arrival: &Arrival) -> f64 {
    (f64::from(arrival.job.prompt_tokens) / CHUNK).max(0.5) + f64::from(arrival.length)
}

/// The arrivals of a load, in order, and the faults beside them.
pub fn traffic(load: &Load) -> (Vec<Arrival>, Vec<(Duration, Fault)>) {
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let sample: f64 = (0..2000).map(|id| steps(&arrival(load, id, 0.0, &mut rng))).sum();
    let rate = load.multiple * ENGINES as f64 * capacity() / (sample / 2000.0);
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        let now = match load.pattern {
            Pattern::Burst if at % 30.0 < 5.0 => rate * 3.0,
            Pattern::Burst => rate * 0.6,
            _ => rate,
        };
        at += -(1.0 - rng.random::<f64>()).ln() / now;
        if at >= load.seconds {
            break;
        }
        arrivals.push(arrival(load, arrivals.len() as u64, at, &mut rng));
    }
    let third = Duration::from_secs_f64(load.seconds / 3.0);
    let faults = match load.pattern {
        Pattern::SlowEndpoint => vec![(third, Fault::Speed(0, 0.1))],
        Pattern::Outage => {
            let down = Duration::from_secs(10);
            (0..3).map(|at| (third, Fault::Down(at * 3, down))).collect()
        }
        _ => Vec::new(),
    };
    (arrivals, faults)
}

fn arrival(load: &Load, id: u64, at: f64, rng: &mut SmallRng) -> Arrival {
    let kind = rng.random::<f64>();
    let (class, prompt, mean, room) = match load.pattern {
        Pattern::LongShort if kind < 0.2 => (Class::Interactive, 800, 640.0, 60.0),
        Pattern::LongShort => (Class::Interactive, 400, 80.0, 10.0),
        _ if kind < 0.7 => (Class::Interactive, 600, 180.0, 20.0),
        _ if kind < 0.9 => (Class::Revision, 900, 120.0, 30.0),
        _ => (Class::Batch, 600, 500.0, 60.0),
    };
    let hot = rng.random::<f64>();
    let model = match load.pattern {
        Pattern::HotModel if hot < 0.4 => 0,
        _ => rng.random_range(0..load.models),
    };
    let caller = match load.pattern {
        Pattern::HotCaller if hot < 0.5 => 0,
        _ => rng.random_range(1..CALLERS),
    };
    let key = match load.pattern {
        Pattern::HotKey if hot < 0.5 => 0,
        _ => rng.random_range(1..400_u64),
    };
    let adapters: Vec<usize> = (0..ADAPTERS).filter(|one| one % load.models == model).collect();
    let adapter = adapters.get(rng.random_range(0..2 * adapters.len().max(1)));
    let adapter = adapter.map(|adapter| format!("a{adapter}"));
    // Half a sum of two uniform draws: most requests are near the mean, none above twice of it.
    let length = mean * (rng.random::<f64>() + rng.random::<f64>());
    let length = (length as u32).max(8);
    // Callers ask for up to three times what they come to use.
    let asked = (f64::from(length) * rng.random_range(1.0..3.0)) as u32;
    let blocks = u64::from(prompt / 32);
    let name = format!("m{model}");
    Arrival {
        at: Duration::from_secs_f64(at),
        entry: rng.random_range(0..ENTRIES),
        job: Job {
            service: format!("{name}-{class}"),
            target: Target::Model(name.clone(), adapter),
            class,
            deadline: Duration::from_secs_f64(at + room),
            prompt_tokens: prompt,
            max_tokens: asked,
            prefix_hashes: (0..blocks)
                .map(|block| (model as u64) << 40 | key << 16 | block)
                .collect(),
            ..job(id, &name, &format!("c{caller}"))
        },
        length,
        deadly: false,
    }
}

/// The most requests that could be answered on time with full knowledge.
///
/// Each engine is taken as a fluid of its full-batch rate, requests may be cut into pieces and
/// moved freely among all engines, and cached beginnings cost nothing. For work with arrivals and
/// deadlines that is a polymatroid, for which taking the shortest first is optimal: in every
/// interval the work that must fall within it is at most what the engines do in it. Times are
/// rounded outwards to whole buckets. So no policy can do better; none may be able to do as well.
///
/// With `asked`, the shortest by what callers ask for are taken first: the lengths themselves are
/// known to nobody before the end.
pub fn bound(load: &Load, arrivals: &[Arrival], asked: bool) -> f64 {
    let speed = match load.pattern {
        Pattern::SlowEndpoint => ENGINES as f64 - 0.6,
        _ => ENGINES as f64,
    };
    let rate = speed * capacity();
    let last = arrivals.iter().map(|row| row.job.deadline).max().unwrap_or_default();
    let bucket = (last.as_secs_f64() / 120.0).max(1.0);
    let buckets = (last.as_secs_f64() / bucket).ceil() as usize;
    let mut room = vec![vec![0.0; buckets + 1]; buckets + 1];
    for (from, row) in room.iter_mut().enumerate() {
        for (to, cell) in row.iter_mut().enumerate() {
            *cell = rate * bucket * to.saturating_sub(from) as f64;
        }
    }
    let mut sorted: Vec<&Arrival> = arrivals.iter().collect();
    let least = |row: &Arrival| {
        let cached = 16.0 * row.job.prefix_hashes.len() as f64;
        ((f64::from(row.job.prompt_tokens) - cached) / CHUNK).max(0.5) + f64::from(row.length)
    };
    let order = |row: &Arrival| if asked { f64::from(row.job.max_tokens) } else { least(row) };
    sorted.sort_by(|a, b| order(a).total_cmp(&order(b)));
    let mut count = 0.0;
    for row in sorted {
        let from = (row.at.as_secs_f64() / bucket).floor() as usize;
        let to = (row.job.deadline.as_secs_f64() / bucket).ceil() as usize;
        let work = least(row);
        let cells = room[..=from].iter().flat_map(|row| &row[to..]);
        let fits = cells.fold(work, |fits, cell| fits.min(*cell)).max(0.0);
        for line in &mut room[..=from] {
            line[to..].iter_mut().for_each(|cell| *cell -= fits);
        }
        count += fits / work;
    }
    count
}
