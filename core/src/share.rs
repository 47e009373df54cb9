//! Divides the capacity of each group among the routers that use it.
//!
//! Routers report to each other, by tier, how many of their requests run in the group or wait for
//! it. Capacity is granted tier by tier, and within a tier in proportion to demand, so that a long
//! queue of low priority at one router takes no capacity from urgent requests at another. A live
//! router that does not report keeps an equal share, so that two routers never use the same slots
//! because of a missing report. A share is an interval of slots, not only a number of them:
//! docs/design/shares.md compares this with following load reports.

use std::collections::BTreeMap;

use crate::config::TIERS;
use crate::time::Span;
use crate::time::Time;

/// Age up to which a report of demand counts.
pub const MAX_REPORT_AGE: Span = Span::secs(5);

/// A router's share of a group's capacity, as a subinterval of the interval from 0 to 1.
///
/// The slices of all routers are adjacent, in the order of the routers' names. Routers that have
/// the same reports compute the same boundaries, so no two of them use the same slot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Slice {
    /// Lower bound.
    pub start: f64,
    /// Upper bound.
    pub end: f64,
}

/// Demand by tier: in requests, or in sixteenths of a request where it is smoothed or reported.
pub type TierDemand = [u32; TIERS];

/// Units of smoothed and reported demand in one request.
const UNITS_PER_REQUEST: f64 = 16.0;
/// Weight of the newest observation in the moving average of demand.
const SMOOTHING: f64 = 0.025;

/// Moving average of a router's own demand for a group.
///
/// Slices follow demand. If they followed each arrival, they would move faster than requests end,
/// and two routers would use the same slots until then.
#[derive(Clone, Copy, Debug, Default)]
pub struct SmoothedDemand {
    values: [f64; TIERS],
}

impl SmoothedDemand {
    /// Adds an observation; one every 50 ms gives a time constant of two seconds.
    pub fn observe(&mut self, demand: &TierDemand) {
        for (value, demand) in self.values.iter_mut().zip(demand) {
            *value += (f64::from(*demand) * UNITS_PER_REQUEST - *value) * SMOOTHING;
        }
    }

    /// The smoothed demand, in sixteenths of a request.
    pub fn get(&self) -> TierDemand {
        self.values.map(|v| v.round() as u32)
    }
}

/// Reports of the other routers, by name of the router.
#[derive(Debug, Default)]
pub struct Demands {
    reports: BTreeMap<String, Report>,
}

#[derive(Debug)]
struct Report {
    at: Time,
    demand: BTreeMap<String, TierDemand>,
}

/// Sums over the routers that use one group.
#[derive(Debug, Default)]
struct Group {
    /// Demand by tier of the routers that report, in requests.
    total: [f64; TIERS],
    /// Number of routers that report, this one included.
    reporting: f64,
    /// Number of live routers, this one included.
    live: f64,
}

impl Group {
    fn add(&mut self, demand: &TierDemand) {
        self.live += 1.0;
        self.reporting += 1.0;
        for (sum, demand) in self.total.iter_mut().zip(demand) {
            *sum += f64::from(*demand) / UNITS_PER_REQUEST;
        }
    }

    /// Fraction of the group's capacity for a router with this demand, from 0 to 1.
    fn fraction(&self, demand: Option<&TierDemand>, slots: f64) -> f64 {
        let Some(demand) = demand else {
            return 1.0 / self.live;
        };
        let divisible = slots * self.reporting / self.live;
        let (mut remaining, mut granted) = (divisible, 0.0);
        for (total, own) in self.total.iter().zip(demand) {
            let granted_to_tier = total.min(remaining);
            granted += granted_to_tier * f64::from(*own)
                / UNITS_PER_REQUEST
                / total.max(1.0 / UNITS_PER_REQUEST);
            remaining -= granted_to_tier;
        }
        // Idle capacity is divided equally, because the next request may reach any router.
        (granted + remaining / self.reporting) / slots
    }
}

impl Demands {
    /// Stores a router's report.
    pub fn receive(&mut self, now: Time, router: &str, demand: BTreeMap<String, TierDemand>) {
        self.reports.insert(router.to_owned(), Report { at: now, demand });
    }

    /// Number of `live` routers with a fresh report.
    pub fn fresh_count<'a>(&self, now: Time, live: impl Iterator<Item = &'a str>) -> usize {
        live.filter(|r| self.fresh_report(now, r).is_some()).count()
    }

    fn fresh_report(&self, now: Time, router: &str) -> Option<&BTreeMap<String, TierDemand>> {
        let report = self.reports.get(router)?;
        (now.since(report.at) <= MAX_REPORT_AGE).then_some(&report.demand)
    }

    /// Reported demand of a router, summed over all groups and tiers, in requests.
    pub fn total_demand(&self, now: Time, router: &str) -> Option<u32> {
        let all = self.fresh_report(now, router)?.values().flatten();
        let sum = all.fold(0, |a: u32, b| a.saturating_add(*b));
        Some(sum / UNITS_PER_REQUEST as u32)
    }

    /// Computes the slice of the router `own`, given by name and demand, in `group`, given by name
    /// and number of slots.
    pub fn slice<'a>(
        &self,
        now: Time,
        group: (&str, u32),
        own: (&str, &TierDemand),
        others: impl Iterator<Item = &'a str> + Clone,
    ) -> Slice {
        let (name, slots) = (group.0, f64::from(group.1.max(1)));
        let no_demand = [0; TIERS];
        let demand = |router: &str| {
            self.fresh_report(now, router).map(|report| report.get(name).unwrap_or(&no_demand))
        };
        let mut all = Group::default();
        all.add(own.1);
        for router in others.clone() {
            match demand(router) {
                Some(demand) => all.add(demand),
                None => all.live += 1.0,
            }
        }
        let preceding = others.filter(|router| *router < own.0);
        let start: f64 = preceding.map(|router| all.fraction(demand(router), slots)).sum();
        Slice { start, end: start + all.fraction(Some(own.1), slots) }
    }

    /// Deletes reports that are too old to count.
    pub fn prune(&mut self, now: Time) {
        self.reports.retain(|_, report| now.since(report.at) <= MAX_REPORT_AGE);
    }
}
