//! Start of whole fleets, in virtual time.
//!
//! The simulation charges each transfer to the links of both ends: a link sends one transfer after
//! the other. Calls of the store and questions to seeds take a few milliseconds.

use std::collections::BTreeMap;

use laburnumwheel_core::gateway::bootstrap::Answer;
use laburnumwheel_core::gateway::bootstrap::Bootstrap;
use laburnumwheel_core::gateway::bootstrap::SEEDS_PER_DOMAIN;
use laburnumwheel_core::gateway::bootstrap::Scope;
use laburnumwheel_core::gateway::bootstrap::Seed;
use laburnumwheel_core::gateway::bootstrap::Step;
use laburnumwheel_core::gateway::directory::Entry;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::support::START;
use crate::support::entry;

const DOMAINS: usize = 5;
/// Every so many gateways, one has a wide link.
const WIDE_EVERY: usize = 20;
const STORE_BYTES_PER_MS: u64 = 125_000;
const WIDE_BYTES_PER_MS: u64 = 25_000;
const NARROW_BYTES_PER_MS: u64 = 2_500;
/// Bytes of a replica or gateway in the store's answers and in a view.
const LISTED_BYTES: u64 = 380;
const VIEW_BYTES: u64 = 75;
const CALL_TIME: Span = Span::millis(5);
/// Whole views that a seed sends at a time; it refuses further requests.
const MAX_TRANSFERS: u64 = 16;
/// Time of a round of questions that nobody answers.
const SILENCE: Span = Span::millis(120);
/// Time from the start of the fleet to the first configuration.
const CONFIGURED_AFTER: Span = Span::millis(1_300);
/// Longest read of the store whose proof is still of use.
const MAX_READ_TIME: Span = Span::millis(3_500);
/// Bound on the time until every gateway of a fleet has a view.
const MAX_START_TIME: Span = Span::secs(12);

struct Host {
    entry: Entry,
    bytes_per_ms: u64,
    /// End of the last transfer over its link.
    busy_until: Time,
    bootstrap: Bootstrap,
    has_view: bool,
    answers: bool,
}

struct Fleet {
    hosts: Vec<Host>,
    items: u64,
    configured_at: Time,
    store_busy_until: Time,
    registrations: BTreeMap<(String, u32), Seed>,
    revision: u64,
    list_calls: u64,
    full_reads: u64,
    /// When each gateway takes its next step.
    agenda: BTreeMap<(Time, usize), ()>,
    finished_at: Time,
}

fn host(index: usize, seed: u64) -> Host {
    let wide = index.is_multiple_of(WIDE_EVERY);
    let domain = format!("domain-{}", index / WIDE_EVERY % DOMAINS);
    let weight = if wide { 500 } else { 120 };
    let entry = Entry { domain, weight, ..entry(&format!("gateway-{index}")) };
    Host {
        bootstrap: Bootstrap::new(START, entry.clone(), seed + index as u64),
        entry,
        bytes_per_ms: if wide { WIDE_BYTES_PER_MS } else { NARROW_BYTES_PER_MS },
        busy_until: START,
        has_view: false,
        answers: true,
    }
}

/// A fleet of which all gateways start now.
fn fleet(gateways: usize, replicas: u64, seed: u64) -> Fleet {
    Fleet {
        hosts: (0..gateways).map(|i| host(i, seed)).collect(),
        items: replicas + gateways as u64,
        configured_at: START + CONFIGURED_AFTER,
        store_busy_until: START,
        registrations: BTreeMap::new(),
        revision: 0,
        list_calls: 0,
        full_reads: 0,
        agenda: (0..gateways).map(|i| ((START, i), ())).collect(),
        finished_at: START,
    }
}

/// Sends bytes over a link after its earlier transfers; returns the end.
fn transfer(busy_until: &mut Time, now: Time, bytes: u64, bytes_per_ms: u64) -> Time {
    *busy_until = (*busy_until).max(now) + Span(bytes * 1_000 / bytes_per_ms);
    *busy_until
}

impl Fleet {
    fn register(&mut self, index: usize, slot: u32) {
        let entry = self.hosts[index].entry.clone();
        self.revision += 1;
        let seed = Seed { entry: entry.clone(), slot, revision: self.revision };
        self.registrations.insert((entry.domain, slot), seed);
    }

