//! Transfers of objects from the store and from other daemons.
//!
//! Load pattern: a configuration of a megabyte is published, and every daemon receives it, some of
//! them over links that carry little more than a megabyte per second. A transfer that is cut off
//! starts again from its first byte, and one that runs beside another takes twice as long. A limit
//! on the time of a whole transfer would therefore keep such a daemon from ever completing one. So
//! a transfer may go on as long as bytes arrive, and is given up only after a pause. A sender that
//! sends a few bytes at a time would keep it going without a pause, and the daemon from asking
//! another one, so a least rate is asked for, far below that of such a link.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::journal::Event;
use crate::daemon::link;
use crate::daemon::link::Limits;
use crate::daemon::link::Link;
use crate::daemon::link::Progress;
use crate::edge::dialect::Kind;

/// Size from which a complete transfer is logged; incomplete ones always are.
const MIN_LOGGED_BYTES: usize = 64 << 10;

/// Pause within a response after which another sender may be asked as well: longer than a
/// retransmission takes on most links.
const STALL_THRESHOLD: Duration = Duration::from_millis(300);
/// Longest pause within a response: several retransmissions of a lost packet.
const MAX_PAUSE: Duration = Duration::from_millis(1_000);
/// Least rate: so many bytes have to arrive in each such span.
const MIN_RATE_BYTES: usize = 8 << 10;
const MIN_RATE_SPAN: Duration = Duration::from_secs(2);
/// Time limit of a transfer that goes on slowly: another sender may be faster by then.
const MAX_DURATION: Duration = Duration::from_secs(10);
/// Largest body of a response.
pub const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// The calls for objects that are in progress.
#[derive(Debug, Default)]
pub struct Transfers {
    active: RefCell<Vec<(Kind, Rc<Progress>)>>,
}

impl Transfers {
    /// Returns the number of responses with objects of a kind of which bytes are arriving.
    pub fn receiving(&self, now: Duration, kind: Kind) -> usize {
        let arriving = |row: &Progress| {
            row.last_received_at().is_some_and(|received_at| now < received_at + STALL_THRESHOLD)
        };
        let active = self.active.borrow();
        active.iter().filter(|(other, row)| *other == kind && arriving(row)).count()
    }
}

/// Sends a request for objects of a kind, and receives the response. Its head has to arrive within
/// `head_limit`.
pub async fn receive(
    daemon: &Daemon,
    link: &mut Link,
    from: SocketAddr,
    kind: Kind,
    req: Request<Bytes>,
    head_limit: Duration,
) -> Result<Response<Bytes>, link::Error> {
    let limits = Limits {
        head: head_limit,
        pause: MAX_PAUSE,
        span: MIN_RATE_SPAN,
        min_bytes: MIN_RATE_BYTES,
        total: MAX_DURATION,
    };
    let mut transfer = Transfer::start(daemon, from, kind, link);
    let res = link.transfer(req, MAX_RESPONSE_BYTES, limits).await;
    transfer.complete = res.is_ok();
    res
}

/// A call for objects; logs the transfer of the response when dropped.
struct Transfer<'a> {
    daemon: &'a Daemon,
    from: SocketAddr,
    kind: Kind,
    progress: Rc<Progress>,
    started_at: Duration,
    complete: bool,
}

impl<'a> Transfer<'a> {
    /// Registers a call that is about to be sent on a connection.
    fn start(daemon: &'a Daemon, from: SocketAddr, kind: Kind, link: &Link) -> Self {
        let progress = link.progress();
        progress.reset();
        daemon.transfers.active.borrow_mut().push((kind, progress.clone()));
        Transfer { daemon, from, kind, progress, started_at: clock::now(), complete: false }
    }
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        let transfers = &self.daemon.transfers;
        transfers.active.borrow_mut().retain(|(_, row)| !Rc::ptr_eq(row, &self.progress));
        let Some(head_at) = self.progress.head_at() else {
            return;
        };
        let (now, bytes) = (clock::now(), self.progress.received());
        if self.complete && bytes < MIN_LOGGED_BYTES {
            return;
        }
        self.daemon.note(&Event::Transfer {
            from: self.from.to_string(),
            kind: self.kind.into(),
            bytes,
            waited: head_at.saturating_sub(self.started_at).as_millis() as u64,
            took: now.saturating_sub(head_at).as_millis() as u64,
            others: transfers.receiving(now, self.kind),
            complete: self.complete,
        });
    }
}
