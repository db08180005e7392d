//! Plans of a lead: what has to be loaded, where there is room, what has idled for long enough.

use crate::document::Config;
use crate::document::Target;
use crate::placement::core::Action;
use crate::placement::core::Core;
use crate::placement::core::Surroundings;
use crate::placement::demand::Wanted;
use crate::placement::evict;
use crate::placement::evict::Room;
use crate::placement::keep::KeepCost;
use crate::placement::ledger::Reservation;
use crate::placement::ledger::Stage;
use crate::placement::ledger::Worker;
use crate::placement::ledger::share_mb;
use crate::placement::record::LoadDecision;
use crate::placement::record::Record;
use crate::upstream::engine::Phase;

/// Time for which a target without room is not planned again, in ms.
const NO_ROOM_MS: u64 = 300;
/// Time for which a decision waits for memory that does not become free, in ms.
const BLOCKED_MAX_MS: u64 = 5000;
/// Time after a load before another replica of the same model is decided for load, in ms.
const SCALE_OUT_PAUSE_MS: u64 = 1000;

impl Core {
    pub(super) fn plan(&mut self, around: &Surroundings<'_>, actions: &mut Vec<Action>) {
        for wanted in self.demand.wanted() {
            if let Some(missing) = self.missing(around, &wanted) {
                self.plan_load(around, &missing, &wanted, actions);
            }
        }
    }

    /// Returns what has to be loaded next for `wanted`: its model, its adapter, or another replica.
    fn missing(&mut self, around: &Surroundings<'_>, wanted: &Wanted) -> Option<Target> {
        let config = around.config;
        let model = config.models.get(&wanted.target.model)?;
        if let Some(adapter) = &wanted.target.adapter {
            config.adapters.get(adapter)?;
        }
        if self.no_room.contains(&wanted.target) {
            return None;
        }
        let base = Target { model: wanted.target.model.clone(), adapter: None };
        let replicas = self.usable().filter(|w| w.counts(&base)).count() as u64;
        if replicas == 0 {
            return Some(base);
        }
        let has_adapter = self.usable().any(|w| w.counts(&wanted.target));
        if !has_adapter {
            let on_resident = self.usable().any(|w| w.is_resident(&base));
            return on_resident.then(|| wanted.target.clone());
        }
        let quiet_ms = model.load_ms + SCALE_OUT_PAUSE_MS;
        let scaled_ms = self.scaled.get(&wanted.target.model).copied();
        let ripe = scaled_ms.is_none_or(|at| around.now_ms >= at + quiet_ms);
        (!wanted.cold && ripe && replicas < model.replicas_max).then_some(base)
    }

