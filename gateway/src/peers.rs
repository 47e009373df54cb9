//! Heartbeats between gateways, as datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use laburnumwheel_core::gateway::directory::Heartbeat;
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;

use crate::clock;
use crate::log::Line;
use crate::shared::Shared;

/// Time from one heartbeat to the next.
const PERIOD: Duration = Duration::from_millis(250);
/// Peers that get a heartbeat at a time; in a larger fleet they are drawn anew each time.
const FANOUT: usize = 4;
/// Largest datagram.
const LARGEST: usize = 8_192;

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
    let Ok(bytes) = postcard::to_stdvec(&heartbeat) else {
        return;
    };
    peers.shuffle(&mut *shared.rng.borrow_mut());
    for peer in peers.iter().take(FANOUT) {
        if let Ok(address) = peer.parse::<SocketAddr>() {
            // A lost heartbeat is one of many.
            let _ = socket.send_to(&bytes, address).await;
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
        match postcard::from_bytes::<Heartbeat>(&bytes[..n]) {
            Ok(heartbeat) => shared.gateway.borrow_mut().hear(clock::now(), &heartbeat),
            Err(e) => {
                let line = Line::new("heartbeat_malformed").with("from", from);
                shared.log(line.with("error", e));
            }
        }
    }
}
