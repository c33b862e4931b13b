//! A request that crashes each engine which begins to run it comes again every few seconds, from a
//! client that repeats at once.

#[path = "../../standin/lib.rs"]
#[allow(dead_code)]
mod lib;

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lib::json;
use lib::{Daemon, GateAction, Record, Site, Store};

/// Copies that the client sends at once: the request and three more.
const COPIES: usize = 4;
/// Time between two rounds: over `contactMs`.
const ROUND: Duration = Duration::from_millis(6_000);
const ROUNDS: u64 = 4;
/// Time from the arrival of the request until the engine has begun to run it, and crashes.
const BEGIN: Duration = Duration::from_millis(80);
/// Time for which a crashed engine is down.
const DOWN: Duration = Duration::from_millis(3_000);
/// `contactMs` of the settings.
const CONTACT: f64 = 4.0;
const DEADLY: &[u8] = b"deadly";

/// Exit status of a case that could not run.
const NOT_RUN: i32 = 2;

fn config() -> json::Value {
    json::parse(
        r#"{"version":7,"routes":[{"name":"r-file","hostname":"ficu95.example","pathPrefix":"/puxa403/",
        "kind":"unsafe","timeoutMs":2500,"targetLatencyMs":400,"priority":2,"service":"akte","maxAttempts":1}],
        "services":[{"name":"akte","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":20000}}"#,
    )
    .expect("configuration")
}

/// What the engines have seen.
#[derive(Default)]
struct Seen {
    /// When deadly requests arrived.
    arrivals: Vec<f64>,
    crashes: Vec<f64>,
}

/// Runs one engine: each time it crashes, it starts again at its address under another id.
fn run_engine(store: Store, number: u8, zone: String, addr: SocketAddr, seen: Arc<Mutex<Seen>>, record: Record) {
    for start in 1.. {
        let Ok(listener) = TcpListener::bind(addr) else {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        listener.set_nonblocking(true).expect("a listener");
        let (id, born) = (format!("i-{number}-{start}"), lib::unix_millis());
        let has_crashed = Arc::new(AtomicBool::new(false));
        let beating = has_crashed.clone();
        let (name, at, beats, place) = (id.clone(), addr, store.clone(), zone.clone());
        std::thread::spawn(move || {
            for seq in 1.. {
                if beating.load(Ordering::SeqCst) {
                    break;
                }
                let text = format!(
                    r#"{{"service":"akte","address":"{at}","zone":"{place}","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"born":{born},"seq":{seq}}}"#
                );
                beats.put("servers", &name, json::parse(&text).expect("an entry"));
                std::thread::sleep(Duration::from_millis(1_200));
            }
            // The entry is removed after three heartbeat intervals of silence.
            std::thread::sleep(Duration::from_millis(2_400));
            beats.remove("servers", &name);
        });
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        while !has_crashed.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
            open.lock().unwrap().push(stream.try_clone().expect("a stream"));
            let (id, seen, record, has_crashed) = (id.clone(), seen.clone(), record.clone(), has_crashed.clone());
            std::thread::spawn(move || serve(stream, &id, &seen, &record, &has_crashed));
        }
        drop(listener);
        for stream in open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        std::thread::sleep(DOWN);
    }
}

fn serve(mut stream: TcpStream, id: &str, seen: &Mutex<Seen>, record: &Record, has_crashed: &AtomicBool) {
    let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
    while let Ok(Some(call)) = lib::read_message(&mut reader) {
        let request = call.header("x-poplarmux-request-id").unwrap_or("-").to_string();
        if call.header("x-poplarmux-expect-instance").is_some_and(|expected| expected != id) {
            let headers = [("X-Poplarmux-Instance-Id", id.to_string()), ("X-Poplarmux-Request-Id", request)];
            let _ = stream.write_all(&lib::response(421, &headers, b""));
            continue;
        }
        if call.body.starts_with(DEADLY) {
            seen.lock().unwrap().arrivals.push(record.seconds());
            record.line(&format!("{id} gets the deadly request as {request}"));
            std::thread::sleep(BEGIN);
            if !has_crashed.swap(true, Ordering::SeqCst) {
                seen.lock().unwrap().crashes.push(record.seconds());
                record.line(&format!("{id} crashes"));
            }
            return;
        }
        std::thread::sleep(Duration::from_millis(40));
        let answer = lib::response(200, &lib::sealed(&call), &[b'x'; 800]);
        if has_crashed.load(Ordering::SeqCst) || stream.write_all(&answer).is_err() {
            return;
        }
    }
}

