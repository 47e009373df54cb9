//! Splits a byte stream into whole server-sent events.
//!
//! A replica can stop in the middle of an event. Only whole events are passed on, so that another
//! replica can go on behind the last of them and the caller never sees a torn one.

use bytes::Bytes;
use bytes::BytesMut;

/// Longest event that is waited for, in bytes.
const LONGEST: usize = 1 << 20;

/// Bytes of a stream that are not yet a whole event, and the id of the last whole one.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last_id: Option<Bytes>,
    count: u64,
}

impl Splitter {
    /// Takes bytes in and returns all events that are now whole.
    ///
    /// # Errors
    ///
    /// [`TooLong`] if an event has no end within a mebibyte.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, TooLong> {
        let searched = self.rest.len().saturating_sub(3);
        self.rest.extend_from_slice(bytes);
        let Some(end) = last_end(&self.rest, searched) else {
            return if self.rest.len() > LONGEST { Err(TooLong) } else { Ok(Bytes::new()) };
        };
        let whole = self.rest.split_to(end).freeze();
        self.note(&whole);
        Ok(whole)
    }

    fn note(&mut self, whole: &Bytes) {
        for line in whole.split(|b| *b == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(id) = line.strip_prefix(b"id:") {
                self.last_id = Some(whole.slice_ref(id.trim_ascii()));
                self.count += 1;
            }
        }
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Events with an id that were whole.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Bytes of an event that has no end yet.
    pub fn pending_len(&self) -> usize {
        self.rest.len()
    }

    /// Forgets a torn event, so that another replica's stream can go on.
    pub fn discard_pending(&mut self) {
        self.rest.clear();
    }
}

/// An event without an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {LONGEST} bytes")]
pub struct TooLong;

/// End of the last blank line, looking no further back than `from`.
fn last_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut end = None;
    let mut at = from;
    while at < bytes.len() {
        let tail = &bytes[at..];
        let blank = if tail.starts_with(b"\n\n") {
            2
        } else if tail.starts_with(b"\n\r\n") {
            3
        } else {
            0
        };
        if blank > 0 {
            end = Some(at + blank);
            at += blank;
        } else {
            at += 1;
        }
    }
    end
}
