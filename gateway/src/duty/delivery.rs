//! Delivers usage batches to the leader and to a backup.

use std::net::SocketAddr;
use std::time::Duration;

use laburnumwheel_core::gateway::directory;

use super::State;
use super::system_time;
use crate::clock;
use crate::peers;
use crate::peers::Message;
use crate::shared::Shared;

/// Shortest time from one delivery of usage batches to the next.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between deliveries, multiplied by the number of gateways in the fleet. With it the
/// leader receives at most 500 datagrams a second.
const INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(2);

/// Delivers usage batches repeatedly and never returns if usage reports are a duty.
pub async fn deliver_usage(shared: Shared) {
    let Some(duties) = &shared.duties else {
        return;
    };
    if duties.options.usage.is_none() {
        return;
    }
    loop {
        let gateways = shared.gateway.borrow().gateway_count() as u32;
        tokio::time::sleep(MIN_INTERVAL.max(INTERVAL_PER_GATEWAY * gateways)).await;
        deliver(&shared, duties).await;
    }
}

/// Sends the batches that the leader or the backup has not acknowledged yet.
pub(super) async fn deliver(shared: &Shared, duties: &State) {
    let now = clock::now();
    duties.wall.borrow_mut().refresh(now, system_time());
    let wall = duties.wall.borrow().at(now);
    let leader = duties.leader.get();
    let token = leader.map_or(0, |leader| leader.token);
    let (own_hash, leader_address, backup) = {
        let gateway = shared.gateway.borrow();
        let own_hash = directory::short_hash(gateway.name());
        let leader = leader.map(|leader| leader.gateway).filter(|leader| *leader != own_hash);
        let address = leader.and_then(|leader| gateway.directory().address(leader));
        let backup = gateway.directory().backup(now, gateway.name(), leader);
        let backup = backup.map(|(hash, address)| (hash, address.to_owned()));
        (own_hash, leader.zip(address.map(str::to_owned)), backup)
    };
    let mut messages = Vec::new();
    if let Some(collector) = duties.usage.borrow_mut().as_mut() {
        collector.flush(wall, token);
        if let Some((leader, address)) = leader_address {
            messages.push((address, collector.pending_for_leader(leader, token)));
        }
        if let Some((backup, address)) = backup {
            messages.push((address, collector.pending_for_backup(backup)));
        }
    }
    for (address, batches) in messages.into_iter().filter(|(_, batches)| !batches.is_empty()) {
        if let Ok(address) = address.parse::<SocketAddr>() {
            peers::send(&shared.socket, address, &Message::Usage(own_hash, batches)).await;
        }
    }
}
