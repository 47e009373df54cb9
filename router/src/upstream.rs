//! Sends attempts, orders and requests for load reports to upstreams.
//!
//! Each attempt carries an id that is unique to this run of the router. The upstream repeats it, so
//! that a response to another attempt is not taken for the response to this one.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use laburnumwheel_core::action::Dispatch;
use laburnumwheel_core::action::Line;
use laburnumwheel_core::action::Order;
use laburnumwheel_core::event::AttemptId;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::event::Failure;
use laburnumwheel_core::event::OrderResult;
use laburnumwheel_core::event::Target;
use laburnumwheel_core::order::MAX_ORDER_DELAY;
use laburnumwheel_gateway::response;
use serde::Deserialize;
use serde_json::json;

use crate::body;
use crate::driver::Handle;
use crate::log;
use crate::reply::Shape;
use crate::sse::Decoder;

/// Timeout of opening a connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that a pooled connection stays idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest response that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Header with the id of an attempt, which the upstream repeats in its response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that an upstream sets on its refusals while it is leaving.
pub const LEAVING_HEADER: &str = "x-leaving";

/// Calls upstreams over shared connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    name: String,
    identity: String,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    id: Option<String>,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    text: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

/// How an attempt ended.
enum End {
    Complete(AttemptId, u16),
    Failed(Failure),
}

