//! Memory ledger of one worker: resident replicas, loads in flight and planned loads.
//!
//! An order whose response was lost keeps its reservation until the engine reports the model or the
//! order is known to have failed, so memory is never reserved twice.

use std::net::SocketAddr;

use crate::document::Model;
use crate::document::Target;
use crate::upstream::engine::EngineState;
use crate::upstream::engine::HeldWeights;
use crate::upstream::engine::Phase;

/// Progress of a reservation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Decided, but not yet confirmed by the log; memory may still have to be freed.
    Planned,
    /// The log has confirmed the decision, or no confirmation is required.
    Logged,
    /// The order was sent and may have reached the worker.
    Sent,
    /// Decision of an earlier lead whose order may have reached the worker.
    Inherited {
        /// A state read that starts after this time shows whether the load took place, in ms.
        settled_after_ms: u64,
    },
}

/// Memory reserved for a load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reservation {
    /// Number of the decision within its epoch.
    pub sequence: u64,
    /// Model or adapter to load.
    pub target: Target,
    /// Size over all accelerators, in MB.
    pub size_mb: u64,
    /// Accelerators that will hold the weights.
    pub accelerators: Vec<u32>,
    /// Progress of the load.
    pub stage: Stage,
    /// Time of the decision, in ms.
    pub decided_ms: u64,
    /// Earliest deadline of the waiting callers, in ms.
    pub deadline_ms: u64,
}

/// A worker and its ledger.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Name of the worker.
    pub id: String,
    /// Address of its HTTP port.
    pub addr: SocketAddr,
    /// State that it reported last.
    pub state: EngineState,
    /// Start time of the last call that returned a state, in ms.
    pub last_read_ms: Option<u64>,
    /// Epoch under which the worker was last fenced and read; 0 if it must be fenced first.
    pub fenced_epoch: u64,
    /// Whether the platform's list shows it as leaving or no longer contains it.
    pub listed_leaving: bool,
    /// Reservations of loads that the state does not show yet.
    pub reservations: Vec<Reservation>,
    /// Start time of the outstanding call, in ms; `None` when there is none.
    pub call_started_ms: Option<u64>,
    /// Consecutive calls without a response.
    pub failures: u32,
    /// Time of the last call without a response, in ms.
    pub last_failure_ms: u64,
}

/// Returns the memory that a size of `size_mb` takes on each of `count` accelerators, in MB.
pub fn share_mb(size_mb: u64, count: usize) -> u64 {
    size_mb.div_ceil(count.max(1) as u64)
}

impl Worker {
    /// Returns a worker whose state has not been read yet.
    pub fn new(id: impl Into<String>, addr: SocketAddr) -> Self {
        Self {
            id: id.into(),
            addr,
            state: EngineState::default(),
            last_read_ms: None,
            fenced_epoch: 0,
            listed_leaving: false,
            reservations: Vec::new(),
            call_started_ms: None,
            failures: 0,
            last_failure_ms: 0,
        }
    }

