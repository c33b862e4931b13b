//! Fair shares: ranks callers, teams and services by the work that they have received.
//!
//! Load pattern: one caller, team or service sends many times as many requests as the others. Without
//! this module a queue in order of arrival gives each as much as it requests, so that the heaviest
//! one takes nearly everything and the others miss their deadlines.
//!
//! A `Ledger` accounts for parties that share equally: the callers of a service in an entry
//! (`Shares`), the teams of a service in a daemon (`Teams`). The work received by each is a sum that halves every `HALF_LIFE_S`. Work is
//! what the accelerators spend: the seconds for which a request occupies a slot. A party that has received more than `OVER_SHARE_RATIO` times its fair share ranks behind those
//! that have not, by the logarithm of the ratio. This approximates max-min fairness without solving
//! for it. The ranks matter only among waiting requests: with spare capacity nobody is delayed.
//!
//! `HALF_LIFE_S` spans a few requests of the longest kind (about 10 s each), so that one long
//! request doesn't put its caller over its share. `OVER_SHARE_RATIO` tolerates random differences
//! between equal callers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::Duration;

use crate::config::service::Class;
use crate::decide::event::Job;
use crate::decide::exchange::Stamp;
use crate::table::CallerId;
use crate::table::ServiceId;
use crate::table::TeamId;

/// Half-life of received work, in seconds.
const HALF_LIFE_S: f64 = 15.0;
/// Multiple of its fair share above which a party is over it.
const OVER_SHARE_RATIO: f64 = 1.25;
/// Received work up to which a party counts as idle, in slot-seconds.
const MIN_WORK: f64 = 0.02;
/// Maximum number of parties of a ledger; beyond it those with the least received work are removed.
const MAX_PARTIES: usize = 4096;
/// Upper bound of the work of a team that another daemon is believed to have charged: a thousand
/// slots in use for many half-lives.
const MAX_STATED_WORK: f64 = 100_000.0;

/// Sum with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    value: f64,
    updated_s: f64,
}

impl Sum {
    fn get(&self, now: f64) -> f64 {
        self.value * 0.5_f64.powf((now - self.updated_s) / HALF_LIFE_S)
    }

    fn add(&mut self, now: f64, work: f64) {
        self.value = self.get(now) + work;
        self.updated_s = now;
    }
}

/// Work received by parties that share equally.
#[derive(Debug, Clone)]
pub struct Ledger<K> {
    total: Sum,
    rows: HashMap<K, Sum>,
}

impl<K> Default for Ledger<K> {
    fn default() -> Self {
        Ledger { total: Sum::default(), rows: HashMap::new() }
    }
}

impl<K: Clone + Eq + Hash> Ledger<K> {
    /// Adds `work` to what a party has received; negative if less was used than charged.
    pub fn charge(&mut self, now: Duration, party: &K, work: f64) {
        let now = now.as_secs_f64();
        self.total.add(now, work);
        match self.rows.get_mut(party) {
            Some(sum) => sum.add(now, work),
            None => {
                self.rows.insert(party.clone(), Sum { value: work, updated_s: now });
            }
        }
    }

    /// Returns how far a party exceeds its fair share; 0 is within it.
    pub fn rank(&self, now: Duration, party: &K) -> u8 {
        let now = now.as_secs_f64();
        let count = self.rows.len().max(1) as f64;
        let received = self.rows.get(party).map_or(0.0, |sum| sum.get(now));
        excess(received, self.total.get(now) / count)
    }

    /// Removes parties without recent work.
    pub fn tick(&mut self, now: Duration) {
        let now = now.as_secs_f64();
        self.rows.retain(|_, sum| sum.get(now) > MIN_WORK);
        if self.rows.len() > MAX_PARTIES {
            let mut sums: Vec<f64> = self.rows.values().map(|sum| sum.get(now)).collect();
            sums.sort_by(f64::total_cmp);
            let min_kept = sums[sums.len() - MAX_PARTIES];
            self.rows.retain(|_, sum| sum.get(now) >= min_kept);
        }
    }
}

/// Work that each team of a service has received.
#[derive(Debug, Clone, Default)]
struct TeamRow {
    /// Charged by this daemon.
    own: Ledger<Option<TeamId>>,
    /// Charged by all daemons, as far as known.
    all: Ledger<Option<TeamId>>,
}

