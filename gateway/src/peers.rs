//! Heartbeats, questions and updates between gateways, as datagrams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use laburnumwheel_core::gateway::directory;
use laburnumwheel_core::gateway::directory::Heartbeat;
use laburnumwheel_core::gateway::leader;
use laburnumwheel_core::gateway::occupancy::Snapshot;
use laburnumwheel_core::gateway::occupancy::Update;
use laburnumwheel_core::gateway::plan::Comparison;
use laburnumwheel_core::gateway::tally::Report;
use laburnumwheel_core::gateway::usage;
use laburnumwheel_core::gateway::view;
use laburnumwheel_core::gateway::wall::WallTime;
use laburnumwheel_core::incarnation::Digest;
use laburnumwheel_core::time::Span;
use rand::Rng;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::clock;
use crate::duty;
use crate::log::Line;
use crate::quarantine;
use crate::shared::Shared;

/// Time from one heartbeat to the next.
const PERIOD: Duration = Duration::from_millis(250);
/// Peers that get a heartbeat at a time; in a larger fleet they are drawn anew each time.
const FANOUT: usize = 4;
/// Longest wait for an answer: several round trips between failure domains.
const ANSWER: Duration = Duration::from_millis(60);
/// Longest wait for an owner's snapshot; a few round trips between failure domains.
const STANDING: Duration = Duration::from_millis(12);
/// Largest datagram.
const LARGEST: usize = 8_192;

/// A datagram between gateways.
#[derive(Debug, Serialize, Deserialize)]
pub enum Message {
    /// The sender lives.
    Heartbeat(Box<Heartbeat>),
    /// Has anything changed?
    ProofRequest(u64),
    /// What the sender knows.
    Proof(Proof),
    /// How are these engines, which you keep?
    SnapshotRequest(u64, Vec<Digest>),
    /// How they are.
    Snapshots(u64, Vec<Snapshot>),
    /// What happened at engines that you keep.
    Updates(Vec<Update>),
    /// What the sender has seen, for you to decide by.
    Report(Report),
    /// Counts of requests, held by the gateway with this short hash.
    Usage(u32, Vec<usage::Batch>),
    /// The gateway with this short hash holds these counts.
    UsageAck(u32, Vec<usage::BatchId>),
}

/// What follows a heartbeat in its datagram. Gateways of releases without it pass over it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trailer {
    /// Time of day of the sender's own clock.
    pub wall: WallTime,
    /// Who leads, as far as the sender knows.
    pub leader: Option<leader::Identity>,
}

/// Decodes a datagram; whatever its bytes, it takes no more memory than a few times its length.
///
/// # Errors
///
/// What can't be understood.
pub fn decode(bytes: &[u8]) -> Result<Message, postcard::Error> {
    decode_with_trailer(bytes).map(|(message, _)| message)
}

/// Decodes a datagram and what follows its message, if anything does.
///
/// # Errors
///
/// What can't be understood of the message.
pub fn decode_with_trailer(bytes: &[u8]) -> Result<(Message, Option<Trailer>), postcard::Error> {
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    Ok((message, postcard::from_bytes(rest).ok()))
}

/// Answers that are waited for, by question.
#[derive(Debug, Default)]
pub struct Pending {
    proofs: BTreeMap<u64, oneshot::Sender<Proof>>,
    snapshots: BTreeMap<u64, oneshot::Sender<Vec<Snapshot>>>,
}

/// A reader's answer to a question.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Proof {
    /// The question.
    pub question: u64,
    /// Digest of everything that the store held.
    pub digest: view::Digest,
    /// Age of the read that saw it, in microseconds.
    pub age_us: u64,
}

/// Asks the gateway at `address`, for as long as an answer takes that is worth waiting for.
pub async fn request_proof(shared: &Shared, address: SocketAddr) -> Option<Proof> {
    let socket = &shared.socket;
    let request = shared.rng.borrow_mut().random();
    let (sender, answer) = oneshot::channel();
    shared.pending.borrow_mut().proofs.insert(request, sender);
    let sent = send(socket, address, &Message::ProofRequest(request)).await;
    let answer = match sent {
        true => tokio::time::timeout(ANSWER, answer).await.ok().and_then(Result::ok),
        false => None,
    };
    shared.pending.borrow_mut().proofs.remove(&request);
    answer
}

