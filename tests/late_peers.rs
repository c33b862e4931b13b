//! Tests of responses of the platform and of other entries that come late, on a connection that is used
//! again.

mod request;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::vec::IntoIter;

use serde_json::json;

use poplarmux::edge::http::Pool;
use poplarmux::edge::peer;
use poplarmux::edge::platform::Platform;
use poplarmux::edge::platform::Update;
use poplarmux::edge::platform::http;
use poplarmux::metric::Metrics;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Serves connections. The responses are sent in turn, over all of them, and each once more where that
/// to the next request on its connection is due.
fn serve(responses: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let addr = listener.local_addr().expect("an address");
    let responses = Arc::new(Mutex::new(responses.into_iter()));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, responses) = (stream.expect("a connection"), responses.clone());
            thread::spawn(move || respond(stream, &responses));
        }
    });
    addr
}

fn respond(mut stream: TcpStream, responses: &Mutex<IntoIter<String>>) {
    let mut last = String::new();
    while request::read(&mut stream).is_some() {
        let Some(response) = responses.lock().expect("responses").next() else { return };
        // The client may have closed the connection.
        let _ = stream.write_all((last + &response).as_bytes());
        last = response;
    }
}

fn response(head: &str, body: &str) -> String {
    format!("HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Guards against a write that counts as applied or as refused by the response to the one before.
#[test]
fn late_response_to_a_write_does_not_decide_the_next_one() {
    let applied = response("200 OK\r\nETag: \"3\"", r#"{"version":3}"#);
    let refused = response("412 Precondition Failed", r#"{"version":9}"#);
    for (responses, is_applied) in
        [(vec![applied.clone(), refused.clone()], false), (vec![refused, applied], true)]
    {
        let addr = serve(responses);
        let pool = Pool::new(TIMEOUT, TIMEOUT);
        let metrics = Arc::new(Metrics::new(None));
        let client = http::Client::new(addr, pool, metrics, http::Settings::default());
        smol::block_on(async {
            let value = json!({"a": 1});
            let first = client.put("k", "a", Some(2), &value).await;
            assert_eq!(matches!(first, Ok(Update::Applied(_))), !is_applied, "{first:?}");
            let second = client.put("k", "b", Some(7), &value).await;
            assert_eq!(matches!(second, Ok(Update::Applied(_))), is_applied, "{second:?}");
        });
    }
}

/// Guards against the response of another entry that counts as that to the next call.
#[test]
fn late_response_to_a_call_does_not_answer_the_next_one() {
    let result = |id: u64, text: &str| {
        response("200 OK", &json!({"jsonrpc": "2.0", "id": id, "result": [text]}).to_string())
    };
    let addr = serve(vec![result(1, "first"), result(2, "second")]);
    let client = peer::Client::new(Pool::new(TIMEOUT, TIMEOUT));
    smol::block_on(async {
        let call = || client.call::<Vec<String>>(addr, "claim.commit", &1, TIMEOUT);
        assert_eq!(call().await.expect("a result"), ["first"]);
        if let Ok(result) = call().await {
            assert_eq!(result, ["second"]);
        }
    });
}

/// Guards against an object that is taken for another one, which was read before on the connection.
#[test]
fn late_response_to_a_read_does_not_answer_the_next_one() {
    let object = |version: u64, name: &str| {
        let head = format!("200 OK\r\nETag: \"{version}\"");
        response(&head, &json!({"is": name}).to_string())
    };
    let list = |name: &str| {
        let body = json!({"version": 9, "objects": [{"name": name, "version": 1, "value": {}}]});
        response("200 OK", &body.to_string())
    };
    let changes = |version: u64, name: &str| {
        let body = json!({"changes": [{"name": name, "version": version, "value": {}}]});
        response("200 OK", &body.to_string())
    };
    let responses = vec![
        object(3, "a"),
        object(4, "b"),
        list("c"),
        list("d"),
        changes(5, "e"),
        changes(6, "f"),
    ];
    let addr = serve(responses);
    let pool = Pool::new(TIMEOUT, TIMEOUT);
    let metrics = Arc::new(Metrics::new(None));
    let client = http::Client::new(addr, pool, metrics, http::Settings::default());
    smol::block_on(async {
        for (version, name) in [(3, "a"), (4, "b")] {
            let object = client.get("k", name).await.expect("a response").expect("an object");
            assert_eq!((object.version, object.value), (version, json!({"is": name})));
        }
        for name in ["c", "d"] {
            let (_, objects) = client.list("k", name).await.expect("a list");
            assert_eq!(objects[0].name, name);
        }
        for (version, name) in [(5, "e"), (6, "f")] {
            let changes = client.watch("k", version - 1, Duration::ZERO).await.expect("changes");
            assert_eq!((changes[0].version, changes[0].name.as_str()), (version, name));
        }
    });
}
