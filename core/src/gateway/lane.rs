//! Engines set apart for streams that long prompts would disturb.
//!
//! An engine reads a prompt in chunks between the steps of its running requests. While it reads a
//! long one, every step takes about five times as long, and a stream whose pauses must be short
//! comes late. So such streams share a few engines, and long prompts go to the others. All
//! gateways agree on which without a message: the first of the open ones, in the order of their
//! hashes, as many as the streams of all gateways need.

use crate::gateway::config::Engine;
use crate::gateway::config::Route;
use crate::time::Span;
use crate::time::Time;

/// Milliseconds of a step in which an engine also reads a chunk of a long prompt: a chunk of 2,048
/// tokens at 110 a millisecond, the step itself, and attention to a context of 20,000 tokens.
const STEP_MS: u64 = 42;
/// Part of an engine's slots that sensitive streams fill before they take one more engine. Keepers
/// know which engine of the lane has places, so little need be spare; against 0.8, reports on time
/// rose by 2 to 12 in 100 in four bursts.
const FILL: f64 = 0.9;
/// Part of all engines that they may take.
const MOST: f64 = 0.6;
/// Steps in which the lane grows and shrinks, over all engines. Where gateways disagree on an
/// engine, its cached heads are read again elsewhere, and reports are sent among chats.
const STEPS: usize = 16;
/// How long an engine stays in the lane after it was last needed: a peak of clumped arrivals is
/// over by then, and the streams that are left on it last about as long again.
const STAY: Span = Span::millis(700);

/// Whether a route's streams come late on an engine that reads long prompts.
pub fn is_sensitive(route: &Route, engine: &Engine) -> bool {
    let pause = Span::millis(STEP_MS * u64::from(engine.stride.max(1)));
    route.streams && route.pause.0 > 0 && route.pause <= pause
}

/// Number of engines in the lane.
#[derive(Debug, Default)]
pub struct Lane {
    size: usize,
    needed: Time,
}

impl Lane {
    /// The size at `now`, with `streams` sensitive streams over `engines` open engines.
    pub fn size(&mut self, now: Time, streams: u32, engine: &Engine, engines: usize) -> usize {
        if streams == 0 && now.since(self.needed) > STAY {
            self.size = 0;
            return 0;
        }
        let full = f64::from(engine.slots.max(1)) * FILL;
        let wanted = (f64::from(streams) / full).ceil() as usize + usize::from(streams > 0);
        // Gateways count slightly different streams; in steps they agree all the same.
        let wanted = wanted.next_multiple_of(engines / STEPS + 1);
        if wanted >= self.size || now.since(self.needed) > STAY {
            self.size = wanted;
            self.needed = now;
        }
        self.size.min((engines as f64 * MOST) as usize)
    }
}
