//! When this gateway last heard from the store or from another gateway.
//!
//! A gateway that hears from nobody follows an old list of replicas. Those that have left since are
//! still in it, and whatever has their addresses by now may accept connections and close them.

use crate::time::Span;
use crate::time::Time;

/// Longest time between two contacts of a gateway that is not isolated. A gateway of the largest
/// fleet asks a reader about twice in this time.
pub const MAX_SILENCE: Span = Span::secs(1);

/// Time of the last contact.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    last: Option<Time>,
}

impl Contact {
    /// Records that the store or another gateway was heard at `now`.
    pub fn record(&mut self, now: Time) {
        self.last = self.last.max(Some(now));
    }

    /// Time of the last contact, if it is too long ago.
    pub fn lost_since(&self, now: Time) -> Option<Time> {
        self.last.filter(|last| now.since(*last) > MAX_SILENCE)
    }
}
