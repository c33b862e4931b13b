//! Calls to engines beside requests: reports and orders.
//!
//! An order leaves only while the lease is held, by the boot clock right before, and is given up when
//! it ends: a machine that was suspended sends nothing under a lease that ran out.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::journal::Event;
use crate::daemon::link;
use crate::daemon::link::Link;
use crate::decide::desk::Task;
use crate::edge::dialect::Order;
use crate::edge::dialect::Ordered;
use crate::table::instance::Key;
use crate::table::instance::Report;

/// How long an order for a model, or a report, may take to be answered.
pub const ORDER: Duration = Duration::from_millis(900);
/// The same for an adapter: callers wait for it, and the number of orders that each names makes
/// sending again safe. Several times the way there and back between regions.
const ADAPTER_ORDER: Duration = Duration::from_millis(300);
/// The most bytes of a report.
const ANSWER_MAX: usize = 1 << 20;

/// Asks an engine for its report; none when no whole one came.
pub async fn report(daemon: &Rc<Daemon>, key: &Key) -> Option<Report> {
    let req = daemon.dialect.report(&key.id).ok()?;
    let res = exchange(daemon, key, req, ORDER, || Some(ORDER), |_| {}).await.ok()?;
    daemon.dialect.reported(&res).ok()
}

/// One call to an engine; right before it leaves `left` says how long it may be under way, if at all.
/// `written` is told when its bytes were handed to the kernel, if they were.
async fn exchange(
    daemon: &Rc<Daemon>,
    key: &Key,
    req: Request<Bytes>,
    limit: Duration,
    left: impl Fn() -> Option<Duration>,
    written: impl Fn(Option<Duration>),
) -> Result<Response<Bytes>, link::Error> {
    let addr = daemon.fleet.borrow().get(key).map(|row| row.instance.address);
    let addr = addr.ok_or(link::Error::Connect)?;
    let mut link = open(daemon, addr).await?;
    let left = left().ok_or(link::Error::Unsent)?;
    let res = link.call(req, ANSWER_MAX, limit.min(left)).await;
    written(link.written());
    let res = res?;
    daemon.pool.borrow_mut().give(addr, link, None);
    Ok(res)
}

async fn open(daemon: &Rc<Daemon>, addr: SocketAddr) -> Result<Link, link::Error> {
    let kept = daemon.pool.borrow_mut().take(addr);
    match kept {
        Some(link) => Ok(link),
        None => link::dial(&daemon.ex, addr, ORDER).await,
    }
}

fn millis(at: Duration) -> i64 {
    at.as_millis() as i64
}

/// Sends one order; none when no answer came.
pub async fn order(daemon: &Rc<Daemon>, key: &Key, task: &Task, expect: u64) -> Option<Ordered> {
    let began = clock::now();
    let holds = {
        let placer = daemon.placer.borrow();
        let desk = placer.desk(key)?;
        desk.resident.iter().map(|row| row.model.clone()).collect()
    };
    let token = daemon.placer.borrow().watch.term(began)?;
    let order = Order {
        action: task.action,
        model: task.model.clone(),
        adapter: task.adapter.clone(),
        expect,
        holder: daemon.settings.name.clone(),
        token,
        endpoint: key.id.clone(),
    };
    let limit = if task.adapter.is_some() { ADAPTER_ORDER } else { ORDER };
    // It is given up, and taken back from the wire, before another holder can order.
    let until = Cell::new(began);
    let left = || {
        let (placer, now) = (daemon.placer.borrow(), clock::now());
        let left = (placer.watch.term(now) == Some(token)).then(|| placer.watch.left(now))?;
        until.set(now + left);
        Some(left)
    };
    let written = Cell::new(None);
    let outcome = match daemon.dialect.order(&order) {
        Err(_) => Err(link::Error::Malformed),
        Ok(req) => exchange(daemon, key, req, limit, left, |at| written.set(at)).await,
    };
    let ordered = outcome.map(|res| daemon.dialect.ordered(&res));
    let now = clock::now();
    let text = match &ordered {
        Ok(Ok(ordered)) => {
            let text: &'static str = ordered.into();
            text.to_string()
        }
        Ok(Err(err)) => err.to_string(),
        Err(err) => err.to_string(),
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
        took: now.saturating_sub(began).as_millis() as u64,
        written: written.get().map(|at| at.saturating_sub(began).as_millis() as u64),
        left: written.get().map(|at| millis(until.get()) - millis(at)),
        why: if task.adapter.is_some() { "wanted" } else { "demand" },
    });
    if matches!(ordered, Err(link::Error::Connect)) {
        daemon.fleet.borrow_mut().unreachable(now, key);
    }
    ordered.ok()?.ok()
}
