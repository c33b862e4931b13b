//! A client reads a long answer slowly while its daemon is stopped with SIGTERM.

#[path = "../../standin/lib.rs"]
#[allow(dead_code)]
mod lib;

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use lib::json;
use lib::{Daemon, GateAction, Record, Site, Store};

/// Length of the answer of the plain service.
const ANSWER_BYTES: usize = 3_000_000;
/// What the client reads in a second.
const READ_BYTES_PER_S: usize = 420_000;
/// Clients that read at the same time.
const CLIENTS: usize = 3;
const PIECE: usize = 4_000;

fn config() -> json::Value {
    json::parse(
        r#"{"version":7,"routes":[{"name":"r-read","hostname":"ficu95.example","pathPrefix":"/cufi504/",
        "kind":"safe","timeoutMs":20000,"targetLatencyMs":400,"priority":2,"service":"akte","maxAttempts":2}],
        "services":[{"name":"akte","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":20000}}"#,
    )
    .expect("configuration")
}

/// Reads the answer to one request slowly; returns the bytes of its body. An answer that is no success,
/// or for which the client has waited too long, is not judged, as an error.
fn read_slowly(addr: SocketAddr, id: &str, record: &Record) -> std::io::Result<usize> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let req = format!(
        "GET /cufi504/fi50/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Poplarmux-Request-Id: {id}\r\nX-Poplarmux-Deadline-Ms: 20000\r\n\r\n"
    );
    stream.write_all(req.as_bytes())?;
    let mut reader = BufReader::with_capacity(PIECE, stream);
    let head = lib::read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    record.line(&format!("{id} head: {} length {:?}", head.first, head.header("content-length")));
    if head.status() != 200 {
        return Err(ErrorKind::Other.into());
    }
    let mut received = 0;
    let began = Instant::now();
    let mut piece = [0; PIECE];
    while received < ANSWER_BYTES {
        let len = match reader.read(&mut piece) {
            Ok(len) => len,
            Err(err) => {
                record.line(&format!("{id} error after {received} bytes: {err}"));
                let is_late = [ErrorKind::WouldBlock, ErrorKind::TimedOut].contains(&err.kind());
                return if is_late { Err(err) } else { Ok(received) };
            }
        };
        if len == 0 {
            break;
        }
        received += len;
        let due = Duration::from_secs_f64(received as f64 / READ_BYTES_PER_S as f64);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
    }
    Ok(received)
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
    let handle = move |call: &lib::Message, name: &str| {
        let id = call.header("x-poplarmux-request-id").unwrap_or("-").to_string();
        if id != "-" {
            runs.line(&format!("{name} runs {id}"));
        }
        lib::response(200, &lib::sealed(call), &vec![b'x'; ANSWER_BYTES])
    };
    let handle: Arc<lib::PlainHandler> = Arc::new(handle);
    let _engines: Vec<_> = [(201, "wien-a"), (202, "graz-a")]
        .into_iter()
        .map(|(last, zone)| {
            lib::plain(&store, &format!("i-{last}"), "akte", zone, site.addr(last, 0), handle.clone()).expect("engine")
        })
        .collect();
    let mut daemons: Vec<Daemon> = (1..=2).map(|number| site.daemon(number, store.addr)).collect();
    if !lib::wait_for(Duration::from_secs(20), || daemons.iter().all(Daemon::is_ready)) {
        record.line("daemons are not ready");
        return None;
    }
    std::thread::sleep(Duration::from_secs(2));
    let addr = daemons[0].front();
    let readers: Vec<_> = (1..=CLIENTS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || read_slowly(addr, &format!("slow-{number}"), &record).unwrap_or(ANSWER_BYTES))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    let began = Instant::now();
    if trouble {
        record.line(&format!("SIGTERM to {}", daemons[0].name));
        daemons[0].signal("TERM");
        lib::wait_for(Duration::from_secs(10), || !daemons[0].is_running());
        record.line(&format!("daemon has ended after {:.2} s", began.elapsed().as_secs_f64()));
    }
    let received: Vec<usize> = readers.into_iter().map(|reader| reader.join().unwrap_or(ANSWER_BYTES)).collect();
    let lost = received.iter().filter(|bytes| **bytes < ANSWER_BYTES).count();
    record.line(&format!("{lost} of {CLIENTS} answers were cut, received {received:?} of {ANSWER_BYTES} bytes"));
    record.line(if lost > 0 { "BROKEN: LOST" } else { "held" });
    Some(i32::from(lost > 0))
}
