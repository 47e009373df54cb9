//! Exclusiveness of the lease for orders, and the delay before a new holder's first order.

use laburnumwheel_core::order::Lease;
use laburnumwheel_core::order::MAX_ORDER_DELAY;
use laburnumwheel_core::order::Step;
use laburnumwheel_core::order::Value;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use proptest::prelude::*;

/// The key of the lease in the key-value service.
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

/// Performs the next step of a lease; the reply to a write is lost if `lost` is set.
fn take_step(
    lease: &mut Lease,
    name: &str,
    store: &mut Store,
    now: Time,
    lost: bool,
    checks: bool,
) {
    match lease.next_step(now, name, checks) {
        Step::Wait => {}
        Step::Read => lease.on_read(now, name, store.value.clone()),
        Step::Write(revision, value) => {
            let reply = store.swap(revision, value);
            if lost {
                lease.on_unavailable();
            } else {
                lease.on_write_reply(now, reply);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Routers act, pause and miss replies at random. Two of them must never hold the lease at the
    /// same time. If the upstreams ignore fencing tokens, a new holder must not give orders until
    /// all orders of the former holder have arrived, that is for `MAX_ORDER_DELAY`.
    #[test]
    fn two_routers_never_hold_the_lease_at_once(
        steps in proptest::collection::vec((0..3usize, 0..4_000u64, 0..6u8), 1..200),
        checks in any::<bool>(),
    ) {
        let names = ["a", "b", "c"];
        let mut leases = [Lease::default(), Lease::default(), Lease::default()];
        let mut store = Store::default();
        let mut now = Time(1_000_000);
        let mut last: Option<(usize, Time, i64)> = None;
        for (router, ms, lost) in steps {
            // Time passes in small steps, so that the end of a lease is observed.
            for _ in 0..ms / 100 {
                now = now + Span::millis(100);
                for (i, lease) in leases.iter().enumerate() {
                    let Some(fence) = lease.fencing_token(now) else {
                        continue;
                    };
                    if let Some((holder, at, before)) = last.filter(|l| l.0 != i) {
                        prop_assert!(at < now, "{holder} and {i} hold the lease at {now}");
                        prop_assert!(fence > before);
                        let gap = now.since(at);
                        prop_assert!(checks || gap >= MAX_ORDER_DELAY, "{gap} after {holder}");
                    }
                    last = Some((i, now, fence));
                }
            }
            take_step(&mut leases[router], names[router], &mut store, now, lost == 0, checks);
        }
    }
}

/// The holder of a lease stops renewing it. Another router must get it after its expiry.
#[test]
fn a_lease_passes_to_another_router_after_its_expiry() {
    // Arrange
    let (mut stopped, mut successor, mut store) =
        (Lease::default(), Lease::default(), Store::default());
    let mut now = Time(1_000_000);
    for _ in 0..2 {
        take_step(&mut stopped, "a", &mut store, now, false, false);
    }
    assert!(stopped.fencing_token(now).is_some());

    // Act
    let mut elapsed_s = 0;
    while successor.fencing_token(now).is_none() && elapsed_s < 60 {
        take_step(&mut successor, "b", &mut store, now, false, false);
        now = now + Span::secs(1);
        elapsed_s += 1;
    }

    // Assert
    assert!((20..=25).contains(&elapsed_s), "{elapsed_s} s");
}
