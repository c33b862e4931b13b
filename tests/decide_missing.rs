//! Models and adapters that callers request and no engine holds.

use std::collections::BTreeMap;
use std::time::Duration;

use poplarmux::decide::orders;
use poplarmux::decide::orders::Target;
use poplarmux::decide::orders::Task;
use poplarmux::decide::orders::Tracker;
use poplarmux::decide::spread;
use poplarmux::decide::spread::Host;
use poplarmux::decide::spread::Obstacle;
use poplarmux::decide::spread::Placement;
use poplarmux::decide::spread::Requirement;
use poplarmux::edge::dialect::Action;
use poplarmux::table::instance::Copies;
use poplarmux::table::instance::Key;
use poplarmux::table::instance::Report;
use poplarmux::table::instance::Resident;
use poplarmux::table::routing::Engines;
use poplarmux::table::routing::Model;

const NOW: Duration = Duration::from_secs(100);
/// Weights of each model, in MB.
const WEIGHTS_MB: f64 = 50.0;
const COLD_LOADS: u32 = 4;
const MAX_STEPS: usize = 4;

fn key(engine: usize) -> Key {
    Key { id: format!("e{engine}"), born: 1 }
}

fn requirement(model: &str, demand: f64) -> Requirement {
    Requirement {
        model: model.to_string(),
        weights_mb: WEIGHTS_MB,
        demand,
        requested_for: None,
        idle: false,
        missing_adapters: 0,
    }
}

fn missing(model: &str, demand: f64, requested_for: Duration) -> Requirement {
    Requirement { requested_for: Some(requested_for), ..requirement(model, demand) }
}

fn host(engine: usize, capacity_mb: f64, models: &[&str]) -> Host {
    Host {
        key: key(engine),
        region: "r".to_string(),
        slots: 64.0,
        weight_capacity_mb: capacity_mb,
        resident: models.iter().map(|model| (*model).to_string()).collect(),
        unloading: Vec::new(),
        loading: None,
        busy: false,
        cached: Vec::new(),
    }
}

fn plan(requirements: &[Requirement], hosts: &[Host]) -> Vec<Placement> {
    spread::plan(requirements, hosts, COLD_LOADS, MAX_STEPS)
}

/// Guards against a model that most callers request and that waits as long as a rare one.
#[test]
fn missing_model_with_more_demand_than_a_replica_is_placed_at_once() {
    let hosts: Vec<Host> = (0..4).map(|engine| host(engine, WEIGHTS_MB, &["a"])).collect();
    let just_now = Duration::from_millis(200);
    let steps = plan(&[requirement("a", 200.0), missing("b", 60.0, just_now)], &hosts);
    assert!(steps.iter().any(|step| step.model == "b"), "{steps:?}");
    let rare = [requirement("a", 200.0), missing("b", 2.0, just_now)];
    assert!(plan(&rare, &hosts).is_empty());
    let obstacles = spread::obstacles(&rare, &hosts, COLD_LOADS);
    assert_eq!(obstacles["b"], BTreeMap::from([(Obstacle::Demand, 4)]));
}

/// Guards against a model that is never loaded, as models that nobody requests keep all places.
#[test]
fn model_requested_in_vain_replaces_the_last_replica_of_an_idle_one() {
    let hosts = [host(0, WEIGHTS_MB, &["a"])];
    let evicted = |idle: bool, requested_for: u64| {
        let last = Requirement { idle, ..requirement("a", 0.0) };
        let wanted = missing("b", 2.0, Duration::from_secs(requested_for));
        plan(&[last, wanted], &hosts).into_iter().next().map(|step| step.evicted)
    };
    assert_eq!(evicted(true, 6), Some(vec!["a".to_string()]));
    assert_eq!(evicted(true, 1), None);
    assert_eq!(evicted(false, 6), None);
    let tracker =
        Tracker { target: Some(Target { load_accepted: false, ..target("b") }), ..tracker(&[]) };
    let trackers = BTreeMap::from([(key(0), tracker)]);
    assert!(orders::protected_models(&trackers, &key(0), |_| true).is_empty());
    assert_eq!(orders::protected_models(&trackers, &key(0), |_| false), ["a"]);
}

/// Guards against a model with too few replicas of which the log does not say why it gains none.
#[test]
fn model_with_too_few_replicas_has_obstacles() {
    let hosts = [host(0, WEIGHTS_MB, &["a"]), host(1, WEIGHTS_MB, &["b"])];
    let obstacles = |demands: [f64; 2]| {
        let requirements = [requirement("a", demands[0]), requirement("b", demands[1])];
        assert!(plan(&requirements, &hosts).is_empty());
        spread::obstacles(&requirements, &hosts, COLD_LOADS)
    };
    let crowded = obstacles([90.0, 80.0]);
    assert_eq!(crowded["a"].get(&Obstacle::Resident), Some(&1));
    assert_eq!(crowded["a"].values().sum::<usize>(), hosts.len());
    assert!(!crowded["a"].contains_key(&Obstacle::Turn));
    assert!(!crowded.contains_key("b"));
    assert_eq!(obstacles([1.0, 0.5])["a"], BTreeMap::from([(Obstacle::Pressure, 2)]));
}

