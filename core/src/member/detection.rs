//! Judging peers by their probes: dialled anew, suspected, dead.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use super::DEATH_TIMEOUT;
use super::Members;
use super::PendingProbe;
use super::REDIAL_TIMEOUT;
use super::Record;
use super::SUSPECT_TIMEOUT;
use super::Verdict;
use crate::action::Action;
use crate::peer::Message;
use crate::time::Span;
use crate::time::Time;

/// A tick that comes this long after the last one tells that this router stood still: many times
/// the driver's 10 ms, and well below the time after which a probe is judged.
const MIN_PAUSE: Span = Span::millis(300);
/// Routers that repeat a probe for the one that had no answer.
const HELPERS: usize = 2;

impl Members {
    /// Moves deadlines of peers by the time for which this router itself was frozen or starved:
    /// their answers lie unread in its sockets, and judged by the clock they would be suspected,
    /// or dead, for everyone.
    pub(super) fn extend_deadlines(&mut self, now: Time) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap < MIN_PAUSE {
            return;
        }
        for probe in self.probes.values_mut() {
            probe.sent = probe.sent + gap;
        }
        for member in self.others.values_mut() {
            if member.record.verdict == Verdict::Suspect {
                member.since = member.since + gap;
            }
        }
    }

    pub(super) fn detect_failures(&mut self, now: Time, rng: &mut SmallRng, out: &mut Vec<Action>) {
        let late = self.probes.iter().filter(|(_, p)| now.since(p.sent) >= REDIAL_TIMEOUT);
        let late: Vec<(u64, PendingProbe)> = late.map(|(s, p)| (*s, p.clone())).collect();
        let mut news = Vec::new();
        for (sequence, probe) in late {
            let Some(member) = self.others.get(&probe.name) else {
                self.probes.remove(&sequence);
                continue;
            };
            if now.since(probe.sent) >= SUSPECT_TIMEOUT {
                self.probes.remove(&sequence);
                if member.record.verdict == Verdict::Alive {
                    news.extend(self.set_verdict(now, &probe.name, Verdict::Suspect, out));
                }
            } else if !probe.redialled {
                self.retry_probe(sequence, rng, out);
            }
        }
        let suspects = self.others.values().filter(|m| {
            m.record.verdict == Verdict::Suspect && now.since(m.since) >= DEATH_TIMEOUT
        });
        let overdue: Vec<String> = suspects.map(|m| m.record.name.clone()).collect();
        for name in overdue {
            news.extend(self.set_verdict(now, &name, Verdict::Dead, out));
        }
        if !news.is_empty() {
            let gossip = self.gossip_of(news);
            self.broadcast(rng, out, gossip);
        }
    }

    /// A connection can go silent for good while new ones work, because something between the
    /// ends lost track of it. The probe is repeated over a new connection, and by two others,
    /// before its target is judged.
    fn retry_probe(&mut self, sequence: u64, rng: &mut SmallRng, out: &mut Vec<Action>) {
        let Some(probe) = self.probes.get_mut(&sequence) else {
            return;
        };
        probe.redialled = true;
        let name = probe.name.clone();
        let gossip = self.gossip_for(&name);
        let Some(member) = self.others.get(&name) else {
            return;
        };
        let address = member.record.peer_address.clone();
        out.push(Action::Redial(address.clone()));
        let message = Message::Probe { sequence, anew: true, gossip };
        out.push(Action::Send { address: address.clone(), message });
        let helpers: Vec<&Record> = self.live().filter(|r| r.name != name).collect();
        for helper in helpers.choose_multiple(rng, HELPERS) {
            let message = Message::ProbeFor { sequence, address: address.clone() };
            out.push(Action::Send { address: helper.peer_address.clone(), message });
        }
    }

    fn set_verdict(
        &mut self,
        now: Time,
        name: &str,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) -> Option<Record> {
        let record = Record { verdict, ..self.others.get(name)?.record.clone() };
        self.merge_record(now, record, out)
    }
}
