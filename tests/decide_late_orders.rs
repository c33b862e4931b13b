//! Orders without an answer to engines that restart under their ids.

use std::time::Duration;

use poplarmux::decide::handover::Floor;
use poplarmux::decide::handover::Handover;
use poplarmux::decide::handover::MAX_ENGINES;
use poplarmux::decide::late_orders::LateOrders;
use poplarmux::decide::late_orders::MAX_DELAY;
use poplarmux::decide::orders::Task;
use poplarmux::decide::orders::Tracker;
use poplarmux::edge::dialect::Action;
use poplarmux::table::instance::Copies;
use poplarmux::table::instance::Key;
use poplarmux::table::instance::Resident;
use poplarmux::table::routing::Engines;
use poplarmux::table::routing::Model;

const NOW: Duration = Duration::from_secs(100);

/// Returns engines with memory for two of three models, and with places for two adapters.
fn engines() -> Engines {
    let model = |(name, weights): (&str, f64)| Model {
        name: name.to_string(),
        weights_mb: weights,
        adapter_mb: 0.0,
        store_load_time: Duration::from_secs(5),
        disk_load_time: Duration::from_secs(1),
        memory_load_time: Duration::from_secs(1),
    };
    Engines {
        slots: 64,
        kv_tokens: 1_000,
        weights_mb: 100.0,
        adapter_slots: 2,
        loads_per_second: 1.0,
        models: [("a", 40.0), ("b", 40.0), ("c", 50.0)].map(model).into(),
    }
}

fn key(born: u64) -> Key {
    Key { id: "i-0".to_string(), born }
}

fn load(model: &str) -> Task {
    Task { action: Action::Load, model: model.to_string(), adapter: None }
}

fn load_adapter(adapter: &str) -> Task {
    Task { adapter: Some(adapter.to_string()), ..load("a") }
}

fn resident(models: &[&str], adapters: &[&str]) -> Vec<Resident> {
    let adapters: Vec<String> = adapters.iter().map(|name| (*name).to_string()).collect();
    let row = |model: &&str| Resident { model: (*model).to_string(), adapters: adapters.clone() };
    models.iter().map(row).collect()
}

/// Returns until when an order to the incarnation that started at `born` is blocked.
fn blocked_until(
    late_orders: &LateOrders,
    now: Duration,
    born: u64,
    task: &Task,
    expect: u64,
    resident: &[Resident],
) -> Option<Duration> {
    let mut tracker = Tracker::new(now, resident.to_vec(), Copies::default());
    tracker.accepted_orders = Some(expect);
    late_orders.blocked_until(now, &key(born), &tracker, task, &engines())
}

/// Guards against an engine that restarts under its id, gets a load, and then takes two late loads
/// of its earlier incarnation one after another, which exceed its memory.
#[test]
fn late_orders_in_a_row_after_a_restart_are_left_room() {
    let mut late_orders = LateOrders::default();
    late_orders.on_sent(NOW, &key(1), &load("c"), 1);
    late_orders.on_sent(NOW, &key(1), &load("a"), 2);
    let later = NOW + Duration::from_secs(1);
    let blocked = blocked_until(&late_orders, later, 2, &load("b"), 0, &[]);
    assert_eq!(blocked, Some(NOW + MAX_DELAY));
    // What a late order is to load anyway fits.
    assert_eq!(blocked_until(&late_orders, later, 2, &load("a"), 0, &[]), None);
    assert_eq!(blocked_until(&late_orders, NOW + MAX_DELAY, 2, &load("b"), 0, &[]), None);
}

/// Guards against an engine without models because late orders are out that it can't accept, as
/// there is a gap in their numbers.
#[test]
fn late_orders_after_a_gap_block_nothing() {
    let mut late_orders = LateOrders::default();
    late_orders.on_sent(NOW, &key(1), &load("c"), 7);
    late_orders.on_sent(NOW, &key(1), &load("a"), 8);
    assert_eq!(blocked_until(&late_orders, NOW, 2, &load("b"), 0, &[]), None);
    let held = resident(&["b"], &[]);
    assert!(blocked_until(&late_orders, NOW, 2, &load_adapter("a1"), 6, &held).is_some());
}

/// Guards against blocking an engine that has not restarted: a late order excludes the one that
/// was sent in its place.
#[test]
fn late_orders_of_the_same_incarnation_block_nothing() {
    let mut late_orders = LateOrders::default();
    late_orders.on_sent(NOW, &key(1), &load("c"), 4);
    assert_eq!(blocked_until(&late_orders, NOW, 1, &load("a"), 4, &resident(&["b"], &[])), None);
}

