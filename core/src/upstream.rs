//! What a router knows of each replica, and the choice among them.
//!
//! Load reports are late. What a report counted of other routers' work is its total less what
//! this router had there when it was taken; this router's own part is known exactly. Corrected
//! load is the sum, so what was sent since the report counts at once.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::arena::Arena;
use crate::arena::Key;
use crate::config::GroupKey;
use crate::event::Load;
use crate::outlier;
use crate::share::Slice;
use crate::time::Span;
use crate::time::Time;

const HISTORY_LENGTH: Span = Span::secs(4);
const HISTORY_STEP: Span = Span::millis(20);
const REPORT_TTL: Span = Span::secs(5);
/// A hint that a replica is leaving holds for this long against the host list.
pub const LEAVING_HINT_TTL: Span = Span::secs(60);
const GAP_SMOOTHING: f64 = 0.1;
/// Largest batch believed of a report.
const MAX_SLOTS: u32 = 4_096;
const MAX_SLOWNESS: f64 = 10.0;
/// A replica this much slower than its peers is a straggler.
pub const STRAGGLER_SLOWNESS: f64 = 2.0;
const MAX_SCORED: usize = 6;
const OTHER_DOMAIN_COST: f64 = 0.05;
/// Largest corrected load that urgent requests may bring about, in slots.
const MAX_URGENT_LOAD: f64 = 2.5;
/// A replica with more reported waiting than this part of its slots gets only urgent requests.
const MAX_WAITING: f64 = 1.0;

/// Place of a replica in its pool's order, and the slots counted for it there.
#[derive(Clone, Copy, Debug)]
struct Rank {
    load: u32,
    slots: u32,
}

/// State of one replica.
#[derive(Debug)]
pub struct Upstream {
    /// Name in the configuration.
    pub name: String,
    /// Address in the configuration.
    pub address: String,
    /// Its group.
    pub group: GroupKey,
    /// Failure domain it runs in.
    pub failure_domain: String,
    /// Largest batch, as reported or configured.
    pub slots: u32,
    /// Attempts of this router in progress there.
    pub outstanding: u32,
    /// Attempts that this router's slice lets it have there.
    pub max_outstanding: u32,
    /// Gets no new work.
    pub leaving: bool,
    leaving_hint: Option<Time>,
    /// No longer in the configuration.
    pub removed: bool,
    /// Failure record.
    pub outlier: outlier::Record,
    other_load: f64,
    reported_waiting: u32,
    reported: Option<Time>,
    history: VecDeque<(Time, u32)>,
    token_gap: f64,
    slowness: f64,
    tie_breaker: u32,
    rank: Option<Rank>,
}

impl Upstream {
    /// A replica of which nothing is known yet; `tie` breaks ties, unlike in other routers.
    pub fn new(
        config: &crate::config::Upstream,
        group: GroupKey,
        slots: u32,
        tie_breaker: u32,
    ) -> Upstream {
        Upstream {
            name: config.name.clone(),
            address: config.address.clone(),
            group,
            failure_domain: config.failure_domain.clone(),
            slots,
            outstanding: 0,
            max_outstanding: 0,
            leaving: false,
            leaving_hint: None,
            removed: false,
            outlier: outlier::Record::default(),
            other_load: 0.0,
            reported_waiting: 0,
            reported: None,
            history: VecDeque::new(),
            token_gap: 0.0,
            slowness: 1.0,
            tie_breaker,
            rank: None,
        }
    }

    /// Notes word of the replica itself, or of a peer that had it, that it is leaving.
    pub fn hint_leaving(&mut self, now: Time) {
        self.leaving = true;
        self.leaving_hint = Some(now);
    }

    /// Notes whether the platform's host list names it as leaving; the list lags, so it does not
    /// take back a hint that is younger than [`LEAVING_HINT_TTL`].
    pub fn set_listed_leaving(&mut self, now: Time, listed: bool) {
        let has_hint = self.leaving_hint.is_some_and(|at| now.since(at) < LEAVING_HINT_TTL);
        self.leaving = listed || has_hint;
    }

