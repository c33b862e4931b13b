//! `poplarmux-publish`: checks service files and publishes them as the configuration in force.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use clap::Subcommand;
use serde::Serialize;

use crate::config;
use crate::config::publish;
use crate::config::publish::Plan;
use crate::config::publish::Retry;
use crate::config::publish::Verdict;
use crate::config::set::Set;
use crate::config::snapshot::Change;
use crate::config::snapshot::Fate;
use crate::config::snapshot::Identity;
use crate::edge::http::Pool;
use crate::edge::peer;
use crate::edge::platform;
use crate::edge::platform::Platform;
use crate::edge::platform::Role;
use crate::edge::platform::http::Client;
use crate::edge::platform::http::Settings;
use crate::entry::rpc::Release;
use crate::error::Error;
use crate::log::Log;
use crate::metric::Metrics;

/// RPC method that returns the `Identity` of the latest configuration that a process holds.
pub const HIGHEST_METHOD: &str = "config.highest";

/// Timeout of a `HIGHEST_METHOD` call to one process.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Checks service files and publishes them.
///
/// A publish replaces the services whose files are given and leaves all others unchanged.
#[derive(Debug, Parser)]
#[command(name = "poplarmux-publish", version, after_help = USAGE)]
pub struct Args {
    #[command(subcommand)]
    command: Command,
    /// Print JSON instead of text.
    #[arg(long, global = true)]
    json: bool,
    #[command(flatten)]
    log: Log,
}

const USAGE: &str = "\
Exit codes:
  0  success: the files are valid, the publish was accepted, or there was nothing to change
  1  refused: the files have errors; each is printed as FILE:LINE: REASON
  2  wrong use of this program
  3  the platform did not answer, or the outcome of a publish is unknown
  4  conflict: another publish came first; its changes are printed, nothing was written

A service file:
  name: grievance
  kind: engine                # or plain
  class: interactive          # record, interactive, revision, batch
  regions: [wien, steiermark] # regions in which it may run
  deadline_ms: 8000           # for requests without a deadline; 1 to 86400000
  share: 10                   # weight under contention; 1 to 1000, default 1
  repeatable: true            # required for plain services; always true for engines
  models:                     # engines only
    - name: letters-7b
      version: 3
      memory_mib: 14336
      copies: 2               # default 1
      adapters:
        - {name: metal, version: 1, memory_mib: 64}

A folder means all *.yaml files in it. A deployment.yaml among them may set accelerator_mib and
regions: models too large for any accelerator and unknown regions are then refused.

Examples:
  poplarmux-publish check services/
  poplarmux-publish diff services/ --platform 127.0.0.1:7000
  poplarmux-publish publish services/ --platform 127.0.0.1:7000 --base 41
  poplarmux-publish publish --remove old-service --platform 127.0.0.1:7000
  poplarmux-publish status --platform 127.0.0.1:7000";

#[derive(Debug, Subcommand)]
enum Command {
    /// Check service files without contacting the platform.
    Check {
        /// Service files and folders of service files.
        #[arg(required = true)]
        paths: Vec<PathBuf>,
        #[command(flatten)]
        fit: Fit,
    },
    /// Show the changes that a publish would make.
    Diff(Target),
    /// Publish service files.
    Publish {
        #[command(flatten)]
        target: Target,
        /// Publish only if this version is in force, for example the one shown by `diff`.
        #[arg(long, value_name = "VERSION")]
        base: Option<u64>,
        /// Give the new configuration a version above this one. Only needed after the platform lost
        /// the stored configuration: entries never return to a version lower than theirs.
        #[arg(long, value_name = "VERSION", default_value_t = 0)]
        above: u64,
    },
    /// Show the version in force at the platform and at each entry.
    Status {
        /// Address of the platform's object API.
        #[arg(long, value_name = "ADDRESS")]
        platform: SocketAddr,
        /// Peer address of an entry that the platform does not list; may be repeated.
        #[arg(long, value_name = "ADDRESS")]
        peer: Vec<SocketAddr>,
        /// Show the outcome of this publish; needs `--base`.
        #[arg(long, value_name = "PUBLISH", requires = "base")]
        id: Option<String>,
        /// Version on which that publish was based.
        #[arg(long, value_name = "VERSION")]
        base: Option<u64>,
    },
}

