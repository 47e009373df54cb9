//! Orders to upstreams: which, and how many at a time.

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
/// Replicas of a group that load at once: the weight store is rate limited.
const AT_ONCE: usize = 2;
/// An order that was carried out shows in the upstream's word within this time, or is given again.
const SHOWS: Span = Span::secs(60);

/// Orders of one group.
#[derive(Debug, Default)]
pub(super) struct Orders {
    lease: Lease,
    /// What upstreams say they have, by name.
    deployed: BTreeMap<String, Deployment>,
    /// Orders under way, by upstream.
    given: BTreeMap<String, Time>,
}

impl Node {
    pub(super) fn on_deployed(&mut self, name: &str, deployment: Deployment) {
        let known = self.upstream_by_name.get(name).and_then(|k| self.upstreams.get(*k));
        let Some(group) = known.map(|u| u.group) else {
            return;
        };
        let orders = self.orders.entry(group).or_default();
        if orders.deployed.get(name) != Some(&deployment) {
            orders.given.remove(name);
            orders.deployed.insert(name.to_owned(), deployment);
        }
    }

    /// Upstreams of the group that say they have something else than they shall.
    fn behind(&self, group: GroupKey, wanted: &Deployment) -> Vec<(String, String)> {
        let (Some(state), Some(orders)) = (self.groups.get(&group), self.orders.get(&group)) else {
            return Vec::new();
        };
        let members = state.pool.members.iter().filter_map(|k| self.upstreams.get(*k));
        let present = members.filter(|u| !u.removed && !u.leaving);
        let behind = present.filter(|u| orders.deployed.get(&u.name).is_some_and(|d| d != wanted));
        behind.map(|u| (u.name.clone(), u.address.clone())).collect()
    }

    /// Whether this router is the one that tries for the group's lease. The choice only spares
    /// writes; the lease is what makes one orderer.
    fn is_candidate(&self, group: &str) -> bool {
        let open = self.members.all().filter(|r| r.accepts_callers());
        let near = |name: &str| rendezvous::distance(group, name, 1.0);
        let nearest = open.min_by(|a, b| near(&a.name).total_cmp(&near(&b.name)));
        nearest.is_some_and(|r| r.name == self.settings.name)
    }

    /// Gives due orders, and keeps or seeks the leases for them.
    pub(super) fn tick_orders(&mut self, now: Time) {
        let groups: Vec<GroupKey> = self.orders.keys().copied().collect();
        for group in groups {
            let rules = self.index.group(group);
            let (name, wanted, checks) =
                (rules.name.clone(), rules.deployment.clone(), rules.checks_fencing);
            if wanted == Deployment::default() || !self.is_candidate(&name) {
                continue;
            }
            let behind = self.behind(group, &wanted);
            if behind.is_empty() {
                continue;
            }
            self.seek_lease(now, group, &name, checks);
            self.give_orders(now, group, &wanted, behind);
        }
    }

    fn seek_lease(&mut self, now: Time, group: GroupKey, name: &str, checks: bool) {
        let home = self.members.own().home();
        let Some(orders) = self.orders.get_mut(&group) else {
            return;
        };
        let key = format!("{LEASE_PREFIX}{name}");
        match orders.lease.next_step(now, &home, checks) {
            Step::Wait => {}
            Step::Read => self.get(&key),
            Step::Write(revision, value) => {
                if let Ok(value) = serde_json::to_vec(&value) {
                    self.kv(KvCall::Swap { key, revision, value: Bytes::from(value) });
                }
            }
        }
    }

    fn give_orders(
        &mut self,
        now: Time,
        group: GroupKey,
        wanted: &Deployment,
        behind: Vec<(String, String)>,
    ) {
        let Some(orders) = self.orders.get_mut(&group) else {
            return;
        };
        orders.given.retain(|_, at| now.since(*at) < SHOWS);
        let Some(fence) = orders.lease.fencing_token(now) else {
            return;
        };
        for (upstream, address) in behind {
            if orders.given.len() >= AT_ONCE {
                break;
            }
            if orders.given.contains_key(&upstream) {
                continue;
            }
            orders.given.insert(upstream.clone(), now);
            let line = Line::new("order").with("upstream", &upstream).with("fence", fence);
            self.out.push(Action::Log(line));
            let deployment = wanted.clone();
            self.out.push(Action::Order(Order { upstream, address, fence, deployment }));
        }
    }

    pub(super) fn on_ordered(&mut self, now: Time, name: &str, result: OrderResult) {
        for orders in self.orders.values_mut() {
            let Some(at) = orders.given.get_mut(name) else {
                continue;
            };
            match result {
                // Its own word will show it.
                OrderResult::Done => {}
                OrderResult::Fenced => {
                    // Somebody else has the lease.
                    orders.lease = Lease::default();
                    orders.given.remove(name);
                }
                OrderResult::Unknown => *at = now - (Span(SHOWS.0 - MAX_ORDER_DELAY.0)),
            }
        }
    }

    /// Takes a reply about a lease in.
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
