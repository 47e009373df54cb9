//! Delegates calls to other gateways while this one can't reach the replicas of their service, or has
//! no place left at brittle ones.
//!
//! The delegate serves a call as it serves a caller's: it checks the key, chooses the replica,
//! retries and counts the usage. The delegating gateway keeps the caller's connection and passes the
//! response on. A delegate never delegates a call itself, so a call makes at most one hop. The
//! delegate's statement that a call has not run is relied on, so that a call is sent to another
//! delegate only after such a statement, or if it is idempotent.
//!
//! Delegated calls arrive where peers fetch views. They need a key like any other call, so a forged
//! one gains nothing.

use std::convert::Infallible;
use std::num::ParseIntError;
use std::str::FromStr;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use laburnumwheel_core::gateway::Gateway;
use laburnumwheel_core::gateway::Grant;
use laburnumwheel_core::gateway::build::Build;
use laburnumwheel_core::gateway::directory::Entry;
use laburnumwheel_core::gateway::origin::Origin;
use laburnumwheel_core::gateway::refusal::Reason;
use laburnumwheel_core::gateway::refusal::Refusal;
use laburnumwheel_core::incarnation::Digest;
use laburnumwheel_core::time::Span;

use crate::attempt::Call;
use crate::attempt::Exchange;
use crate::attempt::Failure;
use crate::attempt::Fault;
use crate::attempt::InFlight;
use crate::body::Payload;
use crate::call;
use crate::channel;
use crate::channel::Channel;
use crate::clock;
use crate::log::Line;
use crate::retry_after;
use crate::retry_after::Advice;
use crate::shared::Shared;
use crate::view;

/// Header of a delegated call, with a [`Delegation`].
const DELEGATION: &str = "laburnumwheel-delegation";
/// Header of the response to a delegated call, with an [`Outcome`].
const OUTCOME: &str = "laburnumwheel-outcome";
/// Most gateways that one attempt of a call is delegated to in turn.
const MAX_DELEGATES: usize = 3;
/// Most gateways that one attempt of a call is delegated to in turn for want of a place. In an
/// overload of all replicas each of them costs a call that is refused in the end.
const MAX_HOLDERS: usize = 3;
/// Most gateways that one attempt of a call is delegated to in turn because the replicas in reach are
/// full. The call can still be made here, so that it must not wait for long.
const MAX_OVERFLOW_DELEGATES: usize = 2;
/// Delegated calls that a gateway serves at a time; further ones are refused, so that its own
/// callers are served when most of the fleet is cut off.
const MAX_DELEGATED_CALLS: usize = 256;
/// Time by which a delegate's deadline is earlier than the caller's, so that its last response
/// arrives in time.
const RESPONSE_TIME: Span = Span::millis(20);
/// Time after which a caller retries if the delegate does not say when.
const RETRY_AFTER: Span = Span::millis(300);

/// What the delegating gateway tells its delegate about a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display("{version},{attempts},{}{}", u8::from(*metered), format_origin(*origin))]
pub struct Delegation {
    /// Version of the delegating gateway's configuration.
    pub version: u64,
    /// Attempts of the call that may have run.
    pub attempts: u32,
    /// The call has been counted for its organisation.
    pub metered: bool,
    /// What began the stream that the call goes on with.
    pub origin: Option<Origin>,
}

/// Formats the incarnation and the build of a stream's origin, if there is one, in hexadecimal.
fn format_origin(origin: Option<Origin>) -> String {
    origin.map_or_else(String::new, |origin| {
        let build = origin.build.map_or_else(String::new, |build| build.to_string());
        format!(",{},{build}", origin.replica)
    })
}

impl FromStr for Delegation {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Delegation, ParseIntError> {
        let mut numbers = text.split(',').map(str::trim);
        let mut next = || numbers.next().unwrap_or_default();
        let (version, attempts) = (next().parse()?, next().parse()?);
        let metered = next().parse::<u8>()? != 0;
        let hash = |text: &str| u32::from_str_radix(text, 16);
        let origin = match (next(), next()) {
            ("", _) => None,
            (replica, "") => Some(Origin { replica: Digest(hash(replica)?), build: None }),
            (replica, build) => {
                Some(Origin { replica: Digest(hash(replica)?), build: Some(Build(hash(build)?)) })
            }
        };
        Ok(Delegation { version, attempts, metered, origin })
    }
}

/// How a delegated call ended, as the delegate's response says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
enum Outcome {
    /// The response is that of a replica.
    Answered,
    /// The delegate refused the call, which has not run, for a reason that concerns all gateways.
    Refused,
    /// The delegate could not serve the call, which has not run; another gateway may.
    Elsewhere,
    /// The same, because its configuration is another one. That ends when both have the newer one.
    OtherVersion,
    /// The call failed and may have run.
    Unknown,
}

