//! Connections of callers, with a count of those whose answers can't be written at the moment.
//!
//! The HTTP server takes parts of an answer that the kernel has no room for yet. They end with the
//! process unless it waits for them.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpStream;

/// Number of connections with data that the kernel has no room for.
pub type Blocked = Rc<Cell<usize>>;

/// A connection that is counted while it can't be written to.
pub struct Output {
    stream: TcpStream,
    blocked: Blocked,
    is_blocked: bool,
}

impl Output {
    /// Returns a connection that is counted in `blocked`.
    pub fn new(stream: TcpStream, blocked: Blocked) -> Self {
        Output { stream, blocked, is_blocked: false }
    }

    fn set_blocked(&mut self, is_blocked: bool) {
        let was_blocked = std::mem::replace(&mut self.is_blocked, is_blocked);
        let others = self.blocked.get() - usize::from(was_blocked);
        self.blocked.set(others + usize::from(is_blocked));
    }
}

impl Drop for Output {
    fn drop(&mut self) {
        self.set_blocked(false);
    }
}

impl AsyncRead for Output {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Output {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        // After a part was written, the rest is written at once or blocks in turn.
        self.set_blocked(result.is_pending());
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
