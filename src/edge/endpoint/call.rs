//! Calls made on behalf of callers: token streams from engines and plain calls to services.

use std::time::Duration;
use std::time::Instant;

use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use serde_json::Value;
use smol::future::FutureExt;

use crate::edge::caller;
use crate::edge::endpoint::ATTEMPT;
use crate::edge::endpoint::DEADLINE;
use crate::edge::endpoint::Error;
use crate::edge::endpoint::LOAD;
use crate::edge::endpoint::PRESENCE;
use crate::edge::endpoint::PRIORITY;
use crate::edge::endpoint::Part;
use crate::edge::endpoint::RESUME_FROM;
use crate::edge::endpoint::Report;
use crate::edge::endpoint::control::MAX_REPORT_BYTES;
use crate::edge::endpoint::exchange;
use crate::edge::http;
use crate::edge::http::Answer;
use crate::edge::http::Held;
use crate::edge::http::Pool;
use crate::edge::http::Reuse;
use crate::table::AttemptId;
use crate::table::EndpointId;

/// Maximum size of the lines of a stream before its next token, in bytes.
const MAX_SKIPPED_BYTES: usize = 1 << 20;

/// Maximum size of the answer to a cancellation, in bytes.
const MAX_CANCEL_BYTES: usize = 4 << 10;

/// A completion request to an engine.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Path of the interface.
    pub path: String,
    /// JSON body, which requests a stream.
    pub body: Value,
    /// Attempt ID.
    pub attempt: AttemptId,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
    /// Index of the first requested token.
    pub first_token: u64,
}

/// Status of an endpoint from the headers of a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Status {
    /// Numbers of running and waiting requests.
    pub load: Option<(u32, u32)>,
    /// Whether the endpoint accepts no new requests.
    pub leaving: bool,
}

impl Status {
    fn read(answer: &Answer) -> Self {
        let load = answer.header(LOAD).and_then(|text| {
            let (running, waiting) = text.split_once('/')?;
            Some((running.parse().ok()?, waiting.parse().ok()?))
        });
        let leaving = answer.header(PRESENCE) == Some("leaving");
        Status { load, leaving }
    }
}

/// A token stream. Each returned part belongs to the attempt and is in order.
pub struct Stream {
    answer: Answer,
    attempt: AttemptId,
    next_index: u64,
    line: String,
    foreign: u64,
}

/// The next item of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Item {
    /// Text of the next token.
    Token(String),
    /// Explicit end of the stream.
    End,
}

impl Stream {
    /// Returns the next token or the end, and waits for it at most `max_pause`.
    pub async fn next(&mut self, max_pause: Duration) -> Result<Item, Error> {
        self.read_item().or(expire(max_pause)).await
    }

    async fn read_item(&mut self) -> Result<Item, Error> {
        let mut remaining = MAX_SKIPPED_BYTES;
        loop {
            if !self.answer.line(&mut self.line).await? {
                return Err(Error::Truncated);
            }
            let Some(left) = remaining.checked_sub(self.line.len()) else {
                let text = format!("no token in {MAX_SKIPPED_BYTES} bytes");
                return Err(Error::Protocol(text));
            };
            remaining = left;
            let Some(data) = self.line.strip_prefix("data:") else {
                continue;
            };
            let part: Part = serde_json::from_str(data.trim())
                .map_err(|err| Error::Protocol(err.to_string()))?;
            // A part of another attempt, such as a late one of an abandoned attempt, would put
            // foreign text into this response, so it is discarded.
            if part.attempt != self.attempt {
                self.foreign += 1;
                continue;
            }
            // A repeated part is discarded. A missing part cannot be recovered: the attempt failed.
            if part.index < self.next_index {
                continue;
            }
            if part.index > self.next_index {
                return Err(Error::Truncated);
            }
            if part.done {
                return Ok(Item::End);
            }
            self.next_index += 1;
            return Ok(Item::Token(part.text));
        }
    }

