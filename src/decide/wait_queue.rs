//! Wait queue of a daemon: requests that wait for an endpoint.
//!
//! Load pattern: a burst of less urgent work arrives before urgent work, or more requests arrive
//! than can be answered on time. Ordered by arrival alone, urgent requests would be late behind work
//! that can wait, and every request would be late as soon as the first one is.
//!
//! Requests are ordered by priority, by the priority of their route, by how far their team exceeds
//! its fair share of work (`share`), by whether they can still be answered on time, and by arrival.
//! Requests that are late are served by the capacity that those on time leave free, so that they make
//! no others late. All requests of one class (same requirements for an endpoint) share one order.
//!
//! The fair share precedes lateness: with one of 16 teams at 30 times its usual load
//! (tests/decide_wait_load, 64 daemons), 1.00 of the long requests of the other teams are then served
//! and 0.85 are on time, 0.95 and 0.79 in the opposite order, as most requests of the large team on
//! arrival are not late. With equal teams there is no difference beyond 0.03.
//!
//! Classes whose requests wait for the same model are one pool: an endpoint at which a slot becomes
//! free concerns only the pools of its models. The ranks of a class are kept in a tree that tells
//! positions, as brokers with half a core may have thousands of waiting requests.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use indexset::BTreeSet as RankedSet;

use crate::table::RequestId;

/// Request class: hash of service, model and adapter.
pub type Class = u64;

/// Hash of service and model.
pub type Pool = u64;

/// Ranks in one node of a class's tree. Most classes have few requests.
const NODE_SIZE: usize = 64;

/// What decides on a request's place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Priority of its route, which orders requests of equal priority.
    pub route_priority: u8,
    /// How far its team exceeded its fair share when it arrived here; 0 is within it.
    pub share: u8,
    /// From when on its answer can't be on time.
    pub late_from: Duration,
    /// When it arrived.
    pub arrived_at: Duration,
}

impl Place {
    /// Returns its sort key.
    pub fn rank(&self, now: Duration, id: RequestId) -> Rank {
        Rank::new(now, self, id)
    }

    /// Returns whether it precedes the place of a request of another daemon.
    pub fn precedes(&self, now: Duration, other: &Self) -> bool {
        self.rank(now, 0) < other.rank(now, 0)
    }
}

/// Sort key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: u8,
    route_priority: u8,
    share: u8,
    is_late: bool,
    arrived_at: Duration,
    id: RequestId,
}

impl Rank {
    fn new(now: Duration, place: &Place, id: RequestId) -> Self {
        Rank {
            priority: place.priority,
            route_priority: place.route_priority,
            share: place.share,
            is_late: now >= place.late_from,
            arrived_at: place.arrived_at,
            id,
        }
    }
}

#[derive(Debug)]
struct Row<T> {
    class: Class,
    place: Place,
    rank: Rank,
    value: T,
}

#[derive(Debug)]
struct ClassRow {
    pool: Pool,
    ranks: RankedSet<Rank>,
}

/// Requests in order, each with a value of the caller's choice.
#[derive(Debug)]
pub struct Queue<T> {
    rows: HashMap<RequestId, Row<T>>,
    classes: HashMap<Class, ClassRow>,
    pools: HashMap<Pool, HashSet<Class>>,
    /// Requests that are not late, by when they will be.
    on_time: BTreeSet<(Duration, RequestId)>,
    /// Classes whose first request may be sent at a known time, by that time.
    scheduled: BTreeSet<(Duration, Class)>,
    scheduled_at: HashMap<Class, Duration>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Queue {
            rows: HashMap::new(),
            classes: HashMap::new(),
            pools: HashMap::new(),
            on_time: BTreeSet::new(),
            scheduled: BTreeSet::new(),
            scheduled_at: HashMap::new(),
        }
    }
}

impl<T> Queue<T> {
    /// Adds a request of a class, which belongs to `pool`.
    pub fn push(
        &mut self,
        now: Duration,
        id: RequestId,
        (pool, class): (Pool, Class),
        place: Place,
        value: T,
    ) {
        let rank = Rank::new(now, &place, id);
        if !rank.is_late {
            self.on_time.insert((place.late_from, id));
        }
        let row = self.classes.entry(class).or_insert_with(|| {
            self.pools.entry(pool).or_default().insert(class);
            ClassRow { pool, ranks: RankedSet::with_maximum_node_size(NODE_SIZE) }
        });
        row.ranks.insert(rank);
        self.rows.insert(id, Row { class, place, rank, value });
    }

