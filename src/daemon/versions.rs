//! Confirms with the store that one version of a service's software serves.
//!
//! The list of endpoints is behind the store, most of all on a daemon that has been suspended or cut
//! off. Load pattern: streams are interrupted in bursts, so all that wait share one read.

use std::rc::Rc;
use std::time::Duration;

use smol::future::FutureExt;
use smol::lock::Mutex;

use crate::daemon::Daemon;
use crate::daemon::clock;
use crate::daemon::link;
use crate::daemon::store;
use crate::daemon::store::Error;
use crate::decide::origin::Origin;
use crate::edge::dialect::Kind;
use crate::table::instance::Instance;

/// Time limit of a read, while callers wait: the store answers in milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// The versions of endpoints whose records have changed since the list of this daemon; none if the
/// store has not told.
type Changed = Option<Rc<[Origin]>>;

/// Reads of the store that several requests share.
#[derive(Default)]
pub struct Reads {
    /// When the last read began, and its result. Locked while a read goes on.
    last: Mutex<Option<(Duration, Changed)>>,
}

/// Returns whether no record has changed since the list of this daemon to name another version of
/// the service.
pub async fn is_sole(daemon: &Daemon, origin: &Origin) -> bool {
    let asked_at = clock::now();
    let mut last = daemon.version_reads.last.lock().await;
    let changed = match &*last {
        Some((began, changed)) if *began >= asked_at => changed.clone(),
        _ => {
            let began = clock::now();
            let timeout = link::fail_after(READ_TIMEOUT, link::Error::Timeout);
            let timeout = async { timeout.await.map_err(Error::Link) };
            let changed = read(daemon).or(timeout).await.ok();
            *last = Some((began, changed.clone()));
            changed
        }
    };
    let is_other =
        |other: &Origin| other.service == origin.service && other.software != origin.software;
    changed.is_some_and(|changed| !changed.iter().any(is_other))
}

async fn read(daemon: &Daemon) -> Result<Rc<[Origin]>, Error> {
    let since = daemon.store.instances_revision();
    let changes = store::changes(daemon, Kind::Instances, since).await?;
    let records = changes.iter().filter(|change| !change.removed);
    // A record that can't be decoded names no endpoint.
    let instances = records.filter_map(|row| daemon.dialect.parse_instance(&row.object).ok());
    let origin = |row: Instance| Origin { service: row.service, software: row.software };
    Ok(instances.map(origin).collect())
}
