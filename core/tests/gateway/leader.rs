//! Invariants of the election, checked in a model of gateways, store, platform and network.
//!
//! Tokens of calls at the platform never decrease or repeat, and a former leader keeps the
//! cooldown. Each test of a model without one of the safeguards verifies that the violation is
//! detected.

mod model;

use laburnumwheel_core::gateway::leader::Cause;
use laburnumwheel_core::gateway::leader::Election;
use laburnumwheel_core::gateway::leader::Lease;
use laburnumwheel_core::gateway::leader::Outcome;
use laburnumwheel_core::gateway::leader::Step;
use laburnumwheel_core::gateway::leader::Timing;
use laburnumwheel_core::gateway::leader::Token;
use laburnumwheel_core::gateway::position::Position;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use self::model::ALL;
use self::model::MAX_DELAY;
use self::model::Model;
use self::model::Safeguards;
use self::model::TIMING;
use self::model::Violation;

/// Number of seeds of the model with all safeguards.
const SEEDS: u64 = 600;
/// Environment variable that overrides [`SEEDS`].
const SEEDS_VARIABLE: &str = "LABURNUMWHEEL_MODEL_SEEDS";
/// Number of seeds within which a model without one of the safeguards must have a violation.
const VIOLATION_SEEDS: u64 = 6_000;

/// The first seed below `seeds` with a violation other than a missing leader.
fn first_violation(seeds: u64, safeguards: Safeguards) -> Option<(u64, Violation)> {
    let unsafe_run = |seed| {
        let violation = Model::new(seed, safeguards).run()?;
        (violation != Violation::NoLeader).then_some((seed, violation))
    };
    (0..seeds).find_map(unsafe_run)
}

fn assert_finds(safeguards: Safeguards, expected: &[Violation]) {
    let found = first_violation(VIOLATION_SEEDS, safeguards);

    let (seed, violation) = found.expect("no violation without this safeguard");
    assert!(expected.contains(&violation), "seed {seed}: {violation:?}");
}

#[test]
fn leaders_never_overlap_and_one_is_elected_after_faults() {
    let seeds = std::env::var(SEEDS_VARIABLE).ok().and_then(|s| s.parse().ok()).unwrap_or(SEEDS);

    let violation = (0..seeds).find_map(|seed| Some((seed, Model::new(seed, ALL).run()?)));

    assert_eq!(violation, None);
}

#[test]
fn a_lease_measured_from_the_answer_is_found() {
    let safeguards = Safeguards { lease_measured_from_request: false, ..ALL };
    assert_finds(safeguards, &[Violation::TokenDecreased, Violation::CooldownViolated]);
}

#[test]
fn a_write_without_a_check_of_the_deadline_is_found() {
    assert_finds(Safeguards { deadline_check: false, ..ALL }, &[Violation::TokenDecreased]);
}

/// A new leader is granted its lease at the moment at which the previous leader's lease expires.
/// Returns the time of the first call of the new leader, and the latest arrival of the last call of
/// the previous one.
fn handover_at_lease_expiry(timing: Timing) -> (Time, Time) {
    let position = |revision| Position { era: 1, revision };
    let lease = |sent, revision| Lease {
        sent,
        id: revision,
        ttl: timing.lease_duration,
        position: position(revision),
        last_era: Some(1),
    };
    let began = Time(20_000_000);
    let mut previous = Election::new(timing, Time(0), false);
    previous.begin_term(began, &lease(began, 1));
    let expiry = began + timing.lease_duration;
    let last = previous.begin_call(expiry - timing.call_timeout, 1).unwrap();
    let mut next = Election::new(timing, Time(0), false);
    next.begin_term(expiry, &lease(expiry, 2));
    let times = (0..).map(|ms| expiry + Span::millis(ms));
    let first = times.into_iter().find(|at| next.begin_call(*at, 1).is_some());
    (first.unwrap(), last.deadline + MAX_DELAY)
}

#[test]
fn a_new_leader_waits_for_the_last_call_of_the_previous_one() {
    let (first, last) = handover_at_lease_expiry(TIMING);

    assert!(first > last);
}

#[test]
fn a_new_leader_that_does_not_wait_is_found() {
    let (first, last) = handover_at_lease_expiry(Timing { max_transit: Span(0), ..TIMING });

    assert!(first < last);
}

#[test]
fn a_new_leader_that_ignores_a_rollback_is_found() {
    assert_finds(Safeguards { wait_after_new_era: false, ..ALL }, &[Violation::TokenDecreased]);
}

#[test]
fn a_term_that_outlives_a_rollback_is_found() {
    let expected = [Violation::TokenDecreased, Violation::TokenRepeated];
    assert_finds(Safeguards { new_era_ends_term: false, ..ALL }, &expected);
}

#[test]
fn a_token_without_its_era_is_found() {
    let expected = [Violation::TokenDecreased, Violation::TokenRepeated];
    assert_finds(Safeguards { era_in_token: false, ..ALL }, &expected);
}

