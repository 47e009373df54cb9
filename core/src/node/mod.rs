//! State machine of one router: takes events and returns actions.
//!
//! [`Node`] owns the queues, the replicas, the requests in progress and the view of the other
//! routers; the submodules handle its events and periodic tasks. It does no I/O and reads no clock,
//! so that the same settings and events always give the same actions.

mod attempt;
mod control;
mod dispatch;
mod keyed;
mod orders;
mod peers;
pub mod request;
mod service;
mod stop;
mod upstreams;
mod versions;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::keyed::Forward;
use self::request::Request;
use crate::action::Action;
use crate::arena::Arena;
use crate::arena::Key;
use crate::cell::Cells;
use crate::config::ClassKey;
use crate::config::GroupKey;
use crate::config::Index;
use crate::entry;
use crate::estimate::Estimator;
use crate::event::AttemptId;
use crate::event::Event;
use crate::event::RequestId;
use crate::idempotency::Table;
use crate::limit::Limits;
use crate::limit::Routers;
use crate::member::Members;
use crate::member::Record;
use crate::member::State;
use crate::member::Verdict;
use crate::peer::Message;
use crate::prefix;
use crate::queue::Queue;
use crate::retry::Budget;
use crate::share::Demands;
use crate::share::SmoothedDemand;
use crate::share::TierDemand;
use crate::stats::Stats;
use crate::sync::Versions;
use crate::time::Span;
use crate::time::Time;
use crate::upstream::Pool;
use crate::upstream::Upstream;

/// Interval at which the driver passes [`Event::Tick`].
pub const TICK: Span = Span::millis(10);

/// Settings of the process, from its flags and environment.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, unique among the routers.
    pub name: String,
    /// Number of this run, higher than that of any earlier run with the same name.
    pub incarnation: u64,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address for callers.
    pub caller_address: String,
    /// Address for peers.
    pub peer_address: String,
    /// Peer addresses that are asked for the members at the start.
    pub seeds: Vec<String>,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether the key-value service may be called.
    pub key_value: bool,
}

/// Queue and replicas of one group.
#[derive(Debug)]
struct GroupState {
    queue: Queue,
    pool: Pool,
    budget: Budget,
    /// Factor by which this router's slots are overcommitted.
    headroom: f64,
    /// Number of attempts in progress, by tier.
    running: TierDemand,
    /// Attempts that may be preempted, with their tiers.
    preemptible: BTreeSet<(u8, AttemptId)>,
    /// Whether no slot was free for the first queued request and none was freed since.
    blocked: bool,
    /// Smoothed demand, from which slices are computed.
    demand: SmoothedDemand,
    /// Mean duration of an attempt, in seconds.
    mean_attempt_s: f64,
}

impl Default for GroupState {
    fn default() -> Self {
        GroupState {
            queue: Queue::default(),
            pool: Pool::default(),
            budget: Budget::default(),
            headroom: dispatch::INITIAL_HEADROOM,
            running: TierDemand::default(),
            preemptible: BTreeSet::new(),
            blocked: false,
            demand: SmoothedDemand::default(),
            mean_attempt_s: 0.0,
        }
    }
}

/// State of one router, without its sockets and timers.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    rng: SmallRng,
    index: Index,
    estimator: Estimator,
    limits: Limits,
    upstreams: Arena<Upstream>,
    upstream_by_name: BTreeMap<String, Key<Upstream>>,
    groups: BTreeMap<GroupKey, GroupState>,
    requests: Arena<Request>,
    by_caller: BTreeMap<RequestId, Key<Request>>,
    attempts: BTreeMap<AttemptId, Key<Request>>,
    next_attempt: u64,
    prefixes: prefix::Index,
    members: Members,
    demands: Demands,
    cells: Cells,
    routers: Routers,
    /// Highest tier number, that is lowest priority, of the protected classes.
    lowest_protected_tier: Option<u8>,
    table: Table,
    forwards: BTreeMap<RequestId, Forward>,
    orders: BTreeMap<GroupKey, orders::Orders>,
    sync: Versions,
    control: control::Schedule,
    stopping: stop::Phase,
    stats: Stats,
    /// Actions that the current event has caused so far.
    out: Vec<Action>,
}

impl Node {
    /// A router that starts at `now`.
    pub fn new(settings: Settings, now: Time) -> Node {
        let record = Record {
            name: settings.name.clone(),
            incarnation: settings.incarnation,
            version: 1,
            state: State::Joining,
            verdict: Verdict::Alive,
            failure_domain: settings.failure_domain.clone(),
            caller_address: settings.caller_address.clone(),
            peer_address: settings.peer_address.clone(),
            epoch: 1,
            adopted: Vec::new(),
        };
        Node {
            rng: SmallRng::seed_from_u64(settings.seed),
            index: Index::default(),
            estimator: Estimator::default(),
            limits: Limits::default(),
            upstreams: Arena::default(),
            upstream_by_name: BTreeMap::new(),
            groups: BTreeMap::new(),
            requests: Arena::default(),
            by_caller: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
            prefixes: prefix::Index::default(),
            table: Table::new(record.home(), now),
            members: Members::new(record),
            demands: Demands::default(),
            cells: Cells::default(),
            routers: Routers { live: 1, reporting: 0 },
            lowest_protected_tier: None,
            forwards: BTreeMap::new(),
            orders: BTreeMap::new(),
            sync: Versions::default(),
            control: control::Schedule::new(now),
            stopping: stop::Phase::Running,
            stats: Stats::default(),
            out: Vec::new(),
            settings,
        }
    }

