//! State of one endpoint, and the expected cost of a request there.
//!
//! Load pattern: an endpoint is used by many daemons, none of which sees the others' requests. It
//! may become slow, fail a part of its requests, become unresponsive or be replaced at its address.
//! Observations of it expire, so that an endpoint that was slow is tried again.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::decide::brittle;
use crate::decide::brittle::Sharing;
use crate::decide::contact;
use crate::decide::contact::Path;
use crate::decide::limit;
use crate::decide::limit::Statement;
use crate::decide::memory::Held;
use crate::decide::memory::Situation;
use crate::decide::pace;
use crate::decide::pace::Pace;
use crate::decide::pace::Share;
use crate::decide::pause;
use crate::decide::pause::Growth;
use crate::decide::pause::Pauses;
use crate::decide::prefill;
use crate::decide::prefill::Window;
use crate::decide::speed::Estimate;
use crate::decide::speed::Interval;
use crate::decide::speed::Ratio;
use crate::decide::speed::Speeds;
use crate::decide::stall::Silence;
use crate::decide::work_time::WorkTime;
use crate::edge::dialect::Load;
use crate::edge::dialect::Part;
use crate::table::RegionId;
use crate::table::SoftwareVersion;
use crate::table::instance::Instance;
use crate::table::instance::Key;
use crate::table::instance::Limit;
use crate::table::instance::Residency;
use crate::table::instance::Resident;
use crate::table::instance::State;
use crate::table::instance::is_resident;

/// Cost of a link between regions, in milliseconds of delay: traffic there is billed at about a
/// fiftieth of a request's value, and a late answer loses seven tenths of it.
const CROSS_REGION_COST: f64 = 25.0;
/// Cost of a link between data centers of a region, in milliseconds of delay.
const CROSS_DATA_CENTER_COST: f64 = 3.0;
/// Share of an engine's slots up to which its streams are on time.
const COMFORTABLE_LOAD_RATIO: f64 = 0.375;
/// Cost of late streams, in milliseconds, when the share of used slots is `COMFORTABLE_LOAD_RATIO`;
/// it grows with the cube of the load.
const LATENESS_COST: f64 = 30.0;
/// Cost of a late answer, in milliseconds of delay, on the scale of `CROSS_REGION_COST`: a late
/// answer loses seven tenths of its value.
const LATE_ANSWER_COST: f64 = 875.0;
/// Cost of a millisecond of delay for the prefill of other prompts, where lateness is counted by
/// engine: others may take the turn of a request that waits for a fast engine, until it is refused.
/// In virtual time with nearly all slots in use, up to 43 % of the requests were refused at 1, 15 %
/// at 4, 2 % at 8 and none at 1,000, with as many late streams.
const DELAY_COST_RATIO: f64 = 30.0;
/// Time over which the pauses of a new stream are predicted.
const STREAM_SPAN: Duration = Duration::from_millis(500);
/// Cost of each request that waits at the endpoint, in milliseconds.
const QUEUED_REQUEST_COST: f64 = 12.0;
/// Cost of a certain failure, in milliseconds.
const FAILURE_COST: f64 = 3_000.0;
/// Expected time to load an adapter, including the transit of the order, in milliseconds.
const ADAPTER_LOAD_COST: f64 = 80.0;
/// Cost of each adapter that is resident already, in milliseconds. Slots are few, and a replica in
/// each region would evict adapters that others use, so a distant engine with the adapter is
/// preferred over a near one that would have to load it.
const RESIDENT_ADAPTER_COST: f64 = 20.0;
/// Time after which an adapter that was not loaded is requested from another engine: the first may
/// be busy unloading a model for seconds.
const ADAPTER_LOAD_TIMEOUT: Duration = Duration::from_millis(350);
/// How long a requested adapter is remembered.
const ADAPTER_REQUEST_RETENTION: Duration = Duration::from_secs(2);
/// Cost of passing a request through another daemon, in milliseconds.
const FORWARD_COST: f64 = 5.0;
/// Cost of passing a request through a daemon that may not reach the endpoint either.
const UNCONFIRMED_COST: f64 = 500.0;
/// Cost of evicting another adapter first, and of an engine that did not load the adapter in time,
/// in milliseconds.
const ADAPTER_EVICTION_COST: f64 = 500.0;
/// Weight of one observation in the moving averages.
const OBSERVATION_SMOOTHING: f64 = 0.15;
/// Time in which the observations of an unused endpoint expire, so that one that was slow is tried
/// again.
const OBSERVATION_WINDOW: Duration = Duration::from_secs(4);
/// The same for an endpoint whose requests are bounded, where trying costs little.
const BOUNDED_OBSERVATION_WINDOW: Duration = Duration::from_secs(1);
/// How long an endpoint's load report is used.
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long an unreachable endpoint is not used, at first.
const MIN_DOWN_TIME: Duration = Duration::from_millis(400);
/// Upper bound of that time, as it doubles with each failure.
const MAX_DOWN_TIME: Duration = Duration::from_secs(3);
/// An endpoint with running requests from which nothing arrived for this long is unresponsive.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a model that turned out not to be resident is not requested from that endpoint again,
/// unless a new report arrives.
const NOT_RESIDENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long the placer's report on an engine's residents takes precedence over the engine's record
/// in the store, which lags by a heartbeat and the store's own delay.
const PLACER_REPORT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a report shows that an endpoint has not started again: one that has holds no model, and
/// takes longer to load one.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Prompt parts remembered for each endpoint.
const MAX_PARTS: usize = 2_000;
/// Requests sent to an engine at most, relative to its slots. Requests beyond its slots wait there,
/// where the engine takes the most urgent first, instead of being refused here just before a slot
/// becomes free. Credit earned on simulated days of two fleets, as a share of the marks: 0.70 and
/// 0.66 at 0.75, 0.77 and 0.73 at 1.0, 0.84 and 0.80 at 1.25.
const MAX_ENGINE_LOAD_RATIO: f64 = 1.25;
/// Requests that wait for a slot at a fast engine at most, relative to its slots.
const MAX_WAITING_RATIO: f64 = 0.5;
/// Requests sent to a plain service at most, relative to its slots. The excess waits there for a
/// few milliseconds, where a daemon would wait for the next load report.
const MAX_PLAIN_LOAD_RATIO: f64 = 2.0;

