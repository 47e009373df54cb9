//! A store that comes back from a copy some seconds old, as a gateway sees it.

use std::collections::BTreeSet;
use std::sync::Arc;

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::fleet::Listing;
use laburnumwheel_core::gateway::position::Position;
use laburnumwheel_core::incarnation::Incarnation;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

use crate::support::START;
use crate::support::config;
use crate::support::gateway;
use crate::support::listing;

/// Time in which replicas and operator write theirs again.
const REWRITTEN: Span = Span::millis(2_200);
const BORN: u64 = 1_764_700_000_000;

fn at(ms: u64) -> Time {
    START + Span::millis(ms)
}

/// Takes a list in as a read of the store does.
fn read(gateway: &mut Gateway, now: Time, listings: Vec<Listing>) {
    let amended = gateway.reconcile(now, listings);
    gateway.update_lists(now, now, amended, Vec::new());
}

fn open(gateway: &Gateway) -> BTreeSet<String> {
    let open = gateway.fleet().iter().filter(|replica| !replica.closed);
    open.map(|replica| replica.listing.incarnation.id.clone()).collect()
}

fn ids<const N: usize>(ids: [&str; N]) -> BTreeSet<String> {
    ids.map(str::to_owned).into()
}

/// The fleet of `before` became that of `after` in the seconds that are lost.
fn returned(before: &[Listing], after: &[Listing]) -> Gateway {
    let mut gateway = gateway(0);
    read(&mut gateway, at(0), before.to_vec());
    read(&mut gateway, at(500), after.to_vec());
    gateway.record_rollback(at(1_000));
    gateway
}

/// The copy lists a replica that has gone and lacks the one in its place: calls would go to nobody, and
/// the one that is there would stand idle.
#[test]
fn the_gone_stay_gone_and_those_that_joined_stay() {
    let (old, new) = ([listing("a"), listing("b")], [listing("a"), listing("c")]);
    let mut gateway = returned(&old, &new);

    read(&mut gateway, at(1_100), old.to_vec());

    assert_eq!(open(&gateway), ids(["a", "c"]));
}

/// One that has joined and does not write its entry again has gone meanwhile.
#[test]
fn one_that_is_missing_after_two_seconds_is_gone() {
    let (old, new) = ([listing("a")], [listing("a"), listing("c")]);
    let mut gateway = returned(&old, &new);

    read(&mut gateway, at(1_100), old.to_vec());
    let within = open(&gateway);
    read(&mut gateway, at(1_000) + REWRITTEN, old.to_vec());

    assert_eq!(within, ids(["a", "c"]));
    assert_eq!(open(&gateway), ids(["a"]));
}

/// The entry of a replica that is gone stays in the copy until its lease ends, seconds after the others
/// are written again. In the end the list is right: a replica may come back under its id.
#[test]
fn an_entry_of_the_gone_counts_for_nothing_until_its_lease_has_ended() {
    let (old, new) = ([listing("a"), listing("b")], [listing("a")]);
    let mut gateway = returned(&old, &new);

    read(&mut gateway, at(1_100), old.to_vec());
    read(&mut gateway, at(9_000), old.to_vec());
    let within = open(&gateway);
    read(&mut gateway, at(12_000), old.to_vec());

    assert_eq!(within, ids(["a"]));
    assert_eq!(open(&gateway), ids(["a", "b"]));
}

/// A replica started again under its id in the lost seconds, and the copy lists its former run. What is
/// learnt of the one that is there would be lost, and answers counted for the other.
#[test]
fn the_former_run_of_a_replica_does_not_come_back() {
    let life = |born| Listing { incarnation: Incarnation::new("a", born), ..listing("a") };
    let mut gateway = returned(&[life(BORN)], &[life(BORN + 5_000)]);

    read(&mut gateway, at(1_100), vec![life(BORN)]);

    let runs: Vec<&Incarnation> =
        gateway.fleet().iter().map(|replica| &replica.listing.incarnation).collect();
    assert_eq!(runs, [&Incarnation::new("a", BORN + 5_000)]);
    assert_eq!(open(&gateway), ids(["a"]));
}

/// An address went from a replica that is gone to one of another service in the lost seconds. The copy
/// names the former holder: a call to it would reach the other service.
#[test]
fn an_address_that_was_handed_on_leads_to_its_new_holder_alone() {
    let held = |id: &str, service: &str| Listing {
        service: service.to_owned(),
        address: "10.0.0.9:1".to_owned(),
        ..listing(id)
    };
    let (old, new) = ([held("a", "engines")], [held("b", "notices")]);
    let mut gateway = returned(&old, &new);

    read(&mut gateway, at(1_100), old.to_vec());

    assert_eq!(open(&gateway), ids(["b"]));
}

