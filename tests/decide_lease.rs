//! The lease: no two placers of a region ever both consider themselves its holder.

use std::collections::BTreeMap;
use std::time::Duration;

use poplarmux::decide::handover::Handover;
use poplarmux::decide::lease::Elector;
use poplarmux::decide::lease::Holder;
use poplarmux::decide::lease::Lease;
use poplarmux::decide::lease::MAX_DRIFT_PERCENT;
use poplarmux::decide::lease::Write;
use poplarmux::table::instance::Key;
use proptest::prelude::*;
use serde::Deserialize;
use serde_json::json;

const LEASE_DURATION: Duration = Duration::from_millis(1000);

/// The object that the platform stores.
type Object = Option<(u64, Lease)>;

/// A simulated step; indices of placers and writes are taken modulo their number.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes, in milliseconds; a placer with no step in the meantime was paused.
    Advance(u64),
    /// A placer reads the object at once.
    Read(usize),
    /// A placer that does not hold the lease sends a read.
    SendRead(usize),
    /// Its read reaches the platform, which answers with the object as it is, or as it was this
    /// many versions before.
    AnswerRead(usize, usize),
    /// The answer to its read arrives.
    ReceiveRead(usize),
    /// A placer sends the write that is due.
    SendWrite(usize),
    /// A placer sends the write that is due, and the write is applied and answered at once.
    CompleteWrite(usize),
    /// Its write reaches the platform.
    ApplyWrite(usize),
    /// It receives the answer, or gives up waiting and reads the object back.
    ReceiveAnswer(usize, bool),
    /// A write that its sender gave up on reaches the platform after all.
    ApplyLate(usize),
    /// A placer gives the lease back.
    Resign(usize),
    /// The platform is restored from an older state, in a new era without a lease object.
    Restore,
}

struct Placer {
    elector: Elector,
    /// The rate of its clock: local milliseconds per second of true time.
    rate: u64,
    pending_write: Option<(Write, Option<bool>)>,
    /// A read in flight and its result; the result is none until the read reaches the platform.
    pending_read: Option<Option<Object>>,
    /// The newest version that it has seen.
    newest: u64,
    /// The era that it has seen.
    era: u64,
}

impl Placer {
    fn now(&self, time: u64) -> Duration {
        Duration::from_micros(time * self.rate)
    }
}

#[derive(Default)]
struct World {
    time: u64,
    version: u64,
    object: Object,
    /// All former values of the object.
    history: Vec<Object>,
    placers: Vec<Placer>,
    abandoned: Vec<Write>,
    era: u64,
}

impl World {
    fn new(rates: &[u64]) -> World {
        let placers = rates.iter().enumerate().map(|(at, rate)| {
            let me = Holder { address: at.to_string(), incarnation: 1 };
            let elector = Elector::new(me, LEASE_DURATION);
            Placer {
                elector,
                rate: *rate,
                pending_write: None,
                pending_read: None,
                newest: 0,
                era: 0,
            }
        });
        World { placers: placers.collect(), ..World::default() }
    }

    fn apply(&mut self, write: &Write) -> bool {
        let applied = self.object.as_ref().map(|(version, _)| *version) == write.expect;
        if applied {
            self.version += 1;
            let object = Some((self.version, write.lease.clone()));
            self.history.push(std::mem::replace(&mut self.object, object));
        }
        applied
    }

    /// Passes a placer the result of reading the object back after a write.
    fn read_back(&mut self, at: usize, write: &Write) {
        let object = self.object.clone();
        let now = self.placers[at].now(self.time);
        let Placer { elector, newest, .. } = &mut self.placers[at];
        *newest = object.as_ref().map_or(0, |(version, _)| *version);
        match object {
            Some((version, lease)) if lease == write.lease => {
                elector.on_applied(now, version, write);
            }
            other => elector.on_refused(now, other),
        }
    }

