//! Deduplicates requests that may run at most once, by idempotency keys whose home is this router.
//!
//! A key is `{router}.{incarnation}.{epoch}~{suffix}`. An entry answer gives, for each address, the
//! part up to the tilde, so each key names the one incarnation that may run its request and no
//! other owner has to be fenced. The keys of an epoch are kept for one more epoch and are then
//! deleted together. A key of a deleted epoch is refused, so a message that is delayed beyond the
//! retention of its key never runs a second time.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::action::Outcome;
use crate::action::Reason;
use crate::event::RequestId;
use crate::time::Span;
use crate::time::Time;

/// Length of an epoch. A key is valid for one to two epochs.
pub const EPOCH_LENGTH: Span = Span::secs(600);
/// Upper bound on keys in the table.
pub const MAX_KEYS: usize = 100_000;
/// Upper bound on the bytes of all stored answers.
pub const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Upper bound on the length of a key's suffix.
const MAX_SUFFIX_BYTES: usize = 128;
/// Upper bound on the waiters for one request.
const MAX_WAITERS: usize = 16;

/// Prefix of the idempotency keys of a home and epoch.
pub fn prefix(home: &str, epoch: u32) -> String {
    format!("{home}.{epoch:x}~")
}

/// A parsed `Idempotency-Key` header.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Name and incarnation of the router that may run the request.
    pub home: String,
    /// Epoch of the home in which the prefix was issued.
    pub epoch: u32,
    /// Part of the key that the caller chose.
    pub suffix: String,
}

impl Key {
    /// Parses a key; `None` if it is not a prefix of an entry answer followed by a suffix.
    pub fn parse(text: &str) -> Option<Key> {
        let (prefix, suffix) = text.split_once('~')?;
        let (home, epoch) = prefix.rsplit_once('.')?;
        let (name, incarnation) = home.rsplit_once('.')?;
        u64::from_str_radix(incarnation, 16).ok()?;
        let epoch = u32::from_str_radix(epoch, 16).ok()?;
        let is_valid = !name.is_empty() && !suffix.is_empty() && suffix.len() <= MAX_SUFFIX_BYTES;
        is_valid.then(|| Key { home: home.to_owned(), epoch, suffix: suffix.to_owned() })
    }
}

/// Recipient of the outcome of a request with a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Waiter {
    /// A caller of this router.
    Caller(RequestId),
    /// A caller of another router, which forwarded the request.
    Peer {
        /// Peer address of that router.
        address: String,
        /// Number of the request at that router.
        request: RequestId,
    },
}

/// State of the request with a key.
#[derive(Clone, Debug)]
enum Entry {
    Running { digest: [u8; 32], waiters: Vec<Waiter> },
    Done { digest: [u8; 32], outcome: Outcome },
}

/// A key with the outcome of its request, as handed over to a successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finished {
    epoch: u32,
    suffix: String,
    digest: [u8; 32],
    outcome: Outcome,
}

/// One part of the finished keys of a home, sent to its successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// Name and incarnation of the router that issued the keys.
    pub home: String,
    /// Last epoch of the home.
    pub epoch: u32,
    /// Time since the start of that epoch, in microseconds.
    pub age: u64,
    /// Number of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Finished keys of this part.
    pub keys: Vec<Finished>,
}

/// Keys of one home.
#[derive(Debug)]
struct Home {
    /// Current epoch.
    epoch: u32,
    epoch_start: Time,
    /// Last epoch for which a prefix was issued; `None` while this router issues prefixes of the
    /// home.
    last_epoch: Option<u32>,
    keys: BTreeMap<(u32, String), Entry>,
}

/// Parts received so far of a home that is being handed over.
#[derive(Debug)]
struct Incoming {
    parts: BTreeMap<u32, Vec<Finished>>,
    first_received: Time,
}

/// Result of the lookup of a submission with a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// The request must run; the table has recorded it as running.
    Run,
    /// The same submission is running; the waiter was added.
    Join,
    /// The same submission has finished with this outcome.
    Replay(Outcome),
    /// The request must not run. `true` if it is certain that it has not run before.
    Refuse(Reason, bool),
}

