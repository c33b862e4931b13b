//! HTTP/1.1 over `async-h1`: a server with limits and draining, and a client with a connection
//! pool.
//!
//! TCP_NODELAY is set on both sides. Without it, each request on a kept-alive connection takes
//! about 40 ms longer, because Nagle's algorithm holds back the second of two small writes until
//! the delayed acknowledgement of the first arrives.

mod pool;
mod response;
mod server;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use http_types::Url;
use serde::Serialize;
use smol::future::FutureExt;
use smol::io::AsyncBufRead;
use smol::io::AsyncReadExt;

pub use crate::edge::http::pool::Answer;
pub use crate::edge::http::pool::Pool;
pub use crate::edge::http::pool::Reuse;
pub use crate::edge::http::pool::exchange;
pub use crate::edge::http::pool::framing;
pub use crate::edge::http::server::Drain;
pub use crate::edge::http::server::Limits;
pub use crate::edge::http::server::Link;
pub use crate::edge::http::server::listen;
pub use crate::edge::http::server::serve;

/// A failure of an HTTP exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// No connection was established: nothing was sent.
    Connect,
    /// The connection broke after bytes may have been sent.
    Broken,
    /// The time limit expired after bytes may have been sent.
    Timeout,
    /// The body exceeds this limit, in bytes.
    TooLarge(usize),
    /// The body has neither a length nor chunks, so that a cut one can't be told from a complete one.
    Unframed,
    /// The message violates HTTP or is not of the expected body type.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect => write!(f, "could not connect"),
            Error::Broken => write!(f, "connection broke"),
            Error::Timeout => write!(f, "timed out"),
            Error::TooLarge(max) => write!(f, "body exceeds {max} bytes"),
            Error::Unframed => write!(f, "body without length or chunks"),
            Error::Malformed => write!(f, "malformed message"),
        }
    }
}

impl std::error::Error for Error {}

/// Returns an error response in the common format, for a request that was not run.
pub fn refusal(status: StatusCode, code: &str, message: &str) -> Response {
    let body = serde_json::json!({
        "error": { "code": code, "message": message, "outcome": "not_run" }
    });
    json(status, &body)
}

/// Returns a JSON response.
pub fn json(status: StatusCode, body: &impl Serialize) -> Response {
    let mut res = Response::new(status);
    let text = serde_json::to_string(body).unwrap_or_default();
    res.set_body(Body::from_string(text));
    res.insert_header("content-type", "application/json");
    res
}

/// Whether the body of a request is still unread when its response is ready.
///
/// The parser reads a body in blocks. After an early response it discards the remaining body block
/// by block, and with the last block also the beginning of the caller's next request, which would
/// then never be answered. Such a connection is therefore closed.
#[derive(Debug, Clone)]
struct Unread(Arc<AtomicBool>);

impl Unread {
    fn mark(req: &mut Request) -> Self {
        let chunked = req.header("transfer-encoding").is_some();
        let unread = chunked || req.len().is_some_and(|len| len > 0);
        let mark = Unread(Arc::new(AtomicBool::new(unread)));
        if unread {
            req.ext_mut().insert(mark.clone());
        }
        mark
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Reads a request body of at most `max` bytes within `limit`.
pub async fn body(req: &mut Request, max: usize, limit: Duration) -> Result<Vec<u8>, Error> {
    let expected_len = req.len();
    if expected_len.is_some_and(|len| len > max) {
        return Err(Error::TooLarge(max));
    }
    let reader = req.take_body().into_reader();
    let read = async { read_all(reader, expected_len, max).await };
    let buf = read.or(expire(limit)).await?;
    if let Some(unread) = req.ext().get::<Unread>() {
        unread.0.store(false, Ordering::Relaxed);
    }
    Ok(buf)
}

/// Reads a body of at most `max` bytes; a length that is expected has to be reached.
pub async fn read_all<R>(
    reader: R,
    expected_len: Option<usize>,
    max: usize,
) -> Result<Vec<u8>, Error>
where
    R: AsyncBufRead + Unpin,
{
    let mut buf = Vec::with_capacity(expected_len.unwrap_or(0).min(max));
    let mut reader = reader.take(max as u64 + 1);
    reader.read_to_end(&mut buf).await.map_err(|_| Error::Broken)?;
    if buf.len() > max {
        return Err(Error::TooLarge(max));
    }
    if expected_len.is_some_and(|len| len != buf.len()) {
        return Err(Error::Broken);
    }
    Ok(buf)
}

async fn expire<T>(limit: Duration) -> Result<T, Error> {
    smol::Timer::after(limit).await;
    Err(Error::Timeout)
}

/// Builds a request to `addr`.
pub fn request(method: Method, addr: SocketAddr, path: &str) -> Result<Request, Error> {
    let url = Url::parse(&format!("http://{addr}{path}")).map_err(|_| Error::Malformed)?;
    Ok(Request::new(method, url))
}
