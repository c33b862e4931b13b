//! `poplarmux-measure control`: what control costs one daemon, at several sizes of the fleet.
//!
//! The pure tables of one daemon are filled to size; the bytes of its messages are counted as the
//! codecs write them, and processor time is taken over many repeats of one step (the least of
//! three, as the machine may be shared). Nothing goes over a network.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use poplarmux::config::service::Adapter;
use poplarmux::config::service::Class;
use poplarmux::config::service::Kind;
use poplarmux::config::service::Model;
use poplarmux::config::service::Service;
use poplarmux::config::snapshot::Identity;
use poplarmux::config::snapshot::Revision;
use poplarmux::config::snapshot::Snapshot;
use poplarmux::decide::adopt::Adopter;
use poplarmux::decide::adopt::Event as News;
use poplarmux::decide::adopt::Peer;
use poplarmux::decide::flow::Event;
use poplarmux::decide::flow::Flow;
use poplarmux::decide::flow::Location;
use poplarmux::decide::load;
use poplarmux::decide::member;
use poplarmux::edge::endpoint::Accelerator;
use poplarmux::edge::endpoint::Report;
use poplarmux::edge::endpoint::Resident;
use poplarmux::edge::endpoint::Stage;
use poplarmux::edge::platform::Instance;
use poplarmux::edge::platform::Presence;
use poplarmux::edge::platform::Role;
use poplarmux::entry::gossip;
use poplarmux::error::Error;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

/// Arguments of the measurement.
#[derive(Debug, Clone, clap::Args)]
pub struct Args {
    /// Daemons of the largest size.
    #[arg(long, default_value_t = 420, value_parser = clap::value_parser!(u16).range(8..=4096))]
    pub daemons: u16,
    /// Engines of the largest size.
    #[arg(long, default_value_t = 600, value_parser = clap::value_parser!(u16).range(8..=8192))]
    pub endpoints: u16,
    /// Models of the largest size.
    #[arg(long, default_value_t = 260, value_parser = clap::value_parser!(u16).range(8..=4096))]
    pub models: u16,
    /// Print JSON instead of a table.
    #[arg(long)]
    pub json: bool,
}

/// What one size costs.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Row {
    /// Daemons.
    pub daemons: u16,
    /// Engines.
    pub endpoints: u16,
    /// Models.
    pub models: u16,
    /// Bytes of the configuration as JSON.
    pub config_bytes: usize,
    /// Microseconds to read it from JSON.
    pub config_us: f64,
    /// Bytes of one round's message to one peer, as JSON.
    pub news_bytes: usize,
    /// Of these, the members' rows.
    pub members_bytes: usize,
    /// Microseconds to write such a message and to read and take one.
    pub news_us: f64,
    /// Bytes of one engine's report, as JSON.
    pub report_bytes: usize,
    /// Microseconds to find out which engines this daemon reads.
    pub wanted_us: f64,
    /// Engines that this daemon reads.
    pub wanted: usize,
    /// Microseconds for the decisions to take one report.
    pub reported_us: f64,
    /// Microseconds of one tick of the decisions without requests.
    pub tick_us: f64,
    /// Microseconds of one tick of the adoption.
    pub adopt_us: f64,
    /// KiB that all tables of the daemon hold: the process's growth while they were filled.
    pub tables_kib: u64,
}

/// Adapters of a model: 60 for 13 to 17 models today.
const ADAPTERS: u16 = 4;
/// Data centers and regions of the target.
const PLACES: (u16, u16) = (7, 2);

/// Runs the measurement.
pub fn run(args: &Args) -> Result<(), Error> {
    // Once unseen, so that the first row does not pay for the process's first pages.
    measure(args, 8);
    let rows: Vec<Row> = [8, 4, 2, 1].into_iter().map(|part| measure(args, part)).collect();
    if args.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
        return Ok(());
    }
    println!(
        "daemons engines models  config B    us  news B members B    us report B wanted n    us \
         report us tick us adopt us tables KiB"
    );
    for row in rows {
        println!(
            "{:7} {:7} {:6} {:9} {:5.0} {:7} {:9} {:5.0} {:8} {:8} {:5.0} {:9.1} {:7.2} {:8.2} {:10}",
            row.daemons,
            row.endpoints,
            row.models,
            row.config_bytes,
            row.config_us,
            row.news_bytes,
            row.members_bytes,
            row.news_us,
            row.report_bytes,
            row.wanted,
            row.wanted_us,
            row.reported_us,
            row.tick_us,
            row.adopt_us,
            row.tables_kib,
        );
    }
    Ok(())
}

