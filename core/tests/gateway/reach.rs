//! Reach: gateways that can open no connections to replicas.

use std::sync::Arc;

use laburnumwheel_core::arena::Key;
use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Settings;
use laburnumwheel_core::gateway::directory::Entry;
use laburnumwheel_core::gateway::directory::Heartbeat;
use laburnumwheel_core::gateway::fingerprint::Fingerprint;
use laburnumwheel_core::gateway::fleet::Listing;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::gateway::fleet::Replica;
use laburnumwheel_core::gateway::gossip::Observation;
use laburnumwheel_core::gateway::quarantine::CRASH_THRESHOLD;
use laburnumwheel_core::gateway::reach::Change;
use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::support::START;
use crate::support::config;
use crate::support::entry;
use crate::support::gateway;
use crate::support::listing;
use crate::support::listings;
use crate::support::settings;
use crate::support::submission;

/// Replicas without a connection from which on their service is out of reach.
const LOST: usize = 4;

fn at(ms: u64) -> Time {
    START + Span::millis(ms)
}

fn replicas(gateway: &Gateway, service: &str) -> Vec<Key<Replica>> {
    gateway.fleet().open_replicas(service).map(|(key, _)| key).collect()
}

/// Records failed connections to the first `count` replicas of a service; returns the changes.
fn fail(gateway: &mut Gateway, now: Time, service: &str, count: usize) -> Vec<Change> {
    let keys = replicas(gateway, service);
    let failed = keys.iter().take(count);
    let changes = failed.filter_map(|key| gateway.record_connection(now, *key, false));
    changes.map(|(_, change)| change).collect()
}

/// A gateway before six engines and two replicas of a plain service.
fn gateway_of_two_services() -> Gateway {
    let mut gateway = gateway(0);
    let plain = |name| Listing { service: "notices".to_owned(), ..listing(name) };
    let mut all = listings(6);
    all.extend([plain("plain-0"), plain("plain-1")]);
    gateway.update_lists(START, START, all, vec![entry("one"), entry("two")]);
    gateway
}

/// A replica that is down must not make a gateway delegate the calls of its service.
#[test]
fn replicas_that_are_down_are_no_lost_service() {
    let mut gateway = gateway(6);
    let keys = replicas(&gateway, "engines");

    let mut changes = Vec::new();
    for round in 0..10 {
        changes.extend(fail(&mut gateway, at(round * 100), "engines", LOST - 1));
        changes.extend(gateway.record_connection(at(round * 100), keys[5], true).map(|(_, c)| c));
    }

    assert_eq!(changes, []);
    assert!(!gateway.is_out_of_reach("engines"));
}

/// Rare failures of different replicas over a long time must not add up to a loss.
#[test]
fn failures_of_different_times_are_no_lost_service() {
    let mut gateway = gateway(6);
    let keys = replicas(&gateway, "engines");

    for (second, key) in (0..).zip(&keys) {
        assert_eq!(gateway.record_connection(at(second * 2_000), *key, false), None);
    }

    assert!(!gateway.is_out_of_reach("engines"));
}

/// A service with two replicas is out of reach after two failures, or it would never be noticed.
#[test]
fn service_is_lost_with_all_of_its_few_replicas_and_back_with_one() {
    let mut gateway = gateway_of_two_services();

    let lost = fail(&mut gateway, START, "notices", 2);
    let cut_off = gateway.is_cut_off();
    let one = replicas(&gateway, "notices")[0];
    let restored = gateway.record_connection(at(500), one, true);

    assert_eq!(lost, [Change::Lost]);
    assert!(!cut_off, "the engines are in reach");
    assert_eq!(restored, Some(("notices".to_owned(), Change::Restored)));
    assert!(!gateway.is_out_of_reach("notices"));
}

