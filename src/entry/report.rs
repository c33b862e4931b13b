//! Reads load reports of endpoints, from the endpoints or from peers.

use std::sync::Arc;
use std::time::Duration;

use crate::decide::flow::Event;
use crate::edge::endpoint::Report;
use crate::edge::peer;
use crate::entry::Entry;
use crate::entry::rpc;
use crate::table::EndpointId;
use crate::table::EntryId;

/// Interval between two reads of the reports.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a read of a report.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the reports of endpoints until the process exits.
pub async fn poll(entry: Arc<Entry>) {
    loop {
        let now = entry.now();
        let live = entry.with_members(|members, _| members.responsive_rows(now));
        let me = entry.settings.peer;
        for address in entry.with_loads(|loads| loads.endpoints_to_read(now, me, &live)) {
            smol::spawn(read_report(entry.clone(), address)).detach();
        }
        smol::Timer::after(READ_INTERVAL).await;
    }
}

async fn read_report(entry: Arc<Entry>, address: EndpointId) {
    if let Ok(report) = entry.endpoints.report(address, CALL_TIMEOUT).await {
        record(&entry, address, report);
    }
}

/// Fetches the complete report of an endpoint from the peer whose update announced it.
pub async fn fetch_from_peer(entry: Arc<Entry>, peer: EntryId, address: EndpointId) {
    let params = rpc::Report { release: peer::RELEASE, endpoint: address };
    let call = entry.peers.call::<Option<Report>>(peer, "endpoint.report", &params, CALL_TIMEOUT);
    if let Ok(Some(report)) = call.await {
        record(&entry, address, report);
    }
}

fn record(entry: &Entry, address: EndpointId, report: Report) {
    let now = entry.now();
    if entry.with_loads(|loads| loads.record_report(now, address, &report)) {
        entry.on_event(Event::Reported(address, report));
    }
}
