//! Selects which worker views the lead publishes to its peers, and when.
//!
//! Changed views are sent at once and repeated, since datagrams get lost. Unchanged views are sent
//! in rotation, so that the size of a heartbeat does not grow with the number of workers. A peer
//! that has received nothing from this lead yet gets all views.

use crate::gateway::directory::WorkerView;
use crate::sorted::Table;

#[cfg(test)]
mod tests;

/// Heartbeat interval of the lead, in ms; peers consider it lost after 900 ms, three heartbeats.
pub const HEARTBEAT_MS: u64 = 300;
/// Least number of unchanged workers per heartbeat; covers all workers of a small deployment.
const ROTATION_WORKERS_MIN: usize = 12;
/// Heartbeats in which all workers are sent, if they are many; they take less time than a view that is
/// not confirmed stays in use.
const ROTATION_HEARTBEATS: usize = 8;
/// Least number of workers per heartbeat whose requests in progress are reported.
const WORKER_LOADS_MIN: usize = 36;
/// Share of all workers whose requests in progress are reported, in percent: those with the busy models.
const WORKER_LOADS_PCT: usize = 40;
/// Instances up to which a change is published as soon as it is known.
const PROMPT_PEERS: usize = 32;
/// Instances for which the shortest time between two updates grows by one ms.
const PEERS_PER_INTERVAL_MS: usize = 8;
/// Least number of delayed models per heartbeat.
const DELAYED_MODELS_MIN: usize = 12;
/// Workers for each further delayed model; together with the loads of workers they fit into a narrow link.
const WORKERS_PER_DELAYED_MODEL: usize = 6;
/// Heartbeats that repeat a change, so that it arrives despite two lost datagrams in a row.
const CHANGE_REPEATS: u8 = 2;

#[derive(Clone, Debug)]
struct SentView {
    view: WorkerView,
    repeats_left: u8,
}

/// Returns the number of workers per heartbeat whose requests in progress are reported, out of
/// `workers`.
pub fn max_worker_loads(workers: usize) -> usize {
    (workers * WORKER_LOADS_PCT / 100).max(WORKER_LOADS_MIN)
}

/// Returns the number of delayed models per heartbeat, in a deployment of `workers`.
pub fn max_delayed_models(workers: usize) -> usize {
    (workers / WORKERS_PER_DELAYED_MODEL).max(DELAYED_MODELS_MIN)
}

/// Returns the shortest time between two updates for `peers` instances, in ms. Each costs the lead a
/// datagram for many of them, so changes are collected meanwhile.
pub fn update_interval_ms(peers: usize) -> u64 {
    (peers.saturating_sub(PROMPT_PEERS) / PEERS_PER_INTERVAL_MS) as u64
}

/// An update to send now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DueUpdate {
    /// Views to send.
    pub views: Vec<WorkerView>,
    /// Whether this is a heartbeat, or changes only.
    pub is_heartbeat: bool,
}

/// Tracks what the lead has sent to its peers.
#[derive(Clone, Debug, Default)]
pub struct ResidencyPublisher {
    fence: u64,
    last_heartbeat_ms: Option<u64>,
    last_update_ms: u64,
    // Number of updates, over all terms.
    updates: u64,
    // First worker of the rotation in the next heartbeat.
    next_worker: String,
    sent: Table<String, SentView>,
    informed_peers: Vec<String>,
}

impl ResidencyPublisher {
    /// Returns the number of updates so far. Instances of a domain take turns by it, not by the number of
    /// messages, of which an update may have several.
    pub fn update_count(&self) -> u64 {
        self.updates
    }

    /// Returns whether `interval_ms` have passed since the last update of the lead with `fence`.
    pub fn may_update(&self, fence: u64, interval_ms: u64, now_ms: u64) -> bool {
        self.fence != fence || now_ms >= self.last_update_ms + interval_ms
    }

    /// Returns the update to send to all peers now; `None` if there is nothing to send. `views` are
    /// sorted by id. A new `fence` starts from an empty state.
    pub fn next_update(
        &mut self,
        fence: u64,
        views: &[&WorkerView],
        now_ms: u64,
    ) -> Option<DueUpdate> {
        if self.fence != fence {
            *self = Self { fence, updates: self.updates, ..Self::default() };
        }
        self.sent.retain(|id, _| views.binary_search_by(|view| view.id.cmp(id)).is_ok());
        let is_heartbeat =
            self.last_heartbeat_ms.is_none_or(|heartbeat_ms| now_ms >= heartbeat_ms + HEARTBEAT_MS);
        let mut due = Vec::new();
        for &view in views {
            let last = self.sent.get(view.id.as_str());
            if last.is_none_or(|last| last.view != *view) {
                let sent = SentView { view: view.clone(), repeats_left: CHANGE_REPEATS };
                self.sent.insert(view.id.clone(), sent);
                due.push(view.clone());
            }
        }
        if is_heartbeat || !due.is_empty() {
            self.last_update_ms = now_ms;
            self.updates += 1;
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
        for (id, sent) in self.sent.iter_mut() {
            if sent.repeats_left > 0 && due.iter().all(|view| view.id != *id) {
                sent.repeats_left -= 1;
                due.push(sent.view.clone());
            }
        }
    }

    fn add_rotation(&mut self, due: &mut Vec<WorkerView>) {
        let count = self.sent.len().div_ceil(ROTATION_HEARTBEATS).max(ROTATION_WORKERS_MIN);
        let after = self.sent.iter().filter(|(id, _)| **id >= self.next_worker);
        let before = self.sent.iter().filter(|(id, _)| **id < self.next_worker);
        let mut rotation = after.chain(before).map(|(_, sent)| &sent.view);
        for view in rotation.by_ref().take(count) {
            if due.iter().all(|known| known.id != view.id) {
                due.push(view.clone());
            }
        }
        if let Some(next) = rotation.next() {
            self.next_worker = next.id.clone();
        }
    }

    /// Returns those of `names` that have not been sent all views in this term, and records them as
    /// sent.
    pub fn take_new_peers<'a>(&mut self, names: impl Iterator<Item = &'a String>) -> Vec<String> {
        let mut new_peers = Vec::new();
        for name in names {
            if let Err(index) = self.informed_peers.binary_search(name) {
                self.informed_peers.insert(index, name.clone());
                new_peers.push(name.clone());
            }
        }
        new_peers
    }

    /// Returns all views, for new peers.
    pub fn all_views(&self) -> Vec<WorkerView> {
        self.sent.values().map(|sent| sent.view.clone()).collect()
    }
}
