//! State of the led cells, for the admin interface.

use crate::placement::core::CellPlanner;
use crate::placement::ledger::Worker;

/// State of a led cell, for the admin interface.
#[derive(Clone, Debug, serde::Serialize)]
pub struct CellStatus {
    /// Name of the cell.
    pub cell: String,
    /// Epoch of the lead.
    pub epoch: u64,
    /// Whether the lead may send orders now.
    pub may_order: bool,
    /// Loads decided by this lead.
    pub loads_decided: u64,
    /// Loads that finished under this lead.
    pub loads_finished: u64,
    /// Workers of the cell with their ledgers.
    pub workers: Vec<WorkerStatus>,
}

/// State of a worker, for the admin interface.
#[derive(Clone, Debug, serde::Serialize)]
pub struct WorkerStatus {
    /// Name of the worker.
    pub worker: String,
    /// Whether this lead has fenced and read it.
    pub ready: bool,
    /// Whether it takes no new work because it will be reclaimed.
    pub leaving: bool,
    /// Consecutive calls without a response.
    pub failures: u32,
    /// Replicas with their phase.
    pub held: Vec<String>,
    /// Reserved loads with their stage.
    pub reserved: Vec<String>,
    /// Memory of each accelerator that is neither occupied nor reserved, in MB.
    pub free_mb: Vec<u64>,
}

/// Returns the state of the cell of `planner`; `may_order` is whether its lease is valid.
pub fn cell_status(planner: &CellPlanner, may_order: bool) -> CellStatus {
    CellStatus {
        cell: planner.cell().to_owned(),
        epoch: planner.epoch(),
        may_order: may_order && !planner.is_fenced_out(),
        loads_decided: planner.totals().loads_decided,
        loads_finished: planner.totals().loads_finished,
        workers: planner.workers().map(|w| worker_status(planner, w)).collect(),
    }
}

fn worker_status(planner: &CellPlanner, worker: &Worker) -> WorkerStatus {
    let name = |model: &str, adapter: &Option<String>| match adapter {
        None => model.to_owned(),
        Some(adapter) => format!("{model}+{adapter}"),
    };
    let accelerators = worker.state.accelerators_mb.len() as u32;
    WorkerStatus {
        worker: worker.id.clone(),
        ready: worker.fenced_epoch == planner.epoch(),
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
