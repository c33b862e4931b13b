//! The lease that decides which daemon places models: follows, acquires, renews and returns it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use smol::Timer;
use smol::future;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::contact;
use crate::daemon::journal::Event;
use crate::daemon::placer;
use crate::daemon::store;
use crate::daemon::tally::Op;
use crate::decide::lease;
use crate::decide::lease::Lease;
use crate::edge::dialect::Consistency;
use crate::edge::dialect::Kind;
use crate::edge::dialect::Object;
use crate::edge::dialect::Revision;
use crate::edge::dialect::WriteResult;

/// Name of the lease object in the store's first era.
const FIRST_LEASE_NAME: &str = "placer";
/// Interval at which a daemon that does not hold the lease reads it. These are stale reads, which
/// cost a tenth of a current read.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// Read interval while a larger daemon is alive, to which a free lease is left anyway.
const DEFERRED_READ_INTERVAL: Duration = Duration::from_millis(2_500);
/// Time for which a daemon leaves a free lease to larger ones, which need a read, a step and a
/// write to acquire it. Placement for a large fleet needs more CPU than the smallest machines have.
const MAX_DEFERRAL: Duration = Duration::from_millis(1_500);
/// Number of lease durations for which a daemon whose orders were late leaves the lease to others.
const PAUSED_LEASES: u32 = 3;
/// Interval between checks whether all orders have ended.
const ORDER_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between checks whether the lease has to be read, written or returned.
const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the name of the lease object in an era of the store. It differs between eras, so that a
/// delayed write of an earlier era does not change the lease.
fn object_name(era: u64) -> String {
    if era == 0 { FIRST_LEASE_NAME.to_string() } else { format!("{FIRST_LEASE_NAME}-{era}") }
}

/// Parses the lease in an object and returns it with its revision within the store's era.
fn parse_lease(object: &Object) -> Option<(u64, Lease)> {
    let lease = serde_json::from_value(object.spec.clone()).ok()?;
    Some((object.revision.number, lease))
}

/// Follows the lease, and acquires, renews or returns it when that is due.
pub async fn follow(daemon: Rc<Daemon>) {
    let mut last_read = Duration::ZERO;
    let mut paused_until = Duration::ZERO;
    loop {
        let now = clock::now();
        let holds_lease = daemon.placer.borrow().holds_lease(now);
        if holds_lease && should_resign(&daemon, now) {
            resign(&daemon).await;
            paused_until = now + daemon.settings.lease_duration * PAUSED_LEASES;
        } else {
            let larger = daemon.nodes.borrow().has_larger(now, daemon.settings.millicores);
            let interval = if larger { DEFERRED_READ_INTERVAL } else { READ_INTERVAL };
            if !holds_lease && now >= last_read + interval {
                read_lease(&daemon).await;
                last_read = clock::now();
            }
            write_if_due(&daemon, holds_lease, paused_until).await;
        }
        record_term(&daemon);
        let unlisted = daemon.placer.borrow().engine_unlisted();
        let timer = async {
            Timer::after(STEP_INTERVAL).await;
        };
        future::or(timer, unlisted).await;
    }
}

/// Returns whether the holder has to return the lease.
fn should_resign(daemon: &Daemon, now: Duration) -> bool {
    // Other daemons may reach the engines: placement must not wait for this one's network or
    // event loop.
    let orders_late = daemon.orders.is_late_for(now, daemon.settings.lease_duration)
        && daemon.nodes.borrow().live_count(now) > 1;
    // A lease that was returned may be held again if the response to a renewal arrives later, so
    // this stays true for as long as the daemon is stopping.
    orders_late || contact::should_hand_over(daemon, now) || daemon.shutting_down.get()
}

/// Acquires or renews the lease if that is due.
async fn write_if_due(daemon: &Daemon, holds_lease: bool, paused_until: Duration) {
    let now = clock::now();
    let unavailable = daemon.store.is_unavailable(now);
    if unavailable && holds_lease {
        let until = daemon.nodes.borrow().outage_until(now, daemon.settings.lease_duration);
        if let Some(until) = until {
            daemon.placer.borrow_mut().watch.extend(now, until);
        }
    }
    // An attempt to acquire the lease while the store is unavailable could take effect late, after
    // another daemon has extended its own lease.
    let may_write = holds_lease
        || (daemon.ready()
            && !unavailable
            && now >= paused_until
            && !contact::should_hand_over(daemon, now)
            && !defers_to_larger(daemon, now));
    let write = if may_write { next_write(daemon, now) } else { None };
    if let Some(write) = write {
        send_write(daemon, &write).await;
    }
}

/// Returns the write of the lease that is due. An engine that the lease object does not list gets no
/// orders, so it is listed at once.
fn next_write(daemon: &Daemon, now: Duration) -> Option<lease::Write> {
    let mut placer = daemon.placer.borrow_mut();
    let due = placer.watch.next_write(now);
    if due.is_none() && !placer.holds_lease(now) {
        return None;
    }
    let engines = placer::engines(daemon);
    let is_unlisted = due.is_none() && placer.has_unlisted(&engines);
    let mut write = if is_unlisted { placer.watch.renewal(now) } else { due }?;
    write.lease.handover = Some(placer.handover(now, write.lease.term, engines));
    Some(write)
}

/// Returns whether the lease, if it is free, is left to a larger daemon for now.
fn defers_to_larger(daemon: &Daemon, now: Duration) -> bool {
    let free_since = daemon.placer.borrow().watch.free_since(now);
    let larger = daemon.nodes.borrow().has_larger(now, daemon.settings.millicores);
    larger && free_since.is_some_and(|free_since| now < free_since + MAX_DEFERRAL)
}

