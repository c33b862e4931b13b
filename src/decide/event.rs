//! Types that an entry exchanges with its routing decisions: jobs, input events and actions.

use std::time::Duration;

use crate::config::service::Class;
use crate::edge::endpoint;
use crate::edge::endpoint::Outcome;
use crate::edge::endpoint::Report;
use crate::edge::platform::Instance;
use crate::table::AdapterId;
use crate::table::CallerId;
use crate::table::DataCenterId;
use crate::table::EndpointId;
use crate::table::EntryId;
use crate::table::ModelId;
use crate::table::RegionId;
use crate::table::RequestId;
use crate::table::ServiceId;

/// The endpoints that can run a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Target {
    /// An engine on which the model, and the adapter if one is named, is resident.
    Model(ModelId, Option<AdapterId>),
    /// A plain service.
    Service(ServiceId),
}

/// A request as the routing decisions need it.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request's id, unique within the entry.
    pub id: RequestId,
    /// The service that the request belongs to.
    pub service: ServiceId,
    /// The endpoints that can run the request.
    pub target: Target,
    /// The caller that sent the request.
    pub caller: CallerId,
    /// The request's priority class.
    pub class: Class,
    /// Time by which the complete answer must have arrived.
    pub deadline: Duration,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Most tokens that may be generated; 0 for plain calls.
    pub max_tokens: u32,
    /// Hashes of the prompt's blocks, each of which covers all blocks up to it.
    pub prefix_hashes: Vec<u64>,
    /// Hash of the request's content, by which a request that crashes endpoints is recognized when
    /// it is sent again.
    pub fingerprint: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// Why a request is answered by the entry itself. A duration tells the caller when to retry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The queues are full or the caller exceeds its share.
    Overloaded(Duration),
    /// The deadline can no longer be met.
    Late(Duration),
    /// No endpoint currently meets the request's requirements.
    Unreachable(Duration),
    /// The request crashed endpoints and is refused for this long.
    Quarantined(Duration),
    /// Attempts failed and no further one is allowed; states whether the request may have run.
    Failed(Outcome, Option<Duration>),
}

/// An input to the routing decisions.
#[derive(Debug, Clone)]
pub enum Event {
    /// A request arrived.
    Arrived(Job),
    /// The attempt delivered this many more tokens (0 for the first byte of a plain call).
    Progress(RequestId, u32),
    /// The attempt completed successfully.
    Finished(RequestId),
    /// The attempt failed after `delivered` tokens had been passed on.
    Failed {
        /// The request.
        request: RequestId,
        /// Why the attempt failed.
        error: endpoint::Error,
        /// Tokens that the caller has received over all attempts.
        delivered: u64,
    },
    /// The caller closed its connection.
    HungUp(RequestId),
    /// A load report arrived, from the endpoint itself or through a peer.
    Reported(EndpointId, Report),
    /// A response carried the endpoint's load: running and waiting requests.
    Load(EndpointId, u32, u32),
    /// An endpoint announced in a response that it is leaving.
    Leaving(EndpointId),
    /// The instance list was read.
    Listed(Vec<Instance>),
    /// A peer quarantined this fingerprint for this long.
    Quarantined(u64, Duration),
    /// A peer's number of requests in flight at each endpoint; it replaces the peer's last digest.
    Digest(EntryId, Vec<(EndpointId, u32)>),
    /// An endpoint stored and dropped prefix blocks.
    Cached {
        /// The endpoint.
        endpoint: EndpointId,
        /// Hashes of the blocks that were stored.
        stored: Vec<u64>,
        /// Hashes of the blocks that were dropped.
        dropped: Vec<u64>,
        /// Whether earlier events were missed.
        gap: bool,
    },
}

/// An action for the entry to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to this endpoint now. A stream continues from its next token.
    Dispatch(RequestId, EndpointId),
    /// Answer the caller with this refusal now.
    Refuse(RequestId, Refusal),
    /// Cancel the request's attempt at this endpoint.
    Cancel(RequestId, EndpointId),
    /// Tell the peers that this fingerprint is quarantined for this long.
    Quarantine(u64, Duration),
}

/// The zone in which an entry runs.
#[derive(Debug, Clone)]
pub struct Location {
    /// The entry's region.
    pub region: RegionId,
    /// The entry's data center.
    pub data_center: DataCenterId,
}
