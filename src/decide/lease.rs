//! Which placer of a region acts: a lease in one platform object, changed by conditional update.
//!
//! Load pattern: one renewing write a third of the duration and region, and one read of the same
//! rate by each placer that waits. Without it every placer of a region would order loads for the
//! same lack, and each would cost a move.
//!
//! To the product's placer the lease only saves work: two holders at once do no harm, see `ledger`. A daemon's
//! orders go to engines that do not compare tokens, so there each has to be written under the lease.
//!
//! Grounds for `DRIFT`: a monotonic clock is slewed by at most 500 parts in a million, and a quartz
//! is off by at most 100; one in a hundred is over fifteen times both. The holder counts from before
//! its write left and stops a drift early, a rival counts from its first sight of the object and
//! waits a drift longer, so that they never overlap while both clocks run within `DRIFT`. A machine
//! that was suspended is outside this bound.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::edge::platform::Version;
use crate::table::Fence;
use crate::table::Incarnation;

/// The kind of the lease objects; each is named by its region.
pub const KIND: &str = "lease";

/// The most by which a clock may run fast or slow, in hundredths.
pub const DRIFT: u32 = 1;

/// A placer, as a lease names it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Where it answers its peers.
    pub address: String,
    /// Its start.
    pub incarnation: Incarnation,
}

/// The value of a lease object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// None once it was given back.
    pub holder: Option<Holder>,
    /// The fencing number: rises with each take, so no two holders ever share one.
    pub term: Fence,
    /// No two writes of one holder have the same, so that a write whose answer was lost is told from
    /// an earlier one that was only late: the earlier one's time has begun earlier.
    pub renewal: u64,
    /// How long it lasts after each renewal, in milliseconds.
    pub duration_ms: u64,
}

/// A write of the lease object on its way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The version it may replace; none creates the object.
    pub expect: Option<Version>,
    /// The new value.
    pub lease: Lease,
    sent: Duration,
}

/// The lease as one placer knows it.
#[derive(Debug, Clone)]
pub struct Watch {
    me: Holder,
    duration: Duration,
    /// The object as last read, and when this version was first seen.
    seen: Option<(Version, Lease, Duration)>,
    /// Until when this placer may act, and under which term.
    held: Option<(Fence, Duration)>,
    /// Until when it may act beyond that, as nobody can take the lease.
    vouched: Duration,
    /// Since when the platform has answered that there is no object.
    absent: Option<Duration>,
    /// The highest renewal number that this placer has written.
    renewal: u64,
    /// Until then nobody takes the lease: another may order under one that the platform has lost.
    rests: Duration,
    /// Terms that are given out are at least this.
    least: Fence,
}

impl Watch {
    /// A placer that knows nothing of the lease yet.
    pub fn new(me: Holder, duration: Duration) -> Self {
        Watch {
            me,
            duration,
            seen: None,
            held: None,
            vouched: Duration::ZERO,
            absent: None,
            renewal: 0,
            rests: Duration::ZERO,
            least: 0,
        }
    }

    /// The fencing number to act under; none when it may not act at `now`.
    ///
    /// Asked again right before each send: a process that was paused finds out by the clock alone.
    pub fn term(&self, now: Duration) -> Option<Fence> {
        self.held.filter(|(_, until)| now < self.vouched.max(*until)).map(|(term, _)| term)
    }

    /// Every other placer has said that the platform is away from it, and is believed `until` then.
    pub fn vouch(&mut self, now: Duration, until: Duration) {
        // A lease that has lapsed may be another's by now.
        if self.term(now).is_some() {
            self.vouched = self.vouched.max(until);
        }
    }

    /// The platform is back after it was away: how long the lease has stood before says nothing, as
    /// its holder may have gone on.
    pub fn returned(&mut self, now: Duration) {
        if let Some((_, _, since)) = &mut self.seen {
            *since = now;
        }
    }

    /// The platform came back from an older state, and the lease is another object from now on. A holder of
    /// the one before, which may not know yet, acts until that runs out. Terms go on from `least`, which no
    /// holder has had.
    pub fn restored(&mut self, now: Duration, least: Fence) {
        (self.seen, self.held, self.absent) = (None, None, None);
        self.vouched = Duration::ZERO;
        self.rests = now + self.duration * (100 + DRIFT) / 100;
        self.least = self.least.max(least);
    }

    /// How much longer it may act.
    pub fn left(&self, now: Duration) -> Duration {
        let until = self.held.map_or(Duration::ZERO, |(_, until)| until.max(self.vouched));
        until.saturating_sub(now)
    }

