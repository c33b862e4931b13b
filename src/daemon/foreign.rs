//! Records responses that an endpoint sent where that to another request was due.
//!
//! Nothing in them is believed but that the endpoint is leaving: whether a request ran, a load, a
//! limit and a pause may all be of an earlier time, while an endpoint that leaves does not come back.

use std::time::Duration;

use http::Response;
use http::StatusCode;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::journal::Event;
use crate::daemon::link::Link;
use crate::daemon::statement;
use crate::daemon::statement::Source;
use crate::edge::response_filter::Head;
use crate::table::instance::Key;

/// Records the responses to others that were received since a request was sent.
pub fn record(daemon: &Daemon, key: &Key, request: &str, link: &Link, sent_at: Duration) {
    let (heads, received_at) = link.discarded();
    let took = received_at.unwrap_or_else(clock::now).saturating_sub(sent_at);
    for Head { status, headers } in heads {
        let mut res = Response::new(());
        (*res.status_mut(), *res.headers_mut()) = (status, headers);
        let (parts, ()) = res.into_parts();
        let answer = daemon.dialect.parse_response(&parts);
        if (answer.signed || answer.not_run) && !answer.is_from_other(&key.id) {
            statement::observe_leaving(daemon, key, &parts.headers, Source::Request);
        }
        log(daemon, key, request, link, answer.id, status, answer.not_run, took);
    }
}

/// Logs a response that does not name the request that it came for.
#[expect(clippy::too_many_arguments, reason = "a line has all that is known of a response")]
pub fn log(
    daemon: &Daemon,
    key: &Key,
    request: &str,
    link: &Link,
    named: Option<String>,
    status: StatusCode,
    not_run: bool,
    took: Duration,
) {
    daemon.gauges.record_foreign(named.is_some(), not_run);
    daemon.note(&Event::Foreign {
        request: request.to_string(),
        endpoint: key.id.clone(),
        connection: link.number,
        before: link.requests.saturating_sub(1),
        named,
        status: status.as_u16(),
        not_run,
        took: took.as_millis() as u64,
    });
}
