//! Identifies one incarnation of a replica, from one start of its process to the next.
//!
//! A restarted replica may keep its id, but none of its earlier state. State recorded for one
//! incarnation must not be applied to another, so an incarnation is identified by the id together
//! with the start time.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::rendezvous;

/// An incarnation of a replica.
///
/// Start times are only compared for equality. The clock of the host that reports them may be wrong
/// or set back, so the current one of two incarnations is the one in the newer list of replicas,
/// not the one with the greater start time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{id}")]
pub struct Incarnation {
    /// Id of the replica, which may be the same after a restart.
    pub id: String,
    /// Start time in Unix milliseconds, if it is reported.
    #[serde(rename = "born")]
    pub start_ms: Option<u64>,
}

/// Short hash of an incarnation, which distinguishes it from others of the same replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{_0:08x}")]
pub struct Digest(pub u32);

impl Incarnation {
    /// An incarnation without a reported start time.
    pub fn without_start(id: &str) -> Incarnation {
        Incarnation { id: id.to_owned(), start_ms: None }
    }

    /// The incarnation that started at `start_ms`, in Unix milliseconds.
    pub fn new(id: &str, start_ms: u64) -> Incarnation {
        Incarnation { id: id.to_owned(), start_ms: Some(start_ms) }
    }

    /// Hash of the id and the start time.
    pub fn hash(&self) -> u64 {
        match self.start_ms {
            Some(start_ms) => rendezvous::hash(&[self.id.as_bytes(), &start_ms.to_le_bytes()]),
            None => rendezvous::hash(&[self.id.as_bytes()]),
        }
    }

    /// Short hash that identifies the incarnation in messages between gateways.
    pub fn digest(&self) -> Digest {
        Digest(self.hash() as u32)
    }
}
