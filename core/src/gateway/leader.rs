//! Elects one leader among the gateways with a lease of the store.
//!
//! A term begins with a conditional write of the leader's record under a lease. Its fencing token
//! is the position of that write: the era, then the revision. The term is valid until the lease may
//! have expired, measured on the local monotonic clock from before the grant or renewal was
//! requested. No call of a duty outlives the term, and a new leader waits until no call of the
//! previous leader can still arrive. Calls of two leaders therefore never interleave, and tokens
//! only increase.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use super::position::Position;
use crate::time::Span;
use crate::time::Time;

/// Bits of a token that hold the revision.
const REVISION_BITS: u32 = 40;
/// Bits of a token; JSON numbers represent integers of up to 53 bits exactly.
const TOKEN_BITS: u32 = 53;
/// Longest wait of a gateway that can't campaign yet before it checks again.
const MAX_IDLE: Span = Span::secs(5);
/// Age of the newest read beyond which it no longer shows that there is no leader.
const MAX_READ_AGE: Span = Span::millis(1_500);
/// Delay of a campaign for each rank, so that one gateway campaigns at a time.
const RANK_DELAY: Span = Span::millis(600);
/// Rank beyond which a campaign is not delayed further.
const MAX_DELAYED_RANK: u64 = 6;
/// Shortest time from the first of several failed calls in a row until the leader resigns.
const RESIGN_AFTER: Span = Span::millis(2_500);
/// Fewest failed calls in a row with which the leader resigns.
const RESIGN_FAILURES: u32 = 3;

/// Fencing token of a term.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(u64);

impl Token {
    /// The token of a term that began at `position`; `None` if the position is out of range.
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

    /// Revision of the leader's record at the start of the term.
    pub fn revision(self) -> u64 {
        self.0 & ((1 << REVISION_BITS) - 1)
    }
}

/// Durations that govern an election, the same at all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Time to live of the lease without renewal.
    pub lease_duration: Span,
    /// Timeout of one call of a duty.
    pub call_timeout: Span,
    /// Longest time for which bytes of an abandoned call may still be in transit.
    pub max_transit: Span,
    /// Time before a former leader, or a gateway that has just started, may campaign.
    pub cooldown: Span,
}

/// A granted lease that holds the leader's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Time at which the request for the lease was sent.
    pub sent: Time,
    /// Number of the lease in the store.
    pub id: u64,
    /// Time to live, as granted by the store.
    pub ttl: Span,
    /// Position of the write of the leader's record.
    pub position: Position,
    /// Era of the previous term; `None` if there is no record of it.
    pub last_era: Option<u64>,
}

/// Next step of a gateway in the election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for at most this long.
    Wait(Span),
    /// Request a lease and write the leader's record under it, if there is none.
    Campaign,
    /// Renew the lease of this number.
    Renew(u64),
    /// Revoke the lease of this number.
    Release(u64),
}

/// Permission for one call of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Fencing token of the call.
    pub token: Token,
    /// Time after which no byte of the call may be sent.
    pub deadline: Time,
}

/// Identity of a leader, as gossiped between gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Token of the term.
    pub token: u64,
    /// Short hash of the leader's name.
    pub gateway: u32,
}

/// Outcome of a call of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Outcome {
    /// The platform accepted the call.
    Accepted,
    /// The platform answered that the call can't be carried out now.
    Refused,
    /// The platform has seen the token of a later term.
    Fenced,
    /// No answer arrived.
    Unanswered,
}

/// Cause of the end of a term.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum Cause {
    /// The lease has expired or was revoked.
    LeaseEnded,
    /// The store was restored from an older copy.
    Rollback,
    /// The process is stopping.
    Stopped,
    /// Calls of duties from this gateway get no answer.
    Unreachable,
    /// The platform has seen the token of a later term.
    Fenced,
}

