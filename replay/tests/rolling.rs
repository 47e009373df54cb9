//! A rolling restart of nine routers in virtual time, under steady load.

mod support;

use laburnumwheel_core::event::Event;
use laburnumwheel_core::event::RequestId;
use laburnumwheel_core::time::Span;

use support::Cluster;

const ROUTERS: usize = 9;
/// Callers keep an entry answer for this long.
const ENTRY_TTL: Span = Span::secs(10);

/// A caller that keeps its router for the answer's time to live, then takes the next that takes
/// callers.
struct Caller {
    router: usize,
    prefix: String,
    left: u64,
}

fn entry(cluster: &mut Cluster, number: usize) -> Caller {
    let now = cluster.network.now;
    let asked =
        (0..ROUTERS).map(|i| (i + number) % ROUTERS).find(|i| cluster.network.is_running(*i));
    let node = cluster.network.node_mut(asked.expect("a router")).expect("it runs");
    let answer = node.entry(now, None, None).expect("an answer");
    let first = &answer.addresses[0];
    let number = first.address.rsplit(':').next().and_then(|p| p.parse::<usize>().ok());
    let router = number.expect("a port") - 9000;
    Caller { router, prefix: first.key_prefix.clone(), left: ENTRY_TTL.as_millis() / 100 }
}

/// Every router is replaced, one after another, while six callers send bids. Each bid is answered
/// whole by the router its caller knows, and none runs twice.
#[test]
fn a_rolling_restart_refuses_nothing_and_doubles_nothing() {
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
                if caller.left == 0 {
                    *caller = entry(&mut cluster, n + rounds);
                }
                caller.left -= 1;
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
