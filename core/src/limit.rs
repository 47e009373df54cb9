//! Enforces limits of organisations in requests and tokens a second, summed over all routers.
//!
//! Each router has token buckets for each organisation and refills them at its share of the limit.
//! Routers that report their usage have shares in proportion to it; a router that does not report
//! has an equal share. The shares of all routers that reach each other add up to at most the limit,
//! so the overshoot is at most one bucket depth for each router; in a partition, each side may use
//! the whole limit. docs/design/limits.md states and measures the bound.

use std::collections::BTreeMap;

use crate::config::OrgKey;
use crate::time::Span;
use crate::time::Time;

/// Depth of a bucket, in seconds of refill at the router's share.
pub const BUCKET_DEPTH_SECS: f64 = 1.0;
/// Retention of the usage reported by a peer.
pub const REPORT_RETENTION: Span = Span::secs(10);
/// Weight of the newest measurement in the moving average of a rate.
const RATE_SMOOTHING: f64 = 0.3;
/// Shortest period over which a rate is measured; a rate over a shorter one is mostly noise.
const MIN_MEASUREMENT: Span = Span::millis(200);
/// Rate in requests a second above which usage is reported to peers.
const MIN_REPORTED_RATE: f64 = 0.01;
/// Rate in requests a second up to which an account that no peer uses is deleted.
const MIN_KEPT_RATE: f64 = 0.001;
/// Fraction of a limit that is divided equally, so that a router without demand can start.
const EQUAL_FRACTION: f64 = 0.1;

/// Token bucket of one limit with the measured rate of its demand.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Requests or tokens available now; negative after a request larger than the bucket.
    level: f64,
    /// Demand since the last measurement.
    used: f64,
    /// Moving average of the demand a second.
    rate: f64,
}

impl Bucket {
    /// Adds `elapsed` seconds of refill at `rate`, up to the depth of the bucket.
    fn refill(&mut self, rate: f64, elapsed: f64) {
        let depth = (rate * BUCKET_DEPTH_SECS).max(1.0);
        self.level = (self.level + rate * elapsed).min(depth);
    }

    /// Updates the rate by the demand of the last `elapsed` seconds.
    fn measure(&mut self, elapsed: f64) {
        let now = self.used / elapsed;
        self.rate += (now - self.rate) * RATE_SMOOTHING;
        self.used = 0.0;
    }
}

/// Buckets of one organisation, and the usage that peers report for it.
#[derive(Debug, Default)]
struct Account {
    refilled: Time,
    requests: Bucket,
    tokens: Bucket,
    /// Reports by peer: time, requests a second, tokens a second.
    peers: BTreeMap<String, (Time, f32, f32)>,
    is_initialised: bool,
}

/// Limits of one organisation; 0 means no limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Requests a second.
    pub requests: u32,
    /// Tokens a second.
    pub tokens: u32,
}

/// Accounts of the organisations that use this router or were reported by peers.
#[derive(Debug, Default)]
pub struct Limits {
    accounts: BTreeMap<OrgKey, Account>,
    measured: Time,
}

/// Number of routers that share the limits, and of those that report their usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Routers {
    /// Number of live routers, this one included.
    pub live: usize,
    /// Number of other live routers with a fresh report.
    pub reporting: usize,
}

/// This router's share of `limit`.
///
/// A router that does not report keeps an equal share, which it may be using. The rest is divided
/// among the routers that report, in proportion to their usage.
fn share(limit: u32, own: f64, others: f64, routers: Routers) -> f64 {
    let live = routers.live.max(1) as f64;
    let reporting = (routers.reporting as f64 + 1.0).min(live);
    let divisible = f64::from(limit) * reporting / live;
    let total = own + others;
    if total <= 0.0 {
        return divisible / reporting;
    }
    divisible * (EQUAL_FRACTION / reporting + (1.0 - EQUAL_FRACTION) * own / total)
}

