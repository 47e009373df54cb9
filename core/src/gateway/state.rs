//! One gateway: from a call's head to a replica, and everything it believes.

mod attempts;
mod owner;
mod plans;
mod poison;
mod reads;
mod stop;

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::stop::Stop;
use super::budget;
use super::budget::Budget;
use super::config::Config;
use super::config::Engine;
use super::config::Route;
use super::directory;
use super::directory::Directory;
use super::directory::Entry;
use super::directory::Heartbeat;
use super::engine::Popularity;
use super::fingerprint::Fingerprint;
use super::fleet::Claim;
use super::fleet::Criteria;
use super::fleet::Fleet;
use super::fleet::Replica;
use super::fleet::Requirements;
use super::freshness::Freshness;
use super::gossip::Demand;
use super::model::Model;
use super::occupancy::Occupancy;
use super::occupancy::Snapshot;
use super::outage::Outage;
use super::plan::Comparison;
use super::plan::Planner;
use super::plan::Table;
use super::prefill;
use super::quarantine::Quarantine;
use super::refusal::Reason;
use super::refusal::Refusal;
use super::rollback::Rollback;
use super::submission::Submission;
use super::tally::Tally;
use crate::arena::Key;
use crate::rendezvous;
use crate::time::Span;
use crate::time::Time;

/// Time to come back for a caller that another gateway can serve at once.
const ELSEWHERE: Span = Span::millis(50);
/// Callers who are refused for load come back after some time in this range.
const RETURN_FROM: Span = Span::millis(400);
const RETURN_TO: Span = Span::millis(1_500);
/// Expected waits are spread by a random factor in this range, so that gateways which see the same
/// old report do not all refuse, and then all send, at once.
const DITHER_FROM: f64 = 0.3;
const DITHER_TO: f64 = 1.7;
/// Objectives, or part of the timeout, that a call may be expected to wait for its first event. Of
/// reports that are expected at 0.5 to 0.6 of theirs, 15 to 22 in 100 come late; at 0.6 to 0.7, 21
/// to 32, and those behind them with them.
const OBJECTIVES: f64 = 0.6;
const OBJECTIVES_URGENT: f64 = 2.0;
const TIMEOUT_PART: f64 = 0.06;
/// Time to come back when the replicas are busy.
const BUSY: Span = Span::millis(300);

/// What a gateway learns at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its entry in the directory.
    pub entry: Entry,
    /// Longest age of the proof that lets keys be honoured.
    pub max_proof_age: Option<Span>,
    /// Retry budget of all gateways together.
    pub budget: budget::Rules,
    /// Seed of random choices.
    pub seed: u64,
}

/// A call that was admitted, until it ends.
#[derive(Clone, Debug)]
pub struct Grant {
    /// The route's rules.
    pub route: Arc<Route>,
    /// Organisation by name.
    pub organisation: Option<String>,
    /// How urgent it is.
    pub rank: Rank,
    /// Service that the call goes to.
    pub service: String,
    /// What it asks for; set once its body was read.
    pub fingerprint: Option<Fingerprint>,
    /// When its head was read.
    pub arrived: Time,
    /// When its caller, or its route, stops waiting.
    pub deadline: Time,
    /// Replicas that had it, or could not be reached.
    pub tried: Vec<Key<Replica>>,
    /// Attempts that may have run.
    pub attempts: u32,
    /// The replica that was chosen last, and what decided it; also if that led to a refusal.
    pub last_pick: Option<Pick>,
    version: u64,
}

/// How urgent a call is; the least comes first. Within a route's rank the organisation's counts:
/// the other way round, engines stop catalogue drafts for the reports of a larger customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Rank of the route; 0 is the highest.
    pub route: u8,
    /// Rank of the organisation; 0 is the highest.
    pub organisation: u8,
}

/// A replica for an attempt.
#[derive(Clone, Debug)]
pub struct Pick {
    /// Claim on the replica.
    pub claim: Claim,
    /// Identity of the replica.
    pub id: String,
    /// Address of the replica.
    pub address: String,
    /// It is a model engine.
    pub engine: bool,
}

/// One gateway without its sockets and timers.
#[derive(Debug)]
pub struct Gateway {
    settings: Settings,
    began: Time,
    rng: SmallRng,
    config: Option<Arc<Config>>,
    freshness: Freshness,
    fleet: Fleet,
    directory: Directory,
    budgets: BTreeMap<String, Budget>,
    models: BTreeMap<String, Model>,
    plans: Table,
    planner: Planner,
    tallies: BTreeMap<u32, Tally>,
    popularity: Popularity,
    quarantine: Quarantine,
    occupancy: Occupancy,
    tidied: Time,
    outage: Outage,
    rollback: Rollback,
    /// Newest version in peers' heartbeats of this gateway's first seconds.
    told_version: u64,
    stop: Option<Stop>,
}

