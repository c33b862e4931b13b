//! Leader election among the placers of a region, by a lease in one platform object that is changed
//! by conditional update.
//!
//! Load pattern: for each region, one write per third of the lease duration renews the lease, and
//! each waiting placer reads the object at the same rate. Without the lease every placer of a
//! region would order loads for the same shortage, and each order would cost a model switch.
//!
//! For the placer program the lease only saves work: two holders at once cause no harm, see
//! `ledger`. A daemon's orders go to engines that do not compare fencing tokens, so each of those
//! orders must be written under the lease.
//!
//! Reason for the value of `MAX_DRIFT_PERCENT`: a monotonic clock is slewed by at most 500 parts
//! per million, and a quartz is off by at most 100; one part in a hundred is over fifteen times
//! their sum. The holder measures from before it sent its write and stops one drift early. A rival
//! measures from when it first read the object and waits one drift longer. The two therefore never
//! overlap while both clocks run within `MAX_DRIFT_PERCENT`. A machine that was suspended is not
//! covered by this bound.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::decide::handover;
use crate::decide::handover::Handover;
use crate::edge::platform::Version;
use crate::table::Fence;
use crate::table::Incarnation;

/// Kind of the lease objects; each is named after its region.
pub const KIND: &str = "lease";

/// Largest deviation of a clock's rate, in hundredths.
pub const MAX_DRIFT_PERCENT: u32 = 1;

/// A placer as identified in a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The address on which it answers its peers.
    pub address: String,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

/// The value of a lease object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The current holder; none once the lease was given back.
    pub holder: Option<Holder>,
    /// The fencing token. It increases each time the lease is acquired, so no two holders share
    /// one.
    pub term: Fence,
    /// Unique among the writes of one holder. It distinguishes a write whose answer was lost from
    /// an earlier, delayed write, whose lease period began earlier.
    pub renewal: u64,
    /// The validity of the lease after each renewal, in milliseconds.
    pub duration_ms: u64,
    /// What the next holder has to know about orders to engines; none if that is not told.
    #[serde(
        default,
        deserialize_with = "handover::decode",
        skip_serializing_if = "Option::is_none"
    )]
    pub handover: Option<Handover>,
}

/// A write of the lease object to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The version that it may replace; none to create the object.
    pub expect: Option<Version>,
    /// The new value.
    pub lease: Lease,
    sent: Duration,
}

/// One placer's view of the lease.
#[derive(Debug, Clone)]
pub struct Elector {
    me: Holder,
    duration: Duration,
    /// The object as last read, and when this version was first read.
    observed: Option<(Version, Lease, Duration)>,
    /// The token under which this placer may act, and until when.
    held: Option<(Fence, Duration)>,
    /// End of an extension beyond that, granted while no other placer can acquire the lease.
    extended_until: Duration,
    /// The time since which the platform has answered that there is no object.
    absent_since: Option<Duration>,
    /// The highest renewal number that this placer has written.
    renewal: u64,
    /// The time until which no placer acquires the lease, as a holder may still act under a lease
    /// object that the platform has lost.
    blocked_until: Duration,
    /// Lower bound of the fencing tokens of new leases.
    min_term: Fence,
}

impl Elector {
    /// Creates the state of a placer that has not read the lease yet.
    pub fn new(me: Holder, duration: Duration) -> Self {
        Elector {
            me,
            duration,
            observed: None,
            held: None,
            extended_until: Duration::ZERO,
            absent_since: None,
            renewal: 0,
            blocked_until: Duration::ZERO,
            min_term: 0,
        }
    }

    /// Returns the fencing token to act under, or none if this placer may not act at `now`.
    ///
    /// Callers check it again right before each send, so that a process that was paused detects an
    /// expired lease by the clock alone.
    pub fn term(&self, now: Duration) -> Option<Fence> {
        self.held.filter(|(_, until)| now < self.extended_until.max(*until)).map(|(term, _)| term)
    }

    /// Extends the lease until `until`, as all other placers report that they cannot reach the
    /// platform.
    pub fn extend(&mut self, now: Duration, until: Duration) {
        // Another placer may have acquired a lease that has expired.
        if self.term(now).is_some() {
            self.extended_until = self.extended_until.max(until);
        }
    }

    /// Handles the end of a platform outage: an unchanged lease object may not be counted as
    /// expired, as its holder may have continued under an extension.
    pub fn on_platform_return(&mut self, now: Duration) {
        if let Some((_, _, since)) = &mut self.observed {
            *since = now;
        }
    }

    /// Handles a restore of the platform from an older state, after which the lease is a different
    /// object. The holder of the previous object may not have noticed and acts until that lease
    /// expires. New fencing tokens start at `min_term`, which no holder has had.
    pub fn on_platform_restore(&mut self, now: Duration, min_term: Fence) {
        (self.observed, self.held, self.absent_since) = (None, None, None);
        self.extended_until = Duration::ZERO;
        self.blocked_until = now + self.duration * (100 + MAX_DRIFT_PERCENT) / 100;
        self.min_term = self.min_term.max(min_term);
    }

