//! The queue of a group: priority between classes, fairness between organisations.
//!
//! The highest tier goes first; within a tier, the class whose next request has the earliest
//! deadline. Every waiting class earns a guaranteed trickle of the tokens dispatched, so that the
//! lowest class is served while higher ones are busy. Within a class, organisations take turns by
//! deficit round robin in estimated tokens, so that a large organisation can't crowd out a small
//! one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::arena::Key;
use crate::config::ClassKey;
use crate::config::OrgKey;
use crate::config::TIERS;
use crate::node::request::Request;
use crate::share::Wanted;
use crate::time::Span;
use crate::time::Time;

/// Tokens an organisation of weight 1 may send in a turn.
const QUANTUM_TOKENS: f64 = 512.0;
/// Time constant of the measured rates, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 2.0;
/// Lines looked at for an estimate of the wait.
const MAX_SAMPLED: usize = 64;
/// Least rate assumed, in tokens a second, before anything was measured.
const MIN_RATE: f64 = 50.0;

/// A queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Item {
    /// The request.
    pub request: Key<Request>,
    /// Estimated tokens, at least 1.
    pub cost: u32,
    /// Latest useful start.
    pub deadline: Time,
}

/// The request that goes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Selection {
    /// Its class.
    pub class: ClassKey,
    /// The request.
    pub item: Item,
    /// Its class's trickle is due: it goes before higher tiers, everywhere on its way.
    pub trickle_due: bool,
}

/// Rules of a class that the queue needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Priority tier.
    pub tier: u8,
    /// Never evicted for a lower tier.
    pub protected: bool,
    /// Guaranteed share of dispatched tokens, in thousandths.
    pub trickle: u32,
}

/// Where a request stands in line: its class and organisation, and their rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flow {
    /// Its class.
    pub class: ClassKey,
    /// Rules of the class.
    pub rule: Rule,
    /// Its organisation.
    pub org: OrgKey,
    /// Weight of the organisation.
    pub weight: u32,
}

#[derive(Debug)]
struct Backlog {
    items: VecDeque<Item>,
    deficit: f64,
    weight: f64,
    cost: u64,
    in_rotation: bool,
}

#[derive(Debug)]
struct Class {
    rule: Rule,
    backlogs: BTreeMap<OrgKey, Backlog>,
    rotation: VecDeque<OrgKey>,
    credit: f64,
    len: usize,
    cost: u64,
    weight: f64,
}

/// A rate in tokens a second with exponential forgetting.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    value: f64,
    at: Time,
}

impl Rate {
    fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.at).as_secs_f64();
        self.value *= (-elapsed / RATE_TIME_CONSTANT_S).exp();
        self.at = now;
    }

    fn add(&mut self, now: Time, tokens: u32) {
        self.decay(now);
        self.value += f64::from(tokens) / RATE_TIME_CONSTANT_S;
    }

    fn get(&self, now: Time) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64();
        self.value * (-elapsed / RATE_TIME_CONSTANT_S).exp()
    }
}

/// Queued requests of one group.
#[derive(Debug, Default)]
pub struct Queue {
    classes: BTreeMap<ClassKey, Class>,
    expiry: BTreeSet<(Time, Key<Request>)>,
    len: usize,
    dispatched: Rate,
}

impl Class {
    fn new(rule: Rule) -> Class {
        Class {
            rule,
            backlogs: BTreeMap::new(),
            rotation: VecDeque::new(),
            credit: 0.0,
            len: 0,
            cost: 0,
            weight: 0.0,
        }
    }

    fn push(&mut self, org: OrgKey, weight: u32, item: Item, front: bool) {
        let weight = f64::from(weight.max(1));
        let backlog = self.backlogs.entry(org).or_insert_with(|| Backlog {
            items: VecDeque::new(),
            deficit: 0.0,
            weight,
            cost: 0,
            in_rotation: false,
        });
        if front {
            backlog.items.push_front(item);
        } else {
            backlog.items.push_back(item);
        }
        backlog.cost += u64::from(item.cost);
        if !backlog.in_rotation {
            backlog.in_rotation = true;
            backlog.deficit = 0.0;
            self.rotation.push_back(org);
            self.weight += backlog.weight;
        }
        self.len += 1;
        self.cost += u64::from(item.cost);
    }

