//! Calls of a lead to its workers: one outstanding for each, orders only on a fresh read.

use crate::leadership::claimant::Permission;
use crate::placement::call::Call;
use crate::placement::call::Purpose;
use crate::placement::call::fence_number;
use crate::placement::core::Action;
use crate::placement::core::Core;
use crate::placement::core::POLL_ACTIVE_MS;
use crate::placement::core::Surroundings;
use crate::placement::ledger::Reservation;
use crate::placement::ledger::Stage;
use crate::placement::ledger::Worker;
use crate::placement::pace::StoreLimits;
use crate::placement::record::Record;
use crate::upstream::engine::FencedOrder;
use crate::upstream::engine::Order;
use crate::upstream::engine::Phase;

/// Time between reads of a worker at rest, in ms.
const POLL_MS: u64 = 1000;
/// Pause after each consecutive failed call, in ms.
const FAILURE_PAUSE_MS: u64 = 200;
/// Longest pause after failed calls, in ms.
const FAILURE_PAUSE_MAX_MS: u64 = 2000;
/// Time for which a read is the ground of orders, in ms; shorter than the restart of an engine.
const READ_FRESH_MS: u64 = 500;

impl Core {
    pub(super) fn call_workers(&mut self, around: &Surroundings<'_>, actions: &mut Vec<Action>) {
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        for id in ids {
            if let Some((purpose, order)) = self.next_call(around, &id) {
                self.begin_call(around, &id, purpose, order, actions);
            }
        }
    }

