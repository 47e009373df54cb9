//! Listens for clients and serves their connections.
//!
//! A connection is closed when it has been idle for too long, when its head does not arrive in time,
//! when its place is needed, and in a stop after its response in progress. In a stop a closed
//! connection counts as open until the caller has read its response. Connections are accepted also
//! when there is no place for them: what clients send would wait in the kernel otherwise.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use laburnumwheel_core::gateway::config::Limits;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;
use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::body::Payload;
use crate::clock;
use crate::connection::Clients;
use crate::connection::Connection;
use crate::connection::Place;
use crate::connection::RECEIVE_BUFFER_BYTES;
use crate::connection::Socket as Link;
use crate::connection::Table;
use crate::connection::Tracked;
use crate::delegation;
use crate::log::Line;
use crate::shared::Shared;

/// Connections that may wait to be accepted; with a full queue, callers retry only after seconds.
const BACKLOG: i32 = 1_024;
/// Time without acknowledgement of sent data after which a caller counts as gone.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a connection stays open beyond the idle limit, so that a caller that respects the
/// limit never sends a call while the connection is being closed.
const IDLE_SLACK: Span = Span::secs(1);
/// Idle time after which a connection is closed in a stop: a caller that has just connected sends
/// its call within a round trip between failure domains, which takes a few milliseconds.
const STOPPING_IDLE_LIMIT: Span = Span::millis(100);
/// Pause after an error of `accept`, which fails again at once while no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Smallest buffer for the head of a call, in bytes, and what it has beyond the largest head.
const MIN_HEAD_BUFFER_BYTES: usize = 16 << 10;
const HEAD_BUFFER_SLACK_BYTES: usize = 8 << 10;
/// Buffer for the head of a request that is no call, in bytes. The paths and the few headers that
/// such a request needs take some hundred.
const PLAIN_BUFFER_BYTES: usize = 16 << 10;

/// Opens a listening socket.
///
/// # Errors
///
/// Returns the system's error.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Bounds the bytes that wait unread in the kernel for each connection of a listener.
pub fn bound_receive_buffers(listener: &TcpListener) {
    // With the system's buffers, only this bound is missing.
    let _ = SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
}

/// Calls in progress on a connection, and the time of its last activity.
#[derive(Debug)]
struct Activity {
    last: Cell<Time>,
    calls: Cell<usize>,
}

/// A listening socket and the connections that it has accepted.
#[derive(Debug)]
pub struct Listener {
    /// The socket.
    pub socket: TcpListener,
    /// Who connects to it.
    pub clients: Clients,
    /// Its open connections.
    pub table: Arc<Table>,
}

