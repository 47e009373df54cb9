//! Entry answers: the router addresses that a caller should use, and their lifetime.
//!
//! There is no load balancer in front of the routers, so these answers distribute the callers.

use rand::Rng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;

use crate::member::Record;
use crate::time::Span;

/// Time for which a caller may cache an answer.
pub const TTL: Span = Span::secs(10);
/// Upper bound on the addresses in one answer.
const MAX_ADDRESSES: usize = 4;
/// Weight of a router outside the caller's failure domain, relative to one within it.
const REMOTE_WEIGHT: f64 = 0.05;

/// One address of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// IP address and port.
    pub address: String,
    /// Failure domain of the router.
    pub failure_domain: String,
    /// Prefix of idempotency keys whose home is this router; the caller appends a suffix of its
    /// choice. A caller that reaches the address thereby knows that the home of its key is alive.
    pub key_prefix: String,
}

/// An entry answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Addresses in the order in which to try them.
    pub addresses: Vec<Address>,
    /// Time for which the answer may be cached, in milliseconds.
    pub ttl_ms: u64,
}

/// A router that may be returned to a caller, and its demand.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The router.
    pub record: &'a Record,
    /// Number of its requests at upstreams and in queues.
    pub demand: u32,
}

/// Builds the answer for one caller; `None` if there are no candidates.
///
/// The order of the addresses is a weighted random permutation that prefers routers in the caller's
/// failure domain and routers with little demand. The second address is in another failure domain
/// if there is one, so that the loss of a domain costs a caller only one failed connection.
pub fn answer(
    candidates: &[Candidate<'_>],
    failure_domain: Option<&str>,
    rng: &mut SmallRng,
) -> Option<Answer> {
    let mean = candidates.iter().map(|c| f64::from(c.demand)).sum::<f64>()
        / candidates.len().max(1) as f64;
    let mut ranked: Vec<(f64, &Record)> = candidates
        .iter()
        .map(|c| {
            let is_local = failure_domain.is_none_or(|d| d == c.record.failure_domain);
            let locality = if is_local { 1.0 } else { REMOTE_WEIGHT };
            let weight = locality * (mean + 1.0) / (f64::from(c.demand) + 1.0).max(mean / 4.0);
            let uniform: f64 = rng.random();
            (-(1.0 - uniform).ln() / weight, c.record)
        })
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    let first = ranked.first()?.1;
    let alternate = ranked.iter().position(|(_, r)| r.failure_domain != first.failure_domain);
    if let Some(index) = alternate.filter(|index| *index > 1) {
        ranked[1..=index].rotate_right(1);
    }
    let addresses = ranked.iter().take(MAX_ADDRESSES).map(|(_, r)| Address {
        address: r.caller_address.clone(),
        failure_domain: r.failure_domain.clone(),
        key_prefix: crate::idempotency::prefix(&r.home(), r.epoch),
    });
    Some(Answer { addresses: addresses.collect(), ttl_ms: TTL.as_millis() })
}
