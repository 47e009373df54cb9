//! Membership: which routers there are, and which of them callers may be sent to.
//!
//! Every router is probed by the two routers before it in a ring of hashed names, so that a dead
//! one is noticed within a bounded time at any fleet size, and by one random router for repair.
//! Changes are sent on at once to a few random routers and ride on probes. A router that does not
//! answer is dialled anew before it is suspected, and suspected before it is dead; only its owner
//! can clear it, with a higher version of its record.

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

/// Time between two rounds of probes.
pub const PROBE_INTERVAL: Span = Span::secs(1);
/// A probe without an answer for this long is repeated over a new connection.
pub const REDIAL_TIMEOUT: Span = Span::millis(300);
/// A probe without an answer for this long makes its target suspected.
pub const SUSPECT_TIMEOUT: Span = Span::millis(900);
/// A suspected router that does not object for this long is dead.
pub const DEATH_TIMEOUT: Span = Span::millis(2_500);
/// Time after which a router that left or died is forgotten.
pub const RETENTION: Span = Span::secs(7_200);
const RING_TARGETS: usize = 2;
const FANOUT: usize = 4;
const MAX_PIGGYBACKS: u32 = 6;
const MAX_PIGGYBACKED_RECORDS: usize = 8;
const DEAD_PROBE_INTERVAL: Span = Span::secs(5);
const MAX_MEMBERS: usize = 4_096;
const MAX_RELAYS: usize = 256;
const REPAIR_INTERVAL: Span = Span::secs(5);

#[derive(Debug)]
struct Member {
    record: Record,
    since: Time,
    piggybacks: u32,
}

#[derive(Clone, Debug)]
struct PendingProbe {
    name: String,
    sent: Time,
    redialled: bool,
}

/// A probe as it arrived.
#[derive(Debug)]
pub struct ReceivedProbe {
    /// Number to be repeated in the answer.
    pub sequence: u64,
    /// The asker has dialled anew.
    pub anew: bool,
    /// What rode along.
    pub gossip: Gossip,
}

/// A probe made for another router.
#[derive(Debug)]
struct Relay {
    asker: String,
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
    own_piggybacks: u32,
    config_version: u64,
    changes: u64,
}

impl Members {
    /// A table that holds only this router.
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

    /// All records but this router's, in name order.
    pub fn others(&self) -> impl Iterator<Item = &Record> + Clone {
        self.others.values().map(|m| &m.record)
    }

    /// All records, this router's first.
    pub fn all(&self) -> impl Iterator<Item = &Record> {
        std::iter::once(&self.own).chain(self.others())
    }

    /// Live routers but this one.
    pub fn live(&self) -> impl Iterator<Item = &Record> + Clone {
        self.others().filter(|r| r.is_live())
    }

    /// Number of changes to the table so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Sets the configuration version that piggybacks on probes.
    pub fn set_config_version(&mut self, version: u64) {
        self.config_version = version;
    }

    /// Changes this router's own record and sends the change on.
    pub fn update(
        &mut self,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
        change: impl FnOnce(&mut Record),
    ) {
        change(&mut self.own);
        self.own.version += 1;
        self.own_piggybacks = MAX_PIGGYBACKS;
        let news = self.gossip_of(vec![self.own.clone()]);
        self.broadcast(rng, out, news);
    }

    /// The live router that is the home of keys with this base.
    pub fn find_home(&self, base: &str) -> Option<&Record> {
        let live = self.all().filter(|r| r.is_live());
        let mut live = live.filter(|r| r.home() == base || r.adopted.iter().any(|a| a == base));
        live.next()
    }

    fn gossip_of(&self, records: Vec<Record>) -> Gossip {
        Gossip { records, version: self.config_version, digest: self.digest() }
    }

    /// An order-free digest of all records.
    fn digest(&self) -> u64 {
        let each = self.all().map(|r| {
            let version = r.version.to_le_bytes();
            let incarnation = r.incarnation.to_le_bytes();
            fnv1a(&[r.name.as_bytes(), &incarnation, &version, &[r.verdict as u8]])
        });
        each.fold(0, |a, b| a ^ b)
    }

    /// Records for a probe to `to`: recent changes, and what is held against `to` itself.
    fn gossip_for(&mut self, to: &str) -> Gossip {
        let mut records = Vec::new();
        if self.own_piggybacks > 0 {
            self.own_piggybacks -= 1;
            records.push(self.own.clone());
        }
        let held = self.others.get(to).filter(|m| m.record.verdict != Verdict::Alive);
        records.extend(held.map(|m| m.record.clone()));
        let fresh = self.others.values_mut().filter(|m| m.piggybacks > 0 && m.record.name != to);
        for member in fresh.take(MAX_PIGGYBACKED_RECORDS) {
            member.piggybacks -= 1;
            records.push(member.record.clone());
        }
        self.gossip_of(records)
    }

    fn broadcast(&self, rng: &mut SmallRng, out: &mut Vec<Action>, news: Gossip) {
        let live: Vec<&Record> = self.live().collect();
        for record in live.choose_multiple(rng, FANOUT) {
            let message = Message::News(news.clone());
            out.push(Action::Send { address: record.peer_address.clone(), message });
        }
    }

