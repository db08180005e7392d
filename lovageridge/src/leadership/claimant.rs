//! Decides when an instance claims a cell, and until when a lead may send orders.

use crate::leadership::lead_table::Claim;
use crate::leadership::lead_table::Lead;
use crate::leadership::lead_table::LeadTable;

/// Delay of a claim per rank of the candidate, in ms, so that the candidates do not all claim at
/// once when a lead fails.
const RANK_STAGGER_MS: u64 = 300;
/// Time after which a claim that has not taken effect is retried, in ms.
const CLAIM_RETRY_MS: u64 = 1000;

/// Identity and timing of the claiming process.
#[derive(Clone, Debug)]
pub struct ClaimantIdentity {
    /// Name of the instance.
    pub instance_id: String,
    /// Start time of the process; distinguishes it from earlier processes of the same name.
    pub incarnation: u64,
    /// Duration of a lease, in ms.
    pub lease_ms: u64,
    /// Additional wait of a successor after the earlier lease, in ms.
    pub successor_margin_ms: u64,
}

/// What an instance knows about a cell from heartbeats when it decides on a claim.
#[derive(Clone, Copy, Debug)]
pub struct CandidateView {
    /// Rank of this instance among the candidates; `None` when it is not a candidate.
    pub own_rank: Option<usize>,
    /// Whether the lead according to the log is considered alive.
    pub lead_alive: bool,
    /// Start time of the running process with the lead's name; 0 when unknown.
    pub lead_incarnation: u64,
}

/// Claims of one cell by one instance.
#[derive(Clone, Debug)]
pub struct Claimant {
    cell: String,
    /// Time since which this instance has been a candidate for the vacant cell.
    vacant_since_ms: Option<u64>,
    last_claim_ms: Option<u64>,
    /// Whether the cell was released, or had never had a lead, at the time of the last claim.
    prior_released: bool,
    /// Epoch held by this process, with the end of the earlier lease.
    held_epoch: Option<HeldEpoch>,
}

/// An epoch that this process holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldEpoch {
    /// The epoch.
    pub epoch: u64,
    /// Time by which the lease of any earlier lead has ended, in ms.
    pub prior_lease_end_ms: u64,
}

impl Claimant {
    /// Returns a claimant of `cell` that does not hold it.
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

    /// Returns the epoch that this process holds, or `None` if it does not lead the cell.
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

    /// Updates the held epoch after a read of the claims; returns true if an epoch was acquired.
    ///
    /// The accepted claim took effect before this read returned, so reads that the earlier lead
    /// starts later show the new epoch: its lease ends within `lease_ms` from now.
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

    /// Stops holding the cell and returns its epoch; the caller appends the release to the log.
    pub fn release(&mut self) -> Option<u64> {
        self.held_epoch.take().map(|held| held.epoch)
    }
}

/// Returns whether `lead` still holds its cell, as far as this instance knows.
fn still_holds(lead: &Lead, own: &ClaimantIdentity, view: CandidateView) -> bool {
    if lead.released {
        return false;
    }
    if lead.instance_id == own.instance_id {
        return lead.incarnation == own.incarnation;
    }
    // A newer process of the same name does not hold what the earlier one held.
    let replaced = view.lead_incarnation > lead.incarnation;
    view.lead_alive && !replaced
}

/// Permission of a lead to send orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderPermission {
    /// Orders may be sent for a limited time.
    Until {
        /// Time from which orders must not be sent, in ms.
        until_ms: u64,
    },
    /// Orders must not be sent now.
    Wait,
}

/// Returns whether a lead may send orders, for engines that check fencing and those that do not.
///
/// Engines that check fencing refuse the orders of a superseded lead themselves, so their lead
/// continues while the log is unreachable. Otherwise the lead must have confirmed by a read that
/// started at `lease_renewed_ms`, less than `lease_ms` ago, that the log contains no later claim,
/// and the lease of the earlier lead must have ended.
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
