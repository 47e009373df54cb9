//! Messages by which a gateway obtains a permit from its issuer.

use serde::Deserialize;
use serde::Serialize;

use super::Record;
use super::issuer::Request;
use super::issuer::Verdict;
use crate::time::Span;

/// Request for a permit, and who issues it.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// Address of the issuer; `None` if it is this gateway.
    pub issuer: Option<String>,
    /// The request.
    pub request: Request,
}

/// Answer of an issuer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The decision.
    pub verdict: Verdict,
    /// Limit of the replica, as far as the issuer knows.
    pub limit: Option<Record>,
}

/// Whether a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The call may be sent after this time.
    Granted(Span),
    /// The call may not be sent to this replica.
    Denied,
}
