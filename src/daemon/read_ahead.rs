//! Reads streams on while their callers are slow, within the bounds of `decide::read_ahead`.
//!
//! A caller that keeps up costs nothing: the server polls the stream, which polls the endpoint, and
//! no copy, task or timer is added. The daemon's tick finds the streams that their callers have not
//! asked for more of, and starts a task for each that reads the endpoint and keeps what it sends.
//! The task ends once the caller has taken all of it. A large plain answer is handed to the server
//! in pieces, and is kept in the same way until the last one.
//!
//! A stream that is ended for holding too much takes its caller's connection with it, by a reset:
//! no caller takes it for complete, and the kernel discards what was not sent.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hyper::body::Frame;
use smol::Task;
use smol::stream::Stream;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::connection::Connection;
use crate::daemon::front::Frames;
use crate::daemon::front::Truncated;
use crate::daemon::intake;
use crate::daemon::journal::Event;
use crate::daemon::segments::MAX_SEGMENT_BYTES;
use crate::daemon::segments::Segments;
use crate::decide::read_ahead;
use crate::decide::read_ahead::Bounds;
use crate::decide::read_ahead::Cause;
use crate::decide::read_ahead::Holding;
use crate::decide::read_ahead::Message;
use crate::table::RequestId;

/// Bytes of a plain answer that are handed to the server at a time at the most. The server buffers as
/// much, and copies what it buffers.
pub const PIECE_BYTES: usize = MAX_SEGMENT_BYTES;
/// Bytes of a stream that are kept in one allocation. Kept one by one, frames of a byte would take
/// many times the memory that the bounds count.
const KEPT_BYTES: usize = 4 << 10;
/// Bytes that the server holds for a caller that is behind, and that are not counted one by one.
const SERVER_BUFFER_BYTES: usize = 64 << 10;
/// What a daemon holds for its callers.
pub struct Table {
    pub(super) bounds: Bounds,
    rows: RefCell<HashMap<RequestId, Rc<Row>>>,
    /// Bytes of bodies that are not in `rows`.
    bodies: Cell<usize>,
    /// Requests among them.
    requests: intake::Pool,
    /// Responses among them that are kept until they are complete.
    responses: intake::Pool,
    /// Bytes that were read ahead and not taken yet.
    read_ahead: Cell<usize>,
    /// Most bytes held at once.
    max_held: Cell<usize>,
    ended: RefCell<HashMap<Cause, u64>>,
}

impl Table {
    /// Returns the table of a process that may use this many bytes, if it is known.
    pub fn new(memory: Option<usize>) -> Self {
        Table {
            bounds: Bounds::from_memory(memory),
            rows: RefCell::default(),
            bodies: Cell::default(),
            requests: intake::Pool::default(),
            responses: intake::Pool::default(),
            read_ahead: Cell::default(),
            max_held: Cell::default(),
            ended: RefCell::default(),
        }
    }

    /// Returns the messages of a kind.
    pub(super) fn pool(&self, kind: Message) -> &intake::Pool {
        match kind {
            Message::Request => &self.requests,
            Message::Response => &self.responses,
        }
    }

    /// Returns the number of bytes held now, and the most that were held at once.
    pub fn held(&self) -> (usize, usize) {
        (self.bodies.get() + self.read_ahead.get(), self.max_held.get())
    }

    /// Returns the number of answers whose callers are behind.
    pub fn behind_count(&self) -> usize {
        self.rows.borrow().values().filter(|row| row.is_read_ahead()).count()
    }

    /// Returns how many answers were ended, by cause.
    pub fn ended(&self) -> Vec<(Cause, u64)> {
        self.ended.borrow().iter().map(|(cause, count)| (*cause, *count)).collect()
    }

    fn add(&self, count: &Cell<usize>, bytes: usize) {
        count.set(count.get() + bytes);
        self.max_held.set(self.max_held.get().max(self.held().0));
    }
}

