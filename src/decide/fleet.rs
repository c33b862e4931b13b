//! Selects the endpoint for a request.
//!
//! Load pattern: many daemons share few engines, and none sees the others' requests. Engines differ
//! in speed and distance, have few of many models resident, and some fail or become unresponsive.
//! Without this module each daemon would overload the engine that it happens to know best.
//!
//! A request goes to the endpoint with the earliest expected first byte. The estimate adds the time
//! that a connection took to open, the endpoint's own recent delay, the prefill of the uncached
//! part of the prompt, and the load: the last load report plus the requests sent since. A link to
//! another region adds `CROSS_REGION_COST`, as its traffic is billed: a near endpoint is left only
//! if it is that much slower. A stream is also late if its events are too far apart, which prefill
//! of other prompts causes. The cost of load therefore grows with its cube, so that an engine is
//! avoided before its streams become late.
//!
//! Failures count as `FAILURE_COST` times their share, since a failed request is lost, not late.

mod candidate;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

pub use self::candidate::Candidate;
pub use self::candidate::Obstacle;
use crate::decide::brittle::Sharing;
use crate::decide::contact;
use crate::decide::contact::Evidence;
use crate::decide::contact::Path;
use crate::decide::endpoint::Distance;
use crate::decide::endpoint::End;
use crate::decide::endpoint::Endpoint;
use crate::decide::endpoint::Exclusion;
use crate::decide::endpoint::Requirements;
use crate::decide::limit::MIN_PAUSE;
use crate::decide::limit::Statement;
use crate::decide::memory::Holder;
use crate::decide::memory::Memory;
use crate::decide::memory::Sum;
use crate::decide::origin::MAX_STREAM_AGE;
use crate::decide::pace;
use crate::decide::pause::Growth;
use crate::decide::speed::Estimate;
use crate::decide::speed::Speeds;
use crate::edge::dialect::Load;
use crate::edge::dialect::Part;
use crate::edge::dialect::WorkTime;
use crate::table::DataCenterId;
use crate::table::RegionId;
use crate::table::ServiceId;
use crate::table::SoftwareVersion;
use crate::table::instance::Instance;
use crate::table::instance::Key;
use crate::table::instance::Residency;
use crate::table::instance::State;
use crate::table::instance::is_resident;

/// Time after the store's return during which records that expired meanwhile may be missing:
/// instances take up to two seconds to write them again.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);
/// Relative noise on the costs, so that daemons with the same view do not all choose the same
/// endpoint.
const NOISE_RATIO: f64 = 0.15;

/// Decision on a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// Send it to this endpoint.
    Send(Key),
    /// Load the adapter at this endpoint, where the model is resident, and wait for it.
    LoadAdapter(Key),
    /// Wait for this long: the best endpoint is busy with the prefill of other prompts until then.
    Delay(Duration),
    /// Wait for this long: the suitable endpoints have reached the limits that they state.
    Limited(Duration),
    /// Wait for this long: the suitable endpoints want no calls of the request's daemon.
    Backoff(Duration),
    /// Wait: all suitable endpoints are full.
    Full,
    /// No usable endpoint has the model resident.
    NoModel,
    /// The service has no usable endpoint.
    NoEndpoint,
    /// No endpoint of the service has the memory for it, however idle.
    TooLarge,
}

/// Last record of a removed endpoint.
#[derive(Debug, Clone, Copy)]
struct Removed {
    address: SocketAddr,
    heartbeat: u64,
    state: State,
    /// Until when the endpoint wants no calls from this daemon.
    backoff_until: Duration,
}

/// Endpoints known to a daemon.
#[derive(Debug)]
pub struct Fleet {
    region: RegionId,
    data_center: DataCenterId,
    regions: BTreeMap<DataCenterId, RegionId>,
    rows: HashMap<Key, Endpoint>,
    /// Latest incarnation of each instance id.
    newest_incarnations: HashMap<String, u64>,
    /// The incarnations of ids that had an earlier one, and when that was found out.
    restarts: HashMap<String, (u64, Duration)>,
    /// Last records of removed endpoints.
    removed: HashMap<Key, Removed>,
    /// Versions of removed endpoints by service, and when the last one of each was removed.
    removed_software: HashMap<(ServiceId, SoftwareVersion), Duration>,
    speeds: Speeds,
    /// Growth of the pauses between events with the load of an engine.
    growth: Growth,
    /// Services whose endpoints state how long work takes.
    work_time_services: HashSet<ServiceId>,
    /// Memory of the engines.
    pub memory: Memory,
    /// How daemons share the endpoints' slots.
    pub sharing: Sharing,
    /// Number that differs between daemons, for the order in which they use new endpoints.
    pub seat: u64,
    /// Endpoints whose pace was known to be bounded when the changes were last taken.
    paced: HashSet<Key>,
    /// When the complete list of endpoints was first known.
    listed_since: Option<Duration>,
    /// When a connection of this daemon to an endpoint was last opened.
    last_connect: Duration,
    /// When bytes last arrived over such a connection.
    last_received: Duration,
}