    /// Whether data can be read without waiting.
    pub fn is_readable(&mut self) -> bool {
        self.answer.is_readable()
    }

    /// Returns the number of discarded parts of other attempts.
    pub fn foreign(&self) -> u64 {
        self.foreign
    }

    /// Returns the connection to the pool after the end of the stream.
    pub fn finish(self) {
        self.answer.finish();
    }
}

impl From<http::Error> for Error {
    fn from(err: http::Error) -> Self {
        match err {
            http::Error::Connect => Error::Connect,
            http::Error::Broken => Error::Broken,
            http::Error::Timeout => Error::Timeout,
            http::Error::TooLarge(max) => Error::Protocol(format!("body exceeds {max} bytes")),
            http::Error::Unframed | http::Error::NoRoom | http::Error::Malformed => {
                Error::Protocol(err.to_string())
            }
        }
    }
}

/// A caller's call to a plain service.
#[derive(Debug, Clone)]
pub struct Plain {
    /// HTTP method.
    pub method: Method,
    /// Path and query at the service.
    pub path: String,
    /// Headers to forward.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Vec<u8>,
    /// Attempt ID.
    pub attempt: AttemptId,
    /// Whether the call may use a pooled connection, which may turn out to be closed.
    pub repeatable: bool,
}

/// The response of a plain service.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub mime: String,
    /// Complete body.
    pub body: Vec<u8>,
    /// Counts the body as held.
    pub held: Option<Held>,
}

/// A client that calls endpoints over pooled connections.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool,
}

impl Client {
    /// Creates a client that uses `pool`.
    pub fn new(pool: Pool) -> Self {
        Client { pool }
    }

    /// Returns a response of which nothing has been received, to count what is kept of a stream.
    pub fn hold(&self) -> Held {
        self.pool.hold()
    }

    /// Starts a token stream; the head of the response must arrive within `limit`.
    pub async fn stream(
        &self,
        address: EndpointId,
        call: &Completion,
        limit: Duration,
    ) -> Result<(Stream, Status), (Error, Status)> {
        let req = completion(address, call).map_err(|err| (err, Status::default()))?;
        let answer = self.send(address, req, &call.attempt, Reuse::Idle, limit).await?;
        let endpoint_status = Status::read(&answer);
        if answer.head.status() != StatusCode::Ok {
            return Err((response_error(&answer), endpoint_status));
        }
        let attempt = call.attempt.clone();
        let stream = Stream {
            answer,
            attempt,
            next_index: call.first_token,
            line: String::new(),
            foreign: 0,
        };
        Ok((stream, endpoint_status))
    }

    /// Makes a plain call; the complete response must arrive within `limit`.
    pub async fn plain(
        &self,
        address: EndpointId,
        call: &Plain,
        max: usize,
        limit: Duration,
    ) -> Result<(Reply, Status), (Error, Status)> {
        let no_status = Status::default();
        let mut req = http::request(call.method, address, &call.path)
            .map_err(|err| (Error::from(err), no_status))?;
        for (name, value) in &call.headers {
            req.insert_header(name.as_str(), value.as_str());
        }
        req.set_body(Body::from_bytes(call.body.clone()));
        for (name, value) in &call.headers {
            if name == "content-type" {
                req.insert_header(name.as_str(), value.as_str());
            }
        }
        // The endpoint may have closed an idle connection, which shows only after bytes were sent:
        // the call's outcome would be unknown. Opening a new connection fails before that.
        let reuse = if call.repeatable { Reuse::Idle } else { Reuse::Fresh };
        let transfer = async {
            let answer = self.send(address, req, &call.attempt, reuse, limit).await?;
            let endpoint_status = Status::read(&answer);
            let status = answer.head.status().into();
            if states_not_run(&answer) || (!call.repeatable && caller::promises_not_run(status)) {
                return Err((response_error(&answer), endpoint_status));
            }
            let mime = answer.header("content-type").unwrap_or("application/octet-stream");
            let mime = mime.to_string();
            let read = answer.held_bytes(max).await;
            let (body, held) = read.map_err(|err| (Error::from(err), endpoint_status))?;
            Ok((Reply { status, mime, body, held }, endpoint_status))
        };
        let expiry = async {
            smol::Timer::after(limit).await;
            Err((Error::Timeout, no_status))
        };
        transfer.or(expiry).await
    }

