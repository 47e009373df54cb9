//! Entry answers: which router addresses a caller should use, and for how long.
//!
//! No balancer stands in front of the routers, so the answers are what spreads the callers.

use rand::Rng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;

use crate::member::Record;
use crate::time::Span;

/// How long a caller may keep an answer.
pub const TTL: Span = Span::secs(10);
/// Addresses in one answer.
const ADDRESSES: usize = 4;
/// Of two routers, the one with less demand is drawn; the caller's own domain counts this much.
const FOREIGN_WEIGHT: f64 = 0.05;

/// One address of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// IP address and port.
    pub address: String,
    /// Failure domain of the router.
    pub failure_domain: String,
    /// What an `Idempotency-Key` must begin with whose home is this router; a suffix of the
    /// caller's own follows. A caller that reaches the address has a home that is alive.
    pub key_prefix: String,
}

/// An entry answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Addresses in the order to try them.
    pub addresses: Vec<Address>,
    /// How long the answer may be kept, in milliseconds.
    pub ttl_ms: u64,
}

/// A router that callers may be sent to, and what it has to do.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The router.
    pub record: &'a Record,
    /// Requests at upstreams and in queues.
    pub demand: u32,
}

/// Orders candidates for one caller; `None` if there are none.
///
/// The order is a weighted random draw: a router in the caller's domain, or with little demand,
/// comes early. The second address is in another failure domain where there is one, so that the
/// loss of a domain costs a caller one failed connection.
pub fn answer(
    candidates: &[Candidate<'_>],
    failure_domain: Option<&str>,
    rng: &mut SmallRng,
) -> Option<Answer> {
    let mean = candidates.iter().map(|c| f64::from(c.demand)).sum::<f64>()
        / candidates.len().max(1) as f64;
    let mut drawn: Vec<(f64, &Record)> = candidates
        .iter()
        .map(|c| {
            let near = failure_domain.is_none_or(|d| d == c.record.failure_domain);
            let place = if near { 1.0 } else { FOREIGN_WEIGHT };
            let weight = place * (mean + 1.0) / (f64::from(c.demand) + 1.0).max(mean / 4.0);
            let unit: f64 = rng.random();
            (-(1.0 - unit).ln() / weight, c.record)
        })
        .collect();
    drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
    let first = drawn.first()?.1;
    let alternate = drawn.iter().position(|(_, r)| r.failure_domain != first.failure_domain);
    if let Some(at) = alternate.filter(|at| *at > 1) {
        drawn[1..=at].rotate_right(1);
    }
    let addresses = drawn.iter().take(ADDRESSES).map(|(_, r)| Address {
        address: r.caller_address.clone(),
        failure_domain: r.failure_domain.clone(),
        key_prefix: crate::idempotency::prefix(&r.home(), r.epoch),
    });
    Some(Answer { addresses: addresses.collect(), ttl_ms: TTL.as_millis() })
}
