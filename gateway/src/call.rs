//! Serves one call, from its head to the head of its response.
//!
//! The gateway admits the call by its head, reads its body, and makes attempts until one succeeds
//! or no further one is allowed. Every call gets a response, which says that the call has not run
//! only if no attempt can have run it.

use std::cell::Cell;
use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use laburnumwheel_core::gateway::Pick;
use laburnumwheel_core::gateway::config::Limits;
use laburnumwheel_core::gateway::fingerprint;
use laburnumwheel_core::gateway::fingerprint::Fingerprint;
use laburnumwheel_core::gateway::quarantine::feature::Feature;
use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::gateway::refusal::Refusal;
use laburnumwheel_core::time::Span;
use laburnumwheel_core::time::Time;

use crate::attempt::Call;
use crate::attempt::Failure;
use crate::attempt::Fault;
use crate::body::Payload;
use crate::clock;
use crate::connection::Connection;
use crate::delegation::Delegation;
use crate::intake;
use crate::intake::Intake;
use crate::log::Line;
use crate::memory;
use crate::memory::Answer;
use crate::origin;
use crate::relay::Relay;
use crate::response::Length;
use crate::shared::Shared;

/// Most replicas that a call may try to connect to.
pub const MAX_REPLICAS_TRIED: usize = 6;
/// Retry-after time in responses to calls that no replica has run.
const RETRY_AFTER: Span = Span::millis(150);
/// Response headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP: [header::HeaderName; 4] =
    [header::CONNECTION, header::TRANSFER_ENCODING, header::UPGRADE, header::TRAILER];

/// Records the timing and the end of one call in logs and metrics.
///
/// Only the first recorded end counts. If the recorder is dropped without one, the caller has left.
pub struct Recorder {
    shared: Shared,
    arrived: Time,
    id: Bytes,
    ended: Cell<bool>,
    first_event: Cell<Option<Span>>,
    last_event: Cell<Time>,
    /// Longest time from one event to the next.
    longest_pause: Cell<Span>,
}

impl Recorder {
    fn new(shared: Shared, id: Bytes, arrived: Time) -> Recorder {
        shared.calls.set(shared.calls.get() + 1);
        Recorder {
            shared,
            arrived,
            id,
            ended: Cell::new(false),
            first_event: Cell::new(None),
            last_event: Cell::new(arrived),
            longest_pause: Cell::new(Span(0)),
        }
    }

    /// Records that the first event, or the complete response, goes to the caller.
    pub fn record_first_event(&self, call: &Call) {
        let took = clock::now().since(self.arrived);
        self.first_event.set(Some(took));
        let organisation = call.grant.organisation.as_deref();
        self.shared.metrics.record_latency(&call.grant.route.name, organisation, took);
    }

    /// Records that an event has arrived; the time to the first one does not count as a pause.
    pub fn record_event(&self) {
        let now = clock::now();
        let before = self.last_event.replace(now);
        if before > self.arrived {
            self.longest_pause.set(self.longest_pause.get().max(now.since(before)));
        }
    }

    /// Records the end of an admitted call.
    pub fn record_end(&self, call: &Call, outcome: &str, status: u16) {
        if self.ended.replace(true) {
            return;
        }
        let grant = &call.grant;
        let labels = format!("route=\"{}\",outcome=\"{outcome}\"", grant.route.name);
        self.shared.metrics.count("calls_total", labels);
        let resumes = call.submission.resumes.as_deref().map(String::from_utf8_lossy);
        let now = clock::now();
        let proof = self.shared.gateway.borrow().proof_age(now);
        let line = self
            .line(outcome, status)
            .with("route", &grant.route.name)
            .with("service", &grant.service)
            .with("rank", format_args!("{}.{}", grant.rank.route, grant.rank.organisation))
            .with("attempts", grant.attempts)
            .with("waited_ms", call.waited.as_millis())
            .with("first_ms", self.first_event.get().map_or(-1, |f| f.as_millis() as i64))
            .with("pause_ms", self.longest_pause.get().as_millis())
            .with("version", self.shared.gateway.borrow().version())
            .with("proof_age_ms", proof.map_or(-1, |p| p.as_millis() as i64))
            .with("resumes", resumes.as_deref().unwrap_or("-"));
        self.shared.log(match &grant.last_pick {
            Some(pick) => with_choice(line, pick),
            None => line,
        });
    }

