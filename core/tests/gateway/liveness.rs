//! Liveness of the gateways of a large fleet, as its readers collect it, in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Settings;
use laburnumwheel_core::gateway::directory::Entry;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::support::START;
use crate::support::config;
use crate::support::entry;
use crate::support::listings;
use crate::support::settings;

const GATEWAYS: usize = 420;
const DOMAINS: usize = 5;
/// Digest of the list of gateways, the same at all.
const LIST: u64 = 7;
const STEP: Span = Span::millis(50);
/// Steps between two heartbeats of a reader, and between two questions of a gateway.
const HEARTBEAT_STEPS: usize = 5;
const QUESTION_STEPS: usize = 11;
/// Share of datagrams that are lost.
const LOSS: f64 = 0.01;
/// Bound on the time until every gateway knows that one has ended.
const MAX_DETECTION_TIME: Span = Span::secs(4);
/// Bound on the time until every gateway gives its callers no address of one that is cut off from
/// all replicas. Callers keep an address for most of a second more, and three seconds after the cut
/// began they must be served.
const MAX_WITHDRAWAL_TIME: Span = Span::millis(1_600);
/// Engines that all gateways know.
const ENGINES: usize = 4;
/// Bound on the bytes that a gateway which is no reader sends and receives in a second.
const MAX_BYTES_PER_S: f64 = 7_000.0;

struct Simulation {
    now: Time,
    step: usize,
    rng: SmallRng,
    gateways: Vec<Gateway>,
    entries: Vec<Entry>,
    by_address: BTreeMap<String, usize>,
    /// Gateways that have ended.
    ended: Vec<usize>,
    question_bytes: usize,
}

fn simulation() -> Simulation {
    let entry = |i: usize| Entry {
        domain: format!("domain-{}", i % DOMAINS),
        weight: if i < 40 { 500 } else { 120 },
        ..entry(&format!("gateway-{i:03}"))
    };
    let entries: Vec<Entry> = (0..GATEWAYS).map(entry).collect();
    let gateway = |entry: &Entry| {
        let settings =
            Settings { entry: entry.clone(), max_proof_age: None, ..settings(&entry.name) };
        let mut gateway = Gateway::new(settings, START);
        gateway.record_read(START, Some(Arc::new(config(1))));
        gateway.update_lists(START, START, listings(ENGINES), entries.clone());
        gateway
    };
    let gateways = entries.iter().map(gateway).collect();
    let addresses = entries.iter().enumerate().map(|(i, e)| (e.peer_address.clone(), i));
    Simulation {
        now: START,
        step: 0,
        rng: SmallRng::seed_from_u64(1),
        gateways,
        by_address: addresses.collect(),
        entries,
        ended: Vec::new(),
        question_bytes: 0,
    }
}

impl Simulation {
    fn arrives(&mut self, at: usize) -> bool {
        !self.rng.random_bool(LOSS) && !self.ended.contains(&at)
    }

    /// Sends a reader's heartbeat to the other readers.
    fn exchange(&mut self, reader: usize) {
        let heartbeat = self.gateways[reader].heartbeat(self.now);
        let readers = self.gateways[reader].readers(self.now);
        for address in readers.addresses() {
            let to = self.by_address[address];
            if self.arrives(to) {
                self.gateways[to].receive(self.now, &heartbeat);
            }
        }
    }

    /// Asks the first reader that answers.
    fn ask(&mut self, index: usize) {
        let readers = self.gateways[index].readers(self.now);
        let poll = self.gateways[index].poll(self.now, LIST).unwrap();
        for address in readers.addresses() {
            let reader = self.by_address[address];
            if !self.arrives(reader) {
                continue;
            }
            self.gateways[reader].receive_poll(self.now, &poll);
            let summary = self.gateways[reader].summary(self.now, LIST, &self.entries);
            self.question_bytes += postcard::to_stdvec(&(&poll, &summary)).unwrap().len();
            if self.arrives(index) {
                self.gateways[index].receive_summary(self.now, LIST, &self.entries, &summary);
                return;
            }
        }
    }

    fn run(&mut self, time: Span) {
        for _ in 0..time.0 / STEP.0 {
            self.now = self.now + STEP;
            self.step += 1;
            for index in 0..GATEWAYS {
                if self.ended.contains(&index) {
                    continue;
                }
                let is_reader = self.gateways[index].readers(self.now).is_own;
                if is_reader && (self.step + index).is_multiple_of(HEARTBEAT_STEPS) {
                    self.exchange(index);
                }
                if !is_reader && (self.step + index).is_multiple_of(QUESTION_STEPS) {
                    self.ask(index);
                }
            }
        }
    }

