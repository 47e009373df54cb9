//! Event streams that break off, go on elsewhere, or must not.

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

/// Two replicas of which the first that is asked breaks off, and the other goes on.
async fn breaking(first: &str) -> (Replica, Replica) {
    let script = |first: &str| {
        vec![Action::WriteAndClose(first.to_owned()), Action::Write(events(3, 5) + END)]
    };
    // Either may be asked first; the second act of the other is reached through its first.
    let a = Replica::start(script(first)).await;
    let b = Replica::start(vec![Action::Write(events(3, 5) + END)]).await;
    (a, b)
}

#[test]
fn a_whole_stream_is_relayed() {
    run(async {
        let replica = Replica::start(vec![Action::Write(events(1, 4) + END)]).await;
        let running = gateway_with(&[&replica]).await;

        let answer = call(&running, "/once-stream/x", "call-1").await;

        assert_eq!(answer, (200, Ok(data(1, 4))));
    });
}

/// A replica dies in the middle of its third event. Another goes on behind the second; the caller
/// sees each event once, and never the torn one.
#[test]
fn a_stream_goes_on_at_another_replica_behind_the_last_whole_event() {
    run(async {
        let torn = events(1, 2) + &chunk("id: 3\nda");
        let (a, b) = breaking(&torn).await;
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
        let seen = b.received.borrow();
        let last = seen.iter().filter_map(|s| s.header("last-event-id")).collect::<Vec<_>>();
        assert_eq!(last, ["2"]);
    });
}

/// The stream may not be repeated. Joined from two runs, the draft would be neither of them; it
/// ends broken, so that nobody takes it for whole.
#[test]
fn a_stream_that_may_not_be_repeated_looks_broken() {
    run(async {
        let replica = Replica::start(vec![Action::WriteAndClose(events(1, 2))]).await;
        let running = gateway_with(&[&replica]).await;

        let (status, body) = call(&running, "/once-stream/x", "call-1").await;

        assert_eq!(status, 200);
        assert_eq!(body, Err(()));
        assert_eq!(replica.received.borrow().len(), 1);
    });
}

/// A replica breaks off before its first event. Nothing has been passed on, so the caller gets a
/// true answer instead of a broken stream.
#[test]
fn a_stream_that_breaks_before_its_first_event_is_answered() {
    run(async {
        let replica = Replica::start(vec![Action::WriteAndClose(events(1, 0))]).await;
        let running = gateway_with(&[&replica]).await;

        let (status, _) = call(&running, "/once-stream/x", "call-1").await;

        assert_eq!(status, 502);
    });
}

#[test]
fn a_refused_stream_is_sent_on() {
    run(async {
        let a = Replica::start(vec![Action::Write(refusal())]).await;
        let b = Replica::start(vec![Action::Write(events(1, 2) + END)]).await;
        let running = gateway_with(&[&a, &b]).await;

        for i in 0..4 {
            let answer = call(&running, "/stream/x", &format!("call-{i}")).await;
            assert_eq!(answer, (200, Ok(data(1, 2))));
        }
    });
}

/// A caller reads two events of a chat and leaves. The engine must not go on with it.
#[test]
fn a_caller_that_leaves_a_stream_ends_it_at_the_replica() {
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

/// Nine engines before six gateways: most streams find a connection that an earlier one has left.
#[test]
fn streams_of_an_engine_share_a_connection() {
    run(async {
        let replica = Replica::start(vec![Action::Write(events(1, 2) + END)]).await;
        let held = Rc::new(RefCell::new(Some(view_of_engines(&[&replica]))));
        let running = gateway(&held).await;

        for i in 0..4 {
            let answer = call(&running, "/once-stream/x", &format!("call-{i}")).await;
            assert_eq!(answer, (200, Ok(data(1, 2))));
        }

        assert_eq!(*replica.connections.borrow(), 1);
    });
}

/// An engine drops a kept connection with a draft on it. Whether the draft ran nobody can tell: it
/// is neither sent to another engine, where it would run twice, nor said not to have run.
#[test]
fn a_stream_that_is_lost_with_a_kept_connection_is_not_repeated() {
    run(async {
        let script = vec![Action::Write(events(1, 2) + END), Action::WriteAndClose(String::new())];
        let replica = Replica::start(script).await;
        let held = Rc::new(RefCell::new(Some(view_of_engines(&[&replica]))));
        let running = gateway(&held).await;

        let first = call(&running, "/once-stream/x", "call-1").await;
        let second = call(&running, "/once-stream/x", "call-2").await;

        assert_eq!(first, (200, Ok(data(1, 2))));
        assert_eq!(second.0, 502);
        assert_eq!(replica.received.borrow().len(), 2);
        assert_eq!(*replica.connections.borrow(), 1);
    });
}

/// A plain service is told apart: each call that may run once has a connection of its own there.
#[test]
fn calls_that_may_run_once_share_no_connection_at_a_plain_service() {
    run(async {
        let replica = Replica::start(vec![Action::Write(events(1, 2) + END)]).await;
        let running = gateway_with(&[&replica]).await;

        for i in 0..3 {
            call(&running, "/once-stream/x", &format!("call-{i}")).await.1.unwrap();
        }

        assert_eq!(*replica.connections.borrow(), 3);
    });
}

/// A question is sent to an engine that takes it and never says anything. Its caller waited until the
/// lot had closed; it has to hear at its deadline, and that the question may have run.
#[test]
fn a_question_that_is_never_answered_ends_at_its_deadline() {
    run(async {
        let replica = Replica::start(vec![Action::Silent]).await;
        let running = gateway_with(&[&replica]).await;

        let (status, _) = call(&running, "/once-stream/x", "call-1").await;

        assert_eq!(status, 504);
        assert_eq!(replica.received.borrow().len(), 1);
        assert_eq!(running.shared.calls.get(), 0);
    });
}

/// The engine begins to answer and falls silent, on a connection that stays open. At the deadline the
/// stream ends, and looks broken: what has come is not the whole answer.
#[test]
fn a_question_whose_answer_stalls_ends_at_its_deadline() {
    run(async {
        let replica = Replica::start(vec![Action::Write(events(1, 2))]).await;
        let running = gateway_with(&[&replica]).await;

        let (status, body) = call(&running, "/once-stream/x", "call-1").await;

        assert_eq!(status, 200);
        assert_eq!(body, Err(()));
        assert_eq!(running.shared.calls.get(), 0);
    });
}
