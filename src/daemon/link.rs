//! Connections to endpoints and to the store: opened with time-outs of their own, kept while they
//! are sound.
//!
//! A connection's own task writes to its socket, when the executor comes to it: on a daemon that runs late
//! seconds after the request was handed to it. So the socket itself looks at the clock at each write.
//!
//! A connection may go silent for good without a reset: unanswered bytes give up after
//! `UNANSWERED`, and an idle peer is probed. Each connection belongs to one task; dropping the
//! link ends it and closes the socket, so that the endpoint stops work for a caller that left.

use std::cell::Cell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use rustix::net::sockopt;
use smol::LocalExecutor;
use smol::Task;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::daemon::clock;

/// How long bytes may stay unanswered by the other side's kernel: several times the longest way
/// there and back, and under what callers wait for.
pub const UNANSWERED: Duration = Duration::from_millis(2_500);
/// An idle or silent peer is probed after this long, and again each time.
const PROBE: Duration = Duration::from_secs(1);
/// Probes without an answer before the connection is given up.
const PROBES: u32 = 3;
/// The most idle connections kept to one endpoint.
const IDLE_MAX: usize = 48;

/// Why an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// No connection was made in time.
    Connect,
    /// The connection turned out closed before anything was sent.
    Unsent,
    /// Time ran out before anything was sent.
    Expired,
    /// The connection broke after bytes may have been sent.
    Broken,
    /// Time ran out after bytes may have been sent.
    Timeout,
    /// What came back is not HTTP, or longer than allowed.
    Malformed,
}

impl Error {
    /// Whether nothing can have reached the other side.
    pub fn unsent(self) -> bool {
        matches!(self, Error::Connect | Error::Unsent | Error::Expired)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.into())
    }
}

impl std::error::Error for Error {}

/// The request that a connection carries.
#[derive(Debug, Default)]
struct Current {
    /// No bytes are handed to the kernel from then on.
    until: Cell<Duration>,
    /// When bytes were last handed to it; none while all are still queued.
    written: Cell<Option<Duration>>,
}

/// The socket of a connection.
struct Socket {
    stream: TcpStream,
    current: Rc<Current>,
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        // The sender's right to send, such as a lease, may have ended while the request was queued.
        let now = clock::now();
        if now >= self.current.until.get() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let done = Pin::new(&mut self.stream).poll_write(cx, buf);
        if matches!(done, Poll::Ready(Ok(_))) {
            self.current.written.set(Some(now));
        }
        done
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
    sender: http1::SendRequest<Full<Bytes>>,
    stream: TcpStream,
    current: Rc<Current>,
    _task: Task<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        if !self.sender.is_ready() {
            // What was sent may still be held up on the way. After a plain close it would arrive when
            // the link heals: an order of a holder that has lost the lease, or a request whose caller
            // has left. A reset takes it back; where it cannot be set, the close is a plain one.
            let _ = sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO));
        }
    }
}

