//! How many engines of each kind to order, by failure domain.
//!
//! Demand is the calls at a service's engines, held at its peak and forgotten slowly, so that bursts in
//! a row do not boot and drain engines in turn. Spot instances serve it, spread evenly and with as many
//! to spare as one failure domain holds, because all of a domain's may be reclaimed at once; ordinary
//! ones stay as a floor, and stand in where there are no spot instances to be had. They are only given up
//! for spot instances that already serve.

use std::collections::BTreeMap;

use derive_more::Display;

use super::leader::Outcome;
use crate::time::Span;
use crate::time::Time;

/// Share of its slots that an engine has taken at the peak, with room for what boots too late.
const TARGET_OCCUPANCY: f64 = 0.35;
/// Share of its slots from which on an engine has no room for urgent calls.
const CRITICAL_OCCUPANCY: f64 = 0.7;
/// Time after which a peak counts half.
const PEAK_HALF_LIFE: Span = Span::secs(600);
/// Growth of the peak below which nothing new is ordered.
const HYSTERESIS: f64 = 0.05;
/// Replicas that may be ordered or given up in a second. All gateways have to learn of each; thousands at
/// once are known too late where links are narrow.
const MAX_CHANGES_PER_S: f64 = 60.0;
/// Time beyond the boot after which replicas that were ordered are taken as lost.
const BOOT_SLACK: Span = Span::millis(1_500);
/// Time for which a refused order of spot instances shows that there are none.
const DRY: Span = Span::secs(3);
/// Time from a refused order to the next.
const RETRY: Span = Span::secs(1);

/// Bounds and prices of a service's replicas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// Fewest replicas in a failure domain.
    pub min: u32,
    /// Most replicas in a failure domain, of both kinds together.
    pub max: u32,
    /// Time from an order until the replica serves.
    pub boot: Span,
    /// Price of a spot instance relative to an ordinary replica; `None` if there are none.
    pub spot_price: Option<f64>,
}

/// What a replica costs, and whether it may be reclaimed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display(rename_all = "snake_case")]
pub enum Kind {
    /// Stays until it is given up.
    Ordinary,
    /// May be reclaimed at short notice, all of a failure domain at once.
    Spot,
}

/// Replicas of a service in one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Ordinary replicas that take work.
    pub ordinary: u32,
    /// Spot instances that take work.
    pub spot: u32,
    /// Spot instances that are leaving.
    pub reclaimed: u32,
}

impl Capacity {
    fn of(&self, kind: Kind) -> u32 {
        match kind {
            Kind::Ordinary => self.ordinary,
            Kind::Spot => self.spot,
        }
    }
}

/// Replicas of a service by failure domain.
pub type Capacities = BTreeMap<String, Capacity>;

/// An order of replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Failure domain.
    pub domain: String,
    /// Kind of replicas.
    pub kind: Kind,
    /// Number wanted.
    pub desired: u32,
}

/// Engines without those of the largest failure domain that has spot instances: what the last leader
/// held necessary.
fn sure(capacities: &Capacities) -> u32 {
    let engines = |capacity: &Capacity| capacity.ordinary + capacity.spot;
    let there: u32 = capacities.values().map(engines).sum();
    let with_spot = capacities.values().filter(|capacity| capacity.spot > 0);
    there - with_spot.map(engines).max().unwrap_or(0)
}

/// The last order of a kind in a failure domain.
#[derive(Clone, Copy, Debug)]
struct Placed {
    desired: u32,
    at: Time,
    outcome: Outcome,
    reclaimed: u32,
}

/// Orders of one service, as one leader places them.
#[derive(Debug)]
pub struct Autoscaler {
    slots: u32,
    ordinary_share: f64,
    /// Calls at the engines now.
    calls: f64,
    peak: f64,
    /// When the peak was seen; `None` before the first look.
    peak_at: Option<Time>,
    needed: u32,
    /// Ordinary replicas in each failure domain that spot instances have yet to replace.
    unreplaced: BTreeMap<String, u32>,
    /// Changes that may be ordered now, and when they were counted.
    allowed: f64,
    allowed_at: Option<Time>,
    placed: BTreeMap<(String, Kind), Placed>,
}

