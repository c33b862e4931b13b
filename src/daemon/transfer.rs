//! Logs the transfers of objects from the store and from other daemons, and counts those in
//! progress.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::journal::Event;
use crate::daemon::link::Link;
use crate::daemon::link::Progress;
use crate::edge::dialect::Kind;

/// Size from which a complete transfer is logged; incomplete ones always are.
const MIN_LOGGED_BYTES: usize = 64 << 10;

/// The calls for objects that are in progress.
#[derive(Debug, Default)]
pub struct Transfers {
    active: RefCell<Vec<(Kind, Rc<Progress>)>>,
}

impl Transfers {
    /// Returns the number of responses with objects of a kind that are being received.
    pub fn receiving(&self, kind: Kind) -> usize {
        let active = self.active.borrow();
        active.iter().filter(|(other, row)| *other == kind && row.head_at().is_some()).count()
    }
}

/// A call for objects; logs the transfer of the response when dropped.
pub struct Transfer<'a> {
    daemon: &'a Daemon,
    from: String,
    kind: Kind,
    progress: Rc<Progress>,
    started_at: Duration,
    complete: bool,
}

impl<'a> Transfer<'a> {
    /// Registers a call that is about to be sent on a connection.
    pub fn start(daemon: &'a Daemon, from: String, kind: Kind, link: &Link) -> Self {
        let progress = link.progress();
        progress.reset();
        daemon.transfers.active.borrow_mut().push((kind, progress.clone()));
        Transfer { daemon, from, kind, progress, started_at: clock::now(), complete: false }
    }

    /// Records that the response is complete.
    pub fn complete(&mut self) {
        self.complete = true;
    }
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        let transfers = &self.daemon.transfers;
        transfers.active.borrow_mut().retain(|(_, row)| !Rc::ptr_eq(row, &self.progress));
        let Some(head_at) = self.progress.head_at() else {
            return;
        };
        let bytes = self.progress.received();
        if self.complete && bytes < MIN_LOGGED_BYTES {
            return;
        }
        self.daemon.note(&Event::Transfer {
            from: std::mem::take(&mut self.from),
            kind: self.kind.into(),
            bytes,
            waited: head_at.saturating_sub(self.started_at).as_millis() as u64,
            took: clock::now().saturating_sub(head_at).as_millis() as u64,
            others: transfers.receiving(self.kind),
            complete: self.complete,
        });
    }
}
