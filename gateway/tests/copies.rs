//! Streams that may not be resumed, whose engines break off, and whether they continue from a copy.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::config::Config;
use laburnumwheel_core::gateway::config::Engine as EngineConfig;
use laburnumwheel_core::gateway::config::Service;
use laburnumwheel_core::gateway::copy::Message;
use laburnumwheel_core::time::Span;
use laburnumwheel_gateway::dialect::own;
use laburnumwheel_gateway::gateway::Running;
use laburnumwheel_gateway::peers;
use laburnumwheel_gateway::store::View;
use laburnumwheel_gateway::topic::Topic;
use tokio::net::UdpSocket;

use crate::support::Contents;
use crate::support::END;
use crate::support::Received;
use crate::support::chunk;
use crate::support::connect;
use crate::support::counter;
use crate::support::engine::Engine;
use crate::support::engine::Step;
use crate::support::engine::copying;
use crate::support::engine::gateway_of;
use crate::support::engine::open;
use crate::support::engine::view_of;
use crate::support::events;
use crate::support::gateway;
use crate::support::gateways;
use crate::support::link::Cut;
use crate::support::link::Link;
use crate::support::listing;
use crate::support::refusal;
use crate::support::request;
use crate::support::response;
use crate::support::run;
use crate::support::settings;
use crate::support::view;
use crate::support::wait_until;

/// Time for which engines send nothing before they break off, so that the caller has the events
/// before it.
const LULL: Duration = Duration::from_millis(30);

fn data(from: u32, to: u32) -> String {
    (from..=to).map(|i| format!("id: {i}\ndata: t{i}\n\n")).collect()
}

async fn call(running: &Running, id: &str) -> Result<String, ()> {
    let (_channel, body) = open(running, id).await;
    let body = body.collect().await.map_err(|_| ())?;
    Ok(String::from_utf8(body.to_bytes().to_vec()).unwrap())
}

/// Sends events 1 and 2 of a new run and then takes `last`; continues a run to its event 5.
fn breaking(last: Vec<Step>) -> impl Fn(&Received) -> Vec<Step> + 'static {
    move |received| match received.header(own::CONTINUE_FROM) {
        Some(_) => vec![Step::Write(events(3, 5) + END)],
        None => [vec![Step::Write(events(1, 2)), Step::Wait(LULL)], last.clone()].concat(),
    }
}

/// Two engines that break off their new runs by `last`.
async fn two(last: Vec<Step>) -> (Engine, Engine) {
    (Engine::start(1, breaking(last.clone())).await, Engine::start(2, breaking(last)).await)
}

/// The engine that got the first call, and the other one.
fn order<'a>(a: &'a Engine, b: &'a Engine) -> (&'a Engine, &'a Engine) {
    let is_first = |e: &Engine| {
        let received = e.received.borrow();
        received.iter().any(|r| r.header(own::CONTINUE_FROM).is_none())
    };
    assert!(is_first(a) != is_first(b), "one of the engines got the new run");
    if is_first(a) { (a, b) } else { (b, a) }
}

/// An engine crashes in the middle of its third event. The caller gets each event once, and never
/// the truncated one.
#[test]
fn run_continues_from_its_copy_when_its_engine_crashes() {
    run(async {
        let truncated = Step::Write(chunk("id: 3\nda"));
        let (a, b) = two(vec![truncated, Step::Wait(LULL), Step::Crash]).await;
        let running = gateway_of(&[&a, &b]).await;

        let body = call(&running, "run-1").await;

        assert_eq!(body, Ok(data(1, 5)));
        let (first, standby) = order(&a, &b);
        assert_eq!(first.header(own::BACKUP_TO), Some(standby.address.to_string()));
        let continue_from = format!("{}/run-1", standby.address);
        assert_eq!(standby.header(own::CONTINUE_FROM), Some(continue_from));
        assert_eq!(standby.header(own::LAST_EVENT).as_deref(), Some("2"));
        assert_eq!(standby.header(own::ID).as_deref(), Some("run-1"));
        assert_eq!(standby.header(own::BACKUP_TO), None);
        assert_eq!(counter(&running, "run_continuations_total{outcome=\"continued\"}"), 1);
        assert_eq!(first.received.borrow().len() + standby.received.borrow().len(), 2);
    });
}