/// Work charged by another daemon, as it was last stated.
#[derive(Debug, Clone, Default)]
struct Stated {
    incarnation: u64,
    /// Newest message about each service and team, and the work.
    rows: HashMap<ServiceId, HashMap<Option<TeamId>, (u32, Sum)>>,
}

/// Work received by the teams of each service. Slots of different services are different goods.
///
/// Daemons without a broker state to each other what they have charged (`decide::exchange`). A
/// statement replaces the earlier one of its daemon: only the difference is added, so that a
/// repeated or late datagram counts nothing twice. What a daemon that is gone has charged remains and
/// decays.
#[derive(Debug, Clone, Default)]
pub struct Teams {
    services: HashMap<ServiceId, TeamRow>,
    stated: HashMap<SocketAddr, Stated>,
}

impl Teams {
    /// Adds `work` to what a team, or the requests without one, have received of a service.
    pub fn charge(&mut self, now: Duration, service: &str, team: &Option<TeamId>, work: f64) {
        let row = self.service(service);
        row.own.charge(now, team, work);
        row.all.charge(now, team, work);
    }

    fn service(&mut self, name: &str) -> &mut TeamRow {
        if !self.services.contains_key(name) {
            self.services.insert(name.to_string(), TeamRow::default());
        }
        self.services.get_mut(name).expect("inserted above")
    }

    /// Replaces what a request was charged with at `sent_at` by what it has used.
    pub fn settle(
        &mut self,
        now: Duration,
        service: &str,
        team: &Option<TeamId>,
        sent_at: Duration,
        (charged, used): (f64, f64),
    ) {
        // The charge has decayed since. To subtract all of it would make the sum negative where much
        // more was charged than used.
        let charge = Sum { value: charged, updated_s: sent_at.as_secs_f64() };
        self.charge(now, service, team, used - charge.get(now.as_secs_f64()));
    }

    /// Returns how far a team exceeds its fair share of a service; 0 is within it.
    pub fn rank(&self, now: Duration, service: &str, team: &Option<TeamId>) -> u8 {
        self.services.get(service).map_or(0, |row| row.all.rank(now, team))
    }

    /// Returns the services of which teams have received work from this daemon.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let has_team = |row: &TeamRow| row.own.rows.keys().any(Option::is_some);
        self.services.iter().filter(move |(_, row)| has_team(row)).map(|(name, _)| name)
    }

    /// Returns the work that this daemon has charged the teams of a service with, in slot-seconds,
    /// at most `max_rows` teams with the most.
    pub fn charged(
        &self,
        now: Duration,
        service: &str,
        max_rows: usize,
    ) -> Vec<(Option<TeamId>, f64)> {
        let now = now.as_secs_f64();
        let rows = self.services.get(service).into_iter().flat_map(|row| &row.own.rows);
        let mut rows: Vec<_> = rows.map(|(team, sum)| (team.clone(), sum.get(now))).collect();
        rows.sort_by(|left, right| right.1.total_cmp(&left.1));
        rows.truncate(max_rows);
        rows
    }

    /// Records what another daemon has charged teams of a service with, by its own statement.
    pub fn on_charged(
        &mut self,
        now: Duration,
        from: SocketAddr,
        stamp: Stamp,
        service: &str,
        rows: Vec<(Option<TeamId>, f64)>,
    ) {
        let stated = self.stated.entry(from).or_default();
        if stamp.incarnation < stated.incarnation {
            return;
        }
        if stamp.incarnation > stated.incarnation {
            *stated = Stated { incarnation: stamp.incarnation, rows: HashMap::new() };
        }
        let known = stated.rows.entry(service.to_string()).or_default();
        let mut changes = Vec::new();
        for (team, work) in rows {
            if !(0.0..=MAX_STATED_WORK).contains(&work)
                || (known.len() >= MAX_PARTIES && !known.contains_key(&team))
            {
                continue;
            }
            let (number, sum) = known.entry(team.clone()).or_default();
            if *number < stamp.number {
                changes.push((team, work - sum.get(now.as_secs_f64())));
                (*number, *sum) = (stamp.number, Sum { value: work, updated_s: now.as_secs_f64() });
            }
        }
        let all = &mut self.service(service).all;
        changes.iter().for_each(|(team, work)| all.charge(now, team, *work));
    }

    /// Removes teams without recent work.
    pub fn tick(&mut self, now: Duration) {
        for row in self.services.values_mut() {
            row.own.tick(now);
            row.all.tick(now);
        }
        for services in self.stated.values_mut() {
            for rows in services.rows.values_mut() {
                rows.retain(|_, (_, sum)| sum.get(now.as_secs_f64()) > MIN_WORK);
            }
            services.rows.retain(|_, rows| !rows.is_empty());
        }
    }
}

