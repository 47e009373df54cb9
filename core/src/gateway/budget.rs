//! One gateway's share of the retry budget of the fleet.
//!
//! In any window a service gets at most `ratio` × its calls + `extra` retries, summed over all
//! gateways. Each gateway may spend the ratio of its own calls, which needs no coordination, and an
//! equal share of `extra`. A gateway that has just started does not know how much it spent before,
//! so it gets no share of `extra` until one window has passed. The number of gateways includes
//! those seen recently, so that a stale or shrunken view never makes a share too large.

use std::collections::VecDeque;

use crate::time::Span;
use crate::time::Time;

/// Share of the budget that is spent; the rest covers calls at the border of two windows.
const SPENDABLE_SHARE: f64 = 0.85;
/// Width of the buckets that calls and retries are counted in.
const BUCKET_WIDTH: Span = Span::millis(500);

/// Rules of the fleet's retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Retries per call.
    pub ratio: f64,
    /// Additional retries of the whole fleet in each window.
    pub extra: f64,
    /// Length of the window.
    pub window: Span,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    index: u64,
    calls: u32,
    retries: u32,
}

/// Calls and retries of one service at this gateway.
#[derive(Debug)]
pub struct Budget {
    rules: Rules,
    started_at: Time,
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// The budget of a gateway that started at `started_at`.
    pub fn new(rules: Rules, started_at: Time) -> Budget {
        Budget { rules, started_at, buckets: VecDeque::new() }
    }

    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let index = now.0 / BUCKET_WIDTH.0;
        let kept_buckets = self.rules.window.0 / BUCKET_WIDTH.0 + 1;
        while self.buckets.front().is_some_and(|b| b.index + kept_buckets < index) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.index < index) {
            self.buckets.push_back(Bucket { index, calls: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts a call.
    pub fn record_call(&mut self, now: Time) {
        self.bucket(now).calls += 1;
    }

    /// Withdraws a call that another gateway serves and counts.
    pub fn withdraw_call(&mut self, now: Time) {
        let bucket = self.bucket(now);
        bucket.calls = bucket.calls.saturating_sub(1);
    }

    /// Retries that are left, if `gateways` gateways share the budget.
    pub fn remaining(&mut self, now: Time, gateways: usize) -> f64 {
        self.bucket(now);
        let calls: u32 = self.buckets.iter().map(|b| b.calls).sum();
        let retries: u32 = self.buckets.iter().map(|b| b.retries).sum();
        let has_share = now.since(self.started_at) > self.rules.window;
        let share = if has_share { self.rules.extra / gateways.max(1) as f64 } else { 0.0 };
        SPENDABLE_SHARE * (self.rules.ratio * f64::from(calls) + share) - f64::from(retries)
    }

    /// Spends one retry; `false` if none is left.
    pub fn spend_retry(&mut self, now: Time, gateways: usize) -> bool {
        if self.remaining(now, gateways) < 1.0 {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }
}
