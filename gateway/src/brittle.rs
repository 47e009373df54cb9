//! Brittle services: records, spreads and logs that replicas say that they are brittle.

use std::net::SocketAddr;

use laburnumwheel_core::gateway::brittle::Record;
use laburnumwheel_core::gateway::fleet::Claim;

use crate::clock;
use crate::log::Line;
use crate::peers;
use crate::peers::Message;
use crate::shared::Shared;

/// Records that an answer says that its replica is brittle.
pub fn record(shared: &Shared, claim: &Claim) {
    let new = shared.gateway.borrow_mut().record_brittle(clock::now(), claim);
    if let Some(service) = new {
        log(shared, &service, "answer");
    }
}

/// Sends the brittle services that this gateway knows, if there are any, to the gateways at
/// `addresses`.
pub async fn send(shared: &Shared, addresses: &[SocketAddr]) {
    let records = shared.gateway.borrow().gossip_brittle(clock::now());
    if records.is_empty() {
        return;
    }
    let message = Message::Brittle(records);
    for address in addresses {
        // Records that can't be sent are sent again with the next heartbeat.
        peers::send(&shared.socket, *address, &message).await;
    }
}

/// Merges brittle services that another gateway sent.
pub fn receive(shared: &Shared, records: &[Record]) {
    let new = shared.gateway.borrow_mut().receive_brittle(clock::now(), records);
    for service in &new {
        log(shared, service, "gossip");
    }
}

/// Logs that a service is brittle; `source` says how this gateway learned of it.
fn log(shared: &Shared, service: &str, source: &str) {
    shared.log(Line::new("service_brittle").with("service", service).with("from", source));
    shared.metrics.count("brittle_services_total", format!("from=\"{source}\""));
}
