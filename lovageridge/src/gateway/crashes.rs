//! Prompt parts whose requests crash workers.
//!
//! Instances relate each crash of a worker to the requests whose responses had just begun there, and
//! share what they see. A part is blocked once it was in such requests at several crashes without a
//! response in between that outlasted its beginning. Blocked parts are tried again after a growing
//! time, by one request of all instances.
//!
//! Observations only accumulate, so instances merge them in any order. They are also kept in the store, so
//! that instances that cannot reach each other add them up, and those that start again do not forget them.

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::message_fields::PromptPart;
use crate::hashing;
use crate::sorted::Table;

pub mod driver;
pub mod persist;
pub mod stored;
pub mod verdict;

#[cfg(test)]
mod tests;

use crate::gateway::crashes::verdict::blocked_parts;

/// Time with data after which a response has outlasted its beginning, in ms.
pub const SURVIVAL_MS: u64 = 250;
/// Largest number of parts that are kept.
const PARTS_MAX: usize = 128;
/// Largest number of crashes that are kept for each part.
const CRASHES_MAX: usize = 8;
/// Time after its last crash for which a part is remembered, in ms.
const EVIDENCE_TTL_MS: i64 = 600_000;
/// The same for a blocked part, in ms; longer than the time between two probes.
const BLOCKED_TTL_MS: i64 = 2 * PROBE_DELAY_MAX_MS;
/// Age that older observations count as, in ms.
const AGE_MAX_MS: i64 = 2 * BLOCKED_TTL_MS;
/// Time from the last crash or probe of a blocked part to its first probe, in ms.
const PROBE_DELAY_MS: i64 = 10_000;
/// Factor by which this time grows with each probe.
const PROBE_DELAY_FACTOR: i64 = 6;
/// Longest time between two probes, in ms.
const PROBE_DELAY_MAX_MS: i64 = 3_600_000;
/// Number of probes after which the time between them no longer grows.
const PROBE_ROUNDS_MAX: u32 = 8;
/// Largest number of parts that are remembered as sound, in each of two generations.
const SOUND_PARTS_MAX: usize = 1024;

/// The crash of a worker while a request with a certain part was beginning.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Process of the worker that crashed.
    pub process: u64,
    /// Hash of the request's id.
    pub request: u64,
    /// Time of the crash, in ms of the monotonic clock; negative before the start of the process.
    pub at_ms: i64,
    /// Whether a response to a later request with the part has outlasted its beginning.
    pub is_cleared: bool,
}

/// What is known about a prompt part.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    // Sorted by process.
    crashes: Vec<Crash>,
    // Whether responses to requests with the part had outlasted their beginning before.
    was_sound: bool,
    // Largest index in the prompts.
    position: u32,
    probes: u32,
    probed_at_ms: Option<i64>,
}

/// A crash in a [`PartReport`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Process of the worker that crashed.
    pub process: u64,
    /// Hash of the request's id.
    pub request: u64,
    /// Time since the crash, in ms.
    pub age_ms: u64,
    /// Whether a response to a later request has outlasted its beginning.
    pub is_cleared: bool,
}

/// What an instance knows about a prompt part, for other instances and the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartReport {
    /// The part.
    pub part: PromptPart,
    /// Crashes during requests with the part.
    pub crashes: Vec<CrashReport>,
    /// Whether the part was in sound requests before the first crash.
    pub was_sound: bool,
    /// Largest index of the part in the prompts.
    pub position: u32,
    /// Number of probes.
    pub probes: u32,
    /// Time since the last probe, in ms; `None` if there was none.
    pub probe_age_ms: Option<u64>,
}

/// A crash during a request with a certain part, for comparing ledgers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CrashState {
    /// The part.
    pub part: PromptPart,
    /// Process of the worker that crashed.
    pub process: u64,
    /// Whether a response to a later request has outlasted its beginning.
    pub is_cleared: bool,
}

/// Effect of a response that has outlasted its beginning.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Survival {
    /// The parts were not suspected.
    Unsuspected,
    /// A part was cleared of a single crash.
    Cleared,
    /// A part that was blocked, or might soon have been, was cleared.
    Acquitted,
}

/// Parts that were recently in sound requests, in two generations, so that unused ones are forgotten.
#[derive(Clone, Debug, Default)]
struct SoundParts {
    current: Vec<PromptPart>,
    previous: Vec<PromptPart>,
}

