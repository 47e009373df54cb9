//! Calls that are not streams, with replicas that fail in many ways.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use laburnumwheel_core::gateway::Crashes;
use laburnumwheel_core::gateway::quarantine::feature::Feature;
use laburnumwheel_core::gateway::quarantine::part;
use laburnumwheel_core::time::Span;
use laburnumwheel_gateway::clock;
use laburnumwheel_gateway::gateway::Running;

use crate::support::Action;
use crate::support::Replica;
use crate::support::call;
use crate::support::connect;
use crate::support::gateway;
use crate::support::gateway_with;
use crate::support::headers;
use crate::support::link::reserve_port;
use crate::support::listing;
use crate::support::refusal;
use crate::support::request;
use crate::support::response;
use crate::support::run;
use crate::support::send;
use crate::support::view;

fn write(text: String) -> Vec<Action> {
    vec![Action::Write(text)]
}

#[test]
fn call_is_forwarded_without_its_key_and_response_is_unchanged() {
    run(async {
        let replica = Replica::start(write(response("200 OK", "answer"))).await;
        let running = gateway_with(&[&replica]).await;

        let response = send(&running, "/safe/x?q=1", "call-1").await;
        let headers = headers(&response);
        let body = response.into_body().collect().await.unwrap().to_bytes();

        let seen = replica.received.borrow()[0].clone();
        assert!(seen.head.starts_with("POST /safe/x?q=1 HTTP/1.1"));
        assert_eq!(seen.body, b"body");
        assert_eq!(seen.header("authorization"), None);
        assert_eq!(seen.header("x-laburnum-organisation"), Some("museum"));
        assert_eq!(seen.header("x-laburnum-replica"), Some("replica-0"));
        let left: u64 = seen.header("x-laburnum-patience-ms").unwrap().parse().unwrap();
        assert!(left <= 3_000);
        assert_eq!(&body[..], b"answer");
        assert_eq!(headers["x-laburnum-proof"], "p");
        assert_eq!(headers["x-request-id"], "call-1");
    });
}

/// A replica runs a call that is not idempotent, and its response is lost. If the gateway repeated
/// the call or told the caller that it had not run, the call would run twice.
#[test]
fn non_idempotent_call_is_not_repeated_after_lost_response() {
    run(async {
        let lost = vec![Action::WriteAndClose(String::new())];
        let (a, b) = (Replica::start(lost.clone()).await, Replica::start(lost).await);
        let running = gateway_with(&[&a, &b]).await;

        let (status, _) = call(&running, "/once/x", "call-1").await;

        assert_eq!(status, 502);
        assert_eq!(a.received.borrow().len() + b.received.borrow().len(), 1);
    });
}

/// Brittle replicas say so in refusals too, which are the first answers that some gateways get.
#[test]
fn answers_and_refusals_tell_that_a_service_is_brittle() {
    run(async {
        for text in [response("200 OK", "answer"), refusal()] {
            let text = text.replacen("x-request-id", "x-laburnum-brittle: 4\r\nx-request-id", 1);
            let replica = Replica::start(write(text)).await;
            let running = gateway_with(&[&replica]).await;

            let _ = call(&running, "/safe/x", "call-1").await;

            let gateway = running.shared.gateway.borrow();
            assert!(gateway.fleet().is_brittle(clock::now(), "service"));
        }
    });
}

#[test]
fn idempotent_call_is_repeated_at_another_replica() {
    run(async {
        let a = Replica::start(vec![Action::WriteAndClose(String::new())]).await;
        let b = Replica::start(write(response("200 OK", "b"))).await;
        let running = gateway_with(&[&a, &b]).await;

        for i in 0..6 {
            let received = call(&running, "/safe/x", &format!("call-{i}")).await;
            assert_eq!(received, (200, Ok("b".to_owned())));
        }
    });
}

/// A replica sends the response to another call, perhaps an abandoned one. The caller must never
/// get it, whatever its status.
#[test]
fn response_with_another_id_is_never_delivered() {
    run(async {
        let foreign = response("200 OK", "somebody else's").replace("ID", "call-0");
        let replica = Replica::start(write(foreign)).await;
        let running = gateway_with(&[&replica]).await;

        let (status, body) = call(&running, "/once/x", "call-1").await;

        assert_eq!(status, 502);
        assert!(!body.unwrap().contains("somebody"));
    });
}

/// A faulty replica responds twice. The second response is read from the pooled connection when the
/// response to the next call is expected.
#[test]
fn second_response_is_not_delivered_to_next_call() {
    run(async {
        let twice = response("200 OK", "first") + &response("200 OK", "again");
        let replica =
            Replica::start(vec![Action::Write(twice), Action::Write(response("200 OK", "second"))])
                .await;
        let running = gateway_with(&[&replica]).await;

        let first = call(&running, "/safe/x", "call-1").await;
        let second = call(&running, "/safe/x", "call-2").await;

        assert_eq!(first, (200, Ok("first".to_owned())));
        assert_eq!(second, (200, Ok("second".to_owned())));
    });
}

