//! Rate limits of organisations hold over nine routers, with a bounded overshoot.

mod support;

use laburnumwheel_core::action::Outcome;
use laburnumwheel_core::time::Span;
use laburnumwheel_replay::network::Mode;

use support::Cluster;

/// Limit of the organisation in requests per second.
const LIMIT: f64 = 90.0;

/// Starts nine routers with a limit on the organisation.
fn limited(seed: u64) -> Cluster {
    let mut cluster = Cluster::start(9, seed);
    let mut limited = support::config(1);
    limited.organisations[0].requests_per_second = LIMIT as u32;
    cluster.network.store.publish(2, &limited);
    cluster.advance(Span::secs(8));
    assert_eq!(cluster.version(8), 2);
    cluster
}

/// Submits `offered` requests per second for `seconds`, divided among the routers by `weights`, and
/// returns the number of accepted requests per second.
fn offer(cluster: &mut Cluster, offered: f64, seconds: u64, weights: [u64; 9]) -> f64 {
    let total: u64 = weights.iter().sum();
    let mut due = [0.0; 9];
    let mut sent = Vec::new();
    for n in 0..seconds * 100 {
        for router in 0..9 {
            due[router] += offered * weights[router] as f64 / total as f64 / 100.0;
            while due[router] >= 1.0 {
                due[router] -= 1.0;
                let body = format!("{router} {n} {}", sent.len());
                sent.push((router, cluster.submit(router, "", &body)));
            }
        }
        cluster.advance(Span::millis(10));
    }
    cluster.advance(Span::secs(2));
    let taken = sent.iter().filter(|(router, id)| {
        matches!(cluster.outcome(*router, *id), Some(Outcome::Whole { .. }))
    });
    taken.count() as f64 / seconds as f64
}

/// Weights of the routers when all get the same number of requests.
const EVEN: [u64; 9] = [1; 9];
/// Weights of the routers when one gets most of the requests and two get none.
const UNEVEN: [u64; 9] = [20, 5, 1, 1, 1, 1, 1, 0, 0];

/// An organisation submits four times its limit, evenly or mostly at one router. It must get its
/// limit: neither a ninth of it nor nine times it.
#[test]
fn the_limit_holds_under_steady_load() {
    for (weights, least) in [(EVEN, 0.9), (UNEVEN, 0.85)] {
        // Arrange
        let mut cluster = limited(1);
        offer(&mut cluster, 360.0, 10, weights);

        // Act
        let taken = offer(&mut cluster, 360.0, 20, weights);

        // Assert
        println!("steady: {taken:.1} of {LIMIT}");
        assert!((least * LIMIT..=1.15 * LIMIT).contains(&taken), "{taken}");
    }
}

/// In a burst after a pause each router may spend one full bucket, which holds its share of a
/// second, in addition to the limit.
#[test]
fn a_burst_overshoots_by_one_bucket() {
    // Arrange
    let mut cluster = limited(2);

    // Act
    let taken = offer(&mut cluster, 900.0, 10, EVEN) * 10.0;

    // Assert
    println!("burst: {taken:.0} in 10 s of {:.0}", 10.0 * LIMIT);
    assert!(taken <= (10.0 + 1.0 + 1.5) * LIMIT, "{taken}");
}

/// A router is lost while the key-value service is unavailable. The others must divide the whole
/// limit among them, and no more.
#[test]
fn the_share_of_a_lost_router_goes_to_the_others() {
    // Arrange
    let mut cluster = limited(3);
    offer(&mut cluster, 360.0, 5, EVEN);
    cluster.network.store.mode = Mode::Down;
    cluster.network.kill(0);
    let rest = [0, 1, 1, 1, 1, 1, 1, 1, 1];
    offer(&mut cluster, 360.0, 8, rest);

    // Act
    let taken = offer(&mut cluster, 360.0, 20, rest);

    // Assert
    println!("router lost: {taken:.1} of {LIMIT}");
    assert!((0.85 * LIMIT..=1.15 * LIMIT).contains(&taken), "{taken}");
}

/// The two sides of a partition do not know each other's use. Each side must hold the limit, so
/// that both together accept at most twice the limit.
#[test]
fn each_side_of_a_partition_holds_the_limit() {
    // Arrange
    let mut cluster = limited(4);
    cluster.network.partition(&[0, 1, 2, 3]);
    cluster.advance(Span::secs(15));
    offer(&mut cluster, 720.0, 10, EVEN);

    // Act
    let taken = offer(&mut cluster, 720.0, 20, EVEN);

    // Assert
    println!("partition: {taken:.1} of {LIMIT}");
    assert!(taken <= 2.0 * 1.15 * LIMIT, "{taken}");
}
