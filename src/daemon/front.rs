//! Serves callers' requests, from the socket to the final answer.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::Version;
use http::header;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol::stream::Stream;
use smol::stream::StreamExt;
use xxhash_rust::xxh3::Xxh3;

use crate::daemon::Daemon;
use crate::daemon::admission;
use crate::daemon::admission::Refusal;
use crate::daemon::admission::Spec;
use crate::daemon::broker::Terms;
use crate::daemon::clock;
use crate::daemon::connection;
use crate::daemon::connection::Connection;
use crate::daemon::gauge::Admission;
use crate::daemon::intake;
use crate::daemon::intake::HeldMessage;
use crate::daemon::intake::Owner;
use crate::daemon::journal::Event;
use crate::daemon::link;
use crate::daemon::origin;
use crate::daemon::quarantine;
use crate::daemon::quota;
use crate::daemon::quota::Charge;
use crate::daemon::read_ahead;
use crate::daemon::read_ahead::ReadAhead;
use crate::daemon::reply::Responder;
use crate::daemon::reply::error_response;
use crate::daemon::retry;
use crate::daemon::segments::Segments;
use crate::daemon::send;
use crate::daemon::send::Outcome;
use crate::daemon::send::Whole;
use crate::daemon::stream::Forwarder;
use crate::daemon::trial::Trial;
use crate::decide::connection::Port;
use crate::decide::origin::Origin;
use crate::decide::shutdown;
use crate::decide::suspects::Content;
use crate::edge::caller;
use crate::edge::dialect::Caller;
use crate::edge::dialect::Part;
use crate::table::Fingerprint;
use crate::table::RequestId;
use crate::table::SoftwareVersion;
use crate::table::StreamId;
use crate::table::instance;
use crate::table::routing::Config;
use crate::table::routing::Kind;
use crate::table::routing::Route;
use crate::table::team::Team;

/// Endpoints tried for one request, including those that did not run it.
pub const MAX_ENDPOINTS_TRIED: u32 = 4;
/// Retry-after of a daemon that has just started, and has no configuration or no list of daemons
/// yet.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry-after once the request's time or the retry budget is used up: the budget's window has
/// advanced a little by then.
const EXHAUSTED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry-after once endpoints have rejected the request: updates of their loads have arrived by
/// then.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Interval at which waiting requests are checked during a shutdown.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Retry-after for a caller that has to use another daemon: at once.
pub const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Error of an answer that ended before it was complete; the caller's connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer ended before it was complete")
    }
}

impl std::error::Error for Truncated {}

/// An answer as it arrives.
pub type Frames = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, Truncated>>>>;