/// Queries the owners of engines, by address.
///
/// An answer that takes longer than it is worth is done without.
pub async fn request_snapshots(
    shared: &Shared,
    queries: BTreeMap<Option<String>, Vec<Digest>>,
) -> Vec<Snapshot> {
    let asked = queries.iter().map(|(owner, engines)| query_owner(shared, owner, engines));
    let answers = futures_util::future::join_all(asked).await;
    answers.into_iter().flatten().collect()
}

async fn query_owner(shared: &Shared, owner: &Option<String>, engines: &[Digest]) -> Vec<Snapshot> {
    let Some(owner) = owner else {
        return shared.gateway.borrow_mut().snapshots(clock::now(), engines);
    };
    let Ok(address) = owner.parse() else {
        return Vec::new();
    };
    let request = shared.rng.borrow_mut().random();
    let (sender, answer) = oneshot::channel();
    shared.pending.borrow_mut().snapshots.insert(request, sender);
    let message = Message::SnapshotRequest(request, engines.to_vec());
    let answer = match send(&shared.socket, address, &message).await {
        true => tokio::time::timeout(STANDING, answer).await.ok().and_then(Result::ok),
        false => None,
    };
    shared.pending.borrow_mut().snapshots.remove(&request);
    let heard = if answer.is_some() { "answered" } else { "missed" };
    shared.metrics.count("owner_queries_total", format!("outcome=\"{heard}\""));
    answer.unwrap_or_default()
}

/// Sends updates to the owners of engines, for ever.
pub async fn notify_owners(shared: Shared) {
    loop {
        shared.updates_waiting.notified().await;
        let told = shared.gateway.borrow_mut().drain_updates(clock::now());
        for (owner, updates) in told {
            if let Ok(address) = owner.parse::<SocketAddr>() {
                send(&shared.socket, address, &Message::Updates(updates)).await;
            }
        }
    }
}

/// Sends a message; datagrams may be lost, so senders send more, or fall back.
pub async fn send(socket: &UdpSocket, address: SocketAddr, message: &Message) -> bool {
    match postcard::to_stdvec(message) {
        Ok(bytes) => socket.send_to(&bytes, address).await.is_ok(),
        Err(_) => false,
    }
}

async fn reply(shared: &Shared, from: SocketAddr, request: u64) {
    let age = shared.gateway.borrow().proof_age(clock::now());
    let digest = shared.views.borrow().newest().map(|known| known.digest);
    if let (Some(age), Some(digest)) = (age, digest) {
        let proof = Proof { question: request, digest, age_us: age.0 };
        send(&shared.socket, from, &Message::Proof(proof)).await;
    }
}

/// Sends heartbeats for ever.
pub async fn send_heartbeats(shared: Shared) {
    loop {
        send_heartbeat(&shared).await;
        tokio::time::sleep(PERIOD).await;
    }
}

/// Sends one heartbeat to some peers.
pub async fn send_heartbeat(shared: &Shared) {
    let (heartbeat, mut peers) = {
        let gateway = shared.gateway.borrow();
        (gateway.heartbeat(clock::now()), gateway.peer_addresses())
    };
    let Some(bytes) = encode_heartbeat(shared, heartbeat) else {
        return;
    };
    peers.shuffle(&mut *shared.rng.borrow_mut());
    for peer in peers.iter().take(FANOUT) {
        if let Ok(address) = peer.parse::<SocketAddr>() {
            // The next heartbeat makes up for one that can't be sent.
            let _ = shared.socket.send_to(&bytes, address).await;
        }
    }
}

fn encode_heartbeat(shared: &Shared, heartbeat: Heartbeat) -> Option<Vec<u8>> {
    let message = Message::Heartbeat(Box::new(heartbeat));
    let bytes = postcard::to_stdvec(&message).ok()?;
    let Some(duties) = &shared.duties else {
        return Some(bytes);
    };
    let trailer = Trailer { wall: duty::system_time(), leader: duties.leader() };
    postcard::to_extend(&trailer, bytes).ok()
}

