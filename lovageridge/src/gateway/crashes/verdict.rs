//! Decides which prompt parts are blocked.

use std::cmp::Reverse;

use crate::gateway::crashes::Crash;
use crate::gateway::crashes::Evidence;
use crate::gateway::message_fields::PromptPart;
use crate::sorted::Table;

/// Crashes at which a part is blocked.
const CRASHES_MIN: usize = 3;
/// The same for a part that was in sound requests before. Parts that share their requests with the
/// cause of the crashes are mostly such parts.
const CRASHES_MIN_IF_SOUND: usize = 5;
/// Number of these crashes that may also be explained by another blocked part: requests with both parts may
/// begin at the same worker.
const EXPLAINED_MAX: usize = 1;
/// Time from the first of these crashes within which sound requests with such a part would have
/// shown, in ms.
const OBSERVATION_MS: i64 = 1000;
/// Least number of different requests among the crashes.
const REQUESTS_MIN: usize = 2;
/// Crashes within this time of each other may have a common cause and count once, in ms.
const EPISODE_MS: i64 = 100;

struct Suspect<'a> {
    part: PromptPart,
    was_sound: bool,
    position: u32,
    // In order of time.
    crashes: Vec<&'a Crash>,
}

impl Suspect<'_> {
    /// Order in which suspects are considered: those with more evidence first, among equal ones those
    /// further back in the prompts, since fewer requests share them.
    fn rank(&self) -> (bool, Reverse<usize>, Reverse<u32>) {
        (self.was_sound, Reverse(self.crashes.len()), Reverse(self.position))
    }

    /// Returns whether the part is to be blocked; `crashes` are in order of time, and `explained` are the
    /// processes whose crashes other blocked parts explain.
    fn is_blocked(&self, explained: &[u64], now_ms: i64) -> bool {
        let open = self.crashes.iter().filter(|one| explained.binary_search(&one.process).is_err());
        let open: Vec<&Crash> = open.copied().collect();
        let Some(first) = open.first() else { return false };
        let observed = !self.was_sound || now_ms >= first.at_ms + OBSERVATION_MS;
        let min = if self.was_sound { CRASHES_MIN_IF_SOUND } else { CRASHES_MIN };
        observed
            && episodes(&self.crashes) >= min
            && episodes(&open) >= min - EXPLAINED_MAX
            && request_count(&open) >= REQUESTS_MIN
    }
}

/// Returns the parts to block, sorted.
///
/// Crashes that a blocked part explains do not count against the other parts of the same requests, but for one.
/// If the wrong one of two parts with the same crashes is blocked, the next crash tells them apart.
pub fn blocked_parts(parts: &Table<PromptPart, Evidence>, now_ms: i64) -> Vec<PromptPart> {
    let suspects = parts.iter().map(|(part, evidence)| {
        let mut crashes: Vec<&Crash> = evidence.open_crashes().collect();
        crashes.sort_unstable_by_key(|crash| crash.at_ms);
        let (was_sound, position) = (evidence.was_sound(), evidence.position());
        Suspect { part: *part, was_sound, position, crashes }
    });
    let mut suspects: Vec<Suspect<'_>> =
        suspects.filter(|one| one.crashes.len() >= CRASHES_MIN).collect();
    suspects.sort_by_key(Suspect::rank);
    let mut blocked = Vec::new();
    let mut explained: Vec<u64> = Vec::new();
    for suspect in &suspects {
        if suspect.is_blocked(&explained, now_ms) {
            explained.extend(suspect.crashes.iter().map(|crash| crash.process));
            explained.sort_unstable();
            blocked.push(suspect.part);
        }
    }
    blocked.sort_unstable();
    blocked
}

/// Counts crashes, those close to each other in time once; `crashes` are in order of time.
fn episodes(crashes: &[&Crash]) -> usize {
    let mut count = 0;
    let mut counted_ms: Option<i64> = None;
    for crash in crashes {
        if counted_ms.is_none_or(|at_ms| crash.at_ms >= at_ms + EPISODE_MS) {
            counted_ms = Some(crash.at_ms);
            count += 1;
        }
    }
    count
}

fn request_count(crashes: &[&Crash]) -> usize {
    let mut requests: Vec<u64> = crashes.iter().map(|crash| crash.request).collect();
    requests.sort_unstable();
    requests.dedup();
    requests.len()
}
