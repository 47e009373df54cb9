//! Who may give orders to a group of upstreams: a lease, and the times round it.
//!
//! The lease is a value in the key-value service; who writes it last holds it. Each write has a
//! higher revision than all before, which is the fencing number of the orders given under it. Its
//! lapse needs no common clock: another router takes the lease over after it has seen the same
//! revision for [`LEASE_EXPIRY`] of its own time, and the holder stops [`LEASE_VALIDITY`] after it
//! sent its last renewal, which is earlier.
//!
//! A holder that was paused and still believes in its lease may send an order late. Upstreams that
//! check fencing numbers refuse it. For those that ignore them, a new holder waits
//! [`MAX_ORDER_DELAY`] more, the longest that an order may be on its way.

use serde::Deserialize;
use serde::Serialize;

use crate::time::Span;
use crate::time::Time;

/// A holder renews after this long.
pub const RENEWAL_INTERVAL: Span = Span::secs(3);
/// A holder gives no order this long after it sent its last renewal.
pub const LEASE_VALIDITY: Span = Span::secs(8);
/// A lease whose revision has not changed for this long has lapsed.
pub const LEASE_EXPIRY: Span = Span::secs(15);
/// Longest time that an order may be on its way; the sender gives it up after that.
pub const MAX_ORDER_DELAY: Span = Span::secs(5);

/// The stored value of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// Holder: name and incarnation.
    pub holder: String,
    /// Number of the holder's write, to know it again after a lost reply.
    pub write: u64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    revision: i64,
    /// When the write that gave it was sent.
    since: Time,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    write: u64,
    at: Time,
}

/// A router's view of one lease.
#[derive(Debug, Default)]
pub struct Lease {
    seen: Option<(i64, Time)>,
    held: Option<Held>,
    sent: Option<Sent>,
    writes: u64,
}

/// What to do next about a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing now.
    Wait,
    /// Read it.
    Read,
    /// Write this value if the revision is still the one given.
    Write(i64, Value),
}

impl Lease {
    /// The fencing number under which orders may be given at `now`, if any may.
    pub fn fencing_token(&self, now: Time) -> Option<i64> {
        self.held.filter(|h| now.since(h.since) < LEASE_VALIDITY).map(|h| h.revision)
    }

    /// What a router that wants to give orders does next.
    pub fn next_step(&mut self, now: Time, holder: &str, checks_fencing: bool) -> Step {
        if self.sent.is_some_and(|s| now.since(s.at) < RENEWAL_INTERVAL) {
            return Step::Wait;
        }
        if self.fencing_token(now).is_some()
            && let Some(held) = self.held
        {
            let due = now.since(held.since) >= RENEWAL_INTERVAL;
            return if due { self.write(now, holder, held.revision) } else { Step::Wait };
        }
        let patience = if checks_fencing { LEASE_EXPIRY } else { LEASE_EXPIRY + MAX_ORDER_DELAY };
        match self.seen {
            Some((0, _)) => self.write(now, holder, 0),
            Some((revision, since)) if now.since(since) >= patience => {
                self.write(now, holder, revision)
            }
            _ => Step::Read,
        }
    }

    fn write(&mut self, now: Time, holder: &str, revision: i64) -> Step {
        self.writes += 1;
        self.sent = Some(Sent { write: self.writes, at: now });
        Step::Write(revision, Value { holder: holder.to_owned(), write: self.writes })
    }

    /// Takes a read in. After a lost reply it shows whether this router's write took effect; the
    /// lease then counts from when that write was sent, not from when it was found.
    pub fn on_read(&mut self, now: Time, holder: &str, found: Option<(Value, i64)>) {
        let revision = found.as_ref().map_or(0, |(_, r)| *r);
        if self.seen.is_none_or(|(r, _)| r != revision) {
            self.seen = Some((revision, now));
        }
        let sent = self.sent.filter(|s| {
            found.as_ref().is_some_and(|(v, _)| v.holder == holder && v.write == s.write)
        });
        if let Some(sent) = sent {
            self.held = Some(Held { revision, since: sent.at });
            self.sent = None;
        }
    }

    /// Notes that a call was not answered: a write may have taken effect, which a read will show.
    pub fn on_unavailable(&mut self) {
        self.seen = None;
    }

    /// Takes the reply to a write in.
    pub fn on_write_reply(&mut self, now: Time, revision: Option<i64>) {
        let Some(sent) = self.sent.take() else {
            return;
        };
        match revision {
            Some(revision) => {
                self.held = Some(Held { revision, since: sent.at });
                self.seen = Some((revision, now));
            }
            None => {
                self.held = None;
                self.seen = None;
            }
        }
    }
}
