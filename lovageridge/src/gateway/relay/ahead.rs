//! Reads a stream ahead of its caller, up to a bounded number of bytes, so that an upstream is not left
//! unread while the caller pauses.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::gateway::caller_timeouts::CallerTimeouts;
use crate::gateway::memory::budget::Class;
use crate::gateway::memory::driver::HeldBytes;
use crate::gateway::memory::driver::Memory;
use crate::gateway::relay::Relay;
use crate::gateway::response::StreamInterrupted;

/// Most bytes of one stream that its caller has not taken yet; about half a minute of a model's fastest stream.
const BUFFER_MAX_BYTES: u64 = 256 << 10;
/// Time after the last byte that a caller took during which it counts as reading, in ms.
const READING_MS: u64 = 5000;

type Part = Result<Bytes, StreamInterrupted>;

/// Connection of the caller, once it is known.
type CallerSlot = Rc<RefCell<Option<Rc<CallerTimeouts>>>>;

/// A stream that is read ahead of its caller.
pub struct ReadAhead {
    parts: mpsc::UnboundedReceiver<Part>,
    has_ended: bool,
    caller: CallerSlot,
    task: AbortHandle,
}

impl ReadAhead {
    /// Starts to read `relay`.
    pub fn start(relay: Relay) -> Self {
        let (sender, parts) = mpsc::unbounded_channel();
        let caller = CallerSlot::default();
        let reading = read_ahead(relay, sender, Rc::clone(&caller));
        let task = tokio::task::spawn_local(reading).abort_handle();
        Self { parts, has_ended: false, caller, task }
    }

    /// Sets the connection that is closed if the caller takes nothing until the time limit.
    pub fn set_caller(&self, timeouts: &Rc<CallerTimeouts>) {
        *self.caller.borrow_mut() = Some(Rc::clone(timeouts));
    }

    /// Returns whether the caller has been given all parts.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Returns the next part; `None` at the end of the stream.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Part>> {
        let next = self.parts.poll_recv(context);
        self.has_ended |= matches!(next, Poll::Ready(None | Some(Err(_))));
        next
    }
}

// A caller that disconnects drops its body; the request is then cancelled at the worker.
impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn read_ahead(mut relay: Relay, parts: mpsc::UnboundedSender<Part>, caller: CallerSlot) {
    let window = Arc::new(Window::new(relay.gateway().clock));
    loop {
        let (item, rest) = relay.next().await;
        relay = rest;
        let data = match item {
            None => return,
            Some(Ok(data)) => data,
            Some(Err(interrupted)) => {
                // An error means that the caller has disconnected.
                let _ = parts.send(Err(interrupted));
                return;
            }
        };
        let blocked_ms = relay.gateway().now_ms();
        let memory = &relay.gateway().memory;
        let Some(held) = window.reserve(memory, data.len() as u64, relay.deadline_at_ms()).await
        else {
            // The connection does not ask for further parts while it cannot write.
            if let Some(caller) = &*caller.borrow() {
                caller.cut();
            }
            relay.abort("the caller took nothing until the time limit");
            return;
        };
        let waited_ms = relay.gateway().now_ms() - blocked_ms;
        relay.extend_deadline(waited_ms);
        let part = TakenPart { data, window: Arc::clone(&window), _held: held };
        if parts.send(Ok(Bytes::from_owner(part))).is_err() {
            return;
        }
    }
}

/// What a caller has not taken yet of its stream.
struct Window {
    clock: Clock,
    buffered_bytes: AtomicU64,
    // Monotonic time at which the last part was written to the caller, in ms; 0 before.
    taken_ms: AtomicU64,
    taken: Notify,
}

impl Window {
    fn new(clock: Clock) -> Self {
        Self {
            clock,
            buffered_bytes: AtomicU64::new(0),
            taken_ms: AtomicU64::new(0),
            taken: Notify::new(),
        }
    }

    /// Reserves the next part of the stream once it fits; `None` if the caller reads nothing and the
    /// deadline has passed. A part always fits if the caller has taken all earlier ones.
    async fn reserve(&self, memory: &Memory, bytes: u64, deadline_at_ms: u64) -> Option<HeldBytes> {
        loop {
            let taken = self.taken.notified();
            let buffered = self.buffered_bytes.load(Ordering::Relaxed);
            let held = if buffered == 0 {
                Some(memory.reserve_anyway(Class::Stream, bytes))
            } else if buffered + bytes <= BUFFER_MAX_BYTES {
                memory.try_reserve(Class::Stream, bytes)
            } else {
                None
            };
            if held.is_some() {
                self.buffered_bytes.fetch_add(bytes, Ordering::Relaxed);
                return held;
            }
            let taken_ms = self.taken_ms.load(Ordering::Relaxed);
            let until_ms = match taken_ms {
                0 => deadline_at_ms,
                _ => deadline_at_ms.max(taken_ms + READING_MS),
            };
            let remaining_ms = until_ms.saturating_sub(self.clock.now_ms());
            if remaining_ms == 0 {
                return None;
            }
            // After the timeout, the deadline is compared again.
            let _ = timeout(Duration::from_millis(remaining_ms), taken).await;
        }
    }
}

/// A part of a stream until it has been written to the caller.
struct TakenPart {
    data: Bytes,
    window: Arc<Window>,
    _held: HeldBytes,
}

impl AsRef<[u8]> for TakenPart {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for TakenPart {
    fn drop(&mut self) {
        let window = &self.window;
        window.buffered_bytes.fetch_sub(self.data.len() as u64, Ordering::Relaxed);
        window.taken_ms.store(window.clock.now_ms().max(1), Ordering::Relaxed);
        // The only task that waits here reads the stream.
        window.taken.notify_waiters();
    }
}
