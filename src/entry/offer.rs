//! Sends the demand of callers to the placers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::decide::lease;
use crate::decide::lease::Lease;
use crate::decide::offer;
use crate::decide::offer::Count;
use crate::edge::peer;
use crate::edge::platform::Platform;
use crate::entry::Entry;
use crate::placer::rpc::DEMAND_METHOD;
use crate::placer::rpc::Digest;
use crate::table::EntryId;

/// RPC method by which an entry sends its count to the aggregator of its region.
pub const METHOD: &str = "offer.tell";

/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The count of one entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Message {
    /// The release of this message.
    pub release: u32,
    /// The entry that counted.
    pub from: EntryId,
    /// The count of its last window.
    pub count: Count,
}

/// Sends the count of each window until the process exits.
pub async fn run_windows<P: Platform>(entry: Arc<Entry>, platform: P) {
    loop {
        smol::Timer::after(offer::COUNT_WINDOW).await;
        send_window(&entry, &platform).await;
    }
}

async fn send_window<P: Platform>(entry: &Entry, platform: &P) {
    let now = entry.now();
    let me = entry.settings.peer;
    let region = &entry.settings.place.region;
    let count = entry.with_offers(|offers| offers.end_window(now));
    let live = entry.with_members(|members, _| members.responsive_rows(now));
    match offer::aggregator(region, &live) {
        Some(target) if target != me => {
            let message = Message { release: peer::RELEASE, from: me, count };
            let _ = entry.peers.call::<bool>(target, METHOD, &message, CALL_TIMEOUT).await;
        }
        _ => {
            let offers = entry.with_offers(|offers| {
                offers.merge(now, me, count);
                offers.sum(now, region)
            });
            let digest = Digest { release: peer::RELEASE, offers };
            send_to_placers(entry, platform, &digest).await;
        }
    }
}

/// Sends the digest to the placer of each region, as named by the lease objects. A placer that
/// receives no digest keeps the last rates: demand of a minute ago is a better estimate than none.
async fn send_to_placers<P: Platform>(entry: &Entry, platform: &P, digest: &Digest) {
    let Ok((_, objects)) = platform.list(lease::KIND, "").await else {
        return;
    };
    for object in objects {
        let lease = serde_json::from_value::<Lease>(object.value).ok();
        let holder = lease.and_then(|lease| lease.holder);
        let address = holder.and_then(|holder| holder.address.parse::<SocketAddr>().ok());
        if let Some(address) = address {
            let _ = entry.peers.call::<bool>(address, DEMAND_METHOD, digest, CALL_TIMEOUT).await;
        }
    }
}
