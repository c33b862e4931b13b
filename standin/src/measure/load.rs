//! `poplarmux-measure load`: what callers receive under load, in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use poplarmux::config::service::Class;
use poplarmux::config::service::Kind;
use poplarmux::config::service::Service;
use poplarmux::config::snapshot::Snapshot;
use poplarmux::decide::flow::Flow;
use poplarmux::error::Error;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::IntoEnumIterator;

use crate::measure::baseline::Baseline;
use crate::measure::baseline::Rule;
use crate::measure::traffic;
use crate::measure::traffic::ENGINES;
use crate::measure::traffic::ENTRIES;
use crate::measure::traffic::Load;
use crate::measure::traffic::Pattern;
use crate::measure::traffic::REGIONS;
use crate::scene;
use crate::scene::Arrival;
use crate::scene::Policy;
use crate::scene::Record;
use crate::scene::Scene;

/// Arguments of the measurement.
#[derive(Debug, Clone, clap::Args)]
pub struct Args {
    /// The traffic; all patterns when not given.
    #[arg(long, value_enum)]
    pub pattern: Option<Pattern>,
    /// Multiples of what the engines can do.
    #[arg(long, value_delimiter = ',', default_values_t = [0.7, 1.0, 1.5, 3.0, 10.0])]
    pub load: Vec<f64>,
    /// For how many seconds requests arrive.
    #[arg(long, default_value_t = 600.0)]
    pub seconds: f64,
    /// Models: 13 and 17 are the users' sizes.
    #[arg(long, default_value_t = 13)]
    pub models: usize,
    /// Seed of the traffic and of the entries.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Only poplarmux, without the rivals.
    #[arg(long)]
    pub alone: bool,
    /// JSON lines instead of a table.
    #[arg(long)]
    pub json: bool,
}

/// Who decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Who {
    /// This project.
    Poplarmux,
    /// A first-come queue with random choice.
    FirstCome,
    /// The least reported load.
    LeastReported,
    /// Two choices on reports.
    TwoChoices,
    /// Two choices and no bound anywhere.
    NoAdmission,
}

/// What one run gave.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// The traffic.
    pub pattern: String,
    /// Multiple of what the engines can do.
    pub load: f64,
    /// Who decided.
    pub policy: String,
    /// Requests sent.
    pub offered: usize,
    /// Answered in full before the deadline.
    pub on_time: usize,
    /// The most that full knowledge allows.
    pub bound: f64,
    /// The same with lengths known only as callers ask for them.
    pub bound_asked: f64,
    /// On time an accelerator and second of arrivals.
    pub per_accelerator: f64,
    /// Percent of what the engines can do that went into answers on time.
    pub useful: f64,
    /// Percent of drafts, revisions and batch requests on time.
    pub by_class: BTreeMap<String, f64>,
    /// Refused without an answer.
    pub refused: usize,
    /// Percent of the refused ones whose refusal came within a millisecond, without links.
    pub refused_at_once: f64,
    /// Median and 99th percentile of the time to a refusal, milliseconds.
    pub refused_ms: (f64, f64),
    /// The same of the time to the first token, of answers on time.
    pub first_ms: (f64, f64),
    /// Jain's index over callers of answered on time against sent.
    pub fairness: f64,
    /// Percent on time of all callers but the hottest.
    pub others: f64,
    /// Attempts a request.
    pub attempts: f64,
    /// Megabytes over paid links.
    pub paid_mb: f64,
    /// Processor time of the run, milliseconds a thousand requests, scene included.
    pub cpu_ms: f64,
}

/// The configuration that the traffic's services have: all of one weight.
pub fn config(models: usize) -> Snapshot {
    let service = |model: usize, class: Class| Service {
        name: format!("m{model}-{class}"),
        kind: Kind::Engine,
        class,
        regions: (0..REGIONS).map(|region| scene::home(region).region).collect(),
        deadline: Duration::from_secs(20),
        share: 100,
        repeatable: true,
        models: Vec::new(),
    };
    let classes = [Class::Batch, Class::Interactive, Class::Revision];
    let all = (0..models).flat_map(|model| classes.map(|class| service(model, class)));
    Snapshot { version: 1, services: all.collect(), ..Snapshot::default() }
}

