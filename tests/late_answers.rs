//! Answers of earlier requests that endpoints send once more on a connection that is kept, when the
//! next request has arrived on it.

mod request;
mod scene;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use http_types::Method;
use poplarmux::edge::endpoint::Action;
use poplarmux::edge::endpoint::Error;
use poplarmux::edge::endpoint::Order;
use poplarmux::edge::endpoint::Outcome;
use poplarmux::edge::endpoint::call::Client;
use poplarmux::edge::endpoint::call::Completion;
use poplarmux::edge::endpoint::call::Item;
use poplarmux::edge::endpoint::call::Plain;
use poplarmux::edge::endpoint::call::Status;
use poplarmux::edge::endpoint::control;
use poplarmux::edge::endpoint::control::Control;
use poplarmux::edge::endpoint::control::Session;
use poplarmux::edge::http::Pool;
use poplarmux::edge::platform::Instance;
use poplarmux::edge::platform::Role;
use request::Request;
use scene::Scene;
use scene::drafting;
use scene::plain;
use standin::engine::text::Ask;
use standin::site;

const TIMEOUT: Duration = Duration::from_secs(2);
const MAX_BODY_BYTES: usize = 1 << 20;
const CALLS: usize = 4;

/// Which attempt the copy of an answer names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Named {
    /// The one that it answered.
    First,
    /// None.
    Nothing,
    /// The one that it answered and the one that waits.
    Both,
}

/// When the bytes of the copies are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pace {
    /// All at once, when the next request has arrived.
    Whole,
    /// In pieces with pauses, when the next request has arrived.
    Pieces,
    /// A piece together with the answer, the rest when the next request has arrived.
    Ahead,
}

/// Which answer is sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Copied {
    /// The one before on the connection.
    Previous,
    /// The last refusal, whichever connection it was sent on.
    Refusal,
}

#[derive(Debug, Clone, Copy)]
struct Late {
    copied: Copied,
    copies: usize,
    named: Named,
    pace: Pace,
}

/// All kinds of copies.
fn all_kinds(copied: Copied) -> Vec<Late> {
    let mut kinds = Vec::new();
    for copies in [1, 3] {
        for named in [Named::First, Named::Nothing, Named::Both] {
            for pace in [Pace::Whole, Pace::Pieces, Pace::Ahead] {
                kinds.push(Late { copied, copies, named, pace });
            }
        }
    }
    kinds
}

/// An answer of the endpoint, without its name.
#[derive(Debug, Clone)]
struct Answer {
    head: String,
    body: String,
}

impl Answer {
    fn new(head: &str, body: &str) -> Answer {
        Answer { head: head.to_string(), body: body.to_string() }
    }

    fn bytes(&self, names: &[&str]) -> Vec<u8> {
        let names = names.iter().map(|name| format!("X-Attempt: {name}\r\n")).collect::<String>();
        let (head, body) = (&self.head, &self.body);
        format!("HTTP/1.1 {head}\r\n{names}Content-Length: {}\r\n\r\n{body}", body.len())
            .into_bytes()
    }
}

/// Starts an endpoint that answers each request, and sends an earlier answer once more when the next
/// request has arrived.
fn endpoint(
    late: Late,
    answer: impl Fn(&Request) -> Answer + Clone + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let addr = listener.local_addr().expect("an address");
    let refusals = Refusals::default();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, answer) = (stream.expect("a connection"), answer.clone());
            let refusals = refusals.clone();
            thread::spawn(move || serve(stream, late, &refusals, answer));
        }
    });
    addr
}

/// The last refusal of an endpoint, with the name of its request.
type Refusals = Arc<Mutex<Option<(Answer, String)>>>;

