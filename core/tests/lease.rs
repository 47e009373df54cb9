//! The lease of orderers: two never hold it at once, and a new holder waits out late orders.

use laburnumwheel_core::order::Lease;
use laburnumwheel_core::order::MAX_ORDER_DELAY;
use laburnumwheel_core::order::Step;
use laburnumwheel_core::order::Value;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use proptest::prelude::*;

/// The key-value service's side of the lease.
#[derive(Default)]
struct Store {
    value: Option<(Value, i64)>,
    revision: i64,
}

impl Store {
    fn swap(&mut self, expected: i64, value: Value) -> Option<i64> {
        let found = self.value.as_ref().map_or(0, |(_, r)| *r);
        if found != expected {
            return None;
        }
        self.revision += 1;
        self.value = Some((value, self.revision));
        Some(self.revision)
    }
}

fn act(lease: &mut Lease, name: &str, store: &mut Store, now: Time, lose: bool, checks: bool) {
    match lease.next_step(now, name, checks) {
        Step::Wait => {}
        Step::Read => lease.on_read(now, name, store.value.clone()),
        Step::Write(revision, value) => {
            let reply = store.swap(revision, value);
            if lose {
                lease.on_unavailable();
            } else {
                lease.on_write_reply(now, reply);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Routers act, freeze and lose replies at random. At no time may two give orders; and to
    /// upstreams that ignore fencing numbers, a new holder gives none before the longest time that
    /// an order of the old one may be on its way.
    #[test]
    fn two_never_hold_it_at_once(
        moves in proptest::collection::vec((0..3usize, 0..4_000u64, 0..6u8), 1..200),
        checks in any::<bool>(),
    ) {
        let names = ["a", "b", "c"];
        let mut leases = [Lease::default(), Lease::default(), Lease::default()];
        let mut store = Store::default();
        let mut now = Time(1_000_000);
        let mut last: Option<(usize, Time, i64)> = None;
        for (who, ms, lose) in moves {
            // Time passes in small steps, so that a holder's last moment is seen.
            for _ in 0..ms / 100 {
                now = now + Span::millis(100);
                for (i, lease) in leases.iter().enumerate() {
                    let Some(fence) = lease.fencing_token(now) else {
                        continue;
                    };
                    if let Some((holder, at, before)) = last.filter(|l| l.0 != i) {
                        prop_assert!(at < now, "{holder} and {i} hold it at {now}");
                        prop_assert!(fence > before);
                        let gap = now.since(at);
                        prop_assert!(checks || gap >= MAX_ORDER_DELAY, "{gap} after {holder}");
                    }
                    last = Some((i, now, fence));
                }
            }
            act(&mut leases[who], names[who], &mut store, now, lose == 0, checks);
        }
    }
}

#[test]
fn a_lease_passes_on_when_its_holder_is_gone() {
    // Arrange
    let (mut gone, mut next, mut store) = (Lease::default(), Lease::default(), Store::default());
    let mut now = Time(1_000_000);
    for _ in 0..2 {
        act(&mut gone, "a", &mut store, now, false, false);
    }
    assert!(gone.fencing_token(now).is_some());

    // Act
    let mut took = 0;
    while next.fencing_token(now).is_none() && took < 60 {
        act(&mut next, "b", &mut store, now, false, false);
        now = now + Span::secs(1);
        took += 1;
    }

    // Assert
    assert!((20..=25).contains(&took), "{took} s");
}
