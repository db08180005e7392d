//! Replays keep-alive policies on the placement core's own idle-time history, in virtual time.
//!
//! Requests of many models follow a Zipf popularity with models that wake and fall idle; a load
//! takes the store's time with its pace. Cold starts and idle accelerator time are counted for the
//! product's policy and two baselines: a fixed keep-alive with least-recently-used eviction, and
//! no keep-alive.

pub mod workload;

use gumdrop::Options;
use lovageridge::document::Config;
use lovageridge::document::Model;
use lovageridge::document::parse;
use lovageridge::placement::keep_alive::IdleTimes;
use lovageridge::placement::keep_alive::KeepAliveCost;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::replay::workload::Request;
use crate::replay::workload::Workload;
use crate::scenario::load::percentile;

/// Keep-alive of the fixed baseline, in ms.
const FIXED_KEEP_MS: u64 = 600_000;
/// Accelerators of one worker.
const WORKER_ACCELERATORS: u64 = 2;
/// Time of a request on a resident model, in ms.
const SERVICE_MS: u64 = 900;
/// Time at the start of a run that is not counted, in ms.
const WARM_UP_MS: u64 = 4 * 3_600_000;
/// Seed of the choice of workers.
const HOST_SEED: u64 = 7;
/// Length of a run, in ms.
pub const RUN_MS: u64 = 28 * 3_600_000;

/// Arguments of the replay.
#[derive(Debug, Options)]
pub struct ReplayOptions {
    /// print help
    pub help: bool,
    /// seed of the random numbers
    #[options(no_short, meta = "N", default = "1")]
    pub seed: u64,
    /// host memory of each worker for copies of checkpoints, in MB
    #[options(no_short, meta = "MB", default = "96000")]
    pub host_mb: u64,
}

/// A keep-alive policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Fixed keep-alive of 10 minutes, least recently used first.
    Fixed,
    /// The same, but loads go where a copy of the checkpoint is.
    FixedNear,
    /// No keep-alive.
    None,
    /// The product's: from each model's own idle times, by the document's weight.
    Own,
}

/// What a deployment has.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Configuration with its models.
    pub config: Config,
    /// Accelerators of all engines, each of which holds this many MB.
    pub accelerators: u64,
    /// Memory of one accelerator, in MB.
    pub accelerator_mb: u64,
    /// Host memory of each worker for copies of checkpoints, in MB.
    pub host_mb: u64,
    /// Requests per hour.
    pub requests_per_h: u64,
}

/// Returns the two deployments of the samples.
///
/// # Errors
/// Returns an error when a sample has faults.
pub fn deployments(host_mb: u64) -> Result<Vec<Deployment>, anyhow::Error> {
    Ok(vec![
        Deployment {
            name: "sohar",
            config: sample(include_str!("../../samples/sohar.ini"))?,
            accelerators: 24,
            accelerator_mb: 40_000,
            host_mb,
            requests_per_h: 2400,
        },
        Deployment {
            name: "sicilia",
            config: sample(include_str!("../../samples/sicilia.ini"))?,
            accelerators: 18,
            accelerator_mb: 40_000,
            host_mb,
            requests_per_h: 1200,
        },
    ])
}

fn sample(text: &str) -> Result<Config, anyhow::Error> {
    let fail = |faults| anyhow::anyhow!("the sample has faults: {faults:?}");
    let sections = parse::split(text).map_err(fail)?;
    let bodies = sections.iter().map(|(name, body)| (name.as_str(), body.as_str()));
    parse::read(1, bodies).map_err(fail)
}

/// State of one model in a replay.
#[derive(Clone, Debug, Default)]
struct ModelState {
    resident_until_ms: u64,
    ready_ms: u64,
    last_end_ms: u64,
    keep_ms: u64,
    idle_times: IdleTimes,
    /// Worker that held the model last.
    worker: Option<usize>,
}

/// Host memory of one worker: copies of checkpoints, the one used longest ago first.
#[derive(Clone, Debug, Default)]
struct Host {
    copies: Vec<(usize, u64)>,
}

impl Host {
    fn has(&self, model: usize) -> bool {
        self.copies.iter().any(|(at, _)| *at == model)
    }

    fn keep(&mut self, model: usize, size_mb: u64, host_mb: u64) {
        self.copies.retain(|(at, _)| *at != model);
        self.copies.push((model, size_mb));
        while self.copies.iter().map(|(_, mb)| mb).sum::<u64>() > host_mb {
            self.copies.remove(0);
        }
    }
}

