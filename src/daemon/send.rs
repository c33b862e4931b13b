//! Sends a request to one endpoint and classifies the response.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use http::response::Parts;
use hyper::body::Incoming;
use smol::Timer;
use smol::future::FutureExt;

use crate::daemon::Daemon;
use crate::daemon::admission;
use crate::daemon::admission::Permit;
use crate::daemon::admission::Refusal;
use crate::daemon::clock;
use crate::daemon::collect;
use crate::daemon::contact;
use crate::daemon::foreign;
use crate::daemon::forward;
use crate::daemon::forward::Target;
use crate::daemon::front::Job;
use crate::daemon::gate;
use crate::daemon::gate::Call;
use crate::daemon::intake;
use crate::daemon::intake::HeldMessage;
use crate::daemon::journal::Event;
use crate::daemon::link;
use crate::daemon::link::Link;
use crate::daemon::liveness;
use crate::daemon::liveness::Connection;
use crate::daemon::origin;
use crate::daemon::quarantine;
use crate::daemon::quarantine::Run;
use crate::daemon::quota::Charge;
use crate::daemon::retry;
use crate::daemon::retry::Unread;
use crate::daemon::segments::Segments;
use crate::daemon::stall;
use crate::daemon::statement;
use crate::daemon::statement::Source;
use crate::daemon::trial;
use crate::decide::body;
use crate::decide::body::Content;
use crate::decide::body::End as BodyEnd;
use crate::decide::body::Framing;
use crate::decide::body::Verdict;
use crate::decide::endpoint::End;
use crate::decide::quarantine::REFUSAL_PERIOD;
use crate::edge::dialect::Answer;
use crate::edge::dialect::Attempt;
use crate::table::instance::Key;
use crate::table::routing::Kind;
use crate::table::routing::Unauthorized;
use crate::table::team::Team;

/// Time limit for opening a connection: ten round trips between regions. The retransmission of a
/// lost packet takes a second, and sending to another endpoint is faster than that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Share of the target latency after which an idempotent request to a plain service is retried at
/// another endpoint.
const ATTEMPT_TIMEOUT_RATIO: f64 = 0.8;
/// Shortest time limit of an attempt: two round trips between regions.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);
/// Largest response body that is not a stream: it is buffered completely before it is forwarded.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// A response whose body has not been read yet.
pub struct Head {
    /// Status and headers.
    pub parts: Parts,
    /// The headers as interpreted by the platform's dialect.
    pub answer: Answer,
    /// The unread body.
    pub body: Incoming,
    /// How the body is delimited.
    pub framing: Framing,
    /// The connection that delivers the body.
    pub link: Link,
    /// When the attempt began, on the boot clock.
    pub sent_at: Duration,
    /// When this head was received, on the boot clock.
    pub received_at: Duration,
    /// Whether it has been recorded that the run goes on.
    pub has_survived: bool,
    /// A connection that was open when the request was sent, or later.
    pub liveness: Option<Connection>,
}

/// What an attempt leaves to the reading of its response.
struct Exchange {
    link: Link,
    sent_at: Duration,
    /// A connection that was open when the request was sent.
    liveness: Option<Connection>,
    /// Whether the daemon that has passed the request on confirms that the endpoint has not started
    /// again; none without such a daemon.
    confirmed: Option<bool>,
}

/// A complete response.
pub struct Whole {
    /// Status, headers and body.
    pub res: Response<Segments>,
    /// Counts the body as held.
    _held: HeldMessage,
}

