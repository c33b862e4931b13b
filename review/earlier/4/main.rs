//! Another writer has entries of kind `servers` whose names have spaces, over more than one page of
//! the list, when the system starts.

#[path = "../../standin/lib.rs"]
#[allow(dead_code)]
mod lib;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lib::json;
use lib::{Daemon, GateAction, Record, Site, Store};

/// Entries of the other writer: more than the 500 of a page.
const ENTRIES: usize = 600;
/// Time from the start of the machines until traffic starts.
const LEAD: Duration = Duration::from_secs(10);
/// Time for which requests are sent.
const SPAN: Duration = Duration::from_secs(20);

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

fn send(addr: SocketAddr, id: &str) -> String {
    let req = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Poplarmux-Request-Id: {id}\r\n\
        X-Poplarmux-Deadline-Ms: 2500\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
    );
    match lib::exchange(addr, req.as_bytes(), Duration::from_secs(3)) {
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
    let record = Record::new(std::path::Path::new(&std::env::args().nth(1)?));
    let site = Site::new();
    let gate: Arc<lib::Gate> = Arc::new(|_: &lib::Message, _| GateAction::Serve);
    let store = Store::start(site.addr(200, 0), gate).ok()?;
    store.put("config", "main", config());
    // Without the trouble the names have hyphens; all else is the same.
    let space = if trouble { " " } else { "-" };
    for number in 1..=ENTRIES {
        let entry = json::parse(r#"{"service":"archiv","state":"idle","host":"archiv.example"}"#)?;
        store.put("servers", &format!("archiv{space}worker{space}{number:03}"), entry);
    }
    record.line(&format!("{ENTRIES} entries of another writer, such as archiv{space}worker{space}500"));
    let handle: Arc<lib::PlainHandler> = Arc::new(|call: &lib::Message, _: &str| {
        std::thread::sleep(Duration::from_millis(30));
        lib::response(200, &lib::sealed(call), &[b'x'; 800])
    });
    let engines: Vec<lib::Plain> = [(201, "wien-a"), (202, "graz-a"), (203, "ibk-a")]
        .into_iter()
        .filter_map(|(last, zone)| {
            lib::plain(&store, &format!("i-{last}"), "akte", zone, site.addr(last, 0), handle.clone()).ok()
        })
        .collect();
    let daemons: Vec<Daemon> = (1..=3).map(|number| site.daemon(number, store.addr)).collect();
    record.line(&format!("{} engines and {} daemons started", engines.len(), daemons.len()));
    std::thread::sleep(LEAD);
    let began = std::time::Instant::now();
    let (mut sent, mut served) = (0, 0);
    while began.elapsed() < SPAN {
        let id = format!("{:x}", 0x9c41_0000_u32 + sent);
        let addr = daemons[sent as usize % 3].front();
        let answer = send(addr, &id);
        served += u32::from(answer == "200");
        sent += 1;
        record.line(&format!("{id} at {addr} answered {answer}"));
        std::thread::sleep(Duration::from_millis(100));
    }
    let ready = daemons.iter().filter(|daemon| daemon.is_ready()).count();
    record.line(&format!("{ready} of 3 daemons ready, {served} of {sent} requests served"));
    record.line(if served == 0 { "BROKEN: Fault" } else { "held" });
    Some(i32::from(served == 0))
}
