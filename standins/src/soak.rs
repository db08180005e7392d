//! A randomized fault test: several processes of the real binary run between stand-ins for callers,
//! workers and the store, faults are injected from outside, and the guarantees are checked against
//! what callers and workers observed.

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
use crate::soak::plan::Fault;
use crate::soak::plan::Step;
use crate::soak::plan::plan;
use crate::soak::site::Site;

/// Time under load before the first fault.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time after the end of the last fault within which the deployment has to recover; half of
/// `RecoveryS`.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(6);
/// Time under load after recovery, in which every request has to be served.
const VERIFICATION_TIME: Duration = Duration::from_secs(2);
/// Pause between checks of the clock and of the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Callers per instance.
const CALLERS_PER_INSTANCE: usize = 2;

/// Command line of the soak.
#[derive(Debug, Options)]
pub struct SoakOptions {
    /// print help
    pub help: bool,
    /// binary of lovageridge; by default the one in the folder of this program
    #[options(no_short, meta = "FILE")]
    pub binary: Option<PathBuf>,
    /// first seed; taken from the clock by default
    #[options(no_short, meta = "N")]
    pub seed: Option<u64>,
    /// number of seeds
    #[options(no_short, meta = "N", default = "50")]
    pub seeds: u64,
    /// gateway instances of a deployment
    #[options(no_short, meta = "N", default = "6")]
    pub instances: usize,
    /// seeds to run in parallel
    #[options(no_short, meta = "N", default = "3")]
    pub jobs: usize,
    /// folder for the logs of seeds that violate a guarantee
    #[options(no_short, meta = "DIR")]
    pub keep: Option<PathBuf>,
}

/// Number of requests by the way they ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ends {
    /// Complete responses with status 200.
    pub served: usize,
    /// Refusals, which say that the request has not run.
    pub refused: usize,
    /// Complete responses with any other status.
    pub failed: usize,
    /// Truncated responses, and connections that ended without a response.
    pub broken: usize,
    /// Requests whose caller disconnected early.
    pub left: usize,
}

/// Result of one seed.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Seed that the plan of faults was derived from.
    pub seed: u64,
    /// Number of steps in the plan.
    pub steps: usize,
    /// Number of requests that callers sent.
    pub requests: usize,
    /// Requests by the way they ended.
    pub ends: Ends,
    /// Violations of guarantees; empty for a successful run.
    pub violations: Vec<Violation>,
    /// Complete log of each instance, in the order of the instances.
    pub logs: Vec<String>,
}

/// Runs the seeds and prints the result of each.
///
/// # Errors
/// Fails when the binary is not found or a seed did not run or violated a guarantee.
pub fn run_seeds(options: &SoakOptions) -> Result<(), anyhow::Error> {
    let binary = measure::binary(options.binary.clone())?;
    let first_seed = options.seed.unwrap_or_else(lovageridge::clock::unix_ms);
    let next_seed = AtomicU64::new(first_seed);
    let violating_seeds = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..options.jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= first_seed + options.seeds {
                        return;
                    }
                    if !run_and_report(&binary, seed, options) {
                        lock(&violating_seeds).push(seed);
                    }
                }
            });
        }
    });
    let violating_seeds = lock(&violating_seeds);
    println!(
        "{} seeds from {first_seed}: {} with a violated guarantee",
        options.seeds,
        violating_seeds.len()
    );
    anyhow::ensure!(
        violating_seeds.is_empty(),
        "guarantees violated with the seeds {violating_seeds:?}"
    );
    Ok(())
}

/// Runs a seed and prints its result; returns whether all guarantees held.
fn run_and_report(binary: &Path, seed: u64, options: &SoakOptions) -> bool {
    let outcome = match run_seed(binary, seed, options.instances) {
        Ok(outcome) => outcome,
        Err(error) => {
            println!("seed {seed}: {error:#}");
            return false;
        }
    };
    let guarantees_kept = outcome.violations.is_empty();
    let verdict = if guarantees_kept { "kept" } else { "BROKEN" };
    println!(
        "seed {seed}: {verdict}, {} steps, {} requests, {:?}",
        outcome.steps, outcome.requests, outcome.ends
    );
    for violation in &outcome.violations {
        println!("  {}: {}", violation.guarantee, violation.detail);
    }
    let folder = options.keep.as_ref().filter(|_| !guarantees_kept);
    if let Some(Err(error)) = folder.map(|folder| save_logs(folder, &outcome)) {
        println!("  the logs cannot be saved: {error:#}");
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
/// Fails when the deployment cannot be started, or one of its processes cannot be started again.
pub fn run_seed(binary: &Path, seed: u64, instances: usize) -> Result<Outcome, anyhow::Error> {
    let mut site = Site::start(binary, instances)?;
    let steps = plan(seed, site.size());
    let load = LoadGenerator {
        ports: site.ports(),
        requests: Mutex::default(),
        probed_version: Mutex::new(None),
        sends_crashing_part: AtomicBool::new(false),
        stopped: AtomicBool::new(false),
        seed,
    };
    let recovered = thread::scope(|scope| {
        for number in 0..instances * CALLERS_PER_INSTANCE {
            let load = &load;
            scope.spawn(move || load.run_caller(number));
        }
        let result = apply_steps(&mut site, &steps, &load);
        load.stopped.store(true, Ordering::Relaxed);
        result
    })?;
    let sent = std::mem::take(&mut *lock(&load.requests));
    let logs = site.logs();
    let ends = count_ends(&sent);
    let observed = Observations {
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
    let violations = find_violations(&observed);
    Ok(Outcome {
        seed,
        steps: steps.len(),
        requests: observed.requests.len(),
        ends,
        violations,
        logs,
    })
}

/// Applies the steps at their times; returns the time from which every request has to be served.
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
    for (at_ms, starts, step) in due {
        wait_until(site, start + Duration::from_millis(at_ms))?;
        if step.fault == Fault::CrashingPart {
            load.sends_crashing_part.store(starts, Ordering::Relaxed);
        }
        if starts {
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
        site.follow_crashed_workers();
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

fn count_ends(sent: &[SentRequest]) -> Ends {
    let mut ends = Ends::default();
    for request in sent {
        let count = match &request.end {
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

/// Returns the ids of requests that an instance failed without a worker's response and that are
/// missing from its log.
fn find_unlogged_failures(sent: &[SentRequest], logs: &[String]) -> Vec<String> {
    let failed = sent.iter().filter(|request| {
        matches!(request.end, RequestEnd::Answered { status_code: 400.., receipt: None, .. })
    });
    let missing = failed.filter(|request| !logs[request.instance].contains(&request.id));
    missing.map(|request| request.id.clone()).collect()
}
