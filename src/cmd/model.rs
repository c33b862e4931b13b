//! `poplarmux-trace model`: the decisions on one model or adapter, and for how long it was requested
//! and not resident.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Write;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use clap::Parser;
use serde_json::Map;
use serde_json::Value;

use crate::cmd::trace;
use crate::cmd::trace::Step;
use crate::error::Error;
use crate::table::AdapterId;
use crate::table::ModelId;

/// Prints the decisions on one model or adapter from the logs of several daemons, sorted by time.
///
/// The decisions are followed by the times in which requests for it were refused because it was not
/// resident, each with the reasons that the logs show. Lines that can't be read are counted. Exits
/// with 1 if no line names the model.
#[derive(Debug, Parser)]
pub struct Args {
    /// Name of the model, or of an adapter as MODEL/ADAPTER.
    pub name: Name,
    /// Log files of one or more daemons.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
}

/// Name of a model, or of an adapter of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Name {
    model: ModelId,
    adapter: Option<AdapterId>,
}

impl FromStr for Name {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (model, adapter) = match text.split_once('/') {
            None => (text, None),
            Some((model, adapter)) => (model, Some(adapter)),
        };
        if model.is_empty() || adapter.is_some_and(str::is_empty) {
            return Err("a name must be MODEL or MODEL/ADAPTER".to_string());
        }
        Ok(Name { model: model.to_string(), adapter: adapter.map(str::to_string) })
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            None => write!(f, "{}", self.model),
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
        }
    }
}

impl Name {
    /// Returns whether a line is about this model, with any adapter if none is named.
    fn is_subject(&self, line: &Map<String, Value>) -> bool {
        text(line, "model") == Some(&self.model)
            && (self.adapter.is_none() || text(line, "adapter") == self.adapter.as_deref())
    }

    /// Returns whether an order is for this model, or for the named adapter.
    fn is_ordered(&self, line: &Map<String, Value>) -> bool {
        let adapter = text(line, "adapter");
        text(line, "model") == Some(&self.model)
            && (adapter.is_none() || adapter == self.adapter.as_deref())
    }

    /// Returns whether a refusal says that the model or the named adapter was not resident.
    fn is_missing(&self, line: &Map<String, Value>) -> bool {
        let is_named = self.adapter.is_some() || text(line, "adapter").is_none();
        match text(line, "reason") {
            Some("model_absent") => true,
            Some("adapter_absent") => is_named,
            _ => is_named && text(line, "lack") == Some("load"),
        }
    }

    /// Returns whether a line is about this model or an unload that its load requires.
    fn is_model_of(&self, line: &Map<String, Value>) -> bool {
        let is_victim = |victim: &Value| victim.as_str() == Some(&self.model);
        let victims = line.get("victims").and_then(Value::as_array);
        text(line, "model") == Some(&self.model)
            || victims.is_some_and(|victims| victims.iter().any(is_victim))
    }
}

fn text<'a>(line: &'a Map<String, Value>, field: &str) -> Option<&'a str> {
    line.get(field).and_then(Value::as_str)
}

/// Why a request for the model was refused, as far as the logs show.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// No daemon held the lease.
    NoHolder,
    /// The holder of the lease gave no orders, as its calls to engines ended late.
    CallsLate,
    /// The holder of the lease had counted no demand for the model.
    NoDemand,
    /// No engine was chosen for the model, for want of memory, of loads per second or because of
    /// busier models.
    NotPlaced,
    /// No order for the adapter was given since it was last used.
    NotOrdered,
    /// It was being loaded.
    Loading,
    /// The last order for it had this outcome.
    Order(String),
    /// A copy was resident, and the daemon that refused did not use it.
    NotUsed,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::NoHolder => write!(f, "no holder of the lease"),
            Cause::CallsLate => write!(f, "calls to engines late"),
            Cause::NoDemand => write!(f, "no demand counted"),
            Cause::NotPlaced => write!(f, "no engine chosen"),
            Cause::NotOrdered => write!(f, "not ordered"),
            Cause::Loading => write!(f, "loading"),
            Cause::Order(outcome) => write!(f, "order {outcome}"),
            Cause::NotUsed => write!(f, "resident copy not used"),
        }
    }
}

