//! Runs `poplarmux::cmd::publish`.

use std::process::ExitCode;

use clap::Parser;

use poplarmux::cmd::publish;
use poplarmux::error;

fn main() -> ExitCode {
    error::exit(publish::run(publish::Args::parse()))
}