    /// Returns whether the worker takes no new work because it will be reclaimed.
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.state.leaving
    }

    /// Returns whether the worker has a cached copy of the model's weights.
    pub fn has_checkpoint(&self, model: &str) -> bool {
        self.state.cached.iter().any(|name| name == model)
    }

    /// Returns the usual load time of the model `name` on this worker, in ms.
    pub fn load_ms(&self, name: &str, model: &Model) -> u64 {
        if self.has_checkpoint(name) { model.reload_ms } else { model.load_ms }
    }

    /// Returns the worker's replica of `target`, in any phase.
    pub fn held(&self, target: &Target) -> Option<&HeldWeights> {
        self.state.held.iter().find(|held| matches_target(held, target))
    }

    /// Returns whether the worker holds `target` and serves requests for it.
    pub fn is_resident(&self, target: &Target) -> bool {
        self.held(target).is_some_and(|held| held.phase == Phase::Resident)
    }

    /// Returns the reservation for `target`.
    pub fn reservation(&self, target: &Target) -> Option<&Reservation> {
        self.reservations.iter().find(|r| r.target == *target)
    }

    /// Returns whether `target` is loaded, loading or planned on this worker, and not unloading.
    pub fn has_or_plans(&self, target: &Target) -> bool {
        let held = self.held(target).is_some_and(|held| held.phase != Phase::Unloading);
        held || self.reservation(target).is_some()
    }

    /// Returns the memory of `accelerator` that replicas occupy, in MB.
    pub fn held_mb(&self, accelerator: u32) -> u64 {
        let on_it = |held: &&HeldWeights| held.accelerators.contains(&accelerator);
        let share = |held: &HeldWeights| share_mb(held.size_mb, held.accelerators.len());
        self.state.held.iter().filter(on_it).map(share).sum()
    }

    fn reserved_mb(&self, accelerator: u32, is_counted: impl Fn(&Reservation) -> bool) -> u64 {
        self.reservations
            .iter()
            .filter(|r| r.accelerators.contains(&accelerator) && is_counted(r))
            .map(|r| share_mb(r.size_mb, r.accelerators.len()))
            .sum()
    }

    /// Returns the memory of `accelerator` that is neither occupied nor reserved, in MB.
    pub fn free_mb(&self, accelerator: u32) -> u64 {
        let total_mb = self.state.accelerators_mb.get(accelerator as usize).copied().unwrap_or(0);
        total_mb.saturating_sub(self.held_mb(accelerator) + self.reserved_mb(accelerator, |_| true))
    }

    /// Returns the memory of `accelerator` that will be neither occupied nor reserved once the
    /// replicas in `unloading` are unloaded, in MB; negative if the reservations require further
    /// unloads.
    pub fn projected_free_mb(&self, accelerator: u32, unloading: &[Target]) -> i64 {
        let total_mb = self.state.accelerators_mb.get(accelerator as usize).copied().unwrap_or(0);
        let stays =
            |held: &&HeldWeights| !unloading.iter().any(|target| matches_target(held, target));
        let on_it = |held: &&HeldWeights| held.accelerators.contains(&accelerator);
        let share = |held: &HeldWeights| share_mb(held.size_mb, held.accelerators.len());
        let held_mb: u64 = self.state.held.iter().filter(stays).filter(on_it).map(share).sum();
        total_mb as i64 - held_mb as i64 - self.reserved_mb(accelerator, |_| true) as i64
    }

    /// Returns whether some replica is being unloaded.
    pub fn is_unloading(&self) -> bool {
        self.state.held.iter().any(|held| held.phase == Phase::Unloading)
    }

    /// Returns whether `reservation` fits into the memory that is free now.
    ///
    /// Replicas, sent orders and inherited decisions count as occupied; other reservations that are
    /// not sent yet do not.
    pub fn fits_now(&self, reservation: &Reservation) -> bool {
        let required_mb = share_mb(reservation.size_mb, reservation.accelerators.len());
        reservation.accelerators.iter().all(|&accelerator| {
            let total = self.state.accelerators_mb.get(accelerator as usize).copied().unwrap_or(0);
            let others =
                |r: &Reservation| r.sequence != reservation.sequence && r.stage >= Stage::Sent;
            let taken_mb = self.held_mb(accelerator) + self.reserved_mb(accelerator, others);
            taken_mb + required_mb <= total
        })
    }

    /// Applies a state that was read by a call started at `started_ms`, and returns the
    /// reservations that it settles.
    pub fn apply_state(&mut self, state: EngineState, started_ms: u64) -> Vec<Reservation> {
        self.state = state;
        self.last_read_ms = Some(started_ms);
        self.failures = 0;
        let held = &self.state.held;
        let mut settled = Vec::new();
        self.reservations.retain(|r| {
            let reported = held.iter().any(|h| matches_target(h, &r.target));
            let expired = matches!(r.stage, Stage::Inherited { settled_after_ms }
                if started_ms > settled_after_ms);
            if reported || expired {
                settled.push(r.clone());
            }
            !(reported || expired)
        });
        settled
    }
}

fn matches_target(held: &HeldWeights, target: &Target) -> bool {
    held.model == target.model && held.adapter == target.adapter
}
