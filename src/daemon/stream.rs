//! Forwards an endpoint's event stream to the caller as it arrives.
//!
//! If the route is resumable, a broken stream is continued by another endpoint within the same
//! response. Only complete events are forwarded then: the first endpoint may stop in the middle of
//! an event, and the other one starts with the next.

use std::rc::Rc;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Frame;
use smol::Timer;
use smol::future::FutureExt;

use crate::daemon::Daemon;
use crate::daemon::admission::Permit;
use crate::daemon::clock;
use crate::daemon::contact;
use crate::daemon::front;
use crate::daemon::front::Job;
use crate::daemon::front::Tracker;
use crate::daemon::front::Truncated;
use crate::daemon::intake::HeldMessage;
use crate::daemon::journal::Event;
use crate::daemon::link;
use crate::daemon::liveness;
use crate::daemon::liveness::Connection;
use crate::daemon::origin;
use crate::daemon::quarantine;
use crate::daemon::quarantine::Run;
use crate::daemon::retry;
use crate::daemon::send;
use crate::daemon::send::Head;
use crate::daemon::send::Outcome;
use crate::decide::body;
use crate::decide::body::Content;
use crate::decide::body::Cutoff;
use crate::decide::body::Framing;
use crate::decide::body::Verdict;
use crate::decide::endpoint::End;
use crate::edge::event_stream::BYTE_ORDER_MARK;
use crate::edge::event_stream::Scanner;
use crate::table::instance::Key;

/// Longest event of a stream that may be resumed, in bytes: it is buffered completely before it is
/// forwarded.
const MAX_EVENT_BYTES: usize = send::MAX_BODY_BYTES;
/// Incomplete events up to this size are not counted as held.
const SMALL_EVENT_BYTES: usize = 4 << 10;

/// A stream that is being forwarded.
pub struct Forwarder {
    daemon: Rc<Daemon>,
    job: Rc<Job>,
    place: Permit,
    /// The response being read; none once the stream has ended.
    head: Option<Box<Head>>,
    /// How that response is delimited.
    framing: Framing,
    /// Position in the events received.
    scanner: Scanner,
    /// Received bytes of an incomplete event, if the route is resumable.
    buffer: BytesMut,
    /// Counts a large buffer as held; none before it is large.
    held: Option<HeldMessage>,
    /// Whether the caller has been sent bytes of the stream.
    has_forwarded: bool,
    /// Whether the response being read continues another one and nothing of it was forwarded.
    is_continuation_start: bool,
    tried: Vec<Key>,
    attempts: u32,
    deadline: Timer,
    /// When data that is always ready is no longer passed on.
    cutoff: Cutoff,
    /// When the stream's head was received, on the boot clock.
    started_at: Duration,
    /// Number of data frames received.
    frames: u64,
    /// When the last data frame was received, on the boot clock.
    last_frame_at: Duration,
    /// Longest pause between two data frames, and when it ended, on the boot clock.
    longest_pause: (Duration, Duration),
    open_request: Tracker,
}

/// What was read from the endpoint.
enum Received {
    Data(Bytes),
    /// The response ended in this way.
    End(body::End),
}

impl Forwarder {
    /// Starts forwarding the stream that `head` begins.
    pub fn new(
        daemon: &Rc<Daemon>,
        job: &Rc<Job>,
        place: Permit,
        head: Box<Head>,
        attempts: u32,
        open_request: Tracker,
    ) -> Self {
        let started_at = clock::now();
        let time_left = job.deadline.saturating_sub(started_at);
        Forwarder {
            started_at,
            frames: 0,
            last_frame_at: started_at,
            longest_pause: (Duration::ZERO, Duration::ZERO),
            daemon: daemon.clone(),
            job: job.clone(),
            place,
            has_forwarded: false,
            framing: head.framing,
            scanner: Scanner::default(),
            head: Some(head),
            buffer: BytesMut::new(),
            held: None,
            is_continuation_start: false,
            tried: Vec::new(),
            attempts,
            deadline: Timer::after(time_left),
            cutoff: Cutoff::new(job.deadline),
            open_request,
        }
    }

