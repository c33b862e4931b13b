//! What daemons learn about the prefill speed of engines, from the answers of several kinds of
//! engines.

use std::time::Duration;

use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use poplarmux::decide::endpoint::Requirements;
use poplarmux::decide::fleet::Fleet;
use poplarmux::decide::prefill;
use poplarmux::decide::prefill::Window;
use poplarmux::decide::speed::Estimate;
use poplarmux::decide::speed::Interval;
use poplarmux::decide::speed::Ratio;
use poplarmux::decide::speed::Speeds;
use poplarmux::table::instance::Copies;
use poplarmux::table::instance::Instance;
use poplarmux::table::instance::Key;
use poplarmux::table::instance::State;

/// Requests per second that a daemon sends to one engine.
const REQUESTS_PER_S: f64 = 4.0;
/// Largest relative error of an estimated prefill time: the budget for prefill leaves a quarter of
/// the pause, and the noise of endpoint selection is of the same size.
const MAX_ERROR: f64 = 0.25;

/// True speed of a simulated engine.
#[derive(Clone, Copy)]
struct Engine {
    /// Prompt tokens prefilled per millisecond.
    tokens_per_ms: f64,
    /// Milliseconds to the first event without a prompt.
    base_ms: f64,
}

/// One daemon that sends to one engine, and its estimates.
struct Simulation {
    rng: SmallRng,
    speeds: Speeds,
    ratio: Ratio,
    window: Window,
    now_ms: f64,
    /// When the engine has prefilled what it was sent, in milliseconds.
    idle_at_ms: f64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Simulation {
            rng: SmallRng::seed_from_u64(seed),
            speeds: Speeds::default(),
            ratio: Ratio::default(),
            window: Window::default(),
            now_ms: 0.0,
            idle_at_ms: 0.0,
        }
    }

    /// Sends requests for a while. One answer in twenty comes seconds late, and one prompt in five
    /// was cached in part without the daemon's knowledge.
    fn run(&mut self, engine: Engine, model: &str, seconds: f64) {
        let end_ms = self.now_ms + seconds * 1000.0;
        while self.now_ms < end_ms {
            self.now_ms += -self.rng.random::<f64>().ln() * 1000.0 / REQUESTS_PER_S;
            let sent_at = Duration::from_secs_f64(self.now_ms / 1000.0);
            let tokens = self.rng.random_range(50..3_000);
            let own_prefill = self.speeds.prefill_time(Some(model), &self.ratio, tokens);
            let estimate =
                Estimate { tokens, own_prefill, queued_prefill: self.window.backlog(sent_at) };
            self.window.add(sent_at, own_prefill);
            let cached = self.rng.random_bool(0.2);
            let prefill_ms =
                f64::from(tokens) / engine.tokens_per_ms * if cached { 0.7 } else { 1.0 };
            self.idle_at_ms = self.idle_at_ms.max(self.now_ms) + prefill_ms;
            let mut took =
                self.idle_at_ms - self.now_ms + engine.base_ms * self.rng.random_range(0.8..1.2);
            if self.rng.random_bool(0.05) {
                took += 3_000.0;
            }
            let took = Duration::from_secs_f64(took / 1000.0);
            self.speeds.learn(model, &mut self.ratio, &estimate, took);
        }
    }

    /// Returns the relative error of the expected prefill time of a prompt.
    fn error(&self, engine: Engine, model: &str) -> f64 {
        let tokens = 1_500;
        let estimated_ms =
            self.speeds.prefill_time(Some(model), &self.ratio, tokens).as_secs_f64() * 1000.0;
        estimated_ms / (f64::from(tokens) / engine.tokens_per_ms) - 1.0
    }
}

/// Returns the mean error over some seeds, each with so many seconds of samples.
fn error(engine: Engine, seconds: f64) -> f64 {
    let errors = (0..16).map(|seed| {
        let mut simulation = Simulation::new(seed);
        simulation.run(engine, "m", seconds);
        simulation.error(engine, "m").abs()
    });
    errors.sum::<f64>() / 16.0
}

