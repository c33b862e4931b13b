//! What an engine is asked, and the tokens it answers: always the same for the same question, so
//! that a test can tell whether an answer is whole and its caller's own.

use poplarmux::table::AdapterId;
use poplarmux::table::ModelId;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a prompt that make one cached block.
pub const BLOCK: usize = 64;

/// Tokens of an answer when the request names none.
const TOKENS: u64 = 16;

/// A message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// The fields of a completion request that the engine reads.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// `model` or `model:adapter`.
    pub model: String,
    /// A chat.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<Message>,
    /// A plain prompt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// Tokens of the answer; this engine always generates as many.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Whether the caller wants events.
    #[serde(default)]
    pub stream: bool,
}

impl Ask {
    /// A chat of one message.
    pub fn chat(model: &str, content: &str, tokens: u64) -> Self {
        let message = Message { role: "user".to_string(), content: content.to_string() };
        Ask {
            model: model.to_string(),
            messages: vec![message],
            prompt: None,
            max_tokens: Some(tokens),
            stream: true,
        }
    }

    /// The model and the adapter.
    pub fn target(&self) -> (ModelId, Option<AdapterId>) {
        match self.model.split_once(':') {
            Some((model, adapter)) => (model.to_string(), Some(adapter.to_string())),
            None => (self.model.clone(), None),
        }
    }

    /// The whole prompt.
    pub fn text(&self) -> String {
        match &self.prompt {
            Some(prompt) => prompt.clone(),
            None => {
                let lines: Vec<&str> = self.messages.iter().map(|one| &*one.content).collect();
                lines.join("\n")
            }
        }
    }

    /// Tokens of the answer.
    pub fn tokens(&self) -> u64 {
        self.max_tokens.unwrap_or(TOKENS)
    }

    /// The whole answer that an engine gives.
    pub fn answer(&self) -> String {
        let seed = seed(&self.model, &self.text());
        (0..self.tokens()).map(|index| token(seed, index)).collect()
    }
}

/// Names a model, adapter and prompt.
pub fn seed(model: &str, prompt: &str) -> u64 {
    xxh3_64_with_seed(prompt.as_bytes(), xxh3_64(model.as_bytes()))
}

/// The token at an index.
pub fn token(seed: u64, index: u64) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), seed);
    format!("{:04x} ", hash & 0xffff)
}

/// The hashes of a prompt's whole blocks, each over all blocks up to it.
pub fn prefix(model: &str, prompt: &str) -> Vec<u64> {
    let seed = xxh3_64(model.as_bytes());
    let blocks = 1..=prompt.len() / BLOCK;
    blocks.map(|n| xxh3_64_with_seed(&prompt.as_bytes()[..n * BLOCK], seed)).collect()
}
