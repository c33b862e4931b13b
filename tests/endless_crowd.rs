//! Many answers that never end, at an entry process.
//!
//! Guards against an entry that keeps them all and uses more memory than its limits allow, or serves
//! nobody else.

mod request;
mod scene;

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use http_types::Method;
use poplarmux::edge::platform::Instance;
use poplarmux::edge::platform::Role;
use scene::Scene;
use scene::drafting;
use scene::plain;
use smol::LocalExecutor;
use smol::Task;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncWriteExt;
use standin::engine::text::Ask;
use standin::site;

/// Default of `limits.answers`, and the memory that an entry needs beside it.
const MEMORY_BYTES: u64 = (64 + 64) << 20;
/// Default of `limits.answer`.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Endpoints whose answers never end.
const ENDPOINTS: usize = 20;
/// Callers of these, and the time for which they wait.
const CALLERS: usize = 200;
const STAY: Duration = Duration::from_secs(5);
/// Interval at which the memory is read and an ordinary request is sent.
const INTERVAL: Duration = Duration::from_millis(100);
/// Size of an answer that is not read, of which four take all of `limits.answers`, and its callers.
const UNREAD_BYTES: usize = 16 << 20;
const UNREAD_CALLERS: usize = 8;
/// Text of one token.
const TOKEN_BYTES: usize = 32 << 10;

/// What an endpoint sends to callers.
#[derive(Debug, Clone, Copy)]
enum Answer {
    /// A body in chunks without end.
    Chunks,
    /// A body of the largest size, without its last byte.
    Unfinished,
    /// Tokens without end.
    Tokens,
}

fn start_endpoint(answer: Answer) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            thread::spawn(move || while matches!(serve(&mut stream, answer), Ok(true)) {});
        }
    });
    addr
}

/// Answers one request; returns whether another one may follow.
fn serve(stream: &mut TcpStream, answer: Answer) -> io::Result<bool> {
    let Some(request) = request::read(stream) else {
        return Ok(false);
    };
    let head = format!("HTTP/1.1 200 OK\r\nX-Attempt: {}\r\n", request.attempt());
    if request.path == "/report" {
        let report = "{\"incarnation\":1,\"sequence\":1,\
                      \"accelerators\":[{\"capacity\":4000000,\"used\":1048576}],\
                      \"resident\":[{\"model\":\"endless\",\"version\":1,\"accelerator\":0,\
                      \"memory\":1048576,\"stage\":\"resident\"}],\
                      \"applied\":[],\"running\":0,\"waiting\":0,\"draining\":false}";
        write!(stream, "{head}Content-Length: {}\r\n\r\n{report}", report.len())?;
        return Ok(true);
    }
    if request.path.starts_with("/attempts/") {
        write!(stream, "{head}Content-Length: 0\r\n\r\n")?;
        return Ok(true);
    }
    match answer {
        Answer::Chunks => {
            write!(stream, "{head}Transfer-Encoding: chunked\r\n\r\n")?;
            let chunk = format!("{TOKEN_BYTES:x}\r\n{}\r\n", "a".repeat(TOKEN_BYTES));
            loop {
                stream.write_all(chunk.as_bytes())?;
            }
        }
        Answer::Unfinished => {
            write!(stream, "{head}Content-Length: {MAX_ANSWER_BYTES}\r\n\r\n")?;
            stream.write_all(&vec![b'a'; MAX_ANSWER_BYTES - 1])?;
            // The entry closes the connection.
            Ok(request::read(stream).is_some())
        }
        Answer::Tokens => {
            write!(stream, "{head}Transfer-Encoding: chunked\r\n\r\n")?;
            let text = "a".repeat(TOKEN_BYTES);
            for index in 0_u64.. {
                let part = format!(
                    "data: {{\"attempt\":\"{}\",\"index\":{index},\"text\":\"{text}\",\
                     \"done\":false}}\n\n",
                    request.attempt()
                );
                write!(stream, "{:x}\r\n{part}\r\n", part.len())?;
            }
            Ok(false)
        }
    }
}

