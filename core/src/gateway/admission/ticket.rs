//! First arrivals of refused calls, kept at a gateway that follows from the call's fingerprint.
//!
//! A caller that was refused may return to another gateway, with another id. The ticket of its
//! request states to that gateway since when the caller waits. Tickets are lost with their gateway; the
//! calls then count as new.

use std::collections::BTreeMap;

use crate::gateway::fingerprint::Fingerprint;
use crate::time::Span;
use crate::time::Time;

/// Upper bound on the tickets of a gateway; further ones are not kept.
pub const MAX_TICKETS: usize = 4_096;
/// Time for which a ticket is kept: longer than the longest Retry-After, and than callers take to
/// connect again.
pub const TICKET_TTL: Span = Span::secs(6);

#[derive(Clone, Copy, Debug)]
struct Ticket {
    first_arrival: Time,
    /// Refused calls with the same fingerprint that have not returned.
    calls: u16,
    until: Time,
}

/// Tickets by fingerprint.
#[derive(Debug, Default)]
pub struct Table {
    tickets: BTreeMap<Fingerprint, Ticket>,
}

impl Table {
    /// Records that a call was refused `age` after its first arrival.
    pub fn put(&mut self, now: Time, fingerprint: Fingerprint, age: Span) {
        if self.tickets.len() >= MAX_TICKETS && !self.tickets.contains_key(&fingerprint) {
            self.tickets.retain(|_, ticket| now < ticket.until);
            if self.tickets.len() >= MAX_TICKETS {
                return;
            }
        }
        let first_arrival = Time(now.0.saturating_sub(age.0));
        let ticket = self.tickets.entry(fingerprint).or_insert(Ticket {
            first_arrival,
            calls: 0,
            until: now,
        });
        if now >= ticket.until {
            *ticket = Ticket { first_arrival, calls: 0, until: now };
        }
        ticket.first_arrival = ticket.first_arrival.min(first_arrival);
        ticket.calls = ticket.calls.saturating_add(1);
        ticket.until = now + TICKET_TTL;
    }

    /// Takes the ticket of a call that has returned: the time since its first arrival.
    pub fn take(&mut self, now: Time, fingerprint: Fingerprint) -> Option<Span> {
        let ticket = self.tickets.get_mut(&fingerprint)?;
        ticket.calls = ticket.calls.saturating_sub(1);
        let found = *ticket;
        if found.calls == 0 || now >= found.until {
            self.tickets.remove(&fingerprint);
        }
        (now < found.until).then(|| now.since(found.first_arrival))
    }

    /// Number of tickets.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether there is no ticket.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }
}
