//! RPC methods that the entry serves to other processes of the system.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use jsonrpsee_types::Params;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::config::snapshot::Identity;
use crate::config::snapshot::Revision;
use crate::decide::flow::Event;
use crate::decide::member::Row;
use crate::edge::endpoint;
use crate::edge::peer;
use crate::edge::platform::Instance;
use crate::entry::Entry;
use crate::entry::claim;
use crate::entry::gossip;
use crate::entry::gossip::Updates;
use crate::entry::offer;
use crate::metric::Counter;
use crate::state;
use crate::state::Dump;
use crate::table::EndpointId;

/// A request without parameters other than its release.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Release {
    /// The release of this message.
    pub release: u32,
}

/// A quarantine of requests that crashed endpoints.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Quarantine {
    /// The release of this message.
    pub release: u32,
    /// The fingerprint of the requests.
    pub fingerprint: u64,
    /// Duration of the quarantine in milliseconds.
    pub for_ms: u64,
}

/// Requests the last report of an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// The release of this message.
    pub release: u32,
    /// The address of the endpoint.
    pub endpoint: EndpointId,
}

type Answer<T> = Result<T, ErrorObjectOwned>;

/// Returns the RPC methods of an entry.
pub fn module(entry: Arc<Entry>) -> RpcModule<Arc<Entry>> {
    let claims = entry.claims.clone();
    let mut module = RpcModule::new(entry);
    let added = [
        claim::register(&mut module, &claims),
        module.register_method("peer.news", |params, entry, _| exchange(&params, entry)).is_ok(),
        module.register_method("config.highest", |params, entry, _| mark(&params, entry)).is_ok(),
        module.register_method("config.get", |params, entry, _| config(&params, entry)).is_ok(),
        module
            .register_method("endpoint.report", |params, entry, _| report(&params, entry))
            .is_ok(),
        module.register_method(gossip::MEMBERS, |params, entry, _| members(&params, entry)).is_ok(),
        module.register_method(gossip::INSTANCES, |params, entry, _| list(&params, entry)).is_ok(),
        module
            .register_method(offer::METHOD, |params, entry, _| merge_offer(&params, entry))
            .is_ok(),
        module
            .register_method("quarantine.add", |params, entry, _| quarantine(&params, entry))
            .is_ok(),
        module.register_method(state::METHOD, |params, entry, _| dump(&params, entry)).is_ok(),
    ];
    debug_assert!(added.iter().all(|added| *added), "two RPC methods have the same name");
    module
}

fn exchange(params: &Params<'_>, entry: &Arc<Entry>) -> Answer<Updates> {
    let received: Updates = params.parse()?;
    peer::check(received.release)?;
    entry.metrics.count(Counter::PeerCalls);
    gossip::merge(entry, received);
    Ok(gossip::updates(entry))
}

fn mark(params: &Params<'_>, entry: &Arc<Entry>) -> Answer<Identity> {
    let request: Release = params.parse()?;
    peer::check(request.release)?;
    Ok(entry.with_adopter(|adopter, _| adopter.mark()))
}

fn config(params: &Params<'_>, entry: &Arc<Entry>) -> Answer<Revision> {
    let request: Release = params.parse()?;
    peer::check(request.release)?;
    Ok(Revision::clone(&entry.in_force()))
}

fn report(params: &Params<'_>, entry: &Arc<Entry>) -> Answer<Option<endpoint::Report>> {
    let request: Report = params.parse()?;
    peer::check(request.release)?;
    Ok(entry.with_loads(|loads| loads.report(&request.endpoint).cloned()))
}

fn members(params: &Params<'_>, entry: &Arc<Entry>) -> Answer<Vec<Row>> {
    let request: Release = params.parse()?;
    peer::check(request.release)?;
    let now = entry.now();
    Ok(entry.with_members(|members, _| members.responsive_rows(now)))
}

fn list(params: &Params<'_>, entry: &Arc<Entry>) -> Answer<Vec<Instance>> {
    let request: Release = params.parse()?;
    peer::check(request.release)?;
    Ok(entry.with_loads(|loads| loads.instances()))
}

fn merge_offer(params: &Params<'_>, entry: &Arc<Entry>) -> Answer<bool> {
    let message: offer::Message = params.parse()?;
    peer::check(message.release)?;
    let now = entry.now();
    entry.with_offers(|offers| offers.merge(now, message.from, message.count));
    Ok(true)
}

fn quarantine(params: &Params<'_>, entry: &Arc<Entry>) -> Answer<bool> {
    let request: Quarantine = params.parse()?;
    peer::check(request.release)?;
    let duration = Duration::from_millis(request.for_ms);
    entry.on_event(Event::Quarantined(request.fingerprint, duration));
    Ok(true)
}

fn dump(params: &Params<'_>, entry: &Arc<Entry>) -> Answer<Dump> {
    let request: state::Request = params.parse()?;
    let mut tables = tables(entry);
    if !request.tables.is_empty() {
        tables.retain(|name, _| request.tables.contains(name));
    }
    let mut faults = Vec::new();
    if !entry.can_serve() {
        faults.push("no configuration is in force that requests may be served with".to_string());
    }
    let adopter_faults = entry
        .with_adopter(|adopter, _| adopter.faults().map(ToString::to_string).collect::<Vec<_>>());
    let ready = faults.is_empty() && !entry.drain.is_draining();
    faults.extend(adopter_faults);
    if entry.drain.is_draining() {
        faults.push("leaving".to_string());
    }
    Ok(Dump {
        program: "poplarmux-entry".to_string(),
        incarnation: entry.incarnation,
        ready,
        faults,
        tables,
    })
}

fn tables(entry: &Entry) -> BTreeMap<String, Vec<Value>> {
    let now = entry.now();
    let members = entry.with_members(|members, _| members.rows(now));
    let members = members.into_iter().map(|(row, silence)| {
        json!({
            "peer": row.peer, "address": row.address, "region": row.region,
            "data_center": row.data_center, "state": row.state, "beat": row.heartbeat,
            "incarnation": row.incarnation, "silent_ms": silence.as_millis() as u64,
        })
    });
    let counters = entry.metrics.all().map(|(name, count)| json!({ "name": name, "count": count }));
    let current = entry.in_force();
    let services = current.snapshot.services.iter().map(|service| {
        json!({
            "name": service.name, "kind": service.kind, "class": service.class,
            "regions": service.regions.join(","), "models": service.models.len(),
        })
    });
    let config = entry.with_adopter(|adopter, _| json!(adopter.mark()));
    let mut tables = entry.with_flow(|flow| flow.dump());
    tables.insert("members".to_string(), members.collect());
    tables.insert("counters".to_string(), counters.collect());
    tables.insert("services".to_string(), services.collect());
    tables.insert("config".to_string(), vec![config]);
    tables
}
