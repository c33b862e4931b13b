//! Serves calls to plain services. The key of a call that must not run twice is claimed before the
//! call is sent.

use std::sync::Arc;
use std::time::Duration;

use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use smol::channel::Receiver;
use smol::future::FutureExt;
use xxhash_rust::xxh3;

use crate::decide::claim;
use crate::decide::claim::Answer;
use crate::decide::claim::Key;
use crate::decide::claim::Record;
use crate::decide::claim::interface::Admission;
use crate::decide::claim::interface::Claim;
use crate::decide::flow::Event;
use crate::decide::flow::Job;
use crate::decide::flow::Refusal;
use crate::edge::caller;
use crate::edge::caller::Code;
use crate::edge::caller::Refused;
use crate::edge::endpoint;
use crate::edge::endpoint::Outcome;
use crate::edge::endpoint::call;
use crate::edge::endpoint::call::Reply;
use crate::edge::http;
use crate::edge::http::Link;
use crate::edge::platform;
use crate::entry::Entry;
use crate::entry::Step;
use crate::entry::chat::first_byte_timeout;
use crate::entry::chat::record_status;
use crate::entry::chat::refuse;
use crate::entry::claim::Grant;
use crate::entry::job;
use crate::entry::serve::Head;
use crate::entry::serve::header;
use crate::metric::Counter;
use crate::table::CallerId;
use crate::table::EndpointId;
use crate::table::ServiceId;

/// Headers that are forwarded to a plain service.
const FORWARDED_HEADERS: [&str; 4] =
    ["content-type", "accept", caller::IDEMPOTENCY_KEY, caller::REQUEST_ID];
/// Maximum time that an answer is delayed until it is recorded.
const RECORD_TIMEOUT: Duration = Duration::from_millis(250);

/// A plain call, checked as far as possible without the configuration.
#[derive(Debug, Clone)]
pub struct Call {
    /// The name of the service.
    pub service: ServiceId,
    /// Path and query at the service; begins with `/`.
    pub path: String,
    /// The HTTP method.
    pub method: Method,
    /// The headers that are forwarded.
    pub headers: Vec<(String, String)>,
    /// The request body.
    pub body: Vec<u8>,
    /// The idempotency key, in the format of `claim::Key`.
    pub key: Option<String>,
}

impl Call {
    /// Parses a call to `/v1/services/{rest}`.
    pub fn parse(req: &Request, service_path: &str, body: Vec<u8>) -> Result<Self, Refused> {
        let (service, path) = service_path.split_once('/').unwrap_or((service_path, ""));
        let query = req.url().query().map_or_else(String::new, |query| format!("?{query}"));
        let headers = FORWARDED_HEADERS.iter();
        let headers =
            headers.filter_map(|name| Some(((*name).to_string(), header(req, name)?))).collect();
        let key = header(req, caller::IDEMPOTENCY_KEY);
        if let Some(Err(err)) = key.as_deref().map(|key| Key::try_from((service, key))) {
            return Err(Refused::new(Code::InvalidHeader, err.to_string()));
        }
        Ok(Call {
            service: service.to_string(),
            path: format!("/{path}{query}"),
            method: req.method(),
            headers,
            body,
            key,
        })
    }

    /// Returns the fingerprint of the call, by which repeats of it are recognized: a hash of its
    /// service, method, path and body.
    pub fn digest(&self) -> u64 {
        let seed = xxh3::xxh3_64(&self.body);
        let request_line = format!("{} {} {}", self.service, self.method, self.path);
        xxh3::xxh3_64_with_seed(request_line.as_bytes(), seed)
    }
}

