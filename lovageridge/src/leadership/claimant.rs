//! Decides when an instance claims a cell, and whether a lead may order.

use crate::leadership::lead_table::Claim;
use crate::leadership::lead_table::Lead;
use crate::leadership::lead_table::LeadTable;

/// Wait for each rank before a claim, in ms, so that a dead lead gives one claim and not a storm.
const RANK_STAGGER_MS: u64 = 300;
/// Time after which a claim without visible result is sent again, in ms.
const CLAIM_RETRY_MS: u64 = 1000;

/// Identity and timing of the claiming process.
#[derive(Clone, Debug)]
pub struct ClaimantIdentity {
    /// Name of the instance.
    pub instance_id: String,
    /// Start time of the process.
    pub incarnation: u64,
    /// Validity of a proof of leadership, in ms.
    pub lease_ms: u64,
    /// Extra wait of a successor, in ms.
    pub successor_margin_ms: u64,
}

/// What an instance sees of a cell when it decides on a claim.
#[derive(Clone, Copy, Debug)]
pub struct CandidateView {
    /// Rank of the instance among the candidates; `None` when it is no candidate.
    pub own_rank: Option<usize>,
    /// Whether the lead of the fold is taken to live.
    pub lead_alive: bool,
    /// Start time of the living process of the lead's name; 0 when unknown.
    pub lead_incarnation: u64,
}

/// Claims of one cell by one instance.
#[derive(Clone, Debug)]
pub struct Claimant {
    cell: String,
    vacant_since_ms: Option<u64>,
    last_claim_ms: Option<u64>,
    /// Whether the lead before the own claim had released the cell, or there was none.
    prior_released: bool,
    /// Epoch held by this process, with the time from which orders are safe.
    held_epoch: Option<HeldEpoch>,
}

/// An epoch that this process holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldEpoch {
    /// The epoch.
    pub epoch: u64,
    /// Time from which an earlier lead's lease has certainly ended, in ms.
    pub prior_lease_end_ms: u64,
}

impl Claimant {
    /// Returns a claimant of `cell` that holds nothing.
    pub fn new(cell: impl Into<String>) -> Self {
        Self {
            cell: cell.into(),
            vacant_since_ms: None,
            last_claim_ms: None,
            prior_released: false,
            held_epoch: None,
        }
    }

    /// Returns the name of the cell.
    pub fn cell(&self) -> &str {
        &self.cell
    }

    /// Returns the epoch that this process holds.
    pub fn held_epoch(&self) -> Option<HeldEpoch> {
        self.held_epoch
    }

    /// Returns a claim to append now, if one is due.
    pub fn next_claim(
        &mut self,
        own: &ClaimantIdentity,
        lead_table: &LeadTable,
        view: CandidateView,
        now_ms: u64,
    ) -> Option<Claim> {
        let current = lead_table.lead(&self.cell);
        let vacant =
            lead_table.is_complete() && !current.is_some_and(|lead| still_holds(lead, own, view));
        let Some(rank) = view.own_rank.filter(|_| vacant) else {
            self.vacant_since_ms = None;
            return None;
        };
        let vacant_since_ms = *self.vacant_since_ms.get_or_insert(now_ms);
        let due_ms = vacant_since_ms + rank as u64 * RANK_STAGGER_MS;
        let retry_ms = self.last_claim_ms.map_or(0, |at| at + CLAIM_RETRY_MS);
        if now_ms < due_ms.max(retry_ms) {
            return None;
        }
        self.last_claim_ms = Some(now_ms);
        self.prior_released = match current {
            Some(lead) => lead.released,
            None => lead_table.first_offset() == 0,
        };
        Some(Claim {
            cell: self.cell.clone(),
            instance_id: own.instance_id.clone(),
            incarnation: own.incarnation,
            prior_epoch: current.map_or(0, |lead| lead.epoch),
            first_offset: lead_table.first_offset(),
        })
    }

    /// Takes over what the fold says after a read; returns true when an epoch was gained.
    ///
    /// The accepted claim took effect before this read answered, so a predecessor's proofs that
    /// began later show the new epoch: its lease ends within `lease_ms` of now at the latest.
    pub fn on_lead_table(
        &mut self,
        own: &ClaimantIdentity,
        lead_table: &LeadTable,
        now_ms: u64,
    ) -> bool {
        let own_lead = lead_table.lead(&self.cell).filter(|lead| {
            lead.instance_id == own.instance_id
                && lead.incarnation == own.incarnation
                && !lead.released
        });
        let Some(lead) = own_lead else {
            self.held_epoch = None;
            return false;
        };
        if self.held_epoch.is_some_and(|held| held.epoch == lead.epoch) {
            return false;
        }
        let wait_ms = if self.prior_released { 0 } else { own.lease_ms + own.successor_margin_ms };
        self.held_epoch =
            Some(HeldEpoch { epoch: lead.epoch, prior_lease_end_ms: now_ms + wait_ms });
        self.vacant_since_ms = None;
        self.last_claim_ms = None;
        true
    }

    /// Gives the cell up; the caller appends the release after its last order has ended.
    pub fn release(&mut self) -> Option<u64> {
        self.held_epoch.take().map(|held| held.epoch)
    }
}

/// Tells whether `lead` still holds its cell as far as this instance can see.
fn still_holds(lead: &Lead, own: &ClaimantIdentity, view: CandidateView) -> bool {
    if lead.released {
        return false;
    }
    if lead.instance_id == own.instance_id {
        return lead.incarnation == own.incarnation;
    }
    // A newer process of the same name has forgotten what the earlier one held.
    let replaced = view.lead_incarnation > lead.incarnation;
    view.lead_alive && !replaced
}

/// Whether a lead may send an order now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderPermission {
    /// Orders may go out until this time, in ms.
    Until {
        /// Last ms at which an order may be written.
        until_ms: u64,
    },
    /// Orders must wait.
    Wait,
}

/// Decides whether a lead may order, for upstreams that check fencing and those that do not.
///
/// Engines that check fencing refuse a superseded lead by themselves, so their lead goes on while
/// the log is down. Otherwise the lead needs a proof, no older than the lease, that no later claim
/// stands in the log, and must have waited for its predecessor's lease to end.
pub fn order_permission(
    checks_fencing: bool,
    held: HeldEpoch,
    lease_renewed_ms: Option<u64>,
    lease_ms: u64,
    now_ms: u64,
) -> OrderPermission {
    if checks_fencing {
        return OrderPermission::Until { until_ms: u64::MAX };
    }
    let until_ms = lease_renewed_ms.map_or(0, |at| at + lease_ms);
    if now_ms < held.prior_lease_end_ms || now_ms >= until_ms {
        return OrderPermission::Wait;
    }
    OrderPermission::Until { until_ms }
}
