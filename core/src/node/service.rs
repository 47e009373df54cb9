//! Reads the root, host list and roster from the key-value service, and maintains the roster.
//!
//! Each router reads at random times with a mean pause proportional to the number of live routers,
//! so that the read rate of all routers together does not depend on their number. No router has a
//! special role.

use bytes::Bytes;
use rand::Rng;

use super::Node;
use super::control::JOIN_INTERVAL;
use super::orders::LEASE_PREFIX;
use crate::action::Action;
use crate::action::KvCall;
use crate::event::KvReply;
use crate::member::Members;
use crate::member::Record;
use crate::member::State;
use crate::peer::Message;
use crate::sync::LEAVING_HOSTS_KEY;
use crate::sync::ROOT_KEY;
use crate::sync::ROSTER_KEY;
use crate::sync::SHARD_PREFIX;
use crate::time::Span;
use crate::time::Time;

/// Mean interval between reads of the root by all routers together.
const ROOT_READ_INTERVAL: Span = Span::millis(500);
/// Mean interval between reads of the roster by all routers together.
const ROSTER_READ_INTERVAL: Span = Span::secs(10);
/// Mean interval between reads of the host list by all routers together.
const HOSTS_READ_INTERVAL: Span = Span::millis(500);

impl Node {
    /// A random pause with a mean of `interval` times the number of live routers, exponentially
    /// distributed so that routers do not synchronise.
    pub(super) fn random_pause(&mut self, interval: Span) -> Span {
        let routers = self.members.live().count() as f64 + 1.0;
        let unit: f64 = self.rng.random();
        Span::from_secs_f64(interval.as_secs_f64() * routers * -(1.0 - unit).ln())
    }

    /// Calls the key-value service and counts the call.
    pub(super) fn call_kv(&mut self, call: KvCall) {
        match call {
            KvCall::Get { .. } => self.stats.kv_reads += 1,
            KvCall::Swap { .. } => self.stats.kv_writes += 1,
        }
        self.out.push(Action::Kv(call));
    }

    /// Reads a key from the key-value service.
    pub(super) fn read_kv(&mut self, key: &str) {
        self.call_kv(KvCall::Get { key: key.to_owned() });
    }

    pub(super) fn tick_key_value(&mut self, now: Time) {
        if !self.settings.key_value {
            return;
        }
        if now >= self.control.root {
            self.control.root = now + self.random_pause(ROOT_READ_INTERVAL);
            self.read_kv(ROOT_KEY);
        }
        if now >= self.control.hosts {
            self.control.hosts = now + self.random_pause(HOSTS_READ_INTERVAL);
            self.read_kv(LEAVING_HOSTS_KEY);
        }
        if now >= self.control.roster {
            self.control.roster = now + self.random_pause(ROSTER_READ_INTERVAL);
            self.read_kv(ROSTER_KEY);
        }
    }

    pub(super) fn on_kv_reply(&mut self, now: Time, call: KvCall, reply: KvReply) {
        let (KvCall::Get { key } | KvCall::Swap { key, .. }) = &call;
        if let Some(group) = key.strip_prefix(LEASE_PREFIX) {
            let group = group.to_owned();
            self.on_lease_reply(now, &group, reply);
            return;
        }
        if reply == KvReply::Unavailable {
            self.control.kv_failed = true;
            return;
        }
        match (call, reply) {
            (KvCall::Get { key }, KvReply::Value(value)) => self.on_kv_value(now, &key, value),
            (KvCall::Swap { key, .. }, KvReply::Swapped(None)) if key == ROSTER_KEY => {
                // Another router wrote the roster in the meantime: read it again before writing.
                self.control.roster = now + Members::jitter(&mut self.rng, JOIN_INTERVAL);
            }
            _ => {}
        }
    }

    pub(super) fn on_kv_value(&mut self, now: Time, key: &str, value: Option<(Bytes, i64)>) {
        match key {
            ROOT_KEY => {
                self.control.root_read = true;
                self.control.kv_failed = false;
                let root = value.and_then(|(v, _)| serde_json::from_slice(&v).ok());
                if let Some(root) = root
                    && self.sync.offer_stored(root)
                {
                    let missing = self.sync.missing_shards();
                    for hash in missing {
                        self.read_kv(&format!("{SHARD_PREFIX}{hash}"));
                    }
                    self.step_sync(now);
                }
            }
            ROSTER_KEY => self.on_roster(now, value),
            LEAVING_HOSTS_KEY => {
                let list = value.and_then(|(v, _)| serde_json::from_slice::<Vec<String>>(&v).ok());
                self.on_hosts(now, &list.unwrap_or_default());
            }
            _ if key.starts_with(SHARD_PREFIX) => {
                if let Some((content, _)) = value {
                    self.sync.add_shard(content);
                    self.step_sync(now);
                }
            }
            _ => {}
        }
    }

    /// Merges the routers of the roster into the members, and writes the roster if it differs from
    /// the live routers.
    pub(super) fn on_roster(&mut self, now: Time, value: Option<(Bytes, i64)>) {
        let (records, revision) = match value {
            Some((v, revision)) => {
                (serde_json::from_slice::<Vec<Record>>(&v).unwrap_or_default(), revision)
            }
            None => (Vec::new(), 0),
        };
        let alone = self.members.live().next().is_none();
        let listed: Vec<String> = records.iter().map(Record::home).collect();
        let record = self.members.own().clone();
        if alone && self.members.own().state == State::Joining {
            for other in records.iter().filter(|r| r.name != record.name) {
                let message = Message::AskMembers { record: record.clone() };
                self.send(other.peer_address.clone(), message);
            }
        }
        self.members.merge(now, &mut self.rng, &mut self.out, records);
        let live: Vec<Record> = self.members.all().filter(|r| r.is_live()).cloned().collect();
        let homes: Vec<String> = live.iter().map(Record::home).collect();
        let is_current = homes.len() == listed.len() && homes.iter().all(|h| listed.contains(h));
        if is_current {
            return;
        }
        if let Ok(value) = serde_json::to_vec(&live) {
            let (key, value) = (ROSTER_KEY.to_owned(), Bytes::from(value));
            self.call_kv(KvCall::Swap { key, revision, value });
        }
    }
}
