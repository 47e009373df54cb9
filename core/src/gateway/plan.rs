//! Size and members of the isolated pool of each service, decided once for all gateways.
//!
//! Engines isolated for urgent streams serve their purpose only if all gateways mean the same ones.
//! One gateway, the first live one in a common order, sums up the reports of all (see
//! [`super::tally`]) and publishes a [`Plan`] with an epoch, which heartbeats spread. A later epoch
//! replaces an earlier one. Nothing is locked: the next decider continues from the last epoch, and a
//! gateway without a plan goes by its own observations.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::config::Engine;
use super::gaps::Gaps;
use super::pool;
use super::pool::Pool;
use super::tally::Report;
use super::tally::Sums;
use crate::time::Span;
use crate::time::Time;

/// Time before a new decider publishes its first plan; most gateways have reported to it by then.
const SETTLED: Span = Span::millis(1_500);
/// Lifetime of a gateway's count of streams in progress, which it reports at least every second.
const REPORT_VALID: Span = Span::millis(3_000);
/// Time after which what was seen counts half: a burst of a few seconds moves it, a single clump of
/// arrivals does not.
const HALF_LIFE: Span = Span::secs(5);
/// Streams begun that count in any case, so that a quiet hour forgets nothing.
const LEAST_BEGUN: f64 = 100.0;
/// Events of a stream before any was seen, and streams that this prior weighs as much as.
const PRIOR_EVENTS: f64 = 30.0;
const PRIOR_BEGUN: f64 = 1.0;
/// Upper bound on kinds of streams, by their pauses, in a plan or a tally.
const MOST_KINDS: usize = 16;
/// Services whose plans are known at a time, at most.
const MOST_SERVICES: usize = 256;

/// What all gateways do at one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Short hash of the service's name.
    pub service: u32,
    /// Number of the decision; a later one has a greater one.
    pub epoch: u32,
    /// Short hash of the decider's name, which decides between two of the same epoch.
    pub by: u32,
    /// Size of the isolated pool, from the first engine in the order of their hashes.
    pub pool_size: u16,
    /// Pauses of the streams that go there, in milliseconds.
    pub isolated_pauses_ms: Vec<u32>,
    /// Age of the decision in milliseconds; at most a minute.
    pub age_ms: u16,
}

impl Plan {
    /// Whether streams that may pause for `pause` go to the isolated pool.
    pub fn isolates(&self, pause: Span) -> bool {
        self.isolated_pauses_ms.iter().any(|ms| u64::from(*ms) == pause.as_millis())
    }

    fn order(&self) -> (u32, u32) {
        (self.epoch, self.by)
    }
}

/// How a received plan compares to the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum Comparison {
    /// It is the known one.
    Same,
    /// It is an earlier one: its sender is stale.
    Older,
    /// It is a later one and was taken.
    Newer,
}

/// The plans that a gateway goes by.
#[derive(Debug, Default)]
pub struct Table {
    plans: BTreeMap<u32, (Plan, Time)>,
}

impl Table {
    /// The plan of a service.
    pub fn get(&self, service: u32) -> Option<&Plan> {
        self.plans.get(&service).map(|(plan, _)| plan)
    }

    /// Takes a plan in if it is a later one. One that nobody can have decided is passed over.
    pub fn receive(&mut self, now: Time, plan: &Plan) -> Option<Comparison> {
        if plan.isolated_pauses_ms.len() > MOST_KINDS {
            return None;
        }
        let known = self.plans.get(&plan.service);
        match known.map(|(known, _)| plan.order().cmp(&known.order())) {
            Some(std::cmp::Ordering::Equal) => return Some(Comparison::Same),
            Some(std::cmp::Ordering::Less) => return Some(Comparison::Older),
            None if self.plans.len() >= MOST_SERVICES => return None,
            _ => {}
        }
        let decided = now - Span::millis(u64::from(plan.age_ms));
        self.plans.insert(plan.service, (plan.clone(), decided));
        Some(Comparison::Newer)
    }

    /// All plans, to gossip.
    pub fn gossip(&self, now: Time) -> Vec<Plan> {
        let aged = |(plan, decided): &(Plan, Time)| Plan {
            age_ms: now.since(*decided).as_millis().min(60_000) as u16,
            ..plan.clone()
        };
        self.plans.values().map(aged).collect()
    }

    /// Forgets the plans of services that are gone.
    pub fn retain(&mut self, mut exists: impl FnMut(u32) -> bool) {
        self.plans.retain(|service, _| exists(*service));
    }
}

/// One kind of streams over all gateways.
#[derive(Debug)]
struct Kind {
    begun: f64,
    events: f64,
    late: bool,
}

/// What is known of a service over all gateways.
#[derive(Debug, Default)]
struct Service {
    kinds: BTreeMap<u32, Kind>,
    gaps: Gaps,
    pool: Pool,
    /// Streams in progress by gateway and pause, and when they were reported.
    open: BTreeMap<u32, (Time, BTreeMap<u32, u16>)>,
}

/// What there is to decide about.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// Short hash of the service's name.
    pub service: u32,
    /// Its engines.
    pub engine: &'a Engine,
    /// How many of these may get work.
    pub engines: usize,
    /// The plan in force.
    pub known: Option<&'a Plan>,
}

/// What the decider knows.
#[derive(Debug, Default)]
pub struct Planner {
    since: Option<Time>,
    faded: Time,
    services: BTreeMap<u32, Service>,
}

