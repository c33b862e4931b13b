//! The entry's interface to callers, and the start, shutdown and death of entries.

mod scene;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use http_types::Method;
use scene::Scene;
use scene::drafting;
use scene::plain;
use scene::wait_until;
use standin::engine::text::Ask;

/// Returns the addresses that an entry lists at `/v1/entries`.
fn listed(scene: &Scene, index: usize) -> Vec<std::net::SocketAddr> {
    let address = scene.entries[index].address;
    let list = smol::block_on(scene.caller.entries(address, "wien"));
    list.map_or_else(|_| Vec::new(), |list| list.entries.iter().map(|row| row.address).collect())
}

#[test]
fn refusals_have_status_and_code() {
    let mut scene = Scene::with_services(vec![drafting("m"), plain("bookings", false)]);
    let engine = scene.engine("m");
    let service = scene.site.service("bookings", "wien", "wien-1").expect("service");
    scene.entry("wien", "limits:\n  body: 2048\n");
    scene.wait_ready(&scene.entries[0], &[engine.addr(), service.addr()]);
    let chat = "/v1/chat/completions";
    let long = "x".repeat(4096);
    let cases = [
        (Method::Post, chat, "{", 400, "malformed_request"),
        (Method::Post, chat, r#"{"model":"m"}"#, 400, "malformed_request"),
        (Method::Post, chat, r#"{"model":"x","messages":[{"content":"a"}]}"#, 404, "unknown_model"),
        (
            Method::Post,
            chat,
            r#"{"model":"m:x","messages":[{"content":"a"}]}"#,
            404,
            "unknown_adapter",
        ),
        (Method::Post, chat, long.as_str(), 413, "body_too_large"),
        (Method::Get, chat, "", 405, "method_not_allowed"),
        (Method::Get, "/v2", "", 404, "not_found"),
        (Method::Post, "/v1/services/bookings/book", "{}", 400, "key_required"),
        (Method::Post, "/v1/services/none/book", "{}", 404, "unknown_service"),
    ];
    for (method, path, body, status, code) in cases {
        let address = scene.entries[0].address;
        let reply =
            smol::block_on(scene.caller.call(address, method, path, None, body)).expect(path);
        assert_eq!((reply.status, reply.code.as_deref()), (status, Some(code)), "{path} {body}");
    }
    assert_eq!(service.record().ran, 0);
}

#[test]
fn dead_entry_is_no_longer_listed() {
    // An entry is killed and cannot announce that it leaves. The others list it until its heartbeat
    // is too old, and then no more: no other entry raises its heartbeat, and the rows that peers
    // still send for it are not newer than the known ones.
    let mut scene = Scene::with_services(vec![drafting("m")]);
    scene.entry("wien", "");
    scene.entry("wien", "");
    scene.entry("tirol", "");
    wait_until("all three entries are listed", || listed(&scene, 0).len() == 3);
    let dead = scene.entries[1].address;
    scene.entries[1].child.kill().expect("kill");
    wait_until("the dead entry is not listed", || !listed(&scene, 0).contains(&dead));
    wait_until("the dead entry is not listed by the other entry", || {
        !listed(&scene, 2).contains(&dead)
    });
    assert_eq!(listed(&scene, 0).len(), 2);
}

#[test]
fn leaving_entry_finishes_its_stream() {
    // An entry receives a stop signal while a caller streams a long draft. Peers stop listing the
    // entry at once; it continues until the draft is complete and only then exits, with success.
    let mut scene = Scene::with_services(vec![drafting("m")]);
    let engine = scene.engine("m");
    scene.entry("wien", "locate_ttl_ms: 1000\n");
    scene.entry("wien", "");
    scene.wait_ready(&scene.entries[0], &[engine.addr()]);
    wait_until("both entries are listed", || listed(&scene, 1).len() == 2);
    let (address, caller) = (scene.entries[0].address, scene.caller.clone());
    let request = Ask::chat("m", "a long letter", 2000);
    let draft = {
        let request = request.clone();
        std::thread::spawn(move || smol::block_on(caller.draft(address, &request)))
    };
    wait_until("the engine runs the draft", || engine.load().0 == 1);
    scene.entries[0].signal("TERM");
    wait_until("the leaving entry is not listed", || !listed(&scene, 1).contains(&address));
    let reply = draft.join().expect("caller").expect("answer");
    assert!(reply.answers(&request), "truncated after {} tokens", reply.tokens);
    assert!(scene.entries[0].wait());
}

#[test]
fn rolling_replacement_truncates_no_stream() {
    // Callers keep requesting the list of entries and streaming drafts while the entries are
    // stopped and replaced one after the other. Every draft arrives complete: a leaving entry
    // serves callers that cached an older list until the time to live of that list is over.
    let mut scene = Scene::with_services(vec![drafting("m")]);
    let engine = scene.engine("m");
    let ttl = "locate_ttl_ms: 1000\n";
    for _ in 0..2 {
        scene.entry("wien", ttl);
    }
    for entry in &scene.entries {
        scene.wait_ready(entry, &[engine.addr()]);
    }
    wait_until("both entries are listed", || listed(&scene, 0).len() == 2);
    let first = scene.entries[0].address;
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let callers = (0..4).map(|number| {
        let (caller, stop) = (scene.caller.clone(), stop.clone());
        std::thread::spawn(move || keep_drafting(&caller, first, number, &stop))
    });
    let callers = callers.collect::<Vec<_>>();
    for replaced in 0..2 {
        scene.entry("wien", ttl);
        scene.wait_ready(scene.entries.last().expect("entry"), &[engine.addr()]);
        scene.entries[replaced].signal("TERM");
        assert!(scene.entries[replaced].wait());
    }
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    for caller in callers {
        let (drafts, faults) = caller.join().expect("caller");
        assert!(drafts > 0);
        assert_eq!(faults, Vec::<String>::new());
    }
}

/// Requests drafts until `stop` is set, and caches each answer of `/v1/entries` for its time to
/// live. Returns the number of drafts and the faults.
fn keep_drafting(
    caller: &standin::caller::Caller,
    first: std::net::SocketAddr,
    number: usize,
    stop: &std::sync::atomic::AtomicBool,
) -> (usize, Vec<String>) {
    let (mut drafts, mut faults) = (0, Vec::new());
    let mut addresses = vec![first];
    while !stop.load(std::sync::atomic::Ordering::Relaxed) {
        let requested_at = std::time::Instant::now();
        let list = addresses
            .iter()
            .find_map(|address| smol::block_on(caller.entries(*address, "wien")).ok());
        let Some(list) = list else {
            faults.push("no entry answered at /v1/entries".to_string());
            break;
        };
        addresses = list.entries.iter().map(|row| row.address).collect();
        while requested_at.elapsed() < Duration::from_millis(list.ttl_ms) {
            let request = Ask::chat("m", &format!("letter {number}-{drafts}"), 20);
            let reply = smol::block_on(caller.draft(addresses[number % addresses.len()], &request));
            drafts += 1;
            match reply {
                Ok(reply) if reply.answers(&request) => {}
                other => faults.push(format!("{other:?}")),
            }
        }
    }
    (drafts, faults)
}

#[test]
fn completions_continue_while_platform_is_down() {
    // Callers request drafts while the platform is down. All succeed: the entry uses the services
    // and endpoints that it already knows and does not call the platform while it serves a request.
    let mut scene = Scene::with_services(vec![drafting("m")]);
    let engine = scene.engine("m");
    scene.entry("wien", "");
    scene.wait_ready(&scene.entries[0], &[engine.addr()]);
    scene.site.platform.tell(standin::platform::Command::Down);
    for number in 0..20 {
        let request = Ask::chat("m", &format!("letter {number}"), 5);
        let address = scene.entries[0].address;
        let reply = smol::block_on(scene.caller.draft(address, &request)).expect("answer");
        assert!(reply.answers(&request), "{reply:?}");
    }
}

#[test]
fn stream_past_its_deadline_is_completed() {
    // A caller receives its first tokens in time, but the draft takes longer than its deadline. The
    // draft is completed, though late: a truncated answer would be worth less than a late one.
    let mut scene = Scene::with_services(vec![drafting("m")]);
    let engine = scene.engine("m");
    scene.entry("wien", "");
    scene.wait_ready(&scene.entries[0], &[engine.addr()]);
    scene.caller.deadline = Some(Duration::from_millis(1500));
    engine.tell(standin::engine::Command::Slow { ms: 100 });
    let request = Ask::chat("m", "a long letter", 20);
    let reply = smol::block_on(scene.caller.draft(scene.entries[0].address, &request));
    let reply = reply.expect("answer");
    assert!(reply.answers(&request), "{reply:?}");
    assert!(
        reply.took > Duration::from_millis(1500),
        "the draft ended before its deadline, so the test checks nothing"
    );
}

/// Sends the head of a request, and its body after `pause`; returns the answer.
fn send_slowly(addr: SocketAddr, head: &str, body: &str, pause: Duration) -> String {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    let len = body.len();
    let head = format!("{head}\r\nHost: h\r\nConnection: close\r\nContent-Length: {len}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("sent");
    std::thread::sleep(pause);
    stream.write_all(body.as_bytes()).expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

/// Guards against a request that runs after its caller's time, which a slow body has used up.
#[test]
fn request_whose_body_takes_longer_than_its_deadline_does_not_run() {
    let mut scene = Scene::with_services(vec![drafting("m"), plain("lookups", true)]);
    let engine = scene.engine("m");
    let service = scene.site.service("lookups", "wien", "wien-1").expect("service");
    scene.entry("wien", "");
    scene.wait_ready(&scene.entries[0], &[engine.addr(), service.addr()]);
    let address = scene.entries[0].address;
    let ran = || (engine.record().begun, service.record().ran);
    let letter = r#"{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":1}"#;
    let requests = [("/v1/chat/completions", letter), ("/v1/services/lookups/find", "{}")];
    for (path, body) in requests {
        let head = format!("POST {path} HTTP/1.1\r\nX-Deadline-Ms: 1500");
        let answer = send_slowly(address, &head, body, Duration::from_millis(2000));
        assert!(!answer.starts_with("HTTP/1.1 200"), "{path}: {answer}");
    }
    assert_eq!(ran(), (0, 0));
    for (path, body) in requests {
        let head = format!("POST {path} HTTP/1.1\r\nX-Deadline-Ms: 10000");
        let answer = send_slowly(address, &head, body, Duration::from_millis(100));
        assert!(answer.starts_with("HTTP/1.1 200"), "{path}: {answer}");
    }
    assert_eq!(ran(), (1, 1));
}
