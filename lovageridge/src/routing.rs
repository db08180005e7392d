//! The routing slice: chooses the replica for each request.
//!
//! A router knows its own requests in progress and the delayed reports of the leads. It chooses the
//! less loaded of two random candidates, so that many routers with the same stale report do not all
//! choose the same replica.

pub mod peer_load;
pub mod plain;

use std::net::SocketAddr;

use rand::Rng;

use crate::document::Target;
use crate::infra::list::ListedInstance;
use crate::routing::peer_load::PeerLoad;
use crate::sorted::Table;
use crate::wire::WorkerView;

/// Consecutive failed requests after which a worker is avoided.
const AVOID_AFTER_FAILURES: u32 = 2;
/// Time for which an avoided worker gets no new requests, in ms.
const AVOID_MS: u64 = 1000;

/// A worker as this router sees it.
#[derive(Clone, Debug)]
struct RoutedWorker {
    view: WorkerView,
    peer_load: PeerLoad,
    own_load: u32,
    own_interactive_load: u32,
    /// Failed requests since the last one that did not fail.
    consecutive_failures: u32,
    avoid_until_ms: u64,
    listed: bool,
    listed_leaving: bool,
}

impl RoutedWorker {
    fn load(&self) -> u32 {
        self.peer_load.last() + self.own_load
    }

    /// Returns whether this instance may send another request.
    ///
    /// Each instance is guaranteed an equal share of the slots; beyond that it uses slots that its
    /// peers recently left free. Without the guarantee, a flood of requests at one instance would
    /// block the callers of all instances.
    ///
    /// Requests of other priorities leave the slots free that interactive ones recently needed.
    fn has_free_slot(&self, instances: u32, interactive: bool, now_ms: u64) -> bool {
        let peer_load = self.peer_load.recent_peak(now_ms);
        if interactive {
            let guaranteed = (self.view.slots / instances).max(1);
            return self.own_load < guaranteed || peer_load + self.own_load < self.view.slots;
        }
        let slots = self.view.slots.saturating_sub(self.view.reserved).max(1);
        let guaranteed = (slots / instances).max(1);
        let own = self.own_load - self.own_interactive_load;
        own < guaranteed || peer_load + own < slots
    }

    fn accepts_requests(&self, now_ms: u64) -> bool {
        self.is_in_service() && now_ms >= self.avoid_until_ms
    }

    fn is_in_service(&self) -> bool {
        self.listed && !self.listed_leaving && !self.view.leaving
    }

    fn has_resident(&self, target: &Target) -> bool {
        let found = self.view.resident.binary_search_by(|r| r.model.as_str().cmp(&target.model));
        let Ok(position) = found else { return false };
        match &target.adapter {
            None => true,
            Some(adapter) => self.view.resident[position].adapters.binary_search(adapter).is_ok(),
        }
    }
}

/// An upstream that a request was routed to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Name of the upstream.
    pub upstream: String,
    /// Address of its HTTP port.
    pub addr: SocketAddr,
}

/// Availability of the replicas of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// No worker that accepts requests holds the target.
    Cold,
    /// All workers that hold it are full.
    Full,
    /// At least one replica has a free slot.
    Free,
}

/// Workers known to a router, with their load and residency.
#[derive(Clone, Debug, Default)]
pub struct RoutedWorkers {
    own_domain: String,
    /// Number of instances that share the slots of the workers.
    instances: u32,
    workers: Table<String, RoutedWorker>,
}

impl RoutedWorkers {
    /// Returns an empty table for an instance in `own_domain`.
    pub fn new(own_domain: impl Into<String>) -> Self {
        Self { own_domain: own_domain.into(), instances: 1, workers: Table::new() }
    }

    /// Sets the number of instances that share the slots of the workers.
    pub fn on_instances(&mut self, instances: u64) {
        self.instances = (instances as u32).max(1);
    }

    /// Applies a lead's report unless a newer one is known.
    pub fn on_view(&mut self, view: WorkerView, now_ms: u64) {
        let Some(known) = self.workers.get_mut(&view.worker) else {
            let worker = RoutedWorker {
                peer_load: PeerLoad::new(view.load, now_ms),
                own_load: 0,
                own_interactive_load: 0,
                consecutive_failures: 0,
                avoid_until_ms: 0,
                listed: true,
                listed_leaving: false,
                view,
            };
            self.workers.insert(worker.view.worker.clone(), worker);
            return;
        };
        if (view.epoch, view.sequence) <= (known.view.epoch, known.view.sequence) {
            return;
        }
        known.peer_load.on_report(view.load.saturating_sub(known.own_load), now_ms);
        known.view = view;
    }

