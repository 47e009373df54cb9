//! Election of one leader among the gateways, through a lease of the store.
//!
//! A term begins with a conditional write of the leader's record under a lease, and its fencing token
//! is the position of that write (era, then revision). The term is valid until the lease may lapse,
//! counted on the own monotonic clock from before the request that granted or renewed it was sent. No
//! call of a duty outlives the term, and a successor waits until none of its predecessor's calls can
//! still arrive; so calls of two leaders never interleave, and tokens only rise.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use super::position::Position;
use crate::time::Span;
use crate::time::Time;

/// Bits of a token that hold the revision; era and revision fit into the integers that JSON carries.
const REVISION_BITS: u32 = 40;
const TOKEN_BITS: u32 = 53;
/// Longest time between two looks of a gateway that can't campaign yet.
const IDLE: Span = Span::secs(5);
/// Age of the newest read beyond which the absence of a leader is no longer known.
const OBSERVATION_VALID: Span = Span::millis(1_500);
/// Head start of each gateway before the next in rank, so that one campaigns at a time.
const HEAD_START: Span = Span::millis(600);
/// Highest rank that still delays a campaign.
const MAX_RANK: u64 = 6;
/// Time without a successful call of a duty, and failed calls, after which the leader hands over.
const HAND_OVER_AFTER: Span = Span::millis(2_500);
const HAND_OVER_FAILURES: u32 = 3;

/// Fencing token of a term.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(u64);

impl Token {
    /// The token of a term that began at `position`; `None` if it has no room for it.
    pub fn new(position: Position) -> Option<Token> {
        let fits = position.revision < 1 << REVISION_BITS
            && position.era < 1 << (TOKEN_BITS - REVISION_BITS);
        fits.then_some(Token(position.era << REVISION_BITS | position.revision))
    }

    /// The token as an integer.
    pub fn get(self) -> u64 {
        self.0
    }

    /// Era of the store in which the term began.
    pub fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// Revision of the leader's record.
    pub fn revision(self) -> u64 {
        self.0 & ((1 << REVISION_BITS) - 1)
    }
}

/// Times of an election, the same at all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Life of the lease without renewal.
    pub lease_duration: Span,
    /// Time limit of one call of a duty.
    pub call_timeout: Span,
    /// Time for which bytes of an abandoned call may still be on their way.
    pub max_transit: Span,
    /// Time before a former leader, or a gateway that has just started, may campaign.
    pub cooldown: Span,
}

/// A term that has just been won.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// When the request for the lease was sent.
    pub sent: Time,
    /// Lease of the leader's record.
    pub id: u64,
    /// Life of the lease, as the store granted it.
    pub ttl: Span,
    /// Position of the write of the leader's record.
    pub position: Position,
    /// Era of the last known term before; `None` if there is no record of it.
    pub last_era: Option<u64>,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing for this long at most.
    Wait(Span),
    /// Ask for a lease and write the leader's record under it, if there is none.
    Campaign,
    /// Renew this lease.
    Renew(u64),
    /// End this lease.
    Release(u64),
}

/// Leave to make one call of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Fencing token of the call.
    pub token: Token,
    /// No byte of the call may leave after this.
    pub deadline: Time,
}

/// Who leads, as gateways tell one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Token of the term.
    pub token: u64,
    /// Short hash of the leader's name.
    pub gateway: u32,
}

/// How a call of a duty ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Outcome {
    /// The platform took it.
    Accepted,
    /// The platform answered that it can't be done now.
    Refused,
    /// The platform knows of a later term.
    Fenced,
    /// No answer came.
    Unanswered,
}

/// Why a term ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum Cause {
    /// The lease has ended.
    LeaseEnded,
    /// The store came back from an older copy.
    Rollback,
    /// The process stops.
    Stopped,
    /// This gateway does not reach the platform's duties.
    Unreachable,
    /// The platform knows of a later term.
    Fenced,
}

#[derive(Clone, Copy, Debug)]
struct Term {
    token: Token,
    lease: u64,
    began: Time,
    valid_until: Time,
    acts_from: Time,
    renew_at: Time,
    calls: u32,
    failures: u32,
    failing_since: Option<Time>,
    ending: Option<Cause>,
}

#[derive(Clone, Copy, Debug)]
enum Role {
    Follower,
    Candidate,
    Leader(Term),
}

