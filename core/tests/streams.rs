//! Streams that break, repeat, cross or fall silent.

mod support;

use laburnumwheel_core::action::Outcome;
use laburnumwheel_core::action::Reason;
use laburnumwheel_core::action::Verdict;
use laburnumwheel_core::event::AttemptId;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::event::Failure;
use laburnumwheel_core::time::Span;

use support::Harness;

fn refused(outcome: Option<Outcome>) -> Option<(Verdict, Reason)> {
    match outcome? {
        Outcome::Whole { .. } => None,
        Outcome::Refused(r) => Some((r.verdict, r.reason)),
    }
}

/// An engine crashes in the middle of a stream. The reader sees the words go on: another engine
/// is told what is already there, and goes on behind it.
#[test]
fn a_broken_stream_goes_on_elsewhere_from_its_offset() {
    // Arrange
    let mut harness = Harness::new();
    let (_, actions) = harness.submit(Harness::submission("draft", "o"));
    let first = support::dispatch(&actions);
    let mut text = support::delivered(&harness.frame(first.attempt, 0));
    text += &support::delivered(&harness.frame(first.attempt, 1));

    // Act
    let actions = harness.handle(Event::Failed(first.attempt, Failure::Broken));
    let second = support::dispatch(&actions);
    text += &support::delivered(&harness.frame(second.attempt, 2));
    let end = support::finish(&harness.end(second.attempt));

    // Assert
    assert_ne!(second.upstream, first.upstream);
    assert_eq!((second.offset, second.partial.as_ref()), (2, b"0 1 ".as_slice()));
    assert_eq!(text, "0 1 2 ");
    assert!(matches!(end, Some(Outcome::Whole { tokens: 3, .. })));
}

/// A frame comes twice, and one of the attempt before arrives late: neither reaches the reader.
#[test]
fn duplicate_and_late_frames_reach_nobody() {
    // Arrange
    let mut harness = Harness::new();
    let (_, actions) = harness.submit(Harness::submission("draft", "o"));
    let first = support::dispatch(&actions).attempt;
    harness.frame(first, 0);

    // Act
    let twice = support::delivered(&harness.frame(first, 0));
    let actions = harness.handle(Event::Failed(first, Failure::Broken));
    let second = support::dispatch(&actions).attempt;
    let late = support::delivered(&harness.frame(first, 1));
    let next = support::delivered(&harness.frame(second, 1));

    // Assert
    assert_eq!((twice.as_str(), late.as_str(), next.as_str()), ("", "", "1 "));
}

/// An engine crosses two streams: a chunk carries another request's id. It is a failure of the
/// engine, and its text reaches nobody.
#[test]
fn a_crossed_stream_is_a_failure_not_an_answer() {
    // Arrange
    let mut harness = Harness::new();
    let (_, actions) = harness.submit(Harness::submission("draft", "o"));
    let attempt = support::dispatch(&actions).attempt;

    // Act
    let echo = AttemptId(attempt.0 + 1);
    let text = bytes::Bytes::from_static(b"foreign");
    let actions = harness.handle(Event::Frame { attempt, echo, offset: 0, tokens: 1, text });

    // Assert
    assert_eq!(support::delivered(&actions), "");
    assert_eq!(support::dispatches(&actions).len(), 1);
    assert_eq!(harness.node.stats().misattributed, 1);
}

/// A chunk is missing in the middle. Nothing behind the gap is delivered; the stream goes on
/// elsewhere from where it was whole.
#[test]
fn a_gap_is_never_delivered_over() {
    // Arrange
    let mut harness = Harness::new();
    let (_, actions) = harness.submit(Harness::submission("draft", "o"));
    let attempt = support::dispatch(&actions).attempt;
    harness.frame(attempt, 0);

    // Act
    let actions = harness.frame(attempt, 2);

    // Assert
    assert_eq!(support::delivered(&actions), "");
    assert_eq!(support::dispatch(&actions).offset, 1);
}

