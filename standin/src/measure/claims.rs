//! `poplarmux-measure claims`: calls to the platform for each booking, as load grows.
//!
//! The entries' claim desks, their peer calls over HTTP, the platform's client and the platform
//! are the real ones, all in this process; the booked service is a wait. Bookings arrive at random
//! entries at random times (Poisson).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use jsonrpsee_core::server::RpcModule;
use poplarmux::decide::claim::Claimant;
use poplarmux::decide::claim::Key;
use poplarmux::decide::claim::Layout;
use poplarmux::decide::claim::Record;
use poplarmux::decide::claim::interface::Admission;
use poplarmux::decide::claim::interface::Claim;
use poplarmux::decide::claim::interface::Settings;
use poplarmux::edge::http;
use poplarmux::edge::http::Drain;
use poplarmux::edge::http::Limits;
use poplarmux::edge::http::Pool;
use poplarmux::edge::peer;
use poplarmux::edge::platform::http as client;
use poplarmux::entry::claim;
use poplarmux::entry::claim::Handle;
use poplarmux::error::Error;
use poplarmux::metric::Metrics;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::platform::Call;
use crate::platform::Command;
use crate::platform::Platform;

/// How long a booking may wait for its claim.
const LIMIT: Duration = Duration::from_secs(2);

/// Arguments of the measurement.
#[derive(Debug, Clone, clap::Args)]
pub struct Args {
    /// Bookings a second.
    #[arg(long, value_delimiter = ',', default_values_t = [5.0, 20.0, 50.0, 100.0, 200.0, 400.0, 800.0])]
    pub rate: Vec<f64>,
    /// Seconds of each load.
    #[arg(long, default_value_t = 8.0)]
    pub seconds: f64,
    /// Entries.
    #[arg(long, default_value_t = 6)]
    pub entries: usize,
    /// How long the platform takes for each call, in milliseconds.
    #[arg(long, default_value_t = 3)]
    pub platform_ms: u64,
    /// How long the booked service takes, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub service_ms: u64,
    /// Shards that the store is laid out with.
    #[arg(long, default_value_t = Layout::default().shards)]
    pub shards: u32,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// JSON lines instead of a table.
    #[arg(long)]
    pub json: bool,
}

/// What one load gave.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Bookings a second offered.
    pub rate: f64,
    /// Bookings offered.
    pub offered: u64,
    /// Claims granted, and their outcomes stored.
    pub granted: u64,
    /// Claims refused, by cause.
    pub refused: BTreeMap<String, u64>,
    /// Calls of all kinds for each booking, until all outcomes were stored.
    pub calls: f64,
    /// Updates of heads and pages for each booking.
    pub updates: f64,
    /// Bytes of the largest object at the end.
    pub largest: usize,
    /// Time to the grant, half of the bookings, in milliseconds.
    pub grant_p50: f64,
    /// Time to the grant, 99 in 100 bookings, in milliseconds.
    pub grant_p99: f64,
}

/// What the bookings of one load received.
struct Tally {
    granted: u64,
    refused: BTreeMap<String, u64>,
    latency: Histogram<u64>,
}

/// Runs the measurement and prints it.
pub fn run(args: &Args) -> Result<(), Error> {
    if !args.json {
        println!(
            "{:>8} {:>8} {:>8} {:>8} {:>14} {:>16} {:>10} {:>10} {:>10}",
            "rate/s",
            "offered",
            "granted",
            "refused",
            "calls/booking",
            "updates/booking",
            "largest B",
            "p50 ms",
            "p99 ms"
        );
    }
    for rate in &args.rate {
        let figures = smol::block_on(load(args, *rate))?;
        if args.json {
            println!("{}", serde_json::to_string(&figures)?);
            continue;
        }
        println!(
            "{:>8} {:>8} {:>8} {:>8} {:>14.2} {:>16.2} {:>10} {:>10.1} {:>10.1}",
            figures.rate,
            figures.offered,
            figures.granted,
            figures.refused.values().sum::<u64>(),
            figures.calls,
            figures.updates,
            figures.largest,
            figures.grant_p50,
            figures.grant_p99
        );
    }
    Ok(())
}

