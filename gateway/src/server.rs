//! Listens for callers and serves their connections.
//!
//! A connection is closed when it has been idle for too long, and in a stop after its response in
//! progress. In a stop a closed connection counts as open until the caller has read its response.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
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

/// Calls in progress on a connection, and the time of its last activity.
#[derive(Debug)]
struct Activity {
    last: Cell<Time>,
    calls: Cell<usize>,
}

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clients {
    /// Callers, for whose open connections a stop waits.
    Callers,
    /// Other gateways, for whose connections a stop waits if they carry a delegated call. Those that
    /// fetch views come all the time and would delay it.
    Peers,
}

/// Accepts `clients` on `listener` and serves their requests with `respond`, forever.
pub async fn serve<F, R>(shared: Shared, listener: TcpListener, clients: Clients, respond: F)
where
    F: Fn(Shared, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Result<Response<Payload>, Infallible>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(shared.clone(), stream, clients, respond));
            }
            Err(e) => {
                shared.log(Line::new("accept_failed").with("error", e));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<F, R>(shared: Shared, stream: TcpStream, clients: Clients, respond: F)
where
    F: Fn(Shared, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Result<Response<Payload>, Infallible>> + 'static,
{
    // Errors are ignored: without these options a connection is slower, or outlives its caller.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let counted = Rc::new(Counted { shared: shared.clone(), active: Cell::new(false) });
    if clients == Clients::Callers {
        counted.begin();
    }
    let activity = Rc::new(Activity { last: Cell::new(clock::now()), calls: Cell::new(0) });
    let (s, a) = (shared.clone(), Rc::clone(&activity));
    let service = service_fn(move |request| {
        if delegation::is_delegated(&request) {
            counted.begin();
        }
        let (shared, activity) = (s.clone(), Rc::clone(&a));
        async move {
            let _busy = Busy::new(activity);
            respond(shared, request).await
        }
    });
    let limits = shared.gateway.borrow().config().map_or_else(Limits::default, |c| c.limits);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.head.max(16_384) + 8_192).auto_date_header(false);
    let mut connection = builder.serve_connection(TokioIo::new(stream), service);
    let served = loop {
        tokio::select! {
            served = &mut connection => break served,
            () = shared.connections_closing.notified() => {}
            () = tokio::time::sleep(remaining_idle(&shared, &activity)) => {}
        }
        if remaining_idle(&shared, &activity).is_zero() {
            Pin::new(&mut connection).graceful_shutdown();
            activity.last.set(clock::now());
        }
    };
    // A caller that has left causes an error; its calls have been dropped and logged.
    if served.is_ok() && shared.gateway.borrow().is_stopping() {
        wait_until_read(&connection.into_parts().io.into_inner()).await;
    }
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
