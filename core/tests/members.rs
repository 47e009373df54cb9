//! What a router believes of its peers.

use laburnumwheel_core::action::Action;
use laburnumwheel_core::member::Members;
use laburnumwheel_core::member::Record;
use laburnumwheel_core::member::State;
use laburnumwheel_core::member::Verdict;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const START: Time = Time(1_000_000_000);

fn record(name: &str, verdict: Verdict) -> Record {
    Record {
        name: name.to_owned(),
        incarnation: 1,
        version: 1,
        state: State::Serving,
        verdict,
        failure_domain: "a".to_owned(),
        caller_address: format!("{name}:1"),
        peer_address: format!("{name}:2"),
        epoch: 0,
        adopted: Vec::new(),
    }
}

/// Callers are sent past a router that is well. Another router was frozen for 3.5 s with a probe
/// under way; when it wakes it judges the probe before it has read the answer that waits in its
/// socket, dials nobody anew, and tells everyone that its peer is suspected.
#[test]
fn a_router_that_was_frozen_holds_that_against_no_peer() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut out: Vec<Action> = Vec::new();
    let mut members = Members::new(record("one", Verdict::Alive));
    members.merge(START, &mut rng, &mut out, vec![record("two", Verdict::Alive)]);
    members.tick(START, &mut rng, &mut out);

    members.tick(START + Span::millis(3_500), &mut rng, &mut out);

    assert_eq!(members.get("two").map(|r| r.verdict), Some(Verdict::Alive));
}

/// The same with a peer that was suspected just before: what it objected lies in the socket, and
/// the time in which it could be heard has passed frozen. It is dead at once, for everyone.
#[test]
fn time_that_a_router_was_frozen_does_not_count_against_a_suspect() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut out: Vec<Action> = Vec::new();
    let mut members = Members::new(record("one", Verdict::Alive));
    members.merge(START, &mut rng, &mut out, vec![record("two", Verdict::Suspect)]);
    members.tick(START, &mut rng, &mut out);

    members.tick(START + Span::millis(3_500), &mut rng, &mut out);

    assert_ne!(members.get("two").map(|r| r.verdict), Some(Verdict::Dead));
}
