//! A rolling restart of nine routers under steady load.

mod support;

use laburnumwheel_core::event::Event;
use laburnumwheel_core::event::RequestId;
use laburnumwheel_core::time::Span;

use support::Cluster;

const ROUTERS: usize = 9;
/// Time for which callers keep an entry answer.
const ENTRY_TTL: Span = Span::secs(10);

/// Caller that uses a router until its entry answer expires.
struct Caller {
    router: usize,
    prefix: String,
    /// Requests that it submits before the answer expires.
    remaining: u64,
}

/// Creates a caller with an entry answer of a running router.
fn entry(cluster: &mut Cluster, number: usize) -> Caller {
    let now = cluster.network.now;
    let queried =
        (0..ROUTERS).map(|i| (i + number) % ROUTERS).find(|i| cluster.network.is_running(*i));
    let node = cluster
        .network
        .node_mut(queried.expect("a router should be running"))
        .expect("the router should be running");
    let answer = node.entry(now, None, None).expect("the router should answer");
    let first = &answer.addresses[0];
    let number = first.address.rsplit(':').next().and_then(|p| p.parse::<usize>().ok());
    let router = number.expect("the address should have a port") - 9000;
    Caller { router, prefix: first.key_prefix.clone(), remaining: ENTRY_TTL.as_millis() / 100 }
}

/// All routers are restarted, one after another, while six callers submit requests. Each request
/// must get its complete answer from the router that its caller uses, and run exactly once.
#[test]
fn requests_run_exactly_once_during_a_rolling_restart() {
    // Arrange
    let mut cluster = Cluster::start(ROUTERS, 1);
    let mut callers: Vec<Caller> = (0..6).map(|n| entry(&mut cluster, n)).collect();
    let mut sent: Vec<(usize, RequestId)> = Vec::new();

    // Act
    for stopping in 0..ROUTERS {
        cluster.handle(stopping, Event::Stop);
        let mut rounds = 0;
        while cluster.network.is_running(stopping) {
            rounds += 1;
            assert!(rounds < 600, "router {stopping} does not exit");
            for (n, caller) in callers.iter_mut().enumerate() {
                if caller.remaining == 0 {
                    *caller = entry(&mut cluster, n + rounds);
                }
                caller.remaining -= 1;
                let bid = sent.len();
                let key = format!("{}{bid}", caller.prefix);
                let id = cluster.submit(caller.router, &key, &format!("bid {bid}"));
                sent.push((caller.router, id));
            }
            cluster.advance(Span::millis(100));
        }
        cluster.restart(stopping);
        cluster.advance(Span::secs(5));
    }
    cluster.advance(Span::secs(5));

    // Assert
    let whole = sent.iter().filter(|(router, id)| cluster.is_whole(*router, *id)).count();
    assert_eq!(whole, sent.len());
    assert_eq!(cluster.executions.len(), sent.len());
    assert!(cluster.executions.values().all(|runs| *runs == 1));
    assert_eq!(cluster.exited, (0..ROUTERS).collect::<Vec<_>>());
}
