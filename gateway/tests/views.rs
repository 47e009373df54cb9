//! What gateways hand on to one another of what the store holds.

mod support;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use laburnumwheel_core::gateway::config::Route;
use laburnumwheel_core::gateway::config::Target;
use laburnumwheel_core::gateway::delta::Delta;
use laburnumwheel_core::gateway::view::Base;
use laburnumwheel_core::gateway::view::Snapshot;
use laburnumwheel_core::time::Span;
use laburnumwheel_gateway::clock;
use laburnumwheel_gateway::gateway::Running;
use laburnumwheel_gateway::store::View;
use laburnumwheel_gateway::view::fetch;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::support::Contents;
use crate::support::config;
use crate::support::counter;
use crate::support::gateways;
use crate::support::gateways_with_stores;
use crate::support::listing;
use crate::support::refusing_store;
use crate::support::run;
use crate::support::wait_until;

const GATEWAYS: u64 = 6;
/// Gateways that read the store for all.
const READERS: usize = 3;
const ROUTES: usize = 1_000;
const REPLICAS: usize = 300;
/// Most bytes that one change of the list may cost a gateway that asks.
const CHANGE_BYTES: u64 = 500;
/// Changes in a row, and the pause between them: a fraction of the time from one read to the next.
const CHANGES: usize = 20;
const PAUSE: Duration = Duration::from_millis(150);
/// Pause between parts of a slow answer: four of them are longer than one call may take, each is not.
const SLOW: Duration = Duration::from_millis(400);

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
async fn settled(held: &Contents) -> Vec<Running> {
    let all = gateways(held, GATEWAYS).await;
    let agreed = || {
        all.iter().all(|g| g.shared.gateway.borrow().gateway_count() == GATEWAYS as usize)
            && all.iter().filter(|g| is_reader(g)).count() == READERS
    };
    wait_until("readers agreed on", agreed).await;
    let same = |g: &Running| counter(g, "outcome=\"same\"");
    let before: Vec<u64> = all.iter().map(same).collect();
    let asked = || all.iter().zip(&before).all(|(g, b)| is_reader(g) || same(g) > b + 3);
    wait_until("nothing to fetch", asked).await;
    all
}

fn bytes(all: &[Running]) -> u64 {
    all.iter().map(|g| counter(g, "view_bytes_total")).sum()
}

/// One gateway refuses all callers seconds after the store has begun to turn it away, though its
/// peers know everything. As one of the readers it only went on asking the store.
#[test]
fn a_reader_that_the_store_turns_away_follows_its_peers() {
    run(async {
        let held: Contents = Rc::new(RefCell::new(Some(view(1, 2))));
        let away = Rc::new(Cell::new(false));
        let stays = Rc::new(Cell::new(false));
        let stores = [&away, &stays, &stays].map(|switch| refusing_store(&held, switch));
        let all = gateways_with_stores(stores.into_iter().collect()).await;
        wait_until("all know each other", || {
            all.iter().all(|g| g.shared.gateway.borrow().gateway_count() == READERS)
        })
        .await;
        away.set(true);

        held.borrow_mut().as_mut().unwrap().replicas.remove(7);
        wait_until("gone everywhere", || all.iter().all(|g| open(g) == REPLICAS - 1)).await;

        assert!(is_reader(&all[0]));
        assert!(counter(&all[0], "call=\"read\",sound=\"false\"") > 0);
    });
}

/// Replicas leave every half second. Each time all gateways fetch everything again, a thousand routes
/// and hundreds of replicas, from a few readers on narrow links; lists come seconds apart, and calls
/// go to replicas that have left.
#[test]
fn one_replica_that_leaves_costs_a_gateway_few_bytes() {
    run(async {
        let held: Contents = Rc::new(RefCell::new(Some(view(1, ROUTES))));
        let all = settled(&held).await;
        let before = bytes(&all);

        held.borrow_mut().as_mut().unwrap().replicas.remove(7);
        wait_until("gone everywhere", || all.iter().all(|g| open(g) == REPLICAS - 1)).await;

        let cost = bytes(&all) - before;
        assert!(cost <= CHANGE_BYTES * GATEWAYS, "{cost} bytes");
    });
}

