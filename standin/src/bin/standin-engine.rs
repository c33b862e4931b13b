//! An engine's stand-in as a program.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use poplarmux::edge::platform::Role;
use poplarmux::error;
use poplarmux::error::Error;
use standin::engine::Engine;
use standin::engine::Settings;
use standin::engine::weights::Weights;
use standin::program;
use standin::program::Place;
use standin::site;

/// A model engine, which streams tokens, takes orders, and takes faults at `POST /control`.
#[derive(Debug, Parser)]
struct Args {
    #[command(flatten)]
    place: Place,
    /// How many accelerators it has.
    #[arg(long, default_value_t = 1)]
    accelerators: u32,
    /// Memory of each, in MiB.
    #[arg(long, default_value_t = 80 << 10)]
    capacity_mib: u64,
    /// Time between tokens when one request runs, in milliseconds.
    #[arg(long, default_value_t = 2.0)]
    token_ms: f64,
    /// What each further running request adds to the time between tokens, in milliseconds.
    #[arg(long, default_value_t = 0.02)]
    slope_ms: f64,
    /// Requests that run at once.
    #[arg(long, default_value_t = 64)]
    batch: usize,
    /// Time to load a model, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    load_ms: u64,
    /// Time to load an adapter, in milliseconds.
    #[arg(long, default_value_t = 7)]
    adapter_ms: u64,
    /// Apply orders whatever their fencing number.
    #[arg(long)]
    ignore_fences: bool,
    /// How late its reports are, in milliseconds.
    #[arg(long, default_value_t = 0)]
    lag_ms: u64,
    /// A model that is resident from the start, of 1 MiB; may be given more than once.
    #[arg(long)]
    model: Vec<String>,
}

impl Args {
    fn settings(&self) -> Settings {
        let model = Duration::from_millis(self.load_ms);
        let adapter = Duration::from_millis(self.adapter_ms);
        Settings {
            accelerators: self.accelerators,
            capacity: self.capacity_mib << 20,
            token: Duration::from_secs_f64(self.token_ms / 1e3),
            slope: Duration::from_secs_f64(self.slope_ms / 1e3),
            batch: self.batch,
            fencing: !self.ignore_fences,
            lag: Duration::from_millis(self.lag_ms),
            incarnation: program::incarnation(),
            weights: Arc::new(Weights::new(model, adapter)),
            ..Settings::default()
        }
    }
}

fn run(args: &Args) -> Result<(), Error> {
    smol::block_on(async {
        let engine = Engine::start(args.place.listen, args.settings())?;
        for model in &args.model {
            engine.preload(site::resident(model, None, 1 << 20));
        }
        args.place.run(engine.addr(), Role::Engine, None, engine.incarnation()).await
    })
}

fn main() -> ExitCode {
    error::exit(run(&Args::parse()))
}
