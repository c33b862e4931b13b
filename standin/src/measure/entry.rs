//! `poplarmux-measure entry`: what one entry adds, carries and holds.
//!
//! The entry, the engines and the plain services are processes of their own; the platform and the
//! callers are in this one. Each load goes through the entry and, in the same run, straight to
//! the stand-in.

use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use poplarmux::config::service::Service;
use poplarmux::edge::http::Pool;
use poplarmux::error::Error;
use poplarmux::table::Bytes;
use serde::Serialize;

use crate::engine::text::Ask;
use crate::measure::drive;
use crate::measure::drive::Small;
use crate::measure::drive::Tally;
use crate::process;
use crate::process::Process;
use crate::site;
use crate::site::Site;

/// The model that the engines hold.
const MODEL: &str = "drafts";

/// The plain service.
const SERVICE: &str = "jobs";

/// Engines: an entry keeps at most 256 requests at one of them.
const ENGINES: usize = 8;

/// How often a paced load changes between the entry and the stand-in.
const ROUNDS: u32 = 4;

/// Arguments of the measurement.
#[derive(Debug, Clone, clap::Args)]
pub struct Args {
    /// Seconds of each load.
    #[arg(long, default_value_t = 4.0)]
    pub seconds: f64,
    /// Threads that call.
    #[arg(long, default_value_t = 2)]
    pub threads: usize,
    /// Requests in flight when the entry is to be saturated.
    #[arg(long, default_value_t = 64)]
    pub width: usize,
    /// Streams open when the entry is to be saturated with tokens.
    #[arg(long, default_value_t = 256)]
    pub streams: usize,
    /// Streams open when its memory is read.
    #[arg(long, default_value_t = 1000)]
    pub open: usize,
    /// JSON instead of a table.
    #[arg(long)]
    pub json: bool,
}

/// Percentiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Latency {
    /// The median.
    pub p50_ms: f64,
    /// 99 in 100 are below.
    pub p99_ms: f64,
}

/// One paced load, through the entry and straight.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Paced {
    /// Requests a second that were due.
    pub offered_per_s: f64,
    /// Through the entry.
    pub entry: Latency,
    /// Straight to the stand-in.
    pub direct: Latency,
    /// The entry's percentile less the stand-in's.
    pub added: Latency,
    /// Requests that failed, of both.
    pub failed: u64,
}

/// One load that saturates.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Saturated {
    /// Requests, or tokens of a stream, a second.
    pub per_s: f64,
    /// The same for each core that the entry used.
    pub per_core_s: f64,
    /// Cores that the entry used.
    pub cores: f64,
    /// The same load straight to the stand-in, a second.
    pub direct_per_s: f64,
    /// Requests that failed, of both.
    pub failed: u64,
}

/// All figures.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    /// Small requests to a plain service.
    pub small: Saturated,
    /// Small requests at a tenth of saturation.
    pub small_paced: Paced,
    /// Streamed tokens.
    pub tokens: Saturated,
    /// Time to the first token, at a tenth of saturation.
    pub first_token_paced: Paced,
    /// Resident memory before any request.
    pub idle_mib: f64,
    /// Resident memory while streams are open.
    pub open_mib: f64,
    /// How many were open.
    pub open_streams: u64,
    /// Processor time of the entry a second while idle, in cores.
    pub idle_cores: f64,
}

/// Everything that runs.
struct Bench {
    site: Site,
    entry: Process,
    engines: Vec<Process>,
    services: Vec<Process>,
    pool: Pool,
    seen: Arc<AtomicU64>,
}

/// Runs all loads, one after the other.
pub fn run(args: &Args) -> Result<(), Error> {
    let time = Duration::from_secs_f64(args.seconds);
    let mut figures = Figures::default();
    {
        let bench = Bench::start(&["--token-ms", "0.5", "--slope-ms", "0", "--batch", "4096"])?;
        std::thread::sleep(time / 2);
        let cpu = bench.entry.cpu();
        std::thread::sleep(time);
        figures.idle_cores = (bench.entry.cpu() - cpu).as_secs_f64() / time.as_secs_f64();
        figures.idle_mib = mib(bench.entry.resident());
        figures.small = bench.saturate_small(args, time);
        figures.small_paced = bench.pace_small(figures.small.per_s / 10.0, time);
        bench.warm(args.streams, time);
        figures.tokens = bench.saturate_tokens(args, time);
        let rate = (figures.small.per_s / 10.0).min(500.0);
        figures.first_token_paced = bench.pace_first(rate, time);
    }
    let bench = Bench::start(&["--token-ms", "50", "--slope-ms", "0", "--batch", "4096"])?;
    bench.warm(args.open, time);
    (figures.open_streams, figures.open_mib) = bench.hold(args.open, time);
    if args.json {
        println!("{}", serde_json::to_string_pretty(&figures)?);
    } else {
        table(&figures);
    }
    Ok(())
}

