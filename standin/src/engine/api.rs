//! The engine's calls over HTTP.

use std::time::Duration;
use std::time::Instant;

use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use poplarmux::edge::endpoint;
use poplarmux::edge::endpoint::Order;
use poplarmux::edge::http;
use poplarmux::edge::http::Link;
use poplarmux::entry::pipe;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::engine::Engine;
use crate::engine::batch::Run;
use crate::engine::fault;
use crate::engine::fault::Command;
use crate::engine::memory::Verdict;
use crate::engine::text;
use crate::engine::text::Ask;
use crate::host;

/// How long after an order its double is applied.
const DOUBLE_AFTER: Duration = Duration::from_millis(20);

/// Prefix blocks to move between engines.
#[derive(Debug, Serialize, Deserialize)]
struct Blocks {
    blocks: Vec<u64>,
}

/// Answers one call.
pub(super) async fn handle(engine: &Engine, mut req: Request, link: Link) -> Response {
    let path = host::path(&req);
    let path: Vec<&str> = path.iter().map(String::as_str).collect();
    if path == ["control"] {
        return control(engine, &mut req).await;
    }
    engine.shared.gate.pass().await;
    let mut res = match (req.method(), path.as_slice()) {
        (Method::Post, ["v1", "chat", "completions"] | ["v1", "completions"]) => {
            complete(engine, &mut req, link).await
        }
        (Method::Delete, ["attempts", attempt]) => cancel(engine, attempt),
        (Method::Post, ["orders"]) => match host::parse::<Order>(&mut req).await {
            Ok(order) => orders(engine, order, &link).await,
            Err(res) => res,
        },
        (Method::Get, ["report"]) => host::ok(&engine.state().late_report()),
        (Method::Get, ["cache_events"]) => {
            let since = host::query(&req, "since").and_then(|text| text.parse().ok());
            let events = engine.state().cache.events(since.unwrap_or(0));
            host::ok(&json!({ "events": events }))
        }
        (Method::Post, ["kv", "export"]) => match host::parse::<Blocks>(&mut req).await {
            Ok(asked) => host::ok(&Blocks { blocks: engine.state().cache.held(&asked.blocks) }),
            Err(res) => res,
        },
        (Method::Post, ["kv", "import"]) => match host::parse::<Blocks>(&mut req).await {
            Ok(given) => {
                engine.state().cache.store(&given.blocks);
                host::ok(&json!({ "stored": given.blocks.len() }))
            }
            Err(res) => res,
        },
        _ => host::refusal(StatusCode::NotFound, "no_such_call", "not a call of an engine"),
    };
    let state = engine.state();
    let load = format!("{}/{}", state.running.len(), state.waiting.len());
    res.insert_header(endpoint::LOAD, load);
    if state.faults.leaving.is_some() {
        res.insert_header(endpoint::PRESENCE, "leaving");
    }
    res
}

/// Commands pass every fault, so that faults can be ended.
async fn control(engine: &Engine, req: &mut Request) -> Response {
    if req.method() == Method::Post {
        match host::parse::<Command>(req).await {
            Ok(command) => engine.tell(command),
            Err(res) => return res,
        }
    }
    host::ok(&engine.record())
}

async fn complete(engine: &Engine, req: &mut Request, link: Link) -> Response {
    let buf = match host::read(req).await {
        Ok(buf) => buf,
        Err(_) => return host::cut(&link),
    };
    let body = String::from_utf8_lossy(&buf).into_owned();
    let ask: Ask = match serde_json::from_str(&body) {
        Ok(ask) => ask,
        Err(err) => {
            return host::refusal(StatusCode::BadRequest, "malformed_body", &err.to_string());
        }
    };
    let mut state = engine.state();
    if state.faults.refuses() {
        state.record.refused += 1;
        let mut res = host::refusal(StatusCode::ServiceUnavailable, "leaving", "takes no new work");
        res.insert_header("retry-after", "1");
        return res;
    }
    let (model, adapter) = ask.target();
    if !state.memory.serves(&model, adapter.as_deref()) {
        state.record.refused += 1;
        return host::refusal(StatusCode::NotFound, "not_resident", "the model is not resident");
    }
    let number = |name| host::header(req, name).and_then(|text| text.parse::<u64>().ok());
    let prompt = ask.text();
    let attempt = host::header(req, endpoint::ATTEMPT).unwrap_or_default();
    state.arrivals += 1;
    let arrival = state.arrivals;
    let (feed, answer) = pipe::pair();
    let running = state.running.iter().chain(&state.waiting);
    let other = running.map(|run| run.attempt.clone()).find(|other| *other != attempt);
    let run = Run {
        prefix: text::prefix(&ask.model, &prompt),
        seed: text::seed(&ask.model, &prompt),
        next: number(endpoint::RESUME_FROM).unwrap_or(0),
        total: ask.tokens(),
        sent: 0,
        priority: number(endpoint::PRIORITY).unwrap_or(0) as u32,
        arrival,
        ready: Instant::now(),
        other: other.unwrap_or_else(|| "another".to_string()),
        stop: None,
        foreign: None,
        attempt,
        model,
        adapter,
        body,
        feed,
        link,
    };
    state.waiting.push(run);
    drop(state);
    // At once where there is room: what is only on its way into the batch does not wait.
    engine.fill();
    engine.ring();
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(Body::from_reader(answer, None));
    res.insert_header("content-type", "text/event-stream");
    res
}

fn cancel(engine: &Engine, attempt: &str) -> Response {
    let mut state = engine.state();
    state.record.cancels.push(attempt.to_string());
    let state = &mut *state;
    for list in [&mut state.running, &mut state.waiting] {
        if let Some(at) = list.iter().position(|run| run.attempt == attempt) {
            let run = list.swap_remove(at);
            run.link.close();
            state.record.tokens += run.sent;
            return host::ok(&json!({ "cancelled": true }));
        }
    }
    host::refusal(StatusCode::NotFound, "no_such_attempt", "neither running nor waiting")
}

async fn orders(engine: &Engine, order: Order, link: &Link) -> Response {
    let (lost, late, double, unanswered) = {
        let mut state = engine.state();
        state.record.orders.push(order.clone());
        let faults = &mut state.faults;
        let lost = fault::take(&mut faults.lose);
        let late = fault::take(&mut faults.delay.0).then_some(faults.delay.1);
        let double = fault::take(&mut faults.double);
        (lost, late, double, fault::take(&mut faults.lose_answers))
    };
    if lost {
        return host::cut(link);
    }
    if let Some(late) = late {
        smol::Timer::after(late).await;
        engine.shared.gate.pass().await;
    }
    let verdict = engine.apply(&order);
    if double {
        let engine = engine.clone();
        smol::spawn(async move {
            smol::Timer::after(DOUBLE_AFTER).await;
            engine.state().record.orders.push(order.clone());
            engine.apply(&order);
        })
        .detach();
    }
    if unanswered {
        return host::cut(link);
    }
    match verdict {
        Verdict::Started(_) | Verdict::Done => {
            http::json(StatusCode::Accepted, &json!({ "accepted": true }))
        }
        Verdict::Fenced => {
            host::refusal(StatusCode::Conflict, "old_fence", "a newer fence is known")
        }
        Verdict::Full => {
            host::refusal(StatusCode::InsufficientStorage, "no_memory", "does not fit")
        }
        Verdict::Absent => host::refusal(StatusCode::NotFound, "absent", "names what is not there"),
    }
}
