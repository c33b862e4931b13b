//! Accepts connections within the bounds of `decide::connection`, and serves HTTP on them.
//!
//! What a connection may take is bounded before its client has sent anything: the kernel's receive
//! buffer is set on the listener, the server reads no more than `READ_BYTES` at a time, so that its
//! buffer does not grow, and a head beyond that counts as held like a body.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::rc::Weak;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use bytes::Bytes;
use event_listener::Event as Notifier;
use event_listener::EventListener;
use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;
use strum::IntoEnumIterator;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::front::Payload;
use crate::daemon::front::Truncated;
use crate::daemon::intake::HeldMessage;
use crate::daemon::intake::Owner;
use crate::daemon::link;
use crate::daemon::output::Output;
use crate::daemon::settings::Settings;
use crate::decide::connection;
use crate::decide::connection::Number;
use crate::decide::connection::Port;
use crate::decide::connection::Table;
use crate::decide::connection::Verdict;

/// Bytes that are read at a time: half of the server's buffer, which grows when a read fills it.
const READ_BYTES: usize = 4 << 10;
/// Size of the server's buffer.
const SERVER_BUFFER_BYTES: usize = 8 << 10;
/// Added to the published limits, so that it is always the caller that closes.
const LIMIT_SLACK: Duration = Duration::from_secs(3);
/// Idle timeout of callers' connections while no limits are published.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Idle timeout of other connections.
const OTHER_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Minimum for the limit on the size of a request's head, used alone while no limits are published.
const MIN_HEAD_LIMIT_BYTES: usize = 64 << 10;
/// Pause after an error of the listener: without descriptors it would fail again at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Length from which an answer may fill the receive buffer of a caller. Shorter ones are detected as
/// unacknowledged early.
const LONG_ANSWER_BYTES: usize = 4 << 10;
/// How long a caller may leave a long answer unacknowledged or its receive buffer full. A kernel
/// announces room again when a sixteenth of that buffer is free, which takes four seconds for 64 KB
/// at 1 KB per second, and a minute where segments are as large as the buffer.
const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// The accepted connections of a daemon.
pub struct Connections {
    table: RefCell<Table>,
    rows: RefCell<HashMap<Number, Weak<Connection>>>,
    next: Cell<Number>,
    /// Notified when one has ended.
    ended: Notifier,
    /// Connections that were closed to accept another one, and those that were not accepted.
    replaced: Cell<u64>,
    rejected: Cell<u64>,
}

impl Connections {
    /// Returns the connections of a daemon that has accepted none.
    pub fn new(settings: &Settings) -> Self {
        let max = connection::max_connections(settings.memory, settings.descriptors);
        Connections {
            table: RefCell::new(Table::new(max, Port::iter())),
            rows: RefCell::default(),
            next: Cell::new(1),
            ended: Notifier::new(),
            replaced: Cell::default(),
            rejected: Cell::default(),
        }
    }

    fn next_number(&self) -> Number {
        self.next.replace(self.next.get() + 1)
    }

    /// Returns the number of open connections at a port.
    pub fn open(&self, port: Port) -> usize {
        self.table.borrow().open(port)
    }

    /// Returns how many were closed to accept another one, and how many were not accepted.
    pub fn closed(&self) -> (u64, u64) {
        (self.replaced.get(), self.rejected.get())
    }

    /// Makes room for one more connection at a port, by closing another one if need be; returns whether
    /// there is room.
    async fn make_room(&self, port: Port) -> bool {
        loop {
            let ended = self.ended.listen();
            let verdict = self.table.borrow().judge(port);
            match verdict {
                Verdict::Keep => return true,
                Verdict::Replace(number) => {
                    let row = self.rows.borrow().get(&number).and_then(Weak::upgrade);
                    if let Some(row) = row.filter(|row| !row.is_aborted.get()) {
                        self.replaced.set(self.replaced.get() + 1);
                        row.close();
                    }
                    ended.await;
                }
                Verdict::Close => {
                    self.rejected.set(self.rejected.get() + 1);
                    return false;
                }
            }
        }
    }
}

/// What a connection is used for at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No request has begun.
    Idle,
    /// A part of a request's head was received.
    Head,
    /// Its body is being received.
    Body,
    /// It is being answered.
    Answer,
}

/// An accepted connection.
pub struct Connection {
    daemon: Rc<Daemon>,
    this: Weak<Connection>,
    port: Port,
    number: Number,
    stream: TcpStream,
    phase: Cell<Phase>,
    /// When the phase began; that of a head goes on until the end of its body.
    since: Cell<Duration>,
    /// Since when it is listed as waiting for its client; none while it is not.
    listed_since: Cell<Option<Duration>>,
    /// Whether the kernel has no room for an answer.
    is_blocked: Cell<bool>,
    /// Bytes of the head that were received.
    head_bytes: Cell<usize>,
    /// Bytes that it may have without being counted as held, or for which more is counted already.
    head_room: Cell<usize>,
    /// Counts a large head.
    held_head: RefCell<Option<HeldMessage>>,
    head_freed: RefCell<Option<Pin<Box<EventListener>>>>,
    /// Whether it allows `SLOW_CALLER_TIMEOUT`.
    is_patient: Cell<bool>,
    is_aborted: Cell<bool>,
    /// Wakes the task that serves the connection.
    waker: RefCell<Option<Waker>>,
}

