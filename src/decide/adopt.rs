//! Decides which configuration an entry adopts and where it looks for a newer one.
//!
//! Load pattern: a few hundred publishes a day, each of which has to be in force at hundreds of
//! entries within seconds. The platform accepts a bounded number of calls from all of them and is
//! unavailable for long stretches, regions lose contact with each other, and entries are replaced
//! at any time.
//!
//! Without it, every entry would watch the platform (calls would grow with the fleet and all return
//! at once after an outage), responses that arrive out of order would put an older configuration in
//! force, and a replaced entry would use whatever the first peer happens to hold.
//!
//! `WATCHERS_PER_REGION` live entries of each region, chosen by rendezvous hashing, long-poll the
//! platform. An entry that adopts a version announces it at once to `FANOUT` others. An entry that
//! lacks the version fetches it from the announcing peer and announces it in turn; regular gossip
//! rounds bring it to entries that missed the announcement. All other entries poll the platform for
//! changes at a low rate (`verify_interval`), so that a change is found even when every watcher is
//! cut off.
//!
//! Guarantees:
//! - During one incarnation of an entry, the version in force only rises. A different publish with
//!   the version in force is never adopted; it is a fault that is shown to an operator.
//! - A fresh entry that reads the platform starts with the newest version.
//! - A fresh entry that cannot read the platform starts once more than half of the entries it knows
//!   have announced the version they serve, and uses the highest of those. A version served by at
//!   least half of them at that time is therefore never rolled back. Until then the entry reports
//!   that it is not ready, because serving an older configuration is worse than having one entry
//!   less.
//!
//! Not guaranteed: when the platform is unavailable, every entry that a fresh one reaches missed a
//! version, and those that had it are gone or forgotten, the fresh entry starts below that version.
//! It catches up as soon as it reaches the platform or an entry that has it. Configurations are
//! stored only in the platform and in running entries, so no other source exists.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use xxhash_rust::xxh3;

use crate::config::snapshot::Identity;
use crate::config::snapshot::Revision;
use crate::edge::platform::Version;
use crate::table::EntryId;
use crate::table::RegionId;

/// Entries of a region that watch the platform. The second one takes over when the first is cut off
/// from the platform but not from its peers.
pub const WATCHERS_PER_REGION: usize = 2;
/// Number of entries to which a newly adopted version is announced at once. With three, 420 entries
/// are reached in about log3(420) = 6 steps, and each sends three small messages whatever the size
/// of the fleet.
pub const FANOUT: usize = 3;
/// Time limit for one fetch, after which another peer is asked.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time that a watch waits at the platform. A network cut can leave it hanging without an
/// error, and then only the next call finds a change: that has to be well within 19 s.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(8);
/// Time allowed for a call to the platform, beyond the wait of a watch, before it counts as failed.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval before a failed platform call is repeated; jitter changes it by up to a quarter.
pub const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// How long a fresh entry waits for the platform before it starts from its peers' configuration:
/// longer than one call and its retry, but short compared with the six seconds after which peers
/// report an entry as missing.
pub const PEER_FALLBACK_DELAY: Duration = Duration::from_secs(3);
/// All entries of a region together poll for changes once in this interval, so that the load on the
/// platform does not grow with the region.
pub const REGION_VERIFY_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest interval between the polls of one entry: a third of the 19 s within which a change has
/// to be in force.
pub const MIN_VERIFY_INTERVAL: Duration = Duration::from_secs(6);
/// Interval at which a watcher reads the complete object. A restored store restarts its version
/// numbers, and a watch from a higher version would never return.
pub const FULL_READ_INTERVAL: Duration = Duration::from_secs(600);
/// Longest interval between the polls of one entry, reached at 150 entries in a region.
pub const MAX_VERIFY_INTERVAL: Duration = Duration::from_secs(300);

/// An input to the adopter.
#[derive(Debug, Clone)]
pub enum Event {
    /// The platform was read; `None` when it holds no configuration.
    Read(Option<Revision>),
    /// A watch or a verification ended, with the newest change if there was one.
    Polled(Option<Revision>),
    /// A peer sent its configuration.
    Fetched(EntryId, Revision),
    /// A peer announced its version.
    Announced(EntryId, Identity),
    /// A call failed.
    Failed(Call),
    /// The platform no longer holds the requested changes.
    Compacted,
}

/// An asynchronous call whose result comes back as an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Call {
    /// Reads the platform's object.
    Read,
    /// Polls the platform for changes after this object version, without waiting.
    Verify(Version),
    /// Waits at the platform for changes after this object version.
    Watch(Version),
    /// Fetches a peer's configuration.
    Fetch(EntryId),
}