/// Engines differ in prefill speed and in the time to a first event. If one speed were assumed for
/// all, slow engines would get bursts of prompts that make all their streams late, and fast ones
/// would be idle while callers wait.
#[test]
fn estimates_converge_for_engines_of_any_speed() {
    for tokens_per_ms in [10.0, 22.0, 38.0, 80.0] {
        for base_ms in [8.0, 30.0, 120.0] {
            let deviation = error(Engine { tokens_per_ms, base_ms }, 15.0);
            assert!(
                deviation < MAX_ERROR,
                "{tokens_per_ms} tokens a ms, first event in {base_ms} ms: off by {deviation}"
            );
        }
    }
}

/// An engine becomes twice as slow after 20 s. If requests were still sent there as if it were
/// fast, its streams would become late. Within ten seconds the estimates match its new speed.
#[test]
fn estimates_follow_an_engine_that_becomes_slow() {
    let engine = Engine { tokens_per_ms: 40.0, base_ms: 20.0 };
    let slow = Engine { tokens_per_ms: 20.0, base_ms: 40.0 };
    let mut sum = 0.0;
    for seed in 0..16 {
        let mut simulation = Simulation::new(seed);
        simulation.run(engine, "m", 20.0);
        simulation.run(slow, "m", 10.0);
        sum += simulation.error(slow, "m").abs();
    }
    assert!(sum / 16.0 < MAX_ERROR, "off by {}", sum / 16.0);
}

/// One engine of a service is 1.3 times slower than the others. Only its own estimates grow; those
/// for the others stay the same.
#[test]
fn ratio_identifies_a_slower_engine() {
    let mut slowness = 0.0;
    for seed in 0..16 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut speeds = Speeds::default();
        let mut ratios = [Ratio::default(); 3];
        for index in 0..600 {
            let engine = index % 3;
            let tokens = rng.random_range(200..3_000);
            let own_prefill = speeds.prefill_time(Some("m"), &ratios[engine], tokens);
            let estimate = Estimate { tokens, own_prefill, queued_prefill: Duration::ZERO };
            let factor = if engine == 2 { 1.3 } else { 1.0 };
            let took = (f64::from(tokens) / 22.0 + 25.0) * factor * rng.random_range(0.85..1.15);
            let took = Duration::from_secs_f64(took / 1000.0);
            speeds.learn("m", &mut ratios[engine], &estimate, took);
        }
        slowness += ratios[2].get() / ((ratios[0].get() + ratios[1].get()) / 2.0) / 16.0;
    }
    assert!((slowness - 1.3).abs() < 0.1, "{slowness}");
}

/// A model that is three times smaller is prefilled three times faster at the same engine. If its
/// prompts counted like those of the other, callers would wait for nothing.
#[test]
fn estimates_distinguish_models() {
    let (large, small) = (
        Engine { tokens_per_ms: 22.0, base_ms: 25.0 },
        Engine { tokens_per_ms: 66.0, base_ms: 12.0 },
    );
    let mut deviations = [0.0; 2];
    for seed in 0..16 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..15 {
            simulation.run(large, "large", 1.0);
            simulation.run(small, "small", 1.0);
        }
        deviations[0] += simulation.error(large, "large").abs() / 16.0;
        deviations[1] += simulation.error(small, "small").abs() / 16.0;
    }
    assert!(deviations[0] < MAX_ERROR && deviations[1] < MAX_ERROR, "{deviations:?}");
}

fn engine(id: &str) -> Instance {
    Instance {
        key: Key { id: id.to_string(), born: 1 },
        service: "llm".to_string(),
        software: "v1".to_string(),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_center: "a".to_string(),
        slots: 24,
        state: State::Live,
        warmup: Duration::ZERO,
        remaining: None,
        resident: Vec::new(),
        copies: Copies::default(),
        heartbeat: 1,
    }
}

/// Returns the fleet of a daemon in the given region, with one engine in region `a` to which
/// connections open within this time.
fn fleet_in(region: &str, connect_time: Duration) -> Fleet {
    let regions = [("a", "a"), ("b", "b")]
        .map(|(center, region_id)| (center.to_string(), region_id.to_string()));
    let mut fleet = Fleet::new(region.to_string(), region.to_string(), regions.into());
    let instance = engine("e");
    let key = instance.key.clone();
    fleet.put(Duration::ZERO, instance);
    (0..40).for_each(|_| fleet.record_connect(Duration::ZERO, &key, connect_time));
    fleet
}