impl Outcome {
    fn of(response: &Response<Payload>) -> Outcome {
        match response.extensions().get::<Refusal>() {
            None => Outcome::Answered,
            Some(refusal) if !refusal.not_run => Outcome::Unknown,
            Some(refusal) if is_of_version(refusal.reason) => Outcome::OtherVersion,
            Some(refusal) if is_local(refusal.reason) => Outcome::Elsewhere,
            Some(_) => Outcome::Refused,
        }
    }

    fn parse(headers: &HeaderMap) -> Option<Outcome> {
        let all = [
            Outcome::Answered,
            Outcome::Refused,
            Outcome::Elsewhere,
            Outcome::OtherVersion,
            Outcome::Unknown,
        ];
        let text = headers.get(OUTCOME)?.to_str().ok()?;
        all.into_iter().find(|outcome| outcome.to_string() == text)
    }
}

/// Whether a refusal for this reason concerns the configuration of the gateway that refused.
fn is_of_version(reason: Reason) -> bool {
    [Reason::NoConfiguration, Reason::StaleConfiguration].contains(&reason)
}

/// Whether a refusal for this reason concerns the gateway that refused and not the others.
fn is_local(reason: Reason) -> bool {
    let local = [
        Reason::Stopping,
        Reason::NoReplica,
        Reason::NoPlace,
        Reason::Saturated,
        Reason::MemoryScarce,
    ];
    local.contains(&reason)
}

/// Whether a peer delegates a call with this request.
pub fn is_delegated(request: &Request<Incoming>) -> bool {
    request.headers().contains_key(DELEGATION)
}

/// Serves peers: delegated calls, and requests for views.
///
/// # Errors
///
/// Never fails; every request gets a response.
pub async fn serve(
    shared: Shared,
    mut request: Request<Incoming>,
) -> Result<Response<Payload>, Infallible> {
    let Some(value) = request.headers_mut().remove(DELEGATION) else {
        return Ok(view::respond(&shared, &request));
    };
    let delegation = value.to_str().ok().and_then(|text| text.parse::<Delegation>().ok());
    let mut response = match delegation {
        Some(delegation) => serve_call(&shared, request, delegation).await,
        None => call::text_response(StatusCode::BAD_REQUEST, "malformed delegation"),
    };
    let outcome = Outcome::of(&response);
    shared.metrics.count("delegated_calls_total", format!("outcome=\"{outcome}\""));
    if let Ok(value) = header::HeaderValue::from_str(&outcome.to_string()) {
        response.headers_mut().insert(OUTCOME, value);
    }
    Ok(response)
}

async fn serve_call(
    shared: &Shared,
    request: Request<Incoming>,
    delegation: Delegation,
) -> Response<Payload> {
    let Some(place) = Place::take(shared) else {
        let refusal = Refusal::not_run(Reason::Saturated, RETRY_AFTER);
        return call::refuse_delegated(&refusal);
    };
    let response = call::respond(shared, request, Some(delegation)).await;
    response.map(|body| body.holding(place))
}

/// One of the places for delegated calls; dropping it frees it.
pub struct Place(Shared);

impl Place {
    fn take(shared: &Shared) -> Option<Place> {
        let taken = shared.delegated_calls.get();
        (taken < MAX_DELEGATED_CALLS).then(|| {
            shared.delegated_calls.set(taken + 1);
            Place(shared.clone())
        })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.delegated_calls.set(self.0.delegated_calls.get() - 1);
    }
}

/// Why a delegate gave no response to pass on.
enum Rejection {
    /// The call has not run; another delegate may serve it.
    Elsewhere,
    /// The same, because the delegate's configuration is another one.
    OtherVersion,
    /// The attempt is over.
    Failed(Failure),
}

/// Outcome of the search for a gateway that serves a call.
enum Search {
    /// One did, or the call may have run there.
    Ended(Box<Result<Exchange, Failure>>),
    /// None of those that were asked can serve the call, which has not run.
    NotServed,
    /// The same, but some might with the same configuration, so that the next call may be served.
    OtherVersion,
}

impl Search {
    /// Whether a gateway could serve the call; `None` if that is not known.
    fn is_served(&self) -> Option<bool> {
        match self {
            Search::Ended(_) => Some(true),
            Search::NotServed => Some(false),
            Search::OtherVersion => None,
        }
    }

    fn unwrap_or_else(self, refuse: impl FnOnce() -> Refusal) -> Result<Exchange, Failure> {
        match self {
            Search::Ended(result) => *result,
            Search::NotServed | Search::OtherVersion => Err(Failure::Denied(refuse())),
        }
    }
}

