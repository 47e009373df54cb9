//! Makes one attempt of a call at one replica, up to the head of its response.
//!
//! Each attempt picks a replica, connects to it, checks once more that the call may go there, and
//! only then sends the call. [`Fault`] is the reason for which an attempt failed.
//! [`Call::may_have_run`] is false only while no replica can have run the call, so that a response
//! says that the call has not run only if that is certain.

use std::cell::Cell;
use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::response::Parts;
use laburnumwheel_core::gateway::Grant;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::fingerprint::Fingerprint;
use laburnumwheel_core::gateway::fleet::Claim;
use laburnumwheel_core::gateway::fleet::Outcome;
use laburnumwheel_core::gateway::limit::permit::Permit;
use laburnumwheel_core::gateway::occupancy::Snapshot;
use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::gateway::refusal::Refusal;
use laburnumwheel_core::gateway::submission::Part;
use laburnumwheel_core::gateway::submission::Submission;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::admission;
use crate::admission::Place;
use crate::cache;
use crate::channel;
use crate::channel::Bound;
use crate::channel::Channel;
use crate::clock;
use crate::copy;
use crate::copy::Copy;
use crate::dialect;
use crate::limit;
use crate::log::Line;
use crate::memory::Held;
use crate::peers;
use crate::reach;
use crate::response;
use crate::response::BodyError;
use crate::response::Length;
use crate::shared::Shared;

/// Times that owners are asked for one attempt while the engines that they own have no memory left.
/// Each takes a few milliseconds, and the third one reaches six engines.
const MAX_SNAPSHOT_ROUNDS: usize = 3;
/// Headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Largest response that is buffered before it is forwarded, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Largest body of a refusal that is read, in bytes. Callers do not get it; with a longer one the
/// connection is closed.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// Most parts of a prompt that one log line names.
const MAX_LOGGED_PARTS: usize = 8;
/// Most permits that one attempt asks for.
const MAX_PERMIT_REQUESTS: usize = 4;

/// An admitted call and the state that its attempts share.
pub struct Call {
    /// State of the process.
    pub shared: Shared,
    /// The parsed head of the call.
    pub submission: Submission,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Route, deadline and limits under which the call was admitted.
    pub grant: Grant,
    /// A replica may have run the call, or may still run it.
    pub may_have_run: bool,
    /// The head of a response has been passed to the caller's connection.
    pub responding: bool,
    /// The call has been counted for its organisation.
    pub metered: bool,
    /// The call counts for this gateway's part of the retry budget.
    pub is_budgeted: bool,
    /// Copy of the run that the current attempt asks for.
    pub copy: Option<Copy>,
    /// Time until which a stream that broke off may wait until builds are certain.
    pub confirms_until: Option<Time>,
    /// Time that the call has waited for places at replicas.
    pub waited: Span,
    /// Memory that is counted for the answer of a plain call.
    pub held: Option<Held>,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Fault {
    /// No connection could be made; nothing was sent.
    Unreachable,
    /// The replica refused the call without running it.
    Refused,
    /// The replica stopped taking calls before this one was sent.
    Withdrawn,
    /// Another incarnation of a replica has the address; the call did not run.
    Replaced,
    /// The replica responded with an error status.
    Status,
    /// The connection broke, or the response was malformed.
    Broken,
    /// The response belongs to another call.
    Misattributed,
    /// There is no memory for the response.
    NoMemory,
    /// The replica has sent nothing for too long; the retry budget has been charged for the next
    /// attempt.
    Silent,
    /// The call's deadline has passed.
    TimedOut,
    /// The process is about to exit.
    Stopped,
}

impl Fault {
    /// Whether it is certain that no replica ran the call in this attempt.
    pub fn not_run(self) -> bool {
        matches!(self, Fault::Unreachable | Fault::Withdrawn | Fault::Refused | Fault::Replaced)
    }

