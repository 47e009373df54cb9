//! Runs the node: passes events to it and performs the actions that it returns.
//!
//! One task, the driver, owns the node. Other tasks send it inputs through a [`Handle`]; it handles
//! them in the order of their arrival.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use laburnumwheel_core::action::Action;
use laburnumwheel_core::action::KvCall;
use laburnumwheel_core::action::Outcome;
use laburnumwheel_core::event::AttemptId;
use laburnumwheel_core::event::Event;
use laburnumwheel_core::event::KvReply;
use laburnumwheel_core::event::RequestId;
use laburnumwheel_core::event::Submission;
use laburnumwheel_core::node::Node;
use laburnumwheel_core::node::TICK;
use laburnumwheel_core::time::Time;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::MissedTickBehavior;

use crate::kv;
use crate::log;
use crate::peer;
use crate::upstream;

/// Upper bound on the inputs queued for the node; senders wait while the queue is full.
const INPUT_CAPACITY: usize = 4_096;
/// Upper bound on the parts of a response queued for one caller. A call whose queue is full is
/// cancelled; without a bound, one slow reader could exhaust the memory.
const PART_CAPACITY: usize = 1_024;
/// Upper bound on the inputs handled before the loop checks whether a tick is due.
const BATCH_SIZE: usize = 64;

/// A part of the response to a caller.
#[derive(Debug)]
pub enum Part {
    /// A piece of the response's text.
    Text(Bytes),
    /// The end of the response.
    End(Outcome),
}

/// A function that the driver runs on the node, with the current time.
pub type Query = Box<dyn FnOnce(&mut Node, Time) + Send>;

/// An input of the driver.
pub enum Input {
    /// An event for the node.
    Event(Event),
    /// A caller's request, and the channel for the parts of its response.
    Submit(RequestId, Box<Submission>, mpsc::Sender<Part>),
    /// A query of the node's state.
    Query(Query),
}

/// Sends inputs to the driver.
#[derive(Clone)]
pub struct Handle {
    inputs: mpsc::Sender<Input>,
    next_id: Arc<AtomicU64>,
}

/// Receives the response to one request; dropping it before the end tells the node that the caller
/// has disconnected.
pub struct Caller {
    id: RequestId,
    handle: Handle,
    parts: mpsc::Receiver<Part>,
    ended: bool,
}

impl Caller {
    /// Returns the id of the request.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Returns the next part, or `None` if the router has cancelled the call or exited.
    pub async fn next(&mut self) -> Option<Part> {
        let part = self.parts.recv().await;
        self.ended |= matches!(part, None | Some(Part::End(_)));
        part
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let (inputs, id) = (self.handle.inputs.clone(), self.id);
        if let Err(e) = inputs.try_send(Input::Event(Event::CallerGone(id))) {
            let input = e.into_inner();
            tokio::spawn(async move { inputs.send(input).await });
        }
    }
}

impl Handle {
    /// Sends an event to the node.
    pub async fn send(&self, event: Event) {
        // Fails only if the driver has exited, and then the event has no effect.
        let _ = self.inputs.send(Input::Event(event)).await;
    }

    /// Submits a caller's request and returns the receiver of its response.
    pub async fn submit(&self, submission: Submission) -> Caller {
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (sender, parts) = mpsc::channel(PART_CAPACITY);
        let input = Input::Submit(id, Box::new(submission), sender);
        let _ = self.inputs.send(input).await;
        Caller { id, handle: self.clone(), parts, ended: false }
    }

    /// Runs `query` on the node and returns its result, or `None` if the driver has exited.
    pub async fn query<T: Send + 'static>(
        &self,
        query: impl FnOnce(&mut Node, Time) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, result) = oneshot::channel();
        let boxed: Query = Box::new(move |node, now| {
            let _ = sender.send(query(node, now));
        });
        self.inputs.send(Input::Query(boxed)).await.ok()?;
        result.await.ok()
    }
}

/// Owns the node and performs its actions.
pub struct Driver {
    node: Node,
    started: Instant,
    name: String,
    handle: Handle,
    inputs: mpsc::Receiver<Input>,
    callers: BTreeMap<RequestId, mpsc::Sender<Part>>,
    attempts: BTreeMap<AttemptId, AbortHandle>,
    upstreams: upstream::Client,
    peers: peer::Client,
    kv: Option<kv::Client>,
}

