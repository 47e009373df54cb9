//! Exchanges messages between gateways, as datagrams.
//!
//! Datagrams may be lost. Heartbeats, reports and usage batches are sent again. After a lost update
//! an owner counts a call for some seconds too long or too short. A request without a response
//! falls back to reading the store or to load reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use laburnumwheel_core::gateway::Crashes;
use laburnumwheel_core::gateway::brittle;
use laburnumwheel_core::gateway::departure;
use laburnumwheel_core::gateway::directory;
use laburnumwheel_core::gateway::directory::Heartbeat;
use laburnumwheel_core::gateway::inversion;
use laburnumwheel_core::gateway::leader;
use laburnumwheel_core::gateway::limit;
use laburnumwheel_core::gateway::liveness::Poll;
use laburnumwheel_core::gateway::liveness::Summary;
use laburnumwheel_core::gateway::occupancy::Snapshot;
use laburnumwheel_core::gateway::occupancy::Update;
use laburnumwheel_core::gateway::origin;
use laburnumwheel_core::gateway::plan::Comparison;
use laburnumwheel_core::gateway::submission::Part;
use laburnumwheel_core::gateway::tally::Report;
use laburnumwheel_core::gateway::usage;
use laburnumwheel_core::gateway::view;
use laburnumwheel_core::gateway::wall::WallTime;
use laburnumwheel_core::incarnation::Digest;
use laburnumwheel_core::time::Span;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::admission;
use crate::brittle as brittle_services;
use crate::cache;
use crate::clock;
use crate::departure as departures;
use crate::duty;
use crate::limit as limits;
use crate::log::Line;
use crate::need;
use crate::origin as origins;
use crate::pace;
use crate::quarantine;
use crate::shared::Shared;
use crate::topic;
use crate::topic::Sender;
use crate::topic::Topic;

/// Pause after a failure to receive.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a proof request: several round trips between failure domains.
const PROOF_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout of a snapshot request: a few round trips between failure domains.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(12);
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8_192;

/// A datagram between gateways.
#[derive(Debug, Serialize, Deserialize)]
pub enum Message {
    /// State of the sender, which shows that it is alive.
    Heartbeat(Box<Heartbeat>),
    /// Asks a reader for its digest of the store; holds an id of the request.
    ProofRequest(u64),
    /// Response to a proof request.
    Proof(Proof),
    /// Asks the owner of these engines for their occupancy; holds an id of the request. Parts of a
    /// prompt may follow, which gateways of earlier releases ignore.
    SnapshotRequest(u64, Vec<Digest>),
    /// Response to the snapshot request with this id. The cached tokens of the prompt may follow.
    Snapshots(u64, Vec<Snapshot>),
    /// Changes at engines, for their owner.
    Updates(Vec<Update>),
    /// Statistics of the sender, for the gateway that decides on isolated pools.
    Report(Report),
    /// Usage counts, sent by the gateway with this short hash.
    Usage(u32, Vec<usage::Batch>),
    /// Acknowledges usage counts that the gateway with this short hash has stored.
    UsageAck(u32, Vec<usage::BatchId>),
    /// Limits of replicas.
    Limits(Vec<limit::Record>),
    /// Asks for a permit for a call to a replica with a limit; holds an id of the request.
    PermitRequest(u64, limit::issuer::Request),
    /// Response to the permit request with this id.
    Permit(u64, limit::permit::Reply),
    /// Departures of replicas, as their answers said.
    Departures(Vec<departure::Record>),
    /// Brittle services, as answers of their replicas said.
    Brittle(Vec<brittle::Record>),
    /// Origins of streams that the sender began.
    Origins(Vec<origin::Record>),
    /// Asks for the origin of a stream; holds an id of the request. The time for which the sender has asked
    /// may follow.
    OriginRequest(u64, origin::Question),
    /// Response to the origin request with this id.
    Origin(u64, origin::Answer),
    /// Parts of prompts that crashed replicas, and crashes that replicas survived.
    Crashes(Crashes),
    /// Message of a topic, with the id of the request if the sender waits for a response.
    Topic(Topic, Option<u64>, Vec<u8>),
    /// Response to the request with this id.
    TopicResponse(u64, Vec<u8>),
}

/// Data after a heartbeat in its datagram, which gateways of earlier releases ignore.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trailer {
    /// Time of day by the sender's clock.
    pub wall: WallTime,
    /// The leader, as far as the sender knows.
    pub leader: Option<leader::Identity>,
}