    fn outcome(self) -> Outcome {
        match self {
            Fault::Unreachable => Outcome::Unreachable,
            Fault::Refused => Outcome::Refused,
            Fault::Replaced => Outcome::Replaced,
            Fault::Status | Fault::Broken | Fault::Misattributed | Fault::Silent => Outcome::Failed,
            Fault::Withdrawn | Fault::TimedOut | Fault::Stopped | Fault::NoMemory => {
                Outcome::Cancelled
            }
        }
    }
}

/// Formats the call's fingerprint for logs; empty if it has none.
pub fn format_fingerprint(grant: &Grant) -> String {
    grant.fingerprint.map_or_else(String::new, |fingerprint| fingerprint.to_string())
}

/// Formats the ids of the first parts of a prompt for logs, in hexadecimal; `-` if there are none.
fn format_parts(parts: &[Part]) -> String {
    let ids: Vec<String> =
        parts.iter().take(MAX_LOGGED_PARTS).map(|part| format!("{:x}", part.id)).collect();
    if ids.is_empty() { "-".to_owned() } else { ids.join(",") }
}

/// A complete response of a replica.
#[derive(Clone, Debug)]
pub struct Collected {
    /// Status and headers.
    pub head: Parts,
    /// Body.
    pub body: Bytes,
}

/// Why an attempt ended without a response to forward.
pub enum Failure {
    /// The gateway refused to send the call.
    Denied(Refusal),
    /// The attempt failed; holds the replica's error response if it can be forwarded.
    Fault(Fault, Option<Box<Collected>>),
}

/// An attempt in progress; dropping it ends the attempt as cancelled.
pub struct InFlight {
    shared: Shared,
    /// Claim on the replica; `None` if another gateway serves the call.
    claim: Option<Claim>,
    fingerprint: Option<Fingerprint>,
    ended: Cell<bool>,
}

impl InFlight {
    /// An attempt that another gateway makes, which records it too.
    pub fn at_peer(shared: &Shared) -> InFlight {
        InFlight { shared: shared.clone(), claim: None, fingerprint: None, ended: Cell::new(false) }
    }

    /// Claim on the replica; `None` if another gateway serves the call.
    pub fn claim(&self) -> Option<Claim> {
        self.claim
    }

    /// Time at which a replica got the call; `None` if another gateway serves it.
    pub fn sent(&self) -> Option<Time> {
        self.claim.map(|claim| claim.sent)
    }

    /// Records the end of the attempt; only the first call has an effect.
    pub fn end(&self, outcome: Outcome) {
        let is_first = !self.ended.replace(true);
        if let Some(claim) = self.claim.filter(|_| is_first) {
            let (now, mut gateway) = (clock::now(), self.shared.gateway.borrow_mut());
            if outcome == Outcome::Cancelled {
                gateway.record_abandoned(now, self.fingerprint, &claim);
            }
            gateway.record_end(now, claim, outcome);
            drop(gateway);
            self.shared.updates_waiting.notify_one();
        }
    }

    /// Records that the replica sent something, with the load that a response head states.
    pub fn record_activity(&mut self, metadata: Option<&dialect::Metadata>) {
        let load = metadata.and_then(|m| m.load);
        if let Some(claim) = &self.claim {
            self.shared.gateway.borrow_mut().record_activity(clock::now(), claim, load);
        }
    }

    /// Records that the answer is read again after a pause.
    pub fn record_pause(&mut self) {
        if let Some(claim) = &mut self.claim {
            claim.paused = Some(clock::now());
        }
    }

    /// Whether a replica has sent an event.
    pub fn has_event(&self) -> bool {
        self.claim.is_some_and(|claim| claim.has_event())
    }

    /// Records that data has arrived after `waited_since`, when none had been there to read.
    pub fn record_data(&mut self, waited_since: Time) {
        // Once the answer was not read for a time, its events may have waited in buffers.
        if let Some(claim) = self.claim.as_ref().filter(|claim| claim.paused.is_none()) {
            self.shared.gateway.borrow_mut().record_data(clock::now(), claim, waited_since);
        }
    }

    /// Records that events, or the complete response, have arrived.
    pub fn record_event(&mut self) {
        let Some(claim) = &mut self.claim else {
            return;
        };
        let first = self.shared.gateway.borrow_mut().record_event(clock::now(), claim);
        if first {
            self.shared.updates_waiting.notify_one();
        }
    }