fn serve(
    mut stream: TcpStream,
    late: Late,
    refusals: &Refusals,
    answer: impl Fn(&Request) -> Answer,
) {
    let _ = stream.set_nodelay(true);
    let mut previous: Option<(Answer, String)> = None;
    let mut piece_sent = false;
    while let Some(request) = request::read(&mut stream) {
        let own_name = request.attempt().to_string();
        let copied = match late.copied {
            Copied::Previous => previous.clone(),
            Copied::Refusal => refusals.lock().expect("refusals").clone(),
        };
        if let Some((copied, name)) = &copied {
            let names = match late.named {
                Named::First => vec![name.as_str()],
                Named::Nothing => Vec::new(),
                Named::Both => vec![name.as_str(), own_name.as_str()],
            };
            let names = names.into_iter().filter(|name| !name.is_empty()).collect::<Vec<_>>();
            let mut bytes = copied.bytes(&names).repeat(late.copies);
            if piece_sent {
                bytes.drain(..10);
            }
            if send(&mut stream, &bytes, late.pace).is_err() {
                return;
            }
        }
        let next = answer(&request);
        let names = if own_name.is_empty() { vec![] } else { vec![own_name.as_str()] };
        let mut bytes = next.bytes(&names);
        if late.pace == Pace::Ahead {
            bytes.extend(&next.bytes(&[])[..10]);
            piece_sent = true;
        }
        if next.head.contains("X-Outcome: not_run") {
            *refusals.lock().expect("refusals") = Some((next.clone(), own_name.clone()));
        }
        if stream.write_all(&bytes).is_err() {
            return;
        }
        previous = Some((next, own_name));
    }
}

fn send(stream: &mut TcpStream, bytes: &[u8], pace: Pace) -> std::io::Result<()> {
    if pace != Pace::Pieces {
        return stream.write_all(bytes);
    }
    for piece in bytes.chunks(bytes.len() / 3 + 1) {
        stream.write_all(piece)?;
        thread::sleep(Duration::from_millis(3));
    }
    Ok(())
}

/// An answer which states that the request did not run.
fn refusal(status: u16) -> Answer {
    let head = format!(
        "{status} Refused\r\nX-Outcome: not_run\r\nRetry-After: 600\r\nX-Load: 99/99\r\n\
         X-Presence: leaving"
    );
    Answer::new(&head, "{\"error\":{\"code\":\"leaving\"}}")
}

/// Refuses requests whose path is `/refuse/STATUS`, runs the others, and names in the body which.
fn run(request: &Request) -> Answer {
    if let Some(status) = request.path.strip_prefix("/refuse/") {
        return refusal(status.parse().expect("a status"));
    }
    let body = format!("ran {}", request.attempt());
    Answer::new("200 OK\r\nX-Load: 1/0", &body)
}

fn client() -> Client {
    Client::new(Pool::new(TIMEOUT, TIMEOUT))
}

fn call(path: &str, attempt: &str) -> Plain {
    Plain {
        method: Method::Post,
        path: path.to_string(),
        headers: Vec::new(),
        body: b"book".to_vec(),
        attempt: attempt.to_string(),
        repeatable: true,
    }
}

/// Whether the true answer must be found behind the copies, as these name another attempt, or on a
/// connection of its own.
fn must_succeed(late: Late) -> bool {
    let is_closed = late.copied == Copied::Previous && late.pace == Pace::Ahead;
    late.named == Named::First || is_closed
}

/// Guards against the copy of an earlier refusal that is taken for the refusal of a call that ran.
#[test]
fn late_refusal_is_not_taken_for_that_of_the_next_call() {
    for late in all_kinds(Copied::Refusal) {
        for status in [503, 429, 421, 408, 404] {
            let addr = endpoint(late, run);
            let client = client();
            smol::block_on(async {
                let refused = call(&format!("/refuse/{status}"), "a0");
                let answer = client.plain(addr, &refused, MAX_BODY_BYTES, TIMEOUT).await;
                let (err, _) = answer.expect_err("a refusal");
                assert_eq!(err.outcome(), Outcome::NotRun, "{late:?} {status}: {err:?}");
                for index in 1..=CALLS {
                    let name = format!("a{index}");
                    let answer =
                        client.plain(addr, &call("/run", &name), MAX_BODY_BYTES, TIMEOUT).await;
                    check_plain(late, &name, answer);
                }
            });
        }
    }
}

