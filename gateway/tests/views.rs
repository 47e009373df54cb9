//! What gateways hand on to one another of what the store holds.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use laburnumwheel_core::gateway::config::Route;
use laburnumwheel_core::gateway::config::Target;
use laburnumwheel_core::time::Span;
use laburnumwheel_gateway::clock;
use laburnumwheel_gateway::gateway::Running;
use laburnumwheel_gateway::store::View;

use crate::support::Held;
use crate::support::config;
use crate::support::counted;
use crate::support::gateways;
use crate::support::listing;
use crate::support::run;
use crate::support::until;

const GATEWAYS: u64 = 6;
/// Gateways that read the store for all.
const READERS: usize = 3;
const ROUTES: usize = 1_000;
const REPLICAS: usize = 300;
/// Most bytes that one change of the list may cost a gateway that asks.
const CHANGE_BYTES: u64 = 500;

fn route(i: usize) -> Route {
    Route {
        name: format!("added-{i}"),
        host: "added.example".to_owned(),
        prefix: format!("/added-{i}/"),
        streams: false,
        idempotent: true,
        timeout: Span::secs(4),
        objective: Span::millis(500),
        pause: Span(0),
        priority: 1,
        targets: vec![Target { service: "service".to_owned(), weight: 1 }],
        attempts: 2,
        public: false,
    }
}

fn view(version: u64, routes: usize) -> View {
    let config = (0..routes).fold(config(version), |config, i| config.with_route(route(i)));
    let address = "127.0.0.1:9".parse().unwrap();
    let replicas = (0..REPLICAS).map(|i| listing(&format!("replica-{i:03}"), address)).collect();
    View { config: Some(Arc::new(config)), replicas, gateways: Vec::new() }
}

fn is_reader(running: &Running) -> bool {
    running.shared.gateway.borrow().readers(clock::now()).1
}

fn open(running: &Running) -> usize {
    running.shared.gateway.borrow().fleet().iter().filter(|r| !r.closed).count()
}

/// Gateways that have agreed on who reads, and each of which has found nothing to fetch of late.
async fn settled(held: &Held) -> Vec<Running> {
    let all = gateways(held, GATEWAYS).await;
    let agreed = || {
        all.iter().all(|g| g.shared.gateway.borrow().sharers() == GATEWAYS as usize)
            && all.iter().filter(|g| is_reader(g)).count() == READERS
    };
    until("readers agreed on", agreed).await;
    let same = |g: &Running| counted(g, "outcome=\"same\"");
    let before: Vec<u64> = all.iter().map(same).collect();
    let asked = || all.iter().zip(&before).all(|(g, b)| is_reader(g) || same(g) > b + 3);
    until("nothing to fetch", asked).await;
    all
}

fn bytes(all: &[Running]) -> u64 {
    all.iter().map(|g| counted(g, "view_bytes_total")).sum()
}

/// Replicas leave every half second. Each time all gateways fetch everything again, a thousand routes
/// and hundreds of replicas, from a few readers on narrow links; lists come seconds apart, and calls
/// go to replicas that have left.
#[test]
fn one_replica_that_leaves_costs_a_gateway_few_bytes() {
    run(async {
        let held: Held = Rc::new(RefCell::new(Some(view(1, ROUTES))));
        let all = settled(&held).await;
        let before = bytes(&all);

        held.borrow_mut().as_mut().unwrap().replicas.remove(7);
        until("gone everywhere", || all.iter().all(|g| open(g) == REPLICAS - 1)).await;

        let cost = bytes(&all) - before;
        assert!(cost <= CHANGE_BYTES * GATEWAYS, "{cost} bytes");
    });
}
