//! The HTTP server: connection limits, draining and monitoring of the caller's connection.

use std::future::Future;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_h1::server::ConnectionStatus;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use rustix::net::sockopt;
use smol::future::FutureExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;

use crate::decide::connection::RECEIVE_BUFFER_BYTES;
use crate::edge::http::Unread;
use crate::edge::http::connection::Connection;
use crate::edge::http::connection::Connections;
use crate::edge::http::connection::Socket;
use crate::edge::http::refusal;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of open connections. To accept a further one, the connection is closed that has
    /// waited longest for its client; while all are answering, the further one receives a 503.
    pub connections: usize,
    /// Maximum size of all request bodies that are held, in bytes. A request that is alone may hold more.
    pub bodies: usize,
    /// Time without a complete request head after which a connection is closed.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { connections: 4096, bodies: 64 << 20, idle: Duration::from_secs(60) }
    }
}

/// The caller's connection, which a handler may monitor.
#[derive(Debug, Clone)]
pub struct Link {
    /// Address of the caller.
    pub addr: SocketAddr,
    stream: TcpStream,
}

impl Link {
    /// Completes when the caller closed the connection; never completes once it sent more bytes.
    ///
    /// A write detects the closure too late: not before the first byte of a response. A peek
    /// detects it immediately and consumes no bytes that the parser needs.
    pub async fn closed(&self) {
        let mut buf = [0_u8; 1];
        match self.stream.peek(&mut buf).await {
            Ok(0) | Err(_) => {}
            Ok(_) => smol::future::pending().await,
        }
    }

    /// Closes the connection immediately, also within a response: the caller sees a body without
    /// its end.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// A handle that stops a server from accepting connections and counts requests in progress.
#[derive(Debug, Clone)]
pub struct Drain {
    draining: Arc<AtomicBool>,
    in_progress: Arc<AtomicUsize>,
    close_receiver: smol::channel::Receiver<()>,
    close_sender: smol::channel::Sender<()>,
}

impl Default for Drain {
    fn default() -> Self {
        let (close_sender, close_receiver) = smol::channel::bounded(1);
        Drain {
            draining: Arc::default(),
            in_progress: Arc::default(),
            close_receiver,
            close_sender,
        }
    }
}

impl Drain {
    /// Starts draining: each connection is closed after its current response.
    pub fn start(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Starts draining, and closes the listener and idle connections.
    pub fn close(&self) {
        self.start();
        self.close_sender.close();
    }

    /// Whether draining was started.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns the number of requests in progress, streams included.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    async fn closed(&self) {
        let _ = self.close_receiver.recv().await;
    }
}

/// Listens on `addr`; port 0 selects a free port.
pub async fn listen(addr: SocketAddr) -> Result<TcpListener, crate::error::Error> {
    TcpListener::bind(addr).await.map_err(|err| crate::error::Error::Listen(addr, err))
}

/// Serves connections until `drain` closes the listener.
pub async fn serve<H, F>(listener: TcpListener, limits: Limits, drain: Drain, handler: H)
where
    H: Fn(Request, Link) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    // Connections have the listener's receive buffer from their first byte. If this fails, the kernel
    // may hold more for each of them.
    if let Err(err) = sockopt::set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER_BYTES) {
        tracing::warn!(%err, "the receive buffer is not limited");
    }
    let connections = Connections::new(limits.connections, limits.bodies);
    loop {
        let accepted = async { Some(listener.accept().await) };
        let closed = async {
            drain.closed().await;
            None
        };
        let (stream, addr) = match accepted.or(closed).await {
            None => return,
            Some(Ok(pair)) => pair,
            Some(Err(_)) => {
                // Accepting fails if file descriptors run out: an immediate retry would spin.
                smol::Timer::after(Duration::from_millis(10)).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let link = Link { addr, stream };
        if !connections.make_room().await {
            let refused = refuse(link, StatusCode::ServiceUnavailable, "connections_full");
            smol::spawn(refused).detach();
            continue;
        }
        let connection = connections.open();
        let (drain, handler) = (drain.clone(), handler.clone());
        smol::spawn(serve_connection(link, connection, limits, drain, handler)).detach();
    }
}

/// Serves the requests of one connection in sequence.
async fn serve_connection<H, F>(
    link: Link,
    connection: Arc<Connection>,
    limits: Limits,
    drain: Drain,
    handler: H,
) where
    H: Fn(Request, Link) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let busy = AtomicBool::new(false);
    let handle = |mut req: Request| {
        busy.store(true, Ordering::Relaxed);
        connection.on_request();
        let unread = Unread::mark(&mut req, &connection);
        drain.in_progress.fetch_add(1, Ordering::Relaxed);
        let (drain, link, handler) = (drain.clone(), link.clone(), handler.clone());
        let connection = connection.clone();
        async move {
            // Boxed so that the handler's state is freed before a stream is sent. Stored inline, it
            // would occupy memory for as long as the connection lives.
            let mut res = Box::pin(handler(req, link)).await;
            if drain.is_draining() || unread.is_set() {
                res.insert_header("connection", "close");
            }
            if unread.is_set() {
                // The rest of the body is discarded, which may take any time.
                connection.set_answering(false);
            }
            Ok(res)
        }
    };
    let socket = Socket { stream: link.stream.clone(), connection: connection.clone() };
    let mut server = async_h1::server::Server::new(socket, handle);
    loop {
        let drained = async {
            drain.closed().await;
            // Draining never interrupts a request in progress.
            if busy.load(Ordering::Relaxed) {
                smol::future::pending::<()>().await;
            }
            Ok(ConnectionStatus::Close)
        };
        let idle = async {
            loop {
                smol::Timer::after(limits.idle).await;
                if !busy.load(Ordering::Relaxed) {
                    return Ok(ConnectionStatus::Close);
                }
            }
        };
        let closed = async {
            connection.closed().await;
            Ok(ConnectionStatus::Close)
        };
        let res = server.accept_one().or(drained).or(idle).or(closed).await;
        let answered = busy.swap(false, Ordering::Relaxed);
        connection.on_answered();
        if answered {
            drain.in_progress.fetch_sub(1, Ordering::Relaxed);
        }
        match res {
            Ok(ConnectionStatus::KeepAlive) => {}
            Ok(ConnectionStatus::Close) => return,
            Err(_) if answered => return,
            Err(_) => {
                refuse(link.clone(), StatusCode::BadRequest, "malformed_request").await;
                return;
            }
        }
    }
}

/// Sends an error response to a connection without calling a handler.
async fn refuse(link: Link, status: StatusCode, code: &str) {
    let mut res = refusal(status, code, "the request was not read");
    res.insert_header("connection", "close");
    if status == StatusCode::ServiceUnavailable {
        res.insert_header("retry-after", "1");
    }
    let mut encoder = async_h1::server::Encoder::new(res, Method::Get);
    let mut stream = link.stream;
    let _ = smol::io::copy(&mut encoder, &mut stream).await;
    let _ = stream.flush().await;
}
