//! Selection of endpoints, waiting and retries, as callers experience them.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use poplarmux::daemon::settings::Retries;
use poplarmux::decide::allowance::Allowance;
use poplarmux::decide::endpoint::End;
use poplarmux::decide::endpoint::Exclusion;
use poplarmux::decide::endpoint::Requirements;
use poplarmux::decide::fleet::Choice;
use poplarmux::decide::fleet::Fleet;
use poplarmux::decide::shutdown;
use poplarmux::edge::dialect::Load;
use poplarmux::table::instance::Copies;
use poplarmux::table::instance::Instance;
use poplarmux::table::instance::Key;
use poplarmux::table::instance::Residency;
use poplarmux::table::instance::Resident;
use poplarmux::table::instance::State;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn key(id: &str, born: u64) -> Key {
    Key { id: id.to_string(), born }
}

fn instance(id: &str, born: u64, data_center: &str, models: &[(&str, &[&str])]) -> Instance {
    let resident = models.iter().map(|(model, adapters)| Resident {
        model: (*model).to_string(),
        adapters: adapters.iter().map(|name| (*name).to_string()).collect(),
    });
    Instance {
        key: key(id, born),
        service: "llm".to_string(),
        software: "v1".to_string(),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_center: data_center.to_string(),
        slots: 64,
        state: State::Live,
        warmup: Duration::ZERO,
        remaining: None,
        resident: resident.collect(),
        copies: Copies::default(),
        heartbeat: 1,
    }
}

fn fleet(instances: &[Instance]) -> Fleet {
    let regions = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    let regions: BTreeMap<String, String> =
        regions.iter().map(|(dc, region)| ((*dc).to_string(), (*region).to_string())).collect();
    let mut fleet = Fleet::new("a".to_string(), "a1".to_string(), regions);
    for instance in instances {
        assert!(fleet.put(ms(0), instance.clone()));
    }
    fleet
}

fn requirements<'a>(
    model: &'a str,
    adapter: Option<&'a str>,
    tried: &'a [Key],
) -> Requirements<'a> {
    Requirements {
        service: "llm",
        model: Some(model),
        adapter,
        adapter_slots: 8,
        prompt_tokens: 700,
        output_tokens: 0,
        parts: &[],
        max_pause: None,
        tried,
        excluded: None,
        required_region: None,
        software: None,
    }
}

fn choose(fleet: &Fleet, now: Duration, requirements: &Requirements<'_>) -> Choice {
    fleet.choose(now, requirements, true, &mut SmallRng::seed_from_u64(7))
}

fn send_to(id: &str) -> Choice {
    Choice::Send(key(id, 1))
}

/// Traffic between regions is billed, so callers stay with a near engine as long as it has
/// capacity. Once its streams would become late, a distant engine serves them better.
#[test]
fn near_engine_is_avoided_when_overloaded() {
    let mut fleet =
        fleet(&[instance("near", 1, "a1", &[("m", &[])]), instance("far", 1, "b1", &[("m", &[])])]);
    assert_eq!(choose(&fleet, ms(1), &requirements("m", None, &[])), send_to("near"));
    for _ in 0..50 {
        fleet.start_request(ms(1), &key("near", 1), &[], ms(0));
    }
    assert_eq!(choose(&fleet, ms(1), &requirements("m", None, &[])), send_to("far"));
}

/// Requests of other daemons are not known here. The engine's load report accounts for them, as
/// long as it is recent.
#[test]
fn load_report_is_used_while_recent() {
    let mut fleet =
        fleet(&[instance("x", 1, "a1", &[("m", &[])]), instance("y", 1, "a2", &[("m", &[])])]);
    fleet.on_load_report(ms(0), &key("x", 1), Load { running: 60, waiting: 8, ..Load::default() });
    assert_eq!(choose(&fleet, ms(100), &requirements("m", None, &[])), send_to("y"));
    assert_eq!(choose(&fleet, ms(5_000), &requirements("m", None, &[])), send_to("x"));
}

/// An engine that crashed and restarted under its old id has nothing resident. A late record of its
/// earlier incarnation must not send callers to it.
#[test]
fn record_of_an_earlier_incarnation_is_rejected() {
    let mut fleet = fleet(&[instance("x", 1, "a1", &[("m", &[])])]);
    assert!(fleet.put(ms(10), instance("x", 5, "a1", &[])));
    assert!(!fleet.put(ms(20), instance("x", 1, "a1", &[("m", &[])])));
    assert_eq!(choose(&fleet, ms(30), &requirements("m", None, &[])), Choice::NoModel);
}