/// Work received by a service and by its callers.
#[derive(Debug, Clone)]
struct Service {
    class: Class,
    weight: f64,
    callers: Ledger<CallerId>,
}

/// Work received by each class, service and caller.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    classes: BTreeMap<Class, Sum>,
    /// Total weight in each class of the services that received work recently; updated by `tick`.
    weights: BTreeMap<Class, f64>,
    services: HashMap<ServiceId, Service>,
}

impl Shares {
    /// Sets the weight of a service under contention.
    pub fn set_weight(&mut self, service: &ServiceId, class: Class, weight: u32) {
        let row = self.service(service, class);
        row.class = class;
        row.weight = f64::from(weight.max(1));
    }

    /// Adds `work` to what the job's caller has received; negative if less was used than charged.
    pub fn charge(&mut self, now: Duration, job: &Job, work: f64) {
        self.service(&job.service, job.class).callers.charge(now, &job.caller, work);
        self.classes.entry(job.class).or_default().add(now.as_secs_f64(), work);
    }

    /// Returns how far the job's service and caller exceed their fair shares; 0 is within them. The
    /// service's excess has the higher weight. Services share with others of their class; the
    /// classes themselves are strictly ordered.
    pub fn rank(&self, now: Duration, job: &Job) -> u8 {
        let Some(row) = self.services.get(&job.service) else {
            return 0;
        };
        let caller_rank = row.callers.rank(now, &job.caller);
        let now = now.as_secs_f64();
        let service_work = row.callers.total.get(now);
        let weights = self.weights.get(&row.class).copied().unwrap_or_default();
        let total = self.classes.get(&row.class).map_or(0.0, |sum| sum.get(now));
        let fair = total * row.weight / weights.max(row.weight);
        excess(service_work, fair).min(1) * 4 + caller_rank.min(3)
    }

    /// Returns the part of all received work that a class received.
    pub fn class_share(&self, now: Duration, class: Class) -> f64 {
        let now = now.as_secs_f64();
        let all: f64 = self.classes.values().map(|sum| sum.get(now)).sum();
        self.classes.get(&class).map_or(0.0, |sum| sum.get(now)) / all.max(MIN_WORK)
    }

    /// Removes callers without recent work and updates the weights.
    pub fn tick(&mut self, now: Duration) {
        self.weights.clear();
        for row in self.services.values_mut() {
            if row.callers.total.get(now.as_secs_f64()) > MIN_WORK {
                *self.weights.entry(row.class).or_default() += row.weight;
            }
            row.callers.tick(now);
        }
    }

    /// Returns the received work of each service and caller, for operators.
    pub fn rows(&self, now: Duration) -> impl Iterator<Item = (&ServiceId, &CallerId, f64)> + '_ {
        let now = now.as_secs_f64();
        self.services.iter().flat_map(move |(service, row)| {
            row.callers.rows.iter().map(move |(caller, sum)| (service, caller, sum.get(now)))
        })
    }

    fn service(&mut self, name: &ServiceId, class: Class) -> &mut Service {
        if !self.services.contains_key(name) {
            let row = Service { class, weight: 100.0, callers: Ledger::default() };
            self.services.insert(name.clone(), row);
        }
        self.services.get_mut(name).expect("inserted above")
    }
}

fn excess(received: f64, fair: f64) -> u8 {
    let ratio = received / fair.max(MIN_WORK);
    if ratio <= OVER_SHARE_RATIO {
        0
    } else {
        (1.0 + (ratio / OVER_SHARE_RATIO).log2().max(0.0)) as u8
    }
}
