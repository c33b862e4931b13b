//! Serves the addresses of daemons to callers, readiness to the platform, and metrics and
//! explanations to operators.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::Timer;
use smol::net::TcpListener;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;

use crate::daemon::Daemon;
use crate::daemon::explain;
use crate::daemon::front::Payload;
use crate::daemon::front::Truncated;
use crate::daemon::link;
use crate::daemon::node;
use crate::daemon::output::Output;

/// How long callers cache an answer. A daemon that stops keeps serving for three times as long,
/// which has to fit into its time to stop.
pub const ANSWER_TTL: Duration = Duration::from_millis(1_500);
/// Idle timeout of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves callers, the platform and operators as long as the daemon runs.
pub async fn serve(daemon: Rc<Daemon>, listener: TcpListener) {
    serve_with(daemon, listener, async |daemon, req| {
        let (head, _) = req.into_parts();
        Ok(respond(&daemon, &head).map(Payload::Complete))
    })
    .await;
}

/// Serves operators as long as the daemon runs: what `serve` does, and explanations.
pub async fn serve_operators(daemon: Rc<Daemon>, listener: TcpListener) {
    serve_with(daemon, listener, async |daemon, req| {
        let (head, _) = req.into_parts();
        let res = match head.uri.path() {
            explain::PATH => explain::respond(&daemon, head.uri.query().unwrap_or_default()),
            _ => respond(&daemon, &head),
        };
        Ok(res.map(Payload::Complete))
    })
    .await;
}

/// Answers requests as long as the daemon runs; an error closes the connection.
pub async fn serve_with(
    daemon: Rc<Daemon>,
    listener: TcpListener,
    respond: impl AsyncFn(Rc<Daemon>, Request<Incoming>) -> Result<Response<Payload>, Truncated>
    + Copy
    + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // No file descriptors are left: accepting again at once would busy-loop.
            Timer::after(Duration::from_millis(20)).await;
            continue;
        };
        let shared = daemon.clone();
        let connection = async move {
            if link::set_socket_options(&stream).is_err() {
                return;
            }
            let output = Output::new(stream, shared.blocked_outputs.clone());
            let service = service_fn(move |req: Request<Incoming>| {
                let shared = shared.clone();
                async move { respond(shared, req).await }
            });
            // An error on the connection only concerns the client.
            let _ = http1::Builder::new()
                .timer(SmolTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(FuturesIo::new(output), service)
                .await;
        };
        daemon.ex.spawn(connection).detach();
    }
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
