//! A worker answers requests with a long body before it has read the body, and reads on when it has ended its
//! streams. The streams are to be completed.

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

const ROUTE: &str = "gate-chat";
const STREAMS: usize = 6;
const EVENTS: u64 = 58;
const EVENT_INTERVAL: Duration = Duration::from_millis(80);
/// Time before the end of the first streams at which the instance gets SIGHUP: the second ones begin within
/// `ConfigApplyMs` after it.
const HANG_UP_LEAD: Duration = Duration::from_millis(400);
/// Length of the long bodies; the configuration allows 4 MiB.
const BODY_BYTES: usize = 3_900_000;
/// A caller leaves after the longest of two seconds, four times the objective and eight times the pause.
const PATIENCE: Duration = Duration::from_secs(2);

pub fn run(record: &Arc<Record>, trouble: bool, folder: &Path) -> Verdict {
    let store = Arc::new(Store::start());
    let route = Route {
        name: ROUTE,
        kind: "streaming",
        service: "engine",
        timeout_ms: 15_000,
        objective_ms: 400,
        gap_ms: 250,
        max_attempts: 1,
        is_resumable: false,
    };
    store.put("keyed.op", "config", &site::config(1, &[route], &["shared"]));
    let spec = Spec {
        id: "i-1",
        service: "engine",
        models: &["shared"],
        slots: 64,
        queue: 192,
        events: EVENTS,
        event_interval: EVENT_INTERVAL,
        is_unframed: false,
        reads_late: trouble,
        ignores_close: false,
    };
    let reports = Reports::start(&store, &[Arc::new(Worker::start(spec, record))]);
    let settings = Settings {
        name: "edge-1",
        ip: "127.0.0.6",
        peers_port: free_ports("127.0.0.6", 16),
        store: store.addr(),
    };
    let gateway = Gateway::start(&settings, folder);
    if !gateway.wait_until_ready() {
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(4));
    // Each caller keeps its connection: a stream for a short body, then one for a long body.
    let callers: Vec<_> = (0..STREAMS)
        .map(|at| {
            let (front, record) = (gateway.front, Arc::clone(record));
            thread::spawn(move || {
                let mut connection = site::connect(front);
                let mut call = |id: String, body: &str| {
                    let request = site::stream_request_with(ROUTE, &id, "shared", 15_000, body);
                    site::call_stream(&mut connection, &request, &id, PATIENCE, &record)
                };
                let first = call(format!("short{at}"), "hi");
                (first, call(format!("long{at}"), &"x".repeat(BODY_BYTES)))
            })
        })
        .collect();
    thread::sleep(EVENT_INTERVAL * EVENTS as u32 - HANG_UP_LEAD);
    gateway.hang_up(record);
    let ends: Vec<(End, End)> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    gateway.close();
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