/// Result of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Requests counted.
    pub requests: u64,
    /// Requests that found their model cold or loading.
    pub cold: u64,
    /// Median wait of all requests, in ms.
    pub p50_ms: u64,
    /// 99th percentile of the wait over all requests, in ms.
    pub p99_ms: u64,
    /// 99th percentile of the wait of cold requests, in ms.
    pub cold_p99_ms: u64,
    /// 99th percentile of a cold request's wait over its model's load time, in percent.
    pub cold_over_bound_p99_pct: u64,
    /// Accelerator time that held models without requests, in hours.
    pub idle_h: f64,
}

/// Replay in progress.
struct Replay<'a> {
    deployment: &'a Deployment,
    policy: Policy,
    weight_pct: u64,
    models: Vec<ModelState>,
    pooled: IdleTimes,
    hosts: Vec<Host>,
    rng: SmallRng,
    store_free_ms: Vec<u64>,
    last_start_ms: u64,
    waits: Vec<u64>,
    cold_waits: Vec<u64>,
    over_bound: Vec<u64>,
    idle_ms: u64,
}

/// Replays `workload` on `deployment` under `policy`.
pub fn run(
    deployment: &Deployment,
    workload: &Workload,
    policy: Policy,
    weight_pct: u64,
) -> Outcome {
    let slots = deployment.config.venture.store_slots as usize;
    let mut replay = Replay {
        deployment,
        policy,
        weight_pct,
        models: vec![ModelState::default(); deployment.config.models.len()],
        pooled: IdleTimes::default(),
        hosts: vec![Host::default(); (deployment.accelerators / WORKER_ACCELERATORS) as usize],
        rng: SmallRng::seed_from_u64(HOST_SEED),
        store_free_ms: vec![0; slots],
        last_start_ms: 0,
        waits: Vec::new(),
        cold_waits: Vec::new(),
        over_bound: Vec::new(),
        idle_ms: 0,
    };
    for request in workload.requests() {
        replay.serve(request);
    }
    replay.finish()
}

