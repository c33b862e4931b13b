//! Finds endpoints that accept requests and answer none.
//!
//! Load pattern: the process of an endpoint stands still for seconds, while the kernel of its machine
//! goes on accepting connections and requests. It runs what it finds there when it goes on, also what
//! was given up long before. Without this module each daemon sends one caller's request after the
//! other there to find out whether it answers again: each is late or lost, and most are sent again,
//! so that the endpoint reads the repeats of any span of time at once.
//!
//! An endpoint is stalled once `MAX_UNANSWERED` requests were given up there without a byte from it
//! in between. It gets no requests until it has answered a probe, one at a time.

use std::time::Duration;

/// Requests that an endpoint may leave unanswered one after the other. A single one may have been
/// slow.
const MAX_UNANSWERED: u32 = 2;
/// Time limit for the answer to a probe, which waits for a slot as requests do.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between the end of a probe that failed and the next one.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Requests to one endpoint that it has left unanswered.
#[derive(Debug, Clone, Copy, Default)]
pub struct Silence {
    /// Requests given up since the last byte from the endpoint.
    unanswered: u32,
}

impl Silence {
    /// Records that a request sent at `sent_at` was given up; `last_activity` is when the endpoint
    /// last sent a byte. Returns whether it is stalled from now on.
    pub fn on_given_up(&mut self, sent_at: Duration, last_activity: Duration) -> bool {
        if last_activity > sent_at {
            return false;
        }
        self.unanswered += 1;
        self.unanswered == MAX_UNANSWERED
    }

    /// Records that the endpoint has sent a byte, or that no connection to it can be opened, which
    /// `contact` handles. Returns whether it was stalled.
    pub fn end(&mut self) -> bool {
        let was_stalled = self.is_stalled();
        self.unanswered = 0;
        was_stalled
    }

    /// Returns whether the endpoint gets no requests.
    pub fn is_stalled(&self) -> bool {
        self.unanswered >= MAX_UNANSWERED
    }
}
