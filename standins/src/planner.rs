//! Measures what the plan of a lead costs against workers, models and demand.
//!
//! A lead gets records of workers and reports of instances as in a deployment, with demand that moves, and
//! its orders are accepted. Times are those of the calls into the planner, without sockets.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use gumdrop::Options;
use lovageridge::gateway::catalog::Catalog;
use lovageridge::gateway::catalog::Engine;
use lovageridge::gateway::catalog::Limits;
use lovageridge::gateway::catalog::Model;
use lovageridge::gateway::catalog::Service;
use lovageridge::gateway::directory::LoadedModel;
use lovageridge::gateway::directory::WorkerRecord;
use lovageridge::gateway::fleet::Call;
use lovageridge::gateway::fleet::Fleet;
use lovageridge::gateway::orders::OrderOutcome;
use lovageridge::gateway::orders::WorkerReport;
use lovageridge::gateway::peers::Demand;
use lovageridge::gateway::peers::RunningRequests;
use lovageridge::gateway::peers::TargetUse;
use lovageridge::gateway::peers::WaitingTarget;
use lovageridge::sorted::Table;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Time between two ticks, in ms.
const TICK_MS: u64 = 15;
/// Simulated time of a measurement, in ms.
const RUN_MS: u64 = 15_000;
/// Time between the reports of an instance, in ms.
const REPORT_MS: u64 = 500;
/// Time between the records of a worker, in ms.
const RECORD_MS: u64 = 1200;
/// Time after which demand moves to other models, in ms.
const SHIFT_MS: u64 = 5000;
/// Models in the memory of a worker, and with a copy on its disk.
const HELD: usize = 3;
const CACHED: usize = 9;
/// Requests that an instance has in progress.
const RUNNING: usize = 10;
/// Busy models, which most requests are for.
const BUSY_MODELS: usize = 48;
const SERVICE: &str = "engine";

/// Options of the measurement.
#[derive(Debug, Options)]
pub struct PlannerOptions {
    /// print help
    help: bool,
    /// seed of the random numbers
    #[options(default = "1")]
    seed: u64,
}

/// Size of a simulated deployment.
#[derive(Clone, Copy, Debug)]
struct Size {
    workers: usize,
    models: usize,
    instances: usize,
    // Models that requests wait for at any time.
    waiting: usize,
}

/// Result of one measurement.
#[derive(Clone, Copy, Debug)]
struct Cost {
    core_pct: f64,
    mean_tick: Duration,
    longest_tick: Duration,
    most_steps: u64,
}

const REFERENCE: Size = Size { workers: 240, models: 782, instances: 295, waiting: 40 };

/// Measures all sizes and prints a table.
///
/// # Errors
/// Returns an error if a planned order is for an unknown worker.
pub fn print(options: &PlannerOptions) -> anyhow::Result<()> {
    println!("| varied | value | core % | mean tick us | longest tick us | most steps a tick |");
    println!("|---|---|---|---|---|---|");
    type Vary = fn(usize) -> Size;
    let series: [(&str, &[usize], Vary); 3] = [
        ("workers", &[60, 120, 240, 480, 710], |workers| Size { workers, ..REFERENCE }),
        ("models", &[200, 400, 782, 1600], |models| Size { models, ..REFERENCE }),
        ("models in demand", &[0, 40, 160, 640], |waiting| Size { waiting, ..REFERENCE }),
    ];
    for (name, values, vary) in series {
        let mut costs = Vec::new();
        for value in values {
            let cost = measure(vary(*value), options.seed)?;
            println!(
                "| {name} | {value} | {:.2} | {} | {} | {} |",
                cost.core_pct,
                cost.mean_tick.as_micros(),
                cost.longest_tick.as_micros(),
                cost.most_steps
            );
            costs.push((*value as f64, cost.mean_tick.as_secs_f64()));
        }
        if let [.., (from, low), (to, high)] = costs[..]
            && from > 0.0
        {
            println!(
                "| {name} | power of the last two | | {:.2} | | |",
                (high / low).ln() / (to / from).ln()
            );
        }
    }
    Ok(())
}

fn model_name(number: usize) -> String {
    format!("model{number:05}")
}

fn catalog(size: Size) -> Catalog {
    let model = Model {
        size_mb: 65_000,
        adapter_count: 1,
        adapter_mb: 50,
        memory_load_ms: 400,
        disk_load_ms: 500,
        store_load_ms: 13_200,
    };
    let engine = Engine {
        slots: 12,
        memory_mb: 200_000,
        adapter_slots: 8,
        store_loads_per_s: 91.0,
        models: (0..size.models).map(|number| (model_name(number), model.clone())).collect(),
    };
    let service = Service { max_connections: 1900, health_path: None, engine: Some(engine) };
    let services = Table::from_iter([(SERVICE.to_owned(), service)]);
    Catalog::new(1, Vec::new(), services, Limits::default())
}

