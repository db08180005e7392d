//! Which instance orders the workers: claims in the store's log under a condition.
//!
//! A claim is appended on condition that the log has not grown since the claimant read it, so one
//! of several claimants succeeds. Its offset is the fencing number. The lead renews by further
//! conditional appends; others claim once the log has stood still for the validity of a renewal.

use serde::Deserialize;
use serde::Serialize;

pub mod driver;

#[cfg(test)]
mod tests;

/// Time between renewals, in ms; two may fail before others claim.
pub const RENEW_INTERVAL_MS: u64 = 400;
/// Time for which a renewal holds, counted from its begin, in ms.
pub const RENEWAL_VALID_MS: u64 = 1200;
/// Time between reads of the claims by an instance that does not hear the lead, in ms.
const READ_INTERVAL_MS: u64 = 400;
/// Silence of the lead after which an instance reads the claims, in ms.
const LEAD_TIMEOUT_MS: u64 = 900;
/// Extra wait of a successor over the lease, in ms, for timers that fire late.
const TIMER_MARGIN_MS: u64 = 100;
/// Time for which a lead that cannot renew goes on where workers check fencing numbers, in ms.
const UNRENEWED_MAX_MS: u64 = 20_000;

/// A record of the claims.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeadRecord {
    /// Name of the instance.
    pub instance_id: String,
    /// Start of its process.
    pub incarnation: u64,
    /// Fencing number that is renewed; `None` in a claim.
    pub fence: Option<u64>,
    /// The lead gives up its claim.
    pub released: bool,
}

