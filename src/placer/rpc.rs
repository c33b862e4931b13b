//! RPC methods of a placer for other processes of the system.

use std::collections::BTreeMap;
use std::sync::Arc;

use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use jsonrpsee_types::Params;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::decide::place::demand::Offer;
use crate::edge::endpoint::control::Control;
use crate::edge::peer;
use crate::edge::platform::Platform;
use crate::metric::Counter;
use crate::placer::Inventory;
use crate::placer::Placer;
use crate::state;
use crate::state::Dump;

/// Name of the method that accepts a `Digest`.
pub const DEMAND_METHOD: &str = "demand.digest";

/// Offered rates as reported by an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Digest {
    /// The release of the message format.
    pub release: u32,
    /// Tokens per second by model and region, summed over all entries.
    pub offers: Vec<Offer>,
}

type Response<T> = Result<T, ErrorObjectOwned>;

/// Returns the RPC methods of a placer.
pub fn module<P: Platform, C: Control>(placer: Arc<Placer<P, C>>) -> RpcModule<Arc<Placer<P, C>>> {
    let mut module = RpcModule::new(placer);
    let added = [
        module
            .register_method(DEMAND_METHOD, |params, placer, _| record_demand(&params, placer))
            .is_ok(),
        module.register_method(state::METHOD, |params, placer, _| dump(&params, placer)).is_ok(),
    ];
    debug_assert!(added.iter().all(|added| *added), "a method was registered twice");
    module
}

fn record_demand<P: Platform, C: Control>(
    params: &Params<'_>,
    placer: &Placer<P, C>,
) -> Response<bool> {
    let digest: Digest = params.parse()?;
    peer::check(digest.release)?;
    placer.metrics.count(Counter::PeerCalls);
    let now = placer.now();
    placer.inventory().demand.record(now, &digest.offers);
    Ok(true)
}

fn dump<P: Platform, C: Control>(params: &Params<'_>, placer: &Placer<P, C>) -> Response<Dump> {
    let request: state::Request = params.parse()?;
    let now = placer.now();
    let counters = placer.metrics.all();
    let counters = counters.map(|(name, count)| json!({ "name": name, "count": count })).collect();
    let inventory = placer.inventory();
    let mut tables = BTreeMap::from([
        ("counters".to_string(), counters),
        ("lease".to_string(), lease(&inventory, now)),
        ("engines".to_string(), engines(&inventory, now)),
        ("rows".to_string(), rows(&inventory, now)),
        ("copies".to_string(), copies(&inventory)),
        ("demand".to_string(), offers(&inventory)),
    ]);
    if !request.tables.is_empty() {
        tables.retain(|name, _| request.tables.contains(name));
    }
    let faults = faults(&inventory, now);
    Ok(Dump {
        program: "poplarmux-placer".to_string(),
        incarnation: placer.incarnation,
        ready: inventory.config.version > 0 && inventory.lease.observed().is_some(),
        faults,
        tables,
    })
}

fn faults(inventory: &Inventory, now: std::time::Duration) -> Vec<String> {
    let mut faults = Vec::new();
    if inventory.config.version == 0 {
        faults.push("no configuration has been read from the platform".to_string());
    }
    if inventory.lease.observed().is_none() {
        faults.push("the lease has not been read from the platform".to_string());
    }
    if inventory.lease.term(now).is_some() {
        faults.extend(inventory.unplaced.iter().map(|model| {
            format!("no endpoint has enough free memory for another replica of {model}")
        }));
    }
    faults
}

fn lease(inventory: &Inventory, now: std::time::Duration) -> Vec<Value> {
    let Some(last_seen) = inventory.lease.observed() else {
        return Vec::new();
    };
    let holder = last_seen.holder.as_ref();
    vec![json!({
        "holder": holder.map(|holder| holder.address.clone()),
        "incarnation": holder.map(|holder| holder.incarnation),
        "term": last_seen.term, "held": inventory.lease.term(now).is_some(),
        "left_ms": inventory.lease.remaining(now).as_millis() as u64,
    })]
}

fn engines(inventory: &Inventory, now: std::time::Duration) -> Vec<Value> {
    let rows = inventory.engines.iter().map(|(endpoint, engine)| {
        let ledger = &engine.ledger;
        let report_age =
            engine.report.as_ref().map(|(_, received_at)| now.saturating_sub(*received_at));
        let commitments =
            (0..ledger.capacity.len() as u32).map(|accelerator| ledger.committed(accelerator));
        json!({
            "address": endpoint, "region": engine.instance.region,
            "data_center": engine.instance.data_center, "state": engine.instance.state,
            "incarnation": ledger.incarnation, "sequence": ledger.sequence,
            "capacity": ledger.capacity, "promised": commitments.collect::<Vec<_>>(),
            "open": ledger.pending_orders(),
            "silent_ms": report_age.map(|age| age.as_millis() as u64),
        })
    });
    rows.collect()
}

fn rows(inventory: &Inventory, now: std::time::Duration) -> Vec<Value> {
    let mut table = Vec::new();
    for (endpoint, engine) in &inventory.engines {
        for row in &engine.ledger.rows {
            table.push(json!({
                "address": endpoint, "model": row.item.model, "adapter": row.item.adapter,
                "version": row.item.version, "accelerator": row.accelerator,
                "memory": row.memory, "state": row.state, "order": row.order,
                "unload": row.unload, "fence": row.fence, "incarnation": row.incarnation,
                "age_ms": inventory.row_age(now, *endpoint, row).as_millis() as u64,
            }));
        }
    }
    table
}

fn copies(inventory: &Inventory) -> Vec<Value> {
    let rows = inventory.copies.iter().map(|(model, (_, copies))| {
        json!({
            "model": model, "anchor": copies.anchor.map(|copy| copy.endpoint),
            "leaving": copies.leaving.iter().map(|copy| copy.endpoint).collect::<Vec<_>>(),
        })
    });
    rows.collect()
}

fn offers(inventory: &Inventory) -> Vec<Value> {
    let rows = inventory.demand.rows().map(|(model, region, rate, copies)| {
        json!({ "model": model, "region": region, "rate": rate, "copies": copies })
    });
    rows.collect()
}
