//! Simulates routers, the messages between them and the key-value service in virtual time.
//!
//! Messages can be delayed, blocked or lost, routers can be killed or paused, and the service can
//! be unavailable or lose replies. All events are entries of one queue. They run in the order of
//! their times, those of the same time in the order in which they were scheduled. The network
//! performs the routers' actions towards peers and the service, and returns those towards callers
//! and upstreams to its user.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use bytes::Bytes;
use laburnumwheel_core::action::Action;
use laburnumwheel_core::action::KvCall;
use laburnumwheel_core::codec;
use laburnumwheel_core::config::Config;
use laburnumwheel_core::config::shard;
use laburnumwheel_core::config::shard::Root;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::event::KvReply;
use laburnumwheel_core::node::Node;
use laburnumwheel_core::node::Settings;
use laburnumwheel_core::node::TICK;
use laburnumwheel_core::sync::ROOT_KEY;
use laburnumwheel_core::sync::SHARD_PREFIX;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::baseline::Baseline;

/// Time that a call or its reply takes between a router and the key-value service.
const KV_DELAY: Span = Span::millis(1);

/// Router on a host.
#[derive(Debug)]
pub enum Router {
    /// A node of the router's core.
    Node(Box<Node>),
    /// A baseline that the core is compared with.
    Baseline(Baseline),
}

/// Behaviour of the key-value service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It replies to all calls.
    #[default]
    Up,
    /// It is unavailable.
    Down,
    /// Writes take effect, but their replies are lost; reads get replies.
    LoseReplies,
}

/// The key-value service.
#[derive(Debug, Default)]
pub struct Store {
    /// Current behaviour.
    pub mode: Mode,
    /// Values by key, each with the revision of its last write.
    pub values: BTreeMap<String, (Bytes, i64)>,
    /// Number of reads so far.
    pub reads: u64,
    /// Number of writes so far.
    pub writes: u64,
    revision: i64,
}

impl Store {
    /// Writes a value.
    pub fn put(&mut self, key: &str, value: Bytes) {
        self.revision += 1;
        self.values.insert(key.to_owned(), (value, self.revision));
    }

    /// Writes a configuration under a version.
    ///
    /// # Panics
    ///
    /// If a part of the configuration is too large to be stored.
    pub fn publish(&mut self, version: u64, config: &Config) {
        let shards = shard::split(config).expect("the configuration should fit into shards");
        for (hash, content) in shards.contents {
            self.put(&format!("{SHARD_PREFIX}{hash}"), content);
        }
        let root = Root { version, operation: format!("op-{version}"), shards: shards.parts };
        let value = serde_json::to_vec(&root).expect("the root should be serializable");
        self.put(ROOT_KEY, Bytes::from(value));
    }

    /// Performs a call. A swap writes its value only if the key has the expected revision.
    fn call(&mut self, call: &KvCall) -> KvReply {
        if self.mode == Mode::Down {
            return KvReply::Unavailable;
        }
        match call {
            KvCall::Get { key } => {
                self.reads += 1;
                KvReply::Value(self.values.get(key).cloned())
            }
            KvCall::Swap { key, revision, value } => {
                self.writes += 1;
                let current = self.values.get(key).map_or(0, |(_, r)| *r);
                let written = (current == *revision).then(|| {
                    self.put(key, value.clone());
                    self.revision
                });
                match self.mode {
                    Mode::LoseReplies => KvReply::Unavailable,
                    _ => KvReply::Swapped(written),
                }
            }
        }
    }
}

/// Content of a queue entry. Items of a router carry its index and generation.
#[derive(Debug)]
enum Item<I> {
    Tick(usize, u64),
    Event(usize, u64, Box<Event>),
    Kv(usize, u64, KvCall),
    Scheduled(I),
}

/// Entry of the queue, ordered by time and then by sequence number.
#[derive(Debug)]
struct Entry<I> {
    at: Time,
    sequence: u64,
    item: Item<I>,
}

impl<I> PartialEq for Entry<I> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<I> Eq for Entry<I> {}

impl<I> PartialOrd for Entry<I> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<I> Ord for Entry<I> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Host with one router, which can be killed and started again.
#[derive(Debug)]
struct Host {
    router: Option<Router>,
    /// Increases when a router is started or killed. Items of earlier generations are dropped.
    generation: u64,
    paused: bool,
    /// Events that arrived during a pause.
    deferred: Vec<Event>,
    /// Index of its failure domain.
    domain: usize,
}

/// Step of the simulation that the user of the network has to perform.
#[derive(Debug)]
pub enum Step<I> {
    /// An item that the user scheduled is due.
    Scheduled(I),
    /// Actions of the router with this index towards callers and upstreams.
    Actions(usize, Vec<Action>),
}

