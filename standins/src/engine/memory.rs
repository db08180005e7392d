//! Memory and work of an engine, and the truth of what happened on it.

use lovageridge::sorted::Table;
use lovageridge::upstream::engine::HeldWeights;
use lovageridge::upstream::engine::Phase;
use serde::Serialize;

/// What really happened on an engine.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Truth {
    /// Most memory taken of each accelerator, in MB.
    pub peak_mb: Vec<u64>,
    /// Memory of each accelerator, in MB.
    pub total_mb: Vec<u64>,
    /// Loads started, by model.
    pub loads: Table<String, u64>,
    /// Adapter loads started, by adapter.
    pub adapter_loads: Table<String, u64>,
    /// Orders refused for an old fencing number.
    pub fenced_orders: u64,
    /// Orders that would have overcommitted an accelerator.
    pub overcommits: u64,
    /// Generations begun.
    pub generations: u64,
    /// Generations begun after the engine said that it is leaving.
    pub generations_while_leaving: u64,
    /// Generations ended with all their tokens.
    pub finished: u64,
    /// Generations that the other side closed.
    pub cancelled: u64,
    /// Generations resumed with a text that does not fit.
    pub bad_resumes: u64,
    /// Generations resumed.
    pub resumes: u64,
}

/// Something that takes memory.
#[derive(Clone, Debug)]
struct Piece {
    phase: Phase,
    size_mb: u64,
    accelerators: Vec<u32>,
    in_flight: u64,
}

/// What became of an order to load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadStart {
    /// The load goes on.
    Started {
        /// Life of the engine in which it was started.
        generation: u64,
        /// Whether a copy of the checkpoint is in host memory.
        local: bool,
    },
    /// It is held or loading already.
    Held,
    /// It cannot be loaded.
    Refused,
}

/// Memory and work of an engine.
#[derive(Debug)]
pub struct Memory {
    /// Highest fencing number seen.
    pub fence: u64,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Number of the engine's life; a restart begins a new one.
    pub generation: u64,
    /// What really happened.
    pub truth: Truth,
    /// Sequences in the batch.
    pub running: usize,
    /// Priorities of the sequences that wait for the batch, with their order of arrival.
    pub queue: Vec<(u8, u64)>,
    arrivals: u64,
    pieces: Table<(String, Option<String>), Piece>,
    host_mb: u64,
    /// Copies of checkpoints with their sizes, the one used longest ago first.
    copies: Vec<(String, u64)>,
}

impl Memory {
    /// Returns empty memory.
    pub fn new(accelerators_mb: &[u64], host_mb: u64) -> Self {
        let truth = Truth {
            peak_mb: vec![0; accelerators_mb.len()],
            total_mb: accelerators_mb.to_vec(),
            ..Truth::default()
        };
        Self {
            fence: 0,
            leaving: false,
            generation: 0,
            truth,
            running: 0,
            queue: Vec::new(),
            arrivals: 0,
            pieces: Table::new(),
            host_mb,
            copies: Vec::new(),
        }
    }

    /// Returns the models with a copy in host memory.
    pub fn cached(&self) -> Vec<String> {
        self.copies.iter().map(|(model, _)| model.clone()).collect()
    }

    /// Keeps a copy of a loaded model, in place of the copies that were used longest ago.
    fn keep_copy(&mut self, model: &str, size_mb: u64) {
        self.copies.retain(|(name, _)| name != model);
        self.copies.push((model.to_owned(), size_mb));
        while self.copies.iter().map(|(_, mb)| mb).sum::<u64>() > self.host_mb {
            self.copies.remove(0);
        }
    }

    /// Forgets everything that a restart loses.
    pub fn restart(&mut self) {
        self.pieces.clear();
        self.copies.clear();
        self.fence = 0;
        self.generation += 1;
        self.leaving = false;
    }

    /// Returns what takes memory.
    pub fn held(&self) -> Vec<HeldWeights> {
        let held = self.pieces.iter().map(|((model, adapter), piece)| HeldWeights {
            model: model.clone(),
            adapter: adapter.clone(),
            phase: piece.phase,
            size_mb: piece.size_mb,
            accelerators: piece.accelerators.clone(),
        });
        held.collect()
    }

    /// Returns the sequences in progress or queued.
    pub fn load(&self) -> u64 {
        (self.running + self.queue.len()) as u64
    }

    /// Returns the accelerators that hold `model`.
    pub fn accelerators_of(&self, model: &str) -> Vec<u32> {
        let piece = self.pieces.get(&(model.to_owned(), None));
        piece.map(|p| p.accelerators.clone()).unwrap_or_default()
    }

    /// Returns the model that holds `adapter`.
    pub fn model_of(&self, adapter: &str) -> String {
        let mut keys = self.pieces.keys();
        let found = keys.find(|(_, name)| name.as_deref() == Some(adapter));
        found.map(|(model, _)| model.clone()).unwrap_or_default()
    }

    fn used_mb(&self, accelerator: u32) -> u64 {
        let on_it = |piece: &&Piece| piece.accelerators.contains(&accelerator);
        let share = |piece: &Piece| piece.size_mb.div_ceil(piece.accelerators.len() as u64);
        self.pieces.values().filter(on_it).map(share).sum()
    }

