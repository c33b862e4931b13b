//! `poplarmux-trace losses`: where requests are lost or late, by cause, route and time.

mod account;
mod plot;

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;

use clap::Parser;

pub use account::Account;
pub use account::Cause;
pub use account::Occupancy;

use crate::error::Error;

/// Counts, from the logs of all daemons, which requests were not served in time, when and why.
///
/// Lines may have anything before their JSON object; those that hold none are passed over. Each
/// attempt of a caller is a request of its own. Lines that a daemon left out are missing here too:
/// the last row says how many.
#[derive(Debug, Parser)]
pub struct Args {
    /// Logs of any daemons.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
    /// Seconds in a row of the table.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=3600))]
    pub window: u64,
    /// Draws the table there as well.
    #[arg(long, value_name = "FILE")]
    pub svg: Option<PathBuf>,
}

/// Prints the tables; false when the logs speak of no request.
pub fn run(args: &Args) -> Result<bool, Error> {
    let mut account = Account::new(Duration::from_secs(args.window));
    for path in &args.logs {
        for line in BufReader::new(File::open(path)?).split(b'\n') {
            // A process that is killed may leave half a character.
            account.line(&String::from_utf8_lossy(&line?));
        }
    }
    account.close();
    match print(&account, &mut std::io::stdout().lock()) {
        // Who reads has seen enough, such as `head`.
        Err(err) if err.kind() == ErrorKind::BrokenPipe => return Ok(true),
        printed => printed?,
    }
    if let Some(path) = &args.svg {
        plot::draw(&account, path)?;
    }
    Ok(!account.is_empty())
}

fn print(account: &Account, out: &mut impl Write) -> std::io::Result<()> {
    writeln!(out, "requests, by their end")?;
    for ((route, cause), count) in account.totals() {
        writeln!(out, "  {route:<24} {:<20} {count}", cause.to_string())?;
    }
    writeln!(out, "\nrequests not in time, by seconds since the first line")?;
    for (at, causes) in account.windows() {
        let causes: Vec<String> =
            causes.iter().map(|(cause, count)| format!("{cause} {count}")).collect();
        writeln!(out, "  {:>5} {}", at.as_secs(), causes.join(", "))?;
    }
    writeln!(
        out,
        "\nengines: requests there, the busiest, how many hold 3 times the mean, how many none"
    )?;
    for (at, row) in account.occupancy() {
        writeln!(
            out,
            "  {:>5} {} at {} engines, busiest {}, crowded {}, idle {}",
            at.as_secs(),
            row.requests,
            row.engines,
            row.busiest,
            row.crowded,
            row.idle
        )?;
    }
    writeln!(out, "\ncalls to the store, by object, kind and outcome")?;
    for ((object, op, outcome), count) in account.calls() {
        writeln!(out, "  {object:<10} {op:<11} {outcome:<9} {count}")?;
    }
    writeln!(out, "\ncalls to the store, by seconds since the first line")?;
    for (at, objects) in account.calls_by_window() {
        let objects: Vec<String> =
            objects.iter().map(|(object, count)| format!("{object} {count}")).collect();
        writeln!(out, "  {:>5} {}", at.as_secs(), objects.join(", "))?;
    }
    writeln!(out, "\nlines left out by daemons: {}", account.omitted())?;
    Ok(())
}
