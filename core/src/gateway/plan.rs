//! Decides the size of each service's isolated pool and the streams in it, once for all gateways.
//!
//! The pool only serves its purpose if all gateways agree on it. One gateway is the decider: the
//! first live one in a common order. It sums up the reports of all gateways (see [`super::tally`])
//! and publishes a [`Plan`] with an epoch, which heartbeats spread; a later epoch replaces an
//! earlier one. There is no lock: the next decider continues from the last epoch, and a gateway
//! without a plan uses its own observations.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::config::Engine;
use super::gaps::Gaps;
use super::inversion;
use super::inversion::Inversion;
use super::inversion::Results;
use super::pool;
use super::pool::Pool;
use super::tally::Report;
use super::tally::Sums;
use crate::time::Span;
use crate::time::Time;

/// Time before a new decider publishes its first plan; most gateways have reported to it by then.
const WARM_UP: Span = Span::millis(1_500);
/// Lifetime of a gateway's count of streams in progress, which it reports at least every second.
const REPORT_LIFETIME: Span = Span::millis(3_000);
/// Half-life of the observations: a burst of a few seconds changes the plan, a single clump of
/// arrivals does not.
const HALF_LIFE: Span = Span::secs(5);
/// Number of begun streams at which the counts of a kind stop decaying, so that a quiet hour does
/// not erase them.
const MIN_BEGUN: f64 = 100.0;
/// Expected events of a stream before any was observed.
const PRIOR_EVENTS: f64 = 30.0;
/// Weight of this prior, in streams.
const PRIOR_BEGUN: f64 = 1.0;
/// Prefill time of a less urgent kind, relative to that of the more urgent ones, up to which it is
/// added to the isolated pool.
const MAX_ADDED_RATIO: f64 = 0.7;
/// The same ratio up to which it stays there.
const MAX_HELD_RATIO: f64 = 1.2;
/// Upper bound on the kinds of streams, which differ in their allowed pause, in a plan or a report.
const MAX_KINDS: usize = 16;
/// Upper bound on the services with a plan or with observations.
const MAX_SERVICES: usize = 256;

/// Isolated pool of one service, as all gateways are to use it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Short hash of the service's name.
    pub service: u32,
    /// Number of the decision; it grows with each one.
    pub epoch: u32,
    /// Short hash of the decider's name; of two plans of the same epoch, the greater one prevails.
    pub by: u32,
    /// Number of engines in the isolated pool: the fastest ones if paces differ, and of those alike
    /// the first ones in the order of their hashes.
    pub pool_size: u16,
    /// Allowed pauses of the streams that go to the isolated pool, in milliseconds.
    pub isolated_pauses_ms: Vec<u32>,
    /// Age of the decision in milliseconds; at most a minute.
    pub age_ms: u16,
}

impl Plan {
    /// Whether streams with this allowed pause go to the isolated pool.
    pub fn isolates(&self, pause: Span) -> bool {
        self.isolated_pauses_ms.iter().any(|ms| u64::from(*ms) == pause.as_millis())
    }

    /// Shortest allowed pause of the streams in the isolated pool; zero if there are none.
    pub fn shortest_pause(&self) -> Span {
        let shortest = self.isolated_pauses_ms.iter().min();
        Span::millis(u64::from(shortest.copied().unwrap_or(0)))
    }

    fn order(&self) -> (u32, u32) {
        (self.epoch, self.by)
    }
}

/// How a received plan compares to the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum Comparison {
    /// The received plan is the known one.
    Same,
    /// The received plan is earlier, so that its sender is behind.
    Older,
    /// The received plan is later and has replaced the known one.
    Newer,
}

/// The plans in force at a gateway, by service.
#[derive(Debug, Default)]
pub struct Table {
    plans: BTreeMap<u32, (Plan, Time)>,
}

impl Table {
    /// The plan of a service.
    pub fn get(&self, service: u32) -> Option<&Plan> {
        self.plans.get(&service).map(|(plan, _)| plan)
    }

