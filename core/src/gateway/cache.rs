//! What engines have cached, as they report it to their owners.
//!
//! The owner of an engine reads the engine's cache events in pages, each from the number at which
//! the last one ended. After a gap, or from another epoch of the engine, nothing is known until the
//! events from the beginning, or a list of the whole cache, have been read. A list delays the
//! engine's work, so that it is only read when events were lost, and rarely.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use derive_more::Display;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::gateway::submission::Part;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Upper bound on the parts stored of one engine.
pub const MAX_ENGINE_PARTS: usize = 2_048;
/// Upper bound on the parts stored of all engines that a gateway owns. With some 40 bytes each, they
/// take 3 MB of the 88 MB of the smallest hosts.
pub const MAX_PARTS: usize = 65_536;
/// Upper bound on the events of a page and on the entries of a list.
pub const MAX_ENTRIES: usize = 16_384;
/// Upper bound on the tokens of a part: far more than any engine's cache has.
pub const MAX_PART_TOKENS: u64 = 10_000_000;
/// Events missing from the numbering after which a list is read. Each of them may leave one part
/// wrongly known or unknown.
const MAX_MISSED_EVENTS: u64 = 64;
/// Minimum time between two lists of one engine.
pub const LIST_INTERVAL: Span = Span::secs(10);
/// Upper bound on the random delay of a list. Without it, all engines whose owner was lost would be
/// asked for a list at the same moment.
pub const MAX_LIST_DELAY: Span = Span::secs(2);
/// Time without an answer of the engine after which its parts are not reported: several calls.
const MAX_SILENCE: Span = Span::secs(5);
/// Time for which a gateway must own an engine before it follows the engine. While a fleet starts,
/// each gateway owns many engines for some hundred milliseconds, until it knows the others.
const MIN_OWNED_TIME: Span = Span::millis(750);
/// Most parts of a prompt that an owner is asked about.
pub const MAX_PROMPT_PARTS: usize = 8;
/// Upper bound on the tokens that an engine may lack of a part which counts as cached whole, because
/// engines cache whole blocks of tokens.
const MAX_BLOCK_TOKENS: u64 = 64;

/// Change of one part in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number of the event, ascending within an epoch.
    pub number: u64,
    /// Id of the part.
    pub part: u64,
    /// Tokens of the part that the engine has cached after the event.
    pub tokens: u64,
}

/// Events that an engine reported in one answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Epoch of the engine, which changes at a restart.
    pub epoch: u64,
    /// Number from which the next page is to be read.
    pub next: u64,
    /// Whether events before these were lost.
    pub lost: bool,
    /// Events in the order of their numbers.
    pub events: Vec<Event>,
}

/// All parts in an engine's cache.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct List {
    /// Epoch of the engine.
    pub epoch: u64,
    /// Number from which the next page of events is to be read.
    pub next: u64,
    /// Cached parts with their tokens.
    pub parts: Vec<(u64, u64)>,
}

/// Why an engine's answer about its cache is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Flaw {
    /// The bytes can't be decoded.
    Bytes,
    /// An event is neither an addition nor a removal.
    Sign,
    /// The numbers of events do not ascend, or contradict the number of the next one.
    Number,
    /// A part has more tokens than any engine can cache.
    Tokens,
    /// There are too many entries.
    Size,
}

/// What the owner of an engine asks it next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// Events from this number on.
    Events(u64),
    /// The whole cache.
    List,
}

/// How a page of events compares to what was known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Progress {
    /// The page follows the last one.
    Applied,
    /// Events before the page were lost.
    Lost,
    /// Too many events were missing from the numbering.
    Missed,
    /// The engine has restarted.
    Restarted,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    /// Time at which the engine last reported the part.
    confirmed: Time,
}

/// Cache of one engine.
#[derive(Debug, Default)]
struct Cache {
    epoch: Option<u64>,
    next: u64,
    parts: BTreeMap<u64, Entry>,
    /// Number of the last event in this epoch.
    last_number: Option<u64>,
    /// Events missing from the numbering since the last list.
    missed: u64,
    /// Time from which a list may be read; `None` if none is needed.
    list_at: Option<Time>,
    last_list: Option<Time>,
    /// Time of the last sound answer.
    answered: Option<Time>,
}

/// Caches of the engines that a gateway owns.
#[derive(Debug, Default)]
pub struct Directory {
    engines: BTreeMap<Digest, Cache>,
    /// Parts of all engines.
    count: usize,
}

