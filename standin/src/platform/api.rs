//! The platform's calls over HTTP.

use std::time::Duration;
use std::time::Instant;

use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use poplarmux::edge::http;
use poplarmux::edge::http::Link;
use poplarmux::edge::platform::MAX_VALUE_BYTES;
use poplarmux::edge::platform::Version;
use serde_json::Value;
use serde_json::json;
use smol::future::FutureExt;

use crate::host;
use crate::platform::Call;
use crate::platform::Shared;
use crate::platform::State;
use crate::platform::store::Condition;

/// The longest that a watch may wait.
const WATCH_MAX: Duration = Duration::from_secs(300);

/// Answers one call.
pub(super) async fn handle(shared: &Shared, mut req: Request, link: Link) -> Response {
    let client = host::header(&req, "x-client");
    let state = || shared.state.lock().expect("platform state");
    if state().refuses(client.as_deref(), link.addr) {
        return host::cut(&link);
    }
    shared.gate.pass().await;
    let slow = state().faults.slow;
    if !slow.is_zero() {
        smol::Timer::after(slow).await;
    }
    let path = host::path(&req);
    let path: Vec<&str> = path.iter().map(String::as_str).collect();
    let Some(call) = kind(&req, &path) else {
        return host::refusal(StatusCode::NotFound, "no_such_call", "not a call of the platform");
    };
    if let Err(after) = state().admit(call) {
        let mut res = host::refusal(StatusCode::TooManyRequests, "over_rate", "over the rate");
        res.insert_header("retry-after", after.as_secs_f64().ceil().to_string());
        return res;
    }
    match (call, path.as_slice()) {
        (Call::Instances, _) => host::ok(&state().instances()),
        (Call::Get, [_, kind, name]) => get(&state(), kind, name),
        (Call::List, [_, kind]) => {
            let prefix = host::query(&req, "prefix").unwrap_or_default();
            let state = state();
            let objects = state.store.list(kind, &prefix);
            host::ok(&json!({ "version": state.store.version(), "objects": objects }))
        }
        (Call::Watch, [_, kind]) => watch(shared, &req, kind).await,
        (Call::Put, [_, kind, name]) => match host::read(&mut req).await {
            Err(_) => host::cut(&link),
            Ok(buf) if buf.len() > MAX_VALUE_BYTES => {
                host::refusal(StatusCode::PayloadTooLarge, "too_large", "a value is over 1 MiB")
            }
            Ok(buf) => match serde_json::from_slice(&buf) {
                Ok(value) => update(&mut state(), &req, &link, (kind, name), Some(value)),
                Err(err) => {
                    host::refusal(StatusCode::BadRequest, "malformed_value", &err.to_string())
                }
            },
        },
        (Call::Delete, [_, kind, name]) => update(&mut state(), &req, &link, (kind, name), None),
        _ => host::refusal(StatusCode::NotFound, "no_such_call", "not a call of the platform"),
    }
}

fn kind(req: &Request, path: &[&str]) -> Option<Call> {
    match (req.method(), path) {
        (Method::Get, ["instances"]) => Some(Call::Instances),
        (Method::Get, ["objects", _, _]) => Some(Call::Get),
        (Method::Put, ["objects", _, _]) => Some(Call::Put),
        (Method::Delete, ["objects", _, _]) => Some(Call::Delete),
        (Method::Get, ["objects", _]) if host::query(req, "watch").is_some() => Some(Call::Watch),
        (Method::Get, ["objects", _]) => Some(Call::List),
        _ => None,
    }
}

impl State {
    /// Counts a call and takes it from its rate.
    fn admit(&mut self, call: Call) -> Result<(), Duration> {
        *self.record.calls.entry(call).or_default() += 1;
        let bucket = match call {
            Call::Put | Call::Delete => &mut self.writes,
            Call::Get | Call::List | Call::Watch | Call::Instances => &mut self.reads,
        };
        let taken = bucket.take(Instant::now());
        self.record.limited += u64::from(taken.is_err());
        taken
    }
}

fn get(state: &State, kind: &str, name: &str) -> Response {
    match state.store.get(kind, name) {
        None => host::refusal(StatusCode::NotFound, "no_such_object", "no object of this name"),
        Some(object) => tagged(StatusCode::Ok, &object.value, Some(object.version)),
    }
}

fn update(
    state: &mut State,
    req: &Request,
    link: &Link,
    (kind, name): (&str, &str),
    value: Option<Value>,
) -> Response {
    let Some(condition) = condition(req) else {
        let text = "an update needs if-match or if-none-match";
        return host::refusal(StatusCode::PreconditionRequired, "no_condition", text);
    };
    match state.store.update(kind, name, condition, value) {
        Ok(_) if state.loses() => host::cut(link),
        Ok(version) => tagged(StatusCode::Ok, &json!({ "version": version }), Some(version)),
        Err(present) => {
            let body = json!({ "version": present });
            tagged(StatusCode::PreconditionFailed, &body, present)
        }
    }
}

fn condition(req: &Request) -> Option<Condition> {
    if host::header(req, "if-none-match").as_deref() == Some("*") {
        return Some(Condition::Absent);
    }
    let tag = host::header(req, "if-match")?;
    tag.trim_matches('"').parse().ok().map(Condition::At)
}

async fn watch(shared: &Shared, req: &Request, kind: &str) -> Response {
    let number = |name| host::query(req, name).and_then(|text| text.parse::<u64>().ok());
    let since = number("watch").unwrap_or(0);
    let wait = Duration::from_millis(number("timeout_ms").unwrap_or(0)).min(WATCH_MAX);
    let end = Instant::now() + wait;
    loop {
        let bell = {
            let state = shared.state.lock().expect("platform state");
            match state.store.changes(kind, since) {
                None => {
                    let text = "the history after this version is gone";
                    return host::refusal(StatusCode::Gone, "compacted", text);
                }
                Some(changes) if !changes.is_empty() => {
                    return host::ok(&json!({ "changes": changes }));
                }
                Some(_) => state.store.bell(),
            }
        };
        let rung = async {
            let _ = bell.recv().await;
            true
        };
        let late = async {
            smol::Timer::at(end).await;
            false
        };
        if !rung.or(late).await {
            return host::ok(&json!({ "changes": [] }));
        }
        shared.gate.pass().await;
    }
}

fn tagged(status: StatusCode, body: &Value, version: Option<Version>) -> Response {
    let mut res = http::json(status, body);
    if let Some(version) = version {
        res.insert_header("etag", format!("\"{version}\""));
    }
    res
}
