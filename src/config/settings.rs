//! Settings files of the processes.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::config::Error;
use crate::config::de;
use crate::config::node;
use crate::config::node::Faults;
use crate::table::DataCenterId;
use crate::table::RegionId;

/// Number in a settings file and its inclusive range.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// Path of the field in the file, such as `limits.body`.
    pub path: &'static str,
    /// Value found in the file.
    pub value: u64,
    /// Lowest allowed value.
    pub low: u64,
    /// Highest allowed value.
    pub high: u64,
}

/// Reads the settings file at `path`, or returns all of its faults.
pub fn load<T: DeserializeOwned>(path: &Path, bounds: fn(&T) -> Vec<Bound>) -> Result<T, Error> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path);
    let text = text.map_err(|err| Error::single(&file, None, format!("cannot be read: {err}")))?;
    parse(&file, &text, bounds)
}

/// Parses the text of a settings file, or returns all of its faults.
pub fn parse<T: DeserializeOwned>(
    file: &str,
    text: &str,
    bounds: fn(&T) -> Vec<Bound>,
) -> Result<T, Error> {
    let root = node::parse(file, text)?;
    let value: T = de::read(file, root.clone())?;
    let mut faults = Faults::new(file);
    for Bound { path, value, low, high } in bounds(&value) {
        if !(low..=high).contains(&value) {
            faults.add(
                root.line_of(path),
                format!("{path} is {value}; it must be from {low} to {high}"),
            );
        }
    }
    if faults.list.is_empty() { Ok(value) } else { Err(faults.into()) }
}

/// Location of a process and addresses of its partners; common to all processes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Environment {
    /// Region of this instance.
    pub region: RegionId,
    /// Data center of this instance.
    pub data_center: DataCenterId,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Peer addresses of initially known entries; the platform's instance list adds others.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// UDP address of a StatsD server; if absent, no counters are sent.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// Settings of `poplarmux-entry`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Location of the process and addresses of its partners.
    pub place: Environment,
    /// Listen address for callers, as a numeric IP address and port.
    pub listen: SocketAddr,
    /// Listen address for peers, as a numeric IP address and port.
    pub peer: SocketAddr,
    /// How long callers may cache a response of `/v1/entries`, in milliseconds; 1,000 to 300,000.
    #[serde(default = "default_locate_ttl_ms")]
    pub locate_ttl_ms: u64,
    /// Limits on connections, requests and calls.
    #[serde(default)]
    pub limits: Limits,
}

impl Entry {
    /// Returns the numbers that have a range.
    pub fn bounds(&self) -> Vec<Bound> {
        let bound = |path, value, low, high| Bound { path, value, low, high };
        let limits = &self.limits;
        let size = |value: usize| value as u64;
        vec![
            bound("locate_ttl_ms", self.locate_ttl_ms, 1_000, 300_000),
            bound("limits.body", size(limits.body), 1 << 10, 64 << 20),
            bound("limits.bodies", size(limits.bodies), 1 << 20, 4 << 30),
            bound("limits.answer", size(limits.answer), 1 << 10, 64 << 20),
            bound("limits.answers", size(limits.answers), 1 << 20, 4 << 30),
            bound("limits.headers", size(limits.headers), 8, 128),
            bound("limits.connections", size(limits.connections), 1, 65_536),
            bound("limits.idle_ms", limits.idle_ms, 1_000, 600_000),
            bound("limits.body_time_ms", limits.body_time_ms, 100, 600_000),
            bound("limits.connect_ms", limits.connect_ms, 10, 10_000),
            bound("limits.first_byte_ms", limits.first_byte_ms, 100, 600_000),
            bound("limits.part_gap_ms", limits.part_gap_ms, 100, 60_000),
            bound("limits.plain_ms", limits.plain_ms, 100, 600_000),
        ]
    }
}

fn default_locate_ttl_ms() -> u64 {
    5_000
}