    /// Applies the list: an upstream that is leaving or no longer listed gets no new requests.
    pub fn on_list(&mut self, listed: &[ListedInstance]) {
        for (id, worker) in self.workers.iter_mut() {
            let entry = listed.iter().find(|l| l.id == *id);
            worker.listed = entry.is_some();
            worker.listed_leaving = entry.is_some_and(|l| l.leaving);
        }
        self.workers.retain(|_, worker| worker.listed || worker.own_load > 0);
    }

    /// Returns whether any worker holds `target`, and whether one of them has a free slot.
    pub fn availability(&self, target: &Target, interactive: bool, now_ms: u64) -> Availability {
        let mut availability = Availability::Cold;
        for worker in self.workers.values() {
            if !worker.accepts_requests(now_ms) || !worker.has_resident(target) {
                continue;
            }
            if worker.has_free_slot(self.instances, interactive, now_ms) {
                return Availability::Free;
            }
            availability = Availability::Full;
        }
        availability
    }

    /// Returns the number of slots on replicas of `target` that are guaranteed to this instance.
    ///
    /// Includes replicas that are temporarily avoided, since they soon accept requests again.
    pub fn guaranteed_slots(&self, target: &Target) -> u64 {
        let holding = self.workers.values().filter(|r| r.is_in_service() && r.has_resident(target));
        holding.map(|r| u64::from((r.view.slots / self.instances).max(1))).sum()
    }

    /// Chooses a replica of `target` with a free slot, same-domain ones first, and counts the
    /// request there.
    pub fn choose(
        &mut self,
        target: &Target,
        interactive: bool,
        exclude: &[String],
        rng: &mut impl Rng,
        now_ms: u64,
    ) -> Option<Choice> {
        let instances = self.instances;
        let fits = |r: &RoutedWorker| {
            r.accepts_requests(now_ms)
                && r.has_resident(target)
                && r.has_free_slot(instances, interactive, now_ms)
                && !exclude.contains(&r.view.worker)
        };
        self.pick(fits, interactive, rng)
    }

    fn pick(
        &mut self,
        fits: impl Fn(&RoutedWorker) -> bool,
        interactive: bool,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let all: Vec<&RoutedWorker> = self.workers.values().filter(|r| fits(r)).collect();
        let same_domain: Vec<&RoutedWorker> =
            all.iter().copied().filter(|r| r.view.domain == self.own_domain).collect();
        let candidates = if same_domain.is_empty() { all } else { same_domain };
        let id = less_loaded(&candidates, rng)?.view.worker.clone();
        let worker = self.workers.get_mut(&id)?;
        worker.own_load += 1;
        worker.own_interactive_load += u32::from(interactive);
        Some(Choice { addr: worker.view.addr, upstream: id })
    }

    /// Records the end of a request at `upstream`, which is avoided for a while after repeated
    /// failures.
    pub fn on_done(&mut self, upstream: &str, interactive: bool, failed: bool, now_ms: u64) {
        if let Some(worker) = self.workers.get_mut(upstream) {
            worker.own_load = worker.own_load.saturating_sub(1);
            let ended_interactive = u32::from(interactive);
            worker.own_interactive_load =
                worker.own_interactive_load.saturating_sub(ended_interactive);
            worker.consecutive_failures = if failed { worker.consecutive_failures + 1 } else { 0 };
            if worker.consecutive_failures >= AVOID_AFTER_FAILURES {
                worker.avoid_until_ms = now_ms + AVOID_MS;
            }
        }
    }

    /// Marks `target` as not resident at `upstream` until the next report.
    pub fn on_not_resident(&mut self, upstream: &str, target: &Target) {
        if let Some(worker) = self.workers.get_mut(upstream) {
            match &target.adapter {
                None => worker.view.resident.retain(|r| r.model != target.model),
                Some(adapter) => {
                    let models = worker.view.resident.iter_mut();
                    models.for_each(|r| r.adapters.retain(|a| a != adapter));
                }
            }
        }
    }

    /// Marks `upstream` as leaving until the next report.
    pub fn on_leaving(&mut self, upstream: &str) {
        if let Some(worker) = self.workers.get_mut(upstream) {
            worker.view.leaving = true;
        }
    }

    /// Returns the last report of each worker, for status.
    pub fn views(&self) -> impl Iterator<Item = &WorkerView> {
        self.workers.values().map(|r| &r.view)
    }
}

/// Returns the less loaded of two random candidates.
fn less_loaded<'a>(
    candidates: &[&'a RoutedWorker],
    rng: &mut impl Rng,
) -> Option<&'a RoutedWorker> {
    if candidates.len() < 2 {
        return candidates.first().copied();
    }
    let first = rng.random_range(0..candidates.len());
    let second = (first + rng.random_range(1..candidates.len())) % candidates.len();
    let (a, b) = (candidates[first], candidates[second]);
    Some(if b.load() < a.load() { b } else { a })
}
