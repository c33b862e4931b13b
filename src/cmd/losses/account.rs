//! Counts the outcomes of requests from the log lines of daemons.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde_json::Value;

use super::slots::Engines;
use super::slots::Refusals;
use super::slots::Usage;
use super::team::Sender;
use super::team::Tally;
use super::team::is_refusal;

/// An engine is crowded at this many times the mean number of requests per engine.
const CROWDED_RATIO: usize = 3;

/// How a request ended: served in time, or why not.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Served in time.
    InTime,
    /// The first byte arrived after the target latency.
    LateFirstByte,
    /// Two events of the stream were further apart than the longest allowed pause.
    LongPause,
    /// The daemon refused or abandoned it, with this reason code.
    Refused(String),
    /// The response was cut off, with this reason code.
    Cut(String),
    /// The caller closed the connection before the end.
    Disconnected,
    /// The endpoint responded with a status of 500 or above.
    EndpointFailure,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::InTime => write!(f, "in time"),
            Cause::LateFirstByte => write!(f, "late first byte"),
            Cause::LongPause => write!(f, "pause"),
            Cause::Refused(reason) => write!(f, "refused: {reason}"),
            Cause::Cut(reason) => write!(f, "cut: {reason}"),
            Cause::Disconnected => write!(f, "caller disconnected"),
            Cause::EndpointFailure => write!(f, "endpoint failed"),
        }
    }
}

/// The fields of log lines that are evaluated; times and durations are in milliseconds.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Line {
    at: u64,
    pub(super) event: String,
    request: String,
    route: String,
    pub(super) endpoint: String,
    reason: String,
    error: Option<String>,
    /// None if the line has no such field, as in earlier releases.
    #[serde(deserialize_with = "field")]
    team: Option<Option<String>>,
    pub(super) service: Option<String>,
    pub(super) slots: Option<u32>,
    pub(super) born: u64,
    pub(super) state: String,
    /// A flag or a number, depending on the event.
    pub(super) held: Value,
    pub(super) model: Option<String>,
    pub(super) adapter: Option<String>,
    pub(super) action: String,
    pub(super) holds: Vec<String>,
    pub(super) victims: Vec<String>,
    pub(super) outcome: String,
    object: String,
    op: String,
    status: u16,
    took: u64,
    waited: u64,
    aim: u64,
    gap: Option<u64>,
    pause: u64,
    count: u64,
    lines: u64,
}

/// Deserializes a field that may be null, as opposed to one that is absent.
fn field<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Option<String>>, D::Error> {
    Deserialize::deserialize(from).map(Some)
}

/// A request that was sent to an endpoint and has not ended; durations are in milliseconds.
#[derive(Debug, Default)]
struct Request {
    route: String,
    sender: Sender,
    model: Option<String>,
    /// Engine that processes it; none for a plain service or between attempts.
    engine: Option<String>,
    waited: u64,
    target_latency: u64,
    max_pause: Option<u64>,
    late_first_byte: bool,
}

/// Distribution of the running requests over engines at the end of a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests running at all engines.
    pub requests: usize,
    /// Engines that have received a request so far.
    pub engines: usize,
    /// Requests at the engine with the most.
    pub busiest: usize,
    /// Engines with at least three times the mean number of requests.
    pub crowded: usize,
    /// Engines without a running request.
    pub idle: usize,
}

/// Object, kind and outcome of a call to the store.
type Call = (String, String, String);

/// Outcomes of requests, occupancy of engines and calls to the store, in total and by window.
#[derive(Debug, Default)]
pub struct Account {
    window: Duration,
    /// Unsorted, as the daemons' logs are read one after another.
    lines: Vec<Line>,
    totals: BTreeMap<(String, Cause), u64>,
    windows: BTreeMap<u64, BTreeMap<Cause, u64>>,
    occupancy: BTreeMap<u64, Occupancy>,
    calls: BTreeMap<Call, u64>,
    calls_by_window: BTreeMap<u64, BTreeMap<String, u64>>,
    teams: BTreeMap<Sender, Tally>,
    /// Refused requests that name a model, by reason.
    refusals: BTreeMap<String, Refusals>,
    /// Slots in use by second.
    usage: BTreeMap<u64, Usage>,
    omitted: u64,
}

