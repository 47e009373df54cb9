//! Contents under which replicas end, and which of these are held back from all others.
//!
//! A call that ends whoever runs it comes again under a new id, by any gateway. A replica that ends
//! looks like one that fails, and with no memory of contents each sending is the first one; so the
//! fleet goes down one replica after the other, with all that runs there. Gateways therefore note for
//! each call whose connection broke the run of the replica it was at, and tell one another. What ended
//! [`ENDS`] replicas, and was never answered, is held back.
//!
//! Others were there at each end as well. They are told apart by four things: they are answered
//! elsewhere, which clears them; a replica that is heard of afterwards has not ended; whoever was there
//! again and again when a content that is held ended replicas was only there; and few meet three ends
//! in a row.
//!
//! Everything noted is a set that only grows, but for what a whole answer clears, so gateways that heard
//! the same in any order, and more than once, come to the same verdict.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::content::Content;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Replicas that end under a content before it is held back. One or two ends in a row happen to calls
/// that were only there: a long answer that is sent on after the first may meet the next one.
pub const ENDS: usize = 3;
/// How long a content is held after the last end; doubles with each end beyond those that it took, so
/// that one which is harmless is tried again soon, and one which is not ends few replicas more.
const HOLD: Span = Span::secs(600);
/// Ends that a content shares with one that is held, from which on they do not count against it. Two
/// that both end replicas may meet once; whoever is sent on after each end meets the cause again.
const SHARED: usize = 2;
/// Ends of one content that are remembered: the hold of these is a day.
const MOST_ENDS: usize = 10;
/// Fewer ends than count are forgotten after this time.
const MEMORY: Span = Span::secs(600);
/// A content that was held is remembered for as long as the longest hold, and then for some time in
/// which one further end is enough.
const LONG_MEMORY: Span = Span::secs(2 * 86_400);
/// Contents that are remembered: those of all calls at 250 engines that end together. Some 200 bytes each.
pub const MOST: usize = 4_096;
/// A replica that is heard of so long after its connection broke has not ended; what it sent before
/// may be read, and told on by others, as much later.
pub const SETTLED: Span = Span::secs(1);
/// How long a change is told in heartbeats: twelve of them to four peers each reach every gateway.
const TOLD: Span = Span::secs(3);
/// Records in a heartbeat: those that were at one engine.
pub const MOST_TOLD: usize = 32;

/// A replica that ended while it ran a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Run of the replica.
    pub replica: Digest,
    /// Time since then, in milliseconds.
    pub age_ms: u64,
}

/// What gateways tell one another of a content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The content.
    pub content: Content,
    /// Replicas that ended under it.
    pub ends: Vec<End>,
    /// Time since it was last answered, if it was, in milliseconds.
    pub answered_ms: Option<u64>,
}

/// A content whose verdict has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The content.
    pub content: Content,
    /// It is held back from now on, or no longer.
    pub held: bool,
    /// Replicas that ended under it and have not been heard of since.
    pub ends: usize,
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    at: Time,
    /// The replica was heard of later. Kept, so that the same end is not taken for a new one when
    /// others tell of it.
    lives: bool,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    ends: BTreeMap<Digest, Mark>,
    answered: Option<Time>,
    /// When this gateway learnt something of it that others may not know.
    changed: Time,
}

impl Suspect {
    fn counted(&self) -> impl Iterator<Item = (Digest, Time)> {
        self.ends.iter().filter(|(_, mark)| !mark.lives).map(|(replica, mark)| (*replica, mark.at))
    }

    /// Whether so many replicas ended that it may be held.
    fn is_strong(&self) -> bool {
        self.counted().count() >= ENDS
    }

    /// Notes an end; `true` if it is new.
    ///
    /// Of several times for one end the earliest is right: those that others tell lag behind.
    fn ended(&mut self, at: Time, replica: Digest) -> bool {
        if self.answered.is_some_and(|answered| at <= answered + SETTLED) {
            return false;
        }
        if let Some(mark) = self.ends.get_mut(&replica) {
            mark.at = mark.at.min(at);
            return false;
        }
        self.ends.insert(replica, Mark { at, lives: false });
        if self.ends.len() > MOST_ENDS {
            let oldest = self.ends.iter().min_by_key(|(_, mark)| mark.at).map(|(r, _)| *r);
            oldest.and_then(|oldest| self.ends.remove(&oldest));
        }
        true
    }

