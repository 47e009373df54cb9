//! Delegation of calls to other gateways: how often it is tried while none of them can help.

use crate::time::Span;
use crate::time::Time;

/// Shortest time in which no call of a service is delegated after all gateways that were asked could
/// not serve one either. Asking for each call would multiply the load on the other gateways.
pub const MIN_PAUSE: Span = Span::millis(100);

/// Time in which no call of a service is delegated.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pause {
    until: Time,
    /// Length of the last pause; zero if a gateway has served a call since.
    length: Span,
}

impl Pause {
    /// Whether calls may be delegated.
    pub fn is_over(&self, now: Time) -> bool {
        now >= self.until
    }

    /// Records whether one of the gateways that were asked could serve a call. Each pause is twice as
    /// long as the one before, and none is longer than `longest`.
    pub fn record(&mut self, now: Time, is_served: bool, longest: Span) {
        if is_served {
            self.length = Span(0);
            return;
        }
        self.length = Span(self.length.0 * 2).max(MIN_PAUSE).min(longest);
        self.until = now + self.length;
    }
}
