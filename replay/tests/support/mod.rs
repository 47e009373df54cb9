//! A few routers, a plain service that counts its runs, and callers.
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
pub const WORK: Span = Span::millis(20);

/// What happens at the service.
#[derive(Debug)]
pub enum Item {
    /// A call arrives.
    Arrive(usize, Box<Dispatch>),
    /// Its answer leaves.
    Answer(usize, Box<Dispatch>),
    /// An order arrives at an engine.
    Order(usize, Order),
}

/// What an engine was ordered.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub checks_fencing: bool,
    pub fence: i64,
    pub deployment: Deployment,
    /// Versions in the order they were loaded.
    pub loaded: Vec<String>,
    /// Orders refused for their fencing number.
    pub refused: u32,
}

/// A cluster under test.
pub struct Cluster {
    pub network: Network<Item>,
    /// How often each body ran.
    pub executions: BTreeMap<Bytes, u32>,
    /// Outcomes by router and request.
    pub outcomes: BTreeMap<(usize, RequestId), Outcome>,
    /// Routers that have exited by plan.
    pub exited: Vec<usize>,
    /// Calls whose connection breaks after they ran: every so many, 0 for none.
    pub break_every: u32,
    /// Engines by name.
    pub engines: BTreeMap<String, Engine>,
    /// Time that orders of a router are on their way.
    pub order_delay: BTreeMap<usize, Span>,
    /// Orders sent: time, router and fencing number.
    pub orders: Vec<(Time, usize, i64)>,
    calls: u32,
    next: u64,
    incarnation: u64,
    seed: u64,
}

/// A configuration with one class, one plain service of two replicas and so many organisations.
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
    config::parse(&[Source { name: "test".to_owned(), text }]).expect("a valid file")
}

/// A node of the cluster with the number `i`.
pub fn node(i: usize, incarnation: u64, seed: u64, network: &Network<Item>) -> Router {
    let settings =
        network::settings(i, if i.is_multiple_of(2) { "a" } else { "b" }, incarnation, seed);
    Router::Node(Box::new(Node::new(settings, network.now)))
}

impl Cluster {
    /// So many routers, serving, with a configuration in force.
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

    /// Starts a new run of a router that is down.
    pub fn restart(&mut self, router: usize) {
        self.incarnation += 1;
        let fresh = node(router, self.incarnation, self.seed, &self.network);
        self.network.start(router, fresh);
    }

    /// Lets time pass.
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

    /// Lets time pass until a condition holds; returns how long that took.
    pub fn advance_until(&mut self, most: Span, done: impl Fn(&Cluster) -> bool) -> Option<Span> {
        let began = self.network.now;
        while self.network.now.since(began) < most {
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

    /// All routers hear what the engines have.
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
                    let before = self.outcomes.insert((router, id), outcome);
                    assert_eq!(before, None, "a request ends once");
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

    /// The key prefix of a router.
    pub fn key_prefix(&self, router: usize) -> String {
        let node = self.network.node(router).expect("it runs");
        let own = node.members().next().expect("itself");
        laburnumwheel_core::idempotency::prefix(&own.home(), own.epoch)
    }

    /// Sends a call that may run once; the body is `body`.
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

    /// Sends an event to a router.
    pub fn handle(&mut self, router: usize, event: Event) {
        let actions = self.network.handle(router, event);
        self.perform(router, actions);
    }

    /// How a request ended.
    pub fn outcome(&self, router: usize, id: RequestId) -> Option<&Outcome> {
        self.outcomes.get(&(router, id))
    }

    /// What is known of a request that ended without a whole answer.
    pub fn verdict(&self, router: usize, id: RequestId) -> Option<Verdict> {
        match self.outcome(router, id)? {
            Outcome::Whole { .. } => None,
            Outcome::Refused(refusal) => Some(refusal.verdict),
        }
    }

    /// Whether a request got its whole answer.
    pub fn is_whole(&self, router: usize, id: RequestId) -> bool {
        matches!(self.outcome(router, id), Some(Outcome::Whole { status: 200, .. }))
    }

    /// How often a body ran.
    pub fn executions_of(&self, body: &str) -> u32 {
        self.executions.get(body.as_bytes()).copied().unwrap_or(0)
    }

    /// Routers that callers may be sent to, in this router's view.
    pub fn serving_seen_by(&self, router: usize) -> usize {
        let node = self.network.node(router).expect("it runs");
        node.members().filter(|r| r.accepts_callers()).count()
    }

    /// Whether a router's entry answers may name another.
    pub fn lists(&self, router: usize, other: usize) -> bool {
        let node = self.network.node(router).expect("it runs");
        node.members().any(|r| r.accepts_callers() && r.name == format!("r{other}"))
    }

    /// Version in force at a router.
    pub fn version(&self, router: usize) -> u64 {
        self.network.node(router).map_or(0, Node::config_version)
    }
}
