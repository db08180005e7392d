//! Tests of requests whose prompts crash the workers that respond to them.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use standins::platform::caller::CallerRequest;
use standins::platform::deployment::Deployment;
use standins::platform::deployment::engine_worker;

use crate::deployment;

/// Id of the part that crashes workers.
const BAD_PART: &str = "bad0";
/// Time for which a crashed worker is down.
const DOWN: Duration = Duration::from_millis(300);
/// Number of crashes from which on requests with the part are limited.
const CRASHES_BEFORE_LIMIT: usize = 5;
/// Time after that crash from which on they are limited.
const CONTACT: Duration = Duration::from_millis(3000);
/// Number of such requests that may still reach workers.
const LATE_RUNS_MAX: usize = 3;
/// Pause between two requests with the part.
const ROUND: Duration = Duration::from_millis(120);

const WORKERS: [&str; 8] = ["e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7"];

/// Starts workers that crash on `BAD_PART`.
fn crashing_deployment(instances: usize) -> Deployment {
    let workers = WORKERS.iter().map(|id| (*id, engine_worker(&["m0", "m1"]))).collect();
    let deployment = deployment(workers, instances);
    for worker in &deployment.workers {
        worker.crash_on_part(BAD_PART, DOWN);
    }
    deployment
}

/// A deployment whose crashed workers register again.
struct Incident {
    deployment: Deployment,
    registered: Vec<u64>,
    sent: usize,
}

impl Incident {
    fn new(instances: usize) -> Self {
        let deployment = crashing_deployment(instances);
        let registered = deployment.workers.iter().map(|worker| worker.born_ms()).collect();
        Self { deployment, registered, sent: 0 }
    }

    fn register_restarted_workers(&mut self) {
        for (worker, registered) in self.deployment.workers.iter().zip(&mut self.registered) {
            if worker.born_ms() != *registered {
                *registered = worker.born_ms();
                self.deployment.announce(worker, "ready");
            }
        }
    }

    /// Sends a request with the bad part to an instance; returns the status, 0 without a response.
    fn send_bad(&mut self, at: usize, path: &str) -> u16 {
        self.sent += 1;
        let (caller, own) = (format!("c{}", self.sent % 3), format!("own{}", self.sent));
        let ask = CallerRequest::post(path, &format!("bad-{}", self.sent))
            .for_model("m0")
            .with_prompt(&["f0", &caller, BAD_PART, &own]);
        let reply = ask.send(self.deployment.instances[at].callers_addr);
        self.register_restarted_workers();
        reply.map_or(0, |reply| reply.status_code)
    }

    /// Returns the start times of the runs with the bad part, in order.
    fn bad_runs(&self) -> Vec<Instant> {
        let runs = self.deployment.workers.iter().flat_map(|worker| worker.runs());
        let mut starts: Vec<Instant> =
            runs.filter(|run| run.id.starts_with("bad")).map(|run| run.started_at).collect();
        starts.sort_unstable();
        starts
    }

    /// Sends requests with the bad part, and sound ones, to the instances in turn until `until`.
    fn send_until(&mut self, until: Instant, instances: &[usize]) {
        for round in 0.. {
            if Instant::now() >= until {
                return;
            }
            self.send_bad(instances[round % instances.len()], "/stream/once/1");
            thread::sleep(ROUND);
        }
    }

    fn assert_few_late_runs(&self) {
        let runs = self.bad_runs();
        let limited_from = runs.get(CRASHES_BEFORE_LIMIT - 1).map(|at| *at + CONTACT);
        let late = runs.iter().filter(|at| limited_from.is_some_and(|from| **at > from)).count();
        assert!(late <= LATE_RUNS_MAX, "{late} late runs of {}", runs.len());
    }
}

/// Guards against requests with one prompt part crashing one worker after the other (BUDGET).
#[test]
fn a_prompt_part_that_crashes_workers_stops_reaching_them() {
    let mut incident = Incident::new(3);
    incident.send_until(Instant::now() + Duration::from_secs(9), &[0, 1, 2]);
    incident.assert_few_late_runs();
    incident.deployment.close();
}
