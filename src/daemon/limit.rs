//! Follows the limits that endpoints state in their responses.

use std::rc::Rc;

use http::HeaderMap;

use crate::daemon::Daemon;
use crate::daemon::journal::Event;
use crate::table::instance::Key;

/// What an endpoint's response answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// A caller's request.
    Request,
    /// The daemon's request for a report.
    Report,
    /// An order.
    Order,
}

/// Records the limit that an endpoint states, or no longer states, in a response.
pub fn observe(daemon: &Rc<Daemon>, key: &Key, headers: &HeaderMap, source: Source) {
    let limit = match daemon.dialect.parse_limit(headers) {
        Ok(limit) => limit,
        Err(err) => {
            daemon.note(&Event::Skipped {
                what: "limit",
                name: key.id.clone(),
                problem: err.to_string(),
                revision: 0,
            });
            return;
        }
    };
    let changed = daemon.fleet.borrow_mut().set_limit(key, limit);
    if changed {
        daemon.note(&Event::Limit {
            endpoint: key.id.clone(),
            rate: limit.map(Into::into),
            source: source.into(),
        });
    }
}
