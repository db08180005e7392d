//! Tests of the crash ledger and of the decision which parts are blocked.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use test_case::test_case;

use super::*;

const BAD: PromptPart = PromptPart(1);
const FIRST: PromptPart = PromptPart(2);
const CALLER: PromptPart = PromptPart(3);
/// Time between crashes, in ms.
const GAP_MS: u64 = 700;

/// Records `count` crashes of different workers, each with the parts, from `start_ms` on.
fn crash(ledger: &mut CrashLedger, parts: &[PromptPart], count: u64, start_ms: u64) -> u64 {
    let mut now_ms = start_ms;
    for number in 0..count {
        now_ms = start_ms + number * GAP_MS;
        let worker = start_ms + number;
        ledger.on_crash(worker, &format!("r{worker}"), parts, now_ms);
    }
    now_ms
}

#[test]
fn a_part_is_blocked_at_its_third_crash() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, &[BAD], 2, 1000);
    assert!(ledger.blocked().is_empty());
    crash(&mut ledger, &[BAD], 1, 5000);
    assert_eq!(ledger.blocked(), [BAD]);
    assert_eq!(ledger.blocked_among(&[FIRST, BAD]), [BAD]);
}

/// Guards against blocking the parts that sound requests share with those that crash workers.
#[test]
fn parts_of_sound_requests_are_not_blocked_with_the_cause() {
    let mut ledger = CrashLedger::default();
    for round in 0..20 {
        let at_ms = 1000 + round * GAP_MS;
        ledger.on_crash(round, &format!("r{round}"), &[FIRST, CALLER, BAD], at_ms);
        ledger.on_survival(&[FIRST], at_ms + 20, at_ms + 20 + SURVIVAL_MS);
        assert!(ledger.blocked().iter().all(|part| *part == BAD), "round {round}");
        if round % 2 == 0 {
            ledger.on_survival(&[FIRST, CALLER], at_ms + 50, at_ms + 50 + SURVIVAL_MS);
        }
    }
    assert_eq!(ledger.blocked(), [BAD]);
}

/// Guards against blocking a frequent part because many workers ended at the same moment.
#[test]
fn crashes_at_the_same_moment_count_once() {
    let mut ledger = CrashLedger::default();
    for worker in 0..40 {
        ledger.on_crash(worker, &format!("r{worker}"), &[FIRST], 1000 + worker % 5);
    }
    ledger.refresh(60_000);
    assert!(ledger.blocked().is_empty());
}

#[test]
fn one_request_alone_does_not_block_its_parts() {
    let mut ledger = CrashLedger::default();
    for worker in 0..4 {
        ledger.on_crash(worker, "the same", &[BAD], 1000 + worker * GAP_MS);
    }
    assert!(ledger.blocked().is_empty());
}

/// Guards against a part that was sound before and is not blocked once it crashes workers.
#[test]
fn a_part_that_was_sound_is_blocked_by_the_fifth_crash() {
    let mut ledger = CrashLedger::default();
    ledger.on_survival(&[BAD], 100, 400);
    crash(&mut ledger, &[BAD], 4, 1000);
    assert!(ledger.blocked().is_empty());
    crash(&mut ledger, &[BAD], 1, 6000);
    assert_eq!(ledger.blocked(), [BAD]);
}

#[test]
fn a_response_that_began_before_a_crash_clears_nothing() {
    let mut ledger = CrashLedger::default();
    let last_ms = crash(&mut ledger, &[BAD], 3, 1000);
    assert_eq!(ledger.on_survival(&[BAD], 990, last_ms + 10), Survival::Unsuspected);
    assert_eq!(ledger.blocked(), [BAD]);
    assert_eq!(ledger.on_survival(&[BAD], last_ms + 1, last_ms + 500), Survival::Acquitted);
    assert!(ledger.blocked().is_empty());
}

#[test]
fn several_bad_parts_are_blocked_independently() {
    let mut ledger = CrashLedger::default();
    let other = PromptPart(9);
    for round in 0..3 {
        let at_ms = 1000 + round * GAP_MS;
        ledger.on_crash(round, &format!("a{round}"), &[FIRST, BAD], at_ms);
        ledger.on_crash(100 + round, &format!("b{round}"), &[FIRST, other], at_ms + 150);
        ledger.on_survival(&[FIRST], at_ms + 200, at_ms + 500);
    }
    assert_eq!(ledger.blocked(), [BAD, other]);
}

