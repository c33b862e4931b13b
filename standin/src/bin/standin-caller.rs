//! A caller as a program: each subcommand makes one call and prints what came.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use clap::Subcommand;
use error_stack::Report;
use http_types::Body;
use http_types::Method;
use poplarmux::edge::http;
use poplarmux::edge::http::Pool;
use poplarmux::error::Error;
use serde_json::Value;
use standin::caller::Caller;
use standin::caller::Reply;
use standin::engine::text::Ask;

/// Asks which entry to use, drafts, books, or commands a stand-in. Exits with 0 when the answer
/// was whole and, for a draft, word for word the one asked for; else with 1.
#[derive(Debug, Parser)]
struct Args {
    /// Where to call.
    at: SocketAddr,
    #[command(subcommand)]
    call: Call,
}

#[derive(Debug, Subcommand)]
enum Call {
    /// Ask which entries to use; prints their addresses, one a line.
    Entries {
        /// The caller's region.
        region: String,
    },
    /// Stream a draft.
    Draft {
        /// `model` or `model:adapter`.
        model: String,
        /// What is asked.
        prompt: String,
        /// Tokens of the answer.
        #[arg(long, default_value_t = 32)]
        tokens: u64,
    },
    /// Make a call that must not repeat.
    Book {
        /// The service.
        service: String,
        /// Its key.
        key: String,
        /// Its body.
        body: String,
    },
    /// Send a command to a stand-in.
    Control {
        /// The command, as JSON.
        command: String,
    },
    /// Read a path; exits with 0 on status 200.
    Get {
        /// The path.
        path: String,
    },
}

async fn run(args: &Args) -> Result<bool, Error> {
    let caller = Caller::default();
    match &args.call {
        Call::Entries { region } => {
            let places = caller.entries(args.at, region).await?;
            for place in &places.entries {
                println!("{}", place.address);
            }
            Ok(!places.entries.is_empty())
        }
        Call::Draft { model, prompt, tokens } => {
            let ask = Ask::chat(model, prompt, *tokens);
            let reply = caller.draft(args.at, &ask).await?;
            let first = reply.first.unwrap_or_default().as_millis();
            println!("{} tokens, the first after {first} ms: {}", reply.tokens, show(&reply));
            Ok(reply.answers(&ask))
        }
        Call::Book { service, key, body } => {
            let reply = caller.book(args.at, service, key, body).await?;
            println!("{}", show(&reply));
            Ok(reply.status == 200 && reply.whole)
        }
        Call::Control { command } => {
            let mut req = http::request(Method::Post, args.at, "/control")?;
            req.set_body(Body::from_string(command.clone()));
            let pool = Pool::new(Duration::from_secs(1), Duration::ZERO);
            let limit = Duration::from_secs(5);
            let (status, body) = pool.json::<Value>(args.at, req, 1 << 20, limit).await?;
            println!("{body}");
            Ok(status.is_success())
        }
        Call::Get { path } => {
            let reply = caller.call(args.at, Method::Get, path, None, "").await?;
            println!("{}", show(&reply));
            Ok(reply.status == 200)
        }
    }
}

fn show(reply: &Reply) -> String {
    match &reply.code {
        Some(code) => format!("{} {code} ({:?})", reply.status, reply.outcome),
        None => format!("{} {}", reply.status, reply.text.trim_end()),
    }
}

fn main() -> ExitCode {
    match smol::block_on(run(&Args::parse())) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("{:?}", Report::new(err));
            ExitCode::FAILURE
        }
    }
}