    /// Counts the events of the answer that have arrived.
    pub fn record_output(&mut self, events: u64) {
        if let Some(claim) = &mut self.claim
            && self.shared.gateway.borrow_mut().record_output(claim, events)
        {
            self.shared.updates_waiting.notify_one();
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.end(Outcome::Cancelled);
    }
}

/// An attempt whose response head has arrived.
pub struct Exchange {
    /// Status and headers.
    pub head: Parts,
    /// The parsed head.
    pub metadata: dialect::Metadata,
    /// Body, not yet read.
    pub body: Incoming,
    /// Claim on the replica.
    pub in_flight: InFlight,
    /// The connection.
    pub channel: Channel,
    /// Identity of the replica.
    pub replica: String,
    /// Time at which the head arrived.
    pub began: Time,
}

impl Exchange {
    /// Length of the body.
    pub fn length(&self) -> Length {
        Length::of(&self.head.extensions)
    }

    /// Ends the attempt and returns the connection to the pool, after the response has been read
    /// completely.
    pub fn finish(self, outcome: Outcome) {
        self.in_flight.end(outcome);
        let shared = self.in_flight.shared.clone();
        let Some(replica) = self.in_flight.claim.map(|claim| claim.replica) else {
            return;
        };
        let max_idle = shared.gateway.borrow().max_idle_connections(replica);
        shared.pool.put(replica, self.channel, self.metadata.keep_alive, max_idle);
    }
}

impl Call {
    /// Logs and counts a failed attempt.
    pub fn record_failure(&self, replica: &str, fault: Fault) {
        let label = format!("service=\"{}\",fault=\"{fault}\"", self.grant.service);
        self.shared.metrics.count("attempt_faults_total", label);
        let line = Line::new("attempt_failed")
            .with("request", String::from_utf8_lossy(&self.submission.id))
            .with("route", &self.grant.route.name)
            .with("fingerprint", format_fingerprint(&self.grant))
            .with("organisation", self.grant.organisation.as_deref().unwrap_or("-"))
            .with("parts", format_parts(&self.submission.parts))
            .with("replica", replica)
            .with("fault", fault)
            .with("attempt", self.grant.attempts)
            .with("age_ms", clock::now().since(self.grant.arrived).as_millis());
        self.shared.log(line);
    }

    /// Logs why a replica or another gateway has sent no valid response.
    pub(crate) fn log_broken(&self, sender: &str, error: &response::Error) {
        if let response::Error::Invalid(flaw) = error {
            self.shared.metrics.count("responses_invalid_total", format!("flaw=\"{flaw}\""));
        }
        let line = Line::new("response_broken")
            .with("request", String::from_utf8_lossy(&self.submission.id))
            .with("sender", sender)
            .with("error", error);
        self.shared.log(line);
    }

    /// Makes one attempt, up to the head of the response. While this gateway can't reach the service
    /// of the call, or has no place for it at brittle replicas, another one makes the attempt.
    ///
    /// # Errors
    ///
    /// Returns why there is no response to read.
    pub async fn attempt(&mut self, last_event: Option<&Bytes>) -> Result<Exchange, Failure> {
        // A copy belongs to one attempt, also if another gateway makes the next one.
        self.free_copy();
        self.check_stop()?;
        if self.resumes(last_event) {
            self.find_origin().await?;
        }
        let now = clock::now();
        if self.grant.is_delegated
            && self.shared.gateway.borrow().is_out_of_reach(&self.grant.service)
        {
            let mut gateway = self.shared.gateway.borrow_mut();
            gateway.withdraw_call(now, &self.grant.service);
            return Err(Failure::Denied(gateway.refuse_unreachable()));
        }
        if !self.grant.is_delegated && self.shared.gateway.borrow().must_delegate(now, &self.grant)
        {
            return self.delegate(last_event).await;
        }
        if self.shared.gateway.borrow().should_delegate(now, &self.grant)
            && let Some(result) = self.delegate_overflow(last_event).await
        {
            return result;
        }
        let picked = self.pick_with_memory(last_event.is_some()).await;
        let (pick, place) = match admission::obtain_place(self, picked).await {
            Err(Failure::Denied(refusal)) if refusal.reason == Reason::NoPlace => {
                return self.find_place(last_event, refusal).await;
            }
            picked => picked?,
        };
        self.copy = copy::reserve(self, &pick).await;
        let sent = self.send_to(pick, Some(place), last_event, None).await;
        if sent.is_err() && !self.may_have_run {
            self.free_copy();
        }
        sent
    }

