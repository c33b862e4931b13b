//! Order of waiting requests between daemons that have no broker.
//!
//! The decisions are those of `decide::exchange`. It concerns requests to model engines where the
//! configuration has teams, while there are so few daemons that each send is announced to all of them
//! (`peer::MAX_BROADCAST_PEERS`). In
//! each gossip round a daemon states which requests wait here, and while requests wait anywhere,
//! what it has charged teams with. Without waiting requests nothing is sent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use postcard::ser_flavors::Size;
use serde::Deserialize;
use serde::Serialize;

use crate::daemon::Daemon;
use crate::daemon::admission;
use crate::daemon::admission::Spec;
use crate::daemon::broker;
use crate::daemon::clock;
use crate::daemon::peer;
use crate::decide::exchange;
use crate::decide::exchange::Exchange;
use crate::decide::exchange::Stamp;
use crate::decide::exchange::Summary;
use crate::decide::exchange::Total;
use crate::decide::updates;
use crate::decide::wait_queue::Class;
use crate::decide::wait_queue::Place;
use crate::table::ServiceId;
use crate::table::TeamId;
use crate::table::instance::Key;

/// Datagrams about waiting requests, and about the teams of each service, in one gossip round to each
/// other daemon. What does not fit is ordered by each daemon alone.
const MAX_DATAGRAMS: usize = 2;
/// Bytes of a datagram for its stamp and the name of a service.
const STAMP_BYTES: usize = 80;
/// Teams of a service in one round, those with the most work.
const MAX_TEAMS: usize = 100;

/// A message about waiting requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests that wait at the sender.
    Waiting {
        /// Order among the sender's messages.
        stamp: Stamp,
        /// Those of each class.
        rows: Vec<Summary>,
    },
    /// Work that the sender has charged teams with, recent work counting more (`decide::share`).
    Charged {
        /// Order among the sender's messages.
        stamp: Stamp,
        /// The service.
        service: ServiceId,
        /// The work of each team in milliseconds of slot time.
        teams: Vec<(Option<TeamId>, u32)>,
    },
    /// A slot that has become free, for a request that waits at the recipient.
    Offered {
        /// Order among the sender's messages; its number is the number of the offer.
        stamp: Stamp,
        /// The endpoint.
        key: Key,
        /// Requests that the sender knows there, apart from this slot.
        load: u32,
    },
    /// The sender has no use for an offered slot. A slot that is used is announced with the prompt.
    Declined {
        /// Number of the offer.
        number: u32,
    },
}

/// How an offer of a slot has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The other daemon has sent a request.
    Used,
    /// It had no request for the slot.
    Declined,
    /// It did not answer.
    Expired,
}

/// What waits at other daemons, and the slots offered to them.
#[derive(Debug, Default)]
pub struct State {
    exchange: Exchange<SocketAddr, Key>,
    outcomes: HashMap<Outcome, u64>,
}

impl State {
    /// Returns the numbers of offers that have ended.
    pub fn outcomes(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.outcomes.iter().map(|(outcome, count)| (outcome.into(), *count))
    }

    fn count(&mut self, outcome: Outcome) {
        *self.outcomes.entry(outcome).or_default() += 1;
    }
}

/// Returns whether daemons order their waiting requests together: the configuration has teams whose
/// shares of the endpoints are to be fair, and there is no broker that knows all requests.
fn is_enabled(daemon: &Daemon) -> bool {
    let has_teams = daemon.config.borrow().as_ref().is_some_and(|config| config.teams.is_some());
    has_teams && !broker::is_needed(daemon)
}

/// Returns whether requests like this one wait in an order of all daemons.
fn is_shared(daemon: &Daemon, spec: &Spec) -> bool {
    spec.needs_broker() && is_enabled(daemon)
}

fn stamp(daemon: &Daemon) -> Stamp {
    let number = daemon.exchange.borrow_mut().exchange.take_number();
    Stamp { incarnation: daemon.started_at, number }
}

/// Returns what waits of a class at other daemons.
pub fn total(daemon: &Daemon, now: Duration, spec: &Spec, class: Class) -> Total {
    match is_shared(daemon, spec) {
        true => daemon.exchange.borrow().exchange.total(now, class),
        false => Total::default(),
    }
}

