//! Reads responses from a connection: heads of bounded length, and bodies up to the end of their
//! framing.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use smol::io::AsyncBufRead;
use smol::io::AsyncBufReadExt;
use smol::io::AsyncRead;
use smol::io::BufReader;
use smol::io::Cursor;
use smol::net::TcpStream;

use crate::decide::body::Framing;
use crate::edge::http::Error;
use crate::edge::http::framing;

/// Maximum length of a response head, including informational responses before it, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum length of a line with the size of a chunk, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Length of such a line with 16 digits and without an extension, in bytes.
const CHUNK_SIZE_LINE_BYTES: usize = 18;
/// Maximum length of all extensions of chunks and all trailers of a body, in bytes.
const MAX_EXTRA_BYTES: usize = 8 << 10;
/// Number of reads from the connection after which a reader lets other tasks run. A peer that sends
/// faster than it is read never makes a reader wait.
const READS_PER_TURN: u32 = 16;

/// A connection from which responses are read.
pub(super) type Reader = BufReader<TcpStream>;

/// Reads the head of a final response; informational responses before it are skipped.
pub(super) async fn read_head(reader: &mut Reader, method: Method) -> Result<Head, Error> {
    let mut remaining = MAX_HEAD_BYTES;
    loop {
        let bytes = read_head_bytes(reader, &mut remaining).await?;
        let decoded = async_h1::client::decode(Cursor::new(bytes)).await;
        let mut response = decoded.map_err(|_| Error::Malformed)?;
        // What the parser takes for the body consists of the bytes after the head, of which it was
        // given none.
        response.take_body();
        match u16::from(response.status()) {
            101 => return Err(Error::Malformed),
            100..200 => {}
            _ => return Head::new(response, method),
        }
    }
}

/// Reads bytes up to the next empty line.
async fn read_head_bytes(reader: &mut Reader, remaining: &mut usize) -> Result<Vec<u8>, Error> {
    let mut head = Vec::new();
    loop {
        let buf = reader.fill_buf().await.map_err(|_| Error::Broken)?;
        if buf.is_empty() {
            return Err(Error::Broken);
        }
        let line_end = buf.iter().position(|byte| *byte == b'\n');
        let len = line_end.map_or(buf.len(), |position| position + 1);
        *remaining = remaining.checked_sub(len).ok_or(Error::Malformed)?;
        head.extend_from_slice(&buf[..len]);
        reader.consume(len);
        if head.ends_with(b"\r\n\r\n") || head.ends_with(b"\n\n") {
            return Ok(head);
        }
    }
}

/// The head of a response, with how its body is delimited.
pub(super) struct Head {
    pub(super) response: Response,
    pub(super) framing: Framing,
    /// Length of the body in bytes, unless it has chunks or ends with the connection.
    pub(super) body_len: Option<usize>,
}

impl Head {
    fn new(response: Response, method: Method) -> Result<Self, Error> {
        let framing = framing(&response, method);
        let body_len = match (framing, response.header("content-length")) {
            (Framing::Length, Some(lengths)) if !is_empty(&response, method) => {
                Some(parse_len(lengths.iter().map(|len| len.as_str()))?)
            }
            (Framing::Length, _) => Some(0),
            (Framing::Chunked | Framing::Close, _) => None,
        };
        Ok(Head { response, framing, body_len })
    }
}

/// Whether a response to a request with this method has no body, whatever its headers say.
pub(super) fn is_empty(head: &Response, method: Method) -> bool {
    let status = head.status();
    method == Method::Head
        || status.is_informational()
        || matches!(status, StatusCode::NoContent | StatusCode::NotModified)
}

/// Parses the values of `Content-Length`, which have to agree.
fn parse_len<'a>(lengths: impl Iterator<Item = &'a str>) -> Result<usize, Error> {
    let mut found = None;
    for len in lengths {
        let is_number = !len.is_empty() && len.bytes().all(|byte| byte.is_ascii_digit());
        let len = len.parse().ok().filter(|_| is_number).ok_or(Error::Malformed)?;
        if *found.get_or_insert(len) != len {
            return Err(Error::Malformed);
        }
    }
    found.ok_or(Error::Malformed)
}

/// Position in a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Bytes of a body with a length, or of a chunk, follow.
    Data(u64),
    /// The line end after a chunk follows.
    ChunkEnd,
    /// The size of a chunk follows.
    ChunkSize,
    /// Trailers or the empty line after them follow.
    Trailers,
    /// The body is complete.
    End,
}

