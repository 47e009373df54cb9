//! Decides how many engines of each kind to order in each failure domain.
//!
//! Demand is the number of calls at a service's engines. The autoscaler follows its slowly decaying
//! peak, so that successive bursts do not boot and drain engines in turn. Spot instances serve the
//! demand, spread evenly and with as many to spare as one failure domain holds, because all of a
//! domain's may be reclaimed at once. Ordinary engines are a minimum, and replace spot instances
//! that are unavailable. They are only released for spot instances that already serve.

use std::collections::BTreeMap;

use derive_more::Display;

use super::leader::Outcome;
use crate::time::Span;
use crate::time::Time;

/// Share of an engine's slots in use at the peak; the rest serves rising demand while engines boot.
const TARGET_OCCUPANCY: f64 = 0.35;
/// Share of an engine's slots in use above which it has no room for urgent calls.
const CRITICAL_OCCUPANCY: f64 = 0.7;
/// Half-life of the decaying peak.
const PEAK_HALF_LIFE: Span = Span::secs(600);
/// Relative change of the number of needed engines below which it is ignored.
const HYSTERESIS: f64 = 0.05;
/// Upper bound on replicas ordered or released in a second. Every gateway must be notified of each
/// change, and thousands at once take too long over narrow links.
const MAX_CHANGES_PER_S: f64 = 60.0;
/// Time after the expected end of the boot until ordered replicas are considered lost.
const BOOT_SLACK: Span = Span::millis(1_500);
/// Time after a refused order for which spot instances are considered unavailable.
const UNAVAILABLE_FOR: Span = Span::secs(3);
/// Time from a failed order to the next.
const RETRY_INTERVAL: Span = Span::secs(1);

/// Limits and prices of a service's replicas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// Fewest replicas in a failure domain.
    pub min: u32,
    /// Most replicas in a failure domain, of both kinds together.
    pub max: u32,
    /// Time from an order until the replica serves.
    pub boot: Span,
    /// Price of a spot instance relative to an ordinary replica; `None` if none are offered.
    pub spot_price: Option<f64>,
}

/// Kind of replica, by its price and whether it may be reclaimed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display(rename_all = "snake_case")]
pub enum Kind {
    /// Stays until it is released.
    Ordinary,
    /// May be reclaimed at short notice, together with all others of its failure domain.
    Spot,
}

/// Replicas of a service in one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Ordinary replicas that accept calls.
    pub ordinary: u32,
    /// Spot instances that accept calls.
    pub spot: u32,
    /// Spot instances that have received a preemption notice.
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

/// Capacity of a service by failure domain.
pub type Capacities = BTreeMap<String, Capacity>;

/// An order of replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Failure domain.
    pub domain: String,
    /// Kind of replicas.
    pub kind: Kind,
    /// Desired number of replicas.
    pub desired: u32,
}

/// Number of engines that remain if the largest failure domain with spot instances is lost: the
/// number that the previous leader considered necessary.
fn safe_engine_count(capacities: &Capacities) -> u32 {
    let engines = |capacity: &Capacity| capacity.ordinary + capacity.spot;
    let total: u32 = capacities.values().map(engines).sum();
    let with_spot = capacities.values().filter(|capacity| capacity.spot > 0);
    total - with_spot.map(engines).max().unwrap_or(0)
}

/// The latest order of one kind in one failure domain.
#[derive(Clone, Copy, Debug)]
struct LastOrder {
    desired: u32,
    at: Time,
    outcome: Outcome,
    reclaimed: u32,
}

/// Autoscaler of one service during one term of a leader.
#[derive(Debug)]
pub struct Autoscaler {
    slots: u32,
    ordinary_share: f64,
    /// Current number of calls at the engines.
    calls: f64,
    /// Highest number of calls, at the time `peak_at`.
    peak: f64,
    /// Time of the peak; `None` before the first observation.
    peak_at: Option<Time>,
    needed: u32,
    /// Ordinary replicas in each failure domain that spot instances have yet to replace.
    unreplaced: BTreeMap<String, u32>,
    /// Number of replicas that may be ordered or released now.
    change_budget: f64,
    /// Time of the last update of the budget.
    budget_at: Option<Time>,
    last_orders: BTreeMap<(String, Kind), LastOrder>,
}

