//! Headers of requests and responses between callers, the gateway and upstreams.

use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::InvalidHeaderValue;

use crate::gateway::accounts::KeyDigest;
use crate::gateway::accounts::PresentedKey;
use crate::gateway::message_fields::PromptPart;
use crate::gateway::message_fields::ReportedLoad;
use crate::gateway::message_fields::RequestFields;
use crate::gateway::message_fields::ResponseFields;
use crate::gateway::message_fields::StatedLimit;
use crate::gateway::message_fields::UpstreamFields;
use crate::hashing;

const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-lovageridge-attempt-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-lovageridge-deadline-ms");
const MODEL: HeaderName = HeaderName::from_static("x-lovageridge-model");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-lovageridge-expect-instance");
const URGENCY: HeaderName = HeaderName::from_static("x-lovageridge-request-urgency");
const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-lovageridge-prompt-prefix");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-lovageridge-not-executed");
const RECEIPT: HeaderName = HeaderName::from_static("x-lovageridge-server-seal");
const LIMIT: HeaderName = HeaderName::from_static("server-limit");
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const TOKENS: HeaderName = HeaderName::from_static("x-lovageridge-token-count");
const ACCOUNT: HeaderName = HeaderName::from_static("x-lovageridge-tenant");
const LOAD: HeaderName = HeaderName::from_static("x-lovageridge-server-load");

/// Longest time for which a worker can ask for no further requests, in ms; one day.
const RETRY_AFTER_MAX_MS: f64 = 86_400_000.0;
/// Scheme of the keys of client accounts.
const KEY_SCHEME: &str = "token";
/// Largest number of prompt parts that are used; longer lists are cut.
const PROMPT_PARTS_MAX: usize = 64;

/// Hop-by-hop headers, which apply to one connection only and are not forwarded.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers that only the system may set; those of callers are dropped.
const RESERVED: [&str; 10] = [
    "x-lovageridge-expect-instance",
    "x-lovageridge-expect-version",
    "x-lovageridge-request-urgency",
    "x-lovageridge-tenant",
    "x-lovageridge-hold",
    "x-lovageridge-pin-ms",
    "x-lovageridge-kv-backup",
    "kv-from",
    "kv-fetch",
    "expect",
];

/// Extracts the headers that the gateway uses from a caller's request.
pub fn parse_request(headers: &HeaderMap) -> RequestFields {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let (model, adapter) = match text(&MODEL) {
        Some(target) => match target.split_once('/') {
            Some((model, adapter)) => (Some(model.to_owned()), Some(adapter.to_owned())),
            None => (Some(target.to_owned()), None),
        },
        None => (None, None),
    };
    RequestFields {
        id: text(&ATTEMPT_ID).map(str::to_owned),
        // If the deadline is malformed, only the timeout of the route applies.
        deadline_ms: text(&DEADLINE).and_then(|value| value.trim().parse().ok()),
        model,
        adapter,
        last_event_id: text(&LAST_EVENT).map(str::to_owned),
        prompt_parts: text(&PROMPT_PREFIX).map(parse_shared_parts).unwrap_or_default(),
        key: parse_key(headers),
        tokens: text(&TOKENS).and_then(parse_tokens),
    }
}

fn parse_key(headers: &HeaderMap) -> PresentedKey {
    let mut values = headers.get_all(hyper::header::AUTHORIZATION).iter();
    let Some(value) = values.next() else { return PresentedKey::None };
    let is_single = values.next().is_none();
    let words = value.to_str().ok().and_then(|text| text.trim().split_once(' '));
    match words.map(|(scheme, key)| (scheme, key.trim())) {
        Some((scheme, key))
            if is_single && scheme.eq_ignore_ascii_case(KEY_SCHEME) && !key.is_empty() =>
        {
            PresentedKey::Key(KeyDigest::of(key))
        }
        _ => PresentedKey::Malformed,
    }
}

/// Parses the numbers of tokens of the prompt and of the longest response; returns their sum.
fn parse_tokens(text: &str) -> Option<u64> {
    let (prompt, response) = text.split_once(',')?;
    let (prompt, response) = (prompt.trim().parse::<u64>().ok()?, response.trim().parse().ok()?);
    Some(prompt.saturating_add(response))
}

/// Parses a list of `ID:TOKENS` pairs; the last one is left out, since it belongs to the request or
/// its session.
fn parse_shared_parts(text: &str) -> Vec<PromptPart> {
    let Some((shared, _)) = text.rsplit_once(',') else { return Vec::new() };
    let ids = shared.split(',').map(|pair| pair.split(':').next().unwrap_or("").trim());
    let ids = ids.filter(|id| !id.is_empty()).take(PROMPT_PARTS_MAX);
    ids.map(|id| PromptPart(hashing::stable_hash(&[&id.to_ascii_lowercase()]))).collect()
}

