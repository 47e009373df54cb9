//! Features of requests: what several requests may share, so that it may be the cause of crashes.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::submission::Part;
use crate::rendezvous;

/// Lowest bits of a feature, which tell its kind.
const KIND_MASK: u64 = 3;
const PART: u64 = 0;
const ORGANISATION: u64 = 1;
const REQUEST: u64 = 2;

/// Upper bound on the parts of a prompt that crashes are charged to. Each costs two records at each
/// crash, and callers choose how many there are.
const MAX_PARTS: usize = 16;

/// Hash of one feature of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Feature(pub u64);

impl Feature {
    /// The feature of prompts with the part of this id, whichever organisation sends them.
    pub fn part(id: u64) -> Feature {
        Feature::of_kind(PART, id)
    }

    /// The feature of prompts with the part of this id at one service.
    pub fn part_at(service: &str, id: u64) -> Feature {
        Feature::part(rendezvous::hash(&[service.as_bytes(), &id.to_le_bytes()]))
    }

    fn organisation(name: &str) -> Feature {
        Feature::of_kind(ORGANISATION, rendezvous::hash(&[name.as_bytes()]))
    }

    fn request(fingerprint: Fingerprint) -> Feature {
        Feature::of_kind(REQUEST, fingerprint.0)
    }

    fn of_kind(kind: u64, id: u64) -> Feature {
        Feature(rendezvous::score(id, kind) & !KIND_MASK | kind)
    }

    /// Whether this is the feature of a single request.
    pub fn is_request(self) -> bool {
        self.0 & KIND_MASK == REQUEST
    }
}

/// The parts of a prompt that crashes at a service may be charged to: all but the last, which belongs
/// to the request itself or to its session.
///
/// Each part has two features: at any service, so that one which crashes the replicas of several
/// services is found by all crashes together, and at this service, so that answers of other services
/// do not clear it.
pub fn chargeable(service: &str, parts: &[Part]) -> Vec<Feature> {
    let shared = parts.len().saturating_sub(1).min(MAX_PARTS);
    let shared = parts[..shared].iter();
    let mut features: Vec<Feature> = shared
        .flat_map(|part| [Feature::part(part.id), Feature::part_at(service, part.id)])
        .collect();
    features.sort_unstable();
    features.dedup();
    features
}

/// Features of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Context {
    /// The parts of its prompt that crashes may be charged to.
    pub parts: Vec<Feature>,
    /// Its organisation and the request itself. Crashes are never charged to these alone, but to a
    /// part within them: one organisation can't quarantine a part that others use soundly.
    pub scope: Vec<Feature>,
}

impl Context {
    /// The features of a request.
    pub fn new(
        parts: Vec<Feature>,
        organisation: Option<&str>,
        fingerprint: Option<Fingerprint>,
    ) -> Context {
        let organisation = organisation.map(Feature::organisation);
        let request = fingerprint.map(Feature::request);
        Context { parts, scope: organisation.into_iter().chain(request).collect() }
    }

    /// Whether the request has a feature.
    pub fn contains(&self, feature: Feature) -> bool {
        self.parts.contains(&feature) || self.scope.contains(&feature)
    }

    /// The features other than one part, in order.
    pub fn others(&self, part: Feature) -> Vec<Feature> {
        let all = self.parts.iter().chain(&self.scope).copied();
        let mut others: Vec<Feature> = all.filter(|feature| *feature != part).collect();
        others.sort_unstable();
        others
    }
}
