//! A model engine with continuous batching at a fixed time per token, server-sent events and load
//! reports.
//!
//! Token `n` of each response is the text `n ` in decimal, so that a reader can detect missing,
//! repeated and foreign tokens. A resumed response continues with the next number.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use laburnumwheel_core::config::Deployment;
use serde_json::Value;
use serde_json::json;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use crate::http;
use crate::http::Body;

/// Tokens in the response to a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;
/// Tokens that a faulty engine sends in each response before its fault occurs.
const FAULT_AFTER_TOKENS: u32 = 3;

/// A fault that an engine simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Fault {
    /// No fault.
    None = 0,
    /// Breaks the connection in the middle of a response.
    Crash = 1,
    /// Stops sending in the middle of a response, with the connection open.
    Silent = 2,
    /// Sends the id of another request.
    WrongId = 3,
    /// Sends an event that is not JSON.
    Malformed = 4,
    /// Ends the stream early, without `[DONE]`.
    Truncated = 5,
}

impl Fault {
    fn from_number(n: u32) -> Fault {
        let all = [Fault::Crash, Fault::Silent, Fault::WrongId, Fault::Malformed, Fault::Truncated];
        all.into_iter().find(|f| *f as u32 == n).unwrap_or(Fault::None)
    }
}

struct State {
    batch: Arc<Semaphore>,
    slots: u32,
    step: Duration,
    running: AtomicU32,
    waiting: AtomicU32,
    fault: AtomicU32,
    leaving: AtomicBool,
    tokens: AtomicU64,
    orders: Mutex<Orders>,
}

/// The last order that the engine executed.
#[derive(Debug, Default)]
struct Orders {
    fence: i64,
    deployment: Deployment,
}

/// A running engine; dropping it breaks its connections, as a crash does.
pub struct Engine {
    /// Address that the engine listens on.
    pub address: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine on a port of the loopback address; port 0 selects a free one. `step` is the
    /// time per token.
    ///
    /// # Errors
    ///
    /// Returns an error if the port can't be bound.
    pub async fn start(port: u16, slots: u32, step: Duration) -> io::Result<Engine> {
        let (listener, address) = http::listen(port).await?;
        let state = Arc::new(State {
            batch: Arc::new(Semaphore::new(slots as usize)),
            slots,
            step,
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            fault: AtomicU32::new(Fault::None as u32),
            leaving: AtomicBool::new(false),
            tokens: AtomicU64::new(0),
            orders: Mutex::default(),
        });
        let shared = state.clone();
        let handle = move |request| handle(shared.clone(), request);
        let task = tokio::spawn(http::serve(listener, handle));
        Ok(Engine { address, state, task })
    }

    /// Sets the fault of later responses.
    pub fn set_fault(&self, fault: Fault) {
        self.state.fault.store(fault as u32, Ordering::Relaxed);
    }