/// Replicas leave faster than lists are read. Each reader sees states that the others never saw; a
/// gateway that asks another reader each time has a state that this one does not know, and gets whole
/// lists, which fill the links again.
#[test]
fn changes_in_a_row_cost_a_gateway_few_bytes_each() {
    run(async {
        let held: Contents = Rc::new(RefCell::new(Some(view(1, 2))));
        let all = settled(&held).await;
        let before = bytes(&all);

        for _ in 0..CHANGES {
            held.borrow_mut().as_mut().unwrap().replicas.remove(7);
            tokio::time::sleep(PAUSE).await;
        }
        wait_until("gone everywhere", || all.iter().all(|g| open(g) == REPLICAS - CHANGES)).await;

        let cost = bytes(&all) - before;
        assert!(cost <= CHANGE_BYTES * GATEWAYS * CHANGES as u64, "{cost} bytes");
    });
}

#[test]
fn one_route_that_is_added_costs_a_gateway_few_bytes() {
    run(async {
        let held: Contents = Rc::new(RefCell::new(Some(view(1, ROUTES))));
        let all = settled(&held).await;
        let before = bytes(&all);

        held.borrow_mut().as_mut().unwrap().config = view(2, ROUTES + 1).config;
        wait_until("in force everywhere", || {
            all.iter().all(|g| g.shared.gateway.borrow().version() == 2)
        })
        .await;

        let cost = bytes(&all) - before;
        assert!(cost <= CHANGE_BYTES * GATEWAYS, "{cost} bytes");
        for g in &all {
            let config = g.shared.gateway.borrow().config().unwrap().clone();
            assert_eq!(config.len(), view(2, ROUTES + 1).config.unwrap().len());
        }
    });
}

/// A reader says what has changed, and the bytes are not what it meant. Applied, they would send calls
/// to replicas that nobody listed; the gateway sees that the digest is another one, and asks for all.
#[test]
fn a_difference_that_leads_elsewhere_is_replaced_by_the_whole_view() {
    run(async {
        let held: Contents = Rc::new(RefCell::new(Some(view(1, 2))));
        let all = gateways(&held, 1).await;
        let old = all[0].shared.views.borrow().newest().unwrap().clone();
        let mut left = view(1, 2);
        left.replicas.remove(7);
        left.gateways = old.view.gateways.clone();
        let new = Snapshot::new(left, None);
        let mut damaged = Delta::between(old.base(), &new).encode().unwrap();
        let id = damaged.windows(11).position(|w| w == b"replica-007").unwrap();
        damaged[id + 10] = b'8';
        let whole = Delta::between(Base::default(), &new).encode().unwrap();
        let reader = reader([damaged, whole]).await;

        let fetched = fetch(&all[0].shared, &reader.to_string()).await.unwrap().1;

        assert_eq!(fetched, new);
        assert_eq!(counter(&all[0], "view_mismatches_total"), 1);
    });
}

/// A gateway behind a narrow link has just started, and a whole view takes longer than one call may.
/// Bounded like a call it never came to its end, and the gateway asked for it again and again.
#[test]
fn a_whole_view_may_take_longer_than_a_call() {
    run(async {
        let held: Contents = Rc::new(RefCell::new(Some(view(1, 2))));
        let all = gateways(&held, 1).await;
        let new = Snapshot::new(view(1, ROUTES), None);
        let whole = Delta::between(Base::default(), &new).encode().unwrap();
        let reader = reader_at([whole, Vec::new()], SLOW).await;

        let fetched = fetch(&all[0].shared, &reader.to_string()).await.unwrap().1;

        assert_eq!(fetched, new);
    });
}

/// A reader that answers each request with the next of these differences.
async fn reader(deltas: [Vec<u8>; 2]) -> SocketAddr {
    reader_at(deltas, Duration::ZERO).await
}

/// The same with a pause before each quarter of an answer.
async fn reader_at(deltas: [Vec<u8>; 2], pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        for delta in deltas {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 1_024]).await.unwrap();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", delta.len() + 8);
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&[0; 8]).await.unwrap();
            for part in delta.chunks(delta.len().div_ceil(4).max(1)) {
                tokio::time::sleep(pause).await;
                stream.write_all(part).await.unwrap();
            }
        }
    });
    address
}
