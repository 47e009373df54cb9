//! An upstream that is leaving gets nothing new within 3 s of the first hint, at any router.

mod support;

use bytes::Bytes;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::sync::LEAVING_HOSTS_KEY;
use laburnumwheel_core::time::Span;
use laburnumwheel_replay::network::Mode;

use support::Cluster;

const WITHIN: Span = Span::secs(3);

/// Whether any router would still send work to the upstream.
fn open_anywhere(cluster: &Cluster, name: &str) -> bool {
    let nodes = (0..cluster.network.len()).filter_map(|i| cluster.network.node(i));
    nodes.flat_map(|n| n.upstreams()).any(|u| u.name == name && !u.leaving)
}

/// The platform lists a host as leaving. Nine routers read that list one after another, each
/// rarely; whoever reads it first tells the others.
#[test]
fn the_host_list_reaches_every_router() {
    for seed in 0..20 {
        // Arrange
        let mut cluster = Cluster::start(9, seed);

        // Act
        cluster.network.store.put(LEAVING_HOSTS_KEY, Bytes::from_static(b"[\"s1\"]"));
        let took = cluster.advance_until(WITHIN, |c| !open_anywhere(c, "s1"));

        // Assert
        assert!(took.is_some(), "seed {seed}");
        assert!(open_anywhere(&cluster, "s2"));
    }
}

/// One router meets a refusal while the key-value service is out: the others hear of it at once.
#[test]
fn a_refusal_met_by_one_router_reaches_every_other() {
    // Arrange
    let mut cluster = Cluster::start(9, 1);
    cluster.network.store.mode = Mode::Down;
    let id = cluster.submit(4, "", "call");
    let attempt = laburnumwheel_core::event::AttemptId(1);

    // Act
    cluster.handle(4, Event::Failed(attempt, laburnumwheel_core::event::Failure::Leaving));
    let took =
        cluster.advance_until(WITHIN, |c| ["s1", "s2"].iter().any(|name| !open_anywhere(c, name)));

    cluster.advance(Span::secs(1));

    // Assert
    assert!(took.is_some());
    assert!(cluster.is_whole(4, id));
}
