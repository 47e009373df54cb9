//! Gateways before replicas of two builds, at which callers resume streams that others began.

mod support;

use std::collections::BTreeMap;

use hyper::header::HeaderValue;
use laburnumwheel_core::gateway::build::Build;
use laburnumwheel_core::incarnation::Digest;
use laburnumwheel_gateway::channel;
use laburnumwheel_gateway::dialect::own;
use laburnumwheel_gateway::gateway::Running;

use crate::support::Action;
use crate::support::END;
use crate::support::Replica;
use crate::support::call;
use crate::support::connect;
use crate::support::events;
use crate::support::link::Cut;
use crate::support::link::Linked;
use crate::support::request;
use crate::support::run;

/// Streams of one check.
const STREAMS: usize = 12;

/// Replicas whose streams go on after the first event, which callers that resume one have.
async fn replicas() -> Vec<Replica> {
    let mut all = Vec::new();
    for _ in 0..4 {
        all.push(Replica::start(vec![Action::Write(events(2, 3) + END)]).await);
    }
    all
}

/// Build, as a number, of the replica that got the call with this id last.
fn build(replicas: &[Replica], id: &str) -> Option<usize> {
    let got = |r: &Replica| r.received.borrow().iter().any(|received| received.id() == id);
    replicas.iter().position(got).map(|n| n % 2)
}

/// Resumes the stream that `first` began; returns the status.
async fn resume_by_caller(gateway: &Running, id: &str, first: &str) -> u16 {
    let mut request = request("/stream/x", id);
    let headers = request.headers_mut();
    headers.insert(own::LAST_EVENT, HeaderValue::from_static("1"));
    headers.insert(own::RESUMES, HeaderValue::from_str(first).unwrap());
    let mut channel = connect(gateway).await;
    channel.send(request).await.unwrap().status().as_u16()
}

/// Begins streams at one gateway and resumes them at another one; returns how many went on at each pair
/// of builds, and the statuses.
async fn check(linked: &Linked, all: &[Replica]) -> (BTreeMap<(usize, usize), usize>, Vec<u16>) {
    let (mut pairs, mut statuses) = (BTreeMap::new(), Vec::new());
    for n in 0..STREAMS {
        let (first, again) = (format!("call-{n}"), format!("again-{n}"));
        let (status, _) = call(&linked.gateways[1], "/stream/x", &first).await;
        assert_eq!(status, 200);
        statuses.push(resume_by_caller(&linked.gateways[0], &again, &first).await);
        if let Some(after) = build(all, &again) {
            *pairs.entry((build(all, &first).unwrap(), after)).or_default() += 1;
        }
    }
    (pairs, statuses)
}

/// Guards against streams that go on at another build where another gateway began them.
#[test]
fn stream_goes_on_at_its_build_at_another_gateway() {
    run(async {
        let all = replicas().await;
        let linked = Linked::start_mixed(3, &all.iter().collect::<Vec<_>>()).await;

        let (pairs, statuses) = check(&linked, &all).await;

        assert_eq!(statuses, [200; STREAMS]);
        assert!(pairs.keys().all(|(before, after)| before == after), "{pairs:?}");
    });
}

/// Guards against delegates that do not know what began the streams of delegated calls.
#[test]
fn stream_goes_on_at_its_build_at_a_delegate() {
    run(async {
        let all = replicas().await;
        let linked = Linked::start_mixed(3, &all.iter().collect::<Vec<_>>()).await;
        linked.cut(0, Cut::Breaks).await;
        for n in 0..8 {
            let _ = call(&linked.gateways[0], "/safe/x", &format!("lost-{n}")).await;
        }
        assert!(linked.gateways[0].shared.gateway.borrow().is_out_of_reach("service"));

        let (pairs, statuses) = check(&linked, &all).await;

        assert_eq!(statuses, [200; STREAMS]);
        assert!(pairs.keys().all(|(before, after)| before == after), "{pairs:?}");
    });
}

/// Guards against a delegate that ignores what began a stream, which its caller does not name.
#[test]
fn delegate_resumes_a_stream_at_the_build_that_it_is_told() {
    run(async {
        let all = replicas().await;
        let linked = Linked::start_mixed(2, &all.iter().collect::<Vec<_>>()).await;
        let address = linked.peer_address(1);
        let mut builds = Vec::new();
        for n in 0..STREAMS {
            let id = format!("call-{n}");
            let mut request = request("/stream/x", &id);
            let headers = request.headers_mut();
            headers.insert(own::LAST_EVENT, HeaderValue::from_static("1"));
            let told = format!("1,1,1,{},{}", Digest(7), Build::of("v2"));
            headers.insert("laburnumwheel-delegation", HeaderValue::from_str(&told).unwrap());
            let mut channel = channel::open(&address).await.unwrap();

            let response = channel.send(request).await.unwrap();

            assert_eq!(response.status(), 200);
            builds.push(build(&all, &id));
        }

        assert_eq!(builds, [Some(1); STREAMS]);
    });
}

/// Guards against streams of which nobody knows what began them: they run nowhere.
#[test]
fn stream_of_unknown_origin_is_refused_and_does_not_run() {
    run(async {
        let all = replicas().await;
        let linked = Linked::start_mixed(3, &all.iter().collect::<Vec<_>>()).await;

        let status = resume_by_caller(&linked.gateways[0], "again", "call-of-nobody").await;

        assert_eq!((status, build(&all, "again")), (503, None));
    });
}
