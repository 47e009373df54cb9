//! Which replicas may get work.

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::directory::Heartbeat;
use laburnumwheel_core::gateway::fleet::Listing;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::support::START;
use crate::support::ask;
use crate::support::entry;
use crate::support::gateway;
use crate::support::listing;
use crate::support::listings;

fn chosen(gateway: &mut Gateway, now: Time) -> Option<String> {
    let call = ask("report", &[]);
    let mut grant = gateway.admit(now, &call).ok()?;
    gateway.pick(now, &call, &mut grant, &[]).ok().map(|pick| pick.id)
}

/// A heartbeat of a gateway that read the store `age` ago.
fn heartbeat(name: &str, age: Span) -> Heartbeat {
    Heartbeat {
        entry: entry(name),
        demands: Vec::new(),
        loads: Vec::new(),
        prefill: Vec::new(),
        quarantine: Vec::new(),
        plans: Vec::new(),
        version: 1,
        proof_age: Some(age.0),
    }
}

#[test]
fn a_replica_that_says_it_leaves_gets_nothing_new() {
    let mut gateway = gateway(2);
    let mut leaving = listings(2);
    leaving[0].leaving = true;

    let changes = gateway.update_lists(START, START, leaving, vec![]);

    assert_eq!(changes.closed, ["engine-0"]);
    assert_eq!(chosen(&mut gateway, START).as_deref(), Some("engine-1"));
}

/// Some replicas never say that they leave: their entry goes, and they serve on for a while.
#[test]
fn a_replica_whose_entry_is_gone_gets_nothing_new() {
    let mut gateway = gateway(2);

    gateway.update_lists(
        START + Span::millis(600),
        START + Span::millis(600),
        vec![listing("engine-1")],
        vec![],
    );

    assert_eq!(chosen(&mut gateway, START).as_deref(), Some("engine-1"));
}

/// The same, with a link so full that the reads themselves lie 2.6 s apart: only what the others'
/// heartbeats told of tells that the store was there.
#[test]
fn reads_that_lie_far_apart_are_no_outage_while_others_read() {
    let mut gateway = gateway(2);
    for ms in (500..=2_500).step_by(500) {
        let now = START + Span::millis(ms);
        gateway.receive(now, &heartbeat("two", Span::millis(200)));
    }
    let sent = START + Span::millis(2_600);
    gateway.record_read(sent, None);
    let now = sent + Span::millis(950);

    let changes = gateway.update_lists(
        sent,
        now,
        vec![listing("engine-1")],
        vec![entry("one"), entry("two")],
    );

    assert_eq!(changes.closed, ["engine-0"]);
    assert_eq!(chosen(&mut gateway, now).as_deref(), Some("engine-1"));
}

/// The store comes back after an outage, and another gateway reads it first. Its heartbeat tells of
/// a young proof before this gateway's own list comes, and that list lacks replicas that live.
#[test]
fn an_outage_counts_as_one_also_for_those_who_hear_first_that_it_is_over() {
    let mut gateway = gateway(2);
    let back = START + Span::secs(4);
    gateway.receive(back, &heartbeat("two", Span(0)));
    let now = back + Span::millis(500);
    gateway.record_read(now, None);

    let changes = gateway.update_lists(now, now, vec![], vec![entry("one"), entry("two")]);

    assert_eq!(changes.retained, ["engine-0", "engine-1"]);
    assert!(chosen(&mut gateway, now).is_some());
}

/// Callers get answers from a replica that has left seconds before. Its entry goes while this
/// gateway's link is full, so that its list comes 2.6 s after the last one; it takes that for an
/// outage of the store and goes on using what is missing. Heartbeats told it all the while that
/// others had read the store: nothing can have lapsed.
#[test]
fn a_list_that_comes_late_is_no_outage_of_the_store() {
    let mut gateway = gateway(2);
    for ms in (500..=2_500).step_by(500) {
        let now = START + Span::millis(ms);
        gateway.receive(now, &heartbeat("two", Span::millis(200)));
    }
    let now = START + Span::millis(2_600);
    let sent = START + Span::millis(1_700);
    gateway.record_read(sent, None);

    let changes = gateway.update_lists(
        sent,
        now,
        vec![listing("engine-1")],
        vec![entry("one"), entry("two")],
    );

    assert_eq!(changes.closed, ["engine-0"]);
    assert_eq!(chosen(&mut gateway, now).as_deref(), Some("engine-1"));
}

