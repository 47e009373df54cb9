//! Selection of gateways for callers and as readers of the store.

use laburnumwheel_core::gateway::directory::Directory;
use laburnumwheel_core::gateway::directory::Entry;
use laburnumwheel_core::gateway::directory::Heartbeat;
use laburnumwheel_core::gateway::directory::short_hash;
use laburnumwheel_core::gateway::gossip::Demand;
use laburnumwheel_core::time::Span;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::support::START;
use crate::support::entry;

fn in_domain(name: &str, domain: &str) -> Entry {
    Entry { domain: domain.to_owned(), ..entry(name) }
}

fn heartbeat(entry: &Entry, open: bool) -> Heartbeat {
    let demand = Demand { gateway: short_hash(&entry.name), open, sensitive: 0, age_ms: 0 };
    Heartbeat {
        entry: entry.clone(),
        demands: vec![demand],
        loads: Vec::new(),
        prefill: Vec::new(),
        quarantine: Vec::new(),
        plans: Vec::new(),
        version: 1,
        proof_age: None,
    }
}

fn select(directory: &Directory, at: Span, own: Option<&Entry>, domain: &str) -> Vec<String> {
    let mut addresses =
        directory.select_addresses(START + at, own, domain, &mut SmallRng::seed_from_u64(1));
    addresses.sort();
    addresses
}

#[test]
fn callers_get_gateways_of_their_own_domain_if_it_has_two() {
    let mut directory = Directory::default();
    let entries = [("a", "mixco"), ("b", "mixco"), ("c", "villa")].map(|(n, d)| in_domain(n, d));
    directory.update(START, entries.to_vec());

    let mixco = select(&directory, Span(0), None, "mixco");
    let villa = select(&directory, Span(0), None, "villa");

    assert_eq!(mixco, ["a:1", "b:1"]);
    assert_eq!(villa, ["a:1", "b:1", "c:1"]);
}

/// A host fails, and its entry stays in the store until the lease ends. Each caller that is sent
/// there until then loses a second. Missing heartbeats show the failure earlier.
#[test]
fn a_gateway_without_heartbeats_gets_no_callers_although_it_is_listed() {
    let mut directory = Directory::default();
    let entries = ["a", "b", "c"].map(entry);
    directory.update(START, entries.to_vec());
    for e in &entries {
        directory.receive(START, &heartbeat(e, true));
    }
    let later = START + Span::secs(2);
    for e in &entries[1..] {
        directory.receive(later, &heartbeat(e, true));
    }

    let addresses = select(&directory, Span::secs(2), None, "mixco");

    assert_eq!(addresses, ["b:1", "c:1"]);
}

#[test]
fn a_stopping_gateway_gets_no_callers_from_its_next_heartbeat_on() {
    let mut directory = Directory::default();
    let entries = ["a", "b", "c"].map(entry);
    directory.update(START, entries.to_vec());
    for e in &entries {
        directory.receive(START, &heartbeat(e, true));
    }

    directory.receive(START + Span::millis(10), &heartbeat(&entries[0], false));

    assert_eq!(select(&directory, Span::millis(20), None, "mixco"), ["b:1", "c:1"]);
}

/// With 65 gateways, each receives a heartbeat of any other one only every few seconds. A relayed
/// demand counts like a heartbeat.
#[test]
fn a_gateway_is_live_if_others_relay_its_demand() {
    let mut directory = Directory::default();
    let (a, b) = (entry("a"), entry("b"));
    directory.update(START, vec![a.clone(), b.clone()]);
    directory.receive(START, &heartbeat(&a, true));
    let mut relayed = heartbeat(&b, true);
    relayed.demands.push(Demand {
        gateway: short_hash("a"),
        open: true,
        sensitive: 3,
        age_ms: 300,
    });

    directory.receive(START + Span::secs(3), &relayed);

    assert_eq!(select(&directory, Span::secs(3), None, "mixco"), ["a:1", "b:1"]);
    assert_eq!(directory.sensitive_streams(START + Span::secs(3)), 3);
}

/// The readers from the view of gateway `own`: addresses of the others, and whether it is one.
fn readers(all: &[Entry], own: &Entry) -> (Vec<String>, bool) {
    let mut directory = Directory::default();
    let others: Vec<Entry> = all.iter().filter(|e| e.name != own.name).cloned().collect();
    directory.update(START, others.clone());
    for e in &others {
        directory.receive(START, &heartbeat(e, true));
    }
    let readers = directory.readers(START, own);
    (readers.addresses().cloned().collect(), readers.is_own)
}

#[test]
fn five_of_65_gateways_read_the_store() {
    let all: Vec<Entry> = (0..65).map(|i| entry(&format!("gateway-{i}"))).collect();

    let reading = all.iter().filter(|own| readers(&all, own).1).count();

    assert_eq!(reading, 5);
    let (others, is_reader) = readers(&all, &all[0]);
    assert_eq!(others.len(), 5 - usize::from(is_reader));
}

