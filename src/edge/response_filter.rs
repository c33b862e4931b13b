//! Finds the response to a request among the bytes that a connection receives.
//!
//! Load pattern: an endpoint sends a response once more, late, on a connection that is kept open. It
//! arrives where the response to the next request is due, often before the endpoint has that request,
//! and several may follow each other. An endpoint may also send informational responses, a head or a
//! body without end. What does not belong to the request is discarded; how much of it is bounded for
//! each request, and after that the connection has failed.

use std::ops::RangeInclusive;

use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;

/// Largest head of a response, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// Bytes of a head that are parsed as they arrive, so that bytes that are no response are found
/// early. A longer head is parsed once it is complete.
const EAGER_HEAD_BYTES: usize = 256;
/// Largest number of header lines.
const MAX_HEADERS: usize = 100;
/// Longest line between the chunks of a body, in bytes.
const MAX_LINE_BYTES: usize = 8 << 10;
/// Responses that are discarded for one request, informational ones included.
const MAX_DISCARDED: usize = 32;
/// Bytes that are discarded for one request: one response of the largest size.
const MAX_DISCARDED_BYTES: usize = 8 << 20;

/// Statuses of final responses.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Which response belongs to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expected {
    /// The next one.
    Next,
    /// The one that repeats this header.
    Named(HeaderName, HeaderValue),
}

/// Why a connection has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// A head is too long.
    HeadTooLong,
    /// Too much was received that does not belong to the request.
    TooMuch,
    /// A response is not valid HTTP, or its end is not clear.
    Malformed,
    /// Bytes came while no response was due.
    Unsolicited,
}

/// Head of a response that was discarded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
}

/// What is due next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Nothing.
    Idle,
    /// The head of a response.
    Head,
    /// The body of the response that belongs to the request.
    Body(Body),
    /// The body of another response.
    Discard(Body),
    /// Bytes that can't be delimited and are passed on.
    Rest,
}

/// What is left of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Body {
    /// As many bytes.
    Length(u64),
    /// The line with the size of a chunk, and what follows.
    Size,
    /// As many bytes of a chunk and the end of its last line, and what follows.
    Chunk(u64),
    /// Lines up to an empty one.
    Trailer,
    /// All bytes up to the end of the connection.
    Close,
}

/// Separates the response to the current request from other bytes.
#[derive(Debug)]
pub struct Filter {
    expected: Expected,
    /// Whether the current request is one whose response has no body.
    is_head: bool,
    state: State,
    /// Beginning of the head, or of a line between chunks; at most `MAX_HEAD_BYTES`.
    held: BytesMut,
    /// Heads of the responses discarded for the current request, but for informational ones.
    discarded: Vec<Head>,
    /// Number of all responses discarded for the current request; at most `MAX_DISCARDED`.
    discarded_responses: usize,
    /// Bytes of them; at most `MAX_DISCARDED_BYTES`.
    discarded_bytes: usize,
    error: Option<Error>,
}

impl Default for Filter {
    fn default() -> Self {
        Filter {
            expected: Expected::Next,
            is_head: false,
            state: State::Idle,
            held: BytesMut::new(),
            discarded: Vec::new(),
            discarded_responses: 0,
            discarded_bytes: 0,
            error: None,
        }
    }
}

impl Filter {
    /// Begins to wait for the response to a request, before any of it is sent. `is_head` says whether
    /// its method is HEAD.
    pub fn expect(&mut self, expected: Expected, is_head: bool) {
        self.expected = expected;
        self.is_head = is_head;
        self.state = State::Head;
        self.held.clear();
        self.discarded.clear();
        self.discarded_responses = 0;
        self.discarded_bytes = 0;
    }

    /// Returns the heads of the responses discarded for the current request, but for informational
    /// ones.
    pub fn discarded(&self) -> &[Head] {
        &self.discarded
    }

    /// Returns whether the current request is for a head alone. A late copy of the response could not
    /// be delimited where another response is due.
    pub fn is_head_request(&self) -> bool {
        self.is_head
    }

    /// Returns the number of bytes kept of a head or of a line that is not complete.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Returns why the connection has failed, if it has.
    pub fn error(&self) -> Option<Error> {
        self.error
    }

