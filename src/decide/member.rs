//! Membership of the entries by gossip: which entries live, and which of them callers should use.
//!
//! Load pattern: hundreds of entries, a few of which are replaced each hour, some without notice.
//! Each entry sends what it has to a few others each second, newest first, so that a change reaches
//! all entries in a few rounds while the traffic of one entry does not grow with the fleet. Without
//! it, either every entry calls every other (the calls grow with the square of the fleet), or
//! callers are sent to entries that are gone for as long as the platform's list lags.
//!
//! A heartbeat takes a few bytes; a complete row is sent only while it is new. An entry that
//! receives a heartbeat for a row that it lacks requests the sender's rows.
//!
//! See `Pace` for the figures.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3;

use crate::edge::platform::Presence;
use crate::table::DataCenterId;
use crate::table::EntryId;
use crate::table::Incarnation;
use crate::table::RegionId;

/// Time for which an unresponsive entry is kept, so that delayed messages do not add it again.
pub const FORGET_TIMEOUT: Duration = Duration::from_secs(120);
/// Time after a change for which a row is sent in full. By then it has reached all entries, or they
/// request it.
const ROW_WINDOW: Duration = Duration::from_secs(3);
/// Maximum number of rows in one message, the sender's own included.
const MAX_ROWS: usize = 4;
/// Maximum number of heartbeats in one message: about 1 KB.
const MAX_HEARTBEATS: usize = 128;
/// Minimum interval between two requests for complete rows.
const ROWS_REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// Largest fleet that gossips at the faster pace.
const MAX_SMALL_FLEET: usize = 32;

/// Gossip interval and fan-out, and the time after which an entry counts as unresponsive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Time between two rounds.
    pub interval: Duration,
    /// Number of peers that each round sends to.
    pub fanout: usize,
    /// Time without a newer heartbeat after which callers are no longer sent to an entry.
    pub timeout: Duration,
}

impl Pace {
    /// Returns the pace for a fleet of this size.
    ///
    /// In a small fleet each entry sends to two others every half second: its heartbeats reach all
    /// within two seconds, and six leave room for lost rounds. In a large one each entry sends to
    /// one other a second, which keeps its traffic to a few KB a second; a heartbeat then takes up
    /// to about half a minute to reach all.
    pub fn for_fleet(fleet: usize) -> Self {
        let ms = Duration::from_millis;
        if fleet <= MAX_SMALL_FLEET {
            Pace { interval: ms(500), fanout: 2, timeout: ms(6_000) }
        } else {
            Pace { interval: ms(1_000), fanout: 1, timeout: ms(30_000) }
        }
    }
}

/// The state of an entry as exchanged between entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The address on which it answers its peers.
    pub peer: EntryId,
    /// The address on which it serves callers.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionId,
    /// Its data center.
    pub data_center: DataCenterId,
    /// The incarnation of its process; a row of a lower one is ignored.
    pub incarnation: Incarnation,
    /// Heartbeat counter. Only the entry itself increments it, each round within one incarnation.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Whether it is leaving. Within one incarnation it never returns to live.
    pub state: Presence,
}

/// A heartbeat of a row that the receiver is likely to have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Hash of the row's entry, incarnation and state.
    row: u32,
    heartbeat: u64,
}

/// A gossip message between entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's own row, then rows that changed recently.
    pub rows: Vec<Row>,
    /// Heartbeats of other entries: packed and base64-encoded.
    #[serde(rename = "beats")]
    pub heartbeats: String,
}

/// A row and when its heartbeat last increased.
#[derive(Debug, Clone)]
struct Member {
    row: Row,
    hash: u32,
    heartbeat_at: Duration,
    /// When the row was first received or last changed, heartbeats not counted.
    changed_at: Duration,
}

/// The entries known to this one.
#[derive(Debug, Clone)]
pub struct Table {
    me: Row,
    others: BTreeMap<EntryId, Member>,
    /// Addresses from settings, for the first contact.
    seeds: Vec<EntryId>,
    /// Addresses from the platform's list, for the first contact. Each new list replaces them, so
    /// that entries that were replaced long ago do not count as existing.
    listed: Vec<EntryId>,
    /// When complete rows were last requested.
    rows_requested_at: Option<Duration>,
}

