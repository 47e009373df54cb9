//! Builds: software versions of replicas, several of which may serve side by side in one service.
//!
//! What two builds write does not fit together, so that a stream goes on only at the build that began
//! it. A build belongs to an incarnation, as the entry of the replica states it. Replicas without a
//! stated build may each be of another one, unless no replica of their service states any.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::rendezvous;
use crate::time::Span;
use crate::time::Time;

/// Time for which the build of replicas that have left is remembered; longer than any stream lasts.
const RETENTION: Span = Span::secs(600);

/// Short hash of the version of a replica's software.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{_0:08x}")]
pub struct Build(pub u32);

impl Build {
    /// The build with this version.
    pub fn of(version: &str) -> Build {
        Build(rendezvous::hash(&[version.as_bytes()]) as u32)
    }
}

/// Replicas of one build.
#[derive(Clone, Copy, Debug)]
struct Presence {
    replicas: usize,
    /// Time when the last replica left; meaningless while there is one.
    left_at: Time,
}

impl Presence {
    fn was_there(&self, since: Time) -> bool {
        self.replicas > 0 || self.left_at >= since
    }
}

/// Builds of the listed replicas of each service, now and a while ago; `None` is an entry without one.
#[derive(Debug, Default)]
pub struct Census {
    services: BTreeMap<String, BTreeMap<Option<Build>, Presence>>,
}

impl Census {
    /// Counts a replica.
    pub fn add(&mut self, now: Time, service: &str, build: Option<Build>) {
        let builds = self.services.entry(service.to_owned()).or_default();
        builds.entry(build).or_insert(Presence { replicas: 0, left_at: now }).replicas += 1;
        builds.retain(|_, presence| presence.was_there(now - RETENTION));
    }

    /// Counts a replica no more.
    pub fn remove(&mut self, now: Time, service: &str, build: Option<Build>) {
        let builds = self.services.get_mut(service);
        if let Some(presence) = builds.and_then(|builds| builds.get_mut(&build)) {
            presence.replicas = presence.replicas.saturating_sub(1);
            presence.left_at = now;
        }
    }

    /// Whether any replica of a service states its build, or did so a while ago.
    pub fn is_stated(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|builds| builds.keys().any(Option::is_some))
    }

    /// Builds that a service has had since a time; `None` is an entry without one.
    pub fn since(&self, service: &str, since: Time) -> impl Iterator<Item = Option<Build>> {
        let builds = self.services.get(service).into_iter().flatten();
        builds.filter(move |(_, presence)| presence.was_there(since)).map(|(build, _)| *build)
    }

    /// The one build that a service has had since a time; `None` if it had several, or no replica.
    pub fn only(&self, service: &str, since: Time) -> Option<Option<Build>> {
        let mut builds = self.since(service, since);
        let first = builds.next()?;
        builds.next().is_none().then_some(first)
    }
}
