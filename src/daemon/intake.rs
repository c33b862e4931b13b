//! Counts what requests hold in memory, and refuses requests that are being received if there is too
//! much of it, as `decide::intake` decides. What was refused counts until its task has released it:
//! many other tasks may run before.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::rc::Weak;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use event_listener::Event as Notifier;
use event_listener::EventListener;
use http_body_util::LengthLimitError;
use hyper::body::Body;
use hyper::body::Incoming as IncomingBody;
use smol::Timer;
use smol::future::FutureExt;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::collect;
use crate::daemon::collect::NotAccepted;
use crate::daemon::connection::Connection;
use crate::daemon::journal::Event;
use crate::daemon::link;
use crate::daemon::read_ahead::Held;
use crate::daemon::segments::Segments;
use crate::decide::connection::RECEIVE_BUFFER_BYTES;
use crate::decide::intake;
use crate::decide::intake::Incoming;

/// Receive buffer of a connection on which a long body is received. The kernel doubles it, which
/// receives 2 MB per second over a round trip of 60 ms between regions.
const WIDE_BUFFER_BYTES: usize = 64 << 10;
/// Size of a segment from which a body is long.
const LONG_BODY_SEGMENT_BYTES: usize = 16 << 10;

/// What is told when a request is refused.
pub enum Owner {
    /// The connection on which its head is received, which is closed.
    Head(Weak<Connection>),
    /// The reader of its body.
    Body,
}

/// What becomes of a part of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Room {
    /// It is counted.
    Granted,
    /// The request is refused.
    Refused,
    /// It fits once requests that are refused have released their memory.
    Later,
}

/// A request that is being received.
pub struct Row {
    owner: Owner,
    held: Held,
    since: Duration,
    is_refused: Cell<bool>,
    refused: Notifier,
}

/// Counts a part of a request, its body or its head, as held until it is dropped.
pub struct HeldRequest {
    daemon: Rc<Daemon>,
    number: u64,
    row: Rc<Row>,
}

impl HeldRequest {
    /// Returns a request of which nothing has been received.
    pub fn new(daemon: &Rc<Daemon>, owner: Owner) -> Self {
        let number = daemon.next_request_number();
        let row = Rc::new(Row {
            owner,
            held: Held::new(daemon),
            since: clock::now(),
            is_refused: Cell::default(),
            refused: Notifier::new(),
        });
        daemon.read_ahead.incoming.borrow_mut().insert(number, row.clone());
        HeldRequest { daemon: daemon.clone(), number, row }
    }

    /// Counts a part once it fits beside the parts of all requests. If this request is the one to
    /// refuse, returns false: nothing of it may be kept then.
    pub async fn add(&self, bytes: usize) -> bool {
        loop {
            let freed = self.daemon.read_ahead.freed.listen();
            match self.ask(bytes) {
                Room::Granted => return true,
                Room::Refused => return false,
                Room::Later => freed.await,
            }
        }
    }

    /// Is ready once `add` would be. `freed` is kept between the calls.
    pub fn poll_add(
        &self,
        cx: &mut Context<'_>,
        bytes: usize,
        freed: &mut Option<Pin<Box<EventListener>>>,
    ) -> Poll<bool> {
        loop {
            let listener =
                freed.get_or_insert_with(|| Box::pin(self.daemon.read_ahead.freed.listen()));
            let room = self.ask(bytes);
            if room != Room::Later {
                freed.take();
                return Poll::Ready(room == Room::Granted);
            }
            std::task::ready!(listener.as_mut().poll(cx));
            freed.take();
        }
    }

    /// Counts a part if it fits. Otherwise requests are refused until it will fit, of which this one
    /// may be the last.
    fn ask(&self, bytes: usize) -> Room {
        let table = &self.daemon.read_ahead;
        loop {
            if self.row.is_refused.get() {
                return Room::Refused;
            }
            if self.reserve(bytes) {
                return Room::Granted;
            }
            let incoming = table.incoming.borrow();
            let refused = incoming.values().filter(|row| row.is_refused.get());
            let freed_soon: usize = refused.map(|row| row.held.bytes()).sum();
            let (own, all) = (self.row.held.bytes(), table.requests.get() - freed_soon);
            if table.bounds.accepts_request(bytes, own, all) {
                return Room::Later;
            }
            let candidates = incoming.iter().filter(|(_, row)| !row.is_refused.get());
            let candidates = candidates.map(|(number, row)| Incoming {
                number: *number,
                bytes: row.held.bytes() + if *number == self.number { bytes } else { 0 },
                since: row.since,
            });
            let selected = intake::select_refused(clock::now(), candidates);
            let selected = selected.and_then(|row| Some(incoming.get(&row.number)?.clone()));
            drop(incoming);
            refuse(&self.daemon, &selected.unwrap_or_else(|| self.row.clone()));
        }
    }