impl Autoscaler {
    /// Of a service whose engines run `slots` requests at once; `ordinary_share` of the engines that
    /// serve the demand are ordinary ones.
    pub fn new(slots: u32, ordinary_share: f64) -> Autoscaler {
        Autoscaler {
            slots: slots.max(1),
            ordinary_share,
            calls: 0.0,
            peak: 0.0,
            peak_at: None,
            needed: 0,
            unreplaced: BTreeMap::new(),
            allowed: 0.0,
            allowed_at: None,
            placed: BTreeMap::new(),
        }
    }

    fn calls_per_engine(&self) -> f64 {
        TARGET_OCCUPANCY * f64::from(self.slots)
    }

    /// Takes in how many calls the engines have, running or waiting.
    ///
    /// What is there before any spot instance, or at the first look, counts as a peak: a new leader has
    /// seen no demand yet, and those before it, or the operator, have.
    pub fn observe(&mut self, now: Time, calls: f64, capacities: &Capacities) {
        let has_spot = capacities.values().any(|capacity| capacity.spot > 0);
        if self.peak_at.is_none() || !has_spot {
            self.peak = self.peak.max(f64::from(sure(capacities)) * self.calls_per_engine());
            self.peak_at = Some(now);
        }
        self.calls = calls;
        let held = self.peak_held(now);
        if calls >= held {
            self.peak = calls;
            self.peak_at = Some(now);
        }
    }

    fn peak_held(&self, now: Time) -> f64 {
        let age = self.peak_at.map_or(Span(0), |at| now.since(at));
        self.peak * 0.5_f64.powf(age.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64())
    }

    /// Engines that serve the demand.
    pub fn needed(&self) -> u32 {
        self.needed
    }

    /// Orders to place at `now`.
    pub fn plan(&mut self, now: Time, scaling: &Scaling, capacities: &Capacities) -> Vec<Order> {
        if capacities.is_empty() || scaling.spot_price.is_none_or(|price| price >= 1.0) {
            return Vec::new();
        }
        self.need(now);
        self.allow(now);
        let is_short = self.is_short(capacities);
        let mut orders = Vec::new();
        for (domain, capacity) in capacities {
            let is_dry = is_short && self.is_dry(now, domain);
            let target = self.target(is_dry, scaling, capacities.len() as u32, domain, capacity);
            for (kind, desired) in target {
                let order = Order { domain: domain.clone(), kind, desired };
                if self.is_due(now, scaling, capacity, &order) {
                    orders.extend(self.limited(now, scaling, capacity, order));
                }
            }
        }
        orders
    }

    fn need(&mut self, now: Time) {
        let wanted = (self.peak_held(now) / self.calls_per_engine()).ceil() as u32;
        let change = (f64::from(wanted) - f64::from(self.needed)).abs();
        if change > HYSTERESIS * f64::from(self.needed) {
            self.needed = wanted;
        }
    }

    /// What a failure domain is to have of each kind; `is_dry` if ordinary replicas are to stand in.
    fn target(
        &mut self,
        is_dry: bool,
        scaling: &Scaling,
        domains: u32,
        domain: &str,
        capacity: &Capacity,
    ) -> [(Kind, u32); 2] {
        let share = self.ordinary_share * f64::from(self.needed) / f64::from(domains.max(1));
        let floor = (share.ceil() as u32).clamp(scaling.min, scaling.max);
        // As many as serve the demand without one of the failure domains.
        let others = domains.saturating_sub(1).max(1);
        let spot = self.needed.div_ceil(others).saturating_sub(floor).min(scaling.max - floor);
        let missing = spot.saturating_sub(capacity.spot);
        let is_new = !self.placed.contains_key(&(domain.to_owned(), Kind::Ordinary));
        let unreplaced = self.unreplaced.entry(domain.to_owned()).or_default();
        if is_new {
            *unreplaced = capacity.ordinary.max(*unreplaced);
        } else if is_dry {
            // Half of the room, so that spot instances find the other half when they are back.
            *unreplaced = missing.min(scaling.max / 2).max(*unreplaced);
        } else if capacity.spot >= *unreplaced {
            *unreplaced = 0;
        }
        let ordinary = unreplaced.saturating_sub(capacity.spot).max(floor);
        let room = scaling.max.saturating_sub(ordinary);
        [(Kind::Ordinary, ordinary), (Kind::Spot, spot.min(room))]
    }

