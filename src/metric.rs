//! Counters, kept in memory for the state dump and sent to StatsD if an address is configured.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use cadence::Counted;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use strum::EnumCount;
use strum::IntoEnumIterator;

/// Counted events. The StatsD name is `poplarmux.` followed by the variant in snake case.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Requests received from callers.
    Requests,
    /// Requests answered completely.
    Answered,
    /// Requests refused without having been run.
    Refused,
    /// Requests whose outcome was reported as unknown.
    Unknown,
    /// Attempts sent to endpoints.
    Attempts,
    /// Streams resumed at another endpoint.
    Resumed,
    /// Dropped response parts that belonged to another attempt.
    Foreign,
    /// Callers that disconnected before their response was complete.
    Hangups,
    /// Tokens relayed to callers.
    Tokens,
    /// Calls to the platform; each pending watch counts as one.
    PlatformCalls,
    /// Calls to the platform that failed.
    PlatformFailures,
    /// Calls to the platform not made because the breaker was open or the budget exhausted.
    PlatformRefused,
    /// Reads of one object.
    PlatformGets,
    /// Conditional updates.
    PlatformPuts,
    /// Conditional deletions.
    PlatformDeletes,
    /// Lists of objects.
    PlatformLists,
    /// Watches.
    PlatformWatches,
    /// Reads of the instance list.
    PlatformInstances,
    /// Claims requested, for calls that must not be repeated.
    Claims,
    /// Claims granted.
    ClaimsGranted,
    /// Claims of keys answered with the recorded response.
    ClaimsRepeated,
    /// Claims of keys whose call may have run or is running.
    ClaimsUnknown,
    /// Claims refused, so that the call was not run.
    ClaimsRefused,
    /// Writes of claim shards and their pages.
    ClaimUpdates,
    /// Configurations adopted.
    Adopted,
    /// Calls from peers.
    PeerCalls,
    /// Leases acquired.
    LeaseTakes,
    /// Leases that expired or were lost while held.
    LeaseLosses,
    /// Reservations written.
    Reservations,
    /// Releases written.
    Releases,
    /// Orders sent for the first time by this process.
    Orders,
    /// Orders resent because no report showed their effect.
    OrdersAgain,
    /// Orders refused by an endpoint.
    OrdersRefused,
    /// Orders not sent because the lease or the endpoint's incarnation had changed.
    OrdersHeld,
    /// Conditional updates that found the object changed.
    Conflicts,
    /// Conditional updates whose response was lost and whose outcome was read back.
    Settled,
    /// Placement rounds in which some model had fewer replicas than wanted.
    ShortRounds,
}

/// The counters of one process.
pub struct Metrics {
    counts: [AtomicU64; Counter::COUNT],
    statsd: Option<StatsdClient>,
}

impl Metrics {
    /// Creates counters that are also sent to `statsd`, if given. If the socket cannot be opened,
    /// counters are kept in memory only, because metrics must not keep a process from serving.
    pub fn new(statsd: Option<SocketAddr>) -> Self {
        let statsd = statsd.and_then(|addr| {
            let socket = UdpSocket::bind(("0.0.0.0", 0)).ok()?;
            socket.set_nonblocking(true).ok()?;
            let sink = UdpMetricSink::from(addr, socket).ok()?;
            Some(StatsdClient::from_sink("poplarmux", sink))
        });
        Metrics { counts: [const { AtomicU64::new(0) }; Counter::COUNT], statsd }
    }

    /// Increments a counter by one.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Increments a counter by `n`.
    pub fn add(&self, counter: Counter, n: u64) {
        self.counts[counter as usize].fetch_add(n, Ordering::Relaxed);
        if let Some(statsd) = &self.statsd {
            let name: &'static str = counter.into();
            let _ = statsd.count(name, n as i64);
        }
    }

    /// Returns the current value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts[counter as usize].load(Ordering::Relaxed)
    }

    /// Returns the name and value of every counter.
    pub fn all(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        Counter::iter().map(|counter| (counter.into(), self.get(counter)))
    }
}