    /// Stores a plan if it is later than the known one. `None` if it is ignored: it has more pauses
    /// than any decider publishes, or the table is full.
    pub fn receive(&mut self, now: Time, plan: &Plan) -> Option<Comparison> {
        if plan.isolated_pauses_ms.len() > MAX_KINDS {
            return None;
        }
        let known = self.plans.get(&plan.service);
        match known.map(|(known, _)| plan.order().cmp(&known.order())) {
            Some(std::cmp::Ordering::Equal) => return Some(Comparison::Same),
            Some(std::cmp::Ordering::Less) => return Some(Comparison::Older),
            None if self.plans.len() >= MAX_SERVICES => return None,
            _ => {}
        }
        let decided = now - Span::millis(u64::from(plan.age_ms));
        self.plans.insert(plan.service, (plan.clone(), decided));
        Some(Comparison::Newer)
    }

    /// All plans with their ages, to gossip.
    pub fn gossip(&self, now: Time) -> Vec<Plan> {
        let aged = |(plan, decided): &(Plan, Time)| Plan {
            age_ms: now.since(*decided).as_millis().min(60_000) as u16,
            ..plan.clone()
        };
        self.plans.values().map(aged).collect()
    }

    /// Drops the plans of removed services.
    pub fn retain(&mut self, mut exists: impl FnMut(u32) -> bool) {
        self.plans.retain(|service, _| exists(*service));
    }
}

/// Streams with the same allowed pause, of all gateways.
#[derive(Debug)]
struct Kind {
    begun: f64,
    events: f64,
    /// Expected prefill time, in milliseconds.
    prefill_ms: f64,
    results: Results,
    /// Whether these streams are late beside long prompts.
    late: bool,
}

/// Observations of one service by all gateways.
#[derive(Debug, Default)]
struct Service {
    kinds: BTreeMap<u32, Kind>,
    gaps: Gaps,
    pool: Pool,
    inversion: Inversion,
    /// Newest change of the steps, until it is taken.
    changed: Option<inversion::Change>,
    /// Streams in progress by gateway and allowed pause, with the time of the report.
    open: BTreeMap<u32, (Time, BTreeMap<u32, u16>)>,
}

/// Input of a decision about one service.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// Short hash of the service's name.
    pub service: u32,
    /// Properties of its engines.
    pub engine: &'a Engine,
    /// Number of engines that may get calls.
    pub engines: usize,
    /// The plan in force.
    pub known: Option<&'a Plan>,
    /// Rank of the most urgent route by the allowed pause of its streams in milliseconds; 0 is the
    /// highest.
    pub ranks: &'a BTreeMap<u32, u8>,
    /// Whether the paces of the engines differ by more than a class.
    pub uneven: bool,
}

/// The decider's observations; empty at all other gateways.
#[derive(Debug, Default)]
pub struct Planner {
    /// Time at which this gateway became the decider.
    since: Option<Time>,
    decayed: Time,
    services: BTreeMap<u32, Service>,
}

impl Planner {
    /// Records at `now` whether this gateway is the decider. A new decider starts empty.
    pub fn set_decider(&mut self, now: Time, decides: bool) {
        if !decides {
            *self = Planner::default();
        } else if self.since.is_none() {
            self.since = Some(now);
            self.decayed = now;
        }
    }

    /// Whether this gateway is the decider.
    pub fn is_decider(&self) -> bool {
        self.since.is_some()
    }

    /// Merges a gateway's report; does nothing if this gateway is not the decider.
    pub fn merge(&mut self, now: Time, report: &Report) {
        if self.since.is_none() {
            return;
        }
        for sums in &report.services {
            if self.services.len() < MAX_SERVICES || self.services.contains_key(&sums.service) {
                let service = self.services.entry(sums.service).or_default();
                service.merge(now, report.gateway, sums);
            }
        }
    }

