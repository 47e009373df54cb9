//! Replicas of all services: who is there, how loaded, and which one gets a call.

use std::collections::BTreeMap;

use crate::arena::Arena;
use crate::arena::Key;
use crate::gateway::ask::Part;
use crate::gateway::engine;
use crate::gateway::engine::Cache;
use crate::gateway::gossip;
use crate::gateway::gossip::Sighting;
use crate::rendezvous;
use crate::time::Span;
use crate::time::Time;

/// A replica with work that has said nothing for this long gets no more, and what it has moves
/// elsewhere. A gateway may have a single request in a full engine's queue, so this is longer than
/// such a queue lasts; a host that is gone shows sooner by its connections.
const ENGINE_SILENCE: Span = Span::millis(2_500);
/// The same for plain services, whose calls take tens of milliseconds.
const PLAIN_SILENCE: Span = Span::millis(300);
/// How long a replica is left alone after no connection could be made; doubles up to the longest.
const FIRST_REST: Span = Span::millis(400);
const LONGEST_REST: Span = Span::secs(3);
/// A load report counts in full while it is young, then less and less, and in the end nothing.
const REPORT_YOUNG: Span = Span::millis(1_000);
const REPORT_LIFE: Span = Span::millis(3_000);
/// Weight of the newest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Milliseconds that a replica's failure rate beyond its peers' costs it, at a rate of one.
const FAILURE_MS: f64 = 600.0;
/// Milliseconds for each request that waits inside an engine: at full batches of long prompts an
/// engine finishes one in about this time.
const WAITING_MS: f64 = 100.0;
/// Part of the waiting requests that a more urgent one finds ahead of itself.
const AHEAD_OF_URGENT: f64 = 0.15;
/// Reading a prompt delays each running request by as much; this part of that counts against it.
const READING_OTHERS: f64 = 1.0;
/// From so many tokens on, a shared head is only read at its homes. Elsewhere it would take
/// several steps of an engine that others wait for, and push other heads out of its cache; under
/// load that feeds on itself until engines do little but read the same heads again.
const LONG_SHARED: u64 = 1_000;
/// Part of a prompt's shared head that its second home is taken to have cached.
const AT_SECOND: f64 = 0.3;
/// Milliseconds that each running request adds to the first event of one that joins.
const RUNNING_MS: f64 = 0.3;
/// The same for a call that ranks last: most that run have prompts to be read before its own.
const RUNNING_LAST_MS: f64 = 20.0;
/// Milliseconds for each call in progress at a plain service, for one slot.
const PLAIN_MS: f64 = 15.0;
/// Milliseconds that leaving the failure domain costs.
const FOREIGN_MS: f64 = 3.0;
/// Weight of the newest first event in a replica's slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;

/// An entry of the list of replicas.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Listing {
    /// Identity of this run of the replica.
    pub id: String,
    /// Service by name.
    pub service: String,
    /// IP address and port.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Calls it works on at a time.
    pub slots: u32,
    /// It is leaving and must get nothing new.
    pub leaving: bool,
}

/// What a replica said of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls it works on.
    pub running: u32,
    /// Calls that wait inside it.
    pub waiting: u32,
    /// Calls it can work on at a time.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    running: u32,
    waiting: f64,
    /// Calls of other gateways, running and waiting.
    others: f64,
    at: Time,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer that is no failure of the replica.
    Answered,
    /// The caller left, or the gateway moved the call away.
    Cancelled,
    /// It refused without running the call.
    Refused,
    /// No connection could be made.
    Unreachable,
    /// Another run of a replica has the address.
    Replaced,
    /// A failure status, a broken or wrong answer.
    Failed,
}

/// One replica as this gateway sees it.
#[derive(Debug)]
pub struct Replica {
    /// Its entry in the list.
    pub listing: Listing,
    /// It must get nothing new: it is leaving, or its entry is gone.
    pub closed: bool,
    hash: u64,
    sensitive: u32,
    engine: bool,
    own: u32,
    reading_ms: f64,
    quiet_since: Time,
    resting_until: Time,
    rest: Span,
    failures: f64,
    slowness: f64,
    report: Option<Report>,
    cache: Cache,
}