/// Returns the headers of the request to an upstream: the caller's, without hop-by-hop and reserved
/// ones, and those of `fields`.
///
/// # Errors
/// Fails if a field cannot be a header value. An upstream must not run a request without the name of its account.
pub fn upstream_headers(
    caller: &HeaderMap,
    fields: &UpstreamFields<'_>,
) -> Result<HeaderMap, InvalidHeaderValue> {
    let connection_headers = listed_in_connection(caller);
    let mut headers = HeaderMap::with_capacity(caller.len() + 4);
    for (name, value) in caller {
        let text = name.as_str();
        let dropped = HOP_BY_HOP.contains(&text)
            || RESERVED.contains(&text)
            || text == "content-length"
            || *name == DEADLINE
            || (*name == hyper::header::AUTHORIZATION && fields.withholds_key)
            || (*name == LAST_EVENT && fields.last_event_id.is_some())
            || connection_headers.iter().any(|listed| listed == text);
        if !dropped {
            headers.append(name.clone(), value.clone());
        }
    }
    headers.insert(DEADLINE, HeaderValue::from(fields.remaining_ms));
    headers.insert(EXPECT_INSTANCE, HeaderValue::from_str(fields.worker_id)?);
    if let Some(urgency) = fields.urgency {
        headers.insert(URGENCY, HeaderValue::from(u16::from(urgency)));
    }
    if let Some(account) = fields.account {
        headers.insert(ACCOUNT, HeaderValue::from_str(account)?);
    }
    if let Some(last_event_id) = fields.last_event_id {
        headers.insert(LAST_EVENT, HeaderValue::from_str(last_event_id)?);
    }
    Ok(headers)
}

/// Returns the headers of a call to a worker's control interface.
pub fn control_headers(worker_id: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    // Always valid: worker records with an id that is not a valid header value are rejected.
    if let Ok(value) = HeaderValue::from_str(worker_id) {
        headers.insert(EXPECT_INSTANCE, value);
    }
    headers
}

/// Extracts the headers that the gateway uses from an upstream's response.
pub fn parse_response(headers: &HeaderMap) -> ResponseFields {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    ResponseFields {
        id: text(&ATTEMPT_ID).map(str::to_owned),
        not_executed: headers.contains_key(NOT_EXECUTED),
        has_receipt: headers.contains_key(RECEIPT),
        encoded: headers.contains_key(hyper::header::CONTENT_ENCODING),
        load: text(&LOAD).and_then(parse_load),
        retry_after_ms: text(&hyper::header::RETRY_AFTER).and_then(parse_retry_after_ms),
        leaving: text(&LEAVING).is_some_and(|value| value.trim() == "1"),
        limit: headers.get(&LIMIT).map_or(StatedLimit::None, parse_limit),
        idle_timeout_ms: text(&HeaderName::from_static("keep-alive")).and_then(parse_keep_alive_ms),
        closes_connection: text(&hyper::header::CONNECTION)
            .is_some_and(|value| value.eq_ignore_ascii_case("close")),
    }
}

fn parse_load(text: &str) -> Option<ReportedLoad> {
    let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>());
    let running = numbers.next()?.ok()?;
    let waiting = numbers.next()?.ok()?;
    let pace_pct = numbers.nth(1).and_then(Result::ok).filter(|pace_pct| *pace_pct > 0);
    Some(ReportedLoad { running, waiting, pace_pct })
}

fn parse_limit(value: &HeaderValue) -> StatedLimit {
    let per_s = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    match per_s {
        // Larger numbers saturate.
        Some(per_s) if per_s >= 0.0 => StatedLimit::PerKs((per_s * 1000.0) as u32),
        _ => StatedLimit::Invalid,
    }
}

/// Parses a number of seconds, which may have a fraction; longer times than the longest one are cut.
fn parse_retry_after_ms(text: &str) -> Option<u64> {
    let seconds = text.trim().parse::<f64>().ok().filter(|seconds| *seconds >= 0.0)?;
    Some((seconds * 1000.0).ceil().min(RETRY_AFTER_MAX_MS) as u64)
}

fn parse_keep_alive_ms(text: &str) -> Option<u64> {
    let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse::<u64>().ok().map(|seconds| seconds * 1000)
}

/// Returns the headers of an upstream's response that are forwarded to the caller.
pub fn caller_headers(upstream: &HeaderMap) -> HeaderMap {
    let connection_headers = listed_in_connection(upstream);
    let mut headers = HeaderMap::with_capacity(upstream.len());
    for (name, value) in upstream {
        let text = name.as_str();
        if !HOP_BY_HOP.contains(&text) && !connection_headers.iter().any(|listed| listed == text) {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}

/// Adds the request's id to a response that the gateway itself produces.
pub fn set_request_id(headers: &mut HeaderMap, id: Option<&str>) {
    if let Some(Ok(value)) = id.map(HeaderValue::from_str) {
        headers.insert(ATTEMPT_ID, value);
    }
}

/// Adds the scheme in which a key is expected to a response that refuses a request without one.
pub fn set_key_scheme(headers: &mut HeaderMap) {
    headers.insert(hyper::header::WWW_AUTHENTICATE, HeaderValue::from_static(KEY_SCHEME));
}

/// Returns the names of further hop-by-hop headers, which the `Connection` header lists.
fn listed_in_connection(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(hyper::header::CONNECTION).iter();
    let listed = values.filter_map(|value| value.to_str().ok()).flat_map(|text| text.split(','));
    listed.map(|name| name.trim().to_ascii_lowercase()).collect()
}