impl Fleet {
    /// Creates a fleet without endpoints, for a daemon in the given data center.
    pub fn new(
        region: RegionId,
        data_center: DataCenterId,
        regions: BTreeMap<DataCenterId, RegionId>,
    ) -> Self {
        Fleet {
            region,
            data_center,
            regions,
            rows: HashMap::new(),
            newest_incarnations: HashMap::new(),
            restarts: HashMap::new(),
            removed: HashMap::new(),
            removed_software: HashMap::new(),
            speeds: Speeds::default(),
            growth: Growth::default(),
            work_time_services: HashSet::new(),
            memory: Memory::default(),
            sharing: Sharing::default(),
            seat: 0,
            paced: HashSet::new(),
            listed_since: None,
            last_connect: Duration::ZERO,
            last_received: Duration::ZERO,
        }
    }

    /// Returns all endpoints.
    pub fn rows(&self) -> impl Iterator<Item = &Endpoint> {
        self.rows.values()
    }

    /// Returns the address of an endpoint that is leaving or whose record was removed: it may end at any
    /// time, whatever it still runs. One that has started again was not leaving.
    pub fn departing(&self, key: &Key) -> Option<SocketAddr> {
        if let Some(row) = self.rows.get(key) {
            return (row.instance.state == State::Leaving).then_some(row.instance.address);
        }
        let removed = self.removed.get(key)?;
        let has_restarted = || self.rows.values().any(|row| row.instance.key.is_successor_of(key));
        (removed.state == State::Leaving || !has_restarted()).then_some(removed.address)
    }

    /// Returns an endpoint.
    pub fn get(&self, key: &Key) -> Option<&Endpoint> {
        self.rows.get(key)
    }

    /// Returns the region of a data center.
    pub fn region_of(&self, data_center: &str) -> RegionId {
        self.regions.get(data_center).cloned().unwrap_or_else(|| data_center.to_string())
    }

    /// Adds or updates an endpoint from its record. Returns false if the record is of an earlier
    /// incarnation or older than the known one: the store may be restored from an outdated copy.
    pub fn put(&mut self, now: Duration, instance: Instance) -> bool {
        let key = instance.key.clone();
        if self.outdated(&key, &instance) {
            return false;
        }
        let newest_incarnation = self.newest_incarnations.entry(key.id.clone()).or_insert(key.born);
        if key.born < *newest_incarnation {
            return false;
        }
        if key.born > *newest_incarnation {
            let old = Key { id: key.id.clone(), born: *newest_incarnation };
            *newest_incarnation = key.born;
            self.restarts.insert(key.id.clone(), (key.born, now));
            self.remove_row(now, &old);
        }
        let distance = self.distance(&instance.data_center);
        match self.rows.get_mut(&key) {
            Some(row) => row.update_instance(now, instance),
            None => {
                let mut row = Endpoint::new(now, instance, distance);
                if let Some(removed) = self.removed.get(&key) {
                    row.back_off_until(removed.backoff_until);
                }
                let service = row.instance.service.clone();
                self.rows.insert(key.clone(), row);
                self.start_pace(now, &key, &service);
            }
        }
        true
    }

    /// Bounds the requests at a new endpoint, unless it was known when this daemon started, or most
    /// endpoints of its service are new.
    fn start_pace(&mut self, now: Duration, key: &Key, service: &str) {
        let rows = self.rows.values().filter(|row| row.instance.service == service);
        let all = rows.clone().count();
        let new = rows.filter(|row| row.is_new(now)).count();
        if self.listed_since.is_some()
            && !pace::is_fleet_new(new, all)
            && let Some(row) = self.rows.get_mut(key)
        {
            row.start_pace(now);
        }
    }

