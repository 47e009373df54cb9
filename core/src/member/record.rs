//! Records of the member table: a router's own state and the verdict of other routers.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// State of a router by its own report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[display(rename_all = "lowercase")]
pub enum State {
    /// Starting, not ready for callers.
    Joining,
    /// Accepts callers.
    Serving,
    /// Still serves requests, but callers are no longer sent to it.
    Leaving,
    /// Stopped as planned.
    Left,
}

/// Verdict of other routers, in ascending order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[display(rename_all = "lowercase")]
pub enum Verdict {
    /// The router answers probes.
    Alive,
    /// The router did not answer a probe.
    Suspect,
    /// The router neither answered nor refuted the suspicion in time.
    Dead,
}

/// Record of a router, written by itself, with the verdict of other routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name, unique among the routers.
    pub name: String,
    /// Incarnation of the process; higher after each restart.
    pub incarnation: u64,
    /// Version of this record within the incarnation.
    pub version: u64,
    /// State by the router's own report.
    pub state: State,
    /// Verdict of other routers on this version.
    pub verdict: Verdict,
    /// Failure domain of the router.
    pub failure_domain: String,
    /// Address that callers connect to.
    pub caller_address: String,
    /// Address for messages of other routers.
    pub peer_address: String,
    /// Current epoch of its idempotency keys.
    pub epoch: u32,
    /// Homes of other incarnations whose idempotency keys it has taken over.
    pub adopted: Vec<String>,
}

impl Record {
    /// Of two records of a router, the one with the higher precedence replaces the other.
    pub(super) fn precedence(&self) -> (u64, u64, Verdict) {
        (self.incarnation, self.version, self.verdict)
    }

    /// Home of the idempotency keys that this incarnation issues.
    pub fn home(&self) -> String {
        home(&self.name, self.incarnation)
    }

    /// Whether callers may be sent to the router.
    pub fn accepts_callers(&self) -> bool {
        self.state == State::Serving && self.verdict == Verdict::Alive
    }

    /// Whether the router has neither stopped nor been declared dead.
    pub fn is_live(&self) -> bool {
        self.verdict != Verdict::Dead && self.state != State::Left
    }
}

/// Home of the idempotency keys that an incarnation of a router issues.
pub fn home(name: &str, incarnation: u64) -> String {
    format!("{name}.{incarnation:x}")
}
