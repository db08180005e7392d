//! Load on a worker from other instances, estimated from delayed reports.
//!
//! A report is a sample: it may fall between two requests of an instance that keeps its share of
//! the slots busy. Free slots are therefore estimated from the highest load in recent reports;
//! otherwise instances take each other's slots, and granted requests wait in the engine's queue
//! past their deadlines.

/// Time for which a higher load is remembered, in ms; spans more than two polls of a worker by its
/// lead.
const PEAK_HOLD_MS: u64 = 2500;

/// Load of one worker from other instances.
#[derive(Clone, Copy, Debug)]
pub struct PeerLoad {
    last: u32,
    peak: u32,
    peak_until_ms: u64,
}

impl PeerLoad {
    /// Returns the estimate after a first report of `load` requests.
    pub fn new(load: u32, now_ms: u64) -> Self {
        Self { last: load, peak: load, peak_until_ms: now_ms + PEAK_HOLD_MS }
    }

    /// Applies a report of `load` requests.
    pub fn on_report(&mut self, load: u32, now_ms: u64) {
        self.last = load;
        if load >= self.peak || now_ms >= self.peak_until_ms {
            self.peak = load;
            self.peak_until_ms = now_ms + PEAK_HOLD_MS;
        }
    }

    /// Returns the last reported load.
    pub fn last(&self) -> u32 {
        self.last
    }

    /// Returns the highest load in recent reports.
    pub fn recent_peak(&self, now_ms: u64) -> u32 {
        if now_ms < self.peak_until_ms { self.peak } else { self.last }
    }
}
