//! Open connections of a listener: what each of them does, how many there may be, and which one is
//! closed when another needs its place.
//!
//! A full [`Table`] closes the connection that serves its client least: one on which no complete call
//! has ever arrived, then the one that has been idle for longest, then the one that has been sending
//! a body for longest. Connections with a call in progress stay; if all have one, the new connection
//! is closed unread. Each listener has a table of its own, so that no client of one listener takes
//! the descriptors of another.

use std::io::Error;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use derive_more::Display;
use futures_util::task::AtomicWaker;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;
use laburnumwheel_core::arena::Arena;
use laburnumwheel_core::arena::Key;
use laburnumwheel_core::time::Time;
use rustix::process::Resource;
use rustix::process::getrlimit;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::clock;

/// Receive buffer of the kernel for a connection, in bytes. The kernel doubles it for its own
/// records, and may hold nearly all of that unread. With a larger one, a thousand clients that send
/// while their calls are in progress fill the memory of a small host; with a smaller one, a head of
/// the largest size takes several round trips.
pub const RECEIVE_BUFFER_BYTES: usize = 8 << 10;
/// The same for a connection with a long body. With a smaller one, a body of some megabytes from
/// another region exceeds the time that callers have for it.
const WIDE_RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Most bytes that the kernel holds unread for a connection with a long body.
pub const WIDE_WINDOW_BYTES: usize = 2 * WIDE_RECEIVE_BUFFER_BYTES;

/// Descriptors that are not for connections, such as files; at most half of all.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Descriptors of the process if the system states no limit.
const DEFAULT_DESCRIPTORS: u64 = 65_536;
/// Share of the other descriptors that callers may take, as a fraction. Each call needs a connection
/// to a replica too: with a larger share, callers would take the descriptors for these.
const CALLERS_RATIO: (u64, u64) = (5, 16);
/// The same for peers, which delegate calls and fetch views.
const PEERS_RATIO: (u64, u64) = (1, 8);
/// The same for each other listener.
const OTHERS_RATIO: (u64, u64) = (1, 16);
/// Memory for one connection, its buffers in the kernel and its call, in bytes. It bounds the
/// connections of a process that may open far more descriptors than it has memory for.
const CONNECTION_BYTES: u64 = 64 << 10;
/// Divisors of the process's memory that bound the bytes of incomplete heads of callers, and of the
/// clients of each other listener.
const HEADS_DIVISOR: usize = 16;
const OTHER_HEADS_DIVISOR: usize = 64;

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Clients {
    /// Callers, for whose open connections a stop waits.
    Callers,
    /// Other gateways, for whose connections a stop waits if they carry a delegated call. Those that
    /// fetch views come all the time and would delay it.
    Peers,
    /// Clients whose requests are answered at once, such as readiness checks.
    Others,
}

/// What a connection is used for at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display(rename_all = "snake_case")]
pub enum Phase {
    /// No complete head has ever arrived on it.
    Unused,
    /// No call is in progress.
    Idle,
    /// The body of a call is arriving.
    Body,
    /// A call is in progress, or its response has not been sent.
    Busy,
}

/// State of one connection. Calls on it find it in the extensions of their requests.
#[derive(Debug)]
pub struct Connection {
    /// Time of the last change of phase, or since when an incomplete head has been arriving, in
    /// microseconds.
    since: AtomicU64,
    /// Bytes of a head that is not complete.
    head: AtomicUsize,
    bodies: AtomicUsize,
    calls: AtomicUsize,
    is_used: AtomicBool,
    is_kept: AtomicBool,
    is_unsent: AtomicBool,
    is_wide: AtomicBool,
    is_window_set: AtomicBool,
    /// A response is being sent that ends with the connection.
    is_unframed: AtomicBool,
    is_reset_set: AtomicBool,
    is_evicted: AtomicBool,
    reader: AtomicWaker,
}

impl Connection {
    fn new(now: Time) -> Connection {
        Connection {
            since: AtomicU64::new(now.0),
            head: AtomicUsize::new(0),
            bodies: AtomicUsize::new(0),
            calls: AtomicUsize::new(0),
            is_used: AtomicBool::new(false),
            is_kept: AtomicBool::new(false),
            is_unsent: AtomicBool::new(false),
            is_wide: AtomicBool::new(false),
            is_window_set: AtomicBool::new(false),
            is_unframed: AtomicBool::new(false),
            is_reset_set: AtomicBool::new(false),
            is_evicted: AtomicBool::new(false),
            reader: AtomicWaker::new(),
        }
    }

    /// What the connection is used for.
    pub fn phase(&self) -> Phase {
        if self.bodies.load(Ordering::Relaxed) > 0 {
            Phase::Body
        } else if self.calls.load(Ordering::Relaxed) > 0
            || self.is_unsent.load(Ordering::Relaxed)
            || self.is_kept.load(Ordering::Relaxed)
        {
            Phase::Busy
        } else if self.is_used.load(Ordering::Relaxed) {
            Phase::Idle
        } else {
            Phase::Unused
        }
    }