    /// Counts `bytes` more if they fit beside the parts of all requests; returns whether they do.
    fn reserve(&self, bytes: usize) -> bool {
        let table = &self.daemon.read_ahead;
        let (own, all) = (self.row.held.bytes(), table.requests.get());
        let accepts = !self.row.is_refused.get() && table.bounds.accepts_request(bytes, own, all);
        if accepts {
            table.requests.set(all + bytes);
            self.row.held.add(bytes);
        }
        accepts
    }

    /// Counts `bytes` less.
    fn remove(&self, bytes: usize) {
        let table = &self.daemon.read_ahead;
        table.requests.set(table.requests.get() - bytes);
        self.row.held.remove(bytes);
        table.freed.notify(usize::MAX);
    }

    /// Counts nothing of the request any more, as nothing of it is kept.
    fn release(&self) {
        self.remove(self.row.held.bytes());
    }

    /// Waits until the request is refused as another one needs its memory.
    pub async fn refused(&self) {
        loop {
            let refused = self.row.refused.listen();
            if self.row.is_refused.get() {
                return;
            }
            refused.await;
        }
    }

    /// Records that the request was received, so that it is not refused any more.
    pub fn complete(&self) {
        self.daemon.read_ahead.incoming.borrow_mut().remove(&self.number);
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.complete();
        self.release();
    }
}

/// Why a body was not received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// It is larger than allowed.
    TooLarge,
    /// It ended early.
    Broken,
    /// It did not arrive in time.
    Late,
    /// All requests together would take too much memory.
    NoRoom,
}

/// A larger receive buffer of a connection, for as long as a long body is received.
struct WideBuffer<'a> {
    connection: &'a Connection,
    held: &'a HeldRequest,
    is_wide: Cell<bool>,
}

impl WideBuffer<'_> {
    /// Widens the buffer unless it is wide already, if there is room for that.
    fn widen(&self) {
        if !self.is_wide.get() && self.held.reserve(2 * WIDE_BUFFER_BYTES) {
            self.is_wide.set(true);
            // If this fails, the body arrives slowly.
            let _ = link::set_receive_buffer(self.connection.stream(), WIDE_BUFFER_BYTES);
        }
    }
}

impl Drop for WideBuffer<'_> {
    fn drop(&mut self) {
        if self.is_wide.get() {
            let _ = link::set_receive_buffer(self.connection.stream(), RECEIVE_BUFFER_BYTES);
            self.held.remove(2 * WIDE_BUFFER_BYTES);
        }
    }
}

/// Receives a body of at most `max` bytes within `limit`, and counts it as held.
pub async fn receive(
    connection: &Connection,
    held: &HeldRequest,
    mut body: IncomingBody,
    max: usize,
    limit: Duration,
) -> Result<Segments, Error> {
    if body.size_hint().lower() > max as u64 {
        return Err(Error::TooLarge);
    }
    let read = async {
        let refused = async {
            held.refused().await;
            Err(NotAccepted.into())
        };
        let buffer = WideBuffer { connection, held, is_wide: Cell::default() };
        let accepts = async |bytes| {
            if bytes >= LONG_BODY_SEGMENT_BYTES {
                buffer.widen();
            }
            held.add(bytes).await
        };
        let received = collect::collect_accepted(&mut body, max, accepts).or(refused).await;
        drop(buffer);
        match received {
            Ok(segments) => {
                held.complete();
                Ok(segments)
            }
            Err(err) if err.is::<LengthLimitError>() => Err(Error::TooLarge),
            Err(err) if err.is::<NotAccepted>() => {
                held.release();
                // The client reads no answer before it has sent the rest.
                collect::drain(body, max).await;
                Err(Error::NoRoom)
            }
            Err(_) => Err(Error::Broken),
        }
    };
    let late = async {
        Timer::after(limit).await;
        Err(Error::Late)
    };
    read.or(late).await
}

fn refuse(daemon: &Daemon, row: &Row) {
    let held = row.held.bytes();
    let age = clock::now().saturating_sub(row.since).as_millis() as u64;
    daemon.note(&Event::NoRoom { held, age });
    row.is_refused.set(true);
    row.refused.notify(usize::MAX);
    if let Owner::Head(connection) = &row.owner
        && let Some(connection) = connection.upgrade()
    {
        connection.close();
    }
}