impl Replica {
    fn new(listing: Listing, now: Time) -> Replica {
        Replica {
            hash: rendezvous::hash(&[listing.id.as_bytes()]),
            closed: listing.leaving,
            listing,
            sensitive: 0,
            engine: false,
            own: 0,
            reading_ms: 0.0,
            quiet_since: now,
            resting_until: Time(0),
            rest: FIRST_REST,
            failures: 0.0,
            slowness: 1.0,
            report: None,
            cache: Cache::default(),
        }
    }

    /// Attempts of this gateway in progress.
    pub fn own(&self) -> u32 {
        self.own
    }

    fn silent_in(&self, now: Time) -> Span {
        let bound = if self.engine { ENGINE_SILENCE } else { PLAIN_SILENCE };
        (self.quiet_since + bound).since(now)
    }

    fn is_silent(&self, now: Time) -> bool {
        self.own > 0 && self.silent_in(now).0 == 0
    }

    fn is_usable(&self, now: Time) -> bool {
        !self.closed && now >= self.resting_until && !self.is_silent(now)
    }

    /// Short hash of its identity, by which gateways speak of it.
    fn short(&self) -> u32 {
        self.hash as u32
    }

    fn learn(&mut self, at: Time, running: u32, waiting: u32) {
        let others = (f64::from(running + waiting) - f64::from(self.own)).max(0.0);
        self.report = Some(Report { running, waiting: f64::from(waiting), others, at });
    }

    /// Part of the last report that still counts.
    fn report_weight(&self, now: Time) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let age = now.since(report.at).0.saturating_sub(REPORT_YOUNG.0);
        (1.0 - age as f64 / (REPORT_LIFE.0 - REPORT_YOUNG.0) as f64).max(0.0)
    }

    /// Calls of all gateways that it has, as far as known.
    fn running(&self, now: Time) -> f64 {
        f64::from(self.own) + self.others(now)
    }

    fn others(&self, now: Time) -> f64 {
        self.report.map_or(0.0, |r| r.others) * self.report_weight(now)
    }

    fn waiting(&self, now: Time) -> f64 {
        self.report.map_or(0.0, |r| r.waiting) * self.report_weight(now)
    }
}

/// What a call needs of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Service by name.
    pub service: &'a str,
    /// Parts of the prompt; empty for plain services.
    pub parts: &'a [Part],
    /// How the call uses engines; `None` for plain services.
    pub engine: Option<Use>,
}

/// How a call uses engines.
#[derive(Clone, Copy, Debug)]
pub struct Use {
    /// Calls that an engine works on at a time.
    pub slots: u32,
    /// The call is a stream that long prompts would disturb.
    pub sensitive: bool,
    /// Engines set apart for such streams.
    pub lane: usize,
    /// No call of the service ranks below it, so it waits behind all others in an engine.
    pub last: bool,
    /// Tokens at the head of the prompt that every engine has cached.
    pub common: u64,
}

/// An attempt's claim on a replica.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// The replica.
    pub replica: Key<Replica>,
    /// Time to read the prompt, in milliseconds.
    pub reading_ms: f64,
    /// Expected time to the first event or answer, in milliseconds.
    pub expected_ms: f64,
    /// Calls that the replica was taken to have, running and waiting.
    pub load: f64,
    /// Calls that were taken to wait inside it.
    pub waiting: f64,
    /// Age of the load report, if there is one.
    pub report_age: Option<Span>,
    /// The replica keeps the shared head of the prompt.
    pub home: bool,
    sent: Time,
    read: bool,
    sensitive: bool,
}

/// All replicas.
#[derive(Debug, Default)]
pub struct Fleet {
    replicas: Arena<Replica>,
    by_id: BTreeMap<String, Key<Replica>>,
    by_service: BTreeMap<String, Vec<Key<Replica>>>,
}

