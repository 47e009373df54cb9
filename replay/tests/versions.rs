//! A new configuration is in force at nine routers within seconds, and none returns to an older
//! one.

mod support;

use laburnumwheel_core::time::Span;
use laburnumwheel_replay::network::Mode;

use support::Cluster;

/// Upper bound on the time until a version is in force at all routers.
const TIMEOUT: Span = Span::secs(8);

fn in_force(cluster: &Cluster, version: u64) -> bool {
    (0..cluster.network.len()).all(|i| cluster.version(i) >= version)
}

/// A configuration with 2,000 organisations changes 40 times. Each change must be in force at all
/// nine routers within 8 s. Prints the longest time, and the reads and bytes for each change.
#[test]
fn a_change_is_in_force_everywhere_within_8_s() {
    // Arrange
    let mut cluster = Cluster::start(9, 1);
    let mut config = support::config(2_000);
    cluster.network.store.publish(2, &config);
    cluster.advance(TIMEOUT);
    let mut longest = Span(0);
    let (bytes, reads) = (cluster.network.traffic.0, cluster.network.store.reads);
    let began = cluster.network.now;

    // Act
    for version in 3..=42 {
        config.organisations[version as usize].weight = version as u32;
        cluster.network.store.publish(version, &config);
        let took = cluster.advance_until(TIMEOUT, |c| in_force(c, version));
        longest = longest.max(took.expect("the change should be in force within 8 s"));
    }

    // Assert
    let seconds = cluster.network.now.since(began).as_secs_f64();
    let reads = (cluster.network.store.reads - reads) as f64;
    let each = (cluster.network.traffic.0 - bytes) as f64 / 9.0 / 40.0;
    println!(
        "longest {longest}, {:.1} reads a change beside 3.5 a second, {each:.0} bytes a router \
         and change, gossip included",
        (reads - 3.5 * seconds) / 40.0
    );
    assert!(longest <= TIMEOUT);
}

/// The key-value service becomes unavailable after one router has read a change. The others must
/// get it from that router.
#[test]
fn an_outage_does_not_stop_a_change_that_one_router_has() {
    // Arrange
    let mut cluster = Cluster::start(9, 2);
    cluster.network.store.publish(2, &support::config(3));
    let first = cluster.advance_until(TIMEOUT, |c| (0..9).any(|i| c.version(i) == 2));

    // Act
    cluster.network.store.mode = Mode::Down;
    let rest = cluster.advance_until(TIMEOUT, |c| in_force(c, 2));

    // Assert
    assert!(first.is_some() && rest.is_some());
}

/// A router restarts while the service is unavailable and a partitioned router still has an older
/// version. The restarted router must not serve with the older version.
#[test]
fn a_restart_in_an_outage_does_not_restore_an_old_version() {
    // Arrange
    let mut cluster = Cluster::start(9, 3);
    cluster.network.partition(&[8]);
    cluster.network.store.publish(2, &support::config(3));
    // Router 8 must not read the change itself.
    cluster.network.pause(8);
    cluster.advance(TIMEOUT);
    cluster.network.store.mode = Mode::Down;
    cluster.network.resume(8);
    cluster.network.kill(0);
    cluster.advance(Span::secs(10));
    cluster.network.unreachable.clear();

    // Act
    let mut settings = laburnumwheel_replay::network::settings(0, "a", 2, 3);
    settings.seeds = (1..9).map(laburnumwheel_replay::network::peer_address).rev().collect();
    let node = laburnumwheel_core::node::Node::new(settings, cluster.network.now);
    cluster.network.start(0, laburnumwheel_replay::network::Router::Node(Box::new(node)));
    let mut served_old = false;
    for _ in 0..200 {
        cluster.advance(Span::millis(100));
        let node = cluster.network.node(0).expect("the router should be running");
        served_old |= node.is_serving() && node.config_version() < 2;
    }

    // Assert
    assert!(!served_old);
    assert_eq!(cluster.version(0), 2);
    assert!(cluster.network.node(0).expect("the router should be running").is_serving());
}

/// Changes are published during a partition and with lost messages. No router may return to an
/// older version, and after the partition all must get the newest one.
#[test]
fn versions_never_decrease_under_a_partition() {
    // Arrange
    let mut cluster = Cluster::start(9, 4);
    let mut highest = [0; 9];
    cluster.network.partition(&[0, 1, 2]);
    cluster.network.drop_every = 6;

    // Act
    let mut went_back = false;
    for version in 2..=10 {
        cluster.network.store.publish(version, &support::config(version as usize));
        if version == 6 {
            cluster.network.unreachable.clear();
        }
        for _ in 0..80 {
            cluster.advance(Span::millis(100));
            for (i, highest) in highest.iter_mut().enumerate() {
                went_back |= cluster.version(i) < *highest;
                *highest = cluster.version(i).max(*highest);
            }
        }
    }

    // Assert
    assert!(!went_back);
    assert!(in_force(&cluster, 10));
}