/// Requirements of a request on its endpoint.
#[derive(Debug, Clone)]
pub struct Requirements<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Model, if one is named.
    pub model: Option<&'a str>,
    /// Adapter of that model, if one is named.
    pub adapter: Option<&'a str>,
    /// Adapters that an engine has slots for.
    pub adapter_slots: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the answer.
    pub output_tokens: u32,
    /// Hashes of the prompt's prefixes, each with the tokens of its last part.
    pub parts: &'a [Part],
    /// Longest pause allowed between events of a stream; none where prefill delays no stream.
    pub max_pause: Option<Duration>,
    /// Endpoints at which the request failed.
    pub tried: &'a [Key],
    /// Endpoints that the daemon of the request does not call, if that is another daemon.
    pub excluded: Option<&'a [Exclusion]>,
    /// Region that the request has to stay in, if any.
    pub required_region: Option<&'a RegionId>,
    /// Version of the endpoint's software, if a stream is to go on there.
    pub software: Option<&'a str>,
}

/// An endpoint that a daemon does not call, as the endpoint has stated in a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exclusion {
    /// The endpoint.
    pub key: Key,
    /// Until when; none if the endpoint is leaving.
    pub until: Option<Duration>,
}

impl Requirements<'_> {
    /// Returns the tokens that an engine has to hold.
    pub fn tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }

    /// Returns for how long the daemon of the request does not call an endpoint; `None` if the
    /// endpoint is leaving.
    pub fn remaining_backoff(&self, now: Duration, row: &Endpoint) -> Option<Duration> {
        let Some(excluded) = self.excluded else {
            return Some(row.remaining_backoff(now));
        };
        match excluded.iter().find(|excluded| excluded.key == row.instance.key) {
            None => Some(Duration::ZERO),
            Some(Exclusion { until, .. }) => until.map(|until| until.saturating_sub(now)),
        }
    }
}

/// Distance to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same data center.
    SameDataCenter,
    /// Another data center of the same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

/// How a request ended at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Completed, or cancelled by its caller.
    #[default]
    Completed,
    /// Failed at the endpoint.
    Failed,
    /// Refused, as the endpoint lacks the model or adapter.
    NotResident,
    /// Refused, as another instance runs at the endpoint's address.
    Replaced,
    /// Not sent, as the endpoint could not be reached.
    Unreachable,
    /// Not sent to the endpoint.
    Unused,
    /// Not sent, as the endpoint's limit was reached or the endpoint takes no call now.
    Limited,
}

/// An endpoint's instance record and the observations of it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Latest instance record.
    pub instance: Instance,
    /// Distance from this daemon.
    pub distance: Distance,
    /// Running requests of this daemon.
    pub running: u32,
    /// Requests of other daemons that this daemon granted.
    pub granted: u32,
    /// Slots offered to other daemons that these have neither used nor declined yet.
    offered: u32,
    /// Other requests in the last load report, beyond those known here.
    other_requests: u32,
    /// Requests of the last load report that waited for a slot.
    waiting: u32,
    reported_at: Option<Duration>,
    /// Time that a connection takes to open, in milliseconds.
    connect_ms: f64,
    /// Delay of first bytes beyond the round trip and the prefill, in milliseconds.
    delay_ms: f64,
    /// Share of requests that failed.
    failure_ratio: f64,
    observed_at: Duration,
    /// When the endpoint last sent any byte, or got its first request while idle.
    last_activity: Duration,
    down_until: Option<Duration>,
    /// Connections that could not be opened since the last one that could.
    failed_connects: u32,
    path: Path,
    /// Connections that were tried in the background since contact was lost.
    probes: u32,
    /// When contact was lost, if the path is not direct.
    lost_at: Duration,
    /// When a connection is tried again, if the path is not direct.
    next_probe: Duration,
    /// When a report or an order of this daemon last ran out of time without an answer.
    unanswered_at: Option<Duration>,
    /// Requests that it has left unanswered.
    silence: Silence,
    /// Models and adapters that the endpoint refused as not resident, each until it may be
    /// requested again.
    not_resident: HashMap<(String, Option<String>), Duration>,
    parts: HashMap<u64, Duration>,
    /// Prompts that all daemons sent recently.
    recent_prompts: Window,
    /// Slowness of prefill against other endpoints.
    ratio: Ratio,
    /// Interval between events without prefill.
    event_interval: Interval,
    /// How long work takes, as it states.
    work_time: WorkTime,
    /// Whether it was noted that it states no usable figure of that.
    pub(in crate::decide) is_work_time_noted: bool,
    /// Known requests, by the memory that they need.
    pub(in crate::decide) held: Held,
    /// Pauses between events, without the effects of load and of the stated figures.
    pauses: Pauses,
    /// Adapters that were requested, and since when.
    requested_adapters: HashMap<String, Duration>,
    /// When the endpoint is removed unless its record, which is missing from the store, returns.
    pub(in crate::decide) expires_at: Option<Duration>,
    /// Whether the endpoint has left, or another instance answers at its address.
    is_gone: bool,
    /// When its own report last named the incarnation of its record.
    confirmed_at: Option<Duration>,
    /// Whether its record has named another version of its software before.
    has_changed_software: bool,
    /// Residents in the endpoint's record, until they take effect.
    recorded_resident: Option<Vec<Resident>>,
    /// Until when the engine accepts no order for an adapter.
    busy_until: Duration,
    /// When the placer last reported the residents, and after how many orders.
    placer_report: Option<(Duration, u64)>,
    /// The limit that it states in its responses.
    statement: Statement,
    /// When that limit last changed.
    statement_changed_at: Option<Duration>,
    /// Until when it is not chosen, as no permit under its limit is expected before.
    paused_until: Duration,
    /// Until when it wants no calls from this daemon.
    pub(in crate::decide) backoff_until: Duration,
    /// Reports and orders that this daemon requested of it.
    pub control_calls: u64,
    /// The number of rejections within a second beyond which it fails, if it stated one, and when
    /// it last did.
    brittle: Option<(u32, Duration)>,
    /// When the endpoint became known.
    known_since: Duration,
    /// Bound on its requests; none if slots are the only limit.
    pace: Option<Pace>,
}

