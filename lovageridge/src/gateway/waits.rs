//! Requests of this instance that wait for a model, and what models its callers use.

use crate::gateway::peers::TargetUse;
use crate::gateway::peers::WaitingTarget;
use crate::sorted::Table;

/// Service, model and adapter that a request needs.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Target {
    /// Service.
    pub service: String,
    /// Model.
    pub model: String,
    /// Adapter of the model.
    pub adapter: Option<String>,
}

#[derive(Clone, Debug)]
struct WaitingRequest {
    ticket: u64,
    objective_at_ms: u64,
    // Workers that had the request and must not get it again.
    tried: Vec<String>,
}

/// Waiting requests by target.
#[derive(Clone, Debug, Default)]
pub struct WaitingRequests {
    waiting: Table<Target, Vec<WaitingRequest>>,
    arrivals: Table<Target, u32>,
    last_ticket: u64,
}

impl WaitingRequests {
    /// Notes that a request for `target` has arrived.
    pub fn on_arrival(&mut self, target: &Target) {
        *self.arrivals.get_or_insert_with(target.clone(), || 0) += 1;
    }

    /// Adds a waiting request that the workers `tried` had before; returns its ticket.
    pub fn add(&mut self, target: &Target, objective_at_ms: u64, tried: &[String]) -> u64 {
        self.last_ticket += 1;
        let waiting = self.waiting.get_or_insert_with(target.clone(), Vec::new);
        let tried = tried.to_vec();
        waiting.push(WaitingRequest { ticket: self.last_ticket, objective_at_ms, tried });
        self.last_ticket
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, target: &Target, ticket: u64) {
        let Some(waiting) = self.waiting.get_mut(target) else { return };
        waiting.retain(|one| one.ticket != ticket);
        if waiting.is_empty() {
            self.waiting.remove(target);
        }
    }

    /// Returns what the lead should bring into use; `unreachable` names, for a target, the workers
    /// that hold it but cannot be reached. Workers that a waiting request has tried count too.
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
                .map(|one| one.objective_at_ms.saturating_sub(now_ms))
                .max()
                .unwrap_or(0),
            unreachable_workers: waiting
                .iter()
                .flat_map(|one| one.tried.iter().cloned())
                .chain(unreachable(target))
                .collect(),
        });
        rows.collect()
    }

    /// Returns the arrivals since the last call.
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

    /// Tells whether any request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