/// A run ends whole. Its copy is neither used nor counted any longer.
#[test]
fn copy_of_a_run_that_ends_is_freed() {
    run(async {
        let whole = |_: &Received| vec![Step::Write(events(1, 4) + END)];
        let (a, b) = (Engine::start(1, whole).await, Engine::start(2, whole).await);
        let running = gateway_of(&[&a, &b]).await;

        let body = call(&running, "run-1").await;

        assert_eq!(body, Ok(data(1, 4)));
        assert_eq!(counter(&running, "run_copies_total{outcome=\"reserved\"}"), 1);
        assert_eq!(copied_tokens(&running), 0);
    });
}

/// Tokens of all copies that the gateway counts.
fn copied_tokens(running: &Running) -> u64 {
    let gateway = running.shared.gateway.borrow();
    let now = laburnumwheel_gateway::clock::now();
    let engines = gateway.fleet().iter().map(|r| r.listing.incarnation.digest());
    engines.map(|engine| gateway.copied_tokens(now, engine)).sum()
}

/// The standby crashes as well. The stream is aborted, and no third engine gets the run.
#[test]
fn run_whose_standby_crashed_is_aborted() {
    run(async {
        let (a, b) = two(vec![Step::Wait(LULL), Step::Crash]).await;
        let running = gateway_of(&[&a, &b]).await;
        let (_channel, body) = open(&running, "run-1").await;
        let (first, standby) = order(&a, &b);
        standby.crash();

        let body = body.collect().await;

        assert!(body.is_err());
        assert_eq!(first.received.borrow().len(), 1);
        assert_eq!(standby.received.borrow().len(), 0);
        assert_eq!(counter(&running, "outcome=\"standby_failed\""), 1);
    });
}

/// The standby has no room for the copy, and says so when the run is to continue. It is not asked to
/// hold the next copy.
#[test]
fn run_without_a_copy_at_its_standby_is_aborted() {
    run(async {
        let script = |received: &Received| match received.header(own::CONTINUE_FROM) {
            Some(_) => vec![Step::Write(refusal())],
            None => vec![Step::Write(events(1, 2)), Step::Wait(LULL), Step::Crash],
        };
        let (a, b) = (Engine::start(1, script).await, Engine::start(2, script).await);
        let running = gateway_of(&[&a, &b]).await;

        let body = call(&running, "run-1").await;

        assert_eq!(body, Err(()));
        let (_, standby) = order(&a, &b);
        assert_eq!(standby.received.borrow().len(), 1);
        assert_eq!(counter(&running, "run_continuations_total{outcome=\"no_copy\"}"), 1);
    });
}

/// A connection breaks while the engine lives and reports the run until the gateway gives up. The
/// run must not be at work at two engines.
#[test]
fn run_that_its_engine_still_reports_does_not_continue() {
    run(async {
        let (a, b) = two(vec![Step::Close]).await;
        a.report.replace((200, "0\nrun-1\n".to_owned()));
        b.report.replace((200, "0\nrun-1\n".to_owned()));
        let contents: Contents = Rc::new(RefCell::new(Some(view_of(copying(2), &[&a, &b]))));
        let running = gateway(&contents).await;

        let body = call(&running, "run-1").await;

        assert_eq!(body, Err(()));
        let (first, standby) = order(&a, &b);
        assert!(first.reports.get() > 1, "{}", first.reports.get());
        assert_eq!(standby.received.borrow().len(), 0);
        assert_eq!(counter(&running, "run_continuations_total{outcome=\"in_doubt\"}"), 1);
    });
}

/// A preempted run waits at its engine, and is not among the running ones of its report.
#[test]
fn run_that_may_wait_at_its_engine_does_not_continue() {
    run(async {
        let (a, b) = two(vec![Step::Close]).await;
        a.report.replace((200, "1\n".to_owned()));
        b.report.replace((200, "1\n".to_owned()));
        let contents: Contents = Rc::new(RefCell::new(Some(view_of(copying(2), &[&a, &b]))));
        let running = gateway(&contents).await;

        let body = call(&running, "run-1").await;

        assert_eq!(body, Err(()));
        assert_eq!(order(&a, &b).1.received.borrow().len(), 0);
    });
}

