//! Weighted fair queue of the requests that wait for one pool of upstreams.
//!
//! Start-time fair queueing between partners: each request advances its partner's virtual finish
//! time by its cost in tokens divided by the partner's share. Interactive and standard requests go
//! before batch requests. A batch request close to its deadline counts as interactive, so that it
//! still finishes in time.

use crate::document::Priority;
use crate::sorted::Table;

/// Time left to its deadline below which a batch request counts as interactive, as a multiple of
/// the service time.
const URGENT_FACTOR: u64 = 3;
/// Time added to that multiple, in ms.
const URGENT_MARGIN_MS: u64 = 2000;
/// Virtual time of one token at a share of one percent.
const TAG_SCALE: u64 = 100;

/// A request that waits for an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Number that identifies the request on this instance.
    pub ticket: u64,
    /// Partner that the request is charged to.
    pub partner: String,
    /// Partner's share, in percent.
    pub share_pct: u64,
    /// Priority that the caller requested.
    pub priority: Priority,
    /// Expected cost in tokens.
    pub cost_tokens: u64,
    /// Time of arrival, in ms.
    pub arrived_ms: u64,
    /// Time by which the caller must get a response, in ms.
    pub deadline_ms: u64,
    /// Upstreams to skip because they failed in an earlier attempt.
    pub exclude: Vec<String>,
}

/// Requests of one partner, ordered by priority and arrival.
#[derive(Clone, Debug, Default)]
struct PartnerQueue {
    finish_tag: u64,
    requests: Vec<QueuedRequest>,
}

/// Fair queue of one pool.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    virtual_time: u64,
    partners: Table<String, PartnerQueue>,
}

impl FairQueue {
    /// Adds a request behind those of the same partner and priority.
    pub fn push(&mut self, request: QueuedRequest) {
        let queue = self.partners.get_or_insert_with(request.partner.clone(), Default::default);
        let key = (request.priority, request.arrived_ms);
        let position = queue.requests.partition_point(|r| (r.priority, r.arrived_ms) <= key);
        queue.requests.insert(position, request);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.partners.values().map(|q| q.requests.len()).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.partners.values().all(|q| q.requests.is_empty())
    }

    /// Returns the waiting requests in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.partners.values().flat_map(|q| q.requests.iter())
    }

    /// Returns the tokens that would be served before a new request of `partner`.
    ///
    /// Counts the partner's own queue and, of each other partner's queue, the part that its share
    /// lets run in the meantime.
    pub fn tokens_ahead(&self, partner: &str, share_pct: u64, priority: Priority) -> u64 {
        let own: u64 = self.partners.get(partner).map_or(0, |q| {
            q.requests.iter().filter(|r| r.priority <= priority).map(|r| r.cost_tokens).sum()
        });
        let others = self.partners.iter().filter(|(name, _)| *name != partner);
        let interleaved = others.map(|(_, queue)| {
            let total: u64 = queue.requests.iter().map(|r| r.cost_tokens).sum();
            let other_share = queue.requests.first().map_or(1, |r| r.share_pct);
            total.min((own + 1).saturating_mul(other_share) / share_pct.max(1))
        });
        own + interleaved.sum::<u64>()
    }

    /// Removes and returns the next request, in fair order, for which `try_grant` returns a result.
    ///
    /// Partners are tried in order of their virtual start times. If `try_grant` returns `None` for
    /// a partner's first request, the partner is skipped in this call, which preserves the order of
    /// its requests.
    pub fn pop<T>(
        &mut self,
        service_ms: u64,
        now_ms: u64,
        mut try_grant: impl FnMut(&QueuedRequest) -> Option<T>,
    ) -> Option<(QueuedRequest, T)> {
        for deferrable in [false, true] {
            let mut order: Vec<(u64, String, usize)> = self
                .partners
                .iter()
                .filter_map(|(name, queue)| {
                    let position = next_position(&queue.requests, deferrable, service_ms, now_ms)?;
                    Some((queue.finish_tag.max(self.virtual_time), name.clone(), position))
                })
                .collect();
            order.sort_unstable();
            let any_waiting = !order.is_empty();
            for (start_tag, name, position) in order {
                let Some(queue) = self.partners.get_mut(&name) else { continue };
                let Some(result) = try_grant(&queue.requests[position]) else { continue };
                let request = queue.requests.remove(position);
                self.virtual_time = start_tag;
                queue.finish_tag =
                    start_tag + request.cost_tokens * TAG_SCALE / request.share_pct.max(1);
                return Some((request, result));
            }
            if any_waiting {
                // Batch requests do not overtake other requests that wait for a free slot.
                break;
            }
        }
        self.remove_idle_partners();
        None
    }

    /// Removes and returns the request `ticket`.
    pub fn remove(&mut self, ticket: u64) -> Option<QueuedRequest> {
        for (_, queue) in self.partners.iter_mut() {
            if let Some(position) = queue.requests.iter().position(|r| r.ticket == ticket) {
                return Some(queue.requests.remove(position));
            }
        }
        None
    }

    /// Removes and returns all requests for which `is_due` returns true.
    pub fn drain(&mut self, is_due: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let mut due = Vec::new();
        for (_, queue) in self.partners.iter_mut() {
            due.extend(queue.requests.extract_if(.., |r| is_due(r)));
        }
        due
    }

    /// Removes partners that have no requests and whose virtual finish time has passed.
    fn remove_idle_partners(&mut self) {
        let virtual_time = self.virtual_time;
        self.partners.retain(|_, q| !q.requests.is_empty() || q.finish_tag > virtual_time);
    }
}

/// Returns whether a batch request is so close to its deadline that it counts as interactive.
pub fn is_urgent(deadline_ms: u64, service_ms: u64, now_ms: u64) -> bool {
    deadline_ms.saturating_sub(now_ms) <= service_ms * URGENT_FACTOR + URGENT_MARGIN_MS
}

/// Returns the position of a partner's next request among its deferrable batch requests, or among
/// all its others.
fn next_position(
    requests: &[QueuedRequest],
    deferrable: bool,
    service_ms: u64,
    now_ms: u64,
) -> Option<usize> {
    let effective_priority = |r: &QueuedRequest| {
        let urgent = r.priority == Priority::Batch && is_urgent(r.deadline_ms, service_ms, now_ms);
        if urgent { Priority::Interactive } else { r.priority }
    };
    let candidates = requests.iter().enumerate();
    candidates
        .filter(|(_, r)| (effective_priority(r) == Priority::Batch) == deferrable)
        .min_by_key(|(_, r)| (effective_priority(r), r.arrived_ms))
        .map(|(position, _)| position)
}
