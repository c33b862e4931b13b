//! A client of the system: locates entries, requests drafts and bookings, and returns exactly what
//! it received.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http_types::Body;
use http_types::Method;
use http_types::Request;
use poplarmux::edge::caller;
use poplarmux::edge::endpoint::Outcome;
use poplarmux::edge::http;
use poplarmux::edge::http::Answer;
use poplarmux::edge::http::Pool;
use poplarmux::edge::http::Reuse;
use poplarmux::table::DataCenterId;
use poplarmux::table::RegionId;
use serde::Deserialize;
use serde_json::Value;

use crate::engine::text::Ask;

/// Maximum size of a response.
const ANSWER_MAX: usize = 64 << 20;

/// An entry that accepts requests.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Place {
    /// Address at which it serves callers.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionId,
    /// Its data center.
    pub data_center: DataCenterId,
}

/// A list of entries.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Places {
    /// Time to live, in milliseconds.
    pub ttl_ms: u64,
    /// The entries, the nearest first.
    pub entries: Vec<Place>,
}

/// A response as a caller received it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// Code of the error in a refusal or an error event.
    pub code: Option<String>,
    /// Whether the request ran, as the error states it.
    pub outcome: Option<Outcome>,
    /// Time after which to retry.
    pub after: Option<Duration>,
    /// Text of a draft, or body of another response.
    pub text: String,
    /// Number of tokens of a draft.
    pub tokens: u64,
    /// Whether the response is complete: ended by `[DONE]`, or a complete body.
    pub whole: bool,
    /// Time to the first token.
    pub first: Option<Duration>,
    /// Longest time between two tokens.
    pub gap: Duration,
    /// Time to the end of the response.
    pub took: Duration,
}

impl Reply {
    /// Returns the JSON body of a plain response.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// Returns whether this is the complete response to a prompt, and not another's.
    pub fn answers(&self, ask: &Ask) -> bool {
        self.status == 200 && self.whole && self.text == ask.answer()
    }
}

/// A caller with its connections.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Its connections.
    pub pool: Pool,
    /// Name that it sends.
    pub name: String,
    /// Deadline that it sends.
    pub deadline: Option<Duration>,
    /// Timeout for the head of a response.
    pub patience: Duration,
}

impl Default for Caller {
    fn default() -> Self {
        Caller {
            pool: Pool::new(Duration::from_secs(2), Duration::from_secs(30)),
            name: "caller".to_string(),
            deadline: None,
            patience: Duration::from_secs(60),
        }
    }
}

impl Caller {
    /// Requests the list of entries from an entry.
    pub async fn entries(&self, at: SocketAddr, region: &str) -> Result<Places, http::Error> {
        let path = format!("/v1/entries?region={region}");
        let req = http::request(Method::Get, at, &path)?;
        let answer = self.pool.send(at, req, Reuse::Idle, self.patience).await?;
        let body = answer.bytes(ANSWER_MAX).await?;
        serde_json::from_slice(&body).map_err(|_| http::Error::Malformed)
    }

    /// Requests a chat completion and reads it to its end.
    pub async fn draft(&self, at: SocketAddr, ask: &Ask) -> Result<Reply, http::Error> {
        let begin = Instant::now();
        let path = if ask.prompt.is_some() { "/v1/completions" } else { "/v1/chat/completions" };
        let mut req = self.request(Method::Post, at, path)?;
        let body = serde_json::to_string(ask).map_err(|_| http::Error::Malformed)?;
        req.set_body(Body::from_string(body));
        req.insert_header("content-type", "application/json");
        let answer = self.pool.send(at, req, Reuse::Idle, self.patience).await?;
        let streamed = answer.header("content-type").is_some_and(|mime| mime.contains("event"));
        if streamed { events(answer, begin).await } else { plain(answer, begin).await }
    }

    /// Calls a plain service through an entry.
    pub async fn call(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<Reply, http::Error> {
        let begin = Instant::now();
        let mut req = self.request(method, at, path)?;
        req.set_body(Body::from_string(body.to_string()));
        if let Some(key) = key {
            req.insert_header(caller::IDEMPOTENCY_KEY, key);
        }
        let answer = self.pool.send(at, req, Reuse::Idle, self.patience).await?;
        plain(answer, begin).await
    }

    /// Sends a request that must run at most once: `POST /v1/services/{service}/{path}` with a key.
    pub async fn book(
        &self,
        at: SocketAddr,
        service: &str,
        key: &str,
        body: &str,
    ) -> Result<Reply, http::Error> {
        let path = format!("/v1/services/{service}/book");
        self.call(at, Method::Post, &path, Some(key), body).await
    }

    fn request(&self, method: Method, at: SocketAddr, path: &str) -> Result<Request, http::Error> {
        let mut req = http::request(method, at, path)?;
        req.insert_header(caller::CALLER, self.name.as_str());
        if let Some(deadline) = self.deadline {
            req.insert_header(caller::DEADLINE, deadline.as_millis().to_string());
        }
        Ok(req)
    }
}

async fn plain(answer: Answer, begin: Instant) -> Result<Reply, http::Error> {
    let mut reply = head(&answer);
    match answer.bytes(ANSWER_MAX).await {
        Ok(buf) => {
            reply.text = String::from_utf8_lossy(&buf).into_owned();
            reply.whole = true;
            let body = reply.json();
            fail(&mut reply, &body);
            // A completion that was not streamed holds its text inside.
            if let Some(text) = body["choices"][0]["message"]["content"].as_str() {
                reply.text = text.to_string();
                reply.tokens = body["usage"]["completion_tokens"].as_u64().unwrap_or(0);
            }
        }
        Err(_) => reply.whole = false,
    }
    reply.took = begin.elapsed();
    Ok(reply)
}

async fn events(mut answer: Answer, begin: Instant) -> Result<Reply, http::Error> {
    let mut reply = head(&answer);
    let mut line = String::new();
    let mut last = begin;
    while let Ok(true) = answer.line(&mut line).await {
        let Some(data) = line.strip_prefix("data:").map(str::trim) else {
            continue;
        };
        if data == "[DONE]" {
            reply.whole = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        fail(&mut reply, &event);
        let choice = &event["choices"][0];
        let text = choice["delta"]["content"].as_str().or(choice["text"].as_str());
        let Some(text) = text.filter(|text| !text.is_empty()) else {
            continue;
        };
        reply.text.push_str(text);
        reply.tokens += 1;
        match reply.first {
            None => reply.first = Some(begin.elapsed()),
            Some(_) => reply.gap = reply.gap.max(last.elapsed()),
        }
        last = Instant::now();
    }
    answer.finish();
    reply.took = begin.elapsed();
    Ok(reply)
}

fn head(answer: &Answer) -> Reply {
    let after = answer.header("retry-after").and_then(|text| text.parse().ok());
    Reply {
        status: answer.head.status().into(),
        after: after.map(Duration::from_secs),
        ..Reply::default()
    }
}

/// Records an error body or an error event.
fn fail(reply: &mut Reply, body: &Value) {
    let error = &body["error"];
    if let Some(code) = error["code"].as_str() {
        reply.code = Some(code.to_string());
        reply.outcome = error["outcome"].as_str().and_then(|text| text.parse().ok());
    }
}
