//! Orders to upstreams come from one router at a time, under pauses, delays and lost replies.

mod support;

use laburnumwheel_core::config;
use laburnumwheel_core::config::Config;
use laburnumwheel_core::config::Source;
use laburnumwheel_core::order;
use laburnumwheel_core::time::Span;
use laburnumwheel_replay::network::Mode;

use support::Cluster;
use support::Engine;

const ENGINES: usize = 4;

fn config(version: &str, checks_fencing: bool) -> Config {
    let mut text = format!(
        "[[class]]\nname = \"c\"\ntier = 0\nfirst_token_ms = 500\n\
         [[group]]\nname = \"g\"\nmodels = [\"m\"]\nchecks_fencing = {checks_fencing}\n\
         version = \"{version}\"\nadapters = [\"a1\"]\nrole = \"decode\"\n"
    );
    for i in 0..ENGINES {
        text += &format!(
            "[[upstream]]\nname = \"e{i}\"\ngroup = \"g\"\naddress = \"127.0.0.1:{}\"\n\
             failure_domain = \"a\"\n",
            i + 1
        );
    }
    config::parse(&[Source { name: "test".to_owned(), text }])
        .expect("the configuration should be valid")
}

fn start(checks_fencing: bool, seed: u64) -> Cluster {
    let mut cluster = Cluster::start(3, seed);
    for i in 0..ENGINES {
        let engine = Engine { checks_fencing, ..Engine::default() };
        cluster.engines.insert(format!("e{i}"), engine);
    }
    cluster
}

/// Runs the cluster for a time, with reports of the engines' deployments.
fn advance(cluster: &mut Cluster, seconds: u64) {
    for _ in 0..seconds * 2 {
        cluster.report_deployments();
        cluster.advance(Span::millis(500));
    }
}

fn versions(cluster: &Cluster) -> Vec<&str> {
    cluster.engines.values().map(|e| e.deployment.version.as_str()).collect()
}

/// Returns the router that sent the last order.
fn last_sender(cluster: &Cluster) -> usize {
    cluster.orders.last().expect("an order should have been sent").1
}

/// A new version is published. One router orders it for all engines, two at a time.
#[test]
fn a_group_is_brought_to_its_deployment() {
    // Arrange
    let mut cluster = start(true, 1);
    cluster.network.store.publish(2, &config("v2", true));

    // Act
    advance(&mut cluster, 20);

    // Assert
    assert_eq!(versions(&cluster), vec!["v2"; ENGINES]);
    assert_eq!(cluster.orders.len(), ENGINES);
    let routers: std::collections::BTreeSet<usize> = cluster.orders.iter().map(|o| o.1).collect();
    assert_eq!(routers.len(), 1);
    let first = cluster.orders[0].0;
    assert_eq!(cluster.orders.iter().filter(|o| o.0 == first).count(), 2);
}

/// The leaseholder is paused while its orders are delayed, and another router orders v3 meanwhile.
/// Engines that check fencing tokens must refuse the delayed orders if they arrive after the new
/// ones. For other engines the new leaseholder must wait until the delayed orders have arrived.
#[test]
fn a_paused_leaseholder_does_not_undo_newer_orders() {
    for checks_fencing in [true, false] {
        // Arrange
        let mut cluster = start(checks_fencing, 2);
        cluster.network.store.publish(2, &config("v2", checks_fencing));
        advance(&mut cluster, 2);
        let old = (0..40)
            .find_map(|_| {
                advance(&mut cluster, 1);
                cluster.orders.last().map(|o| o.1)
            })
            .expect("an order should have been sent");
        let late = if checks_fencing { Span::secs(60) } else { order::MAX_ORDER_DELAY };
        cluster.order_delay.insert(old, late);
        cluster.network.store.publish(3, &config("v2b", checks_fencing));
        advance(&mut cluster, 4);

        // Act
        cluster.network.pause(old);
        cluster.network.store.publish(4, &config("v3", checks_fencing));
        advance(&mut cluster, 45);
        let new = last_sender(&cluster);
        cluster.network.resume(old);
        advance(&mut cluster, 90);

        // Assert
        assert_ne!(new, old);
        assert_eq!(versions(&cluster), vec!["v3"; ENGINES], "checks_fencing = {checks_fencing}");
        for (name, engine) in &cluster.engines {
            let last_old = engine.loaded.iter().rposition(|v| v != "v3");
            let first_new = engine.loaded.iter().position(|v| v == "v3");
            assert!(last_old < first_new, "{name}: {:?}", engine.loaded);
        }
    }
}

/// The leaseholder changes several times. Fencing tokens of orders must never decrease, so that the
/// orders of two leaseholders do not overlap.
#[test]
fn orders_of_two_leaseholders_never_overlap() {
    // Arrange
    let mut cluster = start(true, 3);

    // Act
    for version in 2..8 {
        cluster.network.store.publish(version, &config(&format!("v{version}"), true));
        advance(&mut cluster, 12);
        let Some((_, router, _)) = cluster.orders.last().copied() else {
            continue;
        };
        cluster.network.pause(router);
        advance(&mut cluster, 25);
        cluster.network.resume(router);
    }
    advance(&mut cluster, 40);

    // Assert
    let fences: Vec<i64> = cluster.orders.iter().map(|o| o.2).collect();
    assert!(fences.windows(2).all(|w| w[0] <= w[1]), "{fences:?}");
    assert_eq!(versions(&cluster), vec!["v7"; ENGINES]);
}

/// The reply to the write of the lease is lost. The router must find its own write by reading, and
/// hold the lease from the time at which it sent the write.
#[test]
fn a_lost_reply_to_the_lease_is_found_by_reading() {
    // Arrange
    let mut cluster = start(false, 4);
    cluster.network.store.publish(2, &config("v2", false));
    cluster.advance(Span::secs(3));

    // Act
    cluster.network.store.mode = Mode::LoseReplies;
    advance(&mut cluster, 20);

    // Assert
    assert_eq!(versions(&cluster), vec!["v2"; ENGINES]);
}

/// The key-value service is unavailable. No router can verify that it holds the lease, so none may
/// send orders.
#[test]
fn an_outage_stops_orders_when_the_lease_ends() {
    // Arrange
    let mut cluster = start(false, 5);
    cluster.network.store.publish(2, &config("v2", false));
    cluster.advance(Span::secs(5));
    cluster.network.store.mode = Mode::Down;

    // Act
    advance(&mut cluster, 60);

    // Assert
    assert_eq!(cluster.orders, Vec::new());
    assert_eq!(versions(&cluster), vec![""; ENGINES]);
}
