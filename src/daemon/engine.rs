//! Control calls to engines: reports and orders.
//!
//! An order is sent only while the lease is held, and is aborted before the lease ends. The
//! connection checks the boot clock when it writes the bytes, so that a daemon that was suspended
//! or runs late sends nothing under a lease that another daemon may hold by then.
//!
//! Responses do not name the call that they answer, and an endpoint may repeat an earlier response
//! late. Each call therefore has a connection of its own.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::contact;
use crate::daemon::gate;
use crate::daemon::gate::Call;
use crate::daemon::journal::Event;
use crate::daemon::link;
use crate::daemon::link::Link;
use crate::daemon::statement;
use crate::daemon::statement::Source;
use crate::decide::call_latency::Monitor;
use crate::decide::orders::Task;
use crate::edge::dialect::Acknowledgement;
use crate::edge::dialect::Order;
use crate::table::Fence;
use crate::table::instance::Key;
use crate::table::instance::Report;

/// Timeout of a report or of an order for a model.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of an order for an adapter. It is short because callers wait for the adapter, and a
/// retry is safe because each order names the expected number of accepted orders. It is several
/// times the round trip between regions.
const ADAPTER_ORDER_TIMEOUT: Duration = Duration::from_millis(300);
/// Divisor of the lease duration: the last part of this size is reserved for orders in flight,
/// which have to reach their engines before those of another holder can. With a lease of three
/// seconds it is several times the latency between regions, including one retransmitted packet.
const TRANSIT_DIVISOR: u32 = 6;
/// Time by which the kernel exceeds its timeout for bytes that the engine does not read: it counts
/// from its first probe of the engine's receive window.
const KERNEL_TIMEOUT_LAG: Duration = Duration::from_millis(280);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Orders in flight to engines.
#[derive(Debug, Default)]
pub struct Orders {
    in_flight: Cell<usize>,
    /// When the last order ended without a response: the engine may still receive it.
    last_unanswered: Cell<Option<Duration>>,
    /// Latency of calls to engines.
    latency: Cell<Monitor>,
}

impl Orders {
    /// Resets the latency monitor when the lease is acquired or lost: earlier latencies do not
    /// predict later ones.
    pub fn reset(&self) {
        self.latency.set(Monitor::default());
    }

    /// Returns whether no order is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight.get() == 0
    }

    /// Returns whether an order sent now would arrive late.
    pub fn is_late(&self) -> bool {
        self.latency.get().is_late()
    }

    /// Returns whether orders have been late for at least `span`.
    pub fn is_late_for(&self, now: Duration, span: Duration) -> bool {
        self.latency.get().late_since().is_some_and(|since| now >= since + span)
    }

    /// Returns whether no order has ended without a response since then.
    pub fn all_answered_since(&self, since: Duration) -> bool {
        self.last_unanswered.get().is_none_or(|failed_at| failed_at < since)
    }
}

/// A guard that counts an order as in flight until it is dropped.
struct Guard<'a>(&'a Orders);