/// Guards against BUDGET with several bad parts: one that is blocked is sent again because requests with another
/// one were beginning at one of its crashes.
#[test]
fn bad_parts_that_share_a_crash_are_both_blocked() {
    for (part_of_shared, position) in [(&[FIRST, BAD][..], 0), (&[FIRST, CALLER, BAD][..], 1)] {
        let mut ledger = CrashLedger::default();
        let other = PromptPart(9);
        let last_ms = crash(&mut ledger, part_of_shared, 3, 1000);
        assert_eq!(ledger.blocked(), [BAD]);
        // The last of these workers had a request with the other part as well.
        let shared = 1000 + 2;
        ledger.on_crash(shared, "shared", &[FIRST, PromptPart(20 + position), other], last_ms);
        ledger.on_survival(&[FIRST, CALLER], last_ms + 20, last_ms + 300);
        crash(&mut ledger, &[FIRST, PromptPart(30), other], 1, 5000);
        assert_eq!(ledger.blocked(), [BAD]);
        crash(&mut ledger, &[FIRST, PromptPart(31), other], 1, 6000);
        assert_eq!(ledger.blocked(), [BAD, other]);
    }
}

/// Guards against a sound part that stays blocked because it was in the same requests as the cause.
#[test_case(&[CALLER, BAD], BAD; "the cause comes last")]
#[test_case(&[BAD, CALLER], CALLER; "the cause comes first")]
fn of_two_parts_with_the_same_crashes_the_next_crash_shows_the_cause(
    parts: &[PromptPart],
    expected: PromptPart,
) {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, parts, 3, 1000);
    assert_eq!(ledger.blocked(), [expected]);
    crash(&mut ledger, &[BAD], 1, 9000);
    assert_eq!(ledger.blocked(), [BAD]);
}

/// Guards against a part that crashes a worker every few minutes for as long as it is requested.
#[test]
fn three_probes_at_most_are_due_in_half_an_hour() {
    let mut ledger = CrashLedger::default();
    let blocked_ms = crash(&mut ledger, &[BAD], 3, 1000);
    let mut probes = 0;
    for now_ms in (blocked_ms..blocked_ms + 1_800_000).step_by(1000) {
        if ledger.probe_due_in_ms(BAD, now_ms) == 0 {
            ledger.start_probe(BAD, now_ms);
            ledger.on_crash(now_ms, &format!("p{now_ms}"), &[BAD], now_ms + 50);
            probes += 1;
        }
        ledger.refresh(now_ms);
        assert_eq!(ledger.blocked(), [BAD], "at {now_ms} ms");
    }
    assert_eq!(probes, 3);
}

#[test]
fn probes_are_due_after_growing_times_and_a_sound_one_unblocks() {
    let mut ledger = CrashLedger::default();
    let mut now_ms = crash(&mut ledger, &[BAD], 3, 1000);
    let mut delays_ms = Vec::new();
    for _ in 0..4 {
        let delay_ms = ledger.probe_due_in_ms(BAD, now_ms);
        delays_ms.push(delay_ms);
        now_ms += delay_ms;
        assert_eq!(ledger.probe_due_in_ms(BAD, now_ms), 0);
        ledger.start_probe(BAD, now_ms);
    }
    assert_eq!(delays_ms, [10_000, 60_000, 360_000, 2_160_000]);
    ledger.on_survival(&[BAD], now_ms + 50, now_ms + 400);
    assert!(ledger.blocked().is_empty());
}

#[test]
fn observations_are_forgotten_after_their_time() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, &[FIRST], 1, 1000);
    let last_ms = crash(&mut ledger, &[BAD], 3, 1000);
    ledger.refresh(last_ms + EVIDENCE_TTL_MS as u64 + 1);
    assert_eq!(ledger.parts.len(), 1);
    assert_eq!(ledger.blocked(), [BAD]);
    ledger.refresh(last_ms + BLOCKED_TTL_MS as u64 + 1);
    assert!(ledger.is_empty());
    assert_eq!(ledger.digest(), 0);
}

fn ledgers_after(
    seed: u64,
    count: usize,
    deliver: impl Fn(&mut StdRng) -> bool,
) -> Vec<CrashLedger> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut ledgers = vec![CrashLedger::default(); count];
    for round in 0..30_u64 {
        let now_ms = 1000 + round * GAP_MS;
        let at = rng.random_range(0..count);
        let caller = PromptPart(10 + rng.random_range(0..4));
        ledgers[at].on_crash(round, &format!("r{round}"), &[FIRST, caller, BAD], now_ms);
        let sound = rng.random_range(0..count);
        ledgers[sound].on_survival(&[FIRST, caller], now_ms + 10, now_ms + 300);
        let (from, to) = (rng.random_range(0..count), rng.random_range(0..count));
        if deliver(&mut rng) {
            let reports = ledgers[from].reports(now_ms + 300);
            ledgers[to].merge(&reports, now_ms + 300);
        }
    }
    ledgers
}

