//! Serves completion requests: one answer per request, over as many attempts as `decide::flow`
//! allows.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use http_types::Body;
use http_types::Response;
use http_types::StatusCode;
use smol::channel::Receiver;
use smol::future::FutureExt;

use crate::config::service::Class;
use crate::decide::flow::Event;
use crate::decide::flow::Refusal;
use crate::edge::caller::Completion;
use crate::edge::caller::Refused;
use crate::edge::caller::Writer;
use crate::edge::endpoint;
use crate::edge::endpoint::Outcome;
use crate::edge::endpoint::call;
use crate::edge::endpoint::call::Item;
use crate::edge::endpoint::call::Status;
use crate::edge::http;
use crate::edge::http::Link;
use crate::entry::Entry;
use crate::entry::Step;
use crate::entry::job;
use crate::entry::pipe;
use crate::entry::serve::Head;
use crate::entry::serve::NO_ROOM_RETRY_AFTER;
use crate::metric::Counter;
use crate::table::EndpointId;
use crate::table::RequestId;

/// Minimum time that an attempt gets for its first byte. It is above 1.4 s, the target for the 95th
/// percentile at the planned size, so that an ordinary wait does not count as a frozen endpoint.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Serves one completion request.
pub async fn handle(entry: Arc<Entry>, link: Link, head: Head, req: Completion) -> Response {
    let job = match job::completion(&entry, &head, &req) {
        Ok(job) => job,
        Err(refused) => return refuse(&entry, &refused),
    };
    let (tx, rx) = smol::channel::unbounded();
    entry.register(job.id, tx);
    let writer = Writer::new(
        req.style,
        format!("cmpl-{}", head.request_id),
        req.body["model"].as_str().unwrap_or_default().to_string(),
        SystemTime::UNIX_EPOCH.elapsed().map_or(0, |time| time.as_secs()),
    );
    let stream = req.stream;
    let run = Run {
        id: job.id,
        deadline: job.deadline,
        priority: priority(job.class),
        delivered: 0,
        text_bytes: 0,
        attempt: None,
        entry,
        rx,
        req,
        head,
    };
    run.entry.on_event(Event::Arrived(job));
    if stream { streamed(run, link, writer).await } else { complete(run, link, writer).await }
}

/// Returns the engine's priority for a class; 0 is the most urgent.
fn priority(class: Class) -> u8 {
    match class {
        Class::Record => 0,
        Class::Interactive => 1,
        Class::Revision => 2,
        Class::Batch => 3,
    }
}

/// A completion request in progress.
struct Run {
    entry: Arc<Entry>,
    id: RequestId,
    deadline: Duration,
    priority: u8,
    /// Number of tokens received from endpoints over all attempts and passed on in this order.
    delivered: u64,
    /// Size of the text of these tokens.
    text_bytes: usize,
    /// The attempt in progress, which is cancelled when the caller disconnects.
    attempt: Option<(EndpointId, String)>,
    rx: Receiver<Step>,
    req: Completion,
    head: Head,
}

/// Why a request ended before its answer was complete.
enum Stop {
    Refused(Refused),
    /// The caller disconnected, or its answer has no room.
    Disconnected,
}

impl Run {
    /// Runs attempts until the answer is complete or the request is refused. `sink` takes each
    /// token and returns whether the caller is still connected.
    async fn execute<F>(&mut self, sink: impl Fn(String) -> F) -> Result<(), Stop>
    where
        F: Future<Output = bool>,
    {
        loop {
            match self.rx.recv().await {
                Err(_) => return Err(Stop::Disconnected),
                Ok(Step::Cancel(_)) => {}
                Ok(Step::Refuse(refusal)) => return Err(Stop::Refused(refusal.into())),
                Ok(Step::Send(target)) => {
                    let rx = self.rx.clone();
                    let result = async { Some(self.attempt(target, &sink).await) };
                    match result.or(cancelled(&rx, target)).await {
                        Some(Ok(true)) => {
                            self.attempt = None;
                            self.entry.on_event(Event::Finished(self.id));
                            return Ok(());
                        }
                        Some(Ok(false)) => return Err(Stop::Disconnected),
                        Some(Err(error)) => self.on_failed(target, error),
                        None => self.cancel(),
                    }
                }
            }
        }
    }

