//! What routers say of themselves and of one another.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// What a router says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[display(rename_all = "lowercase")]
pub enum State {
    /// Not ready for callers.
    Joining,
    /// Takes callers.
    Serving,
    /// Serves on, but callers are no longer sent to it.
    Leaving,
    /// Has exited by plan.
    Left,
}

/// What other routers say of a router, by rising weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[display(rename_all = "lowercase")]
pub enum Verdict {
    /// It answers.
    Alive,
    /// It does not answer some router.
    Suspect,
    /// It has not answered or objected.
    Dead,
}

/// A router's record, written by itself, with the verdict of others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name, unique among the routers.
    pub name: String,
    /// Number of this run of the process; a later run has a higher one.
    pub incarnation: u64,
    /// Version of this record within the incarnation.
    pub version: u64,
    /// State by its own word.
    pub state: State,
    /// Verdict of others on this version.
    pub verdict: Verdict,
    /// Failure domain it runs in.
    pub failure_domain: String,
    /// Address for callers.
    pub caller_address: String,
    /// Address for peers.
    pub peer_address: String,
    /// Epoch of its idempotency keys.
    pub epoch: u32,
    /// Homes of other incarnations whose keys it has taken over.
    pub adopted: Vec<String>,
}

impl Record {
    pub(super) fn precedence(&self) -> (u64, u64, Verdict) {
        (self.incarnation, self.version, self.verdict)
    }

    /// Base of the idempotency keys whose home is this incarnation.
    pub fn home(&self) -> String {
        home(&self.name, self.incarnation)
    }

    /// Whether callers may be sent to it.
    pub fn accepts_callers(&self) -> bool {
        self.state == State::Serving && self.verdict == Verdict::Alive
    }

    /// Whether it takes part at all.
    pub fn is_live(&self) -> bool {
        self.verdict != Verdict::Dead && self.state != State::Left
    }
}

/// Base of the idempotency keys whose home is this incarnation of a router.
pub fn home(name: &str, incarnation: u64) -> String {
    format!("{name}.{incarnation:x}")
}