#[derive(Clone, Copy, Debug)]
struct Term {
    token: Token,
    lease: u64,
    began: Time,
    valid_until: Time,
    active_from: Time,
    renew_at: Time,
    calls_in_progress: u32,
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

/// State of one gateway in the election.
#[derive(Debug)]
pub struct Election {
    timing: Timing,
    role: Role,
    campaign_after: Time,
    /// Start of the newest successful read of the store.
    observed: Option<Time>,
    /// Start of the first read in the latest unbroken series of reads that showed no leader.
    vacant_since: Option<Time>,
    stopping: bool,
    /// Ended terms not yet taken, by token.
    ended: BTreeMap<u64, Cause>,
}

impl Election {
    /// The election as seen by a gateway that has just started. Unless the whole system starts for
    /// the first time, the gateway waits for the cooldown, as it may have led before the restart.
    pub fn new(timing: Timing, now: Time, is_first_start: bool) -> Election {
        let cooldown = if is_first_start { Span(0) } else { timing.cooldown };
        Election {
            timing,
            role: Role::Follower,
            campaign_after: now + cooldown,
            observed: None,
            vacant_since: None,
            stopping: false,
            ended: BTreeMap::new(),
        }
    }

    /// Durations of the election.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// Records the result of a read of the store that was sent at `sent` and answered at `now`: the
    /// revision of the leader's record, or `None` if there is no record.
    ///
    /// A leader whose record is missing has lost its lease, even if renewals succeed: after the
    /// store is restored from an older copy, it may grant the number of the lease to another
    /// gateway.
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
        self.vacant_since = match record {
            Some(_) => None,
            None => self.vacant_since.or(Some(sent)),
        };
    }

    /// The next step at `now`, where `era` is the newest era known of the store and `rank` is the
    /// position of this gateway among those that may campaign.
    pub fn step(&mut self, now: Time, era: u64, rank: usize) -> Step {
        self.check_era(now, era);
        match self.role {
            Role::Leader(term) => self.leader_step(now, &term),
            Role::Follower if !self.stopping => match self.campaign_time(now, rank) {
                Some(at) if at <= now => Step::Campaign,
                Some(at) => Step::Wait(at.since(now).min(MAX_IDLE)),
                None => Step::Wait(MAX_IDLE),
            },
            Role::Candidate | Role::Follower => Step::Wait(MAX_IDLE),
        }
    }

    fn leader_step(&mut self, now: Time, term: &Term) -> Step {
        if term.ending.is_some() && term.calls_in_progress == 0 {
            // While calls of the previous leader may still arrive, the lease is kept: the next
            // leader would not wait for calls from before this term.
            if now >= term.active_from {
                return Step::Release(term.lease);
            }
            if now >= term.valid_until {
                self.end_term(now, Cause::LeaseEnded);
            }
            return Step::Wait(RANK_DELAY);
        }
        if now >= term.renew_at && term.ending.is_none() {
            return Step::Renew(term.lease);
        }
        Step::Wait(term.renew_at.since(now).min(RANK_DELAY))
    }

    /// Time of the next campaign; `None` if the newest read does not show that there is no leader.
    fn campaign_time(&self, now: Time, rank: usize) -> Option<Time> {
        let observed = self.observed.filter(|at| now.since(*at) < MAX_READ_AGE)?;
        let vacant_since = self.vacant_since.filter(|at| *at <= observed)?;
        let rank_delay = Span(RANK_DELAY.0 * (rank as u64).min(MAX_DELAYED_RANK));
        Some(vacant_since.max(self.campaign_after) + rank_delay)
    }

    /// Records the start of a campaign.
    pub fn start_campaign(&mut self) {
        self.role = Role::Candidate;
        // A further campaign needs a read of the store that is sent after this one.
        self.vacant_since = None;
        self.observed = None;
    }

    /// Records that a campaign was lost or that its outcome is unknown.
    pub fn fail_campaign(&mut self) {
        self.role = Role::Follower;
    }

