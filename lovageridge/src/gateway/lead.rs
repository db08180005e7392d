//! Election of the lead, the instance that sends orders to the workers, with conditional appends to
//! a log in the store.
//!
//! An instance claims the lead by appending a record on condition that the log has not grown since
//! the instance read it, so only one of several claimants succeeds. The offset of the claim is the
//! fencing number. The lead renews its claim with further conditional appends; other instances
//! claim once the log has not grown for as long as a renewal is valid.
//!
//! After a restore of the store from a copy offsets are given out again. The fencing number therefore
//! begins with the era of the store, and a lead of an earlier era has to claim anew.

use serde::Deserialize;
use serde::Serialize;

pub mod driver;

#[cfg(test)]
mod tests;

/// Interval between renewals, in ms; two may fail before other instances claim.
pub const RENEW_INTERVAL_MS: u64 = 400;
/// Time for which a renewal is valid, counted from the start of its call, in ms.
pub const RENEWAL_VALID_MS: u64 = 1200;
/// Interval between reads of the log by an instance that gets no messages from the lead, in ms.
const READ_INTERVAL_MS: u64 = 400;
/// Time without messages from the lead after which an instance reads the log, in ms.
const LEAD_TIMEOUT_MS: u64 = 900;
/// Time that a successor waits beyond the lease, in ms, as timers may fire late.
const TIMER_MARGIN_MS: u64 = 100;
/// Time after its last renewal for which a lead still sends orders if workers check fencing
/// numbers, in ms.
const UNRENEWED_MAX_MS: u64 = 20_000;

/// Number of bits of an offset in a fencing number; the era is in those above it.
const FENCE_OFFSET_BITS: u32 = 32;

/// A record in the log: a claim, a renewal or a release.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeadRecord {
    /// Id of the instance that appended it.
    pub instance_id: String,
    /// Number that identifies the start of that instance's process.
    pub incarnation: u64,
    /// Fencing number that is renewed or released; `None` in a claim.
    pub fence: Option<u64>,
    /// Whether the lead releases its claim.
    pub released: bool,
}