/// Keys of this incarnation and of the homes that it has taken over, in bounded memory.
#[derive(Debug)]
pub struct Table {
    own: String,
    homes: BTreeMap<String, Home>,
    incoming: BTreeMap<String, Incoming>,
    /// Bytes of all stored answers.
    bytes: usize,
    /// Whether new keys are refused because of a handover.
    frozen: bool,
}

/// Bytes of an outcome that count towards [`MAX_ANSWER_BYTES`].
fn answer_bytes(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Whole { text, .. } => text.len(),
        Outcome::Refused(_) => 0,
    }
}

impl Table {
    /// Creates the table of the incarnation whose keys begin with `own`.
    pub fn new(own: String, now: Time) -> Table {
        let home = Home { epoch: 1, epoch_start: now, last_epoch: None, keys: BTreeMap::new() };
        let homes = BTreeMap::from([(own.clone(), home)]);
        Table { own, homes, incoming: BTreeMap::new(), bytes: 0, frozen: false }
    }

    /// Whether this router may run requests with keys of `home`.
    pub fn owns(&self, home: &str) -> bool {
        self.homes.contains_key(home)
    }

    /// Current epoch of this incarnation.
    pub fn epoch(&self) -> u32 {
        self.homes.get(&self.own).map_or(0, |h| h.epoch)
    }