impl Account {
    /// Returns an account without lines whose windows have the given length.
    pub fn new(window: Duration) -> Self {
        Account { window, ..Account::default() }
    }

    /// Parses a log line and adds it; a line without a daemon's JSON object is skipped.
    pub fn add_line(&mut self, text: &str) {
        let parsed = text.find('{').and_then(|start| serde_json::from_str(&text[start..]).ok());
        self.lines.extend(parsed);
    }

    /// Evaluates the lines in order of time, after all of them have been added.
    pub fn evaluate(&mut self) {
        let mut lines = std::mem::take(&mut self.lines);
        lines.sort_by_key(|line| line.at);
        let first = lines.first().map_or(0, |line| line.at);
        let mut open: HashMap<String, Request> = HashMap::new();
        let mut running: BTreeMap<String, usize> = BTreeMap::new();
        let mut engines = Engines::new(&lines);
        let (mut window, mut second) = (0, 0);
        for line in &lines {
            let line_window = (line.at - first) / self.window.as_millis().max(1) as u64;
            while window < line_window {
                self.occupancy.insert(window, occupancy(&running));
                window += 1;
            }
            while second < (line.at - first) / 1000 {
                self.record_usage(second, engines.usage(&running));
                second += 1;
            }
            engines.apply(line);
            if line.event == "refused" && line.model.is_some() && is_refusal(line.status) {
                self.usage.entry(second).or_default().refused += 1;
                if let Some(refusal) = engines.refusal(&running, line) {
                    self.refusals.entry(line.reason.clone()).or_default().add(refusal);
                }
            }
            if line.event == "failed"
                && line.error.as_deref() == Some("not_held")
                && let Some(model) = open.get(&line.request).and_then(|state| state.model.as_ref())
            {
                engines.remove_model(&line.endpoint, model);
            }
            self.apply(line_window, line, &mut open, &mut running);
        }
        self.occupancy.insert(window, occupancy(&running));
        self.record_usage(second, engines.usage(&running));
        for state in open.into_values() {
            self.teams.entry(state.sender).or_default().received += 1;
        }
    }

    fn record_usage(&mut self, second: u64, usage: Usage) {
        let row = self.usage.entry(second).or_default();
        *row = Usage { refused: row.refused, ..usage };
    }

    fn apply(
        &mut self,
        window_index: u64,
        line: &Line,
        open: &mut HashMap<String, Request>,
        running: &mut BTreeMap<String, usize>,
    ) {
        let release_engine = |state: &mut Request, running: &mut BTreeMap<String, usize>| {
            let count = state.engine.take().and_then(|engine| running.get_mut(&engine));
            if let Some(count) = count {
                *count = count.saturating_sub(1);
            }
        };
        match line.event.as_str() {
            "sent" => {
                let state = open.entry(line.request.clone()).or_default();
                release_engine(state, running);
                state.route.clone_from(&line.route);
                state.model.clone_from(&line.model);
                state.sender = line.team.clone().map_or(Sender::Unknown, Sender::from);
                (state.waited, state.target_latency, state.max_pause) =
                    (line.waited, line.aim, line.gap);
                if line.model.is_some() {
                    *running.entry(line.endpoint.clone()).or_default() += 1;
                    state.engine = Some(line.endpoint.clone());
                }
            }
            "failed" => {
                if let Some(state) = open.get_mut(&line.request) {
                    release_engine(state, running);
                }
            }
            "answered" if line.outcome == "stream" => {
                if let Some(state) = open.get_mut(&line.request) {
                    state.late_first_byte = state.waited + line.took > state.target_latency;
                }
            }
            "answered" | "ended" | "cut" | "left" | "refused" | "over_quota" => {
                let mut state = open.remove(&line.request).unwrap_or_default();
                release_engine(&mut state, running);
                if state.route.is_empty() {
                    state.route.clone_from(&line.route);
                }
                if let Some(team) = &line.team {
                    state.sender = team.clone().into();
                }
                let cause = cause(line, &state);
                self.teams.entry(state.sender).or_default().add(&cause, line.status);
                *self.totals.entry((state.route, cause.clone())).or_default() += 1;
                if cause != Cause::InTime {
                    *self.windows.entry(window_index).or_default().entry(cause).or_default() += 1;
                }
            }
            "calls" => {
                let call = (line.object.clone(), line.op.clone(), line.outcome.clone());
                *self.calls.entry(call).or_default() += line.count;
                let objects = self.calls_by_window.entry(window_index).or_default();
                *objects.entry(line.object.clone()).or_default() += line.count;
            }
            "omitted" => self.omitted += line.lines,
            _ => {}
        }
    }