    /// Registers the first gateways of each failure domain, as seeds of an earlier start.
    fn with_registrations(mut self) -> Fleet {
        for index in (0..self.hosts.len()).step_by(WIDE_EVERY) {
            let domain = self.hosts[index].entry.domain.clone();
            let taken = self.registrations.keys().filter(|(d, _)| *d == domain).count() as u32;
            if taken < SEEDS_PER_DOMAIN {
                self.register(index, taken);
            }
        }
        self
    }

    fn registered(&self) -> Vec<usize> {
        let is_registered =
            |host: &Host| self.registrations.values().any(|s| s.entry.name == host.entry.name);
        (0..self.hosts.len()).filter(|i| is_registered(&self.hosts[*i])).collect()
    }

    fn read(&mut self, index: usize, now: Time) -> Time {
        self.full_reads += 1;
        let bytes = self.items * LISTED_BYTES;
        let sent = transfer(&mut self.store_busy_until, now, bytes, STORE_BYTES_PER_MS);
        let host = &mut self.hosts[index];
        let end = transfer(&mut host.busy_until, now, bytes, host.bytes_per_ms).max(sent);
        host.has_view = now >= self.configured_at && end.since(now) < MAX_READ_TIME;
        end
    }

    fn fetch(&mut self, index: usize, now: Time, seeds: &[String]) -> Time {
        let peer = |address: &String| {
            self.hosts.iter().position(|h| h.entry.peer_address == *address && h.answers)
        };
        let answering: Vec<usize> = seeds.iter().filter_map(peer).collect();
        let bytes = self.items * VIEW_BYTES;
        let is_ready = |host: &Host| {
            let transfers = Span(MAX_TRANSFERS * bytes * 1_000 / host.bytes_per_ms);
            host.has_view && host.busy_until < now + transfers
        };
        let ready = answering.iter().find(|i| is_ready(&self.hosts[**i])).copied();
        if let Some(seed) = ready {
            let seed = &mut self.hosts[seed];
            let sent = transfer(&mut seed.busy_until, now, bytes, seed.bytes_per_ms);
            let host = &mut self.hosts[index];
            host.has_view = true;
            return transfer(&mut host.busy_until, now, bytes, host.bytes_per_ms).max(sent);
        }
        let answer = if answering.is_empty() { Answer::None } else { Answer::NotReady };
        self.hosts[index].bootstrap.record_answer(answer);
        now + if answering.is_empty() { SILENCE } else { CALL_TIME }
    }

    /// Carries out the next step of a gateway; returns its end.
    fn step(&mut self, index: usize, now: Time) -> Time {
        match self.hosts[index].bootstrap.next(now) {
            Step::Wait(pause) => now + pause,
            Step::Read => self.read(index, now),
            Step::Fetch(seeds) => self.fetch(index, now, &seeds),
            Step::List(scope) => {
                self.list_calls += 1;
                let domain = self.hosts[index].entry.domain.clone();
                let listed = self
                    .registrations
                    .values()
                    .filter(|s| scope == Scope::Fleet || s.entry.domain == domain);
                let seeds = listed.cloned().collect();
                self.hosts[index].bootstrap.record_list(Some(seeds));
                now + CALL_TIME
            }
            Step::Register { slot, revision } => {
                let key = (self.hosts[index].entry.domain.clone(), slot);
                let known = self.registrations.get(&key).map_or(0, |seed| seed.revision);
                if known == revision {
                    self.register(index, slot);
                }
                self.hosts[index].bootstrap.record_registration(known == revision);
                now + CALL_TIME + CALL_TIME
            }
        }
    }

    /// Runs until all gateways that answer have a view, or `limit` has passed.
    fn run(&mut self, limit: Span) {
        while let Some(((now, index), ())) = self.agenda.pop_first() {
            if now.since(START) > limit {
                self.agenda.insert((now, index), ());
                break;
            }
            if self.hosts[index].has_view {
                self.finished_at = self.finished_at.max(now);
            } else if self.hosts[index].answers {
                let end = self.step(index, now);
                self.agenda.insert((end, index), ());
            }
        }
    }

    fn all_have_views(&self) -> bool {
        self.hosts.iter().all(|host| host.has_view || !host.answers)
    }

    fn started_within(&self) -> Span {
        self.finished_at.since(START)
    }
}

