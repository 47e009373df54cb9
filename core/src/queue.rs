//! Queues the requests of a group by priority between classes and fairness between organisations.
//!
//! The highest tier goes first; within a tier, the class whose next request has the earliest
//! deadline. Every waiting class earns credit for a guaranteed share of the dispatched tokens, its
//! trickle, so that the lowest class is not starved while higher ones are busy. Within a class,
//! organisations are served by deficit round robin in estimated tokens, so that a large
//! organisation cannot crowd out a small one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::arena::Key;
use crate::config::ClassKey;
use crate::config::OrgKey;
use crate::config::TIERS;
use crate::node::request::Request;
use crate::share::TierDemand;
use crate::time::Span;
use crate::time::Time;

/// Tokens that an organisation of weight 1 may send in each round of the rotation.
const QUANTUM_TOKENS: f64 = 512.0;
/// Time constant of the measured dispatch rate, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 2.0;
/// Upper bound on backlogs that are examined to estimate a wait.
const MAX_SAMPLED: usize = 64;
/// Dispatch rate that is assumed if the measured one is lower, as before the first dispatch.
const MIN_TOKENS_PER_S: f64 = 50.0;

/// A queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Item {
    /// The request.
    pub request: Key<Request>,
    /// Estimated work in output tokens, at least 1.
    pub cost: u32,
    /// Latest time at which it is still useful to dispatch the request.
    pub deadline: Time,
}

/// The request to dispatch next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Selection {
    /// Class of the request.
    pub class: ClassKey,
    /// The request.
    pub item: Item,
    /// Whether the class has enough trickle credit for the request, so that it goes before higher
    /// tiers, here and in the engine.
    pub trickle_due: bool,
}

/// Rules of a class that concern the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Priority tier.
    pub tier: u8,
    /// Whether its requests are never evicted.
    pub protected: bool,
    /// Guaranteed share of the dispatched tokens, in thousandths.
    pub trickle: u32,
}

/// Class and organisation of a request, with their rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flow {
    /// The class.
    pub class: ClassKey,
    /// Rules of the class.
    pub rule: Rule,
    /// The organisation.
    pub org: OrgKey,
    /// Weight of the organisation.
    pub weight: u32,
}

/// Queued requests of one organisation in one class.
#[derive(Debug)]
struct Backlog {
    items: VecDeque<Item>,
    /// Tokens that the organisation may still send in this round.
    deficit: f64,
    weight: f64,
    /// Estimated tokens of all items.
    cost: u64,
    /// Whether the organisation is in the rotation of its class.
    in_rotation: bool,
}

/// Queued requests of one class.
#[derive(Debug)]
struct Class {
    rule: Rule,
    backlogs: BTreeMap<OrgKey, Backlog>,
    /// Organisations with queued requests, in the order of the round robin.
    rotation: VecDeque<OrgKey>,
    /// Trickle credit in tokens.
    credit: f64,
    len: usize,
    /// Estimated tokens of all items.
    cost: u64,
    /// Total weight of the organisations in the rotation.
    weight: f64,
}

/// Exponentially decaying average of a rate, in tokens per second.
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
    /// All requests in the order of their deadlines.
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

    /// Advances the round robin to the organisation that may send its next request, and returns it.
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

    /// Removes the organisation at the front of the rotation; its backlog is empty.
    fn remove_front(&mut self) {
        if let Some(org) = self.rotation.pop_front()
            && let Some(backlog) = self.backlogs.remove(&org)
        {
            self.weight -= backlog.weight;
        }
    }

    /// The next item.
    fn head(&mut self) -> Option<Item> {
        let org = self.advance()?;
        self.backlogs.get(&org)?.items.front().copied()
    }

    /// Removes and returns the next item.
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

    /// Estimated tokens that are dispatched before a new request of `org`: its own backlog, and the
    /// part of every other backlog that the round robin serves in the meantime. If there are many
    /// backlogs, the sum is extrapolated from [`MAX_SAMPLED`] of them.
    fn tokens_ahead(&self, org: OrgKey, weight: u32) -> f64 {
        let own = self.backlogs.get(&org).map_or(0, |b| b.cost) as f64;
        let rounds = own / f64::from(weight.max(1));
        let sample = self.backlogs.range(org..).chain(self.backlogs.range(..org)).take(MAX_SAMPLED);
        let sampled: f64 = sample.map(|(_, b)| (b.cost as f64).min(rounds * b.weight)).sum();
        let scale = self.backlogs.len() as f64 / self.backlogs.len().clamp(1, MAX_SAMPLED) as f64;
        (sampled * scale).max(own).min(self.cost as f64)
    }

    /// Newest request of the organisation with the most queued tokens.
    fn newest_of_longest(&self) -> Option<(OrgKey, Item)> {
        let longest = self.backlogs.iter().filter(|(_, b)| !b.items.is_empty());
        let (org, backlog) = longest.max_by_key(|(_, b)| b.cost)?;
        backlog.items.back().map(|i| (*org, *i))
    }
}

impl Queue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of queued requests by tier.
    pub fn len_by_tier(&self) -> TierDemand {
        let mut lens = [0; TIERS];
        for class in self.classes.values() {
            if let Some(len) = lens.get_mut(usize::from(class.rule.tier)) {
                *len += class.len as u32;
            }
        }
        lens
    }

    /// Number of queued requests of `class`.
    pub fn class_len(&self, class: ClassKey) -> usize {
        self.classes.get(&class).map_or(0, |c| c.len)
    }

    /// Adds a request at the end of its flow.
    pub fn push(&mut self, flow: Flow, item: Item) {
        self.insert(flow, item, false);
    }

    /// Adds a request that was already dispatched once at the front of its flow.
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

    /// The request to dispatch next among those of `tier` or a higher one: one of a class with
    /// enough trickle credit, otherwise the first by tier and deadline.
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

    /// Removes the request that [`Queue::peek`] returned, and counts it as dispatched.
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

    /// Removes a request that is not to be dispatched.
    pub fn remove(&mut self, flow: Flow, request: Key<Request>) {
        let class = self.classes.get_mut(&flow.class);
        if let Some(item) = class.and_then(|c| c.remove(flow.org, request)) {
            self.expiry.remove(&(item.deadline, item.request));
            self.len -= 1;
        }
    }

    /// The request with the earliest deadline, if that has passed.
    pub fn first_expired(&self, now: Time) -> Option<Key<Request>> {
        self.expiry.first().filter(|(deadline, _)| *deadline <= now).map(|(_, r)| *r)
    }

    /// The request to evict for one of `tier`: the newest of the longest backlog in the lowest tier
    /// below `tier`. Requests of protected classes are never evicted.
    pub fn victim(&self, tier: u8) -> Option<Key<Request>> {
        let lower = self.classes.values().filter(|c| c.rule.tier > tier && c.len > 0);
        let lowest = lower.filter(|c| !c.rule.protected).max_by_key(|c| c.rule.tier)?;
        lowest.newest_of_longest().map(|(_, i)| i.request)
    }

    /// Estimated wait of a new request, by the measured dispatch rate.
    ///
    /// Ahead of the request are the queued tokens of higher tiers, of the other classes in its tier
    /// and, in its own class, those that the round robin serves first. Future requests of higher
    /// tiers are ignored: bursts end, and requests refused because of a burst that has just ended
    /// would leave engines idle.
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
        Span::from_secs_f64(ahead / self.dispatched.get(now).max(MIN_TOKENS_PER_S))
    }
}
