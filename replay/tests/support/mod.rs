//! Test cluster: routers, engines that are deployed by orders, and a plain service that counts its
//! executions.
#![allow(dead_code)]

use std::collections::BTreeMap;

use bytes::Bytes;
use laburnumwheel_core::action::Action;
use laburnumwheel_core::action::Dispatch;
use laburnumwheel_core::action::Order;
use laburnumwheel_core::action::Outcome;
use laburnumwheel_core::action::Verdict;
use laburnumwheel_core::config;
use laburnumwheel_core::config::Config;
use laburnumwheel_core::config::Deployment;
use laburnumwheel_core::config::Source;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::event::Failure;
use laburnumwheel_core::event::OrderResult;
use laburnumwheel_core::event::RequestId;
use laburnumwheel_core::event::Submission;
use laburnumwheel_core::event::Target;
use laburnumwheel_core::node::Node;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use laburnumwheel_replay::network;
use laburnumwheel_replay::network::Network;
use laburnumwheel_replay::network::Router;
use laburnumwheel_replay::network::Step;

const BETWEEN_DOMAINS: Span = Span(1_500);
/// Duration of a call at the service.
pub const WORK: Span = Span::millis(20);

/// Scheduled item of the cluster, with the index of its router.
#[derive(Debug)]
pub enum Item {
    /// A call arrives at the service.
    Arrive(usize, Box<Dispatch>),
    /// The service answers a call.
    Answer(usize, Box<Dispatch>),
    /// An order arrives at an engine.
    Order(usize, Order),
}

/// Engine that performs orders.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Whether it refuses orders with a lower fencing token than that of its last order.
    pub checks_fencing: bool,
    /// Fencing token of its last order.
    pub fence: i64,
    /// Deployment of its last order.
    pub deployment: Deployment,
    /// Versions in the order in which they were loaded.
    pub loaded: Vec<String>,
    /// Number of orders refused for their fencing tokens.
    pub refused: u32,
}

/// A cluster under test.
pub struct Cluster {
    pub network: Network<Item>,
    /// Number of executions of each body.
    pub executions: BTreeMap<Bytes, u32>,
    /// Outcomes by router and request.
    pub outcomes: BTreeMap<(usize, RequestId), Outcome>,
    /// Routers that exited after a planned stop.
    pub exited: Vec<usize>,
    /// Number of calls of which the last one's connection breaks after its execution; 0 if none
    /// breaks.
    pub break_every: u32,
    /// Engines by name.
    pub engines: BTreeMap<String, Engine>,
    /// Time that orders of a router take.
    pub order_delay: BTreeMap<usize, Span>,
    /// Time, router and fencing token of each order sent.
    pub orders: Vec<(Time, usize, i64)>,
    calls: u32,
    next: u64,
    incarnation: u64,
    seed: u64,
}

/// Returns a configuration with one class, a plain service with two replicas and `orgs`
/// organisations.
pub fn config(orgs: usize) -> Config {
    let mut text = "[[class]]\nname = \"c\"\ntier = 0\nfirst_token_ms = 500\n\
         [[group]]\nname = \"s\"\nkind = \"service\"\n"
        .to_owned();
    for i in 1..=2 {
        text += &format!(
            "[[upstream]]\nname = \"s{i}\"\ngroup = \"s\"\naddress = \"127.0.0.1:{i}\"\n\
             failure_domain = \"a\"\n"
        );
    }
    for i in 0..orgs {
        let hash = config::hash_key(&format!("key-{i}"));
        text += &format!(
            "[[organisation]]\nname = \"org-{i}\"\nkey_hash = \"{hash}\"\ndefault_class = \"c\"\n"
        );
    }
    config::parse(&[Source { name: "test".to_owned(), text }])
        .expect("the configuration should be valid")
}

/// Returns a node of the cluster with the index `i`.
pub fn node(i: usize, incarnation: u64, seed: u64, network: &Network<Item>) -> Router {
    let settings =
        network::settings(i, if i.is_multiple_of(2) { "a" } else { "b" }, incarnation, seed);
    Router::Node(Box::new(Node::new(settings, network.now)))
}

impl Cluster {
    /// Starts a cluster whose routers all serve with a configuration in force.
    pub fn start(routers: usize, seed: u64) -> Cluster {
        let mut cluster = Cluster {
            network: Network::new(BETWEEN_DOMAINS),
            executions: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            exited: Vec::new(),
            break_every: 0,
            engines: BTreeMap::new(),
            order_delay: BTreeMap::new(),
            orders: Vec::new(),
            calls: 0,
            next: 1,
            incarnation: 1,
            seed,
        };
        cluster.network.store.publish(1, &config(1));
        for i in 0..routers {
            let router = node(i, 1, seed, &cluster.network);
            cluster.network.add(router, i % 2);
        }
        cluster.advance(Span::secs(8));
        for i in 0..routers {
            assert_eq!(cluster.serving_seen_by(i), routers, "router {i} at the start");
        }
        cluster
    }

    /// Starts a new incarnation of a router that is not running.
    pub fn restart(&mut self, router: usize) {
        self.incarnation += 1;
        let node = node(router, self.incarnation, self.seed, &self.network);
        self.network.start(router, node);
    }

    /// Runs the cluster for a time.
    pub fn advance(&mut self, span: Span) {
        let until = self.network.now + span;
        while let Some(step) = self.network.next(until) {
            match step {
                Step::Scheduled(Item::Arrive(router, d)) => self.arrive(router, d),
                Step::Scheduled(Item::Answer(router, d)) => self.answer(router, &d),
                Step::Scheduled(Item::Order(router, order)) => self.order(router, order),
                Step::Actions(router, actions) => self.perform(router, actions),
            }
        }
    }

