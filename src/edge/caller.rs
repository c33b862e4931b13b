//! The interface to callers: the request and response formats of common client libraries, and the
//! errors that callers receive.

use std::time::Duration;

use http_types::Response;
use http_types::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use strum::Display;
use strum::IntoStaticStr;

use crate::decide::flow::Refusal;
use crate::edge::endpoint::Outcome;
use crate::edge::http;

/// Header: time that the caller will wait for the complete response, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";
/// Header: identifies the caller, the unit of fair sharing.
pub const CALLER: &str = "x-caller";
/// Header: request ID for logs; generated if absent and always returned.
pub const REQUEST_ID: &str = "x-request-id";
/// Header: idempotency key of a call that must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Returns whether a status promises a caller that its request has not run and will not.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// The completion interface that a caller uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Style {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Style {
    /// Returns the path of the interface, which is the same at engines.
    pub fn path(self) -> &'static str {
        match self {
            Style::Chat => "/v1/chat/completions",
            Style::Text => "/v1/completions",
        }
    }
}

/// The fields of a completion request that the system reads.
#[derive(Debug, Clone, Deserialize)]
struct Raw {
    model: String,
    #[serde(default)]
    messages: Option<Vec<Message>>,
    #[serde(default)]
    prompt: Option<Value>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
}

#[derive(Debug, Clone, Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

/// A validated completion request.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Interface used by the caller.
    pub style: Style,
    /// Model; not empty.
    pub model: String,
    /// Adapter, if the model was given as `model:adapter`; not empty.
    pub adapter: Option<String>,
    /// Whether the caller requested a streamed response.
    pub stream: bool,
    /// Maximum number of tokens to generate; at least 1.
    pub max_tokens: u32,
    /// Text of the prompt, used for prefix hashes and estimates.
    pub prompt: String,
    /// Original request, changed to request a stream.
    pub body: Value,
}

/// A validation error of a completion request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The body is not JSON, or a field is missing or of the wrong type.
    Json(String),
    /// `model` is empty or names an empty adapter.
    Model,
    /// The field that the interface takes, `messages` or `prompt`, is missing or empty.
    Prompt,
    /// `max_tokens` is 0.
    Tokens,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::Json(err) => write!(f, "not a completion request: {err}"),
            Fault::Model => write!(f, "`model` must have the form `model` or `model:adapter`"),
            Fault::Prompt => write!(f, "chat requires `messages`, completions require `prompt`"),
            Fault::Tokens => write!(f, "`max_tokens` must be at least 1"),
        }
    }
}

/// Maximum number of generated tokens if the request does not state it.
const DEFAULT_MAX_TOKENS: u32 = 256;

impl TryFrom<(Style, &[u8])> for Completion {
    type Error = Fault;

