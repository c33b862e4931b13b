//! A listener that can be closed with all its connections, and opened again at its address.

use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use poplarmux::edge::endpoint;
use poplarmux::edge::http;
use poplarmux::edge::http::Drain;
use poplarmux::edge::http::Limits;
use poplarmux::edge::http::Link;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a request's body.
const BODY_MAX: usize = 64 << 20;

/// Timeout for a request's body.
const BODY_WAIT: Duration = Duration::from_secs(60);

/// Interval between attempts to listen on an address that is still in use.
const AGAIN: Duration = Duration::from_millis(5);

/// The pending response to a request.
pub type Answering = Pin<Box<dyn Future<Output = Response> + Send>>;

type Handler = dyn Fn(Request, Link) -> Answering + Send + Sync;

struct Inner {
    addr: SocketAddr,
    limits: Limits,
    handler: Box<Handler>,
    /// Number of this opening, and its drain; none while closed.
    open: Mutex<Option<(u64, Drain)>>,
    /// Connections whose request is being handled.
    links: Mutex<HashMap<u64, Link>>,
    next: AtomicU64,
}

/// The server of a stand-in.
#[derive(Clone)]
pub struct Host {
    inner: Arc<Inner>,
}

impl Host {
    /// Listens on `addr` and answers with `handler`; port 0 takes a free one.
    pub fn start<H>(addr: SocketAddr, handler: H) -> io::Result<Host>
    where
        H: Fn(Request, Link) -> Answering + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(addr)?;
        let limits =
            Limits { connections: 20_000, bodies: 1 << 30, idle: Duration::from_secs(120) };
        let host = Host {
            inner: Arc::new(Inner {
                addr: listener.local_addr()?,
                limits,
                handler: Box::new(handler),
                open: Mutex::new(None),
                links: Mutex::default(),
                next: AtomicU64::new(0),
            }),
        };
        host.serve(listener)?;
        Ok(host)
    }

    /// Returns its address, also while closed.
    pub fn addr(&self) -> SocketAddr {
        self.inner.addr
    }

    /// Closes the listener and all connections; new ones are refused.
    pub fn close(&self) {
        if let Some((_, drain)) = self.inner.open.lock().expect("open").take() {
            drain.close();
        }
        self.cut();
    }

    /// Closes the connections whose request is being handled.
    pub fn cut(&self) {
        for link in self.inner.links.lock().expect("links").values() {
            link.close();
        }
    }

    /// Listens again at the same address.
    pub fn open(&self) {
        if self.inner.open.lock().expect("open").is_some() {
            return;
        }
        let host = self.clone();
        smol::spawn(async move {
            // The old listener may still be on its way out.
            for _ in 0..1000 {
                match TcpListener::bind(host.inner.addr) {
                    Ok(listener) => {
                        let _ = host.serve(listener);
                        return;
                    }
                    Err(_) => smol::Timer::after(AGAIN).await,
                };
            }
        })
        .detach();
    }

    fn serve(&self, listener: TcpListener) -> io::Result<()> {
        let listener = smol::net::TcpListener::try_from(listener)?;
        let drain = Drain::default();
        let inner = self.inner.clone();
        let opening = inner.next.fetch_add(1, Ordering::Relaxed);
        let mut current = self.inner.open.lock().expect("open");
        if current.is_some() {
            return Ok(());
        }
        *current = Some((opening, drain.clone()));
        let limits = inner.limits;
        let handler = move |req, link: Link| {
            let inner = inner.clone();
            async move {
                // Taken while the listener was on its way out: as if it had been refused.
                let current = inner.open.lock().expect("open").as_ref().map(|(id, _)| *id);
                if current != Some(opening) {
                    return cut(&link);
                }
                let id = inner.next.fetch_add(1, Ordering::Relaxed);
                inner.links.lock().expect("links").insert(id, link.clone());
                let _forget = Forget(&inner, id);
                let name = header(&req, endpoint::ATTEMPT);
                let mut res = (inner.handler)(req, link).await;
                if let Some(name) = name {
                    res.insert_header(endpoint::ATTEMPT, name);
                }
                res
            }
        };
        smol::spawn(http::serve(listener, limits, drain, handler)).detach();
        Ok(())
    }
}

/// Drops a link once its request is handled, as a clone keeps the connection open.
struct Forget<'a>(&'a Inner, u64);

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        self.0.links.lock().expect("links").remove(&self.1);
    }
}

/// Reads a complete body.
pub async fn read(req: &mut Request) -> Result<Vec<u8>, http::Error> {
    http::body(req, BODY_MAX, BODY_WAIT).await
}

/// Reads a JSON body; the error is the response that rejects it.
pub async fn parse<T: DeserializeOwned>(req: &mut Request) -> Result<T, Response> {
    let bad = |text: &str| refusal(StatusCode::BadRequest, "malformed_body", text);
    let buf = read(req).await.map_err(|err| bad(&err.to_string()))?;
    serde_json::from_slice(&buf).map_err(|err| bad(&err.to_string()))
}

/// Breaks the connection, so that no response arrives.
pub fn cut(link: &Link) -> Response {
    link.close();
    Response::new(StatusCode::InternalServerError)
}

/// Returns a response which states that the request was not run.
pub fn refusal(status: StatusCode, code: &str, message: &str) -> Response {
    let mut res = http::refusal(status, code, message);
    res.insert_header("x-outcome", "not_run");
    res
}

/// Returns a JSON response with status 200.
pub fn ok(body: &impl Serialize) -> Response {
    http::json(StatusCode::Ok, body)
}

/// Returns the decoded segments of a request's path.
pub fn path(req: &Request) -> Vec<String> {
    let segments = req.url().path_segments();
    segments.map(|all| all.map(decode).collect()).unwrap_or_default()
}

/// Returns the value of a request header.
pub fn header(req: &Request, name: &str) -> Option<String> {
    req.header(name).map(|value| value.as_str().to_string())
}

/// Returns the value of a query parameter.
pub fn query(req: &Request, name: &str) -> Option<String> {
    req.url().query_pairs().find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

fn decode(segment: &str) -> String {
    let bytes = segment.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let hex = segment.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
