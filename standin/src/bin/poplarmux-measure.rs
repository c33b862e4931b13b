//! See `standin::measure`.

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;
use poplarmux::error;
use poplarmux::error::Error;
use standin::measure::claims;
use standin::measure::control;
use standin::measure::entry;
use standin::measure::faults;
use standin::measure::load;

/// Measures the system on this machine, against stand-ins.
#[derive(Debug, Parser)]
#[command(name = "poplarmux-measure", version)]
struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Debug, Subcommand)]
enum What {
    /// What control costs one daemon, at several sizes of the fleet.
    Control(control::Args),
    /// Platform calls a booking as load grows.
    Claims(claims::Args),
    /// What one entry adds, carries and holds.
    Entry(entry::Args),
    /// What callers receive while something fails.
    Faults(faults::Args),
    /// What callers receive under load, in virtual time.
    Load(load::Args),
}

fn run(args: &Args) -> Result<(), Error> {
    match &args.what {
        What::Control(args) => control::run(args),
        What::Claims(args) => claims::run(args),
        What::Entry(args) => entry::run(args),
        What::Faults(args) => faults::run(args),
        What::Load(args) => load::run(args),
    }
}

fn main() -> ExitCode {
    error::exit(run(&Args::parse()))
}