    fn outstanding_at(&self, at: Time) -> u32 {
        let before = self.history.iter().rev().find(|(t, _)| *t <= at);
        before.or(self.history.front()).map_or(self.outstanding, |(_, n)| *n)
    }

    fn record_history(&mut self, now: Time) {
        match self.history.back_mut() {
            Some((at, n)) if now.since(*at) < HISTORY_STEP => *n = self.outstanding,
            _ => self.history.push_back((now, self.outstanding)),
        }
        while self.history.front().is_some_and(|(at, _)| now.since(*at) > HISTORY_LENGTH) {
            self.history.pop_front();
        }
    }

    /// Takes a load report in.
    pub fn record_report(&mut self, now: Time, load: Load) {
        let taken = now - Span(load.age);
        let total = f64::from(load.running.saturating_add(load.waiting));
        self.other_load = (total - f64::from(self.outstanding_at(taken))).max(0.0);
        self.reported_waiting = load.waiting;
        self.reported = Some(now);
        if load.slots > 0 {
            self.slots = load.slots.min(MAX_SLOTS);
        }
    }

    /// Requests there by corrected load: others' by the last report, this router's exactly.
    pub fn load(&self, now: Time) -> f64 {
        let fresh = self.reported.is_some_and(|at| now.since(at) <= REPORT_TTL);
        let other_load = if fresh { self.other_load } else { 0.0 };
        other_load + f64::from(self.outstanding)
    }

    /// Requests waiting inside it, by a report that is still fresh.
    pub fn waiting(&self, now: Time) -> Option<u32> {
        let fresh = self.reported.is_some_and(|at| now.since(at) <= REPORT_TTL);
        fresh.then_some(self.reported_waiting)
    }

    /// How many times slower than its peers it is, at least 1.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Takes the time between two tokens in.
    pub fn record_token_gap(&mut self, gap: Span, tokens: u32) {
        let each = gap.as_secs_f64() / f64::from(tokens.max(1));
        if self.token_gap == 0.0 {
            self.token_gap = each;
        }
        self.token_gap += (each - self.token_gap) * GAP_SMOOTHING;
    }

    fn cost(&self, now: Time) -> f64 {
        (self.load(now) + 1.0) / f64::from(self.slots.max(1)) * self.slowness
    }

    fn has_slot(&self, now: Time) -> bool {
        let congested = f64::from(self.slots) * MAX_WAITING;
        let waiting = self.waiting(now).is_some_and(|w| f64::from(w) > congested);
        self.outstanding < self.max_outstanding && !waiting
    }

    /// Whether it may get work.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.leaving && !self.removed && self.outlier.state(now) != outlier::State::Ejected
    }
}

/// The replicas of one group, ordered by corrected load.
#[derive(Debug, Default)]
pub struct Pool {
    /// All replicas, those removed while in use included.
    pub members: BTreeSet<Key<Upstream>>,
    ranked: BTreeSet<(u32, u32, Key<Upstream>)>,
    /// Attempts of this router in progress in the group.
    pub outstanding: u32,
    /// Replica of each slot of the group, one slot of every replica after the other.
    layout: Vec<Key<Upstream>>,
    layout_stale: bool,
    max_outstanding: u32,
    /// Replicas where this router has slots.
    assigned: Vec<Key<Upstream>>,
    cursor: usize,
}

impl Pool {
    /// Puts the replica at its place in the order again, after a change.
    pub fn update_rank(&mut self, now: Time, arena: &mut Arena<Upstream>, key: Key<Upstream>) {
        let Some(up) = arena.get_mut(key) else {
            return;
        };
        let before = up.rank.take();
        if let Some(rank) = before {
            self.ranked.remove(&(rank.load, up.tie_breaker, key));
        }
        if up.is_usable(now) {
            let load = (up.cost(now) * 1000.0) as u32;
            up.rank = Some(Rank { load, slots: up.slots });
            self.ranked.insert((load, up.tie_breaker, key));
        }
        self.layout_stale |= before.map(|r| r.slots) != up.rank.map(|r| r.slots);
    }