/// One gateway's part in the election.
#[derive(Debug)]
pub struct Election {
    timing: Timing,
    role: Role,
    not_before: Time,
    /// Newest sound read of the store, and since when reads have shown no leader.
    observed: Option<Time>,
    absent_since: Option<Time>,
    stopping: bool,
    ended: BTreeMap<u64, Cause>,
}

impl Election {
    /// A gateway that has just started; it may have led a moment before, unless the whole system starts
    /// for the first time.
    pub fn new(timing: Timing, now: Time, is_first_start: bool) -> Election {
        let stand_back = if is_first_start { Span(0) } else { timing.cooldown };
        Election {
            timing,
            role: Role::Follower,
            not_before: now + stand_back,
            observed: None,
            absent_since: None,
            stopping: false,
            ended: BTreeMap::new(),
        }
    }

    /// Times of the election.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// Takes in the revision of the leader's record, if there is one, that a read of the store found at
    /// `now`; it began at `sent`.
    ///
    /// A leader whose record is gone has lost its lease, whatever renewals say: the number of a lease may
    /// be another gateway's after a return of the store.
    pub fn observe(&mut self, now: Time, sent: Time, record: Option<u64>) {
        if self.observed.is_some_and(|at| sent < at) {
            return;
        }
        if let Role::Leader(term) = self.role {
            if sent >= term.began && record != Some(term.token.revision()) {
                self.end_term(now, Cause::LeaseEnded);
            }
            return;
        }
        self.observed = Some(sent);
        self.absent_since = match record {
            Some(_) => None,
            None => self.absent_since.or(Some(sent)),
        };
    }

    /// What to do at `now`, while answers state `era`; `rank` orders the gateways that may campaign.
    pub fn step(&mut self, now: Time, era: u64, rank: usize) -> Step {
        self.check_era(now, era);
        match self.role {
            Role::Leader(term) => self.leader_step(now, &term),
            Role::Follower if !self.stopping => match self.campaign_at(now, rank) {
                Some(at) if at <= now => Step::Campaign,
                Some(at) => Step::Wait(at.since(now).min(IDLE)),
                None => Step::Wait(IDLE),
            },
            Role::Candidate | Role::Follower => Step::Wait(IDLE),
        }
    }

    fn leader_step(&mut self, now: Time, term: &Term) -> Step {
        if term.ending.is_some() && term.calls == 0 {
            // Released while a predecessor's calls may still arrive, the lease would let a successor
            // act that knows nothing of them.
            if now >= term.acts_from {
                return Step::Release(term.lease);
            }
            if now >= term.valid_until {
                self.end_term(now, Cause::LeaseEnded);
            }
            return Step::Wait(HEAD_START);
        }
        if now >= term.renew_at && term.ending.is_none() {
            return Step::Renew(term.lease);
        }
        Step::Wait(term.renew_at.since(now).min(HEAD_START))
    }

    fn campaign_at(&self, now: Time, rank: usize) -> Option<Time> {
        let observed = self.observed.filter(|at| now.since(*at) < OBSERVATION_VALID)?;
        let absent = self.absent_since.filter(|at| *at <= observed)?;
        let head_start = Span(HEAD_START.0 * (rank as u64).min(MAX_RANK));
        Some(absent.max(self.not_before) + head_start)
    }

    /// Records that a campaign has begun.
    pub fn start_campaign(&mut self) {
        self.role = Role::Candidate;
        // The next one needs a read that began after this one.
        self.absent_since = None;
        self.observed = None;
    }

    /// Records that a campaign was lost, or has no known outcome.
    pub fn fail_campaign(&mut self) {
        self.role = Role::Follower;
    }

    /// Begins a term; `false` if it can't be led.
    ///
    /// Where the last term began in another era, or nobody knows, its leader may not have learned yet
    /// that the store forgot it, and goes on until its lease would have lapsed.
    pub fn begin_term(&mut self, now: Time, lease: &Lease) -> bool {
        let ttl = lease.ttl.min(self.timing.lease_duration);
        let valid_until = lease.sent + ttl;
        let Some(token) = Token::new(lease.position) else {
            self.role = Role::Follower;
            return false;
        };
        let same_era = lease.last_era == Some(lease.position.era);
        let wait = if same_era { Span(0) } else { self.timing.lease_duration };
        self.role = Role::Leader(Term {
            token,
            lease: lease.id,
            began: now,
            valid_until,
            acts_from: now + wait + self.timing.max_transit,
            renew_at: lease.sent + self.renewal(),
            calls: 0,
            failures: 0,
            failing_since: None,
            ending: self.stopping.then_some(Cause::Stopped),
        });
        true
    }

