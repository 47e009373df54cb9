//! Builds responses to callers: errors, complete responses and the events of streams.

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use laburnumwheel_core::action::Reason;
use laburnumwheel_core::action::Refusal;
use laburnumwheel_core::action::Verdict;
use laburnumwheel_core::time::Span;
use serde::Serialize;
use serde_json::json;

/// An error in the format of the callers' API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Error {
    /// How far the request got: `not_run`, `outcome_unknown` or `incomplete`.
    #[serde(rename = "type")]
    pub verdict: String,
    /// The reason, in snake case.
    pub code: String,
    /// The reason as a sentence.
    pub message: String,
    /// Time after which a retry may succeed, in milliseconds; absent if none can.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Error {
    /// Creates an error for a request that was rejected before anything ran.
    pub fn not_run(code: &str, message: impl ToString) -> Error {
        Error {
            verdict: Verdict::NotRun.to_string(),
            code: code.to_owned(),
            message: message.to_string(),
            retry_after_ms: None,
        }
    }

    /// Creates the error for a refusal of the node.
    pub fn from_refusal(refusal: &Refusal) -> Error {
        Error {
            verdict: refusal.verdict.to_string(),
            code: refusal.reason.to_string(),
            message: message(refusal.reason).to_owned(),
            retry_after_ms: (refusal.retry_after > Span(0))
                .then(|| refusal.retry_after.as_millis()),
        }
    }

    /// Creates an error for a response that ended early.
    pub fn incomplete(message: &str) -> Error {
        Error {
            verdict: Verdict::Incomplete.to_string(),
            code: "stream_broken".to_owned(),
            message: message.to_owned(),
            retry_after_ms: None,
        }
    }
}

fn message(reason: Reason) -> &'static str {
    match reason {
        Reason::UnknownKey => "no organisation has this key",
        Reason::UnknownClass => "no class has this name",
        Reason::UnknownTarget => "no such model or service",
        Reason::OverLimit => "the organisation is over its limit",
        Reason::Overloaded => "it could not start within its class's patience",
        Reason::Shed => "it gave way to a higher tier",
        Reason::NoUpstream => "no upstream serves this",
        Reason::UpstreamFailed => "the upstream failed",
        Reason::NotServing => "this router is starting or stopping; ask for an entry again",
        Reason::KeyWithoutHome => "begin the key with the key_prefix of an entry answer",
        Reason::KeyReused => "this key came with another request before",
        Reason::KeyExpired => "this key is too old to tell what became of it",
        Reason::HomeGone => "the router that owns this key is gone",
        Reason::KeyTableFull => "too many keys are remembered",
    }
}

/// Returns the HTTP status of a refusal.
///
/// 4xx and 503 mean that the request did not run, 502 that its outcome is unknown or its response
/// is incomplete.
pub fn status(refusal: &Refusal) -> StatusCode {
    if refusal.verdict != Verdict::NotRun {
        return StatusCode::BAD_GATEWAY;
    }
    match refusal.reason {
        Reason::UnknownKey => StatusCode::UNAUTHORIZED,
        Reason::UnknownClass | Reason::KeyWithoutHome => StatusCode::BAD_REQUEST,
        Reason::UnknownTarget => StatusCode::NOT_FOUND,
        Reason::OverLimit => StatusCode::TOO_MANY_REQUESTS,
        Reason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Builds a body from bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|e| match e {}).boxed_unsync()
}

fn build(status: StatusCode, content_type: &str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Ok(value) = header::HeaderValue::from_str(content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}

/// Builds a JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    build(status, "application/json", full(text))
}

/// Builds an error response; a `retry-after` header repeats the time to a retry in seconds.
pub fn error(status: StatusCode, error: &Error) -> Response<Body> {
    let mut response = json(status, &json!({ "error": error }));
    if let Some(ms) = error.retry_after_ms {
        let seconds = ms.div_ceil(1000).max(1);
        response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    }
    response
}

/// Builds a response with an upstream's status and body.
pub fn forward(status: u16, text: Bytes) -> Response<Body> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let looks_json = matches!(text.first(), Some(b'{' | b'['));
    let content_type = if looks_json { "application/json" } else { "text/plain; charset=utf-8" };
    build(status, content_type, full(text))
}

/// Builds a response that streams server-sent events.
pub fn event_stream(body: Body) -> Response<Body> {
    build(StatusCode::OK, "text/event-stream", body)
}

/// Format of a completion: chat message or plain text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// Builds a complete completion; `usage` holds the tokens of the prompt and of the completion.
pub fn completion(
    shape: Shape,
    id: &str,
    model: &str,
    text: &str,
    usage: (u32, u32),
) -> Response<Body> {
    let choice = match shape {
        Shape::Chat => json!({
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        }),
        Shape::Text => json!({ "index": 0, "text": text, "finish_reason": "stop" }),
    };
    let object = match shape {
        Shape::Chat => "chat.completion",
        Shape::Text => "text_completion",
    };
    let (prompt, completion) = usage;
    let body = json!({
        "id": id,
        "object": object,
        "model": model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt,
            "completion_tokens": completion,
            "total_tokens": prompt + completion,
        },
    });
    json(StatusCode::OK, &body)
}

/// Builds one event of a stream; `id` and `model` must be JSON strings with their quotes.
pub fn chunk(shape: Shape, id: &str, model: &str, text: &str) -> Bytes {
    let quoted = serde_json::to_string(text).unwrap_or_default();
    // Formatted without serde, since this runs once for each token.
    let event = match shape {
        Shape::Chat => format!(
            "data: {{\"id\":{id},\"object\":\"chat.completion.chunk\",\"model\":{model},\
             \"choices\":[{{\"index\":0,\"delta\":{{\"content\":{quoted}}},\
             \"finish_reason\":null}}]}}\n\n"
        ),
        Shape::Text => format!(
            "data: {{\"id\":{id},\"object\":\"text_completion\",\"model\":{model},\
             \"choices\":[{{\"index\":0,\"text\":{quoted},\"finish_reason\":null}}]}}\n\n"
        ),
    };
    Bytes::from(event)
}

/// Returns the last event of a complete stream.
pub fn end_event() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

/// Builds the last event of an incomplete stream: an error, and no `[DONE]`.
pub fn error_event(error: &Error) -> Bytes {
    let text = serde_json::to_string(&json!({ "error": error })).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {text}\n\n"))
}
