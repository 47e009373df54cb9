//! Detects failed routers: redials, suspects and declares dead those that do not answer probes.

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

/// Least time between two ticks that counts as a pause of this process: many times the driver's
/// 10 ms, and well below [`SUSPECT_TIMEOUT`].
const MIN_PAUSE: Span = Span::millis(300);
/// Number of routers that are asked to repeat a probe without an answer.
const RELAYS: usize = 2;

impl Members {
    /// Extends the deadlines of other routers by the time for which this process was paused.
    /// Answers may lie unread in its sockets; without the extension, it would suspect sound routers
    /// or declare them dead, and gossip that to all.
    pub(super) fn extend_deadlines(&mut self, now: Time) {
        let pause = now.since(self.last_tick);
        self.last_tick = now;
        if pause < MIN_PAUSE {
            return;
        }
        for probe in self.probes.values_mut() {
            probe.sent = probe.sent + pause;
        }
        for member in self.others.values_mut() {
            if member.record.verdict == Verdict::Suspect {
                member.updated_at = member.updated_at + pause;
            }
        }
    }

    /// Evaluates pending probes and suspected routers, and disseminates new verdicts.
    pub(super) fn detect_failures(&mut self, now: Time, rng: &mut SmallRng, out: &mut Vec<Action>) {
        let late = self.probes.iter().filter(|(_, p)| now.since(p.sent) >= REDIAL_TIMEOUT);
        let late: Vec<(u64, PendingProbe)> = late.map(|(s, p)| (*s, p.clone())).collect();
        let mut changed = Vec::new();
        for (sequence, probe) in late {
            let Some(member) = self.others.get(&probe.name) else {
                self.probes.remove(&sequence);
                continue;
            };
            if now.since(probe.sent) >= SUSPECT_TIMEOUT {
                self.probes.remove(&sequence);
                if member.record.verdict == Verdict::Alive {
                    changed.extend(self.set_verdict(now, &probe.name, Verdict::Suspect, out));
                }
            } else if !probe.redialled {
                self.retry_probe(sequence, rng, out);
            }
        }
        let suspects = self.others.values().filter(|m| {
            m.record.verdict == Verdict::Suspect && now.since(m.updated_at) >= DEATH_TIMEOUT
        });
        let unrefuted: Vec<String> = suspects.map(|m| m.record.name.clone()).collect();
        for name in unrefuted {
            changed.extend(self.set_verdict(now, &name, Verdict::Dead, out));
        }
        if !changed.is_empty() {
            let gossip = self.gossip_of(changed);
            self.disseminate(rng, out, gossip);
        }
    }

    /// Repeats a probe over a new connection and through other routers.
    ///
    /// A device between two routers may drop the state of their connection, which then stays silent
    /// while new connections work.
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
        let relays: Vec<&Record> = self.live().filter(|r| r.name != name).collect();
        for relay in relays.choose_multiple(rng, RELAYS) {
            let message = Message::ProbeFor { sequence, address: address.clone() };
            out.push(Action::Send { address: relay.peer_address.clone(), message });
        }
    }

    /// Sets the verdict on another router; returns its record if that changes it.
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
