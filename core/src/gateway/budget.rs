//! One gateway's share of the retry budget that all gateways spend together.
//!
//! In any window a service may get at most `ratio` × its calls + `extra` further attempts, summed
//! over all gateways. Each gateway earns the ratio on the calls it took itself, which needs no
//! agreement, and uses an equal share of `extra`. A gateway that has just started does not know
//! what it spent before, so it has no share until one window has passed; the number of gateways
//! is the most seen in a window, so that a stale or shrunken view never makes a share too large.

use std::collections::VecDeque;

use crate::time::Span;
use crate::time::Time;

/// Part of the budget that is used; the rest covers calls that cross the edge of a window.
const USED: f64 = 0.85;
/// Width of a bucket in which calls and retries are counted.
const BUCKET: Span = Span::millis(500);

/// Rules of the fleet's budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Further attempts per call.
    pub ratio: f64,
    /// Further attempts in a window besides.
    pub extra: f64,
    /// Length of the window.
    pub window: Span,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    at: u64,
    calls: u32,
    retries: u32,
}

/// Spending on one service.
#[derive(Debug)]
pub struct Budget {
    rules: Rules,
    began: Time,
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// A budget of a gateway that started at `began`.
    pub fn new(rules: Rules, began: Time) -> Budget {
        Budget { rules, began, buckets: VecDeque::new() }
    }

    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let at = now.0 / BUCKET.0;
        let kept = self.rules.window.0 / BUCKET.0 + 1;
        while self.buckets.front().is_some_and(|b| b.at + kept < at) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.at < at) {
            self.buckets.push_back(Bucket { at, calls: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts a call.
    pub fn record_call(&mut self, now: Time) {
        self.bucket(now).calls += 1;
    }

    /// Further attempts that are left, with `gateways` sharing.
    pub fn remaining(&mut self, now: Time, gateways: usize) -> f64 {
        self.bucket(now);
        let calls: u32 = self.buckets.iter().map(|b| b.calls).sum();
        let retries: u32 = self.buckets.iter().map(|b| b.retries).sum();
        let shared = now.since(self.began) > self.rules.window;
        let share = if shared { self.rules.extra / gateways.max(1) as f64 } else { 0.0 };
        USED * (self.rules.ratio * f64::from(calls) + share) - f64::from(retries)
    }

    /// Takes one further attempt; `false` if the budget is spent.
    pub fn spend_retry(&mut self, now: Time, gateways: usize) -> bool {
        if self.remaining(now, gateways) < 1.0 {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }
}
