//! `poplarmux-trace`: collects the log lines of one request from the logs of all daemons.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;

use clap::Parser;
use clap::Subcommand;
use serde_json::Map;
use serde_json::Value;

use crate::cmd::losses;
use crate::cmd::model;
use crate::error::Error;

/// Prints all log lines of one request from the logs of several daemons, sorted by time.
///
/// A line may have a prefix before its JSON object, such as a time and the instance's name. Lines
/// without a JSON object are skipped. Exits with 1 if no line belongs to the request.
#[derive(Debug, Parser)]
#[command(name = "poplarmux-trace", version)]
#[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
pub struct Args {
    /// Another analysis than the trace of one request.
    #[command(subcommand)]
    pub verb: Option<Verb>,
    /// Request id, as in the field `request` of the log lines.
    #[arg(required = true)]
    pub id: Option<String>,
    /// Log files of one or more daemons.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
    /// Print the JSON objects instead of columns.
    #[arg(long)]
    pub json: bool,
}

/// An analysis other than the trace of one request.
#[derive(Debug, Subcommand)]
pub enum Verb {
    /// Print the decisions on one model or adapter, and for how long it was not resident.
    Model(model::Args),
    /// Count the requests that failed or were late, by cause, route and time.
    Losses(losses::Args),
}

/// A log line of the traced request.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Text before the JSON object, trimmed.
    pub source: String,
    /// JSON object of the line.
    pub line: Map<String, Value>,
}

/// Prints the steps of a request or an analysis; returns false if the logs hold nothing to print.
pub fn run(args: &Args) -> Result<bool, Error> {
    match &args.verb {
        Some(Verb::Losses(args)) => return losses::run(args),
        Some(Verb::Model(args)) => return model::run(args),
        None => {}
    }
    let id = args.id.as_deref().unwrap_or_default();
    let mut steps = Vec::new();
    for path in &args.logs {
        let file = BufReader::new(File::open(path)?);
        for line in file.lines() {
            steps.extend(parse_step(&line?, id));
        }
    }
    steps.sort_by_key(|step| step.line.get("at").and_then(Value::as_u64));
    for step in &steps {
        if args.json {
            println!("{}", Value::Object(step.line.clone()));
        } else {
            println!("{}", format_step(step));
        }
    }
    Ok(!steps.is_empty())
}

/// Parses a log line; returns `None` if it is malformed or belongs to another request.
pub fn parse_step(text: &str, id: &str) -> Option<Step> {
    let start = text.find('{')?;
    let line: Map<String, Value> = serde_json::from_str(text[start..].trim_end()).ok()?;
    let is_match = line.get("request").and_then(Value::as_str) == Some(id);
    is_match.then(|| Step { source: text[..start].trim().to_string(), line })
}

pub(super) fn format_step(step: &Step) -> String {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let field = |name: &str| step.line.get(name).map(text).unwrap_or_default();
    let is_shown = |name: &String| !matches!(name.as_str(), "at" | "boot" | "event" | "request");
    let fields: Vec<String> = step
        .line
        .iter()
        .filter(|(name, value)| is_shown(name) && !value.is_null())
        .map(|(name, value)| format!("{name}={}", text(value)))
        .collect();
    format!("{:<14} {:<28} {:<9} {}", field("at"), step.source, field("event"), fields.join(" "))
}
