//! Orders for one engine and the trend of demand, within what engines can bear.

use std::collections::BTreeMap;
use std::time::Duration;

use poplarmux::decide::orders;
use poplarmux::decide::orders::Target;
use poplarmux::decide::orders::Task;
use poplarmux::decide::orders::Tracker;
use poplarmux::decide::trend::Trend;
use poplarmux::edge::dialect::Acknowledgement;
use poplarmux::edge::dialect::Action;
use poplarmux::table::instance::Copies;
use poplarmux::table::instance::Key;
use poplarmux::table::instance::Report;
use poplarmux::table::instance::Residency;
use poplarmux::table::instance::Resident;
use poplarmux::table::routing::Engines;
use poplarmux::table::routing::Model;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn engines() -> Engines {
    let model = |(name, weights): (&str, f64)| Model {
        name: name.to_string(),
        weights_mb: weights,
        adapter_mb: 1.0,
        store_load_time: ms(5_000),
        disk_load_time: ms(1_000),
        memory_load_time: ms(500),
    };
    Engines {
        slots: 64,
        kv_tokens: 1_000,
        weights_mb: 102.0,
        adapter_slots: 2,
        loads_per_second: 1.0,
        models: [("a", 40.0), ("b", 40.0), ("c", 50.0)].map(model).into(),
    }
}

fn resident(rows: &[(&str, &[&str])]) -> Vec<Resident> {
    let row = |(model, adapters): &(&str, &[&str])| Resident {
        model: (*model).to_string(),
        adapters: adapters.iter().map(|name| (*name).to_string()).collect(),
    };
    rows.iter().map(row).collect()
}

fn engine(rows: &[(&str, &[&str])]) -> Tracker {
    let mut tracker = Tracker::new(ms(0), resident(rows), Copies::default());
    tracker.merge_report(ms(0), report(4, false, rows));
    tracker
}

fn report(orders: u64, busy: bool, rows: &[(&str, &[&str])]) -> Report {
    Report {
        started_at: None,
        busy,
        orders,
        resident: resident(rows),
        pending_adapters: 0,
        copies: Copies::default(),
    }
}

fn target(model: &str, evicted: &[&str]) -> Target {
    let evicted = evicted.iter().map(|name| (*name).to_string()).collect();
    Target {
        model: model.to_string(),
        evicted,
        set_at: ms(0),
        load_accepted: false,
        accepted_orders: 0,
    }
}

/// Sends an update to daemons if one is due.
fn send_update(tracker: &mut Tracker, millis: u64) -> Option<Residency> {
    let announcement = tracker.update_due(ms(millis));
    if let Some(announcement) = &announcement {
        tracker.last_sent = Some((announcement.clone(), ms(millis)));
    }
    announcement
}

fn task(action: Action, model: &str, adapter: Option<&str>) -> Task {
    Task { action, model: model.to_string(), adapter: adapter.map(str::to_string) }
}

/// An engine that is ordered to load what does not fit crashes with all its streams. Evicted models
/// are unloaded first, and their memory counts as free only once a report shows them gone.
#[test]
fn model_is_loaded_only_after_evicted_ones_are_gone() {
    let mut tracker = engine(&[("a", &[]), ("b", &[])]);
    tracker.target = Some(target("c", &["a"]));
    assert_eq!(tracker.next_model_task(&[]), Some(task(Action::Unload, "a", None)));
    tracker.record_accepted(ms(10), 4);
    tracker.merge_report(ms(300), report(5, true, &[("a", &[]), ("b", &[])]));
    assert!(tracker.next_poll.is_some());
    tracker.merge_report(ms(900), report(5, false, &[("b", &[])]));
    assert_eq!(tracker.next_model_task(&[]), Some(task(Action::Load, "c", None)));
}

/// The only other engine with a model crashes between plan and unload. The last replica must stay,
/// or callers are refused until the model is loaded again.
#[test]
fn last_replica_is_not_unloaded() {
    let mut tracker = engine(&[("a", &[]), ("b", &[])]);
    tracker.target = Some(target("c", &["a"]));
    assert_eq!(tracker.next_model_task(&["a".to_string()]), None);
}

