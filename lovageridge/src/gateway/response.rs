//! Responses to callers: complete bodies, streams and refusals.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::header::HeaderValue;

use crate::gateway::relay::Relay;
use crate::gateway::relay::ahead::ReadAhead;
use crate::gateway::serve::InProgressGuard;
use crate::platform::headers;

/// A stream that was interrupted; the caller's connection is closed without the end of the body.
#[derive(Debug, thiserror::Error)]
#[error("the stream was interrupted: {0}")]
pub struct StreamInterrupted(pub &'static str);

// Boxed because the future of an async function has no name, and the body keeps it between polls.
type NextFuture = Pin<Box<dyn Future<Output = (Option<Result<Bytes, StreamInterrupted>>, Relay)>>>;

/// Body of a response to a caller.
pub struct ResponseBody {
    content: Content,
    // Counts the request as in progress until the body has been sent or dropped.
    guard: Option<InProgressGuard>,
}

enum Content {
    Complete(Option<Bytes>),
    Stream(Box<RelayBody>),
    Ahead(ReadAhead),
}

/// A stream that is forwarded as it arrives.
struct RelayBody {
    relay: Option<Relay>,
    // The read in progress; it owns the relay until it completes.
    pending: Option<NextFuture>,
}

impl ResponseBody {
    /// Returns a body that is completely in memory.
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        Self { content: Content::Complete(Some(bytes.into())), guard: None }
    }

    /// Returns a body that streams from `relay`.
    pub fn stream(relay: Relay) -> Self {
        let body = RelayBody { relay: Some(relay), pending: None };
        Self { content: Content::Stream(Box::new(body)), guard: None }
    }

    /// Returns a body that streams from `relay`, which is read ahead of the caller.
    pub fn stream_ahead(relay: Relay) -> Self {
        Self { content: Content::Ahead(ReadAhead::start(relay)), guard: None }
    }

    /// Counts the request as in progress until the end of the body.
    pub fn attach_guard(&mut self, guard: InProgressGuard) {
        if let Content::Ahead(body) = &self.content {
            body.set_caller(&guard.timeouts);
        }
        self.guard = Some(guard);
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamInterrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        match &mut self.get_mut().content {
            Content::Complete(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Content::Stream(body) => body.poll(context),
            Content::Ahead(body) => {
                body.poll(context).map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Complete(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Stream(body) => body.relay.is_none() && body.pending.is_none(),
            Content::Ahead(body) => body.has_ended(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Stream(_) | Content::Ahead(_) => SizeHint::default(),
        }
    }
}

impl RelayBody {
    fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        if let Some(relay) = self.relay.take() {
            self.pending = Some(Box::pin(relay.next()));
        }
        let Some(next) = &mut self.pending else { return Poll::Ready(None) };
        let Poll::Ready((item, relay)) = next.as_mut().poll(context) else {
            return Poll::Pending;
        };
        self.pending = None;
        match item {
            Some(Ok(bytes)) => {
                self.relay = Some(relay);
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Some(Err(interrupted)) => Poll::Ready(Some(Err(interrupted))),
            None => Poll::Ready(None),
        }
    }
}

/// Returns whether `status` guarantees callers that the request has not run and never will; given by the
/// interface.
pub fn guarantees_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// A response of the gateway itself instead of an upstream's.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// HTTP status, see [`guarantees_not_run`].
    pub status: StatusCode,
    /// Cause, for the log, the metrics and the response body.
    pub cause: &'static str,
    /// Value of the Retry-After header, in ms; `None` to omit it.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Returns a refusal that guarantees that the request has not run.
    pub fn not_run(cause: &'static str, retry_after_ms: u64) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, cause, retry_after_ms: Some(retry_after_ms) }
    }

    /// Returns a failure with `status`; the request may have run unless the status rules it out.
    pub fn failed(status: StatusCode, cause: &'static str) -> Self {
        Self { status, cause, retry_after_ms: None }
    }

    /// Returns the HTTP response to the request `id`.
    pub fn into_response(self, id: Option<&str>) -> Response<ResponseBody> {
        let mut headers = HeaderMap::new();
        headers::set_request_id(&mut headers, id);
        headers.insert(hyper::header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if self.status == StatusCode::UNAUTHORIZED {
            headers::set_key_scheme(&mut headers);
        }
        if let Some(ms) = self.retry_after_ms {
            let seconds = format!("{}.{:03}", ms / 1000, ms % 1000);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(hyper::header::RETRY_AFTER, value);
            }
        }
        let mut response = Response::new(ResponseBody::complete(format!("{}\n", self.cause)));
        *response.status_mut() = self.status;
        *response.headers_mut() = headers;
        response
    }
}
