//! Endpoints that send bytes without end: in heads, bodies, lines of streams, refusals and answers
//! to the placer.

mod request;
mod scene;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use http_types::Method;
use poplarmux::edge::endpoint::Action;
use poplarmux::edge::endpoint::Error;
use poplarmux::edge::endpoint::Order;
use poplarmux::edge::endpoint::Outcome;
use poplarmux::edge::endpoint::call::Client;
use poplarmux::edge::endpoint::call::Completion;
use poplarmux::edge::endpoint::call::Item;
use poplarmux::edge::endpoint::call::Plain;
use poplarmux::edge::endpoint::control;
use poplarmux::edge::endpoint::control::Control;
use poplarmux::edge::endpoint::control::Session;
use poplarmux::edge::http::Pool;
use poplarmux::edge::platform::Role;
use scene::Scene;
use scene::drafting;
use smol::future::FutureExt;
use standin::engine::text::Ask;
use standin::site;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit of the calls.
const LIMIT: Duration = Duration::from_millis(800);
/// Time that a call may take beyond its limit, besides that for which the machine stalled.
const SLACK: Duration = Duration::from_millis(700);
/// Time in which an endpoint notices that its connection is closed; far below that for which it
/// sends otherwise.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval in which stalls of the machine are measured.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);
const MAX_BODY_BYTES: usize = 1 << 20;
/// Bytes that a call may read of an endless answer: the largest body, what the sockets buffer, and
/// what is read at once.
const MAX_READ_BYTES: usize = 16 << 20;

/// What an endpoint has sent without end.
#[derive(Debug, Default)]
struct Sent {
    bytes: AtomicUsize,
    /// Connections on which it still sends.
    senders: AtomicUsize,
}

/// How fast an endpoint sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pace {
    /// As fast as it is read.
    Fast,
    /// A few bytes in each 10 ms.
    Slow,
}

/// What an endpoint sends: a beginning, then one piece again and again.
#[derive(Debug, Clone)]
struct Endless {
    name: &'static str,
    beginning: String,
    piece: String,
}

fn endless(name: &'static str, beginning: &str, piece: &str) -> Endless {
    Endless { name, beginning: beginning.to_string(), piece: piece.to_string() }
}

