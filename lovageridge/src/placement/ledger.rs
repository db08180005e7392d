//! Memory ledger of one worker: what it holds, what is on its way, what is planned.
//!
//! An order whose answer was lost keeps its reservation until the engine shows the model or the
//! order is known to have failed, so memory is never promised twice.

use std::net::SocketAddr;

use crate::document::Model;
use crate::document::Target;
use crate::upstream::engine::EngineState;
use crate::upstream::engine::HeldWeights;
use crate::upstream::engine::Phase;

/// How far a reservation has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Decided; memory may still have to be freed.
    Planned,
    /// The decision stands in the log, or need not.
    Logged,
    /// The order may have reached the worker.
    Sent,
    /// A predecessor's decision whose order may have reached the worker.
    Inherited {
        /// A state read after this time settles the matter, in ms.
        settled_after_ms: u64,
    },
}

/// Memory kept for a load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reservation {
    /// Number of the decision within its epoch.
    pub sequence: u64,
    /// What is loaded.
    pub target: Target,
    /// Size over all accelerators, in MB.
    pub size_mb: u64,
    /// Accelerators that hold the weights.
    pub accelerators: Vec<u32>,
    /// How far the load has come.
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
    /// Last state that it reported.
    pub state: EngineState,
    /// Time at which the last answered query was begun, in ms.
    pub last_read_ms: Option<u64>,
    /// Epoch under which the worker was fenced and read; 0 before that.
    pub fenced_epoch: u64,
    /// Whether the list shows it as leaving.
    pub listed_leaving: bool,
    /// Loads that the state does not show yet.
    pub reservations: Vec<Reservation>,
    /// Time at which the outstanding query or order was begun, in ms.
    pub call_started_ms: Option<u64>,
    /// Consecutive queries without an answer.
    pub failures: u32,
    /// Time of the last query without an answer, in ms.
    pub last_failure_ms: u64,
}

/// Returns the memory that `size_mb` takes on each of `count` accelerators, in MB.
pub fn share_mb(size_mb: u64, count: usize) -> u64 {
    size_mb.div_ceil(count.max(1) as u64)
}

impl Worker {
    /// Returns a worker of which nothing is known yet.
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

    /// Tells whether the worker is about to leave.
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.state.leaving
    }

    /// Tells whether the worker keeps a copy of the model's checkpoint.
    pub fn has_checkpoint(&self, model: &str) -> bool {
        self.state.cached.iter().any(|name| name == model)
    }

    /// Returns the usual time of loading the model called `name` here, in ms.
    pub fn load_ms(&self, name: &str, model: &Model) -> u64 {
        if self.has_checkpoint(name) { model.reload_ms } else { model.load_ms }
    }

    /// Returns what the worker holds for `target`.
    pub fn held(&self, target: &Target) -> Option<&HeldWeights> {
        self.state.held.iter().find(|held| matches_target(held, target))
    }

    /// Tells whether `target` takes work here.
    pub fn is_resident(&self, target: &Target) -> bool {
        self.held(target).is_some_and(|held| held.phase == Phase::Resident)
    }

    /// Returns the reservation for `target`.
    pub fn reservation(&self, target: &Target) -> Option<&Reservation> {
        self.reservations.iter().find(|r| r.target == *target)
    }

    /// Tells whether `target` is held, on its way or planned here, and not on its way out.
    pub fn has_or_plans(&self, target: &Target) -> bool {
        let held = self.held(target).is_some_and(|held| held.phase != Phase::Unloading);
        held || self.reservation(target).is_some()
    }

    /// Returns the memory of `accelerator` that is held, in MB.
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

    /// Returns the memory of `accelerator` that is neither held nor reserved, in MB.
    pub fn free_mb(&self, accelerator: u32) -> u64 {
        let total_mb = self.state.accelerators_mb.get(accelerator as usize).copied().unwrap_or(0);
        total_mb.saturating_sub(self.held_mb(accelerator) + self.reserved_mb(accelerator, |_| true))
    }

    /// Returns the memory of `accelerator` that is neither held nor reserved once the replicas in
    /// `leaving` are unloaded, in MB; negative when reservations rest on further unloads.
    pub fn projected_free_mb(&self, accelerator: u32, unloading: &[Target]) -> i64 {
        let total_mb = self.state.accelerators_mb.get(accelerator as usize).copied().unwrap_or(0);
        let stays =
            |held: &&HeldWeights| !unloading.iter().any(|target| matches_target(held, target));
        let on_it = |held: &&HeldWeights| held.accelerators.contains(&accelerator);
        let share = |held: &HeldWeights| share_mb(held.size_mb, held.accelerators.len());
        let held_mb: u64 = self.state.held.iter().filter(stays).filter(on_it).map(share).sum();
        total_mb as i64 - held_mb as i64 - self.reserved_mb(accelerator, |_| true) as i64
    }

    /// Tells whether some replica is on its way out.
    pub fn is_unloading(&self) -> bool {
        self.state.held.iter().any(|held| held.phase == Phase::Unloading)
    }

    /// Tells whether `reservation` fits into memory that is free by now.
    ///
    /// Held weights, sent orders and inherited decisions all count; plans of others do not.
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

    /// Takes over a state whose query was begun at `begun_ms`; returns the settled decisions.
    pub fn apply_state(&mut self, state: EngineState, begun_ms: u64) -> Vec<Reservation> {
        self.state = state;
        self.last_read_ms = Some(begun_ms);
        self.failures = 0;
        let held = &self.state.held;
        let mut settled = Vec::new();
        self.reservations.retain(|r| {
            let reported = held.iter().any(|h| matches_target(h, &r.target));
            let expired = matches!(r.stage, Stage::Inherited { settled_after_ms }
                if begun_ms > settled_after_ms);
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
