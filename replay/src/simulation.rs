//! Simulates the routers, callers, engines and services of a site in virtual time.
//!
//! All events are items in the queue of the [`Network`]. They run in the order of their times,
//! those of the same time in the order in which they were scheduled. All random choices come from
//! seeded generators, so that the same trace, faults and seed give the same results.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use laburnumwheel_core::action::Action;
use laburnumwheel_core::action::Dispatch;
use laburnumwheel_core::action::Outcome;
use laburnumwheel_core::config::Config;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::event::Load;
use laburnumwheel_core::event::RequestId;
use laburnumwheel_core::node::Node;
use laburnumwheel_core::stats::Stats;
use laburnumwheel_core::sync::LEAVING_HOSTS_KEY;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::baseline;
use crate::baseline::Baseline;
use crate::caller;
use crate::caller::Broken;
use crate::caller::Call;
use crate::caller::Tally;
use crate::error::Error;
use crate::fake::AttemptKey;
use crate::fake::Engine;
use crate::fake::Service;
use crate::network;
use crate::network::Network;
use crate::network::Router;
use crate::network::Step;
use crate::site::Site;
use crate::trace::Record;

mod bound;
mod callers;
mod faults;
mod upstreams;

/// Time before the trace begins, in which the routers discover each other.
const WARM_UP: Span = Span::secs(5);
/// Time after the trace in which the remaining requests end.
const COOL_DOWN: Span = Span::secs(90);
/// Interval between load reports.
const REPORT_INTERVAL: Span = Span::millis(500);

/// Kind of router that a simulation runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// A node of the router's core.
    Core,
    /// A baseline of this kind.
    Baseline(baseline::Kind),
}

/// Fault that is injected at a time of the trace.
///
/// Upstreams and routers are given by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The steps of an engine take longer.
    Straggler {
        /// Upstream.
        upstream: usize,
        /// Multiplier of the step's duration.
        factor: u64,
    },
    /// An upstream breaks all its connections and accepts no new ones.
    Crash {
        /// Upstream.
        upstream: usize,
    },
    /// An upstream refuses new work, finishes its running work and exits.
    Stop {
        /// Upstream.
        upstream: usize,
    },
    /// Load reports repeat the current one for this time.
    FreezeReports(Span),
    /// Existing connections between routers and an upstream go silent; new ones work.
    Silence {
        /// Upstream.
        upstream: usize,
    },
    /// A router disappears without notice.
    LoseRouter {
        /// Router.
        router: usize,
    },
    /// A planned stop of a router begins.
    StopRouter {
        /// Router.
        router: usize,
    },
    /// The key-value service is unavailable for this time.
    Outage(Span),
}

/// Scheduled item of the simulation.
///
/// Routers, upstreams, records of the trace and faults are given by their indices.
#[derive(Debug)]
pub enum Item {
    /// The caller of a record submits its request.
    Submit(usize),
    /// An attempt of a router arrives at an upstream.
    Arrive(usize, usize, Box<Dispatch>),
    /// The cancellation of an attempt arrives at an upstream.
    Cancel(usize, AttemptKey),
    /// An engine completes a step.
    Step(usize),
    /// A service completes the call of an attempt and a record.
    Complete(usize, AttemptKey, usize),
    /// Part of an answer arrives at its caller.
    Deliver(usize, RequestId, Bytes),
    /// The outcome of a request arrives at its caller.
    Finish(usize, RequestId, Outcome),
    /// The patience of a record's caller ends.
    TimeOut(usize),
    /// The upstreams report their loads.
    Report,
    /// A fault is injected.
    Fault(usize),
    /// The platform's host list marks an upstream as leaving.
    ListLeaving(usize),
    /// An outage of the key-value service ends.
    EndOutage,
}

#[derive(Debug)]
enum Upstream {
    Engine(Engine),
    Service(Service),
}

/// Entry answer that a caller keeps for its time to live.
#[derive(Debug)]
struct CachedAnswer {
    /// Routers in order of preference, each with its idempotency key prefix.
    addresses: Vec<(usize, String)>,
    expires_at: Time,
}

/// Results of a simulation.
#[derive(Clone, Debug)]
pub struct Results {
    /// Tally of each class, in the order of the site's classes.
    pub tallies: Vec<Tally>,
    /// Numbers of violated guarantees.
    pub broken: Broken,
    /// Tokens that the engines generated.
    pub generated: u64,
    /// Tokens in complete answers.
    pub goodput: u64,
    /// Upper bound on the tokens that engines can generate for the trace.
    pub max_goodput: u64,
    /// Counters of each running router; empty for baselines.
    pub stats: Vec<Stats>,
    /// Reads and writes at the key-value service.
    pub kv_calls: (u64, u64),
    /// Bytes that each router sent to other routers per second, on average.
    pub peer_bytes_per_second: f64,
}

