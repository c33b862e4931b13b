//! What daemons without a broker tell each other to order waiting requests.
//!
//! Load pattern: with few daemons each decides alone. A daemon whose requests end takes each slot that
//! becomes free for its own requests, although more urgent ones wait at another daemon, which does
//! not even learn that a slot is free before one of its own requests is answered.
//!
//! While requests wait, a daemon states in each gossip round which ones, by class, as a sample of
//! their places and positions (`Summary`). A daemon that has a free slot compares its first request
//! with the first ones of the others. If another daemon's precedes, the slot is offered to that
//! daemon and counts as taken until the daemon has used or declined it, or `OFFER_TIMEOUT` has
//! passed. A daemon that answers no offer is offered none for some time, and a slot whose offer has
//! expired goes to a request of this daemon. So a slot is kept free for a daemon
//! that is gone for less than one gossip round.
//!
//! What is lost or outdated is taken as not waiting: the order is then only local. Statements carry
//! all that they are about, so that a repeated one changes nothing.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::Hash;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::decide::wait_queue::Class;
use crate::decide::wait_queue::Place;
use crate::decide::wait_queue::Pool;
use crate::decide::wait_queue::Queue;

/// Positions of a class's waiting requests of which the places are stated, beside the last one. A
/// position between two of them is known to within a third.
const POSITIONS: [usize; 15] = [0, 1, 2, 3, 4, 6, 8, 11, 15, 20, 27, 36, 48, 64, 85];
/// Time after which a statement counts no more: two gossip rounds and a delay.
pub const SUMMARY_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which a slot is kept free for another daemon that has not answered: the round trip
/// between regions is 60 ms, and its loop may be late by as much. Less than half of a gossip round.
pub const OFFER_TIMEOUT: Duration = Duration::from_millis(120);
/// Time for which a daemon that has left an offer without an answer is offered none, longer than its
/// statements count. It doubles with each further such time, as a daemon may be heard that does not
/// hear this one.
const MIN_SILENCE: Duration = Duration::from_millis(700);
const MAX_MISSES: u32 = 4;
/// Arrivals of different daemons that differ by less are not ordered: it costs the slot the time of
/// an offer.
const ARRIVAL_TOLERANCE: Duration = Duration::from_millis(250);
/// Classes remembered of one daemon, those of a few datagrams.
const MAX_CLASSES: usize = 64;
/// Offers of one daemon whose numbers are remembered, to find repeated datagrams.
const MAX_OFFERS: usize = 256;
/// Upper bound of ages and times in a statement.
const MAX_SPAN: Duration = Duration::from_secs(600);

/// Tells the order of the statements of one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Start of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of the message in this process.
    pub number: u32,
}

/// The place of a waiting request, as sent to another daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    position: u32,
    priority: u8,
    route_priority: u8,
    share: u8,
    /// Time until it is late; 0 if it is.
    late_in_ms: u32,
    /// Time since its arrival.
    age_ms: u32,
}

/// The waiting requests of a class, as sent to another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    class: Class,
    pool: Pool,
    /// Number of waiting requests.
    count: u32,
    /// Requests that complete and arrive per 1,000 seconds.
    completions: u32,
    arrivals: u32,
    /// Places in order: the first one, the last one and some between.
    samples: Vec<Sample>,
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn span(millis: u32) -> Duration {
    Duration::from_millis(millis.into()).min(MAX_SPAN)
}

/// Returns the statement about a class of which requests wait. `completions` and `arrivals` are those
/// per second.
pub fn summary<T>(
    now: Duration,
    queue: &Queue<T>,
    class: Class,
    completions: f64,
    arrivals: f64,
) -> Option<Summary> {
    let count = queue.count(class);
    let positions = POSITIONS.into_iter().filter(|position| position + 1 < count);
    let samples = positions.chain(count.checked_sub(1)).filter_map(|position| {
        let place = queue.place(class, position)?;
        Some(Sample {
            position: position as u32,
            priority: place.priority,
            route_priority: place.route_priority,
            share: place.share,
            late_in_ms: millis(place.late_from.saturating_sub(now)),
            age_ms: millis(now.saturating_sub(place.arrived_at)),
        })
    });
    let per_1000 = |rate: f64| (rate * 1_000.0) as u32;
    Some(Summary {
        class,
        pool: queue.pool(class)?,
        count: count as u32,
        completions: per_1000(completions),
        arrivals: per_1000(arrivals),
        samples: samples.collect(),
    })
}

/// Waiting requests of a class at another daemon.
#[derive(Debug)]
struct Waiting {
    pool: Pool,
    number: u32,
    until: Duration,
    count: usize,
    /// Number of requests that have been offered a slot since.
    offered: usize,
    completions: f64,
    arrivals: f64,
    places: Vec<(usize, Place)>,
}