/// No engine has the adapter resident, and the nearer of two engines with its model loads another
/// model for seconds, during which it refuses all other orders. An adapter requested there would
/// come too late, so it is requested from the engine that is free.
#[test]
fn adapter_is_requested_from_an_engine_that_is_not_busy() {
    let resident_models = [("m", &[] as &[&str])];
    let mut fleet = fleet(&[
        instance("near", 1, "a1", &resident_models),
        instance("far", 1, "b1", &resident_models),
    ]);
    assert_eq!(
        choose(&fleet, ms(1), &requirements("m", Some("a1"), &[])),
        Choice::LoadAdapter(key("near", 1))
    );
    let resident = fleet.get(&key("near", 1)).expect("known").instance.resident.clone();
    fleet.set_resident(ms(1), &key("near", 1), Residency { orders: 1, resident, busy: 5_000 });
    assert_eq!(
        choose(&fleet, ms(2), &requirements("m", Some("a1"), &[])),
        Choice::LoadAdapter(key("far", 1))
    );
    assert_eq!(fleet.busy_for(ms(2), &key("near", 1)), ms(4_999));
    assert_eq!(
        choose(&fleet, ms(6_000), &requirements("m", Some("a1"), &[])),
        Choice::LoadAdapter(key("near", 1))
    );
}

/// The store was unavailable and records expired. Every daemon would refuse all callers although
/// all engines are alive. An engine that is still missing well after the store's return is removed.
#[test]
fn expired_records_keep_engines_until_the_grace_period_ends() {
    let mut fleet = fleet(&[instance("x", 1, "a1", &[("m", &[])])]);
    fleet.remove(ms(10_000), "x", Some(ms(9_900)));
    fleet.tick(ms(11_000));
    assert_eq!(choose(&fleet, ms(11_000), &requirements("m", None, &[])), send_to("x"));
    fleet.tick(ms(12_200));
    assert_eq!(choose(&fleet, ms(12_200), &requirements("m", None, &[])), Choice::NoEndpoint);
}

#[test]
fn leaving_engine_gets_no_requests() {
    let leaving = Instance { state: State::Leaving, ..instance("x", 1, "a1", &[("m", &[])]) };
    assert_eq!(
        choose(&fleet(&[leaving]), ms(1), &requirements("m", None, &[])),
        Choice::NoEndpoint
    );
}

/// The placer's report is newer than the engine's record, which lags by a heartbeat. Later the
/// record counts again, in case the placer is gone.
#[test]
fn placer_report_precedes_a_lagging_record() {
    let mut fleet = fleet(&[instance("x", 1, "a1", &[("m", &[])])]);
    fleet.set_resident(ms(0), &key("x", 1), Residency { orders: 3, resident: vec![], busy: 0 });
    fleet.put(ms(500), instance("x", 1, "a1", &[("m", &[])]));
    assert_eq!(choose(&fleet, ms(600), &requirements("m", None, &[])), Choice::NoModel);
    fleet.tick(ms(3_000));
    assert_eq!(choose(&fleet, ms(3_000), &requirements("m", None, &[])), send_to("x"));
}

/// If each region loaded its own replica of an adapter, it would evict adapters that others use,
/// and every caller would wait for loads. A distant engine that has the adapter is preferred.
#[test]
fn distant_resident_adapter_is_preferred_over_a_near_load() {
    let near_adapters: &[&str] = &["a1", "a2", "a3"];
    let near = instance("near", 1, "a1", &[("m", near_adapters)]);
    let far = instance("far", 1, "b1", &[("m", &["a9"])]);
    let fleet = fleet(&[near, far]);
    assert_eq!(choose(&fleet, ms(1), &requirements("m", Some("a9"), &[])), send_to("far"));
    assert!(matches!(
        choose(&fleet, ms(1), &requirements("m", Some("a7"), &[])),
        Choice::LoadAdapter(_)
    ));
}