/// A report that can't be read, or an error in its place, does not say that the run has ended.
#[test]
fn run_whose_engine_gives_no_report_does_not_continue() {
    run(async {
        for report in [(200, "nothing".to_owned()), (503, "0\n".to_owned())] {
            let (a, b) = two(vec![Step::Close]).await;
            a.report.replace(report.clone());
            b.report.replace(report);
            let contents: Contents = Rc::new(RefCell::new(Some(view_of(copying(2), &[&a, &b]))));
            let running = gateway(&contents).await;

            let body = call(&running, "run-1").await;

            assert_eq!(body, Err(()));
            assert_eq!(order(&a, &b).1.received.borrow().len(), 0);
        }
    });
}

/// Guards against reports with a spoilt head, or without an end, that are taken for the end of a run: it
/// would go on twice.
#[test]
fn run_whose_engine_sends_a_broken_report_does_not_continue() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\n";
        let cases = [
            (format!("{head}transfer-encoding: own\r\n\r\n0\n"), ""),
            (format!("{head}content-length: 3\r\ntransfer-encoding: own\r\n\r\n0\n"), ""),
            ("HTTP/1.1 600 Own\r\ncontent-length: 2\r\n\r\n0\n".to_owned(), ""),
            (format!("{head}\r\n0\n"), "x"),
            (format!("{head}transfer-encoding: chunked\r\n\r\n"), "1\r\n0\r\n"),
            (head.to_owned(), "a: b\r\n"),
            (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        ];
        for (text, repeated) in cases {
            let (a, b) = two(vec![Step::Close]).await;
            for engine in [&a, &b] {
                engine.faulty_reports.replace(Some((text.clone(), repeated.to_owned())));
            }
            let contents: Contents = Rc::new(RefCell::new(Some(view_of(copying(2), &[&a, &b]))));
            let running = gateway(&contents).await;

            let body = call(&running, "run-1").await;

            let (first, other) = order(&a, &b);
            assert_eq!(body, Err(()), "{text}");
            assert_eq!(other.received.borrow().len(), 0, "{text}");
            assert!(first.reports.get() > 0, "{text}");
            wait_until("the connections are closed", || {
                repeated.is_empty() || first.endless.get() == first.reports.get()
            })
            .await;
        }
    });
}

/// A continued run is one more arrival at the service than callers sent. If the retry budget is
/// spent, as when many engines crash at once, further arrivals would overload the others.
#[test]
fn run_does_not_continue_beyond_the_retry_budget() {
    run(async {
        let (a, b) = two(vec![Step::Wait(Duration::from_millis(300)), Step::Crash]).await;
        let running = gateway_of(&[&a, &b]).await;
        let (_channel, body) = open(&running, "run-1").await;
        let now = laburnumwheel_gateway::clock::now();
        while running.shared.gateway.borrow_mut().spend_retry(now, "service") {}

        let body = body.collect().await;

        assert!(body.is_err());
        assert_eq!(order(&a, &b).1.received.borrow().len(), 0);
        assert_eq!(counter(&running, "run_continuations_total{outcome=\"no_budget\"}"), 1);
    });
}

/// In an overload most calls are refused. Room that stayed reserved for them would be missing for
/// those that run.
#[test]
fn room_for_the_copy_of_a_refused_call_is_freed() {
    run(async {
        let refuse = |_: &Received| vec![Step::Write(refusal())];
        let (a, b) = (Engine::start(1, refuse).await, Engine::start(2, refuse).await);
        let running = gateway_of(&[&a, &b]).await;
        let mut channel = connect(&running).await;
        let mut request = request("/once-stream/x", "run-1");
        request.headers_mut().insert(own::PROMPT, "a1:700".parse().unwrap());
        request.headers_mut().insert(own::LENGTH_HINT, "60".parse().unwrap());

        let response = channel.send(request).await.unwrap();

        assert_eq!(response.status(), 503);
        assert!(counter(&running, "run_copies_total{outcome=\"reserved\"}") > 0);
        assert_eq!(copied_tokens(&running), 0);
    });
}

