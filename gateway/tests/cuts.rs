//! Gateways that callers and peers reach, and that reach no replica themselves.

mod support;

use std::time::Duration;

use crate::support::Action;
use crate::support::Cut;
use crate::support::END;
use crate::support::Linked;
use crate::support::Replica;
use crate::support::address;
use crate::support::call;
use crate::support::counter;
use crate::support::events;
use crate::support::request;
use crate::support::response;
use crate::support::run;
use crate::support::send;
use crate::support::wait_until;

/// Calls from which a gateway can tell that it reaches no replica.
const FIRST_CALLS: usize = 8;
/// Calls that each check sends.
const CALLS: usize = 6;

async fn replicas(count: usize, text: &str) -> Vec<Replica> {
    let mut all = Vec::new();
    for _ in 0..count {
        all.push(Replica::start(vec![Action::Write(text.to_owned())]).await);
    }
    all
}

fn arrivals(replicas: &[Replica], id: &str) -> usize {
    let received = |r: &Replica| r.received.borrow().iter().filter(|c| c.id() == id).count();
    replicas.iter().map(received).sum()
}

/// Cuts the first gateway and sends it calls until it can tell.
async fn cut(linked: &Linked, cut: Cut) {
    linked.cut(0, cut).await;
    for i in 0..FIRST_CALLS {
        let _ = call(&linked.gateways[0], "/safe/x", &format!("first-{i}")).await;
    }
}

/// A gateway loses its links to all replicas; callers that keep its address must be served as well
/// as those of the other gateways, and no call may run twice for it.
async fn check_served(route: &str, text: &str, kind: Cut) {
    let all = replicas(4, text).await;
    let linked = Linked::start(3, &all.iter().collect::<Vec<_>>()).await;
    cut(&linked, kind).await;

    let mut served = Vec::new();
    for i in 0..CALLS {
        let id = format!("call-{i}");
        let (status, body) = call(&linked.gateways[0], &format!("/{route}/x"), &id).await;
        served.push((status, body.is_ok(), arrivals(&all, &id)));
    }

    assert_eq!(served, [(200, true, 1); CALLS], "{route} {kind:?}");
}

#[test]
fn callers_are_served_while_their_gateway_reaches_no_replica() {
    run(async {
        let answer = response("200 OK", "answer");
        let stream = events(1, 3) + END;
        for kind in [Cut::RefusesNew, Cut::Breaks, Cut::Hangs] {
            check_served("safe", &answer, kind).await;
            check_served("once", &answer, kind).await;
            check_served("stream", &stream, kind).await;
        }
    });
}

/// Callers that look up gateways must not be sent to one that reaches no replica, and must be again
/// once it does.
#[test]
fn gateway_that_reaches_no_replica_gets_no_new_callers_until_it_does() {
    run(async {
        let all = replicas(4, &response("200 OK", "answer")).await;
        let linked = Linked::start(3, &all.iter().collect::<Vec<_>>()).await;
        let cut_off = address("gateway-0");
        let is_given = || (0..3).map(|asked| linked.addresses(asked).contains(&cut_off));

        cut(&linked, Cut::Hangs).await;
        wait_until("no gateway gives its address", || !is_given().any(|given| given)).await;
        linked.restore(0).await;
        wait_until("all gateways give its address", || is_given().all(|given| given)).await;
    });
}

/// Four replicas that follow the same script, and three gateways of which the first is cut off.
async fn cut_off(script: Vec<Action>) -> (Vec<Replica>, Linked) {
    let mut all = Vec::new();
    for _ in 0..4 {
        all.push(Replica::start(script.clone()).await);
    }
    let linked = Linked::start(3, &all.iter().collect::<Vec<_>>()).await;
    linked.cut(0, Cut::Breaks).await;
    let gateway = &linked.gateways[0];
    // Without links, these calls run nowhere until the gateway delegates them.
    while !gateway.shared.gateway.borrow().is_out_of_reach("service") {
        let _ = call(gateway, "/once/x", "first").await;
    }
    for replica in &all {
        replica.received.borrow_mut().clear();
    }
    (all, linked)
}

/// What a replica gets of a delegated call must be the caller's: headers of the gateways between
/// would let others tell, or set, how a call is passed on.
#[test]
fn delegated_call_reaches_its_replica_like_any_other() {
    run(async {
        let answer = vec![Action::Write(response("200 OK", "answer"))];
        let (all, linked) = cut_off(answer).await;

        let (status, _) = call(&linked.gateways[0], "/once/x?q=1", "call-1").await;

        let received: Vec<_> = all.iter().flat_map(|r| r.received.borrow().clone()).collect();
        let seen = received.iter().find(|call| call.id() == "call-1").unwrap();
        assert_eq!(status, 200);
        assert!(seen.head.starts_with("POST /once/x?q=1 HTTP/1.1"));
        assert_eq!(seen.body, b"body");
        assert_eq!(seen.header("host"), Some("127.0.0.1"));
        assert_eq!(seen.header("authorization"), None);
        assert_eq!(seen.header("x-laburnum-organisation"), Some("museum"));
        assert_eq!(seen.header("laburnumwheel-delegation"), None);
        let left: u64 = seen.header("x-laburnum-patience-ms").unwrap().parse().unwrap();
        assert!(left < 3_000);
    });
}

