//! `poplarmux-trace losses`: counts failed and late requests by cause, route, team and time.

mod account;
mod plot;
mod slots;
mod team;

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
pub use slots::Refusals;
pub use slots::Usage;
pub use team::Sender;
pub use team::Tally;

use crate::error::Error;

/// Counts the requests in the daemons' logs that were not served in time, by cause and time.
///
/// A line may have a prefix before its JSON object; lines without one are skipped. Each attempt of
/// a caller counts as a request. Lines that a daemon omitted from its log are not counted: the last
/// row prints their number.
#[derive(Debug, Parser)]
pub struct Args {
    /// Log files of one or more daemons.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
    /// Length of a table row in seconds.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=3600))]
    pub window: u64,
    /// Also draw the requests not served in time as an SVG chart into this file.
    #[arg(long, value_name = "FILE")]
    pub svg: Option<PathBuf>,
}

/// Prints the tables; returns false if no request has ended in the logs.
///
/// # Errors
///
/// Fails when a log cannot be read, or the output or the chart cannot be written.
pub fn run(args: &Args) -> Result<bool, Error> {
    let mut account = Account::new(Duration::from_secs(args.window));
    for path in &args.logs {
        for line in BufReader::new(File::open(path)?).split(b'\n') {
            // A killed process may leave an incomplete UTF-8 sequence.
            account.add_line(&String::from_utf8_lossy(&line?));
        }
    }
    account.evaluate();
    match print(&account, &mut std::io::stdout().lock()) {
        // The reader, such as `head`, closed the pipe early.
        Err(err) if err.kind() == ErrorKind::BrokenPipe => return Ok(true),
        printed => printed?,
    }
    if let Some(path) = &args.svg {
        plot::draw(&account, path)?;
    }
    Ok(!account.is_empty())
}

fn print(account: &Account, out: &mut impl Write) -> std::io::Result<()> {
    writeln!(out, "requests, by route and outcome")?;
    for ((route, cause), count) in account.totals() {
        writeln!(out, "  {route:<24} {:<20} {count}", cause.to_string())?;
    }
    print_teams(account, out)?;
    writeln!(out, "\nrequests not served in time, by seconds since the first line")?;
    for (start, causes) in account.windows() {
        let causes: Vec<String> =
            causes.iter().map(|(cause, count)| format!("{cause} {count}")).collect();
        writeln!(out, "  {:>5} {}", start.as_secs(), causes.join(", "))?;
    }
    writeln!(
        out,
        "\nengines: requests, most at one, engines with 3 times the mean, engines without requests"
    )?;
    for (start, row) in account.occupancy() {
        writeln!(
            out,
            "  {:>5} {} at {} engines, busiest {}, crowded {}, idle {}",
            start.as_secs(),
            row.requests,
            row.engines,
            row.busiest,
            row.crowded,
            row.idle
        )?;
    }
    print_slots(account, out)?;
    writeln!(out, "\ncalls to the store, by object, kind and outcome")?;
    for ((object, op, outcome), count) in account.calls() {
        writeln!(out, "  {object:<10} {op:<11} {outcome:<9} {count}")?;
    }
    writeln!(out, "\ncalls to the store, by seconds since the first line")?;
    for (start, objects) in account.calls_by_window() {
        let objects: Vec<String> =
            objects.iter().map(|(object, count)| format!("{object} {count}")).collect();
        writeln!(out, "  {:>5} {}", start.as_secs(), objects.join(", "))?;
    }
    writeln!(out, "\nlog lines omitted by daemons: {}", account.omitted())?;
    Ok(())
}

/// Prints the outcomes by team, unless no line names one.
fn print_teams(account: &Account, out: &mut impl Write) -> std::io::Result<()> {
    if account.teams().next().is_none() {
        return Ok(());
    }
    writeln!(out, "\nrequests, by team")?;
    for (sender, row) in account.teams() {
        write!(
            out,
            "  {:<24} received {}, in time {}, late {}, failed {}, caller disconnected {}",
            sender.to_string(),
            row.received,
            row.in_time,
            row.late,
            row.failed,
            row.disconnected
        )?;
        for (reason, count) in &row.refused {
            write!(out, ", refused: {reason} {count}")?;
        }
        writeln!(out)?;
    }
    Ok(())
}

/// Prints the slots in use beside the refusals, without the columns that the log does not state.
fn print_slots(account: &Account, out: &mut impl Write) -> std::io::Result<()> {
    writeln!(out, "\nengines: slots in use at the end of each second, and requests refused in it")?;
    for (second, row) in account.usage() {
        match row.slots {
            Some(slots) => {
                let share = row.used as f64 / slots.max(1) as f64;
                let (used, refused) = (row.used, row.refused);
                writeln!(out, "  {second:>5} {used} of {slots} ({share:.2}), refused {refused}")?;
            }
            None => writeln!(out, "  {second:>5} refused {}", row.refused)?,
        }
    }
    if account.refusals().next().is_none() {
        return Ok(());
    }
    writeln!(out, "\nrefused requests for models, and those with a free slot at an engine")?;
    for (reason, row) in account.refusals() {
        writeln!(
            out,
            "  {reason:<20} {}, that held the model {}, of the service {}",
            row.requests, row.free_at_holder, row.free_in_service
        )?;
    }
    Ok(())
}