impl Call {
    /// Makes one attempt of a call whose service is out of reach at another gateway, up to the head
    /// of the response.
    ///
    /// # Errors
    ///
    /// Returns why there is no response to read.
    pub(crate) async fn delegate(
        &mut self,
        last_event: Option<&Bytes>,
    ) -> Result<Exchange, Failure> {
        let select = |gateway: &mut Gateway, _: &Grant, tried: &[String]| {
            gateway.select_delegate(clock::now(), tried)
        };
        let result = self.delegate_in_turn(MAX_DELEGATES, last_event, select).await;
        let mut gateway = self.shared.gateway.borrow_mut();
        if let Some(is_served) = result.is_served() {
            gateway.record_delegation(clock::now(), &self.grant.service, is_served);
        }
        result.unwrap_or_else(|| gateway.refuse_unreachable())
    }

    /// Makes one attempt of a call at another gateway because this one reaches few replicas, which are
    /// full. `None` if none of those that were asked can serve it: then it is attempted here.
    pub(crate) async fn delegate_overflow(
        &mut self,
        last_event: Option<&Bytes>,
    ) -> Option<Result<Exchange, Failure>> {
        let select = |gateway: &mut Gateway, _: &Grant, tried: &[String]| {
            gateway.select_delegate(clock::now(), tried)
        };
        let result = self.delegate_in_turn(MAX_OVERFLOW_DELEGATES, last_event, select).await;
        let is_served = result.is_served().unwrap_or(false);
        let service = &self.grant.service;
        let labels = format!("service=\"{service}\",served=\"{is_served}\"");
        self.shared.metrics.count("overflow_delegations_total", labels);
        let mut gateway = self.shared.gateway.borrow_mut();
        gateway.record_partial_delegation(clock::now(), service, is_served);
        match result {
            Search::Ended(result) => Some(*result),
            Search::NotServed | Search::OtherVersion => None,
        }
    }

    /// Makes one attempt of a call for which this gateway has no place, at one that has, up to the
    /// head of the response.
    ///
    /// # Errors
    ///
    /// Returns why there is no response to read; `refusal` if no gateway has a place.
    pub(crate) async fn delegate_to_holder(
        &mut self,
        last_event: Option<&Bytes>,
        refusal: Refusal,
    ) -> Result<Exchange, Failure> {
        let select = |gateway: &mut Gateway, grant: &Grant, tried: &[String]| {
            gateway.select_holder(clock::now(), grant, tried)
        };
        let result = self.delegate_in_turn(MAX_HOLDERS, last_event, select).await;
        if let Some(is_served) = result.is_served() {
            let mut gateway = self.shared.gateway.borrow_mut();
            gateway.record_holders(clock::now(), &self.grant.service, is_served);
        }
        result.unwrap_or_else(|| refusal)
    }

    /// Makes one attempt of the call at the first of the gateways that `select` returns that can
    /// serve it; asks `most` of them.
    async fn delegate_in_turn(
        &mut self,
        most: usize,
        last_event: Option<&Bytes>,
        select: impl Fn(&mut Gateway, &Grant, &[String]) -> Option<Entry>,
    ) -> Search {
        // A delegate relies on the origin that it is told.
        if self.resumes(last_event)
            && let Err(refusal) = self.confirm_origin().await
        {
            return Search::Ended(Box::new(Err(refusal)));
        }
        let mut tried = Vec::new();
        let mut by_version = false;
        while tried.len() < most {
            let delegate = select(&mut self.shared.gateway.borrow_mut(), &self.grant, &tried);
            let Some(delegate) = delegate else {
                break;
            };
            tried.push(delegate.name.clone());
            let result = match self.delegate_to(&delegate, last_event).await {
                Err(Rejection::Elsewhere) => continue,
                Err(Rejection::OtherVersion) => {
                    by_version = true;
                    continue;
                }
                Err(Rejection::Failed(failure)) => Err(failure),
                Ok(exchange) => Ok(exchange),
            };
            if std::mem::take(&mut self.is_budgeted) {
                let mut gateway = self.shared.gateway.borrow_mut();
                gateway.withdraw_call(clock::now(), &self.grant.service);
            }
            return Search::Ended(Box::new(result));
        }
        if by_version { Search::OtherVersion } else { Search::NotServed }
    }

    async fn delegate_to(
        &mut self,
        delegate: &Entry,
        last_event: Option<&Bytes>,
    ) -> Result<Exchange, Rejection> {
        let Ok(channel) = channel::open_to_peer(&delegate.peer_address, self.bound()).await else {
            self.count_delegation(delegate, "unreachable");
            return Err(Rejection::Elsewhere);
        };
        self.check_stop().map_err(Rejection::Failed)?;
        let recheck =
            self.shared.gateway.borrow().recheck(clock::now(), &self.submission, &mut self.grant);
        recheck.map_err(|refusal| Rejection::Failed(Failure::Denied(refusal)))?;
        let request = self.delegated_request(last_event);
        self.send_to_delegate(delegate, channel, request).await
    }

