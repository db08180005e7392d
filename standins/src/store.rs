//! Stand-in for the rate-limited weight store.

use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lovageridge::context::lock;

/// Time of an adapter load while the store is not crowded, in ms.
const ADAPTER_MS: u64 = 7;
/// Adapter loads at full speed at once.
const ADAPTER_SLOTS: u64 = 30;
/// Part of the store's time that a load from host memory takes.
const RELOAD_PART: u64 = 5;
/// Step in which a load makes progress.
const STEP: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct State {
    in_flight: u64,
    adapters_in_flight: u64,
    peak_in_flight: u64,
    peak_adapters: u64,
    slow_pct: u64,
    starts: Vec<Instant>,
    last_start: Option<Instant>,
}

/// The weight store.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    mb_per_s: u64,
    slots: u64,
    loads_per_s: u64,
}

impl Store {
    /// Returns a store with the given speed of one load, loads at full speed, and starts a second.
    pub fn new(mb_per_s: u64, slots: u64, loads_per_s: u64) -> Self {
        let state = State { slow_pct: 100, ..State::default() };
        Self { state: Mutex::new(state), mb_per_s, slots, loads_per_s }
    }

    /// Makes all loads take `slow_pct` percent of their usual time.
    pub fn set_slow_pct(&self, slow_pct: u64) {
        lock(&self.state).slow_pct = slow_pct.max(1);
    }

    /// Returns the usual time of a load, in ms.
    pub fn load_ms(&self, size_mb: u64) -> u64 {
        size_mb * 1000 / self.mb_per_s
    }

    /// Returns the most loads and the most adapter loads that were in flight at once.
    pub fn peaks(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.peak_in_flight, state.peak_adapters)
    }

    /// Returns the number of loads started.
    pub fn starts(&self) -> usize {
        lock(&self.state).starts.len()
    }

    /// Loads a checkpoint of `size_mb`; returns false when `abandoned` turned true on the way.
    pub fn load(&self, size_mb: u64, abandoned: impl Fn() -> bool) -> bool {
        self.wait_turn();
        let mut left_us = self.load_ms(size_mb) * 1000;
        let mut last = Instant::now();
        let mut finished = true;
        while left_us > 0 {
            if abandoned() {
                finished = false;
                break;
            }
            thread::sleep(STEP.min(Duration::from_micros(left_us)));
            let passed_us = last.elapsed().as_micros() as u64;
            last = Instant::now();
            left_us = left_us.saturating_sub(self.progress_us(passed_us));
        }
        lock(&self.state).in_flight -= 1;
        finished
    }

    /// Waits until the store may start another load.
    fn wait_turn(&self) {
        let gap = Duration::from_millis(1000 / self.loads_per_s.max(1));
        let start = {
            let mut state = lock(&self.state);
            let now = Instant::now();
            let start = state.last_start.map_or(now, |last| (last + gap).max(now));
            state.last_start = Some(start);
            state.starts.push(start);
            state.in_flight += 1;
            state.peak_in_flight = state.peak_in_flight.max(state.in_flight);
            start
        };
        thread::sleep(start.saturating_duration_since(Instant::now()));
    }

    fn progress_us(&self, passed_us: u64) -> u64 {
        let state = lock(&self.state);
        let crowded = state.in_flight.max(self.slots);
        passed_us * self.slots * 100 / (crowded * state.slow_pct)
    }

    /// Loads a checkpoint of `size_mb` from a worker's host memory, without the store.
    pub fn reload(&self, size_mb: u64) {
        thread::sleep(Duration::from_millis(self.load_ms(size_mb) / RELOAD_PART));
    }

    /// Loads an adapter.
    pub fn load_adapter(&self) {
        let time_ms = {
            let mut state = lock(&self.state);
            state.adapters_in_flight += 1;
            state.peak_adapters = state.peak_adapters.max(state.adapters_in_flight);
            let crowd = state.adapters_in_flight.max(ADAPTER_SLOTS);
            ADAPTER_MS * crowd / ADAPTER_SLOTS * state.slow_pct / 100
        };
        thread::sleep(Duration::from_millis(time_ms));
        lock(&self.state).adapters_in_flight -= 1;
    }
}
