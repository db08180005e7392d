//! Reports of a lead on its workers, sent on change and repeated in case a datagram was lost.

use crate::placement::core::CellPlanner;
use crate::placement::ledger::Worker;
use crate::sorted::Table;
use crate::upstream::engine::Phase;
use crate::wire::ResidentModel;
use crate::wire::WorkerView;

/// Time after which an unchanged report is sent again, in ms.
const REPUBLISH_AFTER_MS: u64 = 2000;
/// A change of a worker's load by at least its slots divided by this number is reported at once.
const LOAD_STEP_DIVISOR: u32 = 8;

/// Last report on a worker.
#[derive(Clone, Debug)]
struct LastReport {
    view: WorkerView,
    published_ms: u64,
}

/// Sends the reports on the workers of one cell.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    sequence: u64,
    last_reports: Table<String, LastReport>,
}

impl Publisher {
    /// Returns the worker reports to send now.
    pub fn due_reports(&mut self, planner: &CellPlanner, now_ms: u64) -> Vec<WorkerView> {
        let mut due = Vec::new();
        for worker in planner.workers().filter(|w| w.last_read_ms.is_some()) {
            let mut view = worker_view(planner, worker);
            let last = self.last_reports.get(&worker.id);
            let unchanged = last.is_some_and(|p| {
                is_unchanged(&p.view, &view) && now_ms < p.published_ms + REPUBLISH_AFTER_MS
            });
            if unchanged {
                continue;
            }
            self.sequence += 1;
            view.sequence = self.sequence;
            let published = LastReport { view: view.clone(), published_ms: now_ms };
            self.last_reports.insert(worker.id.clone(), published);
            due.push(view);
        }
        self.last_reports.retain(|id, _| planner.workers().any(|w| w.id == *id));
        due
    }
}

fn is_unchanged(old: &WorkerView, new: &WorkerView) -> bool {
    let step = (new.slots / LOAD_STEP_DIVISOR).max(1);
    let same_state = old.resident == new.resident
        && old.leaving == new.leaving
        && old.addr == new.addr
        && old.slots == new.slots
        && old.reserved == new.reserved;
    same_state && old.load.abs_diff(new.load) < step
}

fn worker_view(planner: &CellPlanner, worker: &Worker) -> WorkerView {
    let mut resident: Vec<ResidentModel> = Vec::new();
    let held = || worker.state.held.iter().filter(|h| h.phase == Phase::Resident);
    for model in held().filter(|h| h.adapter.is_none()) {
        let mut adapters: Vec<String> =
            held().filter(|h| h.model == model.model).filter_map(|h| h.adapter.clone()).collect();
        adapters.sort_unstable();
        resident.push(ResidentModel { model: model.model.clone(), adapters });
    }
    resident.sort_unstable_by(|a, b| a.model.cmp(&b.model));
    let parts = crate::leadership::cell_parts(planner.cell());
    let (service, domain, _) = parts.unwrap_or_default();
    WorkerView {
        worker: worker.id.clone(),
        cell: planner.cell().to_owned(),
        service: service.to_owned(),
        domain: domain.to_owned(),
        addr: worker.addr,
        epoch: planner.epoch(),
        sequence: 0,
        leaving: worker.is_leaving(),
        slots: worker.state.slots as u32,
        load: worker.state.load as u32,
        reserved: planner.reserved_slots(worker),
        resident,
    }
}
