//! Decides whether the body of a response is complete.
//!
//! Load pattern: an endpoint ends all of its connections at once as it crashes, or breaks off single
//! responses while it goes on. A body that states its length or has chunks shows that by its
//! framing, unless whatever broke it off also ended the framing. A body that has neither ends with
//! its connection, and its last byte looks the same in both cases. Then only the content can tell,
//! and whether the endpoint still runs.

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
