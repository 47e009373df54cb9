//! A gateway as one that reads the store, itself or by a peer: what a read changes and what it proves.

use std::sync::Arc;

use super::Gateway;
use crate::gateway::config::Config;
use crate::gateway::directory::Entry;
use crate::gateway::fleet::Changes;
use crate::gateway::fleet::Listing;
use crate::time::Span;
use crate::time::Time;

/// How long after its start a gateway goes by its peers' word of the newest version.
const STARTING: Span = Span::secs(10);

impl Gateway {
    /// Notes a sound read of the store, sent at `sent`, that found `config`; `true` if it is new.
    ///
    /// A version that is older than one known before is never taken. What the store holds right after a
    /// return may be older than what it held before, so it proves nothing.
    pub fn record_read(&mut self, sent: Time, config: Option<Arc<Config>>) -> bool {
        let known = self.version();
        match config {
            Some(config) if config.version > known => {
                self.config = Some(config);
                self.prove(sent);
                true
            }
            Some(config) if config.version < known => false,
            _ => {
                self.prove(sent);
                false
            }
        }
    }

    fn prove(&mut self, sent: Time) {
        if !self.rollback.may_miss_entries(sent) {
            self.freshness.record_proof(sent);
        }
    }

    /// Notes that the store came back from an older copy.
    pub fn record_rollback(&mut self, now: Time) {
        self.rollback.record(now);
    }

    /// The list of replicas that was asked for at `sent`, with what is known put before it if the
    /// store may have gone back.
    pub fn reconcile(&self, sent: Time, replicas: Vec<Listing>) -> Vec<Listing> {
        match self.rollback.may_hold_stale_entries(sent) {
            true => self.fleet.reconcile(replicas, self.rollback.may_miss_entries(sent)),
            false => replicas,
        }
    }

    /// Whether keys may be honoured at `now`.
    ///
    /// A gateway that has just started can't know of a rollback right before. If it reads an older version
    /// than its peers have, revoked keys would be valid again. Later on peers are not believed: a forged
    /// datagram could make the whole fleet refuse its callers.
    pub(super) fn is_current(&self, now: Time) -> bool {
        let is_new = now.since(self.began) < STARTING;
        let knows_newest = !is_new || self.version() >= self.told_version;
        knows_newest && self.freshness.is_current(now)
    }

    /// Takes the lists of replicas and gateways in, which were asked for at `sent`; returns what
    /// changed of the replicas.
    pub fn update_lists(
        &mut self,
        sent: Time,
        now: Time,
        replicas: Vec<Listing>,
        gateways: Vec<Entry>,
    ) -> Changes {
        let own = self.settings.entry.name.clone();
        self.directory.update(now, gateways.into_iter().filter(|e| e.name != own).collect());
        let absence = self.fleet.absence(&replicas);
        let keep = self.outage.record_list(sent, now, absence);
        self.fleet.update(now, replicas, keep)
    }

    /// Notes that a peer's proof covers what this gateway knows: nothing had changed at `sent`.
    /// Returns replicas that are closed by it, as their entries did not come back.
    pub fn confirm_view(&mut self, sent: Time) -> Vec<String> {
        self.freshness.record_proof(sent);
        if self.outage.record_reply(sent) { self.fleet.close_retained() } else { Vec::new() }
    }

    /// Notes the version that a peer serves by.
    pub(super) fn receive_version(&mut self, now: Time, version: u64) {
        if now.since(self.began) < STARTING {
            self.told_version = self.told_version.max(version);
        }
    }
}