impl Endpoint {
    /// Creates an endpoint without observations from its record.
    pub fn new(now: Duration, instance: Instance, distance: Distance) -> Self {
        // Estimates of the round trip by distance, until a connection has opened.
        let connect_ms = match distance {
            Distance::SameDataCenter => 0.5,
            Distance::SameRegion => 2.0,
            Distance::OtherRegion => 60.0,
        };
        Endpoint {
            instance,
            distance,
            running: 0,
            granted: 0,
            offered: 0,
            other_requests: 0,
            waiting: 0,
            reported_at: None,
            connect_ms,
            delay_ms: 0.0,
            failure_ratio: 0.0,
            observed_at: now,
            last_activity: now,
            down_until: None,
            failed_connects: 0,
            path: Path::default(),
            probes: 0,
            lost_at: Duration::ZERO,
            next_probe: Duration::ZERO,
            unanswered_at: None,
            silence: Silence::default(),
            not_resident: HashMap::new(),
            parts: HashMap::new(),
            recent_prompts: Window::default(),
            ratio: Ratio::default(),
            event_interval: Interval::default(),
            work_time: WorkTime::default(),
            is_work_time_noted: false,
            held: Held::default(),
            pauses: Pauses::default(),
            requested_adapters: HashMap::new(),
            expires_at: None,
            is_gone: false,
            confirmed_at: None,
            has_changed_software: false,
            recorded_resident: None,
            busy_until: now,
            placer_report: None,
            statement: Statement::default(),
            statement_changed_at: None,
            paused_until: Duration::ZERO,
            backoff_until: Duration::ZERO,
            control_calls: 0,
            brittle: None,
            known_since: now,
            pace: None,
        }
    }

    /// Returns the number of rejections within a second beyond which the endpoint fails, if it says
    /// that it is brittle.
    pub fn max_rejections(&self, now: Duration) -> Option<u32> {
        let (max, stated_at) = self.brittle?;
        (now < stated_at + brittle::STATEMENT_TIMEOUT).then_some(max)
    }

    /// Records that the endpoint says that it is brittle, and returns whether that is new.
    pub fn on_brittle(&mut self, now: Duration, max_rejections: u32) -> bool {
        let is_new = self.max_rejections(now) != Some(max_rejections);
        self.brittle = Some((max_rejections, now));
        is_new
    }

    /// Returns whether the endpoint takes another request of this daemon.
    pub fn has_room(
        &self,
        now: Duration,
        is_engine: bool,
        sharing: Sharing,
        growth: &Growth,
    ) -> bool {
        let load = self.load(now);
        if self.max_rejections(now).is_none() {
            return load < self.max_requests(now, is_engine, growth);
        }
        brittle::has_room(self.instance.slots, is_engine, load, self.running, sharing)
    }

    /// Returns whether the endpoint is within its pace with another request of this daemon. `seat`
    /// differs between daemons.
    pub fn is_within_pace(
        &self,
        now: Duration,
        is_engine: bool,
        sharing: Sharing,
        seat: u64,
    ) -> bool {
        self.pace.is_none_or(|pace| {
            let seat = seat.wrapping_add(xxh3_64(self.instance.key.id.as_bytes()));
            let own = self.running + self.granted;
            pace.allows(now, self.load(now), own, Share::new(is_engine, sharing, seat))
        })
    }

    /// Returns whether a request could begin at once at this endpoint, as far as known, and is not
    /// expected to fail: slots are its only limit, one is free, and at most one request has failed
    /// lately.
    pub fn is_established(&self, now: Duration) -> bool {
        let is_recent = now < self.observed_at + OBSERVATION_WINDOW;
        let is_failing = is_recent && self.failure_ratio > OBSERVATION_SMOOTHING;
        self.pace.is_none() && !is_failing && self.load(now) < self.instance.slots
    }

    /// Returns the bound on the requests of all daemons here; none if slots are the only limit.
    pub fn pace_bound(&self) -> Option<u32> {
        self.pace.map(|pace| pace.bound())
    }

