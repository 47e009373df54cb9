//! Transfers newer configurations between routers.
//!
//! Gossip carries version numbers. A router that receives a newer one asks the peer for its root,
//! then for the shards that it lacks, and activates the configuration once it is complete.

use rand::Rng;

use super::Node;
use super::control::SHARD_RETRY;
use crate::action::Action;
use crate::action::Line;
use crate::config::shard::Change;
use crate::member::State;
use crate::peer::Gossip;
use crate::peer::Message;
use crate::sync::SHARD_PREFIX;
use crate::sync::Step;
use crate::time::Time;

/// Upper bound on shards sent for one request of a peer.
const MAX_SHARDS_PER_REQUEST: usize = 2_048;

impl Node {
    /// Handles the configuration version in a peer's gossip, and asks the peer for its root if the
    /// version is newer.
    pub(super) fn on_gossip(&mut self, now: Time, from: &str, gossip: &Gossip) {
        if self.members.own().state == State::Joining {
            self.control.received_versions.insert(from.to_owned(), gossip.version);
        }
        if gossip.version > self.sync.newest_version() {
            let have = self.sync.root().version;
            self.send_to(from, Message::AskRoot { have });
            self.control.ask = now + SHARD_RETRY;
        }
    }

    pub(super) fn on_root(&mut self, now: Time, from: &str, change: &Change) {
        let root = self.sync.root_after(change);
        if root.is_some_and(|r| self.sync.offer(r)) {
            self.ask_shards(Some(from));
            self.step_sync(now);
        }
    }

    /// Requests the missing shards of the newer root from `from`, or else from a random peer, or
    /// from the key-value service if there is no peer.
    pub(super) fn ask_shards(&mut self, from: Option<&str>) {
        let missing = self.sync.missing_shards();
        if missing.is_empty() {
            return;
        }
        let live: Vec<String> = self.members.live().map(|r| r.name.clone()).collect();
        let random = || live.get(self.rng.random_range(0..live.len().max(1))).cloned();
        match from.map(str::to_owned).or_else(random) {
            Some(name) => self.send_to(&name, Message::AskShards(missing)),
            None => {
                for hash in missing {
                    self.read_kv(&format!("{SHARD_PREFIX}{hash}"));
                }
            }
        }
    }

    pub(super) fn on_ask_shards(&mut self, from: &str, hashes: &[String]) {
        let found = hashes
            .iter()
            .take(MAX_SHARDS_PER_REQUEST)
            .filter_map(|h| self.sync.find_shard(h).cloned());
        for content in found.collect::<Vec<_>>() {
            self.send_to(from, Message::Shard(content));
        }
    }

    /// Activates a newer configuration once it is complete, and announces its version to peers.
    pub(super) fn step_sync(&mut self, now: Time) {
        match self.sync.apply_pending() {
            Step::Wait => {}
            Step::Reject(version, error) => {
                let line = Line::new("config_rejected").with("version", version);
                self.out.push(Action::Log(line.with("error", error)));
            }
            Step::Apply(config) => {
                self.index.update(&config);
                self.apply_upstreams(now, &config);
                self.lowest_protected_tier = self.lowest_protected_tier();
                let version = self.config_version();
                self.members.set_config_version(version);
                self.members.announce_version(&mut self.rng, &mut self.out);
                self.out.push(Action::Log(Line::new("config_in_force").with("version", version)));
                self.refresh_shares(now);
            }
        }
    }
}