impl Link {
    /// Whether another request can be sent at once.
    pub fn ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether it becomes ready once the last answer is over.
    pub async fn settle(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// When bytes of the last request were handed to the kernel, if any were.
    pub fn written(&self) -> Option<Duration> {
        self.current.written.get()
    }

    /// Sends a request, none of it later than `limit` from now, and waits for the head of the answer.
    pub async fn send(
        &mut self,
        req: Request<Bytes>,
        limit: Duration,
    ) -> Result<Response<Incoming>, Error> {
        self.current.until.set(clock::now() + limit);
        self.current.written.set(None);
        let req = req.map(Full::new);
        match self.sender.try_send_request(req).await {
            Ok(res) => Ok(res),
            Err(mut err) => {
                let unsent = err.take_message().is_some() || self.written().is_none();
                let err = err.into_error();
                Err(if unsent && self.expired() {
                    Error::Expired
                } else if unsent {
                    Error::Unsent
                } else if err.is_parse() {
                    Error::Malformed
                } else {
                    Error::Broken
                })
            }
        }
    }

    /// Has the kernel give the connection up when bytes stay unanswered for so long, instead of `UNANSWERED`.
    pub fn give_up_after(&self, limit: Duration) -> rustix::io::Result<()> {
        sockopt::set_tcp_user_timeout(&self.stream, limit.as_millis().max(1) as u32)
    }

    /// Whether the time to send the request ran out before any of it was written.
    pub fn expired(&self) -> bool {
        self.written().is_none() && clock::now() >= self.current.until.get()
    }

    /// Sends a request and reads the whole answer, of at most `max` bytes, within `limit`.
    pub async fn call(
        &mut self,
        req: Request<Bytes>,
        max: usize,
        limit: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let whole = async {
            let (head, body) = self.send(req, limit).await?.into_parts();
            let body = Limited::new(body, max).collect().await.map_err(|_| Error::Broken)?;
            Ok(Response::from_parts(head, body.to_bytes()))
        };
        let outcome = whole.or(expire(limit, Error::Timeout)).await;
        outcome.map_err(|err| if self.expired() { Error::Expired } else { err })
    }
}

/// Fails after `limit`.
pub async fn expire<T>(limit: Duration, err: Error) -> Result<T, Error> {
    Timer::after(limit).await;
    Err(err)
}

/// Opens a connection within `limit`.
pub async fn dial(
    ex: &LocalExecutor<'static>,
    addr: SocketAddr,
    limit: Duration,
) -> Result<Link, Error> {
    let open = async { TcpStream::connect(addr).await.map_err(|_| Error::Connect) };
    let stream = open.or(expire(limit, Error::Connect)).await?;
    guard(&stream).map_err(|_| Error::Connect)?;
    let current = Rc::new(Current::default());
    let socket = Socket { stream: stream.clone(), current: current.clone() };
    let (sender, conn) =
        http1::handshake(FuturesIo::new(socket)).await.map_err(|_| Error::Connect)?;
    // Its end shows at the sender.
    let task = ex.spawn(async move { conn.await.unwrap_or_default() });
    Ok(Link { sender, stream, current, _task: task })
}

/// Sets what makes a silent peer show.
pub fn guard(stream: &TcpStream) -> rustix::io::Result<()> {
    sockopt::set_tcp_nodelay(stream, true)?;
    sockopt::set_tcp_user_timeout(stream, UNANSWERED.as_millis() as u32)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, PROBE)?;
    sockopt::set_tcp_keepintvl(stream, PROBE)?;
    sockopt::set_tcp_keepcnt(stream, PROBES)
}

struct Idle {
    link: Link,
    until: Duration,
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: HashMap<SocketAddr, VecDeque<Idle>>,
}

impl Pool {
    /// How long a connection is kept idle where the endpoint does not say.
    const KEEP: Duration = Duration::from_secs(8);
    /// So much before the endpoint's own time-out it is no longer used: a request must not cross
    /// the endpoint's close.
    const BEFORE: Duration = Duration::from_millis(700);

    /// A connection that is ready now. The one that has been idle longest comes first: whatever
    /// the endpoint sent late has arrived by then, and the connection has ended over it.
    pub fn take(&mut self, addr: SocketAddr) -> Option<Link> {
        let now = clock::now();
        let list = self.idle.get_mut(&addr)?;
        while let Some(idle) = list.pop_front() {
            if idle.until > now && idle.link.ready() {
                return Some(idle.link);
            }
        }
        None
    }

    /// Keeps a connection whose last answer is over.
    pub fn give(&mut self, addr: SocketAddr, link: Link, keep: Option<Duration>) {
        let keep = keep.map_or(Self::KEEP, |keep| keep.saturating_sub(Self::BEFORE));
        let list = self.idle.entry(addr).or_default();
        if !keep.is_zero() && list.len() < IDLE_MAX {
            list.push_back(Idle { link, until: clock::now() + keep });
        }
    }

    /// Closes what is over.
    pub fn sweep(&mut self) {
        let now = clock::now();
        for list in self.idle.values_mut() {
            list.retain(|idle| idle.until > now && idle.link.ready());
        }
        self.idle.retain(|_, list| !list.is_empty());
    }

    /// How many are idle.
    pub fn len(&self) -> usize {
        self.idle.values().map(VecDeque::len).sum()
    }

    /// Whether none is idle.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// An executor that all tasks of a daemon share.
pub type Executor = Rc<LocalExecutor<'static>>;