/// Guards against late orders that would follow one another in an empty engine, without any order
/// to its new incarnation.
#[test]
fn orders_that_an_empty_engine_could_take_in_a_row_fit_together() {
    let mut late_orders = LateOrders::default();
    late_orders.on_sent(NOW, &key(1), &load("a"), 0);
    late_orders.on_sent(NOW, &key(1), &load("c"), 1);
    assert!(blocked_until(&late_orders, NOW, 1, &load("b"), 2, &resident(&["a"], &[])).is_some());
    assert_eq!(blocked_until(&late_orders, NOW, 1, &load("a"), 2, &resident(&["c"], &[])), None);
}

/// Guards against late orders for adapters that exceed an engine's places for them.
#[test]
fn late_orders_for_adapters_are_left_places() {
    let mut late_orders = LateOrders::default();
    late_orders.on_sent(NOW, &key(1), &load_adapter("a3"), 2);
    let held = resident(&["a"], &["a1"]);
    let blocked =
        |adapter| blocked_until(&late_orders, NOW, 2, &load_adapter(adapter), 1, &held).is_some();
    assert!(blocked("a2"));
    assert!(!blocked("a3"));
}

/// Guards against blocking an engine for an order that was answered, or never written.
#[test]
fn settled_orders_block_nothing() {
    let mut late_orders = LateOrders::default();
    late_orders.on_sent(NOW, &key(1), &load("c"), 1);
    let number = late_orders.on_sent(NOW, &key(1), &load("a"), 2);
    late_orders.on_settled(&key(1), number);
    assert_eq!(blocked_until(&late_orders, NOW, 2, &load("b"), 0, &[]), None);
}

/// Guards against orders of another holder, of which nothing is known, to an earlier incarnation.
#[test]
fn restarted_engine_gets_no_order_while_those_of_another_holder_may_arrive() {
    let mut late_orders = LateOrders::default();
    late_orders.on_acquired(NOW, 5, false, &Handover::unknown());
    assert_eq!(late_orders.held_until(NOW, Duration::from_secs(3)), Some(NOW + MAX_DELAY));
    assert_eq!(late_orders.held_until(NOW, Duration::from_secs(25)), None);
}

/// Guards against holding engines back where nobody else can have sent orders.
#[test]
fn first_holder_and_its_own_successor_hold_nothing_back() {
    let mut late_orders = LateOrders::default();
    late_orders.on_acquired(NOW, 1, true, &Handover::unknown());
    late_orders.on_acquired(NOW + Duration::from_secs(9), 2, false, &Handover::unknown());
    assert_eq!(late_orders.held_until(NOW, Duration::ZERO), None);
}

/// Returns the record of a holder that has acquired the lease at `NOW` from one that told this.
fn successor(previous: &Handover) -> LateOrders {
    let mut late_orders = LateOrders::default();
    late_orders.on_acquired(NOW, 5, false, previous);
    late_orders
}

/// Guards against a holder that orders an engine beyond its memory beside a late order of an earlier
/// holder, as no daemon has outlived the restart of the engine.
#[test]
fn engine_that_was_listed_with_another_incarnation_is_left_room_for_orders_to_that_one() {
    let mut earlier = LateOrders::default();
    let before = earlier.handover(NOW, [(key(1), Some(2))]);
    // Sent after the last renewal of the lease, before the daemon is killed.
    earlier.on_sent(NOW, &key(1), &load("c"), 2);
    let late_orders = successor(&before);
    let blocked = |now, expect| blocked_until(&late_orders, now, 2, &load("b"), expect, &[]);
    assert_eq!(blocked(NOW, 0), None);
    assert_eq!(blocked(NOW, 1), Some(NOW + MAX_DELAY));
    assert_eq!(blocked(NOW, 2), Some(NOW + MAX_DELAY));
    assert_eq!(blocked(NOW + MAX_DELAY, 2), None);
    // All orders are known by their numbers.
    assert_eq!(late_orders.held_until(NOW, Duration::ZERO), None);
}

/// Guards against an engine that waits after each change of the lease.
#[test]
fn engine_of_the_listed_incarnation_is_not_held_back() {
    let mut earlier = LateOrders::default();
    earlier.on_sent(NOW, &key(1), &load("c"), 0);
    let late_orders = successor(&earlier.handover(NOW, [(key(1), Some(4))]));
    assert_eq!(blocked_until(&late_orders, NOW, 1, &load("a"), 0, &[]), None);
    assert_eq!(late_orders.held_until(NOW, Duration::ZERO), None);
}

/// Guards against a new engine that waits after a change of the lease.
#[test]
fn engine_that_was_not_listed_is_not_held_back() {
    let late_orders = successor(&LateOrders::default().handover(NOW, []));
    assert_eq!(blocked_until(&late_orders, NOW, 1, &load("a"), 0, &[]), None);
    assert_eq!(late_orders.held_until(NOW, Duration::ZERO), None);
}

