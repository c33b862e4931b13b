//! Decides which entries read which endpoint's load report, and how reports reach other entries.
//!
//! Load pattern: hundreds of entries in front of hundreds of endpoints, each of which changes its
//! load many times a second. If every entry read every endpoint, calls would grow with the product
//! of the two (420 × 600 each second). Instead two entries of the endpoint's data center, chosen by
//! rendezvous hashing, read it and pass rows of a few bytes on by gossip.
//!
//! A reader may die or lose contact with its endpoint. For each `TAKEOVER_INTERVAL` without a
//! report, one more entry reads the endpoint, in the order of the hash, up to `MAX_READERS`: a dead
//! reader is replaced within seconds, and a dead endpoint never receives calls from every entry.

use std::collections::BTreeMap;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3;

use crate::decide::member;
use crate::edge::endpoint::Report;
use crate::edge::platform::Instance;
use crate::table::EndpointId;
use crate::table::EntryId;
use crate::table::Incarnation;

/// Entries that read one endpoint; with two, one may fail unnoticed for a while.
pub const READERS_PER_ENDPOINT: usize = 2;
/// Most entries that read an unresponsive endpoint.
pub const MAX_READERS: usize = 8;
/// Time without a report after which one more entry reads an endpoint: four missed reads of 0.5 s.
pub const TAKEOVER_INTERVAL: Duration = Duration::from_secs(2);
/// How long after its arrival a row is passed on: three gossip rounds, within which its first
/// sender alone has reached (1 + fan-out)^3 = 27 entries.
pub const RELAY_WINDOW: Duration = Duration::from_millis(1500);
/// Most rows in one message; limits its load part to about 0.5 KB. Responses of endpoints carry
/// their load as well, so a delay in gossip only matters for endpoints without requests of this
/// entry.
pub const MAX_MESSAGE_ROWS: usize = 20;

/// The load of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's incarnation.
    pub incarnation: Incarnation,
    /// The sequence number of the report.
    pub sequence: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Whether the endpoint accepts no new requests.
    pub draining: bool,
    /// Hash of the resident models and adapters; when it changes, the complete report has to be
    /// fetched.
    pub residents_hash: u32,
}

impl Row {
    fn new(endpoint: EndpointId, report: &Report) -> Self {
        Row {
            endpoint,
            incarnation: report.incarnation,
            sequence: report.sequence,
            running: report.running,
            waiting: report.waiting,
            draining: report.draining,
            residents_hash: hash_residents(report),
        }
    }

    fn report_order(&self) -> (Incarnation, u64) {
        (self.incarnation, self.sequence)
    }
}

fn hash_residents(report: &Report) -> u32 {
    let bytes = serde_json::to_vec(&report.resident).unwrap_or_default();
    xxh3::xxh3_64(&bytes) as u32
}

/// Encodes rows as text for a message.
pub fn pack(rows: &[Row]) -> String {
    let bytes = postcard::to_stdvec(rows).unwrap_or_default();
    STANDARD_NO_PAD.encode(bytes)
}

/// Decodes rows from a message's text; returns none if the text is malformed.
pub fn unpack(text: &str) -> Vec<Row> {
    let bytes = STANDARD_NO_PAD.decode(text).unwrap_or_default();
    postcard::from_bytes(&bytes).unwrap_or_default()
}

#[derive(Debug, Clone)]
struct Seen {
    row: Row,
    received_at: Duration,
}

/// The known loads of all endpoints.
#[derive(Debug, Clone, Default)]
pub struct Table {
    instances: BTreeMap<EndpointId, (Instance, Duration)>,
    rows: BTreeMap<EndpointId, Seen>,
    /// The last complete report of each endpoint; its `resident` list may be older than the row's
    /// hash.
    reports: BTreeMap<EndpointId, Report>,
}

/// The changes that a peer's rows caused.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Newer loads of endpoints whose residents are known.
    pub updated: Vec<(EndpointId, Report)>,
    /// Endpoints whose complete report has to be fetched from the sender.
    pub to_fetch: Vec<EndpointId>,
}

impl Table {
    /// Replaces the list of instances and drops the rows of endpoints that are no longer in it.
    pub fn set_instances(&mut self, now: Duration, list: &[Instance]) {
        let mut next = BTreeMap::new();
        for instance in list {
            let listed_at =
                self.instances.get(&instance.address).map_or(now, |(_, listed_at)| *listed_at);
            next.insert(instance.address, (instance.clone(), listed_at));
        }
        self.rows.retain(|endpoint, _| next.contains_key(endpoint));
        self.reports.retain(|endpoint, _| next.contains_key(endpoint));
        self.instances = next;
    }