impl Autoscaler {
    /// An autoscaler of a service whose engines run `slots` requests at once. `ordinary_share` is
    /// the share of ordinary engines among those that serve the demand.
    pub fn new(slots: u32, ordinary_share: f64) -> Autoscaler {
        Autoscaler {
            slots: slots.max(1),
            ordinary_share,
            calls: 0.0,
            peak: 0.0,
            peak_at: None,
            needed: 0,
            unreplaced: BTreeMap::new(),
            change_budget: 0.0,
            budget_at: None,
            last_orders: BTreeMap::new(),
        }
    }

    fn calls_per_engine(&self) -> f64 {
        TARGET_OCCUPANCY * f64::from(self.slots)
    }

    /// Records the number of calls at the engines, running or waiting.
    ///
    /// The existing engines count as a peak at the first observation and as long as there are no
    /// spot instances, because a new leader has not observed the demand for which the previous
    /// leader or the operator ordered them.
    pub fn observe(&mut self, now: Time, calls: f64, capacities: &Capacities) {
        let has_spot = capacities.values().any(|capacity| capacity.spot > 0);
        if self.peak_at.is_none() || !has_spot {
            self.peak =
                self.peak.max(f64::from(safe_engine_count(capacities)) * self.calls_per_engine());
            self.peak_at = Some(now);
        }
        self.calls = calls;
        let decayed = self.decayed_peak(now);
        if calls >= decayed {
            self.peak = calls;
            self.peak_at = Some(now);
        }
    }

    fn decayed_peak(&self, now: Time) -> f64 {
        let age = self.peak_at.map_or(Span(0), |at| now.since(at));
        self.peak * 0.5_f64.powf(age.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64())
    }

    /// Number of engines that serve the demand.
    pub fn needed(&self) -> u32 {
        self.needed
    }

    /// Orders to place at `now`.
    pub fn plan(&mut self, now: Time, scaling: &Scaling, capacities: &Capacities) -> Vec<Order> {
        if capacities.is_empty() || scaling.spot_price.is_none_or(|price| price >= 1.0) {
            return Vec::new();
        }
        self.update_needed(now);
        self.refill_budget(now);
        let is_overloaded = self.is_overloaded(capacities);
        let mut orders = Vec::new();
        for (domain, capacity) in capacities {
            let is_spot_unavailable = is_overloaded && self.is_spot_unavailable(now, domain);
            let target = self.target(
                is_spot_unavailable,
                scaling,
                capacities.len() as u32,
                domain,
                capacity,
            );
            for (kind, desired) in target {
                let order = Order { domain: domain.clone(), kind, desired };
                if self.is_due(now, scaling, capacity, &order) {
                    orders.extend(self.limit(now, scaling, capacity, order));
                }
            }
        }
        orders
    }

    /// Updates the number of needed engines, unless it would change by less than [`HYSTERESIS`].
    fn update_needed(&mut self, now: Time) {
        let wanted = (self.decayed_peak(now) / self.calls_per_engine()).ceil() as u32;
        let change = (f64::from(wanted) - f64::from(self.needed)).abs();
        if change > HYSTERESIS * f64::from(self.needed) {
            self.needed = wanted;
        }
    }

    /// The desired number of replicas of each kind in a failure domain. If `is_spot_unavailable`,
    /// ordinary replicas replace the missing spot instances.
    fn target(
        &mut self,
        is_spot_unavailable: bool,
        scaling: &Scaling,
        domains: u32,
        domain: &str,
        capacity: &Capacity,
    ) -> [(Kind, u32); 2] {
        let share = self.ordinary_share * f64::from(self.needed) / f64::from(domains.max(1));
        let floor = (share.ceil() as u32).clamp(scaling.min, scaling.max);
        // Enough to serve the demand without one of the failure domains.
        let others = domains.saturating_sub(1).max(1);
        let spot = self.needed.div_ceil(others).saturating_sub(floor).min(scaling.max - floor);
        let missing = spot.saturating_sub(capacity.spot);
        let is_first = !self.last_orders.contains_key(&(domain.to_owned(), Kind::Ordinary));
        let unreplaced = self.unreplaced.entry(domain.to_owned()).or_default();
        if is_first {
            *unreplaced = capacity.ordinary.max(*unreplaced);
        } else if is_spot_unavailable {
            // At most half of the domain's limit: the other half is left for spot instances that
            // become available again.
            *unreplaced = missing.min(scaling.max / 2).max(*unreplaced);
        } else if capacity.spot >= *unreplaced {
            *unreplaced = 0;
        }
        let ordinary = unreplaced.saturating_sub(capacity.spot).max(floor);
        let room = scaling.max.saturating_sub(ordinary);
        [(Kind::Ordinary, ordinary), (Kind::Spot, spot.min(room))]
    }