/// The store is out for seconds, and leases lapse meanwhile. When it is back, most entries are
/// missing for a moment although their replicas live; going by the list the fleet would be empty.
#[test]
fn entries_that_lapsed_in_an_outage_are_kept_until_they_can_be_back() {
    let mut gateway = gateway(3);
    let back = START + Span::secs(4);
    gateway.record_read(back, None);

    gateway.update_lists(back, back, vec![], vec![]);
    let at_once = chosen(&mut gateway, back);
    gateway.update_lists(
        back + Span::millis(2_300),
        back + Span::millis(2_300),
        vec![listing("engine-2")],
        vec![],
    );
    let later = chosen(&mut gateway, back + Span::millis(2_300));

    assert!(at_once.is_some());
    assert_eq!(later.as_deref(), Some("engine-2"));
}

/// Calls go on to a replica whose entry another writer has spoilt. After an outage of the store,
/// what is missing is used on for a moment; an entry that is there and says nothing is not missing.
#[test]
fn a_replica_whose_entry_is_unreadable_gets_nothing_also_after_an_outage() {
    let mut gateway = gateway(3);
    let back = START + Span::secs(4);
    gateway.record_read(back, None);

    let changes = gateway.update_lists(back, back, vec![Listing::unreadable("engine-0")], vec![]);
    let used = gateway.fleet().usable(back, "engines");
    let whole = back + Span::millis(500);
    gateway.update_lists(whole, whole, listings(3), vec![]);

    assert_eq!(changes.closed, ["engine-0"]);
    assert_eq!(changes.retained, ["engine-1", "engine-2"]);
    assert_eq!(used, 2);
    assert_eq!(gateway.fleet().usable(whole, "engines"), 3);
}

#[test]
fn an_unreadable_entry_of_an_unknown_replica_names_none() {
    let mut gateway = gateway(1);
    let mut listed = listings(1);
    listed.push(Listing::unreadable("stray"));

    let changes = gateway.update_lists(START, START, listed, vec![]);

    assert!(changes.added.is_empty() && changes.closed.is_empty());
    assert_eq!(gateway.fleet().iter().count(), 1);
}

/// An address is given to a replica of another service. The first call finds out; no further one
/// goes there until the list names the address anew.
#[test]
fn a_replica_that_was_replaced_at_its_address_gets_nothing_more() {
    let mut gateway = gateway(2);
    let call = ask("report", &[]);
    let mut grant = gateway.admit(START, &call).unwrap();
    let mut pick = gateway.pick(START, &call, &mut grant, &[]).unwrap();
    gateway.record_sent(START, &call, &mut grant, &mut pick);

    gateway.record_end(START, pick.claim, Outcome::Replaced);

    let next: Vec<Option<String>> = (0..5).map(|_| chosen(&mut gateway, START)).collect();
    assert!(next.iter().all(|id| id.as_ref().is_some_and(|id| *id != pick.id)));
}

/// A host goes dark. Connections to it hang; each call that tries it loses its objective. After a
/// failed connection it rests, and longer each time, until a connection works again.
#[test]
fn a_replica_that_can_not_be_reached_rests() {
    let mut gateway = gateway(2);
    let call = ask("report", &[]);
    let mut grant = gateway.admit(START, &call).unwrap();
    let first = gateway.pick(START, &call, &mut grant, &[]).unwrap();
    gateway.record_unsent(START, &mut grant, first.claim.replica, Outcome::Unreachable);

    let usable = |ms: u64| gateway.fleet().usable(START + Span::millis(ms), "engines");

    assert_eq!((usable(100), usable(500)), (1, 2));
    let at_once = chosen(&mut gateway, START + Span::millis(100));
    assert!(at_once.is_some_and(|id| id != first.id));
}

#[test]
fn with_no_replica_the_caller_is_told_to_come_back() {
    let mut gateway = gateway(0);
    let call = ask("report", &[]);
    let mut grant = gateway.admit(START, &call).unwrap();

    let refusal = gateway.pick(START, &call, &mut grant, &[]).unwrap_err();

    assert_eq!(refusal.reason, Reason::NoReplica);
    assert!(refusal.not_run && refusal.retry_after > Span(0));
}

#[test]
fn gateways_list_one_another_without_themselves() {
    let mut gateway = gateway(1);

    gateway.update_lists(START, START, listings(1), vec![entry("one"), entry("two")]);

    assert_eq!(gateway.peer_addresses(), ["two:2"]);
}