fn requirements(prompt: u32) -> Requirements<'static> {
    Requirements {
        service: "llm",
        model: Some("m"),
        adapter: None,
        adapter_slots: 8,
        prompt_tokens: prompt,
        output_tokens: 0,
        parts: &[],
        max_pause: None,
        tried: &[],
        excluded: None,
        required_region: None,
        software: None,
    }
}

/// Returns the milliseconds per token that a broker estimates after a minute of first events at
/// daemons in its own and in another region; the engine takes 0.026.
fn estimate_with_round_trips(seed: u64) -> f64 {
    const ROUND_TRIPS_MS: [f64; 2] = [1.0, 62.0];
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut broker = fleet_in("a", Duration::from_millis(1));
    let requesters = ["a", "b"].map(|center| {
        let round_trip_ms = if center == "a" { ROUND_TRIPS_MS[0] } else { ROUND_TRIPS_MS[1] };
        fleet_in(center, Duration::from_secs_f64(round_trip_ms / 1000.0))
    });
    let key = engine("e").key;
    for index in 0..300 {
        let now = Duration::from_millis(index * 200);
        let tokens = (-rng.random::<f64>().ln() * 400.0).clamp(50.0, 2_300.0) as u32;
        let estimate = broker.estimate(now, &key, &requirements(tokens));
        let estimate = Estimate { queued_prefill: Duration::ZERO, ..estimate };
        let queued = -rng.random::<f64>().ln() * 5.0;
        let requester = usize::from(rng.random_bool(0.4));
        let took = ROUND_TRIPS_MS[requester] + 11.0 + 0.026 * f64::from(tokens) + queued;
        let took = Duration::from_secs_f64(took / 1000.0);
        let took = requesters[requester].subtract_round_trip(&key, took);
        broker.record_first_byte(now, &key, took, Some("m"), &estimate);
    }
    let now = Duration::from_secs(61);
    broker.estimate(now, &key, &requirements(1_000)).own_prefill.as_secs_f64()
}

/// A broker counted the round trip of a daemon in another region as prefill: it estimated 7 tokens
/// per millisecond for one model and 430 for another, where engines prefill 38.
#[test]
fn round_trip_of_other_daemons_is_not_counted_as_prefill() {
    let mut estimates: Vec<f64> = (0..40).map(estimate_with_round_trips).collect();
    estimates.sort_by(f64::total_cmp);
    let (low, high) = (estimates[4] / 0.026, estimates[35] / 0.026);
    assert!(low > 2.0 / 3.0 && high < 4.0 / 3.0, "a tenth and nine tenths at {low:.2}, {high:.2}");
}

/// Returns the estimated milliseconds per token after first events at an engine that is overloaded
/// half of the time; it takes 0.026.
fn estimate_under_overload(seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = fleet_in("a", Duration::from_millis(1));
    let key = engine("e").key;
    for index in 0..400 {
        let now = Duration::from_millis(index * 200);
        let running = if index / 50 % 2 == 0 { 16 } else { 2 };
        (0..running).for_each(|_| fleet.start_request(now, &key, &[], Duration::ZERO));
        let tokens = (-rng.random::<f64>().ln() * 400.0).clamp(50.0, 2_300.0) as u32;
        let estimate = Estimate {
            queued_prefill: Duration::ZERO,
            ..fleet.estimate(now, &key, &requirements(tokens))
        };
        // Prefill of other prompts meanwhile delays the steps of the first event.
        let others_ms = f64::from(running) * rng.random_range(0.0..25.0);
        let took = 11.0 + 0.026 * f64::from(tokens) + others_ms;
        fleet.record_first_byte(
            now,
            &key,
            Duration::from_secs_f64(took / 1000.0),
            Some("m"),
            &estimate,
        );
        (0..running).for_each(|_| fleet.end_request(&key));
    }
    let now = Duration::from_secs(81);
    fleet.estimate(now, &key, &requirements(1_000)).own_prefill.as_secs_f64()
}

