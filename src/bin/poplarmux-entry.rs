//! Runs `poplarmux::cmd::entry`.

use std::process::ExitCode;

use clap::Parser;

use poplarmux::cmd::entry;
use poplarmux::error;

fn main() -> ExitCode {
    error::exit(entry::run(&entry::Args::parse()))
}
