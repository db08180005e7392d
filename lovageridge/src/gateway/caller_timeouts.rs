//! Timeouts of a caller's connection: while it is idle, and while request headers arrive.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::gateway::catalog::Limits;

/// Interval at which the timer wakes up while no timeout applies.
const RECHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Phase of a caller's connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// No bytes have arrived since the last response.
    Idle,
    /// Request headers have begun to arrive.
    Headers,
    /// A request is in progress; no timeout applies here.
    Request,
}

/// A timeout that has expired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExpiredTimeout {
    /// The connection was idle for too long.
    Idle,
    /// The request headers have not arrived in time.
    Headers,
}

/// Phase of one caller's connection, when it started, and the timeouts of the phases.
#[derive(Debug)]
pub struct CallerTimeouts {
    phase: Cell<Phase>,
    phase_start: Cell<Instant>,
    cut: Notify,
    header_timeout: Duration,
    idle_timeout: Duration,
}

impl CallerTimeouts {
    /// Returns the state of a connection that has just been accepted.
    pub fn new(limits: &Limits) -> Self {
        Self {
            phase: Cell::new(Phase::Idle),
            phase_start: Cell::new(Instant::now()),
            cut: Notify::new(),
            header_timeout: Duration::from_millis(limits.header_timeout_ms),
            idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
        }
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_start.set(Instant::now());
    }

    /// Called when bytes have arrived.
    fn on_bytes(&self) {
        if self.phase.get() == Phase::Idle {
            self.enter(Phase::Headers);
        }
    }

    /// Called when the request headers are complete.
    pub fn on_request(&self) {
        self.phase.set(Phase::Request);
    }

    /// Called when the response has been sent or dropped.
    pub fn on_response_end(&self) {
        self.enter(Phase::Idle);
    }

    /// Closes the connection at once, also while a response is being written.
    pub fn cut(&self) {
        self.cut.notify_one();
    }

    /// Waits until the connection is to be closed at once.
    pub async fn wait_cut(&self) {
        self.cut.notified().await;
    }

    fn deadline(&self) -> Option<(Instant, ExpiredTimeout)> {
        match self.phase.get() {
            Phase::Idle => Some((self.phase_start.get() + self.idle_timeout, ExpiredTimeout::Idle)),
            Phase::Headers => {
                Some((self.phase_start.get() + self.header_timeout, ExpiredTimeout::Headers))
            }
            Phase::Request => None,
        }
    }

    /// Waits until a timeout expires. Must be polled whenever the connection is, since a new phase
    /// does not wake it up.
    pub async fn wait_expired(&self) -> ExpiredTimeout {
        let mut sleep = pin!(tokio::time::sleep_until(self.phase_start.get() + self.idle_timeout));
        poll_fn(|context| {
            loop {
                let due = self.deadline();
                // A deadline after the timer's is set when the timer fires.
                if let Some((at, _)) = due
                    && at < sleep.deadline()
                {
                    sleep.as_mut().reset(at);
                }
                ready!(sleep.as_mut().poll(context));
                let now = Instant::now();
                match due {
                    Some((at, expired)) if now >= at => return Poll::Ready(expired),
                    Some((at, _)) => sleep.as_mut().reset(at),
                    None => sleep.as_mut().reset(now + RECHECK_INTERVAL),
                }
            }
        })
        .await
    }
}

/// A caller's connection that reports arriving bytes to its `CallerTimeouts`.
pub struct CallerStream {
    stream: TcpStream,
    timeouts: Rc<CallerTimeouts>,
}

impl CallerStream {
    /// Returns a connection that reports to `timeouts`.
    pub fn new(stream: TcpStream, timeouts: &Rc<CallerTimeouts>) -> Self {
        Self { stream, timeouts: Rc::clone(timeouts) }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.timeouts.on_bytes();
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
