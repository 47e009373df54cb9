//! Replicas that say in their answers that they leave.

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Grant;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::departure::Record;
use laburnumwheel_core::gateway::fleet::Listing;
use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::gateway::refusal::Refusal;
use laburnumwheel_core::incarnation::Incarnation;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::net::Net;
use crate::net::Process;
use crate::support::START;
use crate::support::entry;
use crate::support::gateway;
use crate::support::listing;
use crate::support::listings;
use crate::support::submission;

const LEAVING: &str = "engine-0";
/// Time from an answer that says that its replica leaves until no call may reach the replica.
const DRAIN_TIME: Span = Span::secs(2);
/// Time in which a departure reaches all gateways.
const SPREADING_TIME: Span = Span::secs(3);
/// Parts of a prompt with a long shared prefix, which is cached at its homes.
const LONG_PROMPT: [(u64, u32); 2] = [(7, 6_300), (8, 2_890)];

fn update(gateway: &mut Gateway, now: Time, listings: Vec<Listing>) {
    gateway.record_read(now, None);
    gateway.update_lists(now, now, listings, vec![entry("one")]);
}

fn admit(gateway: &mut Gateway, now: Time) -> Grant {
    gateway.admit(now, &submission("report", &LONG_PROMPT)).unwrap()
}

fn pick(gateway: &mut Gateway, now: Time, grant: &mut Grant) -> Result<Pick, Refusal> {
    gateway.pick(now, &submission("report", &LONG_PROMPT), grant, &[])
}

/// The replica that a new call goes to.
fn replica_of_call(gateway: &mut Gateway, now: Time) -> Result<String, Reason> {
    let mut grant = admit(gateway, now);
    pick(gateway, now, &mut grant).map(|pick| pick.id).map_err(|refusal| refusal.reason)
}

fn depart(gateway: &mut Gateway, now: Time, listing: &Listing) {
    let record = Record { replica: listing.incarnation.digest(), age_ms: 0 };
    gateway.receive_departures(now, &[record]);
}

/// Guards against a list of an unreachable store, or of an older copy, that has calls sent to a
/// replica which had said that it leaves.
#[test]
fn departure_holds_whatever_the_list_says() {
    let mut gateway = gateway(2);
    let mut grant = admit(&mut gateway, START);
    let first = pick(&mut gateway, START, &mut grant).unwrap();
    let other = listings(2).into_iter().find(|l| l.incarnation.id != first.id).unwrap();

    let is_new = gateway.record_departure(START, &first.claim);

    assert!(is_new && !gateway.record_departure(START, &first.claim));
    let ready = listings(2);
    let missing = vec![other.clone()];
    for (n, listed) in [ready.clone(), missing, ready.clone(), ready].into_iter().enumerate() {
        let now = START + Span::secs(n as u64);
        update(&mut gateway, now, listed);
        assert_eq!(replica_of_call(&mut gateway, now).as_ref(), Ok(&other.incarnation.id), "{n}");
    }
}

/// Guards against a departure that reaches a gateway before the entry of its replica does.
#[test]
fn departure_of_an_unlisted_replica_holds_once_it_is_listed() {
    let mut gateway = gateway(1);
    let joining = listing("engine-1");
    depart(&mut gateway, START, &joining);

    update(&mut gateway, START, vec![joining]);

    let later = START + DRAIN_TIME;
    assert_eq!(replica_of_call(&mut gateway, later), Err(Reason::NoReplica));
}

/// Guards against a replica that is never used again after it left and started anew under its id.
#[test]
fn restart_under_the_id_ends_a_departure() {
    let mut gateway = gateway(0);
    let started = |start_ms| {
        let incarnation = Incarnation::new(LEAVING, start_ms);
        Listing { incarnation, ..listing(LEAVING) }
    };
    update(&mut gateway, START, vec![started(1)]);
    depart(&mut gateway, START, &started(1));
    let later = START + DRAIN_TIME;
    let before = replica_of_call(&mut gateway, later);

    update(&mut gateway, later, vec![started(2)]);

    assert_eq!(before, Err(Reason::NoReplica));
    assert_eq!(replica_of_call(&mut gateway, later), Ok(LEAVING.to_owned()));
}

/// Guards against calls that wait for, or fail at, the home of their prompt after it has left.
#[test]
fn home_that_leaves_is_replaced_alike_at_all_gateways() {
    let (mut one, mut two) = (gateway(6), gateway(6));
    let home = replica_of_call(&mut one, START).unwrap();
    let leaving = listing(&home);
    depart(&mut one, START, &leaving);
    let records = one.gossip_departures(START);
    two.receive_departures(START, &records);

    let next = replica_of_call(&mut one, START).unwrap();

    assert_ne!(next, home);
    assert_eq!(replica_of_call(&mut two, START), Ok(next));
    let grant = admit(&mut one, START);
    let queries = one.queries(START, &submission("report", &LONG_PROMPT), &grant);
    assert!(queries.values().flatten().all(|engine| *engine != leaving.incarnation.digest()));
}

