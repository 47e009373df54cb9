//! Limits of organisations in requests and tokens a second, held over all routers.
//!
//! Each router holds a share of the limit: with news from its peers in proportion to demand,
//! without news an equal part. Shares of all routers that can see each other add up to at most
//! the limit, so the overshoot is bounded by one bucket depth a router, and in a partition by
//! the number of its sides. docs/design/limits.md states and measures the bound.

use std::collections::BTreeMap;

use crate::config::OrgKey;
use crate::time::Span;
use crate::time::Time;

/// Bucket depth, in seconds of the share.
pub const BUCKET_DEPTH_SECS: f64 = 1.0;
/// Peers' reports of use are forgotten after this long.
pub const REPORT_RETENTION: Span = Span::secs(10);
const USE_STEP: f64 = 0.3;
/// Shortest time that a rate is measured over.
const MEASURE: Span = Span::millis(200);
/// Rates in requests a second above which use is told to peers, and below which it is forgotten.
const TOLD: f64 = 0.01;
const IDLE: f64 = 0.001;
/// Part of a limit that is divided equally, so that a router without demand can start.
const FLOOR: f64 = 0.1;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    level: f64,
    used: f64,
    rate: f64,
}

impl Bucket {
    fn refill(&mut self, rate: f64, elapsed: f64) {
        let depth = (rate * BUCKET_DEPTH_SECS).max(1.0);
        self.level = (self.level + rate * elapsed).min(depth);
    }

    fn measure(&mut self, elapsed: f64) {
        let now = self.used / elapsed;
        self.rate += (now - self.rate) * USE_STEP;
        self.used = 0.0;
    }
}

#[derive(Debug, Default)]
struct Account {
    refilled: Time,
    requests: Bucket,
    tokens: Bucket,
    peers: BTreeMap<String, (Time, f32, f32)>,
    fresh: bool,
}

/// Limits of one organisation; 0 means none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Requests a second.
    pub requests: u32,
    /// Tokens a second.
    pub tokens: u32,
}

/// Accounts of all organisations seen by this router.
#[derive(Debug, Default)]
pub struct Limits {
    accounts: BTreeMap<OrgKey, Account>,
    measured: Time,
}

/// How many routers share the limits, and how many of the others report their use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Routers {
    /// Live routers, this one included.
    pub live: usize,
    /// Live others whose report is fresh.
    pub reporting: usize,
}

/// This router's part of `limit`.
///
/// A silent router keeps an equal part, which it may be using; the rest is divided among the
/// routers that report, in proportion to what they use.
fn share(limit: u32, own: f64, others: f64, routers: Routers) -> f64 {
    let live = routers.live.max(1) as f64;
    let known = (routers.reporting as f64 + 1.0).min(live);
    let divided = f64::from(limit) * known / live;
    let total = own + others;
    if total <= 0.0 {
        return divided / known;
    }
    divided * (FLOOR / known + (1.0 - FLOOR) * own / total)
}

impl Limits {
    /// Takes one request of `tokens` estimated tokens; on refusal, when the next may pass.
    ///
    /// # Errors
    ///
    /// The time until this router's share of the limit allows the request.
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
        if !account.fresh {
            account.fresh = true;
            account.requests.level = (requests_rate * BUCKET_DEPTH_SECS).max(1.0);
            account.tokens.level = (tokens_rate * BUCKET_DEPTH_SECS).max(1.0);
        }
        account.requests.refill(requests_rate, elapsed);
        account.tokens.refill(tokens_rate, elapsed);
        account.refilled = now;
        // What is wanted counts as use even when refused: demand moves the shares.
        account.requests.used += 1.0;
        account.tokens.used += f64::from(tokens);
        if limit.requests > 0 && account.requests.level < 1.0 {
            let wait = (1.0 - account.requests.level) / requests_rate.max(1e-6);
            return Err(Span::from_secs_f64(wait));
        }
        // A request larger than the bucket passes when the bucket is full and leaves a debt.
        let need = f64::from(tokens).min((tokens_rate * BUCKET_DEPTH_SECS).max(1.0));
        if limit.tokens > 0 && account.tokens.level < need {
            let wait = (need - account.tokens.level) / tokens_rate.max(1e-6);
            return Err(Span::from_secs_f64(wait));
        }
        account.requests.level -= 1.0;
        account.tokens.level -= f64::from(tokens);
        Ok(())
    }

    /// Corrects the tokens taken at admission by what the answer really had.
    pub fn reconcile(&mut self, org: OrgKey, estimated: u32, real: u32) {
        if let Some(account) = self.accounts.get_mut(&org) {
            account.tokens.level += f64::from(estimated) - f64::from(real);
        }
    }

    /// Takes a peer's report of use in.
    pub fn receive(&mut self, now: Time, org: OrgKey, peer: &str, requests: f32, tokens: f32) {
        let account = self.accounts.entry(org).or_default();
        let clean = |v: f32| if v.is_finite() { v.max(0.0) } else { 0.0 };
        account.peers.insert(peer.to_owned(), (now, clean(requests), clean(tokens)));
    }

    /// Rates of organisations with any use, measured since the last measurement.
    ///
    /// News can be told right after the last report; a rate over a moment would be noise, so
    /// nothing is measured before 200 ms have passed.
    pub fn measure(&mut self, now: Time) -> Vec<(OrgKey, f32, f32)> {
        let elapsed = now.since(self.measured);
        if elapsed >= MEASURE {
            self.measured = now;
            for account in self.accounts.values_mut() {
                account.requests.measure(elapsed.as_secs_f64());
                account.tokens.measure(elapsed.as_secs_f64());
                account.peers.retain(|_, (at, _, _)| now.since(*at) <= REPORT_RETENTION);
            }
            self.accounts.retain(|_, a| a.requests.rate > IDLE || !a.peers.is_empty());
        }
        let active = self.accounts.iter().filter(|(_, a)| a.requests.rate > TOLD);
        let rates = |a: &Account| (a.requests.rate as f32, a.tokens.rate as f32);
        active.map(|(org, a)| (*org, rates(a).0, rates(a).1)).collect()
    }
}