impl Gateway {
    /// A gateway that has just started.
    pub fn new(settings: Settings, now: Time) -> Gateway {
        Gateway {
            began: now,
            rng: SmallRng::seed_from_u64(settings.seed),
            config: None,
            freshness: Freshness::new(settings.max_proof_age),
            fleet: Fleet::default(),
            directory: Directory::default(),
            budgets: BTreeMap::new(),
            models: BTreeMap::new(),
            plans: Table::default(),
            planner: Planner::default(),
            tallies: BTreeMap::new(),
            popularity: Popularity::default(),
            quarantine: Quarantine::default(),
            occupancy: Occupancy::default(),
            tidied: now,
            outage: Outage::default(),
            rollback: Rollback::default(),
            told_version: 0,
            stop: None,
            settings,
        }
    }

    /// Name of this gateway.
    pub fn name(&self) -> &str {
        &self.settings.entry.name
    }

    /// Gateways that read the store for all, and whether this one does.
    pub fn readers(&self, now: Time) -> (Vec<String>, bool) {
        self.directory.readers(now, &self.settings.entry)
    }

    /// Place of this gateway in the order of the readers among all that live; 0 is the first.
    pub fn reader_rank(&self, now: Time) -> usize {
        self.directory.reader_rank(now, &self.settings.entry)
    }

    /// Calls of all gateways at the replicas of a service, running or waiting, as far as known.
    pub fn calls_at(&self, now: Time, service: &str) -> f64 {
        self.fleet.calls(now, service)
    }

    /// Replicas of a service that are registered, or used although their entries are missing.
    pub fn registered(&self, service: &str) -> usize {
        self.fleet.iter().filter(|r| !r.closed && r.listing.service == service).count()
    }

    /// Requests in one batch of a service's engines; `None` if its replicas are not engines.
    pub fn slots(&self, service: &str) -> Option<u32> {
        Some(self.config.as_ref()?.service(service)?.engine?.slots)
    }

    /// The gateways of the fleet.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Takes a peer's heartbeat in, received at `now`; returns how its plans stand to the known ones,
    /// each with the age of its decision.
    pub fn receive(&mut self, now: Time, heartbeat: &Heartbeat) -> Vec<(Comparison, Span)> {
        if heartbeat.entry.name == self.settings.entry.name {
            return Vec::new();
        }
        self.receive_version(now, heartbeat.version);
        self.directory.receive(now, heartbeat);
        self.fleet.receive(now, &heartbeat.loads);
        self.quarantine.merge(now, &heartbeat.quarantine);
        self.receive_prefill(&heartbeat.prefill);
        self.receive_plans(now, &heartbeat.plans)
    }

    /// The heartbeat to send at `now`.
    pub fn heartbeat(&self, now: Time) -> Heartbeat {
        let own = Demand {
            gateway: directory::short_hash(&self.settings.entry.name),
            open: self.is_open(now),
            sensitive: self.fleet.sensitive_streams().min(u32::from(u16::MAX)) as u16,
            age_ms: 0,
        };
        let mut demands = self.directory.gossip(now);
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

    /// Addresses for heartbeats.
    pub fn peer_addresses(&self) -> Vec<String> {
        self.directory.peer_addresses().map(str::to_owned).collect()
    }

    /// Whether callers may be sent here.
    pub fn is_open(&self, now: Time) -> bool {
        self.stop.is_none() && self.config.is_some() && self.is_current(now)
    }

    /// Gateways for a caller in `domain`.
    pub fn addresses_for(&mut self, now: Time, domain: &str) -> Vec<String> {
        let own = self.is_open(now).then_some(&self.settings.entry);
        self.directory.select_addresses(now, own, domain, &mut self.rng)
    }

    /// Version of the configuration in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.version)
    }

    /// Configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// When the read was sent that proved last what the store held.
    pub fn proved_at(&self) -> Option<Time> {
        self.freshness.proved_at()
    }

    /// Age of the proof that the configuration is the newest.
    pub fn proof_age(&self, now: Time) -> Option<Span> {
        self.freshness.age(now)
    }

    /// Replicas as this gateway sees them.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Number of live peers.
    pub fn live_peers(&self, now: Time) -> usize {
        self.directory.live_peers(now)
    }

    /// Gateways that share the budget.
    pub fn gateway_count(&self) -> usize {
        self.directory.gateway_count()
    }