impl SoundParts {
    fn insert(&mut self, part: PromptPart) {
        let Err(index) = self.current.binary_search(&part) else { return };
        if self.current.len() >= SOUND_PARTS_MAX {
            self.previous = std::mem::take(&mut self.current);
            self.current.push(part);
        } else {
            self.current.insert(index, part);
        }
    }

    fn contains(&self, part: PromptPart) -> bool {
        [&self.current, &self.previous].iter().any(|parts| parts.binary_search(&part).is_ok())
    }
}

/// All prompt parts that were in requests at the crash of a worker.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    parts: Table<PromptPart, Evidence>,
    // Sorted.
    blocked: Vec<PromptPart>,
    sound: SoundParts,
}

impl CrashLedger {
    /// Records that `process` of a worker crashed while the response to `request` was beginning; returns
    /// whether that was news.
    pub fn on_crash(
        &mut self,
        process: u64,
        request: &str,
        parts: &[PromptPart],
        now_ms: u64,
    ) -> bool {
        let request = hashing::stable_hash(&[request]);
        let crash = Crash { process, request, at_ms: now_ms as i64, is_cleared: false };
        let mut changed = false;
        for (part, position) in parts.iter().zip(0..) {
            let was_sound = self.sound.contains(*part);
            let evidence = self.parts.get_or_insert_with(*part, Evidence::default);
            evidence.was_sound |= was_sound;
            evidence.position = evidence.position.max(position);
            changed |= evidence.add(crash);
            evidence.clear_older();
        }
        self.bound(now_ms);
        changed
    }

    /// Records that the response to a request with `parts` has outlasted its beginning at `began_ms`.
    pub fn on_survival(&mut self, parts: &[PromptPart], began_ms: u64, now_ms: u64) -> Survival {
        let mut effect = Survival::Unsuspected;
        for part in parts {
            self.sound.insert(*part);
            let Some(evidence) = self.parts.get_mut(part) else { continue };
            let open_before = evidence.open_crashes().count();
            if evidence.clear_before(began_ms as i64) {
                let near_block = open_before > 1 || self.blocked.binary_search(part).is_ok();
                effect =
                    effect.max(if near_block { Survival::Acquitted } else { Survival::Cleared });
            }
        }
        if effect != Survival::Unsuspected {
            self.refresh(now_ms);
        }
        effect
    }

    /// Merges the observations of another instance; returns whether any of them was news.
    pub fn merge(&mut self, reports: &[PartReport], now_ms: u64) -> bool {
        let mut changed = false;
        for report in reports.iter().take(PARTS_MAX) {
            let was_sound = report.was_sound || self.sound.contains(report.part);
            let evidence = self.parts.get_or_insert_with(report.part, Evidence::default);
            changed |= evidence.merge(report, now_ms as i64);
            changed |= was_sound && !evidence.was_sound;
            evidence.was_sound |= was_sound;
        }
        self.bound(now_ms);
        changed
    }

    /// Returns all observations.
    pub fn reports(&self, now_ms: u64) -> Vec<PartReport> {
        let age_ms = |at_ms: i64| (now_ms as i64 - at_ms).max(0) as u64;
        let rows = self.parts.iter().map(|(part, evidence)| PartReport {
            part: *part,
            crashes: evidence
                .crashes
                .iter()
                .map(|crash| CrashReport {
                    process: crash.process,
                    request: crash.request,
                    age_ms: age_ms(crash.at_ms),
                    is_cleared: crash.is_cleared,
                })
                .collect(),
            was_sound: evidence.was_sound,
            position: evidence.position,
            probes: evidence.probes,
            probe_age_ms: evidence.probed_at_ms.map(age_ms),
        });
        rows.collect()
    }

    /// Returns a hash of all observations, which does not depend on the time; 0 without any.
    pub fn digest(&self) -> u64 {
        if self.parts.is_empty() {
            return 0;
        }
        let rows = self.parts.iter().map(|(part, evidence)| {
            let crashes = evidence.crashes.iter();
            let crashes = crashes.map(|crash| format!("{:x}{}", crash.process, crash.is_cleared));
            let crashes = crashes.collect::<Vec<_>>().join(" ");
            let Evidence { was_sound, position, probes, .. } = evidence;
            format!("{part} {was_sound} {position} {probes} {crashes}")
        });
        hashing::stable_hash(&[&rows.collect::<Vec<_>>().join(",")])
    }

