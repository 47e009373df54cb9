//! No router sends new work to a leaving upstream later than 3 s after the first sign.

mod support;

use bytes::Bytes;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::sync::LEAVING_HOSTS_KEY;
use laburnumwheel_core::time::Span;
use laburnumwheel_replay::network::Mode;

use support::Cluster;

/// Upper bound on the time until no router sends work to the upstream.
const TIMEOUT: Span = Span::secs(3);

/// Whether any router may still send work to the upstream.
fn usable_anywhere(cluster: &Cluster, name: &str) -> bool {
    let nodes = (0..cluster.network.len()).filter_map(|i| cluster.network.node(i));
    nodes.flat_map(|n| n.upstreams()).any(|u| u.name == name && !u.leaving)
}

/// The platform lists a host as leaving. Each of nine routers reads that list rarely; the first one
/// to read it must notify the others.
#[test]
fn the_host_list_reaches_every_router() {
    for seed in 0..20 {
        // Arrange
        let mut cluster = Cluster::start(9, seed);

        // Act
        cluster.network.store.put(LEAVING_HOSTS_KEY, Bytes::from_static(b"[\"s1\"]"));
        let took = cluster.advance_until(TIMEOUT, |c| !usable_anywhere(c, "s1"));

        // Assert
        assert!(took.is_some(), "seed {seed}");
        assert!(usable_anywhere(&cluster, "s2"));
    }
}

/// An upstream refuses an attempt of one router as leaving while the key-value service is
/// unavailable. The router must notify the others.
#[test]
fn a_refusal_at_one_router_reaches_all_others() {
    // Arrange
    let mut cluster = Cluster::start(9, 1);
    cluster.network.store.mode = Mode::Down;
    let id = cluster.submit(4, "", "call");
    let attempt = laburnumwheel_core::event::AttemptId(1);

    // Act
    cluster.handle(4, Event::Failed(attempt, laburnumwheel_core::event::Failure::Leaving));
    let took = cluster
        .advance_until(TIMEOUT, |c| ["s1", "s2"].iter().any(|name| !usable_anywhere(c, name)));

    cluster.advance(Span::secs(1));

    // Assert
    assert!(took.is_some());
    assert!(cluster.is_whole(4, id));
}