impl Bench {
    fn start(engine: &[&str]) -> Result<Bench, Error> {
        let site = Site::start()?;
        site.configure(1, services());
        let at = site.platform.addr().to_string();
        let program = process::beside("standin-engine")?;
        let engines = (0..ENGINES).map(|_| {
            let mut command = Command::new(&program);
            command.args(["--model", MODEL, "--platform", &at]).args(engine);
            Process::run(&mut command)
        });
        let engines = engines.collect::<Result<Vec<_>, _>>()?;
        let program = process::beside("standin-service")?;
        let services = (0..2).map(|_| {
            let mut command = Command::new(&program);
            command.args(["--service", SERVICE, "--platform", &at]);
            Process::run(&mut command)
        });
        let services = services.collect::<Result<Vec<_>, _>>()?;
        let program = process::beside("poplarmux-entry")?;
        let entry = site.entry(&program, "wien", &[], "limits:\n  connections: 20000\n")?;
        let (pool, seen) = drive::shared();
        let bench = Bench { site, entry, engines, services, pool, seen };
        bench.wait_until_served();
        Ok(bench)
    }

    /// Waits until the entry knows the configuration and every endpoint.
    fn wait_until_served(&self) {
        let all: Vec<SocketAddr> =
            self.engines.iter().chain(&self.services).map(|endpoint| endpoint.address).collect();
        for _ in 0..600 {
            if self.entry.knows(&all) {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        eprintln!("the entry does not know all endpoints; {:?}", self.site.platform.record());
    }

    fn small(&self, through: bool, number: usize) -> Small {
        match through {
            true => {
                let path = format!("/v1/services/{SERVICE}/jobs/{number}");
                Small { at: self.entry.address, path }
            }
            false => {
                let at = self.services[number % self.services.len()].address;
                Small { at, path: format!("/jobs/{number}") }
            }
        }
    }

    fn target(&self, through: bool, number: usize) -> SocketAddr {
        match through {
            true => self.entry.address,
            false => self.engines[number % self.engines.len()].address,
        }
    }

    /// Keeps requests in flight, through the entry and then straight.
    fn saturate_small(&self, args: &Args, time: Duration) -> Saturated {
        let width = args.width.div_ceil(args.threads);
        let load = |through| {
            drive::threads(args.threads, |number| async move {
                let call = self.small(through, number);
                let (pool, call) = (&self.pool, &call);
                drive::closed(width, time, move || drive::small(pool, call)).await
            })
        };
        load(true);
        let cpu = self.entry.cpu();
        let through = load(true);
        let cpu = self.entry.cpu() - cpu;
        saturated(&through, through.answered, cpu, &load(false), |tally| tally.answered)
    }

    /// Lets the entry learn that the engines take this many streams at once.
    fn warm(&self, streams: usize, time: Duration) {
        let ask = Ask::chat(MODEL, "a short letter", 4);
        let (at, pool) = (self.entry.address, &self.pool);
        let (ask, seen) = (&ask, &*self.seen);
        let send = move || async move {
            let answer = drive::open(pool, at, ask).await?;
            drive::drain(answer, seen).await
        };
        smol::block_on(drive::closed(streams, time, send));
    }

    /// Keeps streams open that engines fill faster than one entry can pass on.
    fn saturate_tokens(&self, args: &Args, time: Duration) -> Saturated {
        let width = args.streams.div_ceil(args.threads);
        let load = |through| {
            drive::threads(args.threads, |number| async move {
                let ask = Ask::chat(MODEL, &format!("a letter {number}"), 1000);
                let (at, pool) = (self.target(through, number), &self.pool);
                let (ask, seen) = (&ask, &*self.seen);
                let send = move || async move {
                    let answer = drive::open(pool, at, ask).await?;
                    drive::drain(answer, seen).await
                };
                drive::closed(width, time, send).await
            })
        };
        let (seen, cpu) = (self.seen.load(Ordering::Relaxed), self.entry.cpu());
        let through = load(true);
        let tokens = self.seen.load(Ordering::Relaxed) - seen;
        let cpu = self.entry.cpu() - cpu;
        saturated(&through, tokens, cpu, &load(false), |tally| tally.tokens)
    }

    fn pace_small(&self, rate: f64, time: Duration) -> Paced {
        self.pace(rate, time, |through, pool| {
            let call = self.small(through, 0);
            move || {
                let (call, pool) = (call.clone(), pool.clone());
                async move { drive::small(&pool, &call).await }
            }
        })
    }

    /// Opens streams of one token, so that the whole answer is the first token.
    fn pace_first(&self, rate: f64, time: Duration) -> Paced {
        self.pace(rate, time, |through, pool| {
            let at = self.target(through, 0);
            let seen = self.seen.clone();
            move || {
                let (pool, seen) = (pool.clone(), seen.clone());
                async move {
                    let ask = Ask::chat(MODEL, "a short letter", 1);
                    let answer = drive::open(&pool, at, &ask).await?;
                    drive::drain(answer, &seen).await
                }
            }
        })
    }

    /// Sends at a rate through the entry and straight, in turns.
    fn pace<L, S, F>(&self, rate: f64, time: Duration, load: L) -> Paced
    where
        L: Fn(bool, Pool) -> S,
        S: Fn() -> F,
        F: Future<Output = Result<u64, poplarmux::edge::http::Error>>,
    {
        let gap = Duration::from_secs_f64(1.0 / rate.max(1.0));
        let (mut through, mut direct) = (Tally::default(), Tally::default());
        for _ in 0..ROUNDS {
            let turn = |to| {
                let send = load(to, self.pool.clone());
                smol::block_on(drive::paced(gap, time / ROUNDS, send))
            };
            direct.add(&turn(false));
            through.add(&turn(true));
        }
        let (entry, straight) = (latency(&through), latency(&direct));
        let added = Latency {
            p50_ms: entry.p50_ms - straight.p50_ms,
            p99_ms: entry.p99_ms - straight.p99_ms,
        };
        let failed = through.failed + direct.failed;
        Paced { offered_per_s: rate, entry, direct: straight, added, failed }
    }

    /// Opens streams that go on, and reads the entry's memory while they do.
    fn hold(&self, open: usize, time: Duration) -> (u64, f64) {
        let ask = Ask::chat(MODEL, "a long letter", 20_000);
        let (pool, at) = (&self.pool, self.entry.address);
        let (ask, seen) = (&ask, &*self.seen);
        let began = &AtomicU64::new(0);
        let mut memory = 0;
        std::thread::scope(|scope| {
            let streams = move || async move {
                let ex = smol::LocalExecutor::new();
                let tasks = (0..open).map(|_| {
                    ex.spawn(async move {
                        let answer = drive::open(pool, at, ask).await?;
                        began.fetch_add(1, Ordering::Relaxed);
                        drive::drain(answer, seen).await
                    })
                });
                let tasks: Vec<_> = tasks.collect();
                ex.run(smol::Timer::after(time * 2)).await;
                drop(tasks);
            };
            scope.spawn(move || smol::block_on(streams()));
            let end = Instant::now() + time * 2 - time / 4;
            while Instant::now() < end {
                memory = memory.max(self.entry.resident());
                std::thread::sleep(Duration::from_millis(50));
            }
        });
        (began.load(Ordering::Relaxed), mib(memory))
    }
}

fn saturated(
    through: &Tally,
    count: u64,
    cpu: Duration,
    direct: &Tally,
    of: impl Fn(&Tally) -> u64,
) -> Saturated {
    let seconds = through.took.as_secs_f64().max(1e-9);
    Saturated {
        per_s: count as f64 / seconds,
        per_core_s: count as f64 / cpu.as_secs_f64().max(1e-9),
        cores: cpu.as_secs_f64() / seconds,
        direct_per_s: of(direct) as f64 / direct.took.as_secs_f64().max(1e-9),
        failed: through.failed + direct.failed,
    }
}

fn latency(tally: &Tally) -> Latency {
    let ms = |percentile| tally.latency.value_at_percentile(percentile) as f64 / 1e3;
    Latency { p50_ms: ms(50.0), p99_ms: ms(99.0) }
}

fn mib(bytes: Bytes) -> f64 {
    bytes as f64 / f64::from(1 << 20)
}

/// A model and a plain service.
fn services() -> Vec<Service> {
    vec![site::drafting(MODEL), site::plain(SERVICE, true)]
}

fn table(figures: &Figures) {
    let line = |what: &str, value: f64, unit: &str, aim: &str| {
        println!("{what:<44} {value:>12.3} {unit:<10} {aim}");
    };
    line("small requests, one entry", figures.small.per_s, "/s", "");
    line("small requests, per core of the entry", figures.small.per_core_s, "/s", "aim 8000");
    line("small requests, straight", figures.small.direct_per_s, "/s", "");
    for (what, paced) in
        [("small", &figures.small_paced), ("first token", &figures.first_token_paced)]
    {
        line(&format!("{what}: offered"), paced.offered_per_s, "/s", "a tenth of saturation");
        line(&format!("{what}: entry p50"), paced.entry.p50_ms, "ms", "");
        line(&format!("{what}: entry p99"), paced.entry.p99_ms, "ms", "");
        line(&format!("{what}: added p50"), paced.added.p50_ms, "ms", "aim 0.3");
        line(&format!("{what}: added p99"), paced.added.p99_ms, "ms", "aim 2");
        line(&format!("{what}: failed"), paced.failed as f64, "", "");
    }
    line("tokens, one entry", figures.tokens.per_s, "/s", "");
    line("tokens, per core of the entry", figures.tokens.per_core_s, "/s", "aim 100000");
    line("tokens, straight", figures.tokens.direct_per_s, "/s", "");
    line("failed under saturation", (figures.small.failed + figures.tokens.failed) as f64, "", "");
    line("memory idle", figures.idle_mib, "MiB", "");
    line("memory with open streams", figures.open_mib, "MiB", "aim 64");
    line("open streams", figures.open_streams as f64, "", "");
    line("processor idle", figures.idle_cores * 100.0, "% of core", "");
}