impl Results {
    /// Share of the generated tokens that were in no complete answer, in percent.
    pub fn wasted_percent(&self) -> f64 {
        let wasted = self.generated.saturating_sub(self.goodput);
        100.0 * wasted as f64 / self.generated.max(1) as f64
    }

    /// Goodput relative to its upper bound, in percent.
    pub fn goodput_percent(&self) -> f64 {
        100.0 * self.goodput as f64 / self.max_goodput.max(1) as f64
    }
}

/// Simulation in progress.
pub struct Simulation<'a> {
    site: &'a Site,
    trace: &'a [Record],
    policy: Policy,
    network: Network<Item>,
    trace_start: Time,
    upstreams: Vec<Upstream>,
    /// Index of the failure domain of each upstream.
    upstream_domains: Vec<usize>,
    upstreams_by_address: BTreeMap<String, usize>,
    upstream_names: Vec<String>,
    /// Last call of each record.
    calls: Vec<Option<Call>>,
    /// Record of each request, by router and request id.
    records_by_request: BTreeMap<(usize, RequestId), usize>,
    next_request: u64,
    /// Number of executions of each record.
    executions: BTreeMap<usize, u64>,
    /// Cached entry answers by organisation and caller.
    entry_answers: BTreeMap<(usize, usize), CachedAnswer>,
    faults: Vec<Fault>,
    /// Attempts whose connections are silent.
    silent_attempts: BTreeSet<AttemptKey>,
    /// Upstream of each open attempt.
    open_attempts: BTreeMap<AttemptKey, usize>,
    /// Loads that are reported until a time.
    frozen_reports: Option<(Time, Vec<Load>)>,
    /// Sequence number of the last cache event of each upstream.
    cache_sequence: Vec<u64>,
    broken: Broken,
    rng: StdRng,
}

/// Runs a trace with faults at their times in milliseconds of the trace, and returns the results.
///
/// # Errors
///
/// [`Error::Config`] if the site's configuration is invalid.
pub fn run(
    site: &Site,
    trace: &[Record],
    policy: Policy,
    faults: &[(u64, Fault)],
    seed: u64,
) -> Result<Results, Error> {
    let config = site.config()?;
    let mut simulation = Simulation::new(site, trace, policy, &config, seed);
    simulation.schedule(faults);
    let length = trace.last().map_or(0, |r| r.at_ms);
    let end = simulation.trace_start + Span::millis(length) + COOL_DOWN;
    while let Some(step) = simulation.network.next(end) {
        match step {
            Step::Scheduled(item) => simulation.process(item),
            Step::Actions(router, actions) => simulation.perform(router, actions),
        }
    }
    Ok(simulation.results(length))
}