fn worker_record(number: usize, size: Size) -> WorkerRecord {
    let model_at = |at: usize| model_name((number * HELD + at) % size.models);
    let mut names: Vec<String> = (0..HELD).map(model_at).collect();
    names.sort_unstable();
    names.dedup();
    let loaded = |model| LoadedModel { model, adapters: Vec::new() };
    WorkerRecord {
        id: format!("worker{number:04}"),
        service: SERVICE.to_owned(),
        addr: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: format!("domain{}", number % 5),
        slots: 12,
        leaving: false,
        remaining_ms: None,
        start_unix_ms: 1,
        sequence: 0,
        models: names.into_iter().map(loaded).collect(),
        in_memory: Vec::new(),
        on_disk: (0..CACHED).map(model_at).collect(),
    }
}

fn report_of(record: &WorkerRecord) -> WorkerReport {
    WorkerReport {
        models: record.models.clone(),
        on_disk: record.on_disk.clone(),
        start_unix_ms: record.start_unix_ms,
        ..WorkerReport::default()
    }
}

fn demand(size: Size, instance: usize, now_ms: u64, rng: &mut StdRng) -> Demand {
    let first_busy = (now_ms / SHIFT_MS) as usize * BUSY_MODELS;
    let busy = |rng: &mut StdRng| {
        model_name((first_busy + rng.random_range(0..BUSY_MODELS)) % size.models)
    };
    let running = (0..RUNNING).map(|_| RunningRequests {
        worker: format!("worker{:04}", rng.random_range(0..size.workers)),
        model: busy(rng),
        count: 1,
    });
    let running = running.collect();
    let uses = (0..2).map(|_| TargetUse {
        service: SERVICE.to_owned(),
        model: busy(rng),
        adapter: None,
        arrivals: 1,
    });
    let uses = uses.collect();
    let waiting = (instance..size.waiting).step_by(size.instances).map(|_| WaitingTarget {
        service: SERVICE.to_owned(),
        model: model_name(rng.random_range(0..size.models)),
        adapter: None,
        waiting: 1,
        slack_ms: 400,
        unreachable_workers: Vec::new(),
    });
    Demand { waiting_targets: waiting.collect(), uses, running }
}

fn measure(size: Size, seed: u64) -> anyhow::Result<Cost> {
    let mut rng = StdRng::seed_from_u64(seed);
    let catalog = catalog(size);
    let records: Vec<WorkerRecord> = (0..size.workers).map(|at| worker_record(at, size)).collect();
    let mut fleet = Fleet::new(1);
    for record in &records {
        fleet.on_worker_record(record, 0);
    }
    let mut spent = Duration::ZERO;
    let mut ticks: Vec<Duration> = Vec::new();
    let mut most_steps = 0;
    for now_ms in (TICK_MS..RUN_MS).step_by(TICK_MS as usize) {
        let is_due = |at: usize, count: usize, period_ms: u64| {
            let phase_ms = at as u64 * period_ms / count as u64;
            (now_ms + phase_ms) % period_ms < TICK_MS
        };
        let reporting = (0..size.instances).filter(|at| is_due(*at, size.instances, REPORT_MS));
        let demands: Vec<(String, Demand)> = reporting
            .map(|at| (format!("instance{at:04}"), demand(size, at, now_ms, &mut rng)))
            .collect();
        let started = Instant::now();
        for at in (0..size.workers).filter(|at| is_due(*at, size.workers, RECORD_MS)) {
            fleet.on_worker_record(&records[at], now_ms);
        }
        for (instance, demand) in demands {
            fleet.on_demand(&instance, demand, now_ms);
        }
        let tick_started = Instant::now();
        let calls = fleet.tick(&catalog, true, 5000, now_ms);
        ticks.push(tick_started.elapsed());
        let _ = fleet.views(now_ms);
        spent += started.elapsed();
        most_steps = most_steps.max(fleet.take_steps());
        fleet.take_decisions();
        for (id, call) in calls {
            answer(&mut fleet, &records, &id, &call, now_ms)?;
        }
    }
    Ok(Cost {
        core_pct: spent.as_secs_f64() * 100_000.0 / RUN_MS as f64,
        mean_tick: ticks.iter().sum::<Duration>() / ticks.len() as u32,
        longest_tick: ticks.iter().max().copied().unwrap_or_default(),
        most_steps,
    })
}

/// Lets the worker carry out what the lead asks for.
fn answer(
    fleet: &mut Fleet,
    records: &[WorkerRecord],
    id: &str,
    call: &Call,
    now_ms: u64,
) -> anyhow::Result<()> {
    let record = records.iter().find(|record| record.id == id).context("an unknown worker")?;
    let worker = fleet.worker_mut(id).context("a worker that the lead does not know")?;
    match call {
        Call::Report => worker.on_report(Some(report_of(record)), now_ms),
        Call::Order(order) => {
            let load_ms = worker.pending_load.as_ref().map_or(0, |load| load.load_ms);
            worker.on_order_outcome(order, OrderOutcome::Accepted, load_ms, now_ms);
        }
    }
    Ok(())
}
