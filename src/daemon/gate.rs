//! Decides whether a call may be sent to an endpoint: a caller's request, a report or an order.
//!
//! Endpoints state in their responses that they are leaving, that they want no calls for some time
//! or that they take a limited number. Every call passes here, first when its endpoint has been
//! chosen and again when its connection is open, as the endpoint may have stated so meanwhile.

use std::rc::Rc;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::limit;
use crate::table::instance::Key;
use crate::table::instance::State;

/// A call to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// A caller's request.
    Request,
    /// A request for a report.
    Report,
    /// An order.
    Order,
}

/// Why a call is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Closed {
    /// The endpoint is leaving. It still gives reports.
    Leaving,
    /// The endpoint has rejected a call and wants no others for some time.
    Backoff,
    /// The limit that the endpoint states is reached.
    Limited,
}

/// Returns whether a call may be sent now, apart from the permit that a limited endpoint requires.
pub fn check(daemon: &Daemon, key: &Key, call: Call) -> Result<(), Closed> {
    let now = clock::now();
    let fleet = daemon.fleet.borrow();
    let Some(row) = fleet.get(key) else {
        return Ok(());
    };
    if row.instance.state == State::Leaving && call != Call::Report {
        return Err(Closed::Leaving);
    }
    if !row.remaining_backoff(now).is_zero() {
        return Err(Closed::Backoff);
    }
    // Reports and orders are not worth a request to the counter that it will probably refuse.
    if call != Call::Request && !row.remaining_pause(now).is_zero() {
        return Err(Closed::Limited);
    }
    Ok(())
}

/// Obtains permission for a call.
pub async fn acquire(daemon: &Rc<Daemon>, key: &Key, call: Call) -> Result<(), Closed> {
    check(daemon, key, call)?;
    if !limit::acquire(daemon, key).await {
        return Err(Closed::Limited);
    }
    check(daemon, key, call)
}
