//! Splitting a stream into complete events.

use laburnumwheel_core::gateway::events::Splitter;
use proptest::prop_assert_eq;
use proptest::proptest;

proptest! {
    /// The same complete events are returned, whatever the pieces that the stream arrives in.
    #[test]
    fn events_do_not_depend_on_how_the_stream_is_cut(
        count in 1usize..12,
        cuts in proptest::collection::vec(1usize..40, 1..40),
        crlf: bool,
    ) {
        let line = if crlf { "\r\n" } else { "\n" };
        let events: String =
            (1..=count).map(|i| format!("id: {i}{line}data: token{line}{line}")).collect();
        let bytes = events.as_bytes();
        let mut splitter = Splitter::default();
        let mut complete = Vec::new();
        let mut at = 0;
        for cut in cuts.iter().cycle().take(400) {
            let end = (at + cut).min(bytes.len());
            complete.extend_from_slice(&splitter.push(&bytes[at..end]).unwrap());
            at = end;
        }
        prop_assert_eq!(&complete[..], &bytes[..at]);
        prop_assert_eq!(splitter.pending_len(), 0);
        prop_assert_eq!(splitter.count(), count as u64);
    }
}

/// A replica crashes in the middle of an event, and another one continues after the last complete
/// event. The caller must receive neither the partial event nor any event twice.
#[test]
fn a_partial_event_is_held_back_and_discarded() {
    let mut splitter = Splitter::default();
    let first = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();

    splitter.discard_pending();
    let second = splitter.push(b"id: 2\ndata: b\n\n").unwrap();

    assert_eq!(&first[..], b"id: 1\ndata: a\n\n");
    assert_eq!(&second[..], b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id().map(|id| &id[..]), Some(&b"2"[..]));
}

/// Guards against an event without an id that comes twice, as the stream is resumed before it.
#[test]
fn last_id_is_that_of_the_last_event() {
    let cases: [(&str, Option<&str>, u64); 9] = [
        ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Some("2"), 2),
        ("id: 1\ndata: a\n\ndata: b\n\n", None, 1),
        ("id: 1\ndata: a\n\ndata: b\n\nid: 2\ndata: c\n\n", Some("2"), 2),
        ("id: 1\ndata: a\n\n: ping\n\n\n\n", Some("1"), 1),
        ("data: a\nid:1\n\n", Some("1"), 1),
        ("version: 3\r\nid: 1\r\ndata: a\r\n\r\n", Some("1"), 1),
        ("id: 1\nid: 2\ndata: a\n\n", Some("2"), 1),
        ("id:\ndata: a\n\n", Some(""), 1),
        ("data: a\ndata: id: 4\n\n", None, 0),
    ];
    for (text, id, count) in cases {
        let mut splitter = Splitter::default();

        splitter.push(text.as_bytes()).unwrap();

        assert_eq!(splitter.last_id().map(|id| &id[..]), id.map(str::as_bytes), "{text:?}");
        assert_eq!(splitter.count(), count, "{text:?}");
    }
}