impl<'a> Simulation<'a> {
    fn new(
        site: &'a Site,
        trace: &'a [Record],
        policy: Policy,
        config: &Config,
        seed: u64,
    ) -> Simulation<'a> {
        let mut network = Network::new(Span(site.between_domains_us));
        network.store.publish(1, config);
        for i in 0..site.routers {
            let settings = network::settings(i, site.domain(i), 1, seed);
            let router = match policy {
                Policy::Core => Router::Node(Box::new(Node::new(settings, network.now))),
                Policy::Baseline(kind) => Router::Baseline(Baseline::new(kind, config, i)),
            };
            network.add(router, i % site.domains.len());
        }
        let mut upstreams = Vec::new();
        let mut domains = Vec::new();
        let mut names = Vec::new();
        for group in &site.group {
            for i in 0..group.replicas {
                upstreams.push(match group.model {
                    Some(_) => Upstream::Engine(Engine::new(group.slots, Span(site.step_us))),
                    None => Upstream::Service(Service::new(group.slots, Span(site.work_us))),
                });
                domains.push(i % site.domains.len());
                names.push(format!("{}-{i}", group.name));
            }
        }
        let by_name = |name: &String| names.iter().position(|n| n == name);
        let upstreams_by_address = config.upstreams.iter();
        let upstreams_by_address =
            upstreams_by_address.filter_map(|u| Some((u.address.clone(), by_name(&u.name)?)));
        let upstreams_by_address = upstreams_by_address.collect();
        let trace_start = network.now + WARM_UP;
        Simulation {
            site,
            trace,
            policy,
            network,
            trace_start,
            cache_sequence: vec![0; upstreams.len()],
            upstreams,
            upstream_domains: domains,
            upstreams_by_address,
            upstream_names: names,
            calls: vec![None; trace.len()],
            records_by_request: BTreeMap::new(),
            next_request: 1,
            executions: BTreeMap::new(),
            entry_answers: BTreeMap::new(),
            faults: Vec::new(),
            silent_attempts: BTreeSet::new(),
            open_attempts: BTreeMap::new(),
            frozen_reports: None,
            broken: Broken::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn schedule(&mut self, faults: &[(u64, Fault)]) {
        for (i, record) in self.trace.iter().enumerate() {
            self.network.schedule(WARM_UP + Span::millis(record.at_ms), Item::Submit(i));
        }
        for (at_ms, fault) in faults {
            let number = self.faults.len();
            self.faults.push(*fault);
            self.network.schedule(WARM_UP + Span::millis(*at_ms), Item::Fault(number));
        }
        self.network.schedule(REPORT_INTERVAL, Item::Report);
    }

    fn process(&mut self, item: Item) {
        match item {
            Item::Submit(record) => self.submit(record),
            Item::Arrive(router, upstream, dispatch) => self.arrive(router, upstream, *dispatch),
            Item::Cancel(upstream, id) => self.cancel_attempt(upstream, id),
            Item::Step(upstream) => self.step(upstream),
            Item::Complete(upstream, id, record) => self.complete(upstream, id, record),
            Item::Deliver(router, request, text) => self.receive_tokens(router, request, &text),
            Item::Finish(router, request, outcome) => self.receive_end(router, request, &outcome),
            Item::TimeOut(record) => self.time_out(record),
            Item::Report => self.report(),
            Item::Fault(number) => self.inject(self.faults[number]),
            Item::ListLeaving(upstream) => {
                let list =
                    serde_json::to_vec(&[&self.upstream_names[upstream]]).unwrap_or_default();
                self.network.store.put(LEAVING_HOSTS_KEY, Bytes::from(list));
            }
            Item::EndOutage => self.network.store.mode = network::Mode::Up,
        }
    }

    fn handle(&mut self, router: usize, event: Event) {
        let actions = self.network.handle(router, event);
        self.perform(router, actions);
    }

    fn perform(&mut self, router: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch(dispatch) => {
                    let Some(upstream) = self.upstreams_by_address.get(&dispatch.address).copied()
                    else {
                        continue;
                    };
                    let id = (router, dispatch.attempt);
                    self.open_attempts.insert(id, upstream);
                    let delay = self.delay(router, upstream);
                    self.network.schedule(delay, Item::Arrive(router, upstream, dispatch));
                }
                Action::Cancel(attempt) => {
                    let id = (router, attempt);
                    if let Some(upstream) = self.open_attempts.remove(&id)
                        && !self.silent_attempts.contains(&id)
                    {
                        let delay = self.delay(router, upstream);
                        self.network.schedule(delay, Item::Cancel(upstream, id));
                    }
                }
                Action::Deliver { request, text, .. } => {
                    let delay = Span(self.site.to_callers_us);
                    self.network.schedule(delay, Item::Deliver(router, request, text));
                }
                Action::Finish(request, outcome) => {
                    let delay = Span(self.site.to_callers_us);
                    self.network.schedule(delay, Item::Finish(router, request, outcome));
                }
                Action::Exit => self.break_connections(router),
                _ => {}
            }
        }
    }

    fn delay(&self, router: usize, upstream: usize) -> Span {
        let same = router % self.site.domains.len() == self.upstream_domains[upstream];
        if same { Span(100) } else { Span(self.site.between_domains_us) }
    }

    fn results(self, length_ms: u64) -> Results {
        let trace_start = self.trace_start;
        let mut broken = self.broken;
        let tallies = caller::tally(self.site, self.trace, &self.calls, trace_start, &mut broken);
        let generated = self.upstreams.iter().map(|u| match u {
            Upstream::Engine(e) => e.generated,
            Upstream::Service(_) => 0,
        });
        let nodes = (0..self.network.len()).filter_map(|i| self.network.node(i));
        let seconds = (Span::millis(length_ms) + COOL_DOWN + WARM_UP).as_secs_f64();
        Results {
            goodput: tallies.iter().map(|t| t.tokens).sum(),
            tallies,
            broken,
            generated: generated.sum(),
            max_goodput: bound::max_goodput(self.site, self.trace),
            stats: nodes.map(|n| n.stats().clone()).collect(),
            kv_calls: (self.network.store.reads, self.network.store.writes),
            peer_bytes_per_second: self.network.traffic.0 as f64
                / seconds
                / self.network.len().max(1) as f64,
        }
    }
}
