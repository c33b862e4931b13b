//! HTTP connections to endpoints, other daemons and the store, and a pool of idle ones.
//!
//! Each connection has a task that writes to its socket. On an overloaded daemon the executor may
//! run that task seconds after the request was queued, so the socket checks the request's deadline
//! at each write.
//!
//! An endpoint may repeat a response late, where that to the next request is due. The socket gives
//! the HTTP client only what `response_filter` finds to belong to the current request, and after a
//! response to another one the connection is not used again.
//!
//! A connection may die without a reset: the kernel closes it when sent bytes stay unacknowledged
//! for `UNACKED_TIMEOUT`, and probes an idle peer. Dropping a link ends its task and closes the
//! socket, so that the endpoint stops work for a caller that hung up.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::error::Error as _;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderName;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use rustix::io::Errno;
use rustix::net::RecvFlags;
use rustix::net::sockopt;
use smol::LocalExecutor;
use smol::Task;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use xxhash_rust::xxh3::xxh3_64;

use crate::daemon::clock;
use crate::daemon::collect;
use crate::daemon::segments::Segments;
use crate::decide::body::End;
use crate::decide::body::Framing;
use crate::decide::connection::RECEIVE_BUFFER_BYTES;
use crate::edge::response_filter;
use crate::edge::response_filter::Expected;
use crate::edge::response_filter::Filter;
use crate::edge::response_filter::Head;

/// How long the peer's kernel may acknowledge nothing, sent bytes and keep-alive probes alike: a
/// sound peer may be silent for two seconds, and is probed again in the next.
pub const UNACKED_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Idle time before the first keep-alive probe, and the interval between probes. Their number does
/// not matter, as `UNACKED_TIMEOUT` decides.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Send buffer of a caller's connection. The kernel doubles it, which sends 4 MB per second over a
/// round trip of 60 ms between regions.
const SEND_BUFFER_BYTES: usize = 128 << 10;
/// Receive buffer of a connection to an endpoint. The kernel doubles it, as the send buffer of a
/// caller's connection, and otherwise takes up to 6 MB.
const ENDPOINT_BUFFER_BYTES: usize = SEND_BUFFER_BYTES;
/// Bytes that are read at a time. The HTTP client's buffer grows as long as reads fill it, and what is
/// read at a time is kept on its way to the caller, on each connection.
const READ_BYTES: usize = 16 << 10;
/// Largest buffer of the HTTP client, which has to hold the largest head of a response.
const MAX_BUFFER_BYTES: usize = 2 * response_filter::MAX_HEAD_BYTES;
/// Named requests that a connection carries, and remembers, until it is not used again.
const MAX_CARRIED: usize = 1_024;
/// Largest number of idle connections kept per address.
const MAX_IDLE_PER_ADDRESS: usize = 48;

/// Number of the next connection.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Reason why an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// No connection was established in time.
    Connect,
    /// The peer's host refused the connection: no process listens at the address.
    Refused,
    /// The connection turned out to be closed before anything was sent.
    Unsent,
    /// Time ran out before anything was sent.
    Expired,
    /// The connection broke after bytes may have been sent.
    Broken,
    /// Time ran out after bytes may have been sent.
    Timeout,
    /// The response is not valid HTTP, or longer than allowed before its body.
    Malformed,
}

impl Error {
    /// Returns whether no part of the request can have reached the peer.
    pub fn is_unsent(self) -> bool {
        matches!(self, Error::Connect | Error::Refused | Error::Unsent | Error::Expired)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.into())
    }
}

impl std::error::Error for Error {}

/// Returns how the body of a response is delimited.
pub fn framing(res: &Response<Incoming>) -> Framing {
    if res.body().size_hint().exact().is_some() {
        return Framing::Length;
    }
    let is_chunked = response_filter::is_chunked(res.headers()) == Some(true);
    if is_chunked { Framing::Chunked } else { Framing::Close }
}

