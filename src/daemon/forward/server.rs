//! Sends the requests of daemons that don't reach an endpoint to that endpoint.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;

use super::CONFIRMED;
use super::CONTACT_PATH;
use super::Contact;
use super::ON_TRIAL;
use super::QUARANTINED;
use super::TARGET;
use super::Target;
use super::UNDELIVERED;
use super::is_undelivered;
use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::connection;
use crate::daemon::foreign;
use crate::daemon::front::Payload;
use crate::daemon::front::Truncated;
use crate::daemon::gate;
use crate::daemon::gate::Call;
use crate::daemon::gauge::Forwarding;
use crate::daemon::incarnation;
use crate::daemon::intake;
use crate::daemon::intake::HeldMessage;
use crate::daemon::intake::Owner;
use crate::daemon::link;
use crate::daemon::link::Link;
use crate::daemon::liveness;
use crate::daemon::liveness::Connection;
use crate::daemon::quarantine;
use crate::daemon::quarantine::Run;
use crate::daemon::segments::Segments;
use crate::daemon::send;
use crate::daemon::stall;
use crate::daemon::statement;
use crate::daemon::statement::Source;
use crate::daemon::trial;
use crate::daemon::trial::Trial;
use crate::decide::body::Cutoff;
use crate::decide::body::Framing;
use crate::decide::contact::Path;
use crate::decide::suspects::Content;
use crate::edge::dialect::Answer;
use crate::edge::dialect::Attempt;

/// Headers that concern one connection only.
const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Time limit for opening a connection for another daemon, whose caller has waited before.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a request without a deadline may take.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(60);

/// Returns whether a request is to be passed on.
pub fn is_forwarded(headers: &HeaderMap) -> bool {
    headers.contains_key(TARGET)
}

/// Counts a request as open while it is passed on, so that this daemon does not end before.
struct OpenRequest(Rc<Daemon>);

