//! Event streams that break off, and whether they are resumed at another replica.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;

use crate::support::Action;
use crate::support::END;
use crate::support::Replica;
use crate::support::call;
use crate::support::chunk;
use crate::support::events;
use crate::support::gateway;
use crate::support::gateway_with;
use crate::support::refusal;
use crate::support::run;
use crate::support::send;
use crate::support::view_of_engines;

fn data(from: u32, to: u32) -> String {
    (from..=to).map(|i| format!("id: {i}\ndata: t{i}\n\n")).collect()
}

/// Starts two replicas: `a` breaks off its first response, and both send events 3 to 5 otherwise.
async fn breaking(first: &str) -> (Replica, Replica) {
    let script = |first: &str| {
        vec![Action::WriteAndClose(first.to_owned()), Action::Write(events(3, 5) + END)]
    };
    // Either replica may be tried first, and either may serve the resumed stream.
    let a = Replica::start(script(first)).await;
    let b = Replica::start(vec![Action::Write(events(3, 5) + END)]).await;
    (a, b)
}

#[test]
fn complete_stream_is_relayed() {
    run(async {
        let replica = Replica::start(vec![Action::Write(events(1, 4) + END)]).await;
        let running = gateway_with(&[&replica]).await;

        let response = call(&running, "/once-stream/x", "call-1").await;

        assert_eq!(response, (200, Ok(data(1, 4))));
    });
}

/// A replica crashes in the middle of its third event. Another one resumes after the second; the
/// caller gets each event once, and never the truncated one.
#[test]
fn stream_is_resumed_at_another_replica_after_the_last_whole_event() {
    run(async {
        let truncated = events(1, 2) + &chunk("id: 3\nda");
        let (a, b) = breaking(&truncated).await;
        let running = gateway_with(&[&a, &b]).await;
        let mut resumed = 0;

        for i in 0..6 {
            let (status, body) = call(&running, "/stream/x", &format!("call-{i}")).await;
            assert_eq!(status, 200);
            let body = body.unwrap();
            assert!(body == data(1, 5) || body == data(3, 5), "{body}");
            resumed += u32::from(body == data(1, 5));
        }

        assert_eq!(resumed, 1);
        let received = b.received.borrow();
        let last = received.iter().filter_map(|s| s.header("last-event-id")).collect::<Vec<_>>();
        assert_eq!(last, ["2"]);
    });
}

/// A stream that is not idempotent must not be joined from two runs, whose texts differ. It is
/// aborted, so that the caller does not take it for complete.
#[test]
fn non_idempotent_stream_that_breaks_off_is_aborted() {
    run(async {
        let replica = Replica::start(vec![Action::WriteAndClose(events(1, 2))]).await;
        let running = gateway_with(&[&replica]).await;

        let (status, body) = call(&running, "/once-stream/x", "call-1").await;

        assert_eq!(status, 200);
        assert_eq!(body, Err(()));
        assert_eq!(replica.received.borrow().len(), 1);
    });
}

/// A replica breaks off before its first event. Nothing has been forwarded, so the caller gets an
/// error response instead of an aborted stream.
#[test]
fn stream_that_breaks_off_before_its_first_event_gets_an_error_response() {
    run(async {
        let replica = Replica::start(vec![Action::WriteAndClose(events(1, 0))]).await;
        let running = gateway_with(&[&replica]).await;

        let (status, _) = call(&running, "/once-stream/x", "call-1").await;

        assert_eq!(status, 502);
    });
}

#[test]
fn refused_stream_is_sent_to_another_replica() {
    run(async {
        let a = Replica::start(vec![Action::Write(refusal())]).await;
        let b = Replica::start(vec![Action::Write(events(1, 2) + END)]).await;
        let running = gateway_with(&[&a, &b]).await;

        for i in 0..4 {
            let response = call(&running, "/stream/x", &format!("call-{i}")).await;
            assert_eq!(response, (200, Ok(data(1, 2))));
        }
    });
}

