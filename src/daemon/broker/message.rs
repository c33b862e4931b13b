//! Messages between daemons and brokers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::decide::broker::Ticket;
use crate::decide::endpoint::End;
use crate::decide::wait_policy::Shortage;
use crate::decide::wait_queue::Class;
use crate::edge::dialect::Load;
use crate::table::AdapterId;
use crate::table::ModelId;
use crate::table::RegionId;
use crate::table::ServiceId;
use crate::table::SoftwareVersion;
use crate::table::TeamId;
use crate::table::instance::Key;

/// A message between a daemon and a broker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a grant.
    Requested(Box<Request>),
    /// The request is in the broker's wait queue.
    Queued(Ticket),
    /// The request may be sent to an engine.
    Granted {
        /// The request's ticket.
        ticket: Ticket,
        /// The engine.
        key: Key,
        /// Tokens of the prompt that the engine has yet to prefill.
        tokens: u32,
        /// Estimated time for their prefill, in microseconds.
        own_prefill_us: u32,
        /// Estimated time for the prefill of requests sent before, in microseconds.
        queued_prefill_us: u32,
    },
    /// The broker of another region has capacity for the request.
    Redirected {
        /// The request's ticket.
        ticket: Ticket,
        /// The other region.
        region: RegionId,
    },
    /// The request is refused.
    Refused {
        /// The request's ticket.
        ticket: Ticket,
        /// The reason.
        reason: Reason,
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u32,
        /// The resource that was short, if any.
        shortage: Option<Shortage>,
    },
    /// The first byte of the engine's response was received.
    FirstByte {
        /// The grant's ticket.
        ticket: Ticket,
        /// Time to the first byte without the round trip to the engine, in microseconds.
        elapsed_us: u32,
        /// Numbers of running and waiting requests that the engine reported.
        load: Option<(u32, u32)>,
    },
    /// The request has ended, or needs no grant any more.
    Ended {
        /// The ticket of the grant or request.
        ticket: Ticket,
        /// How it ended.
        end: End,
        /// Event interval of the engine's streams, in microseconds; 0 if unknown.
        event_interval_us: u32,
    },
    /// Number of requests at each engine of a broker.
    Loads(Vec<(Key, u32)>),
    /// Lists the grants that a daemon holds.
    Held {
        /// The grants: ticket, request class and engine.
        rows: Vec<(Ticket, Class, Key)>,
        /// Whether these are all grants that the daemon holds from this broker.
        complete: bool,
    },
    /// Asks for a grant, except at endpoints that the daemon does not call.
    RequestedExcept {
        /// The request.
        request: Box<Request>,
        /// The endpoints, each with the time until the daemon calls it again, in milliseconds; none
        /// if it is leaving.
        excluded: Vec<(Key, Option<u32>)>,
    },
    /// Asks for a grant at a version of the endpoints' software.
    RequestedAt {
        /// The request.
        request: Box<Request>,
        /// As in `RequestedExcept`.
        excluded: Vec<(Key, Option<u32>)>,
        /// The version.
        software: SoftwareVersion,
    },
    /// Asks for a grant, with the terms by which the request waits.
    Ask {
        /// The request.
        request: Box<Request>,
        /// As in `RequestedExcept`.
        excluded: Vec<(Key, Option<u32>)>,
        /// As in `RequestedAt`, if the request is bound to a version.
        software: Option<SoftwareVersion>,
        /// The terms.
        terms: Terms,
    },
    /// The first byte of the engine's response was received, with all that the engine reported.
    Responded {
        /// The grant's ticket.
        ticket: Ticket,
        /// As in `FirstByte`.
        elapsed_us: u32,
        /// The engine's load.
        load: Option<Load>,
    },
    /// How long work takes at engines of a broker that have stated it since the last such message.
    /// Sent beside `Loads`, which all releases understand, and not at all where no engine states it.
    WorkTimes(Vec<WorkTime>),
}

/// How long work takes at an engine, as it has stated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkTime {
    /// The engine.
    pub key: Key,
    /// Percentage of the usual time.
    pub percent: u16,
    /// Time since it was stated, in milliseconds.
    pub age_ms: u16,
}

/// What decides on a request's place among those that wait, and on the memory that it needs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// The team that sent it; none if its route requires no key.
    pub team: Option<TeamId>,
    /// Priority of its route; 0 is the most urgent. Orders requests of equal priority.
    pub route_priority: u8,
    /// Maximum number of tokens of its answer.
    pub output_tokens: u32,
    /// Time from its arrival after which its caller leaves without a first event; none if the caller
    /// waits until the deadline.
    pub patience: Option<Duration>,
}

/// A request's requirements, as sent to a broker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    pub(super) ticket: Ticket,
    pub(super) service: ServiceId,
    pub(super) model: ModelId,
    pub(super) adapter: Option<AdapterId>,
    pub(super) adapter_slots: u32,
    pub(super) prompt_tokens: u32,
    pub(super) parts: Vec<(u64, u32)>,
    pub(super) max_pause_ms: Option<u32>,
    pub(super) target_latency_ms: u32,
    pub(super) priority: u8,
    pub(super) waited_ms: u32,
    pub(super) time_left_ms: u32,
    pub(super) tried: Vec<Key>,
    pub(super) required_region: Option<RegionId>,
}

/// The reason why a broker refuses a request.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[expect(missing_docs, reason = "each is explained in docs/OPERATIONS.md")]
pub enum Reason {
    Full,
    AdapterAbsent,
    ModelAbsent,
    NoEndpoint,
    Waited,
    Limited,
    Backoff,
    TooLarge,
}

pub(super) fn micros(span: Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}

pub(super) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
