//! Failure detection in the member table of a paused router.

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

/// A router is paused for 3.5 s while a probe is pending. When it resumes, it evaluates the probe
/// before it reads the answer in its socket. It must not suspect the peer, because the suspicion
/// would spread and callers would avoid a sound router.
#[test]
fn a_paused_router_suspects_no_peer() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut out: Vec<Action> = Vec::new();
    let mut members = Members::new(record("one", Verdict::Alive));
    members.merge(START, &mut rng, &mut out, vec![record("two", Verdict::Alive)]);
    members.tick(START, &mut rng, &mut out);

    members.tick(START + Span::millis(3_500), &mut rng, &mut out);

    assert_eq!(members.get("two").map(|r| r.verdict), Some(Verdict::Alive));
}

/// A router is paused for 3.5 s just after it suspected a peer. The refutation lies unread in its
/// socket while the time for it expires. When the router resumes, it must not declare the peer dead
/// at once.
#[test]
fn the_pause_of_a_router_does_not_count_against_a_suspect() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut out: Vec<Action> = Vec::new();
    let mut members = Members::new(record("one", Verdict::Alive));
    members.merge(START, &mut rng, &mut out, vec![record("two", Verdict::Suspect)]);
    members.tick(START, &mut rng, &mut out);

    members.tick(START + Span::millis(3_500), &mut rng, &mut out);

    assert_ne!(members.get("two").map(|r| r.verdict), Some(Verdict::Dead));
}
