//! Time of day from the median of several clocks, some of which jump.

use laburnumwheel_core::gateway::wall::Wall;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

const TRUE_AT_ZERO: u64 = 1_800_000_000_000_000;

fn observed(peers: &[i64], now: Time, own: i64) -> Wall {
    let at = |error: i64| (TRUE_AT_ZERO + now.0).saturating_add_signed(error);
    let mut wall = Wall::new(now, at(own));
    for (peer, error) in (0..).zip(peers) {
        wall.observe(now, peer, at(*error));
    }
    wall.refresh(now, at(own));
    wall
}

#[test]
fn a_jump_of_the_own_clock_has_no_effect() {
    let now = Time(5_000_000);

    let wall = observed(&[0, 1_000, -1_000], now, 2_000_000);

    let error = wall.at(now + Span::secs(1)).abs_diff(TRUE_AT_ZERO + 6_000_000);
    assert!(error <= 1_000, "{error}");
}

#[test]
fn jumps_of_a_third_of_the_peers_have_no_effect() {
    let now = Time(5_000_000);

    let wall = observed(&[2_000_000, 0, 0, -2_000_000, 0, 500], now, 0);

    assert_eq!(wall.at(now), TRUE_AT_ZERO + now.0);
}

#[test]
fn old_observations_are_ignored() {
    let now = Time(5_000_000);
    let mut wall = observed(&[9_000_000, 9_000_000], now, 0);

    let later = now + Span::secs(20);
    wall.refresh(later, TRUE_AT_ZERO + later.0);

    assert_eq!(wall.at(later), TRUE_AT_ZERO + later.0);
}
