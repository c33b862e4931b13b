//! `poplarmux-measure faults`: what callers receive while something fails.
//!
//! For each fault a fresh scene: two entries and two placers as processes, three engines and two
//! booking services in this one. Callers draft and book all the time; the fault comes after a
//! while, lasts, and is ended.

use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use poplarmux::config::service::Adapter;
use poplarmux::config::service::Service as Served;
use poplarmux::edge::platform::Presence;
use poplarmux::error::Error;
use poplarmux::table::Bytes;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::IntoEnumIterator;

use crate::engine;
use crate::engine::Engine;
use crate::engine::Stop;
use crate::measure::trial;
use crate::measure::trial::WINDOW;
use crate::platform;
use crate::process;
use crate::process::Process;
use crate::service;
use crate::service::Service;
use crate::site;
use crate::site::Site;

/// The model that callers draft with.
pub const MODEL: &str = "drafts";

/// The service that callers book at; its calls must not repeat.
pub const SERVICE: &str = "bookings";

/// Memory of an engine's accelerator: two models and an adapter fit.
const CAPACITY: Bytes = 2500 << 20;

/// Memory of a model.
const MODEL_MEMORY: Bytes = 1 << 30;

/// Arguments of the measurement.
#[derive(Debug, Clone, clap::Args)]
pub struct Args {
    /// Only the faults whose names hold this text.
    #[arg(long)]
    pub only: Option<String>,
    /// Seconds before the fault, and seconds for which it lasts; twice as long is waited after.
    #[arg(long, default_value_t = 3.0)]
    pub seconds: f64,
    /// JSON lines instead of a table.
    #[arg(long)]
    pub json: bool,
}

/// What fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
enum Fault {
    Nothing,
    EngineCrashes,
    EngineFreezes,
    EngineReplacedByEmpty,
    EngineLeaves,
    EngineSlow,
    StreamsCut,
    StreamsSilent,
    ForeignParts,
    EntryKilled,
    EntryFrozen,
    PlacerKilled,
    PlacerFrozen,
    ServiceBreaksAfterRun,
    ServiceFreezes,
    OrdersLost,
    OrdersLate,
    OrdersDoubled,
    PlatformDown,
    PlatformSlow,
    PlatformAnswersLost,
    ListStale,
    ReportsStale,
    CacheEventsGap,
    WeightsSlow,
    OlderConfigWritten,
    RequestCrashesEngines,
    PlatformDownAndEngineCrashes,
    EntryKilledAndAnswersLost,
}

/// What one fault did.
#[derive(Debug, Clone, Serialize)]
struct Row {
    fault: String,
    offered: u64,
    on_time: u64,
    late: u64,
    refused: u64,
    unknown: u64,
    run_twice: u64,
    false_not_run: u64,
    overcommitted: Bytes,
    foreign: u64,
    older: u64,
    back_s: f64,
}

struct Scene {
    site: Site,
    engines: Vec<Engine>,
    services: Vec<Service>,
    entries: Vec<Process>,
    placers: Vec<Process>,
}

/// Causes each fault in a scene of its own.
pub fn run(args: &Args) -> Result<(), Error> {
    let time = Duration::from_secs_f64(args.seconds);
    let wanted = |fault: &Fault| {
        args.only.as_ref().is_none_or(|only| fault.to_string().contains(only.as_str()))
    };
    if !args.json {
        println!(
            "{:<34}{:>8}{:>8}{:>6}{:>8}{:>8}{:>6}{:>6}{:>6}{:>8}{:>6}{:>7}",
            "fault",
            "offered",
            "on time",
            "late",
            "refused",
            "unknown",
            "twice",
            "false",
            "over",
            "foreign",
            "older",
            "back s"
        );
    }
    for fault in Fault::iter().filter(wanted) {
        let row = Scene::start()?.measure(fault, time);
        if args.json {
            println!("{}", serde_json::to_string(&row)?);
        } else {
            print(&row);
        }
    }
    Ok(())
}

fn print(row: &Row) {
    println!(
        "{:<34}{:>8}{:>8}{:>6}{:>8}{:>8}{:>6}{:>6}{:>6}{:>8}{:>6}{:>7.2}",
        row.fault,
        row.offered,
        row.on_time,
        row.late,
        row.refused,
        row.unknown,
        row.run_twice,
        row.false_not_run,
        row.overcommitted,
        row.foreign,
        row.older,
        row.back_s
    );
}

