//! State dump of an entry's routing decisions, for operators.

use std::collections::BTreeMap;

use serde_json::Value;
use serde_json::json;

use crate::decide::flow::Flow;

impl Flow {
    /// Returns the tables of the state dump by name.
    pub fn dump(&self) -> BTreeMap<String, Vec<Value>> {
        let tables = [
            ("endpoints", self.show_endpoints()),
            ("requests", self.show_requests()),
            ("callers", self.show_callers()),
            ("quarantine", self.show_quarantine()),
            ("retries", vec![json!({ "left": self.budget.remaining() })]),
            ("prefix", vec![json!({ "blocks": self.prefix.len() })]),
        ];
        tables.into_iter().map(|(name, rows)| (name.to_string(), rows)).collect()
    }

    fn show_endpoints(&self) -> Vec<Value> {
        let rows = self.pool.rows().iter();
        rows.map(|row| {
            json!({
                "endpoint": row.instance.address,
                "region": row.instance.region,
                "usable": row.usable(self.now),
                "leaving": row.leaving,
                "standing": format!("{:?}", row.health.state(self.now)),
                "running": row.running,
                "load": row.load(),
                "limit": row.slots(self.now),
                "pace": row.pace(self.now).map(|pace| pace.bound()),
                "token_ms": row.timing.seconds_per_token * 1e3,
                "targets": row.targets.len(),
            })
        })
        .collect()
    }

    fn show_requests(&self) -> Vec<Value> {
        let rows = self.requests.iter();
        rows.map(|(id, open)| {
            json!({
                "request": id,
                "service": open.job.service,
                "caller": open.job.caller,
                "class": open.job.class,
                "endpoint": open.attempt.as_ref().map(|run| run.endpoint),
                "attempts": open.attempts,
                "delivered": open.delivered,
                "left_ms": open.job.deadline.saturating_sub(self.now).as_millis() as u64,
            })
        })
        .collect()
    }

    fn show_callers(&self) -> Vec<Value> {
        let rows = self.shares.rows(self.now);
        rows.map(|(service, caller, work)| {
            json!({ "service": service, "caller": caller, "work_s": work })
        })
        .collect()
    }

    fn show_quarantine(&self) -> Vec<Value> {
        let rows = self.quarantine.rows();
        rows.map(|(fingerprint, row)| {
            let remaining = row
                .refused_until
                .map(|deadline| deadline.saturating_sub(self.now).as_millis() as u64);
            json!({
                "fingerprint": format!("{fingerprint:016x}"),
                "endpoints": row.runs.iter().map(|run| run.endpoint).collect::<Vec<_>>(),
                "refused_ms": remaining,
            })
        })
        .collect()
    }
}