    /// Lays the slots of the usable replicas out: one of each in the order of names, then the
    /// next of each. A slice of the layout touches as many replicas as it can.
    fn compute_layout(&mut self, arena: &Arena<Upstream>) {
        let usable = self.ranked.iter().filter_map(|(_, _, k)| Some((*k, arena.get(*k)?)));
        let mut usable: Vec<(&str, u32, Key<Upstream>)> =
            usable.map(|(k, u)| (u.name.as_str(), u.slots, k)).collect();
        usable.sort_unstable();
        let most = usable.iter().map(|(_, slots, _)| *slots).max().unwrap_or(0);
        self.layout.clear();
        for round in 0..most {
            let open = usable.iter().filter(|(_, slots, _)| *slots > round);
            self.layout.extend(open.map(|(_, _, k)| *k));
        }
        self.layout_stale = false;
    }

    /// Gives this router the slots of `slice`, `headroom` times over; at least one.
    pub fn assign(&mut self, arena: &mut Arena<Upstream>, slice: Slice, headroom: f64) {
        if self.layout_stale {
            self.compute_layout(arena);
        }
        for key in self.assigned.drain(..) {
            if let Some(up) = arena.get_mut(key) {
                up.max_outstanding = 0;
            }
        }
        let total = self.layout.len();
        if total == 0 {
            return;
        }
        let places = total as f64 * headroom;
        let (from, to) = ((slice.start * places).ceil(), (slice.end * places).ceil());
        let (from, to) = (from as usize, (to as usize).max(from as usize + 1));
        self.max_outstanding = (to - from) as u32;
        for place in from..to {
            let key = self.layout[place % total];
            if let Some(up) = arena.get_mut(key) {
                if up.max_outstanding == 0 {
                    self.assigned.push(key);
                }
                up.max_outstanding += 1;
            }
        }
    }

    /// Counts an attempt that begins at the replica.
    pub fn start_attempt(&mut self, now: Time, arena: &mut Arena<Upstream>, key: Key<Upstream>) {
        if let Some(up) = arena.get_mut(key) {
            up.outstanding += 1;
            up.outlier.start_probe();
            up.record_history(now);
            self.outstanding += 1;
        }
        self.update_rank(now, arena, key);
    }

    /// Counts an attempt that is over at the replica.
    pub fn end_attempt(&mut self, now: Time, arena: &mut Arena<Upstream>, key: Key<Upstream>) {
        if let Some(up) = arena.get_mut(key) {
            up.outstanding = up.outstanding.saturating_sub(1);
            up.record_history(now);
            self.outstanding = self.outstanding.saturating_sub(1);
        }
        self.update_rank(now, arena, key);
    }

    /// Attempts that this router may have in the group.
    pub fn max_outstanding(&self) -> u32 {
        self.max_outstanding
    }

    /// Slots of the usable replicas.
    pub fn slots(&self) -> u32 {
        self.layout.len() as u32
    }

    /// Drops a replica that runs nothing.
    pub fn remove(&mut self, key: Key<Upstream>, arena: &Arena<Upstream>) {
        self.members.remove(&key);
        self.assigned.retain(|k| *k != key);
        self.layout_stale = true;
        if let Some(up) = arena.get(key)
            && let Some(rank) = up.rank
        {
            self.ranked.remove(&(rank.load, up.tie_breaker, key));
        }
    }

    /// Whether another replica may be ejected: at most a third of the group, and never the last.
    pub fn may_eject(&self, arena: &Arena<Upstream>) -> bool {
        let out =
            self.members.iter().filter_map(|k| arena.get(*k)).filter(|u| u.outlier.is_suspended());
        (out.count() + 1) * 3 <= self.members.len().max(3) && self.ranked.len() > 1
    }

