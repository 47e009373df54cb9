//! The default headers, for gateways that are not adapted to a platform.

pub mod cache;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request;
use laburnumwheel_core::gateway::copy::is_valid_id;
use laburnumwheel_core::gateway::fleet::Load;
use laburnumwheel_core::gateway::limit::Statement;
use laburnumwheel_core::gateway::moves::Reply;
use laburnumwheel_core::gateway::submission::Part;
use laburnumwheel_core::gateway::submission::Submission;
use laburnumwheel_core::time::Span;

use super::Attempt;
use super::CopyDialect;
use super::CopyRequest;
use super::Dialect;
use super::Malformed;
use super::Metadata;
use super::MoveDialect;
use super::Report;
use crate::retry_after;

/// Id of the caller's attempt, repeated in the response.
pub const ID: &str = "x-request-id";
/// How long the caller waits, in milliseconds.
pub const PATIENCE: &str = "x-laburnum-patience-ms";
/// Parts of the prompt as `id:tokens`, separated by commas, with ids in hexadecimal.
pub const PROMPT: &str = "x-laburnum-prompt";
/// The caller's estimate of the tokens of the answer.
pub const LENGTH_HINT: &str = "x-laburnum-length-hint";
/// Incarnation of the replica; any other one must refuse the call.
pub const REPLICA: &str = "x-laburnum-replica";
/// Name of the organisation.
pub const ORGANISATION: &str = "x-laburnum-organisation";
/// Rank; 0 is the highest.
pub const RANK: &str = "x-laburnum-rank";
/// Id of the last event that the caller has.
pub const LAST_EVENT: &str = "last-event-id";
/// Id of the caller's attempt that brought the first event of the stream that is resumed.
pub const RESUMES: &str = "x-laburnum-resumes";
/// Proves that the response comes from a replica.
pub const PROOF: &str = "x-laburnum-proof";
/// Present if the replica did not run the call.
pub const NOT_RUN: &str = "x-laburnum-not-run";
/// Running calls, waiting calls and slots of the replica, separated by commas.
pub const LOAD: &str = "x-laburnum-load";
/// Requests a second that the replica takes from all gateways together, if it has a limit.
pub const LIMIT: &str = "x-laburnum-limit";
/// Present if the replica is leaving, and must get no new calls.
pub const LEAVING: &str = "x-laburnum-leaving";

/// Present if the replica falls over when it must refuse too many calls: the number that it bears in
/// a second.
pub const BRITTLE: &str = "x-laburnum-brittle";

/// Engine from which the replica fetches what it lacks of the prompt.
pub const FETCH_FROM: &str = "x-laburnum-fetch-from";
/// Engine to which the replica copies the run's memory as it grows.
pub const BACKUP_TO: &str = "x-laburnum-backup-to";
/// Holder of the copy with which the run continues, a slash, and the copy's id.
pub const CONTINUE_FROM: &str = "x-laburnum-continue-from";

/// Path of an engine's report: the number of waiting calls, then the ids of the running ones, a line
/// each. Behind the number, an engine that leaves may state how long it still serves, in milliseconds, or
/// `-`; behind that, any may state when it started, in Unix milliseconds.
pub const REPORT_PATH: &str = "/laburnum/report";
/// Path of the call that copies a run.
pub const COPY_PATH: &str = "/laburnum/copy";
/// Path, with a handle behind it, of the call that frees memory.
pub const HANDLE_PATH: &str = "/laburnum/handle/";
/// Id of the run to copy.
pub const RUN: &str = "x-laburnum-run";
/// Address of the engine that the run is copied to.
pub const COPY_TO: &str = "x-laburnum-copy-to";
/// Present if the run is stopped before it is copied.
pub const STOP: &str = "x-laburnum-stop";

