//! Counts what requests and responses hold in memory, and refuses those that are being received if
//! there is too much of it, as `decide::intake` decides. What was refused counts until its task has
//! released it: many other tasks may run before.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::rc::Weak;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
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
use crate::decide::body::End;
use crate::decide::connection::RECEIVE_BUFFER_BYTES;
use crate::decide::intake;
use crate::decide::intake::Incoming;
use crate::decide::read_ahead::Message;

/// Receive buffer of a connection on which a long body is received. The kernel doubles it, which
/// receives 2 MB per second over a round trip of 60 ms between regions.
const WIDE_BUFFER_BYTES: usize = 64 << 10;
/// Size of a segment from which a body is long.
const LONG_BODY_SEGMENT_BYTES: usize = 16 << 10;

/// The messages of one kind.
#[derive(Default)]
pub struct Pool {
    /// Bytes that they hold.
    bytes: Cell<usize>,
    /// Those that are being received.
    incoming: RefCell<BTreeMap<u64, Rc<Row>>>,
    /// Notified when they hold less.
    freed: Notifier,
}

/// What is told when a message is refused.
pub enum Owner {
    /// The connection on which its head is received, which is closed.
    Head(Weak<Connection>),
    /// The reader of its body.
    Body,
}

/// What becomes of a part of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Room {
    /// It is counted.
    Granted,
    /// The message is refused.
    Refused,
    /// It fits once messages that are refused have released their memory.
    Later,
}

/// A message that is being received.
pub struct Row {
    owner: Owner,
    held: Held,
    since: Duration,
    is_refused: Cell<bool>,
    refused: Notifier,
}

/// Counts a part of a message, its body or its head, as held until it is dropped.
pub struct HeldMessage {
    daemon: Rc<Daemon>,
    kind: Message,
    number: u64,
    row: Rc<Row>,
}

impl HeldMessage {
    /// Returns a request of which nothing has been received.
    pub fn request(daemon: &Rc<Daemon>, owner: Owner) -> Self {
        Self::new(daemon, Message::Request, owner)
    }

    /// Returns a response of which nothing has been received.
    pub fn response(daemon: &Rc<Daemon>) -> Self {
        Self::new(daemon, Message::Response, Owner::Body)
    }

    fn new(daemon: &Rc<Daemon>, kind: Message, owner: Owner) -> Self {
        let number = daemon.next_request_number();
        let row = Rc::new(Row {
            owner,
            held: Held::new(daemon),
            since: clock::now(),
            is_refused: Cell::default(),
            refused: Notifier::new(),
        });
        daemon.read_ahead.pool(kind).incoming.borrow_mut().insert(number, row.clone());
        HeldMessage { daemon: daemon.clone(), kind, number, row }
    }

    fn pool(&self) -> &Pool {
        self.daemon.read_ahead.pool(self.kind)
    }

    /// Counts a part once it fits beside the parts of all messages of its kind. If this one is to be
    /// refused, returns false: nothing of it may be kept then.
    pub async fn add(&self, bytes: usize) -> bool {
        loop {
            let freed = self.pool().freed.listen();
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
            let listener = freed.get_or_insert_with(|| Box::pin(self.pool().freed.listen()));
            let room = self.ask(bytes);
            if room != Room::Later {
                freed.take();
                return Poll::Ready(room == Room::Granted);
            }
            std::task::ready!(listener.as_mut().poll(cx));
            freed.take();
        }
    }

    /// Counts a part if it fits. Otherwise messages are refused until it will fit, of which this one
    /// may be the last.
    fn ask(&self, bytes: usize) -> Room {
        let (pool, bounds) = (self.pool(), self.daemon.read_ahead.bounds);
        loop {
            if self.row.is_refused.get() {
                return Room::Refused;
            }
            if self.reserve(bytes) {
                return Room::Granted;
            }
            let incoming = pool.incoming.borrow();
            let refused = incoming.values().filter(|row| row.is_refused.get());
            let freed_soon: usize = refused.map(|row| row.held.bytes()).sum();
            let (own, all) = (self.row.held.bytes(), pool.bytes.get() - freed_soon);
            if bounds.accepts(self.kind, bytes, own, all) {
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

    /// Counts `bytes` more if they fit beside the parts of all messages of its kind; returns whether they
    /// do.
    fn reserve(&self, bytes: usize) -> bool {
        let (pool, bounds) = (self.pool(), self.daemon.read_ahead.bounds);
        let (own, all) = (self.row.held.bytes(), pool.bytes.get());
        let accepts = !self.row.is_refused.get() && bounds.accepts(self.kind, bytes, own, all);
        if accepts {
            pool.bytes.set(all + bytes);
            self.row.held.add(bytes);
        }
        accepts
    }

    /// Counts as many bytes as are kept now, once more than before fit. If this message is to be
    /// refused, returns false.
    pub async fn resize(&self, bytes: usize) -> bool {
        let counted = self.row.held.bytes();
        if bytes > counted {
            return self.add(bytes - counted).await;
        }
        if bytes < counted {
            self.remove(counted - bytes);
        }
        true
    }

    /// Counts `bytes` less.
    fn remove(&self, bytes: usize) {
        let pool = self.pool();
        pool.bytes.set(pool.bytes.get() - bytes);
        self.row.held.remove(bytes);
        pool.freed.notify(usize::MAX);
    }

    /// Counts nothing of the message any more, as nothing of it is kept.
    fn release(&self) {
        self.remove(self.row.held.bytes());
    }

    /// Waits until the message is refused as another one needs its memory.
    pub async fn refused(&self) {
        loop {
            let refused = self.row.refused.listen();
            if self.row.is_refused.get() {
                return;
            }
            refused.await;
        }
    }

    /// Records that the message was received, so that it is not refused any more.
    pub fn complete(&self) {
        self.pool().incoming.borrow_mut().remove(&self.number);
    }
}

impl Drop for HeldMessage {
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
    held: &'a HeldMessage,
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
    held: &HeldMessage,
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

/// Receives the body of a response, of at most `max` bytes, and counts it as held.
pub async fn receive_response<B>(held: &HeldMessage, body: B, max: usize) -> Result<Segments, End>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    // Nothing is read of a body that states a larger size.
    if body.size_hint().lower() > max as u64 {
        return Err(End::TooLong);
    }
    let refused = async {
        held.refused().await;
        Err(NotAccepted.into())
    };
    let received = collect::collect_accepted(body, max, async |bytes| held.add(bytes).await);
    let received = received.or(refused).await;
    held.complete();
    received.map_err(|err| match err.downcast_ref::<hyper::Error>() {
        Some(err) => link::end_of(err),
        None if err.is::<LengthLimitError>() => End::TooLong,
        None if err.is::<NotAccepted>() => End::NoRoom,
        None => End::Failed,
    })
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