    fn running(&self) -> impl Iterator<Item = &Gateway> {
        self.gateways.iter().enumerate().filter(|(i, _)| !self.ended.contains(i)).map(|(_, g)| g)
    }
}

/// With random heartbeats alone, a gateway of a large fleet takes a tenth of the others for dead at
/// any moment. Then gateways disagree on readers and on owners of engines.
#[test]
fn gateways_of_a_large_fleet_know_which_others_are_live() {
    let mut simulation = simulation();

    simulation.run(Span::secs(4));
    simulation.question_bytes = 0;
    simulation.run(Span::secs(2));

    let others = GATEWAYS - 1;
    let fewest = simulation.running().map(|g| g.live_peers(simulation.now)).min().unwrap();
    assert!(fewest >= others - others / 50, "{fewest} of {others}");
    let bytes = simulation.question_bytes as f64 / 2.0 / GATEWAYS as f64;
    assert!(bytes < MAX_BYTES_PER_S, "{bytes} bytes a second");
}

/// A reader and two other gateways end. They must not be given to callers for long, and their
/// followers must find another reader.
#[test]
fn a_large_fleet_notices_gateways_that_end() {
    let mut simulation = simulation();
    simulation.run(Span::secs(4));
    let is_reader = |i: &usize| simulation.gateways[*i].readers(simulation.now).is_own;
    let reader = (0..GATEWAYS).find(is_reader).unwrap();

    simulation.ended = vec![reader, 200, 300];
    simulation.run(MAX_DETECTION_TIME);

    for ended in [reader, 200, 300] {
        let name = &simulation.entries[ended].name;
        let hash = laburnumwheel_core::gateway::directory::short_hash(name);
        let live = simulation.running().filter(|g| g.directory().is_live(simulation.now, hash));
        assert_eq!(live.count(), 0, "{name} counts as live");
    }
    let fewest = simulation.running().map(|g| g.live_peers(simulation.now)).min().unwrap();
    assert!(fewest >= GATEWAYS - 4 - GATEWAYS / 50, "{fewest}");
}

/// A gateway is cut off from all replicas and lives on. If only those knew that it tells itself, most
/// callers would still be sent there.
#[test]
fn a_large_fleet_gives_callers_no_gateway_that_is_cut_off() {
    let mut simulation = simulation();
    simulation.run(Span::secs(4));
    let (cut_off, now) = (200, simulation.now);
    let name = simulation.entries[cut_off].name.clone();
    let open = |simulation: &Simulation| {
        let takes = |g: &&Gateway| g.directory().last_sign(&name).is_some_and(|(_, open)| open);
        simulation.running().filter(takes).count()
    };
    let before = open(&simulation);

    let gateway = &mut simulation.gateways[cut_off];
    let engines: Vec<_> = gateway.fleet().open_replicas("engines").map(|(key, _)| key).collect();
    for engine in engines {
        gateway.record_connection(now, engine, false);
    }
    simulation.run(MAX_WITHDRAWAL_TIME);

    assert_eq!(before, GATEWAYS - 1);
    assert_eq!(open(&simulation), 0);
}

/// Heartbeats of a small fleet stay as frequent as they were; those of a large one must not grow
/// with its size.
#[test]
fn heartbeats_of_a_large_fleet_become_rarer() {
    let interval = |count: usize, is_reader: bool| {
        let mut gateway = Gateway::new(settings("own"), START);
        let entries = (1..count).map(|i| entry(&format!("gateway-{i}"))).collect();
        gateway.update_lists(START, START, Vec::new(), entries);
        gateway.heartbeat_interval(is_reader)
    };

    assert_eq!(interval(300, false), Span::millis(250));
    assert!(interval(985, false) >= Span::millis(1_900));
    assert!(interval(1_970, false) >= Span::millis(3_800));
    assert_eq!(interval(985, true), Span::millis(250));
}

/// A gateway receives no answers of readers for two seconds, so all others seem dead. If it then
/// counted as a reader, so would hundreds of others, and their reads would saturate the store.
#[test]
fn a_gateway_without_news_of_a_large_fleet_does_not_become_a_reader() {
    let mut simulation = simulation();
    simulation.run(Span::secs(4));
    let own = GATEWAYS - 1;
    let before = simulation.gateways[own].readers(simulation.now);

    let later = simulation.now + Span::secs(3);
    let readers = simulation.gateways[own].readers(later);

    assert_eq!(simulation.gateways[own].live_peers(later), 0);
    assert!(!readers.is_own);
    assert_eq!(readers.addresses().count(), before.addresses().count());
}