/// An engine that unloads a model accepts no adapter for seconds. Callers that wait for one are
/// sent elsewhere.
#[test]
fn adapter_not_loaded_in_time_is_requested_elsewhere() {
    let mut fleet =
        fleet(&[instance("x", 1, "a1", &[("m", &[])]), instance("y", 1, "a2", &[("m", &[])])]);
    let requirements = requirements("m", Some("a1"), &[]);
    assert_eq!(choose(&fleet, ms(1), &requirements), Choice::LoadAdapter(key("x", 1)));
    fleet.request_adapter(ms(1), &key("x", 1), "a1");
    assert_eq!(choose(&fleet, ms(600), &requirements), Choice::LoadAdapter(key("y", 1)));
}

/// An engine that refused a model as not resident is not sent that model again at once, or every
/// caller of the model would be sent there in vain until the engine's record changes.
#[test]
fn engine_without_the_model_is_not_retried_at_once() {
    let mut fleet = fleet(&[instance("x", 1, "a1", &[("m", &[])])]);
    fleet.record_end(ms(0), &key("x", 1), End::NotResident, &requirements("m", None, &[]));
    assert_eq!(choose(&fleet, ms(100), &requirements("m", None, &[])), Choice::NoModel);
    assert_eq!(choose(&fleet, ms(2_000), &requirements("m", None, &[])), send_to("x"));
}

/// One engine fails half of its requests while its health check passes. Callers are sent elsewhere,
/// and return when no failure was seen for a while.
#[test]
fn failing_engine_is_avoided() {
    let mut fleet =
        fleet(&[instance("x", 1, "a1", &[("m", &[])]), instance("y", 1, "b1", &[("m", &[])])]);
    for at_ms in 0..4 {
        fleet.record_failure(ms(at_ms), &key("x", 1));
    }
    assert_eq!(choose(&fleet, ms(10), &requirements("m", None, &[])), send_to("y"));
    assert_eq!(choose(&fleet, ms(10_000), &requirements("m", None, &[])), send_to("x"));
}

/// Guards against restarts that daemons tell each other for ever, each as if it were new.
#[test]
fn restart_is_told_for_a_limited_time() {
    let window = ms(25_000);
    let mut first = fleet(&[instance("x", 1, "a1", &[])]);
    assert!(first.put(ms(1_000), instance("x", 2, "a1", &[])));
    let mut second = fleet(&[]);
    for (key, age) in first.recent_restarts(ms(21_000), window) {
        second.on_restart(ms(90_000), &key, age);
    }
    assert!(second.had_predecessor(&key("x", 2)));
    assert_eq!(second.recent_restarts(ms(94_000), window), [(key("x", 2), ms(24_000))]);
    second.on_restart(ms(94_000), &key("x", 2), ms(0));
    assert!(second.recent_restarts(ms(95_000), window).is_empty());
    assert!(first.recent_restarts(ms(26_000), window).is_empty());
}

/// An unreachable engine is not selected for a while, longer each time.
#[test]
fn unreachable_engine_is_avoided() {
    let mut fleet = fleet(&[instance("x", 1, "a1", &[("m", &[])])]);
    fleet.record_unreachable(ms(0), &key("x", 1));
    assert_eq!(choose(&fleet, ms(100), &requirements("m", None, &[])), Choice::NoEndpoint);
    assert_eq!(choose(&fleet, ms(500), &requirements("m", None, &[])), send_to("x"));
    fleet.record_unreachable(ms(500), &key("x", 1));
    assert_eq!(choose(&fleet, ms(1_200), &requirements("m", None, &[])), Choice::NoEndpoint);
}

proptest! {
    /// Whatever the loads, a request goes only to an endpoint with its model resident, never to one
    /// at which it failed while another has capacity, and never beyond the limit of requests per
    /// engine.
    #[test]
    fn chosen_endpoint_has_the_model_and_capacity(
        loads in proptest::collection::vec(0_u32..120, 4),
        has_model in proptest::collection::vec(any::<bool>(), 4),
        seed in any::<u64>(),
    ) {
        let names = ["e0", "e1", "e2", "e3"];
        let centers = ["a1", "a2", "b1", "b1"];
        let models: [&[(&str, &[&str])]; 2] = [&[], &[("m", &[])]];
        let rows: Vec<Instance> = (0..4)
            .map(|index| {
                instance(names[index], 1, centers[index], models[usize::from(has_model[index])])
            })
            .collect();
        let mut fleet = fleet(&rows);
        for (name, load) in names.iter().zip(&loads) {
            for _ in 0..*load {
                fleet.start_request(ms(0), &key(name, 1), &[], ms(0));
            }
        }
        let tried = [key("e0", 1)];
        let requirements = requirements("m", None, &tried);
        match fleet.choose(ms(1), &requirements, true, &mut SmallRng::seed_from_u64(seed)) {
            Choice::Send(chosen) => {
                let index = names.iter().position(|name| *name == chosen.id).expect("known");
                prop_assert!(has_model[index] && index != 0 && loads[index] < 80);
            }
            Choice::Full => prop_assert!(
                (1..4).all(|index| !has_model[index] || loads[index] >= 64)
            ),
            Choice::NoModel => prop_assert!(has_model.iter().all(|present| !present)),
            other => prop_assert!(false, "{other:?}"),
        }
    }
}

