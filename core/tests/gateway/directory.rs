//! Which gateways callers are sent to.

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

fn answer(directory: &Directory, at: Span, own: Option<&Entry>, domain: &str) -> Vec<String> {
    let mut answer =
        directory.select_addresses(START + at, own, domain, &mut SmallRng::seed_from_u64(1));
    answer.sort();
    answer
}

#[test]
fn callers_are_sent_to_their_own_domain_if_two_gateways_are_there() {
    let mut directory = Directory::default();
    let entries = [("a", "mixco"), ("b", "mixco"), ("c", "villa")].map(|(n, d)| in_domain(n, d));
    directory.update(START, entries.to_vec());

    let mixco = answer(&directory, Span(0), None, "mixco");
    let villa = answer(&directory, Span(0), None, "villa");

    assert_eq!(mixco, ["a:1", "b:1"]);
    assert_eq!(villa, ["a:1", "b:1", "c:1"]);
}

/// A host loses its power. Its entry stays in the store until its lease ends; each caller that is
/// sent there in the meantime loses a second. Heartbeats that stop show it sooner.
#[test]
fn a_gateway_that_falls_silent_gets_no_callers_although_it_is_listed() {
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

    let sent_to = answer(&directory, Span::secs(2), None, "mixco");

    assert_eq!(sent_to, ["b:1", "c:1"]);
}

#[test]
fn a_gateway_that_leaves_gets_no_callers_from_its_next_heartbeat_on() {
    let mut directory = Directory::default();
    let entries = ["a", "b", "c"].map(entry);
    directory.update(START, entries.to_vec());
    for e in &entries {
        directory.receive(START, &heartbeat(e, true));
    }

    directory.receive(START + Span::millis(10), &heartbeat(&entries[0], false));

    assert_eq!(answer(&directory, Span::millis(20), None, "mixco"), ["b:1", "c:1"]);
}

/// With sixty-five gateways each hears from any other only every few seconds; what others pass on
/// of it counts as if it had been heard.
#[test]
fn a_gateway_lives_if_others_have_heard_of_it() {
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

    assert_eq!(answer(&directory, Span::secs(3), None, "mixco"), ["a:1", "b:1"]);
    assert_eq!(directory.sensitive_streams(START + Span::secs(3)), 3);
}

/// Who reads, as the gateway `own` sees it: the others' addresses, and whether it does itself.
fn readers(all: &[Entry], own: &Entry) -> (Vec<String>, bool) {
    let mut directory = Directory::default();
    let others: Vec<Entry> = all.iter().filter(|e| e.name != own.name).cloned().collect();
    directory.update(START, others.clone());
    for e in &others {
        directory.receive(START, &heartbeat(e, true));
    }
    directory.readers(START, own)
}

#[test]
fn a_few_gateways_read_the_store_for_all() {
    let all: Vec<Entry> = (0..65).map(|i| entry(&format!("gateway-{i}"))).collect();

    let reading = all.iter().filter(|own| readers(&all, own).1).count();

    assert_eq!(reading, 5);
    let (others, is_reader) = readers(&all, &all[0]);
    assert_eq!(others.len(), 5 - usize::from(is_reader));
}

/// Some hosts have links of 10 Mbit/s and others of 200. If one of the narrow reads the store for all,
/// its reads take longer than their proofs are worth, and the others read the store themselves.
#[test]
fn gateways_of_the_greatest_weight_read_for_all() {
    let wide = |i: usize| i % 10 == 3;
    let gateway = |i| Entry { weight: if wide(i) { 500 } else { 120 }, ..entry(&format!("g-{i}")) };
    let all: Vec<Entry> = (0..65).map(gateway).collect();

    let reading: Vec<&Entry> = all.iter().filter(|own| readers(&all, own).1).collect();

    assert_eq!(reading.len(), 5);
    assert!(reading.iter().all(|e| e.weight == 500), "{reading:?}");
    let mut addresses: Vec<String> = reading.iter().map(|e| e.peer_address.clone()).collect();
    addresses.sort();
    for own in all.iter().filter(|e| e.weight < 500) {
        let mut seen = readers(&all, own).0;
        seen.sort();
        assert_eq!(seen, addresses);
    }
}

/// A host loses its power, and its entry outlives it. A gateway that has just started finds the entry
/// and has never heard a heartbeat from there; it must not send callers there until the lease ends.
#[test]
fn a_gateway_that_was_never_heard_of_gets_callers_only_for_a_moment() {
    let mut directory = Directory::default();
    let entries = ["a", "b", "c"].map(entry);
    directory.update(START, entries.to_vec());
    let at_first = answer(&directory, Span(0), None, "mixco");
    let later = START + Span::millis(1_900);
    for e in &entries[1..] {
        directory.receive(later, &heartbeat(e, true));
    }
    directory.update(later, entries.to_vec());

    let sent_to = answer(&directory, Span::millis(1_900), None, "mixco");

    assert_eq!(at_first, ["a:1", "b:1", "c:1"]);
    assert_eq!(sent_to, ["b:1", "c:1"]);
}

/// A gateway that hears nobody may be cut off itself. What the store lists is then all that it has.
#[test]
fn a_gateway_that_hears_nobody_goes_by_the_list() {
    let mut directory = Directory::default();
    let entries = ["a", "b"].map(entry);
    directory.update(START, entries.to_vec());
    directory.update(START + Span::secs(3), entries.to_vec());

    assert_eq!(answer(&directory, Span::secs(3), None, "mixco"), ["a:1", "b:1"]);
}