    fn try_from((style, bytes): (Style, &[u8])) -> Result<Self, Fault> {
        let mut body: Value =
            serde_json::from_slice(bytes).map_err(|err| Fault::Json(err.to_string()))?;
        let raw = Raw::deserialize(&body).map_err(|err| Fault::Json(err.to_string()))?;
        let (model, adapter) = match raw.model.split_once(':') {
            Some((model, adapter)) => (model.to_string(), Some(adapter.to_string())),
            None => (raw.model.clone(), None),
        };
        if model.is_empty() || adapter.as_ref().is_some_and(String::is_empty) {
            return Err(Fault::Model);
        }
        let prompt = match (style, &raw.messages, &raw.prompt) {
            (Style::Chat, Some(messages), _) if !messages.is_empty() => {
                let texts = messages.iter().map(|message| text(&message.content));
                texts.collect::<Vec<_>>().join("\n")
            }
            (Style::Text, _, Some(prompt)) => text(prompt),
            _ => return Err(Fault::Prompt),
        };
        let max_tokens = raw.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 {
            return Err(Fault::Tokens);
        }
        body["stream"] = Value::Bool(true);
        Ok(Completion { style, model, adapter, stream: raw.stream, max_tokens, prompt, body })
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// A formatter of responses for the interface used.
#[derive(Debug, Clone)]
pub struct Writer {
    style: Style,
    id: String,
    model: String,
    created: u64,
}

impl Writer {
    /// Creates a writer for one response; `created` is in seconds since the Unix epoch.
    pub fn new(style: Style, id: String, model: String, created: u64) -> Self {
        Writer { style, id, model, created }
    }

    /// Returns a stream event that carries `text`.
    pub fn token(&self, text: &str) -> String {
        self.event(self.choice(text, None))
    }

    /// Returns the final events of a complete stream.
    pub fn end(&self) -> String {
        let mut out = self.event(self.choice("", Some("stop")));
        out.push_str("data: [DONE]\n\n");
        out
    }

    /// Returns the event for a failure after the stream began. No `[DONE]` follows it.
    pub fn error(&self, body: &Value) -> String {
        format!("data: {body}\n\n")
    }

    /// Returns the complete response to a request without streaming.
    pub fn complete(&self, text: &str, tokens: u64) -> Value {
        let (object, choice) = match self.style {
            Style::Chat => (
                "chat.completion",
                serde_json::json!({
                    "index": 0,
                    "message": { "role": "assistant", "content": text },
                    "finish_reason": "stop",
                }),
            ),
            Style::Text => (
                "text_completion",
                serde_json::json!({ "index": 0, "text": text, "finish_reason": "stop" }),
            ),
        };
        serde_json::json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": { "completion_tokens": tokens },
        })
    }

    fn choice(&self, text: &str, finish: Option<&str>) -> Value {
        match self.style {
            Style::Chat if finish.is_some() => {
                serde_json::json!({ "index": 0, "delta": {}, "finish_reason": finish })
            }
            Style::Chat => serde_json::json!({
                "index": 0, "delta": { "content": text }, "finish_reason": null
            }),
            Style::Text => {
                serde_json::json!({ "index": 0, "text": text, "finish_reason": finish })
            }
        }
    }

    fn event(&self, choice: Value) -> String {
        #[derive(Serialize)]
        struct Chunk<'a> {
            id: &'a str,
            object: &'a str,
            created: u64,
            model: &'a str,
            choices: [Value; 1],
        }
        let object = match self.style {
            Style::Chat => "chat.completion.chunk",
            Style::Text => "text_completion",
        };
        let chunk = Chunk {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
        };
        format!("data: {}\n\n", serde_json::to_string(&chunk).unwrap_or_default())
    }
}

/// An error code. Its name in snake case is the stable code in the error body.
#[derive(Debug, Clone, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Code {
    /// 400: the request or its JSON is not well formed.
    MalformedRequest,
    /// 400: a header's value is not valid.
    InvalidHeader,
    /// 400: the service requires an `Idempotency-Key`.
    KeyRequired,
    /// 404: the path does not exist.
    NotFound,
    /// 404: no service of the configuration in force has this model.
    UnknownModel,
    /// 404: the model has no such adapter.
    UnknownAdapter,
    /// 404: the configuration in force has no plain service of this name.
    UnknownService,
    /// 405: the path does not support the method.
    MethodNotAllowed,
    /// 408: the body did not arrive in time.
    BodyTimeout,
    /// 413: the body exceeds the limit.
    BodyTooLarge,
    /// 422: the key was used with another body.
    KeyConflict,
    /// 410: the key is older than the retention period.
    KeyExpired,
    /// 429: queues are full or the caller exceeded its share.
    Overloaded,
    /// 431: more header fields than the limit.
    TooManyHeaders,
    /// 503: the deadline cannot be met.
    Late,
    /// 503: currently no endpoint can serve the request.
    Unreachable,
    /// 503: this entry has no configuration yet.
    NotReady,
    /// 503: the claim for the key could not be written; nothing was run.
    ClaimUnavailable,
    /// 409: a call with this key is in progress.
    InProgress,
    /// 422: this request crashed endpoints and is refused temporarily.
    Quarantined,
    /// 502: all attempts failed.
    Failed,
    /// 502: the call may have run; its outcome is unknown.
    OutcomeUnknown,
    /// 409: status 200 was recorded for this key, but the response was too large to store.
    AnswerNotKept,
}

