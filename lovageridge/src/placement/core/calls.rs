//! Calls from a lead to its workers: at most one outstanding for each, and orders only shortly
//! after a state read.

use crate::leadership::claimant::OrderPermission;
use crate::placement::call::Call;
use crate::placement::call::Purpose;
use crate::placement::call::fencing_number;
use crate::placement::core::ACTIVE_POLL_PERIOD_MS;
use crate::placement::core::Action;
use crate::placement::core::CellPlanner;
use crate::placement::core::TickInput;
use crate::placement::ledger::Reservation;
use crate::placement::ledger::Stage;
use crate::placement::ledger::Worker;
use crate::placement::load_limiter::StoreLimits;
use crate::placement::record::Record;
use crate::upstream::engine::FencedOrder;
use crate::upstream::engine::Order;
use crate::upstream::engine::Phase;

/// Time between state reads of a worker that neither loads nor unloads, in ms.
const IDLE_POLL_PERIOD_MS: u64 = 1000;
/// Backoff for each consecutive failed call, in ms.
const FAILURE_BACKOFF_MS: u64 = 200;
/// Longest backoff after failed calls, in ms.
const FAILURE_BACKOFF_MAX_MS: u64 = 2000;
/// Time after a state read within which orders may be sent, in ms; shorter than an engine restart.
const READ_VALID_MS: u64 = 500;

impl CellPlanner {
    /// Starts the next call to each worker for which one is due.
    pub(super) fn call_workers(&mut self, input: &TickInput<'_>, actions: &mut Vec<Action>) {
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        for id in ids {
            if let Some((purpose, order)) = self.next_call(input, &id) {
                self.start_call(input, &id, purpose, order, actions);
            }
        }
    }

