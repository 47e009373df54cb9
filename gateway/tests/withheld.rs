//! Replicas that say in their answers that they must get no calls: for good, because they leave, or
//! for some time.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hyper::header;
use laburnumwheel_gateway::dialect::own;

use crate::support::Action;
use crate::support::END;
use crate::support::Replica;
use crate::support::call;
use crate::support::events;
use crate::support::gateway;
use crate::support::gateway_with;
use crate::support::headers;
use crate::support::refusal;
use crate::support::response;
use crate::support::run;
use crate::support::send;
use crate::support::view;
use crate::support::wait_until;

/// Longer than the time in which replicas that leave get the calls that no other can take.
const LAST_RESORT_TIME: Duration = Duration::from_millis(1_100);

/// Adds a header to an answer.
fn with(answer: &str, name: &str, value: &str) -> String {
    answer.replacen("\r\n", &format!("\r\n{name}: {value}\r\n"), 1)
}

fn leaving(answer: &str) -> String {
    with(answer, own::LEAVING, "1")
}

/// Starts a replica whose every answer is `answer`, and one that serves.
async fn replicas(answer: String, served: String) -> (Replica, Replica) {
    let stating = Replica::start(vec![Action::Write(answer)]).await;
    let other = Replica::start(vec![Action::Write(served)]).await;
    (stating, other)
}

/// Guards against a departure that counts only when its stream has ended, and against streams that
/// are resumed at a replica that leaves.
#[test]
fn departure_counts_from_the_head_of_a_stream() {
    run(async {
        let open = leaving(&events(1, 2));
        let (stating, other) = replicas(open, events(1, 2) + END).await;
        let running = gateway_with(&[&stating, &other]).await;

        let stream = send(&running, "/stream/x", "call-0").await;
        for i in 1..10 {
            assert_eq!(call(&running, "/stream/x", &format!("call-{i}")).await.0, 200);
        }

        drop(stream);
        assert_eq!(stating.received.borrow().len(), 1);
    });
}

/// Guards against departures that are read in successes only.
#[test]
fn departure_counts_in_errors_and_refusals() {
    run(async {
        for answer in [response("500 Error", "failed"), refusal()] {
            let (stating, other) = replicas(leaving(&answer), response("200 OK", "served")).await;
            let running = gateway_with(&[&stating, &other]).await;

            for i in 0..10 {
                assert_eq!(call(&running, "/safe/x", &format!("call-{i}")).await.0, 200);
            }

            assert_eq!(stating.received.borrow().len(), 1);
        }
    });
}

/// Guards against a departure that is not read in errors and refusals. Both replicas fail alike, so
/// that nothing else keeps calls away from them.
#[test]
fn replicas_that_leave_with_an_error_get_no_further_calls() {
    run(async {
        for answer in [response("500 Error", "failed"), refusal()] {
            let (first, second) = replicas(leaving(&answer), leaving(&answer)).await;
            let running = gateway_with(&[&first, &second]).await;
            let counts = || [&first, &second].map(|replica| replica.received.borrow().len());
            while counts().contains(&0) {
                let _ = call(&running, "/once/x", "first").await;
            }

            tokio::time::sleep(LAST_RESORT_TIME).await;
            let before = counts();
            for i in 0..5 {
                assert_eq!(call(&running, "/once/x", &format!("call-{i}")).await.0, 503);
            }

            assert_eq!(counts(), before);
        }
    });
}

/// Guards against refusals that are not attributed to a call, and therefore not heard at all.
#[test]
fn cooldown_counts_in_a_response_without_an_id() {
    run(async {
        let refusal = refusal().replace("x-request-id: ID\r\n", "");
        let (stating, other) =
            replicas(with(&refusal, "retry-after", "9"), response("200 OK", "served")).await;
        let running = gateway_with(&[&stating, &other]).await;

        for i in 0..10 {
            assert_eq!(call(&running, "/safe/x", &format!("call-{i}")).await.0, 200);
        }

        assert_eq!(stating.received.borrow().len(), 1);
    });
}

/// Guards against connections that keep a leaving replica from ending.
#[test]
fn departure_closes_idle_connections() {
    run(async {
        let (stating, _) = replicas(leaving(&response("200 OK", "x")), String::new()).await;
        let running = gateway_with(&[&stating]).await;

        let (status, _) = call(&running, "/safe/x", "call-1").await;

        assert_eq!((status, running.shared.pool.len()), (200, 0));
    });
}

/// Guards against a replica that is taken for leaving because another incarnation at its address is.
#[test]
fn departure_of_another_incarnation_does_not_count() {
    run(async {
        let other = leaving("HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n");
        let script = vec![Action::Write(other), Action::Write(response("200 OK", "served"))];
        let replica = Replica::start(script).await;
        let contents = Rc::new(RefCell::new(Some(view(&[&replica]))));
        let running = gateway(&contents).await;
        assert_eq!(call(&running, "/safe/x", "call-0").await.0, 503);

        // The next list opens the replica again.
        let mut statuses = Vec::new();
        for i in 1..50 {
            statuses.push(call(&running, "/safe/x", &format!("call-{i}")).await.0);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }

        assert!(statuses.contains(&200), "{statuses:?}");
    });
}

/// Guards against callers that are told to return before their replica takes calls again.
#[test]
fn callers_are_told_when_the_only_replica_takes_calls_again() {
    run(async {
        let answer = with(&refusal(), "retry-after", "2.5");
        let (stating, _) = replicas(answer, String::new()).await;
        let running = gateway_with(&[&stating]).await;

        let mut waits = Vec::new();
        for i in 0..10 {
            let answer = send(&running, "/safe/x", &format!("call-{i}")).await;
            assert_eq!(answer.status(), 503);
            let wait = headers(&answer)[header::RETRY_AFTER.as_str()].clone();
            waits.push(wait.parse::<f64>().unwrap());
        }

        assert_eq!(stating.received.borrow().len(), 1);
        assert!(waits.iter().all(|wait| (2.0..=6.0).contains(wait)), "{waits:?}");
        wait_until("the end of the cooldown", || {
            running
                .shared
                .gateway
                .borrow()
                .fleet()
                .usable(laburnumwheel_gateway::clock::now(), "service")
                > 0
        })
        .await;
        assert_eq!(call(&running, "/safe/x", "call-10").await.0, 503);
        assert_eq!(stating.received.borrow().len(), 2);
    });
}
