//! `poplarmux-placer`: plans which engines hold which models, versions and adapters, and orders
//! the engines to load and unload them.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_signal::Signal;
use async_signal::Signals;
use clap::Parser;
use smol::future::FutureExt;
use smol::net::TcpListener;
use smol::stream::StreamExt;

use crate::cmd;
use crate::config::settings;
use crate::edge::endpoint::control;
use crate::edge::http;
use crate::edge::http::Drain;
use crate::edge::http::Pool;
use crate::edge::peer;
use crate::edge::platform;
use crate::error::Error;
use crate::log::Log;
use crate::metric::Metrics;
use crate::placer::Placer;
use crate::placer::rpc;

/// Places models, versions and adapters on the engines of its region.
///
/// A lease elects one active placer per region; the others are on standby. SIGTERM or SIGINT stops
/// it: it finishes its round, releases the lease and exits with 0.
#[derive(Debug, Parser)]
#[command(name = "poplarmux-placer", version)]
pub struct Args {
    /// Settings file (YAML).
    pub settings: PathBuf,
    /// Logging options.
    #[command(flatten)]
    pub log: Log,
}

type Service = Placer<platform::http::Client, control::Client>;

/// Runs the placer until SIGTERM or SIGINT, then releases its lease.
pub fn run(args: &Args) -> Result<(), Error> {
    args.log.start()?;
    let settings = settings::load(&args.settings, settings::Placer::bounds)?;
    smol::block_on(run_until_signal(settings))
}

async fn run_until_signal(mut settings: settings::Placer) -> Result<(), Error> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let peers = http::listen(settings.peer).await?;
    settings.peer = peers.local_addr()?;
    println!("peers on {}", settings.peer);
    let placer = Arc::new(build(settings));
    serve_peers(&placer, peers);
    let tick = Duration::from_millis(placer.settings.tick_ms);
    let lease_task = smol::spawn(lease_loop(placer.clone(), tick));
    loop {
        placer.reconcile().await;
        let tick_elapsed = async {
            smol::Timer::after(tick).await;
            false
        };
        let stop_requested = async {
            signals.next().await;
            true
        };
        if stop_requested.or(tick_elapsed).await {
            break;
        }
    }
    // Cancelled first, as it would otherwise acquire the released lease again.
    lease_task.cancel().await;
    placer.resign().await;
    Ok(())
}

async fn lease_loop(placer: Arc<Service>, tick: Duration) {
    loop {
        placer.renew_lease().await;
        smol::Timer::after(tick).await;
    }
}

fn build(settings: settings::Placer) -> Service {
    let metrics = Arc::new(Metrics::new(settings.place.statsd));
    let pool = Pool::new(Duration::from_secs(1), Duration::from_secs(30));
    let client_settings = platform::http::Settings::default();
    let client = platform::http::Client::new(
        settings.place.platform,
        pool,
        metrics.clone(),
        client_settings,
    );
    let incarnation = cmd::incarnation();
    let started_at = Instant::now();
    let clock = Box::new(move || started_at.elapsed());
    Placer::new(settings, incarnation, metrics, client, control::Client, clock)
}

fn serve_peers(placer: &Arc<Service>, peers: TcpListener) {
    let module = Arc::new(rpc::module(placer.clone()));
    let handler = move |req, _| {
        let module = module.clone();
        async move { peer::handle(&module, req).await }
    };
    smol::spawn(http::serve(peers, peer::LIMITS, Drain::default(), handler)).detach();
}