/// Reads a body. The end of the connection is an error before the end of the framing.
pub(super) struct Body {
    reader: Reader,
    state: State,
    is_chunked: bool,
    line: Vec<u8>,
    /// Bytes of extensions of chunks and of trailers.
    extra_bytes: usize,
    reads: u32,
}

impl Body {
    pub(super) fn new(reader: Reader, head: &Head) -> Self {
        let is_chunked = head.framing == Framing::Chunked;
        let state = match head.body_len {
            Some(0) => State::End,
            Some(len) => State::Data(len as u64),
            None if is_chunked => State::ChunkSize,
            None => State::End,
        };
        Body { reader, state, is_chunked, line: Vec::new(), extra_bytes: 0, reads: 0 }
    }

    /// Whether the body was read to its end and no bytes were received after it.
    pub(super) fn is_exhausted(&self) -> bool {
        self.state == State::End && self.reader.buffer().is_empty()
    }

    /// Returns the connection, with the bytes that were received after the body, or none if the body
    /// was not read to its end.
    pub(super) fn into_reader(self) -> Option<Reader> {
        (self.state == State::End).then_some(self.reader)
    }

    fn poll_buffer(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.reader.buffer().is_empty() {
            return Poll::Ready(Ok(()));
        }
        if self.reads >= READS_PER_TURN {
            self.reads = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.reader).poll_fill_buf(cx);
        // A read that has to wait lets other tasks run.
        self.reads = if polled.is_pending() { 0 } else { self.reads + 1 };
        if ready!(polled)?.is_empty() {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }

    /// Reads a line of at most `max` bytes into `line`.
    fn poll_line(&mut self, cx: &mut Context<'_>, max: usize) -> Poll<io::Result<()>> {
        while self.line.last() != Some(&b'\n') {
            ready!(self.poll_buffer(cx))?;
            let buf = self.reader.buffer();
            let line_end = buf.iter().position(|byte| *byte == b'\n');
            let len = line_end.map_or(buf.len(), |position| position + 1);
            if self.line.len() + len > max {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
            self.line.extend_from_slice(&buf[..len]);
            Pin::new(&mut self.reader).consume(len);
        }
        Poll::Ready(Ok(()))
    }

    /// Reads what stands between the parts of a body, until bytes of the body follow or it ends.
    fn poll_framing(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            let max = match self.state {
                State::Data(_) | State::End => return Poll::Ready(Ok(())),
                State::ChunkEnd => 2,
                State::ChunkSize => MAX_CHUNK_LINE_BYTES,
                State::Trailers => MAX_EXTRA_BYTES,
            };
            ready!(self.poll_line(cx, max))?;
            let line = std::mem::take(&mut self.line);
            let text = line.trim_ascii_end();
            self.extra_bytes += match self.state {
                State::ChunkSize => line.len().saturating_sub(CHUNK_SIZE_LINE_BYTES),
                State::Trailers => line.len(),
                State::Data(_) | State::ChunkEnd | State::End => 0,
            };
            if self.extra_bytes > MAX_EXTRA_BYTES {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
            self.state = match self.state {
                State::ChunkEnd if text.is_empty() => State::ChunkSize,
                State::ChunkSize => match chunk_size(text) {
                    Some(0) => State::Trailers,
                    Some(len) => State::Data(len),
                    None => return Poll::Ready(Err(io::ErrorKind::InvalidData.into())),
                },
                State::Trailers if text.is_empty() => State::End,
                State::Trailers => State::Trailers,
                _ => return Poll::Ready(Err(io::ErrorKind::InvalidData.into())),
            };
        }
    }
}

/// Parses the size of a chunk; extensions after it are ignored.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.split(|byte| *byte == b';').next()?.trim_ascii_end();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

impl AsyncBufRead for Body {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        ready!(this.poll_framing(cx))?;
        let State::Data(remaining) = this.state else {
            return Poll::Ready(Ok(&[]));
        };
        ready!(this.poll_buffer(cx))?;
        let buf = this.reader.buffer();
        let len =
            usize::try_from(remaining).map_or(buf.len(), |remaining| remaining.min(buf.len()));
        Poll::Ready(Ok(&buf[..len]))
    }

    fn consume(mut self: Pin<&mut Self>, len: usize) {
        if let State::Data(remaining) = &mut self.state {
            *remaining = remaining.saturating_sub(len as u64);
            if *remaining == 0 {
                self.state = if self.is_chunked { State::ChunkEnd } else { State::End };
            }
            Pin::new(&mut self.reader).consume(len);
        }
    }
}

impl AsyncRead for Body {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(cx))?;
        let len = available.len().min(buf.len());
        buf[..len].copy_from_slice(&available[..len]);
        self.consume(len);
        Poll::Ready(Ok(len))
    }
}