/// Guards against room that stays reserved for streams which an engine answers with a client's error.
#[test]
fn room_for_the_copy_of_a_failed_call_is_freed() {
    run(async {
        let fail = |_: &Received| vec![Step::Write(response("400 Bad Request", "no"))];
        let (a, b) = (Engine::start(1, fail).await, Engine::start(2, fail).await);
        let running = gateway_of(&[&a, &b]).await;
        let mut channel = connect(&running).await;
        let mut request = request("/once-stream/x", "run-1");
        request.headers_mut().insert(own::PROMPT, "a1:700".parse().unwrap());
        request.headers_mut().insert(own::LENGTH_HINT, "60".parse().unwrap());

        let response = channel.send(request).await.unwrap();

        assert_eq!(response.status(), 400);
        assert_eq!(counter(&running, "run_copies_total{outcome=\"reserved\"}"), 1);
        assert_eq!(copied_tokens(&running), 0);
    });
}

/// The engine lives and has dropped the run. It continues if the call may be sent to two engines.
#[test]
fn run_that_its_engine_dropped_continues_within_the_attempts_of_its_route() {
    run(async {
        let (a, b) = two(vec![Step::Close]).await;
        let (c, d) = two(vec![Step::Close]).await;
        let contents = |config: Config, engines: &[&Engine]| -> Contents {
            Rc::new(RefCell::new(Some(view_of(config, engines))))
        };
        let two_attempts = gateway(&contents(copying(2), &[&a, &b])).await;
        let one_attempt = gateway(&contents(copying(1), &[&c, &d])).await;

        let continued = call(&two_attempts, "run-1").await;
        let aborted = call(&one_attempt, "run-1").await;

        assert_eq!(continued, Ok(data(1, 5)));
        assert_eq!(order(&a, &b).0.reports.get(), 1);
        assert_eq!(aborted, Err(()));
        assert_eq!(order(&c, &d).1.received.borrow().len(), 0);
    });
}

/// An engine that restarted at once accepts connections at the address of the one that crashed.
#[test]
fn run_continues_when_another_incarnation_has_its_engines_address() {
    run(async {
        let (a, b) = two(vec![Step::Close]).await;
        a.report.replace((421, String::new()));
        b.report.replace((421, String::new()));
        let running = gateway_of(&[&a, &b]).await;

        let body = call(&running, "run-1").await;

        assert_eq!(body, Ok(data(1, 5)));
    });
}

/// The standby repeats an event, or leaves one out. The caller must get neither.
#[test]
fn continuation_with_another_event_than_the_next_one_is_aborted() {
    run(async {
        for next in [2, 4] {
            let script = move |received: &Received| match received.header(own::CONTINUE_FROM) {
                Some(_) => vec![Step::Write(events(next, 5) + END)],
                None => vec![Step::Write(events(1, 2)), Step::Wait(LULL), Step::Crash],
            };
            let (a, b) = (Engine::start(1, script).await, Engine::start(2, script).await);
            let running = gateway_of(&[&a, &b]).await;
            let (_channel, mut body) = open(&running, "run-1").await;
            let mut text = String::new();

            while let Some(Ok(frame)) = body.frame().await {
                text += std::str::from_utf8(&frame.into_data().unwrap()).unwrap();
            }

            assert_eq!(text, data(1, 2));
            assert_eq!(counter(&running, "run_gaps_total"), 1);
            assert_eq!(counter(&running, "outcome=\"broken_off\""), 1);
        }
    });
}

/// Guards against a run that ends as whole because its standby answers without events.
#[test]
fn continuation_with_an_answer_that_is_no_stream_is_aborted() {
    run(async {
        for status in ["204 No Content", "206 Partial Content\r\ncontent-length: 0"] {
            let script = move |received: &Received| match received.header(own::CONTINUE_FROM) {
                Some(_) => {
                    let head = "x-request-id: ID\r\nx-laburnum-proof: p\r\n\r\n";
                    vec![Step::Write(format!("HTTP/1.1 {status}\r\n{head}"))]
                }
                None => vec![Step::Write(events(1, 2)), Step::Wait(LULL), Step::Crash],
            };
            let (a, b) = (Engine::start(1, script).await, Engine::start(2, script).await);
            let running = gateway_of(&[&a, &b]).await;

            let body = call(&running, "run-1").await;

            assert_eq!(body, Err(()), "{status}");
            assert_eq!(order(&a, &b).1.received.borrow().len(), 1, "{status}");
        }
    });
}

