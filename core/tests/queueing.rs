//! Order of dispatch, refusals and limits of queued requests.

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

/// A router with one engine of two slots and the organisations `big` and `small`; `settings` are
/// those of `big`.
fn single_engine(settings: &str) -> Harness {
    let text = support::CLASSES.to_owned()
        + &support::upstream("e1", "models", 1)
        + &support::organisation("big", settings)
        + &support::organisation("small", "");
    Harness::with_config(&text)
}

/// Ends `rounds` attempts in the order in which they were sent; returns all requests in the order
/// of their dispatch.
fn complete(harness: &mut Harness, actions: Vec<Action>, rounds: usize) -> Vec<RequestId> {
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

/// In first-come order, three requests of a small organisation would wait for sixty earlier ones of
/// a large organisation of the same class.
#[test]
fn a_large_organisation_does_not_crowd_out_a_small_one() {
    // Arrange
    let mut harness = single_engine("");
    let mut actions = Vec::new();
    for _ in 0..60 {
        actions.extend(harness.submit(Harness::submission("bulk", "big")).1);
    }
    let small: Vec<RequestId> =
        (0..3).map(|_| harness.submit(Harness::submission("bulk", "small")).0).collect();

    // Act
    let order = complete(&mut harness, actions, 30);

    // Assert
    let ranks = small.iter().map(|id| order.iter().position(|o| o == id));
    assert!(ranks.clone().all(|p| p.is_some_and(|p| p < 20)), "{:?}", ranks.collect::<Vec<_>>());
}

/// Without the trickle of their class, bulk requests would starve behind a constant queue of urgent
/// requests.
#[test]
fn the_lowest_class_is_not_starved() {
    // Arrange
    let mut harness = single_engine("");
    let mut actions = Vec::new();
    let (early, first) = harness.submit(Harness::submission("bulk", "small"));
    actions.extend(first);
    for _ in 0..300 {
        actions.extend(harness.submit(Harness::submission("urgent", "big")).1);
    }
    let (late, _) = harness.submit(Harness::submission("bulk", "small"));

    // Act
    let order = complete(&mut harness, actions, 200);

    // Assert
    assert!(order.contains(&early));
    assert!(order.contains(&late), "not among {} dispatched requests", order.len());
}

/// Requests that cannot start within the patience of their class are refused at its end instead of
/// being run too late.
#[test]
fn a_request_past_its_patience_is_refused_as_not_run() {
    // Arrange
    let mut harness = single_engine("");
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

/// An engine is full of draft requests when an urgent one arrives. The urgent request must be
/// dispatched immediately instead of waiting for a draft to end.
#[test]
fn an_urgent_request_is_dispatched_to_a_full_engine() {
    // Arrange
    let mut harness = single_engine("");
    let mut running = Vec::new();
    for _ in 0..4 {
        running.extend(support::dispatches(&harness.submit(Harness::submission("draft", "big")).1));
    }
    for d in &running {
        harness.frame(d.attempt, 0);
    }
    // The end of a long attempt raises the mean duration, from which the wait of an urgent request
    // is estimated.
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

/// An organisation sends twice its limit for ten seconds. The admitted requests must not exceed the
/// limit by more than one bucket, and all others are refused as over the limit.
#[test]
fn an_organisation_is_held_to_its_limit() {
    // Arrange
    let mut harness = single_engine("requests_per_second = 10");
    let mut admitted = 0;
    let mut refused = BTreeMap::new();

    // Act
    for _ in 0..200 {
        let (_, actions) = harness.submit(Harness::submission("urgent", "big"));
        match support::finish(&actions) {
            Some(Outcome::Refused(r)) => *refused.entry(r.reason).or_insert(0) += 1,
            _ => admitted += 1,
        }
        for d in support::dispatches(&actions) {
            harness.end(d.attempt);
        }
        harness.advance(Span::millis(50));
    }

    // Assert
    assert!((95..=112).contains(&admitted), "{admitted} admitted");
    assert_eq!(refused.keys().collect::<Vec<_>>(), vec![&Reason::OverLimit]);
}

/// A replica of another group reports the same prefix hash. Without a check of the group, requests
/// for a model are sent to that replica, as happened with a chat and a plain service.
#[test]
fn a_prefix_held_in_another_group_attracts_no_requests() {
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
