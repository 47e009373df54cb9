//! Parses callers' JSON bodies and builds the bodies that are sent to engines.

use bytes::Bytes;
use laburnumwheel_core::rendezvous;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use thiserror::Error;

use crate::reply::Shape;

/// Size of a block of the prompt, in bytes. Each hashed prefix is one block longer than the one
/// before.
const BLOCK_BYTES: usize = 256;
/// Upper bound on the hashed prefixes of a prompt.
const MAX_BLOCKS: usize = 8;
/// Bytes that are assumed for each token of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// Why a body can't be parsed.
#[derive(Debug, Error)]
pub enum Error {
    /// The body is not JSON, or a field is missing or has the wrong type.
    #[error("the body is not a valid request: {0}")]
    Json(#[from] serde_json::Error),
}

/// The fields of a request body that the router uses.
#[derive(Debug, Deserialize)]
pub struct Head {
    /// Name of the model.
    pub model: String,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens in the response.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Option<Value>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

impl Head {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Json`], which states the line and column.
    pub fn parse(body: &[u8]) -> Result<Head, Error> {
        Ok(serde_json::from_slice(body)?)
    }

    fn text(&self) -> String {
        let contents = self.messages.iter().map(|m| &m.content).chain(self.prompt.iter());
        let texts = contents.map(|v| match v {
            Value::String(text) => text.clone(),
            Value::Null => String::new(),
            other => other.to_string(),
        });
        texts.collect::<Vec<_>>().join("\n")
    }

    /// Returns the estimated number of tokens in the prompt and the hashes of its prefixes,
    /// shortest first.
    pub fn estimate_prompt(&self) -> (u32, Vec<u64>) {
        let text = self.text();
        let bytes = text.as_bytes();
        let blocks = (bytes.len() / BLOCK_BYTES).min(MAX_BLOCKS);
        let prefixes = (1..=blocks)
            .map(|n| rendezvous::hash(&[self.model.as_bytes(), &bytes[..n * BLOCK_BYTES]]))
            .collect();
        ((bytes.len() / BYTES_PER_TOKEN) as u32, prefixes)
    }
}

/// Builds the body for an engine from a caller's body. It asks for a streamed response, sets
/// `priority`, and gives `partial` as the beginning of the response.
///
/// Engines continue a final assistant message if the body asks for it. A stream that broke off at
/// another engine is thus resumed without repeating a token.
pub fn prepare_for_engine(body: &Bytes, priority: u8, partial: &str) -> (Shape, Bytes) {
    let Ok(Value::Object(mut fields)) = serde_json::from_slice::<Value>(body) else {
        return (Shape::Chat, body.clone());
    };
    let shape = if fields.contains_key("messages") { Shape::Chat } else { Shape::Text };
    fields.insert("stream".to_owned(), json!(true));
    fields.insert("priority".to_owned(), json!(priority));
    if !partial.is_empty() {
        match shape {
            Shape::Chat => {
                let message = json!({ "role": "assistant", "content": partial });
                if let Some(Value::Array(messages)) = fields.get_mut("messages") {
                    messages.push(message);
                }
                fields.insert("continue_final_message".to_owned(), json!(true));
                fields.insert("add_generation_prompt".to_owned(), json!(false));
            }
            Shape::Text => {
                if let Some(Value::String(prompt)) = fields.get_mut("prompt") {
                    prompt.push_str(partial);
                }
            }
        }
    }
    (shape, serde_json::to_vec(&fields).map_or_else(|_| body.clone(), Bytes::from))
}