/// Accepts clients and serves their requests with `respond`, forever.
pub async fn serve<F, R>(shared: Shared, listener: Listener, respond: F)
where
    F: Fn(Shared, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Result<Response<Payload>, Infallible>> + 'static,
{
    let Listener { socket, clients, table } = listener;
    let mut is_scarce = false;
    loop {
        let stream = match socket.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                shared.log(Line::new("accept_failed").with("error", e));
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let place = table.make_place().await;
        if place != Place::Free {
            let labels = format!("clients=\"{clients}\",phase=\"{place}\"");
            shared.metrics.count("connections_evicted_total", labels);
        }
        if std::mem::replace(&mut is_scarce, place != Place::Free) != is_scarce {
            let event = if is_scarce { "connections_scarce" } else { "connections_free" };
            shared.log(Line::new(event).with("clients", clients).with("open", table.len()));
        }
        if place != Place::None {
            let link = table.open(stream);
            let connection = connection(shared.clone(), Arc::clone(&table), link, clients, respond);
            tokio::task::spawn_local(connection);
        }
    }
}

async fn connection<F, R>(
    shared: Shared,
    table: Arc<Table>,
    link: Link,
    clients: Clients,
    respond: F,
) where
    F: Fn(Shared, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Result<Response<Payload>, Infallible>> + 'static,
{
    // Errors are ignored: without these options a connection is slower, or outlives its caller.
    let _ = link.stream().set_nodelay(true);
    let _ = SockRef::from(link.stream()).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let counted = Rc::new(Counted { shared: shared.clone(), active: Cell::new(false) });
    if clients == Clients::Callers {
        counted.begin();
    }
    let state = Arc::clone(link.connection());
    let activity = Rc::new(Activity { last: Cell::new(clock::now()), calls: Cell::new(0) });
    let (s, a, c) = (shared.clone(), Rc::clone(&activity), Arc::clone(&state));
    let has_chunks = Rc::new(Cell::new(true));
    let h = Rc::clone(&has_chunks);
    let service = service_fn(move |mut request| {
        if delegation::is_delegated(&request) {
            counted.begin();
        }
        table.end_head(&c);
        h.set(request.version() != Version::HTTP_10);
        let call = c.begin_call();
        request.extensions_mut().insert(Arc::clone(&c));
        let (shared, activity, state) = (s.clone(), Rc::clone(&a), Arc::clone(&c));
        async move {
            let _busy = Busy::new(activity);
            let mut response = respond(shared, request).await?;
            if state.is_wide() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| Tracked::new(body, call)))
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(buffer_bytes(&shared, clients)).auto_date_header(false);
    let mut connection = builder.serve_connection(TokioIo::new(link), service);
    let served = loop {
        let is_head_awaited = state.head_began().is_some();
        tokio::select! {
            biased;
            served = std::future::poll_fn(|cx| poll(&mut connection, cx, &state, is_head_awaited)) => {
                if let Some(served) = served {
                    break served;
                }
                continue;
            }
            () = shared.connections_closing.notified() => {}
            () = tokio::time::sleep(remaining_idle(&shared, &activity)) => {}
            () = tokio::time::sleep(remaining_head(&shared, &state)), if is_head_awaited => {
                // Meanwhile the head may be complete, and another one may have begun.
                if state.head_began().is_some() && remaining_head(&shared, &state).is_zero() {
                    let labels = format!("clients=\"{clients}\"");
                    shared.metrics.count("heads_timed_out_total", labels);
                    return;
                }
            }
        }
        if remaining_idle(&shared, &activity).is_zero() {
            Pin::new(&mut connection).graceful_shutdown();
            activity.last.set(clock::now());
        }
    };
    // A caller that has left causes an error, as a response that is aborted does.
    if served.is_err() && !has_chunks.get() {
        // A regular close is the end of a response without a length (RFC 9112, section 6.3).
        let link = connection.into_parts().io.into_inner();
        let _ = SockRef::from(link.stream()).set_linger(Some(Duration::ZERO));
    } else if served.is_ok() && shared.gateway.borrow().is_stopping() {
        wait_until_read(connection.into_parts().io.into_inner().stream()).await;
    }
}

/// Size of the buffer for heads, in bytes.
fn buffer_bytes(shared: &Shared, clients: Clients) -> usize {
    if clients == Clients::Others {
        return PLAIN_BUFFER_BYTES;
    }
    let limits = shared.gateway.borrow().config().map_or_else(Limits::default, |c| c.limits);
    limits.head.max(MIN_HEAD_BUFFER_BYTES) + HEAD_BUFFER_SLACK_BYTES
}

/// Polls a connection until it ends, or an incomplete head has begun to arrive that is not awaited
/// yet, which is `None`.
fn poll<C: Future + Unpin>(
    connection: &mut C,
    cx: &mut Context<'_>,
    state: &Connection,
    is_head_awaited: bool,
) -> Poll<Option<C::Output>> {
    match Pin::new(connection).poll(cx) {
        Poll::Ready(served) => Poll::Ready(Some(served)),
        Poll::Pending if state.head_began().is_some() && !is_head_awaited => Poll::Ready(None),
        Poll::Pending => Poll::Pending,
    }
}

/// Returns the time that is left for an incomplete head.
fn remaining_head(shared: &Shared, state: &Connection) -> Duration {
    let began = state.head_began().unwrap_or(clock::now());
    let limits = shared.gateway.borrow().config().map_or_else(Limits::default, |c| c.limits);
    clock::until(began + limits.head_time)
}

/// Counts a connection as open until it is dropped.
struct Counted {
    shared: Shared,
    active: Cell<bool>,
}

impl Counted {
    fn begin(&self) {
        if !self.active.replace(true) {
            self.shared.connections.set(self.shared.connections.get() + 1);
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        if self.active.get() {
            self.shared.connections.set(self.shared.connections.get() - 1);
        }
    }
}

/// Waits until the caller has read everything that was written to it.
///
/// If the host's network goes down with the process, data in the system's buffers is lost. A caller
/// that closes the connection, or sends its next call, has read all that came before. The next call
/// is only peeked at: it stays unread, and so has not run.
async fn wait_until_read(stream: &TcpStream) {
    // An error means that the caller has left.
    let _ = stream.peek(&mut [0; 1]).await;
}

/// Returns the time until the connection has been idle for too long; the whole limit during a call.
fn remaining_idle(shared: &Shared, activity: &Activity) -> Duration {
    let gateway = shared.gateway.borrow();
    let limits = gateway.config().map_or_else(Limits::default, |c| c.limits);
    let allowed = match gateway.is_closing(clock::now()) {
        true => STOPPING_IDLE_LIMIT,
        false => limits.idle_time + IDLE_SLACK,
    };
    if activity.calls.get() > 0 {
        return clock::duration(allowed);
    }
    clock::until(activity.last.get() + allowed)
}

/// Counts a call in progress on a connection until it is dropped.
struct Busy(Rc<Activity>);

impl Busy {
    fn new(activity: Rc<Activity>) -> Busy {
        activity.calls.set(activity.calls.get() + 1);
        Busy(activity)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
        self.0.last.set(clock::now());
    }
}