/// Guards against orders that are forgotten as an engine restarts, or is not known for a while,
/// before the lease changes hands.
#[test]
fn late_orders_to_an_earlier_incarnation_are_told() {
    let mut earlier = LateOrders::default();
    earlier.on_sent(NOW, &key(1), &load("c"), 3);
    let floor = |handover: &Handover| handover.engines["i-0"];
    let told = earlier.handover(NOW, [(key(2), Some(1))]);
    assert_eq!(floor(&told), Floor { born: 2, current: 1, earlier: Some(3) });
    let unknown = earlier.handover(NOW, []);
    assert!(blocked_until(&successor(&unknown), NOW, 2, &load("b"), 2, &[]).is_some());
    let expired = earlier.handover(NOW + MAX_DELAY, [(key(2), Some(1))]);
    assert_eq!(floor(&expired), Floor { born: 2, current: 1, earlier: None });
}

/// Guards against an engine without orders because its machine's clock was set back before it
/// restarted.
#[test]
fn engine_is_listed_with_its_incarnation_whatever_its_clock_says() {
    let mut late_orders = LateOrders::default();
    late_orders.on_sent(NOW, &key(9), &load("c"), 3);
    let told = late_orders.handover(NOW, [(key(2), Some(0))]);
    assert!(told.covers(&key(2), 0));
    assert!(blocked_until(&successor(&told), NOW, 2, &load("b"), 2, &[]).is_some());
}

/// Guards against late orders of the holder before the last one, as the lease changes hands twice
/// within their time.
#[test]
fn what_was_told_is_passed_on_while_orders_may_arrive() {
    let mut first = LateOrders::default();
    first.on_sent(NOW, &key(1), &load("c"), 3);
    let second = successor(&first.handover(NOW, [(key(1), Some(4))]));
    let told = second.handover(NOW, [(key(2), Some(1))]);
    assert_eq!(told.engines["i-0"], Floor { born: 2, current: 1, earlier: Some(3) });
    let unknown = second.handover(NOW, []);
    assert!(blocked_until(&successor(&unknown), NOW, 3, &load("b"), 2, &[]).is_some());
    assert!(second.handover(NOW + MAX_DELAY, []).engines.is_empty());
}

/// Guards against what an earlier holder has told being lost before the new one's first renewal.
#[test]
fn first_write_of_a_holder_passes_on_what_was_told() {
    let mut first = LateOrders::default();
    first.on_sent(NOW, &key(1), &load("c"), 3);
    let told = first.handover(NOW, [(key(1), Some(4))]);
    assert_eq!(told.including([key(1)]), told);
    let restarted = told.including([key(2)]);
    assert_eq!(restarted.engines["i-0"], Floor { born: 2, current: 0, earlier: Some(3) });
    assert!(Handover::unknown().including([key(2)]).is_partial);
}

/// Guards against an engine that restarts after a change of the lease, and then takes late orders of
/// both holders one after another, which exceed its memory.
#[test]
fn late_orders_of_two_holders_that_an_empty_engine_could_take_fit_together() {
    let mut earlier = LateOrders::default();
    earlier.on_sent(NOW, &key(1), &load("b"), 0);
    earlier.on_sent(NOW, &key(1), &load("a"), 1);
    let late_orders = successor(&earlier.handover(NOW, [(key(1), Some(2))]));
    assert!(blocked_until(&late_orders, NOW, 1, &load("c"), 2, &[]).is_some());
}

/// Guards against an order of which the lease object does not tell.
#[test]
fn order_is_covered_only_from_its_number_on() {
    let mut late_orders = LateOrders::default();
    let told = late_orders.handover(NOW, [(key(1), Some(4))]);
    assert!(told.covers(&key(1), 4) && told.covers(&key(1), 9));
    assert!(!told.covers(&key(1), 3));
    assert!(!told.covers(&key(2), 9));
    // An order without an answer keeps the number low.
    late_orders.on_sent(NOW, &key(1), &load("c"), 4);
    assert_eq!(late_orders.handover(NOW, [(key(1), Some(7))]).engines["i-0"].current, 4);
}

/// Guards against a holder that takes the silence of an older release, or of a store that came back
/// from a copy, for the absence of orders.
#[test]
fn holder_after_one_that_told_nothing_holds_restarted_engines_back() {
    let late_orders = successor(&Handover::unknown());
    assert_eq!(late_orders.held_until(NOW, Duration::ZERO), Some(NOW + MAX_DELAY));
    assert!(late_orders.handover(NOW, [(key(2), Some(0))]).is_partial);
    assert!(!late_orders.handover(NOW + MAX_DELAY, [(key(2), Some(0))]).is_partial);
}

/// Guards against a lease object that is larger than the platform allows.
#[test]
fn handover_of_too_many_engines_is_partial() {
    let keys = (0..=MAX_ENGINES).map(|index| Key { id: format!("i-{index}"), born: 1 });
    let told = Handover::default().including(keys);
    assert_eq!((told.engines.len(), told.is_partial), (MAX_ENGINES, true));
    let encoded = serde_json::to_string(&told).expect("a handover is encoded");
    assert!(encoded.len() < 1_000_000);
}
