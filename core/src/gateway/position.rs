//! Where a state of the store stands among all of its states.

use derive_more::Display;

/// A revision of one life of the store. Revisions are given out again after a return to an older copy,
/// so two are only compared with their eras, and the era counts first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{era}.{revision}")]
pub struct Position {
    /// Rises by one with each return; 0 if the store states none.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}