/// A gateway that reaches one of its services serves its calls best itself, so it keeps its callers;
/// one that reaches none gets no new ones.
#[test]
fn only_a_gateway_that_is_cut_off_from_all_services_takes_no_callers() {
    let mut gateway = gateway_of_two_services();

    fail(&mut gateway, START, "engines", LOST);
    let with_one_service = gateway.takes_callers(START);
    fail(&mut gateway, START, "notices", 2);

    assert!(with_one_service);
    assert!(!gateway.takes_callers(START));
    assert!(gateway.is_open(START), "it serves the callers that it has");
    assert!(!gateway.heartbeat(START).demands[0].open);
}

/// The calls of a service may all use open connections, so that only probes tell that it is lost too.
#[test]
fn services_without_new_connections_are_probed_when_another_is_lost() {
    let mut gateway = gateway_of_two_services();
    let before = gateway.probes(START).len();

    fail(&mut gateway, START, "notices", 2);
    let probes = gateway.probes(START);
    let engine = replicas(&gateway, "engines")[0];
    gateway.record_connection(START, engine, true);
    let proved = gateway.probes(at(500));
    let much_later = gateway.probes(at(2_500));

    let is_engine = |(_, address): &(Key<Replica>, String)| address.starts_with("engine");
    assert_eq!(before, 0);
    assert!(probes.iter().any(is_engine) && !probes.iter().all(is_engine));
    assert!(!proved.is_empty() && !proved.iter().any(is_engine));
    assert!(much_later.iter().any(is_engine));
}

/// If a service is down for all gateways, each call would be tried at four of them.
#[test]
fn calls_are_not_delegated_while_no_gateway_reaches_their_service() {
    let mut gateway = gateway(LOST);
    fail(&mut gateway, START, "engines", LOST);
    let grant = gateway.admit(START, &submission("chat", &[])).unwrap();

    let at_first = gateway.must_delegate(START, &grant);
    gateway.record_delegation(START, "engines", false);
    let at_once = gateway.must_delegate(at(10), &grant);
    let later = gateway.must_delegate(at(200), &grant);

    assert_eq!((at_first, at_once, later), (true, false, true));
}

/// Records that the connections to `count` replicas broke while they ran a request.
fn crash(gateway: &mut Gateway, fingerprint: Fingerprint, count: usize) {
    for i in 0..count {
        let call = submission("chat", &[(i as u64, 100)]);
        let mut grant = gateway.admit(START, &call).unwrap();
        grant.fingerprint = Some(fingerprint);
        grant.tried = replicas(gateway, "engines");
        grant.tried.remove(i);
        let mut pick = gateway.pick(START, &call, &mut grant, &[]).unwrap();
        gateway.record_sent(START, &call, &mut grant, &mut pick);
        gateway.record_crash(at(10), &grant, &pick.claim);
    }
}

/// Another gateway tells that all replicas of a service are alive.
fn hear(gateway: &mut Gateway, now: Time, service: &str) {
    let observation = |key: Key<Replica>| {
        let replica = gateway.fleet().get(key).unwrap().listing.incarnation.digest();
        Observation { replica, running: 1, waiting: 0, age_ms: 0, pace: 0 }
    };
    let loads: Vec<Observation> = replicas(gateway, service).into_iter().map(observation).collect();
    let peer = Gateway::new(settings("two"), START);
    gateway.receive(now, &Heartbeat { loads, ..peer.heartbeat(now) });
}

/// All links of a gateway break while it runs the same request at several replicas, which others go
/// on hearing. The request has crashed nothing, and must not be quarantined.
#[test]
fn connections_that_break_with_the_links_quarantine_no_request() {
    let mut gateway = gateway(8);
    let fingerprint = Fingerprint(7);
    hear(&mut gateway, START, "engines");
    crash(&mut gateway, fingerprint, CRASH_THRESHOLD);
    let before = gateway.fingerprints_quarantined(at(10));

    fail(&mut gateway, at(20), "engines", LOST);
    gateway.probes(at(20));
    hear(&mut gateway, at(250), "engines");
    let while_it_may_be_a_crash = gateway.fingerprints_quarantined(at(20));
    gateway.probes(at(1_020));
    gateway.reevaluate_quarantine(at(1_100));

    assert_eq!(before, 1, "the test must reach the threshold");
    assert_eq!(while_it_may_be_a_crash, 1);
    assert_eq!(gateway.fingerprints_quarantined(at(1_100)), 0);
}

