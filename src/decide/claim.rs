//! Claims, which keep a call that must not be repeated from running twice.
//!
//! Each key belongs to one shard by its hash. A shard is one object of the platform, the head,
//! which every claim changes by conditional update, and a list of immutable pages that the head
//! references and that hold older rows. A key is claimed before its call is sent, and only the
//! claimant may send it. Afterwards the outcome and the answer are recorded in the key's row.
//!
//! Load pattern: hundreds of bookings a second from all entries, repeats among them. Without group
//! commit each booking costs two updates, which uses up the several hundred updates a second that
//! the platform allows. Without pages the head grows with all remembered rows up to the platform's
//! size limit for a value, and each update carries all of it.
//!
//! Guarantees:
//! - A key that is a UUID of version 7 (RFC 9562) carries the time it was made. Once it is older
//!   than the retention it is refused as expired permanently, and its row is kept until then. Rows
//!   are deleted only in the same update that raises the shard's floor, which refuses every key
//!   made up to that time. Wrong clocks can therefore refuse a key too early but never run it
//!   again.
//! - Any other key is kept permanently. A shard that has reached its maximum number of pages
//!   refuses new keys.
//! - A row whose claimant is gone stays claimed: the outcome is unknown, and the key never runs.

mod commit;
pub mod coordinator;
pub mod interface;
pub mod page;
pub mod shard;
mod writer;

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_128;

pub use crate::decide::claim::shard::Shard;
use crate::table::AttemptId;
use crate::table::EntryId;
use crate::table::Incarnation;
use crate::table::ServiceId;

/// Kind of the platform objects that hold claims.
pub const OBJECT_KIND: &str = "claims";

/// Name of the object that holds the layout.
pub const LAYOUT_OBJECT: &str = "layout";

/// Maximum length of a key.
pub const MAX_KEY_BYTES: usize = 200;

/// Maximum size of a recorded answer, as JSON; for a larger one only a digest is kept.
pub const MAX_ANSWER_BYTES: usize = 4096;

/// Limit on how far the time in a key may be ahead of this entry's clock.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);

/// The two clocks that a decision uses.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Monotonic time since the process started.
    pub now: Duration,
    /// Time since the Unix epoch, used only for retention; may be wrong.
    pub wall: Duration,
}

/// Partitioning of the store; written once and never changed.
///
/// Two processes with different shard counts would look for one key in two objects and run it
/// twice. The count is therefore read from the store, and each shard repeats it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    /// Number of shards; at least 1.
    pub shards: u32,
    /// Retention of keys, in milliseconds.
    pub retention_ms: u64,
}

impl Default for Layout {
    /// Four shards, each with at most 25 updates a second of at most 64 operations, carry 3,200
    /// bookings a second and cost less than one update per booking above about 100 bookings a
    /// second. A retention of one day lets a caller repeat a call after an outage of one night.
    fn default() -> Self {
        Layout { shards: 4, retention_ms: 24 * 60 * 60 * 1000 }
    }
}

impl Layout {
    /// Returns the shard of a key.
    pub fn shard(&self, key: &Key) -> u32 {
        (xxh3_64(key.row_name().as_bytes()) % u64::from(self.shards.max(1))) as u32
    }
}

/// Reason why a key is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The key is empty.
    Empty,
    /// The key is longer than `MAX_KEY_BYTES`; holds its length in bytes.
    TooLong(usize),
    /// The key contains a character that is not visible ASCII.
    Character,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Empty => write!(f, "the idempotency key is empty"),
            Error::TooLong(len) => {
                write!(f, "the idempotency key has {len} bytes, more than {MAX_KEY_BYTES}")
            }
            Error::Character => {
                write!(f, "the idempotency key contains a character that is not visible ASCII")
            }
        }
    }
}

impl std::error::Error for Error {}

/// Idempotency key of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    service: ServiceId,
    /// Visible ASCII, 1 to `MAX_KEY_BYTES` bytes.
    name: String,
}

impl TryFrom<(&str, &str)> for Key {
    type Error = Error;

    fn try_from((service, name): (&str, &str)) -> Result<Self, Error> {
        if name.is_empty() {
            return Err(Error::Empty);
        }
        if name.len() > MAX_KEY_BYTES {
            return Err(Error::TooLong(name.len()));
        }
        if !name.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(Error::Character);
        }
        Ok(Key { service: service.to_string(), name: name.to_string() })
    }
}

impl Key {
    /// Returns the name of the key's row; the part after the last space is the caller's key.
    pub fn row_name(&self) -> String {
        format!("{} {}", self.service, self.name)
    }

    /// Returns when the key was made, in milliseconds since the epoch, if it carries a time.
    pub fn issued_at(&self) -> Option<u64> {
        issued(&self.name)
    }
}

/// Returns when the key of a row was made, in milliseconds since the epoch, if it carries a time.
pub fn row_issued_at(row_name: &str) -> Option<u64> {
    row_name.rsplit(' ').next().and_then(issued)
}

