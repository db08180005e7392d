//! A worker preempts streams for two seconds, as when its memory runs out, and goes on with them; the only other
//! worker with their model is full. The streams are to be completed.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

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
use crate::worker::Spec;
use crate::worker::Worker;

const ROUTE: &str = "board-digest";
const STREAMS: usize = 10;
/// Streams that the worker preempts, the newest first; the others go on.
const PREEMPTED_STREAMS: usize = 6;
/// Time between the beginnings of two callers.
const STAGGER: Duration = Duration::from_millis(60);
/// Time between two preemptions.
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(100);
/// Places of the other worker, and of its queue; streams of another model fill both.
const SLOTS: usize = 16;
const QUEUE: usize = 4;
const EVENTS: u64 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// Time before the end of the first stream at which the instance gets SIGHUP: the second streams begin within
/// `ConfigApplyMs` after it.
const HANG_UP_LEAD: Duration = Duration::from_millis(200);
/// Time for which a stream is preempted.
const PREEMPTED: Duration = Duration::from_secs(2);
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
    store.put("keyed.op", "config", &site::config(1, &[route], &["shared", "filling"]));
    let spec = Spec {
        id: "i-roomy",
        service: "engine",
        models: &["shared"],
        slots: 64,
        queue: 192,
        events: EVENTS,
        event_interval: EVENT_INTERVAL,
        is_unframed: false,
        reads_late: false,
        ignores_close: false,
    };
    let roomy = Arc::new(Worker::start(spec.clone(), record));
    let full_spec = Spec {
        id: "i-full",
        models: &["shared", "filling"],
        slots: SLOTS,
        queue: QUEUE,
        events: 400,
        event_interval: Duration::from_millis(50),
        ..spec
    };
    let full = Arc::new(Worker::start(full_spec, record));
    let reports = Reports::start(&store, &[Arc::clone(&roomy), Arc::clone(&full)]);
    let settings = Settings {
        name: "edge-1",
        ip: "127.0.0.2",
        peers_port: free_ports("127.0.0.2", 16),
        store: store.addr(),
    };
    let gateway = Gateway::start(&settings, folder);
    if !gateway.wait_until_ready() {
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let call = |id: String, model: &'static str| {
        let (front, record) = (gateway.front, Arc::clone(record));
        thread::spawn(move || {
            let mut connection = site::connect(front);
            let request = site::stream_request(ROUTE, &id, model, 25_000);
            site::call_stream(&mut connection, &request, &id, PATIENCE, &record)
        })
    };
    let filling: Vec<_> =
        (0..SLOTS + QUEUE).map(|at| call(format!("fill{at}"), "filling")).collect();
    thread::sleep(Duration::from_millis(300));
    if full.running() != SLOTS || full.waiting() != QUEUE {
        record.line("the other worker could not be filled");
        return Verdict::CouldNotRun;
    }
    // Each caller keeps its connection: a first stream, then a second one.
    let callers: Vec<_> = (0..STREAMS)
        .map(|at| {
            let (front, record) = (gateway.front, Arc::clone(record));
            thread::spawn(move || {
                thread::sleep(STAGGER * at as u32);
                let mut connection = site::connect(front);
                let mut call = |id: String| {
                    let request = site::stream_request(ROUTE, &id, "shared", 25_000);
                    site::call_stream(&mut connection, &request, &id, PATIENCE, &record)
                };
                let first = call(format!("first{at}"));
                (first, call(format!("second{at}")))
            })
        })
        .collect();
    thread::sleep(EVENT_INTERVAL * EVENTS as u32 - HANG_UP_LEAD);
    gateway.hang_up(record);
    // All second streams have begun, and none has ended.
    thread::sleep(HANG_UP_LEAD + STAGGER * (STREAMS as u32 + 2));
    for _ in 0..if trouble { PREEMPTED_STREAMS } else { 0 } {
        roomy.preempt_newest(PREEMPTED);
        thread::sleep(PREEMPTION_INTERVAL);
    }
    let ends: Vec<(End, End)> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    gateway.close();
    for caller in filling {
        caller.join().expect("the caller has not panicked");
    }
    reports.close();
    let complete = End::Complete { last_event: EVENTS };
    if ends.iter().any(|(first, _)| *first != complete) {
        record.line("a first stream was not complete");
        return Verdict::CouldNotRun;
    }
    let cut = ends.iter().filter(|(_, second)| matches!(second, End::Closed { .. })).count();
    record.line(&format!(
        "{cut} of {STREAMS} streams on kept connections were closed without their end"
    ));
    // The rule allows three.
    if cut > 3 { Verdict::Broken } else { Verdict::Held }
}
