//! Reach: what this gateway does while it can open no connections to replicas.
//!
//! See [`crate::gateway::reach`].

use rand::seq::IteratorRandom;

use super::Gateway;
use super::Grant;
use super::Submission;
use super::Time;
use crate::arena::Key;
use crate::gateway::directory::Entry;
use crate::gateway::fleet::Replica;
use crate::gateway::reach::Change;
use crate::gateway::refusal::Reason;
use crate::gateway::refusal::Refusal;
use crate::time::Span;

/// Replicas of a service that are probed at a time.
const PROBED_REPLICAS: usize = 2;
/// Time before the loss of a service from which on broken connections count as signs of the lost
/// links and not of crashes.
const BROKEN_LINK_TIME: Span = Span::secs(2);
/// Time after which a caller retries whose call no gateway could serve.
const RETRY_UNREACHABLE: Span = Span::millis(300);

impl Gateway {
    /// Records whether a connection to a replica could be opened; returns the change of its
    /// service's reach, if there is one.
    pub fn record_connection(
        &mut self,
        now: Time,
        key: Key<Replica>,
        opened: bool,
    ) -> Option<(String, Change)> {
        let replica = self.fleet.get(key)?;
        let (service, digest) =
            (replica.listing.service.clone(), replica.listing.incarnation.digest());
        let seen = replica.reported_at();
        let change = match opened {
            true => self.reach.record_opened(now, &service),
            false => {
                let open = self.registered(&service);
                self.reach.record_failed(now, &service, digest, seen, open)
            }
        }?;
        Some((service, change))
    }

    /// Whether this gateway can open connections to no replica of a service.
    pub fn is_out_of_reach(&self, service: &str) -> bool {
        self.reach.is_lost(service)
    }

    /// Whether this gateway can open connections to no replica of a service although some are alive.
    pub(super) fn has_lost_links(&self, service: &str) -> bool {
        self.reach.has_lost_links(service)
    }

    /// Whether this gateway can open connections to no replica of some service.
    pub fn is_any_out_of_reach(&self) -> bool {
        self.reach.is_any_lost()
    }

    /// Whether this gateway can open connections to no replica at all.
    pub fn is_cut_off(&self) -> bool {
        let has_replicas = |service: &&str| self.fleet.open_replicas(service).next().is_some();
        let mut services = self.fleet.services().filter(has_replicas);
        self.reach.is_any_lost() && services.all(|service| self.reach.is_lost(service))
    }

    /// Whether callers may be sent to this gateway. One that is cut off from all replicas can only
    /// delegate calls, so that they are better made elsewhere.
    pub fn takes_callers(&self, now: Time) -> bool {
        self.is_open(now) && !self.is_cut_off()
    }

    /// Replicas to open a connection to, with their addresses, so that this gateway learns which
    /// services it reaches; none while there is no doubt.
    pub fn probes(&mut self, now: Time) -> Vec<(Key<Replica>, String)> {
        for (service, replica) in self.reach.failed_replicas() {
            let seen = self.fleet.find(replica).and_then(Replica::reported_at);
            self.reach.record_seen(&service, replica, seen);
        }
        for (service, since) in self.reach.confirm_losses(now) {
            self.withdraw_crashes(since - BROKEN_LINK_TIME, Some(&service));
        }
        let fleet = &self.fleet;
        self.reach.retain(|service| fleet.services().any(|known| known == service));
        let services: Vec<String> = self.fleet.services().map(str::to_owned).collect();
        let mut probes = Vec::new();
        for service in services {
            let open = self.registered(&service);
            if self.reach.is_doubted(now, &service, open) {
                probes.extend(self.probes_of(&service));
            }
        }
        probes
    }

    /// Random replicas of a service, preferably such as have not failed yet.
    fn probes_of(&mut self, service: &str) -> Vec<(Key<Replica>, String)> {
        let reach = &self.reach;
        let open = self.fleet.open_replicas(service);
        let has_failed = |r: &Replica| reach.has_failed(service, r.listing.incarnation.digest());
        let (failed, others): (Vec<_>, Vec<_>) = open.partition(|(_, r)| has_failed(r));
        let from = if others.is_empty() { failed } else { others };
        let chosen = from.into_iter().choose_multiple(&mut self.rng, PROBED_REPLICAS);
        chosen.into_iter().map(|(key, r)| (key, r.listing.address.clone())).collect()
    }

    /// Whether a call must be served by another gateway, because this one can't reach its service.
    pub fn must_delegate(&self, now: Time, grant: &Grant) -> bool {
        self.reach.may_delegate(now, &grant.service)
    }

    /// Whether a call is to be served by another gateway if one can, because this one reaches few
    /// replicas of its service and these are full.
    pub fn should_delegate(&self, now: Time, grant: &Grant) -> bool {
        !grant.is_delegated
            && self.fleet.overflows(now, &grant.service)
            && self.reach.may_delegate_partly(now, &grant.service)
    }

    /// Records whether a gateway served a call of a service of which this one reaches few replicas.
    pub fn record_partial_delegation(&mut self, now: Time, service: &str, served: bool) {
        self.reach.record_partial_delegation(now, service, served);
    }

    /// The gateway to delegate a call to, other than those whose names are in `tried`.
    pub fn select_delegate(&mut self, now: Time, tried: &[String]) -> Option<Entry> {
        let domain = &self.settings.entry.domain;
        self.directory.select_delegate(now, domain, tried, &mut self.rng).cloned()
    }

    /// Records whether a gateway that was asked to serve a call reached a replica.
    pub fn record_delegation(&mut self, now: Time, service: &str, reached: bool) {
        self.reach.record_delegation(now, service, reached);
    }

    /// The refusal of a call that no gateway could serve.
    pub fn refuse_unreachable(&self) -> Refusal {
        Refusal::not_run(Reason::NoReplica, RETRY_UNREACHABLE)
    }

    /// Withdraws a call from this gateway's part of the retry budget: it delegates the call, or
    /// refuses one that was delegated to it. Only the gateway that serves a call may retry it, and
    /// counted twice the call would allow more retries than the rules do.
    pub fn withdraw_call(&mut self, now: Time, service: &str) {
        self.budget(service).withdraw_call(now);
    }

    /// Admits a call that a peer delegates, which has version `version` of the configuration.
    ///
    /// # Errors
    ///
    /// The refusal to answer the peer with. No other version than the peer's is applied: its callers
    /// may have seen the effects of a newer one, and must not see those of one that they do not get
    /// from it afterwards.
    pub fn admit_delegated(
        &mut self,
        now: Time,
        submission: &Submission,
        version: u64,
    ) -> Result<Grant, Refusal> {
        if version != self.version() {
            return Err(Refusal::not_run(Reason::StaleConfiguration, super::RETRY_ELSEWHERE));
        }
        let grant = self.admit(now, submission)?;
        Ok(Grant { is_delegated: true, ..grant })
    }
}