/// Lets many callers ask for answers that never end, and checks the memory of the entry and that it
/// serves others.
fn check(answer: Answer) {
    let services = vec![drafting("endless"), drafting("m"), plain("letters", true)];
    let mut scene = Scene::with_services(services);
    let service = match answer {
        Answer::Chunks | Answer::Unfinished => Some("letters".to_string()),
        Answer::Tokens => None,
    };
    let role = if service.is_some() { Role::Service } else { Role::Engine };
    let mut endpoints = vec![scene.engine("m").addr()];
    for _ in 0..ENDPOINTS {
        let addr = start_endpoint(answer);
        let instance = site::instance(addr, ("wien", "wien-1"), role);
        scene.site.platform.put_instance(Instance { service: service.clone(), ..instance });
        endpoints.push(addr);
    }
    scene.entry("wien", "");
    scene.wait_ready(&scene.entries[0], &endpoints);
    let (caller, entry) = (scene.caller.clone(), &scene.entries[0]);
    let ask = async || match answer {
        Answer::Tokens => {
            let ask = Ask { stream: false, ..Ask::chat("endless", "a letter", 1_000_000) };
            caller.draft(entry.address, &ask).await
        }
        _ => caller.call(entry.address, Method::Get, "/v1/services/letters/1", None, "").await,
    };
    let (mut served, mut failed, mut max_memory) = (0, 0, 0);
    let ex = LocalExecutor::new();
    smol::block_on(ex.run(async {
        let crowd: Vec<Task<bool>> = (0..CALLERS)
            .map(|_| {
                let give_up = async {
                    Timer::after(STAY).await;
                    false
                };
                let complete = async { ask().await.is_ok_and(|reply| reply.status == 200) };
                ex.spawn(complete.or(give_up))
            })
            .collect();
        let start = Instant::now();
        while start.elapsed() < STAY {
            let ask = Ask::chat("m", "a letter", 8);
            let reply = caller.draft(entry.address, &ask).await;
            let is_served = reply.is_ok_and(|reply| reply.answers(&ask));
            *(if is_served { &mut served } else { &mut failed }) += 1;
            max_memory = max_memory.max(entry.resident());
            Timer::after(INTERVAL).await;
        }
        for caller in crowd {
            assert!(!caller.await, "an answer without end was taken for complete");
        }
    }));
    eprintln!("{answer:?}: at most {} kB, {served} served, {failed} failed", max_memory / 1_000);
    assert!(max_memory <= MEMORY_BYTES, "{max_memory} bytes");
    assert!(served > 0 && failed == 0, "{failed} of other callers were not served");
}

/// Serves bodies of `UNREAD_BYTES`, and a short one at the path `/short`.
fn start_service() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            thread::spawn(move || {
                while let Some(request) = request::read(&mut stream) {
                    let report = "{\"incarnation\":1,\"sequence\":1,\"accelerators\":[],\
                                  \"resident\":[],\"applied\":[],\"running\":0,\"waiting\":0,\
                                  \"draining\":false}";
                    let body = match request.path.as_str() {
                        "/report" => report.as_bytes().to_vec(),
                        "/short" => b"short".to_vec(),
                        _ => vec![b'a'; UNREAD_BYTES],
                    };
                    let attempt = request.attempt();
                    let len = body.len();
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nX-Attempt: {attempt}\r\nContent-Length: {len}\r\n\r\n"
                    );
                    if stream.write_all(&[head.as_bytes(), &body].concat()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Guards against callers that read nothing of their answers and so take the memory for all others.
#[test]
fn answers_that_nobody_reads_make_way() {
    let mut scene = Scene::with_services(vec![plain("letters", true)]);
    let addr = start_service();
    let instance = site::instance(addr, ("wien", "wien-1"), Role::Service);
    let service = Some("letters".to_string());
    scene.site.platform.put_instance(Instance { service, ..instance });
    scene.entry("wien", &format!("limits:\n  answer: {UNREAD_BYTES}\n"));
    scene.wait_ready(&scene.entries[0], &[addr]);
    let (caller, entry) = (scene.caller.clone(), &scene.entries[0]);
    smol::block_on(async {
        let mut unread = Vec::new();
        for _ in 0..UNREAD_CALLERS {
            let mut stream =
                smol::net::TcpStream::connect(entry.address).await.expect("a connection");
            let request = b"GET /v1/services/letters/long HTTP/1.1\r\nHost: h\r\n\r\n";
            stream.write_all(request).await.expect("the request is sent");
            unread.push(stream);
            Timer::after(INTERVAL).await;
        }
        Timer::after(STAY).await;
        let path = "/v1/services/letters/short";
        let reply = caller.call(entry.address, Method::Get, path, None, "").await;
        let reply = reply.expect("an answer");
        assert_eq!((reply.status, reply.text.as_str()), (200, "short"));
        assert!(entry.resident() <= MEMORY_BYTES, "{} bytes", entry.resident());
    });
}

#[test]
fn plain_answers_without_end_at_once_are_bounded() {
    check(Answer::Chunks);
}

#[test]
fn plain_answers_without_their_last_byte_at_once_are_bounded() {
    check(Answer::Unfinished);
}

#[test]
fn completions_without_end_at_once_are_bounded() {
    check(Answer::Tokens);
}
