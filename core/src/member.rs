//! Tracks the membership of the fleet: its routers, and which of them accept callers.
//!
//! The protocol is similar to SWIM. Each router probes the next two routers in a ring of hashed
//! names, so that a failure is detected within a bounded time at any fleet size, and one random
//! router, so that differing tables are repaired. Changed records are sent to a few random routers
//! at once and piggybacked on probes. A router that does not answer is redialled, then suspected,
//! then declared dead; only the router itself can refute this, by a higher version of its record.

mod detection;
mod record;

use std::collections::BTreeMap;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::action::Action;
use crate::action::Line;
use crate::peer::Gossip;
use crate::peer::Message;
use crate::rendezvous;
use crate::time::Span;
use crate::time::Time;

pub use self::record::Record;
pub use self::record::State;
pub use self::record::Verdict;
pub use self::record::home;

/// Interval between rounds of probes.
pub const PROBE_INTERVAL: Span = Span::secs(1);
/// Time without an answer after which a probe is repeated over a new connection.
pub const REDIAL_TIMEOUT: Span = Span::millis(300);
/// Time without an answer to a probe after which its target is suspected.
pub const SUSPECT_TIMEOUT: Span = Span::millis(900);
/// Time without a refutation after which a suspected router is declared dead.
pub const DEATH_TIMEOUT: Span = Span::millis(2_500);
/// Retention of the record of a router that left or died.
pub const RETENTION: Span = Span::secs(7_200);
/// Number of routers after this one in the ring that it probes in each round.
const RING_TARGETS: usize = 2;
/// Number of random routers that a change is sent to at once.
const FANOUT: usize = 4;
/// Number of probes and answers that carry a changed record.
const MAX_PIGGYBACKS: u32 = 6;
/// Upper bound on changed records of other routers in one probe or answer.
const MAX_PIGGYBACKED_RECORDS: usize = 8;
/// Interval between probes of dead routers. Only such a probe reunites the sides of a partition.
const DEAD_PROBE_INTERVAL: Span = Span::secs(5);
/// Upper bound on other routers in the table.
const MAX_MEMBERS: usize = 4_096;
/// Upper bound on probes that are pending for other routers.
const MAX_RELAYS: usize = 256;
/// Shortest interval between requests for the whole table of a peer.
const REPAIR_INTERVAL: Span = Span::secs(5);

#[derive(Debug)]
struct Member {
    record: Record,
    /// Time of the last change of the record.
    updated_at: Time,
    /// Number of times that the record is still to be piggybacked.
    piggybacks: u32,
}

/// A probe of this router without an answer so far.
#[derive(Clone, Debug)]
struct PendingProbe {
    name: String,
    sent: Time,
    redialled: bool,
}

/// A probe received from another router.
#[derive(Debug)]
pub struct ReceivedProbe {
    /// Sequence number to return in the answer.
    pub sequence: u64,
    /// Whether the sender opened a new connection for this probe.
    pub anew: bool,
    /// Piggybacked gossip.
    pub gossip: Gossip,
}

/// A probe made on behalf of another router.
#[derive(Debug)]
struct Relay {
    requester: String,
    /// Sequence number of the requester's probe.
    sequence: u64,
    sent: Time,
}

/// The member table of one router.
#[derive(Debug)]
pub struct Members {
    own: Record,
    others: BTreeMap<String, Member>,
    probes: BTreeMap<u64, PendingProbe>,
    relays: BTreeMap<u64, Relay>,
    sequence: u64,
    last_round: Time,
    last_tick: Time,
    last_dead_probe: Time,
    last_repair: Time,
    /// Number of times that this router's own record is still to be piggybacked.
    own_piggybacks: u32,
    config_version: u64,
    changes: u64,
}