/// Next call to the log that the election requires.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// No call is due.
    Idle,
    /// Read the records from an offset on.
    Read {
        /// Offset of the first record to read.
        from_offset: u64,
    },
    /// Append a record on condition that the log ends at an offset.
    Append {
        /// Record to append.
        record: LeadRecord,
        /// Offset at which the log must end.
        at_offset: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Leadership {
    fence: u64,
    // Time from which the validity of the claim or its last renewal is counted.
    renewed_ms: u64,
    // Time before which the predecessor may still send orders.
    orders_from_ms: u64,
}

/// State of the election as known to one instance.
#[derive(Clone, Debug)]
pub struct Election {
    instance_id: String,
    incarnation: u64,
    lease_ms: u64,
    stagger_ms: u64,
    log_end_offset: Option<u64>,
    // Time at which the log was first seen to end at that offset; the append was earlier.
    log_end_seen_ms: u64,
    last_record: Option<LeadRecord>,
    // Time at which the last read began or, once it has succeeded, at which it ended: a claim follows a
    // recent read, however long that took.
    last_read_ms: Option<u64>,
    // Set while the result of an append is unknown, until a read shows it.
    append_unresolved: bool,
    leadership: Option<Leadership>,
    // Time of the last attempt to renew.
    last_renewal_ms: u64,
    // Time of the last claim; limits the rate of claims that the store refuses.
    last_claim_ms: Option<u64>,
    // Era of the store that the offsets belong to.
    era: u64,
    // Time before which no claim is made, in ms.
    claims_from_ms: u64,
    // Fencing number and time, by the clock that counts suspensions too, at which the last successful claim or
    // renewal was sent.
    proof: Option<(u64, u64)>,
}

impl Election {
    /// Returns the state of an instance that has not read the log yet.
    ///
    /// A successor waits `lease_ms` after the last order that its predecessor may have sent. Where
    /// workers check fencing numbers, they reject the predecessor's orders, so no wait is needed.
    /// `stagger_ms` delays the claims of this instance, so that not all instances claim at once.
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
            era: 0,
            claims_from_ms: 0,
            proof: None,
        }
    }

    /// Changes the time that a successor waits. A current lead is not affected.
    pub fn set_lease_ms(&mut self, lease_ms: u64) {
        self.lease_ms = lease_ms;
    }

    /// Returns the fencing number, or `None` if the instance is not the lead.
    pub fn fence(&self) -> Option<u64> {
        self.leadership.map(|leadership| leadership.fence)
    }

    /// Returns the fencing number and the time at which the last successful claim or renewal was sent, in ms since
    /// the machine started; `None` if the instance is not the lead or none has been confirmed yet.
    pub fn proof(&self) -> Option<(u64, u64)> {
        self.proof.filter(|(fence, _)| Some(*fence) == self.fence())
    }

    /// Notes that an append succeeded that was sent at `sent_boot_ms`, in ms since the machine started.
    pub fn on_proved(&mut self, sent_boot_ms: u64) {
        self.proof = self.fence().map(|fence| (fence, sent_boot_ms));
    }

    /// Returns whether the instance may send orders now.
    ///
    /// Where workers check fencing numbers, a lead that cannot renew continues for a while: a
    /// worker rejects its orders once it has received one from a successor.
    pub fn may_order(&self, workers_check_fences: bool, now_ms: u64) -> bool {
        let valid_ms = if workers_check_fences { UNRENEWED_MAX_MS } else { RENEWAL_VALID_MS };
        self.leadership.is_some_and(|leadership| {
            now_ms >= leadership.orders_from_ms && now_ms < leadership.renewed_ms + valid_ms
        })
    }

    /// Ends the lead of an instance that has not renewed its claim for as long as a renewal is valid; returns its
    /// fencing number.
    pub fn give_up_unrenewed(&mut self, now_ms: u64) -> Option<u64> {
        let unrenewed =
            self.leadership.filter(|one| now_ms >= one.renewed_ms + RENEWAL_VALID_MS)?;
        self.leadership = None;
        Some(unrenewed.fence)
    }

    /// Returns the next step; `lead_seen_ms` is the time of the last message from another lead.
    ///
    /// An instance that is not `eligible` does not claim the lead.
    pub fn step(&mut self, eligible: bool, lead_seen_ms: Option<u64>, now_ms: u64) -> Step {
        if self.append_unresolved || self.log_end_offset.is_none() && self.leadership.is_none() {
            return self.read(eligible, now_ms);
        }
        let Some(at_offset) = self.log_end_offset else { return Step::Idle };
        if let Some(leadership) = self.leadership {
            if now_ms < leadership.renewed_ms + RENEW_INTERVAL_MS
                || now_ms < self.last_renewal_ms + RENEW_INTERVAL_MS
            {
                return Step::Idle;
            }
            self.last_renewal_ms = now_ms;
            return Step::Append { record: self.record(Some(leadership.fence), false), at_offset };
        }
        if !eligible || lead_seen_ms.is_some_and(|seen_ms| now_ms < seen_ms + LEAD_TIMEOUT_MS) {
            return Step::Idle;
        }
        if self.last_read_ms.is_none_or(|read_ms| now_ms >= read_ms + READ_INTERVAL_MS) {
            return self.read(eligible, now_ms);
        }
        let next_claim_ms =
            self.last_claim_ms.map_or(0, |claimed_ms| claimed_ms + RENEW_INTERVAL_MS);
        let next_claim_ms = next_claim_ms.max(self.claims_from_ms);
        if now_ms < next_claim_ms.max(self.log_end_seen_ms + self.claim_delay_ms()) {
            return Step::Idle;
        }
        self.last_claim_ms = Some(now_ms);
        Step::Append { record: self.record(None, false), at_offset }
    }

    /// Ends this instance's lead; returns the record that releases the claim and the offset at
    /// which the log must end for its append, or `None` if the instance is not the lead.
    pub fn release(&mut self) -> Option<(LeadRecord, u64)> {
        let leadership = self.leadership.take()?;
        Some((self.record(Some(leadership.fence), true), self.log_end_offset?))
    }

    fn claim_delay_ms(&self) -> u64 {
        match &self.last_record {
            // There has been no lead yet, or the last one has released its claim.
            None => self.stagger_ms,
            Some(last) if last.released => self.stagger_ms,
            // This instance's previous process has ended, as the current one runs.
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
        // Reads the last record again to learn which instance appended it.
        let from_offset = self.log_end_offset.map_or(0, |end| end.saturating_sub(1));
        Step::Read { from_offset }
    }

    /// Handles the era of the store. After a restore all that was read from the log is void. The lead claims
    /// again, and others leave it the time for that.
    pub fn on_era(&mut self, era: u64, now_ms: u64) {
        if era <= self.era {
            return;
        }
        self.era = era;
        let was_lead = self.leadership.take().is_some();
        let has_read = self.log_end_offset.take().is_some();
        self.log_end_seen_ms = now_ms;
        self.last_record = None;
        self.last_read_ms = None;
        self.append_unresolved = false;
        if has_read && !was_lead {
            self.wait_for_others(now_ms);
        }
    }

    /// Handles an append that succeeded in a later era than the one whose log it was meant for. The claim is
    /// not used, since the log may hold claims of others that are not known here.
    pub fn on_appended_in_other_era(&mut self, now_ms: u64) {
        self.leadership = None;
        self.wait_for_others(now_ms);
    }

    fn wait_for_others(&mut self, now_ms: u64) {
        self.claims_from_ms = now_ms + RENEWAL_VALID_MS + self.stagger_ms;
    }

    fn fence_at(&self, offset: u64) -> u64 {
        self.era << FENCE_OFFSET_BITS | offset
    }

    /// Handles a read that failed because the records before `first_offset` have expired.
    pub fn on_expired(&mut self, first_offset: u64) {
        // The next read starts from `first_offset` and returns the end of the log.
        self.log_end_offset = Some(first_offset + 1);
        self.last_read_ms = None;
    }

    /// Applies the result of a read.
    pub fn on_read(&mut self, end_offset: u64, records: &[(u64, LeadRecord)], now_ms: u64) {
        self.last_read_ms = Some(now_ms);
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
                // The append whose result was unknown has taken effect.
                let fence = last.fence.unwrap_or(self.fence_at(*offset));
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

    /// Applies the end of the log as reported by the lead, so that a successor need not read the
    /// log first to know the lead's last record.
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

    /// Returns the offset after the last known record, or `None` before the first read.
    pub fn log_end_offset(&self) -> Option<u64> {
        self.log_end_offset
    }

    /// Applies a successful append by this instance; `started_ms` is the time at which the call
    /// began.
    pub fn on_appended(&mut self, record: &LeadRecord, offset: u64, started_ms: u64, now_ms: u64) {
        let predecessor_seen_ms = self.log_end_seen_ms;
        self.log_end_offset = Some(offset + 1);
        self.log_end_seen_ms = now_ms;
        match &mut self.leadership {
            Some(leadership) => leadership.renewed_ms = started_ms,
            None if !record.released => {
                self.become_lead(
                    record.fence.unwrap_or(self.fence_at(offset)),
                    started_ms,
                    predecessor_seen_ms,
                    now_ms,
                );
            }
            None => {}
        }
        self.last_record = Some(record.clone());
    }

    /// Makes this instance the lead; `predecessor_seen_ms` is the time at which the predecessor's
    /// last record was first seen.
    fn become_lead(&mut self, fence: u64, renewed_ms: u64, predecessor_seen_ms: u64, now_ms: u64) {
        let orders_from_ms = match &self.last_record {
            None => now_ms,
            Some(last) if last.instance_id == self.instance_id => now_ms,
            // The predecessor may have sent orders until its release, or until its renewal expired.
            Some(last) if last.released => predecessor_seen_ms + self.lease_ms + TIMER_MARGIN_MS,
            Some(_) => predecessor_seen_ms + RENEWAL_VALID_MS + self.lease_ms + TIMER_MARGIN_MS,
        };
        self.leadership = Some(Leadership { fence, renewed_ms, orders_from_ms });
    }

    /// Handles an append that was rejected because the log has grown.
    pub fn on_condition_failed(&mut self, now_ms: u64) {
        // The lead is lost, unless the new record is this instance's own from an append whose
        // result was unknown. A read shows which.
        self.append_unresolved = true;
        self.last_read_ms =
            self.last_read_ms.map(|at| at.min(now_ms.saturating_sub(READ_INTERVAL_MS)));
    }

    /// Handles an append whose result is unknown.
    pub fn on_append_unknown(&mut self) {
        self.append_unresolved = true;
    }

    /// Ends this instance's lead, as a worker or a peer has received a higher fencing number.
    pub fn on_superseded(&mut self) {
        self.leadership = None;
    }
}