    /// Compares the replicas' speed: slowness is the time between tokens against the median.
    pub fn update_slowness(&mut self, now: Time, arena: &mut Arena<Upstream>) {
        let keys: Vec<_> = self.members.iter().copied().collect();
        let known = keys.iter().filter_map(|k| arena.get(*k)).map(|u| u.token_gap);
        let mut gaps: Vec<f64> = known.filter(|g| *g > 0.0).collect();
        gaps.sort_by(f64::total_cmp);
        let median = gaps.get(gaps.len() / 2).copied().unwrap_or(0.0);
        for key in keys {
            if let Some(up) = arena.get_mut(key) {
                let known = median > 0.0 && up.token_gap > 0.0 && gaps.len() >= 3;
                let ratio = if known { up.token_gap / median } else { 1.0 };
                up.slowness = if ratio > 1.5 { ratio.min(MAX_SLOWNESS) } else { 1.0 };
            }
            self.update_rank(now, arena, key);
        }
    }

    /// The best replica for a request among this router's slots that are free, or none.
    ///
    /// A few free ones in turn and the holders of the prompt's prefix are scored on corrected
    /// load, slowness, prefix and failure domain.
    pub fn choose(
        &mut self,
        now: Time,
        arena: &Arena<Upstream>,
        criteria: &Criteria<'_>,
    ) -> Option<Key<Upstream>> {
        let free = |k: &Key<Upstream>| {
            let open = arena.get(*k).filter(|u| u.is_usable(now) && u.has_slot(now));
            open.is_some() && !criteria.excluded.contains(k)
        };
        let n = self.assigned.len();
        let first = self.cursor;
        let mut found = Vec::with_capacity(MAX_SCORED);
        for at in (0..n).map(|i| (i + first) % n) {
            if free(&self.assigned[at]) {
                found.push(self.assigned[at]);
                self.cursor = at + 1;
            }
            if found.len() == MAX_SCORED {
                break;
            }
        }
        // A prefix can be known at another group's replicas too; work must never go there.
        let held = criteria.holders.iter().filter(|k| self.members.contains(k)).filter(|k| free(k));
        found.extend(held);
        best(now, arena, &found, criteria)
    }

    /// The best replica for a request that may overfill engines, which honour its priority.
    pub fn choose_urgent(
        &self,
        now: Time,
        arena: &Arena<Upstream>,
        criteria: &Criteria<'_>,
    ) -> Option<Key<Upstream>> {
        let room = |k: &Key<Upstream>| {
            let full = |u: &Upstream| u.load(now) + 1.0 > f64::from(u.slots) * MAX_URGENT_LOAD;
            !criteria.excluded.contains(k)
                && arena.get(*k).is_some_and(|u| u.is_usable(now) && !full(u))
        };
        let least = self.ranked.iter().map(|(_, _, k)| *k).filter(room);
        let found: Vec<Key<Upstream>> = least.take(MAX_SCORED).collect();
        best(now, arena, &found, criteria)
    }
}

/// What a request wants of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Replicas that hold its prompt's prefix.
    pub holders: &'a [Key<Upstream>],
    /// Replicas that failed it.
    pub excluded: &'a [Key<Upstream>],
    /// Failure domain of the router.
    pub domain: &'a str,
    /// Part of the request's work that a held prefix spares.
    pub cached_share: f64,
}

fn best(
    now: Time,
    arena: &Arena<Upstream>,
    found: &[Key<Upstream>],
    criteria: &Criteria<'_>,
) -> Option<Key<Upstream>> {
    let score = |key: &Key<Upstream>| {
        let up = arena.get(*key)?;
        let mut score = up.cost(now);
        if criteria.holders.contains(key) {
            score -= criteria.cached_share / f64::from(up.slots.max(1));
        }
        if up.failure_domain != criteria.domain {
            score += OTHER_DOMAIN_COST;
        }
        Some((score, *key))
    };
    let scored = found.iter().filter_map(score);
    scored.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, k)| k)
}
