//! The HTTP client, with a pool of kept-alive connections per address.

use std::collections::HashMap;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde::de::DeserializeOwned;
use smol::future::FutureExt;
use smol::io::AsyncBufReadExt;
use smol::io::BufReader;
use smol::net::TcpStream;

use crate::decide::body::Framing;
use crate::edge::http::Error;
use crate::edge::http::expire;
use crate::edge::http::intake::Held;
use crate::edge::http::intake::Intake;
use crate::edge::http::read_held;
use crate::edge::http::refused;
use crate::edge::http::response::Body;
use crate::edge::http::response::Reader;
use crate::edge::http::response::is_empty;
use crate::edge::http::response::read_head;

/// Whether a request may use a pooled connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Use an idle connection if there is one. Its closure may show only after bytes were sent.
    Idle,
    /// Open a new connection: if that fails, nothing was sent.
    Fresh,
    /// Open a new connection, and close it after the response.
    Never,
}

/// Idle connections by address, each with the time since when it is idle.
type Idle = HashMap<SocketAddr, Vec<(TcpStream, Instant)>>;

/// A pool of kept-alive connections.
#[derive(Debug, Clone)]
pub struct Pool {
    idle: Arc<Mutex<Idle>>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    responses: Arc<Intake>,
}

impl Pool {
    /// Maximum number of idle connections per address.
    const MAX_IDLE_PER_ADDRESS: usize = 256;

    /// Default bound on what all responses hold while they are received, in bytes.
    const MAX_RESPONSES_BYTES: usize = 64 << 20;

    /// Creates a pool that gives up connecting after `connect_timeout` and closes connections that
    /// were idle for `idle_timeout`.
    pub fn new(connect_timeout: Duration, idle_timeout: Duration) -> Self {
        let responses = Intake::new(Self::MAX_RESPONSES_BYTES);
        Pool { idle: Arc::default(), connect_timeout, idle_timeout, responses }
    }

    /// Returns a pool of the same connections whose responses are counted apart from those of this
    /// one, and together hold at most `max` bytes. A response that is alone may hold more.
    pub fn with_response_bound(&self, max: usize) -> Self {
        Pool { responses: Intake::new(max), ..self.clone() }
    }

    /// Returns a response of which nothing has been received, to count what is kept of it elsewhere.
    pub fn hold(&self) -> Held {
        Held::new(&self.responses)
    }

    /// Sends a request and reads the head of the response within `limit`.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request,
        reuse: Reuse,
        limit: Duration,
    ) -> Result<Answer, Error> {
        let idle = match reuse {
            Reuse::Idle => self.take(addr),
            Reuse::Fresh | Reuse::Never => None,
        };
        let stream = match idle {
            Some(stream) => stream,
            None => self.open(addr).await?,
        };
        let mut answer = exchange(&stream, req).or(expire(limit)).await?;
        answer.responses = Some(self.responses.clone());
        let is_kept = reuse != Reuse::Never && answer.may_be_reused();
        answer.home = is_kept.then(|| (self.clone(), addr));
        Ok(answer)
    }

    /// Sends a request and returns the status and JSON body, of at most `max` bytes.
    pub async fn json<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        req: Request,
        max: usize,
        limit: Duration,
    ) -> Result<(StatusCode, T), Error> {
        let transfer = async {
            let answer = self.send(addr, req, Reuse::Idle, limit).await?;
            let status = answer.head.status();
            let buf = answer.bytes(max).await?;
            let value = serde_json::from_slice(&buf).map_err(|_| Error::Malformed)?;
            Ok((status, value))
        };
        transfer.or(expire(limit)).await
    }

    async fn open(&self, addr: SocketAddr) -> Result<TcpStream, Error> {
        let connecting = async { TcpStream::connect(addr).await.map_err(|_| Error::Connect) };
        let expiry = async {
            smol::Timer::after(self.connect_timeout).await;
            Err(Error::Connect)
        };
        let stream = connecting.or(expiry).await?;
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    /// Returns an idle connection that, as far as is visible, the peer has not closed.
    fn take(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().expect("idle connections");
        let list = idle.get_mut(&addr)?;
        while let Some((stream, since)) = list.pop() {
            if since.elapsed() < self.idle_timeout && is_idle(&stream) {
                return Some(stream);
            }
        }
        None
    }

    fn put(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().expect("idle connections");
        let list = idle.entry(addr).or_default();
        if list.len() < Self::MAX_IDLE_PER_ADDRESS {
            list.push((stream, Instant::now()));
        }
    }
}