    fn on_failed(&mut self, target: EndpointId, error: endpoint::Error) {
        if error.outcome() == Outcome::Unknown {
            self.cancel();
        }
        self.attempt = None;
        tracing::debug!(at = %target, %error, request = %self.head.request_id, "attempt failed");
        let delivered = self.delivered;
        self.entry.on_event(Event::Failed { request: self.id, error, delivered });
    }

    /// Runs one attempt. Returns false if the caller disconnected.
    async fn attempt<F>(
        &mut self,
        target: EndpointId,
        sink: &impl Fn(String) -> F,
    ) -> Result<bool, endpoint::Error>
    where
        F: Future<Output = bool>,
    {
        let entry = self.entry.clone();
        let limits = &entry.settings.limits;
        let attempt = entry.new_attempt();
        let call = call::Completion {
            path: self.req.style.path().to_string(),
            body: self.req.body.clone(),
            attempt: attempt.clone(),
            priority: self.priority,
            remaining: self.deadline.saturating_sub(entry.now()),
            first_token: self.delivered,
        };
        self.attempt = Some((target, attempt));
        entry.metrics.count(Counter::Attempts);
        if self.delivered > 0 {
            entry.metrics.count(Counter::Resumed);
        }
        let start = entry.now();
        let max_wait = first_byte_timeout(call.remaining, limits.first_byte());
        let mut stream = match entry.endpoints.stream(target, &call, max_wait).await {
            Ok((stream, aside)) => {
                record_status(&entry, target, aside);
                stream
            }
            Err((error, aside)) => {
                record_status(&entry, target, aside);
                return Err(error);
            }
        };
        let mut timeout = max_wait.saturating_sub(entry.now() - start);
        loop {
            match stream.next(timeout).await {
                Ok(Item::Token(text)) => {
                    self.check_size(&text)?;
                    self.delivered += 1;
                    entry.metrics.count(Counter::Tokens);
                    entry.on_event(Event::Progress(self.id, 1));
                    if !sink(text).await {
                        return Ok(false);
                    }
                    timeout = limits.part_gap();
                }
                Ok(Item::End) => {
                    entry.metrics.add(Counter::Foreign, stream.foreign());
                    stream.finish();
                    return Ok(true);
                }
                Err(error) => {
                    entry.metrics.add(Counter::Foreign, stream.foreign());
                    return Err(error);
                }
            }
        }
    }

    /// Returns an error if another token would make the answer larger than requested or allowed.
    fn check_size(&mut self, token: &str) -> Result<(), endpoint::Error> {
        let max_tokens = self.req.body["max_tokens"].as_u64();
        if max_tokens.is_some_and(|max| self.delivered >= max) {
            return Err(endpoint::Error::Protocol("more tokens than requested".to_string()));
        }
        self.text_bytes += token.len();
        let max = self.entry.settings.limits.answer;
        if self.text_bytes > max {
            return Err(endpoint::Error::Protocol(format!("answer exceeds {max} bytes")));
        }
        Ok(())
    }

    /// Cancels the attempt in progress at its endpoint.
    fn cancel(&mut self) {
        if let Some((target, attempt)) = self.attempt.take() {
            let entry = self.entry.clone();
            smol::spawn(async move {
                entry.endpoints.cancel(target, &attempt, Duration::from_secs(2)).await;
            })
            .detach();
        }
    }

    fn on_hangup(&mut self) {
        self.entry.metrics.count(Counter::Hangups);
        self.entry.on_event(Event::HungUp(self.id));
        self.cancel();
    }
}

/// Returns the first-byte timeout of an attempt of a repeatable call, given the time left until the
/// deadline and the configured limit.
///
/// A frozen endpoint keeps its connections open and sends nothing. Waiting for it until the
/// deadline would leave no time for another endpoint; with half of the remaining time, the next
/// attempt gets as much as this one had. Timeouts below `MIN_FIRST_BYTE_TIMEOUT` would only
/// duplicate work at busy endpoints.
pub fn first_byte_timeout(remaining: Duration, limit: Duration) -> Duration {
    (remaining / 2).max(MIN_FIRST_BYTE_TIMEOUT).min(limit)
}