impl Waiting {
    /// Returns the place of the first request that has not been offered a slot, as far as known: at
    /// the latest stated position before it.
    fn first(&self) -> Option<&Place> {
        if self.offered >= self.count {
            return None;
        }
        let known = self.places.iter().rev().find(|(position, _)| *position <= self.offered);
        known.map(|(_, place)| place)
    }

    /// Returns the number of requests that precede one with this place.
    fn ahead(&self, now: Duration, place: &Place) -> usize {
        let follower = self.places.iter().find(|(_, other)| place.precedes(now, other));
        let ahead = follower.map_or(self.count, |(position, _)| *position);
        ahead.saturating_sub(self.offered)
    }
}

#[derive(Debug, Default)]
struct Peer {
    incarnation: u64,
    classes: HashMap<Class, Waiting>,
    /// How often in succession it has left offers without an answer.
    misses: u32,
    /// Until when it is offered no slots, as it may not receive them.
    silent_until: Duration,
    /// Numbers of its last offers.
    offers: VecDeque<u32>,
}

/// A slot that is kept free for another daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer<D, K> {
    /// The daemon.
    pub to: D,
    /// The endpoint.
    pub endpoint: K,
    /// Number of the offer.
    pub number: u32,
    class: Class,
    until: Duration,
}

/// What is waiting at all daemons by their statements.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Total {
    /// Daemons at which requests of the class wait.
    pub daemons: usize,
    /// Requests that wait there.
    pub count: usize,
    /// Requests of the class that complete there per second.
    pub completions: f64,
    /// Requests of the class that arrive there per second.
    pub arrivals: f64,
}

/// Requests that wait at other daemons, and the slots offered to them.
#[derive(Debug)]
pub struct Exchange<D, K> {
    peers: HashMap<D, Peer>,
    offers: Vec<Offer<D, K>>,
    next_number: u32,
}

impl<D, K> Default for Exchange<D, K> {
    fn default() -> Self {
        Exchange { peers: HashMap::new(), offers: Vec::new(), next_number: 1 }
    }
}

impl<D: Clone + Eq + Hash + Ord, K: Clone + Eq> Exchange<D, K> {
    /// Returns the number of the next message of this daemon.
    pub fn take_number(&mut self) -> u32 {
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        number
    }

    /// Returns the peer that sent a message, unless the message is of an earlier process.
    fn peer(&mut self, from: D, stamp: Stamp) -> Option<&mut Peer> {
        let peer = self.peers.entry(from).or_default();
        if stamp.incarnation > peer.incarnation {
            *peer = Peer { incarnation: stamp.incarnation, ..Peer::default() };
        }
        (stamp.incarnation == peer.incarnation).then_some(peer)
    }

    /// Records which requests wait at another daemon.
    pub fn on_summaries(&mut self, now: Duration, from: D, stamp: Stamp, rows: Vec<Summary>) {
        let Some(peer) = self.peer(from, stamp) else {
            return;
        };
        peer.classes.retain(|_, row| now < row.until);
        for row in rows {
            let is_old =
                peer.classes.get(&row.class).is_some_and(|known| stamp.number <= known.number);
            if is_old {
                continue;
            }
            if peer.classes.len() >= MAX_CLASSES && !peer.classes.contains_key(&row.class) {
                break;
            }
            let place = |sample: &Sample| Place {
                priority: sample.priority,
                route_priority: sample.route_priority,
                share: sample.share,
                late_from: now + span(sample.late_in_ms),
                arrived_at: now.saturating_sub(span(sample.age_ms)),
            };
            let places = row.samples.iter().map(|sample| (sample.position as usize, place(sample)));
            let waiting = Waiting {
                pool: row.pool,
                number: stamp.number,
                until: now + SUMMARY_TIMEOUT,
                count: row.count as usize,
                offered: 0,
                completions: f64::from(row.completions) / 1_000.0,
                arrivals: f64::from(row.arrivals) / 1_000.0,
                places: places.collect(),
            };
            peer.classes.insert(row.class, waiting);
        }
    }

    /// Returns whether requests wait at another daemon.
    pub fn has_waiting(&self, now: Duration) -> bool {
        self.peers.values().any(|peer| peer.classes.values().any(|row| now < row.until))
    }