/// The time that an overloaded engine spent on other requests was counted as prefill.
#[test]
fn overload_is_not_counted_as_prefill() {
    let mut estimates: Vec<f64> = (0..40).map(estimate_under_overload).collect();
    estimates.sort_by(f64::total_cmp);
    let (low, high) = (estimates[4] / 0.026, estimates[35] / 0.026);
    assert!(low > 0.5 && high < 1.5, "a tenth and nine tenths at {low:.2}, {high:.2}");
}

/// Returns the estimated milliseconds per token after so many first events of a model, which wait
/// for up to 100 ms for other requests there; the engine takes 0.026.
fn estimate_from_few_events(seed: u64, events: usize) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut speeds, mut ratio) = (Speeds::default(), Ratio::default());
    for _ in 0..events {
        let tokens = (-rng.random::<f64>().ln() * 400.0).clamp(50.0, 2_300.0) as u32;
        let own_prefill = speeds.prefill_time(Some("m"), &ratio, tokens);
        let estimate = Estimate { tokens, own_prefill, queued_prefill: Duration::ZERO };
        let took = 11.0 + 0.026 * f64::from(tokens) + rng.random_range(0.0..100.0);
        let took = Duration::from_secs_f64(took / 1000.0);
        speeds.learn("m", &mut ratio, &estimate, took);
    }
    speeds.prefill_time(Some("m"), &Ratio::default(), 1_000).as_secs_f64()
}

/// A few first events that scatter are compatible with any slope: estimates were 7 or 430 tokens
/// per millisecond.
#[test]
fn few_scattered_events_change_the_estimate_little() {
    for events in [6, 12, 24] {
        let mut estimates: Vec<f64> =
            (0..100).map(|seed| estimate_from_few_events(seed, events)).collect();
        estimates.sort_by(f64::total_cmp);
        let (low, high) = (estimates[10] / 0.026, estimates[90] / 0.026);
        assert!(
            low > 1.0 / 3.0 && high < 3.0,
            "{events} events: {low:.2} to {high:.2} of the truth"
        );
    }
}

/// Streams of an engine that prefills in one pause of two: the interval without prefill is the
/// shorter pause.
#[test]
fn interval_excludes_pauses_with_prefill() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut interval = Interval::default();
    for _ in 0..400 {
        let step_ms = rng.random_range(18.0..24.0);
        let prompt_ms = if rng.random_bool(0.5) { rng.random_range(20.0..200.0) } else { 0.0 };
        interval.record(Duration::from_secs_f64((step_ms + prompt_ms) / 1000.0));
    }
    let interval_ms = interval.get().as_secs_f64() * 1000.0;
    assert!((16.0..28.0).contains(&interval_ms), "{interval_ms}");
}

proptest! {
    /// Whatever the answers, lost, late or absurd, an estimate stays finite and within its bounds,
    /// and the budget is never zero while a pause is allowed.
    #[test]
    fn estimates_stay_within_bounds(
        rows in proptest::collection::vec(
            (0_u32..=u32::MAX, 0_u64..=u64::MAX / 2, 0_u64..100_000),
            0..200,
        ),
        max_pause in 1_u64..2_000,
    ) {
        let mut speeds = Speeds::default();
        let mut ratio = Ratio::default();
        let mut interval = Interval::default();
        for (tokens, took, queued_ms) in rows {
            let own_prefill = speeds.prefill_time(Some("m"), &ratio, tokens);
            let estimate = Estimate {
                tokens,
                own_prefill,
                queued_prefill: Duration::from_millis(queued_ms),
            };
            speeds.learn("m", &mut ratio, &estimate, Duration::from_micros(took));
            interval.record(Duration::from_micros(took));
        }
        let s_per_1000_tokens = speeds.prefill_time(Some("m"), &ratio, 1_000).as_secs_f64();
        prop_assert!((0.000_25..=8.0).contains(&s_per_1000_tokens), "{s_per_1000_tokens}");
        let max_pause = Duration::from_millis(max_pause);
        prop_assert!(prefill::budget(max_pause, interval.get()) > Duration::ZERO);
    }
}