    fn plan_load(
        &mut self,
        around: &Surroundings<'_>,
        target: &Target,
        wanted: &Wanted,
        actions: &mut Vec<Action>,
    ) {
        let config = around.config;
        let waiting = u64::from(self.store_use().loads_waiting);
        if target.adapter.is_none() && waiting >= config.venture.store_slots {
            return;
        }
        let Some((size_mb, count)) = size_of(config, target) else { return };
        let Some((id, room)) = self.best_room(around, target, size_mb, count) else {
            self.no_room.insert(wanted.target.clone(), around.now_ms + NO_ROOM_MS);
            return;
        };
        self.sequence += 1;
        let sequence = self.sequence;
        self.totals.loads_decided += 1;
        self.totals.evictions += room.victims.len() as u64;
        self.scaled.insert(target.model.clone(), around.now_ms);
        self.unload.extend(room.victims.into_iter().map(|victim| (id.clone(), victim)));
        actions.push(Action::Append(Record::Load(LoadDecision {
            epoch: self.held.epoch,
            sequence,
            worker: id.clone(),
            target: target.clone(),
            size_mb,
            accelerators: room.accelerators.clone(),
        })));
        let stage = if self.checks_fencing { Stage::Logged } else { Stage::Planned };
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.reservations.push(Reservation {
                sequence,
                target: target.clone(),
                size_mb,
                accelerators: room.accelerators,
                stage,
                made_ms: around.now_ms,
                deadline_ms: wanted.deadline_ms,
            });
        }
    }

    /// Returns the worker on which `target` costs least, and the room there.
    fn best_room(
        &self,
        around: &Surroundings<'_>,
        target: &Target,
        size_mb: u64,
        count: usize,
    ) -> Option<(String, Room)> {
        let base = Target { model: target.model.clone(), adapter: None };
        let ready = self.usable().filter(|w| w.ready_epoch == self.held.epoch && w.failures == 0);
        let rooms = ready.filter(|w| !w.counts(target)).filter_map(|worker| {
            let room = match &target.adapter {
                None => {
                    let leaving = self.leaving(&worker.id);
                    let (config, demand) = (around.config, &self.demand);
                    evict::find_room(
                        config,
                        worker,
                        demand,
                        &leaving,
                        size_mb,
                        count,
                        around.now_ms,
                    )?
                }
                Some(_) => adapter_room(worker, &base, size_mb)?,
            };
            let remote = !worker.has_checkpoint(&target.model);
            let occupied = worker.state.held.len() + worker.reservations.len();
            Some(((remote, room.cost, occupied), worker.id.clone(), room))
        });
        rooms.min_by(|a, b| a.0.cmp(&b.0)).map(|(_, id, room)| (id, room))
    }

    /// Returns the replicas of the worker `id` that are to be unloaded.
    fn leaving(&self, id: &str) -> Vec<Target> {
        let pending = self.unload.iter().filter(|(worker_id, _)| worker_id == id);
        pending.map(|(_, target)| target.clone()).collect()
    }

    /// Withdraws decisions that were not ordered and whose memory does not become free.
    ///
    /// Their replicas to unload may be in use again; the callers that still wait are planned anew.
    pub(super) fn withdraw_blocked(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let epoch = self.held.epoch;
        for (_, worker) in self.workers.iter_mut() {
            let is_blocked = |r: &Reservation| {
                matches!(r.stage, Stage::Planned | Stage::Logged)
                    && now_ms >= r.made_ms + BLOCKED_MAX_MS
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

    pub(super) fn plan_idle_unloads(&mut self, around: &Surroundings<'_>) {
        let config = around.config;
        let mut due = Vec::new();
        for worker in self.workers.values() {
            for held in worker.state.held.iter().filter(|h| h.phase == Phase::Resident) {
                let target = Target { model: held.model.clone(), adapter: held.adapter.clone() };
                let key = (worker.id.clone(), target);
                if self.is_idle_past_keep(config, worker, &key.1, around.now_ms)
                    && !self.unload.contains(&key)
                {
                    due.push(key);
                }
            }
        }
        self.totals.idle_unloads += due.len() as u64;
        self.unload.extend(due);
    }

    fn is_idle_past_keep(
        &self,
        config: &Config,
        worker: &Worker,
        target: &Target,
        now_ms: u64,
    ) -> bool {
        if worker.ready_epoch != self.held.epoch || self.demand.is_busy(target) {
            return false;
        }
        if worker.reservations.iter().any(|r| r.target.model == target.model) {
            return false;
        }
        let model = config.models.get(&target.model);
        let cost = KeepCost {
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

/// Returns room for an adapter where its model is resident, on the model's own accelerators.
fn adapter_room(worker: &Worker, base: &Target, size_mb: u64) -> Option<Room> {
    let held = worker.held(base).filter(|held| held.phase == Phase::Resident)?;
    let need_mb = share_mb(size_mb, held.accelerators.len());
    let fits = held.accelerators.iter().all(|&a| worker.free_mb(a) >= need_mb);
    let room = Room { accelerators: held.accelerators.clone(), victims: Vec::new(), cost: 0 };
    fits.then_some(room)
}
