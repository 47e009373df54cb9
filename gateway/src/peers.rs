//! Heartbeats between gateways, as datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use laburnumwheel_core::gateway::directory::Heartbeat;
use rand::Rng;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::clock;
use crate::log::Line;
use crate::shared::Shared;

/// Time from one heartbeat to the next.
const PERIOD: Duration = Duration::from_millis(250);
/// Peers that get a heartbeat at a time; in a larger fleet they are drawn anew each time.
const FANOUT: usize = 4;
/// Longest wait for an answer: several round trips between failure domains.
const ANSWER: Duration = Duration::from_millis(60);
/// Largest datagram.
const LARGEST: usize = 8_192;

/// A datagram between gateways.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// The sender lives.
    Heartbeat(Box<Heartbeat>),
    /// Has anything changed?
    Question(u64),
    /// What the sender knows.
    Proof(Proof),
}

/// A reader's answer to a question.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Proof {
    /// The question.
    pub question: u64,
    /// Digest of everything that the store held.
    pub digest: u64,
    /// Age of the read that saw it, in microseconds.
    pub age: u64,
}

/// Asks the gateway at `address`, for as long as an answer takes that is worth waiting for.
pub async fn ask(shared: &Shared, socket: &UdpSocket, address: SocketAddr) -> Option<Proof> {
    let question = shared.rng.borrow_mut().random();
    let (sender, answer) = oneshot::channel();
    shared.questions.borrow_mut().insert(question, sender);
    let sent = post(socket, address, &Message::Question(question)).await;
    let answer = match sent {
        true => tokio::time::timeout(ANSWER, answer).await.ok().and_then(Result::ok),
        false => None,
    };
    shared.questions.borrow_mut().remove(&question);
    answer
}

async fn post(socket: &UdpSocket, address: SocketAddr, message: &Message) -> bool {
    match postcard::to_stdvec(message) {
        // Datagrams may be lost; whoever sends them sends more, or falls back.
        Ok(bytes) => socket.send_to(&bytes, address).await.is_ok(),
        Err(_) => false,
    }
}

async fn reply(shared: &Shared, socket: &UdpSocket, from: SocketAddr, question: u64) {
    let age = shared.gateway.borrow().proof_age(clock::now());
    let digest = shared.view.borrow().as_ref().map(|known| known.digest);
    if let (Some(age), Some(digest)) = (age, digest) {
        post(socket, from, &Message::Proof(Proof { question, digest, age: age.0 })).await;
    }
}

/// Sends heartbeats for ever.
pub async fn beat(shared: Shared, socket: std::rc::Rc<UdpSocket>) {
    loop {
        send(&shared, &socket).await;
        tokio::time::sleep(PERIOD).await;
    }
}

/// Sends one heartbeat to some peers.
pub async fn send(shared: &Shared, socket: &UdpSocket) {
    let (heartbeat, mut peers) = {
        let gateway = shared.gateway.borrow();
        (gateway.heartbeat(clock::now()), gateway.peers())
    };
    let message = Message::Heartbeat(Box::new(heartbeat));
    peers.shuffle(&mut *shared.rng.borrow_mut());
    for peer in peers.iter().take(FANOUT) {
        if let Ok(address) = peer.parse::<SocketAddr>() {
            post(socket, address, &message).await;
        }
    }
}

/// Takes heartbeats in for ever.
pub async fn hear(shared: Shared, socket: std::rc::Rc<UdpSocket>) {
    let mut bytes = [0; LARGEST];
    loop {
        let (n, from) = match socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(e) => {
                shared.log(Line::new("heartbeat_failed").with("error", e));
                tokio::time::sleep(PERIOD).await;
                continue;
            }
        };
        match postcard::from_bytes::<Message>(&bytes[..n]) {
            Ok(Message::Heartbeat(heartbeat)) => {
                shared.gateway.borrow_mut().hear(clock::now(), &heartbeat);
            }
            Ok(Message::Question(question)) => reply(&shared, &socket, from, question).await,
            Ok(Message::Proof(proof)) => {
                let waiting = shared.questions.borrow_mut().remove(&proof.question);
                if let Some(sender) = waiting {
                    // Whoever asked may have given up.
                    let _ = sender.send(proof);
                }
            }
            Err(e) => {
                let line = Line::new("heartbeat_malformed").with("from", from);
                shared.log(line.with("error", e));
            }
        }
    }
}