    /// Handles one event and returns the resulting actions in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Request(id, submission) => self.on_request(now, id, submission),
            Event::CallerGone(id) => self.on_caller_gone(now, id),
            Event::Frame { attempt, echo, offset, tokens, text } => {
                self.on_frame(now, attempt, attempt::Frame { echo, offset, tokens, text });
            }
            Event::Ended { attempt, echo, status } => self.on_ended(now, attempt, echo, status),
            Event::Failed(attempt, failure) => self.on_failed(now, attempt, failure),
            Event::Load(name, load) => self.on_load(now, &name, load),
            Event::Deployed(name, deployment) => self.on_deployed(&name, deployment),
            Event::Ordered(name, result) => self.on_ordered(now, &name, result),
            Event::Cache { upstream, sequence, added, evicted } => {
                if let Some(key) = self.upstream_by_name.get(&upstream) {
                    self.prefixes.apply_event(*key, sequence, &added, &evicted);
                }
            }
            Event::Hosts { leaving } => self.on_hosts(now, &leaving),
            Event::Peer { from, incarnation, message } => {
                self.on_peer(now, &from, incarnation, message);
            }
            Event::Kv(call, reply) => self.on_kv_reply(now, call, reply),
            Event::Stop => self.on_stop(now),
        }
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now: Time) {
        self.expire(now);
        self.fail_stalled(now);
        self.expire_forwards(now);
        self.tick_control(now);
        self.tick_stop(now);
        let waiting = self.groups.iter().filter(|(_, g)| !g.queue.is_empty());
        let waiting: Vec<GroupKey> = waiting.map(|(k, _)| *k).collect();
        for group in waiting {
            self.dispatch_queued(now, group);
        }
    }

    fn send(&mut self, address: String, message: Message) {
        self.out.push(Action::Send { address, message });
    }

    /// Answers `GET /v1/entry` for a caller in `failure_domain` that will use `model`.
    pub fn entry(
        &mut self,
        now: Time,
        failure_domain: Option<&str>,
        model: Option<&str>,
    ) -> Option<entry::Answer> {
        let group = model.and_then(|m| self.index.group_of_model(m));
        self.stats.entries += 1;
        let own_demand = self.requests.len() as u32;
        let own = self.members.own().name.clone();
        let open = self.members.all().filter(|r| r.accepts_callers());
        let serves_group = |r: &&Record| group.is_none_or(|g| self.cells.serves(g, &r.name));
        let candidates: Vec<entry::Candidate<'_>> = open
            .filter(serves_group)
            .map(|record| {
                let reported = self.demands.total_demand(now, &record.name);
                let demand = if record.name == own { own_demand } else { reported.unwrap_or(0) };
                entry::Candidate { record, demand }
            })
            .collect();
        entry::answer(&candidates, failure_domain, &mut self.rng)
    }

    /// Smoothed demand, by group name and tier.
    fn demand_by_group(&self) -> BTreeMap<String, TierDemand> {
        let all = self.groups.iter();
        let busy = all.map(|(key, g)| (self.index.group(*key).name.clone(), g.demand.get()));
        busy.filter(|(_, w)| *w != TierDemand::default()).collect()
    }

    /// Live routers that receive this router's demand: those in its cells, and in the cells of
    /// groups that it uses without being a member.
    fn sharing_peers(&self) -> Vec<&Record> {
        let mut groups = self.cells.groups_of(&self.settings.name);
        if let Some(groups) = &mut groups {
            let busy = self.groups.iter().filter(|(_, g)| g.demand.get() != TierDemand::default());
            groups.extend(busy.map(|(key, _)| *key));
        }
        let names = groups.as_ref().map(|g| self.cells.routers(g));
        let shares = |r: &&Record| names.as_ref().is_none_or(|n| n.contains(r.name.as_str()));
        self.members.live().filter(shares).collect()
    }

    /// Number of routers that share this router's groups, and how many of them sent their demand.
    fn count_routers(&self, now: Time) -> Routers {
        let sharing_peers = self.sharing_peers();
        let names = sharing_peers.iter().map(|r| r.name.as_str());
        Routers { live: sharing_peers.len() + 1, reporting: self.demands.fresh_count(now, names) }
    }

    /// The active configuration.
    pub fn index(&self) -> &Index {
        &self.index
    }

    /// Version of the active configuration; 0 before the first.
    pub fn config_version(&self) -> u64 {
        self.sync.root().version
    }

    /// Members known to this router, itself first.
    pub fn members(&self) -> impl Iterator<Item = &Record> {
        self.members.all()
    }

    /// Replicas known to this router.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter().map(|(_, u)| u)
    }

    /// Counters.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Number of queued requests of a class, over all groups.
    pub fn queued(&self, class: ClassKey) -> usize {
        self.groups.values().map(|g| g.queue.class_len(class)).sum()
    }

    /// Whether callers may be directed to this router.
    pub fn is_serving(&self) -> bool {
        self.members.own().state == State::Serving
    }

    /// Number of requests that are queued or at upstreams.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }
}
