//! Continuous batching: each step gives every running request its next token, and takes longer
//! the more requests run.

use std::time::Duration;
use std::time::Instant;

use poplarmux::edge::endpoint::Part;
use poplarmux::edge::http::Link;
use poplarmux::entry::pipe::Status;
use poplarmux::entry::pipe::Writer;
use poplarmux::table::AdapterId;
use poplarmux::table::AttemptId;
use poplarmux::table::ModelId;

use crate::engine::Engine;
use crate::engine::State;
use crate::engine::fault::Stop;
use crate::engine::text;

/// How often the state is kept for late reports, at the least.
const SAMPLE_MIN: Duration = Duration::from_millis(5);

/// How often a lag that may be set later is looked for.
const SAMPLE_IDLE: Duration = Duration::from_millis(20);

/// A request at the engine.
pub(super) struct Run {
    pub(super) attempt: AttemptId,
    pub(super) model: ModelId,
    pub(super) adapter: Option<AdapterId>,
    pub(super) body: String,
    pub(super) prefix: Vec<u64>,
    pub(super) seed: u64,
    /// Index of the next token.
    pub(super) next: u64,
    /// Tokens of the whole answer.
    pub(super) total: u64,
    /// Tokens sent by this run.
    pub(super) sent: u64,
    /// Lower goes first.
    pub(super) priority: u32,
    /// Earlier goes first within a priority.
    pub(super) arrival: u64,
    /// When its prompt is taken in.
    pub(super) ready: Instant,
    pub(super) feed: Writer,
    pub(super) link: Link,
    pub(super) stop: Option<(u64, Stop)>,
    pub(super) foreign: Option<bool>,
    /// Another attempt, for foreign parts.
    pub(super) other: AttemptId,
}

/// What a step did with one running request.
enum Fate {
    Stays,
    Finished,
    Gone,
    /// Ends as if whole.
    Ended,
    Broken,
}

/// Runs the engine's steps for ever.
pub(super) async fn steps(engine: Engine) {
    let mut last = Instant::now();
    loop {
        engine.shared.gate.pass().await;
        match engine.step() {
            None => {
                let _ = engine.shared.bell.1.recv().await;
                last = Instant::now();
            }
            Some(pause) if pause.is_zero() => smol::future::yield_now().await,
            Some(pause) => {
                // Steps keep their pace; a step that came late is not made up for.
                last = (last + pause).max(Instant::now());
                smol::Timer::at(last).await;
            }
        }
    }
}

/// Keeps past reports while reports are to be late.
pub(super) async fn samples(engine: Engine) {
    loop {
        let lag = engine.state().faults.lag;
        if lag.is_zero() {
            smol::Timer::after(SAMPLE_IDLE).await;
            continue;
        }
        smol::Timer::after((lag / 8).max(SAMPLE_MIN)).await;
        let mut state = engine.state();
        let report = state.report();
        state.reports.push_back((Instant::now(), report));
    }
}

impl Engine {
    /// Begins to run what waits while there is room; false when that crashed the engine.
    pub(super) fn fill(&self) -> bool {
        let settings = &self.shared.settings;
        let mut state = self.state();
        while state.running.len() < settings.batch
            && let Some(run) = state.first()
        {
            if let Some(restart) = state.crashes(&run) {
                state.begin(&run.body, &run.attempt);
                state.running.push(run);
                drop(state);
                self.crash(restart);
                return false;
            }
            state.admit(run, settings.block);
        }
        true
    }

    /// One step; how long it took, or none when nothing runs.
    fn step(&self) -> Option<Duration> {
        if !self.fill() {
            return None;
        }
        let settings = &self.shared.settings;
        let mut state = self.state();
        let now = Instant::now();
        let mut at = 0;
        while at < state.running.len() {
            let fate = state.running[at].advance(now);
            match fate {
                Fate::Stays => at += 1,
                Fate::Finished => state.record.finished += 1,
                Fate::Gone => {
                    let attempt = state.running[at].attempt.clone();
                    state.record.hangups.push(attempt);
                }
                Fate::Ended | Fate::Broken => {}
            }
            if !matches!(fate, Fate::Stays) {
                let run = state.running.swap_remove(at);
                state.record.tokens += run.sent;
                if matches!(fate, Fate::Finished | Fate::Ended) {
                    smol::spawn(run.feed.end()).detach();
                }
            }
        }
        let others = state.running.len().checked_sub(1)?;
        Some(settings.token + settings.slope * others as u32 + state.faults.slow)
    }
}

impl State {
    /// Takes the most urgent waiting request.
    fn first(&mut self) -> Option<Run> {
        let order = |run: &Run| (run.priority, run.arrival);
        let at = (0..self.waiting.len()).min_by_key(|at| order(&self.waiting[*at]))?;
        Some(self.waiting.swap_remove(at))
    }

    fn crashes(&self, run: &Run) -> Option<Duration> {
        let (text, restart) = self.faults.crash.as_ref()?;
        run.body.contains(text).then_some(*restart)
    }

    /// Begins to run a request.
    fn admit(&mut self, mut run: Run, block: Duration) {
        let hits = self.cache.store(&run.prefix);
        let missing = run.prefix.len() - hits;
        run.ready = Instant::now() + block * missing as u32;
        run.stop = self.faults.take_stop();
        run.foreign = self.faults.take_foreign();
        self.begin(&run.body, &run.attempt);
        self.running.push(run);
    }
}

impl Run {
    /// Sends the next token.
    fn advance(&mut self, now: Instant) -> Fate {
        if self.feed.is_closed() {
            return Fate::Gone;
        }
        if now < self.ready {
            return Fate::Stays;
        }
        if let Some((tokens, how)) = self.stop
            && self.sent >= tokens
        {
            return self.halt(how);
        }
        let mut event = String::with_capacity(192);
        if self.foreign == Some(true) {
            let text = text::token(self.seed + 1, self.next);
            push(&mut event, &self.other, self.next, text, false);
        }
        let attempt = if self.foreign == Some(false) { &self.other } else { &self.attempt };
        if self.next < self.total {
            push(&mut event, attempt, self.next, text::token(self.seed, self.next), false);
        }
        let last = self.next + 1 >= self.total;
        if last {
            push(&mut event, attempt, self.total, String::new(), true);
        }
        match self.feed.try_send(event) {
            Status::Closed => Fate::Gone,
            // The token is sent at a later step.
            Status::Full => Fate::Stays,
            Status::Queued => {
                self.sent += u64::from(self.next < self.total);
                self.next += 1;
                if last { Fate::Finished } else { Fate::Stays }
            }
        }
    }

    fn halt(&self, how: Stop) -> Fate {
        match how {
            Stop::Silence => Fate::Stays,
            Stop::End => Fate::Ended,
            Stop::Close if self.feed.is_idle() => Fate::Broken,
            // What was sent before the break is to arrive.
            Stop::Close => Fate::Stays,
        }
    }
}

/// Writes one event.
fn push(event: &mut String, attempt: &str, index: u64, text: String, done: bool) {
    let part = Part { attempt: attempt.to_string(), index, text, done };
    event.push_str("data: ");
    event.push_str(&serde_json::to_string(&part).unwrap_or_default());
    event.push_str("\n\n");
}
