//! Serves the callers' HTTP API: entry points, models, completions and plain services.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::prelude::*;
use gotham::router::Router;
use gotham::router::build_simple_router;
use gotham::state::State;
use gotham::state::StateData;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Frame;
use laburnumwheel_core::action::Outcome;
use laburnumwheel_core::event::Submission;
use laburnumwheel_core::event::Target;
use laburnumwheel_core::gateway::config::Limits;
use laburnumwheel_core::time::Span;
use laburnumwheel_gateway::intake::Fault;
use laburnumwheel_gateway::intake::Intake;
use laburnumwheel_gateway::memory::Memory;
use serde_json::json;

use crate::body::Head;
use crate::driver::Caller;
use crate::driver::Handle;
use crate::driver::Part;
use crate::reply;
use crate::reply::Error;
use crate::reply::Shape;
use crate::serve::Transport;

/// Largest request body, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Timeout for the arrival of a complete request body.
const BODY_TIME: Span = Span::secs(15);
/// Rank of bodies for memory. The class of a request is known only when its body has been read.
const RANK: u8 = 0;
/// Time after which a caller returns for whose body there was no memory, in milliseconds: most bodies
/// that are being read then have been answered.
const RETRY_NO_MEMORY_MS: u64 = 500;
const CLASS_HEADER: &str = "x-class";
const IDEMPOTENT_HEADER: &str = "x-idempotent";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const DOMAIN_PARAMETER: &str = "failure_domain=";
const MODEL_PARAMETER: &str = "model=";
const SERVICES_PREFIX: &str = "/v1/services/";

/// State that all handlers share.
#[derive(Clone)]
pub struct Shared {
    /// Handle of the driver.
    pub handle: Handle,
    /// Identity of this run of the router, which is part of each completion's id.
    pub identity: Arc<str>,
    /// Bytes of requests that the process holds.
    pub memory: Arc<Memory>,
}

impl StateData for Shared {}

/// Builds the routes of the callers' API.
pub fn routes() -> Router {
    build_simple_router(|route| {
        route.get("/v1/entry").to_async(entry);
        route.get("/v1/models").to_async(models);
        route.post("/v1/chat/completions").to_async(chat);
        route.post("/v1/completions").to_async(completions);
        route.get("/v1/services/:service").to_async(service);
        route.post("/v1/services/:service").to_async(service);
        route.get("/v1/services/:service/*").to_async(service);
        route.post("/v1/services/:service/*").to_async(service);
    })
}

/// A response that ends a handler early.
type ErrorResponse = Box<Response<Body>>;

fn error_response(status: StatusCode, error: &Error) -> ErrorResponse {
    Box::new(reply::error(status, error))
}