/// Returns how a body ended that could not be read to its end.
pub fn end_of(err: &hyper::Error) -> End {
    let cause = err.source().and_then(|cause| cause.downcast_ref::<io::Error>());
    match cause.map(io::Error::kind) {
        Some(io::ErrorKind::UnexpectedEof) => End::Closed,
        Some(io::ErrorKind::ConnectionReset) => End::Reset,
        _ if err.is_incomplete_message() => End::Closed,
        _ => End::Failed,
    }
}

/// State of the request that a connection carries.
#[derive(Debug, Default)]
pub struct Progress {
    /// No bytes are handed to the kernel from this time on (boot clock).
    write_deadline: Cell<Duration>,
    /// When bytes were last handed to the kernel; none while all are still queued.
    written_at: Cell<Option<Duration>>,
    /// Whether any bytes were received since the request was sent, those of other responses too.
    has_received: Cell<bool>,
    /// When the head of the response was received; none before.
    head_at: Cell<Option<Duration>>,
    /// Bytes of the response's body received by `Link::transfer`.
    received: Cell<usize>,
    /// When the last of them were received.
    last_received_at: Cell<Option<Duration>>,
    /// Separates the response from other bytes.
    filter: RefCell<Filter>,
    /// When the first response to another request was received; none if there was none.
    discarded_at: Cell<Option<Duration>>,
}

impl Progress {
    /// Forgets the last request.
    pub fn reset(&self) {
        self.written_at.set(None);
        self.has_received.set(false);
        self.head_at.set(None);
        self.received.set(0);
        self.last_received_at.set(None);
        self.discarded_at.set(None);
    }

    /// Returns when the head of the response was received; none before.
    pub fn head_at(&self) -> Option<Duration> {
        self.head_at.get()
    }

    /// Returns when a part of the response was last received; none before its head.
    pub fn last_received_at(&self) -> Option<Duration> {
        self.last_received_at.get().or(self.head_at.get())
    }

    /// Returns the number of bytes of the response's body received by `Link::transfer`.
    pub fn received(&self) -> usize {
        self.received.get()
    }
}

/// Time limits of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Until the head of the response.
    pub head: Duration,
    /// Between two parts of its body.
    pub pause: Duration,
    /// For each further `min_bytes` of its body.
    pub span: Duration,
    /// Least number of bytes in each `span`.
    pub min_bytes: usize,
    /// For all of it.
    pub total: Duration,
}

/// A socket that refuses to write past the deadline of the current request, and to read what does not
/// belong to its response.
struct Socket {
    stream: TcpStream,
    progress: Rc<Progress>,
    /// Received bytes of the response that have not been read yet.
    received: BytesMut,
}

