//! Sends orders to one engine, one at a time, and applies its responses.

use std::rc::Rc;
use std::time::Duration;

use smol::Timer;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::engine;
use crate::daemon::gate;
use crate::daemon::gate::Call;
use crate::daemon::placer::Placer;
use crate::daemon::placer::log_held;
use crate::daemon::placer::log_target;
use crate::daemon::placer::poll;
use crate::daemon::placer::service_of;
use crate::decide::orders;
use crate::decide::orders::Task;
use crate::edge::dialect::Acknowledgement;
use crate::edge::dialect::Action;
use crate::table::instance::Key;
use crate::table::routing::Engines;

/// Time after which a target whose load was not accepted is planned again. It is longer than the
/// longest stream that an unload waits for.
const TARGET_TIMEOUT: Duration = Duration::from_secs(9);
/// Time until an adapter is resident after its order was accepted.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(15);
/// Time added to the published load time before the engine is polled.
const LOAD_TIME_MARGIN: Duration = Duration::from_millis(60);

/// Sends the next order to an engine, if one is due, in a separate task.
pub(super) fn send_next(daemon: &Rc<Daemon>, now: Duration, key: &Key) {
    let Some(service) = service_of(daemon, key) else {
        return;
    };
    let Some(engines) = &service.engines else {
        return;
    };
    if daemon.orders.is_late() || gate::check(daemon, key, Call::Order).is_err() {
        return;
    }
    let (task, expect) = {
        let mut placer = daemon.placer.borrow_mut();
        let expect = placer.tracker(key).and_then(|tracker| tracker.accepted_orders);
        if !expect.is_some_and(|expect| placer.is_covered(key, expect)) {
            return;
        }
        let Placer { trackers, demand, cold_loads, missing_adapters, late_orders, .. } =
            &mut *placer;
        let starved = |model: &str, adapter: &str| {
            let missing_key = (service.name.clone(), model.to_string(), adapter.to_string());
            let missing = missing_adapters.get(&missing_key);
            missing.is_some_and(|missing| missing.is_starved(now))
        };
        let rate = |model: &str, adapter: &str| demand.adapter_count(now, model, adapter);
        // The protected models are computed only for a target, as that iterates over all engines.
        let has_target = match trackers.get(key) {
            Some(tracker)
                if !tracker.order_pending
                    && tracker.accepted_orders.is_some()
                    && now >= tracker.retry_at.max(tracker.held_until) =>
            {
                tracker.target.is_some()
            }
            _ => return,
        };
        let idle = |model: &str| demand.is_idle(now, model);
        let protected = match has_target {
            true => orders::protected_models(trackers, key, idle),
            false => Vec::new(),
        };
        let waits_in_vain = has_target && orders::waits_in_vain(trackers, key, &protected);
        let Some(tracker) = trackers.get_mut(key) else {
            return;
        };
        if waits_in_vain && let Some(target) = tracker.target.take() {
            tracker.draining = false;
            placer.queue_update(key);
            drop(placer);
            log_target(daemon, key, &target, "given_up");
            return;
        }
        // An aborted order may have been carried out since the target was set. Its model then takes
        // the memory that the target was planned with, and the load would crash the engine.
        let is_valid = tracker.target.as_ref().is_none_or(|target| {
            let remaining = tracker.resident.iter().map(|row| &row.model);
            let remaining = remaining.filter(|model| !target.evicted.contains(model));
            target.load_accepted
                || (now <= target.set_at + TARGET_TIMEOUT
                    && orders::fits(engines, remaining, &target.model))
        });
        if !is_valid {
            tracker.target = None;
        }
        let is_draining =
            tracker.next_model_task(&protected).is_some_and(|task| task.action == Action::Unload);
        let changed = is_draining != tracker.draining;
        tracker.draining = is_draining;
        if is_draining && (changed || !tracker.eviction_announced(now)) {
            // Queued again until it has been announced, as the target may have changed since. An
            // update that was sent recently is skipped.
            placer.queue_update(key);
            return;
        }
        // While a model is loading or unloading, the engine refuses all other orders.
        if tracker.next_poll.is_some() {
            return;
        }
        let task = tracker.next_model_task(&protected);
        let task = task.or_else(|| orders::next_adapter_task(now, tracker, engines, rate, starved));
        // The number of accepted orders belongs to the state on which this order was decided. If it
        // were read when the order is sent, it could come from a newer report, in which a delayed
        // order has already taken the memory.
        let (Some(task), Some(expect)) = (task, tracker.accepted_orders) else {
            return;
        };
        if let Some(blocked_until) = late_orders.blocked_until(now, key, tracker, &task, engines) {
            tracker.held_until = blocked_until;
            tracker.target = None;
            drop(placer);
            log_held(daemon, key, Some(&task), blocked_until.saturating_sub(now));
            return;
        }
        tracker.order_pending = true;
        let is_cold = !tracker.copies.has(&task.model);
        if task.action == Action::Load && task.adapter.is_none() && is_cold {
            cold_loads.push_back(now);
        }
        (task, expect)
    };
    let duration = expected_duration(daemon, key, &task, engines);
    let (shared, key) = (daemon.clone(), key.clone());
    let work = async move {
        execute(&shared, &key, &task, expect, duration).await;
        send_next(&shared, clock::now(), &key);
    };
    daemon.ex.spawn(work).detach();
}

/// Returns the expected duration of an order after it was accepted.
fn expected_duration(daemon: &Daemon, key: &Key, task: &Task, engines: &Engines) -> Duration {
    if task.adapter.is_some() {
        return ADAPTER_LOAD_TIME;
    }
    let placer = daemon.placer.borrow();
    let Some(tracker) = placer.trackers.get(key) else {
        return Duration::ZERO;
    };
    match (task.action, engines.model(&task.model)) {
        (Action::Unload, _) | (Action::Load, None) => Duration::ZERO,
        (Action::Load, Some(model)) => LOAD_TIME_MARGIN + model.load_time(&tracker.copies),
    }
}

/// Sends one order and applies the engine's response.
async fn execute(daemon: &Rc<Daemon>, key: &Key, task: &Task, expect: u64, duration: Duration) {
    let ordered = engine::order(daemon, key, task, expect).await;
    let now = clock::now();
    let is_adapter = task.adapter.is_some();
    let needs_poll = match daemon.placer.borrow_mut().trackers.get_mut(key) {
        Some(tracker) => tracker.record_answer(now, task, expect, ordered, duration),
        None => false,
    };
    if ordered == Some(Acknowledgement::Accepted) && is_adapter && task.action == Action::Load {
        Timer::after(duration).await;
        let mut placer = daemon.placer.borrow_mut();
        if let Some(tracker) = placer.trackers.get_mut(key) {
            tracker.record_adapter(clock::now(), task);
        }
        let service = placer.trackers.get(key).map(|tracker| tracker.service.clone());
        if let (Some(service), Some(adapter)) = (service, &task.adapter) {
            placer.missing_adapters.remove(&(service, task.model.clone(), adapter.clone()));
        }
    }
    if needs_poll {
        // A report that is read now may be from before the order.
        Timer::after(orders::MAX_REPORT_LAG).await;
        poll(daemon, key).await;
    }
    if let Some(tracker) = daemon.placer.borrow_mut().trackers.get_mut(key) {
        tracker.order_pending = false;
    }
    daemon.placer.borrow_mut().queue_update(key);
}
