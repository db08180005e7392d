//! Reservations of memory that end when the data that they stand for is dropped.

use std::cell::Cell;
use std::cell::RefCell;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use prometheus::IntGaugeVec;
use tokio::sync::Notify;

use crate::gateway::Gateway;
use crate::gateway::eventlog::Severity;
use crate::gateway::memory::budget::Budget;
use crate::gateway::memory::budget::Class;
use crate::gateway::memory::upstreams::UpstreamBytes;
use crate::gateway::response::Refusal;
use crate::telemetry::events;

#[cfg(test)]
mod tests;

/// Shortest Retry-After of a request whose body does not fit, in ms; at 30 Mbit/s, a body of 4 MiB is
/// sent on in about that time.
const RETRY_AFTER_MIN_MS: u64 = 1000;
/// Largest random addition, so that callers do not all return at once, in ms.
const RETRY_AFTER_JITTER_MS: u64 = 1000;
/// Shortest time between two log lines about refused requests, in ms.
const LOG_INTERVAL_MS: u64 = 1000;

/// The bytes that an instance holds for callers and upstreams.
pub struct Memory {
    /// Bytes of large bodies in progress at upstreams.
    pub upstreams: RefCell<UpstreamBytes>,
    shared: Arc<Shared>,
    logged_ms: Cell<Option<u64>>,
    refused_since_line: Cell<u64>,
}

// Bodies are shared with the HTTP library, which requires that they can be sent between threads.
struct Shared {
    budget: Mutex<Budget>,
    released: Notify,
    held_bytes: IntGaugeVec,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update_gauge(&self, budget: &Budget, class: Class) {
        self.held_bytes.with_label_values(&[class.label()]).set(budget.held_bytes(class) as i64);
    }
}

impl Memory {
    /// Returns an instance's account; without `memory_mb`, there is no limit. `held_bytes` is a gauge by
    /// class.
    pub fn new(memory_mb: Option<u64>, held_bytes: IntGaugeVec) -> Self {
        let budget = Mutex::new(Budget::new(memory_mb));
        let shared = Shared { budget, released: Notify::new(), held_bytes };
        let shared = Arc::new(shared);
        Self {
            upstreams: RefCell::default(),
            shared,
            logged_ms: Cell::default(),
            refused_since_line: Cell::default(),
        }
    }

    /// Changes the memory of the instance.
    pub fn set_memory_mb(&self, memory_mb: Option<u64>) {
        self.shared.lock().set_memory_mb(memory_mb);
        self.shared.released.notify_waiters();
    }

    /// Returns whether the bytes are limited.
    pub fn is_limited(&self) -> bool {
        self.shared.lock().limit_bytes().is_some()
    }

    /// Returns the upstreams that are not to get a further body of this length now.
    pub fn full_upstreams(&self, body_bytes: usize) -> Vec<String> {
        let limit_bytes = self.shared.lock().limit_bytes();
        self.upstreams.borrow().full(body_bytes as u64, limit_bytes)
    }

    /// Reserves bytes whether they fit or not.
    pub fn reserve_anyway(&self, class: Class, bytes: u64) -> HeldBytes {
        let mut budget = self.shared.lock();
        budget.add(class, bytes);
        self.shared.update_gauge(&budget, class);
        HeldBytes { shared: Arc::clone(&self.shared), class, bytes }
    }

    /// Reserves bytes; `None` if they do not fit.
    pub fn try_reserve(&self, class: Class, bytes: u64) -> Option<HeldBytes> {
        let mut held = HeldBytes { shared: Arc::clone(&self.shared), class, bytes: 0 };
        held.try_grow(class, bytes).then_some(held)
    }

    /// Returns an empty reservation.
    pub fn reserve_none(&self, class: Class) -> HeldBytes {
        HeldBytes { shared: Arc::clone(&self.shared), class, bytes: 0 }
    }
}

/// Reserved bytes, which are returned on drop.
pub struct HeldBytes {
    shared: Arc<Shared>,
    class: Class,
    bytes: u64,
}