    /// Returns the daemon and the class of the request of a pool that is first among those of other
    /// daemons. If `own` is given, only one that precedes it.
    pub fn first(&self, now: Duration, pool: Pool, own: Option<&Place>) -> Option<(D, Class)> {
        let own = own.map(|place| Place {
            arrived_at: place.arrived_at.saturating_sub(ARRIVAL_TOLERANCE),
            ..*place
        });
        let peers = self.peers.iter().filter(|(_, peer)| peer.silent_until <= now);
        let rows = peers.flat_map(|(daemon, peer)| {
            peer.classes.iter().map(move |(class, row)| (daemon, *class, row))
        });
        let rows = rows.filter(|(.., row)| row.pool == pool && now < row.until);
        let rows = rows.filter_map(|(daemon, class, row)| Some((row.first()?, daemon, class)));
        let preceding =
            rows.filter(|(place, ..)| own.as_ref().is_none_or(|own| place.precedes(now, own)));
        let first = preceding
            .min_by_key(|(place, daemon, class)| (place.rank(now, 0), (*daemon).clone(), *class))?;
        Some((first.1.clone(), first.2))
    }

    fn class(&self, now: Duration, class: Class) -> impl Iterator<Item = &Waiting> {
        let rows = self.peers.values().filter_map(move |peer| peer.classes.get(&class));
        rows.filter(move |row| now < row.until)
    }

    /// Returns how many requests of a class at other daemons precede one with this place.
    pub fn ahead(&self, now: Duration, class: Class, place: &Place) -> usize {
        self.class(now, class).map(|row| row.ahead(now, place)).sum()
    }

    /// Returns what waits of a class at other daemons.
    pub fn total(&self, now: Duration, class: Class) -> Total {
        self.class(now, class).fold(Total::default(), |sum, row| Total {
            daemons: sum.daemons + 1,
            count: sum.count + row.count.saturating_sub(row.offered),
            completions: sum.completions + row.completions,
            arrivals: sum.arrivals + row.arrivals,
        })
    }

    /// Keeps a slot free for the first request of a class at another daemon, and returns the number
    /// of the offer.
    pub fn offer(&mut self, now: Duration, to: D, class: Class, endpoint: K) -> u32 {
        let number = self.take_number();
        let row = self.peers.get_mut(&to).and_then(|peer| peer.classes.get_mut(&class));
        if let Some(row) = row {
            row.offered += 1;
        }
        self.offers.push(Offer { to, endpoint, number, class, until: now + OFFER_TIMEOUT });
        number
    }

    /// Ends the oldest offer of an endpoint to a daemon, which has sent a request there. Returns
    /// whether there was one.
    pub fn on_used(&mut self, from: &D, endpoint: &K) -> bool {
        let is_it = |offer: &Offer<D, K>| offer.to == *from && offer.endpoint == *endpoint;
        let index = self.offers.iter().position(is_it);
        self.end(from, index).is_some()
    }

    /// Ends an offer that its daemon has answered.
    fn end(&mut self, from: &D, index: Option<usize>) -> Option<Offer<D, K>> {
        let offer = self.offers.remove(index?);
        if let Some(peer) = self.peers.get_mut(from) {
            peer.misses = 0;
        }
        Some(offer)
    }

    /// Ends an offer that its daemon has no use for, and returns the endpoint. The daemon is offered
    /// no more for this class until it states again that requests wait.
    pub fn on_declined(&mut self, from: &D, number: u32) -> Option<K> {
        let is_it = |offer: &Offer<D, K>| offer.to == *from && offer.number == number;
        let index = self.offers.iter().position(is_it);
        let offer = self.end(from, index)?;
        let peer = self.peers.get_mut(from);
        if let Some(row) = peer.and_then(|peer| peer.classes.get_mut(&offer.class)) {
            row.offered = row.count;
        }
        Some(offer.endpoint)
    }

    /// Removes and returns the offers that were not answered in time, and what waits at their
    /// daemons: they may be gone.
    pub fn take_expired(&mut self, now: Duration) -> Vec<Offer<D, K>> {
        let expired: Vec<_> = self.offers.extract_if(.., |offer| offer.until <= now).collect();
        let daemons: HashSet<&D> = expired.iter().map(|offer| &offer.to).collect();
        for daemon in daemons {
            if let Some(peer) = self.peers.get_mut(daemon) {
                peer.classes.clear();
                peer.misses = (peer.misses + 1).min(MAX_MISSES);
                peer.silent_until = now + MIN_SILENCE * 2_u32.pow(peer.misses - 1);
            }
        }
        expired
    }

    /// Returns whether an offer of another daemon is received for the first time.
    pub fn on_offer(&mut self, from: D, stamp: Stamp) -> bool {
        let Some(peer) = self.peer(from, stamp) else {
            return false;
        };
        if peer.offers.contains(&stamp.number) {
            return false;
        }
        peer.offers.push_back(stamp.number);
        if peer.offers.len() > MAX_OFFERS {
            peer.offers.pop_front();
        }
        true
    }
}
