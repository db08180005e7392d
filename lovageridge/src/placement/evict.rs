//! Finds room for a load on a worker, and what has to leave for it.

use crate::document::Config;
use crate::document::Target;
use crate::placement::demand::Demand;
use crate::placement::ledger::Worker;
use crate::placement::ledger::share_mb;
use crate::upstream::engine::Phase;

/// Idle time below which nothing is evicted, in ms.
const EVICT_MIN_IDLE_MS: u64 = 1000;
/// Unit of the retention value.
const VALUE_SCALE: u64 = 1_000_000;

/// Room for a load on one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Room {
    /// Accelerators that take the weights.
    pub accelerators: Vec<u32>,
    /// What has to leave first.
    pub victims: Vec<Target>,
    /// Sum of the retention values of the victims.
    pub cost: u64,
}

/// A replica that may leave.
struct Candidate {
    target: Target,
    value: u64,
    share_mb: u64,
    accelerators: Vec<u32>,
}

/// Returns room for `size_mb` on `count` accelerators of `worker`, or `None`.
///
/// Victims are taken in ascending order of retention value until the load fits; none of them has
/// requests in progress or callers waiting. Memory of the replicas in `leaving`, which are to be
/// unloaded already, counts as free for the reservations it was promised to, and for no other.
pub fn find_room(
    config: &Config,
    worker: &Worker,
    demand: &Demand,
    leaving: &[Target],
    size_mb: u64,
    count: usize,
    now_ms: u64,
) -> Option<Room> {
    let need_mb = share_mb(size_mb, count) as i64;
    let accelerators = 0..worker.state.accelerators_mb.len() as u32;
    let balance_mb: Vec<i64> = accelerators.map(|a| worker.balance_mb(a, leaving)).collect();
    let mut free_mb = balance_mb.clone();
    let mut room = Room { accelerators: Vec::new(), victims: Vec::new(), cost: 0 };
    let mut candidates = candidates(config, worker, demand, now_ms);
    candidates.retain(|candidate| !leaving.contains(&candidate.target));
    let mut candidates = candidates.into_iter();
    loop {
        if let Some(accelerators) = fitting(&free_mb, need_mb, count) {
            room.accelerators = accelerators;
            return Some(drop_needless(room, worker, &balance_mb, need_mb));
        }
        let candidate = candidates.next()?;
        for &accelerator in &candidate.accelerators {
            if let Some(free) = free_mb.get_mut(accelerator as usize) {
                *free += candidate.share_mb as i64;
            }
        }
        room.cost += candidate.value;
        room.victims.push(candidate.target);
    }
}

/// Returns the `count` accelerators that fit `need_mb` most tightly.
fn fitting(free_mb: &[i64], need_mb: i64, count: usize) -> Option<Vec<u32>> {
    let mut fit: Vec<(i64, u32)> = free_mb
        .iter()
        .enumerate()
        .filter(|(_, free)| **free >= need_mb)
        .map(|(at, free)| (*free, at as u32))
        .collect();
    fit.sort_unstable();
    fit.truncate(count);
    let mut accelerators: Vec<u32> = fit.into_iter().map(|(_, at)| at).collect();
    accelerators.sort_unstable();
    (accelerators.len() == count).then_some(accelerators)
}

/// Leaves out victims that take no memory on the chosen accelerators.
fn drop_needless(mut room: Room, worker: &Worker, balance_mb: &[i64], need_mb: i64) -> Room {
    let is_roomy = |accelerator: &u32| balance_mb[*accelerator as usize] >= need_mb;
    if room.accelerators.iter().all(is_roomy) {
        room.victims.clear();
        room.cost = 0;
        return room;
    }
    let chosen = room.accelerators.clone();
    room.victims.retain(|victim| {
        let held = worker.held(victim);
        held.is_some_and(|held| held.accelerators.iter().any(|a| chosen.contains(a)))
    });
    room
}

fn candidates(config: &Config, worker: &Worker, demand: &Demand, now_ms: u64) -> Vec<Candidate> {
    let mut found: Vec<Candidate> = worker
        .state
        .held
        .iter()
        .filter(|held| held.phase == Phase::Resident)
        .map(|held| {
            let target = Target { model: held.model.clone(), adapter: held.adapter.clone() };
            Candidate {
                value: retention_value(config, worker, demand, &target, now_ms),
                share_mb: share_mb(held.size_mb, held.accelerators.len()),
                accelerators: held.accelerators.clone(),
                target,
            }
        })
        .filter(|c| demand.idle_ms(&c.target, now_ms) >= EVICT_MIN_IDLE_MS)
        .filter(|c| !demand.is_busy(&c.target) && !carries_load(worker, &c.target))
        .collect();
    found.sort_by_key(|c| c.value);
    found
}

/// Tells whether a load onto `target` is on its way, as of an adapter onto its model.
fn carries_load(worker: &Worker, target: &Target) -> bool {
    worker.reservations.iter().any(|r| r.target.model == target.model)
}

/// Returns the expected cost of a cold start against the time since the last use.
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
