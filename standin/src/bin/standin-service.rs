//! A plain service's stand-in as a program.

use std::process::ExitCode;

use clap::Parser;
use poplarmux::edge::platform::Role;
use poplarmux::error;
use poplarmux::error::Error;
use standin::program;
use standin::program::Place;
use standin::service::Command;
use standin::service::Service;

/// A plain service, which runs any call and records it, and takes faults at `POST /control`.
#[derive(Debug, Parser)]
struct Args {
    #[command(flatten)]
    place: Place,
    /// The service it runs.
    #[arg(long)]
    service: String,
    /// How late each call begins, in milliseconds.
    #[arg(long, default_value_t = 0)]
    slow_ms: u64,
}

fn run(args: &Args) -> Result<(), Error> {
    smol::block_on(async {
        let incarnation = program::incarnation();
        let service = Service::start(args.place.listen, incarnation)?;
        service.tell(Command::Slow { ms: args.slow_ms });
        let name = Some(args.service.clone());
        args.place.run(service.addr(), Role::Service, name, incarnation).await
    })
}

fn main() -> ExitCode {
    error::exit(run(&Args::parse()))
}
