//! The daemon program: runs the whole system on one instance, on a platform that a `Dialect`
//! implements.
//!
//! A shutdown must not lose requests. Callers cache directory answers, so new requests still arrive
//! after SIGTERM: the daemon announces that it is shutting down, keeps serving until cached answers
//! have expired, then waits for open requests within the grace period. If it closed its listener at
//! once, these callers would find their connections refused.

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use async_signal::Signal;
use async_signal::Signals;
use smol::Task;
use smol::Timer;
use smol::net::TcpListener;
use smol::stream::StreamExt;

use crate::daemon;
use crate::daemon::Daemon;
use crate::daemon::broker;
use crate::daemon::clock;
use crate::daemon::directory;
use crate::daemon::front;
use crate::daemon::journal;
use crate::daemon::journal::Event;
use crate::daemon::lease;
use crate::daemon::link;
use crate::daemon::link::Executor;
use crate::daemon::node;
use crate::daemon::origin;
use crate::daemon::peer;
use crate::daemon::placer;
use crate::daemon::quota;
use crate::daemon::refusals;
use crate::daemon::relay;
use crate::daemon::settings::Settings;
use crate::daemon::store;
use crate::daemon::tally;
use crate::daemon::updates;
use crate::decide::connection::Port;
use crate::edge::dialect::Dialect;
use crate::error;
use crate::error::Error;

/// Interval at which a shutdown checks whether requests are still open.
const OPEN_REQUESTS_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time reserved at the end of the grace period: requests still open by then are abandoned.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(150);
/// Callers may use a directory answer for up to this many times its time to live.
const MAX_CACHED_TTLS: u32 = 3;

/// Runs the daemon until SIGTERM or SIGINT, then drains it.
pub fn run(settings: Settings, dialect: Box<dyn Dialect>) -> ExitCode {
    error::exit(daemon::block_on(async |ex| run_until_signal(ex, settings, dialect).await))
}

/// Listens on an address. Accepted connections have the listener's receive buffer from their first
/// byte.
async fn listen(addr: std::net::SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(addr).await.map_err(|err| Error::Listen(addr, err))?;
    link::limit_receive_buffer(&listener).map_err(|err| Error::Listen(addr, err.into()))?;
    Ok(listener)
}

async fn run_until_signal(
    ex: Executor,
    settings: Settings,
    dialect: Box<dyn Dialect>,
) -> Result<(), Error> {
    // Registered before anything is served, so that an early SIGTERM also drains.
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let (daemon, accept_loop) = start(&ex, settings, dialect).await?;
    while let Some(signal) = signals.next().await {
        match signal? {
            Signal::Hup => daemon.note(&Event::Reload { changed: false }),
            _ => break,
        }
    }
    drain(&daemon).await;
    drop(accept_loop);
    finish(&daemon).await;
    Ok(())
}

/// Starts a daemon. Dropping the returned task closes the listener for callers.
///
/// # Errors
///
/// Fails when a configured address cannot be bound.
pub async fn start(
    ex: &Executor,
    settings: Settings,
    dialect: Box<dyn Dialect>,
) -> Result<(Rc<Daemon>, Task<()>), Error> {
    let front = listen(settings.front).await?;
    let ready = listen(settings.readiness).await?;
    let directory = listen(settings.directory).await?;
    let relay = listen(settings.peer).await?;
    let peers =
        peer::Sender::bind(settings.peer).await.map_err(|err| Error::Listen(settings.peer, err))?;
    let metrics = match settings.metrics {
        Some(addr) => Some(listen(addr).await?),
        None => None,
    };
    let daemon = Daemon::new(settings, dialect, ex.clone(), peers);
    daemon.note(&Event::Start {
        name: daemon.settings.name.clone(),
        born: daemon.started_at,
        millicores: daemon.settings.millicores,
    });
    let accept_loop = ex.spawn(front::serve(daemon.clone(), front));
    for (port, listener) in [(Port::Readiness, ready), (Port::Directory, directory)] {
        ex.spawn(directory::serve(daemon.clone(), port, listener)).detach();
    }
    if let Some(listener) = metrics {
        ex.spawn(directory::serve_operators(daemon.clone(), listener)).detach();
    }
    ex.spawn(relay::serve(daemon.clone(), relay)).detach();
    ex.spawn(store::config(daemon.clone())).detach();
    ex.spawn(store::instances(daemon.clone())).detach();
    ex.spawn(node::register(daemon.clone())).detach();
    ex.spawn(node::follow(daemon.clone())).detach();
    ex.spawn(node::heartbeat_check_loop(daemon.clone())).detach();
    ex.spawn(peer::gossip_loop(daemon.clone())).detach();
    ex.spawn(peer::receive_loop(daemon.clone())).detach();
    ex.spawn(quota::report_loop(daemon.clone())).detach();
    ex.spawn(broker::send_lists(daemon.clone())).detach();
    ex.spawn(broker::send_loads(daemon.clone())).detach();
    ex.spawn(lease::follow(daemon.clone())).detach();
    ex.spawn(refusals::follow(daemon.clone())).detach();
    ex.spawn(placer::run(daemon.clone())).detach();
    ex.spawn(updates::announce(daemon.clone())).detach();
    ex.spawn(journal::flush_loop(daemon.clone())).detach();
    ex.spawn(tally::log_counts(daemon.clone())).detach();
    ex.spawn(daemon::run_timers(daemon.clone())).detach();
    Ok((daemon, accept_loop))
}

/// Announces the shutdown and keeps serving while callers may still use cached directory answers,
/// then waits for open requests until the grace period ends.
pub async fn drain(daemon: &Rc<Daemon>) {
    daemon.shutting_down.set(true);
    daemon.note(&Event::Stop { reason: "signal", open: daemon.open_requests.get() });
    let shutdown_start = clock::now();
    daemon.shutdown_period.set(Some((
        shutdown_start,
        shutdown_start + daemon.settings.grace_period.saturating_sub(SHUTDOWN_MARGIN),
    )));
    daemon.stopping.notify(usize::MAX);
    peer::send_heartbeat(daemon);
    let announcement = async {
        // Both calls only save other daemons a wait, so their errors are ignored: without them the
        // lease expires and the heartbeats time out.
        let registered = node::write_registration(daemon, u64::MAX);
        let _ = smol::future::zip(lease::resign(daemon), registered).await;
    };
    let timeout = async {
        Timer::after(Duration::from_secs(2)).await;
    };
    smol::future::or(announcement, timeout).await;
    let directory_wait =
        (directory::ANSWER_TTL * MAX_CACHED_TTLS).min(daemon.settings.grace_period * 5 / 8);
    let elapsed = clock::now().saturating_sub(shutdown_start);
    Timer::after(directory_wait.saturating_sub(elapsed)).await;
    // Cached directory answers have expired, so no new requests are expected on idle connections.
    daemon.close_idle.notify(usize::MAX);
    let deadline = shutdown_start + daemon.settings.grace_period.saturating_sub(SHUTDOWN_MARGIN);
    let is_busy = || {
        daemon.open_requests.get() > 0
            || daemon.read_ahead.behind_count() > 0
            || daemon.blocked_outputs.get() > 0
    };
    while is_busy() && clock::now() < deadline {
        Timer::after(OPEN_REQUESTS_POLL_INTERVAL).await;
    }
}

async fn finish(daemon: &Rc<Daemon>) {
    daemon.note(&Event::Stop { reason: "drained", open: daemon.open_requests.get() });
    origin::hand_over(daemon).await;
    journal::write_pending(daemon).await;
}
