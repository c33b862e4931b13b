//! Idle connections that show whether their endpoints still run.
//!
//! An endpoint that crashes may listen again before a new connection to it is tried. A connection
//! from before the crash has ended by then, and one that is still open shows that it did not crash.
//! Requests are never sent on these connections: their endpoints would close them after answers.
//! None is relied on for longer than its endpoint keeps idle connections, and one on which bytes
//! arrive shows nothing: they hide its end.
//!
//! Load pattern: endpoints crash and start again within milliseconds while they answer without a
//! length, and a daemon restarts together with many others. Each daemon opens one such connection
//! to an endpoint of a plain service as it sends the first request there, and others only if the
//! endpoint has ended an answer by closing its connection.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::link;
use crate::daemon::link::Link;
use crate::daemon::link::Pool;
use crate::table::instance::Key;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// A connection that no request is sent on.
#[derive(Clone)]
pub struct Connection {
    link: Rc<Link>,
    opened_at: Duration,
    /// When its endpoint may close it, as it has been idle.
    expires_at: Duration,
}

impl Connection {
    /// Returns whether bytes have arrived that belong to no response.
    fn has_received(&self) -> bool {
        !self.link.is_ready() && self.link.is_open()
    }

    fn is_valid(&self, now: Duration) -> bool {
        now < self.expires_at && self.link.is_ready() && self.link.is_open()
    }

    /// Returns whether the endpoint has crashed since the connection was opened; `None` if it may
    /// have been closed because it was idle, or bytes have arrived on it.
    pub fn shows_crash(&self, now: Duration) -> Option<bool> {
        (now < self.expires_at && !self.has_received()).then(|| !self.link.is_open())
    }
}

/// What is kept for an endpoint.
enum Row {
    /// A connection is being opened.
    Opening,
    /// A connection, which may have been closed by its endpoint.
    Opened(Connection),
    /// A connection on which bytes arrived was closed.
    Spent,
}

/// The connections of a daemon.
#[derive(Default)]
pub struct Connections {
    /// By endpoint.
    rows: HashMap<Key, Row>,
    /// Endpoints that have ended an answer by closing its connection, by id, and for how long they
    /// keep idle connections.
    close_delimiting: HashMap<String, Duration>,
}

impl Connections {
    /// Drops the connections to endpoints that are gone, and those on which bytes have arrived.
    pub fn retain(&mut self, is_known: impl Fn(&Key) -> bool) {
        self.rows.retain(|key, _| is_known(key));
        for row in self.rows.values_mut() {
            if matches!(row, Row::Opened(connection) if connection.has_received()) {
                *row = Row::Spent;
            }
        }
    }

    fn get(&self, key: &Key) -> Option<&Connection> {
        match self.rows.get(key) {
            Some(Row::Opened(connection)) => Some(connection),
            Some(Row::Opening | Row::Spent) | None => None,
        }
    }

    /// Records that an endpoint ends an answer by closing its connection.
    pub fn on_close_delimited(&mut self, key: &Key, idle_timeout: Option<Duration>) {
        self.close_delimiting.insert(key.id.clone(), Pool::usable_for(idle_timeout));
    }

    fn is_due(&self, now: Duration, key: &Key) -> bool {
        match self.rows.get(key) {
            None => true,
            Some(Row::Opening) => false,
            Some(Row::Opened(row)) if row.is_valid(now) => false,
            Some(Row::Opened(_) | Row::Spent) => self.close_delimiting.contains_key(&key.id),
        }
    }
}

/// Opens a connection to an endpoint, unless there is one or none is needed.
fn prepare(daemon: &Rc<Daemon>, now: Duration, key: &Key) {
    let addr = daemon.fleet.borrow().get(key).map(|row| row.instance.address);
    let Some(addr) = addr.filter(|_| daemon.liveness.borrow().is_due(now, key)) else {
        return;
    };
    daemon.liveness.borrow_mut().rows.insert(key.clone(), Row::Opening);
    let (shared, key) = (daemon.clone(), key.clone());
    let open = async move {
        let link = link::dial(&shared.ex, addr, CONNECT_TIMEOUT).await;
        let opened_at = clock::now();
        let Ok(mut link) = link else {
            // The next request tries again.
            shared.liveness.borrow_mut().rows.remove(&key);
            return;
        };
        // From then on, a connection that is not ready has ended or received bytes.
        link.wait_until_ready().await;
        let mut connections = shared.liveness.borrow_mut();
        shared.gauges.record_connection();
        let usable_for = connections.close_delimiting.get(&key.id).copied();
        let expires_at = opened_at + usable_for.unwrap_or(Pool::usable_for(None));
        let connection = Connection { link: Rc::new(link), opened_at, expires_at };
        connections.rows.insert(key, Row::Opened(connection));
    };
    daemon.ex.spawn(open).detach();
}

/// Returns a connection to an endpoint that is open before a request is sent there. Without one,
/// one is opened that may be established before the answer ends.
pub fn before_request(daemon: &Rc<Daemon>, key: &Key) -> Option<Connection> {
    let now = clock::now();
    let row = daemon.liveness.borrow().get(key).cloned();
    let row = row.filter(|row| row.is_valid(now));
    if row.is_none() {
        prepare(daemon, now, key);
    }
    row
}

/// Returns whether a connection shows that an endpoint has ended since it was opened.
pub fn shows_end(daemon: &Daemon, key: &Key) -> bool {
    let connections = daemon.liveness.borrow();
    connections.get(key).and_then(|row| row.shows_crash(clock::now())) == Some(true)
}

/// Returns the connection to an endpoint that was established since a request was sent there.
pub fn since(daemon: &Daemon, key: &Key, sent_at: Duration) -> Option<Connection> {
    let row = daemon.liveness.borrow().get(key).cloned();
    row.filter(|row| row.opened_at >= sent_at)
}
