//! Attempts of calls: records when each is sent, its events and its end.
//!
//! Each record updates the replica, the model of its service and the counts for the next report.

use super::Gateway;
use super::Grant;
use super::Pick;
use super::model;
use crate::arena::Key;
use crate::gateway::fleet::Claim;
use crate::gateway::fleet::Load;
use crate::gateway::fleet::Outcome;
use crate::gateway::fleet::Replica;
use crate::gateway::submission::Submission;
use crate::gateway::tally::Tally;
use crate::time::Time;

impl Gateway {
    /// Records that an attempt is sent to the replica of `pick`.
    pub fn record_sent(
        &mut self,
        now: Time,
        submission: &Submission,
        grant: &mut Grant,
        pick: &mut Pick,
    ) {
        grant.attempts += 1;
        grant.denials = 0;
        grant.tried.push(pick.claim.replica);
        self.fleet.record_sent(now, &mut pick.claim, pick.engine, &submission.parts);
        if let Some(tally) = self.tally(&pick.claim) {
            tally.record_start(pick.claim.pause);
        }
        self.popularity.record(now, &submission.parts);
    }

    /// Records that a replica sent something, with its load if it reported it.
    pub fn record_activity(&mut self, now: Time, claim: &Claim, load: Option<Load>) {
        self.fleet.record_activity(now, claim.replica, load);
        self.record_survival(now, claim);
    }

    /// Records that a replica has responded to an attempt.
    pub fn record_response(&mut self, claim: &Claim) {
        self.fleet.record_response(claim);
    }

    /// Records data of an attempt which arrived after `waited_since`, when none had been there to read.
    pub fn record_data(&mut self, now: Time, claim: &Claim, waited_since: Time) {
        if !self.pulse.is_behind(now) {
            self.fleet.record_data(claim, waited_since);
        }
    }

    /// Records that a replica has stated the start of its process, in answer to a request that was sent
    /// at `asked`. Returns whether it is that of the listed incarnation.
    pub fn record_start(&mut self, key: Key<Replica>, start_ms: u64, asked: Time) -> bool {
        self.fleet.record_start(key, start_ms, asked)
    }

    /// Records that a replica's report does not state the start of its process.
    pub fn record_unstated_start(&mut self, key: Key<Replica>) {
        self.fleet.record_unstated_start(key);
    }

    /// Records an event, or the whole answer, of an attempt; returns whether it is the first.
    pub fn record_event(&mut self, now: Time, claim: &mut Claim) -> bool {
        if !claim.first_event_seen {
            self.record_first_event(now, claim);
            return true;
        }
        let gap = now.since(std::mem::replace(&mut claim.last_event, now));
        self.record_gap(claim, gap);
        claim.late |= gap > claim.pause;
        let isolated = claim.sensitive && claim.pool_size > 0;
        let service = self.fleet.service_unless_straggler(claim.replica).map(str::to_owned);
        if let Some(service) = service {
            model(&mut self.models, &service).record_event(claim.pause, gap, isolated);
            let counts = !isolated && !claim.is_slow;
            if let Some(tally) = self.tally(claim) {
                tally.record_event(claim.pause, counts.then_some(gap));
            }
        }
        false
    }

    /// Counts events of an attempt's answer for the memory that it holds; returns whether the owner of
    /// its engine is to be told that the answer is longer than expected.
    pub fn record_output(&mut self, claim: &mut Claim, events: u64) -> bool {
        self.fleet.record_output(claim, events)
    }

    /// Records the first event, or the whole answer, of an attempt. Later ones change nothing.
    pub fn record_first_event(&mut self, now: Time, claim: &mut Claim) {
        let is_first = !claim.first_event_seen;
        if is_first {
            self.record_wait(now, claim);
            claim.late = now.since(claim.sent).as_secs_f64() * 1e3 > claim.objective_ms;
        }
        self.fleet.record_first_event(now, claim);
        if is_first && let Some(service) = self.fleet.service_unless_straggler(claim.replica) {
            let model = model(&mut self.models, service);
            model.record_first_event(claim.pause);
            if claim.prefill_sample {
                let took_ms = now.since(claim.sent).as_secs_f64() * 1e3;
                model.prefill.record(claim.work, took_ms / claim.prefill_ratio);
            }
            if let Some(tally) = self.tally(claim) {
                tally.record_first_event(claim.pause, claim.prefill_ms);
            }
        }
    }

    /// Records the end of an attempt that was sent.
    pub fn record_end(&mut self, now: Time, mut claim: Claim, outcome: Outcome) {
        self.report_last_gaps(&mut claim);
        let answered = outcome == Outcome::Answered && claim.first_event_seen;
        let on_time = (outcome != Outcome::Cancelled).then_some(answered && !claim.late);
        if let Some(tally) = self.tally(&claim) {
            tally.record_stream_end(claim.pause);
            if let Some(on_time) = on_time {
                tally.record_result(claim.pause, on_time);
            }
            if claim.first_event_seen {
                let lifetime = claim.sensitive.then(|| now.since(claim.sent));
                tally.record_call_end(claim.prefill_ms, lifetime);
            }
            if let Some(on_time) = on_time {
                self.record_result(&claim, on_time);
            }
        }
        if claim.first_event_seen
            && claim.work > 0.0
            && let Some(replica) = self.fleet.get(claim.replica)
        {
            let pool = &mut model(&mut self.models, &replica.listing.service).pool;
            match claim.sensitive {
                true => pool.record(claim.prefill_ms, now.since(claim.sent)),
                false => pool.record_other(claim.prefill_ms),
            }
        }
        if outcome == Outcome::Answered
            && let Some(replica) = self.fleet.get(claim.replica)
        {
            let model = model(&mut self.models, &replica.listing.service);
            model.record_answer(claim.pause, &claim.answer);
        }
        self.fleet.record_end(now, claim, outcome);
        if outcome == Outcome::Refused {
            self.pause_after_refusal(now, claim.replica);
        }
    }

    /// Records that an attempt could not be sent to a replica.
    pub fn record_unsent(
        &mut self,
        now: Time,
        grant: &mut Grant,
        key: Key<Replica>,
        outcome: Outcome,
    ) {
        grant.tried.push(key);
        self.fleet.record_outcome(now, key, outcome);
    }

    /// Counts of the claim's service for the next report; `None` for a call without a pause between
    /// events, which is no stream.
    pub(super) fn tally(&mut self, claim: &Claim) -> Option<&mut Tally> {
        let streams = claim.pause.0 > 0;
        streams.then(|| self.tallies.entry(claim.service).or_default())
    }
}
