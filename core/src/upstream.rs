//! Tracks the state of each replica and chooses among the replicas of a group.
//!
//! Load reports arrive late. The load of other routers is a report's total minus the requests that
//! this router had at the replica when the report was taken. The corrected load is the sum of that
//! and of this router's current requests, which are known exactly, so that a request counts as soon
//! as it is sent. A router sends ordinary requests only within the slots that its slice of the
//! group assigns to it.

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

/// Retention of the number of outstanding attempts, to correct late load reports.
const HISTORY_LENGTH: Span = Span::secs(4);
/// Resolution of the history.
const HISTORY_STEP: Span = Span::millis(20);
/// Time for which a load report is used.
const REPORT_TTL: Span = Span::secs(5);
/// Time for which a hint that a replica is leaving overrides the host list.
pub const LEAVING_HINT_TTL: Span = Span::secs(60);
/// Weight of a new sample in the mean time between tokens.
const GAP_SMOOTHING: f64 = 0.1;
/// Upper bound on the batch size accepted from a load report.
const MAX_SLOTS: u32 = 4_096;
/// Upper bound on the slowness of a replica.
const MAX_SLOWNESS: f64 = 10.0;
/// Slowness from which a replica is a straggler.
pub const STRAGGLER_SLOWNESS: f64 = 2.0;
/// Upper bound on replicas that are compared for a request, not counting holders of its prefix.
const MAX_SCORED: usize = 6;
/// Cost of a replica in another failure domain, in requests per slot.
const OTHER_DOMAIN_COST: f64 = 0.05;
/// Upper bound on the corrected load that urgent requests may cause, as a multiple of the slots.
const MAX_URGENT_LOAD_PER_SLOT: f64 = 2.5;
/// Waiting requests, as a share of the slots, above which a replica gets only urgent requests.
const MAX_WAITING_PER_SLOT: f64 = 1.0;

/// Position of a replica in its pool's order, and the slots counted for it in the layout.
#[derive(Clone, Copy, Debug)]
struct Rank {
    /// Cost in thousandths.
    cost: u32,
    slots: u32,
}

/// State of one replica.
#[derive(Debug)]
pub struct Upstream {
    /// Name in the configuration.
    pub name: String,
    /// Address in the configuration.
    pub address: String,
    /// Group of the replica.
    pub group: GroupKey,
    /// Failure domain of the replica.
    pub failure_domain: String,
    /// Largest batch, as reported, or as configured before the first report.
    pub slots: u32,
    /// Attempts of this router in progress at the replica.
    pub outstanding: u32,
    /// Upper bound on outstanding attempts of ordinary requests, by this router's slice.
    pub max_outstanding: u32,
    /// Whether the replica is leaving and gets no new requests.
    pub leaving: bool,
    /// Time of the last hint that the replica is leaving.
    leaving_hint: Option<Time>,
    /// Whether the replica is no longer in the configuration.
    pub removed: bool,
    /// Recent failures.
    pub outlier: outlier::Record,
    /// Requests of other routers, by the last report.
    other_load: f64,
    reported_waiting: u32,
    /// Time of the last report.
    reported: Option<Time>,
    /// Number of outstanding attempts by time.
    history: VecDeque<(Time, u32)>,
    /// Mean time between two tokens in seconds; 0 before the first sample.
    token_gap: f64,
    slowness: f64,
    tie_breaker: u32,
    rank: Option<Rank>,
}

impl Upstream {
    /// A replica without any data. `tie_breaker` orders replicas of equal load; it should differ
    /// between routers so that they do not all prefer the same replica.
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

    /// Records a hint, from the replica itself or from a peer, that the replica is leaving.
    pub fn hint_leaving(&mut self, now: Time) {
        self.leaving = true;
        self.leaving_hint = Some(now);
    }

    /// Records whether the platform's host list contains the replica as leaving. The list lags, so
    /// a replica that is not on it stays leaving for [`LEAVING_HINT_TTL`] after a hint.
    pub fn set_listed_leaving(&mut self, now: Time, listed: bool) {
        let has_hint = self.leaving_hint.is_some_and(|at| now.since(at) < LEAVING_HINT_TTL);
        self.leaving = listed || has_hint;
    }

    /// Number of outstanding attempts at a past time.
    fn outstanding_at(&self, at: Time) -> u32 {
        let before = self.history.iter().rev().find(|(t, _)| *t <= at);
        before.or(self.history.front()).map_or(self.outstanding, |(_, n)| *n)
    }

    /// Adds the number of outstanding attempts to the history.
    fn record_history(&mut self, now: Time) {
        match self.history.back_mut() {
            Some((at, n)) if now.since(*at) < HISTORY_STEP => *n = self.outstanding,
            _ => self.history.push_back((now, self.outstanding)),
        }
        while self.history.front().is_some_and(|(at, _)| now.since(*at) > HISTORY_LENGTH) {
            self.history.pop_front();
        }
    }