/// A call that may run once breaks after it was sent. The caller is told that nobody knows; it is
/// not sent again. One whose connection was refused never ran and is sent elsewhere.
#[test]
fn a_call_that_may_run_once_is_not_repeated() {
    // Arrange
    let mut harness = Harness::new();
    let (_, actions) = harness.submit(Harness::bid());
    let sent = support::dispatch(&actions).attempt;

    // Act
    let actions = harness.handle(Event::Failed(sent, Failure::Broken));
    let (_, unsent) = harness.submit(Harness::bid());
    let attempt = support::dispatch(&unsent).attempt;
    let again = harness.handle(Event::Failed(attempt, Failure::Connect));

    // Assert
    assert_eq!(support::dispatches(&actions), Vec::new());
    let expected = Some((Verdict::OutcomeUnknown, Reason::UpstreamFailed));
    assert_eq!(refused(support::finish(&actions)), expected);
    assert_eq!(support::dispatches(&again).len(), 1);
}

/// A refusal (503) of a service that does not promise that refused calls did not run: the truth
/// is not known.
#[test]
fn a_refusal_proves_nothing_unless_declared() {
    // Arrange
    let mut harness = Harness::new();
    let (_, actions) = harness.submit(Harness::bid());
    let attempt = support::dispatch(&actions).attempt;

    // Act
    let actions = harness.handle(Event::Failed(attempt, Failure::Refused));

    // Assert
    let expected = Some((Verdict::OutcomeUnknown, Reason::UpstreamFailed));
    assert_eq!(refused(support::finish(&actions)), expected);
}

/// A plain service stops by plan and refuses a bid as it leaves. The bid did not run there, so it
/// runs at the other replica, and the bidder notices nothing.
#[test]
fn a_leaving_service_harms_no_call() {
    // Arrange
    let text = support::CLASSES.to_owned()
        + &support::upstream("s1", "bids", 3)
        + &support::upstream("s2", "bids", 4)
        + &support::organisation("o", "");
    let mut harness = Harness::with_config(&text);
    let (_, actions) = harness.submit(Harness::bid());
    let first = support::dispatch(&actions);

    // Act
    let actions = harness.handle(Event::Failed(first.attempt, Failure::Leaving));
    let second = support::dispatch(&actions);
    let end = support::finish(&harness.end(second.attempt));

    // Assert
    assert_ne!(second.upstream, first.upstream);
    assert!(matches!(end, Some(Outcome::Whole { .. })));
}

/// A caller hangs up: the engine is told to stop at once.
#[test]
fn work_for_a_caller_that_has_gone_stops() {
    // Arrange
    let mut harness = Harness::new();
    let (id, actions) = harness.submit(Harness::submission("draft", "o"));
    let attempt = support::dispatch(&actions).attempt;

    // Act
    let actions = harness.handle(Event::CallerGone(id));

    // Assert
    assert_eq!(actions, vec![laburnumwheel_core::action::Action::Cancel(attempt)]);
    assert_eq!(harness.node.in_progress(), 0);
}

/// An engine says that it is leaving when it refuses a request. It gets no further request, and
/// the one it refused goes elsewhere.
#[test]
fn a_leaving_engine_gets_nothing_new() {
    // Arrange
    let mut harness = Harness::new();
    let (_, actions) = harness.submit(Harness::submission("draft", "o"));
    let first = support::dispatch(&actions);

    // Act
    let mut all = harness.handle(Event::Failed(first.attempt, Failure::Leaving));
    for _ in 0..3 {
        all.extend(harness.submit(Harness::submission("urgent", "o")).1);
    }
    all.extend(harness.handle(Event::Hosts { leaving: Vec::new() }));
    all.extend(harness.submit(Harness::submission("urgent", "o")).1);

    // Assert
    let sent = support::dispatches(&all);
    assert!(sent.len() >= 3);
    assert!(sent.iter().all(|d| d.upstream != first.upstream));
}

/// An engine hangs with its socket open. Only time shows it: the attempt is given up and the
/// stream goes on elsewhere.
#[test]
fn a_silent_engine_is_given_up() {
    // Arrange
    let mut harness = Harness::new();
    let (_, actions) = harness.submit(Harness::submission("urgent", "o"));
    let first = support::dispatch(&actions);

    // Act
    let actions = harness.advance(Span::secs(2));

    // Assert
    assert_ne!(support::dispatch(&actions).upstream, first.upstream);
    assert_eq!(harness.node.stats().stalls, 1);
}