    /// Returns a hash of the blocked parts and their probes; 0 if none is blocked.
    pub fn blocked_digest(&self) -> u64 {
        if self.blocked.is_empty() {
            return 0;
        }
        let probes = |part: &PromptPart| self.parts.get(part).map_or(0, |one| one.probes);
        let rows = self.blocked.iter().map(|part| format!("{part} {}", probes(part)));
        hashing::stable_hash(&[&rows.collect::<Vec<_>>().join(",")])
    }

    /// Returns all crashes, sorted.
    pub fn crash_states(&self) -> Vec<CrashState> {
        let states = self.parts.iter().flat_map(|(part, evidence)| {
            evidence.crashes.iter().map(|crash| CrashState {
                part: *part,
                process: crash.process,
                is_cleared: crash.is_cleared,
            })
        });
        states.collect()
    }

    /// Returns whether `stored`, which is sorted, lacks a crash that counts against a part, or has one of which
    /// the part is cleared.
    pub fn has_news_for(&self, stored: &[CrashState]) -> bool {
        self.crash_states().iter().any(|state| {
            let opposite = CrashState { is_cleared: !state.is_cleared, ..*state };
            let is_stored = stored.binary_search(state).is_ok();
            let is_opposite_stored = stored.binary_search(&opposite).is_ok();
            !is_stored && is_opposite_stored == state.is_cleared
        })
    }

    /// Returns the blocked parts, sorted.
    pub fn blocked(&self) -> &[PromptPart] {
        &self.blocked
    }

    /// Returns those of `parts` that are blocked.
    pub fn blocked_among(&self, parts: &[PromptPart]) -> Vec<PromptPart> {
        if self.blocked.is_empty() {
            return Vec::new();
        }
        let is_blocked = |part: &&PromptPart| self.blocked.binary_search(part).is_ok();
        parts.iter().filter(is_blocked).copied().collect()
    }

    /// Returns the time since the crash of `process` during a request with `part`, in ms; `None` if no such
    /// crash is known.
    pub fn crash_age_ms(&self, part: PromptPart, process: u64, now_ms: u64) -> Option<u64> {
        let crashes = &self.parts.get(&part)?.crashes;
        let index = crashes.binary_search_by_key(&process, |crash| crash.process).ok()?;
        Some((now_ms as i64 - crashes[index].at_ms).max(0) as u64)
    }

    /// Returns the process that a worker runs now, for the one that its record tells. If crashes of that one are
    /// known, it is a successor whose record has not been read yet, so that its own crash is another one.
    pub fn current_process(&self, recorded: u64) -> u64 {
        let mut process = recorded;
        while self.has_crashed(process) {
            process = hashing::stable_hash(&[&process.to_string(), "successor"]);
        }
        process
    }

    fn has_crashed(&self, process: u64) -> bool {
        let has_crash = |evidence: &Evidence| {
            evidence.crashes.binary_search_by_key(&process, |crash| crash.process).is_ok()
        };
        self.parts.values().any(has_crash)
    }

    /// Returns whether there are no observations.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the number of parts with crashes of which they are not cleared.
    pub fn suspected_count(&self) -> usize {
        self.parts.values().filter(|one| one.open_crashes().next().is_some()).count()
    }

    /// Returns the time until a request with `part` may be tried again, in ms; 0 if it is due.
    pub fn probe_due_in_ms(&self, part: PromptPart, now_ms: u64) -> u64 {
        let due_at_ms = self.parts.get(&part).map_or(0, Evidence::probe_at_ms);
        (due_at_ms - now_ms as i64).max(0) as u64
    }

    /// Records that a request with `part` is about to be tried again.
    pub fn start_probe(&mut self, part: PromptPart, now_ms: u64) {
        if let Some(evidence) = self.parts.get_mut(&part) {
            evidence.probes = (evidence.probes + 1).min(PROBE_ROUNDS_MAX);
            evidence.probed_at_ms = Some(now_ms as i64);
        }
    }

    /// Forgets outdated observations and updates the blocked parts.
    pub fn refresh(&mut self, now_ms: u64) {
        let now_ms = now_ms as i64;
        let is_newer = |evidence: &Evidence, ttl_ms: i64| {
            evidence.last_event_ms().is_some_and(|at_ms| now_ms - at_ms < ttl_ms)
        };
        self.parts.retain(|_, evidence| is_newer(evidence, BLOCKED_TTL_MS));
        // The shorter time holds for parts that are not blocked, so the verdict comes first: an instance
        // that has just started learns of blocked parts whose last crash is old.
        self.blocked = blocked_parts(&self.parts, now_ms);
        let blocked = &self.blocked;
        self.parts.retain(|part, evidence| {
            blocked.binary_search(part).is_ok() || is_newer(evidence, EVIDENCE_TTL_MS)
        });
    }

