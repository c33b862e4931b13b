//! Calls between the system's own processes: JSON-RPC in a POST, on a dedicated port.

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use jsonrpsee_types::Id;
use jsonrpsee_types::Response as RpcResponse;
use jsonrpsee_types::ResponsePayload;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::value::RawValue;

use crate::edge::http;
use crate::edge::http::Pool;

/// Version of the message format; a peer refuses messages of a later version.
pub const RELEASE: u32 = 1;

/// Maximum size of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 2 << 20;
/// Limits of a port for peers.
pub const LIMITS: http::Limits = http::Limits {
    connections: 1_024,
    bodies: 8 * MAX_MESSAGE_BYTES,
    idle: Duration::from_secs(60),
};

/// A failure of a call to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No connection was established: the peer did not receive the call.
    Connect,
    /// The peer may have executed the call.
    Unknown,
    /// The peer lacks the method or uses another message format.
    Unsupported,
    /// The peer returned this JSON-RPC error code and message.
    Refused(i32, String),
    /// The response is not of the expected type.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect => write!(f, "could not connect"),
            Error::Unknown => write!(f, "no response"),
            Error::Unsupported => write!(f, "method or release not supported"),
            Error::Refused(code, message) => write!(f, "refused with {code}: {message}"),
            Error::Malformed => write!(f, "malformed response"),
        }
    }
}

impl std::error::Error for Error {}

/// JSON-RPC error code for a message of a later format version.
const UNSUPPORTED_RELEASE: i32 = -32001;

/// Returns an error if `release` is later than the format version of this process.
pub fn check(release: u32) -> Result<(), ErrorObjectOwned> {
    if release > RELEASE {
        let text = format!("release {release} is later than the supported release {RELEASE}");
        return Err(ErrorObjectOwned::owned(UNSUPPORTED_RELEASE, text, None::<()>));
    }
    Ok(())
}

/// JSON-RPC error code for a method that the peer does not have.
const METHOD_NOT_FOUND: i32 = -32601;

/// A client that calls peers over pooled connections.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool,
}

impl Client {
    /// Creates a client that uses `pool`.
    pub fn new(pool: Pool) -> Self {
        Client { pool }
    }

    /// Calls `method` of the peer at `addr` and waits at most `limit` for the response.
    pub async fn call<T: DeserializeOwned + Clone>(
        &self,
        addr: SocketAddr,
        method: &str,
        params: &impl Serialize,
        limit: Duration,
    ) -> Result<T, Error> {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let id = NEXT.fetch_add(1, Ordering::Relaxed);
        let text = serde_json::to_string(params).map_err(|_| Error::Malformed)?;
        let params = RawValue::from_string(text).map_err(|_| Error::Malformed)?;
        let call = jsonrpsee_types::Request::borrowed(method, Some(&params), Id::Number(id));
        let body = serde_json::to_string(&call).map_err(|_| Error::Malformed)?;
        let mut req = http::request(Method::Post, addr, "/rpc").map_err(|_| Error::Malformed)?;
        req.set_body(Body::from_string(body));
        let result = self.pool.json::<Value>(addr, req, MAX_MESSAGE_BYTES, limit).await;
        let (status, value) = match result {
            Ok(pair) => pair,
            Err(http::Error::Connect) => return Err(Error::Connect),
            Err(_) => return Err(Error::Unknown),
        };
        if status != StatusCode::Ok {
            return Err(Error::Unsupported);
        }
        let text = value.to_string();
        let res: RpcResponse<'_, Value> =
            serde_json::from_str(&text).map_err(|_| Error::Malformed)?;
        if res.id != Id::Number(id) {
            return Err(Error::Unknown);
        }
        match res.payload {
            ResponsePayload::Success(value) => {
                serde_json::from_value(value.into_owned()).map_err(|_| Error::Malformed)
            }
            ResponsePayload::Error(err) if err.code() == METHOD_NOT_FOUND => {
                Err(Error::Unsupported)
            }
            ResponsePayload::Error(err) => {
                Err(Error::Refused(err.code(), err.message().to_string()))
            }
        }
    }
}

/// Handles one POST from a peer with the methods of `module`.
pub async fn handle<C>(module: &RpcModule<C>, mut req: Request) -> Response {
    if req.method() != Method::Post || req.url().path() != "/rpc" {
        return http::refusal(StatusCode::NotFound, "not_found", "peers POST to /rpc");
    }
    let body = match http::body(&mut req, MAX_MESSAGE_BYTES, Duration::from_secs(10)).await {
        Ok(body) => body,
        Err(http::Error::NoRoom) => {
            let text = http::Error::NoRoom.to_string();
            return http::refusal(StatusCode::ServiceUnavailable, "overloaded", &text);
        }
        Err(err) => {
            return http::refusal(StatusCode::BadRequest, "malformed_request", &err.to_string());
        }
    };
    let text = String::from_utf8_lossy(&body);
    match module.raw_json_request(&text, 1).await {
        Ok((answer, _)) => {
            let mut res = Response::new(StatusCode::Ok);
            res.set_body(Body::from_string(answer.get().to_string()));
            res.insert_header("content-type", "application/json");
            res
        }
        Err(err) => http::refusal(StatusCode::BadRequest, "malformed_request", &err.to_string()),
    }
}
