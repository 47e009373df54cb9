//! Moves of runs: which streams leave an engine that ends, and what follows from the answers of
//! both engines.
//!
//! A run is moved by live migration. Its memory is copied while it goes on, until one copy takes no
//! longer than a pause that its caller bears. Then the source stops the run and copies the rest, and
//! the same request goes to the destination. The run continues only after the source has confirmed
//! that it stopped: two runs of one request are worse than a lost stream.

use bytes::Bytes;
use derive_more::Display;

use super::config::Engine;
use crate::time::Span;
use crate::time::Time;

/// Least number of events that a run is still expected to send. A shorter rest is over before its
/// move is.
const MIN_EVENTS: u64 = 3;
/// Share of a caller's remaining time for which the copy may keep a link busy. The other runs of an
/// engine that leaves wait for the same link.
const MAX_LINK_RATIO: f64 = 0.1;
/// Factor on the time of a copy to another failure domain.
const OTHER_DOMAIN_RATIO: f64 = 2.0;
/// Time for which an engine that leaves serves its calls, if it does not state it.
const MIN_NOTICE: Span = Span::secs(2);
/// Factor on a run's expected rest: answers are often longer than expected, and a run that is not
/// moved is lost with its engine.
const REST_RATIO: f64 = 1.25;

/// Time after an engine was known to leave until which runs are stopped there. It leaves time for
/// the answer and for the way back within [`RETURN_TIMEOUT`].
pub const COPY_TIMEOUT: Span = Span::millis(600);
/// Time after an engine was known to leave until which a stopped run may return to it. Later, an
/// engine that leaves must get no request any more.
pub const RETURN_TIMEOUT: Span = Span::secs(1);
/// Upper bound on the time of the last copy before a run is stopped, as a share of the stream's
/// allowed pause; the destination needs the rest to send the next event.
const MAX_PAUSE_RATIO: f64 = 0.5;
/// The same for streams without a bound on their pauses. Callers abandon a stream after a pause of
/// two seconds.
const DEFAULT_PAUSE: Span = Span::millis(500);
/// Copies of one run while it goes on. If the last one is still too long, the link is too narrow for
/// what the run adds meanwhile.
const MAX_PASSES: u32 = 3;
/// Moves of one stream: while engines are replaced one after the other, the destination of the
/// first move may leave as well.
pub const MAX_MOVES: u32 = 3;
/// Moves of a stream that may begin in vain. A further attempt finds the same links and caches.
pub const MAX_ATTEMPTS: u32 = 3;

/// A stream in progress, as the gateway that serves it sees it.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Events of the stream so far, at all engines.
    pub events: u64,
    /// Events from the current engine.
    pub events_here: u64,
}

/// What a move may save its caller, and cost the engines.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Length of the run's memory, in tokens.
    pub tokens: u64,
    /// Tokens that the run is still expected to make.
    pub rest_tokens: u64,
    /// Time that the run is still expected to take.
    pub rest: Span,
    /// Time that the run has taken at its engine, which a new run would take again.
    pub spent: Span,
    /// Time until the caller's deadline.
    pub remaining: Span,
}

impl Run {
    /// Whether the rest of the run is worth the copy of its memory to an engine in the same failure
    /// domain or in another one.
    pub fn is_worth_move(&self, engine: &Engine, other_domain: bool) -> bool {
        let Some(transfer) = engine.transfer.filter(|_| engine.moves) else {
            return false;
        };
        let ratio = if other_domain { OTHER_DOMAIN_RATIO } else { 1.0 };
        let copy_ms = ratio * transfer.copy_ms(self.tokens);
        let events = self.rest_tokens / u64::from(engine.tokens_per_event.max(1));
        events >= MIN_EVENTS
            && copy_ms <= self.spent.as_secs_f64() * 1e3
            && copy_ms <= self.remaining.as_secs_f64() * 1e3 * MAX_LINK_RATIO
    }

    /// Whether the run is expected to last longer than its engine, which was known to leave for
    /// `known` and which may have `stated` how long it still serves.
    pub fn outlasts(&self, known: Span, stated: Option<Span>) -> bool {
        let notice = stated.unwrap_or(Span(MIN_NOTICE.0.saturating_sub(known.0)));
        self.rest.as_secs_f64() * REST_RATIO > notice.as_secs_f64()
    }
}

/// Answer of a source to a call that copies a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The copy is complete; the destination keeps it under this handle.
    Copied(Bytes),
    /// The source does not run the run.
    NotRunning,
    /// The source works on another such call.
    Busy,
    /// The destination has no room, or the source can't reach it. The handle names the memory that
    /// the source keeps if it stopped the run.
    Refused(Option<Bytes>),
    /// Anything else, or no answer.
    Unclear,
}

