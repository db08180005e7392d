//! Load of a worker that comes from other instances, as lagging reports show it.
//!
//! A report is a sample: it may fall between two requests of an instance that keeps its part of the
//! slots busy. Room is therefore judged by the highest load of the last reports; otherwise instances
//! take each other's slots, and granted requests wait in the engine's queue past their deadlines.

/// Time for which a higher load is remembered, in ms; spans more than two reads of a worker by its
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
    /// Returns the state after a first report of `load` requests.
    pub fn new(load: u32, now_ms: u64) -> Self {
        Self { last: load, peak: load, peak_until_ms: now_ms + PEAK_HOLD_MS }
    }

    /// Takes over a report of `load` requests.
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

    /// Returns the highest load that is remembered.
    pub fn recent_peak(&self, now_ms: u64) -> u32 {
        if now_ms < self.peak_until_ms { self.peak } else { self.last }
    }
}
