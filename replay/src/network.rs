//! Routers, the messages between them and the key-value service, in virtual time.
//!
//! Messages can be delayed, cut and lost; routers killed and paused; the service can be out or
//! lose replies. What routers do towards callers and upstreams goes to the owner of the network.

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

/// One way to the key-value service.
const KV_DELAY: Span = Span::millis(1);

/// A router of either sort.
#[derive(Debug)]
pub enum Router {
    /// The core.
    Node(Box<Node>),
    /// Something to compare with.
    Baseline(Baseline),
}

/// How the key-value service behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    #[default]
    Up,
    /// It does not answer.
    Down,
    /// Writes take effect, but their replies are lost.
    LoseReplies,
}

/// The key-value service.
#[derive(Debug, Default)]
pub struct Store {
    /// Behaviour.
    pub mode: Mode,
    /// Values with their modification revisions.
    pub values: BTreeMap<String, (Bytes, i64)>,
    /// Reads so far.
    pub reads: u64,
    /// Writes so far.
    pub writes: u64,
    revision: i64,
}

impl Store {
    /// Writes a value.
    pub fn put(&mut self, key: &str, value: Bytes) {
        self.revision += 1;
        self.values.insert(key.to_owned(), (value, self.revision));
    }

    /// Accepts a configuration under this version.
    pub fn publish(&mut self, version: u64, config: &Config) {
        let shards = shard::split(config).expect("a configuration that fits");
        for (hash, content) in shards.contents {
            self.put(&format!("{SHARD_PREFIX}{hash}"), content);
        }
        let root = Root { version, operation: format!("op-{version}"), shards: shards.parts };
        let value = serde_json::to_vec(&root).expect("a root");
        self.put(ROOT_KEY, Bytes::from(value));
    }

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
                let found = self.values.get(key).map_or(0, |(_, r)| *r);
                let applies = (found == *revision).then(|| {
                    self.put(key, value.clone());
                    self.revision
                });
                match self.mode {
                    Mode::LoseReplies => KvReply::Unavailable,
                    _ => KvReply::Swapped(applies),
                }
            }
        }
    }
}

#[derive(Debug)]
enum Item<I> {
    Tick(usize, u64),
    Event(usize, u64, Box<Event>),
    Kv(usize, u64, KvCall),
    Scheduled(I),
}

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

#[derive(Debug)]
struct Host {
    router: Option<Router>,
    /// Number of this generation; events for an earlier one find nobody.
    generation: u64,
    paused: bool,
    deferred: Vec<Event>,
    domain: usize,
}

/// What the owner of the network has to see to.
#[derive(Debug)]
pub enum Step<I> {
    /// An item of its own is due.
    Scheduled(I),
    /// A router did this towards callers and upstreams.
    Actions(usize, Vec<Action>),
}

/// Routers and what lies between them.
#[derive(Debug)]
pub struct Network<I> {
    /// Current time.
    pub now: Time,
    /// The key-value service.
    pub store: Store,
    /// Pairs of routers that can't reach each other.
    pub unreachable: BTreeSet<(usize, usize)>,
    /// Connections, from one router to another, that have fallen silent; a new one works.
    pub silent: BTreeSet<(usize, usize)>,
    /// Of every so many messages between routers, one is lost; 0 for none.
    pub drop_every: u64,
    /// Bytes and messages that routers sent each other.
    pub traffic: (u64, u64),
    /// Log lines of routers.
    pub log: Vec<(Time, usize, String)>,
    between_domains: Span,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<Entry<I>>>,
    sequence: u64,
    sent: u64,
}

/// Peer address of the router with this index.
pub fn peer_address(i: usize) -> String {
    format!("10.0.0.1:{}", 1000 + i)
}

/// Settings of the router with this index.
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
    /// A network without routers.
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

    /// Schedules an item of the owner's.
    pub fn schedule(&mut self, after: Span, item: I) {
        self.push(self.now + after, Item::Scheduled(item));
    }

    /// Schedules an event for a router.
    pub fn schedule_event(&mut self, after: Span, router: usize, event: Event) {
        let generation = self.hosts[router].generation;
        self.push(self.now + after, Item::Event(router, generation, Box::new(event)));
    }

    /// Adds a router in the domain with this index and starts it; returns its index.
    pub fn add(&mut self, router: Router, domain: usize) -> usize {
        let index = self.hosts.len();
        let host =
            Host { router: None, generation: 0, paused: false, deferred: Vec::new(), domain };
        self.hosts.push(host);
        self.start(index, router);
        index
    }

    /// Starts a router in a host that has none.
    pub fn start(&mut self, index: usize, router: Router) {
        let host = &mut self.hosts[index];
        host.router = Some(router);
        host.generation += 1;
        host.deferred.clear();
        host.paused = false;
        let generation = host.generation;
        // Ticks of different routers do not fall together.
        let offset = Span(index as u64 * 1_000 % TICK.0);
        self.push(self.now + offset, Item::Tick(index, generation));
    }

    /// Kills a router without a word.
    pub fn kill(&mut self, index: usize) {
        self.hosts[index].router = None;
        self.hosts[index].generation += 1;
    }

    /// Freezes a router; what arrives meanwhile is deferred.
    pub fn pause(&mut self, index: usize) {
        self.hosts[index].paused = true;
    }

    /// Lets a frozen router go on; what was deferred arrives at once.
    pub fn resume(&mut self, index: usize) {
        self.hosts[index].paused = false;
        for event in std::mem::take(&mut self.hosts[index].deferred) {
            self.schedule_event(Span(0), index, event);
        }
    }

    /// Cuts all routers of `side` off from the others.
    pub fn partition(&mut self, side: &[usize]) {
        for a in 0..self.hosts.len() {
            for b in 0..self.hosts.len() {
                if side.contains(&a) != side.contains(&b) {
                    self.unreachable.insert((a, b));
                }
            }
        }
    }

    /// Whether a router runs.
    pub fn is_running(&self, index: usize) -> bool {
        self.hosts[index].router.is_some()
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether there is no host.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// The node of a host, if one runs there.
    pub fn node(&self, index: usize) -> Option<&Node> {
        match self.hosts[index].router.as_ref()? {
            Router::Node(node) => Some(node),
            Router::Baseline(_) => None,
        }
    }

    /// The node of a host for changes.
    pub fn node_mut(&mut self, index: usize) -> Option<&mut Node> {
        match self.hosts[index].router.as_mut()? {
            Router::Node(node) => Some(node),
            Router::Baseline(_) => None,
        }
    }

    /// Gives a router an event now; returns what it does towards callers and upstreams.
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

    /// Carries what goes to peers and the service; the rest is the owner's.
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

    fn router_at(&self, address: &str) -> Option<usize> {
        (0..self.hosts.len()).find(|i| peer_address(*i) == address)
    }

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
        // A message on the wire reaches whatever runs at the address when it arrives.
        let generation = self.hosts[to].generation;
        let event = Event::Peer { from: name, incarnation, message };
        self.push(self.now + delay, Item::Event(to, generation, Box::new(event)));
    }

    /// Goes on to the next thing the owner has to see to, at most until `until`.
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