    /// Returns the instances of the last list.
    pub fn instances(&self) -> Vec<Instance> {
        self.instances.values().map(|(instance, _)| instance.clone()).collect()
    }

    /// Returns the endpoints that `me` has to read now.
    pub fn endpoints_to_read(
        &self,
        now: Duration,
        me: EntryId,
        live: &[member::Row],
    ) -> Vec<EndpointId> {
        let rows = self.instances.iter();
        let selected = rows.filter(|(endpoint, (instance, listed_at))| {
            let last_report_at =
                self.rows.get(endpoint).map_or(*listed_at, |seen| seen.received_at);
            let silence = now.saturating_sub(last_report_at);
            let extra = (silence.as_millis() / TAKEOVER_INTERVAL.as_millis()) as usize;
            rank(instance, me, live) < (READERS_PER_ENDPOINT + extra).min(MAX_READERS)
        });
        selected.map(|(endpoint, _)| *endpoint).collect()
    }

    /// Records a report that this entry read itself; returns false if a newer one is known.
    pub fn record_report(&mut self, now: Duration, endpoint: EndpointId, report: &Report) -> bool {
        let row = Row::new(endpoint, report);
        if self.rows.get(&endpoint).is_some_and(|seen| seen.row.report_order() > row.report_order())
        {
            return false;
        }
        self.rows.insert(endpoint, Seen { row, received_at: now });
        self.reports.insert(endpoint, report.clone());
        true
    }

    /// Merges rows received from a peer.
    pub fn merge(&mut self, now: Duration, rows: Vec<Row>) -> Changes {
        let mut changes = Changes::default();
        for row in rows {
            let endpoint = row.endpoint;
            if self
                .rows
                .get(&endpoint)
                .is_some_and(|seen| seen.row.report_order() >= row.report_order())
            {
                continue;
            }
            if !self.instances.contains_key(&endpoint) {
                continue;
            }
            let known = self.reports.get_mut(&endpoint).filter(|report| {
                report.incarnation == row.incarnation
                    && hash_residents(report) == row.residents_hash
            });
            match known {
                Some(report) => {
                    report.sequence = row.sequence;
                    report.running = row.running;
                    report.waiting = row.waiting;
                    report.draining = row.draining;
                    changes.updated.push((endpoint, report.clone()));
                    self.rows.insert(endpoint, Seen { row, received_at: now });
                }
                None => changes.to_fetch.push(endpoint),
            }
        }
        changes
    }

    /// Returns the rows to pass on: the most recent ones, at most `MAX_MESSAGE_ROWS`.
    pub fn updates(&self, now: Duration) -> Vec<Row> {
        let recent =
            self.rows.values().filter(|seen| now.saturating_sub(seen.received_at) < RELAY_WINDOW);
        let mut recent = recent.collect::<Vec<_>>();
        recent.sort_by_key(|seen| std::cmp::Reverse(seen.received_at));
        recent.into_iter().take(MAX_MESSAGE_ROWS).map(|seen| seen.row.clone()).collect()
    }

    /// Returns the last complete report of an endpoint.
    pub fn report(&self, endpoint: &EndpointId) -> Option<&Report> {
        self.reports.get(endpoint)
    }
}

/// Returns the position of an entry among those that may read an endpoint: entries of its data
/// center come first, then those of its region, then all others, each group in the order of the
/// hash.
///
/// Only the group of `me` is hashed, and only if fewer than `MAX_READERS` entries are nearer:
/// hashing every entry for every endpoint took a fifth of a core at 420 entries and 600 endpoints.
fn rank(instance: &Instance, me: EntryId, live: &[member::Row]) -> usize {
    let distance = |row: &member::Row| {
        if row.data_center == instance.data_center {
            0
        } else if row.region == instance.region {
            1
        } else {
            2
        }
    };
    let Some(own_distance) = live.iter().find(|row| row.peer == me).map(distance) else {
        return usize::MAX;
    };
    let nearer = live.iter().filter(|row| distance(row) < own_distance).count();
    if nearer >= MAX_READERS {
        return nearer;
    }
    let task = instance.address.to_string();
    let key = |peer: EntryId| (weight(&task, peer), peer);
    let own_key = key(me);
    let group = live.iter().filter(|row| distance(row) == own_distance);
    nearer + group.filter(|row| key(row.peer) < own_key).count()
}

/// Returns the weight of an entry for a task, by rendezvous hashing: all processes that know the
/// same entries agree on the one with the highest weight, and when an entry goes only its own tasks
/// move.
pub fn weight(task: &str, entry: EntryId) -> u64 {
    xxh3::xxh3_64(format!("{task}/{entry}").as_bytes())
}
