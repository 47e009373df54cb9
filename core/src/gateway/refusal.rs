//! Refusals: answers by which the gateway itself ends a call, and their reasons.

use derive_more::Display;

use crate::time::Span;

/// Reason for which a call got no answer from a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The configuration was last proved current too long ago to accept a key.
    StaleConfiguration,
    /// The gateway is stopping and may end before the call does.
    Stopping,
    /// No route matches host and path.
    NoRoute,
    /// The key belongs to no organisation, or is missing.
    UnknownKey,
    /// No replica of the service is usable.
    NoReplica,
    /// The call resumes a stream whose origin no gateway knows.
    UnknownOrigin,
    /// The call resumes a stream, and no replica has the build that began it.
    BuildGone,
    /// Every replica is too loaded to answer in time.
    Overloaded,
    /// The engines that the call may go to have no memory left for its prompt and answer.
    EngineMemoryFull,
    /// This gateway has no place left at the replicas, which are brittle.
    NoPlace,
    /// Every replica has a limit, and its permits go to other calls.
    Limited,
    /// Every replica asked for a time without calls, or has just begun to get some again.
    CoolingDown,
    /// The request is quarantined, because several replicas crashed while they ran it.
    Quarantined,
    /// The prompt has a quarantined part, because several replicas crashed while they ran requests
    /// with it.
    PartQuarantined,
    /// The gateway serves as many calls for others as it can.
    Saturated,
    /// The gateway holds as many bytes of calls as it may.
    MemoryScarce,
    /// The gateway that the call was delegated to refused it.
    DelegateRefused,
    /// A replica refused the call without running it.
    ReplicaRefused,
    /// A replica failed, and the call is not retried: it may have run and must not run twice, or
    /// too many attempts were made.
    ReplicaFailed,
    /// The route's timeout or the caller's patience has ended.
    TimedOut,
}

/// A call's end by the gateway itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Whether it is certain that no replica has run the call or will run it.
    pub not_run: bool,
    /// Time after which the caller may retry.
    pub retry_after: Span,
}

impl Refusal {
    /// A refusal of a call that no replica has run.
    pub const fn not_run(reason: Reason, retry_after: Span) -> Refusal {
        Refusal { reason, not_run: true, retry_after }
    }

    /// A refusal of a call that a replica may have run.
    pub fn unknown(reason: Reason) -> Refusal {
        Refusal { reason, not_run: false, retry_after: Span(0) }
    }
}