    /// Adds those of the bytes received to `out` that belong to the current request's response. The
    /// connection can't be used any more after an error.
    pub fn push(&mut self, bytes: &[u8], out: &mut BytesMut) -> Result<(), Error> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let pushed = match self.state {
                State::Idle => Err(Error::Unsolicited),
                State::Head => self.push_head(rest, out),
                State::Body(body) => self.push_body(body, rest, out),
                State::Discard(body) => self.discard(body, rest),
                State::Rest => {
                    out.extend_from_slice(rest);
                    Ok(rest.len())
                }
            };
            let len = pushed.inspect_err(|err| self.error = Some(*err))?;
            rest = &rest[len..];
        }
        Ok(())
    }

    /// Takes bytes of a head; returns how many. A head that can't be parsed is passed on, so that the
    /// HTTP client rejects it.
    fn push_head(&mut self, bytes: &[u8], out: &mut BytesMut) -> Result<usize, Error> {
        let before = self.held.len();
        let taken = bytes.len().min(MAX_HEAD_BYTES - before);
        self.held.extend_from_slice(&bytes[..taken]);
        let has_end = contains_empty_line(&self.held[before.saturating_sub(3)..]);
        if !has_end && self.held.len() > EAGER_HEAD_BYTES {
            let is_full = self.held.len() == MAX_HEAD_BYTES;
            return if is_full { Err(Error::HeadTooLong) } else { Ok(taken) };
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut res = httparse::Response::new(&mut headers);
        let len = match res.parse(&self.held) {
            Ok(httparse::Status::Complete(len)) => len,
            // Empty lines before a head.
            Ok(httparse::Status::Partial) if has_end => return Err(Error::Malformed),
            Ok(httparse::Status::Partial) => return Ok(taken),
            Err(_) => {
                out.extend_from_slice(&self.held.split());
                self.state = State::Rest;
                return Ok(taken);
            }
        };
        // One that broke off before this one would lend it a status or headers.
        let begin = self.held.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        if contains_status_line(&self.held[begin + 1..len]) {
            return Err(Error::Malformed);
        }
        let head = head(&res);
        let held = self.held.split();
        self.on_head(head, &held[..len], out)?;
        Ok(len - before)
    }

    /// Handles a complete head, which consists of `bytes`.
    fn on_head(
        &mut self,
        head: Option<Head>,
        bytes: &[u8],
        out: &mut BytesMut,
    ) -> Result<(), Error> {
        let is_informational = head.as_ref().is_some_and(|head| {
            head.status.is_informational() && head.status != StatusCode::SWITCHING_PROTOCOLS
        });
        if is_informational {
            return self.count(1, bytes.len());
        }
        // No request of a daemon asks for another protocol.
        if head.as_ref().is_some_and(|head| !FINAL_STATUSES.contains(&head.status.as_u16())) {
            return Err(Error::Malformed);
        }
        let is_expected = head.as_ref().is_some_and(|head| self.is_expected(&head.headers));
        if is_expected {
            out.extend_from_slice(bytes);
            let body = head.and_then(|head| body(&head, self.is_head));
            self.state = end_if_empty(State::Body(body.ok_or(Error::Malformed)?));
            return Ok(());
        }
        self.count(1, bytes.len())?;
        let head = head.ok_or(Error::Malformed)?;
        let body = body(&head, false).ok_or(Error::Malformed)?;
        self.discarded.push(head);
        self.state = end_if_empty(State::Discard(body));
        Ok(())
    }

    fn is_expected(&self, headers: &HeaderMap) -> bool {
        let Expected::Named(name, value) = &self.expected else {
            return true;
        };
        let mut named = headers.get_all(name).iter().peekable();
        named.peek().is_some() && named.all(|other| other == value)
    }

    /// Passes on bytes of a body; returns how many.
    fn push_body(&mut self, body: Body, bytes: &[u8], out: &mut BytesMut) -> Result<usize, Error> {
        let (len, left) = self.take(body, bytes)?;
        out.extend_from_slice(&bytes[..len]);
        self.state = left.map_or(State::Idle, State::Body);
        Ok(len)
    }

    /// Discards bytes of a body; returns how many.
    fn discard(&mut self, body: Body, bytes: &[u8]) -> Result<usize, Error> {
        let (len, left) = self.take(body, bytes)?;
        self.count(0, len)?;
        self.state = left.map_or(State::Head, State::Discard);
        Ok(len)
    }

    /// Returns how many of the bytes belong to a body, and what is left of it then; none at its end.
    fn take(&mut self, body: Body, bytes: &[u8]) -> Result<(usize, Option<Body>), Error> {
        match body {
            Body::Close => Ok((bytes.len(), Some(body))),
            Body::Length(left) => {
                let len = within(left, bytes);
                let left = left - len as u64;
                Ok((len, (left > 0).then_some(Body::Length(left))))
            }
            Body::Chunk(left) => {
                let len = within(left, bytes);
                let left = left - len as u64;
                Ok((len, Some(if left > 0 { Body::Chunk(left) } else { Body::Size })))
            }
            Body::Size => {
                let (len, line) = self.take_line(bytes)?;
                let Some(line) = line else {
                    return Ok((len, Some(Body::Size)));
                };
                match httparse::parse_chunk_size(&line) {
                    Ok(httparse::Status::Complete((_, 0))) => Ok((len, Some(Body::Trailer))),
                    Ok(httparse::Status::Complete((_, size))) => {
                        let left = size.checked_add(2).ok_or(Error::Malformed)?;
                        Ok((len, Some(Body::Chunk(left))))
                    }
                    _ => Err(Error::Malformed),
                }
            }
            Body::Trailer => {
                let (len, line) = self.take_line(bytes)?;
                match line.as_deref() {
                    None => Ok((len, Some(Body::Trailer))),
                    Some(b"\r\n") => Ok((len, None)),
                    Some(line) if line.ends_with(b"\r\n") => Ok((len, Some(Body::Trailer))),
                    // The HTTP client does not take it for a line.
                    Some(_) => Err(Error::Malformed),
                }
            }
        }
    }

    /// Returns how many of the bytes belong to the current line, and the line if it ends there.
    fn take_line(&mut self, bytes: &[u8]) -> Result<(usize, Option<BytesMut>), Error> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let len = end.map_or(bytes.len(), |end| end + 1);
        if self.held.len() + len > MAX_LINE_BYTES {
            return Err(Error::Malformed);
        }
        self.held.extend_from_slice(&bytes[..len]);
        Ok((len, end.map(|_| self.held.split())))
    }

    /// Counts what was discarded.
    fn count(&mut self, responses: usize, bytes: usize) -> Result<(), Error> {
        self.discarded_responses += responses;
        self.discarded_bytes += bytes;
        let is_within = self.discarded_responses <= MAX_DISCARDED
            && self.discarded_bytes <= MAX_DISCARDED_BYTES;
        if is_within { Ok(()) } else { Err(Error::TooMuch) }
    }
}

