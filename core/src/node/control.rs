//! What a router does again and again besides serving: its schedule, joining, and the shares it has
//! of each group.

use std::collections::BTreeMap;

use super::Node;
use crate::cell;
use crate::cell::Cells;
use crate::member::State;
use crate::peer::Message;
use crate::rendezvous;
use crate::share::Slice;
use crate::time::Span;
use crate::time::Time;

/// Pause between asking seeds while joining.
pub(super) const JOIN_RETRY: Span = Span::secs(1);
const STALL_CHECK: Span = Span::millis(50);
const SHARE_CHECK: Span = Span::millis(50);
const SLOW_CHECK: Span = Span::secs(1);
const DEMAND_FAST: Span = Span::millis(250);
const DEMAND_SLOW: Span = Span::secs(2);
/// A peer's shard request is sent again after this long.
pub(super) const ASK_AGAIN: Span = Span::secs(1);
/// Without the key-value service, a router starts once this many peers told their version.
const PEERS_TO_START: usize = 3;

/// When each recurring piece of work is next due.
#[derive(Debug)]
pub(super) struct Schedule {
    pub(super) root: Time,
    pub(super) roster: Time,
    pub(super) hosts: Time,
    pub(super) join: Time,
    pub(super) stalls: Time,
    pub(super) share: Time,
    pub(super) slow: Time,
    pub(super) demand: Time,
    pub(super) ask: Time,
    pub(super) root_read: bool,
    pub(super) kv_failed: bool,
    pub(super) versions_heard: BTreeMap<String, u64>,
    /// Changes of members and configuration version that the cells were computed for.
    pub(super) cells_of: (u64, u64),
}

impl Schedule {
    pub(super) fn new(now: Time) -> Schedule {
        Schedule {
            root: now,
            roster: now,
            hosts: now,
            join: now,
            stalls: now,
            share: now,
            slow: now,
            demand: now,
            ask: now,
            root_read: false,
            kv_failed: false,
            versions_heard: BTreeMap::new(),
            cells_of: (0, 0),
        }
    }

    pub(super) fn stalls_due(&mut self, now: Time) -> bool {
        due(&mut self.stalls, now, STALL_CHECK)
    }
}

fn due(at: &mut Time, now: Time, every: Span) -> bool {
    if now < *at {
        return false;
    }
    *at = now + every;
    true
}

impl Node {
    pub(super) fn tick_control(&mut self, now: Time) {
        self.members.tick(now, &mut self.rng, &mut self.out);
        self.tick_join(now);
        self.tick_key_value(now);
        if due(&mut self.control.share, now, SHARE_CHECK) {
            self.refresh_shares(now);
        }
        let small = self.members.live().count() < cell::MAX_ROUTERS_WITHOUT_CELLS;
        let every = if small { DEMAND_FAST } else { DEMAND_SLOW };
        if due(&mut self.control.demand, now, every) {
            self.send_demand(now, Vec::new());
        }
        if due(&mut self.control.slow, now, SLOW_CHECK) {
            self.tick_slow(now);
        }
        if !self.sync.missing_shards().is_empty() && due(&mut self.control.ask, now, ASK_AGAIN) {
            self.ask_shards(None);
        }
    }

    fn tick_slow(&mut self, now: Time) {
        self.adapt_headroom(now);
        self.demands.prune(now);
        for state in self.groups.values_mut() {
            state.pool.update_slowness(now, &mut self.upstreams);
        }
        self.drop_removed();
        self.tick_orders(now);
        if self.table.tick(now) {
            let epoch = self.table.epoch();
            self.members.update(&mut self.rng, &mut self.out, |own| own.epoch = epoch);
        }
    }

    /// Asks for members until one answers, then serves once the configuration is known.
    fn tick_join(&mut self, now: Time) {
        if self.members.own().state != State::Joining || now < self.control.join {
            return;
        }
        self.control.join = now + JOIN_RETRY;
        let alone = self.members.live().next().is_none();
        if alone {
            let record = self.members.own().clone();
            for address in self.settings.seeds.clone() {
                self.send(address, Message::AskMembers { record: record.clone() });
            }
        }
        if self.may_serve() {
            self.members.update(&mut self.rng, &mut self.out, |own| own.state = State::Serving);
            self.control.roster = now;
        }
    }

    /// Whether the configuration in force is at least as new as anything accepted before the
    /// start, as far as that can be known.
    ///
    /// A restarted router remembers nothing. A read of the root settles the question; in an
    /// outage the newest of several peers' versions has to do, or a stale one would bring an
    /// older configuration back.
    fn may_serve(&self) -> bool {
        let version = self.sync.root().version;
        if version == 0 || self.sync.newest_version() > version {
            return false;
        }
        let heard = &self.control.versions_heard;
        let current = heard.values().all(|v| *v <= version);
        let wanted = PEERS_TO_START.min(self.members.live().count()).max(1);
        let by_peers = heard.len() >= wanted;
        let read = self.control.root_read;
        let without = self.control.kv_failed || !self.settings.key_value;
        current && (read || (without && by_peers))
    }

    /// Recomputes the cells after a change of members or configuration.
    fn refresh_cells(&mut self) {
        let stamp = (self.members.changes(), self.config_version());
        if self.control.cells_of == stamp {
            return;
        }
        self.control.cells_of = stamp;
        let groups = self.groups.iter().map(|(key, state)| {
            let rules = self.index.group(*key);
            let members = state.pool.members.iter().filter_map(|k| self.upstreams.get(*k));
            let replicas = members.filter(|u| !u.removed).count() as u32;
            cell::Group { key: *key, name: rules.name.clone(), slots: replicas * rules.slots }
        });
        let groups: Vec<cell::Group> = groups.collect();
        let live = self.members.live().map(|r| r.name.as_str());
        let routers: Vec<&str> = live.chain([self.settings.name.as_str()]).collect();
        self.cells = Cells::new(&groups, &routers);
    }

    /// Recomputes what the others want, for budgets and limits.
    pub(super) fn refresh_shares(&mut self, now: Time) {
        self.refresh_cells();
        self.routers = self.count_routers(now);
        for (key, state) in &mut self.groups {
            let (cells, key) = (&self.cells, *key);
            let live = self.members.live().map(|r| r.name.as_str());
            let names = live.filter(|name| cells.serves(key, name));
            let group = &self.index.group(key).name;
            let group = (group.as_str(), state.pool.slots());
            state.demand.observe(&state.wanted());
            let own = (self.settings.name.as_str(), &state.demand.get());
            let slice = if cells.serves(key, own.0) {
                self.demands.slice(now, group, own, names)
            } else {
                // Outside the cell: one slot, somewhere of its own.
                let hash = rendezvous::hash(&[own.0.as_bytes(), group.0.as_bytes()]);
                let start = hash as f64 / u64::MAX as f64;
                Slice { start, end: start }
            };
            state.pool.assign(&mut self.upstreams, slice, state.headroom);
            state.blocked = false;
        }
    }
}
