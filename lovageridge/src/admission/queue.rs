//! Weighted fair queue of the requests that wait for one pool of replicas.
//!
//! Start-time fair queueing by partner: each partner's virtual finish time grows by the tokens of
//! its requests over its share. Interactive and standard requests go before batch ones; a batch
//! request whose deadline is near counts as interactive, so it still ends in time.

use crate::document::Priority;
use crate::sorted::Table;

/// Slack below which a batch request counts as interactive, as a multiple of its service time.
const URGENT_FACTOR: u64 = 3;
/// Slack added to that, in ms.
const URGENT_MARGIN_MS: u64 = 2000;
/// Unit of virtual time for one token at a share of one percent.
const TAG_SCALE: u64 = 100;

/// A request that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Number of the request on this instance.
    pub ticket: u64,
    /// Partner that pays for it.
    pub partner: String,
    /// Share of the partner, in percent.
    pub share_pct: u64,
    /// How urgent it is.
    pub priority: Priority,
    /// Expected cost in tokens.
    pub cost_tokens: u64,
    /// Time of arrival, in ms.
    pub arrived_ms: u64,
    /// Time by which its caller must have an outcome, in ms.
    pub deadline_ms: u64,
    /// Upstreams that have failed it.
    pub exclude: Vec<String>,
}

/// Requests of one partner.
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
        let at = queue.requests.partition_point(|w| (w.priority, w.arrived_ms) <= key);
        queue.requests.insert(at, request);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.partners.values().map(|q| q.requests.len()).sum()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.partners.values().all(|q| q.requests.is_empty())
    }

    /// Returns the waiting requests in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.partners.values().flat_map(|q| q.requests.iter())
    }

    /// Returns the tokens that would be served before a new request of `partner`.
    ///
    /// Only the partner's own queue and a proportional part of the others' count.
    pub fn tokens_ahead(&self, partner: &str, share_pct: u64, priority: Priority) -> u64 {
        let own: u64 = self.partners.get(partner).map_or(0, |q| {
            q.requests.iter().filter(|w| w.priority <= priority).map(|w| w.cost_tokens).sum()
        });
        let others = self.partners.iter().filter(|(name, _)| *name != partner);
        let interleaved = others.map(|(_, queue)| {
            let total: u64 = queue.requests.iter().map(|w| w.cost_tokens).sum();
            let other_share = queue.requests.first().map_or(1, |w| w.share_pct);
            total.min((own + 1).saturating_mul(other_share) / share_pct.max(1))
        });
        own + interleaved.sum::<u64>()
    }

    /// Takes out the next request in fair order for which `take` gives a result.
    ///
    /// Partners are tried in order of their virtual start times; the first request of each that
    /// `take` refuses blocks its partner for this call, so that order within a partner holds.
    pub fn pop<T>(
        &mut self,
        service_ms: u64,
        now_ms: u64,
        mut take: impl FnMut(&QueuedRequest) -> Option<T>,
    ) -> Option<(QueuedRequest, T)> {
        for deferrable in [false, true] {
            let mut order: Vec<(u64, String, usize)> = self
                .partners
                .iter()
                .filter_map(|(name, queue)| {
                    let at = next_position(&queue.requests, deferrable, service_ms, now_ms)?;
                    Some((queue.finish_tag.max(self.virtual_time), name.clone(), at))
                })
                .collect();
            order.sort_unstable();
            let waits = !order.is_empty();
            for (start_tag, name, at) in order {
                let Some(queue) = self.partners.get_mut(&name) else { continue };
                let Some(result) = take(&queue.requests[at]) else { continue };
                let request = queue.requests.remove(at);
                self.virtual_time = start_tag;
                queue.finish_tag =
                    start_tag + request.cost_tokens * TAG_SCALE / request.share_pct.max(1);
                return Some((request, result));
            }
            if waits {
                // Batch requests do not pass others that wait for room.
                break;
            }
        }
        self.remove_idle_partners();
        None
    }

    /// Removes the request `ticket`.
    pub fn remove(&mut self, ticket: u64) -> Option<QueuedRequest> {
        for (_, queue) in self.partners.iter_mut() {
            if let Some(at) = queue.requests.iter().position(|w| w.ticket == ticket) {
                return Some(queue.requests.remove(at));
            }
        }
        None
    }

    /// Takes out all requests for which `is_due` is true.
    pub fn drain(&mut self, is_due: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let mut due = Vec::new();
        for (_, queue) in self.partners.iter_mut() {
            due.extend(queue.requests.extract_if(.., |w| is_due(w)));
        }
        due
    }

    /// Forgets partners without requests whose virtual time has passed.
    fn remove_idle_partners(&mut self) {
        let virtual_time = self.virtual_time;
        self.partners.retain(|_, q| !q.requests.is_empty() || q.finish_tag > virtual_time);
    }
}

/// Tells whether the deadline of a batch request is so near that it counts as interactive.
pub fn is_urgent(deadline_ms: u64, service_ms: u64, now_ms: u64) -> bool {
    deadline_ms.saturating_sub(now_ms) <= service_ms * URGENT_FACTOR + URGENT_MARGIN_MS
}

/// Returns the position of a partner's next request, among deferrable batch requests or the rest.
fn next_position(
    waiting: &[QueuedRequest],
    deferrable: bool,
    service_ms: u64,
    now_ms: u64,
) -> Option<usize> {
    let effective = |w: &QueuedRequest| {
        let urgent = w.priority == Priority::Batch && is_urgent(w.deadline_ms, service_ms, now_ms);
        if urgent { Priority::Interactive } else { w.priority }
    };
    let candidates = waiting.iter().enumerate();
    candidates
        .filter(|(_, w)| (effective(w) == Priority::Batch) == deferrable)
        .min_by_key(|(_, w)| (effective(w), w.arrived_ms))
        .map(|(at, _)| at)
}
