//! Decides how a gateway that has just started gets its first view of the store.
//!
//! If every gateway of a large fleet read the whole store at its start, the answers would exceed
//! the store's link for longer than the proof of a read is valid. All reads would fail, be repeated
//! and keep the link busy. So only a few gateways of each failure domain, the seeds, register in
//! the store and read it. The others list the seeds of their domain, which is one small call, and
//! fetch the view from one of them. A gateway whose seeds don't answer falls back in steps: to the
//! seeds of all domains, to a spare registration, and last to reads of its own that become rare.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;

use super::directory::Entry;
use crate::time::Span;
use crate::time::Time;

/// Seeds of a failure domain; two may fail at a time.
pub const SEEDS_PER_DOMAIN: u32 = 3;
/// Further registrations of a failure domain, for gateways that its seeds do not answer.
const SPARE_SEEDS: u32 = 3;
/// Upper bound on the wait before a registration, in seconds for a gateway of weight 1. Gateways of
/// the greatest weight, whose links are the widest, thus register first.
const REGISTRATION_WAIT_S: f64 = 100.0;
/// Least wait before a registration, as a share of the upper bound.
const MIN_WAIT_SHARE: f64 = 0.5;
/// Seeds asked in one round.
const SEEDS_ASKED: usize = 2;
/// Time from one round to the next.
const ROUND_INTERVAL: Span = Span::millis(300);
/// Time from one read of a seed to the next while the store holds no configuration.
const READ_INTERVAL: Span = Span::millis(1_100);
/// Failed rounds after which the seeds are listed again, and then those of all failure domains.
const ROUNDS_PER_LIST: u32 = 3;
/// Failed rounds after which a gateway takes a spare registration; one of a lower weight waits for
/// more, so that gateways with wide links come first.
const ROUNDS_UNTIL_SPARE: u32 = 4;
/// Failed rounds after which a gateway reads the store although it is no seed.
const ROUNDS_UNTIL_READ: u32 = 12;
/// Consecutive failed registrations after which a gateway pauses. Several gateways may take the
/// same registration at once, but one with an unreadable entry can't be taken at all.
const REGISTRATIONS_PER_ROUND: u32 = 4;
/// Upper bound on the time from one read of a gateway that is no seed to the next.
const MAX_READ_BACKOFF: Span = Span::secs(8);

/// A gateway that is registered as a seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Entry of the gateway.
    pub entry: Entry,
    /// Registration in its failure domain, from 0.
    pub slot: u32,
    /// Revision of the registration in the store.
    pub revision: u64,
}

/// Which seeds to list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Those of the gateway's own failure domain.
    Domain,
    /// Those of all failure domains.
    Fleet,
}

/// What a starting gateway does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// List the registered seeds.
    List(Scope),
    /// Fetch the view from the first of these addresses that has one.
    Fetch(Vec<String>),
    /// Register as a seed, provided that the registration still has this revision; 0 if it is free.
    Register {
        /// Registration in the failure domain.
        slot: u32,
        /// Its known revision.
        revision: u64,
    },
    /// Read the store.
    Read,
    /// Wait, and then continue with [`Bootstrap::next`].
    Wait(Span),
}

/// Result of a round of questions to seeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A seed answered that it has no configuration yet.
    NotReady,
    /// No seed answered.
    None,
}

/// Progress of a gateway towards its first view.
#[derive(Debug)]
pub struct Bootstrap {
    own: Entry,
    rng: SmallRng,
    /// Time from which the gateway may register.
    registers_at: Time,
    /// Known seeds; `None` before they were listed, or once they have to be listed again.
    seeds: Option<Vec<Seed>>,
    /// Whether this gateway is registered.
    registered: bool,
    /// Consecutive failed registrations.
    failed_registrations: u32,
    /// Failed rounds until this gateway takes a spare registration.
    rounds_until_spare: u32,
    /// Consecutive rounds without an answer.
    failed_rounds: u32,
    /// Whether the step after the next wait is a round of questions or a read.
    waited: bool,
    read_backoff: Span,
}

impl Bootstrap {
    /// The bootstrap of a gateway with this entry that started at `now`.
    pub fn new(now: Time, own: Entry, seed: u64) -> Bootstrap {
        let mut rng = SmallRng::seed_from_u64(seed);
        let wait_s = REGISTRATION_WAIT_S / f64::from(own.weight.max(1));
        let wait = Span((wait_s * rng.random_range(MIN_WAIT_SHARE..1.0) * 1e6) as u64);
        Bootstrap {
            own,
            rng,
            registers_at: now + wait,
            rounds_until_spare: ROUNDS_UNTIL_SPARE + (2 * wait.0 / ROUND_INTERVAL.0) as u32,
            failed_registrations: 0,
            seeds: None,
            registered: false,
            failed_rounds: 0,
            waited: true,
            read_backoff: ROUND_INTERVAL,
        }
    }

