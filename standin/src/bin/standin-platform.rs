//! The platform's stand-in as a program.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Parser;
use poplarmux::error;
use poplarmux::error::Error;
use standin::platform::Command;
use standin::platform::Platform;
use standin::program;

/// A platform: object API, instance list, and `POST /control` for faults.
#[derive(Debug, Parser)]
struct Args {
    /// Where to listen; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// How late the instance list is, in milliseconds.
    #[arg(long, default_value_t = 0)]
    lag_ms: u64,
    /// Writes allowed a second.
    #[arg(long)]
    writes: Option<f64>,
    /// Reads allowed a second.
    #[arg(long)]
    reads: Option<f64>,
}

fn run(args: &Args) -> Result<(), Error> {
    smol::block_on(async {
        let platform = Platform::start(args.listen)?;
        platform.tell(Command::Lag { ms: args.lag_ms });
        platform.tell(Command::Rate { writes: args.writes, reads: args.reads });
        println!("listening on {}", platform.addr());
        program::stop_asked().await
    })
}

fn main() -> ExitCode {
    error::exit(run(&Args::parse()))
}
