//! Decodes the data of server-sent events from a byte stream, in bounded memory.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

/// Largest line of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Why a stream can't be decoded.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// A line of an event is longer than [`MAX_EVENT_BYTES`].
    #[error("an event is over {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

/// Incremental decoder of server-sent events.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    scanned: usize,
}

impl Decoder {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the data of the next `data` line, or `None` if none is complete yet.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLong`] if the next line is too long.
    pub fn pop(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            let found = self.buffer[self.scanned..].iter().position(|b| *b == b'\n');
            let Some(end) = found.map(|at| at + self.scanned) else {
                self.scanned = self.buffer.len();
                return if self.scanned > MAX_EVENT_BYTES { Err(Error::TooLong) } else { Ok(None) };
            };
            self.scanned = 0;
            let mut line = self.buffer.split_to(end).freeze();
            self.buffer.advance(1);
            if line.last() == Some(&b'\r') {
                line.truncate(line.len() - 1);
            }
            if let Some(data) = line.strip_prefix(b"data:") {
                let skip = usize::from(data.first() == Some(&b' '));
                let start = line.len() - data.len() + skip;
                return Ok(Some(line.slice(start..)));
            }
        }
    }
}