#[test]
fn success_without_the_replicas_proof_is_an_error() {
    run(async {
        let text = response("200 OK", "x").replace("x-laburnum-proof: p\r\n", "");
        let replica = Replica::start(write(text)).await;
        let running = gateway_with(&[&replica]).await;

        assert_eq!(call(&running, "/once/x", "call-1").await.0, 502);
    });
}

#[test]
fn truncated_response_is_never_forwarded_as_complete() {
    run(async {
        let short = response("200 OK", "whole answer").replace("whole answer", "half");
        let replica = Replica::start(vec![Action::WriteAndClose(short)]).await;
        let running = gateway_with(&[&replica]).await;

        assert_eq!(call(&running, "/once/x", "call-1").await.0, 502);
    });
}

/// Every replica is full and states that it did not run the call. The caller gets a 503 with a time
/// to retry after.
#[test]
fn refusal_by_replicas_is_reported_as_not_run() {
    run(async {
        let replica = Replica::start(write(refusal())).await;
        let running = gateway_with(&[&replica]).await;

        let response = send(&running, "/once/x", "call-1").await;

        assert_eq!(response.status(), 503);
        assert!(headers(&response).contains_key("retry-after"));
    });
}

/// One replica may have run the call before the next one refused it, so it must not be reported as
/// not run.
#[test]
fn refusal_after_an_attempt_that_may_have_run_is_not_reported_as_not_run() {
    run(async {
        let a =
            Replica::start(vec![Action::WriteAndClose(String::new()), Action::Write(refusal())]);
        let a = a.await;
        let b = Replica::start(vec![Action::WriteAndClose(String::new())]).await;
        let running = gateway_with(&[&a, &b]).await;
        // The replica that is tried first loses the response; a second attempt may be refused.
        let (status, _) = call(&running, "/safe/x", "call-1").await;

        assert_eq!(status, 502);
    });
}

#[test]
fn error_response_of_a_replica_is_forwarded_with_its_proof() {
    run(async {
        let replica = Replica::start(write(response("500 Error", "broken"))).await;
        let running = gateway_with(&[&replica]).await;

        let response = send(&running, "/once/x", "call-1").await;

        assert_eq!(response.status(), 500);
        assert!(headers(&response).contains_key("x-laburnum-proof"));
    });
}

/// Another incarnation of a replica has the address and refuses the call. The call did not run, so
/// it is sent to another replica.
#[test]
fn call_is_repeated_after_another_replica_at_the_address_refused_it() {
    run(async {
        let other = "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n".to_owned();
        let a = Replica::start(write(other)).await;
        let b = Replica::start(write(response("200 OK", "b"))).await;
        let running = gateway_with(&[&a, &b]).await;

        for i in 0..4 {
            let received = call(&running, "/once/x", &format!("call-{i}")).await;
            assert_eq!(received, (200, Ok("b".to_owned())));
        }
        assert!(a.received.borrow().len() <= 1);
    });
}

#[test]
fn unreachable_replica_does_not_count_as_an_attempt() {
    run(async {
        let gone = Replica::start(vec![Action::Silent]).await;
        let b = Replica::start(write(response("200 OK", "b"))).await;
        let mut listed = view(&[&gone, &b]);
        let (_port, unused) = reserve_port();
        listed.replicas[0].address = unused.to_string();
        let running = gateway(&Rc::new(RefCell::new(Some(listed)))).await;

        for i in 0..4 {
            assert_eq!(call(&running, "/once/x", &format!("call-{i}")).await.0, 200);
        }
    });
}

/// A caller disconnects while a replica runs its call. The gateway must cancel the call at the
/// replica.
#[test]
fn call_is_cancelled_at_the_replica_when_its_caller_disconnects() {
    run(async {
        let replica = Replica::start(vec![Action::Silent]).await;
        let running = gateway_with(&[&replica]).await;
        let mut channel = connect(&running).await;
        let response = channel.send(request("/safe/x", "call-1"));
        let waiting = tokio::task::spawn_local(response);
        while replica.received.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }

        drop(channel);
        waiting.abort();

        while *replica.cancelled.borrow() != ["call-1"] {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(running.shared.calls.get(), 0);
    });
}