    /// Time from one renewal to the next; two of them fit into a lease.
    fn renewal(&self) -> Span {
        Span(self.timing.lease_duration.0 * 2 / 5)
    }

    /// Extends the term by a renewal that was sent at `sent`, and answered in `era`.
    pub fn extend_term(&mut self, now: Time, sent: Time, era: u64) {
        self.check_era(now, era);
        let (lease, renewal) = (self.timing.lease_duration, self.renewal());
        if let Role::Leader(term) = &mut self.role {
            term.valid_until = term.valid_until.max(sent + lease);
            term.renew_at = sent + renewal;
        }
    }

    /// Records that a renewal got no answer; the next one comes soon.
    pub fn record_renewal_failure(&mut self, now: Time) {
        let soon = Span(self.renewal().0 / 4);
        if let Role::Leader(term) = &mut self.role {
            term.renew_at = now + soon;
        }
    }

    /// Ends the term at once.
    pub fn end_term(&mut self, now: Time, end: Cause) {
        if let Role::Leader(term) = self.role {
            self.ended.insert(term.token.get(), end);
            self.role = Role::Follower;
            self.not_before = self.not_before.max(now + self.timing.cooldown);
            self.absent_since = None;
            self.observed = None;
        }
    }

    /// Ends the term once the call in progress has ended.
    pub fn resign(&mut self, end: Cause) {
        if let Role::Leader(term) = &mut self.role {
            term.ending = term.ending.or(Some(end));
        }
    }

    /// Ends the term, if there is one, and campaigns no more.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.resign(Cause::Stopped);
    }

    /// Records that the lease of the term was ended, or could not be.
    pub fn record_release(&mut self, now: Time) {
        if let Role::Leader(term) = self.role {
            self.end_term(now, term.ending.unwrap_or(Cause::LeaseEnded));
        }
    }

    fn check_era(&mut self, now: Time, era: u64) {
        if let Role::Leader(term) = self.role
            && era > term.token.era()
        {
            self.end_term(now, Cause::Rollback);
        }
    }

    /// Leave for one call of a duty at `now`, if the term outlasts it.
    pub fn begin_call(&mut self, now: Time, era: u64) -> Option<Permit> {
        self.check_era(now, era);
        let call = self.timing.call_timeout;
        let Role::Leader(term) = &mut self.role else {
            return None;
        };
        let deadline = now + call;
        if term.ending.is_some() || now < term.acts_from || deadline > term.valid_until {
            return None;
        }
        term.calls += 1;
        Some(Permit { token: term.token, deadline })
    }

    /// Records the end of a call that had this permit.
    pub fn end_call(&mut self, now: Time, permit: &Permit, outcome: Outcome) {
        let Role::Leader(term) = &mut self.role else {
            return;
        };
        if term.token != permit.token {
            return;
        }
        term.calls = term.calls.saturating_sub(1);
        match outcome {
            Outcome::Accepted | Outcome::Refused => {
                term.failures = 0;
                term.failing_since = None;
            }
            Outcome::Fenced => self.resign(Cause::Fenced),
            Outcome::Unanswered => {
                term.failures += 1;
                let since = *term.failing_since.get_or_insert(now);
                let long = now.since(since) >= HAND_OVER_AFTER;
                if term.failures >= HAND_OVER_FAILURES && long {
                    self.resign(Cause::Unreachable);
                }
            }
        }
    }

    /// Token of the term, if this gateway leads and may act.
    pub fn active_token(&self, now: Time) -> Option<Token> {
        match self.role {
            Role::Leader(t) if now >= t.acts_from && now < t.valid_until && t.ending.is_none() => {
                Some(t.token)
            }
            _ => None,
        }
    }

    /// Token of the term, also of one that may not act yet.
    pub fn token(&self) -> Option<Token> {
        match self.role {
            Role::Leader(term) => Some(term.token),
            _ => None,
        }
    }

    /// Terms that have ended since the last call, and why.
    pub fn take_ended(&mut self) -> BTreeMap<u64, Cause> {
        std::mem::take(&mut self.ended)
    }
}