#[test]
fn a_missing_cooldown_is_found() {
    let timing = Timing { cooldown: Span(0), ..TIMING };
    assert_finds(Safeguards { timing, ..ALL }, &[Violation::CooldownViolated]);
}

#[test]
fn a_leader_without_a_record_stops_despite_successful_renewals() {
    let mut election = Election::new(TIMING, Time(0), false);
    let position = Position { era: 1, revision: 7 };
    let sent = Time(10_000_000);
    let ttl = TIMING.lease_duration;
    election.begin_term(sent, &Lease { sent, id: 5, ttl, position, last_era: Some(1) });
    let now = sent + Span::secs(1);
    election.extend_term(now, now, 1);

    election.observe(now, now, Some(9));

    assert_eq!(election.active_token(now), None);
}

/// Time at which the terms of the tests begin, longer after the start than the cooldown.
const BEGAN: Time = Time(60_000_000);

fn lease() -> Lease {
    let position = Position { era: 1, revision: 7 };
    Lease { sent: BEGAN, id: 5, ttl: TIMING.lease_duration, position, last_era: Some(1) }
}

/// Time from `from` on at which a gateway campaigns that reads all the time that there is no leader.
fn first_campaign(mut election: Election, from: Time) -> Time {
    let times = (0..).map(|step| from + Span::millis(50 * step));
    let mut campaigns = |at: &Time| {
        election.observe(*at, *at, None);
        election.step(*at, 1, 0) == Step::Campaign
    };
    times.into_iter().find(&mut campaigns).unwrap()
}

/// A call that begins shortly before the lease ends would arrive after those of the next leader.
#[test]
fn no_call_begins_that_may_outlast_the_lease() {
    let mut election = Election::new(TIMING, Time(0), false);
    election.begin_term(BEGAN, &lease());
    let last = BEGAN + TIMING.lease_duration - TIMING.call_timeout;

    let in_time = election.begin_call(last, 1);
    let too_late = election.begin_call(last + Span(1), 1);

    assert!(in_time.is_some());
    assert_eq!(too_late, None);
}

/// A gateway that lost its term must not act again between two others, or holders would alternate.
#[test]
fn gateway_that_lost_its_term_stands_back() {
    let mut election = Election::new(TIMING, Time(0), false);
    election.begin_term(BEGAN, &lease());
    let lost = BEGAN + Span::secs(1);
    election.end_term(lost, Cause::LeaseEnded);

    let campaign = first_campaign(election, lost);

    assert!(campaign >= lost + TIMING.cooldown);
    assert!(campaign <= lost + TIMING.cooldown + Span::millis(50));
}

/// A process that has just started may have led before, and does not know.
#[test]
fn gateway_that_has_started_stands_back_unless_the_whole_system_starts() {
    let restarted = first_campaign(Election::new(TIMING, BEGAN, false), BEGAN);
    let first = first_campaign(Election::new(TIMING, BEGAN, true), BEGAN);

    assert!(restarted >= BEGAN + TIMING.cooldown);
    assert_eq!(first, BEGAN);
}

/// Reads overtake each other. One that was sent before a leader's record was written must not hide
/// it, and one that is old shows no longer that there is none.
#[test]
fn stale_read_shows_no_vacancy() {
    let mut overtaken = Election::new(TIMING, BEGAN, true);
    let mut outdated = Election::new(TIMING, BEGAN, true);

    overtaken.observe(BEGAN + Span::millis(20), BEGAN + Span::millis(10), Some(7));
    overtaken.observe(BEGAN + Span::millis(30), BEGAN, None);
    outdated.observe(BEGAN, BEGAN, None);

    assert_ne!(overtaken.step(BEGAN + Span::millis(30), 1, 0), Step::Campaign);
    assert_ne!(outdated.step(BEGAN + Span::secs(2), 1, 0), Step::Campaign);
}

#[test]
fn a_position_out_of_range_has_no_token() {
    let position = Position { era: 1 << 13, revision: 1 };

    assert_eq!(Token::new(position), None);
}

#[test]
fn a_leader_that_does_not_reach_the_platform_resigns() {
    let mut election = Election::new(TIMING, Time(0), false);
    let position = Position { era: 1, revision: 7 };
    let ttl = TIMING.lease_duration;
    election.start_campaign();
    let sent = Time(10_000_000);
    election.begin_term(sent, &Lease { sent, id: 5, ttl, position, last_era: Some(1) });

    let mut now = sent;
    for _ in 0..20 {
        now = now + Span::millis(500);
        election.extend_term(now, now, 1);
        if let Some(permit) = election.begin_call(now, 1) {
            election.end_call(now, &permit, Outcome::Unanswered);
        }
    }

    assert_eq!(election.step(now, 1, 0), Step::Release(5));
}
