//! A stand-in of a caller.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;
use crate::http::Message;

/// Bytes of a body that are sent at once.
const PIECE: usize = 32_768;

/// How a request ended.
#[derive(Clone, Debug)]
pub enum End {
    /// No connection was made.
    NoConnection,
    /// The channel ended while the request was being sent.
    CutSending,
    /// The channel ended without a complete answer after the whole request was sent.
    CutWaiting,
    Answer(Message),
}

impl End {
    pub fn text(&self) -> String {
        match self {
            End::NoConnection => "no connection".to_owned(),
            End::CutSending => "cut while it was sent".to_owned(),
            End::CutWaiting => "cut without an answer".to_owned(),
            End::Answer(answer) => {
                let seal = answer.header("x-server-seal").unwrap_or("none");
                let retry = answer.header("retry-after").unwrap_or("-");
                format!("{}, seal {seal}, retry-after {retry}", answer.status())
            }
        }
    }

    /// Whether the channel ended without a complete answer.
    pub fn is_cut(&self) -> bool {
        matches!(self, End::CutSending | End::CutWaiting)
    }
}

pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
    /// Time in which the body is sent, at an even rate.
    pub sending: Duration,
}

/// A channel that is kept for many requests.
pub struct Channel {
    front: SocketAddr,
    open: Option<(TcpStream, BufReader<TcpStream>)>,
}

impl Channel {
    pub fn new(front: SocketAddr) -> Channel {
        Channel { front, open: None }
    }

    /// Sends a request, on a new connection if there is none, and waits for the answer.
    pub fn send(&mut self, request: &Request<'_>) -> End {
        if self.open.is_none() {
            self.open = self.connect();
        }
        let Some((mut writer, mut reader)) = self.open.take() else {
            return End::NoConnection;
        };
        let wait = Duration::from_millis(request.deadline_ms + 500);
        let _ = reader.get_ref().set_read_timeout(Some(wait));
        let is_sent = write(&mut writer, request).is_ok();
        match http::read(&mut reader) {
            Ok(Some(answer)) => {
                if is_sent && answer.header("connection") != Some("close") {
                    self.open = Some((writer, reader));
                }
                End::Answer(answer)
            }
            _ if is_sent => End::CutWaiting,
            _ => End::CutSending,
        }
    }

    fn connect(&self) -> Option<(TcpStream, BufReader<TcpStream>)> {
        let stream = TcpStream::connect_timeout(&self.front, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some((stream.try_clone().ok()?, BufReader::new(stream)))
    }
}

fn write(writer: &mut TcpStream, request: &Request<'_>) -> std::io::Result<()> {
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n\
         Authorization: Bearer key-of-casa\r\nContent-Length: {}\r\n\r\n",
        request.method,
        request.path,
        request.id,
        request.deadline_ms,
        request.body.len()
    );
    writer.write_all(head.as_bytes())?;
    let pieces = request.body.len().div_ceil(PIECE).max(1) as u32;
    for piece in request.body.chunks(PIECE) {
        writer.write_all(piece)?;
        std::thread::sleep(request.sending / pieces);
    }
    Ok(())
}