    /// Whether the existing engines have no room for urgent calls.
    fn is_overloaded(&self, capacities: &Capacities) -> bool {
        let engines: u32 =
            capacities.values().map(|capacity| capacity.ordinary + capacity.spot).sum();
        self.calls > CRITICAL_OCCUPANCY * f64::from(self.slots * engines)
    }

    /// Whether an order of spot instances in a failure domain was refused recently.
    fn is_spot_unavailable(&self, now: Time, domain: &str) -> bool {
        let last = self.last_orders.get(&(domain.to_owned(), Kind::Spot));
        last.is_some_and(|l| l.outcome == Outcome::Refused && now.since(l.at) < UNAVAILABLE_FOR)
    }

    /// Adds to the budget of changes for the time since its last update.
    fn refill_budget(&mut self, now: Time) {
        let since = self.budget_at.replace(now);
        let earned = since.map_or(1.0, |at| now.since(at).as_secs_f64()) * MAX_CHANGES_PER_S;
        self.change_budget = (self.change_budget + earned).min(MAX_CHANGES_PER_S);
    }

    /// Limits an order to the changes that may be made now; `None` if none may be.
    fn limit(
        &mut self,
        now: Time,
        scaling: &Scaling,
        capacity: &Capacity,
        order: Order,
    ) -> Option<Order> {
        let current = capacity.of(order.kind);
        let last = self.last_orders.get(&(order.domain.clone(), order.kind));
        let pending = last.filter(|last| {
            last.outcome == Outcome::Accepted && now.since(last.at) < scaling.boot + BOOT_SLACK
        });
        let has_new_reclaims = pending.is_some_and(|last| capacity.reclaimed > last.reclaimed);
        let from = match pending {
            Some(last) if !has_new_reclaims => last.desired,
            _ => current,
        };
        // After a refusal, an order of one replica tests whether any are available again.
        let was_refused = last.is_some_and(|last| last.outcome == Outcome::Refused);
        let max_change = if was_refused { 1 } else { self.change_budget as u32 };
        let change = from.abs_diff(order.desired).min(max_change);
        if change == 0 && from != order.desired {
            return None;
        }
        self.change_budget = (self.change_budget - f64::from(change)).max(0.0);
        let desired = if order.desired > from { from + change } else { from - change };
        // Replicas whose entries are missing may still be running, so an earlier order is not
        // reduced below the desired number because of them.
        let previous = last.map_or(0, |last| last.desired.min(order.desired));
        Some(Order { desired: desired.max(previous), ..order })
    }

    /// Whether an order differs from the previous one or has to be repeated.
    fn is_due(&self, now: Time, scaling: &Scaling, capacity: &Capacity, order: &Order) -> bool {
        let current = capacity.of(order.kind);
        let Some(last) = self.last_orders.get(&(order.domain.clone(), order.kind)) else {
            return current != order.desired;
        };
        let age = now.since(last.at);
        if last.outcome != Outcome::Accepted {
            return age >= RETRY_INTERVAL;
        }
        let has_new_reclaims = order.kind == Kind::Spot && capacity.reclaimed > last.reclaimed;
        let is_late = current < order.desired && age >= scaling.boot + BOOT_SLACK;
        last.desired != order.desired || has_new_reclaims || is_late
    }

    /// Records the outcome of an order.
    pub fn record_outcome(
        &mut self,
        now: Time,
        order: &Order,
        outcome: Outcome,
        capacities: &Capacities,
    ) {
        let reclaimed = capacities.get(&order.domain).map_or(0, |capacity| capacity.reclaimed);
        let last = LastOrder { desired: order.desired, at: now, outcome, reclaimed };
        self.last_orders.insert((order.domain.clone(), order.kind), last);
    }
}