/// Returns how the body of a response to a request with this method is delimited.
pub fn framing(head: &Response, method: Method) -> Framing {
    let codings = head.header("transfer-encoding").map(|codings| codings.last().as_str());
    if is_empty(head, method) {
        Framing::Length
    } else if codings == Some("chunked") {
        Framing::Chunked
    } else if head.header("content-length").is_some() {
        Framing::Length
    } else {
        Framing::Close
    }
}

/// Whether the connection is open and has no data to read.
fn is_idle(stream: &TcpStream) -> bool {
    let mut buf = [0_u8; 1];
    let peek = stream.peek(&mut buf);
    smol::pin!(peek);
    smol::future::block_on(smol::future::poll_once(peek)).is_none()
}

/// Sends a request over a connection and reads the head of the next response on it.
pub async fn exchange(stream: &TcpStream, req: Request) -> Result<Answer, Error> {
    let method = req.method();
    let mut encoder = async_h1::client::Encoder::new(req);
    let mut writer = stream.clone();
    smol::io::copy(&mut encoder, &mut writer).await.map_err(|_| Error::Broken)?;
    Answer::read(BufReader::new(stream.clone()), stream.clone(), method).await
}

/// A response whose body is being read.
pub struct Answer {
    /// Status and headers.
    pub head: Response,
    body: Body,
    /// Body length in bytes, if stated.
    body_len: Option<usize>,
    framing: Framing,
    method: Method,
    stream: TcpStream,
    /// The pool to which the connection returns, if any.
    home: Option<(Pool, SocketAddr)>,
    /// Counts what is held of the body, unless the answer was read without a pool.
    responses: Option<Arc<Intake>>,
}

impl Answer {
    /// Timeout for reading the remainder of a body that is no longer needed.
    const REMAINDER_TIMEOUT: Duration = Duration::from_secs(1);
    /// Maximum length of such a remainder, in bytes.
    const MAX_REMAINDER_BYTES: usize = 64;
    /// Maximum length of a line, in bytes.
    const MAX_LINE_BYTES: usize = 64 << 10;

    async fn read(mut reader: Reader, stream: TcpStream, method: Method) -> Result<Self, Error> {
        let head = read_head(&mut reader, method).await?;
        let body = Body::new(reader, &head);
        let (framing, body_len) = (head.framing, head.body_len);
        let head = head.response;
        Ok(Answer { head, body, body_len, framing, method, stream, home: None, responses: None })
    }

