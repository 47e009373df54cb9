//! Splitting a stream into whole events.

use laburnumwheel_core::gateway::events::Splitter;
use proptest::prop_assert_eq;
use proptest::proptest;

proptest! {
    /// However a stream is cut into pieces on its way, the same whole events come out, and the
    /// last id is that of the last whole one.
    #[test]
    fn pieces_do_not_matter(
        count in 1usize..12,
        cuts in proptest::collection::vec(1usize..40, 1..40),
        crlf: bool,
    ) {
        let line = if crlf { "\r\n" } else { "\n" };
        let events: String =
            (1..=count).map(|i| format!("id: {i}{line}data: token{line}{line}")).collect();
        let bytes = events.as_bytes();
        let mut splitter = Splitter::default();
        let mut whole = Vec::new();
        let mut at = 0;
        for cut in cuts.iter().cycle().take(400) {
            let end = (at + cut).min(bytes.len());
            whole.extend_from_slice(&splitter.push(&bytes[at..end]).unwrap());
            at = end;
        }
        prop_assert_eq!(&whole[..], &bytes[..at]);
        prop_assert_eq!(splitter.pending_len(), 0);
        prop_assert_eq!(splitter.count(), count as u64);
    }
}

/// A replica dies in the middle of an event, and another goes on behind the last whole one. The
/// caller must never see the torn half, nor the event twice.
#[test]
fn a_torn_event_is_held_back_and_forgotten() {
    let mut splitter = Splitter::default();
    let first = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();

    splitter.discard_pending();
    let second = splitter.push(b"id: 2\ndata: b\n\n").unwrap();

    assert_eq!(&first[..], b"id: 1\ndata: a\n\n");
    assert_eq!(&second[..], b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id().map(|id| &id[..]), Some(&b"2"[..]));
}
