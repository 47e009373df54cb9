//! Cooldowns: times in which a replica wants no calls of this gateway, and the recovery after them.
//!
//! A replica that refuses a call may ask for a cooldown. It ends on time, and the replica is then
//! tried with a few calls at once; each answer admits more. If the replica refuses these too, few
//! calls were wasted, and if it serves them, no burst of calls overloads it again.

use super::Fleet;
use super::Replica;
use crate::arena::Key;
use crate::gateway::origin::Origin;
use crate::incarnation::Digest;
use crate::time::Time;

/// Calls in progress that a replica gets at the end of a cooldown, before it answers any.
const INITIAL_WINDOW: u32 = 2;
/// Answers after which a replica gets any number of calls again.
const RECOVERY_ANSWERS: u32 = 8;
/// Highest rank; other calls leave room for one of it in the window.
pub(super) const HIGHEST_RANK: u8 = 0;

/// Cooldown of a replica, from its request to its recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cooldown {
    /// Time from which the replica may get calls again.
    pub(super) until: Time,
    /// Calls in progress that were sent since then.
    in_progress: u32,
    /// Calls sent since then that were answered.
    answered: u32,
}

impl Cooldown {
    fn new(until: Time) -> Cooldown {
        Cooldown { until, in_progress: 0, answered: 0 }
    }

    /// Whether the replica may get one more call of `rank` at `now`.
    pub(super) fn admits(&self, now: Time, rank: u8) -> bool {
        let window = INITIAL_WINDOW * (1 + self.answered);
        let reserved = u32::from(rank != HIGHEST_RANK);
        now >= self.until && self.in_progress + reserved < window
    }

    /// Whether the replica has answered no call since.
    pub(super) fn is_untested(&self) -> bool {
        self.answered == 0
    }
}

impl Replica {
    /// Whether a cooldown, or the recovery after it, admits one more call of `rank`.
    pub(super) fn admits(&self, now: Time, rank: u8) -> bool {
        self.cooldown.is_none_or(|cooldown| cooldown.admits(now, rank))
    }

    /// Whether the replica may refuse the next call, because it has answered none since its
    /// cooldown.
    pub(super) fn is_untested(&self) -> bool {
        self.cooldown.is_some_and(|cooldown| cooldown.is_untested())
    }

    /// Begins a cooldown, or extends the one in progress. A shorter one does not end a longer one:
    /// answers may overtake each other.
    pub(super) fn cool_down(&mut self, until: Time) {
        self.cooldown = Some(extended(self.cooldown, until));
    }

    /// Records that a call is sent; returns whether it is a part of the recovery.
    pub(super) fn record_recovering(&mut self) -> bool {
        if let Some(cooldown) = &mut self.cooldown {
            cooldown.in_progress += 1;
        }
        self.cooldown.is_some()
    }

    /// Records that a call of the recovery was answered.
    pub(super) fn record_recovered(&mut self, now: Time) {
        // A refusal that asks for another cooldown is an answer too.
        if let Some(cooldown) = &mut self.cooldown
            && now >= cooldown.until
        {
            cooldown.answered += 1;
        }
        let is_over = self.cooldown.is_some_and(|cooldown| cooldown.answered >= RECOVERY_ANSWERS);
        if is_over {
            self.cooldown = None;
        }
    }

    /// Records that a call of the recovery has ended.
    pub(super) fn record_recovering_end(&mut self) {
        if let Some(cooldown) = &mut self.cooldown {
            cooldown.in_progress = cooldown.in_progress.saturating_sub(1);
        }
    }
}

impl Fleet {
    /// Records that a replica wants no calls until `until`.
    pub fn record_cooldown(&mut self, key: Key<Replica>, incarnation: Digest, until: Time) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.cool_down(until);
        } else if let Some(removed) = self.removed.get_mut(&incarnation) {
            // The entry of the replica may come back.
            removed.cooldown = Some(extended(removed.cooldown, until));
        }
    }

    /// Earliest time at which a replica of a service that is in a cooldown, and may continue streams
    /// of `origin`, may get calls; `None` if no open one is, or recovers from one.
    pub fn first_cooldown_end(
        &self,
        now: Time,
        service: &str,
        origin: Option<Origin>,
    ) -> Option<Time> {
        let keys = self.by_service.get(service).into_iter().flatten();
        let replicas = keys.filter_map(|key| self.replicas.get(*key));
        let open = replicas.filter(|r| r.is_open() && r.continues(origin));
        open.filter_map(|replica| replica.cooldown).map(|c| c.until.max(now)).min()
    }
}

/// The cooldown after a request for one until `until`, on top of the one known before.
fn extended(known: Option<Cooldown>, until: Time) -> Cooldown {
    let known = known.unwrap_or(Cooldown::new(until));
    Cooldown { until: known.until.max(until), answered: 0, ..known }
}

/// The cooldown of a removed replica whose entry is back; its calls in progress are no longer known.
pub(super) fn restored(cooldown: Option<Cooldown>) -> Option<Cooldown> {
    cooldown.map(|cooldown| Cooldown { in_progress: 0, ..cooldown })
}