/// A request crashes its engine and then the standby. A third engine would crash as well.
#[test]
fn run_that_crashed_two_engines_does_not_continue_at_a_third() {
    run(async {
        let script = |received: &Received| match received.header(own::CONTINUE_FROM) {
            Some(_) => vec![Step::Write(events(3, 4)), Step::Wait(LULL), Step::Crash],
            None => vec![Step::Write(events(1, 2)), Step::Wait(LULL), Step::Crash],
        };
        let mut engines = Vec::new();
        for host in 1..4 {
            engines.push(Engine::start(host, script).await);
        }
        let running = gateway_of(&engines.iter().collect::<Vec<_>>()).await;

        let body = call(&running, "run-1").await;

        assert_eq!(body, Err(()));
        let received: usize = engines.iter().map(|e| e.received.borrow().len()).sum();
        assert_eq!(received, 2);
    });
}

/// The caller leaves while the standby continues the run: the standby must stop.
#[test]
fn continuation_ends_when_its_caller_leaves() {
    run(async {
        let script = |received: &Received| match received.header(own::CONTINUE_FROM) {
            Some(_) => vec![Step::Write(events(3, 3)), Step::AwaitClose],
            None => vec![Step::Write(events(1, 2)), Step::Wait(LULL), Step::Crash],
        };
        let (a, b) = (Engine::start(1, script).await, Engine::start(2, script).await);
        let running = gateway_of(&[&a, &b]).await;
        let (channel, mut body) = open(&running, "run-1").await;
        let mut text = String::new();
        while !text.contains("id: 3") {
            let frame = body.frame().await.unwrap().unwrap();
            text += std::str::from_utf8(&frame.into_data().unwrap()).unwrap();
        }

        drop((body, channel));

        wait_until("the standby's call is closed", || a.closed.get() + b.closed.get() == 1).await;
        wait_until("the call has ended", || running.shared.calls.get() == 0).await;
    });
}

/// The caller leaves before it is certain that the first engine has stopped: no standby gets the run.
#[test]
fn run_of_a_caller_that_left_does_not_continue() {
    run(async {
        let (a, b) = two(vec![Step::Close]).await;
        a.report.replace((200, "0\nrun-1\n".to_owned()));
        b.report.replace((200, "0\nrun-1\n".to_owned()));
        let contents: Contents = Rc::new(RefCell::new(Some(view_of(copying(2), &[&a, &b]))));
        let running = gateway(&contents).await;
        let (channel, body) = open(&running, "run-1").await;
        wait_until("a report", || a.reports.get() + b.reports.get() > 0).await;

        drop((body, channel));
        a.report.replace((200, "0\n".to_owned()));
        b.report.replace((200, "0\n".to_owned()));

        wait_until("the call has ended", || running.shared.calls.get() == 0).await;
        assert_eq!(order(&a, &b).1.received.borrow().len(), 0);
    });
}

/// The deadline passes while the first engine still reports the run.
#[test]
fn run_does_not_continue_after_its_deadline() {
    run(async {
        let (a, b) = two(vec![Step::Wait(Duration::from_millis(2_300)), Step::Close]).await;
        let contents: Contents = Rc::new(RefCell::new(Some(view_of(copying(2), &[&a, &b]))));
        let running = gateway(&contents).await;
        let (_channel, body) = open(&running, "run-1").await;
        let (first, standby) = order(&a, &b);
        first.report.replace((200, "0\nrun-1\n".to_owned()));

        let body = body.collect().await;

        assert!(body.is_err());
        assert_eq!(standby.received.borrow().len(), 0);
    });
}

/// The standby leaves before the first engine crashes: it must get no new calls.
#[test]
fn run_does_not_continue_at_a_standby_that_leaves() {
    run(async {
        let (a, b) = two(vec![Step::Wait(Duration::from_millis(1_500)), Step::Crash]).await;
        let contents: Contents = Rc::new(RefCell::new(Some(view_of(copying(1), &[&a, &b]))));
        let running = gateway(&contents).await;
        let (_channel, body) = open(&running, "run-1").await;
        let (_, standby) = order(&a, &b);
        for replica in &mut contents.borrow_mut().as_mut().unwrap().replicas {
            replica.leaving = replica.address == standby.address.to_string();
        }

        let body = body.collect().await;

        assert!(body.is_err());
        assert_eq!(standby.received.borrow().len(), 0);
        assert_eq!(counter(&running, "run_continuations_total{outcome=\"not_allowed\"}"), 1);
    });
}

