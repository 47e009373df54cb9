//! Queues of calls that wait for a place at a replica.
//!
//! The owner of a replica, which counts the calls of all gateways there, keeps one bounded
//! [`queue::Queue`] for it. All replicas of a plain service with few of them have one owner and one
//! [`service::Queue`], which grants a place at whichever has one first. A gateway whose chosen replica has no free place asks the owner for one
//! and sends the call once it is granted. The owner orders the calls by rank, then by the work that
//! each organisation was granted lately, then by the time at which they must start. A
//! [`ticket::Table`] remembers the first arrival of refused calls, so that they are recognised when
//! they return at any gateway.

pub mod queue;
pub mod room;
pub mod service;
pub mod share;
pub mod table;
pub mod ticket;

use serde::Deserialize;
use serde::Serialize;

use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Upper bound on the expected prefill time in a valid request, in milliseconds.
const MAX_PREFILL_MS: f32 = 10_000.0;

/// Expected time from sending a call to a plain replica to its answer, in milliseconds.
pub const PLAIN_MS: f64 = 30.0;

/// Request for a place at a replica; repeated while the call waits.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Incarnation of the replica.
    pub replica: Digest,
    /// The call: its gateway's short hash in the upper half, and that gateway's number for it in
    /// the lower half, as in [`crate::gateway::occupancy::Update`].
    pub call: u64,
    /// Rank of the call's route; 0 is the highest.
    pub rank: u8,
    /// Rank of the call's organisation, which is compared after the route's.
    pub organisation_rank: u8,
    /// Whether the prompts of all other calls at the replica are read before this one's.
    pub is_lowest_rank: bool,
    /// Short hash of the organisation's name; 0 on a public route.
    pub organisation: u32,
    /// Expected prefill time of the prompt in milliseconds; 0 at a plain replica.
    pub prefill_ms: f32,
    /// Time within which the call must be sent for its first event to be on time, in milliseconds;
    /// negative if that time has passed.
    pub on_time_ms: i32,
    /// Time within which the call must be sent for any answer to reach its caller, in milliseconds.
    pub limit_ms: u32,
    /// Calls at the replica, this one included, up to which the call gets a place.
    pub max_calls: u16,
    /// Calls that the replica runs at a time.
    pub slots: u16,
    /// Whether the call was refused before and has returned.
    pub is_returning: bool,
}

impl Request {
    /// Whether the values are in bounds. A NaN would make the comparison of shares meaningless.
    pub fn is_valid(&self) -> bool {
        (0.0..=MAX_PREFILL_MS).contains(&self.prefill_ms) && self.max_calls > 0 && self.slots > 0
    }
}

/// Request for a place, and the gateway to send it to.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// Address of the replica's owner; `None` if it is this gateway.
    pub owner: Option<String>,
    /// The request.
    pub request: Request,
    /// Time at which the call must be sent for its first event to be on time.
    pub on_time_until: i64,
    /// Time at which the call must be sent for any answer to reach its caller.
    pub limit: Time,
}

impl Query {
    /// The request at `now`, for a call that first arrived `age` before its arrival here.
    pub fn request_at(&self, now: Time, returning: Option<Span>) -> Request {
        let age = returning.map_or(0, |age| age.0 as i64);
        let on_time_ms = (self.on_time_until - age - now.0 as i64).div_euclid(1_000);
        Request {
            on_time_ms: on_time_ms.clamp(i64::from(i32::MIN), i64::from(i32::MAX)) as i32,
            limit_ms: self.limit.since(now).as_millis().min(u64::from(u32::MAX)) as u32,
            is_returning: returning.is_some(),
            ..self.request
        }
    }
}

/// Why an owner refuses a call.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[display(rename_all = "snake_case")]
pub enum Cause {
    /// No place is likely before the caller leaves.
    Hopeless,
    /// The queue is full of calls that go before this one.
    Full,
}

/// Answer of an owner to a request for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The call may be sent now; its place is reserved for [`queue::RESERVATION_TTL`].
    Granted,
    /// The call waits.
    Queued,
    /// The call must not be sent; a place is likely after this many milliseconds.
    Refused(Cause, u32),
    /// The gateway does not own the replica, does not know its calls yet, or has seen the call end.
    Unknown,
    /// The call may be sent now to the replica with this incarnation, which need not be the one that
    /// was asked for.
    GrantedAt(Digest),
}

/// An answer for the call with this number.
pub type Decision = (u64, Answer);