#[derive(Debug, clap::Args)]
struct Fit {
    /// Memory of the largest accelerator in MiB; overrides the value in deployment.yaml.
    #[arg(long, value_name = "MIB", value_parser = clap::value_parser!(u64).range(1..=16 << 20))]
    accelerator_mib: Option<u64>,
}

#[derive(Debug, clap::Args)]
struct Target {
    /// Service files and folders of service files.
    #[arg(required_unless_present = "remove")]
    paths: Vec<PathBuf>,
    #[command(flatten)]
    fit: Fit,
    /// Address of the platform's object API.
    #[arg(long, value_name = "ADDRESS")]
    platform: SocketAddr,
    /// Remove this service from the configuration; may be repeated.
    #[arg(long, value_name = "SERVICE")]
    remove: Vec<String>,
}

/// Result of a run, as printed by `--json`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Report {
    /// The files are valid.
    Checked {
        /// Number of services.
        services: usize,
        /// Number of models.
        models: usize,
        /// Number of adapters.
        adapters: usize,
        /// Whether models were checked against the accelerators' memory.
        fit_checked: bool,
    },
    /// The changes that a publish would make.
    Preview {
        /// Version in force.
        version: u64,
        /// Changes to it; may be empty.
        changes: Vec<Change>,
    },
    /// The versions in force.
    Status(Status),
    /// The platform could not be reached; nothing was written.
    Unreachable {
        /// Error of the platform's client.
        reason: String,
    },
    /// The result of a publish.
    #[serde(untagged)]
    Published(Verdict),
}

/// Versions in force at the platform and at each entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Configuration stored by the platform; none if it did not answer.
    pub platform: Option<Identity>,
    /// The entries in the order of the platform's list, then those given by `--peer`.
    pub entries: Vec<Entry>,
    /// Outcome of the publish given by `--id`.
    pub publish: Option<Outcome>,
}

/// Outcome of a publish.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// In force.
    InForce,
    /// Accepted as this version; a later publish has replaced it.
    Superseded(u64),
    /// Not accepted yet; its update may still be in progress.
    Open,
    /// Not accepted, and never will be: another publish took its place.
    Lost,
    /// Unknown: the history does not reach back far enough, or the platform did not answer.
    Unknown,
}

impl From<Fate> for Outcome {
    fn from(fate: Fate) -> Self {
        match fate {
            Fate::InForce => Outcome::InForce,
            Fate::Superseded(version) => Outcome::Superseded(version),
            Fate::Pending => Outcome::Open,
            Fate::Conflict => Outcome::Lost,
            Fate::Expired => Outcome::Unknown,
        }
    }
}

/// Latest configuration of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Peer address of the entry.
    pub peer: SocketAddr,
    /// Region of the entry; none if it is not on the platform's list.
    pub region: Option<String>,
    /// Its configuration and whether it is in force there; none if the entry did not answer.
    pub mark: Option<Identity>,
}

/// Runs the command, prints its report and returns the exit code.
pub fn run(args: Args) -> Result<ExitCode, Error> {
    args.log.start()?;
    let report = smol::block_on(execute(args.command));
    let text = if args.json { serde_json::to_string_pretty(&report)? } else { render(&report) };
    println!("{}", text.trim_end());
    Ok(ExitCode::from(exit_code(&report)))
}

async fn execute(command: Command) -> Report {
    match command {
        Command::Check { paths, fit } => match read_files(&paths, &fit) {
            Ok(set) => summary(&set),
            Err(err) => refused(err),
        },
        Command::Diff(target) => {
            let client = client(target.platform);
            match build_plan(target, None, 0) {
                Ok(plan) => preview(&client, &plan).await,
                Err(err) => refused(err),
            }
        }
        Command::Publish { target, base, above } => {
            let client = client(target.platform);
            let plan = match build_plan(target, base, above) {
                Ok(plan) => plan,
                Err(err) => return refused(err),
            };
            let result = publish::publish(&client, &plan, Retry::default()).await;
            result.map_or_else(|err| unreachable(&err), Report::Published)
        }
        Command::Status { platform, peer, id, base } => {
            let requested = id.zip(base);
            Report::Status(status(&client(platform), &pool(), &peer, requested).await)
        }
    }
}

