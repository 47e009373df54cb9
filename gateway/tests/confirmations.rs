//! Streams that wait until it is certain which builds began them and will continue them.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use laburnumwheel_core::gateway::config::Route;
use laburnumwheel_core::incarnation::Incarnation;
use laburnumwheel_core::time::Span;
use laburnumwheel_gateway::clock;
use laburnumwheel_gateway::dialect::own;
use laburnumwheel_gateway::gateway::Running;
use laburnumwheel_gateway::store::View;

use crate::support::Action;
use crate::support::Contents;
use crate::support::END;
use crate::support::Replica;
use crate::support::chunk;
use crate::support::connect;
use crate::support::event;
use crate::support::events;
use crate::support::gateway;
use crate::support::request;
use crate::support::run;
use crate::support::view;
use crate::support::view_of_engines;
use crate::support::wait_until;

/// Timeout of the calls, longer than all waits of a test together.
const TIMEOUT: Span = Span::secs(20);
/// Time after which a new gateway is certain of a connection that it opened at its start.
const SETTLE_TIME: Duration = Duration::from_millis(4_500);
/// Longest wait for evidence, at all replicas together.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// The view with a long timeout of its streams, and with replicas of one build.
fn of_one_build(mut view: View) -> View {
    let config = view.config.take().unwrap();
    let route = config.route("127.0.0.1", "/stream/x").unwrap();
    let route = Route { timeout: TIMEOUT, ..Route::clone(route) };
    view.config = Some(Arc::new((*config).clone().with_route(route)));
    view.replicas.iter_mut().for_each(|replica| replica.build = Some("v1".to_owned()));
    view
}

/// Opens a stream with a long timeout.
async fn open(running: &Running) -> Response<Incoming> {
    let mut request: Request<_> = request("/stream/x", "call-1");
    let timeout = HeaderValue::from(TIMEOUT.as_millis());
    request.headers_mut().insert(own::PATIENCE, timeout);
    let mut channel = connect(running).await;
    let response = channel.send(request).await.unwrap();
    tokio::task::spawn_local(async move {
        // Keeps the connection until the test ends.
        let _channel = channel;
        std::future::pending::<()>().await;
    });
    response
}

/// Guards against callers that wait for as long at each replica that is tried as one wait may last at
/// most: lists show nothing of any of them while the store is away.
#[test]
fn replicas_that_are_tried_share_one_wait() {
    run(async {
        let broken = Action::WriteAndCloseLater(events(1, 2), SETTLE_TIME + Duration::from_secs(1));
        let rest = Action::Write(events(3, 5) + END);
        let first = Replica::start(vec![broken]).await;
        let others = [Replica::start(vec![rest.clone()]).await, Replica::start(vec![rest]).await];
        let contents: Contents = Rc::new(RefCell::new(Some(of_one_build(view(&[&first])))));
        let running = gateway(&contents).await;
        let body = open(&running).await.into_body();
        contents.replace(Some(of_one_build(view(&[&first, &others[0], &others[1]]))));
        tokio::time::sleep(SETTLE_TIME).await;

        contents.replace(None);
        let began = Instant::now();
        let result = body.collect().await;
        let took = began.elapsed();

        assert!(result.is_err());
        assert!(others.iter().all(|replica| replica.received.borrow().is_empty()));
        let longest = Duration::from_secs(1) + MAX_WAIT + Duration::from_secs(1);
        assert!(took < longest, "aborted after {took:?}");
        assert!(took > MAX_WAIT, "given up at once, after {took:?}");
    });
}