impl Limits {
    /// Withdraws one request and its estimated tokens from the buckets of an organisation.
    ///
    /// # Errors
    ///
    /// The time until the request is within this router's share of the limit.
    pub fn take(
        &mut self,
        now: Time,
        org: OrgKey,
        limit: Limit,
        tokens: u32,
        routers: Routers,
    ) -> Result<(), Span> {
        if limit.requests == 0 && limit.tokens == 0 {
            return Ok(());
        }
        let account = self.accounts.entry(org).or_default();
        let (mut other_requests, mut other_tokens) = (0.0, 0.0);
        for (at, requests, tokens) in account.peers.values() {
            if now.since(*at) <= REPORT_RETENTION {
                other_requests += f64::from(*requests);
                other_tokens += f64::from(*tokens);
            }
        }
        let requests_rate = share(limit.requests, account.requests.rate, other_requests, routers);
        let tokens_rate = share(limit.tokens, account.tokens.rate, other_tokens, routers);
        let elapsed = now.since(account.refilled).as_secs_f64();
        if !account.is_initialised {
            account.is_initialised = true;
            account.requests.level = (requests_rate * BUCKET_DEPTH_SECS).max(1.0);
            account.tokens.level = (tokens_rate * BUCKET_DEPTH_SECS).max(1.0);
        }
        account.requests.refill(requests_rate, elapsed);
        account.tokens.refill(tokens_rate, elapsed);
        account.refilled = now;
        // Refused requests count as usage too, because shares follow demand.
        account.requests.used += 1.0;
        account.tokens.used += f64::from(tokens);
        if limit.requests > 0 && account.requests.level < 1.0 {
            let wait = (1.0 - account.requests.level) / requests_rate.max(1e-6);
            return Err(Span::from_secs_f64(wait));
        }
        // A request larger than the bucket is admitted when the bucket is full, and the level
        // becomes negative.
        let required = f64::from(tokens).min((tokens_rate * BUCKET_DEPTH_SECS).max(1.0));
        if limit.tokens > 0 && account.tokens.level < required {
            let wait = (required - account.tokens.level) / tokens_rate.max(1e-6);
            return Err(Span::from_secs_f64(wait));
        }
        account.requests.level -= 1.0;
        account.tokens.level -= f64::from(tokens);
        Ok(())
    }

    /// Replaces the tokens estimated at admission by the actual number.
    pub fn reconcile(&mut self, org: OrgKey, estimated: u32, actual: u32) {
        if let Some(account) = self.accounts.get_mut(&org) {
            account.tokens.level += f64::from(estimated) - f64::from(actual);
        }
    }

    /// Stores a peer's report of its usage.
    pub fn receive(&mut self, now: Time, org: OrgKey, peer: &str, requests: f32, tokens: f32) {
        let account = self.accounts.entry(org).or_default();
        let sanitise = |v: f32| if v.is_finite() { v.max(0.0) } else { 0.0 };
        account.peers.insert(peer.to_owned(), (now, sanitise(requests), sanitise(tokens)));
    }

    /// Rates of organisations with notable usage, in requests and tokens a second.
    ///
    /// Returns the last measured rates if they are less than 200 ms old: reports may follow each
    /// other closely, and a rate over a shorter period is mostly noise.
    pub fn measure(&mut self, now: Time) -> Vec<(OrgKey, f32, f32)> {
        let elapsed = now.since(self.measured);
        if elapsed >= MIN_MEASUREMENT {
            self.measured = now;
            for account in self.accounts.values_mut() {
                account.requests.measure(elapsed.as_secs_f64());
                account.tokens.measure(elapsed.as_secs_f64());
                account.peers.retain(|_, (at, _, _)| now.since(*at) <= REPORT_RETENTION);
            }
            self.accounts.retain(|_, a| a.requests.rate > MIN_KEPT_RATE || !a.peers.is_empty());
        }
        let active = self.accounts.iter().filter(|(_, a)| a.requests.rate > MIN_REPORTED_RATE);
        let rates = |a: &Account| (a.requests.rate as f32, a.tokens.rate as f32);
        active.map(|(org, a)| (*org, rates(a).0, rates(a).1)).collect()
    }
}