/// A replica's entry lapsed and came back before the return; after it the replica writes that it leaves.
/// Taken for one that is gone, it would stay in use as it was known.
#[test]
fn one_that_had_lapsed_and_come_back_may_leave_within_the_return() {
    let (both, one) = ([listing("a"), listing("b")], [listing("a")]);
    let mut gateway = gateway(0);
    read(&mut gateway, at(0), both.to_vec());
    read(&mut gateway, at(500), one.to_vec());
    read(&mut gateway, at(900), both.to_vec());
    gateway.record_rollback(at(1_000));

    let leaving = Listing { leaving: true, ..listing("b") };
    read(&mut gateway, at(1_100), vec![listing("a"), leaving]);

    assert_eq!(open(&gateway), ids(["a"]));
}

/// A second return within the spans of the first begins them anew.
#[test]
fn two_returns_in_ten_seconds_are_each_waited_out() {
    let (old, new) = ([listing("a"), listing("b")], [listing("a"), listing("c")]);
    let mut gateway = returned(&old, &new);
    read(&mut gateway, at(1_100), old.to_vec());
    read(&mut gateway, at(3_300), new.to_vec());

    gateway.record_rollback(at(8_000));
    read(&mut gateway, at(8_100), old.to_vec());
    let second = open(&gateway);
    read(&mut gateway, at(17_000), old.to_vec());

    assert_eq!(second, ids(["a", "c"]));
    assert_eq!(open(&gateway), ids(["a"]));
}

/// A key was taken away in the lost seconds, and this gateway had not read that yet. The copy shows the
/// version it knows; taken for a proof, the key would be honoured for as long as the copy stands.
#[test]
fn a_read_within_the_return_proves_no_freshness() {
    let mut gateway = gateway(1);
    gateway.record_rollback(at(1_000));

    gateway.record_read(at(1_100), Some(Arc::new(config(1))));
    let within = gateway.proved_at();
    gateway.record_read(at(1_000) + REWRITTEN, Some(Arc::new(config(1))));

    assert_eq!(within, Some(START));
    assert_eq!(gateway.proved_at(), Some(at(1_000) + REWRITTEN));
}

/// What the operator writes again comes into force at once, and what the copy holds never does.
#[test]
fn the_version_in_force_never_goes_back() {
    let mut gateway = gateway(1);
    gateway.record_read(at(500), Some(Arc::new(config(5))));
    gateway.record_rollback(at(1_000));

    gateway.record_read(at(1_100), Some(Arc::new(config(4))));
    let within = gateway.version();
    gateway.record_read(at(1_500), Some(Arc::new(config(6))));

    assert_eq!((within, gateway.version()), (5, 6));
}

#[test]
fn positions_are_ordered_by_era_first() {
    let before = Position { era: 1, revision: 900 };
    let after = Position { era: 2, revision: 7 };

    assert!(before < after);
    assert_ne!(before, Position { era: 2, revision: 900 });
}

proptest! {
    /// Replicas join and leave and the store goes back, in any order. In the two seconds after a return
    /// a gateway that saw all of it uses exactly those that live, whichever copy it reads.
    #[test]
    fn whatever_the_copy_those_that_live_are_used(
        steps in proptest::collection::vec((0u8..6, 0u8..4), 1..24),
        back in 0usize..6,
    ) {
        let mut gateway = gateway(0);
        let mut alive: BTreeSet<String> = ids(["e-0", "e-1", "e-2"]);
        let mut copies: Vec<Vec<Listing>> = Vec::new();
        let mut now = at(0);
        let mut fresh = 3;
        for (replica, act) in &steps {
            now = now + Span::millis(400);
            let lists: Vec<Listing> = alive.iter().map(|id| listing(id)).collect();
            copies.push(lists.clone());
            read(&mut gateway, now, lists);
            let some = alive.iter().nth(usize::from(*replica) % alive.len()).cloned();
            match act {
                0 => {
                    alive.insert(format!("e-{fresh}"));
                    fresh += 1;
                }
                1 if alive.len() > 1 => {
                    some.map(|id| alive.remove(&id));
                }
                _ => {}
            }
        }
        now = now + Span::millis(400);
        read(&mut gateway, now, alive.iter().map(|id| listing(id)).collect());

        gateway.record_rollback(now);
        let copy = &copies[copies.len().saturating_sub(1 + back)];
        for ms in [100, 700, 2_100] {
            read(&mut gateway, now + Span::millis(ms), copy.clone());
            prop_assert_eq!(open(&gateway), alive.clone());
        }
        let written = alive.iter().map(|id| listing(id)).collect();
        read(&mut gateway, now + REWRITTEN, written);
        prop_assert_eq!(open(&gateway), alive.clone());
        prop_assert!(gateway.version() == 1);
    }
}