/// Returns how many requests of a class at other daemons precede one with this place.
pub fn ahead(daemon: &Daemon, now: Duration, spec: &Spec, class: Class, place: &Place) -> usize {
    match is_shared(daemon, spec) {
        true => daemon.exchange.borrow().exchange.ahead(now, class, place),
        false => 0,
    }
}

/// Offers a slot that a request of this daemon could use to another daemon, if a request that
/// precedes it waits there. Returns whether it has.
pub fn offer_before(
    daemon: &Rc<Daemon>,
    now: Duration,
    spec: &Spec,
    place: &Place,
    key: &Key,
) -> bool {
    if !is_shared(daemon, spec) {
        return false;
    }
    let pool = admission::pool(&spec.service, spec.model.as_deref());
    let first = daemon.exchange.borrow().exchange.first(now, pool, Some(place));
    if let Some((to, class)) = &first {
        offer(daemon, now, *to, *class, key);
    }
    first.is_some()
}

/// Offers a slot that no request of this daemon needs to another daemon at which requests wait for
/// a model of its endpoint.
pub fn offer_unused(daemon: &Rc<Daemon>, key: &Key, spec: &Spec) {
    let now = clock::now();
    if !is_shared(daemon, spec) || !daemon.exchange.borrow().exchange.has_waiting(now) {
        return;
    }
    let first = {
        let (fleet, state) = (daemon.fleet.borrow(), daemon.exchange.borrow());
        let Some(row) = fleet.get(key).filter(|_| fleet.has_room(now, key, spec.engine_service))
        else {
            return;
        };
        let models = row.instance.resident.iter().map(|resident| resident.model.as_str());
        let pools = models.map(|model| admission::pool(&spec.service, Some(model)));
        pools.filter_map(|pool| state.exchange.first(now, pool, None)).next()
    };
    if let Some((to, class)) = first {
        offer(daemon, now, to, class, key);
    }
}

fn offer(daemon: &Rc<Daemon>, now: Duration, to: SocketAddr, class: Class, key: &Key) {
    let number = daemon.exchange.borrow_mut().exchange.offer(now, to, class, key.clone());
    let load = daemon.fleet.borrow().get(key).map_or(0, |row| row.load(now));
    daemon.fleet.borrow_mut().offer_slot(key);
    let stamp = Stamp { incarnation: daemon.started_at, number };
    send(daemon, vec![to], Message::Offered { stamp, key: key.clone(), load });
}

fn send(daemon: &Rc<Daemon>, to: Vec<SocketAddr>, message: Message) {
    peer::spawn_send(daemon, to, peer::Message::Exchange(message));
}

/// Ends the offers that were not answered in time. A request of this daemon gets such a slot: if it
/// were offered again, it could be kept free for several daemons that are gone, one after another.
pub fn tick(daemon: &Rc<Daemon>, now: Duration) {
    let expired = daemon.exchange.borrow_mut().exchange.take_expired(now);
    for offer in expired {
        daemon.exchange.borrow_mut().count(Outcome::Expired);
        daemon.fleet.borrow_mut().end_offer(&offer.endpoint, false);
        admission::dispatch_own_at(daemon, &offer.endpoint);
    }
}

/// Tells the other daemons which requests wait here, and what teams have been charged with.
pub fn announce(daemon: &Rc<Daemon>) {
    let now = clock::now();
    let to = daemon.nodes.borrow().peers();
    let has_own = !daemon.queue.borrow().is_empty();
    let has_waiting = has_own || daemon.exchange.borrow().exchange.has_waiting(now);
    if !is_enabled(daemon) || to.is_empty() || !has_waiting {
        return;
    }
    if has_own {
        for rows in pack(admission::summaries(daemon, now)) {
            send(daemon, to.clone(), Message::Waiting { stamp: stamp(daemon), rows });
        }
    }
    let services: Vec<_> = {
        let shares = daemon.shares.borrow();
        let rows = |name: &ServiceId| shares.charged(now, name, MAX_TEAMS);
        shares.services().map(|name| (name.clone(), rows(name))).collect()
    };
    for (service, rows) in services {
        let millis = |seconds: f64| (seconds * 1_000.0) as u32;
        let teams = rows.into_iter().map(|(team, work)| (team, millis(work))).collect();
        for teams in pack(teams) {
            let (stamp, service) = (stamp(daemon), service.clone());
            send(daemon, to.clone(), Message::Charged { stamp, service, teams });
        }
    }
}

