//! Calls as callers submit them, decoded from their heads.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::time::Span;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Id of the part's text; equal texts have equal ids.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A submitted call that is not routed yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Submission {
    /// Request id that the caller assigned to this try.
    pub id: Bytes,
    /// Host name from the request, without a port.
    pub host: String,
    /// Path without its query.
    pub path: String,
    /// Bearer key, if there is one.
    pub key: Option<Bytes>,
    /// Time that the caller waits, from when it sends the call.
    pub patience: Option<Span>,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// Upper bound on the tokens of the answer.
    pub max_output_tokens: u32,
    /// The caller's estimate of the tokens of the answer.
    pub length_hint: Option<u32>,
    /// Id of the last event that the caller has, if the call resumes a stream.
    pub last_event: Option<Bytes>,
    /// Id of the caller's attempt that brought the first event of that stream, if it is stated.
    pub resumes: Option<Bytes>,
}

impl Submission {
    /// Length of the whole prompt in tokens.
    pub fn prompt_tokens(&self) -> u32 {
        self.parts.iter().map(|p| p.tokens).fold(0, u32::saturating_add)
    }
}