impl Driver {
    /// Creates a driver and its handle; `build_node` gets the driver's time at the start.
    pub fn new(
        name: String,
        build_node: impl FnOnce(Time) -> Node,
        upstreams: upstream::Client,
        peers: peer::Client,
        kv: Option<kv::Client>,
    ) -> (Driver, Handle) {
        let (sender, inputs) = mpsc::channel(INPUT_CAPACITY);
        let handle = Handle { inputs: sender, next_id: Arc::new(AtomicU64::new(1)) };
        // Time starts at one second, so that times up to a second before the start exist.
        let started = Instant::now() - Duration::from_secs(1);
        let driver = Driver {
            node: build_node(Time(1_000_000)),
            started,
            name,
            handle: handle.clone(),
            inputs,
            callers: BTreeMap::new(),
            attempts: BTreeMap::new(),
            upstreams,
            peers,
            kv,
        };
        (driver, handle)
    }

    fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as u64)
    }

    /// Runs until the node returns [`Action::Exit`].
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(Duration::from_micros(TICK.0));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut batch = Vec::with_capacity(BATCH_SIZE);
        loop {
            let exit = tokio::select! {
                _ = ticks.tick() => self.handle_event(Event::Tick),
                n = self.inputs.recv_many(&mut batch, BATCH_SIZE) => {
                    n == 0 || batch.drain(..).any(|input| self.handle_input(input))
                }
            };
            if exit {
                break;
            }
        }
    }

    fn handle_input(&mut self, input: Input) -> bool {
        match input {
            Input::Event(event) => self.handle_event(event),
            Input::Submit(id, submission, sender) => {
                self.callers.insert(id, sender);
                self.handle_event(Event::Request(id, submission))
            }
            Input::Query(query) => {
                let now = self.now();
                query(&mut self.node, now);
                false
            }
        }
    }

    /// Passes an event to the node and performs the actions; returns whether the process may exit.
    fn handle_event(&mut self, event: Event) -> bool {
        match &event {
            Event::Ended { attempt, .. } | Event::Failed(attempt, _) => {
                self.attempts.remove(attempt);
            }
            Event::CallerGone(id) => {
                self.callers.remove(id);
            }
            _ => {}
        }
        let now = self.now();
        let mut exit = false;
        for action in self.node.handle(now, event) {
            exit |= self.perform(action);
        }
        exit
    }

    fn perform(&mut self, action: Action) -> bool {
        match action {
            Action::Dispatch(dispatch) => {
                let id = dispatch.attempt;
                let task = self.upstreams.clone().run_attempt(*dispatch, self.handle.clone());
                self.attempts.insert(id, tokio::spawn(task).abort_handle());
            }
            Action::Cancel(id) => {
                if let Some(task) = self.attempts.remove(&id) {
                    task.abort();
                }
            }
            Action::Deliver { request, text, .. } => self.deliver_text(request, text),
            Action::Finish(id, outcome) => {
                if let Some(caller) = self.callers.remove(&id) {
                    // If the queue is full, the end is lost and the caller's stream breaks off.
                    let _ = caller.try_send(Part::End(outcome));
                }
            }
            Action::Send { address, message } => self.peers.send(&address, message),
            Action::Redial(address) => self.peers.redial(&address),
            Action::Kv(call) => self.call_kv(call),
            Action::Order(order) => {
                tokio::spawn(self.upstreams.clone().send_order(order, self.handle.clone()));
            }
            Action::Log(line) => log::write(&self.name, &line),
            Action::Exit => return true,
        }
        false
    }

    fn deliver_text(&mut self, request: RequestId, text: Bytes) {
        let Some(caller) = self.callers.get(&request) else {
            return;
        };
        if caller.try_send(Part::Text(text)).is_err() {
            self.handle_event(Event::CallerGone(request));
        }
    }

    fn call_kv(&self, call: KvCall) {
        let handle = self.handle.clone();
        let client = self.kv.clone();
        tokio::spawn(async move {
            let reply = match client {
                Some(client) => client.call(&call).await,
                None => KvReply::Unavailable,
            };
            handle.send(Event::Kv(call, reply)).await;
        });
    }
}
