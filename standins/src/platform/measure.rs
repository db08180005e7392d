//! Measures a gateway instance: the cost of its control traffic when idle, and the latency that it
//! adds to a direct call.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

use crate::platform::caller::Caller;
use crate::platform::caller::CallerRequest;
use crate::platform::deployment::Deployment;
use crate::platform::deployment::engine_worker;
use crate::platform::deployment::plain_worker;
use crate::platform::worker::WorkerSpec;

/// Time for which idle instances are measured.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Time after the start before instances count as idle.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Number of pairs of calls, one direct and one through an instance.
const CALL_PAIRS: usize = 2000;
/// Time that the worker takes for a call, in ms.
const WORK_MS: u64 = 5;
/// Measured combinations of the numbers of instances and engine workers.
const DEPLOYMENT_SIZES: [(usize, usize); 4] = [(2, 4), (8, 4), (16, 4), (8, 24)];

/// Prints the cost of idle deployments of several sizes, then the added latency.
///
/// # Errors
/// Fails when a deployment cannot be started or a call fails.
pub fn print_measurements(binary: &Path) -> Result<(), anyhow::Error> {
    println!("| instances | workers | CPU % | sent B/s | store calls/s | resident KiB |");
    println!("|---|---|---|---|---|---|");
    for (instances, workers) in DEPLOYMENT_SIZES {
        measure_idle(binary, instances, workers)?;
    }
    measure_latency(binary)
}

fn measure_idle(binary: &Path, instances: usize, workers: usize) -> Result<(), anyhow::Error> {
    let names: Vec<String> = (0..workers).map(|at| format!("e{at}")).collect();
    let specs: Vec<(&str, WorkerSpec)> =
        names.iter().map(|name| (name.as_str(), engine_worker(&["m0"]))).collect();
    let deployment = Deployment::start(binary, specs, instances)?;
    thread::sleep(SETTLE_TIME);
    let usage = || -> (u64, u64) {
        let all = deployment.instances.iter().filter_map(|one| one.process.usage());
        all.fold((0, 0), |(kib, cpu_ms), (one_kib, one_ms)| (kib + one_kib, cpu_ms + one_ms))
    };
    let bytes = || -> f64 {
        let all = deployment.instances.iter();
        all.filter_map(|one| one.metric("gateway_datagram_bytes_total ")).sum()
    };
    let (_, cpu_before_ms) = usage();
    let (bytes_before, calls_before) = (bytes(), deployment.store.calls());
    thread::sleep(IDLE_TIME);
    let (kib, cpu_ms) = usage();
    let seconds = IDLE_TIME.as_secs_f64();
    let each = instances as f64;
    println!(
        "| {instances} | {workers} | {:.2} | {:.0} | {:.1} | {:.0} |",
        (cpu_ms - cpu_before_ms) as f64 / 10.0 / seconds / each,
        (bytes() - bytes_before) / seconds / each,
        (deployment.store.calls() - calls_before) as f64 / seconds / each,
        kib as f64 / each
    );
    deployment.close();
    Ok(())
}

/// Compares the latency of direct calls and of calls through an instance, alternately and over
/// persistent connections.
fn measure_latency(binary: &Path) -> Result<(), anyhow::Error> {
    let deployment = Deployment::start(binary, vec![("p0", plain_worker(WORK_MS))], 1)?;
    let mut direct = Caller::connect(deployment.worker("p0").addr())?;
    let mut through = Caller::connect(deployment.instances[0].callers_addr)?;
    let mut direct_us = Histogram::<u64>::new(3)?;
    let mut through_us = Histogram::<u64>::new(3)?;
    for pair in 0..CALL_PAIRS {
        direct_us.record(measure_call_us(&mut direct, pair)?)?;
        through_us.record(measure_call_us(&mut through, pair)?)?;
    }
    for (name, times) in [("direct", &direct_us), ("through an instance", &through_us)] {
        println!(
            "{name}: median {} us, p99 {} us",
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99)
        );
    }
    deployment.close();
    Ok(())
}

fn measure_call_us(caller: &mut Caller, number: usize) -> Result<u64, anyhow::Error> {
    let request = CallerRequest::get("/look/1", &format!("id{number}"));
    let started = Instant::now();
    caller.write(&request.to_bytes())?;
    let response = caller.read_response()?;
    anyhow::ensure!(response.status_code == 200, "status {}", response.status_code);
    Ok(started.elapsed().as_micros() as u64)
}
