//! Decides which requests a daemon still accepts during its shutdown.
//!
//! Load pattern: callers cache the addresses of daemons and keep sending requests for seconds after
//! the shutdown has begun, and some streams last as long as all the time that remains. A stream
//! that is accepted late is cut when the process ends: its caller has paid for an answer that it
//! never gets in full, and may not retry. A refused caller sends its request to another daemon at
//! once.
//!
//! An endpoint may take longer than was known. A request that is open when the process is about to
//! end gets an answer all the same, which says that it has not run if that is so: a connection that
//! ends without one tells its caller nothing.

use std::time::Duration;

/// Time from the start of the shutdown during which every request is accepted: callers can't know
/// of the shutdown yet, and most of the time for it is still left. A shutdown that takes less time
/// accepts what can be answered within it.
const GRACE_PERIOD: Duration = Duration::from_millis(2_500);
/// Longest time per token of an answer for which no pause is allowed.
const MAX_TOKEN_TIME: Duration = Duration::from_millis(14);
/// Time that an answer takes in addition to its tokens.
const BASE_RESPONSE_TIME: Duration = Duration::from_millis(800);

/// Time before the end of the process at which open requests are answered: several turns of a loop
/// that is late.
const FINAL_ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// Returns when requests that are still open are answered, if the process ends at `end`.
pub fn final_answer_at(end: Duration) -> Duration {
    end.saturating_sub(FINAL_ANSWER_MARGIN)
}

/// What the duration of an answer depends on.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    /// Largest number of output tokens; 0 if it is not known, or there are none.
    pub tokens: u32,
    /// Time of the first event of a stream that is on time.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream that is on time; none if it is no stream.
    pub max_pause: Option<Duration>,
    /// Time after which its caller gets no more of it.
    pub limit: Duration,
    /// How long plain answers of its service have taken lately; zero if that is not known.
    pub usual: Duration,
}

impl Answer {
    /// Returns how long the answer takes at the slowest pace that is on time.
    fn duration(&self) -> Duration {
        let Some(pause) = self.max_pause else {
            return self.usual + BASE_RESPONSE_TIME + MAX_TOKEN_TIME * self.tokens;
        };
        // An event has at least one token.
        let events = pause.saturating_mul(self.tokens);
        let is_known = self.tokens > 0;
        let time = if is_known { self.target_latency.saturating_add(events) } else { self.limit };
        time.min(self.limit).max(BASE_RESPONSE_TIME)
    }
}

/// Returns whether a request is accepted at `now`, if the shutdown began at `began` and the process
/// ends at `end`.
pub fn accepts(now: Duration, began: Duration, end: Duration, answer: &Answer) -> bool {
    let is_early = now < began + GRACE_PERIOD && now + BASE_RESPONSE_TIME <= end;
    is_early || now + answer.duration() <= end
}