/// Counts a body as held until it is dropped.
pub struct Held {
    daemon: Rc<Daemon>,
    bytes: Cell<usize>,
}

impl Held {
    /// Returns a body of which nothing has been received.
    pub fn new(daemon: &Rc<Daemon>) -> Self {
        Held { daemon: daemon.clone(), bytes: Cell::default() }
    }

    /// Returns the number of bytes that are counted.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Counts a part of the body.
    pub fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
        let table = &self.daemon.read_ahead;
        table.add(&table.bodies, bytes);
    }

    /// Counts `bytes` less.
    pub fn remove(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() - bytes);
        let bodies = &self.daemon.read_ahead.bodies;
        bodies.set(bodies.get() - bytes);
    }

    /// Counts nothing of the body any more.
    pub fn release(&self) {
        let bodies = &self.daemon.read_ahead.bodies;
        bodies.set(bodies.get() - self.bytes.take());
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.release();
    }
}

/// An answer that is being delivered.
struct Row {
    request: String,
    connection: Rc<Connection>,
    /// Set when the answer is ended here, so that its caller is not taken to have left.
    is_ended: Rc<Cell<bool>>,
    /// The answer as the endpoint sends it; none once it has ended.
    frames: RefCell<Option<Frames>>,
    /// What was read and not taken by the caller.
    pending: RefCell<VecDeque<Bytes>>,
    /// What was read after `pending`, less than `KEPT_BYTES`.
    tail: RefCell<BytesMut>,
    pending_bytes: Cell<usize>,
    /// How the answer ended after `pending`; none while there is more.
    end: Cell<Option<Result<(), Truncated>>>,
    /// Whether the caller waits for more.
    is_wanted: Cell<bool>,
    /// When the caller was found not to ask for more; none if it does, or has asked since.
    behind_since: Cell<Option<Duration>>,
    full_since: Cell<Option<Duration>>,
    /// Reads the answer on; none while the caller keeps up.
    reader: RefCell<Option<Task<()>>>,
    /// Wakes the reader when there is room again.
    reader_waker: RefCell<Option<Waker>>,
}

impl Row {
    /// Returns whether the caller is behind.
    fn is_read_ahead(&self) -> bool {
        self.reader.borrow().is_some() || self.pending_bytes.get() > 0
    }

    /// Returns the bytes that are held, with those of the server.
    fn holding(&self, number: RequestId, now: Duration) -> Holding {
        Holding {
            number,
            bytes: self.pending_bytes.get() + SERVER_BUFFER_BYTES,
            behind_since: self.behind_since.get().unwrap_or(now),
            full_since: self.full_since.get(),
        }
    }

