//! Fetches the configuration from the platform and from peers, as `decide::adopt` requests it.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use crate::config::snapshot;
use crate::config::snapshot::Revision;
use crate::decide::adopt::Action;
use crate::decide::adopt::Call;
use crate::decide::adopt::Event;
use crate::decide::adopt::FETCH_TIMEOUT;
use crate::decide::adopt::Peer;
use crate::decide::adopt::WATCH_TIMEOUT;
use crate::edge::peer;
use crate::edge::platform;
use crate::edge::platform::Platform;
use crate::edge::platform::Version;
use crate::entry::Entry;
use crate::entry::gossip;
use crate::entry::rpc::Release;
use crate::table::EntryId;

/// Interval between two ticks: short compared with the seconds within which a published change has
/// to be in force.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the periodic work of adoption until the process exits.
pub async fn run_ticks(entry: Arc<Entry>) {
    loop {
        update_members(&entry);
        let now = entry.now();
        let actions = entry.with_adopter(|adopter, rng| adopter.tick(now, rng));
        perform(&entry, actions);
        smol::Timer::after(TICK_INTERVAL).await;
    }
}

/// Passes an event to the adopter and performs the actions that it returns.
pub fn on_event(entry: &Arc<Entry>, event: Event) {
    let now = entry.now();
    let actions = entry.with_adopter(|adopter, rng| adopter.handle(now, event, rng));
    perform(entry, actions);
}

fn update_members(entry: &Entry) {
    let now = entry.now();
    let (live, known) =
        entry.with_members(|members, _| (members.responsive_rows(now), members.known()));
    let live = live.into_iter().map(|row| Peer { id: row.peer, region: row.region });
    let live = live.collect::<Vec<_>>();
    entry.with_adopter(|adopter, _| adopter.set_members(live, known));
}

fn perform(entry: &Arc<Entry>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Adopt(held) => entry.put_in_force(*held),
            Action::Call(call) => {
                let entry = entry.clone();
                smol::spawn(async move {
                    let outcome = run(&entry, call).await;
                    on_event(&entry, outcome);
                })
                .detach();
            }
            Action::Announce(peer) => smol::spawn(gossip::exchange(entry.clone(), peer)).detach(),
            Action::Fault(fault) => tracing::warn!("{fault}"),
        }
    }
}

async fn run(entry: &Entry, call: Call) -> Event {
    let result = match call {
        Call::Read => read(&entry.platform).await,
        Call::Verify(version) => watch(&entry.platform, version, Duration::ZERO).await,
        Call::Watch(version) => watch(&entry.platform, version, WATCH_TIMEOUT).await,
        Call::Fetch(peer) => fetch(entry, peer).await,
    };
    result.unwrap_or(Event::Failed(call))
}

async fn read<P: Platform>(platform: &P) -> Option<Event> {
    match platform.get(snapshot::KIND, snapshot::NAME).await.ok()? {
        Some(object) => Some(Event::Read(Some(parse(object.value, object.version)?))),
        None => Some(Event::Read(None)),
    }
}

async fn watch<P: Platform>(platform: &P, version: Version, timeout: Duration) -> Option<Event> {
    match platform.watch(snapshot::KIND, version, timeout).await {
        Err(platform::Error::Compacted) => Some(Event::Compacted),
        Err(_) => None,
        Ok(changes) => {
            let latest = changes.into_iter().rev().find(|change| change.name == snapshot::NAME);
            let Some(change) = latest else {
                return Some(Event::Polled(None));
            };
            match change.value {
                Some(value) => Some(Event::Polled(Some(parse(value, change.version)?))),
                // The object was deleted. `Compacted` makes the adopter read it again, and that
                // read finds no object.
                None => Some(Event::Compacted),
            }
        }
    }
}

async fn fetch(entry: &Entry, peer: EntryId) -> Option<Event> {
    let params = Release { release: peer::RELEASE };
    let held =
        entry.peers.call::<Revision>(peer, "config.get", &params, FETCH_TIMEOUT).await.ok()?;
    Some(Event::Fetched(peer, held))
}

/// Parses a configuration. One that this release cannot parse counts as a failed call, so that the
/// configuration in force stays.
fn parse(value: Value, version: Version) -> Option<Revision> {
    match serde_json::from_value(value) {
        Ok(snapshot) => Some(Revision { snapshot, object_version: version }),
        Err(error) => {
            tracing::error!(%error, "cannot parse the configuration; the one in force stays");
            None
        }
    }
}
