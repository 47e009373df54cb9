//! Time of day that is not affected by a jump of this gateway's own clock.
//!
//! Gateways send their time of day in heartbeats. Each is recorded as an offset from this gateway's
//! monotonic clock. The median of the peers' offsets and the own one is correct, to within the
//! delay of a heartbeat, as long as most clocks are.

use std::collections::BTreeMap;

use crate::time::Span;
use crate::time::Time;

/// Age from which on a peer's time of day is ignored.
const SAMPLE_VALID: Span = Span::secs(10);
/// Upper bound on peers whose time of day is kept.
const MAX_PEERS: usize = 64;

/// Time since the start of 1970, in microseconds.
pub type WallTime = u64;

#[derive(Clone, Copy, Debug)]
struct Sample {
    offset: i128,
    at: Time,
}

/// Offset of the time of day from the monotonic clock.
#[derive(Debug)]
pub struct Wall {
    peers: BTreeMap<u32, Sample>,
    offset: i128,
}

impl Wall {
    /// A clock that uses this gateway's own time of day, `own` at `now`, until peers are observed.
    pub fn new(now: Time, own: WallTime) -> Wall {
        Wall { peers: BTreeMap::new(), offset: offset(now, own) }
    }

    /// Records the time of day in a peer's message that was received at `now`.
    pub fn observe(&mut self, now: Time, peer: u32, wall: WallTime) {
        if self.peers.len() < MAX_PEERS || self.peers.contains_key(&peer) {
            self.peers.insert(peer, Sample { offset: offset(now, wall), at: now });
        }
    }

    /// Computes the median again, with this gateway's own time of day `own` at `now`.
    pub fn refresh(&mut self, now: Time, own: WallTime) {
        self.peers.retain(|_, sample| now.since(sample.at) < SAMPLE_VALID);
        let mut offsets: Vec<i128> = self.peers.values().map(|sample| sample.offset).collect();
        offsets.push(offset(now, own));
        offsets.sort_unstable();
        self.offset = offsets[offsets.len() / 2];
    }

    /// Time of day at `now`.
    pub fn at(&self, now: Time) -> WallTime {
        u64::try_from(self.offset + i128::from(now.0)).unwrap_or(0)
    }
}

fn offset(now: Time, wall: WallTime) -> i128 {
    i128::from(wall) - i128::from(now.0)
}