    /// Records the end of a call that was not admitted.
    fn record_refusal(&self, reason: &str, status: StatusCode) {
        if self.ended.replace(true) {
            return;
        }
        let labels = format!("reason=\"{reason}\"");
        self.shared.metrics.count("refusals_total", labels);
        let now = clock::now();
        let proof = self.shared.gateway.borrow().proof_age(now);
        let line = self
            .line("refused", status.as_u16())
            .with("reason", reason)
            .with("version", self.shared.gateway.borrow().version())
            .with("proof_age_ms", proof.map_or(-1, |p| p.as_millis() as i64));
        self.shared.log(line);
    }

    fn line(&self, outcome: &str, status: u16) -> Line {
        Line::new("call")
            .with("request", String::from_utf8_lossy(&self.id))
            .with("outcome", outcome)
            .with("status", status)
            .with("took_ms", clock::now().since(self.arrived).as_millis())
    }
}

/// Adds the estimates behind the last choice of a replica to the line.
fn with_choice(line: Line, pick: &Pick) -> Line {
    let claim = &pick.claim;
    line.with("replica", &pick.id)
        .with("build", pick.build.as_deref().unwrap_or("-"))
        .with("expected_ms", claim.expected_ms.round())
        .with("reading_ms", claim.prefill_ms.round())
        .with("load", claim.load.round())
        .with("waiting", claim.waiting.round())
        .with("report_age_ms", claim.report_age.map_or(-1, |a| a.as_millis() as i64))
        .with("home", claim.home)
        .with("cached", claim.cached_tokens)
        .with("fetch", pick.fetch_from.as_deref().unwrap_or("-"))
        .with("kept", claim.from_snapshot)
        .with("lane", claim.pool_size)
        .with("apart", claim.sensitive)
        .with("plan", claim.epoch)
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.shared.calls.set(self.shared.calls.get() - 1);
        if !self.ended.get() {
            self.shared.metrics.count("calls_total", "outcome=\"caller_left\"".to_owned());
            let line = self.line("caller_left", 0);
            self.shared.log(line);
        }
    }
}

