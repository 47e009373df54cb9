//! Membership under failures, with three and nine routers.

mod support;

use laburnumwheel_core::event::Event;
use laburnumwheel_core::time::Span;
use laburnumwheel_replay::network::Mode;

use support::Cluster;

/// Callers are sent to a router that is gone. Its process is killed; no list says so. The routers
/// before it in the ring notice within two probes and tell the others.
#[test]
fn a_dead_router_is_out_of_entry_answers_within_5_s() {
    for routers in [3, 9] {
        // Arrange
        let mut cluster = Cluster::start(routers, 1);

        // Act
        cluster.network.kill(1);
        let took = cluster.advance_until(Span::secs(5), |c| {
            (0..routers).filter(|i| *i != 1).all(|i| !c.lists(i, 1))
        });

        // Assert
        assert!(took.is_some(), "{routers} routers");
    }
}

/// Callers find fewer and fewer routers during an outage of the key-value service. With leases
/// there, all would lapse. Here routers vouch for each other, and a dead one is still noticed.
#[test]
fn an_outage_removes_nobody_and_hides_no_death() {
    // Arrange
    let mut cluster = Cluster::start(9, 2);
    cluster.network.store.mode = Mode::Down;

    // Act
    cluster.advance(Span::secs(300));
    let during: Vec<usize> = (0..9).map(|i| cluster.serving_seen_by(i)).collect();
    cluster.network.kill(4);
    cluster.advance(Span::secs(5));

    // Assert
    assert_eq!(during, vec![9; 9]);
    for i in (0..9).filter(|i| *i != 4) {
        assert_eq!(cluster.serving_seen_by(i), 8, "router {i}");
    }
}

/// A router starts while the key-value service is out. It knows the peers that its settings name
/// and gets members and configuration from them.
#[test]
fn a_new_router_starts_from_peers_alone() {
    // Arrange
    let mut cluster = Cluster::start(3, 3);
    cluster.network.store.mode = Mode::Down;
    let mut settings = laburnumwheel_replay::network::settings(3, "a", 1, 3);
    settings.seeds = vec![laburnumwheel_replay::network::peer_address(0)];
    let node = laburnumwheel_core::node::Node::new(settings, cluster.network.now);

    // Act
    cluster.network.add(laburnumwheel_replay::network::Router::Node(Box::new(node)), 0);
    cluster.advance(Span::secs(10));

    // Assert
    assert_eq!(cluster.version(3), 1);
    for i in 0..4 {
        assert_eq!(cluster.serving_seen_by(i), 4, "router {i}");
    }
}

/// A router freezes for ten seconds, is taken for dead, and goes on as if nothing had happened.
/// It learns what is said of it and clears itself with a higher version of its record.
#[test]
fn a_paused_router_comes_back() {
    // Arrange
    let mut cluster = Cluster::start(9, 4);

    // Act
    cluster.network.pause(2);
    cluster.advance(Span::secs(10));
    let gone = (0..9).filter(|i| *i != 2).all(|i| !cluster.lists(i, 2));
    cluster.network.resume(2);
    cluster.advance(Span::secs(15));

    // Assert
    assert!(gone);
    for i in 0..9 {
        assert_eq!(cluster.serving_seen_by(i), 9, "router {i}");
    }
}

/// Two regions lose each other for an hour, and each buries the other's routers. When the link is
/// back, probes of the dead find them alive, and the lists become one again.
#[test]
fn a_partition_heals() {
    // Arrange
    let mut cluster = Cluster::start(9, 5);
    cluster.network.partition(&[0, 1, 2, 3]);

    // Act
    cluster.advance(Span::secs(3_600));
    let apart = (cluster.serving_seen_by(0), cluster.serving_seen_by(8));
    cluster.network.unreachable.clear();
    cluster.advance(Span::secs(30));

    // Assert
    assert_eq!(apart, (4, 5));
    for i in 0..9 {
        assert_eq!(cluster.serving_seen_by(i), 9, "router {i}");
    }
}

/// One message in five is lost, and routers still hold each other for alive: a lost probe is
/// repeated and helped before it counts.
#[test]
fn lost_messages_condemn_nobody_for_long() {
    // Arrange
    let mut cluster = Cluster::start(9, 6);
    cluster.network.drop_every = 5;

    // Act
    let mut seen = Vec::new();
    for _ in 0..120 {
        cluster.advance(Span::secs(1));
        seen.extend((0..9).map(|i| cluster.serving_seen_by(i)));
    }

    // Assert
    let full = seen.iter().filter(|n| **n == 9).count();
    assert!(full * 100 >= seen.len() * 95, "{full} of {}", seen.len());
    assert!(seen.iter().all(|n| *n >= 8));
}

/// Every connection between routers falls silent at once, because something between them lost
/// track of them, while new ones work. Each is dialled anew before its other end is judged, so no
/// caller is sent away from a healthy router.
#[test]
fn silent_connections_are_dialled_anew_before_anyone_is_judged() {
    // Arrange
    let mut cluster = Cluster::start(9, 9);
    let pairs = (0..9).flat_map(|a| (0..9).map(move |b| (a, b)));
    cluster.network.silent = pairs.filter(|(a, b)| a != b).collect();

    // Act
    let mut least = 9;
    for _ in 0..300 {
        cluster.advance(Span::millis(100));
        least = (0..9).map(|i| cluster.serving_seen_by(i)).min().unwrap_or(0).min(least);
    }

    // Assert
    assert_eq!(least, 9);
}

/// A planned stop: entry answers everywhere leave the router out at once, and it serves on for the
/// time that callers may keep an answer, then exits.
#[test]
fn a_leaving_router_is_named_nowhere_and_exits() {
    // Arrange
    let mut cluster = Cluster::start(9, 7);

    // Act
    cluster.handle(3, Event::Stop);
    let took = cluster.advance_until(Span::secs(3), |c| (0..9).all(|i| !c.lists(i, 3)));
    let up_after_ttl = {
        cluster.advance(Span::secs(8));
        cluster.network.is_running(3)
    };
    cluster.advance(Span::secs(15));

    // Assert
    assert!(took.is_some());
    assert!(up_after_ttl);
    assert_eq!(cluster.exited, vec![3]);
    assert!(!cluster.network.is_running(3));
}

/// What nine idle routers cost: bytes between them and calls to the key-value service.
#[test]
fn an_idle_minute_is_cheap() {
    // Arrange
    let mut cluster = Cluster::start(9, 8);
    let (bytes, reads, writes) =
        (cluster.network.traffic.0, cluster.network.store.reads, cluster.network.store.writes);

    // Act
    cluster.advance(Span::secs(60));

    // Assert
    let each = (cluster.network.traffic.0 - bytes) as f64 / 9.0 / 60.0;
    let reads = cluster.network.store.reads - reads;
    let writes = cluster.network.store.writes - writes;
    println!("{each:.0} bytes/s a router, {reads} reads, {writes} writes in a minute");
    assert!(each < 7_000.0, "{each} bytes a second");
    assert!(reads <= 60 * 5, "{reads} reads");
    assert!(writes <= 6, "{writes} writes");
}
