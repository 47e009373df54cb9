//! Events that the driver passes to a [`crate::node::Node`].

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::action::KvCall;
use crate::config::Deployment;
use crate::peer;

/// Number that the driver assigns to a caller's request, unique within the process.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
pub struct RequestId(pub u64);

/// Number of an attempt at an upstream, unique within the process.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
pub struct AttemptId(pub u64);

/// A caller's request, whose head and body have been read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Bearer key.
    pub key: String,
    /// Name of the class; the organisation's default class if absent.
    pub class: Option<String>,
    /// Called model or service.
    pub target: Target,
    /// Body for the upstream.
    pub body: Bytes,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Upper bound on output tokens; 0 means no bound.
    pub max_tokens: u32,
    /// Hashes of the prompt's prefixes, from short to long.
    pub prefix: Vec<u64>,
    /// Whether the answer is streamed to the caller.
    pub stream: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// `Idempotency-Key`, if the caller gave one.
    pub idempotency_key: Option<String>,
}

/// Model or service that a request calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// A model.
    Model(String),
    /// A plain service, with method and path.
    Service {
        /// Group name.
        name: String,
        /// HTTP method.
        method: String,
        /// Path and query, starting with `/`.
        path: String,
    },
}

/// Reason for which an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// The connection failed, and no byte was sent.
    Connect,
    /// The upstream answered 429 or 503.
    Refused,
    /// The upstream answered that it is leaving.
    Leaving,
    /// The connection broke, or the answer could not be understood.
    Broken,
    /// The answer carried another request's id.
    Misattributed,
}

/// Load report of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Age of the report when it arrives, in microseconds.
    pub age: u64,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting inside the engine.
    pub waiting: u32,
    /// Largest batch; 0 if not reported.
    pub slots: u32,
}

/// Reply of the key-value service to a [`KvCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KvReply {
    /// Value and modification revision of the key; `None` if the key does not exist.
    Value(Option<(Bytes, i64)>),
    /// New revision after a compare-and-swap; `None` if the key had another revision than expected.
    Swapped(Option<i64>),
    /// No answer; a write may or may not have been applied.
    Unavailable,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderResult {
    /// The upstream has carried out the order.
    Done,
    /// The upstream has refused the order, because it has seen a higher fencing token.
    Fenced,
    /// No answer; the upstream may or may not execute the order.
    Unknown,
}

/// An event for the node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Passage of time; passed every [`crate::node::TICK`].
    Tick,
    /// A caller's request.
    Request(RequestId, Box<Submission>),
    /// The caller of a request has disconnected.
    CallerGone(RequestId),
    /// Part of an answer.
    Frame {
        /// Attempt on whose connection the frame arrived.
        attempt: AttemptId,
        /// Attempt that the upstream names in the frame.
        echo: AttemptId,
        /// Number of tokens of the answer before the frame, including those of earlier attempts.
        offset: u32,
        /// Number of tokens in the frame.
        tokens: u32,
        /// Text of the frame.
        text: Bytes,
    },
    /// Regular end of an answer.
    Ended {
        /// Attempt on whose connection the answer arrived.
        attempt: AttemptId,
        /// Attempt that the upstream names in the answer.
        echo: AttemptId,
        /// HTTP status.
        status: u16,
    },
    /// An attempt failed.
    Failed(AttemptId, Failure),
    /// Load report of the upstream with this name.
    Load(String, Load),
    /// Deployment that the upstream with this name reports to have loaded.
    Deployed(String, Deployment),
    /// Result of an order to the upstream with this name.
    Ordered(String, OrderResult),
    /// Prefixes that were added to an engine's cache or evicted from it.
    Cache {
        /// Name of the upstream.
        upstream: String,
        /// Number of the event; a skipped number means that events were lost.
        sequence: u64,
        /// Prefix hashes added.
        added: Vec<u64>,
        /// Prefix hashes evicted.
        evicted: Vec<u64>,
    },
    /// List of leaving hosts from the platform.
    Hosts {
        /// Names of the upstreams that are leaving.
        leaving: Vec<String>,
    },
    /// Message of a peer.
    Peer {
        /// Name of the sender.
        from: String,
        /// Incarnation of the sender.
        incarnation: u64,
        /// The message.
        message: peer::Message,
    },
    /// Reply of the key-value service.
    Kv(KvCall, KvReply),
    /// The process is to stop.
    Stop,
}