/// Guards against instances that know different things after messages were lost or came twice.
#[test]
fn ledgers_agree_once_all_have_exchanged_what_they_know() {
    for seed in 0..50 {
        let mut ledgers = ledgers_after(seed, 5, |rng| rng.random_bool(0.3));
        let now_ms = 60_000;
        for _ in 0..3 {
            for from in 0..ledgers.len() {
                let reports = ledgers[from].reports(now_ms);
                for ledger in &mut ledgers {
                    ledger.merge(&reports, now_ms);
                    ledger.merge(&reports, now_ms);
                }
            }
        }
        let digests: Vec<u64> = ledgers.iter().map(CrashLedger::digest).collect();
        assert!(digests.windows(2).all(|pair| pair[0] == pair[1]), "seed {seed}");
        assert!(ledgers.iter().all(|one| one.blocked() == [BAD]), "seed {seed}");
    }
}

/// Guards against forged or damaged reports that grow the ledger or block parts for ever.
#[test]
fn forged_reports_stay_within_the_bounds() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, &[BAD], 3, 1000);
    let forged = |part: u64, count: u64| PartReport {
        part: PromptPart(part),
        crashes: (0..count)
            .map(|worker| CrashReport {
                process: worker,
                request: worker,
                age_ms: 0,
                is_cleared: false,
            })
            .collect(),
        was_sound: false,
        position: 0,
        probes: u32::MAX,
        probe_age_ms: Some(u64::MAX),
    };
    let reports: Vec<PartReport> = (100..5000).map(|part| forged(part, 1)).collect();
    for chunk in reports.chunks(100) {
        ledger.merge(chunk, 4000);
    }
    ledger.merge(&[forged(50, 1000)], 4000);
    assert!(ledger.parts.len() <= PARTS_MAX);
    assert!(ledger.parts.values().all(|one| one.crashes.len() <= CRASHES_MAX));
    // An observed part is not displaced by forged ones with fewer crashes.
    assert!(ledger.blocked().contains(&BAD));
    assert!(ledger.probe_due_in_ms(PromptPart(50), 4000) <= PROBE_DELAY_MAX_MS as u64);
    ledger.refresh(4000 + BLOCKED_TTL_MS as u64 + 1);
    assert!(ledger.is_empty());
}

/// Guards against crashes that seem simultaneous to an instance that was frozen and then receives all
/// reports at once.
#[test]
fn reports_that_arrive_together_keep_their_distance_in_time() {
    let mut sender = CrashLedger::default();
    let mut resumed = CrashLedger::default();
    let mut messages = Vec::new();
    for worker in 0..3 {
        let now_ms = 1000 + worker * GAP_MS;
        sender.on_crash(worker, &format!("r{worker}"), &[BAD], now_ms);
        messages.push(sender.reports(now_ms));
    }
    for message in &messages {
        resumed.merge(message, 90_000);
    }
    assert_eq!(resumed.blocked(), [BAD]);
}

/// Guards against reports from a clock or a process that stood still: their ages only shorten.
#[test]
fn stale_reports_do_not_bring_back_a_cleared_crash() {
    let mut ledger = CrashLedger::default();
    let last_ms = crash(&mut ledger, &[BAD], 3, 1000);
    let stale = ledger.reports(last_ms);
    ledger.on_survival(&[BAD], last_ms + 10, last_ms + 400);
    assert!(ledger.blocked().is_empty());
    ledger.merge(&stale, last_ms + 20_000);
    assert!(ledger.blocked().is_empty());
}

/// Guards against forged ages that overflow and make an old crash look like a new one.
#[test_case(u64::MAX; "beyond the range of times")]
#[test_case(i64::MAX as u64; "at the end of the range of times")]
fn a_crash_of_any_age_stays_old(age_ms: u64) {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, &[BAD], 1, 1000);
    let mut forged = ledger.reports(1000);
    forged[0].crashes[0] = CrashReport { process: 7, request: 7, age_ms, is_cleared: false };
    ledger.merge(&forged, 2000);
    let reports = ledger.reports(9000);
    let known = reports[0].crashes.iter().find(|crash| crash.process == 7);
    assert!(known.is_some_and(|crash| crash.age_ms > BLOCKED_TTL_MS as u64), "{known:?}");
    ledger.refresh(1000 + BLOCKED_TTL_MS as u64);
    assert!(ledger.is_empty());
}