/// Callers leave a model, and all three engines that hold it are to replace it by one with too few
/// replicas. Two unload it one directly after the other; the last replica stays until the model is
/// served elsewhere. If each counted the others as gone, all would wait six seconds for a load
/// while callers of the other model are refused.
#[test]
fn all_replicas_but_one_are_unloaded_at_once() {
    let key = |i: u64| Key { id: format!("e{i}"), born: 1 };
    let mut trackers: BTreeMap<Key, Tracker> = (0..3)
        .map(|i| (key(i), Tracker { target: Some(target("c", &["a"])), ..engine(&[("a", &[])]) }))
        .collect();
    for i in 0..3 {
        let protected = orders::sole_models(&trackers, &key(i));
        let tracker = trackers.get_mut(&key(i)).expect("known");
        tracker.draining = tracker.next_model_task(&protected).is_some();
        assert_eq!(tracker.draining, i < 2, "engine {i}");
    }
    trackers.insert(key(3), engine(&[("a", &[])]));
    assert!(orders::sole_models(&trackers, &key(2)).is_empty());
}

/// An order that had timed out is carried out seconds later and loads a model. The target that was
/// planned with that memory no longer fits.
#[test]
fn fit_counts_models_loaded_by_late_orders() {
    let engines = engines();
    let names = |list: &[&str]| -> Vec<String> { list.iter().map(|n| (*n).to_string()).collect() };
    let model = "c".to_string();
    assert!(orders::fits(&engines, names(&["a"]).iter(), &model));
    assert!(!orders::fits(&engines, names(&["a", "b"]).iter(), &model));
    assert!(!orders::fits(&engines, names(&["unpublished"]).iter(), &model));
}

/// An engine accepts an order, and its report that counts the order arrives before its answer. An
/// earlier order that had timed out then takes effect. If the first were counted twice, the number
/// of orders would match although the effect of the late one is not recorded, and the next load
/// would crash the engine.
#[test]
fn order_already_in_a_report_is_counted_once() {
    let mut tracker = engine(&[("a", &["x"])]);
    tracker.merge_report(ms(20), report(5, false, &[("a", &["x", "y"])]));
    tracker.record_accepted(ms(30), 4);
    assert_eq!(tracker.accepted_orders, Some(5));
    tracker.record_adapter(ms(0), &task(Action::Load, "a", Some("y")));
    assert_eq!(tracker.resident[0].adapters, ["x", "y"]);
}

/// While adapters are loaded and unloaded, every report is older than the last order. A loaded
/// model is recorded nevertheless; waiting for a pause left it unused for seconds.
#[test]
fn loaded_model_is_recorded_while_adapters_are_ordered() {
    let mut tracker = engine(&[("a", &["x"])]);
    tracker.target = Some(Target { load_accepted: true, accepted_orders: 5, ..target("b", &[]) });
    for expect in 4..10 {
        tracker.record_accepted(ms(10), expect);
    }
    assert!(!tracker.merge_models(&report(4, false, &[("a", &[])])));
    assert!(tracker.merge_models(&report(7, false, &[("a", &[]), ("b", &[])])));
    assert!(tracker.target.is_none() && tracker.serves("b"));
    assert_eq!(tracker.resident[0].adapters, ["x"]);
}

/// An adapter that is in use is unloaded when its last stream ends. Until then it takes up a slot:
/// one more adapter would crash the engine.
#[test]
fn adapter_in_use_takes_a_slot_until_it_is_unloaded() {
    let rows: &[(&str, &[&str])] = &[("a", &["x", "y"])];
    let mut tracker = engine(rows);
    tracker.unloading_adapters.push(("a".to_string(), "x".to_string()));
    tracker.merge_report(ms(300), report(5, false, rows));
    assert!(tracker.next_poll.is_some());
    assert_eq!(tracker.serving()[0].adapters, ["y"]);
    tracker.merge_report(ms(600), report(5, false, &[("a", &["y"])]));
    assert!(tracker.next_poll.is_none() && tracker.unloading_adapters.is_empty());
}

