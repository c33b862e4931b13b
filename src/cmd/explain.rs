//! `poplarmux-explain`: asks a running daemon where a request would go now, and why.

use std::fmt::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use clap::Parser;
use http::Request;
use http::header;

use crate::daemon;
use crate::daemon::explain;
use crate::daemon::explain::Decision;
use crate::daemon::explain::Excluded;
use crate::daemon::explain::Explanation;
use crate::daemon::explain::Failure;
use crate::daemon::explain::Query;
use crate::daemon::explain::Target;
use crate::daemon::link;
use crate::error::Error;

/// Asks a running daemon where a request would go now, and why. Nothing is sent to an endpoint, and
/// nothing changes.
#[derive(Debug, Parser)]
#[command(name = "poplarmux-explain", version, after_help = USAGE)]
pub struct Args {
    /// Address at which the daemon serves its metrics.
    address: SocketAddr,
    /// Host of the request.
    #[arg(long)]
    host: String,
    /// Path of the request.
    #[arg(long)]
    path: String,
    /// Name of the team that sends it.
    #[arg(long)]
    team: Option<String>,
    /// Model that it names.
    #[arg(long)]
    model: Option<String>,
    /// Adapter of that model.
    #[arg(long, requires = "model")]
    adapter: Option<String>,
    /// Tokens of its prompt.
    #[arg(long, default_value_t = 0)]
    prompt_tokens: u32,
    /// Most tokens of its answer.
    #[arg(long, default_value_t = 0)]
    output_tokens: u32,
    /// Print JSON instead of text.
    #[arg(long)]
    json: bool,
}

const USAGE: &str = "\
Exit codes:
  0  the daemon answered; the request would be sent, wait or be refused as printed
  1  the daemon does not explain this: no such route, team or model, or too many questions
  2  wrong use of this program
  3  no daemon answered at ADDRESS: check the address and --metrics-port of the daemon

Examples:
  poplarmux-explain 127.0.0.1:7390 --host api.example --path /draft/ --model base --prompt-tokens 600
  poplarmux-explain 127.0.0.1:7390 --host api.example --path /file/ --team billing --json | jq .decision";