    /// Checks that a call which has not run may still begin. In a stop, one that may outlast the process
    /// is refused, so that its caller repeats it elsewhere.
    pub(crate) fn check_stop(&self) -> Result<(), Failure> {
        if self.may_have_run || self.responding {
            return Ok(());
        }
        let begin = self.shared.gateway.borrow().may_begin(clock::now(), &self.grant);
        begin.map_err(Failure::Denied)
    }

    /// Frees the copy of a run that has ended, or has not begun.
    pub(crate) fn free_copy(&mut self) {
        if let Some(copy) = self.copy.take() {
            copy.finish();
        }
    }

    /// Connects to the replica of `pick`, checks once more that the call may go there, and sends it.
    /// With `continue_from`, the replica continues the call's run from that copy.
    ///
    /// # Errors
    ///
    /// Returns why there is no response to read.
    pub(crate) async fn send_to(
        &mut self,
        mut pick: Pick,
        place: Option<Place>,
        last_event: Option<&Bytes>,
        continue_from: Option<&str>,
    ) -> Result<Exchange, Failure> {
        let mut channel = self.connect(&pick).await?;
        if self.resumes(last_event) {
            channel = self.confirm_builds(&pick, channel).await?;
        }
        self.confirm(&pick)?;
        let request = self.request(&pick, last_event, continue_from);
        if let Some(place) = place {
            place.occupy();
        }
        self.send(&mut pick, channel, request).await
    }

    /// Whether an attempt goes on with a stream that has begun, in this response or an earlier one.
    pub(crate) fn resumes(&self, last_event: Option<&Bytes>) -> bool {
        self.grant.route.streams && (last_event.is_some() || self.submission.last_event.is_some())
    }

    /// Makes one attempt at a gateway that has a place for the call, unless another one delegated it.
    async fn find_place(
        &mut self,
        last_event: Option<&Bytes>,
        refusal: Refusal,
    ) -> Result<Exchange, Failure> {
        if self.grant.is_delegated {
            let mut gateway = self.shared.gateway.borrow_mut();
            gateway.withdraw_call(clock::now(), &self.grant.service);
            return Err(Failure::Denied(refusal));
        }
        self.delegate_to_holder(last_event, refusal).await
    }

    /// Picks a replica by the snapshots of its owner. If the engines whose owners were asked have no
    /// memory left, the next ones are asked for.
    async fn pick_with_memory(&mut self, resumes: bool) -> Result<Pick, Failure> {
        for _ in 1..MAX_SNAPSHOT_ROUNDS {
            match self.pick_asked(resumes).await {
                Err(Failure::Denied(refusal)) if refusal.reason == Reason::EngineMemoryFull => {
                    let labels = format!("service=\"{}\"", self.grant.service);
                    self.shared.metrics.count("engine_memory_full_total", labels);
                }
                picked => return picked,
            }
        }
        self.pick_asked(resumes).await
    }

    async fn pick_asked(&mut self, resumes: bool) -> Result<Pick, Failure> {
        let now = clock::now();
        let queries = self.shared.gateway.borrow_mut().queries(now, &self.submission, &self.grant);
        let parts = self.shared.gateway.borrow().parts_to_query(now, &self.submission, &self.grant);
        let snapshots = peers::request_snapshots(&self.shared, queries, &parts).await;
        self.pick_permitted(&snapshots, resumes).await
    }

    /// Picks a replica that the call may be sent to now. If the replica has a limit, this needs a
    /// permit, and maybe a wait; without one, another replica is picked.
    async fn pick_permitted(
        &mut self,
        snapshots: &[Snapshot],
        resumes: bool,
    ) -> Result<Pick, Failure> {
        for _ in 0..MAX_PERMIT_REQUESTS {
            let pick = self.pick(snapshots).map_err(Failure::Denied)?;
            match limit::obtain_permit(&self.shared, &mut self.grant, &pick, resumes).await {
                Permit::Granted(Span(0)) => return Ok(pick),
                Permit::Granted(wait) => {
                    self.wait_for_permit(&pick, wait).await?;
                    return Ok(pick);
                }
                Permit::Denied => {}
            }
        }
        let mut gateway = self.shared.gateway.borrow_mut();
        Err(Failure::Denied(gateway.refuse_limited(clock::now(), &self.grant)))
    }