/// The replica's response to a delegated call is lost. Repeated, or reported as not run, a call that
/// is not idempotent would run twice.
#[test]
fn delegated_call_that_may_have_run_is_not_repeated() {
    run(async {
        let (all, linked) = cut_off(vec![Action::WriteAndClose(String::new())]).await;

        let (status, _) = call(&linked.gateways[0], "/once/x", "call-1").await;

        assert_eq!(status, 502);
        assert_eq!(arrivals(&all, "call-1"), 1);
    });
}

/// A delegated call counts the attempts of both gateways, or it would run on more replicas than its
/// route allows.
#[test]
fn delegated_call_runs_on_no_more_replicas_than_its_route_allows() {
    run(async {
        let (all, linked) = cut_off(vec![Action::WriteAndClose(String::new())]).await;

        let (status, _) = call(&linked.gateways[0], "/safe/x", "call-1").await;

        assert_eq!(status, 502);
        assert_eq!(arrivals(&all, "call-1"), 2);
    });
}

/// A replica breaks off a delegated stream; the caller must get each event once and the end.
#[test]
fn delegated_stream_is_resumed_and_whole() {
    run(async {
        let (all, linked) = cut_off(vec![Action::Resumable(4)]).await;

        let (status, body) = call(&linked.gateways[0], "/stream/x", "call-1").await;

        assert_eq!(arrivals(&all, "call-1"), 2);
        let expected: String = (1..=4).map(|i| format!("id: {i}\ndata: t{i}\n\n")).collect();
        assert_eq!((status, body), (200, Ok(expected)));
    });
}

/// The caller of a delegated call leaves; its replica must not work on for nobody.
#[test]
fn delegated_call_is_cancelled_when_its_caller_leaves() {
    run(async {
        let (all, linked) = cut_off(vec![Action::Silent]).await;
        let mut channel = crate::support::connect(&linked.gateways[0]).await;
        let response = channel.sender.send_request(request("/once/x", "call-1"));
        let waiting = tokio::task::spawn_local(response);
        wait_until("the call has arrived", || arrivals(&all, "call-1") == 1).await;

        waiting.abort();
        drop(channel);

        let is_cancelled = |r: &Replica| r.cancelled.borrow().iter().any(|id| id == "call-1");
        wait_until("the replica is told", || all.iter().any(is_cancelled)).await;
        // Both gateways gave the call up for its caller, and not at its deadline.
        let left = linked.gateways.iter().map(|g| counter(g, "outcome=\"caller_left\""));
        assert_eq!(left.sum::<u64>(), 2);
    });
}

/// A delegate is stopped as planned while it serves a call; the call must not be cut off.
#[test]
fn stopping_delegate_finishes_the_calls_that_it_serves() {
    run(async {
        let late = Action::WriteLater(response("200 OK", "answer"), Duration::from_millis(500));
        let replica = Replica::start(vec![late]).await;
        let mut linked = Linked::start(2, &[&replica]).await;
        linked.cut(0, Cut::Breaks).await;
        let delegate = linked.gateways.pop().unwrap();
        let cut_off = linked.gateways.pop().unwrap();
        let waiting = tokio::task::spawn_local(async move { call(&cut_off, "/once/x", "c").await });
        wait_until("the call has arrived", || replica.received.borrow().len() == 1).await;

        delegate.stop().await;

        assert_eq!(waiting.await.unwrap(), (200, Ok("answer".to_owned())));
    });
}

/// Gateways that are all cut off must not pass a call round among them.
#[test]
fn call_makes_one_hop_when_all_gateways_are_cut_off() {
    run(async {
        let all = replicas(4, &response("200 OK", "answer")).await;
        let linked = Linked::start(3, &all.iter().collect::<Vec<_>>()).await;
        for gateway in 0..3 {
            linked.cut(gateway, Cut::Breaks).await;
        }

        for i in 0..20 {
            let response = send(&linked.gateways[0], "/safe/x", &format!("call-{i}")).await;
            assert_eq!(response.status(), 503);
            assert!(response.headers().contains_key("retry-after"));
        }

        let delegations = counter(&linked.gateways[0], "delegations_total");
        assert!(delegations <= 2 * 20, "{delegations} delegations of 20 calls");
        for other in 1..3 {
            assert_eq!(counter(&linked.gateways[other], "delegations_total"), 0);
        }
    });
}

/// Whoever reaches the port for messages between gateways can send what looks like a delegated call.
#[test]
fn forged_delegated_call_is_refused_without_a_key() {
    run(async {
        let all = replicas(1, &response("200 OK", "answer")).await;
        let linked = Linked::start(3, &all.iter().collect::<Vec<_>>()).await;
        let address = linked.peer_address(1);
        let mut statuses = Vec::new();
        for (key, delegation) in [("wrong", "1,0,0"), ("wrong", "0,0,0"), ("wrong", "x")] {
            let mut channel = laburnumwheel_gateway::channel::open(&address).await.unwrap();
            let mut forged = request("/once/x", "forged");
            let headers = forged.headers_mut();
            headers.insert("authorization", format!("Bearer {key}").parse().unwrap());
            headers.insert("laburnumwheel-delegation", delegation.parse().unwrap());
            statuses.push(channel.sender.send_request(forged).await.unwrap().status().as_u16());
        }

        assert_eq!(statuses, [401, 401, 400]);
        assert_eq!(arrivals(&all, "forged"), 0);
    });
}
