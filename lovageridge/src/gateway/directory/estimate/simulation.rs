//! Simulation of 62 instances that choose among the workers of one model, or of a plain service, by reports as old as
//! in a deployment.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::gateway::directory::Directory;
use crate::gateway::directory::Worker;
use crate::gateway::directory::WorkerRecord;
use crate::gateway::directory::choose::Requirements;
use crate::gateway::directory::choose::choose;
use crate::gateway::directory::choose::choose_even;
use crate::gateway::directory::tests::record;
use crate::gateway::message_fields::ReportedLoad;
use crate::gateway::peers::FleetStatus;
use crate::gateway::peers::WorkerLoad;
use crate::gateway::peers::tag;
use crate::hashing;

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const INSTANCES: usize = 62;
const RUN_MS: u64 = 40_000;
/// Time after which the results count, in ms.
const WARM_UP_MS: u64 = 10_000;
/// Length of the spells in which a machine is slower, and the share of the time that they take.
const SPELL_MS: u64 = 600;
const SPELL_SHARE: f64 = 0.15;
const SPELL_FACTOR: f64 = 2.5;

/// How a worker is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// As without accounts and stated paces.
    Present,
    /// The same among this number of random workers.
    Random(usize),
    /// The same among this number of workers, always the same ones for an instance.
    Subset(usize),
    /// The even choice.
    Even,
}

/// The workers, their requests and what is known of them.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub workers: usize,
    pub slots: usize,
    pub work_ms: (u64, u64),
    /// Work before the first byte, in ms; `None` for requests without a model, which respond at their end.
    pub first_work_ms: Option<f64>,
    pub objective_ms: u64,
    pub utilization: f64,
    /// Whether a third of the workers has the speed 1.7, the others 0.7, and each is slower for spells.
    pub uneven: bool,
    pub states_pace: bool,
    pub lead_silent: bool,
    pub idle_max_ms: u64,
}

/// Numbers of requests, and the sum over all samples of the busiest worker's load relative to the mean.
#[derive(Debug, Default)]
pub struct Outcome {
    pub arrived: u32,
    pub refused: u32,
    pub opened: u32,
    pub late: u32,
    pub spread: f64,
    pub samples: u32,
}

struct Job {
    instance: usize,
    arrived_ms: u64,
    work_ms: f64,
    done_ms: f64,
}

#[derive(Default)]
struct Engine {
    // The running jobs, up to the number of slots, then the waiting ones.
    jobs: Vec<Job>,
    spell_until_ms: u64,
}

#[derive(Clone)]
struct Instance {
    directory: Directory,
    // Times until which the idle connections to each worker are kept, in ms.
    idle: Vec<Vec<u64>>,
    reported: Vec<u32>,
}

fn name(number: usize) -> String {
    format!("w{number:02}")
}

struct Simulation<'a> {
    setup: &'a Setup,
    policy: Policy,
    rng: StdRng,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
}

impl Setup {
    fn speed(&self, number: usize) -> f64 {
        if self.uneven { [1.7, 0.7, 0.7][number % 3] } else { 1.0 }
    }

    fn arrivals_per_ms(&self) -> f64 {
        let spells = if self.uneven { 1.0 + SPELL_SHARE * (SPELL_FACTOR - 1.0) } else { 1.0 };
        let speeds: f64 = (0..self.workers).map(|number| self.speed(number)).sum();
        let work_ms = (self.work_ms.0 + self.work_ms.1) as f64 / 2.0;
        self.utilization * speeds / spells * self.slots as f64 / work_ms
    }
}

impl<'a> Simulation<'a> {
    fn new(setup: &'a Setup, policy: Policy, seed: u64) -> Self {
        let mut directory = Directory::default();
        for number in 0..setup.workers {
            let worker = record(&name(number), DOMAINS[number % 3], &["m"]);
            directory.on_record(WorkerRecord { slots: setup.slots as u32, ..worker }, 0);
        }
        let (idle, reported) = (vec![Vec::new(); setup.workers], vec![0; setup.workers]);
        let instances = vec![Instance { directory, idle, reported }; INSTANCES];
        let engines = (0..setup.workers).map(|_| Engine::default()).collect();
        Self { setup, policy, rng: StdRng::seed_from_u64(seed), engines, instances }
    }

    /// Returns the worker for a request of instance `at`, unless it is refused.
    fn pick(&mut self, at: usize, now_ms: u64) -> Option<usize> {
        let Self { setup, policy, rng, instances, .. } = self;
        let Instance { directory, idle, .. } = &instances[at];
        let number = |id: &str| id[1..].parse::<usize>().expect("a number");
        let mut ranked: Vec<usize> = (0..setup.workers).collect();
        let count = match policy {
            Policy::Random(count) | Policy::Subset(count) => *count,
            Policy::Present | Policy::Even => setup.workers,
        };
        ranked.sort_by_cached_key(|worker| match policy {
            Policy::Random(_) => rng.random::<u64>(),
            _ => hashing::stable_hash(&[&at.to_string(), &name(*worker)]),
        });
        let tried: Vec<String> = ranked[count..].iter().map(|worker| name(*worker)).collect();
        let needs = Requirements {
            service: "engine",
            model: setup.first_work_ms.map(|_| "m"),
            adapter: None,
            domain: DOMAINS[at % 3],
            tried: &tried,
            skip_avoided: true,
        };
        let limit_ms = setup.objective_ms;
        let queue_limit_ms = needs.model.map(|_| limit_ms);
        let (worker, load) = if *policy == Policy::Even {
            let first_until_ms = |worker: &Worker| idle[number(&worker.record.id)].first();
            let idle_ms =
                |worker: &Worker| first_until_ms(worker).map(|until_ms| until_ms - now_ms);
            let choice = choose_even(directory, &needs, now_ms, idle_ms, || rng.random());
            let choice = choice.expect("a worker").within(directory, queue_limit_ms, now_ms);
            (choice.chosen.worker, choice.chosen.requests())
        } else {
            let mut worker = choose(directory, &needs, now_ms, || rng.random()).expect("a worker");
            if queue_limit_ms.is_some_and(|limit| directory.wait_at_ms(worker, now_ms) > limit) {
                worker = directory.first_to_begin(&needs, now_ms).expect("a worker").0;
            }
            (worker, worker.load_estimate(now_ms))
        };
        let share = directory.admitted_share_with_load(worker, load, limit_ms, now_ms);
        (rng.random::<f64>() < share).then(|| number(&worker.record.id))
    }

