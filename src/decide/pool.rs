//! Endpoints as one entry sees them, and the targets that each can serve.
//!
//! An endpoint's load report lags and doesn't include this entry's dispatches since then. A row
//! therefore combines three sources: the requests of others at the time of the last report, this
//! entry's own requests now, and the peers' digests if these show more requests than the report.
//! Nothing here expires: without the platform and without reports an entry continues with the state
//! that it received last.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::decide::admit::Limit;
use crate::decide::admit::Timing;
use crate::decide::admit::congested;
use crate::decide::drain::Drain;
use crate::decide::event::Job;
use crate::decide::event::Location;
use crate::decide::event::Target;
use crate::decide::outlier;
use crate::decide::outlier::Cause;
use crate::decide::outlier::Health;
use crate::decide::outlier::State;
use crate::decide::pace;
use crate::decide::pace::Pace;
use crate::decide::pace::Share;
use crate::edge::endpoint::Report;
use crate::edge::endpoint::Stage;
use crate::edge::platform::Instance;
use crate::edge::platform::Presence;
use crate::edge::platform::Role;
use crate::table::EndpointId;
use crate::table::EntryId;
use crate::table::RegionId;
use crate::table::RequestId;
use crate::table::ServiceId;

/// Maximum number of endpoints that one request waits for. With more, keeping the queue in order
/// costs too much, and the first free slot among eight endpoints comes hardly later than among
/// twenty.
const MAX_CANDIDATES: usize = 8;

/// Time after which the observed speed of an endpoint that is new or back from an ejection no longer
/// counts, as trying it again costs little.
const BOUNDED_OBSERVATION_WINDOW: Duration = Duration::from_secs(1);

/// Endpoint with its load, limit and health.
#[derive(Debug, Clone)]
pub struct Row {
    /// Its entry in the instance list.
    pub instance: Instance,
    /// Last report of the present incarnation.
    pub report: Option<Report>,
    /// Targets that it serves according to its last report.
    pub targets: Vec<Target>,
    /// Its speed.
    pub timing: Timing,
    /// Limit on this entry's requests there.
    pub limit: Limit,
    /// Its health.
    pub health: Health,
    /// Number of this entry's requests there.
    pub running: u32,
    /// Number of those requests that may have crashed an endpoint.
    pub suspects: u32,
    /// Whether it is in this entry's region.
    pub near: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Bound on the requests there while it is new or back from an ejection.
    pace: Option<Pace>,
    /// When its speed was last observed.
    observed_at: Duration,
    /// When it has become known.
    known_since: Duration,
    /// Number of other entries' requests according to its last load report.
    reported_others: u32,
    /// Number of other entries' requests according to their digests.
    digest_load: u32,
}

impl Row {
    /// Returns the estimated number of requests there.
    pub fn load(&self) -> u32 {
        self.running + self.reported_others.max(self.digest_load)
    }

    /// Returns whether new work is sent there.
    pub fn usable(&self, now: Duration) -> bool {
        !self.leaving && !matches!(self.health.state(now), State::Out(_))
    }

    /// Returns the number of requests that this entry may run there at the same time.
    pub fn slots(&self, now: Duration) -> u32 {
        match self.health.state(now) {
            State::Probe | State::Out(_) => 1,
            State::In => self.limit.slots(),
        }
    }

    /// Returns the bound on the requests there, if it is new or back from an ejection.
    pub fn pace(&self, now: Duration) -> Option<Pace> {
        self.pace.filter(|pace| !pace.has_ended(now, u32::MAX))
    }

    /// Returns whether its limit is the only bound, and it is not expected to fail.
    pub fn is_established(&self, now: Duration) -> bool {
        let is_in = !self.leaving && self.health.state(now) == State::In;
        is_in && self.pace(now).is_none() && !self.health.is_failing()
    }

    /// Records that a request is sent there.
    pub fn on_sent(&mut self, now: Duration) {
        self.running += 1;
        if let Some(pace) = &mut self.pace {
            pace.on_sent(now);
        }
    }

    /// Records `tokens` that arrived within `duration`.
    pub fn on_tokens(&mut self, now: Duration, tokens: u32, duration: Duration) {
        self.observed_at = now;
        self.timing.on_tokens(tokens, duration);
    }