    /// The organisation whose head goes next, after as many turns as that takes.
    fn advance(&mut self) -> Option<OrgKey> {
        loop {
            let org = *self.rotation.front()?;
            let backlog = self.backlogs.get_mut(&org)?;
            let Some(head) = backlog.items.front() else {
                self.remove_front();
                continue;
            };
            if backlog.deficit >= f64::from(head.cost) {
                return Some(org);
            }
            backlog.deficit += QUANTUM_TOKENS * backlog.weight;
            if backlog.deficit < f64::from(head.cost) {
                self.rotation.rotate_left(1);
            }
        }
    }

    /// Takes the organisation at the front, whose line is empty, out of the turns.
    fn remove_front(&mut self) {
        if let Some(org) = self.rotation.pop_front()
            && let Some(backlog) = self.backlogs.remove(&org)
        {
            self.weight -= backlog.weight;
        }
    }

    fn head(&mut self) -> Option<Item> {
        let org = self.advance()?;
        self.backlogs.get(&org)?.items.front().copied()
    }

    fn pop(&mut self) -> Option<Item> {
        let org = self.advance()?;
        let backlog = self.backlogs.get_mut(&org)?;
        let item = backlog.items.pop_front()?;
        backlog.deficit -= f64::from(item.cost);
        backlog.cost -= u64::from(item.cost);
        let turn_over = backlog.items.front().is_none_or(|h| backlog.deficit < f64::from(h.cost));
        if backlog.items.is_empty() {
            self.remove_front();
        } else if turn_over {
            self.rotation.rotate_left(1);
        }
        self.len -= 1;
        self.cost -= u64::from(item.cost);
        Some(item)
    }

    fn remove(&mut self, org: OrgKey, request: Key<Request>) -> Option<Item> {
        let backlog = self.backlogs.get_mut(&org)?;
        let at = backlog.items.iter().position(|i| i.request == request)?;
        let item = backlog.items.remove(at)?;
        backlog.cost -= u64::from(item.cost);
        self.len -= 1;
        self.cost -= u64::from(item.cost);
        Some(item)
    }

    /// Tokens that go before a new request of `org`: of every other line, as much as its turns
    /// allow until the line of `org` is through. A sample of backlogs stands for all of a long list.
    fn tokens_ahead(&self, org: OrgKey, weight: u32) -> f64 {
        let own = self.backlogs.get(&org).map_or(0, |b| b.cost) as f64;
        let rounds = own / f64::from(weight.max(1));
        let sample = self.backlogs.range(org..).chain(self.backlogs.range(..org)).take(MAX_SAMPLED);
        let sampled: f64 = sample.map(|(_, b)| (b.cost as f64).min(rounds * b.weight)).sum();
        let scale = self.backlogs.len() as f64 / self.backlogs.len().clamp(1, MAX_SAMPLED) as f64;
        (sampled * scale).max(own).min(self.cost as f64)
    }

    /// The newest request of the organisation with the most queued tokens.
    fn newest_of_longest(&self) -> Option<(OrgKey, Item)> {
        let longest = self.backlogs.iter().filter(|(_, b)| !b.items.is_empty());
        let (org, backlog) = longest.max_by_key(|(_, b)| b.cost)?;
        backlog.items.back().map(|i| (*org, *i))
    }
}

impl Queue {
    /// Queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queued requests by tier.
    pub fn len_by_tier(&self) -> Wanted {
        let mut lens = [0; TIERS];
        for class in self.classes.values() {
            if let Some(len) = lens.get_mut(usize::from(class.rule.tier)) {
                *len += class.len as u32;
            }
        }
        lens
    }

    /// Queued requests of `class`.
    pub fn class_len(&self, class: ClassKey) -> usize {
        self.classes.get(&class).map_or(0, |c| c.len)
    }

    /// Adds a request behind those of its place.
    pub fn push(&mut self, flow: Flow, item: Item) {
        self.insert(flow, item, false);
    }

    /// Adds a request that already ran in front of its place.
    pub fn push_front(&mut self, flow: Flow, item: Item) {
        self.insert(flow, item, true);
    }