    /// Advances worker `number` by 1 ms; returns the number of late responses that began.
    fn advance(&mut self, number: usize, now_ms: u64) -> u32 {
        let (setup, engine, id) = (self.setup, &mut self.engines[number], name(number));
        let begins = SPELL_SHARE / (1.0 - SPELL_SHARE) / SPELL_MS as f64;
        if setup.uneven && now_ms >= engine.spell_until_ms && self.rng.random::<f64>() < begins {
            engine.spell_until_ms = now_ms + SPELL_MS;
        }
        let spell = if now_ms < engine.spell_until_ms { SPELL_FACTOR } else { 1.0 };
        let running = engine.jobs.len().min(setup.slots);
        let pace_pct = setup.states_pace.then_some((spell * 100.0) as u32);
        let waiting = (engine.jobs.len() - running) as u32;
        let load = ReportedLoad { running: running as u32, waiting, pace_pct };
        let mut late = 0;
        for job in &mut engine.jobs[..running] {
            let before_ms = job.done_ms;
            job.done_ms += setup.speed(number) / spell;
            let first_ms = setup.first_work_ms.unwrap_or(job.work_ms);
            let Instance { directory, idle, .. } = &mut self.instances[job.instance];
            let took_ms = now_ms - job.arrived_ms;
            if before_ms < first_ms && job.done_ms >= first_ms {
                directory.on_response_load(&id, load, now_ms);
                directory.get_mut(&id).expect("known").health.on_response(took_ms, now_ms);
                late += u32::from(took_ms > setup.objective_ms);
            }
            if job.done_ms >= job.work_ms {
                let worker = directory.get_mut(&id).expect("known");
                worker.on_done(None);
                worker.left_places.on_done(now_ms);
                if setup.first_work_ms.is_some() || (setup.states_pace && waiting == 0) {
                    directory.on_ended_at(&id, took_ms);
                    directory.on_ended("engine", took_ms);
                }
                idle[number].push(now_ms + setup.idle_max_ms);
            }
        }
        engine.jobs.retain(|job| job.done_ms < job.work_ms);
        late
    }

    fn report(&mut self, now_ms: u64) {
        for (at, own) in self.instances.iter_mut().enumerate() {
            if (now_ms + at as u64 * 37).is_multiple_of(500) {
                own.reported = own.directory.iter().map(|worker| worker.in_flight).collect();
            }
        }
        if now_ms.is_multiple_of(300) && !self.setup.lead_silent {
            let sum = |number: usize| self.instances.iter().map(|own| own.reported[number]).sum();
            let load = |at: usize| WorkerLoad { worker: tag(&[&name(at)]), running: sum(at) };
            let mut loads: Vec<WorkerLoad> = (0..self.setup.workers).map(load).collect();
            loads.sort_by_key(|load| load.worker);
            let status = FleetStatus { loads, delayed_models: Vec::new() };
            self.instances.iter_mut().for_each(|own| own.directory.on_status(&status, now_ms));
        }
    }
}

/// Runs the simulation and adds its results to `outcome`.
pub fn run(setup: &Setup, policy: Policy, seed: u64, outcome: &mut Outcome) {
    let mut simulation = Simulation::new(setup, policy, seed);
    for now_ms in 0..RUN_MS {
        let counted = u32::from(now_ms >= WARM_UP_MS);
        let late: u32 = (0..setup.workers).map(|number| simulation.advance(number, now_ms)).sum();
        outcome.late += counted * late;
        simulation.report(now_ms);
        let loads: Vec<usize> = simulation.engines.iter().map(|engine| engine.jobs.len()).collect();
        let sum: usize = loads.iter().sum();
        if counted == 1 && now_ms.is_multiple_of(50) && sum > 0 {
            let busiest = loads.into_iter().max().unwrap_or(0);
            outcome.spread += (busiest * setup.workers) as f64 / sum as f64;
            outcome.samples += 1;
        }
        if simulation.rng.random::<f64>() >= setup.arrivals_per_ms() {
            continue;
        }
        let instance = simulation.rng.random_range(0..INSTANCES);
        let idle = &mut simulation.instances[instance].idle;
        idle.iter_mut().for_each(|idle| idle.retain(|until_ms| now_ms < *until_ms));
        outcome.arrived += counted;
        let Some(number) = simulation.pick(instance, now_ms) else {
            outcome.refused += counted;
            continue;
        };
        let Instance { directory, idle, .. } = &mut simulation.instances[instance];
        let worker = directory.get_mut(&name(number)).expect("known");
        worker.on_sent(None);
        worker.left_places.on_sent();
        let reused = idle[number].len().min(1);
        idle[number].drain(..reused);
        outcome.opened += counted * (1 - reused as u32);
        let work_ms = simulation.rng.random_range(setup.work_ms.0..=setup.work_ms.1) as f64;
        let job = Job { instance, arrived_ms: now_ms, work_ms, done_ms: 0.0 };
        simulation.engines[number].jobs.push(job);
    }
}