/// The result of one attempt.
pub enum Outcome {
    /// A complete response of the endpoint that is no server error.
    Complete(Whole, Framing),
    /// A stream whose head was received.
    Stream(Box<Head>),
    /// A server error of the endpoint; the request may be retried or the response forwarded.
    Failure(Whole, Framing),
    /// The body of the response ended in this way before it was complete.
    Truncated(Framing, BodyEnd),
    /// The endpoint stated that it did not execute the request. Holds the reason.
    NotRun(&'static str),
    /// No part of the request reached the endpoint. Holds the reason.
    Unsent(&'static str),
    /// The request may have been executed, but there is no valid response. Holds the reason.
    Indeterminate(&'static str),
    /// The request crashes endpoints; it was not sent.
    Quarantined(Refusal),
    /// The request would be sent again and its service has no credit; it was not sent.
    NoCredit,
    /// The caller's key is no longer in the configuration in force; the request was not sent.
    Forbidden,
}

/// Sends a job to the endpoint that admission has chosen, and records the result. `is_repeat` says
/// whether it has reached an endpoint before.
pub async fn attempt(
    daemon: &Rc<Daemon>,
    job: &Rc<Job>,
    place: &Permit,
    number: u32,
    last_event: Option<&str>,
    is_repeat: bool,
    can_retry: bool,
) -> Outcome {
    let started_at = clock::now();
    let outcome = exchange(daemon, job, place, number, last_event, is_repeat, can_retry).await;
    if let (Outcome::NotRun(_), Some(charge)) = (&outcome, &job.charge) {
        charge.record_not_run();
    }
    let elapsed = clock::now().saturating_sub(started_at);
    record_outcome(daemon, job, place, &outcome, elapsed);
    match &outcome {
        // A crash has been recorded as it was found, and the others are none.
        Outcome::Truncated(_, BodyEnd::Timeout | BodyEnd::Crashed | BodyEnd::NoRoom) => {}
        Outcome::Indeterminate("broken") | Outcome::Truncated(..) => {
            let content = &job.content;
            let run = Run { content, sent_at: started_at, answered_at: None };
            quarantine::on_broken(daemon, &place.key, run);
        }
        Outcome::Complete(whole, _) => {
            quarantine::on_completed(daemon, &job.content);
            if whole.res.status().is_success() {
                quarantine::on_survived(daemon, &job.content);
            }
        }
        Outcome::Failure(..) => quarantine::on_completed(daemon, &job.content),
        Outcome::Stream(_)
        | Outcome::NotRun(_)
        | Outcome::Unsent(_)
        | Outcome::Indeterminate(_)
        | Outcome::Quarantined(_)
        | Outcome::NoCredit
        | Outcome::Forbidden => {}
    }
    outcome
}

async fn exchange(
    daemon: &Rc<Daemon>,
    job: &Rc<Job>,
    place: &Permit,
    number: u32,
    last_event: Option<&str>,
    is_repeat: bool,
    can_retry: bool,
) -> Outcome {
    let Some(addr) = daemon.fleet.borrow().get(&place.key).map(|row| row.instance.address) else {
        return Outcome::Unsent("endpoint_gone");
    };
    // A pooled connection may turn out to be closed; then a new one is opened.
    let mut force_new = false;
    let mut is_paid = false;
    let mut tried_daemons = Vec::new();
    loop {
        let through = match trial::route(daemon, job, &tried_daemons) {
            Ok(Some(owner)) => Some(owner),
            Ok(None) => {
                let Ok(through) = forward::route(daemon, &place.key, &tried_daemons) else {
                    contact::on_undelivered(daemon, &place.key);
                    return Outcome::Unsent("undelivered");
                };
                through
            }
            Err(refusal) => return Outcome::Quarantined(refusal),
        };
        let opened = open(daemon, job, &place.key, addr, through, force_new).await;
        let (mut link, is_reused) = match opened {
            Ok(opened) => opened,
            Err(Obstacle::Lost) => continue,
            Err(Obstacle::Daemon(other)) => {
                tried_daemons.push(other);
                continue;
            }
            Err(Obstacle::Endpoint(reason)) => return Outcome::Unsent(reason),
        };
        // Checked after connecting: that or a suspension of the machine may have used up the time.
        let now = clock::now();
        let time_left = job.deadline.saturating_sub(now);
        let req = match prepare(daemon, job, &place.key, through, time_left, last_event) {
            Ok(req) => req,
            Err(outcome) => return *outcome,
        };
        // Last, so that a credit is spent when the request is sent and only then.
        if is_repeat && !is_paid && !retry::spend(daemon, job) {
            return Outcome::NoCredit;
        }
        is_paid = true;
        // The endpoint's connections show nothing to a daemon that does not reach it.
        let is_observed = !job.spec.engine_service && through.is_none();
        let liveness =
            if is_observed { liveness::before_request(daemon, &place.key) } else { None };
        job.may_have_run.set(true);
        log_sent(daemon, job, place, number, last_event, through, &link, now, time_left);
        // Counted before the request is sent: when the caller hangs up, this future is dropped at
        // the next await.
        job.charge.iter().for_each(Charge::record_sent);
        let is_direct = through.is_none();
        let head =
            receive_head(daemon, job, place, &mut link, req, is_direct, time_left, can_retry).await;
        foreign::record(daemon, &place.key, &job.caller.id, &link, now);
        if head.as_ref().is_err_and(|err| err.is_unsent() || link.written_at().is_none()) {
            job.charge.iter().for_each(Charge::record_not_run);
        }
        match head {
            Ok(res) if through.is_some() && is_undelivered(daemon, job, &res) => {
                job.charge.iter().for_each(Charge::record_not_run);
                daemon.pool.borrow_mut().put(link, None);
                if forward::is_quarantined(res.headers()) {
                    let refusal = Refusal::new("quarantined", REFUSAL_PERIOD);
                    return Outcome::Quarantined(refusal);
                }
                if forward::is_on_trial(res.headers()) {
                    return Outcome::Quarantined(trial::refusal());
                }
                tried_daemons.extend(through);
                force_new = false;
            }
            Ok(mut res) => {
                if through.is_some() {
                    daemon.fleet.borrow_mut().record_forwarded(&place.key);
                }
                let confirmed = through.map(|_| forward::take_confirmation(res.headers_mut()));
                contact::on_received(daemon, &place.key, link.addr);
                let exchange = Exchange { link, sent_at: now, liveness, confirmed };
                return classify(daemon, job, place, exchange, res, time_left).await;
            }
            Err(link::Error::Unsent) if is_reused => force_new = true,
            Err(err) => {
                let is_unanswered = link.written_at().is_some() && !link.has_received();
                if err == link::Error::Timeout && is_unanswered {
                    let unread = Unread { key: place.key.clone(), sent_at: now };
                    job.unread.set(Some(unread));
                    if is_direct {
                        stall::on_given_up(daemon, &place.key, now);
                    }
                }
                return without_response(err, &link);
            }
        }
    }
}

/// Why there is no connection on which a request could be sent.
enum Obstacle {
    /// The endpoint was lost just now and may be reached through another daemon.
    Lost,
    /// This daemon, which would pass the request on, could not be connected to.
    Daemon(SocketAddr),
    /// The endpoint could not be connected to. Holds the reason.
    Endpoint(&'static str),
}

/// Returns a connection to an endpoint, or to the daemon `through` which a request reaches it, and
/// whether the connection has been used before.
async fn open(
    daemon: &Rc<Daemon>,
    job: &Job,
    key: &Key,
    addr: SocketAddr,
    through: Option<SocketAddr>,
    force_new: bool,
) -> Result<(Link, bool), Obstacle> {
    let pooled = match through {
        _ if force_new => None,
        Some(other) => daemon.pool.borrow_mut().take(other),
        None => daemon.pool.borrow_mut().take_for(addr, job.caller.id.as_bytes()),
    };
    if let Some(link) = pooled {
        return Ok((link, true));
    }
    let limit = job.deadline.saturating_sub(clock::now());
    let opened = match through {
        Some(other) => {
            forward::connect(daemon, other, limit).await.map_err(|_| Obstacle::Daemon(other))
        }
        None => connect(daemon, key, addr, limit).await.map_err(|err| match err {
            _ if is_last_resort(daemon, job, key) => Obstacle::Lost,
            link::Error::Refused => Obstacle::Endpoint("connection_refused"),
            _ => Obstacle::Endpoint("connect"),
        }),
    };
    opened.map(|link| (link, false))
}

/// Returns the request for an endpoint, or why it must not be sent now. `time_left` is the time
/// until its deadline.
fn prepare(
    daemon: &Rc<Daemon>,
    job: &Job,
    key: &Key,
    through: Option<SocketAddr>,
    time_left: Duration,
    last_event: Option<&str>,
) -> Result<Request<Segments>, Box<Outcome>> {
    let unsent = |reason| Box::new(Outcome::Unsent(reason));
    if time_left.is_zero() {
        return Err(unsent("deadline"));
    }
    gate::check(daemon, key, Call::Request).map_err(|closed| unsent(closed.into()))?;
    if !runs_software(daemon, job, key) {
        return Err(unsent("other_software"));
    }
    if let Some(refusal) = quarantine::refusal(daemon, &job.content) {
        return Err(Box::new(Outcome::Quarantined(refusal)));
    }
    let team = team(daemon, job).map_err(|_| Box::new(Outcome::Forbidden))?;
    let team = team.as_ref().map(|team| team.name.as_str());
    let Ok(mut req) = request(daemon, job, key, time_left, last_event, team) else {
        return Err(unsent("unencodable"));
    };
    let confirm = job.software.get().is_some();
    let target = Target { key: key.clone(), fingerprint: job.content.fingerprint, confirm };
    if through.is_some() && target.insert(req.headers_mut()).is_err() {
        return Err(unsent("unencodable"));
    }
    Ok(req)
}

/// Returns the result of an attempt to which no valid response was received.
fn without_response(err: link::Error, link: &Link) -> Outcome {
    match err {
        err if err.is_unsent() => Outcome::Unsent(err.into()),
        // Dropping the link discards the queued request, so no part of it can be written later.
        _ if link.written_at().is_none() => Outcome::Unsent(link::Error::Expired.into()),
        link::Error::Timeout | link::Error::Malformed if link.has_discarded() => {
            Outcome::Indeterminate("foreign_answer")
        }
        err => Outcome::Indeterminate(err.into()),
    }
}

/// Returns whether another daemon says that it could not pass a job on.
fn is_undelivered(daemon: &Daemon, job: &Job, res: &Response<Incoming>) -> bool {
    let named = res.headers().get(daemon.dialect.request_id());
    forward::is_undelivered(res.headers())
        && named.is_none_or(|id| id.as_bytes() == job.caller.id.as_bytes())
}

/// Returns whether an endpoint that this daemon has lost may be reached through another one, and
/// no other endpoint would accept the job.
fn is_last_resort(daemon: &Daemon, job: &Job, key: &Key) -> bool {
    let now = clock::now();
    matches!(forward::route(daemon, key, &[]), Ok(Some(_)))
        && now < job.deadline
        && !admission::has_alternative(daemon, now, job, key)
}

/// Waits for the head of the response, at most for `time_left`. If a retry is allowed and another
/// endpoint would accept the request, the wait ends after `attempt_timeout`; otherwise the wait
/// continues, as the endpoint may still be about to respond.
#[expect(clippy::too_many_arguments, reason = "all of them describe one attempt")]
async fn receive_head(
    daemon: &Daemon,
    job: &Job,
    place: &Permit,
    link: &mut Link,
    req: Request<Segments>,
    is_direct: bool,
    time_left: Duration,
    can_retry: bool,
) -> Result<Response<Incoming>, link::Error> {
    let name = daemon.dialect.request_id();
    let send = async {
        // A daemon answers each request once, and one of an earlier release does not name it when it
        // could not pass it on.
        match is_direct {
            true => link.send_named(req, &name, time_left).await,
            false => link.send(req, time_left).await,
        }
    };
    let mut head = std::pin::pin!(send);
    let mut remaining = time_left;
    if can_retry {
        let limit = attempt_timeout(job).min(time_left);
        let result = head.as_mut().or(link::fail_after(limit, link::Error::Timeout)).await;
        if result.as_ref().err() != Some(&link::Error::Timeout)
            || can_send_elsewhere(daemon, job, &place.key)
        {
            return result;
        }
        remaining = time_left.saturating_sub(limit);
    }
    head.or(link::fail_after(remaining, link::Error::Timeout)).await
}

/// Returns whether the retry allowance permits another attempt and another endpoint would accept
/// the job now.
fn can_send_elsewhere(daemon: &Daemon, job: &Job, key: &Key) -> bool {
    let now = clock::now();
    let has_allowance = daemon.allowance.borrow().remaining(now, &job.spec.service) > 0;
    has_allowance && admission::has_alternative(daemon, now, job, key)
}

/// Returns how long an idempotent request may take at one endpoint while a retry is left.
fn attempt_timeout(job: &Job) -> Duration {
    let limit = match job.route.kind {
        Kind::Safe | Kind::Unsafe => job.route.target_latency.mul_f64(ATTEMPT_TIMEOUT_RATIO),
        // A stream's first event waits for the prefill of other prompts, and a second engine would
        // repeat the prefill of this one.
        Kind::Streaming => job.route.target_latency.max(Duration::from_secs(1)),
    };
    limit.max(MIN_ATTEMPT_TIMEOUT)
}

/// Opens a connection to an endpoint within `limit`.
pub async fn connect(
    daemon: &Rc<Daemon>,
    key: &Key,
    addr: SocketAddr,
    limit: Duration,
) -> Result<Link, link::Error> {
    let started_at = clock::now();
    let link = link::dial(&daemon.ex, addr, CONNECT_TIMEOUT.min(limit)).await;
    let link = link.and_then(|link| link.limit_receive_buffer().map(|()| link));
    let now = clock::now();
    match &link {
        Ok(_) => {
            daemon.gauges.record_connection();
            contact::on_connected(daemon, key, now.saturating_sub(started_at));
        }
        Err(err) => contact::on_failed(daemon, key, *err),
    }
    link
}

/// Returns whether an endpoint runs the version that a job's stream is bound to, if there is one.
fn runs_software(daemon: &Daemon, job: &Job, key: &Key) -> bool {
    let required = job.software.get();
    required.is_none_or(|software| daemon.fleet.borrow().software(key) == Some(software))
}

/// Returns the team that a job is sent for. A job may have waited for long, so the configuration
/// in force now decides.
fn team(daemon: &Daemon, job: &Job) -> Result<Option<Rc<Team>>, Unauthorized> {
    match &*daemon.config.borrow() {
        Some(config) if config.version != job.config_version => {
            config.team(&job.route, job.caller.key.as_ref())
        }
        _ => Ok(job.team.clone()),
    }
}

fn request(
    daemon: &Daemon,
    job: &Job,
    key: &Key,
    time_left: Duration,
    last_event: Option<&str>,
    team: Option<&str>,
) -> Result<Request<Segments>, crate::edge::dialect::Error> {
    let mut headers = job.headers.clone();
    let attempt = Attempt {
        endpoint: &key.id,
        remaining: Some(time_left),
        priority: job.spec.engine_service.then_some(job.spec.priority),
        last_event,
        team,
    };
    daemon.dialect.set_attempt_headers(&mut headers, &attempt)?;
    let mut req = Request::new(job.body.clone());
    *req.method_mut() = job.method.clone();
    *req.uri_mut() = job.uri.clone();
    *req.headers_mut() = headers;
    Ok(req)
}

#[expect(clippy::too_many_arguments, reason = "a line has all that is known of an attempt")]
fn log_sent(
    daemon: &Daemon,
    job: &Job,
    place: &Permit,
    number: u32,
    last_event: Option<&str>,
    through: Option<SocketAddr>,
    link: &Link,
    now: Duration,
    time_left: Duration,
) {
    let (key, estimate) = (&place.key, &place.estimate);
    let (load, work, software) = {
        let fleet = daemon.fleet.borrow();
        let row = fleet.get(key);
        let work = row.and_then(|row| row.work_percent(now));
        (row.map_or(0, |row| row.load(now)), work, row.map(|row| row.instance.software.clone()))
    };
    daemon.note(&Event::Sent {
        request: job.caller.id.clone(),
        route: job.route.name.clone(),
        content: format!("{:016x}", job.content.fingerprint),
        team: job.team.as_ref().map(|team| team.name.clone()),
        tokens: job.caller.total_tokens,
        endpoint: key.id.clone(),
        software,
        after: last_event.or(job.caller.last_event.as_deref()).map(str::to_string),
        resumes: job.caller.resumes.clone(),
        through: through.map(|addr| addr.to_string()),
        connection: link.number,
        before: link.requests,
        model: job.caller.model.clone(),
        adapter: job.caller.adapter.clone(),
        parts: job.content.parts.iter().map(quarantine::part_name).collect(),
        prompt: job.caller.prompt_tokens,
        unread: estimate.tokens,
        read: estimate.own_prefill.as_millis() as u64,
        ahead: estimate.queued_prefill.as_millis() as u64,
        attempt: number,
        waited: now.saturating_sub(job.arrived_at).as_millis() as u64,
        left: time_left.as_millis() as u64,
        aim: job.route.target_latency.as_millis() as u64,
        gap: job.route.max_pause.map(|max_pause| max_pause.as_millis() as u64),
        load,
        work,
        version: job.config_version,
    });
}

/// Classifies a response by its head and reads the body unless it is a stream.
async fn classify(
    daemon: &Rc<Daemon>,
    job: &Rc<Job>,
    place: &Permit,
    exchange: Exchange,
    res: Response<Incoming>,
    limit: Duration,
) -> Outcome {
    let Exchange { link, sent_at, liveness, confirmed } = exchange;
    let received_at = clock::now();
    let framing = link::framing(&res);
    let (parts, body) = res.into_parts();
    let answer = daemon.dialect.parse_response(&parts);
    // Whether this request was executed is unknown, and so is when the rest was stated.
    if answer.id.as_deref() != Some(job.caller.id.as_str()) {
        let took = clock::now().saturating_sub(sent_at);
        let (id, status) = (answer.id, parts.status);
        foreign::log(daemon, &place.key, &job.caller.id, &link, id, status, answer.not_run, took);
        return Outcome::Indeterminate("foreign_answer");
    }
    if (answer.signed || answer.not_run) && !answer.is_from_other(&place.key.id) {
        statement::observe(daemon, &place.key, parts.status, &parts.headers, Source::Request);
    }
    if let Some(load) = answer.load {
        daemon.fleet.borrow_mut().on_load_report(clock::now(), &place.key, load);
        place.on_load_report(load);
        statement::observe_work_time(daemon, &place.key, load);
    }
    if answer.not_run {
        return handle_not_run(daemon, job, place, link, body, &parts, &answer).await;
    }
    if !answer.signed {
        return Outcome::Indeterminate("no_seal");
    }
    if framing == Framing::Close {
        let mut liveness = daemon.liveness.borrow_mut();
        liveness.on_close_delimited(&place.key, answer.idle_timeout);
    }
    if parts.status.is_success() && job.route.kind == Kind::Streaming {
        if !origin::is_confirmed(daemon, job, &place.key, confirmed).await {
            return Outcome::Indeterminate("other_software");
        }
        let head = Head {
            parts,
            answer,
            body,
            framing,
            link,
            sent_at,
            received_at,
            has_survived: false,
            liveness,
        };
        return Outcome::Stream(Box::new(head));
    }
    let idle_timeout = answer.idle_timeout;
    let held = HeldMessage::response(daemon);
    let read = intake::receive_response(&held, body, MAX_BODY_BYTES).or(async {
        Timer::after(limit).await;
        Err(BodyEnd::Timeout)
    });
    let read = read.await;
    let verdict = match &read {
        Ok(_) => body::judge(framing, Content::Opaque),
        Err(end) => Verdict::Ended(*end),
    };
    let end = match verdict {
        Verdict::Ended(end) => end,
        Verdict::Unconfirmed => {
            let run = Run { content: &job.content, sent_at, answered_at: Some(received_at) };
            confirm_end(daemon, job.deadline, &place.key, run, liveness).await
        }
    };
    daemon.gauges.record_body(framing, end);
    match read {
        Ok(body) if end == BodyEnd::Complete => {
            return_to_pool(daemon, &place.key, link, idle_timeout);
            let whole = Whole { res: Response::from_parts(parts, body), _held: held };
            if whole.res.status().is_server_error() {
                Outcome::Failure(whole, framing)
            } else {
                Outcome::Complete(whole, framing)
            }
        }
        _ => Outcome::Truncated(framing, end),
    }
}

/// Returns how a body has ended that ended with its connection and seems complete.
pub async fn confirm_end(
    daemon: &Rc<Daemon>,
    deadline: Duration,
    key: &Key,
    run: Run<'_>,
    liveness: Option<Connection>,
) -> BodyEnd {
    let time_left = deadline.saturating_sub(clock::now());
    let liveness = liveness.or_else(|| liveness::since(daemon, key, run.sent_at));
    let crashed = quarantine::has_crashed_after(daemon, key, run, liveness, time_left).await;
    if crashed { BodyEnd::Crashed } else { BodyEnd::Complete }
}

async fn handle_not_run(
    daemon: &Rc<Daemon>,
    job: &Job,
    place: &Permit,
    link: Link,
    body: Incoming,
    parts: &Parts,
    answer: &Answer,
) -> Outcome {
    // The body is short; reading it allows the connection to be reused.
    let drained = collect::drain(body, MAX_BODY_BYTES);
    let timeout = async {
        Timer::after(MIN_ATTEMPT_TIMEOUT).await;
        false
    };
    if drained.or(timeout).await {
        return_to_pool(daemon, &place.key, link, answer.idle_timeout);
    }
    let replaced = answer.is_from_other(&place.key.id);
    if parts.status != StatusCode::MISDIRECTED_REQUEST {
        return Outcome::NotRun("shed");
    }
    let not_resident = job.caller.model.is_some() && !replaced;
    let end = if not_resident { End::NotResident } else { End::Replaced };
    place.set_end(end);
    let mut fleet = daemon.fleet.borrow_mut();
    fleet.record_end(clock::now(), &place.key, end, &job.spec.requirements(&[]));
    Outcome::NotRun(if not_resident { "not_held" } else { "other_instance" })
}

/// Returns a connection to the pool once its response is complete.
pub fn return_to_pool(
    daemon: &Rc<Daemon>,
    key: &Key,
    mut link: Link,
    idle_timeout: Option<Duration>,
) {
    if daemon.fleet.borrow().get(key).is_none() {
        return;
    }
    if link.is_ready() {
        daemon.pool.borrow_mut().put(link, idle_timeout);
        return;
    }
    let shared = daemon.clone();
    let return_later = async move {
        if link
            .wait_until_ready()
            .or(async {
                Timer::after(MIN_ATTEMPT_TIMEOUT).await;
                false
            })
            .await
        {
            shared.pool.borrow_mut().put(link, idle_timeout);
        }
    };
    daemon.ex.spawn(return_later).detach();
}

/// Returns the reason for which a request failed whose answer ended early.
pub fn truncation_error(end: BodyEnd) -> &'static str {
    if end == BodyEnd::Timeout { "timeout" } else { "cut" }
}

/// Records the result of an attempt in the endpoint's statistics, the grant, the metrics and the
/// log.
fn record_outcome(
    daemon: &Daemon,
    job: &Job,
    place: &Permit,
    outcome: &Outcome,
    elapsed: Duration,
) {
    let key = &place.key;
    let now = clock::now();
    let elapsed_ms = elapsed.as_millis() as u64;
    let mut fleet = daemon.fleet.borrow_mut();
    let endpoint_time = fleet.subtract_round_trip(key, elapsed);
    let running = fleet.get(key).map_or(0, |row| row.running);
    let (model, estimate) = (job.caller.model.as_deref(), place.estimate);
    let body = match outcome {
        Outcome::Failure(_, framing) => Some((*framing, BodyEnd::Complete)),
        Outcome::Truncated(framing, end) => Some((*framing, *end)),
        _ => None,
    };
    let failed_event = |error: &'static str, why: &'static str| Event::Failed {
        request: job.caller.id.clone(),
        endpoint: key.id.clone(),
        error,
        took: elapsed_ms,
        running,
        repeat: job.route.is_idempotent(),
        why,
        framing: body.map(|(framing, _)| framing.into()),
        end: body.map(|(_, end)| end.into()),
    };
    match outcome {
        Outcome::Complete(whole, framing) => {
            fleet.record_first_byte(now, key, endpoint_time, model, &estimate);
            place.record_first_byte(endpoint_time);
            daemon.gauges.record_first_byte(job.route.kind, elapsed);
            daemon.completions.borrow_mut().record(now, job.spec.class);
            daemon.note(&Event::Answered {
                request: job.caller.id.clone(),
                endpoint: key.id.clone(),
                status: whole.res.status().as_u16(),
                took: elapsed_ms,
                outcome: "whole",
                work: place.work_percent(),
                framing: framing.into(),
                end: Some(BodyEnd::Complete.into()),
            });
        }
        Outcome::Stream(head) => {
            fleet.record_first_byte(now, key, endpoint_time, model, &estimate);
            place.record_first_byte(endpoint_time);
            daemon.gauges.record_first_byte(job.route.kind, elapsed);
            daemon.note(&Event::Answered {
                request: job.caller.id.clone(),
                endpoint: key.id.clone(),
                status: head.parts.status.as_u16(),
                took: elapsed_ms,
                outcome: "stream",
                work: place.work_percent(),
                framing: head.framing.into(),
                end: None,
            });
        }
        Outcome::Failure(..) => {
            fleet.record_activity(now, key);
            fleet.record_failure(now, key);
            place.set_end(End::Failed);
            daemon.note(&failed_event("endpoint_failure", "ran"));
        }
        Outcome::NotRun(error) => {
            fleet.record_activity(now, key);
            if *error == "shed" {
                fleet.record_failure(now, key);
                place.set_end(End::Failed);
            }
            daemon.note(&failed_event(error, "not_run"));
        }
        Outcome::Forbidden => {
            place.set_end(End::Unused);
            daemon.note(&failed_event("key_withdrawn", "unsent"));
        }
        Outcome::Quarantined(refusal) => {
            place.set_end(End::Unused);
            daemon.note(&failed_event(refusal.reason, "unsent"));
        }
        Outcome::NoCredit => {
            place.set_end(End::Unused);
            daemon.note(&failed_event("no_allowance", "unsent"));
        }
        Outcome::Unsent(error) => {
            // A daemon that has lost several endpoints may be the only one that doesn't reach them.
            let unreachable = match *error {
                "undelivered" => true,
                "connect" | "connection_refused" => !fleet.evidence(now).is_suspicious(),
                _ => false,
            };
            place.set_end(if unreachable { End::Unreachable } else { End::Unused });
            daemon.note(&failed_event(error, "unsent"));
        }
        Outcome::Truncated(_, end) => {
            fleet.record_failure(now, key);
            place.set_end(End::Failed);
            daemon.note(&failed_event(truncation_error(*end), "may_have_run"));
        }
        Outcome::Indeterminate(error) => {
            fleet.record_failure(now, key);
            place.set_end(End::Failed);
            daemon.note(&failed_event(error, "may_have_run"));
        }
    }
}