impl Directory {
    /// What to ask an engine next.
    pub fn query(&mut self, now: Time, engine: Digest) -> Query {
        let cache = self.engines.entry(engine).or_default();
        match cache.list_at {
            Some(at) if at <= now => Query::List,
            _ => Query::Events(cache.next),
        }
    }

    /// Applies a page of events.
    ///
    /// # Errors
    ///
    /// Returns why the page is malformed; nothing is known of the engine then.
    pub fn apply_page(
        &mut self,
        now: Time,
        engine: Digest,
        page: &Page,
        rng: &mut SmallRng,
    ) -> Result<Progress, Flaw> {
        let cache = self.engines.entry(engine).or_default();
        let before = cache.parts.len();
        let applied = cache.apply_page(now, page, rng);
        if applied.is_err() {
            cache.forget(now, rng);
        }
        self.update_count(engine, before);
        applied
    }

    /// Replaces what is known of an engine by a list of its cache.
    ///
    /// # Errors
    ///
    /// Returns why the list is malformed; nothing is known of the engine then.
    pub fn apply_list(
        &mut self,
        now: Time,
        engine: Digest,
        list: &List,
        rng: &mut SmallRng,
    ) -> Result<(), Flaw> {
        let cache = self.engines.entry(engine).or_default();
        let before = cache.parts.len();
        cache.last_list = Some(now);
        let applied = cache.apply_list(now, list);
        if applied.is_err() {
            cache.forget(now, rng);
        }
        self.update_count(engine, before);
        applied
    }

    /// Forgets an engine's parts after an answer that can't be decoded.
    pub fn forget(&mut self, now: Time, engine: Digest, rng: &mut SmallRng) {
        let cache = self.engines.entry(engine).or_default();
        let before = cache.parts.len();
        cache.forget(now, rng);
        self.update_count(engine, before);
    }

    /// Records that an engine did not answer a request for a list; the next one waits.
    pub fn record_unlisted(&mut self, now: Time, engine: Digest) {
        if let Some(cache) = self.engines.get_mut(&engine) {
            cache.last_list = Some(now);
            cache.list_at = cache.list_at.map(|_| now + LIST_INTERVAL);
        }
    }

    /// Length of the prefix of a prompt that the engine has cached, in tokens; `None` if that is not
    /// known.
    pub fn cached_tokens(&self, now: Time, engine: Digest, parts: &[Part]) -> Option<u32> {
        let cache = self.engines.get(&engine).filter(|_| !parts.is_empty())?;
        let is_current = cache.answered.is_some_and(|at| now.since(at) <= MAX_SILENCE);
        (is_current && cache.list_at.is_none()).then(|| cache.cached_tokens(parts))
    }

    /// Drops the engines that this gateway does not own.
    pub fn retain(&mut self, mut is_owned: impl FnMut(Digest) -> bool) {
        self.engines.retain(|engine, _| is_owned(*engine));
        self.count = self.engines.values().map(|cache| cache.parts.len()).sum();
    }

    /// Number of stored parts.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether no part is stored.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Updates the number of parts after a change of one engine that had `before`. Beyond the bounds,
    /// the least recently confirmed parts of the engine with the most parts are dropped.
    fn update_count(&mut self, engine: Digest, before: usize) {
        if let Some(cache) = self.engines.get_mut(&engine) {
            cache.truncate(MAX_ENGINE_PARTS);
            self.count = self.count - before + cache.parts.len();
        }
        while self.count > MAX_PARTS {
            let Some(largest) = self.engines.values_mut().max_by_key(|cache| cache.parts.len())
            else {
                return;
            };
            let known = largest.parts.len();
            largest.truncate(known.saturating_sub(self.count - MAX_PARTS));
            self.count -= known - largest.parts.len();
        }
    }
}

impl Cache {
    fn apply_page(&mut self, now: Time, page: &Page, rng: &mut SmallRng) -> Result<Progress, Flaw> {
        check_page(page)?;
        if self.epoch.is_some_and(|epoch| epoch != page.epoch) {
            // Numbers of the earlier epoch say nothing about this one: it is read from its start.
            let last_list = self.last_list;
            *self = Cache { epoch: Some(page.epoch), last_list, ..Cache::default() };
            return Ok(Progress::Restarted);
        }
        if page.next < self.next {
            return Err(Flaw::Number);
        }
        self.epoch = Some(page.epoch);
        self.next = page.next;
        self.answered = Some(now);
        if page.lost {
            self.schedule_list(now, rng);
            return Ok(Progress::Lost);
        }
        for event in &page.events {
            let expected = self.last_number.map_or(event.number, |last| last + 1);
            self.missed += event.number.saturating_sub(expected);
            self.last_number = Some(event.number);
            self.set(now, event.part, event.tokens);
        }
        if self.missed > MAX_MISSED_EVENTS && self.list_at.is_none() {
            self.schedule_list(now, rng);
            return Ok(Progress::Missed);
        }
        Ok(Progress::Applied)
    }