/// All adapter slots of an engine are in use. A new adapter does not evict any of them, unless it
/// is resident nowhere and its callers have waited: then the least used one is evicted.
#[test]
fn new_adapter_evicts_only_unused_ones_unless_it_starves() {
    let full: &[(&str, &[&str])] = &[("a", &["x", "y"])];
    let busy = |_: &str, adapter: &str| if adapter == "y" { 1.5 } else { 1.0 };
    let tracker_with_request = || {
        let mut tracker = engine(full);
        tracker.wanted_adapters.push_back(("a".to_string(), "z".to_string()));
        tracker
    };
    let next = |use_count: fn(&str, &str) -> f64, starved: bool| {
        orders::next_adapter_task(
            ms(0),
            &mut tracker_with_request(),
            &engines(),
            use_count,
            |_, _| starved,
        )
    };
    assert_eq!(next(busy, false), None);
    assert_eq!(next(busy, true), Some(task(Action::Unload, "a", Some("x"))));
    assert_eq!(next(|_, _| 0.0, false), Some(task(Action::Unload, "a", Some("x"))));
    let mut with_free_slot = engine(&[("a", &["x"])]);
    with_free_slot.wanted_adapters.push_back(("a".to_string(), "z".to_string()));
    let load =
        orders::next_adapter_task(ms(0), &mut with_free_slot, &engines(), busy, |_, _| false);
    assert_eq!(load, Some(task(Action::Load, "a", Some("z"))));
}

/// Guards against an adapter that is ordered to an engine whose memory is full before its places are.
#[test]
fn adapter_is_not_loaded_beyond_the_memory() {
    let limits = Engines { weights_mb: 91.5, ..engines() };
    let next = |tracker: &mut Tracker| {
        orders::next_adapter_task(ms(0), tracker, &limits, |_, _| 1.0, |_, _| true)
    };
    let mut full = engine(&[("a", &["x"]), ("c", &[])]);
    full.wanted_adapters.push_back(("c".to_string(), "z".to_string()));
    assert_eq!(next(&mut full), Some(task(Action::Unload, "a", Some("x"))));
    full.resident[0].adapters.clear();
    assert_eq!(next(&mut full), Some(task(Action::Load, "c", Some("z"))));
}

/// Guards against an adapter that waits for an engine with no room for any, while another one has room.
#[test]
fn adapter_goes_to_an_engine_with_room() {
    let key = |i: u64| Key { id: format!("e{i}"), born: 1 };
    let limits = Engines { weights_mb: 90.5, ..engines() };
    let trackers = BTreeMap::from([
        (key(0), engine(&[("a", &[]), ("c", &[])])),
        (key(1), engine(&[("a", &[]), ("b", &[])])),
    ]);
    let requested = key(0);
    let chosen = orders::engine_for_adapter(ms(0), &trackers, &requested, "a", &limits);
    assert_eq!(*chosen, key(1));
}

fn trend_of(rate: impl Fn(u64) -> f64) -> (Trend, Duration) {
    let mut trend = Trend::new(ms(0));
    for step in 0..120 {
        trend.add(ms(step * 100), rate(step) / 10.0);
    }
    (trend, ms(11_900))
}

/// Demand rises for seconds before the old replicas are full: the plan uses the demand expected at
/// the end of a load. Steady demand is taken as it is, and falling demand as falling.
#[test]
fn trend_extrapolates_demand() {
    let (steady, now) = trend_of(|_| 40.0);
    assert!((steady.forecast(now) - 40.0).abs() < 10.0, "{}", steady.forecast(now));
    let (rising, now) = trend_of(|step| step.saturating_sub(80) as f64);
    // By the end of a load 39 requests per second are expected.
    assert!(rising.forecast(now) > 44.0, "{}", rising.forecast(now));
    let (falling, now) = trend_of(|step| 40.0 - step.saturating_sub(80) as f64);
    assert!(falling.forecast(now) < 10.0, "{}", falling.forecast(now));
}

/// Of a hundred engines, each polled every few seconds, a hundred daemons need only the changes.
/// While a model is unloaded, updates are frequent enough that daemons do not fall back to the
/// entry that the engine registered, which still names the model.
#[test]
fn unchanged_state_is_not_sent_again() {
    let mut tracker = engine(&[("a", &[]), ("b", &[])]);
    assert!(send_update(&mut tracker, 10).is_some());
    tracker.merge_report(ms(3_000), report(4, false, &[("a", &[]), ("b", &[])]));
    assert_eq!(send_update(&mut tracker, 3_000), None);
    tracker.record_adapter(ms(0), &task(Action::Load, "a", Some("x")));
    assert!(send_update(&mut tracker, 3_100).is_some());
    assert_eq!(send_update(&mut tracker, 3_200), None);
    (tracker.target, tracker.draining) = (Some(target("c", &["a"])), true);
    let update = send_update(&mut tracker, 3_300).expect("a goes");
    assert_eq!(update.resident, resident(&[("b", &[])]));
    assert!(send_update(&mut tracker, 4_600).is_some());
}