/// Routers, the connections between them and the key-value service.
///
/// Routers are given by their indices, in the order in which they were added.
#[derive(Debug)]
pub struct Network<I> {
    /// Current time.
    pub now: Time,
    /// The key-value service.
    pub store: Store,
    /// Pairs of a sender and a receiver whose messages are blocked.
    pub unreachable: BTreeSet<(usize, usize)>,
    /// Pairs of a sender and a receiver whose connection drops all messages until the sender
    /// reconnects.
    pub silent: BTreeSet<(usize, usize)>,
    /// Loses each message between routers whose number is a multiple of this; 0 loses none.
    pub drop_every: u64,
    /// Number of bytes and of messages that routers sent each other.
    pub traffic: (u64, u64),
    /// Log lines of routers, with their times and the routers' indices.
    pub log: Vec<(Time, usize, String)>,
    between_domains: Span,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<Entry<I>>>,
    sequence: u64,
    sent: u64,
}

/// Returns the peer address of a router.
pub fn peer_address(i: usize) -> String {
    format!("10.0.0.1:{}", 1000 + i)
}

/// Returns the settings of a router.
pub fn settings(i: usize, domain: &str, incarnation: u64, seed: u64) -> Settings {
    Settings {
        name: format!("r{i}"),
        incarnation,
        failure_domain: domain.to_owned(),
        caller_address: format!("10.0.0.1:{}", 9000 + i),
        peer_address: peer_address(i),
        seeds: Vec::new(),
        seed: seed.wrapping_mul(1_000_003).wrapping_add(i as u64),
        key_value: true,
    }
}

impl<I> Network<I> {
    /// Creates a network without routers. `between_domains` is the time that a message takes
    /// between failure domains.
    pub fn new(between_domains: Span) -> Network<I> {
        Network {
            now: Time(1_000_000),
            store: Store::default(),
            unreachable: BTreeSet::new(),
            silent: BTreeSet::new(),
            drop_every: 0,
            traffic: (0, 0),
            log: Vec::new(),
            between_domains,
            hosts: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            sent: 0,
        }
    }

    fn push(&mut self, at: Time, item: Item<I>) {
        self.sequence += 1;
        self.queue.push(Reverse(Entry { at, sequence: self.sequence, item }));
    }

    /// Schedules an item of the user.
    pub fn schedule(&mut self, after: Span, item: I) {
        self.push(self.now + after, Item::Scheduled(item));
    }

    /// Schedules an event for a router. It is dropped if the router is killed or restarted before.
    pub fn schedule_event(&mut self, after: Span, router: usize, event: Event) {
        let generation = self.hosts[router].generation;
        self.push(self.now + after, Item::Event(router, generation, Box::new(event)));
    }

    /// Adds a host with a running router in the failure domain with this index, and returns the
    /// router's index.
    pub fn add(&mut self, router: Router, domain: usize) -> usize {
        let index = self.hosts.len();
        let host =
            Host { router: None, generation: 0, paused: false, deferred: Vec::new(), domain };
        self.hosts.push(host);
        self.start(index, router);
        index
    }

    /// Starts a router on a host that has none.
    pub fn start(&mut self, index: usize, router: Router) {
        let host = &mut self.hosts[index];
        host.router = Some(router);
        host.generation += 1;
        host.deferred.clear();
        host.paused = false;
        let generation = host.generation;
        // Routers tick at different times.
        let offset = Span(index as u64 * 1_000 % TICK.0);
        self.push(self.now + offset, Item::Tick(index, generation));
    }

    /// Kills a router without notice to its peers.
    pub fn kill(&mut self, index: usize) {
        self.hosts[index].router = None;
        self.hosts[index].generation += 1;
    }

    /// Pauses a router. Events that arrive during the pause are deferred; ticks are dropped.
    pub fn pause(&mut self, index: usize) {
        self.hosts[index].paused = true;
    }

    /// Resumes a paused router; deferred events arrive at once.
    pub fn resume(&mut self, index: usize) {
        self.hosts[index].paused = false;
        for event in std::mem::take(&mut self.hosts[index].deferred) {
            self.schedule_event(Span(0), index, event);
        }
    }

    /// Blocks all messages between the routers of `side` and the others.
    pub fn partition(&mut self, side: &[usize]) {
        for a in 0..self.hosts.len() {
            for b in 0..self.hosts.len() {
                if side.contains(&a) != side.contains(&b) {
                    self.unreachable.insert((a, b));
                }
            }
        }
    }

    /// Whether a router is running, paused or not.
    pub fn is_running(&self, index: usize) -> bool {
        self.hosts[index].router.is_some()
    }