impl Client {
    /// Creates a client of the router with this name whose attempts carry `identity`, which is unique to
    /// this run of the router.
    pub fn new(name: &str, identity: String) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            // If the library resent a call after a stale connection, it could run twice.
            .retry_canceled_requests(false)
            .build(connector);
        Client { http, name: name.to_owned(), identity }
    }

    /// Requests `path` from an upstream, as for a load report.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if there is no response with status 200.
    pub async fn get(&self, address: &str, path: &str) -> Result<Bytes, Failure> {
        let request = Request::get(format!("http://{address}{path}"))
            .body(Full::default())
            .map_err(|_| Failure::Broken)?;
        let response = self.send(request).await?;
        if response.status() != StatusCode::OK {
            return Err(Failure::Refused);
        }
        collect(response).await
    }

    /// Sends a request. An invalid response is a failure, and its connection is not used again.
    async fn send(&self, mut request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Failure> {
        let connection = connect::capture_connection(&mut request);
        let method = request.method().clone();
        let authority = request.uri().authority().map(ToString::to_string);
        let response = self.http.request(request).await;
        let mut response = response
            .map_err(|e| if e.is_connect() { Failure::Connect } else { Failure::Broken })?;
        if let Err(flaw) = response::validate(&method, &mut response) {
            if let Some(connected) = connection.connection_metadata().as_ref() {
                connected.poison();
            }
            let authority = authority.as_deref().unwrap_or("-");
            let line = Line::new("response_invalid").with("upstream", authority);
            log::write(&self.name, &line.with("flaw", flaw));
            return Err(Failure::Broken);
        }
        Ok(response)
    }

    /// Sends an order and reports its result to the node.
    ///
    /// The whole call has a timeout, for which a new holder of the lease waits before it sends
    /// orders to an upstream that does not check fencing tokens.
    pub async fn send_order(self, order: Order, handle: Handle) {
        let limit = Duration::from_micros(MAX_ORDER_DELAY.0);
        let result = tokio::time::timeout(limit, self.post_order(&order)).await;
        let result = result.unwrap_or(OrderResult::Unknown);
        handle.send(Event::Ordered(order.upstream, result)).await;
    }

    async fn post_order(&self, order: &Order) -> OrderResult {
        let body = json!({ "fence": order.fence, "deployment": order.deployment });
        let request = Request::post(format!("http://{}/orders", order.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body.to_string())));
        let Ok(request) = request else {
            return OrderResult::Unknown;
        };
        match self.send(request).await.map(|r| r.status()) {
            Ok(StatusCode::CONFLICT) => OrderResult::Fenced,
            Ok(status) if status.is_success() => OrderResult::Done,
            _ => OrderResult::Unknown,
        }
    }

    /// Makes one attempt and reports its result to the node.
    pub async fn run_attempt(self, dispatch: Dispatch, handle: Handle) {
        let attempt = dispatch.attempt;
        let end = match self.call(&dispatch).await {
            Ok(response) => match &dispatch.target {
                Target::Model(_) => self.read_stream(&dispatch, response, &handle).await,
                Target::Service { .. } => self.read_response(&dispatch, response, &handle).await,
            },
            Err(failure) => End::Failed(failure),
        };
        let event = match end {
            End::Complete(echo, status) => Event::Ended { attempt, echo, status },
            End::Failed(failure) => Event::Failed(attempt, failure),
        };
        handle.send(event).await;
    }

    fn format_id(&self, attempt: AttemptId) -> String {
        format!("{}-{attempt}", self.identity)
    }

    /// Parses an id from a response; an id of another router or run gives attempt 0, which does not
    /// exist.
    fn parse_id(&self, id: &str) -> AttemptId {
        let number = id.rsplit_once(&self.identity).and_then(|(_, n)| n.strip_prefix('-'));
        AttemptId(number.and_then(|n| n.parse().ok()).unwrap_or(0))
    }

    async fn call(&self, dispatch: &Dispatch) -> Result<Response<Incoming>, Failure> {
        let (method, path, body) = match &dispatch.target {
            Target::Model(_) => {
                let partial = String::from_utf8_lossy(&dispatch.partial);
                let (shape, body) =
                    body::prepare_for_engine(&dispatch.body, dispatch.priority, &partial);
                let path = match shape {
                    Shape::Chat => "/v1/chat/completions",
                    Shape::Text => "/v1/completions",
                };
                (Method::POST, path.to_owned(), body)
            }
            Target::Service { method, path, .. } => {
                let method = Method::from_bytes(method.as_bytes()).unwrap_or(Method::POST);
                (method, path.clone(), dispatch.body.clone())
            }
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", dispatch.address))
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID_HEADER, self.format_id(dispatch.attempt))
            .body(Full::new(body))
            .map_err(|_| Failure::Connect)?;
        let response = self.send(request).await?;
        match response.status() {
            _ if response.headers().contains_key(LEAVING_HEADER) => Err(Failure::Leaving),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(Failure::Refused)
            }
            _ => Ok(response),
        }
    }

    /// Reads an engine's stream, which is complete only if it ends with `[DONE]`.
    async fn read_stream(
        &self,
        dispatch: &Dispatch,
        mut response: Response<Incoming>,
        handle: &Handle,
    ) -> End {
        let attempt = dispatch.attempt;
        if response.status() != StatusCode::OK {
            return self.read_response(dispatch, response, handle).await;
        }
        let mut decoder = Decoder::default();
        let mut offset = dispatch.offset;
        while let Some(frame) = response.body_mut().frame().await {
            let Ok(frame) = frame else {
                return End::Failed(Failure::Broken);
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            decoder.push(&data);
            loop {
                let event = match decoder.pop() {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(_) => return End::Failed(Failure::Broken),
                };
                if event.as_ref() == b"[DONE]" {
                    return End::Complete(attempt, StatusCode::OK.as_u16());
                }
                let Ok(chunk) = serde_json::from_slice::<Chunk>(&event) else {
                    return End::Failed(Failure::Broken);
                };
                let echo = chunk.id.map_or(AttemptId(0), |id| self.parse_id(&id));
                let text = chunk.choices.into_iter().next();
                let text = text.and_then(|c| c.delta.content.or(c.text)).unwrap_or_default();
                if echo == attempt && text.is_empty() {
                    continue;
                }
                let frame = Event::Frame { attempt, echo, offset, tokens: 1, text: text.into() };
                offset = offset.saturating_add(1);
                handle.send(frame).await;
            }
        }
        End::Failed(Failure::Broken)
    }

    /// Reads a response completely.
    async fn read_response(
        &self,
        dispatch: &Dispatch,
        response: Response<Incoming>,
        handle: &Handle,
    ) -> End {
        let attempt = dispatch.attempt;
        let status = response.status().as_u16();
        let id = response.headers().get(REQUEST_ID_HEADER).and_then(|v| v.to_str().ok());
        let echo = id.map_or(attempt, |id| self.parse_id(id));
        let Ok(text) = collect(response).await else {
            return End::Failed(Failure::Broken);
        };
        let offset = dispatch.offset;
        handle.send(Event::Frame { attempt, echo, offset, tokens: 0, text }).await;
        End::Complete(echo, status)
    }
}

async fn collect(response: Response<Incoming>) -> Result<Bytes, Failure> {
    let body = response::collect(&mut response.into_body(), MAX_RESPONSE_BYTES).await;
    body.map_err(|_| Failure::Broken)
}
