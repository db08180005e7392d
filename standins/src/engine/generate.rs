//! Token streams of an engine. The tokens follow from model, input and position alone, so that a
//! caller can tell its own whole answer from any other.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use lovageridge::context::lock;
use lovageridge::hashing::stable_hash;
use lovageridge::upstream::stream::GenerateRequest;
use lovageridge::upstream::stream::REASON_HEADER;
use lovageridge::upstream::stream::REASON_LEAVING;
use lovageridge::upstream::stream::REASON_NOT_RESIDENT;
use lovageridge::upstream::stream::TokenEvent;
use serde_json::json;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;

use crate::engine::Shared;
use crate::http;

/// Tokens after which a stream that shall break does so.
const BREAK_AFTER_TOKENS: u64 = 3;
/// Time for which a stream that went silent stays open.
const SILENT_HOLD: Duration = Duration::from_millis(8000);
/// Longest wait for the batch between checks.
const BATCH_WAIT: Duration = Duration::from_millis(50);

/// Returns the text of token `index` of the answer of `model` to `input`.
pub fn token_text(model: &str, adapter: Option<&str>, input: &str, index: u64) -> String {
    let parts = [model, adapter.unwrap_or_default(), input, &index.to_string()];
    format!("w{:05x} ", stable_hash(&parts) & 0xf_ffff)
}

/// Returns the whole answer.
pub fn whole_text(model: &str, adapter: Option<&str>, input: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token_text(model, adapter, input, index)).collect()
}

pub(crate) fn handle(shared: &Arc<Shared>, mut request: Request) {
    let text = http::body_text(&mut request);
    let Ok(generate) = serde_json::from_str::<GenerateRequest>(&text) else {
        return http::json(request, 400, &json!({ "error": "malformed request" }));
    };
    let adapter = generate.adapter.as_deref();
    let begun = {
        let mut memory = lock(&shared.memory);
        if memory.leaving {
            drop(memory);
            return refuse(request, REASON_LEAVING);
        }
        let begun = memory.begin(&generate.model, adapter, generate.priority);
        begun.map(|place| (place, memory.generation))
    };
    let Some((place, life)) = begun else { return refuse(request, REASON_NOT_RESIDENT) };
    note_resume(shared, &generate);
    let entered = wait_batch(shared, place, life);
    if entered {
        let ended = stream(shared, request, &generate, life);
        let mut memory = lock(&shared.memory);
        match ended {
            Ok(()) => memory.truth.finished += 1,
            Err(_) => memory.truth.cancelled += 1,
        }
    }
    let mut memory = lock(&shared.memory);
    memory.end(&generate.model, adapter, place, entered);
    drop(memory);
    shared.freed.notify_all();
}

fn refuse(request: Request, reason: &str) {
    let mut response = Response::from_string(reason).with_status_code(409);
    if let Ok(header) = Header::from_bytes(REASON_HEADER.as_bytes(), reason.as_bytes()) {
        response.add_header(header);
    }
    // A caller that has left needs no answer.
    let _ = request.respond(response);
}

fn input_text(generate: &GenerateRequest) -> String {
    match &generate.input {
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn note_resume(shared: &Shared, generate: &GenerateRequest) {
    if generate.resume_tokens == 0 {
        return;
    }
    let adapter = generate.adapter.as_deref();
    let input = input_text(generate);
    let expected = whole_text(&generate.model, adapter, &input, generate.resume_tokens);
    let mut memory = lock(&shared.memory);
    memory.truth.resumes += 1;
    if expected != generate.resume_text {
        memory.truth.bad_resumes += 1;
    }
}

/// Waits for a place in the batch; false when the engine restarts meanwhile.
fn wait_batch(shared: &Shared, place: u64, life: u64) -> bool {
    let mut memory = lock(&shared.memory);
    loop {
        if memory.generation != life {
            return false;
        }
        if memory.enter_batch(place, shared.options.slots) {
            return true;
        }
        memory = match shared.freed.wait_timeout(memory, BATCH_WAIT) {
            Ok((memory, _)) => memory,
            Err(poisoned) => poisoned.into_inner().0,
        };
    }
}

fn stream(
    shared: &Shared,
    request: Request,
    generate: &GenerateRequest,
    life: u64,
) -> io::Result<()> {
    let breaks = {
        let mut faults = lock(&shared.faults);
        let breaks = faults.break_streams > 0;
        faults.break_streams = faults.break_streams.saturating_sub(1);
        breaks
    };
    let input = input_text(generate);
    let mut out = request.into_writer();
    // Without a length the stream ends with its connection, so a break shows as a missing end.
    out.write_all(
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
    )?;
    out.flush()?;
    for index in generate.resume_tokens..generate.max_tokens {
        thread::sleep(Duration::from_millis(shared.options.token_ms));
        let sent = index - generate.resume_tokens;
        if lock(&shared.memory).generation != life || (breaks && sent >= BREAK_AFTER_TOKENS) {
            return break_off(out);
        }
        if lock(&shared.faults).silent_streams && sent >= BREAK_AFTER_TOKENS {
            thread::sleep(SILENT_HOLD);
            return Err(io::ErrorKind::TimedOut.into());
        }
        let last = index + 1 == generate.max_tokens;
        let event = TokenEvent {
            index,
            text: token_text(&generate.model, generate.adapter.as_deref(), &input, index),
            finish_reason: last.then(|| "stop".to_owned()),
        };
        let data = format!("data: {}\n\n", serde_json::to_string(&event)?);
        write!(out, "{:x}\r\n{data}\r\n", data.len())?;
        out.flush()?;
    }
    out.write_all(b"0\r\n\r\n")?;
    out.flush()
}

/// Breaks a stream off: the chunked body ends in the middle of a chunk.
fn break_off(mut out: impl Write) -> io::Result<()> {
    out.write_all(b"ffff\r\ndata: {\"ind")?;
    out.flush()?;
    out.write_all(b"\r\nbroken\r\n")?;
    out.flush()?;
    Err(io::ErrorKind::ConnectionReset.into())
}
