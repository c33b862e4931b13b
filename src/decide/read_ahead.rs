//! Decides how far the streams of slow callers are read ahead, and whose stream is ended when they
//! hold too much.
//!
//! Load pattern: hundreds of callers read a kilobyte per second while engines send at full speed.
//! An engine cuts off an answer that stays unread for some seconds, so the daemon reads on and keeps
//! what its callers have not taken, in a memory that other requests need as well.
//!
//! Order in which streams are ended while all of them hold more than allowed: by the product of the
//! bytes held and the time since the caller fell behind, largest first; of equal ones the older
//! request first. A stream that alone holds more than allowed is not read further, and is ended
//! when that has lasted for `MAX_FULL_TIME`: the engine would cut it off, which is not told from a
//! crash of the engine.
//!
//! Requests are kept until they are answered. Load pattern: dozens of callers send bodies of megabytes
//! at once. What exceeds the bound is refused before it has run, as another daemon may have room.
//!
//! Responses that are no streams are kept until they are complete. Load pattern: an endpoint sends
//! without end on all of its connections. The largest and oldest are given up first, so that short
//! ones of other endpoints are not.

use std::cmp::Reverse;
use std::time::Duration;

use crate::decide::intake;
use crate::table::RequestId;

/// Time for which a caller takes nothing until its stream is read ahead. Engines wait for seconds.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(200);
/// Time for which a stream may hold as much as allowed while its engine has more to send. Less than
/// the seconds after which engines cut off an unread answer.
pub const MAX_FULL_TIME: Duration = Duration::from_secs(1);
/// Memory of the process if the settings do not state it: half of that of the largest machines.
const DEFAULT_MEMORY_BYTES: usize = 256 << 20;
/// Share of the memory that bodies may hold, as a divisor. With tables and connections at a
/// thousand streams a daemon holds up to 77 MB (docs/MEASUREMENTS.md), of 120 on the smallest.
const TOTAL_DIVISOR: usize = 4;
/// Share of that which one stream may hold, as a divisor: eight callers that stop reading do not
/// affect the others.
const STREAM_DIVISOR: usize = 8;

/// Share of that which bodies of requests may hold, as a divisor: many large ones at once must not
/// end the streams of slow callers.
const REQUESTS_DIVISOR: usize = 2;

/// Share of that which responses may hold that are kept until they are complete, as a divisor: an
/// endpoint whose responses never end must not end the streams of slow callers either.
const RESPONSES_DIVISOR: usize = 4;

/// A kind of HTTP message whose body is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    /// A caller's request.
    Request,
    /// An endpoint's response.
    Response,
}

/// Bounds on what a daemon holds for its callers, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// For one stream.
    pub stream: usize,
    /// For all bodies, of requests and plain answers too.
    pub total: usize,
}

impl Bounds {
    /// Returns the bounds of a process that may use this many bytes, if it is known.
    pub fn from_memory(memory: Option<usize>) -> Self {
        let total = memory.unwrap_or(DEFAULT_MEMORY_BYTES) / TOTAL_DIVISOR;
        Bounds { stream: total / STREAM_DIVISOR, total }
    }

    /// Returns whether a part of a message may be kept, if that message keeps `own` bytes and all of its
    /// kind together keep `all`. A message that is alone may keep more than the bound.
    pub fn accepts(self, kind: Message, part: usize, own: usize, all: usize) -> bool {
        let divisor = match kind {
            Message::Request => REQUESTS_DIVISOR,
            Message::Response => RESPONSES_DIVISOR,
        };
        intake::fits(part, own, all, self.total / divisor)
    }
}

/// A stream whose caller is behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding {
    /// Its request.
    pub number: RequestId,
    /// What it holds, in bytes.
    pub bytes: usize,
    /// When its caller fell behind.
    pub behind_since: Duration,
    /// Since when it is not read further, as it holds as much as allowed; none while it is.
    pub full_since: Option<Duration>,
}

/// Why a stream is ended before it is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// It holds as much as one stream may.
    StreamFull,
    /// All bodies together hold more than allowed.
    TotalFull,
}

/// Returns the streams to end now, in this order. `other_bytes` are held by what cannot be ended.
pub fn select_ended(
    now: Duration,
    holdings: &[Holding],
    other_bytes: usize,
    bounds: Bounds,
) -> Vec<(RequestId, Cause)> {
    let is_stuck = |row: &Holding| {
        row.full_since.is_some_and(|since| now.saturating_sub(since) >= MAX_FULL_TIME)
    };
    let (stuck, mut rest): (Vec<&Holding>, Vec<&Holding>) =
        holdings.iter().filter(|row| row.bytes > 0).partition(|row| is_stuck(row));
    let mut ended: Vec<_> = stuck.iter().map(|row| (row.number, Cause::StreamFull)).collect();
    let mut total = other_bytes + rest.iter().map(|row| row.bytes).sum::<usize>();
    if total > bounds.total {
        rest.sort_by_key(|row| {
            let behind = now.saturating_sub(row.behind_since).as_millis().max(1);
            (Reverse(row.bytes as u128 * behind), row.number)
        });
        for row in rest {
            if total <= bounds.total {
                break;
            }
            total -= row.bytes;
            ended.push((row.number, Cause::TotalFull));
        }
    }
    ended
}