/// Returns the state after a head: a body without bytes has ended.
fn end_if_empty(state: State) -> State {
    match state {
        State::Body(Body::Length(0)) => State::Idle,
        State::Discard(Body::Length(0)) => State::Head,
        state => state,
    }
}

/// Returns how many of the bytes are among the next `left`.
fn within(left: u64, bytes: &[u8]) -> usize {
    usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()))
}

fn contains_empty_line(bytes: &[u8]) -> bool {
    bytes.windows(2).any(|pair| pair == b"\n\n") || bytes.windows(3).any(|part| part == b"\n\r\n")
}

/// Returns whether a status line is among the bytes, such as `HTTP/1.1 200`, wherever it begins.
fn contains_status_line(bytes: &[u8]) -> bool {
    bytes.windows(12).any(|part| {
        part.starts_with(b"HTTP/1.")
            && part[7].is_ascii_digit()
            && part[8] == b' '
            && part[9..].iter().all(u8::is_ascii_digit)
    })
}

/// Returns the status and the headers; none if one of them is not valid.
fn head(res: &httparse::Response<'_, '_>) -> Option<Head> {
    let status = StatusCode::from_u16(res.code?).ok()?;
    let mut headers = HeaderMap::with_capacity(res.headers.len());
    for row in &*res.headers {
        let name = HeaderName::from_bytes(row.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(row.value).ok()?);
    }
    Some(Head { status, headers })
}

/// Returns whether a body with transfer codings is delimited by chunks; none without any coding.
pub fn is_chunked(headers: &HeaderMap) -> Option<bool> {
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter().next_back()?;
    let last = codings.to_str().ok().and_then(|codings| codings.rsplit(',').next());
    Some(last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")))
}

/// Returns how the body after a head is delimited (RFC 9112, section 6.3); none if that is not clear.
fn body(head: &Head, is_head: bool) -> Option<Body> {
    let is_empty = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if is_head || is_empty {
        return Some(Body::Length(0));
    }
    if let Some(is_chunked) = is_chunked(&head.headers) {
        return Some(if is_chunked { Body::Size } else { Body::Close });
    }
    let mut len = None;
    for value in head.headers.get_all(header::CONTENT_LENGTH) {
        for text in value.to_str().ok()?.split(',').map(str::trim) {
            if !text.bytes().all(|byte| byte.is_ascii_digit()) {
                return None;
            }
            let other = text.parse().ok()?;
            if *len.get_or_insert(other) != other {
                return None;
            }
        }
    }
    Some(len.map_or(Body::Close, Body::Length))
}
