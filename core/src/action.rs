//! Actions that a [`crate::node::Node`] returns for the driver to execute.

use bytes::Bytes;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Deployment;
use crate::event::AttemptId;
use crate::event::RequestId;
use crate::event::Target;
use crate::peer;
use crate::time::Span;

/// Whether a request without a whole answer has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
pub enum Verdict {
    /// It did not run and will not run.
    #[display("not_run")]
    NotRun,
    /// It may or may not have run.
    #[display("outcome_unknown")]
    OutcomeUnknown,
    /// It ran, but its answer is incomplete.
    #[display("incomplete")]
    Incomplete,
}

/// Reason for which a request got no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// No organisation has this key.
    UnknownKey,
    /// No class has this name.
    UnknownClass,
    /// No group serves this model or has the name of this service.
    UnknownTarget,
    /// The organisation has exceeded its limit.
    OverLimit,
    /// The request could not start within its class's patience.
    Overloaded,
    /// The request was evicted from a full queue in favour of a higher tier.
    Shed,
    /// The group has no upstream.
    NoUpstream,
    /// The upstream failed, and no further attempt was allowed.
    UpstreamFailed,
    /// The router has no configuration yet, or is stopping.
    NotServing,
    /// An `Idempotency-Key` without the prefix of an entry answer.
    KeyWithoutHome,
    /// The `Idempotency-Key` was used before with another request.
    KeyReused,
    /// The epoch of the key has ended, and its outcome is no longer stored.
    KeyExpired,
    /// The router that owns the key is gone or does not answer.
    HomeGone,
    /// The idempotency table is full.
    KeyTableFull,
}

/// Outcome of a request without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request has run.
    pub verdict: Verdict,
    /// Reason.
    pub reason: Reason,
    /// Time after which a retry may succeed.
    pub retry_after: Span,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// A whole answer.
    Whole {
        /// HTTP status.
        status: u16,
        /// Text of the answer; empty if it was streamed.
        text: Bytes,
        /// Tokens generated.
        tokens: u32,
    },
    /// No whole answer.
    Refused(Refusal),
}

/// An attempt to run a request at an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// Request of the caller; 0 if the request has an idempotency key.
    pub request: RequestId,
    /// Name of the upstream.
    pub upstream: String,
    /// Address of the upstream.
    pub address: String,
    /// Called model or service.
    pub target: Target,
    /// Body of the request.
    pub body: Bytes,
    /// Priority for the engine; 0 is the highest.
    pub priority: u8,
    /// Number of tokens that earlier attempts delivered; the engine resumes after them.
    pub offset: u32,
    /// Text of those tokens.
    pub partial: Bytes,
}

/// A call to the key-value service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KvCall {
    /// Linearizable read of a key.
    Get {
        /// Key.
        key: String,
    },
    /// Write if the key's modification revision is still `revision`; 0 means an absent key.
    Swap {
        /// Key.
        key: String,
        /// Expected modification revision.
        revision: i64,
        /// New value.
        value: Bytes,
    },
}

/// An order to an upstream to load a deployment. It is idempotent, as it states the deployment and
/// not a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Name of the upstream.
    pub upstream: String,
    /// Address of the upstream.
    pub address: String,
    /// Fencing token; an upstream that checks it refuses a lower one than it has seen.
    pub fence: i64,
    /// The deployment to load.
    pub deployment: Deployment,
}

/// A log line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Name of the event, in snake case.
    pub event: String,
    /// Fields in order.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// A log line for `event` without fields.
    pub fn new(event: &str) -> Line {
        Line { event: event.to_owned(), fields: Vec::new() }
    }

    /// Adds a field.
    pub fn with(mut self, name: &str, value: impl ToString) -> Line {
        self.fields.push((name.to_owned(), value.to_string()));
        self
    }
}

/// An action for the driver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Send an attempt to an upstream.
    Dispatch(Box<Dispatch>),
    /// Cancel an attempt.
    Cancel(AttemptId),
    /// Write part of an answer to a caller.
    Deliver {
        /// Request.
        request: RequestId,
        /// Number of tokens in the part.
        tokens: u32,
        /// Text of the part.
        text: Bytes,
    },
    /// End a request of a caller; no further action concerns it.
    Finish(RequestId, Outcome),
    /// Send a message to the router at a peer address.
    Send {
        /// Peer address.
        address: String,
        /// The message.
        message: peer::Message,
    },
    /// Drop the connection to a peer address, so that the next message opens a new one.
    Redial(String),
    /// Call the key-value service.
    Kv(KvCall),
    /// Send an order to an upstream.
    Order(Order),
    /// Write a log line.
    Log(Line),
    /// Exit the process.
    Exit,
}
