//! Runs `poplarmux::cmd::explain`.

use std::process::ExitCode;

use clap::Parser;

use poplarmux::cmd::explain;
use poplarmux::error;

fn main() -> ExitCode {
    error::exit(explain::run(&explain::Args::parse()))
}