impl Socket {
    /// Adds those bytes to `received` that belong to the response. What is wrong with others is told
    /// after these have been read.
    fn receive(&mut self, bytes: &[u8]) {
        self.progress.has_received.set(true);
        let mut filter = self.progress.filter.borrow_mut();
        // The filter keeps the error.
        let _ = filter.push(bytes, &mut self.received);
        if !filter.discarded().is_empty() && self.progress.discarded_at.get().is_none() {
            self.progress.discarded_at.set(Some(clock::now()));
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            if !self.received.is_empty() {
                let len = self.received.len().min(buf.len());
                self.received.copy_to_slice(&mut buf[..len]);
                return Poll::Ready(Ok(len));
            }
            if self.progress.filter.borrow().error().is_some() {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
            let max = buf.len().min(READ_BYTES);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buf[..max]) {
                Poll::Ready(Ok(len)) if len > 0 => self.receive(&buf[..len]),
                result => return result,
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        // The permission to send, such as a lease, may have expired while the request was queued.
        let now = clock::now();
        if now >= self.progress.write_deadline.get() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if matches!(result, Poll::Ready(Ok(_))) {
            self.progress.written_at.set(Some(now));
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// An open connection.
pub struct Link {
    /// The peer's address.
    pub addr: SocketAddr,
    /// Unique among this process's connections.
    pub number: u64,
    /// Number of requests sent.
    pub requests: u64,
    sender: http1::SendRequest<Segments>,
    stream: TcpStream,
    progress: Rc<Progress>,
    /// Hashes of all named requests that were sent, at most `MAX_CARRIED`.
    carried: HashSet<u64>,
    _task: Task<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        if !self.sender.is_ready() {
            // If the network is interrupted, sent bytes are still in the kernel's send queue. After
            // a plain close they would arrive once it recovers: an order of a daemon that lost the
            // lease, or a request whose caller hung up. With a zero linger time the kernel discards
            // them and sends a reset; if it cannot be set, the close is a plain one.
            let _ = set_reset_on_close(&self.stream, true);
        }
    }
}

impl Link {
    /// Returns whether another request can be sent at once.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the peer has not closed or reset the connection, as far as the kernel has
    /// been told. Meant for an idle connection.
    pub fn is_open(&self) -> bool {
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        match rustix::net::recv(&self.stream, &mut [0; 1], flags) {
            Ok((_, received)) => received > 0,
            Err(err) => err == Errno::AGAIN || err == Errno::INTR,
        }
    }

    /// Waits for the end of the last response; returns whether another request can be sent then.
    pub async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns the progress of the request that this connection carries.
    pub fn progress(&self) -> Rc<Progress> {
        self.progress.clone()
    }

    /// Returns when bytes of the last request were last handed to the kernel, if any were.
    pub fn written_at(&self) -> Option<Duration> {
        self.progress.written_at.get()
    }

    /// Returns whether any bytes were received since the last request was sent.
    pub fn has_received(&self) -> bool {
        self.progress.has_received.get()
    }

    /// Returns whether nothing but responses to its own requests was received.
    pub fn is_clean(&self) -> bool {
        let filter = self.progress.filter.borrow();
        filter.discarded().is_empty() && filter.error().is_none()
    }

    /// Returns whether responses to other requests were received since the current request was sent.
    pub fn has_discarded(&self) -> bool {
        !self.progress.filter.borrow().discarded().is_empty()
    }

    /// Returns whether bytes were received while no response was due.
    pub fn has_unsolicited(&self) -> bool {
        self.progress.filter.borrow().error() == Some(response_filter::Error::Unsolicited)
    }

    /// Returns the heads of other responses that were received since the current request was sent,
    /// and when the first of them was.
    pub fn discarded(&self) -> (Vec<Head>, Option<Duration>) {
        let heads = self.progress.filter.borrow().discarded().to_vec();
        (heads, self.progress.discarded_at.get())
    }

    /// Returns whether another request may be sent once the current response is complete: nothing else
    /// was received, and a late copy of that response could be told from the next one.
    pub fn is_reusable(&self) -> bool {
        let can_delimit = !self.progress.filter.borrow().is_head_request();
        self.is_clean() && can_delimit && self.carried.len() < MAX_CARRIED
    }

    /// Returns whether the connection has carried a named request. A late response to that one could
    /// not be told from one to the request as it is sent again.
    pub fn has_carried(&self, name: &[u8]) -> bool {
        self.carried.contains(&xxh3_64(name))
    }

    /// Sends a request to which a response repeats the header `name`, and waits for the head of that
    /// response, as `send` does. Other responses are discarded.
    pub async fn send_named(
        &mut self,
        req: Request<impl Into<Segments>>,
        name: &HeaderName,
        limit: Duration,
    ) -> Result<Response<Incoming>, Error> {
        let Some(value) = req.headers().get(name).cloned() else {
            return Err(Error::Unsent);
        };
        self.carried.insert(xxh3_64(value.as_bytes()));
        self.exchange(req, Expected::Named(name.clone(), value), limit).await
    }

    /// Sends a request and waits for the head of the response. Bytes that are not written within
    /// `limit` are not sent at all; the wait itself has no limit. The next response is taken for that
    /// to this request.
    pub async fn send(
        &mut self,
        req: Request<impl Into<Segments>>,
        limit: Duration,
    ) -> Result<Response<Incoming>, Error> {
        self.exchange(req, Expected::Next, limit).await
    }

    async fn exchange(
        &mut self,
        req: Request<impl Into<Segments>>,
        expected: Expected,
        limit: Duration,
    ) -> Result<Response<Incoming>, Error> {
        let is_head = req.method() == Method::HEAD;
        self.progress.filter.borrow_mut().expect(expected, is_head);
        self.progress.write_deadline.set(clock::now() + limit);
        self.progress.reset();
        let req = req.map(Into::into);
        self.requests += 1;
        match self.sender.try_send_request(req).await {
            Ok(res) => {
                self.progress.head_at.set(Some(clock::now()));
                Ok(res)
            }
            Err(mut err) => {
                let unsent = err.take_message().is_some() || self.written_at().is_none();
                let err = err.into_error();
                Err(if unsent && self.is_expired() {
                    Error::Expired
                } else if unsent {
                    Error::Unsent
                } else if err.is_parse() || self.progress.filter.borrow().error().is_some() {
                    Error::Malformed
                } else {
                    Error::Broken
                })
            }
        }
    }

    /// Makes the kernel close the connection when bytes stay unacknowledged for `limit`, instead of
    /// `UNACKED_TIMEOUT`.
    pub fn set_unacked_timeout(&self, limit: Duration) -> rustix::io::Result<()> {
        set_unacked_timeout(&self.stream, limit)
    }

    /// Bounds what the kernel keeps of responses that were not read yet.
    pub fn limit_receive_buffer(&self) -> Result<(), Error> {
        set_receive_buffer(&self.stream, ENDPOINT_BUFFER_BYTES).map_err(|_| Error::Connect)
    }

    /// Returns whether the time to send the request ran out before any of it was written.
    pub fn is_expired(&self) -> bool {
        self.written_at().is_none() && clock::now() >= self.progress.write_deadline.get()
    }

    /// Sends a request and reads a response of any size: it takes as long as it goes on arriving.
    /// Its head has to arrive within `limits.head`. A body of more than `max` bytes is an error.
    pub async fn transfer(
        &mut self,
        req: Request<Bytes>,
        max: usize,
        limits: Limits,
    ) -> Result<Response<Bytes>, Error> {
        let complete = async {
            let head = self.send(req, limits.head);
            let head = head.or(fail_after(limits.head, Error::Timeout)).await?;
            let (head, body) = head.into_parts();
            let mut body = std::pin::pin!(self.count(Limited::new(body, max)));
            let mut bytes = BytesMut::new();
            let (mut due, mut enough) = (clock::now() + limits.span, limits.min_bytes);
            loop {
                let frame = async { Ok(body.frame().await) };
                let limit = limits.pause.min(due.saturating_sub(clock::now()));
                match frame.or(fail_after(limit, Error::Timeout)).await? {
                    Some(Ok(frame)) => {
                        bytes.extend(frame.into_data());
                        if bytes.len() >= enough {
                            (due, enough) =
                                (clock::now() + limits.span, bytes.len() + limits.min_bytes);
                        }
                    }
                    Some(Err(_)) => return Err(Error::Broken),
                    None => return Ok(Response::from_parts(head, bytes.freeze())),
                }
            }
        };
        let outcome = complete.or(fail_after(limits.total, Error::Timeout)).await;
        outcome.map_err(|err| if self.is_expired() { Error::Expired } else { err })
    }

    /// Counts the bytes of a body as they are received.
    fn count<B: Body<Data = Bytes>>(&self, body: B) -> impl Body<Data = Bytes, Error = B::Error> {
        let progress = self.progress.clone();
        body.map_frame(move |frame| {
            let len = frame.data_ref().map_or(0, Bytes::len);
            progress.received.set(progress.received.get() + len);
            progress.last_received_at.set(Some(clock::now()));
            frame
        })
    }

    /// Sends a request and reads the complete response within `limit`. A body of more than `max`
    /// bytes is an error.
    pub async fn call(
        &mut self,
        req: Request<Bytes>,
        max: usize,
        limit: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let complete = async {
            let (head, body) = self.send(req, limit).await?.into_parts();
            let body = collect::collect(body, max).await.map_err(|_| Error::Broken)?;
            Ok(Response::from_parts(head, body))
        };
        let outcome = complete.or(fail_after(limit, Error::Timeout)).await;
        outcome.map_err(|err| if self.is_expired() { Error::Expired } else { err })
    }
}

/// Returns `err` after `limit`.
pub async fn fail_after<T>(limit: Duration, err: Error) -> Result<T, Error> {
    Timer::after(limit).await;
    Err(err)
}

/// Opens a connection within `limit`.
pub async fn dial(
    ex: &LocalExecutor<'static>,
    addr: SocketAddr,
    limit: Duration,
) -> Result<Link, Error> {
    let connecting = async {
        TcpStream::connect(addr).await.map_err(|err| match err.kind() {
            io::ErrorKind::ConnectionRefused => Error::Refused,
            _ => Error::Connect,
        })
    };
    let stream = connecting.or(fail_after(limit, Error::Connect)).await?;
    set_socket_options(&stream).map_err(|_| Error::Connect)?;
    let progress = Rc::new(Progress::default());
    let socket =
        Socket { stream: stream.clone(), progress: progress.clone(), received: BytesMut::new() };
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_BUFFER_BYTES);
    let handshake = builder.handshake(FuturesIo::new(socket)).await;
    let (sender, conn) = handshake.map_err(|_| Error::Connect)?;
    // The sender reports the end of the connection.
    let task = ex.spawn(async move { conn.await.unwrap_or_default() });
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    Ok(Link {
        addr,
        number,
        requests: 0,
        sender,
        stream,
        progress,
        carried: HashSet::new(),
        _task: task,
    })
}

/// Sets whether the kernel resets a connection when it is closed, also as the process ends.
pub fn set_reset_on_close(stream: &TcpStream, resets: bool) -> rustix::io::Result<()> {
    sockopt::set_socket_linger(stream, resets.then_some(Duration::ZERO))
}

/// Makes the kernel close a connection when sent bytes stay unacknowledged, or the peer's receive
/// buffer full, for `limit`.
pub fn set_unacked_timeout(stream: &TcpStream, limit: Duration) -> rustix::io::Result<()> {
    sockopt::set_tcp_user_timeout(stream, limit.as_millis().max(1) as u32)
}

/// Bounds what the kernel keeps of an answer that its caller does not read. Otherwise it may be as
/// much as 4 MB per connection, which no bound of the daemon covers.
pub fn limit_send_buffer(stream: &TcpStream) -> rustix::io::Result<()> {
    sockopt::set_socket_send_buffer_size(stream, SEND_BUFFER_BYTES)
}

/// Bounds what the kernel keeps of requests that were not read yet, on each connection that a listener
/// accepts. Otherwise it may be as much as 6 MB per connection.
pub fn limit_receive_buffer(listener: &TcpListener) -> rustix::io::Result<()> {
    sockopt::set_socket_recv_buffer_size(listener, RECEIVE_BUFFER_BYTES)
}

/// Sets the receive buffer of a connection.
pub fn set_receive_buffer(stream: &TcpStream, bytes: usize) -> rustix::io::Result<()> {
    sockopt::set_socket_recv_buffer_size(stream, bytes)
}

/// Sets the socket options that detect an unresponsive peer, and disables send delays.
pub fn set_socket_options(stream: &TcpStream) -> rustix::io::Result<()> {
    sockopt::set_tcp_nodelay(stream, true)?;
    sockopt::set_tcp_user_timeout(stream, UNACKED_TIMEOUT.as_millis() as u32)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)
}

struct Idle {
    link: Link,
    expires_at: Duration,
}

/// A pool of idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: HashMap<SocketAddr, VecDeque<Idle>>,
    /// Connections that were closed as bytes were received after a response.
    unsolicited: u64,
}

impl Pool {
    /// How long a connection is kept idle if the endpoint states no time-out.
    const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
    /// A connection is no longer used from this long before the endpoint's own idle time-out, so
    /// that no request is sent while the endpoint closes it.
    const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

