//! Retry allowance: bounds the requests that all daemons together may send again.
//!
//! Load pattern: an engine fails part of its requests, or many engines refuse at the same time.
//! Without a common bound each daemon resends what failed, and together they add a second load to
//! engines that have no capacity for the first. The retries allowed in a window are a ratio of the
//! requests plus a fixed number. Each daemon applies the ratio to its own requests and takes an
//! even part of the fixed number, so that the daemons need no messages about it.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::table::ServiceId;

/// Ratio of the allowance that is used. Requests are counted here on arrival and at the endpoints
/// slightly later, so the rest covers the difference.
const USABLE_RATIO: f64 = 0.8;
/// Number of buckets in a window.
const BUCKETS_PER_WINDOW: u32 = 10;

/// Bound on the retries of all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Retries {
    /// Retries as a ratio of the requests in a window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Number of additional retries in each window.
    pub slack: f64,
}

/// Number of requests and retries within one bucket.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retried: u32,
}

/// Retries that one daemon may make for each service.
#[derive(Debug)]
pub struct Allowance {
    retries: Retries,
    services: HashMap<ServiceId, VecDeque<Bucket>>,
    /// Number of daemons that share the fixed number of retries; at least 1.
    daemons: usize,
}

impl Allowance {
    /// Returns an allowance without any counted request.
    pub fn new(retries: Retries) -> Self {
        Allowance { retries, services: HashMap::new(), daemons: 1 }
    }

    /// Sets the number of daemons.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// Returns the number of daemons.
    pub fn daemons(&self) -> usize {
        self.daemons
    }

    /// Returns the number of retries left at `now` for each service.
    pub fn rows(&mut self, now: Duration) -> Vec<(ServiceId, f64)> {
        let services: Vec<ServiceId> = self.services.keys().cloned().collect();
        let row = |service: ServiceId| {
            let left = self.remaining(now, &service);
            (service, left)
        };
        services.into_iter().map(row).collect()
    }

    /// Records a request from a caller.
    pub fn record_request(&mut self, now: Duration, service: &str) {
        self.bucket(now, service).requests += 1;
    }

    /// Spends one retry; returns false if none is left.
    pub fn spend(&mut self, now: Duration, service: &str) -> bool {
        if self.remaining(now, service) < 1.0 {
            return false;
        }
        self.bucket(now, service).retried += 1;
        true
    }

    /// Returns the number of retries left at `now`.
    pub fn remaining(&mut self, now: Duration, service: &str) -> f64 {
        let (ratio, slack) = (self.retries.ratio, self.retries.slack / self.daemons as f64);
        self.bucket(now, service);
        let buckets = &self.services[service];
        let requests: u32 = buckets.iter().map(|row| row.requests).sum();
        let retried: u32 = buckets.iter().map(|row| row.retried).sum();
        (f64::from(requests) * ratio + slack) * USABLE_RATIO - f64::from(retried)
    }

    fn bucket(&mut self, now: Duration, service: &str) -> &mut Bucket {
        let span = (self.retries.window / BUCKETS_PER_WINDOW).max(Duration::from_millis(1));
        let index = (now.as_micros() / span.as_micros()) as u64;
        if !self.services.contains_key(service) {
            self.services.insert(service.to_string(), VecDeque::new());
        }
        let buckets = self.services.get_mut(service).expect("inserted above");
        while buckets.front().is_some_and(|row| row.index + u64::from(BUCKETS_PER_WINDOW) <= index)
        {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|row| row.index != index) {
            buckets.push_back(Bucket { index, ..Bucket::default() });
        }
        buckets.back_mut().expect("pushed above")
    }
}