impl Table {
    /// Creates a table that holds only this entry and the addresses of possible others.
    pub fn new(me: Row, seeds: Vec<EntryId>) -> Self {
        Table { me, others: BTreeMap::new(), seeds, listed: Vec::new(), rows_requested_at: None }
    }

    /// Returns this entry's own row.
    pub fn me(&self) -> &Row {
        &self.me
    }

    /// Marks this entry as leaving.
    pub fn leave(&mut self) {
        self.me.state = Presence::Leaving;
        self.me.heartbeat += 1;
    }

    /// Replaces the addresses from the platform's list.
    pub fn set_listed(&mut self, listed: Vec<EntryId>) {
        self.listed = listed;
    }

    /// Starts a round: increments the own heartbeat, drops entries that were unresponsive for
    /// `FORGET_TIMEOUT`, and returns the peers to send to.
    pub fn start_round(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<EntryId> {
        self.me.heartbeat += 1;
        self.others.retain(|_, member| now.saturating_sub(member.heartbeat_at) < FORGET_TIMEOUT);
        let live = self.responsive(now).map(|member| member.row.peer);
        let mut targets = live.choose_multiple(rng, self.pace().fanout);
        // An entry that lost contact with all others, as after a long network partition, reaches
        // them again through a seed.
        let unknown = self.seeds.iter().chain(&self.listed).filter(|seed| {
            **seed != self.me.peer
                && !self.others.get(seed).is_some_and(|member| self.is_responsive(member, now))
        });
        targets.extend(unknown.choose(rng));
        targets
    }

    /// Returns the pace for the number of known entries.
    pub fn pace(&self) -> Pace {
        Pace::for_fleet(self.others.len() + 1)
    }

    /// Returns the message to send, newest rows and heartbeats first.
    pub fn message(&self, now: Duration) -> Message {
        let mut members = self.responsive(now).collect::<Vec<_>>();
        members.sort_by_key(|member| std::cmp::Reverse(member.heartbeat_at));
        let changed =
            members.iter().filter(|member| now.saturating_sub(member.changed_at) < ROW_WINDOW);
        let changed = changed.take(MAX_ROWS - 1).map(|member| member.row.clone());
        let rows = std::iter::once(self.me.clone()).chain(changed).collect();
        // Sending only the newest heartbeats would drop live entries: one that is left out once
        // becomes old at every entry and is never sent again. So half of the heartbeats rotate
        // through all entries.
        let mut rotation = members.iter().skip(MAX_HEARTBEATS / 2).collect::<Vec<_>>();
        rotation.sort_by_key(|member| member.row.peer);
        let start = self.me.heartbeat as usize * (MAX_HEARTBEATS / 2);
        let len = rotation.len();
        let rotation = (0..len.min(MAX_HEARTBEATS / 2)).map(|i| rotation[(start + i) % len]);
        let heartbeats = members.iter().take(MAX_HEARTBEATS / 2).chain(rotation);
        let heartbeats = heartbeats
            .map(|member| Heartbeat { row: member.hash, heartbeat: member.row.heartbeat });
        let bytes = postcard::to_stdvec(&heartbeats.collect::<Vec<_>>()).unwrap_or_default();
        Message { rows, heartbeats: STANDARD_NO_PAD.encode(bytes) }
    }

    /// Merges a message from a peer and returns whether to request the peer's complete rows.
    pub fn merge(&mut self, now: Duration, message: Message) -> bool {
        self.merge_rows(now, message.rows);
        let bytes = STANDARD_NO_PAD.decode(message.heartbeats).unwrap_or_default();
        let heartbeats: Vec<Heartbeat> = postcard::from_bytes(&bytes).unwrap_or_default();
        let known = self.others.values().map(|member| (member.hash, member.row.peer));
        let known = known.collect::<BTreeMap<_, _>>();
        let me = hash(&self.me);
        let mut missing_row = false;
        for heartbeat in heartbeats.into_iter().filter(|heartbeat| heartbeat.row != me) {
            match known.get(&heartbeat.row).and_then(|peer| self.others.get_mut(peer)) {
                Some(member) if heartbeat.heartbeat > member.row.heartbeat => {
                    member.row.heartbeat = heartbeat.heartbeat;
                    member.heartbeat_at = now;
                }
                Some(_) => {}
                None => missing_row = true,
            }
        }
        let request = missing_row
            && self
                .rows_requested_at
                .is_none_or(|at| now.saturating_sub(at) >= ROWS_REQUEST_INTERVAL);
        if request {
            self.rows_requested_at = Some(now);
        }
        request
    }

    /// Merges complete rows from a peer.
    pub fn merge_rows(&mut self, now: Duration, rows: Vec<Row>) {
        for row in rows.into_iter().filter(|row| row.peer != self.me.peer) {
            let hash = hash(&row);
            match self.others.get_mut(&row.peer) {
                None => {
                    self.others
                        .insert(row.peer, Member { row, hash, heartbeat_at: now, changed_at: now });
                }
                Some(member) if is_newer(&row, &member.row) => {
                    let changed_at = if hash == member.hash { member.changed_at } else { now };
                    *member = Member { row, hash, heartbeat_at: now, changed_at };
                }
                Some(_) => {}
            }
        }
    }

    /// Returns the entries that callers may be sent to, those of `region` first, and this one first
    /// within its region. Leaving entries are left out.
    pub fn usable(&self, now: Duration, region: &RegionId) -> Vec<&Row> {
        let all = std::iter::once(&self.me).chain(self.responsive(now).map(|member| &member.row));
        let mut rows = all.filter(|row| row.state == Presence::Live).collect::<Vec<_>>();
        rows.sort_by_key(|row| (row.region != *region, row.peer != self.me.peer));
        rows
    }

    /// Returns the live entries, this one included, with their incarnations.
    pub fn live(&self, now: Duration) -> Vec<(EntryId, Incarnation)> {
        let rows = self.usable(now, &self.me.region);
        rows.into_iter().map(|row| (row.peer, row.incarnation)).collect()
    }

    /// Returns the live entries except this one.
    pub fn peers(&self, now: Duration) -> Vec<EntryId> {
        let rows = self.usable(now, &self.me.region).into_iter();
        rows.map(|row| row.peer).filter(|peer| *peer != self.me.peer).collect()
    }

    /// Returns the rows of all responsive entries, leaving ones and this one included.
    pub fn responsive_rows(&self, now: Duration) -> Vec<Row> {
        let others = self.responsive(now).map(|member| &member.row);
        std::iter::once(&self.me).chain(others).cloned().collect()
    }

    /// Returns all entries that may exist, except this one.
    pub fn known(&self) -> Vec<EntryId> {
        let seeds = self.seeds.iter().chain(&self.listed);
        let seeds = seeds.filter(|seed| !self.others.contains_key(seed) && **seed != self.me.peer);
        self.others.keys().chain(seeds).copied().collect()
    }

    fn responsive(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.others.values().filter(move |member| self.is_responsive(member, now))
    }

    fn is_responsive(&self, member: &Member, now: Duration) -> bool {
        now.saturating_sub(member.heartbeat_at) < self.pace().timeout
    }

    /// Returns all rows for a dump, with the time since the last heartbeat.
    pub fn rows(&self, now: Duration) -> Vec<(Row, Duration)> {
        let others = self.others.values();
        let others =
            others.map(|member| (member.row.clone(), now.saturating_sub(member.heartbeat_at)));
        std::iter::once((self.me.clone(), Duration::ZERO)).chain(others).collect()
    }
}

fn hash(row: &Row) -> u32 {
    let leaving = row.state == Presence::Leaving;
    xxh3::xxh3_64(format!("{}/{}/{leaving}", row.peer, row.incarnation).as_bytes()) as u32
}

fn is_newer(a: &Row, b: &Row) -> bool {
    (a.incarnation, a.heartbeat) > (b.incarnation, b.heartbeat)
}