/// The gateway is about to exit: a run that broke off must not begin again at a standby, whose
/// connection would be cut.
#[test]
fn run_does_not_continue_when_the_gateway_exits() {
    run(async {
        let (a, b) = two(vec![Step::Wait(Duration::from_millis(300)), Step::Crash]).await;
        let running = gateway_of(&[&a, &b]).await;
        let (_channel, body) = open(&running, "run-1").await;
        let now = laburnumwheel_gateway::clock::now();
        running.shared.gateway.borrow_mut().stop(now, Span(0), Span::millis(100));

        let body = body.collect().await;

        assert!(body.is_err());
        assert_eq!(order(&a, &b).1.received.borrow().len(), 0);
    });
}

/// Without copies in the configuration, engines get no header and no call that concerns them.
#[test]
fn nothing_is_copied_where_engines_keep_no_copies() {
    run(async {
        let (a, b) = two(vec![Step::Crash]).await;
        let service = Service {
            name: "service".to_owned(),
            connections: 100,
            engine: Some(EngineConfig { slots: 16, kv_tokens: 300_000, ..EngineConfig::default() }),
        };
        let view = view_of(copying(1).with_service(service), &[&a, &b]);
        let running = gateway(&Rc::new(RefCell::new(Some(view)))).await;

        let body = call(&running, "run-1").await;

        assert_eq!(body, Err(()));
        let (first, other) = order(&a, &b);
        assert_eq!(first.header(own::BACKUP_TO), None);
        assert_eq!(other.received.borrow().len(), 0);
        assert_eq!(counter(&running, "run_copies_total"), 0);
        assert_eq!(counter(&running, "run_continuations_total"), 0);
    });
}

/// The link to the standby is dead when the first engine crashes.
#[test]
fn run_whose_standby_can_not_be_reached_is_aborted() {
    run(async {
        let (a, b) = two(vec![Step::Wait(Duration::from_millis(300)), Step::Crash]).await;
        let (to_a, to_b) = (Link::start(a.address).await, Link::start(b.address).await);
        let running = gateway_by(&[&to_a, &to_b]).await;
        let (_channel, body) = open(&running, "run-1").await;
        let (link, standby) =
            if a.received.borrow().is_empty() { (&to_a, &a) } else { (&to_b, &b) };
        link.cut(Cut::Hangs).await;

        let body = body.collect().await;

        assert!(body.is_err());
        assert_eq!(standby.received.borrow().len(), 0);
        assert_eq!(running.shared.calls.get(), 0);
    });
}

/// The link to the first engine dies: new connections hang. The engine is out of this gateway's
/// reach, and the run continues.
#[test]
fn run_continues_when_its_engine_is_out_of_reach() {
    run(async {
        let (a, b) = two(vec![Step::AwaitClose]).await;
        let (to_a, to_b) = (Link::start(a.address).await, Link::start(b.address).await);
        let running = gateway_by(&[&to_a, &to_b]).await;
        let (_channel, body) = open(&running, "run-1").await;
        let (link, first) = if a.received.borrow().is_empty() { (&to_b, &b) } else { (&to_a, &a) };
        wait_until("the first events", || !first.received.borrow().is_empty()).await;
        tokio::time::sleep(LULL).await;
        link.cut(Cut::Hangs).await;

        let body = body.collect().await.unwrap();

        assert_eq!(body.to_bytes(), data(1, 5));
        assert_eq!(counter(&running, "runs_stopped_total{evidence=\"out_of_reach\"}"), 1);
    });
}

/// A gateway before engines at the ends of these links.
async fn gateway_by(links: &[&Link]) -> Running {
    let listed = links.iter().enumerate();
    let replicas = listed.map(|(i, link)| listing(&format!("engine-{i}"), link.address)).collect();
    let view = View { config: Some(Arc::new(copying(1))), replicas, ..view(&[]) };
    gateway(&Rc::new(RefCell::new(Some(view)))).await
}

