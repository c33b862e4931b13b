//! `poplarmux-trace`: the way of one request through the logs of all daemons.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;

use clap::Parser;
use clap::Subcommand;
use serde_json::Map;
use serde_json::Value;

use crate::cmd::losses;
use crate::error::Error;

/// Shows all that daemons logged of one request, in order of time.
///
/// Lines may have anything before their JSON object, such as a time and an instance's name. A line
/// that holds no JSON object is passed over. Exits with 1 when no line speaks of the request.
#[derive(Debug, Parser)]
#[command(name = "poplarmux-trace", version)]
#[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
pub struct Args {
    /// Instead of one request, all of them.
    #[command(subcommand)]
    pub verb: Option<Verb>,
    /// The request's id.
    #[arg(required = true)]
    pub id: Option<String>,
    /// Logs of any daemons.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
    /// The lines themselves.
    #[arg(long)]
    pub json: bool,
}

/// What else can be shown.
#[derive(Debug, Subcommand)]
pub enum Verb {
    /// Where requests are lost or late: by cause, route and time.
    Losses(losses::Args),
}

/// One line that speaks of the request.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// What stood before the JSON object.
    pub source: String,
    /// The object.
    pub line: Map<String, Value>,
}

/// Prints the steps; false when there are none.
pub fn run(args: &Args) -> Result<bool, Error> {
    if let Some(Verb::Losses(args)) = &args.verb {
        return losses::run(args);
    }
    let id = args.id.as_deref().unwrap_or_default();
    let mut steps = Vec::new();
    for path in &args.logs {
        let file = BufReader::new(File::open(path)?);
        for line in file.lines() {
            steps.extend(step(&line?, id));
        }
    }
    steps.sort_by_key(|step| step.line.get("at").and_then(Value::as_u64));
    for step in &steps {
        if args.json {
            println!("{}", Value::Object(step.line.clone()));
        } else {
            println!("{}", row(step));
        }
    }
    Ok(!steps.is_empty())
}

/// The step that a line of a log tells, if it speaks of the request.
pub fn step(text: &str, id: &str) -> Option<Step> {
    let start = text.find('{')?;
    let line: Map<String, Value> = serde_json::from_str(text[start..].trim_end()).ok()?;
    let same = line.get("request").and_then(Value::as_str) == Some(id);
    same.then(|| Step { source: text[..start].trim().to_string(), line })
}

fn row(step: &Step) -> String {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let field = |name: &str| step.line.get(name).map(text).unwrap_or_default();
    let shown = |name: &String| !matches!(name.as_str(), "at" | "boot" | "event" | "request");
    let rest: Vec<String> = step
        .line
        .iter()
        .filter(|(name, value)| shown(name) && !value.is_null())
        .map(|(name, value)| format!("{name}={}", text(value)))
        .collect();
    format!("{:<14} {:<28} {:<9} {}", field("at"), step.source, field("event"), rest.join(" "))
}
