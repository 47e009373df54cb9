//! Splits a byte stream into complete server-sent events.
//!
//! A replica may fail in the middle of an event. Only complete events are passed on, so that
//! another replica can continue after the last one and the caller never receives a partial event.

use bytes::Bytes;
use bytes::BytesMut;

/// Upper bound on the length of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the bytes of an incomplete event and keeps the id of the last complete one.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    last_id: Option<Bytes>,
    count: u64,
}

impl Splitter {
    /// Appends bytes and returns all events that are complete by them.
    ///
    /// # Errors
    ///
    /// [`TooLong`] if an event has no end within 1 MiB.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, TooLong> {
        let searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_end(&self.pending, searched) else {
            return if self.pending.len() > MAX_EVENT_BYTES {
                Err(TooLong)
            } else {
                Ok(Bytes::new())
            };
        };
        let events = self.pending.split_to(end).freeze();
        self.record_ids(&events);
        Ok(events)
    }

    fn record_ids(&mut self, events: &Bytes) {
        let mut id = None;
        let mut is_open = false;
        for line in events.split(|b| *b == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                if std::mem::take(&mut is_open) {
                    self.last_id = id.take();
                    self.count += u64::from(self.last_id.is_some());
                }
            } else if !line.starts_with(b":") {
                is_open = true;
                if let Some(value) = line.strip_prefix(b"id:") {
                    id = Some(events.slice_ref(value.trim_ascii()));
                }
            }
        }
    }

    /// Id of the last complete event; `None` if it has none. A stream that is resumed after an earlier
    /// event repeats the last one.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Number of complete events that have an id.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Length of the incomplete event, in bytes.
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Discards the incomplete event, so that the stream can continue from another replica.
    pub fn discard_pending(&mut self) {
        self.pending.clear();
    }
}

/// Error for an event that exceeds the upper bound on its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

/// Index behind the last blank line in `bytes`, searched from index `from` on.
fn last_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut end = None;
    let mut index = from;
    while index < bytes.len() {
        let tail = &bytes[index..];
        let blank_len = if tail.starts_with(b"\n\n") {
            2
        } else if tail.starts_with(b"\n\r\n") {
            3
        } else {
            0
        };
        if blank_len > 0 {
            end = Some(index + blank_len);
            index += blank_len;
        } else {
            index += 1;
        }
    }
    end
}