impl Code {
    /// Returns the HTTP status of the code.
    pub fn status(&self) -> StatusCode {
        match self {
            Code::MalformedRequest | Code::InvalidHeader | Code::KeyRequired => {
                StatusCode::BadRequest
            }
            Code::NotFound | Code::UnknownModel | Code::UnknownAdapter | Code::UnknownService => {
                StatusCode::NotFound
            }
            Code::MethodNotAllowed => StatusCode::MethodNotAllowed,
            Code::BodyTimeout => StatusCode::RequestTimeout,
            Code::BodyTooLarge => StatusCode::PayloadTooLarge,
            Code::KeyConflict | Code::Quarantined => StatusCode::UnprocessableEntity,
            Code::KeyExpired => StatusCode::Gone,
            Code::Overloaded => StatusCode::TooManyRequests,
            Code::TooManyHeaders => StatusCode::RequestHeaderFieldsTooLarge,
            Code::Late | Code::Unreachable | Code::NotReady | Code::ClaimUnavailable => {
                StatusCode::ServiceUnavailable
            }
            Code::InProgress | Code::AnswerNotKept => StatusCode::Conflict,
            Code::Failed | Code::OutcomeUnknown => StatusCode::BadGateway,
        }
    }
}

/// An error response to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// Stable error code.
    pub code: Code,
    /// Description of the error and of the expected input.
    pub message: String,
    /// Whether the request ran, as far as is known.
    pub outcome: Outcome,
    /// Time after which to retry; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

impl Refused {
    /// Creates an error for a request that was not run and that must not be retried unchanged.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Refused { code, message: message.into(), outcome: Outcome::NotRun, retry_after: None }
    }

    /// Creates an error for a request that was not run and may be retried after `retry_after`.
    pub fn retryable(code: Code, message: impl Into<String>, retry_after: Duration) -> Self {
        Refused { retry_after: Some(retry_after), ..Refused::new(code, message) }
    }

    /// Returns the JSON error body.
    pub fn body(&self) -> Value {
        let code: &'static str = (&self.code).into();
        let retry_after = self.retry_after.map(|retry_after| retry_after.as_millis() as u64);
        serde_json::json!({
            "error": {
                "code": code,
                "message": self.message,
                "outcome": self.outcome,
                "retry_after_ms": retry_after,
            }
        })
    }

    /// Returns the complete response. `Retry-After` is in seconds, rounded up.
    pub fn response(&self) -> Response {
        let mut res = http::json(self.code.status(), &self.body());
        if let Some(retry_after) = self.retry_after {
            res.insert_header(
                "retry-after",
                retry_after.as_millis().div_ceil(1000).max(1).to_string(),
            );
        }
        res
    }
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Overloaded(retry_after) => {
                Refused::retryable(Code::Overloaded, "too many requests: retry later", retry_after)
            }
            Refusal::Late(retry_after) => {
                Refused::retryable(Code::Late, "the deadline cannot be met", retry_after)
            }
            Refusal::Unreachable(retry_after) => Refused::retryable(
                Code::Unreachable,
                "no endpoint can currently serve this",
                retry_after,
            ),
            Refusal::Quarantined(retry_after) => Refused::retryable(
                Code::Quarantined,
                "this request crashed endpoints and is refused temporarily",
                retry_after,
            ),
            Refusal::Failed(Outcome::Unknown, retry_after) => Refused {
                code: Code::OutcomeUnknown,
                message: "an attempt failed and may have run".to_string(),
                outcome: Outcome::Unknown,
                retry_after,
            },
            Refusal::Failed(outcome, retry_after) => Refused {
                code: Code::Failed,
                message: "the attempts failed".to_string(),
                outcome,
                retry_after,
            },
        }
    }
}