    /// Reads the answer on until it has no more for now, or holds as much as allowed.
    fn poll_ahead(&self, daemon: &Rc<Daemon>, cx: &mut Context<'_>) -> Poll<()> {
        let table = &daemon.read_ahead;
        loop {
            if self.pending_bytes.get() >= table.bounds.stream {
                self.full_since.set(self.full_since.get().or(Some(clock::now())));
                *self.reader_waker.borrow_mut() = Some(cx.waker().clone());
                return Poll::Pending;
            }
            let polled = match &mut *self.frames.borrow_mut() {
                Some(frames) => frames.as_mut().poll_next(cx),
                None => return Poll::Ready(()),
            };
            match polled {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    self.keep(&data);
                    table.add(&table.read_ahead, data.len());
                    if table.held().0 > table.bounds.total {
                        enforce(daemon);
                    }
                }
                Poll::Ready(end) => {
                    self.finish(end.map_or(Ok(()), |item| item.map(|_| ())));
                    return Poll::Ready(());
                }
            }
        }
    }

    /// Copies bytes that were read ahead: the frame refers to a buffer of the connection that is many
    /// times as large.
    fn keep(&self, mut data: &[u8]) {
        self.pending_bytes.set(self.pending_bytes.get() + data.len());
        let mut tail = self.tail.borrow_mut();
        while !data.is_empty() {
            if tail.is_empty() {
                tail.reserve(KEPT_BYTES);
            }
            let (kept, rest) = data.split_at(data.len().min(KEPT_BYTES - tail.len()));
            tail.extend_from_slice(kept);
            data = rest;
            if tail.len() == KEPT_BYTES {
                self.pending.borrow_mut().push_back(std::mem::take(&mut *tail).freeze());
            }
        }
    }

    fn finish(&self, end: Result<(), Truncated>) {
        self.end.set(Some(end));
        self.frames.take();
    }

    /// Takes bytes that were read ahead.
    fn take_pending(&self, table: &Table) -> Option<Bytes> {
        let first = self.pending.borrow_mut().pop_front();
        let data = first.unwrap_or_else(|| self.tail.take().freeze());
        if data.is_empty() {
            return None;
        }
        self.pending_bytes.set(self.pending_bytes.get() - data.len());
        table.read_ahead.set(table.read_ahead.get() - data.len());
        if self.full_since.get().is_some() && self.pending_bytes.get() < table.bounds.stream {
            self.full_since.set(None);
            if let Some(waker) = self.reader_waker.take() {
                waker.wake();
            }
        }
        Some(data)
    }

    /// Discards what is held and stops reading.
    fn clear(&self, table: &Table) {
        self.reader.take();
        self.frames.take();
        self.pending.take();
        self.tail.take();
        table.read_ahead.set(table.read_ahead.get() - self.pending_bytes.take());
    }
}

/// An answer on its way to a caller. Dropping it stops the reading at once.
pub struct ReadAhead {
    daemon: Rc<Daemon>,
    number: RequestId,
    row: Rc<Row>,
    /// Bytes handed to the server.
    delivered: usize,
    /// Whether the server had a chance to write before it is told that the answer is truncated.
    has_yielded: bool,
}

impl ReadAhead {
    /// Returns an answer that arrives from an endpoint.
    pub fn stream(
        daemon: &Rc<Daemon>,
        number: RequestId,
        request: &str,
        connection: &Rc<Connection>,
        is_ended: Rc<Cell<bool>>,
        frames: Frames,
    ) -> Self {
        Self::new(daemon, number, request, connection, is_ended, Some(frames))
    }

    /// Returns a plain answer.
    pub fn body(
        daemon: &Rc<Daemon>,
        number: RequestId,
        request: &str,
        connection: &Rc<Connection>,
        body: Segments,
    ) -> Self {
        let answer = Self::new(daemon, number, request, connection, Rc::default(), None);
        let (row, table) = (&answer.row, &daemon.read_ahead);
        row.pending_bytes.set(body.len());
        table.add(&table.read_ahead, body.len());
        row.pending.borrow_mut().extend(body);
        row.end.set(Some(Ok(())));
        answer
    }

    fn new(
        daemon: &Rc<Daemon>,
        number: RequestId,
        request: &str,
        connection: &Rc<Connection>,
        is_ended: Rc<Cell<bool>>,
        frames: Option<Frames>,
    ) -> Self {
        let row = Rc::new(Row {
            request: request.to_string(),
            connection: connection.clone(),
            is_ended,
            frames: RefCell::new(frames),
            pending: RefCell::default(),
            tail: RefCell::default(),
            pending_bytes: Cell::default(),
            end: Cell::default(),
            is_wanted: Cell::default(),
            behind_since: Cell::default(),
            full_since: Cell::default(),
            reader: RefCell::default(),
            reader_waker: RefCell::default(),
        });
        daemon.read_ahead.rows.borrow_mut().insert(number, row.clone());
        ReadAhead { daemon: daemon.clone(), number, row, delivered: 0, has_yielded: false }
    }