    /// Begins a load; an order that overcommits is counted and carried out, as memory would break.
    pub fn start_load(
        &mut self,
        model: &str,
        adapter: Option<&str>,
        size_mb: u64,
        accelerators: &[u32],
    ) -> LoadStart {
        let key = (model.to_owned(), adapter.map(str::to_owned));
        if let Some(piece) = self.pieces.get(&key) {
            return match piece.phase {
                Phase::Unloading => LoadStart::Refused,
                Phase::Loading | Phase::Resident => LoadStart::Held,
            };
        }
        let valid = accelerators.iter().all(|&a| (a as usize) < self.truth.total_mb.len());
        if accelerators.is_empty() || !valid {
            return LoadStart::Refused;
        }
        let counts =
            if adapter.is_some() { &mut self.truth.adapter_loads } else { &mut self.truth.loads };
        *counts.get_or_insert_with(adapter.unwrap_or(model).to_owned(), || 0) += 1;
        let piece = Piece {
            phase: Phase::Loading,
            size_mb,
            accelerators: accelerators.to_vec(),
            in_flight: 0,
        };
        self.pieces.insert(key, piece);
        self.note_peaks();
        let local = adapter.is_none() && self.copies.iter().any(|(name, _)| name == model);
        LoadStart::Started { generation: self.generation, local }
    }

    fn note_peaks(&mut self) {
        for at in 0..self.truth.total_mb.len() {
            let used = self.used_mb(at as u32);
            if used > self.truth.total_mb[at] {
                self.truth.overcommits += 1;
            }
            self.truth.peak_mb[at] = self.truth.peak_mb[at].max(used);
        }
    }

    /// Ends a load.
    pub fn end_load(&mut self, model: &str, adapter: Option<&str>, failed: bool) {
        let key = (model.to_owned(), adapter.map(str::to_owned));
        if failed {
            self.pieces.remove(&key);
        } else if let Some(piece) = self.pieces.get_mut(&key) {
            piece.phase = Phase::Resident;
            let size_mb = piece.size_mb;
            if adapter.is_none() {
                self.keep_copy(model, size_mb);
            }
        }
    }

    /// Begins to unload a model with its adapters, or one adapter; work in progress ends first.
    pub fn start_unload(&mut self, model: &str, adapter: Option<&str>) -> u16 {
        let mut found = false;
        for ((piece_model, piece_adapter), piece) in self.pieces.iter_mut() {
            let meant = adapter.is_none() || piece_adapter.as_deref() == adapter;
            if piece_model == model && meant && piece.phase == Phase::Resident {
                piece.phase = Phase::Unloading;
                found = true;
            }
        }
        self.drop_unloaded();
        if found { 200 } else { 409 }
    }

    fn drop_unloaded(&mut self) {
        let busy: Vec<String> = self
            .pieces
            .iter()
            .filter(|(_, piece)| piece.in_flight > 0)
            .map(|((model, _), _)| model.clone())
            .collect();
        self.pieces.retain(|(model, adapter), piece| {
            let model_busy = adapter.is_none() && busy.contains(model);
            piece.phase != Phase::Unloading || piece.in_flight > 0 || model_busy
        });
    }

    /// Takes a sequence in if its target takes work; returns its place in the order of arrival.
    pub fn begin(&mut self, model: &str, adapter: Option<&str>, priority: u8) -> Option<u64> {
        let resident = |piece: Option<&Piece>| piece.is_some_and(|p| p.phase == Phase::Resident);
        let base = (model.to_owned(), None);
        let key = (model.to_owned(), adapter.map(str::to_owned));
        if !resident(self.pieces.get(&base)) || !resident(self.pieces.get(&key)) {
            return None;
        }
        if let Some(piece) = self.pieces.get_mut(&key) {
            piece.in_flight += 1;
        }
        self.arrivals += 1;
        self.truth.generations += 1;
        if self.leaving {
            self.truth.generations_while_leaving += 1;
        }
        let place = self.arrivals;
        let at = self.queue.partition_point(|other| *other < (priority, place));
        self.queue.insert(at, (priority, place));
        Some(place)
    }

    /// Ends a sequence.
    pub fn end(&mut self, model: &str, adapter: Option<&str>, place: u64, was_running: bool) {
        self.queue.retain(|(_, other)| *other != place);
        if was_running {
            self.running -= 1;
        }
        let key = (model.to_owned(), adapter.map(str::to_owned));
        if let Some(piece) = self.pieces.get_mut(&key) {
            piece.in_flight = piece.in_flight.saturating_sub(1);
        }
        self.drop_unloaded();
    }

    /// Moves the sequence at `place` into the batch if it is first in line.
    pub fn enter_batch(&mut self, place: u64, slots: usize) -> bool {
        let first = self.queue.first().is_some_and(|(_, other)| *other == place);
        if first && self.running < slots {
            self.queue.remove(0);
            self.running += 1;
            return true;
        }
        false
    }
}