    /// Returns whether the endpoint has become known lately.
    pub fn is_new(&self, now: Duration) -> bool {
        now < self.known_since + pace::NEW_PERIOD
    }

    /// Bounds the requests as for an endpoint that has just started.
    pub fn start_pace(&mut self, now: Duration) {
        let is_cold = !self.instance.warmup.is_zero();
        self.pace = Some(Pace::new(now, self.instance.slots, is_cold));
    }

    /// Records a first byte for the bound, where `usual_delay` is that of other endpoints, if known.
    pub fn record_pace(
        &mut self,
        now: Duration,
        took: Duration,
        estimate: &Estimate,
        usual_delay: Option<Duration>,
    ) {
        let load = self.load(now);
        let max = (f64::from(self.instance.slots) * MAX_ENGINE_LOAD_RATIO) as u32;
        if let Some(pace) = &mut self.pace {
            let expected = usual_delay
                .map(|usual_delay| estimate.own_prefill + estimate.queued_prefill + usual_delay);
            pace.on_answer(now, took, expected, load, self.running + self.granted);
            if pace.has_ended(now, max) {
                self.pace = None;
            }
        }
    }

    /// Returns the recent delay of first bytes, if there is one.
    pub fn recent_delay(&self, now: Duration) -> Option<Duration> {
        let is_recent = now < self.observed_at + OBSERVATION_WINDOW && self.delay_ms > 0.0;
        is_recent.then(|| Duration::from_secs_f64(self.delay_ms / 1000.0))
    }

    /// Returns whether the endpoint accepts new requests.
    pub fn is_usable(&self, now: Duration) -> bool {
        let is_available = !self.is_down(now) && !self.silence.is_stalled();
        self.instance.state == State::Live && !self.is_gone && is_available
    }

    /// Returns the version of its software; none if its record has named different ones, as an
    /// endpoint does not change its software while it runs.
    pub fn software(&self) -> Option<&SoftwareVersion> {
        (!self.has_changed_software).then_some(&self.instance.software)
    }

    /// Returns whether its own report has shown recently that it has not started again.
    pub fn is_confirmed(&self, now: Duration) -> bool {
        self.confirmed_at.is_some_and(|at| now < at + CONFIRMATION_TIMEOUT)
    }

    /// Records that a report that was requested at `now` names the incarnation of its record.
    pub fn confirm(&mut self, now: Duration) {
        self.confirmed_at = Some(now);
    }

    /// Returns whether the last connection that this daemon tried to open was opened.
    pub fn is_reached(&self) -> bool {
        self.failed_connects == 0
    }

    /// Returns whether the endpoint is not used for now, as no daemon could reach it.
    pub fn is_down(&self, now: Duration) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Returns how this daemon's requests reach the endpoint.
    pub fn path(&self) -> Path {
        self.path
    }

    /// Returns whether this daemon lost contact after `since`.
    pub fn is_lost_since(&self, since: Duration) -> bool {
        self.path != Path::Direct && self.lost_at >= since
    }

    /// Returns whether contact was lost, at most one connection was tried since, and no other daemon
    /// is known to reach the endpoint.
    pub fn is_newly_lost(&self) -> bool {
        self.path == Path::Unconfirmed && self.probes <= 1
    }

    /// Returns whether a connection to the lost endpoint is to be tried.
    pub fn is_probe_due(&self, now: Duration) -> bool {
        self.path != Path::Direct && self.next_probe <= now
    }

    /// Returns the cost of the path, in milliseconds.
    pub fn path_cost(&self) -> f64 {
        match self.path {
            Path::Direct => 0.0,
            Path::Forwarded => FORWARD_COST,
            Path::Unconfirmed => UNCONFIRMED_COST,
        }
    }

    /// Returns whether requests are under way from which nothing has arrived for that long, or a
    /// call was not answered after `last_received`.
    pub fn is_silent(&self, now: Duration, span: Duration, last_received: Duration) -> bool {
        let is_unanswered = self.unanswered_at.is_some_and(|at| at >= last_received);
        let is_waiting = self.running > 0 && now >= self.last_activity + span;
        self.path == Path::Direct && (is_waiting || is_unanswered)
    }

    /// Records that a report or an order ran out of time without an answer.
    pub fn record_unanswered(&mut self, now: Duration) {
        self.unanswered_at = Some(now);
    }

    /// Returns whether the endpoint is unresponsive although it has requests.
    fn is_unresponsive(&self, now: Duration) -> bool {
        self.running > 0 && now > self.last_activity + UNRESPONSIVE_TIMEOUT
    }

    /// Returns the limit that the endpoint states.
    pub fn limit(&self) -> Option<Limit> {
        self.statement.limit
    }

    /// Returns what the endpoint stated last about its limit.
    pub fn statement(&self) -> Statement {
        self.statement
    }

    /// Returns whether the limit has changed since then.
    pub fn is_limit_changed_since(&self, since: Duration) -> bool {
        self.statement_changed_at.is_some_and(|changed_at| changed_at >= since)
    }

    /// Returns how long no permit under the limit is expected.
    pub fn remaining_pause(&self, now: Duration) -> Duration {
        let until = if self.statement.limit.is_some() { self.paused_until } else { now };
        until.saturating_sub(now)
    }

    /// Returns for how long the endpoint wants no calls from this daemon.
    pub fn remaining_backoff(&self, now: Duration) -> Duration {
        self.backoff_until.saturating_sub(now)
    }

