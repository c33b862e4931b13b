//! `poplarmux-entry`: lists the entries that callers may connect to and routes their requests.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use async_signal::Signal;
use async_signal::Signals;
use clap::Parser;
use smol::net::TcpListener;
use smol::stream::StreamExt;

use crate::cmd;
use crate::config::settings;
use crate::edge::http;
use crate::edge::http::Drain;
use crate::edge::http::Limits;
use crate::edge::peer;
use crate::entry::Entry;
use crate::entry::adopt;
use crate::entry::gossip;
use crate::entry::offer;
use crate::entry::report;
use crate::entry::rpc;
use crate::entry::serve;
use crate::error::Error;
use crate::log::Log;

/// Lists the entries that callers may connect to and routes their requests to endpoints.
///
/// SIGTERM or SIGINT stops it: its peers stop listing it at once. It keeps serving until cached
/// lists have expired and every request is answered, then exits with 0.
#[derive(Debug, Parser)]
#[command(name = "poplarmux-entry", version)]
pub struct Args {
    /// Settings file (YAML).
    pub settings: PathBuf,
    /// Logging options.
    #[command(flatten)]
    pub log: Log,
}

/// Interval of the decision timer, and of the checks during a shutdown.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Longest wait of a shutdown for outcomes to be stored.
const STORE_OUTCOMES_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs the entry until SIGTERM or SIGINT, then drains it.
pub fn run(args: &Args) -> Result<(), Error> {
    args.log.start()?;
    let settings = settings::load(&args.settings, settings::Entry::bounds)?;
    smol::block_on(run_until_signal(settings))
}

async fn run_until_signal(mut settings: settings::Entry) -> Result<(), Error> {
    // Registered before anything is served, so that an early SIGTERM also drains.
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let callers = http::listen(settings.listen).await?;
    let peers = http::listen(settings.peer).await?;
    settings.listen = callers.local_addr()?;
    settings.peer = peers.local_addr()?;
    println!("listening on {}, peers on {}", settings.listen, settings.peer);
    let incarnation = cmd::incarnation();
    let entry = Arc::new(Entry::new(settings, incarnation));
    start(&entry, peers);
    let limits = Limits {
        connections: entry.settings.limits.connections,
        bodies: entry.settings.limits.bodies,
        idle: entry.settings.limits.idle(),
    };
    let state = entry.clone();
    let handler = move |req, link| serve::handle(state.clone(), req, link);
    let server = smol::spawn(http::serve(callers, limits, entry.drain.clone(), handler));
    signals.next().await;
    drain(&entry).await;
    server.await;
    Ok(())
}

/// Starts the background tasks and the listener for peers.
fn start(entry: &Arc<Entry>, peers: TcpListener) {
    let module = Arc::new(rpc::module(entry.clone()));
    let handler = move |req, _| {
        let module = module.clone();
        async move { peer::handle(&module, req).await }
    };
    smol::spawn(http::serve(peers, peer::LIMITS, Drain::default(), handler)).detach();
    smol::spawn(gossip::run_rounds(entry.clone())).detach();
    let platform = entry.platform.clone();
    smol::spawn(offer::run_windows(entry.clone(), platform.clone())).detach();
    smol::spawn(gossip::poll_instances(entry.clone(), platform)).detach();
    smol::spawn(adopt::run_ticks(entry.clone())).detach();
    smol::spawn(report::poll(entry.clone())).detach();
    smol::spawn(tick_loop(entry.clone())).detach();
}

async fn tick_loop(entry: Arc<Entry>) {
    loop {
        smol::Timer::after(TICK_INTERVAL).await;
        entry.tick();
    }
}

/// Shuts the entry down without interrupting a request.
///
/// Callers cache a response of `/v1/entries` for its time to live, so those that got one just
/// before peers stopped listing this entry connect here until it expires. The listener stays open
/// for that time, then closes; the process exits once every request is answered.
async fn drain(entry: &Arc<Entry>) {
    tracing::info!("shutting down");
    entry.drain.start();
    entry.with_members(|members, _| members.leave());
    gossip::exchange_all(entry).await;
    smol::Timer::after(Duration::from_millis(entry.settings.locate_ttl_ms)).await;
    entry.drain.close();
    while entry.drain.in_progress() > 0 || entry.open_requests() > 0 {
        smol::Timer::after(TICK_INTERVAL).await;
    }
    // Outcomes that are not stored yet are written first, but an unavailable platform must not
    // prevent the exit: a repeat of a call without a stored outcome does not run and is answered
    // with an unknown outcome.
    let started_at = entry.now();
    while entry.claims.load() != (0, 0, 0) && entry.now() - started_at < STORE_OUTCOMES_TIMEOUT {
        smol::Timer::after(TICK_INTERVAL).await;
    }
    tracing::info!("shutdown complete");
}