fn send(addr: SocketAddr, id: &str, body: &[u8]) -> String {
    let mut req = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Poplarmux-Request-Id: {id}\r\n\
        X-Poplarmux-Deadline-Ms: 2500\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    req.extend_from_slice(body);
    match lib::exchange(addr, &req, Duration::from_secs(3)) {
        Ok(res) => res.status().to_string(),
        Err(err) => format!("no answer ({:?})", err.kind()),
    }
}

fn main() {
    std::process::exit(run().unwrap_or(NOT_RUN));
}

/// Returns 1 if the rule was broken, 0 if it held, and nothing if the case could not run.
fn run() -> Option<i32> {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let copies = if trouble { COPIES } else { 1 };
    let record = Record::new(std::path::Path::new(&std::env::args().nth(1)?));
    let site = Site::new();
    let gate: Arc<lib::Gate> = Arc::new(|_: &lib::Message, _| GateAction::Serve);
    let store = Store::start(site.addr(200, 0), gate).ok()?;
    store.put("config", "main", config());
    let seen: Arc<Mutex<Seen>> = Arc::default();
    for number in 0..9 {
        let zone = ["wien-a", "graz-a", "ibk-a"][usize::from(number) % 3].to_string();
        let (store, addr) = (store.clone(), site.addr(201 + number, 8_500));
        let (seen, record) = (seen.clone(), record.clone());
        std::thread::spawn(move || run_engine(store, number, zone, addr, seen, record));
    }
    let daemons: Vec<Daemon> = (1..=3).map(|number| site.daemon(number, store.addr)).collect();
    if !lib::wait_for(Duration::from_secs(20), || daemons.iter().all(Daemon::is_ready)) {
        record.line("daemons are not ready");
        return None;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let (number, cut) = (Arc::new(AtomicU64::new(1)), Arc::new(AtomicU64::new(0)));
    let others: Vec<_> = (0..9_usize)
        .map(|client| {
            let (stop, number, cut) = (stop.clone(), number.clone(), cut.clone());
            let addr = daemons[client % 3].front();
            std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(60));
                    let id = format!("{:x}", 0x9c41_0000 + number.fetch_add(1, Ordering::SeqCst));
                    let answer = send(addr, &id, id.as_bytes());
                    cut.fetch_add(u64::from(answer != "200" && answer != "503"), Ordering::SeqCst);
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(6));
    for round in 0..ROUNDS {
        let sends: Vec<_> = (0..copies)
            .map(|copy| {
                let record = record.clone();
                let addr = daemons[(copy + round as usize) % 3].front();
                let id = format!("{:x}", 0xdead_0000 + round * 16 + copy as u64);
                std::thread::spawn(move || {
                    let answer = send(addr, &id, DEADLY);
                    record.line(&format!("the deadly request as {id} at {addr} answered {answer}"));
                })
            })
            .collect();
        for send in sends {
            let _ = send.join();
        }
        std::thread::sleep(ROUND);
    }
    stop.store(true, Ordering::SeqCst);
    for other in others {
        let _ = other.join();
    }
    let seen = seen.lock().unwrap();
    let third = seen.crashes.get(2).copied().unwrap_or(f64::INFINITY);
    let late = seen.arrivals.iter().filter(|at| **at > third + CONTACT).count();
    record.line(&format!(
        "{} crashes, the third at {third:.3}; {late} retries reached engines later than contactMs after it; \
        {} other requests failed",
        seen.crashes.len(),
        cut.load(Ordering::SeqCst)
    ));
    record.line(if late > 3 { "BROKEN: BUDGET" } else { "held" });
    Some(i32::from(late > 3))
}