    /// Runs the cluster until a condition holds and returns the time that took; `None` if the
    /// condition does not hold within `timeout`.
    pub fn advance_until(
        &mut self,
        timeout: Span,
        done: impl Fn(&Cluster) -> bool,
    ) -> Option<Span> {
        let began = self.network.now;
        while self.network.now.since(began) < timeout {
            if done(self) {
                return Some(self.network.now.since(began));
            }
            self.advance(Span::millis(10));
        }
        None
    }

    fn arrive(&mut self, router: usize, d: Box<Dispatch>) {
        *self.executions.entry(d.body.clone()).or_default() += 1;
        self.network.schedule(WORK, Item::Answer(router, d));
    }

    fn order(&mut self, router: usize, order: Order) {
        let Some(engine) = self.engines.get_mut(&order.upstream) else {
            return;
        };
        let fenced = engine.checks_fencing && order.fence < engine.fence;
        if fenced {
            engine.refused += 1;
        } else {
            engine.fence = order.fence;
            engine.loaded.push(order.deployment.version.clone());
            engine.deployment = order.deployment;
        }
        let result = if fenced { OrderResult::Fenced } else { OrderResult::Done };
        self.handle(router, Event::Ordered(order.upstream, result));
    }

    /// Reports the deployments of all engines to all routers.
    pub fn report_deployments(&mut self) {
        for (name, engine) in self.engines.clone() {
            for router in 0..self.network.len() {
                self.handle(router, Event::Deployed(name.clone(), engine.deployment.clone()));
            }
        }
    }

    fn answer(&mut self, router: usize, d: &Dispatch) {
        self.calls += 1;
        let attempt = d.attempt;
        let broken = self.break_every > 0 && self.calls.is_multiple_of(self.break_every);
        let event = if broken {
            Event::Failed(attempt, Failure::Broken)
        } else {
            let text = d.body.clone();
            let frame = Event::Frame { attempt, echo: attempt, offset: 0, tokens: 0, text };
            let actions = self.network.handle(router, frame);
            self.perform(router, actions);
            Event::Ended { attempt, echo: attempt, status: 200 }
        };
        let actions = self.network.handle(router, event);
        self.perform(router, actions);
    }

    fn perform(&mut self, router: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch(d) => self.network.schedule(Span(500), Item::Arrive(router, d)),
                Action::Finish(id, outcome) => {
                    let previous = self.outcomes.insert((router, id), outcome);
                    assert_eq!(previous, None, "a request must end only once");
                }
                Action::Order(order) => {
                    self.orders.push((self.network.now, router, order.fence));
                    let delay = self.order_delay.get(&router).copied().unwrap_or(Span::millis(1));
                    self.network.schedule(delay, Item::Order(router, order));
                }
                Action::Exit => self.exited.push(router),
                _ => {}
            }
        }
    }

    /// Returns the idempotency key prefix of a router.
    pub fn key_prefix(&self, router: usize) -> String {
        let node = self.network.node(router).expect("the router should be running");
        let own = node.members().next().expect("a node should list itself");
        laburnumwheel_core::idempotency::prefix(&own.home(), own.epoch)
    }

    /// Submits a call that may run at most once. An empty `key` stands for none.
    pub fn submit(&mut self, router: usize, key: &str, body: &str) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
        let submission = Submission {
            key: "key-0".to_owned(),
            class: None,
            target: Target::Service {
                name: "s".to_owned(),
                method: "POST".to_owned(),
                path: "/".to_owned(),
            },
            body: Bytes::from(body.to_owned()),
            prompt_tokens: 0,
            max_tokens: 0,
            prefix: Vec::new(),
            stream: false,
            idempotent: false,
            idempotency_key: (!key.is_empty()).then(|| key.to_owned()),
        };
        let actions = self.network.handle(router, Event::Request(id, Box::new(submission)));
        self.perform(router, actions);
        id
    }

    /// Handles an event at a router and performs its actions.
    pub fn handle(&mut self, router: usize, event: Event) {
        let actions = self.network.handle(router, event);
        self.perform(router, actions);
    }

    /// Returns the outcome of a request that ended.
    pub fn outcome(&self, router: usize, id: RequestId) -> Option<&Outcome> {
        self.outcomes.get(&(router, id))
    }

    /// Returns the verdict of a request that ended without a complete answer.
    pub fn verdict(&self, router: usize, id: RequestId) -> Option<Verdict> {
        match self.outcome(router, id)? {
            Outcome::Whole { .. } => None,
            Outcome::Refused(refusal) => Some(refusal.verdict),
        }
    }

    /// Whether a request got its complete answer.
    pub fn is_whole(&self, router: usize, id: RequestId) -> bool {
        matches!(self.outcome(router, id), Some(Outcome::Whole { status: 200, .. }))
    }

    /// Returns the number of executions of a body.
    pub fn executions_of(&self, body: &str) -> u32 {
        self.executions.get(body.as_bytes()).copied().unwrap_or(0)
    }

    /// Returns the number of routers that accept callers in the view of a router.
    pub fn serving_seen_by(&self, router: usize) -> usize {
        let node = self.network.node(router).expect("the router should be running");
        node.members().filter(|r| r.accepts_callers()).count()
    }

    /// Whether the entry answers of a router may list another one.
    pub fn lists(&self, router: usize, other: usize) -> bool {
        let node = self.network.node(router).expect("the router should be running");
        node.members().any(|r| r.accepts_callers() && r.name == format!("r{other}"))
    }

    /// Returns the version of the configuration in force at a router.
    pub fn version(&self, router: usize) -> u64 {
        self.network.node(router).map_or(0, Node::config_version)
    }
}
