//! State of one gateway: admits calls, chooses their replicas and records the outcomes.
//!
//! The caller of this module passes in the time, heads of calls, replies of replicas, reads of the
//! store and heartbeats of peers. A call holds a [`Grant`] from its admission to its end. A grant
//! is checked again before each attempt, because the configuration may have changed since.

mod admission;
mod attempts;
mod brittle;
mod cache;
mod cooldowns;
mod copy;
mod departures;
mod limits;
mod moves;
mod origins;
mod owner;
mod pace;
mod parts;
mod pick;
mod plans;
mod poison;
mod reach;
mod reads;
mod stop;

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use self::cache::Target as CacheTarget;
use self::copy::Copies;
pub use self::copy::Plan as CopyPlan;
pub use self::moves::Plan as MovePlan;
pub use self::pace::Published;
pub use self::parts::Crashes;
use self::poison::Crash;
use self::stop::Stop;
use super::admission::service;
use super::admission::table;
use super::admission::ticket;
use super::budget;
use super::budget::Budget;
use super::config::Config;
use super::config::Engine;
use super::config::Route;
use super::contact::Contact;
use super::directory;
use super::directory::Directory;
use super::directory::Entry;
use super::directory::Heartbeat;
use super::directory::Readers;
use super::engine::Popularity;
use super::fingerprint::Fingerprint;
use super::fleet::Claim;
use super::fleet::Fleet;
use super::fleet::Replica;
use super::freshness::Freshness;
use super::gossip;
use super::gossip::Demand;
use super::inversion;
use super::limit::Kind;
use super::limit::issuer::Issuer;
use super::model::Model;
use super::occupancy::Occupancy;
use super::origin;
use super::origin::Origin;
use super::outage::Outage;
use super::plan::Comparison;
use super::plan::Planner;
use super::plan::Table;
use super::prefill;
use super::pulse::Pulse;
use super::quarantine;
use super::quarantine::Quarantine;
use super::quarantine::feature;
use super::quarantine::feature::Feature;
use super::quarantine::part::Parts;
use super::quarantine::survival::Survivals;
use super::quarantine::unframed::Unframed;
use super::reach::Reach;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::rollback::Rollback;
use super::submission::Submission;
use super::tally::Tally;
use crate::arena::Key;
use crate::rendezvous;
use crate::time::Span;
use crate::time::Time;

/// Upper bound on the idle connections to one replica, also if it accepts many.
const MAX_IDLE_CONNECTIONS: usize = 6;
/// Time after which a caller retries at another gateway, which can serve it at once.
const RETRY_ELSEWHERE: Span = Span::millis(50);

/// Settings of a gateway, fixed from its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Entry of this gateway in the directory.
    pub entry: Entry,
    /// Age from which a proof of the configuration is too old for keys to be accepted; `None` if
    /// there is no limit.
    pub max_proof_age: Option<Span>,
    /// Rules of the retry budget that all gateways share.
    pub budget: budget::Rules,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Whether calls wait for places at replicas that are short of them.
    pub queues_calls: bool,
    /// Whether calls wait for places at plain services with few replicas, which have one owner.
    pub queues_services: bool,
}

/// State of an admitted call, from its admission to its end.
#[derive(Clone, Debug)]
pub struct Grant {
    /// Route that the call matched.
    pub route: Arc<Route>,
    /// Name of the organisation that holds the key; `None` on a public route.
    pub organisation: Option<String>,
    /// Rank of the call.
    pub rank: Rank,
    /// Name of the service that the call goes to.
    pub service: String,
    /// Fingerprint of the request; `None` until the body was read.
    pub fingerprint: Option<Fingerprint>,
    /// Parts of the prompt that crashes may be charged to.
    pub parts: Vec<Feature>,
    /// Time when the call's head was read.
    pub arrived: Time,
    /// Time when the caller's patience or the route's timeout ends.
    pub deadline: Time,
    /// Replicas that were sent an attempt or could not be reached.
    pub tried: Vec<Key<Replica>>,
    /// Permits that the current attempt was denied, for replicas with a limit.
    pub denials: usize,
    /// Number of attempts that may have run.
    pub attempts: u32,
    /// What began the stream that the call goes on with; `None` before its first event.
    pub origin: Option<Origin>,
    /// Time at which the stream that the call goes on with had broken off.
    pub resumed_at: Time,
    /// Latest time at which the connection to the replica that began the stream can have been opened.
    pub origin_opened: Time,
    /// The last replica that was chosen, also if the call was then refused for overload.
    pub last_pick: Option<Pick>,
    /// Another gateway delegated the call to this one.
    pub is_delegated: bool,
    version: u64,
}

