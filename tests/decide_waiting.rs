//! Waiting for an endpoint: who waits, in which order, and who is refused.

use std::time::Duration;

use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use poplarmux::decide::completions::Completions;
use poplarmux::decide::share::Teams;
use poplarmux::decide::wait_policy;
use poplarmux::decide::wait_policy::Cause;
use poplarmux::decide::wait_policy::Request;
use poplarmux::decide::wait_policy::Verdict;
use poplarmux::decide::wait_queue::Place;
use poplarmux::decide::wait_queue::Queue;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn pending_request() -> Request {
    Request {
        arrived_at: ms(0),
        target_latency: ms(400),
        deadline: ms(12_000),
        slot_time: ms(1_000),
        first_event_by: None,
    }
}

/// Engines that are full, at which no further requests arrive.
fn full(ahead: usize, rate: f64) -> Cause {
    Cause::Full { ahead, ahead_if_late: ahead, queued: ahead, rate, arrivals: 0.0 }
}

/// More requests arrive than complete, for longer than callers wait. Guards against late ones that
/// are held in vain behind those that can still be on time, and against refusals while the queue
/// gets shorter.
#[test]
fn late_request_waits_only_while_the_queue_gets_shorter() {
    let rng = &mut SmallRng::seed_from_u64(1);
    let mut decide = |ahead, arrivals| {
        let cause = Cause::Full { ahead, ahead_if_late: 60, queued: 60, rate: 40.0, arrivals };
        wait_policy::decide(ms(0), &pending_request(), cause, rng)
    };
    assert!(matches!(decide(60, 40.0), Verdict::Refuse(_)));
    assert!(matches!(decide(60, 35.0), Verdict::Refuse(_)), "12 s");
    assert_eq!(decide(60, 20.0), Verdict::Wait(ms(10_800)));
    assert_eq!(decide(5, 80.0), Verdict::Wait(ms(10_800)), "on time");
}

/// A burst fills all engines. Guards against refusing a request that is served seconds before its
/// deadline, and against holding one in vain that is not.
#[test]
fn request_that_cannot_be_served_by_its_deadline_is_refused() {
    let rng = &mut SmallRng::seed_from_u64(1);
    let mut decide = |now, ahead| {
        let cause = full(ahead, 40.0);
        wait_policy::decide(ms(now), &pending_request(), cause, rng)
    };
    assert_eq!(decide(0, 60), Verdict::Wait(ms(10_800)));
    assert!(matches!(decide(0, 400), Verdict::Refuse(retry_after) if retry_after <= ms(4_000)));
    assert!(matches!(decide(10_000, 60), Verdict::Refuse(_)), "the answer would be cut");
    let (request, now) = (pending_request(), ms(8_000));
    assert!(request.has_time(now, ms(2_800)) && !request.has_time(now, ms(2_801)));
}

/// Callers leave seconds before the deadline if no event comes. Guards against holding their requests
/// for longer, which would then run for nobody.
#[test]
fn request_of_a_caller_that_leaves_is_refused_before() {
    let rng = &mut SmallRng::seed_from_u64(1);
    let request = Request { first_event_by: Some(ms(2_000)), ..pending_request() };
    let mut decide = |ahead| wait_policy::decide(ms(0), &request, full(ahead, 40.0), rng);
    assert!(matches!(decide(20), Verdict::Wait(until) if until < ms(2_000)));
    assert!(matches!(decide(80), Verdict::Refuse(_)));
    assert!(!request.has_time(ms(1_500), ms(500)));
}

/// A model's load ends within a second or within ten: waiting here pays only for the first, and not
/// much longer than the load is expected to take.
#[test]
fn request_waits_only_for_a_load_that_leaves_time_for_the_answer() {
    let rng = &mut SmallRng::seed_from_u64(1);
    let quick = wait_policy::decide(ms(0), &pending_request(), Cause::Loading(ms(1_200)), rng);
    assert!(matches!(quick, Verdict::Wait(until) if until > ms(1_200) && until < ms(2_000)));
    let slow = wait_policy::decide(ms(0), &pending_request(), Cause::Loading(ms(7_000)), rng);
    assert!(matches!(slow, Verdict::Refuse(retry_after) if retry_after <= ms(12_000) / 3));
}

proptest! {
    /// No request is held beyond its deadline, and no retry-after is longer than callers comply
    /// with.
    #[test]
    fn no_request_waits_beyond_its_deadline(
        now in 0_u64..12_000, ahead in 0_usize..500, rate in 0.0_f64..200.0, eta in 0_u64..20_000,
        slot_time in 0_u64..30_000, seed in any::<u64>(),
    ) {
        let rng = &mut SmallRng::seed_from_u64(seed);
        let request = Request { slot_time: ms(slot_time), ..pending_request() };
        for cause in [full(ahead, rate), Cause::Loading(ms(eta)), Cause::Nothing] {
            match wait_policy::decide(ms(now), &request, cause, rng) {
                Verdict::Wait(until) => {
                    prop_assert!(until <= request.latest_start());
                    prop_assert!(request.latest_start() <= request.deadline);
                }
                Verdict::Refuse(retry_after) => {
                    let time_left = request.deadline - ms(now);
                    prop_assert!(retry_after <= (time_left.mul_f64(0.33)).max(ms(200)));
                }
            }
        }
    }
}

