//! Folds the records of the `cells` stream into the lead and epoch of each cell.

use serde::Deserialize;
use serde::Serialize;

use crate::sorted::Table;

/// Name of the log stream that carries claims.
pub const STREAM: &str = "cells";

/// A record of the stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// An instance wants to lead a cell.
    Claim(Claim),
    /// A lead gives its cell up and orders nothing more.
    Release {
        /// Name of the cell.
        cell: String,
        /// Epoch that ends.
        epoch: u64,
    },
    /// All leads again, appended before the records that they rest on expire.
    Checkpoint {
        /// First offset that is not folded in.
        next_offset: u64,
        /// All cells.
        leads: Vec<(String, Lead)>,
    },
}

/// A claim of a cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Name of the cell.
    pub cell: String,
    /// Claiming instance.
    pub instance_id: String,
    /// Start time of the claiming process.
    pub incarnation: u64,
    /// Epoch that the claimant saw; 0 when it saw none.
    pub prior_epoch: u64,
    /// Oldest offset that the log held when the claimant read it.
    pub first_offset: u64,
}

/// Lead of a cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lead {
    /// Fencing number: one more than the offset of the accepted claim.
    pub epoch: u64,
    /// Leading instance.
    pub instance_id: String,
    /// Start time of the leading process.
    pub incarnation: u64,
    /// Whether the lead has given the cell up.
    pub released: bool,
}

/// Leads after a prefix of the stream.
#[derive(Clone, Debug, Default)]
pub struct LeadTable {
    leads: Table<String, Lead>,
    next_offset: u64,
    first_offset: u64,
    gap_end: Option<u64>,
    pending: Vec<(u64, Record)>,
}

impl LeadTable {
    /// Returns the lead of `cell`.
    pub fn lead(&self, cell: &str) -> Option<&Lead> {
        self.leads.get(cell)
    }

    /// Returns all cells with their leads.
    pub fn leads(&self) -> impl Iterator<Item = (&String, &Lead)> {
        self.leads.iter()
    }

    /// Returns the first offset that has not been folded.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the oldest offset that the log held at the last read.
    pub fn first_offset(&self) -> u64 {
        self.first_offset
    }

    /// Tells whether the state rests on all records; without that no cell may be claimed.
    pub fn is_complete(&self) -> bool {
        self.gap_end.is_none()
    }

    /// Notes the bounds of the stream at a read, before its records are applied.
    ///
    /// A reader that finds the stream empty has nothing left to learn: claims made before are
    /// covered by the rule on `first_offset`.
    pub fn on_bounds(&mut self, first_offset: u64, next_offset: u64) {
        self.first_offset = first_offset;
        if first_offset <= self.next_offset {
            return;
        }
        self.next_offset = first_offset;
        self.pending.clear();
        self.gap_end = if first_offset == next_offset { None } else { Some(first_offset) };
    }

    /// Folds the record at `offset`; records already folded are passed over.
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

    /// Returns the state as a record.
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
        // The claim that made the current epoch had expired when the claimant read the log.
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
