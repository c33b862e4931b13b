//! Bodies that are kept in segments.
//!
//! Load pattern: many large bodies arrive at once, and most of them are refused before they are
//! complete. Only the last segment of a body is not full, so that what is allocated can be counted
//! without refusing bodies for room that they never fill.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// Size of the first segment of a body; each further one is twice as large.
const MIN_SEGMENT_BYTES: usize = 4 << 10;
/// Largest size of a segment.
pub const MAX_SEGMENT_BYTES: usize = 64 << 10;

/// A body in segments.
#[derive(Debug, Clone, Default)]
pub struct Segments(VecDeque<Bytes>);

impl Segments {
    /// Returns the segments in order.
    pub fn iter(&self) -> impl Iterator<Item = &Bytes> {
        self.0.iter()
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.0.iter().map(Bytes::len).sum()
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl IntoIterator for Segments {
    type Item = Bytes;
    type IntoIter = std::collections::vec_deque::IntoIter<Bytes>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl From<Segments> for Bytes {
    fn from(segments: Segments) -> Self {
        // Most bodies have a single segment, which needs no copy.
        match segments.0.len() {
            0 | 1 => segments.into_iter().next().unwrap_or_default(),
            _ => segments.iter().flatten().copied().collect(),
        }
    }
}

impl From<Bytes> for Segments {
    fn from(bytes: Bytes) -> Self {
        Segments(Some(bytes).into_iter().filter(|bytes| !bytes.is_empty()).collect())
    }
}

impl Body for Segments {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.0.pop_front().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len() as u64)
    }
}

/// Copies a body into segments as it arrives.
#[derive(Debug)]
pub struct Writer {
    /// Bytes that are still to come, if the body states its length.
    expected: Option<usize>,
    complete: Segments,
    last: BytesMut,
    /// Bytes that fit into the last segment.
    room: usize,
    /// Size of the next segment.
    next: usize,
}

impl Writer {
    /// Returns a writer of a body, which may have stated its length.
    pub fn new(expected: Option<usize>) -> Self {
        Writer {
            expected,
            complete: Segments::default(),
            last: BytesMut::new(),
            room: 0,
            next: MIN_SEGMENT_BYTES,
        }
    }

    /// Adds a part. Before a segment is allocated `accepts` is asked with its size, and if it declines
    /// the rest of the part is not added; returns whether all of it was.
    pub async fn push(&mut self, mut part: &[u8], accepts: impl AsyncFn(usize) -> bool) -> bool {
        while !part.is_empty() {
            if self.room == 0 {
                let size = self.next.min(self.expected.unwrap_or(self.next).max(1));
                if !accepts(size).await {
                    return false;
                }
                self.end_segment();
                self.last = BytesMut::with_capacity(size);
                self.room = size;
                self.next = (2 * self.next).min(MAX_SEGMENT_BYTES);
            }
            let (added, rest) = part.split_at(part.len().min(self.room));
            self.last.extend_from_slice(added);
            self.room -= added.len();
            self.expected = self.expected.map(|left| left.saturating_sub(added.len()));
            part = rest;
        }
        true
    }

    fn end_segment(&mut self) {
        if !self.last.is_empty() {
            self.complete.0.push_back(std::mem::take(&mut self.last).freeze());
        }
    }

    /// Returns what was added.
    pub fn finish(mut self) -> Segments {
        self.end_segment();
        self.complete
    }
}