fn shared(state: &State) -> Shared {
    Shared::borrow_from(state).clone()
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

fn bearer_token(headers: &HeaderMap) -> String {
    let value = header(headers, "authorization").unwrap_or("");
    value.strip_prefix("Bearer ").unwrap_or("").to_owned()
}

async fn entry(state: State) -> HandlerResult {
    let uri = Uri::borrow_from(&state).clone();
    let parameter = |name: &str| {
        let pairs = uri.query().unwrap_or("").split('&');
        pairs.filter_map(|p| p.strip_prefix(name)).next().map(str::to_owned)
    };
    let (domain, model) = (parameter(DOMAIN_PARAMETER), parameter(MODEL_PARAMETER));
    let handle = shared(&state).handle;
    let answer =
        handle.query(move |node, now| node.entry(now, domain.as_deref(), model.as_deref())).await;
    let response = match answer.flatten() {
        Some(answer) => reply::json(StatusCode::OK, &answer),
        None => {
            let mut error = Error::not_run("no_router", "no router takes callers now");
            error.retry_after_ms = Some(1_000);
            reply::error(StatusCode::SERVICE_UNAVAILABLE, &error)
        }
    };
    Ok((state, response))
}

async fn models(state: State) -> HandlerResult {
    let handle = shared(&state).handle;
    let query = handle.query(|node, _| {
        let names = node.index().models();
        names.map(|id| json!({ "id": id, "object": "model" })).collect::<Vec<_>>()
    });
    let list = query.await.unwrap_or_default();
    let response = reply::json(StatusCode::OK, &json!({ "object": "list", "data": list }));
    Ok((state, response))
}

async fn read_body(state: &mut State) -> Result<Bytes, ErrorResponse> {
    let limits = Limits { body: MAX_BODY_BYTES, head_time: BODY_TIME, ..Limits::default() };
    let memory = shared(state).memory;
    // Without its connection, a body that never ends would hold a place that no other caller gets.
    let connection = Arc::clone(&Transport::borrow_from(state).0);
    let mut intake = Intake::new(Body::take_from(state), limits, Some(connection));
    let fault = match intake.receive(&memory, RANK).await {
        Ok(body) => return Ok(body),
        Err(fault) => fault,
    };
    let (code, message) = match fault {
        Fault::TooLong => ("body_too_large", format!("the body is over {MAX_BODY_BYTES} bytes")),
        Fault::TooSlow => ("body_too_slow", "the body did not arrive in time".to_owned()),
        Fault::Broken => ("body_broken", "the body broke off".to_owned()),
        Fault::NoMemory => ("memory_scarce", "there is no memory for the body now".to_owned()),
    };
    let mut error = Error::not_run(code, message);
    if fault == Fault::NoMemory {
        error.retry_after_ms = Some(RETRY_NO_MEMORY_MS);
    }
    let mut response = reply::error(fault.status(), &error);
    // The connection can't be reused unless the rest of the body arrives.
    let close = hyper::header::HeaderValue::from_static("close");
    response.headers_mut().insert(hyper::header::CONNECTION, close);
    // A body that has used up its time, or broken off, gets no more of it.
    if matches!(fault, Fault::TooLong | Fault::NoMemory) {
        tokio::spawn(intake.drain());
    }
    Err(Box::new(response))
}

fn parse_idempotent(headers: &HeaderMap, default: bool) -> Result<bool, ErrorResponse> {
    match header(headers, IDEMPOTENT_HEADER) {
        None => Ok(default),
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(other) => {
            let message = format!("{IDEMPOTENT_HEADER} is `{other}`, not true or false");
            let error = Error::not_run("bad_header", message);
            Err(error_response(StatusCode::BAD_REQUEST, &error))
        }
    }
}

fn build_submission(
    headers: &HeaderMap,
    target: Target,
    body: Bytes,
    idempotent: bool,
) -> Result<Submission, ErrorResponse> {
    Ok(Submission {
        key: bearer_token(headers),
        class: header(headers, CLASS_HEADER).map(str::to_owned),
        target,
        body,
        prompt_tokens: 0,
        max_tokens: 0,
        prefix: Vec::new(),
        stream: false,
        idempotent: parse_idempotent(headers, idempotent)?,
        idempotency_key: header(headers, IDEMPOTENCY_KEY_HEADER).map(str::to_owned),
    })
}

async fn chat(mut state: State) -> HandlerResult {
    let response = complete(&mut state, Shape::Chat).await.unwrap_or_else(|response| *response);
    Ok((state, response))
}

async fn completions(mut state: State) -> HandlerResult {
    let response = complete(&mut state, Shape::Text).await.unwrap_or_else(|response| *response);
    Ok((state, response))
}

async fn service(mut state: State) -> HandlerResult {
    let response = call_service(&mut state).await.unwrap_or_else(|response| *response);
    Ok((state, response))
}

async fn complete(state: &mut State, shape: Shape) -> Result<Response<Body>, ErrorResponse> {
    let bad_body = |e: &dyn std::fmt::Display| {
        reply::error(StatusCode::BAD_REQUEST, &Error::not_run("bad_body", e.to_string()))
    };
    let headers = HeaderMap::take_from(state);
    let bytes = read_body(state).await?;
    let head = Head::parse(&bytes).map_err(|e| bad_body(&e))?;
    let (prompt_tokens, prefix) = head.estimate_prompt();
    let target = Target::Model(head.model.clone());
    let mut submission = build_submission(&headers, target, bytes, true)?;
    submission.prompt_tokens = prompt_tokens;
    submission.prefix = prefix;
    submission.stream = head.stream;
    submission.max_tokens = head.max_tokens.unwrap_or(0);

    let shared = shared(state);
    let mut caller = shared.handle.submit(submission).await;
    let id = format!("chatcmpl-{}-{}", shared.identity, caller.id());
    match caller.next().await {
        Some(Part::End(Outcome::Refused(r))) => {
            Err(error_response(reply::status(&r), &Error::from_refusal(&r)))
        }
        Some(Part::End(Outcome::Whole { status: 200, text, tokens })) => {
            let text = String::from_utf8_lossy(&text);
            if head.stream {
                let first =
                    reply::chunk(shape, &to_json_string(&id), &to_json_string(&head.model), &text);
                let whole = [first, reply::end_event()].concat();
                return Ok(reply::event_stream(reply::full(whole)));
            }
            Ok(reply::completion(shape, &id, &head.model, &text, (prompt_tokens, tokens)))
        }
        Some(Part::End(Outcome::Whole { status, text, .. })) => Ok(reply::forward(status, text)),
        Some(Part::Text(first)) => {
            let stream = Stream {
                caller,
                shape,
                id: to_json_string(&id),
                model: to_json_string(&head.model),
            };
            Ok(reply::event_stream(stream.body(first)))
        }
        None => Err(lost_response()),
    }
}

/// Builds the response to a request that the driver has cancelled or left unfinished at its exit.
fn lost_response() -> ErrorResponse {
    let mut error = Error::incomplete("the router stopped before the answer was whole");
    error.verdict = "outcome_unknown".to_owned();
    error_response(StatusCode::BAD_GATEWAY, &error)
}

async fn call_service(state: &mut State) -> Result<Response<Body>, ErrorResponse> {
    let headers = HeaderMap::take_from(state);
    let method = Method::take_from(state);
    let uri = Uri::take_from(state);
    let bytes = read_body(state).await?;
    let rest = uri.path().strip_prefix(SERVICES_PREFIX).unwrap_or("");
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    let idempotent = method == Method::GET;
    let target = Target::Service {
        name: name.to_owned(),
        method: method.to_string(),
        path: format!("/{path}{query}"),
    };
    let submission = build_submission(&headers, target, bytes, idempotent)?;
    let mut caller = shared(state).handle.submit(submission).await;
    match caller.next().await {
        Some(Part::End(Outcome::Whole { status, text, .. })) => Ok(reply::forward(status, text)),
        Some(Part::End(Outcome::Refused(r))) => {
            Err(error_response(reply::status(&r), &Error::from_refusal(&r)))
        }
        Some(Part::Text(_)) | None => Err(lost_response()),
    }
}

fn to_json_string(text: &str) -> String {
    serde_json::to_string(text).unwrap_or_default()
}

/// A completion that is forwarded as a stream of events.
struct Stream {
    caller: Caller,
    shape: Shape,
    id: String,
    model: String,
}

impl Stream {
    fn chunk(&self, text: &Bytes) -> Bytes {
        reply::chunk(self.shape, &self.id, &self.model, &String::from_utf8_lossy(text))
    }

    fn body(self, first: Bytes) -> Body {
        let first = self.chunk(&first);
        let rest = stream::unfold(Some(self), |state| async move {
            let mut state = state?;
            match state.caller.next().await {
                Some(Part::Text(text)) => Some((state.chunk(&text), Some(state))),
                Some(Part::End(Outcome::Whole { .. })) => Some((reply::end_event(), None)),
                Some(Part::End(Outcome::Refused(r))) => {
                    Some((reply::error_event(&Error::from_refusal(&r)), None))
                }
                None => {
                    let error =
                        Error::incomplete("the stream was given up; was it read too slowly?");
                    Some((reply::error_event(&error), None))
                }
            }
        });
        let all = futures_util::StreamExt::chain(stream::iter([first]), rest);
        let frames = futures_util::StreamExt::map(all, |b| Ok::<_, Infallible>(Frame::data(b)));
        let body = StreamBody::new(frames);
        BodyExt::map_err(body, |e: Infallible| -> io::Error { match e {} }).boxed_unsync()
    }
}