/// Some hosts have links of 10 Mbit/s, others of 200 Mbit/s. If a gateway with a slow link reads
/// the store for all, its proofs are too old when they arrive, and the others read the store
/// themselves.
#[test]
fn gateways_of_the_greatest_weight_read_the_store() {
    let is_fast = |i: usize| i % 10 == 3;
    let gateway =
        |i| Entry { weight: if is_fast(i) { 500 } else { 120 }, ..entry(&format!("g-{i}")) };
    let all: Vec<Entry> = (0..65).map(gateway).collect();

    let reading: Vec<&Entry> = all.iter().filter(|own| readers(&all, own).1).collect();

    assert_eq!(reading.len(), 5);
    assert!(reading.iter().all(|e| e.weight == 500), "{reading:?}");
    let mut addresses: Vec<String> = reading.iter().map(|e| e.peer_address.clone()).collect();
    addresses.sort();
    for own in all.iter().filter(|e| e.weight < 500) {
        let mut known = readers(&all, own).0;
        known.sort();
        assert_eq!(known, addresses);
    }
}

/// A host fails, and its entry stays listed until the lease ends. A gateway that has just started
/// reads the entry and never receives a heartbeat from there. It must soon stop sending callers
/// there.
#[test]
fn a_listed_gateway_without_any_heartbeat_gets_callers_for_two_seconds_at_most() {
    let mut directory = Directory::default();
    let entries = ["a", "b", "c"].map(entry);
    directory.update(START, entries.to_vec());
    let at_first = select(&directory, Span(0), None, "mixco");
    let later = START + Span::millis(1_900);
    for e in &entries[1..] {
        directory.receive(later, &heartbeat(e, true));
    }
    directory.update(later, entries.to_vec());

    let addresses = select(&directory, Span::millis(1_900), None, "mixco");

    assert_eq!(at_first, ["a:1", "b:1", "c:1"]);
    assert_eq!(addresses, ["b:1", "c:1"]);
}

/// A gateway that receives no heartbeats may itself be partitioned, so the list is all it can use.
#[test]
fn a_gateway_without_live_peers_uses_the_list() {
    let mut directory = Directory::default();
    let entries = ["a", "b"].map(entry);
    directory.update(START, entries.to_vec());
    directory.update(START + Span::secs(3), entries.to_vec());

    assert_eq!(select(&directory, Span::secs(3), None, "mixco"), ["a:1", "b:1"]);
}

/// Differences of views that cross failure domains are dear. If all readers are in one failure
/// domain by chance, every other domain fetches each change from there.
#[test]
fn readers_of_equal_weight_are_spread_over_failure_domains() {
    let gateway =
        |i: usize| Entry { domain: format!("domain-{}", i % 5), ..entry(&format!("gateway-{i}")) };
    let all: Vec<Entry> = (0..985).map(gateway).collect();
    let mut directory = Directory::default();
    directory.update(START, all[1..].to_vec());

    let readers = directory.readers(START, &all[0]);

    let count = readers.addresses().count() + usize::from(readers.is_own);
    assert_eq!(count, 10);
    assert_eq!(readers.local.len() + usize::from(readers.is_own), 2);
}

/// Gateways that start together list each other before the first heartbeats arrive. If these did
/// not count, each gateway would be a reader, and all would read the store at once.
#[test]
fn listed_gateways_count_as_readers_until_their_first_heartbeats_are_due() {
    let all: Vec<Entry> = (0..100).map(|i| entry(&format!("gateway-{i}"))).collect();
    let mut directory = Directory::default();
    directory.update(START, all[1..].to_vec());

    let at_first = directory.readers(START, &all[0]);
    let later = directory.readers(START + Span::secs(2), &all[0]);

    assert_eq!(at_first.addresses().count() + usize::from(at_first.is_own), 5);
    assert!(later.is_empty() && later.is_own);
}

/// The first view of a new fleet lists no gateway, because gateways announce themselves once they
/// have it. If the seeds that it came from did not count, each gateway would read the store itself.
#[test]
fn seeds_count_as_readers_before_any_gateway_is_listed() {
    let seeds = ["a", "b", "c"].map(|name| Entry { weight: 500, ..entry(name) });
    let mut directory = Directory::default();
    directory.add(START, seeds);
    directory.update(START, Vec::new());

    let mut readers = directory.readers(START, &entry("own"));
    readers.local.sort();

    assert_eq!(readers.local, ["a:2", "b:2", "c:2"]);
    assert!(!readers.is_own);
}

/// The gateway of the first rank leads and orders replicas by what it reads in the store. When the
/// rank followed another order than the readers, the leader read nothing and ordered nothing.
#[test]
fn the_gateways_of_the_first_ranks_are_the_readers() {
    let gateway =
        |i: usize| Entry { domain: format!("domain-{}", i % 3), ..entry(&format!("gateway-{i}")) };
    let all: Vec<Entry> = (0..61).map(gateway).collect();

    for own in &all {
        let mut directory = Directory::default();
        directory.update(START, all.iter().filter(|e| e.name != own.name).cloned().collect());
        let is_reader = directory.readers(START, own).is_own;

        assert_eq!(is_reader, directory.reader_rank(START, own) < 4, "{}", own.name);
    }
}
