//! State of led cells, for the administration.

use crate::placement::core::CellPlanner;
use crate::placement::ledger::Worker;

/// State of a led cell, for the administration.
#[derive(Clone, Debug, serde::Serialize)]
pub struct CellStatus {
    /// Name of the cell.
    pub cell: String,
    /// Epoch of the lead.
    pub epoch: u64,
    /// Whether orders may go out now.
    pub may_order: bool,
    /// Loads decided by this lead.
    pub loads_decided: u64,
    /// Loads seen to finish.
    pub loads_finished: u64,
    /// Workers with their ledgers.
    pub workers: Vec<WorkerStatus>,
}

/// State of a worker, for the administration.
#[derive(Clone, Debug, serde::Serialize)]
pub struct WorkerStatus {
    /// Name of the worker.
    pub worker: String,
    /// Whether the lead has fenced and read it.
    pub ready: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Consecutive failed calls.
    pub failures: u32,
    /// What it holds, with its phase.
    pub held: Vec<String>,
    /// What is on its way.
    pub reserved: Vec<String>,
    /// Free memory of each accelerator, in MB.
    pub free_mb: Vec<u64>,
}

/// Returns the state of the cell that `core` leads; `may_order` tells whether its lease holds.
pub fn cell_status(core: &CellPlanner, may_order: bool) -> CellStatus {
    CellStatus {
        cell: core.cell().to_owned(),
        epoch: core.epoch(),
        may_order: may_order && !core.is_fenced_out(),
        loads_decided: core.totals().loads_decided,
        loads_finished: core.totals().loads_finished,
        workers: core.workers().map(|w| worker_status(core, w)).collect(),
    }
}

fn worker_status(core: &CellPlanner, worker: &Worker) -> WorkerStatus {
    let name = |model: &str, adapter: &Option<String>| match adapter {
        None => model.to_owned(),
        Some(adapter) => format!("{model}+{adapter}"),
    };
    let accelerators = worker.state.accelerators_mb.len() as u32;
    WorkerStatus {
        worker: worker.id.clone(),
        ready: worker.fenced_epoch == core.epoch(),
        leaving: worker.is_leaving(),
        failures: worker.failures,
        held: worker
            .state
            .held
            .iter()
            .map(|h| format!("{} {:?}", name(&h.model, &h.adapter), h.phase))
            .collect(),
        reserved: worker
            .reservations
            .iter()
            .map(|r| format!("{} {:?}", name(&r.target.model, &r.target.adapter), r.stage))
            .collect(),
        free_mb: (0..accelerators).map(|a| worker.free_mb(a)).collect(),
    }
}
