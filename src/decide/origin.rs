//! Remembers where streams began: at which service, and at which version of its software.
//!
//! What two versions write does not fit together, so an interrupted stream goes on only at the
//! version that began it. Its caller names the attempt that brought its first event, and may take
//! it up at any daemon.
//!
//! Load pattern: thousands of streams begin each second, few are interrupted. Those are taken up
//! within seconds and in bursts, most often as the daemon that served them has died. That daemon
//! has told `REPLICAS` others, selected by the stream's id, before its caller could hold an event.
//! A daemon where the stream is taken up asks `CANDIDATES` daemons, selected in the same way, or all
//! others in a small fleet: daemons that have joined or left meanwhile shift the order by a few
//! places. Without a leader or a common state, a stream whose origin no answer states is not
//! continued: a guess would join two versions, a refusal lets the caller start again.
//!
//! Origins are kept until their callers have given up, and lost with the processes that know them.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::decide::rendezvous;
use crate::table::ServiceId;
use crate::table::SoftwareVersion;
use crate::table::StreamId;
use crate::table::instance::Node;

/// Other daemons that are told where a stream began.
pub const REPLICAS: usize = 2;
/// Daemons that are asked where a stream began.
pub const CANDIDATES: usize = 4;
/// Up to this many other daemons, all are asked.
pub const MAX_ALL_ASKED: usize = 8;
/// Time for which a version that no longer serves may have streams that are taken up.
pub const MAX_STREAM_AGE: Duration = Duration::from_secs(30);
/// Upper bound of the time for which an origin is kept.
const MAX_RETENTION: Duration = Duration::from_secs(600);
/// Origins that one daemon keeps at most; beyond, those are dropped that expire first.
const MAX_ROWS: usize = 65_536;

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The service that its route selected.
    pub service: ServiceId,
    /// Version of the software of the endpoint that sent its first event.
    pub software: SoftwareVersion,
}

/// What a daemon knows of one stream.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Row {
    /// None if different origins were stated.
    origin: Option<Origin>,
    expires_at: Duration,
}

/// The origins that a daemon knows.
#[derive(Debug, Default)]
pub struct Table {
    rows: HashMap<StreamId, Row>,
    /// All rows in the order in which they expire.
    expiry: BTreeSet<(Duration, StreamId)>,
}

impl Table {
    /// Records where a stream began, for the `remaining` time in which it may be taken up. A stream
    /// of which different origins are stated has none from then on.
    pub fn insert(&mut self, now: Duration, id: StreamId, origin: &Origin, remaining: Duration) {
        self.remove_expired(now);
        let mut row =
            Row { origin: Some(origin.clone()), expires_at: now + remaining.min(MAX_RETENTION) };
        if let Some(known) = self.rows.get(&id) {
            self.expiry.remove(&(known.expires_at, id));
            row.expires_at = row.expires_at.max(known.expires_at);
            if known.origin != row.origin {
                row.origin = None;
            }
        }
        self.expiry.insert((row.expires_at, id));
        self.rows.insert(id, row);
        if self.rows.len() > MAX_ROWS
            && let Some((_, first)) = self.expiry.pop_first()
        {
            self.rows.remove(&first);
        }
    }

    /// Returns where a stream began, and for how long it may still be taken up; none if that is not
    /// known for certain.
    pub fn get(&self, now: Duration, id: StreamId) -> Option<(&Origin, Duration)> {
        let row = self.rows.get(&id).filter(|row| now < row.expires_at)?;
        Some((row.origin.as_ref()?, row.expires_at - now))
    }

    /// Returns all known origins, and for how long their streams may still be taken up.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = (StreamId, &Origin, Duration)> {
        let ids = self.rows.keys().copied();
        ids.filter_map(move |id| self.get(now, id).map(|(origin, left)| (id, origin, left)))
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn remove_expired(&mut self, now: Duration) {
        while let Some(&(expires_at, id)) = self.expiry.first()
            && expires_at <= now
        {
            self.expiry.pop_first();
            self.rows.remove(&id);
        }
    }
}

/// Returns the daemons that come first for a stream, at most `count`.
pub fn select<'a>(
    nodes: impl Iterator<Item = &'a Node>,
    id: StreamId,
    count: usize,
) -> Vec<&'a Node> {
    let members = nodes.map(|node| (node, node.name.as_str(), 1.0));
    rendezvous::rank(&["stream", &id.to_string()], members, count)
}