/// Serves one call.
///
/// # Errors
///
/// Never fails; every call gets a response.
pub async fn serve(
    shared: Shared,
    request: Request<Incoming>,
) -> Result<Response<Payload>, Infallible> {
    let mut response = respond(&shared, request, None).await;
    if shared.gateway.borrow().is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// Responds to one call, which a peer may have delegated.
pub async fn respond(
    shared: &Shared,
    request: Request<Incoming>,
    delegation: Option<Delegation>,
) -> Response<Payload> {
    let arrived = clock::now();
    let (head, body) = request.into_parts();
    let submission = match (shared.dialect.parse_call)(&head) {
        Ok(submission) => submission,
        Err(e) => return text_response(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    let recorder = Recorder::new(shared.clone(), submission.id.clone(), arrived);
    let admitted = match delegation {
        None => shared.gateway.borrow_mut().admit(arrived, &submission),
        Some(delegation) => {
            let mut gateway = shared.gateway.borrow_mut();
            gateway.admit_delegated(arrived, &submission, delegation.version)
        }
    };
    let admitted = admitted.and_then(|grant| memory::admit(shared, grant));
    let limits = shared.gateway.borrow().config().map_or_else(Limits::default, |c| c.limits);
    let connection = head.extensions.get::<Arc<Connection>>().cloned();
    let mut intake = Intake::new(body, limits, connection);
    let mut grant = match admitted {
        Ok(grant) => grant,
        Err(refusal) => {
            // The body of a refused call is read too, so that the connection stays usable.
            if !intake.discard().await {
                tokio::task::spawn_local(intake.drain());
            }
            return refuse(shared, &recorder, &submission.id, &refusal);
        }
    };
    let held = (!grant.route.streams).then(|| shared.memory.hold_call());
    let body = match intake.receive(&shared.memory, grant.rank.route).await {
        Ok(body) => body,
        Err(intake::Fault::NoMemory) => {
            tokio::task::spawn_local(intake.drain());
            return refuse(shared, &recorder, &submission.id, &memory::refusal());
        }
        Err(fault) => {
            if fault == intake::Fault::TooLong {
                tokio::task::spawn_local(intake.drain());
            }
            recorder.record_refusal("body", fault.status());
            return gateway_response(shared, &submission.id, fault.status(), None);
        }
    };
    // From here on the connection is not closed in favour of another.
    drop(intake);
    let (method, uri) = (head.method, head.uri);
    let uri = uri.path_and_query().map_or(uri.clone(), |p| p.clone().into());
    grant.fingerprint = Some(Fingerprint::of(&fingerprint::Source {
        organisation: grant.organisation.as_deref(),
        method: method.as_str(),
        host: &submission.host,
        path: uri.path_and_query().map_or("", |p| p.as_str()),
        body: &body,
    }));
    grant.attempts = delegation.map_or(0, |delegation| delegation.attempts);
    grant.origin = delegation.and_then(|delegation| delegation.origin);
    if let Err(refusal) = origin::resolve(shared, &submission, &mut grant).await {
        return refuse(shared, &recorder, &submission.id, &refusal);
    }
    let shared = shared.clone();
    let call = Call {
        shared,
        submission,
        method,
        uri,
        headers: head.headers,
        body,
        grant,
        may_have_run: false,
        responding: false,
        metered: delegation.is_some_and(|delegation| delegation.metered),
        is_budgeted: true,
        copy: None,
        confirms_until: None,
        waited: Span(0),
        held,
    };
    run(call, recorder).await
}

/// Makes attempts until one succeeds or no further one is allowed.
async fn run(mut call: Call, mut recorder: Recorder) -> Response<Payload> {
    loop {
        let failure = match call.attempt(None).await {
            // Failures of streams are plain answers: their bodies are no events.
            Ok(exchange) if call.grant.route.streams && exchange.head.status.is_success() => {
                match Relay::open(call, exchange, recorder).await {
                    Ok((head, relay)) => {
                        return forward(head, Payload::stream(relay.into_stream()));
                    }
                    Err((returned_call, returned_recorder, failure)) => {
                        call = returned_call;
                        recorder = returned_recorder;
                        failure
                    }
                }
            }
            Ok(exchange) => {
                let sent = exchange.in_flight.sent();
                match memory::collect(&mut call, exchange).await {
                    Ok(Answer::Part(passage)) => {
                        call.meter(sent);
                        recorder.record_first_event(&call);
                        let length = passage.length();
                        let (head, parts) = passage.open(call, recorder);
                        return forward(head, Payload::sized_stream(parts, length));
                    }
                    Ok(Answer::Whole(collected)) => {
                        call.meter(sent);
                        call.free_copy();
                        recorder.record_first_event(&call);
                        recorder.record_end(&call, "answered", collected.head.status.as_u16());
                        return forward(collected.head, Payload::full(collected.body));
                    }
                    Err(failure) => failure,
                }
            }
            Err(failure) => failure,
        };
        if !allows_retry(&call, &failure) {
            return final_response(&call, &recorder, failure);
        }
    }
}

/// Whether another attempt is allowed by the route, the attempts made, the deadline and the retry
/// budget. Charges the budget for it.
fn allows_retry(call: &Call, failure: &Failure) -> bool {
    let Failure::Fault(fault, _) = failure else {
        return false;
    };
    let now = clock::now();
    let over = now >= call.grant.deadline || call.shared.gateway.borrow().is_grace_over(now);
    if over || matches!(fault, Fault::TimedOut | Fault::Stopped) {
        return false;
    }
    match fault {
        Fault::Unreachable | Fault::Withdrawn => call.grant.tried.len() < MAX_REPLICAS_TRIED,
        Fault::Silent => true,
        // The call did not run, but it was sent, so this counts as one of its attempts.
        Fault::Refused | Fault::Replaced => {
            call.grant.attempts < call.grant.route.attempts
                && call.shared.gateway.borrow_mut().spend_retry(now, &call.grant.service)
        }
        _ => {
            call.may_retry()
                && call.shared.gateway.borrow_mut().spend_retry(now, &call.grant.service)
        }
    }
}

/// Builds the response to a call whose attempts have all failed.
///
/// It says that the call has not run only if no attempt can have run it.
fn final_response(call: &Call, recorder: &Recorder, failure: Failure) -> Response<Payload> {
    let refusal = match failure {
        Failure::Fault(Fault::Status, Some(collected)) => {
            recorder.record_end(call, "replica_failed", collected.head.status.as_u16());
            return forward(collected.head, Payload::full(collected.body));
        }
        Failure::Fault(fault, _) if call.may_have_run => Refusal::unknown(match fault {
            Fault::TimedOut => Reason::TimedOut,
            Fault::Stopped => Reason::Stopping,
            _ => Reason::ReplicaFailed,
        }),
        Failure::Fault(Fault::Refused, _) => {
            let mut gateway = call.shared.gateway.borrow_mut();
            gateway.refuse_rejected(clock::now(), &call.grant, RETRY_AFTER)
        }
        Failure::Fault(Fault::TimedOut, _) => Refusal::not_run(Reason::TimedOut, RETRY_AFTER),
        Failure::Fault(_, _) => Refusal::not_run(Reason::NoReplica, RETRY_AFTER),
        Failure::Denied(refusal) if call.may_have_run => Refusal::unknown(refusal.reason),
        Failure::Denied(refusal) => refusal,
    };
    refuse_admitted(call, recorder, &refusal)
}

fn refuse_admitted(call: &Call, recorder: &Recorder, refusal: &Refusal) -> Response<Payload> {
    if refusal.reason == Reason::PartQuarantined {
        log_quarantined_part(call);
    }
    let outcome = refusal.reason.to_string();
    recorder.record_end(call, &outcome, status(refusal).as_u16());
    gateway_response(&call.shared, &call.submission.id, status(refusal), Some(refusal))
}

/// Logs because of which part of its prompt a call is refused.
fn log_quarantined_part(call: &Call) {
    let found = call.shared.gateway.borrow().quarantined_part(clock::now(), &call.grant);
    let Some(feature) = found else {
        return;
    };
    let service = &call.grant.service;
    let has_feature =
        |id: u64| feature == Feature::part(id) || feature == Feature::part_at(service, id);
    let part = call.submission.parts.iter().find(|part| has_feature(part.id));
    let line = Line::new("call_has_quarantined_part")
        .with("request", String::from_utf8_lossy(&call.submission.id))
        .with("feature", feature)
        .with("part", part.map_or_else(|| "-".to_owned(), |part| format!("{:x}", part.id)));
    call.shared.log(line);
}

fn refuse(
    shared: &Shared,
    recorder: &Recorder,
    id: &Bytes,
    refusal: &Refusal,
) -> Response<Payload> {
    recorder.record_refusal(&refusal.reason.to_string(), status(refusal));
    gateway_response(shared, id, status(refusal), Some(refusal))
}

fn status(refusal: &Refusal) -> StatusCode {
    match (refusal.reason, refusal.not_run) {
        (Reason::NoRoute, true) => StatusCode::NOT_FOUND,
        (Reason::UnknownKey, true) => StatusCode::UNAUTHORIZED,
        (_, true) => StatusCode::SERVICE_UNAVAILABLE,
        (Reason::TimedOut, false) => StatusCode::GATEWAY_TIMEOUT,
        (_, false) => StatusCode::BAD_GATEWAY,
    }
}

fn seconds(span: Span) -> HeaderValue {
    let text = format!("{:.3}", span.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}

/// Builds a response of the gateway itself. A refusal also goes into its extensions.
fn gateway_response(
    shared: &Shared,
    id: &Bytes,
    status: StatusCode,
    refusal: Option<&Refusal>,
) -> Response<Payload> {
    let reason = refusal.map_or_else(|| status.to_string(), |r| r.reason.to_string());
    let mut response = text_response(status, &reason);
    (shared.dialect.set_request_id)(response.headers_mut(), id);
    if let Some(refusal) = refusal {
        response.extensions_mut().insert(*refusal);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            response.headers_mut().insert(header::RETRY_AFTER, seconds(refusal.retry_after));
        }
    }
    response
}

/// The response to a delegated call whose head is not even read.
pub fn refuse_delegated(refusal: &Refusal) -> Response<Payload> {
    let mut response = text_response(status(refusal), &refusal.reason.to_string());
    response.extensions_mut().insert(*refusal);
    response.headers_mut().insert(header::RETRY_AFTER, seconds(refusal.retry_after));
    response
}

/// Builds a response with a line of text.
pub fn text_response(status: StatusCode, text: &str) -> Response<Payload> {
    let mut response = Response::new(Payload::full(format!("{text}\n")));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Builds the response to the caller from a replica's, whose status, end-to-end headers and body
/// are unchanged.
fn forward(head: hyper::http::response::Parts, body: Payload) -> Response<Payload> {
    let mut headers: HeaderMap = head.headers;
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    // Otherwise the length of what is sent is stated, which the body knows.
    if Length::of(&head.extensions) != Length::None {
        headers.remove(header::CONTENT_LENGTH);
    }
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers;
    response
}
