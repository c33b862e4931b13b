//! Interface between a coordinator and its process: claims, I/O, results and replies.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::decide::claim::Key;
use crate::decide::claim::Layout;
use crate::decide::claim::Op;
use crate::decide::claim::Record;
use crate::decide::claim::Verdict;
use crate::decide::claim::shard::Limits;
use crate::edge::platform;
use crate::edge::platform::Object;
use crate::edge::platform::Update;
use crate::edge::platform::Version;
use crate::table::AttemptId;
use crate::table::EntryId;
use crate::table::Incarnation;

/// Identifier of an I/O in progress.
pub type IoId = u64;
/// Identifier of a peer's call that is not answered yet.
pub type Ticket = u64;

/// Settings of a coordinator.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Layout that is written to an empty store.
    pub layout: Layout,
    /// Limits on the sizes of heads, pages and batches.
    pub limits: Limits,
    /// Minimum time between the starts of two updates of one shard, during which claims are
    /// collected. With 4 shards, 40 ms limit the updates to 100 a second, however many claims there
    /// are.
    pub update_interval: Duration,
    /// Maximum time that a record is held back to share an update with a claim.
    pub linger: Duration,
    /// Maximum number of operations queued for one shard.
    pub max_queue: usize,
    /// Maximum number of tries of one update, conflicts and lost answers included.
    pub max_tries: u32,
    /// Time for which an owner that did not answer is skipped.
    pub owner_backoff: Duration,
    /// Wait before the next attempt after the platform did not answer.
    pub retry_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            layout: Layout::default(),
            limits: Limits::default(),
            update_interval: Duration::from_millis(40),
            linger: Duration::from_millis(100),
            max_queue: 1024,
            max_tries: 12,
            owner_backoff: Duration::from_secs(5),
            retry_interval: Duration::from_millis(500),
        }
    }
}

/// Claim of a key for a call that is to be sent.
#[derive(Debug, Clone)]
pub struct Claim {
    /// Key of the call.
    pub key: Key,
    /// Hash of the call's content; see `claim::digest`.
    pub digest: String,
    /// Maximum wait for the result of the claim.
    pub timeout: Duration,
}

/// I/O to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Io {
    /// Reads an object.
    Get(String),
    /// Writes an object if it has this version; `None` means that it must not exist.
    Put(String, Option<Version>, Value),
    /// Deletes an object if it has this version.
    Delete(String, Version),
    /// Forwards operations to a peer for commit: `claim.commit`.
    Commit(EntryId, Vec<Op>),
    /// Asks a peer for the status of one of its own claims: `claim.fate`.
    Fate(EntryId, AttemptId),
}

/// Status of a claim as its claimant reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fate {
    /// Incarnation that answers; it has no record of claims of other incarnations.
    pub incarnation: Incarnation,
    /// Whether the call was sent or may still be sent.
    pub open: bool,
}

/// Result of an I/O.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// Result of `Io::Get`.
    Object(Result<Option<Object>, platform::Error>),
    /// Result of `Io::Put` and `Io::Delete`.
    Update(Result<Update, platform::Error>),
    /// Result of `Io::Commit`; `None` if no answer came.
    Commit(Option<Vec<Verdict>>),
    /// Result of `Io::Fate`; `None` if no answer came.
    Fate(Option<Fate>),
}

/// Reason why a call was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The platform cannot be reached or did not answer.
    Platform,
    /// Too many claims are queued.
    Busy,
    /// The key's shard accepts no new key.
    Full,
    /// The claim was not decided within its timeout.
    Late,
    /// The stored layout is not one that this release supports.
    Layout,
}

/// Result of a claim. All but `Granted` mean that this call was not sent and never will be.
/// `NotRun` says nothing about earlier calls with the same key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The call may be sent, once.
    Granted,
    /// An earlier call with this key was sent, with this outcome.
    Repeat(Record),
    /// An earlier call with this key is in progress; retry after this time.
    InFlight(Duration),
    /// An earlier call with this key may have run; its outcome will never be known.
    Unknown,
    /// The key was used for a call with other content.
    Conflict,
    /// The key is older than the retention.
    Expired,
    /// The time in the key is in the future.
    Early,
    /// The call was not run; retry with the same key after this time.
    NotRun(Cause, Duration),
}

/// Action for the process to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start this I/O and pass its result to `Coordinator::on_reply`.
    Start(IoId, Io),
    /// Answer the caller of this attempt.
    Admit(AttemptId, Admission),
    /// The outcome of this attempt is in the store.
    Stored(AttemptId),
    /// Answer a peer's `claim.commit`.
    Answer(Ticket, Vec<Verdict>),
}
