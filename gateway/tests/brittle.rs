//! Calls to brittle replicas, whose slots the gateways share.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use laburnumwheel_gateway::clock;
use laburnumwheel_gateway::gateway::Running;

use crate::support::Action;
use crate::support::Replica;
use crate::support::call;
use crate::support::counter;
use crate::support::gateways;
use crate::support::response;
use crate::support::run;
use crate::support::send;
use crate::support::view;
use crate::support::wait_until;

/// Slots of the replica, of which one stays unused while it is brittle.
const SLOTS: u32 = 2;
const GATEWAYS: u64 = 3;

fn brittle_answer() -> String {
    let text = response("200 OK", "answer");
    text.replacen("x-request-id", "x-laburnum-brittle: 1\r\nx-request-id", 1)
}

/// Gateways before one brittle replica with a single place, which they know of.
async fn gateways_of_one_place(action: Action) -> (Replica, Vec<Running>) {
    let first = Action::Write(brittle_answer());
    let replica = Replica::start(vec![first, action]).await;
    let mut view = view(&[&replica]);
    view.replicas[0].slots = SLOTS;
    let all = gateways(&Rc::new(RefCell::new(Some(view))), GATEWAYS).await;
    let knows_all = |g: &Running| {
        let gateway = g.shared.gateway.borrow();
        gateway.live_peers(clock::now()) == GATEWAYS as usize - 1
    };
    wait_until("heartbeats of all gateways", || all.iter().all(knows_all)).await;
    let _ = call(&all[0], "/safe/x", "first").await;
    let is_brittle =
        |g: &Running| g.shared.gateway.borrow().fleet().is_brittle(clock::now(), "service");
    wait_until("all gateways know that it is brittle", || all.iter().all(is_brittle)).await;
    replica.received.borrow_mut().clear();
    (replica, all)
}

/// A replica that is brittle has fewer slots than there are gateways, as those of a small service in
/// a large fleet. Callers of a gateway without a place there must be served while it has room.
#[test]
fn callers_of_gateways_without_a_place_are_served() {
    run(async {
        let (replica, all) = gateways_of_one_place(Action::Write(brittle_answer())).await;

        let mut statuses = Vec::new();
        for (i, gateway) in all.iter().enumerate() {
            for route in ["safe", "once"] {
                let id = format!("{route}-{i}");
                statuses.push(call(gateway, &format!("/{route}/x"), &id).await.0);
            }
        }

        assert_eq!(statuses, [200; 2 * GATEWAYS as usize]);
        assert_eq!(replica.received.borrow().len(), statuses.len());
    });
}

/// While all places are taken, callers of all gateways must be refused at once and not be sent to
/// the replica, which would have to refuse them.
#[test]
fn callers_are_refused_while_all_places_are_taken() {
    run(async {
        let late = Action::WriteLater(brittle_answer(), Duration::from_millis(1_500));
        let (replica, all) = gateways_of_one_place(late).await;
        let all = Rc::new(all);
        let gateways = Rc::clone(&all);
        let taking = tokio::task::spawn_local(async move {
            for gateway in gateways.iter() {
                // Ends the loop at the first gateway that has the place, or is helped by it.
                if call(gateway, "/safe/x", "taking").await.0 == 200 {
                    return;
                }
            }
        });
        wait_until("the place is taken", || replica.received.borrow().len() == 1).await;

        let mut refused = 0;
        for gateway in all.iter() {
            for i in 0..4 {
                let response = send(gateway, "/safe/x", &format!("call-{i}")).await;
                let says_when = response.headers().contains_key("retry-after");
                refused += usize::from(response.status() == 503 && says_when);
            }
        }

        assert_eq!(refused, 4 * GATEWAYS as usize);
        assert_eq!(replica.received.borrow().len(), 1);
        let delegations: u64 = all.iter().map(|g| counter(g, "delegations_total")).sum();
        assert!(delegations <= 3 * (refused as u64 + 1), "{delegations} delegations");
        taking.await.unwrap();
    });
}
