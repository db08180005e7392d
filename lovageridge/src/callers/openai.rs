//! Requests and responses in the format of the OpenAI API.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Maximum number of tokens to generate when the request gives none.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Largest `max_tokens` that a request may give.
pub const MAX_TOKENS_LIMIT: u64 = 32_768;

/// Body of `/v1/chat/completions` and `/v1/completions`; other fields are accepted and ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionRequest {
    /// Name of the model or adapter.
    pub model: String,
    /// Chat messages; required by `/v1/chat/completions`.
    #[serde(default)]
    pub messages: Option<Vec<Value>>,
    /// Prompt text; required by `/v1/completions`.
    #[serde(default)]
    pub prompt: Option<Value>,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Newer name of `max_tokens`; takes precedence over it.
    #[serde(default)]
    pub max_completion_tokens: Option<u64>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// The endpoint of a completion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompletionKind {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

impl CompletionRequest {
    /// Returns the maximum number of tokens to generate.
    pub fn max_tokens(&self) -> u64 {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// Returns the input for the engine: chat messages or prompt text.
    ///
    /// # Errors
    /// Returns a message for the caller when the input is missing or malformed.
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

/// A complete completion, or one chunk of a streamed one.
#[derive(Clone, Debug, Serialize)]
pub struct Completion<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Type of the object, such as `chat.completion`.
    pub object: &'static str,
    /// Time of creation, in s since the Unix epoch.
    pub created: u64,
    /// Name of the model or adapter.
    pub model: &'a str,
    /// The only choice.
    pub choices: [Choice<'a>; 1],
    /// Token counts; `None` in chunks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The only choice of a completion.
#[derive(Clone, Debug, Serialize)]
pub struct Choice<'a> {
    /// Always 0.
    pub index: u32,
    /// Text of a text completion; `None` in chat completions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<&'a str>,
    /// Part of a chat message; only in chunks of chat completions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delta: Option<Message<'a>>,
    /// The complete chat message; only in complete chat completions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub message: Option<Message<'a>>,
    /// Reason why the generation ended; `None` before the last chunk.
    pub finish_reason: Option<&'a str>,
}

/// A chat message.
#[derive(Clone, Debug, Serialize)]
pub struct Message<'a> {
    /// Always `assistant`.
    pub role: &'static str,
    /// Text of the message.
    pub content: &'a str,
}

/// Token counts of a completion.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Usage {
    /// Number of tokens generated.
    pub completion_tokens: u64,
}

/// Renders the response bodies of one request; holds the fields that all its chunks share.
#[derive(Clone, Copy, Debug)]
pub struct CompletionRenderer<'a> {
    /// Endpoint, which determines the format.
    pub kind: CompletionKind,
    /// Id of the request.
    pub id: &'a str,
    /// Name of the model or adapter.
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

    /// Returns the JSON text of the complete completion.
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

/// Response of `/v1/models`.
#[derive(Clone, Debug, Serialize)]
pub struct ModelList<'a> {
    /// Always `list`.
    pub object: &'static str,
    /// Models and adapters.
    pub data: Vec<ModelEntry<'a>>,
}

/// A model or adapter in the list.
#[derive(Clone, Debug, Serialize)]
pub struct ModelEntry<'a> {
    /// Name of the model or adapter.
    pub id: &'a str,
    /// Always `model`.
    pub object: &'static str,
    /// Base model of an adapter; `None` for a model.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub parent: Option<&'a str>,
}
