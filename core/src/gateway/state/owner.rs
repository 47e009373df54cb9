//! Owners of engines: occupancy of the engines that this gateway owns, and queries and updates to
//! the owners of the other ones.
//!
//! Each engine has one live gateway as its owner, which counts the calls of all gateways there; see
//! [`crate::gateway::occupancy`].

use std::collections::BTreeMap;

use super::Gateway;
use super::Grant;
use super::admission::owner_key;
use super::pick::requirements;
use crate::gateway::directory;
use crate::gateway::memory::Held;
use crate::gateway::memory::Need;
use crate::gateway::occupancy::Snapshot;
use crate::gateway::occupancy::Update;
use crate::gateway::submission::Part;
use crate::gateway::submission::Submission;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Period at which engines with a new owner and calls of removed gateways are dropped.
const SWEEP_PERIOD: Span = Span::millis(500);

impl Gateway {
    /// Engines whose owners are queried before a call is sent, by the owner's address; `None`
    /// stands for this gateway.
    pub fn queries(
        &mut self,
        now: Time,
        submission: &Submission,
        grant: &Grant,
    ) -> BTreeMap<Option<String>, Vec<Digest>> {
        let mut queries: BTreeMap<Option<String>, Vec<Digest>> = BTreeMap::new();
        let engine = self.engine(grant);
        let criteria = engine.map(|engine| self.criteria(now, submission, grant, &engine));
        let is_needed = match criteria {
            Some(_) => !submission.parts.is_empty(),
            // The one owner of a plain service chooses the replica itself.
            None => {
                !self.has_one_owner(&grant.service)
                    && self.may_queue(grant)
                    && self.fleet.is_scarce(now, &grant.service)
            }
        };
        if !is_needed {
            return queries;
        }
        let requirements = requirements(submission, grant, criteria, &[]);
        let domain = &self.settings.entry.domain;
        for engine in self.fleet.candidates_to_query(now, &requirements, domain, &grant.tried) {
            let address = self.owner_of(now, engine).map(str::to_owned);
            queries.entry(address).or_default().push(engine);
        }
        queries
    }

    /// Snapshots of those `engines` that are listed and that this gateway has owned for long enough
    /// to know all of their calls.
    pub fn snapshots(&mut self, now: Time, engines: &[Digest]) -> Vec<Snapshot> {
        self.snapshots_for(now, engines, &[])
    }

    /// The same, with the tokens that each engine has cached of a prompt with these parts.
    pub fn snapshots_for(
        &mut self,
        now: Time,
        engines: &[Digest],
        parts: &[Part],
    ) -> Vec<Snapshot> {
        let listed = engines.iter().filter(|engine| self.fleet.contains(**engine));
        let listed: Vec<Digest> = listed.copied().collect();
        let mut snapshots = Vec::with_capacity(listed.len());
        for engine in listed {
            let Some(snapshot) = self.occupancy_of(now, engine) else {
                continue;
            };
            let cached_tokens = self.caches.cached_tokens(now, engine, parts);
            let pace = self.fleet.pace(engine).byte();
            let memory = self.held(now, engine, parts);
            snapshots.push(Snapshot { pace, cached_tokens, memory, ..self.with_queue(snapshot) });
        }
        snapshots
    }

    /// Memory that the calls at an engine hold; `None` if it is not limited.
    fn held(&self, now: Time, engine: Digest, parts: &[Part]) -> Option<Held> {
        let service = self.fleet.service_of_open(engine)?;
        let config = self.config.as_ref()?.service(service)?.engine?;
        let copied = self.copied_tokens(now, engine).min(u64::from(u32::MAX)) as u32;
        config.limits_memory().then(|| self.occupancy.held(engine, copied, parts))
    }

    /// Records what calls of a peer need at engines that this gateway owns.
    pub fn record_needs(&mut self, needs: &[Need]) {
        needs.iter().for_each(|need| self.occupancy.record_need(need));
    }

    /// Takes what calls need, to send to the owners of their engines, by the owner's address. It
    /// follows the updates of the same calls. Needs at engines that this gateway owns are recorded.
    pub fn drain_needs(&mut self, now: Time) -> BTreeMap<String, Vec<Need>> {
        let name = &self.settings.entry.name;
        let own = u64::from(directory::short_hash(name)) << 32;
        let mut outgoing: BTreeMap<String, Vec<Need>> = BTreeMap::new();
        for need in self.fleet.drain_needs() {
            let need = Need { call: own | need.call, ..need };
            match self.directory.owner(now, name, need.engine) {
                Some((_, address)) => outgoing.entry(address.to_owned()).or_default().push(need),
                None => self.occupancy.record_need(&need),
            }
        }
        outgoing
    }

    /// Records updates of a peer. Updates for an incarnation that is not listed are dropped: it has
    /// ended, or is too new for its occupancy to be complete.
    pub fn record_updates(&mut self, now: Time, updates: &[Update]) {
        self.sweep(now);
        for update in updates {
            if self.fleet.contains(update.engine) {
                self.record_update(now, update);
                self.close_queued(now, update);
            }
        }
    }

    /// Drops engines that are no longer listed or have a new owner, and calls of gateways that
    /// ended.
    fn sweep(&mut self, now: Time) {
        if now.since(self.last_sweep) < SWEEP_PERIOD {
            return;
        }
        self.last_sweep = now;
        let (directory, name) = (&self.directory, self.settings.entry.name.as_str());
        let own = directory::short_hash(name);
        let (fleet, config) = (&self.fleet, self.config.as_deref());
        self.occupancy.retain_engines(|engine| {
            let key = owner_key(config, fleet, engine);
            fleet.contains(engine) && directory.owner(now, name, key).is_none()
        });
        self.occupancy.retain_gateways(|gateway| gateway == own || directory.is_live(now, gateway));
    }

    /// Takes the updates to send to other owners, by the owner's address. Updates for engines that
    /// this gateway owns are recorded.
    pub fn drain_updates(&mut self, now: Time) -> BTreeMap<String, Vec<Update>> {
        self.sweep(now);
        let own = u64::from(directory::short_hash(&self.settings.entry.name)) << 32;
        let mut outgoing: BTreeMap<String, Vec<Update>> = BTreeMap::new();
        for update in self.fleet.drain_updates() {
            let update = Update { call: own | update.call, ..update };
            match self.owner_of(now, update.engine).map(str::to_owned) {
                Some(address) => outgoing.entry(address).or_default().push(update),
                None if self.fleet.contains(update.engine) => {
                    self.record_update(now, &update);
                    self.close_queued(now, &update);
                }
                None => {}
            }
        }
        outgoing
    }
}