impl Connection {
    /// Registers an accepted connection.
    fn open(daemon: &Rc<Daemon>, port: Port, stream: TcpStream) -> Rc<Self> {
        let connections = &daemon.connections;
        let (number, now) = (connections.next_number(), clock::now());
        let connection = Rc::new_cyclic(|this| Connection {
            daemon: daemon.clone(),
            this: this.clone(),
            port,
            number,
            stream,
            phase: Cell::new(Phase::Idle),
            since: Cell::new(now),
            listed_since: Cell::new(Some(now)),
            is_blocked: Cell::default(),
            head_bytes: Cell::default(),
            head_room: Cell::new(SERVER_BUFFER_BYTES),
            held_head: RefCell::default(),
            head_freed: RefCell::default(),
            is_patient: Cell::default(),
            is_aborted: Cell::default(),
            waker: RefCell::default(),
        });
        connections.table.borrow_mut().add(port, number, now);
        connections.rows.borrow_mut().insert(number, Rc::downgrade(&connection));
        connection
    }

    /// Updates whether the connection is listed as waiting for its client.
    fn update(&self) {
        let waits = self.phase.get() != Phase::Answer && !self.is_blocked.get();
        let since = waits.then_some(self.since.get());
        let before = self.listed_since.replace(since);
        if before != since {
            let mut table = self.daemon.connections.table.borrow_mut();
            table.set_waiting(self.port, self.number, before, since);
        }
    }

    /// Records that bytes were received.
    fn on_received(&self, bytes: usize) {
        if self.phase.get() == Phase::Idle {
            self.set_phase(Phase::Head);
        }
        if self.phase.get() == Phase::Head {
            self.head_bytes.set(self.head_bytes.get() + bytes);
        }
    }

    /// Is ready once as much may be read as is read at a time. Bytes of a large head are counted as
    /// held; if there is no room for them, the connection is closed by the refusal.
    fn poll_room(&self, cx: &mut Context<'_>) -> Poll<()> {
        let counted = self.head_room.get();
        if self.phase.get() != Phase::Head || self.head_bytes.get() + READ_BYTES <= counted {
            return Poll::Ready(());
        }
        let mut held = self.held_head.borrow_mut();
        let held = held.get_or_insert_with(|| {
            HeldMessage::request(&self.daemon, Owner::Head(self.this.clone()))
        });
        // The server's buffer grows to twice what it holds.
        let mut freed = self.head_freed.borrow_mut();
        if std::task::ready!(held.poll_add(cx, 2 * READ_BYTES, &mut freed)) {
            self.head_room.set(counted + READ_BYTES);
            return Poll::Ready(());
        }
        Poll::Pending
    }

    fn set_phase(&self, phase: Phase) {
        if (self.phase.get(), phase) != (Phase::Head, Phase::Body) {
            self.since.set(clock::now());
        }
        self.phase.set(phase);
        self.update();
    }

    /// Records that the current request was received.
    pub fn on_received_all(&self) {
        self.set_phase(Phase::Answer);
    }

    /// Records that the answer was handed to the kernel or the server.
    fn on_answered(&self) {
        self.held_head.take();
        self.head_bytes.set(0);
        self.head_room.set(SERVER_BUFFER_BYTES);
        self.set_phase(Phase::Idle);
    }

