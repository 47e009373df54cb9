//! Gateways that callers and peers reach, and that reach no replica themselves.

mod support;

use crate::support::Action;
use crate::support::Cut;
use crate::support::END;
use crate::support::Linked;
use crate::support::Replica;
use crate::support::address;
use crate::support::call;
use crate::support::events;
use crate::support::response;
use crate::support::run;
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
    linked.cut(cut).await;
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
        linked.restore().await;
        wait_until("all gateways give its address", || is_given().all(|given| given)).await;
    });
}