    /// Number of keys in the table.
    pub fn len(&self) -> usize {
        self.homes.values().map(|h| h.keys.len()).sum()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of keys whose requests are running.
    pub fn running_count(&self) -> usize {
        let all = self.homes.values().flat_map(|h| h.keys.values());
        all.filter(|e| matches!(e, Entry::Running { .. })).count()
    }

    /// Looks up a submission and, if it may run, records it as running.
    pub fn begin(&mut self, key: &Key, digest: [u8; 32], waiter: Waiter) -> Admission {
        let full = self.len() >= MAX_KEYS || self.bytes >= MAX_ANSWER_BYTES;
        let Some(home) = self.homes.get_mut(&key.home) else {
            return Admission::Refuse(Reason::HomeGone, false);
        };
        let entry_key = (key.epoch, key.suffix.clone());
        match home.keys.get_mut(&entry_key) {
            Some(Entry::Running { digest: d, .. } | Entry::Done { digest: d, .. })
                if *d != digest =>
            {
                Admission::Refuse(Reason::KeyReused, true)
            }
            Some(Entry::Done { outcome, .. }) => Admission::Replay(outcome.clone()),
            Some(Entry::Running { waiters, .. }) => {
                if waiters.contains(&waiter) {
                    return Admission::Join;
                }
                if waiters.len() >= MAX_WAITERS {
                    return Admission::Refuse(Reason::KeyTableFull, false);
                }
                waiters.push(waiter);
                Admission::Join
            }
            None => {
                let newest = home.last_epoch.unwrap_or(home.epoch);
                if key.epoch > newest || key.epoch + 1 < home.epoch {
                    return Admission::Refuse(Reason::KeyExpired, false);
                }
                if self.frozen {
                    return Admission::Refuse(Reason::NotServing, true);
                }
                if full {
                    return Admission::Refuse(Reason::KeyTableFull, true);
                }
                let waiters = vec![waiter];
                home.keys.insert(entry_key, Entry::Running { digest, waiters });
                Admission::Run
            }
        }
    }

    /// Records the outcome of a running request and returns its waiters.
    ///
    /// The key of a request that did not run is deleted, so that a retry may run.
    pub fn finish(&mut self, key: &Key, outcome: &Outcome) -> Vec<Waiter> {
        let Some(home) = self.homes.get_mut(&key.home) else {
            return Vec::new();
        };
        let entry_key = (key.epoch, key.suffix.clone());
        let Some(Entry::Running { digest, waiters }) = home.keys.remove(&entry_key) else {
            return Vec::new();
        };
        let ran = !matches!(
            outcome,
            Outcome::Refused(r) if r.verdict == crate::action::Verdict::NotRun
        );
        if ran {
            self.bytes += answer_bytes(outcome);
            home.keys.insert(entry_key, Entry::Done { digest, outcome: outcome.clone() });
        }
        waiters
    }

    /// Advances the epochs and deletes the keys of expired ones, except those of running requests;
    /// `true` if this incarnation's epoch changed.
    pub fn tick(&mut self, now: Time) -> bool {
        let before = self.epoch();
        let mut freed_bytes = 0;
        for home in self.homes.values_mut() {
            while now.since(home.epoch_start) >= EPOCH_LENGTH {
                home.epoch_start = home.epoch_start + EPOCH_LENGTH;
                home.epoch += 1;
                let epoch = home.epoch;
                home.keys.retain(|(e, _), entry| {
                    let keep = e + 1 >= epoch || matches!(entry, Entry::Running { .. });
                    if let (false, Entry::Done { outcome, .. }) = (keep, &*entry) {
                        freed_bytes += answer_bytes(outcome);
                    }
                    keep
                });
            }
        }
        self.bytes = self.bytes.saturating_sub(freed_bytes);
        let own = self.own.clone();
        self.homes.retain(|name, home| {
            let is_expired = home.last_epoch.is_some_and(|last| home.epoch > last + 1);
            *name == own || !is_expired || !home.keys.is_empty()
        });
        self.incoming.retain(|_, a| now.since(a.first_received) < EPOCH_LENGTH);
        self.epoch() != before
    }

    /// Refuses all new keys from now on, because a successor may own the keys.
    pub fn freeze(&mut self) {
        self.frozen = true;
    }

    /// Whether new keys are refused because of a handover.
    pub fn is_frozen(&self) -> bool {
        self.frozen
    }

    /// The finished keys of all homes, in parts of about `max_part_bytes` each.
    pub fn hand_over(&self, now: Time, max_part_bytes: usize) -> Vec<Handover> {
        let mut all = Vec::new();
        for (name, home) in &self.homes {
            let mut parts = vec![Vec::new()];
            let mut size = 0;
            for ((epoch, suffix), entry) in &home.keys {
                let Entry::Done { digest, outcome } = entry else {
                    continue;
                };
                let (suffix, outcome) = (suffix.clone(), outcome.clone());
                size += answer_bytes(&outcome) + suffix.len() + 64;
                if size > max_part_bytes {
                    parts.push(Vec::new());
                    size = 0;
                }
                let finished = Finished { epoch: *epoch, suffix, digest: *digest, outcome };
                if let Some(part) = parts.last_mut() {
                    part.push(finished);
                }
            }
            let count = parts.len() as u32;
            all.extend(parts.into_iter().enumerate().map(|(i, keys)| Handover {
                home: name.clone(),
                epoch: home.epoch,
                age: now.since(home.epoch_start).0,
                part: i as u32,
                parts: count,
                keys,
            }));
        }
        all
    }

    /// Adds one part of the keys of a stopping router; `true` once this router owns the home.
    ///
    /// The home is owned only after all parts have arrived: a request whose key is in a missing
    /// part would be taken for a new one and run a second time.
    pub fn take_over(&mut self, now: Time, part: Handover) -> bool {
        if self.homes.contains_key(&part.home) {
            return true;
        }
        let incoming = self
            .incoming
            .entry(part.home.clone())
            .or_insert_with(|| Incoming { parts: BTreeMap::new(), first_received: now });
        incoming.parts.insert(part.part, part.keys);
        if (incoming.parts.len() as u64) < u64::from(part.parts) {
            return false;
        }
        let Some(complete) = self.incoming.remove(&part.home) else {
            return false;
        };
        let mut home = Home {
            epoch: part.epoch,
            epoch_start: now - Span(part.age),
            last_epoch: Some(part.epoch),
            keys: BTreeMap::new(),
        };
        for finished in complete.parts.into_values().flatten() {
            self.bytes += answer_bytes(&finished.outcome);
            let Finished { epoch, suffix, digest, outcome } = finished;
            home.keys.insert((epoch, suffix), Entry::Done { digest, outcome });
        }
        self.homes.insert(part.home, home);
        true
    }
}

/// Digest of the organisation, target and body, which a retry must share with the first submission.
pub fn digest(organisation: &str, target: &str, body: &Bytes) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [organisation.as_bytes(), target.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}