    /// Removes a request and returns its value.
    pub fn remove(&mut self, id: RequestId) -> Option<T> {
        let row = self.rows.remove(&id)?;
        self.on_time.remove(&(row.place.late_from, id));
        if let Some(class_row) = self.classes.get_mut(&row.class) {
            class_row.ranks.remove(&row.rank);
            if class_row.ranks.is_empty() {
                let pool = class_row.pool;
                self.classes.remove(&row.class);
                self.remove_from_pool(pool, row.class);
            }
        }
        Some(row.value)
    }

    fn remove_from_pool(&mut self, pool: Pool, class: Class) {
        if let Some(classes) = self.pools.get_mut(&pool) {
            classes.remove(&class);
            if classes.is_empty() {
                self.pools.remove(&pool);
            }
        }
    }

    /// Moves the requests that have become late behind those that can still be on time.
    pub fn advance(&mut self, now: Duration) {
        while let Some((late_from, id)) = self.on_time.first().copied()
            && late_from <= now
        {
            self.on_time.pop_first();
            let Some(row) = self.rows.get_mut(&id) else {
                continue;
            };
            let rank = Rank::new(now, &row.place, id);
            let previous = std::mem::replace(&mut row.rank, rank);
            if let Some(class_row) = self.classes.get_mut(&row.class) {
                class_row.ranks.remove(&previous);
                class_row.ranks.insert(rank);
            }
        }
    }

    /// Returns the number of waiting requests of a class that precede a new one with this place.
    pub fn ahead(&self, now: Duration, class: Class, place: &Place) -> usize {
        let rank = Rank::new(now, place, RequestId::MIN);
        self.classes.get(&class).map_or(0, |row| row.ranks.rank(&rank))
    }

    /// Returns the number of requests of its class that precede a waiting request.
    pub fn position(&self, id: RequestId) -> Option<usize> {
        let row = self.rows.get(&id)?;
        Some(self.classes.get(&row.class)?.ranks.rank(&row.rank))
    }

    /// Returns the first request of a class.
    pub fn first(&self, class: Class) -> Option<(Rank, &T)> {
        let rank = self.classes.get(&class)?.ranks.first()?;
        Some((*rank, &self.rows.get(&rank.id)?.value))
    }

    /// Returns the place of the request of a class at this position.
    pub fn place(&self, class: Class, position: usize) -> Option<&Place> {
        let rank = self.classes.get(&class)?.ranks.get_index(position)?;
        Some(&self.rows.get(&rank.id)?.place)
    }

    /// Returns the pool of a class of which requests wait.
    pub fn pool(&self, class: Class) -> Option<Pool> {
        self.classes.get(&class).map(|row| row.pool)
    }

    /// Returns the last request of a class.
    pub fn last(&self, class: Class) -> Option<&T> {
        let rank = self.classes.get(&class)?.ranks.last()?;
        Some(&self.rows.get(&rank.id)?.value)
    }

    /// Returns the number of waiting requests of a class.
    pub fn count(&self, class: Class) -> usize {
        self.classes.get(&class).map_or(0, |row| row.ranks.len())
    }

    /// Returns the classes of the waiting requests.
    pub fn classes(&self) -> impl Iterator<Item = Class> {
        self.classes.keys().copied()
    }

    /// Returns the classes of the waiting requests of a pool.
    pub fn classes_of(&self, pool: Pool) -> impl Iterator<Item = Class> {
        self.pools.get(&pool).into_iter().flatten().copied()
    }

    /// Returns the requests of a class in order.
    pub fn rows(&self, class: Class) -> impl Iterator<Item = (RequestId, &T)> {
        self.places(class).map(|(id, _, value)| (id, value))
    }

    /// Returns the requests of a class in order, with their places.
    pub fn places(&self, class: Class) -> impl Iterator<Item = (RequestId, &Place, &T)> {
        let ranks = self.classes.get(&class).into_iter().flat_map(|row| row.ranks.iter());
        let row = |id| self.rows.get(&id).map(|row| (id, &row.place, &row.value));
        ranks.filter_map(move |rank| row(rank.id))
    }

    /// Records that the first request of a class may be sent at `due`, unless an earlier time is
    /// recorded.
    pub fn schedule(&mut self, class: Class, due: Duration) {
        if let Some(earlier) = self.scheduled_at.get(&class) {
            if *earlier <= due {
                return;
            }
            self.scheduled.remove(&(*earlier, class));
        }
        self.scheduled_at.insert(class, due);
        self.scheduled.insert((due, class));
    }

    /// Returns when the first of the scheduled classes is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.scheduled.first().map(|(due, _)| *due)
    }

    /// Returns the scheduled classes that are due, and forgets their times.
    pub fn take_due(&mut self, now: Duration) -> Vec<Class> {
        let mut classes = Vec::new();
        while let Some((due, class)) = self.scheduled.first().copied()
            && due <= now
        {
            self.scheduled.pop_first();
            self.scheduled_at.remove(&class);
            classes.push(class);
        }
        classes
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
