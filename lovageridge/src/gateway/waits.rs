//! Requests of this instance that wait for a model, and the models that its callers use.

use crate::gateway::peers::TargetUse;
use crate::gateway::peers::WaitingTarget;
use crate::sorted::Table;

/// Service, model and adapter that a request requires.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, or `None` for the model itself.
    pub adapter: Option<String>,
}

#[derive(Clone, Debug)]
struct WaitingRequest {
    ticket: u64,
    objective_at_ms: u64,
    // Workers that have been tried and must not get the request again.
    tried: Vec<String>,
}

/// Waiting requests and recent arrivals, by target.
#[derive(Clone, Debug, Default)]
pub struct WaitingRequests {
    waiting: Table<Target, Vec<WaitingRequest>>,
    arrivals: Table<Target, u32>,
    last_ticket: u64,
}

impl WaitingRequests {
    /// Counts a request for `target` that has arrived.
    pub fn on_arrival(&mut self, target: &Target) {
        *self.arrivals.get_or_insert_with(target.clone(), || 0) += 1;
    }

    /// Adds a waiting request, for which the workers `tried` are excluded; returns its ticket, with
    /// which it is removed.
    pub fn add(&mut self, target: &Target, objective_at_ms: u64, tried: &[String]) -> u64 {
        self.last_ticket += 1;
        let waiting = self.waiting.get_or_insert_with(target.clone(), Vec::new);
        let tried = tried.to_vec();
        waiting.push(WaitingRequest { ticket: self.last_ticket, objective_at_ms, tried });
        self.last_ticket
    }

    /// Removes the waiting request with `ticket`.
    pub fn remove(&mut self, target: &Target, ticket: u64) {
        let Some(waiting) = self.waiting.get_mut(target) else { return };
        waiting.retain(|request| request.ticket != ticket);
        if waiting.is_empty() {
            self.waiting.remove(target);
        }
    }

    /// Returns the targets that the lead should make available, with the workers that are no help.
    ///
    /// `unreachable` returns the workers that hold a target but cannot be reached. Workers that a
    /// waiting request has already tried are added to them.
    pub fn demand(
        &self,
        unreachable: impl Fn(&Target) -> Vec<String>,
        now_ms: u64,
    ) -> Vec<WaitingTarget> {
        let rows = self.waiting.iter().map(|(target, waiting)| WaitingTarget {
            service: target.service.clone(),
            model: target.model.clone(),
            adapter: target.adapter.clone(),
            waiting: waiting.len() as u32,
            slack_ms: waiting
                .iter()
                .map(|request| request.objective_at_ms.saturating_sub(now_ms))
                .max()
                .unwrap_or(0),
            unreachable_workers: waiting
                .iter()
                .flat_map(|request| request.tried.iter().cloned())
                .chain(unreachable(target))
                .collect(),
        });
        rows.collect()
    }

    /// Returns the number of arrivals by target since the last call, and resets it.
    pub fn take_arrivals(&mut self) -> Vec<TargetUse> {
        let arrivals = std::mem::take(&mut self.arrivals);
        let rows = arrivals.iter().map(|(target, count)| TargetUse {
            service: target.service.clone(),
            model: target.model.clone(),
            adapter: target.adapter.clone(),
            arrivals: *count,
        });
        rows.collect()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
