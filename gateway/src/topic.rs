//! Dispatches messages between gateways to the parts that registered for their topics.
//!
//! A part registers one handler for its topic when the gateway starts, so that the datagram protocol
//! depends on no part. A message may be a request, whose id its response repeats. Messages and
//! responses may be lost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;

use crate::log::Line;
use crate::peers;
use crate::peers::Message;
use crate::shared::Shared;

/// Subject of a message.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[display(rename_all = "snake_case")]
pub enum Topic {
    /// Parts of prompts that engines have cached.
    Cache,
    /// Calls that wait for a place at an engine.
    Admission,
    /// Speeds of engines.
    Pace,
    /// Copies of runs.
    Copies,
}

/// Sender of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sender {
    /// Address of the sending gateway.
    pub address: SocketAddr,
    /// Id of the request that the sender waits for a response to; `None` if it waits for none.
    pub request: Option<u64>,
}

/// Handles the messages of one topic. A request may be answered at once or later.
pub type Handler = fn(&Shared, Sender, &[u8]);

/// Handlers by topic.
#[derive(Debug, Default)]
pub struct Table {
    handlers: BTreeMap<Topic, Handler>,
}

impl Table {
    /// Registers the handler of a topic.
    pub fn with(mut self, topic: Topic, handler: Handler) -> Table {
        self.handlers.insert(topic, handler);
        self
    }

    /// The handler of a topic.
    pub fn get(&self, topic: Topic) -> Option<Handler> {
        self.handlers.get(&topic).copied()
    }
}

/// Handles a received message; without a handler it is dropped.
pub fn receive(shared: &Shared, sender: Sender, topic: Topic, content: &[u8]) {
    if let Some(handler) = shared.topics.get(topic) {
        handler(shared, sender, content);
    }
}

/// Decodes the content of a message; malformed content is logged.
pub fn decode<T: DeserializeOwned>(
    shared: &Shared,
    sender: Sender,
    topic: Topic,
    content: &[u8],
) -> Option<T> {
    match postcard::from_bytes(content) {
        Ok(decoded) => Some(decoded),
        Err(e) => {
            let line = Line::new("message_malformed").with("from", sender.address);
            shared.log(line.with("topic", topic).with("error", e));
            None
        }
    }
}

/// Sends a message that needs no response; returns whether it was handed to the network.
pub async fn send(
    shared: &Shared,
    address: SocketAddr,
    topic: Topic,
    content: &impl Serialize,
) -> bool {
    let Ok(content) = postcard::to_stdvec(content) else {
        return false;
    };
    peers::send(&shared.socket, address, &Message::Topic(topic, None, content)).await
}

/// Sends a message that needs no response at once, or not at all if the socket is busy.
pub fn send_now(shared: &Shared, address: SocketAddr, topic: Topic, content: &impl Serialize) {
    let Ok(content) = postcard::to_stdvec(content) else {
        return;
    };
    if let Ok(bytes) = postcard::to_stdvec(&Message::Topic(topic, None, content)) {
        // Messages may be lost on the way too.
        let _ = shared.socket.try_send_to(&bytes, address);
    }
}

/// Sends a request and waits for its response; `None` if none arrives in time or it is malformed.
pub async fn request<T: DeserializeOwned>(
    shared: &Shared,
    address: SocketAddr,
    topic: Topic,
    content: &impl Serialize,
    timeout: Duration,
) -> Option<T> {
    let content = postcard::to_stdvec(content).ok()?;
    let id = shared.rng.borrow_mut().random();
    let (sender, response) = oneshot::channel();
    shared.pending.borrow_mut().topics.insert(id, sender);
    let pending = Pending { shared: shared.clone(), id };
    if !peers::send(&shared.socket, address, &Message::Topic(topic, Some(id), content)).await {
        return None;
    }
    let response = tokio::time::timeout(timeout, response).await;
    drop(pending);
    postcard::from_bytes(&response.ok()?.ok()?).ok()
}

/// Sends the response to a request.
pub async fn respond(shared: &Shared, sender: Sender, content: &impl Serialize) {
    if let (Some(request), Ok(content)) = (sender.request, postcard::to_stdvec(content)) {
        peers::send(&shared.socket, sender.address, &Message::TopicResponse(request, content))
            .await;
    }
}

/// Sends the response to a request from a task of its own, for handlers, which can't wait.
pub fn spawn_response<T: Serialize + 'static>(shared: &Shared, sender: Sender, content: T) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move { respond(&shared, sender, &content).await });
}

/// Forgets a request when it ends, also if its call is dropped.
struct Pending {
    shared: Shared,
    id: u64,
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.shared.pending.borrow_mut().topics.remove(&self.id);
    }
}