/// A gateway loses its links to all replicas and gateways. It still hears a heartbeat after its
/// connections broke, so that its isolation withdraws nothing, and the loss of the replicas must.
#[test]
fn connections_that_break_before_the_last_contact_quarantine_no_request() {
    let mut gateway = gateway(8);
    hear(&mut gateway, START, "engines");
    crash(&mut gateway, Fingerprint(7), CRASH_THRESHOLD);
    gateway.record_contact(at(15));
    fail(&mut gateway, at(20), "engines", LOST);
    hear(&mut gateway, at(100), "engines");

    // Isolated, and the loss is not certain yet.
    let _ = gateway.admit(at(1_018), &submission("chat", &[]));
    let while_it_may_be_a_crash = gateway.fingerprints_quarantined(at(1_018));
    gateway.probes(at(1_020));
    gateway.reevaluate_quarantine(at(1_100));

    assert_eq!(while_it_may_be_a_crash, 1, "the test must reach the threshold");
    assert_eq!(gateway.fingerprints_quarantined(at(1_100)), 0);
}

/// A request that crashes replicas one after the other can make its service seem out of reach for a
/// moment. Its crashes must go on counting.
#[test]
fn crashes_count_although_the_service_seems_lost_for_a_moment() {
    let mut gateway = gateway(8);
    let fingerprint = Fingerprint(7);
    crash(&mut gateway, fingerprint, CRASH_THRESHOLD);

    fail(&mut gateway, at(20), "engines", LOST);
    gateway.probes(at(20));
    let live = replicas(&gateway, "engines")[7];
    gateway.record_connection(at(30), live, true);
    gateway.probes(at(1_100));

    assert_eq!(gateway.fingerprints_quarantined(at(1_100)), 1);
}

/// A request crashes all replicas of its service, which nobody hears any more. The loss looks like that
/// of the links; if it excused the crashes, the request would crash the replicas again once they are
/// back. Others hear of these before this gateway opens a connection.
#[test]
fn crashes_count_while_nobody_reaches_the_service() {
    let mut gateway = gateway(3);
    let fingerprint = Fingerprint(7);
    hear(&mut gateway, START, "engines");
    crash(&mut gateway, fingerprint, CRASH_THRESHOLD);

    for ms in (20..3_000).step_by(250) {
        fail(&mut gateway, at(ms), "engines", 3);
        gateway.probes(at(ms));
    }
    hear(&mut gateway, at(3_100), "engines");
    gateway.probes(at(3_200));
    gateway.reevaluate_quarantine(at(3_200));

    assert_eq!(gateway.fingerprints_quarantined(at(3_200)), 1);
}

/// No connection can be opened to replicas that a request crashes on connections of before.
#[test]
fn crashes_of_a_service_that_seems_out_of_reach_count() {
    let mut gateway = gateway(8);
    fail(&mut gateway, START, "engines", LOST);

    crash(&mut gateway, Fingerprint(7), CRASH_THRESHOLD);

    assert!(gateway.is_out_of_reach("engines"));
    assert_eq!(gateway.fingerprints_quarantined(at(10)), 1);
}

/// A gateway loses its links to one service while a request crashes replicas of another one.
#[test]
fn lost_links_to_one_service_excuse_no_crashes_of_another() {
    let mut gateway = gateway_of_two_services();
    hear(&mut gateway, START, "notices");
    crash(&mut gateway, Fingerprint(7), CRASH_THRESHOLD);

    fail(&mut gateway, at(20), "notices", 2);
    hear(&mut gateway, at(250), "notices");
    gateway.probes(at(1_020));
    gateway.reevaluate_quarantine(at(1_100));

    assert_eq!(gateway.fingerprints_quarantined(at(1_100)), 1);
}