    /// Refuses new requests from now on, and states in the refusals that the engine is leaving.
    pub fn leave(&self) {
        self.state.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns the deployment that the last order set.
    pub fn deployment(&self) -> Deployment {
        self.state.orders.lock().map(|o| o.deployment.clone()).unwrap_or_default()
    }

    /// Returns the number of tokens generated so far.
    pub fn tokens(&self) -> u64 {
        self.state.tokens.load(Ordering::Relaxed)
    }

    /// Returns the number of requests in the batch.
    pub fn running(&self) -> u32 {
        self.state.running.load(Ordering::Relaxed)
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn full(text: impl Into<Bytes>) -> Body {
    Full::new(text.into()).map_err(|e| match e {}).boxed()
}

async fn handle(state: Arc<State>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    if request.uri().path() == "/load" {
        let report = json!({
            "running": state.running.load(Ordering::Relaxed),
            "waiting": state.waiting.load(Ordering::Relaxed),
            "slots": state.slots,
            "deployment": state.orders.lock().map(|o| o.deployment.clone()).unwrap_or_default(),
        });
        return Ok(Response::new(full(report.to_string())));
    }
    if request.uri().path() == "/orders" {
        let body = request.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
        return Ok(execute_order(&state, &body));
    }
    if state.leaving.load(Ordering::Relaxed) {
        let mut response = Response::new(full("leaving"));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response.headers_mut().insert("x-leaving", hyper::header::HeaderValue::from_static("1"));
        return Ok(response);
    }
    let id = request.headers().get("x-request-id").and_then(|v| v.to_str().ok());
    let id = id.unwrap_or("none").to_owned();
    let body = request.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let max_tokens = body["max_tokens"].as_u64().map_or(DEFAULT_MAX_TOKENS, |n| n as u32);
    let chat = body.get("messages").is_some();
    let generation = Generation {
        slot: BatchSlot::wait(&state).await,
        fault: Fault::from_number(state.fault.load(Ordering::Relaxed)),
        state,
        id,
        chat,
        next: count_partial_tokens(&body),
        max_tokens,
        sent: 0,
    };
    let frames = stream::unfold(Some(generation), |g| async move { g?.next_frame().await });
    let mut response = Response::new(StreamBody::new(frames).boxed());
    let kind = hyper::header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
    Ok(response)
}

/// Executes an order, unless its fencing token is lower than that of an earlier order.
fn execute_order(state: &State, body: &[u8]) -> Response<Body> {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let fence = body["fence"].as_i64().unwrap_or(0);
    let deployment = serde_json::from_value(body["deployment"].clone());
    let (Ok(mut orders), Ok(deployment)) = (state.orders.lock(), deployment) else {
        let mut response = Response::new(full("not an order"));
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    if fence < orders.fence {
        let mut response = Response::new(full("a newer orderer was here"));
        *response.status_mut() = StatusCode::CONFLICT;
        return response;
    }
    *orders = Orders { fence, deployment };
    Response::new(full("done"))
}

/// Counts the tokens in the request's final assistant message, which the response continues.
fn count_partial_tokens(body: &Value) -> u32 {
    let last = body["messages"].as_array().and_then(|m| m.last());
    let partial = last.filter(|m| m["role"] == "assistant").and_then(|m| m["content"].as_str());
    partial.map_or(0, |text| text.split_whitespace().count() as u32)
}

/// A slot in the batch; its request counts as running until it is dropped.
struct BatchSlot {
    state: Arc<State>,
    _permit: Option<OwnedSemaphorePermit>,
}

/// Counts a request as waiting until it is dropped, which also happens if the caller disconnects.
struct Waiting<'a>(&'a AtomicU32);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl BatchSlot {
    async fn wait(state: &Arc<State>) -> BatchSlot {
        state.waiting.fetch_add(1, Ordering::Relaxed);
        let waiting = Waiting(&state.waiting);
        let permit = state.batch.clone().acquire_owned().await.ok();
        drop(waiting);
        state.running.fetch_add(1, Ordering::Relaxed);
        BatchSlot { state: state.clone(), _permit: permit }
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A response in progress.
struct Generation {
    slot: BatchSlot,
    state: Arc<State>,
    fault: Fault,
    id: String,
    chat: bool,
    next: u32,
    max_tokens: u32,
    sent: u32,
}

type NextFrame = Option<(io::Result<Frame<Bytes>>, Option<Generation>)>;

impl Generation {
    async fn next_frame(mut self) -> NextFrame {
        if !self.state.step.is_zero() {
            tokio::time::sleep(self.state.step).await;
        }
        if self.next >= self.max_tokens {
            let done = Bytes::from_static(b"data: [DONE]\n\n");
            return Some((Ok(Frame::data(done)), None));
        }
        let mut id = self.id.clone();
        if self.sent >= FAULT_AFTER_TOKENS {
            match self.fault {
                Fault::None => {}
                Fault::Crash => return Some((Err(io::Error::other("crash")), None)),
                Fault::Silent => {
                    let _held = &self.slot;
                    std::future::pending::<()>().await;
                }
                Fault::WrongId => id = "somebody-else-7".to_owned(),
                Fault::Malformed => {
                    let garbage = Bytes::from_static(b"data: {{{\n\n");
                    return Some((Ok(Frame::data(garbage)), None));
                }
                Fault::Truncated => return None,
            }
        }
        let text = format!("{} ", self.next);
        let choice = if self.chat {
            json!({ "index": 0, "delta": { "content": text } })
        } else {
            json!({ "index": 0, "text": text })
        };
        let chunk = json!({ "id": format!("chatcmpl-{id}"), "choices": [choice] });
        self.next += 1;
        self.sent += 1;
        self.state.tokens.fetch_add(1, Ordering::Relaxed);
        let data = Bytes::from(format!("data: {chunk}\n\n"));
        Some((Ok(Frame::data(data)), Some(self)))
    }
}
