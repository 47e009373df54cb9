//! Plans of the isolated pools: reports to the decider, its decisions, and the use of plans.
//!
//! The decider is the one gateway that decides the plans for all; see [`crate::gateway::plan`].

use super::Gateway;
use super::Grant;
use crate::gateway::config::Engine;
use crate::gateway::directory;
use crate::gateway::plan::Comparison;
use crate::gateway::plan::Input;
use crate::gateway::plan::Plan;
use crate::gateway::tally::Report;
use crate::time::Span;
use crate::time::Time;

/// Lower bound on the period of reports: the decider has to follow bursts that last a few seconds.
const MIN_REPORT_PERIOD: Span = Span::millis(500);
/// Lower bound on the period of reports per gateway of the fleet. The decider receives at most 500
/// reports a second at any size of the fleet, which take about 15 microseconds each, under 1% of a
/// core.
const MIN_REPORT_PERIOD_PER_GATEWAY: Span = Span::millis(2);
/// Period of decisions, no longer than the period of the heartbeats that spread them.
const DECISION_PERIOD: Span = Span::millis(250);

impl Gateway {
    /// Time to wait before the next call of [`next_report`](Self::next_report).
    pub fn reporting_period(&self) -> Span {
        if self.planner.is_decider() {
            return DECISION_PERIOD;
        }
        let gateways = self.directory.gateway_count() as u64;
        MIN_REPORT_PERIOD.max(Span(MIN_REPORT_PERIOD_PER_GATEWAY.0 * gateways))
    }

    /// Takes the counts since the last report. Returns them with the decider's address, or `None`
    /// if there are none. If this gateway is the decider, it updates the plans instead.
    pub fn next_report(&mut self, now: Time) -> Option<(String, Report)> {
        let own = self.takes_callers(now).then_some(&self.settings.entry);
        let decider = self.directory.decider(now, own);
        let decides = decider.is_none() && own.is_some();
        self.planner.set_decider(now, decides);
        let gateway = directory::short_hash(&self.settings.entry.name);
        let tallies = self.tallies.iter_mut();
        let sums = tallies.filter_map(|(service, tally)| tally.take(*service));
        let report = Report { gateway, services: sums.collect() };
        if decides {
            self.planner.merge(now, &report);
            self.decide(now);
        }
        let address = decider?;
        (!report.services.is_empty()).then_some((address, report))
    }

    /// Merges the report of another gateway.
    pub fn receive_report(&mut self, now: Time, report: &Report) {
        self.planner.merge(now, report);
    }

    fn decide(&mut self, now: Time) {
        self.planner.decay(now);
        let Some(config) = self.config.clone() else {
            return;
        };
        let by = directory::short_hash(&self.settings.entry.name);
        let services = config.services();
        for service in &services {
            let Some(engine) = service.engine else {
                continue;
            };
            let short = directory::short_hash(&service.name);
            let input = Input {
                service: short,
                engine: &engine,
                engines: self.fleet.usable(now, &service.name),
                known: self.plans.get(short),
                ranks: &config.ranks_by_pause(&service.name),
                uneven: self.fleet.has_uneven_paces(&service.name),
            };
            let listed_prefix = |wanted| self.fleet.listed_prefix(now, &service.name, wanted);
            let decided = self.planner.decide(now, by, &input, listed_prefix);
            if let Some(state) = self.planner.inversion(now, &input) {
                self.inversions.publish(now, by, &state);
            }
            if let Some(plan) = decided {
                self.plans.receive(now, &plan);
            }
        }
        let hashes: Vec<u32> = services.iter().map(|s| directory::short_hash(&s.name)).collect();
        self.plans.retain(|service| hashes.contains(&service));
        self.inversions.retain(|service| hashes.contains(&service));
    }

    /// Merges the plans of a heartbeat. Returns how each compares to the known one, with the age of
    /// the plan.
    pub(in crate::gateway) fn receive_plans(
        &mut self,
        now: Time,
        plans: &[Plan],
    ) -> Vec<(Comparison, Span)> {
        let receive = |plan: &Plan| {
            let comparison = self.plans.receive(now, plan)?;
            Some((comparison, Span::millis(u64::from(plan.age_ms))))
        };
        plans.iter().filter_map(receive).collect()
    }

    /// The plans in force of all services.
    pub fn plans(&self, now: Time) -> Vec<Plan> {
        self.plans.gossip(now)
    }

    /// The plan in force of the service with this name.
    pub fn plan(&self, service: &str) -> Option<&Plan> {
        self.plans.get(directory::short_hash(service))
    }

    /// Whether a call goes to the isolated pool of its service, and the size of the pool: by the
    /// plan, or by this gateway's own observations if there is none.
    pub(super) fn isolated_pool(
        &mut self,
        now: Time,
        grant: &Grant,
        engine: &Engine,
        engines: usize,
    ) -> (bool, usize) {
        if let Some(plan) = self.plans.get(directory::short_hash(&grant.service)) {
            let sensitive = grant.route.streams && plan.isolates(grant.route.pause);
            return (sensitive, usize::from(plan.pool_size));
        }
        let streams = self.directory.sensitive_streams(now) + self.fleet.sensitive_streams();
        let model = super::model(&mut self.models, &grant.service);
        let sensitive = model.is_sensitive(&grant.route, engine);
        (sensitive, model.pool.size(now, streams, engine, engines))
    }
}
