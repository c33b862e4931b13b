//! Serves the addresses of daemons to callers, readiness to the platform, and metrics and
//! explanations to operators.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http::request;
use smol::net::TcpListener;

use crate::daemon::Daemon;
use crate::daemon::connection;
use crate::daemon::explain;
use crate::daemon::front::Payload;
use crate::daemon::node;
use crate::decide::connection::Port;

/// How long callers cache an answer. A daemon that stops keeps serving for three times as long,
/// which has to fit into its time to stop.
pub const ANSWER_TTL: Duration = Duration::from_millis(1_500);
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves callers or the platform as long as the daemon runs.
pub async fn serve(daemon: Rc<Daemon>, port: Port, listener: TcpListener) {
    connection::serve(daemon, port, listener, async |daemon, _, req| {
        let (head, _) = req.into_parts();
        Ok(respond(&daemon, &head).map(Payload::Complete))
    })
    .await;
}

/// Serves operators as long as the daemon runs: what `serve` does, and explanations.
pub async fn serve_operators(daemon: Rc<Daemon>, listener: TcpListener) {
    connection::serve(daemon, Port::Operators, listener, async |daemon, _, req| {
        let (head, _) = req.into_parts();
        let res = match head.uri.path() {
            explain::PATH => explain::respond(&daemon, head.uri.query().unwrap_or_default()),
            _ => respond(&daemon, &head),
        };
        Ok(res.map(Payload::Complete))
    })
    .await;
}

fn respond(daemon: &Daemon, head: &request::Parts) -> Response<Bytes> {
    if daemon.dialect.is_readiness_check(head) {
        let ready = daemon.ready();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return response(status, Bytes::new());
    }
    if let Some(lookup) = daemon.dialect.parse_lookup(head) {
        let addresses = node::addresses(daemon, lookup.region.as_ref());
        if addresses.is_empty() {
            return response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        }
        let ttl = ANSWER_TTL.min(daemon.settings.max_directory_ttl);
        return response(StatusCode::OK, daemon.dialect.lookup_body(&addresses, ttl));
    }
    if head.uri.path() == METRICS_PATH {
        return response(StatusCode::OK, Bytes::from(daemon.gauges.text(daemon)));
    }
    response(StatusCode::NOT_FOUND, Bytes::new())
}

/// Returns a JSON response.
pub fn response(status: StatusCode, body: Bytes) -> Response<Bytes> {
    let json = HeaderValue::from_static("application/json");
    let mut res = Response::new(body);
    *res.status_mut() = status;
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res
}