fn place(priority: u8, route_priority: u8, late_from: u64, arrived_at: u64) -> Place {
    let (late_from, arrived_at) = (ms(late_from), ms(arrived_at));
    Place { priority, route_priority, share: 0, late_from, arrived_at }
}

fn order(queue: &Queue<&'static str>, class: u64) -> Vec<&'static str> {
    queue.rows(class).map(|(_, row)| *row).collect()
}

/// Guards against less urgent requests that delay urgent ones, against teams over their share that
/// delay others, and against late requests that make those on time late.
#[test]
fn queue_is_ordered_by_urgency_share_lateness_and_arrival() {
    let mut queue = Queue::default();
    queue.push(ms(40), 1, (1, 9), place(2, 0, 900, 10), "routine");
    queue.push(ms(40), 2, (1, 9), place(0, 0, 100, 30), "second");
    queue.push(ms(40), 3, (1, 9), place(0, 0, 90, 20), "first");
    queue.push(ms(40), 4, (1, 9), place(0, 1, 900, 5), "less urgent route");
    queue.push(ms(40), 5, (1, 9), place(0, 0, 35, 5), "late");
    let over_share = Place { share: 1, ..place(0, 0, 900, 5) };
    queue.push(ms(40), 7, (1, 9), over_share, "over its share");
    queue.push(ms(40), 6, (1, 8), place(0, 0, 900, 5), "other class");
    let urgent = ["first", "second", "late", "over its share", "less urgent route", "routine"];
    assert_eq!(order(&queue, 9), urgent);
    assert_eq!((queue.last(9), queue.count(9), queue.count(7)), (Some(&"routine"), 6, 0));
    assert_eq!(queue.ahead(ms(40), 9, &place(0, 0, 900, 40)), 2);
    assert_eq!(queue.ahead(ms(40), 9, &place(1, 0, 900, 0)), 5);
    queue.advance(ms(95));
    assert_eq!(order(&queue, 9)[..3], ["second", "late", "first"]);
    assert_eq!(queue.remove(2), Some("second"));
    assert_eq!((queue.remove(2), queue.ahead(ms(95), 9, &place(0, 0, 900, 95))), (None, 0));
    queue.advance(ms(1_000));
    for id in [1, 3, 4, 5, 6, 7] {
        assert!(queue.remove(id).is_some());
    }
    assert_eq!((queue.len(), queue.classes().count(), queue.classes_of(1).count()), (0, 0, 0));
}

/// Guards against holding a request that an urgent one has displaced, and against refusing one that
/// can still be served, or that does not wait for a slot.
#[test]
fn only_what_has_no_time_behind_an_urgent_request_is_displaced() {
    let mut queue = Queue::default();
    let request =
        |deadline| Request { deadline: ms(deadline), slot_time: ms(0), ..pending_request() };
    queue.push(ms(0), 1, (1, 9), place(1, 0, 400, 1), request(600));
    queue.push(ms(0), 2, (1, 9), place(1, 0, 400, 2), request(600));
    let displaced = |queue: &Queue<Request>, waits: bool| {
        let last = wait_policy::displaced(ms(0), queue, 9, 4.0, |_| 0, |row| waits.then_some(*row));
        last.map(|(row, wait)| (row.deadline, wait))
    };
    assert_eq!(displaced(&queue, true), None);
    queue.push(ms(0), 3, (1, 9), place(0, 0, 400, 3), request(5_000));
    assert_eq!(displaced(&queue, false), None);
    assert_eq!(displaced(&queue, true), Some((ms(600), ms(750))));
    assert!(queue.remove(2).is_some());
    assert_eq!(displaced(&queue, true), None);
}

proptest! {
    /// Guards against positions and orders that are wrong after requests were added, have become late
    /// and were removed in any order.
    #[test]
    fn positions_agree_with_the_order(
        steps in proptest::collection::vec((0_u8..10, 0_u64..3, 0_u64..4, 0_u64..400), 1..600),
    ) {
        let mut queue = Queue::default();
        let mut now = 0;
        for (id, (kind, class, priority, span)) in steps.into_iter().enumerate() {
            now += span / 40;
            queue.advance(ms(now));
            let first = queue.first(class).map(|(_, id)| *id);
            match (kind, first) {
                (8.., Some(first)) => prop_assert_eq!(queue.remove(first), Some(first)),
                (7, Some(_)) => {
                    let middle = queue.rows(class).nth(queue.rows(class).count() / 2);
                    let middle = *middle.expect("a row").1;
                    prop_assert_eq!(queue.remove(middle), Some(middle));
                }
                _ => {
                    let (id, place) = (id as u64, place(priority as u8, 0, now + span, now));
                    let ahead = queue.ahead(ms(now), class, &place);
                    queue.push(ms(now), id, (class / 2, class), place, id);
                    prop_assert!(queue.position(id) >= Some(ahead));
                }
            }
            for class in (0..3).filter(|_| id % 16 == 0) {
                let positions = queue.rows(class).map(|(id, _)| queue.position(id));
                prop_assert!(positions.eq((0..queue.rows(class).count()).map(Some)));
            }
            prop_assert_eq!((0..2).map(|pool| queue.classes_of(pool).count()).sum::<usize>(),
                queue.classes().count());
        }
    }
}

/// Guards against a class that is dispatched before its prompt can be sent, late, or never.
#[test]
fn class_is_due_at_the_earliest_time_that_was_stated() {
    let mut queue: Queue<()> = Queue::default();
    queue.schedule(1, ms(30));
    queue.schedule(1, ms(20));
    queue.schedule(1, ms(40));
    queue.schedule(2, ms(25));
    assert_eq!((queue.next_due(), queue.take_due(ms(19))), (Some(ms(20)), Vec::new()));
    assert_eq!((queue.take_due(ms(25)), queue.next_due()), (vec![1, 2], None));
}

/// Guards against a team that stays behind the others for what it has received long ago or of another
/// service, and against requests without a team that are not counted.
#[test]
fn team_over_its_share_of_a_service_ranks_behind_the_others() {
    let mut teams = Teams::default();
    let names = ["a", "b", "c"].map(|name| Some(name.to_string()));
    for (team, work) in names.iter().chain([&None]).zip([1.0, 1.2, 0.0, 30.0]) {
        teams.charge(ms(0), "llm", team, work);
    }
    let rank = |teams: &Teams, at, team| teams.rank(ms(at), "llm", team);
    assert_eq!(names.each_ref().map(|team| rank(&teams, 10, team)), [0, 0, 0]);
    assert!(rank(&teams, 10, &None) > 0);
    assert_eq!(teams.rank(ms(10), "plain", &None), 0);
    for team in &names {
        teams.charge(ms(60_000), "llm", team, 2.0);
    }
    assert_eq!(rank(&teams, 60_000, &None), 0);
}

/// Guards against refusals by a rate that is not known yet, or that was counted before copies of the
/// model were added.
#[test]
fn completion_rate_covers_new_classes_and_new_copies() {
    let mut completions = Completions::default();
    assert_eq!(completions.rate(ms(0), 9, "llm", 6.0, 0.0), 10.0);
    for index in 0..400 {
        completions.record(ms(index * 50), 9);
        completions.record_slot_time("llm", 100, ms(2_000));
    }
    let rate = |slots| completions.rate(ms(20_000), 9, "llm", slots, 0.0);
    assert!((rate(12.0) - 20.0).abs() < 1.0, "{}", rate(12.0));
    assert!((rate(60.0) - 30.0).abs() < 1.0, "{}", rate(60.0));
    let slot_time = |tokens| completions.slot_time("llm", tokens).as_millis();
    assert_eq!([slot_time(50), slot_time(0), slot_time(300)], [1_000, 2_000, 6_000]);
}

/// Two teams use the same slot time, but the requests of one state many more output tokens than they
/// use, and are charged for them until they end. Guards against a correction that takes back more
/// than is left of the charge, which has decayed since: that team would have received less than
/// nothing, and the other one would rank behind it.
#[test]
fn team_that_states_too_many_tokens_gains_nothing() {
    let (large, small) = (Some("large".to_string()), Some("small".to_string()));
    let mut teams = Teams::default();
    for second in 0..60_u64 {
        let now = ms(second * 1_000);
        teams.charge(now, "llm", &large, 100.0);
        teams.charge(now, "llm", &small, 15.0);
        if let Some(sent_s) = second.checked_sub(15) {
            teams.settle(now, "llm", &large, ms(sent_s * 1_000), (100.0, 15.0));
            teams.settle(now, "llm", &small, ms(sent_s * 1_000), (15.0, 15.0));
        }
    }
    let now = ms(75_000);
    for second in 45..60 {
        teams.settle(now, "llm", &large, ms(second * 1_000), (100.0, 15.0));
        teams.settle(now, "llm", &small, ms(second * 1_000), (15.0, 15.0));
    }
    assert_eq!((teams.rank(now, "llm", &large), teams.rank(now, "llm", &small)), (0, 0));
}

/// Callers name models that do not exist, each another one. Guards against memory that grows with
/// each of them.
#[test]
fn arrivals_of_any_number_of_classes_take_bounded_memory() {
    let mut completions = Completions::default();
    for class in 0..20_000 {
        completions.record_arrival(ms(class / 20), class);
        completions.record_arrival(ms(class / 20), 7);
    }
    assert!(completions.class_count() <= 4_096, "{}", completions.class_count());
    assert!(completions.arrival_rate(ms(1_000), 7) > 1_000.0, "one that is used is kept");
}