    /// Removes and returns a ready connection. The one idle longest comes first: if its endpoint
    /// sent unexpected bytes after the last response, they have arrived by now and closed it.
    pub fn take(&mut self, addr: SocketAddr) -> Option<Link> {
        self.take_if(addr, |_| true)
    }

    /// Removes and returns a ready connection that has not carried a named request.
    pub fn take_for(&mut self, addr: SocketAddr, name: &[u8]) -> Option<Link> {
        self.take_if(addr, |link| !link.has_carried(name))
    }

    fn take_if(&mut self, addr: SocketAddr, accepts: impl Fn(&Link) -> bool) -> Option<Link> {
        self.remove_closed(clock::now(), addr);
        let list = self.idle.get_mut(&addr)?;
        let index = list.iter().position(|idle| accepts(&idle.link))?;
        list.remove(index).map(|idle| idle.link)
    }

    /// Drops connections to a peer that have expired or were closed.
    fn remove_closed(&mut self, now: Duration, addr: SocketAddr) {
        let Some(list) = self.idle.get_mut(&addr) else {
            return;
        };
        list.retain(|idle| {
            self.unsolicited += u64::from(idle.link.has_unsolicited());
            idle.expires_at > now && idle.link.is_ready()
        });
    }

    /// Returns how many connections were closed as bytes were received after a response.
    pub fn unsolicited(&self) -> u64 {
        self.unsolicited
    }

