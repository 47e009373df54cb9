//! Updates the replicas from the configuration, load reports and host lists.

use super::Node;
use crate::arena::Key;
use crate::config::Config;
use crate::config::GroupKey;
use crate::event::Load;
use crate::rendezvous;
use crate::time::Time;
use crate::upstream::Upstream;

impl Node {
    /// Adds the replicas of `config`. Replicas that it no longer contains are dropped once their
    /// requests have ended.
    pub(super) fn apply_upstreams(&mut self, now: Time, config: &Config) {
        for up in self.upstream_by_name.values() {
            if let Some(up) = self.upstreams.get_mut(*up) {
                up.removed = true;
            }
        }
        for entry in &config.upstreams {
            let Some(group) = self.index.group_named(&entry.group) else {
                continue;
            };
            self.apply_upstream(group, entry);
        }
        let all: Vec<Key<Upstream>> = self.upstream_by_name.values().copied().collect();
        for key in all {
            self.rank_upstream(now, key);
        }
        self.drop_removed();
    }

    fn apply_upstream(&mut self, group: GroupKey, entry: &crate::config::Upstream) {
        let known = self.upstream_by_name.get(&entry.name).copied();
        if let Some(up) = known.and_then(|k| self.upstreams.get_mut(k))
            && up.address == entry.address
            && up.group == group
        {
            up.removed = false;
            return;
        }
        // A new address means another process, so the state of the old one does not apply.
        let slots = self.index.group(group).slots;
        let tie_breaker = rendezvous::hash(&[self.settings.name.as_bytes(), entry.name.as_bytes()]);
        let key = self.upstreams.insert(Upstream::new(entry, group, slots, tie_breaker as u32));
        self.upstream_by_name.insert(entry.name.clone(), key);
        self.groups.entry(group).or_default().pool.members.insert(key);
    }

    /// Drops replicas that were removed from the configuration and run no requests.
    pub(super) fn drop_removed(&mut self) {
        let idle = self.upstreams.iter().filter(|(_, u)| u.removed && u.outstanding == 0);
        let idle: Vec<(Key<Upstream>, GroupKey, String)> =
            idle.map(|(k, u)| (k, u.group, u.name.clone())).collect();
        for (key, group, name) in idle {
            if let Some(state) = self.groups.get_mut(&group) {
                state.pool.remove(key, &self.upstreams);
            }
            self.prefixes.remove_holder(key);
            self.upstreams.remove(key);
            if self.upstream_by_name.get(&name) == Some(&key) {
                self.upstream_by_name.remove(&name);
            }
        }
    }

    /// Updates the position of a replica in its group's order.
    pub(super) fn rank_upstream(&mut self, now: Time, key: Key<Upstream>) {
        let group = self.upstreams.get(key).map(|u| u.group);
        if let Some(state) = group.and_then(|g| self.groups.get_mut(&g)) {
            state.pool.update_rank(now, &mut self.upstreams, key);
        }
    }

    /// Records a load report, and dispatches requests that the group can now run.
    pub(super) fn on_load(&mut self, now: Time, name: &str, load: Load) {
        let Some(key) = self.upstream_by_name.get(name).copied() else {
            return;
        };
        let Some(up) = self.upstreams.get_mut(key) else {
            return;
        };
        up.record_report(now, load);
        let group = up.group;
        self.rank_upstream(now, key);
        self.dispatch_queued(now, group);
    }

    /// Applies the platform's list of leaving hosts, and tells the peers immediately which upstreams
    /// are newly leaving, because each router reads the list only rarely.
    pub(super) fn on_hosts(&mut self, now: Time, leaving: &[String]) {
        let mut new = Vec::new();
        let all: Vec<(String, Key<Upstream>)> =
            self.upstream_by_name.iter().map(|(n, k)| (n.clone(), *k)).collect();
        for (name, key) in all {
            let Some(up) = self.upstreams.get_mut(key) else {
                continue;
            };
            let before = up.leaving;
            up.set_listed_leaving(now, leaving.contains(&name));
            let after = up.leaving;
            if after != before {
                self.rank_upstream(now, key);
            }
            if after && !before {
                new.push(name);
            }
        }
        if !new.is_empty() {
            self.send_demand(now, new);
        }
    }
}
