//! Failures of streams: broken connections, duplicate, lost and misattributed frames, stalls.

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

/// An engine crashes in the middle of a stream. Another engine gets the delivered tokens and their
/// text and resumes after them, so that the caller sees one uninterrupted answer.
#[test]
fn a_broken_stream_resumes_elsewhere_at_its_offset() {
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

/// A duplicate frame and a late frame of an earlier attempt must not reach the caller, who would
/// see the same tokens twice.
#[test]
fn duplicate_and_late_frames_are_not_delivered() {
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

/// An engine mixes up two streams: a frame carries another attempt's id. This counts as a failure
/// of the engine, and the text must not be delivered.
#[test]
fn a_misattributed_frame_is_a_failure() {
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

/// A frame is missing in the middle of a stream. Nothing after the gap is delivered; the stream
/// resumes elsewhere at the gap.
#[test]
fn frames_after_a_gap_are_not_delivered() {
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

/// A non-idempotent call fails after it was sent. It must not be sent again, and its outcome is
/// unknown. A call whose connection was refused cannot have run and is sent elsewhere.
#[test]
fn a_non_idempotent_call_is_not_repeated() {
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

/// A service that does not guarantee that refused calls did not run answers 503. The outcome of the
/// call is unknown.
#[test]
fn a_refusal_has_an_unknown_outcome_unless_declared_safe() {
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

/// A replica of a plain service refuses a bid because it is leaving. The bid did not run there, so
/// it is sent to the other replica, and the caller gets a whole answer.
#[test]
fn a_call_refused_by_a_leaving_service_is_sent_elsewhere() {
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

/// A caller disconnects in the middle of a stream. The attempt must be cancelled immediately, or
/// the engine would continue to generate tokens that no one receives.
#[test]
fn a_request_of_a_disconnected_caller_is_cancelled() {
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

/// An engine refuses a request because it is leaving. The request is sent elsewhere, and the engine
/// gets no further ones, even if a later host list does not contain it.
#[test]
fn a_leaving_engine_gets_no_new_requests() {
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

/// An engine hangs with its socket open, which only a timeout detects. The attempt is given up and
/// the request is sent elsewhere.
#[test]
fn an_attempt_at_a_hanging_engine_times_out() {
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