fn pack<T: Serialize>(rows: Vec<T>) -> impl Iterator<Item = Vec<T>> {
    let capacity = peer::MAX_DATAGRAM_BYTES - peer::RESERVED_BYTES - STAMP_BYTES;
    // A row that can't be encoded counts as larger than any datagram.
    let size = |row: &T| {
        postcard::serialize_with_flavor(row, Size::default()).unwrap_or(peer::MAX_DATAGRAM_BYTES)
    };
    updates::pack(rows, capacity, size).into_iter().take(MAX_DATAGRAMS)
}

/// Returns the statements about these classes of waiting requests. Each is given with the class by
/// which completions are counted.
pub fn summaries(daemon: &Daemon, now: Duration, classes: &[(Class, Class)]) -> Vec<Summary> {
    let (queue, completions) = (daemon.queue.borrow(), daemon.completions.borrow());
    let row = |(class, counted): &(Class, Class)| {
        let completed = completions.completion_rate(now, *counted);
        let arrived = completions.arrival_rate(now, *counted);
        exchange::summary(now, &queue, *class, completed, arrived)
    };
    classes.iter().filter_map(row).collect()
}

/// Handles the announcement that another daemon has sent a prompt to an endpoint, which may use a slot
/// that it was offered.
pub fn on_sent(daemon: &Daemon, from: SocketAddr, key: &Key) {
    let mut state = daemon.exchange.borrow_mut();
    if state.exchange.on_used(&from, key) {
        state.count(Outcome::Used);
        daemon.fleet.borrow_mut().end_offer(key, true);
    }
}

/// Handles a message of another daemon.
pub fn on_message(daemon: &Rc<Daemon>, message: Message, from: SocketAddr) {
    let now = clock::now();
    if !is_enabled(daemon) || daemon.nodes.borrow().region_of(from).is_none() {
        return;
    }
    match message {
        Message::Waiting { stamp, rows } => {
            daemon.exchange.borrow_mut().exchange.on_summaries(now, from, stamp, rows);
        }
        Message::Charged { stamp, service, teams } => {
            let rows = teams.into_iter().map(|(team, ms)| (team, f64::from(ms) / 1_000.0));
            let rows = rows.collect();
            daemon.shares.borrow_mut().on_charged(now, from, stamp, &service, rows);
        }
        Message::Offered { stamp, key, load } => on_offered(daemon, now, from, stamp, &key, load),
        Message::Declined { number } => {
            let key = daemon.exchange.borrow_mut().exchange.on_declined(&from, number);
            if let Some(key) = key {
                daemon.exchange.borrow_mut().count(Outcome::Declined);
                daemon.fleet.borrow_mut().end_offer(&key, false);
                // As in `tick`: the slot has been kept free once.
                admission::dispatch_own_at(daemon, &key);
            }
        }
    }
}

/// Sends a waiting request to an endpoint of which another daemon has offered a slot, or declines.
fn on_offered(
    daemon: &Rc<Daemon>,
    now: Duration,
    from: SocketAddr,
    stamp: Stamp,
    key: &Key,
    load_there: u32,
) {
    if !daemon.exchange.borrow_mut().exchange.on_offer(from, stamp) {
        return;
    }
    let load = || daemon.fleet.borrow().get(key).map(|row| row.load(now));
    let is_known = daemon.fleet.borrow_mut().accept_offer(key, load_there);
    let before = load();
    admission::dispatch_own_at(daemon, key);
    if load() <= before {
        // The other daemon will use the slot.
        if is_known {
            daemon.fleet.borrow_mut().expect_grant(key);
        }
        send(daemon, vec![from], Message::Declined { number: stamp.number });
    }
}
