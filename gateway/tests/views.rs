//! Transfer of views of the store between gateways.

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
/// Upper bound on the bytes that one change of a list may cost a gateway that fetches it.
const MAX_CHANGE_BYTES: u64 = 500;
/// Number of successive changes.
const CHANGES: usize = 20;
/// Time from one change to the next, a fraction of the time from one read of the store to the next.
const CHANGE_INTERVAL: Duration = Duration::from_millis(150);
/// Pause between the four parts of a slow answer: one is shorter than the timeout of a call, four
/// are longer.
const SLOW_PAUSE: Duration = Duration::from_millis(400);

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
    running.shared.gateway.borrow().readers(clock::now()).is_own
}

/// Number of replicas to which a gateway may send calls.
fn open_at(running: &Running) -> usize {
    running.shared.gateway.borrow().fleet().iter().filter(|r| !r.closed).count()
}

/// Starts gateways and waits until they agree on the readers and have nothing to fetch.
async fn gateways_in_sync(contents: &Contents) -> Vec<Running> {
    let all = gateways(contents, GATEWAYS).await;
    let agreed = || {
        all.iter().all(|g| g.shared.gateway.borrow().gateway_count() == GATEWAYS as usize)
            && all.iter().filter(|g| is_reader(g)).count() == READERS
    };
    wait_until("readers agreed on", agreed).await;
    let unchanged = |g: &Running| counter(g, "outcome=\"same\"");
    let before: Vec<u64> = all.iter().map(unchanged).collect();
    let in_sync = || all.iter().zip(&before).all(|(g, b)| is_reader(g) || unchanged(g) > b + 3);
    wait_until("nothing to fetch", in_sync).await;
    all
}

fn fetched_bytes(all: &[Running]) -> u64 {
    all.iter().map(|g| counter(g, "view_bytes_total")).sum()
}

/// The store refuses one of the readers. If that gateway only repeated its reads instead of
/// fetching from its peers, it would refuse all callers a few seconds later.
#[test]
fn a_reader_refused_by_the_store_fetches_from_its_peers() {
    run(async {
        let contents: Contents = Rc::new(RefCell::new(Some(view(1, 2))));
        let refuses = Rc::new(Cell::new(false));
        let serves = Rc::new(Cell::new(false));
        let stores = [&refuses, &serves, &serves].map(|switch| refusing_store(&contents, switch));
        let all = gateways_with_stores(stores.into_iter().collect()).await;
        wait_until("all know each other", || {
            all.iter().all(|g| g.shared.gateway.borrow().gateway_count() == READERS)
        })
        .await;
        refuses.set(true);

        contents.borrow_mut().as_mut().unwrap().replicas.remove(7);
        wait_until("closed everywhere", || all.iter().all(|g| open_at(g) == REPLICAS - 1)).await;

        assert!(is_reader(&all[0]));
        assert!(counter(&all[0], "call=\"read\",sound=\"false\"") > 0);
    });
}

/// Replicas leave every half second. If all gateways fetch the full view each time, the links of
/// the few readers are saturated, lists arrive seconds late, and calls are sent to replicas that
/// have left.
#[test]
fn one_leaving_replica_costs_a_gateway_few_bytes() {
    run(async {
        let contents: Contents = Rc::new(RefCell::new(Some(view(1, ROUTES))));
        let all = gateways_in_sync(&contents).await;
        let before = fetched_bytes(&all);

        contents.borrow_mut().as_mut().unwrap().replicas.remove(7);
        wait_until("closed everywhere", || all.iter().all(|g| open_at(g) == REPLICAS - 1)).await;

        let cost = fetched_bytes(&all) - before;
        assert!(cost <= MAX_CHANGE_BYTES * GATEWAYS, "{cost} bytes");
    });
}

/// Replicas leave faster than lists are read, so each reader reads views that the others never had.
/// A gateway that fetches from another reader each time has a view unknown to that reader, receives
/// full lists, and saturates the links again.
#[test]
fn successive_changes_cost_a_gateway_few_bytes_each() {
    run(async {
        let contents: Contents = Rc::new(RefCell::new(Some(view(1, 2))));
        let all = gateways_in_sync(&contents).await;
        let before = fetched_bytes(&all);

        for _ in 0..CHANGES {
            contents.borrow_mut().as_mut().unwrap().replicas.remove(7);
            tokio::time::sleep(CHANGE_INTERVAL).await;
        }
        wait_until("closed everywhere", || all.iter().all(|g| open_at(g) == REPLICAS - CHANGES))
            .await;

        let cost = fetched_bytes(&all) - before;
        assert!(cost <= MAX_CHANGE_BYTES * GATEWAYS * CHANGES as u64, "{cost} bytes");
    });
}

#[test]
fn one_added_route_costs_a_gateway_few_bytes() {
    run(async {
        let contents: Contents = Rc::new(RefCell::new(Some(view(1, ROUTES))));
        let all = gateways_in_sync(&contents).await;
        let before = fetched_bytes(&all);

        contents.borrow_mut().as_mut().unwrap().config = view(2, ROUTES + 1).config;
        wait_until("in force everywhere", || {
            all.iter().all(|g| g.shared.gateway.borrow().version() == 2)
        })
        .await;

        let cost = fetched_bytes(&all) - before;
        assert!(cost <= MAX_CHANGE_BYTES * GATEWAYS, "{cost} bytes");
        for g in &all {
            let config = g.shared.gateway.borrow().config().unwrap().clone();
            assert_eq!(config.len(), view(2, ROUTES + 1).config.unwrap().len());
        }
    });
}

/// A difference is corrupted and would list a replica that does not exist. The gateway must detect
/// the wrong digest and fetch the full view.
#[test]
fn a_corrupted_difference_is_replaced_by_a_full_view() {
    run(async {
        let contents: Contents = Rc::new(RefCell::new(Some(view(1, 2))));
        let all = gateways(&contents, 1).await;
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

/// A gateway behind a narrow link starts, and a full view takes longer than the timeout of a call.
/// With that timeout the transfer never completes and is repeated indefinitely.
#[test]
fn a_full_view_may_take_longer_than_a_call() {
    run(async {
        let contents: Contents = Rc::new(RefCell::new(Some(view(1, 2))));
        let all = gateways(&contents, 1).await;
        let new = Snapshot::new(view(1, ROUTES), None);
        let whole = Delta::between(Base::default(), &new).encode().unwrap();
        let reader = slow_reader([whole, Vec::new()], SLOW_PAUSE).await;

        let fetched = fetch(&all[0].shared, &reader.to_string()).await.unwrap().1;

        assert_eq!(fetched, new);
    });
}

/// Starts a reader that answers each request with the next of these differences.
async fn reader(deltas: [Vec<u8>; 2]) -> SocketAddr {
    slow_reader(deltas, Duration::ZERO).await
}

/// Starts such a reader that pauses before each quarter of an answer.
async fn slow_reader(deltas: [Vec<u8>; 2], pause: Duration) -> SocketAddr {
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
