//! Connections to replicas.
//!
//! A call that may run once at a plain service always gets a connection of its own: on a kept one
//! that the replica has just dropped, nobody could tell whether it had run. Calls that may be
//! repeated and streams of engines use kept connections: six gateways before nine engines open two
//! in five fewer for it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use laburnumwheel_core::arena::Key;
use laburnumwheel_core::gateway::fleet::Replica;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::clock;

/// Longest wait for a connection: many round trips between failure domains, and well within the
/// shortest objective.
const CONNECT: Duration = Duration::from_millis(250);
/// Data that is not acknowledged for this long means that the peer is gone.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
/// Longest rest of a kept connection; replicas forget them after seconds.
const REST: Span = Span::millis(2_500);
/// Kept connections of one replica.
const KEPT: usize = 6;

/// An open connection; dropping it closes it at once, and the replica stops its work.
#[derive(Debug)]
pub struct Channel {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a connection.
///
/// # Errors
///
/// What the system says, or that it took too long.
pub async fn open(address: &str) -> std::io::Result<Channel> {
    let address: SocketAddr = address.parse().map_err(std::io::Error::other)?;
    let stream = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // Its error reaches the caller of `send_request`.
        let _ = connection.await;
    });
    Ok(Channel { sender, task: task.abort_handle() })
}

/// How long a connection may rest whose replica closes it after `keep_alive` seconds, if stated.
pub fn idle_limit(keep_alive: Option<u64>) -> Span {
    keep_alive.map_or(REST, |s| Span(Span::secs(s).0 / 4 * 3)).min(REST)
}

#[derive(Debug)]
struct Idle {
    channel: Channel,
    until: Time,
}

/// Kept connections by run of the replica.
///
/// A replica may start again under its identity and address. A call that is sent on a connection
/// to its former run is lost without anybody knowing whether it ran; a key of the former run finds
/// none, and neither does one of the next run find those of the former.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<BTreeMap<Key<Replica>, Vec<Idle>>>,
}

impl Pool {
    /// A kept connection to `replica` that looks open.
    pub fn take(&self, replica: Key<Replica>) -> Option<Channel> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&replica)?;
        let now = clock::now();
        while let Some(r) = kept.pop() {
            if now < r.until && r.channel.sender.is_ready() {
                return Some(r.channel);
            }
        }
        None
    }

    /// Keeps a connection whose answer has been read whole.
    pub fn put(&self, replica: Key<Replica>, channel: Channel, keep_alive: Option<u64>) {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, kept| {
            kept.retain(|r| now < r.until && !r.channel.sender.is_closed());
            !kept.is_empty()
        });
        let kept = idle.entry(replica).or_default();
        if kept.len() < KEPT && !channel.sender.is_closed() {
            kept.push(Idle { channel, until: now + idle_limit(keep_alive) });
        }
    }

    /// Closes the connections to replicas that are gone.
    pub fn retain(&self, mut is_there: impl FnMut(Key<Replica>) -> bool) {
        self.idle.borrow_mut().retain(|replica, _| is_there(*replica));
    }

    /// Kept connections.
    pub fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
