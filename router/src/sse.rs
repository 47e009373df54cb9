//! Splits a byte stream into the data of server-sent events, in bounded memory.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

/// Largest event taken, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// A stream that is not server-sent events.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// An event is over [`MAX_EVENT_BYTES`].
    #[error("an event is over {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

/// Decoder state between two reads.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    scanned: usize,
}

impl Decoder {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Data of the next line that has any; `None` until more bytes come.
    ///
    /// # Errors
    ///
    /// [`Error::TooLong`] for a line that does not end within bounds.
    pub fn pop(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            let found = self.buffer[self.scanned..].iter().position(|b| *b == b'\n');
            let Some(at) = found.map(|at| at + self.scanned) else {
                self.scanned = self.buffer.len();
                return if self.scanned > MAX_EVENT_BYTES { Err(Error::TooLong) } else { Ok(None) };
            };
            self.scanned = 0;
            let mut line = self.buffer.split_to(at).freeze();
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
