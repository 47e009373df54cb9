//! What gateways tell each other of the attempts of delegated calls.

mod support;

use hyper::header::HeaderValue;
use laburnumwheel_gateway::channel;

use crate::support::Action;
use crate::support::END;
use crate::support::Replica;
use crate::support::call;
use crate::support::events;
use crate::support::link::Cut;
use crate::support::link::Linked;
use crate::support::request;
use crate::support::response;
use crate::support::run;

/// Makes a call at a gateway without links, whose only peer is a stand-in that follows a script. Returns
/// the status, the body, and how often the peer got the call.
async fn call_by_delegate(path: &str, action: Action) -> (u16, Result<String, ()>, usize) {
    let replica = Replica::start(vec![Action::Write(response("200 OK", "answer"))]).await;
    let linked = Linked::start(1, &[&replica]).await;
    // Retries are allowed in proportion to the calls that a gateway serves itself.
    for n in 0..4 {
        assert_eq!(call(&linked.gateways[0], "/safe/x", &format!("own-{n}")).await.0, 200);
    }
    let delegate = Replica::start(vec![action]).await;
    linked.announce_delegate(delegate.address).await;
    linked.cut(0, Cut::Breaks).await;
    while !linked.gateways[0].shared.gateway.borrow().is_out_of_reach("service") {
        let _ = call(&linked.gateways[0], "/once/x", "first").await;
    }

    let (status, body) = call(&linked.gateways[0], path, "call-1").await;

    let received = delegate.received.borrow();
    (status, body, received.iter().filter(|call| call.id() == "call-1").count())
}

/// Guards against a stream that goes on by way of a second delegate after the first one died inside its
/// answer: only that one knew how often it had run, and at which replicas.
#[test]
fn stream_does_not_go_on_after_its_delegate_died() {
    run(async {
        let answered = "laburnumwheel-outcome: answered\r\nx-request-id";
        let answer = |text: String| text.replacen("x-request-id", answered, 1);
        let died = Action::WriteAndClose(answer(events(1, 2)));
        let rest = Action::Write(answer(events(3, 5) + END));
        let script = Action::After(1, Box::new(died), Box::new(rest));

        let result = call_by_delegate("/stream/x", script).await;

        assert_eq!(result, (200, Err(()), 1));
    });
}

/// Guards against a call that runs more often than its route allows because its delegate, which has made all
/// attempts, states that it may have run.
#[test]
fn call_that_failed_at_its_delegate_is_not_delegated_again() {
    run(async {
        let head = "HTTP/1.1 502 Bad Gateway\r\nlaburnumwheel-outcome: unknown\r\n";
        let failed = format!("{head}x-request-id: ID\r\ncontent-length: 0\r\n\r\n");

        let (status, _, received) = call_by_delegate("/safe/x", Action::Write(failed)).await;

        assert_eq!((status, received), (502, 1));
    });
}

/// Guards against a delegate that does not count the attempts which were made before.
#[test]
fn delegate_counts_the_attempts_that_it_is_told() {
    run(async {
        let broken = vec![Action::WriteAndClose(String::new())];
        let all = [Replica::start(broken.clone()).await, Replica::start(broken).await];
        let linked = Linked::start(2, &[&all[0], &all[1]]).await;
        let mut request = request("/safe/x", "call-1");
        let told = HeaderValue::from_static("1,1,1");
        request.headers_mut().insert("laburnumwheel-delegation", told);
        let mut channel = channel::open(&linked.peer_address(1)).await.unwrap();

        let response = channel.send(request).await.unwrap();

        assert_eq!(response.status(), 502);
        let received = |replica: &Replica| replica.received.borrow().len();
        assert_eq!(all.iter().map(received).sum::<usize>(), 1);
    });
}