impl Fleet {
    /// Takes the list of replicas in; returns ids that came and ids that closed.
    ///
    /// With `keep_missing`, entries that are not listed stay as they are: after an outage of the
    /// store entries are missing for a moment although their replicas live, and going by the list
    /// alone would empty the fleet.
    pub fn update(
        &mut self,
        now: Time,
        listings: Vec<Listing>,
        keep_missing: bool,
    ) -> (Vec<String>, Vec<String>) {
        let mut came = Vec::new();
        let mut closed = Vec::new();
        let mut listed: BTreeMap<String, Key<Replica>> = BTreeMap::new();
        for listing in listings {
            let id = listing.id.clone();
            let known = self.by_id.get(&id).copied();
            let key = match known {
                Some(key) => key,
                None => {
                    came.push(id.clone());
                    self.insert(now, listing.clone())
                }
            };
            if let Some(replica) = self.replicas.get_mut(key) {
                if listing.leaving && !replica.closed {
                    closed.push(id.clone());
                }
                // An entry that left and is listed again lives: its lease had lapsed.
                replica.closed = listing.leaving;
                replica.listing = listing;
            }
            listed.insert(id, key);
        }
        if keep_missing {
            return (came, closed);
        }
        let missing: Vec<(String, Key<Replica>)> = self
            .by_id
            .iter()
            .filter(|(id, _)| !listed.contains_key(*id))
            .map(|(i, k)| (i.clone(), *k))
            .collect();
        for (id, key) in missing {
            let Some(replica) = self.replicas.get_mut(key) else {
                continue;
            };
            if !replica.closed {
                replica.closed = true;
                closed.push(id.clone());
            }
            if replica.own == 0 {
                self.forget(&id, key);
            }
        }
        (came, closed)
    }