/// Counted at both gateways, a delegated call would allow more retries than the rules do; counted at
/// the delegating one only, it could not be retried.
#[test]
fn delegated_calls_are_counted_for_the_retry_budget_once() {
    let (mut gateway, mut delegate) = (gateway(2), gateway(2));
    for _ in 0..1_000 {
        gateway.admit(START, &submission("chat", &[])).unwrap();
        delegate.admit_delegated(START, &submission("chat", &[]), 1).unwrap();
        gateway.withdraw_call(START, "engines");
    }

    assert!(!gateway.spend_retry(START, "engines"));
    assert!(delegate.spend_retry(START, "engines"));
}

/// A caller that has seen the effects of a version must not be served by an older one.
#[test]
fn delegate_with_an_older_configuration_refuses() {
    let mut delegate = gateway(2);

    let refusal = delegate.admit_delegated(START, &submission("chat", &[]), 2).unwrap_err();

    assert_eq!((refusal.reason, refusal.not_run), (Reason::StaleConfiguration, true));
}

/// Served by a newer version, a call would show its effects at the delegating gateway, which would
/// serve the next one by the older version: its configuration would go back.
#[test]
fn delegate_with_a_newer_configuration_refuses() {
    let mut delegate = gateway(2);
    delegate.record_read(START, Some(Arc::new(config(3))));

    let refusal = delegate.admit_delegated(START, &submission("chat", &[]), 2).unwrap_err();

    assert_eq!((refusal.reason, refusal.not_run), (Reason::StaleConfiguration, true));
}

/// A delegate reads a newer configuration between the admission of a call and its attempt.
#[test]
fn delegated_call_is_refused_if_the_configuration_changes_before_its_attempt() {
    let mut delegate = gateway(2);
    let call = submission("chat", &[]);
    let mut grant = delegate.admit_delegated(START, &call, 1).unwrap();
    let mut own = delegate.admit(START, &call).unwrap();

    delegate.record_read(START, Some(Arc::new(config(2))));

    let refusal = delegate.pick(START, &call, &mut grant, &[]).unwrap_err();
    assert_eq!((refusal.reason, refusal.not_run), (Reason::StaleConfiguration, true));
    assert!(delegate.pick(START, &call, &mut own, &[]).is_ok());
}

/// Time of the calls before a gateway that reaches few replicas.
const LATER: Time = Time(START.0 + 1_000_000);

/// A gateway before eighteen engines of 16 slots. It could not connect to `unreached` of them; other
/// gateways report how many calls run at these and at those that it reaches.
fn partly_cut_off(unreached: usize, calls: u16, calls_at_reached: u16) -> Gateway {
    let mut gateway = gateway(18);
    let call = submission("draft", &[]);
    let mut grant = gateway.admit(START, &call).unwrap();
    for key in replicas(&gateway, "engines").into_iter().take(unreached) {
        gateway.record_unsent(START, &mut grant, key, Outcome::Unreachable);
    }
    report(&mut gateway, LATER, unreached, calls, calls_at_reached);
    gateway
}

/// Another gateway reports the loads of all engines.
fn report(gateway: &mut Gateway, now: Time, unreached: usize, calls: u16, calls_at_reached: u16) {
    let loads = replicas(gateway, "engines").into_iter().enumerate().map(|(i, key)| Observation {
        pace: 0,
        replica: gateway.fleet().get(key).unwrap().listing.incarnation.digest(),
        running: if i < unreached { calls } else { calls_at_reached },
        waiting: 0,
        age_ms: 0,
    });
    let loads = loads.collect();
    let peer = Gateway::new(settings("two"), START);
    gateway.confirm_view(now);
    gateway.receive(now, &Heartbeat { loads, ..peer.heartbeat(now) });
}

fn delegates(gateway: &mut Gateway, now: Time) -> bool {
    let grant = gateway.admit(now, &submission("draft", &[])).unwrap();
    assert!(!gateway.must_delegate(now, &grant), "not out of reach");
    gateway.should_delegate(now, &grant)
}