    /// Delivers the answer to a read. Answers older than the newest version seen are ignored.
    fn receive_read(&mut self, at: usize) {
        let placer = &mut self.placers[at];
        let Some(Some(answer)) = placer.pending_read.take_if(|pending_read| pending_read.is_some())
        else {
            return;
        };
        let version = answer.as_ref().map_or(0, |(version, _)| *version);
        if version >= placer.newest {
            placer.newest = version;
            placer.elector.on_read(placer.now(self.time), answer);
        }
    }

    /// Informs a placer of the platform's era, which every answer carries, and returns whether the
    /// placer had seen it already.
    fn observe_era(&mut self, at: usize) -> bool {
        let (era, time) = (self.era, self.time);
        let placer = &mut self.placers[at];
        let seen = placer.era == era;
        if !seen {
            let now = placer.now(time);
            placer.era = era;
            placer.newest = 0;
            placer.pending_read = None;
            placer.pending_write = None;
            placer.elector.on_platform_restore(now, era << 32);
        }
        seen
    }

    fn step(&mut self, step: &Step) {
        let count = self.placers.len();
        // A placer that receives an answer handles its era first; in a new era it drops its pending
        // calls.
        if let Step::Read(at) | Step::ReceiveRead(at) | Step::ReceiveAnswer(at, _) = step
            && !self.observe_era(at % count)
        {
            return;
        }
        match step {
            Step::Restore => {
                self.era += 1;
                self.version = 0;
                self.object = None;
                self.history.clear();
                self.abandoned.clear();
            }
            Step::Advance(ms) => self.time += ms,
            Step::Read(at) => {
                let object = self.object.clone();
                let placer = &mut self.placers[at % count];
                placer.newest = object.as_ref().map_or(0, |(version, _)| *version);
                placer.elector.on_read(placer.now(self.time), object);
            }
            Step::SendRead(at) => {
                let placer = &mut self.placers[at % count];
                let now = placer.now(self.time);
                let idle = placer.pending_write.is_none() && placer.pending_read.is_none();
                if idle && placer.elector.term(now).is_none() {
                    placer.pending_read = Some(None);
                }
            }
            Step::AnswerRead(at, versions_back) => {
                let seen = self.placers[at % count].era == self.era;
                if let Some(pending_read) =
                    self.placers[at % count].pending_read.as_mut().filter(|_| seen)
                {
                    let versions = self.history.iter().chain([&self.object]).rev();
                    *pending_read = versions.take(versions_back + 1).last().cloned();
                }
            }
            Step::ReceiveRead(at) => self.receive_read(at % count),
            Step::SendWrite(at) | Step::Resign(at) => {
                let placer = &mut self.placers[at % count];
                let now = placer.now(self.time);
                if placer.pending_write.is_none() && placer.pending_read.is_none() {
                    let resign = matches!(step, Step::Resign(_));
                    let elector = &mut placer.elector;
                    let write = if resign { elector.resign(now) } else { elector.next_write(now) };
                    placer.pending_write = write.map(|write| (write, None));
                }
            }
            Step::CompleteWrite(at) => {
                for step in
                    [Step::SendWrite(*at), Step::ApplyWrite(*at), Step::ReceiveAnswer(*at, true)]
                {
                    self.step(&step);
                }
            }
            Step::ApplyWrite(at) => {
                if self.placers[at % count].era != self.era {
                    // The write refers to the object of an era that has ended.
                } else if let Some((write, None)) = self.placers[at % count].pending_write.clone() {
                    let applied = self.apply(&write);
                    self.placers[at % count].pending_write = Some((write, Some(applied)));
                }
            }
            Step::ReceiveAnswer(at, received) => {
                let at = at % count;
                let Some((write, applied)) = self.placers[at].pending_write.take() else {
                    return;
                };
                let now = self.placers[at].now(self.time);
                match applied {
                    Some(true) if *received => {
                        let version = self.version;
                        // The answer contains the version of the write, which is the object's
                        // version unless others have written since; in that case only reading back
                        // is modelled.
                        if self.object.as_ref().is_some_and(|(_, lease)| *lease == write.lease) {
                            self.placers[at].newest = version;
                            self.placers[at].elector.on_applied(now, version, &write);
                        } else {
                            self.read_back(at, &write);
                        }
                    }
                    Some(_) => self.read_back(at, &write),
                    None => {
                        self.read_back(at, &write);
                        self.abandoned.push(write);
                    }
                }
            }
            Step::ApplyLate(at) => {
                if !self.abandoned.is_empty() {
                    let write = self.abandoned.swap_remove(at % self.abandoned.len());
                    self.apply(&write);
                }
            }
        }
    }

