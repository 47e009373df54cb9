//! Makes calls whose data is never written after a deadline.
//!
//! A process that was suspended may resume in the middle of a call. If the deadline were checked
//! only before the call, the process could then send data that it had prepared before; so the clock
//! is checked before each write.

use std::io;
use std::io::IoSlice;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::Either;
use futures_util::future::select;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use laburnumwheel_core::time::Time;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::clock;
use crate::response;

/// A stream that refuses to write after its deadline.
#[derive(Debug)]
pub struct Fenced<S> {
    stream: S,
    deadline: Time,
}

impl<S> Fenced<S> {
    /// Wraps `stream`, which is written to only before `deadline`.
    pub fn new(stream: S, deadline: Time) -> Fenced<S> {
        Fenced { stream, deadline }
    }

    fn check(&self) -> io::Result<()> {
        if clock::now() < self.deadline { Ok(()) } else { Err(io::ErrorKind::TimedOut.into()) }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Fenced<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Fenced<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Makes one call on a new connection, abandons it at the deadline, and returns the status of the
/// response.
///
/// A dropped connection is reset, so that the system does not send or retransmit buffered data of
/// the call later.
///
/// # Errors
///
/// Returns the system's error, or `TimedOut` if the deadline has passed.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    deadline: Time,
) -> io::Result<StatusCode> {
    let call = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO))?;
        socket.set_tcp_user_timeout(Some(clock::until(deadline)))?;
        let io = TokioIo::new(Fenced::new(stream, deadline));
        let handshake = http1::Builder::new().handshake(io).await;
        let (mut sender, connection) = handshake.map_err(io::Error::other)?;
        // Only this task polls the connection, so abandoning the call closes it at once.
        let method = request.method().clone();
        let response = std::pin::pin!(sender.send_request(request));
        let connection = std::pin::pin!(connection);
        let response = match select(response, connection).await {
            Either::Left((response, _)) => response,
            Either::Right((Ok(()), response)) => response.await,
            Either::Right((Err(e), _)) => return Err(io::Error::other(e)),
        };
        let mut response = response.map_err(io::Error::other)?;
        let validated = response::validate(&method, &mut response);
        validated.map_err(|flaw| io::Error::other(response::Error::Invalid(flaw)))?;
        Ok(response.status())
    };
    match tokio::time::timeout(clock::until(deadline), call).await {
        Ok(status) => status,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}