/// Entries of the users' number that decide as asked.
pub fn entries(who: Who, models: usize, seed: u64) -> Vec<(usize, Box<dyn Policy>)> {
    let entry = |number: usize| -> (usize, Box<dyn Policy>) {
        let region = number % REGIONS;
        let seed = seed * 100 + number as u64;
        let rule = match who {
            Who::Poplarmux => {
                let mut flow = Flow::new(scene::home(region), seed);
                flow.configure(config(models));
                return (region, Box::new(flow));
            }
            Who::FirstCome => Rule::First,
            Who::LeastReported => Rule::Least,
            Who::TwoChoices => Rule::Two,
            Who::NoAdmission => Rule::Open,
        };
        (region, Box::new(Baseline::new(rule, ENTRIES, seed)))
    };
    (0..ENTRIES).map(entry).collect()
}

/// Runs one load under one policy.
pub fn measure(who: Who, load: &Load) -> Figures {
    let (arrivals, faults) = traffic::traffic(load);
    let bound = traffic::bound(load, &arrivals, false);
    let scene = Scene::new(traffic::engines(load.models), entries(who, load.models, load.seed));
    let start = Instant::now();
    let records = scene.run(arrivals.clone(), faults);
    let spent = start.elapsed();
    let mut figures = figures(load, &arrivals, &records, bound);
    figures.bound_asked = traffic::bound(load, &arrivals, true);
    figures.policy = who.to_string();
    figures.cpu_ms = spent.as_secs_f64() * 1e6 / arrivals.len().max(1) as f64;
    figures
}

fn figures(load: &Load, arrivals: &[Arrival], records: &[Record], bound: f64) -> Figures {
    let both = || arrivals.iter().zip(records);
    let timely = |records: &mut dyn Iterator<Item = (&Arrival, &Record)>| {
        let (mut all, mut good) = (0_usize, 0_usize);
        for (_, record) in records {
            all += 1;
            good += usize::from(record.timely);
        }
        100.0 * good as f64 / all.max(1) as f64
    };
    let on_time = records.iter().filter(|record| record.timely).count();
    let refused: Vec<f64> = records
        .iter()
        .filter_map(|row| Some(row.refused.as_ref()?.0.as_secs_f64() * 1e3))
        .collect();
    let at_once = refused.iter().filter(|ms| **ms <= 1.0).count();
    let first = records.iter().filter(|row| row.timely);
    let first: Vec<f64> = first.filter_map(|row| Some(row.first?.as_secs_f64() * 1e3)).collect();
    let classes: BTreeSet<Class> = arrivals.iter().map(|row| row.job.class).collect();
    let by_class = classes.into_iter().map(|class| {
        (class.to_string(), timely(&mut both().filter(|(row, _)| row.job.class == class)))
    });
    let callers: BTreeSet<&String> = arrivals.iter().map(|row| &row.job.caller).collect();
    let rates: Vec<f64> = callers
        .iter()
        .map(|caller| timely(&mut both().filter(|(row, _)| row.job.caller == **caller)))
        .collect();
    let sum: f64 = rates.iter().sum();
    let squares: f64 = rates.iter().map(|rate| rate * rate).sum();
    let paid = both().filter(|(_, record)| record.away && record.attempts > 0);
    let paid: f64 = paid
        .map(|(row, _)| f64::from(row.job.prompt_tokens) * 4.0 + f64::from(row.length) * 100.0)
        .sum();
    Figures {
        pattern: load.pattern.to_string(),
        load: load.multiple,
        policy: String::new(),
        offered: arrivals.len(),
        on_time,
        bound,
        bound_asked: 0.0,
        per_accelerator: on_time as f64 / ENGINES as f64 / load.seconds,
        useful: {
            let good = both().filter(|(_, record)| record.timely);
            let steps: f64 = good.map(|(row, _)| traffic::steps(row)).sum();
            100.0 * steps / (load.seconds * ENGINES as f64 * scene::capacity())
        },
        by_class: by_class.collect(),
        refused: refused.len(),
        refused_at_once: 100.0 * at_once as f64 / refused.len().max(1) as f64,
        refused_ms: percentiles(refused),
        first_ms: percentiles(first),
        fairness: sum * sum / (rates.len() as f64 * squares).max(f64::MIN_POSITIVE),
        others: timely(&mut both().filter(|(row, _)| row.job.caller != "c0")),
        attempts: records.iter().map(|row| f64::from(row.attempts)).sum::<f64>()
            / records.len().max(1) as f64,
        paid_mb: paid / 1e6,
        cpu_ms: 0.0,
    }
}

