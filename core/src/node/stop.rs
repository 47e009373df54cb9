//! The planned stop of a router.
//!
//! Leave first: entry answers everywhere stop naming this router, but callers keep an answer for
//! its time to live, so service goes on that long. Then nothing new begins, what runs finishes,
//! the keys go to a successor, and the process exits. Nothing in progress is cut.

use super::Node;
use crate::action::Action;
use crate::action::Line;
use crate::entry;
use crate::idempotency::Handover;
use crate::member::State;
use crate::peer::Message;
use crate::time::Span;
use crate::time::Time;

/// Callers may use an answer for its time to live after this router left; a little more for
/// answers under way.
const SERVE_ON: Span = Span(entry::TTL.0 + Span::secs(2).0);
/// Time for the successor's word that it holds the keys, and for its news to spread.
const SPREAD: Span = Span::secs(2);
const RESEND: Span = Span::millis(500);
/// A successor that has not taken the keys after this long will not.
const HAND_OVER_FOR: Span = Span::secs(10);
const PART_BYTES: usize = 256 << 10;

/// How far a planned stop has come.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// No stop was asked for.
    Running,
    /// Serving on until the time given.
    Leaving(Time),
    /// Nothing new begins; what runs finishes.
    Draining,
    /// The keys are on their way to a successor.
    HandingOver { successor: String, began: Time, sent: Time, open: Vec<String> },
    /// Everything is done; exit at the time given.
    Done(Time),
    /// [`Action::Exit`] was given.
    Exited,
}

impl Phase {
    /// Whether callers' requests are still taken.
    pub(super) fn accepts_requests(&self) -> bool {
        matches!(self, Phase::Running | Phase::Leaving(_))
    }

    /// Whether failed attempts are no longer retried.
    pub(super) fn is_done(&self) -> bool {
        matches!(self, Phase::Done(_) | Phase::Exited)
    }
}

impl Node {
    pub(super) fn on_stop(&mut self, now: Time) {
        if self.stopping != Phase::Running {
            return;
        }
        self.stopping = Phase::Leaving(now + SERVE_ON);
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
                    self.begin_hand_over(now);
                }
            }
            Phase::HandingOver { successor, began, sent, open } => {
                self.continue_hand_over(now, successor, began, sent, open);
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

    /// Chooses the one successor. It is never changed: two owners of a key could both run it.
    fn begin_hand_over(&mut self, now: Time) {
        let own = self.members.own().name.clone();
        let open = self.members.live().filter(|r| r.accepts_callers());
        let nearest = open.min_by(|a, b| {
            let distance = |name: &str| crate::rendezvous::distance(&own, name, 1.0);
            distance(&a.name).total_cmp(&distance(&b.name))
        });
        let Some(successor) = nearest.map(|r| r.name.clone()) else {
            self.end_stop(now);
            return;
        };
        let parts = self.table.hand_over(now, PART_BYTES);
        let mut open: Vec<String> = parts.iter().map(|p| p.home.clone()).collect();
        open.dedup();
        self.send_parts(&successor, parts);
        self.stopping = Phase::HandingOver { successor, began: now, sent: now, open };
    }

    fn send_parts(&mut self, successor: &str, parts: Vec<Handover>) {
        let Some(address) = self.members.get(successor).map(|r| r.peer_address.clone()) else {
            return;
        };
        for part in parts {
            self.send(address.clone(), Message::Table(part));
        }
    }

    fn continue_hand_over(
        &mut self,
        now: Time,
        successor: String,
        began: Time,
        sent: Time,
        open: Vec<String>,
    ) {
        if open.is_empty() {
            self.end_stop(now);
            return;
        }
        if now.since(began) >= HAND_OVER_FOR {
            // Keys of this home become `outcome_unknown` elsewhere, which is true.
            let line = Line::new("hand_over_failed").with("successor", successor);
            self.out.push(Action::Log(line));
            self.end_stop(now);
            return;
        }
        if now.since(sent) >= RESEND {
            let mut parts = self.table.hand_over(now, PART_BYTES);
            parts.retain(|p| open.contains(&p.home));
            self.send_parts(&successor, parts);
            self.stopping = Phase::HandingOver { successor, began, sent: now, open };
        }
    }

    /// Notes that the successor holds the keys of `home`.
    pub(super) fn on_table_taken(&mut self, home: &str) {
        if let Phase::HandingOver { open, .. } = &mut self.stopping {
            open.retain(|h| h != home);
        }
    }

    fn end_stop(&mut self, now: Time) {
        self.members.update(&mut self.rng, &mut self.out, |own| own.state = State::Left);
        self.stopping = Phase::Done(now + SPREAD);
    }
}
