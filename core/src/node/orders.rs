//! Orders upstreams to load the configured deployment.
//!
//! The router that holds a group's lease sends orders to a few upstreams at a time whose reported
//! deployment differs from the configured one. Orders carry the lease's fencing token, so that an
//! upstream can refuse those of a former holder.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::Node;
use crate::action::Action;
use crate::action::KvCall;
use crate::action::Line;
use crate::action::Order;
use crate::config::Deployment;
use crate::config::GroupKey;
use crate::event::KvReply;
use crate::event::OrderResult;
use crate::order::Lease;
use crate::order::MAX_ORDER_DELAY;
use crate::order::Step;
use crate::order::Value;
use crate::rendezvous;
use crate::time::Span;
use crate::time::Time;

/// Prefix of the keys of leases in the key-value service, followed by the group's name.
pub const LEASE_PREFIX: &str = "laburnumwheel/orders/";
/// Upper bound on replicas of a group that load at the same time: the weight store is rate limited.
const MAX_CONCURRENT_ORDERS: usize = 2;
/// Time after which an order is repeated if the upstream has not reported the new deployment.
const REPORT_TIMEOUT: Span = Span::secs(60);

/// Orders of one group.
#[derive(Debug, Default)]
pub(super) struct Orders {
    lease: Lease,
    /// Deployments reported by upstreams, by name.
    reported: BTreeMap<String, Deployment>,
    /// Times of the orders in progress, by upstream name.
    sent: BTreeMap<String, Time>,
}

impl Node {
    /// Records the deployment that an upstream reports.
    pub(super) fn on_deployed(&mut self, name: &str, deployment: Deployment) {
        let known = self.upstream_by_name.get(name).and_then(|k| self.upstreams.get(*k));
        let Some(group) = known.map(|u| u.group) else {
            return;
        };
        let orders = self.orders.entry(group).or_default();
        if orders.reported.get(name) != Some(&deployment) {
            orders.sent.remove(name);
            orders.reported.insert(name.to_owned(), deployment);
        }
    }

    /// Names and addresses of the group's upstreams that report another deployment than `desired`.
    fn outdated(&self, group: GroupKey, desired: &Deployment) -> Vec<(String, String)> {
        let (Some(state), Some(orders)) = (self.groups.get(&group), self.orders.get(&group)) else {
            return Vec::new();
        };
        let members = state.pool.members.iter().filter_map(|k| self.upstreams.get(*k));
        let present = members.filter(|u| !u.removed && !u.leaving);
        let outdated =
            present.filter(|u| orders.reported.get(&u.name).is_some_and(|d| d != desired));
        outdated.map(|u| (u.name.clone(), u.address.clone())).collect()
    }

    /// Whether this router tries to get the group's lease. The choice of one candidate only saves
    /// writes; the lease ensures that a single router gives orders.
    fn is_candidate(&self, group: &str) -> bool {
        let candidates = self.members.all().filter(|r| r.accepts_callers());
        let distance = |name: &str| rendezvous::distance(group, name, 1.0);
        let nearest = candidates.min_by(|a, b| distance(&a.name).total_cmp(&distance(&b.name)));
        nearest.is_some_and(|r| r.name == self.settings.name)
    }

    /// Acquires or renews the leases of groups with outdated upstreams, and sends the orders.
    pub(super) fn tick_orders(&mut self, now: Time) {
        let groups: Vec<GroupKey> = self.orders.keys().copied().collect();
        for group in groups {
            let rules = self.index.group(group);
            let (name, desired, checks_fencing) =
                (rules.name.clone(), rules.deployment.clone(), rules.checks_fencing);
            if desired == Deployment::default() || !self.is_candidate(&name) {
                continue;
            }
            let outdated = self.outdated(group, &desired);
            if outdated.is_empty() {
                continue;
            }
            self.advance_lease(now, group, &name, checks_fencing);
            self.send_orders(now, group, &desired, outdated);
        }
    }

    fn advance_lease(&mut self, now: Time, group: GroupKey, name: &str, checks_fencing: bool) {
        let home = self.members.own().home();
        let Some(orders) = self.orders.get_mut(&group) else {
            return;
        };
        let key = format!("{LEASE_PREFIX}{name}");
        match orders.lease.next_step(now, &home, checks_fencing) {
            Step::Wait => {}
            Step::Read => self.read_kv(&key),
            Step::Write(revision, value) => {
                if let Ok(value) = serde_json::to_vec(&value) {
                    self.call_kv(KvCall::Swap { key, revision, value: Bytes::from(value) });
                }
            }
        }
    }

    fn send_orders(
        &mut self,
        now: Time,
        group: GroupKey,
        desired: &Deployment,
        outdated: Vec<(String, String)>,
    ) {
        let Some(orders) = self.orders.get_mut(&group) else {
            return;
        };
        orders.sent.retain(|_, at| now.since(*at) < REPORT_TIMEOUT);
        let Some(fence) = orders.lease.fencing_token(now) else {
            return;
        };
        for (upstream, address) in outdated {
            if orders.sent.len() >= MAX_CONCURRENT_ORDERS {
                break;
            }
            if orders.sent.contains_key(&upstream) {
                continue;
            }
            orders.sent.insert(upstream.clone(), now);
            let line = Line::new("order").with("upstream", &upstream).with("fence", fence);
            self.out.push(Action::Log(line));
            let deployment = desired.clone();
            self.out.push(Action::Order(Order { upstream, address, fence, deployment }));
        }
    }

    /// Handles the result of an order.
    pub(super) fn on_ordered(&mut self, now: Time, name: &str, result: OrderResult) {
        for orders in self.orders.values_mut() {
            let Some(at) = orders.sent.get_mut(name) else {
                continue;
            };
            match result {
                // The entry is removed when the upstream reports the new deployment.
                OrderResult::Done => {}
                OrderResult::Fenced => {
                    // Another router holds the lease.
                    orders.lease = Lease::default();
                    orders.sent.remove(name);
                }
                // The order may still arrive; it is repeated after [`MAX_ORDER_DELAY`].
                OrderResult::Unknown => *at = now - (Span(REPORT_TIMEOUT.0 - MAX_ORDER_DELAY.0)),
            }
        }
    }

    /// Handles a reply of the key-value service about a lease.
    pub(super) fn on_lease_reply(&mut self, now: Time, group: &str, reply: KvReply) {
        let home = self.members.own().home();
        let Some(key) = self.index.group_named(group) else {
            return;
        };
        let Some(orders) = self.orders.get_mut(&key) else {
            return;
        };
        match reply {
            KvReply::Value(value) => {
                let found = value.and_then(|(v, revision)| {
                    Some((serde_json::from_slice::<Value>(&v).ok()?, revision))
                });
                orders.lease.on_read(now, &home, found);
            }
            KvReply::Swapped(revision) => orders.lease.on_write_reply(now, revision),
            KvReply::Unavailable => orders.lease.on_unavailable(),
        }
    }
}
