//! Rollback of the store to a copy that is some seconds old.
//!
//! The changes between the copy and the rollback are lost: replicas that joined, left or restarted,
//! and versions of the configuration.

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

/// Time after a rollback until replicas and the operator have written their entries again.
const REWRITE_TIME: Span = Span::millis(2_200);
const BORN: u64 = 1_764_700_000_000;

fn at(ms: u64) -> Time {
    START + Span::millis(ms)
}

/// Applies a list like a read of the store.
fn read(gateway: &mut Gateway, now: Time, listings: Vec<Listing>) {
    let reconciled = gateway.reconcile(now, listings);
    gateway.update_lists(now, now, reconciled, Vec::new());
}

fn open(gateway: &Gateway) -> BTreeSet<String> {
    let open = gateway.fleet().iter().filter(|replica| !replica.closed);
    open.map(|replica| replica.listing.incarnation.id.clone()).collect()
}

fn ids<const N: usize>(ids: [&str; N]) -> BTreeSet<String> {
    ids.map(str::to_owned).into()
}

/// A gateway after a rollback at 1 s that lost the change of the list from `before` to `after`.
fn rolled_back(before: &[Listing], after: &[Listing]) -> Gateway {
    let mut gateway = gateway(0);
    read(&mut gateway, at(0), before.to_vec());
    read(&mut gateway, at(500), after.to_vec());
    gateway.record_rollback(at(1_000));
    gateway
}

/// The copy lists a replica that has left and lacks the one that replaced it. If the gateway
/// followed it, calls would be sent to the former, and the new one would be idle.
#[test]
fn replicas_that_left_stay_closed_and_those_that_joined_stay_open() {
    let (old, new) = ([listing("a"), listing("b")], [listing("a"), listing("c")]);
    let mut gateway = rolled_back(&old, &new);

    read(&mut gateway, at(1_100), old.to_vec());

    assert_eq!(open(&gateway), ids(["a", "c"]));
}

/// A replica that joined and does not write its entry again has left meanwhile.
#[test]
fn a_replica_still_missing_after_two_seconds_is_closed() {
    let (old, new) = ([listing("a")], [listing("a"), listing("c")]);
    let mut gateway = rolled_back(&old, &new);

    read(&mut gateway, at(1_100), old.to_vec());
    let within = open(&gateway);
    read(&mut gateway, at(1_000) + REWRITE_TIME, old.to_vec());

    assert_eq!(within, ids(["a", "c"]));
    assert_eq!(open(&gateway), ids(["a"]));
}

/// The entry of a replica that left stays in the copy until its lease ends, seconds after the
/// others are written again. Afterwards the list is followed, because a replica may return under
/// its id.
#[test]
fn an_entry_of_a_replica_that_left_is_ignored_until_its_lease_ends() {
    let (old, new) = ([listing("a"), listing("b")], [listing("a")]);
    let mut gateway = rolled_back(&old, &new);

    read(&mut gateway, at(1_100), old.to_vec());
    read(&mut gateway, at(9_000), old.to_vec());
    let within = open(&gateway);
    read(&mut gateway, at(12_000), old.to_vec());

    assert_eq!(within, ids(["a"]));
    assert_eq!(open(&gateway), ids(["a", "b"]));
}

/// A replica restarted before the rollback, and the copy lists its former incarnation. If that were
/// taken over, the state of the current one would be lost.
#[test]
fn a_former_incarnation_does_not_come_back() {
    let incarnation = |born| Listing { incarnation: Incarnation::new("a", born), ..listing("a") };
    let mut gateway = rolled_back(&[incarnation(BORN)], &[incarnation(BORN + 5_000)]);

    read(&mut gateway, at(1_100), vec![incarnation(BORN)]);

    let incarnations: Vec<&Incarnation> =
        gateway.fleet().iter().map(|replica| &replica.listing.incarnation).collect();
    assert_eq!(incarnations, [&Incarnation::new("a", BORN + 5_000)]);
    assert_eq!(open(&gateway), ids(["a"]));
}

/// An address passed from a replica that left to one of another service. The copy lists the former
/// holder, and a call to it would reach the other service.
#[test]
fn an_address_belongs_to_its_new_holder_only() {
    let held = |id: &str, service: &str| Listing {
        service: service.to_owned(),
        address: "10.0.0.9:1".to_owned(),
        ..listing(id)
    };
    let (old, new) = ([held("a", "engines")], [held("b", "notices")]);
    let mut gateway = rolled_back(&old, &new);

    read(&mut gateway, at(1_100), old.to_vec());

    assert_eq!(open(&gateway), ids(["b"]));
}

/// A replica's entry expired and was written again before the rollback. After the rollback the
/// replica writes that it leaves. It must be closed, not keep its state as known before.
#[test]
fn a_replica_whose_entry_had_expired_may_leave_after_the_rollback() {
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

/// A second rollback within the time limits of the first restarts them.
#[test]
fn two_rollbacks_within_ten_seconds_each_have_their_full_time() {
    let (old, new) = ([listing("a"), listing("b")], [listing("a"), listing("c")]);
    let mut gateway = rolled_back(&old, &new);
    read(&mut gateway, at(1_100), old.to_vec());
    read(&mut gateway, at(3_300), new.to_vec());

    gateway.record_rollback(at(8_000));
    read(&mut gateway, at(8_100), old.to_vec());
    let second = open(&gateway);
    read(&mut gateway, at(17_000), old.to_vec());

    assert_eq!(second, ids(["a", "c"]));
    assert_eq!(open(&gateway), ids(["a"]));
}

/// A key was revoked before the rollback, and this gateway had not read that yet. The copy holds
/// the version that it knows. If the read counted as a proof, the revoked key would be accepted
/// until the operator writes the configuration again.
#[test]
fn a_read_shortly_after_a_rollback_is_no_proof() {
    let mut gateway = gateway(1);
    gateway.record_rollback(at(1_000));

    gateway.record_read(at(1_100), Some(Arc::new(config(1))));
    let within = gateway.proved_at();
    gateway.record_read(at(1_000) + REWRITE_TIME, Some(Arc::new(config(1))));

    assert_eq!(within, Some(START));
    assert_eq!(gateway.proved_at(), Some(at(1_000) + REWRITE_TIME));
}

/// The version that the operator writes again is taken at once, and the version of the copy never.
#[test]
fn the_configuration_never_returns_to_an_older_version() {
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
    /// Replicas join and leave in any order, and the store is rolled back. In the two seconds after
    /// the rollback a gateway that saw all changes uses exactly the live replicas, whatever the
    /// copy.
    #[test]
    fn exactly_the_live_replicas_are_used_after_a_rollback_to_any_copy(
        steps in proptest::collection::vec((0u8..6, 0u8..4), 1..24),
        back in 0usize..6,
    ) {
        let mut gateway = gateway(0);
        let mut alive: BTreeSet<String> = ids(["e-0", "e-1", "e-2"]);
        let mut copies: Vec<Vec<Listing>> = Vec::new();
        let mut now = at(0);
        let mut next_id = 3;
        for (replica, act) in &steps {
            now = now + Span::millis(400);
            let listings: Vec<Listing> = alive.iter().map(|id| listing(id)).collect();
            copies.push(listings.clone());
            read(&mut gateway, now, listings);
            let some = alive.iter().nth(usize::from(*replica) % alive.len()).cloned();
            match act {
                0 => {
                    alive.insert(format!("e-{next_id}"));
                    next_id += 1;
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
        read(&mut gateway, now + REWRITE_TIME, written);
        prop_assert_eq!(open(&gateway), alive.clone());
        prop_assert!(gateway.version() == 1);
    }
}