    /// Returns the value of a header, or none if it is missing or repeated.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut values = self.head.header(name)?.iter();
        values.next().filter(|_| values.next().is_none()).map(|value| value.as_str())
    }

    /// Discards this response, whose body may have at most `max` bytes, and reads the next one on
    /// the connection, which does not return to a pool afterwards.
    pub async fn next(mut self, max: usize) -> Result<Self, Error> {
        self.check_framing()?;
        if !self.discard(max).await {
            return Err(Error::Malformed);
        }
        let reader = self.body.into_reader().ok_or(Error::Malformed)?;
        let next = Answer::read(reader, self.stream, self.method).await?;
        Ok(Answer { responses: self.responses, ..next })
    }

    /// Reads the complete body, of at most `max` bytes.
    pub async fn bytes(self, max: usize) -> Result<Vec<u8>, Error> {
        let (buf, _) = self.held_bytes(max).await?;
        Ok(buf)
    }

    /// Reads the complete body, of at most `max` bytes, and returns it with what counts it as held.
    pub async fn held_bytes(mut self, max: usize) -> Result<(Vec<u8>, Option<Held>), Error> {
        self.check_framing()?;
        if self.body_len.is_some_and(|len| len > max) {
            return Err(Error::TooLarge(max));
        }
        let held = self.responses.as_ref().map(Held::new);
        let buf = read_held(&mut self.body, self.body_len, max, held.as_ref()).await?;
        self.release();
        Ok((buf, held))
    }

    /// A body that ends with its connection is not read.
    fn check_framing(&self) -> Result<(), Error> {
        if self.framing == Framing::Close { Err(Error::Unframed) } else { Ok(()) }
    }

    /// Whether the server keeps the connection open after this response.
    fn may_be_reused(&self) -> bool {
        let closes = self.head.header("connection").is_some_and(|values| {
            values.iter().any(|value| value.as_str().eq_ignore_ascii_case("close"))
        });
        !closes && self.framing != Framing::Close
    }

    /// Clears `buf` and reads one line into it; returns false at the end of the body.
    pub async fn line(&mut self, buf: &mut String) -> Result<bool, Error> {
        buf.clear();
        self.check_framing()?;
        let mut bytes = std::mem::take(buf).into_bytes();
        // Counts a line that does not arrive at once.
        let mut held = None;
        while bytes.last() != Some(&b'\n') {
            let fill = async { self.body.fill_buf().await.map_err(|_| Error::Broken) };
            let available = fill.or(refused(held.as_ref())).await?;
            if available.is_empty() {
                break;
            }
            let line_end = available.iter().position(|byte| *byte == b'\n');
            let len = line_end.map_or(available.len(), |position| position + 1);
            if bytes.len() + len > Self::MAX_LINE_BYTES {
                return Err(Error::TooLarge(Self::MAX_LINE_BYTES));
            }
            if line_end.is_none() {
                held = held.or_else(|| self.responses.as_ref().map(Held::new));
                if let Some(held) = &held
                    && !held.add(len).await
                {
                    return Err(Error::NoRoom);
                }
            }
            bytes.extend_from_slice(&available[..len]);
            self.body.consume(len);
        }
        *buf = String::from_utf8(bytes).map_err(|_| Error::Malformed)?;
        Ok(!buf.is_empty())
    }

    /// Whether data can be read without waiting.
    pub fn is_readable(&mut self) -> bool {
        let fill = self.body.fill_buf();
        smol::pin!(fill);
        smol::future::block_on(smol::future::poll_once(fill))
            .is_some_and(|res| res.is_ok_and(|buf| !buf.is_empty()))
    }

    /// Returns the connection to the pool if the body ends after a short remainder, else closes it.
    ///
    /// An event stream ends with an empty line after its last event, and servers often send the
    /// last chunk in a separate packet. Without waiting for both, every stream would cost a new
    /// connection.
    pub fn finish(mut self) {
        let immediate = {
            let read_remainder = self.discard(Self::MAX_REMAINDER_BYTES);
            smol::pin!(read_remainder);
            smol::future::block_on(smol::future::poll_once(read_remainder))
        };
        match immediate {
            Some(true) => self.release(),
            Some(false) => {}
            None => smol::spawn(async move {
                let expiry = async {
                    smol::Timer::after(Self::REMAINDER_TIMEOUT).await;
                    false
                };
                if self.discard(Self::MAX_REMAINDER_BYTES).or(expiry).await {
                    self.release();
                }
            })
            .detach(),
        }
    }

    /// Reads to the end of the body; returns false on an error or if more than `max` bytes remain.
    async fn discard(&mut self, max: usize) -> bool {
        let mut remaining = max;
        loop {
            let len = match self.body.fill_buf().await {
                Ok(chunk) if chunk.len() <= remaining => chunk.len(),
                _ => return false,
            };
            if len == 0 {
                return true;
            }
            self.body.consume(len);
            remaining -= len;
        }
    }

    /// Returns the connection to its pool, or closes it if bytes were received after the response:
    /// they belong to no request that is still to be sent.
    fn release(&mut self) {
        if !self.body.is_exhausted() {
            let _ = self.stream.shutdown(Shutdown::Both);
        } else if let Some((pool, addr)) = self.home.take() {
            pool.put(addr, self.stream.clone());
        }
    }
}