    /// Whether half of the lease is left, so that no renewal is overdue, or others vouch for it.
    pub fn fresh(&self, now: Duration) -> bool {
        let half = self.held.is_some_and(|(_, until)| now + self.duration / 2 <= until);
        self.term(now).is_some() && (half || now < self.vouched)
    }

    /// The lease as last read.
    pub fn seen(&self) -> Option<&Lease> {
        self.seen.as_ref().map(|(_, lease, _)| lease)
    }

    /// Takes in a read of the object that was answered at `now` or earlier: its holder may have written
    /// it at any time before the answer.
    pub fn read(&mut self, now: Duration, object: Option<(Version, Lease)>) {
        let Some((version, lease)) = object else {
            self.seen = None;
            self.absent.get_or_insert(now);
            return;
        };
        self.absent = None;
        let known = self.seen.as_ref().is_some_and(|(seen, _, _)| *seen == version);
        if !known {
            self.seen = Some((version, lease, now));
        }
    }

    /// Since when this placer may take the lease, as far as it knows; none while another may hold it.
    pub fn free_since(&self, now: Duration) -> Option<Duration> {
        if self.term(now).is_some() || now < self.rests {
            return None;
        }
        let Some((_, lease, since)) = &self.seen else {
            return self.absent;
        };
        let wait = Duration::from_millis(lease.duration_ms) * (100 + DRIFT) / 100;
        let from = match &lease.holder {
            None => *since,
            // A holder that let its own lease lapse takes it anew, under a new term: what it sent under
            // the old one must stay older than what it sends now.
            Some(holder) if *holder == self.me => self.held.map_or(*since, |(_, until)| until),
            Some(_) => *since + wait,
        };
        (now >= from).then_some(from)
    }

    /// The write to send at `now`, if any: a renewal when a third is used up, or a take.
    pub fn write(&mut self, now: Duration) -> Option<Write> {
        if self.term(now).is_some() {
            let due = self.left(now) < self.duration * 2 / 3;
            return due.then(|| self.renewal(now)).flatten();
        }
        self.free_since(now)?;
        let Some((version, lease, _)) = self.seen.clone() else {
            return Some(self.take(now, None, 0, 0));
        };
        Some(self.take(now, Some(version), lease.term, lease.renewal))
    }

    /// Stops acting at once; the write that gives the lease back, if it was held.
    pub fn resign(&mut self, now: Duration) -> Option<Write> {
        let mut write = self.renewal(now)?;
        write.lease.holder = None;
        self.held = None;
        Some(write)
    }

    /// The write was applied at `version`: so it was answered, or its very value was read back.
    pub fn applied(&mut self, now: Duration, version: Version, write: &Write) {
        self.seen = Some((version, write.lease.clone(), now));
        let mine = write.lease.holder.as_ref() == Some(&self.me);
        // Counted from before the write left: a rival counts from when it saw the write, which is
        // later however long the answer took.
        let until = write.sent + self.duration * (100 - DRIFT) / 100;
        self.held = mine.then_some((write.lease.term, until));
    }

    /// The write was not applied; the object was read since.
    pub fn refused(&mut self, now: Duration, object: Option<(Version, Lease)>) {
        let term = self.held.map(|(term, _)| term);
        let holds = object.as_ref().is_some_and(|(_, lease)| {
            lease.holder.as_ref() == Some(&self.me) && Some(lease.term) == term
        });
        if !holds {
            self.held = None;
        }
        self.read(now, object);
    }

    fn renewal(&mut self, now: Duration) -> Option<Write> {
        let term = self.term(now)?;
        let (version, lease, _) = self.seen.clone()?;
        if lease.holder.as_ref() != Some(&self.me) || lease.term != term {
            return None;
        }
        let renewal = self.count(lease.renewal);
        let lease = Lease { renewal, ..lease };
        Some(Write { expect: Some(version), lease, sent: now })
    }

    fn take(&mut self, now: Duration, expect: Option<Version>, term: Fence, renewal: u64) -> Write {
        let lease = Lease {
            holder: Some(self.me.clone()),
            term: (term + 1).max(self.least),
            renewal: self.count(renewal),
            duration_ms: self.duration.as_millis() as u64,
        };
        Write { expect, lease, sent: now }
    }

    fn count(&mut self, seen: u64) -> u64 {
        self.renewal = self.renewal.max(seen) + 1;
        self.renewal
    }
}
