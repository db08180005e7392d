//! A randomized soak: the real binary as many processes between stand-ins, faults from outside, and
//! the promises checked against what callers and workers see.

pub mod callers;
pub mod check;
pub mod plan;
pub mod site;

#[cfg(test)]
mod tests;

use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use gumdrop::Options;
use lovageridge::context::lock;

use crate::measure;
use crate::soak::callers::LoadGenerator;
use crate::soak::callers::RequestEnd;
use crate::soak::callers::SentRequest;
use crate::soak::check::Observations;
use crate::soak::check::Violation;
use crate::soak::check::find_violations;
use crate::soak::plan::Step;
use crate::soak::plan::plan;
use crate::soak::site::Site;

/// Load before the first fault.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time after the last fault after which everything has to be served again: half of `RecoveryS`.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which it is watched that everything is served again.
const VERIFICATION_TIME: Duration = Duration::from_secs(2);
/// Rhythm of the looks at time and processes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Callers for each instance.
const CALLERS_PER_INSTANCE: usize = 2;

/// Options of the soak.
#[derive(Debug, Options)]
pub struct SoakOptions {
    /// print help
    pub help: bool,
    /// binary of lovageridge; the one beside this program by default
    #[options(no_short, meta = "FILE")]
    pub binary: Option<PathBuf>,
    /// first seed; from the time of day by default
    #[options(no_short, meta = "N")]
    pub seed: Option<u64>,
    /// number of seeds
    #[options(no_short, meta = "N", default = "50")]
    pub seeds: u64,
    /// gateway instances of a deployment
    #[options(no_short, meta = "N", default = "6")]
    pub instances: usize,
    /// seeds run side by side
    #[options(no_short, meta = "N", default = "3")]
    pub jobs: usize,
    /// folder that keeps the logs of seeds that break a promise
    #[options(no_short, meta = "DIR")]
    pub keep: Option<PathBuf>,
}

/// Requests by how they ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ends {
    /// With a whole success.
    pub served: usize,
    /// With the word that they have not run.
    pub refused: usize,
    /// With another failure.
    pub failed: usize,
    /// Broken off in the answer or before.
    pub broken: usize,
    /// Their caller left.
    pub left: usize,
}

/// What came of a seed.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Seed.
    pub seed: u64,
    /// Steps that were played.
    pub steps: usize,
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests by how they ended.
    pub ends: Ends,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Logs of the instances.
    pub logs: Vec<String>,
}

/// Runs the seeds and prints what came of each.
///
/// # Errors
/// Returns what could not be started, or that a promise was broken.
pub fn run_seeds(options: &SoakOptions) -> Result<(), anyhow::Error> {
    let binary = measure::binary(options.binary.clone())?;
    let first_seed = options.seed.unwrap_or_else(lovageridge::clock::unix_ms);
    let next_seed = AtomicU64::new(first_seed);
    let broken = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..options.jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= first_seed + options.seeds {
                        return;
                    }
                    if !run_and_report(&binary, seed, options) {
                        lock(&broken).push(seed);
                    }
                }
            });
        }
    });
    let broken = lock(&broken);
    println!("{} seeds from {first_seed}: {} with a broken promise", options.seeds, broken.len());
    anyhow::ensure!(broken.is_empty(), "promises broken with the seeds {broken:?}");
    Ok(())
}

/// Runs a seed and prints what came of it; tells whether all promises were kept.
fn run_and_report(binary: &Path, seed: u64, options: &SoakOptions) -> bool {
    let outcome = match run_seed(binary, seed, options.instances) {
        Ok(outcome) => outcome,
        Err(error) => {
            println!("seed {seed}: {error:#}");
            return false;
        }
    };
    let guarantees_kept = outcome.violations.is_empty();
    let word = if guarantees_kept { "kept" } else { "BROKEN" };
    println!(
        "seed {seed}: {word}, {} steps, {} requests, {:?}",
        outcome.steps, outcome.requests, outcome.ends
    );
    for breach in &outcome.violations {
        println!("  {}: {}", breach.guarantee, breach.detail);
    }
    let folder = options.keep.as_ref().filter(|_| !guarantees_kept);
    if let Some(Err(error)) = folder.map(|folder| save_logs(folder, &outcome)) {
        println!("  its logs cannot be kept: {error:#}");
    }
    guarantees_kept
}