    fn start_call(
        &mut self,
        input: &TickInput<'_>,
        id: &str,
        purpose: Purpose,
        order: Option<Order>,
        actions: &mut Vec<Action>,
    ) {
        let read_valid_until_ms = match purpose {
            Purpose::Poll | Purpose::Fence => u64::MAX,
            Purpose::Load { .. } | Purpose::Unload { .. } => self.read_valid_until_ms(id),
        };
        let not_after_ms = match input.permission {
            OrderPermission::Until { until_ms } => until_ms.min(read_valid_until_ms),
            OrderPermission::Wait => 0,
        };
        let order = order.map(|order| {
            self.sequence += 1;
            FencedOrder { fence: fencing_number(self.held_epoch.epoch, self.sequence), order }
        });
        if let Purpose::Unload { target } = &purpose {
            actions.push(Action::Append(Record::Unload {
                epoch: self.held_epoch.epoch,
                worker: id.to_owned(),
                target: target.clone(),
            }));
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.call_started_ms = Some(input.now_ms);
        if let Purpose::Load { sequence } = purpose {
            let mut orders = worker.reservations.iter_mut();
            if let Some(reservation) = orders.find(|r| r.sequence == sequence) {
                reservation.stage = Stage::Sent;
            }
        }
        let call = Call { worker: id.to_owned(), addr: worker.addr, purpose, order, not_after_ms };
        actions.push(Action::Call(call));
    }

    /// Returns the time until which an order may be sent based on the last state read of the worker
    /// `id`.
    ///
    /// A worker that restarts loses its fencing number and refuses connections for longer than
    /// `READ_VALID_MS`, so an order that is sent in time reaches the process whose state was read.
    fn read_valid_until_ms(&self, id: &str) -> u64 {
        let read_ms = self.workers.get(id).and_then(|worker| worker.last_read_ms);
        read_ms.map_or(0, |at| at + READ_VALID_MS)
    }

    /// Returns the next call to the worker `id`, if one is due.
    fn next_call(&mut self, input: &TickInput<'_>, id: &str) -> Option<(Purpose, Option<Order>)> {
        let worker = self.workers.get(id)?;
        if worker.call_started_ms.is_some() || self.is_backing_off(worker, input.now_ms) {
            return None;
        }
        let may_order = input.permission != OrderPermission::Wait;
        if worker.fenced_epoch != self.held_epoch.epoch {
            let fence = (Purpose::Fence, Some(Order::Fence));
            return if may_order && !self.fenced_out {
                Some(fence)
            } else {
                self.poll_if_due(worker, input)
            };
        }
        let order = if may_order { self.next_order(input, id) } else { None };
        if order.is_some() && input.now_ms >= self.read_valid_until_ms(id) {
            return Some((Purpose::Poll, None));
        }
        match order {
            Some((purpose, order)) => {
                self.charge_store_start(id, &purpose);
                Some((purpose, Some(order)))
            }
            None => self.poll_if_due(self.workers.get(id)?, input),
        }
    }

    fn next_order(&mut self, input: &TickInput<'_>, id: &str) -> Option<(Purpose, Order)> {
        self.next_unload(id).or_else(|| self.next_load(input, id))
    }

    /// Charges the load that `purpose` starts to the store's start budget, unless it is a retry or
    /// uses the worker's cached copy.
    fn charge_store_start(&mut self, id: &str, purpose: &Purpose) {
        let Purpose::Load { sequence } = purpose else { return };
        let Some(worker) = self.workers.get(id) else { return };
        let found = worker.reservations.iter().find(|r| r.sequence == *sequence);
        let from_store = found.is_some_and(|r| {
            r.stage == Stage::Logged
                && r.target.adapter.is_none()
                && !worker.has_checkpoint(&r.target.model)
        });
        if from_store {
            self.load_limiter.on_start();
        }
    }

    fn is_backing_off(&self, worker: &Worker, now_ms: u64) -> bool {
        let backoff_ms =
            (u64::from(worker.failures) * FAILURE_BACKOFF_MS).min(FAILURE_BACKOFF_MAX_MS);
        worker.failures > 0 && now_ms < worker.last_failure_ms + backoff_ms
    }

    fn next_unload(&self, id: &str) -> Option<(Purpose, Order)> {
        let worker = self.workers.get(id)?;
        let mut pending = self.pending_unloads.iter().filter(|(worker_id, _)| worker_id == id);
        let (_, target) = pending.find(|(_, target)| worker.is_resident(target))?;
        let order = match &target.adapter {
            None => Order::Unload { model: target.model.clone() },
            Some(adapter) => Order::UnloadAdapter { adapter: adapter.clone() },
        };
        Some((Purpose::Unload { target: target.clone() }, order))
    }

    fn next_load(&mut self, input: &TickInput<'_>, id: &str) -> Option<(Purpose, Order)> {
        let own = self.store_usage();
        let worker = self.workers.get(id)?;
        let mut ready: Vec<&Reservation> = worker
            .reservations
            .iter()
            .filter(|r| matches!(r.stage, Stage::Logged | Stage::Sent) && worker.fits_now(r))
            .collect();
        ready.sort_by_key(|r| r.deadline_ms);
        let venture = &input.config.venture;
        let limits =
            StoreLimits { slots: venture.store_slots, loads_per_s: venture.store_loads_per_s };
        let adapters: u32 = input.other_usage.iter().map(|u| u.adapters_in_flight).sum();
        let adapters = u64::from(adapters + own.adapters_in_flight);
        for reservation in ready {
            let is_retry = reservation.stage == Stage::Sent;
            let is_adapter = reservation.target.adapter.is_some();
            // A load from the worker's cached copy does not use the store.
            let from_local_copy = !is_adapter && worker.has_checkpoint(&reservation.target.model);
            let may_start = match (is_retry || from_local_copy, is_adapter) {
                (true, _) => true,
                (false, true) => adapters < venture.store_adapter_slots,
                (false, false) => {
                    self.load_limiter.may_start(limits, own, input.other_usage, input.now_ms)
                }
            };
            if !may_start {
                continue;
            }
            let purpose = Purpose::Load { sequence: reservation.sequence };
            return Some((purpose, load_order(reservation)));
        }
        None
    }

    fn poll_if_due(
        &self,
        worker: &Worker,
        input: &TickInput<'_>,
    ) -> Option<(Purpose, Option<Order>)> {
        let active = !worker.reservations.is_empty()
            || worker.state.held.iter().any(|h| h.phase != Phase::Resident);
        let period_ms = if active { ACTIVE_POLL_PERIOD_MS } else { IDLE_POLL_PERIOD_MS };
        let due = worker.last_read_ms.is_none_or(|at| input.now_ms >= at + period_ms);
        due.then_some((Purpose::Poll, None))
    }
}

fn load_order(reservation: &Reservation) -> Order {
    match &reservation.target.adapter {
        None => Order::Load {
            model: reservation.target.model.clone(),
            size_mb: reservation.size_mb,
            accelerators: reservation.accelerators.clone(),
        },
        Some(adapter) => Order::LoadAdapter {
            adapter: adapter.clone(),
            model: reservation.target.model.clone(),
            size_mb: reservation.size_mb,
        },
    }
}
