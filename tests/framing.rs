//! Answers of endpoints and of the platform that end early, on the product's own interface.

mod request;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
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
use poplarmux::edge::endpoint::control;
use poplarmux::edge::endpoint::control::Control;
use poplarmux::edge::endpoint::control::Session;
use poplarmux::edge::http::Pool;
use poplarmux::edge::platform::Platform;
use poplarmux::edge::platform::http;
use poplarmux::metric::Metrics;

const TIMEOUT: Duration = Duration::from_secs(2);
const MAX_BODY_BYTES: usize = 1 << 20;

/// Serves these answers on each connection, each with the name of its request, and then closes it.
/// Returns its address and the number of connections that it has accepted.
fn serve(answers: Vec<String>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let addr = listener.local_addr().expect("an address");
    let count = Arc::new(AtomicUsize::new(0));
    let accepted = count.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            accepted.fetch_add(1, Ordering::Relaxed);
            let mut stream = stream.expect("a connection");
            for answer in &answers {
                let Some(request) = request::read(&mut stream) else {
                    break;
                };
                let name = format!("\r\nx-attempt: {}\r\n", request.attempt());
                let answer = answer.replacen("\r\n", &name, 1);
                if stream.write_all(answer.as_bytes()).is_err() {
                    break;
                }
            }
        }
    });
    (addr, count)
}

/// Ways in which a body is delimited, each with whether its framing is complete.
fn framings(body: &str) -> Vec<(&'static str, bool, String)> {
    let chunk = format!("{:x}\r\n{body}\r\n", body.len());
    let with_length = |len: usize| format!("Content-Length: {len}\r\n\r\n{body}");
    vec![
        ("length", true, with_length(body.len())),
        ("length not reached", false, with_length(body.len() + 1)),
        ("chunks", true, format!("Transfer-Encoding: chunked\r\n\r\n{chunk}0\r\n\r\n")),
        ("no last chunk", false, format!("Transfer-Encoding: chunked\r\n\r\n{chunk}")),
        ("end of the connection", false, format!("\r\n{body}")),
    ]
}

fn head(rest: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n{rest}")
}

fn client() -> Client {
    Client::new(Pool::new(TIMEOUT, TIMEOUT))
}

fn plain() -> Plain {
    Plain {
        method: Method::Post,
        path: "/bookings".to_string(),
        headers: Vec::new(),
        body: b"book".to_vec(),
        attempt: "a1".to_string(),
        repeatable: true,
    }
}

/// Guards against a plain answer that was cut, or whose end can't be told, and is returned and
/// recorded as the answer of the call.
#[test]
fn plain_answer_is_complete_only_by_its_framing() {
    let body = "{\"booked\":true}";
    for (name, complete, rest) in framings(body) {
        let (addr, _) = serve(vec![head(&rest)]);
        let answer = smol::block_on(client().plain(addr, &plain(), MAX_BODY_BYTES, TIMEOUT));
        match answer {
            Ok((reply, _)) => {
                assert!(complete, "{name}");
                assert_eq!(reply.body, body.as_bytes(), "{name}");
            }
            Err((err, _)) => {
                assert!(!complete, "{name}: {err:?}");
                assert_ne!(err.outcome(), Outcome::NotRun, "{name}");
            }
        }
    }
}

/// Guards against refusing answers that have no body.
#[test]
fn answer_without_a_body_is_complete() {
    for (method, status) in [(Method::Post, 204), (Method::Head, 200), (Method::Get, 304)] {
        let (addr, _) = serve(vec![format!("HTTP/1.1 {status} OK\r\n\r\n")]);
        let call = Plain { method, ..plain() };
        let answer = smol::block_on(client().plain(addr, &call, MAX_BODY_BYTES, TIMEOUT));
        let (reply, _) = answer.expect("an answer");
        assert_eq!((reply.status, reply.body.len()), (status, 0));
    }
}