/// Every gateway of a starting fleet reads the whole store. The answers exceed the store's link for
/// half a minute, each read takes longer than its proof is valid, and no gateway ever serves.
#[test]
fn a_starting_fleet_reads_the_store_a_few_times_in_each_failure_domain() {
    for (gateways, replicas) in [(9, 15), (100, 1_000), (985, 10_000), (1_970, 20_000)] {
        for seed in 0..3 {
            let mut fleet = fleet(gateways, replicas, seed);

            fleet.run(Span::secs(60));

            let context = format!("{gateways} gateways, seed {seed}: {:?}", fleet.started_within());
            assert!(fleet.all_have_views(), "{context}");
            assert!(fleet.started_within() < MAX_START_TIME, "{context}");
            // Seeds read every second until there is a configuration.
            let reads = 3 * u64::from(SEEDS_PER_DOMAIN) * DOMAINS as u64;
            assert!(fleet.full_reads <= reads, "{context}: {} reads", fleet.full_reads);
            assert!(fleet.list_calls <= 3 * gateways as u64, "{context}: {}", fleet.list_calls);
        }
    }
}

/// Nearly all gateways are killed at once. The registrations of the earlier seeds are still listed,
/// and the seeds themselves start again.
#[test]
fn a_restarted_fleet_takes_over_its_registrations() {
    let mut fleet = fleet(985, 10_000, 1).with_registrations();
    fleet.configured_at = START;

    fleet.run(Span::secs(60));

    assert!(fleet.all_have_views());
    assert!(fleet.started_within() < MAX_START_TIME, "{:?}", fleet.started_within());
    assert!(fleet.full_reads <= u64::from(SEEDS_PER_DOMAIN) * DOMAINS as u64);
}

/// The seeds of one failure domain are lost for good, and their registrations last until their
/// leases end. The other gateways of that domain start with the seeds of another one.
#[test]
fn gateways_start_although_all_seeds_of_their_failure_domain_are_lost() {
    let mut fleet = fleet(985, 10_000, 1).with_registrations();
    fleet.configured_at = START;
    for index in fleet.registered() {
        fleet.hosts[index].answers = fleet.hosts[index].entry.domain != "domain-2";
    }

    fleet.run(Span::secs(60));

    assert!(fleet.all_have_views());
    assert!(fleet.started_within() < MAX_START_TIME, "{:?}", fleet.started_within());
    assert!(fleet.full_reads <= 2 * u64::from(SEEDS_PER_DOMAIN) * DOMAINS as u64);
}

/// All seeds are lost at once. A few gateways take spare registrations; the others must not all
/// read the store meanwhile.
#[test]
fn gateways_start_although_all_seeds_are_lost() {
    let mut fleet = fleet(985, 10_000, 1).with_registrations();
    fleet.configured_at = START;
    for index in fleet.registered() {
        fleet.hosts[index].answers = false;
    }

    fleet.run(Span::secs(60));

    assert!(fleet.all_have_views());
    assert!(fleet.started_within() < MAX_START_TIME, "{:?}", fleet.started_within());
    assert!(fleet.full_reads <= 2 * u64::from(SEEDS_PER_DOMAIN) * DOMAINS as u64);
}

/// A gateway that reaches the store and no other gateway must serve, and must not read the whole
/// store several times a second if its reads fail.
#[test]
fn a_gateway_that_no_seed_answers_reads_the_store_ever_more_rarely() {
    let mut fleet = fleet(2, 10_000, 1).with_registrations();
    fleet.hosts[0].answers = false;
    fleet.register(0, 1);
    fleet.register(0, 2);
    for slot in SEEDS_PER_DOMAIN..2 * SEEDS_PER_DOMAIN {
        fleet.register(0, slot);
    }
    fleet.configured_at = START + Span::secs(40);

    fleet.run(Span::secs(60));

    assert!(fleet.all_have_views());
    assert!((2..=12).contains(&fleet.full_reads), "{} reads", fleet.full_reads);
}

/// The only seed does not answer, and its registration ends. A gateway that neither registered then
/// nor waited would list the seeds hundreds of times a second.
#[test]
fn a_gateway_registers_when_the_registration_of_a_lost_seed_has_ended() {
    let mut fleet = fleet(2, 10_000, 1).with_registrations();
    fleet.configured_at = START;
    fleet.hosts[0].answers = false;
    fleet.run(Span::millis(700));
    fleet.registrations.clear();

    fleet.run(Span::secs(20));

    assert!(fleet.all_have_views());
    assert!(fleet.list_calls < 10, "{} lists", fleet.list_calls);
    assert_eq!(fleet.full_reads, 1);
}