/// Rank of a call; the least is served first. The route's rank is compared before the
/// organisation's: in the opposite order, engines would preempt the urgent calls of one
/// organisation for the long prompts of another one with a higher rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Rank of the route; 0 is the highest.
    pub route: u8,
    /// Rank of the organisation; 0 is the highest.
    pub organisation: u8,
}

/// The replica that was chosen for an attempt.
#[derive(Clone, Debug)]
pub struct Pick {
    /// Claim on the replica.
    pub claim: Claim,
    /// Identity of the replica.
    pub id: String,
    /// Address of the replica.
    pub address: String,
    /// Version of the replica's software, if its entry states it.
    pub build: Option<String>,
    /// Whether the replica is a model engine.
    pub engine: bool,
    /// Kind of permit to ask for if the replica has a limit.
    pub permit: Kind,
    /// Address of the engine from which this one is to fetch what it lacks of the prompt.
    pub fetch_from: Option<String>,
}

/// State of one gateway, without sockets and timers.
#[derive(Debug)]
pub struct Gateway {
    settings: Settings,
    started_at: Time,
    rng: SmallRng,
    config: Option<Arc<Config>>,
    freshness: Freshness,
    contact: Contact,
    fleet: Fleet,
    directory: Directory,
    budgets: BTreeMap<String, Budget>,
    models: BTreeMap<String, Model>,
    plans: Table,
    planner: Planner,
    inversions: inversion::Table,
    /// Streams that ended since they were last taken, by service and rank.
    results: BTreeMap<(u32, u8), inversion::Results>,
    tallies: BTreeMap<u32, Tally>,
    popularity: Popularity,
    quarantine: Quarantine,
    parts: Parts,
    survivals: Survivals,
    unframed: Unframed,
    /// Runs of requests that this gateway gave up, with the times of that as their ends.
    abandoned: Unframed,
    pulse: Pulse,
    own_crashes: Vec<Crash>,
    /// Classes that this gateway published as the owner of their engines, until they are taken.
    published: Vec<Published>,
    reach: Reach,
    ring_updated: Time,
    occupancy: Occupancy,
    caches: super::cache::Directory,
    cache_owners: super::cache::Owners,
    queues: table::Table,
    service_queues: service::Table,
    tickets: ticket::Table,
    issuer: Issuer,
    origins: origin::Table,
    /// Stored builds of services for as long as streams last, and the time of the read.
    stored_builds: (Time, origin::Builds),
    copies: Copies,
    /// Time of the last replication of origins to gateways that had started.
    streams_replicated: Time,
    last_sweep: Time,
    outage: Outage,
    rollback: Rollback,
    /// Newest version of the configuration in the heartbeats received shortly after the start.
    newest_peer_version: u64,
    stop: Option<Stop>,
}

impl Gateway {
    /// A gateway that has just started.
    pub fn new(settings: Settings, now: Time) -> Gateway {
        Gateway {
            started_at: now,
            rng: SmallRng::seed_from_u64(settings.seed),
            config: None,
            freshness: Freshness::new(settings.max_proof_age),
            contact: Contact::default(),
            fleet: Fleet::default(),
            directory: Directory::default(),
            budgets: BTreeMap::new(),
            models: BTreeMap::new(),
            plans: Table::default(),
            planner: Planner::default(),
            inversions: inversion::Table::default(),
            results: BTreeMap::new(),
            tallies: BTreeMap::new(),
            popularity: Popularity::default(),
            quarantine: Quarantine::default(),
            parts: Parts::default(),
            survivals: Survivals::default(),
            unframed: Unframed::default(),
            abandoned: Unframed::default(),
            pulse: Pulse::default(),
            own_crashes: Vec::new(),
            published: Vec::new(),
            reach: Reach::default(),
            ring_updated: now,
            occupancy: Occupancy::default(),
            caches: super::cache::Directory::default(),
            cache_owners: super::cache::Owners::default(),
            queues: table::Table::default(),
            service_queues: service::Table::default(),
            tickets: ticket::Table::default(),
            issuer: Issuer::default(),
            origins: origin::Table::default(),
            stored_builds: (Time(0), origin::Builds::new()),
            copies: Copies::default(),
            streams_replicated: now,
            last_sweep: now,
            outage: Outage::default(),
            rollback: Rollback::default(),
            newest_peer_version: 0,
            stop: None,
            settings,
        }
    }

