//! Limits the bytes that a daemon sends to the others for one purpose.
//!
//! Load pattern: many endpoints crash within seconds, and each daemon passes on what it learns of
//! that. Without a limit these messages displace requests on links of 10 Mbit/s.

use std::time::Duration;

/// Bytes of the IP and UDP headers of a datagram, and of the tag that states its kind.
const HEADER_BYTES: usize = 29;

/// A number of bytes that grows at a constant rate up to a maximum, and from which datagrams are
/// taken.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    rate: f64,
    burst: f64,
    available: f64,
    updated_at: Duration,
}

impl ByteBudget {
    /// Creates a budget of `rate` bytes a second, of which up to `burst` are kept. In no second are
    /// more than the sum of both spent.
    pub fn new(rate: u32, burst: u32) -> Self {
        let (rate, burst) = (f64::from(rate), f64::from(burst));
        ByteBudget { rate, burst, available: burst, updated_at: Duration::ZERO }
    }

    /// Adds what has become available since the last call.
    pub fn update(&mut self, now: Duration) {
        let added = now.saturating_sub(self.updated_at).as_secs_f64() * self.rate;
        self.available = (self.available + added).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns how many rows of up to `row_bytes` a message to `fanout` daemons may have.
    pub fn max_rows(&self, fanout: usize, fixed_bytes: usize, row_bytes: usize) -> usize {
        let datagram = self.available as usize / fanout.max(1);
        datagram.saturating_sub(HEADER_BYTES + fixed_bytes) / row_bytes.max(1)
    }

    /// Takes the bytes of a message to `fanout` daemons.
    pub fn spend(&mut self, fanout: usize, message_bytes: usize) {
        self.available -= (fanout * (HEADER_BYTES + message_bytes)) as f64;
    }
}