/// Limits of an entry. The ranges are checked when the file is read.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body in bytes; 1 KiB to 64 MiB.
    pub body: usize,
    /// Maximum size of all request bodies held at once in bytes; 1 MiB to 4 GiB. A request that is
    /// alone may hold more.
    pub bodies: usize,
    /// Maximum size of a plain service's response in bytes; 1 KiB to 64 MiB.
    pub answer: usize,
    /// Maximum size of all responses of endpoints held at once in bytes; 1 MiB to 4 GiB. A response
    /// that is alone may hold more.
    pub answers: usize,
    /// Maximum number of header fields of a request; 8 to 128.
    pub headers: usize,
    /// Maximum number of open connections; 1 to 65,536.
    pub connections: usize,
    /// Idle timeout of a connection, in milliseconds; 1,000 to 600,000.
    pub idle_ms: u64,
    /// Timeout for receiving a request body, in milliseconds; 100 to 600,000.
    pub body_time_ms: u64,
    /// Timeout for connecting to an endpoint or peer, in milliseconds; 10 to 10,000.
    pub connect_ms: u64,
    /// Timeout for an endpoint's first token, in milliseconds; 100 to 600,000.
    pub first_byte_ms: u64,
    /// Longest pause between two tokens before the attempt is abandoned, in milliseconds; 100 to
    /// 60,000.
    pub part_gap_ms: u64,
    /// Timeout of a call to a plain service, in milliseconds; 100 to 600,000.
    pub plain_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body: 4 << 20,
            bodies: 64 << 20,
            answer: 4 << 20,
            answers: 64 << 20,
            headers: 64,
            connections: 4096,
            idle_ms: 60_000,
            body_time_ms: 30_000,
            connect_ms: 500,
            first_byte_ms: 30_000,
            part_gap_ms: 3_000,
            plain_ms: 30_000,
        }
    }
}

impl Limits {
    /// Returns `idle_ms` as a duration.
    pub fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }

    /// Returns `body_time_ms` as a duration.
    pub fn body_time(&self) -> Duration {
        Duration::from_millis(self.body_time_ms)
    }

    /// Returns `connect_ms` as a duration.
    pub fn connect(&self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }

    /// Returns `first_byte_ms` as a duration.
    pub fn first_byte(&self) -> Duration {
        Duration::from_millis(self.first_byte_ms)
    }

    /// Returns `part_gap_ms` as a duration.
    pub fn part_gap(&self) -> Duration {
        Duration::from_millis(self.part_gap_ms)
    }

    /// Returns `plain_ms` as a duration.
    pub fn plain(&self) -> Duration {
        Duration::from_millis(self.plain_ms)
    }
}

/// Settings of `poplarmux-placer`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placer {
    /// Location of the process and addresses of its partners.
    pub place: Environment,
    /// Listen address for peers, as a numeric IP address and port.
    pub peer: SocketAddr,
    /// Duration of the lease after each renewal, in milliseconds; 500 to 600,000.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Interval between two placement rounds, in milliseconds; 10 to a fifth of the lease.
    #[serde(default = "default_tick_ms")]
    pub tick_ms: u64,
    /// Interval between two load reports of an idle endpoint, in milliseconds; 10 to 600,000.
    #[serde(default = "default_survey_ms")]
    pub survey_ms: u64,
    /// Interval between two reads of the configuration, the instance list and all ledgers, in
    /// milliseconds; 10 to 600,000.
    #[serde(default = "default_refresh_ms")]
    pub refresh_ms: u64,
    /// Interval after which an order without effect is resent, in milliseconds; 100 to 60,000.
    #[serde(default = "default_resend_ms")]
    pub resend_ms: u64,
}

impl Placer {
    /// Returns the numbers that have a range.
    pub fn bounds(&self) -> Vec<Bound> {
        let bound = |path, value, low, high| Bound { path, value, low, high };
        vec![
            bound("lease_ms", self.lease_ms, 500, 600_000),
            // The lease is checked once per round and must be renewed before two thirds of it have
            // elapsed.
            bound("tick_ms", self.tick_ms, 10, (self.lease_ms / 5).clamp(10, 60_000)),
            bound("survey_ms", self.survey_ms, 10, 600_000),
            bound("refresh_ms", self.refresh_ms, 10, 600_000),
            bound("resend_ms", self.resend_ms, 100, 60_000),
        ]
    }
}

fn default_lease_ms() -> u64 {
    10_000
}

fn default_tick_ms() -> u64 {
    500
}

fn default_survey_ms() -> u64 {
    5_000
}

fn default_refresh_ms() -> u64 {
    2_000
}

fn default_resend_ms() -> u64 {
    3_000
}