/// Guards against the only engine with a model that loads another one for seconds, while callers wait
/// for the first one's adapters.
#[test]
fn engine_that_alone_can_load_requested_adapters_takes_no_model() {
    let starving = Requirement { missing_adapters: 3, ..requirement("a", 40.0) };
    let alone = [host(0, 2.0 * WEIGHTS_MB, &["a"])];
    let requested_for = Duration::from_secs(1);
    let wants = |requested_for| [starving.clone(), missing("b", 5.0, requested_for)];
    assert!(plan(&wants(requested_for), &alone).is_empty());
    let obstacles = spread::obstacles(&wants(requested_for), &alone, COLD_LOADS);
    assert_eq!(obstacles["b"], BTreeMap::from([(Obstacle::Adapters, 1)]));
    // Not for ever: the callers of the other model wait too.
    assert_eq!(plan(&wants(Duration::from_secs(6)), &alone).len(), 1);
    let two = [host(0, 2.0 * WEIGHTS_MB, &["a"]), host(1, 2.0 * WEIGHTS_MB, &["c"])];
    let steps = plan(&[&wants(requested_for)[..], &[requirement("c", 60.0)]].concat(), &two);
    assert!(steps.iter().all(|step| step.key == key(1)), "{steps:?}");
}

/// Guards against unloading a replica of a model whose callers wait for adapters.
#[test]
fn replica_of_a_model_with_missing_adapters_is_not_evicted() {
    let starving = Requirement { missing_adapters: 3, ..requirement("a", 40.0) };
    let hosts = [host(0, WEIGHTS_MB, &["a"]), host(1, WEIGHTS_MB, &["a"])];
    let wanted = missing("b", 30.0, Duration::from_secs(1));
    assert!(plan(&[starving.clone(), wanted.clone()], &hosts).is_empty());
    let satisfied = Requirement { missing_adapters: 0, ..starving };
    assert_eq!(plan(&[satisfied, wanted], &hosts).len(), 1);
}

fn engines() -> Engines {
    let model = |name: &str| Model {
        name: name.to_string(),
        weights_mb: WEIGHTS_MB,
        adapter_mb: 0.0,
        store_load_time: Duration::from_secs(5),
        disk_load_time: Duration::from_secs(1),
        memory_load_time: Duration::from_secs(1),
    };
    Engines {
        slots: 64,
        kv_tokens: 1_000,
        weights_mb: 200.0,
        adapter_slots: 2,
        loads_per_second: 1.0,
        models: ["a", "b"].map(model).into(),
    }
}

fn tracker(adapters: &[&str]) -> Tracker {
    let adapters = adapters.iter().map(|name| (*name).to_string()).collect();
    let resident = vec![Resident { model: "a".to_string(), adapters }];
    let mut tracker = Tracker::new(NOW, resident.clone(), Copies::default());
    let report = Report {
        started_at: None,
        busy: false,
        orders: 4,
        resident,
        pending_adapters: 0,
        copies: Copies::default(),
    };
    tracker.merge_report(NOW, report);
    tracker
}

fn target(model: &str) -> Target {
    Target {
        model: model.to_string(),
        evicted: Vec::new(),
        set_at: NOW,
        load_accepted: true,
        accepted_orders: 4,
    }
}

fn wanted(adapter: &str) -> (String, String) {
    ("a".to_string(), adapter.to_string())
}

fn task(action: Action, adapter: &str) -> Task {
    Task { action, model: "a".to_string(), adapter: Some(adapter.to_string()) }
}

/// Guards against an adapter that waits for an engine which loads a model for seconds, while another
/// engine could load it at once.
#[test]
fn adapter_goes_to_an_engine_that_loads_no_model() {
    let loading = Tracker { target: Some(target("b")), ..tracker(&[]) };
    let mut trackers = BTreeMap::from([(key(0), loading), (key(1), tracker(&[]))]);
    let chosen = |trackers: &BTreeMap<Key, Tracker>, requested: usize| {
        orders::engine_for_adapter(NOW, trackers, &key(requested), "a", &engines()).clone()
    };
    assert_eq!(chosen(&trackers, 0), key(1));
    assert_eq!(chosen(&trackers, 1), key(1));
    trackers.remove(&key(1));
    assert_eq!(chosen(&trackers, 0), key(0));
}

/// Guards against adapters that replace each other before the requests that wait for them arrive.
#[test]
fn adapter_stays_until_its_callers_could_use_it() {
    let mut tracker = tracker(&["x"]);
    tracker.record_adapter(NOW, &task(Action::Load, "y"));
    tracker.wanted_adapters.push_back(wanted("z"));
    let use_count = |_: &str, adapter: &str| if adapter == "y" { 0.5 } else { 2.0 };
    let next = |tracker: &mut Tracker, now| {
        orders::next_adapter_task(now, tracker, &engines(), use_count, |_, _| true)
    };
    assert_eq!(next(&mut tracker, NOW), Some(task(Action::Unload, "x")));
    let later = NOW + Duration::from_millis(500);
    assert_eq!(next(&mut tracker, later), Some(task(Action::Unload, "y")));
}

/// Guards against a starved adapter that is forgotten, as all adapters of its engine were just
/// loaded, and against one that waits behind others that don't starve.
#[test]
fn starved_adapter_comes_first_and_is_kept() {
    let mut tracker = tracker(&["x"]);
    tracker.record_adapter(NOW, &task(Action::Load, "x"));
    tracker.record_adapter(NOW, &task(Action::Load, "y"));
    tracker.wanted_adapters.extend([wanted("w"), wanted("z")]);
    let starved = |_: &str, adapter: &str| adapter == "z";
    let next = |tracker: &mut Tracker, now| {
        orders::next_adapter_task(now, tracker, &engines(), |_, _| 1.0, starved)
    };
    assert_eq!(next(&mut tracker, NOW), None);
    assert!(tracker.wanted_adapters.contains(&wanted("z")));
    tracker.resident[0].adapters.retain(|adapter| adapter != "y");
    assert_eq!(next(&mut tracker, NOW), Some(task(Action::Load, "z")));
}
