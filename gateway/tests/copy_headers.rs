//! Headers on copies of runs, as callers send them: a caller could go on with another one's run.

mod support;

use std::cell::RefCell;
use std::rc::Rc;

use http_body_util::BodyExt;
use laburnumwheel_gateway::dialect::own;

use crate::support::Action;
use crate::support::END;
use crate::support::Received;
use crate::support::Replica;
use crate::support::config;
use crate::support::connect;
use crate::support::counter;
use crate::support::engine::Engine;
use crate::support::engine::Step;
use crate::support::engine::gateway_of;
use crate::support::engine::view_of;
use crate::support::events;
use crate::support::gateway;
use crate::support::link::Cut;
use crate::support::link::Linked;
use crate::support::request;
use crate::support::run;

/// A caller names the copy of another run. Engines and plain replicas must not get what it sent.
#[test]
fn headers_on_copies_from_callers_are_removed() {
    run(async {
        let whole = |_: &Received| vec![Step::Write(events(1, 2) + END)];
        let engine = Engine::start(1, whole).await;
        let plain = Engine::start(2, whole).await;
        let engines = gateway_of(&[&engine]).await;
        let view = view_of(config(1), &[&plain]);
        let plains = gateway(&Rc::new(RefCell::new(Some(view)))).await;

        for running in [&engines, &plains] {
            let mut channel = connect(running).await;
            let mut request = request("/once-stream/x", "run-1");
            for name in [own::BACKUP_TO, own::CONTINUE_FROM, own::FETCH_FROM] {
                request.headers_mut().insert(name, "127.0.1.9:1/run-2".parse().unwrap());
            }
            let response = channel.send(request).await.unwrap();
            response.into_body().collect().await.unwrap();
        }

        for replica in [&engine, &plain] {
            for name in [own::BACKUP_TO, own::CONTINUE_FROM, own::FETCH_FROM] {
                assert_eq!(replica.header(name), None, "{name}");
            }
        }
    });
}

/// A gateway that is cut off passes a call on to another one. The caller's headers must not reach a
/// replica by way of it either.
#[test]
fn headers_on_copies_from_callers_are_removed_from_delegated_calls() {
    run(async {
        let answer = vec![Action::Write(events(1, 2) + END)];
        let mut replicas = Vec::new();
        for _ in 0..4 {
            replicas.push(Replica::start(answer.clone()).await);
        }
        let linked = Linked::start(2, &replicas.iter().collect::<Vec<_>>()).await;
        linked.cut(0, Cut::Breaks).await;
        let cut_off = &linked.gateways[0];
        while !cut_off.shared.gateway.borrow().is_out_of_reach("service") {
            let _ = support::call(cut_off, "/once/x", "first").await;
        }

        let delegated = |running| counter(running, "delegations_total{outcome=\"answered\"}");
        let before = delegated(cut_off);
        let mut channel = connect(cut_off).await;
        let mut request = request("/once-stream/x", "run-1");
        for name in [own::BACKUP_TO, own::CONTINUE_FROM, own::FETCH_FROM] {
            request.headers_mut().insert(name, "127.0.1.9:1/run-2".parse().unwrap());
        }
        let response = channel.send(request).await.unwrap();
        response.into_body().collect().await.unwrap();

        assert_eq!(delegated(cut_off), before + 1);
        let all = replicas.iter().flat_map(|r| r.received.borrow().clone());
        let received: Vec<Received> = all.filter(|r| r.id() == "run-1").collect();
        assert_eq!(received.len(), 1);
        for name in [own::BACKUP_TO, own::CONTINUE_FROM, own::FETCH_FROM] {
            assert_eq!(received[0].header(name), None, "{name}");
        }
    });
}
