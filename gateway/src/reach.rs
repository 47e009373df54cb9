//! Reach: probes replicas while connections to them fail, and logs which services are out of reach.

use std::time::Duration;

use laburnumwheel_core::arena::Key;
use laburnumwheel_core::gateway::fleet::Replica;

use crate::channel;
use crate::clock;
use crate::log::Line;
use crate::peers;
use crate::shared::Shared;

/// Time from one round of probes to the next. It bounds the time after the end of a cut in which
/// calls are still delegated.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Records whether a connection to a replica could be opened.
pub fn record(shared: &Shared, replica: Key<Replica>, opened: bool) {
    let was_cut_off = shared.gateway.borrow().is_cut_off();
    let change = shared.gateway.borrow_mut().record_connection(clock::now(), replica, opened);
    if let Some((service, change)) = change {
        shared.log(Line::new("reach").with("service", &service).with("change", change));
        let labels = format!("service=\"{service}\",change=\"{change}\"");
        shared.metrics.count("reach_changes_total", labels);
    }
    if shared.gateway.borrow().is_cut_off() != was_cut_off {
        shared.reach_changed.notify_one();
    }
    if !opened {
        shared.reach_doubted.notify_one();
    }
}

/// Tells peers at once whether this gateway takes callers, forever.
pub async fn announce(shared: Shared) {
    loop {
        shared.reach_changed.notified().await;
        peers::send_heartbeat(&shared).await;
    }
}

/// Probes replicas for as long as this gateway may be unable to reach them, forever.
pub async fn probe(shared: Shared) {
    loop {
        shared.reach_doubted.notified().await;
        loop {
            let probes = shared.gateway.borrow_mut().probes(clock::now());
            if probes.is_empty() && !shared.gateway.borrow().is_any_out_of_reach() {
                break;
            }
            let probes = probes.iter().map(|(replica, address)| open(&shared, *replica, address));
            futures_util::future::join_all(probes).await;
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }
}

/// Opens a connection to a replica and keeps it for the next call.
async fn open(shared: &Shared, replica: Key<Replica>, address: &str) {
    let opened = channel::open(address).await;
    record(shared, replica, opened.is_ok());
    if let Ok(channel) = opened {
        let max_idle = shared.gateway.borrow().max_idle_connections(replica);
        shared.pool.put(replica, channel, None, max_idle);
    }
}