const RETRIES: Retries = Retries { ratio: 0.2, window: ms(10_000), slack: 50.0 };

/// All engines of a service fail, and every daemon retries its failed requests. The retries of all
/// daemons together stay within the ratio of requests plus the fixed number, in any window.
#[test]
fn retries_of_all_daemons_stay_within_the_limit() {
    for daemons in [1_usize, 6, 60] {
        let mut allowances: Vec<Allowance> = (0..daemons as u64)
            .map(|seed| Allowance::new(RETRIES, SmallRng::seed_from_u64(seed)))
            .collect();
        let mut retries: Vec<u64> = Vec::new();
        let mut requests = 0_u64;
        for at_ms in (0..30_000).step_by(20) {
            let allowance = &mut allowances[(at_ms as usize / 20) % daemons];
            allowance.record_request(ms(at_ms), "s");
            requests += u64::from(at_ms >= 20_000);
            while allowance.spend(ms(at_ms), "s").is_some() {
                retries.push(at_ms);
            }
        }
        let retried = retries.iter().filter(|at_ms| **at_ms >= 20_000).count() as f64;
        assert!(
            retried <= requests as f64 * RETRIES.ratio + RETRIES.slack,
            "{daemons} daemons sent {retried} retries"
        );
        assert!(retried >= 40.0, "{daemons} daemons sent only {retried} retries");
    }
}

/// A daemon that stops within eight seconds gets a long stream after four: its answer would be cut
/// when the process ends. A refused caller sends its request to another daemon.
#[test]
fn shutdown_accepts_only_requests_that_can_finish() {
    let end = ms(8_000);
    assert!(shutdown::accepts(ms(1_000), ms(0), end, &answer(900, None)));
    assert!(shutdown::accepts(ms(4_000), ms(0), end, &answer(48, None)));
    assert!(!shutdown::accepts(ms(4_000), ms(0), end, &answer(900, None)));
    assert!(!shutdown::accepts(ms(7_900), ms(0), end, &answer(1, None)));
}

/// Returns what is known of an answer that may take a minute.
fn answer(tokens: u32, max_pause: Option<Duration>) -> shutdown::Answer {
    let usual = Duration::ZERO;
    shutdown::Answer { tokens, target_latency: ms(400), max_pause, limit: ms(60_000), usual }
}

/// Guards against a stream that is accepted late in a shutdown and cut although its events are on
/// time, as it was expected to be faster.
#[test]
fn shutdown_accepts_only_streams_that_can_finish_at_the_slowest_pace() {
    let (end, pause) = (ms(8_000), Some(ms(150)));
    // 400 ms until the first of 20 events, 150 ms for each.
    assert!(shutdown::accepts(ms(4_600), ms(0), end, &answer(20, pause)));
    assert!(!shutdown::accepts(ms(4_601), ms(0), end, &answer(20, pause)));
    assert!(!shutdown::accepts(ms(3_100), ms(0), end, &answer(240, pause)));
    assert!(shutdown::accepts(ms(1_000), ms(0), end, &answer(240, pause)));
    // Of unknown length.
    assert!(!shutdown::accepts(ms(3_100), ms(0), end, &answer(0, pause)));
    // Its caller gets no more after two seconds.
    let brief = shutdown::Answer { limit: ms(2_000), ..answer(240, pause) };
    assert!(shutdown::accepts(ms(6_000), ms(0), end, &brief));
    assert!(!shutdown::accepts(ms(6_001), ms(0), end, &brief));
}

