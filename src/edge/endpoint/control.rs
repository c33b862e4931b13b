//! The control interface to endpoints: status reports and orders.

use std::future::Future;
use std::time::Duration;

use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use serde_json::Value;
use smol::future::FutureExt;
use smol::net::TcpStream;

use crate::edge::endpoint::ATTEMPT;
use crate::edge::endpoint::Error;
use crate::edge::endpoint::Order;
use crate::edge::endpoint::Report;
use crate::edge::endpoint::exchange;
use crate::edge::http;
use crate::table::EndpointId;

/// Maximum size of a report, in bytes: 1,000 residents of about 200 bytes each.
pub(super) const MAX_REPORT_BYTES: usize = 256 << 10;

/// Maximum size of a response to an order, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Timeout of a connection attempt, a report and an order, each. `MAX_ORDER_DELAY` of the ledger
/// depends on it: the connection is closed after this time, and an order still in transit on it is
/// lost.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// The placer's access to endpoints.
pub trait Control: Clone + Send + Sync + 'static {
    /// Connection to one incarnation of an endpoint.
    type Session: Session;

    /// Connects and reads the endpoint's report over the new connection.
    fn bind(
        &self,
        address: EndpointId,
    ) -> impl Future<Output = Result<(Report, Self::Session), Error>> + Send;
}

/// A connection to the incarnation of an endpoint whose report was read over it.
///
/// A restarted process closes its connections. An order whose sender was suspended for hours
/// before the send therefore cannot reach a later incarnation, which does not remember the order's
/// number and whose memory may be reserved for something else.
pub trait Session: Send {
    /// Sends an order. Only an error with outcome `NotRun` guarantees that it was not applied.
    fn order(&mut self, order: &Order) -> impl Future<Output = Result<(), Error>> + Send;
}

/// The HTTP implementation of `Control`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Client;

/// The HTTP implementation of `Session`.
#[derive(Debug)]
pub struct Connection {
    address: EndpointId,
    stream: TcpStream,
}

impl Control for Client {
    type Session = Connection;

    async fn bind(&self, address: EndpointId) -> Result<(Report, Connection), Error> {
        let connecting = async { TcpStream::connect(address).await.map_err(|_| Error::Connect) };
        let stream = connecting.or(expire(Error::Connect)).await?;
        let _ = stream.set_nodelay(true);
        let connection = Connection { address, stream };
        let req = http::request(Method::Get, address, "/report").map_err(protocol_error)?;
        let (status, buf) = connection.exchange(req, "report", MAX_REPORT_BYTES).await?;
        if !status.is_success() {
            return Err(Error::Refused(status.into(), None));
        }
        let buf = buf?;
        let report =
            serde_json::from_slice(&buf).map_err(|err| Error::Protocol(err.to_string()))?;
        Ok((report, connection))
    }
}

impl Session for Connection {
    async fn order(&mut self, order: &Order) -> Result<(), Error> {
        let text = serde_json::to_string(order).map_err(|err| Error::Protocol(err.to_string()))?;
        let mut req =
            http::request(Method::Post, self.address, "/orders").map_err(protocol_error)?;
        req.set_body(Body::from_string(text));
        req.insert_header("content-type", "application/json");
        let (status, buf) = self.exchange(req, "order", MAX_RESPONSE_BYTES).await?;
        match status {
            status if status.is_success() => Ok(()),
            StatusCode::Conflict
                if error_code(&buf?).is_none_or(|error_code| error_code.contains("fence")) =>
            {
                Err(Error::Fenced)
            }
            status if status.is_client_error() => Err(Error::Refused(status.into(), None)),
            _ => Err(Error::Broken),
        }
    }
}

impl Connection {
    /// Sends a request over this connection, and returns the status and the body of the response, or
    /// why the body is not complete.
    async fn exchange(
        &self,
        mut req: Request,
        kind: &str,
        max: usize,
    ) -> Result<(StatusCode, Result<Vec<u8>, Error>), Error> {
        let transfer = async {
            let name = exchange::name(kind);
            req.insert_header(ATTEMPT, name.as_str());
            let answer = http::exchange(&self.stream, req).await.map_err(|_| Error::Broken)?;
            let answer = exchange::own(answer, &name).await?;
            let status = answer.head.status();
            Ok((status, answer.bytes(max).await.map_err(|_| Error::Broken)))
        };
        let answer = transfer.or(expire(Error::Timeout)).await;
        if !matches!(answer, Ok((_, Ok(_)))) {
            // Bytes still in the connection must not arrive after this sender has given up.
            let _ = self.stream.shutdown(std::net::Shutdown::Both);
        }
        answer
    }
}

async fn expire<T>(err: Error) -> Result<T, Error> {
    smol::Timer::after(TIMEOUT).await;
    Err(err)
}

/// Returns the code in an error body.
fn error_code(buf: &[u8]) -> Option<String> {
    let body: Value = serde_json::from_slice(buf).ok()?;
    body.get("error")?.get("code")?.as_str().map(str::to_string)
}

fn protocol_error(err: http::Error) -> Error {
    Error::Protocol(err.to_string())
}