    /// Waits until a permit is valid, or its replica takes no more calls.
    async fn wait_for_permit(&mut self, pick: &Pick, wait: Span) -> Result<(), Failure> {
        let end = clock::now() + wait;
        loop {
            let now = clock::now();
            // A stream whose response has begun is continued until the process exits.
            if !self.responding && self.shared.gateway.borrow().is_grace_over(now) {
                return Err(Failure::Fault(Fault::Stopped, None));
            }
            self.check_stop()?;
            if !self.may_send(now, pick) {
                return Err(self.fail_unsent(pick, Fault::Withdrawn, "replica closed"));
            }
            if now >= end {
                return Ok(());
            }
            tokio::select! {
                () = tokio::time::sleep(clock::duration(end.since(now))) => {}
                () = self.shared.calls_ending.notified() => {}
                () = self.shared.replicas_closing.notified() => {}
            }
        }
    }

    /// Whether the replica of `pick` still takes the call.
    pub(crate) fn may_send(&self, now: Time, pick: &Pick) -> bool {
        self.shared.gateway.borrow().may_send(now, &self.grant, pick.claim.replica)
    }

    fn pick(&mut self, snapshots: &[Snapshot]) -> Result<Pick, Refusal> {
        let mut gateway = self.shared.gateway.borrow_mut();
        gateway.pick(clock::now(), &self.submission, &mut self.grant, snapshots)
    }

    pub(crate) async fn connect(&mut self, pick: &Pick) -> Result<Channel, Failure> {
        if self.may_use_pooled(pick)
            && let Some(channel) = self.shared.pool.take(pick.claim.replica)
        {
            return Ok(channel);
        }
        let opened = channel::open_bounded(&pick.address, self.bound()).await;
        self.count_connection(&opened);
        reach::record(&self.shared, pick.claim.replica, opened.is_ok());
        opened.map_err(|e| self.fail_unsent(pick, Fault::Unreachable, &e.to_string()))
    }

    /// How much of the response may wait on a connection.
    pub(crate) fn bound(&self) -> Bound {
        Bound::of_call(self.shared.memory.limit().is_some(), self.grant.route.streams)
    }

    /// Counts a new connection to a replica, or the failure to open one.
    fn count_connection(&self, opened: &std::io::Result<Channel>) {
        let outcome = match opened.as_ref().map_err(std::io::Error::kind) {
            Ok(_) => "opened",
            Err(ErrorKind::ConnectionRefused) => "refused",
            Err(ErrorKind::TimedOut) => "timed_out",
            Err(_) => "failed",
        };
        let labels = format!("service=\"{}\",outcome=\"{outcome}\"", self.grant.service);
        self.shared.metrics.count("replica_connections_total", labels);
    }

    /// Whether the call may use a pooled connection.
    ///
    /// A plain call that is not idempotent gets a new one: if the replica has just closed a pooled
    /// connection, it is unknown whether the call ran. A stream that breaks off is reported as
    /// unknown on either kind of connection.
    fn may_use_pooled(&self, pick: &Pick) -> bool {
        self.grant.route.idempotent || (pick.engine && self.grant.route.streams)
    }

    pub(crate) fn fail_unsent(&mut self, pick: &Pick, fault: Fault, error: &str) -> Failure {
        let mut gateway = self.shared.gateway.borrow_mut();
        let outcome = fault.outcome();
        gateway.record_unsent(clock::now(), &mut self.grant, pick.claim.replica, outcome);
        drop(gateway);
        let event = match fault {
            Fault::Withdrawn => "attempt_withdrawn",
            _ => "replica_unreachable",
        };
        let line = Line::new(event)
            .with("request", String::from_utf8_lossy(&self.submission.id))
            .with("replica", &pick.id)
            .with("address", &pick.address)
            .with("error", error);
        self.shared.log(line);
        Failure::Fault(fault, None)
    }