    /// Name of this gateway.
    pub fn name(&self) -> &str {
        &self.settings.entry.name
    }

    /// Failure domain of this gateway.
    pub fn domain(&self) -> &str {
        &self.settings.entry.domain
    }

    /// The gateways that read the store for all.
    pub fn readers(&self, now: Time) -> Readers {
        self.directory.readers(now, &self.settings.entry)
    }

    /// Rank of this gateway in the order of the readers, among all live gateways; 0 is the first.
    pub fn reader_rank(&self, now: Time) -> usize {
        self.directory.reader_rank(now, &self.settings.entry)
    }

    /// Estimated calls of all gateways at the replicas of a service, running or waiting.
    pub fn calls_at(&self, now: Time, service: &str) -> f64 {
        self.fleet.calls(now, service)
    }

    /// Number of a service's replicas that may get calls, including those that are retained
    /// although their entries are missing.
    pub fn registered(&self, service: &str) -> usize {
        self.fleet.iter().filter(|r| r.is_open() && r.listing.service == service).count()
    }

    /// Batch size of a service's engines, in requests; `None` for a plain service.
    pub fn slots(&self, service: &str) -> Option<u32> {
        Some(self.config.as_ref()?.service(service)?.engine?.slots)
    }

    /// Most idle connections that this gateway keeps to a replica: half of its share of those that
    /// the replica accepts from all gateways together, and none if it leaves.
    pub fn max_idle_connections(&self, key: Key<Replica>) -> usize {
        let replica = self.fleet.get(key).filter(|replica| replica.is_open());
        let Some(replica) = replica else {
            return 0;
        };
        let service = self.config.as_ref().and_then(|c| c.service(&replica.listing.service));
        match service.map_or(0, |service| service.connections as usize) {
            0 => MAX_IDLE_CONNECTIONS,
            all => all.div_ceil(2 * self.gateway_count()).min(MAX_IDLE_CONNECTIONS),
        }
    }

    /// Directory of the other gateways.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Merges a peer's heartbeat that was received at `now`. Returns how each of its plans compares
    /// to the known one, with the age of the plan.
    pub fn receive(&mut self, now: Time, heartbeat: &Heartbeat) -> Vec<(Comparison, Span)> {
        if heartbeat.entry.name == self.settings.entry.name {
            return Vec::new();
        }
        self.receive_version(now, heartbeat.version);
        self.directory.receive(now, heartbeat);
        self.fleet.receive(now, &heartbeat.loads);
        self.merge_quarantine(now, &heartbeat.quarantine);
        self.receive_prefill(&heartbeat.prefill);
        self.receive_plans(now, &heartbeat.plans)
    }

    /// The heartbeat to send at `now`.
    pub fn heartbeat(&self, now: Time) -> Heartbeat {
        let own = self.demand(now);
        let collects = self.is_in_large_fleet() && self.readers(now).is_own;
        let limit = if collects { gossip::MAX_COLLECTED } else { gossip::MAX_ENTRIES };
        let mut demands = self.directory.gossip(now, limit);
        demands.retain(|d| d.gateway != own.gateway);
        demands.insert(0, own);
        Heartbeat {
            entry: self.settings.entry.clone(),
            demands,
            loads: self.fleet.gossip(now),
            prefill: self.gossip_prefill(),
            plans: self.plans.gossip(now),
            quarantine: self.quarantine.gossip(now),
            version: self.version(),
            proof_age: self.freshness.age(now).map(|s| s.0),
        }
    }

    /// Demand of this gateway.
    pub(super) fn demand(&self, now: Time) -> Demand {
        Demand {
            gateway: self.short_hash(),
            open: self.takes_callers(now),
            sensitive: self.fleet.sensitive_streams().min(u32::from(u16::MAX)) as u16,
            age_ms: 0,
        }
    }

    /// Merges the demand of another gateway.
    pub(super) fn receive_demand(&mut self, now: Time, demand: Demand) {
        self.directory.receive_demand(now, demand);
    }

    /// Records that a reader reports a listed gateway as live.
    pub(super) fn record_live(&mut self, now: Time, name: &str, open: bool) {
        self.directory.record_live(now, name, open);
    }