impl HeldBytes {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Changes the reservation to `bytes` of `class`; returns whether they fit. If not, nothing changes.
    pub fn try_grow(&mut self, class: Class, bytes: u64) -> bool {
        let mut budget = self.shared.lock();
        let fits = budget.grow((self.class, self.bytes), (class, bytes));
        if fits {
            self.shared.update_gauge(&budget, self.class);
            self.shared.update_gauge(&budget, class);
            self.class = class;
            self.bytes = bytes;
        }
        fits
    }

    /// Changes the reservation to `bytes` of the same class, once they fit.
    pub async fn grow(&mut self, bytes: u64) {
        let shared = Arc::clone(&self.shared);
        loop {
            // Created before the attempt, so that no release in between is missed.
            let released = shared.released.notified();
            if self.try_grow(self.class, bytes) {
                return;
            }
            released.await;
        }
    }

    /// Lowers the reservation to `bytes`.
    pub fn shrink(&mut self, bytes: u64) {
        let excess = self.bytes.saturating_sub(bytes);
        if excess > 0 {
            self.bytes -= excess;
            let mut budget = self.shared.lock();
            budget.release(self.class, excess);
            self.shared.update_gauge(&budget, self.class);
            drop(budget);
            self.shared.released.notify_waiters();
        }
    }

    /// Returns `data`, whose last copy returns the reservation when it is dropped.
    pub fn attach(mut self, data: Bytes) -> Bytes {
        self.shrink(data.len() as u64);
        if data.is_empty() { data } else { Bytes::from_owner(HeldData { data, _held: self }) }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

struct HeldData {
    data: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for HeldData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Reservation for the body of a request while it arrives.
pub struct BodyReservation {
    // `None` once the body did not fit.
    held: Option<HeldBytes>,
    refused_class: Class,
}

impl BodyReservation {
    /// Reserves the announced length of a body at once; one of unknown length
    /// is announced with 0 bytes and reserved as it grows.
    pub fn new(memory: &Memory, announced_bytes: u64) -> Self {
        let class = Class::of_body(announced_bytes);
        Self { held: memory.try_reserve(class, announced_bytes), refused_class: class }
    }

    /// Reserves `bytes` in all; returns whether they and all earlier ones did fit. After that, the body
    /// is not to be kept.
    pub fn cover(&mut self, bytes: u64) -> bool {
        let Some(held) = &mut self.held else { return false };
        let class = Class::of_body(bytes);
        if bytes > held.bytes() && !held.try_grow(class, bytes) {
            self.refused_class = class;
            self.held = None;
        }
        self.held.is_some()
    }

    /// Returns the body with its reservation.
    ///
    /// # Errors
    /// Returns the class of the body if it did not fit.
    pub fn finish(self, body: Bytes) -> Result<Bytes, Class> {
        self.held.map(|held| held.attach(body)).ok_or(self.refused_class)
    }
}

/// Records that a request's body did not fit and returns the refusal.
pub fn refuse(gateway: &Gateway, class: Class) -> Refusal {
    let memory = &gateway.memory;
    gateway.metrics.memory_refused_total.with_label_values(&[class.label()]).inc();
    memory.refused_since_line.set(memory.refused_since_line.get() + 1);
    let now_ms = gateway.now_ms();
    if memory.logged_ms.get().is_none_or(|logged_ms| now_ms >= logged_ms + LOG_INTERVAL_MS) {
        memory.logged_ms.set(Some(now_ms));
        let budget = memory.shared.lock();
        let line = gateway.log.line(events::MEMORY_REFUSED, Severity::Notable);
        let line = line
            .text("class", class.label())
            .number("refused", memory.refused_since_line.take())
            .number("limit_bytes", budget.limit_bytes().unwrap_or(0));
        let line = Class::ALL.iter().fold(line, |line, class| {
            line.number(&format!("{}_bytes", class.label()), budget.held_bytes(*class))
        });
        line.emit();
    }
    let retry_after_ms = RETRY_AFTER_MIN_MS + rand::random::<u64>() % RETRY_AFTER_JITTER_MS;
    Refusal::not_run("the instance has no memory left for the body", retry_after_ms)
}
