//! Keeps in the store what is refused as it crashes endpoints, so that this stays known while all
//! daemons start again.
//!
//! Load pattern: all daemons are killed at once while such requests go on to come. Without this
//! module endpoints crash again until the cause is known once more.
//!
//! Each daemon reads the object when it starts. The one that places models replaces it when more is
//! refused, and so does each that has decided on a part itself; all daemons learn of that from each
//! other.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol::Timer;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::quarantine;
use crate::daemon::store;
use crate::daemon::tally::Op;
use crate::decide::suspects::Message;
use crate::edge::dialect::Consistency;
use crate::edge::dialect::Kind;
use crate::edge::dialect::WriteResult;

/// Name of the object.
const OBJECT_NAME: &str = "refused";
/// Interval between checks whether more is refused than the object says.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What is refused, each for how much longer in milliseconds as this was written. Hashes and ids are
/// in hexadecimal, since numbers in JSON may be rounded.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    /// When it was written, in milliseconds since the Unix epoch.
    written_at: u64,
    /// Fingerprints of requests.
    requests: BTreeMap<String, u32>,
    /// Parts of prompts.
    parts: BTreeMap<String, u32>,
}

impl Record {
    /// Returns what a daemon refuses now.
    fn of(daemon: &Daemon) -> Self {
        let mut record = Record { written_at: clock::unix_millis(), ..Record::default() };
        for message in quarantine::refusals(daemon) {
            match message {
                Message::Refused(rows) => record.requests.extend(rows.into_iter().map(named)),
                Message::RefusedParts(rows) => record.parts.extend(rows.into_iter().map(named)),
                _ => {}
            }
        }
        record
    }

    /// Returns whether another record has all that is refused by this one.
    fn is_within(&self, other: &Record) -> bool {
        self.requests.keys().all(|name| other.requests.contains_key(name))
            && self.parts.keys().all(|name| other.parts.contains_key(name))
    }

    /// Returns the refusals that go on at a Unix time in milliseconds.
    fn messages(&self, unix_millis: u64) -> [Message; 2] {
        let elapsed = unix_millis.saturating_sub(self.written_at);
        let rows = |rows: &BTreeMap<String, u32>| {
            let left = |(name, millis): (&String, &u32)| {
                let id = u64::from_str_radix(name, 16).ok()?;
                let left = u64::from(*millis).checked_sub(elapsed)?;
                Some((id, u32::try_from(left).ok()?))
            };
            rows.iter().filter_map(left).collect()
        };
        [Message::Refused(rows(&self.requests)), Message::RefusedParts(rows(&self.parts))]
    }
}

fn named((id, millis): (u64, u32)) -> (String, u32) {
    (format!("{id:x}"), millis)
}

/// Reads what was refused before this daemon started, and writes what is refused from then on.
pub async fn follow(daemon: Rc<Daemon>) {
    let mut stored = loop {
        match read(&daemon).await {
            Ok(record) => break record,
            Err(_) => store::wait_for_retry(&daemon).await,
        }
    };
    quarantine::on_stored(&daemon, stored.messages(clock::unix_millis()));
    let mut era = daemon.store.era();
    loop {
        Timer::after(CHECK_INTERVAL).await;
        // The lease may be held by no daemon, as while all of them stop.
        let holds_lease = daemon.placer.borrow().holds_lease(clock::now());
        if !holds_lease && !quarantine::has_decided(&daemon) {
            continue;
        }
        if daemon.store.era() != era {
            // The store may have lost the last write.
            era = daemon.store.era();
            stored = Record::default();
        }
        let current = Record::of(&daemon);
        if current.is_within(&stored) {
            continue;
        }
        match write(&daemon, &current).await {
            Ok(true) => stored = current,
            // The object was not written, or this is the response to another call.
            Ok(false) | Err(_) => store::wait_for_retry(&daemon).await,
        }
    }
}

/// Reads the object; an empty record if there is none.
async fn read(daemon: &Daemon) -> Result<Record, store::Error> {
    let req = daemon.dialect.get(Kind::Refusals, OBJECT_NAME, Consistency::Current)?;
    let res = store::short_call(daemon, Kind::Refusals, Op::Get, req).await?;
    let object = daemon.dialect.parse_object(&res)?;
    let record = object.and_then(|object| serde_json::from_value(object.spec).ok());
    Ok(record.unwrap_or_default())
}

/// Replaces the object, or creates it. Returns whether that is done.
async fn write(daemon: &Daemon, record: &Record) -> Result<bool, store::Error> {
    let spec = serde_json::json!(record);
    let req = daemon.dialect.replace(Kind::Refusals, OBJECT_NAME, None, &spec)?;
    let res = store::short_call(daemon, Kind::Refusals, Op::Replace, req).await?;
    let mut result = daemon.dialect.parse_write(&res)?;
    if result == WriteResult::Missing {
        let req = daemon.dialect.create(Kind::Refusals, OBJECT_NAME, &spec)?;
        let res = store::short_call(daemon, Kind::Refusals, Op::Create, req).await?;
        result = daemon.dialect.parse_write(&res)?;
    }
    Ok(matches!(result, WriteResult::Done(object) if object.spec == spec))
}
