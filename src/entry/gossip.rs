//! Updates this entry's view of other instances: by gossip rounds, and by the platform's instance
//! list, which lags behind.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::config::snapshot::Identity;
use crate::decide;
use crate::decide::flow::Event;
use crate::decide::load;
use crate::decide::member;
use crate::decide::member::Row;
use crate::edge::peer;
use crate::edge::platform::Instance;
use crate::edge::platform::Platform;
use crate::edge::platform::Role;
use crate::entry::Entry;
use crate::entry::adopt;
use crate::entry::report;
use crate::entry::rpc::Release;
use crate::table::EntryId;

/// Timeout of a call to a peer: less than two rounds, so that a dead peer delays no updates.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval between two reads of the platform's instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// RPC method that returns the endpoints that a peer knows.
pub const INSTANCES: &str = "instances.get";

/// RPC method that returns the rows of all entries with a recent heartbeat.
pub const MEMBERS: &str = "members.get";

/// The updates that two entries exchange in a gossip round.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Updates {
    /// The release of this message.
    pub release: u32,
    /// Updates of the member table.
    pub members: member::Message,
    /// Packed rows of the load table.
    pub loads: String,
    /// The mark of the sender's configuration in force.
    pub mark: Identity,
}

/// Returns the updates that this entry has to send now.
pub fn updates(entry: &Entry) -> Updates {
    let now = entry.now();
    let members = entry.with_members(|members, _| members.message(now));
    let loads = load::pack(&entry.with_loads(|loads| loads.updates(now)));
    Updates {
        release: peer::RELEASE,
        members,
        loads,
        mark: entry.with_adopter(|adopter, _| adopter.mark()),
    }
}

/// Merges the updates of a peer. Rows and reports that the message only refers to are fetched from
/// its sender.
pub fn merge(entry: &Arc<Entry>, received: Updates) {
    let now = entry.now();
    let from = received.members.rows.first().map(|row| row.peer);
    let is_incomplete = entry.with_members(|members, _| members.merge(now, received.members));
    let changes = entry.with_loads(|loads| loads.merge(now, load::unpack(&received.loads)));
    for (endpoint, report) in changes.updated {
        entry.on_event(Event::Reported(endpoint, report));
    }
    let Some(from) = from.filter(|from| *from != entry.settings.peer) else {
        return;
    };
    if is_incomplete {
        smol::spawn(fetch_rows(entry.clone(), from)).detach();
    }
    for endpoint in changes.to_fetch {
        smol::spawn(report::fetch_from_peer(entry.clone(), from, endpoint)).detach();
    }
    adopt::on_event(entry, decide::adopt::Event::Announced(from, received.mark));
}

/// Fetches the member rows of a peer.
async fn fetch_rows(entry: Arc<Entry>, peer: EntryId) {
    let params = Release { release: peer::RELEASE };
    if let Ok(rows) = entry.peers.call::<Vec<Row>>(peer, MEMBERS, &params, CALL_TIMEOUT).await {
        let now = entry.now();
        entry.with_members(|members, _| members.merge_rows(now, rows));
    }
}

/// Runs gossip rounds until the process exits.
pub async fn run_rounds(entry: Arc<Entry>) {
    loop {
        start_round(&entry);
        let pace = entry.with_members(|members, _| members.pace());
        smol::Timer::after(pace.interval).await;
    }
}

/// Starts one gossip round without waiting for its answers.
pub fn start_round(entry: &Arc<Entry>) {
    let now = entry.now();
    let targets = entry.with_members(|members, rng| members.start_round(now, rng));
    entry.claims.set_peers(entry.with_members(|members, _| members.live(now)));
    for peer in targets {
        smol::spawn(exchange(entry.clone(), peer)).detach();
    }
}

/// Exchanges updates with every live peer at once, for example when this entry is leaving.
pub async fn exchange_all(entry: &Arc<Entry>) {
    let now = entry.now();
    let peers = entry.with_members(|members, _| members.peers(now));
    let calls = peers.into_iter().map(|peer| smol::spawn(exchange(entry.clone(), peer)));
    for call in calls.collect::<Vec<_>>() {
        call.await;
    }
}

/// Exchanges updates with one peer.
pub async fn exchange(entry: Arc<Entry>, peer: EntryId) {
    let sent = updates(&entry);
    if let Ok(received) = entry.peers.call::<Updates>(peer, "peer.news", &sent, CALL_TIMEOUT).await
    {
        merge(&entry, received);
    }
}

/// Returns a peer's list of endpoints if this entry has none. Otherwise an entry that starts while
/// the platform is down could serve no request until the platform is back.
async fn fetch_instances(entry: &Entry) -> Option<Vec<Instance>> {
    if entry.with_loads(|loads| !loads.instances().is_empty()) {
        return None;
    }
    let now = entry.now();
    let params = Release { release: peer::RELEASE };
    for peer in entry.with_members(|members, _| members.peers(now)) {
        let call = entry.peers.call::<Vec<Instance>>(peer, INSTANCES, &params, CALL_TIMEOUT);
        if let Ok(list) = call.await
            && !list.is_empty()
        {
            return Some(list);
        }
    }
    None
}

/// Reads the instance list until the process exits. If no list can be read, requests continue with
/// the instances already known.
pub async fn poll_instances<P: Platform>(entry: Arc<Entry>, platform: P) {
    loop {
        let list = match platform.instances().await {
            Ok(list) => Some(list),
            Err(_) => fetch_instances(&entry).await,
        };
        if let Some(list) = list {
            let entries = list.iter().filter(|instance| instance.role == Role::Entry);
            let seeds = entries.filter_map(|instance| instance.peer).collect::<Vec<_>>();
            if !seeds.is_empty() {
                entry.with_members(|members, _| members.set_listed(seeds));
            }
            let now = entry.now();
            let others = list.iter().filter(|instance| instance.role != Role::Entry);
            let others = others.cloned().collect::<Vec<_>>();
            entry.with_loads(|loads| loads.set_instances(now, &others));
            entry.on_event(Event::Listed(list));
        }
        smol::Timer::after(LIST_INTERVAL).await;
    }
}
