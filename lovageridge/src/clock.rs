//! Monotonic and wall-clock time.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;

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

/// Returns the time since the machine started, in ms. Unlike [`Clock`], it also counts the time for which the
/// machine was suspended.
///
/// For permissions that expire: a suspended process must not use one that has run out meanwhile.
pub fn boot_ms() -> u64 {
    // The clock exists on every supported kernel; without it, permissions would count as expired.
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .map_or(u64::MAX, |time| time.tv_sec() as u64 * 1000 + time.tv_nsec() as u64 / 1_000_000)
}