    /// Whether the engines that are there have no room.
    fn is_short(&self, capacities: &Capacities) -> bool {
        let there: u32 =
            capacities.values().map(|capacity| capacity.ordinary + capacity.spot).sum();
        self.calls > CRITICAL_OCCUPANCY * f64::from(self.slots * there)
    }

    /// Whether no spot instances are to be had in a failure domain.
    fn is_dry(&self, now: Time, domain: &str) -> bool {
        let placed = self.placed.get(&(domain.to_owned(), Kind::Spot));
        placed.is_some_and(|p| p.outcome == Outcome::Refused && now.since(p.at) < DRY)
    }

    fn allow(&mut self, now: Time) {
        let since = self.allowed_at.replace(now);
        let earned = since.map_or(1.0, |at| now.since(at).as_secs_f64()) * MAX_CHANGES_PER_S;
        self.allowed = (self.allowed + earned).min(MAX_CHANGES_PER_S);
    }

    /// The part of an order that may be placed now, if any.
    fn limited(
        &mut self,
        now: Time,
        scaling: &Scaling,
        capacity: &Capacity,
        order: Order,
    ) -> Option<Order> {
        let there = capacity.of(order.kind);
        let placed = self.placed.get(&(order.domain.clone(), order.kind));
        let pending = placed.filter(|p| {
            p.outcome == Outcome::Accepted && now.since(p.at) < scaling.boot + BOOT_SLACK
        });
        let was_reclaimed = pending.is_some_and(|p| capacity.reclaimed > p.reclaimed);
        let from = match pending {
            Some(placed) if !was_reclaimed => placed.desired,
            _ => there,
        };
        // After a refusal one replica shows whether there are any again.
        let was_refused = placed.is_some_and(|p| p.outcome == Outcome::Refused);
        let most = if was_refused { 1 } else { self.allowed as u32 };
        let change = from.abs_diff(order.desired).min(most);
        if change == 0 && from != order.desired {
            return None;
        }
        self.allowed = (self.allowed - f64::from(change)).max(0.0);
        let limited = if order.desired > from { from + change } else { from - change };
        // Replicas whose entries are missing may be there: what was ordered is not taken back for them.
        let before = placed.map_or(0, |p| p.desired.min(order.desired));
        Some(Order { desired: limited.max(before), ..order })
    }

    fn is_due(&self, now: Time, scaling: &Scaling, capacity: &Capacity, order: &Order) -> bool {
        let there = capacity.of(order.kind);
        let Some(placed) = self.placed.get(&(order.domain.clone(), order.kind)) else {
            return there != order.desired;
        };
        let age = now.since(placed.at);
        if placed.outcome != Outcome::Accepted {
            return age >= RETRY;
        }
        let was_reclaimed = order.kind == Kind::Spot && capacity.reclaimed > placed.reclaimed;
        let is_late = there < order.desired && age >= scaling.boot + BOOT_SLACK;
        placed.desired != order.desired || was_reclaimed || is_late
    }

    /// Records what came of an order.
    pub fn record_outcome(
        &mut self,
        now: Time,
        order: &Order,
        outcome: Outcome,
        capacities: &Capacities,
    ) {
        let reclaimed = capacities.get(&order.domain).map_or(0, |capacity| capacity.reclaimed);
        let placed = Placed { desired: order.desired, at: now, outcome, reclaimed };
        self.placed.insert((order.domain.clone(), order.kind), placed);
    }
}
