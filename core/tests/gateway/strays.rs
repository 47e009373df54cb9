//! What peers and replicas say in numbers that make no sense.

use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::events::Splitter;
use laburnumwheel_core::gateway::fleet::Load;
use laburnumwheel_core::gateway::occupancy::Change;
use laburnumwheel_core::gateway::occupancy::Snapshot;
use laburnumwheel_core::gateway::occupancy::Update;
use laburnumwheel_core::incarnation::Digest;
use laburnumwheel_core::incarnation::Incarnation;
use laburnumwheel_core::time::Span;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

use crate::support::START;
use crate::support::gateway;
use crate::support::submission;

fn engine(i: usize) -> Digest {
    Incarnation::without_start(&format!("engine-{i}")).digest()
}

/// The engine that a chat goes to, with the expected time to its first event.
fn chosen(gateway: &mut Gateway, snapshots: &[Snapshot]) -> Option<(String, f64)> {
    let call = submission("chat", &[(1, 300), (2, 400)]);
    let mut grant = gateway.admit(START, &call).unwrap();
    let picked = gateway.pick(START, &call, &mut grant, snapshots).ok();
    picked.or(grant.last_pick).map(|pick| (pick.id, pick.claim.expected_ms))
}

/// A number of any bits, and often one that is none.
fn any_number() -> impl Strategy<Value = f32> {
    proptest::prop_oneof![any::<u32>().prop_map(f32::from_bits), Just(f32::NAN)]
}

proptest! {
    /// All calls of a gateway end: it adds up what a replica says of its load, and overflows.
    #[test]
    fn any_load_may_be_told(running: u32, waiting: u32, slots: u32) {
        let mut gateway = gateway(2);
        let call = submission("chat", &[(1, 300)]);
        let mut grant = gateway.admit(START, &call).unwrap();
        let pick = gateway.pick(START, &call, &mut grant, &[]).unwrap();

        gateway.record_activity(START, &pick.claim, Some(Load { running, waiting, slots }));

        prop_assert!(chosen(&mut gateway, &[]).is_some_and(|(_, ms)| ms.is_finite()));
        prop_assert!(gateway.heartbeat(START).loads.len() == 1);
    }

    /// One peer's update or snapshot that is no number makes every engine's cost none, and no call
    /// is refused or spread any more.
    #[test]
    fn numbers_that_are_none_change_no_choice(
        told in any_number(),
        calls: u16,
        unread in any_number(),
        interval in any_number(),
    ) {
        let mut gateway = gateway(3);
        gateway.snapshots(START, &[engine(0)]);
        let update = Update { engine: engine(0), call: 1, change: Change::Sent(told) };
        gateway.record_updates(START, &[update]);
        let kept = gateway.snapshots(START + Span::secs(2), &[engine(0)]);
        let wild =
            Snapshot { engine: engine(1), calls, pending_prefill_ms: unread, interval_ms: interval };

        let by_kept = chosen(&mut gateway, &kept);
        let by_wild = chosen(&mut gateway, &[wild]);

        prop_assert!(kept.iter().all(|s| s.pending_prefill_ms.is_finite() && s.pending_prefill_ms >= 0.0));
        prop_assert!(by_kept.is_some_and(|(_, ms)| ms.is_finite() && ms >= 0.0));
        prop_assert!(by_wild.is_some_and(|(_, ms)| ms.is_finite() && ms >= 0.0));
    }

    /// A stream of any bytes: what comes out whole, and what is held back, is what went in.
    #[test]
    fn any_stream_is_split_without_loss(chunks in proptest::collection::vec(
        proptest::collection::vec(
            proptest::prop_oneof![any::<u8>(), Just(b'\n')], 0..60), 0..20))
    {
        let mut splitter = Splitter::default();
        let mut whole = Vec::new();

        for chunk in &chunks {
            whole.extend_from_slice(&splitter.push(chunk).unwrap());
        }

        let sent = chunks.concat();
        prop_assert_eq!(&whole[..], &sent[..whole.len()]);
        prop_assert_eq!(whole.len() + splitter.pending_len(), sent.len());
        prop_assert!(whole.is_empty() || whole.ends_with(b"\n"));
    }
}

/// A replica sends an event that never ends. Held back for good it would fill the host's memory;
/// the stream is given up at a mebibyte.
#[test]
fn an_event_without_an_end_is_given_up() {
    let mut splitter = Splitter::default();
    let chunk = [b'x'; 65_536];

    let taken = (0..64).take_while(|_| splitter.push(&chunk).is_ok()).count();

    assert_eq!(taken, 16);
    assert!(splitter.pending_len() <= (1 << 20) + chunk.len());
}

/// A peer asks after engines that don't exist, a thousand in each datagram. An occupancy for each of
/// them would fill the memory of every owner.
#[test]
fn inquiries_after_unknown_engines_leave_nothing_behind() {
    let mut gateway = gateway(1);
    let unknown: Vec<Digest> = (0..1_000).map(Digest).collect();

    let snapshots = gateway.snapshots(START, &unknown);
    let later = gateway.snapshots(START + Span::secs(2), &unknown);

    assert!(snapshots.is_empty() && later.is_empty());
}