async fn preview<P: Platform>(platform: &P, plan: &Plan) -> Report {
    match publish::preview(platform, plan, Retry::default()).await {
        Ok((_, _, faults)) if !faults.is_empty() => refused(config::Error { faults }),
        Ok((snapshot, changes, _)) => Report::Preview { version: snapshot.version, changes },
        Err(err) => unreachable(&err),
    }
}

fn pool() -> Pool {
    Pool::new(Duration::from_secs(1), Duration::from_secs(10))
}

fn client(addr: SocketAddr) -> Client {
    let metrics = Arc::new(Metrics::new(None));
    Client::new(addr, pool(), metrics, Settings::default())
}

fn read_files(paths: &[PathBuf], fit: &Fit) -> Result<Set, config::Error> {
    Set::read(paths, fit.accelerator_mib.map(|mib| mib << 20))
}

fn build_plan(target: Target, base: Option<u64>, floor: u64) -> Result<Plan, config::Error> {
    let set = read_files(&target.paths, &target.fit)?;
    let publish = format!("{:032x}", rand::random::<u128>());
    Ok(Plan { set, remove: target.remove, base, floor, publish })
}

fn summary(set: &Set) -> Report {
    let models = || set.services.iter().flat_map(|service| &service.models);
    Report::Checked {
        services: set.services.len(),
        models: models().count(),
        adapters: models().map(|model| model.adapters.len()).sum(),
        fit_checked: set.fit_checked,
    }
}

fn refused(err: config::Error) -> Report {
    Report::Published(Verdict::Refused { faults: err.faults })
}

fn unreachable(err: &platform::Error) -> Report {
    Report::Unreachable { reason: err.to_string() }
}

/// Collects the versions in force from the platform, the entries it lists and `peers`.
pub async fn status<P: Platform>(
    platform: &P,
    pool: &Pool,
    peers: &[SocketAddr],
    requested: Option<(String, u64)>,
) -> Status {
    let single_try = Retry { max_attempts: 1, ..Retry::default() };
    let snapshot = publish::read(platform, single_try).await.ok().map(|(_, snapshot)| snapshot);
    let listed = platform.instances().await.unwrap_or_default();
    let mut rows: Vec<(SocketAddr, Option<String>)> = listed
        .into_iter()
        .filter(|instance| instance.role == Role::Entry)
        .filter_map(|instance| Some((instance.peer?, Some(instance.region))))
        .collect();
    for peer in peers {
        if rows.iter().all(|(addr, _)| addr != peer) {
            rows.push((*peer, None));
        }
    }
    let client = peer::Client::new(pool.clone());
    let calls: Vec<_> = rows
        .into_iter()
        .map(|(peer, region)| {
            let client = client.clone();
            smol::spawn(async move {
                let mark = client
                    .call(peer, HIGHEST_METHOD, &Release { release: peer::RELEASE }, CALL_TIMEOUT)
                    .await
                    .ok();
                Entry { peer, region, mark }
            })
        })
        .collect();
    let mut entries = Vec::with_capacity(calls.len());
    for task in calls {
        entries.push(task.await);
    }
    let publish = requested.map(|(id, base)| match &snapshot {
        Some(snapshot) => snapshot.fate(&id, base).into(),
        None => Outcome::Unknown,
    });
    Status { platform: snapshot.as_ref().map(Identity::from), entries, publish }
}

/// Returns the program's exit code for a report.
pub fn exit_code(report: &Report) -> u8 {
    match report {
        Report::Checked { .. } | Report::Preview { .. } => 0,
        Report::Published(verdict) => match verdict {
            Verdict::Accepted { .. } | Verdict::Superseded { .. } | Verdict::Unchanged { .. } => 0,
            Verdict::Refused { .. } => 1,
            Verdict::Unknown { .. } => 3,
            Verdict::Conflict { .. } => 4,
        },
        Report::Status(status) => match status.publish {
            Some(Outcome::Lost) => 4,
            Some(Outcome::Open | Outcome::Unknown) => 3,
            _ if status.platform.is_none() => 3,
            _ => 0,
        },
        Report::Unreachable { .. } => 3,
    }
}