impl Members {
    /// Creates a table that contains only this router.
    pub fn new(own: Record) -> Members {
        Members {
            own,
            others: BTreeMap::new(),
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            sequence: 0,
            last_round: Time(0),
            last_tick: Time(0),
            last_dead_probe: Time(0),
            last_repair: Time(0),
            own_piggybacks: MAX_PIGGYBACKS,
            config_version: 0,
            changes: 0,
        }
    }

    /// This router's record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// The record of the router called `name`.
    pub fn get(&self, name: &str) -> Option<&Record> {
        if name == self.own.name {
            return Some(&self.own);
        }
        self.others.get(name).map(|m| &m.record)
    }

    /// Records of all other routers, in the order of their names.
    pub fn others(&self) -> impl Iterator<Item = &Record> + Clone {
        self.others.values().map(|m| &m.record)
    }

    /// All records, this router's first.
    pub fn all(&self) -> impl Iterator<Item = &Record> {
        std::iter::once(&self.own).chain(self.others())
    }

    /// Records of all other live routers.
    pub fn live(&self) -> impl Iterator<Item = &Record> + Clone {
        self.others().filter(|r| r.is_live())
    }

    /// Number of changes to the table so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Sets the configuration version to gossip.
    pub fn set_config_version(&mut self, version: u64) {
        self.config_version = version;
    }

    /// Changes this router's own record and disseminates it.
    pub fn update(
        &mut self,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
        change: impl FnOnce(&mut Record),
    ) {
        change(&mut self.own);
        self.own.version += 1;
        self.own_piggybacks = MAX_PIGGYBACKS;
        let gossip = self.gossip_of(vec![self.own.clone()]);
        self.disseminate(rng, out, gossip);
    }

    /// The live router that owns the idempotency keys of `home`.
    pub fn find_home(&self, home: &str) -> Option<&Record> {
        let live = self.all().filter(|r| r.is_live());
        let mut live = live.filter(|r| r.home() == home || r.adopted.iter().any(|a| a == home));
        live.next()
    }

    fn gossip_of(&self, records: Vec<Record>) -> Gossip {
        Gossip { records, version: self.config_version, digest: self.digest() }
    }

    /// Digest of all records, independent of their order.
    fn digest(&self) -> u64 {
        let each = self.all().map(|r| {
            let version = r.version.to_le_bytes();
            let incarnation = r.incarnation.to_le_bytes();
            fnv1a(&[r.name.as_bytes(), &incarnation, &version, &[r.verdict as u8]])
        });
        each.fold(0, |a, b| a ^ b)
    }

    /// Gossip for a probe or answer to `to`: recent changes, and any suspicion of `to`, so that the
    /// receiver can refute it.
    fn gossip_for(&mut self, to: &str) -> Gossip {
        let mut records = Vec::new();
        if self.own_piggybacks > 0 {
            self.own_piggybacks -= 1;
            records.push(self.own.clone());
        }
        let suspicion = self.others.get(to).filter(|m| m.record.verdict != Verdict::Alive);
        records.extend(suspicion.map(|m| m.record.clone()));
        let recent = self.others.values_mut().filter(|m| m.piggybacks > 0 && m.record.name != to);
        for member in recent.take(MAX_PIGGYBACKED_RECORDS) {
            member.piggybacks -= 1;
            records.push(member.record.clone());
        }
        self.gossip_of(records)
    }

    /// Sends gossip to a few random live routers.
    fn disseminate(&self, rng: &mut SmallRng, out: &mut Vec<Action>, gossip: Gossip) {
        let live: Vec<&Record> = self.live().collect();
        for record in live.choose_multiple(rng, FANOUT) {
            let message = Message::News(gossip.clone());
            out.push(Action::Send { address: record.peer_address.clone(), message });
        }
    }

    /// Sends the version of the configuration in force to a few routers.
    pub fn announce_version(&self, rng: &mut SmallRng, out: &mut Vec<Action>) {
        let gossip = self.gossip_of(Vec::new());
        self.disseminate(rng, out, gossip);
    }

