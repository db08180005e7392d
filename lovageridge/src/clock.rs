//! Monotonic and wall-clock time.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Monotonic clock in ms since its start; changes of the system time do not affect it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Returns a clock that starts at zero now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time since the start, in ms.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Returns the wall-clock time in ms since the Unix epoch.
///
/// Only for audit records, spans and incarnations: it can jump when the system time is changed.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