    /// The next plan; `None` during the warm-up, without any report, or if nothing has changed.
    /// `listed_prefix` converts a number of usable engines to a number of listed ones.
    pub fn decide(
        &mut self,
        now: Time,
        by: u32,
        input: &Input<'_>,
        listed_prefix: impl Fn(usize) -> usize,
    ) -> Option<Plan> {
        if now.since(self.since?) < WARM_UP {
            return None;
        }
        let Input { service, engine, engines, known, .. } = *input;
        let observed = self.services.get_mut(&service)?;
        let isolated_pauses_ms = observed.isolated_pauses_ms(input);
        let streams = observed.streams(now, &isolated_pauses_ms);
        let size = observed.pool.size(now, streams, engine, engines);
        let size = match input.uneven {
            true => observed.grow(now, size, input),
            false => {
                observed.end_inversion(service);
                size
            }
        };
        let pool_size =
            stabilise(listed_prefix(size), engines, known).min(usize::from(u16::MAX)) as u16;
        if known.is_some_and(|known| {
            known.pool_size == pool_size && known.isolated_pauses_ms == isolated_pauses_ms
        }) {
            return None;
        }
        let epoch = known.map_or(0, |known| known.epoch).saturating_add(1);
        Some(Plan { service, epoch, by, pool_size, isolated_pauses_ms, age_ms: 0 })
    }

    /// Steps and shares on time of a service whose paces differ; `None` during the warm-up and
    /// without any report.
    pub fn inversion(&self, now: Time, input: &Input<'_>) -> Option<inversion::Change> {
        let is_warm = now.since(self.since?) >= WARM_UP;
        let service = self.services.get(&input.service).filter(|_| is_warm && input.uneven)?;
        let (steps, results) = (service.inversion.steps(), service.results(input.ranks));
        Some(inversion::Change::new(input.service, steps, &results))
    }

    /// Takes the changes of the steps by which pools grow.
    pub fn take_changes(&mut self) -> Vec<inversion::Change> {
        self.services.values_mut().filter_map(|service| service.changed.take()).collect()
    }

    /// Decays the observations by the time since the last call; to be called before each decision.
    pub fn decay(&mut self, now: Time) {
        let elapsed = now.since(std::mem::replace(&mut self.decayed, now));
        let factor = (0.5_f64).powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.services.values_mut().for_each(|service| service.decay(now, factor));
    }
}

/// The pool size to publish if `needed` engines are needed: the known size if it suffices and has
/// less than one step to spare. Without this rule, a short backoff of one engine would move the
/// pool's boundary.
fn stabilise(needed: usize, engines: usize, known: Option<&Plan>) -> usize {
    let known = known.map_or(0, |known| usize::from(known.pool_size));
    let step = pool::step(engines);
    let suffices = needed > 0 && (needed..needed + step).contains(&known);
    if suffices { known } else { needed }
}