    /// Returns how much longer this placer may act.
    pub fn remaining(&self, now: Duration) -> Duration {
        let until = self.held.map_or(Duration::ZERO, |(_, until)| until.max(self.extended_until));
        until.saturating_sub(now)
    }

    /// Returns whether at least half of the lease period remains, so that no renewal is overdue, or
    /// the lease is extended.
    pub fn is_fresh(&self, now: Duration) -> bool {
        let half_left = self.held.is_some_and(|(_, until)| now + self.duration / 2 <= until);
        self.term(now).is_some() && (half_left || now < self.extended_until)
    }

    /// Returns the lease as last read.
    pub fn observed(&self) -> Option<&Lease> {
        self.observed.as_ref().map(|(_, lease, _)| lease)
    }

    /// Handles a read of the object. `now` is when its answer arrived: the holder may have written
    /// the object at any time before that.
    pub fn on_read(&mut self, now: Duration, object: Option<(Version, Lease)>) {
        let Some((version, lease)) = object else {
            self.observed = None;
            self.absent_since.get_or_insert(now);
            return;
        };
        self.absent_since = None;
        let unchanged = self.observed.as_ref().is_some_and(|(observed, _, _)| *observed == version);
        if !unchanged {
            self.observed = Some((version, lease, now));
        }
    }

    /// Returns the time since which this placer may acquire the lease, or none while another may
    /// hold it.
    pub fn free_since(&self, now: Duration) -> Option<Duration> {
        if self.term(now).is_some() || now < self.blocked_until {
            return None;
        }
        let Some((_, lease, since)) = &self.observed else {
            return self.absent_since;
        };
        let wait = Duration::from_millis(lease.duration_ms) * (100 + MAX_DRIFT_PERCENT) / 100;
        let from = match &lease.holder {
            None => *since,
            // A holder whose lease expired acquires it again under a new term, so that messages it
            // sent under the old term stay older than the new ones.
            Some(holder) if *holder == self.me => self.held.map_or(*since, |(_, until)| until),
            Some(_) => *since + wait,
        };
        (now >= from).then_some(from)
    }

    /// Returns the write to send at `now`, if any: a renewal once a third of the period has passed,
    /// or an acquisition.
    pub fn next_write(&mut self, now: Duration) -> Option<Write> {
        if self.term(now).is_some() {
            let due = self.remaining(now) < self.duration * 2 / 3;
            return due.then(|| self.renewal(now)).flatten();
        }
        self.free_since(now)?;
        let Some((version, lease, _)) = self.observed.clone() else {
            return Some(self.acquire(now, None, 0, 0, None));
        };
        Some(self.acquire(now, Some(version), lease.term, lease.renewal, lease.handover))
    }

    /// Stops acting at once and returns the write that gives the lease back, if it was held.
    pub fn resign(&mut self, now: Duration) -> Option<Write> {
        let mut write = self.renewal(now)?;
        write.lease.holder = None;
        self.held = None;
        Some(write)
    }

    /// Handles a write that was applied at `version`: it was answered, or its exact value was read
    /// back.
    pub fn on_applied(&mut self, now: Duration, version: Version, write: &Write) {
        self.observed = Some((version, write.lease.clone(), now));
        let is_own = write.lease.holder.as_ref() == Some(&self.me);
        // Measured from before the write was sent. A rival measures from when it read the write,
        // which is later however long the answer took.
        let until = write.sent + self.duration * (100 - MAX_DRIFT_PERCENT) / 100;
        self.held = is_own.then_some((write.lease.term, until));
    }

    /// Handles a write that was not applied; `object` was read after it.
    pub fn on_refused(&mut self, now: Duration, object: Option<(Version, Lease)>) {
        let term = self.held.map(|(term, _)| term);
        let is_holder = object.as_ref().is_some_and(|(_, lease)| {
            lease.holder.as_ref() == Some(&self.me) && Some(lease.term) == term
        });
        if !is_holder {
            self.held = None;
        }
        self.on_read(now, object);
    }

    /// Returns a renewal of the lease if it is held.
    pub fn renewal(&mut self, now: Duration) -> Option<Write> {
        let term = self.term(now)?;
        let (version, lease, _) = self.observed.clone()?;
        if lease.holder.as_ref() != Some(&self.me) || lease.term != term {
            return None;
        }
        let renewal = self.next_renewal(lease.renewal);
        let lease = Lease { renewal, ..lease };
        Some(Write { expect: Some(version), lease, sent: now })
    }

    fn acquire(
        &mut self,
        now: Duration,
        expect: Option<Version>,
        term: Fence,
        renewal: u64,
        handover: Option<Handover>,
    ) -> Write {
        let lease = Lease {
            holder: Some(self.me.clone()),
            term: (term + 1).max(self.min_term),
            renewal: self.next_renewal(renewal),
            duration_ms: self.duration.as_millis() as u64,
            handover,
        };
        Write { expect, lease, sent: now }
    }

    fn next_renewal(&mut self, observed: u64) -> u64 {
        self.renewal = self.renewal.max(observed) + 1;
        self.renewal
    }
}