/// Heads without end.
fn heads() -> Vec<Endless> {
    let ok = "HTTP/1.1 200 OK\r\n";
    vec![
        endless("many lines", ok, "X-Padding: 0123456789\r\n"),
        endless("one line", &format!("{ok}X-Padding: "), "0123456789"),
        endless("status line", "HTTP/1.1 200 ", "0123456789"),
        endless("informational heads", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        endless("empty lines", "", "\r\n"),
        endless("no head", "", "0123456789"),
    ]
}

/// Bodies without end; `status` begins the head.
fn bodies(status: &str, piece: &str) -> Vec<Endless> {
    let head = format!("HTTP/1.1 {status}\r\nX-Attempt: NAME\r\n");
    let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
    let with = |rest: &str| format!("{head}{rest}");
    vec![
        endless("length", &with("Content-Length: 1000000000000\r\n\r\n"), piece),
        endless("chunks", &with("Transfer-Encoding: chunked\r\n\r\n"), &chunk),
        endless("one chunk", &with("Transfer-Encoding: chunked\r\n\r\nffffffffffff\r\n"), piece),
        endless(
            "extensions of chunks",
            &with("Transfer-Encoding: chunked\r\n\r\n"),
            &format!("1;{}\r\n\n\r\n", "0123456789".repeat(20)),
        ),
        endless("size of a chunk", &with("Transfer-Encoding: chunked\r\n\r\n"), "0"),
        endless("trailers", &with("Transfer-Encoding: chunked\r\n\r\n0\r\n"), "X-Padding: 0\r\n"),
        endless("no framing", &with("\r\n"), piece),
    ]
}

/// Starts an endpoint that sends `answers` in turn, one for each request, of which the last may be
/// without end. Returns its address and the number of bytes that it could send.
fn serve(answers: Vec<Endless>, pace: Pace) -> (SocketAddr, Arc<Sent>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let addr = listener.local_addr().expect("an address");
    let sent = Arc::<Sent>::default();
    let counter = sent.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let (answers, counter) = (answers.clone(), counter.clone());
            thread::spawn(move || {
                for answer in &answers {
                    let Some(request) = request::read(&mut stream) else {
                        return;
                    };
                    let beginning = answer.beginning.replace("NAME", request.attempt());
                    let piece = answer.piece.replace("NAME", request.attempt());
                    if send(&mut stream, &beginning, &piece, pace, &counter).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (addr, sent)
}

fn send(
    stream: &mut TcpStream,
    beginning: &str,
    piece: &str,
    pace: Pace,
    sent: &Sent,
) -> std::io::Result<()> {
    stream.write_all(beginning.as_bytes())?;
    if piece.is_empty() {
        return Ok(());
    }
    let block = piece.repeat(if pace == Pace::Fast { 4096 } else { 1 });
    sent.senders.fetch_add(1, Ordering::Relaxed);
    // Ends also if its reader keeps the connection open.
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(20) && stream.write_all(block.as_bytes()).is_ok() {
        sent.bytes.fetch_add(block.len(), Ordering::Relaxed);
        if pace == Pace::Slow {
            thread::sleep(Duration::from_millis(10));
        }
    }
    sent.senders.fetch_sub(1, Ordering::Relaxed);
    Err(std::io::ErrorKind::ConnectionAborted.into())
}

/// Returns for how long the machine has let a thread of this process wait beyond what it slept, up
/// to now.
fn stalled() -> Duration {
    static STALLED: OnceLock<Arc<AtomicU64>> = OnceLock::new();
    let total = STALLED.get_or_init(|| {
        let total = Arc::new(AtomicU64::new(0));
        let shared = total.clone();
        thread::spawn(move || {
            loop {
                let start = Instant::now();
                thread::sleep(STALL_CHECK_INTERVAL);
                let stall = start.elapsed() - STALL_CHECK_INTERVAL;
                shared.fetch_add(stall.as_micros() as u64, Ordering::Relaxed);
            }
        });
        total
    });
    Duration::from_micros(total.load(Ordering::Relaxed))
}

/// Checks that the endpoint stops sending, as its connection is closed, and how much it sent.
fn check_closed(seen: &str, sent: &Sent) {
    let start = Instant::now();
    while sent.senders.load(Ordering::Relaxed) > 0 {
        assert!(start.elapsed() < CLOSE_TIMEOUT, "{seen}: the connection was not closed");
        thread::sleep(Duration::from_millis(1));
    }
    let read = sent.bytes.load(Ordering::Relaxed);
    assert!(read < MAX_READ_BYTES, "{seen}: {read} bytes were read");
}

/// Runs a call while another task of the same executor counts the time, and checks what the call
/// took: time, bytes, and the time in which nothing else ran.
fn check<T>(seen: &str, sent: &Sent, call: impl Future<Output = T>) -> T {
    let mut longest_pause = Duration::ZERO;
    let (start, stalled_before) = (Instant::now(), stalled());
    let result = smol::block_on(async {
        let others = async {
            loop {
                let before = Instant::now();
                smol::Timer::after(Duration::from_millis(5)).await;
                longest_pause = longest_pause.max(before.elapsed());
            }
        };
        call.or(others).await
    });
    let elapsed = start.elapsed();
    let slack = SLACK + (stalled() - stalled_before);
    assert!(elapsed < LIMIT + slack, "{seen}: took {elapsed:?}, slack {slack:?}");
    assert!(longest_pause < slack, "{seen}: nothing else ran for {longest_pause:?}");
    check_closed(seen, sent);
    result
}

fn client() -> Client {
    Client::new(Pool::new(CONNECT_TIMEOUT, CONNECT_TIMEOUT))
}

/// Guards against plain answers without end that take memory or time without bound, or keep other
/// calls waiting.
#[test]
fn plain_answer_without_end_is_given_up() {
    let answers = [heads(), bodies("200 OK", "0123456789"), bodies("503 Refused", "0123456789")];
    let refusal = "503 Refused\r\nX-Outcome: not_run";
    let answers = answers.into_iter().flatten().chain(bodies(refusal, "0123456789"));
    for answer in answers {
        for pace in [Pace::Fast, Pace::Slow] {
            let seen = format!("{} {pace:?}", answer.name);
            let (addr, sent) = serve(vec![answer.clone()], pace);
            let client = client();
            let call = Plain {
                method: Method::Post,
                path: "/bookings".to_string(),
                headers: Vec::new(),
                body: b"book".to_vec(),
                attempt: "a1".to_string(),
                repeatable: true,
            };
            let result = check(&seen, &sent, client.plain(addr, &call, MAX_BODY_BYTES, LIMIT));
            let (err, _) = result.expect_err(&seen);
            let is_refusal = answer.beginning.contains("X-Outcome: not_run");
            let expected = if is_refusal { Outcome::NotRun } else { Outcome::Unknown };
            assert_eq!(err.outcome(), expected, "{seen}: {err:?}");
        }
    }
}

/// Guards against streams without end that give no tokens, or one without bound.
#[test]
fn stream_without_end_is_given_up() {
    let part = |attempt: &str, index: u64| {
        format!(
            "data: {{\"attempt\":\"{attempt}\",\"index\":{index},\"text\":\"t\",\"done\":false}}\n\n"
        )
    };
    let pieces = [
        ("one line", "0123456789".to_string()),
        ("one part", "data: {\"attempt\":\"".to_string()),
        ("comments", ": ping\n\n".to_string()),
        ("empty lines", "\n".to_string()),
        ("parts of another attempt", part("other", 0)),
        ("earlier parts", part("NAME", 3)),
    ];
    let mut answers = heads().into_iter().map(|answer| ("head", answer)).collect::<Vec<_>>();
    for (name, piece) in &pieces {
        answers.extend(bodies("200 OK", piece).into_iter().map(|answer| (*name, answer)));
    }
    for (name, answer) in answers {
        for pace in [Pace::Fast, Pace::Slow] {
            let seen = format!("{name}, {} {pace:?}", answer.name);
            let (addr, sent) = serve(vec![answer.clone()], pace);
            let client = client();
            let call = Completion {
                path: "/v1/completions".to_string(),
                body: serde_json::json!({}),
                attempt: "a1".to_string(),
                priority: 0,
                remaining: LIMIT,
                first_token: 5,
            };
            // The limit holds for the head and for each token.
            let half = LIMIT / 2;
            let result = check(&seen, &sent, async {
                let (mut stream, _) =
                    client.stream(addr, &call, half).await.map_err(|(err, _)| err)?;
                while stream.next(half).await? != Item::End {}
                Ok::<_, Error>(())
            });
            let err = result.expect_err(&seen);
            assert_eq!(err.outcome(), Outcome::Unknown, "{seen}: {err:?}");
        }
    }
}

/// Guards against reports, answers to orders and answers to cancellations without end.
#[test]
fn control_answer_without_end_is_given_up() {
    let report = "{\"incarnation\":1,\"sequence\":1,\"accelerators\":[],\"resident\":[],\
                  \"applied\":[],\"running\":0,\"waiting\":0,\"draining\":false}";
    let head = "HTTP/1.1 200 OK\r\nX-Attempt: NAME\r\n";
    let beginning = format!("{head}Content-Length: {}\r\n\r\n{report}", report.len());
    let report = Endless { name: "report", beginning, piece: String::new() };
    let order = Order {
        order: 1,
        fence: 1,
        action: Action::Load,
        model: "m".to_string(),
        version: 1,
        adapter: None,
        accelerator: 0,
        memory: 1,
    };
    // The placer's limit is longer than that of the calls here.
    let limit = control::TIMEOUT;
    let mut checks = Vec::new();
    for answer in heads().into_iter().chain(bodies("409 Conflict", " ")) {
        for pace in [Pace::Fast, Pace::Slow] {
            let (answer, report, order) = (answer.clone(), report.clone(), order.clone());
            checks.push(thread::spawn(move || {
                let seen = format!("{} {pace:?}", answer.name);
                let (addr, sent) = serve(vec![report, answer.clone()], pace);
                let (start, stalled_before) = (Instant::now(), stalled());
                let ordered = smol::block_on(async {
                    let (_, mut session) = control::Client.bind(addr).await.expect("a report");
                    session.order(&order).await
                });
                let err = ordered.expect_err(&seen);
                assert_eq!(err.outcome(), Outcome::Unknown, "{seen}: {err:?}");
                check_end(&seen, start.elapsed(), limit + (stalled() - stalled_before), &sent);

                let (addr, sent) = serve(vec![answer.clone()], pace);
                let (start, stalled_before) = (Instant::now(), stalled());
                assert!(smol::block_on(control::Client.bind(addr)).is_err(), "{seen}");
                check_end(&seen, start.elapsed(), limit + (stalled() - stalled_before), &sent);

                let (addr, sent) = serve(vec![answer], pace);
                let (start, stalled_before) = (Instant::now(), stalled());
                smol::block_on(client().cancel(addr, "a1", LIMIT));
                check_end(&seen, start.elapsed(), LIMIT + (stalled() - stalled_before), &sent);
            }));
        }
    }
    for check in checks {
        check.join().expect("a check");
    }
}

fn check_end(seen: &str, elapsed: Duration, limit: Duration, sent: &Sent) {
    assert!(elapsed < limit + SLACK, "{seen}: took {elapsed:?}");
    check_closed(seen, sent);
}

/// Starts an engine with the model `endless`, which sends comments without end to prompts with that
/// word, and tokens without end to others.
fn engine() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            thread::spawn(move || while answer(&mut stream).is_some() {});
        }
    });
    addr
}