    /// Returns for how long an idle connection is used. `idle_timeout` is the endpoint's, if it
    /// states one.
    pub fn usable_for(idle_timeout: Option<Duration>) -> Duration {
        idle_timeout.map_or(Self::DEFAULT_IDLE_TIMEOUT, |idle_timeout| {
            idle_timeout.saturating_sub(Self::IDLE_TIMEOUT_MARGIN)
        })
    }

    /// Adds a connection whose last response is complete, unless other responses came before that.
    /// `idle_timeout` is the endpoint's, if it states one.
    pub fn put(&mut self, link: Link, idle_timeout: Option<Duration>) {
        self.unsolicited += u64::from(link.has_unsolicited());
        let idle_timeout = Self::usable_for(idle_timeout);
        let list = self.idle.entry(link.addr).or_default();
        if !idle_timeout.is_zero() && link.is_reusable() && list.len() < MAX_IDLE_PER_ADDRESS {
            list.push_back(Idle { link, expires_at: clock::now() + idle_timeout });
        }
    }

    /// Drops all connections to a peer.
    pub fn clear(&mut self, addr: SocketAddr) {
        self.idle.remove(&addr);
    }

    /// Drops connections that have expired or were closed by the peer.
    pub fn remove_expired(&mut self) {
        let now = clock::now();
        let addrs: Vec<SocketAddr> = self.idle.keys().copied().collect();
        for addr in addrs {
            self.remove_closed(now, addr);
        }
        self.idle.retain(|_, list| !list.is_empty());
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.values().map(VecDeque::len).sum()
    }

    /// Returns whether there is no idle connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The executor that all tasks of a daemon share.
pub type Executor = Rc<LocalExecutor<'static>>;