    fn delegated_request(&self, last_event: Option<&Bytes>) -> Request<Full<Bytes>> {
        let mut request = self.bare_request();
        let headers = request.headers_mut();
        let remaining = self.grant.deadline.since(clock::now() + RESPONSE_TIME);
        let remaining_ms = remaining.as_millis().max(1);
        (self.shared.dialect.prepare_delegation)(headers, remaining_ms, last_event);
        let delegation = Delegation {
            version: self.shared.gateway.borrow().version(),
            attempts: self.grant.attempts,
            metered: self.metered,
            origin: self.grant.origin,
        };
        if let Ok(value) = header::HeaderValue::from_str(&delegation.to_string()) {
            headers.insert(DELEGATION, value);
        }
        request
    }

    async fn send_to_delegate(
        &mut self,
        delegate: &Entry,
        mut channel: Channel,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, Rejection> {
        let in_flight = InFlight::at_peer(&self.shared);
        let attempts = self.grant.attempts;
        self.grant.attempts += 1;
        let response = channel.send(request);
        let fault = match self.wait_for(&in_flight, response).await {
            Ok(Ok(response)) => match Outcome::parse(response.headers()) {
                Some(Outcome::Answered) => {
                    self.count_delegation(delegate, "answered");
                    let answer = self.open_answer(delegate, in_flight, channel, response).await;
                    return answer.map_err(Rejection::Failed);
                }
                Some(Outcome::Refused) => {
                    self.count_delegation(delegate, "refused");
                    self.grant.attempts = attempts;
                    return Err(Rejection::Failed(Failure::Denied(read_refusal(&response))));
                }
                Some(Outcome::Unknown) => {
                    self.count_delegation(delegate, "unknown");
                    self.grant.attempts = self.grant.attempts.max(self.grant.route.attempts);
                    match response.status() {
                        StatusCode::GATEWAY_TIMEOUT => Fault::TimedOut,
                        _ => Fault::Broken,
                    }
                }
                Some(Outcome::OtherVersion) => {
                    self.count_delegation(delegate, "other_version");
                    self.grant.attempts = attempts;
                    return Err(Rejection::OtherVersion);
                }
                // An earlier release takes the call for a request for a view.
                Some(Outcome::Elsewhere) | None => {
                    self.count_delegation(delegate, "elsewhere");
                    self.grant.attempts = attempts;
                    return Err(Rejection::Elsewhere);
                }
            },
            Ok(Err(e)) => {
                self.log_broken(&delegate.name, &e);
                Fault::Broken
            }
            Err(fault) => fault,
        };
        Err(Rejection::Failed(self.fail(&in_flight, &delegate.name, fault)))
    }

    /// Checks the head of a replica's answer that came by way of `delegate`.
    async fn open_answer(
        &mut self,
        delegate: &Entry,
        in_flight: InFlight,
        channel: Channel,
        mut response: Response<Incoming>,
    ) -> Result<Exchange, Failure> {
        response.headers_mut().remove(OUTCOME);
        let metadata = (self.shared.dialect.parse_response)(response.headers());
        if metadata.id.as_ref() != Some(&self.submission.id) {
            return Err(self.fail(&in_flight, &delegate.name, Fault::Misattributed));
        }
        // The delegate makes all further attempts that are allowed, also to resume a stream.
        self.grant.attempts = self.grant.attempts.max(self.grant.route.attempts);
        let (head, body) = response.into_parts();
        let replica = delegate.name.clone();
        let began = clock::now();
        let exchange = Exchange { head, metadata, body, in_flight, channel, replica, began };
        if exchange.head.status.is_server_error() {
            return Err(self.read_failure(exchange).await);
        }
        Ok(exchange)
    }

    fn count_delegation(&self, delegate: &Entry, outcome: &str) {
        self.shared.metrics.count("delegations_total", format!("outcome=\"{outcome}\""));
        let line = Line::new("call_delegated")
            .with("request", String::from_utf8_lossy(&self.submission.id))
            .with("service", &self.grant.service)
            .with("delegate", &delegate.name)
            .with("outcome", outcome);
        self.shared.log(line);
    }
}

/// The refusal that a delegate's response states.
fn read_refusal(response: &Response<Incoming>) -> Refusal {
    let reason = match response.status() {
        StatusCode::NOT_FOUND => Reason::NoRoute,
        StatusCode::UNAUTHORIZED => Reason::UnknownKey,
        _ => Reason::DelegateRefused,
    };
    let retry_after = match retry_after::parse(response.headers()) {
        Advice::Wait(wait) => wait,
        _ => RETRY_AFTER,
    };
    Refusal::not_run(reason, retry_after)
}
