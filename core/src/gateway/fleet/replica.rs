//! One replica as this gateway observes it: load, liveness, backoff and cached prompt parts.

use super::cooldown::Cooldown;
use super::cooldown::HIGHEST_RANK;
use crate::gateway::build::Build;
use crate::gateway::engine::Cache;
use crate::gateway::memory::Held;
use crate::gateway::pace::Known;
use crate::gateway::pace::Scale;
use crate::incarnation::Digest;
use crate::incarnation::Incarnation;
use crate::time::Span;
use crate::time::Time;

/// An engine with calls in progress that sends nothing for this long gets no new calls, and those
/// in progress are sent elsewhere. It is longer than a full engine's queue lasts, because a
/// gateway's only call at an engine may be in that queue. Broken connections reveal a lost host
/// sooner.
const ENGINE_SILENCE: Span = Span::millis(2_500);
/// The same for plain services, whose calls take tens of milliseconds.
const PLAIN_SILENCE: Span = Span::millis(300);
/// Backoff after the first failed connection; it doubles with each further one.
pub(super) const INITIAL_BACKOFF: Span = Span::millis(400);
/// Age up to which a load report has its full weight.
const REPORT_FULL_WEIGHT: Span = Span::millis(1_000);
/// Age at which a load report has no more weight; in between, the weight falls linearly.
const REPORT_LIFETIME: Span = Span::millis(3_000);

/// An entry of the list of replicas.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Listing {
    /// Incarnation of the replica, with its id.
    pub incarnation: Incarnation,
    /// Name of the service.
    pub service: String,
    /// IP address and port.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Calls that the replica runs at a time.
    pub slots: u32,
    /// Whether the replica is leaving, so that it must get no new calls.
    pub leaving: bool,
    /// Version of the replica's software, if the entry states it.
    pub build: Option<String>,
}

impl Listing {
    /// An entry of which only the id can be read; its replica must get no new calls.
    pub fn unreadable(id: &str) -> Listing {
        Listing {
            incarnation: Incarnation::without_start(id),
            service: String::new(),
            address: String::new(),
            domain: String::new(),
            slots: 0,
            leaving: true,
            build: None,
        }
    }

    /// Whether only the id of the entry could be read.
    pub fn is_unreadable(&self) -> bool {
        self.address.is_empty()
    }
}

/// Load that a replica reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Running calls.
    pub running: u32,
    /// Calls that wait inside the replica.
    pub waiting: u32,
    /// Calls that the replica runs at a time.
    pub slots: u32,
    /// Time that work takes on the replica's host at this moment, in percent of the usual time;
    /// `None` if the replica does not state it.
    pub slowdown_percent: Option<u32>,
}

/// Newest load of a replica, reported to this gateway or to another one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    pub(super) running: u32,
    pub(super) waiting: f64,
    /// Calls of other gateways, running and waiting.
    pub(super) others: f64,
    /// Slowdown of the replica's host; `None` if it was not stated to this gateway.
    pub(super) slowdown_percent: Option<u32>,
    pub(super) at: Time,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The replica gave a complete answer that is not a failure of its own.
    Answered,
    /// The caller disconnected, or the gateway moved the call to another replica.
    Cancelled,
    /// The replica refused the call without running it.
    Refused,
    /// No connection could be made.
    Unreachable,
    /// Another incarnation, or another replica, has the address.
    Replaced,
    /// The replica answered with a failure status, or with a broken or wrong answer.
    Failed,
}

/// State of one replica as this gateway observes it.
#[derive(Debug)]
pub struct Replica {
    /// Newest entry in the list of replicas.
    pub listing: Listing,
    /// Version of the replica's software, if its entry states it.
    pub(super) build: Option<Build>,
    /// Time when a connection to the replica last broke, or could not be opened.
    pub(super) broken_at: Option<Time>,
    /// Whether the list of replicas shows that the replica must get no new calls: it is leaving, or
    /// its entry is missing. Another incarnation at its address has the same effect.
    pub closed: bool,
    /// Time of the list that closed the replica, if it was one.
    pub(super) closed_at: Option<Time>,
    /// Time of the first answer of the replica, to any gateway, which says that it leaves.
    pub(super) departed_at: Option<Time>,
    /// Whether the replica is in use although its entry is missing, which may have expired in an
    /// outage of the store.
    pub(super) retained: bool,
    /// Time at which it was last known to run by its responses.
    pub(super) heard_at: Time,
    /// Whether its report does not state the start of its process.
    pub(super) hides_start: bool,
    /// Number of the last list that had the replica.
    pub(super) listed_in: u64,
    /// Hash of the incarnation, by which all gateways order the replicas of a service alike.
    pub(super) hash: u64,
    /// This gateway's streams in progress that the prefill of long prompts would delay.
    pub(super) sensitive_streams: u32,
    /// Whether the replica is an engine and not one of a plain service.
    pub(super) engine: bool,
    /// This gateway's attempts in progress.
    pub(super) own_calls: u32,
    /// Prefill time of this gateway's attempts before their first event, in milliseconds.
    pub(super) prefill_ms: f64,
    /// Time from which silence counts: the last data, or the start of the first attempt after a
    /// time without any in progress.
    pub(super) silence_start: Time,
    /// Time at which the replica last sent data to any gateway.
    pub(super) last_seen: Time,
    /// End of the backoff after a failed connection.
    pub(super) backoff_until: Time,
    /// Backoff after the next failed connection.
    pub(super) backoff: Span,
    /// Moving average of attempts' outcomes, from 0 for answered to 1 for failed.
    pub(super) failure_rate: f64,
    /// Moving average of the ratio of actual to expected times to first event.
    pub(super) slowness: f64,
    pub(super) report: Option<Report>,
    /// Newest known pace.
    pub(super) pace: Known,
    /// Memory that the engine's calls hold by its owner's newest snapshot, with the time of that.
    pub(super) memory: Option<(Time, Held)>,
    /// Cooldown that the replica asked for, until it has recovered.
    pub(super) cooldown: Option<Cooldown>,
    pub(super) cache: Cache,
    /// Time of the last failed answer of an engine that was to fetch cached tokens from this one.
    pub(super) fetch_failed_at: Option<Time>,
}

