//! Answers to callers: whole ones, streams, and refusals.

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
use crate::gateway::serve::InProgressGuard;
use crate::platform::headers;

/// A stream that broke off; the caller's connection ends without an end of the body.
#[derive(Debug, thiserror::Error)]
#[error("the stream broke off: {0}")]
pub struct StreamInterrupted(pub &'static str);

// The future of an asynchronous function has no name, and a body has to keep it between polls.
type NextFuture = Pin<Box<dyn Future<Output = (Option<Result<Bytes, StreamInterrupted>>, Relay)>>>;

/// Body of an answer.
pub struct ResponseBody {
    content: Content,
    // Counts the request as in progress until its body has been handed over or dropped.
    guard: Option<InProgressGuard>,
}

enum Content {
    Complete(Option<Bytes>),
    Stream(Box<RelayBody>),
}

/// A stream that is passed on as it arrives.
struct RelayBody {
    relay: Option<Relay>,
    // The type of an async function's future has no name.
    pending: Option<NextFuture>,
}

impl ResponseBody {
    /// Returns a body that is there as a whole.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self { content: Content::Complete(Some(bytes.into())), guard: None }
    }

    /// Returns a stream.
    pub fn stream(relay: Relay) -> Self {
        let body = RelayBody { relay: Some(relay), pending: None };
        Self { content: Content::Stream(Box::new(body)), guard: None }
    }

    /// Keeps the count of the request until the end of the body.
    pub fn attach_guard(&mut self, guard: InProgressGuard) {
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
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Complete(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Stream(body) => body.relay.is_none() && body.pending.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Stream(_) => SizeHint::default(),
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

/// Why a request is answered by the gateway itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// HTTP status; 408, 421, 429 and 503 promise that the request has not run and never will.
    pub status: StatusCode,
    /// Cause, for the log and the body.
    pub cause: &'static str,
    /// When to come back, in ms.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Returns a refusal that promises that the request has not run.
    pub fn not_run(cause: &'static str, retry_after_ms: u64) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, cause, retry_after_ms: Some(retry_after_ms) }
    }

    /// Returns a failure that promises nothing.
    pub fn failed(status: StatusCode, cause: &'static str) -> Self {
        Self { status, cause, retry_after_ms: None }
    }

    /// Returns the answer to the request `id`.
    pub fn into_response(self, id: Option<&str>) -> Response<ResponseBody> {
        let mut headers = HeaderMap::new();
        headers::set_request_id(&mut headers, id);
        headers.insert(hyper::header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(ms) = self.retry_after_ms {
            let seconds = format!("{}.{:03}", ms / 1000, ms % 1000);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(hyper::header::RETRY_AFTER, value);
            }
        }
        let mut response = Response::new(ResponseBody::whole(format!("{}\n", self.cause)));
        *response.status_mut() = self.status;
        *response.headers_mut() = headers;
        response
    }
}
