//! Encodes the interface of a node for external drivers in any language, and peer messages.
//!
//! Events and actions are JSON, as serde writes the types of [`crate::event`] and
//! [`crate::action`]; bytes are arrays of numbers. Malformed input is an error and does not change
//! the node.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::action::Action;
use crate::event::Event;
use crate::node::Node;
use crate::peer::Message;
use crate::time::Time;

/// One input of a node: an event and its time.
#[derive(Debug, Serialize, Deserialize)]
pub struct Input {
    /// Time of the event.
    pub now: Time,
    /// The event.
    pub event: Event,
}

/// Errors of encoding and decoding.
#[derive(Debug, Error)]
pub enum Error {
    /// The input is not the JSON of an [`Input`].
    #[error("not an encoded input: {0}")]
    Json(#[from] serde_json::Error),
    /// A peer message can't be encoded or decoded.
    #[error("not an encoded peer message: {0}")]
    Message(#[from] postcard::Error),
}

/// Passes an encoded input to `node` and returns its actions as a JSON array.
///
/// # Errors
///
/// [`Error::Json`] if the input can't be decoded.
pub fn drive(node: &mut Node, input: &[u8]) -> Result<Vec<u8>, Error> {
    let input: Input = serde_json::from_slice(input)?;
    let actions: Vec<Action> = node.handle(input.now, input.event);
    Ok(serde_json::to_vec(&actions)?)
}

/// Encodes a peer message for an envelope.
///
/// # Errors
///
/// [`Error::Message`] if the message can't be encoded.
pub fn encode_message(message: &Message) -> Result<Vec<u8>, Error> {
    Ok(postcard::to_stdvec(message)?)
}

/// Decodes a peer message from an envelope.
///
/// # Errors
///
/// [`Error::Message`] if the payload is not the output of [`encode_message`].
pub fn decode_message(payload: &[u8]) -> Result<Message, Error> {
    Ok(postcard::from_bytes(payload)?)
}