    /// Begins a term under `lease`; `false` if its position is out of range of tokens.
    ///
    /// If the previous term began in another era or in an unknown one, its leader may not know yet
    /// that the store has lost its record, and may continue until its lease would have expired. The
    /// new leader waits that long before its first call.
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
            active_from: now + wait + self.timing.max_transit,
            renew_at: lease.sent + self.renewal_interval(),
            calls_in_progress: 0,
            failures: 0,
            failing_since: None,
            ending: self.stopping.then_some(Cause::Stopped),
        });
        true
    }

    /// Time from one renewal to the next; a lease outlasts two of them.
    fn renewal_interval(&self) -> Span {
        Span(self.timing.lease_duration.0 * 2 / 5)
    }

    /// Extends the term by a renewal that was sent at `sent` and answered by the store in `era`.
    pub fn extend_term(&mut self, now: Time, sent: Time, era: u64) {
        self.check_era(now, era);
        let (lease, interval) = (self.timing.lease_duration, self.renewal_interval());
        if let Role::Leader(term) = &mut self.role {
            term.valid_until = term.valid_until.max(sent + lease);
            term.renew_at = sent + interval;
        }
    }

    /// Records that a renewal got no answer, and schedules an early retry.
    pub fn record_renewal_failure(&mut self, now: Time) {
        let soon = Span(self.renewal_interval().0 / 4);
        if let Role::Leader(term) = &mut self.role {
            term.renew_at = now + soon;
        }
    }

    /// Ends the term at once.
    pub fn end_term(&mut self, now: Time, cause: Cause) {
        if let Role::Leader(term) = self.role {
            self.ended.insert(term.token.get(), cause);
            self.role = Role::Follower;
            self.campaign_after = self.campaign_after.max(now + self.timing.cooldown);
            self.vacant_since = None;
            self.observed = None;
        }
    }

    /// Ends the term once the calls in progress have ended.
    pub fn resign(&mut self, cause: Cause) {
        if let Role::Leader(term) = &mut self.role {
            term.ending = term.ending.or(Some(cause));
        }
    }

    /// Resigns if this gateway leads, and prevents further campaigns.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.resign(Cause::Stopped);
    }

    /// Ends the term after an attempt to revoke its lease, successful or not.
    pub fn record_release(&mut self, now: Time) {
        if let Role::Leader(term) = self.role {
            self.end_term(now, term.ending.unwrap_or(Cause::LeaseEnded));
        }
    }

    /// Ends a term that began in an earlier era than `era`.
    fn check_era(&mut self, now: Time, era: u64) {
        if let Role::Leader(term) = self.role
            && era > term.token.era()
        {
            self.end_term(now, Cause::Rollback);
        }
    }

    /// Permission for one call of a duty at `now`; `None` unless the term is active and outlasts
    /// the call's timeout.
    pub fn begin_call(&mut self, now: Time, era: u64) -> Option<Permit> {
        self.check_era(now, era);
        let call = self.timing.call_timeout;
        let Role::Leader(term) = &mut self.role else {
            return None;
        };
        let deadline = now + call;
        if term.ending.is_some() || now < term.active_from || deadline > term.valid_until {
            return None;
        }
        term.calls_in_progress += 1;
        Some(Permit { token: term.token, deadline })
    }

    /// Records the end of a call that was made with this permit.
    pub fn end_call(&mut self, now: Time, permit: &Permit, outcome: Outcome) {
        let Role::Leader(term) = &mut self.role else {
            return;
        };
        if term.token != permit.token {
            return;
        }
        term.calls_in_progress = term.calls_in_progress.saturating_sub(1);
        match outcome {
            Outcome::Accepted | Outcome::Refused => {
                term.failures = 0;
                term.failing_since = None;
            }
            Outcome::Fenced => self.resign(Cause::Fenced),
            Outcome::Unanswered => {
                term.failures += 1;
                let since = *term.failing_since.get_or_insert(now);
                let long = now.since(since) >= RESIGN_AFTER;
                if term.failures >= RESIGN_FAILURES && long {
                    self.resign(Cause::Unreachable);
                }
            }
        }
    }

    /// Token of the term, if this gateway leads and may make calls at `now`.
    pub fn active_token(&self, now: Time) -> Option<Token> {
        match self.role {
            Role::Leader(t)
                if now >= t.active_from && now < t.valid_until && t.ending.is_none() =>
            {
                Some(t.token)
            }
            _ => None,
        }
    }

    /// Token of the term, also while it may not make calls yet.
    pub fn token(&self) -> Option<Token> {
        match self.role {
            Role::Leader(term) => Some(term.token),
            _ => None,
        }
    }

    /// Takes the terms that have ended since the last call, with the causes, by token.
    pub fn take_ended(&mut self) -> BTreeMap<u64, Cause> {
        std::mem::take(&mut self.ended)
    }
}
