//! Memory of a gateway for calls that wait: bounds their number and the bytes of their bodies.

use std::collections::BTreeMap;

use crate::time::Time;

/// Upper bound on the calls of one gateway that wait for places.
pub const MAX_CALLS: usize = 128;
/// Upper bound on the bytes of their bodies together, a twelfth of the smallest host's memory.
pub const MAX_BYTES: usize = 8 << 20;

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Ranks of the route and of the organisation.
    rank: (u8, u8),
    entered: Time,
    bytes: usize,
}

/// Calls of one gateway that wait for places.
#[derive(Debug, Default)]
pub struct Room {
    entries: BTreeMap<u64, Entry>,
    bytes: usize,
}

impl Room {
    /// Lets a call in that holds this many bytes, and returns the calls that have to leave for it:
    /// the least urgent, of these the last. The call itself is among them if it is the least urgent.
    pub fn enter(&mut self, now: Time, call: u64, rank: (u8, u8), bytes: usize) -> Vec<u64> {
        self.leave(call);
        self.entries.insert(call, Entry { rank, entered: now, bytes });
        self.bytes += bytes;
        let mut evicted = Vec::new();
        while self.entries.len() > MAX_CALLS || self.bytes > MAX_BYTES {
            let last = self.entries.iter().max_by_key(|(call, e)| (e.rank, e.entered, **call));
            let Some(last) = last.map(|(call, _)| *call) else {
                break;
            };
            self.leave(last);
            evicted.push(last);
        }
        evicted
    }

    /// Records that a call no longer waits.
    pub fn leave(&mut self, call: u64) {
        if let Some(entry) = self.entries.remove(&call) {
            self.bytes -= entry.bytes;
        }
    }

    /// Number of calls that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