    /// Admits a call whose head was read at `now`.
    ///
    /// # Errors
    ///
    /// The refusal to answer with.
    pub fn admit(&mut self, now: Time, submission: &Submission) -> Result<Grant, Refusal> {
        let grant = self.resolve(now, now, submission)?;
        self.may_begin(now, &grant)?;
        let rules = self.settings.budget;
        let began = self.began;
        let budget = self.budgets.entry(grant.service.clone());
        budget.or_insert_with(|| Budget::new(rules, began)).record_call(now);
        Ok(grant)
    }

    fn resolve(&self, now: Time, arrived: Time, submission: &Submission) -> Result<Grant, Refusal> {
        let Some(config) = &self.config else {
            return Err(Refusal::not_run(Reason::NoConfiguration, ELSEWHERE));
        };
        let Some(route) = config.route(&submission.host, &submission.path) else {
            // The route may be newer than a stale configuration, and callers do not retry a 404.
            let refusal = if self.is_current(now) {
                Refusal::not_run(Reason::NoRoute, Span(0))
            } else {
                Refusal::not_run(Reason::StaleConfiguration, ELSEWHERE)
            };
            return Err(refusal);
        };
        let mut organisation = None;
        let mut rank = Rank { organisation: 0, route: route.priority };
        if !route.public {
            if !self.is_current(now) {
                return Err(Refusal::not_run(Reason::StaleConfiguration, ELSEWHERE));
            }
            let found = submission.key.as_ref().and_then(|key| config.organisation(key));
            let found = found.ok_or(Refusal::not_run(Reason::UnknownKey, Span(0)))?;
            rank.organisation = found.priority.unwrap_or(0);
            organisation = Some(found.name.clone());
        }
        let patience = submission.patience.unwrap_or(route.timeout).min(route.timeout);
        Ok(Grant {
            organisation,
            rank,
            service: target(route, &submission.id),
            fingerprint: None,
            arrived,
            deadline: arrived + patience,
            tried: Vec::new(),
            attempts: 0,
            last_pick: None,
            version: config.version,
            route: Arc::clone(route),
        })
    }

    fn engine(&self, grant: &Grant) -> Option<Engine> {
        let config = self.config.as_ref()?;
        config.service(&grant.service)?.engine
    }

    /// Chooses a replica for the next attempt of a call, by the owners' snapshots, if any, and by what
    /// this gateway knows.
    ///
    /// The key, the route and the proof of both are looked at once more: the call may have waited.
    ///
    /// # Errors
    ///
    /// The refusal to answer with; it does not know of earlier attempts.
    pub fn pick(
        &mut self,
        now: Time,
        submission: &Submission,
        grant: &mut Grant,
        snapshots: &[Snapshot],
    ) -> Result<Pick, Refusal> {
        self.recheck(now, submission, grant)?;
        let engine = self.engine(grant);
        let engine = engine.map(|e| self.engine_use(now, submission, grant, &e));
        let need = need(submission, grant, engine, snapshots);
        let domain = &self.settings.entry.domain;
        let claim = self.fleet.choose(now, &need, domain, &grant.tried);
        let claim = claim.ok_or(Refusal::not_run(Reason::NoReplica, BUSY))?;
        let replica = self.fleet.get(claim.replica);
        let replica = replica.ok_or(Refusal::not_run(Reason::NoReplica, BUSY))?;
        let pick = Pick {
            claim,
            id: replica.listing.incarnation.id.clone(),
            address: replica.listing.address.clone(),
            engine: engine.is_some(),
        };
        grant.last_pick = Some(pick.clone());
        // A snapshot already counts what the other gateways have sent.
        let dither = match claim.from_snapshot {
            true => 1.0,
            false => self.rng.random_range(DITHER_FROM..DITHER_TO),
        };
        let longest = engine.map(|u| longest_wait_ms(&grant.route, u.lowest_rank));
        // A call that may have run is not refused for load, as the refusal could not say that it has not.
        let first = grant.attempts == 0;
        if first && longest.is_some_and(|longest| claim.expected_ms * dither > longest) {
            return Err(Refusal::not_run(Reason::Overloaded, self.spread()));
        }
        Ok(pick)
    }

    fn engine_use(
        &mut self,
        now: Time,
        submission: &Submission,
        grant: &Grant,
        engine: &Engine,
    ) -> Criteria {
        let engines = self.fleet.usable(now, &grant.service);
        let (sensitive, lane) = self.lane_of(now, grant, engine, engines);
        let epoch = self.plan(&grant.service).map_or(0, |plan| plan.epoch);
        let last =
            self.config.as_ref().is_some_and(|c| c.has_lowest_rank(&grant.route, &grant.service));
        let gateways = self.directory.gateway_count();
        let model = self.models.entry(grant.service.clone()).or_default();
        Criteria {
            slots: engine.slots,
            sensitive,
            pool_size: lane,
            epoch,
            lowest_rank: last,
            common_tokens: self.popularity.common_tokens(now, &submission.parts, engines, gateways),
            pause: grant.route.pause,
            objective_ms: grant.route.objective.as_secs_f64() * 1e3,
            prefill: model.prefill,
        }
    }

