//! The faults that an engine can be told to show.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::engine::Engine;
use crate::engine::State;

/// How a stream that is stopped in its middle looks to its reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stop {
    /// The connection breaks.
    Close,
    /// Nothing more comes, and the connection stays open.
    Silence,
    /// The body ends as if it were whole, without its last part.
    End,
}

/// What an engine can be told; the same in a test and at `POST /control`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Command {
    /// Break every connection and come back empty, as a new incarnation.
    Crash {
        /// After how long it listens again.
        restart_ms: u64,
    },
    /// Crash whenever a request whose body holds a text begins to run.
    CrashOn {
        /// The text.
        text: String,
        /// After how long it listens again.
        restart_ms: u64,
    },
    /// Add to the time between tokens.
    Slow {
        /// How much.
        ms: u64,
    },
    /// Stand still: connections stay open, nothing is answered.
    Freeze,
    /// Go on where it stood still.
    Thaw,
    /// Break the connection of the next orders and ignore them.
    LoseOrders {
        /// How many.
        orders: u64,
    },
    /// Apply and answer the next orders late.
    DelayOrders {
        /// How many.
        orders: u64,
        /// How late.
        ms: u64,
    },
    /// Apply the next orders twice.
    DoubleOrders {
        /// How many.
        orders: u64,
    },
    /// Apply the next orders and break the connection in place of an answer.
    LoseOrderAnswers {
        /// How many.
        orders: u64,
    },
    /// Apply orders whatever their fencing number.
    IgnoreFences,
    /// Put the parts of another attempt into the next answers.
    Foreign {
        /// How many answers.
        requests: u64,
        /// Between its own parts, or else in their place.
        mixed: bool,
    },
    /// Stop the next streams in their middle.
    Stop {
        /// How many streams.
        requests: u64,
        /// After how many tokens of the stream.
        tokens: u64,
        /// How it looks.
        how: Stop,
    },
    /// Report what was.
    Lag {
        /// How long ago.
        ms: u64,
    },
    /// Leave: say so in reports and answers at once, refuse new work later.
    Leave {
        /// After how long new work is refused.
        refuse_after_ms: u64,
    },
    /// Leave out one in so many cache events.
    Gap {
        /// One in how many; 0 for none.
        every: u64,
    },
    /// Make every load from its weight store take longer.
    SlowWeights {
        /// Factor on the time.
        factor: u32,
    },
    /// End all faults; the engine goes on as it is.
    Heal,
}

/// The faults in force.
#[derive(Default)]
pub(super) struct Faults {
    pub(super) crash: Option<(String, Duration)>,
    pub(super) slow: Duration,
    pub(super) lose: u64,
    pub(super) delay: (u64, Duration),
    pub(super) double: u64,
    pub(super) lose_answers: u64,
    pub(super) ignore_fences: bool,
    pub(super) foreign: (u64, bool),
    pub(super) stop: Option<(u64, u64, Stop)>,
    pub(super) lag: Duration,
    /// Since when it is leaving, and after how long it refuses.
    pub(super) leaving: Option<(Instant, Duration)>,
}

impl Faults {
    /// Whether new work is refused.
    pub(super) fn refuses(&self) -> bool {
        self.leaving.is_some_and(|(since, after)| since.elapsed() >= after)
    }

    /// Whether the next answer holds parts of another attempt, and whether between its own.
    pub(super) fn take_foreign(&mut self) -> Option<bool> {
        let (left, mixed) = &mut self.foreign;
        let some = *left > 0;
        *left = left.saturating_sub(1);
        some.then_some(*mixed)
    }

    /// Whether and where the next stream stops.
    pub(super) fn take_stop(&mut self) -> Option<(u64, Stop)> {
        let (left, tokens, how) = self.stop.as_mut()?;
        let some = *left > 0;
        *left = left.saturating_sub(1);
        some.then_some((*tokens, *how))
    }
}

/// Takes one from a count.
pub(super) fn take(left: &mut u64) -> bool {
    let some = *left > 0;
    *left = left.saturating_sub(1);
    some
}

impl Engine {
    /// Does what a command says.
    pub fn tell(&self, command: Command) {
        match command {
            Command::Crash { restart_ms } => self.crash(Duration::from_millis(restart_ms)),
            Command::Freeze => self.shared.gate.freeze(),
            Command::Thaw => self.shared.gate.thaw(),
            Command::SlowWeights { factor } => self.shared.settings.weights.slow(factor),
            Command::Heal => {
                self.state().heal();
                self.shared.gate.thaw();
                self.shared.settings.weights.slow(1);
            }
            other => self.state().tell(other),
        }
    }

    /// Breaks every connection, forgets all, and listens again after a time.
    pub(super) fn crash(&self, restart: Duration) {
        let host = self.host();
        host.close();
        self.state().restart();
        let host = host.clone();
        smol::spawn(async move {
            smol::Timer::after(restart).await;
            host.open();
        })
        .detach();
    }
}

impl State {
    fn restart(&mut self) {
        for run in self.running.drain(..).chain(self.waiting.drain(..)) {
            // Cut first: a sender that is only dropped would end the body as if it were whole.
            run.link.close();
        }
        self.record.crashes += 1;
        self.memory.clear();
        self.cache.clear();
        self.reports.clear();
        self.sequence = 0;
        self.incarnation += 1;
        self.faults.leaving = None;
    }

    fn heal(&mut self) {
        let lag = self.faults.lag;
        let leaving = self.faults.leaving;
        self.faults = Faults { lag, leaving, ..Faults::default() };
        self.cache.set_gap(0);
    }

    fn tell(&mut self, command: Command) {
        let faults = &mut self.faults;
        match command {
            Command::Crash { .. }
            | Command::Freeze
            | Command::Thaw
            | Command::SlowWeights { .. }
            | Command::Heal => {}
            Command::CrashOn { text, restart_ms } => {
                faults.crash = Some((text, Duration::from_millis(restart_ms)));
            }
            Command::Slow { ms } => faults.slow = Duration::from_millis(ms),
            Command::LoseOrders { orders } => faults.lose = orders,
            Command::DelayOrders { orders, ms } => {
                faults.delay = (orders, Duration::from_millis(ms));
            }
            Command::DoubleOrders { orders } => faults.double = orders,
            Command::LoseOrderAnswers { orders } => faults.lose_answers = orders,
            Command::IgnoreFences => faults.ignore_fences = true,
            Command::Foreign { requests, mixed } => faults.foreign = (requests, mixed),
            Command::Stop { requests, tokens, how } => faults.stop = Some((requests, tokens, how)),
            Command::Lag { ms } => faults.lag = Duration::from_millis(ms),
            Command::Leave { refuse_after_ms } => {
                let after = Duration::from_millis(refuse_after_ms);
                faults.leaving = Some((Instant::now(), after));
            }
            Command::Gap { every } => self.cache.set_gap(every),
        }
    }
}