    fn begin_call(
        &mut self,
        around: &Surroundings<'_>,
        id: &str,
        purpose: Purpose,
        order: Option<Order>,
        actions: &mut Vec<Action>,
    ) {
        let fresh_until_ms = match purpose {
            Purpose::Poll | Purpose::Fence => u64::MAX,
            Purpose::Load { .. } | Purpose::Unload { .. } => self.fresh_until_ms(id),
        };
        let not_after_ms = match around.permission {
            Permission::Until { until_ms } => until_ms.min(fresh_until_ms),
            Permission::Wait => 0,
        };
        let order = order.map(|order| {
            self.sequence += 1;
            FencedOrder { fence: fence_number(self.held.epoch, self.sequence), order }
        });
        if let Purpose::Unload { target } = &purpose {
            actions.push(Action::Append(Record::Unload {
                epoch: self.held.epoch,
                worker: id.to_owned(),
                target: target.clone(),
            }));
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.busy_since_ms = Some(around.now_ms);
        if let Purpose::Load { sequence } = purpose {
            let mut orders = worker.reservations.iter_mut();
            if let Some(reservation) = orders.find(|r| r.sequence == sequence) {
                reservation.stage = Stage::Sent;
            }
        }
        let call = Call { worker: id.to_owned(), addr: worker.addr, purpose, order, not_after_ms };
        actions.push(Action::Call(call));
    }

    /// Returns the time until which the last read of the worker `id` may be the ground of an order.
    ///
    /// A worker that restarts forgets its fencing number and refuses connections for longer than
    /// this time, so an order that is written in time meets the process that was read.
    fn fresh_until_ms(&self, id: &str) -> u64 {
        let read_ms = self.workers.get(id).and_then(|worker| worker.read_ms);
        read_ms.map_or(0, |at| at + READ_FRESH_MS)
    }

    /// Returns the next call to the worker `id`, if one is due.
    fn next_call(
        &mut self,
        around: &Surroundings<'_>,
        id: &str,
    ) -> Option<(Purpose, Option<Order>)> {
        let worker = self.workers.get(id)?;
        if worker.busy_since_ms.is_some() || self.is_pausing(worker, around.now_ms) {
            return None;
        }
        let may_order = around.permission != Permission::Wait;
        if worker.ready_epoch != self.held.epoch {
            let fence = (Purpose::Fence, Some(Order::Fence));
            return if may_order && !self.fenced_out {
                Some(fence)
            } else {
                self.poll(worker, around)
            };
        }
        let order = if may_order { self.next_order(around, id) } else { None };
        if order.is_some() && around.now_ms >= self.fresh_until_ms(id) {
            return Some((Purpose::Poll, None));
        }
        match order {
            Some((purpose, order)) => {
                self.note_start(id, &purpose);
                Some((purpose, Some(order)))
            }
            None => self.poll(self.workers.get(id)?, around),
        }
    }

    fn next_order(&mut self, around: &Surroundings<'_>, id: &str) -> Option<(Purpose, Order)> {
        self.next_unload(id).or_else(|| self.next_load(around, id))
    }

    /// Takes the load that `purpose` begins out of the pace, unless it is ordered again or local.
    fn note_start(&mut self, id: &str, purpose: &Purpose) {
        let Purpose::Load { sequence } = purpose else { return };
        let Some(worker) = self.workers.get(id) else { return };
        let found = worker.reservations.iter().find(|r| r.sequence == *sequence);
        let from_store = found.is_some_and(|r| {
            r.stage == Stage::Logged
                && r.target.adapter.is_none()
                && !worker.has_checkpoint(&r.target.model)
        });
        if from_store {
            self.pace.on_start();
        }
    }

    fn is_pausing(&self, worker: &Worker, now_ms: u64) -> bool {
        let pause_ms = (u64::from(worker.failures) * FAILURE_PAUSE_MS).min(FAILURE_PAUSE_MAX_MS);
        worker.failures > 0 && now_ms < worker.failed_ms + pause_ms
    }

    fn next_unload(&self, id: &str) -> Option<(Purpose, Order)> {
        let worker = self.workers.get(id)?;
        let mut pending = self.unload.iter().filter(|(worker_id, _)| worker_id == id);
        let (_, target) = pending.find(|(_, target)| worker.is_resident(target))?;
        let order = match &target.adapter {
            None => Order::Unload { model: target.model.clone() },
            Some(adapter) => Order::UnloadAdapter { adapter: adapter.clone() },
        };
        Some((Purpose::Unload { target: target.clone() }, order))
    }

    fn next_load(&mut self, around: &Surroundings<'_>, id: &str) -> Option<(Purpose, Order)> {
        let own = self.store_use();
        let worker = self.workers.get(id)?;
        let mut ripe: Vec<&Reservation> = worker
            .reservations
            .iter()
            .filter(|r| matches!(r.stage, Stage::Logged | Stage::Sent) && worker.fits_now(r))
            .collect();
        ripe.sort_by_key(|r| r.deadline_ms);
        let venture = &around.config.venture;
        let limits =
            StoreLimits { slots: venture.store_slots, loads_per_s: venture.store_loads_per_s };
        let adapters: u32 = around.others.iter().map(|u| u.adapters_in_flight).sum();
        let adapters = u64::from(adapters + own.adapters_in_flight);
        for reservation in ripe {
            let again = reservation.stage == Stage::Sent;
            let is_adapter = reservation.target.adapter.is_some();
            // A copy of its own takes nothing from the store.
            let local = !is_adapter && worker.has_checkpoint(&reservation.target.model);
            let may_start = match (again || local, is_adapter) {
                (true, _) => true,
                (false, true) => adapters < venture.store_adapter_slots,
                (false, false) => self.pace.may_start(limits, own, around.others, around.now_ms),
            };
            if !may_start {
                continue;
            }
            let purpose = Purpose::Load { sequence: reservation.sequence };
            return Some((purpose, load_order(reservation)));
        }
        None
    }

    fn poll(&self, worker: &Worker, around: &Surroundings<'_>) -> Option<(Purpose, Option<Order>)> {
        let active = !worker.reservations.is_empty()
            || worker.state.held.iter().any(|h| h.phase != Phase::Resident);
        let period_ms = if active { POLL_ACTIVE_MS } else { POLL_MS };
        let due = worker.read_ms.is_none_or(|at| around.now_ms >= at + period_ms);
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