    /// Returns the endpoints whose bound has begun, each with the bound, or ended since the last call.
    pub fn take_pace_changes(&mut self) -> Vec<(Key, Option<u32>)> {
        let rows = self
            .rows
            .values()
            .filter(|row| row.pace_bound().is_some() != self.paced.contains(&row.instance.key));
        let changes: Vec<_> =
            rows.map(|row| (row.instance.key.clone(), row.pace_bound())).collect();
        for (key, bound) in &changes {
            match bound {
                Some(_) => self.paced.insert(key.clone()),
                None => self.paced.remove(key),
            };
        }
        self.paced.retain(|key| self.rows.contains_key(key));
        changes
    }

    fn outdated(&self, key: &Key, instance: &Instance) -> bool {
        let was_leaving = |state: State| state == State::Leaving && instance.state == State::Live;
        match (self.rows.get(key), self.removed.get(key)) {
            (Some(row), _) => {
                instance.heartbeat < row.instance.heartbeat || was_leaving(row.instance.state)
            }
            (None, Some(removed)) => {
                instance.heartbeat < removed.heartbeat || was_leaving(removed.state)
            }
            (None, None) => false,
        }
    }

    /// Returns whether an earlier incarnation of an endpoint was known.
    pub fn had_predecessor(&self, key: &Key) -> bool {
        self.restarts.contains_key(&key.id)
    }

    /// Records that another daemon has known an earlier incarnation of an endpoint. What it has found
    /// out some time ago is not passed on again as new.
    pub fn on_restart(&mut self, now: Duration, key: &Key, age: Duration) {
        let known = self.restarts.get(&key.id).is_some_and(|(born, _)| *born >= key.born);
        if !known {
            self.restarts.insert(key.id.clone(), (key.born, now.saturating_sub(age)));
        }
    }

    /// Returns the endpoints that have restarted under their ids within `window`, and how long ago
    /// that was found out.
    pub fn recent_restarts(&self, now: Duration, window: Duration) -> Vec<(Key, Duration)> {
        let age = |at: &Duration| now.saturating_sub(*at);
        let rows = self.restarts.iter().filter(|(_, (_, at))| age(at) < window);
        rows.map(|(id, (born, at))| (Key { id: id.clone(), born: *born }, age(at))).collect()
    }

    /// Returns the version of an endpoint's software; none if the endpoint is not known, or may have
    /// started again with another version.
    pub fn software(&self, key: &Key) -> Option<&SoftwareVersion> {
        let is_replaced = self.restarts.get(&key.id).is_some_and(|(born, _)| *born > key.born);
        self.rows.get(key).filter(|_| !is_replaced)?.software()
    }

