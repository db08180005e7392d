//! Requests and replies in the form of the OpenAI interface.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Tokens generated when the caller names no limit.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Largest limit that a caller may name.
pub const MAX_TOKENS_LIMIT: u64 = 32_768;

/// Body of `/v1/chat/completions` and `/v1/completions`; other fields are accepted and ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionRequest {
    /// Model or adapter.
    pub model: String,
    /// Chat messages.
    #[serde(default)]
    pub messages: Option<Vec<Value>>,
    /// Prompt text.
    #[serde(default)]
    pub prompt: Option<Value>,
    /// Most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Most tokens to generate, by its newer name.
    #[serde(default)]
    pub max_completion_tokens: Option<u64>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// The two kinds of completion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompletionKind {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

impl CompletionRequest {
    /// Returns the limit on tokens.
    pub fn max_tokens(&self) -> u64 {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// Returns what the engine continues.
    ///
    /// # Errors
    /// Returns what is missing or malformed.
    pub fn input(&self, kind: CompletionKind) -> Result<Value, &'static str> {
        match (kind, &self.messages, &self.prompt) {
            (CompletionKind::Chat, Some(messages), _) if !messages.is_empty() => {
                Ok(Value::Array(messages.clone()))
            }
            (CompletionKind::Chat, ..) => {
                Err("'messages' must be a list with at least one message")
            }
            (CompletionKind::Text, _, Some(Value::String(text))) => Ok(Value::String(text.clone())),
            (CompletionKind::Text, ..) => Err("'prompt' must be a text"),
        }
    }
}

/// A completion, whole or one chunk of it.
#[derive(Clone, Debug, Serialize)]
pub struct Completion<'a> {
    /// Name of the request.
    pub id: &'a str,
    /// Kind of the object.
    pub object: &'static str,
    /// Time of creation, in s since the Unix epoch.
    pub created: u64,
    /// Model or adapter.
    pub model: &'a str,
    /// The one choice.
    pub choices: [Choice<'a>; 1],
    /// Tokens used; in whole completions only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The one choice of a completion.
#[derive(Clone, Debug, Serialize)]
pub struct Choice<'a> {
    /// Always 0.
    pub index: u32,
    /// Text of a text completion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<&'a str>,
    /// Part of a chat message.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delta: Option<Message<'a>>,
    /// A whole chat message.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub message: Option<Message<'a>>,
    /// Why the generation ended.
    pub finish_reason: Option<&'a str>,
}

/// A chat message.
#[derive(Clone, Debug, Serialize)]
pub struct Message<'a> {
    /// Always the assistant.
    pub role: &'static str,
    /// Text.
    pub content: &'a str,
}

/// Tokens used.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Usage {
    /// Tokens generated.
    pub completion_tokens: u64,
}

/// Parts that are the same in all chunks of a completion.
#[derive(Clone, Copy, Debug)]
pub struct CompletionRenderer<'a> {
    /// Kind of the completion.
    pub kind: CompletionKind,
    /// Name of the request.
    pub id: &'a str,
    /// Model or adapter.
    pub model: &'a str,
    /// Time of creation, in s since the Unix epoch.
    pub created_s: u64,
}

impl CompletionRenderer<'_> {
    /// Returns the JSON text of one chunk.
    pub fn render_chunk(&self, text: &str, finish_reason: Option<&str>) -> String {
        let message = Message { role: "assistant", content: text };
        let choice = match self.kind {
            CompletionKind::Chat => {
                Choice { index: 0, text: None, delta: Some(message), message: None, finish_reason }
            }
            CompletionKind::Text => self.text_choice(text, finish_reason),
        };
        let object = match self.kind {
            CompletionKind::Chat => "chat.completion.chunk",
            CompletionKind::Text => "text_completion",
        };
        self.render_json(object, choice, None)
    }

    /// Returns the JSON text of the whole completion.
    pub fn render_complete(&self, text: &str, finish_reason: &str, tokens: u64) -> String {
        let message = Message { role: "assistant", content: text };
        let finish_reason = Some(finish_reason);
        let choice = match self.kind {
            CompletionKind::Chat => {
                Choice { index: 0, text: None, delta: None, message: Some(message), finish_reason }
            }
            CompletionKind::Text => self.text_choice(text, finish_reason),
        };
        let object = match self.kind {
            CompletionKind::Chat => "chat.completion",
            CompletionKind::Text => "text_completion",
        };
        self.render_json(object, choice, Some(Usage { completion_tokens: tokens }))
    }

    fn text_choice<'a>(&self, text: &'a str, finish_reason: Option<&'a str>) -> Choice<'a> {
        Choice { index: 0, text: Some(text), delta: None, message: None, finish_reason }
    }

    fn render_json(
        &self,
        object: &'static str,
        choice: Choice<'_>,
        usage: Option<Usage>,
    ) -> String {
        let completion = Completion {
            id: self.id,
            object,
            created: self.created_s,
            model: self.model,
            choices: [choice],
            usage,
        };
        serde_json::to_string(&completion).unwrap_or_default()
    }
}

/// Reply of `/v1/models`.
#[derive(Clone, Debug, Serialize)]
pub struct ModelList<'a> {
    /// Always `list`.
    pub object: &'static str,
    /// Models and adapters.
    pub data: Vec<ModelEntry<'a>>,
}

/// One model or adapter.
#[derive(Clone, Debug, Serialize)]
pub struct ModelEntry<'a> {
    /// Name.
    pub id: &'a str,
    /// Always `model`.
    pub object: &'static str,
    /// Model that an adapter belongs to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub parent: Option<&'a str>,
}