    /// Notes a whole answer; `true` if it is news.
    fn answered(&mut self, at: Time) -> bool {
        if self.answered.is_some_and(|known| at <= known + SETTLED) {
            return false;
        }
        self.answered = Some(at);
        self.ends.retain(|_, mark| mark.at > at + SETTLED);
        true
    }

    fn is_forgotten(&self, now: Time) -> bool {
        let last = self.ends.values().map(|mark| mark.at).max().max(self.answered);
        let memory = if self.is_strong() { LONG_MEMORY } else { MEMORY };
        last.is_none_or(|last| now.since(last) > memory)
    }

    fn record(&self, now: Time, content: Content) -> Record {
        let age = |at: Time| now.since(at).as_millis();
        let ends = self.counted().map(|(replica, at)| End { replica, age_ms: age(at) });
        Record { content, ends: ends.collect(), answered_ms: self.answered.map(age) }
    }
}

/// What a gateway knows of contents under which replicas ended.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Content, Suspect>,
    /// Until when contents are held.
    held: BTreeMap<Content, Time>,
    /// Contents that were told as held.
    told: BTreeSet<Content>,
}

impl Quarantine {
    /// Notes that the connection broke on which `replica` ran a call.
    pub fn broke(&mut self, now: Time, content: Content, replica: Digest) {
        let suspect = self.suspects.entry(content).or_default();
        if suspect.ended(now, replica) {
            suspect.changed = now;
            if suspect.is_strong() {
                self.judge();
            }
        }
    }

    /// Notes that a replica has answered a call whole.
    pub fn answered(&mut self, now: Time, content: Content) {
        let Some(suspect) = self.suspects.get_mut(&content) else {
            return;
        };
        let was_strong = suspect.is_strong();
        if suspect.answered(now) {
            suspect.changed = now;
            if was_strong {
                self.judge();
            }
        }
    }

    /// Takes in what another gateway tells, or the store holds.
    pub fn hear(&mut self, now: Time, records: &[Record]) {
        let mut news = false;
        for record in records {
            let at = |age_ms: u64| now - Span::millis(age_ms);
            let mut suspect = self.suspects.remove(&record.content).unwrap_or_default();
            let was_strong = suspect.is_strong();
            let mut changed = record.answered_ms.is_some_and(|age| suspect.answered(at(age)));
            for end in record.ends.iter().take(MOST_ENDS) {
                changed |= suspect.ended(at(end.age_ms), end.replica);
            }
            if changed {
                suspect.changed = now;
            }
            news |= changed && (was_strong || suspect.is_strong());
            if !suspect.is_forgotten(now) {
                self.suspects.insert(record.content, suspect);
            }
        }
        if news {
            self.judge();
        }
    }

    /// What to pass on: what changed lately, the most ends first.
    pub fn tell(&self, now: Time) -> Vec<Record> {
        let young = self.suspects.iter().filter(|(_, s)| now.since(s.changed) < TOLD);
        let mut young: Vec<(&Content, &Suspect)> = young.collect();
        young.sort_by_key(|(_, s)| (Reverse(s.ends.len()), Reverse(s.changed)));
        young.truncate(MOST_TOLD);
        young.into_iter().map(|(content, suspect)| suspect.record(now, *content)).collect()
    }

    /// What must outlast this process: every content with as many ends as are held back.
    pub fn lasting(&self, now: Time) -> Vec<Record> {
        let lasting = self.suspects.iter().filter(|(_, s)| s.is_strong());
        lasting.map(|(content, suspect)| suspect.record(now, *content)).collect()
    }

