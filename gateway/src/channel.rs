//! Opens connections to replicas and pools idle ones.
//!
//! A call that is not idempotent and goes to a plain service always gets a new connection: if the
//! replica had just closed a pooled one, it would be unknown whether the call ran. Idempotent calls
//! and streams of engines use pooled connections; with these, six gateways open two fifths fewer
//! connections to nine engines.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use laburnumwheel_core::arena::Key;
use laburnumwheel_core::gateway::fleet::Replica;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::clock;
use crate::response;

/// Timeout of connecting: many round trips between failure domains, and well within the shortest
/// objective.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without acknowledgement of sent data after which a peer counts as gone.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time after which a connection to another gateway is probed, and the time between probes. The
/// peer counts as gone once probes have not been acknowledged for [`UNACKNOWLEDGED_TIMEOUT`].
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Receive buffers of the kernel for connections that carry calls, in bytes, if the process's memory
/// is limited. The kernel doubles them. While a caller does not read, so much of its response waits
/// there; larger ones would let some hundred such callers fill the memory of a small host.
const CALL_BUFFERS: Buffers = Buffers { plain: 16 << 10, streams: 8 << 10 };
/// Largest buffer for what has been read of a response and not been passed on, in bytes, under the
/// same condition.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Longest time that a pooled connection stays idle. Replicas close idle connections themselves
/// after some seconds.
const MAX_IDLE: Span = Span::millis(2_500);

/// Sizes of receive buffers, in bytes.
struct Buffers {
    plain: usize,
    streams: usize,
}

/// How much of a response may wait on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// As much as the system allows.
    System,
    /// Little, for a plain response.
    Plain,
    /// Less, for a stream of events.
    Stream,
}

impl Bound {
    /// Bound for a call of a route, in a process whose memory is limited or not.
    pub fn of_call(is_limited: bool, streams: bool) -> Bound {
        match (is_limited, streams) {
            (false, _) => Bound::System,
            (true, false) => Bound::Plain,
            (true, true) => Bound::Stream,
        }
    }

    fn receive_buffer(self) -> Option<u32> {
        match self {
            Bound::System => None,
            Bound::Plain => Some(CALL_BUFFERS.plain as u32),
            Bound::Stream => Some(CALL_BUFFERS.streams as u32),
        }
    }
}

/// An open connection. Dropping it closes it at once, which makes the replica stop its work.
#[derive(Debug)]
pub struct Channel {
    sender: SendRequest<Full<Bytes>>,
    /// Time at which the connection was opened.
    pub opened: Time,
    task: AbortHandle,
}

impl Channel {
    /// Sends a request, and returns the response once its head has arrived. The connection is closed if
    /// the response is invalid.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or the response is invalid.
    pub fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> impl Future<Output = Result<Response<Incoming>, response::Error>> + use<> {
        let (method, task) = (request.method().clone(), self.task.clone());
        let response = self.sender.send_request(request);
        async move {
            let mut response = response.await?;
            match response::validate(&method, &mut response) {
                Ok(_) => Ok(response),
                Err(flaw) => {
                    task.abort();
                    Err(response::Error::Invalid(flaw))
                }
            }
        }
    }

    /// Waits until the connection takes another request; `false` if it does not in time.
    pub async fn becomes_ready(&mut self, timeout: Duration) -> bool {
        tokio::time::timeout(timeout, self.sender.ready()).await.is_ok_and(|ready| ready.is_ok())
    }

    /// Whether the connection is open and takes a request.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
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
/// Returns an error if the address is malformed, the system reports one, or connecting takes longer
/// than 250 ms.
pub async fn open(address: &str) -> std::io::Result<Channel> {
    open_bounded(address, Bound::System).await
}

/// Opens a connection on which only so much of a response waits until it is read.
///
/// # Errors
///
/// The same as for [`open`].
pub async fn open_bounded(address: &str, bound: Bound) -> std::io::Result<Channel> {
    handshake(connect(address, bound).await?, bound).await
}

/// Opens a connection to another gateway. Unlike a replica's, its silence is not noticed by other
/// means: a host that loses power would leave calls without a response until their deadlines.
///
/// # Errors
///
/// The same as for [`open`].
pub async fn open_to_peer(address: &str, bound: Bound) -> std::io::Result<Channel> {
    let stream = connect(address, bound).await?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
    handshake(stream, bound).await
}

async fn connect(address: &str, bound: Bound) -> std::io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(std::io::Error::other)?;
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Some(bytes) = bound.receive_buffer() {
        // With the system's buffer, only the bound on unread bytes is missing.
        let _ = socket.set_recv_buffer_size(bytes);
    }
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address)).await??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    Ok(stream)
}

async fn handshake(stream: TcpStream, bound: Bound) -> std::io::Result<Channel> {
    let mut builder = http1::Builder::new();
    if bound != Bound::System {
        builder.max_buf_size(READ_BUFFER_BYTES);
    }
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // An error is returned by `Channel::send` too.
        let _ = connection.await;
    });
    Ok(Channel { sender, opened: clock::now(), task: task.abort_handle() })
}

/// Returns how long a connection may stay idle if its replica closes it after `keep_alive` seconds.
pub fn idle_limit(keep_alive: Option<u64>) -> Span {
    keep_alive.map_or(MAX_IDLE, |s| Span(Span::secs(s).0 / 4 * 3)).min(MAX_IDLE)
}

#[derive(Debug)]
struct Idle {
    channel: Channel,
    until: Time,
}

/// Idle connections by incarnation of the replica.
///
/// A replica may restart with the same identity and address. If a call were sent on a connection to
/// the former incarnation, it would be lost and unknown whether it ran. The key of one incarnation
/// therefore finds no connection to another.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<BTreeMap<Key<Replica>, Vec<Idle>>>,
}

impl Pool {
    /// Takes an idle connection to `replica` that appears to be open.
    pub fn take(&self, replica: Key<Replica>) -> Option<Channel> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&replica)?;
        let now = clock::now();
        while let Some(c) = connections.pop() {
            if now < c.until && c.channel.is_ready() {
                return Some(c.channel);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response has been read completely; the pool keeps
    /// at most `max_idle` connections of a replica.
    pub fn put(
        &self,
        replica: Key<Replica>,
        channel: Channel,
        keep_alive: Option<u64>,
        max_idle: usize,
    ) {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|c| now < c.until && !c.channel.is_closed());
            !connections.is_empty()
        });
        let connections = idle.entry(replica).or_default();
        if connections.len() < max_idle && !channel.is_closed() {
            connections.push(Idle { channel, until: now + idle_limit(keep_alive) });
        }
    }

    /// Closes the idle connections to a replica.
    pub fn close(&self, replica: Key<Replica>) {
        self.idle.borrow_mut().remove(&replica);
    }

    /// Closes the connections to replicas that are no longer listed.
    pub fn retain(&self, mut is_listed: impl FnMut(Key<Replica>) -> bool) {
        self.idle.borrow_mut().retain(|replica, _| is_listed(*replica));
    }

    /// Number of pooled connections.
    pub fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Whether the pool is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
