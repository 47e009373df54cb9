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

/// What rides on every probe and its answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Member records that changed lately.
    pub records: Vec<Record>,
    /// Configuration version in force at the sender.
    pub version: u64,
    /// Digest of the sender's member table.
    pub digest: u64,
}

/// What a router asks of the groups it shares with others, and what it has seen of upstreams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests at upstreams and in the queue, by group and tier.
    pub wanted: BTreeMap<String, TierDemand>,
    /// Requests and tokens a second, by organisation with a limit.
    pub used: BTreeMap<String, (f32, f32)>,
    /// Upstreams that told the sender they are leaving.
    pub leaving: Vec<String>,
}

/// A message from one router to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Are you there?
    Probe {
        /// Number to be repeated in the answer.
        sequence: u64,
        /// The sender has dialled anew to ask; the way back may be silent too.
        anew: bool,
        /// What rides along.
        gossip: Gossip,
    },
    /// Answer to a probe.
    Answer {
        /// Number of the probe.
        sequence: u64,
        /// What rides along.
        gossip: Gossip,
    },
    /// Probe this address for me; its answer comes back to me from you.
    ProbeFor {
        /// Number of the asker's probe.
        sequence: u64,
        /// Peer address to probe.
        address: String,
    },
    /// Changed member records, sent on at once.
    News(Gossip),
    /// Send me your member table.
    AskMembers {
        /// The asker.
        record: Record,
    },
    /// The sender's whole member table.
    Members(Vec<Record>),
    /// What the sender wants and uses.
    Demand(Demand),
    /// Send me your configuration root.
    AskRoot {
        /// Version that the asker has.
        have: u64,
    },
    /// The way to the sender's configuration root.
    Root(Change),
    /// Send me these shards.
    AskShards(Vec<String>),
    /// A shard; its hash is computed by the receiver.
    Shard(Bytes),
    /// A request whose key's home is the receiver.
    Forward {
        /// Number of the request at the sender.
        request: RequestId,
        /// The request.
        submission: Box<Submission>,
    },
    /// The end of a forwarded request.
    Forwarded {
        /// Number of the request at the receiver.
        request: RequestId,
        /// Its end.
        outcome: Outcome,
    },
    /// Keys of a stopping router for its successor.
    Table(idempotency::Handover),
    /// The successor holds the keys of this prefix.
    TableTaken(String),
}