/// A caller reads part of a stream and disconnects. The stream must end at the gateway and at the
/// engine.
#[test]
fn stream_ends_when_its_caller_disconnects() {
    run(async {
        let replica = Replica::start(vec![Action::Write(events(1, 2))]).await;
        let running = gateway_with(&[&replica]).await;
        let response = send(&running, "/stream/x", "call-1").await;
        let mut body = response.into_body();
        let first = body.frame().await.unwrap().unwrap().into_data().unwrap();

        drop(body);

        while running.shared.calls.get() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(first.starts_with(b"id: 1"));
    });
}

/// Streams of an engine reuse the connection that an earlier stream has returned to the pool.
#[test]
fn streams_of_an_engine_share_a_connection() {
    run(async {
        let replica = Replica::start(vec![Action::Write(events(1, 2) + END)]).await;
        let contents = Rc::new(RefCell::new(Some(view_of_engines(&[&replica]))));
        let running = gateway(&contents).await;

        for i in 0..4 {
            let response = call(&running, "/once-stream/x", &format!("call-{i}")).await;
            assert_eq!(response, (200, Ok(data(1, 2))));
        }

        assert_eq!(*replica.connections.borrow(), 1);
    });
}

/// An engine closes a pooled connection on which a stream that is not idempotent was sent. It is
/// unknown whether the call ran: it must neither be repeated, as it could run twice, nor reported
/// as not run.
#[test]
fn stream_that_is_lost_with_a_pooled_connection_is_not_repeated() {
    run(async {
        let script = vec![Action::Write(events(1, 2) + END), Action::WriteAndClose(String::new())];
        let replica = Replica::start(script).await;
        let contents = Rc::new(RefCell::new(Some(view_of_engines(&[&replica]))));
        let running = gateway(&contents).await;

        let first = call(&running, "/once-stream/x", "call-1").await;
        let second = call(&running, "/once-stream/x", "call-2").await;

        assert_eq!(first, (200, Ok(data(1, 2))));
        assert_eq!(second.0, 502);
        assert_eq!(replica.received.borrow().len(), 2);
        assert_eq!(*replica.connections.borrow(), 1);
    });
}

/// Unlike engines, a plain service gets a new connection for each call that is not idempotent.
#[test]
fn non_idempotent_calls_share_no_connection_to_a_plain_service() {
    run(async {
        let replica = Replica::start(vec![Action::Write(events(1, 2) + END)]).await;
        let running = gateway_with(&[&replica]).await;

        for i in 0..3 {
            call(&running, "/once-stream/x", &format!("call-{i}")).await.1.unwrap();
        }

        assert_eq!(*replica.connections.borrow(), 3);
    });
}

/// An engine accepts a call and never responds. The caller must get a response at its deadline,
/// saying that the call may have run, instead of waiting on.
#[test]
fn stream_without_a_response_ends_at_its_deadline() {
    run(async {
        let replica = Replica::start(vec![Action::Silent]).await;
        let running = gateway_with(&[&replica]).await;

        let (status, _) = call(&running, "/once-stream/x", "call-1").await;

        assert_eq!(status, 504);
        assert_eq!(replica.received.borrow().len(), 1);
        assert_eq!(running.shared.calls.get(), 0);
    });
}

/// An engine sends some events and then nothing more, on a connection that stays open. At the
/// deadline the stream is aborted, as the response is not complete.
#[test]
fn stream_that_stalls_is_aborted_at_its_deadline() {
    run(async {
        let replica = Replica::start(vec![Action::Write(events(1, 2))]).await;
        let running = gateway_with(&[&replica]).await;

        let (status, body) = call(&running, "/once-stream/x", "call-1").await;

        assert_eq!(status, 200);
        assert_eq!(body, Err(()));
        assert_eq!(running.shared.calls.get(), 0);
    });
}
