//! The HTTP interface for callers: paths, headers and limits.

use std::sync::Arc;
use std::time::Duration;

use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use crate::config::service::Kind;
use crate::config::service::Service;
use crate::edge::caller;
use crate::edge::caller::Code;
use crate::edge::caller::Completion;
use crate::edge::caller::Refused;
use crate::edge::caller::Style;
use crate::edge::http;
use crate::edge::http::Link;
use crate::entry::Entry;
use crate::entry::chat;
use crate::entry::chat::refuse;
use crate::entry::plain;
use crate::metric::Counter;
use crate::table::CallerId;

/// Longest deadline that a caller may set: a day, for overnight work.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);
/// Retry-after while requests or answers of others take the memory: another entry may have room at once.
pub const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The metadata of a request.
#[derive(Debug, Clone)]
pub struct Head {
    /// The request id, used in logs and returned in the response.
    pub request_id: String,
    /// The caller; all callers that send no name share the fair share of `anonymous`.
    pub caller: CallerId,
    /// When the head of the request was read, on the entry's clock.
    pub arrived_at: Duration,
    /// The time that the caller waits for the answer; none for the default of the service.
    pub deadline: Option<Duration>,
}

impl Head {
    /// Returns until when the caller waits for the answer, on the entry's clock.
    pub fn deadline(&self, service: &Service) -> Duration {
        self.arrived_at + self.deadline.unwrap_or(service.deadline)
    }
}

/// Serves one request and returns its id in a header.
pub async fn handle(entry: Arc<Entry>, mut req: Request, link: Link) -> Response {
    let request_id = header(&req, caller::REQUEST_ID)
        .unwrap_or_else(|| format!("{:x}-{:x}", entry.incarnation, entry.next_number()));
    let mut res = route(&entry, &mut req, link, &request_id).await;
    res.insert_header(caller::REQUEST_ID, request_id.as_str());
    res
}

async fn route(entry: &Arc<Entry>, req: &mut Request, link: Link, request_id: &str) -> Response {
    let path = req.url().path().to_string();
    if let Some(service_path) = path.strip_prefix("/v1/services/") {
        return forward(entry, req, link, request_id, Path::Plain(service_path.to_string())).await;
    }
    let (allowed, matched) = match path.as_str() {
        "/v1/chat/completions" => (Method::Post, Path::Completion(Style::Chat)),
        "/v1/completions" => (Method::Post, Path::Completion(Style::Text)),
        "/v1/entries" => (Method::Get, Path::Entries),
        "/v1/models" => (Method::Get, Path::Models),
        "/healthz" => (Method::Get, Path::Health),
        "/readyz" => (Method::Get, Path::Ready),
        _ => {
            let refused = Refused::new(Code::NotFound, format!("the path {path} does not exist"));
            return refuse(entry, &refused);
        }
    };
    if req.method() != allowed {
        let refused =
            Refused::new(Code::MethodNotAllowed, format!("{path} only accepts {allowed}"));
        let mut res = refuse(entry, &refused);
        res.insert_header("allow", allowed.to_string());
        return res;
    }
    match matched {
        Path::Entries => entries(entry, req),
        Path::Models => models(entry),
        Path::Health => http::json(StatusCode::Ok, &serde_json::json!({ "status": "ok" })),
        Path::Ready => ready(entry),
        target => forward(entry, req, link, request_id, target).await,
    }
}

enum Path {
    Completion(Style),
    Plain(String),
    Entries,
    Models,
    Health,
    Ready,
}

/// Reads a request for an endpoint, checks and forwards it, and counts it.
async fn forward(
    entry: &Arc<Entry>,
    req: &mut Request,
    link: Link,
    request_id: &str,
    target: Path,
) -> Response {
    entry.metrics.count(Counter::Requests);
    let (head, body) = match read(entry, req, request_id).await {
        Ok(pair) => pair,
        Err(refused) => return refuse(entry, &refused),
    };
    match target {
        Path::Completion(style) => match Completion::try_from((style, body.as_slice())) {
            Ok(completion) => chat::handle(entry.clone(), link, head, completion).await,
            Err(fault) => refuse(entry, &Refused::new(Code::MalformedRequest, fault.to_string())),
        },
        Path::Plain(service_path) => match plain::Call::parse(req, &service_path, body) {
            Ok(call) => plain::handle(entry.clone(), link, head, call).await,
            Err(refused) => refuse(entry, &refused),
        },
        Path::Entries | Path::Models | Path::Health | Path::Ready => {
            refuse(entry, &Refused::new(Code::NotFound, "this path is not served by endpoints"))
        }
    }
}

