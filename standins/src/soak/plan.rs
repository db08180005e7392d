//! The faults of a seed: which, when, for how long. Pure, so that a seed always gives the same plan.

use std::ops::RangeInclusive;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::platform::deployment::GRACE_S;
use crate::platform::store::Behavior as StoreManner;
use crate::platform::worker::Behavior as WorkerManner;
use crate::relay::Mode;

/// Time in which faults begin, in ms after the start of the load.
pub const FAULT_WINDOW_MS: u64 = 12_000;
/// Shortest and longest time that a fault lasts, in ms; the longest is beyond the lease and the
/// time for which an instance relies on what it read last.
const FAULT_DURATION_MS: RangeInclusive<u64> = 300..=4_000;
/// Time for which a stopped process may run on before it is started again, in ms: the time to stop,
/// and a little for its end.
const STOP_TIME_MS: u64 = GRACE_S * 1000 + 500;
/// Time between the steps of a series, in ms.
const SERIES_GAP_MS: u64 = 700;
/// Least and greatest number of series of a seed.
const SERIES_COUNT: RangeInclusive<usize> = 6..=14;
/// Steps of one series at most.
const MAX_SERIES_STEPS: usize = 4;
/// One seed in this many has planned work only.
const PLANNED_ONLY_EVERY: u64 = 4;
/// Kinds of series, planned work first. Workers that answer wrongly stand several times, since there
/// are many ways to do so and each is noticed only by requests that meet it.
const FAULT_KINDS: [FaultKind; 20] = [
    FaultKind::Terminate,
    FaultKind::ReloadSettings,
    FaultKind::Configure,
    FaultKind::ReplaceWorker,
    FaultKind::Kill,
    FaultKind::Pause,
    FaultKind::StoreLink,
    FaultKind::StoreLink,
    FaultKind::CallerLink,
    FaultKind::WorkerLink,
    FaultKind::WorkerLink,
    FaultKind::WorkerBehavior,
    FaultKind::WorkerBehavior,
    FaultKind::WorkerBehavior,
    FaultKind::WorkerBehavior,
    FaultKind::CrashWorker,
    FaultKind::CrashWorker,
    FaultKind::Store,
    FaultKind::TruncateHistory,
    FaultKind::ExpireWorkers,
];
/// Number of them that are planned work.
const PLANNED_KIND_COUNT: usize = 4;
/// Event in whose middle a worker breaks a stream off.
const INTERRUPT_AFTER_EVENTS: u64 = 4;

/// Kind of the steps of a series.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FaultKind {
    Terminate,
    ReloadSettings,
    Configure,
    ReplaceWorker,
    Kill,
    Pause,
    StoreLink,
    CallerLink,
    WorkerLink,
    WorkerBehavior,
    CrashWorker,
    Store,
    TruncateHistory,
    ExpireWorkers,
}

/// Numbers of what can fail.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSize {
    /// Gateway instances.
    pub instances: usize,
    /// Workers, plain ones first.
    pub workers: usize,
}

/// A fault or a piece of planned work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An instance is asked to stop, and started again after its end.
    Terminate(usize),
    /// An instance is told to look at its settings.
    ReloadSettings(usize),
    /// The operator writes a configuration that adds a route.
    Configure,
    /// A worker leaves, and another one comes in its place.
    ReplaceWorker(usize),
    /// An instance is killed, and started again.
    Kill(usize),
    /// An instance does not run.
    Pause(usize),
    /// The connections of an instance to the store are harmed.
    StoreLink(usize, Mode),
    /// The connections of callers to an instance are harmed.
    CallerLink(usize, Mode),
    /// The connections of all instances to a worker are harmed.
    WorkerLink(usize, Mode),
    /// A worker answers wrongly.
    WorkerBehavior(usize, WorkerManner),
    /// A worker crashes and starts again under its id, empty.
    CrashWorker(usize),
    /// The store answers wrongly.
    Store(StoreManner),
    /// The store forgets its history.
    TruncateHistory,
    /// The store is away, and the workers' records lapse meanwhile.
    ExpireWorkers,
}