/// Time limit of the question.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Upper bound of an answer.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Prints the explanation, and returns the exit code.
///
/// # Errors
///
/// Fails when an answer can't be printed as JSON.
pub fn run(args: &Args) -> Result<ExitCode, Error> {
    let query = Query {
        host: args.host.clone(),
        path: args.path.clone(),
        team: args.team.clone(),
        model: args.model.clone(),
        adapter: args.adapter.clone(),
        prompt_tokens: args.prompt_tokens,
        output_tokens: args.output_tokens,
    };
    let body = match ask(args.address, &query) {
        Ok(body) => body,
        Err(problem) => {
            eprintln!("no answer from {}: {problem}", args.address);
            return Ok(ExitCode::from(3));
        }
    };
    if let Ok(Failure { error }) = serde_json::from_slice(&body) {
        eprintln!("not explained: {error}");
        return Ok(ExitCode::from(1));
    }
    let Ok(explanation) = serde_json::from_slice::<Explanation>(&body) else {
        eprintln!("no answer from {}: it is no daemon that explains", args.address);
        return Ok(ExitCode::from(3));
    };
    match args.json {
        true => println!("{}", serde_json::to_string_pretty(&explanation)?),
        false => print!("{}", render(&explanation)),
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the body of the daemon's answer, or what went wrong.
fn ask(address: SocketAddr, query: &Query) -> Result<Bytes, String> {
    let query = serde_urlencoded::to_string(query).map_err(|err| err.to_string())?;
    let req = Request::get(format!("{}?{query}", explain::PATH));
    let req = req.header(header::HOST, address.to_string()).body(Bytes::new());
    let req = req.map_err(|err| err.to_string())?;
    daemon::block_on(async |ex| {
        let describe = |err: link::Error| <&str>::from(err).to_string();
        let mut link = link::dial(&ex, address, TIMEOUT).await.map_err(describe)?;
        let res = link.call(req, MAX_ANSWER_BYTES, TIMEOUT).await.map_err(describe)?;
        Ok(res.into_body())
    })
}

/// Formats an explanation as text.
pub fn render(explanation: &Explanation) -> String {
    let mut out = String::new();
    let Explanation { daemon, config_version, route, target_latency_ms, timeout_ms, .. } =
        explanation;
    let _ = writeln!(out, "{daemon}, configuration {config_version}");
    let _ = writeln!(
        out,
        "route {route}: priority {}, target latency {target_latency_ms} ms, timeout {timeout_ms} ms",
        explanation.priority
    );
    let services: Vec<String> =
        explanation.services.iter().map(|(name, weight)| format!("{name} ({weight})")).collect();
    let _ = writeln!(out, "services (weights): {}", services.join(", "));
    if let Some(team) = &explanation.team {
        let quota = team.quota.as_ref().map_or("no quota".to_string(), |quota| {
            let explain::Quota { rate, burst, unit, cost } = quota;
            format!("quota {rate} {unit}/s, burst {burst}, this request {cost}")
        });
        let _ = writeln!(out, "team {}: {quota}, over its share by {}", team.name, team.excess);
    }
    let _ = match &explanation.broker {
        Some(broker) => writeln!(out, "the broker at {broker} decides; this daemon knows:"),
        None => writeln!(out, "this daemon decides:"),
    };
    let _ = writeln!(out, "  {}", describe(&explanation.decision));
    let _ = writeln!(out, "  {} requests like it wait here", explanation.waiting);
    write_candidates(&mut out, &explanation.candidates);
    write_excluded(&mut out, &explanation.excluded);
    if explanation.omitted > 0 {
        let _ = writeln!(out, "{} endpoints left out", explanation.omitted);
    }
    out
}

fn describe(decision: &Decision) -> String {
    match decision {
        Decision::Send { endpoint, region: None } => format!("send to {endpoint}"),
        Decision::Send { endpoint, region: Some(region) } => {
            format!("ask the broker of {region}, for {endpoint}")
        }
        Decision::Wait { shortage, ahead, for_ms, loads_at } => {
            let load = loads_at.as_ref().map_or(String::new(), |id| format!(", loading at {id}"));
            format!("wait at most {for_ms} ms for {shortage}, {ahead} before it{load}")
        }
        Decision::Refuse { reason, shortage, ahead, retry_after_ms } => {
            let short = shortage.as_ref().map_or(String::new(), |text| format!(", short: {text}"));
            format!("refuse: {reason}{short}, {ahead} before it, retry after {retry_after_ms} ms")
        }
    }
}

fn write_candidates(out: &mut String, rows: &[Target]) {
    let _ = writeln!(out, "candidates: {}", rows.len());
    for row in rows {
        let Target { endpoint, data_center, load, slots, cost_ms, .. } = row;
        let mut notes = String::new();
        if let Some(pace) = row.pace {
            let _ = write!(notes, ", pace {pace}");
        }
        if !row.is_ready {
            notes.push_str(", adapter missing");
        }
        if row.delay_ms > 0 {
            let _ = write!(notes, ", prefill {} ms", row.delay_ms);
        }
        let _ = writeln!(
            out,
            "  {endpoint} ({data_center}): cost {cost_ms:.1} ms, load {load} of {slots}{notes}"
        );
    }
}

fn write_excluded(out: &mut String, rows: &[Excluded]) {
    let _ = writeln!(out, "excluded: {}", rows.len());
    for row in rows {
        let Excluded { endpoint, data_center, load, slots, obstacle, for_ms } = row;
        let span = for_ms.map_or(String::new(), |ms| format!(" for {ms} ms"));
        let _ =
            writeln!(out, "  {endpoint} ({data_center}): {obstacle}{span}, load {load} of {slots}");
    }
}
