//! Runs `poplarmux::cmd::dump`.

use std::process::ExitCode;

use clap::Parser;

use poplarmux::cmd::dump;
use poplarmux::error;

fn main() -> ExitCode {
    error::exit(dump::run(&dump::Args::parse()))
}
