//! Workers preempt streams for 1.5 s, as when their memory runs out, and go on with them, also when their
//! connections close. No stream may go on at another worker while the first one still works on it.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::gateway::Gateway;
use crate::gateway::Settings;
use crate::gateway::free_ports;
use crate::record::Record;
use crate::site;
use crate::site::End;
use crate::site::Reports;
use crate::site::Route;
use crate::store::Store;
use crate::worker::Run;
use crate::worker::Spec;
use crate::worker::Worker;

const ROUTE: &str = "board-digest";
const STREAMS: usize = 8;
const EVENTS: u64 = 60;
/// Streams that each worker preempts, the newest first, and for how long; the others go on.
const PREEMPTED_STREAMS: usize = 2;
const PREEMPTED: Duration = Duration::from_millis(1500);
/// Time between two preemptions.
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which the worker before may still work, given by the rule.
const OVERLAP: Duration = Duration::from_millis(400);
/// A caller leaves after the longest of two seconds, four times the objective and eight times the pause.
const PATIENCE: Duration = Duration::from_millis(4 * 3000);

pub fn run(record: &Arc<Record>, trouble: bool, folder: &Path) -> Verdict {
    let store = Arc::new(Store::start());
    let route = Route {
        name: ROUTE,
        kind: "streaming",
        service: "engine",
        timeout_ms: 25_000,
        objective_ms: 3000,
        gap_ms: 250,
        max_attempts: 2,
        is_resumable: true,
    };
    store.put("keyed.op", "config", &site::config(1, &[route], &["shared"]));
    let start = |id| {
        let spec = Spec {
            id,
            service: "engine",
            models: &["shared"],
            slots: 64,
            queue: 192,
            events: EVENTS,
            event_interval: Duration::from_millis(50),
            is_unframed: false,
            reads_late: false,
            ignores_close: true,
        };
        Arc::new(Worker::start(spec, record))
    };
    let workers = [start("i-1"), start("i-2")];
    let reports = Reports::start(&store, &workers);
    let settings = Settings {
        name: "edge-1",
        ip: "127.0.0.7",
        peers_port: free_ports("127.0.0.7", 16),
        store: store.addr(),
    };
    let gateway = Gateway::start(&settings, folder);
    if !gateway.wait_until_ready() {
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let callers: Vec<_> = (0..STREAMS)
        .map(|at| {
            let (front, record) = (gateway.front, Arc::clone(record));
            thread::spawn(move || {
                let mut connection = site::connect(front);
                let id = format!("stream{at}");
                let request = site::stream_request(ROUTE, &id, "shared", 25_000);
                site::call_stream(&mut connection, &request, &id, PATIENCE, &record)
            })
        })
        .collect();
    // All streams have begun, and none has ended.
    thread::sleep(Duration::from_millis(600));
    for _ in 0..if trouble { PREEMPTED_STREAMS } else { 0 } {
        workers.iter().for_each(|worker| worker.preempt_newest(PREEMPTED));
        thread::sleep(PREEMPTION_INTERVAL);
    }
    let ends: Vec<End> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    // The first worker's runs end by then.
    thread::sleep(PREEMPTED + Duration::from_secs(3));
    gateway.close();
    reports.close();
    if ends.iter().any(|end| *end != End::Complete { last_event: EVENTS }) {
        record.line("a stream was not complete");
        return Verdict::CouldNotRun;
    }
    let runs: Vec<Run> = workers.iter().flat_map(|worker| worker.runs()).collect();
    let overlapping = runs.iter().filter(|later| goes_on_beside(&runs, later)).count();
    record.line(&format!("{overlapping} of {STREAMS} streams went on beside their first runs"));
    if overlapping > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Returns whether an earlier run of the same request went on for too long after `later` had begun.
fn goes_on_beside(runs: &[Run], later: &Run) -> bool {
    runs.iter().any(|earlier| {
        earlier.id == later.id
            && earlier.started < later.started
            && earlier.ended.unwrap_or_else(Instant::now) > later.started + OVERLAP
    })
}