/// Guards against the copy of an earlier success that is taken for that of a call that was refused,
/// or for its content.
#[test]
fn late_success_is_not_taken_for_that_of_the_next_call() {
    for late in all_kinds(Copied::Previous) {
        let addr = endpoint(late, run);
        let client = client();
        smol::block_on(async {
            for index in 0..=CALLS {
                let name = format!("a{index}");
                let answer =
                    client.plain(addr, &call("/run", &name), MAX_BODY_BYTES, TIMEOUT).await;
                check_plain(late, &name, answer);
            }
            let answer =
                client.plain(addr, &call("/refuse/503", "a9"), MAX_BODY_BYTES, TIMEOUT).await;
            let (err, _) = answer.expect_err("a refusal");
            if must_succeed(late) {
                assert_eq!(err.outcome(), Outcome::NotRun, "{late:?}: {err:?}");
            }
        });
    }
}

/// Checks the answer of a call that ran.
fn check_plain(
    late: Late,
    name: &str,
    answer: Result<(poplarmux::edge::endpoint::call::Reply, Status), (Error, Status)>,
) {
    match answer {
        Ok((reply, status)) => {
            assert_eq!(reply.body, format!("ran {name}").as_bytes(), "{late:?}");
            assert_eq!(status, Status { load: Some((1, 0)), leaving: false }, "{late:?}");
        }
        Err((err, status)) => {
            assert_eq!(err.outcome(), Outcome::Unknown, "{late:?} {name}: {err:?}");
            assert_eq!(status, Status::default(), "{late:?} {name}");
            assert!(!must_succeed(late), "{late:?} {name}: {err:?}");
        }
    }
}

/// Streams one token and the end, or refuses.
fn stream(request: &Request) -> Answer {
    if request.path.starts_with("/refuse/") {
        return run(request);
    }
    let name = request.attempt();
    let first = request.headers.get("x-resume-from").map_or("0", String::as_str);
    let first = first.parse::<u64>().expect("an index");
    let part = |index: u64, done: bool| {
        let text = if done { String::new() } else { format!("of {name}") };
        format!(
            "data: {{\"attempt\":\"{name}\",\"index\":{index},\"text\":\"{text}\",\
             \"done\":{done}}}\n\n"
        )
    };
    Answer::new(
        "200 OK\r\nX-Load: 1/0\r\nContent-Type: text/event-stream",
        &(part(first, false) + &part(first + 1, true)),
    )
}

/// Guards against the copy of an earlier refusal or stream that decides about the next stream.
#[test]
fn late_answer_does_not_decide_about_the_next_stream() {
    for (late, first) in stream_kinds() {
        let addr = endpoint(late, stream);
        let client = client();
        smol::block_on(async {
            let _ = read_stream(&client, addr, first, "a0").await;
            for index in 1..=CALLS {
                let name = format!("a{index}");
                match read_stream(&client, addr, "/v1/completions", &name).await {
                    Ok((text, status)) => {
                        assert_eq!(text, format!("of {name}"), "{late:?} {first}");
                        assert_eq!(status.load, Some((1, 0)), "{late:?} {first}");
                    }
                    Err((err, status)) => {
                        let seen = format!("{late:?} {first} {name}: {err:?}");
                        assert_eq!(err.outcome(), Outcome::Unknown, "{seen}");
                        assert_eq!(status, Status::default(), "{seen}");
                        assert!(!must_succeed(late), "{seen}");
                    }
                }
            }
        });
    }
}

/// All kinds of copies, each with the path of the first request.
fn stream_kinds() -> Vec<(Late, &'static str)> {
    let refusals = all_kinds(Copied::Refusal).into_iter();
    let refusals = refusals.flat_map(|late| [(late, "/refuse/503"), (late, "/refuse/404")]);
    let streams = all_kinds(Copied::Previous).into_iter();
    refusals.chain(streams.map(|late| (late, "/v1/completions"))).collect()
}

