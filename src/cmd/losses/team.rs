//! Outcomes of requests by team.

use std::collections::BTreeMap;
use std::fmt;

use super::Cause;

/// Who sent a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Sender {
    /// A team, by name.
    Team(String),
    /// A caller without a team.
    Anonymous,
    /// Not logged, as by an earlier release.
    #[default]
    Unknown,
}

impl Sender {
    /// Returns whether it is a team.
    pub fn is_team(&self) -> bool {
        matches!(self, Sender::Team(_))
    }
}

impl From<Option<String>> for Sender {
    fn from(team: Option<String>) -> Self {
        team.map_or(Sender::Anonymous, Sender::Team)
    }
}

impl fmt::Display for Sender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Sender::Team(name) => f.write_str(name),
            Sender::Anonymous => f.write_str("(no team)"),
            Sender::Unknown => f.write_str("(not logged)"),
        }
    }
}

/// Requests of a team, by how they ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// All requests, with those of which no end is logged.
    pub received: u64,
    /// Served in time.
    pub in_time: u64,
    /// Served with a late first byte or a pause that was too long.
    pub late: u64,
    /// Ended by an error after they may have run.
    pub failed: u64,
    /// Ended by their callers.
    pub disconnected: u64,
    /// Refused without having run, by reason.
    pub refused: BTreeMap<String, u64>,
}

impl Tally {
    /// Adds a request that ended with this status of the daemon's own answer, if it gave one.
    pub(super) fn add(&mut self, cause: &Cause, status: u16) {
        self.received += 1;
        match cause {
            Cause::InTime => self.in_time += 1,
            Cause::LateFirstByte | Cause::LongPause => self.late += 1,
            Cause::Refused(reason) if is_refusal(status) => {
                *self.refused.entry(reason.clone()).or_default() += 1;
            }
            Cause::Refused(_) | Cause::Cut(_) | Cause::EndpointFailure => self.failed += 1,
            Cause::Disconnected => self.disconnected += 1,
        }
    }
}

/// Returns whether a status of the daemon's own answer promises that the request has not run.
pub(super) fn is_refusal(status: u16) -> bool {
    status < 500 || status == 503
}
