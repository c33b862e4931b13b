//! Reads of configuration, instance list, ledgers and reports.

use std::collections::BTreeMap;
use std::future::Future;
use std::task::Poll;
use std::time::Duration;

use crate::config::snapshot;
use crate::config::snapshot::Snapshot;
use crate::decide::ledger;
use crate::decide::ledger::Ledger;
use crate::decide::ledger::copies;
use crate::decide::ledger::copies::Copies;
use crate::edge::endpoint::Report;
use crate::edge::endpoint::control::Control;
use crate::edge::platform::Platform;
use crate::edge::platform::Version;
use crate::metric::Counter;
use crate::placer::Engine;
use crate::placer::Placer;
use crate::placer::object;
use crate::table::EndpointId;
use crate::table::Fence;

/// Limit of reports that are requested concurrently.
const MAX_CONCURRENT_READS: usize = 64;

impl<P: Platform, C: Control> Placer<P, C> {
    /// Reads configuration and instance list if that is due, and all ledgers if this process has
    /// held the lease.
    pub(super) async fn refresh(&self) {
        let now = self.now();
        let refresh_interval = Duration::from_millis(self.settings.refresh_ms);
        let last = self.inventory().refreshed_at;
        if last.is_some_and(|last| now.saturating_sub(last) < refresh_interval) {
            return;
        }
        self.inventory().refreshed_at = Some(now);
        let config =
            object::read::<P, Snapshot>(&self.platform, snapshot::KIND, snapshot::NAME).await;
        if let Ok(Some((_, config))) = config {
            self.adopt(config);
        }
        if let Ok(instances) = self.platform.instances().await {
            self.inventory().set_instances(instances);
        }
        if self.inventory().loaded_term.is_some() {
            self.read_ledgers().await;
        }
        if let Some(term) = self.term() {
            self.clean_all_leaving(term).await;
        }
    }

    fn adopt(&self, config: Snapshot) {
        let mut inventory = self.inventory();
        if config.version > inventory.config.version {
            tracing::info!(version = config.version, "configuration adopted");
            self.metrics.count(Counter::Adopted);
            inventory.config = config;
        }
    }

    /// Reads all ledgers again in a new term, as another holder may have changed them since.
    /// Returns whether configuration, engines and ledgers are known.
    pub(super) async fn load_term(&self, term: Fence) -> bool {
        if self.inventory().loaded_term == Some(term) {
            return true;
        }
        if !self.read_ledgers().await {
            return false;
        }
        let mut inventory = self.inventory();
        if inventory.config.version == 0 || inventory.engines.is_empty() {
            return false;
        }
        inventory.loaded_term = Some(term);
        true
    }

    /// Reads all ledgers and copies objects, and returns whether both were read.
    async fn read_ledgers(&self) -> bool {
        let ledgers = object::read_all::<P, Ledger>(&self.platform, ledger::KIND).await;
        let copies = object::read_all::<P, Copies>(&self.platform, copies::KIND).await;
        let (Ok(ledgers), Ok(copies)) = (ledgers, copies) else {
            return false;
        };
        let now = self.now();
        let mut inventory = self.inventory();
        for (name, version, ledger) in ledgers {
            let engine = name
                .parse()
                .ok()
                .and_then(|endpoint: EndpointId| inventory.engines.get_mut(&endpoint));
            if let Some(engine) = engine {
                engine.record_ledger(version, ledger);
            }
        }
        let copies = copies.into_iter().map(|(name, version, copies)| (name, (version, copies)));
        inventory.copies = copies.collect::<BTreeMap<_, _>>();
        inventory.record_row_times(now);
        true
    }

    /// Reads the reports of the home region's engines: in each round from engines that have pending
    /// orders or were replaced, and every `survey_ms` from the others.
    pub(super) async fn read_reports(&self) {
        let due = self.due_endpoints();
        for chunk in due.chunks(MAX_CONCURRENT_READS) {
            let reads = chunk
                .iter()
                .map(|endpoint| async { (*endpoint, self.control.bind(*endpoint).await) });
            for (endpoint, response) in join_all(reads.collect()).await {
                if let Ok((report, _)) = response {
                    self.record_report(endpoint, report);
                }
            }
        }
    }

    /// Records a report unless a newer one is known.
    pub(super) fn record_report(&self, endpoint: EndpointId, report: Report) {
        let now = self.now();
        let mut inventory = self.inventory();
        let Some(engine) = inventory.engines.get_mut(&endpoint) else {
            return;
        };
        let newer = engine.report.as_ref().is_none_or(|(known, _)| {
            (known.incarnation, known.sequence) <= (report.incarnation, report.sequence)
        });
        if newer {
            engine.report = Some((report, now));
        }
    }

    fn due_endpoints(&self) -> Vec<EndpointId> {
        let now = self.now();
        let survey_interval = Duration::from_millis(self.settings.survey_ms);
        let home = &self.settings.place.region;
        let mut inventory = self.inventory();
        let mut due = Vec::new();
        for (endpoint, engine) in &mut inventory.engines {
            if engine.instance.region != *home {
                continue;
            }
            let pending = engine.ledger.rows.iter().any(|row| row.is_pending());
            let replaced = engine.instance.incarnation > engine.ledger.incarnation;
            let outdated = engine
                .requested_at
                .is_none_or(|requested_at| now.saturating_sub(requested_at) >= survey_interval);
            if pending || replaced || outdated {
                engine.requested_at = Some(now);
                due.push(*endpoint);
            }
        }
        due
    }
}

impl Engine {
    /// Records a ledger unless the same or a later version is known.
    pub(super) fn record_ledger(&mut self, version: Version, ledger: Ledger) {
        if self.version.is_none_or(|known| known < version) {
            self.version = Some(version);
            self.ledger = ledger;
        }
    }
}

/// Runs futures concurrently in the calling task and returns their outputs in order.
pub(super) async fn join_all<F: Future>(futures: Vec<F>) -> Vec<F::Output> {
    let mut running: Vec<_> = futures.into_iter().map(|future| Some(Box::pin(future))).collect();
    let mut done: Vec<Option<F::Output>> = running.iter().map(|_| None).collect();
    smol::future::poll_fn(|cx| {
        for (slot, output) in running.iter_mut().zip(&mut done) {
            if let Some(future) = slot
                && let Poll::Ready(value) = future.as_mut().poll(cx)
            {
                *output = Some(value);
                *slot = None;
            }
        }
        if running.iter().any(Option::is_some) { Poll::Pending } else { Poll::Ready(()) }
    })
    .await;
    done.into_iter().flatten().collect()
}