    /// Returns the next bytes for the caller; none at the end of the stream.
    pub async fn next(&mut self) -> Option<Result<Frame<Bytes>, Truncated>> {
        while self.head.is_some() {
            let end = match self.receive().await {
                Received::Data(data) => match self.release(data) {
                    None if self.buffer.len() > MAX_EVENT_BYTES => body::End::TooLong,
                    None if !self.count_buffer().await => body::End::NoRoom,
                    Some(bytes) => {
                        self.held = None;
                        self.bind();
                        return Some(Ok(Frame::data(bytes)));
                    }
                    None => continue,
                },
                Received::End(end) => end,
            };
            self.daemon.gauges.record_body(self.framing, end);
            if end == body::End::Complete {
                self.finish(end);
                let rest = self.buffer.split().freeze();
                return (!rest.is_empty()).then_some(Ok(Frame::data(rest)));
            }
            // A crash has been recorded as it was found, and the others are none.
            let is_recorded =
                matches!(end, body::End::Timeout | body::End::Crashed | body::End::NoRoom);
            if let (false, Some(head)) = (is_recorded, &self.head) {
                let run = self.run(head.sent_at, head.received_at);
                quarantine::on_broken(&self.daemon, &self.place.key, run);
            }
            if !self.resume(end).await {
                self.head = None;
                self.abort(end);
                // The server drops what it has not written yet when the body fails.
                smol::future::yield_now().await;
                return Some(Err(Truncated));
            }
        }
        None
    }

