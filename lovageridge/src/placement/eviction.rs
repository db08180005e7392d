//! Finds memory for a load on a worker, and the replicas to evict for it.

use crate::document::Config;
use crate::document::Target;
use crate::placement::demand::Demand;
use crate::placement::ledger::Worker;
use crate::placement::ledger::share_mb;
use crate::upstream::engine::Phase;

/// Replicas that have been idle for less than this time are not evicted, in ms.
const EVICT_MIN_IDLE_MS: u64 = 1000;
/// Fixed-point scale of the retention value.
const VALUE_SCALE: u64 = 1_000_000;

/// Memory for a load on one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Accelerators that will hold the weights.
    pub accelerators: Vec<u32>,
    /// Replicas to unload first.
    pub victims: Vec<Target>,
    /// Sum of the retention values of the victims.
    pub cost: u64,
}

/// A replica that may be evicted.
struct EvictionCandidate {
    target: Target,
    retention_value: u64,
    share_mb: u64,
    accelerators: Vec<u32>,
}

/// Returns a placement of `size_mb` on `count` accelerators of `worker`, or `None` if it does not
/// fit even with evictions.
///
/// Victims are added in ascending order of retention value until the load fits; none of them has
/// requests in progress or waiting callers. `unloading` lists the replicas whose unload is already
/// pending: their memory counts as free, but less all reservations, so it is not reserved twice.
pub fn find_placement(
    config: &Config,
    worker: &Worker,
    demand: &Demand,
    unloading: &[Target],
    size_mb: u64,
    count: usize,
    now_ms: u64,
) -> Option<Placement> {
    let required_mb = share_mb(size_mb, count) as i64;
    let accelerators = 0..worker.state.accelerators_mb.len() as u32;
    let projected_free_mb: Vec<i64> =
        accelerators.map(|a| worker.projected_free_mb(a, unloading)).collect();
    let mut free_mb = projected_free_mb.clone();
    let mut placement = Placement { accelerators: Vec::new(), victims: Vec::new(), cost: 0 };
    let mut candidates = eviction_candidates(config, worker, demand, now_ms);
    candidates.retain(|candidate| !unloading.contains(&candidate.target));
    let mut candidates = candidates.into_iter();
    loop {
        if let Some(accelerators) = best_fit(&free_mb, required_mb, count) {
            placement.accelerators = accelerators;
            return Some(drop_unneeded_victims(placement, worker, &projected_free_mb, required_mb));
        }
        let candidate = candidates.next()?;
        for &accelerator in &candidate.accelerators {
            if let Some(free) = free_mb.get_mut(accelerator as usize) {
                *free += candidate.share_mb as i64;
            }
        }
        placement.cost += candidate.retention_value;
        placement.victims.push(candidate.target);
    }
}

/// Returns the `count` accelerators with the least free memory that still fit `required_mb`.
fn best_fit(free_mb: &[i64], required_mb: i64, count: usize) -> Option<Vec<u32>> {
    let mut fit: Vec<(i64, u32)> = free_mb
        .iter()
        .enumerate()
        .filter(|(_, free)| **free >= required_mb)
        .map(|(at, free)| (*free, at as u32))
        .collect();
    fit.sort_unstable();
    fit.truncate(count);
    let mut accelerators: Vec<u32> = fit.into_iter().map(|(_, at)| at).collect();
    accelerators.sort_unstable();
    (accelerators.len() == count).then_some(accelerators)
}

/// Removes victims that hold no memory on the chosen accelerators, or all of them if the load fits
/// without evictions.
fn drop_unneeded_victims(
    mut placement: Placement,
    worker: &Worker,
    projected_free_mb: &[i64],
    required_mb: i64,
) -> Placement {
    let has_space = |accelerator: &u32| projected_free_mb[*accelerator as usize] >= required_mb;
    if placement.accelerators.iter().all(has_space) {
        placement.victims.clear();
        placement.cost = 0;
        return placement;
    }
    let chosen = placement.accelerators.clone();
    placement.victims.retain(|victim| {
        let held = worker.held(victim);
        held.is_some_and(|held| held.accelerators.iter().any(|a| chosen.contains(a)))
    });
    placement
}

fn eviction_candidates(
    config: &Config,
    worker: &Worker,
    demand: &Demand,
    now_ms: u64,
) -> Vec<EvictionCandidate> {
    let mut found: Vec<EvictionCandidate> = worker
        .state
        .held
        .iter()
        .filter(|held| held.phase == Phase::Resident)
        .map(|held| {
            let target = Target { model: held.model.clone(), adapter: held.adapter.clone() };
            EvictionCandidate {
                retention_value: retention_value(config, worker, demand, &target, now_ms),
                share_mb: share_mb(held.size_mb, held.accelerators.len()),
                accelerators: held.accelerators.clone(),
                target,
            }
        })
        .filter(|c| demand.idle_ms(&c.target, now_ms) >= EVICT_MIN_IDLE_MS)
        .filter(|c| !demand.is_busy(&c.target) && !has_pending_load(worker, &c.target))
        .collect();
    found.sort_by_key(|c| c.retention_value);
    found
}

/// Returns whether a load of the same model is pending, such as that of an adapter of `target`.
fn has_pending_load(worker: &Worker, target: &Target) -> bool {
    worker.reservations.iter().any(|r| r.target.model == target.model)
}

/// Returns the cost of a cold start of `target`, divided by the time since its last use.
fn retention_value(
    config: &Config,
    worker: &Worker,
    demand: &Demand,
    target: &Target,
    now_ms: u64,
) -> u64 {
    let model = config.models.get(&target.model);
    let load_ms = model.map_or(1, |model| worker.load_ms(&target.model, model));
    let load_ms = if target.adapter.is_some() { 1 } else { load_ms };
    let idle_ms = demand.idle_ms(target, now_ms);
    load_ms * VALUE_SCALE / (idle_ms + EVICT_MIN_IDLE_MS)
}
