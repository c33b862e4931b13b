//! Acquisition, renewal and return of the lease.

use std::time::Duration;

use crate::decide::lease;
use crate::decide::lease::Lease;
use crate::edge::endpoint::control::Control;
use crate::edge::platform::Platform;
use crate::edge::platform::Version;
use crate::metric::Counter;
use crate::placer::Placer;
use crate::placer::object;
use crate::placer::object::Outcome;

impl<P: Platform, C: Control> Placer<P, C> {
    /// Renews or acquires the lease if that is due.
    pub async fn renew_lease(&self) {
        self.log_term_change();
        if self.term().is_none() && !self.read_lease().await {
            return;
        }
        let now = self.now();
        let due = self.inventory().lease.next_write(now);
        if let Some(write) = due {
            self.write_lease(&write).await;
        }
        self.log_term_change();
    }

    /// Returns the lease, so that another placer need not wait until it expires.
    pub async fn resign(&self) {
        let now = self.now();
        let due = self.inventory().lease.resign(now);
        if let Some(write) = due {
            self.write_lease(&write).await;
            tracing::info!("lease returned");
        }
    }

    /// Reads the lease object and returns whether the platform answered.
    async fn read_lease(&self) -> bool {
        let region = &self.settings.place.region;
        let read = object::read::<P, Lease>(&self.platform, lease::KIND, region).await;
        let now = self.now();
        match read {
            Ok(found) => {
                self.inventory().lease.on_read(now, found);
                true
            }
            Err(_) => false,
        }
    }

    async fn write_lease(&self, write: &lease::Write) {
        let region = &self.settings.place.region;
        let key = (lease::KIND, region.as_str());
        let outcome =
            object::write(&self.platform, &self.metrics, key, write.expect, &write.lease).await;
        let now: Duration = self.now();
        let mut inventory = self.inventory();
        match outcome {
            Ok(Outcome::Applied(version)) => inventory.lease.on_applied(now, version, write),
            Ok(Outcome::Conflict(found)) => {
                inventory.lease.on_refused(now, found as Option<(Version, Lease)>);
            }
            // The outcome is unknown: a held lease stays valid until it expires, and the next round
            // reads the object again.
            Err(_) => {}
        }
    }

    /// Counts and logs a change of the term since the last call.
    fn log_term_change(&self) {
        let after = self.term();
        let before = std::mem::replace(&mut self.inventory().logged_term, after);
        if before == after {
            return;
        }
        if let Some(term) = before {
            self.metrics.count(Counter::LeaseLosses);
            tracing::warn!(term, "lost the lease");
        }
        if let Some(term) = after {
            self.metrics.count(Counter::LeaseTakes);
            tracing::info!(term, "took the lease");
        }
    }
}
