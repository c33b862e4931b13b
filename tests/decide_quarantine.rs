//! Tests of the quarantine of requests that crash endpoints.

use std::time::Duration;

use proptest::prelude::*;

use poplarmux::decide::quarantine::Quarantine;
use poplarmux::decide::quarantine::REFUSAL_PERIOD;
use poplarmux::decide::quarantine::Run;

const MAX_CRASHES: usize = 3;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run(endpoint: u32, sent_at: u64, crashed_at: u64) -> Run<u32> {
    Run { endpoint, sent_at: ms(sent_at), crashed_at: ms(crashed_at) }
}

/// Guards against refusals that depend on the order in which daemons learn of crashes.
#[test]
fn crashes_may_become_known_in_any_order() {
    let strategy = Just([run(1, 0, 100), run(2, 110, 200), run(3, 210, 300)].to_vec());
    proptest!(|(runs in strategy.prop_shuffle())| {
        let mut quarantine = Quarantine::new(MAX_CRASHES);
        let refused: Vec<bool> =
            runs.iter().map(|run| quarantine.on_crash(7, run.clone())).collect();
        prop_assert_eq!(refused, [false, false, true]);
    });
}

/// Guards against counting identical requests that ran at the same time as if each had been sent
/// after the crash of the one before.
#[test]
fn runs_that_overlap_count_once() {
    let mut quarantine = Quarantine::new(MAX_CRASHES);
    for endpoint in 0..40 {
        let sent_at = u64::from(endpoint) * 10;
        assert!(!quarantine.on_crash(7, run(endpoint, sent_at, 1_000 + sent_at)));
    }
    assert_eq!(quarantine.crash_count(7), 1);
    assert!(!quarantine.on_crash(7, run(50, 2_000, 2_100)));
    assert!(quarantine.on_crash(7, run(51, 2_200, 2_300)));
}

/// Guards against running copies of a request beside each other that may crash endpoints.
#[test]
fn request_is_on_trial_while_overlapping_runs_could_refuse_it() {
    let mut quarantine = Quarantine::new(MAX_CRASHES);
    for endpoint in 0..3 {
        assert!(!quarantine.is_on_trial(ms(1_100), 7), "{endpoint}");
        quarantine.on_crash(7, run(endpoint, 0, 1_000));
    }
    assert!(quarantine.is_on_trial(ms(1_100), 7));
    let mut other = quarantine.clone();
    other.clear(ms(2_000), 7);
    assert!(!other.is_on_trial(ms(2_100), 7));
    quarantine.on_crash(7, run(4, 2_000, 2_100));
    assert!(quarantine.is_on_trial(ms(2_200), 7));
    assert!(quarantine.on_crash(7, run(5, 2_200, 2_300)));
    assert!(!quarantine.is_on_trial(ms(2_400), 7));
}

/// Guards against the same crash counting again when several daemons announce it.
#[test]
fn crash_of_one_endpoint_counts_once() {
    let mut quarantine = Quarantine::new(MAX_CRASHES);
    for repetition in 0..10 {
        assert!(!quarantine.on_crash(7, run(1, 0, 100 + repetition)));
    }
    assert_eq!(quarantine.crash_count(7), 1);
}

/// Guards against announcements that arrive after a request has been cleared and make it a suspect
/// again.
#[test]
fn crashes_and_refusals_before_a_complete_answer_do_not_count() {
    let mut quarantine = Quarantine::new(MAX_CRASHES);
    quarantine.on_crash(7, run(1, 0, 100));
    assert!(quarantine.clear(ms(200), 7));
    assert!(!quarantine.is_suspect(7));
    assert!(!quarantine.on_crash(7, run(2, 50, 150)));
    // A peer has refused it since before then.
    assert!(!quarantine.add_from_peer(ms(300), 7, REFUSAL_PERIOD - ms(150)));
    assert_eq!(quarantine.remaining(ms(300), 7), None);
    // Whereas this one has refused it since.
    assert!(quarantine.add_from_peer(ms(300), 7, REFUSAL_PERIOD));
    assert!(!quarantine.clear(ms(250), 8), "it is no suspect");
}

/// Guards against a refused request that is admitted as many others become suspects.
#[test]
fn refused_requests_stay_when_the_table_is_full() {
    let mut quarantine = Quarantine::new(MAX_CRASHES);
    for endpoint in 0..3 {
        let sent_at = u64::from(endpoint) * 100;
        quarantine.on_crash(7, run(endpoint, sent_at, sent_at + 50));
    }
    quarantine.on_crash(8, run(9, 0, 60));
    quarantine.on_crash(8, run(10, 70, 90));
    for fingerprint in 100..10_000 {
        quarantine.on_crash(fingerprint, run(11, 1_000, 2_000));
    }
    assert!(quarantine.remaining(ms(3_000), 7).is_some());
    assert_eq!(quarantine.crash_count(8), 2);
    assert!(quarantine.rows().count() < 2_000);
}

/// Guards against a request that is refused for good, and against one that may crash as many
/// endpoints again after each refusal.
#[test]
fn refusal_ends_and_one_more_crash_renews_it() {
    let mut quarantine = Quarantine::new(MAX_CRASHES);
    for endpoint in 0..3 {
        let sent_at = u64::from(endpoint) * 100;
        quarantine.on_crash(7, run(endpoint, sent_at, sent_at + 50));
    }
    let end = ms(250) + REFUSAL_PERIOD;
    assert_eq!(quarantine.remaining(end - ms(1), 7), Some(ms(1)));
    assert_eq!(quarantine.remaining(end, 7), None);
    let later = end.as_millis() as u64;
    assert!(quarantine.on_crash(7, run(9, later, later + 10)));
    quarantine.tick(ms(later + 10) + REFUSAL_PERIOD * 2);
    assert!(!quarantine.is_suspect(7));
}