impl Scene {
    fn start() -> Result<Scene, Error> {
        let site = Site::start()?;
        site.configure(1, services(1));
        let settings = engine::Settings { capacity: CAPACITY, ..engine::Settings::default() };
        let engines = (0..3).map(|_| site.engine("wien", "wien-1", settings.clone()));
        let engines = engines.collect::<Result<Vec<_>, _>>()?;
        let services = (0..2).map(|_| site.service(SERVICE, "wien", "wien-1"));
        let services = services.collect::<Result<Vec<_>, _>>()?;
        let mut scene = Scene { site, engines, services, entries: Vec::new(), placers: Vec::new() };
        let program = process::beside("poplarmux-entry")?;
        for _ in 0..2 {
            let peers: Vec<_> = scene.entries.iter().map(|entry| entry.peer).collect();
            let entry = scene.site.entry(&program, "wien", &peers, "")?;
            scene.entries.push(entry);
        }
        for _ in 0..2 {
            let placer = scene.placer(&process::beside("poplarmux-placer")?)?;
            scene.placers.push(placer);
        }
        scene.wait_until_served();
        Ok(scene)
    }

    fn placer(&self, program: &Path) -> Result<Process, Error> {
        let place = self.site.place("wien", &[]);
        let times =
            "lease_ms: 2000\ntick_ms: 50\nsurvey_ms: 200\nrefresh_ms: 500\nresend_ms: 500\n";
        Ok(Process::start(program, &format!("{place}peer: \"127.0.0.1:0\"\n{times}"))?)
    }