    /// Returns until when this daemon does not call the endpoint, if it does not call it now.
    pub fn exclusion(&self, now: Duration) -> Option<Exclusion> {
        let until = match self.instance.state {
            State::Leaving => None,
            State::Live if self.backoff_until > now => Some(self.backoff_until),
            State::Live => return None,
        };
        Some(Exclusion { key: self.instance.key.clone(), until })
    }

    /// Returns the number of requests at the endpoint, as far as known.
    pub fn load(&self, now: Duration) -> u32 {
        let others = if self.has_recent_load(now) { self.other_requests } else { 0 };
        (self.running + self.granted + self.offered).saturating_add(others)
    }

    /// Returns whether the last load report is recent enough to be used.
    fn has_recent_load(&self, now: Duration) -> bool {
        self.reported_at.is_some_and(|received| now < received + LOAD_REPORT_TIMEOUT)
    }

    /// Returns the tokens of the requests that this daemon knows there.
    pub fn held_tokens(&self) -> u64 {
        self.held.tokens()
    }

    /// Returns what decides on whether the engine can hold another request.
    pub fn memory_situation(&self, now: Duration) -> Situation<'_> {
        Situation {
            service: &self.instance.service,
            slots: self.instance.slots,
            held: &self.held,
            load: self.load(now),
        }
    }

    /// Returns whether a model is resident, and with it the adapter if one is named.
    pub fn is_resident(&self, now: Duration, model: &str, adapter: Option<&str>) -> bool {
        is_resident(&self.instance.resident, model, adapter)
            && !self.is_missing_model(now, model, adapter)
    }

    fn is_missing_model(&self, now: Duration, model: &str, adapter: Option<&str>) -> bool {
        let is_missing = |adapter: Option<&str>| {
            let key = (model.to_string(), adapter.map(str::to_string));
            self.not_resident.get(&key).is_some_and(|until| now < *until)
        };
        !self.not_resident.is_empty()
            && (is_missing(None) || (adapter.is_some() && is_missing(adapter)))
    }

    /// Returns the prompt tokens that the endpoint has not cached.
    fn uncached_tokens(&self, requirements: &Requirements<'_>) -> u32 {
        let cached = requirements.parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        let cached_tokens: u32 = cached.map(|part| part.tokens).sum();
        requirements.prompt_tokens.saturating_sub(cached_tokens)
    }

    /// Estimates the prefill of the request's prompt at this endpoint.
    pub fn estimate(
        &self,
        now: Duration,
        requirements: &Requirements<'_>,
        speeds: &Speeds,
    ) -> Estimate {
        let tokens = self.uncached_tokens(requirements);
        let prefill = |ratio: &Ratio| speeds.prefill_time(requirements.model, ratio, tokens);
        let work_time = self.work_time.expected(now, prefill(&self.ratio));
        let own_prefill = prefill(&self.ratio.scaled(work_time));
        Estimate { tokens, own_prefill, queued_prefill: self.recent_prompts.backlog(now) }
    }

    /// Returns how long a prompt has to wait until its prefill delays no stream here beyond
    /// `max_pause`.
    pub fn prefill_delay(
        &self,
        now: Duration,
        max_pause: Duration,
        estimate: &Estimate,
    ) -> Duration {
        self.recent_prompts.wait(
            now,
            max_pause,
            prefill::budget(max_pause, self.event_interval.get()),
            estimate.own_prefill,
        )
    }

    fn observation_window(&self) -> Duration {
        if self.pace.is_some() { BOUNDED_OBSERVATION_WINDOW } else { OBSERVATION_WINDOW }
    }

    /// Returns the cost of a request: the expected milliseconds to its first byte, plus penalties
    /// for distance, load and failures.
    pub fn cost(
        &self,
        now: Duration,
        is_engine: bool,
        max_pause: Option<Duration>,
        estimate: &Estimate,
        growth: &Growth,
    ) -> f64 {
        let window = self.observation_window().as_secs_f64();
        let idle = now.saturating_sub(self.observed_at).as_secs_f64() / window;
        let freshness = (1.0 - idle).max(0.0);
        let distance = match self.distance {
            Distance::SameDataCenter => 0.0,
            Distance::SameRegion => CROSS_DATA_CENTER_COST,
            Distance::OtherRegion => CROSS_REGION_COST,
        };
        let load = f64::from(self.load(now));
        let slots = f64::from(self.instance.slots);
        let delay = Duration::from_secs_f64(self.delay_ms / 1000.0);
        let delay_ms = self.delay_ms * self.work_time.expected(now, delay);
        let load_cost = if is_engine {
            LATENESS_COST * (load / slots / COMFORTABLE_LOAD_RATIO).powi(3)
                + QUEUED_REQUEST_COST * (load - slots).max(0.0)
        } else {
            delay_ms.max(1.0) * freshness * (load / slots)
        };
        let lateness_cost =
            max_pause.and_then(|max_pause| self.lateness_cost(now, max_pause, growth));
        let cold_cost = self.instance.warmup.as_secs_f64() * 20.0;
        let unresponsive_cost = if self.is_unresponsive(now) { FAILURE_COST / 2.0 } else { 0.0 };
        self.connect_ms
            + delay_ms * freshness
            + distance
            + load_cost
            + lateness_cost.unwrap_or(0.0)
            + estimate.own_prefill.as_secs_f64() * 1000.0
            + cold_cost
            + unresponsive_cost
            + self.failure_ratio * freshness * FAILURE_COST
    }

    /// Returns the expected pause between events with that many requests; none if the endpoint does
    /// not state how long work takes, or no pause was observed.
    fn expected_pause(&self, now: Duration, load: u32, growth: &Growth) -> Option<Duration> {
        let work_time = self.work_time.expected(now, STREAM_SPAN);
        let ratio = f64::from(load) / f64::from(self.instance.slots.max(1));
        self.pauses.expected(growth, ratio, work_time).filter(|_| self.work_time.is_stated())
    }

    /// Returns the cost of the streams that become late if the endpoint is sent another request, in
    /// milliseconds; none if their pauses are not known.
    fn lateness_cost(&self, now: Duration, max_pause: Duration, growth: &Growth) -> Option<f64> {
        let load = self.load(now);
        self.expected_pause(now, load, growth)?;
        let late_ratio = |load: u32| {
            let expected = self.expected_pause(now, load, growth).unwrap_or_default();
            pause::late_ratio(expected, max_pause)
        };
        Some(LATE_ANSWER_COST * pause::added_late(load, late_ratio))
    }

    /// Returns the cost of a delay before the request is sent, in milliseconds.
    pub fn delay_cost(&self, delay: Duration) -> f64 {
        let ratio = if self.work_time.is_stated() { DELAY_COST_RATIO } else { 1.0 };
        delay.as_secs_f64() * 1000.0 * ratio
    }

    /// Returns the percentage of the usual time that work is expected to take now, if the endpoint
    /// states such figures.
    pub fn work_percent(&self, now: Duration) -> Option<u32> {
        let expected = self.work_time.expected(now, Duration::ZERO);
        self.work_time.is_stated().then_some((expected * 100.0).round() as u32)
    }

    /// Returns the percentage of the usual time that work takes as the endpoint stated it last, and
    /// when that was.
    pub fn stated_work_time(&self) -> Option<(u32, Duration)> {
        self.work_time.newest()
    }

    /// Returns the cost of loading the required adapter here, in milliseconds.
    pub fn adapter_load_cost(&self, now: Duration, requirements: &Requirements<'_>) -> f64 {
        let resident_adapters: usize =
            self.instance.resident.iter().map(|row| row.adapters.len()).sum();
        let eviction_cost = if resident_adapters >= requirements.adapter_slots as usize {
            ADAPTER_EVICTION_COST
        } else {
            0.0
        };
        let requested_at =
            requirements.adapter.and_then(|adapter| self.requested_adapters.get(adapter));
        let timeout_cost =
            if requested_at.is_some_and(|requested| now > *requested + ADAPTER_LOAD_TIMEOUT) {
                ADAPTER_EVICTION_COST
            } else {
                0.0
            };
        let busy_ms = self.busy_for(now).as_secs_f64() * 1000.0;
        ADAPTER_LOAD_COST
            + RESIDENT_ADAPTER_COST * resident_adapters as f64
            + eviction_cost
            + timeout_cost
            + busy_ms
    }

    /// Returns the number of requests that the endpoint is sent at most unless it is brittle.
    fn max_requests(&self, now: Duration, is_engine: bool, growth: &Growth) -> u32 {
        let slots = f64::from(self.instance.slots);
        let ratio = if !is_engine {
            MAX_PLAIN_LOAD_RATIO
        } else if self.work_time.is_stated() {
            // The slower its streams, the longer a request waits there for one of them to end.
            let slowness = self.pauses.relative(growth, self.work_time.mean(now));
            let waiting = (MAX_ENGINE_LOAD_RATIO - 1.0) / slowness;
            1.0 + waiting.min(MAX_WAITING_RATIO)
        } else {
            MAX_ENGINE_LOAD_RATIO
        };
        (slots * ratio) as u32
    }

    /// Returns for how long the engine accepts no order for an adapter.
    pub fn busy_for(&self, now: Duration) -> Duration {
        self.busy_until.saturating_sub(now)
    }
}

