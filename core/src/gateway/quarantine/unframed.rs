//! Answers without a length that ended with their connections.
//!
//! A crash ends them in the same way. They count as complete answers once the replica has shown that
//! it survived, or has been listed for some time after without a crash that anyone knows of.

use crate::gateway::fingerprint::Fingerprint;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

use super::feature::Context;
use super::survival;

/// Time after which an answer is decided without further evidence. By then the entry of a crashed
/// replica has lapsed.
const DECISION_TIME: Span = Span::secs(5);
/// Upper bound on answers that wait for evidence; further ones are not counted.
const MAX_ANSWERS: usize = 256;

/// An answer that may be complete.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Incarnation of the replica.
    pub replica: Digest,
    /// Time at which the answer began.
    pub began: Time,
    /// Time at which its connection ended.
    pub ended: Time,
    /// The request.
    pub fingerprint: Option<Fingerprint>,
    /// Features of the request.
    pub context: Context,
}

/// Answers that wait for evidence.
#[derive(Debug, Default)]
pub struct Unframed {
    answers: Vec<Answer>,
}

impl Unframed {
    /// Adds an answer.
    pub fn add(&mut self, answer: Answer) {
        if self.answers.len() < MAX_ANSWERS {
            self.answers.push(answer);
        }
    }

    /// Removes and returns the answers that are complete, since `replica` has sent data at `now` in
    /// answer to a call that was sent at `sent` on a connection that was opened at `opened`.
    pub fn observe(&mut self, now: Time, replica: Digest, opened: Time, sent: Time) -> Vec<Answer> {
        self.take(|answer| {
            let alive = survival::alive_until(now, sent);
            answer.replica == replica && opened <= answer.ended && answer.ended < alive
        })
    }

    /// Removes and returns the answers that have to be decided without further evidence.
    pub fn take_due(&mut self, now: Time) -> Vec<Answer> {
        self.take(|answer| now.since(answer.ended) >= DECISION_TIME)
    }

    fn take(&mut self, is_taken: impl Fn(&Answer) -> bool) -> Vec<Answer> {
        if self.answers.is_empty() {
            return Vec::new();
        }
        let (taken, kept) = std::mem::take(&mut self.answers).into_iter().partition(is_taken);
        self.answers = kept;
        taken
    }
}
