//! Answers without a length that ended with their connections.
//!
//! A crash ends them in the same way. They count as complete answers once the replica has shown that
//! it survived, or a newer list has the entry of the same incarnation and nobody knows of a crash. If
//! the incarnation is gone instead, they count as interrupted by its crash. The entry of a replica
//! that states no start says nothing: it may be that of the next incarnation.

use crate::gateway::fingerprint::Fingerprint;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

use super::feature::Context;

/// Time from the end of an answer after which a read of the list shows whether the replica crashed. By
/// then the entry of a crashed replica has lapsed.
pub const MAX_LEASE: Span = Span::secs(5);
/// Time after which an answer that could not be decided is dropped. Reads may have failed for some
/// seconds; an answer that is dropped clears nothing and accuses nobody.
const MAX_WAIT: Span = Span::secs(20);
/// Upper bound on answers that wait for evidence; further ones are not counted.
const MAX_ANSWERS: usize = 256;

/// An answer that may be complete.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Incarnation of the replica.
    pub replica: Digest,
    /// Time at which the connection was opened.
    pub opened: Time,
    /// Time at which the answer began.
    pub began: Time,
    /// Time at which its connection ended.
    pub ended: Time,
    /// The request.
    pub fingerprint: Option<Fingerprint>,
    /// Features of the request.
    pub context: Context,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The replica ended it.
    Complete,
    /// Its replica crashed, as other requests show.
    Crashed,
    /// Its replica was gone soon after, without leaving.
    Gone,
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

    /// Removes and returns the answers that are complete, since `replica` was alive at `alive`, by data
    /// on a connection that was opened at `opened`.
    pub fn observe(&mut self, replica: Digest, opened: Time, alive: Time) -> Vec<Answer> {
        self.take(|answer| {
            answer.replica == replica && opened <= answer.ended && answer.ended < alive
        })
    }

    /// Removes and returns the answers with a verdict, and drops those that are too old.
    pub fn decide(
        &mut self,
        now: Time,
        judge: impl Fn(&Answer) -> Option<Verdict>,
    ) -> Vec<(Answer, Verdict)> {
        let mut decided = Vec::new();
        self.answers.retain(|answer| {
            let verdict = judge(answer);
            decided.extend(verdict.map(|verdict| (answer.clone(), verdict)));
            verdict.is_none() && now.since(answer.ended) < MAX_WAIT
        });
        decided
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
