//! Reads of the store, made by this gateway or by a peer that reads for it.
//!
//! A read brings the configuration and the lists of replicas and gateways. It also proves that the
//! configuration was current when the read was sent, unless the store was rolled back shortly
//! before.

use std::sync::Arc;

use super::Gateway;
use crate::gateway::config::Config;
use crate::gateway::directory::Entry;
use crate::gateway::fleet::Changes;
use crate::gateway::fleet::Listing;
use crate::time::Span;
use crate::time::Time;

/// Time after the start in which peers' heartbeats determine the newest version.
const STARTUP: Span = Span::secs(10);

/// Entries of a view up to which any gateway may read the store: a few pages.
const SMALL_VIEW: usize = 1_000;
/// Reads of a large view that all gateways without a fresh proof start together in their first
/// round.
const FALLBACK_READS: f64 = 4.0;
/// Upper bound on the doublings of these reads.
const MAX_DOUBLINGS: u32 = 16;

impl Gateway {
    /// Records a valid read of the store that was sent at `sent` and found `config`; returns
    /// whether it is a new configuration.
    ///
    /// A version older than the known one is never taken. After a rollback the store may hold an
    /// older state than before, so reads made shortly after it prove nothing.
    pub fn record_read(&mut self, sent: Time, config: Option<Arc<Config>>) -> bool {
        let known = self.version();
        match config {
            Some(config) if config.version > known => {
                self.config = Some(config);
                self.record_proof(sent);
                true
            }
            Some(config) if config.version < known => false,
            _ => {
                self.record_proof(sent);
                false
            }
        }
    }

    fn record_proof(&mut self, sent: Time) {
        if !self.rollback.may_miss_entries(sent) {
            self.freshness.record_proof(sent);
        }
    }

    /// Records at `now` that the store was rolled back to an older copy.
    pub fn record_rollback(&mut self, now: Time) {
        self.rollback.record(now);
    }

    /// Corrects a list of replicas that was requested at `sent`: if the store may hold stale
    /// entries after a rollback, the known state of a replica takes precedence.
    pub fn reconcile(&self, sent: Time, replicas: Vec<Listing>) -> Vec<Listing> {
        match self.rollback.may_hold_stale_entries(sent) {
            true => self.fleet.reconcile(replicas, self.rollback.may_miss_entries(sent)),
            false => replicas,
        }
    }

    /// Whether the configuration is proved current, so that keys may be accepted at `now`.
    ///
    /// A gateway that has just started may have missed a rollback of the store. If it reads an
    /// older version than its peers have, revoked keys would be valid again. Later the peers'
    /// versions are ignored, because a forged datagram could make the whole fleet refuse its
    /// callers.
    pub(super) fn is_current(&self, now: Time) -> bool {
        let is_starting = now.since(self.started_at) < STARTUP;
        let knows_newest = !is_starting || self.version() >= self.newest_peer_version;
        knows_newest && self.freshness.is_current(now)
    }

    /// Updates the replicas and gateways by lists that were requested at `sent` and received at
    /// `now`; returns the changes of the replicas.
    pub fn update_lists(
        &mut self,
        sent: Time,
        now: Time,
        replicas: Vec<Listing>,
        gateways: Vec<Entry>,
    ) -> Changes {
        self.record_contact(now);
        let own = self.settings.entry.name.clone();
        self.directory.update(now, gateways.into_iter().filter(|e| e.name != own).collect());
        let absence = self.fleet.absence(&replicas);
        let keep_missing = self.outage.record_list(sent, now, absence);
        let changes = self.fleet.update(now, replicas, keep_missing);
        // After an outage entries are missing for a moment, and new ones may be too.
        if !keep_missing {
            self.record_view_proof(sent);
        }
        changes
    }

    /// Records that the list of replicas was complete at `sent`, unless entries may be missing after a
    /// rollback.
    fn record_view_proof(&mut self, sent: Time) {
        if !self.rollback.may_miss_entries(sent) {
            self.fleet.record_proof(sent);
        }
    }

    /// Probability with which a gateway that is no reader, and got no fresh proof in this round and
    /// the `failed_rounds` before it, reads the store's `entries` itself.
    ///
    /// If the store or the readers are slow for a second, no gateway of the fleet has a fresh proof.
    /// If hundreds of them then read a large list, the store's link is saturated, the readers' own
    /// reads fail too, and the overload goes on by itself. The probability doubles with each round,
    /// so that a gateway which reaches the store and no other gateway serves again within seconds.
    pub fn fallback_probability(&self, entries: usize, failed_rounds: u32) -> f64 {
        if entries <= SMALL_VIEW {
            return 1.0;
        }
        let reads = FALLBACK_READS * 2.0_f64.powi(failed_rounds.min(MAX_DOUBLINGS) as i32);
        (reads / self.gateway_count() as f64).min(1.0)
    }

    /// Adds gateways that are known from elsewhere before they are listed.
    pub fn add_gateways(&mut self, now: Time, entries: Vec<Entry>) {
        let own = self.settings.entry.name.clone();
        self.directory.add(now, entries.into_iter().filter(|e| e.name != own));
    }

    /// Records a peer's proof that this gateway's view was current at `sent`. Returns the replicas
    /// that are closed now, because their entries are still missing after an outage of the store.
    pub fn confirm_view(&mut self, sent: Time) -> Vec<String> {
        self.freshness.record_proof(sent);
        self.record_view_proof(sent);
        if self.outage.record_reply(sent) { self.fleet.close_retained() } else { Vec::new() }
    }

    /// Records the version of a peer's configuration.
    pub(super) fn receive_version(&mut self, now: Time, version: u64) {
        if now.since(self.started_at) < STARTUP {
            self.newest_peer_version = self.newest_peer_version.max(version);
        }
    }
}