/// Guards against BUDGET at instances that start when a part has been blocked for some time, while its
/// probes are far apart.
#[test]
fn an_instance_that_learns_late_of_a_blocked_part_blocks_it() {
    let mut ledger = CrashLedger::default();
    let last_ms = crash(&mut ledger, &[BAD], 3, 1000);
    for late_ms in [EVIDENCE_TTL_MS as u64 + 1, BLOCKED_TTL_MS as u64 - 1] {
        ledger.refresh(last_ms + late_ms);
        let mut started = CrashLedger::default();
        started.merge(&ledger.reports(last_ms + late_ms), 5000);
        assert_eq!(started.blocked(), [BAD], "{late_ms} ms after the last crash");
    }
}

/// Records crashes of `workers` workers for other reasons, each with ten parts that no later request has.
fn crash_for_other_reasons(ledger: &mut CrashLedger, workers: u64, start_ms: u64) -> u64 {
    for worker in 0..workers {
        let number = start_ms * 1000 + worker * 10;
        let parts: Vec<PromptPart> = (number..number + 10).map(PromptPart).collect();
        ledger.on_crash(number, &format!("r{number}"), &parts, start_ms + worker * GAP_MS);
    }
    start_ms + workers * GAP_MS
}

/// Guards against BUDGET when many workers have crashed for other reasons: the parts of their requests
/// fill the ledger, and a part that crashes workers must displace them.
#[test]
fn a_part_is_blocked_at_its_third_crash_in_a_full_ledger() {
    let mut ledger = CrashLedger::default();
    let mut now_ms = crash_for_other_reasons(&mut ledger, 20, 1000);
    assert_eq!(ledger.parts.len(), PARTS_MAX);
    for _ in 0..3 {
        assert!(ledger.blocked().is_empty());
        crash(&mut ledger, &[BAD], 1, now_ms);
        now_ms = crash_for_other_reasons(&mut ledger, 2, now_ms + GAP_MS);
    }
    assert_eq!(ledger.blocked(), [BAD]);
}

/// Guards against instances that exchange full ledgers for ever because they keep different parts.
#[test]
fn full_ledgers_agree_after_an_exchange() {
    let mut ledgers = vec![CrashLedger::default(); 2];
    for (ledger, start_ms) in ledgers.iter_mut().zip([1000, 1150]) {
        crash_for_other_reasons(ledger, 20, start_ms);
    }
    for (from, to) in [(0, 1), (1, 0)] {
        let reports = ledgers[from].reports(60_000);
        ledgers[to].merge(&reports, 60_000);
    }
    assert_eq!(ledgers[0].parts.len(), PARTS_MAX);
    assert_eq!(ledgers[0].digest(), ledgers[1].digest());
}

/// Guards against crashes that are never stored, and against ledgers that are stored again without a change.
#[test]
fn a_ledger_has_news_until_its_crashes_are_stored_as_they_are() {
    let mut ledger = CrashLedger::default();
    assert!(!ledger.has_news_for(&[]));
    let last_ms = crash(&mut ledger, &[FIRST, BAD], 2, 1000);
    assert!(ledger.has_news_for(&[]));
    let stored = ledger.crash_states();
    assert!(!ledger.has_news_for(&stored));
    ledger.on_survival(&[FIRST], last_ms + 10, last_ms + 300);
    assert!(ledger.has_news_for(&stored));
    let cleared = ledger.crash_states();
    assert!(!ledger.has_news_for(&cleared));
    // An instance that knows less does not replace what is stored.
    let mut started = CrashLedger::default();
    started.on_crash(1000, "r1000", &[FIRST], 1000);
    assert!(!started.has_news_for(&cleared));
    // Crashes of which a part is cleared need not be stored.
    ledger.on_survival(&[BAD], last_ms + 10, last_ms + 300);
    assert!(!ledger.has_news_for(&[]));
}

/// Guards against crashes of one worker that count once because its restarts are not known yet (BUDGET).
#[test]
fn crashes_of_successors_of_the_recorded_process_count() {
    const RECORDED: u64 = 7;
    let (mut ledger, mut other) = (CrashLedger::default(), CrashLedger::default());
    for (round, at_ms) in [1000, 1000 + GAP_MS, 1000 + 2 * GAP_MS].into_iter().enumerate() {
        assert!(ledger.blocked().is_empty(), "round {round}");
        let process = ledger.current_process(RECORDED);
        // Another instance, which knows the same crashes, sees this one as well.
        assert_eq!(other.current_process(RECORDED), process);
        ledger.on_crash(process, &format!("a{round}"), &[BAD], at_ms);
        other.on_crash(process, &format!("b{round}"), &[BAD], at_ms + 5);
        other.merge(&ledger.reports(at_ms + 10), at_ms + 10);
    }
    assert_eq!((ledger.blocked(), other.blocked()), (&[BAD][..], &[BAD][..]));
    assert_eq!(ledger.crash_states(), other.crash_states());
    assert_eq!(ledger.current_process(RECORDED + 1), RECORDED + 1);
}