    /// Records a failed call. Returns true if the endpoint should be ejected, subject to the cap.
    pub fn on_failure(&mut self, now: Duration) -> bool {
        self.pace = self.pace(now);
        match &mut self.pace {
            Some(pace) if self.health.state(now) == State::In => pace.on_failure(now),
            _ => self.limit.decrease(now),
        }
        self.health.on_failure(now)
    }

    /// Returns whether it is of the same service as an instance; the engines are one service.
    fn is_of(&self, role: Role, service: Option<&ServiceId>) -> bool {
        self.instance.role == role && self.instance.service.as_ref() == service
    }

    fn record_load(&mut self, now: Duration, running: u32, waiting: u32) {
        self.reported_others = (running + waiting).saturating_sub(self.running);
        if congested(running, waiting) {
            self.limit.decrease(now);
        }
    }
}

/// Endpoints of one target.
#[derive(Debug, Clone, Default)]
pub struct Group {
    /// Positions of the rows in this entry's region.
    pub near: Vec<usize>,
    /// Positions of the rows in other regions.
    pub far: Vec<usize>,
    /// Whether requests are sent to other regions at present.
    pub spilled: bool,
}

/// All endpoints that one entry has in its list.
#[derive(Debug)]
pub struct Pool {
    home: Location,
    /// Number that differs between entries.
    seat: u64,
    /// Regions of all entries in the list.
    entries: Vec<RegionId>,
    rows: Vec<Row>,
    index: HashMap<EndpointId, usize>,
    groups: HashMap<Target, Group>,
    drain: Drain,
    digests: HashMap<EntryId, Vec<(EndpointId, u32)>>,
}

impl Pool {
    /// Returns a pool without endpoints.
    pub fn new(home: Location, seat: u64) -> Self {
        Pool {
            home,
            seat,
            entries: Vec::new(),
            rows: Vec::new(),
            index: HashMap::new(),
            groups: HashMap::new(),
            drain: Drain::default(),
            digests: HashMap::new(),
        }
    }

    /// Returns all rows.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Returns the row at a position.
    pub fn row(&self, position: usize) -> &Row {
        &self.rows[position]
    }

    /// Returns the position of an endpoint's row.
    pub fn find(&self, endpoint: &EndpointId) -> Option<usize> {
        self.index.get(endpoint).copied()
    }

    /// Returns the row of an endpoint.
    pub fn get_mut(&mut self, endpoint: &EndpointId) -> Option<&mut Row> {
        let position = self.find(endpoint)?;
        self.rows.get_mut(position)
    }

    /// Returns the endpoints of a target.
    pub fn group(&self, target: &Target) -> Option<&Group> {
        self.groups.get(target)
    }

    /// Sets whether requests for a target are sent to other regions.
    pub fn set_spilled(&mut self, target: &Target, spilled: bool) {
        if let Some(group) = self.groups.get_mut(target) {
            group.spilled = spilled;
        }
    }

    /// Returns the positions of the rows that normally serve a target: those in this region if any
    /// is usable, otherwise the others.
    pub fn nearest(&self, now: Duration, target: &Target) -> Vec<usize> {
        let near = self.groups.get(target).into_iter().flat_map(|group| &group.near);
        let near = near.copied().filter(|position| self.rows[*position].usable(now));
        let near: Vec<usize> = near.take(MAX_CANDIDATES).collect();
        if near.is_empty() { self.candidates(now, target, 0) } else { near }
    }

    /// Returns the positions of the rows that a request waits for: at most `MAX_CANDIDATES`, those
    /// in this region first. Each request starts at a different row, so that every row has requests
    /// waiting for it. If no row is usable, returns ejected ones.
    pub fn candidates(&self, now: Duration, target: &Target, id: RequestId) -> Vec<usize> {
        let Some(group) = self.groups.get(target) else {
            return Vec::new();
        };
        let rotated = |positions: &[usize]| -> Vec<usize> {
            let offset = id as usize % positions.len().max(1);
            positions[offset..].iter().chain(&positions[..offset]).copied().collect()
        };
        let rows: Vec<usize> =
            rotated(&group.near).into_iter().chain(rotated(&group.far)).collect();
        let usable = rows.iter().copied().filter(|position| self.rows[*position].usable(now));
        let usable: Vec<usize> = usable.take(MAX_CANDIDATES).collect();
        if !usable.is_empty() {
            return usable;
        }
        rows.into_iter()
            .filter(|position| !self.rows[*position].leaving)
            .take(MAX_CANDIDATES)
            .collect()
    }