/// Formats a report as text.
pub fn render(report: &Report) -> String {
    let mut out = String::new();
    match report {
        Report::Checked { services, models, adapters, fit_checked } => {
            let _ =
                writeln!(out, "{services} services, {models} models, {adapters} adapters: valid");
            if !fit_checked {
                let _ = writeln!(
                    out,
                    "not checked: whether models fit an accelerator; give --accelerator-mib or a deployment.yaml"
                );
            }
        }
        Report::Preview { version, changes } if changes.is_empty() => {
            let _ = writeln!(out, "version {version} is in force; nothing would change");
        }
        Report::Preview { version, changes } => {
            let _ = writeln!(out, "version {version} is in force; a publish would change:");
            write_changes(&mut out, changes);
            let _ = writeln!(out, "to publish exactly these changes, use --base {version}");
        }
        Report::Published(verdict) => write_verdict(&mut out, verdict),
        Report::Status(status) => write_status(&mut out, status),
        Report::Unreachable { reason } => {
            let _ = writeln!(out, "nothing was written; the platform failed: {reason}");
        }
    }
    out
}

fn write_changes(out: &mut String, changes: &[Change]) {
    for change in changes {
        let _ = writeln!(out, "  {change}");
    }
}

fn write_verdict(out: &mut String, verdict: &Verdict) {
    match verdict {
        Verdict::Accepted { version, publish, changes } => {
            let _ = writeln!(out, "accepted as version {version}, publish {publish}");
            write_changes(out, changes);
        }
        Verdict::Superseded { version, publish, current_version, later } => {
            let _ = writeln!(out, "accepted as version {version}, publish {publish}");
            let _ = writeln!(out, "since replaced by version {current_version}; later changes:");
            for past in later {
                write_changes(out, &past.changes);
            }
        }
        Verdict::Unchanged { version } => {
            let _ = writeln!(out, "version {version} is in force; nothing to change");
        }
        Verdict::Conflict { base, current_version, changes, complete } => {
            let current = current_version
                .map_or_else(|| "(unknown)".to_string(), |version| version.to_string());
            let _ = writeln!(
                out,
                "conflict: version {current} has replaced version {base}; nothing was written"
            );
            write_changes(out, changes);
            if !complete {
                let _ = writeln!(out, "  this list is incomplete; run `diff` to see all changes");
            }
        }
        Verdict::Refused { faults } => {
            for fault in faults {
                let _ = writeln!(out, "{fault}");
            }
            let _ = writeln!(out, "refused with {} errors; nothing was written", faults.len());
        }
        Verdict::Unknown { publish, base } => {
            let _ = writeln!(
                out,
                "outcome unknown: the platform's answer was lost and the configuration could not be read back"
            );
            let _ = writeln!(out, "to check it later: status --id {publish} --base {base}");
        }
    }
}

fn write_status(out: &mut String, status: &Status) {
    let text = |mark: &Option<Identity>| match mark {
        Some(mark) if mark.version == 0 => "none".to_string(),
        Some(mark) => format!("version {} publish {}", mark.version, mark.publish),
        None => "no answer".to_string(),
    };
    let _ = writeln!(out, "{:<28}{}", "platform", text(&status.platform));
    for entry in &status.entries {
        let region = entry.region.as_deref().unwrap_or("-");
        let is_same = is_current(entry, status);
        let note = if is_same { "" } else { "  differs" };
        let _ = writeln!(out, "{:<12}{:<16}{}{note}", region, entry.peer, text(&entry.mark));
    }
    let current = status.entries.iter().filter(|entry| is_current(entry, status)).count();
    let _ = writeln!(out, "in force at {current} of {} entries", status.entries.len());
    if let Some(outcome) = &status.publish {
        let description = match outcome {
            Outcome::InForce => "in force".to_string(),
            Outcome::Superseded(version) => format!("accepted as version {version}, superseded"),
            Outcome::Open => "not accepted yet; its update may still be in progress".to_string(),
            Outcome::Lost => {
                "not accepted, and never will be: another publish came first".to_string()
            }
            Outcome::Unknown => "unknown".to_string(),
        };
        let _ = writeln!(out, "publish asked for: {description}");
    }
}

/// Returns whether an entry holds the same publish as the platform.
fn is_current(entry: &Entry, status: &Status) -> bool {
    match (&entry.mark, &status.platform) {
        (Some(mark), Some(platform)) => mark.is_same_publish(platform),
        _ => false,
    }
}
