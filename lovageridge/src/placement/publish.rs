//! Reports of a lead on its workers: on change, and at intervals to make up for lost datagrams.

use crate::placement::core::Core;
use crate::placement::ledger::Worker;
use crate::sorted::Table;
use crate::upstream::engine::Phase;
use crate::wire::ResidentView;
use crate::wire::WorkerView;

/// Time after which a report is repeated, in ms.
const REPEAT_MS: u64 = 2000;
/// Parts of the slots by which a load has to change for a new report.
const LOAD_PARTS: u32 = 8;

/// Last report on a worker.
#[derive(Clone, Debug)]
struct Published {
    view: WorkerView,
    at_ms: u64,
}

/// Reports of one cell.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    sequence: u64,
    published: Table<String, Published>,
}

impl Publisher {
    /// Returns the reports that are due.
    pub fn due(&mut self, core: &Core, now_ms: u64) -> Vec<WorkerView> {
        let mut due = Vec::new();
        for worker in core.workers().filter(|w| w.read_ms.is_some()) {
            let mut view = view_of(core, worker);
            let known = self.published.get(&worker.id);
            let same =
                known.is_some_and(|p| is_alike(&p.view, &view) && now_ms < p.at_ms + REPEAT_MS);
            if same {
                continue;
            }
            self.sequence += 1;
            view.sequence = self.sequence;
            let published = Published { view: view.clone(), at_ms: now_ms };
            self.published.insert(worker.id.clone(), published);
            due.push(view);
        }
        self.published.retain(|id, _| core.workers().any(|w| w.id == *id));
        due
    }
}

fn is_alike(old: &WorkerView, new: &WorkerView) -> bool {
    let step = (new.slots / LOAD_PARTS).max(1);
    let same_facts = old.resident == new.resident
        && old.leaving == new.leaving
        && old.addr == new.addr
        && old.slots == new.slots
        && old.reserved == new.reserved;
    same_facts && old.load.abs_diff(new.load) < step
}

fn view_of(core: &Core, worker: &Worker) -> WorkerView {
    let mut resident: Vec<ResidentView> = Vec::new();
    let held = || worker.state.held.iter().filter(|h| h.phase == Phase::Resident);
    for model in held().filter(|h| h.adapter.is_none()) {
        let mut adapters: Vec<String> =
            held().filter(|h| h.model == model.model).filter_map(|h| h.adapter.clone()).collect();
        adapters.sort_unstable();
        resident.push(ResidentView { model: model.model.clone(), adapters });
    }
    resident.sort_unstable_by(|a, b| a.model.cmp(&b.model));
    let parts = crate::leadership::cell_parts(core.cell());
    let (service, domain, _) = parts.unwrap_or_default();
    WorkerView {
        worker: worker.id.clone(),
        cell: core.cell().to_owned(),
        service: service.to_owned(),
        domain: domain.to_owned(),
        addr: worker.addr,
        epoch: core.epoch(),
        sequence: 0,
        leaving: worker.is_leaving(),
        slots: worker.state.slots as u32,
        load: worker.state.load as u32,
        reserved: core.reserved_slots(worker),
        resident,
    }
}
