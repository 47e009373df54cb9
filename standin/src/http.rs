//! Accepts and serves HTTP/1.1 connections.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

pub(crate) type Body = BoxBody<bytes::Bytes, io::Error>;

/// Binds a port of the loopback address; port 0 selects a free one.
pub(crate) async fn listen(port: u16) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(("127.0.0.1", port)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Serves connections until the future is dropped, which closes all of them.
pub(crate) async fn serve<F, Fut>(listener: TcpListener, handle: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Result<Response<Body>, io::Error>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        connections.spawn(async move {
            let service = service_fn(handle);
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
        while connections.try_join_next().is_some() {}
    }
}