/// An endpoint that states that it is leaving must not be used because an old record of it is
/// written again, whether its record was removed before or after the statement.
#[test]
fn later_records_of_a_leaving_endpoint_are_rejected() {
    for removed_first in [false, true] {
        let mut fleet = fleet(&[instance("x", 1, "a1", &[("m", &[])])]);
        if removed_first {
            fleet.remove(ms(1), "x", None);
        }
        fleet.mark_leaving(&key("x", 1));
        fleet.remove(ms(2), "x", None);
        let mut record = instance("x", 1, "a1", &[("m", &[])]);
        record.heartbeat += 5;
        assert!(!fleet.put(ms(3), record));
        assert_eq!(choose(&fleet, ms(4), &requirements("m", None, &[])), Choice::NoEndpoint);
        assert!(fleet.put(ms(5), instance("x", 2, "a1", &[("m", &[])])));
        assert_eq!(choose(&fleet, ms(6), &requirements("m", None, &[])), Choice::Send(key("x", 2)));
    }
}

/// Guards against taking a crash after which an endpoint has started again for a planned end, and a
/// planned end for a crash.
#[test]
fn restarted_endpoint_was_not_leaving() {
    let (first, address) = (key("x", 1), instance("x", 1, "a1", &[]).address);
    let departing = |state: State, successor: Option<Instance>| {
        let mut fleet = fleet(&[Instance { state, ..instance("x", 1, "a1", &[]) }]);
        match successor {
            Some(successor) => drop(fleet.put(ms(0), successor)),
            None => fleet.remove(ms(0), "x", None),
        }
        fleet.departing(&first)
    };
    let successor = || Some(instance("x", 2, "a1", &[]));
    assert_eq!(fleet(&[instance("x", 1, "a1", &[])]).departing(&first), None);
    assert_eq!(departing(State::Live, successor()), None);
    assert_eq!(departing(State::Live, None), Some(address));
    assert_eq!(departing(State::Leaving, successor()), Some(address));
}

/// A broker that chooses for another daemon must not choose what that daemon does not call, but may
/// choose it for others.
#[test]
fn endpoints_that_the_requester_excludes_are_not_chosen() {
    let fleet =
        fleet(&[instance("x", 1, "a1", &[("m", &[])]), instance("y", 1, "b1", &[("m", &[])])]);
    assert_eq!(choose(&fleet, ms(1), &requirements("m", None, &[])), send_to("x"));
    let excluded = ["x", "y"].map(|id| Exclusion { key: key(id, 1), until: None });
    let except = |count: usize| Requirements {
        excluded: Some(&excluded[..count]),
        ..requirements("m", None, &[])
    };
    assert_eq!(choose(&fleet, ms(1), &except(0)), send_to("x"));
    assert_eq!(choose(&fleet, ms(1), &except(1)), send_to("y"));
    assert_eq!(choose(&fleet, ms(1), &except(2)), Choice::NoEndpoint);
    let backoff =
        |at: u64| [Exclusion { key: key("x", 1), until: Some(ms(at)) }, excluded[1].clone()];
    for (until, choice) in [(1, send_to("x")), (3, Choice::Backoff(ms(2)))] {
        let excluded = backoff(until);
        let requirements =
            Requirements { excluded: Some(&excluded), ..requirements("m", None, &[]) };
        assert_eq!(choose(&fleet, ms(1), &requirements), choice);
    }
}

/// An endpoint must not be called in the time for which it wants no calls because its record is
/// removed and written again, and must be called after it.
#[test]
fn backoff_holds_while_the_record_is_removed() {
    for removed_first in [false, true] {
        let mut fleet = fleet(&[instance("x", 1, "a1", &[("m", &[])])]);
        if removed_first {
            fleet.remove(ms(1), "x", None);
        }
        fleet.back_off(ms(2), &key("x", 1), ms(1_000));
        fleet.back_off(ms(3), &key("x", 1), ms(10));
        fleet.remove(ms(4), "x", None);
        assert!(fleet.put(ms(5), instance("x", 1, "a1", &[("m", &[])])));
        let choices = [900, 1_002].map(|at| choose(&fleet, ms(at), &requirements("m", None, &[])));
        assert_eq!(choices, [Choice::Backoff(ms(102)), send_to("x")]);
    }
}