/// A time in which requests for the model were refused and none was sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Span {
    /// When the first request was refused, since the Unix epoch.
    pub start: Duration,
    /// When a request was sent to an engine again; the end of the logs if none was.
    pub end: Duration,
    /// Whether a request was sent again.
    pub is_closed: bool,
    /// Refused requests by cause.
    pub causes: BTreeMap<Cause, u32>,
}

/// The decisions on a model and its requests.
#[derive(Debug)]
pub struct History {
    name: Name,
    steps: Vec<Step>,
    unreadable_lines: u64,
    omitted_lines: u64,
}

/// What the logs show about a model.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Requests for the model that were sent to an engine.
    pub sent: u32,
    /// Times in which requests were refused.
    pub spans: Vec<Span>,
}

impl History {
    /// Returns a history without lines.
    pub fn new(name: Name) -> Self {
        History { name, steps: Vec::new(), unreadable_lines: 0, omitted_lines: 0 }
    }

    /// Adds a line of a log. Lines without a JSON object are skipped.
    pub fn add_line(&mut self, line: &str) {
        let Some(start) = line.find('{') else {
            return;
        };
        let Ok(object) = serde_json::from_str::<Map<String, Value>>(line[start..].trim_end())
        else {
            self.unreadable_lines += 1;
            return;
        };
        match text(&object, "event") {
            Some("omitted") => {
                self.omitted_lines += object.get("lines").and_then(Value::as_u64).unwrap_or(0);
            }
            Some("plan" | "goal") if !self.name.is_model_of(&object) => {}
            Some("order") if !self.name.is_ordered(&object) => {}
            Some("sent" | "refused") if !self.name.is_subject(&object) => {}
            Some("plan" | "goal" | "order" | "sent" | "refused" | "lease" | "path") => {
                let source = line[..start].trim().to_string();
                self.steps.push(Step { source, line: object });
            }
            _ => {}
        }
    }

    /// Sorts the lines by time, and returns whether any names the model or adapter.
    pub fn sort(&mut self) -> bool {
        self.steps.sort_by_key(at);
        self.steps.iter().any(|step| self.name.is_subject(&step.line))
    }

    /// Returns the decisions, in order of time.
    pub fn decisions(&self) -> impl Iterator<Item = &Step> {
        self.steps.iter().filter(|step| text(&step.line, "event") != Some("sent"))
    }

    /// Returns how many lines could not be read, and how many were omitted by the daemons.
    pub fn missing_lines(&self) -> (u64, u64) {
        (self.unreadable_lines, self.omitted_lines)
    }

    /// Returns when the model was requested and not resident, from the sorted lines.
    pub fn summarize(&self) -> Summary {
        let mut summary = Summary::default();
        let mut state = State::default();
        for step in &self.steps {
            let is_open = summary.spans.last().is_some_and(|span| !span.is_closed);
            match text(&step.line, "event") {
                Some("sent") => {
                    summary.sent += 1;
                    state.last_order = None;
                    if let Some(span) = summary.spans.last_mut().filter(|_| is_open) {
                        span.end = at(step);
                        span.is_closed = true;
                    }
                }
                Some("refused") if self.name.is_missing(&step.line) => {
                    if !is_open {
                        let (start, end) = (at(step), at(step));
                        let causes = BTreeMap::new();
                        summary.spans.push(Span { start, end, is_closed: false, causes });
                    }
                    if let Some(span) = summary.spans.last_mut() {
                        *span.causes.entry(state.cause(&self.name)).or_default() += 1;
                    }
                }
                Some(event) => state.apply(event, step, &self.name),
                None => {}
            }
        }
        if let (Some(span), Some(last)) = (summary.spans.last_mut(), self.steps.last())
            && !span.is_closed
        {
            span.end = at(last);
        }
        summary
    }
}

fn at(step: &Step) -> Duration {
    Duration::from_millis(step.line.get("at").and_then(Value::as_u64).unwrap_or(0))
}

/// What the holder of the lease has decided on the model.
#[derive(Debug, Default)]
struct State {
    /// Daemons that hold the lease by their own logs.
    holders: BTreeSet<String>,
    are_calls_late: bool,
    /// Demand and copies in the last plan.
    plan: Option<(f64, u64)>,
    /// Whether an engine was chosen that does not have the model yet.
    is_target_set: bool,
    /// Outcome of the last order for the model or adapter since a request for it was sent.
    last_order: Option<String>,
}