    fn insert(&mut self, now: Time, listing: Listing) -> Key<Replica> {
        let id = listing.id.clone();
        let service = listing.service.clone();
        let key = self.replicas.insert(Replica::new(listing, now));
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    fn forget(&mut self, id: &str, key: Key<Replica>) {
        self.by_id.remove(id);
        if let Some(replica) = self.replicas.remove(key)
            && let Some(keys) = self.by_service.get_mut(&replica.listing.service)
        {
            keys.retain(|k| *k != key);
        }
    }

    /// A replica.
    pub fn get(&self, key: Key<Replica>) -> Option<&Replica> {
        self.replicas.get(key)
    }

    /// All replicas.
    pub fn iter(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.iter().map(|(_, r)| r)
    }

    /// Number of a service's replicas that may get work at `now`.
    pub fn usable(&self, now: Time, service: &str) -> usize {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter(|k| self.replicas.get(**k).is_some_and(|r| r.is_usable(now))).count()
    }

    /// Chooses a replica of a service other than `tried`, in the caller's `domain` if that is
    /// about as good.
    pub fn choose(
        &self,
        now: Time,
        need: &Need<'_>,
        domain: &str,
        tried: &[Key<Replica>],
    ) -> Option<Claim> {
        let keys = self.by_service.get(need.service)?;
        let open: Vec<(Key<Replica>, &Replica)> = keys
            .iter()
            .filter_map(|k| self.replicas.get(*k).map(|r| (*k, r)))
            .filter(|(_, r)| !r.closed)
            .collect();
        let mut usable: Vec<(Key<Replica>, &Replica)> =
            open.iter().filter(|(_, r)| r.is_usable(now)).copied().collect();
        if let Some(u) = need.engine {
            usable = of_lane(usable, &u);
        }
        usable.retain(|(key, _)| !tried.contains(key));
        // With nothing usable, the one that rested longest may be back.
        let candidates = if usable.is_empty() {
            let untried = open.into_iter().filter(|(key, _)| !tried.contains(key));
            untried.min_by_key(|(_, r)| r.resting_until).into_iter().collect()
        } else {
            usable
        };
        self.best(now, need, domain, &candidates)
    }

    fn best(
        &self,
        now: Time,
        need: &Need<'_>,
        domain: &str,
        candidates: &[(Key<Replica>, &Replica)],
    ) -> Option<Claim> {
        let least_failing =
            candidates.iter().map(|(_, r)| r.failures).fold(f64::INFINITY, f64::min);
        let homes = homes(need.parts, candidates);
        let at_home = need.engine.is_some_and(|u| own_shared(need.parts, &u) >= LONG_SHARED);
        let eligible = candidates.iter().filter(|(key, _)| !at_home || homes.contains(key));
        let scored = eligible.map(|(key, replica)| {
            let (reading_ms, expected_ms) = match need.engine {
                Some(u) => engine_ms(now, need, &u, replica, Home::of(&homes, *key)),
                None => (0.0, plain_ms(now, replica)),
            };
            let reading_others = match need.engine {
                Some(_) => READING_OTHERS * reading_ms * replica.running(now),
                None => 0.0,
            };
            let foreign = if replica.listing.domain == domain { 0.0 } else { FOREIGN_MS };
            let failing = FAILURE_MS * (replica.failures - least_failing);
            let sensitive = need.engine.is_some_and(|u| u.sensitive);
            let claim = Claim {
                replica: *key,
                reading_ms,
                expected_ms,
                load: replica.running(now),
                waiting: replica.waiting(now),
                report_age: replica.report.map(|r| now.since(r.at)),
                home: homes[0] == *key,
                sent: now,
                read: false,
                sensitive,
            };
            (expected_ms + reading_others + foreign + failing, claim)
        });
        scored.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, claim)| claim)
    }

    /// Notes that an attempt is sent.
    pub fn sent(&mut self, now: Time, claim: &mut Claim, engine: bool, parts: &[Part]) {
        claim.sent = now;
        if let Some(replica) = self.replicas.get_mut(claim.replica) {
            if replica.own == 0 {
                replica.quiet_since = now;
            }
            replica.engine = engine;
            replica.own += 1;
            replica.sensitive += u32::from(claim.sensitive);
            replica.reading_ms += claim.reading_ms;
            replica.cache.read(now, parts);
        }
    }

    /// Notes that something came from a replica.
    pub fn heard(&mut self, now: Time, key: Key<Replica>, load: Option<Load>) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        replica.quiet_since = now;
        replica.rest = FIRST_REST;
        if let Some(load) = load {
            replica.learn(now, load.running, load.waiting);
        }
    }

    /// Takes in loads that other gateways saw.
    pub fn learn(&mut self, now: Time, sightings: &[Sighting]) {
        if sightings.is_empty() {
            return;
        }
        let seen: BTreeMap<u32, &Sighting> = sightings.iter().map(|s| (s.replica, s)).collect();
        let keys: Vec<Key<Replica>> = self.replicas.iter().map(|(k, _)| k).collect();
        for key in keys {
            let Some(replica) = self.replicas.get_mut(key) else {
                continue;
            };
            let Some(s) = seen.get(&replica.short()) else {
                continue;
            };
            let at = gossip::at(now, s.age_ms);
            if replica.report.is_none_or(|r| r.at < at) {
                replica.learn(at, u32::from(s.running), u32::from(s.waiting));
            }
        }
    }

    /// Loads to pass on, the youngest first.
    pub fn tell(&self, now: Time) -> Vec<Sighting> {
        let mut young: Vec<Sighting> = self
            .replicas
            .iter()
            .filter_map(|(_, replica)| {
                let report = replica.report?;
                let age_ms = gossip::age_ms(now, report.at)?;
                Some(Sighting {
                    replica: replica.short(),
                    running: report.running.min(u32::from(u16::MAX)) as u16,
                    waiting: report.waiting as u16,
                    age_ms,
                })
            })
            .collect();
        young.sort_by_key(|s| s.age_ms);
        young.truncate(gossip::MOST);
        young
    }

    /// This gateway's streams that long prompts would disturb.
    pub fn sensitive(&self) -> u32 {
        self.replicas.iter().map(|(_, r)| r.sensitive).sum()
    }

    /// Time until a replica that has work counts as silent; zero if it is now, or unknown.
    pub fn silent_in(&self, now: Time, key: Key<Replica>) -> Span {
        self.replicas.get(key).map_or(Span(0), |r| r.silent_in(now))
    }

    /// Notes the first event of an attempt: its prompt has been read.
    pub fn first(&mut self, now: Time, claim: &mut Claim) {
        if claim.read {
            return;
        }
        claim.read = true;
        if let Some(replica) = self.replicas.get_mut(claim.replica) {
            replica.reading_ms = (replica.reading_ms - claim.reading_ms).max(0.0);
            let took = now.since(claim.sent).as_secs_f64() * 1e3;
            let ratio = (took / (claim.expected_ms + 25.0)).clamp(0.2, 8.0);
            replica.slowness += SLOWNESS_WEIGHT * (ratio - replica.slowness);
        }
    }

    /// Notes the end of an attempt that was sent.
    pub fn done(&mut self, now: Time, mut claim: Claim, outcome: Outcome) {
        let key = claim.replica;
        if !claim.read {
            claim.read = true;
            if let Some(replica) = self.replicas.get_mut(key) {
                replica.reading_ms = (replica.reading_ms - claim.reading_ms).max(0.0);
            }
        }
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.own = replica.own.saturating_sub(1);
            replica.sensitive -= u32::from(claim.sensitive).min(replica.sensitive);
        }
        self.outcome(now, key, outcome);
    }

    /// Notes what came of an attempt, sent or not.
    pub fn outcome(&mut self, now: Time, key: Key<Replica>, outcome: Outcome) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        let failed = match outcome {
            Outcome::Cancelled => return,
            Outcome::Answered => 0.0,
            Outcome::Refused => 0.5,
            Outcome::Unreachable | Outcome::Failed => 1.0,
            Outcome::Replaced => {
                replica.closed = true;
                return;
            }
        };
        replica.failures += OUTCOME_WEIGHT * (failed - replica.failures);
        if outcome == Outcome::Unreachable {
            replica.resting_until = now + replica.rest;
            replica.rest = Span(replica.rest.0 * 2).min(LONGEST_REST);
        }
    }
}