    /// Returns whether another request is within the pace of an endpoint.
    pub fn is_within_pace(&self, now: Duration, position: usize) -> bool {
        let row = &self.rows[position];
        row.pace(now).is_none_or(|pace| {
            let seat = xxh3_64(row.instance.address.to_string().as_bytes());
            let seat = seat.wrapping_add(self.seat);
            let share = Share::Part { daemons: self.entry_count(row), seat };
            pace.allows(now, row.load(), row.running, share)
        })
    }

    /// Records the first byte of an answer, `elapsed` after dispatch.
    pub fn on_first_byte(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        job: &Job,
        elapsed: Duration,
    ) {
        let Some(position) = self.find(endpoint) else {
            return;
        };
        let (max, expected) =
            (self.total_slots(position), self.expected_first_byte(now, position, job));
        let row = &mut self.rows[position];
        let is_in_time = row.timing.on_first_byte(job.prompt_tokens, elapsed);
        let (load, running, is_usable) = (row.load(), row.running, row.usable(now));
        (row.pace, row.observed_at) = (row.pace(now), now);
        match &mut row.pace {
            // An answer to a request from before the ejection says nothing about the time after it.
            Some(pace) if is_usable => {
                pace.on_answer(now, elapsed, expected, load, running);
                if pace.has_ended(now, max) {
                    row.pace = None;
                }
            }
            Some(_) => {}
            None if is_in_time => row.limit.increase(running),
            None => row.limit.decrease(now),
        }
    }

    /// Records a successful answer. Its requests are bounded if it is the first since an ejection.
    pub fn on_success(&mut self, now: Duration, endpoint: &EndpointId) {
        if let Some(position) = self.find(endpoint)
            && self.rows[position].health.on_success(now)
        {
            self.start_pace(now, position);
        }
    }

    /// Bounds the requests at an endpoint from `now` on.
    fn start_pace(&mut self, now: Duration, position: usize) {
        let slots = self.total_slots(position);
        self.rows[position].pace = Some(Pace::new(now, slots, false));
    }

    /// Bounds the requests at a new endpoint, unless most endpoints of its service are new.
    fn pace_new(&mut self, now: Duration, position: usize) {
        let Instance { role, service, .. } = &self.rows[position].instance;
        let same = self.rows.iter().filter(|row| row.is_of(*role, service.as_ref()));
        let new = same.clone().filter(|row| now < row.known_since + pace::NEW_PERIOD);
        if !pace::is_fleet_new(new.count(), same.count()) {
            self.start_pace(now, position);
        }
    }

    /// Returns the number of entries that send requests to an endpoint.
    fn entry_count(&self, row: &Row) -> usize {
        let same = self.entries.iter().filter(|region| **region == row.instance.region);
        same.count().max(1)
    }

    /// Returns the number of requests that all entries may run at an endpoint, if their limits are
    /// like this one's.
    fn total_slots(&self, position: usize) -> u32 {
        let row = &self.rows[position];
        let entries = u32::try_from(self.entry_count(row)).unwrap_or(u32::MAX);
        row.limit.slots().saturating_mul(entries)
    }

    /// Returns the time to a request's first byte that is usual at the other endpoints of its target
    /// in the same region, if known.
    fn expected_first_byte(&self, now: Duration, position: usize, job: &Job) -> Option<Duration> {
        let group = self.groups.get(&job.target)?;
        let positions = if self.rows[position].near { &group.near } else { &group.far };
        let others = positions.iter().filter(|other| **other != position);
        let rows = others.map(|other| &self.rows[*other]);
        let known = rows.filter(|row| row.timing.samples > 0 && row.pace(now).is_none());
        let prompt = f64::from(job.prompt_tokens);
        let seconds: Vec<f64> = known.map(|row| row.timing.first_byte_seconds(prompt)).collect();
        (!seconds.is_empty()).then(|| Duration::from_secs_f64(outlier::median(seconds)))
    }