    /// Time at which an incomplete head began to arrive; `None` if there is none.
    pub fn head_began(&self) -> Option<Time> {
        (self.head.load(Ordering::Relaxed) > 0).then(|| self.since())
    }

    /// Keeps the connection open when others need its place, since its client has proved who it is.
    pub fn keep(&self) {
        self.is_kept.store(true, Ordering::Relaxed);
    }

    /// Has the connection closed: its next read fails.
    fn evict(&self) {
        self.is_evicted.store(true, Ordering::Relaxed);
        self.reader.wake();
    }

    /// Begins a call, whose head is complete.
    pub fn begin_call(self: &Arc<Connection>) -> Call {
        self.is_used.store(true, Ordering::Relaxed);
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.touch();
        Call(Arc::clone(self))
    }

    /// Begins to read the body of a call.
    pub fn begin_body(self: &Arc<Connection>) -> Body {
        self.bodies.fetch_add(1, Ordering::Relaxed);
        self.touch();
        Body(Arc::clone(self))
    }

    /// Lets more of a long body wait in the kernel. The connection is closed after its call, since
    /// the kernel does not take back what a client may already send.
    pub fn widen(&self) {
        self.is_wide.store(true, Ordering::Relaxed);
    }

    /// Whether the connection was used for a long body.
    pub fn is_wide(&self) -> bool {
        self.is_wide.load(Ordering::Relaxed)
    }

    fn since(&self) -> Time {
        Time(self.since.load(Ordering::Relaxed))
    }

    fn touch(&self) {
        self.since.store(clock::now().0, Ordering::Relaxed);
    }
}

/// A call in progress, until it is dropped.
#[derive(Debug)]
pub struct Call(Arc<Connection>);

impl Drop for Call {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Ordering::Relaxed);
        self.0.touch();
    }
}

/// The body of a response, with which its call ends.
#[derive(Debug)]
pub struct Tracked<B> {
    body: B,
    call: Call,
    is_unframed: bool,
}

impl<B> Tracked<B> {
    /// The body of the response to `call`.
    pub fn new(body: B, call: Call) -> Tracked<B> {
        Tracked { body, call, is_unframed: false }
    }

    /// The same for a body that ends with the connection. Until it is complete, the connection is
    /// reset when it is closed, also by the end of the process: its client would take the end of the
    /// connection for the end of the body.
    pub fn unframed(body: B, call: Call) -> Tracked<B> {
        Tracked { body, call, is_unframed: true }
    }
}

impl<B: HttpBody + Unpin> HttpBody for Tracked<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if self.is_unframed {
            let is_complete = matches!(polled, Poll::Ready(None));
            self.call.0.is_unframed.store(!is_complete, Ordering::Relaxed);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A body that is arriving, until this is dropped.
#[derive(Debug)]
pub struct Body(Arc<Connection>);

impl Drop for Body {
    fn drop(&mut self) {
        self.0.bodies.fetch_sub(1, Ordering::Relaxed);
        self.0.touch();
    }
}

/// Most connections of a listener, and most bytes of incomplete heads on them.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Connections.
    pub connections: usize,
    /// Bytes of incomplete heads.
    pub head_bytes: usize,
}

/// Limits of the process; without one, the system's limit applies.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limits {
    /// Descriptors that it may open.
    pub descriptors: Option<u64>,
    /// Memory that it may take, in bytes.
    pub memory: Option<u64>,
}

impl Limits {
    /// What a listener for `clients` may take.
    pub fn capacity(self, clients: Clients) -> Capacity {
        let system = || getrlimit(Resource::Nofile).current;
        let descriptors = self.descriptors.or_else(system).unwrap_or(DEFAULT_DESCRIPTORS);
        let sockets = descriptors - (descriptors / 2).min(RESERVED_DESCRIPTORS);
        let (numerator, denominator) = match clients {
            Clients::Callers => CALLERS_RATIO,
            Clients::Peers => PEERS_RATIO,
            Clients::Others => OTHERS_RATIO,
        };
        let by_descriptors = sockets * numerator / denominator;
        let by_memory = self.memory.map_or(u64::MAX, |bytes| bytes / CONNECTION_BYTES);
        let divisor = match clients {
            Clients::Callers => HEADS_DIVISOR,
            Clients::Peers | Clients::Others => OTHER_HEADS_DIVISOR,
        };
        let head_bytes = self.memory.map_or(usize::MAX, |bytes| bytes as usize / divisor);
        Capacity { connections: by_descriptors.min(by_memory).max(1) as usize, head_bytes }
    }
}

/// Whether there is a place for a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Place {
    /// There is.
    #[display("free")]
    Free,
    /// There is, since a connection is closed that was in this phase.
    #[display("{_0}")]
    Evicted(Phase),
    /// There is none.
    #[display("busy")]
    None,
}