    /// Merges records and disseminates those that changed.
    pub fn merge(
        &mut self,
        now: Time,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
        records: Vec<Record>,
    ) {
        let mut changed = Vec::new();
        for record in records {
            if record.name == self.own.name {
                self.refute(&record, &mut changed);
                continue;
            }
            if let Some(record) = self.merge_record(now, record, out) {
                changed.push(record);
            }
        }
        if !changed.is_empty() {
            let gossip = self.gossip_of(changed);
            self.disseminate(rng, out, gossip);
        }
    }

    /// Refutes a suspicion of this router by a higher version of its own record.
    fn refute(&mut self, suspicion: &Record, changed: &mut Vec<Record>) {
        if suspicion.incarnation != self.own.incarnation {
            return;
        }
        if suspicion.version >= self.own.version && suspicion.verdict != Verdict::Alive {
            self.own.version = suspicion.version + 1;
            self.own_piggybacks = MAX_PIGGYBACKS;
            changed.push(self.own.clone());
        }
    }

    /// Merges one record of another router; returns it if it replaces the stored one.
    fn merge_record(&mut self, now: Time, record: Record, out: &mut Vec<Action>) -> Option<Record> {
        let existing = self.others.get(&record.name);
        if existing.is_some_and(|m| record.precedence() <= m.record.precedence()) {
            return None;
        }
        if existing.is_none() && self.others.len() >= MAX_MEMBERS {
            return None;
        }
        let is_changed = existing.is_none_or(|m| {
            (m.record.state, m.record.verdict) != (record.state, record.verdict)
                || m.record.incarnation != record.incarnation
        });
        if is_changed {
            let line = Line::new("member_changed").with("member", &record.name);
            let line = line.with("state", record.state).with("verdict", record.verdict);
            out.push(Action::Log(line));
        }
        self.changes += 1;
        let member = Member { record: record.clone(), updated_at: now, piggybacks: MAX_PIGGYBACKS };
        self.others.insert(record.name.clone(), member);
        Some(record)
    }

    /// The routers after this one in the ring of hashed names.
    fn ring_successors(&self) -> Vec<String> {
        let position = |name: &str| rendezvous::hash(&[name.as_bytes()]);
        let own = position(&self.own.name);
        let mut order: Vec<(u64, &str)> =
            self.live().map(|r| (position(&r.name).wrapping_sub(own), r.name.as_str())).collect();
        order.sort_unstable();
        order.into_iter().take(RING_TARGETS).map(|(_, n)| n.to_owned()).collect()
    }

    /// Sends due probes and evaluates those without an answer.
    pub fn tick(&mut self, now: Time, rng: &mut SmallRng, out: &mut Vec<Action>) {
        self.extend_deadlines(now);
        self.detect_failures(now, rng, out);
        if now.since(self.last_round) < PROBE_INTERVAL {
            return;
        }
        self.last_round = now;
        let mut targets = self.ring_successors();
        let live: Vec<String> = self.live().map(|r| r.name.clone()).collect();
        if let Some(name) = live.choose(rng)
            && !targets.contains(name)
        {
            targets.push(name.clone());
        }
        if now.since(self.last_dead_probe) >= DEAD_PROBE_INTERVAL {
            self.last_dead_probe = now;
            // After a partition, the routers of each side have declared those of the other dead;
            // only a probe of a dead router reunites them.
            let dead = self
                .others
                .values()
                .filter(|m| m.record.verdict == Verdict::Dead && m.record.state != State::Left);
            let dead: Vec<String> = dead.map(|m| m.record.name.clone()).collect();
            targets.extend(dead.choose(rng).cloned());
        }
        for name in targets {
            self.probe(now, out, name);
        }
        let before = self.others.len();
        self.others.retain(|_, m| m.record.is_live() || now.since(m.updated_at) < RETENTION);
        self.changes += (before - self.others.len()) as u64;
        self.relays.retain(|_, r| now.since(r.sent) < DEATH_TIMEOUT);
    }