    fn apply_list(&mut self, now: Time, list: &List) -> Result<(), Flaw> {
        if list.parts.len() > MAX_ENTRIES {
            return Err(Flaw::Size);
        }
        if list.parts.iter().any(|(_, tokens)| *tokens > MAX_PART_TOKENS) {
            return Err(Flaw::Tokens);
        }
        self.parts.clear();
        for (part, tokens) in &list.parts {
            self.set(now, *part, *tokens);
        }
        self.epoch = Some(list.epoch);
        self.next = list.next;
        self.last_number = None;
        self.missed = 0;
        self.list_at = None;
        self.answered = Some(now);
        Ok(())
    }

    fn set(&mut self, now: Time, part: u64, tokens: u64) {
        match tokens {
            0 => self.parts.remove(&part),
            _ => self.parts.insert(part, Entry { tokens: tokens as u32, confirmed: now }),
        };
    }

    /// Forgets all parts, and reads a list next.
    fn forget(&mut self, now: Time, rng: &mut SmallRng) {
        self.answered = None;
        self.schedule_list(now, rng);
    }

    fn schedule_list(&mut self, now: Time, rng: &mut SmallRng) {
        self.parts.clear();
        self.missed = 0;
        self.last_number = None;
        if self.list_at.is_some_and(|at| at > now) {
            return;
        }
        let allowed = self.last_list.map_or(now, |last| (last + LIST_INTERVAL).max(now));
        self.list_at = Some(allowed + Span(rng.random_range(0..MAX_LIST_DELAY.0)));
    }

    /// Drops the least recently confirmed parts beyond `limit`.
    fn truncate(&mut self, limit: usize) {
        let excess = self.parts.len().saturating_sub(limit);
        if excess == 0 {
            return;
        }
        let mut oldest: Vec<(Time, u64)> =
            self.parts.iter().map(|(part, entry)| (entry.confirmed, *part)).collect();
        oldest.sort_unstable();
        for (_, part) in oldest.into_iter().take(excess) {
            self.parts.remove(&part);
        }
    }

    fn cached_tokens(&self, parts: &[Part]) -> u32 {
        let mut total: u32 = 0;
        for part in parts {
            let cached = self.parts.get(&part.id).map_or(0, |entry| entry.tokens);
            let is_whole = u64::from(cached) + MAX_BLOCK_TOKENS > u64::from(part.tokens);
            if cached > 0 && is_whole {
                total = total.saturating_add(part.tokens);
            } else {
                return total.saturating_add(cached.min(part.tokens));
            }
        }
        total
    }
}

fn check_page(page: &Page) -> Result<(), Flaw> {
    if page.events.len() > MAX_ENTRIES {
        return Err(Flaw::Size);
    }
    let ascend = page.events.windows(2).all(|pair| pair[0].number < pair[1].number);
    if !ascend || page.events.last().is_some_and(|last| last.number > page.next) {
        return Err(Flaw::Number);
    }
    if page.events.iter().any(|event| event.tokens > MAX_PART_TOKENS) {
        return Err(Flaw::Tokens);
    }
    Ok(())
}

/// Engines that this gateway owns, as of the last passes over the list of replicas.
#[derive(Debug, Default)]
pub struct Owners {
    /// Engines owned.
    pub(super) owned: BTreeSet<Digest>,
    /// Hash of the live gateways and of the replicas for which the passes were made.
    pub(super) inputs: u64,
    /// Engine that was checked last.
    pub(super) position: Option<Digest>,
    /// Engines that have not been checked for these inputs.
    pub(super) unchecked: usize,
}

/// Times since which this gateway has owned engines.
#[derive(Debug, Default)]
pub struct Tenure {
    since: BTreeMap<Digest, Time>,
}

impl Tenure {
    /// Records the engines that are owned at `now`; returns those that have been owned for long
    /// enough to be followed.
    pub fn record(&mut self, now: Time, owned: &BTreeSet<Digest>) -> BTreeSet<Digest> {
        self.since.retain(|engine, _| owned.contains(engine));
        for engine in owned {
            self.since.entry(*engine).or_insert(now);
        }
        let is_settled = |since: Time| now.since(since) >= MIN_OWNED_TIME;
        self.since.iter().filter(|(_, since)| is_settled(**since)).map(|(key, _)| *key).collect()
    }
}
