//! Delivery of the orders whose outcome is unknown.

use std::time::Duration;

use crate::edge::endpoint::Error;
use crate::edge::endpoint::Order;
use crate::edge::endpoint::control::Control;
use crate::edge::endpoint::control::Session;
use crate::edge::platform::Platform;
use crate::metric::Counter;
use crate::placer::Placer;
use crate::placer::read::join_all;
use crate::table::EndpointId;
use crate::table::Fence;
use crate::table::Incarnation;

/// Limit of endpoints to which orders are sent concurrently.
const MAX_CONCURRENT_ENDPOINTS: usize = 64;

/// Orders to one endpoint, each with the incarnation for which it is valid.
type Batch = (EndpointId, Vec<(Incarnation, Order)>);

impl<P: Platform, C: Control> Placer<P, C> {
    /// Sends the orders that are due. Each order belongs to a row of a ledger whose write was
    /// confirmed.
    pub(super) async fn send_orders(&self, term: Fence) {
        let mut batches = self.due_orders(term);
        while !batches.is_empty() && self.term() == Some(term) {
            let chunk = batches.drain(..batches.len().min(MAX_CONCURRENT_ENDPOINTS));
            let sends = chunk.map(|(endpoint, orders)| self.send_batch(endpoint, orders, term));
            join_all(sends.collect()).await;
        }
    }

    /// Returns the pending orders that this process has not sent to the endpoint's incarnation, or
    /// has sent at least `resend_ms` ago.
    fn due_orders(&self, term: Fence) -> Vec<Batch> {
        let now = self.now();
        let resend_interval = Duration::from_millis(self.settings.resend_ms);
        let home = &self.settings.place.region;
        let inventory = self.inventory();
        let home_engines =
            inventory.engines.iter().filter(|(_, engine)| engine.instance.region == *home);
        let batches = home_engines.map(|(endpoint, engine)| {
            let mut orders = engine.ledger.orders(term);
            orders.retain(|(incarnation, order)| {
                let sent_at = inventory.last_sent.get(&(*endpoint, order.order, *incarnation));
                sent_at.is_none_or(|sent_at| now.saturating_sub(*sent_at) >= resend_interval)
            });
            (*endpoint, orders)
        });
        batches.filter(|(_, orders)| !orders.is_empty()).collect()
    }

    async fn send_batch(
        &self,
        endpoint: EndpointId,
        orders: Vec<(Incarnation, Order)>,
        term: Fence,
    ) {
        let Ok((report, mut session)) = self.control.bind(endpoint).await else {
            return;
        };
        let incarnation = report.incarnation;
        self.record_report(endpoint, report);
        for (expected_incarnation, order) in orders {
            // Checked before each send, not once per round: the process may have been paused, and
            // another placer may hold the lease by now.
            if expected_incarnation != incarnation || self.term() != Some(term) {
                self.metrics.count(Counter::OrdersHeld);
                continue;
            }
            let now = self.now();
            let previous =
                self.inventory().last_sent.insert((endpoint, order.order, incarnation), now);
            let counter = if previous.is_some() { Counter::OrdersAgain } else { Counter::Orders };
            self.metrics.count(counter);
            match session.order(&order).await {
                Ok(()) => {}
                Err(Error::Refused(..) | Error::Fenced) => {
                    self.metrics.count(Counter::OrdersRefused);
                }
                Err(_) => return,
            }
        }
    }
}