/// The standby belongs to another gateway, which counts the copies of all gateways there.
#[test]
fn owner_of_the_standby_grants_the_room() {
    run(async {
        let script = |_: &Received| vec![Step::Write(events(1, 2)), Step::AwaitClose];
        let mut engines = Vec::new();
        for host in 1..9 {
            engines.push(Engine::start(host, script).await);
        }
        let view = view_of(copying(1), &engines.iter().collect::<Vec<_>>());
        let all = gateways(&Rc::new(RefCell::new(Some(view))), 2).await;
        wait_until("heartbeats of both gateways", || {
            let now = laburnumwheel_gateway::clock::now();
            all.iter().all(|g| g.shared.gateway.borrow().live_peers(now) == 1)
        })
        .await;
        let mut calls = Vec::new();

        for i in 0..12 {
            calls.push(open(&all[0], &format!("run-{i}")).await);
        }

        let reserved = counter(&all[0], "run_copies_total{outcome=\"reserved\"}");
        assert!(reserved >= 10, "{reserved}");
        assert!(copied_tokens(&all[0]) > 0 && copied_tokens(&all[1]) > 0);
        assert_eq!(copied_tokens(&all[0]) + copied_tokens(&all[1]), reserved * 760);
        drop(calls);
        // The copies of runs that broke off stay for their lifetime at the standbys.
        assert!(copied_tokens(&all[1]) > 0);
        wait_until("the copies have lapsed", || copied_tokens(&all[1]) == 0).await;
    });
}

/// An owner answers after the run has begun without a copy. The room that it reserved would be missing
/// for the copies of other runs until this run's deadline.
#[test]
fn room_that_a_slow_owner_reserved_is_freed() {
    run(async {
        let script = |_: &Received| vec![Step::Write(events(1, 2)), Step::AwaitClose];
        let mut engines = Vec::new();
        for host in 1..9 {
            engines.push(Engine::start(host, script).await);
        }
        let running = gateway_of(&engines.iter().collect::<Vec<_>>()).await;
        let owner = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        announce(&running, &owner).await;
        let mut calls = Vec::new();

        for i in 0..8 {
            calls.push(open(&running, &format!("run-{i}")).await);
        }

        let silent = counter(&running, "run_copies_total{outcome=\"owner_silent\"}") as usize;
        let messages = received_on_copies(&owner).await;
        let of = |wanted: fn(&Message) -> Option<(u64, u32)>| -> Vec<(u64, u32)> {
            messages.iter().filter_map(wanted).collect()
        };
        let reserved = of(|message| match message {
            Message::Reserve(reservation) => Some((reservation.run, 0)),
            Message::Release(_) => None,
        });
        let released = of(|message| match message {
            Message::Reserve(_) => None,
            Message::Release(release) => Some((release.run, release.after_ms)),
        });
        assert!(silent > 0);
        assert_eq!((reserved.len(), released), (silent, reserved));
    });
}

/// Makes a gateway take the socket for another gateway, which owns a part of the engines.
async fn announce(running: &Running, socket: &UdpSocket) {
    let now = laburnumwheel_gateway::clock::now();
    let settings = settings("silent", socket.local_addr().unwrap());
    let heartbeat = Gateway::new(settings, now).heartbeat(now);
    let to = running.shared.socket.local_addr().unwrap();
    peers::send(socket, to, &peers::Message::Heartbeat(Box::new(heartbeat))).await;
    wait_until("the owner is known", || {
        running.shared.gateway.borrow().live_peers(laburnumwheel_gateway::clock::now()) == 1
    })
    .await;
}

/// The messages on copies that a socket has received.
async fn received_on_copies(socket: &UdpSocket) -> Vec<Message> {
    let mut messages = Vec::new();
    let mut bytes = [0; 9_000];
    while let Ok(Ok(length)) = tokio::time::timeout(LULL, socket.recv(&mut bytes)).await {
        let message = postcard::from_bytes(&bytes[..length]);
        if let Ok(peers::Message::Topic(Topic::Copies, _, content)) = message {
            messages.push(postcard::from_bytes(&content).unwrap());
        }
    }
    messages
}
