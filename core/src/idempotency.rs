//! Requests that may run at most once: the table of keys whose home is this router.
//!
//! A key is `{router}.{incarnation}.{epoch}~{suffix}`. An entry answer gives, for each address, everything up to the
//! tilde, so every key names the one incarnation that may run it; there is no second owner to
//! fence. Keys of an epoch are kept until the epoch is over and one more has passed, then
//! forgotten together; a key of a forgotten epoch is refused, never run. That is what makes
//! "forgotten" safe: a message delayed past the memory of the table can't run a second time.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::action::Outcome;
use crate::action::Reason;
use crate::event::RequestId;
use crate::time::Span;
use crate::time::Time;

/// Length of an epoch. A key is good for one to two epochs.
pub const EPOCH_LENGTH: Span = Span::secs(600);
/// Most keys remembered.
pub const MAX_KEYS: usize = 100_000;
/// Most bytes of answers remembered.
pub const MAX_ANSWER_BYTES: usize = 64 << 20;
const MAX_SUFFIX_BYTES: usize = 128;
const MAX_WAITERS: usize = 16;

/// What an `Idempotency-Key` begins with.
pub fn prefix(home: &str, epoch: u32) -> String {
    format!("{home}.{epoch:x}~")
}

/// A parsed `Idempotency-Key`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Home: name and incarnation of the owner.
    pub home: String,
    /// Epoch of the home in which the prefix was given out.
    pub epoch: u32,
    /// The caller's own part.
    pub suffix: String,
}

impl Key {
    /// Reads a key; `None` if it does not have the form of an entry answer's prefix and a suffix.
    pub fn parse(text: &str) -> Option<Key> {
        let (prefix, suffix) = text.split_once('~')?;
        let (home, epoch) = prefix.rsplit_once('.')?;
        let (name, incarnation) = home.rsplit_once('.')?;
        u64::from_str_radix(incarnation, 16).ok()?;
        let epoch = u32::from_str_radix(epoch, 16).ok()?;
        let fits = !name.is_empty() && !suffix.is_empty() && suffix.len() <= MAX_SUFFIX_BYTES;
        fits.then(|| Key { home: home.to_owned(), epoch, suffix: suffix.to_owned() })
    }
}

/// Who waits for the end of a keyed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Waiter {
    /// A caller of this router.
    Caller(RequestId),
    /// A caller of the router at this peer address.
    Peer {
        /// Peer address.
        address: String,
        /// Number of the request there.
        request: RequestId,
    },
}

#[derive(Clone, Debug)]
enum Entry {
    Running { digest: [u8; 32], waiters: Vec<Waiter> },
    Done { digest: [u8; 32], outcome: Outcome },
}

/// A finished key as it is handed over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finished {
    epoch: u32,
    suffix: String,
    digest: [u8; 32],
    outcome: Outcome,
}

/// One part of a home's keys, for its successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// The home.
    pub home: String,
    /// Its last epoch.
    pub epoch: u32,
    /// Time since that epoch began, in microseconds.
    pub age: u64,
    /// Number of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Keys of this part.
    pub keys: Vec<Finished>,
}

#[derive(Debug)]
struct Home {
    /// Current epoch.
    epoch: u32,
    began: Time,
    /// No prefix of a later epoch than this was ever given out; `None` while it still gives.
    last: Option<u32>,
    keys: BTreeMap<(u32, String), Entry>,
}

#[derive(Debug)]
struct Incoming {
    parts: BTreeMap<u32, Vec<Finished>>,
    began: Time,
}

/// What to do with a submission that has a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// Run it; the table waits for its end.
    Run,
    /// The same submission is in progress; the waiter was added.
    Join,
    /// It has ended; this is the answer.
    Replay(Outcome),
    /// It must not run. `true` if it certainly never did.
    Refuse(Reason, bool),
}

/// Keys of this incarnation and of those it has taken over, in bounded memory.
#[derive(Debug)]
pub struct Table {
    own: String,
    homes: BTreeMap<String, Home>,
    incoming: BTreeMap<String, Incoming>,
    bytes: usize,
    frozen: bool,
}

fn answer_bytes(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Whole { text, .. } => text.len(),
        Outcome::Refused(_) => 0,
    }
}

impl Table {
    /// The table of the incarnation whose keys begin with `own`.
    pub fn new(own: String, now: Time) -> Table {
        let home = Home { epoch: 1, began: now, last: None, keys: BTreeMap::new() };
        let homes = BTreeMap::from([(own.clone(), home)]);
        Table { own, homes, incoming: BTreeMap::new(), bytes: 0, frozen: false }
    }

    /// Whether this router runs keys of `home`.
    pub fn owns(&self, home: &str) -> bool {
        self.homes.contains_key(home)
    }