/// Guards against a stream that waits until its deadline for the report of a replica which does not answer,
/// although lists show meanwhile what the replica runs.
#[test]
fn stream_does_not_wait_for_a_slow_report() {
    run(async {
        let broken = Action::WriteAndCloseLater(events(1, 2), Duration::from_secs(1));
        let first = Replica::start(vec![broken]).await;
        let slow = Replica::start(vec![Action::Silent, Action::Rest(5)]).await;
        let stated = |replicas: &[&Replica]| {
            let mut view = of_one_build(view_of_engines(replicas));
            for replica in &mut view.replicas {
                replica.incarnation = Incarnation::new(&replica.incarnation.id, 1);
            }
            view
        };
        let contents: Contents = Rc::new(RefCell::new(Some(stated(&[&first]))));
        let running = gateway(&contents).await;
        let body = open(&running).await.into_body();
        contents.replace(Some(stated(&[&first, &slow])));

        let began = Instant::now();
        let result = body.collect().await;
        let took = began.elapsed();

        let received = slow.received.borrow();
        assert!(received[0].head.contains(own::REPORT_PATH), "{}", received[0].head);
        let text = String::from_utf8(result.unwrap().to_bytes().to_vec()).unwrap();
        assert!(text.ends_with("id: 5\ndata: t5\n\n"), "{text}");
        assert!(took < Duration::from_secs(1) + MAX_WAIT + Duration::from_secs(1), "{took:?}");
    });
}

/// Whether the data of a stream shows that its replica runs, after its caller has read nothing for a time if
/// `pauses`. The store is away meanwhile.
async fn confirms_by_data(pauses: bool) -> bool {
    // Fills all buffers on the way to the caller.
    let text = format!("data: {}\n\n", "x".repeat(100_000));
    let large = |id: u32| chunk(&format!("id: {id}\n{text}"));
    let burst: String = (2..200).map(large).collect();
    let mut parts = vec![(Duration::ZERO, events(1, 1)), (SETTLE_TIME, burst)];
    let interval = Duration::from_millis(200);
    parts.extend((200..215).map(|id| (interval, event(id))));
    parts.push((Duration::ZERO, END.to_owned()));
    let replica = Replica::start(vec![Action::WriteParts(parts)]).await;
    let contents: Contents = Rc::new(RefCell::new(Some(of_one_build(view(&[&replica])))));
    let running = gateway(&contents).await;
    let mut body = open(&running).await.into_body();
    body.frame().await.unwrap().unwrap();
    tokio::time::sleep(SETTLE_TIME - Duration::from_millis(200)).await;

    contents.replace(None);
    if pauses {
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    let read_on = clock::now();
    let result = body.collect().await;

    assert!(result.is_ok());
    let gateway = running.shared.gateway.borrow();
    let (key, _) = gateway.fleet().open_replicas("service").next().unwrap();
    gateway.fleet().leads_to(key, read_on + Span::millis(500))
}

/// Guards against data that lay in buffers while the caller of a stream did not read, and that is taken to
/// show that its replica still runs.
#[test]
fn data_after_a_pause_of_its_caller_confirms_nothing() {
    run(async {
        let (steady, paused) = tokio::join!(confirms_by_data(false), confirms_by_data(true));

        assert!(steady, "data confirms while its caller reads");
        assert!(!paused, "data confirms after a pause of its caller");
    });
}

/// Guards against streams from before any entry stated a build that go on at a replica of the first one.
#[test]
fn stream_from_before_the_first_build_does_not_go_on_there() {
    run(async {
        let broken = Action::WriteAndCloseLater(events(1, 2), Duration::from_secs(2));
        let old = Replica::start(vec![broken]).await;
        let new = Replica::start(vec![Action::Rest(5)]).await;
        let contents: Contents = Rc::new(RefCell::new(Some(view(&[&old]))));
        let running = gateway(&contents).await;
        let body = open(&running).await.into_body();
        let mut both = view(&[&old, &new]);
        both.replicas[1].build = Some("v1".to_owned());
        contents.replace(Some(both));
        let states_builds = || running.shared.gateway.borrow().fleet().states_builds("service");
        wait_until("the build is listed", states_builds).await;

        let result = body.collect().await;

        assert!(result.is_err());
        assert!(new.received.borrow().is_empty());
    });
}