    /// Returns the median of the limits at a service's endpoints, for a new one.
    fn usual_limit(&self, role: Role, service: Option<&ServiceId>) -> Limit {
        let same = self.rows.iter().filter(|row| row.is_of(role, service) && !row.leaving);
        let mut limits: Vec<&Limit> = same.map(|row| &row.limit).collect();
        limits.sort_unstable_by_key(|limit| limit.slots());
        limits.get(limits.len() / 2).map_or_else(Limit::default, |limit| (*limit).clone())
    }

    /// Applies the instance list. An empty list means that the list is broken, so it is ignored.
    pub fn on_instances(&mut self, now: Duration, instances: Vec<Instance>) {
        if instances.is_empty() {
            return;
        }
        let entries = instances.iter().filter(|instance| instance.role == Role::Entry);
        self.entries = entries.map(|instance| instance.region.clone()).collect();
        let is_known = |instance: &&Instance| {
            self.find(&instance.address).is_some_and(|position| {
                self.rows[position].instance.incarnation >= instance.incarnation
            })
        };
        let unknown = instances.iter().filter(|instance| !is_known(instance));
        let mut new: HashMap<EndpointId, Row> = unknown
            .filter(|instance| instance.role != Role::Entry)
            .map(|instance| (instance.address, self.new_row(now, instance.clone())))
            .collect();
        let added: Vec<EndpointId> = new.keys().copied().collect();
        let mut old: HashMap<EndpointId, Row> =
            self.rows.drain(..).map(|row| (row.instance.address, row)).collect();
        for instance in instances.into_iter().filter(|instance| instance.role != Role::Entry) {
            let row = match (old.remove(&instance.address), new.remove(&instance.address)) {
                // A new incarnation at the same address: observations of the old one don't apply.
                (_, Some(row)) => row,
                // The list lags and shows an earlier incarnation.
                (Some(row), None) if row.instance.incarnation > instance.incarnation => row,
                (Some(row), None) => Row { instance, ..row },
                // Listed twice.
                (None, None) => continue,
            };
            self.rows.push(row);
        }
        // An endpoint that is no longer listed gets no new work; its running requests may finish.
        for (_, mut row) in old.into_iter().filter(|(_, row)| row.running > 0) {
            row.instance.state = Presence::Leaving;
            self.rows.push(row);
        }
        self.rows.sort_by_key(|row| row.instance.address);
        self.rebuild();
        for position in added.iter().filter_map(|endpoint| self.find(endpoint)).collect::<Vec<_>>()
        {
            self.pace_new(now, position);
        }
    }

    /// Sets the number of this entry's requests at each endpoint from `in_flight`, which gives for
    /// each request its endpoint and whether it is a suspect.
    pub fn recount(&mut self, in_flight: &[(EndpointId, bool)]) {
        for row in &mut self.rows {
            (row.running, row.suspects) = (0, 0);
        }
        for (endpoint, suspect) in in_flight {
            if let Some(row) = self.get_mut(endpoint) {
                row.running += 1;
                row.suspects += u32::from(*suspect);
            }
        }
    }

    /// Applies an endpoint's report. Returns true if the targets that it serves, or whether it
    /// takes new work, have changed.
    pub fn on_report(&mut self, now: Duration, endpoint: &EndpointId, report: Report) -> bool {
        let Some(position) = self.find(endpoint) else {
            return false;
        };
        let row = &self.rows[position];
        if report.incarnation < row.instance.incarnation || stale(row, &report) {
            return false;
        }
        if report.incarnation > row.instance.incarnation {
            self.replace_restarted(now, position, &report);
        }
        let row = &mut self.rows[position];
        row.record_load(now, report.running, report.waiting);
        if report.draining {
            self.drain.record(*endpoint, report.incarnation);
        }
        let leaving = self.drain.is_leaving(endpoint, report.incarnation)
            || row.instance.state == Presence::Leaving;
        let unchanged = row.leaving == leaving
            && row.report.as_ref().is_some_and(|old| old.resident == report.resident);
        row.leaving = leaving;
        row.report = Some(report);
        if unchanged {
            return false;
        }
        let targets = served_targets(&self.rows[position]);
        self.reindex(position, targets);
        true
    }

