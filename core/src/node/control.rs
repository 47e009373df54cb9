//! Periodic work of a router: joining the members, exchanging demand, and updating its shares.
//!
//! Each task has the time at which it is next due in [`Schedule`]. A joining router serves callers
//! once it knows that no newer configuration was accepted before its start.

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

/// Interval at which a joining router asks the seeds for members.
pub(super) const JOIN_INTERVAL: Span = Span::secs(1);
/// Interval at which attempts are checked for their timeouts.
const STALL_CHECK_INTERVAL: Span = Span::millis(50);
/// Interval at which the shares are recomputed.
const SHARE_INTERVAL: Span = Span::millis(50);
/// Interval of the less urgent tasks; see [`Node::tick_slow`].
const SLOW_INTERVAL: Span = Span::secs(1);
/// Intervals at which demand is sent to peers: with fewer live routers than
/// [`cell::MAX_ROUTERS_WITHOUT_CELLS`], and otherwise.
const DEMAND_INTERVAL_FEW: Span = Span::millis(250);
const DEMAND_INTERVAL_MANY: Span = Span::secs(2);
/// Time after which missing shards are requested again.
pub(super) const SHARD_RETRY: Span = Span::secs(1);
/// Number of peers whose configuration versions must be known before a router serves callers
/// without having read the key-value service.
const MIN_PEERS_TO_SERVE: usize = 3;

/// Times at which the periodic tasks are next due, and state of the start.
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
    /// Whether the root was read from the key-value service.
    pub(super) root_read: bool,
    /// Whether the key-value service was unavailable since the last read of the root.
    pub(super) kv_failed: bool,
    /// Configuration versions gossiped by peers while joining, by router name.
    pub(super) received_versions: BTreeMap<String, u64>,
    /// State from which the cells were computed: number of member changes, configuration version.
    pub(super) cells_inputs: (u64, u64),
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
            received_versions: BTreeMap::new(),
            cells_inputs: (0, 0),
        }
    }

    pub(super) fn stalls_due(&mut self, now: Time) -> bool {
        due(&mut self.stalls, now, STALL_CHECK_INTERVAL)
    }
}

/// Whether a task is due; if so, schedules it again after `every`.
fn due(at: &mut Time, now: Time, every: Span) -> bool {
    if now < *at {
        return false;
    }
    *at = now + every;
    true
}

impl Node {
    /// Runs the periodic tasks that are due.
    pub(super) fn tick_control(&mut self, now: Time) {
        self.members.tick(now, &mut self.rng, &mut self.out);
        self.tick_join(now);
        self.tick_key_value(now);
        if due(&mut self.control.share, now, SHARE_INTERVAL) {
            self.refresh_shares(now);
        }
        let few = self.members.live().count() < cell::MAX_ROUTERS_WITHOUT_CELLS;
        let every = if few { DEMAND_INTERVAL_FEW } else { DEMAND_INTERVAL_MANY };
        if due(&mut self.control.demand, now, every) {
            self.send_demand(now, Vec::new());
        }
        if due(&mut self.control.slow, now, SLOW_INTERVAL) {
            self.tick_slow(now);
        }
        if !self.sync.missing_shards().is_empty() && due(&mut self.control.ask, now, SHARD_RETRY) {
            self.ask_shards(None);
        }
    }

    /// Runs the tasks that are due every [`SLOW_INTERVAL`].
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

    /// Asks the seeds for members until one answers, and starts to serve callers once the
    /// configuration is known to be current.
    fn tick_join(&mut self, now: Time) {
        if self.members.own().state != State::Joining || now < self.control.join {
            return;
        }
        self.control.join = now + JOIN_INTERVAL;
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

    /// Whether the active configuration is at least as new as any that was accepted before the
    /// start, as far as can be known.
    ///
    /// A restarted router has no stored state. A read of the root answers the question. During an
    /// outage of the key-value service the newest version of several peers is used instead, because
    /// a single stale peer could bring back an older configuration.
    fn may_serve(&self) -> bool {
        let version = self.sync.root().version;
        if version == 0 || self.sync.newest_version() > version {
            return false;
        }
        let versions = &self.control.received_versions;
        let current = versions.values().all(|v| *v <= version);
        let required = MIN_PEERS_TO_SERVE.min(self.members.live().count()).max(1);
        let enough_peers = versions.len() >= required;
        let read = self.control.root_read;
        let without_store = self.control.kv_failed || !self.settings.key_value;
        current && (read || (without_store && enough_peers))
    }

    /// Recomputes the cells after a change of members or configuration.
    fn refresh_cells(&mut self) {
        let inputs = (self.members.changes(), self.config_version());
        if self.control.cells_inputs == inputs {
            return;
        }
        self.control.cells_inputs = inputs;
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

    /// Recomputes this router's slices of the groups from the demand of all routers, and the number
    /// of routers for the limits.
    pub(super) fn refresh_shares(&mut self, now: Time) {
        self.refresh_cells();
        self.routers = self.count_routers(now);
        for (key, state) in &mut self.groups {
            let (cells, key) = (&self.cells, *key);
            let live = self.members.live().map(|r| r.name.as_str());
            let names = live.filter(|name| cells.serves(key, name));
            let group = &self.index.group(key).name;
            let group = (group.as_str(), state.pool.slots());
            state.demand.observe(&state.demand_by_tier());
            let own = (self.settings.name.as_str(), &state.demand.get());
            let slice = if cells.serves(key, own.0) {
                self.demands.slice(now, group, own, names)
            } else {
                // A router outside the cell gets one slot, at a position by the hash of its name.
                let hash = rendezvous::hash(&[own.0.as_bytes(), group.0.as_bytes()]);
                let start = hash as f64 / u64::MAX as f64;
                Slice { start, end: start }
            };
            state.pool.assign(&mut self.upstreams, slice, state.headroom);
            state.blocked = false;
        }
    }
}
