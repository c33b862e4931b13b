//! Clients with a cached answer of the directory send streams to a daemon that has got SIGTERM three
//! seconds before.

#[path = "../../standin/lib.rs"]
#[allow(dead_code)]
mod lib;

use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use lib::json;
use lib::{Daemon, GateAction, Record, Site, Store};

/// Events of each stream, tokens in each of them, and the pause between two.
const EVENTS: usize = 40;
const TOKENS_PER_EVENT: usize = 6;
const PAUSE: Duration = Duration::from_millis(140);
const CLIENTS: usize = 6;
/// Requests that are sent up to this long after the SIGTERM may be cut at the end of `graceS`.
const EXCUSED: Duration = Duration::from_secs(3);

fn config() -> json::Value {
    json::parse(
        r#"{"version":7,"routes":[{"name":"r-draft","hostname":"ficu95.example","pathPrefix":"/lohu930/",
        "kind":"streaming","timeoutMs":12000,"targetLatencyMs":400,"priority":2,"service":"schreiber","maxAttempts":1,
        "sessionAffinity":true,"resumable":false,"gapAimMs":150}],
        "services":[{"name":"schreiber","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,
        "engine":{"slots":64,"kvCapacityTokens":156014,"stride":6,"models":[
        {"name":"m0","weightsMb":42700.0,"loadTimeS":3.4,"adapters":0,"adapterMb":66.0,"warmS":0.44,"diskS":0.68}],
        "weightsMb":200000.0,"adapterSlots":8,"loadsPerS":1.4}}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":20000}}"#,
    )
    .expect("configuration")
}

/// Sends one stream and reads it to its end. Returns whether the rule holds for it: only a stream that
/// was passed on, was sent over three seconds after `began`, and is cut off, breaks it.
fn send(addr: SocketAddr, id: &str, began: Instant, record: &Record) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    let tokens = EVENTS * TOKENS_PER_EVENT;
    let req = format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Poplarmux-Request-Id: {id}\r\n\
        X-Poplarmux-Model: m0\r\nX-Poplarmux-Token-Count: 715,{tokens}\r\n\
        X-Poplarmux-Prompt-Prefix: 5c1e07a2:172,{id}:543\r\nX-Poplarmux-Deadline-Ms: 12000\r\n\
        Content-Length: 4\r\n\r\nbody"
    );
    let is_judged = began.elapsed() > EXCUSED;
    stream.write_all(req.as_bytes())?;
    record.line(&format!("{id} sent to {addr}"));
    let mut reader = BufReader::new(stream);
    let Some(head) = lib::read_head(&mut reader)? else {
        record.line(&format!("{id} connection closed without an answer"));
        return Ok(true);
    };
    if head.status() != 200 {
        record.line(&format!("{id} answered {}", head.status()));
        return Ok(true);
    }
    let body = lib::read_body(&mut reader, &head);
    let result = match &body {
        Ok(_) => "complete",
        // The client's deadline.
        Err(err) if [ErrorKind::WouldBlock, ErrorKind::TimedOut].contains(&err.kind()) => "late",
        Err(_) => "cut before its end",
    };
    record.line(&format!("{id} stream {result}"));
    Ok(result != "cut before its end" || !is_judged)
}

/// Exit status of a case that could not run.
const NOT_RUN: i32 = 2;

fn main() {
    std::process::exit(run().unwrap_or(NOT_RUN));
}

/// Returns 1 if the rule was broken, 0 if it held, and nothing if the case could not run.
fn run() -> Option<i32> {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(std::path::Path::new(&std::env::args().nth(1).expect("record file")));
    let site = Site::new();
    let store = Store::start(site.addr(200, 0), Arc::new(|_: &lib::Message, _| GateAction::Serve)).expect("store");
    store.put("config", "main", config());
    let runs = record.clone();
    let handle = move |call: &lib::Message, name: &str, stream: &mut TcpStream| {
        let id = call.header("x-poplarmux-request-id").unwrap_or("-").to_string();
        let left = call.header("x-poplarmux-deadline-ms").unwrap_or("-").to_string();
        runs.line(&format!("{name} runs {id}, {left} ms left"));
        let write = || -> std::io::Result<()> {
            lib::write_stream_head(call, stream)?;
            for number in 1..=EVENTS {
                std::thread::sleep(PAUSE);
                lib::write_event(stream, number, &id)?;
            }
            lib::write_stream_end(stream)
        };
        let mut write = write;
        let is_written = write().is_ok();
        runs.line(&format!("{name} {} {id}", if is_written { "has ended" } else { "was cut off in" }));
        is_written
    };
    let handle: Arc<lib::StreamHandler> = Arc::new(handle);
    let orders: Arc<lib::OrderHandler> = Arc::new(|_: &str, _: &json::Value, _: &[String], _: bool| {});
    let _engines: Vec<_> = [(201, "wien-a"), (202, "graz-a"), (203, "ibk-a")]
        .into_iter()
        .map(|(last, zone)| {
            let addr = site.addr(last, 0);
            let load = Duration::from_millis(3400);
            lib::engine(&store, &format!("i-{last}"), "schreiber", zone, addr, &["m0"], load, orders.clone(), handle.clone())
                .expect("engine")
        })
        .collect();
    let mut daemons: Vec<Daemon> = (1..=3).map(|number| site.daemon(number, store.addr)).collect();
    if !lib::wait_for(Duration::from_secs(20), || daemons.iter().all(Daemon::is_ready)) {
        record.line("daemons are not ready");
        return None;
    }
    std::thread::sleep(Duration::from_secs(5));
    let resolve = "GET /resolve?name=ficu95.example&region=wien&zone=wien-a HTTP/1.1\r\nHost: x\r\n\r\n";
    let directory = SocketAddr::from((daemons[1].ip, lib::DIRECTORY));
    let found = lib::exchange(directory, resolve.as_bytes(), Duration::from_secs(1)).expect("directory");
    record.line(&format!("directory: {}", String::from_utf8_lossy(&found.body)));
    let addr = daemons[0].front();
    if !String::from_utf8_lossy(&found.body).contains(&addr.to_string()) {
        record.line("the directory does not name the daemon");
        return None;
    }
    let began = Instant::now();
    if trouble {
        record.line(&format!("SIGTERM to {}", daemons[0].name));
        daemons[0].signal("TERM");
    }
    std::thread::sleep(Duration::from_millis(3_100));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            std::thread::sleep(Duration::from_millis(60));
            std::thread::spawn(move || send(addr, &format!("{:x}", 0xa000 + number), began, &record))
        })
        .collect();
    while trouble && daemons[0].is_running() && began.elapsed() < Duration::from_secs(10) {
        std::thread::sleep(Duration::from_millis(10));
    }
    if trouble {
        record.line(&format!("daemon has ended after {:.2} s", began.elapsed().as_secs_f64()));
    }
    let results: Vec<bool> = clients.into_iter().map(|client| client.join().unwrap().unwrap_or(true)).collect();
    let lost = results.iter().filter(|held| !**held).count();
    record.line(&format!("{lost} of {CLIENTS} streams were accepted and cut"));
    record.line(if lost > 0 { "BROKEN: LOST" } else { "held" });
    Some(i32::from(lost > 0))
}