impl Endpoint {
    /// Applies the residents of the endpoint's record, unless the placer's report is more recent.
    fn apply_recorded_resident(&mut self, now: Duration) {
        if self.placer_report.is_none_or(|(received, _)| now > received + PLACER_REPORT_TIMEOUT)
            && let Some(resident) = self.recorded_resident.take()
        {
            self.instance.resident = resident;
        }
    }

    fn record_delay(&mut self, now: Duration, delay: f64) {
        let idle = now.saturating_sub(self.observed_at) > self.observation_window();
        self.delay_ms = if idle {
            delay
        } else {
            self.delay_ms + (delay - self.delay_ms) * OBSERVATION_SMOOTHING
        };
        self.observed_at = now;
    }

    /// Updates the endpoint with a new version of its record.
    pub fn update_instance(&mut self, now: Duration, instance: Instance) {
        self.expires_at = None;
        if self.instance.resident != instance.resident {
            self.not_resident.clear();
        }
        self.has_changed_software |= self.instance.software != instance.software;
        self.recorded_resident = Some(instance.resident.clone());
        let resident = std::mem::take(&mut self.instance.resident);
        self.instance = Instance { resident, ..instance };
        self.apply_recorded_resident(now);
    }

    /// Updates the residents with a report of the placer.
    pub fn set_resident(&mut self, now: Duration, report: Residency) {
        if self.placer_report.is_none_or(|(_, applied_orders)| report.orders >= applied_orders) {
            self.placer_report = Some((now, report.orders));
            self.instance.resident = report.resident;
            self.busy_until = now + Duration::from_millis(report.busy.into());
            self.not_resident.clear();
        }
    }

