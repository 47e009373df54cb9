//! Paces of engines: reports of gaps to the owners, and the classes that owners publish.
//!
//! See [`crate::gateway::pace`].

use std::collections::BTreeMap;

use super::Gateway;
use super::model;
use crate::gateway::directory;
use crate::gateway::fleet::Claim;
use crate::gateway::inversion;
use crate::gateway::inversion::Results;
use crate::gateway::occupancy::Change;
use crate::gateway::occupancy::Snapshot;
use crate::gateway::occupancy::Update;
use crate::gateway::pace::Class;
use crate::gateway::pace::Sample;
use crate::gateway::pace::Word;
use crate::time::Span;
use crate::time::Time;

/// Upper bound on the published classes that were not taken yet; further ones are not logged.
const MAX_PUBLISHED: usize = 64;

/// Class of an engine that its owner published.
#[derive(Clone, Debug)]
pub struct Published {
    /// Id of the engine.
    pub replica: String,
    /// The class from now on.
    pub class: Class,
}

impl Gateway {
    /// Takes the classes that this gateway published since the last call.
    pub fn take_published(&mut self) -> Vec<Published> {
        std::mem::take(&mut self.published)
    }

    /// Takes the changes of the steps by which isolated pools grow, with the names of their
    /// services.
    pub fn take_inversions(&mut self) -> Vec<(String, inversion::Change)> {
        let changes = self.planner.take_changes();
        let named = |change: inversion::Change| Some((self.service_name(change.service)?, change));
        changes.into_iter().filter_map(named).collect()
    }

    /// Takes the streams that ended at this gateway since the last call, by the names of their
    /// services and by rank.
    pub fn take_results(&mut self) -> BTreeMap<(String, u8), Results> {
        let results = std::mem::take(&mut self.results);
        let named =
            |((service, rank), results)| Some(((self.service_name(service)?, rank), results));
        results.into_iter().filter_map(named).collect()
    }

    /// Steps by which isolated pools grow and shares on time by rank, as the decider states them, to
    /// pass on.
    pub fn inversions(&self, now: Time) -> Vec<inversion::Record> {
        self.inversions.current(now).cloned().collect()
    }

    /// Merges what another gateway knows of the decider's statements.
    pub fn receive_inversions(&mut self, now: Time, records: &[inversion::Record]) {
        records.iter().for_each(|record| self.inversions.receive(now, record));
    }

    /// Name of the service with this short hash, if it has replicas.
    pub fn service_name(&self, service: u32) -> Option<String> {
        let is_named = |name: &&str| directory::short_hash(name) == service;
        self.fleet.services().find(is_named).map(str::to_owned)
    }

    /// Counts a stream that ended.
    pub(super) fn record_result(&mut self, claim: &Claim, on_time: bool) {
        let results = self.results.entry((claim.service, claim.rank)).or_default();
        results.ended += 1.0;
        results.on_time += f64::from(u8::from(on_time));
    }

    /// Counts a gap between events of a stream for the pace of its engine.
    pub(super) fn record_gap(&mut self, claim: &mut Claim, gap: Span) {
        if let Some(sample) = claim.gaps.record(gap) {
            self.report_gaps(claim, sample);
        }
    }

    /// Reports the gaps of a stream that ends, as far as they were not reported yet.
    pub(super) fn report_last_gaps(&mut self, claim: &mut Claim) {
        if let Some(sample) = claim.gaps.take() {
            self.report_gaps(claim, sample);
        }
    }

    fn report_gaps(&mut self, claim: &Claim, sample: Sample) {
        let Some(replica) = self.fleet.get(claim.replica) else {
            return;
        };
        let class = replica.class();
        let model = model(&mut self.models, &replica.listing.service);
        if let Some(class) = class {
            model.batch.record(claim.load, class, sample.mean_ms());
        }
        let mean_ms = sample.mean_ms() / model.batch.ratio(claim.load);
        self.fleet.record_gaps(claim, sample.gaps(), mean_ms);
    }

    /// Records by how much a first event came later than expected.
    pub(super) fn record_wait(&mut self, now: Time, claim: &Claim) {
        let Some(replica) = self.fleet.get(claim.replica) else {
            return;
        };
        let bias = &mut model(&mut self.models, &replica.listing.service).bias;
        let actual_ms = now.since(claim.sent).as_secs_f64() * 1e3;
        bias[usize::from(claim.in_pool)].record(actual_ms, claim.expected_ms);
    }

    /// Milliseconds by which calls of a service wait longer than expected outside the isolated pool
    /// and in it; zero while its engines are alike.
    pub(super) fn bias_ms(&self, service: &str) -> [f64; 2] {
        let model = self.models.get(service).filter(|_| self.fleet.has_uneven_paces(service));
        model.map_or([0.0; 2], |model| model.bias.map(|bias| bias.ms()))
    }

    /// Records an update in the occupancy of an engine that this gateway owns, and publishes the
    /// engine's class if that changes it.
    pub(super) fn record_update(&mut self, now: Time, update: &Update) {
        self.occupancy.record(now, update);
        if matches!(update.change, Change::Gaps(..))
            && let Some(estimate) = self.occupancy.pace(update.engine)
        {
            let changes = self.fleet.publish_pace(now, update.engine, estimate);
            let class = self.fleet.pace(update.engine).class().filter(|_| changes);
            let id = self.fleet.id(update.engine);
            if let (Some(class), Some(id)) = (class, id)
                && self.published.len() < MAX_PUBLISHED
            {
                self.published.push(Published { replica: id.to_owned(), class });
            }
        }
    }

    /// Merges the paces of engines in their owners' snapshots.
    pub(super) fn receive_paces(&mut self, now: Time, snapshots: &[Snapshot]) {
        for snapshot in snapshots {
            self.fleet.receive_pace(now, snapshot.engine, Word::from_byte(snapshot.pace));
        }
    }
}