/// Returns the default dialect.
pub fn dialect() -> Dialect {
    Dialect {
        parse_call,
        prepare_attempt,
        prepare_delegation,
        parse_response,
        set_request_id,
        cache: cache::dialect(),
        copies: CopyDialect { report_request, parse_report, parse_start },
        moves: MoveDialect { copy_request, parse_copy, free_request },
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

fn number(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, Malformed> {
    let Some(value) = text(headers, name) else {
        return Ok(None);
    };
    let value = value.trim();
    value.parse().map(Some).map_err(|_| Malformed::Value {
        name,
        value: value.to_owned(),
        expected: "a whole number",
    })
}

fn parse_call(parts: &request::Parts) -> Result<Submission, Malformed> {
    let headers = &parts.headers;
    let id = headers.get(ID).ok_or(Malformed::Missing(ID))?;
    let host = text(headers, "host").ok_or(Malformed::Missing("host"))?;
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let key = text(headers, "authorization").and_then(|v| v.strip_prefix("Bearer "));
    let prompt = text(headers, PROMPT).unwrap_or_default();
    Ok(Submission {
        id: value_bytes(id),
        host: host.to_ascii_lowercase(),
        path: parts.uri.path().to_owned(),
        key: key.map(|k| Bytes::copy_from_slice(k.as_bytes())),
        patience: number(headers, PATIENCE)?.map(Span::millis),
        parts: prompt.split(',').filter_map(part).collect(),
        max_output_tokens: 0,
        length_hint: text(headers, LENGTH_HINT).and_then(|hint| hint.parse().ok()),
        last_event: headers.get(LAST_EVENT).map(value_bytes),
        resumes: headers.get(RESUMES).map(value_bytes),
    })
}

fn value_bytes(value: &HeaderValue) -> Bytes {
    Bytes::copy_from_slice(value.as_bytes())
}

fn part(entry: &str) -> Option<Part> {
    let (id, tokens) = entry.trim().split_once(':')?;
    Some(Part { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
}

fn prepare_attempt(headers: &mut HeaderMap, attempt: &Attempt<'_>) {
    headers.remove(header::AUTHORIZATION);
    for name in [ORGANISATION, FETCH_FROM, BACKUP_TO, CONTINUE_FROM] {
        headers.remove(name);
    }
    let mut set = |name: &'static str, value: &[u8]| {
        if let Ok(value) = HeaderValue::from_bytes(value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set(REPLICA, attempt.replica.as_bytes());
    set(PATIENCE, attempt.remaining_ms.to_string().as_bytes());
    set(RANK, attempt.rank.route.to_string().as_bytes());
    if let Some(organisation) = attempt.organisation {
        set(ORGANISATION, organisation.as_bytes());
    }
    if let Some(last) = attempt.last_event {
        set(LAST_EVENT, last);
    }
    let copies = &attempt.copies;
    let holders = [
        (FETCH_FROM, copies.fetch_from),
        (BACKUP_TO, copies.backup_to),
        (CONTINUE_FROM, copies.continue_from),
    ];
    for (name, holder) in holders {
        if let Some(holder) = holder {
            set(name, holder.as_bytes());
        }
    }
}

fn prepare_delegation(headers: &mut HeaderMap, remaining_ms: u64, last_event: Option<&Bytes>) {
    headers.insert(PATIENCE, remaining_ms.into());
    if let Some(Ok(last)) = last_event.map(|last| HeaderValue::from_bytes(last)) {
        headers.insert(LAST_EVENT, last);
    }
}

fn parse_response(headers: &HeaderMap) -> Metadata {
    let load = |value: &str| {
        let mut numbers = value.split(',').map(|n| n.trim().parse().ok());
        let (running, waiting) = (numbers.next()??, numbers.next()??);
        let slots = numbers.next()??;
        Some(Load { running, waiting, slots, slowdown_percent: numbers.next().flatten() })
    };
    Metadata {
        id: headers.get(ID).map(value_bytes),
        sealed: headers.contains_key(PROOF),
        not_run: headers.contains_key(NOT_RUN),
        load: text(headers, LOAD).and_then(load),
        limit: text(headers, LIMIT).map_or(Statement::Unlimited, Statement::parse),
        leaving: headers.contains_key(LEAVING),
        brittle: headers.contains_key(BRITTLE),
        advice: retry_after::parse(headers),
        keep_alive: None,
    }
}

fn set_request_id(headers: &mut HeaderMap, id: &Bytes) {
    if let Ok(value) = HeaderValue::from_bytes(id) {
        headers.insert(HeaderName::from_static(ID), value);
    }
}

fn report_request(address: &str, replica: &str) -> Request<Full<Bytes>> {
    engine_request(Method::GET, REPORT_PATH, &[("host", address), (REPLICA, replica)])
}

/// A call to an engine that is not one of a caller.
fn engine_request(
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.method_mut() = method;
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            request.headers_mut().insert(*name, value);
        }
    }
    request
}

fn copy_request(copy: &CopyRequest<'_>) -> Request<Full<Bytes>> {
    let headers =
        [("host", copy.address), (REPLICA, copy.replica), (RUN, copy.run), (COPY_TO, copy.to)];
    let mut request = engine_request(Method::POST, COPY_PATH, &headers);
    if copy.stop {
        request.headers_mut().insert(STOP, HeaderValue::from_static("1"));
    }
    request
}

/// The body of an answer is the handle.
fn parse_copy(status: StatusCode, body: &[u8]) -> Reply {
    let handle = is_valid_id(body).then(|| Bytes::copy_from_slice(body));
    match (status, handle) {
        (StatusCode::OK, Some(handle)) => Reply::Copied(handle),
        (StatusCode::NOT_FOUND, _) => Reply::NotRunning,
        (StatusCode::CONFLICT, _) => Reply::Busy,
        (StatusCode::SERVICE_UNAVAILABLE, handle) => Reply::Refused(handle),
        _ => Reply::Unclear,
    }
}

fn free_request(address: &str, replica: &str, handle: &str) -> Request<Full<Bytes>> {
    let path = format!("{HANDLE_PATH}{handle}");
    engine_request(Method::DELETE, &path, &[("host", address), (REPLICA, replica)])
}

fn parse_report(body: &[u8]) -> Option<Report> {
    let mut lines = std::str::from_utf8(body).ok()?.lines();
    let mut numbers = lines.next()?.split(' ');
    let waiting = numbers.next()?.parse().ok()?;
    let leaves_in = numbers.next().and_then(|ms| ms.parse().ok()).map(Span::millis);
    let runs = lines.map(|id| Bytes::copy_from_slice(id.as_bytes())).collect();
    Some(Report { waiting, runs, leaves_in })
}

fn parse_start(body: &[u8]) -> Option<u64> {
    let first = std::str::from_utf8(body).ok()?.lines().next()?;
    first.split(' ').nth(2)?.parse().ok()
}
