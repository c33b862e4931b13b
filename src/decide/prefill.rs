//! How many prompt tokens an engine is given at a time.
//!
//! Load pattern: an engine reads prompts between the tokens of the streams that it runs. Many
//! prompts at once, each small against what the engine can read in a second, hold up all of its
//! streams together: of 2,968 streams of a day at a third of the slots, 95 had a pause over their
//! limit, with 5,560 prompt tokens sent to the engine in that time against 2,100 around others.
//! Requests that come at random arrive in such clumps although there is room between them.
//!
//! So the prompt tokens sent to an engine within the pause that is allowed are bounded, and a
//! request beyond that goes elsewhere or waits the moment until the clump is read. Daemons tell
//! each other what they send, since each alone sees a part of the clump.

use std::collections::VecDeque;
use std::time::Duration;

/// Prompt tokens that an engine reads in a millisecond, where nothing better is known.
pub const READS: f64 = 38.0;
/// Of an allowed pause, so much may go to reading prompts: the rest is the streams' own steps and
/// the way to the caller.
const SHARE: f64 = 0.62;

/// Prompt tokens that an engine may be sent within a pause of this length.
pub fn budget(gap: Duration) -> u32 {
    (gap.as_secs_f64() * 1000.0 * SHARE * READS) as u32
}

/// Prompts sent to one engine lately.
#[derive(Debug, Clone, Default)]
pub struct Window {
    sends: VecDeque<(Duration, u32)>,
}

impl Window {
    /// So long a send is remembered: over the longest pause that a route may allow for.
    const KEPT: Duration = Duration::from_secs(1);

    /// So many tokens were sent.
    pub fn add(&mut self, now: Duration, tokens: u32) {
        while self.sends.front().is_some_and(|(at, _)| now > *at + Self::KEPT) {
            self.sends.pop_front();
        }
        self.sends.push_back((now, tokens));
    }

    /// Tokens sent within a span.
    pub fn tokens(&self, now: Duration, span: Duration) -> u32 {
        let recent = self.sends.iter().rev().take_while(|(at, _)| now < *at + span);
        recent.map(|(_, tokens)| tokens).sum()
    }

    /// How long a prompt of so many tokens waits until it is within the budget of a span. One that
    /// is larger than the budget waits until it is alone.
    pub fn wait(&self, now: Duration, span: Duration, tokens: u32) -> Duration {
        let budget = budget(span);
        let mut sum = self.tokens(now, span);
        let mut until = now;
        for (at, sent) in self.sends.iter().filter(|(at, _)| now < *at + span) {
            if sum + tokens <= budget {
                break;
            }
            sum -= sent;
            until = *at + span;
        }
        until.saturating_sub(now)
    }
}