/// What to do next about the claims.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing.
    Idle,
    /// Read the claims from this offset on.
    Read {
        /// Offset.
        from_offset: u64,
    },
    /// Append a record on condition that the log ends at this offset.
    Append {
        /// Record.
        record: LeadRecord,
        /// Offset.
        at_offset: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Leadership {
    fence: u64,
    renewed_ms: u64,
    orders_from_ms: u64,
}

/// State of the claims as one instance sees them.
#[derive(Clone, Debug)]
pub struct Election {
    instance_id: String,
    incarnation: u64,
    lease_ms: u64,
    stagger_ms: u64,
    log_end_offset: Option<u64>,
    // Time at which the log was first seen to end there; the true time is earlier.
    log_end_seen_ms: u64,
    last_record: Option<LeadRecord>,
    last_read_ms: Option<u64>,
    // Set when an append gave no answer, until a read shows what became of it.
    append_unresolved: bool,
    leadership: Option<Leadership>,
    last_renewal_ms: u64,
    // Last claim, so that a store that refuses is asked at intervals.
    last_claim_ms: Option<u64>,
}

impl Election {
    /// Returns the state of an instance that has read nothing.
    ///
    /// A successor waits `lease_ms` after the last order that its predecessor may have given; where
    /// workers check fencing numbers these keep the two apart, and no wait is needed. `stagger_ms`
    /// spreads claims.
    pub fn new(
        instance_id: impl Into<String>,
        incarnation: u64,
        lease_ms: u64,
        stagger_ms: u64,
    ) -> Self {
        Self {
            instance_id: instance_id.into(),
            incarnation,
            lease_ms,
            stagger_ms,
            log_end_offset: None,
            log_end_seen_ms: 0,
            last_record: None,
            last_read_ms: None,
            append_unresolved: false,
            leadership: None,
            last_renewal_ms: 0,
            last_claim_ms: None,
        }
    }

    /// Changes the wait of a successor; a lead in office keeps the one under which it began.
    pub fn set_lease_ms(&mut self, lease_ms: u64) {
        self.lease_ms = lease_ms;
    }

    /// Returns the fencing number while the instance leads.
    pub fn fence(&self) -> Option<u64> {
        self.leadership.map(|held| held.fence)
    }

    /// Tells whether orders may go out now.
    ///
    /// Where workers check fencing numbers a lead that cannot renew goes on for a while: a
    /// successor's orders end its own at each worker.
    pub fn may_order(&self, workers_check_fences: bool, now_ms: u64) -> bool {
        let valid_ms = if workers_check_fences { UNRENEWED_MAX_MS } else { RENEWAL_VALID_MS };
        self.leadership.is_some_and(|held| {
            now_ms >= held.orders_from_ms && now_ms < held.renewed_ms + valid_ms
        })
    }

    /// Decides the next step; `lead_heard_ms` is when another lead was last heard.
    pub fn step(&mut self, eligible: bool, lead_seen_ms: Option<u64>, now_ms: u64) -> Step {
        if self.append_unresolved || self.log_end_offset.is_none() && self.leadership.is_none() {
            return self.read(eligible, now_ms);
        }
        let Some(at_offset) = self.log_end_offset else { return Step::Idle };
        if let Some(held) = self.leadership {
            if now_ms < held.renewed_ms + RENEW_INTERVAL_MS
                || now_ms < self.last_renewal_ms + RENEW_INTERVAL_MS
            {
                return Step::Idle;
            }
            self.last_renewal_ms = now_ms;
            return Step::Append { record: self.record(Some(held.fence), false), at_offset };
        }
        if !eligible || lead_seen_ms.is_some_and(|heard| now_ms < heard + LEAD_TIMEOUT_MS) {
            return Step::Idle;
        }
        if self.last_read_ms.is_none_or(|read_ms| now_ms >= read_ms + READ_INTERVAL_MS) {
            return self.read(eligible, now_ms);
        }
        let next_claim_ms =
            self.last_claim_ms.map_or(0, |claimed_ms| claimed_ms + RENEW_INTERVAL_MS);
        if now_ms < next_claim_ms.max(self.log_end_seen_ms + self.claim_delay_ms()) {
            return Step::Idle;
        }
        self.last_claim_ms = Some(now_ms);
        Step::Append { record: self.record(None, false), at_offset }
    }

    /// Returns the record that gives up the lead, with the offset at which it must go in.
    pub fn release(&mut self) -> Option<(LeadRecord, u64)> {
        let held = self.leadership.take()?;
        Some((self.record(Some(held.fence), true), self.log_end_offset?))
    }

    fn claim_delay_ms(&self) -> u64 {
        match &self.last_record {
            // Nobody has led yet, or the last lead has said that it ended.
            None => self.stagger_ms,
            Some(last) if last.released => self.stagger_ms,
            // The own process of before has ended, or this one would not run.
            Some(last) if last.instance_id == self.instance_id => 0,
            Some(_) => RENEWAL_VALID_MS + self.stagger_ms,
        }
    }

    fn record(&self, fence: Option<u64>, released: bool) -> LeadRecord {
        LeadRecord {
            instance_id: self.instance_id.clone(),
            incarnation: self.incarnation,
            fence,
            released,
        }
    }

    fn read(&mut self, eligible: bool, now_ms: u64) -> Step {
        let due = self.last_read_ms.is_none_or(|read_ms| now_ms >= read_ms + READ_INTERVAL_MS / 2);
        if !due || (!eligible && !self.append_unresolved) {
            return Step::Idle;
        }
        self.last_read_ms = Some(now_ms);
        // The last record is read again, so that it is known who wrote it.
        let from_offset = self.log_end_offset.map_or(0, |end| end.saturating_sub(1));
        Step::Read { from_offset }
    }

    /// Takes over that the records up to `first_offset` have expired.
    pub fn on_expired(&mut self, first_offset: u64) {
        // The next read starts from there and shows the end.
        self.log_end_offset = Some(first_offset + 1);
        self.last_read_ms = None;
    }

    /// Takes over a read of the claims.
    pub fn on_read(&mut self, end_offset: u64, records: &[(u64, LeadRecord)], now_ms: u64) {
        let predecessor_seen_ms = self.log_end_seen_ms;
        if self.log_end_offset != Some(end_offset) {
            self.log_end_seen_ms = now_ms;
        }
        self.log_end_offset = Some(end_offset);
        let (own_id, incarnation) = (self.instance_id.clone(), self.incarnation);
        let is_own =
            |record: &LeadRecord| record.instance_id == own_id && record.incarnation == incarnation;
        if let Some((offset, last)) = records.last() {
            if is_own(last) && !last.released {
                // An append without answer has taken effect.
                let fence = last.fence.unwrap_or(*offset);
                if self.append_unresolved && self.leadership.is_none() {
                    self.become_lead(fence, now_ms, predecessor_seen_ms, now_ms);
                }
            } else if !is_own(last) {
                self.leadership = None;
            }
            self.last_record = Some(last.clone());
        }
        self.append_unresolved = false;
    }

    /// Takes over what the lead itself says of its last record, so that a successor knows it
    /// without reading.
    pub fn on_lead_message(
        &mut self,
        instance_id: &str,
        incarnation: u64,
        end_offset: u64,
        now_ms: u64,
    ) {
        if self.leadership.is_some() || self.log_end_offset.is_some_and(|end| end >= end_offset) {
            return;
        }
        self.log_end_offset = Some(end_offset);
        self.log_end_seen_ms = now_ms;
        self.last_record = Some(LeadRecord {
            instance_id: instance_id.to_owned(),
            incarnation,
            fence: None,
            released: false,
        });
    }

    /// Returns the end of the log as far as known.
    pub fn log_end_offset(&self) -> Option<u64> {
        self.log_end_offset
    }

    /// Takes over that the own record was appended; `started_ms` is when the call began.
    pub fn on_appended(&mut self, record: &LeadRecord, offset: u64, started_ms: u64, now_ms: u64) {
        let predecessor_seen_ms = self.log_end_seen_ms;
        self.log_end_offset = Some(offset + 1);
        self.log_end_seen_ms = now_ms;
        match &mut self.leadership {
            Some(held) => held.renewed_ms = started_ms,
            None if !record.released => {
                self.become_lead(
                    record.fence.unwrap_or(offset),
                    started_ms,
                    predecessor_seen_ms,
                    now_ms,
                );
            }
            None => {}
        }
        self.last_record = Some(record.clone());
    }

    /// Leads from now on; `before_ms` is when the predecessor's last record was first seen.
    fn become_lead(&mut self, fence: u64, renewed_ms: u64, predecessor_seen_ms: u64, now_ms: u64) {
        let orders_from_ms = match &self.last_record {
            None => now_ms,
            Some(last) if last.instance_id == self.instance_id => now_ms,
            // The predecessor may have ordered until its last renewal lapsed.
            Some(last) if last.released => predecessor_seen_ms + self.lease_ms + TIMER_MARGIN_MS,
            Some(_) => predecessor_seen_ms + RENEWAL_VALID_MS + self.lease_ms + TIMER_MARGIN_MS,
        };
        self.leadership = Some(Leadership { fence, renewed_ms, orders_from_ms });
    }

    /// Takes over that the log has grown, so the condition did not hold.
    pub fn on_condition_failed(&mut self, now_ms: u64) {
        // A held claim is lost, unless the record in the way is an own one without answer.
        self.append_unresolved = true;
        self.last_read_ms =
            self.last_read_ms.map(|at| at.min(now_ms.saturating_sub(READ_INTERVAL_MS)));
    }

    /// Takes over that an append gave no answer.
    pub fn on_append_unknown(&mut self) {
        self.append_unresolved = true;
    }

    /// Takes over that a worker or a peer has seen a higher fencing number.
    pub fn on_superseded(&mut self) {
        self.leadership = None;
    }
}