    /// Returns the run whose response is being read.
    fn run(&self, sent_at: Duration, received_at: Duration) -> Run<'_> {
        Run { content: &self.job.content, sent_at, answered_at: Some(received_at) }
    }

    /// Returns how the stream has ended, as its framing has.
    async fn judge(&self, run: Run<'_>, liveness: Option<Connection>) -> body::End {
        let scanner = &self.scanner;
        let (complete, between) = (scanner.events(), scanner.is_between_events());
        match body::judge(self.framing, Content::Events { complete, between }) {
            Verdict::Ended(end) => end,
            Verdict::Unconfirmed => {
                let (daemon, key) = (&self.daemon, &self.place.key);
                send::confirm_end(daemon, self.job.deadline, key, run, liveness).await
            }
        }
    }

    async fn receive(&mut self) -> Received {
        let Some(head) = &mut self.head else {
            return Received::End(body::End::Complete);
        };
        let frame = async {
            match head.body.frame().await {
                None => Ok(None),
                Some(Err(err)) => Err(link::end_of(&err)),
                Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            }
        };
        let deadline = async {
            (&mut self.deadline).await;
            Err(body::End::Timeout)
        };
        // There is no limit on a pause: the endpoint may still continue, and a dead connection is
        // detected by the socket's own time-outs.
        let data = match frame.or(deadline).await {
            Ok(Some(_)) if self.cutoff.is_due(clock::now()) => {
                return Received::End(body::End::Timeout);
            }
            Ok(Some(data)) => data,
            Ok(None) => {
                let (sent_at, received_at) = (head.sent_at, head.received_at);
                let liveness = head.liveness.take();
                let run = self.run(sent_at, received_at);
                return Received::End(self.judge(run, liveness).await);
            }
            Err(end) => return Received::End(end),
        };
        if self.framing == Framing::Close && !self.job.spec.engine_service {
            // A connection that has been idle for long is replaced.
            let newer = liveness::before_request(&self.daemon, &self.place.key);
            head.liveness = newer.or(head.liveness.take());
        }
        contact::on_received(&self.daemon, &self.place.key, head.link.addr);
        let now = clock::now();
        let lasts = now >= head.received_at + quarantine::STARTING_PERIOD;
        if lasts && !std::mem::replace(&mut head.has_survived, true) {
            quarantine::on_survived(&self.daemon, &self.job.content);
        }
        let pause = now.saturating_sub(self.last_frame_at);
        self.daemon.fleet.borrow_mut().record_event(now, &self.place.key, pause);
        self.longest_pause = self.longest_pause.max((pause, now));
        self.last_frame_at = now;
        self.frames += 1;
        Received::Data(data)
    }

    /// Returns the bytes that can be forwarded now that `data` has arrived: on a resumable route
    /// those of complete events, otherwise all.
    fn release(&mut self, data: Bytes) -> Option<Bytes> {
        let end = self.scanner.push(&data);
        if !self.job.route.resumable {
            return Some(data);
        }
        let buffered = self.buffer.len();
        self.buffer.extend_from_slice(&data);
        let mut events = self.buffer.split_to(buffered + end?).freeze();
        if std::mem::take(&mut self.is_continuation_start) && events.starts_with(BYTE_ORDER_MARK) {
            events.advance(BYTE_ORDER_MARK.len());
        }
        Some(events)
    }

    /// Counts the buffer as held if it is large; returns false if there is no room for it.
    async fn count_buffer(&mut self) -> bool {
        if self.buffer.len() <= SMALL_EVENT_BYTES && self.held.is_none() {
            return true;
        }
        let held = self.held.get_or_insert_with(|| HeldMessage::response(&self.daemon));
        // It grows by doubling.
        held.resize(2 * self.buffer.len()).await
    }

    /// Binds the stream to the version that sends its first events, before they are forwarded.
    fn bind(&mut self) {
        if !std::mem::replace(&mut self.has_forwarded, true) && self.job.route.resumable {
            origin::bind(&self.daemon, &self.job, &self.place.key);
        }
    }

    /// Returns whether the stream may go on at another endpoint: it is bound to a version, or to
    /// none.
    fn is_free(&self) -> bool {
        !self.has_forwarded || self.job.software.get().is_some()
    }

    /// Continues the stream at another endpoint; false if that is not possible.
    async fn resume(&mut self, end: body::End) -> bool {
        let time_left = self.job.deadline.saturating_sub(clock::now());
        let route = &self.job.route;
        self.head = None;
        // Another endpoint would send the same event.
        if matches!(end, body::End::Timeout | body::End::TooLong | body::End::NoRoom)
            || !route.resumable
            || !self.scanner.can_resume()
            || !self.is_free()
            || time_left.is_zero()
        {
            return false;
        }
        self.daemon.fleet.borrow_mut().record_failure(clock::now(), &self.place.key);
        self.place.set_end(End::Failed);
        self.buffer.clear();
        self.tried.push(self.place.key.clone());
        while self.attempts < route.max_attempts
            && self.tried.len() <= front::MAX_ENDPOINTS_TRIED as usize
        {
            quarantine::settle(&self.daemon, &self.job.content).await;
            if !retry::is_possible(&self.daemon, &self.job) {
                return false;
            }
            let Ok(place) = front::find(&self.daemon, &self.job, &self.tried).await else {
                return false;
            };
            self.attempts += 1;
            let last_id = self.scanner.last_id();
            let number = self.attempts;
            let outcome =
                send::attempt(&self.daemon, &self.job, &place, number, last_id, true, false).await;
            match outcome {
                Outcome::Stream(head) => {
                    self.daemon.note(&Event::Resumed {
                        request: self.job.caller.id.clone(),
                        endpoint: place.key.id.clone(),
                        software: self.job.software.get().cloned(),
                        after: last_id.unwrap_or_default().to_string(),
                        framing: self.framing.into(),
                        end: end.into(),
                    });
                    self.place = place;
                    self.framing = head.framing;
                    self.scanner.restart();
                    self.is_continuation_start = true;
                    self.head = Some(head);
                    return true;
                }
                Outcome::Forbidden | Outcome::NoCredit | Outcome::Quarantined(_) => return false,
                Outcome::NotRun(_) | Outcome::Unsent(_) => {
                    self.attempts -= 1;
                    self.tried.push(place.key.clone());
                }
                Outcome::Complete(..)
                | Outcome::Failure(..)
                | Outcome::Truncated(..)
                | Outcome::Indeterminate(_) => {
                    self.tried.push(place.key.clone());
                }
            }
        }
        false
    }

    fn finish(&mut self, end: body::End) {
        let now = clock::now();
        self.open_request.answered = true;
        self.daemon.completions.borrow_mut().record(now, self.job.spec.class);
        quarantine::on_completed(&self.daemon, &self.job.content);
        if self.head.as_ref().is_some_and(|head| !head.has_survived) {
            quarantine::on_survived(&self.daemon, &self.job.content);
        }
        if let Some(model) = &self.job.caller.model {
            let duration = now.saturating_sub(self.started_at);
            self.daemon.demand.borrow_mut().record_slot_time(model, duration);
        }
        if let Some(head) = self.head.take() {
            send::return_to_pool(
                &self.daemon,
                &self.place.key,
                head.link,
                head.answer.idle_timeout,
            );
            let load =
                self.daemon.fleet.borrow().get(&self.place.key).map_or(0, |row| row.load(now));
            self.daemon.note(&Event::Ended {
                request: self.job.caller.id.clone(),
                endpoint: self.place.key.id.clone(),
                took: now.saturating_sub(self.job.arrived_at).as_millis() as u64,
                events: self.frames,
                pause: self.longest_pause.0.as_millis() as u64,
                pause_at: self.longest_pause.1.as_millis() as u64,
                load,
                framing: self.framing.into(),
                end: end.into(),
            });
        }
    }

    fn abort(&mut self, end: body::End) {
        let now = clock::now();
        self.open_request.answered = true;
        self.daemon.fleet.borrow_mut().record_failure(now, &self.place.key);
        self.place.set_end(End::Failed);
        self.daemon.note(&Event::Cut {
            request: self.job.caller.id.clone(),
            endpoint: self.place.key.id.clone(),
            reason: send::truncation_error(end),
            took: now.saturating_sub(self.job.arrived_at).as_millis() as u64,
            framing: self.framing.into(),
            end: end.into(),
        });
    }
}