    fn holders(&self) -> Vec<(usize, u64)> {
        let held = self.placers.iter().enumerate().filter_map(|(at, placer)| {
            let term = placer.elector.term(placer.now(self.time))?;
            Some((at, term))
        });
        held.collect()
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1_u64..25).prop_map(Step::Advance),
        3 => (200_u64..1100).prop_map(Step::Advance),
        4 => (0..3_usize).prop_map(Step::Read),
        4 => (0..3_usize).prop_map(Step::SendRead),
        4 => (0..3_usize, 0..2_usize)
            .prop_map(|(at, versions_back)| Step::AnswerRead(at, versions_back)),
        4 => (0..3_usize).prop_map(Step::ReceiveRead),
        6 => (0..3_usize).prop_map(Step::SendWrite),
        6 => (0..3_usize).prop_map(Step::CompleteWrite),
        6 => (0..3_usize).prop_map(Step::ApplyWrite),
        5 => (0..3_usize, any::<bool>())
            .prop_map(|(at, received)| Step::ReceiveAnswer(at, received)),
        2 => (0..4_usize).prop_map(Step::ApplyLate),
        1 => (0..3_usize).prop_map(Step::Resign),
        1 => Just(Step::Restore),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Three placers, whose clocks deviate by up to `MAX_DRIFT_PERCENT`, acquire, renew, resign,
    /// let the lease expire and are paused. Writes and their answers are lost or delayed, reads are
    /// slow and return former values, and the platform is restored from older states. At no time do
    /// two placers consider themselves the holder, and no fencing token is used by two placers or
    /// after a higher one.
    #[test]
    fn at_most_one_holder(
        rates in proptest::collection::vec(
            1000 - u64::from(MAX_DRIFT_PERCENT) * 10..=1000 + u64::from(MAX_DRIFT_PERCENT) * 10,
            3,
        ),
        steps in proptest::collection::vec(step(), 1..300),
    ) {
        let mut world = World::new(&rates);
        let mut terms: BTreeMap<u64, usize> = BTreeMap::new();
        let mut highest = 0;
        for step in &steps {
            world.step(step);
            let holders = world.holders();
            prop_assert!(holders.len() <= 1, "several holders: {holders:?}");
            for (at, term) in holders {
                prop_assert!(term >= highest, "term {} after {}", term, highest);
                highest = term;
                prop_assert_eq!(*terms.entry(term).or_insert(at), at, "term {} used twice", term);
            }
        }
    }
}

/// The holder is killed. Another placer that keeps reading the object acquires the lease one drift
/// after its duration, under a higher term. It neither waits forever nor depends on a clock that it
/// cannot read.
#[test]
fn killed_holder_is_replaced() {
    let mut world = World::new(&[1000, 1000]);
    for step in [
        Step::Read(0),
        Step::SendWrite(0),
        Step::ApplyWrite(0),
        Step::ReceiveAnswer(0, true),
        Step::Read(1),
    ] {
        world.step(&step);
    }
    assert_eq!(world.holders(), [(0, 1)]);
    let wait = LEASE_DURATION.as_millis() as u64 * u64::from(100 + MAX_DRIFT_PERCENT) / 100;
    for step in [Step::Advance(wait - 1), Step::Read(1), Step::SendWrite(1)] {
        world.step(&step);
    }
    assert!(world.placers[1].pending_write.is_none());
    for step in
        [Step::Advance(1), Step::SendWrite(1), Step::ApplyWrite(1), Step::ReceiveAnswer(1, true)]
    {
        world.step(&step);
    }
    assert_eq!(world.holders(), [(1, 2)]);
}