/// Guards against a connection that carries the rest of an answer without a length and is used for
/// another call.
#[test]
fn connection_of_an_answer_without_a_length_is_not_used_again() {
    let unframed = head("\r\n{\"booked\":");
    let (addr, accepted) = serve(vec![unframed, head("Content-Length: 2\r\n\r\n{}")]);
    let client = client();
    smol::block_on(async {
        for _ in 0..2 {
            assert!(client.plain(addr, &plain(), MAX_BODY_BYTES, TIMEOUT).await.is_err());
        }
    });
    assert_eq!(accepted.load(Ordering::Relaxed), 2);
}

/// Guards against a stream that ends before its last part, however it is delimited.
#[test]
fn stream_is_complete_only_by_its_last_part() {
    let part = |index: u64, done: bool| {
        let text = if done { "" } else { "t" };
        format!(
            "data: {{\"attempt\":\"a1\",\"index\":{index},\"text\":\"{text}\",\"done\":{done}}}\n\n"
        )
    };
    let whole = part(0, false) + &part(1, true);
    let call = Completion {
        path: "/v1/completions".to_string(),
        body: serde_json::json!({}),
        attempt: "a1".to_string(),
        priority: 0,
        remaining: TIMEOUT,
        first_token: 0,
    };
    // The empty line is not needed: a part is complete with its line.
    for len in (0..whole.len() - 2).filter(|len| whole.is_char_boundary(*len)) {
        for (name, _, rest) in framings(&whole[..len]) {
            let (addr, _) = serve(vec![head(&rest)]);
            let items = smol::block_on(async {
                let (mut stream, _) = client().stream(addr, &call, TIMEOUT).await.ok()?;
                while stream.next(TIMEOUT).await.ok()? != Item::End {}
                Some(())
            });
            assert_eq!(items, None, "{name} {len}");
        }
    }
}

/// A report of an engine without models.
const REPORT: &str = "{\"incarnation\":1,\"sequence\":1,\"accelerators\":[],\"resident\":[],\
                      \"applied\":[],\"running\":0,\"waiting\":0,\"draining\":false}";

/// Guards against a rejection of an order that was cut and is taken for the one with another code,
/// which states that the order was not applied.
#[test]
fn rejected_order_is_fenced_only_by_a_complete_answer() {
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
    for (name, complete, rest) in framings("{\"error\":{\"code\":\"fence_too_old\"}}") {
        let report = head(&format!("Content-Length: {}\r\n\r\n{REPORT}", REPORT.len()));
        let (addr, _) = serve(vec![report, format!("HTTP/1.1 409 Conflict\r\n{rest}")]);
        let answer = smol::block_on(async {
            let (_, mut session) = control::Client.bind(addr).await.expect("a report");
            session.order(&order).await
        });
        let expected = if complete { Error::Fenced } else { Error::Broken };
        assert_eq!(answer, Err(expected), "{name}");
    }
}

/// Guards against a report of which a part is missing.
#[test]
fn report_is_read_only_from_a_complete_answer() {
    for (name, complete, rest) in framings(REPORT) {
        let (addr, _) = serve(vec![head(&rest)]);
        let answer = smol::block_on(control::Client.bind(addr)).map(|_| ());
        assert_eq!(answer.is_ok(), complete, "{name}: {answer:?}");
    }
}

/// Guards against objects of the platform, or results of its writes, that are read from an answer
/// that was cut.
#[test]
fn object_is_read_only_from_a_complete_answer() {
    for (name, complete, rest) in framings("{\"value\":17}") {
        let (addr, _) = serve(vec![format!("HTTP/1.1 200 OK\r\nETag: \"3\"\r\n{rest}")]);
        let pool = Pool::new(TIMEOUT, TIMEOUT);
        let metrics = Arc::new(Metrics::new(None));
        let client = http::Client::new(addr, pool, metrics, http::Settings::default());
        let object = smol::block_on(client.get("k", "n"));
        assert_eq!(object.is_ok(), complete, "{name}: {object:?}");
        let list = smol::block_on(client.list("k", ""));
        assert!(list.is_err(), "{name}: {list:?}");
    }
}