impl OpenRequest {
    fn new(daemon: &Rc<Daemon>) -> Self {
        daemon.open_requests.set(daemon.open_requests.get() + 1);
        OpenRequest(daemon.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// Answers a request that is to be passed on, or a question about an endpoint. An error closes the
/// connection: the request may have run.
pub async fn respond(
    daemon: &Rc<Daemon>,
    connection: &connection::Connection,
    req: Request<Incoming>,
) -> Result<Response<Payload>, Truncated> {
    let name = daemon.dialect.request_id();
    let id = req.headers().get(&name).cloned();
    let mut res = answer(daemon, connection, req).await?;
    // An endpoint's response names the request itself.
    if let (true, Some(id)) = (is_undelivered(res.headers()), id) {
        res.headers_mut().insert(name, id);
    }
    Ok(res)
}

async fn answer(
    daemon: &Rc<Daemon>,
    connection: &connection::Connection,
    req: Request<Incoming>,
) -> Result<Response<Payload>, Truncated> {
    let (mut head, body) = req.into_parts();
    let Some(target) = Target::take(&mut head.headers) else {
        return Ok(undelivered("malformed"));
    };
    let Ok(caller) = daemon.dialect.parse_request(&head) else {
        if head.uri.path() == CONTACT_PATH {
            let contact: &str = test_contact(daemon, &target).await.into();
            return Ok(Response::new(Payload::Complete(Bytes::from(contact))));
        }
        return Ok(undelivered("malformed"));
    };
    // The time in the socket's buffer counts, as it does for callers' requests.
    let arrived_at = daemon.lag.get().earliest_arrival(clock::now());
    let deadline = arrived_at + caller.timeout.unwrap_or(DEFAULT_TIME_LIMIT);
    let parts = caller.parts.iter().map(|part| part.id);
    let content = Content::new(target.fingerprint, &caller.id, parts);
    let _open = OpenRequest::new(daemon);
    let limits = daemon.config.borrow().as_ref().map(|config| config.limits);
    let max = limits.map_or(0, |limits| limits.max_body_bytes);
    let held = HeldMessage::request(daemon, Owner::Body);
    let time_left = deadline.saturating_sub(clock::now());
    let body = intake::receive(connection, &held, body, max, time_left).await;
    connection.on_received_all();
    let res = match body {
        Ok(body) => {
            let req = Request::from_parts(head, body);
            pass_on(daemon, &caller.id, target, &content, deadline, req).await
        }
        Err(_) => Ok(undelivered("body")),
    };
    daemon.gauges.record_forwarding(match &res {
        Ok(res) if is_undelivered(res.headers()) => Forwarding::Undelivered,
        Ok(_) => Forwarding::Answered,
        Err(Truncated) => Forwarding::Indeterminate,
    });
    res
}

async fn pass_on(
    daemon: &Rc<Daemon>,
    id: &str,
    target: Target,
    content: &Content,
    deadline: Duration,
    mut req: Request<Segments>,
) -> Result<Response<Payload>, Truncated> {
    let open = OpenRequest::new(daemon);
    let Ok(trial) = trial::begin(daemon, content) else {
        return Ok(undelivered(ON_TRIAL));
    };
    remove_hop_headers(req.headers_mut());
    let name = daemon.dialect.request_id();
    let mut reused = true;
    loop {
        let mut link = match connect(daemon, &target, deadline, reused.then_some(id)).await {
            Ok(link) => link,
            Err(reason) => return Ok(undelivered(reason)),
        };
        let remaining = deadline.saturating_sub(clock::now());
        if let Err(closed) = gate::check(daemon, &target.key, Call::Request) {
            return Ok(undelivered(closed.into()));
        }
        let attempt = Attempt {
            endpoint: &target.key.id,
            remaining: Some(remaining),
            priority: None,
            last_event: None,
            team: None,
        };
        if remaining.is_zero()
            || daemon.dialect.set_attempt_headers(req.headers_mut(), &attempt).is_err()
        {
            return Ok(undelivered("deadline"));
        }
        if quarantine::refusal(daemon, content).is_some() {
            return Ok(undelivered(QUARANTINED));
        }
        let sent_at = clock::now();
        let liveness = observe_liveness(daemon, &target);
        let result = {
            let timeout = link::fail_after(remaining, link::Error::Timeout);
            smol::future::or(link.send_named(req.clone(), &name, remaining), timeout).await
        };
        foreign::record(daemon, &target.key, id, &link, sent_at);
        match result {
            Ok(res) => {
                let exchange = Exchange {
                    daemon: daemon.clone(),
                    target,
                    link: Some(link),
                    content: content.clone(),
                    sent_at,
                    received_at: clock::now(),
                    liveness,
                    deadline,
                    cutoff: Cutoff::new(deadline),
                    _open: open,
                    _trial: trial,
                };
                let is_confirmed = exchange.target.confirm
                    && res.status().is_success()
                    && incarnation::is_current(daemon, &exchange.target.key).await;
                let mut res = exchange.pass_back(res);
                if is_confirmed {
                    res.headers_mut().insert(CONFIRMED, HeaderValue::from_static("1"));
                }
                return Ok(res);
            }
            Err(link::Error::Unsent) if reused => reused = false,
            Err(err) if err.is_unsent() || link.written_at().is_none() => {
                return Ok(undelivered(err.into()));
            }
            Err(err) => {
                if err == link::Error::Broken {
                    let run = Run { content, sent_at, answered_at: None };
                    quarantine::on_broken(daemon, &target.key, run);
                } else if err == link::Error::Timeout && !link.has_received() {
                    stall::on_given_up(daemon, &target.key, sent_at);
                }
                return Err(Truncated);
            }
        }
    }
}

/// Returns a connection to an endpoint, or why there is none. Only a connection for a request may have
/// carried others.
async fn connect(
    daemon: &Rc<Daemon>,
    target: &Target,
    deadline: Duration,
    request: Option<&str>,
) -> Result<Link, &'static str> {
    let now = clock::now();
    let addr = {
        let fleet = daemon.fleet.borrow();
        let row = fleet.get(&target.key).ok_or("endpoint_gone")?;
        // A request that this daemon would have to pass on itself goes to another daemon.
        if row.path() != Path::Direct || !row.is_usable(now) {
            return Err("no_contact");
        }
        row.instance.address
    };
    let pooled = request.and_then(|id| daemon.pool.borrow_mut().take_for(addr, id.as_bytes()));
    match pooled {
        Some(link) => Ok(link),
        None => {
            let limit = CONNECT_TIMEOUT.min(deadline.saturating_sub(now));
            send::connect(daemon, &target.key, addr, limit).await.map_err(Into::into)
        }
    }
}

/// Opens a new connection to an endpoint, and returns whether that succeeds.
async fn test_contact(daemon: &Rc<Daemon>, target: &Target) -> Contact {
    match connect(daemon, target, clock::now() + DEFAULT_TIME_LIMIT, None).await {
        Ok(link) => {
            daemon.pool.borrow_mut().put(link, None);
            Contact::Open
        }
        Err(reason) if reason == <&str>::from(link::Error::Refused) => Contact::Refused,
        Err(_) => Contact::Unknown,
    }
}

/// Returns a connection that shows a crash of the endpoint, where one is kept.
fn observe_liveness(daemon: &Rc<Daemon>, target: &Target) -> Option<Connection> {
    if daemon.is_engine(&target.key) {
        return None;
    }
    liveness::before_request(daemon, &target.key)
}

/// Returns the response that says that no part of the request has reached the endpoint.
fn undelivered(reason: &'static str) -> Response<Payload> {
    let mut res = Response::new(Payload::Complete(Bytes::new()));
    *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    res.headers_mut().insert(UNDELIVERED, HeaderValue::from_static(reason));
    res
}

/// Removes what concerns one connection only.
fn remove_hop_headers(headers: &mut HeaderMap) {
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: Vec<String> =
        named.flat_map(|value| value.split(',')).map(|name| name.trim().to_string()).collect();
    for name in HOP_BY_HOP.into_iter().chain(named.iter().map(String::as_str)) {
        headers.remove(name);
    }
}

/// A request that an endpoint has begun to answer.
struct Exchange {
    daemon: Rc<Daemon>,
    target: Target,
    /// The connection; none once the response has ended.
    link: Option<Link>,
    /// What the request holds.
    content: Content,
    sent_at: Duration,
    /// When the head of the response was received.
    received_at: Duration,
    liveness: Option<Connection>,
    deadline: Duration,
    /// When data that is always ready is no longer passed back.
    cutoff: Cutoff,
    _open: OpenRequest,
    _trial: Option<Trial>,
}

impl Exchange {
    /// Returns the run that the endpoint has begun to answer.
    fn run(&self) -> Run<'_> {
        let answered_at = Some(self.received_at);
        Run { content: &self.content, sent_at: self.sent_at, answered_at }
    }

    /// Returns the response for the daemon that sent the request.
    fn pass_back(mut self, res: Response<Incoming>) -> Response<Payload> {
        let framing = link::framing(&res);
        let (parts, body) = res.into_parts();
        let answer = self.daemon.dialect.parse_response(&parts);
        self.daemon.fleet.borrow_mut().record_received(clock::now());
        if (answer.signed || answer.not_run) && !answer.is_from_other(&self.target.key.id) {
            let (key, source) = (&self.target.key, Source::Request);
            statement::observe(&self.daemon, key, parts.status, &parts.headers, source);
        }
        let mut headers = parts.headers;
        remove_hop_headers(&mut headers);
        headers.remove(UNDELIVERED);
        headers.remove(CONFIRMED);
        // The server asks for no more parts than the length of a body needs.
        if framing == Framing::Length && body.is_end_stream() {
            self.release(&answer);
        }
        let state = Some((self, body, answer));
        let frames = smol::stream::unfold(state, move |state| async move {
            let (mut exchange, mut body, answer) = state?;
            match exchange.next(&mut body, &answer, framing).await {
                Some(Ok(frame)) => Some((Ok(frame), Some((exchange, body, answer)))),
                Some(Err(err)) => Some((Err(err), None)),
                None => None,
            }
        });
        let mut res = Response::new(Payload::Frames(Box::pin(frames)));
        *res.status_mut() = parts.status;
        *res.headers_mut() = headers;
        res
    }

    /// Returns the next part of the response; none at its end.
    async fn next(
        &mut self,
        body: &mut Incoming,
        answer: &Answer,
        framing: Framing,
    ) -> Option<Result<Frame<Bytes>, Truncated>> {
        let frame = async {
            match body.frame().await {
                Some(Ok(frame)) => Some(Ok(frame.into_data().unwrap_or_default())),
                Some(Err(_)) => Some(Err(link::Error::Broken)),
                None => None,
            }
        };
        let remaining = self.deadline.saturating_sub(clock::now());
        let timeout = async {
            smol::Timer::after(remaining).await;
            Some(Err(link::Error::Timeout))
        };
        match smol::future::or(frame, timeout).await {
            Some(Ok(_)) if self.cutoff.is_due(clock::now()) => self.abort().await,
            Some(Ok(data)) => {
                self.daemon.fleet.borrow_mut().record_received(clock::now());
                if framing == Framing::Length && body.is_end_stream() {
                    self.release(answer);
                }
                Some(Ok(Frame::data(data)))
            }
            Some(Err(err)) => {
                if err == link::Error::Broken {
                    quarantine::on_broken(&self.daemon, &self.target.key, self.run());
                }
                self.abort().await
            }
            None if framing == Framing::Close && self.has_crashed().await => self.abort().await,
            None => {
                self.release(answer);
                None
            }
        }
    }

    /// Returns the connection to the pool once the response is complete.
    fn release(&mut self, answer: &Answer) {
        if let Some(link) = self.link.take() {
            send::return_to_pool(&self.daemon, &self.target.key, link, answer.idle_timeout);
        }
    }

    /// Returns whether the endpoint has crashed that has just ended its response by closing the
    /// connection.
    async fn has_crashed(&mut self) -> bool {
        let liveness = self.liveness.take();
        let key = &self.target.key;
        let liveness = liveness.or_else(|| liveness::since(&self.daemon, key, self.sent_at));
        let remaining = self.deadline.saturating_sub(clock::now());
        quarantine::has_crashed_after(&self.daemon, key, self.run(), liveness, remaining).await
    }

    /// Ends the response as incomplete.
    async fn abort(&mut self) -> Option<Result<Frame<Bytes>, Truncated>> {
        self.link = None;
        // The server drops what it has not written yet when the body fails.
        smol::future::yield_now().await;
        Some(Err(Truncated))
    }
}