    /// Returns the number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether there is no host.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns the node of a host, if one is running there.
    pub fn node(&self, index: usize) -> Option<&Node> {
        match self.hosts[index].router.as_ref()? {
            Router::Node(node) => Some(node),
            Router::Baseline(_) => None,
        }
    }

    /// Returns the node of a host for changes, if one is running there.
    pub fn node_mut(&mut self, index: usize) -> Option<&mut Node> {
        match self.hosts[index].router.as_mut()? {
            Router::Node(node) => Some(node),
            Router::Baseline(_) => None,
        }
    }

    /// Handles an event at a router and returns its actions towards callers and upstreams.
    pub fn handle(&mut self, index: usize, event: Event) -> Vec<Action> {
        let now = self.now;
        let host = &mut self.hosts[index];
        if host.paused {
            if event != Event::Tick {
                host.deferred.push(event);
            }
            return Vec::new();
        }
        let actions = match host.router.as_mut() {
            None => return Vec::new(),
            Some(Router::Node(node)) => node.handle(now, event),
            Some(Router::Baseline(baseline)) => baseline.handle(event),
        };
        actions.into_iter().filter_map(|a| self.transmit(index, a)).collect()
    }

    /// Performs an action towards peers, the service or the log; returns any other action, and
    /// also an exit.
    fn transmit(&mut self, from: usize, action: Action) -> Option<Action> {
        match action {
            Action::Send { address, message } => {
                self.send(from, &address, message);
                None
            }
            Action::Kv(call) => {
                let generation = self.hosts[from].generation;
                self.push(self.now + KV_DELAY, Item::Kv(from, generation, call));
                None
            }
            Action::Redial(address) => {
                if let Some(to) = self.router_at(&address) {
                    self.silent.remove(&(from, to));
                }
                None
            }
            Action::Log(line) => {
                let fields = line.fields.iter().map(|(n, v)| format!(" {n}={v}"));
                let text = format!("{}{}", line.event, fields.collect::<String>());
                self.log.push((self.now, from, text));
                None
            }
            Action::Exit => {
                self.kill(from);
                Some(Action::Exit)
            }
            other => Some(other),
        }
    }

    /// Returns the index of the router with this peer address.
    fn router_at(&self, address: &str) -> Option<usize> {
        (0..self.hosts.len()).find(|i| peer_address(*i) == address)
    }

    /// Sends a message to a peer, unless it is lost or blocked.
    fn send(&mut self, from: usize, address: &str, message: laburnumwheel_core::peer::Message) {
        let bytes = codec::encode_message(&message).map_or(0, |b| b.len() as u64);
        self.traffic.0 += bytes;
        self.traffic.1 += 1;
        self.sent += 1;
        let Some(to) = self.router_at(address) else {
            return;
        };
        let lost = self.drop_every > 0 && self.sent.is_multiple_of(self.drop_every);
        if lost || self.unreachable.contains(&(from, to)) || self.silent.contains(&(from, to)) {
            return;
        }
        let Some(node) = self.node(from) else {
            return;
        };
        let own = node.members().next();
        let (name, incarnation) =
            own.map_or((String::new(), 0), |r| (r.name.clone(), r.incarnation));
        let same = self.hosts[from].domain == self.hosts[to].domain;
        let delay = if same { Span(100) } else { self.between_domains };
        // A message can reach only the router that runs at the address when it is sent.
        let generation = self.hosts[to].generation;
        let event = Event::Peer { from: name, incarnation, message };
        self.push(self.now + delay, Item::Event(to, generation, Box::new(event)));
    }

    /// Runs until the next step that the user has to perform, at most until the time `until`.
    pub fn next(&mut self, until: Time) -> Option<Step<I>> {
        loop {
            if self.queue.peek().is_none_or(|Reverse(t)| t.at > until) {
                self.now = until;
                return None;
            }
            let Reverse(entry) = self.queue.pop()?;
            self.now = entry.at;
            let (index, actions) = match entry.item {
                Item::Scheduled(item) => return Some(Step::Scheduled(item)),
                Item::Tick(index, generation) => {
                    if self.hosts[index].generation != generation {
                        continue;
                    }
                    let actions = self.handle(index, Event::Tick);
                    if self.hosts[index].generation == generation {
                        self.push(self.now + TICK, Item::Tick(index, generation));
                    }
                    (index, actions)
                }
                Item::Event(index, generation, event) => {
                    if self.hosts[index].generation != generation {
                        continue;
                    }
                    (index, self.handle(index, *event))
                }
                Item::Kv(index, generation, call) => {
                    let reply = self.store.call(&call);
                    if self.hosts[index].generation == generation {
                        self.schedule_event(KV_DELAY, index, Event::Kv(call, reply));
                    }
                    continue;
                }
            };
            if !actions.is_empty() {
                return Some(Step::Actions(index, actions));
            }
        }
    }
}