    fn insert(&mut self, flow: Flow, item: Item, front: bool) {
        let entry = self.classes.entry(flow.class);
        let class = entry.or_insert_with(|| Class::new(flow.rule));
        class.rule = flow.rule;
        class.push(flow.org, flow.weight, item, front);
        self.expiry.insert((item.deadline, item.request));
        self.len += 1;
    }

    /// The request that goes next, of tier `tier` or higher: one of a class whose trickle is due,
    /// else by tier and deadline.
    pub fn peek(&mut self, tier: u8) -> Option<Selection> {
        let mut best: Option<(u8, Time, Selection)> = None;
        let mut trickle_due: Option<(f64, Selection)> = None;
        for (key, class) in &mut self.classes {
            if class.len == 0 || class.rule.tier > tier {
                continue;
            }
            let Some(item) = class.head() else {
                continue;
            };
            let next = Selection { class: *key, item, trickle_due: false };
            let spare = class.credit - f64::from(item.cost);
            if spare >= 0.0 && trickle_due.is_none_or(|(s, _)| spare > s) {
                trickle_due = Some((spare, Selection { trickle_due: true, ..next }));
            }
            let rank = (class.rule.tier, item.deadline);
            if best.is_none_or(|(tier, deadline, _)| rank < (tier, deadline)) {
                best = Some((rank.0, rank.1, next));
            }
        }
        trickle_due.map(|(_, next)| next).or(best.map(|(_, _, next)| next))
    }

    /// Takes out what [`Queue::peek`] named, and counts it as dispatched.
    pub fn take(&mut self, now: Time, next: Selection) {
        let Some(item) = self.classes.get_mut(&next.class).and_then(Class::pop) else {
            return;
        };
        for (key, class) in &mut self.classes {
            if *key == next.class {
                class.credit = (class.credit - f64::from(item.cost)).max(0.0);
            } else if class.len > 0 {
                class.credit += f64::from(item.cost) * f64::from(class.rule.trickle) / 1000.0;
            } else {
                class.credit = 0.0;
            }
        }
        self.expiry.remove(&(item.deadline, item.request));
        self.len -= 1;
        self.dispatched.add(now, item.cost);
    }

    /// Takes a request out whose caller has gone.
    pub fn remove(&mut self, flow: Flow, request: Key<Request>) {
        let class = self.classes.get_mut(&flow.class);
        if let Some(item) = class.and_then(|c| c.remove(flow.org, request)) {
            self.expiry.remove(&(item.deadline, item.request));
            self.len -= 1;
        }
    }

    /// The request whose deadline passed first, if one did.
    pub fn first_expired(&self, now: Time) -> Option<Key<Request>> {
        self.expiry.first().filter(|(deadline, _)| *deadline <= now).map(|(_, r)| *r)
    }

    /// The request to evict for one of `tier`: the newest of the longest line of the lowest tier
    /// below it. A protected class is never evicted.
    pub fn victim(&self, tier: u8) -> Option<Key<Request>> {
        let lower = self.classes.values().filter(|c| c.rule.tier > tier && c.len > 0);
        let lowest = lower.filter(|c| !c.rule.protected).max_by_key(|c| c.rule.tier)?;
        lowest.newest_of_longest().map(|(_, i)| i.request)
    }

    /// How long a new request would wait, by the measured rate.
    ///
    /// Ahead of it are the tokens of higher tiers and its organisation's fair part of its own.
    /// Higher tiers that are still to come are left out: bursts end, and work refused for one
    /// that has just ended would leave engines idle.
    pub fn estimated_wait(&self, now: Time, flow: Flow) -> Span {
        let mut ahead = 0.0;
        for (key, other) in &self.classes {
            let tier = other.rule.tier;
            if tier < flow.rule.tier || (tier == flow.rule.tier && *key != flow.class) {
                ahead += other.cost as f64;
            }
        }
        if let Some(own) = self.classes.get(&flow.class) {
            ahead += own.tokens_ahead(flow.org, flow.weight);
        }
        Span::from_secs_f64(ahead / self.dispatched.get(now).max(MIN_RATE))
    }
}