/// A gateway reaches one of eighteen replicas, which is full. If it kept its calls, half of them would
/// be refused while others have room.
#[test]
fn gateway_that_reaches_few_full_replicas_delegates() {
    assert!(delegates(&mut partly_cut_off(17, 4, 16), LATER));
    assert!(delegates(&mut partly_cut_off(10, 4, 16), LATER), "eight of eighteen");
}

/// As long as the replica in reach has room, or most are in reach, calls go straight to it.
#[test]
fn gateway_keeps_calls_that_its_replicas_have_room_for() {
    assert!(!delegates(&mut partly_cut_off(17, 4, 15), LATER), "the one has room");
    assert!(!delegates(&mut partly_cut_off(8, 4, 16), LATER), "ten of eighteen are in reach");
    assert!(!delegates(&mut partly_cut_off(3, 4, 16), LATER), "three may have crashed");
}

/// All replicas are full. Delegated calls would take the places of the delegates' own.
#[test]
fn overload_of_all_replicas_is_not_delegated() {
    assert!(!delegates(&mut partly_cut_off(17, 13, 16), LATER));
}

/// Replicas that nobody reaches are down: no other gateway serves calls there.
#[test]
fn replicas_that_no_gateway_hears_from_are_not_delegated_to() {
    let mut gateway = partly_cut_off(17, 4, 16);
    let call = submission("draft", &[]);
    let mut grant = gateway.admit(LATER, &call).unwrap();
    for key in replicas(&gateway, "engines").into_iter().take(17) {
        gateway.record_unsent(LATER, &mut grant, key, Outcome::Unreachable);
    }

    assert!(!delegates(&mut gateway, LATER + Span::millis(500)));
}

/// Neither a delegated call nor one for which the delegates had no use is delegated at once again.
#[test]
fn overflow_is_delegated_once_and_not_while_no_gateway_serves_it() {
    let mut gateway = partly_cut_off(17, 4, 16);
    let delegated = gateway.admit_delegated(LATER, &submission("draft", &[]), 1).unwrap();

    let passed_on = gateway.should_delegate(LATER, &delegated);
    gateway.record_partial_delegation(LATER, "engines", false);
    let at_once = delegates(&mut gateway, LATER);
    let later = delegates(&mut gateway, LATER + Span::millis(150));

    assert_eq!((passed_on, at_once, later), (false, false, true));
}

/// The links are back: a few calls or probes reach the replicas, and all calls are made here again.
#[test]
fn overflow_ends_with_the_cut() {
    let mut gateway = partly_cut_off(17, 4, 16);
    let later = LATER + Span::secs(4);

    report(&mut gateway, later, 17, 4, 16);

    assert!(!delegates(&mut gateway, later));
}

/// A fleet of `count` gateways in `domains` failure domains, known to the gateway `one`, of which
/// those named by `is_open` accept callers.
fn fleet(count: usize, domains: usize, is_open: impl Fn(usize) -> bool) -> Gateway {
    let named =
        |i: usize| Entry { domain: format!("domain-{}", i % domains), ..entry(&format!("g{i}")) };
    let entries: Vec<Entry> = (0..count).map(named).collect();
    let mut gateway = Gateway::new(settings("one"), START);
    gateway.update_lists(START, START, Vec::new(), entries.clone());
    for (i, other) in entries.iter().enumerate() {
        let mut peer = Gateway::new(Settings { entry: other.clone(), ..settings("one") }, START);
        peer.record_read(START, Some(Arc::new(config(1))));
        let mut heartbeat = peer.heartbeat(START);
        heartbeat.demands[0].open = is_open(i);
        gateway.receive(START, &heartbeat);
    }
    gateway
}

/// Share of the callers of a failure domain that its gateway `name` gets.
fn share(gateway: &mut Gateway, domain: &str, name: &str) -> f64 {
    const ANSWERS: usize = 4_000;
    let address = format!("{name}:1");
    let mut total = 0.0;
    for _ in 0..ANSWERS {
        let addresses = gateway.addresses_for(START, domain);
        assert!(!addresses.is_empty());
        total += f64::from(u8::from(addresses.contains(&address))) / addresses.len() as f64;
    }
    total / ANSWERS as f64
}

