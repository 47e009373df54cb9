//! Limits that replicas in need state: the requests a second that one takes from all gateways
//! together, for as long as its answers say so.

use std::collections::BTreeMap;

use crate::incarnation::Digest;

/// What the head of an answer says about the limit of its replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Statement {
    /// The replica has no limit.
    #[default]
    Unlimited,
    /// The replica takes this many requests a second.
    Rate(f64),
    /// The value can't be read, which says nothing about the limit.
    Malformed,
}

impl Statement {
    /// Reads a number of requests a second.
    pub fn parse(text: &str) -> Statement {
        match text.trim().parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Statement::Rate(rate),
            _ => Statement::Malformed,
        }
    }
}

/// Change of a replica's limit, in requests a second; `None` is no limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Limit before.
    pub before: Option<f64>,
    /// Limit from now on.
    pub after: Option<f64>,
}

/// Limits of replicas in requests a second, as far as this gateway knows them.
#[derive(Debug, Default)]
pub struct Table {
    rates: BTreeMap<Digest, f64>,
}

impl Table {
    /// Records what a replica stated; returns the change, if there is one.
    pub fn record(&mut self, replica: Digest, rate: Option<f64>) -> Option<Change> {
        let before = match rate {
            Some(rate) => self.rates.insert(replica, rate),
            None => self.rates.remove(&replica),
        };
        (before != rate).then_some(Change { before, after: rate })
    }
}