/// Decodes a datagram. For any bytes, decoding takes at most a few times their length of memory.
///
/// # Errors
///
/// Returns an error if the message is malformed.
pub fn decode(bytes: &[u8]) -> Result<Message, postcard::Error> {
    decode_with_trailer(bytes).map(|(message, _)| message)
}

/// Encodes a message and, if there is one, the data after it, which earlier releases ignore.
fn encode_with(message: &Message, data: Option<impl Serialize>) -> Option<Vec<u8>> {
    let bytes = postcard::to_stdvec(message).ok()?;
    match data {
        Some(data) => postcard::to_extend(&data, bytes).ok(),
        None => Some(bytes),
    }
}

/// Decodes a datagram and its trailer; a missing or malformed trailer is `None`.
///
/// # Errors
///
/// Returns an error if the message is malformed.
pub fn decode_with_trailer(bytes: &[u8]) -> Result<(Message, Option<Trailer>), postcard::Error> {
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    Ok((message, postcard::from_bytes(rest).ok()))
}

/// Requests that wait for a response, by their ids.
#[derive(Debug, Default)]
pub struct Pending {
    proofs: BTreeMap<u64, oneshot::Sender<Proof>>,
    snapshots: BTreeMap<u64, oneshot::Sender<Vec<Snapshot>>>,
    /// Requests for permits.
    pub permits: BTreeMap<u64, oneshot::Sender<limit::permit::Reply>>,
    /// Requests for origins of streams.
    pub origins: BTreeMap<u64, oneshot::Sender<origin::Answer>>,
    /// Requests of topics.
    pub topics: BTreeMap<u64, oneshot::Sender<Vec<u8>>>,
}

/// Proof of what the store held, sent by a reader.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Proof {
    /// Id of the proof request.
    pub question: u64,
    /// Digest of the reader's view of the store.
    pub digest: view::Digest,
    /// Age of the read that found this view, in microseconds.
    pub age_us: u64,
}

/// Requests a proof from the gateway at `address`; `None` if none arrives in time.
pub async fn request_proof(shared: &Shared, address: SocketAddr) -> Option<Proof> {
    let socket = &shared.socket;
    let request = shared.rng.borrow_mut().random();
    let (sender, response) = oneshot::channel();
    shared.pending.borrow_mut().proofs.insert(request, sender);
    let list = shared.views.borrow().newest().map_or(0, |known| known.digest.gateways);
    let poll = shared.gateway.borrow().poll(clock::now(), list);
    if poll.is_some() {
        send_statements(shared, &[address]).await;
    }
    let sent = match encode_with(&Message::ProofRequest(request), poll) {
        Some(bytes) => socket.send_to(&bytes, address).await.is_ok(),
        None => false,
    };
    let proof = match sent {
        true => tokio::time::timeout(PROOF_TIMEOUT, response).await.ok().and_then(Result::ok),
        false => None,
    };
    shared.pending.borrow_mut().proofs.remove(&request);
    proof
}

/// Requests snapshots of engines from their owners, whose addresses are the keys; `None` is this
/// gateway. The snapshots say how much of a prompt with these `parts` the engines have cached.
///
/// Engines whose owner does not respond in time are missing from the result.
pub async fn request_snapshots(
    shared: &Shared,
    queries: BTreeMap<Option<String>, Vec<Digest>>,
    parts: &[Part],
) -> Vec<Snapshot> {
    let requests =
        queries.iter().map(|(owner, engines)| query_owner(shared, owner, engines, parts));
    let snapshots = futures_util::future::join_all(requests).await;
    snapshots.into_iter().flatten().collect()
}

async fn query_owner(
    shared: &Shared,
    owner: &Option<String>,
    engines: &[Digest],
    parts: &[Part],
) -> Vec<Snapshot> {
    let Some(owner) = owner else {
        return shared.gateway.borrow_mut().snapshots_for(clock::now(), engines, parts);
    };
    let Ok(address) = owner.parse::<SocketAddr>() else {
        return Vec::new();
    };
    let request = shared.rng.borrow_mut().random();
    let (sender, response) = oneshot::channel();
    shared.pending.borrow_mut().snapshots.insert(request, sender);
    let message = Message::SnapshotRequest(request, engines.to_vec());
    let sent = match encode_with(&message, (!parts.is_empty()).then_some(parts)) {
        Some(bytes) => shared.socket.send_to(&bytes, address).await.is_ok(),
        None => false,
    };
    let snapshots = match sent {
        true => tokio::time::timeout(SNAPSHOT_TIMEOUT, response).await.ok().and_then(Result::ok),
        false => None,
    };
    shared.pending.borrow_mut().snapshots.remove(&request);
    let outcome = if snapshots.is_some() { "answered" } else { "missed" };
    shared.metrics.count("owner_queries_total", format!("outcome=\"{outcome}\""));
    snapshots.unwrap_or_default()
}