    /// Applies the load that an endpoint's answer carried.
    pub fn on_load(&mut self, now: Duration, endpoint: &EndpointId, running: u32, waiting: u32) {
        if let Some(row) = self.get_mut(endpoint) {
            row.record_load(now, running, waiting);
        }
    }

    /// Records that an endpoint is leaving.
    pub fn set_leaving(&mut self, endpoint: &EndpointId) {
        if let Some(position) = self.find(endpoint) {
            let row = &mut self.rows[position];
            row.leaving = true;
            self.drain.record(*endpoint, row.instance.incarnation);
        }
    }

    /// Records that an endpoint doesn't have the target, contrary to its last report.
    pub fn remove_target(&mut self, endpoint: &EndpointId, target: &Target) {
        if let Some(position) = self.find(endpoint) {
            let remaining = self.rows[position]
                .targets
                .iter()
                .filter(|known| *known != target)
                .cloned()
                .collect();
            self.reindex(position, remaining);
        }
    }

    /// Replaces a peer's last digest.
    pub fn on_digest(&mut self, entry: EntryId, digest: Vec<(EndpointId, u32)>) {
        let old = self.digests.insert(entry, digest.clone()).unwrap_or_default();
        for (endpoint, running) in old {
            if let Some(row) = self.get_mut(&endpoint) {
                row.digest_load = row.digest_load.saturating_sub(running);
            }
        }
        for (endpoint, running) in digest {
            if let Some(row) = self.get_mut(&endpoint) {
                row.digest_load += running;
            }
        }
    }

    /// Ejects an endpoint unless too many are ejected already. The cap doesn't apply to an
    /// unreachable endpoint, since requests can't be sent there anyway.
    pub fn eject(&mut self, now: Duration, endpoint: &EndpointId, cause: Cause) {
        let ejected = self.rows.iter().filter(|row| !row.usable(now) && !row.leaving).count();
        if cause != Cause::Unreachable && !outlier::may_eject(ejected, self.rows.len()) {
            return;
        }
        let Some(position) = self.find(endpoint) else {
            return;
        };
        self.rows[position].timing.samples = 0;
        if let Some(ends_at) = self.rows[position].health.eject(now, cause) {
            match cause {
                Cause::Slow => self.start_pace(ends_at, position),
                // Starts with the first answer.
                Cause::Unreachable | Cause::Failing => self.rows[position].pace = None,
            }
        }
    }

    /// Ejects endpoints that are much slower than the median.
    pub fn eject_slow(&mut self, now: Duration) {
        let comparable = |row: &&Row| row.timing.samples >= outlier::MIN_SAMPLES && row.usable(now);
        let median_of = |value: fn(&Row) -> f64| {
            outlier::median(self.rows.iter().filter(comparable).map(value).collect())
        };
        let (token_median, first_byte_median) = (
            median_of(|row| row.timing.seconds_per_token),
            median_of(|row| row.timing.seconds_per_prompt_token),
        );
        let slow: Vec<EndpointId> = self
            .rows
            .iter()
            .filter(comparable)
            .filter(|row| {
                outlier::is_slow(row.timing.seconds_per_token, token_median)
                    || outlier::is_slow(row.timing.seconds_per_prompt_token, first_byte_median)
            })
            .map(|row| row.instance.address)
            .collect();
        for endpoint in slow {
            self.eject(now, &endpoint, Cause::Slow);
        }
    }

    /// Gives endpoints that are new or back from an ejection the median speed of their services' other
    /// endpoints if their own was not observed for a while. They would get no requests otherwise, so
    /// that nothing would show that they are no longer slow.
    pub fn forget_speeds(&mut self, now: Duration) {
        let is_known = |row: &&Row| row.pace(now).is_none() && row.timing.samples > 0;
        for position in 0..self.rows.len() {
            let row = &self.rows[position];
            let is_recent = now < row.observed_at + BOUNDED_OBSERVATION_WINDOW;
            if row.pace(now).is_none() || is_recent || row.timing.samples == 0 {
                continue;
            }
            let (role, service) = (row.instance.role, row.instance.service.as_ref());
            let same = self.rows.iter().filter(|other| other.is_of(role, service));
            let others: Vec<&Timing> = same.filter(is_known).map(|other| &other.timing).collect();
            if others.is_empty() {
                continue;
            }
            let median_of = |value: fn(&Timing) -> f64| {
                outlier::median(others.iter().map(|timing| value(timing)).collect())
            };
            self.rows[position].timing = Timing {
                seconds_per_token: median_of(|timing| timing.seconds_per_token),
                seconds_per_prompt_token: median_of(|timing| timing.seconds_per_prompt_token),
                samples: 0,
            };
        }
    }