/// Returns the time in a UUID of version 7, in milliseconds since the epoch.
fn issued(name: &str) -> Option<u64> {
    let bytes = name.as_bytes();
    let hyphens = [8, 13, 18, 23];
    let well_formed = bytes.len() == 36
        && bytes.iter().enumerate().all(|(index, byte)| match hyphens.contains(&index) {
            true => *byte == b'-',
            false => byte.is_ascii_hexdigit(),
        });
    if !well_formed
        || bytes[14] != b'7'
        || !matches!(bytes[19], b'8' | b'9' | b'a' | b'b' | b'A' | b'B')
    {
        return None;
    }
    u64::from_str_radix(&format!("{}{}", &name[..8], &name[9..13]), 16).ok()
}

/// Returns a hash of a call's content; a repeat of the key with other content is refused.
///
/// The hash includes the caller, so that no caller receives the recorded answer of another.
pub fn digest(caller: &str, method: &str, path: &str, body: &[u8]) -> String {
    let mut bytes = Vec::with_capacity(body.len() + 64);
    for part in [caller.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part);
    }
    format!("{:032x}", xxh3_128(&bytes))
}

/// One incarnation of a process that makes claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimant {
    /// Address at which the process answers `claim.fate`.
    pub entry: EntryId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Recorded answer of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Names and values of the headers.
    pub headers: Vec<(String, String)>,
    /// Body, as text.
    pub body: String,
}

/// Recorded outcome of a call that was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// The call ran and gave this answer.
    #[serde(rename = "whole")]
    Complete(Answer),
    /// The call ran; its answer was too large or not text, so only a digest is kept.
    Digest {
        /// HTTP status.
        status: u16,
        /// Length of the body.
        bytes: usize,
        /// Hash of the body.
        digest: String,
    },
    /// The call may have run.
    Unknown,
}

impl Record {
    /// Records an answer, complete if it is small enough and text, else as a digest.
    pub fn from_answer(status: u16, headers: Vec<(String, String)>, body: &[u8]) -> Self {
        let complete = String::from_utf8(body.to_vec()).ok().and_then(|body| {
            let answer = Answer { status, headers, body };
            let len = serde_json::to_string(&answer).map_or(usize::MAX, |text| text.len());
            (len <= MAX_ANSWER_BYTES).then_some(answer)
        });
        match complete {
            Some(answer) => Record::Complete(answer),
            None => {
                let digest = format!("{:032x}", xxh3_128(body));
                Record::Digest { status, bytes: body.len(), digest }
            }
        }
    }
}

/// State of a claimed key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The call may be sent once, by this claimant only.
    Claimed(Claimant),
    /// The call was sent; holds its outcome.
    Done(Record),
    /// The call was not sent and never will be. Used only if the claim's row was moved to a page.
    Abandoned,
}

/// Stored row of a claimed key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Hash of the call's content.
    pub digest: String,
    /// Time of the claim, in milliseconds since the epoch.
    #[serde(rename = "at")]
    pub claimed_at: u64,
    /// Attempt that the state belongs to.
    pub attempt: AttemptId,
    /// State of the key.
    pub state: State,
}

/// Operation on a shard. Its attempt makes it idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Claims a key.
    Claim {
        /// Key to claim.
        key: Key,
        /// Hash of the call's content.
        digest: String,
        /// Process that may send the call once the claim is granted.
        claimant: Claimant,
        /// Identifier of this claim; never reused.
        attempt: AttemptId,
        /// Earlier attempt to replace, which its claimant has confirmed it will never send.
        #[serde(rename = "over")]
        replaces: Option<AttemptId>,
    },
    /// Records the outcome of a claimed call.
    Record {
        /// Claimed key.
        key: Key,
        /// Hash of the call's content.
        digest: String,
        /// Attempt that claimed the key.
        attempt: AttemptId,
        /// Outcome of the call.
        record: Record,
    },
    /// Withdraws a claim whose call did not run and never will.
    Abandon {
        /// Claimed key.
        key: Key,
        /// Attempt that claimed the key.
        attempt: AttemptId,
    },
}

impl Op {
    /// Returns the key that the operation changes.
    pub fn key(&self) -> &Key {
        match self {
            Op::Claim { key, .. } | Op::Record { key, .. } | Op::Abandon { key, .. } => key,
        }
    }

    /// Returns the attempt that the operation belongs to.
    pub fn attempt(&self) -> &AttemptId {
        match self {
            Op::Claim { attempt, .. }
            | Op::Record { attempt, .. }
            | Op::Abandon { attempt, .. } => attempt,
        }
    }
}

/// Result of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The claimant holds the key.
    Granted,
    /// The record or the withdrawal is in the store.
    Stored,
    /// The call was sent before, with this outcome.
    Repeat(Record),
    /// Another claim holds the key; names its claimant and attempt.
    Held(Claimant, AttemptId),
    /// The key was used before with other content.
    Conflict,
    /// The key is older than the retention.
    Expired,
    /// The time in the key is in the future.
    Early,
    /// The shard accepts no new key.
    Full,
    /// The store could not be changed.
    #[serde(rename = "down")]
    Unavailable {
        /// Wait before the next attempt.
        #[serde(rename = "after")]
        retry_after: Duration,
        /// Whether the operation may be applied nevertheless.
        #[serde(rename = "doubt")]
        uncertain: bool,
    },
}