impl Replay<'_> {
    fn serve(&mut self, request: &Request) {
        let now_ms = request.at_ms;
        let model = self.deployment.config.models.values().nth(request.model);
        let Some(model) = model.cloned() else { return };
        let counted = now_ms >= WARM_UP_MS;
        let state = &self.models[request.model];
        let was_used = state.last_end_ms > 0;
        let idle_from_ms = state.last_end_ms;
        let resident = was_used && now_ms < state.resident_until_ms.max(state.last_end_ms);
        if was_used && now_ms > idle_from_ms {
            let idle_end_ms = now_ms.min(state.resident_until_ms.max(idle_from_ms));
            self.count_idle(idle_from_ms, idle_end_ms, model.accelerators);
            let idle_ms = now_ms - idle_from_ms;
            self.models[request.model].idle_times.observe(idle_ms);
            self.pooled.observe(idle_ms);
        }
        let ready_ms = if resident {
            self.models[request.model].ready_ms
        } else {
            let ready_ms = self.load(now_ms, request.model, &model);
            self.models[request.model].ready_ms = ready_ms;
            ready_ms
        };
        let wait_ms = ready_ms.saturating_sub(now_ms);
        if counted {
            self.waits.push(wait_ms);
            if wait_ms > 0 {
                self.cold_waits.push(wait_ms);
                self.over_bound.push(wait_ms * 100 / model.load_ms.max(1));
            }
        }
        let cached = self.models[request.model]
            .worker
            .is_some_and(|worker| self.hosts[worker].has(request.model));
        let cost = KeepAliveCost {
            load_ms: if cached { model.reload_ms } else { model.load_ms },
            accelerators: model.accelerators,
            cold_start_weight_pct: self.weight_pct,
            max_s: self.deployment.config.venture.keep_alive_max_s,
        };
        let state = &mut self.models[request.model];
        let end_ms = now_ms.max(ready_ms) + SERVICE_MS;
        state.last_end_ms = state.last_end_ms.max(end_ms);
        state.keep_ms = match self.policy {
            Policy::Fixed | Policy::FixedNear => FIXED_KEEP_MS,
            Policy::None => 0,
            Policy::Own => state.idle_times.keep_alive_ms(&self.pooled, cost),
        };
        state.resident_until_ms = state.last_end_ms + state.keep_ms;
        self.evict(request.model, now_ms);
    }

    /// Returns the time at which a load asked for at `now_ms` is done.
    ///
    /// The product loads where a copy of the checkpoint is, else where the least is kept; the
    /// baselines do not look at copies.
    fn load(&mut self, now_ms: u64, at: usize, model: &Model) -> u64 {
        let by_chance = self.rng.random_range(0..self.hosts.len());
        let with_copy = self.hosts.iter().position(|host| host.has(at));
        let roomy = (0..self.hosts.len()).min_by_key(|worker| self.hosts[*worker].copies.len());
        let worker = match self.policy {
            Policy::Own | Policy::FixedNear => with_copy.or(roomy).unwrap_or(by_chance),
            Policy::Fixed | Policy::None => by_chance,
        };
        let local = self.hosts[worker].has(at);
        self.hosts[worker].keep(at, model.size_mb, self.deployment.host_mb);
        self.models[at].worker = Some(worker);
        if local {
            return now_ms + model.reload_ms;
        }
        let gap_ms = 1000 / self.deployment.config.venture.store_loads_per_s.max(1);
        let Some(slot) = self.store_free_ms.iter_mut().min() else { return now_ms + model.load_ms };
        let start_ms = now_ms.max(*slot).max(self.last_start_ms + gap_ms);
        *slot = start_ms + model.load_ms;
        self.last_start_ms = start_ms;
        start_ms + model.load_ms
    }

    /// Evicts the model that is idle for longest while memory is short.
    fn evict(&mut self, keep: usize, now_ms: u64) {
        let models: Vec<_> = self.deployment.config.models.values().collect();
        let total_mb = self.deployment.accelerators * self.deployment.accelerator_mb;
        loop {
            let resident = |s: &ModelState| s.last_end_ms > 0 && s.resident_until_ms > now_ms;
            let used_mb: u64 = (0..models.len())
                .filter(|at| resident(&self.models[*at]))
                .map(|at| models[at].size_mb)
                .sum();
            if used_mb <= total_mb {
                return;
            }
            let victim = (0..models.len())
                .filter(|at| *at != keep && resident(&self.models[*at]))
                .filter(|at| self.models[*at].last_end_ms <= now_ms)
                .min_by_key(|at| self.models[*at].last_end_ms);
            let Some(victim) = victim else { return };
            self.models[victim].resident_until_ms = now_ms;
        }
    }

    fn count_idle(&mut self, from_ms: u64, to_ms: u64, accelerators: u64) {
        let from_ms = from_ms.max(WARM_UP_MS);
        self.idle_ms += to_ms.saturating_sub(from_ms) * accelerators;
    }

    fn finish(mut self) -> Outcome {
        let models: Vec<_> = self.deployment.config.models.values().cloned().collect();
        for (at, model) in models.iter().enumerate() {
            let state = &self.models[at];
            let (from_ms, to_ms) = (state.last_end_ms, state.resident_until_ms.min(RUN_MS));
            if from_ms > 0 && to_ms > from_ms {
                self.count_idle(from_ms, to_ms, model.accelerators);
            }
        }
        Outcome {
            requests: self.waits.len() as u64,
            cold: self.cold_waits.len() as u64,
            p50_ms: percentile(&mut self.waits, 50),
            p99_ms: percentile(&mut self.waits, 99),
            cold_p99_ms: percentile(&mut self.cold_waits, 99),
            cold_over_bound_p99_pct: percentile(&mut self.over_bound, 99),
            idle_h: self.idle_ms as f64 / 3_600_000.0,
        }
    }
}

/// Prints the replay of both deployments.
///
/// # Errors
/// Returns an error when a sample has faults.
pub fn print(options: &ReplayOptions) -> Result<(), anyhow::Error> {
    println!(
        "| deployment | policy | weight % | requests | cold | p99 ms | cold p99 ms | cold p99 / load % | idle h |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for deployment in deployments(options.host_mb)? {
        let workload = Workload::new(&deployment, options.seed);
        let own = deployment.config.venture.cold_start_weight_pct;
        let rows = [
            (Policy::Fixed, 0),
            (Policy::FixedNear, 0),
            (Policy::None, 0),
            (Policy::Own, 20),
            (Policy::Own, own),
            (Policy::Own, 90),
        ];
        for (policy, weight_pct) in rows {
            let o = run(&deployment, &workload, policy, weight_pct);
            println!(
                "| {} | {policy:?} | {weight_pct} | {} | {} | {} | {} | {} | {:.0} |",
                deployment.name,
                o.requests,
                o.cold,
                o.p99_ms,
                o.cold_p99_ms,
                o.cold_over_bound_p99_pct,
                o.idle_h
            );
        }
    }
    Ok(())
}
