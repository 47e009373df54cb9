//! Membership of routers under crashes, pauses, partitions, lost messages and outages.

mod support;

use laburnumwheel_core::event::Event;
use laburnumwheel_core::time::Span;
use laburnumwheel_replay::network::Mode;

use support::Cluster;

/// A router is killed and nothing announces it. The routers before it in the ring must detect that
/// by their probes and notify the others; until then, callers are sent to the dead router.
#[test]
fn a_dead_router_leaves_entry_answers_within_5_s() {
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

/// The key-value service is unavailable for minutes. Leases in it would expire and remove all
/// routers. Routers probe each other instead: none may be removed, and a dead one must still be
/// detected.
#[test]
fn an_outage_removes_no_router_and_hides_no_crash() {
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

/// A router starts while the key-value service is unavailable. It must get the members and the
/// configuration from the peers in its settings.
#[test]
fn a_new_router_starts_from_its_peers_alone() {
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

/// A router is paused for ten seconds and declared dead. After it resumes, it must learn of that
/// and refute it with a higher version of its record.
#[test]
fn a_resumed_router_is_a_member_again() {
    // Arrange
    let mut cluster = Cluster::start(9, 4);

    // Act
    cluster.network.pause(2);
    cluster.advance(Span::secs(10));
    let removed = (0..9).filter(|i| *i != 2).all(|i| !cluster.lists(i, 2));
    cluster.network.resume(2);
    cluster.advance(Span::secs(15));

    // Assert
    assert!(removed);
    for i in 0..9 {
        assert_eq!(cluster.serving_seen_by(i), 9, "router {i}");
    }
}

/// A partition lasts an hour, and each side declares the other's routers dead. After it, probes of
/// dead routers must find them alive, so that all routers have the same members again.
#[test]
fn a_partition_heals() {
    // Arrange
    let mut cluster = Cluster::start(9, 5);
    cluster.network.partition(&[0, 1, 2, 3]);

    // Act
    cluster.advance(Span::secs(3_600));
    let during = (cluster.serving_seen_by(0), cluster.serving_seen_by(8));
    cluster.network.unreachable.clear();
    cluster.advance(Span::secs(30));

    // Assert
    assert_eq!(during, (4, 5));
    for i in 0..9 {
        assert_eq!(cluster.serving_seen_by(i), 9, "router {i}");
    }
}

/// One message in five is lost. Lost probes are repeated, also through other routers, before a
/// router is declared dead, so that live routers are rarely removed and soon return.
#[test]
fn lost_messages_remove_no_router_for_long() {
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

/// All connections between routers go silent at once, as when a device between them loses its
/// connection table; new connections work. A router must reconnect before it declares a peer dead,
/// so that healthy routers stay in entry answers.
#[test]
fn silent_connections_are_reopened_before_a_peer_is_declared_dead() {
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

/// A router makes a planned stop. All entry answers must omit it within seconds, while it serves
/// for as long as callers may keep an earlier answer. Then it exits.
#[test]
fn a_leaving_router_is_omitted_from_entry_answers_and_exits() {
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

/// Nine idle routers must send few bytes to each other and few calls to the key-value service.
#[test]
fn idle_routers_cause_little_traffic() {
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
