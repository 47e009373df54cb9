//! Orders replicas while this gateway leads.

use laburnumwheel_core::gateway::autoscaler::Autoscaler;
use laburnumwheel_core::gateway::autoscaler::Capacities;
use laburnumwheel_core::gateway::autoscaler::Order;
use laburnumwheel_core::gateway::autoscaler::Scaling;
use laburnumwheel_core::gateway::leader::Outcome;
use laburnumwheel_core::time::Span;

use super::term::Term;
use crate::clock;
use crate::log::Line;

/// Time from one evaluation of the demand for replicas to the next.
const SCALING_INTERVAL: Span = Span::millis(500);
/// Age beyond which an inventory is not used.
const MAX_INVENTORY_AGE: Span = Span::millis(2_000);
/// Time from the start of a term to the first order. Live replicas whose entries the store may have
/// lost register again in this time.
const ORDER_DELAY: Span = Span::secs(3);
/// Share of the needed engines that must be ordinary instances, which remain when all spot
/// instances are reclaimed.
const ORDINARY_SHARE: f64 = 0.0;

impl Term<'_> {
    /// Orders replicas of all services according to the demand.
    pub(super) async fn scale(&mut self) {
        let now = clock::now();
        if !self.duties.options.autoscale || now.since(self.scaled_at) < SCALING_INTERVAL {
            return;
        }
        self.scaled_at = now;
        let inventory = self.duties.inventory.borrow().clone();
        let is_early = now.since(self.began) < ORDER_DELAY && !self.duties.options.is_first_start;
        if is_early || now.since(inventory.at) > MAX_INVENTORY_AGE {
            return;
        }
        for (service, scaling) in inventory.scaling.iter() {
            if let Some(capacities) =
                inventory.capacities.get(service).filter(|s| self.is_complete(service, s))
            {
                self.scale_service(service, scaling, capacities).await;
            }
        }
    }

    /// Whether the inventory includes all replicas that this gateway uses. After an outage of the
    /// store the entries of live replicas are missing, and an order based on the remaining ones
    /// would shrink the fleet.
    fn is_complete(&self, service: &str, capacities: &Capacities) -> bool {
        let counted: u32 =
            capacities.values().map(|capacity| capacity.ordinary + capacity.spot).sum();
        self.shared.gateway.borrow().registered(service) <= counted as usize
    }

    async fn scale_service(&mut self, service: &str, scaling: &Scaling, capacities: &Capacities) {
        let now = clock::now();
        let (calls, slots) = {
            let gateway = self.shared.gateway.borrow();
            (gateway.calls_at(now, service), gateway.slots(service))
        };
        let Some(slots) = slots else {
            return;
        };
        let autoscaler = self.autoscalers.entry(service.to_owned());
        let autoscaler = autoscaler.or_insert_with(|| Autoscaler::new(slots, ORDINARY_SHARE));
        autoscaler.observe(now, calls, capacities);
        let orders = autoscaler.plan(now, scaling, capacities);
        for order in orders {
            if !self.order(service, order, calls, capacities).await {
                return;
            }
        }
    }

    /// Places an order; `false` if no further call can be made now.
    async fn order(
        &mut self,
        service: &str,
        order: Order,
        calls: f64,
        capacities: &Capacities,
    ) -> bool {
        let now = clock::now();
        let era = self.eras.newest().unwrap_or(0);
        let permit = self.duties.election.borrow_mut().begin_call(now, era);
        let Some(permit) = permit else {
            return false;
        };
        let answer = (self.duties.calls.order)(service.to_owned(), order.clone(), permit).await;
        let outcome = *answer.as_ref().unwrap_or(&Outcome::Unanswered);
        let ended = clock::now();
        self.duties.election.borrow_mut().end_call(ended, &permit, outcome);
        self.duties.wakeup.notify_one();
        let labels = format!("kind=\"{}\",outcome=\"{outcome}\"", order.kind);
        self.shared.metrics.count("orders_total", labels);
        let capacity = capacities.get(&order.domain).cloned().unwrap_or_default();
        let line = Line::new("replicas_ordered")
            .with("service", service)
            .with("domain", &order.domain)
            .with("kind", order.kind)
            .with("desired", order.desired)
            .with("outcome", outcome)
            .with("token", permit.token)
            .with("ordinary", capacity.ordinary)
            .with("spot", capacity.spot)
            .with("reclaimed", capacity.reclaimed)
            .with("calls", calls.round());
        let autoscaler = self.autoscalers.get_mut(service);
        let needed = autoscaler.as_ref().map_or(0, |autoscaler| autoscaler.needed());
        self.shared.log(line.with("needed", needed));
        if let Some(autoscaler) = autoscaler {
            autoscaler.record_outcome(ended, &order, outcome, capacities);
        }
        outcome != Outcome::Unanswered
    }
}
