//! Each router's share of a group's capacity.
//!
//! Routers that use the same group tell each other, by tier, how many requests they have there or
//! waiting to go there. Capacity is granted tier by tier, within a tier in proportion, so that a
//! long queue of drafts at one router takes nothing from urgent work at another. A live router
//! that is silent keeps an equal part, so that silence never lets two routers count on the same
//! slots. What a router gets is not only a number of slots but which ones: docs/design/shares.md
//! has the figures that decided for this and against following load reports.

use std::collections::BTreeMap;

use crate::config::TIERS;
use crate::time::Span;
use crate::time::Time;

/// A report of demand is fresh for this long.
pub const MAX_REPORT_AGE: Span = Span::secs(5);

/// A router's part of a group's capacity, as an interval of all of it from 0 to 1.
///
/// The intervals of all routers lie side by side in the order of their names. Routers that have
/// the same reports cut at the same places, so no two count on the same slot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Slice {
    /// Where it begins.
    pub start: f64,
    /// Where it ends.
    pub end: f64,
}

/// Requests wanted, by tier; in reports in sixteenths.
pub type TierDemand = [u32; TIERS];

/// Sixteenths of a request: the unit of smoothed demand in reports.
const UNIT: f64 = 16.0;
const STEP: f64 = 0.025;

/// A router's own demand, smoothed.
///
/// Slices follow demand. Following every arrival would move them faster than requests end, and
/// two routers would use the same slots meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct SmoothedDemand {
    values: [f64; TIERS],
}

impl SmoothedDemand {
    /// Takes a reading in; one every 50 ms gives a time constant of two seconds.
    pub fn observe(&mut self, wanted: &TierDemand) {
        for (value, wanted) in self.values.iter_mut().zip(wanted) {
            *value += (f64::from(*wanted) * UNIT - *value) * STEP;
        }
    }

    /// The smoothed demand, in sixteenths of a request.
    pub fn get(&self) -> TierDemand {
        self.values.map(|v| v.round() as u32)
    }
}

/// Reports of the other routers, by their name.
#[derive(Debug, Default)]
pub struct Demands {
    reports: BTreeMap<String, Report>,
}

#[derive(Debug)]
struct Report {
    at: Time,
    wanted: BTreeMap<String, TierDemand>,
}

/// What is known of one group's routers.
#[derive(Debug, Default)]
struct Group {
    /// Sum over the routers that report.
    total: [f64; TIERS],
    /// Routers that report, this one included.
    heard: f64,
    live: f64,
}

impl Group {
    fn add(&mut self, wanted: &TierDemand) {
        self.live += 1.0;
        self.heard += 1.0;
        for (sum, wanted) in self.total.iter_mut().zip(wanted) {
            *sum += f64::from(*wanted) / UNIT;
        }
    }

    /// The part of the group for a router that wants this; 0 to 1.
    fn part(&self, wanted: Option<&TierDemand>, slots: f64) -> f64 {
        let Some(wanted) = wanted else {
            return 1.0 / self.live;
        };
        let divided = slots * self.heard / self.live;
        let (mut left, mut granted) = (divided, 0.0);
        for (total, own) in self.total.iter().zip(wanted) {
            let given = total.min(left);
            granted += given * f64::from(*own) / UNIT / total.max(1.0 / UNIT);
            left -= given;
        }
        // What nobody wants yet is divided equally: the next request may come anywhere.
        (granted + left / self.heard) / slots
    }
}

impl Demands {
    /// Takes a router's report in.
    pub fn receive(&mut self, now: Time, router: &str, wanted: BTreeMap<String, TierDemand>) {
        self.reports.insert(router.to_owned(), Report { at: now, wanted });
    }

    /// Fresh reports among `live` routers.
    pub fn fresh_count<'a>(&self, now: Time, live: impl Iterator<Item = &'a str>) -> usize {
        live.filter(|r| self.fresh(now, r).is_some()).count()
    }

    fn fresh(&self, now: Time, router: &str) -> Option<&BTreeMap<String, TierDemand>> {
        let report = self.reports.get(router)?;
        (now.since(report.at) <= MAX_REPORT_AGE).then_some(&report.wanted)
    }

    /// Everything a router wants, over all groups and tiers.
    pub fn total_demand(&self, now: Time, router: &str) -> Option<u32> {
        let all = self.fresh(now, router)?.values().flatten();
        let sum = all.fold(0, |a: u32, b| a.saturating_add(*b));
        Some(sum / UNIT as u32)
    }

    /// The slice of `group`, which has so many slots, for the router `own` that wants `wanted`.
    pub fn slice<'a>(
        &self,
        now: Time,
        group: (&str, u32),
        own: (&str, &TierDemand),
        others: impl Iterator<Item = &'a str> + Clone,
    ) -> Slice {
        let (name, slots) = (group.0, f64::from(group.1.max(1)));
        let nothing = [0; TIERS];
        let wanted = |router: &str| {
            self.fresh(now, router).map(|report| report.get(name).unwrap_or(&nothing))
        };
        let mut all = Group::default();
        all.add(own.1);
        for router in others.clone() {
            match wanted(router) {
                Some(wanted) => all.add(wanted),
                None => all.live += 1.0,
            }
        }
        let before = others.filter(|router| *router < own.0);
        let start: f64 = before.map(|router| all.part(wanted(router), slots)).sum();
        Slice { start, end: start + all.part(Some(own.1), slots) }
    }

    /// Drops the reports of routers that are gone.
    pub fn prune(&mut self, now: Time) {
        self.reports.retain(|_, report| now.since(report.at) <= MAX_REPORT_AGE);
    }
}
