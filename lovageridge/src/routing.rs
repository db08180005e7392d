//! The routing slice: which replica gets a request.
//!
//! A router knows its own requests in progress and the lagging reports of the leads. Of two random
//! candidates it takes the less loaded one, so that many routers with the same stale report do not
//! all run to the same replica.

pub mod peer_load;
pub mod plain;

use std::net::SocketAddr;

use rand::Rng;

use crate::document::Target;
use crate::infra::list::ListedInstance;
use crate::routing::peer_load::PeerLoad;
use crate::sorted::Table;
use crate::wire::WorkerView;

/// Breaks without a whole answer in between after which a worker is avoided.
const AVOID_AFTER_FAILURES: u32 = 2;
/// Time for which a worker that broke a connection gets no new work, in ms.
const AVOID_MS: u64 = 1000;

/// A worker as a router sees it.
#[derive(Clone, Debug)]
struct RoutedWorker {
    view: WorkerView,
    peer_load: PeerLoad,
    own_load: u32,
    own_interactive_load: u32,
    /// Requests that broke off since the last whole answer.
    consecutive_failures: u32,
    avoid_until_ms: u64,
    listed: bool,
    listed_leaving: bool,
}

impl RoutedWorker {
    fn load(&self) -> u32 {
        self.peer_load.last() + self.own_load
    }

    /// Tells whether this instance may send another request.
    ///
    /// Each instance has a part of the slots for certain; beyond that it takes what the others
    /// lately left free. Without the part, a flood at one instance would shut out the callers of all.
    ///
    /// Requests that are not interactive leave free what interactive ones lately needed.
    fn has_free_slot(&self, instances: u32, interactive: bool, now_ms: u64) -> bool {
        let others = self.peer_load.recent_peak(now_ms);
        if interactive {
            let certain = (self.view.slots / instances).max(1);
            return self.own_load < certain || others + self.own_load < self.view.slots;
        }
        let slots = self.view.slots.saturating_sub(self.view.reserved).max(1);
        let certain = (slots / instances).max(1);
        let own = self.own_load - self.own_interactive_load;
        own < certain || others + own < slots
    }

    fn accepts_requests(&self, now_ms: u64) -> bool {
        self.is_in_service() && now_ms >= self.avoid_until_ms
    }

    fn is_in_service(&self) -> bool {
        self.listed && !self.listed_leaving && !self.view.leaving
    }