/// Answers one request; returns none if the connection was closed.
fn answer(stream: &mut TcpStream) -> Option<()> {
    static SEQUENCE: AtomicUsize = AtomicUsize::new(1);
    let request = request::read(stream)?;
    let head = format!("HTTP/1.1 200 OK\r\nX-Attempt: {}\r\n", request.attempt());
    if request.path != "/v1/chat/completions" {
        let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
        let report = format!(
            "{{\"incarnation\":1,\"sequence\":{sequence},\
             \"accelerators\":[{{\"capacity\":4000000,\"used\":1048576}}],\
             \"resident\":[{{\"model\":\"endless\",\"version\":1,\"accelerator\":0,\
             \"memory\":1048576,\"stage\":\"resident\"}}],\
             \"applied\":[],\"running\":0,\"waiting\":0,\"draining\":false}}"
        );
        let len = report.len();
        let answer = format!("{head}Content-Length: {len}\r\n\r\n{report}");
        return stream.write_all(answer.as_bytes()).ok();
    }
    let head = format!("{head}Content-Length: 1000000000000\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    let start = Instant::now();
    let mut index = 0_u64;
    while start.elapsed() < Duration::from_secs(20) {
        let mut block = String::new();
        for _ in 0..64 {
            if request.body.contains("comments") {
                block.push_str(": ping\n\n");
            } else {
                let (name, text) = (request.attempt(), "0123456789".repeat(50));
                block.push_str(&format!(
                    "data: {{\"attempt\":\"{name}\",\"index\":{index},\"text\":\"{text}\",\
                     \"done\":false}}\n\n"
                ));
                index += 1;
            }
        }
        stream.write_all(block.as_bytes()).ok()?;
    }
    None
}

/// Guards against an entry that runs out of memory, or serves no other callers, while engines send
/// without end.
#[test]
fn entry_serves_others_while_an_engine_sends_without_end() {
    let mut scene = Scene::with_services(vec![drafting("endless"), drafting("m")]);
    let addr = engine();
    scene.site.platform.put_instance(site::instance(addr, ("wien", "wien-1"), Role::Engine));
    let other = scene.engine("m");
    scene.entry("wien", "");
    scene.wait_ready(&scene.entries[0], &[addr, other.addr()]);
    let entry = &scene.entries[0];
    let mut drafts = Vec::new();
    for prompt in ["comments", "tokens"] {
        for stream in [false, true] {
            for max_tokens in [None, Some(5)] {
                let ask = Ask { max_tokens, stream, ..Ask::chat("endless", prompt, 5) };
                let (caller, at) = (scene.caller.clone(), entry.address);
                let draft = thread::spawn(move || smol::block_on(caller.draft(at, &ask)));
                drafts.push((prompt, max_tokens, draft));
            }
        }
    }
    let mut most_memory = 0;
    let start = Instant::now();
    let mut served = 0;
    while start.elapsed() < Duration::from_secs(4) {
        let ask = Ask::chat("m", &format!("letter {served}"), 5);
        let stalled_before = stalled();
        let reply = smol::block_on(scene.caller.draft(entry.address, &ask)).expect("an answer");
        assert!(reply.answers(&ask), "{reply:?}");
        let slack = stalled() - stalled_before;
        assert!(reply.took < Duration::from_secs(2) + slack, "{reply:?}");
        served += 1;
        most_memory = most_memory.max(entry.resident());
        thread::sleep(Duration::from_millis(20));
    }
    assert!(most_memory < 256 << 20, "{most_memory} bytes of memory");
    for (prompt, max_tokens, draft) in drafts {
        let reply = draft.join().expect("a caller").expect("an answer");
        let seen = format!("{prompt} {max_tokens:?}: status {}, {:?}", reply.status, reply.code);
        assert!(reply.status != 200 || reply.code.is_some(), "{seen}");
        assert_ne!(reply.outcome, Some(Outcome::NotRun), "{seen}");
        let limit = max_tokens.unwrap_or(u64::MAX);
        assert!(reply.tokens <= limit, "{seen}: {} tokens", reply.tokens);
        assert!(reply.took < Duration::from_secs(15), "{seen}: took {:?}", reply.took);
    }
}