/// The holder's clock is as slow as allowed and its rival's as fast. The rival, which read the
/// object in the moment it was written, acquires the lease as early as it may; by then the holder
/// has stopped, although nothing notified it.
#[test]
fn drifting_clocks_cause_no_overlap() {
    let drift = u64::from(MAX_DRIFT_PERCENT) * 10;
    let mut world = World::new(&[1000 - drift, 1000 + drift]);
    for step in [
        Step::Read(0),
        Step::SendWrite(0),
        Step::ApplyWrite(0),
        Step::ReceiveAnswer(0, true),
        Step::Read(1),
    ] {
        world.step(&step);
    }
    while world.placers[1].pending_write.is_none() {
        world.step(&Step::Advance(1));
        world.step(&Step::SendWrite(1));
        assert!(world.time < 2 * LEASE_DURATION.as_millis() as u64);
    }
    world.step(&Step::ApplyWrite(1));
    world.step(&Step::ReceiveAnswer(1, true));
    assert_eq!(world.holders(), [(1, 2)]);
}

/// A rival's read is in flight for two fifths of the lease and returns what the holder wrote just
/// before the answer. If the rival measured from when it sent the read, it would acquire the lease
/// while the holder, whose later writes were lost, could act for that much longer.
#[test]
fn slow_read_does_not_age_the_lease() {
    let mut world = World::new(&[1000, 1000]);
    for step in
        [Step::Read(0), Step::SendWrite(0), Step::ApplyWrite(0), Step::ReceiveAnswer(0, true)]
    {
        world.step(&step);
    }
    for step in [Step::SendRead(1), Step::Advance(400), Step::SendWrite(0), Step::ApplyWrite(0)] {
        world.step(&step);
    }
    for step in [Step::AnswerRead(1, 0), Step::ReceiveRead(1), Step::ReceiveAnswer(0, true)] {
        world.step(&step);
    }
    while world.placers[1].pending_write.is_none() {
        world.step(&Step::Advance(5));
        world.step(&Step::SendWrite(1));
        assert!(world.time < 3 * LEASE_DURATION.as_millis() as u64);
    }
    assert_eq!(world.holders(), [], "at {}", world.time);
}

/// The platform is unreachable for all placers for ten seconds. The holder continues as long as the
/// others report the outage, and the placer that reaches the platform first does not acquire the
/// lease before the holder can have noticed.
#[test]
fn holder_continues_through_a_platform_outage() {
    let ms = Duration::from_millis;
    let name = |at: &str| Holder { address: at.to_string(), incarnation: 1 };
    let (mut holder, mut rival) =
        (Elector::new(name("a"), LEASE_DURATION), Elector::new(name("b"), LEASE_DURATION));
    holder.on_read(ms(0), None);
    let write = holder.next_write(ms(0)).expect("a free lease");
    holder.on_applied(ms(5), 1, &write);
    rival.on_read(ms(10), Some((1, write.lease.clone())));
    // The outage starts at 100; the rival's report arrives every 250 and is valid for 400.
    for at in (100..10_000).step_by(250) {
        holder.extend(ms(at), ms(at + 400));
        assert!(holder.term(ms(at + 249)).is_some(), "at {at}");
    }
    // The rival reaches the platform again at 10,000: its last report expires at 10,250 at the
    // latest.
    rival.on_platform_return(ms(10_000));
    assert!(holder.term(ms(10_300)).is_none());
    for at in (10_000..11_000).step_by(50) {
        assert!(rival.next_write(ms(at)).is_none(), "at {at}");
    }
    assert!(rival.next_write(ms(11_020)).is_some());
}