    /// Checks again, after connecting, that the call may still be sent to the replica.
    fn confirm(&mut self, pick: &Pick) -> Result<(), Failure> {
        self.check_stop()?;
        let service = self.grant.service.clone();
        let now = clock::now();
        let gateway = &self.shared.gateway;
        let result = gateway.borrow().recheck(now, &self.submission, &mut self.grant);
        result.map_err(Failure::Denied)?;
        if self.may_send(now, pick) && self.grant.service == service {
            Ok(())
        } else {
            Err(self.fail_unsent(pick, Fault::Withdrawn, "no longer allowed"))
        }
    }

    /// The request for a replica or for another gateway, with the caller's headers.
    pub(crate) fn bare_request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        for name in HOP_BY_HOP {
            headers.remove(name);
        }
        headers.remove(header::CONTENT_LENGTH);
        if !self.body.is_empty() || self.method == Method::POST {
            headers.insert(header::CONTENT_LENGTH, self.body.len().into());
        }
        request
    }

    fn request(
        &self,
        pick: &Pick,
        last_event: Option<&Bytes>,
        continue_from: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let mut request = self.bare_request();
        let attempt = dialect::Attempt {
            replica: &pick.id,
            organisation: self.grant.organisation.as_deref(),
            remaining_ms: self.grant.deadline.since(clock::now()).as_millis().max(1),
            rank: self.grant.rank,
            last_event,
            engine: pick.engine,
            copies: dialect::Copies {
                fetch_from: pick.fetch_from.as_deref(),
                backup_to: self.copy.as_ref().map(Copy::address),
                continue_from,
            },
        };
        (self.shared.dialect.prepare_attempt)(request.headers_mut(), &attempt);
        request
    }

