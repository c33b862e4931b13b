//! The daemon's own answers to callers: refusals and failures.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::daemon::Daemon;
use crate::daemon::admission::Refusal;
use crate::daemon::clock;
use crate::daemon::front::Payload;
use crate::daemon::gauge::Admission;
use crate::daemon::journal::Event;
use crate::edge::dialect::Caller;
use crate::table::team::Key;
use crate::table::team::Team;

/// Returns an error response with a JSON body.
pub fn error_response(status: StatusCode, reason: &str) -> Response<Payload> {
    let body = serde_json::json!({ "error": { "code": reason } }).to_string();
    let mut res = Response::new(Payload::Complete(Bytes::from(body)));
    *res.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res
}

/// Returns an error response with a retry-after header.
fn refusal_response(status: StatusCode, reason: &str, retry_after: Duration) -> Response<Payload> {
    let mut res = error_response(status, reason);
    let text = format!("{:.2}", retry_after.as_secs_f64().max(0.01));
    if let Ok(value) = HeaderValue::from_str(&text) {
        res.headers_mut().insert(header::RETRY_AFTER, value);
    }
    res
}

/// Answers a request on the daemon's own behalf.
pub struct Responder<'a> {
    /// What the request states about itself.
    pub caller: &'a Caller,
    /// Name of its route; empty if none was found.
    pub route: &'a str,
    /// Its service, once that is chosen.
    pub service: Option<&'a str>,
    /// Name of the team that sent it, if known.
    pub team: Option<&'a str>,
    /// Version of the configuration that was applied; 0 if there is none.
    pub config_version: u64,
    /// When it arrived.
    pub arrived_at: Duration,
}

impl Responder<'_> {
    /// Answers that the request's key is missing, unknown or withdrawn.
    pub fn unknown_key(&self, daemon: &Daemon) -> Response<Payload> {
        daemon.note(&Event::Unknown {
            request: self.caller.id.clone(),
            route: self.route.to_string(),
            key: self.caller.key.as_ref().map(Key::fingerprint),
            version: self.config_version,
        });
        daemon.gauges.record_request(None, Admission::UnknownKey);
        error_response(StatusCode::UNAUTHORIZED, "unknown_key")
    }

    /// Answers that the team's quota is used up: the request has not run and will not.
    pub fn over_quota(
        &self,
        daemon: &Daemon,
        team: Option<&Team>,
        retry_after: Duration,
    ) -> Response<Payload> {
        let team = team.map(|team| team.name.as_str());
        daemon.note(&Event::OverQuota {
            request: self.caller.id.clone(),
            route: self.route.to_string(),
            team: team.unwrap_or_default().to_string(),
            tokens: self.caller.total_tokens,
            retry_after: retry_after.as_millis() as u64,
            waited: self.waited_ms(),
            version: self.config_version,
        });
        daemon.gauges.record_request(team, Admission::OverQuota);
        refusal_response(StatusCode::TOO_MANY_REQUESTS, "over_quota", retry_after)
    }

    /// Answers that the request has not run and will not.
    pub fn refused(&self, daemon: &Daemon, refusal: &Refusal) -> Response<Payload> {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        self.log_refused(daemon, status, refusal);
        refusal_response(status, refusal.reason, refusal.retry_after)
    }

    /// Answers that the request failed and may have run.
    pub fn failed(
        &self,
        daemon: &Daemon,
        status: StatusCode,
        reason: &'static str,
    ) -> Response<Payload> {
        self.log_refused(daemon, status, &Refusal::new(reason, Duration::ZERO));
        error_response(status, reason)
    }

    fn log_refused(&self, daemon: &Daemon, status: StatusCode, refusal: &Refusal) {
        daemon.note(&Event::Refused {
            request: self.caller.id.clone(),
            route: self.route.to_string(),
            service: self.service.map(str::to_string),
            team: self.team.map(str::to_string),
            model: self.caller.model.clone(),
            adapter: self.caller.adapter.clone(),
            status: status.as_u16(),
            retry_after: refusal.retry_after.as_millis() as u64,
            reason: refusal.reason.to_string(),
            lack: refusal.shortage.map(Into::into),
            waited: self.waited_ms(),
            version: self.config_version,
        });
    }

    /// Returns the time since the request arrived, in milliseconds.
    fn waited_ms(&self) -> u64 {
        clock::now().saturating_sub(self.arrived_at).as_millis() as u64
    }
}
