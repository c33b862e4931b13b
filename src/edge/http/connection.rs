//! The connections of a server, within the bound of `decide::connection`.

use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use smol::channel::Receiver;
use smol::channel::Sender;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpStream;

use crate::decide::connection::Number;
use crate::decide::connection::Port;
use crate::decide::connection::Table;
use crate::decide::connection::Verdict;
use crate::edge::http::intake::Held;
use crate::edge::http::intake::Intake;

/// Bytes that the parser may read for the head of a request: its limit of 8 KB and as much in its
/// buffer. A line without end would not meet its limit.
const MAX_HEAD_BYTES: usize = 16 << 10;

#[derive(Debug)]
struct State {
    table: Table,
    /// Closing one of these closes its connection.
    open: HashMap<Number, Sender<()>>,
    next: Number,
}

/// The open connections of a server.
#[derive(Debug)]
pub(super) struct Connections {
    started_at: Instant,
    state: Mutex<State>,
    /// Wakes the server when a connection has ended.
    ended: (Sender<()>, Receiver<()>),
    intake: Arc<Intake>,
}

impl Connections {
    /// Returns the connections of a server that accepts at most `max`, and whose requests hold at most
    /// `max_bytes`.
    pub(super) fn new(max: usize, max_bytes: usize) -> Arc<Self> {
        let table = Table::new(max, [Port::Callers]);
        Arc::new(Connections {
            started_at: Instant::now(),
            state: Mutex::new(State { table, open: HashMap::new(), next: 1 }),
            ended: smol::channel::bounded(1),
            intake: Intake::new(max_bytes),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No panic leaves the state half changed.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes room for one more connection, by closing another one if need be; returns whether there is
    /// room.
    pub(super) async fn make_room(&self) -> bool {
        loop {
            match self.judge() {
                Verdict::Keep => return true,
                Verdict::Close => return false,
                // It has been closed, and ends as soon as its task runs.
                Verdict::Replace(_) => drop(self.ended.1.recv().await),
            }
        }
    }

    /// Decides about a connection that was just accepted, and closes the one that it replaces.
    fn judge(&self) -> Verdict {
        let state = self.lock();
        let verdict = state.table.judge(Port::Callers);
        if let Verdict::Replace(number) = verdict
            && let Some(closing) = state.open.get(&number)
        {
            closing.close();
        }
        verdict
    }

    /// Registers an accepted connection.
    pub(super) fn open(self: &Arc<Self>) -> Arc<Connection> {
        let now = self.started_at.elapsed();
        let (closing, closed) = smol::channel::bounded(1);
        let mut state = self.lock();
        let number = state.next;
        state.next += 1;
        state.table.add(Port::Callers, number, now);
        state.open.insert(number, closing);
        drop(state);
        Arc::new(Connection {
            all: self.clone(),
            number,
            waiting_since: Mutex::new(Some(now)),
            closed,
            head_bytes: AtomicUsize::new(0),
            held: Mutex::default(),
        })
    }
}

/// An accepted connection.
#[derive(Debug)]
pub(super) struct Connection {
    all: Arc<Connections>,
    number: Number,
    /// Since when it waits for its client; none while a request is answered.
    waiting_since: Mutex<Option<Duration>>,
    closed: Receiver<()>,
    /// Bytes read since the last request; `usize::MAX` while there is one.
    head_bytes: AtomicUsize,
    /// Counts the current request.
    held: Mutex<Option<Arc<Held>>>,
}

impl Connection {
    fn set_waiting(&self, since: Option<Duration>) {
        let mut waiting = self.waiting_since.lock().unwrap_or_else(PoisonError::into_inner);
        let before = std::mem::replace(&mut *waiting, since);
        self.all.lock().table.set_waiting(Port::Callers, self.number, before, since);
    }

    /// Records that it waits for its client from now on, or that a request is being answered.
    pub(super) fn set_answering(&self, is_answering: bool) {
        let now = self.all.started_at.elapsed();
        self.set_waiting((!is_answering).then_some(now));
    }

    /// Records that the head of a request was received.
    pub(super) fn on_request(&self) {
        self.head_bytes.store(usize::MAX, Ordering::Relaxed);
        self.set_answering(true);
    }

    /// Records that the current request has its answer.
    pub(super) fn on_answered(&self) {
        self.head_bytes.store(0, Ordering::Relaxed);
        self.release();
        self.set_answering(false);
    }

    /// Returns the count of the current request, whose body is about to be received.
    pub(super) fn hold(&self) -> Arc<Held> {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.get_or_insert_with(|| Arc::new(Held::new(&self.all.intake))).clone()
    }

    /// Releases the count of the current request, as nothing of it is kept.
    pub(super) fn release(&self) {
        self.held.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    /// Waits until the connection has to be closed for another one.
    pub(super) async fn closed(&self) {
        let _ = self.closed.recv().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let since = *self.waiting_since.get_mut().unwrap_or_else(PoisonError::into_inner);
        let mut state = self.all.lock();
        state.table.remove(Port::Callers, self.number, since);
        state.open.remove(&self.number);
        drop(state);
        // If there is a message already, the server has not seen it yet.
        let _ = self.all.ended.0.try_send(());
    }
}

/// The socket of a connection, from which only so much is read before a head is complete.
#[derive(Debug, Clone)]
pub(super) struct Socket {
    pub(super) stream: TcpStream,
    pub(super) connection: Arc<Connection>,
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = self.connection.head_bytes.load(Ordering::Relaxed);
        if read != usize::MAX && read >= MAX_HEAD_BYTES {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(len)) = result
            && read != usize::MAX
        {
            self.connection.head_bytes.store(read + len, Ordering::Relaxed);
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
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