/// Completes when the attempt at an endpoint is cancelled. No other step can arrive before that: a
/// request in progress is cancelled before it is refused.
async fn cancelled<T>(rx: &Receiver<Step>, target: EndpointId) -> Option<T> {
    loop {
        match rx.recv().await {
            Ok(Step::Cancel(endpoint)) if endpoint == target => return None,
            Ok(_) => {}
            Err(_) => smol::future::pending().await,
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        // A request that received no token is demand too, so placement has to count it.
        let tokens = if self.delivered > 0 { self.delivered } else { self.req.max_tokens.into() };
        self.entry.with_offers(|offers| offers.add(&self.req.model, tokens));
        self.entry.unregister(self.id);
    }
}

/// Records the load and the leaving state that an endpoint sent with an answer.
pub fn record_status(entry: &Entry, target: EndpointId, aside: Status) {
    if let Some((running, waiting)) = aside.load {
        entry.on_event(Event::Load(target, running, waiting));
    }
    if aside.leaving {
        entry.on_event(Event::Leaving(target));
    }
}

/// Counts a refusal by its outcome and returns its response.
pub fn refuse(entry: &Entry, refused: &Refused) -> Response {
    count(entry, refused);
    refused.response()
}

fn count(entry: &Entry, refused: &Refused) {
    entry.metrics.count(match refused.outcome {
        Outcome::NotRun | Outcome::Ran => Counter::Refused,
        Outcome::Unknown => Counter::Unknown,
    });
}

/// Completes when the caller disconnects.
async fn disconnected(link: &Link) -> Result<(), Stop> {
    link.closed().await;
    Err(Stop::Disconnected)
}

async fn complete(mut run: Run, link: Link, writer: Writer) -> Response {
    let text = std::sync::Mutex::new(String::new());
    let held = run.entry.endpoints.hold();
    let sink = |token: String| {
        let (text, held) = (&text, &held);
        async move {
            let has_room = held.add(token.len()).await;
            if has_room {
                text.lock().expect("text").push_str(&token);
            }
            has_room
        }
    };
    let no_room = async {
        held.refused().await;
        Err(Stop::Disconnected)
    };
    let result = run.execute(sink).or(disconnected(&link)).or(no_room).await;
    match result {
        Err(Stop::Disconnected) if held.is_refused() => {
            run.entry.on_event(Event::HungUp(run.id));
            run.cancel();
            let refusal = Refusal::Failed(Outcome::Unknown, Some(NO_ROOM_RETRY_AFTER));
            refuse(&run.entry, &refusal.into())
        }
        Ok(()) => {
            run.entry.metrics.count(Counter::Answered);
            let text = text.into_inner().expect("text");
            let mut res = http::json(StatusCode::Ok, &writer.complete(&text, run.delivered));
            http::hold_until_sent(&mut res, held, link);
            res
        }
        Err(Stop::Refused(refused)) => refuse(&run.entry, &refused),
        Err(Stop::Disconnected) => {
            run.on_hangup();
            Response::new(StatusCode::BadGateway)
        }
    }
}

/// Serves a streamed answer. The response head is sent with the first token, so that a refusal
/// before it still has its own status.
async fn streamed(mut run: Run, link: Link, writer: Writer) -> Response {
    let (feed, body) = pipe::pair();
    let (first_tx, first_rx) = smol::channel::bounded::<Result<(), Refused>>(1);
    smol::spawn(async move {
        let sink = |token: String| {
            let (feed, first_tx, writer) = (&feed, &first_tx, &writer);
            async move {
                let _ = first_tx.try_send(Ok(()));
                feed.send(writer.token(&token)).await
            }
        };
        let result = run.execute(sink).or(disconnected(&link)).await;
        match result {
            Ok(()) => {
                let _ = first_tx.try_send(Ok(()));
                if feed.send(writer.end()).await {
                    feed.end().await;
                }
                run.entry.metrics.count(Counter::Answered);
            }
            Err(Stop::Refused(refused)) => {
                count(&run.entry, &refused);
                if first_tx.try_send(Err(refused.clone())).is_err() {
                    // Tokens were already sent. An error event follows, and the body ends without
                    // its last chunk; a caller that checks neither still receives no `[DONE]`.
                    feed.send(writer.error(&refused.body())).await;
                }
            }
            Err(Stop::Disconnected) => run.on_hangup(),
        }
    })
    .detach();
    match first_rx.recv().await {
        Ok(Ok(())) => {
            let mut res = Response::new(StatusCode::Ok);
            res.set_body(Body::from_reader(body, None));
            res.insert_header("content-type", "text/event-stream");
            res.insert_header("cache-control", "no-cache");
            res
        }
        Ok(Err(refused)) => refused.response(),
        Err(_) => Response::new(StatusCode::BadGateway),
    }
}
