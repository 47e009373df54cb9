//! One replica as a gateway sees it: load, silence, rest and what it has cached.

use crate::gateway::engine::Cache;
use crate::incarnation::Digest;
use crate::incarnation::Incarnation;
use crate::time::Span;
use crate::time::Time;

/// A replica with work that has said nothing for this long gets no more, and what it has moves
/// elsewhere. A gateway may have a single request in a full engine's queue, so this is longer than
/// such a queue lasts; a host that is gone shows sooner by its connections.
const ENGINE_SILENCE: Span = Span::millis(2_500);
/// The same for plain services, whose calls take tens of milliseconds.
const PLAIN_SILENCE: Span = Span::millis(300);
/// How long a replica is left alone after no connection could be made; doubles up to the longest.
pub(super) const FIRST_REST: Span = Span::millis(400);
/// A load report counts in full while it is young, then less and less, and in the end nothing.
const REPORT_YOUNG: Span = Span::millis(1_000);
const REPORT_LIFE: Span = Span::millis(3_000);

/// An entry of the list of replicas.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Listing {
    /// The run of the replica.
    pub incarnation: Incarnation,
    /// Service by name.
    pub service: String,
    /// IP address and port.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Calls it works on at a time.
    pub slots: u32,
    /// It is leaving and must get nothing new.
    pub leaving: bool,
}

impl Listing {
    /// An entry of which only the identity is known: it names no replica to use.
    pub fn unreadable(id: &str) -> Listing {
        Listing {
            incarnation: Incarnation::without_start(id),
            service: String::new(),
            address: String::new(),
            domain: String::new(),
            slots: 0,
            leaving: true,
        }
    }

    /// Whether only the identity is known.
    pub fn is_unreadable(&self) -> bool {
        self.address.is_empty()
    }
}

/// What a replica said of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls it works on.
    pub running: u32,
    /// Calls that wait inside it.
    pub waiting: u32,
    /// Calls it can work on at a time.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    pub(super) running: u32,
    pub(super) waiting: f64,
    /// Calls of other gateways, running and waiting.
    pub(super) others: f64,
    pub(super) at: Time,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer that is no failure of the replica.
    Answered,
    /// The caller left, or the gateway moved the call away.
    Cancelled,
    /// It refused without running the call.
    Refused,
    /// No connection could be made.
    Unreachable,
    /// Another run of a replica has the address.
    Replaced,
    /// A failure status, a broken or wrong answer.
    Failed,
}

/// One replica as this gateway sees it.
#[derive(Debug)]
pub struct Replica {
    /// Its entry in the list.
    pub listing: Listing,
    /// It must get nothing new: it is leaving, or its entry is gone.
    pub closed: bool,
    /// Its entry is missing and may have lapsed in an outage of the store.
    pub(super) retained: bool,
    pub(super) hash: u64,
    pub(super) sensitive: u32,
    pub(super) engine: bool,
    pub(super) own: u32,
    pub(super) prefill_ms: f64,
    pub(super) quiet_since: Time,
    /// When it was last known to live, from what it sent to any gateway.
    pub(super) alive: Time,
    pub(super) resting_until: Time,
    pub(super) rest: Span,
    pub(super) failures: f64,
    pub(super) slowness: f64,
    pub(super) report: Option<Report>,
    pub(super) cache: Cache,
}

impl Replica {
    pub(super) fn new(listing: Listing, now: Time) -> Replica {
        Replica {
            hash: listing.incarnation.hash(),
            closed: listing.leaving,
            retained: false,
            listing,
            sensitive: 0,
            engine: false,
            own: 0,
            prefill_ms: 0.0,
            quiet_since: now,
            alive: Time(0),
            resting_until: Time(0),
            rest: FIRST_REST,
            failures: 0.0,
            slowness: 1.0,
            report: None,
            cache: Cache::default(),
        }
    }

    /// Attempts of this gateway in progress.
    pub fn own(&self) -> u32 {
        self.own
    }

    pub(super) fn time_until_silent(&self, now: Time) -> Span {
        let bound = if self.engine { ENGINE_SILENCE } else { PLAIN_SILENCE };
        (self.quiet_since + bound).since(now)
    }

    pub(super) fn is_silent(&self, now: Time) -> bool {
        self.own > 0 && self.time_until_silent(now).0 == 0
    }

    pub(super) fn is_usable(&self, now: Time) -> bool {
        !self.closed && now >= self.resting_until && !self.is_silent(now)
    }

    /// Short hash of the run, by which gateways speak of it.
    pub(super) fn digest(&self) -> Digest {
        Digest(self.hash as u32)
    }

    pub(super) fn record_load(&mut self, at: Time, running: u32, waiting: u32) {
        // Added up as integers, an absurd report would overflow.
        let there = f64::from(running) + f64::from(waiting);
        let others = (there - f64::from(self.own)).max(0.0);
        self.report = Some(Report { running, waiting: f64::from(waiting), others, at });
    }

    /// Part of the last report that still counts.
    fn report_weight(&self, now: Time) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let age = now.since(report.at).0.saturating_sub(REPORT_YOUNG.0);
        (1.0 - age as f64 / (REPORT_LIFE.0 - REPORT_YOUNG.0) as f64).max(0.0)
    }

    /// Calls of all gateways that it has, as far as known.
    pub(super) fn running(&self, now: Time) -> f64 {
        f64::from(self.own) + self.others(now)
    }

    pub(super) fn others(&self, now: Time) -> f64 {
        self.report.map_or(0.0, |r| r.others) * self.report_weight(now)
    }

    pub(super) fn waiting(&self, now: Time) -> f64 {
        self.report.map_or(0.0, |r| r.waiting) * self.report_weight(now)
    }
}