    /// Current epoch of this incarnation.
    pub fn epoch(&self) -> u32 {
        self.homes.get(&self.own).map_or(0, |h| h.epoch)
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.homes.values().map(|h| h.keys.len()).sum()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Keys in progress.
    pub fn running_count(&self) -> usize {
        let all = self.homes.values().flat_map(|h| h.keys.values());
        all.filter(|e| matches!(e, Entry::Running { .. })).count()
    }

    /// Looks a submission up and, if it may run, notes that it does.
    pub fn begin(&mut self, key: &Key, digest: [u8; 32], waiter: Waiter) -> Admission {
        let full = self.len() >= MAX_KEYS || self.bytes >= MAX_ANSWER_BYTES;
        let Some(home) = self.homes.get_mut(&key.home) else {
            return Admission::Refuse(Reason::HomeGone, false);
        };
        let slot = (key.epoch, key.suffix.clone());
        match home.keys.get_mut(&slot) {
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
                let newest = home.last.unwrap_or(home.epoch);
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
                home.keys.insert(slot, Entry::Running { digest, waiters });
                Admission::Run
            }
        }
    }

    /// Notes the end of a running key and returns who waits for it.
    ///
    /// A request that did not run leaves no trace, so a retry may run.
    pub fn finish(&mut self, key: &Key, outcome: &Outcome) -> Vec<Waiter> {
        let Some(home) = self.homes.get_mut(&key.home) else {
            return Vec::new();
        };
        let slot = (key.epoch, key.suffix.clone());
        let Some(Entry::Running { digest, waiters }) = home.keys.remove(&slot) else {
            return Vec::new();
        };
        let ran = !matches!(
            outcome,
            Outcome::Refused(r) if r.verdict == crate::action::Verdict::NotRun
        );
        if ran {
            self.bytes += answer_bytes(outcome);
            home.keys.insert(slot, Entry::Done { digest, outcome: outcome.clone() });
        }
        waiters
    }

    /// Moves epochs on and forgets keys of old ones; `true` if this incarnation's epoch changed.
    pub fn tick(&mut self, now: Time) -> bool {
        let before = self.epoch();
        let mut freed = 0;
        for home in self.homes.values_mut() {
            while now.since(home.began) >= EPOCH_LENGTH {
                home.began = home.began + EPOCH_LENGTH;
                home.epoch += 1;
                let epoch = home.epoch;
                home.keys.retain(|(e, _), entry| {
                    let keep = e + 1 >= epoch || matches!(entry, Entry::Running { .. });
                    if let (false, Entry::Done { outcome, .. }) = (keep, &*entry) {
                        freed += answer_bytes(outcome);
                    }
                    keep
                });
            }
        }
        self.bytes = self.bytes.saturating_sub(freed);
        let own = self.own.clone();
        self.homes.retain(|name, home| {
            let spent = home.last.is_some_and(|last| home.epoch > last + 1);
            *name == own || !spent || !home.keys.is_empty()
        });
        self.incoming.retain(|_, a| now.since(a.began) < EPOCH_LENGTH);
        self.epoch() != before
    }

    /// Lets no new key begin, for good: from here on a successor may own the keys.
    pub fn freeze(&mut self) {
        self.frozen = true;
    }

    /// Whether no new key begins here any more.
    pub fn is_frozen(&self) -> bool {
        self.frozen
    }

    /// The finished keys of all homes, in parts of at most `most` answer bytes each.
    pub fn hand_over(&self, now: Time, most: usize) -> Vec<Handover> {
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
                if size > most {
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
                age: now.since(home.began).0,
                part: i as u32,
                parts: count,
                keys,
            }));
        }
        all
    }

    /// Takes one part of a stopping router's keys in; `true` once all are here and owned.
    ///
    /// Nothing is owned before every part has arrived: a key that is still missing would look
    /// new, and run a second time.
    pub fn take_over(&mut self, now: Time, part: Handover) -> bool {
        if self.homes.contains_key(&part.home) {
            return true;
        }
        let incoming = self
            .incoming
            .entry(part.home.clone())
            .or_insert_with(|| Incoming { parts: BTreeMap::new(), began: now });
        incoming.parts.insert(part.part, part.keys);
        if (incoming.parts.len() as u64) < u64::from(part.parts) {
            return false;
        }
        let Some(arrived) = self.incoming.remove(&part.home) else {
            return false;
        };
        let mut home = Home {
            epoch: part.epoch,
            began: now - Span(part.age),
            last: Some(part.epoch),
            keys: BTreeMap::new(),
        };
        for finished in arrived.parts.into_values().flatten() {
            self.bytes += answer_bytes(&finished.outcome);
            let Finished { epoch, suffix, digest, outcome } = finished;
            home.keys.insert((epoch, suffix), Entry::Done { digest, outcome });
        }
        self.homes.insert(part.home, home);
        true
    }
}

/// What a retry must share with the first submission: who asks, for what, with which body.
pub fn digest(organisation: &str, target: &str, body: &Bytes) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [organisation.as_bytes(), target.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}
