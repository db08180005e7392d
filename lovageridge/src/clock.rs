//! Time as the duties see it.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Monotonic time in ms since a fixed start; steps of the wall clock do not touch it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Returns a clock that starts at zero now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the ms since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Returns the wall-clock time in ms since the Unix epoch; for audits and incarnations only.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