impl Service {
    fn merge(&mut self, now: Time, gateway: u32, sums: &Sums) {
        for stream in sums.streams.iter().take(MAX_KINDS) {
            if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&stream.pause_ms) {
                continue;
            }
            let prior = Kind {
                begun: PRIOR_BEGUN,
                events: PRIOR_BEGUN * PRIOR_EVENTS,
                prefill_ms: 0.0,
                results: Results::default(),
                late: false,
            };
            let kind = self.kinds.entry(stream.pause_ms).or_insert(prior);
            kind.begun += f64::from(stream.begun);
            kind.events += f64::from(stream.begun) + f64::from(stream.events);
            kind.prefill_ms += f64::from(stream.prefill_ms);
            kind.results.ended += f64::from(stream.ended);
            kind.results.on_time += f64::from(stream.on_time.min(stream.ended));
        }
        for (bucket, count) in &sums.gaps {
            self.gaps.add(*bucket, f64::from(*count));
        }
        self.pool.merge(
            sums.prefill_ms.into(),
            sums.duration_ms.into(),
            sums.all_prefill_ms.into(),
        );
        let open = sums.streams.iter().take(MAX_KINDS).map(|s| (s.pause_ms, s.open)).collect();
        self.open.insert(gateway, (now, open));
    }

    fn decay(&mut self, now: Time, factor: f64) {
        let unbounded = factor;
        for kind in self.kinds.values_mut() {
            let factor = factor.max((MIN_BEGUN / kind.begun).min(1.0));
            kind.begun *= factor;
            kind.events *= factor;
            kind.prefill_ms *= factor;
            kind.results.ended *= unbounded;
            kind.results.on_time *= unbounded;
        }
        self.gaps.decay(factor);
        self.pool.decay(factor);
        self.open.retain(|_, (at, _)| now.since(*at) < REPORT_LIFETIME);
    }

    /// Allowed pauses of the streams that go to the isolated pool, in milliseconds: those that are
    /// late beside long prompts. If paces differ, the less urgent ones are left out that the pool
    /// can't hold.
    fn isolated_pauses_ms(&mut self, input: &Input<'_>) -> Vec<u32> {
        let Input { engine, known, .. } = *input;
        let mut isolated = Vec::new();
        for (pause_ms, kind) in &mut self.kinds {
            let pause = Span::millis(u64::from(*pause_ms));
            let was_late = kind.late || known.is_some_and(|known| known.isolates(pause));
            kind.late = self.gaps.are_late(
                pause,
                kind.events / kind.begun,
                engine.tokens_per_event,
                was_late,
            );
            if kind.late {
                isolated.push(*pause_ms);
            }
        }
        if input.uneven { self.retain_held(isolated, input) } else { isolated }
    }

    /// Those of the kinds with these allowed pauses that the pool can hold. The most urgent rank
    /// stays. A kind of a lower rank that takes more prefill than all more urgent ones puts as many
    /// prompts beside them as the pool keeps out.
    fn retain_held(&self, mut pauses_ms: Vec<u32>, input: &Input<'_>) -> Vec<u32> {
        let rank = |pause_ms: &u32| input.ranks.get(pause_ms).copied().unwrap_or(u8::MAX);
        pauses_ms.sort_by_key(|pause_ms| (rank(pause_ms), *pause_ms));
        let Some(first) = pauses_ms.first().map(&rank) else {
            return pauses_ms;
        };
        let mut held_ms = 0.0;
        pauses_ms.retain(|pause_ms| {
            let prefill_ms = self.kinds.get(pause_ms).map_or(0.0, |kind| kind.prefill_ms);
            let pause = Span::millis(u64::from(*pause_ms));
            let was_held = input.known.is_some_and(|known| known.isolates(pause));
            let ratio = if was_held { MAX_HELD_RATIO } else { MAX_ADDED_RATIO };
            let is_held = rank(pause_ms) == first || prefill_ms <= ratio * held_ms;
            held_ms += if is_held { prefill_ms } else { 0.0 };
            is_held
        });
        pauses_ms.sort_unstable();
        pauses_ms
    }

    /// The pool size, with the steps that it grows by while the most urgent rank is served worse
    /// than another one.
    fn grow(&mut self, now: Time, size: usize, input: &Input<'_>) -> usize {
        let results = self.results(input.ranks);
        let known = self.inversion.steps();
        let steps = self.inversion.update(now, &results);
        if steps != known {
            self.changed = Some(inversion::Change::new(input.service, steps, &results));
        }
        let largest = pool::max_size(input.engines).max(size);
        if size == 0 { 0 } else { (size + steps * pool::step(input.engines)).min(largest) }
    }

    /// Forgets the inversion of a service whose paces do not differ: what was seen before does not
    /// tell how long a later inversion has lasted.
    fn end_inversion(&mut self, service: u32) {
        if self.inversion.steps() > 0 {
            self.changed = Some(inversion::Change::new(service, 0, &BTreeMap::new()));
        }
        self.inversion = Inversion::default();
    }

    /// Results by rank of those kinds whose rank is known.
    fn results(&self, ranks: &BTreeMap<u32, u8>) -> BTreeMap<u8, Results> {
        let mut results: BTreeMap<u8, Results> = BTreeMap::new();
        for (pause_ms, kind) in &self.kinds {
            if let Some(rank) = ranks.get(pause_ms) {
                let sum = results.entry(*rank).or_default();
                sum.ended += kind.results.ended;
                sum.on_time += kind.results.on_time;
            }
        }
        results
    }

    /// Streams in progress at all gateways that go to the isolated pool.
    fn streams(&self, now: Time, isolated_pauses_ms: &[u32]) -> u32 {
        let recent = self.open.values().filter(|(at, _)| now.since(*at) < REPORT_LIFETIME);
        let open = recent.flat_map(|(_, open)| open.iter());
        open.filter(|(pause, _)| isolated_pauses_ms.contains(pause))
            .map(|(_, n)| u32::from(*n))
            .sum()
    }
}