impl State {
    fn apply(&mut self, event: &str, step: &Step, name: &Name) {
        let line = &step.line;
        let flag = |field: &str| line.get(field).and_then(Value::as_bool).unwrap_or(false);
        // Only the holder logs these; its line about the lease may be older than the logs.
        if matches!(event, "plan" | "goal" | "order") {
            self.holders.insert(step.source.clone());
        }
        match event {
            "lease" => {
                if flag("held") {
                    self.holders.insert(step.source.clone());
                } else {
                    self.holders.remove(&step.source);
                }
            }
            "path" => self.are_calls_late = flag("late"),
            "plan" => {
                let demand = line.get("demand").and_then(Value::as_f64).unwrap_or(0.0);
                let copies = line.get("copies").and_then(Value::as_u64).unwrap_or(0);
                self.plan = Some((demand, copies));
            }
            "goal" if text(line, "model") == Some(&name.model) => {
                self.is_target_set = text(line, "outcome") == Some("begun");
            }
            "order" if text(line, "adapter") == name.adapter.as_deref() => {
                self.last_order = text(line, "outcome").map(str::to_string);
            }
            _ => {}
        }
    }

    fn cause(&self, name: &Name) -> Cause {
        let has_copy = self.plan.is_some_and(|(_, copies)| copies > 0);
        if self.holders.is_empty() {
            return Cause::NoHolder;
        }
        if self.are_calls_late {
            return Cause::CallsLate;
        }
        let is_ordered = self.is_target_set || (has_copy && name.adapter.is_some());
        match self.last_order.as_deref() {
            Some("accepted") if is_ordered => Cause::Loading,
            Some(outcome) if is_ordered => Cause::Order(outcome.to_string()),
            None if self.is_target_set => Cause::Loading,
            _ if has_copy && name.adapter.is_some() => Cause::NotOrdered,
            _ if has_copy => Cause::NotUsed,
            _ if self.plan.is_some_and(|(demand, _)| demand > 0.0) => Cause::NotPlaced,
            _ => Cause::NoDemand,
        }
    }
}

/// Prints the decisions on a model and a summary.
///
/// # Errors
///
/// Fails when a log can't be read, no line names the model, or the output can't be written.
pub fn run(args: &Args) -> Result<bool, Error> {
    let mut history = History::new(args.name.clone());
    for path in &args.logs {
        for line in BufReader::new(File::open(path)?).split(b'\n') {
            // A killed process may leave an incomplete UTF-8 sequence.
            history.add_line(&String::from_utf8_lossy(&line?));
        }
    }
    if !history.sort() {
        let (unreadable, omitted) = history.missing_lines();
        return Err(Error::Unlogged { name: args.name.to_string(), unreadable, omitted });
    }
    match print(&history, &mut std::io::stdout().lock()) {
        // The reader, such as `head`, closed the pipe early.
        Err(err) if err.kind() == ErrorKind::BrokenPipe => Ok(true),
        printed => Ok(printed.map(|()| true)?),
    }
}

fn print(history: &History, out: &mut impl Write) -> std::io::Result<()> {
    for step in history.decisions() {
        writeln!(out, "{}", trace::format_step(step))?;
    }
    let summary = history.summarize();
    let total: Duration = summary.spans.iter().map(|span| span.end - span.start).sum();
    writeln!(out, "\n{}: {} requests sent to engines", history.name, summary.sent)?;
    let (count, seconds) = (summary.spans.len(), total.as_secs_f64());
    writeln!(out, "requested and not resident for {seconds:.3} s in {count} spans")?;
    for span in &summary.spans {
        let causes: Vec<String> =
            span.causes.iter().map(|(cause, count)| format!("{cause} {count}")).collect();
        let end = if span.is_closed { "" } else { ", until the end of the logs" };
        let (start, seconds) = (span.start.as_millis(), (span.end - span.start).as_secs_f64());
        writeln!(out, "  {start} for {seconds:.3} s{end}; refused: {}", causes.join(", "))?;
    }
    let (unreadable, omitted) = history.missing_lines();
    writeln!(out, "lines that could not be read: {unreadable}; omitted by daemons: {omitted}")
}