    /// Records whether the kernel has no room for an answer.
    pub fn set_blocked(&self, is_blocked: bool) {
        self.is_blocked.set(is_blocked);
        self.update();
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.is_aborted.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Returns the socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Is ready once the connection has to be closed at once.
    fn poll_aborted(&self, cx: &Context<'_>) -> Poll<()> {
        if self.is_aborted.get() {
            return Poll::Ready(());
        }
        let mut waker = self.waker.borrow_mut();
        if !waker.as_ref().is_some_and(|waker| waker.will_wake(cx.waker())) {
            *waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    /// Closes the connection with a reset.
    pub fn abort(&self) {
        // If this fails, the answer still lacks its last chunk.
        let _ = link::set_reset_on_close(&self.stream, true);
        self.close();
    }

    /// Allows a caller of a long answer to read it slowly.
    pub fn allow_slow_caller(&self, answer_bytes: usize) {
        if answer_bytes > LONG_ANSWER_BYTES && !self.is_patient.replace(true) {
            // If this fails, the caller is cut off early.
            let _ = link::set_unacked_timeout(&self.stream, SLOW_CALLER_TIMEOUT);
        }
    }

    /// Records the head of a request. It restores the detection of callers that have gone, as this one
    /// has not.
    fn on_request(&self, has_body: bool) {
        if let Some(held) = &*self.held_head.borrow() {
            held.complete();
        }
        self.set_phase(if has_body { Phase::Body } else { Phase::Answer });
        if self.is_patient.take() {
            // If this fails, a caller that has gone is found late.
            let _ = link::set_unacked_timeout(&self.stream, link::UNACKED_TIMEOUT);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let connections = &self.daemon.connections;
        connections.table.borrow_mut().remove(self.port, self.number, self.listed_since.get());
        connections.rows.borrow_mut().remove(&self.number);
        connections.ended.notify(usize::MAX);
    }
}

/// The socket of a connection, of which little is read at a time.
struct Socket {
    output: Output,
    connection: Rc<Connection>,
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.connection.poll_room(cx));
        let len = buf.len().min(READ_BYTES);
        let result = Pin::new(&mut self.output).poll_read(cx, &mut buf[..len]);
        if let Poll::Ready(Ok(len @ 1..)) = result {
            self.connection.on_received(len);
        }
        result
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.output).poll_write(cx, buf);
        self.connection.set_blocked(result.is_pending());
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.output).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.output).poll_close(cx)
    }
}

/// Body of an answer, which keeps its connection from being closed for another one.
struct Answer {
    payload: Payload,
    connection: Rc<Connection>,
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.connection.on_answered();
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        Pin::new(&mut self.payload).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.payload.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.payload.size_hint()
    }
}

/// Serves a port as long as the daemon runs; an error of `respond` closes the connection.
pub async fn serve<R>(daemon: Rc<Daemon>, port: Port, listener: TcpListener, respond: R)
where
    R: AsyncFn(
            Rc<Daemon>,
            Rc<Connection>,
            Request<Incoming>,
        ) -> Result<Response<Payload>, Truncated>
        + Copy
        + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        if !daemon.connections.make_room(port).await {
            continue;
        }
        if link::set_socket_options(&stream).is_err() || link::limit_send_buffer(&stream).is_err() {
            continue;
        }
        let connection = Connection::open(&daemon, port, stream);
        daemon.ex.spawn(handle(connection, respond)).detach();
    }
}

/// Serves one connection until it ends.
async fn handle<R>(connection: Rc<Connection>, respond: R)
where
    R: AsyncFn(
            Rc<Daemon>,
            Rc<Connection>,
            Request<Incoming>,
        ) -> Result<Response<Payload>, Truncated>
        + Copy
        + 'static,
{
    let daemon = connection.daemon.clone();
    let limits = daemon.config.borrow().as_ref().map(|config| config.limits);
    let head = limits.map_or(0, |limits| limits.max_head_bytes).max(MIN_HEAD_LIMIT_BYTES);
    let idle = match (connection.port, limits) {
        (Port::Callers, Some(limits)) => limits.idle_timeout.max(limits.head_timeout) + LIMIT_SLACK,
        (Port::Callers, None) => DEFAULT_IDLE_TIMEOUT,
        _ => OTHER_IDLE_TIMEOUT,
    };
    let shared = connection.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        let connection = shared.clone();
        async move {
            connection.on_request(!req.body().is_end_stream());
            let res = respond(connection.daemon.clone(), connection.clone(), req).await?;
            connection.on_received_all();
            Ok::<_, Truncated>(res.map(|payload| Answer { payload, connection }))
        }
    });
    let output = Output::new(connection.stream.clone(), daemon.blocked_outputs.clone());
    let socket = Socket { output, connection: connection.clone() };
    let conn = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head)
        .serve_connection(FuturesIo::new(socket), service);
    let serve = async {
        let mut conn = std::pin::pin!(conn);
        let closing = daemon.close_idle.listen();
        let served = async {
            // The client disconnected or violated the protocol; each request logs its own end.
            let _ = conn.as_mut().await;
            true
        };
        let close_requested = async {
            match connection.port {
                Port::Callers => closing.await,
                _ => smol::future::pending().await,
            }
            false
        };
        if !served.or(close_requested).await {
            conn.as_mut().graceful_shutdown();
            let _ = conn.await;
        }
    };
    serve.or(smol::future::poll_fn(|cx| connection.poll_aborted(cx))).await;
}

/// Closes connections whose clients do not complete the head of a request in time.
pub fn close_late_heads(daemon: &Daemon, now: Duration) {
    let limits = daemon.config.borrow().as_ref().map(|config| config.limits);
    let limit = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.head_timeout + LIMIT_SLACK);
    let rows = daemon.connections.rows.borrow();
    let is_late = |row: &Rc<Connection>| {
        row.phase.get() == Phase::Head && now.saturating_sub(row.since.get()) >= limit
    };
    rows.values().filter_map(Weak::upgrade).filter(is_late).for_each(|row| row.close());
}
