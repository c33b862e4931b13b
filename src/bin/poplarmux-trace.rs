//! Runs `poplarmux::cmd::trace`.

use std::process::ExitCode;

use clap::Parser;

use poplarmux::cmd::trace;
use poplarmux::error;

fn main() -> ExitCode {
    let found = trace::run(&trace::Args::parse());
    error::exit(found.map(|found| if found { ExitCode::SUCCESS } else { ExitCode::FAILURE }))
}