fn percentiles(mut values: Vec<f64>) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let last = values.len().saturating_sub(1) as f64;
        values.get((last * share) as usize).copied().unwrap_or_default()
    };
    (at(0.5), at(0.99))
}

/// Runs what was asked for and prints it.
pub fn run(args: &Args) -> Result<(), Error> {
    let patterns: Vec<Pattern> = match args.pattern {
        Some(pattern) => vec![pattern],
        None => Pattern::iter().collect(),
    };
    let who: Vec<Who> = if args.alone { vec![Who::Poplarmux] } else { Who::iter().collect() };
    if !args.json {
        println!(
            "{:<14}{:>5} {:<15}{:>7}{:>8}{:>7}{:>7}{:>7}{:>8}{:>8} {:>22}{:>8}{:>9}{:>16}{:>14}{:>6}{:>7}{:>6}{:>7}",
            "pattern",
            "load",
            "policy",
            "offered",
            "on time",
            "%",
            "%bound",
            "%asked",
            "/acc/s",
            "useful%",
            "draft/revision/batch %",
            "refused",
            "at once%",
            "refused ms",
            "first ms",
            "fair",
            "others",
            "tries",
            "paidMB"
        );
    }
    for pattern in patterns {
        for multiple in &args.load {
            let load = Load {
                pattern,
                multiple: *multiple,
                seconds: args.seconds,
                models: args.models,
                seed: args.seed,
            };
            for who in &who {
                print(args, &measure(*who, &load));
            }
        }
    }
    Ok(())
}

fn print(args: &Args, row: &Figures) {
    if args.json {
        println!("{}", serde_json::to_string(row).unwrap_or_default());
        return;
    }
    let class = |name: &str| row.by_class.get(name).map_or("-".into(), |rate| format!("{rate:.1}"));
    let classes = format!("{}/{}/{}", class("interactive"), class("revision"), class("batch"));
    println!(
        "{:<14}{:>5} {:<15}{:>7}{:>8}{:>7.1}{:>7.1}{:>7.1}{:>8.3}{:>8.1} {:>22}{:>8}{:>9.1}{:>16}{:>14}{:>6.3}{:>7.1}{:>6.2}{:>7.2}",
        row.pattern,
        row.load,
        row.policy,
        row.offered,
        row.on_time,
        100.0 * row.on_time as f64 / row.offered.max(1) as f64,
        100.0 * row.on_time as f64 / row.bound.max(1.0),
        100.0 * row.on_time as f64 / row.bound_asked.max(1.0),
        row.per_accelerator,
        row.useful,
        classes,
        row.refused,
        row.refused_at_once,
        format!("{:.0}/{:.0}", row.refused_ms.0, row.refused_ms.1),
        format!("{:.0}/{:.0}", row.first_ms.0, row.first_ms.1),
        row.fairness,
        row.others,
        row.attempts,
        row.paid_mb,
    );
}