    pub(super) fn quarantine_gossip(&self, now: Time) -> Vec<quarantine::Record> {
        self.quarantine.gossip(now)
    }

    /// Merges what another gateway gossips of crashing requests. The ages in a message that waited here
    /// are too low: a crash would seem later than the answer that cleared it.
    pub(super) fn merge_quarantine(&mut self, now: Time, records: &[quarantine::Record]) {
        if !self.pulse.is_behind(now) {
            self.merge_requests(now, records);
        }
    }

    /// Records that this process runs; to be called every
    /// [`TICK_INTERVAL`](super::pulse::TICK_INTERVAL).
    pub fn record_tick(&mut self, now: Time) {
        self.pulse.record(now);
    }

    /// Addresses to send heartbeats to.
    pub fn peer_addresses(&self) -> Vec<String> {
        self.directory.peer_addresses().map(str::to_owned).collect()
    }

    /// Whether this gateway serves callers: it has a current configuration and does not stop.
    pub fn is_open(&self, now: Time) -> bool {
        self.stop.is_none() && self.config.is_some() && self.is_current(now)
    }

    /// Addresses of gateways for a caller in the failure domain `domain`.
    pub fn addresses_for(&mut self, now: Time, domain: &str) -> Vec<String> {
        let own = self.takes_callers(now).then_some(&self.settings.entry);
        let addresses = self.directory.select_addresses(now, own, domain, &mut self.rng);
        // If no gateway reaches replicas, a caller learns more from this one than from none.
        match addresses.is_empty() && self.is_open(now) {
            true => vec![self.settings.entry.address.clone()],
            false => addresses,
        }
    }

