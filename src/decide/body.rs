//! Decides whether the body of a response is complete.
//!
//! Load pattern: an endpoint ends all of its connections at once as it crashes, or breaks off single
//! responses while it goes on. A body that states its length or has chunks shows that by its
//! framing, unless whatever broke it off also ended the framing. A body that has neither ends with
//! its connection, and its last byte looks the same in both cases. Then only the content can tell,
//! and whether the endpoint still runs.
//!
//! It also decides when a body that is passed on as it arrives is cut off at its deadline. Load
//! pattern: an endpoint sends faster than its response is passed on, so that there is always more to
//! read and a timer beside the reads is never polled.

use std::time::Duration;

/// How long data that is ready is passed on after the deadline. It may have arrived before, while
/// this process did not run, and its caller is better served late than not at all.
const LATE_PERIOD: Duration = Duration::from_millis(100);

/// How a body is delimited (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Framing {
    /// By its length, which is stated or follows from the request or the status.
    Length,
    /// By its last chunk.
    Chunked,
    /// By the end of the connection.
    Close,
}

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum End {
    /// It is complete.
    Complete,
    /// Its framing ended inside an event.
    InsideEvent,
    /// The connection was closed before the first event, and there is no other framing.
    NoEvent,
    /// The connection was closed, there is no other framing, and the endpoint has crashed.
    Crashed,
    /// The connection was closed before the end of the framing.
    Closed,
    /// The connection was reset.
    Reset,
    /// A part of it is longer than allowed.
    TooLong,
    /// All responses together would take too much memory.
    NoRoom,
    /// Its time ran out.
    Timeout,
    /// It failed for another reason.
    Failed,
}

/// What a body consists of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Content {
    /// Bytes that mean nothing here.
    Opaque,
    /// A stream of events.
    Events {
        /// Number of complete events.
        complete: u64,
        /// Whether all bytes belong to them.
        between: bool,
    },
}

/// What the end of the framing says about a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It ended in this way.
    Ended(End),
    /// It is complete unless the endpoint has crashed.
    Unconfirmed,
}

/// Judges a body whose framing has ended.
pub fn judge(framing: Framing, content: Content) -> Verdict {
    match (framing, content) {
        (_, Content::Events { between: false, .. }) => Verdict::Ended(End::InsideEvent),
        (Framing::Close, Content::Events { complete: 0, .. }) => Verdict::Ended(End::NoEvent),
        (Framing::Close, _) => Verdict::Unconfirmed,
        (Framing::Length | Framing::Chunked, _) => Verdict::Ended(End::Complete),
    }
}

/// The end of the time in which a body is passed on.
#[derive(Debug, Clone)]
pub struct Cutoff {
    deadline: Duration,
    /// When data was first read after the deadline, on the boot clock; never before the deadline.
    late_since: Option<Duration>,
}

impl Cutoff {
    /// Returns the cutoff of a body with this deadline on the boot clock.
    pub fn new(deadline: Duration) -> Self {
        Cutoff { deadline, late_since: None }
    }

    /// Returns whether data that was ready at `now` is no longer passed on.
    pub fn is_due(&mut self, now: Duration) -> bool {
        if now < self.deadline {
            return false;
        }
        let late_since = *self.late_since.get_or_insert(now);
        now.saturating_sub(late_since) >= LATE_PERIOD
    }
}