/// Serves one plain call.
pub async fn handle(entry: Arc<Entry>, link: Link, head: Head, call: Call) -> Response {
    let job = match job::plain(&entry, &head, &call) {
        Ok(job) => job,
        Err(refused) => return refuse(&entry, &refused),
    };
    let (tx, rx) = smol::channel::unbounded();
    entry.register(job.id, tx);
    let id = job.id;
    let caller = head.caller;
    let run = Run { entry: entry.clone(), job, call, caller, rx, grant: None, may_have_run: false };
    let repeatable = run.job.repeatable;
    entry.on_event(Event::Arrived(run.job.clone()));
    let result = if repeatable {
        let hung_up = async {
            link.closed().await;
            None
        };
        async { Some(run.execute().await) }.or(hung_up).await
    } else {
        // A call that must not run twice continues after its caller disconnects: its outcome has to
        // be recorded for the retry that a caller without an answer will send.
        let task = smol::spawn(async move { run.execute().await });
        Some(task.await)
    };
    entry.unregister(id);
    match result {
        Some(Ok(reply)) => {
            entry.metrics.count(Counter::Answered);
            response(reply, link)
        }
        Some(Err(refused)) => refuse(&entry, &refused),
        None => {
            entry.metrics.count(Counter::Hangups);
            entry.on_event(Event::HungUp(id));
            Response::new(StatusCode::BadGateway)
        }
    }
}

fn response(reply: Reply, link: Link) -> Response {
    let status = StatusCode::try_from(reply.status).unwrap_or(StatusCode::BadGateway);
    let mut res = Response::new(status);
    res.set_body(Body::from_bytes(reply.body));
    res.insert_header("content-type", reply.mime.as_str());
    if let Some(held) = reply.held {
        http::hold_until_sent(&mut res, held, link);
    }
    res
}

/// A plain call in progress.
struct Run {
    entry: Arc<Entry>,
    job: Job,
    call: Call,
    caller: CallerId,
    rx: Receiver<Step>,
    grant: Option<Grant<platform::http::Client>>,
    /// Whether an attempt may have run. If so, no later refusal may say that the call did not run.
    may_have_run: bool,
}

/// How one attempt ended.
enum End {
    /// The endpoint answered.
    Reply(Reply),
    /// Nothing was sent, as the claim was not granted or the deadline had passed. Holds the answer
    /// recorded for the key, or a final refusal.
    Unsent(Result<Reply, Refused>),
    /// The attempt failed; `decide::flow` decides on the next step.
    Failed(endpoint::Error),
}

impl Run {
    async fn execute(mut self) -> Result<Reply, Refused> {
        loop {
            match self.rx.recv().await {
                Err(_) => return Err(Refused::new(Code::Failed, "the entry is stopping")),
                Ok(Step::Cancel(_)) => {}
                Ok(Step::Refuse(refusal)) => return Err(self.final_refusal(refusal.into())),
                Ok(Step::Send(target)) => match self.attempt(target).await {
                    End::Reply(reply) => return Ok(reply),
                    End::Unsent(result) => {
                        self.entry.on_event(Event::HungUp(self.job.id));
                        return result;
                    }
                    End::Failed(error) => {
                        self.may_have_run |= error.outcome() != Outcome::NotRun;
                        let request = self.job.id;
                        self.entry.on_event(Event::Failed { request, error, delivered: 0 });
                    }
                },
            }
        }
    }

    /// Returns the final refusal of a call that gets no further attempt.
    fn final_refusal(&mut self, refused: Refused) -> Refused {
        if self.may_have_run && refused.outcome == Outcome::NotRun {
            return Refusal::Failed(Outcome::Unknown, refused.retry_after).into();
        }
        if let Some(grant) = self.grant.take()
            && !self.may_have_run
        {
            // The call cannot have run, and the refusal says so. The key may be claimed again, as
            // the caller could otherwise never retry with it.
            grant.abandon();
        }
        refused
    }

    async fn attempt(&mut self, target: EndpointId) -> End {
        if !self.job.repeatable
            && self.grant.is_none()
            && let Err(end) = self.claim().await
        {
            return end;
        }
        let entry = self.entry.clone();
        let limits = &entry.settings.limits;
        let remaining = self.job.deadline.saturating_sub(entry.now());
        if remaining.is_zero() {
            // The claim used up the remaining time; this is not a failure of the endpoint.
            let retry_after = Duration::from_secs(1);
            let refusal = Refused::retryable(
                Code::Late,
                "the deadline passed; the call did not run",
                retry_after,
            );
            return End::Unsent(Err(self.final_refusal(refusal)));
        }
        let call = call::Plain {
            method: self.call.method,
            path: self.call.path.clone(),
            headers: self.call.headers.clone(),
            body: self.call.body.clone(),
            attempt: entry.new_attempt(),
            repeatable: self.job.repeatable,
        };
        entry.metrics.count(Counter::Attempts);
        if let Some(grant) = &mut self.grant {
            grant.mark_sent();
        }
        let limit = match self.job.repeatable {
            true => first_byte_timeout(remaining, limits.plain()).min(remaining),
            false => remaining.min(limits.plain()),
        };
        match entry.endpoints.plain(target, &call, limits.answer, limit).await {
            Ok((reply, aside)) => {
                record_status(&entry, target, aside);
                entry.on_event(Event::Finished(self.job.id));
                self.record(&reply).await;
                End::Reply(reply)
            }
            Err((error, aside)) => {
                record_status(&entry, target, aside);
                End::Failed(error)
            }
        }
    }

