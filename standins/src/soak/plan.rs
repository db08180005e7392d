//! Derives from a seed which faults occur, when and for how long. Does no I/O, so that a seed always
//! gives the same plan.

use std::ops::RangeInclusive;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::platform::deployment::GRACE_S;
use crate::platform::store::Behavior as StoreBehavior;
use crate::platform::worker::Behavior as WorkerBehavior;
use crate::relay::Mode;

/// Time within which faults begin, in ms after the warm-up.
pub const FAULT_WINDOW_MS: u64 = 12_000;
/// Range of the duration of a fault, in ms; the longest is beyond the lease and the time for which an
/// instance uses the state that it read last.
const FAULT_DURATION_MS: RangeInclusive<u64> = 300..=4_000;
/// Time after which a process that was asked to stop is started again, in ms: its grace period and
/// some time to exit.
const STOP_TIME_MS: u64 = GRACE_S * 1000 + 500;
/// Mean time between the steps of a series, in ms.
const SERIES_GAP_MS: u64 = 700;
/// Range of the number of series in a plan.
const SERIES_COUNT: RangeInclusive<usize> = 6..=14;
/// Maximum number of steps in a series.
const MAX_SERIES_STEPS: usize = 4;
/// One seed in this many has only planned work.
const PLANNED_ONLY_EVERY: u64 = 4;
/// Kinds of series, planned work first. A kind that is listed several times is chosen more often.
/// `WorkerBehavior` is, since it has many forms, each of which only shows in requests that reach the
/// worker while it is active.
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
/// Number of kinds at the start of `FAULT_KINDS` that are planned work.
const PLANNED_KIND_COUNT: usize = 4;
/// Changes a seed to the one from which faults that depend on requests are derived.
const REQUEST_FAULTS_SEED: u64 = 0x9e37_79b9_7f4a_7c15;
/// Duration of these faults, in ms: their guarantees have a time limit of 3 s, and one of them counts requests
/// in 4 s.
const REQUEST_FAULT_MS: u64 = 9_000;
/// Largest number of workers of a plan that limit their requests.
const MAX_LIMITS: usize = 4;
/// Requests in 10 s that such a worker takes.
const LIMITS_PER_10_S: [u32; 5] = [3, 10, 20, 45, 100];
/// Number of complete events after which a worker ends a stream in the middle of the next one.
const INTERRUPT_AFTER_EVENTS: u64 = 4;

/// Kind that all steps of a series have.
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

/// Size of the deployment that a plan is made for.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSize {
    /// Number of gateway instances.
    pub instances: usize,
    /// Number of workers; plain workers have the lower indices.
    pub workers: usize,
}

/// A fault or planned work. Numbers are indices of instances or workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An instance is asked to stop, and started again after it has exited.
    Terminate(usize),
    /// An instance gets SIGHUP, so that it reads its settings again.
    ReloadSettings(usize),
    /// The operator writes a configuration that adds a route.
    Configure,
    /// A worker leaves and is replaced by a new one with another id.
    ReplaceWorker(usize),
    /// An instance is killed and later started again.
    Kill(usize),
    /// An instance is suspended and later resumed.
    Pause(usize),
    /// The connections of an instance to the store fail as the mode says.
    StoreLink(usize, Mode),
    /// The connections of callers to an instance fail as the mode says.
    CallerLink(usize, Mode),
    /// The connections of all instances to a worker fail as the mode says.
    WorkerLink(usize, Mode),
    /// A worker responds incorrectly.
    WorkerBehavior(usize, WorkerBehavior),
    /// A worker crashes and later starts again with the same id and no models loaded.
    CrashWorker(usize),
    /// The store responds incorrectly.
    Store(StoreBehavior),
    /// The store drops all records but the newest of each key.
    TruncateHistory,
    /// The store is unavailable, and the workers' records expire during that time.
    ExpireWorkers,
    /// Some requests have a prompt part that crashes each worker that begins to respond to it.
    CrashingPart,
    /// A worker states how many requests it takes in 10 s from all instances together.
    LimitWorker(usize, u32),
}

impl Fault {
    /// Returns whether this is planned work, during which no request may be lost.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Terminate(_) | Self::ReloadSettings(_) | Self::Configure | Self::ReplaceWorker(_)
        )
    }
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Step {
    /// Start, in ms after the warm-up.
    pub start_ms: u64,
    /// Time until the fault is removed, in ms.
    pub duration_ms: u64,
    /// Fault or planned work.
    pub fault: Fault,
}

/// Returns the steps of a seed, ordered by their start.
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
    if !planned_only {
        add_request_faults(&mut steps, seed, sizes);
    }
    steps.sort_by_key(|step| step.start_ms);
    steps
}

/// Adds faults that depend on requests. They have a random number generator of their own, so that the other
/// steps of a seed stay the same.
fn add_request_faults(steps: &mut Vec<Step>, seed: u64, sizes: DeploymentSize) {
    let mut rng = StdRng::seed_from_u64(seed ^ REQUEST_FAULTS_SEED);
    let mut add = |fault, start_ms| {
        steps.push(Step { start_ms, duration_ms: REQUEST_FAULT_MS, fault });
    };
    if rng.random_bool(0.5) {
        add(Fault::CrashingPart, rng.random_range(0..FAULT_WINDOW_MS / 2));
    }
    for _ in 0..rng.random_range(0..=MAX_LIMITS) {
        let worker = rng.random_range(0..sizes.workers);
        let limit = LIMITS_PER_10_S[rng.random_range(0..LIMITS_PER_10_S.len())];
        add(Fault::LimitWorker(worker, limit), rng.random_range(0..FAULT_WINDOW_MS));
    }
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

fn random_worker_behavior(rng: &mut StdRng) -> WorkerBehavior {
    let behaviors = [
        WorkerBehavior::Unresponsive,
        WorkerBehavior::Reset,
        WorkerBehavior::InterruptAfter(INTERRUPT_AFTER_EVENTS),
        WorkerBehavior::ServerError,
        WorkerBehavior::Overloaded,
        WorkerBehavior::DuplicateResponse,
        WorkerBehavior::WrongId,
        WorkerBehavior::MissingReceipt,
    ];
    behaviors[rng.random_range(0..behaviors.len())]
}

fn random_store_behavior(rng: &mut StdRng) -> StoreBehavior {
    let behaviors = [
        StoreBehavior::Unavailable,
        StoreBehavior::Unresponsive,
        StoreBehavior::LoseWriteResponses,
    ];
    behaviors[rng.random_range(0..behaviors.len())]
}