async fn read_lease(daemon: &Daemon) {
    let era = daemon.store.era();
    let Ok(req) = daemon.dialect.get(Kind::Leases, &object_name(era), Consistency::Stale) else {
        return;
    };
    let Ok(res) = store::short_call(daemon, Kind::Leases, Op::GetStale, req).await else {
        return;
    };
    let Ok(found) = daemon.dialect.parse_object(&res) else {
        return;
    };
    let mut placer = daemon.placer.borrow_mut();
    let is_other = found.as_ref().is_some_and(|found| found.name != object_name(era));
    if daemon.store.era() != era || is_other {
        return;
    }
    let absent = Revision { era, number: 0 };
    let revision = found.as_ref().map_or(absent, |found| found.revision);
    let found = found.as_ref().and_then(parse_lease);
    // The clock is read after the response: however long the read took, the lease in it may have
    // been written just before. Stale reads may be older than the known revision.
    if revision >= placer.revision {
        placer.revision = revision;
        placer.watch.on_read(clock::now(), found);
    }
}

async fn send_write(daemon: &Daemon, write: &lease::Write) {
    let spec = serde_json::json!(write.lease);
    let era = daemon.store.era();
    let (op, req) = match write.expect {
        None => (Op::Create, daemon.dialect.create(Kind::Leases, &object_name(era), &spec)),
        Some(number) => {
            let revision = Revision { era, number };
            (
                Op::Replace,
                daemon.dialect.replace(Kind::Leases, &object_name(era), Some(revision), &spec),
            )
        }
    };
    let Ok(req) = req else {
        return;
    };
    let sent = clock::now();
    let acquires = !daemon.placer.borrow().holds_lease(sent);
    let previous = daemon.placer.borrow().unconfirmed_write;
    if acquires {
        // Until the response arrives, heartbeats must not report the store as unavailable: this
        // write may succeed.
        daemon.placer.borrow_mut().unconfirmed_write = Some(sent);
    }
    let res = store::short_call(daemon, Kind::Leases, op, req).await;
    let now = clock::now();
    if acquires {
        let response_lost = matches!(res, Err(store::Error::Link(_)));
        daemon.placer.borrow_mut().unconfirmed_write =
            if response_lost { Some(now) } else { previous };
    }
    let outcome = match res {
        // The write was based on a state that the store has lost, whether or not it was applied.
        Ok(_) if daemon.store.era() != era => "outdated",
        Ok(res) => apply_response(daemon, now, write, &res),
        Err(_) => "failed",
    };
    daemon.note(&Event::Renewal {
        token: write.lease.term,
        took: now.saturating_sub(sent).as_millis() as u64,
        outcome,
    });
}

/// Applies the store's response to a write, and returns the outcome for the log.
fn apply_response(
    daemon: &Daemon,
    now: Duration,
    write: &lease::Write,
    res: &Response<Bytes>,
) -> &'static str {
    let mut placer = daemon.placer.borrow_mut();
    let name = object_name(daemon.store.era());
    match daemon.dialect.parse_write(res) {
        Ok(WriteResult::Done(object) | WriteResult::Conflict(Some(object)))
            if object.name != name =>
        {
            "foreign"
        }
        // Whether it was applied is unknown: the response is to another write of this object.
        Ok(WriteResult::Done(done))
            if parse_lease(&done).is_none_or(|(_, lease)| lease != write.lease) =>
        {
            "foreign"
        }
        Ok(WriteResult::Done(done)) => {
            placer.revision = done.revision;
            placer.watch.on_applied(now, done.revision.number, write);
            "applied"
        }
        Ok(WriteResult::Conflict(Some(current))) => {
            placer.revision = current.revision;
            let current = parse_lease(&current);
            placer.watch.on_refused(now, current);
            "conflict"
        }
        Ok(WriteResult::Missing) => {
            placer.watch.on_refused(now, None);
            "missing"
        }
        Ok(WriteResult::Conflict(None)) => "conflict",
        Ok(WriteResult::Refused) => "refused",
        Err(_) => "unreadable",
    }
}

fn record_term(daemon: &Daemon) {
    let now = clock::now();
    let mut placer = daemon.placer.borrow_mut();
    let term = placer.watch.term(now);
    if term == placer.logged_term {
        return;
    }
    // Each acquisition raises the term by one: if this term follows the last one directly, no other
    // daemon has sent orders in between.
    let is_successor = term.is_some() && term == placer.logged_term.map(|previous| previous + 1);
    placer.logged_term = term;
    let lease = placer.watch.observed();
    let token = lease.map_or(0, |lease| lease.term);
    let holder = lease.and_then(|lease| lease.holder.as_ref());
    let holder = holder.map(|holder| holder.address.clone()).unwrap_or_default();
    if let Some(token) = term {
        placer.on_acquired(now, token);
    }
    if !is_successor {
        placer.reset(now, term, daemon.settings.lease_duration);
        daemon.orders.reset();
    }
    drop(placer);
    daemon.note(&Event::Lease { held: term.is_some(), token, holder });
}

/// Stops sending orders and returns the lease, so that another daemon acquires it at once. If an
/// order may still reach its engine, the lease is left to expire instead: an order of the next
/// holder could arrive first.
pub async fn resign(daemon: &Daemon) {
    let started_at = clock::now();
    let write = daemon.placer.borrow_mut().watch.resign(started_at);
    record_term(daemon);
    let Some(write) = write else {
        return;
    };
    while !daemon.orders.is_idle() {
        Timer::after(ORDER_POLL_INTERVAL).await;
    }
    if daemon.orders.all_answered_since(started_at.saturating_sub(daemon.settings.lease_duration)) {
        send_write(daemon, &write).await;
    }
}
