//! How much of its time an engine is given to read prompts.
//!
//! Load pattern: an engine reads prompts between the tokens of the streams that it runs. Many
//! prompts at once, each small against what the engine can read in a second, hold up all of its
//! streams together: of 2,968 streams of a day at a third of the slots, 95 had a pause over their
//! limit, with 5,560 prompt tokens sent to the engine in that time against 2,100 around others.
//! Requests that come at random arrive in such clumps although there is room between them.
//!
//! So the time that an engine needs to read what it is sent within the pause that is allowed is
//! bounded, and a request beyond that goes elsewhere or waits the moment until the clump is read.
//! Daemons tell each other what they send, since each alone sees a part of the clump.

use std::collections::VecDeque;
use std::time::Duration;

/// Of an allowed pause less the engine's own steps, so much may go to reading prompts: the rest is for
/// the way to the caller and for what others sent that is not known yet.
const SHARE: f64 = 0.75;

/// How long an engine may read within a pause of this length, when its events come this far apart
/// by themselves.
pub fn budget(gap: Duration, beat: Duration) -> Duration {
    // An engine whose steps alone take the pause up is late whatever it reads: half is left to it, or
    // it would get no request at all.
    gap.saturating_sub(beat.min(gap / 2)).mul_f64(SHARE)
}

/// Prompts sent to one engine lately, by the time that it needs to read each.
#[derive(Debug, Clone, Default)]
pub struct Window {
    sends: VecDeque<(Duration, Duration)>,
    /// When all that was sent is read.
    until: Duration,
}

impl Window {
    /// So long a send is remembered: over the longest pause that a route may allow for.
    const KEPT: Duration = Duration::from_secs(1);

    /// A prompt was sent that takes so long to read.
    pub fn add(&mut self, now: Duration, read: Duration) {
        while self.sends.front().is_some_and(|(at, _)| now > *at + Self::KEPT) {
            self.sends.pop_front();
        }
        self.sends.push_back((now, read));
        // Beyond that more was counted than is read: engines that read faster than is known.
        self.until = (self.until.max(now) + read).min(now + Self::KEPT);
    }

    /// How long the engine reads what it was sent so far.
    pub fn ahead(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }

    /// Time to read what was sent within a span.
    fn sum(&self, now: Duration, span: Duration) -> Duration {
        let recent = self.sends.iter().rev().take_while(|(at, _)| now < *at + span);
        recent.map(|(_, read)| *read).sum()
    }

    /// How long a prompt waits until it is within the budget of a span. One that is larger than the
    /// budget waits until it is alone.
    pub fn wait(
        &self,
        now: Duration,
        span: Duration,
        budget: Duration,
        read: Duration,
    ) -> Duration {
        let mut sum = self.sum(now, span);
        let mut until = now;
        for (at, sent) in self.sends.iter().filter(|(at, _)| now < *at + span) {
            if sum + read <= budget {
                break;
            }
            sum -= *sent;
            until = *at + span;
        }
        until.saturating_sub(now)
    }
}