fn save_logs(folder: &Path, outcome: &Outcome) -> Result<(), anyhow::Error> {
    std::fs::create_dir_all(folder)?;
    for (at, log) in outcome.logs.iter().enumerate() {
        std::fs::write(folder.join(format!("seed-{}-edge-{at}.log", outcome.seed)), log)?;
    }
    Ok(())
}

/// Runs one seed against `instances` processes of `binary`.
///
/// # Errors
/// Returns what could not be started.
pub fn run_seed(binary: &Path, seed: u64, instances: usize) -> Result<Outcome, anyhow::Error> {
    let mut site = Site::start(binary, instances)?;
    let steps = plan(seed, site.size());
    let load = LoadGenerator {
        ports: site.ports(),
        requests: Mutex::default(),
        probed_version: Mutex::new(None),
        stopped: AtomicBool::new(false),
        seed,
    };
    let recovered = thread::scope(|scope| {
        for number in 0..instances * CALLERS_PER_INSTANCE {
            let load = &load;
            scope.spawn(move || load.run_caller(number));
        }
        let played = apply_steps(&mut site, &steps, &load);
        load.stopped.store(true, Ordering::Relaxed);
        played
    })?;
    let sent = std::mem::take(&mut *lock(&load.requests));
    let logs = site.logs();
    let ends = count_ends(&sent);
    let seen = Observations {
        workers: site.worker_observations(),
        fault_periods: std::mem::take(&mut site.fault_periods),
        config_versions: std::mem::take(&mut site.config_versions),
        instance_starts: std::mem::take(&mut site.instance_starts),
        unexpected_exits: std::mem::take(&mut site.unexpected_exits),
        unlogged_failures: find_unlogged_failures(&sent, &logs),
        recovery_deadline: Some(recovered),
        requests: sent,
    };
    site.close();
    let found = find_violations(&seen);
    Ok(Outcome {
        seed,
        steps: steps.len(),
        requests: seen.requests.len(),
        ends,
        violations: found,
        logs,
    })
}

/// Plays the steps; returns the time from which everything has to be served again.
fn apply_steps(
    site: &mut Site,
    steps: &[Step],
    load: &LoadGenerator,
) -> Result<Instant, anyhow::Error> {
    let mut due: Vec<(u64, bool, &Step)> = Vec::new();
    for step in steps {
        due.push((step.start_ms, true, step));
        due.push((step.start_ms + step.duration_ms, false, step));
    }
    due.sort_by_key(|(at_ms, _, _)| *at_ms);
    let start = Instant::now() + WARM_UP;
    for (at_ms, begins, step) in due {
        wait_until(site, start + Duration::from_millis(at_ms))?;
        if begins {
            site.begin_fault(step)?;
            *lock(&load.probed_version) = site.config_versions.last().map(|(version, _)| *version);
        } else {
            site.end_fault(step)?;
        }
    }
    let recovered = Instant::now() + RECOVERY_TIMEOUT;
    wait_until(site, recovered + VERIFICATION_TIME)?;
    Ok(recovered)
}

fn wait_until(site: &mut Site, time: Instant) -> Result<(), anyhow::Error> {
    while Instant::now() < time {
        site.restart_exited_instances()?;
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

fn count_ends(sent: &[SentRequest]) -> Ends {
    let mut ends = Ends::default();
    for one in sent {
        let count = match &one.end {
            RequestEnd::Answered { status_code: 200, complete: true, .. } => &mut ends.served,
            RequestEnd::Answered { status_code: 408 | 421 | 429 | 503, .. } => &mut ends.refused,
            RequestEnd::Answered { complete: true, .. } => &mut ends.failed,
            RequestEnd::Answered { .. } | RequestEnd::Unanswered => &mut ends.broken,
            RequestEnd::CallerDisconnected => &mut ends.left,
        };
        *count += 1;
    }
    ends
}

/// Returns the requests that an instance failed by itself and that no log names.
fn find_unlogged_failures(sent: &[SentRequest], logs: &[String]) -> Vec<String> {
    let failed = sent.iter().filter(|one| {
        matches!(one.end, RequestEnd::Answered { status_code: 400.., receipt: None, .. })
    });
    let missing = failed.filter(|one| !logs[one.instance].contains(&one.id));
    missing.map(|one| one.id.clone()).collect()
}