    /// Claims the key of the call, so that neither another entry nor a retry can send it too.
    async fn claim(&mut self) -> Result<(), End> {
        let name = self.call.key.as_deref().unwrap_or_default();
        let key = Key::try_from((self.call.service.as_str(), name));
        let key = key
            .map_err(|err| End::Unsent(Err(Refused::new(Code::InvalidHeader, err.to_string()))))?;
        let call = &self.call;
        let method = call.method.to_string();
        let digest = claim::digest(&self.caller, &method, &call.path, &call.body);
        let limit = self.job.deadline.saturating_sub(self.entry.now());
        match self.entry.claims.claim(&Claim { key, digest, timeout: limit }).await {
            Ok(grant) => {
                self.grant = Some(grant);
                Ok(())
            }
            Err(Admission::Repeat(Record::Complete(answer)))
                if !caller::promises_not_run(answer.status) =>
            {
                Err(End::Unsent(Ok(recorded_reply(answer))))
            }
            Err(admission) => Err(End::Unsent(Err(claim_refusal(&admission)))),
        }
    }

    /// Records the answer for retries. The answer is delayed for this by at most `RECORD_TIMEOUT`:
    /// if the entry dies before the record is stored, a retry is refused with an unknown outcome
    /// and nothing runs twice.
    async fn record(&mut self, reply: &Reply) {
        if let Some(grant) = self.grant.take() {
            let headers = vec![("content-type".to_string(), reply.mime.clone())];
            let record = Record::from_answer(reply.status, headers, &reply.body);
            grant.record(record).wait(RECORD_TIMEOUT).await;
        }
    }
}

/// Converts a recorded answer to the reply that was sent the first time.
fn recorded_reply(answer: Answer) -> Reply {
    let mime = answer.headers.into_iter().find(|(name, _)| name == "content-type");
    Reply {
        status: answer.status,
        mime: mime.map_or_else(String::new, |(_, value)| value),
        body: answer.body.into_bytes(),
        held: None,
    }
}

/// Returns the refusal for a key whose claim was not granted.
fn claim_refusal(admission: &Admission) -> Refused {
    match admission {
        Admission::NotRun(_, retry_after) => Refused::retryable(
            Code::ClaimUnavailable,
            "the key could not be claimed; retry later",
            *retry_after,
        ),
        Admission::InFlight(retry_after) => Refused {
            outcome: Outcome::Unknown,
            ..Refused::retryable(
                Code::InProgress,
                "a call with this key is in progress",
                *retry_after,
            )
        },
        Admission::Repeat(Record::Digest { status, bytes, .. }) => Refused {
            outcome: Outcome::Ran,
            ..Refused::new(
                Code::AnswerNotKept,
                format!(
                    "the call ran with status {status}; its answer of {bytes} bytes was not kept"
                ),
            )
        },
        Admission::Conflict => {
            Refused::new(Code::KeyConflict, "the key was used for another call; use a new key")
        }
        Admission::Expired => Refused::new(
            Code::KeyExpired,
            "the key is older than the retention of keys; use a new key",
        ),
        Admission::Early => Refused::new(
            Code::InvalidHeader,
            "the time in the key is in the future; check the clock",
        ),
        Admission::Granted | Admission::Unknown | Admission::Repeat(_) => Refused {
            outcome: Outcome::Unknown,
            ..Refused::new(Code::OutcomeUnknown, "an earlier call with this key may have run")
        },
    }
}