/// What follows from a copy of a run that goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Copy what is new since.
    Copy,
    /// Ask again after a short time.
    Wait,
    /// Stop the run and copy the rest.
    Stop,
    /// Leave the run where it is.
    Abandon(Obstacle),
}

/// Why a run was not moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Obstacle {
    /// The run is expected to end before its engine.
    EndsInTime,
    /// The owner of the destination has no room for the copy, or does not answer.
    NoRoom,
    /// The source does not run the run: it waits there, or has ended.
    NotRunning,
    /// The source can't copy to the destination.
    Refused,
    /// The source did not answer, or not in a known form.
    Unclear,
    /// The copies take longer than the caller bears, or than the engine is sure to serve.
    TooSlow,
    /// The request is quarantined or suspect, no longer allowed, or the engine takes no more calls.
    NotAllowed,
    /// The retry budget is spent.
    NoBudget,
    /// Neither engine took the run after its stop.
    NotTaken,
    /// An engine may work on the run without this gateway's knowledge.
    InDoubt,
}

/// Copies of a run while it goes on, until one is short enough to stop the run for.
#[derive(Clone, Copy, Debug)]
pub struct Passes {
    max_pause: Span,
    end: Time,
    count: u32,
}

impl Passes {
    /// Copies of a stream with this allowed pause, zero if there is no bound, until `end`.
    pub fn new(pause: Span, end: Time) -> Passes {
        let pause = if pause.0 == 0 { DEFAULT_PAUSE } else { pause };
        let max_pause = Span((pause.0 as f64 * MAX_PAUSE_RATIO) as u64);
        Passes { max_pause, end, count: 0 }
    }

    /// Records the answer to a copy that took so long, up to `now`.
    pub fn record(&mut self, now: Time, took: Span, reply: &Reply) -> Step {
        match reply {
            _ if now >= self.end => Step::Abandon(Obstacle::TooSlow),
            Reply::Copied(_) if took <= self.max_pause => Step::Stop,
            Reply::Copied(_) => {
                self.count += 1;
                if self.count < MAX_PASSES { Step::Copy } else { Step::Abandon(Obstacle::TooSlow) }
            }
            Reply::Busy => Step::Wait,
            Reply::NotRunning => Step::Abandon(Obstacle::NotRunning),
            Reply::Refused(_) => Step::Abandon(Obstacle::Refused),
            Reply::Unclear => Step::Abandon(Obstacle::Unclear),
        }
    }
}

/// State of the source's stream when the answer to the stop is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// No end has arrived.
    Open,
    /// It ended behind an event, with its connection. A run that ended sends the same.
    Ended,
    /// It broke off.
    Broken,
}

/// What follows from the answer to a stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The run continues at the destination with this handle, or at the source if the destination
    /// does not take it.
    Continue(Bytes),
    /// The run continues at the source, with this handle.
    Return(Bytes),
    /// The run goes on at the source.
    Stay,
    /// The run goes on at the source, or has been stopped there: an end of the stream that does not
    /// state that it is complete is none.
    Doubt,
    /// The run had ended before the stop.
    Complete,
    /// The stream broke off as without a move.
    Broken,
}

/// What follows from the answer to a stop, by the state of the stream.
pub fn judge_stop(reply: &Reply, stream: Stream) -> Verdict {
    match (reply, stream) {
        (Reply::Copied(handle), _) => Verdict::Continue(handle.clone()),
        (Reply::Refused(Some(handle)), _) => Verdict::Return(handle.clone()),
        (Reply::NotRunning, Stream::Open) => Verdict::Stay,
        (Reply::NotRunning, Stream::Ended) => Verdict::Complete,
        (_, Stream::Open) => Verdict::Doubt,
        (_, Stream::Ended | Stream::Broken) => Verdict::Broken,
    }
}

/// What became of a stopped run's request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// The engine continues the run.
    Continued,
    /// It is certain that the engine does not work on the run.
    NotRun,
    /// The engine may work on the run.
    Unknown,
}

/// Where a stopped run goes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It goes on where it was sent.
    Done,
    /// Back to the source, which keeps its memory.
    Source,
    /// Nowhere.
    Abort(Obstacle),
}

/// Where a stopped run goes after it was sent to the destination, or to the source if `returned`.
/// It goes on to a second engine only if the first one is certain not to work on it.
pub fn judge_sent(sent: Sent, returned: bool) -> Next {
    match (sent, returned) {
        (Sent::Continued, _) => Next::Done,
        (Sent::NotRun, false) => Next::Source,
        (Sent::NotRun, true) => Next::Abort(Obstacle::NotTaken),
        (Sent::Unknown, _) => Next::Abort(Obstacle::InDoubt),
    }
}