/// The tables of one daemon, filled.
struct Scene {
    snapshot: Snapshot,
    members: member::Table,
    live: Vec<member::Row>,
    loads: load::Table,
    reports: Vec<(SocketAddr, Report)>,
    flow: Flow,
    adopt: Adopter,
}

fn measure(args: &Args, part: u16) -> Row {
    let (daemons, endpoints) = (args.daemons / part, args.endpoints / part);
    let models = args.models / part;
    let before = resident();
    let mut scene = fill(daemons, endpoints, models);
    let tables_kib = resident().saturating_sub(before);
    let now = Duration::from_secs(1);
    let text = serde_json::to_string(&scene.snapshot).unwrap_or_default();
    let config_us = least(20, || drop(serde_json::from_str::<Snapshot>(black_box(&text))));
    let told = told(&scene, now);
    let news = serde_json::to_vec(&told).unwrap_or_default();
    let members_bytes = serde_json::to_vec(&told.members).map_or(0, |buf| buf.len());
    let news_us = least(50, || exchange(&mut scene, now, &news));
    let me = scene.members.me().peer;
    let wanted = scene.loads.endpoints_to_read(now, me, &scene.live).len();
    let wanted_us =
        least(3, || drop(black_box(scene.loads.endpoints_to_read(now, me, &scene.live))));
    let (at, report) = scene.reports[0].clone();
    let reported_us = least(200, || {
        scene.flow.handle(now, Event::Reported(at, report.clone()));
    });
    let tick_us = least(200, || drop(scene.flow.tick(now)));
    let mut rng = SmallRng::seed_from_u64(1);
    let adopt_us = least(200, || drop(scene.adopt.tick(now, &mut rng)));
    let report_bytes = serde_json::to_vec(&report).map_or(0, |buf| buf.len());
    Row {
        daemons,
        endpoints,
        models,
        config_bytes: text.len(),
        config_us,
        news_bytes: news.len(),
        members_bytes,
        news_us,
        report_bytes,
        wanted_us,
        wanted,
        reported_us,
        tick_us,
        adopt_us,
        tables_kib,
    }
}

/// What a daemon tells in one message.
fn told(scene: &Scene, now: Duration) -> gossip::Updates {
    let members = scene.members.message(now);
    let loads = load::pack(&scene.loads.updates(now));
    let mark = Identity::from(&scene.snapshot);
    gossip::Updates { release: 1, members, loads, mark }
}

/// Writes one message, and reads and takes one of the same size.
fn exchange(scene: &mut Scene, now: Duration, news: &[u8]) {
    black_box(serde_json::to_vec(&told(scene, now)).unwrap_or_default());
    if let Ok(news) = serde_json::from_slice::<gossip::Updates>(news) {
        black_box(scene.members.merge(now, news.members));
        black_box(scene.loads.merge(now, load::unpack(&news.loads)));
    }
}

/// The least of three mean times of one step, in microseconds.
fn least(times: u32, mut step: impl FnMut()) -> f64 {
    let mean = |_| {
        let start = Instant::now();
        (0..times).for_each(|_| step());
        start.elapsed().as_secs_f64() * 1e6 / f64::from(times)
    };
    (0..3).map(mean).fold(f64::INFINITY, f64::min)
}