#[test]
fn malformed_call_gets_an_error_and_reaches_no_replica() {
    run(async {
        let replica = Replica::start(write(response("200 OK", ""))).await;
        let running = gateway_with(&[&replica]).await;
        let build = |f: &dyn Fn(&mut hyper::Request<Full<bytes::Bytes>>)| {
            let mut r = request("/safe/x", "call-1");
            f(&mut r);
            r
        };
        let cases = [
            (400, build(&|r| drop(r.headers_mut().remove("x-request-id")))),
            (
                400,
                build(&|r| {
                    r.headers_mut().insert("x-laburnum-patience-ms", "soon".parse().unwrap());
                }),
            ),
            (401, build(&|r| drop(r.headers_mut().remove("authorization")))),
            (404, build(&|r| *r.uri_mut() = "/none/x".parse().unwrap())),
            (413, build(&|r| *r.body_mut() = Full::new(vec![b'x'; 20_000].into()))),
        ];

        for (status, request) in cases {
            let mut channel = connect(&running).await;
            let response = channel.send(request).await.unwrap();
            assert_eq!(response.status().as_u16(), status);
        }
        assert!(replica.received.borrow().is_empty());
    });
}

/// In a planned stop the call in progress is finished, and its connection is closed after it.
#[test]
fn stop_finishes_calls_in_progress() {
    run(async {
        let replica = Replica::start(write(response("200 OK", "answer"))).await;
        let running = gateway_with(&[&replica]).await;
        let shared = running.shared.clone();
        let mut channel = connect(&running).await;
        shared.gateway.borrow_mut().stop(clock::now(), Span::secs(2), Span::secs(8));

        let response = channel.send(request("/once/x", "call-1")).await.unwrap();

        assert_eq!(headers(&response)["connection"], "close");
        assert_eq!(response.status(), 200);
        running.stop().await;
        assert_eq!(shared.calls.get(), 0);
    });
}

/// The store is unreachable when the gateway starts. The gateway must serve calls as soon as the
/// store is reachable.
#[test]
fn gateway_that_starts_during_an_outage_serves_when_the_store_is_back() {
    run(async {
        let replica = Replica::start(write(response("200 OK", "answer"))).await;
        let contents = Rc::new(RefCell::new(None));
        let (c, stored) = (Rc::clone(&contents), view(&[&replica]));
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(300)).await;
            *c.borrow_mut() = Some(stored);
        });

        let running = gateway(&contents).await;

        assert_eq!(call(&running, "/once/x", "call-1").await.0, 200);
    });
}

/// A replica has crashed under a request, and another one starts at its address before its entry
/// ends. If the refusal by the new one counted as a sign of life of the crashed one, the crash would
/// no longer count against the request, and it would be sent to further replicas.
#[test]
fn refusal_by_another_incarnation_is_no_sign_of_life_of_the_earlier_one() {
    run(async {
        let replaced = refusal().replace("503 Busy", "421 Misdirected");
        let replica = Replica::start(write(replaced)).await;
        let running = gateway_with(&[&replica]).await;

        let (status, survivals) = call_after_a_crash(&running, &replica).await;

        assert_eq!(status, 503);
        assert_eq!(replica.received.borrow().len(), 1);
        assert_eq!(survivals, 0);
    });
}

/// An answer on a connection from before a crash shows that the replica did not crash; one on a new
/// connection may come from a replica that has started again.
#[test]
fn only_answers_on_old_connections_refute_a_crash() {
    run(async {
        let replica = Replica::start(write(response("200 OK", "answer"))).await;
        let (fresh, used) = (gateway_with(&[&replica]).await, gateway_with(&[&replica]).await);
        let (first, _) = call(&used, "/safe/x", "call-0").await;

        let on_new = call_after_a_crash(&fresh, &replica).await;
        let on_old = call_after_a_crash(&used, &replica).await;

        assert_eq!(first, 200);
        assert_eq!(on_new, (200, 0));
        assert_eq!(on_old, (200, 1));
    });
}

/// Makes a call right after a crash of its replica that a peer knows of; returns the status and the
/// number of crashes that the gateway tells peers were none.
async fn call_after_a_crash(running: &Running, replica: &Replica) -> (u16, usize) {
    let incarnation = listing("replica-0", replica.address).incarnation.digest();
    let record = part::Record {
        part: Feature::part(1),
        common: Vec::new(),
        crashes: vec![part::Crash { replica: incarnation, age_ms: 0 }],
        answered_ms: None,
    };
    let crashes = Crashes { parts: vec![record], survivals: Vec::new() };
    running.shared.gateway.borrow_mut().receive_crashes(clock::now(), &crashes);
    tokio::time::sleep(Duration::from_millis(10)).await;
    let (status, _) = call(running, "/safe/x", "call-1").await;
    let gossiped = running.shared.gateway.borrow_mut().gossip_crashes(clock::now());
    (status, gossiped.survivals.len())
}