    /// Tells a few routers of the configuration version in force here.
    pub fn announce_version(&self, rng: &mut SmallRng, out: &mut Vec<Action>) {
        let news = self.gossip_of(Vec::new());
        self.broadcast(rng, out, news);
    }

    /// Takes records in; changes are sent on, and lines logged.
    pub fn merge(
        &mut self,
        now: Time,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
        records: Vec<Record>,
    ) {
        let mut news = Vec::new();
        for record in records {
            if record.name == self.own.name {
                self.refute(&record, &mut news);
                continue;
            }
            if let Some(record) = self.merge_record(now, record, out) {
                news.push(record);
            }
        }
        if !news.is_empty() {
            let gossip = self.gossip_of(news);
            self.broadcast(rng, out, gossip);
        }
    }

    /// A verdict against this router is cleared by a higher version of its own record.
    fn refute(&mut self, claim: &Record, news: &mut Vec<Record>) {
        if claim.incarnation != self.own.incarnation {
            return;
        }
        if claim.version >= self.own.version && claim.verdict != Verdict::Alive {
            self.own.version = claim.version + 1;
            self.own_piggybacks = MAX_PIGGYBACKS;
            news.push(self.own.clone());
        }
    }

    fn merge_record(&mut self, now: Time, record: Record, out: &mut Vec<Action>) -> Option<Record> {
        let known = self.others.get(&record.name);
        if known.is_some_and(|m| record.precedence() <= m.record.precedence()) {
            return None;
        }
        if known.is_none() && self.others.len() >= MAX_MEMBERS {
            return None;
        }
        let changed = known.is_none_or(|m| {
            (m.record.state, m.record.verdict) != (record.state, record.verdict)
                || m.record.incarnation != record.incarnation
        });
        if changed {
            let line = Line::new("member_changed").with("member", &record.name);
            let line = line.with("state", record.state).with("verdict", record.verdict);
            out.push(Action::Log(line));
        }
        self.changes += 1;
        let member = Member { record: record.clone(), since: now, piggybacks: MAX_PIGGYBACKS };
        self.others.insert(record.name.clone(), member);
        Some(record)
    }

    /// The routers behind this one in the ring of hashed names.
    fn ring_successors(&self) -> Vec<String> {
        let place = |name: &str| rendezvous::hash(&[name.as_bytes()]);
        let own = place(&self.own.name);
        let mut order: Vec<(u64, &str)> =
            self.live().map(|r| (place(&r.name).wrapping_sub(own), r.name.as_str())).collect();
        order.sort_unstable();
        order.into_iter().take(RING_TARGETS).map(|(_, n)| n.to_owned()).collect()
    }

    /// Sends due probes and judges those without an answer.
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
            // A partition makes each side bury the other; only a probe across can heal it.
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
        self.others.retain(|_, m| m.record.is_live() || now.since(m.since) < RETENTION);
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

    /// Takes a probe in and answers it.
    ///
    /// A connection can be silent one way only as well: the answer to a probe that was sent anew
    /// goes over a new connection too, or the asker would judge this router by an old one.
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

    /// Takes the answer to a probe in.
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
            && let Some(asker) = self.others.get(&relay.asker)
        {
            let address = asker.record.peer_address.clone();
            let message = Message::Answer { sequence: relay.sequence, gossip: gossip.clone() };
            out.push(Action::Send { address, message });
        }
        self.probes.remove(&sequence);
        let digest = gossip.digest;
        self.merge(now, rng, out, gossip.records);
        if digest != self.digest() && now.since(self.last_repair) >= REPAIR_INTERVAL {
            // Gossip is lossy; tables that still differ are exchanged whole, at most this often.
            self.last_repair = now;
            if let Some(record) = self.get(from) {
                let address = record.peer_address.clone();
                let message = Message::AskMembers { record: self.own.clone() };
                out.push(Action::Send { address, message });
            }
        }
    }

    /// Probes `address` for another router.
    pub fn on_probe_for(
        &mut self,
        now: Time,
        out: &mut Vec<Action>,
        asker: &str,
        sequence: u64,
        address: String,
    ) {
        let known = self.others.values().any(|m| m.record.peer_address == address);
        if !known || self.relays.len() >= MAX_RELAYS {
            return;
        }
        self.sequence += 1;
        let relay = Relay { asker: asker.to_owned(), sequence, sent: now };
        self.relays.insert(self.sequence, relay);
        let gossip = self.gossip_of(Vec::new());
        let message = Message::Probe { sequence: self.sequence, anew: false, gossip };
        out.push(Action::Send { address, message });
    }

    /// Sends the whole table to a router that asks for it.
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

    /// A random delay below `span`, to spread work of many routers.
    pub fn jitter(rng: &mut SmallRng, span: Span) -> Span {
        Span(rng.random_range(0..span.0.max(1)))
    }
}

/// FNV-1a over `parts`; the digest is compared, not trusted.
fn fnv1a(parts: &[&[u8]]) -> u64 {
    let bytes = parts.iter().flat_map(|p| p.iter());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325, |h: u64, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    hash ^ (hash >> 29)
}
