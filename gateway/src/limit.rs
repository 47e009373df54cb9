//! Limits of replicas: obtains permits, answers requests for them, and spreads and logs limits.

use std::net::SocketAddr;
use std::time::Duration;

use laburnumwheel_core::gateway::Grant;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::limit::Change;
use laburnumwheel_core::gateway::limit::Changes;
use laburnumwheel_core::gateway::limit::Record;
use laburnumwheel_core::gateway::limit::issuer::Request;
use laburnumwheel_core::gateway::limit::permit::Permit;
use laburnumwheel_core::gateway::limit::permit::Query;
use laburnumwheel_core::gateway::limit::permit::Reply;
use laburnumwheel_core::time::Span;
use rand::Rng;
use tokio::sync::oneshot;

use crate::clock;
use crate::log::Line;
use crate::peers;
use crate::peers::Message;
use crate::shared::Shared;

/// Timeout of a request for a permit: several round trips between failure domains.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(40);

/// Obtains the permit that a call needs for its replica; `resumes` says whether the caller already
/// has a part of the answer.
pub async fn obtain_permit(
    shared: &Shared,
    grant: &mut Grant,
    pick: &Pick,
    resumes: bool,
) -> Permit {
    let query = shared.gateway.borrow().permit_query(clock::now(), grant, pick, resumes);
    let Some(query) = query else {
        return Permit::Granted(Span(0));
    };
    let reply = send_query(shared, &query).await;
    let now = clock::now();
    let (permit, changes) =
        shared.gateway.borrow_mut().record_reply(now, grant, pick, &query.request, reply);
    log_changes(shared, "issuer", &changes);
    let outcome = match (permit, reply) {
        (Permit::Granted(_), _) => "granted",
        (Permit::Denied, Some(_)) => "denied",
        (Permit::Denied, None) => "missed",
    };
    shared.metrics.count("permits_total", format!("outcome=\"{outcome}\""));
    permit
}

/// Sends a request for a permit to its issuer; `None` if there is no answer in time.
async fn send_query(shared: &Shared, query: &Query) -> Option<Reply> {
    let Some(issuer) = &query.issuer else {
        return Some(issue(shared, &query.request));
    };
    let address: SocketAddr = issuer.parse().ok()?;
    let id = shared.rng.borrow_mut().random();
    let (sender, response) = oneshot::channel();
    shared.pending.borrow_mut().permits.insert(id, sender);
    let message = Message::PermitRequest(id, query.request);
    let reply = match peers::send(&shared.socket, address, &message).await {
        true => tokio::time::timeout(PERMIT_TIMEOUT, response).await.ok().and_then(Result::ok),
        false => None,
    };
    shared.pending.borrow_mut().permits.remove(&id);
    reply
}

/// Decides on a request for a permit.
pub fn issue(shared: &Shared, request: &Request) -> Reply {
    let (reply, changes) = shared.gateway.borrow_mut().issue(clock::now(), request);
    log_changes(shared, "request", &changes);
    reply
}

/// Sends the limits that this gateway knows, if there are any, to the gateways at `addresses`.
pub async fn send_limits(shared: &Shared, addresses: &[SocketAddr]) {
    let limits = shared.gateway.borrow_mut().gossip_limits(clock::now());
    if limits.is_empty() {
        return;
    }
    let message = Message::Limits(limits);
    for address in addresses {
        // Limits that can't be sent are sent again with the next heartbeat.
        peers::send(&shared.socket, *address, &message).await;
    }
}

/// Merges limits that another gateway sent.
pub fn receive(shared: &Shared, limits: &[Record]) {
    let changes = shared.gateway.borrow_mut().receive_limits(clock::now(), limits);
    log_changes(shared, "gossip", &changes);
}

fn log_changes(shared: &Shared, source: &str, changes: &Changes) {
    for (replica, change) in changes {
        log_change(shared, replica, source, *change);
    }
}

/// Logs a change of a replica's limit; `source` says how this gateway learned of it.
pub fn log_change(shared: &Shared, replica: &str, source: &str, change: Change) {
    let rate = |rate: Option<f32>| rate.map_or("none".to_owned(), |rate| rate.to_string());
    let line = Line::new("replica_limit")
        .with("replica", replica)
        .with("from", source)
        .with("before", rate(change.before))
        .with("after", rate(change.after));
    shared.log(line);
    shared.metrics.count("limit_changes_total", format!("from=\"{source}\""));
}
