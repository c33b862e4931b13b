//! A body that is written while it is sent. Queued parts are combined into one write.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use smol::channel::Receiver;
use smol::channel::Sender;
use smol::channel::TrySendError;
use smol::io::AsyncBufRead;
use smol::io::AsyncRead;
use smol::stream::Stream;

/// A message from the writer to the body.
enum Item {
    Bytes(String),
    End,
}

/// The writing side. If it is dropped without `end`, the body ends with an error that the reader
/// can detect.
pub struct Writer {
    tx: Sender<Item>,
}

/// The result of an attempt to write without waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The bytes were queued and will be sent.
    Queued,
    /// The queue is full, as the reader is slow; nothing was queued.
    Full,
    /// The reader is closed.
    Closed,
}

impl Writer {
    /// Returns whether the reader is closed.
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// Returns whether all queued bytes were passed to the connection of the reader.
    pub fn is_idle(&self) -> bool {
        self.tx.is_empty()
    }

    /// Queues bytes if that is possible without waiting.
    pub fn try_send(&self, text: String) -> Status {
        match self.tx.try_send(Item::Bytes(text)) {
            Ok(()) => Status::Queued,
            Err(TrySendError::Full(_)) => Status::Full,
            Err(TrySendError::Closed(_)) => Status::Closed,
        }
    }

    /// Queues bytes, waiting for room. Returns false if the reader is closed.
    pub async fn send(&self, text: String) -> bool {
        self.tx.send(Item::Bytes(text)).await.is_ok()
    }

    /// Ends the body as complete.
    pub async fn end(self) {
        let _ = self.tx.send(Item::End).await;
    }
}

/// The reading side: the body of a response.
pub struct Body {
    rx: Pin<Box<Receiver<Item>>>,
    buf: Vec<u8>,
    position: usize,
    ended: bool,
}

/// Maximum number of parts queued for a slow reader before the writer has to wait.
const MAX_QUEUED_PARTS: usize = 64;
/// Size in bytes from which no more queued parts are added to one write.
const COALESCE_THRESHOLD_BYTES: usize = 4096;

/// Creates a body and its writer.
pub fn pair() -> (Writer, Body) {
    let (tx, rx) = smol::channel::bounded(MAX_QUEUED_PARTS);
    (Writer { tx }, Body { rx: Box::pin(rx), buf: Vec::new(), position: 0, ended: false })
}

impl Body {
    fn push(&mut self, item: Item) {
        match item {
            Item::Bytes(text) => self.buf.extend_from_slice(text.as_bytes()),
            Item::End => self.ended = true,
        }
    }
}

impl AsyncBufRead for Body {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.position < this.buf.len() {
            return Poll::Ready(Ok(&this.buf[this.position..]));
        }
        this.buf.clear();
        this.position = 0;
        while !this.ended && this.buf.is_empty() {
            match this.rx.as_mut().poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(item)) => this.push(item),
                // The writer was dropped without `end`. The error keeps the server from sending
                // the last chunk, so the caller detects a truncated body.
                Poll::Ready(None) => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
            }
        }
        while !this.ended && this.buf.len() < COALESCE_THRESHOLD_BYTES {
            match this.rx.try_recv() {
                Ok(item) => this.push(item),
                Err(_) => break,
            }
        }
        Poll::Ready(Ok(&this.buf[this.position..]))
    }

    fn consume(self: Pin<&mut Self>, amt: usize) {
        self.get_mut().position += amt;
    }
}

impl AsyncRead for Body {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match self.as_mut().poll_fill_buf(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(err)) => Poll::Ready(Err(err)),
            Poll::Ready(Ok(buf)) => {
                let len = buf.len().min(out.len());
                out[..len].copy_from_slice(&buf[..len]);
                self.consume(len);
                Poll::Ready(Ok(len))
            }
        }
    }
}