    /// Whether nothing that a record tells counts any longer: its content was answered since, or all
    /// of it is too old.
    pub fn is_over(&self, now: Time, record: &Record) -> bool {
        let answered = self.suspects.get(&record.content).and_then(|s| s.answered);
        let counts = |age: Span| {
            age <= LONG_MEMORY && answered.is_none_or(|answered| now - age > answered + SETTLED)
        };
        !record.ends.iter().any(|end| counts(Span::millis(end.age_ms)))
    }

    /// How long a content is still held back; `None` if it may be sent.
    pub fn holds(&self, now: Time, content: Content) -> Option<Span> {
        let until = *self.held.get(&content)?;
        (now < until).then(|| until.since(now))
    }

    /// Contents that are remembered.
    pub fn remembered(&self) -> usize {
        self.suspects.len()
    }

    /// Contents that are held back.
    pub fn held(&self, now: Time) -> usize {
        self.held.values().filter(|until| now < **until).count()
    }

    /// Looks at everything once more; `lives` tells whether a replica was heard of after a time.
    /// Returns the verdicts that have changed since the last look.
    pub fn reconsider(&mut self, now: Time, lives: impl Fn(Digest, Time) -> bool) -> Vec<Verdict> {
        for suspect in self.suspects.values_mut() {
            for (replica, mark) in &mut suspect.ends {
                mark.lives = mark.lives || lives(*replica, mark.at + SETTLED);
            }
        }
        self.suspects.retain(|_, suspect| !suspect.is_forgotten(now));
        self.bound();
        self.judge();
        self.changes(now)
    }

    fn bound(&mut self) {
        let excess = self.suspects.len().saturating_sub(MOST);
        if excess == 0 {
            return;
        }
        let order = |(content, suspect): (&Content, &Suspect)| {
            (suspect.counted().count(), suspect.changed, *content)
        };
        let mut all: Vec<_> = self.suspects.iter().map(order).collect();
        all.sort_unstable();
        for (_, _, content) in all.into_iter().take(excess) {
            self.suspects.remove(&content);
        }
    }

    /// Decides anew what is held. The content with the most ends, and of equals the one that had them
    /// first, is taken for their cause; they do not count against others that share [`SHARED`] of them.
    fn judge(&mut self) {
        self.held.clear();
        let mut strong = Vec::new();
        for (content, suspect) in &self.suspects {
            let mut ends: Vec<(Time, Digest)> = suspect.counted().map(|(r, at)| (at, r)).collect();
            if ends.len() >= ENDS {
                ends.sort_unstable();
                strong.push((Reverse(ends.len()), ends[ENDS - 1].0, *content, ends));
            }
        }
        strong.sort_unstable();
        let mut causes: Vec<BTreeSet<Digest>> = Vec::new();
        for (_, _, content, ends) in strong {
            let replicas: BTreeSet<Digest> = ends.iter().map(|(_, replica)| *replica).collect();
            let shares =
                |cause: &&BTreeSet<Digest>| cause.intersection(&replicas).count() >= SHARED;
            let explained: BTreeSet<Digest> =
                causes.iter().filter(shares).flatten().copied().collect();
            let own = ends.iter().filter(|(_, replica)| !explained.contains(replica));
            let own: Vec<Time> = own.map(|(at, _)| *at).collect();
            if let Some(last) = own.last()
                && own.len() >= ENDS
            {
                let hold = Span(HOLD.0 << (own.len() - ENDS).min(MOST_ENDS - ENDS));
                self.held.insert(content, *last + hold);
                causes.push(replicas);
            }
        }
    }

    fn changes(&mut self, now: Time) -> Vec<Verdict> {
        let held = self.held.iter().filter(|(_, until)| now < **until);
        let held: BTreeSet<Content> = held.map(|(content, _)| *content).collect();
        let changed = held.symmetric_difference(&self.told);
        let verdicts = changed.map(|content| Verdict {
            content: *content,
            held: held.contains(content),
            ends: self.suspects.get(content).map_or(0, |s| s.counted().count()),
        });
        let verdicts = verdicts.collect();
        self.told = held;
        verdicts
    }
}