/// Body of an answer to a caller.
pub enum Payload {
    /// A complete body.
    Complete(Bytes),
    /// Frames as they arrive from the endpoint.
    Frames(Frames),
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Payload::Complete(bytes) if bytes.is_empty() => Poll::Ready(None),
            Payload::Complete(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Payload::Frames(frames) => frames.as_mut().poll_next(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Payload::Complete(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Payload::Complete(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Payload::Frames(_) => SizeHint::default(),
        }
    }
}

/// A request of a caller with everything that was decided for it.
pub struct Job {
    /// Unique among this daemon's requests.
    pub number: RequestId,
    /// What the request states about itself.
    pub caller: Caller,
    /// Its route.
    pub route: Rc<Route>,
    /// What it requires of an endpoint.
    pub spec: Rc<Spec>,
    /// Version of the configuration by which it was admitted.
    pub config_version: u64,
    /// The team that sent it, if the route requires a key.
    pub team: Option<Rc<Team>>,
    /// What it counts against the team's quota.
    pub charge: Option<Charge>,
    /// What it holds that may crash endpoints.
    pub content: Content,
    /// The stream that it begins or takes up, if it is for one.
    pub stream: StreamId,
    /// Version of the software that may answer it; set once its caller has events of a stream.
    pub software: OnceCell<SoftwareVersion>,
    /// When it arrived.
    pub arrived_at: Duration,
    /// When its final answer is due at the latest.
    pub deadline: Duration,
    /// Method, forwarded unchanged.
    pub method: Method,
    /// URI, forwarded unchanged.
    pub uri: Uri,
    /// Headers, forwarded together with those that each attempt sets.
    pub headers: HeaderMap,
    /// Body, forwarded unchanged.
    pub body: Segments,
    /// Counts the body as held.
    pub held: HeldMessage,
    /// Whether an endpoint may have run it, or may run it yet.
    pub may_have_run: Cell<bool>,
    /// The last attempt, if it was given up and its endpoint may not have read it.
    pub unread: Cell<Option<retry::Unread>>,
    /// Lets no copy of it run elsewhere while it is on trial.
    pub trial: RefCell<Option<Trial>>,
}

impl Job {
    /// Returns the name of the team that sent it.
    fn team_name(&self) -> Option<&str> {
        self.team.as_ref().map(|team| team.name.as_str())
    }

    /// Returns what the daemon's own answers need of the job.
    fn responder(&self) -> Responder<'_> {
        let (caller, route) = (&self.caller, self.route.name.as_str());
        Responder {
            caller,
            route,
            service: Some(&self.spec.service),
            team: self.team_name(),
            config_version: self.config_version,
            arrived_at: self.arrived_at,
        }
    }
}

/// Counts a request as open, and logs it if its caller leaves before the final answer.
pub struct Tracker {
    daemon: Rc<Daemon>,
    request: String,
    arrived_at: Duration,
    /// The caller's connection.
    connection: Rc<Connection>,
    /// Whether the request has its final answer.
    pub answered: bool,
    /// Whether this daemon has ended it: its answer held too much, or the process is about to end.
    is_ended: Rc<Cell<bool>>,
}

impl Drop for Tracker {
    fn drop(&mut self) {
        self.daemon.open_requests.set(self.daemon.open_requests.get() - 1);
        if !self.answered && !self.is_ended.get() {
            let took = clock::now().saturating_sub(self.arrived_at).as_millis() as u64;
            self.daemon.note(&Event::Left { request: self.request.clone(), took });
        }
    }
}

/// Accepts callers as long as the daemon runs.
pub async fn serve(daemon: Rc<Daemon>, listener: TcpListener) {
    connection::serve(daemon, Port::Callers, listener, async |daemon, caller, req| {
        Ok(respond(daemon, caller, req).await)
    })
    .await;
}

async fn respond(
    daemon: Rc<Daemon>,
    caller: Rc<Connection>,
    req: Request<Incoming>,
) -> Response<Payload> {
    let has_chunks = req.version() > Version::HTTP_10;
    let mut res = handle(&daemon, &caller, req).await;
    if let (false, Payload::Frames(frames)) = (has_chunks, res.body_mut()) {
        let unguarded = std::mem::replace(frames, Box::pin(smol::stream::empty()));
        *frames = reset_unless_complete(caller.stream().clone(), unguarded);
    }
    if daemon.shutting_down.get() {
        res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    res
}

/// Makes the kernel reset the caller's connection if it is closed before the last frame. To a caller
/// without chunks the end of the connection is the end of the answer.
fn reset_unless_complete(caller: TcpStream, frames: Frames) -> Frames {
    if link::set_reset_on_close(&caller, true).is_err() {
        return Box::pin(smol::stream::once(Err(Truncated)));
    }
    let disarm = smol::stream::poll_fn(move |_| {
        // If this fails, the caller takes a complete answer for one that was cut.
        let _ = link::set_reset_on_close(&caller, false);
        Poll::Ready(None)
    });
    Box::pin(frames.chain(disarm))
}

/// Handles one request up to its final answer.
async fn handle(
    daemon: &Rc<Daemon>,
    connection: &Rc<Connection>,
    req: Request<Incoming>,
) -> Response<Payload> {
    // The time in the socket's buffer counts towards the request's deadline.
    let arrived_at = daemon.lag.get().earliest_arrival(clock::now());
    let (head, body) = req.into_parts();
    let caller = match daemon.dialect.parse_request(&head) {
        Ok(caller) => caller,
        Err(_) => return error_response(StatusCode::BAD_REQUEST, "malformed_request"),
    };
    daemon.open_requests.set(daemon.open_requests.get() + 1);
    let mut tracker = Tracker {
        daemon: daemon.clone(),
        request: caller.id.clone(),
        arrived_at,
        connection: connection.clone(),
        answered: false,
        is_ended: Rc::default(),
    };
    let admitted = admit(daemon, connection, caller, &head, body, arrived_at).await;
    connection.on_received_all();
    match admitted {
        Ok(job) => {
            let is_ended = tracker.is_ended.clone();
            run(daemon, &job, tracker).or(answer_at_end(daemon, &job, &is_ended)).await
        }
        Err(res) => {
            tracker.answered = true;
            res
        }
    }
}

/// Reads a request and finds its route; fails with the final answer.
async fn admit(
    daemon: &Rc<Daemon>,
    connection: &Connection,
    caller: Caller,
    head: &http::request::Parts,
    body: Incoming,
    arrived_at: Duration,
) -> Result<Rc<Job>, Response<Payload>> {
    let Some(config) = daemon.config.borrow().clone() else {
        let responder = Responder {
            caller: &caller,
            route: "",
            service: None,
            team: None,
            config_version: 0,
            arrived_at,
        };
        return Err(
            responder.refused(daemon, &Refusal::new("no_configuration", STARTUP_RETRY_AFTER))
        );
    };
    let Some(route) = config.route(&caller.host, head.uri.path()).cloned() else {
        daemon.note(&Event::Absent {
            request: caller.id.clone(),
            route: head.uri.path().to_string(),
            status: 404,
            version: config.version,
        });
        return Err(error_response(StatusCode::NOT_FOUND, "no_route"));
    };
    let responder = Responder {
        caller: &caller,
        route: &route.name,
        service: None,
        team: None,
        config_version: config.version,
        arrived_at,
    };
    let Ok(team) = config.team(&route, caller.key.as_ref()) else {
        return Err(responder.unknown_key(daemon));
    };
    let team_name = team.as_ref().map(|team| team.name.as_str());
    let responder = Responder { team: team_name, ..responder };
    let time_limit = caller.timeout.unwrap_or(route.timeout).min(route.timeout);
    let charge = quota::charge(daemon, team.as_ref(), caller.total_tokens).await;
    let charge = charge.map_err(|err| match err {
        quota::Error::Exceeded(after) => responder.over_quota(daemon, team.as_deref(), after),
        quota::Error::Starting => {
            responder.refused(daemon, &Refusal::new("starting", STARTUP_RETRY_AFTER))
        }
    })?;
    let held = HeldMessage::request(daemon, Owner::Body);
    let max = config.limits.max_body_bytes;
    let body = intake::receive(connection, &held, body, max, time_limit).await;
    let body = body.map_err(|err| match err {
        intake::Error::TooLarge => error_response(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
        intake::Error::Broken => error_response(StatusCode::BAD_REQUEST, "body_broken"),
        intake::Error::Late => error_response(StatusCode::REQUEST_TIMEOUT, "body_late"),
        intake::Error::NoRoom => {
            responder.refused(daemon, &Refusal::new("no_room_for_body", EXHAUSTED_RETRY_AFTER))
        }
    })?;
    if let Some((began, end)) = daemon.shutdown_period.get()
        && !accepts(daemon, &caller, &route, arrived_at + time_limit, began, end)
    {
        return Err(responder.refused(daemon, &Refusal::new("stopping", SHUTDOWN_RETRY_AFTER)));
    }
    let deadline = arrived_at + time_limit;
    let resumed = origin::resolve(daemon, &caller, &route, team_name).await;
    let resumed = resumed.map_err(|refusal| responder.refused(daemon, &refusal))?;
    let admitted = Admitted { caller, team, charge, resumed };
    let job = Rc::new(build_job(
        daemon,
        &config,
        route,
        admitted,
        head,
        (body, held),
        arrived_at,
        deadline,
    ));
    quarantine::on_arrival(daemon, &job.route.name, &job.content);
    daemon.allowance.borrow_mut().record_request(arrived_at, &job.spec.service);
    daemon
        .gauges
        .record_request(job.team.as_ref().map(|team| team.name.as_str()), Admission::Taken);
    if let Some(model) = &job.caller.model {
        daemon.demand.borrow_mut().record_request(model, job.caller.adapter.as_deref());
    }
    Ok(job)
}

/// What is known of a request beyond its own bytes.
struct Admitted {
    caller: Caller,
    team: Option<Rc<Team>>,
    charge: Option<Charge>,
    /// Where the stream began that it takes up; none if it takes up none.
    resumed: Option<Origin>,
}

#[expect(clippy::too_many_arguments, reason = "only here are all parts of a request combined")]
fn build_job(
    daemon: &Daemon,
    config: &Config,
    route: Rc<Route>,
    admitted: Admitted,
    head: &http::request::Parts,
    (body, held): (Segments, HeldMessage),
    arrived_at: Duration,
    deadline: Duration,
) -> Job {
    let Admitted { caller, team, charge, resumed } = admitted;
    let (service, software) = match resumed {
        Some(Origin { service, software }) => (service, OnceCell::from(software)),
        None => {
            let draw = rand::Rng::random(&mut *daemon.rng.borrow_mut());
            (route.service(draw).clone(), OnceCell::new())
        }
    };
    let engine_config = config.services.get(&service).and_then(|row| row.engines.as_ref());
    let engine_service = engine_config.is_some();
    let adapter_slots = engine_config.map_or(0, |engine| engine.adapter_slots);
    let mut hasher =
        admission::class_hasher(&service, caller.model.as_deref(), caller.adapter.as_deref());
    let class = hasher.digest();
    let parts = caller.parts.iter().map(|part| {
        // A prefix is only reusable together with all parts before it and with the same weights, so
        // each id hashes the class and all parts up to its own.
        hasher.update(&part.id.to_le_bytes());
        Part { id: hasher.digest(), tokens: part.tokens }
    });
    let spec = Spec {
        service,
        model: caller.model.clone(),
        adapter: caller.adapter.clone(),
        engine_service,
        adapter_slots,
        prompt_tokens: caller.prompt_tokens,
        parts: parts.collect(),
        max_pause: route.max_pause,
        target_latency: route.target_latency,
        priority: team.as_ref().and_then(|team| team.priority).unwrap_or(route.priority),
        terms: Terms {
            team: team.as_ref().map(|team| team.name.clone()),
            route_priority: route.priority,
            output_tokens: caller.max_tokens,
            patience: route.patience,
        },
        class,
    };
    let fingerprint = fingerprint(team.as_deref(), &caller.host, head, &body);
    Job {
        number: daemon.next_request_number(),
        spec: Rc::new(spec),
        headers: daemon.dialect.forward_headers(&head.headers, config.teams.is_some()),
        method: head.method.clone(),
        uri: head.uri.clone(),
        config_version: config.version,
        content: Content::new(fingerprint, &caller.id, caller.parts.iter().map(|part| part.id)),
        stream: stream_id(team.as_deref(), &route, &caller),
        software,
        team,
        charge,
        route,
        caller,
        arrived_at,
        deadline,
        body,
        held,
        may_have_run: Cell::default(),
        unread: Cell::default(),
        trial: RefCell::default(),
    }
}

/// Returns the id of the stream that a request begins or takes up.
fn stream_id(team: Option<&Team>, route: &Route, caller: &Caller) -> StreamId {
    let first_attempt = caller.resumes.as_deref().unwrap_or(&caller.id);
    origin::stream_id(team.map(|team| team.name.as_str()), route, first_attempt)
}

/// Returns the hash of team, method, host, URI and body, which stay equal when a caller sends a
/// request again. Its id and its deadline do not.
pub fn fingerprint(
    team: Option<&Team>,
    host: &str,
    head: &http::request::Parts,
    body: &Segments,
) -> Fingerprint {
    let mut hasher = Xxh3::new();
    let team = team.map_or("", |team| team.name.as_str());
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    for part in [team, head.method.as_str(), host, path] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    body.iter().for_each(|segment| hasher.update(segment));
    hasher.digest()
}

/// Attempts made for a request so far.
#[derive(Default)]
struct Progress {
    /// Endpoints that may have run it.
    possible_runs: u32,
    /// Attempts in which the request reached an endpoint.
    delivered: u32,
    /// Endpoints tried, reached or not.
    endpoints_tried: u32,
    tried: Vec<instance::Key>,
    /// An endpoint's own failure, returned to the caller if no later attempt succeeds.
    failure: Option<Whole>,
    /// Why the last attempt failed.
    last_error: &'static str,
}

async fn run(daemon: &Rc<Daemon>, job: &Rc<Job>, mut tracker: Tracker) -> Response<Payload> {
    let mut progress = Progress::default();
    loop {
        if clock::now() >= job.deadline {
            return give_up(
                daemon,
                job,
                &mut tracker,
                progress,
                &Refusal::new("timeout", EXHAUSTED_RETRY_AFTER),
            );
        }
        let is_repeat = progress.delivered > 0;
        if is_repeat && !retry::is_possible(daemon, job) {
            return give_up(daemon, job, &mut tracker, progress, &no_credit());
        }
        let permit = match find(daemon, job, &progress.tried).await {
            Ok(permit) => permit,
            Err(refusal) => {
                return give_up(daemon, job, &mut tracker, progress, &refusal);
            }
        };
        progress.endpoints_tried += 1;
        let may_repeat =
            job.route.is_idempotent() && progress.possible_runs + 1 < job.route.max_attempts;
        let number = progress.endpoints_tried;
        let outcome =
            send::attempt(daemon, job, &permit, number, None, is_repeat, may_repeat).await;
        match outcome {
            Outcome::Complete(whole, _) => {
                tracker.answered = true;
                record_answer(daemon, job);
                return forward(daemon, job, &tracker, whole);
            }
            Outcome::Stream(head) => {
                let attempts = progress.possible_runs + 1;
                record_answer(daemon, job);
                return forward_stream(daemon, job, permit, head, attempts, tracker);
            }
            Outcome::Failure(whole, _) => {
                progress.possible_runs += 1;
                progress.delivered += 1;
                progress.last_error = "endpoint_failure";
                progress.failure = Some(whole);
            }
            Outcome::Quarantined(refusal) => {
                return give_up(daemon, job, &mut tracker, progress, &refusal);
            }
            Outcome::NoCredit => {
                return give_up(daemon, job, &mut tracker, progress, &no_credit());
            }
            Outcome::Forbidden if progress.possible_runs == 0 => {
                tracker.answered = true;
                return job.responder().unknown_key(daemon);
            }
            Outcome::Forbidden => {
                return give_up(
                    daemon,
                    job,
                    &mut tracker,
                    progress,
                    &Refusal::new("key_withdrawn", EXHAUSTED_RETRY_AFTER),
                );
            }
            Outcome::NotRun(error) => {
                progress.delivered += 1;
                progress.last_error = error;
            }
            Outcome::Unsent(error) => progress.last_error = error,
            Outcome::Truncated(_, end) => {
                progress.possible_runs += 1;
                progress.delivered += 1;
                progress.last_error = send::truncation_error(end);
            }
            Outcome::Indeterminate(error) => {
                progress.possible_runs += 1;
                progress.delivered += 1;
                progress.last_error = error;
            }
        }
        job.may_have_run.set(progress.possible_runs > 0);
        progress.tried.push(permit.key.clone());
        drop(permit);
        let may_continue = progress.possible_runs == 0
            || (job.route.is_idempotent() && progress.possible_runs < job.route.max_attempts);
        if !may_continue || progress.endpoints_tried >= MAX_ENDPOINTS_TRIED {
            let refusal = Refusal::new(progress.last_error, REJECTED_RETRY_AFTER);
            return give_up(daemon, job, &mut tracker, progress, &refusal);
        }
        quarantine::settle(daemon, &job.content).await;
    }
}

/// Counts a request whose answer has begun: on time if that is within its target latency.
fn record_answer(daemon: &Daemon, job: &Job) {
    let is_late = clock::now() > job.arrived_at + job.route.target_latency;
    daemon.gauges.record_end(job.team_name(), if is_late { "late" } else { "on_time" });
}

/// Returns the refusal of a request that may not be sent again.
fn no_credit() -> Refusal {
    Refusal::new("no_allowance", EXHAUSTED_RETRY_AFTER)
}

/// Finds an endpoint for a job, unless it is refused as it crashes endpoints.
pub async fn find(
    daemon: &Rc<Daemon>,
    job: &Rc<Job>,
    tried: &[instance::Key],
) -> Result<admission::Permit, Refusal> {
    let quarantined = async { Err(quarantine::wait_for_refusal(daemon, &job.content).await) };
    let stopping = async { Err(wait_for_stop(daemon, job).await) };
    quarantined.or(admission::find(daemon, job, tried)).or(stopping).await
}

/// Returns whether a request can be answered before the process ends at `end`.
fn accepts(
    daemon: &Daemon,
    caller: &Caller,
    route: &Route,
    deadline: Duration,
    began: Duration,
    end: Duration,
) -> bool {
    let now = clock::now();
    let answer = shutdown::Answer {
        tokens: caller.max_tokens,
        target_latency: route.target_latency,
        max_pause: route.max_pause,
        limit: deadline.saturating_sub(now),
        usual: usual_delay(daemon, now, route),
    };
    shutdown::accepts(now, began, end, &answer)
}

/// Returns how long plain answers on a route have taken lately, at the slowest of its services.
fn usual_delay(daemon: &Daemon, now: Duration, route: &Route) -> Duration {
    let fleet = daemon.fleet.borrow();
    let delays = route.targets.iter().map(|(service, _)| fleet.shortest_delay(now, service));
    delays.max().unwrap_or_default()
}

/// Waits until a request that still waits can't be answered before the process ends. Without it a
/// request whose deadline is later would end with the process, unanswered.
async fn wait_for_stop(daemon: &Daemon, job: &Job) -> Refusal {
    loop {
        let next = daemon.stopping.listen();
        let Some((began, end)) = daemon.shutdown_period.get() else {
            next.await;
            continue;
        };
        if !accepts(daemon, &job.caller, &job.route, job.deadline, began, end) {
            return Refusal::new("stopping", SHUTDOWN_RETRY_AFTER);
        }
        Timer::after(STOP_CHECK_INTERVAL).await;
    }
}

/// Waits until the process is about to end, and returns the answer of a request that is open then.
async fn answer_at_end(daemon: &Rc<Daemon>, job: &Job, is_ended: &Cell<bool>) -> Response<Payload> {
    let (_, end) = loop {
        let next = daemon.stopping.listen();
        match daemon.shutdown_period.get() {
            Some(period) => break period,
            None => next.await,
        }
    };
    Timer::after(shutdown::final_answer_at(end).saturating_sub(clock::now())).await;
    is_ended.set(true);
    if job.may_have_run.get() {
        daemon.gauges.record_end(job.team_name(), "failed");
        return job.responder().failed(daemon, StatusCode::GATEWAY_TIMEOUT, "stopping");
    }
    daemon.gauges.record_end(job.team_name(), "stopping");
    job.responder().refused(daemon, &Refusal::new("stopping", SHUTDOWN_RETRY_AFTER))
}

/// Returns the final answer of a request that no endpoint has answered successfully.
fn give_up(
    daemon: &Rc<Daemon>,
    job: &Job,
    tracker: &mut Tracker,
    progress: Progress,
    refusal: &Refusal,
) -> Response<Payload> {
    tracker.answered = true;
    let end = if progress.possible_runs == 0 { refusal.reason } else { "failed" };
    daemon.gauges.record_end(job.team_name(), end);
    if let Some(whole) = progress.failure {
        return forward(daemon, job, tracker, whole);
    }
    if progress.possible_runs == 0 {
        return job.responder().refused(daemon, refusal);
    }
    let status = match refusal.reason {
        "timeout" => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    job.responder().failed(daemon, status, refusal.reason)
}

/// Forwards an endpoint's complete answer. The endpoint ran the request; if that may not run again, a
/// status that promises the opposite to the caller is not forwarded.
fn forward(daemon: &Rc<Daemon>, job: &Job, tracker: &Tracker, whole: Whole) -> Response<Payload> {
    let status = whole.res.status().as_u16();
    if !job.route.is_idempotent() && caller::promises_not_run(status) {
        return job.responder().failed(daemon, StatusCode::BAD_GATEWAY, "endpoint_failure");
    }
    let (parts, body) = whole.res.into_parts();
    let mut headers = daemon.dialect.forward_response_headers(&parts.headers);
    tracker.connection.allow_slow_caller(body.len());
    let body = if body.len() <= read_ahead::PIECE_BYTES {
        Payload::Complete(body.into())
    } else {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
        let (id, connection) = (&job.caller.id, &tracker.connection);
        Payload::Frames(Box::pin(ReadAhead::body(daemon, job.number, id, connection, body)))
    };
    let mut forwarded = Response::new(body);
    *forwarded.status_mut() = parts.status;
    *forwarded.headers_mut() = headers;
    forwarded
}

fn forward_stream(
    daemon: &Rc<Daemon>,
    job: &Rc<Job>,
    permit: admission::Permit,
    head: Box<send::Head>,
    attempts: u32,
    tracker: Tracker,
) -> Response<Payload> {
    debug_assert_eq!(job.route.kind, Kind::Streaming);
    let status = head.parts.status;
    let headers = daemon.dialect.forward_response_headers(&head.parts.headers);
    let (connection, is_ended) = (tracker.connection.clone(), tracker.is_ended.clone());
    let flow = Forwarder::new(daemon, job, permit, head, attempts, tracker);
    let frames = smol::stream::unfold(Some(flow), |flow| async {
        let mut flow = flow?;
        let item = flow.next().await?;
        // An error is the last item; dropping the flow releases the endpoint at once.
        let next_state = item.is_ok().then_some(flow);
        Some((item, next_state))
    });
    let (number, id) = (job.number, &job.caller.id);
    let frames = ReadAhead::stream(daemon, number, id, &connection, is_ended, Box::pin(frames));
    let mut res = Response::new(Payload::Frames(Box::pin(frames)));
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}
