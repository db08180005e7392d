//! Callers for scenarios and measurements: they check that an answer is whole and their own.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use lovageridge::outbound;
use serde_json::Value;
use serde_json::json;

use crate::engine::generate::whole_text;

/// A completion to ask for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Callers' port of an entry.
    pub entry: SocketAddr,
    /// API key.
    pub key: String,
    /// Model or adapter.
    pub name: String,
    /// Model behind an adapter.
    pub adapter_of: Option<String>,
    /// Prompt; different for each caller.
    pub prompt: String,
    /// Tokens to generate.
    pub tokens: u64,
    /// Deadline, in ms.
    pub deadline_ms: u64,
    /// Priority.
    pub priority: Option<&'static str>,
}

/// Header that names one call, so that the booking service can tell which calls ran.
pub const ATTEMPT_HEADER: &str = "x-attempt";

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct Got {
    /// HTTP status; 0 when there was no answer.
    pub status_code: u16,
    /// Whether the whole answer to the own request came.
    pub whole: bool,
    /// Code of the typed error.
    pub code: String,
    /// What the error says on whether the request ran.
    pub ran: String,
    /// Time to the first token, in ms.
    pub first_token_ms: Option<u64>,
    /// Longest time between tokens, in ms.
    pub longest_gap_ms: u64,
    /// Time to the end, in ms.
    pub total_ms: u64,
    /// Text of a whole body, or of a stream's tokens.
    pub text: String,
    /// Name of this call, which the upstream is told.
    pub attempt: String,
}

impl Got {
    /// Tells whether the caller got a whole answer or a typed refusal.
    pub fn is_answered(&self) -> bool {
        self.whole || !self.code.is_empty()
    }
}

/// Streams a completion and checks it token by token.
pub fn complete(ask: &Ask) -> Got {
    let begun = Instant::now();
    let mut got = Got::default();
    let body = json!({
        "model": ask.name, "prompt": ask.prompt, "max_tokens": ask.tokens, "stream": true
    });
    let mut request = outbound::post(format!("http://{}/v1/completions", ask.entry))
        .header("authorization", format!("Bearer {}", ask.key))
        .header("x-deadline-ms", ask.deadline_ms.to_string())
        .read_timeout(Duration::from_millis(ask.deadline_ms + 3000))
        .timeout(Duration::from_millis(ask.deadline_ms + 5000));
    if let Some(priority) = ask.priority {
        request = request.header("x-priority", priority);
    }
    if let Ok(answer) = request.text(body.to_string()).send() {
        got.status_code = answer.status().as_u16();
        if answer.is_success() {
            read_stream(ask, answer, begun, &mut got);
        } else {
            note_error(&mut got, &answer.text_utf8().unwrap_or_default());
        }
    }
    got.total_ms = begun.elapsed().as_millis() as u64;
    got
}

fn read_stream(ask: &Ask, answer: attohttpc::Response, begun: Instant, got: &mut Got) {
    let (_, _, reader) = answer.split();
    let mut last = begun;
    let mut done = false;
    for line in BufReader::new(reader).lines() {
        let Ok(line) = line else { break };
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        if value.get("error").is_some() {
            note_error(got, data);
            continue;
        }
        let now = Instant::now();
        match got.first_token_ms {
            None => got.first_token_ms = Some((now - begun).as_millis() as u64),
            Some(_) => {
                got.longest_gap_ms = got.longest_gap_ms.max((now - last).as_millis() as u64);
            }
        }
        last = now;
        got.text.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
    }
    let (model, adapter) = match &ask.adapter_of {
        None => (ask.name.as_str(), None),
        Some(model) => (model.as_str(), Some(ask.name.as_str())),
    };
    got.whole = done && got.text == whole_text(model, adapter, &ask.prompt, ask.tokens);
}

fn note_error(got: &mut Got, text: &str) {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    let field = |name: &str| value["error"][name].as_str().unwrap_or_default().to_owned();
    got.code = field("code");
    got.ran = field("ran");
}

/// A booking that a caller asks for.
#[derive(Clone, Debug)]
pub struct Booking<'a> {
    /// Callers' port of the entry.
    pub entry: SocketAddr,
    /// API key of the partner.
    pub key: &'a str,
    /// The slot.
    pub slot: &'a str,
    /// Name of this call, which the service counts.
    pub attempt: String,
    /// Idempotency key, the same for all calls for the slot.
    pub idempotency_key: Option<&'a str>,
    /// Time for an answer, in ms.
    pub deadline_ms: u64,
}

/// Books a slot through the plain service.
pub fn book(booking: Booking<'_>) -> Got {
    let Booking { entry, key, slot, attempt, idempotency_key, deadline_ms } = booking;
    let begun = Instant::now();
    let mut got = Got { attempt: attempt.clone(), ..Got::default() };
    let mut request = outbound::post(format!("http://{entry}/booking/slots"))
        .header("authorization", format!("Bearer {key}"))
        .header("x-deadline-ms", deadline_ms.to_string())
        .header(ATTEMPT_HEADER, attempt)
        .read_timeout(Duration::from_millis(deadline_ms + 3000))
        .timeout(Duration::from_millis(deadline_ms + 5000));
    if let Some(idempotency_key) = idempotency_key {
        request = request.header("idempotency-key", idempotency_key);
    }
    if let Ok(answer) = request.text(slot).send() {
        got.status_code = answer.status().as_u16();
        let text = answer.text_utf8().unwrap_or_default();
        let value: Value = serde_json::from_str(&text).unwrap_or_default();
        got.whole = got.status_code == 201 && value["booked"] == slot;
        if !got.whole {
            note_error(&mut got, &text);
        }
        got.text = text;
    }
    got.total_ms = begun.elapsed().as_millis() as u64;
    got
}