/// Sends updates to the owners of engines, forever.
pub async fn notify_owners(shared: Shared) {
    loop {
        shared.updates_waiting.notified().await;
        let (updates, needs) = {
            let (mut gateway, now) = (shared.gateway.borrow_mut(), clock::now());
            (gateway.drain_updates(now), gateway.drain_needs(now))
        };
        admission::notify(&shared);
        for (owner, bytes) in need::encode_updates(updates, needs) {
            if let Ok(address) = owner.parse::<SocketAddr>() {
                // After a lost update the owner counts a call for some seconds too long or too short.
                let _ = shared.socket.send_to(&bytes, address).await;
            }
        }
    }
}

/// Sends a message; returns whether it was handed to the network, which may still lose it.
pub async fn send(socket: &UdpSocket, address: SocketAddr, message: &Message) -> bool {
    match postcard::to_stdvec(message) {
        Ok(bytes) => socket.send_to(&bytes, address).await.is_ok(),
        Err(_) => false,
    }
}

/// Sends a message and data after it, which earlier releases ignore; see [`send`].
pub async fn send_with(
    socket: &UdpSocket,
    address: SocketAddr,
    message: &Message,
    data: impl Serialize,
) -> bool {
    match encode_with(message, Some(data)) {
        Some(bytes) => socket.send_to(&bytes, address).await.is_ok(),
        None => false,
    }
}

/// Answers a question for a proof. A gateway of a large fleet, which stated its demand with the
/// question, also gets a summary of what the other gateways stated.
async fn send_proof(shared: &Shared, from: SocketAddr, request: u64, poll: Option<Poll>) {
    if let Some(poll) = &poll {
        shared.gateway.borrow_mut().receive_poll(clock::now(), poll);
    }
    let summary = poll.map(|poll| {
        let views = shared.views.borrow();
        let known = view::Digest { gateways: poll.list, ..view::Digest::default() };
        let base = views.base(known);
        shared.gateway.borrow().summary(clock::now(), base.digest.gateways, base.gateways)
    });
    let age = shared.gateway.borrow().proof_age(clock::now());
    let digest = shared.views.borrow().newest().map(|known| known.digest);
    let proof = match (age, digest) {
        (Some(age), Some(digest)) => Proof { question: request, digest, age_us: age.0 },
        // Tells a starting gateway that this one runs, although it proves nothing yet.
        _ => Proof { question: request, digest: view::Digest::default(), age_us: u64::MAX },
    };
    if summary.is_some() {
        send_statements(shared, &[from]).await;
    }
    if let Some(bytes) = encode_with(&Message::Proof(proof), summary) {
        // A lost answer is asked for again.
        let _ = shared.socket.send_to(&bytes, from).await;
    }
}

/// Merges what a reader added to its proof.
fn receive_summary(shared: &Shared, summary: &Summary) {
    let views = shared.views.borrow();
    let Some(newest) = views.newest() else {
        return;
    };
    let (list, entries) = (newest.digest.gateways, &newest.view.gateways);
    let comparisons =
        shared.gateway.borrow_mut().receive_summary(clock::now(), list, entries, summary);
    count_plans(shared, &comparisons);
}

/// Sends heartbeats, forever.
pub async fn send_heartbeats(shared: Shared) {
    loop {
        origins::replicate(&shared).await;
        send_heartbeat(&shared).await;
        let interval = {
            let gateway = shared.gateway.borrow();
            gateway.heartbeat_interval(gateway.readers(clock::now()).is_own)
        };
        tokio::time::sleep(clock::duration(interval)).await;
    }
}

