//! Caches of the engines that this gateway owns: which engines it follows, and what they answer.

use std::hash::Hasher;

use super::Gateway;
use super::Grant;
use crate::arena::Key;
use crate::gateway::cache;
use crate::gateway::cache::Flaw;
use crate::gateway::cache::List;
use crate::gateway::cache::MAX_PROMPT_PARTS;
use crate::gateway::cache::Page;
use crate::gateway::cache::Progress;
use crate::gateway::cache::Query;
use crate::gateway::config::Engine;
use crate::gateway::fleet::Claim;
use crate::gateway::fleet::Replica;
use crate::gateway::fleet::has_copyable_prefix;
use crate::gateway::submission::Part;
use crate::gateway::submission::Submission;
use crate::incarnation::Digest;
use crate::time::Time;

/// Engines whose ownership is checked at a time. With 440 gateways the check of 1,024 engines takes
/// some milliseconds, after a change of the gateways or of the replicas.
const MAX_CHECKED: usize = 1_024;

/// An engine whose cache this gateway follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Incarnation of the engine.
    pub engine: Digest,
    /// Identity of the engine.
    pub id: String,
    /// Address of the engine.
    pub address: String,
}

impl Gateway {
    /// Engines whose caches this gateway follows: it owns them, they are open, and the configuration
    /// states that they report cache events and copy cached tokens. A gateway that stops owns its
    /// engines until it ends, as it still counts their calls.
    pub fn cache_targets(&mut self, now: Time) -> Vec<Target> {
        let services = self.config.as_ref().map(|config| config.services()).unwrap_or_default();
        let reports = |engine: Engine| reports_cache(&engine);
        let services: Vec<&str> = services
            .iter()
            .filter(|service| service.engine.is_some_and(reports))
            .map(|service| service.name.as_str())
            .collect();
        if services.is_empty() {
            self.cache_owners = cache::Owners::default();
            self.caches.retain(|_| false);
            return Vec::new();
        }
        self.check_owners(now);
        let fleet = &self.fleet;
        let target = |engine: Digest| {
            let (_, replica) = fleet.replica_of(engine).filter(|(_, replica)| replica.is_open())?;
            let listing = &replica.listing;
            services.contains(&listing.service.as_str()).then(|| Target {
                engine,
                id: listing.incarnation.id.clone(),
                address: listing.address.clone(),
            })
        };
        let targets: Vec<Target> =
            self.cache_owners.owned.iter().filter_map(|engine| target(*engine)).collect();
        self.caches.retain(|engine| targets.binary_search_by_key(&engine, |t| t.engine).is_ok());
        targets
    }

    /// Checks which engines this gateway owns, as far as the live gateways or the replicas have
    /// changed since the last complete pass.
    fn check_owners(&mut self, now: Time) {
        let mut hasher = std::hash::DefaultHasher::new();
        hasher.write_u64(self.directory.live_hash(now));
        self.fleet.digests_after(None).for_each(|engine| hasher.write_u32(engine.0));
        let inputs = hasher.finish();
        let owners = &mut self.cache_owners;
        if owners.inputs != inputs {
            owners.inputs = inputs;
            owners.unchecked = self.fleet.digests_after(None).count();
        }
        // A change begins no new pass at the first engine. Otherwise the last ones would never be
        // checked while gateways come and go all the time.
        let rest = self.fleet.digests_after(owners.position);
        let engines = rest.chain(self.fleet.digests_after(None));
        let name = &self.settings.entry.name;
        for engine in engines.take(owners.unchecked.min(MAX_CHECKED)) {
            match self.directory.owner(now, name, engine) {
                None => owners.owned.insert(engine),
                Some(_) => owners.owned.remove(&engine),
            };
            owners.position = Some(engine);
            owners.unchecked -= 1;
        }
        owners.owned.retain(|engine| self.fleet.contains(*engine));
    }

    /// What to ask an engine next about its cache.
    pub fn cache_query(&mut self, now: Time, engine: Digest) -> Query {
        self.caches.query(now, engine)
    }

    /// Applies a page of an engine's cache events.
    ///
    /// # Errors
    ///
    /// Returns why the page is malformed.
    pub fn record_cache_page(
        &mut self,
        now: Time,
        engine: Digest,
        page: &Page,
    ) -> Result<Progress, Flaw> {
        self.caches.apply_page(now, engine, page, &mut self.rng)
    }

    /// Applies a list of an engine's cache.
    ///
    /// # Errors
    ///
    /// Returns why the list is malformed.
    pub fn record_cache_list(
        &mut self,
        now: Time,
        engine: Digest,
        list: &List,
    ) -> Result<(), Flaw> {
        self.caches.apply_list(now, engine, list, &mut self.rng)
    }

    /// Forgets what an engine has cached after an answer that can't be decoded.
    pub fn forget_cache(&mut self, now: Time, engine: Digest) {
        self.caches.forget(now, engine, &mut self.rng);
    }

    /// Records that an engine did not answer a request for a list of its cache.
    pub fn record_cache_unlisted(&mut self, now: Time, engine: Digest) {
        self.caches.record_unlisted(now, engine);
    }

    /// Number of cached parts that this gateway knows as the owner of their engines.
    pub fn cached_parts(&self) -> usize {
        self.caches.len()
    }

    /// The parts of a call's prompt that owners are asked about. Empty if the prompt has no
    /// shared prefix worth a copy, or if its engines do not report what they have cached.
    pub fn parts_to_query(&self, now: Time, submission: &Submission, grant: &Grant) -> Vec<Part> {
        if !self.engine(grant).is_some_and(|engine| reports_cache(&engine)) {
            return Vec::new();
        }
        let (parts, gateways) = (&submission.parts, self.directory.gateway_count());
        let engines = self.fleet.usable(now, &grant.service);
        let common = self.popularity.common_tokens(now, parts, engines, gateways);
        match has_copyable_prefix(parts, common) {
            true => parts.iter().take(MAX_PROMPT_PARTS).copied().collect(),
            false => Vec::new(),
        }
    }

    /// Address of the engine from which the replica of `claim` is to fetch cached tokens.
    pub(super) fn source_address(&self, claim: &Claim) -> Option<String> {
        let source: Key<Replica> = claim.source?;
        Some(self.fleet.get(source)?.listing.address.clone())
    }
}

/// Whether engines report what they have cached, and copy it from one another.
fn reports_cache(engine: &Engine) -> bool {
    engine.cache_polls > 0 && engine.transfer.is_some()
}