impl Planner {
    /// Records at `now` whether this gateway is the decider. A new decider starts empty.
    pub fn set_decider(&mut self, now: Time, decides: bool) {
        if !decides {
            *self = Planner::default();
        } else if self.since.is_none() {
            self.since = Some(now);
            self.faded = now;
        }
    }

    /// Whether this gateway is the decider.
    pub fn is_decider(&self) -> bool {
        self.since.is_some()
    }

    /// Merges a gateway's report; a gateway that does not decide ignores it.
    pub fn merge(&mut self, now: Time, report: &Report) {
        if self.since.is_none() {
            return;
        }
        for sums in &report.services {
            if self.services.len() < MOST_SERVICES || self.services.contains_key(&sums.service) {
                let service = self.services.entry(sums.service).or_default();
                service.merge(now, report.gateway, sums);
            }
        }
    }

    /// The next plan; `None` while too little is known, or if nothing changes. `reach` converts a number
    /// of usable engines to a number of listed ones.
    pub fn decide(
        &mut self,
        now: Time,
        by: u32,
        input: &Input<'_>,
        reach: impl Fn(usize) -> usize,
    ) -> Option<Plan> {
        if now.since(self.since?) < SETTLED {
            return None;
        }
        let Input { service, engine, engines, known } = *input;
        let heard = self.services.get_mut(&service)?;
        let isolated_pauses_ms = heard.isolated_pauses_ms(engine, known);
        let streams = heard.streams(now, &isolated_pauses_ms);
        let size = heard.pool.size(now, streams, engine, engines);
        let pool_size = steady(reach(size), engines, known).min(usize::from(u16::MAX)) as u16;
        if known.is_some_and(|known| {
            known.pool_size == pool_size && known.isolated_pauses_ms == isolated_pauses_ms
        }) {
            return None;
        }
        let epoch = known.map_or(0, |known| known.epoch).saturating_add(1);
        Some(Plan { service, epoch, by, pool_size, isolated_pauses_ms, age_ms: 0 })
    }

    /// Lets what was seen before fade; to be called every now and then.
    pub fn decay(&mut self, now: Time) {
        let elapsed = now.since(std::mem::replace(&mut self.faded, now));
        let keeps = (0.5_f64).powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.services.values_mut().for_each(|service| service.decay(now, keeps));
    }
}

/// The size to publish where `needed` engines are needed: the known one as long as that has them and
/// not a whole step more. Otherwise an engine that rests for a moment would move the lane's end.
fn steady(needed: usize, engines: usize, known: Option<&Plan>) -> usize {
    let known = known.map_or(0, |known| usize::from(known.pool_size));
    let spare = pool::step(engines);
    let suffices = needed > 0 && (needed..needed + spare).contains(&known);
    if suffices { known } else { needed }
}

impl Service {
    fn merge(&mut self, now: Time, gateway: u32, sums: &Sums) {
        for stream in sums.streams.iter().take(MOST_KINDS) {
            if self.kinds.len() >= MOST_KINDS && !self.kinds.contains_key(&stream.pause_ms) {
                continue;
            }
            let prior =
                Kind { begun: PRIOR_BEGUN, events: PRIOR_BEGUN * PRIOR_EVENTS, late: false };
            let kind = self.kinds.entry(stream.pause_ms).or_insert(prior);
            kind.begun += f64::from(stream.begun);
            kind.events += f64::from(stream.begun) + f64::from(stream.events);
        }
        for (class, count) in &sums.gaps {
            self.gaps.add(*class, f64::from(*count));
        }
        self.pool.merge(
            sums.prefill_ms.into(),
            sums.duration_ms.into(),
            sums.all_prefill_ms.into(),
        );
        let open = sums.streams.iter().take(MOST_KINDS).map(|s| (s.pause_ms, s.open)).collect();
        self.open.insert(gateway, (now, open));
    }

    fn decay(&mut self, now: Time, keeps: f64) {
        for kind in self.kinds.values_mut() {
            let keeps = keeps.max((LEAST_BEGUN / kind.begun).min(1.0));
            kind.begun *= keeps;
            kind.events *= keeps;
        }
        self.gaps.decay(keeps);
        self.pool.decay(keeps);
        self.open.retain(|_, (at, _)| now.since(*at) < REPORT_VALID);
    }

    /// Pauses of the streams that come late beside long prompts, in milliseconds.
    fn isolated_pauses_ms(&mut self, engine: &Engine, known: Option<&Plan>) -> Vec<u32> {
        let mut isolated = Vec::new();
        for (pause_ms, kind) in &mut self.kinds {
            let pause = Span::millis(u64::from(*pause_ms));
            let was = kind.late || known.is_some_and(|known| known.isolates(pause));
            kind.late =
                self.gaps.are_late(pause, kind.events / kind.begun, engine.tokens_per_event, was);
            if kind.late {
                isolated.push(*pause_ms);
            }
        }
        isolated
    }

    fn streams(&self, now: Time, isolated_pauses_ms: &[u32]) -> u32 {
        let told = self.open.values().filter(|(at, _)| now.since(*at) < REPORT_VALID);
        let open = told.flat_map(|(_, open)| open.iter());
        open.filter(|(pause, _)| isolated_pauses_ms.contains(pause))
            .map(|(_, n)| u32::from(*n))
            .sum()
    }
}
