//! Routing to the upstreams of plain services.

use rand::Rng;

use crate::infra::list::ListedInstance;
use crate::routing::Choice;
use crate::sorted::Table;

/// Time for which an upstream gets no new requests after a failed one, in ms.
const AVOID_MS: u64 = 1000;

/// An upstream of a plain service.
#[derive(Clone, Debug)]
struct PlainUpstream {
    listed: ListedInstance,
    own_load: u64,
    avoid_until_ms: u64,
}

/// Upstreams of plain services known to a router.
#[derive(Clone, Debug, Default)]
pub struct PlainUpstreams {
    upstreams: Table<String, PlainUpstream>,
}

impl PlainUpstreams {
    /// Applies the list: adds and updates listed upstreams and removes all others.
    pub fn on_list(&mut self, listed: &[ListedInstance]) {
        for entry in listed {
            match self.upstreams.get_mut(&entry.id) {
                Some(known) => known.listed = entry.clone(),
                None => {
                    let upstream =
                        PlainUpstream { listed: entry.clone(), own_load: 0, avoid_until_ms: 0 };
                    self.upstreams.insert(entry.id.clone(), upstream);
                }
            }
        }
        let present = |id: &String| listed.iter().any(|l| l.id == *id);
        self.upstreams.retain(|id, _| present(id));
    }

    /// Returns whether `service` has an upstream that accepts requests.
    pub fn is_available(&self, service: &str, now_ms: u64) -> bool {
        self.upstreams.values().any(|u| u.accepts_requests(service, now_ms))
    }

    /// Chooses an upstream of `service` with fewer than `slots` requests from this instance, and
    /// counts the request there.
    pub fn choose(
        &mut self,
        service: &str,
        slots: u64,
        exclude: &[String],
        rng: &mut impl Rng,
        now_ms: u64,
    ) -> Option<Choice> {
        let fits = |u: &&PlainUpstream| {
            u.accepts_requests(service, now_ms)
                && u.own_load < slots
                && !exclude.contains(&u.listed.id)
        };
        let candidates: Vec<&PlainUpstream> = self.upstreams.values().filter(fits).collect();
        let first = candidates.get(rng.random_range(0..candidates.len().max(1)))?;
        let second = candidates.get(rng.random_range(0..candidates.len()))?;
        let chosen = if second.own_load < first.own_load { second } else { first };
        let id = chosen.listed.id.clone();
        let upstream = self.upstreams.get_mut(&id)?;
        upstream.own_load += 1;
        Some(Choice { addr: upstream.listed.addr, upstream: id })
    }

    /// Records the end of a request at `upstream`, which is avoided for a while if it failed.
    pub fn on_done(&mut self, upstream: &str, failed: bool, now_ms: u64) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.own_load = known.own_load.saturating_sub(1);
            if failed {
                known.avoid_until_ms = now_ms + AVOID_MS;
            }
        }
    }
}

impl PlainUpstream {
    fn accepts_requests(&self, service: &str, now_ms: u64) -> bool {
        self.listed.service == service && !self.listed.leaving && now_ms >= self.avoid_until_ms
    }
}