/// An action for the entry to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Put this configuration in force.
    Adopt(Box<Revision>),
    /// Make this call and return its result as an event.
    Call(Call),
    /// Announce the version in force to this peer now.
    Announce(EntryId),
    /// Show this fault to the operator.
    Fault(Fault),
}

/// A fault that only an operator can repair.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Two publishes have the same version; the one in force stays until a higher version arrives.
    VersionConflict {
        /// The shared version.
        version: u64,
        /// The publish in force at this entry.
        ours: String,
        /// The publish seen elsewhere.
        other: String,
    },
    /// The platform holds an older version than the one in force, so it has lost its object.
    /// Publishing above the version in force repairs it.
    PlatformRollback {
        /// The version in force at this entry.
        ours: u64,
        /// The version that the platform holds; 0 when it holds none.
        platform: u64,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::VersionConflict { version, ours, other } => write!(
                f,
                "two publishes have version {version}: {ours} is in force, {other} was seen; publish again"
            ),
            Fault::PlatformRollback { ours, platform } => write!(
                f,
                "the platform holds version {platform}, below {ours} in force; publish above {ours}"
            ),
        }
    }
}

/// A live entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The entry's address.
    pub id: EntryId,
    /// The entry's region.
    pub region: RegionId,
}

/// The configuration state of one entry.
#[derive(Debug, Clone)]
pub struct Adopter {
    me: Peer,
    current: Identity,
    /// The platform's object version of `current`; 0 when unknown.
    object_version: Version,
    started_at: Duration,
    /// Whether the platform has confirmed in this incarnation that `current` is its newest version.
    confirmed: bool,
    /// Whether requests may be served; never reset once true.
    ready: bool,
    live: Vec<Peer>,
    /// All other known entries, live or not.
    known: BTreeSet<EntryId>,
    /// The last mark that each peer announced.
    announced: BTreeMap<EntryId, Identity>,
    /// The pending platform call and its deadline.
    platform_call: Option<(Call, Duration)>,
    /// Whether this entry is one of its region's watchers.
    elected: bool,
    /// The value of `elected` at the previous tick.
    was_elected: bool,
    /// The pending fetch and its deadline.
    fetch: Option<(EntryId, Duration)>,
    /// Earliest time of the next platform call.
    next_call_at: Duration,
    /// Time of a watcher's next read of the complete object.
    next_full_read_at: Duration,
    faults: BTreeSet<Fault>,
}

impl Adopter {
    /// Returns an adopter without a configuration.
    pub fn new(me: Peer, now: Duration) -> Self {
        Adopter {
            live: vec![me.clone()],
            me,
            current: Identity::default(),
            object_version: 0,
            started_at: now,
            confirmed: false,
            ready: false,
            known: BTreeSet::new(),
            announced: BTreeMap::new(),
            platform_call: None,
            elected: true,
            was_elected: false,
            fetch: None,
            next_call_at: now,
            next_full_read_at: now,
            faults: BTreeSet::new(),
        }
    }

    /// Returns the mark to announce to peers.
    pub fn mark(&self) -> Identity {
        Identity { ready: self.ready, ..self.current.clone() }
    }

    /// Returns whether requests may be served with the configuration in force.
    pub fn ready(&self) -> bool {
        self.ready
    }

    /// Returns the open faults.
    pub fn faults(&self) -> impl Iterator<Item = &Fault> {
        self.faults.iter()
    }