    /// Records a load report.
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

    /// Corrected load in requests: those of other routers by the last report, and this router's
    /// outstanding ones.
    pub fn load(&self, now: Time) -> f64 {
        let fresh = self.reported.is_some_and(|at| now.since(at) <= REPORT_TTL);
        let other_load = if fresh { self.other_load } else { 0.0 };
        other_load + f64::from(self.outstanding)
    }

    /// Requests that wait inside the replica; `None` without a recent report.
    pub fn waiting(&self, now: Time) -> Option<u32> {
        let fresh = self.reported.is_some_and(|at| now.since(at) <= REPORT_TTL);
        fresh.then_some(self.reported_waiting)
    }

    /// Ratio of the replica's time between tokens to the median of the group; 1 if the replica is
    /// not clearly slower.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Records the time in which `tokens` tokens arrived.
    pub fn record_token_gap(&mut self, gap: Span, tokens: u32) {
        let each = gap.as_secs_f64() / f64::from(tokens.max(1));
        if self.token_gap == 0.0 {
            self.token_gap = each;
        }
        self.token_gap += (each - self.token_gap) * GAP_SMOOTHING;
    }

    /// Load per slot with one more request, multiplied by the slowness.
    fn cost(&self, now: Time) -> f64 {
        (self.load(now) + 1.0) / f64::from(self.slots.max(1)) * self.slowness
    }

    /// Whether this router may send an ordinary request.
    fn has_slot(&self, now: Time) -> bool {
        let max_waiting = f64::from(self.slots) * MAX_WAITING_PER_SLOT;
        let congested = self.waiting(now).is_some_and(|w| f64::from(w) > max_waiting);
        self.outstanding < self.max_outstanding && !congested
    }

    /// Whether new requests may be sent to the replica.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.leaving && !self.removed && self.outlier.state(now) != outlier::State::Ejected
    }
}

/// The replicas of one group, ordered by corrected load.
#[derive(Debug, Default)]
pub struct Pool {
    /// All replicas, including those that were removed from the configuration while in use.
    pub members: BTreeSet<Key<Upstream>>,
    /// Usable replicas by cost in thousandths, tie breaker and key.
    ranked: BTreeSet<(u32, u32, Key<Upstream>)>,
    /// Attempts of this router in progress in the group.
    pub outstanding: u32,
    /// Replica of each slot of the group; see [`Pool::compute_layout`].
    layout: Vec<Key<Upstream>>,
    /// Whether the layout must be computed anew.
    layout_stale: bool,
    max_outstanding: u32,
    /// Replicas where this router has slots.
    assigned: Vec<Key<Upstream>>,
    cursor: usize,
}

impl Pool {
    /// Updates the position of a replica in the order after a change of its state.
    pub fn update_rank(&mut self, now: Time, arena: &mut Arena<Upstream>, key: Key<Upstream>) {
        let Some(up) = arena.get_mut(key) else {
            return;
        };
        let before = up.rank.take();
        if let Some(rank) = before {
            self.ranked.remove(&(rank.cost, up.tie_breaker, key));
        }
        if up.is_usable(now) {
            let cost = (up.cost(now) * 1000.0) as u32;
            up.rank = Some(Rank { cost, slots: up.slots });
            self.ranked.insert((cost, up.tie_breaker, key));
        }
        self.layout_stale |= before.map(|r| r.slots) != up.rank.map(|r| r.slots);
    }

    /// Computes the order of all slots of the usable replicas: the first slot of each replica in
    /// the order of names, then the second of each, and so on. A contiguous slice of this order
    /// covers as many replicas as possible.
    fn compute_layout(&mut self, arena: &Arena<Upstream>) {
        let usable = self.ranked.iter().filter_map(|(_, _, k)| Some((*k, arena.get(*k)?)));
        let mut usable: Vec<(&str, u32, Key<Upstream>)> =
            usable.map(|(k, u)| (u.name.as_str(), u.slots, k)).collect();
        usable.sort_unstable();
        let max_slots = usable.iter().map(|(_, slots, _)| *slots).max().unwrap_or(0);
        self.layout.clear();
        for round in 0..max_slots {
            let open = usable.iter().filter(|(_, slots, _)| *slots > round);
            self.layout.extend(open.map(|(_, _, k)| *k));
        }
        self.layout_stale = false;
    }

