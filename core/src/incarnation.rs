//! One run of a replica, told apart from earlier and later runs under the same identity.
//!
//! A replica that starts again may keep its identity. It holds nothing of what it held before, so
//! whatever was learnt of one run must never be taken for another's. An identity alone therefore
//! names no run: it takes the start as well.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::rendezvous;

/// A run of a replica.
///
/// Starts are only compared for equality. The host that states them may have a clock that is set
/// back or lies in the future, so which of two runs is there now is told by the order of the lists
/// that name them, never by which start is the greater.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{id}")]
pub struct Incarnation {
    /// Identity, which outlives the run.
    pub id: String,
    /// Start in Unix milliseconds, if it is stated.
    #[serde(rename = "born")]
    pub start_ms: Option<u64>,
}

/// Short hash of a run, unlike that of any other run of the same replica: what is said of one run
/// is never taken for another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{_0:08x}")]
pub struct Digest(pub u32);

impl Incarnation {
    /// A run without a stated start.
    pub fn without_start(id: &str) -> Incarnation {
        Incarnation { id: id.to_owned(), start_ms: None }
    }

    /// The run that began at `start_ms`.
    pub fn new(id: &str, start_ms: u64) -> Incarnation {
        Incarnation { id: id.to_owned(), start_ms: Some(start_ms) }
    }

    /// Hash of identity and start.
    pub fn hash(&self) -> u64 {
        match self.start_ms {
            Some(start_ms) => rendezvous::hash(&[self.id.as_bytes(), &start_ms.to_le_bytes()]),
            None => rendezvous::hash(&[self.id.as_bytes()]),
        }
    }

    /// Short hash, by which gateways speak of the run.
    pub fn digest(&self) -> Digest {
        Digest(self.hash() as u32)
    }
}
