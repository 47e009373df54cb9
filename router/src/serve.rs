//! Accepts HTTP connections and serves a gotham router on them, with a graceful shutdown.
//!
//! gotham's own accept loop has no graceful shutdown, which a planned stop needs.

use std::panic::AssertUnwindSafe;
use std::panic::RefUnwindSafe;
use std::panic::UnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use gotham::handler::NewHandler;
use gotham::service::call_handler;
use gotham::state::State;
use gotham::state::StateData;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use laburnumwheel_gateway::connection::Connection;
use laburnumwheel_gateway::connection::Place;
use laburnumwheel_gateway::connection::Table;
use laburnumwheel_gateway::connection::Tracked;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Timeout for the arrival of a complete request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Timeout for the responses in progress at the shutdown signal.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// The connection on which a request arrived, in the request's state.
pub struct Transport(pub Arc<Connection>);

impl StateData for Transport {}

/// Serves `routes` on `listener` until `stop` turns true, then finishes the responses in progress.
///
/// Each request's state holds a clone of `shared`. When there are more connections than `table` has
/// places for, those are closed that serve their clients least.
pub async fn run<N, S>(
    listener: TcpListener,
    table: Arc<Table>,
    routes: N,
    shared: S,
    mut stop: watch::Receiver<bool>,
) where
    N: NewHandler + Clone + Send + Sync + RefUnwindSafe + UnwindSafe + 'static,
    S: StateData + Clone + Sync,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|s| *s) => break,
        };
        let Ok((stream, from)) = accepted else {
            // Most likely no file descriptors are left; during the pause some may close.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if table.make_place().await == Place::None {
            continue;
        }
        let _ = stream.set_nodelay(true);
        let socket = table.open(stream);
        let (table, connection) = (Arc::clone(&table), Arc::clone(socket.connection()));
        let (routes, shared) = (routes.clone(), shared.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            table.end_head(&connection);
            let call = connection.begin_call();
            let mut state = State::from_request(request, from);
            state.put(shared.clone());
            state.put(Transport(Arc::clone(&connection)));
            let response = call_handler(routes.clone(), AssertUnwindSafe(state));
            let connection = Arc::clone(&connection);
            async move {
                response.await.map(|mut response| {
                    if connection.is_wide() {
                        let close = HeaderValue::from_static("close");
                        response.headers_mut().insert(header::CONNECTION, close);
                    }
                    response.map(|body| Tracked::new(body, call))
                })
            }
        });
        let mut builder = auto::Builder::new(hyper_util::rt::TokioExecutor::new()).http1_only();
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES);
        let connection = builder.serve_connection(TokioIo::new(socket), service);
        let connection = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            // An error means that the connection broke; dropping the request's `Caller` tells the
            // node.
            let _ = connection.await;
        });
    }
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, graceful.shutdown()).await;
}