    /// Replaces the row of an endpoint that reported a new incarnation before the list shows it.
    fn replace_restarted(&mut self, now: Duration, position: usize, report: &Report) {
        let old = &self.rows[position];
        let instance = Instance {
            incarnation: report.incarnation,
            state: Presence::Live,
            ..old.instance.clone()
        };
        let (running, suspects, digest_load) = (old.running, old.suspects, old.digest_load);
        let targets = old.targets.clone();
        self.rows[position] =
            Row { running, suspects, digest_load, targets, ..self.new_row(now, instance) };
        self.pace_new(now, position);
    }

    fn new_row(&self, now: Duration, instance: Instance) -> Row {
        Row {
            near: instance.region == self.home.region,
            leaving: instance.state == Presence::Leaving,
            limit: self.usual_limit(instance.role, instance.service.as_ref()),
            instance,
            report: None,
            targets: Vec::new(),
            timing: Timing::default(),
            health: Health::default(),
            running: 0,
            suspects: 0,
            pace: None,
            observed_at: now,
            known_since: now,
            reported_others: 0,
            digest_load: 0,
        }
    }

    fn rebuild(&mut self) {
        let numbered = self.rows.iter().enumerate();
        self.index = numbered.map(|(position, row)| (row.instance.address, position)).collect();
        let index = &self.index;
        self.drain.retain(|endpoint| index.contains_key(endpoint));
        let spilled: Vec<Target> =
            self.groups.drain().filter(|(_, group)| group.spilled).map(|(key, _)| key).collect();
        for position in 0..self.rows.len() {
            let row = &mut self.rows[position];
            row.digest_load = 0;
            row.leaving = row.instance.state == Presence::Leaving
                || self.drain.is_leaving(&row.instance.address, row.instance.incarnation);
            row.targets.clear();
            let targets = served_targets(row);
            self.reindex(position, targets);
        }
        for target in spilled {
            self.set_spilled(&target, true);
        }
        for (entry, digest) in std::mem::take(&mut self.digests) {
            self.on_digest(entry, digest);
        }
    }

    fn reindex(&mut self, position: usize, targets: Vec<Target>) {
        let row = &mut self.rows[position];
        let near = row.near;
        for target in std::mem::replace(&mut row.targets, targets) {
            if let Some(group) = self.groups.get_mut(&target) {
                group.near.retain(|other| *other != position);
                group.far.retain(|other| *other != position);
            }
        }
        for target in &self.rows[position].targets {
            let group = self.groups.entry(target.clone()).or_default();
            if near { group.near.push(position) } else { group.far.push(position) }
        }
    }
}

/// Returns whether a report is older than the row's last one.
fn stale(row: &Row, report: &Report) -> bool {
    row.report
        .as_ref()
        .is_some_and(|old| (report.incarnation, report.sequence) < (old.incarnation, old.sequence))
}

/// Returns the targets that an endpoint can serve according to its last report.
fn served_targets(row: &Row) -> Vec<Target> {
    if let Some(service) = &row.instance.service {
        return vec![Target::Service(service.clone())];
    }
    let resident = row.report.iter().flat_map(|report| &report.resident);
    let ready: Vec<_> = resident.filter(|item| item.stage == Stage::Resident).collect();
    let has_model =
        |model: &str| ready.iter().any(|item| item.adapter.is_none() && item.model == model);
    let mut targets: Vec<Target> = ready
        .iter()
        .filter(|item| has_model(&item.model))
        .map(|item| Target::Model(item.model.clone(), item.adapter.clone()))
        .collect();
    targets.sort();
    targets.dedup();
    targets
}
