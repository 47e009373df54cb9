//! Cooldowns: times in which a replica wants no calls of this gateway.
//!
//! See [`crate::gateway::fleet`].

use rand::Rng;

use super::Gateway;
use super::Grant;
use crate::gateway::fleet::Claim;
use crate::gateway::refusal::Reason;
use crate::gateway::refusal::Refusal;
use crate::time::Span;
use crate::time::Time;

/// Mean time between the ends of a replica's cooldowns at two gateways. A replica that is
/// overloaded refuses the calls of all gateways at about the same time, for equally long.
const END_INTERVAL: Span = Span::millis(4);
/// Bound on the time by which a cooldown is longer than the replica asked for, as a share of it.
const MAX_EXTENSION: f64 = 0.125;
/// Least time after which callers retry that were refused because of cooldowns.
const MIN_RETRY_COOLED: Span = Span::millis(100);
/// Least time over which the return of such callers is spread. In a shorter one, those refused in the
/// last moment of a cooldown would return with the earlier ones, in a burst.
const MIN_SPREAD: Span = Span::secs(1);

impl Gateway {
    /// Records that a replica, when it refused a call, asked for `wait` without calls.
    pub fn record_cooldown(&mut self, now: Time, claim: &Claim, wait: Span) {
        if wait.0 == 0 {
            return;
        }
        let longest = (wait.0 as f64 * MAX_EXTENSION) as u64;
        let longest = longest.min(END_INTERVAL.0 * self.gateway_count() as u64);
        let until = now + wait + Span(self.rng.random_range(0..=longest));
        self.fleet.record_cooldown(claim.replica, claim.incarnation, until);
    }

    /// The refusal of a call while all replicas that could take it are in a cooldown or recover
    /// from one. It says when the first may get calls, at a random time after that so that callers
    /// refused together do not return together.
    pub(super) fn refuse_cooled(&mut self, now: Time, first_end: Time) -> Refusal {
        let wait = first_end.since(now).max(MIN_RETRY_COOLED);
        let spread = self.rng.random_range(0..=wait.max(MIN_SPREAD).0);
        Refusal::not_run(Reason::CoolingDown, wait + Span(spread))
    }

    /// The refusal of a call that a replica refused and that is not sent to another one. The caller
    /// may return at once if a replica is usable.
    pub fn refuse_rejected(&mut self, now: Time, grant: &Grant, retry_after: Span) -> Refusal {
        if self.fleet.usable(now, &grant.service) == 0
            && let Some(end) = self.fleet.first_cooldown_end(now, &grant.service, grant.origin)
        {
            return self.refuse_cooled(now, end);
        }
        Refusal::not_run(Reason::ReplicaRefused, retry_after)
    }
}