    /// Applies what is due by `now`.
    pub fn tick(&mut self, now: Duration) {
        self.not_resident.retain(|_, until| *until > now);
        self.held.tick(now);
        self.apply_recorded_resident(now);
        self.pace = self.pace.filter(|pace| !pace.has_ended(now, u32::MAX));
    }

    /// Records a request that is sent here, with a prompt that takes `prefill_time` to read.
    pub fn start_request(&mut self, now: Duration, parts: &[Part], prefill_time: Duration) {
        if self.running == 0 {
            self.last_activity = now;
        }
        self.running += 1;
        self.space_requests(now);
        self.record_prompt(now, parts, prefill_time);
    }

    /// Records a prompt that another daemon sent here and that takes `prefill_time` to read.
    pub fn record_remote_prompt(&mut self, now: Duration, prefill_time: Duration) {
        self.recent_prompts.add(now, prefill_time);
    }

    /// Records a grant to another daemon, for a prompt that takes `prefill_time` to read.
    pub fn grant(&mut self, now: Duration, parts: &[Part], prefill_time: Duration) {
        self.granted += 1;
        self.space_requests(now);
        self.record_prompt(now, parts, prefill_time);
    }

    fn record_prompt(&mut self, now: Duration, parts: &[Part], prefill_time: Duration) {
        self.recent_prompts.add(now, prefill_time);
        if self.parts.len() > MAX_PARTS {
            let mut times: Vec<Duration> = self.parts.values().copied().collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.parts.retain(|_, sent_at| *sent_at > median);
        }
        for part in parts {
            self.parts.insert(part.id, now);
        }
    }

    /// Records that an adapter was requested here.
    pub fn request_adapter(&mut self, now: Duration, adapter: &str) {
        self.requested_adapters.retain(|_, requested| now < *requested + ADAPTER_REQUEST_RETENTION);
        self.requested_adapters.entry(adapter.to_string()).or_insert(now);
    }

    /// Records how long a connection took to open.
    pub fn record_connect(&mut self, took: Duration) {
        let took = took.as_secs_f64() * 1000.0;
        self.connect_ms += (took - self.connect_ms) * 0.3;
        self.failed_connects = 0;
        self.path = Path::Direct;
        self.down_until = None;
    }

    /// Records that this daemon can't connect to the endpoint, although others may.
    pub fn lose_contact(&mut self, now: Duration) {
        if self.path == Path::Direct {
            (self.path, self.lost_at, self.down_until) = (Path::Unconfirmed, now, None);
            self.failed_connects += 1;
            self.probes = 0;
            self.next_probe = now + contact::probe_interval(self.probes);
        }
    }

    /// Records that a connection to the lost endpoint is tried now, and schedules the next one.
    pub fn start_probe(&mut self, now: Duration) {
        self.probes += 1;
        self.next_probe = now + contact::probe_interval(self.probes);
    }

    /// Lets a connection to the lost endpoint be tried at once.
    pub fn hasten_probe(&mut self, now: Duration) {
        self.next_probe = self.next_probe.min(now);
    }

    /// Records that another daemon has reached the endpoint.
    pub fn record_forwarded(&mut self) {
        if self.path == Path::Unconfirmed {
            self.path = Path::Forwarded;
        }
    }

    /// Records that neither this daemon nor another one could reach the endpoint.
    pub fn record_unreachable(&mut self, now: Duration) {
        let was_counted = self.path != Path::Direct;
        self.path = Path::Direct;
        self.failed_connects -= u32::from(was_counted);
        let down_time =
            MIN_DOWN_TIME.saturating_mul(1 << self.failed_connects.min(4)).min(MAX_DOWN_TIME);
        self.down_until = Some(now + down_time);
        self.failed_connects += 1;
        self.start_pace(now);
    }

    /// Applies a statement of the endpoint's limit, and returns whether the limit has changed.
    pub fn on_statement(&mut self, now: Duration, statement: Statement) -> bool {
        let changed = self.statement.merge(statement);
        if changed {
            self.statement_changed_at = Some(now);
        }
        changed
    }

    /// Records that the endpoint states that it is leaving, and returns whether that is new. Its
    /// record may say so later, as the store may be unavailable.
    pub fn mark_leaving(&mut self) -> bool {
        std::mem::replace(&mut self.instance.state, State::Leaving) == State::Live
    }

    /// Records that the endpoint wants no calls from this daemon until then. An earlier statement
    /// of a longer time still holds.
    pub fn back_off_until(&mut self, until: Duration) {
        self.backoff_until = self.backoff_until.max(until);
    }

    /// Records that no permit under the limit is expected until then.
    pub fn pause_until(&mut self, until: Duration) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Spaces the requests that this daemon sends under a limit or a bound.
    fn space_requests(&mut self, now: Duration) {
        if let Some(pace) = &mut self.pace {
            pace.on_sent(now);
        }
        if let Some(limit) = self.statement.limit {
            self.pause_until(now + limit::interval(limit));
        }
    }

    /// Records that bytes arrived from the endpoint.
    pub fn record_activity(&mut self, now: Duration) {
        self.last_activity = now;
        self.silence.end();
    }

    /// Records that a request, which was sent at `sent_at`, was given up without an answer. Returns
    /// whether the endpoint is stalled from now on.
    pub fn record_given_up(&mut self, sent_at: Duration) -> bool {
        self.silence.on_given_up(sent_at, self.last_activity)
    }