impl<'a> Guard<'a> {
    fn new(orders: &'a Orders) -> Self {
        orders.in_flight.set(orders.in_flight.get() + 1);
        Guard(orders)
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Requests an engine's report; returns `None` if no complete report was received. `purpose` decides
/// whether the report is worth a permit under the engine's limit.
pub async fn report(daemon: &Rc<Daemon>, key: &Key, purpose: Call) -> Option<Report> {
    let req = daemon.dialect.report(&key.id).ok()?;
    gate::acquire(daemon, key, purpose).await.ok()?;
    let mut link = connect(daemon, key).await.ok()?;
    gate::check(daemon, key, purpose).ok()?;
    daemon.fleet.borrow_mut().record_control_call(key);
    let res = call(daemon, key, &mut link, req, ORDER_TIMEOUT).await.ok()?;
    statement::observe(daemon, key, res.status(), res.headers(), Source::Report);
    daemon.dialect.parse_report(&res).ok()
}

/// Makes a call and records its latency.
async fn call(
    daemon: &Daemon,
    key: &Key,
    link: &mut Link,
    req: Request<Bytes>,
    limit: Duration,
) -> Result<Response<Bytes>, link::Error> {
    let started_at = clock::now();
    let res = link.call(req, MAX_RESPONSE_BYTES, limit).await;
    let res = res.and_then(|res| reject_named(daemon, res));
    let mut latency = daemon.orders.latency.get();
    match &res {
        Ok(_) => {
            latency.record_answer(started_at, clock::now());
            daemon.fleet.borrow_mut().record_received(clock::now());
        }
        Err(link::Error::Timeout) => {
            latency.record_timeout(clock::now());
            daemon.fleet.borrow_mut().record_unanswered(clock::now(), key);
        }
        // Without a response, nothing is known about the latency.
        Err(_) => {}
    }
    if latency.is_late() != daemon.orders.is_late() {
        daemon.note(&Event::Path { late: latency.is_late() });
    }
    daemon.orders.latency.set(latency);
    res
}

/// Rejects a response that names a caller's request: it answers neither a report nor an order.
fn reject_named(daemon: &Daemon, res: Response<Bytes>) -> Result<Response<Bytes>, link::Error> {
    let (head, body) = res.into_parts();
    let named = daemon.dialect.parse_response(&head).id.filter(|id| !id.is_empty());
    match named {
        Some(_) => Err(link::Error::Malformed),
        None => Ok(Response::from_parts(head, body)),
    }
}

/// Opens a connection to an engine.
async fn connect(daemon: &Rc<Daemon>, key: &Key) -> Result<Link, link::Error> {
    let addr = daemon.fleet.borrow().get(key).map(|row| row.instance.address);
    let addr = addr.ok_or(link::Error::Connect)?;
    let started_at = clock::now();
    let link = link::dial(&daemon.ex, addr, ORDER_TIMEOUT).await;
    match &link {
        Ok(_) => {
            daemon.gauges.record_connection();
            contact::on_connected(daemon, key, clock::now() - started_at);
        }
        Err(err) => contact::on_failed(daemon, key, *err),
    }
    link
}

/// Returns how long an order under a token may still be in flight, or `None` if it must not be sent
/// any more.
fn time_left(daemon: &Daemon, now: Duration, token: Fence) -> Option<Duration> {
    let placer = daemon.placer.borrow();
    // Whatever delays an overdue renewal may delay orders as well.
    let held = placer.watch.term(now) == Some(token) && placer.watch.is_fresh(now);
    let time_left =
        placer.watch.remaining(now).checked_sub(daemon.settings.lease_duration / TRANSIT_DIVISOR);
    time_left.filter(|_| held)
}

/// Progress of sending an order.
#[derive(Debug, Default)]
struct Progress {
    /// When its bytes were handed to the kernel.
    written: Option<Duration>,
    /// End of the lease as known when the order was about to be written.
    lease_end: Duration,
}

/// Sends an order under a token, and waits for the response for at most `limit`.
async fn deliver(
    daemon: &Rc<Daemon>,
    key: &Key,
    req: Request<Bytes>,
    limit: Duration,
    token: Fence,
    progress: &mut Progress,
) -> Result<Response<Bytes>, link::Error> {
    let mut link = connect(daemon, key).await?;
    gate::check(daemon, key, Call::Order).map_err(|_| link::Error::Unsent)?;
    let now = clock::now();
    progress.lease_end = now + daemon.placer.borrow().watch.remaining(now);
    let lease_limit = time_left(daemon, now, token).ok_or(link::Error::Expired)?;
    let limit = limit.min(lease_limit);
    // The kernel's timer is set as well: this daemon's may fire late, while the bytes are still in
    // the socket.
    let kernel_timeout = limit.min(lease_limit.saturating_sub(KERNEL_TIMEOUT_LAG));
    link.set_unacked_timeout(kernel_timeout).map_err(|_| link::Error::Unsent)?;
    daemon.fleet.borrow_mut().record_control_call(key);
    let res = call(daemon, key, &mut link, req, limit).await;
    progress.written = link.written_at();
    let res = res?;
    statement::observe(daemon, key, res.status(), res.headers(), Source::Order);
    Ok(res)
}

fn millis(time: Duration) -> i64 {
    time.as_millis() as i64
}

/// Sends one order; returns `None` if no valid response was received.
pub async fn order(
    daemon: &Rc<Daemon>,
    key: &Key,
    task: &Task,
    expect: u64,
) -> Option<Acknowledgement> {
    let started_at = clock::now();
    let holds = {
        let placer = daemon.placer.borrow();
        let tracker = placer.tracker(key)?;
        tracker.resident.iter().map(|row| row.model.clone()).collect()
    };
    let token = daemon.placer.borrow().watch.term(started_at)?;
    // The lease may have been renewed since the order was decided.
    if !daemon.placer.borrow().is_covered(key, expect) {
        return None;
    }
    let order = Order {
        action: task.action,
        model: task.model.clone(),
        adapter: task.adapter.clone(),
        expect,
        holder: daemon.settings.name.clone(),
        token,
        endpoint: key.id.clone(),
    };
    let time_limit = if task.adapter.is_some() { ADAPTER_ORDER_TIMEOUT } else { ORDER_TIMEOUT };
    let mut progress = Progress::default();
    let number = daemon.placer.borrow_mut().late_orders.on_sent(started_at, key, task, expect);
    let guard = Guard::new(&daemon.orders);
    let permitted = gate::acquire(daemon, key, Call::Order).await;
    let outcome = match daemon.dialect.order(&order) {
        Err(_) => Err(link::Error::Malformed),
        Ok(_) if permitted.is_err() => Err(link::Error::Unsent),
        Ok(req) => deliver(daemon, key, req, time_limit, token, &mut progress).await,
    };
    let ordered = outcome.map(|res| daemon.dialect.parse_acknowledgement(&res));
    let now = clock::now();
    if progress.written.is_some() && ordered.is_err() {
        daemon.orders.last_unanswered.set(Some(now));
    }
    if progress.written.is_none() || matches!(ordered, Ok(Ok(_))) {
        daemon.placer.borrow_mut().late_orders.on_settled(key, number);
    }
    drop(guard);
    let text = match (&ordered, permitted) {
        (Ok(Ok(ordered)), _) => {
            let text: &'static str = ordered.into();
            text.to_string()
        }
        (Ok(Err(err)), _) => err.to_string(),
        (Err(_), Err(closed)) => {
            let text: &'static str = closed.into();
            text.to_string()
        }
        (Err(err), Ok(())) => err.to_string(),
    };
    daemon.note(&Event::Order {
        endpoint: key.id.clone(),
        action: task.action.into(),
        model: task.model.clone(),
        adapter: task.adapter.clone(),
        expect,
        token,
        holds,
        outcome: text,
        took: now.saturating_sub(started_at).as_millis() as u64,
        written: progress
            .written
            .map(|written_at| written_at.saturating_sub(started_at).as_millis() as u64),
        left: progress.written.map(|written_at| millis(progress.lease_end) - millis(written_at)),
        why: if task.adapter.is_some() { "wanted" } else { "demand" },
    });
    ordered.ok()?.ok()
}