fn take_trailer(shared: &Shared, from: &str, trailer: Option<Trailer>) {
    if let (Some(duties), Some(trailer)) = (&shared.duties, trailer) {
        duties.observe_wall(clock::now(), directory::short_hash(from), trailer.wall);
        if let Some(leader) = trailer.leader {
            duties.observe_leader(leader);
        }
    }
}

/// Reevaluates the quarantine, and sends reports to the decider or decides, for ever.
pub async fn send_reports(shared: Shared) {
    loop {
        let period = shared.gateway.borrow().reporting_period();
        tokio::time::sleep(clock::duration(period)).await;
        let transitions = shared.gateway.borrow_mut().reevaluate_quarantine(clock::now());
        quarantine::log_transitions(&shared, &transitions);
        let report = shared.gateway.borrow_mut().next_report(clock::now());
        if let Some((decider, report)) = report
            && let Ok(address) = decider.parse::<SocketAddr>()
        {
            send(&shared.socket, address, &Message::Report(report)).await;
        }
    }
}

/// Counts how often peers go by the same plans, and how long a new one took to come here.
fn note_plans(shared: &Shared, heard: &[(Comparison, Span)]) {
    for (heard, age) in heard {
        shared.metrics.count("plans_heard_total", format!("plan=\"{heard}\""));
        if *heard == Comparison::Newer {
            shared.metrics.add("plans_delay_ms_total", String::new(), age.as_millis());
        }
    }
}

/// Takes datagrams in for ever.
pub async fn receive(shared: Shared) {
    let mut bytes = [0; LARGEST];
    loop {
        let (n, from) = match shared.socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(e) => {
                shared.log(Line::new("heartbeat_failed").with("error", e));
                tokio::time::sleep(PERIOD).await;
                continue;
            }
        };
        let (message, trailer) = match decode_with_trailer(&bytes[..n]) {
            Ok(decoded) => decoded,
            Err(e) => {
                let line = Line::new("heartbeat_malformed").with("from", from);
                shared.log(line.with("error", e));
                continue;
            }
        };
        match message {
            Message::Heartbeat(heartbeat) => {
                take_trailer(&shared, &heartbeat.entry.name, trailer);
                let heard = shared.gateway.borrow_mut().receive(clock::now(), &heartbeat);
                note_plans(&shared, &heard);
            }
            Message::ProofRequest(request) => reply(&shared, from, request).await,
            Message::Proof(proof) => {
                let waiting = shared.pending.borrow_mut().proofs.remove(&proof.question);
                if let Some(sender) = waiting {
                    // The caller may have given up.
                    let _ = sender.send(proof);
                }
            }
            Message::SnapshotRequest(request, engines) => {
                let now = clock::now();
                let snapshots = shared.gateway.borrow_mut().snapshots(now, &engines);
                send(&shared.socket, from, &Message::Snapshots(request, snapshots)).await;
            }
            Message::Snapshots(request, snapshots) => {
                let waiting = shared.pending.borrow_mut().snapshots.remove(&request);
                if let Some(sender) = waiting {
                    // The caller may have given up.
                    let _ = sender.send(snapshots);
                }
            }
            Message::Updates(updates) => {
                shared.gateway.borrow_mut().record_updates(clock::now(), &updates);
            }
            Message::Report(report) => {
                shared.gateway.borrow_mut().receive_report(clock::now(), &report);
            }
            Message::Usage(sender, batches) => {
                let acks = shared.duties.as_ref().map(|duties| duties.merge(sender, batches));
                if let Some(acks) = acks.filter(|acks| !acks.is_empty()) {
                    let own = directory::short_hash(shared.gateway.borrow().name());
                    send(&shared.socket, from, &Message::UsageAck(own, acks)).await;
                }
            }
            Message::UsageAck(holder, ids) => {
                if let Some(duties) = &shared.duties {
                    duties.record_acks(holder, &ids);
                }
            }
        }
    }
}
