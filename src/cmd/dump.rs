//! `poplarmux-dump`: prints the internal tables of a running process.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use serde_json::Map;
use serde_json::Value;

use crate::edge::http::Pool;
use crate::edge::peer;
use crate::error::Error;
use crate::log::Log;
use crate::state;
use crate::state::Dump;
use crate::state::Request;

/// Prints the internal tables of a running process: its health first, then each table in columns.
#[derive(Debug, Parser)]
#[command(name = "poplarmux-dump", version, after_help = USAGE)]
pub struct Args {
    /// Peer address of the process.
    address: SocketAddr,
    /// Tables to print; all tables if none is given.
    tables: Vec<String>,
    /// Print JSON instead of columns.
    #[arg(long)]
    json: bool,
    /// Repeat the dump at this interval until interrupted.
    #[arg(long, value_name = "SECONDS", value_parser = clap::value_parser!(u64).range(1..=3600))]
    watch: Option<u64>,
    #[command(flatten)]
    log: Log,
}

const USAGE: &str = "\
Exit codes:
  0  the process answered, whatever its health
  2  wrong use of this program
  3  the process at ADDRESS did not answer: check the address and whether the process runs

Examples:
  poplarmux-dump 127.0.0.1:7111
  poplarmux-dump 127.0.0.1:7111 members config
  poplarmux-dump 127.0.0.1:7111 counters --watch 2
  poplarmux-dump 127.0.0.1:7111 --json | jq .faults";

/// Timeout of a dump request, and idle timeout of its connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum characters of a cell; longer texts are cut here but not by `--json`.
const MAX_CELL_CHARS: usize = 48;
/// Columns that identify a row: they come first, in this order.
const KEY_COLUMNS: [&str; 6] = ["name", "peer", "address", "endpoint", "id", "model"];

/// Prints the dump, once or repeatedly, and returns the exit code.
pub fn run(args: &Args) -> Result<ExitCode, Error> {
    args.log.start()?;
    let client = peer::Client::new(Pool::new(Duration::from_secs(1), REQUEST_TIMEOUT));
    let request = Request { tables: args.tables.clone() };
    loop {
        let response = smol::block_on(client.call::<Dump>(
            args.address,
            state::METHOD,
            &request,
            REQUEST_TIMEOUT,
        ));
        match &response {
            Ok(dump) if args.json => println!("{}", serde_json::to_string_pretty(dump)?),
            Ok(dump) => print!("{}", render(args.address, dump, &args.tables)),
            Err(err) => eprintln!("no dump from {}: {err}", args.address),
        }
        let Some(seconds) = args.watch else {
            return Ok(ExitCode::from(if response.is_ok() { 0 } else { 3 }));
        };
        std::thread::sleep(Duration::from_secs(seconds));
        println!();
    }
}

/// Formats a dump as text; names in `requested` without a table are reported as missing.
pub fn render(address: SocketAddr, dump: &Dump, requested: &[String]) -> String {
    let mut out = String::new();
    let health = if dump.ready { "ready" } else { "not ready" };
    let Dump { program, incarnation, .. } = dump;
    let _ = writeln!(out, "{program} at {address}: {health}, incarnation {incarnation}");
    for fault in &dump.faults {
        let _ = writeln!(out, "! {fault}");
    }
    for (name, rows) in &dump.tables {
        let _ = writeln!(out);
        write_table(&mut out, name, rows);
    }
    for name in requested.iter().filter(|name| !dump.tables.contains_key(*name)) {
        let _ = writeln!(out, "\n{name}: no such table");
    }
    out
}

fn write_table(out: &mut String, name: &str, rows: &[Value]) {
    let _ = writeln!(out, "{name}: {} rows", rows.len());
    let rows: Vec<Map<String, Value>> = rows.iter().map(to_object).collect();
    let columns = columns(&rows);
    let cells = |row: &Map<String, Value>| -> Vec<String> {
        columns.iter().map(|column| format_cell(row.get(*column))).collect()
    };
    let lines: Vec<Vec<String>> = rows.iter().map(cells).collect();
    let width = |index: usize| {
        let widest = lines.iter().map(|line| line[index].chars().count()).max().unwrap_or(0);
        widest.max(columns[index].len())
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let numeric: Vec<bool> = columns
        .iter()
        .map(|column| rows.iter().filter_map(|row| row.get(*column)).all(Value::is_number))
        .collect();
    let header: Vec<String> = columns.iter().map(ToString::to_string).collect();
    for line in std::iter::once(&header).filter(|_| !rows.is_empty()).chain(&lines) {
        let mut text = String::from(" ");
        for (index, cell) in line.iter().enumerate() {
            let width = widths[index];
            let _ = match numeric[index] {
                true => write!(text, " {cell:>width$} "),
                false => write!(text, " {cell:<width$} "),
            };
        }
        let _ = writeln!(out, "{}", text.trim_end());
    }
}

/// Returns a row as an object; a value of another type becomes the single column `value`.
fn to_object(row: &Value) -> Map<String, Value> {
    match row {
        Value::Object(map) => map.clone(),
        other => Map::from_iter([("value".to_string(), other.clone())]),
    }
}

/// Returns the columns of all rows: those in `KEY_COLUMNS` first, the others in alphabetical order.
fn columns(rows: &[Map<String, Value>]) -> Vec<&str> {
    let rank = |key: &str| {
        KEY_COLUMNS.iter().position(|key_column| *key_column == key).unwrap_or(KEY_COLUMNS.len())
    };
    let keys = rows.iter().flat_map(Map::keys).map(String::as_str);
    let ranked: BTreeMap<(usize, &str), ()> = keys.map(|key| ((rank(key), key), ())).collect();
    ranked.into_keys().map(|(_, key)| key).collect()
}

fn format_cell(value: Option<&Value>) -> String {
    let text = match value {
        None | Some(Value::Null) => "-".to_string(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    };
    if text.chars().count() <= MAX_CELL_CHARS {
        return text;
    }
    text.chars().take(MAX_CELL_CHARS - 1).chain(['~']).collect()
}
