//! Stops a router without interrupting requests in progress.
//!
//! The router first announces that it is leaving, so that entry answers of all routers no longer
//! contain it. It continues to serve callers until the earlier answers have expired. Then it
//! accepts no new requests, finishes those in progress, hands its idempotency keys over to one
//! successor, and exits.

use super::Node;
use crate::action::Action;
use crate::action::Line;
use crate::entry;
use crate::idempotency::Handover;
use crate::member::State;
use crate::peer::Message;
use crate::time::Span;
use crate::time::Time;

/// Time for which a leaving router still serves callers: the time to live of an entry answer, plus
/// two seconds for answers in transit.
const LEAVING_PERIOD: Span = Span(entry::TTL.0 + Span::secs(2).0);
/// Time between the end of the stop and the exit, in which the members learn that the successor
/// holds the keys.
const EXIT_DELAY: Span = Span::secs(2);
/// Interval at which unconfirmed parts of the table are sent again.
const RESEND_INTERVAL: Span = Span::millis(500);
/// Time after which a handover that the successor has not confirmed is given up.
const HANDOVER_TIMEOUT: Span = Span::secs(10);
/// Approximate size of each part in which the table is handed over, in bytes.
const PART_BYTES: usize = 256 << 10;

/// Phase of the stop of a router.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// The router was not told to stop.
    Running,
    /// The router serves callers until the given time.
    Leaving(Time),
    /// No new requests are accepted; those in progress finish.
    Draining,
    /// The keys are being sent to the successor; `unconfirmed` are the homes that the successor has
    /// not confirmed.
    HandingOver { successor: String, started: Time, sent: Time, unconfirmed: Vec<String> },
    /// The stop is complete; the process exits at the given time.
    Done(Time),
    /// [`Action::Exit`] was returned.
    Exited,
}

impl Phase {
    /// Whether requests of callers are accepted.
    pub(super) fn accepts_requests(&self) -> bool {
        matches!(self, Phase::Running | Phase::Leaving(_))
    }

    /// Whether the stop is complete, so that failed attempts are not retried.
    pub(super) fn is_done(&self) -> bool {
        matches!(self, Phase::Done(_) | Phase::Exited)
    }
}

impl Node {
    pub(super) fn on_stop(&mut self, now: Time) {
        if self.stopping != Phase::Running {
            return;
        }
        self.stopping = Phase::Leaving(now + LEAVING_PERIOD);
        self.members.update(&mut self.rng, &mut self.out, |own| own.state = State::Leaving);
        self.out.push(Action::Log(Line::new("leaving")));
    }

    pub(super) fn tick_stop(&mut self, now: Time) {
        match self.stopping.clone() {
            Phase::Running | Phase::Exited => {}
            Phase::Leaving(until) => {
                if now >= until {
                    self.table.freeze();
                    self.stopping = Phase::Draining;
                }
            }
            Phase::Draining => {
                if self.requests.is_empty() && !self.has_forwards() {
                    self.begin_handover(now);
                }
            }
            Phase::HandingOver { successor, started, sent, unconfirmed } => {
                self.continue_handover(now, successor, started, sent, unconfirmed);
            }
            Phase::Done(at) => {
                if now >= at {
                    self.stopping = Phase::Exited;
                    self.end_forwards();
                    self.out.push(Action::Log(Line::new("stopped")));
                    self.out.push(Action::Exit);
                }
            }
        }
    }

    /// Chooses the successor and sends it the keys. The successor is never replaced by another,
    /// because two owners of a key could both run its request.
    fn begin_handover(&mut self, now: Time) {
        let own = self.members.own().name.clone();
        let candidates = self.members.live().filter(|r| r.accepts_callers());
        let nearest = candidates.min_by(|a, b| {
            let distance = |name: &str| crate::rendezvous::distance(&own, name, 1.0);
            distance(&a.name).total_cmp(&distance(&b.name))
        });
        let Some(successor) = nearest.map(|r| r.name.clone()) else {
            self.end_stop(now);
            return;
        };
        let parts = self.table.hand_over(now, PART_BYTES);
        let mut unconfirmed: Vec<String> = parts.iter().map(|p| p.home.clone()).collect();
        unconfirmed.dedup();
        self.send_parts(&successor, parts);
        self.stopping = Phase::HandingOver { successor, started: now, sent: now, unconfirmed };
    }

    fn send_parts(&mut self, successor: &str, parts: Vec<Handover>) {
        let Some(address) = self.members.get(successor).map(|r| r.peer_address.clone()) else {
            return;
        };
        for part in parts {
            self.send(address.clone(), Message::Table(part));
        }
    }

    /// Sends unconfirmed parts again, or ends the handover.
    fn continue_handover(
        &mut self,
        now: Time,
        successor: String,
        started: Time,
        sent: Time,
        unconfirmed: Vec<String>,
    ) {
        if unconfirmed.is_empty() {
            self.end_stop(now);
            return;
        }
        if now.since(started) >= HANDOVER_TIMEOUT {
            // Other routers answer `outcome_unknown` for keys of this home from now on.
            let line = Line::new("hand_over_failed").with("successor", successor);
            self.out.push(Action::Log(line));
            self.end_stop(now);
            return;
        }
        if now.since(sent) >= RESEND_INTERVAL {
            let mut parts = self.table.hand_over(now, PART_BYTES);
            parts.retain(|p| unconfirmed.contains(&p.home));
            self.send_parts(&successor, parts);
            self.stopping = Phase::HandingOver { successor, started, sent: now, unconfirmed };
        }
    }

    /// Records that the successor has confirmed the keys of `home`.
    pub(super) fn on_table_taken(&mut self, home: &str) {
        if let Phase::HandingOver { unconfirmed, .. } = &mut self.stopping {
            unconfirmed.retain(|h| h != home);
        }
    }

    /// Announces that this router has left, and schedules the exit.
    fn end_stop(&mut self, now: Time) {
        self.members.update(&mut self.rng, &mut self.out, |own| own.state = State::Left);
        self.stopping = Phase::Done(now + EXIT_DELAY);
    }
}