    /// Version of the configuration in force; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.version)
    }

    /// Configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Time when the newest read that proves the configuration current was sent.
    pub fn proved_at(&self) -> Option<Time> {
        self.freshness.proved_at()
    }

    /// Age of the newest proof that the configuration is current.
    pub fn proof_age(&self, now: Time) -> Option<Span> {
        self.freshness.age(now)
    }

    /// Replicas of all services, as this gateway sees them.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Number of live peers.
    pub fn live_peers(&self, now: Time) -> usize {
        self.directory.live_peers(now)
    }

    /// Number of gateways that share the retry budget, including this one.
    pub fn gateway_count(&self) -> usize {
        self.directory.gateway_count()
    }

    /// Admits a call whose head was read at `now`.
    ///
    /// # Errors
    ///
    /// The refusal to answer the caller with.
    pub fn admit(&mut self, now: Time, submission: &Submission) -> Result<Grant, Refusal> {
        self.withdraw_unheard_crashes(now);
        let grant = self.resolve(now, now, submission)?;
        self.may_begin(now, &grant)?;
        self.budget(&grant.service).record_call(now);
        Ok(grant)
    }

    /// This gateway's part of a service's retry budget.
    fn budget(&mut self, service: &str) -> &mut Budget {
        let (rules, started_at) = (self.settings.budget, self.started_at);
        let budget = self.budgets.entry(service.to_owned());
        budget.or_insert_with(|| Budget::new(rules, started_at))
    }

    fn resolve(&self, now: Time, arrived: Time, submission: &Submission) -> Result<Grant, Refusal> {
        let Some(config) = &self.config else {
            return Err(Refusal::not_run(Reason::NoConfiguration, RETRY_ELSEWHERE));
        };
        let Some(route) = config.route(&submission.host, &submission.path) else {
            // A stale configuration may lack a newer route, and callers do not retry after a 404.
            let refusal = if self.is_current(now) {
                Refusal::not_run(Reason::NoRoute, Span(0))
            } else {
                Refusal::not_run(Reason::StaleConfiguration, RETRY_ELSEWHERE)
            };
            return Err(refusal);
        };
        let mut organisation = None;
        let mut rank = Rank { organisation: 0, route: route.priority };
        if !route.public {
            if !self.is_current(now) {
                return Err(Refusal::not_run(Reason::StaleConfiguration, RETRY_ELSEWHERE));
            }
            let found = submission.key.as_ref().and_then(|key| config.organisation(key));
            let found = found.ok_or(Refusal::not_run(Reason::UnknownKey, Span(0)))?;
            rank.organisation = found.priority.unwrap_or(0);
            organisation = Some(found.name.clone());
        }
        let patience = submission.patience.unwrap_or(route.timeout).min(route.timeout);
        let service = choose_service(route, &submission.id);
        Ok(Grant {
            organisation,
            rank,
            parts: feature::chargeable(&service, &submission.parts),
            service,
            fingerprint: None,
            arrived,
            deadline: arrived + patience,
            tried: Vec::new(),
            denials: 0,
            attempts: 0,
            origin: None,
            resumed_at: arrived,
            origin_opened: Time(0),
            last_pick: None,
            version: config.version,
            is_delegated: false,
            route: Arc::clone(route),
        })
    }

    fn engine(&self, grant: &Grant) -> Option<Engine> {
        let config = self.config.as_ref()?;
        config.service(&grant.service)?.engine
    }

    /// Checks that a call is still allowed, right before an attempt is sent. A grant of an older
    /// configuration is resolved again, unless a peer delegated the call by that version.
    ///
    /// # Errors
    ///
    /// The refusal to answer the caller with. Its `not_run` concerns this attempt only, not earlier
    /// ones.
    pub fn recheck(
        &self,
        now: Time,
        submission: &Submission,
        grant: &mut Grant,
    ) -> Result<(), Refusal> {
        if !grant.route.public && !self.is_current(now) {
            return Err(Refusal::not_run(Reason::StaleConfiguration, RETRY_ELSEWHERE));
        }
        self.check_quarantine(now, grant)?;
        if grant.version == self.version() {
            return Ok(());
        }
        if grant.is_delegated {
            return Err(Refusal::not_run(Reason::StaleConfiguration, RETRY_ELSEWHERE));
        }
        let mut renewed = self.resolve(now, grant.arrived, submission)?;
        renewed.fingerprint = grant.fingerprint;
        renewed.tried = std::mem::take(&mut grant.tried);
        renewed.denials = grant.denials;
        renewed.attempts = grant.attempts;
        renewed.origin = grant.origin;
        renewed.resumed_at = grant.resumed_at;
        renewed.origin_opened = grant.origin_opened;
        *grant = renewed;
        Ok(())
    }

    /// Whether a call that was chosen for a replica may still be sent there.
    pub fn may_send(&self, now: Time, grant: &Grant, key: Key<Replica>) -> bool {
        self.fleet.may_send(now, key, grant.rank.route)
    }

    /// Whether a call that was sent to a replica may be sent to another one, and one is usable that
    /// has no limit: for the others the call might get no permit, after it was given up here.
    pub fn may_reroute(&self, now: Time, submission: &Submission, grant: &Grant) -> bool {
        let mut renewed = grant.clone();
        let allowed = self.recheck(now, submission, &mut renewed).is_ok();
        allowed && self.fleet.has_unlimited(now, &renewed.service, grant.origin, &grant.tried)
    }

    /// Spends one retry of the service's budget; `false` if none is left.
    pub fn spend_retry(&mut self, now: Time, service: &str) -> bool {
        let gateways = self.directory.gateway_count();
        self.budgets.get_mut(service).is_some_and(|b| b.spend_retry(now, gateways))
    }

    /// Time until the replica of `claim` counts as silent; zero if it already does.
    pub fn time_until_silent(&self, now: Time, claim: &Claim) -> Span {
        self.fleet.time_until_silent(now, claim.replica)
    }

    fn gossip_prefill(&self) -> Vec<prefill::Estimate> {
        let models = self.models.iter();
        models
            .filter_map(|(service, model)| model.prefill.gossip(directory::short_hash(service)))
            .collect()
    }

    fn receive_prefill(&mut self, estimates: &[prefill::Estimate]) {
        for (service, model) in &mut self.models {
            let short = directory::short_hash(service);
            estimates.iter().filter(|e| e.service == short).for_each(|e| model.prefill.receive(e));
        }
    }
}

/// The model of a service, created if there is none yet.
fn model<'a>(models: &'a mut BTreeMap<String, Model>, service: &str) -> &'a mut Model {
    models.entry(service.to_owned()).or_default()
}

/// Chooses a service by the weights of the route's targets and the hash of the call's id, so that a
/// call that is resolved again gets the same service.
fn choose_service(route: &Route, id: &[u8]) -> String {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let Some(first) = route.targets.first() else {
        return String::new();
    };
    if route.targets.len() == 1 || total == 0 {
        return first.service.clone();
    }
    let mut point = rendezvous::hash(&[id]) % total;
    for t in &route.targets {
        if point < u64::from(t.weight) {
            return t.service.clone();
        }
        point -= u64::from(t.weight);
    }
    first.service.clone()
}