    fn probe(&mut self, now: Time, out: &mut Vec<Action>, name: String) {
        if self.probes.values().any(|p| p.name == name) {
            return;
        }
        let gossip = self.gossip_for(&name);
        let Some(member) = self.others.get(&name) else {
            return;
        };
        self.sequence += 1;
        let sequence = self.sequence;
        let address = member.record.peer_address.clone();
        let message = Message::Probe { sequence, anew: false, gossip };
        out.push(Action::Send { address, message });
        self.probes.insert(sequence, PendingProbe { name, sent: now, redialled: false });
    }

    /// Answers a probe.
    ///
    /// A connection may lose messages in one direction only. The answer to a probe over a new
    /// connection is therefore sent over a new connection too; over an old one it might be lost,
    /// and the sender would suspect this router.
    pub fn on_probe(
        &mut self,
        now: Time,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
        from: &str,
        probe: ReceivedProbe,
    ) {
        let ReceivedProbe { sequence, anew, gossip } = probe;
        self.merge(now, rng, out, gossip.records);
        let answer = self.gossip_for(from);
        if let Some(record) = self.get(from) {
            let address = record.peer_address.clone();
            if anew {
                out.push(Action::Redial(address.clone()));
            }
            let message = Message::Answer { sequence, gossip: answer };
            out.push(Action::Send { address, message });
        }
    }

    /// Handles the answer to a probe, and relays it if the probe was made for another router.
    pub fn on_answer(
        &mut self,
        now: Time,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
        from: &str,
        sequence: u64,
        gossip: Gossip,
    ) {
        if let Some(relay) = self.relays.remove(&sequence)
            && let Some(requester) = self.others.get(&relay.requester)
        {
            let address = requester.record.peer_address.clone();
            let message = Message::Answer { sequence: relay.sequence, gossip: gossip.clone() };
            out.push(Action::Send { address, message });
        }
        self.probes.remove(&sequence);
        let digest = gossip.digest;
        self.merge(now, rng, out, gossip.records);
        if digest != self.digest() && now.since(self.last_repair) >= REPAIR_INTERVAL {
            // Piggybacked changes may be lost. Tables that still differ are exchanged as a whole.
            self.last_repair = now;
            if let Some(record) = self.get(from) {
                let address = record.peer_address.clone();
                let message = Message::AskMembers { record: self.own.clone() };
                out.push(Action::Send { address, message });
            }
        }
    }

    /// Probes `address` on behalf of another router.
    pub fn on_probe_for(
        &mut self,
        now: Time,
        out: &mut Vec<Action>,
        requester: &str,
        sequence: u64,
        address: String,
    ) {
        let is_member = self.others.values().any(|m| m.record.peer_address == address);
        if !is_member || self.relays.len() >= MAX_RELAYS {
            return;
        }
        self.sequence += 1;
        let relay = Relay { requester: requester.to_owned(), sequence, sent: now };
        self.relays.insert(self.sequence, relay);
        let gossip = self.gossip_of(Vec::new());
        let message = Message::Probe { sequence: self.sequence, anew: false, gossip };
        out.push(Action::Send { address, message });
    }

    /// Sends the whole table to a router that requests it.
    pub fn on_ask_members(
        &mut self,
        now: Time,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
        record: Record,
    ) {
        let address = record.peer_address.clone();
        self.merge(now, rng, out, vec![record]);
        let message = Message::Members(self.all().cloned().collect());
        out.push(Action::Send { address, message });
    }

    /// A random delay below `span`, which spreads the work of many routers over time.
    pub fn jitter(rng: &mut SmallRng, span: Span) -> Span {
        Span(rng.random_range(0..span.0.max(1)))
    }
}

/// FNV-1a hash over `parts`, for comparison of tables; not resistant to deliberate collisions.
fn fnv1a(parts: &[&[u8]]) -> u64 {
    let bytes = parts.iter().flat_map(|p| p.iter());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325, |h: u64, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    hash ^ (hash >> 29)
}