/// The holder of the lease is late and would send an unload before daemons have the update: they
/// would go on sending requests, which are refused after the unload.
#[test]
fn eviction_waits_for_the_update_of_daemons() {
    let mut tracker = engine(&[("a", &[]), ("b", &[])]);
    assert!(send_update(&mut tracker, 10).is_some());
    (tracker.target, tracker.draining) = (Some(target("c", &["a"])), true);
    assert!(!tracker.eviction_announced(ms(5_000)));
    assert!(send_update(&mut tracker, 5_000).is_some());
    assert!(!tracker.eviction_announced(ms(5_010)));
    assert!(tracker.eviction_announced(ms(5_100)));
}

/// A report from before a model was unloaded must not make it count as resident once it is a target
/// again: the engine would be ordered to unload it, and the answer would be miscounted.
#[test]
fn outdated_report_does_not_show_a_target_that_was_not_ordered() {
    let mut tracker = engine(&[("a", &[]), ("b", &[])]);
    tracker.merge_report(ms(10), report(5, false, &[("b", &[])]));
    tracker.target = Some(target("a", &[]));
    assert!(!tracker.on_report(ms(20), report(4, false, &[("a", &[]), ("b", &[])])));
    assert!(!tracker.serves("a"));
}

/// An engine that does not hold a model answers that its unload is done, and does not count it as
/// an order. If it were counted here, a late order would make the counts match again, and the next
/// load would exceed the engine's memory.
#[test]
fn unload_of_an_absent_model_is_not_counted() {
    let mut tracker = engine(&[("a", &[]), ("b", &[])]);
    let unload = Task { action: Action::Unload, model: "a".to_string(), adapter: None };
    let answer = Some(Acknowledgement::Already);
    assert!(tracker.record_answer(ms(10), &unload, 4, answer, ms(0)), "a report is required");
    assert_eq!(tracker.accepted_orders, Some(4));
}

/// A late order of an earlier holder is being carried out when the target is found resident in an
/// outdated report: the next order has to wait for a report that shows the late one.
#[test]
fn outdated_report_does_not_end_the_wait_for_a_recent_one() {
    let mut tracker = engine(&[("a", &[])]);
    tracker.target = Some(target("b", &[]));
    let load = Task { action: Action::Load, model: "b".to_string(), adapter: None };
    tracker.record_answer(ms(10), &load, 4, Some(Acknowledgement::Accepted), ms(100));
    tracker.on_report(ms(200), report(6, true, &[("a", &[]), ("b", &[])]));
    tracker.target = Some(Target { load_accepted: true, accepted_orders: 5, ..target("b", &[]) });
    assert!(tracker.on_report(ms(210), report(5, false, &[("a", &[]), ("b", &[])])));
    assert!(tracker.next_poll.is_some());
}

/// The last replica of an idle model is unloaded, unless it is requested before its unload begins:
/// then the target is given up, as it would keep the engine from other loads until it times out.
#[test]
fn target_whose_idle_model_is_requested_again_is_given_up() {
    let key = |i: u64| Key { id: format!("e{i}"), born: 1 };
    let copies = Copies { memory: vec!["a".to_string()], disk: Vec::new() };
    let first = Tracker { target: Some(target("c", &["a"])), copies, ..engine(&[("a", &[])]) };
    let mut trackers = BTreeMap::from([(key(0), first), (key(1), engine(&[("b", &[])]))]);
    assert!(orders::protected_models(&trackers, &key(0), |_| true).is_empty());
    let protected = orders::protected_models(&trackers, &key(0), |_| false);
    assert!(orders::waits_in_vain(&trackers, &key(0), &protected));
    trackers.get_mut(&key(1)).expect("known").target = Some(target("a", &[]));
    assert!(!orders::waits_in_vain(&trackers, &key(0), &protected), "it loads elsewhere");
}
