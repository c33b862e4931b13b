//! What became of requests, by the lines of daemons' logs.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;

/// An engine with so many times the mean of all is crowded.
const CROWDED: usize = 3;

/// Why a request was not served in time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It was.
    InTime,
    /// Its first byte came too late.
    LateFirst,
    /// Two of its events came too far apart.
    Pause,
    /// The daemon refused it or gave it up, for this reason.
    Refused(String),
    /// Its answer broke off, for this reason.
    Cut(String),
    /// Its caller left before the end.
    Left,
    /// The endpoint answered with a failure.
    Failure,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::InTime => write!(f, "in time"),
            Cause::LateFirst => write!(f, "late first byte"),
            Cause::Pause => write!(f, "pause"),
            Cause::Refused(reason) => write!(f, "refused: {reason}"),
            Cause::Cut(reason) => write!(f, "cut: {reason}"),
            Cause::Left => write!(f, "caller left"),
            Cause::Failure => write!(f, "endpoint failed"),
        }
    }
}

/// The fields of log lines that count here.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Line {
    at: u64,
    event: String,
    request: String,
    route: String,
    endpoint: String,
    reason: String,
    model: Option<String>,
    outcome: String,
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

/// A request that was sent to an endpoint.
#[derive(Debug, Default)]
struct Open {
    route: String,
    /// Where it runs, if that is an engine.
    engine: Option<String>,
    waited: u64,
    aim: u64,
    gap: Option<u64>,
    late: bool,
}

/// What engines held at the end of a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests at engines.
    pub requests: usize,
    /// Engines that ever got one.
    pub engines: usize,
    /// The most requests at one.
    pub busiest: usize,
    /// Engines with three times the mean.
    pub crowded: usize,
    /// Engines with none.
    pub idle: usize,
}

type Call = (String, String, String);

/// What became of requests.
#[derive(Debug, Default)]
pub struct Account {
    window: Duration,
    /// In any order, as daemons' logs are read one after the other.
    lines: Vec<Line>,
    totals: BTreeMap<(String, Cause), u64>,
    windows: BTreeMap<u64, BTreeMap<Cause, u64>>,
    occupancy: BTreeMap<u64, Occupancy>,
    calls: BTreeMap<Call, u64>,
    calls_by_window: BTreeMap<u64, BTreeMap<String, u64>>,
    omitted: u64,
}

impl Account {
    /// Nothing read yet.
    pub fn new(window: Duration) -> Self {
        Account { window, ..Account::default() }
    }

    /// Takes a line of a log; one that is no line of a daemon is passed over.
    pub fn line(&mut self, text: &str) {
        let parsed = text.find('{').and_then(|start| serde_json::from_str(&text[start..]).ok());
        self.lines.extend(parsed);
    }

    /// All lines are read.
    pub fn close(&mut self) {
        let mut lines = std::mem::take(&mut self.lines);
        lines.sort_by_key(|line| line.at);
        let first = lines.first().map_or(0, |line| line.at);
        let mut open: HashMap<String, Open> = HashMap::new();
        let mut running: BTreeMap<String, usize> = BTreeMap::new();
        let mut window = 0;
        for line in &lines {
            let at = (line.at - first) / self.window.as_millis().max(1) as u64;
            while window < at {
                self.occupancy.insert(window, occupancy(&running));
                window += 1;
            }
            self.take(at, line, &mut open, &mut running);
        }
        self.occupancy.insert(window, occupancy(&running));
    }

    fn take(
        &mut self,
        at: u64,
        line: &Line,
        open: &mut HashMap<String, Open>,
        running: &mut BTreeMap<String, usize>,
    ) {
        let leave = |row: &mut Open, running: &mut BTreeMap<String, usize>| {
            let count = row.engine.take().and_then(|engine| running.get_mut(&engine));
            if let Some(count) = count {
                *count = count.saturating_sub(1);
            }
        };
        match line.event.as_str() {
            "sent" => {
                let row = open.entry(line.request.clone()).or_default();
                leave(row, running);
                row.route.clone_from(&line.route);
                (row.waited, row.aim, row.gap) = (line.waited, line.aim, line.gap);
                if line.model.is_some() {
                    *running.entry(line.endpoint.clone()).or_default() += 1;
                    row.engine = Some(line.endpoint.clone());
                }
            }
            "failed" => {
                if let Some(row) = open.get_mut(&line.request) {
                    leave(row, running);
                }
            }
            "answered" if line.outcome == "stream" => {
                if let Some(row) = open.get_mut(&line.request) {
                    row.late = row.waited + line.took > row.aim;
                }
            }
            "answered" | "ended" | "cut" | "left" | "refused" => {
                let mut row = open.remove(&line.request).unwrap_or_default();
                leave(&mut row, running);
                if row.route.is_empty() {
                    row.route.clone_from(&line.route);
                }
                let cause = cause(line, &row);
                *self.totals.entry((row.route, cause.clone())).or_default() += 1;
                if cause != Cause::InTime {
                    *self.windows.entry(at).or_default().entry(cause).or_default() += 1;
                }
            }
            "calls" => {
                let call = (line.object.clone(), line.op.clone(), line.outcome.clone());
                *self.calls.entry(call).or_default() += line.count;
                let objects = self.calls_by_window.entry(at).or_default();
                *objects.entry(line.object.clone()).or_default() += line.count;
            }
            "omitted" => self.omitted += line.lines,
            _ => {}
        }
    }

    fn time(&self, window: u64) -> Duration {
        self.window.saturating_mul(u32::try_from(window).unwrap_or(u32::MAX))
    }

    /// Whether no request has ended.
    pub fn is_empty(&self) -> bool {
        self.totals.is_empty()
    }

    /// How many requests of each route ended how.
    pub fn totals(&self) -> impl Iterator<Item = (&(String, Cause), u64)> {
        self.totals.iter().map(|(row, count)| (row, *count))
    }

    /// Requests that were not served in time, by window.
    pub fn windows(&self) -> impl Iterator<Item = (Duration, &BTreeMap<Cause, u64>)> {
        self.windows.iter().map(|(window, causes)| (self.time(*window), causes))
    }

    /// What engines held, by window.
    pub fn occupancy(&self) -> impl Iterator<Item = (Duration, Occupancy)> {
        self.occupancy.iter().map(|(window, row)| (self.time(*window), *row))
    }

    /// Calls to the store by object, kind and outcome.
    pub fn calls(&self) -> impl Iterator<Item = (&Call, u64)> {
        self.calls.iter().map(|(row, count)| (row, *count))
    }

    /// Calls to the store by window and object.
    pub fn calls_by_window(&self) -> impl Iterator<Item = (Duration, &BTreeMap<String, u64>)> {
        self.calls_by_window.iter().map(|(window, row)| (self.time(*window), row))
    }

    /// Lines that daemons left out.
    pub fn omitted(&self) -> u64 {
        self.omitted
    }
}

fn cause(line: &Line, row: &Open) -> Cause {
    match line.event.as_str() {
        "refused" => Cause::Refused(line.reason.clone()),
        "cut" => Cause::Cut(line.reason.clone()),
        "left" => Cause::Left,
        "answered" if line.status >= 500 => Cause::Failure,
        "answered" if row.waited + line.took > row.aim => Cause::LateFirst,
        "ended" if row.late => Cause::LateFirst,
        "ended" if row.gap.is_some_and(|gap| line.pause > gap) => Cause::Pause,
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
            .filter(|count| requests > 0 && **count * engines >= requests * CROWDED)
            .count(),
        idle: running.values().filter(|count| **count == 0).count(),
    }
}
