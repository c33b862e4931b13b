//! Limits how much of its time an engine spends on prefill.
//!
//! Load pattern: an engine reads prompts between the decoding steps of the streams that it runs.
//! Many prompts that arrive at once, each small against what the engine can prefill in a second,
//! delay all of its streams together: of 2,968 streams of a day at a third of the slots, 95 had a
//! pause over their limit, with 5,560 prompt tokens sent to the engine in that time against 2,100
//! around others. Requests that arrive at random form such bursts although there is capacity
//! between them.
//!
//! The prefill time that an engine is sent within the allowed pause is therefore bounded. A request
//! beyond that bound goes to another engine or waits until the burst has been prefilled. Daemons
//! send each other the prompts that they dispatch, since each alone sees only a part of the burst.

use std::collections::VecDeque;
use std::time::Duration;

/// Share of the allowed pause, less the engine's own event interval, that prefill may take. The
/// rest covers the round trip to the caller and prompts of other daemons that are not known yet.
const PREFILL_RATIO: f64 = 0.75;

/// Returns how long an engine may prefill within a pause of at most `max_pause` if its events are
/// `event_interval` apart without prefill.
pub fn budget(max_pause: Duration, event_interval: Duration) -> Duration {
    // An engine whose event interval alone uses up the pause is late whatever it prefills. Its
    // budget is based on half of the pause, or it would get no request at all.
    max_pause.saturating_sub(event_interval.min(max_pause / 2)).mul_f64(PREFILL_RATIO)
}

/// Prompts sent to one engine recently, with the time that the engine needs to prefill each.
#[derive(Debug, Clone, Default)]
pub struct Window {
    sends: VecDeque<(Duration, Duration)>,
    /// When the engine will have prefilled everything that it was sent.
    queued_until: Duration,
}

impl Window {
    /// How long a sent prompt is kept: longer than the longest pause that a route may allow.
    const RETENTION: Duration = Duration::from_secs(1);

    /// Records a prompt that was sent now and takes `prefill_time` to read.
    pub fn add(&mut self, now: Duration, prefill_time: Duration) {
        while self.sends.front().is_some_and(|(sent_at, _)| now > *sent_at + Self::RETENTION) {
            self.sends.pop_front();
        }
        self.sends.push_back((now, prefill_time));
        // A longer queue means that engines prefill faster than estimated.
        self.queued_until = (self.queued_until.max(now) + prefill_time).min(now + Self::RETENTION);
    }

    /// Returns how long the engine still needs to prefill the prompts that it was sent.
    pub fn backlog(&self, now: Duration) -> Duration {
        self.queued_until.saturating_sub(now)
    }

    /// Returns the prefill time of the prompts that were sent within the last `span`.
    fn prefill_within(&self, now: Duration, span: Duration) -> Duration {
        let recent = self.sends.iter().rev().take_while(|(sent_at, _)| now < *sent_at + span);
        recent.map(|(_, prefill_time)| *prefill_time).sum()
    }

    /// Returns how long a prompt has to wait until it fits into the budget of a span. A prompt
    /// larger than the budget waits until no other was sent within the span.
    pub fn wait(
        &self,
        now: Duration,
        span: Duration,
        budget: Duration,
        prefill_time: Duration,
    ) -> Duration {
        let mut sum = self.prefill_within(now, span);
        let mut allowed_at = now;
        for (sent_at, earlier) in self.sends.iter().filter(|(sent_at, _)| now < *sent_at + span) {
            if sum + prefill_time <= budget {
                break;
            }
            sum -= *earlier;
            allowed_at = *sent_at + span;
        }
        allowed_at.saturating_sub(now)
    }
}