async fn read_stream(
    client: &Client,
    addr: SocketAddr,
    path: &str,
    attempt: &str,
) -> Result<(String, Status), (Error, Status)> {
    let call = Completion {
        path: path.to_string(),
        body: serde_json::json!({}),
        attempt: attempt.to_string(),
        priority: 0,
        remaining: TIMEOUT,
        first_token: 0,
    };
    let (mut stream, status) = client.stream(addr, &call, TIMEOUT).await?;
    let mut text = String::new();
    loop {
        match stream.next(TIMEOUT).await {
            Ok(Item::Token(token)) => text.push_str(&token),
            Ok(Item::End) => {
                stream.finish();
                return Ok((text, status));
            }
            Err(err) => return Err((err, Status::default())),
        }
    }
}

/// Returns the next report of an endpoint.
fn report(accelerators: &str, resident: &str) -> Answer {
    static SEQUENCE: AtomicU64 = AtomicU64::new(1);
    let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
    let body = format!(
        "{{\"incarnation\":1,\"sequence\":{sequence},\"accelerators\":[{accelerators}],\
         \"resident\":[{resident}],\"applied\":[],\"running\":0,\"waiting\":0,\
         \"draining\":false}}"
    );
    Answer::new("200 OK", &body)
}

fn order(id: u64) -> Order {
    Order {
        order: id,
        fence: 1,
        action: Action::Load,
        model: "m".to_string(),
        version: 1,
        adapter: None,
        accelerator: 0,
        memory: 1,
    }
}

/// Guards against the copy of a report, or of the answer to an earlier order, that is taken for the
/// answer to an order.
#[test]
fn late_answer_is_not_taken_for_that_of_the_next_order() {
    // The first order is rejected, the second accepted, and so on.
    let control = |request: &Request| match request.path.as_str() {
        "/report" => report("", ""),
        _ if request.body.contains("\"order\":2,") => {
            Answer::new("202 Accepted", "{\"accepted\":true}")
        }
        _ => Answer::new("409 Conflict", "{\"error\":{\"code\":\"old_fence\"}}"),
    };
    for late in all_kinds(Copied::Previous) {
        let addr = endpoint(late, control);
        smol::block_on(async {
            let (_, mut session) = control::Client.bind(addr).await.expect("a report");
            for index in 0..CALLS {
                let rejects = index % 2 == 0;
                let answer = session.order(&order(if rejects { 1 } else { 2 })).await;
                let expected = if rejects { Err(Error::Fenced) } else { Ok(()) };
                let unknown = answer.as_ref().is_err_and(|err| err.outcome() == Outcome::Unknown);
                let seen = format!("{late:?} {index}: {answer:?}");
                assert!(answer == expected || unknown, "{seen}");
                assert!(
                    !unknown || late.named != Named::First || late.pace == Pace::Ahead,
                    "{seen}"
                );
            }
        });
    }
}

/// Starts an endpoint of a service and an entry in front of it.
fn entry(
    service: poplarmux::config::service::Service,
    role: Role,
    late: Late,
    answer: impl Fn(&Request) -> Answer + Clone + Send + 'static,
) -> Scene {
    let name = service.name.clone();
    let mut scene = Scene::with_services(vec![service]);
    let addr = endpoint(late, answer);
    let row = site::instance(addr, ("wien", "wien-1"), role);
    let service = (role == Role::Service).then_some(name);
    scene.site.platform.put_instance(Instance { service, ..row });
    scene.entry("wien", "");
    scene.wait_ready(&scene.entries[0], &[addr]);
    scene
}

const ONE_COPY: Late =
    Late { copied: Copied::Previous, copies: 1, named: Named::First, pace: Pace::Whole };

