//! Order of the states of the store across rollbacks.

use derive_more::Display;

/// Position of a state of the store. After a rollback the store assigns the same revisions again,
/// so positions are ordered by era first and by revision within an era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{era}.{revision}")]
pub struct Position {
    /// Number of rollbacks of the store; 0 if the store reports none.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}