    /// Returns whether the endpoint accepts requests and answers none.
    pub fn is_stalled(&self) -> bool {
        self.silence.is_stalled()
    }

    /// Records that it is not known any more whether the endpoint answers.
    pub fn end_stall(&mut self) {
        self.silence.end();
    }

    /// Returns whether it has sent a byte since `sent_at`, and so has read what was sent by then.
    pub fn has_answered_since(&self, sent_at: Duration) -> bool {
        self.last_activity > sent_at
    }

    /// Records an event of a stream that came `pause` after the previous one.
    pub fn record_event(&mut self, now: Duration, pause: Duration, growth: &mut Growth) {
        self.record_activity(now);
        self.event_interval.record(pause);
        if self.work_time.is_stated() {
            // A load report that is too old to choose by is still the best that is known.
            let load = f64::from(self.running + self.granted) + f64::from(self.other_requests);
            let load = load / f64::from(self.instance.slots.max(1));
            self.pauses.record(growth, pause, load, self.work_time.expected(now, pause));
        }
    }

    /// Returns the round trip, as estimated by the time that a connection takes to open.
    pub fn round_trip(&self) -> Duration {
        Duration::from_secs_f64(self.connect_ms / 1000.0)
    }

    /// Records the first byte of an answer, which came after `took`, less the round trip, where
    /// `estimate` was expected.
    pub fn record_first_byte(
        &mut self,
        now: Duration,
        took: Duration,
        model: Option<&str>,
        estimate: &Estimate,
        speeds: &mut Speeds,
    ) {
        let work_time = self.work_time.expected(now, took);
        if let Some(model) = model
            && !self.is_overloaded(now)
        {
            let estimate = estimate.scaled(1.0 / work_time);
            speeds.learn(model, &mut self.ratio, &estimate, took.div_f64(work_time));
        }
        let delay = took.saturating_sub(estimate.own_prefill + estimate.queued_prefill);
        self.record_delay(now, delay.as_secs_f64() * 1000.0 / work_time);
        self.record_activity(now);
        self.failure_ratio -= self.failure_ratio * OBSERVATION_SMOOTHING;
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, now: Duration) {
        self.observed_at = now;
        self.failure_ratio += (1.0 - self.failure_ratio) * OBSERVATION_SMOOTHING;
        match &mut self.pace {
            Some(pace) => pace.on_failure(now),
            None if self.failure_ratio > pace::MAX_FAILURE_RATIO => self.start_pace(now),
            None => {}
        }
    }

    /// Records the endpoint's load report.
    pub fn on_load_report(&mut self, now: Duration, load: Load) {
        self.other_requests =
            load.running.saturating_add(load.waiting).saturating_sub(self.running + self.granted);
        self.waiting = load.waiting;
        self.reported_at = Some(now);
        if let Some(percent) = load.work_time.percent() {
            self.on_work_time(now, Duration::ZERO, percent);
        }
    }

    /// Records how long work takes, as it stated `age` before half a round trip to it. A broker of
    /// its region that passes the figure on is as far away as the endpoint.
    pub fn on_work_time(&mut self, now: Duration, age: Duration, percent: u32) {
        // No endpoint states 0, but a damaged message may.
        if percent > 0 {
            self.work_time.record(now.saturating_sub(age + self.round_trip() / 2), percent);
        }
    }

    /// Records that another broker is about to grant a request here, which the next load report
    /// will include.
    pub fn expect_grant(&mut self) {
        self.other_requests = self.other_requests.saturating_add(1);
    }

    /// Records that a slot is kept free for another daemon.
    pub fn offer_slot(&mut self) {
        self.offered += 1;
    }

    /// Records that a slot is no longer kept free for another daemon, as that has used it or not.
    pub fn end_offer(&mut self, is_used: bool) {
        self.offered = self.offered.saturating_sub(1);
        self.other_requests = self.other_requests.saturating_add(is_used.into());
    }

    /// Records that another daemon offers a slot here. `load` are the requests that it knows here, apart
    /// from the offered slot: what this daemon was last told may be seconds old. Returns whether a
    /// request less is known now.
    pub fn accept_offer(&mut self, load: u32) -> bool {
        let previous = self.other_requests;
        self.other_requests = previous.saturating_sub(1).min(load);
        self.other_requests < previous
    }

    /// Returns whether first bytes depend more on other requests here than on the engine's speed:
    /// requests wait for a slot, or so many run that prefill alternates with their decoding steps.
    fn is_overloaded(&self, now: Duration) -> bool {
        let waiting = self.waiting > 0 && self.has_recent_load(now);
        waiting
            || f64::from(self.load(now)) > f64::from(self.instance.slots) * COMFORTABLE_LOAD_RATIO
    }

    /// Records that the endpoint refused a model or adapter as not resident.
    pub fn record_missing(&mut self, now: Duration, model: &str, adapter: Option<&str>) {
        let missing = (model.to_string(), adapter.map(str::to_string));
        self.not_resident.insert(missing, now + NOT_RESIDENT_TIMEOUT);
    }

    /// Records that another instance answers at the endpoint's address.
    pub fn mark_replaced(&mut self) {
        self.is_gone = true;
    }

    /// Returns how much slower the endpoint prefills than others with the same model.
    pub fn slowness(&self) -> f64 {
        self.ratio.get()
    }

    /// Returns the interval between events without prefill.
    pub fn event_interval(&self) -> Duration {
        self.event_interval.get()
    }
}