/// Guards against a caller who is told that a call did not run, by the refusal of the call before.
#[test]
fn entry_makes_no_promise_from_the_refusal_of_another_call() {
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let runs = ran.clone();
    let answer = move |request: &Request| match request.path.as_str() {
        "/report" => report("", ""),
        // Without the statement that it leaves, so that it gets the next call.
        path if path.starts_with("/refuse/") => {
            Answer::new("503 Refused\r\nX-Outcome: not_run", "{\"error\":{\"code\":\"busy\"}}")
        }
        path => {
            runs.lock().expect("runs").push(path.to_string());
            run(request)
        }
    };
    let late = Late { copied: Copied::Refusal, ..ONE_COPY };
    for (service, key) in [("status", None), ("bookings", Some("key"))] {
        let answer = answer.clone();
        let scene = entry(plain(service, key.is_none()), Role::Service, late, answer);
        let call = |path: &str, index: usize| {
            let path = format!("/v1/services/{service}{path}");
            let key = key.map(|key| format!("{key}{path}{index}"));
            let at = scene.entries[0].address;
            let call = scene.caller.call(at, Method::Post, &path, key.as_deref(), "{}");
            smol::block_on(call).expect("answer")
        };
        for index in 0..12 {
            call("/refuse/503", index);
            let path = format!("/run/{service}/{index}");
            let reply = call(&path, index);
            let has_run = ran.lock().expect("runs").contains(&path);
            let promised = reply.outcome == Some(Outcome::NotRun);
            assert!(!(has_run && promised), "{path}: {reply:?}");
            assert!(has_run && reply.status == 200, "{path}: {reply:?}");
        }
    }
}

/// Guards against an endpoint's own 503, 429, 421 or 408, which says nothing of whether the call
/// ran, that reaches the caller as a promise that it did not.
#[test]
fn status_of_an_endpoint_is_not_forwarded_as_a_promise() {
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let runs = ran.clone();
    let answer = move |request: &Request| match request.path.rsplit('/').next() {
        Some("report") => report("", ""),
        Some(status) => {
            runs.lock().expect("runs").push(status.to_string());
            Answer::new(&format!("{status} Status"), "failed halfway")
        }
        None => run(request),
    };
    let scene = entry(plain("bookings", false), Role::Service, ONE_COPY, answer);
    for status in [503, 429, 421, 408] {
        let book = || {
            let at = scene.entries[0].address;
            let path = format!("/v1/services/bookings/{status}");
            let key = format!("key-{status}");
            let call = scene.caller.call(at, Method::Post, &path, Some(&key), "{}");
            smol::block_on(call).expect("answer")
        };
        for _ in 0..2 {
            let reply = book();
            assert!(![503, 429, 421, 408].contains(&reply.status), "{status}: {reply:?}");
            assert_eq!(reply.outcome, Some(Outcome::Unknown), "{status}: {reply:?}");
        }
        let runs =
            ran.lock().expect("runs").iter().filter(|run| **run == status.to_string()).count();
        assert_eq!(runs, 1, "{status}");
    }
}

/// Guards against an engine that is taken to leave, or to lack a model, by a late answer, and gets
/// no more requests.
#[test]
fn entry_keeps_an_engine_that_repeats_its_answers() {
    let accelerator = "{\"capacity\":4000000,\"used\":1048576}";
    let resident = "{\"model\":\"m\",\"version\":1,\"accelerator\":0,\"memory\":1048576,\
                    \"stage\":\"resident\"}";
    let answer = move |request: &Request| match request.path.as_str() {
        "/report" => report(accelerator, resident),
        _ => stream(request),
    };
    let scene = entry(drafting("m"), Role::Engine, ONE_COPY, answer);
    for index in 0..20 {
        let ask = Ask::chat("m", &format!("letter {index}"), 5);
        let at = scene.entries[0].address;
        let reply = smol::block_on(scene.caller.draft(at, &ask)).expect("answer");
        assert_eq!((reply.status, reply.tokens, reply.whole), (200, 1, true), "{index}: {reply:?}");
    }
}
