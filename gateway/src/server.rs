//! Listeners for callers, for the directory, for readiness and for metrics.

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
use crate::log::Line;
use crate::shared::Shared;

/// Connections that wait to be accepted; a full queue costs callers seconds.
const BACKLOG: i32 = 1_024;
/// Data that is not acknowledged for this long means that the caller is gone.
const UNACKNOWLEDGED: Duration = Duration::from_secs(5);
/// How long a connection may rest beyond the limit, so that a caller's last call never crosses
/// the close.
const IDLE_SLACK: Span = Span::secs(1);
/// In a stop, how long a connection may rest before it is closed: a caller that has just connected
/// sends its call within a round trip between failure domains, which takes a few milliseconds.
const CLOSING_REST: Span = Span::millis(100);
/// Pause after an error of `accept`, which comes at once again when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Opens a listener.
///
/// # Errors
///
/// What the system says, with the address.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// When a connection did something last, and what it is doing.
#[derive(Debug)]
struct Activity {
    last: Cell<Time>,
    calls: Cell<usize>,
}

/// Serves callers on `listener` until the task is ended.
pub async fn serve<F, R>(shared: Shared, listener: TcpListener, answer: F)
where
    F: Fn(Shared, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Result<Response<Payload>, Infallible>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(shared.clone(), stream, answer));
            }
            Err(e) => {
                shared.log(Line::new("accept_failed").with("error", e));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<F, R>(shared: Shared, stream: TcpStream, answer: F)
where
    F: Fn(Shared, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Result<Response<Payload>, Infallible>> + 'static,
{
    // Without these options the connection still works, only later or longer.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED));
    shared.connections.set(shared.connections.get() + 1);
    let activity = Rc::new(Activity { last: Cell::new(clock::now()), calls: Cell::new(0) });
    let (s, a) = (shared.clone(), Rc::clone(&activity));
    let service = service_fn(move |request| {
        let (shared, activity) = (s.clone(), Rc::clone(&a));
        async move {
            let _busy = Busy::new(activity);
            answer(shared, request).await
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
            () = tokio::time::sleep(rest(&shared, &activity)) => {}
        }
        if rest(&shared, &activity).is_zero() {
            Pin::new(&mut connection).graceful_shutdown();
            activity.last.set(clock::now());
        }
    };
    // A caller that left shows as an error; its calls have been dropped and logged.
    if served.is_ok() && shared.gateway.borrow().is_stopping() {
        taken(&connection.into_parts().io.into_inner()).await;
    }
    shared.connections.set(shared.connections.get() - 1);
}

/// Waits until the caller has what was written to it.
///
/// What the system holds for a caller is lost where the host's network ends with the process.
/// A caller that closes the connection in turn, or sends its next call, has read all before it.
/// Nothing is taken out: a call that crosses the close stays unread, and so has not run.
async fn taken(stream: &TcpStream) {
    // An error means that the caller is gone.
    let _ = stream.peek(&mut [0; 1]).await;
}

/// Time until the connection has rested for too long.
fn rest(shared: &Shared, activity: &Activity) -> Duration {
    let gateway = shared.gateway.borrow();
    let limits = gateway.config().map_or_else(Limits::default, |c| c.limits);
    let allowed = match gateway.is_closing(clock::now()) {
        true => CLOSING_REST,
        false => limits.idle_time + IDLE_SLACK,
    };
    if activity.calls.get() > 0 {
        return clock::duration(allowed);
    }
    clock::until(activity.last.get() + allowed)
}

/// Counts a call of a connection while it is answered.
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