async fn load(args: &Args, rate: f64) -> Result<Figures, Error> {
    let platform = Platform::start(local())?;
    platform.tell(Command::Slow { ms: args.platform_ms });
    let mut desks = Vec::new();
    for _ in 0..args.entries.max(1) {
        desks.push(entry(&platform, args.shards).await?);
    }
    let list: Vec<_> = desks.iter().map(|(me, _)| (me.entry, me.incarnation)).collect();
    desks.iter().for_each(|(_, desk)| desk.set_peers(list.clone()));
    let latency = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    let tally = Arc::new(Mutex::new(Tally { granted: 0, refused: BTreeMap::new(), latency }));
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let start = Instant::now();
    let mut at = 0.0;
    let mut tasks = Vec::new();
    while at < args.seconds {
        smol::Timer::at(start + Duration::from_secs_f64(at)).await;
        let desk = desks[rng.random_range(0..desks.len())].1.clone();
        let service = Duration::from_millis(args.service_ms);
        tasks.push(smol::spawn(book(desk, tasks.len(), service, tally.clone())));
        at -= (1.0 - rng.random::<f64>()).ln() / rate.max(0.001);
    }
    let offered = tasks.len() as u64;
    for task in tasks {
        task.await;
    }
    Ok(figures(&platform, rate, offered, &tally.lock().expect("tally")))
}

async fn book(
    desk: Handle<client::Client>,
    number: usize,
    service: Duration,
    tally: Arc<Mutex<Tally>>,
) {
    let name = format!("order-{number}");
    let key = Key::try_from(("orders", name.as_str())).expect("a key");
    let start = Instant::now();
    let admission = desk.claim(&Claim { key, digest: name.clone(), timeout: LIMIT }).await;
    let waited = start.elapsed();
    let mut grant = match admission {
        Ok(grant) => grant,
        Err(refused) => {
            let cause = match refused {
                Admission::NotRun(cause, _) => format!("{cause:?}"),
                other => format!("{other:?}"),
            };
            let mut tally = tally.lock().expect("tally");
            *tally.refused.entry(cause.to_lowercase()).or_default() += 1;
            return;
        }
    };
    grant.mark_sent();
    smol::Timer::after(service).await;
    let body = format!("{{\"booked\":\"{name}\",\"slot\":\"2026-12-03T08:00\"}}");
    let stored = grant.record(Record::from_answer(201, Vec::new(), body.as_bytes()));
    if stored.wait(Duration::from_secs(30)).await {
        let mut tally = tally.lock().expect("tally");
        tally.granted += 1;
        tally.latency.saturating_record(waited.as_micros() as u64);
    }
}

fn figures(platform: &Platform, rate: f64, offered: u64, tally: &Tally) -> Figures {
    let record = platform.record();
    let count = |call| record.calls.get(&call).copied().unwrap_or_default();
    let per = |calls: u64| calls as f64 / offered.max(1) as f64;
    let ms = |quantile| tally.latency.value_at_quantile(quantile) as f64 / 1000.0;
    let sizes = platform.objects("claims").into_iter().map(|object| object.value.to_string().len());
    Figures {
        rate,
        offered,
        granted: tally.granted,
        refused: tally.refused.clone(),
        calls: per(record.total()),
        updates: per(count(Call::Put)),
        largest: sizes.max().unwrap_or(0),
        grant_p50: ms(0.5),
        grant_p99: ms(0.99),
    }
}

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn entry(
    platform: &Platform,
    shards: u32,
) -> Result<(Claimant, Handle<client::Client>), Error> {
    let listener = http::listen(local()).await?;
    let me = Claimant { entry: listener.local_addr()?, incarnation: 1 };
    let metrics = Arc::new(Metrics::new(None));
    let pool = Pool::new(Duration::from_millis(500), Duration::from_secs(30));
    let settings = client::Settings::default();
    let store = client::Client::new(platform.addr(), pool.clone(), metrics.clone(), settings);
    let layout = Layout { shards, ..Layout::default() };
    let settings = Settings { layout, ..Settings::default() };
    let desk = Handle::new(me, store, peer::Client::new(pool), metrics, settings);
    let mut module = RpcModule::new(());
    claim::register(&mut module, &desk);
    let module = Arc::new(module);
    let handler = move |req, _| {
        let module = module.clone();
        async move { peer::handle(&module, req).await }
    };
    smol::spawn(http::serve(listener, Limits::default(), Drain::default(), handler)).detach();
    Ok((me, desk))
}
