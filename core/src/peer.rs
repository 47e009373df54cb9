//! Messages between routers.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::action::Outcome;
use crate::config::shard::Change;
use crate::event::RequestId;
use crate::event::Submission;
use crate::idempotency;
use crate::member::Record;
use crate::share::TierDemand;

/// Version of the payload encoding in an envelope.
pub const CODEC_VERSION: u32 = 1;

/// Gossip that each probe and answer carries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Recently changed member records.
    pub records: Vec<Record>,
    /// Configuration version in force at the sender.
    pub version: u64,
    /// Digest of the sender's member table.
    pub digest: u64,
}

/// Demand of a router for capacity and limits that it shares with others, and the upstreams that it
/// knows to be leaving.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Smoothed number of requests at upstreams and in queues, by group and tier, in sixteenths of
    /// a request.
    pub wanted: BTreeMap<String, TierDemand>,
    /// Requests and tokens a second, by organisation, for those with a limit.
    pub used: BTreeMap<String, (f32, f32)>,
    /// Upstreams that told the sender that they are leaving.
    pub leaving: Vec<String>,
}

/// A message from one router to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Checks whether the receiver is alive.
    Probe {
        /// Sequence number to return in the answer.
        sequence: u64,
        /// Whether the sender opened a new connection for this probe. The answer then needs a new
        /// connection too, because the opposite direction may also be broken.
        anew: bool,
        /// Piggybacked gossip.
        gossip: Gossip,
    },
    /// Answers a probe.
    Answer {
        /// Sequence number of the probe.
        sequence: u64,
        /// Piggybacked gossip.
        gossip: Gossip,
    },
    /// Asks the receiver to probe a third router and to relay its answer.
    ProbeFor {
        /// Sequence number of the sender's probe.
        sequence: u64,
        /// Peer address to probe.
        address: String,
    },
    /// Member records or a configuration version that changed, sent without a probe.
    News(Gossip),
    /// Requests the receiver's member table.
    AskMembers {
        /// Record of the sender.
        record: Record,
    },
    /// The sender's whole member table.
    Members(Vec<Record>),
    /// The sender's demand.
    Demand(Demand),
    /// Requests the receiver's configuration root.
    AskRoot {
        /// Version that the sender has.
        have: u64,
    },
    /// The change that leads to the sender's configuration root.
    Root(Change),
    /// Requests the shards with these hashes.
    AskShards(Vec<String>),
    /// Content of a shard; the receiver computes the hash.
    Shard(Bytes),
    /// Forwards a request to the home of its idempotency key.
    Forward {
        /// Number of the request at the sender.
        request: RequestId,
        /// The request.
        submission: Box<Submission>,
    },
    /// Outcome of a forwarded request.
    Forwarded {
        /// Number of the request at the receiver.
        request: RequestId,
        /// Outcome of the request.
        outcome: Outcome,
    },
    /// Hands over idempotency keys of a stopping router to its successor.
    Table(idempotency::Handover),
    /// Confirms that the sender owns the idempotency keys of this home.
    TableTaken(String),
}
