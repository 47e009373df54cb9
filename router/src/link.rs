//! Connections of other routers, as they are accepted.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use futures_util::Stream;
use futures_util::stream;
use laburnumwheel_gateway::connection::Connection;
use laburnumwheel_gateway::connection::Place;
use laburnumwheel_gateway::connection::Socket;
use laburnumwheel_gateway::connection::Table;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tonic::transport::server::Connected;

/// Pause after an error of `accept`, which fails again at once while no descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Connections of peers as they are accepted. When there are more than `table` has places for, those
/// are closed whose clients have not proved to be peers.
pub fn accept(
    listener: TcpListener,
    table: Arc<Table>,
) -> impl Stream<Item = std::io::Result<Link>> {
    stream::unfold((listener, table), |(listener, table)| async {
        loop {
            let accepted = match listener.accept().await {
                Ok((stream, _)) => Ok(stream),
                Err(e) => Err(e),
            };
            let link = match accepted {
                Ok(_) if table.make_place().await == Place::None => continue,
                Ok(stream) => Ok(Link(table.open(stream))),
                Err(e) => {
                    // Most likely no file descriptors are left; during the pause some may close.
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    Err(e)
                }
            };
            return Some((link, (listener, table)));
        }
    })
}

/// The connection of a client that may be a peer.
#[derive(Debug)]
pub struct Link(Socket);

impl Connected for Link {
    type ConnectInfo = Arc<Connection>;

    fn connect_info(&self) -> Arc<Connection> {
        Arc::clone(self.0.connection())
    }
}

impl AsyncRead for Link {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let polled = Pin::new(&mut self.0).poll_read(cx, buf);
        // Frames of a connection are no heads that wait to be completed.
        self.0.end_head();
        polled
    }
}

impl AsyncWrite for Link {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