/// Open connections of a listener.
#[derive(Debug)]
pub struct Table {
    open: Mutex<Arena<Arc<Connection>>>,
    /// Number of open connections without those that are about to be closed.
    occupied: AtomicUsize,
    capacity: Capacity,
    head_bytes: AtomicUsize,
}

impl Table {
    /// A table without connections.
    pub fn new(capacity: Capacity) -> Arc<Table> {
        Arc::new(Table {
            open: Mutex::new(Arena::default()),
            occupied: AtomicUsize::new(0),
            capacity,
            head_bytes: AtomicUsize::new(0),
        })
    }

    fn connections(&self) -> MutexGuard<'_, Arena<Arc<Connection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of open connections without those that are about to be closed.
    pub fn len(&self) -> usize {
        self.occupied.load(Ordering::Relaxed)
    }

    /// Whether there are no open connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Finds a place for a new connection. If there is none, the connection is closed that serves its
    /// client least.
    pub async fn make_place(&self) -> Place {
        if self.len() < self.capacity.connections {
            return Place::Free;
        }
        let evicted = self.evict_where(|_| true);
        // The connection closes its socket before the next one is accepted.
        tokio::task::yield_now().await;
        evicted.map_or(Place::None, Place::Evicted)
    }

    fn evict_where(&self, condition: impl Fn(&Connection) -> bool) -> Option<Phase> {
        let open = self.connections();
        let candidates = open.iter().map(|(_, connection)| (connection.phase(), connection));
        let candidates = candidates.filter(|(phase, c)| {
            *phase != Phase::Busy && !c.is_evicted.load(Ordering::Relaxed) && condition(c)
        });
        let (phase, victim) = candidates.min_by_key(|(phase, c)| (*phase, c.since()))?;
        victim.evict();
        self.occupied.fetch_sub(1, Ordering::Relaxed);
        Some(phase)
    }

    /// Adds a connection. It is removed when its socket is dropped.
    pub fn open(self: &Arc<Table>, stream: TcpStream) -> Socket {
        let connection = Arc::new(Connection::new(clock::now()));
        let key = self.connections().insert(Arc::clone(&connection));
        self.occupied.fetch_add(1, Ordering::Relaxed);
        Socket { stream, connection, table: Arc::clone(self), key }
    }

    fn record_head(&self, connection: &Connection, bytes: usize) {
        if connection.head.fetch_add(bytes, Ordering::Relaxed) == 0 {
            connection.touch();
        }
        let all = self.head_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if all > self.capacity.head_bytes {
            self.evict_where(|connection| connection.head_began().is_some());
        }
    }

    /// Records that the head on a connection is complete, or will never be.
    pub fn end_head(&self, connection: &Connection) {
        let bytes = connection.head.swap(0, Ordering::Relaxed);
        self.head_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// The socket of a connection, which records what arrives and is sent.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    connection: Arc<Connection>,
    table: Arc<Table>,
    key: Key<Arc<Connection>>,
}

impl Socket {
    /// State of the connection.
    pub fn connection(&self) -> &Arc<Connection> {
        &self.connection
    }

    /// The socket itself.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Records that what has arrived is not an incomplete head.
    pub fn end_head(&self) {
        self.table.end_head(&self.connection);
    }

    /// Sets whether the connection is reset when it is closed.
    fn set_reset(&self) {
        let resets = self.connection.is_unframed.load(Ordering::Relaxed);
        if self.connection.is_reset_set.swap(resets, Ordering::Relaxed) != resets {
            // Fails only if the connection has broken already.
            let _ = SockRef::from(&self.stream).set_linger(resets.then_some(Duration::ZERO));
        }
    }

    fn set_window(&self) {
        if self.connection.is_wide() && !self.connection.is_window_set.swap(true, Ordering::Relaxed)
        {
            // With a small buffer a body only takes longer.
            let _ = SockRef::from(&self.stream).set_recv_buffer_size(WIDE_RECEIVE_BUFFER_BYTES);
        }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.table.end_head(&self.connection);
        let mut open = self.table.connections();
        open.remove(self.key);
        if !self.connection.is_evicted.load(Ordering::Relaxed) {
            self.table.occupied.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        self.connection.reader.register(cx.waker());
        if self.connection.is_evicted.load(Ordering::Relaxed) {
            return Poll::Ready(Err(Error::new(ErrorKind::ConnectionAborted, "evicted")));
        }
        self.set_window();
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        if bytes > 0 && self.connection.phase() < Phase::Body {
            self.table.record_head(&self.connection, bytes);
        }
        polled
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.connection.is_unsent.store(true, Ordering::Relaxed);
        self.set_reset();
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.connection.is_unsent.store(true, Ordering::Relaxed);
        self.set_reset();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Flushing comes after everything has been written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.connection.is_unsent.store(false, Ordering::Relaxed);
        self.set_reset();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.set_reset();
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