    fn deliver(&mut self, data: Bytes) -> Poll<Option<<Self as Stream>::Item>> {
        self.delivered += data.len();
        self.row.connection.allow_slow_caller(self.delivered);
        Poll::Ready(Some(Ok(Frame::data(data))))
    }
}

impl Stream for ReadAhead {
    type Item = Result<Frame<Bytes>, Truncated>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let row = self.row.clone();
        if let Some(data) = row.take_pending(&self.daemon.read_ahead) {
            return self.deliver(data);
        }
        row.behind_since.set(None);
        row.reader.take();
        if let Some(end) = row.end.get() {
            return match end {
                Ok(()) => Poll::Ready(None),
                // The server drops what it has not written yet when the body fails.
                Err(_) if !std::mem::replace(&mut self.has_yielded, true) => {
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
                Err(err) => Poll::Ready(Some(Err(err))),
            };
        }
        let polled = match &mut *row.frames.borrow_mut() {
            Some(frames) => frames.as_mut().poll_next(cx),
            None => Poll::Ready(None),
        };
        row.is_wanted.set(polled.is_pending());
        match polled {
            Poll::Ready(Some(Ok(frame))) => self.deliver(frame.into_data().unwrap_or_default()),
            Poll::Ready(None) => {
                row.finish(Ok(()));
                Poll::Ready(None)
            }
            polled => polled,
        }
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.daemon.read_ahead.rows.borrow_mut().remove(&self.number);
        self.row.clear(&self.daemon.read_ahead);
    }
}

/// Begins to read those answers ahead whose callers do not ask for more, and ends answers if too much
/// is held.
pub fn tick(daemon: &Rc<Daemon>, now: Duration) {
    let table = &daemon.read_ahead;
    let mut behind = Vec::new();
    for (number, row) in table.rows.borrow().iter() {
        if row.is_wanted.get() {
            continue;
        }
        let since = row.behind_since.get().unwrap_or(now);
        row.behind_since.set(Some(since));
        let is_due = now.saturating_sub(since) >= read_ahead::STALL_THRESHOLD;
        if is_due && row.reader.borrow().is_none() && row.frames.borrow().is_some() {
            behind.push((*number, row.clone()));
        }
    }
    for (number, row) in behind {
        daemon.note(&Event::ReadAhead { request: row.request.clone() });
        let reader = daemon.clone();
        let task = daemon.ex.spawn(smol::future::poll_fn(move |cx| {
            let row = reader.read_ahead.rows.borrow().get(&number).cloned();
            row.map_or(Poll::Ready(()), |row| row.poll_ahead(&reader, cx))
        }));
        *row.reader.borrow_mut() = Some(task);
    }
    enforce(daemon);
}

/// Ends the answers that hold too much.
fn enforce(daemon: &Rc<Daemon>) {
    let now = clock::now();
    let table = &daemon.read_ahead;
    let rows = table.rows.borrow();
    let holdings: Vec<Holding> = rows
        .iter()
        .filter(|(_, row)| row.is_read_ahead())
        .map(|(number, row)| row.holding(*number, now))
        .collect();
    let ended: Vec<(Rc<Row>, Holding, Cause)> =
        read_ahead::select_ended(now, &holdings, table.bodies.get(), table.bounds)
            .into_iter()
            .filter_map(|(number, cause)| {
                let holding = holdings.iter().find(|row| row.number == number)?;
                Some((rows.get(&number)?.clone(), *holding, cause))
            })
            .collect();
    drop(rows);
    for (row, holding, cause) in ended {
        daemon.note(&Event::Overrun {
            request: row.request.clone(),
            cause: cause.into(),
            held: holding.bytes,
            behind: now.saturating_sub(holding.behind_since).as_millis() as u64,
        });
        *table.ended.borrow_mut().entry(cause).or_default() += 1;
        row.is_ended.set(true);
        row.end.set(Some(Err(Truncated)));
        row.clear(table);
        row.connection.abort();
    }
}