/// Sends one heartbeat to a few random peers, mostly of the own failure domain; a reader of a large
/// fleet also sends it to all other readers, which collect the liveness of gateways together.
pub async fn send_heartbeat(shared: &Shared) {
    let (round, whole, brief) = {
        let gateway = shared.gateway.borrow();
        let now = clock::now();
        let round = gateway.heartbeat_round(now, &mut *shared.rng.borrow_mut());
        let whole = gateway.heartbeat(now);
        let brief = gateway.brief(&whole);
        (round, whole, brief)
    };
    send_copies(shared, "whole", &round.whole, whole).await;
    send_copies(shared, "brief", &round.brief, brief).await;
    let peers = round.informed.iter();
    let peers: Vec<SocketAddr> = peers.filter_map(|peer| peer.parse().ok()).collect();
    send_statements(shared, &peers).await;
}

async fn send_copies(shared: &Shared, copy: &str, peers: &[String], heartbeat: Heartbeat) {
    let Some(bytes) = encode_heartbeat(shared, heartbeat) else {
        return;
    };
    for peer in peers.iter().filter_map(|peer| peer.parse::<SocketAddr>().ok()) {
        // A heartbeat that can't be sent is replaced by the next one.
        let _ = shared.socket.send_to(&bytes, peer).await;
        let labels = || format!("copy=\"{copy}\"");
        shared.metrics.add("heartbeat_bytes_total", labels(), bytes.len() as u64);
        shared.metrics.count("heartbeats_total", labels());
    }
}

/// Sends what replicas state in their answers to the gateways at `addresses`.
async fn send_statements(shared: &Shared, addresses: &[SocketAddr]) {
    limits::send_limits(shared, addresses).await;
    departures::send(shared, addresses).await;
    brittle_services::send(shared, addresses).await;
    quarantine::send_crashes(shared, addresses).await;
}

fn encode_heartbeat(shared: &Shared, heartbeat: Heartbeat) -> Option<Vec<u8>> {
    let message = Message::Heartbeat(Box::new(heartbeat));
    let bytes = postcard::to_stdvec(&message).ok()?;
    let inversions = shared.gateway.borrow().inversions(clock::now());
    let leader = shared.duties.as_ref().and_then(|duties| duties.leader());
    let trailer = Trailer { wall: duty::system_time(), leader };
    match shared.duties.is_some() || !inversions.is_empty() {
        true => encode_trailer(bytes, &trailer, &inversions),
        false => Some(bytes),
    }
}

/// Appends a trailer and, if there are any, the decider's statements on inversions after it, which
/// gateways of earlier releases ignore.
pub fn encode_trailer(
    bytes: Vec<u8>,
    trailer: &Trailer,
    inversions: &[inversion::Record],
) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(trailer, bytes).ok()?;
    match inversions {
        [] => Some(bytes),
        _ => postcard::to_extend(inversions, bytes).ok(),
    }
}

/// Decodes what follows a heartbeat: the trailer and the statements on inversions. What is missing
/// or malformed is `None` or empty.
pub fn decode_trailer(bytes: &[u8]) -> (Option<Trailer>, Vec<inversion::Record>) {
    match postcard::take_from_bytes(bytes) {
        Ok((trailer, rest)) => (Some(trailer), postcard::from_bytes(rest).unwrap_or_default()),
        Err(_) => (None, Vec::new()),
    }
}

fn receive_trailer(shared: &Shared, from: &str, bytes: &[u8]) {
    let (trailer, inversions) = decode_trailer(bytes);
    shared.gateway.borrow_mut().receive_inversions(clock::now(), &inversions);
    if let (Some(duties), Some(trailer)) = (&shared.duties, trailer) {
        duties.observe_wall(clock::now(), directory::short_hash(from), trailer.wall);
        if let Some(leader) = trailer.leader {
            duties.observe_leader(leader);
        }
    }
}

/// Reevaluates the quarantine and sends a report to the decider of the plans in each reporting
/// period, forever. If this gateway is the decider, it updates the plans instead of sending a
/// report.
pub async fn send_reports(shared: Shared) {
    loop {
        let period = shared.gateway.borrow().reporting_period();
        tokio::time::sleep(clock::duration(period)).await;
        let transitions = shared.gateway.borrow_mut().reevaluate_quarantine(clock::now());
        quarantine::log_transitions(&shared, &transitions);
        let transitions = shared.gateway.borrow_mut().reevaluate_parts(clock::now());
        quarantine::log_part_transitions(&shared, &transitions);
        let report = shared.gateway.borrow_mut().next_report(clock::now());
        pace::log_changes(&shared);
        if let Some((decider, report)) = report
            && let Ok(address) = decider.parse::<SocketAddr>()
        {
            send(&shared.socket, address, &Message::Report(report)).await;
        }
    }
}

