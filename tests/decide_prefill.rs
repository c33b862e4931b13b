//! How prompts that come in clumps are spread: seen from the pauses of the streams that run beside
//! them.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use poplarmux::decide::prefill;
use poplarmux::decide::prefill::Window;

const GAP: Duration = Duration::from_millis(150);
const PROMPT: u32 = 570;
/// Prompts a second of all callers together: the engine spends four tenths of its time on them.
const RATE: f64 = 27.0;
/// Prompts a second in a crowd: more than the engine can read.
const CROWD: f64 = 94.5;
/// Tokens of an event, each of which takes a step of the engine.
const EVENT: usize = 6;
/// A step without prompts, in milliseconds.
const STEP: f64 = 5.9;
/// Prompt tokens that the engine reads in a millisecond.
const READS: f64 = 38.0;
/// Tokens that one step reads at most.
const CHUNK: f64 = 2_048.0;

/// How far apart the events of an engine come that reads nothing.
const BEAT: Duration = Duration::from_micros((STEP * 1_000.0) as u64 * EVENT as u64);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn read(tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / READS / 1_000.0)
}

/// An engine that reads prompts between the steps of its streams, by the millisecond.
struct Engine {
    at: f64,
    queued: f64,
    steps: Vec<f64>,
}

impl Engine {
    /// Works until then.
    fn run(&mut self, until: f64) {
        while self.at < until {
            let read = self.queued.min(CHUNK);
            self.queued -= read;
            let took = STEP + read / READS;
            self.at += took;
            self.steps.push(took);
        }
    }

    /// Share of events that came later than allowed after the one before.
    fn late(&self) -> f64 {
        let events = self.steps.windows(EVENT).map(|steps| steps.iter().sum::<f64>());
        let gap = GAP.as_secs_f64() * 1000.0;
        let late = events.clone().filter(|took| *took > gap).count();
        late as f64 / events.count() as f64
    }
}

/// What a minute of callers at random moments came to.
struct Minute {
    /// Share of events that came later than allowed after the one before.
    late: f64,
    /// The longest that a caller waited.
    longest: Duration,
    /// Share of callers that were sent to the engine.
    served: f64,
}

/// Plays a minute. `hold` says, from the wait that the budget asks for and the milliseconds that the
/// caller will have waited by then, how long it is held; none when it is refused.
fn play(seed: u64, rate: f64, hold: impl Fn(Duration, f64) -> Option<Duration>) -> Minute {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut engine = Engine { at: 0.0, queued: 0.0, steps: Vec::new() };
    let mut window = Window::default();
    let (mut now, mut sent, mut longest) = (0.0, 0.0_f64, Duration::ZERO);
    let (mut came, mut served) = (0.0, 0.0);
    while now < 60_000.0 {
        now += -rng.random::<f64>().ln() * 1000.0 / rate;
        came += 1.0;
        // Those who wait stand in line: nobody is sent before the one ahead.
        sent = sent.max(now);
        let at = Duration::from_secs_f64(sent / 1000.0);
        let wait = window.wait(at, GAP, prefill::budget(GAP, BEAT), read(PROMPT));
        let Some(wait) = hold(wait, sent + wait.as_secs_f64() * 1000.0 - now) else {
            continue;
        };
        sent += wait.as_secs_f64() * 1000.0;
        longest = longest.max(Duration::from_secs_f64((sent - now) / 1000.0));
        window.add(Duration::from_secs_f64(sent / 1000.0), read(PROMPT));
        engine.run(sent);
        engine.queued += f64::from(PROMPT);
        served += 1.0;
    }
    Minute { late: engine.late(), longest, served: served / came }
}

/// Callers come at random, at a rate that the engine bears well. Seven prompts that happen to come
/// together are read between two events of every stream there, and each of these streams is late.
/// Spread over a few more milliseconds, they hold up none, and the one who waits longest is still
/// answered in time.
#[test]
fn a_clump_of_prompts_holds_up_no_stream() {
    let unbound = play(11, RATE, |_, _| Some(Duration::ZERO)).late;
    let Minute { late: bound, longest, .. } = play(11, RATE, |wait, _| Some(wait));
    // Of streams of thirty events that is a third.
    assert!(unbound > 0.015, "{unbound}");
    assert!(bound < unbound / 20.0, "{bound} {unbound}");
    assert!(longest < ms(300), "{longest:?}");
}

/// A prompt that alone is over the budget goes when nothing else was sent lately; held until it
/// fits, it would never go.
#[test]
fn a_prompt_larger_than_the_budget_goes_alone() {
    let mut window = Window::default();
    let budget = prefill::budget(GAP, BEAT);
    let large = budget * 3;
    assert_eq!(window.wait(ms(0), GAP, budget, large), ms(0));
    window.add(ms(10), ms(3));
    assert_eq!(window.wait(ms(20), GAP, budget, large), ms(140));
    assert_eq!(window.wait(ms(160), GAP, budget, large), ms(0));
}

/// Callers at a rate that the engine cannot bear, each of whom waits for at most 280 ms. Returns the part
/// of all that were answered with no event of the engine late around them.
fn press(refuse: bool) -> f64 {
    let beyond = if refuse { None } else { Some(Duration::ZERO) };
    let hold = |wait, waited| if waited > 280.0 { beyond } else { Some(wait) };
    let minute = play(5, CROWD, hold);
    minute.served * (1.0 - minute.late)
}

/// More callers come than the engine can read prompts for. Those who have waited in vain are sent there
/// all the same, every stream waits for their prompts, and nearly all callers see pauses over the
/// limit. Refused with word when to come back, they leave the others on time.
#[test]
fn a_crowd_is_refused_before_it_makes_all_streams_late() {
    let (sent, refused) = (press(false), press(true));
    // Of the time that the budget leaves to prompts, three quarters are put to use.
    let given = prefill::budget(GAP, BEAT).as_secs_f64() / GAP.as_secs_f64();
    let asked = CROWD * f64::from(PROMPT) / READS / 1_000.0;
    assert!(refused > 0.75 * given / asked, "{refused}");
    assert!(refused > sent * 1.5, "{refused} {sent}");
}
