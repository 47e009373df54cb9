//! Owned engines, and queries and updates to the owners of other engines.

use std::collections::BTreeMap;

use super::Gateway;
use super::Grant;
use super::need;
use crate::gateway::directory;
use crate::gateway::occupancy::Snapshot;
use crate::gateway::occupancy::Update;
use crate::gateway::submission::Submission;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Period of the search for engines with a new owner.
const TIDY: Span = Span::millis(500);

impl Gateway {
    /// Engines to query before a call is sent, by owner; `None` stands for this gateway.
    pub fn queries(
        &mut self,
        now: Time,
        submission: &Submission,
        grant: &Grant,
    ) -> BTreeMap<Option<String>, Vec<Digest>> {
        let mut queries: BTreeMap<Option<String>, Vec<Digest>> = BTreeMap::new();
        let Some(engine) = self.engine(grant) else {
            return queries;
        };
        let u = self.engine_use(now, submission, grant, &engine);
        if submission.parts.is_empty() {
            return queries;
        }
        let need = need(submission, grant, Some(u), &[]);
        let domain = &self.settings.entry.domain;
        for engine in self.fleet.candidates_to_query(now, &need, domain, &grant.tried) {
            let owner = self.directory.owner(now, &self.settings.entry.name, engine);
            let address = owner.map(|(_, address)| address.to_owned());
            queries.entry(address).or_default().push(engine);
        }
        queries
    }

    /// Snapshots of these engines, as far as this gateway owns them.
    pub fn snapshots(&mut self, now: Time, engines: &[Digest]) -> Vec<Snapshot> {
        let listed = engines.iter().filter(|engine| self.fleet.contains(**engine));
        listed.filter_map(|engine| self.occupancy.snapshot(now, *engine)).collect()
    }

    /// Records updates of a peer. Those of an unlisted incarnation are dropped: it is a former one, or not
    /// yet listed, and its snapshot would be incomplete anyway.
    pub fn record_updates(&mut self, now: Time, updates: &[Update]) {
        self.tidy(now);
        for update in updates.iter().filter(|update| self.fleet.contains(update.engine)) {
            self.occupancy.record(now, update);
        }
    }

    /// Drops engines that are removed or have a new owner, and calls of removed gateways.
    fn tidy(&mut self, now: Time) {
        if now.since(self.tidied) < TIDY {
            return;
        }
        self.tidied = now;
        let (directory, name) = (&self.directory, self.settings.entry.name.as_str());
        let own = directory::short_hash(name);
        let fleet = &self.fleet;
        self.occupancy.retain_engines(|engine| {
            fleet.contains(engine) && directory.owner(now, name, engine).is_none()
        });
        self.occupancy.retain_gateways(|gateway| gateway == own || directory.is_live(now, gateway));
    }

    /// Updates to send to other owners, by address. Those of owned engines are recorded here.
    pub fn drain_updates(&mut self, now: Time) -> BTreeMap<String, Vec<Update>> {
        self.tidy(now);
        let own = u64::from(directory::short_hash(&self.settings.entry.name)) << 32;
        let mut told: BTreeMap<String, Vec<Update>> = BTreeMap::new();
        for update in self.fleet.drain_updates() {
            let update = Update { call: own | update.call, ..update };
            let owner = self.directory.owner(now, &self.settings.entry.name, update.engine);
            match owner.map(|(_, address)| address.to_owned()) {
                Some(address) => told.entry(address).or_default().push(update),
                None if self.fleet.contains(update.engine) => self.occupancy.record(now, &update),
                None => {}
            }
        }
        told
    }
}