/// Guards against a stream that goes on at another version than it began at.
#[test]
fn stream_goes_on_at_its_version_only() {
    let models: &[(&str, &[&str])] = &[("m", &[])];
    let version = |id: &str, software: &str| Instance {
        software: software.to_string(),
        ..instance(id, 1, "a1", models)
    };
    let mut fleet = fleet(&[version("x", "v1"), version("y", "v2"), version("z", "v2")]);
    let tried = [key("z", 1)];
    let requirements =
        |software| Requirements { software: Some(software), ..requirements("m", None, &tried) };
    assert_eq!(choose(&fleet, ms(1), &requirements("v1")), send_to("x"));
    assert_eq!(choose(&fleet, ms(1), &requirements("v2")), send_to("y"));
    assert_eq!(choose(&fleet, ms(1), &requirements("v3")), Choice::NoEndpoint);
    // The record names another version, although the endpoint has not started again.
    assert!(fleet.put(ms(2), version("y", "v1")));
    assert_eq!(fleet.software(&key("y", 1)), None);
    assert_eq!(choose(&fleet, ms(3), &requirements("v2")), Choice::Full);
    // Another daemon has found out that the endpoint has started again.
    fleet.on_restart(ms(4), &key("x", 2), ms(0));
    assert_eq!(choose(&fleet, ms(5), &requirements("v1")), Choice::NoEndpoint);
}

/// Guards against a stream of unknown origin that goes on as only one version serves now, although
/// another one has served lately, or may have.
#[test]
fn version_is_sole_if_no_other_one_has_served_lately() {
    let sole = |fleet: &Fleet, now: u64| fleet.sole_software(ms(now), "llm").cloned();
    let version = |id: &str, software: &str| Instance {
        software: software.to_string(),
        ..instance(id, 1, "a1", &[])
    };
    let mut fleet = fleet(&[version("x", "v1"), version("y", "v1")]);
    assert_eq!(sole(&fleet, 60_000), None, "the list was never complete");
    let ids = ["x", "y", "z"].map(str::to_string);
    fleet.retain(ms(1_000), &ids, None);
    assert_eq!(sole(&fleet, 30_000), None, "others may have served before");
    assert_eq!(sole(&fleet, 31_000).as_deref(), Some("v1"));
    assert_eq!(fleet.sole_software(ms(31_000), "other"), None);
    assert!(fleet.put(ms(40_000), version("z", "v2")));
    assert_eq!(sole(&fleet, 40_000), None, "two serve");
    fleet.remove(ms(50_000), "z", None);
    assert_eq!(sole(&fleet, 79_000), None, "its streams may be taken up");
    assert_eq!(sole(&fleet, 80_000).as_deref(), Some("v1"));
}

/// A shutdown takes less time than callers need to learn of it. Guards against a request that is
/// accepted, or still waits, until the process ends, and that gets no answer.
#[test]
fn brief_shutdown_accepts_no_request_that_would_be_cut() {
    let end = ms(2_000);
    assert!(shutdown::accepts(ms(1_000), ms(0), end, &answer(48, None)));
    assert!(!shutdown::accepts(ms(1_950), ms(0), end, &answer(48, None)));
    assert!(!shutdown::accepts(ms(2_000), ms(0), end, &answer(0, None)));
}

/// Guards against a sum that overflows as another daemon uses a slot of an endpoint that has reported
/// a number that no endpoint reaches: the daemon would panic, or take the endpoint for idle.
#[test]
fn used_offer_after_a_huge_load_report_leaves_the_endpoint_full() {
    let mut fleet = fleet(&[instance("i-1", 1, "a1", &[("m", &[])])]);
    let huge = Load { running: u32::MAX, waiting: u32::MAX, ..Load::default() };
    fleet.on_load_report(ms(10), &key("i-1", 1), huge);
    fleet.offer_slot(&key("i-1", 1));
    fleet.end_offer(&key("i-1", 1), true);
    assert_eq!(fleet.get(&key("i-1", 1)).expect("an endpoint").load(ms(20)), u32::MAX);
}

/// An endpoint reports numbers that no endpoint reaches. Guards against a sum that overflows: the
/// daemon would panic, or take the endpoint for idle.
#[test]
fn huge_load_report_counts_as_a_full_endpoint() {
    let mut fleet = fleet(&[instance("i-1", 1, "a1", &[("m", &[])])]);
    let huge = Load { running: u32::MAX, waiting: u32::MAX, ..Load::default() };
    fleet.on_load_report(ms(10), &key("i-1", 1), huge);
    fleet.expect_grant(&key("i-1", 1));
    fleet.start_request(ms(10), &key("i-1", 1), &[], Duration::ZERO);
    fleet.record_event(ms(10), &key("i-1", 1), ms(10));
    let row = fleet.get(&key("i-1", 1)).expect("an endpoint");
    assert_eq!(row.load(ms(20)), u32::MAX);
}