impl Replica {
    pub(super) fn new(listing: Listing, now: Time) -> Replica {
        Replica {
            hash: listing.incarnation.hash(),
            build: listing.build.as_deref().map(Build::of),
            broken_at: None,
            closed: listing.leaving,
            closed_at: None,
            departed_at: None,
            retained: false,
            heard_at: Time(0),
            hides_start: false,
            listed_in: 0,
            listing,
            sensitive_streams: 0,
            engine: false,
            own_calls: 0,
            prefill_ms: 0.0,
            silence_start: now,
            last_seen: Time(0),
            backoff_until: Time(0),
            backoff: INITIAL_BACKOFF,
            failure_rate: 0.0,
            slowness: 1.0,
            report: None,
            pace: Known::default(),
            memory: None,
            cooldown: None,
            cache: Cache::default(),
            fetch_failed_at: None,
        }
    }

    /// Number of this gateway's attempts in progress.
    pub fn own_calls(&self) -> u32 {
        self.own_calls
    }

    pub(super) fn time_until_silent(&self, now: Time) -> Span {
        let bound = if self.engine { ENGINE_SILENCE } else { PLAIN_SILENCE };
        (self.silence_start + bound).since(now)
    }

    /// Whether the replica has calls in progress and has been silent for too long.
    pub(super) fn is_silent(&self, now: Time) -> bool {
        self.own_calls > 0 && self.time_until_silent(now).0 == 0
    }

    /// Whether the replica is not known to leave or to be gone.
    pub fn is_open(&self) -> bool {
        !self.closed && self.departed_at.is_none()
    }

    /// Time from which the replica has been known to leave; `None` if it is open, or closed for
    /// another reason.
    pub(super) fn leaving_since(&self) -> Option<Time> {
        let listed = self.closed_at.filter(|_| self.closed);
        [listed, self.departed_at].into_iter().flatten().min()
    }

    /// Whether the replica may get new calls.
    pub(super) fn is_usable(&self, now: Time) -> bool {
        self.is_open()
            && now >= self.backoff_until
            && !self.is_silent(now)
            && self.admits(now, HIGHEST_RANK)
    }

    /// Position in the order of the isolated pool, which all gateways derive alike: the faster
    /// replicas first if they differ by more than a class, and those alike by their hashes.
    pub(super) fn order(&self, scale: &Scale) -> (i16, u64) {
        (scale.bucket(self.pace.class()), self.hash)
    }

    /// Short hash of the incarnation, which identifies it in messages between gateways.
    pub(super) fn digest(&self) -> Digest {
        Digest(self.hash as u32)
    }

    /// Whether its entry or one of its answers said that the replica leaves.
    pub(super) fn is_leaving(&self) -> bool {
        self.listing.leaving || self.departed_at.is_some()
    }

    /// Time of the newest load that the replica has reported to a gateway.
    pub(in crate::gateway) fn reported_at(&self) -> Option<Time> {
        self.report.map(|report| report.at)
    }

    /// Records the load of the replica at time `at`.
    pub(super) fn record_load(
        &mut self,
        at: Time,
        running: u32,
        waiting: u32,
        slowdown_percent: Option<u32>,
    ) {
        // As integers, the sum of an absurd report would overflow.
        let total = f64::from(running) + f64::from(waiting);
        let others = (total - f64::from(self.own_calls)).max(0.0);
        let waiting = f64::from(waiting);
        self.report = Some(Report { running, waiting, others, slowdown_percent, at });
    }

    /// Weight of the newest report by its age, from 0 to 1.
    fn report_weight(&self, now: Time) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let age = now.since(report.at).0.saturating_sub(REPORT_FULL_WEIGHT.0);
        (1.0 - age as f64 / (REPORT_LIFETIME.0 - REPORT_FULL_WEIGHT.0) as f64).max(0.0)
    }

    /// Estimated calls of all gateways at the replica.
    pub(super) fn running(&self, now: Time) -> f64 {
        f64::from(self.own_calls) + self.others(now)
    }

    /// Estimated calls of other gateways at the replica.
    pub(super) fn others(&self, now: Time) -> f64 {
        self.report.map_or(0.0, |r| r.others) * self.report_weight(now)
    }

    /// Estimated calls that wait inside the replica.
    pub(super) fn waiting(&self, now: Time) -> f64 {
        self.report.map_or(0.0, |r| r.waiting) * self.report_weight(now)
    }
}