/// If most gateways of a failure domain are cut off, the others must not get all of its callers.
#[test]
fn remaining_gateways_of_a_domain_get_at_most_twice_their_callers() {
    // Domain 0 has 83 of the 985 gateways, of which 8 accept callers.
    let mut large = fleet(985, 12, |i| i % 12 != 0 || i < 12 * 8);
    // Domain 0 has 3 of the 9 gateways, and 2 of the 12.
    let mut small = fleet(9, 3, |i| i != 0);

    assert!(share(&mut large, "domain-0", "g0") < 2.2 / 83.0);
    assert!((share(&mut small, "domain-0", "g3") - 0.5).abs() < 0.05, "two of three keep all");
}

/// Two or all of the three gateways of a failure domain are cut off. Its callers must be spread over
/// the gateways that are left.
#[test]
fn callers_of_a_small_domain_that_is_cut_off_are_spread_over_the_others() {
    let mut most = fleet(9, 3, |i| i % 3 != 0 || i == 0);
    let mut whole = fleet(9, 3, |i| i % 3 != 0);

    assert!(share(&mut most, "domain-0", "g0") < 2.2 / 3.0);
    for other in [1, 2, 4, 5, 7, 8] {
        let other = format!("g{other}");
        assert!(share(&mut most, "domain-0", &other) < 0.2);
        assert!((share(&mut whole, "domain-0", &other) - 1.0 / 6.0).abs() < 0.05);
    }
}

/// All gateways of a failure domain may be cut off with the one that delegates.
#[test]
fn second_delegate_is_of_another_domain() {
    let gateway = fleet(9, 3, |_| true);
    let mut rng = SmallRng::seed_from_u64(1);
    let directory = gateway.directory();

    for _ in 0..100 {
        let first = directory.select_delegate(START, "domain-0", &[], &mut rng).unwrap();
        let tried = [first.name.clone()];
        let second = directory.select_delegate(START, "domain-0", &tried, &mut rng).unwrap();
        assert_eq!(first.domain, "domain-0");
        assert_ne!(second.domain, "domain-0");
    }
}

/// Guards against a weight that is far too large leaving a gateway without any delegate, because the sum
/// of the weights overflows.
#[test]
fn delegates_with_the_greatest_weights_are_selected() {
    let mut gateway = Gateway::new(settings("one"), START);
    let named = |name: &str| Entry { weight: u32::MAX, ..entry(name) };
    let entries = vec![named("g0"), named("g1"), entry("g2")];
    gateway.update_lists(START, START, Vec::new(), entries.clone());
    for other in entries {
        let peer = Gateway::new(Settings { entry: other, ..settings("one") }, START);
        let mut heartbeat = peer.heartbeat(START);
        heartbeat.demands[0].open = true;
        gateway.receive(START, &heartbeat);
    }
    let mut rng = SmallRng::seed_from_u64(1);

    let tried = ["g0".to_owned()];
    let first = gateway.directory().select_delegate(START, "a", &[], &mut rng);
    let second = gateway.directory().select_delegate(START, "a", &tried, &mut rng);

    assert!(first.is_some());
    assert!(second.is_some_and(|entry| entry.name != "g0"));
}

/// A gateway that is cut off itself serves no calls for others.
#[test]
fn gateways_that_accept_no_callers_are_no_delegates() {
    let gateway = fleet(9, 3, |i| i == 4);
    let mut rng = SmallRng::seed_from_u64(1);

    let first = gateway.directory().select_delegate(START, "domain-0", &[], &mut rng);
    let second = first.map(|e| e.name.clone());
    let tried = [second.clone().unwrap()];

    assert_eq!(second.as_deref(), Some("g4"));
    assert_eq!(gateway.directory().select_delegate(START, "domain-0", &tried, &mut rng), None);
}