    /// A time to come back that spreads the returns of callers who were refused together.
    fn spread(&mut self) -> Span {
        Span(self.rng.random_range(RETURN_FROM.0..RETURN_TO.0))
    }

    /// Looks once more whether a call is allowed, right before it leaves for a replica.
    ///
    /// # Errors
    ///
    /// The refusal to answer with; it does not know of earlier attempts.
    pub fn recheck(
        &self,
        now: Time,
        submission: &Submission,
        grant: &mut Grant,
    ) -> Result<(), Refusal> {
        if !grant.route.public && !self.is_current(now) {
            return Err(Refusal::not_run(Reason::StaleConfiguration, ELSEWHERE));
        }
        self.may_send(now, grant)?;
        if grant.version == self.version() {
            return Ok(());
        }
        let mut renewed = self.resolve(now, grant.arrived, submission)?;
        renewed.fingerprint = grant.fingerprint;
        renewed.tried = std::mem::take(&mut grant.tried);
        renewed.attempts = grant.attempts;
        *grant = renewed;
        Ok(())
    }

    /// Whether a replica may still be given work.
    pub fn is_usable(&self, key: Key<Replica>) -> bool {
        self.fleet.get(key).is_some_and(|r| !r.closed)
    }

    /// Whether a call that a replica has may still be sent to another one, and one is there.
    pub fn may_reroute(&self, now: Time, submission: &Submission, grant: &Grant) -> bool {
        let mut renewed = grant.clone();
        let allowed = self.recheck(now, submission, &mut renewed).is_ok();
        allowed && self.fleet.has_other(now, &renewed.service, &grant.tried)
    }

    /// Takes one further attempt out of the service's budget; `false` if there is none left.
    pub fn spend_retry(&mut self, now: Time, service: &str) -> bool {
        let sharers = self.directory.gateway_count();
        self.budgets.get_mut(service).is_some_and(|b| b.spend_retry(now, sharers))
    }

    /// Time until a replica with work of this gateway counts as silent; zero if it is now.
    pub fn time_until_silent(&self, now: Time, claim: &Claim) -> Span {
        self.fleet.time_until_silent(now, claim.replica)
    }

    fn gossip_prefill(&self) -> Vec<prefill::Estimate> {
        let told = self.models.iter();
        told.filter_map(|(service, model)| model.prefill.gossip(directory::short_hash(service)))
            .collect()
    }

    fn receive_prefill(&mut self, paces: &[prefill::Estimate]) {
        for (service, model) in &mut self.models {
            let short = directory::short_hash(service);
            paces.iter().filter(|p| p.service == short).for_each(|p| model.prefill.receive(p));
        }
    }
}

/// What is learnt of a service; nothing yet if it is new.
fn model<'a>(models: &'a mut BTreeMap<String, Model>, service: &str) -> &'a mut Model {
    models.entry(service.to_owned()).or_default()
}

fn need<'a>(
    submission: &'a Submission,
    grant: &'a Grant,
    engine: Option<Criteria>,
    snapshots: &'a [Snapshot],
) -> Requirements<'a> {
    Requirements { service: &grant.service, parts: &submission.parts, engine, snapshots }
}

/// Longest expected wait for a first event with which a call is sent on, in milliseconds: beyond
/// it the call would be late for sure, and make those behind it late. Calls that do not rank last
/// are given twice as long, so that they are never refused before those that do.
fn longest_wait_ms(route: &Route, last: bool) -> f64 {
    let objectives = if last { OBJECTIVES } else { OBJECTIVES_URGENT };
    let objective = route.objective.as_secs_f64() * objectives;
    objective.max(route.timeout.as_secs_f64() * TIMEOUT_PART) * 1e3
}

/// The service that a call goes to, by weight; the same for each look at the same call.
fn target(route: &Route, id: &[u8]) -> String {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let Some(first) = route.targets.first() else {
        return String::new();
    };
    if route.targets.len() == 1 || total == 0 {
        return first.service.clone();
    }
    let mut at = rendezvous::hash(&[id]) % total;
    for t in &route.targets {
        if at < u64::from(t.weight) {
            return t.service.clone();
        }
        at -= u64::from(t.weight);
    }
    first.service.clone()
}
