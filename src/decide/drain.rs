//! Drain: endpoints that are leaving receive no new work.
//!
//! Load pattern: instances are replaced all day, and the instance list shows it late. Without this
//! module an endpoint that announced that it is leaving receives work until the list shows it, and
//! that work is refused or cut off.
//!
//! Three sources announce that an endpoint is leaving: the list, the endpoint's report, and the
//! endpoint's own answers. The first one counts, and none of them revokes it: a list that lags
//! shows `live` long afterwards. Only a higher incarnation at the same address is a new endpoint.
//! Requests that already run there may finish.

use std::collections::HashMap;

use crate::table::EndpointId;
use crate::table::Incarnation;

/// Leaving endpoints, each with the highest incarnation that is leaving.
#[derive(Debug, Clone, Default)]
pub struct Drain {
    rows: HashMap<EndpointId, Incarnation>,
}

impl Drain {
    /// Records that this incarnation of the endpoint is leaving.
    pub fn record(&mut self, endpoint: EndpointId, incarnation: Incarnation) {
        let row = self.rows.entry(endpoint).or_insert(incarnation);
        *row = (*row).max(incarnation);
    }

    /// Returns whether this incarnation of the endpoint is leaving.
    pub fn is_leaving(&self, endpoint: &EndpointId, incarnation: Incarnation) -> bool {
        self.rows.get(endpoint).is_some_and(|known| incarnation <= *known)
    }

    /// Removes endpoints that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&EndpointId) -> bool) {
        self.rows.retain(|endpoint, _| listed(endpoint));
    }
}