    /// Records that a report that was requested at `now` names the known incarnation of an endpoint.
    pub fn confirm(&mut self, now: Duration, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.confirm(now);
        }
    }

    /// Returns the version of a service's software if no stream that may still be taken up can have
    /// begun at another one.
    pub fn sole_software(&self, now: Duration, service: &str) -> Option<&SoftwareVersion> {
        let rows = self.rows.values().filter(|row| row.instance.service == service);
        let mut versions = rows.map(|row| self.software(&row.instance.key));
        let only = versions.next()??;
        let is_other = |((other, software), removed_at): (&(ServiceId, _), &Duration)| {
            other == service && software != only && now < *removed_at + MAX_STREAM_AGE
        };
        let is_complete = self.listed_since.is_some_and(|since| now >= since + MAX_STREAM_AGE);
        let is_sole = is_complete
            && versions.all(|version| version == Some(only))
            && !self.removed_software.iter().any(is_other);
        is_sole.then_some(only)
    }

    /// Returns the prefill speeds.
    pub fn speeds(&self) -> &Speeds {
        &self.speeds
    }

    /// Returns for how long an engine accepts no order for an adapter.
    pub fn busy_for(&self, now: Duration, key: &Key) -> Duration {
        self.rows.get(key).map_or(Duration::ZERO, |row| row.busy_for(now))
    }

    /// Handles the removal of a record. While the store is unavailable records expire although
    /// their endpoints are alive: such an endpoint stays in use until `EXPIRY_GRACE` after the
    /// store's return.
    pub fn remove(&mut self, now: Duration, id: &str, store_returned_at: Option<Duration>) {
        let Some(born) = self.newest_incarnations.get(id) else {
            return;
        };
        let key = Key { id: id.to_string(), born: *born };
        let in_grace =
            store_returned_at.is_some_and(|returned_at| now < returned_at + EXPIRY_GRACE);
        match self.rows.get_mut(&key) {
            Some(row) if in_grace && row.instance.state == State::Live => {
                row.expires_at = Some(store_returned_at.unwrap_or(now) + EXPIRY_GRACE);
            }
            _ => self.remove_row(now, &key),
        }
    }

    /// Removes all endpoints that are missing from a complete list.
    pub fn retain(&mut self, now: Duration, ids: &[String], store_returned_at: Option<Duration>) {
        self.listed_since.get_or_insert(now);
        let missing: Vec<String> =
            self.rows.keys().map(|key| key.id.clone()).filter(|id| !ids.contains(id)).collect();
        for id in missing {
            self.remove(now, &id, store_returned_at);
        }
    }

    /// Applies what is due by `now`; returns true if an endpoint was removed.
    pub fn tick(&mut self, now: Duration) -> bool {
        let due = |row: &&Endpoint| row.expires_at.is_some_and(|until| until <= now);
        let expired: Vec<Key> =
            self.rows.values().filter(due).map(|row| row.instance.key.clone()).collect();
        for key in &expired {
            self.remove_row(now, key);
        }
        for row in self.rows.values_mut() {
            row.tick(now);
        }
        !expired.is_empty()
    }

    /// Selects an endpoint for a request at `now`.
    pub fn choose(
        &self,
        now: Duration,
        requirements: &Requirements<'_>,
        is_engine: bool,
        rng: &mut SmallRng,
    ) -> Choice {
        let tokens = requirements.tokens();
        if is_engine && self.memory.is_too_large(requirements.service, tokens) {
            return Choice::TooLarge;
        }
        let mut has_usable = false;
        let mut has_resident = false;
        // The shortest pause, and whether it is one that the endpoint asked for.
        let mut shortest_pause: Option<(Duration, bool)> = None;
        let mut best: Option<(f64, Candidate<'_>)> = None;
        // The best one within its pace, and whether one of those could begin at once.
        let mut best_paced: Option<(f64, Candidate<'_>)> = None;
        let mut has_alternative = false;
        for (_, assessment) in self.assess_all(now, requirements, is_engine) {
            let candidate = match assessment {
                Ok(candidate) => candidate,
                Err(obstacle) => {
                    has_usable |= obstacle.is_usable();
                    has_resident |= obstacle.is_resident();
                    let pause = match obstacle {
                        Obstacle::Limited(pause) => (pause, false),
                        Obstacle::Backoff(pause) => (pause, true),
                        _ => continue,
                    };
                    shortest_pause = Some(shortest_pause.map_or(pause, |other| other.min(pause)));
                    continue;
                }
            };
            let noise = 1.0 + rng.random_range(0.0..NOISE_RATIO);
            let cost = candidate.cost * noise;
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                best = Some((cost, candidate));
            }
            if candidate.is_within_pace {
                has_alternative |= candidate.is_alternative(now);
                if best_paced.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                    best_paced = Some((cost, candidate));
                }
            }
        }
        if has_alternative {
            best = best_paced;
        }
        let key = |candidate: &Candidate<'_>| candidate.row.instance.key.clone();
        match best.map(|(_, candidate)| candidate) {
            Some(candidate) if !candidate.is_ready => Choice::LoadAdapter(key(&candidate)),
            Some(candidate) if !candidate.delay.is_zero() => Choice::Delay(candidate.delay),
            Some(candidate) => Choice::Send(key(&candidate)),
            None if let Some((pause, true)) = shortest_pause => Choice::Backoff(pause),
            None if let Some((pause, false)) = shortest_pause => Choice::Limited(pause),
            None if has_resident => Choice::Full,
            None if has_usable => Choice::NoModel,
            None => Choice::NoEndpoint,
        }
    }

    /// Returns the slots that requests for a model, or for a service without models, can expect: each
    /// usable endpoint's, divided between the models that are resident there.
    pub fn expected_slots(&self, now: Duration, service: &str, model: Option<&str>) -> f64 {
        let rows = self.rows.values().filter(|row| row.instance.service == service);
        let rows = rows.filter(|row| row.is_usable(now));
        let rows = rows.filter(|row| model.is_none_or(|model| row.is_resident(now, model, None)));
        let share = |models: usize| if model.is_some() { models.max(1) as f64 } else { 1.0 };
        rows.map(|row| f64::from(row.instance.slots) / share(row.instance.resident.len())).sum()
    }

    /// Estimates the prefill of a request's prompt at an endpoint.
    pub fn estimate(&self, now: Duration, key: &Key, requirements: &Requirements<'_>) -> Estimate {
        let row = self.rows.get(key);
        row.map_or(Estimate::default(), |row| row.estimate(now, requirements, &self.speeds))
    }

    /// Records a request that is sent to an endpoint, with a prompt that takes `prefill_time` to
    /// read.
    pub fn start_request(
        &mut self,
        now: Duration,
        key: &Key,
        parts: &[Part],
        prefill_time: Duration,
    ) {
        if let Some(row) = self.rows.get_mut(key) {
            row.start_request(now, parts, prefill_time);
        }
    }

    /// Records a prompt that another daemon sent to an endpoint and that takes `prefill_time` to
    /// read.
    pub fn record_remote_prompt(&mut self, now: Duration, key: &Key, prefill_time: Duration) {
        if let Some(row) = self.rows.get_mut(key) {
            row.record_remote_prompt(now, prefill_time);
        }
    }

    /// Records a grant to another daemon, for a prompt that takes `prefill_time` to read.
    pub fn grant(&mut self, now: Duration, key: &Key, parts: &[Part], prefill_time: Duration) {
        if let Some(row) = self.rows.get_mut(key) {
            row.grant(now, parts, prefill_time);
        }
    }

    /// Records a request that an engine holds from now on.
    pub fn hold(&mut self, key: &Key, holder: Holder, tokens: u32) {
        if let Some(row) = self.rows.get_mut(key) {
            row.held.add(holder, tokens);
            self.memory.record_size(&row.instance.service, tokens);
        }
    }

    /// Records that an engine no longer holds a request.
    pub fn unhold(&mut self, key: &Key, holder: Holder, tokens: u32) {
        if let Some(row) = self.rows.get_mut(key) {
            row.held.remove(holder, tokens);
        }
    }

    /// Records a request of a daemon that is gone, which an engine may hold until then. A request
    /// whose tokens are not known counts with the mean of those that are.
    pub fn linger(&mut self, key: &Key, tokens: Option<u32>, until: Duration) {
        if let Some(row) = self.rows.get_mut(key) {
            let mean = || self.memory.mean_size(&row.instance.service);
            let tokens = tokens.unwrap_or_else(mean);
            row.held.linger(tokens, until);
        }
    }

    /// Replaces the sums of the grants at all engines.
    pub fn set_granted(&mut self, sums: &HashMap<Key, Sum>) {
        for (key, row) in &mut self.rows {
            row.held.set_granted(sums.get(key).copied().unwrap_or_default());
        }
    }

    /// Returns the regions of usable endpoints that have a model resident, each with their number.
    pub fn resident_regions(
        &self,
        now: Duration,
        service: &str,
        model: &str,
    ) -> BTreeMap<RegionId, usize> {
        let mut counts = BTreeMap::new();
        let rows = self.rows.values().filter(|row| row.instance.service == service);
        for row in rows.filter(|row| row.is_usable(now) && row.is_resident(now, model, None)) {
            *counts.entry(self.region_of(&row.instance.data_center)).or_default() += 1;
        }
        counts
    }

    /// Returns the endpoints with a model that this daemon does not call, for a broker that may not
    /// know so.
    pub fn exclusions(&self, now: Duration, service: &str, model: &str) -> Vec<Exclusion> {
        let rows = self.rows.values().filter(|row| row.instance.service == service);
        let rows = rows.filter(|row| is_resident(&row.instance.resident, model, None));
        rows.filter_map(|row| row.exclusion(now)).collect()
    }

    /// Records that another broker is about to grant a request at an endpoint.
    pub fn expect_grant(&mut self, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.expect_grant();
        }
    }

    /// Records that a slot of an endpoint is kept free for another daemon.
    pub fn offer_slot(&mut self, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.offer_slot();
        }
    }

    /// Records that a slot is no longer kept free for another daemon, as that has used it or not.
    pub fn end_offer(&mut self, key: &Key, is_used: bool) {
        if let Some(row) = self.rows.get_mut(key) {
            row.end_offer(is_used);
        }
    }

    /// Records that another daemon, which knows of `load` further requests there, offers a slot of an
    /// endpoint. Returns whether a request less is known now.
    pub fn accept_offer(&mut self, key: &Key, load: u32) -> bool {
        self.rows.get_mut(key).is_some_and(|row| row.accept_offer(load))
    }

    /// Returns whether an endpoint is usable and has room for another request of this daemon.
    pub fn has_room(&self, now: Duration, key: &Key, is_engine: bool) -> bool {
        let row = self.rows.get(key).filter(|row| row.is_usable(now));
        row.is_some_and(|row| row.has_room(now, is_engine, self.sharing, &self.growth))
    }

    /// Records a grant of another daemon that was not known here.
    pub fn adopt_grant(&mut self, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.granted += 1;
        }
    }

    /// Records that a grant of another daemon has ended.
    pub fn release_grant(&mut self, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.granted = row.granted.saturating_sub(1);
        }
    }

    /// Records how a request with these requirements ended at an endpoint.
    pub fn record_end(
        &mut self,
        now: Duration,
        key: &Key,
        end: End,
        requirements: &Requirements<'_>,
    ) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        match (end, requirements.model) {
            (End::Completed | End::Unused, _) => {}
            (End::Limited, _) => row.pause_until(now + MIN_PAUSE),
            (End::Failed, _) => row.record_failure(now),
            (End::Unreachable, _) => row.record_unreachable(now),
            (End::NotResident, Some(model)) => row.record_missing(now, model, requirements.adapter),
            (End::NotResident, None) | (End::Replaced, _) => row.mark_replaced(),
        }
    }

    /// Records that an adapter was requested at an endpoint.
    pub fn request_adapter(&mut self, now: Duration, key: &Key, adapter: &str) {
        if let Some(row) = self.rows.get_mut(key) {
            row.request_adapter(now, adapter);
        }
    }

    /// Updates an engine's residents with a report of the placer.
    pub fn set_resident(&mut self, now: Duration, key: &Key, report: Residency) {
        if let Some(row) = self.rows.get_mut(key) {
            row.set_resident(now, report);
        }
    }

    /// Returns the number of endpoints to which this daemon could not open its last connection, and
    /// the number of all.
    pub fn unreached_count(&self) -> (usize, usize) {
        let unreached = self.rows.values().filter(|row| !row.is_reached()).count();
        (unreached, self.rows.len())
    }

    /// Returns the endpoints that accept requests by their records.
    fn live_rows(&self) -> impl Iterator<Item = &Endpoint> {
        self.rows.values().filter(|row| row.instance.state == State::Live)
    }

    /// Returns whether this daemon has lost most endpoints.
    pub fn is_isolated(&self) -> bool {
        let lost = self.live_rows().filter(|row| row.path() != Path::Direct).count();
        let forwarded = self.live_rows().filter(|row| row.path() == Path::Forwarded).count();
        contact::is_isolated(self.live_rows().count(), lost, forwarded)
    }

    /// Returns what suggests that this daemon has lost all endpoints.
    pub fn evidence(&self, now: Duration) -> Evidence {
        let is_silent =
            |row: &&Endpoint| row.is_silent(now, contact::SILENCE_TIMEOUT, self.last_received);
        let is_lost = |row: &&Endpoint| row.is_lost_since(self.last_connect);
        Evidence {
            known: self.live_rows().count(),
            lost: self.live_rows().filter(is_lost).count(),
            silent: self.live_rows().filter(is_silent).count(),
            quiet_for: now.saturating_sub(self.last_received),
        }
    }

    /// Returns endpoints that are not lost, to show whether all of them are.
    pub fn sample(&self, rng: &mut SmallRng) -> Vec<Key> {
        let rows = self.live_rows().filter(|row| row.path() == Path::Direct);
        rows.map(|row| row.instance.key.clone()).choose_multiple(rng, contact::SAMPLE_SIZE)
    }

    /// Returns lost endpoints to which connections are to be tried now.
    pub fn take_due_probes(&mut self, now: Duration, rng: &mut SmallRng) -> Vec<Key> {
        let rows = self.rows.values_mut().filter(|row| row.is_probe_due(now));
        let rows = rows.choose_multiple(rng, contact::MAX_PROBES).into_iter();
        rows.map(|row| {
            row.start_probe(now);
            row.instance.key.clone()
        })
        .collect()
    }

    /// Records that this daemon can't connect to an endpoint, although others may.
    pub fn lose_contact(&mut self, now: Duration, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.lose_contact(now);
        }
    }

    /// Records that this daemon has lost all endpoints, unless a connection was opened since then.
    pub fn lose_all_contact(&mut self, now: Duration, since: Duration) {
        if self.last_connect >= since {
            return;
        }
        for row in self.rows.values_mut().filter(|row| row.path() == Path::Direct) {
            row.lose_contact(now);
        }
    }

    /// Records that a report or an order ran out of time without an answer.
    pub fn record_unanswered(&mut self, now: Duration, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.record_unanswered(now);
        }
    }

    /// Records that bytes arrived from an endpoint over a connection of this daemon.
    pub fn record_received(&mut self, now: Duration) {
        self.last_received = self.last_received.max(now);
    }

    /// Records that another daemon has reached an endpoint.
    pub fn record_forwarded(&mut self, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.record_forwarded();
        }
    }

    /// Records how long a connection to an endpoint took to open.
    pub fn record_connect(&mut self, now: Duration, key: &Key, took: Duration) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        let was_lost = row.path() != Path::Direct;
        row.record_connect(took);
        self.last_connect = now;
        if was_lost {
            // The others have probably returned as well.
            self.rows.values_mut().for_each(|row| row.hasten_probe(now));
        }
    }

    /// Records that an endpoint could not be reached.
    pub fn record_unreachable(&mut self, now: Duration, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.record_unreachable(now);
        }
    }

    /// Records that bytes arrived from an endpoint.
    pub fn record_activity(&mut self, now: Duration, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.record_activity(now);
        }
    }

    /// Records that a request, which was sent at `sent_at`, was given up without an answer. Returns
    /// whether the endpoint is stalled from now on.
    pub fn record_given_up(&mut self, key: &Key, sent_at: Duration) -> bool {
        self.rows.get_mut(key).is_some_and(|row| row.record_given_up(sent_at))
    }

    /// Returns whether an endpoint accepts requests and answers none.
    pub fn is_stalled(&self, key: &Key) -> bool {
        self.rows.get(key).is_some_and(Endpoint::is_stalled)
    }

    /// Returns the number of stalled endpoints.
    pub fn stalled_count(&self) -> usize {
        self.rows.values().filter(|row| row.is_stalled()).count()
    }

    /// Records that it is not known any more whether an endpoint answers.
    pub fn end_stall(&mut self, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.end_stall();
        }
    }

    /// Records an event of a stream that came `pause` after the previous one.
    pub fn record_event(&mut self, now: Duration, key: &Key, pause: Duration) {
        if let Some(row) = self.rows.get_mut(key) {
            row.record_event(now, pause, &mut self.growth);
        }
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, now: Duration, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.record_failure(now);
        }
    }

    /// Records an endpoint's load report.
    pub fn on_load_report(&mut self, now: Duration, key: &Key, load: Load) {
        if let Some(row) = self.rows.get_mut(key) {
            row.on_load_report(now, load);
        }
    }

    /// Records how long work takes at an endpoint, as it stated `age` ago to the broker of its region.
    pub fn on_work_time(&mut self, now: Duration, key: &Key, age: Duration, percent: u32) {
        if let Some(row) = self.rows.get_mut(key) {
            row.on_work_time(now, age, percent);
        }
    }

    /// Records whether an endpoint's response states how long work takes, and returns what is wrong
    /// with it unless that was returned before. Only a service with an endpoint that has stated a
    /// figure is expected to.
    pub fn check_work_time(&mut self, key: &Key, load: Load) -> Option<&'static str> {
        let row = self.rows.get_mut(key)?;
        let is_expected = self.work_time_services.contains(&row.instance.service);
        let problem = match load.work_time {
            WorkTime::Percent(_) => {
                if !is_expected {
                    self.work_time_services.insert(row.instance.service.clone());
                }
                return None;
            }
            WorkTime::Unstated if !is_expected => return None,
            WorkTime::Unstated => "absent",
            WorkTime::Invalid => "malformed or out of range",
        };
        (!std::mem::replace(&mut row.is_work_time_noted, true)).then_some(problem)
    }

    /// Applies a statement of an endpoint's limit, and returns whether the limit has changed.
    pub fn on_statement(&mut self, now: Duration, key: &Key, statement: Statement) -> bool {
        self.rows.get_mut(key).is_some_and(|row| row.on_statement(now, statement))
    }

    /// Records that an endpoint states that it is leaving, and returns whether that is new. This
    /// holds also if its record has been removed meanwhile and is written again.
    pub fn mark_leaving(&mut self, key: &Key) -> bool {
        if let Some(removed) = self.removed.get_mut(key) {
            removed.state = State::Leaving;
        }
        self.rows.get_mut(key).is_some_and(Endpoint::mark_leaving)
    }

    /// Records that an endpoint says that it is brittle, and returns whether that is new.
    pub fn on_brittle(&mut self, now: Duration, key: &Key, max_rejections: u32) -> bool {
        self.rows.get_mut(key).is_some_and(|row| row.on_brittle(now, max_rejections))
    }

    /// Records that an endpoint wants no calls from this daemon for some time. This holds also if
    /// its record has been removed meanwhile and is written again.
    pub fn back_off(&mut self, now: Duration, key: &Key, span: Duration) {
        let until = now.saturating_add(span);
        if let Some(removed) = self.removed.get_mut(key) {
            removed.backoff_until = removed.backoff_until.max(until);
        }
        if let Some(row) = self.rows.get_mut(key) {
            row.back_off_until(until);
        }
    }

    /// Records that an endpoint's limit allows no call until then.
    pub fn pause_until(&mut self, key: &Key, until: Duration) {
        if let Some(row) = self.rows.get_mut(key) {
            row.pause_until(until);
        }
    }

    /// Records a report or an order that this daemon requested of an endpoint.
    pub fn record_control_call(&mut self, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.control_calls += 1;
        }
    }

    /// Records that another instance answers at an endpoint's address.
    pub fn mark_replaced(&mut self, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.mark_replaced();
        }
    }

    /// Records the end of a request of this daemon.
    pub fn end_request(&mut self, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.running = row.running.saturating_sub(1);
        }
    }

    /// Returns the time to a first byte less the round trip from this daemon.
    pub fn subtract_round_trip(&self, key: &Key, took: Duration) -> Duration {
        self.rows.get(key).map_or(took, |row| took.saturating_sub(row.round_trip()))
    }

    /// Records the first byte of an answer, which came after `took`, less the round trip.
    pub fn record_first_byte(
        &mut self,
        now: Duration,
        key: &Key,
        took: Duration,
        model: Option<&str>,
        estimate: &Estimate,
    ) {
        if let Some(row) = self.rows.get_mut(key) {
            row.record_first_byte(now, took, model, estimate, &mut self.speeds);
            if row.pace_bound().is_some() {
                let usual_delay = self.usual_delay(now, key);
                if let Some(row) = self.rows.get_mut(key) {
                    row.record_pace(now, took, estimate, usual_delay);
                }
            }
        }
    }

    /// Returns the shortest recent delay of first bytes at the usable endpoints of a service; zero if
    /// none is known.
    pub fn shortest_delay(&self, now: Duration, service: &str) -> Duration {
        let rows = self.rows.values().filter(|row| row.instance.service == service);
        let delays = rows.filter(|row| row.is_usable(now)).filter_map(|row| row.recent_delay(now));
        delays.min().unwrap_or_default()
    }

    /// Returns the median delay of first bytes at the other endpoints of a service, if any is known.
    fn usual_delay(&self, now: Duration, key: &Key) -> Option<Duration> {
        let service = self.rows.get(key).map(|row| &row.instance.service);
        let others = self
            .rows
            .values()
            .filter(|row| row.instance.key != *key && Some(&row.instance.service) == service);
        let unbounded = others.filter(|row| row.pace_bound().is_none());
        let mut delays: Vec<Duration> = unbounded.filter_map(|row| row.recent_delay(now)).collect();
        delays.sort_unstable();
        delays.get(delays.len() / 2).copied()
    }

    fn distance(&self, data_center: &str) -> Distance {
        if data_center == self.data_center {
            Distance::SameDataCenter
        } else if self.regions.get(data_center) == Some(&self.region) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    fn remove_row(&mut self, now: Duration, key: &Key) {
        if let Some(row) = self.rows.remove(key) {
            self.removed_software.retain(|_, removed_at| now < *removed_at + MAX_STREAM_AGE);
            let software = (row.instance.service.clone(), row.instance.software.clone());
            self.removed_software.insert(software, now);
            let removed = Removed {
                address: row.instance.address,
                heartbeat: row.instance.heartbeat,
                state: row.instance.state,
                backoff_until: row.backoff_until,
            };
            self.removed.insert(key.clone(), removed);
        }
    }
}