    /// Assigns the slots of `slice` to this router, overcommitted by the factor `headroom`; at
    /// least one.
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
        let slots = total as f64 * headroom;
        let (from, to) = ((slice.start * slots).ceil(), (slice.end * slots).ceil());
        let (from, to) = (from as usize, (to as usize).max(from as usize + 1));
        self.max_outstanding = (to - from) as u32;
        for slot in from..to {
            let key = self.layout[slot % total];
            if let Some(up) = arena.get_mut(key) {
                if up.max_outstanding == 0 {
                    self.assigned.push(key);
                }
                up.max_outstanding += 1;
            }
        }
    }

    /// Records the start of an attempt at a replica.
    pub fn start_attempt(&mut self, now: Time, arena: &mut Arena<Upstream>, key: Key<Upstream>) {
        if let Some(up) = arena.get_mut(key) {
            up.outstanding += 1;
            up.outlier.start_probe();
            up.record_history(now);
            self.outstanding += 1;
        }
        self.update_rank(now, arena, key);
    }

    /// Records the end of an attempt at a replica.
    pub fn end_attempt(&mut self, now: Time, arena: &mut Arena<Upstream>, key: Key<Upstream>) {
        if let Some(up) = arena.get_mut(key) {
            up.outstanding = up.outstanding.saturating_sub(1);
            up.record_history(now);
            self.outstanding = self.outstanding.saturating_sub(1);
        }
        self.update_rank(now, arena, key);
    }

    /// Upper bound on this router's attempts in the group, not counting urgent requests.
    pub fn max_outstanding(&self) -> u32 {
        self.max_outstanding
    }

    /// Number of slots of the usable replicas.
    pub fn slots(&self) -> u32 {
        self.layout.len() as u32
    }

    /// Removes a replica without outstanding attempts.
    pub fn remove(&mut self, key: Key<Upstream>, arena: &Arena<Upstream>) {
        self.members.remove(&key);
        self.assigned.retain(|k| *k != key);
        self.layout_stale = true;
        if let Some(up) = arena.get(key)
            && let Some(rank) = up.rank
        {
            self.ranked.remove(&(rank.cost, up.tie_breaker, key));
        }
    }

    /// Whether another replica may be ejected: at most a third of the group, and never the last
    /// usable one.
    pub fn may_eject(&self, arena: &Arena<Upstream>) -> bool {
        let suspended =
            self.members.iter().filter_map(|k| arena.get(*k)).filter(|u| u.outlier.is_suspended());
        (suspended.count() + 1) * 3 <= self.members.len().max(3) && self.ranked.len() > 1
    }

    /// Updates the slowness of all replicas: the time between tokens relative to the median, or 1 if
    /// the ratio is at most 1.5 or fewer than three replicas were measured.
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

    /// Chooses the replica with the lowest cost where this router has a free slot, if any.
    ///
    /// The candidates are the next few free replicas in round robin and the holders of the prompt's
    /// prefix. The cost depends on corrected load, slowness, prefix and failure domain.
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
        // Prefix hashes are not bound to a group: a replica of another group may hold the prefix,
        // but must not get the request.
        let holders =
            criteria.holders.iter().filter(|k| self.members.contains(k)).filter(|k| free(k));
        found.extend(holders);
        best(now, arena, &found, criteria)
    }

    /// Chooses the replica with the lowest cost for an urgent request, which may exceed the slots
    /// because engines apply its priority.
    pub fn choose_urgent(
        &self,
        now: Time,
        arena: &Arena<Upstream>,
        criteria: &Criteria<'_>,
    ) -> Option<Key<Upstream>> {
        let has_capacity = |k: &Key<Upstream>| {
            let full =
                |u: &Upstream| u.load(now) + 1.0 > f64::from(u.slots) * MAX_URGENT_LOAD_PER_SLOT;
            !criteria.excluded.contains(k)
                && arena.get(*k).is_some_and(|u| u.is_usable(now) && !full(u))
        };
        let cheapest = self.ranked.iter().map(|(_, _, k)| *k).filter(has_capacity);
        let found: Vec<Key<Upstream>> = cheapest.take(MAX_SCORED).collect();
        best(now, arena, &found, criteria)
    }
}

/// Criteria by which the replicas of a group are compared.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Replicas that hold the prefix of the prompt.
    pub holders: &'a [Key<Upstream>],
    /// Replicas that must not be chosen.
    pub excluded: &'a [Key<Upstream>],
    /// Failure domain of this router.
    pub domain: &'a str,
    /// Share of the request's work that a cached prefix saves.
    pub cached_share: f64,
}

/// The replica of the lowest cost among `found`.
fn best(
    now: Time,
    arena: &Arena<Upstream>,
    found: &[Key<Upstream>],
    criteria: &Criteria<'_>,
) -> Option<Key<Upstream>> {
    let cost = |key: &Key<Upstream>| {
        let up = arena.get(*key)?;
        let mut cost = up.cost(now);
        if criteria.holders.contains(key) {
            cost -= criteria.cached_share / f64::from(up.slots.max(1));
        }
        if up.failure_domain != criteria.domain {
            cost += OTHER_DOMAIN_COST;
        }
        Some((cost, *key))
    };
    let costs = found.iter().filter_map(cost);
    costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, k)| k)
}
