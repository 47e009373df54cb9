//! Why a gateway ends a call with an answer of its own.

use derive_more::Display;

use crate::time::Span;

/// Why a call got no answer of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The configuration was last proved current too long ago to honour a key.
    StaleConfiguration,
    /// The gateway is leaving and may end before the call does.
    Stopping,
    /// No route matches host and path.
    NoRoute,
    /// The key belongs to no organisation, or is missing.
    UnknownKey,
    /// No replica of the service may get work.
    NoReplica,
    /// Every replica has more work than could be done in time.
    Overloaded,
    /// Replicas ended one after the other while they ran what the call asks for.
    Quarantined,
    /// A replica refused the call without running it.
    ReplicaRefused,
    /// The call may have run and must not be repeated, or may not be repeated any more.
    ReplicaFailed,
    /// The route's or the caller's time is over.
    TimedOut,
}

/// The gateway's own end of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// No replica has run the call, and none will.
    pub not_run: bool,
    /// When a new try is worth while.
    pub retry_after: Span,
}

impl Refusal {
    /// A refusal of a call that no replica has run.
    pub fn not_run(reason: Reason, retry_after: Span) -> Refusal {
        Refusal { reason, not_run: true, retry_after }
    }

    /// The end of a call that a replica may have run.
    pub fn unknown(reason: Reason) -> Refusal {
        Refusal { reason, not_run: false, retry_after: Span(0) }
    }
}
