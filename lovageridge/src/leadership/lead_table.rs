//! Replays the records of the `cells` log stream into a table of the lead and epoch of each cell.

use serde::Deserialize;
use serde::Serialize;

use crate::sorted::Table;

/// Name of the log stream of claims.
pub const STREAM: &str = "cells";

/// A record of the `cells` stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// An instance claims the lead of a cell.
    Claim(Claim),
    /// A lead releases its cell and sends no more orders.
    Release {
        /// Name of the cell.
        cell: String,
        /// Epoch that ends.
        epoch: u64,
    },
    /// A snapshot of all leads, appended before the records that established them expire.
    Checkpoint {
        /// First offset that the snapshot does not include.
        next_offset: u64,
        /// All cells with their leads.
        leads: Vec<(String, Lead)>,
    },
}

/// A claim of a cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Name of the cell.
    pub cell: String,
    /// Name of the claiming instance.
    pub instance_id: String,
    /// Start time of the claiming process.
    pub incarnation: u64,
    /// Current epoch as the claimant had read it; 0 when there was none.
    pub prior_epoch: u64,
    /// Oldest offset in the log when the claimant read it.
    pub first_offset: u64,
}

/// The lead of a cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lead {
    /// Epoch of the lead: one more than the offset of the accepted claim.
    pub epoch: u64,
    /// Name of the leading instance.
    pub instance_id: String,
    /// Start time of the leading process.
    pub incarnation: u64,
    /// Whether the lead has released the cell.
    pub released: bool,
}

/// The lead of each cell after a prefix of the stream.
#[derive(Clone, Debug, Default)]
pub struct LeadTable {
    leads: Table<String, Lead>,
    next_offset: u64,
    first_offset: u64,
    /// First offset after the missing records, until a checkpoint replaces these.
    gap_end: Option<u64>,
    /// Records after the gap, which are applied once a checkpoint was read.
    pending: Vec<(u64, Record)>,
}

impl LeadTable {
    /// Returns the last accepted lead of `cell`, even if it has released the cell.
    pub fn lead(&self, cell: &str) -> Option<&Lead> {
        self.leads.get(cell)
    }

    /// Returns all cells with their leads.
    pub fn leads(&self) -> impl Iterator<Item = (&String, &Lead)> {
        self.leads.iter()
    }

    /// Returns the first offset that has not been applied.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the oldest offset in the log at the last read.
    pub fn first_offset(&self) -> u64 {
        self.first_offset
    }

    /// Returns whether no records are missing from the state; otherwise no cell may be claimed.
    pub fn is_complete(&self) -> bool {
        self.gap_end.is_none()
    }

    /// Records the bounds of the stream at a read, before its records are applied.
    ///
    /// Records that expired before they were read leave a gap, which a later checkpoint fills. An
    /// empty stream leaves none: all earlier claims have expired, and the check of `first_offset`
    /// in a new claim covers them.
    pub fn on_bounds(&mut self, first_offset: u64, next_offset: u64) {
        self.first_offset = first_offset;
        if first_offset <= self.next_offset {
            return;
        }
        self.next_offset = first_offset;
        self.pending.clear();
        self.gap_end = if first_offset == next_offset { None } else { Some(first_offset) };
    }

    /// Applies the record at `offset`; records that were already applied are skipped.
    pub fn apply(&mut self, offset: u64, record: Record) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        match record {
            Record::Checkpoint { next_offset, leads } => self.apply_checkpoint(next_offset, leads),
            other if self.is_complete() => self.apply_record(offset, other),
            other => self.pending.push((offset, other)),
        }
    }

    /// Returns the state as a checkpoint record.
    pub fn checkpoint(&self) -> Record {
        Record::Checkpoint {
            next_offset: self.next_offset,
            leads: self.leads.iter().map(|(cell, lead)| (cell.clone(), lead.clone())).collect(),
        }
    }

    fn apply_checkpoint(&mut self, next_offset: u64, leads: Vec<(String, Lead)>) {
        if self.gap_end.is_none_or(|end| next_offset < end) {
            return;
        }
        self.gap_end = None;
        self.leads = leads.into_iter().collect();
        for (offset, record) in std::mem::take(&mut self.pending) {
            if offset >= next_offset {
                self.apply_record(offset, record);
            }
        }
    }

    fn apply_record(&mut self, offset: u64, record: Record) {
        match record {
            Record::Claim(claim) => self.apply_claim(offset, claim),
            Record::Release { cell, epoch } => {
                if let Some(lead) = self.leads.get_mut(&cell)
                    && lead.epoch == epoch
                {
                    lead.released = true;
                }
            }
            Record::Checkpoint { .. } => {}
        }
    }

    fn apply_claim(&mut self, offset: u64, claim: Claim) {
        let current_epoch = self.leads.get(&claim.cell).map_or(0, |lead| lead.epoch);
        let extends_current = claim.prior_epoch == current_epoch;
        // The claim of the current epoch had expired when the claimant read the log.
        let current_expired = claim.prior_epoch == 0 && current_epoch <= claim.first_offset;
        if extends_current || current_expired {
            let lead = Lead {
                epoch: offset + 1,
                instance_id: claim.instance_id,
                incarnation: claim.incarnation,
                released: false,
            };
            self.leads.insert(claim.cell, lead);
        }
    }
}