    /// Whether this gateway is registered as a seed.
    pub fn is_registered(&self) -> bool {
        self.registered
    }

    /// Entries of the seeds that were listed last.
    pub fn seeds(&self) -> Vec<Entry> {
        self.seeds.iter().flatten().map(|seed| seed.entry.clone()).collect()
    }

    /// The next step at `now`.
    pub fn next(&mut self, now: Time) -> Step {
        if !std::mem::replace(&mut self.waited, true) {
            return Step::Wait(self.pause());
        }
        if self.registered {
            self.waited = false;
            return Step::Read;
        }
        let scope = if self.failed_rounds < ROUNDS_PER_LIST { Scope::Domain } else { Scope::Fleet };
        let Some(seeds) = self.seeds.clone() else {
            return Step::List(scope);
        };
        if let Some(step) = self.registration(now, &seeds) {
            return step;
        }
        if self.failed_rounds >= ROUNDS_UNTIL_READ {
            self.waited = false;
            return Step::Read;
        }
        let others = seeds.iter().filter(|seed| seed.entry.name != self.own.name);
        let mut addresses: Vec<String> =
            others.map(|seed| seed.entry.peer_address.clone()).collect();
        if addresses.is_empty() {
            // By then a gateway of a greater weight may have registered.
            self.seeds = None;
            return Step::Wait(self.registers_at.since(now).max(Span::millis(1)));
        }
        addresses.shuffle(&mut self.rng);
        addresses.truncate(SEEDS_ASKED);
        self.waited = false;
        Step::Fetch(addresses)
    }

    /// The registration that this gateway should take, if any.
    fn registration(&mut self, now: Time, seeds: &[Seed]) -> Option<Step> {
        // A registration of this gateway's earlier incarnation is taken over.
        if let Some(own) = seeds.iter().find(|seed| seed.entry.name == self.own.name) {
            return Some(Step::Register { slot: own.slot, revision: own.revision });
        }
        if now < self.registers_at {
            return None;
        }
        let local = seeds.iter().filter(|seed| seed.entry.domain == self.own.domain);
        let taken: Vec<u32> = local.map(|seed| seed.slot).collect();
        let slots = match self.failed_rounds {
            0 => 0..SEEDS_PER_DOMAIN,
            _ if taken.is_empty() => 0..SEEDS_PER_DOMAIN,
            failed if failed >= self.rounds_until_spare => 0..SEEDS_PER_DOMAIN + SPARE_SEEDS,
            _ => return None,
        };
        let free: Vec<u32> = slots.filter(|slot| !taken.contains(slot)).collect();
        let slot = *free.choose(&mut self.rng)?;
        Some(Step::Register { slot, revision: 0 })
    }

    /// Time to the next round, or to the next read of a gateway whose seeds don't answer.
    fn pause(&mut self) -> Span {
        let mut pause = if self.registered { READ_INTERVAL } else { ROUND_INTERVAL };
        if !self.registered && self.failed_rounds >= ROUNDS_UNTIL_READ {
            pause = self.read_backoff;
            self.read_backoff = Span(self.read_backoff.0 * 2).min(MAX_READ_BACKOFF);
        }
        Span((pause.0 as f64 * self.rng.random_range(0.7..1.3)) as u64)
    }

    /// Records the seeds that the store listed; `None` if the call failed.
    pub fn record_list(&mut self, seeds: Option<Vec<Seed>>) {
        self.waited = seeds.is_some();
        self.seeds = seeds;
    }

    /// Records the answer to a round of questions that brought no view.
    pub fn record_answer(&mut self, answer: Answer) {
        match answer {
            Answer::NotReady => self.failed_rounds = 0,
            Answer::None => self.failed_rounds += 1,
        }
        if self.failed_rounds > 0 && self.failed_rounds.is_multiple_of(ROUNDS_PER_LIST) {
            self.seeds = None;
        }
    }

    /// Records whether a registration succeeded.
    pub fn record_registration(&mut self, registered: bool) {
        self.registered = registered;
        if !registered {
            // Another gateway may have taken the registration.
            self.seeds = None;
            self.failed_registrations += 1;
            self.waited = !self.failed_registrations.is_multiple_of(REGISTRATIONS_PER_ROUND);
        }
    }
}