    fn has_resident(&self, target: &Target) -> bool {
        let found = self.view.resident.binary_search_by(|r| r.model.as_str().cmp(&target.model));
        let Ok(at) = found else { return false };
        match &target.adapter {
            None => true,
            Some(adapter) => self.view.resident[at].adapters.binary_search(adapter).is_ok(),
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

/// State of the replicas of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// No worker that takes work holds the target.
    Cold,
    /// All that hold it are full.
    Full,
    /// Some replica takes work.
    Free,
}

/// What a router knows of the workers.
#[derive(Clone, Debug, Default)]
pub struct RoutedWorkers {
    own_domain: String,
    /// Instances that share the slots of the workers.
    instances: u32,
    workers: Table<String, RoutedWorker>,
}

impl RoutedWorkers {
    /// Returns an empty view of an instance in `own_domain`.
    pub fn new(own_domain: impl Into<String>) -> Self {
        Self { own_domain: own_domain.into(), instances: 1, workers: Table::new() }
    }

    /// Takes over the number of instances that share the slots of the workers.
    pub fn on_instances(&mut self, instances: u64) {
        self.instances = (instances as u32).max(1);
    }

    /// Takes over a lead's report unless a newer one is known.
    pub fn on_view(&mut self, view: WorkerView, now_ms: u64) {
        let Some(known) = self.workers.get_mut(&view.worker) else {
            let replica = RoutedWorker {
                peer_load: PeerLoad::new(view.load, now_ms),
                own_load: 0,
                own_interactive_load: 0,
                consecutive_failures: 0,
                avoid_until_ms: 0,
                listed: true,
                listed_leaving: false,
                view,
            };
            self.workers.insert(replica.view.worker.clone(), replica);
            return;
        };
        if (view.epoch, view.sequence) <= (known.view.epoch, known.view.sequence) {
            return;
        }
        known.peer_load.on_report(view.load.saturating_sub(known.own_load), now_ms);
        known.view = view;
    }

    /// Takes over the list: an upstream that is leaving or no longer listed gets no new work.
    pub fn on_list(&mut self, listed: &[ListedInstance]) {
        for (id, replica) in self.workers.iter_mut() {
            let entry = listed.iter().find(|l| l.id == *id);
            replica.listed = entry.is_some();
            replica.listed_leaving = entry.is_some_and(|l| l.leaving);
        }
        self.workers.retain(|_, replica| replica.listed || replica.own_load > 0);
    }

    /// Tells whether `target` is held anywhere, and whether a replica has room.
    pub fn availability(&self, target: &Target, interactive: bool, now_ms: u64) -> Availability {
        let mut availability = Availability::Cold;
        for replica in self.workers.values() {
            if !replica.accepts_requests(now_ms) || !replica.has_resident(target) {
                continue;
            }
            if replica.has_free_slot(self.instances, interactive, now_ms) {
                return Availability::Free;
            }
            availability = Availability::Full;
        }
        availability
    }

    /// Returns the part of this instance in the sequences that the replicas of `target` batch.
    ///
    /// Replicas that are avoided for a moment count: they take work again before long.
    pub fn guaranteed_slots(&self, target: &Target) -> u64 {
        let holding = self.workers.values().filter(|r| r.is_in_service() && r.has_resident(target));
        holding.map(|r| u64::from((r.view.slots / self.instances).max(1))).sum()
    }

    /// Chooses a replica of `target` with room, near ones first, and counts the request there.
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
        let near: Vec<&RoutedWorker> =
            all.iter().copied().filter(|r| r.view.domain == self.own_domain).collect();
        let pool = if near.is_empty() { all } else { near };
        let id = less_loaded(&pool, rng)?.view.worker.clone();
        let replica = self.workers.get_mut(&id)?;
        replica.own_load += 1;
        replica.own_interactive_load += u32::from(interactive);
        Some(Choice { addr: replica.view.addr, upstream: id })
    }

    /// Ends a request at `upstream`; after repeated breaks it gets no new work for a while.
    pub fn on_done(&mut self, upstream: &str, interactive: bool, broken: bool, now_ms: u64) {
        if let Some(replica) = self.workers.get_mut(upstream) {
            replica.own_load = replica.own_load.saturating_sub(1);
            let ended = u32::from(interactive);
            replica.own_interactive_load = replica.own_interactive_load.saturating_sub(ended);
            replica.consecutive_failures =
                if broken { replica.consecutive_failures + 1 } else { 0 };
            if replica.consecutive_failures >= AVOID_AFTER_FAILURES {
                replica.avoid_until_ms = now_ms + AVOID_MS;
            }
        }
    }

    /// Notes that `upstream` said it does not hold `target`, until the next report.
    pub fn on_not_resident(&mut self, upstream: &str, target: &Target) {
        if let Some(replica) = self.workers.get_mut(upstream) {
            match &target.adapter {
                None => replica.view.resident.retain(|r| r.model != target.model),
                Some(adapter) => {
                    let models = replica.view.resident.iter_mut();
                    models.for_each(|r| r.adapters.retain(|a| a != adapter));
                }
            }
        }
    }

    /// Notes that `upstream` said it is leaving.
    pub fn on_leaving(&mut self, upstream: &str) {
        if let Some(replica) = self.workers.get_mut(upstream) {
            replica.view.leaving = true;
        }
    }

    /// Returns the last reports, for status.
    pub fn views(&self) -> impl Iterator<Item = &WorkerView> {
        self.workers.values().map(|r| &r.view)
    }
}

/// Returns the less loaded of two random members of `pool`.
fn less_loaded<'a>(pool: &[&'a RoutedWorker], rng: &mut impl Rng) -> Option<&'a RoutedWorker> {
    if pool.len() < 2 {
        return pool.first().copied();
    }
    let first = rng.random_range(0..pool.len());
    let second = (first + rng.random_range(1..pool.len())) % pool.len();
    let (a, b) = (pool[first], pool[second]);
    Some(if b.load() < a.load() { b } else { a })
}