/// A holder that was suspended during the outage resumes after its lease and the reports of the
/// others have expired. Another placer may hold the lease by then, so later reports must not extend
/// it.
#[test]
fn expired_lease_is_not_extended() {
    let ms = Duration::from_millis;
    let me = Holder { address: "a".to_string(), incarnation: 1 };
    let mut holder = Elector::new(me, LEASE_DURATION);
    holder.on_read(ms(0), None);
    let write = holder.next_write(ms(0)).expect("a free lease");
    holder.on_applied(ms(5), 1, &write);
    holder.extend(ms(500), ms(1_200));
    assert!(holder.term(ms(1_100)).is_some());
    holder.extend(ms(1_300), ms(1_700));
    assert!(holder.term(ms(1_300)).is_none());
}

/// Larger daemons get a moment to acquire a free lease, counted from when it became free. A small
/// daemon must get that time from `free_since`, and it must not change with each read.
#[test]
fn free_since_is_when_the_lease_became_free() {
    let ms = Duration::from_millis;
    let name = |at: &str| Holder { address: at.to_string(), incarnation: 1 };
    let mut rival = Elector::new(name("b"), LEASE_DURATION);
    assert_eq!(rival.free_since(ms(5)), None, "no read yet");
    rival.on_read(ms(10), None);
    rival.on_read(ms(30), None);
    assert_eq!(rival.free_since(ms(40)), Some(ms(10)));
    let lease =
        Lease { holder: Some(name("a")), term: 1, renewal: 1, duration_ms: 1_000, handover: None };
    rival.on_read(ms(50), Some((1, lease.clone())));
    assert_eq!(rival.free_since(ms(1_059)), None, "the lease has not expired");
    assert_eq!(rival.free_since(ms(1_500)), Some(ms(1_060)));
    rival.on_read(ms(1_600), Some((2, Lease { holder: None, renewal: 2, ..lease })));
    assert_eq!(rival.free_since(ms(1_700)), Some(ms(1_600)));
}

/// Guards against a lease that is taken for absent because its handover is of another release.
#[test]
fn lease_is_readable_whatever_its_handover() {
    let told = Handover::default().including([Key { id: "i-0".to_string(), born: 7 }]);
    let lease =
        Lease { holder: None, term: 3, renewal: 4, duration_ms: 1_000, handover: Some(told) };
    let silent = Lease { handover: None, ..lease.clone() };
    let encoded = json!(lease);
    assert_eq!(Lease::deserialize(&encoded).ok(), Some(lease));
    for handover in [json!(null), json!([1]), json!({"engines": {"i-0": ["x"]}})] {
        let mut other = encoded.clone();
        other["handover"] = handover;
        assert_eq!(Lease::deserialize(&other).ok().as_ref(), Some(&silent), "{other}");
    }
    let older = json!({"holder": null, "term": 3, "renewal": 4, "duration_ms": 1000});
    assert_eq!(Lease::deserialize(&older).ok().as_ref(), Some(&silent));
    assert_eq!(json!(silent), older);
}

/// Guards against a holder that does not read what the one before has told, and against a renewal
/// that removes it.
#[test]
fn writes_keep_the_handover_that_was_read() {
    let ms = Duration::from_millis;
    let name = |at: &str| Holder { address: at.to_string(), incarnation: 1 };
    let told = Handover::default().including([Key { id: "i-0".to_string(), born: 7 }]);
    let handover = Some(told.clone());
    let lease =
        Lease { holder: Some(name("a")), term: 1, renewal: 1, duration_ms: 1_000, handover };
    let mut elector = Elector::new(name("b"), LEASE_DURATION);
    elector.on_read(ms(0), Some((1, lease)));
    let write = elector.next_write(ms(1_100)).expect("the lease is free");
    assert_eq!(write.lease.handover.as_ref(), Some(&told));
    elector.on_applied(ms(1_110), 2, &write);
    let renewal = elector.renewal(ms(1_200)).expect("the lease is held");
    assert_eq!(renewal.lease.handover.as_ref(), Some(&told));
    let returned = elector.resign(ms(1_300)).expect("the lease is held");
    assert_eq!(returned.lease.handover.as_ref(), Some(&told));
}