    /// Reads the report of an endpoint.
    pub async fn report(&self, address: EndpointId, limit: Duration) -> Result<Report, Error> {
        let transfer = async {
            let req = http::request(Method::Get, address, "/report")?;
            let name = exchange::name("report");
            let sent = self.send(address, req, &name, Reuse::Idle, limit).await;
            let answer = sent.map_err(|(err, _)| err)?;
            if !answer.head.status().is_success() {
                return Err(response_error(&answer));
            }
            let buf = answer.bytes(MAX_REPORT_BYTES).await?;
            serde_json::from_slice(&buf).map_err(|err| Error::Protocol(err.to_string()))
        };
        transfer.or(expire(limit)).await
    }

    /// Cancels an attempt. Errors are ignored because the connection is closed as well.
    pub async fn cancel(&self, address: EndpointId, attempt: &str, limit: Duration) {
        let path = format!("/attempts/{attempt}");
        let transfer = async {
            let req = http::request(Method::Delete, address, &path)?;
            let name = exchange::name("cancel");
            let sent = self.send(address, req, &name, Reuse::Idle, limit).await;
            let answer = sent.map_err(|(err, _)| err)?;
            answer.bytes(MAX_CANCEL_BYTES).await.map_err(Error::from)
        };
        let _ = transfer.or(expire(limit)).await;
    }

    /// Sends a request under a name and returns the head of the answer that repeats it.
    async fn send(
        &self,
        address: EndpointId,
        mut req: Request,
        name: &str,
        reuse: Reuse,
        limit: Duration,
    ) -> Result<Answer, (Error, Status)> {
        req.insert_header(ATTEMPT, name);
        let start = Instant::now();
        let sent = self.pool.send(address, req, reuse, limit).await;
        let own = match sent {
            Ok(answer) => {
                let remaining = limit.saturating_sub(start.elapsed());
                exchange::own(answer, name).or(expire(remaining)).await
            }
            Err(err) => Err(Error::from(err)),
        };
        own.map_err(|err| (err, Status::default()))
    }
}

async fn expire<T>(limit: Duration) -> Result<T, Error> {
    smol::Timer::after(limit).await;
    Err(Error::Timeout)
}

fn completion(address: EndpointId, call: &Completion) -> Result<Request, Error> {
    let mut req = http::request(Method::Post, address, &call.path)?;
    req.set_body(Body::from_string(call.body.to_string()));
    req.insert_header("content-type", "application/json");
    req.insert_header(PRIORITY, call.priority.to_string());
    req.insert_header(DEADLINE, call.remaining.as_millis().to_string());
    if call.first_token > 0 {
        req.insert_header(RESUME_FROM, call.first_token.to_string());
    }
    Ok(req)
}

/// Header of an endpoint's error response that states whether the call ran.
const OUTCOME: &str = "x-outcome";

/// Whether the endpoint states that it did not run the call. A status alone does not show that: a
/// call that failed halfway may also return a 503.
fn states_not_run(answer: &Answer) -> bool {
    answer.header(OUTCOME) == Some("not_run")
}

fn response_error(answer: &Answer) -> Error {
    let status: u16 = answer.head.status().into();
    if states_not_run(answer) {
        let retry_after = answer.header("retry-after").and_then(|text| text.parse().ok());
        return Error::Refused(status, retry_after.map(Duration::from_secs));
    }
    Error::Protocol(format!("status {status}"))
}