    async fn send(
        &mut self,
        pick: &mut Pick,
        mut channel: Channel,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, Failure> {
        let now = clock::now();
        self.shared.gateway.borrow_mut().record_sent(now, &self.submission, &mut self.grant, pick);
        self.shared.updates_waiting.notify_one();
        cache::count_fetch(&self.shared, pick);
        let shared = self.shared.clone();
        pick.claim.connected = Some(channel.opened);
        let claim = Some(pick.claim);
        let fingerprint = self.grant.fingerprint;
        let mut in_flight = InFlight { shared, claim, fingerprint, ended: Cell::new(false) };
        let response = channel.send(request);
        let response = match self.wait_for(&in_flight, response).await {
            Ok(Ok(response)) => response,
            Ok(Err(e)) => {
                self.log_broken(&pick.id, &e);
                return Err(self.fail(&in_flight, &pick.id, Fault::Broken));
            }
            Err(fault) => return Err(self.fail(&in_flight, &pick.id, fault)),
        };
        let metadata = (self.shared.dialect.parse_response)(response.headers());
        // Another incarnation at this address says nothing about the one that the call was sent to,
        // which may have crashed under an earlier request.
        let is_of_replica = response.status() != StatusCode::MISDIRECTED_REQUEST;
        if is_of_replica {
            self.record_availability(response.status(), &metadata, pick);
        }
        if metadata.id.as_ref() != Some(&self.submission.id) {
            let fault = self.classify_foreign(&response, &metadata);
            return Err(self.fail(&in_flight, &pick.id, fault));
        }
        if is_of_replica {
            self.shared.gateway.borrow_mut().record_response(&pick.claim);
            in_flight.record_activity(Some(&metadata));
            self.record_limit(pick, &metadata);
        }
        let (head, body) = response.into_parts();
        let replica = pick.id.clone();
        let began = clock::now();
        let exchange = Exchange { head, metadata, body, in_flight, channel, replica, began };
        if exchange.metadata.not_run || exchange.head.status.is_server_error() {
            return Err(self.read_failure(exchange).await);
        }
        // A success without the seal was not sent by a replica.
        if exchange.head.status.is_success() && !exchange.metadata.sealed {
            return Err(self.fail(&exchange.in_flight, &exchange.replica, Fault::Broken));
        }
        Ok(exchange)
    }

    /// Classifies a response without this call's id.
    ///
    /// A 421 without an id comes from another incarnation at this address and applies to this call;
    /// any other response may belong to any call.
    fn classify_foreign(
        &self,
        response: &Response<Incoming>,
        metadata: &dialect::Metadata,
    ) -> Fault {
        let replaced = response.status() == StatusCode::MISDIRECTED_REQUEST;
        if replaced && metadata.id.is_none() { Fault::Replaced } else { Fault::Misattributed }
    }

    /// Reads an error response completely and records the failure.
    pub(crate) async fn read_failure(&mut self, exchange: Exchange) -> Failure {
        let replica = exchange.replica.clone();
        let sent = exchange.in_flight.sent();
        let fault = if exchange.head.status == StatusCode::MISDIRECTED_REQUEST {
            Fault::Replaced
        } else if exchange.metadata.not_run {
            Fault::Refused
        } else {
            Fault::Status
        };
        if fault.not_run() {
            return self.read_refusal(exchange, fault).await;
        }
        match self.collect(exchange, fault.outcome()).await {
            Ok(collected) => {
                self.may_have_run = true;
                self.meter(sent);
                self.record_failure(&replica, fault);
                Failure::Fault(fault, Some(Box::new(collected)))
            }
            Err(failure) => {
                if matches!(failure, Failure::Fault(Fault::Status, _)) {
                    self.meter(sent);
                }
                failure
            }
        }
    }

    /// Reads the body of a response which says that the call has not run. The head carried the call's
    /// id, so that this is true whatever becomes of the body, and no crash is one of this call.
    async fn read_refusal(&mut self, mut exchange: Exchange, fault: Fault) -> Failure {
        let body = response::collect(&mut exchange.body, MAX_REFUSAL_BYTES);
        let body = self.wait_for(&exchange.in_flight, body).await;
        self.record_failure(&exchange.replica, fault);
        match body {
            Ok(Ok(body)) => {
                let collected = self.complete(exchange, fault.outcome(), body);
                Failure::Fault(fault, Some(Box::new(collected)))
            }
            Ok(Err(_)) | Err(_) => {
                exchange.in_flight.end(fault.outcome());
                Failure::Fault(fault, None)
            }
        }
    }

    /// Reads the complete body of a response and ends the attempt with `outcome`.
    ///
    /// # Errors
    ///
    /// Returns a fault if the response breaks off or is too large, if there is no memory for it, or if
    /// [`Call::wait_for`] gives up.
    pub async fn collect(
        &mut self,
        mut exchange: Exchange,
        outcome: Outcome,
    ) -> Result<Collected, Failure> {
        let mut held = self.shared.memory.hold();
        let reserve = |bytes| held.grow(bytes);
        let body = response::collect_reserved(&mut exchange.body, MAX_RESPONSE_BYTES, reserve);
        match self.wait_for(&exchange.in_flight, body).await {
            Ok(Ok(body)) => Ok(self.complete(exchange, outcome, held.attach(body))),
            Ok(Err(BodyError::NoMemory)) => {
                Err(self.fail(&exchange.in_flight, &exchange.replica, Fault::Status))
            }
            Ok(Err(BodyError::Broken | BodyError::TooLong)) => {
                Err(self.fail(&exchange.in_flight, &exchange.replica, Fault::Broken))
            }
            Err(fault) => Err(self.fail(&exchange.in_flight, &exchange.replica, fault)),
        }
    }

    /// Ends an attempt whose response was read completely.
    pub(crate) fn complete(
        &self,
        mut exchange: Exchange,
        outcome: Outcome,
        body: Bytes,
    ) -> Collected {
        exchange.in_flight.record_event();
        if outcome == Outcome::Answered {
            self.record_completion(&exchange);
        }
        let head = exchange.head.clone();
        exchange.finish(outcome);
        Collected { head, body }
    }

    /// Records that a replica has run the call to completion. A response that another gateway passed
    /// on is recorded there, and one that is no success says nothing about the call.
    pub fn record_completion(&self, exchange: &Exchange) {
        let Some(claim) = exchange.in_flight.claim else {
            return;
        };
        if !exchange.head.status.is_success() {
            return;
        }
        let (now, began) = (clock::now(), exchange.began);
        let mut gateway = self.shared.gateway.borrow_mut();
        match exchange.length().is_stated() {
            true => gateway.record_answer(now, began, &self.grant),
            false => gateway.record_unframed(now, began, &self.grant, &claim),
        }
    }

    /// Counts the call for its organisation, as one that began to run at `at`; later calls have no
    /// effect. `None` is a call that another gateway serves and counts.
    pub fn meter(&mut self, at: Option<Time>) {
        if let Some(at) = at
            && !std::mem::replace(&mut self.metered, true)
        {
            self.shared.meter(at, self.grant.organisation.as_deref());
        }
    }

    /// Ends an attempt that failed, and records its fault.
    pub fn fail(&mut self, in_flight: &InFlight, replica: &str, fault: Fault) -> Failure {
        self.may_have_run |= !fault.not_run();
        if self.has_likely_run(fault) {
            self.meter(in_flight.sent());
        }
        if let Some(claim) = in_flight.claim.filter(|_| fault == Fault::Broken) {
            self.shared.gateway.borrow_mut().record_crash(clock::now(), &self.grant, &claim);
        }
        if let Some(claim) = in_flight.claim.filter(|_| fault == Fault::Silent) {
            let mut gateway = self.shared.gateway.borrow_mut();
            gateway.record_abandoned(clock::now(), self.grant.fingerprint, &claim);
        }
        in_flight.end(fault.outcome());
        self.record_failure(replica, fault);
        Failure::Fault(fault, None)
    }

    /// Whether a replica has most likely begun to run a call that got no response.
    ///
    /// A plain call runs as soon as it arrives. An engine queues calls and keeps the connection
    /// open meanwhile, so only a broken connection shows that the call had begun.
    fn has_likely_run(&self, fault: Fault) -> bool {
        match fault {
            Fault::Broken | Fault::Misattributed | Fault::NoMemory => true,
            Fault::TimedOut | Fault::Silent => !self.grant.route.streams,
            _ => false,
        }
    }

    /// Waits for `future`, which awaits data of a replica.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::TimedOut`] at the call's deadline, [`Fault::Stopped`] if the process is
    /// about to exit and the caller has no response yet, and [`Fault::Silent`] if the replica has
    /// sent nothing for so long that another replica is likely to be faster and the call may be
    /// sent there.
    pub async fn wait_for<T>(
        &self,
        in_flight: &InFlight,
        future: impl Future<Output = T>,
    ) -> Result<T, Fault> {
        let mut future = std::pin::pin!(future);
        let mut movable = self.may_retry();
        loop {
            let now = clock::now();
            if now >= self.grant.deadline {
                return Err(Fault::TimedOut);
            }
            // A caller without a response gets an error now: if its connection were closed at exit,
            // it would not know that its call had arrived. A response that has begun could only be
            // broken off, so it is read until the process exits.
            if !self.responding && self.shared.gateway.borrow().is_grace_over(now) {
                return Err(Fault::Stopped);
            }
            let left = self.grant.deadline.since(now);
            let mut wait = left;
            if let Some(claim) = in_flight.claim.filter(|_| movable) {
                let silent_in = self.shared.gateway.borrow().time_until_silent(now, &claim);
                if silent_in.0 == 0 {
                    // The attempt is abandoned only if another replica may take the call; otherwise
                    // a stream would break off at the caller because of a pause of its replica.
                    let mut gateway = self.shared.gateway.borrow_mut();
                    if gateway.may_reroute(now, &self.submission, &self.grant)
                        && gateway.spend_retry(now, &self.grant.service)
                    {
                        return Err(Fault::Silent);
                    }
                    movable = false;
                } else {
                    wait = left.min(silent_in);
                }
            }
            let wait = clock::duration(wait) + Duration::from_millis(1);
            tokio::select! {
                biased;
                value = &mut future => return Ok(value),
                () = tokio::time::sleep(wait) => {}
                () = self.shared.calls_ending.notified() => {}
            }
        }
    }

    /// Whether the call may be sent to another replica although one may have run it.
    pub fn may_retry(&self) -> bool {
        self.grant.route.idempotent && self.grant.attempts < self.grant.route.attempts
    }
}