/// Replicas in the lane of sensitive streams, or those outside of it for other calls.
fn of_lane<'a>(
    mut usable: Vec<(Key<Replica>, &'a Replica)>,
    u: &Use,
) -> Vec<(Key<Replica>, &'a Replica)> {
    if u.lane == 0 || u.lane >= usable.len() {
        return usable;
    }
    usable.sort_by_key(|(_, r)| r.hash);
    let rest = usable.split_off(u.lane);
    if u.sensitive { usable } else { rest }
}

/// Tokens of a prompt's shared head that not every engine has cached.
fn own_shared(parts: &[Part], u: &Use) -> u64 {
    let head = &parts[..parts.len().saturating_sub(1)];
    let shared: u64 = head.iter().map(|p| u64::from(p.tokens)).sum();
    shared.saturating_sub(u.common)
}

/// How near a replica is to a prompt's shared head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Home {
    First,
    Second,
    None,
}

impl Home {
    fn of(homes: &[Key<Replica>; 2], key: Key<Replica>) -> Home {
        match homes {
            [first, _] if *first == key => Home::First,
            [_, second] if *second == key => Home::Second,
            _ => Home::None,
        }
    }
}

/// The replicas that keep the shared head of a prompt, alike for all gateways.
///
/// The last part belongs to the call or its session; the one before it is the longest that calls
/// share. Gateways agree by rendezvous without a message, so each part is read once, and what the
/// first home has no room for finds the part at the second.
fn homes(parts: &[Part], candidates: &[(Key<Replica>, &Replica)]) -> [Key<Replica>; 2] {
    let shared = &parts[..parts.len().saturating_sub(1)];
    let id = shared.last().or(parts.first()).map_or(0, |p| p.id);
    let mut best = [(0, Key::default()); 2];
    for (key, replica) in candidates {
        let scored = (rendezvous::score(id, replica.hash), *key);
        if scored.0 > best[0].0 {
            best = [scored, best[0]];
        } else if scored.0 > best[1].0 {
            best[1] = scored;
        }
    }
    best.map(|(_, key)| key)
}

/// Time to read the prompt and expected time to the first event, in milliseconds.
fn engine_ms(now: Time, need: &Need<'_>, u: &Use, replica: &Replica, home: Home) -> (f64, f64) {
    let total: u64 = need.parts.iter().map(|p| u64::from(p.tokens)).sum();
    let shared = total - need.parts.last().map_or(0, |p| u64::from(p.tokens));
    let known = replica.cache.cached(now, need.parts).max(u.common);
    let cached = match home {
        Home::First => known.max(shared),
        Home::Second => {
            known.max(u.common + ((shared - u.common.min(shared)) as f64 * AT_SECOND) as u64)
        }
        Home::None => known,
    };
    let reading = engine::reading_ms(cached, total.saturating_sub(cached));
    let running = replica.running(now);
    let over = (running - f64::from(u.slots)).max(0.0);
    let waiting = replica.waiting(now).max(over);
    let ahead = if u.last { waiting } else { waiting * AHEAD_OF_URGENT };
    let queue = replica.reading_ms + WAITING_MS * ahead;
    let beside = if u.last { RUNNING_LAST_MS } else { RUNNING_MS };
    (reading, reading + queue + beside * running)
}

fn plain_ms(now: Time, replica: &Replica) -> f64 {
    let busy = replica.running(now);
    let slots = f64::from(replica.listing.slots.max(1));
    PLAIN_MS * (1.0 + busy / slots) * replica.slowness.max(1.0)
}