async fn read(
    entry: &Entry,
    req: &mut Request,
    request_id: &str,
) -> Result<(Head, Vec<u8>), Refused> {
    let (limits, arrived_at) = (&entry.settings.limits, entry.now());
    if req.iter().count() > limits.headers {
        let text = format!("a request may have at most {} header fields", limits.headers);
        return Err(Refused::new(Code::TooManyHeaders, text));
    }
    let deadline = match header(req, caller::DEADLINE) {
        None => None,
        Some(header) => Some(deadline(&header)?),
    };
    let caller = header(req, caller::CALLER).unwrap_or_else(|| "anonymous".to_string());
    let head = Head { request_id: request_id.to_string(), caller, arrived_at, deadline };
    let body = http::body(req, limits.body, limits.body_time()).await.map_err(|err| match err {
        http::Error::TooLarge(max) => {
            Refused::new(Code::BodyTooLarge, format!("a request body may have at most {max} bytes"))
        }
        http::Error::Timeout => {
            Refused::new(Code::BodyTimeout, "the request body did not arrive in time")
        }
        http::Error::NoRoom => Refused::retryable(
            Code::Overloaded,
            "the bodies of all requests take too much memory",
            NO_ROOM_RETRY_AFTER,
        ),
        err => Refused::new(Code::MalformedRequest, err.to_string()),
    })?;
    Ok((head, body))
}

fn deadline(text: &str) -> Result<Duration, Refused> {
    let value = text.parse().map(Duration::from_millis);
    match value {
        Ok(value) if !value.is_zero() && value <= MAX_DEADLINE => Ok(value),
        _ => {
            let max = MAX_DEADLINE.as_millis();
            let text =
                format!("the header {} must be milliseconds from 1 to {max}", caller::DEADLINE);
            Err(Refused::new(Code::InvalidHeader, text))
        }
    }
}

/// Returns the value of a header, or none if it is missing or empty.
pub fn header(req: &Request, name: &str) -> Option<String> {
    let value = req.header(name)?.as_str().trim();
    (!value.is_empty()).then(|| value.to_string())
}

/// Answers with the addresses that a caller should use, nearest first, without entries that are
/// leaving or unresponsive.
fn entries(entry: &Entry, req: &Request) -> Response {
    let region_param = req.url().query_pairs().find(|(key, _)| key == "region");
    let region =
        region_param.map_or_else(|| entry.settings.place.region.clone(), |(_, v)| v.into_owned());
    let now = entry.now();
    let rows = entry.with_members(|members, _| {
        let rows = members.usable(now, &region).into_iter();
        rows.map(|row| {
            serde_json::json!({
                "address": row.address,
                "region": row.region,
                "data_center": row.data_center,
            })
        })
        .collect::<Vec<_>>()
    });
    if rows.is_empty() {
        let retry_after = Duration::from_secs(1);
        return refuse(
            entry,
            &Refused::retryable(
                Code::Unreachable,
                "no entry accepts new callers; retry later",
                retry_after,
            ),
        );
    }
    let ttl = entry.settings.locate_ttl_ms;
    let mut res = http::json(
        StatusCode::Ok,
        &serde_json::json!({ "region": region, "ttl_ms": ttl, "entries": rows }),
    );
    res.insert_header("cache-control", format!("max-age={}", ttl / 1000));
    res
}

fn models(entry: &Entry) -> Response {
    let current = entry.in_force();
    let data = {
        let engines =
            current.snapshot.services.iter().filter(|service| service.kind == Kind::Engine);
        let mut names = Vec::new();
        for model in engines.flat_map(|service| &service.models) {
            names.push(model.name.clone());
            let adapters = model.adapters.iter();
            names.extend(adapters.map(|adapter| format!("{}:{}", model.name, adapter.name)));
        }
        let rows = names.into_iter();
        rows.map(|id| serde_json::json!({ "id": id, "object": "model", "owned_by": "poplarmux" }))
            .collect::<Vec<_>>()
    };
    http::json(StatusCode::Ok, &serde_json::json!({ "object": "list", "data": data }))
}

/// Answers whether a configuration is in force and this entry is not leaving.
fn ready(entry: &Entry) -> Response {
    let version = entry.version();
    let draining = entry.drain.is_draining();
    let ready = entry.can_serve() && !draining;
    let status = if ready { StatusCode::Ok } else { StatusCode::ServiceUnavailable };
    let body = serde_json::json!({ "ready": ready, "configuration": version, "leaving": draining });
    http::json(status, &body)
}
