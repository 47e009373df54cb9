//! Reports to the decider, decisions, and the use of plans.

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

/// Shortest time between two reports: several a second follow a burst that lasts for seconds.
const REPORTING: Span = Span::millis(500);
/// The same for each gateway of the fleet, so that the decider hears at most 500 reports a second
/// whatever the size: at some 15 microseconds each, under 1% of a core.
const REPORTING_EACH: Span = Span::millis(2);
/// Time between two decisions: no longer than a heartbeat takes to carry one on.
const DECIDING: Span = Span::millis(250);

impl Gateway {
    /// Time from one report to the next, or from one decision to the next.
    pub fn reporting_period(&self) -> Span {
        if self.planner.is_decider() {
            return DECIDING;
        }
        let gateways = self.directory.gateway_count() as u64;
        REPORTING.max(Span(REPORTING_EACH.0 * gateways))
    }

    /// The report to send, with the address of the decider; `None` if there is nothing to send, or
    /// this gateway is the decider. Decides then.
    pub fn next_report(&mut self, now: Time) -> Option<(String, Report)> {
        let own = self.is_open(now).then_some(&self.settings.entry);
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

    /// Takes in what another gateway has seen.
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
            let subject = Input {
                service: short,
                engine: &engine,
                engines: self.fleet.usable(now, &service.name),
                known: self.plans.get(short),
            };
            let reach = |wanted| self.fleet.listed_prefix(now, &service.name, wanted);
            let decided = self.planner.decide(now, by, &subject, reach);
            if let Some(plan) = decided {
                self.plans.receive(now, &plan);
            }
        }
        let shorts: Vec<u32> = services.iter().map(|s| directory::short_hash(&s.name)).collect();
        self.plans.retain(|short| shorts.contains(&short));
    }

    /// Takes the plans of a heartbeat in; returns how they stand to the known ones, each with the
    /// age of its decision.
    pub(super) fn receive_plans(&mut self, now: Time, plans: &[Plan]) -> Vec<(Comparison, Span)> {
        let heard = |plan: &Plan| {
            let heard = self.plans.receive(now, plan)?;
            Some((heard, Span::millis(u64::from(plan.age_ms))))
        };
        plans.iter().filter_map(heard).collect()
    }

    /// The plans in force of all services.
    pub fn plans(&self, now: Time) -> Vec<Plan> {
        self.plans.gossip(now)
    }

    /// The plan of a service by name.
    pub fn plan(&self, service: &str) -> Option<&Plan> {
        self.plans.get(directory::short_hash(service))
    }

    /// Whether a call's stream goes to the isolated pool, and the pool's size.
    pub(super) fn lane_of(
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
