//! Responses that count as held until they have been sent.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use http_types::Body;
use http_types::Response;
use smol::channel::Sender;
use smol::future::FutureExt;
use smol::io::AsyncBufRead;
use smol::io::AsyncRead;

use crate::edge::http::intake::Held;
use crate::edge::http::server::Link;

struct HeldBody {
    body: Body,
    /// Closed as the body is dropped, which is then sent or given up.
    _sending: Sender<()>,
}

/// Lets a response count as held until it has been sent. If another one needs its memory before that,
/// its connection is closed: a caller that does not read would keep it for ever.
pub fn hold_until_sent(res: &mut Response, held: Held, link: Link) {
    let (sending, sent) = smol::channel::bounded(1);
    let len = res.len();
    let body = res.take_body();
    res.set_body(Body::from_reader(HeldBody { body, _sending: sending }, len));
    smol::spawn(async move {
        let refused = async {
            held.refused().await;
            link.close();
        };
        let sent = async {
            let _ = sent.recv().await;
        };
        sent.or(refused).await;
    })
    .detach();
}

impl AsyncRead for HeldBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.body).poll_read(cx, buf)
    }
}

impl AsyncBufRead for HeldBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Pin::new(&mut self.get_mut().body).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, amt: usize) {
        Pin::new(&mut self.body).consume(amt);
    }
}