/// Counts how often peers follow the same plans, and how long new ones took to arrive.
fn count_plans(shared: &Shared, comparisons: &[(Comparison, Span)]) {
    for (comparison, age) in comparisons {
        shared.metrics.count("plans_heard_total", format!("plan=\"{comparison}\""));
        if *comparison == Comparison::Newer {
            shared.metrics.add("plans_delay_ms_total", String::new(), age.as_millis());
        }
    }
}

/// Receives and handles datagrams, forever.
pub async fn receive(shared: Shared) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (n, from) = match shared.socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(e) => {
                shared.log(Line::new("heartbeat_failed").with("error", e));
                tokio::time::sleep(RETRY_INTERVAL).await;
                continue;
            }
        };
        let (message, rest) = match postcard::take_from_bytes(&bytes[..n]) {
            Ok(decoded) => decoded,
            Err(e) => {
                let line = Line::new("heartbeat_malformed").with("from", from);
                shared.log(line.with("error", e));
                continue;
            }
        };
        shared.gateway.borrow_mut().record_contact(clock::now());
        match message {
            Message::Heartbeat(heartbeat) => {
                receive_trailer(&shared, &heartbeat.entry.name, rest);
                let comparisons = shared.gateway.borrow_mut().receive(clock::now(), &heartbeat);
                count_plans(&shared, &comparisons);
            }
            Message::ProofRequest(request) => {
                let poll = postcard::from_bytes(rest).ok();
                send_proof(&shared, from, request, poll).await;
            }
            Message::Proof(proof) => {
                if let Ok(summary) = postcard::from_bytes(rest) {
                    receive_summary(&shared, &summary);
                }
                let waiting = shared.pending.borrow_mut().proofs.remove(&proof.question);
                if let Some(sender) = waiting {
                    // The request may have timed out.
                    let _ = sender.send(proof);
                }
            }
            Message::SnapshotRequest(request, engines) => {
                let now = clock::now();
                let parts = cache::decode_parts(rest);
                let snapshots = shared.gateway.borrow_mut().snapshots_for(now, &engines, &parts);
                if let Some(bytes) = need::encode_snapshots(request, snapshots) {
                    // A request without a response falls back to load reports.
                    let _ = shared.socket.send_to(&bytes, from).await;
                }
            }
            Message::Snapshots(request, mut snapshots) => {
                need::merge_snapshots(&mut snapshots, rest);
                let waiting = shared.pending.borrow_mut().snapshots.remove(&request);
                if let Some(sender) = waiting {
                    // The request may have timed out.
                    let _ = sender.send(snapshots);
                }
            }
            Message::Limits(records) => limits::receive(&shared, &records),
            Message::Departures(records) => departures::receive(&shared, &records),
            Message::Brittle(records) => brittle_services::receive(&shared, &records),
            Message::Crashes(crashes) => {
                shared.gateway.borrow_mut().receive_crashes(clock::now(), &crashes);
            }
            Message::Origins(records) => {
                shared.gateway.borrow_mut().receive_origins(clock::now(), &records);
            }
            Message::OriginRequest(request, question) => {
                let answer = origins::answer(&shared, &question, rest);
                send(&shared.socket, from, &Message::Origin(request, answer)).await;
            }
            Message::Origin(request, answer) => {
                let waiting = shared.pending.borrow_mut().origins.remove(&request);
                if let Some(sender) = waiting {
                    // The request may have timed out.
                    let _ = sender.send(answer);
                }
            }
            Message::PermitRequest(request, permit) => {
                let reply = limits::issue(&shared, &permit);
                send(&shared.socket, from, &Message::Permit(request, reply)).await;
            }
            Message::Permit(request, reply) => {
                let waiting = shared.pending.borrow_mut().permits.remove(&request);
                if let Some(sender) = waiting {
                    // The request may have timed out.
                    let _ = sender.send(reply);
                }
            }
            Message::Updates(updates) => {
                let mut gateway = shared.gateway.borrow_mut();
                gateway.record_updates(clock::now(), &updates);
                gateway.record_needs(&need::decode_needs(rest));
                drop(gateway);
                admission::notify(&shared);
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
            Message::Topic(topic, request, content) => {
                topic::receive(&shared, Sender { address: from, request }, topic, &content);
            }
            Message::TopicResponse(request, content) => {
                let waiting = shared.pending.borrow_mut().topics.remove(&request);
                if let Some(sender) = waiting {
                    // The request may have timed out.
                    let _ = sender.send(content);
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
