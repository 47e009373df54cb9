//! Departures: records, spreads and logs that replicas say in their answers that they leave.

use std::net::SocketAddr;

use laburnumwheel_core::gateway::departure::Record;
use laburnumwheel_core::gateway::fleet::Claim;

use crate::clock;
use crate::log::Line;
use crate::peers;
use crate::peers::Message;
use crate::shared::Shared;

/// Records that an answer says that the replica `id` leaves.
pub fn record(shared: &Shared, id: &str, claim: &Claim) {
    let is_new = shared.gateway.borrow_mut().record_departure(clock::now(), claim);
    if is_new {
        log(shared, id, "answer");
        // Calls that wait for a permit of this replica go elsewhere.
        shared.replicas_closing.notify_waiters();
        shared.pool.close(claim.replica);
    }
}

/// Sends the departures that this gateway knows, if there are any, to the gateways at `addresses`.
pub async fn send(shared: &Shared, addresses: &[SocketAddr]) {
    let departures = shared.gateway.borrow_mut().gossip_departures(clock::now());
    if departures.is_empty() {
        return;
    }
    let message = Message::Departures(departures);
    for address in addresses {
        // Departures that can't be sent are sent again with the next heartbeat.
        peers::send(&shared.socket, *address, &message).await;
    }
}

/// Merges departures that another gateway sent.
pub fn receive(shared: &Shared, records: &[Record]) {
    let new = shared.gateway.borrow_mut().receive_departures(clock::now(), records);
    for id in &new {
        log(shared, id, "gossip");
    }
    if !new.is_empty() {
        shared.replicas_closing.notify_waiters();
    }
}

/// Logs that a replica leaves; `source` says how this gateway learned of it.
fn log(shared: &Shared, id: &str, source: &str) {
    shared.log(Line::new("replica_leaving").with("replica", id).with("from", source));
    shared.metrics.count("departures_total", format!("from=\"{source}\""));
}