    /// Drops the parts with the fewest crashes beyond the bound, among equal ones those with the older
    /// last crash: a part that crashes workers comes back soon. The order depends only on merged
    /// observations, so that instances drop the same ones.
    fn bound(&mut self, now_ms: u64) {
        if self.parts.len() > PARTS_MAX {
            let weight = |one: &Evidence| (one.open_crashes().count(), one.last_crash_ms());
            let mut order: Vec<_> =
                self.parts.iter().map(|(part, one)| (weight(one), *part)).collect();
            order.sort_unstable_by(|a, b| b.cmp(a));
            for (_, part) in &order[PARTS_MAX..] {
                self.parts.remove(part);
            }
        }
        self.refresh(now_ms);
    }
}

impl Evidence {
    /// Returns the crashes of which the part is not cleared.
    pub fn open_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.is_cleared)
    }

    /// Returns whether the part was in sound requests before.
    pub fn was_sound(&self) -> bool {
        self.was_sound
    }

    /// Returns the largest index of the part in the prompts.
    pub fn position(&self) -> u32 {
        self.position
    }

    fn add(&mut self, crash: Crash) -> bool {
        match self.crashes.binary_search_by_key(&crash.process, |known| known.process) {
            Ok(index) => {
                let known = &mut self.crashes[index];
                let news = crash.is_cleared && !known.is_cleared;
                known.is_cleared |= crash.is_cleared;
                // Delays only make a report look newer than it is.
                known.at_ms = known.at_ms.min(crash.at_ms);
                news
            }
            Err(index) => {
                self.crashes.insert(index, crash);
                if self.crashes.len() <= CRASHES_MAX {
                    return true;
                }
                let age_order = |crash: &Crash| (crash.at_ms, crash.process);
                let dropped = self.crashes.iter().map(age_order).min();
                self.crashes.retain(|crash| Some(age_order(crash)) != dropped);
                dropped != Some(age_order(&crash))
            }
        }
    }

    /// Clears the crashes that are older than a cleared one: the response that cleared that one began
    /// after all of them.
    fn clear_older(&mut self) {
        let cleared = self.crashes.iter().filter(|crash| crash.is_cleared);
        if let Some(newest_ms) = cleared.map(|crash| crash.at_ms).max() {
            self.clear_before(newest_ms);
        }
    }

    fn clear_before(&mut self, began_ms: i64) -> bool {
        let open = self.crashes.iter_mut().filter(|one| !one.is_cleared && one.at_ms < began_ms);
        let mut cleared = false;
        for crash in open {
            crash.is_cleared = true;
            cleared = true;
        }
        cleared
    }

    fn merge(&mut self, report: &PartReport, now_ms: i64) -> bool {
        let at_ms = |age_ms: u64| {
            now_ms - i64::try_from(age_ms).map_or(AGE_MAX_MS, |age| age.min(AGE_MAX_MS))
        };
        let mut changed = false;
        for crash in report.crashes.iter().take(CRASHES_MAX) {
            let CrashReport { process, request, is_cleared, .. } = *crash;
            changed |= self.add(Crash { process, request, at_ms: at_ms(crash.age_ms), is_cleared });
        }
        self.clear_older();
        if report.position > self.position {
            self.position = report.position;
            changed = true;
        }
        let probes = report.probes.min(PROBE_ROUNDS_MAX);
        if probes > self.probes {
            self.probes = probes;
            changed = true;
        }
        self.probed_at_ms = self.probed_at_ms.max(report.probe_age_ms.map(at_ms));
        changed
    }

    fn last_crash_ms(&self) -> Option<i64> {
        self.crashes.iter().map(|crash| crash.at_ms).max()
    }

    fn last_event_ms(&self) -> Option<i64> {
        self.last_crash_ms().max(self.probed_at_ms)
    }

    fn probe_at_ms(&self) -> i64 {
        let delay_ms =
            PROBE_DELAY_MS.saturating_mul(PROBE_DELAY_FACTOR.saturating_pow(self.probes));
        self.last_event_ms().unwrap_or(0) + delay_ms.min(PROBE_DELAY_MAX_MS)
    }
}