    /// Waits until the model is loaded twice and every entry knows where.
    fn wait_until_served(&self) {
        let served = |entry: &Process| {
            let resident = self.engines.iter().filter(|engine| engine.holds(MODEL));
            let mut at: Vec<_> = resident.map(Engine::addr).collect();
            let loaded = at.len() >= 2;
            at.extend(self.services.iter().map(Service::addr));
            loaded && entry.knows(&at)
        };
        for _ in 0..400 {
            if self.entries.iter().all(served) {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        eprintln!("the scene is not served after 20 s; measured as it is");
    }

    fn measure(mut self, fault: Fault, time: Duration) -> Row {
        let entries: Vec<_> = self.entries.iter().map(|entry| entry.address).collect();
        let stop = AtomicBool::new(false);
        let (mut older, from) = (0, time.as_millis() as u64 / WINDOW.as_millis() as u64);
        let received = std::thread::scope(|scope| {
            let callers = scope.spawn(|| trial::run(&entries, &stop));
            let mut highest = vec![0; self.entries.len()];
            older += self.watch(time, &mut highest);
            self.cause(fault);
            older += self.watch(time, &mut highest);
            self.end(fault);
            older += self.watch(time * 2, &mut highest);
            stop.store(true, Ordering::Relaxed);
            callers.join().expect("callers")
        });
        let records: Vec<_> = self.services.iter().map(Service::record).collect();
        let ran =
            |key: &str| -> u64 { records.iter().filter_map(|record| record.keys.get(key)).sum() };
        let keys: std::collections::BTreeSet<&String> =
            records.iter().flat_map(|record| record.keys.keys()).collect();
        Row {
            fault: fault.to_string(),
            offered: received.offered,
            on_time: received.on_time,
            late: received.late,
            refused: received.refused,
            unknown: received.unknown,
            run_twice: keys.into_iter().filter(|key| ran(key) > 1).count() as u64,
            false_not_run: received.not_run.iter().filter(|key| ran(key) > 0).count() as u64,
            overcommitted: self.engines.iter().map(|engine| engine.record().overcommit).sum(),
            foreign: received.foreign,
            older,
            back_s: received.back(from).as_secs_f64(),
        }
    }

    /// Watches the configurations in force for a time; how often one was older than before.
    fn watch(&self, time: Duration, highest: &mut [u64]) -> u64 {
        let end = std::time::Instant::now() + time;
        let mut older = 0;
        while std::time::Instant::now() < end {
            for (entry, highest) in self.entries.iter().zip(highest.iter_mut()) {
                if let Some(version) = entry.version() {
                    older += u64::from(version < *highest);
                    *highest = version.max(*highest);
                }
            }
            std::thread::sleep(WINDOW);
        }
        older
    }

    fn tell(&self, command: &engine::Command) {
        for engine in &self.engines {
            engine.tell(command.clone());
        }
    }

    /// Gives the placers something to order: a second model.
    fn order(&self) {
        self.site.configure(2, services(2));
    }

    /// An engine that serves.
    fn serving(&self) -> &Engine {
        self.engines.iter().find(|engine| engine.holds(MODEL)).unwrap_or(&self.engines[0])
    }

    fn cause(&mut self, fault: Fault) {
        use engine::Command as Engines;
        use platform::Command as Platforms;
        let platform = self.site.platform.clone();
        let many = u64::MAX;
        match fault {
            Fault::Nothing => {}
            Fault::EngineCrashes => self.serving().tell(Engines::Crash { restart_ms: 2000 }),
            Fault::EngineFreezes => self.serving().tell(Engines::Freeze),
            Fault::EngineReplacedByEmpty => self.serving().tell(Engines::Crash { restart_ms: 0 }),
            Fault::EngineLeaves => {
                let engine = self.serving();
                engine.tell(Engines::Leave { refuse_after_ms: 1000 });
                self.site.presence(engine.addr(), Presence::Leaving);
            }
            Fault::EngineSlow => self.serving().tell(Engines::Slow { ms: 100 }),
            Fault::StreamsCut => {
                let how = Stop::Close;
                self.serving().tell(Engines::Stop { requests: 50, tokens: 7, how });
            }
            Fault::StreamsSilent => {
                let how = Stop::Silence;
                self.serving().tell(Engines::Stop { requests: 5, tokens: 7, how });
            }
            Fault::ForeignParts => self.tell(&Engines::Foreign { requests: many, mixed: true }),
            Fault::EntryKilled => drop(self.entries[0].child.kill()),
            Fault::EntryFrozen => self.entries[0].signal("STOP"),
            Fault::PlacerKilled => {
                drop(self.placers[0].child.kill());
                self.order();
            }
            Fault::PlacerFrozen => {
                self.placers[0].signal("STOP");
                self.order();
            }
            Fault::ServiceBreaksAfterRun => {
                self.services[0].tell(service::Command::BreakAfter { calls: 20 });
            }
            Fault::ServiceFreezes => self.services[0].tell(service::Command::Freeze),
            Fault::OrdersLost => {
                self.tell(&Engines::LoseOrders { orders: 2 });
                self.order();
            }
            Fault::OrdersLate => {
                self.tell(&Engines::DelayOrders { orders: 2, ms: 2500 });
                self.order();
            }
            Fault::OrdersDoubled => {
                self.tell(&Engines::DoubleOrders { orders: many });
                self.order();
            }
            Fault::PlatformDown => platform.tell(Platforms::Down),
            Fault::PlatformSlow => platform.tell(Platforms::Slow { ms: 400 }),
            Fault::PlatformAnswersLost => {
                platform.tell(Platforms::LoseShare { share: 0.3, seed: 1 });
                self.order();
            }
            Fault::ListStale => {
                platform.tell(Platforms::Lag { ms: 30_000 });
                self.serving().tell(Engines::Leave { refuse_after_ms: 500 });
            }
            Fault::ReportsStale => self.tell(&Engines::Lag { ms: 3000 }),
            Fault::CacheEventsGap => self.tell(&Engines::Gap { every: 3 }),
            Fault::WeightsSlow => {
                self.site.weights.slow(50);
                self.order();
            }
            Fault::OlderConfigWritten => {
                self.order();
                std::thread::sleep(WINDOW * 12);
                self.site.configure(1, services(1));
            }
            Fault::RequestCrashesEngines => {
                let text = "letter 400".to_string();
                self.tell(&Engines::CrashOn { text, restart_ms: 500 });
            }
            Fault::PlatformDownAndEngineCrashes => {
                platform.tell(Platforms::Down);
                self.serving().tell(Engines::Crash { restart_ms: 2000 });
            }
            Fault::EntryKilledAndAnswersLost => {
                platform.tell(Platforms::LoseShare { share: 0.3, seed: 1 });
                drop(self.entries[0].child.kill());
            }
        }
    }

    fn end(&self, fault: Fault) {
        match fault {
            Fault::EntryFrozen => self.entries[0].signal("CONT"),
            Fault::PlacerFrozen => self.placers[0].signal("CONT"),
            Fault::EngineLeaves | Fault::ListStale => {}
            _ => {
                self.tell(&engine::Command::Heal);
                self.site.weights.slow(1);
                self.site.platform.tell(platform::Command::Heal);
            }
        }
        for service in &self.services {
            service.tell(service::Command::Heal);
        }
    }
}

/// The services in force: version 2 has a second model.
fn services(version: u64) -> Vec<Served> {
    let mut services = vec![site::plain(SERVICE, false)];
    for (name, _) in [(MODEL, 1), ("quotes", 2)].into_iter().filter(|(_, from)| *from <= version) {
        let mut service = site::drafting(name);
        service.models[0].memory = MODEL_MEMORY;
        service.models[0].copies = 2;
        let adapter = Adapter { name: "tirol".to_string(), version: 1, memory: 64 << 20 };
        service.models[0].adapters.push(adapter);
        services.push(service);
    }
    services
}
