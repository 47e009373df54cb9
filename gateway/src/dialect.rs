//! How calls and answers are written: header names and formats of one platform.

pub mod own;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::http::request;
use laburnumwheel_core::gateway::Rank;
use laburnumwheel_core::gateway::fleet::Load;
use laburnumwheel_core::gateway::submission::Submission;

/// What the gateway adds to a call for one attempt.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// Run of a replica that must answer, and no other.
    pub replica: &'a str,
    /// Organisation by name, if the call needed a key.
    pub organisation: Option<&'a str>,
    /// Milliseconds that are left.
    pub remaining_ms: u64,
    /// How urgent it is.
    pub rank: Rank,
    /// Last event that the caller has, if the stream goes on.
    pub last_event: Option<&'a Bytes>,
    /// The replica is a model engine.
    pub engine: bool,
}

/// What the head of a replica's answer says.
#[derive(Clone, Debug, Default)]
pub struct Metadata {
    /// Id of the call that it answers.
    pub id: Option<Bytes>,
    /// It bears the proof that a replica made it.
    pub sealed: bool,
    /// The replica did not run the call.
    pub not_run: bool,
    /// Load of the replica.
    pub load: Option<Load>,
    /// Seconds that the connection may rest.
    pub keep_alive: Option<u64>,
}

/// What is wrong with a call's head.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// A header that is needed is missing.
    #[error("header {0} is missing")]
    Missing(&'static str),
    /// A header has a value that can't be understood.
    #[error("header {name} has the value {value:?}, which is not {expected}")]
    Value {
        /// Header.
        name: &'static str,
        /// What stands there.
        value: String,
        /// What should stand there.
        expected: &'static str,
    },
}

/// Reading and writing of heads.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Reads the head of a call.
    pub parse_call: fn(&request::Parts) -> Result<Submission, Malformed>,
    /// Changes a call's headers for one attempt.
    pub prepare_attempt: fn(&mut HeaderMap, &Attempt<'_>),
    /// Reads the head of an answer.
    pub parse_response: fn(&HeaderMap) -> Metadata,
    /// Writes the id of the call on an answer of the gateway's own.
    pub set_request_id: fn(&mut HeaderMap, &Bytes),
}