    /// Processes one event and returns the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, rng: &mut impl Rng) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Read(found) => {
                self.platform_call = None;
                self.confirmed = true;
                self.next_full_read_at = now + FULL_READ_INTERVAL;
                self.check_rollback(found.as_ref(), &mut out);
                self.adopt_newer(found, rng, &mut out);
                self.next_call_at = now + self.verify_interval(rng);
            }
            Event::Polled(found) => {
                // No change since `current` was written: it is the newest version, as after a read.
                self.confirmed = true;
                let was_watch = matches!(self.platform_call, Some((Call::Watch(_), _)));
                self.platform_call = None;
                self.next_call_at = if was_watch { now } else { now + self.verify_interval(rng) };
                self.adopt_newer(found, rng, &mut out);
            }
            Event::Fetched(peer, held) => {
                self.end_fetch(peer);
                // The mark of what the peer really holds replaces its announcement, so that a peer
                // without the announced version is not asked again.
                self.announced
                    .insert(peer, Identity { ready: true, ..Identity::from(&held.snapshot) });
                self.adopt_newer(Some(held), rng, &mut out);
            }
            Event::Announced(peer, mark) => {
                self.check_conflict(&mark, &mut out);
                self.announced.insert(peer, mark);
            }
            Event::Failed(Call::Fetch(peer)) => {
                self.end_fetch(peer);
                self.announced.remove(&peer);
            }
            Event::Failed(_) => {
                self.platform_call = None;
                // Only entries on whose result others depend retry soon. If all did, the end of an
                // outage would bring a call from every entry at once.
                let retry_soon = !self.ready || self.is_watcher();
                self.next_call_at = now
                    + if retry_soon {
                        jitter(RETRY_INTERVAL, rng)
                    } else {
                        self.verify_interval(rng)
                    };
            }
            Event::Compacted => {
                self.platform_call = None;
                self.object_version = 0;
                self.next_call_at = now + jitter(RETRY_INTERVAL, rng);
            }
        }
        self.start_fetch(now, rng, &mut out);
        self.update_ready(now);
        self.drop_outdated();
        out
    }

    /// Drops announcements that are not newer than the version in force.
    fn drop_outdated(&mut self) {
        if self.ready {
            let in_force = self.current.version;
            self.announced.retain(|_, mark| mark.version > in_force);
        }
    }

    /// Replaces the list of entries. `live` includes this entry; `known` are all other entries that
    /// are believed to exist.
    pub fn set_members(&mut self, live: Vec<Peer>, known: impl IntoIterator<Item = EntryId>) {
        self.known = known.into_iter().chain(live.iter().map(|peer| peer.id)).collect();
        self.known.remove(&self.me.id);
        self.live = live;
        self.announced.retain(|peer, _| self.known.contains(peer));
        let own_weight = weight(&self.me);
        let higher = self.region_peers().filter(|peer| weight(peer) > own_weight).count();
        self.elected = higher < WATCHERS_PER_REGION;
    }

    /// Performs the actions that are due at `now`.
    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Action> {
        let mut out = Vec::new();
        if let Some((peer, _)) = self.fetch.filter(|(_, deadline)| now >= *deadline) {
            self.fetch = None;
            self.announced.remove(&peer);
        }
        self.platform_call = self.platform_call.filter(|(_, deadline)| now < *deadline);
        // A new watcher doesn't wait out the long interval of entries that only verify.
        let previously_elected = std::mem::replace(&mut self.was_elected, self.elected);
        if self.elected && !previously_elected {
            self.next_call_at = self.next_call_at.min(now + jitter(RETRY_INTERVAL, rng));
        }
        if self.platform_call.is_none() && now >= self.next_call_at {
            let call = self.next_platform_call(now);
            let wait = if matches!(call, Call::Watch(_)) { WATCH_TIMEOUT } else { Duration::ZERO };
            self.platform_call = Some((call, now + wait + CALL_TIMEOUT));
            out.push(Action::Call(call));
        }
        self.start_fetch(now, rng, &mut out);
        self.update_ready(now);
        out
    }

    /// Returns the next call to the platform.
    fn next_platform_call(&self, now: Duration) -> Call {
        match self.object_version {
            0 => Call::Read,
            _ if self.is_watcher() && self.confirmed && now >= self.next_full_read_at => Call::Read,
            // A fresh entry needs an immediate response, not one at the next change.
            version if self.is_watcher() && self.confirmed => Call::Watch(version),
            version => Call::Verify(version),
        }
    }

    /// Returns whether this entry watches the platform for its region.
    pub fn is_watcher(&self) -> bool {
        self.elected
    }

    fn region_peers(&self) -> impl Iterator<Item = &Peer> {
        self.live.iter().filter(|peer| peer.region == self.me.region)
    }

    /// Returns the time until the next verification.
    fn verify_interval(&self, rng: &mut impl Rng) -> Duration {
        if self.is_watcher() && self.object_version > 0 {
            return Duration::ZERO;
        }
        let entries = u32::try_from(self.region_peers().count()).unwrap_or(u32::MAX);
        jitter(
            REGION_VERIFY_INTERVAL
                .saturating_mul(entries)
                .clamp(MIN_VERIFY_INTERVAL, MAX_VERIFY_INTERVAL),
            rng,
        )
    }

    /// Adopts a configuration that is newer than the current one.
    ///
    /// Responses can arrive out of order: a read that began before a publish can end after a peer
    /// has delivered that publish. Comparing with `current` when the response arrives, rather than
    /// with what was requested, is sufficient because `current` is changed only here.
    fn adopt_newer(&mut self, found: Option<Revision>, rng: &mut impl Rng, out: &mut Vec<Action>) {
        let Some(found) = found else {
            return;
        };
        let mark = Identity::from(&found.snapshot);
        self.check_conflict(&mark, out);
        if mark.is_same_publish(&self.current) {
            self.object_version = self.object_version.max(found.object_version);
        }
        if mark.version <= self.current.version {
            return;
        }
        self.current = mark;
        self.object_version = found.object_version;
        self.faults.clear();
        out.push(Action::Adopt(Box::new(found)));
        out.extend(self.announce_targets(rng).into_iter().map(Action::Announce));
    }

    /// Returns the peers to which a new version is announced: one of another region, the others of
    /// this region.
    fn announce_targets(&self, rng: &mut impl Rng) -> Vec<EntryId> {
        let others = || self.live.iter().filter(|peer| peer.id != self.me.id);
        let remote = others().filter(|peer| peer.region != self.me.region).choose(rng);
        let local = others().filter(|peer| peer.region == self.me.region);
        let mut targets = local.choose_multiple(rng, FANOUT - usize::from(remote.is_some()));
        targets.extend(remote);
        targets.into_iter().map(|peer| peer.id).collect()
    }

    /// Starts a fetch from a peer with a newer version; at most one fetch is pending.
    fn start_fetch(&mut self, now: Duration, rng: &mut impl Rng, out: &mut Vec<Action>) {
        if self.fetch.is_some() {
            return;
        }
        let highest = self.announced.values().map(|mark| mark.version).max().unwrap_or(0);
        if highest <= self.current.version {
            return;
        }
        let holders = self.announced.iter().filter(|(_, mark)| mark.version == highest);
        if let Some(peer) = holders.map(|(peer, _)| *peer).choose(rng) {
            self.fetch = Some((peer, now + FETCH_TIMEOUT));
            out.push(Action::Call(Call::Fetch(peer)));
        }
    }

    fn end_fetch(&mut self, peer: EntryId) {
        self.fetch = self.fetch.filter(|(from, _)| *from != peer);
    }

    /// Sets `ready` once the current configuration is known to be recent enough.
    fn update_ready(&mut self, now: Duration) {
        if self.ready || self.current.version == 0 {
            return;
        }
        let highest = self.announced.values().map(|mark| mark.version).max().unwrap_or(0);
        if highest > self.current.version {
            return;
        }
        self.ready =
            self.confirmed || (now >= self.started_at + PEER_FALLBACK_DELAY && self.has_quorum());
    }

    /// Returns whether more than half of the known entries have announced the version they serve.
    ///
    /// Every version served by half of them is then among the announced ones. Entries that are not
    /// ready do not count: otherwise two fresh entries could confirm each other without any
    /// configuration.
    fn has_quorum(&self) -> bool {
        let ready_peers = self.announced.values().filter(|mark| mark.ready).count();
        ready_peers * 2 > self.known.len()
    }

    /// Reports a fault when a different publish has the version in force.
    fn check_conflict(&mut self, mark: &Identity, out: &mut Vec<Action>) {
        if mark.version == 0
            || mark.version != self.current.version
            || mark.is_same_publish(&self.current)
        {
            return;
        }
        let (ours, other) = (self.current.publish.clone(), mark.publish.clone());
        self.report(Fault::VersionConflict { version: mark.version, ours, other }, out);
    }

    /// Reports a fault when the platform holds an older version than the one in force.
    fn check_rollback(&mut self, found: Option<&Revision>, out: &mut Vec<Action>) {
        let platform = found.map_or(0, |held| held.snapshot.version);
        if platform < self.current.version {
            self.report(Fault::PlatformRollback { ours: self.current.version, platform }, out);
        }
    }

    fn report(&mut self, fault: Fault, out: &mut Vec<Action>) {
        if self.faults.insert(fault.clone()) {
            out.push(Action::Fault(fault));
        }
    }
}

/// Returns the rendezvous weight of an entry as a watcher of its region.
fn weight(peer: &Peer) -> (u64, EntryId) {
    (xxh3::xxh3_64(format!("config/{}/{}", peer.region, peer.id).as_bytes()), peer.id)
}

/// Returns a random time within a quarter of `time` either way, so that entries that failed
/// together do not retry together.
fn jitter(time: Duration, rng: &mut impl Rng) -> Duration {
    time.mul_f64(rng.random_range(0.75..1.25))
}
