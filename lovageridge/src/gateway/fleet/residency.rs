//! Which parts of what workers hold the lead tells to peers, and when.
//!
//! Changes go out at once and are repeated, since datagrams get lost. All the rest goes round in
//! parts, so that the cost of a heartbeat does not grow with the number of workers. An instance that
//! the lead has not told anything before gets everything.

use crate::gateway::directory::WorkerView;
use crate::sorted::Table;

#[cfg(test)]
mod tests;

/// Time between heartbeats of the lead, in ms; peers miss it after 900 ms, three of them.
pub const HEARTBEAT_MS: u64 = 300;
/// Unchanged workers that a heartbeat tells of; all workers of a small deployment.
const ROTATION_WORKERS: usize = 12;
/// Workers whose loads a heartbeat tells: those of the busy models of a deployment of 90 workers.
pub const MAX_WORKER_LOADS: usize = 36;
/// Models that a heartbeat tells to be late; with the loads it stays within a narrow link.
pub const MAX_DELAYED_MODELS: usize = 12;
/// Heartbeats that repeat a change, so that two lost datagrams in a row do no harm.
const CHANGE_REPEATS: u8 = 2;

#[derive(Clone, Debug)]
struct SentView {
    view: WorkerView,
    repeats_left: u8,
}

/// What is to be told now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DueUpdate {
    /// Workers.
    pub views: Vec<WorkerView>,
    /// Whether it is a heartbeat and not a change alone.
    pub is_heartbeat: bool,
}

/// What the lead has told.
#[derive(Clone, Debug, Default)]
pub struct ResidencyPublisher {
    fence: u64,
    last_heartbeat_ms: Option<u64>,
    // Worker from which the next heartbeat goes on.
    next_worker: String,
    sent: Table<String, SentView>,
    informed_peers: Vec<String>,
}

impl ResidencyPublisher {
    /// Returns what to tell everybody now; `None` when there is nothing to tell.
    pub fn next_update(
        &mut self,
        fence: u64,
        views: Vec<WorkerView>,
        now_ms: u64,
    ) -> Option<DueUpdate> {
        if self.fence != fence {
            *self = Self { fence, ..Self::default() };
        }
        self.sent.retain(|id, _| views.iter().any(|view| view.id == *id));
        let is_heartbeat =
            self.last_heartbeat_ms.is_none_or(|heartbeat_ms| now_ms >= heartbeat_ms + HEARTBEAT_MS);
        let mut due = Vec::new();
        for view in views {
            let told = self.sent.get(view.id.as_str());
            if told.is_none_or(|told| told.view != view) {
                let told = SentView { view: view.clone(), repeats_left: CHANGE_REPEATS };
                self.sent.insert(view.id.clone(), told);
                due.push(view);
            }
        }
        if !is_heartbeat {
            return (!due.is_empty()).then_some(DueUpdate { views: due, is_heartbeat });
        }
        self.last_heartbeat_ms = Some(now_ms);
        self.add_repeated_changes(&mut due);
        self.add_rotation(&mut due);
        Some(DueUpdate { views: due, is_heartbeat })
    }

    fn add_repeated_changes(&mut self, due: &mut Vec<WorkerView>) {
        for (id, told) in self.sent.iter_mut() {
            if told.repeats_left > 0 && due.iter().all(|view| view.id != *id) {
                told.repeats_left -= 1;
                due.push(told.view.clone());
            }
        }
    }

    fn add_rotation(&mut self, due: &mut Vec<WorkerView>) {
        let after = self.sent.iter().filter(|(id, _)| **id >= self.next_worker);
        let before = self.sent.iter().filter(|(id, _)| **id < self.next_worker);
        let mut round = after.chain(before).map(|(_, told)| &told.view);
        for view in round.by_ref().take(ROTATION_WORKERS) {
            if due.iter().all(|known| known.id != view.id) {
                due.push(view.clone());
            }
        }
        if let Some(next) = round.next() {
            self.next_worker = next.id.clone();
        }
    }

    /// Returns those of `names` that have not been told everything under this lead, and notes that
    /// they are told now.
    pub fn take_new_peers<'a>(&mut self, names: impl Iterator<Item = &'a String>) -> Vec<String> {
        let mut newcomers = Vec::new();
        for name in names {
            if let Err(at) = self.informed_peers.binary_search(name) {
                self.informed_peers.insert(at, name.clone());
                newcomers.push(name.clone());
            }
        }
        newcomers
    }

    /// Returns all views, for newcomers.
    pub fn all_views(&self) -> Vec<WorkerView> {
        self.sent.values().map(|told| told.view.clone()).collect()
    }
}