/// KiB of this process that are in memory.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn fill(daemons: u16, endpoints: u16, models: u16) -> Scene {
    let snapshot = snapshot(models);
    let rows: Vec<member::Row> = (0..daemons).map(member_row).collect();
    let mut members = member::Table::new(rows[0].clone(), Vec::new());
    members.merge_rows(Duration::ZERO, rows[1..].to_vec());
    let instances: Vec<Instance> = (0..endpoints).map(instance).collect();
    let reports: Vec<(SocketAddr, Report)> =
        (0..endpoints).map(|at| (engine(at), report(at, models))).collect();
    let mut loads = load::Table::default();
    loads.set_instances(Duration::ZERO, &instances);
    let home =
        Location { region: rows[0].region.clone(), data_center: rows[0].data_center.clone() };
    let mut flow = Flow::new(home, 1);
    flow.configure(snapshot.clone());
    flow.handle(Duration::ZERO, Event::Listed(instances));
    for (at, report) in &reports {
        loads.record_report(Duration::ZERO, *at, report);
        flow.handle(Duration::ZERO, Event::Reported(*at, report.clone()));
    }
    let peer = |row: &member::Row| Peer { id: row.peer, region: row.region.clone() };
    let mut adopt = Adopter::new(peer(&rows[0]), Duration::ZERO);
    adopt.set_members(rows.iter().map(peer).collect(), Vec::new());
    let mut rng = SmallRng::seed_from_u64(1);
    let held = Revision { snapshot: snapshot.clone(), object_version: 1 };
    adopt.handle(Duration::ZERO, News::Read(Some(held)), &mut rng);
    for row in &rows[1..] {
        let mark = Identity { ready: true, ..Identity::from(&snapshot) };
        adopt.handle(Duration::ZERO, News::Announced(row.peer, mark), &mut rng);
    }
    Scene { snapshot, members, live: rows, loads, reports, flow, adopt }
}

fn place(at: u16) -> (String, String) {
    let center = at % PLACES.0;
    (format!("region-{}", center % PLACES.1), format!("region-{}-{center}", center % PLACES.1))
}

fn member_row(at: u16) -> member::Row {
    let [high, low] = at.to_be_bytes();
    let (region, data_center) = place(at);
    member::Row {
        peer: SocketAddr::from(([10, 1, high, low], 7100)),
        address: SocketAddr::from(([10, 1, high, low], 7000)),
        region,
        data_center,
        incarnation: 1_796_254_302_426 + u64::from(at),
        heartbeat: 172_800,
        state: Presence::Live,
    }
}

fn engine(at: u16) -> SocketAddr {
    let [high, low] = at.to_be_bytes();
    SocketAddr::from(([10, 2, high, low], 8000))
}

fn instance(at: u16) -> Instance {
    let (region, data_center) = place(at);
    Instance {
        address: engine(at),
        peer: None,
        region,
        data_center,
        role: Role::Engine,
        service: None,
        state: Presence::Live,
        incarnation: 1,
    }
}

/// Four accelerators, each with one model and its adapters.
fn report(at: u16, models: u16) -> Report {
    let resident = |slot: u16| {
        let model = (at * 4 + slot) % models;
        (0..=ADAPTERS).map(move |adapter| Resident {
            model: format!("model-{model:03}"),
            version: 3,
            adapter: (adapter > 0).then(|| format!("adapter-{adapter}")),
            accelerator: u32::from(slot),
            memory: 9 << 30,
            stage: Stage::Resident,
        })
    };
    Report {
        incarnation: 1,
        sequence: 1_000_000,
        accelerators: vec![Accelerator { capacity: 80 << 30, used: 10 << 30 }; 4],
        resident: (0..4).flat_map(resident).collect(),
        applied: (0..64).collect(),
        running: 20,
        waiting: 3,
        draining: false,
    }
}

fn snapshot(models: u16) -> Snapshot {
    let adapter = |at: u16| Adapter { name: format!("adapter-{at}"), version: 1, memory: 64 << 20 };
    let model = |at: u16| Model {
        name: format!("model-{at:03}"),
        version: 3,
        memory: 9 << 30,
        copies: 4,
        adapters: (1..=ADAPTERS).map(adapter).collect(),
    };
    let service = |at: u16| Service {
        name: format!("service-{at:03}"),
        kind: Kind::Engine,
        class: Class::Interactive,
        regions: vec!["region-0".to_string(), "region-1".to_string()],
        deadline: Duration::from_secs(20),
        share: 10,
        repeatable: true,
        models: (at * 2..(at * 2 + 2).min(models)).map(model).collect(),
    };
    let services = (0..models.div_ceil(2)).map(service).collect();
    // A publish changes a field of one service; the history is full of such.
    let mut held = Snapshot { services, ..Snapshot::default() };
    for at in 0..64_u64 {
        let mut services = held.services.clone();
        let len = services.len() as u64;
        services[(at % len) as usize].share += 1;
        held = held.next(&format!("{at:032x}"), services);
    }
    held
}
