//! Runs `poplarmux::cmd::placer`.

use std::process::ExitCode;

use clap::Parser;

use poplarmux::cmd::placer;
use poplarmux::error;

fn main() -> ExitCode {
    error::exit(placer::run(&placer::Args::parse()))
}
