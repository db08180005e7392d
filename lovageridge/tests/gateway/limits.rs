//! Tests of workers that limit the rate of their requests.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use standins::platform::caller::CallerRequest;
use standins::platform::deployment::Deployment;
use standins::platform::deployment::engine_worker;

use crate::deployment;

/// Window in which the requests to a limited worker are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Share of the limit that may arrive in a window.
const SHARE_MAX: f64 = 1.5;
/// Number of requests that may arrive beyond that.
const SLACK: f64 = 5.0;
/// Time from the first response with a limit from which on it holds.
const CONTACT: Duration = Duration::from_secs(3);

/// Outcome of the requests of a load.
#[derive(Debug, Default)]
struct Served {
    ok: AtomicUsize,
    refused: AtomicUsize,
    other: AtomicUsize,
}

/// Sends requests to the instances in turn, one each `interval`, for `time`.
fn load(
    deployment: &Deployment,
    at: &[usize],
    ask: impl Fn(usize) -> CallerRequest + Sync,
    interval: Duration,
    time: Duration,
) -> Served {
    let served = Served::default();
    let until = Instant::now() + time;
    thread::scope(|scope| {
        for number in 0.. {
            if Instant::now() >= until {
                return;
            }
            let to = deployment.instances[at[number % at.len()]].callers_addr;
            let (ask, served) = (&ask, &served);
            scope.spawn(move || {
                let reply = ask(number).send(to);
                let count = match reply.map(|reply| reply.status_code) {
                    Ok(200) => &served.ok,
                    Ok(503) => &served.refused,
                    _ => &served.other,
                };
                count.fetch_add(1, Ordering::Relaxed);
            });
            thread::sleep(interval);
        }
    });
    served
}

fn stream(number: usize) -> CallerRequest {
    let id = format!("stream{number}-{:?}", Instant::now());
    CallerRequest::post("/stream/once/1", &id).for_model("m0")
}

/// Returns the largest number of requests that reached a worker within a window after `from`.
fn busiest_window(deployment: &Deployment, worker: &str, from: Instant) -> usize {
    let arrivals = deployment.worker(worker).arrivals();
    let arrivals: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= from).collect();
    let in_window = |start: &Instant| {
        arrivals.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
    };
    arrivals.iter().map(in_window).max().unwrap_or(0)
}

fn assert_within_limit(deployment: &Deployment, worker: &str, per_s: f64, named_at: Instant) {
    assert_few_requests(deployment, worker, per_s, named_at + CONTACT);
}

fn assert_few_requests(deployment: &Deployment, worker: &str, per_s: f64, from: Instant) {
    let most = busiest_window(deployment, worker, from) as f64;
    let allowed = SHARE_MAX * per_s * WINDOW.as_secs_f64() + SLACK;
    assert!(most <= allowed, "{most} requests to {worker} in 4 s, {allowed} are allowed");
}

/// Guards against LIMIT: instances that exceed a worker's limit together, though each alone keeps it.
#[test]
fn a_limit_holds_over_all_instances_together() {
    let workers = vec![("e0", engine_worker(&["m0"])), ("e1", engine_worker(&["m0"]))];
    let deployment = deployment(workers, 3);
    deployment.worker("e0").set_limit(Some("2"));
    let named_at = Instant::now();
    let interval = Duration::from_millis(40);
    let served = load(&deployment, &[0, 1, 2], stream, interval, Duration::from_secs(9));
    assert_within_limit(&deployment, "e0", 2.0, named_at);
    assert!(deployment.worker("e0").requests() > 0);
    let (refused, other) = (served.refused.into_inner(), served.other.into_inner());
    assert_eq!((refused, other), (0, 0), "the other worker has room");
    deployment.close();
}
