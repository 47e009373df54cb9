//! What a caller asks for, decoded from the head of its call.

use bytes::Bytes;

use crate::time::Span;

/// One part of a prompt, in the order of the prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identity of its text; equal parts have equal ids.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A call before it is routed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Submission {
    /// The caller's id of this try.
    pub id: Bytes,
    /// Host that the caller named, without a port.
    pub host: String,
    /// Path without its query.
    pub path: String,
    /// Bearer key, if the caller gave one.
    pub key: Option<Bytes>,
    /// How long the caller waits, counted from its sending.
    pub patience: Option<Span>,
    /// Parts of the prompt.
    pub parts: Vec<Part>,
    /// Most tokens the answer may have.
    pub max_output_tokens: u32,
}

impl Submission {
    /// Tokens of the whole prompt.
    pub fn prompt_tokens(&self) -> u32 {
        self.parts.iter().map(|p| p.tokens).fold(0, u32::saturating_add)
    }
}