/// Guards against an isolated pool that keeps a leaving engine as a member, so that it is one short.
#[test]
fn isolated_pool_replaces_a_leaving_engine() {
    let mut gateway = gateway(6);
    let mut ids: Vec<String> = (0..6).map(|n| format!("engine-{n}")).collect();
    ids.sort_by_key(|id| listing(id).incarnation.hash());

    depart(&mut gateway, START, &listing(&ids[0]));

    assert_eq!(gateway.fleet().listed_prefix(START, "engines", 2), 2);
    assert_eq!(gateway.registered("engines"), 5);
    assert_eq!(gateway.fleet().usable(START, "engines"), 5);
}

/// Guards against callers that are refused although the last replica of their service still serves,
/// and against calls to it when it must get no more.
#[test]
fn last_replica_gets_calls_for_a_moment_only() {
    let mut gateway = gateway(1);
    depart(&mut gateway, START, &listing(LEAVING));

    let soon = START + Span::millis(900);
    let late = START + Span::millis(1_100);

    assert_eq!(replica_of_call(&mut gateway, soon), Ok(LEAVING.to_owned()));
    assert_eq!(replica_of_call(&mut gateway, late), Err(Reason::NoReplica));
    let mut grant = admit(&mut gateway, late);
    let refusal = pick(&mut gateway, late, &mut grant).unwrap_err();
    assert!(refusal.not_run && refusal.retry_after > Span(0));
}

/// Guards against calls that were chosen for a replica, waited for a connection or a permit, and
/// leave for it long after it said that it leaves.
#[test]
fn call_under_way_is_sent_for_a_moment_only() {
    let mut gateway = gateway(2);
    let mut grant = admit(&mut gateway, START);
    let pick = pick(&mut gateway, START, &mut grant).unwrap();

    gateway.record_departure(START, &pick.claim);

    assert!(gateway.may_send(START + Span::millis(900), &grant, pick.claim.replica));
    assert!(!gateway.may_send(START + Span::millis(1_100), &grant, pick.claim.replica));
    assert_eq!(gateway.max_idle_connections(pick.claim.replica), 0);
}

/// Guards against a retry that goes to a leaving replica because all others were tried.
#[test]
fn retry_goes_to_no_leaving_replica() {
    let mut gateway = gateway(2);
    let mut grant = admit(&mut gateway, START);
    let mut first = pick(&mut gateway, START, &mut grant).unwrap();
    let submission = submission("report", &LONG_PROMPT);
    gateway.record_sent(START, &submission, &mut grant, &mut first);
    let other = listings(2).into_iter().find(|l| l.incarnation.id != first.id).unwrap();
    depart(&mut gateway, START, &other);

    let retried = pick(&mut gateway, START + DRAIN_TIME, &mut grant);

    assert_eq!(retried.map(|pick| pick.id).map_err(|r| r.reason), Err(Reason::NoReplica));
}

/// Runs a fleet before a store that goes on listing a leaving engine as ready, and checks that no
/// gateway sends it calls once it knows.
fn run_departure(gateways: usize, silent: usize) {
    let traffic = [("chat", 60.0)];
    let mut net = Net::start(gateways, silent, 3, 11);
    net.leaving.insert(LEAVING.to_owned());
    net.run(SPREADING_TIME, &traffic);
    let from = net.now;

    net.run(Span::secs(20), &traffic);

    assert_eq!(net.arrived_since(LEAVING, from), 0);
    assert!(net.tallies["chat"].refusals.is_empty(), "{:?}", net.tallies["chat"]);
}

/// Guards against gateways of which each learns of a departure by a call of its own.
#[test]
fn departure_reaches_nine_gateways() {
    run_departure(9, 0);
}

/// The same for a fleet so large that each gateway hears few of the others.
#[test]
fn departure_reaches_a_large_fleet() {
    run_departure(40, 945);
}

/// Guards against a gateway that starts long after a departure, while the store still lists the
/// replica as ready, and against one that was frozen meanwhile.
#[test]
fn gateways_that_start_or_thaw_later_learn_of_a_departure() {
    let traffic = [("chat", 60.0)];
    let mut net = Net::start(9, 0, 3, 11);
    net.set_process(8, Process::Frozen);
    net.leaving.insert(LEAVING.to_owned());
    net.run(Span::secs(30), &traffic);
    net.set_process(8, Process::Running);
    net.join("gateway-0");
    net.run(SPREADING_TIME, &[]);
    let from = net.now;

    net.run(Span::secs(10), &traffic);

    assert_eq!(net.arrived_since(LEAVING, from), 0);
}

/// Guards against gossip that grows with all replicas that left, and that never ends.
#[test]
fn gossip_of_departures_is_bounded_and_ends() {
    let mut gateway = gateway(0);
    update(&mut gateway, START, listings(500));
    listings(500).iter().for_each(|listing| depart(&mut gateway, START, listing));

    let fresh = gateway.gossip_departures(START).len();
    let old = gateway.gossip_departures(START + Span::secs(60)).len();
    let shown: Vec<Listing> =
        listings(500).into_iter().map(|l| Listing { leaving: true, ..l }).collect();
    update(&mut gateway, START + Span::secs(60), shown);
    let ended = gateway.gossip_departures(START + Span::secs(60)).len();

    assert!(fresh <= 100 && fresh > 0, "{fresh}");
    assert!(old <= 8 && old > 0, "{old}");
    assert_eq!(ended, 0);
}
