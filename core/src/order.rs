//! Leases that allow one router at a time to send orders to a group of upstreams.
//!
//! A lease is a value in the key-value service; the router that wrote it last holds it. The
//! revision of the write is the fencing token of the orders sent under the lease, and is higher
//! than that of any earlier write. Expiry needs no common clock: the holder sends no more orders
//! [`LEASE_VALIDITY`] after it sent its last renewal, and another router takes the lease over when
//! it has seen the same revision for [`LEASE_EXPIRY`], which is longer.
//!
//! A holder that was paused may still send an order after its lease has expired. Upstreams that
//! check fencing tokens refuse that order. For those that do not, a new holder waits another
//! [`MAX_ORDER_DELAY`] before it takes the lease over.

use serde::Deserialize;
use serde::Serialize;

use crate::time::Span;
use crate::time::Time;

/// Time after which a holder renews its lease.
pub const RENEWAL_INTERVAL: Span = Span::secs(3);
/// Time since the last renewal was sent after which the holder sends no more orders.
pub const LEASE_VALIDITY: Span = Span::secs(8);
/// Time without a new revision after which a lease has expired for other routers. Must be longer
/// than [`LEASE_VALIDITY`], or two routers could send orders at the same time.
pub const LEASE_EXPIRY: Span = Span::secs(15);
/// Longest time for which an order may be in transit; the sender cancels it after that.
pub const MAX_ORDER_DELAY: Span = Span::secs(5);

/// The stored value of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// Name and incarnation of the holder.
    pub holder: String,
    /// Number of the holder's write, which identifies the write if its reply is lost.
    pub write: u64,
}

/// A lease that this router holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    revision: i64,
    /// Time when the write of that revision was sent.
    since: Time,
}

/// A write without a reply so far.
#[derive(Clone, Copy, Debug)]
struct Sent {
    write: u64,
    at: Time,
}

/// Local state of one lease.
#[derive(Debug, Default)]
pub struct Lease {
    /// Last revision that was read, and the time when it was first seen.
    last_seen: Option<(i64, Time)>,
    held: Option<Held>,
    sent: Option<Sent>,
    writes: u64,
}

/// Next step of a router that needs a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing for now.
    Wait,
    /// Read the lease.
    Read,
    /// Write this value if the stored revision is still the given one.
    Write(i64, Value),
}

impl Lease {
    /// The fencing token of orders sent at `now`; `None` if this router may send none.
    pub fn fencing_token(&self, now: Time) -> Option<i64> {
        self.held.filter(|h| now.since(h.since) < LEASE_VALIDITY).map(|h| h.revision)
    }

    /// The next step of a router that needs to send orders.
    pub fn next_step(&mut self, now: Time, holder: &str, checks_fencing: bool) -> Step {
        if self.sent.is_some_and(|s| now.since(s.at) < RENEWAL_INTERVAL) {
            return Step::Wait;
        }
        if self.fencing_token(now).is_some()
            && let Some(held) = self.held
        {
            let is_due = now.since(held.since) >= RENEWAL_INTERVAL;
            return if is_due { self.write(now, holder, held.revision) } else { Step::Wait };
        }
        let takeover_delay =
            if checks_fencing { LEASE_EXPIRY } else { LEASE_EXPIRY + MAX_ORDER_DELAY };
        match self.last_seen {
            Some((0, _)) => self.write(now, holder, 0),
            Some((revision, since)) if now.since(since) >= takeover_delay => {
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

    /// Records the result of a read. After a lost reply, the read shows whether this router's write
    /// took effect; the lease is then valid from the time when that write was sent.
    pub fn on_read(&mut self, now: Time, holder: &str, found: Option<(Value, i64)>) {
        let revision = found.as_ref().map_or(0, |(_, r)| *r);
        if self.last_seen.is_none_or(|(r, _)| r != revision) {
            self.last_seen = Some((revision, now));
        }
        let sent = self.sent.filter(|s| {
            found.as_ref().is_some_and(|(v, _)| v.holder == holder && v.write == s.write)
        });
        if let Some(sent) = sent {
            self.held = Some(Held { revision, since: sent.at });
            self.sent = None;
        }
    }

    /// Records that a call had no reply. A write may have taken effect; the next read shows it.
    pub fn on_unavailable(&mut self) {
        self.last_seen = None;
    }

    /// Records the reply to a write: its revision, or `None` if the stored revision had changed.
    pub fn on_write_reply(&mut self, now: Time, revision: Option<i64>) {
        let Some(sent) = self.sent.take() else {
            return;
        };
        match revision {
            Some(revision) => {
                self.held = Some(Held { revision, since: sent.at });
                self.last_seen = Some((revision, now));
            }
            None => {
                self.held = None;
                self.last_seen = None;
            }
        }
    }
}
