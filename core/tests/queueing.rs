//! Who goes first, who waits, and who is refused.

mod support;

use std::collections::BTreeMap;

use laburnumwheel_core::action::Action;
use laburnumwheel_core::action::Outcome;
use laburnumwheel_core::action::Reason;
use laburnumwheel_core::action::Verdict;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::event::RequestId;
use laburnumwheel_core::time::Span;

use support::Harness;

/// A site with one engine of two slots and organisations `big` and `small`.
fn narrow(more: &str) -> Harness {
    let text = support::CLASSES.to_owned()
        + &support::upstream("e1", "models", 1)
        + &support::organisation("big", more)
        + &support::organisation("small", "");
    Harness::with_config(&text)
}

/// Ends attempts in the order they were sent, for so many rounds; returns all requests sent.
fn serve(harness: &mut Harness, actions: Vec<Action>, rounds: usize) -> Vec<RequestId> {
    let mut running = support::dispatches(&actions);
    let mut order: Vec<RequestId> = running.iter().map(|d| d.request).collect();
    for _ in 0..rounds {
        if running.is_empty() {
            break;
        }
        let attempt = running.remove(0).attempt;
        harness.frame(attempt, 0);
        let actions = harness.end(attempt);
        let more = support::dispatches(&actions);
        order.extend(more.iter().map(|d| d.request));
        running.extend(more);
    }
    order
}

/// A large organisation sends sixty requests, then a small one sends three. The small one does
/// not wait for the sixty.
#[test]
fn a_large_organisation_does_not_crowd_out_a_small_one() {
    // Arrange
    let mut harness = narrow("");
    let mut actions = Vec::new();
    for _ in 0..60 {
        actions.extend(harness.submit(Harness::submission("bulk", "big")).1);
    }
    let small: Vec<RequestId> =
        (0..3).map(|_| harness.submit(Harness::submission("bulk", "small")).0).collect();

    // Act
    let order = serve(&mut harness, actions, 30);

    // Assert
    let places = small.iter().map(|id| order.iter().position(|o| o == id));
    assert!(places.clone().all(|p| p.is_some_and(|p| p < 20)), "{:?}", places.collect::<Vec<_>>());
}

/// The highest tier never lets up, and a bulk request still gets its turn: each class has a trickle.
#[test]
fn the_lowest_class_is_not_starved() {
    // Arrange
    let mut harness = narrow("");
    let mut actions = Vec::new();
    let (draft, first) = harness.submit(Harness::submission("bulk", "small"));
    actions.extend(first);
    for _ in 0..300 {
        actions.extend(harness.submit(Harness::submission("urgent", "big")).1);
    }
    let (late, _) = harness.submit(Harness::submission("bulk", "small"));

    // Act
    let order = serve(&mut harness, actions, 200);

    // Assert
    assert!(order.contains(&draft));
    assert!(order.contains(&late), "of {} sent", order.len());
}

/// A draft that cannot start within its patience is refused when that is over, not run late.
#[test]
fn a_request_past_its_patience_is_refused_as_not_run() {
    // Arrange
    let mut harness = narrow("");
    for _ in 0..8 {
        harness.submit(Harness::submission("draft", "big"));
    }

    // Act
    let actions = harness.advance(Span::secs(3));

    // Assert
    let refused = actions.iter().filter_map(|a| match a {
        Action::Finish(_, Outcome::Refused(r)) => Some((r.verdict, r.reason)),
        _ => None,
    });
    let refused: Vec<_> = refused.collect();
    assert!(refused.len() >= 4, "{refused:?}");
    assert!(refused.iter().all(|r| *r == (Verdict::NotRun, Reason::Overloaded)));
}

/// The engine is full of drafts when an urgent check comes. One draft gives way at once, and goes
/// on later behind the token it had.
#[test]
fn an_urgent_request_takes_a_draft_s_place() {
    // Arrange
    let mut harness = narrow("");
    let mut running = Vec::new();
    for _ in 0..4 {
        running.extend(support::dispatches(&harness.submit(Harness::submission("draft", "big")).1));
    }
    for d in &running {
        harness.frame(d.attempt, 0);
    }
    // Answers take their time: that is what an urgent request would have to wait for.
    harness.advance(Span::millis(400));
    let first = running.remove(0);
    harness.end(first.attempt);

    // Act
    let mut actions = harness.advance(Span::millis(100));
    let (urgent, more) = harness.submit(Harness::submission("urgent", "small"));
    actions.extend(more);

    // Assert
    let sent = support::dispatches(&actions);
    assert!(sent.iter().any(|d| d.request == urgent));
}

/// An organisation sends twice its limit. Half is refused with the time of the next chance, and
/// the rate over ten seconds keeps to the limit with at most one bucket more.
#[test]
fn a_limit_holds() {
    // Arrange
    let mut harness = narrow("requests_per_second = 10");
    let mut taken = 0;
    let mut refused = BTreeMap::new();

    // Act
    for _ in 0..200 {
        let (_, actions) = harness.submit(Harness::submission("urgent", "big"));
        match support::finish(&actions) {
            Some(Outcome::Refused(r)) => *refused.entry(r.reason).or_insert(0) += 1,
            _ => taken += 1,
        }
        for d in support::dispatches(&actions) {
            harness.end(d.attempt);
        }
        harness.advance(Span::millis(50));
    }

    // Assert
    assert!((95..=112).contains(&taken), "{taken} taken");
    assert_eq!(refused.keys().collect::<Vec<_>>(), vec![&Reason::OverLimit]);
}

/// A prefix is known at a replica of another group (its cache event came under the same hash).
/// Work must never go there: a chat once reached a plain service that way.
#[test]
fn a_prefix_known_in_another_group_draws_nothing_there() {
    // Arrange
    let mut harness = Harness::new();
    let cache = Event::Cache {
        upstream: "s1".to_owned(),
        sequence: 1,
        added: vec![7],
        evicted: Vec::new(),
    };
    harness.handle(cache);

    // Act
    let mut actions = Vec::new();
    for _ in 0..4 {
        let submission = Harness::submission("urgent", "o");
        let submission = laburnumwheel_core::event::Submission { prefix: vec![7], ..submission };
        actions.extend(harness.submit(submission).1);
    }

    // Assert
    assert!(support::dispatches(&actions).iter().all(|d| d.upstream.starts_with('e')));
}