    fn window_start(&self, window: u64) -> Duration {
        self.window.saturating_mul(u32::try_from(window).unwrap_or(u32::MAX))
    }

    /// Returns whether no request has ended.
    pub fn is_empty(&self) -> bool {
        self.totals.is_empty()
    }

    /// Returns the number of ended requests by route and cause.
    pub fn totals(&self) -> impl Iterator<Item = (&(String, Cause), u64)> {
        self.totals.iter().map(|(row, count)| (row, *count))
    }

    /// Returns the requests that were not served in time, by start of window and cause.
    pub fn windows(&self) -> impl Iterator<Item = (Duration, &BTreeMap<Cause, u64>)> {
        self.windows.iter().map(|(window, causes)| (self.window_start(*window), causes))
    }

    /// Returns the occupancy of engines by start of window.
    pub fn occupancy(&self) -> impl Iterator<Item = (Duration, Occupancy)> {
        self.occupancy.iter().map(|(window, row)| (self.window_start(*window), *row))
    }

    /// Returns the calls to the store by object, kind and outcome.
    pub fn calls(&self) -> impl Iterator<Item = (&Call, u64)> {
        self.calls.iter().map(|(row, count)| (row, *count))
    }

    /// Returns the calls to the store by start of window and object.
    pub fn calls_by_window(&self) -> impl Iterator<Item = (Duration, &BTreeMap<String, u64>)> {
        self.calls_by_window.iter().map(|(window, row)| (self.window_start(*window), row))
    }

    /// Returns the requests by who sent them; none if no line names a team.
    pub fn teams(&self) -> impl Iterator<Item = (&Sender, &Tally)> {
        let is_named = self.teams.keys().any(Sender::is_team);
        self.teams.iter().filter(move |_| is_named)
    }

    /// Returns the refused requests that name a model, by reason; none if the log does not state the
    /// slots of engines.
    pub fn refusals(&self) -> impl Iterator<Item = (&str, Refusals)> {
        self.refusals.iter().map(|(reason, row)| (reason.as_str(), *row))
    }

    /// Returns the slots in use by seconds since the first line.
    pub fn usage(&self) -> impl Iterator<Item = (u64, Usage)> {
        self.usage.iter().map(|(second, row)| (*second, *row))
    }

    /// Returns the number of log lines that daemons omitted.
    pub fn omitted(&self) -> u64 {
        self.omitted
    }
}

fn cause(line: &Line, state: &Request) -> Cause {
    match line.event.as_str() {
        "refused" => Cause::Refused(line.reason.clone()),
        "over_quota" => Cause::Refused("over_quota".to_string()),
        "cut" => Cause::Cut(line.reason.clone()),
        "left" => Cause::Disconnected,
        "answered" if line.status >= 500 => Cause::EndpointFailure,
        "answered" if state.waited + line.took > state.target_latency => Cause::LateFirstByte,
        "ended" if state.late_first_byte => Cause::LateFirstByte,
        "ended" if state.max_pause.is_some_and(|max_pause| line.pause > max_pause) => {
            Cause::LongPause
        }
        _ => Cause::InTime,
    }
}

fn occupancy(running: &BTreeMap<String, usize>) -> Occupancy {
    let requests: usize = running.values().sum();
    let engines = running.len();
    Occupancy {
        requests,
        engines,
        busiest: running.values().copied().max().unwrap_or(0),
        crowded: running
            .values()
            .filter(|count| requests > 0 && **count * engines >= requests * CROWDED_RATIO)
            .count(),
        idle: running.values().filter(|count| **count == 0).count(),
    }
}
