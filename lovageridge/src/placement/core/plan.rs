//! Planning of a lead: which targets to load, on which worker, and which idle ones to unload.

use crate::document::Config;
use crate::document::Target;
use crate::placement::core::Action;
use crate::placement::core::CellPlanner;
use crate::placement::core::TickInput;
use crate::placement::demand::TargetDemand;
use crate::placement::eviction;
use crate::placement::eviction::Placement;
use crate::placement::keep_alive::KeepAliveCost;
use crate::placement::ledger::Reservation;
use crate::placement::ledger::Stage;
use crate::placement::ledger::Worker;
use crate::placement::ledger::share_mb;
use crate::placement::record::LoadDecision;
use crate::placement::record::Record;
use crate::upstream::engine::Phase;

/// Time before a target for which no worker had memory is planned again, in ms.
const NO_CAPACITY_RETRY_MS: u64 = 300;
/// Longest time that a decision waits for its memory to become free, in ms.
const BLOCKED_TIMEOUT_MS: u64 = 5000;
/// Delay after the usual load time before another replica is added because of load, in ms.
const SCALE_OUT_DELAY_MS: u64 = 1000;

impl CellPlanner {
    pub(super) fn plan_loads(&mut self, input: &TickInput<'_>, actions: &mut Vec<Action>) {
        for demand in self.demand.waiting_targets() {
            if let Some(missing) = self.next_missing_target(input, &demand) {
                self.plan_load(input, &missing, &demand, actions);
            }
        }
    }

    /// Returns the target to load next for `demand`: its model, its adapter or another replica.
    fn next_missing_target(
        &mut self,
        input: &TickInput<'_>,
        demand: &TargetDemand,
    ) -> Option<Target> {
        let config = input.config;
        let model = config.models.get(&demand.target.model)?;
        if let Some(adapter) = &demand.target.adapter {
            config.adapters.get(adapter)?;
        }
        if self.no_capacity_until_ms.contains(&demand.target) {
            return None;
        }
        let base = Target { model: demand.target.model.clone(), adapter: None };
        let replicas = self.usable_workers().filter(|w| w.has_or_plans(&base)).count() as u64;
        if replicas == 0 {
            return Some(base);
        }
        let has_adapter = self.usable_workers().any(|w| w.has_or_plans(&demand.target));
        if !has_adapter {
            let on_resident = self.usable_workers().any(|w| w.is_resident(&base));
            return on_resident.then(|| demand.target.clone());
        }
        let scale_out_after_ms = model.load_ms + SCALE_OUT_DELAY_MS;
        let last_decided_ms = self.last_load_decided_ms.get(&demand.target.model).copied();
        let may_scale_out =
            last_decided_ms.is_none_or(|at| input.now_ms >= at + scale_out_after_ms);
        (!demand.cold && may_scale_out && replicas < model.replicas_max).then_some(base)
    }