impl Fault {
    /// Tells whether it is planned work, around which no request may be lost.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Terminate(_) | Self::ReloadSettings(_) | Self::Configure | Self::ReplaceWorker(_)
        )
    }
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Step {
    /// Start, in ms after the start of the load.
    pub start_ms: u64,
    /// Time until it is taken back, in ms.
    pub duration_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// Returns the steps of a seed in the order of their start.
pub fn plan(seed: u64, sizes: DeploymentSize) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let planned_only = seed.is_multiple_of(PLANNED_ONLY_EVERY);
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(SERIES_COUNT) {
        let kinds =
            if planned_only { &FAULT_KINDS[..PLANNED_KIND_COUNT] } else { &FAULT_KINDS[..] };
        let kind = kinds[rng.random_range(0..kinds.len())];
        let mut at_ms = rng.random_range(0..FAULT_WINDOW_MS);
        for _ in 0..rng.random_range(1..=MAX_SERIES_STEPS) {
            let fault = random_fault(&mut rng, kind, sizes);
            let for_ms = match fault {
                Fault::Terminate(_) | Fault::ReplaceWorker(_) => STOP_TIME_MS,
                _ => rng.random_range(FAULT_DURATION_MS),
            };
            steps.push(Step { start_ms: at_ms.min(FAULT_WINDOW_MS), duration_ms: for_ms, fault });
            at_ms += rng.random_range(0..2 * SERIES_GAP_MS);
        }
    }
    steps.sort_by_key(|step| step.start_ms);
    steps
}

fn random_fault(rng: &mut StdRng, kind: FaultKind, sizes: DeploymentSize) -> Fault {
    let instance = rng.random_range(0..sizes.instances);
    let worker = rng.random_range(0..sizes.workers);
    match kind {
        FaultKind::Terminate => Fault::Terminate(instance),
        FaultKind::ReloadSettings => Fault::ReloadSettings(instance),
        FaultKind::Configure => Fault::Configure,
        FaultKind::ReplaceWorker => Fault::ReplaceWorker(worker),
        FaultKind::Kill => Fault::Kill(instance),
        FaultKind::Pause => Fault::Pause(instance),
        FaultKind::StoreLink => Fault::StoreLink(instance, random_link_mode(rng)),
        FaultKind::CallerLink => Fault::CallerLink(instance, random_link_mode(rng)),
        FaultKind::WorkerLink => Fault::WorkerLink(worker, random_link_mode(rng)),
        FaultKind::WorkerBehavior => Fault::WorkerBehavior(worker, random_worker_behavior(rng)),
        FaultKind::CrashWorker => Fault::CrashWorker(worker),
        FaultKind::Store => Fault::Store(random_store_behavior(rng)),
        FaultKind::TruncateHistory => Fault::TruncateHistory,
        FaultKind::ExpireWorkers => Fault::ExpireWorkers,
    }
}

fn random_link_mode(rng: &mut StdRng) -> Mode {
    let modes =
        [Mode::Reset, Mode::Silent, Mode::LoseAnswers, Mode::Hold, Mode::HoldAnswers, Mode::Slow];
    modes[rng.random_range(0..modes.len())]
}

fn random_worker_behavior(rng: &mut StdRng) -> WorkerManner {
    let manners = [
        WorkerManner::Unresponsive,
        WorkerManner::Reset,
        WorkerManner::InterruptAfter(INTERRUPT_AFTER_EVENTS),
        WorkerManner::ServerError,
        WorkerManner::Overloaded,
        WorkerManner::DuplicateResponse,
        WorkerManner::WrongId,
        WorkerManner::MissingReceipt,
    ];
    manners[rng.random_range(0..manners.len())]
}

fn random_store_behavior(rng: &mut StdRng) -> StoreManner {
    let manners =
        [StoreManner::Unavailable, StoreManner::Unresponsive, StoreManner::LoseWriteResponses];
    manners[rng.random_range(0..manners.len())]
}