    fn plan_load(
        &mut self,
        input: &TickInput<'_>,
        target: &Target,
        demand: &TargetDemand,
        actions: &mut Vec<Action>,
    ) {
        let config = input.config;
        let waiting = u64::from(self.store_usage().loads_waiting);
        if target.adapter.is_none() && waiting >= config.venture.store_slots {
            return;
        }
        let Some((size_mb, count)) = size_of(config, target) else { return };
        let Some((id, placement)) = self.best_placement(input, target, size_mb, count) else {
            self.no_capacity_until_ms
                .insert(demand.target.clone(), input.now_ms + NO_CAPACITY_RETRY_MS);
            return;
        };
        self.sequence += 1;
        let sequence = self.sequence;
        self.totals.loads_decided += 1;
        self.totals.evictions += placement.victims.len() as u64;
        self.last_load_decided_ms.insert(target.model.clone(), input.now_ms);
        self.pending_unloads
            .extend(placement.victims.into_iter().map(|victim| (id.clone(), victim)));
        actions.push(Action::Append(Record::Load(LoadDecision {
            epoch: self.held_epoch.epoch,
            sequence,
            worker: id.clone(),
            target: target.clone(),
            size_mb,
            accelerators: placement.accelerators.clone(),
        })));
        let stage = if self.checks_fencing { Stage::Logged } else { Stage::Planned };
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.reservations.push(Reservation {
                sequence,
                target: target.clone(),
                size_mb,
                accelerators: placement.accelerators,
                stage,
                decided_ms: input.now_ms,
                deadline_ms: demand.deadline_ms,
            });
        }
    }

    /// Returns the worker on which loading `target` costs least, and the placement there.
    fn best_placement(
        &self,
        input: &TickInput<'_>,
        target: &Target,
        size_mb: u64,
        count: usize,
    ) -> Option<(String, Placement)> {
        let base = Target { model: target.model.clone(), adapter: None };
        let candidates = self
            .usable_workers()
            .filter(|w| w.fenced_epoch == self.held_epoch.epoch && w.failures == 0);
        let placements = candidates.filter(|w| !w.has_or_plans(target)).filter_map(|worker| {
            let placement = match &target.adapter {
                None => {
                    let unloading = self.pending_unloads_of(&worker.id);
                    let (config, demand) = (input.config, &self.demand);
                    eviction::find_placement(
                        config,
                        worker,
                        demand,
                        &unloading,
                        size_mb,
                        count,
                        input.now_ms,
                    )?
                }
                Some(_) => adapter_placement(worker, &base, size_mb)?,
            };
            let from_store = !worker.has_checkpoint(&target.model);
            let occupied = worker.state.held.len() + worker.reservations.len();
            Some(((from_store, placement.cost, occupied), worker.id.clone(), placement))
        });
        placements.min_by(|a, b| a.0.cmp(&b.0)).map(|(_, id, placement)| (id, placement))
    }

    /// Returns the replicas of the worker `id` whose unload is pending.
    fn pending_unloads_of(&self, id: &str) -> Vec<Target> {
        let pending = self.pending_unloads.iter().filter(|(worker_id, _)| worker_id == id);
        pending.map(|(_, target)| target.clone()).collect()
    }

    /// Cancels decisions that were not ordered because their memory did not become free in time.
    ///
    /// The replicas to unload for them may be in use again. For callers that still wait, a
    /// load is planned again.
    pub(super) fn cancel_blocked(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let epoch = self.held_epoch.epoch;
        for (_, worker) in self.workers.iter_mut() {
            let is_blocked = |r: &Reservation| {
                matches!(r.stage, Stage::Planned | Stage::Logged)
                    && now_ms >= r.decided_ms + BLOCKED_TIMEOUT_MS
                    && !worker.is_unloading()
                    && !worker.fits_now(r)
            };
            let blocked: Vec<u64> =
                worker.reservations.iter().filter(|r| is_blocked(r)).map(|r| r.sequence).collect();
            worker.reservations.retain(|r| !blocked.contains(&r.sequence));
            let settled = blocked.into_iter().map(|sequence| Record::Settled { epoch, sequence });
            actions.extend(settled.map(Action::Append));
        }
    }

    /// Plans unloads of replicas that have been idle for longer than their keep-alive time.
    pub(super) fn plan_idle_unloads(&mut self, input: &TickInput<'_>) {
        let config = input.config;
        let mut due = Vec::new();
        for worker in self.workers.values() {
            for held in worker.state.held.iter().filter(|h| h.phase == Phase::Resident) {
                let target = Target { model: held.model.clone(), adapter: held.adapter.clone() };
                let key = (worker.id.clone(), target);
                if self.is_keep_alive_over(config, worker, &key.1, input.now_ms)
                    && !self.pending_unloads.contains(&key)
                {
                    due.push(key);
                }
            }
        }
        self.totals.idle_unloads += due.len() as u64;
        self.pending_unloads.extend(due);
    }

    fn is_keep_alive_over(
        &self,
        config: &Config,
        worker: &Worker,
        target: &Target,
        now_ms: u64,
    ) -> bool {
        if worker.fenced_epoch != self.held_epoch.epoch || self.demand.is_busy(target) {
            return false;
        }
        if worker.reservations.iter().any(|r| r.target.model == target.model) {
            return false;
        }
        let model = config.models.get(&target.model);
        let cost = KeepAliveCost {
            load_ms: model.map_or(0, |m| worker.load_ms(&target.model, m)),
            accelerators: model.map_or(1, |m| m.accelerators),
            cold_start_weight_pct: config.venture.cold_start_weight_pct,
            max_s: config.venture.keep_alive_max_s,
        };
        let (own, pooled) = self.demand.idle_times(target);
        self.demand.idle_ms(target, now_ms) > own.keep_alive_ms(pooled, cost)
    }
}

/// Returns the size of `target` in MB and the number of its accelerators.
fn size_of(config: &Config, target: &Target) -> Option<(u64, usize)> {
    let model = config.models.get(&target.model)?;
    match &target.adapter {
        None => Some((model.size_mb, model.accelerators as usize)),
        Some(adapter) => Some((config.adapters.get(adapter)?.size_mb, model.accelerators as usize)),
    }
}

/// Returns a placement for an adapter on the accelerators of its base model, if that is resident
/// on `worker`.
fn adapter_placement(worker: &Worker, base: &Target, size_mb: u64) -> Option<Placement> {
    let held = worker.held(base).filter(|held| held.phase == Phase::Resident)?;
    let required_mb = share_mb(size_mb, held.accelerators.len());
    let fits = held.accelerators.iter().all(|&a| worker.free_mb(a) >= required_mb);
    let placement =
        Placement { accelerators: held.accelerators.clone(), victims: Vec::new(), cost: 0 };
    fits.then_some(placement)
}
